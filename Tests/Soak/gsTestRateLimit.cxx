/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Rate limits named by runners, enforced by hosts of several halls, with real
 * processes. The runners count arrivals.
 */
#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsRoutedSystem.h"

namespace {

constexpr gsTime Window = gsSeconds(4);
/** Time from naming a limit until it is checked on all hosts. */
constexpr gsTime PropagationTime = gsSeconds(3);
constexpr double SendIntervalSeconds = 0.025;

/** Maximum number of requests in a window under a limit. */
std::size_t Allowed(double rate)
{
  constexpr double factor = 1.5;
  constexpr double slack = 5;
  return static_cast<std::size_t>(factor * rate * gsToSeconds(Window) + slack);
}

gsRoutedPlan TwoHalls()
{
  gsRoutedPlan plan;
  plan.Hosts = 4;
  plan.Halls = 2;
  plan.KeepConnections = true;
  return plan;
}

/** Names limits and sends requests to a system. */
class Sender
{
public:
  explicit Sender(gsRoutedSystem& system)
    : System(system)
  {
  }

  void NameLimit(std::string const& runner, std::string const& limit)
  {
    this->System.Control(runner, { { "limit", limit } });
    this->NamedAt = gsLoop::Now();
  }

  /** Sends 40 requests per second, round-robin over the hosts. */
  void RunFor(double seconds, std::vector<std::string> const& hosts,
              std::string const& route = "plain")
  {
    gsTime begin = gsLoop::Now();
    std::size_t sent = 0;
    while (gsLoop::Now() - begin < gsFromSeconds(seconds)) {
      auto due = static_cast<std::size_t>(gsToSeconds(gsLoop::Now() - begin) /
                                          SendIntervalSeconds);
      for (; sent < due; ++sent) {
        this->Replies.push_back(
          this->System.Send(hosts[sent % hosts.size()], route));
      }
      this->System.RunFor(SendIntervalSeconds / 2);
    }
    this->System.RunUntil([this] {
      return std::all_of(this->Replies.begin(), this->Replies.end(),
                         [](auto const& reply) { return reply->Done; });
    });
  }

  /** Times of arrivals at a runner after PropagationTime. */
  std::vector<gsTime> BoundArrivals(std::string const& runner) const
  {
    std::vector<gsTime> times;
    for (gsRoutedRun const& arrival : this->System.ArrivalsAt(runner)) {
      if (arrival.At >= this->NamedAt + PropagationTime) {
        times.push_back(arrival.At);
      }
    }
    std::sort(times.begin(), times.end());
    return times;
  }

  /** Maximum number of arrivals at a runner in any window after
   * PropagationTime. */
  std::size_t MaxInWindow(std::string const& runner) const
  {
    std::vector<gsTime> const times = this->BoundArrivals(runner);
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
      auto last = std::lower_bound(first, times.end(), *first + Window);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    testing::Test::RecordProperty("most_in_window_" + runner,
                                  std::to_string(most));
    return most;
  }

  std::size_t Served() const
  {
    return static_cast<std::size_t>(
      std::count_if(this->Replies.begin(), this->Replies.end(),
                    [](auto const& reply) { return reply->Good(); }));
  }

  gsRoutedSystem& System;
  gsTime NamedAt{};
  std::vector<gsRoutedReplyPtr> Replies;
};

} // namespace

// Guards against hosts that ignore a limit or each use the full limit.
TEST(RoutedRateLimit, HostsOfAllHallsTogetherKeepIt)
{
  gsRoutedSystem system(TwoHalls());
  system.RunFor(2); // Waits for links between halls.
  Sender sender(system);
  sender.NameLimit("runner0", "2.9");
  sender.RunFor(12, system.Hosts());
  EXPECT_LE(sender.MaxInWindow("runner0"), Allowed(2.9));
  // Some attempts must be sent, so that hosts learn when the limit ends.
  EXPECT_GE(sender.BoundArrivals("runner0").size(), 3U);
  EXPECT_EQ(sender.Served(), sender.Replies.size());
}

// Guards against limits that only hold under evenly spread requests.
TEST(RoutedRateLimit, KeptWhereOneHostGetsAllRequests)
{
  gsRoutedSystem system(TwoHalls());
  system.RunFor(2);
  Sender sender(system);
  sender.NameLimit("runner0", "3");
  sender.RunFor(12, { "host1" }, "resume");
  EXPECT_LE(sender.MaxInWindow("runner0"), Allowed(3));
  EXPECT_EQ(sender.Served(), sender.Replies.size());
}

// Guards against partitioned hosts that each use the full limit.
TEST(RoutedRateLimit, KeptByHostsThatAreCutOffFromEachOther)
{
  gsRoutedSystem system(TwoHalls());
  system.RunFor(2);
  Sender sender(system);
  sender.NameLimit("runner0", "3");
  sender.RunFor(2, system.Hosts());
  system.Links({ "peer:*", "store:*" }, { { "mode", "hole" } });
  sender.RunFor(10, system.Hosts());
  EXPECT_LE(sender.MaxInWindow("runner0"), Allowed(3));
}

// Guards against late refusals, and refusals without Retry-After, when all
// upstreams are limited.
TEST(RoutedRateLimit, RequestsAboveTheLimitsOfAllAreRefusedInTime)
{
  gsRoutedSystem system(TwoHalls());
  system.RunFor(2);
  Sender sender(system);
  for (std::string const& runner : system.Runners()) {
    sender.NameLimit(runner, "3");
  }
  constexpr double seconds = 12;
  sender.RunFor(seconds, system.Hosts());
  std::size_t arrived = 0;
  for (std::string const& runner : system.Runners()) {
    EXPECT_LE(sender.MaxInWindow(runner), Allowed(3)) << runner;
    arrived += sender.BoundArrivals(runner).size();
  }
  double limits = 3.0 * 3.0 * (seconds - gsToSeconds(PropagationTime));
  testing::Test::RecordProperty(
    "used_share", std::to_string(static_cast<double>(arrived) / limits));
  EXPECT_GE(static_cast<double>(arrived), 0.8 * limits);
  for (gsRoutedReplyPtr const& reply : sender.Replies) {
    if (reply->Good()) {
      continue;
    }
    EXPECT_EQ(reply->Status, 503U) << reply->Id;
    EXPECT_FALSE(reply->RetryAfter.empty()) << reply->Id;
    EXPECT_LT(gsToSeconds(reply->Ended - reply->Sent), 1.0) << reply->Id;
  }
}

// Guards against limits that persist after the upstream stops naming them.
TEST(RoutedRateLimit, EndsOnAllHostsWithAnAnswerWithoutIt)
{
  gsRoutedSystem system(TwoHalls());
  system.RunFor(2);
  Sender sender(system);
  for (std::string const& runner : system.Runners()) {
    sender.NameLimit(runner, "1");
  }
  sender.RunFor(5, system.Hosts());
  std::size_t bound = sender.Served();
  for (std::string const& runner : system.Runners()) {
    sender.NameLimit(runner, "");
  }
  sender.RunFor(6, system.Hosts());
  EXPECT_LT(bound, sender.Replies.size() / 4);
  sender.Replies.clear();
  sender.RunFor(2, system.Hosts());
  EXPECT_EQ(sender.Served(), sender.Replies.size());
}
