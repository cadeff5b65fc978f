/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Merging of usage counts, agreement of the hosts' clocks, and the reports of
 * windows by successive lease holders.
 */
#include <gtest/gtest.h>

#include "gsClockAgreement.h"
#include "gsUsage.h"
#include "gsUsageReporter.h"

namespace {

constexpr gsTime Length = gsSeconds(5);
constexpr gsWallTime Second = 1'000'000;

/** Counts of one window with one organisation. */
gsUsageWindows OneWindow(std::uint64_t window, std::uint64_t count)
{
  return { { window, { { "club", count } } } };
}

} // namespace

TEST(Usage, RepeatedAndLateUpdatesHaveNoEffect)
{
  gsUsageLedger ledger;
  gsUsageMerge(ledger, "a#1", OneWindow(7, 3));
  gsUsageMerge(ledger, "a#1", OneWindow(7, 5));
  gsUsageMerge(ledger, "a#1", OneWindow(7, 3));
  gsUsageMerge(ledger, "b#1", OneWindow(7, 2));
  // The host has restarted. Its new process counts from zero as a separate
  // source, and both counts are added.
  gsUsageMerge(ledger, "a#2", OneWindow(7, 1));
  EXPECT_EQ(gsUsageSum(ledger, 7), (gsUsageCounts{ { "club", 8 } }));
  gsUsagePurge(ledger, 8);
  EXPECT_TRUE(gsUsageSum(ledger, 7).empty());
}

TEST(Usage, UpdateHasChangedCountsAndAllOncePerRefreshInterval)
{
  gsUsageSentCounts sent;
  gsTime now = gsSeconds(100);
  gsTime refreshInterval = gsSeconds(2);
  EXPECT_EQ(gsUsageTakeUpdate(OneWindow(7, 3), sent, refreshInterval, now),
            OneWindow(7, 3));
  EXPECT_TRUE(
    gsUsageTakeUpdate(OneWindow(7, 3), sent, refreshInterval, now).empty());
  EXPECT_EQ(gsUsageTakeUpdate(OneWindow(7, 4), sent, refreshInterval, now),
            OneWindow(7, 4));
  EXPECT_EQ(gsUsageTakeUpdate(OneWindow(7, 4), sent, refreshInterval,
                              now + refreshInterval),
            OneWindow(7, 4));
}

TEST(Usage, WindowsAreNumberedFrom1970)
{
  EXPECT_EQ(gsUsageWindowOf(353445120 * 5 * Second, Length), 353445120U);
  EXPECT_EQ(gsUsageWindowOf(353445120 * 5 * Second - 1, Length), 353445119U);
  EXPECT_EQ(gsUsageWindowEnd(2, Length), 15 * Second);
}

TEST(ClockAgreement, MedianClockIsUsedWhenOthersAreOff)
{
  gsClockAgreement clocks;
  gsTime now = gsSeconds(100);
  gsWallTime base = 1'796'260'000 * Second;
  for (int i = 0; i < 20; ++i) {
    // Six of the twenty clocks are 4 s fast and two are 3 s slow.
    gsWallTime offset = i < 6 ? 4 * Second : i < 8 ? -3 * Second : i * 100;
    gsClockReceive(clocks, "h" + std::to_string(i), base + offset, false, now);
  }
  gsWallTime agreed = gsClockNow(clocks, base + 9 * Second, true, now);
  EXPECT_NEAR(static_cast<double>(agreed - base), 0, 3000);
  // The agreed time advances with the steady clock.
  EXPECT_EQ(gsClockNow(clocks, base + 12 * Second, true, now + gsSeconds(3)),
            agreed + 3 * Second);
}

TEST(ClockAgreement, HostsUseTheMedianOfTheirCoordinators)
{
  gsClockAgreement clocks;
  gsTime now = gsSeconds(100);
  gsWallTime base = 1'796'260'000 * Second;
  EXPECT_EQ(gsClockNow(clocks, base, false, now), base);
  gsClockReceive(clocks, "a", base + 10, true, now);
  gsClockReceive(clocks, "b", base + 20, true, now);
  gsClockReceive(clocks, "c", base + 30, true, now);
  EXPECT_EQ(gsClockNow(clocks, base - 7 * Second, false, now), base + 20);
  gsClockExpire(clocks, now + clocks.ClockLifetime + gsMilliseconds(1));
  EXPECT_TRUE(clocks.Clocks.empty());
}

