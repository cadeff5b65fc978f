/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Runners that name a rate limit in their answers, before hosts of several
 * halls, on real processes. Arrivals are counted by the runners themselves.
 */
#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsRoutedSystem.h"

namespace {

constexpr gsTime Window = gsSeconds(4);
/** From the first answer with a limit until it binds all hosts. */
constexpr gsTime BindsAfter = gsSeconds(3);
constexpr double SendGapSeconds = 0.025;

/** Requests that a limit of so many a second allows in a window. */
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

  /** Sends to hosts in turn, 40 requests a second. */
  void RunFor(double seconds, std::vector<std::string> const& hosts,
              std::string const& route = "plain")
  {
    gsTime begin = gsLoop::Now();
    std::size_t sent = 0;
    while (gsLoop::Now() - begin < gsFromSeconds(seconds)) {
      auto due = static_cast<std::size_t>(gsToSeconds(gsLoop::Now() - begin) /
                                          SendGapSeconds);
      for (; sent < due; ++sent) {
        this->Replies.push_back(
          this->System.Send(hosts[sent % hosts.size()], route));
      }
      this->System.RunFor(SendGapSeconds / 2);
    }
    this->System.RunUntil([this] {
      return std::all_of(this->Replies.begin(), this->Replies.end(),
                         [](auto const& reply) { return reply->Done; });
    });
  }

  /** Times of arrivals at a runner while its limit binds. */
  std::vector<gsTime> BoundArrivals(std::string const& runner) const
  {
    std::vector<gsTime> times;
    for (gsRoutedRun const& arrival : this->System.ArrivalsAt(runner)) {
      if (arrival.At >= this->NamedAt + BindsAfter) {
        times.push_back(arrival.At);
      }
    }
    std::sort(times.begin(), times.end());
    return times;
  }

  /** Most arrivals at a runner in any window while its limit binds. */
  std::size_t MostInWindow(std::string const& runner) const
  {
    std::vector<gsTime> const times = this->BoundArrivals(runner);
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
      auto last = std::lower_bound(first, times.end(), *first + Window);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
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

// Guards against hosts that do not heed a limit, or each use the whole of it.
TEST(RoutedRateLimit, HostsOfAllHallsTogetherKeepIt)
{
  gsRoutedSystem system(TwoHalls());
  system.RunFor(2); // Halls have no links between them before.
  Sender sender(system);
  sender.NameLimit("runner0", "2.9");
  sender.RunFor(12, system.Hosts());
  EXPECT_LE(sender.MostInWindow("runner0"), Allowed(2.9));
  EXPECT_EQ(sender.Served(), sender.Replies.size());
}

// Guards against a limit that binds only while requests are spread.
TEST(RoutedRateLimit, KeptWhereOneHostGetsAllRequests)
{
  gsRoutedSystem system(TwoHalls());
  system.RunFor(2);
  Sender sender(system);
  sender.NameLimit("runner0", "3");
  sender.RunFor(12, { "host1" }, "resume");
  EXPECT_LE(sender.MostInWindow("runner0"), Allowed(3));
  EXPECT_EQ(sender.Served(), sender.Replies.size());
}

// Guards against hosts that use the whole of a limit each once they hear
// nothing of each other.
TEST(RoutedRateLimit, KeptByHostsThatAreCutOffFromEachOther)
{
  gsRoutedSystem system(TwoHalls());
  system.RunFor(2);
  Sender sender(system);
  sender.NameLimit("runner0", "3");
  sender.RunFor(2, system.Hosts());
  system.Links({ "peer:*", "store:*" }, { { "mode", "hole" } });
  sender.RunFor(10, system.Hosts());
  EXPECT_LE(sender.MostInWindow("runner0"), Allowed(3));
}

// Guards against callers that wait in vain, or are not told when to return,
// where nothing but limited upstreams is left.
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
    EXPECT_LE(sender.MostInWindow(runner), Allowed(3)) << runner;
    arrived += sender.BoundArrivals(runner).size();
  }
  double limits = 3.0 * 3.0 * (seconds - gsToSeconds(BindsAfter));
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

// Guards against a limit that outlives the upstream's naming it.
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
