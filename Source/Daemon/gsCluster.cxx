/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsCluster.h"

#include <algorithm>
#include <cmath>

#include "gsLog.h"
#include "gsRendezvous.h"
#include "gsWireCodec.h"

namespace {

constexpr gsTime TickPeriod = gsMilliseconds(50);
constexpr gsTime MeetPeriodAlone = gsMilliseconds(300);
constexpr gsTime MeetPeriod = gsSeconds(5);
constexpr gsTime DistrustTime = gsSeconds(3);
constexpr gsTime HeartbeatPeriod = gsMilliseconds(200);
constexpr gsTime HeartbeatLimit = gsMilliseconds(700);
constexpr std::uint32_t CarryFactor = 3;

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
  // Until it has a configuration it must not be asked for work.
  self.State = gsMemberState::Leaving;
  gsMembershipStart(this->Table, std::move(self), gsLoop::Now());
  this->Addresses.insert(settings.Peers.Seeds.begin(),
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

void gsCluster::Header(gradescale::Frame& frame)
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
    this->Header(*frame);
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

void gsCluster::TakeWork()
{
  this->AnnounceState(gsMemberState::Alive);
}

void gsCluster::Leave()
{
  this->AnnounceState(gsMemberState::Leaving);
}

/** Tells all hosts at once, so that pools move without a wait. */
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
                               return this->Distrusted.count(
                                        std::string(host)) != 0;
                             }),
              hosts.end());
  std::optional<std::string> chosen = gsRendezvous(hosts, pool);
  if (chosen) {
    return *chosen;
  }
  return hall == this->Table.Self.Hall ? this->Table.Self.Host : std::string();
}

void gsCluster::Expect(std::string const& host, bool expect)
{
  Watched& watched = this->Watch[host];
  if (expect && !watched.Expecting) {
    watched.Heard = gsLoop::Now();
    watched.Pinged = watched.Heard;
  }
  watched.Expecting = expect;
}

void gsCluster::Distrust(std::string const& host, char const* cause)
{
  gsTime now = gsLoop::Now();
  this->Distrusted[host] = now + DistrustTime;
  gsMembershipOutput out;
  gsMembershipSuspect(this->Table, host, cause, now, out);
  this->Carry(out);
  gsLogLine("host_lost", gsLogLevel::Warn)
    .With("host", host)
    .With("cause", cause);
  this->Events.OnHostLost(host);
}

void gsCluster::WatchExpected(gsTime now)
{
  std::vector<std::string> silent;
  for (auto& [host, watched] : this->Watch) {
    if (!watched.Expecting) {
      continue;
    }
    if (now - watched.Heard > HeartbeatLimit) {
      silent.push_back(host);
      watched.Expecting = false;
      continue;
    }
    if (now - watched.Pinged >= HeartbeatPeriod) {
      watched.Pinged = now;
      if (gradescale::Frame* frame = this->ToHost(host)) {
        frame->add_pings(); // Sequence 0: answered, but no probe waits.
      }
    }
  }
  for (std::string const& host : silent) {
    this->Distrust(host, "silent");
  }
}

void gsCluster::Meet(std::vector<std::string> addresses)
{
  this->Addresses.insert(addresses.begin(), addresses.end());
}

void gsCluster::MeetUnknown(gsTime now)
{
  if (now < this->NextMeet) {
    return;
  }
  bool alone = this->Table.Members.empty();
  this->NextMeet = now + (alone ? MeetPeriodAlone : MeetPeriod);
  std::set<std::string> unknown = this->Addresses;
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
  for (auto row = this->Distrusted.begin(); row != this->Distrusted.end();) {
    row = row->second <= now ? this->Distrusted.erase(row) : std::next(row);
  }
  gsMembershipOutput out;
  gsMembershipTick(this->Table, now, this->Random, out);
  this->Carry(out);
  this->WatchExpected(now);
  this->MeetUnknown(now);
}

std::uint32_t gsCluster::CarryCount() const
{
  double size = static_cast<double>(this->Table.Members.size()) + 2;
  return CarryFactor * static_cast<std::uint32_t>(std::ceil(std::log2(size)));
}

