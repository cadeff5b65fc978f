/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsHallMembership.h"

#include <algorithm>
#include <utility>

#include "gsRendezvous.h"

namespace {

constexpr std::string_view OrderKey = "hall-order";
constexpr std::string_view DecisionKey = "engine-arrangement";

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

bool IsWithin(gsTime at, gsTime span, gsTime now)
{
  return at.count() != 0 && now - at <= span;
}

bool IsUp(gsHallMembership const& table, gsHallPeer const& peer, gsTime now)
{
  gsHallMembershipSettings const& settings = table.Settings;
  return !peer.Host.Leaving && peer.AvoidUntil <= now &&
         (IsWithin(peer.Heard, settings.HostSilence, now) ||
          IsWithin(peer.Told, settings.ToldMemory, now));
}

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

gsHallPeer* FindContact(gsOtherHall& hall, std::string_view host)
{
  for (gsHallPeer& peer : hall.Contacts) {
    if (peer.Host.Host == host) {
      return &peer;
    }
  }
  return nullptr;
}

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

/**
 * Takes over what is said of a hall. Its hosts are counted only by the word of
 * a hall itself: words that are passed on would keep a dead hall alive.
 */
void TakeSummary(gsHallMembership& table, gsHallSummary const& summary,
                 bool believed, gsTime now)
{
  for (gsHallHost const& host : summary.First) {
    if (host.Hall == summary.Hall) {
      LearnTold(table, host, believed, now);
    }
  }
  if (summary.Hall == table.Self.Hall || summary.Hall.empty()) {
    return;
  }
  gsOtherHall& hall = table.Others[summary.Hall];
  if (believed && summary.Hosts > 0) {
    hall.Hosts = summary.Hosts;
    hall.Heard = now;
  }
  // Those that are not named any more make room for those that are.
  hall.Contacts.erase(std::remove_if(hall.Contacts.begin(),
                                     hall.Contacts.end(),
                                     [&](gsHallPeer const& peer) {
                                       return !IsContact(table, peer, now) &&
                                              peer.AvoidUntil <= now;
                                     }),
                      hall.Contacts.end());
  SortContacts(table, hall, now);
}

/** Takes in a digest, be it new or one that still holds. */
void TakeDigest(gsHallMembership& table, std::string const& sendersHall,
                gsHallDigest const& digest, gsTime now)
{
  bool coordinates = Coordinates(table, now);
  auto believed = [&](gsHallSummary const& summary) {
    bool passedOn = sendersHall == table.Self.Hall && !coordinates;
    return summary.Hall == sendersHall || passedOn;
  };
  bool fromOwn = sendersHall == table.Self.Hall && !coordinates &&
                 digest.Receivers.Hosts > 0;
  if (fromOwn) {
    // Halls that its coordinator no longer names are out of reach.
    for (auto& [name, hall] : table.Others) {
      hall.Heard = gsTime{};
    }
  }
  TakeSummary(table, digest.Receivers, believed(digest.Receivers), now);
  for (gsHallSummary const& other : digest.Others) {
    TakeSummary(table, other, believed(other), now);
  }
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

/** Another hall, with those of its hosts that may be asked. */
gsHallSummary SummaryOf(gsHallMembership const& table, std::string const& name,
                        gsOtherHall const& hall, std::size_t most, gsTime now)
{
  gsHallSummary summary;
  summary.Hall = name;
  bool heard = IsWithin(hall.Heard, table.Settings.HallMemory, now);
  summary.Hosts = heard ? hall.Hosts : 0;
  for (gsHallPeer const& peer : hall.Contacts) {
    // What other halls say of it is not passed on: it would go round.
    gsTime last = std::max(peer.Heard, peer.Named);
    if (summary.First.size() < most && peer.AvoidUntil <= now &&
        IsWithin(last, table.Settings.ToldMemory, now) && !peer.Host.Leaving) {
      summary.First.push_back(peer.Host);
    }
  }
  return summary;
}

/** This host's own hall: only hosts that it has heard itself, as words that
 * are passed on would keep the dead alive. */
gsHallSummary OwnSummary(gsHallMembership const& table, std::size_t most,
                         gsTime now)
{
  gsHallSummary summary;
  summary.Hall = table.Self.Hall;
  for (gsHallHost const* host : Order(table, true, now)) {
    if (summary.First.size() < most) {
      summary.First.push_back(*host);
    }
  }
  summary.Hosts = Coordinates(table, now) ? HeardInHall(table, now) : 0;
  return summary;
}

/** What the hosts of a hall are told. */
gsHallDigest DigestFor(gsHallMembership const& table, std::string const& hall,
                       gsTime now)
{
  gsHallDigest digest;
  bool coordinates = Coordinates(table, now);
  std::size_t candidates = table.Settings.Candidates;
  bool isOwn = hall == table.Self.Hall;
  if (isOwn) {
    digest.Receivers = OwnSummary(table, candidates, now);
  } else {
    digest.Receivers.Hall = hall;
    auto found = table.Others.find(hall);
    if (found != table.Others.end()) {
      digest.Receivers =
        SummaryOf(table, hall, found->second, candidates, now);
    }
    digest.Others.push_back(
      OwnSummary(table, table.Settings.Coordinators, now));
  }
  for (auto const& [name, other] : table.Others) {
    // Only what this host has from the hall itself, for the same reason.
    bool known = IsWithin(other.Heard, table.Settings.HallMemory, now);
    if (name != hall && known) {
      digest.Others.push_back(SummaryOf(table, name, other, 1, now));
      digest.Others.back().Hosts *= coordinates ? 1 : 0;
    }
  }
  return digest;
}

void MixText(std::uint64_t& hash, std::string_view text)
{
  hash = gsRendezvousWeight(text, hash);
}

void MixNumber(std::uint64_t& hash, std::uint64_t number)
{
  MixText(hash, { reinterpret_cast<char const*>(&number), sizeof(number) });
}

void MixSummary(std::uint64_t& hash, gsHallSummary const& summary)
{
  MixText(hash, summary.Hall);
  MixNumber(hash, summary.Hosts);
  for (gsHallHost const& host : summary.First) {
    MixText(hash, host.Host);
    MixNumber(hash, host.Incarnation);
  }
}

std::uint64_t HashOf(gsHallDigest const& digest)
{
  std::uint64_t hash = 1;
  MixSummary(hash, digest.Receivers);
  for (gsHallSummary const& summary : digest.Others) {
    MixSummary(hash, summary);
  }
  return std::max<std::uint64_t>(hash, 1);
}

/** Digests by hall: many hosts of a hall are told the same. */
class Digests
{
public:
  struct Made
  {
    gsHallDigest Digest;
    std::uint64_t Hash = 0;
  };

  Digests(gsHallMembership const& table, gsTime now)
    : Table(table)
    , Now(now)
  {
  }

  Made const& For(std::string const& hall)
  {
    auto found = this->ByHall.find(hall);
    if (found == this->ByHall.end()) {
      Made made;
      made.Digest = DigestFor(this->Table, hall, this->Now);
      made.Hash = HashOf(made.Digest);
      found = this->ByHall.emplace(hall, std::move(made)).first;
    }
    return found->second;
  }

private:
  gsHallMembership const& Table;
  gsTime Now;
  std::map<std::string, Made> ByHall;
};

gsHallMessage MessageTo(gsHallHost const& host)
{
  gsHallMessage message;
  message.To = host.Host;
  message.Address = host.Address;
  return message;
}

void AddDigest(gsHallMessage& message, gsHallPeer& peer,
               Digests::Made const& made)
{
  message.DigestHash = made.Hash;
  if (peer.SentHash != made.Hash || peer.Asked) {
    peer.SentHash = made.Hash;
    peer.Asked = false;
    message.Digest = made.Digest;
  }
}

/** A heartbeat to a coordinator; the caller decides whether it is told. */
void Beat(gsHallMembership& table, gsHallPeer& peer, gsTime period,
          Digests& digests, bool tell, gsTime now,
          std::vector<gsHallMessage>& out)
{
  peer.NextBeat = now + period;
  if (peer.Awaited.count() == 0) {
    peer.Awaited = now;
  }
  gsHallMessage message = MessageTo(peer.Host);
  message.Self = table.Self;
  message.Asks = std::exchange(peer.Missed, false);
  if (tell || peer.Asked) {
    AddDigest(message, peer, digests.For(peer.Host.Hall));
  }
  out.push_back(std::move(message));
}

/** A peer that has not been sent anything for long is first sent something
 * some time later. */
bool IsDue(gsHallMembership const& table, gsHallPeer& peer, gsTime now,
           gsRandom& random)
{
  gsTime const old = 2 * table.Settings.Period;
  if (now - peer.NextBeat > old) {
    std::uniform_int_distribution<std::int64_t> spread(
      0, table.Settings.Spread.count());
    peer.NextBeat = now + gsTime(spread(random));
    peer.Awaited = gsTime{};
  }
  return now >= peer.NextBeat;
}

/** Leaves coordinators and contacts that have not answered. */
void LeaveSilent(gsHallMembership& table, gsHallPeer& peer, gsTime now)
{
  gsTime last = std::max(peer.Heard, peer.Awaited);
  bool waits = peer.Awaited.count() != 0;
  if (waits && now - last > table.Settings.CoordinatorSilence) {
    peer.AvoidUntil = now + table.Settings.Avoid;
    peer.Awaited = gsTime{};
    peer.Heard = gsTime{};
    peer.Told = gsTime{};
    ForgetDigests(peer);
  }
}

void BeatHall(gsHallMembership& table, bool coordinates, Digests& digests,
              gsTime now, gsRandom& random, std::vector<gsHallMessage>& out)
{
  std::vector<std::string> coordinators = OtherCoordinators(table, now);
  for (std::string const& name : coordinators) {
    gsHallPeer& peer = table.Hall[name];
    LeaveSilent(table, peer, now);
    if (peer.AvoidUntil <= now && IsDue(table, peer, now, random)) {
      gsTime period =
        coordinates ? table.Settings.DigestPeriod : table.Settings.Period;
      Beat(table, peer, period, digests, coordinates, now, out);
    }
  }
  for (auto& [name, peer] : table.Hall) {
    bool isTold = IsWithin(peer.BeatAt, table.Settings.HostSilence, now) &&
                  std::find(coordinators.begin(), coordinators.end(), name) ==
                    coordinators.end();
    // Whoever speaks to this host is answered, also when it is mistaken in
    // taking this host for a coordinator: the digest tells it who is.
    if (!isTold || now < peer.NextBeat) {
      continue;
    }
    peer.NextBeat = now + table.Settings.DigestPeriod;
    gsHallMessage message = MessageTo(peer.Host);
    if (table.Self.Leaving || peer.Asked) {
      message.Self = table.Self;
    }
    AddDigest(message, peer, digests.For(table.Self.Hall));
    out.push_back(std::move(message));
  }
}

void BeatOthers(gsHallMembership& table, Digests& digests, gsTime now,
                gsRandom& random, std::vector<gsHallMessage>& out)
{
  for (auto& [name, hall] : table.Others) {
    std::size_t taken = 0;
    for (gsHallPeer& peer : hall.Contacts) {
      if (taken == table.Settings.Coordinators) {
        break;
      }
      LeaveSilent(table, peer, now);
      if (peer.AvoidUntil > now || peer.Host.Leaving) {
        continue;
      }
      ++taken;
      if (IsDue(table, peer, now, random)) {
        Beat(table, peer, table.Settings.Period, digests, true, now, out);
      }
    }
  }
}

/** Addresses that may be asked, the most promising first. */
std::vector<std::string> Askable(gsHallMembership const& table)
{
  std::vector<std::string> addresses;
  std::size_t count = table.Seeds.size();
  std::size_t first = count == 0 ? 0 : gsHashText(table.Self.Hall) % count;
  for (std::size_t i = 0; i < count; ++i) {
    addresses.push_back(table.Seeds[(first + i) % count]);
  }
  for (auto const& [name, hall] : table.Others) {
    for (gsHallPeer const& peer : hall.Contacts) {
      addresses.push_back(peer.Host.Address);
    }
  }
  addresses.erase(
    std::remove(addresses.begin(), addresses.end(), table.Self.Address),
    addresses.end());
  return addresses;
}

void Ask(gsHallMembership& table, std::vector<gsHallMessage>& out)
{
  std::vector<std::string> addresses = Askable(table);
  if (addresses.empty()) {
    return;
  }
  gsHallMessage message;
  message.Address = addresses[table.AsksMade++ % addresses.size()];
  message.Self = table.Self;
  message.Asks = true;
  out.push_back(std::move(message));
}

/** Asks while this host hears nobody of its hall. */
void AskWhenAlone(gsHallMembership& table, gsTime now,
                  std::vector<gsHallMessage>& out)
{
  bool alone = HeardInHall(table, now) <= 1;
  if (!alone) {
    table.AskDelay = gsTime{};
    return;
  }
  if (now < table.NextAsk) {
    return;
  }
  table.AskDelay = std::clamp(table.AskDelay * 2, table.Settings.AskFirst,
                              table.Settings.AskMost);
  table.NextAsk = now + table.AskDelay;
  Ask(table, out);
}

/** Asks now and then, so that parts of a system meet. */
void AskToMeet(gsHallMembership& table, gsTime now,
               std::vector<gsHallMessage>& out)
{
  if (now >= table.NextMeet) {
    table.MeetDelay = std::min(table.MeetDelay * 2, table.Settings.MeetMost);
    table.NextMeet = now + table.MeetDelay;
    Ask(table, out);
  }
}

/** Notes a host of another hall that is to be answered. */
void NoteAsker(gsHallMembership& table, gsHallHost const& host, gsTime now)
{
  bool waits = std::any_of(table.Askers.begin(), table.Askers.end(),
                           [&host](gsHallAsker const& asker) {
                             return asker.Host.Host == host.Host;
                           });
  if (!waits) {
    table.Askers.push_back({ host, now });
  }
}

/** Takes in what a sender says of itself, and what it wants. */
void HearSelf(gsHallMembership& table, gsHallHost const& host,
              gsHallMessage const& message, gsTime now)
{
  LearnSelf(table, host, now);
  if (host.Hall != table.Self.Hall) {
    // One that takes this host for a coordinator is told who is; but answers,
    // which bring a digest, are not answered.
    bool mistaken = !message.Digest && !Coordinates(table, now);
    if (message.Asks || mistaken) {
      NoteAsker(table, host, now);
    }
    return;
  }
  auto found = table.Hall.find(host.Host);
  if (found == table.Hall.end()) {
    return; // This host itself, by an older incarnation.
  }
  gsHallPeer& peer = found->second;
  peer.BeatAt = now;
  if (message.Asks) {
    peer.Asked = true;
    peer.NextBeat = std::min(peer.NextBeat, now + table.Settings.Gather);
  }
}

void Answer(gsHallMembership& table, Digests& digests, gsTime now,
            std::vector<gsHallMessage>& out)
{
  std::vector<gsHallAsker> later;
  for (gsHallAsker& asker : table.Askers) {
    if (now - asker.Since < table.Settings.Gather) {
      later.push_back(std::move(asker));
      continue;
    }
    gsHallMessage message = MessageTo(asker.Host);
    message.Self = table.Self;
    Digests::Made const& made = digests.For(asker.Host.Hall);
    message.DigestHash = made.Hash;
    message.Digest = made.Digest;
    out.push_back(std::move(message));
  }
  table.Askers = std::move(later);
}

/** Rows of hosts that are long gone do not stay. */
void Forget(gsHallMembership& table, gsTime now)
{
  gsTime const memory = 4 * table.Settings.HostSilence;
  for (auto row = table.Hall.begin(); row != table.Hall.end();) {
    gsHallPeer const& peer = row->second;
    gsTime last = std::max({ peer.Heard, peer.Told, peer.AvoidUntil });
    row = now - last > memory ? table.Hall.erase(row) : std::next(row);
  }
}

} // namespace

void gsHallStart(gsHallMembership& table, gsHallHost self,
                 std::vector<std::string> const& seeds, gsTime now)
{
  table.Self = std::move(self);
  table.Started = now;
  table.MeetDelay = table.Settings.MeetFirst;
  table.NextMeet = now + table.MeetDelay;
  gsHallMeet(table, seeds, now);
}

void gsHallMeet(gsHallMembership& table,
                std::vector<std::string> const& addresses, gsTime now)
{
  for (std::string const& address : addresses) {
    bool isNew = std::find(table.Seeds.begin(), table.Seeds.end(), address) ==
                 table.Seeds.end();
    if (isNew) {
      table.Seeds.push_back(address);
      table.NextAsk = std::min(table.NextAsk, now);
    }
  }
  // All hosts that were given the same have them in the same order.
  std::sort(table.Seeds.begin(), table.Seeds.end());
}

std::vector<gsHallMessage> gsHallTick(gsHallMembership& table, gsTime now,
                                      gsRandom& random)
{
  std::vector<gsHallMessage> out;
  Forget(table, now);
  bool coordinates = Coordinates(table, now);
  Digests digests(table, now);
  BeatHall(table, coordinates, digests, now, random, out);
  AskWhenAlone(table, now, out);
  if (coordinates) {
    BeatOthers(table, digests, now, random, out);
    AskToMeet(table, now, out);
  }
  Answer(table, digests, now, out);
  return out;
}

void gsHallHear(gsHallMembership& table, std::string_view host,
                gsHallMessage const& message, gsTime now)
{
  if (message.Self) {
    HearSelf(table, *message.Self, message, now);
  }
  gsHallPeer* peer = FindPeer(table, host);
  if (peer == nullptr) {
    return;
  }
  NoteHeard(table, *peer, now);
  std::string hall = peer->Host.Hall;
  if (message.Digest) {
    peer->Taken = *message.Digest;
    peer->TakenHash = message.DigestHash;
    TakeDigest(table, hall, *message.Digest, now);
  } else if (message.DigestHash != 0 &&
             message.DigestHash == peer->TakenHash) {
    gsHallDigest holds = peer->Taken;
    TakeDigest(table, hall, holds, now);
  } else if (message.DigestHash != 0) {
    peer->Missed = true;
  }
}

void gsHallNoteSign(gsHallMembership& table, std::string_view host, gsTime now)
{
  if (gsHallPeer* peer = FindPeer(table, host)) {
    NoteHeard(table, *peer, now);
  }
}

void gsHallLinkDown(gsHallMembership& table, std::string_view host, gsTime now)
{
  if (gsHallPeer* peer = FindPeer(table, host)) {
    peer->AvoidUntil = now + table.Settings.Avoid;
    peer->Heard = gsTime{};
    peer->BeatAt = gsTime{};
    peer->Told = gsTime{};
    peer->Awaited = gsTime{};
    ForgetDigests(*peer);
  }
}

void gsHallNoteStall(gsHallMembership& table, gsTime now)
{
  auto refresh = [now](gsHallPeer& peer) {
    peer.Heard = peer.Heard.count() == 0 ? peer.Heard : now;
    peer.Told = peer.Told.count() == 0 ? peer.Told : now;
    peer.Awaited = gsTime{};
  };
  for (auto& [name, peer] : table.Hall) {
    refresh(peer);
  }
  for (auto& [name, hall] : table.Others) {
    hall.Heard = hall.Heard.count() == 0 ? hall.Heard : now;
    for (gsHallPeer& peer : hall.Contacts) {
      refresh(peer);
    }
  }
}

void gsHallLeave(gsHallMembership& table, gsTime now)
{
  table.Self.Leaving = true;
  for (auto& [name, peer] : table.Hall) {
    peer.NextBeat = now;
  }
  for (auto& [name, hall] : table.Others) {
    for (gsHallPeer& peer : hall.Contacts) {
      peer.NextBeat = now;
    }
  }
}

std::vector<std::string> gsHallOrder(gsHallMembership const& table, gsTime now)
{
  std::vector<std::string> hosts;
  for (gsHallHost const* host : Order(table, false, now)) {
    hosts.push_back(host->Host);
  }
  return hosts;
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
