/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Tests the parsers of Retry-After and rate limit header values. */
#include <string>

#include <gtest/gtest.h>

#include "gsUpstreamAnnouncement.h"

namespace {

char const* const ResponseDate = "Wed, 21 Oct 2015 07:28:00 GMT";

gsTime ParseBackoff(std::string_view value)
{
  return gsParseRetryAfter(value, ResponseDate);
}

} // namespace

TEST(UpstreamWord, ParsesBackoffInFractionalSeconds)
{
  EXPECT_EQ(ParseBackoff("3"), gsSeconds(3));
  EXPECT_EQ(ParseBackoff(" 0.25 "), gsMilliseconds(250));
  EXPECT_EQ(ParseBackoff("1.5e0"), gsMilliseconds(1500));
}

TEST(UpstreamWord, EvaluatesDateRelativeToResponseDate)
{
  EXPECT_EQ(ParseBackoff("Wed, 21 Oct 2015 07:28:07 GMT"), gsSeconds(7));
  EXPECT_EQ(ParseBackoff("Wed, 21 Oct 2015 07:27:00 GMT"), gsTime{});
  EXPECT_EQ(gsParseRetryAfter("Wed, 21 Oct 2015 07:28:07 GMT", ""), gsTime{});
}

TEST(UpstreamWord, UsesLongestOfSeveralBackoffs)
{
  EXPECT_EQ(ParseBackoff("1, 4,2"), gsSeconds(4));
  EXPECT_EQ(ParseBackoff("soon, 2"), gsSeconds(2));
}

TEST(UpstreamWord, NoBackoffForMalformedOrPastValue)
{
  for (char const* value : { "", " ", "0", "-3", "soon", "nan", "3 s", "," }) {
    EXPECT_EQ(ParseBackoff(value), gsTime{}) << value;
  }
}

TEST(UpstreamWord, BoundsHugeBackoff)
{
  for (char const* value : { "1e300", "1e9999", "inf", "99999999999999999" }) {
    EXPECT_EQ(ParseBackoff(value), gsMaxBackoff) << value;
  }
  EXPECT_EQ(ParseBackoff("-1e9999"), gsTime{});
}

// Guards against malformed text parsed as a limit, and against negative or
// infinite limits.
TEST(UpstreamWord, ParsesLowestRateLimitAndBoundsIt)
{
  EXPECT_EQ(gsParseRateLimit("2.9"), 2.9);
  EXPECT_EQ(gsParseRateLimit(" 3 , 2"), 2.0);
  EXPECT_EQ(gsParseRateLimit("few, 4"), 4.0);
  EXPECT_EQ(gsParseRateLimit("0"), 0.0);
  EXPECT_EQ(gsParseRateLimit("-4"), 0.0);
  EXPECT_EQ(gsParseRateLimit("1e9"), 1e9);
  EXPECT_GT(gsParseRateLimit("inf"), 1e300);
  EXPECT_GT(gsParseRateLimit(std::string(400, '9')), 1e300);
  EXPECT_GT(gsParseRateLimit("0.1e400"), 1e300);
  EXPECT_EQ(gsParseRateLimit("1e-400"), 0.0);
  EXPECT_EQ(gsParseRateLimit("." + std::string(400, '0') + "1"), 0.0);
  for (char const* text : { "", " ", "nan", "few", "3x", ",", "0x10" }) {
    EXPECT_FALSE(gsParseRateLimit(text)) << text;
  }
}
