/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Tests of the report on missed latency targets. */
#include <gtest/gtest.h>

#include "gsTargetMissReport.h"

namespace {

gsTargetMissReport BuildReport(std::vector<std::string> const& lines)
{
  gsTargetMissCollector collector;
  for (std::string const& line : lines) {
    std::optional<gsLogRecord> record =
      gsParseLogLine("h1 | ts=2026-12-02T10:00:" + line);
    EXPECT_TRUE(record) << line;
    if (record) {
      gsCollectTargetMissRecord(collector, *record);
    }
  }
  return gsBuildTargetMissReport(collector, 10);
}

std::string PlaceLine(std::string const& time, std::string const& request,
                      std::string const& route, std::string const& readTokens)
{
  return time + "+0000 level=INFO event=place request=" + request +
         " route=" + route + " upstream=u1 read_tokens=" + readTokens +
         " stream=yes target_ms=600.000 gap_target_ms=250.000";
}

std::string AttemptLine(std::string const& time, std::string const& request,
                        std::string const& end, std::string const& took,
                        std::string const& fields)
{
  return time + "+0000 level=INFO event=attempt request=" + request +
         " upstream=u1 end=" + end + " took_ms=" + took + " " + fields;
}

std::string EndLine(std::string const& time, std::string const& request,
                    std::string const& route, std::string const& fields)
{
  return time + "+0000 level=INFO event=end request=" + request +
         " route=" + route + " " + fields;
}

} // namespace

TEST(TargetMissReport, ListsConcurrentPromptsOfPausedStream)
{
  gsTargetMissReport report = BuildReport({
    PlaceLine("01.000", "s1", "chat", "700"),
    PlaceLine("01.500", "p1", "review", "9000"),
    PlaceLine("01.600", "p2", "review", "100"),
    AttemptLine("01.700", "p2", "whole", "100",
                "first_ms=50 longest_gap_ms=20"),
    EndLine("01.700", "p2", "review", "result=whole ran=yes took_ms=100"),
    AttemptLine("02.000", "p1", "whole", "500",
                "first_ms=300 longest_gap_ms=20"),
    EndLine("02.000", "p1", "review", "result=whole ran=yes took_ms=500"),
    AttemptLine("03.000", "s1", "whole", "2000",
                "first_ms=40 longest_gap_ms=310"),
    EndLine("03.000", "s1", "chat", "result=whole ran=yes took_ms=2000"),
  });
  EXPECT_EQ(report.ByRoute["chat"].OutcomeCount(gsTargetOutcome::LongPause),
            1U);
  EXPECT_EQ(report.ByRoute["review"].OutcomeCount(gsTargetOutcome::InTarget),
            2U);
  ASSERT_EQ(report.PausedStreams.size(), 1U);
  EXPECT_EQ(report.PausedStreams[0].RequestId, "s1");
  EXPECT_EQ(report.PausedStreams[0].Upstream, "u1");
  ASSERT_EQ(report.PausedStreams[0].ConcurrentPrompts.size(), 2U);
  EXPECT_EQ(report.PausedStreams[0].ConcurrentPrompts[0].RequestId, "p1");
  EXPECT_DOUBLE_EQ(report.PausedStreams[0].ConcurrentPrompts[0].UncachedTokens,
                   9000);
}

TEST(TargetMissReport, OmitsPromptsReadBeforeFirstEventOrAfterStream)
{
  gsTargetMissReport report = BuildReport({
    PlaceLine("00.500", "p1", "review", "9000"),
    PlaceLine("01.000", "s1", "chat", "700"),
    AttemptLine("00.900", "p1", "whole", "400", "first_ms=350"),
    AttemptLine("02.000", "s1", "whole", "1000",
                "first_ms=40 longest_gap_ms=310"),
    PlaceLine("02.500", "p2", "review", "9000"),
    AttemptLine("03.000", "p2", "whole", "500", "first_ms=300"),
  });
  ASSERT_EQ(report.PausedStreams.size(), 1U);
  EXPECT_TRUE(report.PausedStreams[0].ConcurrentPrompts.empty());
}

TEST(TargetMissReport, MeasuresFirstEventFromArrivalWhenAttemptIsRepeated)
{
  gsTargetMissReport report = BuildReport({
    PlaceLine("01.000", "s1", "chat", "700"),
    AttemptLine("01.600", "s1", "not_sent", "600", "again=yes"),
    PlaceLine("01.600", "s1", "chat", "700"),
    AttemptLine("02.000", "s1", "whole", "400",
                "first_ms=100 longest_gap_ms=30"),
    EndLine("02.000", "s1", "chat", "result=whole ran=yes took_ms=1000"),
  });
  EXPECT_EQ(
    report.ByRoute["chat"].OutcomeCount(gsTargetOutcome::LateFirstEvent), 1U);
  EXPECT_EQ(report.ByRoute["chat"].Attempts, 2U);
  EXPECT_EQ(report.ByRoute["chat"].NotSent, 1U);
}

TEST(TargetMissReport, CountsUnservedRequestsByCauseAndSecond)
{
  gsTargetMissReport report = BuildReport({
    EndLine("01.000", "a", "chat", "result=unreachable ran=no took_ms=1"),
    EndLine("03.100", "b", "chat", "result=broken ran=yes took_ms=9"),
    EndLine("03.200", "c", "chat", "result=caller_left ran=yes took_ms=9"),
  });
  gsRequestCounts const& chat = report.ByRoute["chat"];
  EXPECT_EQ(chat.OutcomeCount(gsTargetOutcome::Refused), 1U);
  EXPECT_EQ(chat.OutcomeCount(gsTargetOutcome::Failed), 1U);
  EXPECT_EQ(chat.OutcomeCount(gsTargetOutcome::CallerLeft), 1U);
  EXPECT_EQ(report.Causes["unreachable"]["chat"], 1U);
  EXPECT_EQ(report.BySecond[0]["chat"].OutcomeCount(gsTargetOutcome::Refused),
            1U);
  EXPECT_EQ(report.BySecond[2]["chat"].RequestCount(), 2U);
}

TEST(TargetMissReport, IgnoresAttemptOfUnknownRequest)
{
  gsTargetMissReport report =
    BuildReport({ AttemptLine("01.000", "x", "whole", "5", "first_ms=4") });
  EXPECT_TRUE(report.ByRoute.empty());
  EXPECT_TRUE(report.PausedStreams.empty());
}
