/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The callers' side of the routed mode. The gateway holds each request from
 * its arrival to its final answer. It determines the route and the
 * organisation, has an upstream chosen, and decides after each attempt whether
 * to answer, to try another upstream or to give up. Only the gateway decides
 * whether a request may have run, and therefore which guarantees an answer may
 * give to the caller.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gsAdapter.h"
#include "gsAdmissionControl.h"
#include "gsCrashWatch.h"
#include "gsFleet.h"
#include "gsLoop.h"
#include "gsMetrics.h"
#include "gsPlacementAsk.h"
#include "gsRequestForwarder.h"
#include "gsRetryPolicy.h"
#include "gsRoutedRequest.h"
#include "gsUpstreamCaller.h"

class gsStreamSharing;
struct gsFoundVersion;

struct gsRouteGatewaySettings
{
  gsUpstreamCallerSettings UpstreamCaller;
  gsTime SweepInterval = gsMilliseconds(50);
  /**
   * An upstream that sends nothing for this long, beyond what its load
   * explains, receives no more requests for a while, and its requests are
   * hedged.
   */
  gsTime SilenceTimeout = gsMilliseconds(700);
  /** Minimum Retry-After of a refusal. */
  gsTime MinRetryAfter = gsMilliseconds(300);
  double RetryShare = 0.1; ///< Repeats per request of a service.
  double RetryBurst = 10;  ///< Repeats that may be saved up per service.
  gsAdmissionSettings Admission;
};

class gsRouteGateway
{
public:
  gsRouteGateway(gsLoop& loop, gsHttpClient& client, gsAdapter const& adapter,
                 gsFleet& fleet, gsMetrics& metrics,
                 gsRouteGatewaySettings const& settings, std::uint64_t seed);

  /** Handles a request from a caller. */
  void OnExchange(std::shared_ptr<gsHttpExchange> const& exchange);
  /** Handles a request that another host has forwarded. */
  void OnForwarded(std::shared_ptr<gsHttpExchange> const& exchange);
  /** Forwards requests to other hosts. */
  gsRequestForwarder& Forwarder() { return this->RequestForwarder; }

  /**
   * Sets the configuration that applies to all requests that arrive from now
   * on.
   */
  void SetRoutes(std::shared_ptr<gsRouteTable const> table);

  /**
   * Ends the attempts at upstreams that have restarted in the meantime, since
   * those will not be answered any more. To be called when the list of
   * upstreams has changed.
   */
  void EndAttemptsAtRestartedUpstreams();

  /** Sets the number of repeats that this host may save up per service. */
  void SetRetryBurst(double burst) { this->RetryPolicy.SetBurst(burst); }
  /**
   * Sets the number of hosts that share the upstreams, including this one: the
   * current number and the recent peak. The peak includes the hosts in all
   * parts of a partitioned system.
   */
  void SetHostCounts(std::size_t hosts, std::size_t recentPeak)
  {
    this->HostCount = hosts;
    this->RecentPeakHosts = recentPeak;
  }

  /**
   * Called once for each request that has begun to run, with its organisation
   * and the time at which it began.
   */
  using OnBegan =
    std::function<void(std::string const& organisation, gsTime began)>;
  void SetBeganCallback(OnBegan callback)
  {
    this->BeganCallback = std::move(callback);
  }

  /**
   * Called once for each upstream that announces in an answer that it is
   * leaving, if its row does not say so.
   */
  using OnLeaving = std::function<void(gsIncarnation const& upstream)>;
  void SetLeavingCallback(OnLeaving callback)
  {
    this->LeavingCallback = std::move(callback);
  }

  /**
   * Sets the callback that is called for each answer that changes an
   * upstream's rate limit.
   */
  void SetRateLimitCallback(std::function<void()> callback)
  {
    this->RateLimitCallback = std::move(callback);
  }

