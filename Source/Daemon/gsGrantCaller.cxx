/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsGrantCaller.h"

#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "gsHttpStatus.h"

namespace {

using Json = nlohmann::json;

constexpr std::size_t BytesPerKib = 1024;
constexpr std::size_t MaxBuffered = 1U << 18U;
constexpr gsTime StallSweep = gsMilliseconds(200);
constexpr gsTime ReportPeriod = gsSeconds(1);
constexpr std::size_t MaxReportsPerSecond = 50;

} // namespace

std::string_view gsHeaderOf(gsHeaders const& headers, std::string_view name)
{
  for (auto const& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

std::uint64_t gsUsageTokens(std::string const& answer)
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

gsGrantCaller::gsGrantCaller(gsLoop& loop, gsHttpClient& client,
                             gsSettings const& settings,
                             gsGatewayHooks const& hooks,
                             gsHeldRequests const& requests,
                             gsGrantCallerEvents events)
  : Client(client)
  , Settings(settings)
  , Call(hooks)
  , Requests(requests)
  , Events(std::move(events))
  , StallTimer(loop, [this] { this->CheckStalls(); })
{
  this->StallTimer.Every(StallSweep);
}

bool gsGrantCaller::MaySend(gsHeldRequest& request) const
{
  bool leaving =
    this->Call.IsLeaving(request.Grant.Upstream, request.Grant.Incarnation);
  bool late = gsLoop::Now() - request.GrantedAt > request.Grant.StartWithin;
  return !leaving && !late;
}

void gsGrantCaller::Send(gsHeldRequestPtr const& request)
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
    gsHeldRequestPtr held = weak.lock();
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
    if (gsHeldRequestPtr held = weak.lock()) {
      this->OnAnswerHeaders(held, status, headers);
    }
  };
  call.OnData = [this, weak](std::string_view bytes) {
    gsHeldRequestPtr held = weak.lock();
    return held == nullptr || this->OnAnswerData(held, bytes);
  };
  call.OnEnd = [this, weak](gsCallEnd const& end) {
    if (gsHeldRequestPtr held = weak.lock()) {
      this->OnAnswerEnd(held, end);
    }
  };
  request->Call = this->Client.Start(std::move(call));
}

void gsGrantCaller::OnAnswerHeaders(gsHeldRequestPtr const& request,
                                    unsigned status, gsHeaders const& headers)
{
  request->Status = status;
  request->Headers = headers;
  request->LastProgress = gsLoop::Now();
  std::string_view echoed = gsHeaderOf(headers, "x-request-id");
  request->Mismatch = !echoed.empty() && echoed != gsFormatId(request->Ask.Id);
}

bool gsGrantCaller::OnAnswerData(gsHeldRequestPtr const& request,
                                 std::string_view bytes)
{
  if (request->Mismatch || request->At != gsHeldRequest::Step::Sending) {
    return true;
  }
  if (request->Exchange->Buffered() > MaxBuffered) {
    request->Paused = true;
    this->WaitForCaller(request);
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
    this->Cancel(*request);
    this->Release(request, gsOutcome::Failed);
    this->Events.OnTooLarge(
      request,
      gsError{ "answer_too_large", "The upstream's answer is over the limit.",
               "receive", request->Grant.Address });
  }
  return true;
}

void gsGrantCaller::Relay(gsHeldRequestPtr const& request,
                          std::string const& events)
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

void gsGrantCaller::NoteProgress(gsHeldRequestPtr const& request, bool last)
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

void gsGrantCaller::Release(gsHeldRequestPtr const& request, gsOutcome outcome)
{
  gsMeasured measured;
  std::uint64_t events = request->Scanner.Events();
  measured.Tokens = request->Stream ? events : gsUsageTokens(request->Answer);
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

void gsGrantCaller::OnAnswerEnd(gsHeldRequestPtr const& request,
                                gsCallEnd const& end)
{
  request->Call = 0;
  std::string const& peer = request->Grant.Address;
  bool events = request->Stream && request->Status == gsStatusOk;
  bool whole =
    end.Whole && !request->Mismatch && (!events || request->Scanner.Done());
  constexpr unsigned firstServerError = 500;
  bool overloaded = request->Status == gsStatusTooMany;
  if (whole && request->Status < firstServerError && !overloaded) {
    this->Events.OnWhole(request);
    return;
  }
  gsGrantFailure failure;
  failure.Error =
    gsError{ "upstream_broke", "The upstream's answer broke off.", "receive",
             peer };
  if (!end.Sent) {
    failure.Outcome = end.Refused ? gsOutcome::Refused : gsOutcome::Unused;
    failure.Ran = gsRan::No;
    failure.Error =
      gsError{ "upstream_unreachable",
               end.Refused ? "No connection to the upstream: " + end.Error
                           : "The grant was void before it was used.",
               "connect", peer };
  } else if (whole) {
    failure.Error.Code = "upstream_error";
    failure.Error.Message = "The upstream answered with status " +
                            std::to_string(request->Status) + ".";
  } else if (request->Mismatch) {
    failure.Error.Message = "The upstream answered another request.";
  }
  this->Events.OnFailed(request, failure);
}

void gsGrantCaller::CheckStalls()
{
  gsTime now = gsLoop::Now();
  std::vector<gsHeldRequestPtr> stalled;
  for (auto const& [sequence, request] : this->Requests) {
    if (request->At == gsHeldRequest::Step::Sending && request->Call != 0 &&
        now - request->LastProgress > this->Settings.Upstreams.StallTimeout) {
      stalled.push_back(request);
    }
  }
  for (gsHeldRequestPtr const& request : stalled) {
    if (request->Paused) {
      this->Events.OnSlowCaller(request);
      continue;
    }
    this->Cancel(*request);
    gsGrantFailure failure;
    failure.Outcome = gsOutcome::Stalled;
    failure.Ran = request->SentNow ? gsRan::Unknown : gsRan::No;
    failure.Error =
      gsError{ "upstream_stalled", "The upstream sent nothing for too long.",
               "receive", request->Grant.Address };
    this->Events.OnFailed(request, failure);
  }
}

bool gsGrantCaller::Cancel(gsHeldRequest& request)
{
  if (request.Call == 0) {
    return false;
  }
  this->Client.Cancel(std::exchange(request.Call, 0));
  return true;
}

/** The bytes that were not taken are given again when the call goes on. */
void gsGrantCaller::WaitForCaller(gsHeldRequestPtr const& request)
{
  std::weak_ptr<gsHeldRequest> weak = request;
  request->Exchange->OnDrained = [this, weak] {
    gsHeldRequestPtr held = weak.lock();
    if (held != nullptr && held->Paused) {
      held->Paused = false;
      held->LastProgress = gsLoop::Now();
      this->Client.Unpause(held->Call);
    }
  };
}
