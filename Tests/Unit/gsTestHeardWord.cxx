/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What a host holds of an upstream's own words beside its row: against late
 * rows, rows that go and come back, other starts, rests that overlap, and many
 * hosts that come back after one rest together.
 *
 * Seen: see Tests/Route/gsTestUpstreamSays.cxx. Each way past the one gate,
 * gsTakesWork, has a test here.
 */
#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsFleetCases.h"
#include "gsRouteTable.h"

using namespace gsFleetCases;

namespace {

gsUpstreamWord const Leaves{ true, {}, {}, false };

gsUpstreamWord Rests(gsTime rest)
{
  return { false, rest, {}, false };
}

gsListedUpstream Born(std::string const& id, std::uint64_t born)
{
  gsListedUpstream listed = Listed(id);
  listed.Born = born;
  return listed;
}

gsPlacement Place(gsFleet& fleet, gsTime now, gsPlacementAsk const& ask)
{
  gsRandom random(1);
  return gsPlace(fleet, ask, now, random);
}

gsPlacement Place(gsFleet& fleet, gsTime now)
{
  return Place(fleet, now, Plain());
}

bool TakesWork(gsFleet& fleet, std::string const& id, gsTime now)
{
  return gsTakesWork(fleet, *gsFleetFind(fleet, id), now);
}

} // namespace

TEST(HeardWord, ALateRowTakesNoLeavingBack)
{
  gsFleet fleet = MakeFleet(1);
  EXPECT_TRUE(gsNoteWord(fleet, { "u0", 0 }, Leaves, Now));
  EXPECT_FALSE(gsNoteWord(fleet, { "u0", 0 }, Leaves, Now)); // No news.
  gsFleetPut(fleet, Listed("u0"), Now);
  gsFleetPut(fleet, Listed("u0", "b"), Now); // In all orders anew.
  EXPECT_FALSE(TakesWork(fleet, "u0", Now));
  EXPECT_EQ(Place(fleet, Now).Row, nullptr);
}

TEST(HeardWord, ARowThatGoesAndComesBackKeepsItsWords)
{
  gsFleet fleet = MakeFleet(3);
  gsNoteWord(fleet, { "u0", 0 }, Leaves, Now);
  gsNoteWord(fleet, { "u1", 0 }, Rests(gsSeconds(9)), Now);
  gsFleetTake(fleet, { Listed("u2") }, Now + gsSeconds(1));
  gsFleetTake(fleet, { Listed("u0"), Listed("u1"), Listed("u2") },
              Now + gsSeconds(3));
  EXPECT_FALSE(TakesWork(fleet, "u0", Now + gsSeconds(60)));
  EXPECT_FALSE(TakesWork(fleet, "u1", Now + gsSeconds(8)));
  EXPECT_TRUE(TakesWork(fleet, "u1", Now + gsSeconds(9)));
  EXPECT_TRUE(TakesWork(fleet, "u2", Now));
  EXPECT_TRUE(fleet.KeptWords.empty());
}

TEST(HeardWord, AWordThatComesWhileTheRowIsAwayHolds)
{
  gsFleet fleet;
  EXPECT_TRUE(gsNoteWord(fleet, { "u0", 5 }, Leaves, Now));
  EXPECT_TRUE(gsNoteWord(fleet, { "u0", 5 }, Rests(gsSeconds(2)), Now));
  gsFleetPut(fleet, Born("u0", 5), Now + gsSeconds(1));
  EXPECT_FALSE(TakesWork(fleet, "u0", Now + gsSeconds(1)));
  EXPECT_TRUE(
    gsIsResting(gsFleetFind(fleet, "u0")->Heard, Now + gsSeconds(1)));
}

TEST(HeardWord, AnotherStartIsBoundByNoWordOfTheOneBefore)
{
  gsFleet fleet;
  gsFleetPut(fleet, Born("u0", 5), Now);
  gsNoteWord(fleet, { "u0", 5 }, Leaves, Now);
  gsNoteWord(fleet, { "u0", 5 }, Rests(gsRestMost), Now);
  gsFleetPut(fleet, Born("u0", 6), Now);
  EXPECT_TRUE(TakesWork(fleet, "u0", Now));
  // A late answer of the one before.
  EXPECT_FALSE(gsNoteWord(fleet, { "u0", 5 }, Leaves, Now));
  EXPECT_TRUE(TakesWork(fleet, "u0", Now));
  // The same over a time without a row.
  gsNoteWord(fleet, { "u0", 6 }, Leaves, Now);
  gsFleetDrop(fleet, "u0", Now);
  gsFleetPut(fleet, Born("u0", 7), Now);
  EXPECT_TRUE(TakesWork(fleet, "u0", Now));
}