  /**
   * Requests a number of tokens of an upstream's rate limit until a time.
   * \return Whether one is available now.
   */
  using TokenSource = std::function<bool(std::uint32_t upstream,
                                         std::uint32_t count, gsTime until)>;
  void SetTokenSource(TokenSource source)
  {
    this->RequestTokens = std::move(source);
  }
  /** Sets where the software versions of streams are recorded and looked up.
   * Without it, no stream of a caller is resumed. */
  void SetStreamSharing(gsStreamSharing& streams) { this->Streams = &streams; }
  /** Sets what returns the version to which a stream is sent in place of an
   * upstream's, empty for that of the upstream. */
  void SetOlderVersion(std::function<std::optional<std::uint32_t>(
                         gsListedUpstream const& upstream)>
                         older)
  {
    this->OlderVersion = std::move(older);
  }
  /** Sets the callback for attempts that return a token of shared slots. */
  void SetSlotReturnCallback(std::function<void()> callback)
  {
    this->SlotReturnCallback = std::move(callback);
  }
  /** Places one waiting request after a token of an upstream has arrived. */
  void OnToken(std::uint32_t upstream);
  /**
   * Places all waiting requests again after a change of limits or upstreams.
   */
  void RetryWaiting();
  /** Counts the open attempts at upstreams whose slots are shared from now on
   * as holders of these slots. */
  void AdoptAttempts();

  /**
   * Sets whether this host is catching up after a stall. While it is, its
   * state may be outdated; it sends no requests to upstreams, and refuses
   * callers with Retry-After.
   */
  void SetCatchingUp(bool isCatchingUp) { this->IsCatchingUp = isCatchingUp; }

  /** Sets when this host stops. Requests whose time limit is later are refused
   * from now on. */
  void SetStopAt(gsTime stopAt) { this->StopAt = stopAt; }

  /** Calls upstreams and holds their answers. */
  gsUpstreamCaller& Upstreams() { return this->UpstreamCaller; }

  /** Detects requests under which upstreams crash. */
  gsCrashWatch& CrashDetection() { return this->CrashWatch; }

  /** Admission under overload. */
  gsAdmissionControl& AdmissionControl() { return this->Admission; }

  /** Milliseconds that an idle upstream takes per prompt token. */
  double MillisPerToken() const
  {
    return this->UpstreamCaller.FastMillisPerToken();
  }

  /** Number of requests that have no final answer yet. */
  std::size_t OpenRequests() const { return this->Requests.size(); }

private:
  using RequestPtr = gsRoutedRequestPtr;

