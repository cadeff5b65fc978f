/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A pool: the upstreams of one hall that serve one service, and the one queue
 * in front of them. One host, the pool's dispatcher, holds its state, which is
 * plain tables. gsPoolTick runs the systems over them that gsAdmit.h,
 * gsDispatch.h, gsLimit.h and gsHealth.h declare: admission and load shedding,
 * grants of upstreams to waiting requests, adaptive concurrency limits, and
 * ejection of failing upstreams.
 *
 * QueueLimit bounds the waiting requests, and the limit of each upstream its
 * running ones; a small number of reserved slots exists in addition, for
 * requests of lower tiers that have waited too long. Callers pass in the
 * current time and carry out the returned decisions. Nothing here does I/O.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gsEstimate.h"
#include "gsTypes.h"

/** A request as sent to its pool's dispatcher. The entry host keeps the body.
 */
struct gsGrantRequest
{
  gsRequestId Id;
  std::string Pool;
  std::string Organisation;
  std::string Template;
  std::uint32_t Tier = 0; ///< Rank; 0 is the highest.
  double Weight = 1.0;    ///< The organisation's share within the tier.
  std::uint32_t PromptTokens = 0;
  gsTime PriorWaitTime{}; ///< Time waited before this message.
  gsTime MaxWait{};       ///< Total waiting time after which it is refused.
  std::uint64_t AffinityHash = 0; ///< Hash of the shared context; 0 for none.
  gsTime FirstTokenTarget{};      ///< Target time to the first token.
  gsTime TokenIntervalTarget{};   ///< Target interval between tokens.
  /** Upstream at which this request has just failed; used only if no other
   * is available. Empty for none. */
  std::string AvoidUpstream;
  /** The receiver queues the request even if it is not the dispatcher. */
  bool ForceQueue = false;
  /** Queue the request even while all upstreams are ejected. */
  bool WaitWhileEjected = false;
};

/** State of an upstream; see gsHealth.h. */
enum class gsHealth
{
  Healthy, ///< Receives requests up to its limit.
  Ejected, ///< Receives no requests until RetryAt.
  Probing  ///< Receives one request at a time until one succeeds.
};

/** How a grant ended, as reported by the entry host. */
enum class gsGrantOutcome : std::uint32_t
{
  Completed = 0,         ///< The upstream sent a complete answer.
  Unused = 1,            ///< The grant was not used.
  ConnectionRefused = 2, ///< The upstream did not accept the connection.
  Failed = 3,  ///< The upstream sent an error, or the connection broke.
  Stalled = 4, ///< The upstream made no progress within the timeout.
  CallerDisconnected = 5 ///< The caller disconnected.
};

/** Measurements of one grant. */
struct gsGrantMeasurements
{
  std::uint64_t Tokens = 0;
  gsTime TimeToFirstToken{}; ///< From sending to the first byte of the answer.
  gsTime TokenInterval{};    ///< Mean interval between tokens.
  gsTime Duration{};         ///< From sending to the end.
};

/** Measurements of one tier in the current window of an upstream. */
struct gsLatencyWindow
{
  std::uint32_t Samples = 0;
  std::uint32_t LateSamples = 0;     ///< Samples that missed their target.
  std::uint32_t IntervalSamples = 0; ///< Samples with a token interval.
  double IntervalRatioSum = 0;       ///< Sum of token interval over target.
};

/** An upstream in the dispatcher's table. */
struct gsUpstreamRow
{
  std::string Name;
  std::string Address;
  std::string Incarnation; ///< From its load report.
  /** It receives no new requests. Never reset for the same incarnation. */
  bool Leaving = false;
  bool Adaptive = true;      ///< The limit is adjusted; see gsLimit.h.
  double Limit = 8;          ///< Concurrent requests on shared slots.
  double MaxLimit = 64;      ///< Upper bound of an adaptive limit.
  std::uint32_t Running = 0; ///< Requests on shared slots; an exact count.
  std::uint32_t RunningReserved =
    0; ///< Requests on reserved slots, above the limit.
  gsHealth Health = gsHealth::Healthy;
  gsTime RetryAt{}; ///< When an ejected upstream is probed.
  std::uint32_t ConsecutiveEjections =
    0;                                   ///< Consecutive; doubles the backoff.
  std::uint32_t ConsecutiveFailures = 0; ///< Consecutive.
  std::uint32_t UnansweredPolls = 0;     ///< Consecutive.
  /** Ejected because it could not be reached; the next answered poll ends the
   * ejection. */
  bool EjectedAsUnreachable = false;
  gsTime WindowStart{}; ///< Start of the limit's current window.
  std::vector<gsLatencyWindow>
    LatencyByTier; ///< Measurements of the window, by tier.
  /** All its slots were in use in the window while requests waited. */
  bool WasSaturated = false;
  /** Smoothed ratio of token interval to target; 0 without a sample. */
  double TokenIntervalRatio = 0;
  /** Queue length in the upstream's last load report. */
  std::uint32_t ReportedWaiting = 0;
};

