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
#include "gsRetry.h"
#include "gsSettings.h"
#include "gsSseScanner.h"

/** One request held by this host. */
struct gsHeldRequest
{
  enum class Step
  {
    Claiming,
    Waiting, ///< Asked a dispatcher.
    Sending, ///< Granted; the call to the upstream is under way.
    Ended
  };

  std::shared_ptr<gsHttpExchange> Exchange;
  gsAsk Ask; ///< As last asked; its id's attempt rises.
  gsClass Class;
  std::string Path; ///< At the upstream.
  std::string Method;
  std::string ContentType;
  std::string Body;
  bool Stream = false;
  Step At = Step::Claiming;
  gsTime Arrived{};

  std::string ClaimKey; ///< Empty when the request has no claim.
  std::string ClaimValue;

  std::string Hall;       ///< Whose pool was asked.
  std::string Dispatcher; ///< Host that was asked.
  std::vector<std::string> TriedHalls;
  bool Redirected = false;

  gsGrant Grant;
  gsTime GrantedAt{};
  std::uint64_t Call = 0;
  std::uint32_t Sends = 0; ///< Attempts whose bytes may have left.
  bool MayHaveRun = false; ///< Of any attempt so far.
  bool SentNow = false;    ///< Bytes of this attempt may have left.
  bool CallerHasBytes = false;
  unsigned Status = 0;
  gsHeaders Headers;
  std::string Answer; ///< Gathered when not streamed.
  gsSseScanner Scanner;
  gsTime SentAt{};
  gsTime FirstTokenAt{};
  gsTime LastProgress{};
  gsTime LastReport{};
  std::uint64_t ReportedEvents = 0;
  bool Mismatch = false; ///< The upstream named another request.
  bool Paused = false;   ///< The caller reads slowly.
};

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
  void TakeDocument(gsDocument const& document);

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
  using Held = std::shared_ptr<gsHeldRequest>;

  struct KeyEntry
  {
    std::string Hash;
    std::string Organisation;
  };

  void Accept(std::shared_ptr<gsHttpExchange> const& exchange);
  gsResult<gsOrganisation const*> Authenticate(
    gsHttpExchange const& exchange) const;
  gsResult<Held> Prepare(std::shared_ptr<gsHttpExchange> const& exchange,
                         gsOrganisation const& organisation);
  gsResult<bool> PrepareModel(gsHeldRequest& request,
                              gsOrganisation const& organisation);
  gsResult<bool> PrepareService(gsHeldRequest& request,
                                gsOrganisation const& organisation);
  gsResult<std::string> TemplateFor(gsHttpExchange const& exchange,
                                    std::string const& service) const;
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
  std::uint64_t NextSequence = 1;
  gsRetryBudget Budget;
  std::unordered_map<std::uint64_t, Held> Requests; ///< By sequence.
  std::unordered_map<std::string, KeyEntry> Keys;   ///< By hash.
  /** Requests that wait at each dispatcher. */
  std::unordered_map<std::string, std::uint32_t> WaitingAt;
  bool Draining = false;
};

/** Answers with the usual JSON error. */
void gsRespondError(gsHttpExchange& exchange, unsigned status,
                    gsError const& error, gsRan ran, gsTime retryAfter = {},
                    std::string const& requestId = {});
