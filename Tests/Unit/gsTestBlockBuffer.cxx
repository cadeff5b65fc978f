/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the buffer that gathers bytes in blocks.
 */
#include <string>

#include <gtest/gtest.h>

#include "gsBlockBuffer.h"

namespace {

constexpr std::size_t KiB = 1U << 10U;

std::string Numbered(std::size_t bytes)
{
  std::string text;
  for (std::size_t i = 0; text.size() < bytes; ++i) {
    text += std::to_string(i) + ' ';
  }
  text.resize(bytes);
  return text;
}

} // namespace

// Guards against contents that depend on the sizes in which they were added.
TEST(BlockBuffer, ContentsAreTheSameInPartsOfAnySize)
{
  std::string const all = Numbered(100 * KiB);
  for (std::size_t part : { std::size_t{ 1 }, std::size_t{ 4080 },
                            std::size_t{ 4081 }, 64 * KiB, all.size() }) {
    gsBlockBuffer buffer;
    for (std::size_t at = 0; at < all.size(); at += part) {
      buffer.Append(std::string_view(all).substr(at, part));
    }
    EXPECT_EQ(buffer.Size(), all.size());
    std::string text = "begin ";
    buffer.MoveTo(text);
    EXPECT_EQ(text, "begin " + all) << "parts of " << part;
    EXPECT_EQ(buffer.Size(), 0U);
    EXPECT_EQ(buffer.HeldBytes(), 0U);
  }
}

// Guards against a count that is less than what is held, and against spare
// memory of many small contents.
TEST(BlockBuffer, HeldBytesFollowTheContents)
{
  gsBlockBuffer buffer;
  EXPECT_EQ(buffer.HeldBytes(), 0U);
  for (std::size_t bytes = 1; bytes <= 300 * KiB; ++bytes) {
    buffer.Append("x");
    ASSERT_GE(buffer.HeldBytes(), bytes);
    ASSERT_LE(buffer.HeldBytes(), bytes + bytes / 64 + 4 * KiB + 64);
  }
  buffer.Clear();
  EXPECT_EQ(buffer.HeldBytes(), 0U);
}
