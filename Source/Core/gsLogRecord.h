/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A line of a daemon's log, read back. Lines are key=value pairs; what a
 * collector puts before the time names the host.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/** One key=value pair, its value without quotes. */
struct gsLogField
{
  std::string Key;
  std::string Value;
};

struct gsLogRecord
{
  std::string Host; ///< Empty when the line does not name it.
  gsTime At{};      ///< Time of day of that host, since the epoch.
  std::string Event;
  std::vector<gsLogField> Fields; ///< All but time, level and event; in order.
};

/** Reads a line; nothing when it is no line of a daemon's. */
std::optional<gsLogRecord> gsReadLogLine(std::string_view line);

/** The value of a field; empty when the record has none of that name. */
std::string_view gsFieldOf(gsLogRecord const& record, std::string_view key);

/** The value as a number; nothing when it is none. */
std::optional<double> gsNumberOf(gsLogRecord const& record,
                                 std::string_view key);
