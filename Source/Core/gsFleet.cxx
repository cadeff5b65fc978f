/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsFleet.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "gsArrangement.h"
#include "gsRendezvous.h"

namespace {

/** Event intervals per sample, of which the minimum is used. Even if an engine
 * processes prompts most of the time, some of so many intervals cover only
 * steps without prompt processing. */
constexpr std::uint32_t IntervalsPerSample = 24;
/** Window of the minimum event interval; bounded since an engine may become
 * slower. */
constexpr gsTime MinIntervalWindow = gsSeconds(5);
/** Age at which a minimum event interval expires if it was not replaced. */
constexpr gsTime MinIntervalLifetime = gsSeconds(10);
/** Weight of a new outcome in the failure rate. */
constexpr double FailureSmoothing = 0.25;
constexpr gsTime FailureHalfLife = gsSeconds(3);
/** Time for which an upstream counts as full after a rejection. */
constexpr gsTime FullDuration = gsMilliseconds(500);
/** Backoff after the first connection failure. Each further consecutive
 * failure doubles it, up to MaxBackoffDoublings times. */
constexpr gsTime BaseBackoff = gsMilliseconds(400);
constexpr std::uint32_t MaxBackoffDoublings = 3;

/** Removes cached parts older than PartRetention, and all parts if more than
 * MaxParts remain. */
void ExpireParts(gsFleet const& fleet, gsFleetRow& row, gsTime now)
{
  for (auto part = row.CachedParts.begin(); part != row.CachedParts.end();) {
    bool expired = now - part->second > fleet.Settings.PartRetention;
    part = expired ? row.CachedParts.erase(part) : std::next(part);
  }
  if (row.CachedParts.size() > fleet.Settings.MaxParts) {
    row.CachedParts.clear();
  }
}

} // namespace

