/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsConfigStore.h"

#include <algorithm>

#include "gsDocumentJson.h"
#include "gsLog.h"

namespace {

constexpr gsTime TickPeriod = gsMilliseconds(100);
constexpr gsTime CommitRetry = gsMilliseconds(200);
constexpr gsTime CommitPatience = gsSeconds(5);
constexpr std::uint64_t PollRows = 16;
constexpr std::uint64_t SnapshotEvery = 32;
constexpr std::size_t MaxRecent = 256;
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
  , Call(std::move(hooks))
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
  gsReplicaOutput out;
  gsReplicaTick(this->Replica, gsLoop::Now(), out);
  if (out.PollPlatform) {
    this->Poll();
  }
  if (!out.FetchFrom.empty()) {
    this->Call.FetchFromPeer(out.FetchFrom, this->Replica.Version);
  }
}

void gsConfigStore::PollNow()
{
  this->Poll();
}

void gsConfigStore::Load()
{
  this->Polling = true;
  std::vector<gsTableOp> ops{
    { gsTableOp::Kind::Get, SnapshotPointer, {}, {} }
  };
  this->Platform.Transact(ops, [this](gsPlatform::Results const& results) {
    this->Polling = false;
    if (!results) {
      this->Call.OnPlatformError(results.error());
      return;
    }
    if (results.value()[0].Current) {
      this->LoadSnapshot(*results.value()[0].Current);
      return;
    }
    this->Loaded = true;
    this->Poll();
  });
}

void gsConfigStore::LoadSnapshot(std::string const& pointer)
{
  this->Polling = true;
  std::vector<gsTableOp> ops{
    { gsTableOp::Kind::Get, SnapshotKey(pointer), {}, {} }
  };
  this->Platform.Transact(ops, [this](gsPlatform::Results const& results) {
    this->Polling = false;
    if (!results) {
      this->Call.OnPlatformError(results.error());
      return;
    }
    if (results.value()[0].Current) {
      this->TakeDocument(*results.value()[0].Current);
    }
    this->Loaded = true;
    this->Poll();
  });
}

