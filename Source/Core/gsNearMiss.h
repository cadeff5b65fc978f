/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Moments that came close to a promise of docs/PROOFS.md, from the logs of
 * all hosts together: requests to upstreams that leave, urgent kinds of
 * request put behind, streams closed by their host, planned stops, and copies
 * of a table that differ. Times are those of the hosts' own clocks.
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

/** Time within which a leaving upstream gets its last request; promise 6. */
constexpr gsTime gsNearLeavingBound = gsMilliseconds(3000);
/** Share of that bound beyond which a host is named. */
constexpr double gsNearLeavingShare = 0.5;
/** Span in which a kind's requests are counted; rule TIER. */
constexpr gsTime gsNearSpan = gsSeconds(5);
/** Requests without an answer in such a span from which on the rule looks. */
constexpr std::uint64_t gsNearUnserved = 10;
/** Share of a kind's requests that is told: half of the rule's twelfth. */
constexpr double gsNearUnservedShare = 0.5 / 12;
/** Prompts over so many times the kind's mean count as larger; rule TIER. */
constexpr double gsNearLargerPrompt = 2;
/** Requests that begin later than this after a stop has begun are counted:
 * the longest a balancer should take to notice. */
constexpr gsTime gsNearStopStart = gsSeconds(1);

/** A host sends nothing so long after an upstream has said that it leaves. */
constexpr gsTime gsNearWordBound = gsSeconds(2);
/** Requests on their way when a rest is asked for arrive within so long, */
constexpr gsTime gsNearRestBegins = gsMilliseconds(500);
/** and a host's rest lets pass so many. */
constexpr std::uint64_t gsNearRestMost = 2;

/** A distribution of times. */
struct gsNearTimes
{
  std::size_t Count = 0;
  gsTime Median{};
  gsTime P95{};
  gsTime Most{};
};

/** The last request of a host to an upstream that was known to leave. */
struct gsLastSent
{
  std::string Upstream;
  std::string Host;
  std::string Request;
  gsTime After{}; ///< Since the first host knew that the upstream leaves.
};

struct gsLeavingUpstream
{
  std::string Upstream;
  std::string FirstHost; ///< The first that knew.
  gsTime At{};           ///< When it did.
  gsNearTimes Last;      ///< Of the hosts that sent something later.
};

/** Words that a host acted against. */
struct gsIgnoredWord
{
  std::string Upstream;
  std::string Host;
  bool Leaving = false; ///< Else it had asked for rest.
  gsTime At{};          ///< When it said so.
  std::uint64_t Count = 0;
  gsTime Last{}; ///< Of these requests, since it said so.
  std::string LastRequest;
};

/** Why requests of a kind got nothing. */
struct gsUnservedCount
{
  std::uint64_t TurnedAway = 0; ///< By upstreams that were full.
  std::uint64_t NoUpstream = 0; ///< No upstream, connection or sending.
  std::uint64_t CallerLeft = 0; ///< Before an event or an answer.
  std::uint64_t Cut = 0;        ///< Without a whole answer.
  std::uint64_t TimedOut = 0;

  std::uint64_t Sum() const;
};

/** A kind (route) at a service that got nothing too often in some span while
 * requests of less urgent kinds began there. Overlapping spans are told as
 * one; the figures are those of the span with the highest share. */
struct gsKindBehind
{
  std::string Service;
  std::string Route;
  std::uint32_t Priority = 0;
  gsTime From{};  ///< Of the first span.
  gsTime Until{}; ///< Of the last span.
  gsTime Worst{}; ///< When the span of the figures begins.
  std::uint64_t Requests = 0;
  gsUnservedCount Unserved;
  std::uint64_t Failed = 0;       ///< Answered by an upstream with a failure;
                                  ///< not among the unserved.
  std::uint64_t LessUrgent = 0;   ///< That began.
  std::uint64_t LargerPrompt = 0; ///< Of these, by gsNearLargerPrompt.
  /** Mean prompt of these over the kind's; 0 when the logs do not tell. */
  double PromptRatio = 0;

  double Share() const;
};

/** Streams that ended without being whole after their caller had events. */
struct gsClosedStreams
{
  std::string Cause; ///< silence, upstream_broke, stop, timeout, or another
                     ///< result word.
  std::string Route;
  std::uint64_t Count = 0;
  gsTime LastAt{};
  std::string LastHost;
  std::string LastRequest;
};

