/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsColdStart.h"

#include <algorithm>

#include "gsRendezvous.h"

namespace {

/**
 * Share of the rate that all hosts combined use. The rest is a margin for
 * hosts that send a request at both ends of a second, and for hosts that do
 * not know of each other.
 */
constexpr double MaxRateShare = 0.5;

} // namespace

gsColdShare gsColdShareOfHost(double perSecond, std::size_t hosts,
                              std::string_view host, std::string_view upstream)
{
  if (perSecond <= 0) {
    return { true, gsTime{} };
  }
  double share = perSecond * MaxRateShare /
                 static_cast<double>(std::max<std::size_t>(1, hosts));
  if (share >= 1) {
    return { true, gsFromSeconds(1 / share) };
  }
  bool maySend = gsRendezvousFraction(host, gsHashText(upstream)) < share;
  return { maySend, gsSeconds(1) };
}
