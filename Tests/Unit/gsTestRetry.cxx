/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Which failed attempts are made again, and how many.
 */
#include <cmath>
#include <string>

#include <gtest/gtest.h>

#include "gsRetry.h"

namespace {

gsFailedAttempt Attempt(gsRan ran)
{
  gsFailedAttempt attempt;
  attempt.Ran = ran;
  attempt.Deadline = gsSeconds(10);
  return attempt;
}

} // namespace

TEST(Retry, WhatWasNeverSentIsTriedAgainEvenIfNotRepeatable)
{
  gsRetryBudget budget;
  gsFailedAttempt attempt = Attempt(gsRan::No);
  attempt.Repeatable = false;
  EXPECT_EQ(gsDecideAfterFailure(attempt, budget), gsAfterFailure::Retry);
  EXPECT_EQ(budget.Saved, 10);
}

TEST(Retry, WhatMayHaveRunIsTriedAgainOnlyIfRepeatable)
{
  gsRetryBudget budget;
  gsFailedAttempt attempt = Attempt(gsRan::Unknown);
  EXPECT_EQ(gsDecideAfterFailure(attempt, budget), gsAfterFailure::Retry);
  attempt.Repeatable = false;
  EXPECT_EQ(gsDecideAfterFailure(attempt, budget), gsAfterFailure::GiveUp);
}

TEST(Retry, NeverOnceTheCallerHasBytesNorAfterItsTime)
{
  gsRetryBudget budget;
  gsFailedAttempt attempt = Attempt(gsRan::No);
  attempt.CallerHasBytes = true;
  EXPECT_EQ(gsDecideAfterFailure(attempt, budget), gsAfterFailure::GiveUp);
  attempt.CallerHasBytes = false;
  attempt.Now = gsSeconds(10);
  EXPECT_EQ(gsDecideAfterFailure(attempt, budget), gsAfterFailure::GiveUp);
}

TEST(Retry, TheBudgetBoundsRepeatedWork)
{
  gsRetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    gsRetryEarn(budget);
    bool again = gsDecideAfterFailure(Attempt(gsRan::Unknown), budget) ==
                 gsAfterFailure::Retry;
    retries += again ? 1 : 0;
  }
  EXPECT_LE(retries, 110);
  EXPECT_GE(retries, 100);
}

namespace {

constexpr double Share = 0.1;

gsRetryBudget BudgetOfEach(double ofAll, std::size_t hosts, std::size_t number)
{
  gsRetryBudget budget;
  budget.Share = Share;
  budget.Most =
    gsShareOfRepeats(ofAll, hosts, "host-" + std::to_string(number));
  budget.Saved = budget.Most;
  return budget;
}

} // namespace

// 1,040 repeats of 986 hosts are one each; with a few hosts more each had less
// than one, and none was ever made.
TEST(Retry, FewerRepeatsThanHostsAreStillThere)
{
  for (double ofAll : { 58.0, 200.0, 980.0 }) {
    double sum = 0;
    for (std::size_t i = 0; i < 1'000; ++i) {
      sum += BudgetOfEach(ofAll, 1'000, i).Most;
    }
    EXPECT_NEAR(sum, ofAll, 4 * std::sqrt(ofAll)) << ofAll;
  }
}

// Every request of a window fails, after calm: no more are repeated than the
// users allow, a fifth of the requests and what is saved up.
TEST(Retry, AThousandHostsTogetherKeepTheBudget)
{
  constexpr std::size_t hosts = 1'000;
  constexpr double ofAll = 200;
  constexpr gsTime between = gsMilliseconds(1'700); // Of a host's requests.
  constexpr gsTime window = gsSeconds(10);
  constexpr gsTime calm = gsSeconds(60);
  std::size_t requests = 0;
  std::size_t repeats = 0;
  for (std::size_t i = 0; i < hosts; ++i) {
    gsRetryBudget budget = BudgetOfEach(ofAll, hosts, i);
    gsTime at = gsMilliseconds(i % 1'700);
    for (; at < calm + window; at += between) {
      gsRetryEarn(budget, at);
      bool fails = at >= calm;
      requests += fails ? 1 : 0;
      repeats += fails && gsRetrySpend(budget) ? 1 : 0;
    }
  }
  EXPECT_LE(static_cast<double>(repeats),
            0.2 * static_cast<double>(requests) + ofAll);
  EXPECT_GE(repeats, 180U); // What is saved up is there.
}
