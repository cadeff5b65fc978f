/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Tests of the measurement of engine speeds and of their use. */
#include <set>

#include <gtest/gtest.h>

#include "gsEngineSpeed.h"
#include "gsExpectedWait.h"
#include "gsFleetCases.h"
#include "gsPlacementCost.h"
#include "gsSpeedSimulation.h"

using namespace gsFleetCases;
using gsSpeedSimulation::Settings;
using gsSpeedSimulation::Simulation;

namespace {

bool IsDecidedSlow(gsFleetRow const& row)
{
  return row.Speed.Decided <= 0.6;
}

bool IsChanged(gsFleetRow const& row)
{
  return row.Speed.Decided != 1 || row.Speed.SuspendedAt.count() != 0 ||
         row.Speed.ReturningSince.count() != 0;
}

gsFleet MakeSpeedFleet(int engines, gsFeatureMode mode = gsFeatureMode::On)
{
  gsFleet fleet = MakeFleet(engines);
  fleet.Settings.EngineSpeed = mode;
  // Demand is known and low.
  fleet.Demand["model"].FirstRequestAt = Now - gsSeconds(20);
  return fleet;
}

/** Lets streams of each engine receive an event per interval for a time, and
 * refreshes speeds ten times per second. \return The number of changes. */
template<typename IntervalMillis>
std::size_t RunStreams(gsFleet& fleet, gsTime& now, gsTime duration,
                       IntervalMillis const& intervalMillis)
{
  std::size_t changes = 0;
  gsTime end = now + duration;
  while (now < end) {
    now += gsMilliseconds(100);
    for (gsFleetRow& row : fleet.Rows) {
      for (int i = 0; i < 3; ++i) {
        double millis = intervalMillis(row);
        if (millis > 0) {
          gsRecordStreamEvents(fleet, row, gsEngineActivityOf(fleet, row, now),
                               gsFromSeconds(millis / 1e3), 1, now);
        }
      }
    }
    changes += gsRefreshEngineSpeeds(fleet, now).size();
  }
  return changes;
}

/** Requests with a shared part each, for subjects 1 to count. */
struct SubjectRequest
{
  explicit SubjectRequest(std::uint64_t subject)
    : Parts{ { subject, 4000 }, { 999, 500 } }
  {
    this->Ask.Service = "model";
    this->Ask.Parts = &this->Parts;
    this->Ask.PromptTokens = 4500;
  }
  std::vector<gsPromptPart> Parts;
  gsPlacementRequest Ask;
};

/** Home of a subject; empty if there is none. */
std::string HomeOf(gsFleet const& fleet, SubjectRequest const& request,
                   gsTime now)
{
  auto context = gsPlacementDetail::MakeContext(fleet, request.Ask);
  gsRandom random(1);
  gsCandidates candidates = gsSelectCandidates(
    fleet, { "model", gsSubjectOf(request.Ask), {}, {} }, random);
  SetCandidates(context, fleet, candidates, request.Ask, now);
  return context.Home == nullptr ? "" : context.Home->Listed.Id;
}

std::vector<std::string> Homes(gsFleet const& fleet, int subjects, gsTime now,
                               double maxIntervalMillis = 0)
{
  std::vector<std::string> homes;
  for (int i = 1; i <= subjects; ++i) {
    SubjectRequest request(static_cast<std::uint64_t>(i));
    request.Ask.MaxIntervalMillis = maxIntervalMillis;
    homes.push_back(HomeOf(fleet, request, now));
  }
  return homes;
}

bool IsU0(gsFleetRow const& row)
{
  return row.Listed.Id == "u0";
}

} // namespace

// Guards against slow engines that stay unknown, so that a quarter of all
// homes exceed what their engines can do.
TEST(EngineSpeed, EnginesThatDifferByTwoPointTwoUnderEvenLoad)
{
  Settings settings;
  Simulation simulation(settings);
  simulation.Run(gsSeconds(8));
  EXPECT_GE(simulation.ShareOf(true, IsDecidedSlow), 0.9);
  EXPECT_LE(simulation.ShareOf(false, IsChanged), 0.02);
}

