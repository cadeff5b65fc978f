/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Runners say that they are brittle while there is more work than room; one of
 * them crashes once, by itself, and is back after some seconds.
 *
 * caseLimit PROGRAM FOLDER RECORD TROUBLE
 */
#include "standIns.h"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <set>

#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace review;

constexpr int HostCount = 9;
constexpr int RunnerCount = 6;
constexpr int Slots = 6;
/** They wait in a runner's queue, until it lets fewer wait. */
constexpr int Queue = 12;
/** Rejections that a brittle runner bears in a second. */
constexpr std::size_t Bears = 1;
constexpr double Work = 0.3;
constexpr double Calm = 60;   ///< Requests a second; there is room for 120.
constexpr double Burst = 180; ///< Three times that.
constexpr double Contact = 3;
constexpr double Back = 3;
constexpr double RowLapse = 3.6; ///< Three heartbeats.
constexpr double CrashAfter = 7; ///< From when they say that they are brittle.
constexpr double Length = 28;    ///< Likewise.

/** What all runners have in common. */
struct Service
{
  Service(Record& record, Store& store)
    : Out(record)
    , Rows(store)
  {
  }

  Record& Out;
  Store& Rows;
  std::atomic<bool> IsBrittle{ false };
  std::atomic<bool> IsTight{ false };
  std::mutex Mutex;
  int Starts = 0;
  std::vector<double> Falls;
  int Broken = 0; ///< Requests that ran when their runner ended.
};

class BrittleRunner
{
public:
  explicit BrittleRunner(Service& service)
    : All(service)
  {
    this->Start();
  }

  void End(bool isFall)
  {
    std::string old;
    {
      std::lock_guard<std::mutex> lock(this->All.Mutex);
      if (!this->IsUp) {
        return;
      }
      this->IsUp = false;
      old = this->Id;
      this->All.Broken += this->Busy;
      if (isFall) {
        this->All.Falls.push_back(Now());
      }
      this->All.Out.Line("runner " + old +
                         (isFall ? ": falls over" : ": crashes") + " with " +
                         std::to_string(this->Busy) + " requests");
      shutdown(this->Listener, SHUT_RDWR);
      close(this->Listener);
      for (int descriptor : this->Open) {
        shutdown(descriptor, SHUT_RDWR);
      }
    }
    std::thread([this, old] {
      Sleep(Back);
      this->Start();
      Sleep(RowLapse - Back);
      this->All.Rows.Remove("servers", old);
    }).detach();
  }

private:
  void Start()
  {
    int port = 0;
    int listener = Listen(port);
    std::string id;
    {
      std::lock_guard<std::mutex> lock(this->All.Mutex);
      id = "i-" + std::to_string(++this->All.Starts);
      this->Listener = listener;
      this->Id = id;
      this->IsUp = true;
      this->Busy = 0;
      this->Running = 0;
      this->Rejections.clear();
    }
    std::thread([this, listener, id] {
      for (;;) {
        int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
          return;
        }
        std::thread([this, descriptor, id] {
          this->Serve(descriptor, id);
        }).detach();
      }
    }).detach();
    this->All.Rows.Put("servers", id,
                       { { "service", "service-a" },
                         { "address", "127.0.0.1:" + std::to_string(port) },
                         { "zone", "zone-a" },
                         { "version", "v1" },
                         { "capacity_slots", Slots },
                         { "state", "ready" },
                         { "cold_left_ms", 0 },
                         { "call_seq", 0 } });
  }

  void Serve(int descriptor, std::string const& id)
  {
    {
      std::lock_guard<std::mutex> lock(this->All.Mutex);
      this->Open.insert(descriptor);
    }
    Reader reader(descriptor);
    Head head;
    std::string body;
    while (ReadHead(reader, head) && ReadBody(reader, head, body) &&
           this->Answer(descriptor, head, id)) {
      body.clear();
    }
    std::lock_guard<std::mutex> lock(this->All.Mutex);
    this->Open.erase(descriptor);
    close(descriptor);
  }

  bool Answer(int descriptor, Head const& head, std::string const& id)
  {
    std::string request = head.Find("gradescale-attempt-id");
    std::string words = this->All.IsBrittle
                          ? "Server-Brittle: " + std::to_string(Bears) + "\r\n"
                          : std::string();
    std::string refusal = "\r\nGradescale-Attempt-Id: " + request +
                          "\r\nGradescale-Not-Executed: 1\r\n" + words +
                          "Content-Length: 0\r\n\r\n";
    if (head.Find("gradescale-expect-instance") != id) {
      return SendAll(descriptor, "HTTP/1.1 421 Misdirected" + refusal);
    }
    bool falls = false;
    {
      std::unique_lock<std::mutex> lock(this->All.Mutex);
      if (this->Busy >= Slots + (this->All.IsTight ? 0 : Queue)) {
        this->Rejections.insert(Now());
        while (*this->Rejections.begin() < Now() - 1) {
          this->Rejections.erase(this->Rejections.begin());
        }
        falls = this->All.IsBrittle && this->Rejections.size() > Bears;
        lock.unlock();
        if (falls) {
          this->End(true);
          return false;
        }
        return SendAll(descriptor, "HTTP/1.1 503 Unavailable" + refusal);
      }
      ++this->Busy;
    }
    for (bool runs = false; !runs;) {
      std::unique_lock<std::mutex> lock(this->All.Mutex);
      runs = this->Running < Slots;
      this->Running += runs ? 1 : 0;
      lock.unlock();
      Sleep(runs ? Work : 0.002);
    }
    {
      std::lock_guard<std::mutex> lock(this->All.Mutex);
      if (!this->IsUp || this->Id != id) {
        return false;
      }
      --this->Busy;
      --this->Running;
    }
    return SendAll(
      descriptor, AnswerHead(request, words + "Content-Length: 2\r\n") + "ok");
  }

  Service& All;
  // Guarded by All.Mutex.
  std::string Id;
  bool IsUp = false;
  int Listener = -1;
  int Busy = 0;
  int Running = 0;
  std::multiset<double> Rejections;
  std::set<int> Open;
};

