/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsStoredVersions.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

#include "gsFleet.h"

namespace {

using Json = nlohmann::json;

std::int64_t Millis(gsTime time)
{
  return std::chrono::duration_cast<gsMilliseconds>(time).count();
}

/** The store's time at a time of this host, or somewhat later. */
std::int64_t StoreTime(gsStoreClock const& clock, gsTime time)
{
  return clock.Millis + Millis(time - clock.AskedAt) + 1;
}

/** This host's time at a time of the store, or somewhat later; not after the
 * reading. */
gsTime HostTime(gsStoreClock const& clock, std::int64_t millis)
{
  std::int64_t age = std::max<std::int64_t>(clock.Millis - millis, 0);
  return clock.AnsweredAt - gsMilliseconds(age);
}

bool IsListedIn(gsStoredVersions const& versions, std::uint32_t version)
{
  auto found = versions.find(version);
  return found != versions.end() && !found->second;
}

/** Adds what a row says to what this host has seen itself. */
void MergeRow(gsVersionHistory& history, gsStoredVersions const& versions,
              gsStoreClock const& clock)
{
  for (auto const& [version, goneAt] : versions) {
    gsListedVersion& known = history.Versions[version];
    // It was listed until other hosts saw it go, or until this list was read.
    gsTime until = goneAt ? HostTime(clock, *goneAt) : clock.AnsweredAt;
    known.LastListedAt = std::max(known.LastListedAt, until);
  }
}

/** What a row should be, as far as this host can tell. */
gsStoredVersions MakeRow(gsFleet const& fleet, gsVersionHistory const& history,
                         gsStoredVersions const& row,
                         gsVersionStore const& store, gsTime now)
{
  gsStoredVersions made;
  for (auto const& [version, known] : history.Versions) {
    auto stored = row.find(version);
    if (known.Count > 0) {
      made[version] = std::nullopt;
    } else if (!gsIsVersionOver(fleet, known, now)) {
      if (!known.WasListed && stored != row.end()) {
        made[version] = stored->second;
        continue;
      }
      std::int64_t goneAt = StoreTime(*store.Clock, known.LastListedAt);
      bool isStored =
        stored != row.end() && stored->second &&
        goneAt - *stored->second <= Millis(store.Settings.TimeTolerance);
      made[version] = isStored ? *stored->second : goneAt;
    }
  }
  return made;
}

/** Whether a version is listed that the row does not name as listed. */
bool Adds(gsStoredVersions const& row, gsStoredVersions const& made)
{
  return std::any_of(made.begin(), made.end(), [&row](auto const& entry) {
    return !entry.second && !IsListedIn(row, entry.first);
  });
}

/** Whether the row names a version as listed that is not, or an earlier time.
 * Versions of which no stream can be any more are left in it until it is
 * written for another reason. */
bool Removes(gsStoredVersions const& row, gsStoredVersions const& made)
{
  return std::any_of(row.begin(), row.end(), [&made](auto const& entry) {
    auto next = made.find(entry.first);
    bool isLater = next != made.end() && entry.second && next->second &&
                   *next->second > *entry.second;
    return isLater || (!entry.second && !IsListedIn(made, entry.first));
  });
}

/** Whether this host knows all versions of which streams can be. */
bool IsComplete(gsFleet const& fleet, gsVersionHistory const& history,
                gsTime now)
{
  return history.Before != gsVersionInference::ListTooYoung ||
         (history.FirstListedAt.count() != 0 &&
          now - history.FirstListedAt > fleet.Settings.MaxStreamTime);
}

/** The write that is due for a name, if there is one. */
std::optional<gsVersionStoreCall> DueWrite(gsVersionStore const& store,
                                           gsFleet const& fleet,
                                           std::string const& name, gsTime now)
{
  auto row = store.Rows.find(name);
  auto history = fleet.VersionHistories.find(name);
  if (row == store.Rows.end() || row->second.IsUnreadable ||
      history == fleet.VersionHistories.end()) {
    return std::nullopt;
  }
  bool mayWrite =
    row->second.Revision != 0 || IsComplete(fleet, history->second, now);
  gsStoredVersions const& stored = row->second.Versions;
  gsStoredVersions made = MakeRow(fleet, history->second, stored, store, now);
  if (!mayWrite || (!Adds(stored, made) && !Removes(stored, made))) {
    return std::nullopt;
  }
  gsVersionStoreCall call;
  call.IsWrite = true;
  call.Name = name;
  call.ExpectedRevision = row->second.Revision;
  call.Versions = std::move(made);
  return call;
}

gsVersionStoreCall StartRead(gsVersionStore& store)
{
  store.IsReadDue = false;
  store.IsCallPending = true;
  return {};
}

/** The next write, or the read that it needs first. */
std::optional<gsVersionStoreCall> NextWrite(gsVersionStore& store,
                                            gsFleet const& fleet, gsTime now)
{
  bool hasClock = now - store.Clock->AnsweredAt <= store.Settings.MaxClockAge;
  for (std::string const& name : store.Names) {
    std::optional<gsVersionStoreCall> write =
      DueWrite(store, fleet, name, now);
    if (write && !hasClock) {
      return StartRead(store);
    }
    if (write) {
      store.IsCallPending = true;
      return write;
    }
  }
  return std::nullopt;
}

void ApplyRow(gsVersionStore& store, gsFleet& fleet, std::string const& name,
              std::pair<std::uint64_t, std::string> const& text,
              gsStoreClock const& clock)
{
  gsStoredVersionRow& row = store.Rows[name];
  bool isSame = row.Revision == text.first;
  std::optional<gsStoredVersions> versions =
    gsParseStoredVersions(text.second);
  row.Revision = text.first;
  row.IsUnreadable = !versions;
  if (versions && !isSame) {
    gsVersionHistory& history = fleet.VersionHistories[name];
    MergeRow(history, *versions, clock);
    history.Before = gsVersionInference::Stored;
    row.Versions = std::move(*versions);
  }
}

} // namespace