TEST(HeardWord, WordsWithoutARowAreBoundedInNumberAndTime)
{
  gsFleet fleet;
  std::size_t most = fleet.Settings.KeptWordsMost;
  for (std::size_t i = 0; i < 3 * most; ++i) {
    gsTime at = Now + gsMilliseconds(i);
    gsNoteWord(fleet, { "u" + std::to_string(i), 0 }, Leaves, at);
    EXPECT_LE(fleet.KeptWords.size(), most);
  }
  std::string const last = "u" + std::to_string(3 * most - 1);
  gsTime kept = Now + gsMilliseconds(3 * most);
  gsFleetPut(fleet, Listed(last), kept);
  EXPECT_FALSE(TakesWork(fleet, last, kept));
  std::string const older = "u" + std::to_string(3 * most - 2);
  gsTime later = kept + fleet.Settings.KeptWordMemory + gsSeconds(1);
  gsFleetPut(fleet, Listed(older), later);
  EXPECT_TRUE(TakesWork(fleet, older, later));
}

TEST(HeardWord, OfRestsThatOverlapTheLastToEndHolds)
{
  gsFleet fleet = MakeFleet(1);
  EXPECT_TRUE(gsNoteWord(fleet, { "u0", 0 }, Rests(gsSeconds(3)), Now));
  EXPECT_FALSE(
    gsNoteWord(fleet, { "u0", 0 }, Rests(gsSeconds(1)), Now + gsSeconds(1)));
  EXPECT_FALSE(TakesWork(fleet, "u0", Now + gsMilliseconds(2999)));
  EXPECT_TRUE(TakesWork(fleet, "u0", Now + gsSeconds(3)));
  gsNoteWord(fleet, { "u0", 0 }, Rests(gsSeconds(4)), Now + gsSeconds(2));
  EXPECT_FALSE(TakesWork(fleet, "u0", Now + gsMilliseconds(5999)));
}

TEST(HeardWord, BytesAndFailuresEndNoRestAndARestIsNoFailure)
{
  gsFleet fleet = MakeFleet(1);
  gsFleetRow* row = gsFleetFind(fleet, "u0");
  gsNoteWord(fleet, { "u0", 0 }, Rests(gsSeconds(3)), Now);
  gsNoteHeard(fleet, *row, Now);
  gsNoteOutcome(*row, false, Now);
  EXPECT_FALSE(TakesWork(fleet, "u0", Now));
  EXPECT_EQ(gsFailShare(*row, Now), 0);
  EXPECT_EQ(row->Unreachable, 0U);
  EXPECT_EQ(row->AvoidUntil, gsTime{});
}

// It would be the cheapest by far: a rest is no price.
TEST(HeardWord, AnUpstreamThatRestsIsNotTakenWhereAllOthersAreDear)
{
  gsFleet fleet = MakeFleet(2);
  gsFleetRow* other = gsFleetFind(fleet, "u1");
  other->Own.Running = 500;
  other->Own.ReadTokens = 1000000;
  gsNoteWord(fleet, { "u0", 0 }, Rests(gsSeconds(3)), Now);
  EXPECT_EQ(Place(fleet, Now).Row->Listed.Id, "u1");
}

TEST(HeardWord, WhileAllRestThePlacementTellsForHowLong)
{
  gsFleet fleet = MakeFleet(3);
  gsNoteWord(fleet, { "u0", 0 }, Rests(gsSeconds(5)), Now);
  gsNoteWord(fleet, { "u1", 0 }, Rests(gsSeconds(2)), Now);
  gsNoteWord(fleet, { "u2", 0 }, Leaves, Now);
  gsNoteWord(fleet, { "u2", 0 }, Rests(gsSeconds(1)), Now);
  gsPlacement none = Place(fleet, Now);
  EXPECT_EQ(none.Row, nullptr);
  EXPECT_EQ(none.Cause, gsPlacementCause::Resting);
  EXPECT_EQ(none.RestLeft, gsSeconds(2)); // Not of the one that leaves.
}

