/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of placement by many hosts on nearly full engines, with delayed load
 * data.
 *
 * Guards against herding: hosts with the same load data all choose the
 * emptiest engine. In a burst with all engines above their slots, full engines
 * rejected 162 requests of the most urgent kind in 4 s, while other engines
 * accepted less urgent requests of more than twice the size. Requests of the
 * most urgent kind may be sent to one engine only, so each of these failed.
 * One engine had dropped to 8 requests while others had 20 or more. Within
 * 160 ms it received 45 requests of both kinds, each from a host whose load
 * data showed 11 requests there, and its queue overflowed. The load data was
 * not older than usual, but no host considered that all others choose by the
 * same data. The tests use hosts that all have the same load data.
 */
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsArrangement.h"
#include "gsFleetCases.h"

using namespace gsFleetCases;

namespace {

constexpr std::size_t Engines = 112;
constexpr std::size_t Hosts = 87;
constexpr std::uint32_t Slots = 12;
constexpr std::uint32_t Queue =
  25; ///< Queue length of an engine in addition to its slots.
constexpr double TokenMillis = 0.02;
constexpr gsTime Hold = gsMilliseconds(2500);

/** A fleet of equally loaded engines, as known to all hosts. */
gsFleet CrowdedFleet(std::uint32_t running)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  std::vector<gsListedUpstream> listed;
  listed.reserve(Engines);
  for (std::size_t i = 0; i < Engines; ++i) {
    listed.push_back(MakeListed("u" + std::to_string(i)));
    listed.back().Slots = Slots;
  }
  gsFleetReplaceListing(fleet, listed);
  for (gsFleetRow& row : fleet.Rows) {
    row.OthersLoad.OpenAttempts = running;
    row.OthersReportedAt = Now;
    gsRecordSlotHold(fleet, row, Hold);
  }
  return fleet;
}

/** A tight request with a short prompt and a target of 600 ms. */
gsPlacementRequest MakeShortRequest(std::vector<gsPromptPart> const& parts)
{
  gsPlacementRequest ask;
  ask.Service = "model";
  ask.Group = gsFleetGroup::Tight;
  ask.Parts = &parts;
  ask.PromptTokens = 826;
  ask.AnswerTokens = 290;
  ask.MillisPerToken = TokenMillis;
  ask.TargetTokens = 600 / TokenMillis;
  ask.Hosts = Hosts;
  return ask;
}