namespace {

/** The store's rows of windows, and the reports that the platform has
 * received. */
struct Services
{
  std::map<std::uint64_t, gsUsageCounts> Rows;
  std::map<std::uint64_t, std::vector<gsUsageCounts>> Reports;
};

/** Executes one step of the lease holder. If the response is lost, the step is
 * executed but fails for the holder. */
void RunStep(gsUsageReporter& reporter, gsUsageLedger const& ledger,
             Services& services, gsWallTime agreedNow, gsTime now,
             bool responseLost)
{
  gsUsageProgress halls{ agreedNow };
  std::optional<gsUsageStep> step =
    gsUsageTick(reporter, ledger, halls, agreedNow, now);
  if (!step) {
    return;
  }
  if (step->StepKind == gsUsageStep::Kind::CommitWindow) {
    bool own = services.Rows.emplace(step->Window, step->Counts).second;
    for (std::uint64_t window : step->ExpiredWindows) {
      services.Rows.erase(window);
    }
    if (!responseLost) {
      gsUsageWindowCommitted(reporter, step->Window,
                             services.Rows[step->Window], own);
    }
  } else if (step->StepKind == gsUsageStep::Kind::ReportWindow) {
    services.Reports[step->Window].push_back(step->Counts);
    if (!responseLost) {
      gsUsageWindowReported(reporter, step->Window);
    }
  } else if (!responseLost) {
    gsUsageRowsRead(reporter, services.Rows);
  }
  if (responseLost) {
    gsUsageStepFailed(reporter, now);
  }
}

} // namespace

// The lease moves between hosts at random. Each host has different counts, and
// a third of all responses is lost.
TEST(UsageReporter, ReportsOfAWindowAreEqualWhenLeaseHolderChanges)
{
  constexpr int runs = 200;
  constexpr int steps = 1200;
  constexpr gsTime step = gsMilliseconds(100);
  constexpr std::uint64_t hosts = 4;
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    gsRandom random(seed);
    Services services;
    std::vector<gsUsageReporter> reporters(hosts);
    std::vector<gsUsageLedger> ledgers(hosts);
    std::size_t holder = 0;
    gsWallTime begin = 1'796'260'000 * Second;
    for (int i = 0; i < steps; ++i) {
      gsTime now = gsSeconds(100) + step * i;
      gsWallTime agreedNow = begin + (step * i).count();
      if (random() % 40 == 0) {
        holder = random() % hosts;
      }
      for (std::size_t host = 0; host < hosts; ++host) {
        gsUsageIncrement(ledgers[host], "x",
                         gsUsageWindowOf(agreedNow, Length),
                         "club" + std::to_string(random() % 3));
        gsUsageSetLeaseHeld(reporters[host], host == holder, now);
      }
      RunStep(reporters[holder], ledgers[holder], services, agreedNow, now,
              random() % 3 == 0);
    }
    for (auto const& [window, reports] : services.Reports) {
      for (gsUsageCounts const& counts : reports) {
        EXPECT_EQ(counts, reports.front())
          << "seed " << seed << " window " << window;
      }
    }
    EXPECT_GT(services.Reports.size(), 10U) << "seed " << seed;
    EXPECT_LE(services.Rows.size(), 4 * gsUsageRetainedWindows({}));
  }
}

TEST(UsageReporter, CommitWaitsForHallsUntilMaxCommitDelay)
{
  gsUsageReporter reporter;
  gsUsageLedger ledger;
  gsTime now = gsSeconds(100);
  gsWallTime begin = 1'796'260'000 * Second;
  std::uint64_t window = gsUsageWindowOf(begin, Length);
  gsWallTime end = gsUsageWindowEnd(window, Length);
  gsUsageMerge(ledger, "north", OneWindow(window, 4));
  gsUsageSetLeaseHeld(reporter, true, now);
  ASSERT_TRUE(gsUsageTick(reporter, ledger, { begin }, begin, now));
  gsUsageRowsRead(reporter, OneWindow(window - 1, 1));
  gsUsageWindowReported(reporter, window - 1);
  auto stepAt = [&](gsTime afterEnd, gsWallTime receivedUpTo) {
    gsUsageReporter copy = reporter;
    return gsUsageTick(copy, ledger, { receivedUpTo }, end + afterEnd.count(),
                       now + gsSeconds(5) + afterEnd);
  };
  EXPECT_FALSE(stepAt(gsMilliseconds(1000), end));
  EXPECT_TRUE(stepAt(gsMilliseconds(2300), end));
  EXPECT_FALSE(stepAt(gsMilliseconds(2300), end - 1));
  std::optional<gsUsageStep> step = stepAt(gsMilliseconds(6100), end - 1);
  ASSERT_TRUE(step);
  EXPECT_EQ(step->Window, window);
  EXPECT_EQ(step->Counts, (gsUsageCounts{ { "club", 4 } }));
}
