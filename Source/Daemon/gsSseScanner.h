/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Follows a stream of server-sent events, so that only whole events are
 * relayed and the stream's own end mark is known.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

class gsSseScanner
{
public:
  /** Takes bytes in; the result is the whole events that are now complete. */
  std::string Feed(std::string_view bytes);

  /** Whether the end mark "data: [DONE]" has come; nothing follows it. */
  bool Done() const { return this->Ended; }
  /** Data events so far, the end mark not counted. */
  std::uint64_t Events() const { return this->Count; }
  /** Whether an event has grown beyond what is allowed. */
  bool TooLong() const { return this->Partial.size() > MaxEvent; }

private:
  static constexpr std::size_t MaxEvent = 1U << 20U;
  std::string Partial;
  std::uint64_t Count = 0;
  bool Ended = false;
};
