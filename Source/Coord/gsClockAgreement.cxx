/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsClockAgreement.h"

#include <algorithm>
#include <vector>

namespace {

/** The median; for an even number of values the lower of the two middle ones.
 */
std::int64_t Median(std::vector<std::int64_t>& values)
{
  auto middle =
    values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/** Offsets of all clocks that have not expired, or only of those that are
 * medians reported by coordinators. */
std::vector<std::int64_t> Offsets(gsClockAgreement const& clocks,
                                  bool mediansOnly, gsTime now)
{
  std::vector<std::int64_t> offsets;
  for (auto const& [host, clock] : clocks.Clocks) {
    bool isCurrent = now - clock.ReceivedAt <= clocks.ClockLifetime;
    if (isCurrent && (clock.IsMedian || !mediansOnly)) {
      offsets.push_back(clock.Offset);
    }
  }
  return offsets;
}

} // namespace

void gsClockReceive(gsClockAgreement& clocks, std::string_view host,
                    gsWallTime wall, bool isMedian, gsTime now)
{
  clocks.Clocks[std::string(host)] = { wall - now.count(), isMedian, now };
}

gsWallTime gsClockNow(gsClockAgreement const& clocks, gsWallTime ownClock,
                      bool isCoordinator, gsTime now)
{
  std::vector<std::int64_t> offsets = Offsets(clocks, !isCoordinator, now);
  if (isCoordinator || offsets.empty()) {
    offsets.push_back(ownClock - now.count());
  }
  return now.count() + Median(offsets);
}

void gsClockExpire(gsClockAgreement& clocks, gsTime now)
{
  for (auto clock = clocks.Clocks.begin(); clock != clocks.Clocks.end();) {
    bool isCurrent = now - clock->second.ReceivedAt <= clocks.ClockLifetime;
    clock = isCurrent ? std::next(clock) : clocks.Clocks.erase(clock);
  }
}
