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
  for (std::size_t kind = 0; kind < gsLossKinds; ++kind) {
    first.emplace_back(gsLossWord(static_cast<gsLossKind>(kind)));
  }
  return first;
}

std::vector<std::string> CountCells(std::vector<std::string> first,
                                    gsLossCount const& count)
{
  for (std::uint64_t number : count.By) {
    first.push_back(std::to_string(number));
  }
  return first;
}

using Rows = std::vector<std::vector<std::string>>;

std::uint64_t Lost(gsLossCount const& count)
{
  return count.Requests() - count.Of(gsLossKind::InTarget);
}

void PrintRoutes(gsLossReport const& report, std::ostream& out)
{
  std::vector<std::string> heading =
    CountHeads({ "route", "requests", "attempts", "not_sent", "broken" });
  Rows cells;
  for (auto const& [route, count] : report.ByRoute) {
    cells.push_back(CountCells({ route, std::to_string(count.Requests()),
                                 std::to_string(count.Attempts),
                                 std::to_string(count.NotSent),
                                 std::to_string(count.Broken) },
                               count));
  }
  out << gsFormatTable(heading, cells);
}

void PrintCauses(gsLossReport const& report, std::ostream& out)
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

void PrintSeconds(gsLossReport const& report, std::ostream& out)
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

void PrintUpstreams(gsLossReport const& report, std::ostream& out)
{
  std::vector<std::pair<std::string, gsLossCount>> rows(
    report.ByUpstream.begin(), report.ByUpstream.end());
  std::sort(rows.begin(), rows.end(), [](auto const& a, auto const& b) {
    return Lost(a.second) > Lost(b.second);
  });
  rows.resize(std::min(rows.size(), UpstreamsShown));
  std::vector<std::string> heading = CountHeads({ "upstream", "requests" });
  Rows cells;
  for (auto const& [upstream, count] : rows) {
    cells.push_back(
      CountCells({ upstream, std::to_string(count.Requests()) }, count));
  }
  out << gsFormatTable(heading, cells);
}

std::string BesideText(gsPausedStream const& stream)
{
  std::string text;
  for (gsPromptBeside const& prompt : stream.Beside) {
    text += text.empty() ? "" : ", ";
    text += std::to_string(std::lround(prompt.ReadTokens)) + " of " +
            prompt.Request + " (" + prompt.Route + ")";
  }
  return text;
}

void PrintPauses(gsLossReport const& report, std::ostream& out)
{
  std::vector<std::string> heading{
    "stream",   "route",     "upstream",
    "pause_ms", "target_ms", "prompt tokens read beside it"
  };
  Rows cells;
  for (gsPausedStream const& stream : report.Pauses) {
    cells.push_back({ stream.Request, stream.Route, stream.Upstream,
                      std::to_string(std::lround(stream.PauseMillis)),
                      std::to_string(std::lround(stream.TargetMillis)),
                      BesideText(stream) });
  }
  out << gsFormatTable(heading, cells);
}

Json CountJson(gsLossCount const& count)
{
  Json json{ { "requests", count.Requests() },
             { "attempts", count.Attempts },
             { "not_sent", count.NotSent },
             { "broken", count.Broken } };
  for (std::size_t kind = 0; kind < gsLossKinds; ++kind) {
    json[gsLossWord(static_cast<gsLossKind>(kind))] = count.By[kind];
  }
  return json;
}

Json PausesJson(gsLossReport const& report)
{
  Json pauses = Json::array();
  for (gsPausedStream const& stream : report.Pauses) {
    Json beside = Json::array();
    for (gsPromptBeside const& prompt : stream.Beside) {
      beside.push_back({ { "request", prompt.Request },
                         { "route", prompt.Route },
                         { "read_tokens", prompt.ReadTokens } });
    }
    pauses.push_back({ { "request", stream.Request },
                       { "route", stream.Route },
                       { "upstream", stream.Upstream },
                       { "pause_ms", stream.PauseMillis },
                       { "target_ms", stream.TargetMillis },
                       { "beside", beside } });
  }
  return pauses;
}

} // namespace

gsResult<gsLossReport> gsLossesFromFiles(std::vector<std::string> const& files,
                                         std::size_t pauses)
{
  gsLossReader reader;
  gsResult<std::size_t> read =
    gsReadLogFiles(files, [&reader](gsLogRecord const& record) {
      gsLossTake(reader, record);
    });
  if (!read) {
    return read.error();
  }
  if (reader.Requests.empty()) {
    return gsError{ "no_requests",
                    "None of " + std::to_string(read.value()) +
                      " log lines tells the end of a request.",
                    "losses",
                    {} };
  }
  return gsLossSum(reader, pauses);
}

void gsPrintLosses(gsLossReport const& report, std::ostream& out)
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

void gsPrintLossesJson(gsLossReport const& report, std::ostream& out)
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
