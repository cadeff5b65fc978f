/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsVersionKeeper.h"

#include <algorithm>
#include <string>
#include <utility>

#include "gsLog.h"
#include "gsLoop.h"
#include "gsRouteServices.h"

namespace {

constexpr gsTime ConnectTimeout = gsMilliseconds(300);
constexpr gsTime CallTimeout = gsMilliseconds(800);
/** Delay after the start, by which hosts have determined the coordinators of
 * their hall. */
constexpr gsTime StartupDelay = gsMilliseconds(1000);

} // namespace

gsVersionKeeper::gsVersionKeeper(gsHttpClient& client,
                                 gsAdapter const& adapter,
                                 gsSettings const& settings, gsFleet& fleet)
  : Client(client)
  , Adapter(adapter)
  , Settings(settings)
  , Fleet(fleet)
{
}

gsVersionKeeper::~gsVersionKeeper()
{
  for (std::uint64_t call : { this->PendingCall, this->Confirming.Call }) {
    if (call != 0) {
      this->Client.Cancel(call);
    }
  }
}

void gsVersionKeeper::Start(gsHallCluster& cluster, gsTableSync const& tables,
                            gsTime now)
{
  this->Cluster = &cluster;
  this->Tables = &tables;
  this->StartedAt = now;
}

void gsVersionKeeper::SetRoutes(gsRouteTable const& table, gsTime now)
{
  gsSetRouteServices(this->Fleet, table, now);
  gsSetVersionNames(this->Store, gsResumableNames(table));
}

/**
 * What this host does. A host that starts again reads the rows once by itself,
 * as it reads the tables. Look-ups ask the coordinators, so that these repeat
 * a read that has failed, and are the only ones that read at the first start
 * of all hosts.
 */
gsVersionStoreDuty gsVersionKeeper::Duty(gsTime now) const
{
  gsHallMembership const& members = this->Cluster->Members();
  gsVersionStoreDuty duty;
  bool isCoordinator =
    now - this->StartedAt >= StartupDelay && gsHallIsCoordinator(members, now);
  bool isFirstTry =
    !this->Settings.Routing.FirstStart && this->Store.RetryDelay.count() == 0;
  duty.Reads = isCoordinator || isFirstTry;
  duty.Writes = this->Tables->IsWatching();
  for (auto const& [hall, relay] : gsOtherRelays(members, now)) {
    duty.HallIndex += hall < this->Settings.Hall ? 1 : 0;
  }
  return duty;
}

std::optional<std::uint32_t> gsVersionKeeper::OlderVersion(
  gsListedUpstream const& upstream) const
{
  return gsOlderVersion(this->Store, this->Fleet, upstream.Service,
                        upstream.SoftwareVersion, gsLoop::Now());
}

void gsVersionKeeper::Tick(gsTime now)
{
  gsUpdateVersionAges(this->Store, this->Fleet, now);
  if (this->Cluster == nullptr ||
      !this->Tables->UpstreamsTable().IsInitialized()) {
    return;
  }
  std::optional<gsVersionStoreCall> call =
    gsNextVersionStoreCall(this->Store, this->Fleet, this->Duty(now), now);
  if (call && call->IsWrite) {
    this->Write(*call);
  } else if (call) {
    this->ReadRows.clear();
    this->Read({});
  }
}

void gsVersionKeeper::StartCall(gsCall call,
                                std::function<void(gsAnswer const&)> done)
{
  call.ConnectTimeout = ConnectTimeout;
  call.TotalTimeout = CallTimeout;
  call.Reuse = true;
  this->PendingCall =
    gsFetch(this->Client, std::move(call),
            [this, done = std::move(done)](gsAnswer const& answer) {
              this->PendingCall = 0;
              done(answer);
            });
}

void gsVersionKeeper::Read(std::string const& fromKey)
{
  gsTime askedAt = gsLoop::Now();
  this->StartCall(this->Adapter.MakeReadCall(this->Settings.Platform.Address,
                                             this->Adapter.Tables.Versions,
                                             fromKey),
                  [this, askedAt](gsAnswer const& answer) {
                    this->OnReadCompleted(answer, askedAt);
                  });
}

void gsVersionKeeper::OnReadCompleted(gsAnswer const& answer, gsTime askedAt)
{
  gsTime now = gsLoop::Now();
  gsTableReadResult result = this->Adapter.ParseTableResponse(answer);
  if (!result.Page || !result.Page->ClockMillis) {
    gsLogLine("versions_read", gsLogLevel::Warn)
      .With("outcome", "again")
      .With("message",
            result.Page ? "The platform gives no time." : result.Detail);
    gsApplyVersionFailure(this->Store, now);
    return;
  }
  for (gsTableRow const& row : result.Page->Rows) {
    this->ReadRows[row.Key] = { row.Version, row.Value };
  }
  if (result.Page->HasMore && !result.Page->Rows.empty()) {
    this->Read(result.Page->Rows.back().Key + '\0');
    return;
  }
  // The time of the last page is not before that of any row.
  this->ApplyRows({ *result.Page->ClockMillis, askedAt, now });
}

