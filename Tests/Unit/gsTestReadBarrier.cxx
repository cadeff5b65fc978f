/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests which requests a round of reads serves, and how failed reads are
 * repeated.
 */
#include <cstdint>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "gsReadBarrier.h"

namespace {

using Requests = std::vector<std::uint64_t>;

constexpr gsTime Begin = gsSeconds(1);

gsReadBarrier MakeBarrier(std::size_t tables)
{
  gsReadBarrier barrier;
  barrier.Settings.Tables = tables;
  return barrier;
}

} // namespace

TEST(ReadBarrier, ARoundEndsOnceAllTablesAreRead)
{
  gsReadBarrier barrier = MakeBarrier(2);
  gsBarrierRequest(barrier, 1);
  EXPECT_EQ(gsBarrierDueReads(barrier, Begin).size(), 2U);
  EXPECT_TRUE(gsBarrierDueReads(barrier, Begin).empty());
  gsBarrierReadDone(barrier, barrier.Round, 0, true, Begin);
  EXPECT_TRUE(gsBarrierEndRound(barrier, Begin).Requests.empty());
  gsBarrierReadDone(barrier, barrier.Round, 1, true, Begin);
  gsBarrierResult result = gsBarrierEndRound(barrier, Begin);
  EXPECT_EQ(result.Requests, Requests{ 1 });
  EXPECT_TRUE(result.Passed);
  EXPECT_EQ(gsBarrierNextDue(barrier), gsTime{});
}

// Guards against a stale read: one that began before the request proves
// nothing for it.
TEST(ReadBarrier, ARequestIsNotServedByReadsThatBeganBeforeIt)
{
  gsReadBarrier barrier = MakeBarrier(1);
  gsBarrierRequest(barrier, 1);
  ASSERT_EQ(gsBarrierDueReads(barrier, Begin).size(), 1U);
  gsBarrierRequest(barrier, 2);
  gsBarrierReadDone(barrier, barrier.Round, 0, true, Begin);
  EXPECT_EQ(gsBarrierEndRound(barrier, Begin).Requests, Requests{ 1 });
  EXPECT_TRUE(gsBarrierDueReads(barrier, Begin).empty());
  gsTime next = gsBarrierNextDue(barrier);
  EXPECT_EQ(next, Begin + barrier.Settings.MinInterval);
  EXPECT_EQ(gsBarrierDueReads(barrier, next).size(), 1U);
  gsBarrierReadDone(barrier, barrier.Round, 0, true, next);
  EXPECT_EQ(gsBarrierEndRound(barrier, next).Requests, Requests{ 2 });
}

TEST(ReadBarrier, AReadThatFailsIsRepeatedUntilTheTimeOfTheRoundIsOver)
{
  gsReadBarrier barrier = MakeBarrier(1);
  gsBarrierRequest(barrier, 1);
  gsBarrierDueReads(barrier, Begin);
  gsBarrierReadDone(barrier, barrier.Round, 0, false, Begin);
  gsTime retry = gsBarrierNextDue(barrier);
  EXPECT_EQ(retry, Begin + barrier.Settings.RetryDelay);
  EXPECT_TRUE(gsBarrierDueReads(barrier, retry - gsMilliseconds(1)).empty());
  EXPECT_EQ(gsBarrierDueReads(barrier, retry).size(), 1U);
  gsTime end = Begin + barrier.Settings.RoundTimeout;
  EXPECT_TRUE(
    gsBarrierEndRound(barrier, end - gsMilliseconds(1)).Requests.empty());
  gsBarrierResult result = gsBarrierEndRound(barrier, end);
  EXPECT_EQ(result.Requests, Requests{ 1 });
  EXPECT_FALSE(result.Passed);
}

// Guards against a read of an earlier round that arrives late.
TEST(ReadBarrier, AnAnswerOfAnEarlierRoundIsIgnored)
{
  gsReadBarrier barrier = MakeBarrier(1);
  gsBarrierRequest(barrier, 1);
  gsBarrierDueReads(barrier, Begin);
  std::uint64_t const first = barrier.Round;
  gsTime end = Begin + barrier.Settings.RoundTimeout;
  gsBarrierEndRound(barrier, end);
  gsBarrierRequest(barrier, 2);
  ASSERT_EQ(gsBarrierDueReads(barrier, end).size(), 1U);
  gsBarrierReadDone(barrier, first, 0, true, end);
  EXPECT_TRUE(gsBarrierEndRound(barrier, end).Requests.empty());
}

// Guards against calls that grow with the requests, and against requests that
// are never answered or answered by reads from before them.
TEST(ReadBarrier, RoundsAreBoundedWhateverIsRequestedAndWhateverFails)
{
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    gsReadBarrier barrier = MakeBarrier(3);
    std::map<std::uint64_t, gsTime> open;
    std::map<std::uint64_t, gsTime> begun; // By round.
    std::vector<std::pair<std::uint64_t, std::size_t>> reads;
    std::uint64_t last = 0;
    for (gsTime now = Begin; now < Begin + gsSeconds(5);
         now += gsMilliseconds(5)) {
      if (random() % 3 == 0) {
        gsBarrierRequest(barrier, ++last);
        open[last] = now;
      }
      std::uint64_t const before = barrier.Round;
      for (std::size_t table : gsBarrierDueReads(barrier, now)) {
        reads.emplace_back(barrier.Round, table);
      }
      if (barrier.Round != before) {
        begun[barrier.Round] = now;
      }
      if (!reads.empty() && random() % 2 == 0) {
        gsBarrierReadDone(barrier, reads.front().first, reads.front().second,
                          random() % 4 != 0, now);
        reads.erase(reads.begin());
      }
      gsBarrierResult const result = gsBarrierEndRound(barrier, now);
      for (std::uint64_t request : result.Requests) {
        ASSERT_EQ(open.count(request), 1U);
        EXPECT_LE(open[request], begun[barrier.Round]);
        open.erase(request);
      }
    }
    for (auto const& [request, at] : open) {
      EXPECT_GT(at, Begin + gsSeconds(5) - gsMilliseconds(1200));
    }
    EXPECT_LE(begun.size(), 51U);
  }
}