namespace {

/** The load of one attempt as a part of its upstream's load. */
gsUrgencyLoad UrgencyLoadOf(gsAttemptLoad const& load)
{
  return { load.Priority, 1, load.IsWaiting ? 1U : 0U,
           load.PendingPromptTokens, load.MemoryTokens };
}

gsRingEntry RingEntryOf(gsFleet const& fleet, std::size_t index)
{
  return { gsRingPosition(fleet.Rows[index].Listed.Id),
           static_cast<std::uint32_t>(index) };
}

/** Adds a row to all indexes. Its position in Rows must not change
 * afterwards. */
void AddToIndexes(gsFleet& fleet, std::size_t index)
{
  gsFleetRow& row = fleet.Rows[index];
  std::string const& service = row.Listed.Service;
  row.IsSlow = gsIsSlowEngine(fleet.Arrangements[service], row);
  fleet.ById[row.Listed.Id] = index;
  fleet.ByHash[row.Hash] = index;
  ++fleet.RowsPerHall[row.Listed.Hall];
  fleet.LeavingRowCount += row.Listed.Leaving ? 1 : 0;
  gsInsertRanked(fleet, fleet.ByService[service], index);
  gsRingInsert(fleet.Rings[service], RingEntryOf(fleet, index));
}

/** Removes a row from all indexes. */
void RemoveFromIndexes(gsFleet& fleet, std::size_t index)
{
  gsFleetRow& row = fleet.Rows[index];
  fleet.LeavingRowCount -= row.Listed.Leaving ? 1 : 0;
  auto members = fleet.ByService.find(row.Listed.Service);
  gsRemoveRanked(fleet, members->second, index);
  gsEngineRing& ring = fleet.Rings[row.Listed.Service];
  gsRingErase(ring, RingEntryOf(fleet, index));
  if (members->second.empty()) {
    fleet.Rings.erase(row.Listed.Service);
    fleet.ByService.erase(members);
  }
  auto hall = fleet.RowsPerHall.find(row.Listed.Hall);
  if (--hall->second == 0) {
    fleet.RowsPerHall.erase(hall);
  }
  auto hash = fleet.ByHash.find(row.Hash);
  if (hash != fleet.ByHash.end() && hash->second == index) {
    fleet.ByHash.erase(hash);
  }
  fleet.ById.erase(row.Listed.Id);
}

/** Makes room for one more retained announcement: removes the expired ones,
 * and then the oldest one if there is still no room. */
void EvictAnnouncements(gsFleet& fleet, gsTime now)
{
  auto& retained = fleet.RetainedAnnouncements;
  for (auto entry = retained.begin(); entry != retained.end();) {
    bool expired =
      now - entry->second.RetainedAt > fleet.Settings.AnnouncementRetention;
    entry = expired ? retained.erase(entry) : std::next(entry);
  }
  if (retained.size() >= fleet.Settings.MaxRetainedAnnouncements) {
    retained.erase(std::min_element(
      retained.begin(), retained.end(), [](auto const& a, auto const& b) {
        return a.second.RetainedAt < b.second.RetainedAt;
      }));
  }
}

/** Retains the announcements of an upstream whose row is removed. */
void RetainAnnouncements(gsFleet& fleet, gsFleetRow const& row, gsTime now)
{
  if (!gsHasAnnouncedState(row.Announced, now)) {
    return;
  }
  if (fleet.RetainedAnnouncements.size() >=
      fleet.Settings.MaxRetainedAnnouncements) {
    EvictAnnouncements(fleet, now);
  }
  fleet.RetainedAnnouncements[row.Listed.Id] = { row.Listed.StartedAt,
                                                 row.Announced, now };
}

/** Removes the retained announcements of an added upstream. \return The
 * announcements if they are from the same incarnation and have not expired. */
gsAnnouncedState TakeRetainedAnnouncements(gsFleet& fleet,
                                           gsListedUpstream const& listed,
                                           gsTime now)
{
  auto found = fleet.RetainedAnnouncements.find(listed.Id);
  if (found == fleet.RetainedAnnouncements.end()) {
    return {};
  }
  gsRetainedAnnouncement retained = found->second;
  fleet.RetainedAnnouncements.erase(found);
  bool valid =
    retained.StartedAt == listed.StartedAt &&
    now - retained.RetainedAt <= fleet.Settings.AnnouncementRetention;
  return valid ? retained.Announced : gsAnnouncedState{};
}

/** Updates the listing of a row and preserves its observations. */
void UpdateListing(gsFleet& fleet, std::size_t index,
                   gsListedUpstream const& listed)
{
  gsFleetRow& row = fleet.Rows[index];
  if (!row.PreviousGroup) {
    row.PreviousGroup =
      gsGroupInArrangement(fleet, fleet.Arrangements[listed.Service], row);
  }
  bool moved =
    row.Listed.Service != listed.Service || row.Listed.Hall != listed.Hall;
  if (!moved) {
    fleet.LeavingRowCount -= row.Listed.Leaving ? 1 : 0;
    fleet.LeavingRowCount += listed.Leaving ? 1 : 0;
    row.Listed = listed;
    return;
  }
  RemoveFromIndexes(fleet, index);
  row.Listed = listed;
  AddToIndexes(fleet, index);
}

/** Records the version of an upstream that was listed with another one, or not
 * at all (null). */
void UpdateListedVersion(gsFleet& fleet, gsListedUpstream const* before,
                         gsListedUpstream const& listed, gsTime now)
{
  bool isSame = before != nullptr && before->Service == listed.Service &&
                before->SoftwareVersion == listed.SoftwareVersion;
  if (isSame) {
    return;
  }
  if (before != nullptr) {
    gsRemoveListedVersion(fleet, *before, now);
  }
  gsAddListedVersion(fleet, listed, now);
}

} // namespace

void gsFleetUpsert(gsFleet& fleet, gsListedUpstream const& listed, gsTime now)
{
  auto found = fleet.ById.find(listed.Id);
  bool isNew = found == fleet.ById.end();
  std::size_t index = isNew ? fleet.Rows.size() : found->second;
  bool isUpdate =
    !isNew && fleet.Rows[index].Listed.StartedAt == listed.StartedAt;
  UpdateListedVersion(fleet, isNew ? nullptr : &fleet.Rows[index].Listed,
                      listed, now);
  if (isUpdate) {
    UpdateListing(fleet, index, listed);
  } else {
    if (isNew) {
      fleet.Rows.emplace_back();
    } else {
      RemoveFromIndexes(fleet, index);
      fleet.Rows[index] = {};
      fleet.Rows[index].RestartedAt = now;
    }
    fleet.Rows[index].Listed = listed;
    fleet.Rows[index].ListedAt = now;
    fleet.Rows[index].Hash = gsIncarnationHash(gsIncarnationOf(listed));
    fleet.Rows[index].Announced =
      TakeRetainedAnnouncements(fleet, listed, now);
    AddToIndexes(fleet, index);
  }
  gsTime coldTime = listed.RemainingColdTime;
  fleet.Rows[index].ColdUntil =
    coldTime.count() > 0 ? now + coldTime : gsTime{};
}

