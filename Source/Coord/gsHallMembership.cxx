/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Heartbeats, asks and answers.
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
