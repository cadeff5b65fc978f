/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A replica of one of the platform's tables, updated by watching the table
 * with long-poll calls. The platform may be unresponsive or slow, may lose its
 * history, may return an old state, and may reject this host while it serves
 * others. Meanwhile, updates from other hosts, applied with ApplyUpdate, keep
 * the replica current. A row never returns to a lower version.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "gsAdapter.h"
#include "gsHttpClient.h"
#include "gsLoop.h"
#include "gsTableReplica.h"
#include "gsTypes.h"

struct gsTableWatchSettings
{
  std::string PlatformAddress; ///< Address as IP:port.
  std::string TableName;       ///< Name of the table.
  /** Time for which the platform may hold a watch call if nothing changes. */
  gsTime WatchWait = gsMilliseconds(2000);
  /** Time after WatchWait within which a watch call has to be answered. */
  gsTime ResponseMargin = gsMilliseconds(600);
  gsTime InitialRetryDelay = gsMilliseconds(100); ///< Doubled with each retry.
  gsTime MaxRetryDelay = gsMilliseconds(500);
  /** Delay of the next watch call after changes, so that it returns several
   * changes at once. */
  gsTime BatchDelay = gsMilliseconds(150);
  /** Removed rows are kept for this long, to be sent to other hosts. */
  gsTime TombstoneRetention = gsSeconds(60);
  /**
   * The platform counts as having been unavailable if calls have failed and
   * the replica has not been known to be current for this long. Rows may then
   * have expired although the upstreams that they describe are alive. Time in
   * which no call was made does not count as an outage by itself.
   */
  gsTime OutageThreshold = gsMilliseconds(2900);
  /** Time after an outage for which removals are deferred, so that expired
   * rows can return; zero for a table whose rows do not expire. */
  gsTime ReturnGracePeriod = gsSeconds(2);
  /**
   * Number of rows above which a table is read in full only if there is no
   * alternative, since that takes several calls and megabytes. After a failed
   * call, watching then continues from the replica's version.
   */
  std::size_t LargeTableRows = 1000;
  /** The same for the size of a single row. */
  std::size_t LargeValueBytes = 65536;
};

class gsTableWatch
{
public:
  using Rows = gsTableReplica::Rows;

  gsTableWatch(gsLoop& loop, gsHttpClient& client, gsAdapter const& adapter,
               gsTableWatchSettings settings, std::function<void()> onChange);
  ~gsTableWatch();
  gsTableWatch(gsTableWatch const&) = delete;
  gsTableWatch& operator=(gsTableWatch const&) = delete;

  /** Reads the whole table. Watching starts with Resume. */
  void Start();

  /** Stops watching and cancels the pending call. The replica is kept, and can
   * be updated with ApplyUpdate. */
  void Pause();
  /**
   * Resumes watching if it is paused; reads the whole table first unless the
   * replica is initialized.
   *
   * \param currentAt Last time at which updates of other hosts are known to
   *   have kept the replica current; zero if there is none.
   */
  void Resume(gsTime currentAt);
  /** Reads the table once while watching is paused, unless a call is
   * pending. */
  void ReadOnce();

  /**
   * Reads the changes that the replica lacks, beside a pending call. Calls
   * back with whether the replica is at least as new as the table was when
   * this was called. A call that is still under way is cancelled without
   * calling back.
   */
  void Confirm(gsTime timeLimit, std::function<void(bool)> done);

  /** Drops what the pending call may have received before the process was
   * suspended, and reads the changes since. */
  void Restart();

  /** Cancels the pending call and reads the whole table immediately. The cause
   * is logged. */
  void Refresh(char const* cause);

  /**
   * Applies an update received from another host, as ApplyUpdate does.
   * \return False if the caller has to take the action that ApplyUpdate
   * returns.
   */
  bool TryApplyUpdate(gsTableUpdate const& update, std::string_view peer);
  /** Applies an update received from another host. \return The action that the
   * caller has to take, such as querying missing changes. */
  gsTableUpdateResult::Action ApplyUpdate(gsTableUpdate const& update,
                                          std::string_view peer);
  /** Applies the version of the last change that another host has, as
   * gsTableReplicaRaiseLastChange does. */
  void RaiseLastChange(std::uint64_t version)
  {
    gsTableReplicaRaiseLastChange(this->Replica, version);
  }

