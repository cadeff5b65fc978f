/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The first checks of a request of the routed mode: its route, its
 * organisation, and whether this host can handle requests at all.
 */
#pragma once

#include <memory>

#include "gsAdapter.h"
#include "gsRoutedRequest.h"

/** Code of the error for a request that would outlast this host. */
constexpr char const* gsStoppingError = "stopping";

/** State of the host on which the checks depend. */
struct gsIntakeState
{
  std::shared_ptr<gsRouteTable const> RouteTable; ///< Null before the first.
  bool IsCatchingUp = false; ///< After a stall of the process.
  /** When this host stops; zero if it does not. */
  gsTime StopAt{};
};

/** Fills in a request from its exchange with the caller. \return Why it is
 * rejected otherwise. */
gsResult<bool> gsTakeInRequest(gsAdapter const& adapter,
                               gsIntakeState const& state, gsRandom& random,
                               gsRoutedRequest& request);

/** HTTP status of a rejection by gsTakeInRequest. */
unsigned gsIntakeStatus(gsError const& error);
