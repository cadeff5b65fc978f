/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What callers get of answers that end in all possible places and ways: stated
 * by a length, by chunks or only by their connection's end, cut by a FIN or a
 * reset, at this host or at one that it forwards the request to. What reaches
 * a caller is whole or cannot be taken for whole, and no event reaches it
 * twice or in part.
 */
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>

#include "gsForwardingHost.h"
#include "gsRawCaller.h"
#include "gsRouteBench.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;

/** What states the end of an upstream's answer. */
enum class Framing
{
  Length,
  Chunks,
  Close
};

/** Where an upstream's answer ends. */
enum class Place
{
  InHead,
  BeforeFirst,
  InsideFirst,
  Between,
  Inside,
  AfterLast
};

/** How an upstream's connection ends. */
enum class Ending
{
  Close,
  Reset
};

struct Case
{
  std::string Route;
  Framing States = Framing::Length;
  Place Ends = Place::AfterLast;
  Ending By = Ending::Close;
  bool IsForwarded = false;
};

/** What the caller gets. */
enum class Outcome
{
  Complete,    ///< All of it, and its end is stated.
  Unconfirmed, ///< All that came, in an answer that states no end.
  Cut,         ///< The events that came, in an answer that looks cut.
  Failed       ///< A whole failure of the host's own.
};

constexpr std::uint64_t EventCount = 3;

std::string EventsFrom(std::uint64_t first, std::uint64_t last = EventCount)
{
  std::string events;
  for (std::uint64_t id = first; id <= last; ++id) {
    events += gsEvent(id, "number " + std::to_string(id));
  }
  return events;
}

/** The bytes of the body that an upstream sends before its answer ends. */
std::string SentBody(Place ends)
{
  std::string const second = EventsFrom(2, 2);
  switch (ends) {
    case Place::InHead:
    case Place::BeforeFirst:
      return {};
    case Place::InsideFirst:
      return second.substr(0, second.size() / 2);
    case Place::Between:
      return EventsFrom(1, 1);
    case Place::Inside:
      return EventsFrom(1, 1) + second.substr(0, second.size() / 2);
    case Place::AfterLast:
      break;
  }
  return EventsFrom(1);
}

std::string Head(gsScriptedRequest const& request, Framing states,
                 std::size_t length)
{
  std::string head =
    "HTTP/1.1 200 OK\r\nGradescale-Attempt-Id: " + request.Id() +
    "\r\nGradescale-Response-Signature: sig\r\n"
    "Content-Type: text/event-stream\r\n";
  if (states == Framing::Length) {
    head += "Content-Length: " + std::to_string(length) + "\r\n";
  } else if (states == Framing::Chunks) {
    head += "Transfer-Encoding: chunked\r\n";
  }
  return head + "\r\n";
}

/** The bytes of an answer that ends at the given place. */
std::string AnswerUntil(gsScriptedRequest const& request, Framing states,
                        Place ends)
{
  std::string head = Head(request, states, EventsFrom(1).size());
  if (ends == Place::InHead) {
    return head.substr(0, head.size() / 2);
  }
  std::string body = SentBody(ends);
  if (states != Framing::Chunks) {
    return head + body;
  }
  std::string last = ends == Place::AfterLast ? gsChunk("") : "";
  return head + (body.empty() ? "" : gsChunk(body)) + last;
}

/** Ends a connection once what was written has been received. */
void EndSoon(gsRouteBench& bench, Connection const& connection, Ending by)
{
  auto timer = std::make_shared<std::unique_ptr<gsTimer>>();
  *timer = std::make_unique<gsTimer>(bench.Loop, [timer, connection, by] {
    if (by == Ending::Reset) {
      connection->Reset();
    } else {
      connection->Close();
    }
    timer->reset();
  });
  (*timer)->Once(gsMilliseconds(5));
}

/** The rest of a stream after the last event that the caller has, or all of
 * an answer. */
std::string Rest(gsScriptedRequest const& request, Framing states)
{
  std::string const last = request.Header("last-event-id");
  std::string body = EventsFrom(
    last.empty() ? 1 : std::strtoull(last.c_str(), nullptr, 10) + 1);
  std::string head = Head(request, states, body.size());
  return states == Framing::Chunks ? head + gsChunk(body) + gsChunk("")
                                   : head + body;
}

/** A system with two upstreams: the first one that is asked follows the
 * script, the other one answers whole. Requests come to the host itself, or to
 * one that reaches no upstream and forwards them. */
