/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsCrashGossip.h"

#include <algorithm>
#include <utility>

#include "gsLoop.h"

namespace {

constexpr gsTime DigestInterval = gsMilliseconds(500);
/** Evidence in transit makes digests differ briefly. */
constexpr gsTime DigestMismatchGracePeriod = gsMilliseconds(400);
/**
 * Limit on requests whose evidence is sent per tick; the others are sent in
 * later ticks.
 */
constexpr std::size_t MaxRequestsPerTick = 8;
/** Limit on requests whose evidence is sent in reply to a differing digest. */
constexpr std::size_t MaxRequestsPerReply = 64;

void ToWire(gsCrashEvidence const& evidence, gsTime now,
            gradescale::CrashEvidence& wire)
{
  wire.set_upstream(evidence.UpstreamHash);
  wire.set_verdict(static_cast<std::uint32_t>(evidence.Verdict));
  wire.set_age_us(static_cast<std::uint64_t>(
    std::max(now - evidence.ObservedAt, gsTime{}).count()));
  wire.set_ran_us(
    static_cast<std::uint64_t>(std::max(evidence.RunTime, gsTime{}).count()));
}

/**
 * Decodes evidence received at a given time. \return False if the verdict is
 * unknown to this release, or a duration exceeds 24 hours.
 */
bool FromWire(gradescale::CrashEvidence const& wire, gsTime now,
              gsCrashEvidence& evidence)
{
  auto minVerdict = static_cast<std::uint32_t>(gsCrashVerdict::Crashed);
  auto maxVerdict = static_cast<std::uint32_t>(gsCrashVerdict::Survived);
  constexpr auto maxDuration =
    static_cast<std::uint64_t>(gsTime(std::chrono::hours(24)).count());
  if (wire.verdict() < minVerdict || wire.verdict() > maxVerdict ||
      wire.age_us() > maxDuration || wire.ran_us() > maxDuration) {
    return false;
  }
  evidence.UpstreamHash = wire.upstream();
  evidence.Verdict = static_cast<gsCrashVerdict>(wire.verdict());
  evidence.ObservedAt = now - gsTime(static_cast<gsTime::rep>(wire.age_us()));
  evidence.RunTime = gsTime(static_cast<gsTime::rep>(wire.ran_us()));
  return true;
}

} // namespace

gsCrashGossip::gsCrashGossip(gsLoop& loop, gsCrashWatch& watch)
  : Loop(loop)
  , Watch(watch)
{
  this->Watch.SetEvidenceCallback([this](gsCrashReport const& report) {
    this->SchedulePublish(report.Fingerprint);
  });
}

/**
 * Schedules the publication of all unsent evidence for the end of this event
 * loop iteration.
 */
void gsCrashGossip::SchedulePublish(gsFingerprint const& fingerprint)
{
  if (this->UnsentRequests.empty()) {
    this->Loop.Defer([this] { this->PublishUnsent(gsLoop::Now()); });
  }
  this->UnsentRequests.insert(fingerprint);
}

bool gsCrashGossip::IsRelay(gsTime now) const
{
  return gsHallRelay(this->Cluster->Members(), now) == this->Cluster->Self();
}

gsCrashGossip::Hosts gsCrashGossip::OtherRelays(gsTime now) const
{
  Hosts relays;
  for (auto const& [hall, relay] :
       gsOtherRelays(this->Cluster->Members(), now)) {
    relays.push_back(relay);
  }
  return relays;
}

void gsCrashGossip::Send(gsFingerprint const& fingerprint,
                         std::string const& host, gsTime now)
{
  auto found = this->Watch.SuspectTable().Suspects.find(fingerprint);
  gradescale::Frame* frame = this->Cluster->ToHost(host);
  if (found == this->Watch.SuspectTable().Suspects.end() || frame == nullptr) {
    return;
  }
  gradescale::SuspectRequest* wire = frame->add_suspects();
  wire->set_fingerprint_high(fingerprint.High);
  wire->set_fingerprint_low(fingerprint.Low);
  wire->set_organisation(found->second.OrganisationHash);
  for (gsCrashEvidence const& evidence : found->second.Evidence) {
    ToWire(evidence, now, *wire->add_evidence());
  }
}

/**
 * Sends all evidence on a request to its receivers: from a relay the other
 * relays, and the hosts of its hall if at least two upstreams have
 * crashed; from another host its relay.
 */
void gsCrashGossip::Publish(gsFingerprint const& fingerprint, gsTime now)
{
  if (!this->IsRelay(now)) {
    this->Send(fingerprint, gsHallRelay(this->Cluster->Members(), now), now);
    return;
  }
  for (std::string const& relay : this->OtherRelays(now)) {
    this->Send(fingerprint, relay, now);
  }
  auto found = this->Watch.SuspectTable().Suspects.find(fingerprint);
  if (found == this->Watch.SuspectTable().Suspects.end() ||
      gsCrashCount(found->second) < 2) {
    return;
  }
  for (std::string const& host : gsHallPeers(this->Cluster->Members(), now)) {
    this->Send(fingerprint, host, now);
  }
}

