/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsQuarantineStore.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "gsLog.h"
#include "gsLoop.h"

namespace {

using Json = nlohmann::json;

constexpr gsTime ConnectTimeout = gsMilliseconds(300);
constexpr gsTime CallTimeout = gsMilliseconds(800);
/** Minimum interval between the starts of two reads, and between a failed
 * write and the next one. */
constexpr gsTime MinCallInterval = gsSeconds(2);
/** The table is read for this long after the last evidence against a contained
 * request. */
constexpr gsTime ReadTimeAfterEvidence = gsSeconds(10);
/** Delay after the start, by which hosts have determined the relay of their
 * hall. */
constexpr gsTime StartupDelay = gsMilliseconds(1000);
constexpr std::size_t MaxPendingRows = 64;
constexpr std::size_t MaxRows = 256; ///< Fits into one page of the platform.
constexpr std::size_t MaxRemovals = 16; ///< Per write.

std::int64_t WallClockMillis()
{
  return static_cast<std::int64_t>(gsWallMicros() / 1000);
}

std::int64_t Millis(gsTime time)
{
  return std::chrono::duration_cast<gsMilliseconds>(time).count();
}

std::string RowValue(gsSuspectRequest const& suspect, gsTime now)
{
  Json evidence = Json::array();
  for (gsCrashEvidence const& piece : suspect.Evidence) {
    evidence.push_back(
      { { "upstream", piece.UpstreamHash },
        { "verdict", static_cast<int>(piece.Verdict) },
        { "ran_ms", Millis(piece.RunTime) },
        { "at_ms", WallClockMillis() - Millis(now - piece.ObservedAt) } });
  }
  return Json{
    { "organisation", suspect.OrganisationHash }, { "evidence", evidence }
  }.dump();
}

/** Parses a piece of evidence. A time in the future, which a clock step can
 * cause, is replaced by the current time. */
gsCrashEvidence ParseEvidence(Json const& body, gsTime now)
{
  gsCrashEvidence piece;
  piece.UpstreamHash = body.at("upstream").get<std::uint32_t>();
  auto verdict = body.at("verdict").get<int>();
  piece.Verdict = static_cast<gsCrashVerdict>(
    std::clamp(verdict, static_cast<int>(gsCrashVerdict::Crashed),
               static_cast<int>(gsCrashVerdict::Survived)));
  piece.RunTime = gsMilliseconds(
    std::max<std::int64_t>(body.value("ran_ms", std::int64_t{ 0 }), 0));
  std::int64_t age = WallClockMillis() - body.at("at_ms").get<std::int64_t>();
  piece.ObservedAt = now - gsMilliseconds(std::max<std::int64_t>(age, 0));
  return piece;
}

} // namespace

gsQuarantineStore::gsQuarantineStore(gsHttpClient& client,
                                     gsAdapter const& adapter,
                                     gsSettings const& settings,
                                     gsCrashWatch& watch)
  : Client(client)
  , Adapter(adapter)
  , Settings(settings)
  , Watch(watch)
{
  this->Watch.SetQuarantinedCallback(
    [this](gsFingerprint const& fingerprint, bool ownEvidence) {
      this->OnQuarantined(fingerprint, ownEvidence);
    });
}

gsQuarantineStore::~gsQuarantineStore()
{
  if (this->PendingCall != 0) {
    this->Client.Cancel(this->PendingCall);
  }
}

void gsQuarantineStore::Start(gsHallCluster& cluster, gsTime now)
{
  this->Cluster = &cluster;
  this->StartedAt = now;
}

bool gsQuarantineStore::IsRelay(gsTime now) const
{
  return now - this->StartedAt >= StartupDelay &&
         gsHallRelay(this->Cluster->Members(), now) == this->Cluster->Self();
}

void gsQuarantineStore::OnQuarantined(gsFingerprint const& fingerprint,
                                      bool ownEvidence)
{
  if (this->PendingRows.size() < MaxPendingRows) {
    this->PendingRows.push_back({ fingerprint, ownEvidence });
  }
}