class System
{
public:
  using Script = std::function<void(System& system, Connection const& to,
                                    gsScriptedRequest const& request)>;

  System(Script const& first, bool isForwarded, Framing rest = Framing::Chunks)
  {
    auto asked = std::make_shared<std::string>();
    for (std::string const id : { "u1", "u2" }) {
      this->Bench.Add(
        id, [this, asked, id, first, rest](Connection const& to,
                                           gsScriptedRequest const& request) {
          *asked = asked->empty() ? id : *asked;
          if (*asked == id) {
            first(*this, to, request);
            return;
          }
          to->Write(Rest(request, rest));
          if (rest == Framing::Close) {
            EndSoon(this->Bench, to, Ending::Close);
          }
        });
    }
    if (isForwarded) {
      this->Entry = std::make_unique<gsForwardingHost>(this->Bench);
    }
  }

  std::unique_ptr<gsRawCaller> Send(std::string const& route,
                                    std::string const& version = "1.1",
                                    std::string const& headers = "")
  {
    std::string request = "POST /" + route + "/x HTTP/" + version +
                          "\r\nHost: 127.0.0.1\r\n"
                          "Gradescale-Attempt-Id: id-" +
                          std::to_string(++this->Sent) +
                          "\r\nAuthorization: Token key-one\r\n" + headers +
                          "Content-Length: 5\r\n\r\nhello";
    std::uint16_t port =
      this->Entry ? this->Entry->Port() : this->Bench.Server->Port();
    return std::make_unique<gsRawCaller>(this->Bench.Loop, port, request);
  }

  std::unique_ptr<gsRawCaller> SendAndWait(std::string const& route)
  {
    std::unique_ptr<gsRawCaller> caller = this->Send(route);
    EXPECT_TRUE(this->Bench.RunUntil([&] { return caller->Done(); }));
    return caller;
  }

  gsRouteBench Bench;

private:
  std::unique_ptr<gsForwardingHost> Entry;
  int Sent = 0;
};

bool Streams(Case const& each)
{
  return each.Route == "stream" || each.Route == "resume";
}

/** Whether an upstream's answer is known to be broken. */
bool IsBroken(Case const& each)
{
  if (each.States != Framing::Close) {
    return each.Ends != Place::AfterLast;
  }
  if (each.By == Ending::Reset || each.Ends == Place::InHead) {
    return true;
  }
  return Streams(each) && each.Ends != Place::Between &&
         each.Ends != Place::AfterLast;
}

/** Whether the caller has an event of the answer when it ends. */
bool HasBegun(Case const& each)
{
  return Streams(each) && each.Ends >= Place::Between;
}

Outcome Expected(Case const& each)
{
  bool isUnframed = each.States == Framing::Close;
  if (!IsBroken(each)) {
    return isUnframed ? Outcome::Unconfirmed : Outcome::Complete;
  }
  if (each.Route == "safe") {
    return Outcome::Complete;
  }
  if (each.Route == "resume") {
    return isUnframed && HasBegun(each) ? Outcome::Unconfirmed
                                        : Outcome::Complete;
  }
  return HasBegun(each) ? Outcome::Cut : Outcome::Failed;
}

std::string ExpectedBody(Case const& each)
{
  if (Expected(each) == Outcome::Cut) {
    return each.Ends == Place::AfterLast ? EventsFrom(1) : EventsFrom(1, 1);
  }
  return IsBroken(each) ? EventsFrom(1) : SentBody(each.Ends);
}

std::string NameOf(Case const& each)
{
  static char const* const framings[] = { "length", "chunks", "close" };
  static char const* const places[] = { "in the head",  "before the first",
                                        "in the first", "between",
                                        "inside",       "after the last" };
  return each.Route + ", by " + framings[static_cast<int>(each.States)] +
         ", ends " + places[static_cast<int>(each.Ends)] +
         (each.By == Ending::Reset ? ", reset" : ", closed") +
         (each.IsForwarded ? ", forwarded" : "");
}

