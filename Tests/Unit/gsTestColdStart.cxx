/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the eligibility of upstreams: cold upstreams, evacuated halls and
 * regions. Hosts do not coordinate, so the limits for all hosts combined have
 * to follow from the behaviour of each host.
 *
 * Guards against overload of a cold upstream by many hosts: 63 hosts sent 42
 * requests within a second to an upstream that had just restarted, which
 * served 19 per second and collapsed above 33.
 */
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsColdStart.h"
#include "gsFleetCases.h"
#include "gsRecentPeak.h"

using namespace gsFleetCases;

namespace {

/** Maximum requests per second before a cold upstream collapses, as specified
 * by the deployment: 1.5 times its rate, plus 5. */
double CollapseThreshold(double perSecond)
{
  return 1.5 * perSecond + 5;
}

/** Maximum number of requests that all hosts send to one cold upstream in any
 * second, if each always has a request to send.
 *
 * \param assumedHosts Number of hosts that each host assumes. */
std::size_t MaxRequestsPerSecond(double perSecond, std::size_t hosts,
                                 std::size_t assumedHosts,
                                 std::string const& upstream)
{
  std::size_t sum = 0;
  for (std::size_t i = 0; i < hosts; ++i) {
    gsColdShare share = gsColdShareOfHost(
      perSecond, assumedHosts, "host-" + std::to_string(i), upstream);
    if (share.MaySend) {
      double interval = gsToSeconds(share.MinInterval);
      // One request at each end of the second, and the requests in between.
      sum += interval >= 1 ? 1 : 1 + static_cast<std::size_t>(1 / interval);
    }
  }
  return sum;
}

gsListedUpstream MakeColdUpstream(std::string const& id, gsTime left,
                                  std::string const& hall = "a")
{
  gsListedUpstream listed = MakeListed(id, hall);
  listed.RemainingColdTime = left;
  return listed;
}

gsPlacementRequest MakeRequest(double coldPerSecond, std::size_t hosts)
{
  gsPlacementRequest ask = MakeLongRequest();
  ask.ColdPerSecond = coldPerSecond;
  ask.Hosts = hosts;
  ask.RecentPeakHosts = hosts;
  return ask;
}

} // namespace

TEST(ColdStart, LimitsRateOfAllHostsCombined)
{
  for (std::size_t hosts : { 1, 3, 9, 30, 63, 100, 300, 1000 }) {
    for (double perSecond : { 2.0, 5.0, 19.0, 80.0 }) {
      for (int i = 0; i < 100; ++i) {
        std::string const upstream = "u" + std::to_string(i);
        EXPECT_LE(static_cast<double>(
                    MaxRequestsPerSecond(perSecond, hosts, hosts, upstream)),
                  CollapseThreshold(perSecond))
          << hosts << " hosts, " << perSecond << " a second, " << upstream;
      }
    }
  }
}

TEST(ColdStart, SendsRequestsToColdUpstreamWithManyHosts)
{
  std::size_t sum = 0;
  for (int i = 0; i < 100; ++i) {
    sum += MaxRequestsPerSecond(19, 1000, 1000, "u" + std::to_string(i));
  }
  EXPECT_GT(sum, 700U); // The shares of all hosts add up to 950.
}

TEST(ColdStart, LimitsRateWhenHostsKnowOnlyHalfOfThem)
{
  for (int i = 0; i < 200; ++i) {
    std::string const upstream = "u" + std::to_string(i);
    EXPECT_LE(static_cast<double>(MaxRequestsPerSecond(19, 63, 32, upstream)),
              CollapseThreshold(19))
      << upstream;
  }
}

