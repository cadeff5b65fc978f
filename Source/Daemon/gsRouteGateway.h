/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The callers' side of the routed mode. It holds each request from its
 * arrival to its final answer: finds its route and organisation, has an
 * upstream chosen, and decides after each attempt whether to answer, to try
 * elsewhere or to give up. What has run, and so what a caller may be
 * promised, is decided here alone.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gsAdapter.h"
#include "gsCrashWatch.h"
#include "gsFleet.h"
#include "gsLoop.h"
#include "gsMetrics.h"
#include "gsRetry.h"
#include "gsRoutedRequest.h"
#include "gsUpstreamCaller.h"

struct gsRouteGatewaySettings
{
  gsUpstreamCallerSettings Upstreams;
  gsTime SweepPeriod = gsMilliseconds(50);
  /** An upstream that is silent for so long is given no more work. */
  gsTime SilenceLimit = gsMilliseconds(700);
  /** When to come back after a refusal. */
  gsTime RetryAfter = gsMilliseconds(300);
  double RetryShare = 0.1; ///< Repeats, of a service's requests.
  double RetryBurst = 10;  ///< Repeats that may be saved up, for a service.
};

class gsRouteGateway
{
public:
  gsRouteGateway(gsLoop& loop, gsHttpClient& client, gsAdapter const& adapter,
                 gsFleet& fleet, gsMetrics& metrics,
                 gsRouteGatewaySettings settings, std::uint64_t seed);

  void OnExchange(std::shared_ptr<gsHttpExchange> const& exchange);

  /** Puts a version in force for all requests that come from now on. */
  void TakeRoutes(std::shared_ptr<gsRouteTable const> table);

  /**
   * Ends the attempts at upstreams that have started again since, of which
   * nothing is to be expected any more. To be called when the list of
   * upstreams has changed.
   */
  void EndAttemptsAtRestarted();

  /** Repeats that one service's upstreams may be given by this host. */
  void LimitRetries(double burst) { this->Settings.RetryBurst = burst; }
  /** Hosts that share the upstreams, this one included: now, and at most of
   * late, in all parts of a system that may be cut. */
  void ShareAmong(std::size_t hosts, std::size_t ofLate)
  {
    this->Hosts = hosts;
    this->HostsOfLate = ofLate;
  }

  /** Told once of each request that began to run: whose, and when. */
  using OnBegan =
    std::function<void(std::string const& organisation, gsTime began)>;
  void TellBegan(OnBegan told) { this->Began = std::move(told); }

  /** Told once of each upstream that says in an answer that it leaves, where
   * its row does not. */
  using OnLeaving = std::function<void(gsIncarnation const& upstream)>;
  void TellLeaving(OnLeaving told) { this->Leaving = std::move(told); }

  /** Sets the callback for each answer that changes an upstream's rate limit.
   */
  void TellRateLimit(std::function<void()> told)
  {
    this->RateLimitChanged = std::move(told);
  }

  /** Requests a number of tokens of an upstream's rate limit until a time.
   * Returns whether one is available now. */
  using TokenSource = std::function<bool(std::uint32_t upstream,
                                         std::uint32_t count, gsTime until)>;
  void SetTokenSource(TokenSource source)
  {
    this->RequestTokens = std::move(source);
  }
  /** Places one waiting request after a token of an upstream has arrived. */
  void OnToken(std::uint32_t upstream);
  /** Places all waiting requests again after a change of limits or upstreams.
   */
  void RetryWaiting();

  /** While it waits, callers are told to come back, and nothing is sent: what
   * this host knows may be out of date. */
  void Wait(bool waits) { this->Waiting = waits; }

  /** Requests that upstreams crash under. */
  gsCrashWatch& Crashes() { return this->CrashWatch; }

  /** Milliseconds an idle upstream takes for a prompt token. */
  double MillisPerToken() const { return this->Caller.FastMillisPerToken(); }

  std::size_t Open() const { return this->Requests.size(); }

private:
  using Held = gsRoutedRequestPtr;

