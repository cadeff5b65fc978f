/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsMemoryGuard.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "gsHttpStatus.h"
#include "gsLog.h"
#include "gsProcess.h"

namespace {

/** The kernel doubles the value. Autotuned buffers of some MB a connection
 * would exceed a small machine's memory with a few hundred callers that do not
 * read. */
constexpr int KernelBufferBytes = 32 << 10;
/**
 * Bytes read at once of an answer. Each paused stream holds up to so many
 * beside those that wait for its caller.
 */
constexpr std::size_t ReadBufferBytes = 4096;
/** Every stream has such a block of its own. */
constexpr std::size_t StreamBlockBytes = 2048;
/** The usual size on Ethernet, so that it has an effect on other links only.
 */
constexpr int MaxSegmentBytes = 1460;
/** Minimum interval between sweeps while over the budget. A sweep makes a
 * system call for each waiting caller; 50 sweeps a second used up a small
 * host. */
constexpr gsTime MinSweepInterval = gsMilliseconds(100);
/** Number of sweep intervals without a sweep after which the process is
 * assumed to have stood still. */
constexpr int StandstillIntervals = 4;
/** Minimum interval between measurements of the process' memory, which are
 * system calls, and between returns of free heap, which walk all of it. */
constexpr gsTime MinMeasureInterval = gsMilliseconds(5);
constexpr gsTime MinReleaseInterval = gsMilliseconds(200);
constexpr gsTime MinRefusalLogInterval = gsMilliseconds(50);
constexpr double MaxRetryAfterFactor = 1.5;

/** A kind of held bytes, by its name in status and metrics. */
struct gsMemoryKind
{
  char const* Name;
  std::uint64_t gsMemoryUse::*Bytes;
};

constexpr gsMemoryKind MemoryKinds[] = {
  { "bodies", &gsMemoryUse::Bodies },   { "expected", &gsMemoryUse::Expected },
  { "answers", &gsMemoryUse::Answers }, { "events", &gsMemoryUse::Events },
  { "partial", &gsMemoryUse::Partial }, { "uploads", &gsMemoryUse::Uploads },
  { "fetched", &gsMemoryUse::Fetched },
};

void Add(gsMemoryUse& use, gsHeldTotals const& held)
{
  use.Bodies += held.Bodies;
  use.Expected += held.Expected;
  use.Answers += held.Answers;
  use.Events += held.Events;
  use.Partial += held.Partial;
  use.Uploads += held.Uploads;
  use.Fetched += held.Fetched;
}

} // namespace

void gsMemoryGuard::LimitBuffers(gsFeatureMode mode,
                                 gsHttpServerSettings& callers,
                                 gsHttpClient& client)
{
  if (mode == gsFeatureMode::On) {
    callers.SendBuffer = KernelBufferBytes;
    callers.MaxSegment = MaxSegmentBytes;
    callers.StreamBlock = StreamBlockBytes;
    client.Limit({ ReadBufferBytes, KernelBufferBytes, MaxSegmentBytes });
  }
}

gsMemoryGuard::gsMemoryGuard(gsLoop& loop, gsMemoryGuardSettings settings,
                             std::vector<gsHttpServer*> servers,
                             gsHttpClient& client, gsUpstreamCaller& upstreams,
                             std::uint64_t seed)
  : Loop(loop)
  , Settings(settings)
  , Servers(std::move(servers))
  , Client(client)
  , Upstreams(upstreams)
  , Random(seed)
  , SweepTimer(loop, [this] { this->Sweep(); })
{
  if (!gsIsActive(this->Settings.Mode)) {
    return;
  }
  gsHttpBodyGate gate;
  gate.Accepts = [this](gsHttpExchange& exchange, std::uint64_t bytes) {
    return this->AcceptsBody(exchange, bytes);
  };
  gate.Begins = [this](gsHttpExchange& exchange) {
    return this->AcceptsRequest(exchange);
  };
  gate.Refuse = [this](gsHttpExchange& exchange) { this->Refuse(exchange); };
  for (gsHttpServer* server : this->Servers) {
    server->SetBodyGate(gate);
  }
  this->Upstreams.SetStreamLimit([this] { return this->StreamLimit(); });
  this->Upstreams.SetGrowthCallback([this] { this->OnAnswerGrown(); });
  this->SweepTimer.Every(this->Settings.SweepInterval);
}

