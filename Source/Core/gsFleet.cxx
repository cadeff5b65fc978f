/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsFleet.h"

#include <algorithm>
#include <cmath>

#include "gsArrangement.h"
#include "gsRendezvous.h"

namespace {

/** Events of which the least pause counts. Of so many, some follow upon steps
 * in which nothing is read, though an engine reads for most of its time. */
constexpr std::uint32_t PaceEvents = 24;
/** An engine may turn slower: the least pause counts for so long, */
constexpr gsTime PaceSpan = gsSeconds(5);
/** and is forgotten then unless there was a new one. */
constexpr gsTime PaceMemory = gsSeconds(10);
constexpr double FailSmoothing = 0.25;
constexpr gsTime FailHalfLife = gsSeconds(3);
/** How long an upstream that has turned work away counts as full. */
constexpr gsTime FullMemory = gsMilliseconds(500);
constexpr gsTime AvoidBase = gsMilliseconds(400);
constexpr std::uint32_t MaxAvoidDoublings = 3;

void Forget(gsFleet const& fleet, gsFleetRow& row, gsTime now)
{
  for (auto part = row.Parts.begin(); part != row.Parts.end();) {
    bool old = now - part->second > fleet.Settings.PartMemory;
    part = old ? row.Parts.erase(part) : std::next(part);
  }
  if (row.Parts.size() > fleet.Settings.PartsMost) {
    row.Parts.clear();
  }
}

} // namespace

void gsFleetTake(gsFleet& fleet, std::vector<gsListedUpstream> const& listed,
                 gsTime now)
{
  std::vector<gsFleetRow> rows;
  rows.reserve(listed.size());
  for (gsListedUpstream const& entry : listed) {
    gsFleetRow row;
    gsFleetRow* known = gsFleetFind(fleet, entry.Id);
    bool restarted = known != nullptr && known->Listed.Born != entry.Born;
    if (restarted) {
      row.RestartedAt = now;
    } else if (known != nullptr) {
      row = std::move(*known);
      if (!row.GroupBefore) {
        row.GroupBefore = gsGroupUnder(fleet.Arrangements[entry.Service], row);
      }
    }
    row.Listed = entry;
    row.Hash =
      static_cast<std::uint32_t>(gsRendezvousWeight(entry.Id, entry.Born));
    rows.push_back(std::move(row));
  }
  fleet.Rows = std::move(rows);
  fleet.ById.clear();
  fleet.ByService.clear();
  for (std::size_t i = 0; i < fleet.Rows.size(); ++i) {
    gsListedUpstream const& entry = fleet.Rows[i].Listed;
    fleet.ById[entry.Id] = i;
    fleet.ByService[entry.Service].push_back(i);
  }
  for (auto& [service, members] : fleet.ByService) {
    gsRankEngines(fleet, service, members);
  }
}

gsFleetRow* gsFleetFind(gsFleet& fleet, std::string_view id)
{
  auto found = fleet.ById.find(std::string(id));
  return found == fleet.ById.end() ? nullptr : &fleet.Rows[found->second];
}

gsFleetRow* gsFleetFind(gsFleet& fleet, gsIncarnation const& incarnation)
{
  gsFleetRow* row = gsFleetFind(fleet, incarnation.Id);
  bool same = row != nullptr && row->Listed.Born == incarnation.Born;
  return same ? row : nullptr;
}

gsIncarnation gsIncarnationOf(gsListedUpstream const& listed)
{
  return { listed.Id, listed.Born };
}

gsOpenWork gsOwnWork(gsFleetRow const& row, gsTime now)
{
  gsOpenWork work = row.Own;
  if (now < row.FullUntil) {
    work.Running += row.Listed.Slots;
  }
  return work;
}

gsOpenWork gsWorkAt(gsFleet const& fleet, gsFleetRow const& row, gsTime now)
{
  gsOpenWork work = gsOwnWork(row, now);
  if (now - row.OthersAt <= fleet.Settings.OthersMemory) {
    work.Running += row.Others.Running;
    work.ReadTokens += row.Others.ReadTokens;
    work.MemoryTokens += row.Others.MemoryTokens;
  }
  return work;
}

