/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Streams of events, however their bytes are cut.
 */
#include <gtest/gtest.h>

#include <random>

#include "gsSseScanner.h"

TEST(SseScanner, RelaysWholeEventsOnly)
{
  gsSseScanner scanner;
  EXPECT_EQ(scanner.Feed("data: a\n\ndata: b"), "data: a\n\n");
  EXPECT_EQ(scanner.Feed("b\n"), "");
  EXPECT_EQ(scanner.Feed("\n"), "data: bb\n\n");
  EXPECT_EQ(scanner.Events(), 2U);
  EXPECT_FALSE(scanner.Done());
}

TEST(SseScanner, NothingFollowsTheEndMark)
{
  gsSseScanner scanner;
  EXPECT_EQ(scanner.Feed("data: [DONE]\n\ndata: another's\n\n"),
            "data: [DONE]\n\n");
  EXPECT_TRUE(scanner.Done());
  EXPECT_EQ(scanner.Feed("data: more\n\n"), "");
}

TEST(SseScanner, AnyCutGivesTheSameEvents)
{
  std::string const stream =
    ": hello\n\ndata: one\r\n\r\ndata: two\n\nevent: x\ndata: y\n\n"
    "data: [DONE]\n\n";
  gsSseScanner whole;
  std::string const expected = whole.Feed(stream);
  std::mt19937 random(3);
  for (int round = 0; round < 500; ++round) {
    gsSseScanner scanner;
    std::string relayed;
    for (std::size_t at = 0; at < stream.size();) {
      std::size_t size = 1 + random() % 7;
      relayed += scanner.Feed(stream.substr(at, size));
      at += size;
    }
    EXPECT_EQ(relayed, expected);
    EXPECT_TRUE(scanner.Done());
  }
}
