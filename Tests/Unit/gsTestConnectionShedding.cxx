/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the limits of connections and of which are closed for new ones,
 * with a simulation of crowds beside ordinary callers.
 */
#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "gsConnectionShedding.h"
#include "gsMemoryBudget.h"

namespace {

using Phase = gsConnectionPhase;

constexpr gsTime Start = std::chrono::hours(1);
constexpr std::uint64_t KiB = 1U << 10U;

/** A connection of a simulated listener. */
struct Connection
{
  gsWaitingConnection State;
  bool IsOrdinary = false;
  gsTime EndsAt{}; ///< Of an ordinary caller's request.
};

/** A listener of which a crowd takes all that it gets. */
struct Listener
{
  std::size_t Limit = 1000;
  std::vector<Connection> Open;
  std::deque<Connection> Backlog;
  std::size_t OrdinaryServed = 0;
  std::size_t OrdinaryClosed = 0;

  void Accept(gsTime now)
  {
    while (!this->Backlog.empty() && this->Open.size() < this->Limit) {
      Connection next = this->Backlog.front();
      this->Backlog.pop_front();
      next.State.ProgressAt = now;
      next.EndsAt = now + gsMilliseconds(50);
      this->Open.push_back(next);
    }
  }

  void Serve(gsTime now)
  {
    auto done = std::remove_if(this->Open.begin(), this->Open.end(),
                               [now](Connection const& connection) {
                                 return connection.IsOrdinary &&
                                        now >= connection.EndsAt;
                               });
    this->OrdinaryServed += static_cast<std::size_t>(this->Open.end() - done);
    this->Open.erase(done, this->Open.end());
  }

  void Shed(gsTime now)
  {
    std::vector<gsWaitingConnection> states;
    states.reserve(this->Open.size());
    for (Connection const& connection : this->Open) {
      states.push_back(connection.State);
    }
    std::vector<std::size_t> selected = gsSelectConnections(
      gsFindConnectionShortage(this->Open.size(), this->Limit), states, now);
    std::sort(selected.rbegin(), selected.rend());
    for (std::size_t index : selected) {
      this->OrdinaryClosed += this->Open[index].IsOrdinary ? 1 : 0;
      this->Open.erase(this->Open.begin() +
                       static_cast<std::ptrdiff_t>(index));
    }
  }
};

} // namespace

// Guards against listeners that leave no descriptors for upstreams, hosts and
// the platform, and against more connections than the memory can hold.
TEST(ConnectionShedding, LimitsLeaveWhatTheHostNeeds)
{
  for (std::size_t descriptors : { 256, 400, 4100, 8192, 20000 }) {
    gsConnectionLimits limits = gsLimitConnections({ descriptors });
    std::size_t all =
      limits.Callers + limits.Forwarding + limits.Operators + limits.Peers;
    EXPECT_LE(all, descriptors - descriptors / 8) << descriptors;
    EXPECT_LE(limits.Callers, 4096U);
    EXPECT_GE(limits.Operators, 16U);
  }
  for (std::uint64_t mib : { 120, 160, 260, 512 }) {
    gsMemorySettings memory;
    memory.TotalBytes = mib << 20U;
    gsConnectionLimits limits =
      gsLimitConnections({ 20000, gsConnectionMemory(memory), 36 * KiB });
    EXPECT_LE(limits.Callers * 36 * KiB, memory.TotalBytes * 9 / 10) << mib;
    EXPECT_GE(limits.Callers, 2050U) << mib;
  }
}

// Guards against the end of callers that come on, and of those that rest
// between requests while others do not come on.
TEST(ConnectionShedding, ThoseThatDidNotComeOnForLongestGoFirst)
{
  gsTime now = Start + gsSeconds(20);
  std::vector<gsWaitingConnection> const connections{
    { Phase::Resting, Start },
    { Phase::Unfinished, now - gsMilliseconds(1500) },
    { Phase::Unfinished, now - gsMilliseconds(900) },
    { Phase::Unfinished, now - gsSeconds(5) },
    { Phase::Unfinished, now - gsMilliseconds(100) },
    { Phase::Resting, now - gsSeconds(2) }
  };
  using Indices = std::vector<std::size_t>;
  EXPECT_EQ(gsSelectConnections({ 9, 0, false }, connections, now),
            (Indices{ 3, 1 }));
  EXPECT_EQ(gsSelectConnections({ 1, 0, false }, connections, now),
            (Indices{ 3 }));
  EXPECT_EQ(gsSelectConnections({ 9, 9, true }, connections, now),
            (Indices{ 3, 1, 2, 0, 5 }));
  EXPECT_EQ(gsSelectConnections({ 9, 3, true }, connections, now),
            (Indices{ 3, 1, 2 }))
    << "enough are unfinished";
  EXPECT_EQ(gsSelectConnections({ 9, 4, true }, connections, now),
            (Indices{ 3, 1, 2, 0 }));
  EXPECT_TRUE(gsSelectConnections({}, connections, now).empty());
}

// Guards against connections that are closed while there are enough.
TEST(ConnectionShedding, NothingIsMissingBelowSevenEighths)
{
  EXPECT_TRUE(gsFindConnectionShortage(875, 1000).IsNone());
  EXPECT_EQ(gsFindConnectionShortage(876, 1000).Unfinished, 1U);
  EXPECT_EQ(gsFindConnectionShortage(938, 1000).Resting, 0U);
  EXPECT_FALSE(gsFindConnectionShortage(938, 1000).IsSevere);
  EXPECT_TRUE(gsFindConnectionShortage(939, 1000).IsSevere);
  EXPECT_EQ(gsFindConnectionShortage(1000, 1000).Unfinished, 500U);
  EXPECT_EQ(gsFindConnectionShortage(1000, 1000).Resting, 125U);
}

// Guards against resting connections that are closed for memory which the
// unfinished requests would free.
TEST(ConnectionShedding, ConnectionsAreClosedForTheMemoryThatIsMissing)
{
  EXPECT_TRUE(gsFindConnectionShortage(gsMemoryShortage{}, 36 * KiB).IsNone());
  gsConnectionShortage some =
    gsFindConnectionShortage(gsMemoryShortage{ 100 * KiB, false }, 36 * KiB);
  EXPECT_EQ(some.Unfinished, 3U);
  EXPECT_EQ(some.Resting, 0U);
  gsConnectionShortage severe =
    gsFindConnectionShortage(gsMemoryShortage{ 100 * KiB, true }, 36 * KiB);
  EXPECT_EQ(severe.Unfinished, 3U);
  EXPECT_EQ(severe.Resting, 3U);
}

// Guards against a crowd that keeps ordinary callers out for good, of any
// size and however often it comes back.
TEST(ConnectionShedding, OrdinaryCallersGetThroughACrowd)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<int> draw(0, 400);
    Listener listener;
    std::size_t ordinary = 0;
    constexpr int steps = 300;
    for (int step = 0; step < steps + 100; ++step) {
      gsTime now = Start + gsMilliseconds(100) * step;
      if (step < steps) {
        listener.Backlog.resize(listener.Backlog.size() +
                                static_cast<std::size_t>(draw(random)));
        listener.Backlog.push_back({ {}, true, {} });
        ++ordinary;
      }
      listener.Serve(now);
      listener.Shed(now);
      listener.Accept(now);
    }
    EXPECT_EQ(listener.OrdinaryClosed, 0U) << "seed " << seed;
    EXPECT_EQ(listener.OrdinaryServed, ordinary) << "seed " << seed;
  }
}
