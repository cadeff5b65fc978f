/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUpstreamCaller.h"

#include <algorithm>
#include <utility>

#include <strings.h>

#include "gsArrangement.h"
#include "gsEngineSpeed.h"
#include "gsHttpStatus.h"
#include "gsLog.h"
#include "gsMemoryBudget.h"
#include "gsPlacementAsk.h"

namespace {

constexpr std::size_t MaxBuffered = 1U << 18U; ///< Bytes, for a slow caller.
/** Shorter prompts are too inaccurate to measure the prompt processing speed.
 */
constexpr std::uint64_t MinMeasuredTokens = 2000;
constexpr double RateSmoothing = 0.05;
/** Maximum idle time of reused connections to other hosts. */
constexpr gsTime MaxForwardIdle = gsSeconds(10);
constexpr double MinTokenMillis = 0.002;
constexpr double MaxTokenMillis = 1.0;
/** Time for which an end that nothing states is held back. An upstream that
 * has other answers under way sends something in that time, unless it has
 * crashed. */
constexpr gsTime EndHoldTime = gsMilliseconds(30);
/** A kept connection that the upstream had closed before a request was sent
 * on it breaks within this time. */
constexpr gsTime MaxCloseDelay = gsMilliseconds(5);
/** The connections of an upstream that crashes break within this time of each
 * other. */
constexpr gsTime CrashSpread = gsMilliseconds(10);

void LogExcess(gsRoutedRequest const& request, gsAttempt const& attempt,
               gsAnswerExcess const& excess)
{
  gsLogLine("answer_ended", gsLogLevel::Warn)
    .With("request", request.Caller.AttemptId)
    .With("upstream", attempt.Upstream.Id)
    .With("address", attempt.Address)
    .With("status", attempt.Status)
    .With("part", gsAnswerPartName(excess.Part))
    .With("cause", gsExcessCauseName(excess))
    .With("bytes", excess.Bytes)
    .With("limit_bytes", excess.Limit)
    .With("events", attempt.EventSplitter.EventCount());
}

/** Updates an estimate of the quantile below which fastShare of the values
 * lie.
 */
double UpdateFastQuantile(double fast, double value)
{
  constexpr double fastShare = 0.2;
  constexpr double step = 0.05;
  double factor =
    value < fast ? 1 - step * (1 - fastShare) : 1 + step * fastShare;
  return std::clamp(fast * factor, MinTokenMillis, MaxTokenMillis);
}

/** Whether the head of an answer names the request of the attempt. */
bool IsOwnAnswer(gsRoutedRequest const& request, gsAttempt const& attempt)
{
  return attempt.AnswerHead.RequestId == request.Caller.AttemptId;
}

/** Whether an answer says that its sender reads no further request. */
bool ClosesConnection(gsHeaders const& headers)
{
  constexpr char const* closes = "close";
  return strcasecmp(std::string(gsFindHeader(headers, "connection")).c_str(),
                    closes) == 0;
}

/** Logs a change that an upstream announces: that it is shutting down, or that
 * it accepts no requests for a given time. */
void LogAnnouncement(gsRoutedRequest const& request, gsAttempt const& attempt)
{
  gsUpstreamAnnouncement const& announcement = attempt.AnswerHead.Announcement;
  gsLogLine line("upstream_says");
  line.With("request", request.Caller.AttemptId)
    .With("upstream", attempt.Upstream.Id)
    .With("born", attempt.Upstream.StartedAt)
    .With("status", attempt.Status)
    .With("leaving", announcement.Leaving);
  if (announcement.RetryAfter.count() > 0) {
    line.With("rest_ms", announcement.RetryAfter);
  }
}

/** Prompt tokens that no other request shares, so that the engine has to
 * process them; the last part. */
std::uint32_t OwnTokensOf(gsCallerRequest const& caller,
                          gsPlacement const& placement)
{
  if (caller.PromptParts.empty()) {
    return placement.TokensToRead;
  }
  return std::min(placement.TokensToRead, caller.PromptParts.back().Tokens);
}

bool IsSuccess(unsigned status)
{
  constexpr unsigned first = 200;
  constexpr unsigned last = 299;
  return status >= first && status <= last;
}

std::uint64_t HeldOf(gsAttempt const& attempt)
{
  return attempt.HeldAnswer->Value() + attempt.HeldEvent->Value();
}

/** Frees what was received of an answer that is not used. */
void ReleaseAnswer(gsAttempt& attempt)
{
  attempt.AnswerBody = {};
  attempt.HeldAnswer->Set(0);
  attempt.EventSplitter.TakeRemainder();
  attempt.HeldEvent->Set(0);
}

/** Whether the first byte of an attempt was expected to come after a wait for
 * a slot, or for more prompt tokens of others than of its own. */
bool HadToWait(gsAttempt const& attempt)
{
  gsExpectedWait const& wait = attempt.ExpectedWait;
  return wait.SlotWait.count() > 0 ||
         wait.PendingPromptTokens >
           2 * std::uint64_t(attempt.Load.PendingPromptTokens);
}

/** Whether an answer that has ended is a stream that lacks the end of an
 * event, or that has no event and states no end. */
bool IsPartialStream(gsRoutedRequest const& request, gsAttempt const& attempt)
{
  constexpr std::string_view streamType = "text/event-stream";
  std::string_view type =
    gsFindHeader(attempt.AnswerHead.Headers, "content-type");
  gsEventSplitter const& events = attempt.EventSplitter;
  bool hasEvents = events.EventCount() > 0;
  bool isOfOtherType = !hasEvents && !type.empty() &&
                       type.substr(0, streamType.size()) != streamType;
  if (!gsRelaysEvents(request, attempt) || isOfOtherType) {
    return false;
  }
  bool isInsideEvent = (hasEvents || !type.empty()) && events.IsInsideEvent();
  return isInsideEvent ||
         (!hasEvents && attempt.StatedEnd == gsBodyEnd::Close);
}

} // namespace

