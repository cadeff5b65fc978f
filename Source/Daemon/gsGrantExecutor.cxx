/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsGrantExecutor.h"

#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "gsHttpStatus.h"

namespace {

using Json = nlohmann::json;

constexpr std::size_t BytesPerKib = 1024;
constexpr std::size_t MaxBuffered = 1U << 18U;
constexpr gsTime StallCheckInterval = gsMilliseconds(200);
constexpr gsTime MinReportInterval = gsSeconds(1);
constexpr std::size_t MaxReportsPerSecond = 50;

} // namespace

std::uint64_t gsGeneratedTokens(std::string const& answer)
{
  Json body = Json::parse(answer, nullptr, false);
  if (!body.is_object() || !body.contains("usage") ||
      !body["usage"].is_object()) {
    return 0;
  }
  auto tokens = body["usage"].find("completion_tokens");
  bool isValid = tokens != body["usage"].end() && tokens->is_number_unsigned();
  return isValid ? tokens->get<std::uint64_t>() : 0;
}

gsGrantExecutor::gsGrantExecutor(gsLoop& loop, gsHttpClient& client,
                                 gsSettings const& settings,
                                 gsGatewayHooks const& hooks,
                                 gsOpenRequests const& requests,
                                 gsGrantExecutorEvents events)
  : Client(client)
  , Settings(settings)
  , Callbacks(hooks)
  , Requests(requests)
  , Events(std::move(events))
  , StallTimer(loop, [this] { this->CheckStalls(); })
{
  this->StallTimer.Every(StallCheckInterval);
}

bool gsGrantExecutor::CanSend(gsOpenRequest& request) const
{
  bool isLeaving = this->Callbacks.IsLeaving(request.Grant.Upstream,
                                             request.Grant.Incarnation);
  bool expired =
    gsLoop::Now() - request.GrantedAt > request.Grant.StartTimeout;
  return !isLeaving && !expired;
}

void gsGrantExecutor::Send(gsOpenRequestPtr const& request)
{
  request->CurrentState = gsOpenRequest::State::Sending;
  request->MayHaveSent = false;
  request->Status = 0;
  request->Answer.clear();
  request->Scanner = gsSseParser();
  request->FirstTokenAt = gsTime{};
  request->LastProgressAt = gsLoop::Now();
  request->LastReportAt = request->LastProgressAt;
  request->ReportedEvents = 0;

  gsCall call;
  call.Method = request->Method;
  call.Url = "http://" + request->Grant.Address + request->Path;
  call.ConnectTimeout = this->Settings.Upstreams.ConnectTimeout;
  call.Body = request->Body;
  call.MaxBodyBytes = 0; // OnAnswerData has limits by kind of answer.
  call.Headers = { { "X-Request-Id",
                     gsFormatRequestId(request->GrantRequest.Id) } };
  if (!request->ContentType.empty()) {
    call.Headers.emplace_back("Content-Type", request->ContentType);
  }
  std::weak_ptr<gsOpenRequest> weak = request;
  call.BeforeSend = [this, weak] {
    gsOpenRequestPtr held = weak.lock();
    if (held == nullptr || !this->CanSend(*held)) {
      return false;
    }
    held->MayHaveSent = true;
    held->MayHaveRun = true;
    ++held->SentAttempts;
    held->SentAt = gsLoop::Now();
    held->LastProgressAt = held->SentAt;
    return true;
  };
  call.OnHeaders = [this, weak](unsigned status, gsHeaders const& headers) {
    if (gsOpenRequestPtr held = weak.lock()) {
      this->OnAnswerHeaders(held, status, headers);
    }
  };
  call.OnData = [this, weak](std::string_view bytes) {
    gsOpenRequestPtr held = weak.lock();
    return held == nullptr || this->OnAnswerData(held, bytes);
  };
  call.OnEnd = [this, weak](gsCallEnd const& end) {
    if (gsOpenRequestPtr held = weak.lock()) {
      this->OnAnswerEnd(held, end);
    }
  };
  request->HttpCall = this->Client.Start(std::move(call));
}

