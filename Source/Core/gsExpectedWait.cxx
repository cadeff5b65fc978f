/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsExpectedWait.h"

#include <algorithm>

#include "gsArrangement.h"
#include "gsEngineSpeed.h"

namespace {

/**
 * Safety factor for the prompt processing time. It may be underestimated, as
 * prompts of other hosts become known some tenths of a second late.
 */
constexpr double PromptTimeMargin = 3;
/** Safety factor for the wait for a slot. Smaller, since the measured hold
 * times already include waits for a slot. */
constexpr double SlotWaitMargin = 2;

gsTime PromptProcessingTime(std::uint64_t tokens, double tokenMillis)
{
  return gsFromSeconds(static_cast<double>(tokens) * tokenMillis / 1e3);
}

/** Speed for waits that extend timeouts. A wrong speed must not shorten them,
 * so that it is at most 1. */
double WaitSpeed(gsFleet const& fleet, gsFleetRow const& row)
{
  return std::min(1.0, gsEngineSpeedOf(fleet, row));
}

/** Mean slot hold time at an engine, milliseconds; zero if unknown. */
double MeanHoldMillis(gsFleet const& fleet, gsFleetRow const& row)
{
  auto demand = fleet.Demand.find(row.Listed.Service);
  if (demand == fleet.Demand.end()) {
    return 0;
  }
  bool isLong = gsIsLongEngine(fleet, row);
  return isLong ? demand->second.LongHoldMillis
                : demand->second.TightHoldMillis;
}

/** Expected time until the last of a number of requests gets a slot. */
gsTime ExpectedSlotWait(gsFleet const& fleet, gsFleetRow const& row,
                        std::uint32_t running)
{
  std::uint32_t slots = std::max(1U, row.Listed.Slots);
  if (running <= slots) {
    return gsTime{};
  }
  double queuedRequests = running - slots;
  return gsFromSeconds(queuedRequests * MeanHoldMillis(fleet, row) / slots /
                       1e3 / WaitSpeed(fleet, row));
}

} // namespace

gsExpectedWait gsExpectedWaitAt(gsFleet const& fleet, gsFleetRow const& row,
                                std::uint32_t promptTokens, gsTime now)
{
  gsOutstandingLoad work = gsTotalLoad(fleet, row, now);
  return { work.PendingPromptTokens + promptTokens,
           ExpectedSlotWait(fleet, row, work.OpenAttempts + 1) };
}

gsTime gsFirstByteTimeoutExtension(gsFleet const& fleet, gsFleetRow const* row,
                                   gsExpectedWait const& waitWhenSent,
                                   double tokenMillis, gsTime now)
{
  gsExpectedWait wait = waitWhenSent;
  double speed = row == nullptr ? 1 : WaitSpeed(fleet, *row);
  if (row != nullptr) {
    // The load of the row already includes the attempt.
    gsOutstandingLoad work = gsTotalLoad(fleet, *row, now);
    wait.PendingPromptTokens =
      std::max(wait.PendingPromptTokens, work.PendingPromptTokens);
    wait.SlotWait = std::max(wait.SlotWait,
                             ExpectedSlotWait(fleet, *row, work.OpenAttempts));
  }
  double promptSeconds = gsToSeconds(PromptProcessingTime(
                           wait.PendingPromptTokens, tokenMillis / speed)) *
                         PromptTimeMargin;
  return gsFromSeconds(promptSeconds +
                       SlotWaitMargin * gsToSeconds(wait.SlotWait));
}

gsTime gsStreamTimeoutExtension(gsFleet const& fleet, gsFleetRow const& row,
                                double tokenMillis, gsTime now)
{
  // The stream has a slot; in the worst case the engine processes all pending
  // prompts before the next event.
  return PromptProcessingTime(gsTotalLoad(fleet, row, now).PendingPromptTokens,
                              tokenMillis / WaitSpeed(fleet, row));
}
