/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What the parts of gsHallMembership share: which peers are up and in which
 * order, and digests. Not for users of the library; they include
 * gsHallMembership.h.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gsHallMembership.h"

namespace gsHallDetail {

/** Whether a time is known and no longer ago than a span. */
bool IsWithin(gsTime at, gsTime span, gsTime now);

/** Hosts of the hall that are up, in order; those heard alone, if wanted. */
std::vector<gsHallHost const*> Order(gsHallMembership const& table,
                                     bool heardOnly, gsTime now);

/** Coordinators of the hall other than this host. */
std::vector<std::string> OtherCoordinators(gsHallMembership const& table,
                                           gsTime now);

/** Whether this host coordinates its hall, as far as it knows. */
bool Coordinates(gsHallMembership const& table, gsTime now);

/** Whether a host of another hall may be up. */
bool IsContact(gsHallMembership const& table, gsHallPeer const& peer,
               gsTime now);

/** Orders the contacts of a hall, and forgets those beyond the candidates. */
void SortContacts(gsHallMembership const& table, gsOtherHall& hall,
                  gsTime now);

/** The peer of that name, in whichever hall; null for an unknown one. */
gsHallPeer* FindPeer(gsHallMembership& table, std::string_view host);

/** After a silence or a restart, digests are sent in full again. */
void ForgetDigests(gsHallPeer& peer);

/** Notes a sign of life. */
void NoteHeard(gsHallMembership& table, gsHallPeer& peer, gsTime now);

/** Takes in what a host says of itself. */
void LearnSelf(gsHallMembership& table, gsHallHost const& host, gsTime now);

/** Takes in what is said of a host; believed if by its own hall. */
void LearnTold(gsHallMembership& table, gsHallHost const& host, bool believed,
               gsTime now);

/** Hosts of the hall that this host has heard, itself included. */
std::uint32_t HeardInHall(gsHallMembership const& table, gsTime now);

/** Hosts of the hall, also by its coordinators' word. */
std::uint32_t HostsOfHall(gsHallMembership const& table, gsTime now);

/** Takes in a digest, be it new or one that still holds. */
void TakeDigest(gsHallMembership& table, std::string const& sendersHall,
                gsHallDigest const& digest, gsTime now);

/** Digests by hall, made when first asked for: many hosts are told the same.
 */
class Digests
{
public:
  struct Made
  {
    gsHallDigest Digest;
    std::uint64_t Hash = 0;
  };

  /** The table outlives this; what is learned later is not told. */
  Digests(gsHallMembership const& table, gsTime now);

  Made const& For(std::string const& hall);

private:
  gsHallMembership const& Table;
  gsTime Now;
  std::map<std::string, Made> ByHall;
};

/** Names the digest that holds, and adds it if the peer lacks it. */
void AddDigest(gsHallMessage& message, gsHallPeer& peer,
               Digests::Made const& made);

} // namespace gsHallDetail
