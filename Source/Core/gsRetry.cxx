/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRetry.h"

#include <algorithm>

void gsRetryEarn(gsRetryBudget& budget)
{
  budget.Saved = std::min(budget.Most, budget.Saved + budget.Share);
}

bool gsRetrySpend(gsRetryBudget& budget)
{
  if (budget.Saved < 1) {
    return false;
  }
  budget.Saved -= 1;
  return true;
}

gsAfterFailure gsDecideAfterFailure(gsFailedAttempt const& attempt,
                                    gsRetryBudget& budget)
{
  if (attempt.CallerHasBytes || attempt.Attempts >= gsMaxAttempts ||
      attempt.Now >= attempt.Deadline) {
    return gsAfterFailure::GiveUp;
  }
  if (attempt.Ran == gsRan::No) {
    return gsAfterFailure::Retry;
  }
  if (!attempt.Repeatable || !gsRetrySpend(budget)) {
    return gsAfterFailure::GiveUp;
  }
  return gsAfterFailure::Retry;
}
