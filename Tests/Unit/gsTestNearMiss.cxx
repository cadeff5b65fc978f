/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Tests of the near-miss report on the logs of several hosts. */
#include <gtest/gtest.h>

#include "gsNearMiss.h"

namespace {

using Lines = std::vector<std::string>;

/** A log line of a host, a number of milliseconds after 10:10. */
std::string LogLine(int millis, std::string const& host,
                    std::string const& fields)
{
  constexpr int perSecond = 1000;
  constexpr std::size_t digits = 3;
  std::string second = std::to_string(millis / perSecond);
  std::string fraction = std::to_string(millis % perSecond);
  return host + " | ts=2026-12-02T10:10:" +
         std::string(second.size() < 2 ? "0" : "") + second + "." +
         std::string(digits - fraction.size(), '0') + fraction +
         "+0000 level=INFO event=" + fields;
}

gsNearMissReport BuildReport(Lines const& lines)
{
  gsNearMissCollector collector;
  for (std::string const& line : lines) {
    std::optional<gsLogRecord> record = gsParseLogLine(line);
    EXPECT_TRUE(record) << line;
    if (record) {
      gsCollectNearMissRecord(collector, *record);
    }
  }
  return gsBuildNearMissReport(collector);
}

/** A request to be logged; by default an urgent one at h1. */
struct TestRequest
{
  std::string Id;
  std::string Host = "h1";
  std::string Route = "chat";
  std::string Priority = "1";
  std::string Prompt = "100";
};

std::string PlaceLine(int millis, TestRequest const& request,
                      std::string const& upstream = "u1")
{
  return LogLine(millis, request.Host,
                 "place request=" + request.Id + " route=" + request.Route +
                   " priority=" + request.Priority +
                   " service=s1 attempt=1 prompt_tokens=" + request.Prompt +
                   " cause=preferred candidates=2 upstream=" + upstream +
                   " stream=yes");
}

std::string AttemptLine(int millis, TestRequest const& request,
                        std::string const& fields)
{
  return LogLine(millis, request.Host,
                 "attempt request=" + request.Id + " upstream=u1 " + fields);
}

std::string EndLine(int millis, TestRequest const& request,
                    std::string const& fields)
{
  return LogLine(millis, request.Host,
                 "end request=" + request.Id + " route=" + request.Route +
                   " " + fields);
}

/** Adds the records of a request with a complete answer. */
void AddServedRequest(Lines& lines, int millis, TestRequest const& request,
                      std::string const& upstream = "u1")
{
  lines.push_back(PlaceLine(millis, request, upstream));
  lines.push_back(
    AttemptLine(millis + 10, request, "end=whole status=200 first_ms=5.000"));
  lines.push_back(EndLine(millis + 10, request, "result=whole begun=yes"));
}

/** Adds the records of a request that an upstream rejects. */
void AddRejectedRequest(Lines& lines, int millis, TestRequest const& request)
{
  lines.push_back(PlaceLine(millis, request));
  lines.push_back(
    AttemptLine(millis + 5, request, "end=not_executed status=503"));
  lines.push_back(
    EndLine(millis + 5, request, "result=not_executed ran=no begun=no"));
}

constexpr int RequestCount = 20;

/** RequestCount urgent requests, the first rejectedCount of which are rejected
 * by their upstream, and as many served requests like otherTemplate. */
Lines LinesOfTwoRoutes(TestRequest const& otherTemplate, int rejectedCount)
{
  Lines lines;
  for (int i = 0; i < RequestCount; ++i) {
    TestRequest urgent{ "a" + std::to_string(i) };
    if (i < rejectedCount) {
      AddRejectedRequest(lines, 1000 + i, urgent);
    } else {
      AddServedRequest(lines, 1000 + i, urgent);
    }
    TestRequest otherRequest = otherTemplate;
    otherRequest.Id = "b" + std::to_string(i);
    AddServedRequest(lines, 2000 + i, otherRequest);
  }
  return lines;
}

} // namespace

