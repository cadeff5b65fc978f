/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Admission of requests to the engines of a service, on one host: applies the
 * decisions of gsOverload to a request that is about to be sent, holds the
 * requests that wait, and stores the refusals so that callers that return at
 * the time they were given are recognised. Services without an engine are not
 * subject to it, nor are requests that have begun.
 */
#pragma once

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "gsAdmissionQueue.h"
#include "gsFeatureMode.h"
#include "gsFleet.h"
#include "gsMetrics.h"
#include "gsPlacement.h"

struct gsAdmissionSettings
{
  gsFeatureMode Mode = gsFeatureMode::Off;
  gsAdmissionQueueSettings Queue;
  gsOverloadSettings Overload;
};

struct gsAdmissionEvents
{
  /** The properties of a request that determine its placement. */
  std::function<gsPlacementRequest(gsRoutedRequest const& request)> Ask;
  /** A request that has waited is to be placed. */
  std::function<void(gsRoutedRequestPtr const& request)> Place;
  /** A request is to be refused; it has not run. */
  std::function<void(gsRoutedRequestPtr const& request, char const* cause,
                     gsTime retryAfter)>
    Refuse;
};

class gsAdmissionControl
{
public:
  /** The fleet and the metrics must outlive this object. */
  gsAdmissionControl(gsLoop& loop, gsFleet& fleet, gsMetrics& metrics,
                     gsAdmissionSettings const& settings, std::uint64_t seed,
                     gsAdmissionEvents events);

  /**
   * Decides on a request for which an upstream has been chosen. Replaces the
   * choice if the caller would leave before that upstream serves it, and
   * another one would serve it before. \return Whether it may be sent now;
   * otherwise it waits or has been refused.
   */
  bool MayStart(gsRoutedRequestPtr const& request, gsPlacement& placement);

  /**
   * Decides on a request for which no upstream has a place. \return Whether it
   * waits for one.
   */
  bool MayWait(gsRoutedRequestPtr const& request,
               gsPlacement const& placement);

  /** To be called when a request ends. */
  void OnEnd(gsRoutedRequest& request);
  /** To be called before the first event is sent to the caller. */
  void OnFirstEvent(gsRoutedRequest const& request);
  /** To be called when an attempt has ended or a load report has arrived. */
  void OnLoadChange();

  /** Sets the number of hosts, including this one, and its recent peak; 1 if
   * they are unknown. */
  void SetHostCounts(std::size_t hosts, std::size_t recentPeak)
  {
    this->HostCount = hosts;
    this->RecentPeakHosts = recentPeak;
  }

  /** A list with an object for each service and kind, for operators. */
  nlohmann::json Status(gsTime now);
  void WriteGauges(gsTime now);

private:
  bool Applies(gsRoutedRequest const& request) const;
  gsOverload& OverloadOf(std::string const& service, gsTime now);
  void Begin(gsRoutedRequest& request, gsOverload& overload,
             gsPlacementRequest const& ask, gsTime now);
  void Predict(gsRoutedRequest& request, gsPlacementRequest const& ask,
               gsPlacement& placement, gsTime now);
  bool HasRoom(gsRoutedRequest const& request);
  bool CarryOut(gsRoutedRequestPtr const& request, gsOverload& overload,
                gsAdmissionDecision const& decision, gsTime now);
  void Queue(gsRoutedRequestPtr const& request, gsOverload& overload,
             gsTime now);
  void Refuse(gsRoutedRequestPtr const& request,
              gsAdmissionDecision const& decision, gsTime now);
  void Log(gsRoutedRequest const& request, gsOverload const& overload,
           gsAdmissionDecision const& decision, gsTime now) const;

  gsFleet& Fleet;
  gsMetrics& Metrics;
  gsAdmissionSettings Settings;
  gsAdmissionEvents Events;
  gsRandom Random;
  gsRefusalStore Refusals;
  gsSubjectRefusals Subjects;
  gsAdmissionQueue Waiting;
  std::size_t HostCount = 1;
  std::size_t RecentPeakHosts = 1;
};
