/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Creation, hashing and processing of the digests that hosts exchange.
 */
#include "gsHallDetail.h"

#include <algorithm>
#include <utility>

#include "gsRendezvous.h"

namespace gsHallDetail {

namespace {

/**
 * Applies a summary of a hall. The host count is applied only from an
 * authoritative summary, one that originates in the hall itself: forwarded
 * reports would keep a dead hall listed.
 */
void ApplySummary(gsHallMembership& table, gsHallSummary const& summary,
                  bool authoritative, gsTime now)
{
  for (gsHallHost const& host : summary.FirstHosts) {
    if (host.Hall == summary.Hall) {
      ApplyIndirectReport(table, host, authoritative, now);
    }
  }
  if (summary.Hall == table.Self.Hall || summary.Hall.empty()) {
    return;
  }
  gsOtherHall& hall = table.OtherHalls[summary.Hall];
  if (authoritative && summary.HostCount > 0) {
    hall.HostCount = summary.HostCount;
    hall.ReportedAt = now;
  }
  // Removes contacts that are no longer reported, to make room for current
  // ones. Excluded contacts stay until their exclusion ends.
  hall.Contacts.erase(std::remove_if(hall.Contacts.begin(),
                                     hall.Contacts.end(),
                                     [&](gsHallPeer const& peer) {
                                       return !MayBeUp(table, peer, now) &&
                                              peer.ExcludedUntil <= now;
                                     }),
                      hall.Contacts.end());
  SortContacts(table, hall, now);
}

} // namespace

/**
 * A summary is authoritative if its hall sent it. On a host that is no
 * coordinator, all summaries from its own hall are, as it receives reports of
 * other halls only through its coordinators.
 */
void ApplyDigest(gsHallMembership& table, std::string const& sendersHall,
                 gsHallDigest const& digest, gsTime now)
{
  bool isCoordinator = IsCoordinator(table, now);
  auto authoritative = [&](gsHallSummary const& summary) {
    bool isForwarded = sendersHall == table.Self.Hall && !isCoordinator;
    return summary.Hall == sendersHall || isForwarded;
  };
  bool fromOwnCoordinator = sendersHall == table.Self.Hall && !isCoordinator &&
                            digest.ReceiverHall.HostCount > 0;
  if (fromOwnCoordinator) {
    // Halls that the coordinator no longer reports become unreachable.
    for (auto& [name, hall] : table.OtherHalls) {
      hall.ReportedAt = gsTime{};
    }
  }
  ApplySummary(table, digest.ReceiverHall, authoritative(digest.ReceiverHall),
               now);
  for (gsHallSummary const& other : digest.OtherHalls) {
    ApplySummary(table, other, authoritative(other), now);
  }
}

namespace {

/** Summary of another hall, with those of its hosts that may be sent requests.
 */
gsHallSummary OtherHallSummary(gsHallMembership const& table,
                               std::string const& name,
                               gsOtherHall const& hall, std::size_t maxHosts,
                               gsTime now)
{
  gsHallSummary summary;
  summary.Hall = name;
  bool isCurrent = IsRecent(hall.ReportedAt, table.Settings.HallTimeout, now);
  summary.HostCount = isCurrent ? hall.HostCount : 0;
  for (gsHallPeer const& peer : hall.Contacts) {
    // Reports from other halls are not forwarded, as they would circulate
    // between halls.
    gsTime reportedAt = std::max(peer.ReceivedAt, peer.ReportedByOwnHallAt);
    if (summary.FirstHosts.size() < maxHosts && peer.ExcludedUntil <= now &&
        IsRecent(reportedAt, table.Settings.IndirectReportLifetime, now) &&
        !peer.Host.Leaving) {
      summary.FirstHosts.push_back(peer.Host);
    }
  }
  return summary;
}

/** Summary of this host's own hall. It lists only hosts from which this host
 * receives messages itself, as forwarded reports would keep dead hosts listed.
 */
gsHallSummary OwnHallSummary(gsHallMembership const& table,
                             std::size_t maxHosts, gsTime now)
{
  gsHallSummary summary;
  summary.Hall = table.Self.Hall;
  for (gsHallHost const* host : HostsInDutyOrder(table, true, now)) {
    if (summary.FirstHosts.size() < maxHosts) {
      summary.FirstHosts.push_back(*host);
    }
  }
  summary.HostCount =
    IsCoordinator(table, now) ? CountDirectHosts(table, now) : 0;
  return summary;
}

/** Creates the digest for the hosts of a hall. */
gsHallDigest CreateDigest(gsHallMembership const& table,
                          std::string const& hall, gsTime now)
{
  gsHallDigest digest;
  bool isCoordinator = IsCoordinator(table, now);
  std::size_t maxCandidates = table.Settings.MaxCandidates;
  bool isOwnHall = hall == table.Self.Hall;
  if (isOwnHall) {
    digest.ReceiverHall = OwnHallSummary(table, maxCandidates, now);
  } else {
    digest.ReceiverHall.Hall = hall;
    auto found = table.OtherHalls.find(hall);
    if (found != table.OtherHalls.end()) {
      digest.ReceiverHall =
        OtherHallSummary(table, hall, found->second, maxCandidates, now);
    }
    digest.OtherHalls.push_back(
      OwnHallSummary(table, table.Settings.MaxCoordinators, now));
  }
  for (auto const& [name, other] : table.OtherHalls) {
    // Halls without a current authoritative report are left out, as forwarded
    // reports would keep dead halls listed.
    bool hasReport =
      IsRecent(other.ReportedAt, table.Settings.HallTimeout, now);
    if (name != hall && hasReport) {
      digest.OtherHalls.push_back(
        OtherHallSummary(table, name, other, 1, now));
      digest.OtherHalls.back().HostCount *= isCoordinator ? 1 : 0;
    }
  }
  return digest;
}

void MixText(std::uint64_t& hash, std::string_view text)
{
  hash = gsRendezvousWeight(text, hash);
}

void MixNumber(std::uint64_t& hash, std::uint64_t number)
{
  MixText(hash, { reinterpret_cast<char const*>(&number), sizeof(number) });
}

void MixSummary(std::uint64_t& hash, gsHallSummary const& summary)
{
  MixText(hash, summary.Hall);
  MixNumber(hash, summary.HostCount);
  for (gsHallHost const& host : summary.FirstHosts) {
    MixText(hash, host.Host);
    MixNumber(hash, host.Incarnation);
  }
}

std::uint64_t HashOf(gsHallDigest const& digest)
{
  std::uint64_t hash = 1;
  MixSummary(hash, digest.ReceiverHall);
  for (gsHallSummary const& summary : digest.OtherHalls) {
    MixSummary(hash, summary);
  }
  return std::max<std::uint64_t>(hash, 1);
}

} // namespace

DigestCache::DigestCache(gsHallMembership const& table, gsTime now)
  : Table(table)
  , Now(now)
{
}

DigestCache::Entry const& DigestCache::Get(std::string const& hall)
{
  auto found = this->ByHall.find(hall);
  if (found == this->ByHall.end()) {
    Entry entry;
    entry.Digest = CreateDigest(this->Table, hall, this->Now);
    entry.Hash = HashOf(entry.Digest);
    found = this->ByHall.emplace(hall, std::move(entry)).first;
  }
  return found->second;
}

void AddDigest(gsHallMessage& message, gsHallPeer& peer,
               DigestCache::Entry const& entry)
{
  message.DigestHash = entry.Hash;
  if (peer.SentDigestHash != entry.Hash || peer.DigestRequested) {
    peer.SentDigestHash = entry.Hash;
    peer.DigestRequested = false;
    message.Digest = entry.Digest;
  }
}

} // namespace gsHallDetail
