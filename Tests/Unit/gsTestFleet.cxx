/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Choosing an upstream. */
#include <map>
#include <set>

#include <gtest/gtest.h>

#include "gsFleet.h"

namespace {

constexpr gsTime Now = gsSeconds(100);

gsListedUpstream Listed(std::string const& id, std::string const& hall = "a")
{
  gsListedUpstream upstream;
  upstream.Id = id;
  upstream.Service = "model";
  upstream.Address = "127.0.0.1:1";
  upstream.Hall = hall;
  upstream.Slots = 8;
  return upstream;
}

gsFleet MakeFleet(int upstreams)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  std::vector<gsListedUpstream> listed;
  listed.reserve(static_cast<std::size_t>(upstreams));
  for (int i = 0; i < upstreams; ++i) {
    listed.push_back(Listed("u" + std::to_string(i)));
  }
  gsFleetTake(fleet, listed);
  return fleet;
}

gsPlacementAsk Plain()
{
  gsPlacementAsk ask;
  ask.Service = "model";
  return ask;
}

std::string Chosen(gsFleet& fleet, gsPlacementAsk const& ask)
{
  gsRandom random(1);
  gsPlacement placement = gsPlace(fleet, ask, Now, random);
  return placement.Row == nullptr ? "none" : placement.Row->Listed.Id;
}

} // namespace

TEST(Fleet, WhatIsLearnedStaysWhileTheUpstreamIsListed)
{
  gsFleet fleet = MakeFleet(2);
  gsFleetFind(fleet, "u1")->Own.Running = 3;
  gsFleetTake(fleet, { Listed("u1"), Listed("u2") });
  EXPECT_EQ(gsFleetFind(fleet, "u0"), nullptr);
  EXPECT_EQ(gsFleetFind(fleet, "u1")->Own.Running, 3U);
  EXPECT_EQ(gsFleetFind(fleet, "u2")->Own.Running, 0U);
}

TEST(Fleet, ALeavingUpstreamGetsNothing)
{
  gsFleet fleet = MakeFleet(2);
  gsListedUpstream leaving = Listed("u0");
  leaving.Leaving = true;
  gsFleetTake(fleet, { leaving, Listed("u1") });
  gsFleetFind(fleet, "u1")->Own.Running = 100;
  EXPECT_EQ(Chosen(fleet, Plain()), "u1");
  gsFleetTake(fleet, { leaving });
  EXPECT_EQ(Chosen(fleet, Plain()), "none");
}

TEST(Fleet, AnUpstreamThatWasTriedIsNotTriedAgain)
{
  gsFleet fleet = MakeFleet(2);
  std::vector<std::string> tried{ "u0" };
  gsPlacementAsk ask = Plain();
  ask.Tried = &tried;
  EXPECT_EQ(Chosen(fleet, ask), "u1");
  tried.push_back("u1");
  EXPECT_EQ(Chosen(fleet, ask), "none");
}

TEST(Fleet, OtherHostsWorkCountsUntilItIsOld)
{
  gsFleet fleet = MakeFleet(2);
  gsFleetRow* row = gsFleetFind(fleet, "u0");
  row->Others.ReadTokens = 50000;
  row->OthersAt = Now;
  EXPECT_EQ(Chosen(fleet, Plain()), "u1");
  gsFleetFind(fleet, "u1")->Own.ReadTokens = 1000;
  EXPECT_EQ(Chosen(fleet, Plain()), "u1");
  row->OthersAt = Now - fleet.Settings.OthersMemory - gsMilliseconds(1);
  EXPECT_EQ(Chosen(fleet, Plain()), "u0");
}

TEST(Fleet, AnUnreachableUpstreamIsAvoidedForALittleLongerEachTime)
{
  gsFleet fleet = MakeFleet(1);
  gsFleetRow* row = gsFleetFind(fleet, "u0");
  gsNoteUnreachable(*row, Now);
  gsTime first = row->AvoidUntil - Now;
  EXPECT_EQ(Chosen(fleet, Plain()), "none");
  gsNoteUnreachable(*row, Now);
  EXPECT_GT(row->AvoidUntil - Now, first);
  gsNoteHeard(*row, Now);
  EXPECT_EQ(Chosen(fleet, Plain()), "u0");
}

