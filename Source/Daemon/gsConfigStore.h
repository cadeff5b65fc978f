/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The configuration on this host: the document in force, how it follows the
 * platform's table and the peers, and how a change is committed.
 *
 * The table holds the log of changes, one row a version. A change is
 * committed by inserting the row of the next version if it is absent, which
 * is a compare-and-set; every host applies the same rows in the same order.
 * Now and then a row with the whole document lets a starting host skip ahead.
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

class gsConfigStore
{
public:
  struct Hooks
  {
    /** A newer document is in force. */
    std::function<void()> OnChanged;
    /** Asks a peer for what it has above a version. */
    std::function<void(std::string const& peer, std::uint64_t above)>
      FetchFromPeer;
    /** The platform did not answer. */
    std::function<void(gsError const& error)> OnPlatformError;
  };
  using Done = std::function<void(gsResult<gsChange> const&)>;

  gsConfigStore(gsLoop& loop, gsPlatform& platform, gsReplicaSettings settings,
                Hooks hooks);

  void Start();

  gsDocument const& Document() const { return this->Current; }
  std::uint64_t Version() const { return this->Replica.Version; }
  bool Ready() const { return this->Replica.Ready; }

  /** Commits an operator's change; see gsApplyChange for its form. */
  void Submit(std::string change, Done done);

  /** Looks for newer versions at once. */
  void PollNow();
  /** When the platform last answered a poll. */
  gsTime LastPolled() const { return this->Polled; }

  void HearVersion(std::string_view peer, std::uint64_t version);
  /** Changes above a version, oldest first; empty when too old. */
  std::vector<std::string> ChangesAbove(std::uint64_t version) const;
  void TakeChanges(std::uint64_t above,
                   std::vector<std::string> const& changes);
  void TakeDocument(std::string_view text);

private:
  struct Submission
  {
    std::string Text;
    Done Finish;
    gsTime Since{};
  };

  void Tick();
  void Poll();
  void Load();
  void LoadSnapshot(std::string const& pointer);
  bool Apply(std::uint64_t version, std::string const& change);
  void PutInForce(gsDocument document);
  void CommitNext();
  void OnCommitAnswer(std::uint64_t version,
                      gsPlatform::Results const& results);
  void FinishSubmission(gsResult<gsChange> const& result);
  void WriteSnapshot();

  gsLoop& Loop;
  gsPlatform& Platform;
  Hooks Call;
  gsTimer Timer;
  gsTimer Retry;
  gsReplica Replica;
  gsDocument Current;
  /** Texts of the last changes, the newest last. */
  std::deque<std::string> Recent;
  std::deque<Submission> Submissions;
  bool Committing = false;
  bool Polling = false;
  bool Loaded = false; ///< The platform's snapshot has been looked for.
  gsTime Polled{};
};
