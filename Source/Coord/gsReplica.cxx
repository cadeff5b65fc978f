/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsReplica.h"

#include <algorithm>

void gsReplicaStart(gsReplica& replica, gsTime now)
{
  replica.StartedAt = now;
  replica.NextPollAt = now;
}

void gsReplicaReceiveVersion(gsReplica& replica, std::string_view peer,
                             std::uint64_t version)
{
  if (version > replica.Version && version >= replica.MaxPeerVersion) {
    replica.MaxPeerVersion = version;
    replica.MaxVersionPeer = peer;
  }
}

void gsReplicaTick(gsReplica& replica, gsTime now, gsReplicaActions& out)
{
  if (now >= replica.NextPollAt) {
    replica.NextPollAt =
      now + (replica.HasDocument ? replica.Settings.PollInterval
                                 : replica.Settings.StartupPollInterval);
    out.PollPlatform = true;
  }
  bool isBehind = replica.MaxPeerVersion > replica.Version;
  bool isWaitingForPlatform =
    !replica.HasDocument && !replica.HasPlatformResponded &&
    now - replica.StartedAt < replica.Settings.StartupPlatformTimeout;
  if (isBehind && !isWaitingForPlatform && now >= replica.FetchTimeoutAt) {
    replica.FetchTimeoutAt = now + replica.Settings.FetchTimeout;
    out.FetchPeer = replica.MaxVersionPeer;
  }
}

bool gsReplicaAdvance(gsReplica& replica, std::uint64_t version)
{
  if (replica.HasDocument && version <= replica.Version) {
    return false;
  }
  replica.Version = version;
  replica.HasDocument = true;
  replica.FetchTimeoutAt = gsTime{};
  return true;
}

void gsReplicaRecordPoll(gsReplica& replica)
{
  replica.HasPlatformResponded = true;
}

void gsVersionTrackerRecord(gsVersionTracker& acceptance,
                            std::string_view host, std::uint64_t version)
{
  auto found = acceptance.ConfirmedVersions.find(host);
  if (found == acceptance.ConfirmedVersions.end()) {
    acceptance.ConfirmedVersions.emplace(host, version);
    return;
  }
  found->second = std::max(found->second, version);
}

std::vector<std::string> gsVersionTrackerMissingHosts(
  gsVersionTracker const& acceptance, std::vector<std::string> const& hosts)
{
  std::vector<std::string> missing;
  for (std::string const& host : hosts) {
    auto found = acceptance.ConfirmedVersions.find(host);
    if (found == acceptance.ConfirmedVersions.end() ||
        found->second < acceptance.TargetVersion) {
      missing.push_back(host);
    }
  }
  return missing;
}
