/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsHallCluster.h"

#include <algorithm>
#include <cmath>

#include "gsConnectionShedding.h"
#include "gsLog.h"
#include "gsProcess.h"
#include "gsWireCodec.h"

namespace {

/** A link that heartbeats have not used for this time is closed. */
constexpr gsTime IdleTimeout = gsSeconds(3);
/** Every link in use carries a heartbeat each second. A link that is silent
 * for longer than any expected process stall has lost its peer without a
 * close, for example by a power failure. */
constexpr gsTime SilenceTimeout = gsSeconds(10);
/** Minimum interval between logged sizes, which change often at startup. */
constexpr gsTime LogPeriod = gsSeconds(1);
/** Interval between checks of what waits on links. */
constexpr gsTime BacklogCheckInterval = gsMilliseconds(500);
/** Age of a write from which the backlog of links is logged. */
constexpr gsTime LongWrite = gsMilliseconds(500);
/** A host that finds no other host in this time assumes that it is alone. */
constexpr gsTime DiscoveryTimeout = gsSeconds(5);
constexpr double MillicoresPerCore = 1000;

std::string JoinNames(std::vector<std::string> const& names)
{
  std::string text;
  for (std::string const& name : names) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text;
}

} // namespace

gsHallCluster::gsHallCluster(gsLoop& loop, gsSettings const& settings,
                             std::uint64_t incarnation,
                             gsHallClusterEvents events)
  : Loop(loop)
  , Settings(settings)
  , Events(std::move(events))
  , Random(incarnation)
{
  gsHallHost self;
  self.Host = settings.Host;
  self.Hall = settings.Hall;
  self.Address = settings.Peers.Announce;
  self.ForwardAddress = settings.Peers.ForwardListen;
  self.Incarnation = incarnation;
  self.Millicores = static_cast<std::uint32_t>(
    std::lround(settings.Cores * MillicoresPerCore));
  gsHallStart(this->Table, std::move(self), settings.Peers.Seeds,
              gsLoop::Now());
}

gsHallCluster::~gsHallCluster() = default;

gsResult<bool> gsHallCluster::Start()
{
  if (this->Settings.Peers.Listen.empty()) {
    return true;
  }
  gsPeerNetEvents events;
  events.OnFrame = [this](std::uint64_t link, gradescale::Frame const& frame) {
    this->OnFrame(link, frame);
  };
  events.OnDown = [this](std::uint64_t link, std::string const& /*address*/) {
    this->OnDown(link);
  };
  events.OnRefused = [this](std::string const& peer) {
    ++this->RefusedPeerCount;
    gsLogLine("peer_refused", gsLogLevel::Warn)
      .With("peer", peer)
      .With("cause", "other_cluster")
      .With("refused", this->RefusedPeerCount);
  };
  gsResult<std::unique_ptr<gsPeerNet>> net = gsPeerNet::Start(
    this->Loop,
    { this->Settings.Peers.Listen, this->Settings.Peers.Token,
      this->Settings.Peers.Cluster, this->Settings.Peers.Routes,
      gsLimitConnections({ gsMaxDescriptors(this->Settings.Descriptors) })
        .Peers },
    std::move(events));
  if (!net) {
    return net.error();
  }
  this->Peers = std::move(net.value());
  this->Tick();
  return true;
}

void gsHallCluster::AnnounceLeaving()
{
  gsHallLeave(this->Table, gsLoop::Now());
  this->Tick();
}

void gsHallCluster::OnStalled()
{
  gsTime now = gsLoop::Now();
  gsHallRecordStall(this->Table, now);
  for (auto& [number, link] : this->LinkTable) {
    link.LastReceived = now;
    link.LastUsed = now;
  }
}

std::size_t gsHallCluster::SystemSize() const
{
  return gsSystemSize(this->Table, gsLoop::Now());
}

bool gsHallCluster::IsSizeKnown() const
{
  gsTime now = gsLoop::Now();
  bool alone = this->Table.Seeds.empty() ||
               now - this->Table.StartedAt > DiscoveryTimeout;
  return this->Table.HasJoined || alone;
}

