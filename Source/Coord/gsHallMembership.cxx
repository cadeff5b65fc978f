/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Heartbeats between hosts, requests for digests, and the replies to them.
 */
#include "gsHallMembership.h"

#include <algorithm>
#include <utility>

#include "gsHallDetail.h"
#include "gsRendezvous.h"

using namespace gsHallDetail;

namespace {

gsHallMessage MessageTo(gsHallHost const& host)
{
  gsHallMessage message;
  message.To = host.Host;
  message.Address = host.Address;
  return message;
}

/** Sends a heartbeat to a coordinator, with the current digest if sendDigest
 * is set or the peer has requested one. */
void SendHeartbeat(gsHallMembership& table, gsHallPeer& peer, gsTime interval,
                   DigestCache& digests, bool sendDigest, gsTime now,
                   std::vector<gsHallMessage>& out)
{
  peer.NextHeartbeat = now + interval;
  if (peer.ReplyAwaitedSince.count() == 0) {
    peer.ReplyAwaitedSince = now;
  }
  gsHallMessage message = MessageTo(peer.Host);
  message.Sender = table.Self;
  message.DigestRequested = std::exchange(peer.IsDigestMissing, false);
  if (sendDigest || peer.DigestRequested) {
    AddDigest(message, peer, digests.Get(peer.Host.Hall));
  }
  out.push_back(std::move(message));
}

/** Whether a heartbeat to a peer is due. If the last one was due more than two
 * heartbeat intervals ago, the next is postponed by a random delay of up to
 * HeartbeatJitter. */
bool IsHeartbeatDue(gsHallMembership const& table, gsHallPeer& peer,
                    gsTime now, gsRandom& random)
{
  gsTime const maxDelay = 2 * table.Settings.HeartbeatInterval;
  if (now - peer.NextHeartbeat > maxDelay) {
    std::uniform_int_distribution<std::int64_t> jitter(
      0, table.Settings.HeartbeatJitter.count());
    peer.NextHeartbeat = now + gsTime(jitter(random));
    peer.ReplyAwaitedSince = gsTime{};
  }
  return now >= peer.NextHeartbeat;
}

/** Excludes a coordinator or contact that has not replied within
 * CoordinatorTimeout. */
void ExcludeIfTimedOut(gsHallMembership& table, gsHallPeer& peer, gsTime now)
{
  gsTime lastActivity = std::max(peer.ReceivedAt, peer.ReplyAwaitedSince);
  bool awaitsReply = peer.ReplyAwaitedSince.count() != 0;
  if (awaitsReply && now - lastActivity > table.Settings.CoordinatorTimeout) {
    peer.ExcludedUntil = now + table.Settings.ExclusionTime;
    peer.ReplyAwaitedSince = gsTime{};
    peer.ReceivedAt = gsTime{};
    peer.ReportedAt = gsTime{};
    ResetDigests(peer);
  }
}

/** Sends heartbeats that are due to the other coordinators of the own hall,
 * and digests that are due to the hosts of the hall that send heartbeats here.
 */
void SendHallHeartbeats(gsHallMembership& table, bool isCoordinator,
                        DigestCache& digests, gsTime now, gsRandom& random,
                        std::vector<gsHallMessage>& out)
{
  std::vector<std::string> coordinators = OtherCoordinators(table, now);
  for (std::string const& name : coordinators) {
    gsHallPeer& peer = table.HallPeers[name];
    ExcludeIfTimedOut(table, peer, now);
    if (peer.ExcludedUntil <= now &&
        IsHeartbeatDue(table, peer, now, random)) {
      gsTime interval = isCoordinator ? table.Settings.DigestInterval
                                      : table.Settings.HeartbeatInterval;
      SendHeartbeat(table, peer, interval, digests, isCoordinator, now, out);
    }
  }
  for (auto& [name, peer] : table.HallPeers) {
    bool receivesDigests =
      IsRecent(peer.HeartbeatReceivedAt, table.Settings.HostTimeout, now) &&
      std::find(coordinators.begin(), coordinators.end(), name) ==
        coordinators.end();
    // A host that sends heartbeats receives digests even if this host is not a
    // coordinator, as the digest lists the actual coordinators.
    if (!receivesDigests || now < peer.NextHeartbeat) {
      continue;
    }
    peer.NextHeartbeat = now + table.Settings.DigestInterval;
    gsHallMessage message = MessageTo(peer.Host);
    if (table.Self.Leaving || peer.DigestRequested) {
      message.Sender = table.Self;
    }
    AddDigest(message, peer, digests.Get(table.Self.Hall));
    out.push_back(std::move(message));
  }
}

/** Sends heartbeats that are due to the first contacts of each other hall. */
void SendOtherHallHeartbeats(gsHallMembership& table, DigestCache& digests,
                             gsTime now, gsRandom& random,
                             std::vector<gsHallMessage>& out)
{
  for (auto& [name, hall] : table.OtherHalls) {
    std::size_t selected = 0;
    for (gsHallPeer& peer : hall.Contacts) {
      if (selected == table.Settings.MaxCoordinators) {
        break;
      }
      ExcludeIfTimedOut(table, peer, now);
      if (peer.ExcludedUntil > now || peer.Host.Leaving) {
        continue;
      }
      ++selected;
      if (IsHeartbeatDue(table, peer, now, random)) {
        SendHeartbeat(table, peer, table.Settings.HeartbeatInterval, digests,
                      true, now, out);
      }
    }
  }
}

/** Addresses to which requests may be sent: the seeds, starting with one that
 * is chosen by a hash of the hall, then the contacts in other halls. */
std::vector<std::string> RequestAddresses(gsHallMembership const& table)
{
  std::vector<std::string> addresses;
  std::size_t count = table.Seeds.size();
  std::size_t first = count == 0 ? 0 : gsHashText(table.Self.Hall) % count;
  for (std::size_t i = 0; i < count; ++i) {
    addresses.push_back(table.Seeds[(first + i) % count]);
  }
  for (auto const& [name, hall] : table.OtherHalls) {
    for (gsHallPeer const& peer : hall.Contacts) {
      addresses.push_back(peer.Host.Address);
    }
  }
  addresses.erase(
    std::remove(addresses.begin(), addresses.end(), table.Self.Address),
    addresses.end());
  return addresses;
}

/** Sends a request for a digest to the next of the known addresses. */
void SendRequest(gsHallMembership& table, std::vector<gsHallMessage>& out)
{
  std::vector<std::string> addresses = RequestAddresses(table);
  if (addresses.empty()) {
    return;
  }
  gsHallMessage message;
  message.Address = addresses[table.RequestCount++ % addresses.size()];
  message.Sender = table.Self;
  message.DigestRequested = true;
  out.push_back(std::move(message));
}

/** Sends requests while this host receives no message from any other host of
 * its hall. */
void SendJoinRequest(gsHallMembership& table, gsTime now,
                     std::vector<gsHallMessage>& out)
{
  bool isAlone = CountDirectHosts(table, now) <= 1;
  if (!isAlone) {
    table.RequestInterval = gsTime{};
    return;
  }
  if (now < table.NextRequest) {
    return;
  }
  table.RequestInterval = std::clamp(table.RequestInterval * 2,
                                     table.Settings.InitialRequestInterval,
                                     table.Settings.MaxRequestInterval);
  table.NextRequest = now + table.RequestInterval;
  SendRequest(table, out);
}

/** Sends discovery requests, which merge parts of the system that formed
 * without links to each other. */
void SendDiscoveryRequest(gsHallMembership& table, gsTime now,
                          std::vector<gsHallMessage>& out)
{
  if (now >= table.NextDiscovery) {
    table.DiscoveryInterval = std::min(table.DiscoveryInterval * 2,
                                       table.Settings.MaxDiscoveryInterval);
    table.NextDiscovery = now + table.DiscoveryInterval;
    SendRequest(table, out);
  }
}

/** Adds a host of another hall that is to be sent a reply. */
void AddRequester(gsHallMembership& table, gsHallHost const& host, gsTime now)
{
  bool isPresent =
    std::any_of(table.Requesters.begin(), table.Requesters.end(),
                [&host](gsHallRequester const& requester) {
                  return requester.Host.Host == host.Host;
                });
  if (!isPresent) {
    table.Requesters.push_back({ host, now });
  }
}

/** Applies the description that a sender includes of itself, and its request.
 */
void ApplySenderDescription(gsHallMembership& table, gsHallHost const& host,
                            gsHallMessage const& message, gsTime now)
{
  ApplySelfReport(table, host, now);
  if (host.Hall != table.Self.Hall) {
    // A sender that wrongly considers this host a coordinator is sent a
    // digest, which lists the actual ones. Messages with a digest may be
    // replies, and are not replied to unless they request it.
    bool isMisdirected = !message.Digest && !IsCoordinator(table, now);
    if (message.DigestRequested || isMisdirected) {
      AddRequester(table, host, now);
    }
    return;
  }
  auto found = table.HallPeers.find(host.Host);
  if (found == table.HallPeers.end()) {
    return; // The sender is an older incarnation of this host.
  }
  gsHallPeer& peer = found->second;
  peer.HeartbeatReceivedAt = now;
  if (message.DigestRequested) {
    peer.DigestRequested = true;
    peer.NextHeartbeat =
      std::min(peer.NextHeartbeat, now + table.Settings.ReplyDelay);
  }
}

/** Sends digests to hosts of other halls whose requests arrived at least
 * ReplyDelay ago. */
void SendReplies(gsHallMembership& table, DigestCache& digests, gsTime now,
                 std::vector<gsHallMessage>& out)
{
  std::vector<gsHallRequester> notDue;
  for (gsHallRequester& requester : table.Requesters) {
    if (now - requester.RequestedAt < table.Settings.ReplyDelay) {
      notDue.push_back(std::move(requester));
      continue;
    }
    gsHallMessage message = MessageTo(requester.Host);
    message.Sender = table.Self;
    DigestCache::Entry const& entry = digests.Get(requester.Host.Hall);
    message.DigestHash = entry.Hash;
    message.Digest = entry.Digest;
    out.push_back(std::move(message));
  }
  table.Requesters = std::move(notDue);
}

/** Removes peers of the own hall that were neither heard from, reported nor
 * excluded for four times HostTimeout. */
void RemoveStalePeers(gsHallMembership& table, gsTime now)
{
  gsTime const retention = 4 * table.Settings.HostTimeout;
  for (auto iterator = table.HallPeers.begin();
       iterator != table.HallPeers.end();) {
    gsHallPeer const& peer = iterator->second;
    gsTime lastActivity =
      std::max({ peer.ReceivedAt, peer.ReportedAt, peer.ExcludedUntil });
    iterator = now - lastActivity > retention ? table.HallPeers.erase(iterator)
                                              : std::next(iterator);
  }
}

} // namespace

