/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsMembership.h"

#include <algorithm>
#include <cmath>

#include "gsRendezvous.h"

namespace {

constexpr std::uint32_t TransmissionFactor = 3;

std::uint64_t DigestOf(gsMember const& member)
{
  std::uint64_t numbers[] = { member.Incarnation, member.Refutation,
                              static_cast<std::uint64_t>(member.State) };
  std::string_view bytes(reinterpret_cast<char const*>(numbers),
                         sizeof(numbers));
  return gsRendezvousWeight(bytes, gsHashText(member.Host));
}

/** Number of messages on which an update is piggybacked: a multiple of the
 * binary logarithm of the number of hosts. */
std::uint32_t TransmissionCount(gsMembership const& table)
{
  double size = static_cast<double>(table.Members.size()) + 2;
  return TransmissionFactor *
         static_cast<std::uint32_t>(std::ceil(std::log2(size)));
}

std::vector<gsMember>::iterator LowerBound(gsMembership& table,
                                           std::string_view host)
{
  return std::lower_bound(table.Members.begin(), table.Members.end(), host,
                          [](gsMember const& member, std::string_view name) {
                            return member.Host < name;
                          });
}

gsMember* Find(gsMembership& table, std::string_view host)
{
  auto found = LowerBound(table, host);
  if (found == table.Members.end() || found->Host != host) {
    return nullptr;
  }
  return &*found;
}

bool Supersedes(gsMember const& update, gsMember const& known)
{
  if (update.Incarnation != known.Incarnation) {
    return update.Incarnation > known.Incarnation;
  }
  if (update.Refutation != known.Refutation) {
    return update.Refutation > known.Refutation;
  }
  return update.State > known.State;
}

void SetState(gsMembership& table, gsMember& member, gsMemberState state,
              std::string_view cause, gsTime now, gsMembershipOutput& out)
{
  gsMemberState oldState = member.State;
  if (oldState == state) {
    return;
  }
  table.Digest ^= DigestOf(member);
  member.State = state;
  member.ChangedAt = now;
  member.RemainingTransmissions = TransmissionCount(table);
  table.Digest ^= DigestOf(member);
  out.Changes.push_back({ member.Host, oldState, state, std::string(cause) });
}

void AnnounceSelf(gsMembership& table)
{
  table.Self.RemainingTransmissions = TransmissionCount(table);
}

void Ping(gsMembership& table, std::string const& host, bool isCrossHall,
          gsTime now, gsMembershipOutput& out)
{
  gsProbe probe;
  probe.Sequence = table.NextSequence++;
  probe.Host = host;
  probe.SentAt = now;
  probe.IsCrossHall = isCrossHall;
  out.Messages.push_back(
    { gsProbeMessage::Kind::Ping, host, probe.Sequence, {} });
  table.Probes.push_back(std::move(probe));
}

/** The next host of the own hall to ping, in random order. Each is returned
 * once before any is returned again. */
std::string NextTarget(gsMembership& table, gsRandom& random)
{
  for (int round = 0; round < 2; ++round) {
    while (!table.PingOrder.empty()) {
      std::string host = std::move(table.PingOrder.back());
      table.PingOrder.pop_back();
      gsMember const* member = gsFindMember(table, host);
      if (member != nullptr && member->State != gsMemberState::Dead) {
        return host;
      }
    }
    for (gsMember const& member : table.Members) {
      if (member.Hall == table.Self.Hall &&
          member.State != gsMemberState::Dead) {
        table.PingOrder.push_back(member.Host);
      }
    }
    std::shuffle(table.PingOrder.begin(), table.PingOrder.end(), random);
  }
  return {};
}

void RequestIndirectProbes(gsMembership& table, gsProbe const& probe,
                           gsRandom& random, gsMembershipOutput& out)
{
  std::vector<std::string> helpers;
  for (gsMember const& member : table.Members) {
    if (member.Hall == table.Self.Hall && member.Host != probe.Host &&
        member.State == gsMemberState::Alive) {
      helpers.push_back(member.Host);
    }
  }
  std::shuffle(helpers.begin(), helpers.end(), random);
  helpers.resize(
    std::min<std::size_t>(helpers.size(), table.Settings.IndirectProbes));
  for (std::string const& helper : helpers) {
    out.Messages.push_back({ gsProbeMessage::Kind::PingRequest, helper,
                             probe.Sequence, probe.Host });
  }
}

void CheckProbes(gsMembership& table, gsTime now, gsRandom& random,
                 gsMembershipOutput& out)
{
  for (gsProbe& probe : table.Probes) {
    bool isOwn = probe.Requester.empty();
    if (isOwn && !probe.IsCrossHall && !probe.IndirectProbesRequested &&
        now - probe.SentAt >= table.Settings.PingTimeout) {
      probe.IndirectProbesRequested = true;
      RequestIndirectProbes(table, probe, random, out);
    }
  }
  auto hasTimedOut = [&](gsProbe const& probe) {
    gsTime timeout = probe.IsCrossHall ? table.Settings.CrossHallProbeInterval
                                       : table.Settings.ProbeInterval;
    return now - probe.SentAt >= timeout;
  };
  std::vector<gsProbe> expired;
  std::copy_if(table.Probes.begin(), table.Probes.end(),
               std::back_inserter(expired), hasTimedOut);
  table.Probes.erase(
    std::remove_if(table.Probes.begin(), table.Probes.end(), hasTimedOut),
    table.Probes.end());
  for (gsProbe const& probe : expired) {
    if (probe.Requester.empty()) {
      gsMembershipSuspect(table, probe.Host, "no_answer", now, out);
    }
  }
}

void CheckSuspects(gsMembership& table, gsTime now, gsMembershipOutput& out)
{
  for (gsMember& member : table.Members) {
    gsTime timeout = member.Hall == table.Self.Hall
                       ? table.Settings.SuspicionTimeout
                       : table.Settings.CrossHallSuspicionTimeout;
    if (member.State == gsMemberState::Suspect &&
        now - member.ChangedAt >= timeout) {
      SetState(table, member, gsMemberState::Dead, "suspicion_over", now, out);
    }
  }
  auto isExpired = [&](gsMember const& member) {
    return member.State == gsMemberState::Dead &&
           now - member.ChangedAt >= table.Settings.DeadRetention;
  };
  for (gsMember const& member : table.Members) {
    if (isExpired(member)) {
      table.Digest ^= DigestOf(member);
    }
  }
  table.Members.erase(
    std::remove_if(table.Members.begin(), table.Members.end(), isExpired),
    table.Members.end());
}

/** Pings a random dead member, so that the end of a network partition is
 * detected. */
void PingDeadMember(gsMembership& table, gsTime now, gsRandom& random,
                    gsMembershipOutput& out)
{
  std::vector<std::string> dead;
  for (gsMember const& member : table.Members) {
    if (member.State == gsMemberState::Dead) {
      dead.push_back(member.Host);
    }
  }
  if (!dead.empty()) {
    Ping(table, dead[random() % dead.size()], false, now, out);
  }
}

} // namespace

