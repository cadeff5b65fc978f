/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What hosts tell each other of halls, and how they take it in.
 */
#include "gsHallDetail.h"

#include <algorithm>
#include <utility>

#include "gsRendezvous.h"

namespace gsHallDetail {

namespace {

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

} // namespace

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

namespace {

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

} // namespace

Digests::Digests(gsHallMembership const& table, gsTime now)
  : Table(table)
  , Now(now)
{
}

Digests::Made const& Digests::For(std::string const& hall)
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

} // namespace gsHallDetail
