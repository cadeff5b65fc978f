/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Tests of the division of engines between long prompts and tight
 * streams. */
#include <set>

#include <gtest/gtest.h>

#include "gsArrangement.h"
#include "gsFleetCases.h"

using namespace gsFleetCases;

TEST(Arrangement, SeparatesLongPromptsFromTightStreams)
{
  gsFleet fleet = MakeFleet(8);
  gsPlacementRequest tight = MakeLongRequest();
  tight.Group = gsFleetGroup::Tight;
  tight.PromptTokens = 800;
  gsPlacementRequest longPrompt = MakeLongRequest();
  longPrompt.PromptTokens = 12000;
  EXPECT_EQ(gsLongEngineCount(fleet, "model"), 0U);
  for (int i = 0; i < 50; ++i) {
    gsRecordDemand(fleet, tight, Now);
    gsRecordDemand(fleet, tight, Now);
    gsRecordDemand(fleet, tight, Now);
    if (i % 5 == 0) {
      gsRecordDemand(fleet, longPrompt, Now);
    }
  }
  gsDecideArrangements(fleet, Now + gsMilliseconds(1100));
  EXPECT_EQ(gsLongEngineCount(fleet, "model"), 4U);
  std::set<std::string> tightIds;
  std::set<std::string> longIds;
  gsRandom random(3);
  for (int i = 0; i < 200; ++i) {
    gsFleetRow& one = *gsPlaceRequest(fleet, tight, Now, random).Row;
    one.OwnLoad.OpenAttempts += 1;
    tightIds.insert(one.Listed.Id);
    gsFleetRow& two = *gsPlaceRequest(fleet, longPrompt, Now, random).Row;
    two.OwnLoad.OpenAttempts += 1;
    longIds.insert(two.Listed.Id);
  }
  EXPECT_EQ(tightIds.size(), 4U);
  EXPECT_EQ(longIds.size(), 4U);
  for (std::string const& id : tightIds) {
    EXPECT_EQ(longIds.count(id), 0U) << id;
  }
}

TEST(Arrangement, AssignsSlowEnginesToLongPrompts)
{
  gsFleet fleet = MakeFleet(6);
  for (gsFleetRow& row : fleet.Rows) {
    bool slow = row.Listed.Id == "u2" || row.Listed.Id == "u4";
    for (int i = 0; i < 400; ++i) {
      double usual = slow ? 26 : 20;
      double millis = i % 3 == 0 ? 5 * usual : usual + i % 2;
      gsRecordEventInterval(fleet, row, gsFromSeconds(millis / 1e3), Now);
    }
  }
  gsDecideArrangements(fleet, Now);
  gsPlacementRequest ask = MakeLongRequest();
  ask.PromptTokens = 1000;
  gsRecordDemand(fleet, ask, Now);
  ask.Group = gsFleetGroup::Tight;
  gsRecordDemand(fleet, ask, Now);
  gsDecideArrangements(fleet, Now);
  EXPECT_LT(gsRankOf(fleet, *gsFleetFind(fleet, "u2")), 2U);
  EXPECT_LT(gsRankOf(fleet, *gsFleetFind(fleet, "u4")), 2U);
}

TEST(Arrangement, ChangesGroupSizesOnlyWhenDemandChangesClearly)
{
  gsFleet fleet = MakeFleet(10);
  gsDemand& demand = fleet.Demand["model"];
  gsTime now = Now;
  auto decideLater = [&fleet, &demand, &now] {
    now += gsSeconds(1);
    demand.DecayedAt = now; // Prevents decay.
    gsDecideArrangements(fleet, now);
  };
  demand.LongTokens = 50000;
  demand.TightTokens = 50000;
  decideLater();
  EXPECT_EQ(gsLongEngineCount(fleet, "model"), 5U);
  demand.LongTokens = 56000;
  demand.TightTokens = 44000;
  decideLater();
  EXPECT_EQ(gsLongEngineCount(fleet, "model"), 5U);
  demand.OthersLongTokens = 100000;
  decideLater();
  EXPECT_EQ(gsLongEngineCount(fleet, "model"), 8U);
  demand.OthersLongTokens = 0;
  decideLater();
  EXPECT_EQ(gsLongEngineCount(fleet, "model"), 6U);
}