char const* gsAttemptOutcomeName(gsAttemptOutcome end)
{
  switch (end) {
    case gsAttemptOutcome::Complete:
      return "whole";
    case gsAttemptOutcome::Unconfirmed:
      return "unconfirmed";
    case gsAttemptOutcome::NotExecuted:
      return "not_executed";
    case gsAttemptOutcome::NotSent:
      return "not_sent";
    case gsAttemptOutcome::Incomplete:
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

std::vector<gsFingerprint> const& gsSharedPartFingerprints(
  gsRoutedRequest& request)
{
  constexpr std::size_t maxParts = 256;
  if (!request.SharedParts) {
    std::vector<gsPromptPart> const& parts = request.Caller.PromptParts;
    std::size_t count = parts.empty() ? 0 : parts.size() - 1;
    std::vector<gsFingerprint> shared;
    for (std::size_t i = 0; i < std::min(count, maxParts); ++i) {
      shared.push_back(gsPartFingerprint(request.Service, parts[i].Id));
    }
    request.SharedParts = std::move(shared);
  }
  return *request.SharedParts;
}

bool gsRelaysEvents(gsRoutedRequest const& request, gsAttempt const& attempt)
{
  return request.Route->StreamsEvents && IsSuccess(attempt.Status);
}

gsUpstreamCaller::gsUpstreamCaller(gsLoop& loop, gsHttpClient& client,
                                   gsAdapter const& adapter, gsFleet& fleet,
                                   gsUpstreamCallerSettings settings,
                                   gsUpstreamCallerEvents events)
  : Client(client)
  , Adapter(adapter)
  , Fleet(fleet)
  , Settings(std::move(settings))
  , Events(std::move(events))
  , HeldEndTimer(loop, [this] { this->ReleaseHeldEnds(); })
{
}

void gsUpstreamCaller::Start(gsRoutedRequestPtr const& request,
                             gsPlacement const& placement)
{
  gsFleetRow& row = *placement.Row;
  gsTime now = gsLoop::Now();
  auto attempt = std::make_shared<gsAttempt>();
  this->CountHeld(*attempt);
  attempt->Upstream = gsIncarnationOf(row.Listed);
  attempt->Address = row.Listed.Address;
  attempt->SoftwareVersion = row.Listed.SoftwareVersion;
  attempt->Load = { request->Route->Priority, placement.TokensToRead,
                    request->Caller.PromptTokens +
                      request->Caller.MaxOutputTokens };
  attempt->ExpectedWait =
    gsExpectedWaitAt(this->Fleet, row, placement.TokensToRead, now);
  attempt->PredictedFirstEvent = gsPredictedFirstEvent(*request, placement);
  attempt->StartedAt = now;
  attempt->LastProgressAt = now;
  if (request->LastEventId) {
    attempt->EventSplitter.SkipThrough(*request->LastEventId);
  }
  attempt->Prompt =
    gsBeginPromptMeasurement(this->Fleet, row, placement.TokensToRead,
                             OwnTokensOf(request->Caller, placement), now);
  row.ColdSentAt = now < row.ColdUntil ? now : row.ColdSentAt;
  attempt->IsResumption = gsBeginSlowStartAttempt(row.Announced, now);
  attempt->HasReservedToken =
    gsReserveToken(this->Fleet.RateLimits, row.Hash, now);
  attempt->SlotEnforcedFrom =
    gsEnforcedFrom(this->Fleet.SlotLimits, placement.Row->Hash);
  attempt->HasReservedSlot =
    gsReserveToken(this->Fleet.SlotLimits, row.Hash, now);
  gsBeginPrefixUse(this->Fleet, *request, *attempt, placement, now);
  gsAddAttempt(this->Fleet, row, attempt->Load);
  request->Attempt = attempt;
  attempt->CallId =
    this->Client.Start(this->MakeCall(request, attempt, placement));
}

void gsUpstreamCaller::StartForward(gsRoutedRequestPtr const& request,
                                    gsForwardPeer const& peer,
                                    gsHeaders const& headers)
{
  gsTime now = gsLoop::Now();
  auto attempt = std::make_shared<gsAttempt>();
  this->CountHeld(*attempt);
  attempt->Upstream.Id = peer.Host;
  attempt->Address = peer.Address;
  attempt->ForwardedTo = peer.Host;
  attempt->StartedAt = now;
  attempt->LastProgressAt = now;
  if (request->LastEventId) {
    attempt->EventSplitter.SkipThrough(*request->LastEventId);
  }
  request->Attempt = attempt;
  gsAttemptMetadata facts;
  facts.TimeToDeadline =
    std::min(request->DeadlineAt, request->TimeoutAt) - now;
  facts.LastEventId = request->LastEventId;
  if (request->CallerHasBytes && request->Caller.ResumedAttempt.empty()) {
    facts.ResumedAttempt = request->Caller.AttemptId;
  }
  gsCall call = this->PrepareCall(request, attempt);
  call.Url = "http://" + peer.Address;
  call.Headers = this->Adapter.MakeForwardHeaders(request->Caller, facts);
  call.Headers.insert(call.Headers.end(), headers.begin(), headers.end());
  call.MaxIdle = MaxForwardIdle;
  std::weak_ptr<gsRoutedRequest> weak = request;
  call.BeforeSend = [this, weak, attempt] {
    gsRoutedRequestPtr held = weak.lock();
    return held != nullptr && this->CanForward(*held, *attempt);
  };
  attempt->CallId = this->Client.Start(std::move(call));
}

/** Has the bytes that an attempt keeps of its answer counted. */
void gsUpstreamCaller::CountHeld(gsAttempt& attempt)
{
  attempt.HeldAnswer =
    std::make_shared<gsHeldBytes>(this->Totals, &gsHeldTotals::Answers);
  attempt.HeldEvent =
    std::make_shared<gsHeldBytes>(this->Totals, &gsHeldTotals::Partial);
}

/** Checks just before the first byte whether an attempt at another host is
 * still valid. */
bool gsUpstreamCaller::CanForward(gsRoutedRequest& request, gsAttempt& attempt)
{
  gsTime now = gsLoop::Now();
  bool expired = now >= std::min(request.DeadlineAt, request.TimeoutAt);
  if (request.HasEnded || expired || !this->Events.CanSend(request)) {
    return false;
  }
  attempt.MayHaveSentBytes = true;
  attempt.Connection = this->Client.ConnectionOf(attempt.CallId);
  attempt.SentAt = now;
  attempt.LastProgressAt = now;
  ++request.SentAttempts;
  return true;
}

gsCall gsUpstreamCaller::MakeCall(gsRoutedRequestPtr const& request,
                                  gsAttemptPtr const& attempt,
                                  gsPlacement const& placement)
{
  gsFleetRow const& row = *placement.Row;
  gsCallerRequest const& caller = request->Caller;
  gsTime until = std::min(request->DeadlineAt, request->TimeoutAt);
  gsAttemptMetadata facts;
  facts.UpstreamId = row.Listed.Id;
  facts.Organisation = request->Organisation;
  facts.TimeToDeadline = until - gsLoop::Now();
  facts.Urgency = request->Priority;
  facts.LastEventId = request->LastEventId;
  if (placement.TransferSource != nullptr) {
    facts.TransferSource = placement.TransferSource->Listed.Address;
  }

  gsCall call = this->PrepareCall(request, attempt);
  auto route = this->Settings.Routes.find(row.Listed.Address);
  std::string const& address =
    route == this->Settings.Routes.end() ? row.Listed.Address : route->second;
  call.Url = "http://" + address;
  call.Headers = this->Adapter.MakeAttemptHeaders(caller, facts);
  call.MaxIdle = row.MaxConnectionIdle;
  if (row.RestartedAt.count() != 0) {
    // Connections to the incarnation before the restart may still be open on
    // this side only.
    call.MaxAge = gsLoop::Now() - row.RestartedAt;
  }
  std::weak_ptr<gsRoutedRequest> weak = request;
  call.BeforeSend = [this, weak, attempt] {
    gsRoutedRequestPtr held = weak.lock();
    return held != nullptr && this->CanSend(*held, *attempt);
  };
  return call;
}

/** A call without address and headers, whose answer is that of an attempt. */
gsCall gsUpstreamCaller::PrepareCall(gsRoutedRequestPtr const& request,
                                     gsAttemptPtr const& attempt)
{
  gsCall call;
  call.Method = request->Caller.Method;
  call.Target = request->Caller.Target;
  call.Body = request->Caller.Body;
  call.MaxBodyBytes = 0; // OnData has limits by kind of answer.
  call.Label = request->Caller.AttemptId;
  call.Identity = request->Caller.AttemptId;
  call.ConnectTimeout = this->Settings.ConnectTimeout;
  call.UserTimeout = this->Settings.UserTimeout;
  call.Reuse = true;
  call.BareHeaders = true;
  call.SingleFields = this->Adapter.SingleResponseFields;
  attempt->EventSplitter.StopAtFields(this->Adapter.SingleResponseFields);
  std::weak_ptr<gsRoutedRequest> weak = request;
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

/** Checks just before the first byte whether the attempt is still valid,
 * because the upstream, the deadline or the request may have changed since
 * placement. */
bool gsUpstreamCaller::CanSend(gsRoutedRequest& request, gsAttempt& attempt)
{
  gsTime now = gsLoop::Now();
  gsFleetRow const* row = gsFleetFind(this->Fleet, attempt.Upstream);
  bool isUnavailable =
    row == nullptr || !gsAcceptsRequests(this->Fleet, *row, now);
  bool expired = now >= std::min(request.DeadlineAt, request.TimeoutAt);
  if (request.HasEnded || isUnavailable || expired ||
      !this->Events.CanSend(request)) {
    return false;
  }
  // Checked last, because it consumes the tokens.
  if (!this->SpendTokens(attempt, row->Hash, now)) {
    return false;
  }
  attempt.MayHaveSentBytes = true;
  attempt.Connection = this->Client.ConnectionOf(attempt.CallId);
  attempt.SentAt = now;
  attempt.LastProgressAt = now;
  gsRecordPrefixUseSent(this->Fleet, request, attempt, now);
  ++request.SentAttempts;
  return true;
}

/** Consumes a token of the upstream's rate limit and takes one of its shared
 * slots, as far as it has these limits. */
bool gsUpstreamCaller::SpendTokens(gsAttempt& attempt, std::uint32_t upstream,
                                   gsTime now)
{
  gsRateLimits& slots = this->Fleet.SlotLimits;
  if (!gsSpendToken(slots, upstream, now)) {
    return false;
  }
  if (!gsSpendToken(this->Fleet.RateLimits, upstream, now)) {
    gsReturnToken(slots, upstream, gsTime{}, now);
    return false;
  }
  attempt.HasSlot = slots.Upstreams.count(upstream) != 0;
  attempt.SlotEnforcedFrom = gsEnforcedFrom(slots, upstream);
  if (std::exchange(attempt.HasReservedToken, false)) {
    gsReleaseToken(this->Fleet.RateLimits, upstream);
  }
  if (std::exchange(attempt.HasReservedSlot, false)) {
    gsReleaseToken(slots, upstream);
  }
  return true;
}

/** Logs the estimate of an upstream's slots after a rejection. */
void gsUpstreamCaller::LogRoom(gsRoutedRequest const& request,
                               gsFleetRow const& row, gsTime now) const
{
  gsSlotRoom const* room = gsFindRoom(this->Fleet.SlotLimits, row.Hash);
  if (room == nullptr) {
    return;
  }
  gsLimitedUpstream const& entry =
    this->Fleet.SlotLimits.Upstreams.at(row.Hash);
  gsLogLine("room_rejection")
    .With("request", request.Caller.AttemptId)
    .With("upstream", row.Listed.Id)
    .With("per_second", gsFormatRate(room->MaxRejections.value_or(0)))
    .With("slots", std::uint64_t(row.Listed.Slots))
    .With("room", gsFormatRate(gsRoomSize(*room, entry.Limit.Rate)))
    .With("held", std::uint64_t(gsHeldSlots(entry)))
    .With("held_by_others", std::uint64_t(gsLentSlots(entry, now)))
    .With("view_age_ms", now - entry.ShareAcceptedAt);
}

void gsUpstreamCaller::AdoptAttempt(gsAttempt& attempt)
{
  std::uint32_t upstream = gsIncarnationHash(attempt.Upstream);
  gsRateLimits& slots = this->Fleet.SlotLimits;
  bool isUncounted = attempt.CallId != 0 && attempt.MayHaveSentBytes &&
                     attempt.ForwardedTo.empty() && !attempt.HasSlot &&
                     gsFindRoom(slots, upstream) != nullptr;
  if (isUncounted) {
    gsAdoptAttempt(slots, upstream);
    attempt.HasSlot = true;
    attempt.SlotEnforcedFrom = gsEnforcedFrom(slots, upstream);
  }
}

/** Cancels the reservations of an attempt that has ended, and returns its
 * shared slot. */
void gsUpstreamCaller::ReleaseTokens(gsAttempt& attempt)
{
  std::uint32_t upstream = gsIncarnationHash(attempt.Upstream);
  gsTime now = gsLoop::Now();
  if (std::exchange(attempt.HasReservedToken, false)) {
    gsReleaseToken(this->Fleet.RateLimits, upstream);
  }
  bool hadReservation = std::exchange(attempt.HasReservedSlot, false);
  bool hadSlot = std::exchange(attempt.HasSlot, false);
  // Sharing may have ended and begun again, with new counts, since then.
  bool isCounted = attempt.SlotEnforcedFrom ==
                   gsEnforcedFrom(this->Fleet.SlotLimits, upstream);
  if (hadReservation && isCounted) {
    gsAbandonToken(this->Fleet.SlotLimits, upstream, now);
  }
  if (hadSlot && isCounted) {
    gsReturnToken(this->Fleet.SlotLimits, upstream, now - attempt.SentAt, now);
  }
  if ((hadReservation || hadSlot) && this->Events.OnSlotReturned) {
    this->Events.OnSlotReturned();
  }
}

/**
 * Applies what the headers of an answer announce about the upstream, also if
 * the answer itself is rejected. The platform's row may contain the same only
 * many seconds later. An upstream that received requests during its
 * retry-after time rejected urgent ones that other upstreams would have
 * accepted.
 *
 * An answer to another request was written at an unknown time before: of what
 * it announces, only shutting down still holds, and a limit unless a later
 * answer has stated one.
 */
void gsUpstreamCaller::ApplyHead(gsRoutedRequest const& request,
                                 gsAttempt& attempt, gsTime now)
{
  bool isOwn = IsOwnAnswer(request, attempt);
  gsUpstreamAnnouncement& announcement = attempt.AnswerHead.Announcement;
  announcement.RetryAfter = isOwn ? announcement.RetryAfter : gsTime{};
  gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream);
  bool wasLeaving = row != nullptr && gsIsLeaving(*row);
  if (gsApplyAnnouncement(this->Fleet, attempt.Upstream, announcement, now)) {
    LogAnnouncement(request, attempt);
  }
  if (announcement.Leaving && row != nullptr && !wasLeaving) {
    this->Events.OnLeaving(attempt.Upstream);
  }
  this->ApplyRateLimit(request, attempt, now);
  this->ApplyRejectionLimit(request, attempt, now);
  if (row != nullptr && isOwn && std::exchange(attempt.IsResumption, false)) {
    bool accepted =
      !attempt.AnswerHead.NotExecuted && announcement.RetryAfter.count() == 0;
    gsEndSlowStartAttempt(row->Announced, accepted, row->Listed.Slots);
  }
}

/** Applies the rate limit that an answer states, or its absence. */
void gsUpstreamCaller::ApplyRateLimit(gsRoutedRequest const& request,
                                      gsAttempt const& attempt, gsTime now)
{
  gsUpstreamAnnouncement const& announcement = attempt.AnswerHead.Announcement;
  if (announcement.IsRateLimitMalformed) {
    gsLogLine("rate_limit_unreadable", gsLogLevel::Warn)
      .With("request", request.Caller.AttemptId)
      .With("upstream", attempt.Upstream.Id);
    return;
  }
  if (this->ApplyLimit(this->Fleet.RateLimits, "rate_limit",
                       announcement.RateLimit, request, attempt, now)) {
    this->Events.OnRateLimit();
  }
}

/** Applies the rejections in a second that an upstream bears by an answer. */
void gsUpstreamCaller::ApplyRejectionLimit(gsRoutedRequest const& request,
                                           gsAttempt const& attempt,
                                           gsTime now)
{
  gsUpstreamAnnouncement const& announcement = attempt.AnswerHead.Announcement;
  if (announcement.IsRejectionLimitMalformed) {
    gsLogLine("rejection_limit_unreadable", gsLogLevel::Warn)
      .With("request", request.Caller.AttemptId)
      .With("upstream", attempt.Upstream.Id)
      .With("read_as", "0");
  }
  if (this->ApplyLimit(this->Fleet.RejectionLimits, "rejection_limit",
                       announcement.RejectionLimit, request, attempt, now)) {
    this->Events.OnRateLimit();
  }
}

/**
 * Applies a limit that an answer states, or its absence.
 * \param event Name of the log line.
 * \return Whether the limit has changed.
 */
bool gsUpstreamCaller::ApplyLimit(gsRateLimits& limits, char const* event,
                                  std::optional<double> const& value,
                                  gsRoutedRequest const& request,
                                  gsAttempt const& attempt, gsTime now)
{
  bool isRelevant = value.has_value() || !limits.Upstreams.empty();
  if (!isRelevant || attempt.Status == gsStatusMisdirected) {
    return false;
  }
  // The answer may be to another request that was sent before this attempt.
  bool isOwn = IsOwnAnswer(request, attempt);
  std::uint32_t hash = gsIncarnationHash(attempt.Upstream);
  if (!gsApplyObservedRateLimit(limits, hash, value,
                                isOwn ? attempt.SentAt : gsTime{}, now)) {
    return false;
  }
  gsRateLimit const& limit = limits.Upstreams.at(hash).Limit;
  gsLogLine(event)
    .With("request", request.Caller.AttemptId)
    .With("upstream", attempt.Upstream.Id)
    .With("born", attempt.Upstream.StartedAt)
    .With("status", attempt.Status)
    .With("per_second", gsFormatRate(limit.Rate))
    .With("ended", limit.HasEnded)
    .With("version", limit.Version);
  return true;
}

void gsUpstreamCaller::OnHeaders(gsRoutedRequestPtr const& request,
                                 gsAttemptPtr const& held, unsigned status,
                                 gsHeaders const& headers)
{
  gsAttempt& attempt = *held;
  gsTime now = gsLoop::Now();
  attempt.LastProgressAt = now;
  attempt.Status = status;
  attempt.StatedEnd = gsStatedBodyEnd(request->Caller.Method, status, headers);
  attempt.AnswerHead = this->Adapter.ParseResponseHead(status, headers);
  if (attempt.ForwardedTo.empty()) {
    this->ApplyHead(*request, attempt, now);
  } else if (attempt.AnswerHead.RequestId.empty() &&
             ClosesConnection(headers) &&
             (status == gsStatusRequestTimeout ||
              status == gsStatusHeadTooLarge)) {
    // The other host has closed the connection without reading the request.
    attempt.AnswerHead.NotExecuted = true;
    return;
  }
  if (!IsOwnAnswer(*request, attempt)) {
    std::string const& id = attempt.AnswerHead.RequestId;
    attempt.ForeignId = id.empty() ? "none" : id;
    attempt.IsDesynchronised = true;
    this->AbortAttempt(request, held,
                       "The upstream answered another request.");
    return;
  }
  // Status of another upstream that now uses the address.
  bool isOther = status == gsStatusMisdirected;
  gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream);
  if (row != nullptr && !isOther) {
    gsRecordReceived(this->Fleet, *row, now);
    if (attempt.AnswerHead.MaxConnectionIdle) {
      row->MaxConnectionIdle = *attempt.AnswerHead.MaxConnectionIdle;
    }
  }
  if (IsSuccess(status) && !attempt.AnswerHead.IsSigned) {
    this->AbortAttempt(request, held,
                       "The upstream's answer carries no signature.");
    return;
  }
  bool isPassedOn =
    !request->CallerHasBytes && !attempt.AnswerHead.NotExecuted;
  std::size_t head = gsAnswerHeadBytes(attempt.AnswerHead.Headers);
  std::size_t room = request->Exchange->RoomForHead();
  if (isPassedOn && head > room) {
    this->EndAnswer(request, held, { gsAnswerPart::Head, head, room, false });
  }
}

bool gsUpstreamCaller::OnData(gsRoutedRequestPtr const& request,
                              gsAttemptPtr const& held, std::string_view bytes)
{
  gsAttempt& attempt = *held;
  if (attempt.CallId == 0) {
    return true;
  }
  std::uint64_t limit =
    this->StreamLimitCallback ? this->StreamLimitCallback() : MaxBuffered;
  bool mayRelay = !gsRelaysEvents(*request, attempt) ||
                  request->CallerHasBytes ||
                  this->Events.MayRelay(request, held);
  if (!mayRelay || request->Exchange->Buffered() > limit) {
    request->IsCallerPaused = true;
    attempt.WasPaused = true;
    return false;
  }
  gsTime now = gsLoop::Now();
  if (gsRelaysEvents(*request, attempt)) {
    this->RelayEvents(request, held, bytes, now);
    return true;
  }
  this->RecordProgress(request, held, now);
  gsAppendWithin(attempt.AnswerBody, bytes,
                 this->Settings.MaxAnswerBytes + bytes.size());
  attempt.HeldAnswer->Set(attempt.AnswerBody.capacity());
  this->OnHeldChanged(request, held);
  bool isOver = attempt.AnswerBody.size() > this->Settings.MaxAnswerBytes;
  if (attempt.CallId != 0 && isOver) {
    this->EndAnswer(request, held,
                    { gsAnswerPart::Body, attempt.AnswerBody.size(),
                      this->Settings.MaxAnswerBytes, false });
  }
  return true;
}

/** Records that a part of the answer's body has come that counts as progress.
 */
void gsUpstreamCaller::RecordProgress(gsRoutedRequestPtr const& request,
                                      gsAttemptPtr const& held, gsTime now)
{
  gsAttempt& attempt = *held;
  attempt.LastProgressAt = now;
  gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream);
  if (row != nullptr && attempt.Status != gsStatusMisdirected) {
    gsRecordReceived(this->Fleet, *row, now);
  }
  this->RecordFirstByte(*request, attempt, now);
  if (IsSuccess(attempt.Status)) {
    this->Events.OnBodyData(request, held);
  }
}

