/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Which hosts are up, by what was heard of them and by whom, and the order of
 * duties that follows.
 */
#include "gsHallDetail.h"

#include <algorithm>

#include "gsRendezvous.h"

namespace gsHallDetail {

namespace {

constexpr std::string_view OrderKey = "hall-order";

/** Strongest first; equally strong ones by a hash, so that all hosts agree. */
bool ComesBefore(gsHallHost const& a, gsHallHost const& b)
{
  if (a.Millicores != b.Millicores) {
    return a.Millicores > b.Millicores;
  }
  static std::uint64_t const key = gsHashText(OrderKey);
  std::uint64_t weightA = gsRendezvousWeight(a.Host, key);
  std::uint64_t weightB = gsRendezvousWeight(b.Host, key);
  return weightA != weightB ? weightA > weightB : a.Host < b.Host;
}

} // namespace

bool IsWithin(gsTime at, gsTime span, gsTime now)
{
  return at.count() != 0 && now - at <= span;
}

namespace {

bool IsUp(gsHallMembership const& table, gsHallPeer const& peer, gsTime now)
{
  gsHallMembershipSettings const& settings = table.Settings;
  return !peer.Host.Leaving && peer.AvoidUntil <= now &&
         (IsWithin(peer.Heard, settings.HostSilence, now) ||
          IsWithin(peer.Told, settings.ToldMemory, now));
}

} // namespace

/** Hosts of the hall that are up, in order; those heard alone, if wanted. */
std::vector<gsHallHost const*> Order(gsHallMembership const& table,
                                     bool heardOnly, gsTime now)
{
  std::vector<gsHallHost const*> order;
  if (!table.Self.Leaving) {
    order.push_back(&table.Self);
  }
  for (auto const& [name, peer] : table.Hall) {
    bool heard = IsWithin(peer.Heard, table.Settings.HostSilence, now);
    if (IsUp(table, peer, now) && (heard || !heardOnly)) {
      order.push_back(&peer.Host);
    }
  }
  std::sort(order.begin(), order.end(),
            [](gsHallHost const* a, gsHallHost const* b) {
              return ComesBefore(*a, *b);
            });
  return order;
}

/** Coordinators of the hall other than this host. */
std::vector<std::string> OtherCoordinators(gsHallMembership const& table,
                                           gsTime now)
{
  std::vector<gsHallHost const*> order = Order(table, false, now);
  order.resize(std::min(order.size(), table.Settings.Coordinators));
  std::vector<std::string> hosts;
  for (gsHallHost const* host : order) {
    if (host != &table.Self) {
      hosts.push_back(host->Host);
    }
  }
  return hosts;
}

bool Coordinates(gsHallMembership const& table, gsTime now)
{
  std::vector<gsHallHost const*> order = Order(table, false, now);
  order.resize(std::min(order.size(), table.Settings.Coordinators));
  return std::find(order.begin(), order.end(), &table.Self) != order.end();
}

/** Contacts of another hall that may be up. */
bool IsContact(gsHallMembership const& table, gsHallPeer const& peer,
               gsTime now)
{
  return peer.AvoidUntil <= now &&
         (IsWithin(peer.Heard, table.Settings.HallMemory, now) ||
          IsWithin(peer.Told, table.Settings.HallMemory, now));
}

/** Those that may be up first: the dead must not take the room of others. */
void SortContacts(gsHallMembership const& table, gsOtherHall& hall, gsTime now)
{
  std::sort(hall.Contacts.begin(), hall.Contacts.end(),
            [&table, now](gsHallPeer const& a, gsHallPeer const& b) {
              bool upA = IsContact(table, a, now);
              bool upB = IsContact(table, b, now);
              return upA != upB ? upA : ComesBefore(a.Host, b.Host);
            });
  if (hall.Contacts.size() > table.Settings.Candidates) {
    hall.Contacts.resize(table.Settings.Candidates);
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

/** The peer of that name, in whichever hall. */
gsHallPeer* FindPeer(gsHallMembership& table, std::string_view host)
{
  auto found = table.Hall.find(host);
  if (found != table.Hall.end()) {
    return &found->second;
  }
  for (auto& [name, hall] : table.Others) {
    if (gsHallPeer* peer = FindContact(hall, host)) {
      return peer;
    }
  }
  return nullptr;
}

/** After a silence or a restart, digests are sent in full again. */
void ForgetDigests(gsHallPeer& peer)
{
  peer.SentHash = 0;
  peer.TakenHash = 0;
  peer.Taken = {};
  peer.Missed = false;
}

namespace {

/** Takes a host's word of itself, or what another says of it. */
void TakeHost(gsHallPeer& peer, gsHallHost const& host)
{
  bool restarted = host.Incarnation > peer.Host.Incarnation;
  if (host.Incarnation >= peer.Host.Incarnation) {
    peer.Host = host;
  }
  if (restarted) {
    peer.AvoidUntil = gsTime{};
    peer.Awaited = gsTime{};
    ForgetDigests(peer);
  }
}

gsHallPeer& PeerOf(gsHallMembership& table, gsHallHost const& host)
{
  if (host.Hall == table.Self.Hall) {
    return table.Hall[host.Host];
  }
  gsOtherHall& hall = table.Others[host.Hall];
  if (gsHallPeer* known = FindContact(hall, host.Host)) {
    return *known;
  }
  hall.Contacts.emplace_back();
  return hall.Contacts.back();
}

} // namespace

void NoteHeard(gsHallMembership& table, gsHallPeer& peer, gsTime now)
{
  peer.Heard = now;
  peer.Awaited = gsTime{};
  peer.AvoidUntil = gsTime{};
  table.Joined = table.Joined || peer.Host.Hall == table.Self.Hall;
}

void LearnSelf(gsHallMembership& table, gsHallHost const& host, gsTime now)
{
  if (host.Host == table.Self.Host) {
    return;
  }
  gsHallPeer& peer = PeerOf(table, host);
  TakeHost(peer, host);
  NoteHeard(table, peer, now);
  if (host.Hall != table.Self.Hall) {
    SortContacts(table, table.Others[host.Hall], now);
  }
}

void LearnTold(gsHallMembership& table, gsHallHost const& host, bool believed,
               gsTime now)
{
  if (host.Host == table.Self.Host) {
    return;
  }
  gsHallPeer& peer = PeerOf(table, host);
  // What is said of a host does not make it leave, nor come back: it says so
  // itself, with its next incarnation.
  bool isNew = peer.Host.Host.empty();
  if (isNew || host.Incarnation > peer.Host.Incarnation) {
    TakeHost(peer, host);
  }
  peer.Told = now;
  peer.Named = believed ? now : peer.Named;
}

std::uint32_t HeardInHall(gsHallMembership const& table, gsTime now)
{
  return static_cast<std::uint32_t>(Order(table, true, now).size());
}

/** A coordinator has heard them all; other hosts have its word. */
std::uint32_t HostsOfHall(gsHallMembership const& table, gsTime now)
{
  std::uint32_t hosts = HeardInHall(table, now);
  for (auto const& [name, peer] : table.Hall) {
    if (IsWithin(peer.Heard, table.Settings.CoordinatorSilence, now)) {
      hosts = std::max(hosts, peer.Taken.Receivers.Hosts);
    }
  }
  return hosts;
}

} // namespace gsHallDetail

using namespace gsHallDetail;

namespace {

constexpr std::string_view DecisionKey = "engine-arrangement";

} // namespace

std::vector<std::string> gsHallOrder(gsHallMembership const& table, gsTime now)
{
  std::vector<std::string> hosts;
  for (gsHallHost const* host : Order(table, false, now)) {
    hosts.push_back(host->Host);
  }
  return hosts;
}

std::vector<std::string> gsHallWatchOrder(gsHallMembership const& table,
                                          gsTime now)
{
  std::vector<std::string> order = gsHallOrder(table, now);
  bool knowsAll = Coordinates(table, now);
  if (!knowsAll && order.size() > 1 && order.back() == table.Self.Host) {
    order.pop_back();
  }
  std::size_t coordinators =
    std::min(order.size(), table.Settings.Coordinators);
  auto begin = order.begin();
  if (coordinators > 1) {
    std::rotate(begin, begin + 1,
                begin + static_cast<std::ptrdiff_t>(coordinators));
  }
  return order;
}

std::string gsHallRelay(gsHallMembership const& table, gsTime now)
{
  std::vector<gsHallHost const*> order = Order(table, false, now);
  return order.empty() ? std::string() : order.front()->Host;
}

bool gsHallCoordinates(gsHallMembership const& table, gsTime now)
{
  return Coordinates(table, now);
}

std::vector<std::string> gsHallPeers(gsHallMembership const& table, gsTime now)
{
  std::vector<std::string> hosts;
  for (auto const& [name, peer] : table.Hall) {
    if (IsWithin(peer.Heard, table.Settings.HostSilence, now)) {
      hosts.push_back(name);
    }
  }
  return hosts;
}

std::vector<std::string> gsOtherCoordinators(gsHallMembership const& table,
                                             gsTime now)
{
  std::vector<std::string> hosts;
  if (!Coordinates(table, now)) {
    return hosts;
  }
  for (auto const& [name, hall] : table.Others) {
    std::size_t taken = 0;
    for (gsHallPeer const& peer : hall.Contacts) {
      bool counts = IsWithin(peer.Heard, table.Settings.HallMemory, now) &&
                    taken < table.Settings.Coordinators;
      if (counts) {
        hosts.push_back(peer.Host.Host);
        ++taken;
      }
    }
  }
  return hosts;
}

std::map<std::string, std::string> gsOtherRelays(gsHallMembership const& table,
                                                 gsTime now)
{
  std::map<std::string, std::string> relays;
  for (auto const& [name, hall] : table.Others) {
    if (!IsWithin(hall.Heard, table.Settings.HallMemory, now)) {
      continue;
    }
    for (gsHallPeer const& peer : hall.Contacts) {
      if (IsContact(table, peer, now) && !peer.Host.Leaving) {
        relays[name] = peer.Host.Host;
        break;
      }
    }
  }
  return relays;
}

std::size_t gsHallSize(gsHallMembership const& table, gsTime now)
{
  return std::max<std::size_t>(HostsOfHall(table, now), 1);
}

std::size_t gsSystemSize(gsHallMembership const& table, gsTime now)
{
  std::size_t hosts = gsHallSize(table, now);
  for (auto const& [name, hall] : table.Others) {
    bool heard = IsWithin(hall.Heard, table.Settings.HallMemory, now);
    hosts += heard ? hall.Hosts : 0;
  }
  return hosts;
}

bool gsHallDecides(gsHallMembership const& table, gsTime now)
{
  if (gsHallRelay(table, now) != table.Self.Host) {
    return false;
  }
  std::vector<std::string_view> halls{ table.Self.Hall };
  for (auto const& [name, hall] : table.Others) {
    if (IsWithin(hall.Heard, table.Settings.HallMemory, now)) {
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

bool gsHallAvoids(gsHallMembership const& table, std::string_view host,
                  gsTime now)
{
  gsHallPeer const* peer =
    FindPeer(const_cast<gsHallMembership&>(table), host);
  return peer != nullptr && peer->AvoidUntil > now;
}

bool gsHallKeepsLink(gsHallMembership const& table, std::string_view host,
                     gsTime now)
{
  std::vector<std::string> coordinators = OtherCoordinators(table, now);
  if (std::find(coordinators.begin(), coordinators.end(), host) !=
      coordinators.end()) {
    return true;
  }
  if (!Coordinates(table, now)) {
    return false;
  }
  if (table.Hall.find(host) != table.Hall.end()) {
    return true;
  }
  for (auto const& [name, hall] : table.Others) {
    std::size_t count =
      std::min(hall.Contacts.size(), table.Settings.Coordinators);
    for (std::size_t i = 0; i < count; ++i) {
      if (hall.Contacts[i].Host.Host == host) {
        return true;
      }
    }
  }
  return false;
}
