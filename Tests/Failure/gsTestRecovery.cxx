/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * How fast a pool serves again after its dispatcher is lost, and that nothing
 * that could be served is lost with it.
 */
#include <gtest/gtest.h>

#include <iostream>

#include "gsTestSystem.h"

namespace {

gsTestPlan RecoveryPlan()
{
  gsTestPlan plan;
  plan.Hosts = 3;
  plan.EngineSlots = 32;
  plan.Slots = 16;
  return plan;
}

struct Probe
{
  gsReplyPtr Reply;
  std::string Host;
};

/** Time from the fault to the first request answered by another host. */
double Recover(gsTestSystem& system, std::string const& dispatcher,
               std::function<void()> const& fault)
{
  std::vector<std::string> survivors;
  for (std::string const& host : system.HostNames()) {
    if (host != dispatcher) {
      survivors.push_back(host);
    }
  }
  fault();
  gsTime begin = gsLoop::Now();
  std::vector<gsReplyPtr> replies;
  for (int i = 0; i < 40; ++i) {
    gsTestRequest request;
    request.Host = survivors[static_cast<std::size_t>(i) % survivors.size()];
    request.Content = "after" + std::to_string(i);
    replies.push_back(system.Send(request));
  }
  double first = 0;
  EXPECT_TRUE(system.RunUntil([&] {
    bool done = true;
    for (gsReplyPtr const& reply : replies) {
      done = done && reply->Done;
      if (reply->First.count() > 0 && reply->Status == 200 && first == 0) {
        first = gsToSeconds(reply->First - begin);
      }
    }
    return done;
  }));
  for (gsReplyPtr const& reply : replies) {
    EXPECT_TRUE(reply->Good()) << reply->Status << reply->Body;
  }
  return first;
}

} // namespace

TEST(Recovery, DispatcherKilled)
{
  gsTestSystem system(RecoveryPlan());
  std::string dispatcher = system.DispatcherOf("north-a", "model@north");
  double seconds =
    Recover(system, dispatcher, [&] { system.Kill(dispatcher); });
  std::cout << "recovered_after_kill_s " << seconds << '\n';
  EXPECT_LT(seconds, 2.0);
}

TEST(Recovery, DispatcherFrozen)
{
  gsTestSystem system(RecoveryPlan());
  std::string dispatcher = system.DispatcherOf("north-a", "model@north");
  double seconds =
    Recover(system, dispatcher, [&] { system.Freeze(dispatcher); });
  std::cout << "recovered_after_freeze_s " << seconds << '\n';
  EXPECT_LT(seconds, 4.0);
  system.Thaw(dispatcher);
  system.WaitReady(dispatcher);
  gsTestRequest request;
  request.Host = dispatcher;
  request.Content = "awake";
  EXPECT_TRUE(system.SendAndWait(request)->Good());
}

TEST(Recovery, RunningStreamsSurviveTheirDispatcher)
{
  gsTestPlan plan = RecoveryPlan();
  plan.GapMs = 40;
  gsTestSystem system(plan);
  std::string dispatcher = system.DispatcherOf("north-a", "model@north");
  std::vector<gsReplyPtr> replies;
  for (std::string const& host : system.HostNames()) {
    if (host == dispatcher) {
      continue;
    }
    gsTestRequest request;
    request.Host = host;
    request.Content = "long tokens=60 " + host;
    replies.push_back(system.Send(request));
  }
  ASSERT_TRUE(system.RunUntil([&] {
    return replies[0]->First.count() > 0 && replies[1]->First.count() > 0;
  }));
  system.Kill(dispatcher);
  ASSERT_TRUE(
    system.RunUntil([&] { return replies[0]->Done && replies[1]->Done; }));
  EXPECT_TRUE(replies[0]->StreamEnded());
  EXPECT_TRUE(replies[1]->StreamEnded());
}

TEST(Recovery, RetriesAfterAnEnginesDeathStayWithinTheBudget)
{
  gsTestPlan plan = RecoveryPlan();
  plan.Engines = 3;
  gsTestSystem system(plan);
  std::vector<gsReplyPtr> replies;
  std::vector<std::string> hosts = system.HostNames();
  for (int i = 0; i < 300; ++i) {
    gsTestRequest request;
    request.Host = hosts[static_cast<std::size_t>(i) % hosts.size()];
    request.Content = "r" + std::to_string(i);
    request.Stream = false;
    replies.push_back(system.Send(request));
    if (i == 150) {
      system.Kill("north-engine0");
    }
  }
  ASSERT_TRUE(system.RunUntil([&] { return gsAllDone(replies); }));
  int extra = 0;
  for (char const* upstream : { "north-engine1", "north-engine2" }) {
    gsJson runs = system.Account(upstream);
    for (auto const& [content, row] : runs.items()) {
      extra += row["started"].get<int>() - 1;
    }
  }
  int good = 0;
  for (gsReplyPtr const& reply : replies) {
    good += reply->Good() ? 1 : 0;
  }
  EXPECT_LE(extra, 30);
  EXPECT_GE(good, 280);
}