void gsHallStart(gsHallMembership& table, gsHallHost self,
                 std::vector<std::string> const& seeds, gsTime now)
{
  table.Self = std::move(self);
  table.StartedAt = now;
  table.DiscoveryInterval = table.Settings.InitialDiscoveryInterval;
  table.NextDiscovery = now + table.DiscoveryInterval;
  gsHallAddSeeds(table, seeds, now);
}

void gsHallAddSeeds(gsHallMembership& table,
                    std::vector<std::string> const& addresses, gsTime now)
{
  for (std::string const& address : addresses) {
    bool isNewSeed = std::find(table.Seeds.begin(), table.Seeds.end(),
                               address) == table.Seeds.end();
    if (isNewSeed) {
      table.Seeds.push_back(address);
      table.NextRequest = std::min(table.NextRequest, now);
    }
  }
  // Hosts with the same seeds have to hold them in the same order.
  std::sort(table.Seeds.begin(), table.Seeds.end());
}

std::vector<gsHallMessage> gsHallTick(gsHallMembership& table, gsTime now,
                                      gsRandom& random)
{
  std::vector<gsHallMessage> out;
  RemoveStalePeers(table, now);
  bool isCoordinator = IsCoordinator(table, now);
  DigestCache digests(table, now);
  SendHallHeartbeats(table, isCoordinator, digests, now, random, out);
  SendJoinRequest(table, now, out);
  if (isCoordinator) {
    SendOtherHallHeartbeats(table, digests, now, random, out);
    SendDiscoveryRequest(table, now, out);
  }
  SendReplies(table, digests, now, out);
  return out;
}

