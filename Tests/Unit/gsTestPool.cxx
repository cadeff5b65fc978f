/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the systems of a pool: dispatch order, weighted shares, load
 * shedding, reserved slots, concurrency limits, ejection and affinity.
 */
#include <gtest/gtest.h>

#include "gsAdmit.h"
#include "gsDispatch.h"
#include "gsHealth.h"
#include "gsLimit.h"
#include "gsPool.h"

namespace {

gsPool MakePool(int upstreams, double limit)
{
  gsPool pool;
  pool.Name = "model@hall";
  for (int i = 0; i < upstreams; ++i) {
    gsUpstreamRow row;
    row.Name = "u" + std::to_string(i);
    row.Address = "127.0.0.1:1";
    row.Limit = limit;
    pool.Upstreams.push_back(row);
  }
  return pool;
}

gsGrantRequest MakeRequest(std::uint64_t sequence, std::uint32_t tier,
                           std::string const& organisation = "one")
{
  gsGrantRequest request;
  request.Id = { 1, sequence, 1 };
  request.Pool = "model@hall";
  request.Organisation = organisation;
  request.Template = "t";
  request.Tier = tier;
  request.MaxWait = gsSeconds(100);
  request.FirstTokenTarget = gsSeconds(1);
  request.TokenIntervalTarget = gsMilliseconds(70);
  return request;
}

gsPoolOutput Tick(gsPool& pool, gsTime now)
{
  gsPoolOutput out;
  gsPoolTick(pool, now, out);
  return out;
}

void ReleaseGrant(gsPool& pool, gsRequestId const& id, gsTime now,
                  gsGrantOutcome outcome = gsGrantOutcome::Completed,
                  std::uint64_t tokens = 10)
{
  gsPoolOutput out;
  gsGrantMeasurements measured;
  measured.Tokens = tokens;
  gsReleaseGrant(pool, id, outcome, measured, now, out);
}

} // namespace

TEST(Pool, GrantsHighestTierFirst)
{
  gsPool pool = MakePool(1, 1);
  gsAdmit(pool, MakeRequest(1, 2), 0, gsTime(0));
  gsAdmit(pool, MakeRequest(2, 0), 0, gsTime(1));
  gsAdmit(pool, MakeRequest(3, 1), 0, gsTime(2));
  gsPoolOutput out = Tick(pool, gsSeconds(1));
  ASSERT_EQ(out.Grants.size(), 1U);
  EXPECT_EQ(out.Grants[0].Id.Sequence, 2U);
  ReleaseGrant(pool, out.Grants[0].Id, gsSeconds(2));
  EXPECT_EQ(Tick(pool, gsSeconds(2)).Grants.at(0).Id.Sequence, 3U);
}

TEST(Pool, RefusesNewestOfLowestTierWhenQueueIsFull)
{
  gsPool pool = MakePool(1, 1);
  pool.Settings.QueueLimit = 2;
  for (std::uint64_t i = 1; i <= 4; ++i) {
    gsAdmit(pool, MakeRequest(i, i == 3 ? 0 : 1), 0, gsTime(i));
  }
  gsPoolOutput out = Tick(pool, gsSeconds(1));
  ASSERT_EQ(out.Refusals.size(), 1U);
  EXPECT_EQ(out.Refusals[0].Id.Sequence, 4U);
  EXPECT_EQ(out.Refusals[0].LowerTierWaiting, 0U);
  EXPECT_GE(out.Refusals[0].RetryAfter, gsSeconds(1));
}

TEST(Pool, ReportsNoLowerTierGrantsWhenRequestExpires)
{
  gsPool pool = MakePool(1, 1);
  gsAdmit(pool, MakeRequest(1, 0), 0, gsTime(0));
  Tick(pool, gsTime(1));
  gsGrantRequest request = MakeRequest(2, 0);
  request.MaxWait = gsMilliseconds(500);
  gsAdmit(pool, request, 0, gsTime(1));
  gsAdmit(pool, MakeRequest(3, 1), 0, gsTime(1));
  gsPoolOutput out = Tick(pool, gsMilliseconds(600));
  ASSERT_EQ(out.Refusals.size(), 1U);
  EXPECT_EQ(out.Refusals[0].Cause, gsRefusalCause::Expired);
  EXPECT_EQ(out.Refusals[0].LowerTierGrants, 0U);
}