gradescale::Frame* gsHallCluster::OnLink(std::uint64_t link)
{
  gradescale::Frame* frame =
    this->Peers ? this->Peers->Outgoing(link) : nullptr;
  if (frame != nullptr) {
    frame->set_host(this->Table.Self.Host);
    frame->set_incarnation(this->Table.Self.Incarnation);
    frame->set_config_version(this->Events.ConfigVersion());
    this->Events.FillHeader(*frame);
  }
  return frame;
}

std::uint64_t gsHallCluster::Dial(std::string const& address,
                                  std::string const& host)
{
  std::uint64_t number = this->Peers->LinkTo(address);
  Link& link = this->LinkTable[number];
  link.Address = address;
  link.LastUsed = gsLoop::Now();
  link.LastReceived =
    link.LastReceived.count() == 0 ? link.LastUsed : link.LastReceived;
  if (link.Host.empty() && !host.empty()) {
    link.Host = host;
    this->LinkByHost[host] = number;
  }
  return number;
}

gradescale::Frame* gsHallCluster::ToHost(std::string_view host)
{
  if (!this->Peers) {
    return nullptr;
  }
  std::string name(host);
  auto known = this->LinkByHost.find(name);
  if (known != this->LinkByHost.end()) {
    return this->OnLink(known->second);
  }
  std::string address(gsHallAddress(this->Table, host));
  if (address.empty() || !gsHallNeedsLink(this->Table, host, gsLoop::Now())) {
    return nullptr;
  }
  return this->OnLink(this->Dial(address, name));
}

void gsHallCluster::Send(gsHallMessage const& message)
{
  auto known = this->LinkByHost.find(message.To);
  std::uint64_t link = known != this->LinkByHost.end()
                         ? known->second
                         : this->Dial(message.Address, message.To);
  if (gradescale::Frame* frame = this->OnLink(link)) {
    gsToWire(message, frame->add_hall_news());
  }
}

void gsHallCluster::Tick()
{
  gsTime now = gsLoop::Now();
  if (!this->Peers) {
    return;
  }
  for (gsHallMessage const& message :
       gsHallTick(this->Table, now, this->Random)) {
    this->Send(message);
  }
  this->CloseUnusedLinks(now);
  this->LogChanges(now);
  this->LogBacklog(now);
}

/** Logs what waits on links if one of them takes nothing for long. */
void gsHallCluster::LogBacklog(gsTime now)
{
  if (now - this->BacklogCheckedAt < BacklogCheckInterval) {
    return;
  }
  this->BacklogCheckedAt = now;
  gsPeerBacklog backlog = this->Peers->Backlog();
  if (backlog.OldestWrite >= LongWrite) {
    gsLogLine("peer_backlog", gsLogLevel::Warn)
      .With("links", std::uint64_t(backlog.Links))
      .With("table_bytes", backlog.Bytes.Tables)
      .With("other_bytes", backlog.Bytes.Other)
      .With("oldest_ms", backlog.OldestWrite)
      .With("address", backlog.Address);
  }
}

void gsHallCluster::WriteGauges(gsMetrics& metrics) const
{
  if (!this->Peers) {
    return;
  }
  gsPeerBytes sent = this->Peers->BytesSent();
  metrics.Set("gradescale_peer_bytes_total", "direction=\"sent\"",
              static_cast<double>(sent.Sum()));
  metrics.Set("gradescale_peer_bytes_total", "direction=\"received\"",
              static_cast<double>(this->Peers->BytesReceived()));
  metrics.Set("gradescale_peer_table_bytes_total", {},
              static_cast<double>(sent.Tables));
  gsPeerBacklog backlog = this->Peers->Backlog();
  metrics.Set("gradescale_peer_backlog_bytes", "kind=\"tables\"",
              static_cast<double>(backlog.Bytes.Tables));
  metrics.Set("gradescale_peer_backlog_bytes", "kind=\"other\"",
              static_cast<double>(backlog.Bytes.Other));
  metrics.Set("gradescale_peer_backlog_seconds", {},
              gsToSeconds(backlog.OldestWrite));
}

/** Closes links to silent hosts, and links that this host dialled and no
 * longer uses. */
