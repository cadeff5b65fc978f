/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUsageReporter.h"

#include <algorithm>

namespace {

/** Whether the counts of a window are all there, or need not be waited for. */
bool MayFix(gsUsageReporter const& reporter, gsUsageReady const& halls,
            std::uint64_t window, gsWallTime trueNow, gsTime now)
{
  gsUsageReporterSettings const& settings = reporter.Settings;
  gsWallTime end = gsUsageWindowEnd(window, settings.Window);
  if (trueNow >= end + settings.Patience.count()) {
    return now - reporter.HoldsSince >= settings.Gather ||
           trueNow >= end + (settings.Late - settings.Gather).count();
  }
  return trueNow >= end + settings.Settle.count() &&
         now - reporter.HoldsSince >= settings.Gather && halls.ToldUpTo >= end;
}

/** The first window that is worth to be reported. */
std::uint64_t FirstInTime(gsUsageReporter const& reporter, gsWallTime trueNow)
{
  gsTime length = reporter.Settings.Window;
  gsWallTime oldest = trueNow - reporter.Settings.Late.count();
  return gsUsageWindowOf(oldest, length);
}

std::optional<gsUsageStep> FixStep(gsUsageReporter& reporter,
                                   gsUsageLedger const& ledger,
                                   gsUsageReady const& halls,
                                   gsWallTime trueNow, gsTime now)
{
  reporter.Next = std::max(reporter.Next, FirstInTime(reporter, trueNow));
  if (!MayFix(reporter, halls, reporter.Next, trueNow, now)) {
    return std::nullopt;
  }
  gsUsageStep step;
  step.Is = gsUsageStep::Kind::Fix;
  step.Window = reporter.Next;
  step.Counts = gsUsageSum(ledger, reporter.Next);
  for (auto const& [window, fixed] : reporter.Fixed) {
    if (window + gsUsageKept(reporter.Settings) < reporter.Next) {
      step.Remove.push_back(window);
    }
  }
  return step;
}

std::optional<gsUsageStep> SendStep(gsUsageReporter& reporter,
                                    gsWallTime trueNow)
{
  std::uint64_t oldest = FirstInTime(reporter, trueNow);
  for (auto& [window, fixed] : reporter.Fixed) {
    if (window >= oldest && !fixed.Done) {
      ++fixed.Tries;
      gsUsageStep step;
      step.Is = gsUsageStep::Kind::Send;
      step.Window = window;
      step.Counts = fixed.Counts;
      return step;
    }
  }
  return std::nullopt;
}

void Finish(gsUsageReporter& reporter)
{
  reporter.Busy = false;
  reporter.Delay = gsTime{};
  reporter.NextTry = gsTime{};
}

} // namespace

void gsUsageHold(gsUsageReporter& reporter, bool holds, gsTime now)
{
  if (holds == reporter.Holds) {
    return;
  }
  reporter.Holds = holds;
  reporter.HoldsSince = now;
  reporter.Ready = false;
  reporter.Busy = false;
  reporter.NextTry = gsTime{};
}

std::optional<gsUsageStep> gsUsageTick(gsUsageReporter& reporter,
                                       gsUsageLedger const& ledger,
                                       gsUsageReady const& halls,
                                       gsWallTime trueNow, gsTime now)
{
  if (!reporter.Holds || reporter.Busy || now < reporter.NextTry) {
    return std::nullopt;
  }
  std::optional<gsUsageStep> step;
  if (!reporter.Ready) {
    step = gsUsageStep{};
  }
  if (!step) {
    step = SendStep(reporter, trueNow);
  }
  if (!step) {
    step = FixStep(reporter, ledger, halls, trueNow, now);
  }
  reporter.Busy = step.has_value();
  return step;
}

void gsUsageRead(gsUsageReporter& reporter, gsUsageWindows const& rows)
{
  Finish(reporter);
  reporter.Ready = true;
  for (auto const& [window, counts] : rows) {
    reporter.Next = std::max(reporter.Next, window + 1);
    // Reporting a window again changes nothing.
    reporter.Fixed[window] = { counts, false, 0 };
  }
}

void gsUsageFixed(gsUsageReporter& reporter, std::uint64_t window,
                  gsUsageCounts counts, bool own)
{
  Finish(reporter);
  reporter.Fixed[window] = { std::move(counts), false, 0 };
  reporter.Next = std::max(reporter.Next, window + 1);
  while (own &&
         reporter.Fixed.begin()->first + gsUsageKept(reporter.Settings) <
           window) {
    // Its row was removed with the same write.
    reporter.Fixed.erase(reporter.Fixed.begin());
  }
}

void gsUsageSent(gsUsageReporter& reporter, std::uint64_t window)
{
  Finish(reporter);
  auto fixed = reporter.Fixed.find(window);
  if (fixed != reporter.Fixed.end() && !fixed->second.Done) {
    fixed->second.Done = true;
    ++reporter.DoneCount;
  }
}

void gsUsageFailed(gsUsageReporter& reporter, gsTime now)
{
  reporter.Busy = false;
  reporter.Delay = std::clamp(reporter.Delay * 2, reporter.Settings.RetryFirst,
                              reporter.Settings.RetryMost);
  reporter.NextTry = now + reporter.Delay;
}

std::uint64_t gsUsageKept(gsUsageReporterSettings const& settings)
{
  return static_cast<std::uint64_t>(
    std::max<std::int64_t>(1, settings.Memory / settings.Window));
}

std::vector<std::uint64_t> gsUsageOpen(gsUsageReporter const& reporter)
{
  std::vector<std::uint64_t> open;
  for (auto const& [window, fixed] : reporter.Fixed) {
    if (!fixed.Done) {
      open.push_back(window);
    }
  }
  return open;
}
