/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The placement of a request of the routed mode: the properties by which an
 * upstream is chosen for it, and the log line of the choice.
 */
#pragma once

#include "gsFleet.h"
#include "gsPlacement.h"
#include "gsRoutedRequest.h"

/** State of the host on which the placement of all requests depends. */
struct gsPlacementState
{
  double MeanMillisPerToken = 0; ///< Including queueing.
  /** Hosts that share the upstreams, including this one; at least 1. */
  std::size_t HostCount = 1;
  std::size_t RecentPeakHosts = 1;
};

/**
 * The properties of a request that determine its placement. Refers to the
 * request.
 * \param alsoTried Also allow the upstreams of earlier attempts.
 * \param isFirst Count the request in the demand and in the statistics of its
 * route.
 */
gsPlacementRequest gsMakePlacementRequest(gsFleet& fleet,
                                          gsRoutedRequest const& request,
                                          gsPlacementState const& state,
                                          bool alsoTried, bool isFirst);

/** Predicted time to the first event at the chosen upstream; zero if it cannot
 * be predicted. */
gsTime gsPredictedFirstEvent(gsRoutedRequest const& request,
                             gsPlacement const& placement);

/** Logs the choice of an upstream, or that there is none. */
void gsLogPlacement(gsFleet const& fleet, gsRoutedRequest const& request,
                    gsPlacementRequest const& ask,
                    gsPlacement const& placement, gsTime now);