gsMemoryGuard::~gsMemoryGuard()
{
  *this->Alive = false;
  for (gsHttpServer* server : this->Servers) {
    server->SetBodyGate({});
  }
  this->Upstreams.SetStreamLimit(nullptr);
  this->Upstreams.SetGrowthCallback(nullptr);
}

gsMemoryUse gsMemoryGuard::Use() const
{
  gsMemoryUse use;
  Add(use, this->Client.Held());
  Add(use, this->Upstreams.Held());
  for (gsHttpServer const* server : this->Servers) {
    Add(use, server->Held());
    use.Requests += server->HandledExchanges();
  }
  if (this->Resident > 0) {
    std::uint64_t held = use.Total();
    use.Resident = this->Resident + held - std::min(held, this->HeldAtMeasure);
  }
  return use;
}

gsMemoryShortage gsMemoryGuard::Shortage() const
{
  if (!this->IsOn()) {
    return {};
  }
  return gsFindMemoryShortage(this->Settings.Budget, this->Resident);
}

/** Measures the memory of the process. Where it is short, free heap is
 * returned first, since it would count as used. */
void gsMemoryGuard::Measure(gsTime now)
{
  this->Resident = gsResidentBytes();
  bool isShort =
    gsFindMemoryShortage(this->Settings.Budget, this->Resident).Bytes > 0;
  if (isShort && this->IsOn() &&
      now - this->ReleasedAt >= MinReleaseInterval) {
    this->ReleasedAt = now;
    gsReleaseFreeHeap();
    this->Resident = gsResidentBytes();
  }
  this->PeakResident = std::max(this->PeakResident, this->Resident);
  this->MeasuredAt = now;
  this->HeldAtMeasure = this->Use().Total();
}

/** Measures anew if the process may be short of memory by now. Connections
 * grow with what they read, which is not counted. */
void gsMemoryGuard::MeasureIfGrown()
{
  std::uint64_t most = this->Use().Resident;
  for (gsHttpServer const* server : this->Servers) {
    most += server->OpenConnections() * server->ConnectionBytes();
  }
  gsTime now = gsLoop::Now();
  if (gsFindMemoryShortage(this->Settings.Budget, most).Bytes > 0 &&
      now - this->MeasuredAt >= MinMeasureInterval) {
    this->Measure(now);
  }
}

void gsMemoryGuard::RecordUse()
{
  gsMemoryUse use = this->Use();
  this->PeakBytes = std::max(this->PeakBytes, use.Total());
  for (gsMemoryKind const& kind : MemoryKinds) {
    std::uint64_t& peak = this->Peaks.*kind.Bytes;
    peak = std::max(peak, use.*kind.Bytes);
  }
}

bool gsMemoryGuard::AcceptsBody(gsHttpExchange& exchange, std::uint64_t bytes)
{
  this->MeasureIfGrown();
  gsMemoryUse use = this->Use();
  this->RecordUse();
  return gsAcceptsBody(this->Settings.Budget, use, bytes) ||
         this->CountRefusal(exchange, bytes, use);
}

bool gsMemoryGuard::AcceptsRequest(gsHttpExchange& exchange)
{
  this->MeasureIfGrown();
  gsMemoryUse use = this->Use();
  return gsAcceptsRequest(this->Settings.Budget, use) ||
         this->CountRefusal(exchange, exchange.Body.size(), use);
}

/** \return Whether the request is accepted all the same, in a dry run. */
bool gsMemoryGuard::CountRefusal(gsHttpExchange& exchange, std::uint64_t bytes,
                                 gsMemoryUse const& use)
{
  // A dry run asks again for each part of a body.
  if (std::exchange(exchange.IsRefusalCounted, true)) {
    return !this->IsOn();
  }
  ++this->Refusals;
  this->LogRefusal(exchange, bytes, use);
  return !this->IsOn();
}

