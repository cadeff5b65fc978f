/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTableReplica.h"

#include <algorithm>
#include <utility>

#include "gsRendezvous.h"

namespace {

/** Hash of a row. The sum of these hashes does not depend on the order of the
 * rows. */
std::uint64_t RowHash(gsTableRow const& row)
{
  constexpr std::uint64_t mix = 0x9E3779B97F4A7C15ULL;
  constexpr unsigned shift = 29;
  std::uint64_t hash = (gsHashText(row.Key) ^ (row.Version * mix)) * mix;
  return (hash ^ (hash >> shift)) * mix;
}

/** Version of a row or of its tombstone; zero if there is neither. */
std::uint64_t VersionOf(gsTableReplica const& copy, std::string const& key)
{
  auto live = copy.LiveRows.find(key);
  if (live != copy.LiveRows.end()) {
    return live->second.Version;
  }
  auto tombstone = copy.Tombstones.find(key);
  return tombstone != copy.Tombstones.end() ? tombstone->second.Row.Version
                                            : 0;
}

/** Capacity of RecentChanges; 200 KB at 50 bytes for each change. An update
 * that starts below RecentBaseVersion requires a scan of all rows. */
constexpr std::size_t MaxRecentChanges = 4096;

/** Adds a change to RecentChanges. If that exceeds the capacity, discards the
 * older half. */
void RecordRecentChange(gsTableReplica& copy, gsTableRow const& row)
{
  copy.RecentChanges.push_back({ row.Version, row.Key });
  if (copy.RecentChanges.size() <= MaxRecentChanges) {
    return;
  }
  auto half = copy.RecentChanges.begin() + MaxRecentChanges / 2;
  for (auto change = copy.RecentChanges.begin(); change != half; ++change) {
    copy.RecentBaseVersion = std::max(copy.RecentBaseVersion, change->Version);
  }
  copy.RecentChanges.erase(copy.RecentChanges.begin(), half);
}

/** Records the version of an applied change. */
void RecordApplied(gsTableReplica& copy, gsTableRow const& row)
{
  RecordRecentChange(copy, row);
  copy.MaxAppliedVersion = std::max(copy.MaxAppliedVersion, row.Version);
  if (row.Version <= copy.CompleteVersion) {
    copy.LateKeys.insert(row.Key);
  }
}

/** Drops the deferred removal of a row that exists at a version, unless the
 * removal is newer. */
void CancelDeferredRemoval(gsTableReplica& copy, std::string const& key,
                           std::uint64_t version)
{
  auto deferred = copy.DeferredRemovals.find(key);
  if (deferred != copy.DeferredRemovals.end() &&
      deferred->second.Version <= version) {
    copy.DeferredRemovals.erase(deferred);
  }
}

/** Adds or replaces a row, and deletes its tombstone. */
void PutRow(gsTableReplica& copy, gsTableRow const& row)
{
  auto previous = copy.LiveRows.find(row.Key);
  if (previous != copy.LiveRows.end()) {
    copy.Hash -= RowHash(previous->second);
  }
  copy.Tombstones.erase(row.Key);
  copy.Hash += RowHash(row);
  copy.LiveRows[row.Key] = row;
  copy.ChangedKeys.push_back(row.Key);
  RecordApplied(copy, row);
  CancelDeferredRemoval(copy, row.Key, row.Version);
}

/** Removes a row and adds its tombstone. \return Whether the row existed. */
bool RemoveRow(gsTableReplica& copy, gsTableRow row, gsTime now)
{
  auto deferred = copy.DeferredRemovals.find(row.Key);
  if (deferred != copy.DeferredRemovals.end()) {
    // The row does not exist at the version of the deferred removal either; no
    // older update may restore it.
    row.Version = std::max(row.Version, deferred->second.Version);
    copy.DeferredRemovals.erase(deferred);
  }
  auto previous = copy.LiveRows.find(row.Key);
  bool existed = previous != copy.LiveRows.end();
  if (existed) {
    copy.Hash -= RowHash(previous->second);
    copy.ChangedKeys.push_back(row.Key);
    copy.LiveRows.erase(previous);
  }
  RecordApplied(copy, row);
  std::string key = row.Key;
  copy.Tombstones[key] = { std::move(row), now };
  return existed;
}

/** Applies a row or a removal if it is newer than the known version of the
 * row. */
bool ApplyRow(gsTableReplica& copy, gsTableRow const& row, gsTime now)
{
  if (row.Version <= VersionOf(copy, row.Key)) {
    return false;
  }
  if (row.Removed) {
    return RemoveRow(copy, row, now);
  }
  PutRow(copy, row);
  return true;
}

/**
 * Applies a row that existed when the platform was read at a version. The row
 * replaces a tombstone that is not newer than the read, because then the
 * platform is right and this replica is wrong.
 */
bool ApplyReadRow(gsTableReplica& copy, gsTableRow const& row,
                  std::uint64_t version, gsTime now)
{
  auto tombstone = copy.Tombstones.find(row.Key);
  if (tombstone != copy.Tombstones.end() &&
      tombstone->second.Row.Version <= version) {
    PutRow(copy, row);
    return true;
  }
  bool changed = ApplyRow(copy, row, now);
  CancelDeferredRemoval(copy, row.Key, version);
  return changed;
}

/** Removals of the rows of this replica that a full read or snapshot at a
 * version does not contain. */
std::vector<gsTableRow> RemovalsImpliedBy(gsTableReplica const& copy,
                                          std::vector<gsTableRow> const& all,
                                          std::uint64_t version)
{
  std::set<std::string_view> present;
  for (gsTableRow const& row : all) {
    if (!row.Removed) {
      present.insert(row.Key);
    }
  }
  std::vector<gsTableRow> removals;
  for (auto const& [key, row] : copy.LiveRows) {
    if (present.count(key) == 0 && row.Version <= version) {
      removals.push_back(
        { key, {}, std::max(version, row.Version), /*Removed=*/true });
    }
  }
  return removals;
}

/** Defers the removal of a row that existed at a version. */
void DeferRemoval(gsTableReplica& copy, gsTableRow const& removal,
                  std::uint64_t presentVersion)
{
  auto [deferred, inserted] = copy.DeferredRemovals.insert(
    { removal.Key, { removal.Version, presentVersion } });
  if (!inserted) {
    deferred->second.Version =
      std::max(deferred->second.Version, removal.Version);
  }
}

/** Version of the last change up to CompleteVersion, for a replica that also
 * contains changes beyond it. */
std::uint64_t LastChange(gsTableReplica const& copy)
{
  std::uint64_t last = copy.LastChangeVersion;
  auto include = [&](std::uint64_t version) {
    if (version <= copy.CompleteVersion) {
      last = std::max(last, version);
    }
  };
  for (auto const& [key, row] : copy.LiveRows) {
    include(row.Version);
  }
  for (auto const& [key, tombstone] : copy.Tombstones) {
    include(tombstone.Row.Version);
  }
  return last;
}

/** Advances CompleteVersion as far as the deferred removals allow, and updates
 * LastChangeVersion. */
void AdvanceComplete(gsTableReplica& copy)
{
  std::uint64_t complete = copy.ReceivedVersion;
  for (auto const& [key, deferred] : copy.DeferredRemovals) {
    complete = std::min(complete, deferred.PresentVersion);
  }
  copy.CompleteVersion = std::max(copy.CompleteVersion, complete);
  copy.LastChangeVersion =
    copy.MaxAppliedVersion <= copy.CompleteVersion
      ? std::max(copy.LastChangeVersion, copy.MaxAppliedVersion)
      : LastChange(copy);
}

/**
 * Whether the rows match the digest of the sender. This check is needed
 * because a sender that found changes by a full read may not know of rows that
 * were added and removed in between, and so may send incomplete changes as if
 * they were complete. Updates without a digest are accepted.
 */
bool MatchesDigest(gsTableReplica const& copy, gsTableUpdate const& update)
{
  return update.LacksDigest ||
         (update.Digest.RowsPlusOne == copy.LiveRows.size() + 1 &&
          update.Digest.Hash == copy.Hash);
}

/**
 * Raises MaxAppliedVersion for rows received from another host. The sender may
 * not know of rows that were added and removed in between. If this replica
 * has applied a later change than the last one of the sender, only the version
 * of the update is certain to have these rows.
 */
void RaiseMaxApplied(gsTableReplica& copy, gsTableUpdate const& update)
{
  bool hasDigest = !update.LacksDigest && update.Digest.RowsPlusOne != 0;
  std::uint64_t last = hasDigest ? update.Digest.Version : update.Version;
  copy.MaxAppliedVersion =
    std::max(copy.MaxAppliedVersion,
             copy.MaxAppliedVersion <= last ? last : update.Version);
}

/** Applies a snapshot from another host. Its rows do not replace newer
 * tombstones, unless the sender has verified them by a platform read. */
bool ApplySnapshot(gsTableReplica& copy, gsTableUpdate const& update,
                   gsTime now)
{
  bool changed = false;
  for (gsTableRow const& row : update.Rows) {
    changed = (update.ReadVersion != 0 && !row.Removed
                 ? ApplyReadRow(copy, row, update.ReadVersion, now)
                 : ApplyRow(copy, row, now)) ||
              changed;
  }
  for (gsTableRow const& row :
       RemovalsImpliedBy(copy, update.Rows, update.Version)) {
    changed = RemoveRow(copy, row, now) || changed;
  }
  if (changed || !copy.IsInitialized) {
    RaiseMaxApplied(copy, update);
  }
  copy.ReceivedVersion = std::max(copy.ReceivedVersion, update.Version);
  copy.ContiguousFromVersion =
    std::max(copy.ContiguousFromVersion, update.Version);
  copy.IsInitialized = true;
  return changed;
}

/**
 * Applies the rows of an update without inferring removals from missing rows.
 * All changes up to ReceivedVersion are known: a row of such a version that
 * this replica does not contain has been removed since, even if its tombstone
 * was purged.
 */
bool ApplyChanges(gsTableReplica& copy, gsTableUpdate const& update,
                  gsTime now)
{
  bool changed = false;
  for (gsTableRow const& row : update.Rows) {
    bool isKnown = !row.Removed && row.Version <= copy.ReceivedVersion;
    changed = (!isKnown && ApplyRow(copy, row, now)) || changed;
  }
  return changed;
}

/**
 * Advances ReceivedVersion if the update continues from it and the resulting
 * rows match the sender's digest. If they do not match, either replica may be
 * wrong. Only a snapshot verified by a recent platform read resolves that, so
 * the sender's own snapshot is not requested.
 */
gsTableUpdateResult::Action AdvanceReceived(gsTableReplica& copy,
                                            gsTableUpdate const& update)
{
  if (update.BaseVersion > copy.ReceivedVersion) {
    return gsTableUpdateResult::Action::QueryChanges;
  }
  if (update.Version <= copy.ReceivedVersion) {
    return gsTableUpdateResult::Action::None;
  }
  // If the sender or this replica contains changes beyond the version of the
  // update, the digests cannot be compared. The changes are queried later.
  bool comparable =
    update.LacksDigest || (update.Digest.RowsPlusOne != 0 &&
                           copy.MaxAppliedVersion <= update.Version &&
                           copy.DeferredRemovals.empty());
  if (!comparable) {
    return gsTableUpdateResult::Action::None;
  }
  if (!MatchesDigest(copy, update)) {
    return gsTableUpdateResult::Action::Repair;
  }
  if (!update.LacksDigest) {
    RaiseMaxApplied(copy, update);
  }
  copy.ReceivedVersion = update.Version;
  copy.ContiguousFromVersion = update.Version;
  copy.IsInitialized = true;
  return gsTableUpdateResult::Action::None;
}

} // namespace