// Guards against different preferred engines for one subject: hosts that
// decide by their own measurements consider different engines slow.
TEST(Arrangement, AgreesWithDecidingHostAfterAdoptingItsArrangement)
{
  gsFleet decider = MakeFleet(20);
  gsFleet adopter = MakeFleet(20);
  for (gsFleet* fleet : { &decider, &adopter }) {
    gsDemand& demand = fleet->Demand["model"];
    demand.DecayedAt = Now;
    demand.LongTokens = 50000;
    demand.TightTokens = fleet == &decider ? 50000 : 90000;
    std::size_t number = fleet == &decider ? 0 : 3;
    for (gsFleetRow& row : fleet->Rows) {
      row.OthersEventIntervalMillis = ++number % 4 == 0 ? 30 : 20;
    }
    gsDecideArrangements(*fleet, Now);
  }
  EXPECT_NE(gsLongEngineCount(decider, "model"),
            gsLongEngineCount(adopter, "model"));
  gsEngineArrangement decided = decider.Arrangements["model"];
  decided.Version += 1;
  gsAdoptArrangement(adopter, "model", decided);
  EXPECT_EQ(gsLongEngineCount(decider, "model"),
            gsLongEngineCount(adopter, "model"));
  for (gsFleetRow const& row : decider.Rows) {
    EXPECT_EQ(gsRankOf(decider, row),
              gsRankOf(adopter, *gsFleetFind(adopter, row.Listed.Id)));
  }
  // An older arrangement is ignored.
  gsEngineArrangement old = decided;
  old.Version -= 1;
  old.LongEngines = 1;
  gsAdoptArrangement(adopter, "model", old);
  EXPECT_EQ(gsLongEngineCount(decider, "model"),
            gsLongEngineCount(adopter, "model"));
}

// Halls that were partitioned have decided separately: the arrangements may
// have the same version and still differ.
TEST(Arrangement, ConvergesWhenPartitionedHallsReconnect)
{
  gsFleet one = MakeFleet(20);
  gsFleet other = MakeFleet(20);
  for (gsFleet* fleet : { &one, &other }) {
    gsDemand& demand = fleet->Demand["model"];
    demand.DecayedAt = Now;
    demand.LongTokens = 50000;
    demand.TightTokens = fleet == &one ? 50000 : 90000;
    gsDecideArrangements(*fleet, Now);
  }
  gsEngineArrangement ofOne = one.Arrangements["model"];
  gsEngineArrangement ofOther = other.Arrangements["model"];
  ASSERT_EQ(ofOne.Version, ofOther.Version);
  ASSERT_NE(ofOne.LongEngines, ofOther.LongEngines);
  gsAdoptArrangement(one, "model", ofOther);
  gsAdoptArrangement(other, "model", ofOne);
  EXPECT_EQ(gsLongEngineCount(one, "model"),
            gsLongEngineCount(other, "model"));
  // Neither adopts the arrangement of the other again.
  EXPECT_FALSE(gsAdoptArrangement(one, "model", other.Arrangements["model"]));
  EXPECT_FALSE(gsAdoptArrangement(other, "model", one.Arrangements["model"]));
}

TEST(Arrangement, LimitsDecisionRateAndWaitsForDemand)
{
  gsFleet fleet = MakeFleet(10);
  gsPlacementRequest ask = MakeLongRequest();
  ask.PromptTokens = 1000;
  gsRecordDemand(fleet, ask, Now);
  ask.Group = gsFleetGroup::Tight;
  gsRecordDemand(fleet, ask, Now);
  gsDecideArrangements(fleet, Now + gsMilliseconds(100));
  EXPECT_EQ(gsLongEngineCount(fleet, "model"), 0U);
  std::uint64_t before = fleet.Arrangements["model"].Version;
  for (int i = 0; i < 100; ++i) {
    gsTime now = Now + gsSeconds(2) + gsMilliseconds(50) * i;
    for (std::size_t k = 0; k < fleet.Rows.size(); ++k) {
      fleet.Rows[k].OthersEventIntervalMillis = (i + k) % 3 == 0 ? 30 : 20;
    }
    fleet.Demand["model"].OthersLongTokens = i % 2 == 0 ? 0 : 100000;
    gsDecideArrangements(fleet, now);
  }
  // In five seconds, with ten engines.
  EXPECT_LE(fleet.Arrangements["model"].Version - before, 18U);
  EXPECT_GE(fleet.Arrangements["model"].Version - before, 1U);
}

