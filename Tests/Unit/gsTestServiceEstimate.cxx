/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Predicted service and the capacity of a service's engines. */
#include <gtest/gtest.h>

#include "gsFleetCases.h"
#include "gsServiceEstimate.h"

namespace {

constexpr gsTime Now = gsSeconds(100);

/** Four engines in two halls; a prompt token takes 0.02 ms. */
gsFleet MakeFleet()
{
  gsFleet fleet;
  fleet.Settings.Hall = "north";
  for (int i = 0; i < 4; ++i) {
    gsListedUpstream listed;
    listed.Id = "e" + std::to_string(i);
    listed.Service = "model";
    listed.Hall = i < 2 ? "north" : "south";
    listed.Slots = 10;
    gsFleetUpsert(fleet, listed, Now);
  }
  fleet.EngineTimings["model"].TokenMillis = 0.02;
  return fleet;
}

gsPlacementRequest MakeRequest()
{
  gsPlacementRequest request;
  request.Service = "model";
  request.PromptTokens = 5000;
  request.MaxIntervalMillis = 200;
  return request;
}

} // namespace

// Guards against estimates that grow with the time for which requests queue.
TEST(ServiceEstimate, FirstEventIsThePendingPromptsAndTheOwnOne)
{
  gsFleet fleet = MakeFleet();
  gsFleetRow& row = *gsFleetFind(fleet, "e0");
  gsServiceEstimate idle =
    gsEstimateService(fleet, row, MakeRequest(), 5000, Now);
  EXPECT_EQ(idle.FirstEvent, gsMilliseconds(100));
  EXPECT_NEAR(idle.EngineMillis, 100, 1e-6);
  EXPECT_NEAR(idle.PauseShare, 0.5, 1e-6);
  row.OwnLoad.PendingPromptTokens = 10000;
  row.OwnLoad.OpenAttempts = 5;
  gsServiceEstimate busy =
    gsEstimateService(fleet, row, MakeRequest(), 5000, Now);
  EXPECT_EQ(busy.FirstEvent, gsMilliseconds(330));
  EXPECT_NEAR(busy.EngineMillis, 100, 1e-6);
}

TEST(ServiceEstimate, RequestsAboveTheSlotsWaitForOne)
{
  gsFleet fleet = MakeFleet();
  gsFleetRow& row = *gsFleetFind(fleet, "e0");
  fleet.Demand["model"].TightHoldMillis = 1000;
  row.OwnLoad.OpenAttempts = 14;
  gsServiceEstimate full =
    gsEstimateService(fleet, row, MakeRequest(), 0, Now);
  EXPECT_EQ(full.FirstEvent, gsMilliseconds(500));
}

TEST(ServiceEstimate, TheEarliestEngineIsFoundAmongTheEligible)
{
  gsFleet fleet = MakeFleet();
  gsRandom random(1);
  for (char const* id : { "e0", "e1", "e2" }) {
    gsFleetFind(fleet, id)->OwnLoad.PendingPromptTokens = 50000;
  }
  gsEngineChoice choice =
    gsFindEarliestEngine(fleet, MakeRequest(), Now, random);
  ASSERT_NE(choice.Row, nullptr);
  EXPECT_EQ(choice.Row->Listed.Id, "e3");
  gsFleetFind(fleet, "e3")->AvoidUntil = Now + gsSeconds(1);
  choice = gsFindEarliestEngine(fleet, MakeRequest(), Now, random);
  ASSERT_NE(choice.Row, nullptr);
  EXPECT_NE(choice.Row->Listed.Id, "e3");
}

// Guards against a hall that is cut off and counts on engines that it does not
// reach, and against engines that are gone.
TEST(ServiceEstimate, CapacityIsThatOfTheEnginesThatAcceptWork)
{
  gsFleet fleet = MakeFleet();
  gsFleetFind(fleet, "e0")->OwnLoad.OpenAttempts = 5;
  gsFleetFind(fleet, "e0")->OwnLoad.PendingPromptTokens = 50000;
  gsMeasureCapacity(fleet, "model", Now);
  gsOverloadCapacity const& capacity = fleet.Overload["model"].Capacity;
  EXPECT_NEAR(capacity.Speed, 4, 1e-9);
  EXPECT_NEAR(capacity.FreeSlotShare, 35.0 / 40, 1e-9);
  EXPECT_NEAR(capacity.BacklogMillis, 1000, 1e-6);
  fleet.HallReachability["south"].IsUnreachable = true;
  gsFleetFind(fleet, "e1")->AvoidUntil = Now + gsSeconds(3);
  gsTime later = Now + gsMilliseconds(100);
  gsMeasureCapacity(fleet, "model", later);
  EXPECT_NEAR(capacity.Speed, 1, 1e-9);
  EXPECT_NEAR(capacity.TotalSpeed, 4, 1e-9);
}
