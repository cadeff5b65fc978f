/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Parser for the log lines of a daemon. A line is a sequence of key=value
 * pairs, the first of which is the time. Log collectors may prepend text to a
 * line; the last word of that text is taken as the name of the host that wrote
 * it.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/** One key=value pair; the value is stored without quotes and escapes. */
struct gsLogField
{
  std::string Key;
  std::string Value;
};

/** A parsed log line. */
struct gsLogRecord
{
  std::string Host;   ///< Empty if the line does not name the host.
  gsTime Timestamp{}; ///< Time since the epoch by the clock of the host.
  std::string Event;  ///< Value of the event field; never empty.
  /** All fields except time, level and event, in the order of the line. */
  std::vector<gsLogField> Fields;
};

/** Parses a line. \return Empty if the line was not written by a daemon: it
 * has no valid time, or no event. */
std::optional<gsLogRecord> gsParseLogLine(std::string_view line);

/** Value of a field; empty if the record has no field of that name. */
std::string_view gsLogFieldValue(gsLogRecord const& record,
                                 std::string_view key);

/** Value of a field as a number; empty if the field is missing or not a
 * number. */
std::optional<double> gsLogFieldNumber(gsLogRecord const& record,
                                       std::string_view key);
