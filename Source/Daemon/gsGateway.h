/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The callers' side of a host. It holds each request from its arrival to its
 * final answer: authenticates it, claims its idempotency key, has it asked for
 * (gsPoolAsker) and carried out (gsGrantCaller), and answers. What was run,
 * and whether a request may be sent again, is decided here alone.
 */
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "gsClaims.h"
#include "gsDocument.h"
#include "gsGatewayHooks.h"
#include "gsGrantCaller.h"
#include "gsHttpClient.h"
#include "gsHttpServer.h"
#include "gsMetrics.h"
#include "gsPool.h"
#include "gsPoolAsker.h"
#include "gsRequestReader.h"
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

  /** Rebuilds what is looked up by key. */
  void TakeDocument(gsDocument const& document)
  {
    this->Reader.TakeDocument(document);
  }

  void OnClaim(gsClaimDecision const& decision);
  /** What dispatchers answer, and what becomes of hosts, goes there. */
  gsPoolAsker& Waiting() { return this->Asker; }

  /** Takes no new requests. */
  void Drain() { this->Draining = true; }
  std::size_t Open() const { return this->Requests.size(); }

private:
  using Held = gsHeldRequestPtr;

  void Accept(std::shared_ptr<gsHttpExchange> const& exchange);
  void Begin(Held const& request);
  void Claim(Held const& request, std::string_view key);
  gsGrantCallerEvents CallerEvents();
  void OnGranted(Held const& request);
  void GiveUp(Held const& request, std::string const& cause,
              gsTime retryAfter);
  void CutSlowCaller(Held const& request);
  void AttemptFailed(Held const& request, gsGrantFailure const& failure);

  void FinishWhole(Held const& request);
  void FinishError(Held const& request, unsigned status, gsError const& error,
                   gsTime retryAfter);
  void CallerLeft(Held const& request);
  void Settle(Held const& request, gsRan ran, char const* result);
  void CountWaste(gsHeldRequest const& request);

  gsSettings const& Settings;
  gsMetrics& Metrics;
  gsClaims& Claims;
  Hooks Call;
  gsHeldRequests Requests;
  gsPoolAsker Asker;
  gsGrantCaller Caller;
  gsRequestReader Reader;
  gsRetryBudget Budget;
  bool Draining = false;
};

/** Answers with the usual JSON error. */
void gsRespondError(gsHttpExchange& exchange, unsigned status,
                    gsError const& error, gsRan ran, gsTime retryAfter = {},
                    std::string const& requestId = {});
