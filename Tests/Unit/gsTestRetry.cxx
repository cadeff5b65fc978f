/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the decision whether a failed attempt is retried, and of the retry
 * budget.
 */
#include <cmath>
#include <string>

#include <gtest/gtest.h>

#include "gsRetry.h"

namespace {

gsFailedAttempt FailedAttempt(gsExecuted ran)
{
  gsFailedAttempt attempt;
  attempt.Executed = ran;
  attempt.Deadline = gsSeconds(10);
  return attempt;
}

} // namespace

TEST(Retry, RetriesWithoutBudgetWhenAttemptWasNeverSent)
{
  gsRetryBudget budget;
  gsFailedAttempt attempt = FailedAttempt(gsExecuted::No);
  attempt.IsRepeatable = false;
  EXPECT_EQ(gsDecideRetry(attempt, budget), gsRetryDecision::Retry);
  EXPECT_EQ(budget.Available, 10);
}

TEST(Retry, RetriesAttemptThatMayHaveRunOnlyWhenRepeatable)
{
  gsRetryBudget budget;
  gsFailedAttempt attempt = FailedAttempt(gsExecuted::Unknown);
  EXPECT_EQ(gsDecideRetry(attempt, budget), gsRetryDecision::Retry);
  attempt.IsRepeatable = false;
  EXPECT_EQ(gsDecideRetry(attempt, budget), gsRetryDecision::GiveUp);
}

TEST(Retry, GivesUpWhenCallerHasBytesOrDeadlineHasPassed)
{
  gsRetryBudget budget;
  gsFailedAttempt attempt = FailedAttempt(gsExecuted::No);
  attempt.ResponseStarted = true;
  EXPECT_EQ(gsDecideRetry(attempt, budget), gsRetryDecision::GiveUp);
  attempt.ResponseStarted = false;
  attempt.Now = gsSeconds(10);
  EXPECT_EQ(gsDecideRetry(attempt, budget), gsRetryDecision::GiveUp);
}

TEST(Retry, BoundsRetriesByBudgetWhenAllAttemptsFail)
{
  gsRetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    gsEarnRetry(budget);
    bool retried = gsDecideRetry(FailedAttempt(gsExecuted::Unknown), budget) ==
                   gsRetryDecision::Retry;
    retries += retried ? 1 : 0;
  }
  EXPECT_LE(retries, 110);
  EXPECT_GE(retries, 100);
}

namespace {

constexpr double Share = 0.1;

gsRetryBudget BudgetOfHost(double ofAll, std::size_t hosts, std::size_t number)
{
  gsRetryBudget budget;
  budget.RetryShare = Share;
  budget.Burst =
    gsRetryBurstOfHost(ofAll, hosts, "host-" + std::to_string(number));
  budget.Available = budget.Burst;
  return budget;
}

} // namespace

// The burst of all hosts is smaller than the number of hosts. Dividing it
// equally gave each host less than one retry, so that no host ever retried; a
// burst of 1,040 had still given 986 hosts one each. The bursts of all hosts
// have to add up to the burst of all hosts combined.
TEST(Retry, GrantsWholeBurstWhenThereAreMoreHostsThanRetries)
{
  for (double ofAll : { 58.0, 200.0, 980.0 }) {
    double sum = 0;
    for (std::size_t i = 0; i < 1'000; ++i) {
      sum += BudgetOfHost(ofAll, 1'000, i).Burst;
    }
    EXPECT_NEAR(sum, ofAll, 4 * std::sqrt(ofAll)) << ofAll;
  }
}

// All requests of a window fail after a minute without failures. All hosts
// combined may retry no more than users accept: a fifth of the requests plus
// the burst.
TEST(Retry, BoundsRetriesOfAllHostsWhenAllRequestsFail)
{
  constexpr std::size_t hosts = 1'000;
  constexpr double ofAll = 200;
  constexpr gsTime interval =
    gsMilliseconds(1'700); // Of each host's requests.
  constexpr gsTime window = gsSeconds(10);
  constexpr gsTime failuresBegin = gsSeconds(60);
  std::size_t requests = 0;
  std::size_t retries = 0;
  for (std::size_t i = 0; i < hosts; ++i) {
    gsRetryBudget budget = BudgetOfHost(ofAll, hosts, i);
    gsTime at = gsMilliseconds(i % 1'700);
    for (; at < failuresBegin + window; at += interval) {
      gsEarnRetry(budget, at);
      bool attemptFails = at >= failuresBegin;
      requests += attemptFails ? 1 : 0;
      retries += attemptFails && gsSpendRetry(budget) ? 1 : 0;
    }
  }
  EXPECT_LE(static_cast<double>(retries),
            0.2 * static_cast<double>(requests) + ofAll);
  EXPECT_GE(retries, 180U); // Most of the burst is available.
}
