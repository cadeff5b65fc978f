/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * One host's table of all upstreams. A row combines the platform's listing of
 * an upstream with local observations: the exact load from this host's
 * attempts, the load last reported by other hosts, failures, and recently
 * processed prompt parts. gsPlacement chooses an upstream for a request;
 * gsArrangement divides the engines of a service between groups of requests.
 *
 * Cached prompt parts, retained announcements and the memory of failures are
 * bounded by gsFleetSettings. The state is one plain struct: callers pass in
 * the current time, and no function reads a clock or performs I/O.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gsEngineOrder.h"
#include "gsEngineSpeedState.h"
#include "gsFeatureMode.h"
#include "gsForwarding.h"
#include "gsHallReachability.h"
#include "gsInterference.h"
#include "gsLoadExchange.h"
#include "gsOverload.h"
#include "gsPrefixDirectory.h"
#include "gsRateLimit.h"
#include "gsSoftwareVersion.h"
#include "gsTypes.h"
#include "gsUpstreamAnnouncement.h"

/** A part of a prompt. Parts with the same Id have the same text. */
struct gsPromptPart
{
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;
};

/** One start of an upstream. A restart under the same id creates a new
 * incarnation, which has no state of the previous one. */
struct gsIncarnation
{
  std::string Id;
  std::uint64_t StartedAt = 0; ///< Unix milliseconds; 0 if not reported.

  friend bool operator==(gsIncarnation const& a, gsIncarnation const& b)
  {
    return a.StartedAt == b.StartedAt && a.Id == b.Id;
  }
};

/** An upstream's entry in the platform's listing. */
struct gsListedUpstream
{
  std::string Id; ///< Unchanged by a restart.
  /** Start time of this incarnation, Unix milliseconds. 0 if the platform
   * reports none; the id alone then identifies the incarnation. */
  std::uint64_t StartedAt = 0;
  std::string Service;
  std::string Address; ///< IP:port; may be reassigned later.
  std::string Hall;
  std::uint32_t Slots = 1; ///< Requests that it processes concurrently.
  /** Of its software; see gsSoftwareVersionHash. Zero if unknown. */
  std::uint32_t SoftwareVersion = 0;
  bool Leaving = false; ///< It is shutting down and gets no new requests.
  /** The platform may withdraw it at short notice, together with all other
   * withdrawable upstreams of its hall. */
  bool Withdrawable = false;
  gsTime
    RemainingColdTime{}; ///< Remaining cold time when the listing was read.
};

/** Load of an upstream from attempts without a complete answer. */
struct gsOutstandingLoad
{
  std::uint32_t OpenAttempts = 0; ///< Attempts, including those queued.
  std::uint64_t PendingPromptTokens =
    0;                            ///< Prompts without a first output token.
  std::uint64_t MemoryTokens = 0; ///< Prompts and answers combined.
};

/** Load of one attempt at its upstream. */
struct gsAttemptLoad
{
  std::uint32_t Priority = 0;            ///< Of the route.
  std::uint32_t PendingPromptTokens = 0; ///< Zero from the first token on.
  std::uint32_t MemoryTokens = 0;        ///< Until the attempt ends.
  bool IsWaiting = true;                 ///< Without a first token.
};

/** Recent demand for a service, as exponentially decaying sums. */
struct gsDemand
{
  /** Engine time of requests of gsFleetGroup::Long, in prompt tokens. */
  double LongTokens = 0;
  /** Engine time of all other requests, in prompt tokens. */
  double TightTokens = 0;
  gsTime DecayedAt{}; ///< When the decay was last applied.
  /** The same sums of all other hosts combined, as last reported. */
  double OthersLongTokens = 0;
  double OthersTightTokens = 0;
  /**
   * Smoothed time for which an attempt holds a slot of an engine for long
   * prompts, and of any other engine; milliseconds, zero until an attempt has
   * ended.
   */
  double LongHoldMillis = 0;
  double TightHoldMillis = 0;
  /** Smoothed time from the first token of an attempt to its end, by priority
   * of the route; milliseconds. */
  std::map<std::uint32_t, double> RunMillis;
  gsTime FirstRequestAt{}; ///< First request of any host; zero before.
  /** Open attempts of all hosts at all upstreams by priority of the route: the
   * recent maximum, which decays. See gsSetOpenAttempts. */
  std::map<std::uint32_t, double> RecentOpenAttempts;
  gsTime OpenAttemptsSetAt{}; ///< When RecentOpenAttempts was last updated.
  /** Subjects of this host's requests, with the time of the last one. Used and
   * bounded only if decisions use engine speeds. */
  std::unordered_map<std::uint64_t, gsTime> Subjects;
  gsTime DecidedAt{}; ///< Last time this host decided the arrangement.
  gsTime
    SlowDecidedAt{}; ///< Last time this host decided which engines are slow.
};