TEST(Fleet, FailuresThatAllHaveAreNotHeldAgainstOne)
{
  gsFleet fleet = MakeFleet(3);
  for (gsFleetRow& row : fleet.Rows) {
    for (int i = 0; i < 20; ++i) {
      gsNoteOutcome(row, i % 7 == 0, Now);
    }
  }
  gsFleetFind(fleet, "u0")->Own.Running = 0;
  gsFleetFind(fleet, "u1")->Own.Running = 5;
  gsFleetFind(fleet, "u2")->Own.Running = 5;
  EXPECT_EQ(Chosen(fleet, Plain()), "u0");
  for (int i = 0; i < 20; ++i) {
    gsNoteOutcome(*gsFleetFind(fleet, "u0"), true, Now);
  }
  EXPECT_NE(Chosen(fleet, Plain()), "u0");
}

TEST(Fleet, ASubjectStaysWhereItIsCachedUntilTheWaitCostsMore)
{
  gsFleet fleet = MakeFleet(4);
  std::vector<gsPromptPart> parts{ { 1, 500 }, { 2, 5000 }, { 3, 600 } };
  gsPlacementAsk ask = Plain();
  ask.Parts = &parts;
  ask.PromptTokens = 6100;
  std::string home = Chosen(fleet, ask);
  gsNoteParts(fleet, *gsFleetFind(fleet, home), parts, Now);
  gsFleetFind(fleet, home)->Own.ReadTokens = 10000;
  parts[2].Name = 4; // Another request about the same subject.
  EXPECT_EQ(Chosen(fleet, ask), home);
  // To read the shared parts again costs AgainWeight times their tokens, and
  // an engine that holds none of them up to SpreadTokens.
  gsFleetFind(fleet, home)->Own.ReadTokens =
    static_cast<std::uint64_t>(fleet.Settings.AgainWeight * 5500 +
                               fleet.Settings.SpreadTokens) +
    10000;
  EXPECT_NE(Chosen(fleet, ask), home);
}

TEST(Fleet, HostsThatKnowNothingOfEachOtherAgreeOnASubject)
{
  std::vector<gsPromptPart> parts{ { 1, 500 }, { 2, 5000 }, { 3, 600 } };
  gsPlacementAsk ask = Plain();
  ask.Parts = &parts;
  ask.PromptTokens = 6100;
  std::set<std::string> homes;
  for (unsigned seed = 0; seed < 10; ++seed) {
    gsFleet fleet = MakeFleet(8);
    gsRandom random(seed);
    homes.insert(gsPlace(fleet, ask, Now, random).Row->Listed.Id);
  }
  EXPECT_EQ(homes.size(), 1U);
}

TEST(Fleet, LongPromptsAndTightStreamsGetEnginesApart)
{
  gsFleet fleet = MakeFleet(8);
  gsPlacementAsk tight = Plain();
  tight.Tight = true;
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

TEST(Fleet, SlowEnginesAreForLongPrompts)
{
  gsFleet fleet = MakeFleet(6);
  for (gsFleetRow& row : fleet.Rows) {
    bool slow = row.Listed.Id == "u2" || row.Listed.Id == "u4";
    for (int i = 0; i < 400; ++i) {
      double usual = slow ? 26 : 20;
      double millis = i % 3 == 0 ? 5 * usual : usual + i % 2;
      gsNotePause(row, gsFromSeconds(millis / 1e3));
    }
  }
  gsDecideArrangements(fleet, Now);
  gsPlacementAsk ask = Plain();
  ask.PromptTokens = 1000;
  gsNoteDemand(fleet, ask, Now);
  ask.Tight = true;
  gsNoteDemand(fleet, ask, Now);
  gsDecideArrangements(fleet, Now);
  EXPECT_LT(gsFleetFind(fleet, "u2")->Rank, 2U);
  EXPECT_LT(gsFleetFind(fleet, "u4")->Rank, 2U);
}

TEST(Fleet, TheBorderOfTheGroupsMovesOnlyWhenDemandClearlyHas)
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
TEST(Fleet, HostsThatMeasureDifferentlyAgreeByAdoptingOneDecision)
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
    EXPECT_EQ(row.Rank, gsFleetFind(adopts, row.Listed.Id)->Rank);
  }
  // An older word changes nothing.
  gsEngineArrangement old = decided;
  old.Version -= 1;
  old.LongEngines = 1;
  gsAdoptArrangement(adopts, "model", old);
  EXPECT_EQ(gsLongEngines(decides, "model"), gsLongEngines(adopts, "model"));
}

