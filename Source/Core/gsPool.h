/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A pool: the upstreams of one hall that serve one service, and the one queue
 * in front of them. Its state is plain tables; the systems that run over them
 * each tick are declared in gsAdmit.h, gsOrder.h, gsDispatch.h, gsLimit.h and
 * gsHealth.h. Nothing here reads a clock or does I/O.
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

/** A request as its pool's dispatcher sees it; the body stays behind. */
struct gsAsk
{
  gsRequestId Id;
  std::string Pool;
  std::string Organisation;
  std::string Template;
  std::uint32_t Tier = 0; ///< Rank; 0 is the highest.
  double Weight = 1.0;    ///< The organisation's share within the tier.
  std::uint32_t PromptTokens = 0;
  gsTime Waited{};  ///< Time spent waiting before this ask.
  gsTime MaxWait{}; ///< Total wait after which the request is given up.
  std::uint64_t Affinity = 0; ///< Hash of the shared context; 0 for none.
  gsTime FirstToken{};        ///< Target.
  gsTime TokenGap{};          ///< Target.
  std::string Avoid;          ///< An upstream that just failed this request.
  bool Force = false;         ///< Queue it even if not the dispatcher.
  /** Queue it even while all upstreams are ejected. */
  bool Patient = false;
};

enum class gsHealth
{
  Healthy,
  Ejected, ///< Gets nothing until RetryAt.
  Probing  ///< Gets one request at a time until one succeeds.
};

/** How a grant ended, as the entry host reports it. */
enum class gsOutcome : std::uint32_t
{
  Whole = 0,   ///< A whole answer.
  Unused = 1,  ///< The grant was not used.
  Refused = 2, ///< The upstream did not accept the connection.
  Failed = 3,  ///< Error answer, or the connection broke.
  Stalled = 4, ///< No progress within the limit.
  Left = 5     ///< The caller left.
};

/** Measurements of one grant. */
struct gsMeasured
{
  std::uint64_t Tokens = 0;
  gsTime FirstToken{}; ///< From send to first byte of the answer.
  gsTime TokenGap{};   ///< Mean time between tokens.
  gsTime Duration{};   ///< From send to end.
};

/** Measurements of one tier in the current window of an upstream. */
struct gsLateCount
{
  std::uint32_t Samples = 0;
  std::uint32_t Late = 0;
  std::uint32_t Gaps = 0;
  double GapSum = 0; ///< Of token gap over target.
};

/** An upstream in the dispatcher's table. */
struct gsUpstreamRow
{
  std::string Name;
  std::string Address;
  std::string Incarnation; ///< As its load report says.
  bool Leaving = false;    ///< One-way for the upstream's incarnation.
  bool Adaptive = true;
  double Limit = 8;
  double MaxLimit = 64;
  std::uint32_t Running = 0;  ///< Under the limit; always exact.
  std::uint32_t Reserved = 0; ///< On reserved slots, above the limit.
  gsHealth Health = gsHealth::Healthy;
  gsTime RetryAt{};
  std::uint32_t Ejections = 0;       ///< In a row; doubles the back-off.
  std::uint32_t Failures = 0;        ///< In a row.
  std::uint32_t UnansweredPolls = 0; ///< In a row.
  /** Ejected for not being reachable: the next answered poll ends that. */
  bool Unreachable = false;
  // The current window of the limit system.
  gsTime WindowStart{};
  std::vector<gsLateCount> Late; ///< By tier.
  bool Saturated = false;
  double Gap = 0; ///< Smoothed token gap over target.
  /** Queue that the upstream itself reported, and when. */
  std::uint32_t ReportedWaiting = 0;
};

struct gsWaitingRow
{
  gsAsk Ask;
  gsTime Arrived;  ///< When the request first began to wait.
  gsTime Deadline; ///< Arrived plus the longest wait.
  std::uint64_t Link = 0;
  std::uint64_t Order = 0; ///< Rises with each ask of the pool.
  /** Keeps a reserved slot's turn; never counts as shared queue. */
  bool Reserved = false;
  /** Grants to lower tiers on shared slots since it began to wait. */
  std::uint64_t LowerGrantsBefore = 0;
};

struct gsRunningRow
{
  std::string Upstream;
  std::string Organisation;
  std::string Template;
  std::uint32_t Tier = 0;
  double Weight = 1.0;
  double Estimate = 0; ///< Tokens charged at dispatch.
  bool Reserved = false;
  std::uint64_t Link = 0;
  gsTime Started{};
  gsTime FirstTokenTarget{};
  gsTime GapTarget{};
};

/** Waiting requests of one organisation in one tier, oldest first. */
struct gsOrganisationQueue
{
  double Service = 0; ///< Weighted tokens served, the fair-queue clock.
  // Ids not in the waiting table any more are skipped.
  std::deque<gsRequestId> Ids;  ///< Those that can still be in target.
  std::deque<gsRequestId> Late; ///< Those that cannot; served after Ids.
  std::uint32_t Waiting = 0;    ///< Of both, those still waiting.
};