/** Listing, load and observations of one upstream. */
struct gsFleetRow
{
  gsListedUpstream Listed;
  /** Hash of the incarnation; identifies it in messages between hosts. */
  std::uint32_t Hash = 0;
  /** When this host detected a restart under the same id; zero if there was
   * none. */
  gsTime RestartedAt{};
  gsTime ListedAt{}; ///< When the row was added.
  gsEngineSpeedState Speed;
  /** Whether the arrangement shared by all hosts lists it as slow. */
  bool IsSlow = false;
  /** It is cold until then and overloads above a few requests per second. */
  gsTime ColdUntil{};
  gsTime ColdSentAt{}; ///< Last request of this host while it was cold.
  /**
   * Group of the engine before the last change of the arrangement; empty if
   * the engine was not listed at that time.
   */
  std::optional<gsFleetGroup> PreviousGroup;
  gsOutstandingLoad OwnLoad; ///< Attempts of this host; exact.
  gsOutstandingLoad
    OthersLoad;                ///< Sum of the last reports of all other hosts.
  gsUrgencyLoads OwnByUrgency; ///< Parts of OwnLoad.
  gsUrgencyLoads OthersByUrgency; ///< Known parts of OthersLoad.
  gsTime OthersReportedAt{};      ///< Time of the oldest report in OthersLoad.
  /** Backoff after connection failures: no requests are sent until then. */
  gsTime AvoidUntil{};
  std::uint32_t ConsecutiveConnectFailures =
    0; ///< Consecutive connection failures.
  /** It has rejected a request recently and counts as full until then. This
   * only raises its cost, whereas a pause that it has announced excludes it.
   */
  gsTime FullUntil{};
  /** What this incarnation has announced in its answers. Preserved when the
   * row is updated, and when it is removed and added again. */
  gsAnnouncedState Announced;
  /** Smoothed share of failed attempts at FailureRateUpdatedAt; decays with
   * time. */
  double FailureRate = 0;
  gsTime FailureRateUpdatedAt{};
  gsTime LastReceivedAt{}; ///< Last progress of any answer.
  gsTime LastBrokenAt{};   ///< When an answer last broke off.
  gsTime MaxConnectionIdle =
    gsSeconds(4); ///< Maximum idle time of a reused
                  ///< connection; updated from answers.
  /**
   * Recent minimum interval between events of the engine's streams in
   * milliseconds, which is its speed without interference. Zero until enough
   * events were received.
   */
  double EventIntervalMillis = 0;
  gsTime EventIntervalWindowStart{}; ///< Start of the window of that minimum.
  double SampleMinMillis = 0; ///< Minimum of the current sample; milliseconds.
  std::uint32_t SampleCount = 0; ///< Intervals in the current sample.
  double OthersEventIntervalMillis =
    0; ///< Minimum reported by any other host.
  /** Prompt parts that this host's requests have sent there, by
   * gsPromptPart::Id, with the time of the last use. */
  std::unordered_map<std::uint64_t, gsTime> CachedParts;
  /** Whether the row is listed in gsFleet::ReportableRows. */
  bool IsReportable = false;
};

/** Announcements of an upstream that currently has no row. */
struct gsRetainedAnnouncement
{
  std::uint64_t StartedAt = 0; ///< Incarnation that made the announcements.
  gsAnnouncedState Announced;
  gsTime RetainedAt{}; ///< Start of the retention.
};

/** Settings of the prefix directory in placement; see gsSubjectPlacement.h. */
struct gsPrefixPlacementSettings
{
  gsFeatureMode Mode = gsFeatureMode::Off;
  /** Share of an engine's time that a subject may need before it is served by
   * one more engine. */
  double EngineShare = 0.35;
  /** Minimum number of shared tokens of a tracked subject. */
  std::uint32_t MinTokens = 1000;
};

/** Settings of placement and arrangement, and this host's location. Costs are
 * expressed in prompt tokens that are processed before a request's first
 * output token. */
