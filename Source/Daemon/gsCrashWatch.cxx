/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsCrashWatch.h"

#include <algorithm>
#include <utility>

#include "gsLog.h"
#include "gsRendezvous.h"

namespace {

/**
 * Bytes that an upstream sent before it crashed arrive within this time of the
 * loss of the connection; later ones prove that it is alive.
 */
constexpr gsTime MaxTransitTime = gsMilliseconds(250);
/**
 * A crashed upstream takes longer than this to restart, so that bytes received
 * earlier come from the same process.
 */
constexpr gsTime CrashCheckTimeout = gsMilliseconds(1500);
/**
 * Timeout of the check after a complete answer; longer, because an upstream
 * without other requests may send nothing for a while.
 */
constexpr gsTime SurvivalCheckTimeout = gsSeconds(10);
constexpr std::size_t MaxPendingReports = 4096;
/**
 * Connections to a crashed upstream break within this time of each other, so
 * that one check covers their requests.
 */
constexpr gsTime CrashSpread = gsMilliseconds(100);
/** Limit on upstreams whose received evidence is logged per interval. */
constexpr std::size_t MaxUnlogged = 256;
/** Interval between cleanups, and retention of the times of crashes. */
constexpr gsTime CleanupInterval = gsSeconds(10);
/** An answer that has been written for this time is a success with the parts
 * of its prompt: these are read before it begins. */
constexpr gsTime MinWritingTime = gsMilliseconds(500);
/** Parts of one request that are suspected for one crash, those without a
 * success first. */
constexpr std::size_t MaxSuspectedParts = 64;
constexpr std::size_t MaxSuccesses = 8192;
/** Delay of the first probe of a quarantined part after its last crash, and
 * factor from one probe to the next. */
constexpr gsTime FirstProbeDelay = gsSeconds(3);
constexpr int ProbeBackoffFactor = 4;
constexpr unsigned MaxProbeBackoffs = 8;
/** Maximum Retry-After of a request with a quarantined part. */
constexpr gsTime MaxPartRetryAfter = std::chrono::minutes(10);

bool IsSuccessStatus(unsigned status)
{
  return status / 100 == 2;
}

std::uint32_t OrganisationHash(std::string const& organisation)
{
  return static_cast<std::uint32_t>(gsHashText(organisation));
}

gsCrashReport ReportOf(gsRoutedRequest& request, gsAttempt const& attempt,
                       gsTime now)
{
  gsCrashReport report;
  report.Fingerprint = gsRequestFingerprint(request);
  report.OrganisationHash = OrganisationHash(request.Organisation);
  report.Evidence.UpstreamHash = gsIncarnationHash(attempt.Upstream);
  report.Evidence.ObservedAt = now;
  report.Evidence.RunTime = now - attempt.SentAt;
  return report;
}

} // namespace

gsCrashWatch::gsCrashWatch(gsFleet const& fleet, gsMetrics& metrics)
  : Fleet(fleet)
  , Metrics(metrics)
{
}

void gsCrashWatch::RecordAttemptEnd(gsRoutedRequest& request,
                                    gsAttempt const& attempt,
                                    gsAttemptResult const& result, gsTime now)
{
  if (result.IsUpstreamLost && this->CrashedUnderRejections(attempt, now)) {
    gsLogLine("crash_not_counted")
      .With("request", request.Caller.AttemptId)
      .With("upstream", attempt.Upstream.Id)
      .With("cause", "rejections");
  } else if (result.IsUpstreamLost && !this->HadCrashedBefore(attempt)) {
    this->RecordCrash(request, attempt, now);
  } else if (result.Outcome == gsAttemptOutcome::Complete) {
    if (IsSuccessStatus(result.Status)) {
      this->RecordSuccess(request, attempt, now);
    }
    if (this->RequestSuspicion(request, now) != gsSuspicionLevel::None) {
      this->AddPendingCheck(ReportOf(request, attempt, now),
                            gsCrashVerdict::Survived);
    }
  }
}

