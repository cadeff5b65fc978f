/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Tests what follows from the software versions of listed upstreams,
 * and the placement of requests that need one of them. */
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsFleetCases.h"
#include "gsPlacement.h"
#include "gsSoftwareVersion.h"

using namespace gsFleetCases;

namespace {

constexpr std::uint32_t First = 11;
constexpr std::uint32_t Second = 22;

gsListedUpstream Listed(std::string const& id, std::uint32_t version)
{
  gsListedUpstream upstream = MakeListed(id, "north");
  upstream.SoftwareVersion = version;
  return upstream;
}

std::uint32_t Infer(gsFleet const& fleet, gsTime now)
{
  return gsInferStreamVersion(fleet, Listed("x", 0).Service, now).Version;
}

} // namespace

TEST(SoftwareVersion, TheOnlyOneOfAServiceIsInferredOnceStreamsBeforeAreOver)
{
  gsFleet fleet;
  gsTime begin = gsSeconds(100);
  gsTime end = begin + fleet.Settings.MaxStreamTime;
  gsFleetUpsert(fleet, Listed("a", First), begin);
  gsFleetUpsert(fleet, Listed("b", First), begin + gsSeconds(1));
  EXPECT_EQ(Infer(fleet, end), 0U);
  EXPECT_EQ(Infer(fleet, end + gsMilliseconds(1)), First);
}

TEST(SoftwareVersion, AnUpstreamThatIsListedAnewAtAnotherVersionCountsOnce)
{
  gsFleet fleet;
  gsTime begin = gsSeconds(100);
  gsFleetUpsert(fleet, Listed("a", First), begin);
  gsFleetUpsert(fleet, Listed("a", First), begin);
  gsFleetUpsert(fleet, Listed("a", Second), begin);
  EXPECT_FALSE(gsHasVersions(fleet, Listed("x", 0).Service));
  EXPECT_EQ(Infer(fleet, begin + fleet.Settings.MaxStreamTime), 0U);
  EXPECT_EQ(Infer(fleet, begin + 2 * fleet.Settings.MaxStreamTime), Second);
}

TEST(SoftwareVersion, NothingIsInferredWhileStreamsOfAnotherMayLast)
{
  gsFleet fleet;
  gsTime begin = gsSeconds(100);
  gsFleetUpsert(fleet, Listed("a", First), begin);
  gsTime later = begin + 2 * fleet.Settings.MaxStreamTime;
  EXPECT_EQ(Infer(fleet, later), First);
  gsFleetUpsert(fleet, Listed("b", Second), later);
  EXPECT_EQ(Infer(fleet, later), 0U);
  gsFleetRemove(fleet, "a", later + gsSeconds(2));
  gsTime end = later + gsSeconds(2) + fleet.Settings.MaxStreamTime;
  EXPECT_EQ(Infer(fleet, end), 0U);
  EXPECT_EQ(Infer(fleet, end + gsMilliseconds(1)), Second);
}

// A row that came through a host of an earlier release names no version.
TEST(SoftwareVersion, AnUnknownVersionIsNoVersion)
{
  gsFleet fleet;
  gsTime begin = gsSeconds(100);
  gsFleetUpsert(fleet, Listed("a", First), begin);
  gsFleetUpsert(fleet, Listed("b", 0), begin);
  EXPECT_EQ(Infer(fleet, begin + 2 * fleet.Settings.MaxStreamTime), 0U);
}

TEST(SoftwareVersion, EqualNamesOfTwoServicesDiffer)
{
  EXPECT_NE(gsSoftwareVersionHash("a", "v1"),
            gsSoftwareVersionHash("b", "v1"));
  EXPECT_NE(gsSoftwareVersionHash("a", "v1"), 0U);
}

// Guards against a stream that finds none of the few upstreams of its version
// in a sample of a large service.
TEST(SoftwareVersion, ARequestFindsTheLastUpstreamOfItsVersion)
{
  gsFleet fleet;
  constexpr int upstreams = 600;
  for (int i = 0; i < upstreams; ++i) {
    gsFleetUpsert(fleet, Listed("u" + std::to_string(i), Second),
                  gsSeconds(1));
  }
  gsFleetUpsert(fleet, Listed("last", First), gsSeconds(1));
  gsRandom random(1);
  std::string const service = Listed("x", 0).Service;
  gsPlacementRequest request;
  request.Service = service;
  request.RequiredVersion = First;
  for (int i = 0; i < 20; ++i) {
    gsPlacement placement =
      gsPlaceRequest(fleet, request, gsSeconds(2), random);
    ASSERT_NE(placement.Row, nullptr);
    EXPECT_EQ(placement.Row->Listed.Id, "last");
  }
  request.RequiredVersion = 0; // Unknown: equal to no version.
  gsPlacement placement = gsPlaceRequest(fleet, request, gsSeconds(2), random);
  EXPECT_EQ(placement.Row, nullptr);
  EXPECT_EQ(placement.Cause, gsPlacementCause::OtherVersion);
}