struct gsTierQueue
{
  std::map<std::string, gsOrganisationQueue> Organisations;
  double Clock = 0; ///< Service of the organisation last served.
  std::uint32_t Waiting = 0;
  /** Of those waiting, the ones with a reserved turn; only a few. */
  std::vector<gsRequestId> Reserved;
  std::uint64_t Granted = 0; ///< Grants on shared slots so far.
  std::uint32_t Running = 0; ///< On shared slots.
  /** Recent most of running and waiting together; decays. */
  double Peak = 0;
  gsTime AgeLimit = gsSeconds(5);
};

/** Limits of a pool; see docs/OPERATIONS.md for what each means. */
struct gsPoolSettings
{
  std::uint32_t QueueLimit = 1000;
  std::uint32_t ReservedPerTier = 4;
  double ReservedShare = 0.05;
  gsTime LimitWindow = gsMilliseconds(250);
  double LateShare = 0.05;
  std::uint32_t EjectAfter = 3;
  gsTime EjectBase = gsSeconds(1);
  gsTime EjectMax = gsSeconds(60);
  double OutlierFactor = 3.0;
  double AffinityLoad = 1.25;
  gsTime StartWithin = gsSeconds(2);
  bool Affinity = true;
  /** Serve first what can still be in target, within an organisation. */
  bool InTargetFirst = true;
  /** Most of all slots that lower tiers leave free for higher ones. */
  double HeadroomMost = 0.25;
  gsTime HeadroomMemory = gsSeconds(200);
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
  std::uint64_t NextOrder = 1;
  std::uint32_t NextReservedTier = 0;
  gsTime LastShed{};
  gsTime LastPeaks{};
  gsTime LastReserve{};
  gsTime LastExpiry{};
};

/** Why a request was refused. */
enum class gsRefusalCause
{
  QueueFull,
  Infeasible, ///< It would wait longer than it may.
  Expired,    ///< It did wait as long as it may.
  NoUpstream, ///< The pool has no upstream that could serve it.
  AllEjected, ///< It has some, and all are ejected for now.
};

char const* gsCauseWord(gsRefusalCause cause);

struct gsGrant
{
  gsRequestId Id;
  std::uint64_t Link = 0;
  std::string Pool;
  std::string Upstream;
  std::string Address;
  std::string Incarnation; ///< Of the upstream, as far as known.
  gsTime StartWithin{};
  // For the decision log.
  std::uint32_t Tier = 0;
  std::string Organisation;
  gsTime Waited{};
  bool Reserved = false;
  std::string Candidates;
  char const* Cause = "";
};

struct gsRefusal
{
  gsRequestId Id;
  std::uint64_t Link = 0;
  std::string Pool;
  gsRefusalCause Cause = gsRefusalCause::QueueFull;
  gsTime RetryAfter{};
  // For the decision log.
  std::uint32_t Tier = 0;
  std::string Organisation;
  std::string Template;
  gsTime Waited{};
  /** Lower-tier requests in the shared queue at that moment. */
  std::uint32_t LowerWaiting = 0;
  /** Lower-tier grants on shared slots while it waited. */
  std::uint64_t LowerGranted = 0;
};

/** A change of an upstream's state, for the log. */
struct gsUpstreamEvent
{
  std::string Upstream;
  std::string Event;
  std::string Detail;
};

/** What a tick decided; the caller carries it out. */
struct gsPoolOutput
{
  std::vector<gsGrant> Grants;
  std::vector<gsRefusal> Refusals;
  std::vector<gsUpstreamEvent> Events;
};

/** Finds an upstream's row by name. */
gsUpstreamRow* gsFindUpstream(gsPool& pool, std::string_view name);

/** The tier's queue, made when it is first needed. */
gsTierQueue& gsTierOf(gsPool& pool, std::uint32_t rank);

/** Whether the upstream may get any request now. */
bool gsUsable(gsUpstreamRow const& row);

/** Slots of the shared kind that are free on this upstream. */
std::uint32_t gsFreeSlots(gsUpstreamRow const& row);

/** Sum of the limits of all usable upstreams. */
double gsTotalLimit(gsPool const& pool);

/** Requests of the tier in the shared queue: without reserved turns. */
std::uint32_t gsSharedWaiting(gsTierQueue const& tier);

/** Requests of the shared queue in tiers below (after) the given rank. */
std::uint32_t gsWaitingBelow(gsPool const& pool, std::uint32_t rank);

/** Grants on shared slots to tiers below the given rank, so far. */
std::uint64_t gsGrantedBelow(gsPool const& pool, std::uint32_t rank);

/** Runs all systems once. Out is appended to. */
void gsPoolTick(gsPool& pool, gsTime now, gsPoolOutput& out);
