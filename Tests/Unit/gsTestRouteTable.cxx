/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Looking routes, keys and urgencies up. */
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

std::string Found(gsRouteTable const& table, std::string_view host,
                  std::string_view path)
{
  gsRoute const* route = gsFindRoute(table, host, path);
  return route == nullptr ? "none" : route->Name;
}

} // namespace

TEST(RouteTable, TheLongestPrefixOfTheHostWins)
{
  gsRouteTable table;
  table.Routes = { MakeRoute("root", "one.example", "/"),
                   MakeRoute("a", "one.example", "/a/"),
                   MakeRoute("ab", "one.example", "/a/b/"),
                   MakeRoute("other", "two.example", "/a/") };
  gsIndexRoutes(table);
  EXPECT_EQ(Found(table, "one.example", "/a/b/c"), "ab");
  EXPECT_EQ(Found(table, "one.example", "/a/b"), "a");
  EXPECT_EQ(Found(table, "one.example", "/ab/c"), "root");
  EXPECT_EQ(Found(table, "ONE.example:8080", "/a/b/?q=/x/"), "ab");
  EXPECT_EQ(Found(table, "one.example", "/?x=/a/b/"), "root");
  EXPECT_EQ(Found(table, "two.example", "/a/b/c"), "other");
  EXPECT_EQ(Found(table, "two.example", "/b/c"), "none");
  EXPECT_EQ(Found(table, "three.example", "/a/"), "none");
  EXPECT_EQ(Found(table, "one.example", ""), "none");
}

TEST(RouteTable, SharesFollowTheirWeights)
{
  gsRoute route;
  route.Shares = { { "old", 90 }, { "new", 10 } };
  EXPECT_EQ(gsPickShare(route, 0.0), "old");
  EXPECT_EQ(gsPickShare(route, 0.899), "old");
  EXPECT_EQ(gsPickShare(route, 0.901), "new");
  EXPECT_EQ(gsPickShare(route, 1.0), "new");
}

TEST(RouteTable, KeysBelongToOneOrganisation)
{
  gsRouteTable table;
  table.Organisations = { { "club", { "k1", "k2" }, {} },
                          { "school", { "k3" }, 1 } };
  gsIndexRoutes(table);
  ASSERT_NE(gsFindKey(table, "k2"), nullptr);
  EXPECT_EQ(gsFindKey(table, "k2")->Name, "club");
  EXPECT_EQ(gsFindKey(table, "k3")->Name, "school");
  EXPECT_EQ(gsFindKey(table, "k4"), nullptr);
  EXPECT_EQ(gsFindKey(table, ""), nullptr);
}

TEST(RouteTable, ARequestIsNeverLessUrgentThanOneOfALowerRoute)
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
      urgencies.push_back(gsUrgencyOf(table, route, &organisation));
    }
    EXPECT_EQ(gsUrgencyOf(table, route, nullptr), urgencies.back());
  }
  EXPECT_EQ(urgencies, (std::vector<std::uint32_t>{ 0, 1, 2, 3, 4, 5 }));
}

TEST(RouteTable, TheTightestPauseIsThatOfAllStreamsOfAService)
{
  gsRouteTable table;
  table.Routes = { MakeRoute("review", "h", "/r/"),
                   MakeRoute("lookup", "h", "/l/"),
                   MakeRoute("plain", "h", "/p/") };
  for (gsRoute& route : table.Routes) {
    route.Events = true;
  }
  table.Routes[0].GapTarget = gsMilliseconds(600);
  table.Routes[1].GapTarget = gsMilliseconds(150);
  table.Routes[2].Events = false;
  gsIndexRoutes(table);
  for (gsRoute const& route : table.Routes) {
    EXPECT_EQ(route.TightestGapTarget, gsMilliseconds(150));
  }
  // Another service has its own; what is no stream has none.
  table.Routes[1].Shares = { { "other", 1 } };
  table.Routes[2].GapTarget = gsMilliseconds(10);
  gsIndexRoutes(table);
  EXPECT_EQ(table.Routes[0].TightestGapTarget, gsMilliseconds(600));
  EXPECT_EQ(table.Routes[1].TightestGapTarget, gsMilliseconds(150));
  // One that goes to both services has the tighter of the two.
  table.Routes[0].Shares.push_back({ "other", 1 });
  gsIndexRoutes(table);
  EXPECT_EQ(table.Routes[0].TightestGapTarget, gsMilliseconds(150));
}

TEST(RouteTable, KindsOfOneServiceAreCountedByTheirUrgency)
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
  std::vector<std::uint32_t> kinds;
  for (gsRoute const& route : table.Routes) {
    std::string const& service = route.Shares.front().Service;
    kinds.push_back(gsMoreUrgentKinds(table, service, route));
  }
  EXPECT_EQ(kinds, (std::vector<std::uint32_t>{ 0, 1, 2, 2, 0 }));
  EXPECT_EQ(gsMoreUrgentKinds(table, "other", table.Routes[2]), 0U);
  EXPECT_EQ(gsMoreUrgentKinds(table, "unknown", table.Routes[2]), 0U);
}

// A route that is shared by two services meets other kinds at each of them;
// at its engines only those count that use the same engines.
TEST(RouteTable, KindsOfAPlainServiceKeepNoPlacesAtEngines)
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
  EXPECT_EQ(gsMoreUrgentKinds(table, "model", table.Routes[1]), 0U);
  EXPECT_EQ(gsMoreUrgentKinds(table, "plain", table.Routes[1]), 1U);
}
