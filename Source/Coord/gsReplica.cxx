/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsReplica.h"

#include <algorithm>

void gsReplicaStart(gsReplica& replica, gsTime now)
{
  replica.Started = now;
  replica.NextPoll = now;
}

void gsReplicaHear(gsReplica& replica, std::string_view peer,
                   std::uint64_t version)
{
  if (version > replica.Version && version >= replica.HeardVersion) {
    replica.HeardVersion = version;
    replica.HeardFrom = peer;
  }
}

void gsReplicaTick(gsReplica& replica, gsTime now, gsReplicaOutput& out)
{
  if (now >= replica.NextPoll) {
    replica.NextPoll = now + (replica.Ready ? replica.Settings.PollPeriod
                                            : replica.Settings.StartPeriod);
    out.PollPlatform = true;
  }
  bool behind = replica.HeardVersion > replica.Version;
  bool patient = !replica.Ready && !replica.PlatformAnswered &&
                 now - replica.Started < replica.Settings.PlatformPatience;
  if (behind && !patient && now >= replica.FetchUntil) {
    replica.FetchUntil = now + replica.Settings.FetchTimeout;
    out.FetchFrom = replica.HeardFrom;
  }
}

bool gsReplicaOffer(gsReplica& replica, std::uint64_t version)
{
  if (replica.Ready && version <= replica.Version) {
    return false;
  }
  replica.Version = version;
  replica.Ready = true;
  replica.FetchUntil = gsTime{};
  return true;
}

void gsReplicaPolled(gsReplica& replica)
{
  replica.PlatformAnswered = true;
}

void gsAcceptanceNote(gsAcceptance& acceptance, std::string_view host,
                      std::uint64_t version)
{
  auto found = acceptance.Confirmed.find(host);
  if (found == acceptance.Confirmed.end()) {
    acceptance.Confirmed.emplace(host, version);
    return;
  }
  found->second = std::max(found->second, version);
}

std::vector<std::string> gsAcceptanceMissing(
  gsAcceptance const& acceptance, std::vector<std::string> const& hosts)
{
  std::vector<std::string> missing;
  for (std::string const& host : hosts) {
    auto found = acceptance.Confirmed.find(host);
    if (found == acceptance.Confirmed.end() ||
        found->second < acceptance.Version) {
      missing.push_back(host);
    }
  }
  return missing;
}
