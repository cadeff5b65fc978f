/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUpstreamCaller.h"

#include <algorithm>
#include <utility>

#include "gsArrangement.h"
#include "gsHttpStatus.h"
#include "gsLog.h"

namespace {

constexpr std::size_t MaxBuffered = 1U << 18U; ///< For a slow caller; bytes.
/** Shorter prompts say little of how fast an upstream reads. */
constexpr std::uint64_t MinMeasuredTokens = 2000;
constexpr double RateSmoothing = 0.05;
constexpr double LeastTokenMillis = 0.002;
constexpr double MostTokenMillis = 1.0;

/** Follows the quantile below which FastShare of the values are. */
double FollowFast(double fast, double value)
{
  constexpr double fastShare = 0.2;
  constexpr double step = 0.05;
  double factor =
    value < fast ? 1 - step * (1 - fastShare) : 1 + step * fastShare;
  return std::clamp(fast * factor, LeastTokenMillis, MostTokenMillis);
}

/** One line when an upstream says something new of itself: that it leaves, or
 * that it rests from now on. */
void LogWord(gsRoutedRequest const& request, gsAttempt const& attempt)
{
  gsUpstreamWord const& word = attempt.Head.Word;
  gsLogLine line("upstream_says");
  line.With("request", request.Caller.Id)
    .With("upstream", attempt.Upstream.Id)
    .With("born", attempt.Upstream.Born)
    .With("status", attempt.Status)
    .With("leaving", word.Leaving);
  if (word.Rest.count() > 0) {
    line.With("rest_ms", word.Rest);
  }
}

bool IsSuccess(unsigned status)
{
  constexpr unsigned first = 200;
  constexpr unsigned last = 299;
  return status >= first && status <= last;
}

} // namespace

char const* gsAttemptEndWord(gsAttemptEnd end)
{
  switch (end) {
    case gsAttemptEnd::Whole:
      return "whole";
    case gsAttemptEnd::NotExecuted:
      return "not_executed";
    case gsAttemptEnd::NotSent:
      return "not_sent";
    case gsAttemptEnd::Broken:
      break;
  }
  return "broken";
}

gsFingerprint const& gsRequestFingerprint(gsRoutedRequest& request)
{
  if (!request.Fingerprint) {
    request.Fingerprint = gsFingerprintOf(
      request.Organisation, request.Caller.Target, request.Caller.Body);
  }
  return *request.Fingerprint;
}

bool gsRelaysEvents(gsRoutedRequest const& request, gsAttempt const& attempt)
{
  return request.Route->Events && IsSuccess(attempt.Status);
}

gsUpstreamCaller::gsUpstreamCaller(gsHttpClient& client,
                                   gsAdapter const& adapter, gsFleet& fleet,
                                   gsUpstreamCallerSettings settings,
                                   gsUpstreamCallerEvents events)
  : Client(client)
  , Adapter(adapter)
  , Fleet(fleet)
  , Settings(settings)
  , Events(std::move(events))
{
}

void gsUpstreamCaller::Start(gsRoutedRequestPtr const& request,
                             gsPlacement const& placement)
{
  gsFleetRow& row = *placement.Row;
  gsTime now = gsLoop::Now();
  auto attempt = std::make_shared<gsAttempt>();
  attempt->Upstream = gsIncarnationOf(row.Listed);
  attempt->Address = row.Listed.Address;
  attempt->ReadTokens = placement.ReadTokens;
  attempt->MemoryTokens =
    request->Caller.PromptTokens + request->Caller.AnswerTokens;
  attempt->Wait = gsWaitAt(this->Fleet, row, placement.ReadTokens, now);
  attempt->Started = now;
  attempt->LastByteAt = now;
  if (request->LastEvent) {
    attempt->Events.SkipThrough(*request->LastEvent);
  }
  row.Own.Running += 1;
  row.ColdSentAt = now < row.ColdUntil ? now : row.ColdSentAt;
  attempt->Returns = gsNoteReturn(row.Heard, now);
  attempt->HasReservedToken =
    gsReserveToken(this->Fleet.RateLimits, row.Hash, now);
  gsNoteWorking(this->Fleet, row);
  row.Own.ReadTokens += attempt->ReadTokens;
  row.Own.MemoryTokens += attempt->MemoryTokens;
  request->Attempt = attempt;
  attempt->Call =
    this->Client.Start(this->MakeCall(request, attempt, placement));
}

