/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Tests what follows on the versions of streams where a configuration
 * splits a route between services or moves it. */
#include <string>

#include <gtest/gtest.h>

#include "gsFleetCases.h"
#include "gsRouteServices.h"

using namespace gsFleetCases;

namespace {

constexpr std::uint32_t First = 11;
constexpr std::uint32_t Second = 22;
constexpr gsTime Begin = gsSeconds(100);

void List(gsFleet& fleet, std::string const& service, std::uint32_t version)
{
  gsListedUpstream upstream = MakeListed("of-" + service, "north");
  upstream.Service = service;
  upstream.SoftwareVersion = version;
  gsFleetUpsert(fleet, upstream, Begin);
}

gsRouteTable MakeTable(std::vector<gsRouteShare> const& shares)
{
  gsRouteTable table;
  gsRoute route;
  route.Name = "chat";
  route.Resumable = true;
  route.Shares = shares;
  table.Routes = { route };
  return table;
}

gsInferredVersion Infer(gsFleet const& fleet, gsTime now)
{
  return gsInferRouteVersion(fleet, "route:chat", now);
}

} // namespace

TEST(RouteServices, AStreamOfARouteWithOneServiceIsOfItsOnlyVersion)
{
  gsFleet fleet;
  List(fleet, "model", First);
  gsSetRouteServices(fleet, MakeTable({ { "model", 1 } }), Begin);
  gsTime end = Begin + fleet.Settings.MaxStreamTime;
  EXPECT_EQ(Infer(fleet, end).Version, 0U);
  EXPECT_EQ(Infer(fleet, end).OnlySeen, First);
  EXPECT_EQ(Infer(fleet, end + gsMilliseconds(1)).Version, First);
}

// Guards against text joined from two services: a route was moved to another
// one, and its streams were taken for streams of that.
TEST(RouteServices, AStreamOfARouteThatWasMovedIsNotTakenForOneOfItsNewService)
{
  gsFleet fleet;
  List(fleet, "old", First);
  List(fleet, "new", Second);
  gsSetRouteServices(fleet, MakeTable({ { "old", 1 } }), Begin);
  gsTime moved = Begin + 2 * fleet.Settings.MaxStreamTime;
  EXPECT_EQ(Infer(fleet, moved).Version, First);
  gsSetRouteServices(fleet, MakeTable({ { "new", 1 } }), moved);
  gsTime end = moved + fleet.Settings.MaxStreamTime;
  EXPECT_EQ(gsInferStreamVersion(fleet, "new", end).Version, Second);
  EXPECT_EQ(Infer(fleet, end).Version, 0U);
  EXPECT_EQ(Infer(fleet, end).Cause, gsVersionInference::SeveralVersions);
  EXPECT_EQ(Infer(fleet, end + gsMilliseconds(1)).Version, Second);
}

// The same for a route that is split: its stream began at either.
TEST(RouteServices, NothingIsInferredForARouteThatIsSplit)
{
  gsFleet fleet;
  List(fleet, "a", First);
  List(fleet, "b", Second);
  gsSetRouteServices(fleet, MakeTable({ { "a", 1 }, { "b", 1 } }), Begin);
  gsTime later = Begin + 2 * fleet.Settings.MaxStreamTime;
  EXPECT_EQ(gsInferStreamVersion(fleet, "b", later).Version, Second);
  EXPECT_EQ(Infer(fleet, later).Version, 0U);
  EXPECT_EQ(Infer(fleet, later).Cause, gsVersionInference::SeveralVersions);
}

// Hosts of earlier releases ask for a service.
TEST(RouteServices, TheNameOfAServiceStandsForItself)
{
  gsFleet fleet;
  List(fleet, "model", First);
  gsTime later = Begin + 2 * fleet.Settings.MaxStreamTime;
  EXPECT_EQ(gsInferRouteVersion(fleet, "model", later).Version, First);
}
