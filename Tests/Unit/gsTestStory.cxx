/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A request's story told from logs: reading lines back, and the cause.
 */
#include <gtest/gtest.h>

#include "gsStory.h"

namespace {

std::string Line(std::string const& host, std::string const& time,
                 std::string const& rest)
{
  return host + " ts=2026-12-02T10:00:" + time +
         "+0000 level=INFO event=" + rest;
}

gsStory Tell(std::vector<std::string> const& lines)
{
  gsStoryReader reader;
  reader.Request = "r1";
  for (std::string const& line : lines) {
    std::optional<gsLogRecord> record = gsReadLogLine(line);
    EXPECT_TRUE(record) << line;
    if (record) {
      gsStoryTake(reader, *record);
    }
  }
  return gsStoryTell(reader);
}

std::string const Place =
  "place request=r1 upstream=u1 cause=cached own_running=2 others_running=9 "
  "read_tokens=800 stream=yes target_ms=250.000 gap_target_ms=150.000";

} // namespace

TEST(LogRecord, ReadsWhatTheLogWrites)
{
  std::optional<gsLogRecord> record = gsReadLogLine(
    R"(edge-1 | ts=2026-12-02T10:00:01.250+0100 level=WARN event=attempt )"
    R"(request=r1 detail="It \"broke\" off = gone" empty="" took_ms=12.5)");
  ASSERT_TRUE(record);
  EXPECT_EQ(record->Host, "edge-1");
  EXPECT_EQ(record->Event, "attempt");
  EXPECT_EQ(gsFieldOf(*record, "detail"), R"(It "broke" off = gone)");
  EXPECT_EQ(gsFieldOf(*record, "empty"), "");
  EXPECT_EQ(gsFieldOf(*record, "other"), "");
  EXPECT_DOUBLE_EQ(gsNumberOf(*record, "took_ms").value(), 12.5);
  EXPECT_FALSE(gsNumberOf(*record, "request"));
}

TEST(LogRecord, TimesOfOtherZonesCompare)
{
  auto one = gsReadLogLine("ts=2026-12-02T10:00:01.250+0100 event=a");
  auto two = gsReadLogLine("ts=2026-12-02T09:00:01.500Z event=b");
  ASSERT_TRUE(one && two);
  EXPECT_EQ(two->At - one->At, gsMilliseconds(250));
}

TEST(LogRecord, OtherLinesAreNone)
{
  EXPECT_FALSE(gsReadLogLine(""));
  EXPECT_FALSE(gsReadLogLine("some words event=x"));
  EXPECT_FALSE(gsReadLogLine("ts=yesterday event=x"));
  EXPECT_FALSE(gsReadLogLine("ts=2026-12-02T10:00:01.250+0100 level=INFO"));
  EXPECT_FALSE(gsReadLogLine("parts=2026-12-02T10:00:01.250Z event=x"));
}

TEST(Story, LinesOfAllHostsComeInOrderOfTime)
{
  gsStory story =
    Tell({ Line("b", "02.000", "refuse request=r1 pool=p cause=expired"),
           Line("a", "01.000", "spill request=r1"),
           Line("c", "01.500", "grant request=other") });
  ASSERT_EQ(story.Records.size(), 2U);
  EXPECT_EQ(story.Records[0].Host, "a");
  EXPECT_EQ(story.Records[1].Host, "b");
  EXPECT_EQ(story.End, gsStoryEnd::Refused);
}

TEST(Story, AnAnswerInItsTargetIsSaidSo)
{
  gsStory story =
    Tell({ Line("a", "01.000", Place),
           Line("a", "02.000",
                "attempt request=r1 upstream=u1 end=whole took_ms=990.000 "
                "first_ms=100.000 longest_gap_ms=20.000"),
           Line("a", "02.000",
                "end request=r1 result=whole ran=no "
                "took_ms=1000.000") });
  EXPECT_EQ(story.End, gsStoryEnd::InTarget);
}

TEST(Story, ALateFirstEventNamesWhatTheChoiceSaw)
{
  gsStory story =
    Tell({ Line("a", "01.000", Place),
           Line("a", "02.000",
                "attempt request=r1 upstream=u1 end=whole took_ms=990.000 "
                "first_ms=400.000 longest_gap_ms=220.000"),
           Line("a", "02.000",
                "end request=r1 result=whole ran=no "
                "took_ms=1000.000") });
  EXPECT_EQ(story.End, gsStoryEnd::Late);
  EXPECT_NE(story.Cause.find("410 ms against a target of 250 ms"),
            std::string::npos)
    << story.Cause;
  EXPECT_NE(story.Cause.find("220 ms against a target of 150 ms"),
            std::string::npos)
    << story.Cause;
  EXPECT_NE(story.Cause.find("9 of others"), std::string::npos);
}

TEST(Story, ABrokenAnswerNamesTheUpstreamsSilence)
{
  gsStory story = Tell(
    { Line("a", "01.000", Place),
      Line("a", "01.900", "upstream_silent upstream=u1 silent_ms=710.000"),
      Line("b", "01.900", "upstream_silent upstream=u1 silent_ms=999.000"),
      Line("a", "02.000",
           "attempt request=r1 upstream=u1 end=broken status=200 "
           "took_ms=990.000 detail=\"The upstream sent nothing.\""),
      Line("a", "02.000",
           "end request=r1 result=broken ran=yes took_ms=1000.000") });
  EXPECT_EQ(story.End, gsStoryEnd::Failed);
  EXPECT_NE(story.Cause.find("The upstream sent nothing."), std::string::npos);
  EXPECT_NE(story.Cause.find("for 710.000 ms"), std::string::npos);
  EXPECT_EQ(story.Cause.find("999"), std::string::npos) << story.Cause;
}

TEST(Story, ARefusalNamesItsCause)
{
  gsStory story = Tell(
    { Line("a", "00.500", "table_lost table=t version=7"),
      Line("a", "01.000", "place request=r1 cause=no_upstream candidates=0"),
      Line("a", "01.000",
           "end request=r1 result=no_upstream ran=no took_ms=0.2") });
  EXPECT_EQ(story.End, gsStoryEnd::Refused);
  EXPECT_NE(story.Cause.find("no upstream that may get work"),
            std::string::npos);
  EXPECT_NE(story.Cause.find("lost the platform's table t"),
            std::string::npos);
}

TEST(Story, ARejectionNamesTheVersion)
{
  gsStory story =
    Tell({ Line("a", "01.000",
                "reject request=r1 version=12 status=401 code=unknown_key "
                "message=\"No organisation has this key.\"") });
  EXPECT_EQ(story.End, gsStoryEnd::Rejected);
  EXPECT_NE(story.Cause.find("version 12: No organisation"),
            std::string::npos);
}

TEST(Story, WithoutAFinalLineItSaysSo)
{
  gsStory story = Tell({ Line("a", "01.000", Place) });
  EXPECT_EQ(story.End, gsStoryEnd::Unknown);
  EXPECT_FALSE(story.Cause.empty());
}