char const* gsMemberStateName(gsMemberState state)
{
  switch (state) {
    case gsMemberState::Alive:
      return "alive";
    case gsMemberState::Suspect:
      return "suspect";
    case gsMemberState::Leaving:
      return "leaving";
    case gsMemberState::Dead:
      break;
  }
  return "dead";
}

void gsMembershipStart(gsMembership& table, gsMember self, gsTime now)
{
  table.Self = std::move(self);
  table.Digest = DigestOf(table.Self);
  AnnounceSelf(table);
  table.NextPing = now;
  table.NextCrossHallPing = now;
  table.NextDeadPing = now + table.Settings.DeadProbeInterval;
  table.NextSync = now;
}

gsMember const* gsFindMember(gsMembership const& table, std::string_view host)
{
  return Find(const_cast<gsMembership&>(table), host);
}

void gsMembershipTick(gsMembership& table, gsTime now, gsRandom& random,
                      gsMembershipOutput& out)
{
  CheckProbes(table, now, random, out);
  CheckSuspects(table, now, out);
  if (now >= table.NextPing) {
    table.NextPing = now + table.Settings.ProbeInterval;
    std::string target = NextTarget(table, random);
    if (!target.empty()) {
      Ping(table, target, false, now, out);
    }
  }
  if (now >= table.NextCrossHallPing) {
    table.NextCrossHallPing = now + table.Settings.CrossHallProbeInterval;
    for (std::string const& hall : gsOtherHalls(table)) {
      Ping(table, gsCrossHallPeer(table, hall), true, now, out);
    }
  }
  if (now >= table.NextDeadPing) {
    table.NextDeadPing = now + table.Settings.DeadProbeInterval;
    PingDeadMember(table, now, random, out);
  }
}

void gsMembershipApplyUpdate(gsMembership& table, gsMember const& update,
                             gsTime now, gsMembershipOutput& out)
{
  if (update.Host == table.Self.Host) {
    bool isCurrentIncarnation = update.Incarnation == table.Self.Incarnation;
    if (isCurrentIncarnation && update.Refutation >= table.Self.Refutation &&
        update.State != table.Self.State) {
      table.Digest ^= DigestOf(table.Self);
      table.Self.Refutation = update.Refutation + 1;
      table.Digest ^= DigestOf(table.Self);
      AnnounceSelf(table);
    }
    return;
  }
  auto entry = LowerBound(table, update.Host);
  if (entry == table.Members.end() || entry->Host != update.Host) {
    entry = table.Members.insert(entry, update);
    entry->ChangedAt = now;
    entry->RemainingTransmissions = TransmissionCount(table);
    table.Digest ^= DigestOf(*entry);
    out.Changes.push_back(
      { update.Host, gsMemberState::Dead, update.State, "joined" });
    return;
  }
  if (!Supersedes(update, *entry)) {
    return;
  }
  gsMemberState oldState = entry->State;
  table.Digest ^= DigestOf(*entry);
  *entry = update;
  entry->ChangedAt = now;
  entry->RemainingTransmissions = TransmissionCount(table);
  table.Digest ^= DigestOf(*entry);
  if (oldState != update.State) {
    out.Changes.push_back({ update.Host, oldState, update.State, "told" });
  }
}

