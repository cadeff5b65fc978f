/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What may not be repeated runs at most once, and a key whose request was not
 * run is free again.
 */
#include <gtest/gtest.h>

#include "gsTestSystem.h"

namespace {

gsTestPlan OncePlan()
{
  gsTestPlan plan;
  plan.Halls = { "north", "south" };
  plan.Hosts = 2;
  plan.Engines = 2;
  plan.Plains = 1;
  return plan;
}

gsTestRequest Keyed(std::string const& host, std::string const& key)
{
  gsTestRequest request;
  request.Host = host;
  request.Template = "gold-once";
  request.Content = "paid " + key;
  request.Idempotency = key;
  return request;
}

} // namespace

TEST(AtMostOnce, OneKeyOnAllHostsAtATimeRunsOnce)
{
  gsTestSystem system(OncePlan());
  for (int round = 0; round < 20; ++round) {
    std::string key = "k" + std::to_string(round);
    std::vector<gsReplyPtr> replies;
    for (std::string const& host : system.HostNames()) {
      replies.push_back(system.Send(Keyed(host, key)));
      replies.push_back(system.Send(Keyed(host, key)));
    }
    ASSERT_TRUE(system.RunUntil([&] { return gsAllDone(replies); }));
    int good = 0;
    for (gsReplyPtr const& reply : replies) {
      good += reply->Good() ? 1 : 0;
      EXPECT_TRUE(reply->Good() || reply->Status == 409) << reply->Status;
      EXPECT_NE(reply->Ran, "no");
    }
    EXPECT_EQ(good, 1);
    EXPECT_EQ(system.Started("paid " + key), 1);
  }
}

TEST(AtMostOnce, LostPlatformAnswersAreSettledByReadingBack)
{
  gsTestSystem system(OncePlan());
  for (int round = 0; round < 10; ++round) {
    std::string key = "lost" + std::to_string(round);
    system.Platform({ { "lose_answers", 1 + round % 2 } });
    std::vector<gsReplyPtr> replies;
    for (std::string const& host : system.HostNames()) {
      replies.push_back(system.Send(Keyed(host, key)));
    }
    ASSERT_TRUE(system.RunUntil([&] { return gsAllDone(replies); }));
    int good = 0;
    for (gsReplyPtr const& reply : replies) {
      good += reply->Good() ? 1 : 0;
    }
    EXPECT_EQ(good, 1);
    EXPECT_EQ(system.Started("paid " + key), 1);
  }
}

TEST(AtMostOnce, PlatformOutIsRefusedAtOnceAndTheKeyStaysFree)
{
  gsTestSystem system(OncePlan());
  std::string host = system.HostNames()[0];
  system.Platform({ { "mode", "down" } });
  gsReplyPtr refused = system.SendAndWait(Keyed(host, "free"));
  EXPECT_EQ(refused->Status, 503U);
  EXPECT_EQ(refused->Ran, "no");
  EXPECT_FALSE(refused->RetryAfter.empty());
  EXPECT_LT(gsToSeconds(refused->Ended - refused->Sent), 2.0);
  EXPECT_EQ(system.Started("paid free"), 0);
  // Requests without a key need no platform.
  gsTestRequest plain = Keyed(host, "");
  plain.Content = "no key";
  EXPECT_TRUE(system.SendAndWait(plain)->Good());
  system.Platform({ { "mode", "up" } });
  gsReplyPtr repeated;
  ASSERT_TRUE(system.RunUntil([&] {
    if (!repeated || (repeated->Done && !repeated->Good())) {
      repeated = system.Send(Keyed(host, "free"));
    }
    return repeated->Good();
  }));
  EXPECT_EQ(system.Started("paid free"), 1);
}

