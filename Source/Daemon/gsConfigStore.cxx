/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsConfigStore.h"

#include <algorithm>

#include "gsDocumentJson.h"
#include "gsLog.h"

namespace {

constexpr gsTime TickPeriod = gsMilliseconds(100);
constexpr gsTime CommitRetry = gsMilliseconds(200);
/** Time after which an unanswered commit is reported as not known. */
constexpr gsTime CommitTimeout = gsSeconds(5);
/** Rows read per poll while this host is behind. */
constexpr std::uint64_t CatchUpRows = 16;
/** Number of versions between snapshots. */
constexpr std::uint64_t SnapshotInterval = 32;
/** Number of changes held for peers that are behind. */
constexpr std::size_t MaxRecentChanges = 256;
constexpr char const* SnapshotPointer = "config/snapshot";

std::string ChangeKey(std::uint64_t version)
{
  return "config/change/" + std::to_string(version);
}

std::string SnapshotKey(std::string const& version)
{
  return "config/snapshot/" + version;
}

} // namespace

gsConfigStore::gsConfigStore(gsLoop& loop, gsPlatform& platform,
                             gsReplicaSettings settings, Hooks hooks)
  : Loop(loop)
  , Platform(platform)
  , Callbacks(std::move(hooks))
  , Timer(loop, [this] { this->Tick(); })
  , Retry(loop, [this] { this->CommitNext(); })
{
  this->Replica.Settings = settings;
}

void gsConfigStore::Start()
{
  gsReplicaStart(this->Replica, gsLoop::Now());
  this->Timer.Every(TickPeriod);
  this->Tick();
}

void gsConfigStore::Tick()
{
  gsReplicaActions out;
  gsReplicaTick(this->Replica, gsLoop::Now(), out);
  if (out.PollPlatform) {
    this->Poll();
  }
  if (!out.FetchPeer.empty()) {
    this->Callbacks.FetchFromPeer(out.FetchPeer, this->Replica.Version);
  }
}

void gsConfigStore::PollNow()
{
  this->Poll();
}

void gsConfigStore::LoadSnapshotPointer()
{
  this->ReadPending = true;
  std::vector<gsTableOperation> ops{
    { gsTableOperation::Kind::Get, SnapshotPointer, {}, {} }
  };
  this->Platform.Transact(ops, [this](gsPlatform::Results const& results) {
    this->ReadPending = false;
    if (!results) {
      this->Callbacks.OnPlatformError(results.error());
      return;
    }
    if (results.value()[0].CurrentValue) {
      this->LoadSnapshot(*results.value()[0].CurrentValue);
      return;
    }
    this->SnapshotChecked = true;
    this->Poll();
  });
}

void gsConfigStore::LoadSnapshot(std::string const& pointer)
{
  this->ReadPending = true;
  std::vector<gsTableOperation> ops{
    { gsTableOperation::Kind::Get, SnapshotKey(pointer), {}, {} }
  };
  this->Platform.Transact(ops, [this](gsPlatform::Results const& results) {
    this->ReadPending = false;
    if (!results) {
      this->Callbacks.OnPlatformError(results.error());
      return;
    }
    if (results.value()[0].CurrentValue) {
      this->ApplyDocument(*results.value()[0].CurrentValue);
    }
    this->SnapshotChecked = true;
    this->Poll();
  });
}

void gsConfigStore::Poll()
{
  if (this->ReadPending) {
    return;
  }
  if (!this->SnapshotChecked) {
    this->LoadSnapshotPointer();
    return;
  }
  this->ReadPending = true;
  bool isBehind = !this->Replica.HasDocument ||
                  this->Replica.MaxPeerVersion > this->Replica.Version + 1;
  std::uint64_t rows = isBehind ? CatchUpRows : 1;
  std::uint64_t first = this->Replica.Version + 1;
  std::vector<gsTableOperation> ops;
  for (std::uint64_t i = 0; i < rows; ++i) {
    ops.push_back(
      { gsTableOperation::Kind::Get, ChangeKey(first + i), {}, {} });
  }
  this->Platform.Transact(
    ops, [this, first, rows](gsPlatform::Results const& results) {
      this->ReadPending = false;
      if (!results) {
        this->Callbacks.OnPlatformError(results.error());
        return;
      }
      this->LastPollAt = gsLoop::Now();
      gsReplicaRecordPoll(this->Replica);
      std::vector<std::string> changes;
      for (gsTableResult const& result : results.value()) {
        if (!result.CurrentValue) {
          break;
        }
        changes.push_back(*result.CurrentValue);
      }
      bool more = changes.size() == rows;
      this->ApplyChanges(first - 1, changes);
      if (more) {
        this->Poll();
      } else if (!this->Replica.HasDocument) {
        // The platform has no configuration yet, so the empty one is used.
        this->Activate(this->Current);
      }
    });
}

bool gsConfigStore::Apply(std::uint64_t version, std::string const& change)
{
  if (version != this->Replica.Version + 1) {
    return version <= this->Replica.Version;
  }
  gsDocument next = this->Current;
  gsResult<gsChange> applied = gsApplyChange(next, change);
  if (!applied) {
    gsLogLine("config_unreadable", gsLogLevel::Error)
      .With("version", version)
      .With(applied.error());
    return false;
  }
  this->RecentChanges.push_back(change);
  if (this->RecentChanges.size() > MaxRecentChanges) {
    this->RecentChanges.pop_front();
  }
  this->Activate(std::move(next));
  return true;
}