std::string gsFormatStoredVersions(gsStoredVersions const& versions)
{
  Json list = Json::array();
  for (auto const& [version, goneAt] : versions) {
    Json entry{ { "version", version } };
    if (goneAt) {
      entry["gone_ms"] = *goneAt;
    }
    list.push_back(std::move(entry));
  }
  return Json{ { "versions", list } }.dump();
}

std::optional<gsStoredVersions> gsParseStoredVersions(std::string_view text)
{
  try {
    gsStoredVersions versions;
    Json const body = Json::parse(text);
    for (Json const& entry : body.at("versions")) {
      Json const& version = entry.at("version");
      bool isValid = version.is_number_unsigned() &&
                     version.get<std::uint64_t>() <= std::uint32_t(-1) &&
                     (!entry.contains("gone_ms") ||
                      entry.at("gone_ms").is_number_integer());
      if (!isValid) {
        return std::nullopt;
      }
      std::optional<std::int64_t>& goneAt =
        versions[version.get<std::uint32_t>()];
      if (entry.contains("gone_ms")) {
        goneAt = entry.at("gone_ms").get<std::int64_t>();
      }
    }
    return versions;
  } catch (Json::exception const&) {
    return std::nullopt;
  }
}

void gsSetVersionNames(gsVersionStore& store, std::set<std::string> names)
{
  bool hasNew = !std::includes(store.Names.begin(), store.Names.end(),
                               names.begin(), names.end());
  store.IsReadDue = store.IsReadDue || hasNew;
  store.Names = std::move(names);
}

std::optional<gsVersionStoreCall> gsNextVersionStoreCall(
  gsVersionStore& store, gsFleet const& fleet, gsVersionStoreDuty const& duty,
  gsTime now)
{
  if (store.IsCallPending || store.Names.empty() || now < store.NextCallAt) {
    return std::nullopt;
  }
  if (store.IsReadDue) {
    bool reads = duty.Reads || duty.Writes;
    return reads ? std::optional(StartRead(store)) : std::nullopt;
  }
  if (!duty.Writes || !store.Clock) {
    return std::nullopt;
  }
  // Another hall may have written what has changed.
  bool hasChanged = std::exchange(store.ChangesSeen, fleet.VersionChanges) !=
                    fleet.VersionChanges;
  if (hasChanged && store.ChangedAt.count() == 0) {
    store.ChangedAt = now;
  }
  gsTime delay =
    store.Settings.HallDelay * static_cast<gsTime::rep>(duty.HallIndex);
  if (store.ChangedAt.count() != 0 && now - store.ChangedAt < delay) {
    return std::nullopt;
  }
  bool isUnread = std::exchange(store.ChangedAt, gsTime{}).count() != 0;
  if (isUnread && duty.HallIndex != 0) {
    return StartRead(store);
  }
  std::optional<gsVersionStoreCall> write = NextWrite(store, fleet, now);
  return !write && isUnread ? std::optional(StartRead(store)) : write;
}

