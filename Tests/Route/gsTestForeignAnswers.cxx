/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Answers that arrive in the place of another one, whole or in part, when
 * upstreams answer twice: what callers get, and which connections are used
 * again afterwards.
 */
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsRouteBench.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;

constexpr unsigned Failed = 500;

gsCallerSends On(std::string const& route, std::string const& id)
{
  gsCallerSends sends;
  sends.Target = "/" + route + "/x";
  sends.Id = id;
  return sends;
}

/** An answer to the request that was sent before this one. */
std::string Stale(gsScriptedRequest request, unsigned status)
{
  request.Headers["gradescale-attempt-id"] = "earlier";
  return gsWholeAnswer(request, "answer of the request before", status,
                       "Content-Type: application/json\r\n");
}

/** Writes bytes a while after those that were written before. */
void WriteLater(gsRouteBench& bench, Connection const& to,
                std::string const& bytes)
{
  auto timer = std::make_shared<std::unique_ptr<gsTimer>>();
  *timer = std::make_unique<gsTimer>(bench.Loop, [timer, to, bytes] {
    to->Write(bytes);
    timer->reset();
  });
  (*timer)->Once(gsMilliseconds(10));
}

bool IsSuccess(unsigned status)
{
  return status / 100 == 2;
}

/** Cuts of a stale head at which a caller got the other status than the one
 * that the upstream answered with, for a route. */
std::vector<std::size_t> CutsThatSwap(std::string const& route, unsigned stale,
                                      unsigned own)
{
  std::vector<std::size_t> swapped;
  gsScriptedRequest any;
  std::size_t head = Stale(any, stale).find("\r\n\r\n") + 4;
  for (std::size_t cut = 1; cut < head; ++cut) {
    gsRouteBench bench;
    auto answer = [=](Connection const& to, gsScriptedRequest const& request) {
      to->Write(Stale(request, stale).substr(0, cut) +
                gsWholeAnswer(request, "own", own));
    };
    bench.Add("u1", answer);
    bench.Add("u2", answer);
    gsCallerViewPtr view = bench.SendAndWait(On(route, "id-1"));
    bool isOther = IsSuccess(view->Status) != IsSuccess(own);
    bool isRunners = !view->Header("gradescale-response-signature").empty();
    if (view->Status == stale || (isOther && isRunners)) {
      swapped.push_back(cut);
    }
  }
  return swapped;
}

} // namespace

// Guards against a success for a request that its upstream failed, because the
// begin of a stale answer's head and the own head were read as one.
TEST(ForeignAnswers, AStaleHeadIsNotJoinedWithTheOwnFailure)
{
  EXPECT_EQ(CutsThatSwap("plain", 200, Failed), std::vector<std::size_t>());
  EXPECT_EQ(CutsThatSwap("safe", 200, Failed), std::vector<std::size_t>());
}

// Guards against a failure for a request that its upstream served, for the
// same reason.
TEST(ForeignAnswers, AStaleHeadIsNotJoinedWithTheOwnSuccess)
{
  EXPECT_EQ(CutsThatSwap("plain", Failed, 200), std::vector<std::size_t>());
}

// Guards against upstreams that serve nothing after one late answer, because
// each answer is read in the place of the next one.
TEST(ForeignAnswers, TheConnectionOfARefusedAnswerIsNotUsedAgain)
{
  for (std::size_t size : { 0U, 1U, 3000U }) {
    for (unsigned status : { 200U, 204U, Failed }) {
      gsRouteBench bench;
      int count = 0;
      bench.Add(
        "u1", [&](Connection const& to, gsScriptedRequest const& request) {
          if (++count == 1) {
            gsScriptedRequest earlier = request;
            earlier.Headers["gradescale-attempt-id"] = "earlier";
            to->Write(gsWholeAnswer(earlier, std::string(size, 'x'), status));
            WriteLater(bench, to, gsWholeAnswer(request, "own", Failed));
            return;
          }
          to->Write(gsWholeAnswer(request, "own"));
        });
      bench.SendAndWait(On("plain", "first"));
      int served = 0;
      for (int i = 0; i < 20; ++i) {
        gsCallerViewPtr view =
          bench.SendAndWait(On("plain", "next-" + std::to_string(i)));
        served += view->Status == 200 && view->Body == "own" ? 1 : 0;
      }
      EXPECT_EQ(served, 20) << size << " bytes, status " << status;
    }
  }
}

