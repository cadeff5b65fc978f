/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Case 1: a runner hands out wrong bytes in one of 50 of its answers: a stream
 * whose first event does not end. As on the platform, a host that goes over
 * its memory is killed and started again.
 *
 * case1 PROGRAM FOLDER RECORD TROUBLE
 */
#include "standIns.h"

#include <csignal>
#include <cstdio>
#include <exception>

#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace review;

constexpr int MemoryMb = 260;
constexpr int StreamClientsPerHost = 6;
constexpr int PlainClientsPerHost = 10;
/** Of a request that is not streamed; the sheet's are of up to 450 ms. */
constexpr double PlainWork = 0.3;
constexpr int Events = 40;
constexpr double EventGap = 0.025;
/** The faulty runner spoils one of so many of its answers: 0.02. */
constexpr int SpoiledOf = 50;
/** Bytes a second of a spoilt answer: 400 Mbit/s, on links of 1,000. */
constexpr double SpoiltRate = 50e6;
constexpr double Length = 70;
constexpr double RestartDelay = 0.5;
constexpr std::size_t AllowedLosses = 3;

std::string Chunk(std::string const& bytes)
{
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string const StreamHeaders =
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

bool SendPlain(int descriptor, std::string const& id)
{
  Sleep(PlainWork);
  return SendAll(descriptor, AnswerHead(id, "Content-Length: 800\r\n") +
                               std::string(800, 'a'));
}

bool IsPlain(Head const& head)
{
  return head.First.find(" /confirm/") != std::string::npos;
}

bool SendStream(int descriptor, std::string const& id)
{
  if (!SendAll(descriptor, AnswerHead(id, StreamHeaders))) {
    return false;
  }
  for (int i = 1; i <= Events; ++i) {
    Sleep(EventGap);
    if (!SendAll(descriptor, Chunk("id: " + std::to_string(i) +
                                   "\ndata: " + id + "\n\n"))) {
      return false;
    }
  }
  return SendAll(descriptor, "0\r\n\r\n");
}

/** Wrong bytes without an end, until the connection is closed. */
void SendSpoilt(Record& record, int descriptor, std::string const& id)
{
  record.Line("faulty runner: begins to spoil its answer to " + id);
  std::string const block = Chunk(std::string(65536, '#'));
  double sent = 0;
  double start = Now();
  bool open = SendAll(descriptor, AnswerHead(id, StreamHeaders));
  while (open) {
    open = SendAll(descriptor, block);
    sent += static_cast<double>(block.size());
    double ahead = sent / SpoiltRate - (Now() - start);
    if (ahead > 0) {
      Sleep(ahead);
    }
  }
  record.Line("faulty runner: its answer to " + id + " was closed after " +
              std::to_string(static_cast<long>(sent / 1e6)) + " MB");
}

struct Loss
{
  std::string Id;
  bool HadBegun = false; ///< A part of its answer had come.
};

struct Client
{
  Record& Out;
  Arrivals& Reached;
  Host const& Entry;
  int Number;
  bool IsPlain;
  std::atomic<bool>& Stop;
  std::atomic<long>& Served;
  std::mutex& Mutex;
  std::vector<Loss>& Losses;

  void Run()
  {
    int descriptor = -1;
    int answers = 0;
    std::unique_ptr<Reader> reader;
    for (int i = 1; !this->Stop; ++i) {
      if (descriptor < 0) {
        descriptor = Connect(this->Entry.Front);
        reader = std::make_unique<Reader>(descriptor);
        answers = 0;
      }
      if (descriptor < 0) {
        Sleep(0.2);
        continue;
      }
      // Clients wait four times the objective for the first event.
      timeval patience{ 8, 0 };
      setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &patience,
                 sizeof(patience));
      std::string id = this->Entry.Name + "." + std::to_string(this->Number) +
                       "." + std::to_string(i);
      double sentAt = Now();
      Answer answer = Ask(descriptor, *reader, this->MakeRequest(id, i));
      this->Judge(id, answer, answers, sentAt);
      if (answer.Whole && answer.KeepsConnection) {
        ++answers;
        continue;
      }
      close(descriptor);
      descriptor = -1;
      Sleep(0.1);
    }
    if (descriptor >= 0) {
      close(descriptor);
    }
  }

  std::string MakeRequest(std::string const& id, int i) const
  {
    if (this->IsPlain) {
      return Request("POST", "/confirm/" + std::to_string(i), id, "key-one",
                     1500);
    }
    return Request(
      "POST", "/review/" + std::to_string(i), id, "key-one", 15000,
      "Gradescale-Model: m\r\nGradescale-Token-Usage: 1460,240\r\n"
      "Gradescale-Prompt-Prefix: " +
        std::to_string(10 + (this->Number + i) % 40) + ":800,f" +
        std::to_string(this->Number * 100000 + i) + ":660\r\n");
  }

  void Judge(std::string const& id, Answer const& answer, int answers,
             double sentAt)
  {
    if (answer.Whole && answer.Status == 200) {
      ++this->Served;
      return;
    }
    if (answer.Whole) {
      this->Out.Line("client " + id + ": " + std::to_string(answer.Status) +
                     " " + answer.Body);
      Sleep(0.5); // Longer than the time in Retry-After.
      return;
    }
    std::string runner = this->Reached.RunnerOf(id);
    this->Out.Line("client " + id + ": " + answer.Problem + " after " +
                   std::to_string(Now() - sentAt) + " s; " +
                   std::to_string(answers) +
                   " answers on this connection before; ran at " +
                   (runner.empty() ? "none" : runner));
    bool sound = !runner.empty() && runner != "i-faulty";
    if (sound && answers > 0) {
      std::lock_guard<std::mutex> lock(this->Mutex);
      this->Losses.push_back({ id, answer.Status != 0 });
    }
  }
};