bool gsTableDigestsDiffer(gsTableDigest const& a, gsTableDigest const& b)
{
  bool comparable =
    a.Version == b.Version && a.RowsPlusOne != 0 && b.RowsPlusOne != 0;
  return comparable && (a.RowsPlusOne != b.RowsPlusOne || a.Hash != b.Hash);
}

std::vector<std::string> gsTableReplicaTakeChangedKeys(gsTableReplica& copy)
{
  std::vector<std::string> keys = std::exchange(copy.ChangedKeys, {});
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  return keys;
}

bool gsTableReplicaApplyPage(gsTableReplica& copy,
                             std::vector<gsTableRow> const& rows,
                             std::uint64_t version, bool deferRemovals,
                             gsTime now)
{
  bool changed = false;
  for (gsTableRow const& row : rows) {
    auto live = copy.LiveRows.find(row.Key);
    bool removesRow = row.Removed && live != copy.LiveRows.end() &&
                      row.Version > live->second.Version;
    if (deferRemovals && removesRow) {
      DeferRemoval(copy, row, copy.ReceivedVersion);
    } else {
      changed = ApplyRow(copy, row, now) || changed;
    }
  }
  copy.ReceivedVersion = std::max(copy.ReceivedVersion, version);
  AdvanceComplete(copy);
  return changed;
}