TEST(Arrangement, PreservesSlowEnginesWithoutMeasurements)
{
  gsFleet fleet = MakeFleet(10);
  fleet.Demand["model"].DecayedAt = Now;
  gsEngineArrangement decided;
  decided.Version = 7;
  decided.SlowEngines = { fleet.Rows[4].Hash };
  gsAdoptArrangement(fleet, "model", decided);
  gsDecideArrangements(fleet, Now);
  EXPECT_EQ(gsRankOf(fleet, fleet.Rows[4]), 0U);
  for (gsFleetRow& row : fleet.Rows) {
    row.OthersEventIntervalMillis = 20;
  }
  gsDecideArrangements(fleet, Now + gsSeconds(1));
  EXPECT_TRUE(fleet.Arrangements["model"].SlowEngines.empty());
  EXPECT_GT(fleet.Arrangements["model"].Version, 7U);
}

// The deciding host may not have received any requests for a service itself.
TEST(Arrangement, DividesServiceWithDemandOfOtherHostsOnly)
{
  gsFleet fleet = MakeFleet(8);
  gsSetOthersDemand(fleet, "model", {}, Now);
  EXPECT_EQ(fleet.Demand.count("model"), 0U);
  gsSetOthersDemand(fleet, "model", { 50000, 50000 }, Now);
  gsDecideArrangements(fleet, Now + gsSeconds(1));
  EXPECT_EQ(gsLongEngineCount(fleet, "model"), 4U);
}

// Guards against a late first division, until which long prompts delay tight
// streams: with 112 engines it was 3.4 s late, since an attempt before demand
// was known counted as a decision and started the minimum interval.
TEST(Arrangement, DividesEnginesAsSoonAsDemandIsKnown)
{
  gsFleet fleet = MakeFleet(112);
  gsPlacementRequest ask = MakeLongRequest();
  ask.PromptTokens = 1000;
  gsRecordDemand(fleet, ask, Now);
  ask.Group = gsFleetGroup::Tight;
  gsRecordDemand(fleet, ask, Now);
  gsDecideArrangements(fleet, Now + gsMilliseconds(50));
  EXPECT_EQ(gsLongEngineCount(fleet, "model"), 0U);
  gsDecideArrangements(fleet, Now + fleet.Settings.MinDemandTime);
  EXPECT_EQ(gsLongEngineCount(fleet, "model"), 56U);
}