  /** All rows, without removed ones. */
  Rows const& LiveRows() const { return this->Replica.LiveRows; }
  /** Returns and clears the keys of the rows that have changed since the last
   * call. */
  std::vector<std::string> TakeChangedKeys()
  {
    return gsTableReplicaTakeChangedKeys(this->Replica);
  }
  /** Update for a host whose replica is complete up to a version. */
  gsTableUpdate UpdateSince(std::uint64_t version) const;
  /** Update for hosts that were sent all changes up to a version. It includes
   * changes at or below that version that this host learned late; these are
   * returned only once. */
  gsTableUpdate TakeUpdateSince(std::uint64_t version);

  /** Version of the last change within the complete part of the replica. */
  std::uint64_t LastChangeVersion() const
  {
    return this->Replica.LastChangeVersion;
  }
  /** Version up to which the replica is complete; at least
   * LastChangeVersion. */
  std::uint64_t CompleteVersion() const
  {
    return this->Replica.CompleteVersion;
  }
  /** Digest of the rows at LastChangeVersion, to be compared with those of
   * other hosts. */
  gsTableDigest Digest() const { return gsTableReplicaDigest(this->Replica); }
  /**
   * Version up to which the replica matches the last full read of the
   * platform; zero if that read completed before the given time.
   */
  std::uint64_t SnapshotVersionSince(gsTime since) const;
  /** Whether the table has so many or so large rows that reading it again is
   * costly. */
  bool IsLarge() const;
  /** Whether the whole table was received once, from the platform or from
   * another host. */
  bool IsInitialized() const { return this->Replica.IsInitialized; }
  /** When the platform last answered successfully; zero if never. */
  gsTime LastResponseTime() const { return this->LastResponseAt; }
  /** Number of calls made to the platform. */
  std::uint64_t CallCount() const { return this->CallsMade; }

private:
  void RetryCall();
  void Read(std::string const& fromKey);
  void OnReadCompleted(gsAnswer const& answer);
  void FinishRead(std::uint64_t version);
  void StartWatch();
  void StopTimers();
  void OnWatchCompleted(gsAnswer const& answer);
  gsTableReadResult Parse(gsAnswer const& answer) const;
  bool ApplyConfirmation(gsAnswer const& answer, std::uint64_t after);
  void ApplyPage(gsTablePage const& page);
  using CallHandler = void (gsTableWatch::*)(gsAnswer const&);
  void StartCall(gsCall call, gsTime responseTimeout, CallHandler done);
  void OnCallStalled();
  void ScheduleRetry(gsTableReadResult const& answer, char const* step);
  void RecordResponse();
  bool IsInReturnGracePeriod() const;

  gsLoop& Loop;
  gsHttpClient& Client;
  gsAdapter const& Adapter;
  gsTableWatchSettings Settings;
  std::function<void()> OnChange;
  gsTimer RetryTimer;
  gsTimer StallTimer; ///< Ends a call of which nothing arrives.
  gsTimer BatchTimer; ///< Starts the next watch call after changes.
  /** Reads the table at the end of the return grace period. */
  gsTimer ReturnTimer;
  gsTableReplica Replica;
  /** Rows of the pages received so far of the current full read. */
  std::vector<gsTableRow> ReadRows;
  std::uint64_t ReadRowsVersion = 0; ///< Version of the first of these pages.
  std::uint64_t SnapshotVersion = 0; ///< Version of the last full read.
  gsTime SnapshotAt{}; ///< When the last full read completed; zero if never.
  std::uint64_t PendingCall = 0; ///< Pending call; zero if there is none.
  CallHandler PendingHandler = nullptr; ///< Of the pending call.
  std::uint64_t ConfirmCall = 0; ///< Call of Confirm; zero if there is none.
  std::uint64_t CallsMade = 0;
  gsTime LastResponseAt{}; ///< When the platform last answered; zero if never.
  gsTime LastCurrentAt{};  ///< Last time at which the replica was current.
  /** Removals reported by the platform are deferred until then. */
  gsTime ReturnGraceUntil{};
  gsTime RetryDelay{}; ///< Delay of the last retry; zero after a success.
  bool IsUnresponsive = false; ///< Calls have failed since the last success.
  bool IsPaused = false;       ///< A read is not followed by a watch call.
};