TEST(Pool, DividesGrantsByWeightWhenOrganisationsCompete)
{
  gsPool pool = MakePool(1, 1);
  std::uint64_t sequence = 1;
  for (int i = 0; i < 60; ++i) {
    gsGrantRequest heavy = MakeRequest(sequence++, 0, "heavy");
    heavy.Weight = 3;
    gsAdmit(pool, heavy, 0, gsTime(i));
    gsAdmit(pool, MakeRequest(sequence++, 0, "light"), 0, gsTime(i));
  }
  int heavy = 0;
  for (int i = 0; i < 40; ++i) {
    gsTime now = gsSeconds(i + 1);
    gsPoolOutput out = Tick(pool, now);
    ASSERT_EQ(out.Grants.size(), 1U);
    heavy += out.Grants[0].Organisation == "heavy" ? 1 : 0;
    ReleaseGrant(pool, out.Grants[0].Id, now);
  }
  EXPECT_NEAR(heavy, 30, 2);
}

TEST(Pool, EarnsNoCreditWhileOrganisationIsIdle)
{
  gsPool pool = MakePool(1, 1);
  std::uint64_t sequence = 1;
  for (int i = 0; i < 40; ++i) {
    gsAdmit(pool, MakeRequest(sequence++, 0, "busy"), 0, gsTime(i));
  }
  for (int i = 0; i < 20; ++i) {
    gsPoolOutput out = Tick(pool, gsSeconds(i + 1));
    ASSERT_EQ(out.Grants.size(), 1U);
    ReleaseGrant(pool, out.Grants[0].Id, gsSeconds(i + 1));
  }
  for (int i = 0; i < 20; ++i) {
    gsAdmit(pool, MakeRequest(sequence++, 0, "late"), 0, gsSeconds(21));
  }
  int late = 0;
  for (int i = 0; i < 10; ++i) {
    gsPoolOutput out = Tick(pool, gsSeconds(22 + i));
    ASSERT_EQ(out.Grants.size(), 1U);
    late += out.Grants[0].Organisation == "late" ? 1 : 0;
    ReleaseGrant(pool, out.Grants[0].Id, gsSeconds(22 + i));
  }
  EXPECT_NEAR(late, 5, 1);
}

TEST(Pool, GrantsReservedSlotAboveLimitWhenLowerTierExceedsAgeLimit)
{
  gsPool pool = MakePool(1, 1);
  gsTierQueueOf(pool, 1).AgeLimit = gsSeconds(5);
  gsAdmit(pool, MakeRequest(1, 1), 0, gsTime(0));
  gsAdmit(pool, MakeRequest(2, 0), 0, gsTime(0));
  gsAdmit(pool, MakeRequest(3, 0), 0, gsTime(0));
  EXPECT_EQ(Tick(pool, gsTime(1)).Grants.size(), 1U);
  gsPoolOutput out = Tick(pool, gsSeconds(6));
  ASSERT_EQ(out.Grants.size(), 1U);
  EXPECT_EQ(out.Grants[0].Id.Sequence, 1U);
  EXPECT_TRUE(out.Grants[0].OnReservedSlot);
  // The freed shared slot still goes to the higher tier.
  ReleaseGrant(pool, { 1, 2, 1 }, gsSeconds(7));
  EXPECT_EQ(Tick(pool, gsSeconds(7)).Grants.at(0).Id.Sequence, 3U);
}

TEST(Pool, RefusesSameHigherTierRequestsWhenLowerTierHasReservedTurns)
{
  // Runs the same load with and without a lower tier. The higher tier must
  // have the same number of refusals in both runs.
  std::size_t refused[2] = {};
  for (int lower = 0; lower < 2; ++lower) {
    gsPool pool = MakePool(1, 1);
    pool.Settings.QueueLimit = 10;
    gsTierQueueOf(pool, 1).AgeLimit = gsMilliseconds(100);
    std::uint64_t sequence = 1;
    std::map<std::uint64_t, gsRequestId> ends;
    for (std::uint64_t step = 0; step < 300; ++step) {
      gsTime now = gsMilliseconds(10 * step);
      if (step % 3 == 0) {
        gsAdmit(pool, MakeRequest(sequence++, 0), 0, now);
      }
      if (lower == 1 && step % 20 == 0) {
        gsAdmit(pool, MakeRequest(sequence++, 1), 0, now);
      }
      auto due = ends.find(step);
      if (due != ends.end()) {
        ReleaseGrant(pool, due->second, now);
      }
      gsPoolOutput out = Tick(pool, now);
      for (gsGrant const& grant : out.Grants) {
        if (!grant.OnReservedSlot) {
          ends[step + 8] = grant.Id;
        } else {
          ReleaseGrant(pool, grant.Id, now);
        }
      }
      for (gsRefusal const& refusal : out.Refusals) {
        refused[lower] += refusal.Tier == 0 ? 1U : 0U;
      }
    }
  }
  EXPECT_GT(refused[0], 10U);
  EXPECT_EQ(refused[0], refused[1]);
}

