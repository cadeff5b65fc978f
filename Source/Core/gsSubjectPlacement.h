/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Which engines serve a subject, by the prefix directory. All hosts decide
 * alike from the same directory:
 *
 * - The engines that serve a subject are those that hold its shared parts or
 *   process them, else the first one in the subject's order (weighted
 *   rendezvous hashing by engine speed, the request's group first).
 * - Of these the one with the shortest predicted first event is used. A
 *   request leaves them only if none is available or all are full, never
 *   because they are busy.
 * - An engine is added if the subject's demand needs more engines, or if the
 *   predicted first event at all of them exceeds the target or the best of
 *   them is suspended. It is the next one in the order whose own predicted
 *   first event is under half of the target, or that has room if there is no
 *   target. Engines that still hold the parts come first.
 * - Engines whose pauses under load exceed the request's target are only used
 *   if there is no other; see gsEngineSpeed.h.
 * - An engine is removed when it has not been needed for some seconds.
 *
 * Each change of this set is recorded when a request is sent, not when it is
 * placed.
 */
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "gsPlacement.h"
#include "gsPlacementCost.h"
#include "gsPrefixDirectory.h"

/** Key of a subject in the directory. */
gsPrefixKey gsPrefixKeyOf(std::string_view service, std::uint64_t subject);

/** Whether the directory tracks the request's subject: the directory is not
 * off, and the shared parts are not too short. */
bool gsIsTrackedRequest(gsFleetSettings const& settings,
                        gsPlacementRequest const& request);

/** Number of engines that a demand needs: one for each EngineShare, at least
 * one. */
std::uint32_t gsNeededEngines(gsFleet const& fleet, double demand);

/** Engine time that a request needs at an engine of speed 1 that holds its
 * shared parts; milliseconds. */
double gsSubjectEngineMillis(gsFleet const& fleet,
                             gsPlacementRequest const& request);

/** Number of prompt tokens that the upstream has to read. Excludes the shared
 * parts if it holds or processes them for any host. */
std::uint32_t gsSubjectTokensToRead(gsFleet const& fleet,
                                    gsFleetRow const& row,
                                    gsPlacementRequest const& request,
                                    gsTime now);

/** Records that an engine that serves the request's subject is busy, so that
 * none of them is removed soon. */
void gsRecordSubjectNeed(gsFleet& fleet, gsPlacementRequest const& request,
                         gsTime now);

/** Removes holdings of engines without a row, and lets engines that are not
 * needed no longer serve a subject. To be called about once per second. */
void gsReduceSubjectEngines(gsFleet& fleet, gsTime now);

namespace gsPlacementDetail {

/** The engines that may get a request, and the decision to be logged. */
struct SubjectChoice
{
  gsSubjectDecision Decision;
  /** Indices into gsFleet::Rows: the chosen engine, or all that serve the
   * subject if none of them has room. Empty if none is eligible. */
  std::vector<std::size_t> Rows;
  /** Several engines serve the subject, and one of them is busy. */
  bool IsAnyBusy = false;
};

/** Chooses among the engines that serve the request's subject. */
SubjectChoice ChooseForSubject(gsFleet& fleet, gsCandidates const& candidates,
                               gsPlacementRequest const& request,
                               PlacementContext const& context, gsTime now);

/** An engine that holds the subject and can transfer its parts to the chosen
 * one; null if there is none or the chosen one holds them. */
gsFleetRow const* FindSubjectTransferSource(gsFleet const& fleet,
                                            gsPlacementRequest const& request,
                                            gsFleetRow const& chosen,
                                            gsTime now);

} // namespace gsPlacementDetail
