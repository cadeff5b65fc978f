/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsCluster.h"

#include <algorithm>
#include <cmath>

#include "gsLog.h"
#include "gsRendezvous.h"
#include "gsWireCodec.h"

namespace {

constexpr gsTime TickPeriod = gsMilliseconds(50);
/** Interval for contacting unknown addresses while no member is known. */
constexpr gsTime ContactPeriodAlone = gsMilliseconds(300);
/** Interval for contacting unknown addresses otherwise. */
constexpr gsTime ContactPeriod = gsSeconds(5);
/** Time for which an excluded host dispatches no pool. */
constexpr gsTime ExclusionTime = gsSeconds(3);
constexpr gsTime HeartbeatPeriod = gsMilliseconds(200);
/** A monitored host is excluded after this time without a frame. */
constexpr gsTime HeartbeatTimeout = gsMilliseconds(700);
/** Times log2 of the cluster size: frames that carry a leaving notice. */
constexpr std::uint32_t SendCountFactor = 3;

} // namespace

gsCluster::gsCluster(gsLoop& loop, gsSettings const& settings,
                     std::uint64_t incarnation, gsClusterEvents events)
  : Loop(loop)
  , Settings(settings)
  , Events(std::move(events))
  , Random(incarnation)
  , Timer(loop, [this] { this->Tick(); })
{
  this->Table.Settings = settings.Membership;
  gsMember self;
  self.Host = settings.Host;
  self.Hall = settings.Hall;
  self.Address = settings.Peers.Announce;
  self.Incarnation = incarnation;
  // Hosts must not request work from this host until it has a configuration.
  self.State = gsMemberState::Leaving;
  gsMembershipStart(this->Table, std::move(self), gsLoop::Now());
  this->KnownAddresses.insert(settings.Peers.Seeds.begin(),
                              settings.Peers.Seeds.end());
}

gsCluster::~gsCluster() = default;

gsResult<bool> gsCluster::Start()
{
  if (this->Settings.Peers.Listen.empty()) {
    return true;
  }
  gsPeerNetEvents events;
  events.OnFrame = [this](std::uint64_t link, gradescale::Frame const& frame) {
    this->OnFrame(link, frame);
  };
  events.OnDown = [this](std::uint64_t link, std::string const& address) {
    this->OnDown(link, address);
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
      this->Settings.Peers.Cluster, this->Settings.Peers.Routes },
    std::move(events));
  if (!net) {
    return net.error();
  }
  this->Peers = std::move(net.value());
  this->Timer.Every(TickPeriod);
  this->Tick();
  return true;
}

void gsCluster::SetHeader(gradescale::Frame& frame)
{
  frame.set_host(this->Table.Self.Host);
  frame.set_incarnation(this->Table.Self.Incarnation);
  frame.set_config_version(this->Events.ConfigVersion());
  frame.set_members_digest(this->Table.Digest);
  if (this->Events.FillHeader) {
    this->Events.FillHeader(frame);
  }
}

gradescale::Frame* gsCluster::OnLink(std::uint64_t link)
{
  gradescale::Frame* frame =
    this->Peers ? this->Peers->Outgoing(link) : nullptr;
  if (frame != nullptr) {
    this->SetHeader(*frame);
  }
  return frame;
}

gradescale::Frame* gsCluster::ToHost(std::string_view host)
{
  gsMember const* member = gsFindMember(this->Table, host);
  if (member == nullptr || !this->Peers) {
    return nullptr;
  }
  return this->OnLink(this->Peers->LinkTo(member->Address));
}

void gsCluster::AnnounceAccepting()
{
  this->AnnounceState(gsMemberState::Alive);
}

void gsCluster::AnnounceLeaving()
{
  this->AnnounceState(gsMemberState::Leaving);
}

