/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsFairOrder.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace {

/** Organisations after which those without a virtual time of their own are
 * removed. */
constexpr std::size_t MaxOrganisations = 1024;
constexpr double MinWeight = 1e-6;

} // namespace

bool gsIsServedBefore(gsFairRow const& a, gsFairRow const& b)
{
  bool aIsNew = !a.IsReturning;
  bool bIsNew = !b.IsReturning;
  return std::tie(a.Priority, aIsNew, a.VirtualTime, a.Deadline) <
         std::tie(b.Priority, bIsNew, b.VirtualTime, b.Deadline);
}

double gsVirtualTime(gsFairClock const& clock, std::uint32_t organisation)
{
  auto found = clock.Organisations.find(organisation);
  return found == clock.Organisations.end()
           ? clock.VirtualTime
           : std::max(clock.VirtualTime, found->second);
}

void gsChargeService(gsFairClock& clock, std::uint32_t organisation,
                     double service, double weight)
{
  double start = gsVirtualTime(clock, organisation);
  clock.VirtualTime = start;
  clock.Organisations[organisation] =
    start + service / std::max(weight, MinWeight);
  if (clock.Organisations.size() <= MaxOrganisations) {
    return;
  }
  for (auto entry = clock.Organisations.begin();
       entry != clock.Organisations.end();) {
    bool isPast = entry->second <= clock.VirtualTime;
    entry = isPast ? clock.Organisations.erase(entry) : std::next(entry);
  }
  if (clock.Organisations.size() > MaxOrganisations) {
    clock.Organisations.erase(std::min_element(
      clock.Organisations.begin(), clock.Organisations.end(),
      [](auto const& a, auto const& b) { return a.second < b.second; }));
  }
}