void gsCrashWatch::RecordProgress(gsRoutedRequest& request, gsAttempt& attempt,
                                  gsTime now)
{
  bool isDue = !attempt.IsSuccessRecorded && attempt.ForwardedTo.empty() &&
               attempt.FirstByteAt.count() != 0 &&
               now - attempt.FirstByteAt >= MinWritingTime;
  if (isDue) {
    attempt.IsSuccessRecorded = true;
    this->RecordSuccess(request, attempt, now);
  }
}

/** Records that the parts of a request's prompt were used with success. Other
 * hosts are told of parts that are suspected. */
void gsCrashWatch::RecordSuccess(gsRoutedRequest& request,
                                 gsAttempt const& attempt, gsTime now)
{
  std::uint32_t upstream = gsIncarnationHash(attempt.Upstream);
  if (this->CrashedAt.count(upstream) != 0) {
    return;
  }
  for (gsFingerprint const& part : gsSharedPartFingerprints(request)) {
    this->RememberSuccess(part, now);
    bool isSuspected = this->Quarantine.PartCount > 0 &&
                       gsSuspicionLevelOf(this->Quarantine, part, now) !=
                         gsSuspicionLevel::None;
    if (isSuspected) {
      gsCrashReport report = ReportOf(request, attempt, now);
      report.Fingerprint = part;
      report.Evidence.Verdict = gsCrashVerdict::Survived;
      this->AddOwn(report, now);
      this->ProbesOf.erase(part);
    }
  }
}

void gsCrashWatch::RememberSuccess(gsFingerprint const& part, gsTime now)
{
  if (this->Successes.size() >= MaxSuccesses &&
      this->Successes.count(part) == 0) {
    // Any half: those in use are added again by their next success.
    std::size_t excess = this->Successes.size() / 2;
    auto entry = this->Successes.begin();
    for (std::size_t i = 0; i < excess; ++i) {
      entry = this->Successes.erase(entry);
    }
  }
  this->Successes[part] = now;
}

/** Suspects the parts of the prompt of a request that was in progress at an
 * upstream that crashed, unless its answer had been written for a while. */
void gsCrashWatch::RecordPartCrash(gsRoutedRequest& request,
                                   gsAttempt const& attempt, gsTime now)
{
  bool wasWriting = attempt.FirstByteAt.count() != 0 &&
                    now - attempt.FirstByteAt >= MinWritingTime;
  if (wasWriting) {
    return;
  }
  std::vector<gsFingerprint> parts = gsSharedPartFingerprints(request);
  std::stable_partition(parts.begin(), parts.end(),
                        [this](gsFingerprint const& part) {
                          return this->Successes.count(part) == 0;
                        });
  parts.resize(std::min(parts.size(), MaxSuspectedParts));
  for (gsFingerprint const& part : parts) {
    gsCrashReport report = ReportOf(request, attempt, now);
    report.Fingerprint = part;
    this->AddOwn(report, now);
    auto suspect = this->Quarantine.Suspects.find(part);
    if (suspect == this->Quarantine.Suspects.end()) {
      continue;
    }
    gsLogLine("crash_report_part")
      .With("request", request.Caller.AttemptId)
      .With("fingerprint", gsFormatFingerprint(part))
      .With("organisation", request.Organisation)
      .With("upstream", attempt.Upstream.Id)
      .With("crashes", std::uint64_t(gsCrashCount(suspect->second)))
      .With("used_with_success", this->Successes.count(part) != 0)
      .With("treated", gsSuspicionLevelName(
                         gsSuspicionLevelOf(this->Quarantine, part, now)));
  }
}

