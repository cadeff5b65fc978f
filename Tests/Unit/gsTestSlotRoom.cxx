/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the estimate of how many attempts an upstream accepts, and of the
 * messages between hosts that carry it.
 */
#include <string>

#include <gtest/gtest.h>

#include "gsPeer.pb.h"
#include "gsSlotRoom.h"

namespace {

constexpr gsTime Start = gsSeconds(1000);
constexpr double Listed = 16;

gsSlotRoom RoomOf(double maxRejections)
{
  gsSlotRoom room;
  room.MaxRejections = maxRejections;
  return room;
}

} // namespace

TEST(SlotRoom, BeginsWithTheListedSlotsAndNeverExceedsThem)
{
  gsSlotRoom room = RoomOf(3);
  EXPECT_EQ(gsRoomSize(room, Listed), Listed);
  EXPECT_FALSE(gsRaiseRoom(room, Listed, 1, Start));
  EXPECT_EQ(gsRoomSize({}, Listed), Listed);
}

TEST(SlotRoom, IsLoweredToWhatWasInProgress)
{
  gsSlotRoom room = RoomOf(3);
  gsLowerRoom(room, Listed, 11, Start);
  EXPECT_EQ(gsRoomSize(room, Listed), 10);
}

// Guards against a room that is counted down while each step is a rejection.
TEST(SlotRoom, IsHalvedIfTheUpstreamAcceptsFewerThanBefore)
{
  gsSlotRoom room = RoomOf(3);
  gsLowerRoom(room, Listed, 16, Start);
  EXPECT_EQ(gsRoomSize(room, Listed), 8);
  gsLowerRoom(room, Listed, 12, Start + gsMilliseconds(5));
  EXPECT_EQ(gsRoomSize(room, Listed), 8) << "sent before the first rejection";
}

// Guards against an estimate that a request which fits nowhere ruins.
TEST(SlotRoom, OneRejectionHalvesItAtMost)
{
  gsSlotRoom room = RoomOf(3);
  gsLowerRoom(room, Listed, 1, Start);
  EXPECT_EQ(gsRoomSize(room, Listed), 8);
}

// Guards against rises that cause more rejections than the upstream bears.
TEST(SlotRoom, RisesCauseHalfOfTheRejectionsBorne)
{
  constexpr std::uint32_t accepted = 10;
  for (double limit : { 1.0, 3.0, 10.0 }) {
    gsSlotRoom room = RoomOf(limit);
    gsLowerRoom(room, Listed, accepted + 1, Start);
    int rejections = 0;
    constexpr int seconds = 100;
    for (gsTime now = Start; now < Start + gsSeconds(seconds);
         now += gsMilliseconds(5)) {
      if (gsRaiseRoom(room, Listed, 1, now) &&
          gsRoomSize(room, Listed) > accepted) {
        gsLowerRoom(room, Listed, accepted + 1, now + gsMilliseconds(1));
        ++rejections;
      }
      EXPECT_GE(gsRoomSize(room, Listed), accepted);
    }
    EXPECT_LE(rejections, seconds * limit / 2) << limit;
    EXPECT_GT(rejections, 0) << limit;
  }
}

TEST(SlotRoom, NeverRisesIfNoRejectionIsBorne)
{
  gsSlotRoom room = RoomOf(0);
  gsLowerRoom(room, Listed, 11, Start);
  EXPECT_FALSE(gsNextRoomRise(room, Listed, 1).has_value());
  EXPECT_FALSE(gsRaiseRoom(room, Listed, 1, Start + gsSeconds(60)));
}

// Guards against hosts of two releases that do not read each other: a share
// and tokens as the schema without the fields encodes them.
TEST(SlotRoom, MessagesOfAnEarlierReleaseAreRead)
{
  std::string const share("\x0d\x07\x00\x00\x00\x10\x80\x89\x7a\x28\x01\x38"
                          "\x02",
                          13);
  gradescale::RateShare read;
  ASSERT_TRUE(read.ParseFromString(share));
  EXPECT_EQ(read.upstream(), 7U);
  EXPECT_EQ(read.lent_micro(), 2000000U);
  EXPECT_EQ(read.resource(), 1U);
  EXPECT_EQ(read.held(), 2U);
  EXPECT_EQ(read.rejected(), 0U);
  EXPECT_EQ(read.SerializeAsString(), share) << "unused fields are not sent";
  std::string const tokens("\x0d\x07\x00\x00\x00\x10\x01\x28\x01", 9);
  gradescale::RateTokens issued;
  ASSERT_TRUE(issued.ParseFromString(tokens));
  EXPECT_EQ(issued.count(), 1U);
  EXPECT_EQ(issued.room(), 0U);
  EXPECT_EQ(issued.rejected_for_us(), 0U);
  EXPECT_EQ(issued.SerializeAsString(), tokens);
}
