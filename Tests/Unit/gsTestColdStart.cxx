/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Cold upstreams, halls that are evacuated, and regions: who may be sent
 * anything at all. Hosts do not agree on any of it; what they do apart has to
 * keep the bounds over all of them.
 *
 * Seen: 63 hosts that all sent to an upstream which had just come back cold,
 * 42 requests in a second where it bore 19, and collapses above 33.
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

/** What an upstream bears in a second before it collapses, by the sheet of
 * the deployment that sets it: 1.5 times its rate, and 5 more. */
double Bound(double perSecond)
{
  return 1.5 * perSecond + 5;
}

/** Requests that all hosts send to one cold upstream in the fullest second,
 * when each always has one to send. */
std::size_t MostInASecond(double perSecond, std::size_t hosts,
                          std::size_t believed, std::string const& upstream)
{
  std::size_t sum = 0;
  for (std::size_t i = 0; i < hosts; ++i) {
    gsColdShare share = gsShareOfCold(perSecond, believed,
                                      "host-" + std::to_string(i), upstream);
    if (share.Sends) {
      double gap = gsToSeconds(share.Gap);
      // One at each end of the second, and as many as fit between.
      sum += gap >= 1 ? 1 : 1 + static_cast<std::size_t>(1 / gap);
    }
  }
  return sum;
}

gsListedUpstream Cold(std::string const& id, gsTime left,
                      std::string const& hall = "a")
{
  gsListedUpstream listed = Listed(id, hall);
  listed.ColdLeft = left;
  return listed;
}

gsPlacementAsk AskOf(double coldPerSecond, std::size_t hosts)
{
  gsPlacementAsk ask = Plain();
  ask.ColdPerSecond = coldPerSecond;
  ask.Hosts = hosts;
  ask.HostsOfLate = hosts;
  return ask;
}

} // namespace

TEST(ColdStart, AllHostsTogetherKeepTheRateOfEachUpstream)
{
  for (std::size_t hosts : { 1, 3, 9, 30, 63, 100, 300, 1000 }) {
    for (double perSecond : { 2.0, 5.0, 19.0, 80.0 }) {
      for (int i = 0; i < 100; ++i) {
        std::string const upstream = "u" + std::to_string(i);
        EXPECT_LE(static_cast<double>(
                    MostInASecond(perSecond, hosts, hosts, upstream)),
                  Bound(perSecond))
          << hosts << " hosts, " << perSecond << " a second, " << upstream;
      }
    }
  }
}

TEST(ColdStart, AColdUpstreamGetsSomethingFromManyHosts)
{
  std::size_t sum = 0;
  for (int i = 0; i < 100; ++i) {
    sum += MostInASecond(19, 1000, 1000, "u" + std::to_string(i));
  }
  EXPECT_GT(sum, 700U); // Of 950 that all hosts' shares come to.
}

TEST(ColdStart, HostsThatDoNotKnowOfTheOtherHalfKeepItToo)
{
  for (int i = 0; i < 200; ++i) {
    std::string const upstream = "u" + std::to_string(i);
    EXPECT_LE(static_cast<double>(MostInASecond(19, 63, 32, upstream)),
              Bound(19))
      << upstream;
  }
}

TEST(ColdStart, WarmUpstreamsTakeTheRestAndTheLastIsRefused)
{
  gsFleet fleet = MakeFleet(1);
  fleet.Settings.Host = "host-0";
  gsFleetPut(fleet, Cold("cold", gsSeconds(3)), Now);
  gsPlacementAsk ask = AskOf(4, 1);
  gsRandom random(1);
  gsFleetFind(fleet, "u0")->Own.Running = 500;
  gsFleetRow* first = gsPlace(fleet, ask, Now, random).Row;
  ASSERT_NE(first, nullptr);
  EXPECT_EQ(first->Listed.Id, "cold");
  first->ColdSentAt = Now;
  EXPECT_EQ(Chosen(fleet, ask), "u0");
  gsFleetDrop(fleet, "u0");
  gsPlacement none = gsPlace(fleet, ask, Now, random);
  EXPECT_EQ(none.Row, nullptr);
  EXPECT_EQ(none.Cause, gsPlacementCause::Cold);
  // Half of 4 a second.
  gsTime later = Now + gsMilliseconds(500);
  EXPECT_NE(gsPlace(fleet, ask, later, random).Row, nullptr);
  // It is warm again.
  gsFleetFind(fleet, "cold")->ColdSentAt = Now + gsSeconds(3);
  EXPECT_NE(gsPlace(fleet, ask, Now + gsSeconds(3), random).Row, nullptr);
}

TEST(ColdStart, AWholeHallThatComesBackColdGetsAShareOfEach)
{
  gsFleet fleet;
  fleet.Settings.Host = "host-0";
  fleet.Settings.Hall = "a";
  for (int i = 0; i < 60; ++i) {
    gsFleetPut(fleet, Cold("u" + std::to_string(i), gsSeconds(3)), Now);
  }
  gsPlacementAsk ask = AskOf(19, 63);
  gsRandom random(1);
  std::size_t sent = 0;
  while (gsFleetRow* row = gsPlace(fleet, ask, Now, random).Row) {
    EXPECT_NE(row->ColdSentAt, Now);
    row->ColdSentAt = Now;
    ++sent;
  }
  // 60 upstreams of 9.5 a second over 63 hosts.
  EXPECT_GE(sent, 4U);
  EXPECT_LE(sent, 16U);
}

TEST(ColdStart, AServiceWithoutARateSetsNoLimit)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  gsFleetPut(fleet, Cold("cold", gsSeconds(3)), Now);
  gsFleetFind(fleet, "cold")->ColdSentAt = Now;
  EXPECT_EQ(Chosen(fleet, AskOf(0, 1000)), "cold");
}

