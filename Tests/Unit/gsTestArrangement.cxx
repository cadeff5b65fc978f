/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Dividing engines between long prompts and tight streams. */
#include <set>

#include <gtest/gtest.h>

#include "gsArrangement.h"
#include "gsFleetCases.h"

using namespace gsFleetCases;

TEST(Arrangement, LongPromptsAndTightStreamsGetEnginesApart)
{
  gsFleet fleet = MakeFleet(8);
  gsPlacementAsk tight = Plain();
  tight.Group = gsFleetGroup::Tight;
  tight.PromptTokens = 800;
  gsPlacementAsk reading = Plain();
  reading.PromptTokens = 12000;
  EXPECT_EQ(gsLongEngines(fleet, "model"), 0U);
  for (int i = 0; i < 50; ++i) {
    gsNoteDemand(fleet, tight, Now);
    gsNoteDemand(fleet, tight, Now);
    gsNoteDemand(fleet, tight, Now);
    if (i % 5 == 0) {
      gsNoteDemand(fleet, reading, Now);
    }
  }
  gsDecideArrangements(fleet, Now + gsMilliseconds(1100));
  EXPECT_EQ(gsLongEngines(fleet, "model"), 4U);
  std::set<std::string> forTight;
  std::set<std::string> forLong;
  gsRandom random(3);
  for (int i = 0; i < 200; ++i) {
    gsFleetRow& one = *gsPlace(fleet, tight, Now, random).Row;
    one.Own.Running += 1;
    forTight.insert(one.Listed.Id);
    gsFleetRow& two = *gsPlace(fleet, reading, Now, random).Row;
    two.Own.Running += 1;
    forLong.insert(two.Listed.Id);
  }
  EXPECT_EQ(forTight.size(), 4U);
  EXPECT_EQ(forLong.size(), 4U);
  for (std::string const& id : forTight) {
    EXPECT_EQ(forLong.count(id), 0U) << id;
  }
}

TEST(Arrangement, SlowEnginesAreForLongPrompts)
{
  gsFleet fleet = MakeFleet(6);
  for (gsFleetRow& row : fleet.Rows) {
    bool slow = row.Listed.Id == "u2" || row.Listed.Id == "u4";
    for (int i = 0; i < 400; ++i) {
      double usual = slow ? 26 : 20;
      double millis = i % 3 == 0 ? 5 * usual : usual + i % 2;
      gsNotePause(fleet, row, gsFromSeconds(millis / 1e3), Now);
    }
  }
  gsDecideArrangements(fleet, Now);
  gsPlacementAsk ask = Plain();
  ask.PromptTokens = 1000;
  gsNoteDemand(fleet, ask, Now);
  ask.Group = gsFleetGroup::Tight;
  gsNoteDemand(fleet, ask, Now);
  gsDecideArrangements(fleet, Now);
  EXPECT_LT(gsRankOf(fleet, *gsFleetFind(fleet, "u2")), 2U);
  EXPECT_LT(gsRankOf(fleet, *gsFleetFind(fleet, "u4")), 2U);
}

TEST(Arrangement, TheBorderOfTheGroupsMovesOnlyWhenDemandClearlyHas)
{
  gsFleet fleet = MakeFleet(10);
  gsDemand& demand = fleet.Demand["model"];
  gsTime now = Now;
  auto decideLater = [&fleet, &demand, &now] {
    now += gsSeconds(1);
    demand.At = now; // Nothing decays here.
    gsDecideArrangements(fleet, now);
  };
  demand.Long = 50000;
  demand.Tight = 50000;
  decideLater();
  EXPECT_EQ(gsLongEngines(fleet, "model"), 5U);
  demand.Long = 56000;
  demand.Tight = 44000;
  decideLater();
  EXPECT_EQ(gsLongEngines(fleet, "model"), 5U);
  demand.OthersLong = 100000;
  decideLater();
  EXPECT_EQ(gsLongEngines(fleet, "model"), 8U);
  demand.OthersLong = 0;
  decideLater();
  EXPECT_EQ(gsLongEngines(fleet, "model"), 6U);
}

