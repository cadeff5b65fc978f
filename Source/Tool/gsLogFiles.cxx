/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLogFiles.h"

#include <fstream>
#include <iostream>
#include <optional>
#include <string_view>

namespace {

constexpr std::string_view StandardInput = "-";

/** "logs/edge-1.log" -> "edge-1". */
std::string HostOf(std::string const& file)
{
  if (file == StandardInput) {
    return {};
  }
  std::string name = file.substr(file.find_last_of('/') + 1);
  return name.substr(0, name.find_last_of('.'));
}

/** Hands on a log's records; the number of lines that were a daemon's. */
std::size_t ReadLog(std::istream& log, std::string const& host,
                    std::function<void(gsLogRecord const&)> const& take)
{
  std::size_t understood = 0;
  std::string line;
  while (std::getline(log, line)) {
    std::optional<gsLogRecord> record = gsParseLogLine(line);
    if (!record) {
      continue;
    }
    ++understood;
    if (record->Host.empty()) {
      record->Host = host;
    }
    take(*record);
  }
  return understood;
}

} // namespace

gsResult<std::size_t> gsReadLogFiles(
  std::vector<std::string> const& files,
  std::function<void(gsLogRecord const& record)> const& take)
{
  std::size_t understood = 0;
  for (std::string const& file : files) {
    if (file == StandardInput) {
      understood += ReadLog(std::cin, HostOf(file), take);
      continue;
    }
    std::ifstream log(file);
    if (!log) {
      return gsError{ "unreadable", file + ": the file cannot be read.",
                      "read", file };
    }
    understood += ReadLog(log, HostOf(file), take);
  }
  return understood;
}
