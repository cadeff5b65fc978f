/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Stand-in for one of the users' runners, as far as the routed mode meets it.
 * Each request that it runs is one line "run ID MICROSECONDS STATUS SIGNATURE
 * BODY" on standard output, by the monotonic clock, written before anything
 * else is done. The signature is that of the run, and the body that of the
 * whole answer, without that of a stream.
 * /stream/ and /resume/ answer with events "ID:NUMBER" from 1, or from after
 * Last-Event-Id, to --events; all other paths with one text. With --version,
 * each event also holds a line "version: TEXT". A request that it
 * turns away for its rest is one line "away ID MICROSECONDS", and one that it
 * turns away at capacity is one line "full ID MICROSECONDS". POST /control
 * takes {"cut": N}: so many of the next answers break off; {"unending": N}: so
 * many of the next answers go on without an end, 64 MB a second, a stream with
 * an event after the first half of its events or in place of the first;
 * {"unframed": true}:
 * later answers state no end, and those that break off are closed in an
 * orderly way; {"leaving": true}: all answers from then on say that it leaves;
 * {"rest": "VALUE", "rest_ms": N}: for so long it turns requests away and asks
 * for rest of that value;
 * {"limit": "VALUE"}: all later answers name that rate limit, or none if the
 * value is empty; {"brittle": N}: all later answers say so, and the process
 * ends when it has turned away more than N requests at capacity in a second;
 * {"fail": SHARE, "seed": N}: that share of later runs answers 500. A request
 * whose body is "crash" ends the process
 * --crash-ms after it began.
 */
#include <cstdlib>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include <CLI/CLI.hpp>

#include "gsStandIn.h"

namespace {

using Exchange = std::shared_ptr<gsHttpExchange>;

struct Options
{
  std::string Listen;
  std::string Id;
  std::string Version; ///< Of its software; empty for none.
  int Events = 10;
  int GapMs = 10;
  int WorkMs = 10;
  int Most = 32; ///< Requests at once.
  int PadBytes = 0;
  int CrashMs = 30;
};

constexpr unsigned Ok = 200;

class Runner;

/** One request that runs. */
struct Run : std::enable_shared_from_this<Run>
{
  Runner& Owner;
  Exchange Call;
  std::string Id;
  std::string Signature;
  unsigned Status;
  int Next = 1;
  bool Cut = false;
  /** Value of Next at which the part without an end begins; empty for none. */
  std::optional<int> EndlessFrom;
  bool Unframed = false;
  gsTimer Timer;

  Run(Runner& owner, Exchange call, std::string id);
  bool IsStream() const;
  /** Of an answer that is no stream. */
  std::string Body() const;
  gsHeaders SignedHead() const;
  void Begin();
  void Step();
  void BreakOff(std::string const& part);
  void GoOnWithoutEnd();
  void End();
};

class Runner
{
public:
  Runner(gsLoop& loop, Options options)
    : Loop(loop)
    , Chosen(std::move(options))
    , Crash(loop, [] { std::_Exit(EXIT_FAILURE); })
  {
  }

  void OnExchange(Exchange const& exchange)
  {
    if (exchange->Path == "/control") {
      this->Control(gsJson::parse(exchange->Body));
      gsAnswerJson(*exchange, gsJson::object());
      return;
    }
    std::string id(exchange->Header("Gradescale-Attempt-Id"));
    gsHeaders refusal = this->Head(id);
    refusal.emplace_back("Gradescale-Not-Executed", "1");
    std::string expected(exchange->Header("Gradescale-Expect-Instance"));
    if (!expected.empty() && expected != this->Chosen.Id) {
      exchange->Respond(421, refusal, "");
      return;
    }
    if (id.empty()) {
      exchange->Respond(400, refusal, "");
      return;
    }
    if (this->Running.size() >= static_cast<std::size_t>(this->Chosen.Most)) {
      Tell("full", id);
      exchange->Respond(503, refusal, "");
      this->CountRejection();
      return;
    }
    if (gsLoop::Now() < this->RestUntil) {
      Tell("away", id);
      refusal.emplace_back("Retry-After", this->Rest);
      exchange->Respond(503, refusal, "");
      return;
    }
    auto run = std::make_shared<Run>(*this, exchange, id);
    Tell("run", id,
         ' ' + std::to_string(run->Status) + ' ' + run->Signature + ' ' +
           run->Body());
    this->Running.insert(run);
    exchange->OnGone = [run] { run->End(); };
    if (exchange->Body == "crash") {
      this->Crash.Once(gsMilliseconds(this->Chosen.CrashMs));
      return;
    }
    run->Begin();
  }

