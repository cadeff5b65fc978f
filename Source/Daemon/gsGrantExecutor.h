/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Executes a grant: sends the request to the granted upstream, relays the
 * answer to the caller or collects it, and reports progress and outcome to the
 * dispatcher. The gateway decides whether a failed attempt is retried.
 */
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "gsGatewayHooks.h"
#include "gsHttpClient.h"
#include "gsLoop.h"
#include "gsOpenRequest.h"
#include "gsRetry.h"
#include "gsSettings.h"

/** The failure of an attempt that received no complete answer. */
struct gsGrantFailure
{
  gsGrantOutcome Outcome =
    gsGrantOutcome::Failed; ///< Reported to the dispatcher.
  gsExecuted Executed =
    gsExecuted::Unknown; ///< Whether this attempt was executed.
  gsError Error;
};

struct gsGrantExecutorEvents
{
  std::function<void(gsOpenRequestPtr const& request)> OnComplete;
  std::function<void(gsOpenRequestPtr const& request,
                     gsGrantFailure const& failure)>
    OnFailed;
  /** The answer exceeds the size limit; the attempt has been released. */
  std::function<void(gsOpenRequestPtr const& request, gsError const& error)>
    OnTooLarge;
  /** The caller has not read for too long and occupies the upstream's slot. */
  std::function<void(gsOpenRequestPtr const& request)> OnSlowCaller;
};

class gsGrantExecutor
{
public:
  /** The requests and hooks are owned by the gateway and outlive this object.
   */
  gsGrantExecutor(gsLoop& loop, gsHttpClient& client,
                  gsSettings const& settings, gsGatewayHooks const& hooks,
                  gsOpenRequests const& requests,
                  gsGrantExecutorEvents events);

  /** Sends the request to the upstream of its grant. */
  void Send(gsOpenRequestPtr const& request);
  /** Cancels the call in progress; false if there is none. */
  bool Cancel(gsOpenRequest& request);
  /** Reports the progress of the answer to the dispatcher, at a limited rate.
   * The first event and the last report are not delayed. */
  void ReportProgress(gsOpenRequestPtr const& request, bool last);
  /** Releases the grant and sends its measurements to the dispatcher. */
  void Release(gsOpenRequestPtr const& request, gsGrantOutcome outcome);

private:
  bool CanSend(gsOpenRequest& request) const;
  void OnAnswerHeaders(gsOpenRequestPtr const& request, unsigned status,
                       gsHeaders const& headers);
  bool OnAnswerData(gsOpenRequestPtr const& request, std::string_view bytes);
  void ResumeWhenDrained(gsOpenRequestPtr const& request);
  void OnAnswerEnd(gsOpenRequestPtr const& request, gsCallEnd const& end);
  void Relay(gsOpenRequestPtr const& request, std::string const& events);
  void CheckStalls();

  gsHttpClient& Client;
  gsSettings const& Settings;
  gsGatewayHooks const& Callbacks;
  gsOpenRequests const& Requests;
  gsGrantExecutorEvents Events;
  gsTimer StallTimer;
};

/** Number of generated tokens that an engine's answer reports; 0 if it reports
 * none. */
std::uint64_t gsGeneratedTokens(std::string const& answer);
