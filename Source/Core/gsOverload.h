/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Admission of a service's requests when its engines cannot serve all of
 * them. A kind is the set of requests of one priority.
 *
 * The pressure is the engine time per second that all hosts request, divided
 * by the capacity of the engines. Above 1, the capacity is divided between
 * the kinds by priority, and within a kind between the organisations by
 * weight; what one does not use is available to the others (water-filling).
 * The result is an admitted share for each kind and organisation, and an
 * accumulator for each of them admits exactly that share of its requests,
 * regardless of their size.
 *
 * Demand is an estimate. It is therefore applied only to the degree to which
 * the engines have a backlog, and a share of less than 1 has no effect while
 * they have none.
 *
 * The state is one plain struct for each service. Each host decides on its
 * own, by its own demand and by the demand that the other hosts report.
 * Callers pass in the current time; nothing here does I/O.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "gsFingerprint.h"
#include "gsLoadExchange.h"
#include "gsTypes.h"

struct gsOverloadSettings
{
  gsTime DemandHalfLife = gsSeconds(2);
  /** Demand that an older report contains is treated as not received. */
  gsTime MaxReportAge = gsMilliseconds(2500);
  /** Minimum share of a kind's demand that is admitted. */
  double MinKindShare = 0.05;
  /** With this share of free slots or more, and no request waiting, nothing
   * is refused. */
  double RelaxedFreeSlotShare = 0.5;
  /** Largest backlog of an engine as a share of the shortest target of all
   * kinds. Below half of it, shares have no effect. */
  double MaxBacklogShare = 0.5;
  gsTime MinRetryAfter = gsMilliseconds(300);
  /** Maximum Retry-After as a share of the time that the caller has left. */
  double MaxRetryAfterShare = 1.0 / 3;
  /** Maximum wait on the host, as a share of the target. */
  double MaxWaitShare = 0.25;
  /** Time until a refusal, as a share of the target. */
  double MaxRefusalShare = 0.125;
  /** Time after a return time within which a caller counts as returning. */
  gsTime ReturnWindow = gsSeconds(2);
};

/** A request that is to be admitted. */
struct gsAdmissionRequest
{
  std::uint32_t Priority = 0;     ///< Of the route; 0 is the most urgent.
  std::uint32_t Organisation = 0; ///< Hash of its name; 0 for none.
  double Weight = 1;              ///< The organisation's share within a kind.
  double EngineMillis = 0;        ///< Engine time that it needs.
  gsTime FirstEvent{};            ///< Predicted time until the first event.
  gsTime Target{};                ///< For the first event; zero for none.
  /** Time until the caller leaves if there is no first event by then. */
  gsTime Patience{};
  gsTime TimeLeft{}; ///< Until its deadline.
  /** Retried at the time it was given, or of a subject that is due. */
  bool IsReturning = false;
  /** Time until the return time that the caller was given, if it retries
   * before; zero otherwise. */
  gsTime TimeToReturn{};
};

enum class gsAdmission
{
  Admit,
  Wait, ///< On the host, until an engine has room for it.
  Refuse
};

/** Name of the action in logs. */
char const* gsAdmissionName(gsAdmission action);

struct gsAdmissionDecision
{
  gsAdmission Action = gsAdmission::Admit;
  gsTime RetryAfter{};      ///< Set for a refusal.
  char const* Cause = "ok"; ///< For logs, metrics and answers.
};

/** Capacity and backlog of a service's engines as one host knows them. */
struct gsOverloadCapacity
{
  /** Sum of the relative speeds of the engines that accept work. */
  double Speed = 0;
  /** The same of all listed engines. */
  double TotalSpeed = 0;
  double FreeSlotShare = 1;
  /** Time that these engines take for the prompts that they have not
   * processed yet. */
  double BacklogMillis = 0;
  gsTime MeasuredAt{};
};

/** One organisation's requests of one kind on this host. */
struct gsOrganisationAdmission
{
  double EngineMillis = 0; ///< Exponentially decaying sum.
  double Weight = 1;
  /** Requests that may be admitted; 1 or more admits the next. Negative after
   * returning callers were admitted in advance. */
  double Credit = 0;
  double Share = 1; ///< Admitted share, as last computed.
};

/** One kind of a service. */
struct gsKindAdmission
{
  double EngineMillis = 0;   ///< Own; exponentially decaying sum.
  double WaitingMillis = 0;  ///< Engine time of requests waiting on this host.
  std::uint32_t Waiting = 0; ///< Requests waiting on this host.
  gsTime Target{};           ///< Shortest target of its routes.
  double Demand = 0; ///< Milliseconds per second, all hosts; as computed.
  double Share = 1;  ///< Admitted share of the kind; as last computed.
  /** Share for organisations that have no entry below. */
  double OtherShare = 1;
  gsTime RefusedAt{};       ///< Last refusal on this host.
  double RefusedMillis = 0; ///< Engine time of that request.
  /**
   * Factor by which predicted times until the first event are multiplied. It
   * is learned from measured times and covers what the prediction does not
   * know: prompt parts that are cached, and the engines' order by urgency.
   */
  double Correction = 0.6;
  std::unordered_map<std::uint32_t, gsOrganisationAdmission> Organisations;
};

