/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsSlotRoom.h"

#include <algorithm>
#include <cmath>

namespace {

/** Share of the rejections that an upstream bears which rises may cause. The
 * rest is left to hosts whose attempts are not counted. */
constexpr double RiseAllowanceShare = 0.5;
/** Minimum interval between rises. A rejection arrives in less time. */
constexpr gsTime MinRiseInterval = gsMilliseconds(100);
/** A rejection within this time of a rise is attributed to it. */
constexpr gsTime ProbeTime = gsMilliseconds(300);
/** Maximum share by which one rejection lowers the estimate. The upstream may
 * have rejected an attempt that it could not hold at any load. */
constexpr double MaxLoweringShare = 0.5;
/** Time after a rejection in which an upstream crashes because of it. */
constexpr gsTime RecentTime = gsSeconds(2);
/** Limits below it are not probed. */
constexpr double MinProbedRejections = 1;

/** Whether the last rise caused a rejection at this time. */
bool IsProbe(gsSlotRoom const& room, gsTime now)
{
  return room.RaisedAt > room.RejectedAt && now - room.RaisedAt <= ProbeTime;
}

} // namespace

double gsRoomSize(gsSlotRoom const& room, double listedSlots)
{
  bool isEstimated = room.MaxRejections.has_value() && room.Size > 0;
  return isEstimated ? std::min<double>(room.Size, listedSlots) : listedSlots;
}

void gsLowerRoom(gsSlotRoom& room, double listedSlots,
                 std::uint32_t inProgress, gsTime now)
{
  double size = gsRoomSize(room, listedSlots);
  bool isProbe = IsProbe(room, now);
  room.RejectedAt = now;
  if (inProgress > size) {
    return; // The attempt was sent before an earlier rejection was known.
  }
  double lowest = std::floor(size * MaxLoweringShare);
  double lowered = lowest;
  if (isProbe) {
    lowered = size - 1;
  } else if (inProgress < size) {
    lowered = std::max(lowest, inProgress - 1.0);
  }
  room.Size = static_cast<std::uint32_t>(std::max(1.0, lowered));
}

std::optional<gsTime> gsNextRoomRise(gsSlotRoom const& room,
                                     double listedSlots, double share)
{
  bool isProbed = room.MaxRejections.has_value() &&
                  *room.MaxRejections >= MinProbedRejections && share > 0;
  if (!isProbed || gsRoomSize(room, listedSlots) >= listedSlots) {
    return std::nullopt;
  }
  double perSecond =
    RiseAllowanceShare * *room.MaxRejections * std::min(share, 1.0);
  return std::max(room.RejectedAt + gsFromSeconds(1 / perSecond),
                  room.RaisedAt + MinRiseInterval);
}

bool gsRaiseRoom(gsSlotRoom& room, double listedSlots, double share,
                 gsTime now)
{
  std::optional<gsTime> due = gsNextRoomRise(room, listedSlots, share);
  if (!due || now < *due) {
    return false;
  }
  double size = std::floor(gsRoomSize(room, listedSlots)) + 1;
  room.Size = static_cast<std::uint32_t>(size);
  room.RaisedAt = now;
  return true;
}

bool gsHasRecentRejection(gsSlotRoom const& room, gsTime now)
{
  return room.RejectedAt.count() != 0 && now - room.RejectedAt < RecentTime;
}