TEST(Pool, RefusesLowestTierFirstWhenExpectedWaitIsTooLong)
{
  gsPool pool = MakePool(1, 1);
  for (std::uint64_t i = 0; i < 20; ++i) {
    gsUpdateEstimates(pool.Estimates, "one", "t", 10, gsSeconds(10));
  }
  for (std::uint64_t i = 1; i <= 30; ++i) {
    gsAdmit(pool, MakeRequest(i, i % 2), 0, gsTime(i));
  }
  gsPoolOutput out = Tick(pool, gsSeconds(1));
  ASSERT_FALSE(out.Refusals.empty());
  for (gsRefusal const& refusal : out.Refusals) {
    EXPECT_EQ(refusal.Cause, gsRefusalCause::Infeasible);
    EXPECT_EQ(refusal.LowerTierWaiting, 0U);
  }
}

TEST(Limit, DecreasesWhenAnswersAreLateAndIncreasesWhenSaturated)
{
  gsPool pool = MakePool(1, 8);
  for (std::uint64_t i = 1; i <= 20; ++i) {
    gsAdmit(pool, MakeRequest(i, 0), 0, gsTime(0));
  }
  gsPoolOutput out = Tick(pool, gsTime(1));
  ASSERT_EQ(out.Grants.size(), 8U);
  for (gsGrant const& grant : out.Grants) {
    gsRecordLatency(pool, grant.Id, gsMilliseconds(100), gsMilliseconds(140));
  }
  gsAdjustLimits(pool, gsSeconds(1));
  EXPECT_LT(pool.Upstreams[0].Limit, 8);
  double lowered = pool.Upstreams[0].Limit;
  Tick(pool, gsSeconds(2));
  for (gsGrant const& grant : out.Grants) {
    gsRecordLatency(pool, grant.Id, gsMilliseconds(100), gsMilliseconds(10));
  }
  gsAdjustLimits(pool, gsSeconds(3));
  EXPECT_GT(pool.Upstreams[0].Limit, lowered);
}

TEST(Limit, DecreasesOnlyWhenLoadReportHasQueue)
{
  gsPool pool = MakePool(1, 8);
  gsApplyUpstreamLoad(pool, "u0", 0);
  EXPECT_EQ(pool.Upstreams[0].Limit, 8);
  gsApplyUpstreamLoad(pool, "u0", 5);
  EXPECT_LT(pool.Upstreams[0].Limit, 8);
}

TEST(Health, EjectsAfterFailuresAndRecoversWhenProbeSucceeds)
{
  gsPool pool = MakePool(2, 4);
  gsPoolOutput out;
  for (int i = 0; i < 3; ++i) {
    gsUpdateHealth(pool, pool.Upstreams[0], gsGrantOutcome::Failed, gsTime(0),
                   out);
  }
  EXPECT_EQ(pool.Upstreams[0].Health, gsHealth::Ejected);
  gsProbeEjected(pool, gsSeconds(2), out);
  EXPECT_EQ(pool.Upstreams[0].Health, gsHealth::Probing);
  EXPECT_EQ(gsFreeSlots(pool.Upstreams[0]), 1U);
  gsUpdateHealth(pool, pool.Upstreams[0], gsGrantOutcome::Completed,
                 gsSeconds(3), out);
  EXPECT_EQ(pool.Upstreams[0].Health, gsHealth::Healthy);
}

TEST(Health, EjectsAtMostHalfOfPoolWhenManyAreOutliers)
{
  gsPool pool = MakePool(6, 4);
  gsPoolOutput out;
  for (int i = 0; i < 6; ++i) {
    pool.Upstreams[static_cast<std::size_t>(i)].TokenIntervalRatio =
      i < 4 ? 0.3 : 0.2;
  }
  pool.Upstreams[0].TokenIntervalRatio = 9;
  pool.Upstreams[1].TokenIntervalRatio = 9;
  gsEjectOutliers(pool, gsTime(0), out);
  EXPECT_EQ(out.Events.size(), 2U);
  pool.Upstreams[2].TokenIntervalRatio = 9;
  pool.Upstreams[3].TokenIntervalRatio = 9;
  gsEjectOutliers(pool, gsTime(0), out);
  EXPECT_LE(out.Events.size(), 3U);
}

