/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTableWatch.h"

#include <algorithm>
#include <utility>

#include "gsLog.h"

namespace {

/** Time without any byte after which a call is given up once its answer has
 * begun, and in which the answer to a read has to begin. */
constexpr gsTime ProgressTimeout = gsMilliseconds(800);
/** Maximum duration of a call whose answer arrives all the while. */
constexpr gsTime TransferTimeout = gsSeconds(10);
constexpr gsTime ConnectTimeout = gsMilliseconds(400);

} // namespace

gsTableWatch::gsTableWatch(gsLoop& loop, gsHttpClient& client,
                           gsAdapter const& adapter,
                           gsTableWatchSettings settings,
                           std::function<void()> onChange)
  : Loop(loop)
  , Client(client)
  , Adapter(adapter)
  , Settings(std::move(settings))
  , OnChange(std::move(onChange))
  , RetryTimer(loop, [this] { this->RetryCall(); })
  , StallTimer(loop, [this] { this->OnCallStalled(); })
  , BatchTimer(loop, [this] { this->StartWatch(); })
  , ReturnTimer(loop, [this] { this->Refresh("returns_over"); })
{
}

gsTableWatch::~gsTableWatch()
{
  for (std::uint64_t call : { this->PendingCall, this->ConfirmCall }) {
    if (call != 0) {
      this->Client.Cancel(call);
    }
  }
}

void gsTableWatch::Start()
{
  this->IsPaused = true;
  this->Read({});
}

void gsTableWatch::Pause()
{
  this->IsPaused = true;
  this->StopTimers();
  if (this->PendingCall != 0) {
    this->Client.Cancel(std::exchange(this->PendingCall, 0));
  }
}

void gsTableWatch::Resume(gsTime currentAt)
{
  if (this->IsPaused) {
    this->IsPaused = false;
    this->LastCurrentAt = std::max(this->LastCurrentAt, currentAt);
    if (this->IsInitialized()) {
      // A change of the watch state does not put the copy in doubt, so that
      // watching continues from its version.
      this->StopTimers();
      this->StartWatch();
    } else {
      this->Refresh("resumed");
    }
  }
}

void gsTableWatch::ReadOnce()
{
  if (this->IsPaused && this->PendingCall == 0) {
    this->StopTimers();
    this->Read({});
  }
}

void gsTableWatch::Confirm(gsTime timeLimit, std::function<void(bool)> done)
{
  if (this->ConfirmCall != 0) {
    this->Client.Cancel(std::exchange(this->ConfirmCall, 0));
  }
  if (!this->IsInitialized()) {
    done(false);
    return;
  }
  std::uint64_t after = this->Replica.ReceivedVersion;
  gsCall call = this->Adapter.MakeWatchCall(
    this->Settings.PlatformAddress, this->Settings.TableName, after, gsTime{});
  ++this->CallsMade;
  call.ConnectTimeout = std::min(ConnectTimeout, timeLimit);
  call.TotalTimeout = timeLimit;
  call.Reuse = true;
  this->ConfirmCall =
    gsFetch(this->Client, std::move(call),
            [this, after, done = std::move(done)](gsAnswer const& answer) {
              this->ConfirmCall = 0;
              done(this->ApplyConfirmation(answer, after));
            });
}

/** \return Whether the answer has brought the replica up to date. */
bool gsTableWatch::ApplyConfirmation(gsAnswer const& answer,
                                     std::uint64_t after)
{
  gsTableReadResult result = this->Parse(answer);
  if (result.Error == gsTableReadError::HistoryExpired) {
    this->Refresh("history_gone");
  }
  bool isOld = result.Page && result.Page->Version < after;
  if (!result.Page || isOld) {
    return false;
  }
  this->ApplyPage(*result.Page);
  return !result.Page->HasMore;
}

void gsTableWatch::Restart()
{
  if (this->PendingCall != 0) {
    this->Client.Cancel(std::exchange(this->PendingCall, 0));
    this->StallTimer.Stop();
    this->StopTimers();
    this->StartWatch();
  }
  this->Confirm(ProgressTimeout, [](bool /*succeeded*/) {});
}

/** Makes the next call after one that failed. */
void gsTableWatch::RetryCall()
{
  if (this->IsLarge() && !this->IsPaused) {
    this->StartWatch();
  } else if (!this->ReadRows.empty()) {
    // Received pages are kept, so that one failed call does not restart a
    // read of many pages.
    this->Read(this->ReadRows.back().Key + '\0');
  } else {
    this->Read({});
  }
}

/** Stops the timers that start the next call. */
void gsTableWatch::StopTimers()
{
  this->RetryTimer.Stop();
  this->BatchTimer.Stop();
}

