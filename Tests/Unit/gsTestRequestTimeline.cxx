/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of parsing log lines, and of determining the outcome and the cause of
 * a request from the logs.
 */
#include <gtest/gtest.h>

#include "gsRequestTimeline.h"

namespace {

std::string LogLine(std::string const& host, std::string const& time,
                    std::string const& fields)
{
  return host + " ts=2026-12-02T10:00:" + time +
         "+0000 level=INFO event=" + fields;
}

gsRequestTimeline BuildTimeline(std::vector<std::string> const& lines)
{
  gsRequestTimelineCollector collector;
  collector.RequestId = "r1";
  for (std::string const& line : lines) {
    std::optional<gsLogRecord> record = gsParseLogLine(line);
    EXPECT_TRUE(record) << line;
    if (record) {
      gsCollectTimelineRecord(collector, *record);
    }
  }
  return gsBuildRequestTimeline(collector);
}

std::string const PlaceFields =
  "place request=r1 upstream=u1 cause=cached own_running=2 others_running=9 "
  "read_tokens=800 stream=yes target_ms=250.000 gap_target_ms=150.000";

} // namespace

TEST(LogRecord, ParsesQuotedAndEscapedValues)
{
  std::optional<gsLogRecord> record = gsParseLogLine(
    R"(edge-1 | ts=2026-12-02T10:00:01.250+0100 level=WARN event=attempt )"
    R"(request=r1 detail="It \"broke\" off = gone" empty="" took_ms=12.5)");
  ASSERT_TRUE(record);
  EXPECT_EQ(record->Host, "edge-1");
  EXPECT_EQ(record->Event, "attempt");
  EXPECT_EQ(gsLogFieldValue(*record, "detail"), R"(It "broke" off = gone)");
  EXPECT_EQ(gsLogFieldValue(*record, "empty"), "");
  EXPECT_EQ(gsLogFieldValue(*record, "other"), "");
  EXPECT_DOUBLE_EQ(gsLogFieldNumber(*record, "took_ms").value(), 12.5);
  EXPECT_FALSE(gsLogFieldNumber(*record, "request"));
}

TEST(LogRecord, ConvertsTimesOfDifferentZones)
{
  auto first = gsParseLogLine("ts=2026-12-02T10:00:01.250+0100 event=a");
  auto second = gsParseLogLine("ts=2026-12-02T09:00:01.500Z event=b");
  ASSERT_TRUE(first && second);
  EXPECT_EQ(second->Timestamp - first->Timestamp, gsMilliseconds(250));
}

TEST(LogRecord, RejectsLinesWithoutValidTimeOrEvent)
{
  EXPECT_FALSE(gsParseLogLine(""));
  EXPECT_FALSE(gsParseLogLine("some words event=x"));
  EXPECT_FALSE(gsParseLogLine("ts=yesterday event=x"));
  EXPECT_FALSE(gsParseLogLine("ts=2026-12-02T10:00:01.250+0100 level=INFO"));
  EXPECT_FALSE(gsParseLogLine("parts=2026-12-02T10:00:01.250Z event=x"));
}

TEST(RequestTimeline, SortsRecordsOfAllHostsByTime)
{
  gsRequestTimeline story = BuildTimeline(
    { LogLine("b", "02.000", "refuse request=r1 pool=p cause=expired"),
      LogLine("a", "01.000", "spill request=r1"),
      LogLine("c", "01.500", "grant request=other") });
  ASSERT_EQ(story.Records.size(), 2U);
  EXPECT_EQ(story.Records[0].Host, "a");
  EXPECT_EQ(story.Records[1].Host, "b");
  EXPECT_EQ(story.Outcome, gsRequestOutcome::Refused);
}