TEST(Fleet, DecisionsAreNotMadeOftenNorBeforeDemandIsKnown)
{
  gsFleet fleet = MakeFleet(10);
  gsPlacementAsk ask = Plain();
  ask.PromptTokens = 1000;
  gsNoteDemand(fleet, ask, Now);
  ask.Tight = true;
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

TEST(Fleet, ASuccessorKeepsWhatItCanNotJudgeYet)
{
  gsFleet fleet = MakeFleet(10);
  fleet.Demand["model"].At = Now;
  gsEngineArrangement decided;
  decided.Version = 7;
  decided.Slow = { fleet.Rows[4].Hash };
  gsAdoptArrangement(fleet, "model", decided);
  gsDecideArrangements(fleet, Now);
  EXPECT_EQ(fleet.Rows[4].Rank, 0U);
  for (gsFleetRow& row : fleet.Rows) {
    row.OthersPace = 20;
  }
  gsDecideArrangements(fleet, Now + gsSeconds(1));
  EXPECT_TRUE(fleet.Arrangements["model"].Slow.empty());
  EXPECT_GT(fleet.Arrangements["model"].Version, 7U);
}

TEST(Fleet, AVeryLongPromptOfATightRouteGoesToTheLongEngines)
{
  gsFleet fleet = MakeFleet(4);
  gsPlacementAsk ask = Plain();
  ask.Tight = true;
  ask.PromptTokens = 1000;
  for (int i = 0; i < 20; ++i) {
    gsNoteDemand(fleet, ask, Now);
  }
  EXPECT_EQ(gsGroupOf(fleet, ask), gsFleetGroup::Tight);
  ask.PromptTokens = 20000;
  EXPECT_EQ(gsGroupOf(fleet, ask), gsFleetGroup::Long);
}

TEST(Fleet, AnEngineWhoseMemoryIsTakenCostsMore)
{
  gsFleet fleet = MakeFleet(2);
  gsPlacementAsk ask = Plain();
  ask.PromptTokens = 6100;
  ask.UpstreamMemory = 100000;
  gsFleetFind(fleet, "u1")->Own.Running = 2;
  gsFleetFind(fleet, "u0")->Own.MemoryTokens = 80000;
  EXPECT_EQ(Chosen(fleet, ask), "u0");
  gsFleetFind(fleet, "u0")->Others.MemoryTokens = 12000;
  gsFleetFind(fleet, "u0")->OthersAt = Now;
  EXPECT_EQ(Chosen(fleet, ask), "u1");
}

TEST(Fleet, HostsShareTheConnectionsThatAnUpstreamAccepts)
{
  EXPECT_EQ(gsConnectionShare(0, 9), 0U);
  EXPECT_EQ(gsConnectionShare(310, 9), 31U);
  EXPECT_EQ(gsConnectionShare(310, 340), 2U);
  EXPECT_EQ(gsConnectionShare(310, 0), 279U);
  gsFleet fleet = MakeFleet(2);
  gsPlacementAsk ask = Plain();
  ask.MostOwn = 3;
  fleet.Rows[0].Own.Running = 3;
  gsRandom random(1);
  for (int i = 0; i < 3; ++i) {
    gsFleetRow* row = gsPlace(fleet, ask, Now, random).Row;
    ASSERT_EQ(row, &fleet.Rows[1]);
    row->Own.Running += 1;
  }
  gsPlacement none = gsPlace(fleet, ask, Now, random);
  EXPECT_EQ(none.Row, nullptr);
  EXPECT_EQ(none.Cause, gsPlacementCause::NoConnection);
}

// A subject's requests queued at its engine while others had free slots; on a
// day of high load, half of the tight requests began beyond their target.
TEST(Fleet, ASubjectLeavesAnEngineWhereItWouldMissItsTarget)
{
  gsFleet fleet = MakeFleet(6);
  std::vector<gsPromptPart> parts{ { 1, 50 }, { 2, 148 }, { 3, 430 } };
  gsPlacementAsk ask = Plain();
  ask.Parts = &parts;
  ask.PromptTokens = 628;
  ask.TokenMillis = 0.015;
  ask.TargetTokens = 250 / ask.TokenMillis;
  gsRandom random(1);
  gsFleetRow& home = *gsPlace(fleet, ask, Now, random).Row;
  gsNoteParts(fleet, home, parts, Now);
  for (int i = 0; i < 40; ++i) {
    gsNoteHold(fleet, home, gsMilliseconds(1200));
  }
  home.Own.Running = home.Listed.Slots - 1;
  EXPECT_EQ(gsPlace(fleet, ask, Now, random).Row, &home);
  home.Others.Running = 4;
  home.OthersAt = Now;
  gsFleetRow* next = gsPlace(fleet, ask, Now, random).Row;
  EXPECT_NE(next, &home);
  // All are as full: it stays where its parts are.
  for (gsFleetRow& row : fleet.Rows) {
    row.Own.Running = row.Listed.Slots + 3;
  }
  home.Others.Running = 0;
  EXPECT_EQ(gsPlace(fleet, ask, Now, random).Row, &home);
}

// An engine held work of hosts that had lost power, turned away all that its
// subjects' hosts sent there, and was sent the next.
TEST(Fleet, AnEngineThatTurnsWorkAwayCountsAsFullForAWhile)
{
  gsFleet fleet = MakeFleet(6);
  std::vector<gsPromptPart> parts{ { 1, 50 }, { 2, 148 }, { 3, 430 } };
  gsPlacementAsk ask = Plain();
  ask.Parts = &parts;
  ask.PromptTokens = 628;
  ask.TokenMillis = 0.015;
  ask.TargetTokens = 250 / ask.TokenMillis;
  gsRandom random(1);
  gsFleetRow& home = *gsPlace(fleet, ask, Now, random).Row;
  gsNoteHold(fleet, home, gsMilliseconds(4000));
  gsNoteTurnedAway(home, Now);
  EXPECT_NE(gsPlace(fleet, ask, Now, random).Row, &home);
  // Other hosts are told so too.
  EXPECT_EQ(gsOwnWork(home, Now).Running, home.Listed.Slots);
  gsTime later = Now + gsSeconds(1);
  EXPECT_EQ(gsOwnWork(home, later).Running, 0U);
  EXPECT_EQ(gsPlace(fleet, ask, later, random).Row, &home);
}

// The host that decides may itself not have been asked for a service.
TEST(Fleet, AServiceThatOnlyOtherHostsWereAskedForIsDividedToo)
{
  gsFleet fleet = MakeFleet(8);
  gsNoteOthersDemand(fleet, "model", {}, Now);
  EXPECT_EQ(fleet.Demand.count("model"), 0U);
  gsNoteOthersDemand(fleet, "model", { 50000, 50000 }, Now);
  gsDecideArrangements(fleet, Now + gsSeconds(1));
  EXPECT_EQ(gsLongEngines(fleet, "model"), 4U);
  // What a long prompt is stays open until a tight one was seen.
  gsPlacementAsk ask = Plain();
  ask.Tight = true;
  ask.PromptTokens = 800;
  EXPECT_EQ(gsGroupOf(fleet, ask), gsFleetGroup::Tight);
}

// Within 0.2 s, 21 hosts sent what left its engine to the one engine that all
// of them saw half empty, and it turned the next ones away.
TEST(Fleet, WhatLeavesItsEngineGoesToDifferentOnes)
{
  gsFleet fleet = MakeFleet(20);
  gsPlacementAsk ask = Plain();
  ask.PromptTokens = 628;
  ask.TokenMillis = 0.015;
  ask.TargetTokens = 250 / ask.TokenMillis;
  gsRandom random(1);
  for (gsFleetRow& row : fleet.Rows) {
    gsNoteHold(fleet, row, gsMilliseconds(1200));
    row.Others.Running = 5;
    row.OthersAt = Now;
  }
  fleet.Rows[7].Others.Running = 0; // As it was, for all hosts.
  std::map<std::string, int> chosen;
  std::map<std::uint64_t, std::set<std::string>> homes;
  for (std::uint64_t i = 0; i < 60; ++i) {
    std::uint64_t subject = 100 + i % 30;
    std::vector<gsPromptPart> parts{ { 1, 50 }, { subject, 148 }, { i, 430 } };
    ask.Parts = &parts;
    gsFleetRow& home = *gsPlace(fleet, ask, Now, random).Row;
    gsTime full = home.FullUntil;
    gsNoteTurnedAway(home, Now);
    std::string next = gsPlace(fleet, ask, Now, random).Row->Listed.Id;
    home.FullUntil = full;
    ++chosen[next];
    homes[subject].insert(next);
  }
  for (auto const& [id, times] : chosen) {
    EXPECT_LE(times, 12) << id;
  }
  // One subject goes to the same one each time: its parts are read there.
  for (auto const& [subject, ids] : homes) {
    EXPECT_EQ(ids.size(), 1U) << subject;
  }
}

// Until the first division was made, long prompts held up tight streams: it
// came 3.4 s late with 112 engines, as the attempt before demand was known
// counted as a decision.
TEST(Fleet, EnginesAreDividedAsSoonAsDemandIsKnown)
{
  gsFleet fleet = MakeFleet(112);
  gsPlacementAsk ask = Plain();
  ask.PromptTokens = 1000;
  gsNoteDemand(fleet, ask, Now);
  ask.Tight = true;
  gsNoteDemand(fleet, ask, Now);
  gsDecideArrangements(fleet, Now + gsMilliseconds(50));
  EXPECT_EQ(gsLongEngines(fleet, "model"), 0U);
  gsDecideArrangements(fleet, Now + fleet.Settings.DemandPatience);
  EXPECT_EQ(gsLongEngines(fleet, "model"), 56U);
}

// A burst of tight streams found the engines as the burst of long prompts
// before it had left them.
TEST(Fleet, TheBorderFollowsABurstWithinTwoSeconds)
{
  gsFleet fleet = MakeFleet(100);
  gsPlacementAsk reading = Plain();
  reading.PromptTokens = 8000;
  gsPlacementAsk tight = Plain();
  tight.PromptTokens = 2000;
  tight.Tight = true;
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
TEST(Fleet, AnswersWeighMoreWhereFewRunTogether)
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
    telling.Tight = true;
    gsNoteDemand(fleet, telling, Now);
    gsDecideArrangements(fleet, Now + gsSeconds(1));
    return gsLongEngines(fleet, "model");
  };
  // 240 tokens a step: 800 + 400 * 240 / 12 and 800 + 400 * 240 / 60.
  EXPECT_EQ(longEngines(12), 31U);
  EXPECT_EQ(longEngines(60), 63U);
}

