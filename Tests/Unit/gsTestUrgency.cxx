/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the order of requests by urgency: of the load that hosts report by
 * urgency, and of placement on engines that admit waiting requests by urgency.
 */
#include <gtest/gtest.h>

#include "gsArrangement.h"
#include "gsFleetCases.h"
#include "gsPlacementCost.h"
#include "gsUrgencySimulation.h"
#include "gsWorkAhead.h"

using namespace gsFleetCases;

namespace {

/** Adds attempts of other hosts to an upstream. */
void AddOthers(gsFleetRow& row, gsUrgencyLoad const& load)
{
  row.OthersLoad.OpenAttempts += load.OpenAttempts;
  row.OthersLoad.PendingPromptTokens += load.PendingPromptTokens;
  row.OthersLoad.MemoryTokens += load.MemoryTokens;
  row.OthersReportedAt = Now;
  gsAddUrgencyLoad(row.OthersByUrgency, load);
}

constexpr std::size_t Top = 0; ///< The most urgent kind.

} // namespace

TEST(Urgency, LoadOfAttemptsIsTrackedByPriority)
{
  gsFleet fleet = MakeFleet(1);
  gsFleetRow& row = fleet.Rows[0];
  gsAttemptLoad urgent{ 0, 100, 150 };
  gsAttemptLoad other{ 2, 4000, 5000 };
  gsAddAttempt(fleet, row, urgent);
  gsAddAttempt(fleet, row, other);
  EXPECT_EQ(row.OwnByUrgency, (gsUrgencyLoads{ { 0, 1, 1, 100, 150 },
                                               { 2, 1, 1, 4000, 5000 } }));
  gsRecordFirstToken(row, other);
  gsRecordFirstToken(row, other);
  EXPECT_EQ(row.OwnByUrgency,
            (gsUrgencyLoads{ { 0, 1, 1, 100, 150 }, { 2, 1, 0, 0, 5000 } }));
  EXPECT_EQ(row.OwnLoad.PendingPromptTokens, 100U);
  gsRemoveAttempt(row, urgent);
  gsRemoveAttempt(row, other);
  EXPECT_TRUE(row.OwnByUrgency.empty());
  EXPECT_EQ(row.OwnLoad.OpenAttempts, 0U);
  EXPECT_EQ(row.OwnLoad.MemoryTokens, 0U);
}

TEST(Urgency, WorkAheadExcludesWaitingRequestsThatAreLessUrgent)
{
  gsFleet fleet = MakeFleet(1);
  gsFleetRow& row = fleet.Rows[0];
  AddOthers(row, { 0, 10, 4, 4000, 9000 });
  AddOthers(row, { 2, 30, 20, 80000, 120000 });
  gsWorkAhead last = gsWorkAheadOf(fleet, row, 2, Now);
  EXPECT_EQ(last.Requests, 40);
  EXPECT_EQ(last.PromptTokens, 84000);
  EXPECT_EQ(last.MemoryTokens, 129000);
  // Of the less urgent ones, 10 run and one prompt may be in process.
  gsWorkAhead middle = gsWorkAheadOf(fleet, row, 1, Now);
  EXPECT_EQ(middle.Requests, 10 + 10 + 1);
  EXPECT_EQ(middle.PromptTokens, 4000 + 80000 / 20);
  EXPECT_EQ(middle.MemoryTokens, 9000 + 120000 * 11 / 30);
}

// Hosts of an earlier release report no urgency.
TEST(Urgency, LoadOfUnknownUrgencyIsAhead)
{
  gsFleet fleet = MakeFleet(1);
  gsFleetRow& row = fleet.Rows[0];
  AddOthers(row, { 2, 5, 0, 0, 5000 });
  row.OthersLoad = { 30, 60000, 90000 };
  gsWorkAhead ahead = gsWorkAheadOf(fleet, row, 0, Now);
  EXPECT_EQ(ahead.Requests, 30);
  EXPECT_EQ(ahead.PromptTokens, 60000);
  EXPECT_EQ(ahead.MemoryTokens, 90000);
}

