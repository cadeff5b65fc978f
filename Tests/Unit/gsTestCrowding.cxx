/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Many hosts choose among engines that are nearly full, each by what it last
 * heard of the others.
 *
 * Seen: in a burst, with all engines over their slots, the most urgent kind
 * was turned away by full engines, 162 requests in 4 s, while less urgent ones
 * of over twice its size were taken elsewhere. It may be sent to one engine
 * only, so each of these got nothing. The logs of all hosts showed how: one
 * engine had fallen to 8 requests where the others had 20 and more; within
 * 160 ms 45 requests of both kinds came to it, from hosts of which each
 * believed 11 to be there, and its queue turned away what came next. The
 * views were no older than usual: what each host left out was that all others
 * choose by the same view. Shown by hosts that share one view.
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
constexpr std::uint32_t Queue = 25; ///< Behind the slots of an engine.
constexpr double TokenMillis = 0.02;
constexpr gsTime Hold = gsMilliseconds(2500);

/** The fleet as every host sees it: all engines have queues. */
gsFleet CrowdedFleet(std::uint32_t running)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  std::vector<gsListedUpstream> listed;
  listed.reserve(Engines);
  for (std::size_t i = 0; i < Engines; ++i) {
    listed.push_back(Listed("u" + std::to_string(i)));
    listed.back().Slots = Slots;
  }
  gsFleetTake(fleet, listed);
  for (gsFleetRow& row : fleet.Rows) {
    row.Others.Running = running;
    row.OthersAt = Now;
    gsNoteHold(fleet, row, Hold);
  }
  return fleet;
}

gsPlacementAsk Short(std::vector<gsPromptPart> const& parts)
{
  gsPlacementAsk ask;
  ask.Service = "model";
  ask.Group = gsFleetGroup::Tight;
  ask.Parts = &parts;
  ask.PromptTokens = 826;
  ask.AnswerTokens = 290;
  ask.TokenMillis = TokenMillis;
  ask.TargetTokens = 600 / TokenMillis;
  ask.Hosts = Hosts;
  return ask;
}

