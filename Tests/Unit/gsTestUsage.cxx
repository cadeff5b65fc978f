/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Counts of usage that only grow, true time by many clocks, and the report of
 * each window by holders that follow one another.
 */
#include <gtest/gtest.h>

#include "gsClockAgreement.h"
#include "gsUsage.h"
#include "gsUsageReporter.h"

namespace {

constexpr gsTime Length = gsSeconds(5);
constexpr gsWallTime Second = 1'000'000;

gsUsageWindows One(std::uint64_t window, std::uint64_t count)
{
  return { { window, { { "club", count } } } };
}

} // namespace

TEST(Usage, WordsThatAreRepeatedOrLateChangeNothing)
{
  gsUsageLedger ledger;
  gsUsageMerge(ledger, "a#1", One(7, 3));
  gsUsageMerge(ledger, "a#1", One(7, 5));
  gsUsageMerge(ledger, "a#1", One(7, 3));
  gsUsageMerge(ledger, "b#1", One(7, 2));
  // The host has started again: its counts begin anew, and both hold.
  gsUsageMerge(ledger, "a#2", One(7, 1));
  EXPECT_EQ(gsUsageSum(ledger, 7), (gsUsageCounts{ { "club", 8 } }));
  gsUsageForget(ledger, 8);
  EXPECT_TRUE(gsUsageSum(ledger, 7).empty());
}

TEST(Usage, NewsAreWhatHasGrownAndNowAndThenAll)
{
  gsUsageTold told;
  gsTime now = gsSeconds(100);
  gsTime refresh = gsSeconds(2);
  EXPECT_EQ(gsUsageNews(One(7, 3), told, refresh, now), One(7, 3));
  EXPECT_TRUE(gsUsageNews(One(7, 3), told, refresh, now).empty());
  EXPECT_EQ(gsUsageNews(One(7, 4), told, refresh, now), One(7, 4));
  EXPECT_EQ(gsUsageNews(One(7, 4), told, refresh, now + refresh), One(7, 4));
}

TEST(Usage, WindowsAreNumberedFrom1970)
{
  EXPECT_EQ(gsUsageWindowOf(353445120 * 5 * Second, Length), 353445120U);
  EXPECT_EQ(gsUsageWindowOf(353445120 * 5 * Second - 1, Length), 353445119U);
  EXPECT_EQ(gsUsageWindowEnd(2, Length), 15 * Second);
}

TEST(ClockAgreement, TheMiddleClockCountsWhenOthersJump)
{
  gsClockAgreement clocks;
  gsTime now = gsSeconds(100);
  gsWallTime base = 1'796'260'000 * Second;
  for (int i = 0; i < 20; ++i) {
    // Six of twenty are seconds ahead, two behind.
    gsWallTime off = i < 6 ? 4 * Second : i < 8 ? -3 * Second : i * 100;
    gsClockHear(clocks, "h" + std::to_string(i), base + off, false, now);
  }
  gsWallTime agreed = gsClockNow(clocks, base + 9 * Second, true, now);
  EXPECT_NEAR(static_cast<double>(agreed - base), 0, 3000);
  // It goes on with the steady clock.
  EXPECT_EQ(gsClockNow(clocks, base + 12 * Second, true, now + gsSeconds(3)),
            agreed + 3 * Second);
}

TEST(ClockAgreement, HostsGoByTheirCoordinators)
{
  gsClockAgreement clocks;
  gsTime now = gsSeconds(100);
  gsWallTime base = 1'796'260'000 * Second;
  EXPECT_EQ(gsClockNow(clocks, base, false, now), base);
  gsClockHear(clocks, "a", base + 10, true, now);
  gsClockHear(clocks, "b", base + 20, true, now);
  gsClockHear(clocks, "c", base + 30, true, now);
  EXPECT_EQ(gsClockNow(clocks, base - 7 * Second, false, now), base + 20);
  gsClockForget(clocks, now + clocks.Memory + gsMilliseconds(1));
  EXPECT_TRUE(clocks.Heard.empty());
}