/** Relays complete events. Ends an answer whose next event exceeds the limit.
 */
void gsUpstreamCaller::RelayEvents(gsRoutedRequestPtr const& request,
                                   gsAttemptPtr const& held,
                                   std::string_view bytes, gsTime now)
{
  gsAttempt& attempt = *held;
  if (attempt.FirstByteAt.count() == 0 && attempt.ForwardedTo.empty()) {
    this->Events.OnExecutionStarted(request, now);
  }
  std::uint64_t countBefore = attempt.EventSplitter.EventCount();
  std::uint64_t progressBefore = attempt.EventSplitter.ProgressCount();
  std::string events = attempt.EventSplitter.Append(bytes);
  attempt.HeldEvent->Set(attempt.EventSplitter.HeldBytes());
  if (attempt.EventSplitter.ProgressCount() != progressBefore) {
    this->RecordProgress(request, held, now);
  }
  if (!events.empty()) {
    this->RecordEvents(*request, attempt,
                       attempt.EventSplitter.EventCount() - countBefore, now);
    this->Events.OnEvents(request, std::move(events));
  }
  this->OnHeldChanged(request, held);
  if (attempt.CallId != 0 && attempt.EventSplitter.HasStopped()) {
    this->AbortAttempt(request, held,
                       "The stream contains the head of another answer.");
    return;
  }
  std::uint64_t partial = attempt.EventSplitter.BufferedBytes();
  if (attempt.CallId != 0 && partial > this->Settings.MaxEventBytes) {
    this->EndAnswer(
      request, held,
      { gsAnswerPart::Event, partial, this->Settings.MaxEventBytes, false });
  }
}

