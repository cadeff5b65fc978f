/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Estimates how many attempts an upstream accepts at a time, for upstreams
 * that state how many rejections in a second they bear. Such an upstream may
 * accept fewer attempts than it has slots.
 *
 * The estimate begins with the listed slots, above which requests would only
 * wait at the upstream, and never exceeds them. A rejection lowers it to the
 * number of attempts that were in progress; if that is no less than the
 * estimate, the upstream accepts fewer than before, and the estimate is
 * halved. It then rises by one at a time while requests wait. A rise that
 * causes a rejection is undone, and the next one follows only after a time in
 * which the upstream bears two, so that rises cause at most half of the
 * rejections that it bears, and none if it bears none.
 *
 * The functions neither read a clock nor do I/O.
 */
#pragma once

#include <cstdint>
#include <optional>

#include "gsTypes.h"

/** Estimate for one upstream, kept by each host that issues its tokens. */
struct gsSlotRoom
{
  /** Rejections in a second that the upstream bears, from all hosts combined;
   * empty if it states none. The listed slots then apply. */
  std::optional<double> MaxRejections;
  /** Attempts that the upstream accepts at a time; zero until a rejection or a
   * rise, with the listed slots in force. */
  std::uint32_t Size = 0;
  gsTime RejectedAt{}; ///< Last rejection that this host knows of.
  gsTime RaisedAt{};   ///< Last rise.
};

/** Attempts in progress that the upstream accepts. */
double gsRoomSize(gsSlotRoom const& room, double listedSlots);

/**
 * Lowers the estimate after a rejection.
 * \param inProgress Attempts of all hosts that were in progress, including the
 *   rejected one.
 */
void gsLowerRoom(gsSlotRoom& room, double listedSlots,
                 std::uint32_t inProgress, gsTime now);

/** When the estimate may rise next if requests wait; empty if it may not.
 * \param share Share of the upstream's slots that this host may issue. Each of
 *   several hosts that issue tokens independently causes its share of the
 *   rejections. */
std::optional<gsTime> gsNextRoomRise(gsSlotRoom const& room,
                                     double listedSlots, double share);

/** Raises the estimate by one if that is due. \return Whether it was. */
bool gsRaiseRoom(gsSlotRoom& room, double listedSlots, double share,
                 gsTime now);

/** Whether the upstream has rejected attempts shortly before. It may then
 * crash for that reason alone. */
bool gsHasRecentRejection(gsSlotRoom const& room, gsTime now);