void gsConfigStore::Poll()
{
  if (this->Polling) {
    return;
  }
  if (!this->Loaded) {
    this->Load();
    return;
  }
  this->Polling = true;
  bool catchUp = !this->Replica.Ready ||
                 this->Replica.HeardVersion > this->Replica.Version + 1;
  std::uint64_t rows = catchUp ? PollRows : 1;
  std::uint64_t first = this->Replica.Version + 1;
  std::vector<gsTableOp> ops;
  for (std::uint64_t i = 0; i < rows; ++i) {
    ops.push_back({ gsTableOp::Kind::Get, ChangeKey(first + i), {}, {} });
  }
  this->Platform.Transact(
    ops, [this, first, rows](gsPlatform::Results const& results) {
      this->Polling = false;
      if (!results) {
        this->Call.OnPlatformError(results.error());
        return;
      }
      this->Polled = gsLoop::Now();
      gsReplicaPolled(this->Replica);
      std::vector<std::string> changes;
      for (gsTableResult const& result : results.value()) {
        if (!result.Current) {
          break;
        }
        changes.push_back(*result.Current);
      }
      bool more = changes.size() == rows;
      this->TakeChanges(first - 1, changes);
      if (more) {
        this->Poll();
      } else if (!this->Replica.Ready) {
        // The platform has no configuration yet: the empty one it is.
        this->PutInForce(this->Current);
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
  this->Recent.push_back(change);
  if (this->Recent.size() > MaxRecent) {
    this->Recent.pop_front();
  }
  this->PutInForce(std::move(next));
  return true;
}

void gsConfigStore::PutInForce(gsDocument document)
{
  if (!gsReplicaOffer(this->Replica, document.Version)) {
    return;
  }
  this->Current = std::move(document);
  gsLogLine("config_in_force")
    .With("version", this->Current.Version)
    .With("change", this->Current.Changes.empty()
                      ? std::string()
                      : this->Current.Changes.back().Id);
  this->Call.OnChanged();
}

void gsConfigStore::HearVersion(std::string_view peer, std::uint64_t version)
{
  gsReplicaHear(this->Replica, peer, version);
  if (version > this->Replica.Version) {
    this->Tick();
  }
}

std::vector<std::string> gsConfigStore::ChangesAbove(
  std::uint64_t version) const
{
  std::uint64_t count = this->Replica.Version - version;
  if (version >= this->Replica.Version || count > this->Recent.size()) {
    return {};
  }
  return { this->Recent.end() - static_cast<std::ptrdiff_t>(count),
           this->Recent.end() };
}

void gsConfigStore::TakeChanges(std::uint64_t above,
                                std::vector<std::string> const& changes)
{
  std::uint64_t version = above;
  for (std::string const& change : changes) {
    if (!this->Apply(++version, change)) {
      return;
    }
  }
}

void gsConfigStore::TakeDocument(std::string_view text)
{
  gsResult<gsDocument> document = gsDocumentFromText(text, "configuration");
  if (!document) {
    gsLogLine("config_unreadable", gsLogLevel::Error).With(document.error());
    return;
  }
  if (this->Replica.Ready &&
      document.value().Version <= this->Replica.Version) {
    return;
  }
  this->Recent.clear();
  this->PutInForce(std::move(document.value()));
}

void gsConfigStore::Submit(std::string change, Done done)
{
  this->Submissions.push_back(
    { std::move(change), std::move(done), gsLoop::Now() });
  if (!this->Committing) {
    this->CommitNext();
  }
}

void gsConfigStore::FinishSubmission(gsResult<gsChange> const& result)
{
  Submission submission = std::move(this->Submissions.front());
  this->Submissions.pop_front();
  this->Committing = false;
  submission.Finish(result);
  if (!this->Submissions.empty() && !this->Committing) {
    this->CommitNext();
  }
}

void gsConfigStore::CommitNext()
{
  if (this->Submissions.empty()) {
    this->Committing = false;
    return;
  }
  this->Committing = true;
  Submission const& submission = this->Submissions.front();
  if (!this->Replica.Ready) {
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
  std::vector<gsTableOp> ops{
    { gsTableOp::Kind::Insert, ChangeKey(version), submission.Text, {} }
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
    // It may have taken effect. The same insert again settles that.
    this->Call.OnPlatformError(results.error());
    if (gsLoop::Now() - submission.Since > CommitPatience) {
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
  std::string const row = results.value()[0].Current.value_or(std::string());
  if (!this->Apply(version, row)) {
    this->FinishSubmission(gsError{
      "unreadable", "The platform's row cannot be read.", "commit", {} });
    return;
  }
  if (row != submission.Text) {
    // Another operator was first: look at the change anew.
    this->CommitNext();
    return;
  }
  gsChange change = this->Current.Changes.back();
  if (version % SnapshotEvery == 0) {
    this->WriteSnapshot();
  }
  this->FinishSubmission(change);
}

/** Best effort: without it a starting host reads more rows. */
void gsConfigStore::WriteSnapshot()
{
  std::string version = std::to_string(this->Current.Version);
  std::string text = gsToJson(this->Current).dump();
  std::vector<gsTableOp> ops{
    { gsTableOp::Kind::Insert, SnapshotKey(version), std::move(text), {} },
    { gsTableOp::Kind::Get, SnapshotPointer, {}, {} }
  };
  this->Platform.Transact(
    ops, [this, version](gsPlatform::Results const& results) {
      if (!results) {
        this->Call.OnPlatformError(results.error());
        return;
      }
      std::optional<std::string> old = results.value()[1].Current;
      if (old && std::stoull(*old) >= std::stoull(version)) {
        return;
      }
      gsTableOp op{ gsTableOp::Kind::Insert, SnapshotPointer, version, {} };
      if (old) {
        op.What = gsTableOp::Kind::Replace;
        op.Expected = *old;
      }
      this->Platform.Transact({ op }, [](gsPlatform::Results const&) {});
    });
}
