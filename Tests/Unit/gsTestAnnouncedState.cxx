/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests the state that an upstream announces in its responses, which a host
 * stores separately from the upstream's row: delayed, missing and returning
 * rows, restarts, overlapping backoffs, and slow start of many hosts after the
 * same backoff.
 *
 * Guards against requests to an upstream that is leaving or has requested a
 * backoff; Tests/Route/gsTestUpstreamSays.cxx describes the failure. Each path
 * of placement that could bypass gsAcceptsRequests has a test here.
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

gsUpstreamAnnouncement const LeavingAnnouncement{ true, {}, {}, false };

gsUpstreamAnnouncement BackoffAnnouncement(gsTime backoff)
{
  return { false, backoff, {}, false };
}

gsListedUpstream MakeUpstream(std::string const& id, std::uint64_t startedAt)
{
  gsListedUpstream listed = MakeListed(id);
  listed.StartedAt = startedAt;
  return listed;
}

gsPlacement Place(gsFleet& fleet, gsTime now, gsPlacementRequest const& ask)
{
  gsRandom random(1);
  return gsPlaceRequest(fleet, ask, now, random);
}

gsPlacement Place(gsFleet& fleet, gsTime now)
{
  return Place(fleet, now, MakeLongRequest());
}

bool AcceptsRequests(gsFleet& fleet, std::string const& id, gsTime now)
{
  return gsAcceptsRequests(fleet, *gsFleetFind(fleet, id), now);
}

} // namespace

TEST(HeardWord, DelayedRowDoesNotRevokeLeaving)
{
  gsFleet fleet = MakeFleet(1);
  EXPECT_TRUE(
    gsApplyAnnouncement(fleet, { "u0", 0 }, LeavingAnnouncement, Now));
  // The repeated announcement changes nothing.
  EXPECT_FALSE(
    gsApplyAnnouncement(fleet, { "u0", 0 }, LeavingAnnouncement, Now));
  gsFleetUpsert(fleet, MakeListed("u0"), Now);
  // Another hall makes the fleet re-insert the row in all its indexes.
  gsFleetUpsert(fleet, MakeListed("u0", "b"), Now);
  EXPECT_FALSE(AcceptsRequests(fleet, "u0", Now));
  EXPECT_EQ(Place(fleet, Now).Row, nullptr);
}

TEST(HeardWord, KeepsAnnouncementsWhileRowIsMissing)
{
  gsFleet fleet = MakeFleet(3);
  gsApplyAnnouncement(fleet, { "u0", 0 }, LeavingAnnouncement, Now);
  gsApplyAnnouncement(fleet, { "u1", 0 }, BackoffAnnouncement(gsSeconds(9)),
                      Now);
  gsFleetReplaceListing(fleet, { MakeListed("u2") }, Now + gsSeconds(1));
  gsFleetReplaceListing(
    fleet, { MakeListed("u0"), MakeListed("u1"), MakeListed("u2") },
    Now + gsSeconds(3));
  EXPECT_FALSE(AcceptsRequests(fleet, "u0", Now + gsSeconds(60)));
  EXPECT_FALSE(AcceptsRequests(fleet, "u1", Now + gsSeconds(8)));
  EXPECT_TRUE(AcceptsRequests(fleet, "u1", Now + gsSeconds(9)));
  EXPECT_TRUE(AcceptsRequests(fleet, "u2", Now));
  EXPECT_TRUE(fleet.RetainedAnnouncements.empty());
}

TEST(HeardWord, AppliesAnnouncementReceivedWhileRowIsMissing)
{
  gsFleet fleet;
  EXPECT_TRUE(
    gsApplyAnnouncement(fleet, { "u0", 5 }, LeavingAnnouncement, Now));
  EXPECT_TRUE(gsApplyAnnouncement(fleet, { "u0", 5 },
                                  BackoffAnnouncement(gsSeconds(2)), Now));
  gsFleetUpsert(fleet, MakeUpstream("u0", 5), Now + gsSeconds(1));
  EXPECT_FALSE(AcceptsRequests(fleet, "u0", Now + gsSeconds(1)));
  EXPECT_TRUE(
    gsIsBackingOff(gsFleetFind(fleet, "u0")->Announced, Now + gsSeconds(1)));
}

TEST(HeardWord, RestartDiscardsAnnouncementsOfEarlierIncarnation)
{
  gsFleet fleet;
  gsFleetUpsert(fleet, MakeUpstream("u0", 5), Now);
  gsApplyAnnouncement(fleet, { "u0", 5 }, LeavingAnnouncement, Now);
  gsApplyAnnouncement(fleet, { "u0", 5 }, BackoffAnnouncement(gsMaxBackoff),
                      Now);
  gsFleetUpsert(fleet, MakeUpstream("u0", 6), Now);
  EXPECT_TRUE(AcceptsRequests(fleet, "u0", Now));
  // A delayed response of the earlier incarnation.
  EXPECT_FALSE(
    gsApplyAnnouncement(fleet, { "u0", 5 }, LeavingAnnouncement, Now));
  EXPECT_TRUE(AcceptsRequests(fleet, "u0", Now));
  // The same when the row is missing between the two incarnations.
  gsApplyAnnouncement(fleet, { "u0", 6 }, LeavingAnnouncement, Now);
  gsFleetRemove(fleet, "u0", Now);
  gsFleetUpsert(fleet, MakeUpstream("u0", 7), Now);
  EXPECT_TRUE(AcceptsRequests(fleet, "u0", Now));
}

