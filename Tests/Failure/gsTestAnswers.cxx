/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Each caller gets the whole answer to its own request, or sees that it is
 * not whole; and "not run" is true.
 */
#include <gtest/gtest.h>

#include "gsTestSystem.h"

namespace {

constexpr int Requests = 2000;
constexpr int Tokens = 6;

std::string Expected(std::string const& content)
{
  std::string text;
  for (int i = 0; i < Tokens; ++i) {
    text += content + "#" + std::to_string(i) + " ";
  }
  return text;
}

struct Sent
{
  std::string Content;
  bool Stream = true;
  gsReplyPtr Reply;
};

std::vector<Sent> SendMany(gsTestSystem& system, int count,
                           std::string const& mark)
{
  std::vector<Sent> sent;
  std::vector<std::string> hosts = system.HostNames();
  for (int i = 0; i < count; ++i) {
    gsTestRequest request;
    request.Host = hosts[static_cast<std::size_t>(i) % hosts.size()];
    request.Content = mark + std::to_string(i) + " tokens=6";
    request.Template = i % 3 == 0 ? "gold-once" : "gold";
    request.Stream = i % 2 == 0;
    sent.push_back({ request.Content, request.Stream, system.Send(request) });
  }
  return sent;
}

bool AllDone(std::vector<Sent> const& sent)
{
  for (Sent const& one : sent) {
    if (!one.Reply->Done) {
      return false;
    }
  }
  return true;
}

/** Own bytes only; whole when it looks whole; "not run" as accounted. */
int CheckAll(gsTestSystem& system, std::vector<Sent> const& sent)
{
  std::map<std::string, int> started;
  for (std::string const& upstream : system.UpstreamNames()) {
    gsJson runs = system.Account(upstream);
    for (auto const& [content, row] : runs.items()) {
      started[content] += row["started"].get<int>();
    }
  }
  int good = 0;
  for (Sent const& one : sent) {
    gsReply const& reply = *one.Reply;
    std::string content = reply.Content();
    // The transfer's own end makes an answer look whole, to any client.
    if (reply.Whole && reply.Status == 200) {
      ++good;
      EXPECT_EQ(content, Expected(one.Content));
      EXPECT_TRUE(!one.Stream || reply.StreamEnded());
    } else if (reply.Status == 200) {
      EXPECT_EQ(Expected(one.Content).compare(0, content.size(), content), 0)
        << content;
    }
    if (reply.Ran == "no") {
      EXPECT_EQ(started[one.Content], 0) << one.Content;
    }
    if (one.Content.find("once") != std::string::npos) {
      EXPECT_LE(started[one.Content], 1);
    }
  }
  return good;
}

gsTestPlan AnswerPlan()
{
  gsTestPlan plan;
  plan.Hosts = 2;
  plan.Engines = 4;
  plan.EngineSlots = 64;
  plan.Slots = 32;
  plan.GapMs = 2;
  plan.FirstMs = 2;
  plan.Queue = { { "limit", 10000 } };
  return plan;
}

} // namespace

TEST(Answers, ThousandsAtATimeAreOwnAndWhole)
{
  gsTestSystem system(AnswerPlan());
  std::vector<Sent> sent = SendMany(system, Requests, "plain");
  ASSERT_TRUE(system.RunUntil([&] { return AllDone(sent); }, 60));
  EXPECT_EQ(CheckAll(system, sent), Requests);
}

class FaultyAnswers : public testing::TestWithParam<char const*>
{};

TEST_P(FaultyAnswers, AreNeverAnothersNorCutAnswersThatLookWhole)
{
  gsTestSystem system(AnswerPlan());
  std::vector<std::string> upstreams = system.UpstreamNames();
  system.Control(upstreams[0], { { "mode", GetParam() } });
  system.Control(upstreams[1], { { "mode", GetParam() }, { "gap_ms", 40 } });
  std::vector<Sent> sent = SendMany(system, 400, GetParam());
  ASSERT_TRUE(system.RunUntil([&] { return AllDone(sent); }, 60));
  EXPECT_GT(CheckAll(system, sent), 100);
  if (std::string("wrong_id") != GetParam()) {
    return;
  }
  // An answer that names another request is not relayed, whatever it says.
  for (Sent const& one : sent) {
    EXPECT_FALSE(one.Reply->Good() && (one.Reply->Upstream == upstreams[0] ||
                                       one.Reply->Upstream == upstreams[1]));
  }
}

INSTANTIATE_TEST_SUITE_P(Modes, FaultyAnswers,
                         testing::Values("cut", "error", "stall", "twice",
                                         "wrong_id", "no_end"));

TEST(Answers, NotRunIsTrueThroughKillsFreezesAndBrokenConnections)
{
  gsTestPlan plan = AnswerPlan();
  plan.Hosts = 3;
  plan.Queue = { { "limit", 60 } };
  gsTestSystem system(plan);
  std::vector<std::string> upstreams = system.UpstreamNames();
  std::vector<std::string> hosts = system.HostNames();
  std::string dispatcher = system.DispatcherOf(hosts[0], "model@north");
  std::vector<Sent> sent = SendMany(system, 300, "first");
  system.Kill(upstreams[0]);
  system.Links({ "up:" + upstreams[1] }, { { "break_after", 3000 } });
  system.Links({ "up:" + upstreams[2] }, { { "mode", "cut" } });
  for (Sent& one : SendMany(system, 200, "second")) {
    sent.push_back(one);
  }
  system.Freeze(dispatcher);
  for (Sent& one : SendMany(system, 100, "third")) {
    sent.push_back(one);
  }
  // Past every lease and heartbeat limit; the survivors serve meanwhile.
  system.RunFor(3);
  system.Thaw(dispatcher);
  system.Restart(upstreams[0]);
  system.Links({ "up:*" }, { { "mode", "pass" } });
  ASSERT_TRUE(system.RunUntil([&] { return AllDone(sent); }, 60));
  CheckAll(system, sent);
}