// Guards against a success for a run that failed: an attempt that meets a
// former attempt of its own id on one connection takes that one's answer.
TEST(ForeignAnswers, AnAttemptTakesNoAnswerOfAFormerOneOfItsId)
{
  gsRouteBench bench;
  int count = 0;
  bench.Add("u1", [&](Connection const& to, gsScriptedRequest const& request) {
    // The first run succeeds, but its answer comes after a stale one.
    if (++count == 1) {
      to->Write(Stale(request, 204));
      WriteLater(bench, to, gsWholeAnswer(request, "first run"));
      return;
    }
    WriteLater(bench, to, gsWholeAnswer(request, "second run", Failed));
  });
  bench.SendAndWait(On("plain", "id-1"));
  gsCallerViewPtr again = bench.SendAndWait(On("plain", "id-1"));
  EXPECT_EQ(count, 2);
  EXPECT_EQ(again->Status, Failed);
  EXPECT_EQ(again->Body, "second run");
}

// Guards against the late copy of a first attempt's failure in the place of
// the second attempt's success: no id tells the two apart.
TEST(ForeignAnswers, ALateCopyIsNotTakenForTheNextAttemptOfItsId)
{
  gsRouteBench bench;
  int count = 0;
  bench.Add("u1", [&](Connection const& to, gsScriptedRequest const& request) {
    if (++count == 1) {
      to->Write(gsWholeAnswer(request, "first run", Failed));
      return;
    }
    gsScriptedUpstream& upstream = *bench.Scripted.front();
    // The copy comes on the connection of the first attempt.
    upstream.Connections.front()->Write(
      gsWholeAnswer(request, "first run", Failed));
    to->Write(gsWholeAnswer(request, "second run"));
  });
  gsCallerViewPtr view = bench.SendAndWait(On("safe", "id-1"));
  EXPECT_EQ(count, 2);
  EXPECT_EQ(view->Status, 200U);
  EXPECT_EQ(view->Body, "second run");
}

// Guards against a request that is given up for an answer of another one,
// although it may be repeated and its only upstream is sound.
TEST(ForeignAnswers, ARepeatableRequestMeetsItsOnlyUpstreamAgain)
{
  gsRouteBench bench;
  int count = 0;
  bench.Add("u1", [&](Connection const& to, gsScriptedRequest const& request) {
    to->Write(++count == 1 ? Stale(request, 200)
                           : gsWholeAnswer(request, "own"));
  });
  gsCallerViewPtr view = bench.SendAndWait(On("safe", "id-1"));
  EXPECT_EQ(view->Status, 200U);
  EXPECT_EQ(view->Body, "own");
  EXPECT_EQ(count, 2);
}

// Guards against a promise that a request has not run, or a second run of one
// that must not be repeated, after an answer of another request.
TEST(ForeignAnswers, ARequestThatMayNotBeRepeatedFailsWithoutAPromise)
{
  for (unsigned status : { 200U, Failed, 503U, 429U, 421U }) {
    gsRouteBench bench;
    bench.Add("u1",
              [&](Connection const& to, gsScriptedRequest const& request) {
                to->Write(Stale(request, status));
              });
    gsCallerViewPtr view = bench.SendAndWait(On("plain", "id-1"));
    EXPECT_EQ(view->Status, 502U) << status;
    EXPECT_EQ(bench.Arrivals(), 1U) << status;
  }
}

// Guards against an upstream that is left alone for a rest that it asked of an
// earlier request.
TEST(ForeignAnswers, TheRestThatAnEarlierAnswerAskedForIsNotKept)
{
  gsRouteBench bench;
  int count = 0;
  bench.Add("u1", [&](Connection const& to, gsScriptedRequest request) {
    if (++count == 1) {
      request.Headers["gradescale-attempt-id"] = "earlier";
      to->Write(gsWholeAnswer(request, "full", 503,
                              "Gradescale-Not-Executed: 1\r\n"
                              "Retry-After: 5\r\n"));
      return;
    }
    to->Write(gsWholeAnswer(request, "own"));
  });
  bench.SendAndWait(On("plain", "id-1"));
  gsCallerViewPtr next = bench.SendAndWait(On("plain", "id-2"));
  EXPECT_EQ(next->Status, 200U);
  EXPECT_EQ(next->Body, "own");
}
