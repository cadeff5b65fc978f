/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Finds in the logs of all hosts the moments at which the system came close to
 * breaking a promise of docs/PROOFS.md.
 *
 * The report covers requests sent to leaving upstreams, routes that were
 * starved by less urgent routes, streams that their host closed before they
 * were complete, planned stops, and divergent replicas of tables. All times
 * are those of the clocks of the hosts, which may differ by some milliseconds.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gsLogRecord.h"

/** Maximum time from the moment at which the first host detects that an
 * upstream is leaving until the last request is sent to it; promise 6. */
constexpr gsTime gsNearMissLeavingBound = gsMilliseconds(3000);
/** Share of the maximum time above which the last request of a host is listed
 * in the report. */
constexpr double gsNearMissLeavingShare = 0.5;
/** Length of the windows in which the requests of a route are counted; rule
 * TIER. */
constexpr gsTime gsNearMissWindow = gsSeconds(5);
/** Minimum number of unserved requests of a route in a window for which rule
 * TIER applies. */
constexpr std::uint64_t gsNearMissMinUnserved = 10;
/** Share of unserved requests of a route above which a window is reported:
 * half of the twelfth that rule TIER allows. */
constexpr double gsNearMissUnservedShare = 0.5 / 12;
/** Ratio to the mean prompt of a route above which a prompt of another route
 * counts as larger; rule TIER. */
constexpr double gsNearMissLargerPromptRatio = 2;
/** Time after the start of a stop from which on new requests are counted as
 * late: the longest time in which a load balancer should detect the stop. */
constexpr gsTime gsNearMissStopDetectionTime = gsSeconds(1);

/** Time after an upstream has announced that it is leaving, within which the
 * host may still send requests to it. */
constexpr gsTime gsNearMissAnnouncementGracePeriod = gsSeconds(2);
/** Time after an upstream has asked to retry later, within which requests are
 * not counted because they may already have been in flight. */
constexpr gsTime gsNearMissRetryDelayGracePeriod = gsMilliseconds(500);
/** Maximum number of requests that a host may send to an upstream during a
 * retry delay. */
constexpr std::uint64_t gsNearMissMaxRetryDelayRequests = 2;

/** Summary of a distribution of durations. */
struct gsDurationSummary
{
  std::size_t Count = 0;
  gsTime Median{};
  gsTime P95{}; ///< 95th percentile by the nearest-rank method.
  gsTime Max{};
};

/** The last request of a host to an upstream that was known to be leaving. */
struct gsLastUpstreamRequest
{
  std::string Upstream;
  std::string Host;
  std::string RequestId;
  gsTime Delay{}; ///< Time since the first host detected the leaving.
};

/** An upstream that left or was removed from the table. */
struct gsLeavingUpstream
{
  std::string Upstream;
  std::string FirstHost; ///< The first host that detected the leaving.
  gsTime DetectedAt{};   ///< When FirstHost detected it.
  gsDurationSummary LastRequestDelays; ///< Of the last requests of all hosts
                                       ///< that sent any later.
};

/** An announcement of an upstream that the receiving host did not respect. */
struct gsIgnoredAnnouncement
{
  std::string Upstream;
  std::string Host;
  /** Whether the upstream announced that it is leaving; otherwise it asked to
   * retry later. */
  bool Leaving = false;
  gsTime AnnouncedAt{};           ///< When the announcement was received.
  std::uint64_t RequestCount = 0; ///< Requests sent in spite of it.
  gsTime LastRequestDelay{}; ///< Time from the announcement until the last
                             ///< such request.
  std::string LastRequest;
};

/** Numbers of unserved requests by cause. */
struct gsUnservedCounts
{
  std::uint64_t Rejected = 0;   ///< Rejected by an upstream without execution.
  std::uint64_t NoUpstream = 0; ///< No upstream or connection, or not sent.
  std::uint64_t CallerLeft = 0; ///< Caller closed before any event or answer.
  std::uint64_t Incomplete = 0; ///< Ended without a complete answer.
  std::uint64_t TimedOut = 0;

  std::uint64_t Total() const;
};

