/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsScalingOrder.h"

#include <algorithm>

namespace {

/** What is there may differ from what was ordered for so long, beyond the time
 * that upstreams take to start, before it is ordered again: crashed ones are
 * back within seconds, and a release replaces them one by one. */
constexpr gsTime DiffersPatience = gsSeconds(3);
/** Largest difference that is not worth an order, and only where it is less
 * than one in so many. */
constexpr std::uint32_t NearMost = 2;
constexpr std::uint32_t NearOf = 12;

void NoteDifference(gsScalingOrder& order, std::uint32_t wanted,
                    std::uint32_t there, gsTime now)
{
  if (gsScalingIsNear(there, wanted)) {
    order.DiffersSince = gsTime{};
  } else if (order.DiffersSince.count() == 0) {
    order.DiffersSince = now;
  }
}

} // namespace

bool gsScalingIsNear(std::uint32_t a, std::uint32_t b)
{
  std::uint32_t differ = a > b ? a - b : b - a;
  return differ <= NearMost && differ * NearOf <= std::max(a, b);
}

bool gsScalingIsDue(gsScalingOrder& order, std::uint32_t wanted,
                    std::uint32_t there, gsTime startup, std::uint64_t token,
                    gsTime now)
{
  NoteDifference(order, wanted, there, now);
  if (now < order.NextTry) {
    return false;
  }
  if (!order.Given) {
    order.Count = there;
    return !gsScalingIsNear(there, wanted);
  }
  bool changed = !gsScalingIsNear(wanted, order.Count);
  bool differs =
    order.DiffersSince.count() != 0 &&
    now - std::max(order.DiffersSince, order.At) >= startup + DiffersPatience;
  // What has just been ordered is not taken back before it serves: a hall that
  // may have upstreams again, and then has none, would turn it to and fro.
  bool turns = order.Grew && wanted < order.Count &&
               now - order.At < startup + DiffersPatience;
  if (turns) {
    return false;
  }
  if (!order.Answered) {
    return token > order.Token;
  }
  return changed || differs;
}

void gsScalingGive(gsScalingOrder& order, std::uint32_t wanted,
                   std::uint64_t token, gsTime now)
{
  order.Given = true;
  order.Grew = wanted > order.Count;
  order.Count = wanted;
  order.Token = token;
  order.At = now;
  order.Answered = false;
  order.DiffersSince = gsTime{};
}
