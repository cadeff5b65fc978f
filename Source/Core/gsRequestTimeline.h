/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Reconstructs the processing of one request from the logs of all hosts, and
 * determines how and why it ended as it did.
 *
 * The result contains all log records that name the request, the records of
 * the involved hosts that describe their state at that time, and a description
 * of the cause. The caller reads the log files and passes in the records; no
 * function here does I/O.
 */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "gsLogRecord.h"

/** Result of a request for its caller. */
enum class gsRequestOutcome
{
  Unknown,  ///< The logs contain no record of the end of the request.
  InTarget, ///< Completed within its latency targets.
  Late,     ///< Completed, but the first event or a pause exceeded its target.
  Rejected, ///< Not admitted.
  Refused,  ///< Given up without having been executed.
  Failed,   ///< Not completed; it may have been executed.
  CallerLeft ///< The caller closed its connection first.
};

/** Name of an outcome as printed in reports. */
char const* gsRequestOutcomeName(gsRequestOutcome outcome);

/** Records of one request and of its environment, and the result. */
struct gsRequestTimeline
{
  std::string RequestId; ///< Request id.
  std::size_t RequestRecordCount =
    0; ///< Number of records that name the request.
  /** Records that name the request, and related state changes of the hosts;
   * sorted by time. */
  std::vector<gsLogRecord> Records;
  gsRequestOutcome Outcome = gsRequestOutcome::Unknown;
  std::string Cause; ///< One or more sentences.
};

/** Collects the records of one request while logs are read. */
struct gsRequestTimelineCollector
{
  std::string RequestId;                   ///< Request id; set by the caller.
  std::vector<gsLogRecord> RequestRecords; ///< Records that name the request.
  /** State changes of all hosts at all times; the relevant ones are selected
   * when the result is built. */
  std::vector<gsLogRecord> HostStateRecords;
};

/** Stores a record if it names the request or describes the state of a host;
 * other records are ignored. */
void gsCollectTimelineRecord(gsRequestTimelineCollector& collector,
                             gsLogRecord record);

/** Builds the result after all records have been collected. */
gsRequestTimeline gsBuildRequestTimeline(
  gsRequestTimelineCollector const& collector);