struct gsFleetSettings
{
  std::string Host; ///< Name of this host.
  std::string Hall; ///< Hall of this host.
  /** Region by hall; empty if there is only one region. */
  std::map<std::string, std::string, std::less<>> Regions;
  double RunningCost = 40;    ///< Cost of one running request.
  double OtherHallCost = 60;  ///< Cost of an upstream of another hall.
  double FailureCost = 20000; ///< Cost of an upstream that always fails.
  double QueuedCost = 1500;   ///< Cost of each request above the slots.
  /** Additional cost per token of processing a shared prompt part again that
   * another engine has cached. */
  double ReprocessWeight = 100;
  /** The same if that engine can transfer the part. */
  double TransferWeight = 10;
  /** Minimum number of shared tokens for which a transfer is requested. */
  std::uint32_t MinTransferTokens = 64;
  /** Cost of an engine that is assigned to the other group. */
  double OtherGroupCost = 30000;
  /** Cost of a long prompt at an engine for tight streams, which it delays. */
  double InterferenceCost = 600000;
  /** Cost of each token of waiting time up to TargetShare of the target. */
  double InTargetWaitWeight = 0.2;
  /** Cost of each token of waiting time beyond TargetShare of the target. */
  double LateWaitWeight = 1;
  double TargetShare = 0.5;
  /**
   * Duration of one decoding step of an engine, in prompt tokens that it
   * processes in that time. A step generates one token for each running
   * request.
   */
  double StepTokens = 240;
  bool DivideEngines = true; ///< Divide engines between groups of requests.
  /** Cost of an engine whose memory the request would exhaust. */
  double MemoryExhaustedCost = 5000;
  /** Cost of an answer that would certainly begin after its target. */
  double TargetMissCost = 450000;
  /**
   * Upper bound of the cost added to engines that hold no part of a subject,
   * in an order that differs between subjects. Without it, all hosts send the
   * requests that leave an engine to the one that appears emptiest in their
   * load data, which is some tenths of a second old.
   */
  double MaxSpreadCost = 100000;
  /** Share of an engine's memory that all requests may use together. */
  double MaxMemoryShare = 0.95;
  /** Time after the first request from which demand is known well enough to
   * divide engines by it. */
  gsTime MinDemandTime = gsMilliseconds(300);
  /** Long enough for a stable group size, short enough to follow a burst. */
  gsTime DemandHalfLife = gsSeconds(2);
  /**
   * Slots that are kept for more urgent requests, as a multiple of those that
   * they recently used.
   */
  double ReservedSlotFactor = 2;
  /** Maximum share of an upstream's slots that is kept for them. */
  double MaxReservedSlotShare = 0.75;
  /** Half-life of the use of slots by which they are kept. */
  gsTime ReservedSlotHalfLife = gsSeconds(5);
  /**
   * Minimum interval between decisions on the arrangement: a constant plus a
   * time per engine of the service. Each change moves subjects to other
   * engines, and the more engines there are, the more subjects it moves.
   */
  gsTime DecisionInterval = gsMilliseconds(250);
  gsTime DecisionIntervalPerEngine = gsMilliseconds(7);
  /** Minimum interval between decisions on which engines are slow, per engine
   * of the service. */
  gsTime SlowDecisionIntervalPerEngine = gsMilliseconds(30);
  gsTime PartRetention = gsSeconds(20); ///< Retention of cached prompt parts.
  /** Lifetime of other hosts' load reports; see
   * gsLoadSettings::MaxHostReportAge. */
  gsTime OthersLoadLifetime = gsMilliseconds(7500);
  std::size_t MaxParts = 2000; ///< Maximum cached parts per upstream.
  /** Longest time from when an upstream begins a stream until its caller no
   * longer resumes it; see gsLongestStreamTime. */
  gsTime MaxStreamTime = gsSeconds(30);
  /** All hosts of the system start for the first time by their settings, which
   * may be out of date if this host has started again. */
  bool IsFirstStart = false;
  /** Retention of announcements of upstreams without a row. A platform that
   * is unavailable for minutes loses rows and lists them again later. */
  gsTime AnnouncementRetention = std::chrono::minutes(10);
  /** Sufficient for the releases of a whole fleet; about 100 KB. */
  std::size_t MaxRetainedAnnouncements = 1024;
  gsHallReachabilitySettings HallReach;
  gsPrefixPlacementSettings Prefixes;
  gsFeatureMode EngineSpeed = gsFeatureMode::Off; ///< See gsEngineSpeed.h.
};

/**
 * All upstreams with their indexes. The cost of adding, updating or removing
 * one row does not grow with the number of rows, except for moving a few bytes
 * per row of its service in the sorted indexes.
 */