// Guards against speeds that become known only when a burst on engines with
// empty caches is over. No host alone sees enough engines in that time.
TEST(EngineSpeed, BurstOnEnginesWithEmptyCaches)
{
  Settings settings;
  settings.Hosts = 69;
  settings.LoadFactor = 2.5;
  Simulation simulation(settings);
  simulation.Run(gsMilliseconds(2750));
  EXPECT_GE(simulation.ShareOf(true, IsDecidedSlow), 0.9);
  EXPECT_LE(simulation.ShareOf(false, IsChanged), 0.06);
}

// Guards against a set of slow engines that grows on a calm day because busy
// engines are classified as slow.
TEST(EngineSpeed, CalmDay)
{
  Settings settings;
  settings.SlowShare = 0;
  settings.LoadFactor = 0.8;
  Simulation simulation(settings);
  simulation.Run(gsSeconds(20));
  EXPECT_EQ(simulation.Changes, 0U);
  EXPECT_EQ(simulation.Hosts[0].Arrangements["model"].SlowEngines.size(), 0U);
}

// Guards against homes that move because of load, which processes the shared
// parts of all their subjects again.
TEST(EngineSpeed, BusyEngineBesideIdleOneOfSameSpeed)
{
  gsFleet fleet = MakeSpeedFleet(8);
  for (gsFleetRow& row : fleet.Rows) {
    row.Listed.Slots = 64;
  }
  gsTime now = Now;
  int number = 0;
  // Steps take longer with more streams, and half of the intervals of the
  // busy engine contain a prompt that no host has reported yet.
  fleet.Rows[0].OwnLoad.OpenAttempts = 60;
  std::size_t changes =
    RunStreams(fleet, now, gsSeconds(10), [&](gsFleetRow const& row) {
      return IsU0(row) ? 30.0 + (++number % 2) * 60 : 20.0;
    });
  EXPECT_EQ(changes, 0U);
  // The same number of streams, with and without unreported prompts.
  for (gsFleetRow& row : fleet.Rows) {
    row.OwnLoad.OpenAttempts = 60;
  }
  changes = RunStreams(fleet, now, gsSeconds(10), [&](gsFleetRow const& row) {
    return IsU0(row) ? 30.0 + (++number % 2) * 60 : 30.0;
  });
  EXPECT_EQ(changes, 0U);
  EXPECT_DOUBLE_EQ(gsEngineSpeedOf(fleet, fleet.Rows[0]), 1);
}

// Guards against an engine that keeps its homes although it cannot serve
// them, and against all of them returning at the same time.
TEST(EngineSpeed, EngineThreeTimesSlowerForSevenSeconds)
{
  gsFleet fleet = MakeSpeedFleet(8);
  gsTime now = Now;
  RunStreams(fleet, now, gsSeconds(3), [](gsFleetRow const&) { return 20.0; });
  std::vector<std::string> before = Homes(fleet, 400, now);
  EXPECT_GT(std::count(before.begin(), before.end(), "u0"), 20);
  auto slow = [](gsFleetRow const& row) { return IsU0(row) ? 60.0 : 20.0; };
  RunStreams(fleet, now, gsMilliseconds(1000), slow);
  std::vector<std::string> during = Homes(fleet, 400, now);
  EXPECT_EQ(std::count(during.begin(), during.end(), "u0"), 0);
  for (std::size_t i = 0; i < before.size(); ++i) {
    EXPECT_TRUE(before[i] == "u0" || before[i] == during[i]) << i;
  }
  EXPECT_LT(gsEngineSpeedOf(fleet, *gsFleetFind(fleet, "u0")), 0.5);
  RunStreams(fleet, now, gsSeconds(6), slow);
  RunStreams(fleet, now, gsSeconds(1), [](gsFleetRow const&) { return 20.0; });
  gsFleetRow const& row = *gsFleetFind(fleet, "u0");
  EXPECT_STREQ(gsSpeedStateName(row), "returning");
  double weight = gsHomeWeightOf(fleet, row, now);
  EXPECT_LE(weight, 0.25);
  RunStreams(fleet, now, gsSeconds(3), [](gsFleetRow const&) { return 20.0; });
  EXPECT_NEAR(gsHomeWeightOf(fleet, row, now) - weight, 0.375, 0.13);
  RunStreams(fleet, now, gsSeconds(6), [](gsFleetRow const&) { return 20.0; });
  EXPECT_EQ(Homes(fleet, 400, now), before);
}

