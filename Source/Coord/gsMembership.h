/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Membership by probing, in the manner of SWIM. Each period a host pings one
 * other host of its hall; now and then one host of each other hall. News of
 * members is carried along on those messages. A member that does not answer
 * is suspected first; it can refute that by raising its refutation number.
 * The cost a host is constant, however many hosts there are.
 *
 * The state is one plain struct. Time, random numbers and messages are handed
 * in; messages to be sent come out.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/** States of a member; of two reports the one further down wins. */
enum class gsMemberState : std::uint32_t
{
  Alive = 0,
  Suspect = 1,
  Leaving = 2, ///< Said by the member itself: no new work, yet or any more.
  Dead = 3
};

char const* gsMemberStateWord(gsMemberState state);

/** A host as the others know it. */
struct gsMember
{
  std::string Host;
  std::string Hall;
  std::string Address; ///< IP:port for peers.
  /** Rises with each start of the process. */
  std::uint64_t Incarnation = 0;
  /** Raised by the member to refute a suspicion. */
  std::uint64_t Refutation = 0;
  gsMemberState State = gsMemberState::Alive;
  gsTime Since{}; ///< Local time of the last change of State.
  /** How often this news is still to be carried along. */
  std::uint32_t Carry = 0;
};

struct gsMembershipSettings
{
  gsTime Period = gsMilliseconds(500);
  gsTime PingTimeout = gsMilliseconds(200);
  gsTime SuspectTime = gsMilliseconds(1000);
  gsTime CrossPeriod = gsSeconds(2);
  gsTime CrossSuspectTime = gsSeconds(4);
  gsTime RevivePeriod = gsSeconds(2);
  gsTime SyncPeriod = gsSeconds(2);
  gsTime ForgetDead = gsSeconds(3600);
  std::uint32_t Indirect = 2;   ///< Hosts asked to ping in our stead.
  std::uint32_t MaxCarried = 8; ///< News a message.
};

/** An unanswered ping. */
struct gsProbe
{
  std::uint64_t Sequence = 0;
  std::string Host;
  gsTime Sent{};
  bool Indirect = false; ///< Whether others were asked already.
  bool Cross = false;    ///< Whether the host is of another hall.
  /** Set when it was sent for another host, which waits for the word. */
  std::string OnBehalfOf;
  std::uint64_t TheirSequence = 0;
};

/** The member table and the state of probing. */
struct gsMembership
{
  gsMembershipSettings Settings;
  gsMember Self;
  std::vector<gsMember> Members; ///< All but Self, ordered by host.
  std::vector<gsProbe> Probes;
  std::vector<std::string> PingOrder; ///< Shuffled; used from the back.
  std::uint64_t NextSequence = 1;
  gsTime NextPing{};
  gsTime NextCross{};
  gsTime NextRevive{};
  gsTime NextSync{};
  std::uint64_t Digest = 0; ///< Over all members and Self.
};

/** A message that the caller shall send. */
struct gsProbeMessage
{
  enum class Kind
  {
    Ping,
    Ack,
    PingRequest
  };
  Kind What = Kind::Ping;
  std::string To; ///< Host.
  std::uint64_t Sequence = 0;
  std::string Target; ///< Of a ping request, or of a relayed ack.
};

/** A change of a member's state, for the log and for those who depend on it.
 */
struct gsMemberChange
{
  std::string Host;
  gsMemberState Before = gsMemberState::Dead;
  gsMemberState After = gsMemberState::Alive;
  std::string Cause;
};

struct gsMembershipOutput
{
  std::vector<gsProbeMessage> Messages;
  std::vector<gsMemberChange> Changes;
};

/** Begins probing. */
void gsMembershipStart(gsMembership& table, gsMember self, gsTime now);

/** Finds a member other than Self. */
gsMember const* gsFindMember(gsMembership const& table, std::string_view host);

/** Sends probes that are due and moves states whose time has run out. */
void gsMembershipTick(gsMembership& table, gsTime now, gsRandom& random,
                      gsMembershipOutput& out);

/** Takes news in; a claim about Self is refuted when it is false. */
void gsMembershipLearn(gsMembership& table, gsMember const& news, gsTime now,
                       gsMembershipOutput& out);

/** Answers a ping. */
void gsMembershipOnPing(gsMembership& table, std::string_view from,
                        std::uint64_t sequence, gsMembershipOutput& out);

/** Pings a target because another host could not reach it. */
void gsMembershipOnPingRequest(gsMembership& table, std::string_view from,
                               std::uint64_t sequence, std::string_view target,
                               gsTime now, gsMembershipOutput& out);

/** Takes an answer in; target is set when it was relayed. */
void gsMembershipOnAck(gsMembership& table, std::string_view from,
                       std::uint64_t sequence, std::string_view target,
                       gsMembershipOutput& out);

/** Suspects a member at once, as when its connection broke. */
void gsMembershipSuspect(gsMembership& table, std::string_view host,
                         std::string_view cause, gsTime now,
                         gsMembershipOutput& out);

/** Says that this host takes new work (Alive) or none (Leaving). */
void gsMembershipSetState(gsMembership& table, gsMemberState state);

/** News to carry along on the next message; counts them as carried. */
std::vector<gsMember> gsMembershipNews(gsMembership& table);

/** Whether to ask a peer, whose digest differs, for its whole table. */
bool gsMembershipWantsSync(gsMembership& table, std::uint64_t peerDigest,
                           gsTime now);

/** Names of hosts of a hall that may be given work: alive, Self included. */
std::vector<std::string_view> gsAliveHosts(gsMembership const& table,
                                           std::string_view hall);

/** Names of other halls with at least one member that is not dead. */
std::vector<std::string> gsOtherHalls(gsMembership const& table);

/** The host of another hall that this host talks to. */
std::string gsPartnerOf(gsMembership const& table, std::string_view hall);