std::vector<gsPromptPart> PartsOf(std::uint64_t subject, std::uint64_t own)
{
  return { { 1, 119 }, { 100 + subject, 79 }, { 10'000 + own, 628 } };
}

} // namespace

TEST(Crowding, HostsWithOneViewDoNotFillTheEmptiestEngine)
{
  constexpr std::uint32_t emptiest = 8;
  for (std::uint64_t requestsEach : { 1, 2 }) {
    std::map<std::string, std::uint32_t> sent;
    for (std::uint64_t host = 0; host < Hosts; ++host) {
      gsFleet fleet = CrowdedFleet(20);
      fleet.Rows[7].Others.Running = emptiest;
      gsRandom random(host);
      for (std::uint64_t i = 0; i < requestsEach; ++i) {
        std::uint64_t number = host * requestsEach + i;
        std::vector<gsPromptPart> parts = PartsOf(number % 161, number);
        gsPlacement placement = gsPlace(fleet, Short(parts), Now, random);
        ASSERT_NE(placement.Row, nullptr);
        ++placement.Row->Own.Running;
        ++sent[placement.Row->Listed.Id];
      }
    }
    EXPECT_LE(emptiest + sent["u7"], Slots + Queue) << requestsEach;
    EXPECT_GT(sent["u7"], 0U);
  }
}

TEST(Crowding, OneSubjectOfManyHostsSpreadsOverManyEnginesWhenItsOwnAreFull)
{
  std::map<std::string, std::uint32_t> sent;
  for (std::uint64_t host = 0; host < Hosts; ++host) {
    gsFleet fleet = CrowdedFleet(30);
    gsRandom random(host);
    std::vector<gsPromptPart> parts = PartsOf(5, host);
    gsPlacement placement = gsPlace(fleet, Short(parts), Now, random);
    ASSERT_NE(placement.Row, nullptr);
    ++sent[placement.Row->Listed.Id];
  }
  for (auto const& [id, count] : sent) {
    EXPECT_LE(30 + count, Slots + Queue + Hosts / 4) << id;
  }
  EXPECT_GE(sent.size(), 8U);
}

TEST(Crowding, LessUrgentWorkLeavesPlacesForTheMostUrgent)
{
  gsFleet fleet = CrowdedFleet(2 * Slots);
  std::vector<gsPromptPart> parts = PartsOf(5, 1);
  gsPlacementAsk ask = Short(parts);
  ask.Hosts = 1;
  constexpr std::uint64_t requests = 400;
  auto placed = [&](std::uint32_t moreUrgentKinds) {
    ask.MoreUrgentKinds = moreUrgentKinds;
    std::uint64_t count = 0;
    for (std::uint64_t seed = 0; seed < requests; ++seed) {
      gsRandom random(seed);
      count += gsPlace(fleet, ask, Now, random).Row != nullptr ? 1 : 0;
    }
    return count;
  };
  EXPECT_EQ(placed(0), requests);
  // All but the few that may pass, so that no kind is shut out.
  EXPECT_LE(placed(1), requests / 10);
  // One place is enough for a host that is alone, wherever it is.
  fleet.Rows[70].Others.Running = Slots;
  EXPECT_EQ(placed(1), requests);
  // The less urgent, the fewer places.
  fleet.Rows[70].Others.Running = Slots + Slots / 2;
  EXPECT_EQ(placed(1), requests);
  EXPECT_LE(placed(2), requests / 10);
}

TEST(Crowding, WhereFewHostsChooseAllEnginesAreLookedAt)
{
  gsFleet fleet = CrowdedFleet(20);
  fleet.Rows[7].Others.Running = 0;
  std::vector<gsPromptPart> parts = PartsOf(5, 1);
  gsPlacementAsk ask = Short(parts);
  ask.Hosts = 1;
  gsRandom random(1);
  gsPlacement placement = gsPlace(fleet, ask, Now, random);
  EXPECT_EQ(placement.Row, &fleet.Rows[7]);
  EXPECT_EQ(placement.Candidates, Engines);
}

// A request that the first looks find no place for looks at all engines, as
// all hosts do then: none of them may go to the one that all see as emptiest.
TEST(Crowding, LessUrgentWorkOfManyHostsLeavesPlacesForTheMostUrgent)
{
  constexpr std::uint32_t emptiest = 8;
  std::map<std::string, std::uint32_t> sent;
  for (std::uint64_t host = 0; host < Hosts; ++host) {
    gsFleet fleet = CrowdedFleet(2 * Slots);
    fleet.Rows[7].Others.Running = emptiest;
    gsRandom random(host);
    std::vector<gsPromptPart> parts = PartsOf(host, host);
    gsPlacementAsk ask = Short(parts);
    ask.MoreUrgentKinds = 1;
    gsPlacement placement = gsPlace(fleet, ask, Now, random);
    if (placement.Row != nullptr) {
      ++sent[placement.Row->Listed.Id];
    }
  }
  EXPECT_LE(emptiest + sent["u7"], Slots + Queue);
  EXPECT_GT(sent["u7"], 0U);
}

// How long an engine holds its slots is not known at a start, and a route may
// have no target: neither makes a full engine one with places.
TEST(Crowding, ASubjectWhoseOwnEnginesAreFullGoesToFreeSlots)
{
  constexpr std::size_t hosts = 340;
  constexpr std::uint32_t running = 8;
  for (bool hasTarget : { true, false }) {
    gsFleet fleet = CrowdedFleet(running);
    fleet.Demand.clear();
    std::vector<gsPromptPart> parts = PartsOf(5, 1);
    gsPlacementAsk ask = Short(parts);
    ask.Hosts = hosts;
    ask.TargetTokens = hasTarget ? ask.TargetTokens : 0;
    // The engines of the subject, as this choice shows, fill one by one.
    constexpr int own = 4;
    for (int i = 0; i < own; ++i) {
      gsRandom random(static_cast<std::uint64_t>(i));
      gsPlacement placement = gsPlace(fleet, ask, Now, random);
      ASSERT_NE(placement.Row, nullptr);
      EXPECT_EQ(placement.Row->Others.Running, running) << hasTarget;
      placement.Row->Others.Running = Slots + Queue;
    }
  }
}

// The looks of a request may all have fallen on full engines.
TEST(Crowding, ARequestIsNotSentToAFullEngineWhileOthersHavePlaces)
{
  constexpr std::uint64_t requests = 50;
  constexpr std::size_t full = 100;
  std::uint64_t turnedAway = 0;
  for (std::uint64_t i = 0; i < requests; ++i) {
    gsFleet fleet = CrowdedFleet(Slots + Queue);
    for (std::size_t row = full; row < Engines; ++row) {
      fleet.Rows[row].Others.Running = 2 * Slots;
    }
    gsRandom random(i);
    std::vector<gsPromptPart> parts = PartsOf(i, i);
    gsPlacement placement = gsPlace(fleet, Short(parts), Now, random);
    ASSERT_NE(placement.Row, nullptr);
    turnedAway += placement.Row->Others.Running >= Slots + Queue ? 1 : 0;
  }
  EXPECT_EQ(turnedAway, 0U);
}

// A service without prompts sends its bytes between halls where it need not.
TEST(Crowding, AnIdleUpstreamOfTheOwnHallGoesBeforeOthers)
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
        Listed("p" + std::to_string(n), n % 3 == 0 ? "a" : "b"));
    }
    gsFleetTake(fleet, listed);
    gsRandom random(i);
    gsPlacementAsk ask;
    ask.Service = "model";
    ask.Hosts = Hosts;
    gsPlacement placement = gsPlace(fleet, ask, Now, random);
    ASSERT_NE(placement.Row, nullptr);
    elsewhere += placement.Row->Listed.Hall == "a" ? 0 : 1;
  }
  EXPECT_EQ(elsewhere, 0U);
}

// Every kind gets served in the end, however long more urgent ones press.
TEST(Crowding, ALessUrgentKindIsNotShutOutForAsLongAsUrgentOnesPress)
{
  gsFleet fleet = CrowdedFleet(2 * Slots);
  std::vector<gsPromptPart> parts = PartsOf(5, 1);
  gsPlacementAsk ask = Short(parts);
  ask.MoreUrgentKinds = 1;
  std::uint64_t placed = 0;
  constexpr std::uint64_t requests = 1000;
  for (std::uint64_t i = 0; i < requests; ++i) {
    gsRandom random(i);
    placed += gsPlace(fleet, ask, Now, random).Row != nullptr ? 1 : 0;
  }
  EXPECT_GT(placed, 0U);
}