void gsCrashWatch::RecordCrash(gsRoutedRequest& request,
                               gsAttempt const& attempt, gsTime now)
{
  gsCrashReport report = ReportOf(request, attempt, now);
  this->Metrics.Increment("gradescale_crash_reports_total");
  this->AddOwn(report, now);
  this->RecordPartCrash(request, attempt, now);
  auto found = this->Quarantine.Suspects.find(report.Fingerprint);
  if (found == this->Quarantine.Suspects.end()) {
    return; // Evicted by its own parts at a bound of the table.
  }
  gsSuspectRequest const& suspect = found->second;
  gsLogLine("crash_report")
    .With("request", request.Caller.AttemptId)
    .With("fingerprint", gsFormatFingerprint(report.Fingerprint))
    .With("organisation", request.Organisation)
    .With("upstream", attempt.Upstream.Id)
    .With("born", attempt.Upstream.StartedAt)
    .With("ran_ms", report.Evidence.RunTime)
    .With("crashes", std::uint64_t(gsCrashCount(suspect)))
    .With("in_sequence", std::uint64_t(gsSequentialCrashCount(suspect)))
    .With("treated",
          gsSuspicionLevelName(this->SuspicionLevelOf(request, now)));
}

/**
 * Merges evidence and schedules what follows from it: a check of whether the
 * upstream is alive after a crash, and a call to QuarantinedCallback when the
 * quarantine of the request begins. \return Whether the evidence
 * is new.
 */
bool gsCrashWatch::Merge(gsCrashReport const& report, bool isOwn, gsTime now)
{
  gsSuspicionLevel before =
    gsSuspicionLevelOf(this->Quarantine, report.Fingerprint, now);
  if (!gsQuarantineMergeReport(this->Quarantine, report, now)) {
    return false;
  }
  if (report.Evidence.Verdict == gsCrashVerdict::Crashed) {
    this->AddPendingCheck(report, gsCrashVerdict::Alive);
    this->CrashedAt.emplace(report.Evidence.UpstreamHash,
                            report.Evidence.ObservedAt);
  } else if (!gsIsPartFingerprint(report.Fingerprint) ||
             report.Evidence.Verdict == gsCrashVerdict::Alive) {
    this->CrashedAt.erase(report.Evidence.UpstreamHash);
  }
  gsSuspicionLevel after =
    gsSuspicionLevelOf(this->Quarantine, report.Fingerprint, now);
  if (after != before &&
      std::max(after, before) >= gsSuspicionLevel::Contained) {
    ++this->Restrictions;
  }
  bool isNewlyQuarantined =
    after == gsSuspicionLevel::Quarantined && after != before;
  if (isNewlyQuarantined && this->QuarantinedCallback) {
    this->QuarantinedCallback(report.Fingerprint, isOwn);
  }
  return true;
}

/**
 * Whether the upstream had crashed before the attempt was sent, so that it
 * cannot have run the request.
 */
bool gsCrashWatch::HadCrashedBefore(gsAttempt const& attempt) const
{
  auto crashed = this->CrashedAt.find(gsIncarnationHash(attempt.Upstream));
  return crashed != this->CrashedAt.end() && attempt.Status == 0 &&
         attempt.SentAt > crashed->second;
}

/** Whether the upstream has rejected attempts shortly before, and states that
 * it crashes under too many rejections. */
bool gsCrashWatch::CrashedUnderRejections(gsAttempt const& attempt,
                                          gsTime now) const
{
  gsSlotRoom const* room =
    gsFindRoom(this->Fleet.SlotLimits, gsIncarnationHash(attempt.Upstream));
  return room != nullptr && gsHasRecentRejection(*room, now);
}

bool gsCrashWatch::ApplyReport(gsCrashReport const& report,
                               std::string_view host, gsTime now)
{
  if (!this->Merge(report, false, now)) {
    return false;
  }
  std::uint32_t upstream = report.Evidence.UpstreamHash;
  if (this->Unlogged.size() >= MaxUnlogged &&
      this->Unlogged.count(upstream) == 0) {
    this->LogReceived(now);
  }
  Received& received = this->Unlogged[upstream];
  if (received.Evidence.Requests() == 0) {
    received.From = host;
  }
  gsAddReceived(received.Evidence, report,
                gsSuspicionLevelOf(this->Quarantine, report.Fingerprint, now));
  return true;
}

