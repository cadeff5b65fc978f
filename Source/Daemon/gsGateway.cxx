/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsGateway.h"

#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

#include "gsHttpStatus.h"
#include "gsLog.h"
#include "gsSecret.h"

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxKeyLength = 256;
constexpr gsTime PlatformRetryAfter = gsSeconds(5);
constexpr gsTime ShortRetryAfter = gsSeconds(1);

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
  : Settings(settings)
  , Metrics(metrics)
  , Claims(claims)
  , Call(std::move(hooks))
  , Asker(settings, this->Call, hostNumber, this->Requests,
          { [this](Held const& request) { this->OnGranted(request); },
            [this](Held const& request, std::string const& cause,
                   gsTime retryAfter) {
              this->GiveUp(request, cause, retryAfter);
            } })
  , Caller(loop, client, settings, this->Call, this->Requests,
           this->CallerEvents())
  , Reader(hostNumber, settings.Callers.MaxBodyKib)
{
  this->Budget.Share = settings.Retry.Share;
  this->Budget.Most = settings.Retry.Burst;
  this->Budget.Saved = settings.Retry.Burst;
}

gsGrantCallerEvents gsGateway::CallerEvents()
{
  gsGrantCallerEvents events;
  events.OnWhole = [this](Held const& request) { this->FinishWhole(request); };
  events.OnFailed = [this](Held const& request,
                           gsGrantFailure const& failure) {
    this->AttemptFailed(request, failure);
  };
  events.OnTooLarge = [this](Held const& request, gsError const& error) {
    this->FinishError(request, gsStatusBadGateway, error, {});
  };
  events.OnSlowCaller = [this](Held const& request) {
    this->CutSlowCaller(request);
  };
  return events;
}

void gsGateway::OnGranted(Held const& request)
{
  this->Metrics.Observe("gradescale_wait_seconds", ClassLabels(*request),
                        request->GrantedAt - request->Arrived,
                        request->GrantedAt);
  this->Caller.Send(request);
}

void gsGateway::GiveUp(Held const& request, std::string const& cause,
                       gsTime retryAfter)
{
  this->FinishError(request, gsStatusUnavailable,
                    Bad(cause == "no_upstream" ? "no_upstream" : "overloaded",
                        "The request was given up: " + cause + ".", "queue"),
                    retryAfter);
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
  this->Asker.AskIn(request, this->Settings.Hall);
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
    this->Asker.AskIn(request, this->Settings.Hall);
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

/** A caller that does not read holds a slot of the upstream. */
void gsGateway::CutSlowCaller(Held const& request)
{
  std::shared_ptr<gsHttpExchange> exchange = request->Exchange;
  this->CallerLeft(request);
  exchange->Abort();
}

void gsGateway::AttemptFailed(Held const& request,
                              gsGrantFailure const& failure)
{
  gsRan ran = failure.Ran;
  this->Caller.Release(request, failure.Outcome);
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
    .With(failure.Error);
  if (again) {
    this->Metrics.Count("gradescale_retries_total",
                        gsLabels({ { "may_have_run", gsRanWord(ran) } }));
    request->Ask.Avoid = request->Grant.Upstream;
    this->Asker.AskAgain(request);
    return;
  }
  this->FinishError(request, gsStatusBadGateway, failure.Error, {});
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
    events ? request->Scanner.Events() : gsUsageTokens(request->Answer);
  if (events) {
    this->Caller.NoteProgress(request, true);
  } else if (tokens > 0) {
    this->Call.SendProgress(request->Dispatcher, request->Ask, {},
                            (now - request->SentAt) /
                              static_cast<std::int64_t>(tokens));
  }
  this->Caller.Release(request, gsOutcome::Whole);
  if (events) {
    exchange.End();
  } else {
    gsHeaders headers{ { "Gradescale-Ran", gsRanWord(gsRan::Yes) },
                       { "Gradescale-Request", gsFormatId(request->Ask.Id) },
                       { "Gradescale-Upstream", request->Grant.Upstream },
                       { "Content-Type",
                         std::string(
                           gsHeaderOf(request->Headers, "content-type")) } };
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
  if (this->Caller.Cancel(*request)) {
    this->Caller.Release(request, gsOutcome::Left);
  } else {
    this->Asker.TakeBack(request);
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
  this->Asker.StopWaiting(*request);
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
