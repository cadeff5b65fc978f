/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Where requests lose their targets, told from logs. */
#include <gtest/gtest.h>

#include "gsLossReport.h"

namespace {

gsLossReport Report(std::vector<std::string> const& lines)
{
  gsLossReader reader;
  for (std::string const& line : lines) {
    std::optional<gsLogRecord> record =
      gsReadLogLine("h1 | ts=2026-12-02T10:00:" + line);
    EXPECT_TRUE(record) << line;
    if (record) {
      gsLossTake(reader, *record);
    }
  }
  return gsLossSum(reader, 10);
}

std::string Placed(std::string const& time, std::string const& request,
                   std::string const& route, std::string const& readTokens)
{
  return time + "+0000 level=INFO event=place request=" + request +
         " route=" + route + " upstream=u1 read_tokens=" + readTokens +
         " stream=yes target_ms=600.000 gap_target_ms=250.000";
}

std::string Attempted(std::string const& time, std::string const& request,
                      std::string const& end, std::string const& took,
                      std::string const& measured)
{
  return time + "+0000 level=INFO event=attempt request=" + request +
         " upstream=u1 end=" + end + " took_ms=" + took + " " + measured;
}

std::string Ended(std::string const& time, std::string const& request,
                  std::string const& route, std::string const& rest)
{
  return time + "+0000 level=INFO event=end request=" + request +
         " route=" + route + " " + rest;
}

} // namespace

TEST(LossReport, APauseIsShownWithThePromptThatWasReadBesideIt)
{
  gsLossReport report = Report({
    Placed("01.000", "s1", "chat", "700"),
    Placed("01.500", "p1", "review", "9000"),
    Placed("01.600", "p2", "review", "100"),
    Attempted("01.700", "p2", "whole", "100", "first_ms=50 longest_gap_ms=20"),
    Ended("01.700", "p2", "review", "result=whole ran=yes took_ms=100"),
    Attempted("02.000", "p1", "whole", "500",
              "first_ms=300 longest_gap_ms=20"),
    Ended("02.000", "p1", "review", "result=whole ran=yes took_ms=500"),
    Attempted("03.000", "s1", "whole", "2000",
              "first_ms=40 longest_gap_ms=310"),
    Ended("03.000", "s1", "chat", "result=whole ran=yes took_ms=2000"),
  });
  EXPECT_EQ(report.ByRoute["chat"].Of(gsLossKind::LongPause), 1U);
  EXPECT_EQ(report.ByRoute["review"].Of(gsLossKind::InTarget), 2U);
  ASSERT_EQ(report.Pauses.size(), 1U);
  EXPECT_EQ(report.Pauses[0].Request, "s1");
  EXPECT_EQ(report.Pauses[0].Upstream, "u1");
  ASSERT_EQ(report.Pauses[0].Beside.size(), 2U);
  EXPECT_EQ(report.Pauses[0].Beside[0].Request, "p1");
  EXPECT_DOUBLE_EQ(report.Pauses[0].Beside[0].ReadTokens, 9000);
}

TEST(LossReport, WhatWasReadAfterTheStreamOrBeforeItsFirstEventIsNotBesideIt)
{
  gsLossReport report = Report({
    Placed("00.500", "p1", "review", "9000"),
    Placed("01.000", "s1", "chat", "700"),
    Attempted("00.900", "p1", "whole", "400", "first_ms=350"),
    Attempted("02.000", "s1", "whole", "1000",
              "first_ms=40 longest_gap_ms=310"),
    Placed("02.500", "p2", "review", "9000"),
    Attempted("03.000", "p2", "whole", "500", "first_ms=300"),
  });
  ASSERT_EQ(report.Pauses.size(), 1U);
  EXPECT_TRUE(report.Pauses[0].Beside.empty());
}

TEST(LossReport, TheFirstEventOfALaterAttemptCountsFromTheArrival)
{
  gsLossReport report = Report({
    Placed("01.000", "s1", "chat", "700"),
    Attempted("01.600", "s1", "not_sent", "600", "again=yes"),
    Placed("01.600", "s1", "chat", "700"),
    Attempted("02.000", "s1", "whole", "400",
              "first_ms=100 longest_gap_ms=30"),
    Ended("02.000", "s1", "chat", "result=whole ran=yes took_ms=1000"),
  });
  EXPECT_EQ(report.ByRoute["chat"].Of(gsLossKind::LateFirst), 1U);
  EXPECT_EQ(report.ByRoute["chat"].Attempts, 2U);
  EXPECT_EQ(report.ByRoute["chat"].NotSent, 1U);
}

TEST(LossReport, WhatWasNotServedIsCountedByCauseAndSecond)
{
  gsLossReport report = Report({
    Ended("01.000", "a", "chat", "result=unreachable ran=no took_ms=1"),
    Ended("03.100", "b", "chat", "result=broken ran=yes took_ms=9"),
    Ended("03.200", "c", "chat", "result=caller_left ran=yes took_ms=9"),
  });
  gsLossCount const& chat = report.ByRoute["chat"];
  EXPECT_EQ(chat.Of(gsLossKind::Refused), 1U);
  EXPECT_EQ(chat.Of(gsLossKind::Failed), 1U);
  EXPECT_EQ(chat.Of(gsLossKind::CallerLeft), 1U);
  EXPECT_EQ(report.Causes["unreachable"]["chat"], 1U);
  EXPECT_EQ(report.BySecond[0]["chat"].Of(gsLossKind::Refused), 1U);
  EXPECT_EQ(report.BySecond[2]["chat"].Requests(), 2U);
}

TEST(LossReport, ALineOfAnUnknownRequestIsPassedOver)
{
  gsLossReport report =
    Report({ Attempted("01.000", "x", "whole", "5", "first_ms=4") });
  EXPECT_TRUE(report.ByRoute.empty());
  EXPECT_TRUE(report.Pauses.empty());
}