void gsHallReceive(gsHallMembership& table, std::string_view host,
                   gsHallMessage const& message, gsTime now)
{
  if (message.Sender) {
    ApplySenderDescription(table, *message.Sender, message, now);
  }
  gsHallPeer* peer = FindPeer(table, host);
  if (peer == nullptr) {
    return;
  }
  RecordActivity(table, *peer, now);
  std::string hall = peer->Host.Hall;
  if (message.Digest) {
    peer->ReceivedDigest = *message.Digest;
    peer->ReceivedDigestHash = message.DigestHash;
    ApplyDigest(table, hall, *message.Digest, now);
  } else if (message.DigestHash != 0 &&
             message.DigestHash == peer->ReceivedDigestHash) {
    gsHallDigest repeatedDigest = peer->ReceivedDigest;
    ApplyDigest(table, hall, repeatedDigest, now);
  } else if (message.DigestHash != 0) {
    peer->IsDigestMissing = true;
  }
}

void gsHallRecordActivity(gsHallMembership& table, std::string_view host,
                          gsTime now)
{
  if (gsHallPeer* peer = FindPeer(table, host)) {
    RecordActivity(table, *peer, now);
  }
}

void gsHallLinkDown(gsHallMembership& table, std::string_view host, gsTime now)
{
  if (gsHallPeer* peer = FindPeer(table, host)) {
    peer->ExcludedUntil = now + table.Settings.ExclusionTime;
    peer->ReceivedAt = gsTime{};
    peer->HeartbeatReceivedAt = gsTime{};
    peer->ReportedAt = gsTime{};
    peer->ReplyAwaitedSince = gsTime{};
    ResetDigests(*peer);
  }
}

void gsHallRecordStall(gsHallMembership& table, gsTime now)
{
  auto refresh = [now](gsHallPeer& peer) {
    peer.ReceivedAt = peer.ReceivedAt.count() == 0 ? peer.ReceivedAt : now;
    peer.ReportedAt = peer.ReportedAt.count() == 0 ? peer.ReportedAt : now;
    peer.ReplyAwaitedSince = gsTime{};
  };
  for (auto& [name, peer] : table.HallPeers) {
    refresh(peer);
  }
  for (auto& [name, hall] : table.OtherHalls) {
    hall.ReportedAt = hall.ReportedAt.count() == 0 ? hall.ReportedAt : now;
    for (gsHallPeer& peer : hall.Contacts) {
      refresh(peer);
    }
  }
}

void gsHallLeave(gsHallMembership& table, gsTime now)
{
  table.Self.Leaving = true;
  for (auto& [name, peer] : table.HallPeers) {
    peer.NextHeartbeat = now;
  }
  for (auto& [name, hall] : table.OtherHalls) {
    for (gsHallPeer& peer : hall.Contacts) {
      peer.NextHeartbeat = now;
    }
  }
}
