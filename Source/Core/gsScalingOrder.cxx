/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsScalingOrder.h"

#include <algorithm>

namespace {

/** Time beyond the startup time after which a mismatch between listed and
 * wanted upstreams is ordered again. Crashed upstreams restart within seconds,
 * and a release replaces upstreams one by one. */
constexpr gsTime MismatchTimeout = gsSeconds(3);
/** Maximum difference that does not justify an order. */
constexpr std::uint32_t MaxNegligibleDifference = 2;
/** Minimum ratio of the larger number to such a difference. */
constexpr std::uint32_t MinNegligibleRatio = 12;

/** Updates the start time of a mismatch. */
void UpdateMismatch(gsScalingOrder& order, std::uint32_t wanted,
                    std::uint32_t listed, gsTime now)
{
  if (gsScalingIsNegligibleChange(listed, wanted)) {
    order.MismatchSince = gsTime{};
  } else if (order.MismatchSince.count() == 0) {
    order.MismatchSince = now;
  }
}

} // namespace

bool gsScalingIsNegligibleChange(std::uint32_t a, std::uint32_t b)
{
  std::uint32_t difference = a > b ? a - b : b - a;
  return difference <= MaxNegligibleDifference &&
         difference * MinNegligibleRatio <= std::max(a, b);
}

bool gsScalingOrderIsDue(gsScalingOrder& order, std::uint32_t wanted,
                         std::uint32_t listed, gsTime startup,
                         std::uint64_t token, gsTime now)
{
  UpdateMismatch(order, wanted, listed, now);
  if (now < order.NextAttemptAt) {
    return false;
  }
  if (!order.IsPlaced) {
    order.Count = listed;
    return !gsScalingIsNegligibleChange(listed, wanted);
  }
  bool changed = !gsScalingIsNegligibleChange(wanted, order.Count);
  bool isMismatched = order.MismatchSince.count() != 0 &&
                      now - std::max(order.MismatchSince, order.PlacedAt) >=
                        startup + MismatchTimeout;
  // An increase is not reverted before its upstreams serve. Orders would
  // otherwise oscillate in a hall whose availability changes quickly.
  bool revertsIncrease = order.IsIncrease && wanted < order.Count &&
                         now - order.PlacedAt < startup + MismatchTimeout;
  if (revertsIncrease) {
    return false;
  }
  if (!order.IsAnswered) {
    return token > order.FencingToken;
  }
  return changed || isMismatched;
}

void gsScalingRecordOrder(gsScalingOrder& order, std::uint32_t wanted,
                          std::uint64_t token, gsTime now)
{
  order.IsPlaced = true;
  order.IsIncrease = wanted > order.Count;
  order.Count = wanted;
  order.FencingToken = token;
  order.PlacedAt = now;
  order.IsAnswered = false;
  order.MismatchSince = gsTime{};
}
