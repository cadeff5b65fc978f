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

Cells TimesCells(Cells first, gsDurationSummary const& times)
{
  first.push_back(std::to_string(times.Count));
  first.push_back(MillisText(times.Median));
  first.push_back(MillisText(times.P95));
  first.push_back(MillisText(times.Max));
  return first;
}

void PrintLeaving(gsNearMissReport const& report, std::ostream& out)
{
  out << "Last requests to upstreams after the first host knew that they "
         "leave, by host (bound "
      << MillisText(report.LeavingBound) << " ms; clocks of hosts may differ "
      << "by some ms):\n";
  std::vector<Cells> rows;
  if (!report.LeavingUpstreams.empty()) {
    rows.push_back(TimesCells(
      { "(all " + std::to_string(report.LeavingUpstreams.size()) + ")", "",
        "" },
      report.LastRequestDelays));
  }
  for (gsLeavingUpstream const& upstream : report.LeavingUpstreams) {
    if (upstream.LastRequestDelays.Count > 0) {
      rows.push_back(
        TimesCells({ upstream.Upstream, ClockText(upstream.DetectedAt),
                     upstream.FirstHost },
                   upstream.LastRequestDelays));
    }
  }
  PrintTable({ "upstream", "leaves", "first known to", "hosts", "median_ms",
               "p95_ms", "most_ms" },
             std::move(rows), out);
  out << "\nOf these, beyond " << Fixed(gsNearMissLeavingShare, 2)
      << " of the bound:\n";
  rows.clear();
  for (gsLastUpstreamRequest const& sent : report.LateRequests) {
    rows.push_back(
      { sent.Upstream, sent.Host, sent.RequestId, MillisText(sent.Delay) });
  }
  PrintTable({ "upstream", "host", "request", "after_ms" }, std::move(rows),
             out);
}

