/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsClockAgreement.h"

#include <algorithm>
#include <vector>

namespace {

/** The middle one; of an even number the lower of the two. */
std::int64_t Median(std::vector<std::int64_t>& values)
{
  auto middle =
    values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/** Offsets that count: of coordinators only, or of all. */
std::vector<std::int64_t> Offsets(gsClockAgreement const& clocks,
                                  bool agreedOnly, gsTime now)
{
  std::vector<std::int64_t> offsets;
  for (auto const& [host, heard] : clocks.Heard) {
    bool fresh = now - heard.At <= clocks.Memory;
    if (fresh && (heard.Agreed || !agreedOnly)) {
      offsets.push_back(heard.Offset);
    }
  }
  return offsets;
}

} // namespace

void gsClockHear(gsClockAgreement& clocks, std::string_view host,
                 gsWallTime wall, bool agreed, gsTime now)
{
  clocks.Heard[std::string(host)] = { wall - now.count(), agreed, now };
}

gsWallTime gsClockNow(gsClockAgreement const& clocks, gsWallTime own,
                      bool coordinates, gsTime now)
{
  std::vector<std::int64_t> offsets = Offsets(clocks, !coordinates, now);
  if (coordinates || offsets.empty()) {
    offsets.push_back(own - now.count());
  }
  return now.count() + Median(offsets);
}

void gsClockForget(gsClockAgreement& clocks, gsTime now)
{
  for (auto heard = clocks.Heard.begin(); heard != clocks.Heard.end();) {
    bool fresh = now - heard->second.At <= clocks.Memory;
    heard = fresh ? std::next(heard) : clocks.Heard.erase(heard);
  }
}
