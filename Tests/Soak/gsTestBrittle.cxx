/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Runners that end when they have to turn away too many requests in a second,
 * before hosts of several halls, with real processes.
 */
#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsRoutedSystem.h"

namespace {

/** Time from a statement until the hosts keep to it and the runner ends. */
constexpr double SettleSeconds = 3;
constexpr double LoadSeconds = 6;
constexpr double SendIntervalSeconds = 0.02;
constexpr std::size_t MaxRejections = 3;
/** Runners that may end in one time in which they say so. */
constexpr std::ptrdiff_t AllowedFalls = 2;

gsRoutedPlan ThreeRunners()
{
  gsRoutedPlan plan;
  plan.Hosts = 4;
  plan.Halls = 2;
  plan.Runners = 3;
  plan.Slots = 6;
  plan.WorkMs = 200;
  plan.KeepConnections = true;
  return plan;
}

/** Requests that the runners can answer in a second. */
double Capacity(gsRoutedPlan const& plan)
{
  constexpr double millis = 1e3;
  return plan.Runners * plan.Slots * millis / plan.WorkMs;
}

/** Sends requests to the hosts in turn at even intervals. */
std::vector<gsRoutedReplyPtr> SendFor(gsRoutedSystem& system, double seconds,
                                      double perSecond)
{
  std::vector<gsRoutedReplyPtr> replies;
  std::vector<std::string> const hosts = system.Hosts();
  gsTime begin = gsLoop::Now();
  while (gsLoop::Now() - begin < gsFromSeconds(seconds)) {
    double due = gsToSeconds(gsLoop::Now() - begin) * perSecond;
    while (static_cast<double>(replies.size()) < due) {
      replies.push_back(
        system.Send(hosts[replies.size() % hosts.size()], "plain"));
    }
    system.RunFor(SendIntervalSeconds / 2);
  }
  system.RunUntil([&replies] {
    return std::all_of(replies.begin(), replies.end(),
                       [](auto const& reply) { return reply->Done; });
  });
  return replies;
}

std::ptrdiff_t CountFalls(gsRoutedSystem& system)
{
  std::vector<std::string> const runners = system.Runners();
  return std::count_if(
    runners.begin(), runners.end(),
    [&system](std::string const& runner) { return !system.Running(runner); });
}

} // namespace

// Guards against hosts that press runners together until these end.
TEST(RoutedBrittle, HostsOfAllHallsTogetherKeepWithinTheRoom)
{
  gsRoutedPlan const plan = ThreeRunners();
  gsRoutedSystem system(plan);
  system.RunFor(2); // Halls have no links between them before.
  for (std::string const& runner : system.Runners()) {
    system.Control(runner, { { "brittle", MaxRejections } });
  }
  SendFor(system, SettleSeconds, 0.5 * Capacity(plan));
  std::vector<gsRoutedReplyPtr> replies =
    SendFor(system, LoadSeconds, 1.5 * Capacity(plan));
  EXPECT_LE(CountFalls(system), AllowedFalls);
  auto served = std::count_if(replies.begin(), replies.end(),
                              [](auto const& reply) { return reply->Good(); });
  testing::Test::RecordProperty("served", std::to_string(served));
  constexpr double minUse = 0.95;
  double seconds = LoadSeconds - plan.WorkMs / 1e3;
  EXPECT_GE(static_cast<double>(served), minUse * seconds * Capacity(plan));
}