void gsFleetRemove(gsFleet& fleet, std::string_view id, gsTime now)
{
  auto found = fleet.ById.find(std::string(id));
  if (found == fleet.ById.end()) {
    return;
  }
  std::size_t index = found->second;
  std::size_t last = fleet.Rows.size() - 1;
  gsRemoveListedVersion(fleet, fleet.Rows[index].Listed, now);
  RetainAnnouncements(fleet, fleet.Rows[index], now);
  RemoveFromIndexes(fleet, index);
  if (index != last) {
    RemoveFromIndexes(fleet, last);
    fleet.Rows[index] = std::move(fleet.Rows[last]);
    AddToIndexes(fleet, index);
  }
  fleet.Rows.pop_back();
}

void gsFleetReplaceListing(gsFleet& fleet,
                           std::vector<gsListedUpstream> const& listed,
                           gsTime now)
{
  std::set<std::string_view> ids;
  for (gsListedUpstream const& entry : listed) {
    ids.insert(entry.Id);
  }
  std::vector<std::string> removed;
  for (gsFleetRow const& row : fleet.Rows) {
    if (ids.count(row.Listed.Id) == 0) {
      removed.push_back(row.Listed.Id);
    }
  }
  for (std::string const& id : removed) {
    gsFleetRemove(fleet, id, now);
  }
  for (gsListedUpstream const& entry : listed) {
    gsFleetUpsert(fleet, entry, now);
  }
}

void gsSetEvacuatedHalls(gsFleet& fleet, std::set<std::string> const& halls,
                         gsTime now)
{
  for (auto entry = fleet.EvacuatedSince.begin();
       entry != fleet.EvacuatedSince.end();) {
    bool isEvacuated = halls.count(entry->first) != 0;
    entry = isEvacuated ? std::next(entry) : fleet.EvacuatedSince.erase(entry);
  }
  for (std::string const& hall : halls) {
    fleet.EvacuatedSince.emplace(hall, now);
  }
}

bool gsIsLeaving(gsFleetRow const& row)
{
  return row.Listed.Leaving || row.Announced.Leaving;
}

bool gsAcceptsRequests(gsFleet const& fleet, gsFleetRow const& row, gsTime now)
{
  bool evacuated = !fleet.EvacuatedSince.empty() &&
                   fleet.EvacuatedSince.count(row.Listed.Hall) != 0;
  return !gsIsLeaving(row) && !evacuated &&
         !gsIsBackingOff(row.Announced, now);
}

bool gsApplyAnnouncement(gsFleet& fleet, gsIncarnation const& upstream,
                         gsUpstreamAnnouncement const& word, gsTime now)
{
  if (word.IsEmpty()) {
    return false;
  }
  if (gsFleetRow* row = gsFleetFind(fleet, upstream)) {
    return gsMergeAnnouncement(row->Announced, word, now);
  }
  if (gsFleetFind(fleet, upstream.Id) != nullptr) {
    return false; // From an earlier incarnation.
  }
  auto found = fleet.RetainedAnnouncements.find(upstream.Id);
  bool same = found != fleet.RetainedAnnouncements.end() &&
              found->second.StartedAt == upstream.StartedAt;
  if (!same && fleet.RetainedAnnouncements.size() >=
                 fleet.Settings.MaxRetainedAnnouncements) {
    EvictAnnouncements(fleet, now);
  }
  gsRetainedAnnouncement& retained = fleet.RetainedAnnouncements[upstream.Id];
  retained =
    same ? retained : gsRetainedAnnouncement{ upstream.StartedAt, {}, now };
  return gsMergeAnnouncement(retained.Announced, word, now);
}

gsFleetRow* gsFleetFind(gsFleet& fleet, std::string_view id)
{
  auto found = fleet.ById.find(std::string(id));
  return found == fleet.ById.end() ? nullptr : &fleet.Rows[found->second];
}

