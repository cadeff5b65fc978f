/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsWatchDuty.h"

#include <algorithm>

#include "gsRendezvous.h"

namespace {

constexpr std::string_view WatchKey = "table-watch";

/** Whether any host has tables that are up to date; of a list, if given. */
bool HearsOfFreshTables(gsWatchDuty const& duty,
                        std::vector<std::string> const* among, gsTime now)
{
  return std::any_of(duty.Heard.begin(), duty.Heard.end(),
                     [&duty, among, now](auto const& entry) {
                       gsHeardWatcher const& heard = entry.second;
                       gsTime silent = now - heard.At;
                       bool counts = among == nullptr ||
                                     std::find(among->begin(), among->end(),
                                               entry.first) != among->end();
                       return counts && silent <= duty.Settings.Patience &&
                              heard.Age + silent <= duty.Settings.MostAge;
                     });
}

void NoteCover(gsWatchDuty& duty, bool covered, gsTime now)
{
  gsTime& since = covered ? duty.CoveredSince : duty.UncoveredSince;
  (covered ? duty.UncoveredSince : duty.CoveredSince) = gsTime{};
  if (since.count() == 0) {
    since = now;
  }
}

} // namespace

char const* gsWatchStateWord(gsWatchState state)
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

void gsDutyHear(gsWatchDuty& duty, std::string_view host, gsTime age,
                gsTime now)
{
  duty.Heard[std::string(host)] = { now, age };
}

gsTime gsDutyFreshAt(gsWatchDuty const& duty)
{
  gsTime latest{};
  for (auto const& [host, heard] : duty.Heard) {
    latest = std::max(latest, heard.At - heard.Age);
  }
  return latest;
}

gsWatchState gsDutyDecide(gsWatchDuty& duty,
                          std::vector<std::string_view> const& hallHosts,
                          gsTime now)
{
  std::vector<std::string> order =
    gsRendezvousFirst(hallHosts, WatchKey, hallHosts.size());
  auto self = std::find(order.begin(), order.end(), duty.Self);
  auto rank = static_cast<std::size_t>(self - order.begin());
  bool assigned = self != order.end() && rank < duty.Settings.Watchers;
  // Of two that watch without being assigned, the one that comes first in the
  // order stays; so they do not relieve each other.
  order.erase(self, order.end());
  bool watches = duty.State == gsWatchState::Uncovered;
  bool covered = HearsOfFreshTables(duty, watches ? &order : nullptr, now);
  NoteCover(duty, covered, now);
  if (now - duty.Started < duty.Settings.StartPatience) {
    return duty.State;
  }
  if (assigned) {
    duty.State = gsWatchState::Assigned;
  } else if (covered) {
    bool settled = now - duty.CoveredSince >= duty.Settings.Settle;
    duty.State = settled ? gsWatchState::Covered : duty.State;
  } else {
    gsTime turn = duty.Settings.Step *
                  static_cast<std::int64_t>(rank - duty.Settings.Watchers);
    bool due = now - duty.UncoveredSince >= turn;
    duty.State = due ? gsWatchState::Uncovered : duty.State;
  }
  return duty.State;
}