void PrintBehind(gsNearMissReport const& report, std::ostream& out)
{
  out << "\nKinds of which at least " << gsNearMissMinUnserved << " and over "
      << Fixed(gsNearMissUnservedShare * 1e2, 1) << " % got nothing within "
      << gsNearMissWindow / gsSeconds(1)
      << " s while less urgent ones began (of the worst such span):\n";
  std::vector<Cells> rows;
  for (gsStarvedRoute const& behind : report.StarvedRoutes) {
    gsUnservedCounts const& unserved = behind.Unserved;
    rows.push_back(
      { ClockText(behind.From), ClockText(behind.Until),
        ClockText(behind.WorstWindowAt), behind.Service, behind.Route,
        std::to_string(behind.Priority), std::to_string(behind.RequestCount),
        Fixed(behind.UnservedShare() * 1e2, 1),
        std::to_string(unserved.Rejected), std::to_string(unserved.NoUpstream),
        std::to_string(unserved.CallerLeft),
        std::to_string(unserved.Incomplete), std::to_string(unserved.TimedOut),
        std::to_string(behind.FailedRequests),
        std::to_string(behind.LessUrgentStarted),
        std::to_string(behind.LargerPromptStarted),
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
  for (gsInterruptedStreams const& closed : report.InterruptedStreams) {
    rows.push_back(
      { closed.Cause, closed.Route, std::to_string(closed.StreamCount),
        ClockText(closed.LastAt), closed.LastHost, closed.LastRequest });
  }
  PrintTable({ "cause", "route", "streams", "last at", "host", "request" },
             std::move(rows), out);
}

void PrintStops(gsNearMissReport const& report, std::ostream& out)
{
  out << "\nPlanned stops, and requests that began more than "
      << MillisText(gsNearMissStopDetectionTime) << " ms after:\n";
  std::vector<Cells> rows;
  for (gsPlannedStop const& stop : report.PlannedStops) {
    bool late = stop.LateRequests > 0;
    rows.push_back({ stop.Host, ClockText(stop.StartedAt),
                     stop.Ended ? MillisText(stop.Duration) : "no end",
                     std::to_string(stop.InterruptedRequests),
                     std::to_string(stop.OpenExchanges),
                     std::to_string(stop.UnreadConnections),
                     std::to_string(stop.LateRequests),
                     late ? MillisText(stop.LastLateRequestDelay) : "-",
                     late ? stop.LastLateRequest : "-" });
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
  for (gsDivergentTable const& table : report.DivergentTables) {
    rows.push_back({ table.Host, table.Table,
                     std::to_string(table.DetectionCount), table.Version,
                     table.Rows, table.Peer, table.PeerRows });
  }
  PrintTable(
    { "host", "table", "times", "last version", "rows", "peer", "peer_rows" },
    std::move(rows), out);
  out << "\nVersions of the upstreams' table with different rows "
         "(listed/leaving):\n";
  rows.clear();
  for (gsDivergentVersion const& version : report.DivergentVersions) {
    std::string hosts;
    for (auto const& [counts, names] : version.HostsByRowCounts) {
      hosts += (hosts.empty() ? "" : "; ") + counts + ": " + HostsText(names);
    }
    rows.push_back({ std::to_string(version.Version),
                     MillisText(version.LongestDivergence),
                     std::move(hosts) });
  }
  PrintTable({ "row_version", "longest_ms", "hosts" }, std::move(rows), out);
}

void PrintIgnored(gsNearMissReport const& report, std::ostream& out)
{
  out
    << "\nRequests of a host to an upstream that had told it that it leaves ("
    << MillisText(gsNearMissAnnouncementGracePeriod)
    << " ms), or asked it for rest (more than "
    << gsNearMissMaxRetryDelayRequests << "):\n";
  std::vector<Cells> rows;
  for (gsIgnoredAnnouncement const& word : report.IgnoredAnnouncements) {
    rows.push_back(
      { word.Upstream, word.Host, word.Leaving ? "leaves" : "rest",
        ClockText(word.AnnouncedAt), std::to_string(word.RequestCount),
        MillisText(word.LastRequestDelay), word.LastRequest });
  }
  PrintTable(
    { "upstream", "host", "said", "at", "requests", "last_after_ms", "last" },
    std::move(rows), out);
}

Json TimesJson(gsDurationSummary const& times)
{
  return { { "hosts", times.Count },
           { "median_ms", Millis(times.Median) },
           { "p95_ms", Millis(times.P95) },
           { "most_ms", Millis(times.Max) } };
}

Json LeavingJson(gsNearMissReport const& report)
{
  Json upstreams = Json::array();
  for (gsLeavingUpstream const& upstream : report.LeavingUpstreams) {
    upstreams.push_back(
      { { "upstream", upstream.Upstream },
        { "at", DateText(upstream.DetectedAt) },
        { "first_host", upstream.FirstHost },
        { "last_request", TimesJson(upstream.LastRequestDelays) } });
  }
  Json late = Json::array();
  for (gsLastUpstreamRequest const& sent : report.LateRequests) {
    late.push_back({ { "upstream", sent.Upstream },
                     { "host", sent.Host },
                     { "request", sent.RequestId },
                     { "after_ms", Millis(sent.Delay) } });
  }
  return { { "bound_ms", Millis(report.LeavingBound) },
           { "told_share", gsNearMissLeavingShare },
           { "last_request", TimesJson(report.LastRequestDelays) },
           { "upstreams", upstreams },
           { "beyond_share", late } };
}

Json IgnoredJson(gsIgnoredAnnouncement const& word)
{
  return { { "upstream", word.Upstream },
           { "host", word.Host },
           { "said", word.Leaving ? "leaves" : "rest" },
           { "at", DateText(word.AnnouncedAt) },
           { "requests", word.RequestCount },
           { "last_after_ms", Millis(word.LastRequestDelay) },
           { "last_request", word.LastRequest } };
}

Json BehindJson(gsStarvedRoute const& behind)
{
  gsUnservedCounts const& unserved = behind.Unserved;
  return { { "from", DateText(behind.From) },
           { "until", DateText(behind.Until) },
           { "worst_from", DateText(behind.WorstWindowAt) },
           { "service", behind.Service },
           { "route", behind.Route },
           { "priority", behind.Priority },
           { "requests", behind.RequestCount },
           { "unserved_share", behind.UnservedShare() },
           { "turned_away", unserved.Rejected },
           { "no_upstream", unserved.NoUpstream },
           { "caller_left", unserved.CallerLeft },
           { "cut", unserved.Incomplete },
           { "timed_out", unserved.TimedOut },
           { "failed_answer", behind.FailedRequests },
           { "less_urgent_begun", behind.LessUrgentStarted },
           { "over_twice_as_large", behind.LargerPromptStarted },
           { "prompt_ratio", behind.PromptRatio } };
}

Json ClosedJson(gsInterruptedStreams const& closed)
{
  return {
    { "cause", closed.Cause },         { "route", closed.Route },
    { "streams", closed.StreamCount }, { "last_at", DateText(closed.LastAt) },
    { "host", closed.LastHost },       { "request", closed.LastRequest }
  };
}

Json StopJson(gsPlannedStop const& stop)
{
  return { { "host", stop.Host },
           { "stopping", DateText(stop.StartedAt) },
           { "ended", stop.Ended },
           { "took_ms", Millis(stop.Duration) },
           { "cut", stop.InterruptedRequests },
           { "open", stop.OpenExchanges },
           { "unread", stop.UnreadConnections },
           { "late_starts", stop.LateRequests },
           { "last_start_ms", Millis(stop.LastLateRequestDelay) },
           { "request", stop.LastLateRequest } };
}

Json TableJson(gsDivergentTable const& table)
{
  return { { "host", table.Host },
           { "table", table.Table },
           { "times", table.DetectionCount },
           { "version", table.Version },
           { "rows", table.Rows },
           { "peer", table.Peer },
           { "peer_rows", table.PeerRows } };
}

Json VersionJson(gsDivergentVersion const& version)
{
  return { { "row_version", version.Version },
           { "longest_ms", Millis(version.LongestDivergence) },
           { "hosts", version.HostsByRowCounts } };
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
  gsNearMissCollector reader;
  gsResult<std::size_t> read =
    gsReadLogFiles(files, [&reader](gsLogRecord const& record) {
      gsCollectNearMissRecord(reader, record);
    });
  if (!read) {
    return read.error();
  }
  if (read.value() == 0) {
    return gsError{
      "no_lines", "No line is one of a daemon's log.", "near-misses", {}
    };
  }
  return gsBuildNearMissReport(reader, leavingBound);
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
  Json whole{
    { "first_line", DateText(report.FirstAt) },
    { "leaving", LeavingJson(report) },
    { "ignored_words", ListJson(report.IgnoredAnnouncements, IgnoredJson) },
    { "behind", ListJson(report.StarvedRoutes, BehindJson) },
    { "closed_streams", ListJson(report.InterruptedStreams, ClosedJson) },
    { "stops", ListJson(report.PlannedStops, StopJson) },
    { "differing_tables", ListJson(report.DivergentTables, TableJson) },
    { "differing_versions", ListJson(report.DivergentVersions, VersionJson) }
  };
  out << whole.dump(2) << '\n';
}