void gsMemoryGuard::LogRefusal(gsHttpExchange const& exchange,
                               std::uint64_t bytes, gsMemoryUse const& use)
{
  gsTime now = gsLoop::Now();
  if (this->RefusalLoggedAt.count() != 0 &&
      now - this->RefusalLoggedAt < MinRefusalLogInterval) {
    ++this->RefusalsNotLogged;
    return;
  }
  this->RefusalLoggedAt = now;
  gsLogLine("memory_refused")
    .With("caller", exchange.Peer)
    .With("path", exchange.Path)
    .With("body_bytes", bytes)
    .With("held_bytes", use.Total())
    .With("expected_bytes", use.Expected)
    .With("limit_bytes", gsMemoryLimit(this->Settings.Budget))
    .With("resident_bytes", use.Resident)
    .With("not_logged", std::exchange(this->RefusalsNotLogged, 0))
    .With("dry_run", !this->IsOn());
}

/** Answers a request whose body was refused; it has not run. */
void gsMemoryGuard::Refuse(gsHttpExchange& exchange)
{
  std::uniform_real_distribution<double> draw(1, MaxRetryAfterFactor);
  double retryAfter =
    draw(this->Random) * gsToSeconds(this->Settings.MinRetryAfter);
  nlohmann::json body{
    { "error",
      { { "code", "memory" },
        { "message",
          "The request was not run: this host has no memory for it; "
          "come back later." },
        { "step", "accept" } } }
  };
  exchange.Respond(
    gsStatusUnavailable,
    { { "Content-Type", "application/json" }, gsRetryAfterHeader(retryAfter) },
    body.dump());
}

std::uint64_t gsMemoryGuard::StreamLimit()
{
  this->RecordUse();
  gsMemoryUse use = this->Use();
  if (!this->IsOn()) {
    return gsMaxStreamBytes;
  }
  bool isOver = use.Total() > gsMemoryLimit(this->Settings.Budget);
  if (isOver && !this->IsSweepScheduled &&
      gsLoop::Now() - this->SweptAt >= MinSweepInterval) {
    this->IsSweepScheduled = true;
    this->Loop.Defer([this, alive = this->Alive] {
      if (*alive) {
        this->Sweep();
      }
    });
  }
  return gsStreamLimit(this->Settings.Budget, use);
}

void gsMemoryGuard::Sweep()
{
  this->IsSweepScheduled = false;
  gsTime now = gsLoop::Now();
  bool stoodStill =
    this->SweptAt.count() != 0 &&
    now - this->SweptAt > StandstillIntervals * this->Settings.SweepInterval;
  this->SweptAt = now;
  this->Measure(now);
  this->RecordUse();
  if (stoodStill) {
    // What the other ends took meanwhile, and how much they were offered, is
    // not known, so that their idle times begin again.
    for (gsHttpServer* server : this->Servers) {
      server->RestartIdleTimes(now);
    }
    this->Client.RestartIdleTimes(now);
    return;
  }
  for (gsHttpServer* server : this->Servers) {
    server->ForgetExpected(this->Settings.Budget.StalledTimeout, now);
  }
  this->SweepAnswers();
  this->SweepCallers(now);
  this->SweepUploads(now);
}

/** Answers grow faster than sweeps follow, so that they are looked at with
 * each part that comes while over the budget. */
void gsMemoryGuard::OnAnswerGrown()
{
  this->RecordUse();
  bool isOver = this->Use().Total() > gsMemoryLimit(this->Settings.Budget);
  if (this->IsOn() && isOver) {
    this->SweepAnswers();
  }
}