// Subjects that left their engine went to whichever held what all prompts
// begin with, not to the next in their own order.
TEST(Fleet, WhatAllSubjectsShareMakesNoEngineTheNextInOrder)
{
  gsFleet fleet = MakeFleet(20);
  std::vector<gsPromptPart> parts{ { 1, 10 }, { 2, 5000 }, { 3, 600 } };
  gsPlacementAsk ask = Plain();
  ask.Parts = &parts;
  ask.PromptTokens = 5610;
  std::string home = Chosen(fleet, ask);
  gsFleetFind(fleet, home)->Own.ReadTokens = 10'000'000;
  std::string next = Chosen(fleet, ask);
  ASSERT_NE(next, home);
  std::vector<gsPromptPart> others{ { 1, 10 }, { 7, 4000 } };
  for (gsFleetRow& row : fleet.Rows) {
    if (row.Listed.Id != next) {
      gsNoteParts(fleet, row, others, Now);
    }
  }
  EXPECT_EQ(Chosen(fleet, ask), next);
}

namespace {

/** A fleet, and a request of a subject whose engines hand parts over. */
struct HandOver
{
  explicit HandOver(int upstreams)
    : Fleet(MakeFleet(upstreams))
  {
    this->Ask.Parts = &this->Parts;
    this->Ask.PromptTokens = 6100;
    this->Ask.MayMove = true;
  }