TEST(ColdStart, UsesWarmUpstreamsAboveColdLimitAndRefusesWithoutThem)
{
  gsFleet fleet = MakeFleet(1);
  fleet.Settings.Host = "host-0";
  gsFleetUpsert(fleet, MakeColdUpstream("cold", gsSeconds(3)), Now);
  gsPlacementRequest ask = MakeRequest(4, 1);
  gsRandom random(1);
  gsFleetFind(fleet, "u0")->OwnLoad.OpenAttempts = 500;
  gsFleetRow* first = gsPlaceRequest(fleet, ask, Now, random).Row;
  ASSERT_NE(first, nullptr);
  EXPECT_EQ(first->Listed.Id, "cold");
  first->ColdSentAt = Now;
  EXPECT_EQ(ChooseId(fleet, ask), "u0");
  gsFleetRemove(fleet, "u0");
  gsPlacement none = gsPlaceRequest(fleet, ask, Now, random);
  EXPECT_EQ(none.Row, nullptr);
  EXPECT_EQ(none.Cause, gsPlacementCause::Cold);
  // The share is half of 4 requests per second.
  gsTime later = Now + gsMilliseconds(500);
  EXPECT_NE(gsPlaceRequest(fleet, ask, later, random).Row, nullptr);
  // The upstream is warm again.
  gsFleetFind(fleet, "cold")->ColdSentAt = Now + gsSeconds(3);
  EXPECT_NE(gsPlaceRequest(fleet, ask, Now + gsSeconds(3), random).Row,
            nullptr);
}

TEST(ColdStart, SendsShareToEachUpstreamOfColdHall)
{
  gsFleet fleet;
  fleet.Settings.Host = "host-0";
  fleet.Settings.Hall = "a";
  for (int i = 0; i < 60; ++i) {
    gsFleetUpsert(
      fleet, MakeColdUpstream("u" + std::to_string(i), gsSeconds(3)), Now);
  }
  gsPlacementRequest ask = MakeRequest(19, 63);
  gsRandom random(1);
  std::size_t sent = 0;
  while (gsFleetRow* row = gsPlaceRequest(fleet, ask, Now, random).Row) {
    EXPECT_NE(row->ColdSentAt, Now);
    row->ColdSentAt = Now;
    ++sent;
  }
  // The shares of 60 upstreams with 9.5 requests per second, for 63 hosts.
  EXPECT_GE(sent, 4U);
  EXPECT_LE(sent, 16U);
}

TEST(ColdStart, DoesNotLimitServiceWithoutRate)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  gsFleetUpsert(fleet, MakeColdUpstream("cold", gsSeconds(3)), Now);
  gsFleetFind(fleet, "cold")->ColdSentAt = Now;
  EXPECT_EQ(ChooseId(fleet, MakeRequest(0, 1000)), "cold");
}

TEST(RecentPeak, HoldsPeakForLimitedTimeAfterDecrease)
{
  gsRecentPeak peak;
  gsTime now = gsSeconds(100);
  EXPECT_EQ(gsUpdatePeak(peak, 63, now), 63U);
  for (int i = 1; i <= 20; ++i) {
    EXPECT_EQ(gsUpdatePeak(peak, 16, now + gsSeconds(i)), 63U) << i;
  }
  EXPECT_EQ(gsUpdatePeak(peak, 16, now + gsSeconds(41)), 16U);
  EXPECT_EQ(gsUpdatePeak(peak, 20, now + gsSeconds(42)), 20U);
}

TEST(Evacuation, ExcludesHallUntilEvacuationEnds)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  gsFleetReplaceListing(fleet,
                        { MakeListed("u0", "a"), MakeListed("u1", "b") }, Now);
  gsFleetFind(fleet, "u1")->OwnLoad.OpenAttempts = 500;
  EXPECT_EQ(ChooseId(fleet, MakeLongRequest()), "u0");
  gsSetEvacuatedHalls(fleet, { "a" }, Now);
  EXPECT_EQ(ChooseId(fleet, MakeLongRequest()), "u1");
  EXPECT_FALSE(gsAcceptsRequests(fleet, *gsFleetFind(fleet, "u0"), Now));
  gsSetEvacuatedHalls(fleet, { "a", "b" }, Now + gsSeconds(1));
  EXPECT_EQ(ChooseId(fleet, MakeLongRequest()), "none");
  EXPECT_EQ(fleet.EvacuatedSince["a"], Now);
  gsSetEvacuatedHalls(fleet, {}, Now + gsSeconds(2));
  EXPECT_EQ(ChooseId(fleet, MakeLongRequest()), "u0");
}

