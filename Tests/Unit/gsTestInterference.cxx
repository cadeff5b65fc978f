/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Tests of interference classification and of engine measurements. */
#include <gtest/gtest.h>

#include "gsInterference.h"

namespace {

/** Engines that process 40 prompt tokens per millisecond and send an event
 * every 30 ms. */
gsEngineTiming MakeMeasuredTiming()
{
  gsEngineTiming timing;
  timing.TokenMillis = 0.025;
  timing.EventMillis = 30;
  return timing;
}

gsStreamTargets MakeTargets(double own, double tightest)
{
  gsStreamTargets targets;
  targets.MaxIntervalMillis = own;
  targets.TightestIntervalMillis = tightest;
  return targets;
}

} // namespace

TEST(Interference, ClassifiesPromptAsLongWhenItTakesMostOfTightestInterval)
{
  gsEngineTiming timing = MakeMeasuredTiming();
  gsStreamTargets targets = MakeTargets(400, 250);
  EXPECT_EQ(gsGroupByInterference(timing, targets, 1000, 1000),
            gsFleetGroup::Any);
  EXPECT_EQ(gsGroupByInterference(timing, targets, 7000, 7000),
            gsFleetGroup::Long);
  // The same prompt does not interfere if engines are ten times as fast.
  timing.TokenMillis /= 10;
  EXPECT_EQ(gsGroupByInterference(timing, targets, 7000, 7000),
            gsFleetGroup::Any);
  // It does not interfere either if all streams tolerate longer intervals.
  timing.TokenMillis *= 10;
  targets = MakeTargets(2000, 2000);
  EXPECT_NE(gsGroupByInterference(timing, targets, 7000, 7000),
            gsFleetGroup::Long);
}

TEST(Interference, ClassifiesVeryLongPromptOfTightestStreamAsLong)
{
  gsEngineTiming timing = MakeMeasuredTiming();
  gsStreamTargets targets = MakeTargets(150, 150);
  EXPECT_EQ(gsGroupByInterference(timing, targets, 1000, 1000),
            gsFleetGroup::Tight);
  EXPECT_EQ(gsGroupByInterference(timing, targets, 20000, 20000),
            gsFleetGroup::Long);
}

TEST(Interference, ClassifiesStreamAsTightWhenLongPromptsExceedItsInterval)
{
  gsEngineTiming timing = MakeMeasuredTiming();
  gsStreamTargets middle = MakeTargets(400, 250);
  gsStreamTargets relaxed = MakeTargets(4000, 250);
  EXPECT_EQ(gsGroupByInterference(timing, middle, 500, 500),
            gsFleetGroup::Any);
  for (int i = 0; i < 200; ++i) {
    gsClassifyRequest(timing, "review", relaxed, 12000); // 300 ms each.
  }
  EXPECT_EQ(gsGroupByInterference(timing, middle, 500, 500),
            gsFleetGroup::Tight);
  EXPECT_EQ(gsGroupByInterference(timing, relaxed, 500, 500),
            gsFleetGroup::Any);
}

TEST(Interference, ClassifiesAsAnyWithoutIntervalTargets)
{
  gsEngineTiming timing = MakeMeasuredTiming();
  EXPECT_EQ(gsGroupByInterference(timing, {}, 100000, 100000),
            gsFleetGroup::Any);
}

TEST(Interference, DistinguishesVeryLongFromShortPromptsWithoutHistory)
{
  gsEngineTiming timing;
  gsStreamTargets targets = MakeTargets(150, 150);
  EXPECT_EQ(gsGroupByInterference(timing, targets, 500, 500),
            gsFleetGroup::Tight);
  EXPECT_EQ(gsGroupByInterference(timing, targets, 40000, 40000),
            gsFleetGroup::Long);
}

TEST(Interference, EstimatesPromptTokenTimeDespiteQueuing)
{
  gsEngineTiming timing;
  for (int i = 0; i < 2000; ++i) {
    // 0.01 ms per token; two of three requests are queued for up to the same
    // time.
    double wait = i % 3 == 0 ? 0 : 0.005 * (i % 3);
    gsRecordPromptTime(timing, 5000, gsFromSeconds(5 * (0.01 + wait)));
  }
  EXPECT_NEAR(timing.TokenMillis, 0.01, 0.002);
}

TEST(Interference, IgnoresShortPromptsInPromptTokenTime)
{
  gsEngineTiming timing;
  for (int i = 0; i < 2000; ++i) {
    gsRecordPromptTime(timing, 100, gsMilliseconds(50));
  }
  EXPECT_DOUBLE_EQ(timing.TokenMillis, gsEngineTiming().TokenMillis);
}