gsFleetRow* gsFleetFind(gsFleet& fleet, gsIncarnation const& incarnation)
{
  gsFleetRow* row = gsFleetFind(fleet, incarnation.Id);
  bool same = row != nullptr && row->Listed.StartedAt == incarnation.StartedAt;
  return same ? row : nullptr;
}

std::uint32_t gsIncarnationHash(gsIncarnation const& incarnation)
{
  return static_cast<std::uint32_t>(
    gsRendezvousWeight(incarnation.Id, incarnation.StartedAt));
}

gsIncarnation gsIncarnationOf(gsListedUpstream const& listed)
{
  return { listed.Id, listed.StartedAt };
}

gsOutstandingLoad gsOwnLoad(gsFleetRow const& row, gsTime now)
{
  gsOutstandingLoad work = row.OwnLoad;
  if (now < row.FullUntil) {
    work.OpenAttempts += row.Listed.Slots;
  }
  return work;
}

gsOutstandingLoad gsTotalLoad(gsFleet const& fleet, gsFleetRow const& row,
                              gsTime now)
{
  gsOutstandingLoad work = gsOwnLoad(row, now);
  if (gsIsOthersLoadValid(fleet, row, now)) {
    work.OpenAttempts += row.OthersLoad.OpenAttempts;
    work.PendingPromptTokens += row.OthersLoad.PendingPromptTokens;
    work.MemoryTokens += row.OthersLoad.MemoryTokens;
  }
  return work;
}

bool gsIsOthersLoadValid(gsFleet const& fleet, gsFleetRow const& row,
                         gsTime now)
{
  return now - row.OthersReportedAt <= fleet.Settings.OthersLoadLifetime;
}

void gsAddAttempt(gsFleet& fleet, gsFleetRow& row, gsAttemptLoad const& load)
{
  row.OwnLoad.OpenAttempts += 1;
  row.OwnLoad.PendingPromptTokens += load.PendingPromptTokens;
  row.OwnLoad.MemoryTokens += load.MemoryTokens;
  gsAddUrgencyLoad(row.OwnByUrgency, UrgencyLoadOf(load));
  gsMarkReportable(fleet, row);
}

void gsRecordFirstToken(gsFleetRow& row, gsAttemptLoad& load)
{
  if (!std::exchange(load.IsWaiting, false)) {
    return;
  }
  gsUrgencyLoad processed{ load.Priority, 0, 1, load.PendingPromptTokens, 0 };
  gsSubtractUrgencyLoad(row.OwnByUrgency, processed);
  row.OwnLoad.PendingPromptTokens -= std::min<std::uint64_t>(
    row.OwnLoad.PendingPromptTokens, processed.PendingPromptTokens);
  load.PendingPromptTokens = 0;
}

void gsRemoveAttempt(gsFleetRow& row, gsAttemptLoad const& load)
{
  row.OwnLoad.OpenAttempts -= std::min(row.OwnLoad.OpenAttempts, 1U);
  row.OwnLoad.PendingPromptTokens -= std::min<std::uint64_t>(
    row.OwnLoad.PendingPromptTokens, load.PendingPromptTokens);
  row.OwnLoad.MemoryTokens -=
    std::min<std::uint64_t>(row.OwnLoad.MemoryTokens, load.MemoryTokens);
  gsSubtractUrgencyLoad(row.OwnByUrgency, UrgencyLoadOf(load));
}

double gsEventIntervalMillis(gsFleetRow const& row)
{
  if (row.EventIntervalMillis <= 0 || row.OthersEventIntervalMillis <= 0) {
    return std::max(row.EventIntervalMillis, row.OthersEventIntervalMillis);
  }
  return std::min(row.EventIntervalMillis, row.OthersEventIntervalMillis);
}

void gsRecordEventInterval(gsFleet& fleet, gsFleetRow& row, gsTime interval,
                           gsTime now)
{
  gsRecordServiceEventInterval(fleet.EngineTimings[row.Listed.Service],
                               interval);
  double millis = gsToSeconds(interval) * 1e3;
  row.SampleMinMillis =
    row.SampleCount == 0 ? millis : std::min(row.SampleMinMillis, millis);
  ++row.SampleCount;
  if (row.SampleCount >= IntervalsPerSample) {
    bool isNewWindow = row.EventIntervalMillis <= 0 ||
                       now - row.EventIntervalWindowStart > MinIntervalWindow;
    row.EventIntervalMillis =
      isNewWindow ? row.SampleMinMillis
                  : std::min(row.EventIntervalMillis, row.SampleMinMillis);
    gsMarkReportable(fleet, row);
    row.EventIntervalWindowStart =
      isNewWindow ? now : row.EventIntervalWindowStart;
    row.SampleCount = 0;
  }
}