void gsCrashWatch::LogReceived(gsTime now)
{
  for (auto const& [upstream, received] : this->Unlogged) {
    gsReceivedEvidence const& evidence = received.Evidence;
    gsLogLine line("crash_reports_received");
    auto row = this->Fleet.ByHash.find(upstream);
    if (row != this->Fleet.ByHash.end()) {
      gsListedUpstream const& listed = this->Fleet.Rows[row->second].Listed;
      line.With("upstream", listed.Id).With("born", listed.StartedAt);
    }
    line.With("upstream_hash", std::uint64_t(upstream))
      .With("from", received.From)
      .With("requests", std::uint64_t(evidence.Requests()))
      .With("crashed", std::uint64_t(evidence.Crashed))
      .With("alive", std::uint64_t(evidence.Alive))
      .With("survived", std::uint64_t(evidence.Survived))
      .With("age_ms", now - evidence.FirstObservedAt)
      .With("treated", gsSuspicionLevelName(evidence.Suspicion))
      .With("fingerprint", gsFormatFingerprint(evidence.Strictest));
  }
  this->Unlogged.clear();
}

/** Merges evidence found by this host and reports it if it is new. */
void gsCrashWatch::AddOwn(gsCrashReport const& report, gsTime now)
{
  if (this->Merge(report, true, now) && this->EvidenceCallback) {
    this->EvidenceCallback(report);
  }
}

/** Adds a report to a check of its upstream, or to a new one. */
void gsCrashWatch::AddPendingCheck(gsCrashReport const& report,
                                   gsCrashVerdict verdictIfAlive)
{
  if (this->PendingReports >= MaxPendingReports) {
    return;
  }
  ++this->PendingReports;
  gsTime observedAt = report.Evidence.ObservedAt;
  std::vector<PendingCheck>& checks =
    this->PendingChecks[report.Evidence.UpstreamHash];
  auto check = std::find_if(
    checks.begin(), checks.end(), [&](PendingCheck const& candidate) {
      return candidate.VerdictIfAlive == verdictIfAlive &&
             observedAt >= candidate.FirstObservedAt &&
             observedAt - candidate.FirstObservedAt < CrashSpread;
    });
  if (check == checks.end()) {
    check = checks.insert(checks.end(),
                          { verdictIfAlive, observedAt, observedAt, {} });
  }
  check->LastObservedAt = std::max(check->LastObservedAt, observedAt);
  check->Reports.push_back(report);
}

/**
 * Records evidence if the upstream has sent something since the events that
 * are checked. \return Whether the check is complete, which includes its
 * timeout and the removal of the upstream.
 */
bool gsCrashWatch::CompleteCheck(std::uint32_t upstream,
                                 PendingCheck const& check, gsTime now)
{
  auto row = this->Fleet.ByHash.find(upstream);
  gsTime timeout = check.VerdictIfAlive == gsCrashVerdict::Survived
                     ? SurvivalCheckTimeout
                     : CrashCheckTimeout;
  if (row == this->Fleet.ByHash.end() ||
      now - check.LastObservedAt > timeout) {
    return true;
  }
  if (this->Fleet.Rows[row->second].LastReceivedAt - check.LastObservedAt <
      MaxTransitTime) {
    return false;
  }
  for (gsCrashReport report : check.Reports) {
    report.Evidence.Verdict = check.VerdictIfAlive;
    this->AddOwn(report, now);
  }
  return true;
}