// Guards against a suspended engine that is never used again because nothing
// measures it without requests.
TEST(EngineSpeed, SuspendedEngineWithoutRequestsReturnsGradually)
{
  gsFleet fleet = MakeSpeedFleet(8);
  gsTime now = Now;
  RunStreams(fleet, now, gsSeconds(3), [](gsFleetRow const&) { return 20.0; });
  RunStreams(fleet, now, gsSeconds(1),
             [](gsFleetRow const& row) { return IsU0(row) ? 60.0 : 20.0; });
  gsFleetRow const& row = *gsFleetFind(fleet, "u0");
  ASSERT_STREQ(gsSpeedStateName(row), "suspended");
  RunStreams(fleet, now, gsSeconds(3),
             [](gsFleetRow const& r) { return IsU0(r) ? 0.0 : 20.0; });
  EXPECT_STREQ(gsSpeedStateName(row), "returning");
}

// Guards against homes that move with each of the frequent short
// disturbances.
TEST(EngineSpeed, NoiseOfTwoPointFiveTimesForSixHundredMilliseconds)
{
  gsFleet fleet = MakeSpeedFleet(20);
  gsTime now = Now;
  RunStreams(fleet, now, gsSeconds(3), [](gsFleetRow const&) { return 20.0; });
  std::size_t changes = 0;
  for (std::size_t episode = 0; episode < 40; ++episode) {
    std::set<std::string> disturbed;
    for (std::size_t i = 0; i < 3; ++i) {
      disturbed.insert("u" + std::to_string((episode * 7 + i * 5) % 20));
    }
    changes +=
      RunStreams(fleet, now, gsMilliseconds(600), [&](gsFleetRow const& row) {
        return disturbed.count(row.Listed.Id) != 0 ? 50.0 : 20.0;
      });
  }
  EXPECT_EQ(changes, 0U);
}

// Guards against homes that are distributed without regard to speed.
TEST(EngineSpeed, HomesAreInProportionToSpeed)
{
  gsFleet fleet = MakeSpeedFleet(20);
  for (int i = 0; i < 5; ++i) {
    gsFleetFind(fleet, "u" + std::to_string(i))->Speed.Decided = 0.5;
  }
  std::vector<std::string> homes = Homes(fleet, 4000, Now);
  std::map<std::string, double> load;
  for (std::string const& home : homes) {
    load[home] += 1 / gsFleetFind(fleet, home)->Speed.Decided;
  }
  double mean = 4000 / 17.5;
  for (auto const& [home, value] : load) {
    EXPECT_LT(value, 1.5 * mean) << home;
  }
}

// Guards against one changed speed that moves homes between other engines.
TEST(EngineSpeed, ChangedSpeedMovesOnlyHomesOfThatEngine)
{
  gsFleet fleet = MakeSpeedFleet(20);
  std::vector<std::string> before = Homes(fleet, 1000, Now);
  gsFleetFind(fleet, "u3")->Speed.Decided = 0.5;
  std::vector<std::string> after = Homes(fleet, 1000, Now);
  for (std::size_t i = 0; i < before.size(); ++i) {
    EXPECT_TRUE(before[i] == after[i] || before[i] == "u3") << i;
  }
}

// Guards against any effect of the feature while it is off or in a dry run.
TEST(EngineSpeed, OffAndDryRunChangeNoDecision)
{
  gsFleet off = MakeSpeedFleet(20, gsFeatureMode::Off);
  gsFleet dryRun = MakeSpeedFleet(20, gsFeatureMode::DryRun);
  std::vector<std::string> expected = Homes(MakeFleet(20), 300, Now);
  for (gsFleet* fleet : { &off, &dryRun }) {
    gsTime now = Now;
    std::size_t changes =
      RunStreams(*fleet, now, gsSeconds(4), [](gsFleetRow const& row) {
        return IsU0(row) ? 60.0 : 20.0;
      });
    EXPECT_EQ(changes > 0, fleet == &dryRun);
    EXPECT_EQ(Homes(*fleet, 300, now), expected);
    EXPECT_DOUBLE_EQ(gsEngineSpeedOf(*fleet, fleet->Rows[0]), 1);
    EXPECT_DOUBLE_EQ(gsHomeWeightOf(*fleet, fleet->Rows[0], now), 1);
  }
  EXPECT_TRUE(off.Rows[0].Speed.Samples.empty());
  EXPECT_TRUE(off.MeasuredRows.empty());
}