struct gsFleet
{
  gsFleetSettings Settings;
  std::vector<gsFleetRow>
    Rows; ///< Unordered; the last row replaces a removed one.
  std::unordered_map<std::string, std::size_t> ById;
  /** By gsFleetRow::Hash; one of the rows if several have the same hash. */
  std::unordered_map<std::uint32_t, std::size_t> ByHash;
  /** Rows by service; slow engines first, then by hash. */
  std::unordered_map<std::string, std::vector<std::size_t>> ByService;
  /** Rows by service on the hash ring that determines the preferred engines
   * of subjects. */
  std::unordered_map<std::string, gsEngineRing> Rings;
  std::map<std::string, std::size_t> RowsPerHall; ///< Number of rows by hall.
  std::size_t LeavingRowCount = 0; ///< Number of rows listed as leaving.
  /** Hashes of the rows with state that this host may have to report to other
   * hosts. */
  std::vector<std::uint32_t> ReportableRows;
  std::unordered_map<std::string, gsDemand>
    Demand; ///< Recent demand by service.
  /** Latest known arrangement of each service's engines, by service. */
  std::unordered_map<std::string, gsEngineArrangement> Arrangements;
  gsHallReachabilityMap HallReachability; ///< Reachability of other halls.
  gsUpstreamPath Path; ///< Whether this host reaches any upstream.
  /** When bytes were last received from any upstream of another hall; by
   * hall. */
  std::map<std::string, gsTime, std::less<>> HallLastReceivedAt;
  /** Halls that the operator has evacuated, with the start time. Their
   * upstreams get no new requests. */
  std::map<std::string, gsTime, std::less<>> EvacuatedSince;
  std::unordered_map<std::string, gsEngineTiming>
    EngineTimings; ///< Engine speed by service.
  /** What the speeds of a service's engines are relative to; by service. */
  std::unordered_map<std::string, gsServiceSpeed> ServiceSpeeds;
  /** Hashes of the rows of which a host has measured the speed recently. */
  std::vector<std::uint32_t> MeasuredRows;
  /** Announcements of upstreams without a row; by id. */
  std::unordered_map<std::string, gsRetainedAnnouncement>
    RetainedAnnouncements;
  gsRateLimits RateLimits; ///< Limits by gsFleetRow::Hash.
  /** Rejections in a second that upstreams bear, by gsFleetRow::Hash. Their
   * slots are in SlotLimits. */
  gsRateLimits RejectionLimits = gsMakeRejectionLimits();
  /** Shared slots of services with fewer slots than hosts, by
   * gsFleetRow::Hash. */
  gsRateLimits SlotLimits = gsMakeSlotLimits();
  gsPrefixDirectory Prefixes; ///< Engines are identified by gsFleetRow::Hash.
  std::unordered_map<std::string, gsVersionHistory>
    VersionHistories; ///< By service.
  /** How often a version of a service was first listed or no longer. */
  std::uint64_t VersionChanges = 0;
  /** Admission by service; empty unless the feature is active. */
  std::unordered_map<std::string, gsOverload> Overload;
};

/**
 * Adds an upstream or updates its listing. Observations are preserved unless
 * the upstream has been restarted.
 */
void gsFleetUpsert(gsFleet& fleet, gsListedUpstream const& listed, gsTime now);

/** Removes an upstream's row, and retains its announcements in case the row
 * is listed again. */
void gsFleetRemove(gsFleet& fleet, std::string_view id, gsTime now = gsTime{});

/** Replaces the listing: adds or updates each entry, and removes the rows of
 * all other upstreams. */
void gsFleetReplaceListing(gsFleet& fleet,
                           std::vector<gsListedUpstream> const& listed,
                           gsTime now = gsTime{});

/** Replaces the set of evacuated halls. Halls that were evacuated before keep
 * their start time. */
void gsSetEvacuatedHalls(gsFleet& fleet, std::set<std::string> const& halls,
                         gsTime now);

/** Whether the platform lists the upstream as leaving, or the upstream has
 * announced it itself. */
bool gsIsLeaving(gsFleetRow const& row);

/** Whether an upstream may get new requests: it is not leaving, has not asked
 * for a pause, and its hall is not evacuated. Checked by every placement, and
 * once more immediately before a request is sent. */
bool gsAcceptsRequests(gsFleet const& fleet, gsFleetRow const& row,
                       gsTime now);

/**
 * Applies an upstream's announcement from an answer, also if it has no row;
 * ignores announcements of an incarnation other than the listed one. \return
 * Whether the known state has changed.
 */
bool gsApplyAnnouncement(gsFleet& fleet, gsIncarnation const& upstream,
                         gsUpstreamAnnouncement const& word, gsTime now);

/** The row of an upstream; null if it is not listed. */
gsFleetRow* gsFleetFind(gsFleet& fleet, std::string_view id);