  void Take(RequestPtr const& request);
  void RespondRejection(gsRoutedRequest const& request, gsError const& error);
  gsHeaders NotExecutedHeaders(gsRoutedRequest const& request) const;
  void Begin(RequestPtr const& request);
  void Place(RequestPtr const& request);
  void StartAttempt(RequestPtr const& request, gsPlacement const& placement);
  bool RequestTokensFor(std::uint32_t upstream, gsTime until);
  bool WaitForToken(RequestPtr const& request, gsPlacement const& placement);
  void StopWaiting(gsRoutedRequest& request);
  std::uint32_t CountWaiting(std::uint32_t upstream) const;
  RequestPtr NextForToken(std::uint32_t upstream, std::string const& service,
                          std::vector<RequestPtr> const& excluded) const;
  bool LacksSlot(std::uint32_t upstream) const;
  void RequestOtherSlots(gsRoutedRequest& request, gsTime now);
  void AvoidNewVersion(gsRoutedRequest const& request,
                       gsPlacementRequest const& ask, gsPlacement& placement);
  void RequestEarly(gsRoutedRequest const& request,
                    gsPlacementRequest const& ask, gsPlacement& placement);
  gsTime TokenWait(std::uint32_t upstream, std::size_t ahead,
                   gsTime now) const;
  void RefuseExpiredWaits(gsTime now);
  void ScheduleWaitTimer(gsTime now);
  bool PassesQuarantine(RequestPtr const& request);
  void ResumeStream(RequestPtr const& request);
  void PlaceAtVersion(RequestPtr const& request, gsFoundVersion const& found,
                      gsTime lookUpTime);
  void LogResumption(gsRoutedRequest const& request,
                     gsFoundVersion const& found, gsTime lookUpTime);
  void RecordVersion(RequestPtr const& request, std::uint32_t version);
  void WithdrawRecord(gsRoutedRequest& request);
  bool MayRelay(RequestPtr const& request, gsAttempt const& attempt);
  void OnRecordCopied(RequestPtr const& request);
  void RefuseSuspect(RequestPtr const& request, gsSuspicionLevel suspicion);
  gsPlacement Choose(gsRoutedRequest const& request, bool alsoTried);
  gsPlacementState PlacementState() const;
  void OnEvents(RequestPtr const& request, std::string const& events);
  void ResumeOnceDrained(RequestPtr const& request);
  void ReportStart(gsRoutedRequest& request, gsTime at);
  void ReportUnstreamedStart(gsRoutedRequest& request,
                             gsAttempt const& attempt,
                             gsAttemptResult const& result);
  void OnAnyAttemptEnd(RequestPtr const& request, gsAttemptPtr const& attempt,
                       gsAttemptResult const& result);
  void OnAttemptEnd(RequestPtr const& request, gsAttemptResult const& result);
  void RecordHallFailure(gsRoutedRequest& request, gsAttempt const& attempt,
                         gsAttemptResult const& result);
  void CancelLoser(RequestPtr const& request, gsAttemptPtr const& attempt);
  void CancelHedge(RequestPtr const& request);
  void RespondWithAnswer(RequestPtr const& request);
  void Refuse(RequestPtr const& request, char const* cause,
              gsTime backoff = {});
  void RespondRefusal(RequestPtr const& request, char const* cause,
                      gsTime retryAfter);
  void Fail(RequestPtr const& request, unsigned status, char const* cause,
            gsTime retryAfter = {});
  bool HasRestarted(gsIncarnation const& upstream);
  void OnCallerGone(RequestPtr const& request);
  void Finish(RequestPtr const& request, char const* result);
  void Sweep();
  void CheckDeadlines(RequestPtr const& request, gsTime now);
  void CheckPrimary(RequestPtr const& request, gsTime now);
  void CheckSilence(RequestPtr const& request, gsTime now);
  bool IsSilent(gsRoutedRequest const& request, gsTime now);
  void RecordSilence(gsAttempt const& attempt, gsTime now);
  void StartHedge(RequestPtr const& request, gsTime now);

  gsLoop& Loop;
  gsAdapter const& Adapter;
  gsFleet& Fleet;
  gsMetrics& Metrics;
  gsRouteGatewaySettings Settings;
  gsCrashWatch CrashWatch;
  gsUpstreamCaller UpstreamCaller;
  gsRequestForwarder RequestForwarder;
  gsRetryPolicy RetryPolicy;
  gsAdmissionControl Admission;
  gsTimer SweepTimer;
  gsTimer WaitTimer; ///< Ends waits for shared slots.
  gsRandom Random;
  std::shared_ptr<gsRouteTable const> RouteTable;
  std::unordered_map<std::uint64_t, RequestPtr> Requests; ///< By sequence.
  std::size_t ForwardedCount = 0; ///< Requests that other hosts forwarded.
  OnBegan BeganCallback;
  OnLeaving LeavingCallback;
  std::function<void()> RateLimitCallback;
  std::function<void()> SlotReturnCallback;
  TokenSource RequestTokens;
  gsStreamSharing* Streams = nullptr; ///< Null if there is none.
  std::function<std::optional<std::uint32_t>(gsListedUpstream const&)>
    OlderVersion; ///< May be empty.
  /** Requests that wait for a token, by priority, then by deadline. */
  std::vector<RequestPtr> TokenQueue;
  std::uint64_t NextSequence = 1;
  /** Hosts that share the upstreams, including this one; at least 1. */
  std::size_t HostCount = 1;
  std::size_t RecentPeakHosts = 1;
  bool IsCatchingUp = false;
  gsTime StopAt{}; ///< Zero unless this host stops.
};