void gsTableWatch::Refresh(char const* cause)
{
  gsLogLine("table_refresh")
    .With("table", this->Settings.TableName)
    .With("version", this->LastChangeVersion())
    .With("cause", cause);
  if (this->PendingCall != 0) {
    this->Client.Cancel(std::exchange(this->PendingCall, 0));
  }
  this->StopTimers();
  this->Read({});
}

/** Starts a call, which is given up if its answer does not begin within the
 * timeout. */
void gsTableWatch::StartCall(gsCall call, gsTime responseTimeout,
                             CallHandler done)
{
  ++this->CallsMade;
  call.ConnectTimeout = ConnectTimeout;
  call.UserTimeout = ProgressTimeout;
  call.TotalTimeout = responseTimeout + TransferTimeout;
  call.Reuse = true;
  this->PendingHandler = done;
  this->StallTimer.Once(responseTimeout);
  this->PendingCall = gsFetch(
    this->Client, std::move(call),
    [this, done](gsAnswer const& answer) {
      this->PendingCall = 0;
      this->StallTimer.Stop();
      (this->*done)(answer);
    },
    [this] { this->StallTimer.Once(ProgressTimeout); });
}

void gsTableWatch::OnCallStalled()
{
  if (this->PendingCall == 0) {
    return;
  }
  this->Client.Cancel(std::exchange(this->PendingCall, 0));
  gsAnswer answer;
  answer.End.Error = "Nothing arrived in time.";
  (this->*this->PendingHandler)(answer);
}

bool gsTableWatch::IsLarge() const
{
  Rows const& rows = this->LiveRows();
  bool hasManyRows = rows.size() > this->Settings.LargeTableRows;
  auto isLarge = [this](Rows::value_type const& entry) {
    return entry.second.Value.size() > this->Settings.LargeValueBytes;
  };
  return this->IsInitialized() &&
         (hasManyRows || std::any_of(rows.begin(), rows.end(), isLarge));
}

void gsTableWatch::Read(std::string const& fromKey)
{
  if (fromKey.empty()) {
    this->ReadRows.clear();
  }
  gsCall call = this->Adapter.MakeReadCall(this->Settings.PlatformAddress,
                                           this->Settings.TableName, fromKey);
  this->StartCall(std::move(call), ProgressTimeout,
                  &gsTableWatch::OnReadCompleted);
}

void gsTableWatch::OnReadCompleted(gsAnswer const& answer)
{
  gsTableReadResult result = this->Parse(answer);
  if (!result.Page) {
    this->ScheduleRetry(result, "read");
    return;
  }
  gsTablePage& page = *result.Page;
  if (this->ReadRows.empty()) {
    this->ReadRowsVersion = page.Version;
  }
  for (gsTableRow& row : page.Rows) {
    this->ReadRows.push_back(std::move(row));
  }
  if (page.HasMore && !this->ReadRows.empty()) {
    this->Read(this->ReadRows.back().Key + '\0');
    return;
  }
  if (this->ReadRowsVersion < this->Replica.ReceivedVersion) {
    // The platform returned an old state; this copy is newer.
    this->ReadRows.clear();
    this->ScheduleRetry({ {}, gsTableReadError::Rejected, "An old state." },
                        "read");
    return;
  }
  this->RecordResponse();
  this->FinishRead(this->ReadRowsVersion);
}

void gsTableWatch::FinishRead(std::uint64_t version)
{
  gsTime now = gsLoop::Now();
  bool wasInitialized = this->IsInitialized();
  bool changed =
    gsTableReplicaApplySnapshot(this->Replica, this->ReadRows, version,
                                this->IsInReturnGracePeriod(), now);
  this->ReadRows.clear();
  this->SnapshotVersion = version;
  this->SnapshotAt = now;
  if (changed || !wasInitialized) {
    this->OnChange();
  }
  this->StartWatch();
}

void gsTableWatch::StartWatch()
{
  gsTableReplicaPurgeTombstones(
    this->Replica, this->Settings.TombstoneRetention, gsLoop::Now());
  if (this->IsPaused) {
    return;
  }
  gsCall call = this->Adapter.MakeWatchCall(
    this->Settings.PlatformAddress, this->Settings.TableName,
    this->Replica.ReceivedVersion, this->Settings.WatchWait);
  this->StartCall(std::move(call),
                  this->Settings.WatchWait + this->Settings.ResponseMargin,
                  &gsTableWatch::OnWatchCompleted);
}

/** Parses an answer, and logs that it has rows which cannot be read. */
gsTableReadResult gsTableWatch::Parse(gsAnswer const& answer) const
{
  gsTableReadResult result = this->Adapter.ParseTableResponse(answer);
  if (result.Page && result.Page->UnreadableRows > 0) {
    gsLogLine("table_rows_unreadable", gsLogLevel::Warn)
      .With("table", this->Settings.TableName)
      .With("version", result.Page->Version)
      .With("rows", std::uint64_t(result.Page->UnreadableRows));
  }
  return result;
}

