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
};

/** The work that comes before one more request with a route's priority. */
gsWorkAhead gsWorkAheadOf(gsFleet const& fleet, gsFleetRow const& row,
                          std::uint32_t priority, gsTime now);
