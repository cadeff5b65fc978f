/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Liveness of hosts, derived from received messages and from reports of other
 * hosts, and the duty order that follows from it.
 */
#include "gsHallDetail.h"

#include <algorithm>

#include "gsRendezvous.h"

namespace gsHallDetail {

namespace {

constexpr std::string_view DutyOrderKey = "hall-order";

/** Whether a host precedes another in the duty order: by descending CPU share,
 * then by a hash of the name, so that the order is the same on all hosts. */
bool PrecedesInDutyOrder(gsHallHost const& a, gsHallHost const& b)
{
  if (a.Millicores != b.Millicores) {
    return a.Millicores > b.Millicores;
  }
  static std::uint64_t const key = gsHashText(DutyOrderKey);
  std::uint64_t weightA = gsRendezvousWeight(a.Host, key);
  std::uint64_t weightB = gsRendezvousWeight(b.Host, key);
  return weightA != weightB ? weightA > weightB : a.Host < b.Host;
}

} // namespace

bool IsRecent(gsTime at, gsTime duration, gsTime now)
{
  return at.count() != 0 && now - at <= duration;
}

namespace {

bool IsUp(gsHallMembership const& table, gsHallPeer const& peer, gsTime now)
{
  gsHallMembershipSettings const& settings = table.Settings;
  return !peer.Host.Leaving && peer.ExcludedUntil <= now &&
         (IsRecent(peer.ReceivedAt, settings.HostTimeout, now) ||
          IsRecent(peer.ReportedAt, settings.IndirectReportLifetime, now));
}

} // namespace

std::vector<gsHallHost const*> HostsInDutyOrder(gsHallMembership const& table,
                                                bool directOnly, gsTime now)
{
  std::vector<gsHallHost const*> order;
  if (!table.Self.Leaving) {
    order.push_back(&table.Self);
  }
  for (auto const& [name, peer] : table.HallPeers) {
    bool isDirect = IsRecent(peer.ReceivedAt, table.Settings.HostTimeout, now);
    if (IsUp(table, peer, now) && (isDirect || !directOnly)) {
      order.push_back(&peer.Host);
    }
  }
  std::sort(order.begin(), order.end(),
            [](gsHallHost const* a, gsHallHost const* b) {
              return PrecedesInDutyOrder(*a, *b);
            });
  return order;
}

std::vector<std::string> OtherCoordinators(gsHallMembership const& table,
                                           gsTime now)
{
  std::vector<gsHallHost const*> order = HostsInDutyOrder(table, false, now);
  order.resize(std::min(order.size(), table.Settings.MaxCoordinators));
  std::vector<std::string> hosts;
  for (gsHallHost const* host : order) {
    if (host != &table.Self) {
      hosts.push_back(host->Host);
    }
  }
  return hosts;
}

bool IsCoordinator(gsHallMembership const& table, gsTime now)
{
  std::vector<gsHallHost const*> order = HostsInDutyOrder(table, false, now);
  order.resize(std::min(order.size(), table.Settings.MaxCoordinators));
  return std::find(order.begin(), order.end(), &table.Self) != order.end();
}

bool MayBeUp(gsHallMembership const& table, gsHallPeer const& peer, gsTime now)
{
  return peer.ExcludedUntil <= now &&
         (IsRecent(peer.ReceivedAt, table.Settings.HallTimeout, now) ||
          IsRecent(peer.ReportedAt, table.Settings.HallTimeout, now));
}

/** Contacts that may be up come first, so that dead ones do not displace them
 * beyond MaxCandidates. */
void SortContacts(gsHallMembership const& table, gsOtherHall& hall, gsTime now)
{
  std::sort(hall.Contacts.begin(), hall.Contacts.end(),
            [&table, now](gsHallPeer const& a, gsHallPeer const& b) {
              bool upA = MayBeUp(table, a, now);
              bool upB = MayBeUp(table, b, now);
              return upA != upB ? upA : PrecedesInDutyOrder(a.Host, b.Host);
            });
  if (hall.Contacts.size() > table.Settings.MaxCandidates) {
    hall.Contacts.resize(table.Settings.MaxCandidates);
  }
}

namespace {

gsHallPeer* FindContact(gsOtherHall& hall, std::string_view host)
{
  for (gsHallPeer& peer : hall.Contacts) {
    if (peer.Host.Host == host) {
      return &peer;
    }
  }
  return nullptr;
}

} // namespace

gsHallPeer* FindPeer(gsHallMembership& table, std::string_view host)
{
  auto found = table.HallPeers.find(host);
  if (found != table.HallPeers.end()) {
    return &found->second;
  }
  for (auto& [name, hall] : table.OtherHalls) {
    if (gsHallPeer* peer = FindContact(hall, host)) {
      return peer;
    }
  }
  return nullptr;
}

void ResetDigests(gsHallPeer& peer)
{
  peer.SentDigestHash = 0;
  peer.ReceivedDigestHash = 0;
  peer.ReceivedDigest = {};
  peer.IsDigestMissing = false;
}

namespace {

/** Updates a peer from a description of its known or a newer incarnation. A
 * newer incarnation ends the exclusion of the peer. */
void UpdateHost(gsHallPeer& peer, gsHallHost const& host)
{
  bool restarted = host.Incarnation > peer.Host.Incarnation;
  if (host.Incarnation >= peer.Host.Incarnation) {
    peer.Host = host;
  }
  if (restarted) {
    peer.ExcludedUntil = gsTime{};
    peer.ReplyAwaitedSince = gsTime{};
    ResetDigests(peer);
  }
}

gsHallPeer& FindOrAddPeer(gsHallMembership& table, gsHallHost const& host)
{
  if (host.Hall == table.Self.Hall) {
    return table.HallPeers[host.Host];
  }
  gsOtherHall& hall = table.OtherHalls[host.Hall];
  if (gsHallPeer* existing = FindContact(hall, host.Host)) {
    return *existing;
  }
  hall.Contacts.emplace_back();
  return hall.Contacts.back();
}

} // namespace

void RecordActivity(gsHallMembership& table, gsHallPeer& peer, gsTime now)
{
  peer.ReceivedAt = now;
  peer.ReplyAwaitedSince = gsTime{};
  peer.ExcludedUntil = gsTime{};
  table.HasJoined = table.HasJoined || peer.Host.Hall == table.Self.Hall;
}

void ApplySelfReport(gsHallMembership& table, gsHallHost const& host,
                     gsTime now)
{
  if (host.Host == table.Self.Host) {
    return;
  }
  gsHallPeer& peer = FindOrAddPeer(table, host);
  UpdateHost(peer, host);
  RecordActivity(table, peer, now);
  if (host.Hall != table.Self.Hall) {
    SortContacts(table, table.OtherHalls[host.Hall], now);
  }
}

void ApplyIndirectReport(gsHallMembership& table, gsHallHost const& host,
                         bool authoritative, gsTime now)
{
  if (host.Host == table.Self.Host) {
    return;
  }
  gsHallPeer& peer = FindOrAddPeer(table, host);
  // A report of another host does not change the description of a known
  // incarnation: only the host itself announces that it is leaving, and that
  // it is back, with a new incarnation.
  bool isNew = peer.Host.Host.empty();
  if (isNew || host.Incarnation > peer.Host.Incarnation) {
    UpdateHost(peer, host);
  }
  peer.ReportedAt = now;
  peer.ReportedByOwnHallAt = authoritative ? now : peer.ReportedByOwnHallAt;
}

std::uint32_t CountDirectHosts(gsHallMembership const& table, gsTime now)
{
  return static_cast<std::uint32_t>(HostsInDutyOrder(table, true, now).size());
}

/** A coordinator receives messages from all hosts of its hall; other hosts use
 * the count in its digest. */
std::uint32_t CountHallHosts(gsHallMembership const& table, gsTime now)
{
  std::uint32_t hosts = CountDirectHosts(table, now);
  for (auto const& [name, peer] : table.HallPeers) {
    if (IsRecent(peer.ReceivedAt, table.Settings.CoordinatorTimeout, now)) {
      hosts = std::max(hosts, peer.ReceivedDigest.ReceiverHall.HostCount);
    }
  }
  return hosts;
}

} // namespace gsHallDetail