double gsPaceOf(gsFleetRow const& row)
{
  if (row.Pace <= 0 || row.OthersPace <= 0) {
    return std::max(row.Pace, row.OthersPace);
  }
  return std::min(row.Pace, row.OthersPace);
}

void gsNotePause(gsFleet& fleet, gsFleetRow& row, gsTime pause, gsTime now)
{
  gsNoteEvent(fleet.Paces[row.Listed.Service], pause);
  double millis = gsToSeconds(pause) * 1e3;
  row.LeastPause = row.Pauses == 0 ? millis : std::min(row.LeastPause, millis);
  ++row.Pauses;
  if (row.Pauses >= PaceEvents) {
    bool isOld = row.Pace <= 0 || now - row.PaceSince > PaceSpan;
    row.Pace = isOld ? row.LeastPause : std::min(row.Pace, row.LeastPause);
    row.PaceSince = isOld ? now : row.PaceSince;
    row.Pauses = 0;
  }
}

void gsForgetPaces(gsFleet& fleet, gsTime now)
{
  for (gsFleetRow& row : fleet.Rows) {
    row.Pace = now - row.PaceSince > PaceMemory ? 0 : row.Pace;
  }
}

void gsNoteParts(gsFleet const& fleet, gsFleetRow& row,
                 std::vector<gsPromptPart> const& parts, gsTime now)
{
  for (gsPromptPart const& part : parts) {
    row.Parts[part.Name] = now;
  }
  if (row.Parts.size() > fleet.Settings.PartsMost) {
    Forget(fleet, row, now);
  }
}

double gsFailShare(gsFleetRow const& row, gsTime now)
{
  double halves = gsToSeconds(now - row.FailAt) / gsToSeconds(FailHalfLife);
  return row.FailShare * std::exp2(-std::max(0.0, halves));
}

void gsNoteOutcome(gsFleetRow& row, bool failed, gsTime now)
{
  double share = gsFailShare(row, now);
  row.FailShare = share + FailSmoothing * ((failed ? 1.0 : 0.0) - share);
  row.FailAt = now;
  if (!failed) {
    row.Unreachable = 0;
  }
}

void gsNoteTurnedAway(gsFleetRow& row, gsTime now)
{
  row.FullUntil = now + FullMemory;
}

void gsNoteUnreachable(gsFleetRow& row, gsTime now)
{
  std::uint32_t doublings = std::min(row.Unreachable, MaxAvoidDoublings);
  row.AvoidUntil = now + AvoidBase * (std::int64_t{ 1 } << doublings);
  ++row.Unreachable;
}

void gsNoteHeard(gsFleetRow& row, gsTime now)
{
  row.LastHeard = now;
  row.Unreachable = 0;
  row.AvoidUntil = gsTime{};
}

bool gsNoteNoConnection(gsFleet& fleet, gsFleetRow& row, gsTime now)
{
  gsNoteUnreachable(row, now);
  if (row.Listed.Hall == fleet.Settings.Hall) {
    return false;
  }
  gsRefreshHalls(fleet, now);
  return gsHallNoteFailure(fleet.Halls, fleet.Settings.HallReach,
                           row.Listed.Hall, row.Listed.Id, now);
}

void gsRefreshHalls(gsFleet& fleet, gsTime now)
{
  gsHallForget(fleet.Halls, fleet.Settings.HallReach, now);
  for (auto const& [hall, reach] : fleet.Halls) {
    if (reach.Failed.empty()) {
      continue;
    }
    gsTime heard{};
    for (gsFleetRow const& row : fleet.Rows) {
      heard = row.Listed.Hall == hall ? std::max(heard, row.LastHeard) : heard;
    }
    if (gsHallNoteHeard(fleet.Halls, hall, heard)) {
      for (gsFleetRow& row : fleet.Rows) {
        row.AvoidUntil = row.Listed.Hall == hall ? gsTime{} : row.AvoidUntil;
      }
    }
  }
}