// Guards against an engine of a kind with tight pauses that exceeds them
// whenever it processes prompts.
TEST(EngineSpeed, EngineWithLongPausesUnderLoadIsNoHomeOfTightKind)
{
  gsFleet fleet = MakeSpeedFleet(8);
  gsFleetFind(fleet, "u0")->Speed.Decided = 0.5;
  gsEngineActivity pending;
  pending.Pending = gsEngineActivity::Prompts::Some;
  gsFleetRow& other = *gsFleetFind(fleet, "u1");
  other.OwnLoad.PendingPromptTokens = 1000;
  for (int i = 0; i < 1000; ++i) {
    gsRecordStreamEvents(fleet, other, pending,
                         gsMilliseconds(100 + 10 * (i % 10)), 1, Now);
  }
  EXPECT_NEAR(fleet.ServiceSpeeds["model"].PauseMillis, 190, 25);
  std::vector<std::string> tight = Homes(fleet, 400, Now, 300);
  EXPECT_EQ(std::count(tight.begin(), tight.end(), "u0"), 0);
  std::vector<std::string> relaxed = Homes(fleet, 400, Now, 1200);
  EXPECT_GT(std::count(relaxed.begin(), relaxed.end(), "u0"), 5);
  // If no engine keeps within the target, there still is a home.
  EXPECT_NE(Homes(fleet, 1, Now, 50).front(), "");
}

// Guards against waits that are predicted too short at slow engines.
TEST(EngineSpeed, PredictedWaitsUseSpeedOfEngine)
{
  gsFleet fleet = MakeSpeedFleet(2);
  gsFleetRow& slow = *gsFleetFind(fleet, "u0");
  slow.Speed.Decided = 0.5;
  gsFleetRow const& normal = *gsFleetFind(fleet, "u1");
  slow.OwnLoad.PendingPromptTokens = 10000;
  gsFleetFind(fleet, "u1")->OwnLoad.PendingPromptTokens = 10000;
  EXPECT_NEAR(
    gsToSeconds(gsStreamTimeoutExtension(fleet, slow, 0.02, Now)),
    2 * gsToSeconds(gsStreamTimeoutExtension(fleet, normal, 0.02, Now)), 1e-6);
  gsPlacementRequest ask = MakeLongRequest();
  ask.PromptTokens = 4000;
  ask.TargetTokens = 50000;
  ask.MillisPerToken = 0.02;
  double slowShare =
    gsPlacementDetail::ExpectedTargetShare(fleet, slow, ask, 4000, Now);
  double share =
    gsPlacementDetail::ExpectedTargetShare(fleet, normal, ask, 4000, Now);
  EXPECT_NEAR(slowShare, 2 * share, 1e-9);
}

// Guards against a speed of an earlier start of an engine, and of an engine
// that nothing has measured for long.
TEST(EngineSpeed, ExpiresAndIsBoundToIncarnation)
{
  gsFleet fleet = MakeSpeedFleet(8);
  gsTime now = Now;
  auto slow = [](gsFleetRow const& row) { return IsU0(row) ? 50.0 : 20.0; };
  RunStreams(fleet, now, gsSeconds(5), slow);
  EXPECT_DOUBLE_EQ(gsFleetFind(fleet, "u0")->Speed.Decided, 0.5);
  gsFleet restarted = fleet;
  gsListedUpstream listed = MakeListed("u0");
  listed.StartedAt = 77;
  gsFleetUpsert(restarted, listed, now);
  EXPECT_DOUBLE_EQ(gsFleetFind(restarted, "u0")->Speed.Decided, 1);
  RunStreams(fleet, now, gsSeconds(11), [](gsFleetRow const&) { return 0; });
  EXPECT_DOUBLE_EQ(gsFleetFind(fleet, "u0")->Speed.Decided, 1);
  EXPECT_TRUE(fleet.MeasuredRows.empty());
}

