/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What gsPlacement weighs of one upstream: whether it may get a request, and
 * what it costs, in tokens of prompt. Not for others; they include
 * gsPlacement.h.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gsPlacement.h"

namespace gsPlacementDetail {

/** Expected first token, as a share of the target, from which on a miss is
 * thought possible. */
constexpr double MissFrom = 0.7;

/** What all candidates of one choice have in common. */
struct Choice
{
  double UsualFailShare = 0;
  gsFleetRow const* Preferred = nullptr; ///< Of the request's subject.
  gsFleetGroup Group = gsFleetGroup::Any;
  std::uint32_t LongEngines = 0;
  double HoldLong = 0;                ///< See gsDemand.
  double HoldTight = 0;               ///< See gsDemand.
  gsEnginePace const* Pace = nullptr; ///< Of the service; null if unknown.
};

Choice MakeChoice(gsFleet const& fleet, std::vector<std::size_t> const& rows,
                  gsPlacementAsk const& ask, gsTime now);

bool WasTried(gsPlacementAsk const& ask, gsFleetRow const& row);

/** Whether it may be sent the request at all. */
bool MayGet(gsFleet const& fleet, gsFleetRow const& row,
            gsPlacementAsk const& ask, gsTime now);

/** Whether it has a place that is not kept for more urgent requests. */
bool HasPlace(gsFleet const& fleet, gsFleetRow const& row,
              gsPlacementAsk const& ask, gsTime now);

/** Whether it is one of the engines for the request's kind. */
bool InGroup(gsFleetRow const& row, Choice const& choice);

/** Whether this host has had all the prompt's shared parts read there. */
bool HoldsShared(gsFleet const& fleet, gsFleetRow const& row,
                 gsPlacementAsk const& ask, gsTime now);

/**
 * Tokens that the upstream will probably read: not those of shared parts that
 * other hosts have had read there, or that another engine can hand over.
 */
std::uint32_t ExpectedRead(gsFleet const& fleet, gsFleetRow const& row,
                           gsPlacementAsk const& ask, Choice const& choice,
                           std::uint32_t toRead, gsTime now);

/** Time until the first token, as a share of the target; zero if unknown. */
double ExpectedShare(gsFleet const& fleet, gsFleetRow const& row,
                     gsPlacementAsk const& ask, Choice const& choice,
                     std::uint32_t toRead, gsTime now);

/** What the upstream costs the request and others, in tokens. */
double TotalCost(gsFleet const& fleet, gsFleetRow const& row,
                 gsPlacementAsk const& ask, Choice const& choice,
                 std::uint32_t toRead, gsTime now);

/** The engine from which the chosen one may take the shared parts. */
gsFleetRow const* HolderFor(gsFleet const& fleet,
                            std::vector<std::size_t> const& rows,
                            gsPlacementAsk const& ask, Choice const& choice,
                            gsFleetRow const& chosen, gsTime now);

} // namespace gsPlacementDetail
