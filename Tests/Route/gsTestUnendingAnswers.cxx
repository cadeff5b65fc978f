/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Answers that have no end, in each of their parts: what a host keeps of them,
 * when it ends them, what their callers get, and whether sound requests beside
 * them are served. Memory is measured as the heap of this process, less what
 * the test itself holds.
 */
#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include <malloc.h>

#include "gsMemoryGuard.h"
#include "gsRouteBench.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;

constexpr std::size_t KiB = 1U << 10U;
constexpr std::size_t MiB = 1U << 20U;
/** Memory of the machine that the host is configured for. */
constexpr std::size_t MachineBytes = 64 * MiB;
constexpr double BuffersShare = 0.25;
/** Memory of a machine for this process, which is both ends of all connections
 * and is measured as a whole. */
constexpr std::size_t TestMachineBytes = 4096 * MiB;

constexpr std::size_t EventLimit = 1 * MiB;  ///< callers.max_event_kib
constexpr std::size_t AnswerLimit = 8 * MiB; ///< callers.max_answer_kib
constexpr std::size_t FetchLimit = 16 * MiB; ///< gsMaxFetchedBytes
constexpr std::size_t HeadLimit = 512 * KiB; ///< Of a head, with its trailers.
/** Where the pump gives up. */
constexpr std::size_t MaxPumped = 48 * MiB;
/** Bytes that the kernel's buffers of a connection may hold. */
constexpr std::size_t KernelBytes = 8 * MiB;
/** Well below the timeout of the bench's routes. */
constexpr gsTime SoonEnough = gsMilliseconds(2000);

/** The budget of a machine, on a machine for this process. */
gsMemorySettings BudgetOf(std::size_t machineBytes)
{
  gsMemorySettings budget;
  budget.TotalBytes = TestMachineBytes;
  budget.BuffersShare = BuffersShare * static_cast<double>(machineBytes) /
                        static_cast<double>(TestMachineBytes);
  return budget;
}

