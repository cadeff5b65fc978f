/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsWorkAhead.h"

#include <algorithm>

namespace {

/** Adds the loads that are less urgent than a priority to a sum. */
void AddLessUrgent(gsUrgencyLoad& sum, gsUrgencyLoads const& loads,
                   std::uint32_t priority)
{
  for (gsUrgencyLoad const& load : loads) {
    if (load.Priority > priority) {
      sum.OpenAttempts += load.OpenAttempts;
      sum.Waiting += load.Waiting;
      sum.PendingPromptTokens += load.PendingPromptTokens;
      sum.MemoryTokens += load.MemoryTokens;
    }
  }
}

/** The part of a total that is not contained in a known part of it. */
double Remainder(std::uint64_t total, std::uint64_t part)
{
  return static_cast<double>(total - std::min(total, part));
}

} // namespace

gsWorkAhead gsWorkAheadOf(gsFleet const& fleet, gsFleetRow const& row,
                          std::uint32_t priority, gsTime now)
{
  gsOutstandingLoad total = gsTotalLoad(fleet, row, now);
  gsUrgencyLoad later;
  AddLessUrgent(later, row.OwnByUrgency, priority);
  if (gsIsOthersLoadValid(fleet, row, now)) {
    AddLessUrgent(later, row.OthersByUrgency, priority);
  }
  gsWorkAhead ahead{ Remainder(total.OpenAttempts, later.OpenAttempts),
                     Remainder(total.PendingPromptTokens,
                               later.PendingPromptTokens),
                     Remainder(total.MemoryTokens, later.MemoryTokens) };
  if (later.OpenAttempts == 0) {
    return ahead;
  }
  double waiting = std::min(later.Waiting, later.OpenAttempts);
  double inProcess = std::min(1.0, waiting);
  double admitted = later.OpenAttempts - waiting + inProcess;
  ahead.Requests += admitted;
  ahead.PromptTokens +=
    waiting == 0 ? 0 : later.PendingPromptTokens * inProcess / waiting;
  ahead.MemoryTokens += later.MemoryTokens * admitted / later.OpenAttempts;
  return ahead;
}