using namespace gsHallDetail;

namespace {

constexpr std::string_view DecisionKey = "engine-arrangement";

} // namespace

std::vector<std::string> gsHallDutyOrder(gsHallMembership const& table,
                                         gsTime now)
{
  std::vector<std::string> hosts;
  for (gsHallHost const* host : HostsInDutyOrder(table, false, now)) {
    hosts.push_back(host->Host);
  }
  return hosts;
}

std::vector<std::string> gsHallWatchOrder(gsHallMembership const& table,
                                          gsTime now)
{
  std::vector<std::string> order = gsHallDutyOrder(table, now);
  bool isComplete = IsCoordinator(table, now);
  if (!isComplete && order.size() > 1 && order.back() == table.Self.Host) {
    order.pop_back();
  }
  std::size_t coordinators =
    std::min(order.size(), table.Settings.MaxCoordinators);
  auto begin = order.begin();
  if (coordinators > 1) {
    std::rotate(begin, begin + 1,
                begin + static_cast<std::ptrdiff_t>(coordinators));
  }
  return order;
}

std::string gsHallRelay(gsHallMembership const& table, gsTime now)
{
  std::vector<gsHallHost const*> order = HostsInDutyOrder(table, false, now);
  return order.empty() ? std::string() : order.front()->Host;
}

bool gsHallIsCoordinator(gsHallMembership const& table, gsTime now)
{
  return IsCoordinator(table, now);
}