TEST(HeardWord, TheLastOneLeavingLeavesNoUpstream)
{
  gsFleet fleet = MakeFleet(1);
  gsNoteWord(fleet, { "u0", 0 }, Leaves, Now);
  gsPlacement none = Place(fleet, Now);
  EXPECT_EQ(none.Cause, gsPlacementCause::NoUpstream);
  EXPECT_EQ(none.RestLeft, gsTime{});
}

// Candidates by index, homes on the ring and further draws, among so many that
// not all are weighed; and a subject's home, which stays the same otherwise.
TEST(HeardWord, NoWayOfChoosingAmongManyPassesTheGate)
{
  gsFleet fleet = MakeFleet(1000);
  for (int i = 0; i < 900; ++i) {
    std::string const id = "u" + std::to_string(i);
    gsNoteWord(fleet, { id, 0 }, i % 2 == 0 ? Leaves : Rests(gsSeconds(3)),
               Now);
  }
  gsRandom random(7);
  std::size_t placed = 0;
  for (std::uint64_t i = 1; i <= 300; ++i) {
    std::vector<gsPromptPart> parts{ { i, 400 }, { 100000 + i, 100 } };
    gsPlacementAsk ask = Plain();
    ask.Parts = &parts;
    ask.PromptTokens = 500;
    gsPlacement placement = gsPlace(fleet, ask, Now, random);
    if (placement.Row != nullptr) {
      ++placed;
      EXPECT_TRUE(gsTakesWork(fleet, *placement.Row, Now));
    }
  }
  EXPECT_EQ(placed, 300U);
}

namespace {

/** Requests to an upstream in each 100 ms after its rest, of hosts that each
 * always have one to send; it answers within 50 ms. */
std::vector<std::size_t> SentAfterRest(std::size_t hosts, bool taken)
{
  constexpr std::uint32_t slots = 32;
  gsTime const step = gsMilliseconds(10);
  std::vector<std::size_t> sent(60);
  for (std::size_t host = 0; host < hosts; ++host) {
    std::string const name = "host-" + std::to_string(host);
    gsHeardWord heard;
    gsHear(heard, Rests(gsSeconds(1)), {});
    std::multiset<gsTime> open;
    for (std::size_t i = 0; i < 10 * sent.size(); ++i) {
      gsTime now = gsSeconds(1) + step * static_cast<std::int64_t>(i);
      while (!open.empty() && *open.begin() <= now) {
        open.erase(open.begin());
        gsNoteReturned(heard, taken, slots);
      }
      if (gsMayReturn(heard, { name, "u0", hosts }, now) &&
          gsNoteReturn(heard, now)) {
        open.insert(now + 5 * step);
        ++sent[i / 10];
      }
    }
  }
  return sent;
}

} // namespace

// Without turns and a bound, each of the hosts sends all that it has at once:
// 340 and more requests in the first 10 ms, to an upstream of 32 slots.
TEST(HeardWord, HostsThatWereTurnedAwayTogetherComeBackOneAfterTheOther)
{
  for (std::size_t hosts : { 1U, 9U, 87U, 340U, 986U }) {
    std::vector<std::size_t> sent = SentAfterRest(hosts, true);
    // First requests one in 10 ms, or all hosts' within 2 s; who is answered
    // after 50 ms sends two more within the same 100 ms.
    std::size_t fair = 3 * std::max<std::size_t>(10, hosts / 20);
    EXPECT_LE(sent[0], fair) << hosts;
    EXPECT_GT(sent[0] + sent[1], 0U) << hosts;
  }
}

// What turns them away again, without asking for a rest, gets one request of a
// host at a time.
TEST(HeardWord, ComingBackStaysSlowWhileNothingIsTaken)
{
  for (std::size_t count : SentAfterRest(1, false)) {
    EXPECT_LE(count, 3U);
  }
}

TEST(HeardWord, AHostThatCameBackSendsAsManyAsBefore)
{
  gsHeardWord heard;
  gsHear(heard, Rests(gsSeconds(1)), {});
  gsReturning const who{ "h", "u0", 1 };
  gsTime now = gsSeconds(1);
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(gsMayReturn(heard, who, now));
    ASSERT_TRUE(gsNoteReturn(heard, now));
    gsNoteReturned(heard, true, 32);
  }
  EXPECT_EQ(heard.ReturnMost, 0U);
  EXPECT_FALSE(gsNoteReturn(heard, now));
  // Also when nobody asked for long.
  gsHear(heard, Rests(gsSeconds(1)), now);
  EXPECT_FALSE(gsNoteReturn(heard, now + gsSeconds(30)));
}
