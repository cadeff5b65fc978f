/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Parses a stream of server-sent events, so that only complete events are
 * relayed and the end marker of the stream is detected.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

class gsSseParser
{
public:
  /** Appends received bytes; returns the newly completed events. */
  std::string Append(std::string_view bytes);

  /** Whether the end marker "data: [DONE]" was received. Everything after it
   * is ignored. */
  bool IsDone() const { return this->Ended; }
  /** Number of data events received, without the end marker. */
  std::uint64_t EventCount() const { return this->Count; }
  /** Whether the incomplete event exceeds the maximum size, 1 MiB. */
  bool IsEventTooLong() const { return this->Partial.size() > MaxEventBytes; }

private:
  static constexpr std::size_t MaxEventBytes = 1U << 20U;
  std::string Partial; ///< Bytes of the incomplete event.
  std::uint64_t Count = 0;
  bool Ended = false;
};
