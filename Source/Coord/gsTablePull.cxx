/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTablePull.h"

#include <algorithm>

#include "gsRendezvous.h"

void gsPullRecordVersion(gsTablePull& pull, std::string_view host,
                         std::uint64_t version, std::uint64_t ownVersion,
                         gsTime now)
{
  auto found = pull.Peers.find(host);
  if (found == pull.Peers.end()) {
    found = pull.Peers.emplace(std::string(host), gsTablePull::Peer{}).first;
  }
  gsTablePull::Peer& peer = found->second;
  peer.Version = version;
  if (version <= ownVersion) {
    peer.AheadSince = gsTime{};
  } else if (peer.AheadSince.count() == 0) {
    peer.AheadSince = now;
  }
}

std::uint64_t gsPullVersionOf(gsTablePull const& pull, std::string_view host)
{
  auto found = pull.Peers.find(host);
  return found == pull.Peers.end() ? 0 : found->second.Version;
}

void gsPullRecordQuery(gsTablePull& pull, std::string_view host, gsTime now)
{
  pull.Queried = host;
  pull.QueriedAt = now;
  pull.IsPending = true;
  pull.WholeValues = false;
}

void gsPullRecordUpdate(gsTablePull& pull, std::string_view host)
{
  pull.IsPending = pull.IsPending && pull.Queried != host;
}

void gsPullRecordBusy(gsTablePull& pull, std::string_view host, gsTime now)
{
  gsPullRecordUpdate(pull, host);
  auto found = pull.Peers.find(host);
  if (found != pull.Peers.end()) {
    found->second.BusyUntil = now + pull.Settings.BusyDelay;
  }
}

void gsPullRecordUnusable(gsTablePull& pull, std::string_view host)
{
  pull.WholeValues =
    pull.WholeValues || (pull.IsPending && pull.Queried == host);
  gsPullRecordUpdate(pull, host);
}

bool gsPullIsExpecting(gsTablePull const& pull, gsTime progressAt, gsTime now)
{
  gsTime last = std::max(pull.QueriedAt, progressAt);
  return pull.IsPending && now - last < pull.Settings.AnswerTimeout;
}

std::optional<std::string> gsPullNextHost(gsTablePull const& pull,
                                          std::uint64_t ownVersion,
                                          gsTime progressAt, gsTime now)
{
  if (gsPullIsExpecting(pull, progressAt, now)) {
    return std::nullopt;
  }
  // Hosts of a hall that lack the same changes query different hosts.
  std::uint64_t const key = gsHashText(pull.Self);
  std::optional<std::string> best;
  std::uint64_t bestWeight = 0;
  for (auto const& [host, peer] : pull.Peers) {
    bool isDue = peer.Version > ownVersion && peer.AheadSince.count() != 0 &&
                 now - peer.AheadSince >= pull.Settings.QueryDelay &&
                 now >= peer.BusyUntil;
    if (!isDue) {
      continue;
    }
    bool isRepeat = pull.IsPending && host == pull.Queried;
    std::uint64_t weight = isRepeat ? 0 : gsRendezvousWeight(host, key);
    if (!best || weight > bestWeight) {
      best = host;
      bestWeight = weight;
    }
  }
  return best;
}