std::size_t HeapBytes()
{
  struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/** A part of an answer that does not end. */
struct Unending
{
  std::string Name;
  std::string Route;
  /** Bytes up to the part, by the request. */
  std::function<std::string(gsScriptedRequest const&)> Before;
  std::string Block;      ///< Sent again and again.
  bool HasEvents = false; ///< Whether events come before the part.
  /** Bytes of the part after which it has to be ended. */
  std::size_t Limit = 0;
};

/** Names a case in the output of a failure. */
void PrintTo(Unending const& each, std::ostream* stream)
{
  *stream << each.Name << ", " << each.Route;
}

std::string SignedHead(gsScriptedRequest const& request,
                       std::string const& framing,
                       std::string const& status = "200 OK")
{
  return "HTTP/1.1 " + status + "\r\nGradescale-Attempt-Id: " + request.Id() +
         "\r\nGradescale-Response-Signature: sig\r\n" + framing + "\r\n";
}

std::string const InChunks = "Transfer-Encoding: chunked\r\n";
std::string const OfLength = "Content-Length: 10000000000\r\n";
std::string const EventType = "Content-Type: text/event-stream\r\n";

std::string Repeat(std::string const& unit, std::size_t bytes)
{
  std::string text;
  while (text.size() < bytes) {
    text += unit;
  }
  return text;
}

std::vector<Unending> UnendingEvents(std::string const& route)
{
  std::size_t const block = 32 * KiB;
  std::string const bytes(block, '#');
  auto head = [](std::string const& framing) {
    return [framing](gsScriptedRequest const& request) {
      return SignedHead(request, EventType + framing);
    };
  };
  auto afterTwo = [](gsScriptedRequest const& request) {
    return gsStreamHead(request) + gsChunk(gsEvent(1, "a") + gsEvent(2, "b"));
  };
  return {
    { "first event in chunks", route, head(InChunks), gsChunk(bytes), false,
      EventLimit },
    { "first event of a stated length", route, head(OfLength), bytes, false,
      EventLimit },
    { "first event until the close", route, head(""), bytes, false,
      EventLimit },
    { "event after two", route, afterTwo, gsChunk(bytes), true, EventLimit },
    { "event of many lines", route, head(InChunks),
      gsChunk(Repeat("data: line\n", block)), false, EventLimit },
    { "event of lines that end in CR", route, head(InChunks),
      gsChunk(Repeat("data: line\r", block)), false, EventLimit },
    { "empty lines", route, head(InChunks), gsChunk(std::string(block, '\n')),
      false, EventLimit },
  };
}

std::vector<Unending> UnendingBodies(std::string const& route)
{
  std::string const bytes(32 * KiB, '#');
  auto head = [](std::string const& framing,
                 std::string const& status = "200 OK") {
    return [framing, status](gsScriptedRequest const& request) {
      return SignedHead(request, framing, status);
    };
  };
  return {
    { "body in chunks", route, head(InChunks), gsChunk(bytes), false,
      AnswerLimit },
    { "body of a stated length", route, head(OfLength), bytes, false,
      AnswerLimit },
    { "body until the close", route, head(""), bytes, false, AnswerLimit },
    { "body of an error", route, head(InChunks, "500 Error"), gsChunk(bytes),
      false, AnswerLimit },
  };
}

std::vector<Unending> UnendingHeads(std::string const& route)
{
  auto begin = [](std::string const& text) {
    return [text](gsScriptedRequest const& /*request*/) { return text; };
  };
  std::string const status = "HTTP/1.1 200 OK\r\n";
  return {
    { "header lines", route, begin(status),
      Repeat("X-Line: " + std::string(80, 'v') + "\r\n", 32 * KiB), false,
      HeadLimit },
    { "short header lines", route, begin(status), Repeat("a:\r\n", 32 * KiB),
      false, HeadLimit },
    { "a header line", route, begin(status + "X-Line: "),
      std::string(32 * KiB, 'v'), false, HeadLimit },
    { "interim answers", route, begin(""),
      Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 32 * KiB), false,
      HeadLimit },
    { "no HTTP", route, begin(""), std::string(32 * KiB, '#'), false,
      HeadLimit },
    { "status line", route, begin("HTTP/1.1 200 "), std::string(32 * KiB, 'x'),
      false, HeadLimit },
  };
}

std::vector<Unending> UnendingTrailers(std::string const& route)
{
  bool isStream = route == "stream" || route == "resume";
  auto before = [isStream](gsScriptedRequest const& request) {
    std::string const body = isStream ? gsEvent(1, "a") : "answer";
    return SignedHead(request, (isStream ? EventType : "") + InChunks) +
           gsChunk(body) + "0\r\n";
  };
  return { { "trailers", route, before,
             Repeat("X-Line: " + std::string(80, 'v') + "\r\n", 32 * KiB),
             isStream, HeadLimit } };
}

class UnendingAnswers : public testing::Test
{
protected:
  void SetUp() override
  {
    gsMemoryGuardSettings settings;
    settings.Mode = gsFeatureMode::On;
    settings.Budget = BudgetOf(MachineBytes);
    this->Memory = std::make_unique<gsMemoryGuard>(
      this->Bench.Loop, settings, std::vector{ this->Bench.Server.get() },
      this->Bench.Upstreams, this->Bench.Gateway->Upstreams(), 1);
  }

  /** Sends to a connection as fast as it takes bytes. */
  struct Flow
  {
    Connection To;
    std::size_t Sent = 0;
  };

  /** Adds an upstream that answers with the case, in place of all others. */
  gsScriptedUpstream& AddUnending(Unending const& each, char const* id = "u1")
  {
    return this->Bench.Add(id, [this, each](Connection const& to,
                                            gsScriptedRequest const& request) {
      if (request.Target.find("/sound") != std::string::npos) {
        to->Write(gsWholeAnswer(request, "sound"));
        return;
      }
      to->Write(each.Before(request));
      this->Flows.push_back({ to, 0 });
      this->Block = each.Block;
    });
  }

  /** Bytes of the heap that the test itself does not hold; zero where an
   * allocator that replaces the C library's does not tell. */
  std::size_t HostBytes() const
  {
    std::size_t const heap = HeapBytes();
    return heap - std::min(heap, this->OwnBytes());
  }

