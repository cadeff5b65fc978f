/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The callers' side of a host. It holds each request from its arrival to its
 * final answer: authenticates it, claims its idempotency key, asks the pool's
 * dispatcher, sends it to the granted upstream and relays the answer. What
 * was run, and whether a request may be sent again, is decided here alone.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gsClaims.h"
#include "gsDocument.h"
#include "gsHttpClient.h"
#include "gsHttpServer.h"
#include "gsMetrics.h"
#include "gsPool.h"
#include "gsRequestReader.h"
#include "gsRetry.h"
#include "gsSettings.h"

class gsGateway
{
public:
  struct Hooks
  {
    /** The host that dispatches a hall's pool; empty when there is none. */
    std::function<std::string(std::string_view hall, std::string_view pool)>
      DispatcherOf;
    /** Other halls that can be asked now. */
    std::function<std::vector<std::string>()> OtherHalls;
    std::function<void(std::string const& host, gsAsk const& ask)> SendAsk;
    std::function<void(std::string const& host, gsAsk const& ask)>
      SendWithdraw;
    std::function<void(std::string const& host, gsAsk const& ask,
                       std::string const& upstream)>
      SendRunning;
    std::function<void(std::string const& host, gsAsk const& ask,
                       gsTime firstToken, gsTime gap)>
      SendProgress;
    std::function<void(std::string const& host, gsAsk const& ask,
                       gsOutcome outcome, gsMeasured const& measured)>
      SendRelease;
    /** Whether hosts with waiting asks shall be watched. */
    std::function<void(std::string const& host, bool waiting)> Expect;
    std::function<bool(std::string const& upstream,
                       std::string const& incarnation)>
      IsLeaving;
    std::function<bool()> Ready;
    std::function<gsDocument const&()> Document;
  };

  gsGateway(gsLoop& loop, gsHttpClient& client, gsSettings const& settings,
            gsMetrics& metrics, gsClaims& claims, std::uint64_t hostNumber,
            Hooks hooks);

  void OnExchange(std::shared_ptr<gsHttpExchange> const& exchange);

  /** Rebuilds what is looked up by key. */
  void TakeDocument(gsDocument const& document)
  {
    this->Reader.TakeDocument(document);
  }

  void OnGrant(std::string const& host, gsGrant const& grant);
  void OnRefusal(std::string const& host, gsRequestId const& id,
                 std::string const& cause, gsTime retryAfter);
  void OnRedirect(std::string const& host, gsRequestId const& id,
                  std::string const& dispatcher);
  void OnClaim(gsClaimDecision const& decision);

  /** Asks anew what waits at a host that does not answer any more. */
  void OnHostLost(std::string const& host);
  /** Moves requests to the dispatchers of the current members. */
  void OnMembersChanged();
  /** After this process stood still: what was granted before is void. */
  void OnStalled();

  /** Takes no new requests. */
  void Drain() { this->Draining = true; }
  std::size_t Open() const { return this->Requests.size(); }

private:
  using Held = gsHeldRequestPtr;

  void Accept(std::shared_ptr<gsHttpExchange> const& exchange);
  void Begin(Held const& request);
  void Claim(Held const& request, std::string_view key);
  void AskIn(Held const& request, std::string const& hall);
  void AskAt(Held const& request, std::string const& host, bool force);
  void AskAgain(Held const& request);
  void StopWaiting(gsHeldRequest& request);
  void SpillOrGiveUp(Held const& request, std::string const& cause,
                     gsTime retryAfter);
  bool Spill(Held const& request);
  void TakeBack(Held const& request);

  void Send(Held const& request);
  bool MaySend(gsHeldRequest& request) const;
  void OnAnswerHeaders(Held const& request, unsigned status,
                       gsHeaders const& headers);
  bool OnAnswerData(Held const& request, std::string_view bytes);
  void OnAnswerEnd(Held const& request, gsCallEnd const& end);
  void Relay(Held const& request, std::string const& events);
  void NoteProgress(Held const& request, bool last);
  void CutSlowCaller(Held const& request);
  void Release(Held const& request, gsOutcome outcome);
  void AttemptFailed(Held const& request, gsOutcome outcome, gsRan ran,
                     gsError const& error);
  void CheckStalls();

  void FinishWhole(Held const& request);
  void FinishError(Held const& request, unsigned status, gsError const& error,
                   gsTime retryAfter);
  void CallerLeft(Held const& request);
  void Settle(Held const& request, gsRan ran, char const* result);
  void CountWaste(gsHeldRequest const& request);

  Held Find(gsRequestId const& id) const;

  gsLoop& Loop;
  gsHttpClient& Client;
  gsSettings const& Settings;
  gsMetrics& Metrics;
  gsClaims& Claims;
  Hooks Call;
  gsTimer StallTimer;
  std::uint64_t HostNumber;
  gsRequestReader Reader;
  gsRetryBudget Budget;
  std::unordered_map<std::uint64_t, Held> Requests; ///< By sequence.
  /** Requests that wait at each dispatcher. */
  std::unordered_map<std::string, std::uint32_t> WaitingAt;
  bool Draining = false;
};

/** Answers with the usual JSON error. */
void gsRespondError(gsHttpExchange& exchange, unsigned status,
                    gsError const& error, gsRan ran, gsTime retryAfter = {},
                    std::string const& requestId = {});