/** Records the interval since the last events of an answer. */
void gsUpstreamCaller::RecordEvents(gsRoutedRequest const& request,
                                    gsAttempt& attempt, std::uint64_t count,
                                    gsTime now)
{
  gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream);
  bool wasPaused = std::exchange(attempt.WasPaused, false);
  if (attempt.LastEventAt.count() != 0 && !wasPaused) {
    gsTime interval = now - attempt.LastEventAt;
    attempt.MaxEventInterval = std::max(attempt.MaxEventInterval, interval);
    if (row != nullptr) {
      gsRecordEventInterval(this->Fleet, *row, interval, now);
    }
    if (row != nullptr && !request.IsCallerPaused) {
      gsRecordStreamEvents(this->Fleet, *row, attempt.ActivityAtLastEvent,
                           interval, count, now);
    }
  }
  if (row != nullptr) {
    attempt.ActivityAtLastEvent = gsEngineActivityOf(this->Fleet, *row, now);
  }
  attempt.LastEventAt = now;
}

/** Records the prompt processing time, which ends with the first byte. */
void gsUpstreamCaller::RecordFirstByte(gsRoutedRequest const& request,
                                       gsAttempt& attempt, gsTime now)
{
  if (attempt.FirstByteAt.count() != 0) {
    return;
  }
  attempt.FirstByteAt = now;
  if (IsSuccess(attempt.Status)) {
    gsRecordPrefixUseFirstEvent(this->Fleet, attempt, now);
  }
  if (attempt.ExpectedWait.PendingPromptTokens >= MinMeasuredTokens) {
    double millis = gsToSeconds(now - attempt.SentAt) * 1e3;
    double millisPerToken =
      millis / static_cast<double>(attempt.ExpectedWait.PendingPromptTokens);
    this->TokenMillis += RateSmoothing * (millisPerToken - this->TokenMillis);
    this->TokenMillis =
      std::clamp(this->TokenMillis, MinTokenMillis, MaxTokenMillis);
    this->FastTokenMillis =
      UpdateFastQuantile(this->FastTokenMillis, millisPerToken);
  }
  if (gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream)) {
    // A rejection arrives without the prompt having been processed.
    if (IsSuccess(attempt.Status)) {
      gsRecordPromptSpeed(this->Fleet, *row, attempt.Prompt,
                          now - attempt.SentAt, now);
    }
    if (!HadToWait(attempt)) {
      gsRecordPromptTime(this->Fleet.EngineTimings[row->Listed.Service],
                         attempt.Load.PendingPromptTokens,
                         now - attempt.SentAt);
    }
    gsRecordFirstToken(*row, attempt.Load);
    gsRecordCachedParts(this->Fleet, *row, request.Caller.PromptParts, now);
  }
}