TEST(NearMiss, ReportIsEmptyWithoutNearMisses)
{
  Lines lines{ LogLine(0, "h1", "upstreams listed=2 leaving=0 row_version=4"),
               LogLine(5, "h2",
                       "upstreams listed=2 leaving=0 row_version=4") };
  for (int i = 0; i < RequestCount; ++i) {
    AddServedRequest(lines, 100 + i, { "a" + std::to_string(i) });
    AddServedRequest(lines, 100 + i,
                     { "b" + std::to_string(i), "h2", "bulk", "4" });
  }
  gsNearMissReport report = BuildReport(lines);
  EXPECT_TRUE(report.LeavingUpstreams.empty());
  EXPECT_TRUE(report.LateRequests.empty());
  EXPECT_TRUE(report.StarvedRoutes.empty());
  EXPECT_TRUE(report.InterruptedStreams.empty());
  EXPECT_TRUE(report.PlannedStops.empty());
  EXPECT_TRUE(report.DivergentTables.empty());
  EXPECT_TRUE(report.DivergentVersions.empty());
}

TEST(NearMiss, ReportsLastRequestOfEachHostToLeavingUpstream)
{
  Lines lines{
    LogLine(1000, "h1", "upstream_leaving upstream=u1 row_version=7"),
    LogLine(1400, "h2", "upstream_leaving upstream=u1 row_version=7"),
    LogLine(5000, "h2", "upstream_gone upstream=u1 row_version=9"),
  };
  AddServedRequest(lines, 900, { "before", "h1" });
  AddServedRequest(lines, 1100, { "first", "h2" });
  AddServedRequest(lines, 1300, { "last", "h2" });
  AddServedRequest(lines, 2600, { "late", "h3" });
  AddServedRequest(lines, 2700, { "other", "h3" }, "u2");
  gsNearMissReport report = BuildReport(lines);
  ASSERT_EQ(report.LeavingUpstreams.size(), 1U);
  EXPECT_EQ(report.LeavingUpstreams[0].FirstHost, "h1");
  EXPECT_EQ(report.LeavingUpstreams[0].LastRequestDelays.Count, 2U);
  EXPECT_EQ(report.LeavingUpstreams[0].LastRequestDelays.Median,
            gsMilliseconds(300));
  EXPECT_EQ(report.LeavingUpstreams[0].LastRequestDelays.Max,
            gsMilliseconds(1600));
  EXPECT_EQ(report.LastRequestDelays.Count, 2U);
  ASSERT_EQ(report.LateRequests.size(), 1U);
  EXPECT_EQ(report.LateRequests[0].Host, "h3");
  EXPECT_EQ(report.LateRequests[0].RequestId, "late");
}

TEST(NearMiss, IgnoresUnsentRequestsAndRequestsAfterRelisting)
{
  TestRequest unsent{ "unsent" };
  TestRequest moved{ "moved" };
  Lines lines{
    LogLine(1000, "h1", "upstream_gone upstream=u1 row_version=7"),
    // An outdated replica of h2 contains the row before the change.
    LogLine(1100, "h2", "upstream_listed upstream=u1 row_version=5"),
    PlaceLine(1500, unsent),
    AttemptLine(1501, unsent, "end=not_sent status=0"),
    PlaceLine(1600, moved),
    AttemptLine(1601, moved, "end=not_executed status=421"),
    LogLine(2000, "h1", "upstream_listed upstream=u1 row_version=8"),
    LogLine(2100, "h3", "upstream_gone upstream=u1 row_version=7"),
  };
  AddServedRequest(lines, 1200, { "early" });
  AddServedRequest(lines, 4000, { "proper" });
  gsNearMissReport report = BuildReport(lines);
  ASSERT_EQ(report.LeavingUpstreams.size(), 1U);
  EXPECT_EQ(report.LeavingUpstreams[0].LastRequestDelays.Count, 1U);
  EXPECT_EQ(report.LeavingUpstreams[0].LastRequestDelays.Max,
            gsMilliseconds(200));
}

TEST(NearMiss, CountsRequestAsSentWhenItsHostGaveItUp)
{
  TestRequest left{ "left" };
  gsNearMissReport report = BuildReport({
    LogLine(1000, "h1", "upstream_leaving upstream=u1 row_version=7"),
    PlaceLine(3500, left),
    EndLine(3900, left, "result=caller_left ran=no begun=no"),
  });
  ASSERT_EQ(report.LateRequests.size(), 1U);
  EXPECT_EQ(report.LateRequests[0].Delay, gsMilliseconds(2500));
}

