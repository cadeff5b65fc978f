/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsExplain.h"

#include <iomanip>
#include <ostream>

#include <nlohmann/json.hpp>

#include "gsLogFiles.h"

namespace {

double MillisSince(gsLogRecord const& record, gsLogRecord const& first)
{
  return gsToSeconds(record.Timestamp - first.Timestamp) * 1e3;
}

} // namespace

gsResult<gsRequestTimeline> gsExplainFromFiles(
  std::string const& request, std::vector<std::string> const& files)
{
  gsRequestTimelineCollector reader;
  reader.RequestId = request;
  gsResult<std::size_t> understood =
    gsReadLogFiles(files, [&reader](gsLogRecord const& record) {
      gsCollectTimelineRecord(reader, record);
    });
  if (!understood) {
    return understood.error();
  }
  gsRequestTimeline story = gsBuildRequestTimeline(reader);
  if (story.RequestRecordCount == 0) {
    return gsError{ "unknown_request",
                    "None of " + std::to_string(understood.value()) +
                      " log lines names request " + request + ".",
                    "explain",
                    {} };
  }
  return story;
}

void gsPrintStory(gsRequestTimeline const& story, std::ostream& out)
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
  out << "Request " << story.RequestId << ": "
      << gsRequestOutcomeName(story.Outcome) << ". " << story.Cause << '\n';
}

void gsPrintStoryJson(gsRequestTimeline const& story, std::ostream& out)
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
  nlohmann::ordered_json whole{ { "request", story.RequestId },
                                { "end", gsRequestOutcomeName(story.Outcome) },
                                { "cause", story.Cause },
                                { "lines", lines } };
  out << whole.dump(2) << '\n';
}
