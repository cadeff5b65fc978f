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
#include <optional>
#include <vector>

#include "gsCandidates.h"
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
  /** Place of the last engine for long prompts; absent for no groups. */
  std::optional<gsEngineKey> Border;
  double HoldLong = 0;                ///< See gsDemand.
  double HoldTight = 0;               ///< See gsDemand.
  gsEnginePace const* Pace = nullptr; ///< Of the service; null if unknown.
};

/** Without Preferred, which depends on the candidates. */
Choice MakeChoice(gsFleet const& fleet, gsPlacementAsk const& ask);

/** Completes a choice: the upstream on which all hosts agree for the request's
 * subject, and what is usual among the candidates. */
void NoteCandidates(Choice& choice, gsFleet const& fleet,
                    gsCandidates const& candidates, gsPlacementAsk const& ask,
                    gsTime now);

bool WasTried(gsPlacementAsk const& ask, gsFleetRow const& row);

/** Whether it lies where the request may be served. */
bool IsAllowed(gsFleet const& fleet, gsFleetRow const& row,
               gsPlacementAsk const& ask);

/** Whether it is cold, and this host has used its share of it. */
bool IsTooCold(gsFleet const& fleet, gsFleetRow const& row,
               gsPlacementAsk const& ask, gsTime now);

/** Whether it has rested, and it is not this host's turn to come back yet. */
bool WaitsToReturn(gsFleet const& fleet, gsFleetRow const& row,
                   gsPlacementAsk const& ask, gsTime now);

/** Whether it may be sent the request at all. */
bool MayGet(gsFleet const& fleet, gsFleetRow const& row,
            gsPlacementAsk const& ask, gsTime now);

/** Whether it has no rate limit, or an unreserved token is available. */
bool HasToken(gsFleet const& fleet, gsFleetRow const& row, gsTime now);

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
                            gsCandidates const& candidates,
                            gsPlacementAsk const& ask, Choice const& choice,
                            gsFleetRow const& chosen, gsTime now);

} // namespace gsPlacementDetail
