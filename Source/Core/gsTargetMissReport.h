/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Summarizes from the logs of all hosts where requests of the routed mode miss
 * their latency targets.
 *
 * The report counts the outcomes of requests per route, per second and per
 * upstream, and lists the streams with the longest pauses together with the
 * prompts that the same upstream read at that time.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "gsLogRecord.h"

/** Result of a request for its caller. If several apply, the first one in this
 * order is used. */
enum class gsTargetOutcome : std::uint8_t
{
  InTarget,       ///< Completed within its latency targets.
  LateFirstEvent, ///< Completed; the first event of a stream, or the whole
                  ///< answer without streaming, exceeded its target.
  LongPause,      ///< Completed; a pause between events exceeded its target.
  Failed,         ///< Not completed; it may have been executed.
  Refused,        ///< Given up without having been executed.
  CallerLeft,     ///< The caller closed its connection first.
};

/** Number of values of gsTargetOutcome. */
constexpr std::size_t gsTargetOutcomeCount = 6;

/** Name of an outcome as printed in reports. */
char const* gsTargetOutcomeName(gsTargetOutcome outcome);

/** Numbers of requests by outcome, and of attempts. */
struct gsRequestCounts
{
  std::array<std::uint64_t, gsTargetOutcomeCount>
    ByOutcome{};              ///< Indexed by outcome.
  std::uint64_t Attempts = 0; ///< Attempts at upstreams.
  std::uint64_t NotSent = 0;  ///< Attempts that could not be sent.
  std::uint64_t Broken = 0;   ///< Attempts without a complete answer.

  /** Number of requests with any outcome. */
  std::uint64_t RequestCount() const;
  std::uint64_t OutcomeCount(gsTargetOutcome outcome) const;
};

/** A prompt that an upstream read while it generated a paused stream. */
struct gsConcurrentPrompt
{
  std::string RequestId;
  std::string Route;
  double UncachedTokens = 0; ///< Prompt tokens not cached by the upstream.
};

/** A stream whose longest pause exceeded its target. */
struct gsPausedStream
{
  std::string RequestId;
  std::string Route;
  std::string Upstream;
  double LongestPauseMillis = 0; ///< Longest pause between events.
  double PauseTargetMillis = 0;
  /** Prompts of other requests that the upstream read between the first event
   * of the stream and its end, largest first; at most
   * gsMaxConcurrentPrompts. */
  std::vector<gsConcurrentPrompt> ConcurrentPrompts;
};

/** Maximum number of prompts listed per paused stream. */
constexpr std::size_t gsMaxConcurrentPrompts = 3;

/** An attempt of a request at an upstream, as logged by its host. */
struct gsLoggedAttempt
{
  std::string RequestId;
  std::string Route;
  std::string Upstream;
  std::string End; ///< Value of the end field; empty until the attempt ended.
  bool Stream = false;
  gsTime PlacedAt{}; ///< Time since the epoch by the clock of the host.
  gsTime EndedAt{};  ///< Zero until a record of the end has been collected.
  double DurationMillis = 0;
  double FirstByteMillis =
    0; ///< From sending to the first byte; 0 if none came.
  double LongestPauseMillis = 0; ///< Longest pause between events.
  double TargetMillis = 0;
  double PauseTargetMillis = 0;
  double UncachedTokens = 0; ///< Prompt tokens not cached by the upstream.
};

/** Collects the records of attempts and requests. Hosts may be read in any
 * order; the records of one host must be in the order of its log. */
struct gsTargetMissCollector
{
  /** Last attempt of each request without a logged end, by request id.
   * Assumes that an id set by a caller is not used on more than one host. */
  std::unordered_map<std::string, gsLoggedAttempt> OpenAttempts;
  std::vector<gsLoggedAttempt> EndedAttempts; ///< Attempts that have ended.
  /** A request that has ended. */
  struct Request
  {
    gsLoggedAttempt LastAttempt; ///< Empty if the request was not placed.
    std::string Route;
    gsTime EndedAt{};
    std::string Result; ///< Value of the result field.
    double DurationMillis = 0;
    bool MayHaveRun = false; ///< An upstream may have executed it.
  };
  std::vector<Request> EndedRequests;
};

/** Stores the content of a record; events of other kinds are ignored. */
void gsCollectTargetMissRecord(gsTargetMissCollector& collector,
                               gsLogRecord const& record);

/** Outcomes of requests, aggregated over all collected records. */
struct gsTargetMissReport
{
  std::map<std::string, gsRequestCounts> ByRoute;
  /** Requests without a complete answer, by value of the result field and by
   * route. */
  std::map<std::string, std::map<std::string, std::uint64_t>> Causes;
  /** Requests by the second of their end, counted from the end of the earliest
   * request, and by route. */
  std::map<std::int64_t, std::map<std::string, gsRequestCounts>> BySecond;
  /** Requests by the id of the upstream of their last attempt. */
  std::map<std::string, gsRequestCounts> ByUpstream;
  /** Sorted by the ratio of the longest pause to its target, descending. */
  std::vector<gsPausedStream> PausedStreams;
};

/** Aggregates the collected records. \param maxStreams Maximum number of
 * paused streams in the report. */
gsTargetMissReport gsBuildTargetMissReport(
  gsTargetMissCollector const& collector, std::size_t maxStreams);
