/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsMembership.h"

#include <algorithm>
#include <cmath>

#include "gsRendezvous.h"

namespace {

constexpr std::uint32_t CarryFactor = 3;

std::uint64_t DigestOf(gsMember const& member)
{
  std::uint64_t numbers[] = { member.Incarnation, member.Refutation,
                              static_cast<std::uint64_t>(member.State) };
  std::string_view bytes(reinterpret_cast<char const*>(numbers),
                         sizeof(numbers));
  return gsRendezvousWeight(bytes, gsHashText(member.Host));
}

/** How often a piece of news is carried: a multiple of log2 of the size. */
std::uint32_t CarryCount(gsMembership const& table)
{
  double size = static_cast<double>(table.Members.size()) + 2;
  return CarryFactor * static_cast<std::uint32_t>(std::ceil(std::log2(size)));
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

bool Supersedes(gsMember const& news, gsMember const& known)
{
  if (news.Incarnation != known.Incarnation) {
    return news.Incarnation > known.Incarnation;
  }
  if (news.Refutation != known.Refutation) {
    return news.Refutation > known.Refutation;
  }
  return news.State > known.State;
}

void SetState(gsMembership& table, gsMember& member, gsMemberState state,
              std::string_view cause, gsTime now, gsMembershipOutput& out)
{
  gsMemberState before = member.State;
  if (before == state) {
    return;
  }
  table.Digest ^= DigestOf(member);
  member.State = state;
  member.Since = now;
  member.Carry = CarryCount(table);
  table.Digest ^= DigestOf(member);
  out.Changes.push_back({ member.Host, before, state, std::string(cause) });
}

void AnnounceSelf(gsMembership& table)
{
  table.Self.Carry = CarryCount(table);
}

void Ping(gsMembership& table, std::string const& host, bool cross, gsTime now,
          gsMembershipOutput& out)
{
  gsProbe probe;
  probe.Sequence = table.NextSequence++;
  probe.Host = host;
  probe.Sent = now;
  probe.Cross = cross;
  out.Messages.push_back(
    { gsProbeMessage::Kind::Ping, host, probe.Sequence, {} });
  table.Probes.push_back(std::move(probe));
}

/** The next host of the own hall; each is taken once before any again. */
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

void AskOthers(gsMembership& table, gsProbe const& probe, gsRandom& random,
               gsMembershipOutput& out)
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
    std::min<std::size_t>(helpers.size(), table.Settings.Indirect));
  for (std::string const& helper : helpers) {
    out.Messages.push_back({ gsProbeMessage::Kind::PingRequest, helper,
                             probe.Sequence, probe.Host });
  }
}

void CheckProbes(gsMembership& table, gsTime now, gsRandom& random,
                 gsMembershipOutput& out)
{
  for (gsProbe& probe : table.Probes) {
    bool own = probe.OnBehalfOf.empty();
    if (own && !probe.Cross && !probe.Indirect &&
        now - probe.Sent >= table.Settings.PingTimeout) {
      probe.Indirect = true;
      AskOthers(table, probe, random, out);
    }
  }
  auto unanswered = [&](gsProbe const& probe) {
    gsTime limit =
      probe.Cross ? table.Settings.CrossPeriod : table.Settings.Period;
    return now - probe.Sent >= limit;
  };
  std::vector<gsProbe> expired;
  std::copy_if(table.Probes.begin(), table.Probes.end(),
               std::back_inserter(expired), unanswered);
  table.Probes.erase(
    std::remove_if(table.Probes.begin(), table.Probes.end(), unanswered),
    table.Probes.end());
  for (gsProbe const& probe : expired) {
    if (probe.OnBehalfOf.empty()) {
      gsMembershipSuspect(table, probe.Host, "no_answer", now, out);
    }
  }
}

void CheckSuspects(gsMembership& table, gsTime now, gsMembershipOutput& out)
{
  for (gsMember& member : table.Members) {
    gsTime limit = member.Hall == table.Self.Hall
                     ? table.Settings.SuspectTime
                     : table.Settings.CrossSuspectTime;
    if (member.State == gsMemberState::Suspect &&
        now - member.Since >= limit) {
      SetState(table, member, gsMemberState::Dead, "suspicion_over", now, out);
    }
  }
  auto forgotten = [&](gsMember const& member) {
    return member.State == gsMemberState::Dead &&
           now - member.Since >= table.Settings.ForgetDead;
  };
  for (gsMember const& member : table.Members) {
    if (forgotten(member)) {
      table.Digest ^= DigestOf(member);
    }
  }
  table.Members.erase(
    std::remove_if(table.Members.begin(), table.Members.end(), forgotten),
    table.Members.end());
}

