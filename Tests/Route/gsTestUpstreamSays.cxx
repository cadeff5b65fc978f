/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What a host does once an upstream has said in an answer that it leaves, or
 * has asked for rest.
 *
 * Seen: requests reached an upstream two to three seconds after its answers
 * had said that it leaves, and an upstream that had asked a host for three
 * seconds of rest got seven requests from it in that time.
 * Course: the platform took the upstream's row with its leaving only 13 s
 * later. Until then the host chose it as before, also by its own open streams.
 * An upstream that turned a request away was taken for full for half a second,
 * at a price: urgent requests went there at once, others 537 ms later.
 * Cause: of an answer's head a host read whether the request had run, and
 * nothing of what the upstream said of itself.
 * Proof: the heads say it (upstream_says in the log) before each of these
 * choices, and the tests below need nothing but such a head. They failed on a
 * host that did not heed it.
 */
#include <string>

#include <gtest/gtest.h>

#include "gsRouteBench.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;
using Script = gsScriptedUpstream::Script;

char const* const SaysLeaving = "Server-Leaving: 1\r\n";

Script Answers(unsigned status, std::string const& headers)
{
  return [=](Connection const& to, gsScriptedRequest const& request) {
    to->Write(gsWholeAnswer(request, "body", status, headers));
  };
}

Script Whole()
{
  return Answers(200, "");
}

Script AsksForRest(std::string const& value)
{
  return Answers(503, "Gradescale-Not-Executed: 1\r\nRetry-After: " + value +
                        "\r\n");
}

/** Streams that run on; other requests are answered whole. */
Script RunsStreams(std::string const& headers)
{
  return [=](Connection const& to, gsScriptedRequest const& request) {
    if (request.Target.rfind("/stream/", 0) != 0) {
      to->Write(gsWholeAnswer(request, "body", 200, headers));
      return;
    }
    std::string head = gsStreamHead(request);
    head.insert(head.size() - 2, headers);
    to->Write(head + gsChunk(gsEvent(1, "a")));
  };
}

gsCallerSends On(std::string const& route, std::size_t number = 0)
{
  gsCallerSends sends;
  sends.Target = "/" + route + "/x";
  sends.Id = "id-" + std::to_string(number);
  return sends;
}

/** Sends until the upstream has got a request more. */
void SendUntilAsked(gsRouteBench& bench, gsScriptedUpstream const& upstream,
                    std::string const& route = "plain")
{
  std::size_t before = upstream.Requests.size();
  for (std::size_t i = 0; i < 100 && upstream.Requests.size() == before; ++i) {
    bench.SendAndWait(On(route, i));
  }
  ASSERT_GT(upstream.Requests.size(), before);
}

/** How many of 40 requests it gets. */
std::size_t GetsOfMany(gsRouteBench& bench, gsScriptedUpstream const& upstream)
{
  std::size_t before = upstream.Requests.size();
  for (std::size_t i = 0; i < 40; ++i) {
    bench.SendAndWait(On("plain", i));
  }
  return upstream.Requests.size() - before;
}

} // namespace

TEST(UpstreamSays, WhatLeavesByItsOwnWordGetsNothingMore)
{
  for (unsigned status : { 200U, 404U, 500U }) {
    gsRouteBench bench;
    gsScriptedUpstream& leaves = bench.Add("u1", Answers(status, SaysLeaving));
    bench.Add("u2", Whole());
    SendUntilAsked(bench, leaves);
    EXPECT_EQ(GetsOfMany(bench, leaves), 0U) << status;
  }
}

TEST(UpstreamSays, WhatIsTurnedAwayByAnUpstreamThatLeavesTellsItToo)
{
  gsRouteBench bench;
  gsScriptedUpstream& leaves = bench.Add(
    "u1",
    Answers(503, std::string("Gradescale-Not-Executed: 1\r\n") + SaysLeaving));
  bench.Add("u2", Whole());
  SendUntilAsked(bench, leaves);
  bench.RunFor(0.7); // It is not taken for full any more.
  EXPECT_EQ(GetsOfMany(bench, leaves), 0U);
}

// The platform tells late what it was told before, or the row goes for a
// while since the platform was away.
TEST(UpstreamSays, AnOlderRowTakesNoLeavingBack)
{
  gsRouteBench bench;
  gsScriptedUpstream& leaves = bench.Add("u1", Answers(200, SaysLeaving));
  bench.Add("u2", Whole());
  SendUntilAsked(bench, leaves);
  bench.List();
  EXPECT_EQ(GetsOfMany(bench, leaves), 0U);
  gsFleetReplaceListing(bench.Fleet, {});
  bench.List();
  EXPECT_EQ(GetsOfMany(bench, leaves), 0U);
}