// Guards against values of hosts of an earlier release, which report none.
TEST(EngineSpeed, HostsThatReportNoSpeedLeaveItUnknown)
{
  gsFleet fleet = MakeSpeedFleet(3);
  for (int i = 0; i < 20; ++i) {
    gsApplyReportedSpeed(fleet, fleet.Rows[0], {}, Now);
    gsRefreshEngineSpeeds(fleet, Now + gsMilliseconds(100 * i));
  }
  EXPECT_DOUBLE_EQ(gsEngineSpeedOf(fleet, fleet.Rows[0]), 1);
  EXPECT_TRUE(fleet.MeasuredRows.empty());
  EXPECT_EQ(gsSpeedToReport(fleet.Rows[0], Now), 0);
  EXPECT_FALSE(gsSampleToReport(fleet.Rows[0], Now).has_value());
}

// Guards against a host with few streams that learns no speeds, and against
// invalid reports.
TEST(EngineSpeed, AppliesNewestSpeedOfOtherHosts)
{
  gsFleet fleet = MakeSpeedFleet(8);
  gsFleetRow& row = fleet.Rows[0];
  gsReportedSpeed reported;
  for (int i = 1; i <= 20; ++i) {
    gsTime now = Now + gsMilliseconds(200 * i);
    reported.Speed = 0.46;
    reported.SpeedAt = now - gsMilliseconds(150);
    reported.SampleMillis = 1;
    reported.SampleKind = 4711;
    reported.SampleAt = now;
    gsApplyReportedSpeed(fleet, row, reported, now);
    gsRefreshEngineSpeeds(fleet, now);
  }
  EXPECT_DOUBLE_EQ(gsEngineSpeedOf(fleet, row), 0.5);
  EXPECT_TRUE(row.Speed.Samples.empty());
  // A reported speed is not reported again as an own measurement.
  EXPECT_EQ(gsSpeedToReport(row, Now + gsSeconds(4)), 0);
}

// Guards against different speeds of hosts that cannot exchange reports: each
// half converges by its own measurements.
TEST(EngineSpeed, HallsThatAreCutOffMeasureOnTheirOwn)
{
  gsFleet left = MakeSpeedFleet(12);
  gsFleet right = MakeSpeedFleet(12);
  auto slow = [](gsFleetRow const& row) { return IsU0(row) ? 44.0 : 20.0; };
  gsTime now = Now;
  RunStreams(left, now, gsSeconds(5), slow);
  now = Now;
  RunStreams(right, now, gsSeconds(5), slow);
  EXPECT_EQ(Homes(left, 300, now), Homes(right, 300, now));
  EXPECT_DOUBLE_EQ(left.Rows[0].Speed.Decided, 0.5);
}

// Guards against hosts that use different speeds for good, since they have
// decided at different times and the difference is under ChangeRatio.
TEST(EngineSpeed, HostsWithDifferentHistoriesDecideTheSameSpeed)
{
  auto decide = [](double first) {
    gsFleet fleet = MakeSpeedFleet(1);
    gsFleetRow& row = fleet.Rows[0];
    for (int i = 1; i <= 100; ++i) {
      gsReportedSpeed reported;
      reported.Speed = i <= 20 ? first : 0.72;
      reported.SpeedAt = Now + gsMilliseconds(100 * i);
      gsApplyReportedSpeed(fleet, row, reported, reported.SpeedAt);
      gsRefreshEngineSpeeds(fleet, reported.SpeedAt);
    }
    return row.Speed.Decided;
  };
  EXPECT_DOUBLE_EQ(decide(1), 0.75);
  EXPECT_DOUBLE_EQ(decide(0.5), 0.75);
  EXPECT_DOUBLE_EQ(decide(0.72), 0.75);
}

// Guards against a mean that contradicts the decided speed for less than 3 s.
TEST(EngineSpeed, AShortDifferenceOfTheMeanChangesNothing)
{
  gsFleet fleet = MakeSpeedFleet(1);
  gsFleetRow& row = fleet.Rows[0];
  for (int i = 1; i <= 100; ++i) {
    gsReportedSpeed reported;
    reported.Speed = i > 50 && i <= 70 ? 0.72 : 1;
    reported.SpeedAt = Now + gsMilliseconds(100 * i);
    gsApplyReportedSpeed(fleet, row, reported, reported.SpeedAt);
    gsRefreshEngineSpeeds(fleet, reported.SpeedAt);
    EXPECT_DOUBLE_EQ(row.Speed.Decided, 1) << i;
  }
}

