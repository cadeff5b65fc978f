/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRouteTable.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <map>
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
  std::unordered_map<std::string, std::map<std::uint32_t, gsTime>> targets;
  for (gsRoute const& route : table.Routes) {
    for (gsRouteShare const& share : route.Shares) {
      gsTime& target = targets[share.Service][route.Priority];
      target =
        IsStricter(route.LatencyTarget, target) ? route.LatencyTarget : target;
    }
  }
  table.PrioritiesByService.clear();
  for (auto const& [service, byPriority] : targets) {
    std::vector<gsServicePriority>& entries =
      table.PrioritiesByService[service];
    gsTime minTarget{};
    for (auto const& [priority, target] : byPriority) {
      minTarget = IsStricter(target, minTarget) ? target : minTarget;
      entries.push_back({ priority, minTarget });
    }
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

namespace {

/** The priorities of a service's routes that are higher than a route's. */
std::pair<gsServicePriority const*, std::size_t> HigherPriorities(
  gsRouteTable const& table, std::string const& service, gsRoute const& route)
{
  auto found = table.PrioritiesByService.find(service);
  if (found == table.PrioritiesByService.end()) {
    return { nullptr, 0 };
  }
  std::vector<gsServicePriority> const& entries = found->second;
  auto end = std::lower_bound(
    entries.begin(), entries.end(), route.Priority,
    [](gsServicePriority const& entry, std::uint32_t priority) {
      return entry.Priority < priority;
    });
  return { entries.data(), static_cast<std::size_t>(end - entries.begin()) };
}

} // namespace

std::uint32_t gsCountHigherPriorities(gsRouteTable const& table,
                                      std::string const& service,
                                      gsRoute const& route)
{
  return static_cast<std::uint32_t>(
    HigherPriorities(table, service, route).second);
}

gsTime gsMoreUrgentTarget(gsRouteTable const& table,
                          std::string const& service, gsRoute const& route)
{
  auto [entries, count] = HigherPriorities(table, service, route);
  return count == 0 ? gsTime{} : entries[count - 1].MinTarget;
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

gsTime gsLongestStreamTime(gsRouteTable const& table)
{
  // Hosts and upstreams learn of a changed list within this.
  constexpr gsTime margin = gsSeconds(5);
  constexpr gsTime least = gsSeconds(30);
  gsTime longest = least;
  for (gsRoute const& route : table.Routes) {
    if (route.Resumable) {
      longest = std::max(longest, 2 * route.Timeout + margin);
    }
  }
  return longest;
}