/** Prompt parts: common to all requests, of a subject, and of one request. */
std::vector<gsPromptPart> PartsOf(std::uint64_t subject, std::uint64_t request)
{
  return { { 1, 119 }, { 100 + subject, 79 }, { 10'000 + request, 628 } };
}

} // namespace

TEST(Crowding, DoesNotOverfillEmptiestEngineWhenHostsShareLoadData)
{
  constexpr std::uint32_t emptiest = 8;
  for (std::uint64_t requestsEach : { 1, 2 }) {
    std::map<std::string, std::uint32_t> sent;
    for (std::uint64_t host = 0; host < Hosts; ++host) {
      gsFleet fleet = CrowdedFleet(20);
      fleet.Rows[7].OthersLoad.OpenAttempts = emptiest;
      gsRandom random(host);
      for (std::uint64_t i = 0; i < requestsEach; ++i) {
        std::uint64_t number = host * requestsEach + i;
        std::vector<gsPromptPart> parts = PartsOf(number % 161, number);
        gsPlacement placement =
          gsPlaceRequest(fleet, MakeShortRequest(parts), Now, random);
        ASSERT_NE(placement.Row, nullptr);
        ++placement.Row->OwnLoad.OpenAttempts;
        ++sent[placement.Row->Listed.Id];
      }
    }
    EXPECT_LE(emptiest + sent["u7"], Slots + Queue) << requestsEach;
    EXPECT_GT(sent["u7"], 0U);
  }
}

TEST(Crowding, SpreadsSubjectOfManyHostsWhenItsEnginesAreFull)
{
  std::map<std::string, std::uint32_t> sent;
  for (std::uint64_t host = 0; host < Hosts; ++host) {
    gsFleet fleet = CrowdedFleet(30);
    gsRandom random(host);
    std::vector<gsPromptPart> parts = PartsOf(5, host);
    gsPlacement placement =
      gsPlaceRequest(fleet, MakeShortRequest(parts), Now, random);
    ASSERT_NE(placement.Row, nullptr);
    ++sent[placement.Row->Listed.Id];
  }
  for (auto const& [id, count] : sent) {
    EXPECT_LE(30 + count, Slots + Queue + Hosts / 4) << id;
  }
  EXPECT_GE(sent.size(), 8U);
}

TEST(Crowding, ReservesCapacityForMoreUrgentRequests)
{
  gsFleet fleet = CrowdedFleet(2 * Slots);
  std::vector<gsPromptPart> parts = PartsOf(5, 1);
  gsPlacementRequest ask = MakeShortRequest(parts);
  ask.Hosts = 1;
  constexpr std::uint64_t requests = 400;
  auto placed = [&](std::uint32_t moreUrgentKinds) {
    ask.MoreUrgentKinds = moreUrgentKinds;
    std::uint64_t count = 0;
    for (std::uint64_t seed = 0; seed < requests; ++seed) {
      gsRandom random(seed);
      count += gsPlaceRequest(fleet, ask, Now, random).Row != nullptr ? 1 : 0;
    }
    return count;
  };
  EXPECT_EQ(placed(0), requests);
  // A few are placed nevertheless, so that no kind is starved.
  EXPECT_LE(placed(1), requests / 10);
  // A single host needs only one engine with free capacity, at any position.
  fleet.Rows[70].OthersLoad.OpenAttempts = Slots;
  EXPECT_EQ(placed(1), requests);
  // The less urgent the request, the less capacity it may use.
  fleet.Rows[70].OthersLoad.OpenAttempts = Slots + Slots / 2;
  EXPECT_EQ(placed(1), requests);
  EXPECT_LE(placed(2), requests / 10);
}

TEST(Crowding, ConsidersAllEnginesWhenHostsAreFew)
{
  gsFleet fleet = CrowdedFleet(20);
  fleet.Rows[7].OthersLoad.OpenAttempts = 0;
  std::vector<gsPromptPart> parts = PartsOf(5, 1);
  gsPlacementRequest ask = MakeShortRequest(parts);
  ask.Hosts = 1;
  gsRandom random(1);
  gsPlacement placement = gsPlaceRequest(fleet, ask, Now, random);
  EXPECT_EQ(placement.Row, &fleet.Rows[7]);
  EXPECT_EQ(placement.CandidateCount, Engines);
}

// A request that does not fit on any of the first candidates considers all
// engines, on all hosts at the same time. Guards against all of them choosing
// the engine that appears emptiest.
TEST(Crowding, ReservesCapacityForMoreUrgentRequestsWithManyHosts)
{
  constexpr std::uint32_t emptiest = 8;
  std::map<std::string, std::uint32_t> sent;
  for (std::uint64_t host = 0; host < Hosts; ++host) {
    gsFleet fleet = CrowdedFleet(2 * Slots);
    fleet.Rows[7].OthersLoad.OpenAttempts = emptiest;
    gsRandom random(host);
    std::vector<gsPromptPart> parts = PartsOf(host, host);
    gsPlacementRequest ask = MakeShortRequest(parts);
    ask.MoreUrgentKinds = 1;
    gsPlacement placement = gsPlaceRequest(fleet, ask, Now, random);
    if (placement.Row != nullptr) {
      ++sent[placement.Row->Listed.Id];
    }
  }
  EXPECT_LE(emptiest + sent["u7"], Slots + Queue);
  EXPECT_GT(sent["u7"], 0U);
}

// Guards against choosing full engines as long as slot hold times are unknown
// after a start, or for routes without a target.
TEST(Crowding, UsesFreeSlotsWhenEnginesOfSubjectAreFull)
{
  constexpr std::size_t hosts = 340;
  constexpr std::uint32_t running = 8;
  for (bool hasTarget : { true, false }) {
    gsFleet fleet = CrowdedFleet(running);
    fleet.Demand.clear();
    std::vector<gsPromptPart> parts = PartsOf(5, 1);
    gsPlacementRequest ask = MakeShortRequest(parts);
    ask.Hosts = hosts;
    ask.TargetTokens = hasTarget ? ask.TargetTokens : 0;
    // The preferred engines of the subject are filled one after the other.
    constexpr int ownEngines = 4;
    for (int i = 0; i < ownEngines; ++i) {
      gsRandom random(static_cast<std::uint64_t>(i));
      gsPlacement placement = gsPlaceRequest(fleet, ask, Now, random);
      ASSERT_NE(placement.Row, nullptr);
      EXPECT_EQ(placement.Row->OthersLoad.OpenAttempts, running) << hasTarget;
      placement.Row->OthersLoad.OpenAttempts = Slots + Queue;
    }
  }
}

// Guards against choosing a full engine because all examined candidates happen
// to be full.
TEST(Crowding, AvoidsFullEnginesWhileOthersHaveCapacity)
{
  constexpr std::uint64_t requests = 50;
  constexpr std::size_t full = 100;
  std::uint64_t turnedAway = 0;
  for (std::uint64_t i = 0; i < requests; ++i) {
    gsFleet fleet = CrowdedFleet(Slots + Queue);
    for (std::size_t row = full; row < Engines; ++row) {
      fleet.Rows[row].OthersLoad.OpenAttempts = 2 * Slots;
    }
    gsRandom random(i);
    std::vector<gsPromptPart> parts = PartsOf(i, i);
    gsPlacement placement =
      gsPlaceRequest(fleet, MakeShortRequest(parts), Now, random);
    ASSERT_NE(placement.Row, nullptr);
    turnedAway +=
      placement.Row->OthersLoad.OpenAttempts >= Slots + Queue ? 1 : 0;
  }
  EXPECT_EQ(turnedAway, 0U);
}

// Guards against unnecessary traffic between halls by a service without
// prompts.
TEST(Crowding, PrefersIdleUpstreamsOfOwnHall)
{
  constexpr std::uint64_t requests = 50;
  constexpr int upstreams = 12;
  std::uint64_t elsewhere = 0;
  for (std::uint64_t i = 0; i < requests; ++i) {
    gsFleet fleet;
    fleet.Settings.Hall = "a";
    std::vector<gsListedUpstream> listed;
    listed.reserve(upstreams);
    for (int n = 0; n < upstreams; ++n) {
      listed.push_back(
        MakeListed("p" + std::to_string(n), n % 3 == 0 ? "a" : "b"));
    }
    gsFleetReplaceListing(fleet, listed);
    gsRandom random(i);
    gsPlacementRequest ask;
    ask.Service = "model";
    ask.Hosts = Hosts;
    gsPlacement placement = gsPlaceRequest(fleet, ask, Now, random);
    ASSERT_NE(placement.Row, nullptr);
    elsewhere += placement.Row->Listed.Hall == "a" ? 0 : 1;
  }
  EXPECT_EQ(elsewhere, 0U);
}

// Guards against starvation of less urgent kinds by continuous urgent load.
TEST(Crowding, DoesNotStarveLessUrgentKindUnderUrgentLoad)
{
  gsFleet fleet = CrowdedFleet(2 * Slots);
  std::vector<gsPromptPart> parts = PartsOf(5, 1);
  gsPlacementRequest ask = MakeShortRequest(parts);
  ask.MoreUrgentKinds = 1;
  std::uint64_t placed = 0;
  constexpr std::uint64_t requests = 1000;
  for (std::uint64_t i = 0; i < requests; ++i) {
    gsRandom random(i);
    placed += gsPlaceRequest(fleet, ask, Now, random).Row != nullptr ? 1 : 0;
  }
  EXPECT_GT(placed, 0U);
}