void gsGrantExecutor::OnAnswerHeaders(gsOpenRequestPtr const& request,
                                      unsigned status,
                                      gsHeaders const& headers)
{
  request->Status = status;
  request->Headers = headers;
  request->LastProgressAt = gsLoop::Now();
  std::string_view echoed = gsFindHeader(headers, "x-request-id");
  request->RequestIdMismatch =
    !echoed.empty() && echoed != gsFormatRequestId(request->GrantRequest.Id);
}

bool gsGrantExecutor::OnAnswerData(gsOpenRequestPtr const& request,
                                   std::string_view bytes)
{
  if (request->RequestIdMismatch ||
      request->CurrentState != gsOpenRequest::State::Sending) {
    return true;
  }
  if (request->Exchange->Buffered() > MaxBuffered) {
    request->Paused = true;
    this->ResumeWhenDrained(request);
    return false;
  }
  request->LastProgressAt = gsLoop::Now();
  bool events = request->Stream && request->Status == gsStatusOk;
  if (events) {
    std::string complete = request->Scanner.Append(bytes);
    if (!complete.empty()) {
      this->Relay(request, complete);
    }
  } else {
    request->Answer.append(bytes);
    if (request->FirstTokenAt.count() == 0) {
      request->FirstTokenAt = request->LastProgressAt;
    }
  }
  std::size_t limit = this->Settings.Callers.MaxAnswerKib * BytesPerKib;
  if (request->Answer.size() > limit || request->Scanner.IsEventTooLong()) {
    this->Cancel(*request);
    this->Release(request, gsGrantOutcome::Failed);
    this->Events.OnTooLarge(
      request,
      gsError{ "answer_too_large", "The upstream's answer is over the limit.",
               "receive", request->Grant.Address });
  }
  return true;
}

void gsGrantExecutor::Relay(gsOpenRequestPtr const& request,
                            std::string const& events)
{
  gsHttpExchange& exchange = *request->Exchange;
  if (!request->ResponseStarted) {
    request->ResponseStarted = true;
    request->FirstTokenAt = request->LastProgressAt;
    request->Body =
      std::string(); // Not needed: a started answer is not retried.
    exchange.BeginStream(
      gsStatusOk,
      { { "Content-Type", "text/event-stream" },
        { "Cache-Control", "no-cache" },
        { "Gradescale-Ran", gsExecutedText(gsExecuted::Yes) },
        { "Gradescale-Request", gsFormatRequestId(request->GrantRequest.Id) },
        { "Gradescale-Upstream", request->Grant.Upstream } });
  }
  exchange.Write(events);
  this->ReportProgress(request, false);
}

void gsGrantExecutor::ReportProgress(gsOpenRequestPtr const& request,
                                     bool last)
{
  gsTime now = request->LastProgressAt;
  std::uint64_t events = request->Scanner.EventCount();
  bool first = request->ReportedEvents == 0 && events > 0;
  // The interval grows with the number of requests, so that all streams
  // together send about MaxReportsPerSecond.
  auto extraIntervals =
    static_cast<std::int64_t>(this->Requests.size() / MaxReportsPerSecond);
  gsTime interval = MinReportInterval * (1 + extraIntervals);
  if (!first && !last && now - request->LastReportAt < interval) {
    return;
  }
  gsTime gap{};
  if (!first && events > request->ReportedEvents) {
    gap = (now - request->LastReportAt) /
          static_cast<std::int64_t>(events - request->ReportedEvents);
  }
  this->Callbacks.SendProgress(request->Dispatcher, request->GrantRequest,
                               first ? now - request->SentAt : gsTime{}, gap);
  request->LastReportAt = now;
  request->ReportedEvents = events;
}