gsCall gsUpstreamCaller::MakeCall(gsRoutedRequestPtr const& request,
                                  gsAttemptPtr const& attempt,
                                  gsPlacement const& placement)
{
  gsFleetRow const& row = *placement.Row;
  gsCallerRequest const& caller = request->Caller;
  gsTime until = std::min(request->DeadlineAt, request->TimeoutAt);
  gsAttemptFacts facts;
  facts.UpstreamId = row.Listed.Id;
  facts.Organisation = request->Organisation;
  facts.DeadlineLeft = until - gsLoop::Now();
  facts.Urgency = request->Priority;
  facts.LastEvent = request->LastEvent;
  if (placement.Holder != nullptr) {
    facts.TakeFrom = placement.Holder->Listed.Address;
  }

  gsCall call;
  call.Method = caller.Method;
  call.Url = "http://" + row.Listed.Address + caller.Target;
  call.Headers = this->Adapter.AttemptHeaders(caller, facts);
  call.Body = caller.Body;
  call.ConnectTimeout = this->Settings.ConnectTimeout;
  call.UserTimeout = this->Settings.UserTimeout;
  call.Reuse = true;
  call.MaxIdle = row.KeepIdle;
  if (row.RestartedAt.count() != 0) {
    // Connections to the one before may be open without an other end.
    call.MaxAge = gsLoop::Now() - row.RestartedAt;
  }
  call.BareHeaders = true;
  call.AcceptUnframed = true;
  std::weak_ptr<gsRoutedRequest> weak = request;
  call.BeforeSend = [this, weak, attempt] {
    gsRoutedRequestPtr held = weak.lock();
    return held != nullptr && this->MaySend(*held, *attempt);
  };
  call.OnHeaders = [this, weak, attempt](unsigned status,
                                         gsHeaders const& headers) {
    if (gsRoutedRequestPtr held = weak.lock()) {
      this->OnHeaders(held, attempt, status, headers);
    }
  };
  call.OnData = [this, weak, attempt](std::string_view bytes) {
    gsRoutedRequestPtr held = weak.lock();
    return held == nullptr || this->OnData(held, attempt, bytes);
  };
  call.OnEnd = [this, weak, attempt](gsCallEnd const& end) {
    if (gsRoutedRequestPtr held = weak.lock()) {
      this->OnEnd(held, attempt, end);
    }
  };
  return call;
}

/** The last look before the first byte: what was decided may be void. */
bool gsUpstreamCaller::MaySend(gsRoutedRequest& request, gsAttempt& attempt)
{
  gsTime now = gsLoop::Now();
  gsFleetRow const* row = gsFleetFind(this->Fleet, attempt.Upstream);
  bool isVoid = row == nullptr || !gsTakesWork(this->Fleet, *row, now);
  bool late = now >= std::min(request.DeadlineAt, request.TimeoutAt);
  if (request.Ended || isVoid || late || !this->Events.MaySend(request)) {
    return false;
  }
  // Checked last, because it consumes the token.
  if (!gsSpendToken(this->Fleet.RateLimits, row->Hash, now)) {
    return false;
  }
  if (std::exchange(attempt.HasReservedToken, false)) {
    gsReleaseToken(this->Fleet.RateLimits, row->Hash);
  }
  attempt.Sent = true;
  attempt.SentAt = now;
  attempt.LastByteAt = now;
  ++request.Sends;
  return true;
}

/**
 * Takes in what an answer's head says of its upstream, whatever becomes of the
 * answer. It is the first word of it: the platform's row may say the same many
 * seconds later, and an upstream that was asked again in its rest has turned
 * urgent requests away that others would have taken.
 */
void gsUpstreamCaller::NoteHead(gsRoutedRequest const& request,
                                gsAttempt& attempt, gsTime now)
{
  gsUpstreamWord const& word = attempt.Head.Word;
  gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream);
  bool known = row != nullptr && gsIsLeaving(*row);
  if (gsNoteWord(this->Fleet, attempt.Upstream, word, now)) {
    LogWord(request, attempt);
  }
  if (word.Leaving && row != nullptr && !known) {
    this->Events.OnLeaving(attempt.Upstream);
  }
  this->NoteRateLimit(request, attempt, now);
  if (row != nullptr && std::exchange(attempt.Returns, false)) {
    bool taken = !attempt.Head.NotExecuted && word.Rest.count() == 0;
    gsNoteReturned(row->Heard, taken, row->Listed.Slots);
  }
}

