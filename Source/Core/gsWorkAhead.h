/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * How much of the open work at an upstream comes before one more request.
 *
 * An upstream admits the waiting requests in the order of their urgency, and
 * does not take a slot from a request that runs. So what comes before a
 * request are all requests that are as urgent or more urgent, those less
 * urgent ones that run, and the one prompt that may be in process. Load of
 * unknown urgency counts as being as urgent as the request.
 */
#pragma once

#include <cstdint>

#include "gsFleet.h"

/** The open work at an upstream that comes before a request. */
struct gsWorkAhead
{
  double Requests = 0;     ///< Requests that have a slot or get one before.
  double PromptTokens = 0; ///< Prompts that are processed before.
  double MemoryTokens = 0; ///< Of these requests.
  double MoreUrgent = 0;   ///< Those of them that are known to be more urgent.
};

/** Expected number of running requests that end at an upstream in a
 * millisecond, each of which releases a slot; zero if unknown. */
double gsSlotReleaseRate(gsFleet const& fleet, gsFleetRow const& row,
                         gsTime now);

/**
 * Expected time in milliseconds until a slot is free for one more request.
 * More urgent requests that arrive meanwhile are admitted first, and are
 * expected to need as many slots as they hold now.
 */
double gsSlotWaitMillis(gsFleet const& fleet, gsFleetRow const& row,
                        gsWorkAhead const& ahead, gsTime now);

/** Open requests at an upstream with a route's priority, or of unknown
 * urgency. */
double gsRequestsOfKind(gsFleet const& fleet, gsFleetRow const& row,
                        std::uint32_t priority, gsTime now);

/** The work that comes before one more request with a route's priority. */
gsWorkAhead gsWorkAheadOf(gsFleet const& fleet, gsFleetRow const& row,
                          std::uint32_t priority, gsTime now);