void Check(Case const& each)
{
  SCOPED_TRACE(NameOf(each));
  System system(
    [&each](System& own, Connection const& to,
            gsScriptedRequest const& request) {
      to->Write(AnswerUntil(request, each.States, each.Ends));
      EndSoon(own.Bench, to, each.By);
    },
    each.IsForwarded);
  std::unique_ptr<gsRawCaller> caller = system.SendAndWait(each.Route);
  gsRawAnswer answer = caller->Answer();
  Outcome expected = Expected(each);
  if (expected == Outcome::Failed) {
    EXPECT_GE(answer.Status, 500U);
    EXPECT_TRUE(answer.StatesItsEnd);
    EXPECT_EQ(answer.Headers.count("gradescale-response-signature"), 0U);
    return;
  }
  EXPECT_EQ(answer.Status, 200U);
  EXPECT_EQ(answer.Body, ExpectedBody(each));
  EXPECT_EQ(answer.StatesItsEnd, expected == Outcome::Complete);
  EXPECT_EQ(caller->LooksComplete(), expected != Outcome::Cut);
  if (expected == Outcome::Unconfirmed) {
    EXPECT_FALSE(answer.HasLength || answer.HasChunks);
  }
}

/** Checks all ends of answers on a route. */
void CheckRoute(std::string const& route, bool isForwarded)
{
  for (Framing states : { Framing::Length, Framing::Chunks, Framing::Close }) {
    for (Place ends : { Place::InHead, Place::BeforeFirst, Place::InsideFirst,
                        Place::Between, Place::Inside, Place::AfterLast }) {
      for (Ending by : { Ending::Close, Ending::Reset }) {
        Check({ route, states, ends, by, isForwarded });
      }
    }
  }
}

/** An answer that ends inside an event although its end is stated. */
System::Script EndsInsideAnEvent(Framing states)
{
  return [states](System& own, Connection const& to,
                  gsScriptedRequest const& request) {
    std::string body = SentBody(Place::Inside);
    std::string head = Head(request, states, body.size());
    to->Write(states == Framing::Chunks ? head + gsChunk(body) + gsChunk("")
                                        : head + body);
    EndSoon(own.Bench, to, Ending::Close);
  };
}

} // namespace

// Guards against an answer that breaks off and reaches its caller as complete,
// since the end of its connection was taken for its own.
TEST(AnswerEnd, PlainAnswersThatBreakOffDoNotLookComplete)
{
  CheckRoute("plain", false);
}

// The same of answers that may be repeated: a broken one is.
TEST(AnswerEnd, RepeatableAnswersThatBreakOffDoNotLookComplete)
{
  CheckRoute("safe", false);
}

// The same of streams, whose events are passed on as they come.
TEST(AnswerEnd, StreamsThatBreakOffDoNotLookComplete)
{
  CheckRoute("stream", false);
}

// The same of streams that go on at another upstream.
TEST(AnswerEnd, ResumableStreamsThatBreakOffGoOnElsewhere)
{
  CheckRoute("resume", false);
}

// The same across a second host, which must not vouch for an end either.
TEST(AnswerEnd, ForwardedAnswersThatBreakOffDoNotLookComplete)
{
  for (char const* route : { "plain", "safe", "stream", "resume" }) {
    CheckRoute(route, true);
  }
}

// Guards against a part of an event at the end of a stream whose chunks or
// length end properly.
TEST(AnswerEnd, AStreamThatEndsInsideAnEventIsCutWhateverStatesItsEnd)
{
  for (Framing states : { Framing::Length, Framing::Chunks, Framing::Close }) {
    SCOPED_TRACE(static_cast<int>(states));
    System system(EndsInsideAnEvent(states), false);
    std::unique_ptr<gsRawCaller> caller = system.SendAndWait("stream");
    EXPECT_EQ(caller->Answer().Body, EventsFrom(1, 1));
    EXPECT_FALSE(caller->LooksComplete());
  }
}

// The same of a stream that may be resumed.
TEST(AnswerEnd, AResumableStreamThatEndsInsideAnEventGoesOnElsewhere)
{
  for (Framing states : { Framing::Length, Framing::Chunks, Framing::Close }) {
    SCOPED_TRACE(static_cast<int>(states));
    System system(EndsInsideAnEvent(states), false);
    std::unique_ptr<gsRawCaller> caller = system.SendAndWait("resume");
    EXPECT_EQ(caller->Answer().Body, EventsFrom(1));
    EXPECT_TRUE(caller->LooksComplete());
    EXPECT_EQ(caller->Answer().StatesItsEnd, states != Framing::Close);
  }
}

