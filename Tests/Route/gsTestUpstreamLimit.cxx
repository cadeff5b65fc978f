/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Handling of requests above an upstream's rate limit. */
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsRouteBench.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;
using Script = gsScriptedUpstream::Script;

constexpr char const* NotExecuted = "Gradescale-Not-Executed: 1\r\n";

/** Answers with a status and names the current value of limit. */
Script AnswerWithLimit(std::string const& limit, unsigned status = 200,
                       std::string const& more = "")
{
  return [=, &limit](Connection const& to, gsScriptedRequest const& request) {
    std::string headers = more;
    if (!limit.empty()) {
      headers.append("Server-Limit: ").append(limit).append("\r\n");
    }
    to->Write(gsWholeAnswer(request, "body", status, headers));
  };
}

gsCallerSends RequestTo(std::string const& route, std::size_t number)
{
  gsCallerSends sends;
  sends.Target = "/" + route + "/x";
  sends.Id = "id-" + std::to_string(number);
  return sends;
}

/** Sends 20 requests a second. */
std::vector<gsCallerViewPtr> SendFor(gsRouteBench& bench, int seconds)
{
  constexpr int requestsPerSecond = 20;
  std::vector<gsCallerViewPtr> views;
  for (int i = 0; i < seconds * requestsPerSecond; ++i) {
    views.push_back(
      bench.Send(RequestTo("plain", static_cast<std::size_t>(i))));
    bench.RunFor(1.0 / requestsPerSecond);
  }
  return views;
}

/** Rate in force for an upstream; zero for none. */
double LimitOf(gsRouteBench& bench, std::string const& upstream)
{
  gsFleetRow const* row = gsFleetFind(bench.Fleet, upstream);
  return gsEffectiveRate(bench.Fleet.RateLimits, row->Hash, gsLoop::Now())
    .value_or(0);
}

} // namespace

// Guards against rejected attempts that do not consume tokens.
TEST(UpstreamLimit, AttemptsThatAreTurnedAwayTakeTokensToo)
{
  std::string const limit = "2";
  gsRouteBench bench;
  gsScriptedUpstream& limited =
    bench.Add("u1", AnswerWithLimit(limit, 503, NotExecuted));
  SendFor(bench, 3);
  EXPECT_LE(limited.Requests.size(), 1U + 2 * 3 + 2);
  EXPECT_GE(limited.Requests.size(), 5U);
}

TEST(UpstreamLimit, OtherUpstreamsServeWhatIsAboveIt)
{
  std::string const limit = "2";
  std::string const none;
  gsRouteBench bench;
  gsScriptedUpstream& limited = bench.Add("u1", AnswerWithLimit(limit));
  bench.Add("u2", AnswerWithLimit(none));
  for (gsCallerViewPtr const& view : SendFor(bench, 3)) {
    EXPECT_EQ(view->Status, 200U);
  }
  EXPECT_LE(limited.Requests.size(), 1U + 2 * 3 + 2);
}

// Guards against urgent requests that queue behind less urgent ones.
TEST(UpstreamLimit, TheMostUrgentRequestGetsTheNextToken)
{
  std::string const limit = "10";
  gsRouteBench bench;
  bench.Add("u1", AnswerWithLimit(limit));
  bench.SendAndWait(RequestTo("plain", 1));
  bench.SendAndWait(RequestTo("plain", 2));
  gsCallerViewPtr first = bench.Send(RequestTo("patient", 3));
  gsCallerViewPtr second = bench.Send(RequestTo("patient", 4));
  gsCallerViewPtr urgent = bench.Send(RequestTo("plain", 5));
  ASSERT_TRUE(bench.RunUntil([&] { return urgent->Done && second->Done; }));
  EXPECT_EQ(urgent->Status, 200U);
  EXPECT_FALSE(first->Done && first->Ended < urgent->Ended);
  EXPECT_LE(urgent->Ended, second->Ended);
}

// Guards against queueing requests that cannot get a token in time.
TEST(UpstreamLimit, RequestsThatWouldWaitTooLongAreRefusedAtOnce)
{
  std::string const limit = "0.5";
  gsRouteBench bench;
  bench.Add("u1", AnswerWithLimit(limit));
  bench.SendAndWait(RequestTo("plain", 1));
  bench.SendAndWait(RequestTo("plain", 2));
  gsTime sent = gsLoop::Now();
  gsCallerViewPtr refused = bench.SendAndWait(RequestTo("plain", 3));
  EXPECT_EQ(refused->Status, 503U);
  EXPECT_LT(refused->Ended - sent, gsMilliseconds(100));
  EXPECT_GT(std::stod(refused->Header("retry-after")), 0.5);
}

TEST(UpstreamLimit, UnreadableTextNeitherSetsNorEndsOne)
{
  std::string limit = "few";
  gsRouteBench bench;
  bench.Add("u1", AnswerWithLimit(limit));
  bench.SendAndWait(RequestTo("plain", 1));
  EXPECT_EQ(LimitOf(bench, "u1"), 0);
  limit = "50";
  bench.SendAndWait(RequestTo("plain", 2));
  EXPECT_EQ(LimitOf(bench, "u1"), 50);
  limit = "few";
  bench.SendAndWait(RequestTo("plain", 3));
  EXPECT_EQ(LimitOf(bench, "u1"), 50);
  limit.clear();
  bench.SendAndWait(RequestTo("plain", 4));
  bench.RunFor(3.1);
  EXPECT_EQ(LimitOf(bench, "u1"), 0);
}
