/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsCandidates.h"

#include <algorithm>
#include <random>
#include <string>

#include "gsArrangement.h"
#include "gsRendezvous.h"

namespace {

/** A subject's home is the first by its own order in so many arcs, */
constexpr std::size_t Arcs = 4;
/** each of so many upstreams of the group: an upstream gets as many subjects
 * as it lies in arcs, at most four times the mean of 1,000. */
constexpr std::size_t InArc = 8;
/** An arc ends after so many of either group. */
constexpr std::size_t ArcMost = 24;
/** Drawn at random, of which those of the own hall go first, */
constexpr std::size_t Drawn = 64;
/** and so many are weighed. */
constexpr std::size_t DrawnWeighed = 24;
constexpr std::size_t DrawnFurther = 512;

using Members = std::vector<std::size_t>;

Members const* MembersOf(gsFleet const& fleet, gsCandidateAsk const& ask)
{
  auto found = fleet.ByService.find(std::string(ask.Service));
  return found == fleet.ByService.end() ? nullptr : &found->second;
}

bool IsInGroup(gsFleetRow const& row, gsCandidateAsk const& ask)
{
  if (ask.Group == gsFleetGroup::Any || !ask.Border) {
    return true;
  }
  bool wantsLong = ask.Group == gsFleetGroup::Long;
  return gsIsBefore(row, ask.Border) == wantsLong;
}

/** Adds the upstreams from a point of the ring on. */
void AddArc(gsFleet const& fleet, gsCandidateAsk const& ask,
            gsEngineRing const& ring, std::size_t begin, Members& homes)
{
  std::size_t found = 0;
  for (std::size_t i = 0; i < ArcMost && found < InArc; ++i) {
    std::size_t index = ring[(begin + i) % ring.size()].Row;
    homes.push_back(index);
    found += IsInGroup(fleet.Rows[index], ask) ? 1 : 0;
  }
}

Members HomesOf(gsFleet const& fleet, gsCandidateAsk const& ask)
{
  auto ring = fleet.Rings.find(std::string(ask.Service));
  if (ask.Subject == 0 || ring == fleet.Rings.end()) {
    return {};
  }
  Members homes;
  homes.reserve(Arcs * ArcMost);
  for (std::size_t arc = 0; arc < Arcs; ++arc) {
    std::string const name = std::to_string(arc);
    auto point =
      static_cast<std::uint32_t>(gsRendezvousWeight(name, ask.Subject));
    AddArc(fleet, ask, ring->second, gsRingAfter(ring->second, point), homes);
  }
  return homes;
}

Members Draw(Members const& members, std::size_t count, gsRandom& random)
{
  std::uniform_int_distribution<std::size_t> any(0, members.size() - 1);
  Members drawn;
  drawn.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    drawn.push_back(members[any(random)]);
  }
  return drawn;
}

void RemoveTwins(Members& rows)
{
  std::sort(rows.begin(), rows.end());
  rows.erase(std::unique(rows.begin(), rows.end()), rows.end());
}

} // namespace

gsCandidates gsCandidatesFor(gsFleet const& fleet, gsCandidateAsk const& ask,
                             gsRandom& random)
{
  gsCandidates candidates;
  Members const* members = MembersOf(fleet, ask);
  if (members == nullptr || members->empty()) {
    return candidates;
  }
  candidates.Members = members->size();
  if (members->size() <= gsWeighedWhole) {
    candidates.Rows = *members;
    candidates.Homes = *members;
    return candidates;
  }
  candidates.Homes = HomesOf(fleet, ask);
  RemoveTwins(candidates.Homes);
  Members drawn = Draw(*members, Drawn, random);
  std::stable_partition(
    drawn.begin(), drawn.end(), [&fleet](std::size_t index) {
      return fleet.Rows[index].Listed.Hall == fleet.Settings.Hall;
    });
  drawn.resize(DrawnWeighed);
  candidates.Rows = candidates.Homes;
  candidates.Rows.insert(candidates.Rows.end(), drawn.begin(), drawn.end());
  RemoveTwins(candidates.Rows);
  return candidates;
}

std::vector<std::size_t> gsFurtherCandidates(gsFleet const& fleet,
                                             gsCandidateAsk const& ask,
                                             gsRandom& random)
{
  Members const* members = MembersOf(fleet, ask);
  if (members == nullptr || members->size() <= gsWeighedWhole) {
    return {};
  }
  Members drawn = Draw(*members, DrawnFurther, random);
  RemoveTwins(drawn);
  return drawn;
}