TEST(Interference, EstimatesEventIntervalWithoutPromptProcessing)
{
  gsEngineTiming timing;
  for (int i = 0; i < 3000; ++i) {
    gsRecordServiceEventInterval(timing,
                                 gsMilliseconds(i % 2 == 0 ? 30 : 200));
  }
  EXPECT_NEAR(timing.EventMillis, 30, 6);
}

TEST(Interference, DetectsUrgentLongPromptsWhenTargetAllowsNoQueuing)
{
  gsEngineTiming timing = MakeMeasuredTiming();
  EXPECT_FALSE(gsAreLongPromptsUrgent(timing));
  gsStreamTargets targets = MakeTargets(400, 250);
  targets.FirstEventMillis = 600;
  gsClassifyRequest(timing, "review", targets,
                    10000); // 250 ms of processing.
  EXPECT_TRUE(gsAreLongPromptsUrgent(timing));
  targets.FirstEventMillis = 4000;
  for (int i = 0; i < 200; ++i) {
    gsClassifyRequest(timing, "review", targets, 10000);
  }
  EXPECT_FALSE(gsAreLongPromptsUrgent(timing));
}

TEST(Interference, ClassifiesRequestsOfRouteByMeanLength)
{
  gsEngineTiming timing = MakeMeasuredTiming();
  gsStreamTargets targets = MakeTargets(400, 250);
  for (int i = 0; i < 200; ++i) {
    gsClassifyRequest(timing, "review", targets, 9000);
    gsClassifyRequest(timing, "tags", targets, 2400);
  }
  EXPECT_EQ(gsClassifyRequest(timing, "review", targets, 2000),
            gsFleetGroup::Long);
  EXPECT_NE(gsClassifyRequest(timing, "tags", targets, 8000),
            gsFleetGroup::Long);
  EXPECT_EQ(gsClassifyRequest(timing, "tags", targets, 12000),
            gsFleetGroup::Long);
}

// Guards against routes that change their class, and all homes of their
// subjects, because the measured time per token rises with load.
TEST(Interference, StableClassDoesNotDependOnLoad)
{
  gsEngineTiming timing = MakeMeasuredTiming();
  timing.IsStable = true;
  gsStreamTargets targets = MakeTargets(500, 300);
  for (int i = 0; i < 200; ++i) {
    gsClassifyRequest(timing, "notes", targets, 8000);
  }
  gsFleetGroup before = gsClassifyRequest(timing, "notes", targets, 8000);
  for (int i = 0; i < 500; ++i) {
    gsRecordPromptTime(timing, 8000, gsMilliseconds(1500));
    gsRecordServiceEventInterval(timing, gsMilliseconds(i % 5 == 0 ? 25 : 90));
  }
  EXPECT_GT(timing.TokenMillis, 0.05);
  EXPECT_EQ(gsClassifyRequest(timing, "notes", targets, 8000), before);
}

// Guards against a route near the bound that alternates between two classes.
TEST(Interference, LongRouteStaysLongUntilClearlyBelowBound)
{
  gsEngineTiming timing;
  timing.IsStable = true;
  timing.LoadFreeTokenMillis = 0.02;
  gsStreamTargets own = MakeTargets(1200, 300);
  for (int i = 0; i < 30; ++i) {
    gsClassifyRequest(timing, "summary", own, 12000); // 240 ms; bound 225.
  }
  EXPECT_EQ(gsGroupByInterference(timing, own, 10000, 10000, "summary"),
            gsFleetGroup::Long); // 200 ms.
  EXPECT_NE(gsGroupByInterference(timing, own, 8800, 8800, "summary"),
            gsFleetGroup::Long); // 176 ms, below 0.8 of the bound.
  // Another route of the same length does not become long.
  EXPECT_NE(gsGroupByInterference(timing, own, 10000, 10000, "other"),
            gsFleetGroup::Long);
  // Without the feature there is no hysteresis.
  timing.IsStable = false;
  timing.TokenMillis = 0.02;
  EXPECT_NE(gsGroupByInterference(timing, own, 10000, 10000, "summary"),
            gsFleetGroup::Long);
}

// Guards against one very long prompt that makes its whole route long.
TEST(Interference, SingleVeryLongPromptDoesNotChangeStableClassOfRoute)
{
  gsEngineTiming timing;
  timing.IsStable = true;
  gsStreamTargets targets = MakeTargets(500, 300);
  for (int i = 0; i < 100; ++i) {
    gsClassifyRequest(timing, "notes", targets, 8000);
  }
  EXPECT_EQ(gsClassifyRequest(timing, "notes", targets, 35000),
            gsFleetGroup::Long);
  EXPECT_NE(gsClassifyRequest(timing, "notes", targets, 8000),
            gsFleetGroup::Long);
}