/**
 * A route of a service of which too many requests in some window were unserved
 * while requests of less urgent routes started at the same service.
 * Overlapping windows are merged into one; the numbers are those of the window
 * with the highest share of unserved requests.
 */
struct gsStarvedRoute
{
  std::string Service;
  std::string Route;
  std::uint32_t Priority = 0; ///< Lower values are more urgent.
  gsTime From{};              ///< Start of the first window.
  gsTime Until{};             ///< End of the last window.
  gsTime WorstWindowAt{};     ///< Start of the window with the highest share.
  std::uint64_t RequestCount = 0; ///< Requests that arrived.
  gsUnservedCounts Unserved;
  /** Requests that an upstream answered with a failure; not counted as
   * unserved. */
  std::uint64_t FailedRequests = 0;
  /** Requests of less urgent routes that started. */
  std::uint64_t LessUrgentStarted = 0;
  /** Requests of less urgent routes that started with a prompt more than
   * gsNearMissLargerPromptRatio times as large as the mean prompt of this
   * route. */
  std::uint64_t LargerPromptStarted = 0;
  /** Mean prompt of the less urgent requests divided by that of this route; 0
   * if the logs contain no prompt sizes. */
  double PromptRatio = 0;

  /** Unserved requests divided by all requests. */
  double UnservedShare() const;
};

/** Streams of a route that ended with the same cause, incomplete, after their
 * callers had received events. */
struct gsInterruptedStreams
{
  /** One of silence, upstream_broke, stop and timeout, or another value of the
   * result field. */
  std::string Cause;
  std::string Route;
  std::uint64_t StreamCount = 0;
  gsTime LastAt{};
  std::string LastHost;
  std::string LastRequest;
};

/** A planned stop of a host. */
struct gsPlannedStop
{
  std::string Host;
  gsTime StartedAt{}; ///< When the stop started.
  bool Ended = false; ///< The log contains the end of the stop.
  gsTime Duration{};  ///< Duration; set if Ended.
  std::uint64_t InterruptedRequests = 0; ///< Requests interrupted by the stop.
  std::uint64_t OpenExchanges = 0;       ///< HTTP exchanges open at the end.
  std::uint64_t UnreadConnections =
    0; ///< Connections with unread data at the end.
  std::uint64_t LateRequests =
    0; ///< Requests begun after gsNearMissStopDetectionTime.
  gsTime LastLateRequestDelay{}; ///< From the start of the stop to the last of
                                 ///< them.
  std::string LastLateRequest;   ///< Id of the last of them.
};

/** Divergence of a replica from those of other hosts, as detected by its
 * host. */
struct gsDivergentTable
{
  std::string Host;
  std::string Table;
  std::uint64_t DetectionCount = 0; ///< How often it was detected.
  std::string Peer;                 ///< Other host, at the last detection.
  std::string Version;              ///< At the last detection.
  std::string Rows;                 ///< Number of rows, at the last detection.
  std::string PeerRows; ///< Number of rows at Peer, at the last detection.
};

/** A version of the upstreams' table up to which several replicas are complete
 * although they contain different rows. */
struct gsDivergentVersion
{
  std::uint64_t Version = 0;
  /** Hosts by the row counts of their replicas, "listed/leaving". */
  std::map<std::string, std::vector<std::string>> HostsByRowCounts;
  /** Longest time for which a host used a replica whose row counts differ from
   * the most common ones. */
  gsTime LongestDivergence{};
};

/** Collects the relevant content of the logs. Hosts may be read in any order;
 * the records of one host must be in the order of its log. */
