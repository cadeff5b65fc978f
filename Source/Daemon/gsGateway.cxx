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

char const* const FieldSeparator = "|";

gsError MakeError(std::string code, std::string message, std::string step)
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

gsExecuted ExecutedState(gsOpenRequest const& request)
{
  return request.MayHaveRun ? gsExecuted::Unknown : gsExecuted::No;
}

std::string ClassLabels(gsOpenRequest const& request)
{
  return gsLabels({ { "class", request.Class.Template } });
}

} // namespace

void gsRespondError(gsHttpExchange& exchange, unsigned status,
                    gsError const& error, gsExecuted ran, gsTime retryAfter,
                    std::string const& requestId)
{
  Json body{ { "message", error.Message }, { "type", "gradescale_error" },
             { "code", error.Code },       { "step", error.Step },
             { "peer", error.Peer },       { "ran", gsExecutedText(ran) } };
  gsHeaders headers{ { "Content-Type", "application/json" },
                     { "Gradescale-Ran", gsExecutedText(ran) } };
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
  , Callbacks(std::move(hooks))
  , Requester(settings, this->Callbacks, hostNumber, this->Requests,
              { [this](Held const& request) { this->OnGranted(request); },
                [this](Held const& request, std::string const& cause,
                       gsTime retryAfter) {
                  this->FinishUngranted(request, cause, retryAfter);
                } })
  , Executor(loop, client, settings, this->Callbacks, this->Requests,
             this->ExecutorEvents())
  , Parser(hostNumber, settings.Callers.MaxBodyKib)
{
  this->RetryBudget.RetryShare = settings.Retry.Share;
  this->RetryBudget.Burst = settings.Retry.Burst;
  this->RetryBudget.Available = settings.Retry.Burst;
}

gsGrantExecutorEvents gsGateway::ExecutorEvents()
{
  gsGrantExecutorEvents events;
  events.OnComplete = [this](Held const& request) {
    this->FinishSuccess(request);
  };
  events.OnFailed = [this](Held const& request,
                           gsGrantFailure const& failure) {
    this->OnAttemptFailed(request, failure);
  };
  events.OnTooLarge = [this](Held const& request, gsError const& error) {
    this->FinishError(request, gsStatusBadGateway, error, {});
  };
  events.OnSlowCaller = [this](Held const& request) {
    this->DisconnectSlowCaller(request);
  };
  return events;
}

void gsGateway::OnGranted(Held const& request)
{
  this->Metrics.Observe("gradescale_wait_seconds", ClassLabels(*request),
                        request->GrantedAt - request->ArrivedAt,
                        request->GrantedAt);
  this->Executor.Send(request);
}

void gsGateway::FinishUngranted(Held const& request, std::string const& cause,
                                gsTime retryAfter)
{
  this->FinishError(
    request, gsStatusUnavailable,
    MakeError(cause == "no_upstream" ? "no_upstream" : "overloaded",
              "The request was given up: " + cause + ".", "queue"),
    retryAfter);
}

void gsGateway::OnExchange(std::shared_ptr<gsHttpExchange> const& exchange)
{
  bool isGet = exchange->Method == "GET";
  if (exchange->Path == "/healthz" && isGet) {
    exchange->Respond(gsStatusOk, { { "Content-Type", "text/plain" } },
                      "ok\n");
    return;
  }
  if (exchange->Path == "/readyz" && isGet) {
    bool ready = this->Callbacks.IsReady() && !this->Draining;
    exchange->Respond(ready ? gsStatusOk : gsStatusUnavailable,
                      { { "Content-Type", "text/plain" } },
                      ready ? "ready\n" : "not ready\n");
    return;
  }
  if (exchange->Path == "/metrics" && isGet) {
    this->Metrics.Set("gradescale_open_requests", {},
                      static_cast<double>(this->Requests.size()));
    exchange->Respond(gsStatusOk,
                      { { "Content-Type", "text/plain; version=0.0.4" } },
                      this->Metrics.ToPrometheusText());
    return;
  }
  this->Accept(exchange);
}

void gsGateway::Accept(std::shared_ptr<gsHttpExchange> const& exchange)
{
  if (!this->Callbacks.IsReady()) {
    gsRespondError(
      *exchange, gsStatusUnavailable,
      MakeError("not_ready", "This host has no configuration yet.", "accept"),
      gsExecuted::No, ShortRetryAfter);
    return;
  }
  if (this->RefusesNew) {
    gsRespondError(*exchange, gsStatusUnavailable,
                   MakeError("stopping", "This host is stopping.", "accept"),
                   gsExecuted::No, ShortRetryAfter);
    return;
  }
  gsResult<gsOrganisation const*> organisation =
    this->Parser.Authenticate(*exchange);
  if (!organisation) {
    gsLogLine("reject").With(organisation.error());
    gsRespondError(*exchange, StatusFor(organisation.error()),
                   organisation.error(), gsExecuted::No);
    return;
  }
  gsResult<Held> prepared =
    this->Parser.Parse(exchange, *organisation.value());
  if (!prepared) {
    gsLogLine("reject")
      .With("organisation", organisation.value()->Name)
      .With("caller", exchange->Peer)
      .With(prepared.error());
    gsRespondError(*exchange, StatusFor(prepared.error()), prepared.error(),
                   gsExecuted::No);
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
      MakeError("bad_request", "The Idempotency-Key is too long.", "parse"),
      gsExecuted::No);
    return;
  }
  gsEarnRetry(this->RetryBudget);
  this->Requests[request->GrantRequest.Id.Sequence] = request;
  std::weak_ptr<gsOpenRequest> weak = request;
  exchange.OnGone = [this, weak] {
    if (Held held = weak.lock()) {
      this->OnCallerDisconnected(held);
    }
  };
  if (!request->Class.Repeatable && !key.empty()) {
    this->Claim(request, key);
    return;
  }
  this->Requester.RequestInHall(request, this->Settings.Hall);
}

