/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Choosing an upstream. */
#include <map>
#include <set>

#include <gtest/gtest.h>

#include "gsArrangement.h"
#include "gsFleetCases.h"

using namespace gsFleetCases;

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
  std::vector<gsIncarnation> tried{ { "u0", 0 } };
  gsPlacementAsk ask = Plain();
  ask.Tried = &tried;
  EXPECT_EQ(Chosen(fleet, ask), "u1");
  tried.push_back({ "u1", 0 });
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
  gsNoteHeard(fleet, *row, Now);
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
  gsNoteTurnedAway(fleet, home, Now);
  EXPECT_NE(gsPlace(fleet, ask, Now, random).Row, &home);
  // Other hosts are told so too.
  EXPECT_EQ(gsOwnWork(home, Now).Running, home.Listed.Slots);
  gsTime later = Now + gsSeconds(1);
  EXPECT_EQ(gsOwnWork(home, later).Running, 0U);
  EXPECT_EQ(gsPlace(fleet, ask, later, random).Row, &home);
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
    gsNoteTurnedAway(fleet, home, Now);
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
  gsNoteHeard(one.Fleet, *home, Now);
  one.Ask.MayMove = false;
  EXPECT_EQ(one.Place().Holder, nullptr);
  one.Ask.MayMove = true;
  one.Parts = { { 1, 20 }, { 2, 30 }, { 3, 6050 } };
  EXPECT_EQ(one.Place().Holder, nullptr);
}

TEST(Fleet, AnEnginesPaceIsItsLeastPauseHoweverOftenItReads)
{
  gsFleet fleet = MakeFleet(2);
  gsFleetRow& row = fleet.Rows[0];
  for (int i = 0; i < 48; ++i) {
    gsNotePause(fleet, row, gsMilliseconds(i % 12 == 5 ? 30 : 150), Now);
  }
  EXPECT_DOUBLE_EQ(gsPaceOf(row), 30);
}

TEST(Fleet, AnEngineThatHasTurnedSlowIsBelievedToBe)
{
  gsFleet fleet = MakeFleet(2);
  gsFleetRow& row = fleet.Rows[0];
  auto stream = [&](int millis, gsTime now) {
    for (int i = 0; i < 24; ++i) {
      gsNotePause(fleet, row, gsMilliseconds(millis), now);
    }
  };
  stream(30, Now);
  stream(120, Now + gsSeconds(1));
  EXPECT_DOUBLE_EQ(gsPaceOf(row), 30); // It may only have been busy.
  stream(120, Now + gsSeconds(6));
  EXPECT_DOUBLE_EQ(gsPaceOf(row), 120);
  // What is not measured again is not believed for ever.
  gsForgetPaces(fleet, Now + gsSeconds(17));
  EXPECT_DOUBLE_EQ(gsPaceOf(row), 0);
}

// Each host has sent few of a subject's requests. It took the home for an
// engine that holds nothing, thought the target missed there, and left it for
// one that it knew to hold the parts that all subjects share: with 87 hosts a
// subject was sent to five engines in the median.
TEST(Fleet, AHomeIsNotLeftForAnEngineThatHoldsOnlyWhatAllSubjectsShare)
{
  for (bool mayMove : { false, true }) {
    HandOver one(40);
    one.Parts = { { 1, 2500 }, { 2, 3800 }, { 3, 2900 } };
    one.Ask.PromptTokens = 9200;
    one.Ask.MayMove = mayMove;
    gsFleetRow const* home = one.Place().Row;
    for (gsFleetRow& row : one.Fleet.Rows) {
      if (&row != home) {
        gsNoteParts(one.Fleet, row, { { 1, 2500 } }, Now);
      }
    }
    one.Ask.TokenMillis = 0.05;
    one.Ask.TargetTokens = 10000;
    EXPECT_EQ(one.Place().Row, home);
    // It is left where the target is missed even if it holds the subject.
    gsFleetFind(one.Fleet, home->Listed.Id)->Own.ReadTokens = 40000;
    EXPECT_NE(one.Place().Row, home);
  }
}