// Guards against different preferred engines on mostly idle fleets: 600
// requests per second keep about 40 of 9,468 engines busy. Hosts with a few
// requests each disagreed on which requests are long, and therefore on the
// preferred engines of subjects.
TEST(Arrangement, DoesNotDivideManyEnginesWhenFewAreBusy)
{
  gsFleet fleet = MakeFleet(1'000);
  gsDemand& demand = fleet.Demand["model"];
  gsTime now = Now;
  auto decide = [&](double enginesBusy) {
    now += gsSeconds(20);
    demand.DecayedAt = now; // Prevents decay.
    // 20 us per token; the sums have a half-life of 2 s.
    demand.OthersLongTokens = enginesBusy * 1e6 / 20 * 2 / 0.693 / 2;
    demand.OthersTightTokens = demand.OthersLongTokens;
    gsDecideArrangements(fleet, now);
    return gsLongEngineCount(fleet, "model");
  };
  EXPECT_EQ(decide(5), 0U);
  EXPECT_EQ(decide(19), 0U);
  EXPECT_EQ(decide(30), 500U);
  EXPECT_EQ(decide(15), 500U);
  EXPECT_EQ(decide(5), 0U);
}

// Guards against a burst of tight streams being served with the arrangement of
// the preceding burst of long prompts.
TEST(Arrangement, AdaptsGroupSizesToBurst)
{
  gsFleet fleet = MakeFleet(100);
  gsPlacementRequest longPrompt = MakeLongRequest();
  longPrompt.PromptTokens = 8000;
  gsPlacementRequest tight = MakeLongRequest();
  tight.PromptTokens = 2000;
  tight.Group = gsFleetGroup::Tight;
  gsTime now = Now;
  auto runFor = [&](gsTime length, int longCount, int tightCount) {
    for (gsTime end = now + length; now < end; now += gsMilliseconds(100)) {
      for (int i = 0; i < longCount; ++i) {
        gsRecordDemand(fleet, longPrompt, now);
      }
      for (int i = 0; i < tightCount; ++i) {
        gsRecordDemand(fleet, tight, now);
      }
      gsDecideArrangements(fleet, now);
    }
  };
  runFor(gsSeconds(10), 4, 4);
  EXPECT_NEAR(gsLongEngineCount(fleet, "model"), 80, 4);
  runFor(gsSeconds(4), 1, 12);
  EXPECT_LT(gsLongEngineCount(fleet, "model"), 45U);
}

// An output token costs an engine one step, which it shares with all running
// requests. On engines with few slots, fewer requests share a step.
TEST(Arrangement, WeightsAnswersMoreWhenSlotsAreFew)
{
  auto longEngines = [](std::uint32_t slots) {
    gsFleet fleet;
    std::vector<gsListedUpstream> listed;
    for (int i = 0; i < 100; ++i) {
      listed.push_back(MakeListed("u" + std::to_string(i)));
      listed.back().Slots = slots;
    }
    gsFleetReplaceListing(fleet, listed);
    gsPlacementRequest longPrompt = MakeLongRequest();
    longPrompt.PromptTokens = 4000;
    gsRecordDemand(fleet, longPrompt, Now);
    gsPlacementRequest longAnswer = MakeLongRequest();
    longAnswer.PromptTokens = 800;
    longAnswer.AnswerTokens = 400;
    longAnswer.Group = gsFleetGroup::Tight;
    gsRecordDemand(fleet, longAnswer, Now);
    gsDecideArrangements(fleet, Now + gsSeconds(1));
    return gsLongEngineCount(fleet, "model");
  };
  // 240 tokens a step: 800 + 400 * 240 / 12 and 800 + 400 * 240 / 60.
  EXPECT_EQ(longEngines(12), 31U);
  EXPECT_EQ(longEngines(60), 63U);
}

namespace {

/** A fleet whose long prompts have targets too short to wait for each other.
 */
gsFleet MakeUrgentFleet(int upstreams)
{
  gsFleet fleet = MakeFleet(upstreams);
  gsEngineTiming& pace = fleet.EngineTimings["model"];
  pace.TokenMillis = 0.025;
  pace.MeanLongPromptMillis = 240;
  pace.LongTargetRatio = 2.5;
  return fleet;
}

} // namespace

// If the group sizes followed each burst, subjects would move and be processed
// again.
TEST(Arrangement, KeepsGroupSizesWhenLongPromptsMayUseAllEngines)
{
  gsFleet fleet = MakeUrgentFleet(100);
  gsDemand& demand = fleet.Demand["model"];
  gsTime now = Now;
  auto decide = [&](double longTokens, double tightTokens) {
    now += gsSeconds(3);
    demand.DecayedAt = now; // Prevents decay.
    demand.LongTokens = longTokens;
    demand.TightTokens = tightTokens;
    gsDecideArrangements(fleet, now);
    return gsLongEngineCount(fleet, "model");
  };
  EXPECT_EQ(decide(60000, 40000), 60U);
  EXPECT_EQ(decide(75000, 25000), 60U);
  EXPECT_EQ(decide(45000, 55000), 60U);
  EXPECT_EQ(decide(90000, 10000), 90U);
}

TEST(Arrangement, SendsUrgentLongPromptsToAllEnginesBeforeTheyMissTargets)
{
  gsFleet fleet = MakeUrgentFleet(10);
  gsEngineArrangement arrangement;
  arrangement.Version = 1;
  arrangement.LongEngines = 5;
  gsAdoptArrangement(fleet, "model", arrangement);
  gsPlacementRequest ask = MakeLongRequest();
  ask.PromptTokens = 9000;
  ask.MillisPerToken = 0.025;
  ask.TargetTokens = 24000;
  gsRandom random(5);
  EXPECT_LT(gsRankOf(fleet, *gsPlaceRequest(fleet, ask, Now, random).Row), 5U);
  for (gsFleetRow& row : fleet.Rows) {
    row.OwnLoad.PendingPromptTokens = gsRankOf(fleet, row) < 5 ? 30000 : 0;
  }
  EXPECT_GE(gsRankOf(fleet, *gsPlaceRequest(fleet, ask, Now, random).Row), 5U);
  // With longer targets, they do not use the engines for tight streams.
  fleet.EngineTimings["model"].LongTargetRatio = 10;
  EXPECT_LT(gsRankOf(fleet, *gsPlaceRequest(fleet, ask, Now, random).Row), 5U);
}