void gsCrashWatch::ProcessPendingChecks(gsTime now)
{
  // Checks that are added during this loop are processed by the next sweep.
  CheckMap pending = std::exchange(this->PendingChecks, {});
  this->PendingReports = 0;
  for (auto& [upstream, checks] : pending) {
    for (PendingCheck& check : checks) {
      if (this->CompleteCheck(upstream, check, now)) {
        continue;
      }
      this->PendingReports += check.Reports.size();
      this->PendingChecks[upstream].push_back(std::move(check));
    }
  }
  if (now - this->CleanedUpAt >= CleanupInterval) {
    this->CleanedUpAt = now;
    gsQuarantineRemoveExpired(this->Quarantine, now);
    for (auto each = this->CrashedAt.begin(); each != this->CrashedAt.end();) {
      bool isExpired = now - each->second >= CleanupInterval;
      each = isExpired ? this->CrashedAt.erase(each) : std::next(each);
    }
  }
}

gsSuspicionLevel gsCrashWatch::SuspicionLevelOf(gsRoutedRequest& request,
                                                gsTime now) const
{
  gsSuspicionLevel level = this->RequestSuspicion(request, now);
  if (this->HasSuspectParts(request)) {
    for (gsFingerprint const& part : gsSharedPartFingerprints(request)) {
      level = std::max(level, this->PartSuspicion(request, part, now));
    }
  }
  return level;
}

/** Suspicion of the request as a whole. */
gsSuspicionLevel gsCrashWatch::RequestSuspicion(gsRoutedRequest& request,
                                                gsTime now) const
{
  bool hasSuspects =
    !this->Quarantine.Suspects.empty() &&
    gsQuarantineHasSuspects(this->Quarantine,
                            OrganisationHash(request.Organisation));
  return hasSuspects ? gsSuspicionLevelOf(this->Quarantine,
                                          gsRequestFingerprint(request), now)
                     : gsSuspicionLevel::None;
}

bool gsCrashWatch::HasSuspectParts(gsRoutedRequest& request) const
{
  return this->Quarantine.PartCount > 0 &&
         request.Caller.PromptParts.size() > 1;
}

/** How a request is treated for one part of its prompt. */
gsSuspicionLevel gsCrashWatch::PartSuspicion(gsRoutedRequest& request,
                                             gsFingerprint const& part,
                                             gsTime now) const
{
  gsSuspicionLevel level = gsSuspicionLevelOf(this->Quarantine, part, now);
  bool hadSuccess = this->Successes.count(part) != 0;
  bool isUnlikely =
    level == gsSuspicionLevel::Contained ||
    (level == gsSuspicionLevel::Quarantined &&
     gsIsExplainedByOtherPart(this->Quarantine, part,
                              gsSharedPartFingerprints(request), now));
  if (isUnlikely) {
    return hadSuccess ? gsSuspicionLevel::Suspected
                      : gsSuspicionLevel::Contained;
  }
  bool mayProbe = level == gsSuspicionLevel::Quarantined && hadSuccess &&
                  (request.IsProbe || this->IsProbeDue(part, now));
  return mayProbe ? gsSuspicionLevel::Contained : level;
}

/** Whether one request with a quarantined part may run, which had been used
 * with success before. All such requests are refused, so that nothing else
 * would show that the part is sound. */
bool gsCrashWatch::IsProbeDue(gsFingerprint const& part, gsTime now) const
{
  if (this->Prober && !this->Prober(part)) {
    return false;
  }
  Probes probes;
  auto found = this->ProbesOf.find(part);
  if (found != this->ProbesOf.end()) {
    probes = found->second;
  }
  gsTime delay = FirstProbeDelay;
  for (unsigned i = 0; i < std::min(probes.Count, MaxProbeBackoffs); ++i) {
    delay *= ProbeBackoffFactor;
  }
  gsTime last = std::max(gsLastCrashAt(this->Quarantine, part), probes.LastAt);
  return now - last >= delay;
}