/** Subtracts the attempt's work from the counts in the upstream's row. */
void gsUpstreamCaller::ReleaseWork(gsAttempt& attempt)
{
  attempt.CallId = 0;
  this->Large.erase(&attempt);
  this->ReleaseTokens(attempt);
  gsRecordPrefixUseEnd(this->Fleet, attempt, gsLoop::Now());
  gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream);
  if (row == nullptr) {
    return;
  }
  if (std::exchange(attempt.IsResumption, false)) {
    gsEndSlowStartAttempt(row->Announced, false, row->Listed.Slots);
  }
  gsRemoveAttempt(*row, attempt.Load);
}

/** Ends an attempt whose answer cannot be used and closes its connection. */
void gsUpstreamCaller::AbortAttempt(gsRoutedRequestPtr const& request,
                                    gsAttemptPtr const& attempt,
                                    std::string detail)
{
  this->Client.Cancel(std::exchange(attempt->CallId, 0));
  gsAttemptResult result;
  result.Status = attempt->Status;
  result.Detail = std::move(detail);
  this->Finish(request, attempt, result);
}

/** Ends an attempt whose answer exceeds a limit. */
void gsUpstreamCaller::EndAnswer(gsRoutedRequestPtr const& request,
                                 gsAttemptPtr const& attempt,
                                 gsAnswerExcess const& excess)
{
  this->Client.Cancel(std::exchange(attempt->CallId, 0));
  gsAttemptResult result;
  result.Status = attempt->Status;
  result.Excess = excess;
  result.Detail = gsDescribeExcess(excess);
  this->Finish(request, attempt, result);
}