// Guards against speeds that all hosts measure too low by the same factor,
// for example after a reference was learned from disturbed engines.
TEST(EngineSpeed, CommonErrorOfAllSpeedsIsCompensated)
{
  gsFleet fleet = MakeSpeedFleet(10);
  for (int i = 1; i <= 20; ++i) {
    gsTime now = Now + gsMilliseconds(200 * i);
    for (gsFleetRow& row : fleet.Rows) {
      gsReportedSpeed reported;
      reported.Speed = IsU0(row) ? 0.2 : 0.4;
      reported.SpeedAt = now;
      gsApplyReportedSpeed(fleet, row, reported, now);
    }
    gsRefreshEngineSpeeds(fleet, now);
  }
  EXPECT_DOUBLE_EQ(gsFleetFind(fleet, "u0")->Speed.Decided, 0.5);
  EXPECT_DOUBLE_EQ(gsFleetFind(fleet, "u1")->Speed.Decided, 1);
}

// Guards against a burst of events of a host that was stopped, which looks
// like a fast engine.
TEST(EngineSpeed, EventsReadTogetherCountAsSeveralIntervals)
{
  gsFleet fleet = MakeSpeedFleet(8);
  gsFleetRow& row = fleet.Rows[0];
  gsTime now = Now;
  RunStreams(fleet, now, gsSeconds(1), [](gsFleetRow const&) { return 20.0; });
  for (int i = 0; i < 16; ++i) {
    gsRecordStreamEvents(fleet, row, {}, gsMilliseconds(100), 5, now);
  }
  gsRefreshEngineSpeeds(fleet, now);
  EXPECT_NEAR(row.Speed.Own, 1, 0.05);
}

// Guards against a division of engines that counts cached prompt tokens as
// work: it assigned 59 of 60 engines to long prompts.
TEST(EngineSpeed, DivisionCountsOnlyTokensThatAreProcessed)
{
  gsFleet fleet = MakeSpeedFleet(60);
  fleet.Demand["model"] = {};
  std::vector<gsPromptPart> longParts{ { 1, 13300 }, { 2, 500 } };
  gsPlacementRequest longPrompt = MakeLongRequest();
  longPrompt.Parts = &longParts;
  longPrompt.PromptTokens = 13800;
  gsPlacementRequest tight = MakeLongRequest();
  tight.Group = gsFleetGroup::Tight;
  tight.PromptTokens = 1460;
  tight.AnswerTokens = 172;
  gsTime now = Now;
  for (int i = 0; i < 4000; ++i) {
    now += gsMilliseconds(1);
    gsRecordDemand(fleet, longPrompt, now);
    gsRecordDemand(fleet, tight, now);
    gsRecordDemand(fleet, tight, now);
    if (i % 250 == 0) {
      gsDecideArrangements(fleet, now);
    }
  }
  gsDecideArrangements(fleet, now);
  // 1,000 long prompts per second are 13.8 million tokens, but only 0.5
  // million are processed.
  std::uint32_t count = gsLongEngineCount(fleet, "model");
  EXPECT_LT(count, 15U);
  EXPECT_GE(count, 1U);
}

// Guards against a group for tight streams without an engine, and one that
// takes engines that it does not need.
TEST(EngineSpeed, TightGroupGetsWhatItNeedsAndAtLeastATenth)
{
  gsFleet fleet = MakeSpeedFleet(60);
  gsDemand& demand = fleet.Demand["model"];
  demand.FirstRequestAt = Now - gsSeconds(20);
  // Tokens whose decaying sum keeps a number of engines busy.
  auto busy = [](double engines) { return engines * 1e6 / 20 * 2 / 0.693; };
  auto decide = [&](double longEngines, double tightEngines, int seconds) {
    demand.OthersLongTokens = busy(longEngines);
    demand.OthersTightTokens = busy(tightEngines);
    gsDecideArrangements(fleet, Now + gsSeconds(seconds));
    return gsLongEngineCount(fleet, "model");
  };
  EXPECT_EQ(decide(20, 1, 1), 54U);
  EXPECT_EQ(decide(20, 10, 3), 40U);
  EXPECT_NEAR(decide(60, 30, 5), 30, 1);
}