/** Sends the state to all hosts at once, so that pools move without delay. */
void gsCluster::AnnounceState(gsMemberState state)
{
  gsMembershipSetState(this->Table, state);
  for (gsMember const& member : this->Table.Members) {
    if (member.State == gsMemberState::Dead) {
      continue;
    }
    if (gradescale::Frame* frame = this->ToHost(member.Host)) {
      gsToWire(this->Table.Self, frame->add_members());
    }
  }
  this->Events.OnMembersChanged();
}

std::string gsCluster::DispatcherOf(std::string_view hall,
                                    std::string_view pool) const
{
  std::vector<std::string_view> hosts = gsAliveHosts(this->Table, hall);
  hosts.erase(std::remove_if(hosts.begin(), hosts.end(),
                             [this](std::string_view host) {
                               return this->ExcludedUntil.count(
                                        std::string(host)) != 0;
                             }),
              hosts.end());
  std::optional<std::string> chosen = gsRendezvous(hosts, pool);
  if (chosen) {
    return *chosen;
  }
  return hall == this->Table.Self.Hall ? this->Table.Self.Host : std::string();
}

void gsCluster::SetHeartbeats(std::string const& host, bool enabled)
{
  MonitoredHost& monitored = this->MonitoredHosts[host];
  if (enabled && !monitored.HeartbeatsEnabled) {
    monitored.LastReceived = gsLoop::Now();
    monitored.LastPinged = monitored.LastReceived;
  }
  monitored.HeartbeatsEnabled = enabled;
}

void gsCluster::ExcludeHost(std::string const& host, char const* cause)
{
  gsTime now = gsLoop::Now();
  this->ExcludedUntil[host] = now + ExclusionTime;
  gsMembershipOutput out;
  gsMembershipSuspect(this->Table, host, cause, now, out);
  this->SendOutput(out);
  gsLogLine("host_lost", gsLogLevel::Warn)
    .With("host", host)
    .With("cause", cause);
  this->Events.OnHostExcluded(host);
}

void gsCluster::CheckHeartbeats(gsTime now)
{
  std::vector<std::string> silent;
  for (auto& [host, monitored] : this->MonitoredHosts) {
    if (!monitored.HeartbeatsEnabled) {
      continue;
    }
    if (now - monitored.LastReceived > HeartbeatTimeout) {
      silent.push_back(host);
      monitored.HeartbeatsEnabled = false;
      continue;
    }
    if (now - monitored.LastPinged >= HeartbeatPeriod) {
      monitored.LastPinged = now;
      if (gradescale::Frame* frame = this->ToHost(host)) {
        frame->add_pings(); // Sequence 0: acknowledged, but matches no probe.
      }
    }
  }
  for (std::string const& host : silent) {
    this->ExcludeHost(host, "silent");
  }
}

void gsCluster::AddAddresses(std::vector<std::string> addresses)
{
  this->KnownAddresses.insert(addresses.begin(), addresses.end());
}

void gsCluster::ContactUnknown(gsTime now)
{
  if (now < this->NextContact) {
    return;
  }
  bool alone = this->Table.Members.empty();
  this->NextContact = now + (alone ? ContactPeriodAlone : ContactPeriod);
  std::set<std::string> unknown = this->KnownAddresses;
  unknown.erase(this->Table.Self.Address);
  for (gsMember const& member : this->Table.Members) {
    unknown.erase(member.Address);
  }
  for (std::string const& address : unknown) {
    gradescale::Frame* frame = this->OnLink(this->Peers->LinkTo(address));
    if (frame != nullptr) {
      gsToWire(this->Table.Self, frame->add_members());
      frame->set_wants_members(true);
    }
  }
}

void gsCluster::Tick()
{
  gsTime now = gsLoop::Now();
  for (auto row = this->ExcludedUntil.begin();
       row != this->ExcludedUntil.end();) {
    row = row->second <= now ? this->ExcludedUntil.erase(row) : std::next(row);
  }
  gsMembershipOutput out;
  gsMembershipTick(this->Table, now, this->Random, out);
  this->SendOutput(out);
  this->CheckHeartbeats(now);
  this->ContactUnknown(now);
}