void gsExpireEventIntervals(gsFleet& fleet, gsTime now)
{
  gsForEachReportable(fleet, now, [now](gsFleetRow& row) {
    row.EventIntervalMillis =
      now - row.EventIntervalWindowStart > MinIntervalLifetime
        ? 0
        : row.EventIntervalMillis;
  });
}

void gsMarkReportable(gsFleet& fleet, gsFleetRow& row)
{
  if (!row.IsReportable) {
    row.IsReportable = true;
    fleet.ReportableRows.push_back(row.Hash);
  }
}

void gsRecordCachedParts(gsFleet const& fleet, gsFleetRow& row,
                         std::vector<gsPromptPart> const& parts, gsTime now)
{
  for (gsPromptPart const& part : parts) {
    row.CachedParts[part.Id] = now;
  }
  if (row.CachedParts.size() > fleet.Settings.MaxParts) {
    ExpireParts(fleet, row, now);
  }
}

double gsFailureRate(gsFleetRow const& row, gsTime now)
{
  double halfLives =
    gsToSeconds(now - row.FailureRateUpdatedAt) / gsToSeconds(FailureHalfLife);
  return row.FailureRate * std::exp2(-std::max(0.0, halfLives));
}

void gsRecordOutcome(gsFleetRow& row, bool failed, gsTime now)
{
  double rate = gsFailureRate(row, now);
  row.FailureRate = rate + FailureSmoothing * ((failed ? 1.0 : 0.0) - rate);
  row.FailureRateUpdatedAt = now;
  if (!failed) {
    row.ConsecutiveConnectFailures = 0;
  }
}

void gsRecordRejection(gsFleet& fleet, gsFleetRow& row, gsTime now)
{
  row.FullUntil = now + FullDuration;
  gsMarkReportable(fleet, row);
}

void gsRecordUnreachable(gsFleetRow& row, gsTime now)
{
  std::uint32_t doublings =
    std::min(row.ConsecutiveConnectFailures, MaxBackoffDoublings);
  row.AvoidUntil = now + BaseBackoff * (std::int64_t{ 1 } << doublings);
  ++row.ConsecutiveConnectFailures;
}

void gsRecordReceived(gsFleet& fleet, gsFleetRow& row, gsTime now)
{
  row.LastReceivedAt = now;
  if (row.Listed.Hall != fleet.Settings.Hall) {
    fleet.HallLastReceivedAt[row.Listed.Hall] = now;
  }
  row.ConsecutiveConnectFailures = 0;
  row.AvoidUntil = gsTime{};
  gsPathRecordReceived(fleet.Path);
}

bool gsRecordConnectFailure(gsFleet& fleet, gsFleetRow& row, gsTime now)
{
  gsRecordUnreachable(row, now);
  gsPathRecordFailure(fleet.Path, row.Hash, now);
  bool hasCrashed = gsFindRoom(fleet.SlotLimits, row.Hash) != nullptr;
  if (row.Listed.Hall == fleet.Settings.Hall || hasCrashed) {
    return false;
  }
  gsRefreshHalls(fleet, now);
  return gsHallRecordFailure(fleet.HallReachability, fleet.Settings.HallReach,
                             row.Listed.Hall, row.Listed.Id, now);
}

void gsRefreshHalls(gsFleet& fleet, gsTime now)
{
  gsHallExpireFailures(fleet.HallReachability, fleet.Settings.HallReach, now);
  for (auto const& [hall, reach] : fleet.HallReachability) {
    if (reach.FailedUpstreams.empty()) {
      continue;
    }
    auto receivedAt = fleet.HallLastReceivedAt.find(hall);
    bool recovered =
      receivedAt != fleet.HallLastReceivedAt.end() &&
      gsHallRecordResponse(fleet.HallReachability, hall, receivedAt->second);
    if (recovered) {
      for (gsFleetRow& row : fleet.Rows) {
        row.AvoidUntil = row.Listed.Hall == hall ? gsTime{} : row.AvoidUntil;
      }
    }
  }
}