// Guards against an end that nobody can vouch for, in an answer that had begun
// in chunks and went on at an upstream that states no end.
TEST(AnswerEnd, AnEndThatNothingStatesIsNoLastChunk)
{
  System system(
    [](System& own, Connection const& to, gsScriptedRequest const& request) {
      to->Write(AnswerUntil(request, Framing::Chunks, Place::Between));
      EndSoon(own.Bench, to, Ending::Close);
    },
    false, Framing::Close);
  std::unique_ptr<gsRawCaller> caller = system.SendAndWait("resume");
  EXPECT_EQ(caller->Answer().Body, EventsFrom(1));
  EXPECT_TRUE(caller->Answer().HasChunks);
  EXPECT_FALSE(caller->LooksComplete());
}

// Guards against a cut that looks like an end to a caller that reads no
// chunks.
TEST(AnswerEnd, ACutStreamLooksCutToACallerOfHttp10)
{
  for (Place ends : { Place::Between, Place::AfterLast }) {
    SCOPED_TRACE(static_cast<int>(ends));
    System system(
      [ends](System& own, Connection const& to,
             gsScriptedRequest const& request) {
        to->Write(AnswerUntil(request, Framing::Chunks, ends));
        EndSoon(own.Bench, to, Ending::Close);
      },
      false);
    std::unique_ptr<gsRawCaller> caller = system.Send("stream", "1.0");
    ASSERT_TRUE(system.Bench.RunUntil([&] { return caller->Done(); }));
    EXPECT_FALSE(caller->Answer().HasChunks);
    EXPECT_EQ(caller->Answer().Body, SentBody(ends));
    EXPECT_EQ(caller->LooksComplete(), ends == Place::AfterLast);
  }
}

namespace {

/** An upstream whose answer states no end, and does not end. */
void BeginUnframed(System& /*own*/, Connection const& to,
                   gsScriptedRequest const& request)
{
  to->Write(AnswerUntil(request, Framing::Close, Place::Between));
}

} // namespace

// Guards against an open answer that looks complete because its host ends.
TEST(AnswerEnd, AnOpenAnswerLooksCutWhenItsServerEnds)
{
  System system(BeginUnframed, false);
  std::unique_ptr<gsRawCaller> caller = system.Send("stream");
  ASSERT_TRUE(
    system.Bench.RunUntil([&] { return !caller->Answer().Body.empty(); }));
  system.Bench.Server.reset();
  ASSERT_TRUE(system.Bench.RunUntil([&] { return caller->Done(); }));
  EXPECT_FALSE(caller->LooksComplete());
}

// Guards against an open answer that looks complete to a caller that closes
// its sending half, and is taken to have left.
TEST(AnswerEnd, AnOpenAnswerLooksCutToACallerThatClosesItsSendingHalf)
{
  System system(BeginUnframed, false);
  std::unique_ptr<gsRawCaller> caller = system.Send("stream");
  ASSERT_TRUE(
    system.Bench.RunUntil([&] { return !caller->Answer().Body.empty(); }));
  caller->CloseSending();
  ASSERT_TRUE(system.Bench.RunUntil([&] { return caller->Done(); }));
  EXPECT_FALSE(caller->LooksComplete());
}

// Guards against taking a body that is no stream for a part of an event.
TEST(AnswerEnd, AnAnswerOfAnotherTypeOnAStreamsRouteIsPassedOnWhole)
{
  System system(
    [](System& /*own*/, Connection const& to,
       gsScriptedRequest const& request) {
      to->Write(gsWholeAnswer(request, R"({"a":1})", 200,
                              "Content-Type: application/json\r\n"));
    },
    false);
  std::unique_ptr<gsRawCaller> caller = system.SendAndWait("stream");
  EXPECT_EQ(caller->Answer().Status, 200U);
  EXPECT_EQ(caller->Answer().Body, R"({"a":1})");
  EXPECT_TRUE(caller->Answer().StatesItsEnd);
}

namespace {

/** Streams at one upstream, each of which has had an event in an answer that
 * states no end. */
struct OpenStreams
{
  OpenStreams(std::string const& route, int count)
    : Stage(
        [this](System& /*own*/, Connection const& to,
               gsScriptedRequest const& request) {
          this->Open.push_back(to);
          to->Write(AnswerUntil(request, Framing::Close, Place::Between));
        },
        false)
  {
    gsFleetFind(this->Stage.Bench.Fleet, "u2")->Listed.Leaving = true;
    for (int i = 0; i < count; ++i) {
      this->Callers.push_back(this->Stage.Send(route));
      this->Stage.Bench.RunUntil(
        [this] { return !this->Callers.back()->Answer().Body.empty(); });
    }
    gsFleetFind(this->Stage.Bench.Fleet, "u2")->Listed.Leaving = false;
  }

