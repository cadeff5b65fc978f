/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Executes attempts: calls an upstream and interprets its answer. Updates the
 * fleet's counts of outstanding work. It decides only whether an answer
 * belongs to the request and is complete; the gateway decides what follows.
 */
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gsAdapter.h"
#include "gsHttpClient.h"
#include "gsPlacement.h"
#include "gsRoutedRequest.h"

struct gsUpstreamCallerSettings
{
  gsTime ConnectTimeout = gsMilliseconds(300);
  gsTime UserTimeout = gsMilliseconds(1500);
  std::size_t MaxAnswerBytes =
    8U << 20U; ///< Bytes of an answer that is not relayed.
  /** Bytes of one event of an answer that is relayed event by event. */
  std::size_t MaxEventBytes = 1U << 20U;
  /** Address to dial in place of the one that an upstream lists. */
  std::map<std::string, std::string> Routes;
};

struct gsUpstreamCallerEvents
{
  /** Whether a request may still be sent; called before its first byte. */
  std::function<bool(gsRoutedRequest& request)> CanSend;
  /** Whether the first event of a request may be passed on now; if not, its
   * answer is paused until Resume. */
  std::function<bool(gsRoutedRequestPtr const& request,
                     gsAttemptPtr const& attempt)>
    MayRelay;
  /** Execution of a stream has started: its first byte was received. */
  std::function<void(gsRoutedRequestPtr const& request, gsTime at)>
    OnExecutionStarted;
  /** An upstream announces that it is shutting down, and its row is not yet
   * marked so. */
  std::function<void(gsIncarnation const& upstream)> OnLeaving;
  /** An answer has changed an upstream's rate limit. */
  std::function<void()> OnRateLimit;
  /** The body of a successful answer makes progress: a part of it has come,
   * or an event of a stream. */
  std::function<void(gsRoutedRequestPtr const& request,
                     gsAttemptPtr const& attempt)>
    OnBodyData;
  /** Complete events of a successful answer, to be relayed immediately. */
  std::function<void(gsRoutedRequestPtr const& request, std::string events)>
    OnEvents;
  std::function<void(gsRoutedRequestPtr const& request,
                     gsAttemptPtr const& attempt,
                     gsAttemptResult const& result)>
    OnEnd;
  /** An attempt has returned a token of an upstream's shared slots. */
  std::function<void()> OnSlotReturned;
};

class gsUpstreamCaller
{
public:
  gsUpstreamCaller(gsLoop& loop, gsHttpClient& client,
                   gsAdapter const& adapter, gsFleet& fleet,
                   gsUpstreamCallerSettings settings,
                   gsUpstreamCallerEvents events);

  /** Starts an attempt and makes it the request's latest one. */
  void Start(gsRoutedRequestPtr const& request, gsPlacement const& placement);

  /** Starts an attempt at another host, which places the request itself. */
  void StartForward(gsRoutedRequestPtr const& request,
                    gsForwardPeer const& peer, gsHeaders const& headers);

  /** Cancels an attempt without calling OnEnd; its connection is closed. */
  void Cancel(gsAttempt& attempt);
  /** Cancels all attempts of a request without calling OnEnd. */
  /** Counts an attempt that was sent before its upstream's slots were shared
   * as one that uses such a slot. */
  void AdoptAttempt(gsAttempt& attempt);
  void CancelAll(gsRoutedRequest& request);
  /** Cancels all attempts of a request whose caller has left, and logs them.
   */
  void AbandonAll(gsRoutedRequest& request);

  /** Resumes the answers that are paused for a slow caller. */
  void Resume(gsRoutedRequest const& request);

  /** Returns the number of bytes that may wait for the caller of a stream
   * before reading its answer pauses. */
  using StreamLimit = std::function<std::uint64_t()>;
  void SetStreamLimit(StreamLimit limit)
  {
    this->StreamLimitCallback = std::move(limit);
  }
  /** Called when a part of a large answer has come. */
  using OnGrowth = std::function<void()>;
  void SetGrowthCallback(OnGrowth callback)
  {
    this->GrowthCallback = std::move(callback);
  }

  /** An answer of which more than gsSmallAnswerBytes are held. */
  struct LargeAnswer
  {
    std::weak_ptr<gsRoutedRequest> Request;
    gsAttemptPtr Attempt;
  };
  /** Those that are being received. */
  std::vector<LargeAnswer> LargeAnswers() const;
  /** Ends one of them for the memory that all answers together use. */
  void EndOverBudget(LargeAnswer const& answer, std::uint64_t limit);

  /** Bytes held of answers that are being received. */
  gsHeldTotals const& Held() const { return *this->Totals; }