void gsGateway::Claim(Held const& request, std::string_view key)
{
  request->CurrentState = gsOpenRequest::State::Claiming;
  request->ClaimKey = "claim/" + gsSha256(request->GrantRequest.Organisation +
                                          FieldSeparator + std::string(key));
  request->ClaimValue = "claimed|" + this->Settings.Host + FieldSeparator +
                        gsFormatRequestId(request->GrantRequest.Id) +
                        FieldSeparator + gsRandomId();
  gsClaimAdd(this->Claims, request->ClaimKey, request->ClaimValue,
             request->GrantRequest.Id.Sequence);
}

void gsGateway::OnClaim(gsClaimDecision const& decision)
{
  char const* resultName = decision.Result == gsClaimResult::Won ? "won"
                           : decision.Result == gsClaimResult::Taken
                             ? "taken"
                             : "unavailable";
  this->Metrics.Increment("gradescale_claims_total",
                          gsLabels({ { "result", resultName } }));
  auto found = this->Requests.find(decision.Cookie);
  if (found == this->Requests.end()) {
    return; // The caller disconnected; the claim is released.
  }
  Held request = found->second;
  gsLogLine("claim")
    .With("request", gsFormatRequestId(request->GrantRequest.Id))
    .With("organisation", request->GrantRequest.Organisation)
    .With("result", resultName);
  if (decision.Result == gsClaimResult::Won) {
    this->Requester.RequestInHall(request, this->Settings.Hall);
    return;
  }
  request->ClaimKey.clear();
  if (decision.Result == gsClaimResult::Unavailable) {
    this->FinishError(
      request, gsStatusUnavailable,
      MakeError("platform_unavailable",
                "The key could not be claimed; the request was not run.",
                "claim"),
      PlatformRetryAfter);
    return;
  }
  bool ran = decision.HolderValue.compare(0, 4, "ran|") == 0;
  gsError error =
    MakeError("duplicate_key",
              ran ? "A request with this key has been run."
                  : "A request with this key is running or may have run.",
              "claim");
  request->MayHaveRun = true;
  gsHttpExchange& exchange = *request->Exchange;
  gsRespondError(exchange, gsStatusConflict, error,
                 ran ? gsExecuted::Yes : gsExecuted::Unknown, {},
                 gsFormatRequestId(request->GrantRequest.Id));
  this->Close(request, gsExecuted::Unknown, "duplicate");
}

/** Disconnects a caller that does not read, because its request occupies a
 * slot of the upstream. */
void gsGateway::DisconnectSlowCaller(Held const& request)
{
  std::shared_ptr<gsHttpExchange> exchange = request->Exchange;
  this->OnCallerDisconnected(request);
  exchange->Abort();
}

void gsGateway::OnAttemptFailed(Held const& request,
                                gsGrantFailure const& failure)
{
  gsExecuted ran = failure.Executed;
  this->Executor.Release(request, failure.Outcome);
  gsFailedAttempt attempt;
  attempt.Executed = ran;
  attempt.IsRepeatable = request->Class.Repeatable;
  attempt.ResponseStarted = request->ResponseStarted;
  attempt.Attempts = request->SentAttempts + (ran == gsExecuted::No ? 1 : 0);
  attempt.Now = gsLoop::Now();
  attempt.Deadline = request->ArrivedAt + request->Class.MaxWait;
  bool retry =
    gsDecideRetry(attempt, this->RetryBudget) == gsRetryDecision::Retry;
  gsLogLine("attempt_failed", gsLogLevel::Warn)
    .With("request", gsFormatRequestId(request->GrantRequest.Id))
    .With("upstream", request->Grant.Upstream)
    .With("ran", gsExecutedText(ran))
    .With("retry", retry)
    .With(failure.Error);
  if (retry) {
    this->Metrics.Increment(
      "gradescale_retries_total",
      gsLabels({ { "may_have_run", gsExecutedText(ran) } }));
    request->GrantRequest.AvoidUpstream = request->Grant.Upstream;
    this->Requester.Resend(request);
    return;
  }
  this->FinishError(request, gsStatusBadGateway, failure.Error, {});
}

void gsGateway::CountWastedTokens(gsOpenRequest const& request)
{
  this->Metrics.Increment("gradescale_tokens_total",
                          ClassLabels(request) + ",use=\"wasted\"",
                          static_cast<double>(request.Scanner.EventCount()));
}

