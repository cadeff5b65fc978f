/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLosses.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <utility>

#include <nlohmann/json.hpp>

#include "gsLogFiles.h"
#include "gsTable.h"

namespace {

using Json = nlohmann::ordered_json;

/** Upstreams shown as text; those with the most losses. */
constexpr std::size_t UpstreamsShown = 12;

std::vector<std::string> CountHeads(std::vector<std::string> first)
{
  for (std::size_t kind = 0; kind < gsTargetOutcomeCount; ++kind) {
    first.emplace_back(
      gsTargetOutcomeName(static_cast<gsTargetOutcome>(kind)));
  }
  return first;
}

std::vector<std::string> CountCells(std::vector<std::string> first,
                                    gsRequestCounts const& count)
{
  for (std::uint64_t number : count.ByOutcome) {
    first.push_back(std::to_string(number));
  }
  return first;
}

using Rows = std::vector<std::vector<std::string>>;

std::uint64_t Lost(gsRequestCounts const& count)
{
  return count.RequestCount() - count.OutcomeCount(gsTargetOutcome::InTarget);
}

void PrintRoutes(gsTargetMissReport const& report, std::ostream& out)
{
  std::vector<std::string> heading =
    CountHeads({ "route", "requests", "attempts", "not_sent", "broken" });
  Rows cells;
  for (auto const& [route, count] : report.ByRoute) {
    cells.push_back(CountCells({ route, std::to_string(count.RequestCount()),
                                 std::to_string(count.Attempts),
                                 std::to_string(count.NotSent),
                                 std::to_string(count.Broken) },
                               count));
  }
  out << gsFormatTable(heading, cells);
}

void PrintCauses(gsTargetMissReport const& report, std::ostream& out)
{
  std::vector<std::string> heading{ "cause", "route", "requests" };
  Rows cells;
  for (auto const& [cause, routes] : report.Causes) {
    for (auto const& [route, number] : routes) {
      cells.push_back({ cause, route, std::to_string(number) });
    }
  }
  out << gsFormatTable(heading, cells);
}

void PrintSeconds(gsTargetMissReport const& report, std::ostream& out)
{
  std::vector<std::string> heading = CountHeads({ "second", "route" });
  Rows cells;
  for (auto const& [second, routes] : report.BySecond) {
    for (auto const& [route, count] : routes) {
      if (Lost(count) > 0) {
        cells.push_back(CountCells({ std::to_string(second), route }, count));
      }
    }
  }
  out << gsFormatTable(heading, cells);
}

void PrintUpstreams(gsTargetMissReport const& report, std::ostream& out)
{
  std::vector<std::pair<std::string, gsRequestCounts>> rows(
    report.ByUpstream.begin(), report.ByUpstream.end());
  std::sort(rows.begin(), rows.end(), [](auto const& a, auto const& b) {
    return Lost(a.second) > Lost(b.second);
  });
  rows.resize(std::min(rows.size(), UpstreamsShown));
  std::vector<std::string> heading = CountHeads({ "upstream", "requests" });
  Rows cells;
  for (auto const& [upstream, count] : rows) {
    cells.push_back(
      CountCells({ upstream, std::to_string(count.RequestCount()) }, count));
  }
  out << gsFormatTable(heading, cells);
}

std::string BesideText(gsPausedStream const& stream)
{
  std::string text;
  for (gsConcurrentPrompt const& prompt : stream.ConcurrentPrompts) {
    text += text.empty() ? "" : ", ";
    text += std::to_string(std::lround(prompt.UncachedTokens)) + " of " +
            prompt.RequestId + " (" + prompt.Route + ")";
  }
  return text;
}

void PrintPauses(gsTargetMissReport const& report, std::ostream& out)
{
  std::vector<std::string> heading{
    "stream",   "route",     "upstream",
    "pause_ms", "target_ms", "prompt tokens read beside it"
  };
  Rows cells;
  for (gsPausedStream const& stream : report.PausedStreams) {
    cells.push_back({ stream.RequestId, stream.Route, stream.Upstream,
                      std::to_string(std::lround(stream.LongestPauseMillis)),
                      std::to_string(std::lround(stream.PauseTargetMillis)),
                      BesideText(stream) });
  }
  out << gsFormatTable(heading, cells);
}

Json CountJson(gsRequestCounts const& count)
{
  Json json{ { "requests", count.RequestCount() },
             { "attempts", count.Attempts },
             { "not_sent", count.NotSent },
             { "broken", count.Broken } };
  for (std::size_t kind = 0; kind < gsTargetOutcomeCount; ++kind) {
    json[gsTargetOutcomeName(static_cast<gsTargetOutcome>(kind))] =
      count.ByOutcome[kind];
  }
  return json;
}

Json PausesJson(gsTargetMissReport const& report)
{
  Json pauses = Json::array();
  for (gsPausedStream const& stream : report.PausedStreams) {
    Json beside = Json::array();
    for (gsConcurrentPrompt const& prompt : stream.ConcurrentPrompts) {
      beside.push_back({ { "request", prompt.RequestId },
                         { "route", prompt.Route },
                         { "read_tokens", prompt.UncachedTokens } });
    }
    pauses.push_back({ { "request", stream.RequestId },
                       { "route", stream.Route },
                       { "upstream", stream.Upstream },
                       { "pause_ms", stream.LongestPauseMillis },
                       { "target_ms", stream.PauseTargetMillis },
                       { "beside", beside } });
  }
  return pauses;
}

} // namespace

gsResult<gsTargetMissReport> gsLossesFromFiles(
  std::vector<std::string> const& files, std::size_t pauses)
{
  gsTargetMissCollector reader;
  gsResult<std::size_t> read =
    gsReadLogFiles(files, [&reader](gsLogRecord const& record) {
      gsCollectTargetMissRecord(reader, record);
    });
  if (!read) {
    return read.error();
  }
  if (reader.EndedRequests.empty()) {
    return gsError{ "no_requests",
                    "None of " + std::to_string(read.value()) +
                      " log lines tells the end of a request.",
                    "losses",
                    {} };
  }
  return gsBuildTargetMissReport(reader, pauses);
}

void gsPrintLosses(gsTargetMissReport const& report, std::ostream& out)
{
  PrintRoutes(report, out);
  out << "\nWithout a whole answer:\n";
  PrintCauses(report, out);
  out << "\nUpstreams with the most losses:\n";
  PrintUpstreams(report, out);
  out << "\nSeconds with losses, since the first end:\n";
  PrintSeconds(report, out);
  out << "\nLongest pauses against their targets:\n";
  PrintPauses(report, out);
}

void gsPrintLossesJson(gsTargetMissReport const& report, std::ostream& out)
{
  Json routes = Json::object();
  for (auto const& [route, count] : report.ByRoute) {
    routes[route] = CountJson(count);
  }
  Json seconds = Json::object();
  for (auto const& [second, byRoute] : report.BySecond) {
    for (auto const& [route, count] : byRoute) {
      seconds[std::to_string(second)][route] = CountJson(count);
    }
  }
  Json upstreams = Json::object();
  for (auto const& [upstream, count] : report.ByUpstream) {
    upstreams[upstream] = CountJson(count);
  }
  Json whole{ { "routes", routes },
              { "causes", report.Causes },
              { "seconds", seconds },
              { "upstreams", upstreams },
              { "pauses", PausesJson(report) } };
  out << whole.dump(2) << '\n';
}