  void Pump()
  {
    for (Flow& flow : this->Flows) {
      bool mayWrite =
        !flow.To->Gone() && flow.To->Pending() == 0 && flow.Sent < MaxPumped;
      if (mayWrite) {
        flow.To->Write(this->Block);
        flow.Sent += this->Block.size();
      }
    }
  }

  std::size_t OwnBytes() const
  {
    std::size_t bytes = 0;
    for (Flow const& flow : this->Flows) {
      bytes += flow.To->Pending();
    }
    for (gsCallerViewPtr const& view : this->Views) {
      bytes += view->Body.capacity();
    }
    return bytes;
  }

  /** Sends so many requests, and runs until all have been answered. */
  void Play(std::string const& route, int count)
  {
    this->Start = gsLoop::Now();
    std::size_t const before = this->HostBytes();
    this->Peak = 0;
    gsTimer pump(this->Bench.Loop, [this, before] {
      this->Pump();
      std::size_t const used = this->HostBytes();
      this->Peak = std::max(this->Peak, used > before ? used - before : 0);
    });
    pump.Every(gsMilliseconds(1));
    for (int i = 0; i < count; ++i) {
      gsCallerSends sends;
      sends.Target = "/" + route + "/x";
      sends.Id = "id-" + std::to_string(++this->Ids);
      this->Views.push_back(this->Bench.Send(sends));
    }
    EXPECT_TRUE(this->Bench.RunUntil(
      [this] {
        return std::all_of(this->Views.begin(), this->Views.end(),
                           [](auto const& view) { return view->Done; });
      },
      20));
  }

  /** A sound request beside, which is to be answered at once. */
  gsCallerViewPtr SendSound()
  {
    gsCallerSends sends;
    sends.Target = "/plain/sound";
    sends.Id = "sound-" + std::to_string(++this->Ids);
    return this->Bench.Send(sends);
  }

  std::uint64_t Figure(char const* name) const
  {
    return this->Memory->Status()[name].get<std::uint64_t>();
  }

  std::size_t MostSent() const
  {
    std::size_t most = 0;
    for (Flow const& flow : this->Flows) {
      most = std::max(most, flow.Sent);
    }
    return most;
  }

  /** Plays a case once and expects that it is ended at its limit. */
  void ExpectEndedAtItsLimit(Unending const& each)
  {
    SCOPED_TRACE(each.Name + ", " + each.Route);
    this->AddUnending(each);
    this->Play(each.Route, 1);
    ASSERT_EQ(this->Views.size(), 1U);
    gsCallerView const& view = *this->Views[0];
    EXPECT_FALSE(view.Whole && view.Status == 200U) << "looks complete";
    EXPECT_EQ(view.Status, each.HasEvents ? 200U : 502U);
    EXPECT_LE(view.Ended - this->Start, SoonEnough);
    EXPECT_LE(this->MostSent(), each.Limit + KernelBytes);
    // A buffer may double, and is copied once while it does.
    EXPECT_LE(this->Peak, 4 * each.Limit + MiB);
    EXPECT_EQ(
      this->Bench.Gateway->CrashDetection().SuspectTable().Suspects.size(), 0U)
      << "taken for a crash";
    EXPECT_TRUE(this->Bench.RunUntil([this] {
      return this->Memory->Use().Total() == 0 && this->Flows.back().To->Gone();
    }))
      << "bytes stay held, or the connection stays open";
  }

  gsRouteBench Bench{ {}, gsFeatureMode::On };
  std::unique_ptr<gsMemoryGuard> Memory; ///< Refers to Bench.
  std::vector<Flow> Flows;
  std::vector<gsCallerViewPtr> Views;
  std::string Block;
  std::size_t Peak = 0; ///< Of the heap, above that before Play.
  gsTime Start{};
  int Ids = 0;
};

struct UnendingCase
  : UnendingAnswers
  , testing::WithParamInterface<Unending>
{};

std::string CaseName(testing::TestParamInfo<Unending> const& info)
{
  std::string name = info.param.Route + "_" + info.param.Name;
  std::replace_if(
    name.begin(), name.end(), [](char c) { return std::isalnum(c) == 0; },
    '_');
  return name;
}