void gsMemoryGuard::SweepAnswers()
{
  std::uint64_t limit = gsMemoryLimit(this->Settings.Budget);
  std::vector<gsUpstreamCaller::LargeAnswer> large =
    this->Upstreams.LargeAnswers();
  std::vector<gsIncomingAnswer> answers;
  answers.reserve(large.size());
  for (gsUpstreamCaller::LargeAnswer const& answer : large) {
    gsAttempt const& attempt = *answer.Attempt;
    answers.push_back(
      { attempt.HeldAnswer->Value() + attempt.HeldEvent->Value(),
        attempt.HeldEvent->Value() > 0,
        attempt.StatedEnd == gsBodyEnd::Length });
  }
  std::set<gsAttempt const*> logged;
  for (std::size_t index :
       gsSelectIncoming(this->Settings.Budget, this->Use(), answers)) {
    gsAttempt const* attempt = large[index].Attempt.get();
    logged.insert(attempt);
    if (this->LoggedAnswers.count(attempt) != 0) {
      continue;
    }
    ++this->EndedCounts[Ended::AnswerOverBudget];
    if (this->IsOn()) {
      this->Upstreams.EndOverBudget(large[index], limit);
      continue;
    }
    gsLogLine("answer_over_budget", gsLogLevel::Warn)
      .With("upstream", attempt->Upstream.Id)
      .With("bytes", answers[index].Bytes)
      .With("held_bytes", this->Use().Total())
      .With("limit_bytes", limit)
      .With("dry_run", true);
  }
  this->LoggedAnswers =
    this->IsOn() ? std::set<gsAttempt const*>{} : std::move(logged);
}

void gsMemoryGuard::SweepCallers(gsTime now)
{
  std::vector<gsWaitingCaller> waiting;
  std::vector<gsMemoryReader> readers;
  for (gsHttpServer* server : this->Servers) {
    for (gsWaitingCaller& caller : server->WaitingCallers(now)) {
      readers.push_back({ caller.Bytes, caller.TakenAt });
      waiting.push_back(std::move(caller));
    }
  }
  gsMemoryUse use = this->Use();
  std::set<gsHttpExchange const*> logged;
  for (gsMemoryEnding const& ending :
       gsSelectStalled(this->Settings.Budget, use, readers,
                       this->Servers.front()->ReceiveTimeout(), now)) {
    gsWaitingCaller const& caller = waiting[ending.Index];
    gsHttpExchange const* exchange = caller.Exchange.get();
    logged.insert(exchange);
    if (this->LoggedCallers.count(exchange) != 0) {
      continue;
    }
    ++this->EndedCounts[ending.Cause == gsMemoryCause::Stalled
                          ? Ended::CallerStalled
                          : Ended::CallerOverBudget];
    gsLogLine("caller_ended", gsLogLevel::Warn)
      .With("request", exchange->Label)
      .With("caller", exchange->Peer)
      .With("path", exchange->Path)
      .With("cause", gsMemoryCauseName(ending.Cause))
      .With("waiting_bytes", caller.Bytes)
      .With("took_nothing_ms", now - caller.TakenAt)
      .With("held_bytes", use.Total())
      .With("limit_bytes", gsMemoryLimit(this->Settings.Budget))
      .With("dry_run", !this->IsOn());
    if (this->IsOn()) {
      caller.Exchange->EndStalled();
    }
  }
  this->LoggedCallers =
    this->IsOn() ? std::set<gsHttpExchange const*>{} : std::move(logged);
}

void gsMemoryGuard::SweepUploads(gsTime now)
{
  std::vector<gsWaitingUpload> waiting =
    this->Client.WaitingUploads(gsSmallBodyBytes, now);
  std::set<std::uint64_t> logged;
  for (gsWaitingUpload const& upload : waiting) {
    gsTime idle = now - upload.TakenAt;
    if (idle < this->Settings.Budget.StalledTimeout) {
      continue;
    }
    logged.insert(upload.Call);
    if (this->LoggedUploads.count(upload.Call) != 0) {
      continue;
    }
    ++this->EndedCounts[Ended::UpstreamStalled];
    gsLogLine("upload_ended", gsLogLevel::Warn)
      .With("request", upload.Label)
      .With("url", upload.Url)
      .With("body_bytes", upload.Bytes)
      .With("took_nothing_ms", idle)
      .With("held_bytes", this->Use().Total())
      .With("dry_run", !this->IsOn());
    if (this->IsOn()) {
      this->Client.EndStalled(upload.Call);
    }
  }
  this->LoggedUploads =
    this->IsOn() ? std::set<std::uint64_t>{} : std::move(logged);
}