TEST(Evacuation, MovesSubjectsAndReturnsThemWhenEvacuationEnds)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  for (int i = 0; i < 20; ++i) {
    gsFleetUpsert(
      fleet, MakeListed("u" + std::to_string(i), i % 2 == 0 ? "a" : "b"), Now);
  }
  std::vector<gsPromptPart> parts{ { 1, 500 }, { 2, 5000 }, { 3, 600 } };
  gsPlacementRequest ask = MakeLongRequest();
  ask.Parts = &parts;
  ask.PromptTokens = 6100;
  std::string const preferred = ChooseId(fleet, ask);
  std::string const hall = gsFleetFind(fleet, preferred)->Listed.Hall;
  gsSetEvacuatedHalls(fleet, { hall }, Now);
  std::string const elsewhere = ChooseId(fleet, ask);
  EXPECT_NE(gsFleetFind(fleet, elsewhere)->Listed.Hall, hall);
  EXPECT_EQ(ChooseId(fleet, ask), elsewhere);
  gsSetEvacuatedHalls(fleet, {}, Now);
  EXPECT_EQ(ChooseId(fleet, ask), preferred);
}

namespace {

/** Two halls in region north, one in region south, and one without a region.
 */
gsFleet MakeFourHalls()
{
  gsFleet fleet;
  fleet.Settings.Hall = "n1";
  fleet.Settings.Regions = { { "n1", "north" },
                             { "n2", "north" },
                             { "s1", "south" } };
  gsFleetReplaceListing(fleet,
                        { MakeListed("un1", "n1"), MakeListed("un2", "n2"),
                          MakeListed("us1", "s1"), MakeListed("ux", "new") });
  return fleet;
}

/** Ids of all upstreams that may serve a request. */
std::set<std::string> AllEligible(gsFleet& fleet, gsPlacementRequest ask)
{
  std::set<std::string> chosen;
  std::vector<gsIncarnation> tried;
  ask.TriedUpstreams = &tried;
  gsRandom random(1);
  while (gsFleetRow* row = gsPlaceRequest(fleet, ask, Now, random).Row) {
    chosen.insert(row->Listed.Id);
    tried.push_back(gsIncarnationOf(row->Listed));
  }
  return chosen;
}

using Regions = std::vector<std::string>;
using Ids = std::set<std::string>;

} // namespace

TEST(Regions, AppliesRouteAndOrganisationRegions)
{
  gsFleet fleet = MakeFourHalls();
  Regions const none;
  Regions const north{ "north" };
  Regions const both{ "north", "south" };
  gsPlacementRequest ask = MakeLongRequest();
  ask.RouteRegions = &none;
  EXPECT_EQ(AllEligible(fleet, ask), (Ids{ "un1", "un2", "us1", "ux" }));
  ask.RouteRegions = &both;
  EXPECT_EQ(AllEligible(fleet, ask), (Ids{ "un1", "un2", "us1" }));
  ask.OrganisationRegions = &north;
  EXPECT_EQ(AllEligible(fleet, ask), (Ids{ "un1", "un2" }));
  Regions const south{ "south" };
  ask.RouteRegions = &south;
  gsRandom random(1);
  gsPlacement placement = gsPlaceRequest(fleet, ask, Now, random);
  EXPECT_EQ(placement.Row, nullptr);
  EXPECT_EQ(placement.Cause, gsPlacementCause::OutsideRegions);
}

TEST(Regions, TransfersNoPartsFromOutsideRegions)
{
  gsFleet fleet = MakeFourHalls();
  std::vector<gsPromptPart> parts{ { 1, 500 }, { 2, 5000 }, { 3, 600 } };
  gsRecordCachedParts(fleet, *gsFleetFind(fleet, "us1"), parts, Now);
  Regions const north{ "north" };
  gsPlacementRequest ask = MakeLongRequest();
  ask.Parts = &parts;
  ask.PromptTokens = 6100;
  ask.CanTransferParts = true;
  ask.RouteRegions = &north;
  gsRandom random(1);
  for (int i = 0; i < 20; ++i) {
    gsPlacement placement = gsPlaceRequest(fleet, ask, Now, random);
    ASSERT_NE(placement.Row, nullptr);
    EXPECT_NE(placement.Row->Listed.Id, "us1");
    EXPECT_TRUE(placement.TransferSource == nullptr ||
                placement.TransferSource->Listed.Id != "us1");
  }
}