  /** What the head of each answer says. */
  gsHeaders Head(std::string const& id) const
  {
    gsHeaders head{ { "Gradescale-Attempt-Id", id } };
    if (this->Leaving) {
      head.emplace_back("Server-Leaving", "1");
    }
    if (!this->Limit.empty()) {
      head.emplace_back("Server-Limit", this->Limit);
    }
    if (this->MaxRejections) {
      head.emplace_back("Server-Brittle",
                        std::to_string(*this->MaxRejections));
    }
    return head;
  }

  std::string NextSignature()
  {
    return this->Chosen.Id + '.' + std::to_string(++this->Signatures);
  }

  unsigned DrawStatus()
  {
    constexpr unsigned failed = 500;
    bool fails =
      this->Fail > 0 && std::bernoulli_distribution(this->Fail)(this->Random);
    return fails ? failed : Ok;
  }

  gsLoop& Loop;
  Options Chosen;
  std::set<std::shared_ptr<Run>> Running;
  int Cuts = 0;
  int Unending = 0;
  bool Unframed = false;
  bool Leaving = false;
  std::string Limit; ///< Named in answers; empty for none.
  /** Rejections at capacity in a second; one more ends the process. */
  std::optional<std::size_t> MaxRejections;
  std::string Rest; ///< Asked for until RestUntil.
  gsTime RestUntil{};

private:
  double Fail = 0; ///< Share of runs.
  std::mt19937_64 Random;
  std::uint64_t Signatures = 0;
  gsTimer Crash;
  std::deque<gsTime> RejectedAt; ///< Within the last second.

  void CountRejection()
  {
    gsTime now = gsLoop::Now();
    this->RejectedAt.push_back(now);
    while (now - this->RejectedAt.front() > gsSeconds(1)) {
      this->RejectedAt.pop_front();
    }
    if (this->MaxRejections &&
        this->RejectedAt.size() > *this->MaxRejections) {
      std::_Exit(EXIT_FAILURE);
    }
  }

  void Control(gsJson const& body)
  {
    if (body.contains("brittle")) {
      this->MaxRejections = body["brittle"].get<std::size_t>();
      this->RejectedAt.clear();
    }
    if (body.contains("fail")) {
      this->Fail = body["fail"].get<double>();
      this->Random.seed(body.value("seed", std::uint64_t{ 0 }) ^
                        std::hash<std::string>()(this->Chosen.Id));
    }
    this->Cuts = body.value("cut", this->Cuts);
    this->Unending = body.value("unending", this->Unending);
    this->Unframed = body.value("unframed", this->Unframed);
    this->Leaving = body.value("leaving", this->Leaving);
    this->Limit = body.value("limit", this->Limit);
    this->Rest = body.value("rest", this->Rest);
    if (body.contains("rest_ms")) {
      this->RestUntil =
        gsLoop::Now() + gsMilliseconds(body["rest_ms"].get<int>());
    }
  }