using UnendingEvent = UnendingCase;
using UnendingBody = UnendingCase;
using UnendingHead = UnendingCase;
using UnendingTrailer = UnendingCase;

} // namespace

// Guards against a host that keeps an event without an end until it is out of
// memory, and against its caller being told only at the timeout.
TEST_P(UnendingEvent, IsEndedAtTheLimitOfAnEvent)
{
  this->ExpectEndedAtItsLimit(this->GetParam());
}
INSTANTIATE_TEST_SUITE_P(Stream, UnendingEvent,
                         testing::ValuesIn(UnendingEvents("stream")),
                         CaseName);
INSTANTIATE_TEST_SUITE_P(Resume, UnendingEvent,
                         testing::ValuesIn(UnendingEvents("resume")),
                         CaseName);

// Guards against whole answers that are kept beyond their limit.
TEST_P(UnendingBody, IsEndedAtTheLimitOfAnAnswer)
{
  this->ExpectEndedAtItsLimit(this->GetParam());
}
INSTANTIATE_TEST_SUITE_P(Plain, UnendingBody,
                         testing::ValuesIn(UnendingBodies("plain")), CaseName);

// Guards against heads that are kept without a limit, and against one that is
// taken for a crash of its upstream.
TEST_P(UnendingHead, IsEndedAtTheLimitOfAHead)
{
  this->ExpectEndedAtItsLimit(this->GetParam());
}
INSTANTIATE_TEST_SUITE_P(Plain, UnendingHead,
                         testing::ValuesIn(UnendingHeads("plain")), CaseName);
INSTANTIATE_TEST_SUITE_P(Stream, UnendingHead,
                         testing::ValuesIn(UnendingHeads("stream")), CaseName);

// Guards against trailers that are kept without a limit, several bytes of
// memory for each of theirs.
TEST_P(UnendingTrailer, IsEndedAtTheLimitOfAHead)
{
  this->ExpectEndedAtItsLimit(this->GetParam());
}
INSTANTIATE_TEST_SUITE_P(Plain, UnendingTrailer,
                         testing::ValuesIn(UnendingTrailers("plain")),
                         CaseName);
INSTANTIATE_TEST_SUITE_P(Stream, UnendingTrailer,
                         testing::ValuesIn(UnendingTrailers("stream")),
                         CaseName);

// Guards against sound answers that are cut because an event is large.
TEST_F(UnendingAnswers, EventOfTheLimitIsPassedOnWhole)
{
  std::string const begin = "id: 1\ndata: ";
  std::string const event =
    begin + std::string(EventLimit - begin.size() - 2, 'x') + "\n\n";
  std::string const small = gsEvent(2, "small");
  this->Bench.Add(
    "u1", [&](Connection const& to, gsScriptedRequest const& request) {
      std::string body = gsStreamHead(request);
      for (std::size_t at = 0; at < event.size(); at += 10 * KiB) {
        body += gsChunk(event.substr(at, 10 * KiB));
      }
      to->Write(body + gsChunk(small) + gsChunk(""));
    });
  gsCallerSends sends;
  sends.Target = "/stream/x";
  gsCallerViewPtr view = this->Bench.SendAndWait(sends);
  EXPECT_EQ(view->Status, 200U);
  EXPECT_TRUE(view->Whole);
  EXPECT_EQ(view->Body, event + small);
  EXPECT_LE(this->Memory->Status()["peaks"]["partial"].get<std::size_t>(),
            2 * EventLimit);
}