TEST(NearMiss, ReportsStarvedRouteWhenLessUrgentLargerRequestsStart)
{
  gsNearMissReport report =
    BuildReport(LinesOfTwoRoutes({ "", "h2", "bulk", "4", "300" }, 10));
  ASSERT_EQ(report.StarvedRoutes.size(), 1U);
  gsStarvedRoute const& behind = report.StarvedRoutes[0];
  EXPECT_EQ(behind.Service, "s1");
  EXPECT_EQ(behind.Route, "chat");
  EXPECT_EQ(behind.RequestCount, 20U);
  EXPECT_EQ(behind.Unserved.Rejected, 10U);
  EXPECT_DOUBLE_EQ(behind.UnservedShare(), 0.5);
  EXPECT_EQ(behind.LessUrgentStarted, 20U);
  EXPECT_EQ(behind.LargerPromptStarted, 20U);
  EXPECT_DOUBLE_EQ(behind.PromptRatio, 3);
}

TEST(NearMiss, ReportsNoStarvationBelowThresholdOrByMoreUrgentRoute)
{
  EXPECT_TRUE(
    BuildReport(LinesOfTwoRoutes({ "", "h2", "bulk", "4", "300" }, 9))
      .StarvedRoutes.empty());
  EXPECT_TRUE(
    BuildReport(LinesOfTwoRoutes({ "", "h2", "first", "0", "300" }, 15))
      .StarvedRoutes.empty());
}

TEST(NearMiss, CountsUnservedRequestsByCause)
{
  std::vector<std::pair<std::string, int>> ends{
    { "result=caller_left begun=no", 3 },
    { "result=caller_left begun=yes", 2 },
    { "result=broken begun=yes", 2 },
    { "result=route_timeout begun=no", 2 },
    { "result=no_upstream begun=no", 4 },
    { "result=failed_answer begun=no", 5 }
  };
  Lines lines;
  AddServedRequest(lines, 1500, { "bulk", "h2", "bulk", "4" });
  int number = 0;
  for (auto const& [result, count] : ends) {
    for (int i = 0; i < count; ++i) {
      TestRequest request{ "a" + std::to_string(number++) };
      lines.push_back(PlaceLine(1000, request));
      lines.push_back(EndLine(1800, request, result));
    }
  }
  gsNearMissReport report = BuildReport(lines);
  ASSERT_EQ(report.StarvedRoutes.size(), 1U);
  gsStarvedRoute const& behind = report.StarvedRoutes[0];
  EXPECT_EQ(behind.RequestCount, 18U);
  EXPECT_EQ(behind.Unserved.CallerLeft, 3U);
  EXPECT_EQ(behind.Unserved.Incomplete, 2U);
  EXPECT_EQ(behind.Unserved.TimedOut, 2U);
  EXPECT_EQ(behind.Unserved.NoUpstream, 4U);
  EXPECT_EQ(behind.FailedRequests, 5U);
}

TEST(NearMiss, ReportsStreamsInterruptedAfterEventsByCause)
{
  TestRequest silent{ "silent" };
  TestRequest broken{ "broken" };
  TestRequest late{ "late" };
  TestRequest bare{ "bare" };
  TestRequest left{ "left" };
  gsNearMissReport report = BuildReport({
    PlaceLine(1000, silent),
    AttemptLine(2000, silent, "end=broken status=200 first_ms=9 silent=yes"),
    EndLine(2000, silent, "result=broken ran=yes begun=yes"),
    PlaceLine(1000, broken),
    AttemptLine(2100, broken, "end=broken status=200 first_ms=9"),
    EndLine(2100, broken, "result=broken ran=yes begun=yes"),
    PlaceLine(1000, late),
    EndLine(2200, late, "result=route_timeout ran=yes begun=yes"),
    PlaceLine(1000, bare),
    AttemptLine(2300, bare, "end=broken status=0"),
    EndLine(2300, bare, "result=broken ran=yes begun=no"),
    PlaceLine(1000, left),
    EndLine(2400, left, "result=caller_left ran=no begun=yes"),
  });
  ASSERT_EQ(report.InterruptedStreams.size(), 3U);
  EXPECT_EQ(report.InterruptedStreams[0].Cause, "silence");
  EXPECT_EQ(report.InterruptedStreams[0].LastRequest, "silent");
  EXPECT_EQ(report.InterruptedStreams[1].Cause, "timeout");
  EXPECT_EQ(report.InterruptedStreams[2].Cause, "upstream_broke");
  EXPECT_EQ(report.InterruptedStreams[2].StreamCount, 1U);
}

