/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Slots of runners shared by hosts of two halls, with real processes. The
 * runners turn away what exceeds their slots.
 */
#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsRoutedSystem.h"

namespace {

/** Time from the start until all hosts share the slots. */
constexpr double SettleSeconds = 5;
constexpr double SendIntervalSeconds = 0.08;

/** Eight hosts and six slots. */
gsRoutedPlan SmallService()
{
  gsRoutedPlan plan;
  plan.Hosts = 8;
  plan.Halls = 2;
  plan.Runners = 2;
  plan.Slots = 3;
  plan.WorkMs = 30;
  plan.KeepConnections = true;
  plan.SlotSharing = "on";
  return plan;
}

/** Sends a request to each of the hosts at the same time, every 80 ms, and
 * waits for the answers. Without sharing, the hosts' views of the load are too
 * old for that. */
std::vector<gsRoutedReplyPtr> SendFor(gsRoutedSystem& system, double seconds)
{
  std::vector<gsRoutedReplyPtr> replies;
  gsTime begin = gsLoop::Now();
  std::vector<std::string> const hosts = system.Hosts();
  while (gsLoop::Now() - begin < gsFromSeconds(seconds)) {
    for (std::string const& host : hosts) {
      replies.push_back(system.Send(host, "plain"));
    }
    system.RunFor(SendIntervalSeconds);
  }
  system.RunUntil([&replies] {
    return std::all_of(replies.begin(), replies.end(),
                       [](auto const& reply) { return reply->Done; });
  });
  return replies;
}

struct ArrivalCounts
{
  std::size_t All = 0;
  std::size_t TurnedAway = 0;
};

ArrivalCounts CountSince(gsRoutedSystem const& system, gsTime since)
{
  ArrivalCounts counts;
  for (std::string const& runner : system.Runners()) {
    for (gsRoutedRun const& arrival : system.ArrivalsAt(runner)) {
      counts.All += arrival.At >= since ? 1 : 0;
      counts.TurnedAway += arrival.At >= since && arrival.Full ? 1 : 0;
    }
  }
  testing::Test::RecordProperty("arrivals", std::to_string(counts.All));
  testing::Test::RecordProperty("turned_away",
                                std::to_string(counts.TurnedAway));
  return counts;
}

/** Links between hosts of different halls; the halls alternate. */
std::vector<std::string> LinksBetweenHalls(gsRoutedSystem const& system)
{
  std::vector<std::string> links;
  std::vector<std::string> const& hosts = system.Hosts();
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    for (std::size_t j = 0; j < hosts.size(); ++j) {
      if (i % 2 != j % 2) {
        std::string link = "peer:";
        links.push_back(link.append(hosts[i]).append(">").append(hosts[j]));
      }
    }
  }
  return links;
}

std::size_t CountServed(std::vector<gsRoutedReplyPtr> const& replies)
{
  return static_cast<std::size_t>(
    std::count_if(replies.begin(), replies.end(),
                  [](auto const& reply) { return reply->Good(); }));
}

} // namespace

// Guards against rejections because hosts learn late which slots are in use,
// and against slots that no host may use.
TEST(RoutedSlotSharing, HostsOfAllHallsTogetherKeepTheSlots)
{
  gsRoutedSystem system(SmallService());
  system.RunFor(SettleSeconds);
  gsTime since = gsLoop::Now();
  std::vector<gsRoutedReplyPtr> replies = SendFor(system, 8);
  ArrivalCounts counts = CountSince(system, since);
  EXPECT_LE(counts.TurnedAway * 200, counts.All);
  EXPECT_GE(CountServed(replies) * 100, replies.size() * 95);
  std::string const rows = system.Limits("host0").dump();
  EXPECT_NE(rows.find("\"slots\""), std::string::npos) << rows;
}

// Guards against an outage, and against halls that each use all slots, while
// they are cut off from each other.
TEST(RoutedSlotSharing, HallsThatAreCutOffUseTheirShares)
{
  gsRoutedSystem system(SmallService());
  system.RunFor(SettleSeconds);
  system.Links(LinksBetweenHalls(system), { { "mode", "hole" } });
  system.RunFor(3);
  gsTime since = gsLoop::Now();
  std::vector<gsRoutedReplyPtr> replies = SendFor(system, 6);
  ArrivalCounts counts = CountSince(system, since);
  EXPECT_GE(CountServed(replies) * 10, replies.size() * 8);
  EXPECT_LE(counts.TurnedAway * 200, counts.All);
}
