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
  /** Whole events of a good answer, to be passed on at once. */
  std::function<void(gsRoutedRequestPtr const& request, std::string events)>
    OnEvents;
  std::function<void(gsRoutedRequestPtr const& request,
                     gsAttemptResult const& result)>
    OnEnd;
};

class gsUpstreamCaller
{
public:
  gsUpstreamCaller(gsHttpClient& client, gsAdapter const& adapter,
                   gsFleet& fleet, gsUpstreamCallerSettings settings,
                   gsUpstreamCallerEvents events);

  /** Starts an attempt; the request has none under way. */
  void Start(gsRoutedRequestPtr const& request, gsPlacement const& placement);

  /** Ends an attempt without OnEnd; its connection is closed. */
  void Cancel(gsRoutedRequest& request);

  /** Goes on with an answer that waited for a slow caller. */
  void Unpause(gsRoutedRequest const& request);

  /** Milliseconds an upstream takes for a prompt token, as measured. */
  double MillisPerToken() const { return this->TokenMillis; }

private:
  gsCall MakeCall(gsRoutedRequestPtr const& request,
                  gsPlacement const& placement);
  bool MaySend(gsRoutedRequest& request);
  void OnHeaders(gsRoutedRequestPtr const& request, unsigned status,
                 gsHeaders const& headers);
  bool OnData(gsRoutedRequestPtr const& request, std::string_view bytes);
  void OnEnd(gsRoutedRequestPtr const& request, gsCallEnd const& end);
  void Break(gsRoutedRequestPtr const& request, std::string detail);
  void NoteFirstByte(gsRoutedRequest& request, gsTime now);
  void Discharge(gsAttempt& attempt);
  void Finish(gsRoutedRequestPtr const& request,
              gsAttemptResult const& result);

  gsHttpClient& Client;
  gsAdapter const& Adapter;
  gsFleet& Fleet;
  gsUpstreamCallerSettings Settings;
  gsUpstreamCallerEvents Events;
  double TokenMillis = 0.03;
};

/** Whether the answer is passed on event by event. */
bool gsRelaysEvents(gsRoutedRequest const& request);