/** Pings one dead member, so that a healed cut is noticed. */
void Revive(gsMembership& table, gsTime now, gsRandom& random,
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

char const* gsMemberStateWord(gsMemberState state)
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
  table.NextCross = now;
  table.NextRevive = now + table.Settings.RevivePeriod;
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
    table.NextPing = now + table.Settings.Period;
    std::string target = NextTarget(table, random);
    if (!target.empty()) {
      Ping(table, target, false, now, out);
    }
  }
  if (now >= table.NextCross) {
    table.NextCross = now + table.Settings.CrossPeriod;
    for (std::string const& hall : gsOtherHalls(table)) {
      Ping(table, gsPartnerOf(table, hall), true, now, out);
    }
  }
  if (now >= table.NextRevive) {
    table.NextRevive = now + table.Settings.RevivePeriod;
    Revive(table, now, random, out);
  }
}

void gsMembershipLearn(gsMembership& table, gsMember const& news, gsTime now,
                       gsMembershipOutput& out)
{
  if (news.Host == table.Self.Host) {
    bool about = news.Incarnation == table.Self.Incarnation;
    if (about && news.Refutation >= table.Self.Refutation &&
        news.State != table.Self.State) {
      table.Digest ^= DigestOf(table.Self);
      table.Self.Refutation = news.Refutation + 1;
      table.Digest ^= DigestOf(table.Self);
      AnnounceSelf(table);
    }
    return;
  }
  auto place = LowerBound(table, news.Host);
  if (place == table.Members.end() || place->Host != news.Host) {
    place = table.Members.insert(place, news);
    place->Since = now;
    place->Carry = CarryCount(table);
    table.Digest ^= DigestOf(*place);
    out.Changes.push_back(
      { news.Host, gsMemberState::Dead, news.State, "joined" });
    return;
  }
  if (!Supersedes(news, *place)) {
    return;
  }
  gsMemberState before = place->State;
  table.Digest ^= DigestOf(*place);
  *place = news;
  place->Since = now;
  place->Carry = CarryCount(table);
  table.Digest ^= DigestOf(*place);
  if (before != news.State) {
    out.Changes.push_back({ news.Host, before, news.State, "told" });
  }
}

void gsMembershipOnPing(gsMembership& table, std::string_view from,
                        std::uint64_t sequence, gsMembershipOutput& out)
{
  out.Messages.push_back(
    { gsProbeMessage::Kind::Ack, std::string(from), sequence, {} });
  gsMember* member = Find(table, from);
  if (member != nullptr && member->State != gsMemberState::Alive) {
    // Tell the sender what is said of it, so that it can refute.
    member->Carry = std::max(member->Carry, 1U);
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
  table.Probes.back().OnBehalfOf = from;
  table.Probes.back().TheirSequence = sequence;
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
  if (!probe->OnBehalfOf.empty()) {
    out.Messages.push_back({ gsProbeMessage::Kind::Ack, probe->OnBehalfOf,
                             probe->TheirSequence, probe->Host });
  }
  // A suspicion is taken back by the member itself, so that all agree.
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

std::vector<gsMember> gsMembershipNews(gsMembership& table)
{
  std::vector<gsMember> news;
  if (table.Self.Carry > 0) {
    --table.Self.Carry;
    news.push_back(table.Self);
  }
  for (gsMember& member : table.Members) {
    if (news.size() >= table.Settings.MaxCarried) {
      break;
    }
    if (member.Carry > 0) {
      --member.Carry;
      news.push_back(member);
    }
  }
  return news;
}

bool gsMembershipWantsSync(gsMembership& table, std::uint64_t peerDigest,
                           gsTime now)
{
  if (peerDigest == table.Digest || now < table.NextSync) {
    return false;
  }
  table.NextSync = now + table.Settings.SyncPeriod;
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
    bool counts =
      member.Hall != table.Self.Hall && member.State != gsMemberState::Dead;
    if (counts &&
        std::find(halls.begin(), halls.end(), member.Hall) == halls.end()) {
      halls.push_back(member.Hall);
    }
  }
  return halls;
}

std::string gsPartnerOf(gsMembership const& table, std::string_view hall)
{
  std::vector<std::string_view> hosts;
  for (gsMember const& member : table.Members) {
    if (member.Hall == hall && member.State != gsMemberState::Dead) {
      hosts.emplace_back(member.Host);
    }
  }
  return gsRendezvous(hosts, table.Self.Host).value_or(std::string());
}
