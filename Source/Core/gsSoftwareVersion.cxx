/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsSoftwareVersion.h"

#include <algorithm>
#include <string>

#include "gsFleet.h"
#include "gsRendezvous.h"

namespace {

/** Number of versions that are listed now. */
std::size_t CountListed(gsVersionHistory const& history)
{
  return static_cast<std::size_t>(std::count_if(
    history.Versions.begin(), history.Versions.end(),
    [](auto const& version) { return version.second.Count > 0; }));
}

} // namespace

bool gsIsVersionOver(gsFleet const& fleet, gsListedVersion const& version,
                     gsTime now)
{
  return version.Count == 0 &&
         now - version.LastListedAt > fleet.Settings.MaxStreamTime;
}

std::uint32_t gsSoftwareVersionHash(std::string_view service,
                                    std::string_view version)
{
  std::string text(service);
  text += '\0';
  text += version;
  auto hash = static_cast<std::uint32_t>(gsHashText(text));
  return std::max<std::uint32_t>(hash, 1);
}

bool gsHasUpstreamOfVersion(gsFleet const& fleet, std::string_view service,
                            std::uint32_t version)
{
  auto rows = fleet.ByService.find(std::string(service));
  return version != 0 && rows != fleet.ByService.end() &&
         std::any_of(
           rows->second.begin(), rows->second.end(), [&](std::size_t index) {
             gsFleetRow const& row = fleet.Rows[index];
             return row.Listed.SoftwareVersion == version && !gsIsLeaving(row);
           });
}

bool gsHasVersions(gsFleet const& fleet, std::string_view service)
{
  auto history = fleet.VersionHistories.find(std::string(service));
  return history != fleet.VersionHistories.end() &&
         CountListed(history->second) > 1;
}

void gsAddListedVersion(gsFleet& fleet, gsListedUpstream const& listed,
                        gsTime now)
{
  gsVersionHistory& history = fleet.VersionHistories[listed.Service];
  if (history.FirstListedAt.count() == 0) {
    history.FirstListedAt = now;
  }
  gsListedVersion& version = history.Versions[listed.SoftwareVersion];
  fleet.VersionChanges += version.Count == 0 ? 1 : 0;
  ++version.Count;
  version.LastListedAt = now;
  version.WasListed = true;
  for (auto each = history.Versions.begin(); each != history.Versions.end();) {
    each = gsIsVersionOver(fleet, each->second, now)
             ? history.Versions.erase(each)
             : std::next(each);
  }
}

void gsRemoveListedVersion(gsFleet& fleet, gsListedUpstream const& listed,
                           gsTime now)
{
  gsListedVersion& version =
    fleet.VersionHistories[listed.Service].Versions[listed.SoftwareVersion];
  version.Count -= std::min<std::size_t>(version.Count, 1);
  version.LastListedAt = now;
  fleet.VersionChanges += version.Count == 0 ? 1 : 0;
}

char const* gsVersionInferenceName(gsVersionInference inference)
{
  switch (inference) {
    case gsVersionInference::Listed:
      return "listed";
    case gsVersionInference::Stored:
      return "stored";
    case gsVersionInference::FirstStart:
      return "first_start";
    case gsVersionInference::SeveralVersions:
      return "several_versions";
    case gsVersionInference::ListTooYoung:
      return "list_too_young";
    case gsVersionInference::NoUpstream:
      return "no_upstream";
  }
  return "no_upstream";
}

gsInferredVersion gsInferStreamVersion(gsFleet const& fleet,
                                       std::string_view service, gsTime now)
{
  auto found = fleet.VersionHistories.find(std::string(service));
  if (found == fleet.VersionHistories.end()) {
    return {};
  }
  gsVersionHistory const& history = found->second;
  gsInferredVersion inferred;
  std::size_t possible = 0;
  for (auto const& [version, entry] : history.Versions) {
    possible += gsIsVersionOver(fleet, entry, now) ? 0 : 1;
    inferred.OnlySeen = entry.Count > 0 ? version : inferred.OnlySeen;
  }
  bool isOld = history.FirstListedAt.count() != 0 &&
               now - history.FirstListedAt > fleet.Settings.MaxStreamTime;
  if (possible > 1) {
    inferred.OnlySeen = 0;
    inferred.Cause = gsVersionInference::SeveralVersions;
  } else if (inferred.OnlySeen != 0) {
    inferred.Cause = isOld ? gsVersionInference::Listed : history.Before;
  }
  bool follows = inferred.Cause == gsVersionInference::Listed ||
                 inferred.Cause == gsVersionInference::Stored ||
                 inferred.Cause == gsVersionInference::FirstStart;
  inferred.Version = follows ? inferred.OnlySeen : 0;
  return inferred;
}