  gsResult<bool> Admit(gsRoutedRequest& request);
  gsResult<bool> Authenticate(gsRoutedRequest& request) const;
  void Begin(Held const& request);
  void Place(Held const& request);
  void StartAt(Held const& request, gsPlacement const& placement);
  bool RequestTokensFor(std::uint32_t upstream, gsTime until);
  bool WaitForToken(Held const& request, gsPlacement const& placement);
  void StopWaiting(gsRoutedRequest& request);
  std::uint32_t CountWaiting(std::uint32_t upstream) const;
  void RefuseExpiredWaits(gsTime now);
  bool PassesQuarantine(Held const& request);
  void RefuseSuspect(Held const& request, gsSuspicion suspicion);
  gsPlacement Choose(gsRoutedRequest const& request, bool alsoTried);
  void AskOfService(gsRoutedRequest const& request, gsPlacementAsk& ask) const;
  gsFleetGroup GroupOf(gsRoutedRequest const& request,
                       gsPlacementAsk const& ask);
  void LogPlacement(gsRoutedRequest const& request, gsPlacementAsk const& ask,
                    gsPlacement const& placement) const;
  void OnEvents(Held const& request, std::string const& events);
  void WaitForCaller(Held const& request);
  void NoteBegan(gsRoutedRequest& request, gsTime at);
  void NotePlainBegan(gsRoutedRequest& request, gsAttempt const& attempt,
                      gsAttemptResult const& result);
  void OnAnyAttemptEnd(Held const& request, gsAttemptPtr const& attempt,
                       gsAttemptResult const& result);
  void OnAttemptEnd(Held const& request, gsAttemptResult const& result);
  void NoteHallTried(gsRoutedRequest& request, gsAttempt const& attempt,
                     gsAttemptResult const& result);
  void KeepWinner(Held const& request, gsAttemptPtr const& attempt);
  void CancelHedge(Held const& request);
  bool AllowsOneMore(gsRoutedRequest& request,
                     gsAttemptResult const& result) const;
  bool MayTryAgain(gsRoutedRequest& request, gsAttemptResult const& result);
  void AnswerWhole(Held const& request);
  gsTime SpreadRetryAfter();
  gsTime RetryAfterRest(gsRoutedRequest const& request, gsTime rest);
  void Refuse(Held const& request, char const* cause, gsTime rest = {});
  void Fail(Held const& request, unsigned status, char const* cause,
            gsTime retryAfter = {});
  bool HasRestarted(gsIncarnation const& upstream);
  void CallerLeft(Held const& request);
  void Settle(Held const& request, char const* result);
  void Sweep();
  void CheckTime(Held const& request, gsTime now);
  void CheckPrimary(Held const& request, gsTime now);
  void CheckSilence(Held const& request, gsTime now);
  bool IsSilent(gsRoutedRequest const& request, gsTime now);
  void NoteSilence(gsAttempt const& attempt, gsTime now);
  void StartHedge(Held const& request, gsTime now);
  gsRetryBudget& BudgetOf(std::string const& service);

  gsLoop& Loop;
  gsAdapter const& Adapter;
  gsFleet& Fleet;
  gsMetrics& Metrics;
  gsRouteGatewaySettings Settings;
  gsCrashWatch CrashWatch;
  gsUpstreamCaller Caller;
  gsTimer SweepTimer;
  gsRandom Random;
  std::shared_ptr<gsRouteTable const> Table;
  std::unordered_map<std::uint64_t, Held> Requests;       ///< By sequence.
  std::unordered_map<std::string, gsRetryBudget> Budgets; ///< By service.
  OnBegan Began;
  OnLeaving Leaving;
  std::function<void()> RateLimitChanged;
  TokenSource RequestTokens;
  /** Requests that wait for a token, by priority, then by deadline.
   */
  std::vector<Held> TokenWaits;
  std::uint64_t NextSequence = 1;
  std::size_t Hosts = 1; ///< That share the upstreams; at least 1.
  std::size_t HostsOfLate = 1;
  bool Waiting = false;
};