void gsGrantExecutor::Release(gsOpenRequestPtr const& request,
                              gsGrantOutcome outcome)
{
  gsGrantMeasurements measured;
  std::uint64_t events = request->Scanner.EventCount();
  measured.Tokens =
    request->Stream ? events : gsGeneratedTokens(request->Answer);
  if (request->FirstTokenAt.count() > 0 && request->MayHaveSent) {
    measured.TimeToFirstToken = request->FirstTokenAt - request->SentAt;
    measured.Duration = request->LastProgressAt - request->SentAt;
  }
  if (events > 1) {
    measured.TokenInterval =
      (request->LastProgressAt - request->FirstTokenAt) /
      static_cast<std::int64_t>(events - 1);
  }
  this->Callbacks.SendRelease(request->Dispatcher, request->GrantRequest,
                              outcome, measured);
}

void gsGrantExecutor::OnAnswerEnd(gsOpenRequestPtr const& request,
                                  gsCallEnd const& end)
{
  request->HttpCall = 0;
  std::string const& peer = request->Grant.Address;
  bool events = request->Stream && request->Status == gsStatusOk;
  bool complete = end.IsWhole() && !request->RequestIdMismatch &&
                  (!events || request->Scanner.IsDone());
  constexpr unsigned firstServerError = 500;
  bool overloaded = request->Status == gsStatusTooMany;
  if (complete && request->Status < firstServerError && !overloaded) {
    this->Events.OnComplete(request);
    return;
  }
  gsGrantFailure failure;
  failure.Error =
    gsError{ "upstream_broke", "The upstream's answer broke off.", "receive",
             peer };
  if (!end.Sent) {
    failure.Outcome =
      end.Refused ? gsGrantOutcome::ConnectionRefused : gsGrantOutcome::Unused;
    failure.Executed = gsExecuted::No;
    failure.Error =
      gsError{ "upstream_unreachable",
               end.Refused ? "No connection to the upstream: " + end.Error
                           : "The grant was void before it was used.",
               "connect", peer };
  } else if (complete) {
    failure.Error.Code = "upstream_error";
    failure.Error.Message = "The upstream answered with status " +
                            std::to_string(request->Status) + ".";
  } else if (request->RequestIdMismatch) {
    failure.Error.Message = "The upstream answered another request.";
  }
  this->Events.OnFailed(request, failure);
}

void gsGrantExecutor::CheckStalls()
{
  gsTime now = gsLoop::Now();
  std::vector<gsOpenRequestPtr> stalled;
  for (auto const& [sequence, request] : this->Requests) {
    if (request->CurrentState == gsOpenRequest::State::Sending &&
        request->HttpCall != 0 &&
        now - request->LastProgressAt >
          this->Settings.Upstreams.StallTimeout) {
      stalled.push_back(request);
    }
  }
  for (gsOpenRequestPtr const& request : stalled) {
    if (request->Paused) {
      this->Events.OnSlowCaller(request);
      continue;
    }
    this->Cancel(*request);
    gsGrantFailure failure;
    failure.Outcome = gsGrantOutcome::Stalled;
    failure.Executed =
      request->MayHaveSent ? gsExecuted::Unknown : gsExecuted::No;
    failure.Error =
      gsError{ "upstream_stalled", "The upstream sent nothing for too long.",
               "receive", request->Grant.Address };
    this->Events.OnFailed(request, failure);
  }
}

bool gsGrantExecutor::Cancel(gsOpenRequest& request)
{
  if (request.HttpCall == 0) {
    return false;
  }
  this->Client.Cancel(std::exchange(request.HttpCall, 0));
  return true;
}

/** Resumes the call when the caller has read its buffer. The bytes that were
 * not accepted are delivered again then. */
void gsGrantExecutor::ResumeWhenDrained(gsOpenRequestPtr const& request)
{
  std::weak_ptr<gsOpenRequest> weak = request;
  request->Exchange->OnDrained = [this, weak] {
    gsOpenRequestPtr held = weak.lock();
    if (held != nullptr && held->Paused) {
      held->Paused = false;
      held->LastProgressAt = gsLoop::Now();
      this->Client.Unpause(held->HttpCall);
    }
  };
}
