/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Predicted service of one request at one engine, and the capacity of a
 * service's engines, for admission (gsOverload.h).
 *
 * Times per prompt token are low quantiles of measured times, which do not
 * rise with load. The prompt tokens that are pending at an engine are often
 * overestimated, since a host does not know which prompt parts other hosts'
 * requests have left in the engine's cache. Predictions are therefore
 * multiplied by a factor that is learned from measured times.
 */
#pragma once

#include <string>

#include "gsFleet.h"
#include "gsPlacement.h"

/** Predicted service of one request at one upstream. */
struct gsServiceEstimate
{
  gsTime FirstEvent{};   ///< Until the first event or whole answer.
  double PauseShare = 0; ///< Expected longest pause / its target.
  /** Engine time that the request needs at an engine of speed 1. */
  double EngineMillis = 0;
};

/** Predicts the service of a request.
 * \param tokensToRead Prompt tokens that the engine has not cached. */
gsServiceEstimate gsEstimateService(gsFleet const& fleet,
                                    gsFleetRow const& row,
                                    gsPlacementRequest const& request,
                                    std::uint32_t tokensToRead, gsTime now);

/** Expected number of prompt tokens that an engine has to process.
 * \param isHome Whether it is the home of the request's subject, which has
 * probably cached the shared parts for requests of other hosts. */
std::uint32_t gsLikelyTokensToRead(gsFleet const& fleet, gsFleetRow const& row,
                                   gsPlacementRequest const& request,
                                   bool isHome, gsTime now);

/** An engine with the predicted service of a request. */
struct gsEngineChoice
{
  gsFleetRow* Row = nullptr; ///< Null if no engine is eligible.
  std::uint32_t TokensToRead = 0;
  gsServiceEstimate Estimate;
};

/**
 * The eligible engine with about the earliest first event. Times are varied
 * by up to a quarter, so that hosts do not all choose the same engine.
 * Evaluates at most gsMaxFullyEvaluated engines.
 */
gsEngineChoice gsFindEarliestEngine(gsFleet& fleet,
                                    gsPlacementRequest const& request,
                                    gsTime now, gsRandom& random);

/** Measures the capacity and the backlog of a service's engines, unless they
 * were measured a short time ago. Evaluates at most gsMaxFullyEvaluated
 * engines and extrapolates. */
void gsMeasureCapacity(gsFleet& fleet, std::string const& service, gsTime now);