// Guards against a caller that gets no answer although its request may be
// repeated and another upstream is sound.
TEST_F(UnendingAnswers, ResumableStreamGoesOnAtAnotherUpstream)
{
  std::string const rest = gsEvent(3, "c") + gsEvent(4, "d");
  bool isFirst = true;
  auto script = [&](Connection const& to, gsScriptedRequest const& request) {
    if (std::exchange(isFirst, false)) {
      to->Write(gsStreamHead(request) +
                gsChunk(gsEvent(1, "a") + gsEvent(2, "b")) +
                gsChunk(std::string(2 * EventLimit, '#')));
      return;
    }
    EXPECT_EQ(request.Header("last-event-id"), "2");
    to->Write(gsStreamHead(request) + gsChunk(rest) + gsChunk(""));
  };
  this->Bench.Add("u1", script);
  this->Bench.Add("u2", script);
  gsCallerSends sends;
  sends.Target = "/resume/x";
  gsCallerViewPtr view = this->Bench.SendAndWait(sends);
  EXPECT_EQ(view->Status, 200U);
  EXPECT_TRUE(view->Whole);
  EXPECT_EQ(view->Body, gsEvent(1, "a") + gsEvent(2, "b") + rest);
}

// Guards against a caller whose connection is closed without an answer, since
// the head of a sound one does not fit the memory of that connection.
TEST_F(UnendingAnswers, HeadOfALargeSizeIsPassedOnOrTheCallerIsTold)
{
  std::string const lines =
    Repeat("X-Line: " + std::string(80, 'v') + "\r\n", 16 * KiB);
  this->Bench.Add("u1",
                  [&](Connection const& to, gsScriptedRequest const& request) {
                    to->Write(SignedHead(request, lines + InChunks) +
                              gsChunk("answer") + gsChunk(""));
                  });
  gsCallerViewPtr view = this->Bench.SendAndWait({});
  EXPECT_TRUE(view->Status == 200U || view->Status == 502U) << view->Status;
}

// Guards against an answer that is begun though its head cannot be sent: the
// attempt ends, and the request is repeated where that is allowed.
TEST_F(UnendingAnswers, HeadThatCannotBePassedOnEndsTheAttempt)
{
  std::string const lines =
    Repeat("X-Line: " + std::string(80, 'v') + "\r\n", 40 * KiB);
  auto isFirst = std::make_shared<bool>(true);
  for (std::string const id : { "u1", "u2" }) {
    this->Bench.Add(id, [&lines, isFirst](Connection const& to,
                                          gsScriptedRequest const& request) {
      bool isLarge = std::exchange(*isFirst, false);
      to->Write(SignedHead(request, (isLarge ? lines : "") + InChunks) +
                gsChunk("answer") + gsChunk(""));
    });
  }
  gsCallerSends sends;
  gsCallerViewPtr view = this->Bench.SendAndWait(sends);
  EXPECT_EQ(view->Status, 502U);
  *isFirst = true;
  sends.Target = "/safe/x";
  sends.Id = "id-2";
  view = this->Bench.SendAndWait(sends);
  EXPECT_EQ(view->Status, 200U);
  EXPECT_EQ(view->Body, "answer");
  EXPECT_EQ(this->Bench.Arrivals(), 3U);
}

// Guards against sound answers that are cut for their headers or trailers, and
// against trailers that reach a caller as headers.
TEST_F(UnendingAnswers, HeadersAndTrailersOfAnOrdinarySizeAreRead)
{
  std::string const lines =
    Repeat("X-Line: " + std::string(80, 'v') + "\r\n", 4 * KiB);
  this->Bench.Add(
    "u1", [&](Connection const& to, gsScriptedRequest const& request) {
      to->Write("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" +
                SignedHead(request, lines + InChunks) + gsChunk("answer") +
                "0\r\n" + "X-Trailer: t\r\n" + lines + "\r\n");
    });
  gsCallerViewPtr view = this->Bench.SendAndWait({});
  EXPECT_EQ(view->Status, 200U);
  EXPECT_TRUE(view->Whole);
  EXPECT_EQ(view->Body, "answer");
  EXPECT_EQ(view->Header("x-line"), std::string(80, 'v'));
  EXPECT_EQ(view->Header("x-trailer"), "");
}