TEST(UpstreamSays, AStreamsHeadTellsItWhileTheStreamRuns)
{
  gsRouteBench bench;
  gsScriptedUpstream& leaves = bench.Add("u1", RunsStreams(SaysLeaving));
  gsScriptedUpstream& stays = bench.Add("u2", RunsStreams(""));
  for (std::size_t i = 100; i < 200 && leaves.Requests.empty(); ++i) {
    gsCallerViewPtr stream = bench.Send(On("stream", i));
    bench.RunUntil([&] { return stream->Status != 0; });
  }
  ASSERT_EQ(leaves.Requests.size(), 1U);
  // As many run at the other one, so that both are as dear.
  leaves.Follow(Whole());
  for (std::size_t i = 200; stays.Requests.size() < 4; ++i) {
    bench.Send(On("stream", i));
    bench.RunFor(0.01);
  }
  stays.Follow(Whole());
  EXPECT_EQ(GetsOfMany(bench, leaves), 0U);
}

// Nothing is sent in the hope that it is taken.
TEST(UpstreamSays, TheLastOneLeavingGetsNothingAndCallersAreToldSo)
{
  gsRouteBench bench;
  gsScriptedUpstream& leaves = bench.Add("u1", Answers(200, SaysLeaving));
  bench.SendAndWait(On("plain"));
  gsCallerViewPtr refused = bench.SendAndWait(On("plain", 1));
  EXPECT_EQ(refused->Status, 503U);
  EXPECT_NE(refused->Header("retry-after"), "");
  EXPECT_EQ(leaves.Requests.size(), 1U);
}

TEST(UpstreamSays, ARestIsKeptAndThenOver)
{
  gsRouteBench bench;
  gsTime asked{};
  gsTime cameBack{};
  gsScriptedUpstream& rests = bench.Add(
    "u1", [&](Connection const& to, gsScriptedRequest const& request) {
      bool first = asked.count() == 0;
      (first ? asked : cameBack) = gsLoop::Now();
      (first ? AsksForRest("1.2") : Whole())(to, request);
    });
  bench.Add("u2", Whole());
  SendUntilAsked(bench, rests);
  gsTime patience = gsLoop::Now() + gsSeconds(10);
  while (cameBack.count() == 0 && gsLoop::Now() < patience) {
    GetsOfMany(bench, rests);
    bench.RunFor(0.02);
  }
  EXPECT_GE(cameBack - asked, gsMilliseconds(1200));
}

// Also where all are as dear: an urgent request takes no upstream that rests
// for one that is only full.
TEST(UpstreamSays, WhileAllRestCallersAreToldWhenToComeBack)
{
  gsRouteBench bench;
  gsScriptedUpstream& first = bench.Add("u1", AsksForRest("3"));
  gsScriptedUpstream& second = bench.Add("u2", AsksForRest("3.5"));
  SendUntilAsked(bench, first);
  if (second.Requests.empty()) {
    SendUntilAsked(bench, second);
  }
  gsTime since = gsLoop::Now(); // Both rest, the first for less than 3 s.
  std::size_t before = bench.Arrivals();
  for (std::size_t i = 0; i < 20; ++i) {
    gsCallerViewPtr refused = bench.SendAndWait(On("safe", 200 + i));
    ASSERT_EQ(refused->Status, 503U);
    double seconds = std::stod(refused->Header("retry-after"));
    EXPECT_GT(seconds + gsToSeconds(gsLoop::Now() - since), 2.0);
    EXPECT_LT(seconds, 4.0); // The caller's own time.
  }
  EXPECT_EQ(bench.Arrivals(), before);
}

// Bytes of a stream that runs there end an avoidance, and no rest. The other
// upstream runs more streams, so that the one that rests is the cheaper one.
TEST(UpstreamSays, AStreamThatRunsThereEndsNoRest)
{
  gsRouteBench bench;
  Connection stream;
  gsScriptedUpstream& rests = bench.Add(
    "u1", [&stream](Connection const& to, gsScriptedRequest const& request) {
      stream = to;
      to->Write(gsStreamHead(request) + gsChunk(gsEvent(1, "a")));
    });
  bench.Send(On("stream", 300));
  ASSERT_TRUE(bench.RunUntil([&] { return stream != nullptr; }));
  rests.Follow(AsksForRest("5"));
  bench.SendAndWait(On("plain", 301));
  ASSERT_EQ(rests.Requests.size(), 2U);
  gsScriptedUpstream& other = bench.Add("u2", RunsStreams(""));
  for (std::size_t i = 302; i < 306; ++i) {
    bench.Send(On("stream", i));
    bench.RunFor(0.02);
  }
  other.Follow(Whole());
  bench.RunFor(0.7); // It is not taken for full any more.
  stream->Write(gsChunk(gsEvent(2, "b")));
  bench.RunFor(0.05);
  EXPECT_EQ(GetsOfMany(bench, rests), 0U);
}

// A rest is no failure: what has rested is chosen as any other.
TEST(UpstreamSays, WhatHasRestedIsNotPutBehindOthers)
{
  gsRouteBench bench;
  gsScriptedUpstream& rests = bench.Add("u1", AsksForRest("0.3"));
  bench.Add("u2", Whole());
  SendUntilAsked(bench, rests);
  rests.Follow(Whole());
  bench.RunFor(1);
  SendUntilAsked(bench, rests);
  std::size_t gets = GetsOfMany(bench, rests);
  EXPECT_GT(gets, 5U);
  EXPECT_LT(gets, 35U);
}