TEST(NearMiss, ReportsPlannedStopAndLateRequests)
{
  TestRequest again{ "again" };
  Lines lines{ PlaceLine(900, again), LogLine(1000, "h1", "stopping open=1") };
  AddServedRequest(lines, 1900, { "soon" });
  AddServedRequest(lines, 2300, { "late" });
  AddServedRequest(lines, 2500, { "elsewhere", "h2" });
  lines.push_back(PlaceLine(2600, again));
  lines.push_back(LogLine(4000, "h1", "stopped cut=1 open=2 unread=3"));
  lines.push_back(LogLine(5000, "h1", "started host=h1"));
  AddServedRequest(lines, 6000, { "new" });
  gsNearMissReport report = BuildReport(lines);
  ASSERT_EQ(report.PlannedStops.size(), 1U);
  gsPlannedStop const& stop = report.PlannedStops[0];
  EXPECT_TRUE(stop.Ended);
  EXPECT_EQ(stop.Duration, gsMilliseconds(3000));
  EXPECT_EQ(stop.InterruptedRequests, 1U);
  EXPECT_EQ(stop.OpenExchanges, 2U);
  EXPECT_EQ(stop.UnreadConnections, 3U);
  EXPECT_EQ(stop.LateRequests, 1U);
  EXPECT_EQ(stop.LastLateRequestDelay, gsMilliseconds(1300));
  EXPECT_EQ(stop.LastLateRequest, "late");
  ASSERT_EQ(report.InterruptedStreams.size(), 1U);
  EXPECT_EQ(report.InterruptedStreams[0].Cause, "stop");
  EXPECT_EQ(report.InterruptedStreams[0].LastRequest, "again");
}

TEST(NearMiss, StopHasNoEndWhenHostRestartsBeforeIt)
{
  gsNearMissReport report =
    BuildReport({ LogLine(1000, "h1", "stopping open=0"),
                  LogLine(5000, "h1", "started host=h1"),
                  LogLine(9000, "h1", "stopped cut=0") });
  ASSERT_EQ(report.PlannedStops.size(), 1U);
  EXPECT_FALSE(report.PlannedStops[0].Ended);
}

TEST(NearMiss, ReportsDivergentReplicas)
{
  std::string differs =
    "table_differs table=upstreams version=7 peer=h2 rows=5 peer_rows=4";
  gsNearMissReport report = BuildReport({
    LogLine(1000, "h1", "upstreams listed=4 leaving=1 row_version=7"),
    LogLine(1000, "h2", "upstreams listed=4 leaving=1 row_version=7"),
    LogLine(1000, "h3", "upstreams listed=5 leaving=1 row_version=7"),
    LogLine(1100, "h1", "upstreams listed=5 leaving=0 row_version=8"),
    LogLine(1200, "h3", "upstreams listed=6 leaving=0 row_version=8"),
    LogLine(1300, "h3", "upstreams listed=5 leaving=0 row_version=8"),
    LogLine(2000, "h3", differs),
    LogLine(3000, "h3", differs),
  });
  ASSERT_EQ(report.DivergentTables.size(), 1U);
  EXPECT_EQ(report.DivergentTables[0].Host, "h3");
  EXPECT_EQ(report.DivergentTables[0].DetectionCount, 2U);
  EXPECT_EQ(report.DivergentTables[0].Rows, "5");
  EXPECT_EQ(report.DivergentTables[0].PeerRows, "4");
  // Per host and version, only the last row counts are compared.
  ASSERT_EQ(report.DivergentVersions.size(), 1U);
  EXPECT_EQ(report.DivergentVersions[0].Version, 7U);
  EXPECT_EQ(report.DivergentVersions[0].HostsByRowCounts["5/1"],
            Lines{ "h3" });
  EXPECT_EQ(report.DivergentVersions[0].LongestDivergence,
            gsMilliseconds(200));
}

