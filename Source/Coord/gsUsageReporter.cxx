/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUsageReporter.h"

#include <algorithm>

namespace {

/** Whether a window may be committed: MinCommitDelay has passed and the counts
 * of all known halls have arrived, or MaxCommitDelay has passed. A new lease
 * holder also waits for TakeoverDelay, unless ReportDeadline is near. */
bool MayCommit(gsUsageReporter const& reporter, gsUsageProgress const& halls,
               std::uint64_t window, gsWallTime agreedNow, gsTime now)
{
  gsUsageReporterSettings const& settings = reporter.Settings;
  gsWallTime end = gsUsageWindowEnd(window, settings.WindowLength);
  if (agreedNow >= end + settings.MaxCommitDelay.count()) {
    return now - reporter.LeaseChangedAt >= settings.TakeoverDelay ||
           agreedNow >=
             end + (settings.ReportDeadline - settings.TakeoverDelay).count();
  }
  return agreedNow >= end + settings.MinCommitDelay.count() &&
         now - reporter.LeaseChangedAt >= settings.TakeoverDelay &&
         halls.ReceivedUpTo >= end;
}

/** The first window that can still be reported before ReportDeadline. */
std::uint64_t FirstReportableWindow(gsUsageReporter const& reporter,
                                    gsWallTime agreedNow)
{
  gsTime length = reporter.Settings.WindowLength;
  gsWallTime oldest = agreedNow - reporter.Settings.ReportDeadline.count();
  return gsUsageWindowOf(oldest, length);
}

/** The step that commits the next window, if it may be committed. */
std::optional<gsUsageStep> CommitStep(gsUsageReporter& reporter,
                                      gsUsageLedger const& ledger,
                                      gsUsageProgress const& halls,
                                      gsWallTime agreedNow, gsTime now)
{
  reporter.NextWindow =
    std::max(reporter.NextWindow, FirstReportableWindow(reporter, agreedNow));
  if (!MayCommit(reporter, halls, reporter.NextWindow, agreedNow, now)) {
    return std::nullopt;
  }
  gsUsageStep step;
  step.StepKind = gsUsageStep::Kind::CommitWindow;
  step.Window = reporter.NextWindow;
  step.Counts = gsUsageSum(ledger, reporter.NextWindow);
  for (auto const& [window, committed] : reporter.CommittedWindows) {
    if (window + gsUsageRetainedWindows(reporter.Settings) <
        reporter.NextWindow) {
      step.ExpiredWindows.push_back(window);
    }
  }
  return step;
}

/** The step that reports the first committed window that is not reported and
 * not late, if there is one. */
std::optional<gsUsageStep> ReportStep(gsUsageReporter& reporter,
                                      gsWallTime agreedNow)
{
  std::uint64_t oldest = FirstReportableWindow(reporter, agreedNow);
  for (auto& [window, committed] : reporter.CommittedWindows) {
    if (window >= oldest && !committed.Reported) {
      ++committed.Attempts;
      gsUsageStep step;
      step.StepKind = gsUsageStep::Kind::ReportWindow;
      step.Window = window;
      step.Counts = committed.Counts;
      return step;
    }
  }
  return std::nullopt;
}

/** Ends the step in progress as successful. */
void CompleteStep(gsUsageReporter& reporter)
{
  reporter.StepInProgress = false;
  reporter.RetryDelay = gsTime{};
  reporter.RetryAt = gsTime{};
}

} // namespace

void gsUsageSetLeaseHeld(gsUsageReporter& reporter, bool holdsLease,
                         gsTime now)
{
  if (holdsLease == reporter.HoldsLease) {
    return;
  }
  reporter.HoldsLease = holdsLease;
  reporter.LeaseChangedAt = now;
  reporter.RowsRead = false;
  reporter.StepInProgress = false;
  reporter.RetryAt = gsTime{};
}

std::optional<gsUsageStep> gsUsageTick(gsUsageReporter& reporter,
                                       gsUsageLedger const& ledger,
                                       gsUsageProgress const& halls,
                                       gsWallTime agreedNow, gsTime now)
{
  if (!reporter.HoldsLease || reporter.StepInProgress ||
      now < reporter.RetryAt) {
    return std::nullopt;
  }
  std::optional<gsUsageStep> step;
  if (!reporter.RowsRead) {
    step = gsUsageStep{};
  }
  if (!step) {
    step = ReportStep(reporter, agreedNow);
  }
  if (!step) {
    step = CommitStep(reporter, ledger, halls, agreedNow, now);
  }
  reporter.StepInProgress = step.has_value();
  return step;
}

void gsUsageRowsRead(gsUsageReporter& reporter, gsUsageWindows const& rows)
{
  CompleteStep(reporter);
  reporter.RowsRead = true;
  for (auto const& [window, counts] : rows) {
    reporter.NextWindow = std::max(reporter.NextWindow, window + 1);
    // Another host may have reported it; a second report has no effect.
    reporter.CommittedWindows[window] = { counts, false, 0 };
  }
}

void gsUsageWindowCommitted(gsUsageReporter& reporter, std::uint64_t window,
                            gsUsageCounts counts, bool own)
{
  CompleteStep(reporter);
  reporter.CommittedWindows[window] = { std::move(counts), false, 0 };
  reporter.NextWindow = std::max(reporter.NextWindow, window + 1);
  while (own && reporter.CommittedWindows.begin()->first +
                    gsUsageRetainedWindows(reporter.Settings) <
                  window) {
    // This host's write also removed the row of that window.
    reporter.CommittedWindows.erase(reporter.CommittedWindows.begin());
  }
}

void gsUsageWindowReported(gsUsageReporter& reporter, std::uint64_t window)
{
  CompleteStep(reporter);
  auto committed = reporter.CommittedWindows.find(window);
  if (committed != reporter.CommittedWindows.end() &&
      !committed->second.Reported) {
    committed->second.Reported = true;
    ++reporter.ReportedCount;
  }
}

void gsUsageStepFailed(gsUsageReporter& reporter, gsTime now)
{
  reporter.StepInProgress = false;
  reporter.RetryDelay =
    std::clamp(reporter.RetryDelay * 2, reporter.Settings.MinRetryDelay,
               reporter.Settings.MaxRetryDelay);
  reporter.RetryAt = now + reporter.RetryDelay;
}

std::uint64_t gsUsageRetainedWindows(gsUsageReporterSettings const& settings)
{
  return static_cast<std::uint64_t>(
    std::max<std::int64_t>(1, settings.RowRetention / settings.WindowLength));
}

std::vector<std::uint64_t> gsUsageUnreportedWindows(
  gsUsageReporter const& reporter)
{
  std::vector<std::uint64_t> unreported;
  for (auto const& [window, committed] : reporter.CommittedWindows) {
    if (!committed.Reported) {
      unreported.push_back(window);
    }
  }
  return unreported;
}