// Each host called other engines slow, by what it had measured itself, so one
// subject had as many homes as there were opinions.
TEST(Arrangement, HostsThatMeasureDifferentlyAgreeByAdoptingOneDecision)
{
  gsFleet decides = MakeFleet(20);
  gsFleet adopts = MakeFleet(20);
  for (gsFleet* fleet : { &decides, &adopts }) {
    gsDemand& demand = fleet->Demand["model"];
    demand.At = Now;
    demand.Long = 50000;
    demand.Tight = fleet == &decides ? 50000 : 90000;
    std::size_t number = fleet == &decides ? 0 : 3;
    for (gsFleetRow& row : fleet->Rows) {
      row.OthersPace = ++number % 4 == 0 ? 30 : 20;
    }
    gsDecideArrangements(*fleet, Now);
  }
  EXPECT_NE(gsLongEngines(decides, "model"), gsLongEngines(adopts, "model"));
  gsEngineArrangement decided = decides.Arrangements["model"];
  decided.Version += 1;
  gsAdoptArrangement(adopts, "model", decided);
  EXPECT_EQ(gsLongEngines(decides, "model"), gsLongEngines(adopts, "model"));
  for (gsFleetRow const& row : decides.Rows) {
    EXPECT_EQ(gsRankOf(decides, row),
              gsRankOf(adopts, *gsFleetFind(adopts, row.Listed.Id)));
  }
  // An older word changes nothing.
  gsEngineArrangement old = decided;
  old.Version -= 1;
  old.LongEngines = 1;
  gsAdoptArrangement(adopts, "model", old);
  EXPECT_EQ(gsLongEngines(decides, "model"), gsLongEngines(adopts, "model"));
}

// Halls that were cut off from each other have decided by themselves: their
// versions may be the same, though the decisions are not.
TEST(Arrangement, HallsThatDecidedApartAgreeOnceTheyMeet)
{
  gsFleet one = MakeFleet(20);
  gsFleet other = MakeFleet(20);
  for (gsFleet* fleet : { &one, &other }) {
    gsDemand& demand = fleet->Demand["model"];
    demand.At = Now;
    demand.Long = 50000;
    demand.Tight = fleet == &one ? 50000 : 90000;
    gsDecideArrangements(*fleet, Now);
  }
  gsEngineArrangement ofOne = one.Arrangements["model"];
  gsEngineArrangement ofOther = other.Arrangements["model"];
  ASSERT_EQ(ofOne.Version, ofOther.Version);
  ASSERT_NE(ofOne.LongEngines, ofOther.LongEngines);
  gsAdoptArrangement(one, "model", ofOther);
  gsAdoptArrangement(other, "model", ofOne);
  EXPECT_EQ(gsLongEngines(one, "model"), gsLongEngines(other, "model"));
  // Neither takes it from the other again.
  EXPECT_FALSE(gsAdoptArrangement(one, "model", other.Arrangements["model"]));
  EXPECT_FALSE(gsAdoptArrangement(other, "model", one.Arrangements["model"]));
}

TEST(Arrangement, DecisionsAreNotMadeOftenNorBeforeDemandIsKnown)
{
  gsFleet fleet = MakeFleet(10);
  gsPlacementAsk ask = Plain();
  ask.PromptTokens = 1000;
  gsNoteDemand(fleet, ask, Now);
  ask.Group = gsFleetGroup::Tight;
  gsNoteDemand(fleet, ask, Now);
  gsDecideArrangements(fleet, Now + gsMilliseconds(100));
  EXPECT_EQ(gsLongEngines(fleet, "model"), 0U);
  std::uint64_t before = fleet.Arrangements["model"].Version;
  for (int i = 0; i < 100; ++i) {
    gsTime now = Now + gsSeconds(2) + gsMilliseconds(50) * i;
    for (std::size_t k = 0; k < fleet.Rows.size(); ++k) {
      fleet.Rows[k].OthersPace = (i + k) % 3 == 0 ? 30 : 20;
    }
    fleet.Demand["model"].OthersLong = i % 2 == 0 ? 0 : 100000;
    gsDecideArrangements(fleet, now);
  }
  // In five seconds, of ten engines.
  EXPECT_LE(fleet.Arrangements["model"].Version - before, 18U);
  EXPECT_GE(fleet.Arrangements["model"].Version - before, 1U);
}

