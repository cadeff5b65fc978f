/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A planned stop of an entry host or an upstream cuts nothing in flight.
 */
#include <gtest/gtest.h>

#include "gsTestSystem.h"

namespace {

/** Keeps streams running on hosts that are ready; counts what was cut. */
struct Streams
{
  gsTestSystem& System;
  std::vector<std::string> Hosts;
  std::vector<gsReplyPtr> Open;
  std::uint64_t Sent = 0;
  int Good = 0;
  std::vector<std::string> Bad;

  void KeepUp(std::string const& except)
  {
    for (auto reply = this->Open.begin(); reply != this->Open.end();) {
      if (!(*reply)->Done) {
        ++reply;
        continue;
      }
      bool good = (*reply)->Good() && (*reply)->StreamEnded();
      this->Good += good ? 1 : 0;
      if (!good) {
        this->Bad.push_back((*reply)->Error + " " + (*reply)->Body);
      }
      reply = this->Open.erase(reply);
    }
    while (this->Open.size() < 24) {
      std::string host = this->Hosts[this->Sent % this->Hosts.size()];
      ++this->Sent;
      if (host == except) {
        continue;
      }
      gsTestRequest request;
      request.Host = host;
      request.Template = this->Sent % 2 == 0 ? "gold" : "gold-once";
      request.Content = "s" + std::to_string(this->Sent) + " tokens=60";
      this->Open.push_back(this->System.Send(request));
    }
  }

  bool Finish()
  {
    return this->System.RunUntil([&] {
      bool done = true;
      for (gsReplyPtr const& reply : this->Open) {
        done = done && reply->Done;
      }
      return done;
    });
  }
};

} // namespace

TEST(PlannedStop, RollingRestartOfAllEntryHostsUnderLoad)
{
  gsTestPlan plan;
  plan.Hosts = 3;
  plan.Engines = 3;
  plan.EngineSlots = 32;
  plan.Slots = 16;
  plan.GapMs = 20;
  gsTestSystem system(plan);
  Streams streams{ system, system.HostNames(), {}, 0, 0, {} };
  for (std::string const& host : system.HostNames()) {
    ASSERT_TRUE(system.RunUntil([&] {
      streams.KeepUp("");
      return streams.Good % 30 >= 20 || streams.Good > 90;
    }));
    system.Terminate(host);
    ASSERT_TRUE(system.RunUntil(
      [&] {
        streams.KeepUp(host); // The balancer sends it nothing new.
        return !system.Running(host);
      },
      30));
    system.Restart(host);
    system.WaitReady(host);
  }
  ASSERT_TRUE(streams.Finish());
  streams.KeepUp("");
  EXPECT_GT(streams.Good, 60);
  EXPECT_TRUE(streams.Bad.empty()) << streams.Bad.front();
  for (std::string const& host : system.HostNames()) {
    for (auto const& line : system.Log(host, "stopped")) {
      EXPECT_EQ(gsLogFieldValue(line, "cut"), "0");
    }
  }
}

TEST(PlannedStop, RetiredUpstreamFinishesWhatRunsThere)
{
  gsTestPlan plan;
  plan.GapMs = 40;
  gsTestSystem system(plan);
  std::vector<gsReplyPtr> replies;
  for (int i = 0; i < 8; ++i) {
    gsTestRequest request;
    request.Host = system.HostNames()[0];
    request.Content = "r" + std::to_string(i) + " tokens=50";
    replies.push_back(system.Send(request));
  }
  ASSERT_TRUE(system.RunUntil([&] {
    int begun = 0;
    for (gsReplyPtr const& reply : replies) {
      begun += reply->First.count() > 0 ? 1 : 0;
    }
    return begun == 8;
  }));
  system.Change(system.HostNames()[0], { { "kind", "retire_upstream" },
                                         { "name", "north-engine0" } });
  ASSERT_TRUE(system.RunUntil([&] { return gsAllDone(replies); }));
  int onRetired = 0;
  for (gsReplyPtr const& reply : replies) {
    EXPECT_TRUE(reply->StreamEnded()) << reply->Body;
    onRetired += reply->Upstream == "north-engine0" ? 1 : 0;
  }
  EXPECT_GT(onRetired, 0);
}
