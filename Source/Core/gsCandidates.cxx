/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsCandidates.h"

#include <algorithm>
#include <random>
#include <string>

#include "gsArrangement.h"
#include "gsRendezvous.h"

namespace {

/** Number of arcs of the ring from which a subject's home is chosen by
 * rendezvous hashing. */
constexpr std::size_t ArcCount = 4;
/** Number of upstreams of the request's group per arc. The number of subjects
 * of an upstream is proportional to the number of arcs that contain it; with
 * 1,000 upstreams none has more than four times the mean. */
constexpr std::size_t ArcGroupSize = 8;
/** Maximum number of upstreams per arc, whichever their group. */
constexpr std::size_t MaxArcSize = 24;
/** Number of random draws; upstreams of the own hall are preferred among them.
 */
constexpr std::size_t DrawCount = 64;
/** Number of drawn upstreams that are evaluated. */
constexpr std::size_t EvaluatedDrawCount = 24;
/** Number of random draws if none of the first candidates can be chosen. */
constexpr std::size_t FurtherDrawCount = 512;

/** Indices into gsFleet::Rows. */
using RowIndices = std::vector<std::size_t>;

/** All upstreams of the service; null if it has none. */
RowIndices const* ServiceRows(gsFleet const& fleet,
                              gsCandidateQuery const& query)
{
  auto found = fleet.ByService.find(std::string(query.Service));
  return found == fleet.ByService.end() ? nullptr : &found->second;
}

/** Whether the engine belongs to the queried group. */
bool IsInGroup(gsFleetRow const& row, gsCandidateQuery const& query)
{
  if (query.Group == gsFleetGroup::Any || !query.GroupBoundary) {
    return true;
  }
  bool wantsLong = query.Group == gsFleetGroup::Long;
  return gsIsAtOrBefore(row, query.GroupBoundary) == wantsLong;
}

/** Appends the upstreams of the arc that begins at an index of the ring. */
void AddArc(gsFleet const& fleet, gsCandidateQuery const& query,
            gsEngineRing const& ring, std::size_t begin, RowIndices& homes)
{
  std::size_t found = 0;
  for (std::size_t i = 0; i < MaxArcSize && found < ArcGroupSize; ++i) {
    std::size_t index = ring[(begin + i) % ring.size()].Row;
    homes.push_back(index);
    found += IsInGroup(fleet.Rows[index], query) ? 1 : 0;
  }
}

/** Candidates for the home of the query's subject; empty without a subject.
 * The arcs begin at positions hashed from the subject. */
RowIndices HomeRowsOf(gsFleet const& fleet, gsCandidateQuery const& query)
{
  auto ring = fleet.Rings.find(std::string(query.Service));
  if (query.Subject == 0 || ring == fleet.Rings.end()) {
    return {};
  }
  RowIndices homes;
  homes.reserve(ArcCount * MaxArcSize);
  for (std::size_t arc = 0; arc < ArcCount; ++arc) {
    std::string const name = std::to_string(arc);
    auto position =
      static_cast<std::uint32_t>(gsRendezvousWeight(name, query.Subject));
    AddArc(fleet, query, ring->second,
           gsRingLowerBound(ring->second, position), homes);
  }
  return homes;
}

/** Draws indices at random, with replacement. */
RowIndices Draw(RowIndices const& members, std::size_t count, gsRandom& random)
{
  std::uniform_int_distribution<std::size_t> any(0, members.size() - 1);
  RowIndices drawn;
  drawn.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    drawn.push_back(members[any(random)]);
  }
  return drawn;
}

/** Sorts the rows and removes duplicates. */
void RemoveDuplicates(RowIndices& rows)
{
  std::sort(rows.begin(), rows.end());
  rows.erase(std::unique(rows.begin(), rows.end()), rows.end());
}

} // namespace

gsCandidates gsSelectCandidates(gsFleet const& fleet,
                                gsCandidateQuery const& query,
                                gsRandom& random)
{
  gsCandidates candidates;
  RowIndices const* members = ServiceRows(fleet, query);
  if (members == nullptr || members->empty()) {
    return candidates;
  }
  candidates.ServiceSize = members->size();
  if (members->size() <= gsMaxFullyEvaluated) {
    candidates.Rows = *members;
    candidates.HomeRows = *members;
    return candidates;
  }
  candidates.HomeRows = HomeRowsOf(fleet, query);
  RemoveDuplicates(candidates.HomeRows);
  RowIndices drawn = Draw(*members, DrawCount, random);
  std::stable_partition(
    drawn.begin(), drawn.end(), [&fleet](std::size_t index) {
      return fleet.Rows[index].Listed.Hall == fleet.Settings.Hall;
    });
  drawn.resize(EvaluatedDrawCount);
  candidates.Rows = candidates.HomeRows;
  candidates.Rows.insert(candidates.Rows.end(), drawn.begin(), drawn.end());
  RemoveDuplicates(candidates.Rows);
  return candidates;
}

std::vector<std::size_t> gsDrawFurtherCandidates(gsFleet const& fleet,
                                                 gsCandidateQuery const& query,
                                                 gsRandom& random)
{
  RowIndices const* members = ServiceRows(fleet, query);
  if (members == nullptr || members->size() <= gsMaxFullyEvaluated) {
    return {};
  }
  RowIndices drawn = Draw(*members, FurtherDrawCount, random);
  RemoveDuplicates(drawn);
  return drawn;
}
