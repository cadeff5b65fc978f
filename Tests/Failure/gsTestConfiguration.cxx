/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A configuration that was accepted is in force on every live host and never
 * goes back.
 */
#include <gtest/gtest.h>

#include "gsTestSystem.h"

namespace {

gsTestPlan ConfigPlan()
{
  gsTestPlan plan;
  plan.Halls = { "north", "south" };
  plan.Hosts = 2;
  plan.Engines = 1;
  return plan;
}

gsJson SetShare(std::string const& id, double share)
{
  return { { "id", id },
           { "kind", "set_organisation" },
           { "organisation",
             { { "name", "org-" + id }, { "share", share } } } };
}

/** No host's log may show a lower version after a higher one. */
void CheckNeverBack(gsTestSystem& system)
{
  for (std::string const& host : system.HostNames()) {
    std::uint64_t last = 0;
    for (auto const& line : system.Log(host, "config_in_force")) {
      std::uint64_t version =
        std::stoull(std::string(gsLogFieldValue(line, "version")));
      EXPECT_GE(version, last) << host;
      last = version;
    }
  }
}

/** Whether every host named has the version in force. */
bool InForce(gsTestSystem& system, std::vector<std::string> const& hosts,
             std::uint64_t version)
{
  for (std::string const& host : hosts) {
    if (system.VersionOf(host) < version) {
      return false;
    }
  }
  return true;
}

} // namespace

TEST(Configuration, AcceptedIsInForceOnEveryHost)
{
  gsTestSystem system(ConfigPlan());
  for (int i = 0; i < 10; ++i) {
    gsTime begin = gsLoop::Now();
    std::uint64_t version =
      system.Change(system.HostNames()[static_cast<std::size_t>(i) % 4],
                    SetShare("c" + std::to_string(i), 1 + i));
    EXPECT_TRUE(InForce(system, system.HostNames(), version));
    EXPECT_LT(gsToSeconds(gsLoop::Now() - begin), 11);
  }
  CheckNeverBack(system);
}

TEST(Configuration, RacingOperatorsBothPassOrOneGetsAConflict)
{
  gsTestSystem system(ConfigPlan());
  std::vector<gsReplyPtr> replies;
  for (std::string const& host : system.HostNames()) {
    for (int i = 0; i < 3; ++i) {
      replies.push_back(
        system.OperateLater(host, "POST", "/v1/changes",
                            SetShare(host + "." + std::to_string(i), 2)));
    }
  }
  for (std::string const& host : system.HostNames()) {
    gsJson change = SetShare("same", 3);
    change["id"] = "same-" + host;
    change["expected_revision"] = 0;
    replies.push_back(
      system.OperateLater(host, "POST", "/v1/changes", change));
  }
  ASSERT_TRUE(system.RunUntil([&] { return gsAllDone(replies); }));
  int conflicts = 0;
  for (gsReplyPtr const& reply : replies) {
    conflicts += reply->Status == 409 ? 1 : 0;
    EXPECT_TRUE(reply->Status == 200 || reply->Status == 202 ||
                reply->Status == 409)
      << reply->Status << reply->Body;
  }
  EXPECT_EQ(conflicts, 3);
  CheckNeverBack(system);
}

TEST(Configuration, ALostAnswerIsSettledAndTheChangeIsStoredOnce)
{
  gsTestSystem system(ConfigPlan());
  std::uint64_t before = system.VersionOf("north-a");
  system.Platform({ { "lose_answers", 2 } });
  std::uint64_t version = system.Change("north-a", SetShare("lost", 2));
  EXPECT_EQ(version, before + 1);
  // The operator who saw no answer asks again with the same id.
  EXPECT_EQ(system.Change("south-b", SetShare("lost", 2)), version);
}

TEST(Configuration, PlatformOutIsSaidAndNothingIsHalfStored)
{
  gsTestSystem system(ConfigPlan());
  std::uint64_t before = system.VersionOf("north-a");
  system.Platform({ { "mode", "down" } });
  gsJson answer =
    system.Operate("north-a", "POST", "/v1/changes", SetShare("out", 2));
  EXPECT_EQ(answer["error"]["code"], "not_known");
  EXPECT_EQ(system.VersionOf("north-a"), before);
  system.Platform({ { "mode", "up" } });
  EXPECT_EQ(system.Change("north-a", SetShare("out", 2)), before + 1);
}

TEST(Configuration, AHostThatFreezesIsMissingAndHasItWhenItWakes)
{
  gsTestSystem system(ConfigPlan());
  system.Freeze("south-b");
  gsJson state =
    system.Operate("north-a", "POST", "/v1/changes", SetShare("frozen", 2));
  ASSERT_EQ(state["state"], "stored");
  EXPECT_EQ(state["missing"].dump().find("south-b") == std::string::npos,
            false);
  system.Thaw("south-b");
  std::uint64_t version = state["version"].get<std::uint64_t>();
  EXPECT_EQ(system.Change("north-a", SetShare("frozen", 2)), version);
  EXPECT_TRUE(InForce(system, system.HostNames(), version));
  CheckNeverBack(system);
}

TEST(Configuration, AHallThatIsCutGetsItWhenItComesBack)
{
  gsTestSystem system(ConfigPlan());
  system.BetweenHalls("north", "south", "cut");
  system.Links({ "platform:south-a", "platform:south-b" },
               { { "mode", "cut" } });
  gsJson state =
    system.Operate("north-a", "POST", "/v1/changes", SetShare("cut", 2));
  ASSERT_TRUE(state.contains("version")) << state.dump();
  EXPECT_EQ(state["state"], "stored");
  gsTestRequest request;
  request.Host = "south-a";
  request.Content = "still served";
  EXPECT_TRUE(system.SendAndWait(request)->Good());
  // A host of the cut hall that restarts takes its peers' configuration.
  system.Kill("south-b");
  system.Restart("south-b");
  system.WaitReady("south-b");
  system.BetweenHalls("north", "south", "pass");
  system.Links({ "platform:south-a", "platform:south-b" },
               { { "mode", "pass" } });
  std::uint64_t version = state["version"].get<std::uint64_t>();
  EXPECT_TRUE(system.RunUntil(
    [&] { return InForce(system, system.HostNames(), version); }, 30));
  CheckNeverBack(system);
}

TEST(Configuration, AHostThatStartsWhileThePlatformIsOutTakesItsPeers)
{
  gsTestSystem system(ConfigPlan());
  std::uint64_t version = system.Change("north-a", SetShare("first", 2));
  system.Platform({ { "mode", "down" } });
  system.Kill("north-b");
  system.Restart("north-b");
  system.WaitReady("north-b");
  EXPECT_EQ(system.VersionOf("north-b"), version);
  gsTestRequest request;
  request.Host = "north-b";
  request.Content = "served";
  EXPECT_TRUE(system.SendAndWait(request)->Good());
}