/**
 * The next request to be written by this host; null if there is none. A row is
 * written by the host whose evidence led to the quarantine, and also by
 * relays, since the combined evidence of several hosts may have led to it.
 */
gsFingerprint const* gsQuarantineStore::NextToWrite(gsTime now) const
{
  bool isRelay = this->IsRelay(now);
  auto next = std::find_if(this->PendingRows.begin(), this->PendingRows.end(),
                           [isRelay](PendingRow const& each) {
                             return each.HasOwnEvidence || isRelay;
                           });
  return next == this->PendingRows.end() ? nullptr : &next->Fingerprint;
}

/** Whether there is recent evidence against a contained request, which another
 * hall may already refuse. */
bool gsQuarantineStore::HasRecentContainment(gsTime now) const
{
  gsQuarantine const& table = this->Watch.SuspectTable();
  auto contained = [&table, now](auto const& each) {
    return now - each.second.ChangedAt < ReadTimeAfterEvidence &&
           gsSuspicionLevelOf(table, each.first, now) ==
             gsSuspicionLevel::Contained;
  };
  return std::any_of(table.Suspects.begin(), table.Suspects.end(), contained);
}

bool gsQuarantineStore::IsReadDue(gsTime now)
{
  bool isRelay = this->IsRelay(now);
  if (!isRelay || (this->LastReadAt.count() != 0 &&
                   now - this->LastReadAt < MinCallInterval)) {
    this->WasRelay = this->WasRelay && isRelay;
    return false;
  }
  bool becameRelay = !std::exchange(this->WasRelay, true);
  return becameRelay || this->HasRecentContainment(now);
}

void gsQuarantineStore::Tick(gsTime now)
{
  if (this->Cluster == nullptr || this->PendingCall != 0) {
    return;
  }
  gsFingerprint const* next = this->NextToWrite(now);
  if (next != nullptr && now - this->LastFailedWriteAt >= MinCallInterval) {
    this->Write(*next, 0, now);
  } else if (this->IsReadDue(now)) {
    this->LastReadAt = now;
    this->Read();
  }
}

