/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Reachability of other halls. A hall is marked unreachable as a whole when
 * connections to several of its upstreams fail within a short time and nothing
 * is received from any of them. Otherwise each host would detect the failure
 * separately for each upstream, at the cost of a delayed request each time.
 * The host that detects it reports it to the other hosts of its own hall, and
 * retries with increasing delays on their behalf.
 *
 * The state is held in plain structs. Callers pass in the current time.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "gsTypes.h"

struct gsHallReachabilitySettings
{
  /** Number of upstreams of a hall that have to fail within FailureWindow
   * for the hall to be marked unreachable. */
  std::size_t MinFailures = 2;
  /** Time from the first failure within which further failures are counted
   * together with it. */
  gsTime FailureWindow = gsSeconds(2);
  /** Delay of the first retry. It doubles with each retry. */
  gsTime InitialRetryDelay = gsMilliseconds(400);
  /** Maximum delay between retries. */
  gsTime MaxRetryDelay = gsMilliseconds(1600);
  /** An unreachable hall counts as reachable again if no connection failed for
   * longer. */
  gsTime FailureLifetime = gsSeconds(4);
};

/** Reachability of one other hall, from the view of this host. */
struct gsHallReachability
{
  /** Upstreams to which connections failed; cleared when any upstream of the
   * hall is heard from. */
  std::set<std::string> FailedUpstreams;
  gsTime FirstFailureAt{};    ///< When the first upstream was added to
                              ///< FailedUpstreams.
  gsTime LastFailureAt{};     ///< When a connection last failed.
  bool IsUnreachable = false; ///< Set when enough upstreams have failed.
  gsTime RetryAt{};           ///< When a retry is allowed, if unreachable.
  gsTime RetryDelay{};        ///< Current delay between retries.
  /** Another host of this host's hall reports the hall as unreachable. */
  bool IsReportedUnreachable = false;
};

/** Reachability by hall name. Halls without any failure or report have no
 * entry. */
using gsHallReachabilityMap =
  std::map<std::string, gsHallReachability, std::less<>>;

/** Records a failed connection to an upstream of a hall. \return Whether the
 * hall has become unreachable by it. */
bool gsHallRecordFailure(gsHallReachabilityMap& halls,
                         gsHallReachabilitySettings const& settings,
                         std::string_view hall, std::string_view upstream,
                         gsTime now);

/**
 * Records when any upstream of a hall was last heard from; ignored if that was
 * no later than the first failure. \return Whether the hall was unreachable by
 * failures of this host and no longer is.
 */
bool gsHallRecordResponse(gsHallReachabilityMap& halls, std::string_view hall,
                          gsTime receivedAt);

/**
 * Discards failures of halls without any failure within FailureLifetime. A
 * host without requests to a hall would otherwise never detect that the hall
 * is reachable again, and its report would keep all hosts of its own hall from
 * sending there.
 */
void gsHallExpireFailures(gsHallReachabilityMap& halls,
                          gsHallReachabilitySettings const& settings,
                          gsTime now);

/** Replaces the set of halls that other hosts of this host's hall report as
 * unreachable. */
void gsHallSetReportedUnreachable(
  gsHallReachabilityMap& halls,
  std::set<std::string, std::less<>> const& reported);

/** Whether a hall is unreachable, by failures of this host or by a report of
 * another one. */
bool gsHallIsUnreachable(gsHallReachabilityMap const& halls,
                         std::string_view hall);

/** Whether a request may be sent to a hall, either because the hall is not
 * unreachable or because a retry is due. */
bool gsHallMaySend(gsHallReachabilityMap const& halls, std::string_view hall,
                   gsTime now);

/** Records that a request is sent to a hall. If the hall is unreachable, the
 * next retry is postponed by the increased RetryDelay. */
void gsHallRecordAttempt(gsHallReachabilityMap& halls,
                         gsHallReachabilitySettings const& settings,
                         std::string_view hall, gsTime now);