// Guards against a request that queues behind more urgent ones, because an
// engine full of less urgent ones looks worse.
TEST(Urgency, MiddleKindAvoidsEngineFullOfMoreUrgentRequests)
{
  constexpr std::uint32_t slots = 64;
  constexpr int engines = 9;
  gsFleet fleet = MakeFleet(engines);
  for (gsFleetRow& row : fleet.Rows) {
    row.Listed.Slots = slots;
    gsRecordSlotHold(fleet, row, gsSeconds(2));
    AddOthers(row, { 2, 40, 25, 165000, 270000 });
  }
  gsFleetRow& full = fleet.Rows[4];
  full.OthersLoad = {};
  full.OthersByUrgency.clear();
  AddOthers(full, { 0, 100, 36, 22000, 90000 });
  constexpr std::uint64_t requests = 200;
  std::uint64_t placedAtFull = 0;
  for (std::uint64_t i = 0; i < requests; ++i) {
    std::vector<gsPromptPart> parts{ { 1 + i % 20, 900 }, { 1000 + i, 900 } };
    gsPlacementRequest ask;
    ask.Service = "model";
    ask.Group = gsFleetGroup::Tight;
    ask.Parts = &parts;
    ask.PromptTokens = 1800;
    ask.AnswerTokens = 20;
    ask.MillisPerToken = 0.015;
    ask.TargetTokens = 400 / ask.MillisPerToken;
    ask.Hosts = 8;
    ask.Priority = 1;
    ask.MoreUrgentKinds = 1;
    gsRandom random(i);
    gsPlacement placement = gsPlaceRequest(fleet, ask, Now, random);
    placedAtFull += placement.Row == &full ? 1 : 0;
  }
  EXPECT_EQ(placedAtFull, 0U);
}

namespace {

using gsUrgencySimulation::Outcome;
using gsUrgencySimulation::Phase;

/**
 * Demand that the least urgent kind raises to a multiple of the slots,
 * followed by three times the demand of the middle kind. The urgent kinds
 * alone need at most 0.4 of the slots.
 */
gsUrgencySimulation::Settings Pressed(double load)
{
  constexpr double top = 0.25;
  constexpr double middle = 0.05;
  gsUrgencySimulation::Settings settings;
  settings.Phases = {
    Phase{ 3, { top, middle, 0.2 } },
    Phase{ 3, { top, middle, load - top - middle } },
    Phase{ 8, { top, 3 * middle, load - top - 3 * middle } },
  };
  return settings;
}

constexpr std::uint64_t SeedCount = 100;
constexpr double MaxStarvedShare = 1.0 / 12;

} // namespace

class UrgencyAtLoad : public testing::TestWithParam<double>
{};

// Guards against urgent requests that get nothing while less urgent and larger
// ones begin: with hosts that know the load of the others late, and engines
// whose slots are held for seconds by the least urgent kind.
TEST_P(UrgencyAtLoad, NoUrgentKindIsStarvedWhileLessUrgentRequestsBegin)
{
  gsUrgencySimulation::Settings settings = Pressed(GetParam());
  for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
    Outcome outcome = gsUrgencySimulation::Run(settings, seed);
    EXPECT_LE(gsUrgencySimulation::WorstStarvedShare(outcome), MaxStarvedShare)
      << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Loads, UrgencyAtLoad, testing::Values(0.8, 1.2, 2.0));