TEST(HeardWord, BoundsAnnouncementsWithoutRowInNumberAndTime)
{
  gsFleet fleet;
  std::size_t maxRetained = fleet.Settings.MaxRetainedAnnouncements;
  for (std::size_t i = 0; i < 3 * maxRetained; ++i) {
    gsTime at = Now + gsMilliseconds(i);
    gsApplyAnnouncement(fleet, { "u" + std::to_string(i), 0 },
                        LeavingAnnouncement, at);
    EXPECT_LE(fleet.RetainedAnnouncements.size(), maxRetained);
  }
  std::string const last = "u" + std::to_string(3 * maxRetained - 1);
  gsTime listedAt = Now + gsMilliseconds(3 * maxRetained);
  gsFleetUpsert(fleet, MakeListed(last), listedAt);
  EXPECT_FALSE(AcceptsRequests(fleet, last, listedAt));
  std::string const older = "u" + std::to_string(3 * maxRetained - 2);
  gsTime later =
    listedAt + fleet.Settings.AnnouncementRetention + gsSeconds(1);
  gsFleetUpsert(fleet, MakeListed(older), later);
  EXPECT_TRUE(AcceptsRequests(fleet, older, later));
}

TEST(HeardWord, LatestEndOfOverlappingBackoffsApplies)
{
  gsFleet fleet = MakeFleet(1);
  EXPECT_TRUE(gsApplyAnnouncement(fleet, { "u0", 0 },
                                  BackoffAnnouncement(gsSeconds(3)), Now));
  EXPECT_FALSE(gsApplyAnnouncement(fleet, { "u0", 0 },
                                   BackoffAnnouncement(gsSeconds(1)),
                                   Now + gsSeconds(1)));
  EXPECT_FALSE(AcceptsRequests(fleet, "u0", Now + gsMilliseconds(2999)));
  EXPECT_TRUE(AcceptsRequests(fleet, "u0", Now + gsSeconds(3)));
  gsApplyAnnouncement(fleet, { "u0", 0 }, BackoffAnnouncement(gsSeconds(4)),
                      Now + gsSeconds(2));
  EXPECT_FALSE(AcceptsRequests(fleet, "u0", Now + gsMilliseconds(5999)));
}

TEST(HeardWord, BackoffIsIndependentOfReceivedBytesAndFailures)
{
  gsFleet fleet = MakeFleet(1);
  gsFleetRow* row = gsFleetFind(fleet, "u0");
  gsApplyAnnouncement(fleet, { "u0", 0 }, BackoffAnnouncement(gsSeconds(3)),
                      Now);
  gsRecordReceived(fleet, *row, Now);
  gsRecordOutcome(*row, false, Now);
  EXPECT_FALSE(AcceptsRequests(fleet, "u0", Now));
  EXPECT_EQ(gsFailureRate(*row, Now), 0);
  EXPECT_EQ(row->ConsecutiveConnectFailures, 0U);
  EXPECT_EQ(row->AvoidUntil, gsTime{});
}

// Guards against a backoff that only adds to the cost: the other upstream is
// so expensive that the one in backoff would be selected.
TEST(HeardWord, BackoffExcludesUpstreamAtAnyCostOfOthers)
{
  gsFleet fleet = MakeFleet(2);
  gsFleetRow* other = gsFleetFind(fleet, "u1");
  other->OwnLoad.OpenAttempts = 500;
  other->OwnLoad.PendingPromptTokens = 1000000;
  gsApplyAnnouncement(fleet, { "u0", 0 }, BackoffAnnouncement(gsSeconds(3)),
                      Now);
  EXPECT_EQ(Place(fleet, Now).Row->Listed.Id, "u1");
}

TEST(HeardWord, PlacementReportsShortestRemainingBackoff)
{
  gsFleet fleet = MakeFleet(3);
  gsApplyAnnouncement(fleet, { "u0", 0 }, BackoffAnnouncement(gsSeconds(5)),
                      Now);
  gsApplyAnnouncement(fleet, { "u1", 0 }, BackoffAnnouncement(gsSeconds(2)),
                      Now);
  gsApplyAnnouncement(fleet, { "u2", 0 }, LeavingAnnouncement, Now);
  gsApplyAnnouncement(fleet, { "u2", 0 }, BackoffAnnouncement(gsSeconds(1)),
                      Now);
  gsPlacement none = Place(fleet, Now);
  EXPECT_EQ(none.Row, nullptr);
  EXPECT_EQ(none.Cause, gsPlacementCause::BackingOff);
  // The leaving upstream does not count.
  EXPECT_EQ(none.RetryAfter, gsSeconds(2));
}