TEST(AtMostOnce, SlowPlatformWhoseInsertComesLateFreesTheKeyAgain)
{
  gsTestSystem system(OncePlan());
  std::string host = system.HostNames()[0];
  // The insert takes effect long after its answer was given up; what follows
  // it, the reading back and the first delete, is faster.
  system.Platform({ { "delay_ms", 1300 } });
  gsReplyPtr refused = system.Send(Keyed(host, "late"));
  system.RunFor(0.2);
  system.Platform({ { "delay_ms", 0 } });
  ASSERT_TRUE(system.RunUntil([&] { return refused->Done; }));
  EXPECT_EQ(refused->Status, 503U);
  EXPECT_EQ(refused->Ran, "no");
  system.RunFor(1.5);
  gsReplyPtr repeated;
  ASSERT_TRUE(system.RunUntil([&] {
    if (!repeated || (repeated->Done && !repeated->Good())) {
      repeated = system.Send(Keyed(host, "late"));
    }
    return repeated->Good();
  }));
  EXPECT_EQ(system.Started("paid late"), 1);
}

TEST(AtMostOnce, HostKilledOrFrozenWhileItRunsAKeyedRequest)
{
  gsTestPlan plan = OncePlan();
  plan.GapMs = 60;
  gsTestSystem system(plan);
  std::vector<std::string> hosts = system.HostNames();
  gsReplyPtr killed = system.Send(Keyed(hosts[0], "killed"));
  gsReplyPtr frozen = system.Send(Keyed(hosts[1], "frozen"));
  ASSERT_TRUE(system.RunUntil(
    [&] { return killed->First.count() > 0 && frozen->First.count() > 0; }));
  system.Kill(hosts[0]);
  system.Freeze(hosts[1]);
  for (int round = 0; round < 3; ++round) {
    for (std::string const key : { "killed", "frozen" }) {
      gsReplyPtr repeated = system.SendAndWait(Keyed(hosts[2], key));
      EXPECT_EQ(repeated->Status, 409U);
      EXPECT_NE(repeated->Ran, "no");
    }
    system.RunFor(1);
  }
  system.Thaw(hosts[1]);
  system.RunUntil([&] { return frozen->Done; });
  EXPECT_EQ(system.Started("paid killed"), 1);
  EXPECT_EQ(system.Started("paid frozen"), 1);
}

TEST(AtMostOnce, UnkeyedOverConnectionsThatBreakAtEachStage)
{
  gsTestPlan plan = OncePlan();
  plan.Halls = { "north" };
  gsTestSystem system(plan);
  std::string host = system.HostNames()[0];
  int unknown = 0;
  for (int bytes = 1; bytes < 600; bytes += 60) {
    system.Links({ "up:north-engine*" }, { { "break_after", bytes } });
    gsTestRequest request;
    request.Host = host;
    request.Template = "gold-once";
    request.Content = "break" + std::to_string(bytes);
    gsReplyPtr reply = system.SendAndWait(request);
    int started = system.Started(request.Content);
    EXPECT_LE(started, 1);
    if (reply->Ran == "no") {
      EXPECT_EQ(started, 0);
    }
    unknown += reply->Ran == "unknown" ? 1 : 0;
  }
  EXPECT_GT(unknown, 0);
}

TEST(AtMostOnce, RefusedAfterTheClaimFreesTheKey)
{
  gsTestPlan plan = OncePlan();
  plan.Halls = { "north" };
  plan.DirectUpstreams = true;
  plan.Template = { { "max_wait_ms", 2000 } };
  gsTestSystem system(plan);
  std::string host = system.HostNames()[0];
  // The engines' ports refuse connections: not a byte can be sent.
  system.Kill("north-engine0");
  system.Kill("north-engine1");
  gsReplyPtr refused = system.SendAndWait(Keyed(host, "again"));
  EXPECT_GE(refused->Status, 500U);
  EXPECT_EQ(refused->Ran, "no");
  system.Restart("north-engine0");
  system.Restart("north-engine1");
  gsReplyPtr repeated;
  ASSERT_TRUE(system.RunUntil([&] {
    if (!repeated || (repeated->Done && !repeated->Good())) {
      repeated = system.Send(Keyed(host, "again"));
    }
    return repeated->Good();
  }));
  EXPECT_EQ(system.Started("paid again"), 1);
}