std::uint32_t gsCluster::UpdateSendCount() const
{
  double size = static_cast<double>(this->Table.Members.size()) + 2;
  return SendCountFactor *
         static_cast<std::uint32_t>(std::ceil(std::log2(size)));
}

/** Adds the pending gossip updates that are attached to every probe. */
void gsCluster::AddPendingUpdates(gradescale::Frame& frame)
{
  for (gsMember const& member : gsMembershipNextUpdates(this->Table)) {
    gsToWire(member, frame.add_members());
  }
  for (auto& [upstream, notice] : this->Leaving) {
    if (notice.RemainingSends > 0) {
      --notice.RemainingSends;
      gradescale::Leaving* wire = frame.add_leaving();
      wire->set_upstream(upstream);
      wire->set_incarnation(notice.Incarnation);
    }
  }
}

void gsCluster::SendOutput(gsMembershipOutput const& out)
{
  for (gsProbeMessage const& message : out.Messages) {
    gradescale::Frame* frame = this->ToHost(message.To);
    if (frame == nullptr) {
      continue;
    }
    switch (message.Type) {
      case gsProbeMessage::Kind::Ping:
        frame->add_pings()->set_sequence(message.Sequence);
        break;
      case gsProbeMessage::Kind::Ack: {
        gradescale::Ack* ack = frame->add_acks();
        ack->set_sequence(message.Sequence);
        ack->set_target(message.Target);
        break;
      }
      case gsProbeMessage::Kind::PingRequest: {
        gradescale::PingRequest* request = frame->add_ping_requests();
        request->set_sequence(message.Sequence);
        request->set_target(message.Target);
        break;
      }
    }
    this->AddPendingUpdates(*frame);
  }
  for (gsMemberChange const& change : out.Changes) {
    if (change.OldState == gsMemberState::Dead) {
      // The host has recovered; its exclusion ends.
      this->ExcludedUntil.erase(change.Host);
    }
    if (change.NewState == gsMemberState::Dead) {
      this->DropLinksOf(change.Host);
    }
    gsLogLine("member")
      .With("host", change.Host)
      .With("before", gsMemberStateName(change.OldState))
      .With("after", gsMemberStateName(change.NewState))
      .With("cause", change.Cause);
  }
  if (!out.Changes.empty()) {
    this->Events.OnMembersChanged();
  }
}

/** Reports the links of a dead host as down, which frees its slots. */
void gsCluster::DropLinksOf(std::string const& host)
{
  for (auto const& [link, other] : this->LinkHosts) {
    if (other == host) {
      this->Events.OnLinkDown(link);
    }
  }
}

void gsCluster::ProcessUpdates(gradescale::Frame const& frame,
                               gsMembershipOutput& out)
{
  gsTime now = gsLoop::Now();
  for (gradescale::Member const& wire : frame.members()) {
    gsMembershipApplyUpdate(this->Table, gsFromWire(wire), now, out);
  }
  for (gradescale::Leaving const& wire : frame.leaving()) {
    this->RecordLeaving(wire.upstream(), wire.incarnation());
  }
}

