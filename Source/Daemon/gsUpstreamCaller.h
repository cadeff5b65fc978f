/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * One attempt at an upstream: the call, and what its answer says. It keeps
 * the fleet's counts of open work, and decides only whether an answer belongs
 * to the request and is whole; what follows is the gateway's decision.
 */
#pragma once

#include <functional>
#include <string>

#include "gsAdapter.h"
#include "gsHttpClient.h"
#include "gsPlacement.h"
#include "gsRoutedRequest.h"

struct gsUpstreamCallerSettings
{
  gsTime ConnectTimeout = gsMilliseconds(300);
  gsTime UserTimeout = gsMilliseconds(1500);
  std::size_t MaxAnswer = 8U << 20U; ///< Bytes, of one that is not relayed.
};

struct gsUpstreamCallerEvents
{
  /** Whether a request may still be sent; asked before its first byte. */
  std::function<bool(gsRoutedRequest& request)> MaySend;
  /** A stream has begun to run: its first byte came. */
  std::function<void(gsRoutedRequestPtr const& request, gsTime at)> OnBegan;
  /** An upstream says that it leaves, and its row does not say so yet. */
  std::function<void(gsIncarnation const& upstream)> OnLeaving;
  /** An answer has changed an upstream's rate limit. */
  std::function<void()> OnRateLimit;
  /** The body of a success begins to come; called before each part of it. */
  std::function<void(gsRoutedRequestPtr const& request,
                     gsAttemptPtr const& attempt)>
    OnAnswering;
  /** Whole events of a good answer, to be passed on at once. */
  std::function<void(gsRoutedRequestPtr const& request, std::string events)>
    OnEvents;
  std::function<void(gsRoutedRequestPtr const& request,
                     gsAttemptPtr const& attempt,
                     gsAttemptResult const& result)>
    OnEnd;
};

class gsUpstreamCaller
{
public:
  gsUpstreamCaller(gsHttpClient& client, gsAdapter const& adapter,
                   gsFleet& fleet, gsUpstreamCallerSettings settings,
                   gsUpstreamCallerEvents events);

  /** Starts an attempt, which becomes the request's last one. */
  void Start(gsRoutedRequestPtr const& request, gsPlacement const& placement);

  /** Ends an attempt without OnEnd; its connection is closed. */
  void Cancel(gsAttempt& attempt);
  /** Ends all attempts of a request in this way. */
  void CancelAll(gsRoutedRequest& request);

  /** Goes on with an answer that waited for a slow caller. */
  void Unpause(gsRoutedRequest const& request);

  /** Milliseconds an upstream takes for a prompt token, as measured. */
  double MillisPerToken() const { return this->TokenMillis; }
  /** The same where nothing else is read beside it: the fastest fifth of what
   * was measured. The mean grows with the load, twofold and more in bursts. */
  double FastMillisPerToken() const { return this->FastTokenMillis; }

private:
  gsCall MakeCall(gsRoutedRequestPtr const& request,
                  gsAttemptPtr const& attempt, gsPlacement const& placement);
  bool MaySend(gsRoutedRequest& request, gsAttempt& attempt);
  void OnHeaders(gsRoutedRequestPtr const& request,
                 gsAttemptPtr const& attempt, unsigned status,
                 gsHeaders const& headers);
  void NoteHead(gsRoutedRequest const& request, gsAttempt& attempt,
                gsTime now);
  void NoteRateLimit(gsRoutedRequest const& request, gsAttempt const& attempt,
                     gsTime now);
  bool OnData(gsRoutedRequestPtr const& request, gsAttemptPtr const& attempt,
              std::string_view bytes);
  void TakeEvents(gsRoutedRequestPtr const& request, gsAttempt& attempt,
                  std::string_view bytes, gsTime now);
  void OnEnd(gsRoutedRequestPtr const& request, gsAttemptPtr const& attempt,
             gsCallEnd const& end);
  void Break(gsRoutedRequestPtr const& request, gsAttemptPtr const& attempt,
             std::string detail);
  void NoteFirstByte(gsRoutedRequest const& request, gsAttempt& attempt,
                     gsTime now);
  void Discharge(gsAttempt& attempt);
  void Finish(gsRoutedRequestPtr const& request, gsAttemptPtr const& attempt,
              gsAttemptResult const& result);

  gsHttpClient& Client;
  gsAdapter const& Adapter;
  gsFleet& Fleet;
  gsUpstreamCallerSettings Settings;
  gsUpstreamCallerEvents Events;
  double TokenMillis = 0.03;
  double FastTokenMillis = 0.03;
};

/** Whether the attempt's answer is passed on event by event. */
bool gsRelaysEvents(gsRoutedRequest const& request, gsAttempt const& attempt);