TEST(Arrangement, ASuccessorKeepsWhatItCanNotJudgeYet)
{
  gsFleet fleet = MakeFleet(10);
  fleet.Demand["model"].At = Now;
  gsEngineArrangement decided;
  decided.Version = 7;
  decided.Slow = { fleet.Rows[4].Hash };
  gsAdoptArrangement(fleet, "model", decided);
  gsDecideArrangements(fleet, Now);
  EXPECT_EQ(gsRankOf(fleet, fleet.Rows[4]), 0U);
  for (gsFleetRow& row : fleet.Rows) {
    row.OthersPace = 20;
  }
  gsDecideArrangements(fleet, Now + gsSeconds(1));
  EXPECT_TRUE(fleet.Arrangements["model"].Slow.empty());
  EXPECT_GT(fleet.Arrangements["model"].Version, 7U);
}

// The host that decides may itself not have been asked for a service.
TEST(Arrangement, AServiceThatOnlyOtherHostsWereAskedForIsDividedToo)
{
  gsFleet fleet = MakeFleet(8);
  gsNoteOthersDemand(fleet, "model", {}, Now);
  EXPECT_EQ(fleet.Demand.count("model"), 0U);
  gsNoteOthersDemand(fleet, "model", { 50000, 50000 }, Now);
  gsDecideArrangements(fleet, Now + gsSeconds(1));
  EXPECT_EQ(gsLongEngines(fleet, "model"), 4U);
}

// Until the first division was made, long prompts held up tight streams: it
// came 3.4 s late with 112 engines, as the attempt before demand was known
// counted as a decision.
TEST(Arrangement, EnginesAreDividedAsSoonAsDemandIsKnown)
{
  gsFleet fleet = MakeFleet(112);
  gsPlacementAsk ask = Plain();
  ask.PromptTokens = 1000;
  gsNoteDemand(fleet, ask, Now);
  ask.Group = gsFleetGroup::Tight;
  gsNoteDemand(fleet, ask, Now);
  gsDecideArrangements(fleet, Now + gsMilliseconds(50));
  EXPECT_EQ(gsLongEngines(fleet, "model"), 0U);
  gsDecideArrangements(fleet, Now + fleet.Settings.DemandPatience);
  EXPECT_EQ(gsLongEngines(fleet, "model"), 56U);
}

