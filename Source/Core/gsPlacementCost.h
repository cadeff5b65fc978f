/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Implementation details of gsPlacement: whether an upstream is eligible for a
 * request, and its cost in tokens of prompt. Other files include
 * gsPlacement.h instead.
 *
 * The cost of an upstream is the number of prompt tokens that its engine reads
 * before the request's first token, plus penalties in the same unit for
 * running and queued requests, another hall, failures above the mean, shared
 * parts read more than once, exhausted memory, a missed target, an engine of
 * another group, and upstreams late in the subject's rendezvous order.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "gsCandidates.h"
#include "gsPlacement.h"

namespace gsPlacementDetail {

/** Expected time to the first token, as a share of the target, from which on a
 * missed target is considered possible. */
constexpr double MinMissShare = 0.7;

/**
 * Share of the time to read prompt parts that is saved by transferring them
 * from another engine. Computed from engine specifications: 4,000 tokens take
 * about 20 ms over an engine's link, and 100 ms or more to read at 40 tokens
 * per millisecond.
 */
constexpr double TransferSavedShare = 0.8;

/** The state common to the evaluation of all candidates for one request. */
struct PlacementContext
{
  double MeanFailureShare = 0; ///< Mean over the candidates.
  /** Home of the request's subject: the eligible upstream of the request's
   * group that all hosts prefer for it. Null without a subject. */
  gsFleetRow const* Home = nullptr;
  gsFleetGroup Group = gsFleetGroup::Any; ///< Of the request.
  /** Last engine of the group for long prompts in the service's order; empty
   * if the engines are not divided into groups. */
  std::optional<gsEngineKey> GroupBoundary;
  gsEngineTiming const* Pace = nullptr; ///< Of the service; null if unknown.
};

/** Creates a context from the request and its service. Home and
 * MeanFailureShare are set by SetCandidates. */
PlacementContext MakeContext(gsFleet const& fleet,
                             gsPlacementRequest const& request);

/** Sets the members that depend on the candidates: the home of the request's
 * subject and the mean failure share. */
void SetCandidates(PlacementContext& context, gsFleet const& fleet,
                   gsCandidates const& candidates,
                   gsPlacementRequest const& request, gsTime now);

/** Whether the request has been sent to this incarnation of the upstream
 * already. */
bool WasTried(gsPlacementRequest const& request, gsFleetRow const& row);

/** Whether the upstream has the software version that the request needs. */
bool IsOfRequiredVersion(gsFleetRow const& row,
                         gsPlacementRequest const& request);

/** Whether the upstream is in a region where the request may be served. */
bool IsInAllowedRegion(gsFleet const& fleet, gsFleetRow const& row,
                       gsPlacementRequest const& request);

/** Whether the upstream is cold, and this host may not send it a request yet
 * under its share of ColdPerSecond. */
bool ExceedsColdQuota(gsFleet const& fleet, gsFleetRow const& row,
                      gsPlacementRequest const& request, gsTime now);

/** Whether the upstream's backoff is over, but this host may not send it
 * another request yet, because hosts resume at different times. */
bool MustDelayResumption(gsFleet const& fleet, gsFleetRow const& row,
                         gsPlacementRequest const& request, gsTime now);

/** Whether the upstream may be sent the request by any host: the same as
 * IsEligible regardless of this host's share of its connections and of its
 * requests while it is cold. */
bool IsAvailable(gsFleet const& fleet, gsFleetRow const& row,
                 gsPlacementRequest const& request, gsTime now);

/** Whether the upstream may be sent the request, regardless of its load and
 * its rate limit. */
bool IsEligible(gsFleet const& fleet, gsFleetRow const& row,
                gsPlacementRequest const& request, gsTime now);

/** Whether an unreserved token is available of each limit of the upstream: its
 * rate limit and its shared slots. */
bool HasToken(gsFleet const& fleet, gsFleetRow const& row, gsTime now);

/** Expected time until a token of each limit of the upstream is available. */
gsTime TokenWait(gsFleet const& fleet, gsFleetRow const& row, gsTime now);

/**
 * Number of slots of the upstream that are kept for requests that are more
 * urgent than this one: for as many as there were recently and a sudden
 * increase, unless enough slots are released within their target. Zero if
 * there was none.
 */
double ReservedSlots(gsFleet const& fleet, gsFleetRow const& row,
                     gsPlacementRequest const& request, gsTime now);

/** Number of further requests like this one that the upstream may be sent
 * without taking slots or queue places that are kept for more urgent ones. */
double FreePlaces(gsFleet const& fleet, gsFleetRow const& row,
                  gsPlacementRequest const& request, gsTime now);

/** Whether the upstream has a slot or a queue place that is not kept for more
 * urgent requests. */
bool HasQueuePlace(gsFleet const& fleet, gsFleetRow const& row,
                   gsPlacementRequest const& request, gsTime now);

/** Whether the engine belongs to the request's group. */
bool IsInGroup(gsFleetRow const& row, PlacementContext const& context);

/** Whether the upstream has cached all shared parts of the prompt, as far as
 * this host's own requests show. */
bool HoldsSharedParts(gsFleet const& fleet, gsFleetRow const& row,
                      gsPlacementRequest const& request, gsTime now);

/** Whether other engines can probably obtain prompt parts from this one: it
 * and its hall can be reached, and the request may use its region. */
bool CanTransferFrom(gsFleet const& fleet, gsFleetRow const& row,
                     gsPlacementRequest const& request, gsTime now);

/** Whether transferring the shared parts between engines is possible and worth
 * it. */
bool IsTransferable(gsFleetSettings const& settings,
                    gsPlacementRequest const& request);

/**
 * Expected number of prompt tokens that the upstream will read, given the
 * number that it has not cached as far as this host knows. Excludes shared
 * parts that it has probably read for other hosts or that another engine can
 * transfer.
 */
std::uint32_t ExpectedTokensToRead(gsFleet const& fleet, gsFleetRow const& row,
                                   gsPlacementRequest const& request,
                                   PlacementContext const& context,
                                   std::uint32_t toRead, gsTime now);

/** Expected time to the first token as a share of the target; 0 if unknown. */
double ExpectedTargetShare(gsFleet const& fleet, gsFleetRow const& row,
                           gsPlacementRequest const& request,
                           std::uint32_t toRead, gsTime now);

/** Cost of sending the request to the upstream, including the cost to other
 * requests. */
gsCostParts CostOf(gsFleet const& fleet, gsFleetRow const& row,
                   gsPlacementRequest const& request,
                   PlacementContext const& context, std::uint32_t toRead,
                   gsTime now);

/** Finds the engine from which the chosen one can obtain the shared parts of
 * the prompt; null if there is none or the chosen one has them. */
gsFleetRow const* FindTransferSource(gsFleet const& fleet,
                                     gsCandidates const& candidates,
                                     gsPlacementRequest const& request,
                                     PlacementContext const& context,
                                     gsFleetRow const& chosen, gsTime now);

} // namespace gsPlacementDetail