/** To be called when the bytes that are held of an answer have changed. */
void gsUpstreamCaller::OnHeldChanged(gsRoutedRequestPtr const& request,
                                     gsAttemptPtr const& attempt)
{
  bool isOpen = attempt->CallId != 0;
  if (!isOpen || HeldOf(*attempt) <= gsSmallAnswerBytes) {
    this->Large.erase(attempt.get());
    return;
  }
  this->Large[attempt.get()] = { request, attempt };
  if (this->GrowthCallback) {
    this->GrowthCallback();
  }
}

std::vector<gsUpstreamCaller::LargeAnswer> gsUpstreamCaller::LargeAnswers()
  const
{
  std::vector<LargeAnswer> answers;
  answers.reserve(this->Large.size());
  for (auto const& [attempt, answer] : this->Large) {
    answers.push_back(answer);
  }
  return answers;
}

void gsUpstreamCaller::EndOverBudget(LargeAnswer const& answer,
                                     std::uint64_t limit)
{
  gsAttempt const& attempt = *answer.Attempt;
  gsRoutedRequestPtr request = answer.Request.lock();
  if (request == nullptr || attempt.CallId == 0) {
    return;
  }
  gsAnswerPart part = gsRelaysEvents(*request, attempt) ? gsAnswerPart::Event
                                                        : gsAnswerPart::Body;
  this->EndAnswer(request, answer.Attempt,
                  { part, HeldOf(attempt), limit, true });
}

