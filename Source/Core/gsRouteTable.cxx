/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRouteTable.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <set>

namespace {

std::string IndexKey(std::string_view host, std::string_view prefix)
{
  std::string key;
  key.reserve(host.size() + prefix.size() + 1);
  key += host;
  key += '\n';
  key += prefix;
  return key;
}

std::string HostWithoutPort(std::string_view host)
{
  std::string plain(host.substr(0, host.find(':')));
  std::transform(plain.begin(), plain.end(), plain.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return plain;
}

/** Of an organisation that has none. */
constexpr std::uint32_t LowestPriority =
  std::numeric_limits<std::uint32_t>::max();

bool IsShorter(gsTime target, gsTime than)
{
  bool limits = target.count() > 0;
  return limits && (than.count() == 0 || target < than);
}

void FindTightestTargets(gsRouteTable& table)
{
  std::unordered_map<std::string, gsTime> tightest;
  for (gsRoute const& route : table.Routes) {
    for (gsRouteShare const& share : route.Shares) {
      gsTime& least = tightest[share.Service];
      bool counts = route.Events && IsShorter(route.GapTarget, least);
      least = counts ? route.GapTarget : least;
    }
  }
  for (gsRoute& route : table.Routes) {
    route.TightestGapTarget = gsTime{};
    for (gsRouteShare const& share : route.Shares) {
      gsTime least = tightest[share.Service];
      if (IsShorter(least, route.TightestGapTarget)) {
        route.TightestGapTarget = least;
      }
    }
  }
}

void FindKinds(gsRouteTable& table)
{
  std::unordered_map<std::string, std::set<std::uint32_t>> priorities;
  for (gsRoute const& route : table.Routes) {
    for (gsRouteShare const& share : route.Shares) {
      priorities[share.Service].insert(route.Priority);
    }
  }
  table.KindsOf.clear();
  for (auto const& [service, all] : priorities) {
    table.KindsOf[service].assign(all.begin(), all.end());
  }
}

void RankUrgencies(gsRouteTable& table)
{
  std::set<std::pair<std::uint32_t, std::uint32_t>> pairs;
  for (gsRoute const& route : table.Routes) {
    pairs.emplace(route.Priority, LowestPriority);
    for (gsRouteOrganisation const& organisation : table.Organisations) {
      pairs.emplace(route.Priority,
                    organisation.Priority.value_or(LowestPriority));
    }
  }
  table.Urgencies.assign(pairs.begin(), pairs.end());
}

} // namespace

void gsIndexRoutes(gsRouteTable& table)
{
  table.RouteIndex.clear();
  table.KeyIndex.clear();
  table.ServiceIndex.clear();
  for (std::size_t i = 0; i < table.Routes.size(); ++i) {
    gsRoute const& route = table.Routes[i];
    table.RouteIndex[IndexKey(route.Host, route.Prefix)] = i;
  }
  for (std::size_t i = 0; i < table.Organisations.size(); ++i) {
    for (std::string const& key : table.Organisations[i].Keys) {
      table.KeyIndex[key] = i;
    }
  }
  for (std::size_t i = 0; i < table.Services.size(); ++i) {
    table.ServiceIndex[table.Services[i].Name] = i;
  }
  FindTightestTargets(table);
  FindKinds(table);
  RankUrgencies(table);
}

std::uint32_t gsUrgencyOf(gsRouteTable const& table, gsRoute const& route,
                          gsRouteOrganisation const* organisation)
{
  std::uint32_t second = LowestPriority;
  if (organisation != nullptr) {
    second = organisation->Priority.value_or(LowestPriority);
  }
  auto place = std::lower_bound(table.Urgencies.begin(), table.Urgencies.end(),
                                std::make_pair(route.Priority, second));
  return static_cast<std::uint32_t>(place - table.Urgencies.begin());
}

std::uint32_t gsMoreUrgentKinds(gsRouteTable const& table,
                                std::string const& service,
                                gsRoute const& route)
{
  auto kinds = table.KindsOf.find(service);
  if (kinds == table.KindsOf.end()) {
    return 0;
  }
  auto own = std::lower_bound(kinds->second.begin(), kinds->second.end(),
                              route.Priority);
  return static_cast<std::uint32_t>(own - kinds->second.begin());
}

gsRoute const* gsFindRoute(gsRouteTable const& table, std::string_view host,
                           std::string_view path)
{
  path = path.substr(0, path.find('?'));
  std::string plain = HostWithoutPort(host);
  // Prefixes end with a slash, so only the slashes of the path count.
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    auto found =
      table.RouteIndex.find(IndexKey(plain, path.substr(0, slash + 1)));
    if (found != table.RouteIndex.end()) {
      return &table.Routes[found->second];
    }
    slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
  }
  return nullptr;
}

gsRouteOrganisation const* gsFindKey(gsRouteTable const& table,
                                     std::string_view key)
{
  auto found = table.KeyIndex.find(std::string(key));
  return found == table.KeyIndex.end() ? nullptr
                                       : &table.Organisations[found->second];
}

gsRouteService const* gsFindService(gsRouteTable const& table,
                                    std::string_view name)
{
  auto found = table.ServiceIndex.find(std::string(name));
  return found == table.ServiceIndex.end() ? nullptr
                                           : &table.Services[found->second];
}

std::string const& gsPickShare(gsRoute const& route, double draw)
{
  double total = 0;
  for (gsRouteShare const& share : route.Shares) {
    total += share.Weight;
  }
  double point = draw * total;
  for (gsRouteShare const& share : route.Shares) {
    point -= share.Weight;
    if (point < 0) {
      return share.Service;
    }
  }
  return route.Shares.back().Service;
}
