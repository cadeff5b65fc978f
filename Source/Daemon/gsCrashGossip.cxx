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
 * A digest of the same restrictions is used for this long. The time is well
 * below the grace period, within which digests may differ.
 */
constexpr gsTime DigestLifetime = gsMilliseconds(100);

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
 * Queues new evidence. If it is due before the next tick, schedules its
 * publication for the end of this event loop iteration.
 */
void gsCrashGossip::SchedulePublish(gsFingerprint const& fingerprint)
{
  gsTime now = gsLoop::Now();
  gsQueueEvidence(this->Unsent, fingerprint, now);
  if (gsIsEvidenceDue(this->Unsent, this->Watch.SuspectTable(), fingerprint,
                      now) &&
      !std::exchange(this->IsPublishScheduled, true)) {
    this->Loop.Defer([this] { this->PublishUnsent(gsLoop::Now()); });
  }
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

/** Encodes all evidence on the requests under which at least minCrashes
 * upstreams have crashed. */
gsCrashGossip::Requests gsCrashGossip::Encode(
  std::vector<gsFingerprint> const& fingerprints, std::size_t minCrashes,
  gsTime now) const
{
  Requests requests;
  auto const& suspects = this->Watch.SuspectTable().Suspects;
  for (gsFingerprint const& fingerprint : fingerprints) {
    auto found = suspects.find(fingerprint);
    if (found == suspects.end() || gsCrashCount(found->second) < minCrashes) {
      continue;
    }
    gradescale::SuspectRequest* wire = requests.Add();
    wire->set_fingerprint_high(fingerprint.High);
    wire->set_fingerprint_low(fingerprint.Low);
    wire->set_organisation(found->second.OrganisationHash);
    for (gsCrashEvidence const& evidence : found->second.Evidence) {
      ToWire(evidence, now, *wire->add_evidence());
    }
  }
  return requests;
}

void gsCrashGossip::Send(Requests const& requests, std::string const& host)
{
  if (requests.empty()) {
    return;
  }
  if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
    frame->mutable_suspects()->MergeFrom(requests);
  }
}

/**
 * Sends the evidence that is due to its receivers: from a relay the other
 * relays, and the hosts of its hall for requests under which at least two
 * upstreams have crashed; from another host its relay.
 */
void gsCrashGossip::PublishUnsent(gsTime now)
{
  this->IsPublishScheduled = false;
  if (this->Cluster == nullptr) {
    return;
  }
  std::vector<gsFingerprint> due =
    gsTakeEvidence(this->Unsent, this->Watch.SuspectTable(), now);
  if (due.empty()) {
    return;
  }
  Requests all = this->Encode(due, 0, now);
  if (!this->IsRelay(now)) {
    this->Send(all, gsHallRelay(this->Cluster->Members(), now));
    return;
  }
  for (std::string const& relay : this->OtherRelays(now)) {
    this->Send(all, relay);
  }
  Requests restricted = this->Encode(due, 2, now);
  for (std::string const& host : gsHallPeers(this->Cluster->Members(), now)) {
    this->Send(restricted, host);
  }
}

void gsCrashGossip::Tick(gsTime now)
{
  this->Watch.LogReceived(now);
  if (this->Cluster == nullptr) {
    return;
  }
  gsBeginEvidenceInterval(this->Unsent);
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

/** Digest of the restricted requests. It is computed anew at most once per
 * change and DigestLifetime, however many hosts send theirs. */
std::uint64_t gsCrashGossip::Digest(gsTime now)
{
  std::uint64_t version = this->Watch.RestrictionsVersion();
  if (version != this->DigestedVersion ||
      now - this->DigestedAt >= DigestLifetime) {
    this->LastDigest = gsQuarantineDigest(this->Watch.SuspectTable(), now);
    this->DigestedVersion = version;
    this->DigestedAt = now;
  }
  return this->LastDigest;
}

void gsCrashGossip::SendDigest(gsTime now)
{
  std::uint64_t digest = this->Digest(now);
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
  if (digest == this->Digest(now)) {
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
  std::vector<gsFingerprint> requests =
    gsQuarantineRequestsToExchange(this->Watch.SuspectTable(), now);
  requests.resize(std::min(requests.size(), gsMaxRequestsPerMessage));
  this->Send(this->Encode(requests, 0, now), host);
}

void gsCrashGossip::OnReceive(std::string const& host,
                              gradescale::Frame const& frame)
{
  if (frame.suspects().empty() && frame.suspects_digest() == 0 &&
      !frame.wants_suspects()) {
    return;
  }
  gsTime now = gsLoop::Now();
  bool isRelay = this->IsRelay(now);
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
    if (isNew && isRelay) {
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