/** Logs an attempt that ends with its caller. Its answer is not read, nor what
 * that would announce about the upstream. */
void gsUpstreamCaller::LogAbandoned(gsRoutedRequest const& request,
                                    gsAttempt const& attempt) const
{
  if (attempt.CallId == 0 || !attempt.MayHaveSentBytes) {
    return;
  }
  gsLogLine("attempt_abandoned")
    .With("request", request.Caller.AttemptId)
    .With("upstream", attempt.Upstream.Id)
    .With("sent_ms", gsLoop::Now() - attempt.SentAt)
    .With("predicted_ms", attempt.PredictedFirstEvent)
    .With("answered", attempt.Status != 0)
    .With("unread", this->Client.HasUnread(attempt.CallId));
}

void gsUpstreamCaller::AbandonAll(gsRoutedRequest& request)
{
  for (gsAttemptPtr const& attempt : { request.Attempt, request.Primary }) {
    if (attempt != nullptr) {
      this->LogAbandoned(request, *attempt);
    }
  }
  this->CancelAll(request);
}

void gsUpstreamCaller::Cancel(gsAttempt& attempt)
{
  if (attempt.CallId == 0) {
    return;
  }
  this->Client.Cancel(std::exchange(attempt.CallId, 0));
  this->ReleaseWork(attempt);
}

void gsUpstreamCaller::CancelAll(gsRoutedRequest& request)
{
  for (gsAttemptPtr const& attempt : { request.Attempt, request.Primary }) {
    if (attempt != nullptr) {
      this->Cancel(*attempt);
    }
  }
}

void gsUpstreamCaller::Resume(gsRoutedRequest const& request)
{
  for (gsAttemptPtr const& attempt : { request.Attempt, request.Primary }) {
    if (attempt != nullptr && attempt->CallId != 0) {
      this->Client.Unpause(attempt->CallId);
    }
  }
}