TEST(HeardWord, NoUpstreamWhenLastOneIsLeaving)
{
  gsFleet fleet = MakeFleet(1);
  gsApplyAnnouncement(fleet, { "u0", 0 }, LeavingAnnouncement, Now);
  gsPlacement none = Place(fleet, Now);
  EXPECT_EQ(none.Cause, gsPlacementCause::NoUpstream);
  EXPECT_EQ(none.RetryAfter, gsTime{});
}

// Covers all ways in which placement finds candidates among so many upstreams
// that it does not evaluate all of them: by index, by position on the hash
// ring and by further random draws. The ring position determines the home
// upstream of a prompt, which otherwise stays the same.
TEST(HeardWord, NoCandidateSourceBypassesExclusion)
{
  gsFleet fleet = MakeFleet(1000);
  for (int i = 0; i < 900; ++i) {
    std::string const id = "u" + std::to_string(i);
    gsApplyAnnouncement(fleet, { id, 0 },
                        i % 2 == 0 ? LeavingAnnouncement
                                   : BackoffAnnouncement(gsSeconds(3)),
                        Now);
  }
  gsRandom random(7);
  std::size_t placed = 0;
  for (std::uint64_t i = 1; i <= 300; ++i) {
    std::vector<gsPromptPart> parts{ { i, 400 }, { 100000 + i, 100 } };
    gsPlacementRequest ask = MakeLongRequest();
    ask.Parts = &parts;
    ask.PromptTokens = 500;
    gsPlacement placement = gsPlaceRequest(fleet, ask, Now, random);
    if (placement.Row != nullptr) {
      ++placed;
      EXPECT_TRUE(gsAcceptsRequests(fleet, *placement.Row, Now));
    }
  }
  EXPECT_EQ(placed, 300U);
}

namespace {

/** Number of requests that an upstream receives in each 100 ms after a
 * backoff. Each host always has a request to send; the upstream responds after
 * 50 ms. */
std::vector<std::size_t> RequestsAfterBackoff(std::size_t hosts, bool accepted)
{
  constexpr std::uint32_t slots = 32;
  gsTime const step = gsMilliseconds(10);
  std::vector<std::size_t> sent(60);
  for (std::size_t host = 0; host < hosts; ++host) {
    std::string const name = "host-" + std::to_string(host);
    gsAnnouncedState announced;
    gsMergeAnnouncement(announced, BackoffAnnouncement(gsSeconds(1)), {});
    std::multiset<gsTime> open;
    for (std::size_t i = 0; i < 10 * sent.size(); ++i) {
      gsTime now = gsSeconds(1) + step * static_cast<std::int64_t>(i);
      while (!open.empty() && *open.begin() <= now) {
        open.erase(open.begin());
        gsEndSlowStartAttempt(announced, accepted, slots);
      }
      if (gsSlowStartAllows(announced, { name, "u0", hosts }, now) &&
          gsBeginSlowStartAttempt(announced, now)) {
        open.insert(now + 5 * step);
        ++sent[i / 10];
      }
    }
  }
  return sent;
}

} // namespace

// Guards against a burst of all hosts after the same backoff. Without
// separate start times and a limit, each host sends all its requests at once:
// at least 340 requests in the first 10 ms, to an upstream with 32 slots.
TEST(HeardWord, SlowStartSpreadsHostsAfterSharedBackoff)
{
  for (std::size_t hosts : { 1U, 9U, 87U, 340U, 986U }) {
    std::vector<std::size_t> sent = RequestsAfterBackoff(hosts, true);
    // One host begins per 10 ms, or all hosts within 2 s. A host that gets its
    // response after 50 ms sends two more requests within the same 100 ms.
    std::size_t maxRequests = 3 * std::max<std::size_t>(10, hosts / 20);
    EXPECT_LE(sent[0], maxRequests) << hosts;
    EXPECT_GT(sent[0] + sent[1], 0U) << hosts;
  }
}

// An upstream that rejects requests without another backoff receives one
// request of a host at a time.
TEST(HeardWord, SlowStartContinuesWhileRequestsAreRejected)
{
  for (std::size_t count : RequestsAfterBackoff(1, false)) {
    EXPECT_LE(count, 3U);
  }
}

TEST(HeardWord, SlowStartEndsWhenLimitReachesSlots)
{
  gsAnnouncedState announced;
  gsMergeAnnouncement(announced, BackoffAnnouncement(gsSeconds(1)), {});
  gsSlowStartClient const client{ "h", "u0", 1 };
  gsTime now = gsSeconds(1);
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(gsSlowStartAllows(announced, client, now));
    ASSERT_TRUE(gsBeginSlowStartAttempt(announced, now));
    gsEndSlowStartAttempt(announced, true, 32);
  }
  EXPECT_EQ(announced.SlowStartLimit, 0U);
  EXPECT_FALSE(gsBeginSlowStartAttempt(announced, now));
  // Slow start also ends when the host has sent nothing for long enough.
  gsMergeAnnouncement(announced, BackoffAnnouncement(gsSeconds(1)), now);
  EXPECT_FALSE(gsBeginSlowStartAttempt(announced, now + gsSeconds(30)));
}