void gsConfigStore::Activate(gsDocument document)
{
  if (!gsReplicaAdvance(this->Replica, document.Version)) {
    return;
  }
  this->Current = std::move(document);
  gsLogLine("config_in_force")
    .With("version", this->Current.Version)
    .With("change", this->Current.Changes.empty()
                      ? std::string()
                      : this->Current.Changes.back().Id);
  this->Callbacks.OnChanged();
}

void gsConfigStore::OnPeerVersion(std::string_view peer, std::uint64_t version)
{
  gsReplicaReceiveVersion(this->Replica, peer, version);
  if (version > this->Replica.Version) {
    this->Tick();
  }
}

std::vector<std::string> gsConfigStore::ChangesAbove(
  std::uint64_t version) const
{
  std::uint64_t count = this->Replica.Version - version;
  if (version >= this->Replica.Version || count > this->RecentChanges.size()) {
    return {};
  }
  return { this->RecentChanges.end() - static_cast<std::ptrdiff_t>(count),
           this->RecentChanges.end() };
}

void gsConfigStore::ApplyChanges(std::uint64_t above,
                                 std::vector<std::string> const& changes)
{
  std::uint64_t version = above;
  for (std::string const& change : changes) {
    if (!this->Apply(++version, change)) {
      return;
    }
  }
}

void gsConfigStore::ApplyDocument(std::string_view text)
{
  gsResult<gsDocument> document = gsDocumentFromText(text, "configuration");
  if (!document) {
    gsLogLine("config_unreadable", gsLogLevel::Error).With(document.error());
    return;
  }
  if (this->Replica.HasDocument &&
      document.value().Version <= this->Replica.Version) {
    return;
  }
  this->RecentChanges.clear();
  this->Activate(std::move(document.value()));
}

void gsConfigStore::Submit(std::string change, Done done)
{
  this->Submissions.push_back(
    { std::move(change), std::move(done), gsLoop::Now() });
  if (!this->CommitPending) {
    this->CommitNext();
  }
}

void gsConfigStore::FinishSubmission(gsResult<gsChange> const& result)
{
  Submission submission = std::move(this->Submissions.front());
  this->Submissions.pop_front();
  this->CommitPending = false;
  submission.OnDone(result);
  if (!this->Submissions.empty() && !this->CommitPending) {
    this->CommitNext();
  }
}

void gsConfigStore::CommitNext()
{
  if (this->Submissions.empty()) {
    this->CommitPending = false;
    return;
  }
  this->CommitPending = true;
  Submission const& submission = this->Submissions.front();
  if (!this->Replica.HasDocument) {
    this->FinishSubmission(gsError{
      "not_ready", "This host has no configuration yet.", "change", {} });
    return;
  }
  gsDocument next = this->Current;
  gsResult<gsChange> applied = gsApplyChange(next, submission.Text);
  if (!applied) {
    this->FinishSubmission(applied.error());
    return;
  }
  gsChange const* known = gsFindChange(this->Current, applied.value().Id);
  if (known != nullptr) {
    this->FinishSubmission(gsChange(*known));
    return;
  }
  std::uint64_t version = next.Version;
  std::vector<gsTableOperation> ops{
    { gsTableOperation::Kind::Insert, ChangeKey(version), submission.Text, {} }
  };
  this->Platform.Transact(ops,
                          [this, version](gsPlatform::Results const& results) {
                            this->OnCommitAnswer(version, results);
                          });
}

void gsConfigStore::OnCommitAnswer(std::uint64_t version,
                                   gsPlatform::Results const& results)
{
  Submission const& submission = this->Submissions.front();
  if (!results) {
    // The insert may have taken effect. Repeating it is safe and shows whether
    // it did.
    this->Callbacks.OnPlatformError(results.error());
    if (gsLoop::Now() - submission.SubmittedAt > CommitTimeout) {
      this->FinishSubmission(gsError{
        "not_known",
        "The platform does not answer; the change may or may not have been "
        "stored. Ask again with its id.",
        "commit", results.error().Peer });
      return;
    }
    this->Retry.Once(CommitRetry);
    return;
  }
  std::string const row =
    results.value()[0].CurrentValue.value_or(std::string());
  if (!this->Apply(version, row)) {
    this->FinishSubmission(gsError{
      "unreadable", "The platform's row cannot be read.", "commit", {} });
    return;
  }
  if (row != submission.Text) {
    // Another change took this version; validate this one again.
    this->CommitNext();
    return;
  }
  gsChange change = this->Current.Changes.back();
  if (version % SnapshotInterval == 0) {
    this->WriteSnapshot();
  }
  this->FinishSubmission(change);
}

/** Stores a snapshot. Best effort: without it a starting host reads more
 * rows. */
void gsConfigStore::WriteSnapshot()
{
  std::string version = std::to_string(this->Current.Version);
  std::string text = gsToJson(this->Current).dump();
  std::vector<gsTableOperation> ops{
    { gsTableOperation::Kind::Insert,
      SnapshotKey(version),
      std::move(text),
      {} },
    { gsTableOperation::Kind::Get, SnapshotPointer, {}, {} }
  };
  this->Platform.Transact(
    ops, [this, version](gsPlatform::Results const& results) {
      if (!results) {
        this->Callbacks.OnPlatformError(results.error());
        return;
      }
      std::optional<std::string> old = results.value()[1].CurrentValue;
      if (old && std::stoull(*old) >= std::stoull(version)) {
        return;
      }
      gsTableOperation op{
        gsTableOperation::Kind::Insert, SnapshotPointer, version, {}
      };
      if (old) {
        op.OperationKind = gsTableOperation::Kind::Replace;
        op.Expected = *old;
      }
      this->Platform.Transact({ op }, [](gsPlatform::Results const&) {});
    });
}
