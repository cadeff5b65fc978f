/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Tests the lookup of routes, keys, urgencies and derived members. */
#include <gtest/gtest.h>

#include "gsRouteTable.h"

namespace {

gsRoute MakeRoute(std::string name, std::string host, std::string prefix)
{
  gsRoute route;
  route.Name = std::move(name);
  route.Host = std::move(host);
  route.Prefix = std::move(prefix);
  route.Shares = { { "model", 1.0 } };
  return route;
}

std::string FindRouteName(gsRouteTable const& table, std::string_view host,
                          std::string_view path)
{
  gsRoute const* route = gsFindRoute(table, host, path);
  return route == nullptr ? "none" : route->Name;
}

} // namespace

TEST(RouteTable, FindsRouteWithLongestPrefix)
{
  gsRouteTable table;
  table.Routes = { MakeRoute("root", "one.example", "/"),
                   MakeRoute("a", "one.example", "/a/"),
                   MakeRoute("ab", "one.example", "/a/b/"),
                   MakeRoute("other", "two.example", "/a/") };
  gsIndexRoutes(table);
  EXPECT_EQ(FindRouteName(table, "one.example", "/a/b/c"), "ab");
  EXPECT_EQ(FindRouteName(table, "one.example", "/a/b"), "a");
  EXPECT_EQ(FindRouteName(table, "one.example", "/ab/c"), "root");
  EXPECT_EQ(FindRouteName(table, "ONE.example:8080", "/a/b/?q=/x/"), "ab");
  EXPECT_EQ(FindRouteName(table, "one.example", "/?x=/a/b/"), "root");
  EXPECT_EQ(FindRouteName(table, "two.example", "/a/b/c"), "other");
  EXPECT_EQ(FindRouteName(table, "two.example", "/b/c"), "none");
  EXPECT_EQ(FindRouteName(table, "three.example", "/a/"), "none");
  EXPECT_EQ(FindRouteName(table, "one.example", ""), "none");
}

TEST(RouteTable, SelectsServiceByWeight)
{
  gsRoute route;
  route.Shares = { { "old", 90 }, { "new", 10 } };
  EXPECT_EQ(gsSelectService(route, 0.0), "old");
  EXPECT_EQ(gsSelectService(route, 0.899), "old");
  EXPECT_EQ(gsSelectService(route, 0.901), "new");
  EXPECT_EQ(gsSelectService(route, 1.0), "new");
}

TEST(RouteTable, FindsOrganisationByKey)
{
  gsRouteTable table;
  table.Organisations = { { "club", { "k1", "k2" }, {} },
                          { "school", { "k3" }, 1 } };
  gsIndexRoutes(table);
  ASSERT_NE(gsFindOrganisationByKey(table, "k2"), nullptr);
  EXPECT_EQ(gsFindOrganisationByKey(table, "k2")->Name, "club");
  EXPECT_EQ(gsFindOrganisationByKey(table, "k3")->Name, "school");
  EXPECT_EQ(gsFindOrganisationByKey(table, "k4"), nullptr);
  EXPECT_EQ(gsFindOrganisationByKey(table, ""), nullptr);
}

TEST(RouteTable, UrgencyOrdersByRouteThenOrganisationPriority)
{
  gsRouteTable table;
  table.Routes = { MakeRoute("lookup", "h", "/l/"),
                   MakeRoute("review", "h", "/r/") };
  table.Routes[1].Priority = 2;
  table.Organisations = { { "first", { "k" }, 0 },
                          { "second", { "m" }, 1 },
                          { "third", { "n" }, {} } };
  gsIndexRoutes(table);
  std::vector<std::uint32_t> urgencies;
  for (gsRoute const& route : table.Routes) {
    for (gsRouteOrganisation const& organisation : table.Organisations) {
      urgencies.push_back(gsRequestUrgency(table, route, &organisation));
    }
    EXPECT_EQ(gsRequestUrgency(table, route, nullptr), urgencies.back());
  }
  EXPECT_EQ(urgencies, (std::vector<std::uint32_t>{ 0, 1, 2, 3, 4, 5 }));
}

