/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Tests of the detection of unreachable halls and of its effect on
 * placement. */
#include <gtest/gtest.h>

#include "gsFleetCases.h"
#include "gsHallReachability.h"

using namespace gsFleetCases;

namespace {

/** Two engines in the own hall, which are fully loaded, and four in another.
 */
gsFleet TwoHalls()
{
  gsFleet fleet;
  fleet.Settings.Hall = "own";
  gsFleetReplaceListing(fleet,
                        { MakeListed("o1", "own"), MakeListed("o2", "own"),
                          MakeListed("f1", "far"), MakeListed("f2", "far"),
                          MakeListed("f3", "far"), MakeListed("f4", "far") });
  gsFleetFind(fleet, "o1")->OwnLoad.OpenAttempts = 100;
  gsFleetFind(fleet, "o2")->OwnLoad.OpenAttempts = 100;
  return fleet;
}

std::string HallChosen(gsFleet& fleet, gsTime now)
{
  gsPlacementRequest ask;
  ask.Service = "model";
  gsRandom random(1);
  gsPlacement placement = gsPlaceRequest(fleet, ask, now, random);
  return placement.Row == nullptr ? "none" : placement.Row->Listed.Hall;
}

} // namespace

// 762 requests of one partitioned hall each waited for a connection attempt to
// fail, as each host detected the failure separately for each engine.
TEST(HallReach, HallIsUnreachableWhenTwoUpstreamsFail)
{
  gsFleet fleet = TwoHalls();
  EXPECT_FALSE(gsRecordConnectFailure(fleet, *gsFleetFind(fleet, "f1"), Now));
  EXPECT_EQ(HallChosen(fleet, Now), "far");
  EXPECT_TRUE(gsRecordConnectFailure(fleet, *gsFleetFind(fleet, "f2"), Now));
  EXPECT_EQ(HallChosen(fleet, Now), "own");
}

// In a partitioned hall, a request waited 0.3 s for each other hall in turn.
TEST(HallReach, RequestStaysInOwnHallWhenOwnHallOnly)
{
  gsFleet fleet = TwoHalls();
  gsPlacementRequest ask;
  ask.Service = "model";
  ask.OwnHallOnly = true;
  gsRandom random(1);
  gsFleetRow const* row = gsPlaceRequest(fleet, ask, Now, random).Row;
  ASSERT_NE(row, nullptr);
  EXPECT_EQ(row->Listed.Hall, "own");
}

TEST(HallReach, OneRequestAtATimeRetriesUnreachableHall)
{
  gsFleet fleet = TwoHalls();
  gsRecordConnectFailure(fleet, *gsFleetFind(fleet, "f1"), Now);
  gsRecordConnectFailure(fleet, *gsFleetFind(fleet, "f2"), Now);
  gsTime later = Now + fleet.Settings.HallReach.InitialRetryDelay;
  EXPECT_EQ(HallChosen(fleet, later), "far");
  EXPECT_EQ(HallChosen(fleet, later), "own");
  gsRecordReceived(fleet, *gsFleetFind(fleet, "f3"), later);
  EXPECT_EQ(HallChosen(fleet, later), "far");
  EXPECT_EQ(HallChosen(fleet, later), "far");
}

TEST(HallReach, HallIsReachableWhenOneUpstreamReplies)
{
  gsFleet fleet = TwoHalls();
  gsRecordConnectFailure(fleet, *gsFleetFind(fleet, "f1"), Now);
  gsRecordReceived(fleet, *gsFleetFind(fleet, "f3"), Now + gsMilliseconds(1));
  gsTime later = Now + gsMilliseconds(2);
  EXPECT_FALSE(
    gsRecordConnectFailure(fleet, *gsFleetFind(fleet, "f2"), later));
  EXPECT_EQ(HallChosen(fleet, later), "far");
}