bool gsCrashWatch::TryBeginContained(gsRoutedRequest& request, gsTime now)
{
  if (!request.ContainedFor.empty()) {
    return true;
  }
  std::vector<gsFingerprint> suspects;
  std::vector<gsFingerprint> probed;
  if (this->RequestSuspicion(request, now) == gsSuspicionLevel::Contained) {
    suspects.push_back(gsRequestFingerprint(request));
  }
  if (this->HasSuspectParts(request)) {
    for (gsFingerprint const& part : gsSharedPartFingerprints(request)) {
      if (this->PartSuspicion(request, part, now) ==
          gsSuspicionLevel::Contained) {
        suspects.push_back(part);
      }
      bool isProbed = gsSuspicionLevelOf(this->Quarantine, part, now) ==
                        gsSuspicionLevel::Quarantined &&
                      this->Successes.count(part) != 0;
      if (isProbed) {
        probed.push_back(part);
      }
    }
  }
  bool isRunning = std::any_of(
    suspects.begin(), suspects.end(), [this](gsFingerprint const& each) {
      return this->RunningContained.count(each) != 0;
    });
  if (isRunning) {
    return false;
  }
  this->RunningContained.insert(suspects.begin(), suspects.end());
  request.ContainedFor = std::move(suspects);
  request.IsProbe = !probed.empty();
  for (gsFingerprint const& part : probed) {
    Probes& probes = this->ProbesOf[part];
    ++probes.Count;
    probes.LastAt = now;
    gsLogLine("quarantine_probe")
      .With("request", request.Caller.AttemptId)
      .With("fingerprint", gsFormatFingerprint(part))
      .With("probes", std::uint64_t(probes.Count));
  }
  return true;
}

void gsCrashWatch::EndContained(gsRoutedRequest& request)
{
  for (gsFingerprint const& suspect :
       std::exchange(request.ContainedFor, {})) {
    this->RunningContained.erase(suspect);
  }
}

gsTime gsCrashWatch::QuarantineTimeLeft(gsRoutedRequest& request,
                                        gsTime now) const
{
  gsTime left =
    gsQuarantineTimeLeft(this->Quarantine, gsRequestFingerprint(request), now);
  if (this->HasSuspectParts(request)) {
    for (gsFingerprint const& part : gsSharedPartFingerprints(request)) {
      left = std::max(
        left, std::min(gsQuarantineTimeLeft(this->Quarantine, part, now),
                       MaxPartRetryAfter));
    }
  }
  return left;
}

bool gsCrashWatch::ClearSuspicion(gsFingerprint const& fingerprint, gsTime now)
{
  auto found = this->Quarantine.Suspects.find(fingerprint);
  if (found == this->Quarantine.Suspects.end()) {
    return false;
  }
  gsLogLine("quarantine_cleared")
    .With("fingerprint", gsFormatFingerprint(fingerprint))
    .With("crashes", std::uint64_t(gsCrashCount(found->second)));
  gsCrashReport report;
  report.Fingerprint = fingerprint;
  report.OrganisationHash = found->second.OrganisationHash;
  // Recorded as an upstream that survived the request, which outweighs three
  // crashes.
  report.Evidence = {
    static_cast<std::uint32_t>(now.count()), gsCrashVerdict::Survived, now, {}
  };
  this->AddOwn(report, now);
  return true;
}

nlohmann::json gsCrashWatch::Status(gsTime now) const
{
  auto millis = [](gsTime time) {
    return std::chrono::duration_cast<gsMilliseconds>(time).count();
  };
  nlohmann::json rows = nlohmann::json::array();
  for (gsFingerprint const& fingerprint :
       gsQuarantineRestrictedRequests(this->Quarantine, now)) {
    gsSuspectRequest const& suspect =
      this->Quarantine.Suspects.at(fingerprint);
    bool isPart = gsIsPartFingerprint(fingerprint);
    rows.push_back({ { "fingerprint", gsFormatFingerprint(fingerprint) },
                     { "kind", isPart ? "part" : "request" },
                     { "treated", gsSuspicionLevelName(gsSuspicionLevelOf(
                                    this->Quarantine, fingerprint, now)) },
                     { "crashes", gsCrashCount(suspect) },
                     { "changed_ms", millis(now - suspect.ChangedAt) },
                     { "left_ms", millis(gsQuarantineTimeLeft(
                                    this->Quarantine, fingerprint, now)) } });
  }
  return rows;
}