/**
 * Removes the requests to be sent in this tick from the queue, the most
 * strictly treated ones first.
 */
std::vector<gsFingerprint> gsCrashGossip::DequeueMostStrict(gsTime now)
{
  std::vector<gsFingerprint> selected(this->UnsentRequests.begin(),
                                      this->UnsentRequests.end());
  std::size_t count =
    std::min(selected.size(), MaxRequestsPerTick - this->RequestsSentInTick);
  this->RequestsSentInTick += count;
  auto isStricter = [this, now](gsFingerprint const& a,
                                gsFingerprint const& b) {
    return gsSuspicionLevelOf(this->Watch.SuspectTable(), a, now) >
           gsSuspicionLevelOf(this->Watch.SuspectTable(), b, now);
  };
  auto end = selected.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(selected.begin(), end, selected.end(), isStricter);
  selected.resize(count);
  for (gsFingerprint const& fingerprint : selected) {
    this->UnsentRequests.erase(fingerprint);
  }
  return selected;
}

void gsCrashGossip::PublishUnsent(gsTime now)
{
  if (this->Cluster == nullptr) {
    return;
  }
  for (gsFingerprint const& fingerprint : this->DequeueMostStrict(now)) {
    this->Publish(fingerprint, now);
  }
}

void gsCrashGossip::Tick(gsTime now)
{
  if (this->Cluster == nullptr) {
    return;
  }
  this->RequestsSentInTick = 0;
  this->PublishUnsent(now);
  if (now - this->DigestSentAt >= DigestInterval) {
    this->DigestSentAt = now;
    this->SendDigest(now);
  }
}

gsCrashGossip::Hosts gsCrashGossip::DigestReceivers(gsTime now) const
{
  if (!this->IsRelay(now)) {
    return { gsHallRelay(this->Cluster->Members(), now) };
  }
  Hosts receivers = gsHallPeers(this->Cluster->Members(), now);
  Hosts relays = this->OtherRelays(now);
  receivers.insert(receivers.end(), relays.begin(), relays.end());
  return receivers;
}

void gsCrashGossip::SendDigest(gsTime now)
{
  std::uint64_t digest = gsQuarantineDigest(this->Watch.SuspectTable(), now);
  if (digest == 0) {
    return;
  }
  for (std::string const& host : this->DigestReceivers(now)) {
    if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
      frame->set_suspects_digest(digest);
    }
  }
}

/**
 * Exchanges all evidence with a host whose digest has differed for the grace
 * period.
 */
void gsCrashGossip::CompareDigest(std::string const& host,
                                  std::uint64_t digest, gsTime now)
{
  if (digest == gsQuarantineDigest(this->Watch.SuspectTable(), now)) {
    this->MismatchedSince.erase(host);
    return;
  }
  auto [since, isNew] = this->MismatchedSince.emplace(host, now);
  if (isNew || now - since->second < DigestMismatchGracePeriod) {
    return;
  }
  this->MismatchedSince.erase(since);
  this->SendAllEvidence(host, now);
  if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
    frame->set_wants_suspects(true);
  }
}

void gsCrashGossip::SendAllEvidence(std::string const& host, gsTime now)
{
  std::size_t sent = 0;
  for (gsFingerprint const& fingerprint :
       gsQuarantineRequestsToExchange(this->Watch.SuspectTable(), now)) {
    if (++sent > MaxRequestsPerReply) {
      break;
    }
    this->Send(fingerprint, host, now);
  }
}

void gsCrashGossip::OnReceive(std::string const& host,
                              gradescale::Frame const& frame)
{
  if (frame.suspects().empty() && frame.suspects_digest() == 0 &&
      !frame.wants_suspects()) {
    return;
  }
  gsTime now = gsLoop::Now();
  for (gradescale::SuspectRequest const& wire : frame.suspects()) {
    gsCrashReport report;
    report.Fingerprint = { wire.fingerprint_high(), wire.fingerprint_low() };
    report.OrganisationHash = wire.organisation();
    bool isNew = false;
    for (gradescale::CrashEvidence const& evidence : wire.evidence()) {
      bool isReadable = FromWire(evidence, now, report.Evidence);
      isNew =
        (isReadable && this->Watch.ApplyReport(report, host, now)) || isNew;
    }
    if (isNew && this->IsRelay(now)) {
      this->SchedulePublish(report.Fingerprint);
    }
  }
  if (frame.suspects_digest() != 0) {
    this->CompareDigest(host, frame.suspects_digest(), now);
  }
  if (frame.wants_suspects()) {
    this->SendAllEvidence(host, now);
  }
}