/** The platform: kills what goes over its memory, starts what has ended. */
struct Platform
{
  Record& Out;
  std::vector<std::unique_ptr<Host>>& Hosts;
  std::vector<std::string> Seeds;
  std::map<std::string, int> Ends;

  void Watch(double until)
  {
    while (Now() < until) {
      for (auto& host : this->Hosts) {
        long kib = host->AnonymousKib();
        if (kib > MemoryMb * 1024L) {
          this->Out.Line("platform: " + host->Name + " uses " +
                         std::to_string(kib / 1024) + " MB of " +
                         std::to_string(MemoryMb) + " and is killed");
          ++this->Ends[host->Name];
          host->Signal(SIGKILL);
          Sleep(RestartDelay);
        }
        if (host->HasEnded()) {
          host->Start(this->Seeds);
        }
      }
      Sleep(0.02);
    }
  }
};

int RunCase(std::string const& program, std::string const& folder,
            std::string const& recordFile, bool trouble)
{
  // These outlive the function, as the threads of stand-ins use them.
  Record& record = *new Record(recordFile);
  Store& store = *new Store;
  Arrivals& reached = *new Arrivals;
  std::atomic<int>& answered = *new std::atomic<int>(0);
  auto sound = [](int descriptor, Head const& head, std::string const&) {
    std::string id = head.Find("gradescale-attempt-id");
    return IsPlain(head) ? SendPlain(descriptor, id)
                         : SendStream(descriptor, id);
  };
  for (int i = 1; i <= 4; ++i) {
    StartRunner(store, reached, "i-sound-" + std::to_string(i), "service-a",
                i % 2 == 0 ? "zone-a" : "zone-b", sound);
  }
  StartRunner(store, reached, "i-faulty", "service-a", "zone-a",
              [&](int descriptor, Head const& head, std::string const&) {
                std::string id = head.Find("gradescale-attempt-id");
                if (IsPlain(head)) {
                  return SendPlain(descriptor, id);
                }
                if (trouble && ++answered % SpoiledOf == 0) {
                  SendSpoilt(record, descriptor, id);
                  return false;
                }
                return SendStream(descriptor, id);
              });
  store.Put("op", "config",
            Configuration(Json::array(
              { Route("/review/", "streaming", 15000, 2000),
                Route("/confirm/", "non_idempotent", 1500, 300) })));
  std::vector<std::unique_ptr<Host>> hosts;
  hosts.push_back(
    std::make_unique<Host>(program, folder, "edge-a", "zone-a", store));
  hosts.push_back(
    std::make_unique<Host>(program, folder, "edge-b", "zone-b", store));
  Platform platform{ record, hosts, {}, {} };
  for (auto const& host : hosts) {
    platform.Seeds.push_back(host->PeerAddress);
  }
  for (auto const& host : hosts) {
    host->Start(platform.Seeds);
  }
  for (auto const& host : hosts) {
    if (!host->WaitReady(15)) {
      record.Line(host->Name + " did not get ready");
      return 2;
    }
  }
  record.Line("both hosts are ready");
  std::atomic<bool> stop{ false };
  std::atomic<long> served{ 0 };
  std::mutex mutex;
  std::vector<Loss> losses;
  std::vector<std::thread> threads;
  for (auto const& host : hosts) {
    for (int i = 0; i < StreamClientsPerHost + PlainClientsPerHost; ++i) {
      threads.emplace_back([&, entry = host.get(), i] {
        Client{ record, reached, *entry, i,     i >= StreamClientsPerHost,
                stop,   served,  mutex,  losses }
          .Run();
      });
    }
  }
  platform.Watch(Now() + Length);
  stop = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (auto const& [name, count] : platform.Ends) {
    record.Line(name + " went over its memory " + std::to_string(count) +
                " times");
  }
  std::size_t unanswered = 0;
  for (Loss const& loss : losses) {
    unanswered += loss.HadBegun ? 0 : 1;
  }
  record.Line("served whole: " + std::to_string(served) +
              "; run by a sound runner for a kept connection that was closed "
              "without an answer: " +
              std::to_string(unanswered) + "; in the middle of one: " +
              std::to_string(losses.size() - unanswered));
  if (served < 100) {
    return 2;
  }
  return unanswered > AllowedLosses ? 1 : 0;
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