/** Adds the news that every probe carries along. */
void gsCluster::Announce(gradescale::Frame& frame)
{
  for (gsMember const& member : gsMembershipNews(this->Table)) {
    gsToWire(member, frame.add_members());
  }
  for (auto& [upstream, news] : this->Leaving) {
    if (news.Carry > 0) {
      --news.Carry;
      gradescale::Leaving* wire = frame.add_leaving();
      wire->set_upstream(upstream);
      wire->set_incarnation(news.Incarnation);
    }
  }
}

void gsCluster::Carry(gsMembershipOutput const& out)
{
  for (gsProbeMessage const& message : out.Messages) {
    gradescale::Frame* frame = this->ToHost(message.To);
    if (frame == nullptr) {
      continue;
    }
    switch (message.What) {
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
    this->Announce(*frame);
  }
  for (gsMemberChange const& change : out.Changes) {
    if (change.Before == gsMemberState::Dead) {
      // It has come back; what was held against it is over.
      this->Distrusted.erase(change.Host);
    }
    if (change.After == gsMemberState::Dead) {
      this->DropLinksOf(change.Host);
    }
    gsLogLine("member")
      .With("host", change.Host)
      .With("before", gsMemberStateWord(change.Before))
      .With("after", gsMemberStateWord(change.After))
      .With("cause", change.Cause);
  }
  if (!out.Changes.empty()) {
    this->Events.OnMembersChanged();
  }
}

/** What a dead host asked for and runs holds no slots any longer. */
void gsCluster::DropLinksOf(std::string const& host)
{
  for (auto const& [link, other] : this->LinkHosts) {
    if (other == host) {
      this->Events.OnLinkDown(link);
    }
  }
}

void gsCluster::Learn(gradescale::Frame const& frame, gsMembershipOutput& out)
{
  gsTime now = gsLoop::Now();
  for (gradescale::Member const& wire : frame.members()) {
    gsMembershipLearn(this->Table, gsFromWire(wire), now, out);
  }
  for (gradescale::Leaving const& wire : frame.leaving()) {
    this->NoteLeaving(wire.upstream(), wire.incarnation());
  }
}

void gsCluster::OnFrame(std::uint64_t link, gradescale::Frame const& frame)
{
  gsTime now = gsLoop::Now();
  this->Heard = now;
  this->LinkHosts[link] = frame.host();
  auto watched = this->Watch.find(frame.host());
  if (watched != this->Watch.end()) {
    watched->second.Heard = now;
  }
  gsMembershipOutput out;
  this->Learn(frame, out);
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
  // Answers go back on the same link: the other direction may be cut.
  gradescale::Frame* answer = nullptr;
  for (auto message = out.Messages.begin(); message != out.Messages.end();) {
    bool back = message->What == gsProbeMessage::Kind::Ack &&
                message->To == frame.host();
    if (!back) {
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
    this->Announce(*answer);
  }
  bool unknown = gsFindMember(this->Table, frame.host()) == nullptr;
  if (unknown ||
      gsMembershipWantsSync(this->Table, frame.members_digest(), now)) {
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
      for (auto const& [upstream, news] : this->Leaving) {
        gradescale::Leaving* wire = answer->add_leaving();
        wire->set_upstream(upstream);
        wire->set_incarnation(news.Incarnation);
      }
    }
  }
  this->Carry(out);
  this->Events.OnFrame(frame.host(), link, frame);
}

void gsCluster::OnDown(std::uint64_t link, std::string const& address)
{
  this->LinkHosts.erase(link);
  if (address.empty()) {
    this->Events.OnLinkDown(link);
    return;
  }
  // A link that this host dialled: whoever is behind it is lost for now.
  for (gsMember const& member : this->Table.Members) {
    bool counts = member.Address == address &&
                  member.State != gsMemberState::Dead &&
                  member.Hall == this->Table.Self.Hall;
    if (counts ||
        (member.Address == address && this->Watch[member.Host].Expecting)) {
      std::string host = member.Host;
      this->Watch[host].Expecting = false;
      this->Distrust(host, "link_broken");
      return;
    }
  }
}

void gsCluster::NoteLeaving(std::string const& upstream,
                            std::string const& incarnation)
{
  auto known = this->Leaving.find(upstream);
  if (known != this->Leaving.end() &&
      known->second.Incarnation == incarnation) {
    return;
  }
  this->Leaving[upstream] = { incarnation, this->CarryCount() };
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

void gsCluster::ProbeNow()
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
