/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsConnectionShedding.h"

#include <algorithm>

namespace {

constexpr std::size_t MaxCallers = 4096;
constexpr std::size_t MaxOperators = 256;
constexpr std::size_t MaxPeers = 2048;
constexpr std::size_t MinConnections = 16;
/** Parts of the descriptors. */
constexpr std::size_t CallersDivisor = 2;
constexpr std::size_t PeersDivisor = 8;
/** Parts of the callers' limit that other listeners have. */
constexpr std::size_t ForwardingDivisor = 4;
constexpr std::size_t OperatorsDivisor = 16;
/** Part of a limit that is kept free for new callers. */
constexpr std::size_t FreeDivisor = 8;
/** Part of it below which a shortage is severe. */
constexpr std::size_t SevereDivisor = 16;
/** Pauses of a caller that are not counted. */
constexpr gsTime MaxPause = gsMilliseconds(1000);
constexpr gsTime MaxPauseIfSevere = gsMilliseconds(200);

} // namespace

gsConnectionLimits gsLimitConnections(gsConnectionResources const& resources)
{
  std::size_t callers =
    std::min(MaxCallers, resources.Descriptors / CallersDivisor);
  if (resources.Bytes > 0) {
    callers = std::min<std::size_t>(callers, resources.Bytes /
                                               resources.BytesPerConnection);
  }
  callers = std::max(callers, MinConnections);
  gsConnectionLimits limits;
  limits.Callers = callers;
  limits.Forwarding = std::max(MinConnections, callers / ForwardingDivisor);
  limits.Operators =
    std::clamp(callers / OperatorsDivisor, MinConnections, MaxOperators);
  limits.Peers =
    std::clamp(resources.Descriptors / PeersDivisor, MinConnections, MaxPeers);
  return limits;
}

gsConnectionShortage gsFindConnectionShortage(std::size_t open,
                                              std::size_t limit)
{
  auto above = [open](std::size_t most) {
    return open - std::min(open, most);
  };
  gsConnectionShortage shortage;
  shortage.Unfinished = above(limit - limit / FreeDivisor);
  shortage.IsSevere = above(limit - limit / SevereDivisor) > 0;
  if (shortage.IsSevere) {
    shortage.Resting = shortage.Unfinished;
    shortage.Unfinished = above(limit / 2);
  }
  return shortage;
}

gsConnectionShortage gsFindConnectionShortage(gsMemoryShortage const& memory,
                                              std::uint64_t bytesPerConnection)
{
  std::size_t count =
    (memory.Bytes + bytesPerConnection - 1) / bytesPerConnection;
  return { count, memory.IsSevere ? count : 0, memory.IsSevere };
}

std::vector<std::size_t> gsSelectConnections(
  gsConnectionShortage const& shortage,
  std::vector<gsWaitingConnection> const& connections, gsTime now)
{
  gsTime pause = shortage.IsSevere ? MaxPauseIfSevere : MaxPause;
  auto select = [&](gsConnectionPhase phase, std::size_t most) {
    std::vector<std::size_t> selected;
    for (std::size_t i = 0; most > 0 && i < connections.size(); ++i) {
      if (connections[i].Phase == phase &&
          now - connections[i].ProgressAt >= pause) {
        selected.push_back(i);
      }
    }
    std::size_t count = std::min(selected.size(), most);
    std::partial_sort(
      selected.begin(), selected.begin() + static_cast<std::ptrdiff_t>(count),
      selected.end(), [&connections](std::size_t a, std::size_t b) {
        return connections[a].ProgressAt < connections[b].ProgressAt;
      });
    selected.resize(count);
    return selected;
  };
  std::vector<std::size_t> selected =
    select(gsConnectionPhase::Unfinished, shortage.Unfinished);
  std::size_t resting = shortage.Resting;
  resting -= std::min(resting, selected.size());
  std::vector<std::size_t> rest = select(gsConnectionPhase::Resting, resting);
  selected.insert(selected.end(), rest.begin(), rest.end());
  return selected;
}