  gsPlacement Place()
  {
    gsRandom random(1);
    return gsPlace(this->Fleet, this->Ask, Now, random);
  }

  std::vector<gsPromptPart> Parts{ { 1, 500 }, { 2, 5000 }, { 3, 600 } };
  gsFleet Fleet;
  gsPlacementAsk Ask = Plain();
};

} // namespace

// Each subject that changed its engine was read again there.
TEST(Fleet, WhatLeavesItsEngineTakesItsPartsFromThere)
{
  HandOver one(6);
  gsFleetRow* home = one.Place().Row;
  home->Own.ReadTokens = 10'000'000;
  gsPlacement placed = one.Place();
  ASSERT_NE(placed.Row, home);
  EXPECT_EQ(placed.Holder, home);
  EXPECT_EQ(placed.ReadTokens, 600U);
  gsNoteParts(one.Fleet, *placed.Row, one.Parts, Now);
  EXPECT_EQ(one.Place().Row, placed.Row);
  EXPECT_EQ(one.Place().Holder, nullptr);
}

TEST(Fleet, AHomeThatIsNotKnownToHoldASubjectTakesItFromTheNextInOrder)
{
  HandOver one(6);
  gsFleetRow* home = one.Place().Row;
  home->Own.ReadTokens = 10'000'000;
  gsFleetRow const* next = one.Place().Row;
  home->Own.ReadTokens = 0;
  EXPECT_EQ(one.Place().Row, home);
  EXPECT_EQ(one.Place().Holder, next);
}

