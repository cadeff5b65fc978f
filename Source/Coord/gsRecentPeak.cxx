/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRecentPeak.h"

#include <algorithm>
#include <utility>

std::size_t gsNotePeak(gsRecentPeak& peak, std::size_t value, gsTime now)
{
  if (now - peak.Since >= peak.Memory) {
    bool old = now - peak.Since >= 2 * peak.Memory;
    peak.Before = old ? 0 : peak.Now;
    peak.Now = 0;
    peak.Since = now;
  }
  peak.Now = std::max(peak.Now, value);
  return std::max(peak.Now, peak.Before);
}
