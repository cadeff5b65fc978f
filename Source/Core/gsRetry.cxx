/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRetry.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "gsRendezvous.h"

namespace {

/** Time constant with which recent requests decay. Shorter than the windows of
 * 10 s over which the share of retries is assessed. */
constexpr gsTime RecentDecayTime = gsSeconds(5);

} // namespace

double gsRetryBurstOfHost(double ofAll, std::size_t hosts,
                          std::string_view host)
{
  double share = ofAll / static_cast<double>(std::max<std::size_t>(1, hosts));
  if (share >= 1) {
    return share;
  }
  constexpr double max =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  bool isSelected = static_cast<double>(gsHashText(host)) / max < share;
  return isSelected ? 1 : 0;
}

void gsEarnRetry(gsRetryBudget& budget, gsTime now)
{
  double elapsed =
    gsToSeconds(now - budget.RecentUpdatedAt) / gsToSeconds(RecentDecayTime);
  budget.RecentRequests =
    1 + budget.RecentRequests * std::exp(-std::max(0.0, elapsed));
  budget.RecentUpdatedAt = now;
  double limit = budget.Burst + budget.RetryShare * budget.RecentRequests;
  budget.Available = std::min(limit, budget.Available + budget.RetryShare);
}

void gsEarnRetry(gsRetryBudget& budget)
{
  budget.Available =
    std::min(budget.Burst, budget.Available + budget.RetryShare);
}

bool gsSpendRetry(gsRetryBudget& budget)
{
  if (budget.Available < 1) {
    return false;
  }
  budget.Available -= 1;
  return true;
}

gsRetryDecision gsDecideRetry(gsFailedAttempt const& attempt,
                              gsRetryBudget& budget)
{
  if (attempt.ResponseStarted || attempt.Attempts >= gsMaxAttempts ||
      attempt.Now >= attempt.Deadline) {
    return gsRetryDecision::GiveUp;
  }
  if (attempt.Executed == gsExecuted::No) {
    return gsRetryDecision::Retry;
  }
  if (!attempt.IsRepeatable || !gsSpendRetry(budget)) {
    return gsRetryDecision::GiveUp;
  }
  return gsRetryDecision::Retry;
}
