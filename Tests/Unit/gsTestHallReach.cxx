/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Whether other halls can be reached. */
#include <gtest/gtest.h>

#include "gsFleetCases.h"
#include "gsHallReach.h"

using namespace gsFleetCases;

namespace {

/** Two engines in the own hall, which are busy, and four in the other. */
gsFleet TwoHalls()
{
  gsFleet fleet;
  fleet.Settings.Hall = "own";
  gsFleetTake(fleet, { Listed("o1", "own"), Listed("o2", "own"),
                       Listed("f1", "far"), Listed("f2", "far"),
                       Listed("f3", "far"), Listed("f4", "far") });
  gsFleetFind(fleet, "o1")->Own.Running = 100;
  gsFleetFind(fleet, "o2")->Own.Running = 100;
  return fleet;
}

std::string HallChosen(gsFleet& fleet, gsTime now)
{
  gsPlacementAsk ask;
  ask.Service = "model";
  gsRandom random(1);
  gsPlacement placement = gsPlace(fleet, ask, now, random);
  return placement.Row == nullptr ? "none" : placement.Row->Listed.Hall;
}

} // namespace

// 762 requests of one cut hall each waited for a connection that could not
// come, as each host found out for each engine anew.
TEST(HallReach, FailuresOfTwoUpstreamsStandForTheirHall)
{
  gsFleet fleet = TwoHalls();
  EXPECT_FALSE(gsNoteNoConnection(fleet, *gsFleetFind(fleet, "f1"), Now));
  EXPECT_EQ(HallChosen(fleet, Now), "far");
  EXPECT_TRUE(gsNoteNoConnection(fleet, *gsFleetFind(fleet, "f2"), Now));
  EXPECT_EQ(HallChosen(fleet, Now), "own");
}

// In a hall that is cut off a request waited 0.3 s for each other hall in
// turn.
TEST(HallReach, ARequestThatFoundAnotherHallCutStaysInItsOwn)
{
  gsFleet fleet = TwoHalls();
  gsPlacementAsk ask;
  ask.Service = "model";
  ask.OwnHallOnly = true;
  gsRandom random(1);
  gsFleetRow const* row = gsPlace(fleet, ask, Now, random).Row;
  ASSERT_NE(row, nullptr);
  EXPECT_EQ(row->Listed.Hall, "own");
}

TEST(HallReach, OneRequestAtATimeTriesTheHallAgain)
{
  gsFleet fleet = TwoHalls();
  gsNoteNoConnection(fleet, *gsFleetFind(fleet, "f1"), Now);
  gsNoteNoConnection(fleet, *gsFleetFind(fleet, "f2"), Now);
  gsTime later = Now + fleet.Settings.HallReach.RetryFirst;
  EXPECT_EQ(HallChosen(fleet, later), "far");
  EXPECT_EQ(HallChosen(fleet, later), "own");
  gsNoteHeard(fleet, *gsFleetFind(fleet, "f3"), later);
  EXPECT_EQ(HallChosen(fleet, later), "far");
  EXPECT_EQ(HallChosen(fleet, later), "far");
}

TEST(HallReach, AHallOfWhichSomeAreHeardIsNotCutOff)
{
  gsFleet fleet = TwoHalls();
  gsNoteNoConnection(fleet, *gsFleetFind(fleet, "f1"), Now);
  gsNoteHeard(fleet, *gsFleetFind(fleet, "f3"), Now + gsMilliseconds(1));
  gsTime later = Now + gsMilliseconds(2);
  EXPECT_FALSE(gsNoteNoConnection(fleet, *gsFleetFind(fleet, "f2"), later));
  EXPECT_EQ(HallChosen(fleet, later), "far");
}

TEST(HallReach, TheOwnHallIsNeverGivenUp)
{
  gsFleet fleet = TwoHalls();
  gsNoteNoConnection(fleet, *gsFleetFind(fleet, "o1"), Now);
  gsNoteNoConnection(fleet, *gsFleetFind(fleet, "o2"), Now);
  EXPECT_FALSE(gsHallIsCutOff(fleet.Halls, "own"));
}

TEST(HallReach, AHostThatWasToldDoesNotTryForItself)
{
  gsFleet fleet = TwoHalls();
  gsHallNoteTold(fleet.Halls, { "far" });
  EXPECT_EQ(HallChosen(fleet, Now), "own");
  EXPECT_EQ(HallChosen(fleet, Now + gsSeconds(10)), "own");
  gsHallNoteTold(fleet.Halls, {});
  EXPECT_EQ(HallChosen(fleet, Now), "far");
}

TEST(HallReach, NothingIsTakenOverFromAnEngineOfAHallThatIsCutOff)
{
  gsFleet fleet = TwoHalls();
  std::vector<gsPromptPart> parts{ { 1, 500 }, { 2, 5000 }, { 3, 600 } };
  gsNoteParts(fleet, *gsFleetFind(fleet, "f1"), parts, Now);
  gsPlacementAsk ask;
  ask.Service = "model";
  ask.Parts = &parts;
  ask.PromptTokens = 6100;
  ask.MayMove = true;
  gsHallNoteTold(fleet.Halls, { "far" });
  gsRandom random(1);
  gsPlacement placement = gsPlace(fleet, ask, Now, random);
  ASSERT_NE(placement.Row, nullptr);
  EXPECT_EQ(placement.Row->Listed.Hall, "own");
  EXPECT_TRUE(placement.Holder == nullptr ||
              placement.Holder->Listed.Hall == "own");
}

TEST(HallReach, FailuresFarApartDoNotAddUp)
{
  gsHallReaches halls;
  gsHallReachSettings settings;
  gsHallNoteFailure(halls, settings, "far", "f1", Now);
  gsTime later = Now + settings.Window + gsMilliseconds(1);
  EXPECT_FALSE(gsHallNoteFailure(halls, settings, "far", "f2", later));
  EXPECT_TRUE(gsHallNoteFailure(halls, settings, "far", "f3", later));
}

// A host without requests would never try again, and would keep all others of
// its hall from the one that is back.
TEST(HallReach, AHallThatNobodyTriesIsNotGivenUpForGood)
{
  gsFleet fleet = TwoHalls();
  gsNoteNoConnection(fleet, *gsFleetFind(fleet, "f1"), Now);
  gsNoteNoConnection(fleet, *gsFleetFind(fleet, "f2"), Now);
  gsTime belief = fleet.Settings.HallReach.Belief;
  gsRefreshHalls(fleet, Now + belief);
  EXPECT_TRUE(gsHallIsCutOff(fleet.Halls, "far"));
  gsRefreshHalls(fleet, Now + belief + gsMilliseconds(1));
  EXPECT_FALSE(gsHallIsCutOff(fleet.Halls, "far"));
}

TEST(HallReach, AHallThatIsTriedInVainStaysGivenUp)
{
  gsFleet fleet = TwoHalls();
  gsNoteNoConnection(fleet, *gsFleetFind(fleet, "f1"), Now);
  gsNoteNoConnection(fleet, *gsFleetFind(fleet, "f2"), Now);
  gsTime now = Now;
  for (int i = 0; i < 10; ++i) {
    now += gsSeconds(2);
    gsNoteNoConnection(fleet, *gsFleetFind(fleet, "f3"), now);
    gsRefreshHalls(fleet, now);
    EXPECT_TRUE(gsHallIsCutOff(fleet.Halls, "far"));
  }
}
