/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file What came close to a promise, told from logs of several hosts. */
#include <gtest/gtest.h>

#include "gsNearMiss.h"

namespace {

using Lines = std::vector<std::string>;

/** A line at so many milliseconds after the hour's tenth minute. */
std::string At(int millis, std::string const& host, std::string const& rest)
{
  constexpr int perSecond = 1000;
  constexpr std::size_t digits = 3;
  std::string second = std::to_string(millis / perSecond);
  std::string fraction = std::to_string(millis % perSecond);
  return host + " | ts=2026-12-02T10:10:" +
         std::string(second.size() < 2 ? "0" : "") + second + "." +
         std::string(digits - fraction.size(), '0') + fraction +
         "+0000 level=INFO event=" + rest;
}

gsNearMissReport Report(Lines const& lines)
{
  gsNearMissReader reader;
  for (std::string const& line : lines) {
    std::optional<gsLogRecord> record = gsReadLogLine(line);
    EXPECT_TRUE(record) << line;
    if (record) {
      gsNearMissTake(reader, *record);
    }
  }
  return gsNearMissSum(reader);
}

struct Asked
{
  std::string Id;
  std::string Host = "h1";
  std::string Route = "chat";
  std::string Priority = "1";
  std::string Prompt = "100";
};

std::string Placed(int millis, Asked const& asked,
                   std::string const& upstream = "u1")
{
  return At(millis, asked.Host,
            "place request=" + asked.Id + " route=" + asked.Route +
              " priority=" + asked.Priority +
              " service=s1 attempt=1 prompt_tokens=" + asked.Prompt +
              " cause=preferred candidates=2 upstream=" + upstream +
              " stream=yes");
}

std::string Attempted(int millis, Asked const& asked, std::string const& rest)
{
  return At(millis, asked.Host,
            "attempt request=" + asked.Id + " upstream=u1 " + rest);
}

std::string Ended(int millis, Asked const& asked, std::string const& rest)
{
  return At(millis, asked.Host,
            "end request=" + asked.Id + " route=" + asked.Route + " " + rest);
}

/** A request that is answered whole. */
void AddServed(Lines& lines, int millis, Asked const& asked,
               std::string const& upstream = "u1")
{
  lines.push_back(Placed(millis, asked, upstream));
  lines.push_back(
    Attempted(millis + 10, asked, "end=whole status=200 first_ms=5.000"));
  lines.push_back(Ended(millis + 10, asked, "result=whole begun=yes"));
}

void AddTurnedAway(Lines& lines, int millis, Asked const& asked)
{
  lines.push_back(Placed(millis, asked));
  lines.push_back(Attempted(millis + 5, asked, "end=not_executed status=503"));
  lines.push_back(
    Ended(millis + 5, asked, "result=not_executed ran=no begun=no"));
}

constexpr int Several = 20;

/** Urgent requests, of which every second one is turned away, beside others.
 */
Lines Pressed(Asked const& other, int turnedAway)
{
  Lines lines;
  for (int i = 0; i < Several; ++i) {
    Asked urgent{ "a" + std::to_string(i) };
    if (i < turnedAway) {
      AddTurnedAway(lines, 1000 + i, urgent);
    } else {
      AddServed(lines, 1000 + i, urgent);
    }
    Asked beside = other;
    beside.Id = "b" + std::to_string(i);
    AddServed(lines, 2000 + i, beside);
  }
  return lines;
}

} // namespace

TEST(NearMiss, NothingIsToldOfACalmLog)
{
  Lines lines{ At(0, "h1", "upstreams listed=2 leaving=0 row_version=4"),
               At(5, "h2", "upstreams listed=2 leaving=0 row_version=4") };
  for (int i = 0; i < Several; ++i) {
    AddServed(lines, 100 + i, { "a" + std::to_string(i) });
    AddServed(lines, 100 + i, { "b" + std::to_string(i), "h2", "bulk", "4" });
  }
  gsNearMissReport report = Report(lines);
  EXPECT_TRUE(report.Leaving.empty());
  EXPECT_TRUE(report.LateSent.empty());
  EXPECT_TRUE(report.Behind.empty());
  EXPECT_TRUE(report.Closed.empty());
  EXPECT_TRUE(report.Stops.empty());
  EXPECT_TRUE(report.Differing.empty());
  EXPECT_TRUE(report.Versions.empty());
}

