/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Carries a grant out: sends the request to the upstream, relays or gathers
 * its answer, and tells the dispatcher how it goes. Whether a failed attempt
 * is repeated is decided by the gateway.
 */
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "gsGatewayHooks.h"
#include "gsHeldRequest.h"
#include "gsHttpClient.h"
#include "gsLoop.h"
#include "gsRetry.h"
#include "gsSettings.h"

/** An attempt that brought no whole answer. */
struct gsGrantFailure
{
  gsOutcome Outcome = gsOutcome::Failed; ///< For the dispatcher.
  gsRan Ran = gsRan::Unknown;            ///< By this attempt.
  gsError Error;
};

struct gsGrantCallerEvents
{
  std::function<void(gsHeldRequestPtr const& request)> OnWhole;
  std::function<void(gsHeldRequestPtr const& request,
                     gsGrantFailure const& failure)>
    OnFailed;
  /** The answer is over the limit; the attempt has been released. */
  std::function<void(gsHeldRequestPtr const& request, gsError const& error)>
    OnTooLarge;
  /** The caller has not read for too long, and holds the upstream's slot. */
  std::function<void(gsHeldRequestPtr const& request)> OnSlowCaller;
};

class gsGrantCaller
{
public:
  /** The requests and hooks belong to the gateway and outlive this. */
  gsGrantCaller(gsLoop& loop, gsHttpClient& client, gsSettings const& settings,
                gsGatewayHooks const& hooks, gsHeldRequests const& requests,
                gsGrantCallerEvents events);

  /** Sends the request to the upstream of its grant. */
  void Send(gsHeldRequestPtr const& request);
  /** Ends the call under way; true when there was one. */
  bool Cancel(gsHeldRequest& request);
  /** Tells the dispatcher of the answer's progress, not too often. */
  void NoteProgress(gsHeldRequestPtr const& request, bool last);
  /** Gives the turn back to the dispatcher with what was measured. */
  void Release(gsHeldRequestPtr const& request, gsOutcome outcome);

private:
  bool MaySend(gsHeldRequest& request) const;
  void OnAnswerHeaders(gsHeldRequestPtr const& request, unsigned status,
                       gsHeaders const& headers);
  bool OnAnswerData(gsHeldRequestPtr const& request, std::string_view bytes);
  void WaitForCaller(gsHeldRequestPtr const& request);
  void OnAnswerEnd(gsHeldRequestPtr const& request, gsCallEnd const& end);
  void Relay(gsHeldRequestPtr const& request, std::string const& events);
  void CheckStalls();

  gsHttpClient& Client;
  gsSettings const& Settings;
  gsGatewayHooks const& Call;
  gsHeldRequests const& Requests;
  gsGrantCallerEvents Events;
  gsTimer StallTimer;
};

/** Tokens that an engine's answer says it has generated; zero if it does not
 * say. */
std::uint64_t gsUsageTokens(std::string const& answer);

/** A header's value; empty when there is none. Names are lower case. */
std::string_view gsHeaderOf(gsHeaders const& headers, std::string_view name);