TEST(Fleet, AfterAChangeOfTheDivisionPartsComeFromTheEngineBefore)
{
  HandOver one(20);
  gsEngineArrangement arrangement;
  arrangement.Version = 1;
  arrangement.LongEngines = 12;
  gsAdoptArrangement(one.Fleet, "model", arrangement);
  int changed = 0;
  for (std::uint64_t subject = 100; subject < 150; ++subject) {
    one.Parts[1].Name = subject;
    arrangement.Version += 1;
    arrangement.LongEngines = 12;
    gsAdoptArrangement(one.Fleet, "model", arrangement);
    gsFleetRow const* before = one.Place().Row;
    arrangement.Version += 1;
    arrangement.LongEngines = 6;
    gsAdoptArrangement(one.Fleet, "model", arrangement);
    gsPlacement placed = one.Place();
    if (placed.Row != before) {
      ++changed;
      EXPECT_EQ(placed.Holder, before);
    }
  }
  EXPECT_GE(changed, 10);
}

TEST(Fleet, PartsAreTakenOnlyWhereEnginesHandThemOverAndItPays)
{
  HandOver one(6);
  gsFleetRow* home = one.Place().Row;
  home->Own.ReadTokens = 10'000'000;
  gsNoteUnreachable(*home, Now);
  gsFleetRow const* holder = one.Place().Holder;
  EXPECT_NE(holder, home);
  gsNoteHeard(*home, Now);
  one.Ask.MayMove = false;
  EXPECT_EQ(one.Place().Holder, nullptr);
  one.Ask.MayMove = true;
  one.Parts = { { 1, 20 }, { 2, 30 }, { 3, 6050 } };
  EXPECT_EQ(one.Place().Holder, nullptr);
}