void gsHallCluster::CloseUnusedLinks(gsTime now)
{
  for (auto& [number, link] : this->LinkTable) {
    bool silent = gsHallIsExcluded(this->Table, link.Host, now) ||
                  now - link.LastReceived > SilenceTimeout;
    bool dialled = !link.Address.empty();
    if (!dialled || gsHallNeedsLink(this->Table, link.Host, now)) {
      link.LastUsed = now;
    }
    bool unused = now - link.LastUsed > IdleTimeout;
    if ((silent || unused) && !link.Closing) {
      link.Closing = true;
      this->Peers->Close(number);
    }
  }
}

void gsHallCluster::OnFrame(std::uint64_t number,
                            gradescale::Frame const& frame)
{
  Link& link = this->LinkTable[number];
  if (link.Closing) {
    return;
  }
  gsTime now = gsLoop::Now();
  link.Host = frame.host();
  link.LastUsed = link.LastUsed.count() == 0 ? now : link.LastUsed;
  link.LastReceived = now;
  this->LinkByHost[link.Host] = number;
  gsHallRecordActivity(this->Table, link.Host, now);
  for (gradescale::HallNews const& news : frame.hall_news()) {
    gsHallReceive(this->Table, frame.host(), gsFromWire(news), now);
  }
  this->Events.OnFrame(frame.host(), number, frame);
}

/** Another link to a host that is still up; zero if there is none. */
std::uint64_t gsHallCluster::OtherLinkTo(std::string const& host) const
{
  for (auto const& [number, link] : this->LinkTable) {
    if (link.Host == host && !link.Closing) {
      return number;
    }
  }
  return 0;
}

void gsHallCluster::OnDown(std::uint64_t number)
{
  auto found = this->LinkTable.find(number);
  if (found == this->LinkTable.end()) {
    return;
  }
  Link link = found->second;
  this->LinkTable.erase(found);
  auto current = this->LinkByHost.find(link.Host);
  if (current == this->LinkByHost.end() || current->second != number) {
    return;
  }
  if (std::uint64_t other = this->OtherLinkTo(link.Host)) {
    current->second = other;
    return;
  }
  this->LinkByHost.erase(current);
  if (link.Closing) {
    return;
  }
  gsTime now = gsLoop::Now();
  bool inUse = gsHallNeedsLink(this->Table, link.Host, now);
  gsHallLinkDown(this->Table, link.Host, now);
  if (inUse) {
    gsLogLine("link_down", gsLogLevel::Warn)
      .With("host", link.Host)
      .With("hall", gsHallOf(this->Table, link.Host));
  }
}

/** Logs changes of the coordinators and of the system size. */
void gsHallCluster::LogChanges(gsTime now)
{
  std::vector<std::string> coordinators = gsHallDutyOrder(this->Table, now);
  coordinators.resize(
    std::min(coordinators.size(), this->Table.Settings.MaxCoordinators));
  std::size_t size = this->SystemSize();
  bool changed = coordinators != this->LoggedCoordinators;
  if (changed) {
    gsLogLine("coordinators")
      .With("hall", this->Table.Self.Hall)
      .With("hosts", JoinNames(coordinators))
      .With("before", JoinNames(this->LoggedCoordinators));
    this->LoggedCoordinators = std::move(coordinators);
  }
  bool resized = size != this->LoggedSize && now - this->LoggedAt >= LogPeriod;
  if (resized) {
    gsLogLine("system_size")
      .With("hosts", std::uint64_t(size))
      .With("before", std::uint64_t(this->LoggedSize))
      .With("hall_hosts", std::uint64_t(gsHallSize(this->Table, now)))
      .With("links", std::uint64_t(this->LinkTable.size()));
    this->LoggedSize = size;
    this->LoggedAt = now;
  }
  if (changed || resized) {
    this->Events.OnChanged();
  }
}

std::vector<std::string> gsGossipReceivers(gsHallCluster const& cluster,
                                           std::string_view fromHall,
                                           std::string_view ownHall)
{
  gsTime now = gsLoop::Now();
  gsHallMembership const& members = cluster.Members();
  std::string relay = gsHallRelay(members, now);
  if (relay != cluster.Self()) {
    return { relay };
  }
  std::vector<std::string> hosts = gsHallPeers(members, now);
  if (fromHall == ownHall) {
    for (auto const& [hall, other] : gsOtherRelays(members, now)) {
      hosts.push_back(other);
    }
  }
  return hosts;
}