void gsQuarantineStore::StartCall(gsCall call,
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

void gsQuarantineStore::Write(gsFingerprint fingerprint,
                              std::uint64_t expected, gsTime now)
{
  auto suspect = this->Watch.SuspectTable().Suspects.find(fingerprint);
  if (suspect == this->Watch.SuspectTable().Suspects.end()) {
    this->RemovePending(fingerprint);
    return;
  }
  gsRowWrite write;
  write.Table = this->Adapter.Tables.Quarantine;
  write.Key = gsFormatFingerprint(fingerprint);
  write.ExpectedVersion = expected;
  write.Value = RowValue(suspect->second, now);
  for (std::string const& key : this->ExpiredKeys) {
    if (write.KeysToRemove.size() < MaxRemovals && key != write.Key) {
      write.KeysToRemove.push_back(key);
    }
  }
  this->StartCall(
    this->Adapter.MakeWriteCall(this->Settings.Platform.Address, write),
    [this, fingerprint, write](gsAnswer const& answer) {
      this->OnWriteCompleted(fingerprint, answer, write);
    });
}

void gsQuarantineStore::OnWriteCompleted(gsFingerprint const& fingerprint,
                                         gsAnswer const& answer,
                                         gsRowWrite const& write)
{
  gsRowWriteResult result = this->Adapter.ParseWriteResponse(answer, write);
  bool isStored = result.Outcome == gsRowWriteResult::Kind::Written ||
                  result.Outcome == gsRowWriteResult::Kind::Conflict;
  gsLogLine("quarantine_write")
    .With("fingerprint", gsFormatFingerprint(fingerprint))
    .With("outcome", isStored ? "there" : "again")
    .With("row_version", result.Version)
    .With("message", result.Detail);
  gsTime now = gsLoop::Now();
  if (!isStored) {
    this->LastFailedWriteAt = now;
    return;
  }
  if (result.CurrentRow) {
    this->ApplyRow(*result.CurrentRow, now);
    if (this->ExpiredKeys.erase(write.Key) != 0) {
      // The row is left from an earlier quarantine and is replaced.
      this->Write(fingerprint, result.CurrentRow->Version, now);
      return;
    }
  }
  this->RemovePending(fingerprint);
  for (std::string const& key : write.KeysToRemove) {
    this->ExpiredKeys.erase(key);
  }
}

/** Removes a request from the pending ones, as it needs no write any more. */
void gsQuarantineStore::RemovePending(gsFingerprint fingerprint)
{
  this->PendingRows.erase(
    std::remove_if(this->PendingRows.begin(), this->PendingRows.end(),
                   [&fingerprint](PendingRow const& each) {
                     return each.Fingerprint == fingerprint;
                   }),
    this->PendingRows.end());
}

void gsQuarantineStore::Read()
{
  this->StartCall(
    this->Adapter.MakeReadCall(this->Settings.Platform.Address,
                               this->Adapter.Tables.Quarantine, {}),
    [this](gsAnswer const& answer) { this->OnReadCompleted(answer); });
}

void gsQuarantineStore::OnReadCompleted(gsAnswer const& answer)
{
  gsTableReadResult result = this->Adapter.ParseTableResponse(answer);
  if (!result.Page) {
    gsLogLine("quarantine_read", gsLogLevel::Warn)
      .With("message", result.Detail);
    // The table is read again, as after becoming relay.
    this->WasRelay = false;
    return;
  }
  gsTime now = gsLoop::Now();
  for (gsTableRow const& row : result.Page->Rows) {
    this->ApplyRow(row, now);
  }
  this->MarkExcessRows(result.Page->Rows);
  gsLogLine("quarantine_read")
    .With("rows", std::uint64_t(result.Page->Rows.size()))
    .With("over", std::uint64_t(this->ExpiredKeys.size()));
}

/** Applies the evidence in a row. The row is marked for removal if all of its
 * evidence has expired or if it is malformed. */
void gsQuarantineStore::ApplyRow(gsTableRow const& row, gsTime now)
{
  std::optional<gsFingerprint> fingerprint = gsParseFingerprint(row.Key);
  gsQuarantineSettings const& settings = this->Watch.SuspectTable().Settings;
  bool isExpired = true;
  try {
    Json body = Json::parse(row.Value);
    gsCrashReport report;
    report.Fingerprint = fingerprint.value_or(gsFingerprint{});
    report.OrganisationHash = body.at("organisation").get<std::uint32_t>();
    for (Json const& piece : body.at("evidence")) {
      report.Evidence = ParseEvidence(piece, now);
      isExpired =
        isExpired && now - report.Evidence.ObservedAt >=
                       gsEvidenceRetention(settings, report.Fingerprint);
      if (fingerprint) {
        this->Watch.ApplyReport(report, "platform", now);
      }
    }
  } catch (Json::exception const& error) {
    gsLogLine("quarantine_unreadable", gsLogLevel::Warn)
      .With("key", row.Key)
      .With("message", error.what());
  }
  if (isExpired || !fingerprint) {
    this->ExpiredKeys.insert(row.Key);
  }
}

/** Bounds the table: marks the oldest rows beyond MaxRows for removal. */
void gsQuarantineStore::MarkExcessRows(std::vector<gsTableRow> const& rows)
{
  std::vector<gsTableRow> oldest = rows;
  std::sort(oldest.begin(), oldest.end(),
            [](gsTableRow const& a, gsTableRow const& b) {
              return a.Version < b.Version;
            });
  for (std::size_t i = 0; i + MaxRows < oldest.size(); ++i) {
    this->ExpiredKeys.insert(oldest[i].Key);
  }
}