TEST(NearMiss, ComparesReplicasByCompleteVersion)
{
  std::string seven = "upstreams listed=4 leaving=0 row_version=7";
  std::string other = "upstreams listed=5 leaving=0 row_version=7";
  gsNearMissReport report = BuildReport({
    // The last row is the same, but only h1 and h3 are complete beyond it.
    LogLine(1000, "h1", seven + " complete_to=8"),
    LogLine(1000, "h2", other + " complete_to=7"),
    LogLine(1000, "h3", other + " complete_to=8"),
    // These replicas may be incomplete.
    LogLine(1000, "h4", seven + " complete_to=0"),
    LogLine(1000, "h5", other + " complete_to=0"),
    // After an incomplete update, h6 contains rows beyond version 8.
    LogLine(1000, "h6", "table_learned table=upstreams rows=1 complete=no"),
    LogLine(1000, "h6",
            "upstreams listed=9 leaving=0 row_version=7 complete_to=8"),
  });
  ASSERT_EQ(report.DivergentVersions.size(), 1U);
  EXPECT_EQ(report.DivergentVersions[0].Version, 8U);
  EXPECT_EQ(report.DivergentVersions[0].HostsByRowCounts.size(), 2U);
  EXPECT_EQ(report.DivergentVersions[0].HostsByRowCounts["4/0"],
            Lines{ "h1" });
  EXPECT_EQ(report.DivergentVersions[0].HostsByRowCounts["5/0"],
            Lines{ "h3" });
}

namespace {

/** Adds the record of an announcement that a host received from u1. */
void AddAnnouncement(Lines& lines, int millis, std::string const& fields,
                     std::string const& host = "h1")
{
  lines.push_back(LogLine(
    millis, host, "upstream_says request=w upstream=u1 born=0 " + fields));
}

} // namespace

// An announcement applies only to the host that received it, until that host
// restarts.
TEST(NearMiss, ReportsRequestsSentAfterLeavingAnnouncement)
{
  Lines lines;
  AddAnnouncement(lines, 1000, "status=200 leaving=yes");
  AddServedRequest(lines, 2900, { "q1" });
  AddServedRequest(lines, 3100, { "q2", "h2" });
  EXPECT_TRUE(BuildReport(lines).IgnoredAnnouncements.empty());
  AddServedRequest(lines, 3200, { "q3" });
  std::vector<gsIgnoredAnnouncement> ignored =
    BuildReport(lines).IgnoredAnnouncements;
  ASSERT_EQ(ignored.size(), 1U);
  EXPECT_TRUE(ignored[0].Leaving);
  EXPECT_EQ(ignored[0].Host, "h1");
  EXPECT_EQ(ignored[0].RequestCount, 1U);
  EXPECT_EQ(ignored[0].LastRequestDelay, gsMilliseconds(2200));
  EXPECT_EQ(ignored[0].LastRequest, "q3");
  lines.insert(lines.begin() + 1, LogLine(1500, "h1", "started"));
  EXPECT_TRUE(BuildReport(lines).IgnoredAnnouncements.empty());
}

TEST(NearMiss, ReportsMoreThanTwoRequestsDuringRetryDelay)
{
  Lines lines;
  AddAnnouncement(lines, 1000, "status=503 leaving=no rest_ms=3000.000");
  AddServedRequest(lines, 1200, { "q0" }); // Assumed to be in flight.
  AddServedRequest(lines, 2000, { "q1" });
  AddServedRequest(lines, 3000, { "q2" });
  AddServedRequest(lines, 4001, { "q3" });
  EXPECT_TRUE(BuildReport(lines).IgnoredAnnouncements.empty());
  AddServedRequest(lines, 3900, { "q4" });
  std::vector<gsIgnoredAnnouncement> ignored =
    BuildReport(lines).IgnoredAnnouncements;
  ASSERT_EQ(ignored.size(), 1U);
  EXPECT_FALSE(ignored[0].Leaving);
  EXPECT_EQ(ignored[0].RequestCount, 3U);
}