// Guards against a host that keeps an answer of the platform without an end.
TEST_F(UnendingAnswers, FetchedAnswerIsEndedAtItsLimit)
{
  for (Unending const& each : UnendingBodies("plain")) {
    SCOPED_TRACE(each.Name);
    this->Flows.clear();
    gsScriptedUpstream& platform = this->AddUnending(each);
    std::optional<gsAnswer> answer;
    gsCall call;
    call.Url = "http://" + platform.Address() + "/rows";
    call.TotalTimeout = gsSeconds(4);
    gsFetch(this->Bench.Upstreams, std::move(call),
            [&answer](gsAnswer const& done) { answer = done; });
    std::size_t const before = HeapBytes();
    std::size_t peak = 0;
    gsTimer pump(this->Bench.Loop, [&] {
      this->Pump();
      peak = std::max(peak, this->HostBytes());
    });
    pump.Every(gsMilliseconds(1));
    gsTime const start = gsLoop::Now();
    ASSERT_TRUE(this->Bench.RunUntil([&] { return answer.has_value(); }));
    EXPECT_LE(gsLoop::Now() - start, SoonEnough);
    EXPECT_FALSE(answer->End.IsWhole());
    EXPECT_LE(this->MostSent(), FetchLimit + KernelBytes);
    EXPECT_LE(peak, before + 4 * FetchLimit);
    EXPECT_EQ(answer->End.Error, "The answer is over the limit of its body.");
    answer.reset();
    EXPECT_TRUE(this->Bench.RunUntil(
      [this] { return this->Memory->Use().Total() == 0; }));
    EXPECT_GT(this->Memory->Status()["peaks"]["fetched"].get<std::size_t>(),
              0U)
      << "not counted";
  }
}

// Guards against a request that is kept at an upstream until its deadline by
// bytes that complete no event, although another upstream is sound.
TEST_F(UnendingAnswers, BytesOfAnIncompleteEventAreNoSignOfLife)
{
  for (std::string const begin : { "", "id: 1\ndata: a\n\n" }) {
    SCOPED_TRACE(begin.empty() ? "in the first event" : "after an event");
    Connection drips;
    std::string const whole = gsEvent(1, "a") + gsEvent(2, "b");
    auto script = [&](Connection const& to, gsScriptedRequest const& request) {
      if (drips == nullptr) {
        drips = to;
        to->Write(gsStreamHead(request) +
                  (begin.empty() ? "" : gsChunk(begin)));
        return;
      }
      bool resumes = !request.Header("last-event-id").empty();
      to->Write(gsStreamHead(request) +
                gsChunk(resumes ? gsEvent(2, "b") : whole) + gsChunk(""));
    };
    this->Bench.Scripted.clear();
    this->Bench.Add("u1", script);
    this->Bench.Add("u2", script);
    gsTimer drip(this->Bench.Loop, [&drips] {
      if (drips != nullptr) {
        drips->Write(gsChunk(std::string(12, '#')));
      }
    });
    drip.Every(gsMilliseconds(50));
    gsCallerSends sends;
    sends.Target = "/resume/x";
    sends.Id = "id-" + std::to_string(++this->Ids);
    gsTime const start = gsLoop::Now();
    gsCallerViewPtr view = this->Bench.SendAndWait(sends);
    EXPECT_EQ(view->Status, 200U);
    EXPECT_TRUE(view->Whole);
    EXPECT_EQ(view->Body, whole);
    EXPECT_LE(view->Ended - start, SoonEnough);
    EXPECT_TRUE(this->Bench.RunUntil([&drips] { return drips->Gone(); }))
      << "the attempt is not cancelled";
  }
}

// Guards against answers that are each within their limit and together take
// the host over its memory, and against sound requests that suffer beside
// them.
TEST_P(UnendingCase, ManyAtOnceStayWithinTheBudget)
{
  Unending const& each = this->GetParam();
  constexpr int count = 40;
  for (char const* id : { "u1", "u2", "u3", "u4", "u5" }) {
    this->AddUnending(each, id);
  }
  std::vector<gsCallerViewPtr> sound{ this->SendSound() };
  gsTimer beside(this->Bench.Loop,
                 [&] { sound.push_back(this->SendSound()); });
  beside.Every(gsMilliseconds(20));
  this->Play(each.Route, count);
  beside.Stop();
  EXPECT_TRUE(this->Bench.RunUntil([&] {
    return std::all_of(sound.begin(), sound.end(),
                       [](auto const& view) { return view->Done; });
  }));
  for (gsCallerViewPtr const& view : sound) {
    EXPECT_EQ(view->Body, "sound") << view->Status;
  }
  for (gsCallerViewPtr const& view : this->Views) {
    EXPECT_FALSE(view->Whole && view->Status == 200U) << "looks complete";
    EXPECT_LE(view->Ended - this->Start, 2 * SoonEnough);
  }
  EXPECT_LE(this->Peak, MachineBytes);
  std::size_t const limit = this->Figure("limit_bytes");
  // One answer may exceed the budget, up to a limit of its own.
  EXPECT_LE(this->Figure("peak_bytes"), limit + 2 * AnswerLimit);
  EXPECT_TRUE(
    this->Bench.RunUntil([this] { return this->Memory->Use().Total() == 0; }));
}