TEST(NearMiss, TheLastRequestOfEachHostToALeavingUpstreamIsTold)
{
  Lines lines{
    At(1000, "h1", "upstream_leaving upstream=u1 row_version=7"),
    At(1400, "h2", "upstream_leaving upstream=u1 row_version=7"),
    At(5000, "h2", "upstream_gone upstream=u1 row_version=9"),
  };
  AddServed(lines, 900, { "before", "h1" });
  AddServed(lines, 1100, { "first", "h2" });
  AddServed(lines, 1300, { "last", "h2" });
  AddServed(lines, 2600, { "late", "h3" });
  AddServed(lines, 2700, { "other", "h3" }, "u2");
  gsNearMissReport report = Report(lines);
  ASSERT_EQ(report.Leaving.size(), 1U);
  EXPECT_EQ(report.Leaving[0].FirstHost, "h1");
  EXPECT_EQ(report.Leaving[0].Last.Count, 2U);
  EXPECT_EQ(report.Leaving[0].Last.Median, gsMilliseconds(300));
  EXPECT_EQ(report.Leaving[0].Last.Most, gsMilliseconds(1600));
  EXPECT_EQ(report.LastSent.Count, 2U);
  ASSERT_EQ(report.LateSent.size(), 1U);
  EXPECT_EQ(report.LateSent[0].Host, "h3");
  EXPECT_EQ(report.LateSent[0].Request, "late");
}

TEST(NearMiss, WhatWasNotSentOrComesAfterANewListingIsNoLateRequest)
{
  Asked unsent{ "unsent" };
  Asked moved{ "moved" };
  Lines lines{
    At(1000, "h1", "upstream_gone upstream=u1 row_version=7"),
    // A copy that is behind reads the row as it was before.
    At(1100, "h2", "upstream_listed upstream=u1 row_version=5"),
    Placed(1500, unsent),
    Attempted(1501, unsent, "end=not_sent status=0"),
    Placed(1600, moved),
    Attempted(1601, moved, "end=not_executed status=421"),
    At(2000, "h1", "upstream_listed upstream=u1 row_version=8"),
    At(2100, "h3", "upstream_gone upstream=u1 row_version=7"),
  };
  AddServed(lines, 1200, { "early" });
  AddServed(lines, 4000, { "proper" });
  gsNearMissReport report = Report(lines);
  ASSERT_EQ(report.Leaving.size(), 1U);
  EXPECT_EQ(report.Leaving[0].Last.Count, 1U);
  EXPECT_EQ(report.Leaving[0].Last.Most, gsMilliseconds(200));
}

TEST(NearMiss, ARequestThatItsHostGaveUpHasBeenSent)
{
  Asked left{ "left" };
  gsNearMissReport report = Report({
    At(1000, "h1", "upstream_leaving upstream=u1 row_version=7"),
    Placed(3500, left),
    Ended(3900, left, "result=caller_left ran=no begun=no"),
  });
  ASSERT_EQ(report.LateSent.size(), 1U);
  EXPECT_EQ(report.LateSent[0].After, gsMilliseconds(2500));
}

TEST(NearMiss, AnUrgentKindTurnedAwayBesideLargerOnesIsTold)
{
  gsNearMissReport report =
    Report(Pressed({ "", "h2", "bulk", "4", "300" }, 10));
  ASSERT_EQ(report.Behind.size(), 1U);
  gsKindBehind const& behind = report.Behind[0];
  EXPECT_EQ(behind.Service, "s1");
  EXPECT_EQ(behind.Route, "chat");
  EXPECT_EQ(behind.Requests, 20U);
  EXPECT_EQ(behind.Unserved.TurnedAway, 10U);
  EXPECT_DOUBLE_EQ(behind.Share(), 0.5);
  EXPECT_EQ(behind.LessUrgent, 20U);
  EXPECT_EQ(behind.LargerPrompt, 20U);
  EXPECT_DOUBLE_EQ(behind.PromptRatio, 3);
}

TEST(NearMiss, ALessUrgentKindOrFewerRequestsAreNoFinding)
{
  EXPECT_TRUE(
    Report(Pressed({ "", "h2", "bulk", "4", "300" }, 9)).Behind.empty());
  EXPECT_TRUE(
    Report(Pressed({ "", "h2", "first", "0", "300" }, 15)).Behind.empty());
}

