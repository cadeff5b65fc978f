/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Membership by probing, a variant of the SWIM protocol. In each probe
 * interval a host pings one other host of its hall, and at a longer interval
 * one host of each other hall. Member updates are piggybacked on these
 * messages. A member that does not reply is suspected before it is considered
 * dead, and can refute the suspicion by incrementing its refutation number.
 * The number of messages per host does not depend on the number of hosts.
 *
 * The state is one plain struct. Callers pass in the current time, a random
 * number generator and received messages, and send the returned messages.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/** States of a member. Of two updates with equal incarnation and refutation
 * number, the one with the higher state supersedes the other. */
enum class gsMemberState : std::uint32_t
{
  Alive = 0,
  Suspect = 1,
  Leaving = 2, ///< Set by the member itself: it takes no new work, either not
               ///< yet or no longer.
  Dead = 3
};

/** Name of a state, for logs. */
char const* gsMemberStateName(gsMemberState state);

/** An entry of the member table, also exchanged between hosts as an update.
 */
struct gsMember
{
  std::string Host;
  std::string Hall;
  std::string Address; ///< IP:port for connections of other hosts.
  /** Increases with each start of the process. */
  std::uint64_t Incarnation = 0;
  /** Incremented by the member to refute a suspicion, and with each change of
   * its own state. */
  std::uint64_t Refutation = 0;
  gsMemberState State = gsMemberState::Alive;
  gsTime ChangedAt{}; ///< Local time at which this entry was last changed.
  /** Number of messages on which this entry is still to be piggybacked. */
  std::uint32_t RemainingTransmissions = 0;
};

struct gsMembershipSettings
{
  /** Interval of pings within the hall, and time after which an unanswered one
   * expires. */
  gsTime ProbeInterval = gsMilliseconds(500);
  /** Time without a reply after which indirect probes are requested. */
  gsTime PingTimeout = gsMilliseconds(200);
  /** Time after which a suspected member of the own hall is considered dead.
   */
  gsTime SuspicionTimeout = gsMilliseconds(1000);
  /** The same as ProbeInterval, for pings to other halls. */
  gsTime CrossHallProbeInterval = gsSeconds(2);
  /** The same as SuspicionTimeout, for members of other halls. */
  gsTime CrossHallSuspicionTimeout = gsSeconds(4);
  /** Interval of pings to dead members. */
  gsTime DeadProbeInterval = gsSeconds(2);
  /** Minimum interval between requests for the whole table of a peer. */
  gsTime MinSyncInterval = gsSeconds(2);
  /** Time after which a dead member is removed from the table. */
  gsTime DeadRetention = gsSeconds(3600);
  /** Maximum number of hosts that are requested to probe a member that does
   * not reply. */
  std::uint32_t IndirectProbes = 2;
  /** Maximum number of updates per message. */
  std::uint32_t MaxUpdatesPerMessage = 8;
};

/** A ping that was not answered yet. */
struct gsProbe
{
  std::uint64_t Sequence = 0;
  std::string Host;
  gsTime SentAt{}; ///< When it was sent.
  bool IndirectProbesRequested =
    false; ///< Whether indirect probes were requested.
  bool IsCrossHall =
    false; ///< Whether it was sent as a probe of another hall.
  /** Host that requested this probe and is sent the reply; empty for probes of
   * this host. */
  std::string Requester;
  std::uint64_t RequesterSequence = 0; ///< The requester's sequence number.
};

/** The member table and the state of probing. */
struct gsMembership
{
  gsMembershipSettings Settings;
  gsMember Self;
  std::vector<gsMember> Members; ///< All but Self, sorted by host name.
  std::vector<gsProbe> Probes;   ///< Not answered and not expired yet.
  /** Hosts of the own hall in random order. The last one is pinged next. */
  std::vector<std::string> PingOrder;
  std::uint64_t NextSequence = 1; ///< Of the next ping.
  gsTime NextPing{};          ///< When the next ping within the hall is due.
  gsTime NextCrossHallPing{}; ///< When the next pings to other halls are due.
  gsTime NextDeadPing{};      ///< When the next ping to a dead member is due.
  gsTime NextSync{};          ///< When a whole table may be requested again.
  std::uint64_t Digest = 0;   ///< XOR of the hashes of all members and Self;
                              ///< equal on hosts with equal tables.
};

