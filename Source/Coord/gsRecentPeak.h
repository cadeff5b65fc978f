/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Recent maximum of a value. During a network partition, a host counts only
 * the hosts of its own part. A resource shared by all hosts is therefore
 * divided by the recent maximum of the host count, so that the parts together
 * do not use a multiple of the resource during a short partition.
 *
 * The maximum is kept for the current and the previous window of time.
 */
#pragma once

#include <cstddef>

#include "gsTypes.h"

/** Maximum of a value over the last one to two windows. */
struct gsRecentPeak
{
  gsTime Window = gsSeconds(20); ///< Length of a window. A value is counted
                                 ///< for at least one and less than two.
  std::size_t CurrentMax = 0;    ///< Maximum since WindowStart.
  std::size_t PreviousMax = 0;   ///< Maximum of the previous window; zero if
                                 ///< there was none.
  gsTime WindowStart{};          ///< Start of the current window.
};

/** Records a value. \return The recent maximum. */
std::size_t gsUpdatePeak(gsRecentPeak& peak, std::size_t value, gsTime now);
