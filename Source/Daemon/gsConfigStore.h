/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The configuration on this host: holds the active document, updates it from
 * the platform's table and from peers, and commits changes.
 *
 * The table holds the log of changes, one row per version. A change is
 * committed by inserting the row of the next version if it is absent, which
 * is a compare-and-set; every host applies the same rows in the same order.
 * Every 32 versions a snapshot of the whole document is stored, so that a
 * starting host need not read all rows.
 */
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gsDocument.h"
#include "gsLoop.h"
#include "gsPlatform.h"
#include "gsReplica.h"

/** The replicated configuration of this host. */
class gsConfigStore
{
public:
  /** Callbacks to the owner. */
  struct Hooks
  {
    /** A newer document became active. */
    std::function<void()> OnChanged;
    /** Requests the changes above a version from a peer. */
    std::function<void(std::string const& peer, std::uint64_t above)>
      FetchFromPeer;
    /** A call to the platform failed. */
    std::function<void(gsError const& error)> OnPlatformError;
  };
  using Done = std::function<void(gsResult<gsChange> const&)>;

  gsConfigStore(gsLoop& loop, gsPlatform& platform, gsReplicaSettings settings,
                Hooks hooks);

  void Start();

  gsDocument const& Document() const { return this->Current; }
  std::uint64_t Version() const { return this->Replica.Version; }
  bool Ready() const { return this->Replica.HasDocument; }

  /** Commits an operator's change; see gsApplyChange for its form. */
  void Submit(std::string change, Done done);

  /** Polls the platform for newer versions immediately. */
  void PollNow();
  /** When the platform last replied to a poll. */
  gsTime LastPollTime() const { return this->LastPollAt; }

  /** Processes the version in a frame of a peer; polls if it is newer. */
  void OnPeerVersion(std::string_view peer, std::uint64_t version);
  /** Changes above a version, oldest first; empty if no longer held. */
  std::vector<std::string> ChangesAbove(std::uint64_t version) const;
  /** Applies the changes that follow version above, oldest first. */
  void ApplyChanges(std::uint64_t above,
                    std::vector<std::string> const& changes);
  /** Replaces the document if the given one is valid and newer. */
  void ApplyDocument(std::string_view text);

private:
  /** A change that is queued or being committed. */
  struct Submission
  {
    std::string Text;
    Done OnDone;
    gsTime SubmittedAt{};
  };

  void Tick();
  void Poll();
  void LoadSnapshotPointer();
  void LoadSnapshot(std::string const& pointer);
  bool Apply(std::uint64_t version, std::string const& change);
  void Activate(gsDocument document);
  void CommitNext();
  void OnCommitAnswer(std::uint64_t version,
                      gsPlatform::Results const& results);
  void FinishSubmission(gsResult<gsChange> const& result);
  void WriteSnapshot();

  gsLoop& Loop;
  gsPlatform& Platform;
  Hooks Callbacks;
  gsTimer Timer;
  gsTimer Retry;
  gsReplica Replica;
  gsDocument Current;
  /** Texts of the latest changes, oldest first. */
  std::deque<std::string> RecentChanges;
  std::deque<Submission> Submissions; ///< Committed one at a time, in order.
  bool CommitPending = false;   ///< The first submission is being committed.
  bool ReadPending = false;     ///< A read from the platform is in flight.
  bool SnapshotChecked = false; ///< The snapshot was read, or none exists.
  gsTime LastPollAt{};          ///< Last reply of the platform to a poll.
};
