/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A model of hosts that admit requests to the engines of one service, for the
 * tests of admission under overload. Each engine processes its requests in
 * order of arrival; hosts know each other's demand and the engines' backlog
 * from reports, which are late. Time is simulated.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gsOverload.h"

/** Requests of one priority. */
struct gsModelKind
{
  std::uint32_t Priority = 0;
  double PerSecond = 0; ///< Of all hosts.
  double EngineMillis = 0;
  gsTime Target{};
  gsTime Patience{};
  gsTime Deadline{};
};

/** Fate of a request. */
struct gsModelRequest
{
  std::size_t Host = 0;
  gsAdmissionRequest Row;
  gsTime ArrivedAt{};
  gsTime WaitingSince{}; ///< Zero if it does not wait.
  std::size_t Engine = 0;
  bool IsRefused = false;
  gsTime RefusedAfter{};
  gsTime RetryAfter{};
  char const* Cause = "";
  gsTime FirstEvent{};  ///< From its arrival; zero if it was not sent.
  bool IsRetry = false; ///< Retried at once after a refusal.

  bool IsInTime() const
  {
    return this->FirstEvent.count() > 0 &&
           this->FirstEvent <= this->Row.Target;
  }
  bool IsServed() const
  {
    return this->FirstEvent.count() > 0 &&
           this->FirstEvent <= this->Row.Patience;
  }
};

/** Shares of a set of requests. */
struct gsModelShares
{
  std::size_t Count = 0;
  double InTime = 0;
  double Served = 0; ///< Including late ones.
  double Refused = 0;
  double Lost = 0; ///< Sent, but its caller left before the first event.
};

struct gsOverloadModel
{
  std::size_t HostCount = 10;
  std::size_t EngineCount = 20;
  std::size_t Organisations = 12;
  std::vector<gsModelKind> Kinds = {
    { 0, 133, 30, gsMilliseconds(500), gsSeconds(2), gsSeconds(12) },
    { 1, 66, 60, gsMilliseconds(1000), gsSeconds(4), gsSeconds(8) },
    { 2, 88, 90, gsMilliseconds(2000), gsSeconds(8), gsSeconds(12) }
  };
  bool IsOn = true; ///< Whether admission is applied.
  gsTime ReportInterval = gsMilliseconds(200);
  gsTime ReportAge = gsMilliseconds(200);
  /** Hosts that exchange reports with each other, by host; all by default. */
  std::function<std::uint32_t(std::size_t host)> SideOf = [](std::size_t) {
    return 0U;
  };
  /** Factor of a kind's rate and of its engine time at a time. */
  std::function<double(gsModelKind const&, gsTime)> RateAt =
    [](gsModelKind const&, gsTime) { return 1.0; };
  std::function<double(gsModelKind const&, gsTime)> CostAt =
    [](gsModelKind const&, gsTime) { return 1.0; };
  /** Weight of an organisation in the choice of a request's organisation. */
  std::function<double(std::size_t organisation, gsTime)> OrganisationAt =
    [](std::size_t, gsTime) { return 1.0; };
  std::function<bool(std::size_t engine, gsTime)> IsUp =
    [](std::size_t, gsTime) { return true; };
  double RetryAtOnceShare = 0; ///< Of refused callers.

  std::vector<gsOverload> Hosts = {};
  std::vector<double> BusyUntil = {}; ///< By engine; seconds.
  std::vector<gsModelRequest> Requests = {};

  /** Simulates a time from zero on, in steps of a millisecond. */
  void Run(gsTime duration);

  /** Shares of the requests that a predicate selects. */
  gsModelShares Of(
    std::function<bool(gsModelRequest const&)> const& selects) const;
  /** Shares of a kind's requests that arrive in a span, without retries. */
  gsModelShares Of(std::uint32_t priority, gsTime from, gsTime to) const;

private:
  gsRandom Random{ 7 };
  std::vector<std::vector<gsServiceDemand>> SentReports = {};
  std::vector<double> KnownBacklog = {};

  void Arrive(gsModelKind const& kind, gsTime now, bool isRetry,
              std::size_t host, std::uint32_t organisation);
  void Predict(gsModelRequest& request, gsTime now);
  void Apply(std::size_t index, gsAdmissionDecision const& decision,
             gsTime now);
  void Exchange(gsTime now);
  void MeasureCapacity(gsOverload& overload, gsTime now) const;
};
