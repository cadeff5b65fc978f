/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Higher tiers are never refused for lower ones, and no tier starves.
 */
#include <gtest/gtest.h>

#include "gsTestSystem.h"

namespace {

/** Each refusal in the decision logs must not have favoured a lower tier. */
int CheckRefusals(gsTestSystem& system)
{
  int refusals = 0;
  for (std::string const& host : system.HostNames()) {
    for (auto const& line : system.Log(host, "refuse")) {
      ++refusals;
      std::string_view cause = gsLogFieldValue(line, "cause");
      if (cause == "expired") {
        EXPECT_EQ(gsLogFieldValue(line, "lower_granted"), "0") << host;
      } else if (cause != "no_upstream") {
        EXPECT_EQ(gsLogFieldValue(line, "lower_waiting"), "0")
          << host << " " << cause;
      }
    }
  }
  return refusals;
}

gsTestPlan BurstPlan()
{
  gsTestPlan plan;
  plan.Hosts = 3;
  plan.Slots = 2;
  plan.GapMs = 10;
  plan.Queue = { { "limit", 40 } };
  plan.Tiers =
    gsJson::array({ { { "name", "gold" }, { "age_limit_ms", 300 } },
                    { { "name", "silver" }, { "age_limit_ms", 300 } },
                    { { "name", "bronze" }, { "age_limit_ms", 300 } } });
  plan.Template = { { "max_wait_ms", 3000 } };
  return plan;
}

std::vector<gsReplyPtr> Burst(gsTestSystem& system,
                              std::vector<std::string> const& tiers, int count)
{
  std::vector<gsReplyPtr> replies;
  std::vector<std::string> hosts = system.HostNames();
  for (int i = 0; i < count; ++i) {
    gsTestRequest request;
    request.Host = hosts[static_cast<std::size_t>(i) % hosts.size()];
    request.Template = tiers[static_cast<std::size_t>(i) % tiers.size()];
    request.Content = request.Template + std::to_string(i) + " tokens=10";
    replies.push_back(system.Send(request));
  }
  return replies;
}

} // namespace

TEST(Tiers, BurstOfAllClassesRefusesTheLowestOnly)
{
  gsTestSystem system(BurstPlan());
  std::vector<gsReplyPtr> replies =
    Burst(system, { "bronze", "silver", "gold" }, 150);
  ASSERT_TRUE(system.RunUntil([&] { return gsAllDone(replies); }, 60));
  EXPECT_GT(CheckRefusals(system), 20);
  for (gsReplyPtr const& reply : replies) {
    if (reply->Status != 200) {
      EXPECT_EQ(reply->Status, 503U);
      EXPECT_EQ(reply->Ran, "no");
      EXPECT_FALSE(reply->RetryAfter.empty());
    }
  }
}

TEST(Tiers, BurstOfOneClassRefusesNobodyAboveIt)
{
  gsTestSystem system(BurstPlan());
  std::vector<gsReplyPtr> low = Burst(system, { "bronze" }, 60);
  std::vector<gsReplyPtr> high = Burst(system, { "gold" }, 20);
  ASSERT_TRUE(
    system.RunUntil([&] { return gsAllDone(low) && gsAllDone(high); }, 60));
  CheckRefusals(system);
  for (gsReplyPtr const& reply : high) {
    EXPECT_TRUE(reply->Good()) << reply->Status << " " << reply->Body;
  }
}

TEST(Tiers, BurstThroughADispatchersDeathKeepsTheOrder)
{
  gsTestSystem system(BurstPlan());
  std::vector<gsReplyPtr> replies =
    Burst(system, { "bronze", "silver", "gold" }, 120);
  std::string dispatcher =
    system.DispatcherOf(system.HostNames()[0], "model@north");
  system.Kill(dispatcher);
  ASSERT_TRUE(system.RunUntil([&] { return gsAllDone(replies); }, 60));
  CheckRefusals(system);
}

TEST(Tiers, NoTierStarvesUnderAnEndlessStreamOfTheHighest)
{
  gsTestPlan plan = BurstPlan();
  plan.Template = { { "max_wait_ms", 20000 } };
  gsTestSystem system(plan);
  std::vector<std::string> hosts = system.HostNames();
  std::vector<gsReplyPtr> gold;
  std::uint64_t sent = 0;
  auto keepUp = [&] {
    gold.erase(
      std::remove_if(gold.begin(), gold.end(),
                     [](gsReplyPtr const& reply) { return reply->Done; }),
      gold.end());
    while (gold.size() < 16) {
      gsTestRequest request;
      request.Host = hosts[sent % hosts.size()];
      request.Content = "gold" + std::to_string(sent++) + " tokens=10";
      gold.push_back(system.Send(request));
    }
  };
  keepUp();
  std::vector<gsReplyPtr> low = Burst(system, { "silver", "bronze" }, 8);
  // Age limit 0.3 s, then one reserved slot: at most 8 requests of at most
  // 0.2 s each are before the last one. The bound leaves room for the machine.
  constexpr double bound = 0.3 + 8 * 0.2 + 3;
  bool served = system.RunUntil(
    [&] {
      keepUp();
      return gsAllDone(low);
    },
    bound);
  EXPECT_TRUE(served);
  for (gsReplyPtr const& reply : low) {
    EXPECT_TRUE(reply->Good()) << reply->Status << " " << reply->Body;
  }
  CheckRefusals(system);
}