nlohmann::json gsMemoryGuard::Status() const
{
  gsMemoryUse use = this->Use();
  auto ended = [this](Ended kind) {
    auto found = this->EndedCounts.find(kind);
    return found == this->EndedCounts.end() ? 0 : found->second;
  };
  nlohmann::json peaks;
  for (gsMemoryKind const& kind : MemoryKinds) {
    peaks[kind.Name] = this->Peaks.*kind.Bytes;
  }
  char const* const modes[] = { "off", "dry_run", "on" };
  return { { "mode", modes[static_cast<std::size_t>(this->Settings.Mode)] },
           { "limit_bytes", gsMemoryLimit(this->Settings.Budget) },
           { "held_bytes", use.Total() },
           { "peak_bytes", this->PeakBytes },
           { "total_bytes", this->Settings.Budget.TotalBytes },
           { "resident_bytes", use.Resident },
           { "peak_resident_bytes", this->PeakResident },
           { "bodies", use.Bodies },
           { "expected", use.Expected },
           { "answers", use.Answers },
           { "events", use.Events },
           { "partial", use.Partial },
           { "uploads", use.Uploads },
           { "fetched", use.Fetched },
           { "peaks", peaks },
           { "paused_streams", this->Client.Paused() },
           { "stream_limit_bytes",
             this->IsOn() ? gsStreamLimit(this->Settings.Budget, use)
                          : gsMaxStreamBytes },
           { "refused", this->Refusals },
           { "ended_stalled", ended(Ended::CallerStalled) },
           { "ended_over_budget", ended(Ended::CallerOverBudget) },
           { "ended_uploads", ended(Ended::UpstreamStalled) },
           { "ended_answers", ended(Ended::AnswerOverBudget) } };
}

void gsMemoryGuard::WriteGauges(gsMetrics& metrics) const
{
  if (!gsIsActive(this->Settings.Mode)) {
    return;
  }
  gsMemoryUse use = this->Use();
  for (gsMemoryKind const& kind : MemoryKinds) {
    std::string const labels = gsLabels({ { "kind", kind.Name } });
    metrics.Set("gradescale_memory_bytes", labels,
                static_cast<double>(use.*kind.Bytes));
    metrics.Set("gradescale_memory_peak_kind_bytes", labels,
                static_cast<double>(this->Peaks.*kind.Bytes));
  }
  metrics.Set("gradescale_memory_limit_bytes", {},
              static_cast<double>(gsMemoryLimit(this->Settings.Budget)));
  metrics.Set("gradescale_memory_resident_bytes", {},
              static_cast<double>(use.Resident));
  metrics.Set("gradescale_memory_peak_bytes", {},
              static_cast<double>(this->PeakBytes));
  metrics.Set("gradescale_paused_streams", {},
              static_cast<double>(this->Client.Paused()));
  metrics.Set("gradescale_memory_refusals_total", {},
              static_cast<double>(this->Refusals));
  auto ended = [this, &metrics](char const* cause, Ended kind) {
    auto found = this->EndedCounts.find(kind);
    metrics.Set(
      "gradescale_memory_ended_total", gsLabels({ { "cause", cause } }),
      found == this->EndedCounts.end() ? 0
                                       : static_cast<double>(found->second));
  };
  ended("caller_stalled", Ended::CallerStalled);
  ended("caller_over_budget", Ended::CallerOverBudget);
  ended("upstream_stalled", Ended::UpstreamStalled);
  ended("answer_over_budget", Ended::AnswerOverBudget);
}