bool gsTableReplicaApplySnapshot(gsTableReplica& copy,
                                 std::vector<gsTableRow> const& rows,
                                 std::uint64_t version, bool deferRemovals,
                                 gsTime now)
{
  bool changed = false;
  for (gsTableRow const& row : rows) {
    changed = ApplyReadRow(copy, row, version, now) || changed;
  }
  for (gsTableRow const& row : RemovalsImpliedBy(copy, rows, version)) {
    if (deferRemovals) {
      DeferRemoval(copy, row, copy.ReceivedVersion);
    } else {
      changed = RemoveRow(copy, row, now) || changed;
    }
  }
  if (changed || !copy.IsInitialized) {
    // Rows that were added and removed since ReceivedVersion are unknown. At
    // the versions of the rows just read, such rows may have existed as well,
    // so only the version of the read is certain to have these rows.
    copy.MaxAppliedVersion = std::max(copy.MaxAppliedVersion, version);
  }
  copy.ReceivedVersion = std::max(copy.ReceivedVersion, version);
  copy.ContiguousFromVersion = std::max(copy.ContiguousFromVersion, version);
  copy.IsInitialized = true;
  AdvanceComplete(copy);
  return changed;
}

gsTableUpdateResult gsTableReplicaApplyUpdate(gsTableReplica& copy,
                                              gsTableUpdate const& update,
                                              gsTime now)
{
  gsTableUpdateResult result;
  bool wasInitialized = copy.IsInitialized;
  // Rows missing from an older snapshot may have been added since; only its
  // rows are applied.
  if (update.IsSnapshot && update.Version >= copy.ReceivedVersion) {
    result.Changed = ApplySnapshot(copy, update, now);
  } else {
    result.Changed = ApplyChanges(copy, update, now);
    if (!update.IsSnapshot) {
      result.NextAction = AdvanceReceived(copy, update);
    }
  }
  AdvanceComplete(copy);
  result.Changed = result.Changed || wasInitialized != copy.IsInitialized;
  return result;
}