std::vector<Unending> OneOfEachPart()
{
  return { UnendingEvents("stream")[0], UnendingEvents("resume")[0],
           UnendingBodies("plain")[0],  UnendingBodies("plain")[2],
           UnendingBodies("safe")[0],   UnendingHeads("plain")[1],
           UnendingTrailers("plain")[0] };
}
INSTANTIATE_TEST_SUITE_P(Many, UnendingCase,
                         testing::ValuesIn(OneOfEachPart()), CaseName);

// Guards against a sound answer that is ended although no other could be.
TEST_F(UnendingAnswers, OneLargeAnswerComesThroughAFullBudget)
{
  gsMemoryGuardSettings settings;
  settings.Mode = gsFeatureMode::On;
  settings.Budget = BudgetOf(2 * MiB);
  this->Memory.reset();
  this->Memory = std::make_unique<gsMemoryGuard>(
    this->Bench.Loop, settings, std::vector{ this->Bench.Server.get() },
    this->Bench.Upstreams, this->Bench.Gateway->Upstreams(), 1);
  std::string const body(6 * MiB, 'a');
  this->Bench.Add(
    "u1", [&body](Connection const& to, gsScriptedRequest const& request) {
      to->Write(gsWholeAnswer(request, body));
    });
  gsCallerViewPtr view = this->Bench.SendAndWait({});
  EXPECT_EQ(view->Status, 200U);
  EXPECT_EQ(view->Body, body);
  EXPECT_EQ(this->Figure("ended_answers"), 0U);
}

// Guards against a budget that counts less than is allocated.
TEST_F(UnendingAnswers, CountedBytesAreThoseOfTheHeap)
{
  std::size_t const part = 64 * KiB;
  for (char const* route : { "plain", "stream" }) {
    SCOPED_TRACE(route);
    // Just above a power of two, where a buffer that doubles wastes the most.
    std::size_t const size =
      (std::string(route) == "plain" ? 4 * MiB : 512 * KiB) + part;
    Connection held;
    std::size_t sent = 0;
    this->Bench.Scripted.clear();
    this->Bench.Add(
      "u1", [&](Connection const& to, gsScriptedRequest const& request) {
        to->Write(SignedHead(request, EventType + InChunks));
        held = to;
      });
    std::string const chunk = gsChunk(std::string(part, '#'));
    std::size_t const before = HeapBytes();
    gsTimer pump(this->Bench.Loop, [&] {
      if (held != nullptr && held->Pending() == 0 && sent < size) {
        held->Write(chunk);
        sent += part;
      }
    });
    pump.Every(gsMilliseconds(1));
    gsCallerSends sends;
    sends.Target = std::string("/") + route + "/x";
    sends.Id = "id-" + std::to_string(++this->Ids);
    gsCallerViewPtr view = this->Bench.Send(sends);
    EXPECT_TRUE(this->Bench.RunUntil(
      [&] { return sent >= size && this->Memory->Use().Total() >= size; }));
    this->Bench.RunFor(0.05);
    // The rest is of the connections, of the caller and of the upstream.
    EXPECT_LE(HeapBytes() - before, this->Memory->Use().Total() + 512 * KiB);
    held->Close();
    EXPECT_TRUE(this->Bench.RunUntil([&] { return view->Done; }));
  }
}
