/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsNearMisses.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "gsLogFiles.h"
#include "gsTable.h"

namespace {

using Json = nlohmann::ordered_json;
using Cells = std::vector<std::string>;

/** Rows of a table shown as text; JSON has all. */
constexpr std::size_t RowsShown = 20;
/** Hosts named in a cell. */
constexpr std::size_t HostsShown = 3;

double Millis(gsTime time)
{
  return gsToSeconds(time) * 1e3;
}

std::string MillisText(gsTime time)
{
  return std::to_string(std::lround(Millis(time)));
}

std::string Fixed(double number, int digits)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << number;
  return text.str();
}

/** A time of day in UTC, to the millisecond. */
std::string ClockText(gsTime at, char const* format = "%H:%M:%S")
{
  constexpr int fractionWidth = 3;
  auto millis = std::chrono::duration_cast<gsMilliseconds>(at);
  auto seconds = std::chrono::duration_cast<gsSeconds>(millis);
  std::time_t whole = seconds.count();
  std::tm parts{};
  gmtime_r(&whole, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, format) << '.' << std::setfill('0')
       << std::setw(fractionWidth) << (millis - seconds).count();
  return text.str();
}

std::string DateText(gsTime at)
{
  return ClockText(at, "%Y-%m-%dT%H:%M:%S") + "Z";
}

void PrintTable(Cells const& heading, std::vector<Cells> rows,
                std::ostream& out)
{
  if (rows.empty()) {
    out << "none\n";
    return;
  }
  std::size_t all = rows.size();
  rows.resize(std::min(all, RowsShown));
  out << gsFormatTable(heading, rows);
  if (all > RowsShown) {
    out << "... and " << all - RowsShown << " more\n";
  }
}

Cells TimesCells(Cells first, gsNearTimes const& times)
{
  first.push_back(std::to_string(times.Count));
  first.push_back(MillisText(times.Median));
  first.push_back(MillisText(times.P95));
  first.push_back(MillisText(times.Most));
  return first;
}

void PrintLeaving(gsNearMissReport const& report, std::ostream& out)
{
  out << "Last requests to upstreams after the first host knew that they "
         "leave, by host (bound "
      << MillisText(report.LeavingBound) << " ms; clocks of hosts may differ "
      << "by some ms):\n";
  std::vector<Cells> rows;
  if (!report.Leaving.empty()) {
    rows.push_back(TimesCells(
      { "(all " + std::to_string(report.Leaving.size()) + ")", "", "" },
      report.LastSent));
  }
  for (gsLeavingUpstream const& upstream : report.Leaving) {
    if (upstream.Last.Count > 0) {
      rows.push_back(TimesCells(
        { upstream.Upstream, ClockText(upstream.At), upstream.FirstHost },
        upstream.Last));
    }
  }
  PrintTable({ "upstream", "leaves", "first known to", "hosts", "median_ms",
               "p95_ms", "most_ms" },
             std::move(rows), out);
  out << "\nOf these, beyond " << Fixed(gsNearLeavingShare, 2)
      << " of the bound:\n";
  rows.clear();
  for (gsLastSent const& sent : report.LateSent) {
    rows.push_back(
      { sent.Upstream, sent.Host, sent.Request, MillisText(sent.After) });
  }
  PrintTable({ "upstream", "host", "request", "after_ms" }, std::move(rows),
             out);
}

void PrintBehind(gsNearMissReport const& report, std::ostream& out)
{
  out << "\nKinds of which at least " << gsNearUnserved << " and over "
      << Fixed(gsNearUnservedShare * 1e2, 1) << " % got nothing within "
      << gsNearSpan / gsSeconds(1)
      << " s while less urgent ones began (of the worst such span):\n";
  std::vector<Cells> rows;
  for (gsKindBehind const& behind : report.Behind) {
    gsUnservedCount const& unserved = behind.Unserved;
    rows.push_back(
      { ClockText(behind.From), ClockText(behind.Until),
        ClockText(behind.Worst), behind.Service, behind.Route,
        std::to_string(behind.Priority), std::to_string(behind.Requests),
        Fixed(behind.Share() * 1e2, 1), std::to_string(unserved.TurnedAway),
        std::to_string(unserved.NoUpstream),
        std::to_string(unserved.CallerLeft), std::to_string(unserved.Cut),
        std::to_string(unserved.TimedOut), std::to_string(behind.Failed),
        std::to_string(behind.LessUrgent), std::to_string(behind.LargerPrompt),
        behind.PromptRatio > 0 ? Fixed(behind.PromptRatio, 2) : "-" });
  }
  PrintTable({ "from", "until", "worst from", "service", "route", "priority",
               "requests", "nothing_%", "turned_away", "no_upstream",
               "caller_left", "cut", "timed_out", "failed_answer",
               "less_urgent_begun", "over_twice_as_large", "prompt_ratio" },
             std::move(rows), out);
}