struct gsPlannedStop
{
  std::string Host;
  gsTime At{};
  bool Ended = false; ///< The log tells its end.
  gsTime Took{};
  std::uint64_t Cut = 0;
  std::uint64_t Open = 0;
  std::uint64_t Unread = 0;
  std::uint64_t LateStarts = 0; ///< Later than gsNearStopStart.
  gsTime LastStart{};           ///< Of these, since the stop began.
  std::string LastRequest;
};

/** Copies that a host found to differ from its neighbours'. */
struct gsDifferingTable
{
  std::string Host;
  std::string Table;
  std::uint64_t Times = 0;
  std::string Peer; ///< The last one.
  std::string Version;
  std::string Rows;
  std::string PeerRows;
};

/** Copies of the upstreams' table that call themselves complete up to one
 * version, with different rows. */
struct gsDifferingVersion
{
  std::uint64_t Version = 0;
  /** Hosts by their counts, "listed/leaving". */
  std::map<std::string, std::vector<std::string>> Hosts;
  /** The longest time that a copy unlike the most common one was in use. */
  gsTime Longest{};
};

/** What is kept of the logs; hosts in any order, each host's own in order. */
struct gsNearMissReader
{
  /** A request from its first placement to its end. */
  struct Request
  {
    std::string Id;
    std::string Host;
    std::string Route;
    std::string Service;
    std::uint32_t Priority = 0;
    double Prompt = 0; ///< In tokens; 0 when not told.
    bool Stream = false;
    gsTime PlacedAt{}; ///< The first time.
    gsTime BegunAt{};  ///< Of the first attempt that was not turned away.
    gsTime SentAt{};   ///< Of the last attempt.
    std::string Upstream;
    bool Silent = false;
    bool Broken = false;
    bool HadEvents = false; ///< By what the log tells.
    std::string Result;     ///< Empty while it is open.
    gsTime EndedAt{};
  };
  /** A request that an upstream may have got. */
  struct Sent
  {
    std::string Upstream;
    std::string Host;
    std::string Request;
    gsTime At{};
  };
  /** What a host's copy said of an upstream that had changed. */
  struct Change
  {
    std::string Upstream;
    std::string Host;
    bool Leaves = false; ///< Leaving or gone; else it may get work again.
    std::uint64_t Version = 0;
    gsTime At{};
  };
  /** What an upstream said of itself in an answer to a host. */
  struct Word
  {
    std::string Upstream;
    std::string Host;
    bool Leaving = false;
    gsTime Rest{};
    gsTime At{};
    /** The host started again, or the upstream did under its id. */
    gsTime Until = gsTime::max();
  };
  /** A host's copy of the upstreams' table, from then on. */
  struct Copy
  {
    std::uint64_t Version = 0; ///< Zero if it claims no version.
    std::string Counts;
    gsTime At{};
  };

  std::size_t Lines = 0;
  gsTime FirstAt{};
  std::unordered_map<std::string, Request> Open; ///< By request id.
  std::vector<Request> Ended;
  std::vector<Sent> Sendings;
  std::vector<Change> Changes;
  std::vector<Word> Words;
  std::map<std::string, std::vector<Copy>> Copies; ///< By host.
  std::map<std::string, gsTime> LastLine;          ///< By host.
  std::set<std::string> Partial; ///< Hosts whose last line told of news with
                                 ///< rows missing.
  std::map<std::string, std::vector<gsPlannedStop>> Stops; ///< By host.
  std::map<std::string, bool> Stopping;                    ///< By host.
  std::vector<gsDifferingTable> Differing;
};

void gsNearMissTake(gsNearMissReader& reader, gsLogRecord const& record);

struct gsNearMissReport
{
  gsTime FirstAt{}; ///< Of all lines.
  gsTime LeavingBound{};
  gsNearTimes LastSent;                   ///< Of all upstreams and hosts.
  std::vector<gsLeavingUpstream> Leaving; ///< Largest Most first.
  std::vector<gsLastSent> LateSent;       ///< Beyond gsNearLeavingShare.
  std::vector<gsIgnoredWord> Ignored;     ///< In order of time.
  std::vector<gsKindBehind> Behind;       ///< In order of time.
  std::vector<gsClosedStreams> Closed;
  std::vector<gsPlannedStop> Stops; ///< In order of time.
  std::vector<gsDifferingTable> Differing;
  std::vector<gsDifferingVersion> Versions;
};

/** Adds all up, with the time in which an upstream's leaving has to hold. */
gsNearMissReport gsNearMissSum(gsNearMissReader const& reader,
                               gsTime leavingBound = gsNearLeavingBound);
