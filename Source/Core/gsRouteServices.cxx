/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRouteServices.h"

#include <map>
#include <vector>

#include "gsFleet.h"
#include "gsRendezvous.h"

namespace {

constexpr std::string_view NamePrefix = "route:";

bool IsRouteName(std::string_view name)
{
  return name.substr(0, NamePrefix.size()) == NamePrefix;
}

gsListedUpstream MakeEntry(std::string const& name, std::uint32_t service)
{
  gsListedUpstream entry;
  entry.Service = name;
  entry.SoftwareVersion = service;
  return entry;
}

/** Records the services that a route has now. */
void SetServices(gsFleet& fleet, std::string const& name,
                 std::set<std::uint32_t> const& services, gsTime now)
{
  std::set<std::uint32_t> before;
  for (auto const& [service, known] : fleet.VersionHistories[name].Versions) {
    if (known.Count > 0) {
      before.insert(service);
    }
  }
  for (std::uint32_t service : services) {
    if (before.count(service) == 0) {
      gsAddListedVersion(fleet, MakeEntry(name, service), now);
    }
  }
  for (std::uint32_t service : before) {
    if (services.count(service) == 0) {
      gsRemoveListedVersion(fleet, MakeEntry(name, service), now);
    }
  }
}

/** The service with a hash; empty if none is listed. */
std::string_view FindService(gsFleet const& fleet, std::uint32_t hash)
{
  for (auto const& [name, history] : fleet.VersionHistories) {
    if (!IsRouteName(name) && gsServiceHash(name) == hash) {
      return name;
    }
  }
  return {};
}

} // namespace

std::uint32_t gsServiceHash(std::string_view service)
{
  return static_cast<std::uint32_t>(gsHashText(service));
}

std::string gsRouteHistoryName(gsRoute const& route)
{
  return std::string(NamePrefix) + route.Name;
}

std::set<std::string> gsResumableNames(gsRouteTable const& table)
{
  std::set<std::string> names;
  for (gsRoute const& route : table.Routes) {
    if (!route.Resumable) {
      continue;
    }
    names.insert(gsRouteHistoryName(route));
    for (gsRouteShare const& share : route.Shares) {
      names.insert(share.Service);
    }
  }
  return names;
}

void gsSetRouteServices(gsFleet& fleet, gsRouteTable const& table, gsTime now)
{
  std::map<std::string, std::set<std::uint32_t>> routes;
  for (auto const& [name, history] : fleet.VersionHistories) {
    if (IsRouteName(name)) {
      routes[name]; // Without services, unless the table has it.
    }
  }
  for (gsRoute const& route : table.Routes) {
    for (gsRouteShare const& share : route.Shares) {
      if (route.Resumable) {
        routes[gsRouteHistoryName(route)].insert(gsServiceHash(share.Service));
      }
    }
  }
  for (auto const& [name, services] : routes) {
    SetServices(fleet, name, services, now);
  }
}

gsInferredVersion gsInferRouteVersion(gsFleet const& fleet,
                                      std::string_view name, gsTime now)
{
  gsInferredVersion const service = gsInferStreamVersion(fleet, name, now);
  if (!IsRouteName(name) || service.OnlySeen == 0) {
    return service;
  }
  gsInferredVersion version =
    gsInferStreamVersion(fleet, FindService(fleet, service.OnlySeen), now);
  if (service.Version == 0 &&
      version.Cause != gsVersionInference::SeveralVersions) {
    version.Version = 0;
    version.Cause = service.Cause;
  }
  return version;
}