// Guards against overload that reaches the most urgent kind although less
// urgent ones could give way.
TEST(Urgency, MostUrgentKindIsServedUnderOverloadAsWithoutIt)
{
  constexpr std::size_t from = 6;
  constexpr std::size_t to = 12;
  constexpr double tolerance = 0.05;
  auto meanServed = [](double load) {
    gsUrgencySimulation::Settings settings = Pressed(load);
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
      Outcome outcome = gsUrgencySimulation::Run(settings, seed);
      sum += gsUrgencySimulation::ServedShare(outcome, Top, from, to);
    }
    return sum / SeedCount;
  };
  double served = meanServed(0.8);
  EXPECT_GE(meanServed(1.2), served - tolerance);
  EXPECT_GE(meanServed(2.0), served - tolerance);
}

namespace {

/** A request of the least urgent of three kinds with a long prompt. */
gsPlacementRequest MakeLeastUrgentRequest()
{
  gsPlacementRequest ask;
  ask.Service = "model";
  ask.Group = gsFleetGroup::Long;
  ask.PromptTokens = 6000;
  ask.Priority = 2;
  ask.MoreUrgentKinds = 2;
  ask.MoreUrgentTargetMillis = 250;
  return ask;
}

/** Whether the second of two engines would take a request. */
bool HasPlace(gsFleet const& fleet, gsPlacementRequest const& ask)
{
  return gsPlacementDetail::HasQueuePlace(fleet, fleet.Rows[1], ask, Now);
}

} // namespace

// Guards against a least urgent kind that takes all slots, so that urgent
// requests wait until its own end, and against slots that are kept for nobody.
TEST(Urgency, SlotsAreKeptInProportionToRecentUrgentDemand)
{
  gsFleet fleet = MakeFleet(2); // Eight slots each.
  gsPlacementRequest ask = MakeLeastUrgentRequest();
  gsRecordRunTime(fleet, fleet.Rows[1], ask.Priority, gsSeconds(8));
  AddOthers(fleet.Rows[1], { 2, 5, 0, 0, 0 });
  EXPECT_TRUE(HasPlace(fleet, ask));
  // Two slots of each engine were used lately, so four are kept.
  gsSetOpenAttempts(fleet, "model", { { 0, 4 } }, Now);
  EXPECT_FALSE(HasPlace(fleet, ask));
  // A kind whose requests end at once gives its slots back in time.
  gsRecordRunTime(fleet, fleet.Rows[1], 1, gsMilliseconds(100));
  gsPlacementRequest middle = ask;
  middle.Priority = 1;
  EXPECT_TRUE(HasPlace(fleet, middle));
  gsSetOpenAttempts(fleet, "model", {}, Now + gsSeconds(20));
  EXPECT_TRUE(HasPlace(fleet, ask));
}

// Guards against a less urgent kind that leaves the engines for long prompts,
// where slots are kept for urgent requests, and delays their streams instead.
TEST(Urgency, LessUrgentLongPromptsAreNotSentAmongStreams)
{
  gsFleet fleet = MakeFleet(2);
  gsEngineArrangement arrangement;
  arrangement.Version = 1;
  arrangement.LongEngines = 1;
  gsAdoptArrangement(fleet, "model", arrangement);
  gsPlacementRequest ask = MakeLeastUrgentRequest();
  gsRecordRunTime(fleet, fleet.Rows[0], ask.Priority, gsSeconds(8));
  gsSetOpenAttempts(fleet, "model", { { 0, 4 } }, Now);
  std::size_t longRow = gsIsLongEngine(fleet, fleet.Rows[0]) ? 0 : 1;
  AddOthers(fleet.Rows[longRow], { 2, 5, 0, 0, 0 });
  constexpr std::uint64_t requests = 100;
  std::uint64_t placed = 0;
  for (std::uint64_t i = 0; i < requests; ++i) {
    gsRandom random(i);
    gsPlacement placement = gsPlaceRequest(fleet, ask, Now, random);
    bool isStreamEngine = placement.Row == &fleet.Rows[1 - longRow];
    EXPECT_FALSE(isStreamEngine);
    placed += placement.Row != nullptr ? 1 : 0;
  }
  // A few pass, so that the kind is not starved.
  EXPECT_LE(placed, requests / 10);
}