TEST(HallReach, OwnHallIsNeverUnreachable)
{
  gsFleet fleet = TwoHalls();
  gsRecordConnectFailure(fleet, *gsFleetFind(fleet, "o1"), Now);
  gsRecordConnectFailure(fleet, *gsFleetFind(fleet, "o2"), Now);
  EXPECT_FALSE(gsHallIsUnreachable(fleet.HallReachability, "own"));
}

TEST(HallReach, HostDoesNotRetryWhenHallIsReportedUnreachable)
{
  gsFleet fleet = TwoHalls();
  gsHallSetReportedUnreachable(fleet.HallReachability, { "far" });
  EXPECT_EQ(HallChosen(fleet, Now), "own");
  EXPECT_EQ(HallChosen(fleet, Now + gsSeconds(10)), "own");
  gsHallSetReportedUnreachable(fleet.HallReachability, {});
  EXPECT_EQ(HallChosen(fleet, Now), "far");
}

TEST(HallReach, NoCacheTransferFromUnreachableHall)
{
  gsFleet fleet = TwoHalls();
  std::vector<gsPromptPart> parts{ { 1, 500 }, { 2, 5000 }, { 3, 600 } };
  gsRecordCachedParts(fleet, *gsFleetFind(fleet, "f1"), parts, Now);
  gsPlacementRequest ask;
  ask.Service = "model";
  ask.Parts = &parts;
  ask.PromptTokens = 6100;
  ask.CanTransferParts = true;
  gsHallSetReportedUnreachable(fleet.HallReachability, { "far" });
  gsRandom random(1);
  gsPlacement placement = gsPlaceRequest(fleet, ask, Now, random);
  ASSERT_NE(placement.Row, nullptr);
  EXPECT_EQ(placement.Row->Listed.Hall, "own");
  EXPECT_TRUE(placement.TransferSource == nullptr ||
              placement.TransferSource->Listed.Hall == "own");
}

TEST(HallReach, FailuresOutsideWindowAreNotCombined)
{
  gsHallReachabilityMap halls;
  gsHallReachabilitySettings settings;
  gsHallRecordFailure(halls, settings, "far", "f1", Now);
  gsTime later = Now + settings.FailureWindow + gsMilliseconds(1);
  EXPECT_FALSE(gsHallRecordFailure(halls, settings, "far", "f2", later));
  EXPECT_TRUE(gsHallRecordFailure(halls, settings, "far", "f3", later));
}

// A host without requests would never retry, and its report would keep all
// other hosts of its hall from sending to the hall that is reachable again.
TEST(HallReach, FailuresExpireWithoutRetries)
{
  gsFleet fleet = TwoHalls();
  gsRecordConnectFailure(fleet, *gsFleetFind(fleet, "f1"), Now);
  gsRecordConnectFailure(fleet, *gsFleetFind(fleet, "f2"), Now);
  gsTime lifetime = fleet.Settings.HallReach.FailureLifetime;
  gsRefreshHalls(fleet, Now + lifetime);
  EXPECT_TRUE(gsHallIsUnreachable(fleet.HallReachability, "far"));
  gsRefreshHalls(fleet, Now + lifetime + gsMilliseconds(1));
  EXPECT_FALSE(gsHallIsUnreachable(fleet.HallReachability, "far"));
}

TEST(HallReach, HallStaysUnreachableWhileRetriesFail)
{
  gsFleet fleet = TwoHalls();
  gsRecordConnectFailure(fleet, *gsFleetFind(fleet, "f1"), Now);
  gsRecordConnectFailure(fleet, *gsFleetFind(fleet, "f2"), Now);
  gsTime now = Now;
  for (int i = 0; i < 10; ++i) {
    now += gsSeconds(2);
    gsRecordConnectFailure(fleet, *gsFleetFind(fleet, "f3"), now);
    gsRefreshHalls(fleet, now);
    EXPECT_TRUE(gsHallIsUnreachable(fleet.HallReachability, "far"));
  }
}
