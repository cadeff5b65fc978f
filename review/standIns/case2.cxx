/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Case 2: clients read nothing of an answer for 4 s, and go on, while their
 * host is stopped as planned.
 *
 * case2 PROGRAM FOLDER RECORD TROUBLE
 */
#include "standIns.h"

#include <csignal>
#include <cstdio>
#include <exception>

#include <unistd.h>

namespace {

using namespace review;

constexpr int Clients = 8;
constexpr std::size_t AnswerBytes = 200000;
/** Links have small windows. */
constexpr int ReceiveBuffer = 8192;
constexpr double Pause = 4.0;
/** Without the trouble, clients read on in so many steps in that time. */
constexpr int Steps = 10;
/** From the requests to the SIGTERM. */
constexpr double StopAfter = 0.5;

struct Outcome
{
  Answer First;
  Answer Second;
  std::string Id;
  double EndedAt = 0;
};

/** One small request, then one whose answer is read with a pause. */
void RunClient(Record& record, Host const& host, int number, bool trouble,
               std::atomic<int>& waiting, std::atomic<bool>& go,
               Outcome& outcome)
{
  int descriptor = Connect(host.Front, ReceiveBuffer);
  Reader reader(descriptor);
  outcome.Id = "slow." + std::to_string(number);
  outcome.First =
    Ask(descriptor, reader,
        Request("POST", "/review/small", "first." + std::to_string(number),
                "key-one", 15000));
  --waiting;
  while (!go) {
    Sleep(0.001);
  }
  Head head;
  record.Line("client " + outcome.Id + ": sends its request");
  if (!SendAll(descriptor, Request("POST", "/review/large", outcome.Id,
                                   "key-one", 15000)) ||
      !ReadHead(reader, head)) {
    outcome.Second.Problem = "no answer";
    return;
  }
  outcome.Second.Status = std::stoi(head.First.substr(9, 3));
  outcome.Second.Runner = head.Find("gradescale-response-signature");
  std::size_t size = std::stoul(head.Find("content-length"));
  reader.Some(20000, outcome.Second.Body);
  if (trouble) {
    Sleep(Pause);
  }
  for (int step = 0; !trouble && step < Steps; ++step) {
    Sleep(Pause / Steps);
    reader.Some(15000, outcome.Second.Body);
  }
  std::size_t rest = size - outcome.Second.Body.size();
  outcome.Second.Whole = reader.Bytes(rest, outcome.Second.Body);
  if (!outcome.Second.Whole) {
    outcome.Second.Problem = reader.Error == 0 ? "closed" : "reset";
  }
  outcome.EndedAt = Now();
  close(descriptor);
}

int RunCase(std::string const& program, std::string const& folder,
            std::string const& recordFile, bool trouble)
{
  // These outlive the function, as the threads of stand-ins use them.
  Record& record = *new Record(recordFile);
  Store& store = *new Store;
  Arrivals& reached = *new Arrivals;
  for (int i = 1; i <= 2; ++i) {
    StartRunner(store, reached, "i-sound-" + std::to_string(i), "service-a",
                i == 1 ? "zone-a" : "zone-b",
                [](int descriptor, Head const& head, std::string const&) {
                  bool large = head.First.find("/large") != std::string::npos;
                  std::string body(large ? AnswerBytes : 800, 'a');
                  Sleep(0.06);
                  return SendAll(descriptor,
                                 AnswerHead(head.Find("gradescale-attempt-id"),
                                            "Content-Length: " +
                                              std::to_string(body.size()) +
                                              "\r\n") +
                                   body);
                });
  }
  store.Put("op", "config",
            Configuration(Json::array(
              { Route("/review/", "non_idempotent", 15000, 300) })));
  Host a(program, folder, "edge-a", "zone-a", store);
  Host b(program, folder, "edge-b", "zone-b", store);
  std::vector<std::string> seeds{ a.PeerAddress, b.PeerAddress };
  a.Start(seeds);
  b.Start(seeds);
  if (!a.WaitReady(15) || !b.WaitReady(15)) {
    record.Line("a host did not get ready");
    return 2;
  }
  Sleep(6); // They know each other, and their numbers.
  std::atomic<int> waiting{ Clients };
  std::atomic<bool> go{ false };
  std::vector<Outcome> outcomes(Clients);
  std::vector<std::thread> threads;
  threads.reserve(Clients);
  for (int i = 0; i < Clients; ++i) {
    threads.emplace_back([&, i] {
      RunClient(record, a, i, trouble, waiting, go,
                outcomes[static_cast<std::size_t>(i)]);
    });
  }
  while (waiting > 0) {
    Sleep(0.01);
  }
  go = true;
  Sleep(StopAfter);
  double stoppedAt = Now();
  record.Line("platform: SIGTERM to edge-a, which uses " +
              std::to_string(a.AnonymousKib() / 1024) + " MB of 260");
  a.Signal(SIGTERM);
  for (std::thread& thread : threads) {
    thread.join();
  }
  while (!a.HasEnded() && Now() < stoppedAt + 8) {
    Sleep(0.02);
  }
  record.Line("platform: edge-a has ended " +
              std::to_string(Now() - stoppedAt) + " s after the SIGTERM");
  int lost = 0;
  int judged = 0;
  for (Outcome const& outcome : outcomes) {
    std::string runner = reached.RunnerOf(outcome.Id);
    record.Line("client " + outcome.Id + ": status " +
                std::to_string(outcome.Second.Status) + ", " +
                std::to_string(outcome.Second.Body.size()) + " of " +
                std::to_string(AnswerBytes) + " bytes, " +
                (outcome.Second.Whole ? "whole" : outcome.Second.Problem) +
                " " + std::to_string(outcome.EndedAt - stoppedAt) +
                " s after the SIGTERM; ran at " +
                (runner.empty() ? "none" : runner));
    bool isJudged =
      outcome.First.Whole && outcome.First.KeepsConnection && !runner.empty();
    judged += isJudged ? 1 : 0;
    lost += isJudged && !outcome.Second.Whole ? 1 : 0;
  }
  record.Line("ran, on a kept connection: " + std::to_string(judged) +
              "; of these without a complete answer: " + std::to_string(lost));
  if (judged < Clients / 2) {
    return 2;
  }
  return lost > 3 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 5) {
    return 2;
  }
  int result = 2;
  try {
    result = RunCase(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
  } catch (std::exception const& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  std::fflush(nullptr);
  _exit(result);
}