struct gsNearMissCollector
{
  /** A request from its first placement to its end. */
  struct Request
  {
    std::string Id;
    std::string Host;
    std::string Route;
    std::string Service;
    std::uint32_t Priority = 0;
    double PromptTokens = 0; ///< Prompt tokens; 0 if not logged.
    bool Stream = false;
    gsTime PlacedAt{}; ///< When it was first placed.
    /** When the first attempt was placed that the upstream did not reject;
     * zero if there was none. */
    gsTime StartedAt{};
    gsTime SentAt{}; ///< When the last attempt was placed.
    /** Upstream of the attempt in progress; empty if there is none. */
    std::string Upstream;
    bool UpstreamSilent = false; ///< An attempt ended because the upstream
                                 ///< sent nothing for too long.
    bool AttemptBroken =
      false; ///< An attempt ended without a complete answer.
    bool CallerReceivedEvents =
      false;            ///< The caller received events, as far as logged.
    std::string Result; ///< Value of the result field; empty while open.
    gsTime EndedAt{};
  };
  /** A request that an upstream may have received. */
  struct SentRequest
  {
    std::string Upstream;
    std::string Host;
    std::string RequestId;
    gsTime SentAt{};
  };
  /** A changed row of an upstream, as read by a host. */
  struct RowChange
  {
    std::string Upstream;
    std::string Host;
    /** The upstream is leaving or was removed; otherwise it was listed and may
     * receive requests. */
    bool Leaving = false;
    std::uint64_t Version = 0; ///< Row version.
    gsTime ReadAt{};
  };
  /** An announcement of an upstream in an answer to a host. */
  struct Announcement
  {
    std::string Upstream;
    std::string Host;
    bool Leaving = false;
    gsTime RetryDelay{}; ///< Retry delay; zero if the upstream asked for none.
    gsTime ReceivedAt{};
    /** When the host restarted, or the upstream restarted under the same id;
     * the announcement is void from then on. */
    gsTime ValidUntil = gsTime::max();
  };
  /** State of a host's replica of the upstreams' table, from a time on. */
  struct ReplicaState
  {
    /** Version up to which the replica is complete; zero if unknown. */
    std::uint64_t CompleteVersion = 0;
    std::string RowCounts; ///< Row counts, "listed/leaving".
    gsTime Since{};
  };

  std::size_t RecordCount = 0;
  gsTime FirstAt{}; ///< Earliest time of all records.
  std::unordered_map<std::string, Request> OpenRequests; ///< By request id.
  std::vector<Request> EndedRequests;
  std::vector<SentRequest> SentRequests;
  std::vector<RowChange> RowChanges;
  std::vector<Announcement> Announcements;
  std::map<std::string, std::vector<ReplicaState>> ReplicaStates; ///< By host.
  std::map<std::string, gsTime>
    LastRecordAt; ///< Latest time of a record, by host.
  /** Hosts whose last record is about a table update with missing rows. */
  std::set<std::string> IncompleteHosts;
  std::map<std::string, std::vector<gsPlannedStop>> PlannedStops; ///< By host.
  /** Whether the last stop of a host is in progress, by host. */
  std::map<std::string, bool> HostsStopping;
  std::vector<gsDivergentTable> DivergentTables;
};

/** Stores the content of a record; events of other kinds only count as
 * lines. */
void gsCollectNearMissRecord(gsNearMissCollector& collector,
                             gsLogRecord const& record);

/** Near misses of all hosts. */
struct gsNearMissReport
{
  gsTime FirstAt{};      ///< Earliest time of all records.
  gsTime LeavingBound{}; ///< The maximum time that was checked against.
  gsDurationSummary LastRequestDelays; ///< Of all upstreams and hosts.
  /** Sorted by the maximum of LastRequestDelays, descending. */
  std::vector<gsLeavingUpstream> LeavingUpstreams;
  /** Last requests sent after more than gsNearMissLeavingShare of
   * LeavingBound; sorted by delay, descending. */
  std::vector<gsLastUpstreamRequest> LateRequests;
  std::vector<gsIgnoredAnnouncement>
    IgnoredAnnouncements;                    ///< In order of time.
  std::vector<gsStarvedRoute> StarvedRoutes; ///< In order of time.
  std::vector<gsInterruptedStreams> InterruptedStreams;
  std::vector<gsPlannedStop> PlannedStops; ///< In order of time.
  std::vector<gsDivergentTable> DivergentTables;
  std::vector<gsDivergentVersion> DivergentVersions;
};

/** Builds the report from the collected records. \param leavingBound Maximum
 * time from the detection that an upstream is leaving until the last request
 * to it. */
gsNearMissReport gsBuildNearMissReport(
  gsNearMissCollector const& collector,
  gsTime leavingBound = gsNearMissLeavingBound);