// 600 requests a second keep some 40 of 9,468 engines busy: hosts that have
// had a few requests each disagreed on which kinds are long, and so on homes.
TEST(Arrangement, ManyEnginesOfWhichFewAreBusyAreNotDivided)
{
  gsFleet fleet = MakeFleet(1'000);
  gsDemand& demand = fleet.Demand["model"];
  gsTime now = Now;
  auto decide = [&](double enginesBusy) {
    now += gsSeconds(20);
    demand.At = now; // Nothing decays here.
    // 20 us a token; a sum that halves in 2 s.
    demand.OthersLong = enginesBusy * 1e6 / 20 * 2 / 0.693 / 2;
    demand.OthersTight = demand.OthersLong;
    gsDecideArrangements(fleet, now);
    return gsLongEngines(fleet, "model");
  };
  EXPECT_EQ(decide(5), 0U);
  EXPECT_EQ(decide(19), 0U);
  EXPECT_EQ(decide(30), 500U);
  EXPECT_EQ(decide(15), 500U);
  EXPECT_EQ(decide(5), 0U);
}

// A burst of tight streams found the engines as the burst of long prompts
// before it had left them.
TEST(Arrangement, TheBorderFollowsABurstWithinTwoSeconds)
{
  gsFleet fleet = MakeFleet(100);
  gsPlacementAsk reading = Plain();
  reading.PromptTokens = 8000;
  gsPlacementAsk tight = Plain();
  tight.PromptTokens = 2000;
  tight.Group = gsFleetGroup::Tight;
  gsTime now = Now;
  auto playFor = [&](gsTime length, int longs, int tights) {
    for (gsTime end = now + length; now < end; now += gsMilliseconds(100)) {
      for (int i = 0; i < longs; ++i) {
        gsNoteDemand(fleet, reading, now);
      }
      for (int i = 0; i < tights; ++i) {
        gsNoteDemand(fleet, tight, now);
      }
      gsDecideArrangements(fleet, now);
    }
  };
  playFor(gsSeconds(10), 4, 4);
  EXPECT_NEAR(gsLongEngines(fleet, "model"), 80, 4);
  playFor(gsSeconds(4), 1, 12);
  EXPECT_LT(gsLongEngines(fleet, "model"), 45U);
}

// A token of an answer costs an engine a step that it shares with all that
// run there; engines with few slots have few to share it with.
TEST(Arrangement, AnswersWeighMoreWhereFewRunTogether)
{
  auto longEngines = [](std::uint32_t slots) {
    gsFleet fleet;
    std::vector<gsListedUpstream> listed;
    for (int i = 0; i < 100; ++i) {
      listed.push_back(Listed("u" + std::to_string(i)));
      listed.back().Slots = slots;
    }
    gsFleetTake(fleet, listed);
    gsPlacementAsk reading = Plain();
    reading.PromptTokens = 4000;
    gsNoteDemand(fleet, reading, Now);
    gsPlacementAsk telling = Plain();
    telling.PromptTokens = 800;
    telling.AnswerTokens = 400;
    telling.Group = gsFleetGroup::Tight;
    gsNoteDemand(fleet, telling, Now);
    gsDecideArrangements(fleet, Now + gsSeconds(1));
    return gsLongEngines(fleet, "model");
  };
  // 240 tokens a step: 800 + 400 * 240 / 12 and 800 + 400 * 240 / 60.
  EXPECT_EQ(longEngines(12), 31U);
  EXPECT_EQ(longEngines(60), 63U);
}

namespace {

/** A service whose long prompts have little time to wait for each other. */
gsFleet MakePressed(int upstreams)
{
  gsFleet fleet = MakeFleet(upstreams);
  gsEnginePace& pace = fleet.Paces["model"];
  pace.TokenMillis = 0.025;
  pace.LongReadMillis = 240;
  pace.LongRoom = 2.5;
  return fleet;
}

} // namespace

// With a border that follows each burst, subjects move and are read again.
TEST(Arrangement, TheBorderHardlyMovesWhereLongPromptsMayGoToAllEngines)
{
  gsFleet fleet = MakePressed(100);
  gsDemand& demand = fleet.Demand["model"];
  gsTime now = Now;
  auto decide = [&](double forLong, double forTight) {
    now += gsSeconds(3);
    demand.At = now; // Nothing decays here.
    demand.Long = forLong;
    demand.Tight = forTight;
    gsDecideArrangements(fleet, now);
    return gsLongEngines(fleet, "model");
  };
  EXPECT_EQ(decide(60000, 40000), 60U);
  EXPECT_EQ(decide(75000, 25000), 60U);
  EXPECT_EQ(decide(45000, 55000), 60U);
  EXPECT_EQ(decide(90000, 10000), 90U);
}

TEST(Arrangement, PressedPromptsGoToAllEnginesBeforeTheyAreLate)
{
  gsFleet fleet = MakePressed(10);
  gsEngineArrangement arrangement;
  arrangement.Version = 1;
  arrangement.LongEngines = 5;
  gsAdoptArrangement(fleet, "model", arrangement);
  gsPlacementAsk ask = Plain();
  ask.PromptTokens = 9000;
  ask.TokenMillis = 0.025;
  ask.TargetTokens = 24000;
  gsRandom random(5);
  EXPECT_LT(gsRankOf(fleet, *gsPlace(fleet, ask, Now, random).Row), 5U);
  for (gsFleetRow& row : fleet.Rows) {
    row.Own.ReadTokens = gsRankOf(fleet, row) < 5 ? 30000 : 0;
  }
  EXPECT_GE(gsRankOf(fleet, *gsPlace(fleet, ask, Now, random).Row), 5U);
  // Where they have room to wait, they do not hold the streams up.
  fleet.Paces["model"].LongRoom = 10;
  EXPECT_LT(gsRankOf(fleet, *gsPlace(fleet, ask, Now, random).Row), 5U);
}
