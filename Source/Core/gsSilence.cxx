/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsSilence.h"

#include <algorithm>

#include "gsArrangement.h"

namespace {

/**
 * Estimates of the reading may be short by so much: other hosts' prompts are
 * known some tenths of a second late.
 */
constexpr double ReadingMargin = 3;
/** Less for slots: the holds that are measured include waits for a slot. */
constexpr double SlotMargin = 2;

gsTime ReadingTime(std::uint64_t tokens, double tokenMillis)
{
  return gsFromSeconds(static_cast<double>(tokens) * tokenMillis / 1e3);
}

/** Milliseconds for which an attempt holds a slot; zero if unknown. */
double HoldAt(gsFleet const& fleet, gsFleetRow const& row)
{
  auto demand = fleet.Demand.find(row.Listed.Service);
  if (demand == fleet.Demand.end()) {
    return 0;
  }
  bool isLong = gsIsLongEngine(fleet, row);
  return isLong ? demand->second.HoldLong : demand->second.HoldTight;
}

/** Time until one of the requests above the slots gets one. */
gsTime SlotTime(gsFleet const& fleet, gsFleetRow const& row,
                std::uint32_t running)
{
  std::uint32_t slots = std::max(1U, row.Listed.Slots);
  if (running <= slots) {
    return gsTime{};
  }
  double queued = running - slots;
  return gsFromSeconds(queued * HoldAt(fleet, row) / slots / 1e3);
}

} // namespace

gsExpectedWait gsWaitAt(gsFleet const& fleet, gsFleetRow const& row,
                        std::uint32_t readTokens, gsTime now)
{
  gsOpenWork work = gsWorkAt(fleet, row, now);
  return { work.ReadTokens + readTokens,
           SlotTime(fleet, row, work.Running + 1) };
}

gsTime gsSilenceBeforeAnswer(gsFleet const& fleet, gsFleetRow const* row,
                             gsExpectedWait const& whenSent,
                             double tokenMillis, gsTime now)
{
  gsExpectedWait wait = whenSent;
  if (row != nullptr) {
    // The attempt is one of those that the row counts now.
    gsOpenWork work = gsWorkAt(fleet, *row, now);
    wait.ReadTokens = std::max(wait.ReadTokens, work.ReadTokens);
    wait.Slot = std::max(wait.Slot, SlotTime(fleet, *row, work.Running));
  }
  double reading =
    gsToSeconds(ReadingTime(wait.ReadTokens, tokenMillis)) * ReadingMargin;
  return gsFromSeconds(reading + SlotMargin * gsToSeconds(wait.Slot));
}

gsTime gsSilenceOfStream(gsFleet const& fleet, gsFleetRow const& row,
                         double tokenMillis, gsTime now)
{
  // It has a slot; at most all prompts there are read before its next event.
  return ReadingTime(gsWorkAt(fleet, row, now).ReadTokens, tokenMillis);
}
