/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What an upstream says of itself in the head of an answer: that it leaves,
 * or that it wants rest from this host. It is the earliest word there is; the
 * platform's table may tell the same many seconds later, or not at all while
 * the platform is silent. Nothing here reads a clock or does I/O.
 */
#pragma once

#include <string_view>

#include "gsTypes.h"

/** The word of one answer's head. */
struct gsUpstreamWord
{
  bool Leaving = false; ///< It takes nothing new and will end.
  gsTime Rest{};        ///< It wants nothing from this host for so long.

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