void gsApplyVersionRows(
  gsVersionStore& store, gsFleet& fleet,
  std::map<std::string, std::pair<std::uint64_t, std::string>> const& rows,
  gsStoreClock const& clock)
{
  store.IsCallPending = false;
  store.RetryDelay = gsTime{};
  store.Clock = clock;
  for (std::string const& name : store.Names) {
    auto found = rows.find(name);
    if (found != rows.end()) {
      ApplyRow(store, fleet, name, found->second, clock);
      continue;
    }
    store.Rows[name] = {};
    // No host has seen a version yet if all start for the first time.
    if (fleet.Settings.IsFirstStart) {
      fleet.VersionHistories[name].Before = gsVersionInference::FirstStart;
    }
  }
}

void gsMergeVersionRows(
  gsVersionStore& store, gsFleet& fleet,
  std::map<std::string, std::pair<std::uint64_t, std::string>> const& rows,
  gsStoreClock const& clock)
{
  for (std::string const& name : store.Names) {
    auto found = rows.find(name);
    auto known = store.Rows.find(name);
    bool isOlder = found != rows.end() && known != store.Rows.end() &&
                   found->second.first < known->second.Revision;
    if (found != rows.end() && !isOlder) {
      ApplyRow(store, fleet, name, found->second, clock);
    }
  }
}

void gsApplyVersionWrite(gsVersionStore& store, gsVersionStoreCall const& call,
                         std::uint64_t revision)
{
  store.IsCallPending = false;
  store.RetryDelay = gsTime{};
  store.Rows[call.Name] = { revision, call.Versions, false };
}

void gsApplyVersionConflict(gsVersionStore& store, gsTime now)
{
  store.IsCallPending = false;
  store.IsReadDue = true;
  store.NextCallAt = now;
}

void gsApplyVersionFailure(gsVersionStore& store, gsTime now)
{
  gsVersionStoreSettings const& settings = store.Settings;
  store.IsCallPending = false;
  store.IsReadDue = true;
  store.RetryDelay = std::clamp(store.RetryDelay * 2, settings.RetryDelay,
                                settings.MaxRetryDelay);
  store.NextCallAt = now + store.RetryDelay;
}

void gsUpdateVersionAges(gsVersionStore& store, gsFleet const& fleet,
                         gsTime now)
{
  std::map<std::uint32_t, gsTime> listed;
  for (auto const& [service, history] : fleet.VersionHistories) {
    for (auto const& [version, known] : history.Versions) {
      if (known.Count > 0) {
        auto before = store.FirstSeenAt.find(version);
        bool isNew = before == store.FirstSeenAt.end();
        listed[version] = isNew ? now : before->second;
      }
    }
  }
  store.FirstSeenAt = std::move(listed);
}

std::optional<std::uint32_t> gsOlderVersion(gsVersionStore const& store,
                                            gsFleet const& fleet,
                                            std::string const& service,
                                            std::uint32_t version, gsTime now)
{
  auto row = store.Rows.find(service);
  auto isStored = [&](std::uint32_t each) {
    auto seen = store.FirstSeenAt.find(each);
    bool isOld = seen != store.FirstSeenAt.end() &&
                 now - seen->second >= store.Settings.WriteTime;
    return isOld ||
           (row != store.Rows.end() && IsListedIn(row->second.Versions, each));
  };
  auto history = fleet.VersionHistories.find(service);
  if (history == fleet.VersionHistories.end() || isStored(version)) {
    return std::nullopt;
  }
  std::optional<std::uint32_t> older;
  std::size_t most = 0;
  for (auto const& [each, known] : history->second.Versions) {
    if (each != 0 && known.Count > most && isStored(each)) {
      older = each;
      most = known.Count;
    }
  }
  return older;
}