std::vector<std::string> gsHallPeers(gsHallMembership const& table, gsTime now)
{
  std::vector<std::string> hosts;
  for (auto const& [name, peer] : table.HallPeers) {
    if (IsRecent(peer.ReceivedAt, table.Settings.HostTimeout, now)) {
      hosts.push_back(name);
    }
  }
  return hosts;
}

std::vector<std::string> gsOtherCoordinators(gsHallMembership const& table,
                                             gsTime now)
{
  std::vector<std::string> hosts;
  if (!IsCoordinator(table, now)) {
    return hosts;
  }
  for (auto const& [name, hall] : table.OtherHalls) {
    std::size_t selected = 0;
    for (gsHallPeer const& peer : hall.Contacts) {
      bool isIncluded =
        IsRecent(peer.ReceivedAt, table.Settings.HallTimeout, now) &&
        selected < table.Settings.MaxCoordinators;
      if (isIncluded) {
        hosts.push_back(peer.Host.Host);
        ++selected;
      }
    }
  }
  return hosts;
}

std::map<std::string, std::string> gsOtherRelays(gsHallMembership const& table,
                                                 gsTime now)
{
  std::map<std::string, std::string> relays;
  for (auto const& [name, hall] : table.OtherHalls) {
    if (!IsRecent(hall.ReportedAt, table.Settings.HallTimeout, now)) {
      continue;
    }
    for (gsHallPeer const& peer : hall.Contacts) {
      if (MayBeUp(table, peer, now) && !peer.Host.Leaving) {
        relays[name] = peer.Host.Host;
        break;
      }
    }
  }
  return relays;
}

std::vector<gsHallHost> gsKnownHosts(gsHallMembership const& table, gsTime now)
{
  std::vector<gsHallHost> hosts;
  for (auto const& [name, peer] : table.HallPeers) {
    if (IsUp(table, peer, now)) {
      hosts.push_back(peer.Host);
    }
  }
  for (auto const& [name, hall] : table.OtherHalls) {
    for (gsHallPeer const& peer : hall.Contacts) {
      if (IsUp(table, peer, now)) {
        hosts.push_back(peer.Host);
      }
    }
  }
  return hosts;
}

std::size_t gsHallSize(gsHallMembership const& table, gsTime now)
{
  return std::max<std::size_t>(CountHallHosts(table, now), 1);
}

std::size_t gsSystemSize(gsHallMembership const& table, gsTime now)
{
  std::size_t hosts = gsHallSize(table, now);
  for (auto const& [name, hall] : table.OtherHalls) {
    bool isReported =
      IsRecent(hall.ReportedAt, table.Settings.HallTimeout, now);
    hosts += isReported ? hall.HostCount : 0;
  }
  return hosts;
}

bool gsIsSystemLeader(gsHallMembership const& table, gsTime now)
{
  if (gsHallRelay(table, now) != table.Self.Host) {
    return false;
  }
  std::vector<std::string_view> halls{ table.Self.Hall };
  for (auto const& [name, hall] : table.OtherHalls) {
    if (IsRecent(hall.ReportedAt, table.Settings.HallTimeout, now)) {
      halls.emplace_back(name);
    }
  }
  return gsRendezvous(halls, DecisionKey) == table.Self.Hall;
}

std::string_view gsHallOf(gsHallMembership const& table, std::string_view host)
{
  if (host == table.Self.Host) {
    return table.Self.Hall;
  }
  gsHallPeer const* peer =
    FindPeer(const_cast<gsHallMembership&>(table), host);
  return peer == nullptr ? std::string_view() : peer->Host.Hall;
}

std::string_view gsHallAddress(gsHallMembership const& table,
                               std::string_view host)
{
  gsHallPeer const* peer =
    FindPeer(const_cast<gsHallMembership&>(table), host);
  return peer == nullptr ? std::string_view() : peer->Host.Address;
}

bool gsHallIsExcluded(gsHallMembership const& table, std::string_view host,
                      gsTime now)
{
  gsHallPeer const* peer =
    FindPeer(const_cast<gsHallMembership&>(table), host);
  return peer != nullptr && peer->ExcludedUntil > now;
}

bool gsHallNeedsLink(gsHallMembership const& table, std::string_view host,
                     gsTime now)
{
  std::vector<std::string> coordinators = OtherCoordinators(table, now);
  if (std::find(coordinators.begin(), coordinators.end(), host) !=
      coordinators.end()) {
    return true;
  }
  if (!IsCoordinator(table, now)) {
    return false;
  }
  if (table.HallPeers.find(host) != table.HallPeers.end()) {
    return true;
  }
  for (auto const& [name, hall] : table.OtherHalls) {
    std::size_t count =
      std::min(hall.Contacts.size(), table.Settings.MaxCoordinators);
    for (std::size_t i = 0; i < count; ++i) {
      if (hall.Contacts[i].Host.Host == host) {
        return true;
      }
    }
  }
  return false;
}