TEST(RecentPeak, PartsOfASystemAreTakenForTheWholeForAWhile)
{
  gsRecentPeak peak;
  gsTime now = gsSeconds(100);
  EXPECT_EQ(gsNotePeak(peak, 63, now), 63U);
  for (int i = 1; i <= 20; ++i) {
    EXPECT_EQ(gsNotePeak(peak, 16, now + gsSeconds(i)), 63U) << i;
  }
  EXPECT_EQ(gsNotePeak(peak, 16, now + gsSeconds(41)), 16U);
  EXPECT_EQ(gsNotePeak(peak, 20, now + gsSeconds(42)), 20U);
}

TEST(Evacuation, AHallThatIsEvacuatedGetsNothingUntilItIsTakenBack)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  gsFleetTake(fleet, { Listed("u0", "a"), Listed("u1", "b") }, Now);
  gsFleetFind(fleet, "u1")->Own.Running = 500;
  EXPECT_EQ(Chosen(fleet, Plain()), "u0");
  gsNoteEvacuated(fleet, { "a" }, Now);
  EXPECT_EQ(Chosen(fleet, Plain()), "u1");
  EXPECT_FALSE(gsTakesWork(fleet, *gsFleetFind(fleet, "u0"), Now));
  gsNoteEvacuated(fleet, { "a", "b" }, Now + gsSeconds(1));
  EXPECT_EQ(Chosen(fleet, Plain()), "none");
  EXPECT_EQ(fleet.Evacuated["a"], Now);
  gsNoteEvacuated(fleet, {}, Now + gsSeconds(2));
  EXPECT_EQ(Chosen(fleet, Plain()), "u0");
}

TEST(Evacuation, SubjectsMoveToOtherHallsAndComeBack)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  for (int i = 0; i < 20; ++i) {
    gsFleetPut(fleet, Listed("u" + std::to_string(i), i % 2 == 0 ? "a" : "b"),
               Now);
  }
  std::vector<gsPromptPart> parts{ { 1, 500 }, { 2, 5000 }, { 3, 600 } };
  gsPlacementAsk ask = Plain();
  ask.Parts = &parts;
  ask.PromptTokens = 6100;
  std::string const home = Chosen(fleet, ask);
  std::string const hall = gsFleetFind(fleet, home)->Listed.Hall;
  gsNoteEvacuated(fleet, { hall }, Now);
  std::string const elsewhere = Chosen(fleet, ask);
  EXPECT_NE(gsFleetFind(fleet, elsewhere)->Listed.Hall, hall);
  EXPECT_EQ(Chosen(fleet, ask), elsewhere);
  gsNoteEvacuated(fleet, {}, Now);
  EXPECT_EQ(Chosen(fleet, ask), home);
}

namespace {

/** Two halls in the region north, one in south, one of no known region. */
gsFleet FourHalls()
{
  gsFleet fleet;
  fleet.Settings.Hall = "n1";
  fleet.Settings.Regions = { { "n1", "north" },
                             { "n2", "north" },
                             { "s1", "south" } };
  gsFleetTake(fleet, { Listed("un1", "n1"), Listed("un2", "n2"),
                       Listed("us1", "s1"), Listed("ux", "new") });
  return fleet;
}

std::set<std::string> AllChosen(gsFleet& fleet, gsPlacementAsk ask)
{
  std::set<std::string> chosen;
  std::vector<gsIncarnation> tried;
  ask.Tried = &tried;
  gsRandom random(1);
  while (gsFleetRow* row = gsPlace(fleet, ask, Now, random).Row) {
    chosen.insert(row->Listed.Id);
    tried.push_back(gsIncarnationOf(row->Listed));
  }
  return chosen;
}

using Regions = std::vector<std::string>;
using Ids = std::set<std::string>;

} // namespace

TEST(Regions, RouteAndOrganisationBothBind)
{
  gsFleet fleet = FourHalls();
  Regions const none;
  Regions const north{ "north" };
  Regions const both{ "north", "south" };
  gsPlacementAsk ask = Plain();
  ask.RouteRegions = &none;
  EXPECT_EQ(AllChosen(fleet, ask), (Ids{ "un1", "un2", "us1", "ux" }));
  ask.RouteRegions = &both;
  EXPECT_EQ(AllChosen(fleet, ask), (Ids{ "un1", "un2", "us1" }));
  ask.OrganisationRegions = &north;
  EXPECT_EQ(AllChosen(fleet, ask), (Ids{ "un1", "un2" }));
  Regions const south{ "south" };
  ask.RouteRegions = &south;
  gsRandom random(1);
  gsPlacement placement = gsPlace(fleet, ask, Now, random);
  EXPECT_EQ(placement.Row, nullptr);
  EXPECT_EQ(placement.Cause, gsPlacementCause::OutsideRegions);
}

TEST(Regions, NoPartsAreTakenFromOutside)
{
  gsFleet fleet = FourHalls();
  std::vector<gsPromptPart> parts{ { 1, 500 }, { 2, 5000 }, { 3, 600 } };
  gsNoteParts(fleet, *gsFleetFind(fleet, "us1"), parts, Now);
  Regions const north{ "north" };
  gsPlacementAsk ask = Plain();
  ask.Parts = &parts;
  ask.PromptTokens = 6100;
  ask.MayMove = true;
  ask.RouteRegions = &north;
  gsRandom random(1);
  for (int i = 0; i < 20; ++i) {
    gsPlacement placement = gsPlace(fleet, ask, Now, random);
    ASSERT_NE(placement.Row, nullptr);
    EXPECT_NE(placement.Row->Listed.Id, "us1");
    EXPECT_TRUE(placement.Holder == nullptr ||
                placement.Holder->Listed.Id != "us1");
  }
}
