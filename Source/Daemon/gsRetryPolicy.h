/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Whether a request of the routed mode is sent to another upstream after an
 * attempt, and when a refused caller should retry. Retries of attempts that
 * may have run are taken from a budget for each service.
 */
#pragma once

#include <string>
#include <unordered_map>

#include "gsCrashWatch.h"
#include "gsRetry.h"
#include "gsRoutedRequest.h"

struct gsRetryPolicySettings
{
  /** Minimum Retry-After of a refusal. */
  gsTime MinRetryAfter = gsMilliseconds(300);
  double RetryShare = 0.1; ///< Repeats per request of a service.
  double RetryBurst = 10;  ///< Repeats that may be saved up per service.
};

class gsRetryPolicy
{
public:
  gsRetryPolicy(gsCrashWatch const& crashWatch,
                gsRetryPolicySettings settings);

  /** Sets the number of repeats that this host may save up per service. */
  void SetBurst(double burst) { this->Settings.RetryBurst = burst; }

  /** The retry budget of a service. */
  gsRetryBudget& BudgetOf(std::string const& service);

  /**
   * Whether the deadline, the route and what may have run allow another
   * attempt.
   */
  bool AllowsAnotherAttempt(gsRoutedRequest& request,
                            gsAttemptResult const& result, gsTime now) const;

  /**
   * Decides whether the request is sent to another upstream, and takes the
   * repeat from the retry budget.
   */
  bool TryReserveRetry(gsRoutedRequest& request, gsAttemptResult const& result,
                       gsTime now);

  /**
   * Retry-After of a refusal, randomised so that callers who are refused
   * together return at different times. While all upstreams are backing off,
   * it is after the first backoff that ends, but within the time that the
   * caller has left.
   * \param backoff Time until the first upstream accepts requests again; zero
   * if that is not the cause.
   */
  gsTime RetryAfter(gsRoutedRequest const& request, gsTime backoff,
                    gsRandom& random, gsTime now) const;

private:
  gsCrashWatch const& CrashWatch;
  gsRetryPolicySettings Settings;
  std::unordered_map<std::string, gsRetryBudget> Budgets; ///< By service.
};