/** Applies the rate limit that an answer names, or its absence. */
void gsUpstreamCaller::NoteRateLimit(gsRoutedRequest const& request,
                                     gsAttempt const& attempt, gsTime now)
{
  gsUpstreamWord const& word = attempt.Head.Word;
  bool concerns = word.RateLimit.has_value() || word.RateLimitUnreadable ||
                  !this->Fleet.RateLimits.Upstreams.empty();
  if (!concerns || attempt.Status == gsStatusMisdirected) {
    return;
  }
  if (word.RateLimitUnreadable) {
    gsLogLine("rate_limit_unreadable", gsLogLevel::Warn)
      .With("request", request.Caller.Id)
      .With("upstream", attempt.Upstream.Id);
    return;
  }
  // An answer to another request may be older than this attempt.
  bool isOwn = attempt.Head.RequestId == request.Caller.Id;
  std::uint32_t hash = gsIncarnationHash(attempt.Upstream);
  if (!gsNoteRateLimit(this->Fleet.RateLimits, hash, word.RateLimit,
                       isOwn ? attempt.SentAt : gsTime{}, now)) {
    return;
  }
  gsRateLimit const& limit = this->Fleet.RateLimits.Upstreams.at(hash).Limit;
  gsLogLine("rate_limit")
    .With("request", request.Caller.Id)
    .With("upstream", attempt.Upstream.Id)
    .With("born", attempt.Upstream.Born)
    .With("status", attempt.Status)
    .With("per_second", gsRateText(limit.Rate))
    .With("ended", limit.Ended)
    .With("version", limit.Version);
  this->Events.OnRateLimit();
}

void gsUpstreamCaller::OnHeaders(gsRoutedRequestPtr const& request,
                                 gsAttemptPtr const& held, unsigned status,
                                 gsHeaders const& headers)
{
  gsAttempt& attempt = *held;
  gsTime now = gsLoop::Now();
  attempt.LastByteAt = now;
  attempt.Status = status;
  attempt.Head = this->Adapter.ReadAnswer(status, headers);
  this->NoteHead(*request, attempt, now);
  if (attempt.Head.RequestId != request->Caller.Id) {
    this->Break(request, held, "The upstream answered another request.");
    return;
  }
  // Another upstream that has the address by now answers so.
  bool isOther = status == gsStatusMisdirected;
  gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream);
  if (row != nullptr && !isOther) {
    gsNoteHeard(this->Fleet, *row, now);
    if (attempt.Head.KeepIdle) {
      row->KeepIdle = *attempt.Head.KeepIdle;
    }
  }
  if (IsSuccess(status) && !attempt.Head.Signed) {
    this->Break(request, held, "The upstream's answer carries no signature.");
  }
}

bool gsUpstreamCaller::OnData(gsRoutedRequestPtr const& request,
                              gsAttemptPtr const& held, std::string_view bytes)
{
  gsAttempt& attempt = *held;
  if (attempt.Call == 0) {
    return true;
  }
  if (request->Exchange->Buffered() > MaxBuffered) {
    request->CallerPaused = true;
    return false;
  }
  gsTime now = gsLoop::Now();
  attempt.LastByteAt = now;
  gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream);
  if (row != nullptr && attempt.Status != gsStatusMisdirected) {
    gsNoteHeard(this->Fleet, *row, now);
  }
  if (attempt.FirstByteAt.count() == 0 && gsRelaysEvents(*request, attempt)) {
    this->Events.OnBegan(request, now);
  }
  this->NoteFirstByte(*request, attempt, now);
  if (IsSuccess(attempt.Status)) {
    this->Events.OnAnswering(request, held);
  }
  if (gsRelaysEvents(*request, attempt)) {
    this->TakeEvents(request, attempt, bytes, now);
    return true;
  }
  attempt.Body.append(bytes);
  if (attempt.Body.size() > this->Settings.MaxAnswer) {
    this->Break(request, held, "The upstream's answer is over the limit.");
  }
  return true;
}

/** Passes whole events on, and notes the pauses between them. */
void gsUpstreamCaller::TakeEvents(gsRoutedRequestPtr const& request,
                                  gsAttempt& attempt, std::string_view bytes,
                                  gsTime now)
{
  std::string events = attempt.Events.Feed(bytes);
  if (events.empty()) {
    return;
  }
  if (attempt.LastEventAt.count() != 0) {
    gsTime pause = now - attempt.LastEventAt;
    attempt.LongestGap = std::max(attempt.LongestGap, pause);
    if (gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream)) {
      gsNotePause(this->Fleet, *row, pause, now);
    }
  }
  attempt.LastEventAt = now;
  this->Events.OnEvents(request, std::move(events));
}

/** A first byte says that the prompt has been read, and how fast. */
void gsUpstreamCaller::NoteFirstByte(gsRoutedRequest const& request,
                                     gsAttempt& attempt, gsTime now)
{
  if (attempt.FirstByteAt.count() != 0) {
    return;
  }
  attempt.FirstByteAt = now;
  if (attempt.Wait.ReadTokens >= MinMeasuredTokens) {
    double millis = gsToSeconds(now - attempt.SentAt) * 1e3;
    double each = millis / static_cast<double>(attempt.Wait.ReadTokens);
    this->TokenMillis += RateSmoothing * (each - this->TokenMillis);
    this->TokenMillis =
      std::clamp(this->TokenMillis, LeastTokenMillis, MostTokenMillis);
    this->FastTokenMillis = FollowFast(this->FastTokenMillis, each);
  }
  if (gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream)) {
    gsNoteReading(this->Fleet.Paces[row->Listed.Service], attempt.ReadTokens,
                  now - attempt.SentAt);
    row->Own.ReadTokens -=
      std::min<std::uint64_t>(row->Own.ReadTokens, attempt.ReadTokens);
    gsNoteParts(this->Fleet, *row, request.Caller.Parts, now);
  }
  attempt.ReadTokens = 0;
}

