/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * An upstream that leaves gets no new work after three seconds, by whichever
 * way the leaving becomes known.
 */
#include <gtest/gtest.h>

#include "gsTestSystem.h"

namespace {

constexpr double Bound = 3;

gsTestPlan LeavingPlan()
{
  gsTestPlan plan;
  plan.Halls = { "north", "south" };
  plan.Hosts = 2;
  plan.Engines = 2;
  return plan;
}

/** Sends steadily for a while; requests that reached the upstream late. */
int SentTo(gsTestSystem& system, std::string const& upstream, double after,
           double seconds, std::vector<std::string> const& hosts)
{
  gsTime begin = gsLoop::Now();
  std::vector<gsReplyPtr> open;
  std::vector<gsReplyPtr> late;
  std::uint64_t count = 0;
  system.RunUntil(
    [&] {
      double now = gsToSeconds(gsLoop::Now() - begin);
      open.erase(
        std::remove_if(open.begin(), open.end(),
                       [](gsReplyPtr const& reply) { return reply->Done; }),
        open.end());
      while (open.size() < 8 && now < seconds) {
        gsTestRequest request;
        request.Host = hosts[count % hosts.size()];
        request.Content = "leaving" + std::to_string(count++);
        open.push_back(system.Send(request));
        if (now > after) {
          late.push_back(open.back());
        }
      }
      return now >= seconds && open.empty();
    },
    seconds + 10);
  int hits = 0;
  int good = 0;
  for (gsReplyPtr const& reply : late) {
    hits += reply->Upstream == upstream ? 1 : 0;
    good += reply->Good() ? 1 : 0;
  }
  EXPECT_GT(good, 20);
  return hits;
}

} // namespace

TEST(Leaving, ByOperator)
{
  gsTestSystem system(LeavingPlan());
  system.Change(
    "north-a", { { "kind", "retire_upstream" }, { "name", "north-engine0" } });
  EXPECT_EQ(SentTo(system, "north-engine0", 0, 2, system.HostsOf("north")), 0);
}

TEST(Leaving, ByItsOwnWord)
{
  gsTestSystem system(LeavingPlan());
  system.Control("north-engine0", { { "leaving", true } });
  EXPECT_EQ(
    SentTo(system, "north-engine0", Bound, Bound + 2, system.HostsOf("north")),
    0);
}

TEST(Leaving, ByThePlatformsList)
{
  gsTestPlan plan = LeavingPlan();
  gsTestSystem system(plan);
  system.Platform({ { "leaving_upstreams", { "north-engine0" } } });
  EXPECT_EQ(
    SentTo(system, "north-engine0", Bound, Bound + 2, system.HostsOf("north")),
    0);
}

TEST(Leaving, InAHallCutFromThePlatformAndTheOtherHall)
{
  gsTestSystem system(LeavingPlan());
  system.BetweenHalls("north", "south", "cut");
  system.Links({ "platform:north-a", "platform:north-b" },
               { { "mode", "cut" } });
  system.Control("north-engine0", { { "leaving", true } });
  EXPECT_EQ(
    SentTo(system, "north-engine0", Bound, Bound + 2, system.HostsOf("north")),
    0);
}

TEST(Leaving, ToldByTheOtherHallWhileThePlatformIsOut)
{
  gsTestSystem system(LeavingPlan());
  system.Links({ "platform:north-a", "platform:north-b" },
               { { "mode", "cut" } });
  gsJson state = system.Operate("south-a", "POST", "/v1/changes",
                                { { "id", "retire" },
                                  { "kind", "retire_upstream" },
                                  { "name", "north-engine0" } });
  EXPECT_TRUE(state.contains("version"));
  EXPECT_EQ(
    SentTo(system, "north-engine0", Bound, Bound + 2, system.HostsOf("north")),
    0);
}

TEST(Leaving, AFrozenDispatcherThatWakesGrantsNothingToIt)
{
  gsTestSystem system(LeavingPlan());
  std::string dispatcher = system.DispatcherOf("north-a", "model@north");
  system.Freeze(dispatcher);
  std::string other = dispatcher == "north-a" ? "north-b" : "north-a";
  gsJson state = system.Operate("south-a", "POST", "/v1/changes",
                                { { "id", "retire" },
                                  { "kind", "retire_upstream" },
                                  { "name", "north-engine0" } });
  EXPECT_TRUE(state.contains("version"));
  EXPECT_EQ(SentTo(system, "north-engine0", Bound, Bound + 1, { other }), 0);
  system.Thaw(dispatcher);
  EXPECT_EQ(SentTo(system, "north-engine0", 0, 2, system.HostsOf("north")), 0);
}
