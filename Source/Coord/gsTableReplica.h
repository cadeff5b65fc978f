/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A replica of one of the platform's tables. Pages of changes and full reads
 * from the platform are applied to it, as well as updates from other hosts,
 * which may arrive late, more than once or in any order.
 *
 * Replicas whose digests are valid and have the same version contain the same
 * rows. To ensure this, a replica does not advance its complete version while
 * any change up to it is deferred or missing, or while its rows differ from
 * those of the host that sent the update.
 *
 * The state is one plain struct. Callers pass in the current time. Tombstones
 * are bounded by the retention that callers pass to
 * gsTableReplicaPurgeTombstones, and the list of recent changes by a constant.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/** A row of one of the platform's tables. */
struct gsTableRow
{
  std::string Key;
  std::string Value;
  /** Version of the row's last change; increases with each change in any
   * table. */
  std::uint64_t Version = 0;
  bool Removed = false;
};

/** A digest of a replica's rows. Hosts compare digests to detect replicas that
 * diverge. */
struct gsTableDigest
{
  /** Version of the last change included in the digest. */
  std::uint64_t Version = 0;
  /** Number of rows plus one. Zero means that there is no valid digest: none
   * was received, or the replica contains changes beyond its complete version.
   */
  std::uint64_t RowsPlusOne = 0;
  /** Hash of all keys and row versions, independent of their order. */
  std::uint64_t Hash = 0;
};

/** Whether two digests are valid, have the same version and differ. */
bool gsTableDigestsDiffer(gsTableDigest const& a, gsTableDigest const& b);

/** An update of a table, sent from one host to another. */
struct gsTableUpdate
{
  std::vector<gsTableRow> Rows; ///< Changed rows, including removals.
  /** Rows contains all changes above this version, up to Version. */
  std::uint64_t BaseVersion = 0;
  std::uint64_t Version = 0;
  /** Rows contains all rows of the table. */
  bool IsSnapshot = false;
  /** The sender runs an older release, which does not send a digest. */
  bool LacksDigest = true;
  gsTableDigest Digest; ///< Digest of all of the sender's rows.
  /** Version at which the sender has recently read the full table from the
   * platform; zero if it has not. */
  std::uint64_t ReadVersion = 0;
};

/** The result of applying an update. */
struct gsTableUpdateResult
{
  /** What the receiver has to do next. */
  enum class Action
  {
    None,
    /** Query the sender for changes between this replica's version and the
     * update. */
    QueryChanges,
    /** Repair this replica with the rows of a platform read, because its rows
     * differ from the sender's. */
    Repair
  };
  bool Changed = false; ///< Whether rows or the initialization have changed.
  Action NextAction = Action::None;
};

struct gsTableReplica
{
  using Rows = std::map<std::string, gsTableRow>;

  /** A tombstone; it prevents older updates from restoring the row. */
  struct Tombstone
  {
    gsTableRow Row;
    gsTime AppliedAt{}; ///< When the removal was applied.
  };
  /** A removal reported by the platform that is not applied yet. */
  struct DeferredRemoval
  {
    std::uint64_t Version = 0; ///< The row does not exist at this version.
    std::uint64_t PresentVersion = 0; ///< The row existed at this version.
  };

  Rows LiveRows;
  /** Tombstones by key; no key is in LiveRows as well. */
  std::map<std::string, Tombstone> Tombstones;
  /** Deferred removals by key; their rows are still in LiveRows. */
  std::map<std::string, DeferredRemoval> DeferredRemovals;
  /** Keys of changes that were applied at versions up to CompleteVersion, and
   * may therefore be missing from updates already sent. */
  std::set<std::string> LateKeys;
  /** All changes up to this version have been received. Deferred removals
   * among them are not applied to LiveRows. */
  std::uint64_t ReceivedVersion = 0;
  /** All changes up to this version are applied to LiveRows. At most
   * ReceivedVersion, and lower than the versions of all deferred removals. */
  std::uint64_t CompleteVersion = 0;
  /** Version of the last change up to CompleteVersion. The rows of the two
   * versions are the same. */
  std::uint64_t LastChangeVersion = 0;
  /** All changes between this version and CompleteVersion are known. */
  std::uint64_t ContiguousFromVersion = 0;
  /** Highest version of an applied change; may exceed CompleteVersion. Set to
   * the version of a full read if the changes within the read are unknown. */
  std::uint64_t MaxAppliedVersion = 0;
  /** Tombstones up to this version may have been purged. */
  std::uint64_t PurgedVersion = 0;
  std::uint64_t Hash = 0; ///< Sum of the hashes of LiveRows.
  /** Whether the replica has ever contained the full table. */
  bool IsInitialized = false;
  /** Keys of rows that were added, changed or removed since the last call of
   * gsTableReplicaTakeChangedKeys; may contain duplicates. */
  std::vector<std::string> ChangedKeys;

  /** A change applied to LiveRows or Tombstones. */
  struct Change
  {
    std::uint64_t Version = 0;
    std::string Key;
  };
  /** The most recently applied changes: all whose version is above
   * RecentBaseVersion, and some older ones. With them, the cost of an update
   * depends on the number of changes and not on the size of the table. */
  std::vector<Change> RecentChanges;
  std::uint64_t RecentBaseVersion = 0;
};

/** Returns the keys of the rows that have changed since the last call, without
 * duplicates. */
std::vector<std::string> gsTableReplicaTakeChangedKeys(gsTableReplica& copy);

/** Applies a page of changes from the platform, which contains all changes
 * above ReceivedVersion up to the given version. If deferRemovals is set,
 * removals of existing rows are deferred. \return Whether rows have changed.
 */
bool gsTableReplicaApplyPage(gsTableReplica& copy,
                             std::vector<gsTableRow> const& rows,
                             std::uint64_t version, bool deferRemovals,
                             gsTime now);

/** Applies a full read of the platform's table at a version that is at least
 * ReceivedVersion. If deferRemovals is set, removals of existing rows are
 * deferred. \return Whether rows have changed. */
bool gsTableReplicaApplySnapshot(gsTableReplica& copy,
                                 std::vector<gsTableRow> const& rows,
                                 std::uint64_t version, bool deferRemovals,
                                 gsTime now);

/** Applies an update from another host. */
gsTableUpdateResult gsTableReplicaApplyUpdate(gsTableReplica& copy,
                                              gsTableUpdate const& update,
                                              gsTime now);

/** Returns the update for a host whose replica is complete up to a version. */
gsTableUpdate gsTableReplicaUpdateSince(gsTableReplica const& copy,
                                        std::uint64_t version);
/** Returns the update for hosts to which updates up to a version were already
 * sent. In addition to the changes above that version it contains the changes
 * of LateKeys, which it clears. */
gsTableUpdate gsTableReplicaTakeUpdateSince(gsTableReplica& copy,
                                            std::uint64_t version);

/** Purges tombstones of removals that were applied longer ago than the
 * retention and are covered by CompleteVersion. */
void gsTableReplicaPurgeTombstones(gsTableReplica& copy, gsTime retention,
                                   gsTime now);

/**
 * Raises LastChangeVersion to the last change that another host reports, if
 * this replica is complete up to it and knows all changes since. The rows are
 * the same at both versions. A removal found by a full read has the version of
 * the read instead of its own; without this adjustment, hosts with different
 * versions would not compare their digests.
 */
void gsTableReplicaRaiseLastChange(gsTableReplica& copy,
                                   std::uint64_t version);

/** Returns the digest of a replica, with a row count of zero if it is not
 * initialized or contains changes beyond CompleteVersion. */
gsTableDigest gsTableReplicaDigest(gsTableReplica const& copy);