/** A request in the queue. */
struct gsWaitingRow
{
  gsGrantRequest Request;
  gsTime ArrivedAt;           ///< When the request first began to wait.
  gsTime Deadline;            ///< ArrivedAt plus MaxWait.
  std::uint64_t Link = 0;     ///< Connection to its entry host.
  std::uint64_t Sequence = 0; ///< Incremented for each request of the pool.
  /** The request waits for a reserved slot. Such requests are not counted in
   * the shared queue and are not shed. */
  bool HasReservedTurn = false;
  /** Grants to lower tiers on shared slots before this request was queued. */
  std::uint64_t LowerTierGrantsAtArrival = 0;
};

/** A request with a grant that has not been released. */
struct gsRunningRow
{
  std::string Upstream;
  std::string Organisation;
  std::string Template;
  std::uint32_t Tier = 0;
  double Weight = 1.0;
  double EstimatedTokens = 0; ///< Tokens charged at dispatch.
  bool OnReservedSlot = false;
  std::uint64_t Link = 0; ///< Connection to its entry host.
  gsTime StartedAt{};
  gsTime FirstTokenTarget{};
  gsTime TokenIntervalTarget{};
};

/** Waiting requests of one organisation in one tier. Both lists are in order
 * of arrival and may contain ids that are no longer in gsPool::Waiting. */
struct gsOrganisationQueue
{
  double WeightedService =
    0; ///< Tokens served, divided by weight: its virtual time.
  std::deque<gsRequestId>
    InTargetIds; ///< Requests not known to miss their target.
  std::deque<gsRequestId>
    LateIds;                 ///< Will miss their target; served after them.
  std::uint32_t Waiting = 0; ///< Requests of both lists still waiting.
};

/** Waiting requests and counters of one tier. */
struct gsTierQueue
{
  std::map<std::string, gsOrganisationQueue> Organisations;
  /** Virtual time: WeightedService of the organisation last granted a shared
   * slot. */
  double VirtualTime = 0;
  std::uint32_t Waiting = 0; ///< Including requests with a reserved turn.
  /** Waiting requests with a reserved turn; at most MaxReservedTurns. */
  std::vector<gsRequestId> ReservedIds;
  std::uint64_t SharedGrants = 0; ///< Total grants on shared slots.
  std::uint32_t Running = 0;      ///< Requests on shared slots.
  /** Recent maximum of running plus waiting requests; decays exponentially
   * with HeadroomDecayTime. */
  double PeakDemand = 0;
  /** Waiting time after which a request may get a reserved turn. */
  gsTime AgeLimit = gsSeconds(5);
};

/** Limits of a pool; see docs/OPERATIONS.md for the configurable ones. */
struct gsPoolSettings
{
  std::uint32_t QueueLimit = 1000; ///< Maximum number of waiting requests.
  /** Maximum number of requests of a tier that wait for a reserved slot. */
  std::uint32_t MaxReservedTurns = 4;
  /** Reserved slots as a share of the sum of all limits; at least one. */
  double ReservedSlotShare = 0.05;
  gsTime LimitWindow = gsMilliseconds(250); ///< Minimum window of a limit.
  /** Share of late samples above which a limit is lowered. */
  double MaxLateShare = 0.05;
  /** Number of consecutive failures after which an upstream is ejected. */
  std::uint32_t EjectAfterFailures = 3;
  gsTime EjectBackoff = gsSeconds(1);     ///< Initial ejection backoff.
  gsTime MaxEjectBackoff = gsSeconds(60); ///< Maximum ejection backoff.
  /** Ratio to the median token interval above which an upstream is ejected. */
  double OutlierFactor = 3.0;
  /** Load of the preferred upstream, relative to the mean, up to which
   * requests with a shared context are sent there. */
  double MaxAffinityLoad = 1.25;
  /** Time after a grant within which the entry host has to use it. */
  gsTime StartTimeout = gsSeconds(2);
  bool UseAffinity = true; ///< Send requests with a shared context together.
  /** Within an organisation, serve requests that can still meet their target
   * before those that cannot. */
  bool ServeInTargetFirst = true;
  /** Maximum share of all slots that lower tiers leave free for higher ones.
   */
  double MaxHeadroomShare = 0.25;
  gsTime HeadroomDecayTime = gsSeconds(200); ///< Time constant of PeakDemand.
};

