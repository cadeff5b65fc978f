/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsForwarding.h"

#include <algorithm>

#include "gsRendezvous.h"

void gsPathRecordFailure(gsUpstreamPath& path, std::uint32_t upstream,
                         gsTime now)
{
  if (now - path.LastFailureAt > path.Settings.FailureLifetime) {
    path.FailedUpstreams.clear();
  }
  path.FailedUpstreams.insert(upstream);
  path.LastFailureAt = now;
}

void gsPathRecordReceived(gsUpstreamPath& path)
{
  path.FailedUpstreams.clear();
}

bool gsPathIsCut(gsUpstreamPath const& path, std::size_t upstreams, gsTime now)
{
  std::size_t needed = std::min(path.Settings.MinFailures, upstreams);
  return needed > 0 && path.FailedUpstreams.size() >= needed &&
         now - path.LastFailureAt <= path.Settings.FailureLifetime;
}

bool gsPathTakeProbe(gsUpstreamPath& path, gsTime now)
{
  if (now - path.ProbedAt < path.Settings.ProbeInterval) {
    return false;
  }
  path.ProbedAt = now;
  return true;
}

void gsRecordForward(gsAvoidedHosts& avoided,
                     gsForwardSettings const& settings, std::string_view host,
                     bool couldRun, gsTime now)
{
  auto found = avoided.find(host);
  if (couldRun) {
    if (found != avoided.end()) {
      avoided.erase(found);
    }
    return;
  }
  if (found == avoided.end()) {
    found = avoided.emplace(std::string(host), gsAvoidedHost{}).first;
  }
  gsAvoidedHost& entry = found->second;
  entry.Duration = std::clamp(entry.Duration * 2, settings.InitialAvoidTime,
                              settings.MaxAvoidTime);
  entry.Until = now + entry.Duration;
}

std::optional<gsForwardPeer> gsChooseForwardPeer(
  std::vector<gsForwardPeer> const& peers, gsAvoidedHosts const& avoided,
  std::vector<std::string> const& tried, std::uint64_t key, gsTime now)
{
  std::optional<gsForwardPeer> best;
  double bestScore = 0;
  for (gsForwardPeer const& peer : peers) {
    auto until = avoided.find(peer.Host);
    bool isAvoided = until != avoided.end() && now < until->second.Until;
    bool isTried =
      std::find(tried.begin(), tried.end(), peer.Host) != tried.end();
    if (isAvoided || isTried || peer.Weight <= 0) {
      continue;
    }
    double score = gsWeightedRendezvousScore(peer.Host, key, peer.Weight);
    if (!best || score > bestScore) {
      best = peer;
      bestScore = score;
    }
  }
  return best;
}

bool gsAcceptsForwarded(gsForwardSettings const& settings, std::size_t own,
                        std::size_t forwarded)
{
  return forwarded < settings.MinAccepted + own;
}