void gsCluster::OnFrame(std::uint64_t link, gradescale::Frame const& frame)
{
  gsTime now = gsLoop::Now();
  this->LastFrameAt = now;
  this->LinkHosts[link] = frame.host();
  auto monitored = this->MonitoredHosts.find(frame.host());
  if (monitored != this->MonitoredHosts.end()) {
    monitored->second.LastReceived = now;
  }
  gsMembershipOutput out;
  this->ProcessUpdates(frame, out);
  for (gradescale::Ping const& ping : frame.pings()) {
    gsMembershipOnPing(this->Table, frame.host(), ping.sequence(), out);
  }
  for (gradescale::Ack const& ack : frame.acks()) {
    gsMembershipOnAck(this->Table, frame.host(), ack.sequence(), ack.target(),
                      out);
  }
  for (gradescale::PingRequest const& request : frame.ping_requests()) {
    gsMembershipOnPingRequest(this->Table, frame.host(), request.sequence(),
                              request.target(), now, out);
  }
  // Replies use the same link, as the opposite direction may be unreachable.
  gradescale::Frame* answer = nullptr;
  for (auto message = out.Messages.begin(); message != out.Messages.end();) {
    bool returnsToSender = message->Type == gsProbeMessage::Kind::Ack &&
                           message->To == frame.host();
    if (!returnsToSender) {
      ++message;
      continue;
    }
    answer = answer == nullptr ? this->OnLink(link) : answer;
    if (answer != nullptr) {
      gradescale::Ack* ack = answer->add_acks();
      ack->set_sequence(message->Sequence);
      ack->set_target(message->Target);
    }
    message = out.Messages.erase(message);
  }
  if (answer != nullptr) {
    this->AddPendingUpdates(*answer);
  }
  bool unknown = gsFindMember(this->Table, frame.host()) == nullptr;
  if (unknown ||
      gsMembershipNeedsSync(this->Table, frame.members_digest(), now)) {
    answer = answer == nullptr ? this->OnLink(link) : answer;
    if (answer != nullptr) {
      answer->set_wants_members(true);
    }
  }
  if (frame.wants_members()) {
    answer = answer == nullptr ? this->OnLink(link) : answer;
    if (answer != nullptr) {
      gsToWire(this->Table.Self, answer->add_members());
      for (gsMember const& member : this->Table.Members) {
        gsToWire(member, answer->add_members());
      }
      for (auto const& [upstream, notice] : this->Leaving) {
        gradescale::Leaving* wire = answer->add_leaving();
        wire->set_upstream(upstream);
        wire->set_incarnation(notice.Incarnation);
      }
    }
  }
  this->SendOutput(out);
  this->Events.OnFrame(frame.host(), link, frame);
}

void gsCluster::OnDown(std::uint64_t link, std::string const& address)
{
  this->LinkHosts.erase(link);
  if (address.empty()) {
    this->Events.OnLinkDown(link);
    return;
  }
  // This host dialled the link, so the host at its address is unreachable.
  for (gsMember const& member : this->Table.Members) {
    bool isHallPeer = member.Address == address &&
                      member.State != gsMemberState::Dead &&
                      member.Hall == this->Table.Self.Hall;
    if (isHallPeer || (member.Address == address &&
                       this->MonitoredHosts[member.Host].HeartbeatsEnabled)) {
      std::string host = member.Host;
      this->MonitoredHosts[host].HeartbeatsEnabled = false;
      this->ExcludeHost(host, "link_broken");
      return;
    }
  }
}

void gsCluster::RecordLeaving(std::string const& upstream,
                              std::string const& incarnation)
{
  auto known = this->Leaving.find(upstream);
  if (known != this->Leaving.end() &&
      known->second.Incarnation == incarnation) {
    return;
  }
  this->Leaving[upstream] = { incarnation, this->UpdateSendCount() };
  gsLogLine("upstream_leaving")
    .With("upstream", upstream)
    .With("incarnation", incarnation);
  this->Events.OnMembersChanged();
}

bool gsCluster::IsLeaving(std::string const& upstream,
                          std::string const& incarnation) const
{
  auto known = this->Leaving.find(upstream);
  return known != this->Leaving.end() &&
         known->second.Incarnation == incarnation;
}

void gsCluster::PingAllHosts()
{
  for (gsMember const& member : this->Table.Members) {
    if (member.State == gsMemberState::Dead) {
      continue;
    }
    if (gradescale::Frame* frame = this->ToHost(member.Host)) {
      frame->add_pings();
    }
  }
}