int RunCase(std::string const& program, std::string const& folder,
            std::string const& recordFile, bool trouble)
{
  // These outlive the function, as the threads of stand-ins use them.
  Record& record = *new Record(recordFile);
  Store& store = *new Store;
  auto& service = *new Service(record, store);
  std::vector<BrittleRunner*> runners;
  runners.reserve(RunnerCount);
  for (int i = 0; i < RunnerCount; ++i) {
    runners.push_back(new BrittleRunner(service));
  }
  store.Put("op", "config",
            Configuration(Json::array(
              { Route("/review/", "non_idempotent", 1500, 300) })));
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::string> seeds;
  for (int i = 0; i < HostCount; ++i) {
    hosts.push_back(
      std::make_unique<Host>(program, folder, "edge-" + std::to_string(i),
                             i % 2 == 0 ? "zone-a" : "zone-b", store));
    if (i < 3) {
      seeds.push_back(hosts.back()->PeerAddress);
    }
  }
  for (auto const& host : hosts) {
    host->Start(seeds);
  }
  for (auto const& host : hosts) {
    if (!host->WaitReady(15)) {
      record.Line(host->Name + " did not get ready");
      return 2;
    }
  }
  Sleep(7); // They know each other, and their numbers.
  auto& statuses = *new std::map<int, int>;
  auto& mutex = *new std::mutex;
  auto& rate = *new std::atomic<double>(Calm);
  auto& stop = *new std::atomic<bool>(false);
  std::thread load([&] {
    double next = Now();
    for (int i = 1; !stop; ++i) {
      int port = hosts[static_cast<std::size_t>(i) % hosts.size()]->Front;
      std::thread([&statuses, &mutex, port, i] {
        int descriptor = Connect(port);
        Reader reader(descriptor);
        Answer answer =
          Ask(descriptor, reader,
              Request("POST", "/review/x", "r" + std::to_string(i), "key-one",
                      1500, "Connection: close\r\n"));
        close(descriptor);
        std::lock_guard<std::mutex> lock(mutex);
        ++statuses[answer.Status];
      }).detach();
      next += 1 / rate;
      Sleep(std::max(0.0, next - Now()));
    }
  });
  Sleep(4);
  double begun = Now();
  service.IsBrittle = true;
  record.Line("all runners say that they are brittle and bear " +
              std::to_string(Bears) + " rejections a second");
  Sleep(Contact);
  service.IsTight = true;
  rate = Burst;
  record.Line("no runner lets any wait beyond its slots; more work than room");
  Sleep(begun + CrashAfter - Now());
  if (trouble) {
    runners.front()->End(false);
  }
  Sleep(begun + Length - Now());
  stop = true;
  load.join();
  Sleep(2);
  for (auto const& [status, count] : statuses) {
    record.Line("clients: status " + std::to_string(status) + ": " +
                std::to_string(count));
  }
  std::lock_guard<std::mutex> lock(service.Mutex);
  double allowed = 2 + 0.1 * RunnerCount;
  record.Line("falls: " + std::to_string(service.Falls.size()) +
              ", allowed: " + std::to_string(allowed).substr(0, 3) +
              "; requests that ended with their runners: " +
              std::to_string(service.Broken));
  if (statuses[200] < 500) {
    return 2;
  }
  return static_cast<double>(service.Falls.size()) > allowed ? 1 : 0;
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