namespace {

/** A store's rows of windows, and the platform that takes reports. */
struct Outside
{
  std::map<std::uint64_t, gsUsageCounts> Rows;
  std::map<std::uint64_t, std::vector<gsUsageCounts>> Reports;
};

/** Runs one step of a holder; answers that are lost are failures to it. */
void RunStep(gsUsageReporter& reporter, gsUsageLedger const& ledger,
             Outside& outside, gsWallTime trueNow, gsTime now, bool lost)
{
  gsUsageReady halls{ trueNow };
  std::optional<gsUsageStep> step =
    gsUsageTick(reporter, ledger, halls, trueNow, now);
  if (!step) {
    return;
  }
  if (step->Is == gsUsageStep::Kind::Fix) {
    bool own = outside.Rows.emplace(step->Window, step->Counts).second;
    for (std::uint64_t window : step->Remove) {
      outside.Rows.erase(window);
    }
    if (!lost) {
      gsUsageFixed(reporter, step->Window, outside.Rows[step->Window], own);
    }
  } else if (step->Is == gsUsageStep::Kind::Send) {
    outside.Reports[step->Window].push_back(step->Counts);
    if (!lost) {
      gsUsageSent(reporter, step->Window);
    }
  } else if (!lost) {
    gsUsageRead(reporter, outside.Rows);
  }
  if (lost) {
    gsUsageFailed(reporter, now);
  }
}

} // namespace

// Holders follow one another at random, each with counts of its own that
// differ from the others', and a third of all answers is lost.
TEST(UsageReporter, NoWindowIsReportedWithTwoCounts)
{
  constexpr int runs = 200;
  constexpr int steps = 1200;
  constexpr gsTime step = gsMilliseconds(100);
  constexpr std::uint64_t hosts = 4;
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    gsRandom random(seed);
    Outside outside;
    std::vector<gsUsageReporter> reporters(hosts);
    std::vector<gsUsageLedger> ledgers(hosts);
    std::size_t holder = 0;
    gsWallTime begin = 1'796'260'000 * Second;
    for (int i = 0; i < steps; ++i) {
      gsTime now = gsSeconds(100) + step * i;
      gsWallTime trueNow = begin + (step * i).count();
      if (random() % 40 == 0) {
        holder = random() % hosts;
      }
      for (std::size_t host = 0; host < hosts; ++host) {
        gsUsageCount(ledgers[host], "x", gsUsageWindowOf(trueNow, Length),
                     "club" + std::to_string(random() % 3));
        gsUsageHold(reporters[host], host == holder, now);
      }
      RunStep(reporters[holder], ledgers[holder], outside, trueNow, now,
              random() % 3 == 0);
    }
    for (auto const& [window, reports] : outside.Reports) {
      for (gsUsageCounts const& counts : reports) {
        EXPECT_EQ(counts, reports.front())
          << "seed " << seed << " window " << window;
      }
    }
    EXPECT_GT(outside.Reports.size(), 10U) << "seed " << seed;
    EXPECT_LE(outside.Rows.size(), 4 * gsUsageKept({}));
  }
}

TEST(UsageReporter, AWindowWaitsForTheHallsButNotForEver)
{
  gsUsageReporter reporter;
  gsUsageLedger ledger;
  gsTime now = gsSeconds(100);
  gsWallTime begin = 1'796'260'000 * Second;
  std::uint64_t window = gsUsageWindowOf(begin, Length);
  gsWallTime end = gsUsageWindowEnd(window, Length);
  gsUsageMerge(ledger, "north", One(window, 4));
  gsUsageHold(reporter, true, now);
  ASSERT_TRUE(gsUsageTick(reporter, ledger, { begin }, begin, now));
  gsUsageRead(reporter, One(window - 1, 1));
  gsUsageSent(reporter, window - 1);
  auto at = [&](gsTime afterEnd, gsWallTime toldUpTo) {
    gsUsageReporter copy = reporter;
    return gsUsageTick(copy, ledger, { toldUpTo }, end + afterEnd.count(),
                       now + gsSeconds(5) + afterEnd);
  };
  EXPECT_FALSE(at(gsMilliseconds(1000), end));
  EXPECT_TRUE(at(gsMilliseconds(2300), end));
  EXPECT_FALSE(at(gsMilliseconds(2300), end - 1));
  std::optional<gsUsageStep> step = at(gsMilliseconds(6100), end - 1);
  ASSERT_TRUE(step);
  EXPECT_EQ(step->Window, window);
  EXPECT_EQ(step->Counts, (gsUsageCounts{ { "club", 4 } }));
}
