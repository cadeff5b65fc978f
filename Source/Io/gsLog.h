/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Logs by log4cxx: one line of key=value pairs for each event, to standard
 * output. Values with spaces or quotes are quoted. What is written in a burst
 * is bounded, and a reader that does not read is never waited for: lines that
 * find no room are dropped, and their number is logged when there is room.
 */
#pragma once

#include <string>
#include <string_view>

#include "gsTypes.h"

enum class gsLogLevel
{
  Debug,
  Info,
  Warn,
  Error
};

/** Sets the layout and the least level that is written. */
void gsLogSetUp(gsLogLevel least);

/** The level with this name, or Info. */
gsLogLevel gsLogLevelNamed(std::string_view name);

/** Builds one line; it is written when the object is destroyed. */
class gsLogLine
{
public:
  explicit gsLogLine(std::string_view event,
                     gsLogLevel level = gsLogLevel::Info);
  ~gsLogLine();
  gsLogLine(gsLogLine const&) = delete;
  gsLogLine& operator=(gsLogLine const&) = delete;

  gsLogLine& With(std::string_view key, std::string_view value);
  gsLogLine& With(std::string_view key, char const* value);
  gsLogLine& With(std::string_view key, std::string const& value);
  gsLogLine& With(std::string_view key, std::uint64_t value);
  gsLogLine& With(std::string_view key, std::uint32_t value);
  gsLogLine& With(std::string_view key, int value);
  gsLogLine& With(std::string_view key, bool value);
  /** Written in milliseconds; the key should end in _ms. */
  gsLogLine& With(std::string_view key, gsTime value);
  gsLogLine& With(gsError const& error);

private:
  gsLogLevel Level;
  bool Enabled;
  std::string Text;
};
