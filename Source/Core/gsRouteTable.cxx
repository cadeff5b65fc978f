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

/** The host in lower case, without its port. */
std::string NormalizeHost(std::string_view host)
{
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return name;
}

/** Priority of organisations without one, and of anonymous requests. */
constexpr std::uint32_t LowestPriority =
  std::numeric_limits<std::uint32_t>::max();

/** Whether a target is stricter than another; zero means no target. */
bool IsStricter(gsTime target, gsTime other)
{
  bool hasTarget = target.count() > 0;
  return hasTarget && (other.count() == 0 || target < other);
}

void SetMinIntervalTargets(gsRouteTable& table)
{
  std::unordered_map<std::string, gsTime> minimums;
  for (gsRoute const& route : table.Routes) {
    for (gsRouteShare const& share : route.Shares) {
      gsTime& minimum = minimums[share.Service];
      bool isStricter =
        route.StreamsEvents && IsStricter(route.EventIntervalTarget, minimum);
      minimum = isStricter ? route.EventIntervalTarget : minimum;
    }
  }
  for (gsRoute& route : table.Routes) {
    route.MinEventIntervalTarget = gsTime{};
    for (gsRouteShare const& share : route.Shares) {
      gsTime minimum = minimums[share.Service];
      if (IsStricter(minimum, route.MinEventIntervalTarget)) {
        route.MinEventIntervalTarget = minimum;
      }
    }
  }
}

void CollectPriorities(gsRouteTable& table)
{
  std::unordered_map<std::string, std::set<std::uint32_t>> priorities;
  for (gsRoute const& route : table.Routes) {
    for (gsRouteShare const& share : route.Shares) {
      priorities[share.Service].insert(route.Priority);
    }
  }
  table.PrioritiesByService.clear();
  for (auto const& [service, values] : priorities) {
    table.PrioritiesByService[service].assign(values.begin(), values.end());
  }
}

void CollectPriorityPairs(gsRouteTable& table)
{
  std::set<std::pair<std::uint32_t, std::uint32_t>> pairs;
  for (gsRoute const& route : table.Routes) {
    pairs.emplace(route.Priority, LowestPriority);
    for (gsRouteOrganisation const& organisation : table.Organisations) {
      pairs.emplace(route.Priority,
                    organisation.Priority.value_or(LowestPriority));
    }
  }
  table.PriorityPairs.assign(pairs.begin(), pairs.end());
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
  SetMinIntervalTargets(table);
  CollectPriorities(table);
  CollectPriorityPairs(table);
}

std::uint32_t gsRequestUrgency(gsRouteTable const& table, gsRoute const& route,
                               gsRouteOrganisation const* organisation)
{
  std::uint32_t organisationPriority = LowestPriority;
  if (organisation != nullptr) {
    organisationPriority = organisation->Priority.value_or(LowestPriority);
  }
  auto position =
    std::lower_bound(table.PriorityPairs.begin(), table.PriorityPairs.end(),
                     std::make_pair(route.Priority, organisationPriority));
  return static_cast<std::uint32_t>(position - table.PriorityPairs.begin());
}

std::uint32_t gsCountHigherPriorities(gsRouteTable const& table,
                                      std::string const& service,
                                      gsRoute const& route)
{
  auto priorities = table.PrioritiesByService.find(service);
  if (priorities == table.PrioritiesByService.end()) {
    return 0;
  }
  auto position = std::lower_bound(priorities->second.begin(),
                                   priorities->second.end(), route.Priority);
  return static_cast<std::uint32_t>(position - priorities->second.begin());
}

gsRoute const* gsFindRoute(gsRouteTable const& table, std::string_view host,
                           std::string_view path)
{
  path = path.substr(0, path.find('?'));
  std::string name = NormalizeHost(host);
  // Each prefix ends with a slash, so only the path up to one of its slashes
  // can match. The longest is tried first.
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    auto found =
      table.RouteIndex.find(IndexKey(name, path.substr(0, slash + 1)));
    if (found != table.RouteIndex.end()) {
      return &table.Routes[found->second];
    }
    slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
  }
  return nullptr;
}

gsRouteOrganisation const* gsFindOrganisationByKey(gsRouteTable const& table,
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

std::string const& gsSelectService(gsRoute const& route, double draw)
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