TEST(NearMiss, CausesOfGettingNothingAreToldApart)
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
  AddServed(lines, 1500, { "bulk", "h2", "bulk", "4" });
  int number = 0;
  for (auto const& [result, count] : ends) {
    for (int i = 0; i < count; ++i) {
      Asked asked{ "a" + std::to_string(number++) };
      lines.push_back(Placed(1000, asked));
      lines.push_back(Ended(1800, asked, result));
    }
  }
  gsNearMissReport report = Report(lines);
  ASSERT_EQ(report.Behind.size(), 1U);
  gsKindBehind const& behind = report.Behind[0];
  EXPECT_EQ(behind.Requests, 18U);
  EXPECT_EQ(behind.Unserved.CallerLeft, 3U);
  EXPECT_EQ(behind.Unserved.Cut, 2U);
  EXPECT_EQ(behind.Unserved.TimedOut, 2U);
  EXPECT_EQ(behind.Unserved.NoUpstream, 4U);
  EXPECT_EQ(behind.Failed, 5U);
}

TEST(NearMiss, StreamsClosedAfterEventsAreToldByCause)
{
  Asked silent{ "silent" };
  Asked broken{ "broken" };
  Asked late{ "late" };
  Asked bare{ "bare" };
  Asked left{ "left" };
  gsNearMissReport report = Report({
    Placed(1000, silent),
    Attempted(2000, silent, "end=broken status=200 first_ms=9 silent=yes"),
    Ended(2000, silent, "result=broken ran=yes begun=yes"),
    Placed(1000, broken),
    Attempted(2100, broken, "end=broken status=200 first_ms=9"),
    Ended(2100, broken, "result=broken ran=yes begun=yes"),
    Placed(1000, late),
    Ended(2200, late, "result=route_timeout ran=yes begun=yes"),
    Placed(1000, bare),
    Attempted(2300, bare, "end=broken status=0"),
    Ended(2300, bare, "result=broken ran=yes begun=no"),
    Placed(1000, left),
    Ended(2400, left, "result=caller_left ran=no begun=yes"),
  });
  ASSERT_EQ(report.Closed.size(), 3U);
  EXPECT_EQ(report.Closed[0].Cause, "silence");
  EXPECT_EQ(report.Closed[0].LastRequest, "silent");
  EXPECT_EQ(report.Closed[1].Cause, "timeout");
  EXPECT_EQ(report.Closed[2].Cause, "upstream_broke");
  EXPECT_EQ(report.Closed[2].Count, 1U);
}

TEST(NearMiss, APlannedStopIsToldWithWhatBeganLate)
{
  Asked again{ "again" };
  Lines lines{ Placed(900, again), At(1000, "h1", "stopping open=1") };
  AddServed(lines, 1900, { "soon" });
  AddServed(lines, 2300, { "late" });
  AddServed(lines, 2500, { "elsewhere", "h2" });
  lines.push_back(Placed(2600, again));
  lines.push_back(At(4000, "h1", "stopped cut=1 open=2 unread=3"));
  lines.push_back(At(5000, "h1", "started host=h1"));
  AddServed(lines, 6000, { "new" });
  gsNearMissReport report = Report(lines);
  ASSERT_EQ(report.Stops.size(), 1U);
  gsPlannedStop const& stop = report.Stops[0];
  EXPECT_TRUE(stop.Ended);
  EXPECT_EQ(stop.Took, gsMilliseconds(3000));
  EXPECT_EQ(stop.Cut, 1U);
  EXPECT_EQ(stop.Open, 2U);
  EXPECT_EQ(stop.Unread, 3U);
  EXPECT_EQ(stop.LateStarts, 1U);
  EXPECT_EQ(stop.LastStart, gsMilliseconds(1300));
  EXPECT_EQ(stop.LastRequest, "late");
  ASSERT_EQ(report.Closed.size(), 1U);
  EXPECT_EQ(report.Closed[0].Cause, "stop");
  EXPECT_EQ(report.Closed[0].LastRequest, "again");
}

TEST(NearMiss, ACutShortStopHasNoEnd)
{
  gsNearMissReport report = Report({ At(1000, "h1", "stopping open=0"),
                                     At(5000, "h1", "started host=h1"),
                                     At(9000, "h1", "stopped cut=0") });
  ASSERT_EQ(report.Stops.size(), 1U);
  EXPECT_FALSE(report.Stops[0].Ended);
}