void gsUpstreamCaller::OnEnd(gsRoutedRequestPtr const& request,
                             gsAttemptPtr const& held, gsCallEnd const& end)
{
  gsAttempt& attempt = *held;
  gsAttemptResult result;
  result.Status = attempt.Status;
  result.BodyEnd = end.BodyEnd;
  if (!end.Sent) {
    result.Outcome = gsAttemptOutcome::NotSent;
    request->ConnectFailures += end.Refused ? 1 : 0;
    result.Detail = end.Refused ? "No connection to the upstream: " + end.Error
                                : "The choice was void before it was used.";
    gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream);
    if (end.Refused && row != nullptr &&
        gsRecordConnectFailure(this->Fleet, *row, gsLoop::Now())) {
      gsLogLine("hall_unreachable", gsLogLevel::Warn)
        .With("hall", row->Listed.Hall)
        .With("upstream", row->Listed.Id);
    }
  } else if (end.BodyEnd == gsBodyEnd::Unknown) {
    // One that does not read a body has not crashed, nor has one whose answer
    // exceeds a limit or is no HTTP, nor one that closed a kept connection
    // just when the request was sent.
    bool wasClosedBefore =
      end.Stopped && gsLoop::Now() - attempt.SentAt < MaxCloseDelay;
    result.IsUpstreamLost =
      !wasClosedBefore && !end.Stalled && !end.Excess && !end.Malformed;
    result.Excess = end.Excess;
    attempt.IsDesynchronised = end.Malformed;
    result.IsMalformed = end.Malformed;
    result.HeadFault = end.HeadFault;
    result.Detail = (end.Malformed ? "The upstream's answer is malformed: "
                                   : "The upstream's answer broke off: ") +
                    end.Error;
  } else if (attempt.AnswerHead.NotExecuted) {
    result.Outcome = gsAttemptOutcome::NotExecuted;
    result.Detail = "The upstream turned the request away with status " +
                    std::to_string(attempt.Status) + ".";
  } else if (IsPartialStream(*request, attempt)) {
    result.IsUpstreamLost = end.BodyEnd == gsBodyEnd::Close;
    result.Detail = "The upstream's stream ended inside an event.";
  } else if (end.IsWhole()) {
    result.Outcome = gsAttemptOutcome::Complete;
  } else {
    result.Outcome = gsAttemptOutcome::Unconfirmed;
    result.Detail = end.Error;
    this->HoldEnd(request, held, result);
    return;
  }
  this->Finish(request, held, result);
}

/** Holds back an end that nothing states. All events have been passed on. */
void gsUpstreamCaller::HoldEnd(gsRoutedRequestPtr const& request,
                               gsAttemptPtr const& attempt,
                               gsAttemptResult const& result)
{
  this->HeldEnds.push_back(
    { request, attempt, result, gsLoop::Now() + EndHoldTime });
  if (this->HeldEnds.size() == 1) {
    this->HeldEndTimer.Once(EndHoldTime);
  }
}

/** Ends the attempts whose ends have been held back for long enough. */
void gsUpstreamCaller::ReleaseHeldEnds()
{
  gsTime now = gsLoop::Now();
  while (!this->HeldEnds.empty() && this->HeldEnds.front().Until <= now) {
    HeldEnd due = std::move(this->HeldEnds.front());
    this->HeldEnds.pop_front();
    gsRoutedRequestPtr request = due.Request.lock();
    bool isOpen = request != nullptr && due.Attempt->CallId != 0;
    if (!isOpen) {
      continue;
    }
    if (this->HasCrashedAt(due.Attempt->Upstream, due.Until - EndHoldTime)) {
      due.Result.Outcome = gsAttemptOutcome::Incomplete;
      due.Result.IsUpstreamLost = true;
      due.Result.Detail = "The upstream's connections broke off together.";
    }
    this->Finish(request, due.Attempt, due.Result);
  }
  if (!this->HeldEnds.empty()) {
    this->HeldEndTimer.Once(this->HeldEnds.front().Until - now);
  }
}

/** Whether another answer of an upstream broke off when one of its answers
 * ended, and nothing has come from that upstream since. */
bool gsUpstreamCaller::HasCrashedAt(gsIncarnation const& upstream,
                                    gsTime ended)
{
  gsFleetRow const* row = gsFleetFind(this->Fleet, upstream);
  return row != nullptr && row->LastBrokenAt + CrashSpread >= ended &&
         row->LastReceivedAt <= row->LastBrokenAt + CrashSpread;
}

void gsUpstreamCaller::Finish(gsRoutedRequestPtr const& request,
                              gsAttemptPtr const& held,
                              gsAttemptResult const& result)
{
  gsAttempt& attempt = *held;
  if (result.Excess) {
    LogExcess(*request, attempt, *result.Excess);
  }
  this->ReleaseWork(attempt);
  gsTime now = gsLoop::Now();
  if (gsFleetRow* row = gsFleetFind(this->Fleet, attempt.Upstream)) {
    constexpr unsigned firstServerError = 500;
    bool failed =
      result.Outcome == gsAttemptOutcome::Incomplete ||
      (gsIsAnswer(result.Outcome) && result.Status >= firstServerError);
    if (attempt.MayHaveSentBytes) {
      gsRecordOutcome(*row, failed, now);
    }
    if (result.IsUpstreamLost && attempt.Status != 0) {
      row->LastBrokenAt = now;
    }
    bool isRejected = result.Outcome == gsAttemptOutcome::NotExecuted &&
                      (result.Status == gsStatusUnavailable ||
                       result.Status == gsStatusTooMany);
    if (isRejected) {
      gsRecordRejection(this->Fleet, *row, now);
      gsRecordSlotRejection(this->Fleet.SlotLimits, row->Hash, now);
      this->LogRoom(*request, *row, now);
    }
    if (result.Outcome == gsAttemptOutcome::Complete) {
      gsRecordSlotHold(this->Fleet, *row, now - attempt.SentAt);
      if (gsRelaysEvents(*request, attempt)) {
        gsRecordRunTime(this->Fleet, *row, attempt.Load.Priority,
                        now - attempt.FirstByteAt);
      }
    }
  }
  this->Events.OnEnd(request, held, result);
  if (!gsIsAnswer(result.Outcome)) {
    ReleaseAnswer(attempt);
  }
}