TEST(RequestTimeline, OutcomeIsInTargetWhenAnsweredInTime)
{
  gsRequestTimeline story = BuildTimeline(
    { LogLine("a", "01.000", PlaceFields),
      LogLine("a", "02.000",
              "attempt request=r1 upstream=u1 end=whole took_ms=990.000 "
              "first_ms=100.000 longest_gap_ms=20.000"),
      LogLine("a", "02.000",
              "end request=r1 result=whole ran=no "
              "took_ms=1000.000") });
  EXPECT_EQ(story.Outcome, gsRequestOutcome::InTarget);
}

TEST(RequestTimeline, CauseDescribesPlacementWhenFirstEventIsLate)
{
  gsRequestTimeline story = BuildTimeline(
    { LogLine("a", "01.000", PlaceFields),
      LogLine("a", "02.000",
              "attempt request=r1 upstream=u1 end=whole took_ms=990.000 "
              "first_ms=400.000 longest_gap_ms=220.000"),
      LogLine("a", "02.000",
              "end request=r1 result=whole ran=no "
              "took_ms=1000.000") });
  EXPECT_EQ(story.Outcome, gsRequestOutcome::Late);
  EXPECT_NE(story.Cause.find("410 ms against a target of 250 ms"),
            std::string::npos)
    << story.Cause;
  EXPECT_NE(story.Cause.find("220 ms against a target of 150 ms"),
            std::string::npos)
    << story.Cause;
  EXPECT_NE(story.Cause.find("9 of others"), std::string::npos);
}

TEST(RequestTimeline, CauseDescribesSilenceOfUpstreamWhenAnswerIsBroken)
{
  gsRequestTimeline story = BuildTimeline(
    { LogLine("a", "01.000", PlaceFields),
      LogLine("a", "01.900", "upstream_silent upstream=u1 silent_ms=710.000"),
      LogLine("b", "01.900", "upstream_silent upstream=u1 silent_ms=999.000"),
      LogLine("a", "02.000",
              "attempt request=r1 upstream=u1 end=broken status=200 "
              "took_ms=990.000 detail=\"The upstream sent nothing.\""),
      LogLine("a", "02.000",
              "end request=r1 result=broken ran=yes took_ms=1000.000") });
  EXPECT_EQ(story.Outcome, gsRequestOutcome::Failed);
  EXPECT_NE(story.Cause.find("The upstream sent nothing."), std::string::npos);
  EXPECT_NE(story.Cause.find("for 710.000 ms"), std::string::npos);
  EXPECT_EQ(story.Cause.find("999"), std::string::npos) << story.Cause;
}

TEST(RequestTimeline, CauseDescribesMissingUpstreamAndLostTableWhenRefused)
{
  gsRequestTimeline story = BuildTimeline(
    { LogLine("a", "00.500", "table_lost table=t version=7"),
      LogLine("a", "01.000",
              "place request=r1 cause=no_upstream candidates=0"),
      LogLine("a", "01.000",
              "end request=r1 result=no_upstream ran=no took_ms=0.2") });
  EXPECT_EQ(story.Outcome, gsRequestOutcome::Refused);
  EXPECT_NE(story.Cause.find("no upstream that may get work"),
            std::string::npos);
  EXPECT_NE(story.Cause.find("lost the platform's table t"),
            std::string::npos);
}

TEST(RequestTimeline, CauseContainsConfigurationVersionWhenRejected)
{
  gsRequestTimeline story = BuildTimeline(
    { LogLine("a", "01.000",
              "reject request=r1 version=12 status=401 code=unknown_key "
              "message=\"No organisation has this key.\"") });
  EXPECT_EQ(story.Outcome, gsRequestOutcome::Rejected);
  EXPECT_NE(story.Cause.find("version 12: No organisation"),
            std::string::npos);
}

TEST(RequestTimeline, OutcomeIsUnknownWithoutFinalRecord)
{
  gsRequestTimeline story =
    BuildTimeline({ LogLine("a", "01.000", PlaceFields) });
  EXPECT_EQ(story.Outcome, gsRequestOutcome::Unknown);
  EXPECT_FALSE(story.Cause.empty());
}
