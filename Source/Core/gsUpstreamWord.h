/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What an upstream says of itself in the head of an answer: that it leaves,
 * or that it wants rest from this host. It is the earliest word there is; the
 * platform's table may tell the same many seconds later, or not at all while
 * the platform is silent. Nothing here reads a clock or does I/O.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "gsTypes.h"

/** The word of one answer's head. */
struct gsUpstreamWord
{
  bool Leaving = false; ///< It takes nothing new and will end.
  gsTime Rest{};        ///< It wants nothing from this host for so long.
  /** Requests per second that the upstream accepts from all hosts combined;
   * empty if the answer names no limit. */
  std::optional<double> RateLimit;
  /** The answer names a limit that cannot be parsed. */
  bool RateLimitUnreadable = false;

  bool Empty() const { return !this->Leaving && this->Rest.count() == 0; }
};

/** Longest rest that is read as it is: any longer one holds until the upstream
 * starts again in any case. A day. */
constexpr gsTime gsRestMost = std::chrono::hours(24);

/**
 * Rest for which a turned-away request's upstream asks.
 *
 * \param retryAfter The header's value: seconds, fractions included, or a
 *   date; of several, joined by commas, the longest counts.
 * \param date The same answer's own date. A date is read against it alone, so
 *   that no clock of this host's that steps makes a rest longer or shorter.
 * \return At most gsRestMost; zero for a value that names no time to come.
 */
gsTime gsReadRest(std::string_view retryAfter, std::string_view date);

/**
 * Parses a rate limit in requests per second.
 *
 * \param text Decimal numbers separated by commas; elements that are not
 *   numbers are ignored.
 * \return The lowest number, where a negative one counts as zero; empty if
 *   there is no number.
 */
std::optional<double> gsReadRateLimit(std::string_view text);

/**
 * What this host holds of the words of one incarnation of an upstream. It is a
 * fact of its own beside the upstream's row, which may be older, late, or away
 * for a while: whichever of the two says that it leaves is believed.
 */
struct gsHeardWord
{
  /** One-way: no later answer and no row takes it back. */
  bool Leaving = false;
  /** It wants nothing from this host until then. The latest of all words; a
   * shorter rest that is asked for afterwards does not end a longer one. */
  gsTime RestUntil{};
  /** Attempts that may be unanswered there, while this host comes back after a
   * rest; 0 for any number. */
  std::uint32_t ReturnMost = 0;
  std::uint32_t Unanswered = 0; ///< Of those begun since the rest.
};

/** Takes a word in. \return Whether it changes what holds: the upstream was
 * not known to leave, or did not rest. */
bool gsHear(gsHeardWord& heard, gsUpstreamWord const& word, gsTime now);

/** Whether there is anything in it that holds now or later. */
bool gsHolds(gsHeardWord const& heard, gsTime now);

/** Whether the upstream wants nothing now. A rest excludes; it is no price, by
 * which the upstream would be chosen where all are as dear. */
bool gsIsResting(gsHeardWord const& heard, gsTime now);

/** Who comes back to an upstream after its rest. */
struct gsReturning
{
  std::string_view Host;
  std::string_view Upstream;
  std::size_t Hosts = 1; ///< That may have been asked for the same rest.
};

/**
 * Whether this host may send one more after a rest. All hosts that were turned
 * away together would return together: each comes back at a time of its own
 * after the rest, one in 10 ms, with one request, and with twice as many after
 * each that is taken.
 */
bool gsMayReturn(gsHeardWord const& heard, gsReturning const& who, gsTime now);

/** Notes an attempt there. \return Whether it is one of a return, of which
 * gsNoteReturned is to be told. */
bool gsNoteReturn(gsHeardWord& heard, gsTime now);

/** Notes that an attempt of a return is answered or over, and whether the
 * upstream with so many slots has taken it. */
void gsNoteReturned(gsHeardWord& heard, bool taken, std::uint32_t slots);