void PrintClosed(gsNearMissReport const& report, std::ostream& out)
{
  out << "\nStreams closed by their host after the caller had events:\n";
  std::vector<Cells> rows;
  for (gsClosedStreams const& closed : report.Closed) {
    rows.push_back({ closed.Cause, closed.Route, std::to_string(closed.Count),
                     ClockText(closed.LastAt), closed.LastHost,
                     closed.LastRequest });
  }
  PrintTable({ "cause", "route", "streams", "last at", "host", "request" },
             std::move(rows), out);
}

void PrintStops(gsNearMissReport const& report, std::ostream& out)
{
  out << "\nPlanned stops, and requests that began more than "
      << MillisText(gsNearStopStart) << " ms after:\n";
  std::vector<Cells> rows;
  for (gsPlannedStop const& stop : report.Stops) {
    bool late = stop.LateStarts > 0;
    rows.push_back({ stop.Host, ClockText(stop.At),
                     stop.Ended ? MillisText(stop.Took) : "no end",
                     std::to_string(stop.Cut), std::to_string(stop.Open),
                     std::to_string(stop.Unread),
                     std::to_string(stop.LateStarts),
                     late ? MillisText(stop.LastStart) : "-",
                     late ? stop.LastRequest : "-" });
  }
  PrintTable({ "host", "stopping", "took_ms", "cut", "open", "unread",
               "late_starts", "last_ms", "request" },
             std::move(rows), out);
}

std::string HostsText(std::vector<std::string> const& hosts)
{
  std::string text = std::to_string(hosts.size()) + " (";
  for (std::size_t i = 0; i < std::min(hosts.size(), HostsShown); ++i) {
    text += (i == 0 ? "" : ", ") + hosts[i];
  }
  return text + (hosts.size() > HostsShown ? ", ...)" : ")");
}

void PrintDiffering(gsNearMissReport const& report, std::ostream& out)
{
  out << "\nCopies of tables that hosts found to differ:\n";
  std::vector<Cells> rows;
  for (gsDifferingTable const& table : report.Differing) {
    rows.push_back({ table.Host, table.Table, std::to_string(table.Times),
                     table.Version, table.Rows, table.Peer, table.PeerRows });
  }
  PrintTable(
    { "host", "table", "times", "last version", "rows", "peer", "peer_rows" },
    std::move(rows), out);
  out << "\nVersions of the upstreams' table with different rows "
         "(listed/leaving):\n";
  rows.clear();
  for (gsDifferingVersion const& version : report.Versions) {
    std::string hosts;
    for (auto const& [counts, names] : version.Hosts) {
      hosts += (hosts.empty() ? "" : "; ") + counts + ": " + HostsText(names);
    }
    rows.push_back({ std::to_string(version.Version),
                     MillisText(version.Longest), std::move(hosts) });
  }
  PrintTable({ "row_version", "longest_ms", "hosts" }, std::move(rows), out);
}

void PrintIgnored(gsNearMissReport const& report, std::ostream& out)
{
  out
    << "\nRequests of a host to an upstream that had told it that it leaves ("
    << MillisText(gsNearWordBound) << " ms), or asked it for rest (more than "
    << gsNearRestMost << "):\n";
  std::vector<Cells> rows;
  for (gsIgnoredWord const& word : report.Ignored) {
    rows.push_back({ word.Upstream, word.Host,
                     word.Leaving ? "leaves" : "rest", ClockText(word.At),
                     std::to_string(word.Count), MillisText(word.Last),
                     word.LastRequest });
  }
  PrintTable(
    { "upstream", "host", "said", "at", "requests", "last_after_ms", "last" },
    std::move(rows), out);
}

Json TimesJson(gsNearTimes const& times)
{
  return { { "hosts", times.Count },
           { "median_ms", Millis(times.Median) },
           { "p95_ms", Millis(times.P95) },
           { "most_ms", Millis(times.Most) } };
}

Json LeavingJson(gsNearMissReport const& report)
{
  Json upstreams = Json::array();
  for (gsLeavingUpstream const& upstream : report.Leaving) {
    upstreams.push_back({ { "upstream", upstream.Upstream },
                          { "at", DateText(upstream.At) },
                          { "first_host", upstream.FirstHost },
                          { "last_request", TimesJson(upstream.Last) } });
  }
  Json late = Json::array();
  for (gsLastSent const& sent : report.LateSent) {
    late.push_back({ { "upstream", sent.Upstream },
                     { "host", sent.Host },
                     { "request", sent.Request },
                     { "after_ms", Millis(sent.After) } });
  }
  return { { "bound_ms", Millis(report.LeavingBound) },
           { "told_share", gsNearLeavingShare },
           { "last_request", TimesJson(report.LastSent) },
           { "upstreams", upstreams },
           { "beyond_share", late } };
}