TEST(Affinity, KeepsContextOnOneUpstreamUntilItIsFull)
{
  gsPool pool = MakePool(4, 8);
  std::map<std::string, int> counts;
  for (std::uint64_t i = 1; i <= 4; ++i) {
    gsGrantRequest request = MakeRequest(i, 0);
    request.AffinityHash = 99;
    gsAdmit(pool, request, 0, gsTime(0));
    gsPoolOutput out = Tick(pool, gsTime(i));
    ++counts[out.Grants.at(0).Upstream];
    ReleaseGrant(pool, out.Grants[0].Id, gsTime(i));
  }
  EXPECT_EQ(counts.size(), 1U);
  for (std::uint64_t i = 10; i < 42; ++i) {
    gsGrantRequest request = MakeRequest(i, 0);
    request.AffinityHash = 99;
    gsAdmit(pool, request, 0, gsTime(i));
  }
  for (gsGrant const& grant : Tick(pool, gsSeconds(1)).Grants) {
    ++counts[grant.Upstream];
  }
  EXPECT_EQ(counts.size(), 4U);
}

TEST(Pool, CountsAdoptedRequestsUntilReleased)
{
  gsPool pool = MakePool(1, 1);
  gsAdoptRunning(pool, MakeRequest(1, 0), "u0", 7, gsTime(0));
  gsAdmit(pool, MakeRequest(2, 0), 0, gsTime(0));
  EXPECT_TRUE(Tick(pool, gsTime(1)).Grants.empty());
  ReleaseGrant(pool, { 1, 1, 1 }, gsTime(2));
  EXPECT_EQ(Tick(pool, gsTime(2)).Grants.size(), 1U);
}

TEST(Pool, RemovesWaitingAndRunningRequestsWhenLinkBreaks)
{
  gsPool pool = MakePool(1, 1);
  gsAdmit(pool, MakeRequest(1, 0), 7, gsTime(0));
  gsAdmit(pool, MakeRequest(2, 0), 7, gsTime(0));
  Tick(pool, gsTime(1));
  gsWithdrawLink(pool, 7);
  EXPECT_TRUE(pool.Waiting.empty());
  gsReleaseLink(pool, 7);
  EXPECT_EQ(pool.Upstreams[0].Running, 0U);
}

TEST(Pool, ServesRequestsInTargetFirstWhenOthersAreLate)
{
  gsPool pool = MakePool(1, 1);
  gsAdmit(pool, MakeRequest(1, 0), 0, gsTime(0));
  gsAdmit(pool, MakeRequest(2, 0), 0, gsMilliseconds(900));
  // At one second the first request is late; the second is not.
  EXPECT_EQ(Tick(pool, gsSeconds(1)).Grants.at(0).Id.Sequence, 2U);
  ReleaseGrant(pool, { 1, 2, 1 }, gsSeconds(2));
  EXPECT_EQ(Tick(pool, gsSeconds(2)).Grants.at(0).Id.Sequence, 1U);
}

TEST(Pool, KeepsHeadroomWhenHigherTierHadRecentPeak)
{
  gsPool pool = MakePool(2, 8);
  for (std::uint64_t i = 1; i <= 4; ++i) {
    gsAdmit(pool, MakeRequest(i, 0), 0, gsTime(0));
  }
  ASSERT_EQ(Tick(pool, gsTime(1)).Grants.size(), 4U);
  for (std::uint64_t i = 1; i <= 4; ++i) {
    ReleaseGrant(pool, { 1, i, 1 }, gsSeconds(1));
  }
  for (std::uint64_t i = 10; i < 40; ++i) {
    gsAdmit(pool, MakeRequest(i, 1), 0, gsSeconds(1));
  }
  // Of 16 slots at most a quarter is left free for the higher tier. Its peak
  // of 4 requests has decayed to less than 4, so 3 slots stay free.
  EXPECT_EQ(Tick(pool, gsSeconds(1)).Grants.size(), 13U);
  gsAdmit(pool, MakeRequest(50, 0), 0, gsSeconds(2));
  EXPECT_EQ(Tick(pool, gsSeconds(2)).Grants.size(), 1U);
}
