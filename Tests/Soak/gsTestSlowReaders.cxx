/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Thousands of callers that do not read their streams beside some that do, at
 * one host with a budget of a small machine, on real processes.
 */
#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gsRoutedSystem.h"

namespace {

constexpr std::size_t SilentCallers = 2000;
constexpr std::size_t Readers = 50;
constexpr std::uint64_t KibPerMib = 1024;
/** Of the machine, which has memory for all these streams at once. */
constexpr std::uint64_t MachineMib = 260;
/** Leaves as much for bytes that wait as a machine of 120 MiB has by default.
 */
constexpr double BudgetShare = 0.35 * 120 / MachineMib;
/** Part of the resident memory that each open stream takes beside its bytes:
 * the buffers of fixed size of both HTTP libraries. */
constexpr std::uint64_t KibPerStream = 64;

/** A caller that sends a request and never reads. */
class SilentCaller
{
public:
  SilentCaller(std::string const& address, std::string const& id)
    : Descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    int size = 4096;
    setsockopt(this->Descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    std::size_t colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port =
      htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    static_cast<void>(
      connect(this->Descriptor, reinterpret_cast<sockaddr*>(&to), sizeof(to)));
    std::string request =
      "POST /stream/x HTTP/1.1\r\nHost: service.example\r\n"
      "Gradescale-Deadline-Ms: 20000\r\nAuthorization: Token key-one\r\n"
      "Content-Length: 0\r\nGradescale-Attempt-Id: ";
    request += id + "\r\n\r\n";
    send(this->Descriptor, request.data(), request.size(), MSG_NOSIGNAL);
  }
  ~SilentCaller() { close(this->Descriptor); }
  SilentCaller(SilentCaller const&) = delete;
  SilentCaller& operator=(SilentCaller const&) = delete;

  /** Reads what has come. */
  void Read()
  {
    char buffer[16384];
    ssize_t count = 0;
    while ((count = recv(this->Descriptor, buffer, sizeof(buffer),
                         MSG_DONTWAIT)) > 0) {
      this->Answer.append(buffer, static_cast<std::size_t>(count));
    }
  }

  /** Whether the last chunk of the answer has been read. */
  bool IsWhole() const
  {
    std::string const last = "\r\n0\r\n\r\n";
    return this->Answer.size() > last.size() &&
           this->Answer.compare(this->Answer.size() - last.size(),
                                std::string::npos, last) == 0;
  }

  /** Whether the host has reset the connection. */
  bool IsReset() const
  {
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(this->Descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    return error == ECONNRESET;
  }

private:
  int Descriptor;
  std::string Answer;
};

/** Callers that read what they asked for, and ask again. */
class ReadingCallers
{
public:
  explicit ReadingCallers(gsRoutedSystem& system)
    : System(system)
    , Open(Readers)
  {
  }

  /** Sends for each caller that waits for nothing. */
  void SendNext()
  {
    for (std::size_t i = 0; i < this->Open.size(); ++i) {
      if (this->Open[i] == nullptr || this->Open[i]->Done) {
        this->Open[i] =
          this->System.Send("host0", i % 2 == 0 ? "stream" : "plain");
        this->Replies.push_back(this->Open[i]);
      }
    }
  }

  bool IsDone() const
  {
    return std::all_of(this->Open.begin(), this->Open.end(),
                       [](auto const& reply) { return reply->Done; });
  }

  std::size_t Lost() const
  {
    return static_cast<std::size_t>(std::count_if(
      this->Replies.begin(), this->Replies.end(), [this](auto const& reply) {
        return !reply->Good() || reply->Body != this->System.Expected(*reply);
      }));
  }

