/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Functions that the source files of gsHallMembership share: the liveness and
 * the duty order of peers, and the digests that hosts exchange. Internal to
 * the library; its users include gsHallMembership.h.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gsHallMembership.h"

namespace gsHallDetail {

/** Whether a time is set and at most a given duration ago. */
bool IsRecent(gsTime at, gsTime duration, gsTime now);

/** Hosts of this host's hall that are up, in duty order, including this host
 * unless it is leaving. With directOnly set, peers that are only reported by
 * other hosts are left out. */
std::vector<gsHallHost const*> HostsInDutyOrder(gsHallMembership const& table,
                                                bool directOnly, gsTime now);

/** Names of the coordinators of this host's hall, in duty order, without this
 * host. */
std::vector<std::string> OtherCoordinators(gsHallMembership const& table,
                                           gsTime now);

/** Whether this host is a coordinator of its hall, by its local table. */
bool IsCoordinator(gsHallMembership const& table, gsTime now);

/** Whether a host of another hall was heard from or reported within
 * HallTimeout and is not excluded. */
bool MayBeUp(gsHallMembership const& table, gsHallPeer const& peer,
             gsTime now);

/** Sorts the contacts of a hall, those that may be up first and each group in
 * duty order, and removes all beyond MaxCandidates. */
void SortContacts(gsHallMembership const& table, gsOtherHall& hall,
                  gsTime now);

/** Finds a peer by its host name in any hall; null if it is unknown. */
gsHallPeer* FindPeer(gsHallMembership& table, std::string_view host);

/** Clears the digest state of a peer after a timeout or a restart, so that
 * the next digest is sent in full. */
void ResetDigests(gsHallPeer& peer);

/** Records that a peer was heard from: ends its exclusion and the wait for
 * its reply. */
void RecordActivity(gsHallMembership& table, gsHallPeer& peer, gsTime now);

/** Applies the description that a host sent of itself. */
void ApplySelfReport(gsHallMembership& table, gsHallHost const& host,
                     gsTime now);

/** Applies the description of a host that another host sent. Authoritative
 * is set if the report originates in the described host's own hall. */
void ApplyIndirectReport(gsHallMembership& table, gsHallHost const& host,
                         bool authoritative, gsTime now);

/** Number of hosts of this host's hall that it receives messages from,
 * including itself. */
std::uint32_t CountDirectHosts(gsHallMembership const& table, gsTime now);

/** Number of hosts of this host's hall: the maximum of its own count and of
 * those in the digests of peers heard from within CoordinatorTimeout. */
std::uint32_t CountHallHosts(gsHallMembership const& table, gsTime now);

/** Applies a digest, either a new one or a stored one whose hash the sender
 * has repeated. */
void ApplyDigest(gsHallMembership& table, std::string const& sendersHall,
                 gsHallDigest const& digest, gsTime now);

/** Caches the digests of one tick by receiving hall, since all hosts of a hall
 * receive the same digest. */
class DigestCache
{
public:
  struct Entry
  {
    gsHallDigest Digest;
    std::uint64_t Hash = 0;
  };

  /** Keeps a reference to the table, which must outlive this object. Changes
   * to the table do not affect digests that are already cached. */
  DigestCache(gsHallMembership const& table, gsTime now);

  /** The digest for the hosts of a hall, created on the first call. */
  Entry const& Get(std::string const& hall);

private:
  gsHallMembership const& Table;
  gsTime Now;
  std::map<std::string, Entry> ByHall;
};

/** Sets the hash of the current digest in a message, and adds the digest
 * itself if the peer requested it or was last sent a different one. */
void AddDigest(gsHallMessage& message, gsHallPeer& peer,
               DigestCache::Entry const& entry);

} // namespace gsHallDetail
