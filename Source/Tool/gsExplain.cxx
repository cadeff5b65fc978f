/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsExplain.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <utility>

#include <nlohmann/json.hpp>

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

/** Adds a log's records; the number of lines that were a daemon's. */
std::size_t ReadLog(std::istream& log, std::string const& host,
                    gsStoryReader& reader)
{
  std::size_t understood = 0;
  std::string line;
  while (std::getline(log, line)) {
    std::optional<gsLogRecord> record = gsReadLogLine(line);
    if (!record) {
      continue;
    }
    ++understood;
    if (record->Host.empty()) {
      record->Host = host;
    }
    gsStoryTake(reader, std::move(*record));
  }
  return understood;
}

double MillisSince(gsLogRecord const& record, gsLogRecord const& first)
{
  return gsToSeconds(record.At - first.At) * 1e3;
}

} // namespace

gsResult<gsStory> gsExplainFromFiles(std::string const& request,
                                     std::vector<std::string> const& files)
{
  gsStoryReader reader;
  reader.Request = request;
  std::size_t understood = 0;
  for (std::string const& file : files) {
    if (file == StandardInput) {
      understood += ReadLog(std::cin, HostOf(file), reader);
      continue;
    }
    std::ifstream log(file);
    if (!log) {
      return gsError{ "unreadable", file + ": the file cannot be read.",
                      "read", file };
    }
    understood += ReadLog(log, HostOf(file), reader);
  }
  gsStory story = gsStoryTell(reader);
  if (story.Named == 0) {
    return gsError{ "unknown_request",
                    "None of " + std::to_string(understood) +
                      " log lines names request " + request + ".",
                    "explain",
                    {} };
  }
  return story;
}

void gsPrintStory(gsStory const& story, std::ostream& out)
{
  constexpr int timeWidth = 10;
  for (gsLogRecord const& record : story.Records) {
    out << std::fixed << std::setprecision(0) << std::setw(timeWidth)
        << MillisSince(record, story.Records.front()) << " ms  "
        << (record.Host.empty() ? "-" : record.Host) << "  " << record.Event;
    for (gsLogField const& field : record.Fields) {
      if (field.Key != "request") {
        out << ' ' << field.Key << '=' << field.Value;
      }
    }
    out << '\n';
  }
  out << "Request " << story.Request << ": " << gsStoryEndWord(story.End)
      << ". " << story.Cause << '\n';
}

void gsPrintStoryJson(gsStory const& story, std::ostream& out)
{
  nlohmann::ordered_json lines = nlohmann::ordered_json::array();
  for (gsLogRecord const& record : story.Records) {
    nlohmann::ordered_json fields = nlohmann::ordered_json::object();
    for (gsLogField const& field : record.Fields) {
      fields[field.Key] = field.Value;
    }
    lines.push_back({ { "after_ms", MillisSince(record, story.Records[0]) },
                      { "host", record.Host },
                      { "event", record.Event },
                      { "fields", fields } });
  }
  nlohmann::ordered_json whole{ { "request", story.Request },
                                { "end", gsStoryEndWord(story.End) },
                                { "cause", story.Cause },
                                { "lines", lines } };
  out << whole.dump(2) << '\n';
}