void gsMembershipOnPing(gsMembership& table, std::string_view from,
                        std::uint64_t sequence, gsMembershipOutput& out)
{
  out.Messages.push_back(
    { gsProbeMessage::Kind::Ack, std::string(from), sequence, {} });
  gsMember* member = Find(table, from);
  if (member != nullptr && member->State != gsMemberState::Alive) {
    // The sender is sent its entry, so that it can refute its state.
    member->RemainingTransmissions =
      std::max(member->RemainingTransmissions, 1U);
  }
}

void gsMembershipOnPingRequest(gsMembership& table, std::string_view from,
                               std::uint64_t sequence, std::string_view target,
                               gsTime now, gsMembershipOutput& out)
{
  if (gsFindMember(table, target) == nullptr) {
    return;
  }
  Ping(table, std::string(target), false, now, out);
  table.Probes.back().Requester = from;
  table.Probes.back().RequesterSequence = sequence;
}

void gsMembershipOnAck(gsMembership& table, std::string_view from,
                       std::uint64_t sequence, std::string_view target,
                       gsMembershipOutput& out)
{
  std::string_view host = target.empty() ? from : target;
  auto probe = std::find_if(
    table.Probes.begin(), table.Probes.end(), [&](gsProbe const& candidate) {
      return candidate.Sequence == sequence && candidate.Host == host;
    });
  if (probe == table.Probes.end()) {
    return;
  }
  if (!probe->Requester.empty()) {
    out.Messages.push_back({ gsProbeMessage::Kind::Ack, probe->Requester,
                             probe->RequesterSequence, probe->Host });
  }
  // The ack does not clear a suspicion: only a refutation by the member itself
  // does, so that all hosts reach the same state.
  table.Probes.erase(probe);
}

void gsMembershipSuspect(gsMembership& table, std::string_view host,
                         std::string_view cause, gsTime now,
                         gsMembershipOutput& out)
{
  gsMember* member = Find(table, host);
  if (member == nullptr) {
    return;
  }
  if (member->State == gsMemberState::Alive) {
    SetState(table, *member, gsMemberState::Suspect, cause, now, out);
  } else if (member->State == gsMemberState::Leaving) {
    SetState(table, *member, gsMemberState::Dead, cause, now, out);
  }
}

void gsMembershipSetState(gsMembership& table, gsMemberState state)
{
  table.Digest ^= DigestOf(table.Self);
  table.Self.State = state;
  ++table.Self.Refutation;
  table.Digest ^= DigestOf(table.Self);
  AnnounceSelf(table);
}

std::vector<gsMember> gsMembershipNextUpdates(gsMembership& table)
{
  std::vector<gsMember> updates;
  if (table.Self.RemainingTransmissions > 0) {
    --table.Self.RemainingTransmissions;
    updates.push_back(table.Self);
  }
  for (gsMember& member : table.Members) {
    if (updates.size() >= table.Settings.MaxUpdatesPerMessage) {
      break;
    }
    if (member.RemainingTransmissions > 0) {
      --member.RemainingTransmissions;
      updates.push_back(member);
    }
  }
  return updates;
}

bool gsMembershipNeedsSync(gsMembership& table, std::uint64_t peerDigest,
                           gsTime now)
{
  if (peerDigest == table.Digest || now < table.NextSync) {
    return false;
  }
  table.NextSync = now + table.Settings.MinSyncInterval;
  return true;
}

std::vector<std::string_view> gsAliveHosts(gsMembership const& table,
                                           std::string_view hall)
{
  std::vector<std::string_view> hosts;
  if (table.Self.Hall == hall && table.Self.State == gsMemberState::Alive) {
    hosts.emplace_back(table.Self.Host);
  }
  for (gsMember const& member : table.Members) {
    if (member.Hall == hall && member.State == gsMemberState::Alive) {
      hosts.emplace_back(member.Host);
    }
  }
  return hosts;
}

std::vector<std::string> gsOtherHalls(gsMembership const& table)
{
  std::vector<std::string> halls;
  for (gsMember const& member : table.Members) {
    bool isIncluded =
      member.Hall != table.Self.Hall && member.State != gsMemberState::Dead;
    if (isIncluded &&
        std::find(halls.begin(), halls.end(), member.Hall) == halls.end()) {
      halls.push_back(member.Hall);
    }
  }
  return halls;
}

std::string gsCrossHallPeer(gsMembership const& table, std::string_view hall)
{
  std::vector<std::string_view> hosts;
  for (gsMember const& member : table.Members) {
    if (member.Hall == hall && member.State != gsMemberState::Dead) {
      hosts.emplace_back(member.Host);
    }
  }
  return gsRendezvous(hosts, table.Self.Host).value_or(std::string());
}