/** The row of an incarnation; null also if a different one is listed. */
gsFleetRow* gsFleetFind(gsFleet& fleet, gsIncarnation const& incarnation);

gsIncarnation gsIncarnationOf(gsListedUpstream const& listed);

/** Identifies an incarnation in messages between hosts; stored in
 * gsFleetRow::Hash. */
std::uint32_t gsIncarnationHash(gsIncarnation const& incarnation);

/** The minimum event interval measured by any host, milliseconds; zero if
 * there is none. */
double gsEventIntervalMillis(gsFleetRow const& row);

/** Records an interval between two events of a stream. */
void gsRecordEventInterval(gsFleet& fleet, gsFleetRow& row, gsTime interval,
                           gsTime now);

/** Clears event intervals that this host has not measured again recently. */
void gsExpireEventIntervals(gsFleet& fleet, gsTime now);

/** Marks a row as having state to report to other hosts. */
void gsMarkReportable(gsFleet& fleet, gsFleetRow& row);

/**
 * Calls a function with each row that has state to report to other hosts, and
 * unmarks the other rows. The run time is linear in the number of marked rows,
 * not in the number of all rows.
 */
template<typename Function>
void gsForEachReportable(gsFleet& fleet, gsTime now, Function const& function);

/** Load of an upstream by this host and, unless their reports have expired,
 * by all other hosts. */
gsOutstandingLoad gsTotalLoad(gsFleet const& fleet, gsFleetRow const& row,
                              gsTime now);

/** Adds an attempt of this host to the load of its upstream. */
void gsAddAttempt(gsFleet& fleet, gsFleetRow& row, gsAttemptLoad const& load);

/** Updates the load when the first token of an attempt has come. */
void gsRecordFirstToken(gsFleetRow& row, gsAttemptLoad& load);

/** Removes an attempt that has ended from the load of its upstream. */
void gsRemoveAttempt(gsFleetRow& row, gsAttemptLoad const& load);

/** Whether the reports in the row's OthersLoad have not expired. */
bool gsIsOthersLoadValid(gsFleet const& fleet, gsFleetRow const& row,
                         gsTime now);

/** Records that an upstream has processed, and may have cached, the parts of
 * a prompt. */
void gsRecordCachedParts(gsFleet const& fleet, gsFleetRow& row,
                         std::vector<gsPromptPart> const& parts, gsTime now);

/** Updates the failure rate after an attempt has ended. */
void gsRecordOutcome(gsFleetRow& row, bool failed, gsTime now);

/**
 * Records that an upstream has rejected an attempt. Its load then includes
 * work that no host reports, such as requests of failed hosts.
 */
void gsRecordRejection(gsFleet& fleet, gsFleetRow& row, gsTime now);

/** This host's load at an upstream as reported to other hosts; includes all
 * slots if the upstream counts as full after a rejection. */
gsOutstandingLoad gsOwnLoad(gsFleetRow const& row, gsTime now);

/** Records a connection failure and extends the backoff. */
void gsRecordUnreachable(gsFleetRow& row, gsTime now);

/**
 * Records a connection failure of an upstream, and of its hall if that is
 * another hall. \return Whether the hall is considered unreachable from now
 * on.
 */
bool gsRecordConnectFailure(gsFleet& fleet, gsFleetRow& row, gsTime now);

/**
 * Ends the backoff of upstreams in unreachable halls that have sent bytes
 * again, and expires old failures of halls. To be called periodically, also
 * without requests.
 */
void gsRefreshHalls(gsFleet& fleet, gsTime now);

/** Records that bytes of an answer were received; ends the backoff. */
void gsRecordReceived(gsFleet& fleet, gsFleetRow& row, gsTime now);

/** The failure rate, decayed until now. */
double gsFailureRate(gsFleetRow const& row, gsTime now);

template<typename Function>
void gsForEachReportable(gsFleet& fleet, gsTime now, Function const& function)
{
  std::size_t count = 0;
  for (std::uint32_t hash : fleet.ReportableRows) {
    auto found = fleet.ByHash.find(hash);
    if (found == fleet.ByHash.end()) {
      continue;
    }
    gsFleetRow& row = fleet.Rows[found->second];
    row.IsReportable = row.OwnLoad.OpenAttempts > 0 || now < row.FullUntil ||
                       row.EventIntervalMillis > 0 ||
                       !row.Speed.Samples.empty();
    if (row.IsReportable) {
      fleet.ReportableRows[count++] = hash;
      function(row);
    }
  }
  fleet.ReportableRows.resize(count);
}