TEST(NearMiss, CopiesThatDifferAreTold)
{
  std::string differs =
    "table_differs table=upstreams version=7 peer=h2 rows=5 peer_rows=4";
  gsNearMissReport report = Report({
    At(1000, "h1", "upstreams listed=4 leaving=1 row_version=7"),
    At(1000, "h2", "upstreams listed=4 leaving=1 row_version=7"),
    At(1000, "h3", "upstreams listed=5 leaving=1 row_version=7"),
    At(1100, "h1", "upstreams listed=5 leaving=0 row_version=8"),
    At(1200, "h3", "upstreams listed=6 leaving=0 row_version=8"),
    At(1300, "h3", "upstreams listed=5 leaving=0 row_version=8"),
    At(2000, "h3", differs),
    At(3000, "h3", differs),
  });
  ASSERT_EQ(report.Differing.size(), 1U);
  EXPECT_EQ(report.Differing[0].Host, "h3");
  EXPECT_EQ(report.Differing[0].Times, 2U);
  EXPECT_EQ(report.Differing[0].Rows, "5");
  EXPECT_EQ(report.Differing[0].PeerRows, "4");
  // The last counts of a version are those that its host has used it with.
  ASSERT_EQ(report.Versions.size(), 1U);
  EXPECT_EQ(report.Versions[0].Version, 7U);
  EXPECT_EQ(report.Versions[0].Hosts["5/1"], Lines{ "h3" });
  EXPECT_EQ(report.Versions[0].Longest, gsMilliseconds(200));
}

TEST(NearMiss, CopiesAreComparedByTheVersionTheyAreCompleteTo)
{
  std::string seven = "upstreams listed=4 leaving=0 row_version=7";
  std::string other = "upstreams listed=5 leaving=0 row_version=7";
  gsNearMissReport report = Report({
    // Of one last row, but only some call themselves complete beyond it.
    At(1000, "h1", seven + " complete_to=8"),
    At(1000, "h2", other + " complete_to=7"),
    At(1000, "h3", other + " complete_to=8"),
    // These do not say that they are complete.
    At(1000, "h4", seven + " complete_to=0"),
    At(1000, "h5", other + " complete_to=0"),
    // This one holds rows beyond what it claims.
    At(1000, "h6", "table_learned table=upstreams rows=1 complete=no"),
    At(1000, "h6", "upstreams listed=9 leaving=0 row_version=7 complete_to=8"),
  });
  ASSERT_EQ(report.Versions.size(), 1U);
  EXPECT_EQ(report.Versions[0].Version, 8U);
  EXPECT_EQ(report.Versions[0].Hosts.size(), 2U);
  EXPECT_EQ(report.Versions[0].Hosts["4/0"], Lines{ "h1" });
  EXPECT_EQ(report.Versions[0].Hosts["5/0"], Lines{ "h3" });
}

namespace {

void AddSaid(Lines& lines, int millis, std::string const& what,
             std::string const& host = "h1")
{
  lines.push_back(
    At(millis, host, "upstream_says request=w upstream=u1 born=0 " + what));
}

} // namespace

// Only to the host that was told so, and not one that has started again since.
TEST(NearMiss, RequestsAfterAnUpstreamSaidThatItLeavesAreTold)
{
  Lines lines;
  AddSaid(lines, 1000, "status=200 leaving=yes");
  AddServed(lines, 2900, { "q1" });
  AddServed(lines, 3100, { "q2", "h2" });
  EXPECT_TRUE(Report(lines).Ignored.empty());
  AddServed(lines, 3200, { "q3" });
  std::vector<gsIgnoredWord> ignored = Report(lines).Ignored;
  ASSERT_EQ(ignored.size(), 1U);
  EXPECT_TRUE(ignored[0].Leaving);
  EXPECT_EQ(ignored[0].Host, "h1");
  EXPECT_EQ(ignored[0].Count, 1U);
  EXPECT_EQ(ignored[0].Last, gsMilliseconds(2200));
  EXPECT_EQ(ignored[0].LastRequest, "q3");
  lines.insert(lines.begin() + 1, At(1500, "h1", "started"));
  EXPECT_TRUE(Report(lines).Ignored.empty());
}

TEST(NearMiss, MoreThanTwoRequestsInARestAreTold)
{
  Lines lines;
  AddSaid(lines, 1000, "status=503 leaving=no rest_ms=3000.000");
  AddServed(lines, 1200, { "q0" }); // It was on its way.
  AddServed(lines, 2000, { "q1" });
  AddServed(lines, 3000, { "q2" });
  AddServed(lines, 4001, { "q3" });
  EXPECT_TRUE(Report(lines).Ignored.empty());
  AddServed(lines, 3900, { "q4" });
  std::vector<gsIgnoredWord> ignored = Report(lines).Ignored;
  ASSERT_EQ(ignored.size(), 1U);
  EXPECT_FALSE(ignored[0].Leaving);
  EXPECT_EQ(ignored[0].Count, 3U);
}
