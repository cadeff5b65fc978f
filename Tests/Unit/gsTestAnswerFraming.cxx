/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests that the end of an answer is found at its last byte, for any division
 * into reads, and nowhere where the head or the framing is not sound.
 */
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "gsAnswerFraming.h"

namespace {

gsHeaders const InChunks = { { "transfer-encoding", "Chunked" } };

gsAnswerFraming Chunked()
{
  return { gsBodyEnd::Chunks, InChunks };
}

bool IsComplete(gsAnswerFraming framing, std::string const& bytes)
{
  framing.Take(bytes);
  return framing.IsComplete();
}

/** Whether an answer of a stated length is complete after as many bytes. */
bool IsCompleteAt(std::string const& stated, std::size_t bytes)
{
  return IsComplete({ gsBodyEnd::Length, { { "content-length", stated } } },
                    std::string(bytes, 'x'));
}

} // namespace

// Guards against bytes behind an answer of a stated length that are not seen.
TEST(AnswerFraming, EndsAtItsLength)
{
  EXPECT_FALSE(IsCompleteAt("3", 0));
  EXPECT_FALSE(IsCompleteAt("3", 2));
  EXPECT_TRUE(IsCompleteAt("3", 3));
  EXPECT_FALSE(IsCompleteAt("3", 4));
  EXPECT_TRUE(IsCompleteAt("0", 0));
  EXPECT_FALSE(IsCompleteAt("0", 1));
}

// Guards against an end that is read from a length that is none.
TEST(AnswerFraming, HasNoEndByAMalformedLength)
{
  for (char const* stated :
       { "", "-0", "+0", "0x0", "0 ", "0,0", "18446744073709551616" }) {
    EXPECT_FALSE(IsCompleteAt(stated, 0)) << stated;
  }
}

// Guards against an end by one of two statements that contradict each other.
TEST(AnswerFraming, HasNoEndByTwoStatements)
{
  gsHeaders both = InChunks;
  both.emplace_back("content-length", "5");
  EXPECT_FALSE(IsComplete({ gsBodyEnd::Chunks, both }, "0\r\n\r\n"));
  gsHeaders twice = { { "content-length", "0" }, { "content-length", "0" } };
  EXPECT_FALSE(IsComplete({ gsBodyEnd::Length, twice }, ""));
  gsHeaders coded = { { "transfer-encoding", "gzip, chunked" } };
  EXPECT_FALSE(IsComplete({ gsBodyEnd::Chunks, coded }, "0\r\n\r\n"));
}

// Guards against an answer without a stated end that counts as complete.
TEST(AnswerFraming, HasNoEndWithoutAStatement)
{
  EXPECT_FALSE(gsAnswerFraming().IsComplete());
  EXPECT_FALSE(IsComplete({ gsBodyEnd::Close, {} }, "all"));
  EXPECT_TRUE(IsComplete({ gsBodyEnd::Status, {} }, ""));
  EXPECT_FALSE(IsComplete({ gsBodyEnd::Status, {} }, "x"));
}

// Guards against chunks whose end is found early, late or not at all, by how
// they are divided into reads.
TEST(AnswerFraming, ChunksEndAtTheirLastByteOnly)
{
  std::string const body = "5\r\nab\r\n0\r\n1A;name=\"0\"\r\n" +
                           std::string(26, '0') +
                           "\r\n00\r\nAfter: 0\r\nB: \r\n\r\n";
  std::mt19937 random(1);
  constexpr int rounds = 500;
  for (int round = 0; round < rounds; ++round) {
    gsAnswerFraming framing = Chunked();
    for (std::size_t at = 0; at < body.size();) {
      EXPECT_FALSE(framing.IsComplete()) << at;
      std::size_t size = 1 + random() % 9;
      framing.Take(std::string_view(body).substr(at, size));
      at += size;
    }
    EXPECT_TRUE(framing.IsComplete());
    EXPECT_EQ(framing.Bytes(), body.size());
    framing.Take("x");
    EXPECT_FALSE(framing.IsComplete());
  }
}

// Guards against an end of chunks that the standard does not know, which a
// lenient reader may see at another byte.
TEST(AnswerFraming, ChunksOfOtherFormHaveNoEnd)
{
  EXPECT_TRUE(IsComplete(Chunked(), "0\r\n\r\n"));
  for (char const* bytes :
       { "0\n\n", "0\r\n\n", "0\n\r\n", "\r\n0\r\n\r\n", " 0\r\n\r\n",
         "0 \r\n\r\n", "0x0\r\n\r\n", "-0\r\n\r\n", "0;a\n\r\n", "0\r\r\n\r\n",
         "1\r\na0\r\n\r\n", "1\r\na\n0\r\n\r\n", "0\r\nA: b\n\r\n",
         "0\r\nA: b\r\r\n\r\n", "0\r\n\r\r\n", ";a\r\n\r\n", "\r\n\r\n",
         "10000000000000000\r\n\r\n", "0\r\n\r\nx" }) {
    EXPECT_FALSE(IsComplete(Chunked(), bytes)) << bytes;
  }
}
