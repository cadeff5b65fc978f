/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Wall-clock time as the median of the clocks of many hosts. The wall clock of
 * one host may be wrong and may jump by seconds; the median is wrong only if
 * half of the clocks are. Coordinators receive the clocks of all hosts of
 * their hall and use the median of these; other hosts use the median of the
 * times received from coordinators.
 *
 * Clocks are stored as offsets from this host's steady clock.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "gsTypes.h"

/** Microseconds since 1970, by the wall clock of a host or the median of
 * several. */
using gsWallTime = std::int64_t;

/** The last received reading of a host's clock. */
struct gsReceivedClock
{
  std::int64_t Offset = 0; ///< From this host's steady clock, microseconds.
  bool IsMedian = false;   ///< Whether the sender, a coordinator, reported a
                           ///< median rather than its own clock.
  gsTime ReceivedAt{};     ///< When it was received.
};

/** The clocks that were received from other hosts. */
struct gsClockAgreement
{
  /** Time after which a received clock is no longer used. */
  gsTime ClockLifetime = gsSeconds(5);
  std::map<std::string, gsReceivedClock> Clocks; ///< By host.
};

/** Stores the clock received from another host. IsMedian is set if it is
 * the median that a coordinator reports. */
void gsClockReceive(gsClockAgreement& clocks, std::string_view host,
                    gsWallTime wall, bool isMedian, gsTime now);

/**
 * The current wall-clock time by the received clocks. OwnClock is this host's
 * clock. A coordinator uses the median of it and all received clocks; other
 * hosts use the median of those that coordinators report, or ownClock if there
 * are none.
 */
gsWallTime gsClockNow(gsClockAgreement const& clocks, gsWallTime ownClock,
                      bool isCoordinator, gsTime now);

/** Removes expired clocks. */
void gsClockExpire(gsClockAgreement& clocks, gsTime now);
