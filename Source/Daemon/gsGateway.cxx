/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsGateway.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "gsDispatcher.h"
#include "gsHttpStatus.h"
#include "gsLog.h"
#include "gsRendezvous.h"
#include "gsSecret.h"

namespace {

using Json = nlohmann::json;

constexpr std::size_t BytesPerKib = 1024;
constexpr std::size_t MaxKeyLength = 256;
constexpr std::size_t MaxBuffered = 1U << 18U;
constexpr gsTime StallSweep = gsMilliseconds(200);
constexpr gsTime ReportPeriod = gsSeconds(1);
constexpr std::size_t MaxReportsPerSecond = 50;
constexpr gsTime PlatformRetryAfter = gsSeconds(5);
constexpr gsTime ShortRetryAfter = gsSeconds(1);
constexpr std::size_t MaxSpills = 2;

char const* const FieldMark = "|";

gsError Bad(std::string code, std::string message, std::string step)
{
  return gsError{ std::move(code), std::move(message), std::move(step), {} };
}

unsigned StatusFor(gsError const& error)
{
  if (error.Code == "unknown_key" || error.Code == "missing_key") {
    return gsStatusUnauthorized;
  }
  if (error.Code == "body_too_large") {
    return gsStatusTooLarge;
  }
  if (error.Code == "unknown_template" || error.Code == "unknown_service" ||
      error.Code == "unknown_path") {
    return gsStatusNotFound;
  }
  if (error.Code == "wrong_method") {
    return gsStatusWrongMethod;
  }
  return gsStatusBadRequest;
}

std::string_view HeaderOf(gsHeaders const& headers, std::string_view name)
{
  for (auto const& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

/** Tokens that an engine says it has generated, or nothing. */
std::uint64_t UsageTokens(std::string const& answer)
{
  Json body = Json::parse(answer, nullptr, false);
  if (!body.is_object() || !body.contains("usage") ||
      !body["usage"].is_object()) {
    return 0;
  }
  auto tokens = body["usage"].find("completion_tokens");
  bool good = tokens != body["usage"].end() && tokens->is_number_unsigned();
  return good ? tokens->get<std::uint64_t>() : 0;
}

gsRan RanOf(gsHeldRequest const& request)
{
  return request.MayHaveRun ? gsRan::Unknown : gsRan::No;
}

std::string ClassLabels(gsHeldRequest const& request)
{
  return gsLabels({ { "class", request.Class.Template } });
}

} // namespace

void gsRespondError(gsHttpExchange& exchange, unsigned status,
                    gsError const& error, gsRan ran, gsTime retryAfter,
                    std::string const& requestId)
{
  Json body{ { "message", error.Message }, { "type", "gradescale_error" },
             { "code", error.Code },       { "step", error.Step },
             { "peer", error.Peer },       { "ran", gsRanWord(ran) } };
  gsHeaders headers{ { "Content-Type", "application/json" },
                     { "Gradescale-Ran", gsRanWord(ran) } };
  if (!requestId.empty()) {
    headers.emplace_back("Gradescale-Request", requestId);
    body["request"] = requestId;
  }
  if (retryAfter.count() > 0) {
    auto seconds =
      static_cast<std::int64_t>(std::ceil(gsToSeconds(retryAfter)));
    headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  exchange.Respond(status, headers,
                   Json{ { "error", body } }.dump(
                     -1, ' ', false, Json::error_handler_t::replace));
}

gsGateway::gsGateway(gsLoop& loop, gsHttpClient& client,
                     gsSettings const& settings, gsMetrics& metrics,
                     gsClaims& claims, std::uint64_t hostNumber, Hooks hooks)
  : Loop(loop)
  , Client(client)
  , Settings(settings)
  , Metrics(metrics)
  , Claims(claims)
  , Call(std::move(hooks))
  , StallTimer(loop, [this] { this->CheckStalls(); })
  , HostNumber(hostNumber)
  , Reader(hostNumber, settings.Callers.MaxBodyKib)
{
  this->Budget.Share = settings.Retry.Share;
  this->Budget.Most = settings.Retry.Burst;
  this->Budget.Saved = settings.Retry.Burst;
  this->StallTimer.Every(StallSweep);
}

void gsGateway::OnExchange(std::shared_ptr<gsHttpExchange> const& exchange)
{
  bool get = exchange->Method == "GET";
  if (exchange->Path == "/healthz" && get) {
    exchange->Respond(gsStatusOk, { { "Content-Type", "text/plain" } },
                      "ok\n");
    return;
  }
  if (exchange->Path == "/readyz" && get) {
    bool ready = this->Call.Ready() && !this->Draining;
    exchange->Respond(ready ? gsStatusOk : gsStatusUnavailable,
                      { { "Content-Type", "text/plain" } },
                      ready ? "ready\n" : "not ready\n");
    return;
  }
  if (exchange->Path == "/metrics" && get) {
    this->Metrics.Set("gradescale_open_requests", {},
                      static_cast<double>(this->Requests.size()));
    exchange->Respond(gsStatusOk,
                      { { "Content-Type", "text/plain; version=0.0.4" } },
                      this->Metrics.Text());
    return;
  }
  this->Accept(exchange);
}

void gsGateway::Accept(std::shared_ptr<gsHttpExchange> const& exchange)
{
  if (!this->Call.Ready()) {
    gsRespondError(
      *exchange, gsStatusUnavailable,
      Bad("not_ready", "This host has no configuration yet.", "accept"),
      gsRan::No, ShortRetryAfter);
    return;
  }
  gsResult<gsOrganisation const*> organisation =
    this->Reader.Authenticate(*exchange);
  if (!organisation) {
    gsLogLine("reject").With(organisation.error());
    gsRespondError(*exchange, StatusFor(organisation.error()),
                   organisation.error(), gsRan::No);
    return;
  }
  gsResult<Held> prepared = this->Reader.Read(exchange, *organisation.value());
  if (!prepared) {
    gsLogLine("reject")
      .With("organisation", organisation.value()->Name)
      .With("caller", exchange->Peer)
      .With(prepared.error());
    gsRespondError(*exchange, StatusFor(prepared.error()), prepared.error(),
                   gsRan::No);
    return;
  }
  this->Begin(prepared.value());
}

void gsGateway::Begin(Held const& request)
{
  gsHttpExchange& exchange = *request->Exchange;
  std::string_view key = exchange.Header("Idempotency-Key");
  if (key.size() > MaxKeyLength) {
    gsRespondError(
      exchange, gsStatusBadRequest,
      Bad("bad_request", "The Idempotency-Key is too long.", "parse"),
      gsRan::No);
    return;
  }
  gsRetryEarn(this->Budget);
  this->Requests[request->Ask.Id.Sequence] = request;
  std::weak_ptr<gsHeldRequest> weak = request;
  exchange.OnGone = [this, weak] {
    if (Held held = weak.lock()) {
      this->CallerLeft(held);
    }
  };
  if (!request->Class.Repeatable && !key.empty()) {
    this->Claim(request, key);
    return;
  }
  this->AskIn(request, this->Settings.Hall);
}

void gsGateway::Claim(Held const& request, std::string_view key)
{
  request->At = gsHeldRequest::Step::Claiming;
  request->ClaimKey = "claim/" + gsSha256(request->Ask.Organisation +
                                          FieldMark + std::string(key));
  request->ClaimValue = "claimed|" + this->Settings.Host + FieldMark +
                        gsFormatId(request->Ask.Id) + FieldMark + gsRandomId();
  gsClaimAdd(this->Claims, request->ClaimKey, request->ClaimValue,
             request->Ask.Id.Sequence);
}

void gsGateway::OnClaim(gsClaimDecision const& decision)
{
  char const* word = decision.Result == gsClaimResult::Won     ? "won"
                     : decision.Result == gsClaimResult::Taken ? "taken"
                                                               : "unavailable";
  this->Metrics.Count("gradescale_claims_total",
                      gsLabels({ { "result", word } }));
  auto found = this->Requests.find(decision.Cookie);
  if (found == this->Requests.end()) {
    return; // The caller left; the claim has been given back.
  }
  Held request = found->second;
  gsLogLine("claim")
    .With("request", gsFormatId(request->Ask.Id))
    .With("organisation", request->Ask.Organisation)
    .With("result", word);
  if (decision.Result == gsClaimResult::Won) {
    this->AskIn(request, this->Settings.Hall);
    return;
  }
  request->ClaimKey.clear();
  if (decision.Result == gsClaimResult::Unavailable) {
    this->FinishError(
      request, gsStatusUnavailable,
      Bad("platform_unavailable",
          "The key could not be claimed; the request was not run.", "claim"),
      PlatformRetryAfter);
    return;
  }
  bool ran = decision.Holder.compare(0, 4, "ran|") == 0;
  gsError error =
    Bad("duplicate_key",
        ran ? "A request with this key has been run."
            : "A request with this key is running or may have run.",
        "claim");
  request->MayHaveRun = true;
  gsHttpExchange& exchange = *request->Exchange;
  gsRespondError(exchange, gsStatusConflict, error,
                 ran ? gsRan::Yes : gsRan::Unknown, {},
                 gsFormatId(request->Ask.Id));
  this->Settle(request, gsRan::Unknown, "duplicate");
}

void gsGateway::AskIn(Held const& request, std::string const& hall)
{
  gsDocument const& document = this->Call.Document();
  std::size_t parts = gsPoolParts(document, request->Class.Service, hall);
  request->Hall = hall;
  if (parts == 0) {
    this->SpillOrGiveUp(request, "no_upstream", ShortRetryAfter);
    return;
  }
  std::uint64_t spread = request->Ask.Affinity != 0 ? request->Ask.Affinity
                                                    : request->Ask.Id.Sequence;
  request->Ask.Pool = gsPoolName(request->Class.Service, hall, spread % parts);
  request->Redirected = false;
  std::string host = this->Call.DispatcherOf(hall, request->Ask.Pool);
  if (host.empty()) {
    this->SpillOrGiveUp(request, "no_upstream", ShortRetryAfter);
    return;
  }
  this->AskAt(request, host, hall != this->Settings.Hall);
}

void gsGateway::AskAt(Held const& request, std::string const& host, bool force)
{
  this->StopWaiting(*request);
  request->At = gsHeldRequest::Step::Waiting;
  request->Dispatcher = host;
  ++request->Ask.Id.Attempt;
  request->Ask.Waited = gsLoop::Now() - request->Arrived;
  request->Ask.Force = force;
  if (this->WaitingAt[host]++ == 0) {
    this->Call.Expect(host, true);
  }
  this->Call.SendAsk(host, request->Ask);
}

/** Takes the request out of the count of those that wait at its host. */
void gsGateway::StopWaiting(gsHeldRequest& request)
{
  if (request.At != gsHeldRequest::Step::Waiting) {
    return;
  }
  request.At = gsHeldRequest::Step::Claiming;
  auto waiting = this->WaitingAt.find(request.Dispatcher);
  if (waiting != this->WaitingAt.end() && --waiting->second == 0) {
    this->WaitingAt.erase(waiting);
    this->Call.Expect(request.Dispatcher, false);
  }
}

/** Asks the dispatcher that is the right one now, in the same hall. */
void gsGateway::AskAgain(Held const& request)
{
  std::string host = this->Call.DispatcherOf(request->Hall, request->Ask.Pool);
  if (host.empty()) {
    request->TriedHalls.clear();
    this->AskIn(request, this->Settings.Hall);
    return;
  }
  this->AskAt(request, host, true);
}

/** Tries a pool of another hall; false when there is none left to try. */
bool gsGateway::Spill(Held const& request)
{
  if (request->TriedHalls.size() > MaxSpills) {
    return false;
  }
  std::vector<std::string> halls;
  for (std::string const& hall : this->Call.OtherHalls()) {
    bool tried =
      std::find(request->TriedHalls.begin(), request->TriedHalls.end(),
                hall) != request->TriedHalls.end();
    bool serves =
      gsPoolParts(this->Call.Document(), request->Class.Service, hall) > 0;
    if (!tried && serves) {
      halls.push_back(hall);
    }
  }
  if (halls.empty()) {
    return false;
  }
  std::vector<std::string_view> names(halls.begin(), halls.end());
  std::string hall = *gsRendezvous(names, gsFormatId(request->Ask.Id));
  gsLogLine("spill")
    .With("request", gsFormatId(request->Ask.Id))
    .With("organisation", request->Ask.Organisation)
    .With("from", this->Settings.Hall)
    .With("to", hall);
  this->AskIn(request, hall);
  return true;
}

void gsGateway::TakeBack(Held const& request)
{
  if (request->At == gsHeldRequest::Step::Waiting) {
    this->Call.SendWithdraw(request->Dispatcher, request->Ask);
    this->StopWaiting(*request);
  }
}

gsGateway::Held gsGateway::Find(gsRequestId const& id) const
{
  auto found = this->Requests.find(id.Sequence);
  if (id.Host != this->HostNumber || found == this->Requests.end() ||
      found->second->Ask.Id.Attempt != id.Attempt) {
    return nullptr;
  }
  return found->second;
}

void gsGateway::OnGrant(std::string const& host, gsGrant const& grant)
{
  Held request = this->Find(grant.Id);
  bool wanted = request != nullptr &&
                request->At == gsHeldRequest::Step::Waiting &&
                request->Dispatcher == host;
  if (!wanted) {
    // Asked elsewhere meanwhile, or the caller left.
    gsAsk stale;
    stale.Id = grant.Id;
    stale.Pool = grant.Pool;
    this->Call.SendRelease(host, stale, gsOutcome::Unused, {});
    return;
  }
  this->StopWaiting(*request);
  request->Grant = grant;
  request->GrantedAt = gsLoop::Now();
  this->Metrics.Observe("gradescale_wait_seconds", ClassLabels(*request),
                        request->GrantedAt - request->Arrived,
                        request->GrantedAt);
  this->Send(request);
}

void gsGateway::OnRefusal(std::string const& /*host*/, gsRequestId const& id,
                          std::string const& cause, gsTime retryAfter)
{
  Held request = this->Find(id);
  if (request == nullptr || request->At != gsHeldRequest::Step::Waiting) {
    return;
  }
  this->StopWaiting(*request);
  this->SpillOrGiveUp(request, cause, retryAfter);
}

void gsGateway::SpillOrGiveUp(Held const& request, std::string const& cause,
                              gsTime retryAfter)
{
  request->TriedHalls.push_back(request->Hall);
  bool late = gsLoop::Now() - request->Arrived >= request->Class.MaxWait;
  if (!late && this->Spill(request)) {
    return;
  }
  if (!late && cause == "all_ejected" && !request->Ask.Patient) {
    // No hall can serve it now; wait at home for an upstream to return.
    request->Ask.Patient = true;
    this->AskIn(request, this->Settings.Hall);
    return;
  }
  this->FinishError(request, gsStatusUnavailable,
                    Bad(cause == "no_upstream" ? "no_upstream" : "overloaded",
                        "The request was given up: " + cause + ".", "queue"),
                    retryAfter);
}

void gsGateway::OnRedirect(std::string const& /*host*/, gsRequestId const& id,
                           std::string const& dispatcher)
{
  Held request = this->Find(id);
  if (request == nullptr || request->At != gsHeldRequest::Step::Waiting) {
    return;
  }
  // One redirect is followed; after it the receiver must queue the request.
  request->Redirected = true;
  this->AskAt(request, dispatcher, true);
}

void gsGateway::OnHostLost(std::string const& host)
{
  std::vector<Held> waiting;
  for (auto const& [sequence, request] : this->Requests) {
    if (request->Dispatcher != host) {
      continue;
    }
    if (request->At == gsHeldRequest::Step::Waiting) {
      waiting.push_back(request);
    } else if (request->At == gsHeldRequest::Step::Sending) {
      std::string next =
        this->Call.DispatcherOf(request->Hall, request->Ask.Pool);
      if (!next.empty() && next != host) {
        request->Dispatcher = next;
        this->Call.SendRunning(next, request->Ask, request->Grant.Upstream);
      }
    }
  }
  for (Held const& request : waiting) {
    this->TakeBack(request);
    this->AskAgain(request);
  }
}

void gsGateway::OnMembersChanged()
{
  std::vector<Held> moved;
  for (auto const& [sequence, request] : this->Requests) {
    std::string host =
      this->Call.DispatcherOf(request->Hall, request->Ask.Pool);
    if (host.empty() || host == request->Dispatcher) {
      continue;
    }
    if (request->At == gsHeldRequest::Step::Waiting) {
      moved.push_back(request);
    } else if (request->At == gsHeldRequest::Step::Sending) {
      // The new dispatcher counts it; the old one must not any longer.
      this->Call.SendRelease(request->Dispatcher, request->Ask,
                             gsOutcome::Unused, {});
      request->Dispatcher = host;
      this->Call.SendRunning(host, request->Ask, request->Grant.Upstream);
    }
  }
  for (Held const& request : moved) {
    this->TakeBack(request);
    this->AskAgain(request);
  }
}

void gsGateway::OnStalled()
{
  std::vector<Held> all;
  for (auto const& [sequence, request] : this->Requests) {
    all.push_back(request);
  }
  for (Held const& request : all) {
    if (request->At == gsHeldRequest::Step::Waiting) {
      this->TakeBack(request);
      this->AskAgain(request);
    }
  }
}

bool gsGateway::MaySend(gsHeldRequest& request) const
{
  bool leaving =
    this->Call.IsLeaving(request.Grant.Upstream, request.Grant.Incarnation);
  bool late = gsLoop::Now() - request.GrantedAt > request.Grant.StartWithin;
  return !leaving && !late;
}

void gsGateway::Send(Held const& request)
{
  request->At = gsHeldRequest::Step::Sending;
  request->SentNow = false;
  request->Status = 0;
  request->Answer.clear();
  request->Scanner = gsSseScanner();
  request->FirstTokenAt = gsTime{};
  request->LastProgress = gsLoop::Now();
  request->LastReport = request->LastProgress;
  request->ReportedEvents = 0;

  gsCall call;
  call.Method = request->Method;
  call.Url = "http://" + request->Grant.Address + request->Path;
  call.ConnectTimeout = this->Settings.Upstreams.ConnectTimeout;
  call.Body = request->Body;
  call.Headers = { { "X-Request-Id", gsFormatId(request->Ask.Id) } };
  if (!request->ContentType.empty()) {
    call.Headers.emplace_back("Content-Type", request->ContentType);
  }
  std::weak_ptr<gsHeldRequest> weak = request;
  call.BeforeSend = [this, weak] {
    Held held = weak.lock();
    if (held == nullptr || !this->MaySend(*held)) {
      return false;
    }
    held->SentNow = true;
    held->MayHaveRun = true;
    ++held->Sends;
    held->SentAt = gsLoop::Now();
    held->LastProgress = held->SentAt;
    return true;
  };
  call.OnHeaders = [this, weak](unsigned status, gsHeaders const& headers) {
    if (Held held = weak.lock()) {
      this->OnAnswerHeaders(held, status, headers);
    }
  };
  call.OnData = [this, weak](std::string_view bytes) {
    Held held = weak.lock();
    return held == nullptr || this->OnAnswerData(held, bytes);
  };
  call.OnEnd = [this, weak](gsCallEnd const& end) {
    if (Held held = weak.lock()) {
      this->OnAnswerEnd(held, end);
    }
  };
  request->Call = this->Client.Start(std::move(call));
}

void gsGateway::OnAnswerHeaders(Held const& request, unsigned status,
                                gsHeaders const& headers)
{
  request->Status = status;
  request->Headers = headers;
  request->LastProgress = gsLoop::Now();
  std::string_view echoed = HeaderOf(headers, "x-request-id");
  request->Mismatch = !echoed.empty() && echoed != gsFormatId(request->Ask.Id);
}

bool gsGateway::OnAnswerData(Held const& request, std::string_view bytes)
{
  if (request->Mismatch || request->At != gsHeldRequest::Step::Sending) {
    return true;
  }
  if (request->Exchange->Buffered() > MaxBuffered) {
    // The caller reads slower than the upstream sends. The bytes are given
    // again when the call goes on.
    request->Paused = true;
    std::weak_ptr<gsHeldRequest> weak = request;
    request->Exchange->OnDrained = [this, weak] {
      Held held = weak.lock();
      if (held != nullptr && held->Paused) {
        held->Paused = false;
        held->LastProgress = gsLoop::Now();
        this->Client.Unpause(held->Call);
      }
    };
    return false;
  }
  request->LastProgress = gsLoop::Now();
  bool events = request->Stream && request->Status == gsStatusOk;
  if (events) {
    std::string whole = request->Scanner.Feed(bytes);
    if (!whole.empty()) {
      this->Relay(request, whole);
    }
  } else {
    request->Answer.append(bytes);
    if (request->FirstTokenAt.count() == 0) {
      request->FirstTokenAt = request->LastProgress;
    }
  }
  std::size_t limit = this->Settings.Callers.MaxAnswerKib * BytesPerKib;
  if (request->Answer.size() > limit || request->Scanner.TooLong()) {
    this->Client.Cancel(std::exchange(request->Call, 0));
    this->Release(request, gsOutcome::Failed);
    this->FinishError(request, gsStatusBadGateway,
                      gsError{ "answer_too_large",
                               "The upstream's answer is over the limit.",
                               "receive", request->Grant.Address },
                      {});
  }
  return true;
}

void gsGateway::Relay(Held const& request, std::string const& events)
{
  gsHttpExchange& exchange = *request->Exchange;
  if (!request->CallerHasBytes) {
    request->CallerHasBytes = true;
    request->FirstTokenAt = request->LastProgress;
    request->Body = std::string(); // It will not be sent again.
    exchange.BeginStream(
      gsStatusOk, { { "Content-Type", "text/event-stream" },
                    { "Cache-Control", "no-cache" },
                    { "Gradescale-Ran", gsRanWord(gsRan::Yes) },
                    { "Gradescale-Request", gsFormatId(request->Ask.Id) },
                    { "Gradescale-Upstream", request->Grant.Upstream } });
  }
  exchange.Write(events);
  this->NoteProgress(request, false);
}

void gsGateway::NoteProgress(Held const& request, bool last)
{
  gsTime now = request->LastProgress;
  std::uint64_t events = request->Scanner.Events();
  bool first = request->ReportedEvents == 0 && events > 0;
  // So many reports a second at the most, however many streams there are.
  auto crowd =
    static_cast<std::int64_t>(this->Requests.size() / MaxReportsPerSecond);
  gsTime period = ReportPeriod * (1 + crowd);
  if (!first && !last && now - request->LastReport < period) {
    return;
  }
  gsTime gap{};
  if (!first && events > request->ReportedEvents) {
    gap = (now - request->LastReport) /
          static_cast<std::int64_t>(events - request->ReportedEvents);
  }
  this->Call.SendProgress(request->Dispatcher, request->Ask,
                          first ? now - request->SentAt : gsTime{}, gap);
  request->LastReport = now;
  request->ReportedEvents = events;
}

void gsGateway::Release(Held const& request, gsOutcome outcome)
{
  gsMeasured measured;
  std::uint64_t events = request->Scanner.Events();
  measured.Tokens = request->Stream ? events : UsageTokens(request->Answer);
  if (request->FirstTokenAt.count() > 0 && request->SentNow) {
    measured.FirstToken = request->FirstTokenAt - request->SentAt;
    measured.Duration = request->LastProgress - request->SentAt;
  }
  if (events > 1) {
    measured.TokenGap = (request->LastProgress - request->FirstTokenAt) /
                        static_cast<std::int64_t>(events - 1);
  }
  this->Call.SendRelease(request->Dispatcher, request->Ask, outcome, measured);
}

void gsGateway::OnAnswerEnd(Held const& request, gsCallEnd const& end)
{
  request->Call = 0;
  std::string const& peer = request->Grant.Address;
  bool events = request->Stream && request->Status == gsStatusOk;
  bool whole =
    end.Whole && !request->Mismatch && (!events || request->Scanner.Done());
  constexpr unsigned firstServerError = 500;
  bool overloaded = request->Status == gsStatusTooMany;
  if (whole && request->Status < firstServerError && !overloaded) {
    this->FinishWhole(request);
    return;
  }
  if (!end.Sent) {
    bool refused = end.Refused;
    this->AttemptFailed(
      request, refused ? gsOutcome::Refused : gsOutcome::Unused, gsRan::No,
      gsError{ "upstream_unreachable",
               refused ? "No connection to the upstream: " + end.Error
                       : "The grant was void before it was used.",
               "connect", peer });
    return;
  }
  std::string what = "The upstream's answer broke off.";
  if (whole) {
    what = "The upstream answered with status " +
           std::to_string(request->Status) + ".";
  } else if (request->Mismatch) {
    what = "The upstream answered another request.";
  }
  this->AttemptFailed(request, gsOutcome::Failed, gsRan::Unknown,
                      gsError{ whole ? "upstream_error" : "upstream_broke",
                               what, "receive", peer });
}

void gsGateway::CheckStalls()
{
  gsTime now = gsLoop::Now();
  std::vector<Held> stalled;
  for (auto const& [sequence, request] : this->Requests) {
    if (request->At == gsHeldRequest::Step::Sending && request->Call != 0 &&
        now - request->LastProgress > this->Settings.Upstreams.StallTimeout) {
      stalled.push_back(request);
    }
  }
  for (Held const& request : stalled) {
    if (request->Paused) {
      this->CutSlowCaller(request);
      continue;
    }
    this->Client.Cancel(std::exchange(request->Call, 0));
    this->AttemptFailed(request, gsOutcome::Stalled,
                        request->SentNow ? gsRan::Unknown : gsRan::No,
                        gsError{ "upstream_stalled",
                                 "The upstream sent nothing for too long.",
                                 "receive", request->Grant.Address });
  }
}

/** A caller that does not read holds a slot of the upstream. */
void gsGateway::CutSlowCaller(Held const& request)
{
  std::shared_ptr<gsHttpExchange> exchange = request->Exchange;
  this->CallerLeft(request);
  exchange->Abort();
}

void gsGateway::AttemptFailed(Held const& request, gsOutcome outcome,
                              gsRan ran, gsError const& error)
{
  this->Release(request, outcome);
  gsFailedAttempt attempt;
  attempt.Ran = ran;
  attempt.Repeatable = request->Class.Repeatable;
  attempt.CallerHasBytes = request->CallerHasBytes;
  attempt.Attempts = request->Sends + (ran == gsRan::No ? 1 : 0);
  attempt.Now = gsLoop::Now();
  attempt.Deadline = request->Arrived + request->Class.MaxWait;
  bool again =
    gsDecideAfterFailure(attempt, this->Budget) == gsAfterFailure::Retry;
  gsLogLine("attempt_failed", gsLogLevel::Warn)
    .With("request", gsFormatId(request->Ask.Id))
    .With("upstream", request->Grant.Upstream)
    .With("ran", gsRanWord(ran))
    .With("retry", again)
    .With(error);
  if (again) {
    this->Metrics.Count("gradescale_retries_total",
                        gsLabels({ { "may_have_run", gsRanWord(ran) } }));
    request->Ask.Avoid = request->Grant.Upstream;
    this->AskAgain(request);
    return;
  }
  this->FinishError(request, gsStatusBadGateway, error, {});
}

void gsGateway::CountWaste(gsHeldRequest const& request)
{
  this->Metrics.Count("gradescale_tokens_total",
                      ClassLabels(request) + ",use=\"wasted\"",
                      static_cast<double>(request.Scanner.Events()));
}

void gsGateway::FinishWhole(Held const& request)
{
  gsTime now = gsLoop::Now();
  gsHttpExchange& exchange = *request->Exchange;
  bool events = request->Stream && request->Status == gsStatusOk;
  std::uint64_t tokens =
    events ? request->Scanner.Events() : UsageTokens(request->Answer);
  if (events) {
    this->NoteProgress(request, true);
  } else if (tokens > 0) {
    this->Call.SendProgress(request->Dispatcher, request->Ask, {},
                            (now - request->SentAt) /
                              static_cast<std::int64_t>(tokens));
  }
  this->Release(request, gsOutcome::Whole);
  if (events) {
    exchange.End();
  } else {
    gsHeaders headers{ { "Gradescale-Ran", gsRanWord(gsRan::Yes) },
                       { "Gradescale-Request", gsFormatId(request->Ask.Id) },
                       { "Gradescale-Upstream", request->Grant.Upstream },
                       { "Content-Type",
                         std::string(
                           HeaderOf(request->Headers, "content-type")) } };
    exchange.Respond(request->Status, headers, request->Answer);
  }
  gsTime first = request->FirstTokenAt - request->Arrived;
  gsClass const& target = request->Class;
  bool inTarget = false;
  if (events) {
    gsTime gap{};
    if (tokens > 1) {
      gap = (request->LastProgress - request->FirstTokenAt) /
            static_cast<std::int64_t>(tokens - 1);
    }
    inTarget = first <= target.FirstToken && gap <= target.TokenGap;
  } else {
    // Single tokens are not seen: the targets bound the whole.
    gsTime allowed =
      target.FirstToken + target.TokenGap * static_cast<std::int64_t>(tokens);
    inTarget = now - request->Arrived <= allowed;
  }
  std::string labels = ClassLabels(*request);
  if (inTarget) {
    this->Metrics.Count("gradescale_in_target_total", labels);
  }
  this->Metrics.Observe("gradescale_first_token_seconds", labels, first, now);
  this->Metrics.Count("gradescale_tokens_total", labels + ",use=\"good\"",
                      static_cast<double>(tokens));
  this->Settle(request, gsRan::Yes, "whole");
}

void gsGateway::FinishError(Held const& request, unsigned status,
                            gsError const& error, gsTime retryAfter)
{
  gsHttpExchange& exchange = *request->Exchange;
  gsRan ran = RanOf(*request);
  if (request->CallerHasBytes) {
    Json body{ { "error",
                 { { "message", error.Message },
                   { "type", "gradescale_error" },
                   { "code", error.Code },
                   { "step", error.Step },
                   { "peer", error.Peer },
                   { "ran", gsRanWord(ran) } } } };
    exchange.Write("event: error\ndata: " + body.dump() + "\n\n");
    exchange.Abort();
  } else {
    gsRespondError(exchange, status, error, ran, retryAfter,
                   gsFormatId(request->Ask.Id));
  }
  gsLogLine("failed", gsLogLevel::Warn)
    .With("request", gsFormatId(request->Ask.Id))
    .With("organisation", request->Ask.Organisation)
    .With("ran", gsRanWord(ran))
    .With(error);
  this->CountWaste(*request);
  this->Settle(request, ran, error.Code.c_str());
}

void gsGateway::CallerLeft(Held const& request)
{
  if (request->At == gsHeldRequest::Step::Ended) {
    return;
  }
  if (request->Call != 0) {
    this->Client.Cancel(std::exchange(request->Call, 0));
    this->Release(request, gsOutcome::Left);
  } else {
    this->TakeBack(request);
  }
  gsLogLine("caller_left")
    .With("request", gsFormatId(request->Ask.Id))
    .With("organisation", request->Ask.Organisation);
  this->CountWaste(*request);
  this->Settle(request, RanOf(*request), "caller_left");
}

/** Ends the request: gives its claim back or notes how it ended. */
void gsGateway::Settle(Held const& request, gsRan ran, char const* result)
{
  this->StopWaiting(*request);
  request->At = gsHeldRequest::Step::Ended;
  request->Exchange->OnGone = nullptr;
  request->Exchange->OnDrained = nullptr;
  this->Requests.erase(request->Ask.Id.Sequence);
  this->Metrics.Count(
    "gradescale_requests_total",
    gsLabels({ { "class", request->Class.Template }, { "result", result } }));
  if (request->ClaimKey.empty()) {
    return;
  }
  if (ran == gsRan::No) {
    gsClaimRelease(this->Claims, request->ClaimKey, request->ClaimValue);
  } else if (ran == gsRan::Yes) {
    gsClaimFinish(this->Claims, request->ClaimKey, request->ClaimValue,
                  "ran|" + request->ClaimValue);
  }
}
