/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Which failed attempts are made again, and how many.
 */
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