/** A message from one host to another, which the caller has to send. */
struct gsProbeMessage
{
  enum class Kind
  {
    Ping,
    Ack,
    PingRequest
  };
  Kind Type = Kind::Ping;
  std::string To;             ///< Receiving host.
  std::uint64_t Sequence = 0; ///< Of the ping, as chosen by its sender.
  std::string Target; ///< Host to be pinged, in a ping request; pinged host,
                      ///< in a relayed ack; otherwise empty.
};

/** A change of a member's state, for logs and for components that depend on
 * the state. */
struct gsMemberChange
{
  std::string Host;
  gsMemberState OldState = gsMemberState::Dead;
  gsMemberState NewState = gsMemberState::Alive;
  std::string Cause;
};

struct gsMembershipOutput
{
  std::vector<gsProbeMessage> Messages;
  std::vector<gsMemberChange> Changes;
};

/** Initialises the table and starts probing. */
void gsMembershipStart(gsMembership& table, gsMember self, gsTime now);

/** Finds a member other than Self; null if it is unknown. */
gsMember const* gsFindMember(gsMembership const& table, std::string_view host);

/** Sends probes that are due, suspects members whose probes have expired,
 * marks members dead whose suspicion has timed out, and removes dead members
 * after DeadRetention. */
void gsMembershipTick(gsMembership& table, gsTime now, gsRandom& random,
                      gsMembershipOutput& out);

/** Applies an update received from another host. An update that states a wrong
 * state of this host is refuted. */
void gsMembershipApplyUpdate(gsMembership& table, gsMember const& update,
                             gsTime now, gsMembershipOutput& out);

/** Processes a ping and replies to it. */
void gsMembershipOnPing(gsMembership& table, std::string_view from,
                        std::uint64_t sequence, gsMembershipOutput& out);

/** Processes a ping request: pings a target that the requester could not
 * reach. */
void gsMembershipOnPingRequest(gsMembership& table, std::string_view from,
                               std::uint64_t sequence, std::string_view target,
                               gsTime now, gsMembershipOutput& out);

/** Processes an ack. For a relayed ack, target is the pinged host; otherwise
 * it is empty. */
void gsMembershipOnAck(gsMembership& table, std::string_view from,
                       std::uint64_t sequence, std::string_view target,
                       gsMembershipOutput& out);

/** Marks an alive member suspect, or a leaving one dead, for example because
 * its connection broke. */
void gsMembershipSuspect(gsMembership& table, std::string_view host,
                         std::string_view cause, gsTime now,
                         gsMembershipOutput& out);

/** Sets and announces the state of this host: whether it takes new work
 * (Alive) or not (Leaving). */
void gsMembershipSetState(gsMembership& table, gsMemberState state);

/** Updates to be piggybacked on the next message. Decrements their
 * RemainingTransmissions. */
std::vector<gsMember> gsMembershipNextUpdates(gsMembership& table);

/** Whether to request the whole table of a peer: its digest differs and
 * MinSyncInterval has passed since the last request. */
bool gsMembershipNeedsSync(gsMembership& table, std::uint64_t peerDigest,
                           gsTime now);

/** Names of the hosts of a hall that are alive and may therefore be given
 * work, including this host. */
std::vector<std::string_view> gsAliveHosts(gsMembership const& table,
                                           std::string_view hall);

/** Names of other halls with at least one member that is not dead. */
std::vector<std::string> gsOtherHalls(gsMembership const& table);

/** The host of another hall that this host pings, chosen by rendezvous
 * hashing among those that are not dead; empty if there is none. */
std::string gsCrossHallPeer(gsMembership const& table, std::string_view hall);
