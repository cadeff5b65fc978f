/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Serves the callers of a host. The gateway owns each request from its arrival
 * to its final answer: it authenticates the request, claims its idempotency
 * key, obtains a grant for it (gsGrantRequester), executes the grant
 * (gsGrantExecutor) and answers the caller. Only the gateway decides whether a
 * request counts as executed and whether it may be retried.
 */
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "gsClaims.h"
#include "gsDocument.h"
#include "gsGatewayHooks.h"
#include "gsGrantExecutor.h"
#include "gsGrantRequester.h"
#include "gsHttpClient.h"
#include "gsHttpServer.h"
#include "gsMetrics.h"
#include "gsPool.h"
#include "gsRequestParser.h"
#include "gsRetry.h"
#include "gsSettings.h"

class gsGateway
{
public:
  using Hooks = gsGatewayHooks;

  gsGateway(gsLoop& loop, gsHttpClient& client, gsSettings const& settings,
            gsMetrics& metrics, gsClaims& claims, std::uint64_t hostNumber,
            Hooks hooks);

  void OnExchange(std::shared_ptr<gsHttpExchange> const& exchange);

  /** Rebuilds the reader's tables of keys and templates from the document. */
  void ApplyDocument(gsDocument const& document)
  {
    this->Parser.ApplyDocument(document);
  }

  void OnClaim(gsClaimDecision const& decision);
  /** Receives the answers of dispatchers and the changes of hosts. */
  gsGrantRequester& GrantRequester() { return this->Requester; }

  /** Stops accepting new requests. */
  void StopAccepting() { this->Draining = true; }
  /** Refuses requests that still come on open connections. Requests have no
   * time limit, so that they might not end before this host does. */
  void RefuseNew() { this->RefusesNew = true; }
  std::size_t OpenRequestCount() const { return this->Requests.size(); }

private:
  using Held = gsOpenRequestPtr;

  void Accept(std::shared_ptr<gsHttpExchange> const& exchange);
  void Begin(Held const& request);
  void Claim(Held const& request, std::string_view key);
  gsGrantExecutorEvents ExecutorEvents();
  void OnGranted(Held const& request);
  void FinishUngranted(Held const& request, std::string const& cause,
                       gsTime retryAfter);
  void DisconnectSlowCaller(Held const& request);
  void OnAttemptFailed(Held const& request, gsGrantFailure const& failure);

  void FinishSuccess(Held const& request);
  void FinishError(Held const& request, unsigned status, gsError const& error,
                   gsTime retryAfter);
  void OnCallerDisconnected(Held const& request);
  void Close(Held const& request, gsExecuted ran, char const* result);
  void CountWastedTokens(gsOpenRequest const& request);

  gsSettings const& Settings;
  gsMetrics& Metrics;
  gsClaims& Claims;
  Hooks Callbacks;
  gsOpenRequests Requests;
  gsGrantRequester Requester;
  gsGrantExecutor Executor;
  gsRequestParser Parser;
  gsRetryBudget RetryBudget;
  bool Draining = false;
  bool RefusesNew = false;
};

/** Answers with a JSON error body. */
void gsRespondError(gsHttpExchange& exchange, unsigned status,
                    gsError const& error, gsExecuted ran,
                    gsTime retryAfter = {}, std::string const& requestId = {});