/** The tables of one pool. */
struct gsPool
{
  std::string Name;
  gsPoolSettings Settings;
  std::vector<gsUpstreamRow> Upstreams;
  std::vector<gsTierQueue> Tiers; ///< By rank.
  std::unordered_map<gsRequestId, gsWaitingRow, gsRequestIdHash> Waiting;
  std::unordered_map<gsRequestId, gsRunningRow, gsRequestIdHash> Running;
  gsEstimates Estimates;
  std::uint64_t NextSequence = 1;
  std::uint32_t NextReservedTier = 0; ///< Round-robin position, modulo tiers.
  gsTime LastShedAt{};                ///< Last run of gsShedInfeasible.
  gsTime PeaksUpdatedAt{};            ///< Last update of PeakDemand.
  gsTime LastReserveAt{};             ///< Last run of gsReserveAgedRequests.
  gsTime LastExpiryAt{};              ///< Last run of gsExpireWaiting.
};

/** Why a request was refused. */
enum class gsRefusalCause
{
  QueueFull,
  Infeasible, ///< Its expected wait exceeds the time it has left.
  Expired,    ///< It has waited for MaxWait.
  NoUpstream, ///< All upstreams of the pool are leaving, or it has none.
  AllEjected, ///< All upstreams that are not leaving are ejected.
};

/** Name of the cause on the wire, in logs and in metrics. */
char const* gsRefusalCauseName(gsRefusalCause cause);

/** Permission for an entry host to send one request to one upstream. */
struct gsGrant
{
  gsRequestId Id;
  std::uint64_t Link = 0; ///< Connection to the entry host.
  std::string Pool;
  std::string Upstream;
  std::string Address;
  std::string Incarnation; ///< Of the upstream; empty if unknown.
  gsTime StartTimeout{};   ///< After which the grant may not be used.
  // The remaining members are for the decision log.
  std::uint32_t Tier = 0;
  std::string Organisation;
  gsTime WaitTime{};
  bool OnReservedSlot = false;
  std::string Candidates; ///< Usable upstreams with their load.
  char const* Cause = "";
};

/** Refusal of a request, before or after it was queued. */
struct gsRefusal
{
  gsRequestId Id;
  std::uint64_t Link = 0; ///< Connection to the entry host.
  std::string Pool;
  gsRefusalCause Cause = gsRefusalCause::QueueFull;
  gsTime RetryAfter{}; ///< Suggested to the caller.
  // The remaining members are for the decision log.
  std::uint32_t Tier = 0;
  std::string Organisation;
  std::string Template;
  gsTime WaitTime{};
  /** Lower-tier requests in the shared queue at the time of refusal. */
  std::uint32_t LowerTierWaiting = 0;
  /** Lower-tier grants on shared slots while the request waited. */
  std::uint64_t LowerTierGrants = 0;
};

/** A change of an upstream's state, for the log. */
struct gsUpstreamEvent
{
  std::string Upstream;
  std::string Event;
  std::string Detail;
};

/** Decisions of a tick, for the caller to carry out. */
struct gsPoolOutput
{
  std::vector<gsGrant> Grants;
  std::vector<gsRefusal> Refusals;
  std::vector<gsUpstreamEvent> Events;
};

/** Finds an upstream's row by name; null if there is none. */
gsUpstreamRow* gsFindUpstream(gsPool& pool, std::string_view name);

/** The tier's queue, created on first use. */
gsTierQueue& gsTierQueueOf(gsPool& pool, std::uint32_t rank);

/** Whether the upstream may receive requests: it is neither leaving nor
 * ejected. */
bool gsIsUsable(gsUpstreamRow const& row);

/** Number of free shared slots of an upstream; reserved slots do not count. */
std::uint32_t gsFreeSlots(gsUpstreamRow const& row);

/** Sum of the limits of all usable upstreams. */
double gsTotalLimit(gsPool const& pool);

/** Number of requests of a tier in the shared queue, that is, without a
 * reserved turn. */
std::uint32_t gsSharedWaiting(gsTierQueue const& tier);

/** Number of requests in the shared queue in tiers below the given rank. */
std::uint32_t gsLowerTierWaiting(gsPool const& pool, std::uint32_t rank);

/** Total number of grants on shared slots to tiers below the given rank. */
std::uint64_t gsLowerTierGrants(gsPool const& pool, std::uint32_t rank);

/** Runs all systems once and appends their decisions to the output. */
void gsPoolTick(gsPool& pool, gsTime now, gsPoolOutput& out);
