/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRetryPolicy.h"

#include <algorithm>
#include <random>

namespace {

/** Maximum Retry-After of a refusal, as a multiple of the setting. */
constexpr double MaxRetryAfterFactor = 1.5;
constexpr unsigned FirstServerError = 500;
/** Rejections of one request by upstreams that crash under too many of them.
 * A request that no upstream can hold is not sent to all of them. */
constexpr std::uint32_t MaxRoomRejections = 2;

} // namespace

gsRetryPolicy::gsRetryPolicy(gsCrashWatch const& crashWatch,
                             gsRetryPolicySettings settings)
  : CrashWatch(crashWatch)
  , Settings(settings)
{
}

gsRetryBudget& gsRetryPolicy::BudgetOf(std::string const& service)
{
  auto found = this->Budgets.find(service);
  if (found == this->Budgets.end()) {
    gsRetryBudget budget;
    budget.Available = this->Settings.RetryBurst;
    found = this->Budgets.emplace(service, budget).first;
  }
  found->second.RetryShare = this->Settings.RetryShare;
  found->second.Burst = this->Settings.RetryBurst;
  return found->second;
}

bool gsRetryPolicy::AllowsAnotherAttempt(gsRoutedRequest& request,
                                         gsAttemptResult const& result,
                                         gsTime now) const
{
  bool wasSent = result.Outcome != gsAttemptOutcome::NotSent;
  if (wasSent && this->CrashWatch.SuspicionLevelOf(request, now) >=
                   gsSuspicionLevel::Contained) {
    return false;
  }
  if (now >= std::min(request.DeadlineAt, request.TimeoutAt) ||
      request.RoomRejections >= MaxRoomRejections) {
    return false;
  }
  bool hasAnswer = gsIsAnswer(result.Outcome);
  if (hasAnswer && result.Status < FirstServerError) {
    return false;
  }
  if (request.CallerHasBytes && !request.Route->Resumable) {
    return false;
  }
  if (request.MayHaveRun && !request.MayRepeat()) {
    return false;
  }
  return request.SentAttempts < request.MaxAttempts;
}

bool gsRetryPolicy::TryReserveRetry(gsRoutedRequest& request,
                                    gsAttemptResult const& result, gsTime now)
{
  if (!this->AllowsAnotherAttempt(request, result, now)) {
    return false;
  }
  // Sending a request that no upstream has received yet is not a repeat. A
  // repeat that was taken from the budget but could not be sent is still
  // available.
  if (request.SentAttempts == 0 ||
      result.Outcome == gsAttemptOutcome::NotSent) {
    return true;
  }
  return gsSpendRetry(this->BudgetOf(request.Service));
}

gsTime gsRetryPolicy::RetryAfter(gsRoutedRequest const& request,
                                 gsTime backoff, gsRandom& random,
                                 gsTime now) const
{
  std::uniform_real_distribution<double> draw(1, MaxRetryAfterFactor);
  gsTime spread =
    gsFromSeconds(draw(random) * gsToSeconds(this->Settings.MinRetryAfter));
  if (backoff.count() == 0) {
    return spread;
  }
  gsTime left = std::min(request.DeadlineAt, request.TimeoutAt) - now;
  return std::max(spread, std::min(backoff + spread, left));
}