  static void Tell(char const* word, std::string const& id,
                   std::string const& more = {})
  {
    std::cout << word << ' ' << id << ' ' << gsLoop::Now().count() << more
              << std::endl;
  }
};

Run::Run(Runner& owner, Exchange call, std::string id)
  : Owner(owner)
  , Call(std::move(call))
  , Id(std::move(id))
  , Signature(owner.NextSignature())
  , Status(owner.DrawStatus())
  , Timer(owner.Loop, [this] { this->Step(); })
{
}

bool Run::IsStream() const
{
  return this->Status == Ok && (this->Call->Path.rfind("/stream/", 0) == 0 ||
                                this->Call->Path.rfind("/resume/", 0) == 0);
}

std::string Run::Body() const
{
  if (this->IsStream()) {
    return {};
  }
  return this->Status == Ok ? "answer to " + this->Id
                            : "failure of " + this->Signature;
}

gsHeaders Run::SignedHead() const
{
  gsHeaders head = this->Owner.Head(this->Id);
  head.emplace_back("Gradescale-Response-Signature", this->Signature);
  return head;
}

void Run::Begin()
{
  if (this->Owner.Cuts > 0) {
    --this->Owner.Cuts;
    this->Cut = true;
  }
  this->Unframed = this->Owner.Unframed;
  bool isUnending =
    !this->Cut && this->Status == Ok && this->Owner.Unending > 0;
  if (isUnending) {
    int half = this->Owner.Chosen.Events / 2;
    this->EndlessFrom = this->Owner.Unending % 2 == 0 ? 1 : half;
    --this->Owner.Unending;
  }
  if (!this->IsStream()) {
    if (isUnending) {
      this->Call->BeginStream(Ok, this->SignedHead());
      this->EndlessFrom = -1;
    }
    this->Next = -1;
    this->Timer.Once(gsMilliseconds(this->Owner.Chosen.WorkMs));
    return;
  }
  std::string last(this->Call->Header("Last-Event-Id"));
  if (!last.empty()) {
    this->Next = std::stoi(last) + 1;
  }
  gsHeaders head = this->SignedHead();
  head.emplace_back("Content-Type", "text/event-stream");
  this->Call->BeginStream(
    200, head, this->Unframed ? gsBodyEnd::Close : gsBodyEnd::Chunks);
  this->Timer.Once(gsMilliseconds(this->Owner.Chosen.GapMs));
}

/** Ends an answer after a part of an event. */
void Run::BreakOff(std::string const& part)
{
  this->Call->Write(part);
  if (this->Unframed) {
    this->Call->End();
  } else {
    this->Call->Abort();
  }
}

/** Sends bytes that complete nothing, until the connection is closed. */
void Run::GoOnWithoutEnd()
{
  constexpr std::size_t blockBytes = 64U << 10U;
  if (this->Call->Buffered() == 0) {
    this->Call->Write(std::string(blockBytes, '#'));
  }
  this->Timer.Once(gsMilliseconds(1));
}

void Run::Step()
{
  if (this->EndlessFrom && this->Next >= *this->EndlessFrom) {
    this->GoOnWithoutEnd();
    return;
  }
  if (this->Next < 0) {
    std::string const answer = this->Body();
    if (this->Unframed) {
      this->Call->BeginStream(this->Status, this->SignedHead(),
                              gsBodyEnd::Close);
      this->Call->Write(answer);
      this->Call->End();
    } else if (this->Cut) {
      this->Call->BeginStream(this->Status, this->SignedHead());
      this->Call->Write(answer.substr(0, 6));
      this->Call->Abort();
    } else {
      this->Call->Respond(this->Status, this->SignedHead(), answer);
    }
    this->End();
    return;
  }
  if (this->Next > this->Owner.Chosen.Events) {
    this->Call->End();
    this->End();
    return;
  }
  std::string event =
    "id: " + std::to_string(this->Next) + "\ndata: " + this->Id + ":" +
    std::to_string(this->Next) +
    std::string(static_cast<std::size_t>(this->Owner.Chosen.PadBytes), 'x') +
    (this->Owner.Chosen.Version.empty()
       ? ""
       : "\nversion: " + this->Owner.Chosen.Version) +
    "\n\n";
  if (this->Cut && this->Next > this->Owner.Chosen.Events / 2) {
    this->BreakOff(event.substr(0, event.size() / 2));
    this->End();
    return;
  }
  this->Call->Write(event);
  ++this->Next;
  this->Timer.Once(gsMilliseconds(this->Owner.Chosen.GapMs));
}

void Run::End()
{
  std::shared_ptr<Run> self = this->shared_from_this();
  this->Timer.Stop();
  this->Call->OnGone = nullptr;
  this->Owner.Loop.Defer([self] { self->Owner.Running.erase(self); });
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Stand-in for a runner.");
  Options options;
  app.add_option("--listen", options.Listen, "IP:port.")->required();
  app.add_option("--id", options.Id, "Of this incarnation.")->required();
  app.add_option("--version", options.Version, "Of its software.");
  app.add_option("--events", options.Events, "Of a stream.");
  app.add_option("--gap-ms", options.GapMs, "Between events.");
  app.add_option("--work-ms", options.WorkMs, "Of other requests.");
  app.add_option("--most", options.Most, "Requests at once.");
  app.add_option("--pad-bytes", options.PadBytes, "Added to each event.");
  app.add_option("--crash-ms", options.CrashMs,
                 "From the begin of a request that crashes it.");
  CLI11_PARSE(app, argc, argv);
  gsLoop loop;
  Runner runner(loop, options);
  return gsServe(loop, options.Listen, [&runner](Exchange const& exchange) {
    runner.OnExchange(exchange);
  });
}
