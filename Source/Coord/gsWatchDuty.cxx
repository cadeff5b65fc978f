/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsWatchDuty.h"

#include <algorithm>

#include "gsRendezvous.h"

namespace {

/** Whether any host has reported current tables. If a list is given, only
 * hosts of the list that watch themselves are considered. */
bool IsCovered(gsWatchDuty const& duty,
               std::vector<std::string> const* candidates, gsTime now)
{
  return std::any_of(
    duty.Reports.begin(), duty.Reports.end(),
    [&duty, candidates, now](auto const& entry) {
      gsWatcherReport const& report = entry.second;
      gsTime silence = now - report.ReceivedAt;
      // A forwarded report may originate from this host.
      bool isWatcherInList = candidates != nullptr && !report.IsForwarded &&
                             std::find(candidates->begin(), candidates->end(),
                                       entry.first) != candidates->end();
      bool counts = candidates == nullptr || isWatcherInList;
      return counts && silence <= duty.Settings.WatcherTimeout &&
             report.TablesAge + silence <= duty.Settings.MaxTablesAge;
    });
}

/** The rank of a host that is not in the known part of the order, by a hash of
 * its name. Several hosts may have the same rank. */
std::size_t RankBehind(std::string_view self, std::size_t orderSize,
                       std::size_t hallSize)
{
  std::size_t others = hallSize > orderSize ? hallSize - orderSize : 1;
  return orderSize + gsHashText(self) % others;
}

/** Records since when the host has been covered or uncovered. */
void RecordCoverage(gsWatchDuty& duty, bool covered, gsTime now)
{
  gsTime& since = covered ? duty.CoveredSince : duty.UncoveredSince;
  (covered ? duty.UncoveredSince : duty.CoveredSince) = gsTime{};
  if (since.count() == 0) {
    since = now;
  }
}

} // namespace

char const* gsWatchStateName(gsWatchState state)
{
  switch (state) {
    case gsWatchState::Assigned:
      return "assigned";
    case gsWatchState::Uncovered:
      return "uncovered";
    case gsWatchState::Covered:
      break;
  }
  return "covered";
}

void gsApplyWatcherReport(gsWatchDuty& duty, std::string_view host, gsTime age,
                          bool isForwarded, gsTime now)
{
  duty.Reports[std::string(host)] = { now, age, isForwarded };
}

gsTime gsTablesCurrentAt(gsWatchDuty const& duty)
{
  gsTime latest{};
  for (auto const& [host, report] : duty.Reports) {
    latest = std::max(latest, report.ReceivedAt - report.TablesAge);
  }
  return latest;
}

gsTime gsWatchedTablesCurrentAt(gsWatchDuty const& duty)
{
  gsTime latest{};
  for (auto const& [host, report] : duty.Reports) {
    if (!report.IsForwarded) {
      latest = std::max(latest, report.ReceivedAt - report.TablesAge);
    }
  }
  return latest;
}

gsWatchState gsUpdateWatchState(gsWatchDuty& duty,
                                std::vector<std::string> const& hallOrder,
                                std::size_t hallSize, gsTime now)
{
  std::vector<std::string> order = hallOrder;
  auto self = std::find(order.begin(), order.end(), duty.Self);
  bool listed = self != order.end();
  std::size_t rank = listed ? static_cast<std::size_t>(self - order.begin())
                            : RankBehind(duty.Self, order.size(), hallSize);
  rank = std::max(rank, listed ? rank : duty.Settings.WatchersPerHall);
  bool assigned = listed && rank < duty.Settings.WatchersPerHall;
  // A host that watches without being assigned is covered only by hosts that
  // precede it in the order. Of two such hosts, the first therefore continues;
  // otherwise each would be covered by the other, and both would stop.
  order.erase(self, order.end());
  bool isUncovered = duty.State == gsWatchState::Uncovered;
  bool covered = IsCovered(duty, isUncovered ? &order : nullptr, now);
  RecordCoverage(duty, covered, now);
  if (now - duty.StartedAt < duty.Settings.StartupDelay) {
    // The delay of hosts that are not assigned begins at the end of
    // StartupDelay, so that the assigned ones can start first.
    duty.UncoveredSince = duty.UncoveredSince.count() == 0 ? gsTime{} : now;
    return duty.State;
  }
  if (assigned) {
    duty.State = gsWatchState::Assigned;
  } else if (covered) {
    bool stops = now - duty.CoveredSince >= duty.Settings.StopDelay;
    duty.State = stops ? gsWatchState::Covered : duty.State;
  } else {
    gsTime delay =
      duty.Settings.TakeoverInterval *
      static_cast<std::int64_t>(rank - duty.Settings.WatchersPerHall);
    bool due = now - duty.UncoveredSince >= delay;
    duty.State = due ? gsWatchState::Uncovered : duty.State;
  }
  return duty.State;
}