Json IgnoredJson(gsIgnoredWord const& word)
{
  return { { "upstream", word.Upstream },
           { "host", word.Host },
           { "said", word.Leaving ? "leaves" : "rest" },
           { "at", DateText(word.At) },
           { "requests", word.Count },
           { "last_after_ms", Millis(word.Last) },
           { "last_request", word.LastRequest } };
}

Json BehindJson(gsKindBehind const& behind)
{
  gsUnservedCount const& unserved = behind.Unserved;
  return { { "from", DateText(behind.From) },
           { "until", DateText(behind.Until) },
           { "worst_from", DateText(behind.Worst) },
           { "service", behind.Service },
           { "route", behind.Route },
           { "priority", behind.Priority },
           { "requests", behind.Requests },
           { "unserved_share", behind.Share() },
           { "turned_away", unserved.TurnedAway },
           { "no_upstream", unserved.NoUpstream },
           { "caller_left", unserved.CallerLeft },
           { "cut", unserved.Cut },
           { "timed_out", unserved.TimedOut },
           { "failed_answer", behind.Failed },
           { "less_urgent_begun", behind.LessUrgent },
           { "over_twice_as_large", behind.LargerPrompt },
           { "prompt_ratio", behind.PromptRatio } };
}

Json ClosedJson(gsClosedStreams const& closed)
{
  return { { "cause", closed.Cause },   { "route", closed.Route },
           { "streams", closed.Count }, { "last_at", DateText(closed.LastAt) },
           { "host", closed.LastHost }, { "request", closed.LastRequest } };
}

Json StopJson(gsPlannedStop const& stop)
{
  return { { "host", stop.Host },
           { "stopping", DateText(stop.At) },
           { "ended", stop.Ended },
           { "took_ms", Millis(stop.Took) },
           { "cut", stop.Cut },
           { "open", stop.Open },
           { "unread", stop.Unread },
           { "late_starts", stop.LateStarts },
           { "last_start_ms", Millis(stop.LastStart) },
           { "request", stop.LastRequest } };
}

Json TableJson(gsDifferingTable const& table)
{
  return { { "host", table.Host },         { "table", table.Table },
           { "times", table.Times },       { "version", table.Version },
           { "rows", table.Rows },         { "peer", table.Peer },
           { "peer_rows", table.PeerRows } };
}

Json VersionJson(gsDifferingVersion const& version)
{
  return { { "row_version", version.Version },
           { "longest_ms", Millis(version.Longest) },
           { "hosts", version.Hosts } };
}

template<typename Row>
Json ListJson(std::vector<Row> const& rows, Json (*write)(Row const&))
{
  Json list = Json::array();
  for (Row const& row : rows) {
    list.push_back(write(row));
  }
  return list;
}

} // namespace

gsResult<gsNearMissReport> gsNearMissesFromFiles(
  std::vector<std::string> const& files, gsTime leavingBound)
{
  gsNearMissReader reader;
  gsResult<std::size_t> read =
    gsReadLogFiles(files, [&reader](gsLogRecord const& record) {
      gsNearMissTake(reader, record);
    });
  if (!read) {
    return read.error();
  }
  if (read.value() == 0) {
    return gsError{
      "no_lines", "No line is one of a daemon's log.", "near-misses", {}
    };
  }
  return gsNearMissSum(reader, leavingBound);
}

void gsPrintNearMisses(gsNearMissReport const& report, std::ostream& out)
{
  PrintLeaving(report, out);
  PrintIgnored(report, out);
  PrintBehind(report, out);
  PrintClosed(report, out);
  PrintStops(report, out);
  PrintDiffering(report, out);
}

void gsPrintNearMissesJson(gsNearMissReport const& report, std::ostream& out)
{
  Json whole{ { "first_line", DateText(report.FirstAt) },
              { "leaving", LeavingJson(report) },
              { "ignored_words", ListJson(report.Ignored, IgnoredJson) },
              { "behind", ListJson(report.Behind, BehindJson) },
              { "closed_streams", ListJson(report.Closed, ClosedJson) },
              { "stops", ListJson(report.Stops, StopJson) },
              { "differing_tables", ListJson(report.Differing, TableJson) },
              { "differing_versions",
                ListJson(report.Versions, VersionJson) } };
  out << whole.dump(2) << '\n';
}
