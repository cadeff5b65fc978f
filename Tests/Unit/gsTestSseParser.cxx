/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests that the scanner relays whole events for any division of the stream
 * into reads.
 */
#include <gtest/gtest.h>

#include <random>

#include "gsSseParser.h"

TEST(SseScanner, RelaysWholeEventsOnly)
{
  gsSseParser scanner;
  EXPECT_EQ(scanner.Append("data: a\n\ndata: b"), "data: a\n\n");
  EXPECT_EQ(scanner.Append("b\n"), "");
  EXPECT_EQ(scanner.Append("\n"), "data: bb\n\n");
  EXPECT_EQ(scanner.EventCount(), 2U);
  EXPECT_FALSE(scanner.IsDone());
}

TEST(SseScanner, DropsDataAfterEndMarker)
{
  gsSseParser scanner;
  EXPECT_EQ(scanner.Append("data: [DONE]\n\ndata: another's\n\n"),
            "data: [DONE]\n\n");
  EXPECT_TRUE(scanner.IsDone());
  EXPECT_EQ(scanner.Append("data: more\n\n"), "");
}

TEST(SseScanner, EventsAreIndependentOfReadSizes)
{
  std::string const stream =
    ": hello\n\ndata: one\r\n\r\ndata: two\n\nevent: x\ndata: y\n\n"
    "data: [DONE]\n\n";
  gsSseParser reference;
  std::string const expected = reference.Append(stream);
  std::mt19937 random(3);
  for (int round = 0; round < 500; ++round) {
    gsSseParser scanner;
    std::string relayed;
    for (std::size_t position = 0; position < stream.size();) {
      std::size_t size = 1 + random() % 7;
      relayed += scanner.Append(stream.substr(position, size));
      position += size;
    }
    EXPECT_EQ(relayed, expected);
    EXPECT_TRUE(scanner.IsDone());
  }
}
