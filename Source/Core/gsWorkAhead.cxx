/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsWorkAhead.h"

#include <algorithm>

#include "gsArrangement.h"

namespace {

/** Maximum share of the slots that more urgent requests are expected to need;
 * bounds the expected wait of others. */
constexpr double MaxMoreUrgentShare = 0.9;

/** Assumed time that a request holds a slot until one has been measured. */
constexpr double DefaultRunMillis = 1000;

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

double CountMoreUrgent(gsUrgencyLoads const& loads, std::uint32_t priority)
{
  double count = 0;
  for (gsUrgencyLoad const& load : loads) {
    count += load.Priority < priority ? load.OpenAttempts : 0;
  }
  return count;
}

/** The part of a total that is not contained in a known part of it. */
double Remainder(std::uint64_t total, std::uint64_t part)
{
  return static_cast<double>(total - std::min(total, part));
}

/** Running requests of known urgency and the slots that they release. */
struct Running
{
  double Requests = 0;
  double ReleaseRate = 0; ///< Per millisecond.
};

void AddRunning(Running& sum, gsDemand const& demand,
                gsUrgencyLoads const& loads)
{
  for (gsUrgencyLoad const& load : loads) {
    auto runTime = demand.RunMillis.find(load.Priority);
    if (runTime == demand.RunMillis.end() || runTime->second <= 0) {
      continue;
    }
    double running =
      load.OpenAttempts - std::min(load.Waiting, load.OpenAttempts);
    sum.Requests += running;
    sum.ReleaseRate += running / runTime->second;
  }
}

} // namespace

double gsSlotReleaseRate(gsFleet const& fleet, gsFleetRow const& row,
                         gsTime now)
{
  auto found = fleet.Demand.find(row.Listed.Service);
  if (found == fleet.Demand.end()) {
    return 0;
  }
  gsDemand const& demand = found->second;
  Running running;
  AddRunning(running, demand, row.OwnByUrgency);
  if (gsIsOthersLoadValid(fleet, row, now)) {
    AddRunning(running, demand, row.OthersByUrgency);
  }
  double slots = std::max(1U, row.Listed.Slots);
  if (running.Requests >= slots) {
    return running.ReleaseRate * slots / running.Requests;
  }
  double holdMillis = gsIsLongEngine(fleet, row) ? demand.LongHoldMillis
                                                 : demand.TightHoldMillis;
  double unknown = slots - running.Requests;
  return running.ReleaseRate + (holdMillis > 0 ? unknown / holdMillis : 0);
}

double gsRequestsOfKind(gsFleet const& fleet, gsFleetRow const& row,
                        std::uint32_t priority, gsTime now)
{
  std::uint64_t others = 0;
  auto add = [&](gsUrgencyLoads const& loads) {
    for (gsUrgencyLoad const& load : loads) {
      others += load.Priority != priority ? load.OpenAttempts : 0;
    }
  };
  add(row.OwnByUrgency);
  if (gsIsOthersLoadValid(fleet, row, now)) {
    add(row.OthersByUrgency);
  }
  return Remainder(gsTotalLoad(fleet, row, now).OpenAttempts, others);
}

double gsSlotWaitMillis(gsFleet const& fleet, gsFleetRow const& row,
                        gsWorkAhead const& ahead, gsTime now)
{
  double slots = std::max(1U, row.Listed.Slots);
  double queued = ahead.Requests + 1 - slots;
  if (queued <= 0) {
    return 0;
  }
  double rate = gsSlotReleaseRate(fleet, row, now);
  rate = rate > 0 ? rate : slots / DefaultRunMillis;
  double moreUrgentShare =
    std::min(MaxMoreUrgentShare, ahead.MoreUrgent / slots);
  return queued / rate / (1 - moreUrgentShare);
}

gsWorkAhead gsWorkAheadOf(gsFleet const& fleet, gsFleetRow const& row,
                          std::uint32_t priority, gsTime now)
{
  gsOutstandingLoad total = gsTotalLoad(fleet, row, now);
  gsUrgencyLoad later;
  AddLessUrgent(later, row.OwnByUrgency, priority);
  bool isOthersValid = gsIsOthersLoadValid(fleet, row, now);
  if (isOthersValid) {
    AddLessUrgent(later, row.OthersByUrgency, priority);
  }
  gsWorkAhead ahead{ Remainder(total.OpenAttempts, later.OpenAttempts),
                     Remainder(total.PendingPromptTokens,
                               later.PendingPromptTokens),
                     Remainder(total.MemoryTokens, later.MemoryTokens), 0 };
  ahead.MoreUrgent =
    CountMoreUrgent(row.OwnByUrgency, priority) +
    (isOthersValid ? CountMoreUrgent(row.OthersByUrgency, priority) : 0);
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
