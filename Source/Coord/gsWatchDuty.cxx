/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsWatchDuty.h"

#include <algorithm>

#include "gsRendezvous.h"

namespace {

/** Whether any host has tables that are up to date; of a list, if given. */
bool HearsOfFreshTables(gsWatchDuty const& duty,
                        std::vector<std::string> const* among, gsTime now)
{
  return std::any_of(duty.Heard.begin(), duty.Heard.end(),
                     [&duty, among, now](auto const& entry) {
                       gsHeardWatcher const& heard = entry.second;
                       gsTime silent = now - heard.At;
                       // News that are passed on may be this host's own.
                       bool isEarlier = among != nullptr && !heard.PassedOn &&
                                        std::find(among->begin(), among->end(),
                                                  entry.first) != among->end();
                       bool counts = among == nullptr || isEarlier;
                       return counts && silent <= duty.Settings.Patience &&
                              heard.Age + silent <= duty.Settings.MostAge;
                     });
}

/** The place of a host behind those whose order is known. */
std::size_t PlaceBehind(std::string_view self, std::size_t known,
                        std::size_t hallSize)
{
  std::size_t others = hallSize > known ? hallSize - known : 1;
  return known + gsHashText(self) % others;
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
                bool passedOn, gsTime now)
{
  duty.Heard[std::string(host)] = { now, age, passedOn };
}

gsTime gsDutyFreshAt(gsWatchDuty const& duty)
{
  gsTime latest{};
  for (auto const& [host, heard] : duty.Heard) {
    latest = std::max(latest, heard.At - heard.Age);
  }
  return latest;
}

gsTime gsDutyWatchedAt(gsWatchDuty const& duty)
{
  gsTime latest{};
  for (auto const& [host, heard] : duty.Heard) {
    if (!heard.PassedOn) {
      latest = std::max(latest, heard.At - heard.Age);
    }
  }
  return latest;
}

gsWatchState gsDutyDecide(gsWatchDuty& duty,
                          std::vector<std::string> const& hallOrder,
                          std::size_t hallSize, gsTime now)
{
  std::vector<std::string> order = hallOrder;
  auto self = std::find(order.begin(), order.end(), duty.Self);
  bool listed = self != order.end();
  std::size_t rank = listed ? static_cast<std::size_t>(self - order.begin())
                            : PlaceBehind(duty.Self, order.size(), hallSize);
  rank = std::max(rank, listed ? rank : duty.Settings.Watchers);
  bool assigned = listed && rank < duty.Settings.Watchers;
  // Of two that watch without being assigned, the one that comes first in the
  // order stays; so they do not relieve each other.
  order.erase(self, order.end());
  bool watches = duty.State == gsWatchState::Uncovered;
  bool covered = HearsOfFreshTables(duty, watches ? &order : nullptr, now);
  NoteCover(duty, covered, now);
  if (now - duty.Started < duty.Settings.StartPatience) {
    // Those whose turn comes later wait for the assigned ones from then on.
    duty.UncoveredSince = duty.UncoveredSince.count() == 0 ? gsTime{} : now;
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