/** Takes the attempt's work out of the upstream's row. */
void gsUpstreamCaller::Discharge(gsAttempt& attempt)
{
  attempt.Call = 0;
  if (std::exchange(attempt.HasReservedToken, false)) {
    gsReleaseToken(this->Fleet.RateLimits,
                   gsIncarnationHash(attempt.Upstream));
  }
  gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream);
  if (row == nullptr) {
    return;
  }
  if (std::exchange(attempt.Returns, false)) {
    gsNoteReturned(row->Heard, false, row->Listed.Slots);
  }
  row->Own.Running -= std::min(row->Own.Running, 1U);
  row->Own.ReadTokens -=
    std::min<std::uint64_t>(row->Own.ReadTokens, attempt.ReadTokens);
  row->Own.MemoryTokens -=
    std::min<std::uint64_t>(row->Own.MemoryTokens, attempt.MemoryTokens);
}

/** Ends an attempt whose answer cannot be used; the connection closes. */
void gsUpstreamCaller::Break(gsRoutedRequestPtr const& request,
                             gsAttemptPtr const& attempt, std::string detail)
{
  this->Client.Cancel(std::exchange(attempt->Call, 0));
  this->Finish(request, attempt,
               { gsAttemptEnd::Broken, attempt->Status, std::move(detail) });
}

void gsUpstreamCaller::Cancel(gsAttempt& attempt)
{
  if (attempt.Call == 0) {
    return;
  }
  this->Client.Cancel(std::exchange(attempt.Call, 0));
  this->Discharge(attempt);
}

void gsUpstreamCaller::CancelAll(gsRoutedRequest& request)
{
  for (gsAttemptPtr const& attempt : { request.Attempt, request.Primary }) {
    if (attempt != nullptr) {
      this->Cancel(*attempt);
    }
  }
}

void gsUpstreamCaller::Unpause(gsRoutedRequest const& request)
{
  for (gsAttemptPtr const& attempt : { request.Attempt, request.Primary }) {
    if (attempt != nullptr && attempt->Call != 0) {
      this->Client.Unpause(attempt->Call);
    }
  }
}

void gsUpstreamCaller::OnEnd(gsRoutedRequestPtr const& request,
                             gsAttemptPtr const& held, gsCallEnd const& end)
{
  gsAttempt& attempt = *held;
  gsAttemptResult result;
  result.Status = attempt.Status;
  if (!end.Sent) {
    result.End = gsAttemptEnd::NotSent;
    result.Detail = end.Refused ? "No connection to the upstream: " + end.Error
                                : "The choice was void before it was used.";
    gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream);
    if (end.Refused && row != nullptr &&
        gsNoteNoConnection(this->Fleet, *row, gsLoop::Now())) {
      gsLogLine("hall_unreachable", gsLogLevel::Warn)
        .With("hall", row->Listed.Hall)
        .With("upstream", row->Listed.Id);
    }
  } else if (!end.Whole) {
    result.BrokeOff = !end.Stopped;
    result.Detail = "The upstream's answer broke off: " + end.Error;
  } else if (attempt.Head.NotExecuted) {
    result.End = gsAttemptEnd::NotExecuted;
    result.Detail = "The upstream turned the request away with status " +
                    std::to_string(attempt.Status) + ".";
  } else {
    result.End = gsAttemptEnd::Whole;
  }
  this->Finish(request, held, result);
}

void gsUpstreamCaller::Finish(gsRoutedRequestPtr const& request,
                              gsAttemptPtr const& held,
                              gsAttemptResult const& result)
{
  gsAttempt& attempt = *held;
  this->Discharge(attempt);
  gsTime now = gsLoop::Now();
  if (gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream)) {
    constexpr unsigned firstServerError = 500;
    bool failed =
      result.End == gsAttemptEnd::Broken ||
      (result.End == gsAttemptEnd::Whole && result.Status >= firstServerError);
    if (attempt.Sent) {
      gsNoteOutcome(*row, failed, now);
    }
    bool full = result.End == gsAttemptEnd::NotExecuted &&
                (result.Status == gsStatusUnavailable ||
                 result.Status == gsStatusTooMany);
    if (full) {
      gsNoteTurnedAway(this->Fleet, *row, now);
    }
    if (result.End == gsAttemptEnd::Whole) {
      gsNoteHold(this->Fleet, *row, now - attempt.SentAt);
    }
  }
  this->Events.OnEnd(request, held, result);
}