TEST(RouteTable, MinEventIntervalTargetCoversStreamsOfSharedServices)
{
  gsRouteTable table;
  table.Routes = { MakeRoute("review", "h", "/r/"),
                   MakeRoute("lookup", "h", "/l/"),
                   MakeRoute("plain", "h", "/p/") };
  for (gsRoute& route : table.Routes) {
    route.StreamsEvents = true;
  }
  table.Routes[0].EventIntervalTarget = gsMilliseconds(600);
  table.Routes[1].EventIntervalTarget = gsMilliseconds(150);
  table.Routes[2].StreamsEvents = false;
  gsIndexRoutes(table);
  for (gsRoute const& route : table.Routes) {
    EXPECT_EQ(route.MinEventIntervalTarget, gsMilliseconds(150));
  }
  // Routes of another service and routes without event streams do not count.
  table.Routes[1].Shares = { { "other", 1 } };
  table.Routes[2].EventIntervalTarget = gsMilliseconds(10);
  gsIndexRoutes(table);
  EXPECT_EQ(table.Routes[0].MinEventIntervalTarget, gsMilliseconds(600));
  EXPECT_EQ(table.Routes[1].MinEventIntervalTarget, gsMilliseconds(150));
  // A route to both services gets the smaller of the two targets.
  table.Routes[0].Shares.push_back({ "other", 1 });
  gsIndexRoutes(table);
  EXPECT_EQ(table.Routes[0].MinEventIntervalTarget, gsMilliseconds(150));
}

TEST(RouteTable, CountsDistinctHigherPrioritiesPerService)
{
  gsRouteTable table;
  auto add = [&table](std::string const& name, std::uint32_t priority,
                      std::vector<gsRouteShare> shares) {
    gsRoute route;
    route.Name = name;
    route.Host = "h";
    route.Prefix = "/" + name + "/";
    route.Priority = priority;
    route.Shares = std::move(shares);
    table.Routes.push_back(route);
  };
  add("query", 0, { { "model", 1 } });
  add("review", 2, { { "model", 1 } });
  add("tags", 5, { { "model", 1 }, { "other", 1 } });
  add("more-tags", 5, { { "model", 1 } });
  add("lookup", 7, { { "plain", 1 } });
  gsIndexRoutes(table);
  std::vector<std::uint32_t> counts;
  for (gsRoute const& route : table.Routes) {
    std::string const& service = route.Shares.front().Service;
    counts.push_back(gsCountHigherPriorities(table, service, route));
  }
  EXPECT_EQ(counts, (std::vector<std::uint32_t>{ 0, 1, 2, 2, 0 }));
  EXPECT_EQ(gsCountHigherPriorities(table, "other", table.Routes[2]), 0U);
  EXPECT_EQ(gsCountHigherPriorities(table, "unknown", table.Routes[2]), 0U);
}

// Guards against counting the routes of a plain service at the engines of
// another service. A route with two services competes with different routes at
// each of them; at the engines only routes that use the same engines count.
TEST(RouteTable, HigherPrioritiesOfPlainServiceDoNotCountAtEngines)
{
  gsRouteTable table;
  auto add = [&table](std::string const& name, std::uint32_t priority,
                      std::vector<gsRouteShare> shares) {
    gsRoute route = MakeRoute(name, "h", "/" + name + "/");
    route.Priority = priority;
    route.Shares = std::move(shares);
    table.Routes.push_back(route);
  };
  add("lookup", 0, { { "plain", 1 } });
  add("tags", 5, { { "model", 1 }, { "plain", 1 } });
  gsRouteService model;
  model.Name = "model";
  model.Engine = gsRouteEngine{ 12, 0, false };
  gsRouteService plain;
  plain.Name = "plain";
  table.Services = { model, plain };
  gsIndexRoutes(table);
  EXPECT_EQ(gsCountHigherPriorities(table, "model", table.Routes[1]), 0U);
  EXPECT_EQ(gsCountHigherPriorities(table, "plain", table.Routes[1]), 1U);
}

// Guards against streams of routes with long timeouts that are taken for over
// after half a minute, so that they go on at another software version.
TEST(RouteTable, StreamsLastAsLongAsTheTimeoutsOfTheirRoutes)
{
  gsRouteTable table;
  table.Routes = { MakeRoute("chat", "one.example", "/") };
  gsRoute& route = table.Routes[0];
  route.Timeout = gsSeconds(90);
  EXPECT_EQ(gsLongestStreamTime(table), gsSeconds(30));
  route.Resumable = true;
  // The attempt that an upstream began last, and its caller's next tries.
  EXPECT_GE(gsLongestStreamTime(table), 2 * route.Timeout);
}