void gsVersionKeeper::ApplyRows(gsStoreClock const& clock)
{
  gsApplyVersionRows(this->Store, this->Fleet, this->ReadRows, clock);
  for (std::string const& name : this->Store.Names) {
    gsStoredVersionRow const& row = this->Store.Rows[name];
    gsLogLine("versions_read",
              row.IsUnreadable ? gsLogLevel::Warn : gsLogLevel::Info)
      .With("name", name)
      .With("outcome", row.IsUnreadable ? "unreadable" : "read")
      .With("row_version", row.Revision)
      .With("versions", std::uint64_t(row.Versions.size()));
  }
}

void gsVersionKeeper::Confirm(gsTime timeLimit, std::function<void(bool)> done)
{
  if (this->Confirming.Call != 0) {
    this->Client.Cancel(this->Confirming.Call);
  }
  gsTime now = gsLoop::Now();
  this->Confirming = { 0, now, now + timeLimit, {}, std::move(done) };
  this->ReadConfirmation({});
}

/** Reads a page of the rows. */
void gsVersionKeeper::ReadConfirmation(std::string const& fromKey)
{
  gsCall call = this->Adapter.MakeReadCall(
    this->Settings.Platform.Address, this->Adapter.Tables.Versions, fromKey);
  call.TotalTimeout = std::max(this->Confirming.Deadline - gsLoop::Now(),
                               gsTime(gsMilliseconds(1)));
  call.ConnectTimeout = std::min(ConnectTimeout, call.TotalTimeout);
  call.Reuse = true;
  this->Confirming.Call =
    gsFetch(this->Client, std::move(call), [this](gsAnswer const& answer) {
      this->Confirming.Call = 0;
      bool succeeded = this->ApplyConfirmation(answer);
      if (this->Confirming.Call == 0) {
        std::exchange(this->Confirming.Done, nullptr)(succeeded);
      }
    });
}

/** Applies a page, and reads the next one if there is one. \return Whether all
 * rows are known. */
bool gsVersionKeeper::ApplyConfirmation(gsAnswer const& answer)
{
  gsTableReadResult result = this->Adapter.ParseTableResponse(answer);
  if (!result.Page || !result.Page->ClockMillis) {
    return false;
  }
  for (gsTableRow const& row : result.Page->Rows) {
    this->Confirming.Rows[row.Key] = { row.Version, row.Value };
  }
  if (result.Page->HasMore && !result.Page->Rows.empty()) {
    this->ReadConfirmation(result.Page->Rows.back().Key + '\0');
    return false;
  }
  gsMergeVersionRows(
    this->Store, this->Fleet, this->Confirming.Rows,
    { *result.Page->ClockMillis, this->Confirming.AskedAt, gsLoop::Now() });
  return true;
}

void gsVersionKeeper::Write(gsVersionStoreCall const& call)
{
  gsRowWrite write;
  write.Table = this->Adapter.Tables.Versions;
  write.Key = call.Name;
  write.ExpectedVersion = call.ExpectedRevision;
  write.Value = gsFormatStoredVersions(call.Versions);
  this->StartCall(
    this->Adapter.MakeWriteCall(this->Settings.Platform.Address, write),
    [this, write, call](gsAnswer const& answer) {
      this->OnWriteCompleted(this->Adapter.ParseWriteResponse(answer, write),
                             call);
    });
}

void gsVersionKeeper::OnWriteCompleted(gsRowWriteResult const& result,
                                       gsVersionStoreCall const& call)
{
  gsTime now = gsLoop::Now();
  char const* outcome = "again";
  if (result.Outcome == gsRowWriteResult::Kind::Written) {
    gsApplyVersionWrite(this->Store, call, result.Version);
    outcome = "written";
  } else if (result.Outcome == gsRowWriteResult::Kind::Conflict) {
    gsApplyVersionConflict(this->Store, now);
    outcome = "changed";
  } else {
    gsApplyVersionFailure(this->Store, now);
  }
  gsLogLine("versions_write")
    .With("name", call.Name)
    .With("outcome", outcome)
    .With("row_version", result.Version)
    .With("expected", call.ExpectedRevision)
    .With("versions", std::uint64_t(call.Versions.size()))
    .With("message", result.Detail);
}