namespace {

/** Adds the rows and removals above a version, as recorded in
 * RecentChanges. */
void AddRecentChanges(gsTableReplica const& copy, std::uint64_t version,
                      gsTableUpdate& update)
{
  std::set<std::string_view> keys;
  for (gsTableReplica::Change const& change : copy.RecentChanges) {
    if (change.Version > version) {
      keys.insert(change.Key);
    }
  }
  for (std::string_view key : keys) {
    std::string const name(key);
    auto live = copy.LiveRows.find(name);
    auto tombstone = copy.Tombstones.find(name);
    if (live != copy.LiveRows.end() && live->second.Version > version) {
      update.Rows.push_back(live->second);
    } else if (tombstone != copy.Tombstones.end() &&
               tombstone->second.Row.Version > version) {
      update.Rows.push_back(tombstone->second.Row);
    }
  }
}

} // namespace

gsTableUpdate gsTableReplicaUpdateSince(gsTableReplica const& copy,
                                        std::uint64_t version)
{
  gsTableUpdate update;
  update.BaseVersion = version;
  update.Version = copy.CompleteVersion;
  update.IsSnapshot = version < copy.PurgedVersion || version == 0;
  update.LacksDigest = false;
  update.Digest = gsTableReplicaDigest(copy);
  if (!update.IsSnapshot && version >= copy.RecentBaseVersion) {
    AddRecentChanges(copy, version, update);
    return update;
  }
  for (auto const& [key, row] : copy.LiveRows) {
    if (update.IsSnapshot || row.Version > version) {
      update.Rows.push_back(row);
    }
  }
  // A snapshot includes removals beyond its version too. Their rows are
  // missing from it, and the receiver must not conclude that they were already
  // removed at the version of the snapshot.
  std::uint64_t from = update.IsSnapshot ? copy.CompleteVersion : version;
  for (auto const& [key, tombstone] : copy.Tombstones) {
    if (tombstone.Row.Version > from) {
      update.Rows.push_back(tombstone.Row);
    }
  }
  return update;
}

gsTableUpdate gsTableReplicaTakeUpdateSince(gsTableReplica& copy,
                                            std::uint64_t version)
{
  gsTableUpdate update = gsTableReplicaUpdateSince(copy, version);
  for (std::string const& key : std::exchange(copy.LateKeys, {})) {
    auto live = copy.LiveRows.find(key);
    auto tombstone = copy.Tombstones.find(key);
    if (update.IsSnapshot) {
      continue;
    }
    if (live != copy.LiveRows.end() && live->second.Version <= version) {
      update.Rows.push_back(live->second);
    } else if (tombstone != copy.Tombstones.end() &&
               tombstone->second.Row.Version <= version) {
      update.Rows.push_back(tombstone->second.Row);
    }
  }
  return update;
}

void gsTableReplicaPurgeTombstones(gsTableReplica& copy, gsTime retention,
                                   gsTime now)
{
  for (auto row = copy.Tombstones.begin(); row != copy.Tombstones.end();) {
    bool covered = row->second.Row.Version <= copy.CompleteVersion;
    if (!covered || now - row->second.AppliedAt <= retention) {
      ++row;
      continue;
    }
    copy.PurgedVersion = std::max(copy.PurgedVersion, row->second.Row.Version);
    row = copy.Tombstones.erase(row);
  }
}

void gsTableReplicaRaiseLastChange(gsTableReplica& copy, std::uint64_t version)
{
  if (version >= copy.ContiguousFromVersion &&
      version <= copy.CompleteVersion) {
    copy.LastChangeVersion = std::max(copy.LastChangeVersion, version);
  }
}

gsTableDigest gsTableReplicaDigest(gsTableReplica const& copy)
{
  if (!copy.IsInitialized || copy.MaxAppliedVersion > copy.CompleteVersion) {
    return { copy.LastChangeVersion, 0, 0 };
  }
  return { copy.LastChangeVersion, copy.LiveRows.size() + 1, copy.Hash };
}
