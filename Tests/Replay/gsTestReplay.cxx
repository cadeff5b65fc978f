/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Short recorded traces with stated outcomes.
 */
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "gsReplay.h"

namespace {

gsTrace ReadTrace(gsTraceShape shape)
{
  gsTrace setting = gsTraceSetting(shape);
  std::ifstream file(std::string(GRADESCALE_TRACES) + "/" + setting.Name +
                     ".csv");
  std::stringstream text;
  text << file.rdbuf();
  gsResult<gsTrace> trace = gsTraceFromText(setting, text.str());
  EXPECT_TRUE(trace);
  return trace.value();
}

double Share(std::uint64_t part, std::uint64_t whole)
{
  return static_cast<double>(part) / static_cast<double>(whole);
}

class Traces : public testing::TestWithParam<gsTraceShape>
{};

} // namespace

TEST_P(Traces, KeepTheStatedOutcomes)
{
  gsTrace trace = ReadTrace(GetParam());
  gsReplayResult result = gsReplay(trace, gsReplayOptions{});
  EXPECT_EQ(result.BadRefusals, 0U);
  gsClassResult const& top = result.Classes.at(trace.Classes[0].Name);
  EXPECT_GE(Share(top.InTarget, top.Arrived), 0.98);
  EXPECT_EQ(top.Refused, 0U);
  EXPECT_LE((result.Generated - result.Useful) / result.Generated, 0.02);
  for (gsTraceClass const& one : trace.Classes) {
    gsClassResult const& row = result.Classes.at(one.Name);
    EXPECT_LE(row.LongestWait, one.MaxWait + gsMilliseconds(50)) << one.Name;
    EXPECT_GT(row.Whole, 0U) << one.Name;
  }
}

TEST_P(Traces, TheTopTierFaresBetterThanUnderTheBaselines)
{
  gsTrace trace = ReadTrace(GetParam());
  gsReplayOptions options;
  std::string const& top = trace.Classes[0].Name;
  std::uint64_t chosen = gsReplay(trace, options).Classes.at(top).InTarget;
  for (gsPolicy policy : { gsPolicy::OwnQueues, gsPolicy::RoundRobin }) {
    options.Policy = policy;
    EXPECT_GE(chosen, gsReplay(trace, options).Classes.at(top).InTarget)
      << gsPolicyWord(policy);
  }
}

TEST_P(Traces, ReplayExactly)
{
  gsTrace trace = ReadTrace(GetParam());
  gsReplayOptions options;
  EXPECT_EQ(gsReplayRows(trace, "x", gsReplay(trace, options)),
            gsReplayRows(trace, "x", gsReplay(trace, options)));
}

INSTANTIATE_TEST_SUITE_P(Shapes, Traces,
                         testing::Values(gsTraceShape::ContestWeekend,
                                         gsTraceShape::PrintDeadline));
