/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRetry.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "gsRendezvous.h"

namespace {

/** Requests count towards what may be saved for about so long, which is
 * shorter than the windows over which repeats are judged, 10 s. */
constexpr gsTime RecentMemory = gsSeconds(5);

} // namespace

double gsShareOfRepeats(double ofAll, std::size_t hosts, std::string_view host)
{
  double each = ofAll / static_cast<double>(std::max<std::size_t>(1, hosts));
  if (each >= 1) {
    return each;
  }
  constexpr double most =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  bool has = static_cast<double>(gsHashText(host)) / most < each;
  return has ? 1 : 0;
}

void gsRetryEarn(gsRetryBudget& budget, gsTime now)
{
  double ages = gsToSeconds(now - budget.RecentAt) / gsToSeconds(RecentMemory);
  budget.Recent = 1 + budget.Recent * std::exp(-std::max(0.0, ages));
  budget.RecentAt = now;
  double most = budget.Most + budget.Share * budget.Recent;
  budget.Saved = std::min(most, budget.Saved + budget.Share);
}

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
