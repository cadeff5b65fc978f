/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Follows the bytes of an answer's body to the end that its head states
 * (RFC 9112, 6 and 7.1). It decides nothing and keeps none of the bytes. It is
 * strict: a body in chunks whose framing is not as the standard writes it has
 * no end, whatever a lenient reader makes of it.
 */
#pragma once

#include <cstdint>
#include <string_view>

#include "gsHttpMessage.h"

class gsAnswerFraming
{
public:
  /** An answer whose head is not known; it has no end. */
  gsAnswerFraming() = default;
  /** The names of the headers are in lower case. A body that states its end
   * in two ways has none. */
  gsAnswerFraming(gsBodyEnd end, gsHeaders const& headers);

  /** Takes the bytes of the body that come next, as they were received. */
  void Take(std::string_view bytes);

  /** Whether the last byte that was taken is the last one of the answer. */
  bool IsComplete() const { return this->At == State::Complete; }
  /** Bytes of the body that were taken, with those that frame it. */
  std::uint64_t Bytes() const { return this->Taken; }

private:
  enum class State
  {
    Endless, ///< No end is stated, or what states it is malformed.
    Length,  ///< Left bytes are to come.
    SizeStart,
    Size,
    Extension,
    SizeLineFeed,
    Chunk, ///< Left bytes are to come.
    ChunkReturn,
    ChunkLineFeed,
    TrailerStart,
    Trailer,
    TrailerLineFeed,
    LastLineFeed,
    Complete
  };

  static State After(State at, char byte);
  void TakeFramed(char byte);
  void TakeDigit(char byte);

  State At = State::Endless;
  std::uint64_t Left = 0; ///< Bytes, by the state.
  std::uint64_t Taken = 0;
};