/** Admission to one service on one host. */
struct gsOverload
{
  gsOverloadSettings Settings;
  gsOverloadCapacity Capacity;
  std::map<std::uint32_t, gsKindAdmission> Kinds; ///< By priority.
  gsKindDemandMap OthersKinds;
  gsOrganisationDemandMap OthersOrganisations;
  gsTime OthersReportedAt{}; ///< Zero if no report was received.
  /** Hosts whose demand is known if reports are received, including this one,
   * and the recent peak; at least 1. Hosts that are not known may use the
   * engines as well. */
  std::size_t KnownHosts = 1;
  std::size_t RecentPeakHosts = 1;
  gsTime FirstRequestAt{}; ///< Of this host; zero before.
  gsTime DecayedAt{};
  gsTime ComputedAt{}; ///< Of the shares.
  double Pressure = 0; ///< As last computed.
  /** Degree to which shares apply, from 0 to 1; as last computed. */
  double Congestion = 0;
  gsRandom Random;
};

/** Adds a new request to the demand. Not to be called for a request that was
 * decided before, or for a caller that retries early. */
void gsRecordArrival(gsOverload& overload, gsAdmissionRequest const& request,
                     gsTime now);

/** Decides on a request on its arrival. */
gsAdmissionDecision gsDecideAdmission(gsOverload& overload,
                                      gsAdmissionRequest const& request,
                                      gsTime now);

/**
 * Decides on a request that waits on the host. A request that cannot be
 * served is refused within MaxRefusalShare of its target; after that it is
 * placed in any case, at the latest after MaxWaitShare.
 * \param waited Time since it began to wait.
 */
gsAdmissionDecision gsDecideWaiting(gsOverload& overload,
                                    gsAdmissionRequest const& request,
                                    gsTime waited, gsTime now);

/** Adds a request that waits on this host to the counts. */
void gsBeginWaiting(gsOverload& overload, gsAdmissionRequest const& request);
/** Removes it from the counts. */
void gsEndWaiting(gsOverload& overload, gsAdmissionRequest const& request);

/** Refusal of a request at a time, with the time to come back. */
gsAdmissionDecision gsRefuseAdmission(gsOverload& overload,
                                      gsAdmissionRequest const& request,
                                      char const* cause, gsTime now);

/** Recomputes pressure and shares if they are older than a few milliseconds.
 */
void gsUpdateOverload(gsOverload& overload, gsTime now);

/** This host's demand, as it is reported to other hosts. */
void gsReportDemand(gsOverload& overload, gsServiceDemand& report, gsTime now);

/** Sets the demand of all other hosts combined. \param reportedAt Time of the
 * oldest report included; empty if there is none. */
void gsSetReportedDemand(gsOverload& overload, gsServiceDemand const& others,
                         std::optional<gsTime> reportedAt);

/** Whether the demand of the other hosts is known. */
bool gsKnowsOthersDemand(gsOverload const& overload, gsTime now);

/** Corrects predictions of a kind by a measured time until the first event.
 */
void gsRecordFirstEvent(gsOverload& overload, std::uint32_t priority,
                        gsTime predicted, gsTime measured);

/** The factor for predictions of a kind. */
double gsFirstEventCorrection(gsOverload const& overload,
                              std::uint32_t priority);

/** How a caller that was refused before presents its request again. */
enum class gsReturn
{
  None,   ///< It was not refused, or came back too late.
  Early,  ///< Before the time that it was given.
  OnTime, ///< At that time or shortly after it.
};

/** The refusals of one host, with the time that each caller was given. */
struct gsRefusalStore
{
  std::size_t MaxRefusals = 4096;
  std::unordered_map<gsFingerprint, gsTime> ReturnAt;
  std::deque<gsFingerprint> Order; ///< Keys of ReturnAt, oldest first.
};

/** Stores a refusal. A request that has an entry keeps its place in the order.
 */
void gsStoreRefusal(gsRefusalStore& store, gsFingerprint const& fingerprint,
                    gsTime returnAt);

/** How the caller of a request returns, and the time that it was given. */
struct gsReturnState
{
  gsReturn Kind = gsReturn::None;
  gsTime ReturnAt{};
};
gsReturnState gsFindRefusal(gsRefusalStore const& store,
                            gsFingerprint const& fingerprint, gsTime window,
                            gsTime now);

/** Consecutive refusals of the subjects of prompts, on one host. */
struct gsSubjectRefusals
{
  std::size_t MaxSubjects = 4096;
  /** Refusals after which a subject's next request takes precedence. */
  std::uint32_t MaxRefusals = 3;
  std::unordered_map<std::uint64_t, std::uint32_t> Refused; ///< By subject.
};

/** Records that a request of a subject was admitted or refused; does nothing
 * for subject 0. */
void gsRecordSubject(gsSubjectRefusals& refusals, std::uint64_t subject,
                     bool isRefused);

/** Whether a subject's next request takes precedence, so that a subject that
 * is requested again and again is served at least once. */
bool gsIsSubjectDue(gsSubjectRefusals const& refusals, std::uint64_t subject);
