/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file What an upstream's answer says of it, in all shapes of the value. */
#include <string>

#include <gtest/gtest.h>

#include "gsUpstreamWord.h"

namespace {

char const* const Sent = "Wed, 21 Oct 2015 07:28:00 GMT";

gsTime Rest(std::string_view value)
{
  return gsReadRest(value, Sent);
}

} // namespace

TEST(UpstreamWord, ARestIsReadInSecondsAndFractions)
{
  EXPECT_EQ(Rest("3"), gsSeconds(3));
  EXPECT_EQ(Rest(" 0.25 "), gsMilliseconds(250));
  EXPECT_EQ(Rest("1.5e0"), gsMilliseconds(1500));
}

TEST(UpstreamWord, ADateIsReadAgainstTheAnswersOwn)
{
  EXPECT_EQ(Rest("Wed, 21 Oct 2015 07:28:07 GMT"), gsSeconds(7));
  EXPECT_EQ(Rest("Wed, 21 Oct 2015 07:27:00 GMT"), gsTime{});
  EXPECT_EQ(gsReadRest("Wed, 21 Oct 2015 07:28:07 GMT", ""), gsTime{});
}

TEST(UpstreamWord, OfSeveralRestsTheLongestCounts)
{
  EXPECT_EQ(Rest("1, 4,2"), gsSeconds(4));
  EXPECT_EQ(Rest("soon, 2"), gsSeconds(2));
}

TEST(UpstreamWord, WhatNamesNoTimeToComeAsksForNoRest)
{
  for (char const* value : { "", " ", "0", "-3", "soon", "nan", "3 s", "," }) {
    EXPECT_EQ(Rest(value), gsTime{}) << value;
  }
}

TEST(UpstreamWord, AHugeRestIsBounded)
{
  for (char const* value : { "1e300", "1e9999", "inf", "99999999999999999" }) {
    EXPECT_EQ(Rest(value), gsRestMost) << value;
  }
  EXPECT_EQ(Rest("-1e9999"), gsTime{});
}

// Guards against malformed text read as a limit, and against negative or
// infinite limits.
TEST(UpstreamWord, ReadsTheLowestRateLimitAndBoundsIt)
{
  EXPECT_EQ(gsReadRateLimit("2.9"), 2.9);
  EXPECT_EQ(gsReadRateLimit(" 3 , 2"), 2.0);
  EXPECT_EQ(gsReadRateLimit("few, 4"), 4.0);
  EXPECT_EQ(gsReadRateLimit("0"), 0.0);
  EXPECT_EQ(gsReadRateLimit("-4"), 0.0);
  EXPECT_EQ(gsReadRateLimit("1e9"), 1e9);
  EXPECT_GT(gsReadRateLimit("inf"), 1e300);
  EXPECT_GT(gsReadRateLimit(std::string(400, '9')), 1e300);
  EXPECT_GT(gsReadRateLimit("0.1e400"), 1e300);
  EXPECT_EQ(gsReadRateLimit("1e-400"), 0.0);
  EXPECT_EQ(gsReadRateLimit("." + std::string(400, '0') + "1"), 0.0);
  for (char const* text : { "", " ", "nan", "few", "3x", ",", "0x10" }) {
    EXPECT_FALSE(gsReadRateLimit(text)) << text;
  }
}