  bool WaitForEnds()
  {
    return this->Stage.Bench.RunUntil(
      [this] { return this->Callers[0]->Done() && this->Callers[1]->Done(); });
  }

  System Stage;
  std::vector<Connection> Open; ///< Ends before the loop of Stage.
  std::vector<std::unique_ptr<gsRawCaller>> Callers;
};

} // namespace

// Guards against a stream that a crash of its upstream ends between two
// events: another answer that breaks off with it tells that it is not over.
TEST(AnswerEnd, AnEndBesideACrashIsNoEnd)
{
  OpenStreams streams("resume", 2);
  ASSERT_EQ(streams.Open.size(), 2U);
  streams.Open[0]->Write("id: 2\nda");
  streams.Stage.Bench.RunFor(0.02);
  streams.Open[1]->Close();
  streams.Open[0]->Close();
  ASSERT_TRUE(streams.WaitForEnds());
  for (auto const& caller : streams.Callers) {
    EXPECT_EQ(caller->Answer().Body, EventsFrom(1));
  }
}

// The same where the stream may not be resumed: it looks cut.
TEST(AnswerEnd, AnEndBesideACrashLooksCut)
{
  OpenStreams streams("stream", 2);
  ASSERT_EQ(streams.Open.size(), 2U);
  streams.Open[0]->Write("id: 2\nda");
  streams.Stage.Bench.RunFor(0.02);
  streams.Open[1]->Close();
  streams.Open[0]->Close();
  ASSERT_TRUE(streams.WaitForEnds());
  for (auto const& caller : streams.Callers) {
    EXPECT_EQ(caller->Answer().Body, EventsFrom(1, 1));
    EXPECT_FALSE(caller->LooksComplete());
  }
}

// An upstream that goes on sending has not crashed, although one of its
// answers broke off: others that end then have ended.
TEST(AnswerEnd, AnEndBesideABrokenAnswerOfALivingUpstreamIsPassedOn)
{
  OpenStreams streams("resume", 3);
  ASSERT_EQ(streams.Open.size(), 3U);
  gsTimer events(streams.Stage.Bench.Loop,
                 [&streams] { streams.Open[2]->Write(": alive\n\n"); });
  events.Every(gsMilliseconds(4));
  streams.Open[0]->Write("id: 2\nda");
  streams.Stage.Bench.RunFor(0.02);
  streams.Open[1]->Close();
  streams.Open[0]->Close();
  ASSERT_TRUE(streams.WaitForEnds());
  EXPECT_EQ(streams.Callers[0]->Answer().Body, EventsFrom(1));
  EXPECT_EQ(streams.Callers[1]->Answer().Body, EventsFrom(1, 1));
  EXPECT_TRUE(streams.Callers[1]->LooksComplete());
}

// Guards against answers that a host ends at a limit and that then look whole,
// are not repeated, or are held to the timeout; also across a forwarding host.
TEST(AnswerEnd, AnswersOverALimitAreRepeatedOrDoNotLookComplete)
{
  constexpr std::size_t overAnyLimit = 9U << 20U;
  std::string const rest = gsChunk(std::string(overAnyLimit, '#'));
  for (bool isForwarded : { false, true }) {
    for (std::string const route : { "plain", "safe", "stream", "resume" }) {
      SCOPED_TRACE(route + (isForwarded ? ", forwarded" : ""));
      System stage(
        [&](System& /*system*/, Connection const& to,
            gsScriptedRequest const& request) {
          to->Write(Head(request, Framing::Chunks, 0) +
                    gsChunk(EventsFrom(1, 1)) + rest);
        },
        isForwarded);
      gsTime const start = gsLoop::Now();
      std::unique_ptr<gsRawCaller> caller = stage.SendAndWait(route);
      EXPECT_LT(gsLoop::Now() - start, gsSeconds(2));
      bool repeats = route == "safe" || route == "resume";
      if (repeats) {
        EXPECT_EQ(caller->Answer().Body, EventsFrom(1));
        EXPECT_TRUE(caller->LooksComplete());
      } else if (route == "stream") {
        EXPECT_EQ(caller->Answer().Body, EventsFrom(1, 1));
        EXPECT_FALSE(caller->LooksComplete());
      } else {
        EXPECT_EQ(caller->Answer().Status, 502U);
      }
    }
  }
}