void gsGateway::FinishSuccess(Held const& request)
{
  gsTime now = gsLoop::Now();
  gsHttpExchange& exchange = *request->Exchange;
  bool events = request->Stream && request->Status == gsStatusOk;
  std::uint64_t tokens = events ? request->Scanner.EventCount()
                                : gsGeneratedTokens(request->Answer);
  if (events) {
    this->Executor.ReportProgress(request, true);
  } else if (tokens > 0) {
    this->Callbacks.SendProgress(
      request->Dispatcher, request->GrantRequest, {},
      (now - request->SentAt) / static_cast<std::int64_t>(tokens));
  }
  this->Executor.Release(request, gsGrantOutcome::Completed);
  if (events) {
    exchange.End();
  } else {
    gsHeaders headers{
      { "Gradescale-Ran", gsExecutedText(gsExecuted::Yes) },
      { "Gradescale-Request", gsFormatRequestId(request->GrantRequest.Id) },
      { "Gradescale-Upstream", request->Grant.Upstream },
      { "Content-Type",
        std::string(gsFindHeader(request->Headers, "content-type")) }
    };
    exchange.Respond(request->Status, headers, request->Answer);
  }
  gsTime first = request->FirstTokenAt - request->ArrivedAt;
  gsRequestClass const& target = request->Class;
  bool withinTarget = false;
  if (events) {
    gsTime gap{};
    if (tokens > 1) {
      gap = (request->LastProgressAt - request->FirstTokenAt) /
            static_cast<std::int64_t>(tokens - 1);
    }
    withinTarget =
      first <= target.FirstTokenTarget && gap <= target.TokenIntervalTarget;
  } else {
    // The times of single tokens are unknown; the total time is compared with
    // the sum of the targets.
    gsTime allowed =
      target.FirstTokenTarget +
      target.TokenIntervalTarget * static_cast<std::int64_t>(tokens);
    withinTarget = now - request->ArrivedAt <= allowed;
  }
  std::string labels = ClassLabels(*request);
  if (withinTarget) {
    this->Metrics.Increment("gradescale_in_target_total", labels);
  }
  this->Metrics.Observe("gradescale_first_token_seconds", labels, first, now);
  this->Metrics.Increment("gradescale_tokens_total", labels + ",use=\"good\"",
                          static_cast<double>(tokens));
  this->Close(request, gsExecuted::Yes, "whole");
}

void gsGateway::FinishError(Held const& request, unsigned status,
                            gsError const& error, gsTime retryAfter)
{
  gsHttpExchange& exchange = *request->Exchange;
  gsExecuted ran = ExecutedState(*request);
  if (request->ResponseStarted) {
    Json body{ { "error",
                 { { "message", error.Message },
                   { "type", "gradescale_error" },
                   { "code", error.Code },
                   { "step", error.Step },
                   { "peer", error.Peer },
                   { "ran", gsExecutedText(ran) } } } };
    exchange.Write("event: error\ndata: " + body.dump() + "\n\n");
    exchange.Abort();
  } else {
    gsRespondError(exchange, status, error, ran, retryAfter,
                   gsFormatRequestId(request->GrantRequest.Id));
  }
  gsLogLine("failed", gsLogLevel::Warn)
    .With("request", gsFormatRequestId(request->GrantRequest.Id))
    .With("organisation", request->GrantRequest.Organisation)
    .With("ran", gsExecutedText(ran))
    .With(error);
  this->CountWastedTokens(*request);
  this->Close(request, ran, error.Code.c_str());
}

void gsGateway::OnCallerDisconnected(Held const& request)
{
  if (request->CurrentState == gsOpenRequest::State::Ended) {
    return;
  }
  if (this->Executor.Cancel(*request)) {
    this->Executor.Release(request, gsGrantOutcome::CallerDisconnected);
  } else {
    this->Requester.Withdraw(request);
  }
  gsLogLine("caller_left")
    .With("request", gsFormatRequestId(request->GrantRequest.Id))
    .With("organisation", request->GrantRequest.Organisation);
  this->CountWastedTokens(*request);
  this->Close(request, ExecutedState(*request), "caller_left");
}

/** Ends the request. Its claim is released if it was not executed, and marked
 * as finished if it was. */
void gsGateway::Close(Held const& request, gsExecuted ran, char const* result)
{
  this->Requester.StopWaiting(*request);
  request->CurrentState = gsOpenRequest::State::Ended;
  request->Exchange->OnGone = nullptr;
  request->Exchange->OnDrained = nullptr;
  this->Requests.erase(request->GrantRequest.Id.Sequence);
  this->Metrics.Increment(
    "gradescale_requests_total",
    gsLabels({ { "class", request->Class.Template }, { "result", result } }));
  if (request->ClaimKey.empty()) {
    return;
  }
  if (ran == gsExecuted::No) {
    gsClaimRelease(this->Claims, request->ClaimKey, request->ClaimValue);
  } else if (ran == gsExecuted::Yes) {
    gsClaimMarkFinished(this->Claims, request->ClaimKey, request->ClaimValue,
                        "ran|" + request->ClaimValue);
  }
}