void gsTableWatch::OnWatchCompleted(gsAnswer const& answer)
{
  gsTableReadResult result = this->Parse(answer);
  if (!result.Page) {
    if (result.Error == gsTableReadError::HistoryExpired) {
      gsLogLine("table_history_gone", gsLogLevel::Warn)
        .With("table", this->Settings.TableName)
        .With("version", this->LastChangeVersion());
      this->Read({});
      return;
    }
    this->ScheduleRetry(result, "watch");
    return;
  }
  this->ApplyPage(*result.Page);
  if (result.Page->Rows.empty()) {
    this->StartWatch();
  } else {
    this->BatchTimer.Once(this->Settings.BatchDelay);
  }
}

/** Applies changes since the replica's version. */
void gsTableWatch::ApplyPage(gsTablePage const& page)
{
  this->RecordResponse();
  bool changed =
    gsTableReplicaApplyPage(this->Replica, page.Rows, page.Version,
                            this->IsInReturnGracePeriod(), gsLoop::Now());
  if (changed) {
    this->OnChange();
  }
}

void gsTableWatch::RecordResponse()
{
  gsTime now = gsLoop::Now();
  bool wasUnavailable =
    this->IsUnresponsive && this->LastCurrentAt.count() != 0 &&
    now - this->LastCurrentAt > this->Settings.OutageThreshold;
  if (wasUnavailable && this->Settings.ReturnGracePeriod.count() > 0) {
    this->ReturnGraceUntil = now + this->Settings.ReturnGracePeriod;
    this->ReturnTimer.Once(this->Settings.ReturnGracePeriod);
  }
  this->LastResponseAt = now;
  this->LastCurrentAt = now;
  this->RetryDelay = gsTime{};
  if (this->IsUnresponsive) {
    this->IsUnresponsive = false;
    gsLogLine("table_regained")
      .With("table", this->Settings.TableName)
      .With("version", this->LastChangeVersion());
  }
}

/** Whether removals are deferred, as missing rows may still return. */
bool gsTableWatch::IsInReturnGracePeriod() const
{
  return gsLoop::Now() < this->ReturnGraceUntil;
}

/** Schedules the next call after a failed one; see RetryCall. */
void gsTableWatch::ScheduleRetry(gsTableReadResult const& answer,
                                 char const* step)
{
  if (!this->IsUnresponsive) {
    this->IsUnresponsive = true;
    gsLogLine("table_lost", gsLogLevel::Warn)
      .With("table", this->Settings.TableName)
      .With("step", step)
      .With("peer", this->Settings.PlatformAddress)
      .With("version", this->LastChangeVersion())
      .With("message", answer.Detail);
  }
  this->RetryDelay =
    std::clamp(this->RetryDelay * 2, this->Settings.InitialRetryDelay,
               this->Settings.MaxRetryDelay);
  this->RetryTimer.Once(this->RetryDelay);
}

bool gsTableWatch::TryApplyUpdate(gsTableUpdate const& update,
                                  std::string_view peer)
{
  return this->ApplyUpdate(update, peer) == gsTableUpdateResult::Action::None;
}

gsTableUpdateResult::Action gsTableWatch::ApplyUpdate(
  gsTableUpdate const& update, std::string_view peer)
{
  gsTableUpdateResult result =
    gsTableReplicaApplyUpdate(this->Replica, update, gsLoop::Now());
  bool complete = result.NextAction == gsTableUpdateResult::Action::None;
  if (complete && this->IsInitialized() && this->IsPaused) {
    this->RetryTimer.Stop();
  }
  if (result.Changed) {
    gsLogLine("table_learned")
      .With("table", this->Settings.TableName)
      .With("from", peer)
      .With("rows", std::uint64_t(update.Rows.size()))
      .With("version", this->LastChangeVersion())
      .With("complete", complete);
    this->OnChange();
  }
  return result.NextAction;
}

gsTableUpdate gsTableWatch::UpdateSince(std::uint64_t version) const
{
  return gsTableReplicaUpdateSince(this->Replica, version);
}

gsTableUpdate gsTableWatch::TakeUpdateSince(std::uint64_t version)
{
  return gsTableReplicaTakeUpdateSince(this->Replica, version);
}

std::uint64_t gsTableWatch::SnapshotVersionSince(gsTime since) const
{
  bool isRecent = this->SnapshotAt.count() != 0 && this->SnapshotAt >= since;
  return isRecent ? std::min(this->SnapshotVersion, this->CompleteVersion())
                  : 0;
}