  /** Moving average of the measured prompt processing time, in milliseconds
   * per token. */
  double MeanMillisPerToken() const { return this->TokenMillis; }
  /** Prompt processing time without concurrent prompts, in milliseconds per
   * token: the 20th percentile of the measured values. The mean is unsuitable
   * for this because it rises with load, in bursts to twice as much and more.
   */
  double FastMillisPerToken() const { return this->FastTokenMillis; }

private:
  /** An answer that has ended with its connection, and whose end is held back
   * until it is known whether the upstream has crashed. Its attempt counts as
   * open. */
  struct HeldEnd
  {
    std::weak_ptr<gsRoutedRequest> Request;
    gsAttemptPtr Attempt;
    gsAttemptResult Result;
    gsTime Until{};
  };

  gsCall PrepareCall(gsRoutedRequestPtr const& request,
                     gsAttemptPtr const& attempt);
  bool CanForward(gsRoutedRequest& request, gsAttempt& attempt);
  gsCall MakeCall(gsRoutedRequestPtr const& request,
                  gsAttemptPtr const& attempt, gsPlacement const& placement);
  bool CanSend(gsRoutedRequest& request, gsAttempt& attempt);
  void LogAbandoned(gsRoutedRequest const& request,
                    gsAttempt const& attempt) const;
  void OnHeaders(gsRoutedRequestPtr const& request,
                 gsAttemptPtr const& attempt, unsigned status,
                 gsHeaders const& headers);
  void ApplyHead(gsRoutedRequest const& request, gsAttempt& attempt,
                 gsTime now);
  void ApplyRateLimit(gsRoutedRequest const& request, gsAttempt const& attempt,
                      gsTime now);
  void ApplyRejectionLimit(gsRoutedRequest const& request,
                           gsAttempt const& attempt, gsTime now);
  bool ApplyLimit(gsRateLimits& limits, char const* event,
                  std::optional<double> const& value,
                  gsRoutedRequest const& request, gsAttempt const& attempt,
                  gsTime now);
  void LogRoom(gsRoutedRequest const& request, gsFleetRow const& row,
               gsTime now) const;
  bool OnData(gsRoutedRequestPtr const& request, gsAttemptPtr const& attempt,
              std::string_view bytes);
  void RelayEvents(gsRoutedRequestPtr const& request,
                   gsAttemptPtr const& attempt, std::string_view bytes,
                   gsTime now);
  void RecordProgress(gsRoutedRequestPtr const& request,
                      gsAttemptPtr const& attempt, gsTime now);
  void RecordEvents(gsRoutedRequest const& request, gsAttempt& attempt,
                    std::uint64_t count, gsTime now);
  void OnEnd(gsRoutedRequestPtr const& request, gsAttemptPtr const& attempt,
             gsCallEnd const& end);
  void HoldEnd(gsRoutedRequestPtr const& request, gsAttemptPtr const& attempt,
               gsAttemptResult const& result);
  void ReleaseHeldEnds();
  bool HasCrashedAt(gsIncarnation const& upstream, gsTime ended);
  void AbortAttempt(gsRoutedRequestPtr const& request,
                    gsAttemptPtr const& attempt, std::string detail);
  void EndAnswer(gsRoutedRequestPtr const& request,
                 gsAttemptPtr const& attempt, gsAnswerExcess const& excess);
  void CountHeld(gsAttempt& attempt);
  void OnHeldChanged(gsRoutedRequestPtr const& request,
                     gsAttemptPtr const& attempt);
  void RecordFirstByte(gsRoutedRequest const& request, gsAttempt& attempt,
                       gsTime now);
  bool SpendTokens(gsAttempt& attempt, std::uint32_t upstream, gsTime now);
  void ReleaseTokens(gsAttempt& attempt);
  void ReleaseWork(gsAttempt& attempt);
  void Finish(gsRoutedRequestPtr const& request, gsAttemptPtr const& attempt,
              gsAttemptResult const& result);

  gsHttpClient& Client;
  gsAdapter const& Adapter;
  gsFleet& Fleet;
  gsUpstreamCallerSettings Settings;
  gsUpstreamCallerEvents Events;
  StreamLimit StreamLimitCallback;
  OnGrowth GrowthCallback;
  /** Open attempts that hold more than gsSmallAnswerBytes. */
  std::unordered_map<gsAttempt const*, LargeAnswer> Large;
  std::deque<HeldEnd> HeldEnds; ///< By Until.
  gsTimer HeldEndTimer;
  std::shared_ptr<gsHeldTotals> Totals = std::make_shared<gsHeldTotals>();
  double TokenMillis = 0.03;
  double FastTokenMillis = 0.03;
};

/** Whether the attempt's answer is relayed event by event. */
bool gsRelaysEvents(gsRoutedRequest const& request, gsAttempt const& attempt);
