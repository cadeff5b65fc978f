/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The highest value of late. Hosts that are cut off from each other count only
 * those that they hear of; what all hosts share is divided by the highest
 * count of late, so that the parts together do not use a multiple of it while
 * a cut lasts.
 */
#pragma once

#include <cstddef>

#include "gsTypes.h"

struct gsRecentPeak
{
  gsTime Memory = gsSeconds(20); ///< Values count for so long, or twice that.
  std::size_t Now = 0;           ///< Highest since Since,
  std::size_t Before = 0;        ///< and in the time of Memory before.
  gsTime Since{};
};

/** Notes a value; the highest of late. */
std::size_t gsNotePeak(gsRecentPeak& peak, std::size_t value, gsTime now);
