/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRecentPeak.h"

#include <algorithm>
#include <utility>

std::size_t gsUpdatePeak(gsRecentPeak& peak, std::size_t value, gsTime now)
{
  if (now - peak.WindowStart >= peak.Window) {
    bool isStale = now - peak.WindowStart >= 2 * peak.Window;
    peak.PreviousMax = isStale ? 0 : peak.CurrentMax;
    peak.CurrentMax = 0;
    peak.WindowStart = now;
  }
  peak.CurrentMax = std::max(peak.CurrentMax, value);
  return std::max(peak.CurrentMax, peak.PreviousMax);
}