  std::size_t Count() const { return this->Replies.size(); }

private:
  gsRoutedSystem& System;
  std::vector<gsRoutedReplyPtr> Open;
  std::vector<gsRoutedReplyPtr> Replies;
};

void Show(char const* name, std::uint64_t value)
{
  std::cout << name << ": " << value << '\n';
  testing::Test::RecordProperty(name, std::to_string(value));
}

} // namespace

// Guards against a small host that ends for lack of memory, or that loses
// callers who read, because others do not.
TEST(SlowReaders, TwoThousandThatDoNotReadBesideFiftyThatDo)
{
  gsRoutedPlan plan;
  plan.Hosts = 1;
  plan.Runners = 1;
  plan.Events = 40;
  plan.GapMs = 50;
  plan.PadBytes = 4 << 10;
  plan.Slots = 4000;
  plan.IdleTimeoutMs = 8000;
  plan.DirectRunners = true;
  plan.Memory = { { "mode", "on" },
                  { "total_mb", MachineMib },
                  { "buffers_share", BudgetShare } };
  gsRoutedSystem system(plan);
  std::uint64_t before = system.PeakMemoryKib("host0");
  ReadingCallers readers(system);
  readers.SendNext();
  std::vector<std::unique_ptr<SilentCaller>> silent;
  while (silent.size() < SilentCallers) {
    silent.push_back(std::make_unique<SilentCaller>(
      system.AddressOf("host0"), "s" + std::to_string(silent.size())));
    if (silent.size() % 50 == 0) {
      readers.SendNext();
      system.RunFor(0.01);
    }
  }
  auto ended = [&system] {
    gsJson memory = system.Memory("host0");
    return memory.is_object()
             ? memory["ended_stalled"].get<std::size_t>() +
                 memory["ended_over_budget"].get<std::size_t>()
             : 0;
  };
  gsTime look{};
  bool allEnded = system.RunUntil(
    [&] {
      readers.SendNext();
      if (gsLoop::Now() - look < gsMilliseconds(200)) {
        return false;
      }
      look = gsLoop::Now();
      return ended() >= SilentCallers;
    },
    30);
  EXPECT_TRUE(allEnded) << ended() << " ended";
  EXPECT_TRUE(system.RunUntil([&] { return readers.IsDone(); }, 5));
  gsJson memory = system.Memory("host0");
  std::uint64_t peak = system.PeakMemoryKib("host0");
  std::uint64_t limit = memory["limit_bytes"].get<std::uint64_t>();
  Show("requests_of_readers", readers.Count());
  Show("lost_of_readers", readers.Lost());
  Show("peak_memory_kib", peak);
  Show("memory_before_kib", before);
  Show("budget_kib", limit / KibPerMib);
  Show("peak_budget_kib",
       memory["peak_bytes"].get<std::uint64_t>() / KibPerMib);
  Show("peak_events_kib",
       memory["peaks"]["events"].get<std::uint64_t>() / KibPerMib);
  Show("peak_partial_kib",
       memory["peaks"]["partial"].get<std::uint64_t>() / KibPerMib);
  EXPECT_EQ(readers.Lost(), 0U);
  EXPECT_GT(readers.Count(), 2 * Readers);
  EXPECT_LE(memory["peak_bytes"].get<std::uint64_t>(), limit);
  EXPECT_LE(peak, MachineMib * KibPerMib);
  EXPECT_LE(peak - before,
            limit / KibPerMib + KibPerStream * (SilentCallers + Readers));
  EXPECT_EQ(memory["ended_stalled"].get<std::size_t>() +
              memory["ended_over_budget"].get<std::size_t>(),
            SilentCallers);
  auto reset =
    std::count_if(silent.begin(), silent.end(),
                  [](auto const& caller) { return caller->IsReset(); });
  EXPECT_EQ(static_cast<std::size_t>(reset), SilentCallers);
}

// Guards against answers that are lost at a planned stop since their callers
// pause, although there is memory for them: review/2.
TEST(SlowReaders, CallersThatPauseDuringAPlannedStopGetTheirAnswers)
{
  constexpr std::size_t callers = 8;
  gsRoutedPlan plan;
  plan.Hosts = 2;
  plan.Runners = 2;
  plan.Events = 50;
  plan.GapMs = 2;
  plan.PadBytes = 4 << 10;
  plan.DirectRunners = true;
  plan.Memory = { { "mode", "on" }, { "total_mb", 260 } };
  gsRoutedSystem system(plan);
  std::vector<std::unique_ptr<SilentCaller>> pausing;
  for (std::size_t i = 0; i < callers; ++i) {
    pausing.push_back(std::make_unique<SilentCaller>(system.AddressOf("host0"),
                                                     "p" + std::to_string(i)));
  }
  ASSERT_TRUE(
    system.RunUntil([&] { return system.AllRuns().size() >= callers; }, 5));
  system.RunFor(0.5);
  system.Signal("host0", SIGTERM);
  system.RunFor(4);
  auto isWhole = [](auto const& caller) { return caller->IsWhole(); };
  EXPECT_TRUE(system.RunUntil(
    [&] {
      for (auto const& caller : pausing) {
        caller->Read();
      }
      return std::all_of(pausing.begin(), pausing.end(), isWhole);
    },
    3))
    << std::count_if(pausing.begin(), pausing.end(), isWhole) << " are whole";
}