TEST(Recovery, SpillsToTheOtherHallWhenTheOwnHasNoUpstream)
{
  gsTestPlan plan = RecoveryPlan();
  plan.Halls = { "north", "south" };
  plan.Hosts = 2;
  gsTestSystem system(plan);
  system.Change(
    "north-a", { { "kind", "retire_upstream" }, { "name", "north-engine0" } });
  system.Change(
    "north-a", { { "kind", "retire_upstream" }, { "name", "north-engine1" } });
  gsTestRequest request;
  request.Host = "north-a";
  request.Content = "spilled";
  gsReplyPtr reply = system.SendAndWait(request);
  EXPECT_TRUE(reply->Good()) << reply->Body;
  EXPECT_EQ(reply->Upstream.substr(0, 5), "south");
}

TEST(Recovery, AFrozenEntryHostsSlotsAreFreed)
{
  gsTestPlan plan = RecoveryPlan();
  plan.Slots = 2;
  plan.GapMs = 100;
  gsTestSystem system(plan);
  std::string dispatcher = system.DispatcherOf("north-a", "model@north");
  std::string frozen;
  for (std::string const& host : system.HostNames()) {
    frozen = host == dispatcher ? frozen : host;
  }
  std::vector<gsReplyPtr> held;
  for (int i = 0; i < 12; ++i) {
    gsTestRequest request;
    request.Host = frozen;
    request.Content = "held" + std::to_string(i) + " tokens=400";
    held.push_back(system.Send(request));
  }
  ASSERT_TRUE(system.RunUntil([&] {
    int running = 0;
    for (gsReplyPtr const& reply : held) {
      running += reply->First.count() > 0 ? 1 : 0;
    }
    return running == 4;
  }));
  system.Freeze(frozen);
  gsTestRequest request;
  request.Host = dispatcher;
  request.Content = "others";
  gsReplyPtr reply = system.Send(request);
  EXPECT_TRUE(system.RunUntil([&] { return reply->Good(); }, 10));
}

TEST(Recovery, AHostThatJoinsTakesOverWhatRuns)
{
  gsTestPlan plan = RecoveryPlan();
  plan.Slots = 2;
  plan.Engines = 1;
  plan.GapMs = 100;
  plan.EngineSlots = 32;
  gsTestSystem system(plan);
  std::string dispatcher = system.DispatcherOf("north-a", "model@north");
  std::string other = dispatcher == "north-a" ? "north-b" : "north-a";
  system.Terminate(dispatcher);
  ASSERT_TRUE(system.RunUntil([&] { return !system.Running(dispatcher); }));
  std::vector<gsReplyPtr> replies;
  for (int i = 0; i < 6; ++i) {
    gsTestRequest request;
    request.Host = other;
    request.Content = "run" + std::to_string(i) + " tokens=60";
    replies.push_back(system.Send(request));
  }
  ASSERT_TRUE(system.RunUntil([&] {
    int running = 0;
    for (gsReplyPtr const& reply : replies) {
      running += reply->First.count() > 0 ? 1 : 0;
    }
    return running == 2;
  }));
  // Its configuration comes late, so that it is known before it is ready.
  system.Platform({ { "delay_ms", 300 } });
  // Its configuration comes late, so that it is known before it is ready.
  system.Platform({ { "delay_ms", 300 } });
  system.Restart(dispatcher);
  ASSERT_TRUE(system.RunUntil(
    [&] { return system.DispatcherOf(other, "model@north") == dispatcher; }));
  ASSERT_TRUE(system.RunUntil([&] { return gsAllDone(replies); }, 60));
  for (gsReplyPtr const& reply : replies) {
    EXPECT_TRUE(reply->Good()) << reply->Status << reply->Body;
  }
  // Two slots: the new dispatcher must not have granted them twice.
  EXPECT_LE(system.MostRunning("north-engine0"), 2);
}
