/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The decision whether a failed attempt is retried, and the budget that bounds
 * retries of attempts that an upstream may have run. Such retries are bounded
 * by a share of the requests plus a burst; retries of attempts that never
 * reached an upstream repeat no work and cost nothing. Callers pass in the
 * current time.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "gsTypes.h"

/** A token bucket of retries. Each request adds RetryShare to it, and each
 * retry of an attempt that may have run consumes 1. */
struct gsRetryBudget
{
  double RetryShare = 0.1; ///< Retries earned per request.
  double Burst = 10;       ///< Maximum number of retries available at once.
  double Available = 10;   ///< Retries available now.
  /** Exponentially decaying number of recent requests. */
  double RecentRequests = 0;
  gsTime RecentUpdatedAt{}; ///< When RecentRequests was updated.
};

/**
 * The burst of one host, given the burst of all hosts combined. If an equal
 * share is below one, a hash of the host's name selects about as many hosts as
 * there are retries, which have a burst of one; the others have only the
 * retries that their own requests earn.
 */
double gsRetryBurstOfHost(double ofAll, std::size_t hosts,
                          std::string_view host);

/** Adds the retries that a new request earns. */
void gsEarnRetry(gsRetryBudget& budget);

/**
 * Adds the retries that a new request earns, to a budget that is divided among
 * many hosts. RetryShare of the recent requests may be saved in addition to
 * the burst, so that a host whose burst is below one can retry as soon as it
 * has had ten requests within a few seconds.
 */
void gsEarnRetry(gsRetryBudget& budget, gsTime now);

/** Consumes one retry. \return False if none is available. */
bool gsSpendRetry(gsRetryBudget& budget);

/** A failed attempt to have a request served. */
struct gsFailedAttempt
{
  gsExecuted Executed =
    gsExecuted::No;             ///< Whether an upstream may have run it.
  bool IsRepeatable = true;     ///< The request may be run more than once.
  bool ResponseStarted = false; ///< Part of an answer was sent to the caller.
  std::uint32_t Attempts = 1;   ///< Attempts so far, including this one.
  gsTime Now{};
  gsTime Deadline{}; ///< From then on the request is not retried.
};

enum class gsRetryDecision
{
  Retry,
  GiveUp
};

/** Maximum number of attempts of one request. */
constexpr std::uint32_t gsMaxAttempts = 5;

/** Decides whether to retry a failed attempt. Consumes a retry of the budget
 * if an upstream may have run the attempt and it is retried. */
gsRetryDecision gsDecideRetry(gsFailedAttempt const& attempt,
                              gsRetryBudget& budget);
