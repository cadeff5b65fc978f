/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The memory budget at one host between callers of the test, which read or do
 * not read, and scripted upstreams, over real sockets.
 */
#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gsMemoryGuard.h"
#include "gsRouteBench.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;

constexpr std::uint64_t KiB = 1U << 10U;
constexpr std::uint64_t MiB = 1U << 20U;
/** More than this process uses, whose memory is measured. */
constexpr std::uint64_t MachineBytes = 1024 * MiB;
constexpr gsTime Stalled = gsMilliseconds(600);
/** Of the connection of a caller that does not read. */
constexpr int SmallBuffer = 8 << 10;

/** A caller that reads only when it is told to. */
class RawCaller
{
public:
  /** With a receive buffer of zero the kernel chooses the size. */
  explicit RawCaller(std::uint16_t port, int buffer = SmallBuffer)
    : Descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    if (buffer > 0) {
      setsockopt(this->Descriptor, SOL_SOCKET, SO_RCVBUF, &buffer,
                 sizeof(buffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    static_cast<void>(connect(this->Descriptor,
                              reinterpret_cast<sockaddr*>(&address),
                              sizeof(address)));
  }
  ~RawCaller() { this->Leave(); }
  RawCaller(RawCaller const&) = delete;
  RawCaller& operator=(RawCaller const&) = delete;

  void Leave()
  {
    if (this->Descriptor >= 0) {
      close(this->Descriptor);
      this->Descriptor = -1;
    }
  }

  void Send(std::string const& bytes) const
  {
    send(this->Descriptor, bytes.data(), bytes.size(),
         MSG_NOSIGNAL | MSG_DONTWAIT);
  }

  void SendHead(std::string const& route, std::string const& framing) const
  {
    this->Send("POST /" + route +
               "/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
               "Gradescale-Attempt-Id: raw\r\n"
               "Authorization: Token key-one\r\n" +
               framing + "\r\n\r\n");
  }

  /** Reads at most so many bytes of what has come. */
  void Read(std::size_t most)
  {
    std::string buffer(most, '\0');
    ssize_t count =
      recv(this->Descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count > 0) {
      this->Answer.append(buffer, 0, static_cast<std::size_t>(count));
    }
    this->Reset = this->Reset || (count < 0 && errno == ECONNRESET);
    this->Ended = this->Ended || count == 0 ||
                  (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void ReadAll()
  {
    for (std::size_t before = 1; before != this->Answer.size();) {
      before = this->Answer.size();
      this->Read(MiB);
    }
  }

  bool IsWhole() const
  {
    std::string const last = "\r\n0\r\n\r\n";
    return this->Answer.size() > last.size() &&
           this->Answer.compare(this->Answer.size() - last.size(),
                                std::string::npos, last) == 0;
  }

  std::string Answer;
  bool Ended = false;
  bool Reset = false;

private:
  int Descriptor;
};

/** Sends a stream of so many events of 1 KiB at once. */
gsScriptedUpstream::Script StreamOf(std::size_t events)
{
  return [events](Connection const& to, gsScriptedRequest const& request) {
    std::string body = gsStreamHead(request);
    for (std::size_t i = 1; i <= events; ++i) {
      body += gsChunk(gsEvent(i, std::string(KiB, 'e')));
    }
    to->Write(body + gsChunk(""));
  };
}

/** A host with a small budget. */
class MemoryGuard : public testing::Test
{
protected:
  void Guard(gsFeatureMode mode, std::uint64_t budget = 2 * MiB,
             gsTime idleTimeout = gsSeconds(30))
  {
    gsMemoryGuardSettings settings;
    settings.Mode = mode;
    settings.Budget.TotalBytes = MachineBytes;
    settings.Budget.BuffersShare =
      static_cast<double>(budget) / static_cast<double>(MachineBytes);
    settings.Budget.StalledTimeout = Stalled;
    settings.SweepInterval = gsMilliseconds(50);
    this->Budget = settings.Budget;
    this->Memory = std::make_unique<gsMemoryGuard>(
      this->Bench.Loop, settings, std::vector{ this->Bench.Server.get() },
      this->Bench.Upstreams, this->Bench.Gateway->Upstreams(), 1);
    this->Bench.Server->Limit(8 * MiB, idleTimeout);
  }

  std::unique_ptr<RawCaller> Call(std::string const& route,
                                  int buffer = SmallBuffer)
  {
    auto caller =
      std::make_unique<RawCaller>(this->Bench.Server->Port(), buffer);
    caller->SendHead(route, "Content-Length: 0");
    return caller;
  }

  std::uint64_t Figure(char const* name) const
  {
    return this->Memory->Status()[name].get<std::uint64_t>();
  }

  bool RunUntilNothingIsHeld()
  {
    return this->Bench.RunUntil([this] {
      return this->Memory->Use().Total() == 0 &&
             this->Memory->Use().Expected == 0 &&
             this->Bench.Server->OpenExchanges() == 0;
    });
  }

  gsRouteBench Bench{ {}, gsFeatureMode::On };
  std::unique_ptr<gsMemoryGuard> Memory; ///< Refers to Bench.
  gsMemorySettings Budget;
};

} // namespace

// Guards against the memory and the upstream connections that callers hold
// who do not read, and against readers that are ended beside them.
TEST_F(MemoryGuard, CallersThatDoNotReadAreEndedBesideThoseThatDo)
{
  this->Guard(gsFeatureMode::On, 2 * MiB, 2 * Stalled);
  gsScriptedUpstream& upstream = this->Bench.Add("u1", StreamOf(3000));
  std::vector<std::unique_ptr<RawCaller>> silent;
  std::vector<std::unique_ptr<RawCaller>> readers;
  silent.reserve(20);
  readers.reserve(3);
  for (int i = 0; i < 20; ++i) {
    silent.push_back(this->Call("stream"));
  }
  for (int i = 0; i < 3; ++i) {
    readers.push_back(this->Call("stream"));
  }
  EXPECT_TRUE(this->Bench.RunUntil([&] {
    for (auto const& reader : readers) {
      reader->ReadAll();
    }
    return std::all_of(readers.begin(), readers.end(),
                       [](auto const& reader) { return reader->IsWhole(); });
  }));
  EXPECT_TRUE(this->RunUntilNothingIsHeld());
  EXPECT_EQ(this->Figure("ended_stalled"), 20U);
  EXPECT_EQ(this->Figure("ended_over_budget"), 0U) << "there was room";
  EXPECT_LE(this->Figure("peak_bytes"), 2 * MiB);
  for (auto const& caller : silent) {
    caller->ReadAll();
    EXPECT_TRUE(caller->Reset);
    EXPECT_FALSE(caller->IsWhole()) << "looks complete";
  }
  auto open = std::count_if(
    upstream.Connections.begin(), upstream.Connections.end(),
    [](Connection const& connection) { return !connection->Gone(); });
  EXPECT_LE(open, 3) << "an attempt was not cancelled";
}

// Guards against an answer that is lost since its caller pauses, although
// there is memory for it: review/2.
TEST_F(MemoryGuard, CallerThatPausesGetsItsAnswerWhileThereIsRoom)
{
  this->Guard(gsFeatureMode::On, 20 * MiB);
  this->Bench.Add(
    "u1", [](Connection const& to, gsScriptedRequest const& request) {
      bool isStream = request.Target.rfind("/stream", 0) == 0;
      if (isStream) {
        StreamOf(2000)(to, request);
      } else {
        to->Write(gsWholeAnswer(request, std::string(200 * KiB, 'a')));
      }
    });
  constexpr std::size_t count = 8;
  std::vector<std::unique_ptr<RawCaller>> callers;
  callers.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    callers.push_back(this->Call(i % 2 == 0 ? "stream" : "plain"));
  }
  this->Bench.RunFor(4 * gsToSeconds(Stalled));
  EXPECT_TRUE(this->Bench.RunUntil([&] {
    for (auto const& caller : callers) {
      caller->ReadAll();
    }
    return std::all_of(callers.begin(), callers.end(), [](auto const& caller) {
      std::size_t head = caller->Answer.find("\r\n\r\n");
      return caller->IsWhole() ||
             caller->Answer.size() == head + 4 + 200 * KiB;
    });
  }));
  EXPECT_EQ(this->Figure("ended_stalled"), 0U);
  EXPECT_EQ(this->Figure("ended_over_budget"), 0U);
}

// Guards against sound requests that are refused for the memory of callers
// that do not read, and against ending more of these than that takes.
TEST_F(MemoryGuard, CallersThatPauseAreEndedWhereBodiesAreRefused)
{
  this->Guard(gsFeatureMode::On, 2 * MiB);
  this->Bench.Add(
    "u1", [](Connection const& to, gsScriptedRequest const& request) {
      to->Write(gsWholeAnswer(request, std::string(300 * KiB, 'a')));
    });
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < 6; ++i) {
    callers.push_back(this->Call("plain"));
    this->Bench.RunFor(0.02);
  }
  auto accepts = [this] {
    return gsAcceptsBody(this->Budget, this->Memory->Use(), 20 * KiB);
  };
  EXPECT_TRUE(this->Bench.RunUntil([&] { return !accepts(); }));
  EXPECT_TRUE(this->Bench.RunUntil(accepts));
  this->Bench.RunFor(4 * gsToSeconds(Stalled));
  EXPECT_EQ(this->Figure("ended_over_budget"), 1U);
  EXPECT_EQ(this->Figure("ended_stalled"), 0U);
  callers[0]->ReadAll();
  EXPECT_TRUE(callers[0]->Reset) << "not the one that paused longest";
}

// Guards against a whole answer that is held for a caller that does not read.
TEST_F(MemoryGuard, WholeAnswerThatIsNotTakenIsEnded)
{
  this->Guard(gsFeatureMode::On);
  this->Bench.Add(
    "u1", [](Connection const& to, gsScriptedRequest const& request) {
      to->Write(gsWholeAnswer(request, std::string(7 * MiB, 'a')));
    });
  std::unique_ptr<RawCaller> caller = this->Call("plain");
  EXPECT_TRUE(
    this->Bench.RunUntil([this] { return this->Figure("answers") > 0; }));
  EXPECT_TRUE(this->RunUntilNothingIsHeld());
  EXPECT_EQ(this->Figure("ended_stalled") + this->Figure("ended_over_budget"),
            1U);
  caller->ReadAll();
  EXPECT_TRUE(caller->Reset);
  EXPECT_LT(caller->Answer.size(), 7 * MiB);
}

// Guards against the end of a caller that reads slowly but steadily. What the
// kernel of a caller holds is acknowledged already: one that holds 64 KB
// acknowledges nothing until about as much has been read.
TEST_F(MemoryGuard, CallersThatReadSlowlyButSteadilyAreNotEnded)
{
  this->Guard(gsFeatureMode::On);
  this->Bench.Add("u1", StreamOf(1500));
  constexpr int chosenByKernel = 0;
  std::unique_ptr<RawCaller> small = this->Call("stream");
  std::unique_ptr<RawCaller> large = this->Call("stream", chosenByKernel);
  gsTimer read(this->Bench.Loop, [&] {
    small->Read(2 * KiB);
    large->Read(16 * KiB);
  });
  read.Every(gsMilliseconds(50));
  this->Bench.RunFor(4 * gsToSeconds(Stalled));
  EXPECT_GT(this->Figure("events"), 0U) << "nothing waits";
  EXPECT_EQ(this->Figure("ended_stalled"), 0U);
  EXPECT_EQ(this->Figure("ended_over_budget"), 0U);
  EXPECT_FALSE(small->Ended);
  EXPECT_FALSE(large->Ended);
  EXPECT_TRUE(this->Bench.RunUntil([&] {
    small->ReadAll();
    large->ReadAll();
    return small->IsWhole() && large->IsWhole();
  }));
}

// Guards against bytes that stay counted after a caller has left.
TEST_F(MemoryGuard, BrokenConnectionReleasesItsBytes)
{
  this->Guard(gsFeatureMode::On);
  this->Bench.Add("u1", StreamOf(3000));
  std::unique_ptr<RawCaller> caller = this->Call("stream");
  EXPECT_TRUE(this->Bench.RunUntil(
    [this] { return this->Figure("paused_streams") == 1; }));
  EXPECT_GT(this->Memory->Use().Events, 0U);
  caller->Leave();
  EXPECT_TRUE(this->RunUntilNothingIsHeld());
  EXPECT_EQ(this->Figure("paused_streams"), 0U);
  EXPECT_EQ(this->Figure("ended_stalled"), 0U);
}

// Guards against bodies that are read although there is no memory for them,
// and against a refusal that the caller cannot read since it sends on.
TEST_F(MemoryGuard, LargeBodiesFromManyCallersAreRefusedBeforeTheyAreRead)
{
  this->Guard(gsFeatureMode::On);
  this->Bench.Add("u1",
                  [](Connection const& to, gsScriptedRequest const& request) {
                    to->Write(gsWholeAnswer(request, "answer"));
                  });
  std::vector<std::unique_ptr<RawCaller>> callers;
  std::string const size = std::to_string(600 * KiB);
  for (int i = 0; i < 10; ++i) {
    callers.push_back(std::make_unique<RawCaller>(this->Bench.Server->Port()));
    callers.back()->SendHead("plain", "Content-Length: " + size);
  }
  auto refused = [&] {
    return std::count_if(callers.begin(), callers.end(), [](auto& caller) {
      caller->ReadAll();
      return caller->Answer.rfind("HTTP/1.1 503", 0) == 0;
    });
  };
  EXPECT_TRUE(this->Bench.RunUntil([&] { return refused() == 9; }));
  EXPECT_EQ(this->Figure("refused"), 9U);
  EXPECT_EQ(this->Bench.Arrivals(), 0U);
  // All send their bodies on; the first one is answered.
  std::string const part(10 * KiB, 'b');
  for (int i = 0; i < 60; ++i) {
    for (auto const& caller : callers) {
      caller->Send(part);
    }
    this->Bench.RunFor(0.005);
  }
  EXPECT_TRUE(this->Bench.RunUntil([&] {
    callers[0]->ReadAll();
    return callers[0]->Answer.rfind("HTTP/1.1 200", 0) == 0;
  }));
  EXPECT_EQ(refused(), 9);
  for (std::size_t i = 1; i < callers.size(); ++i) {
    EXPECT_FALSE(callers[i]->Reset);
    EXPECT_NE(callers[i]->Answer.find("Retry-After: 0."), std::string::npos);
    EXPECT_NE(callers[i]->Answer.find("was not run"), std::string::npos);
  }
  EXPECT_EQ(this->Bench.Arrivals(), 1U) << "a refused request has run";
  EXPECT_TRUE(this->RunUntilNothingIsHeld());
}

// Guards against a body without an announced size that avoids the budget.
TEST_F(MemoryGuard, BodyOfUnknownSizeIsRefusedOverTheBudget)
{
  this->Guard(gsFeatureMode::On);
  this->Bench.Add("u1",
                  [](Connection const& to, gsScriptedRequest const& request) {
                    to->Write(gsWholeAnswer(request, "answer"));
                  });
  RawCaller caller(this->Bench.Server->Port());
  caller.SendHead("plain", "Transfer-Encoding: chunked");
  std::string const part(60 * KiB, 'b');
  for (int i = 0; i < 40; ++i) {
    caller.Send(gsChunk(part));
    this->Bench.RunFor(0.01);
  }
  caller.Send(gsChunk(""));
  EXPECT_TRUE(this->Bench.RunUntil([&] {
    caller.ReadAll();
    return caller.Answer.rfind("HTTP/1.1 503", 0) == 0;
  }));
  EXPECT_EQ(this->Bench.Arrivals(), 0U);
  EXPECT_EQ(this->Figure("refused"), 1U);
}

// Guards against announced bodies that never come and keep others out.
TEST_F(MemoryGuard, AnnouncedBodyThatDoesNotComeIsForgotten)
{
  this->Guard(gsFeatureMode::On);
  RawCaller caller(this->Bench.Server->Port());
  caller.SendHead("plain", "Content-Length: " + std::to_string(600 * KiB));
  EXPECT_TRUE(this->Bench.RunUntil(
    [this] { return this->Memory->Use().Expected == 600 * KiB; }));
  EXPECT_TRUE(this->Bench.RunUntil(
    [this] { return this->Memory->Use().Expected == 0; }));
  EXPECT_EQ(this->Bench.Server->OpenExchanges(), 1U);
}

// Guards against a body that avoids the budget because its reservation has
// lapsed.
TEST_F(MemoryGuard, BodyWhoseReservationHasLapsedIsDecidedOnAgain)
{
  this->Guard(gsFeatureMode::On);
  this->Bench.Add("u1",
                  [](Connection const& to, gsScriptedRequest const& request) {
                    to->Write(gsWholeAnswer(request, "answer"));
                  });
  std::vector<std::unique_ptr<RawCaller>> callers;
  // Each of these fills the budget, so that they are accepted in turn.
  for (int i = 0; i < 3; ++i) {
    callers.push_back(std::make_unique<RawCaller>(this->Bench.Server->Port()));
    callers.back()->SendHead("plain",
                             "Content-Length: " + std::to_string(900 * KiB));
    ASSERT_TRUE(this->Bench.RunUntil(
      [this] { return this->Memory->Use().Expected == 900 * KiB; }));
    ASSERT_TRUE(this->Bench.RunUntil(
      [this] { return this->Memory->Use().Expected == 0; }));
  }
  std::string const part(10 * KiB, 'b');
  for (int i = 0; i < 90; ++i) {
    for (auto const& caller : callers) {
      caller->Send(part);
    }
    this->Bench.RunFor(0.005);
  }
  EXPECT_TRUE(this->Bench.RunUntil([&] {
    return std::all_of(callers.begin(), callers.end(), [](auto& caller) {
      caller->ReadAll();
      return !caller->Answer.empty();
    });
  }));
  EXPECT_EQ(this->Figure("refused"), 2U);
  EXPECT_EQ(this->Bench.Arrivals(), 1U);
}

// Guards against a dry run that counts each part of a body.
TEST_F(MemoryGuard, DryRunCountsABodyOfUnknownSizeOnce)
{
  this->Guard(gsFeatureMode::DryRun);
  this->Bench.Add("u1", StreamOf(1));
  RawCaller caller(this->Bench.Server->Port());
  caller.SendHead("plain", "Transfer-Encoding: chunked");
  std::string const part(60 * KiB, 'b');
  for (int i = 0; i < 40; ++i) {
    caller.Send(gsChunk(part));
    this->Bench.RunFor(0.01);
  }
  EXPECT_EQ(this->Figure("refused"), 1U);
}

// Guards against callers that are ended because this process stood still and
// saw nothing of what they took.
TEST_F(MemoryGuard, NobodyIsEndedAfterAStandstill)
{
  this->Guard(gsFeatureMode::On, 20 * MiB, Stalled);
  this->Bench.Add("u1", StreamOf(3000));
  std::unique_ptr<RawCaller> caller = this->Call("stream");
  this->Bench.RunFor(gsToSeconds(Stalled) / 2);
  std::this_thread::sleep_for(2 * Stalled);
  this->Bench.RunFor(gsToSeconds(Stalled) / 2);
  EXPECT_EQ(this->Figure("ended_stalled"), 0U);
  EXPECT_TRUE(this->Bench.RunUntil(
    [this] { return this->Figure("ended_stalled") == 1; }));
}

// Guards against bodies that are held for an upstream that does not read, and
// against that being taken for a crash.
TEST_F(MemoryGuard, UpstreamThatDoesNotReadItsBodyIsEnded)
{
  this->Guard(gsFeatureMode::On);
  gsScriptedUpstream& upstream = this->Bench.Add("u1", StreamOf(1));
  upstream.ReadsRequests = false;
  gsCallerSends sends;
  sends.Body = std::string(7 * MiB, 'b');
  gsCallerViewPtr view = this->Bench.SendAndWait(sends);
  EXPECT_EQ(this->Figure("refused"), 1U) << "over the budget";
  EXPECT_EQ(view->Status, 503U);
  this->Memory.reset();
  this->Guard(gsFeatureMode::On, 20 * MiB);
  view = this->Bench.SendAndWait(sends);
  EXPECT_EQ(view->Status, 502U);
  EXPECT_EQ(this->Figure("ended_uploads"), 1U);
  EXPECT_EQ(
    this->Bench.Gateway->CrashDetection().SuspectTable().Suspects.size(), 0U);
  EXPECT_TRUE(this->RunUntilNothingIsHeld());
}

// Guards against a dry run that changes anything.
TEST_F(MemoryGuard, DryRunCountsAndEndsNobody)
{
  this->Guard(gsFeatureMode::DryRun, 2 * MiB, Stalled);
  this->Bench.Add("u1", StreamOf(3000));
  std::unique_ptr<RawCaller> caller = this->Call("stream");
  EXPECT_TRUE(this->Bench.RunUntil(
    [this] { return this->Figure("ended_stalled") == 1; }));
  this->Bench.RunFor(0.5);
  EXPECT_EQ(this->Figure("ended_stalled"), 1U) << "counted more than once";
  EXPECT_EQ(this->Bench.Gateway->OpenRequests(), 1U);
  EXPECT_TRUE(this->Bench.RunUntil([&] {
    caller->ReadAll();
    return caller->IsWhole();
  }));
  RawCaller large(this->Bench.Server->Port());
  large.SendHead("stream", "Content-Length: " + std::to_string(3 * MiB));
  EXPECT_TRUE(
    this->Bench.RunUntil([this] { return this->Figure("refused") == 1; }));
  this->Bench.RunFor(0.1);
  large.ReadAll();
  EXPECT_TRUE(large.Answer.empty());
  EXPECT_FALSE(large.Ended);
}

// Guards against any change of behaviour while the feature is off.
TEST_F(MemoryGuard, OffEndsNobodyAndRefusesNothing)
{
  this->Guard(gsFeatureMode::Off);
  this->Bench.Add("u1", StreamOf(2000));
  std::unique_ptr<RawCaller> caller = this->Call("stream");
  this->Bench.RunFor(2 * gsToSeconds(Stalled));
  gsCallerSends sends;
  sends.Target = "/stream/x";
  sends.Body = std::string(3 * MiB, 'b');
  EXPECT_EQ(this->Bench.SendAndWait(sends)->Status, 200U);
  EXPECT_EQ(this->Figure("ended_stalled"), 0U);
  EXPECT_EQ(this->Figure("refused"), 0U);
  EXPECT_TRUE(this->Bench.RunUntil([&] {
    caller->ReadAll();
    return caller->IsWhole();
  }));
}
