/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Two-level membership for systems of hundreds of hosts. The coordinators of
 * a hall are the few hosts with the highest CPU share that are up. They have a
 * complete list of the hosts of their hall; all other hosts of the hall
 * exchange heartbeats only with them. Coordinators of different halls exchange
 * the number of hosts and the coordinators of their halls. A host therefore
 * has one link to each coordinator of its hall, and a coordinator has one to
 * each host of its hall and one to each coordinator of other halls, regardless
 * of the total number of hosts.
 *
 * A starting host sends a request to a seed, which replies with the first
 * hosts, in duty order, of the requester's hall. All hosts of a hall send
 * their first request to the same seed, so that they find each other at once.
 * When its coordinators time out, a host continues with the next hosts in duty
 * order, which it has received in digests; when all of these have timed out,
 * with the seeds and the known hosts of other halls.
 *
 * The state is one plain struct. Callers pass in the current time and a random
 * number generator, and send the returned messages.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/** Description of a host, as sent by the host itself. */
struct gsHallHost
{
  std::string Host;
  std::string Hall;
  std::string Address; ///< IP:port for connections of other hosts.
  /** IP:port at which it accepts forwarded requests; empty for none. */
  std::string ForwardAddress;
  /** Increases with each start of the process. */
  std::uint64_t Incarnation = 0;
  /** CPU share available to the host, in thousandths of a core. Hosts with
   * more come first in the duty order. */
  std::uint32_t Millicores = 1000;
  bool Leaving = false; ///< The host is shutting down and takes on no duty.
};

/** Summary of a hall, as exchanged between hosts. */
struct gsHallSummary
{
  std::string Hall;
  std::uint32_t HostCount = 0; ///< Number of hosts that are up; zero if the
                               ///< sender has no current count.
  std::vector<gsHallHost> FirstHosts; ///< The first hosts in duty order.
};

/** Summaries of all halls, sent from one host to another. The number of hosts
 * listed for each hall is bounded by the settings. */
struct gsHallDigest
{
  gsHallSummary ReceiverHall;            ///< The receiver's hall.
  std::vector<gsHallSummary> OtherHalls; ///< All other known halls.
};

/** A message from one host to another, which the caller has to send. */
struct gsHallMessage
{
  std::string To;      ///< Receiving host; empty if only its address is known.
  std::string Address; ///< Dialled if there is no link to the host.
  /** The sender. Absent in heartbeats of a coordinator to hosts of its hall,
   * unless it is leaving or replies to a request. */
  std::optional<gsHallHost> Sender;
  bool DigestRequested = false; ///< The sender requests a digest in reply.
  /** Hash of the sender's current digest for the receiver's hall; zero if the
   * message carries none. */
  std::uint64_t DigestHash = 0;
  /** The digest with that hash; absent if the receiver was last sent the same
   * one and has not requested it. */
  std::optional<gsHallDigest> Digest;
};

struct gsHallMembershipSettings
{
  /** Maximum number of coordinators per hall: one relays load reports, two
   * watch the platform. */
  std::size_t MaxCoordinators = 3;
  /** Maximum number of hosts, coordinators included, that a digest lists for
   * the receiver's hall, and of contacts kept per other hall. */
  std::size_t MaxCandidates = 6;
  /** Interval of heartbeats to the coordinators of the own hall, and between
   * coordinators of different halls. */
  gsTime HeartbeatInterval = gsSeconds(1);
  /** Interval of heartbeats of a coordinator to the hosts of its hall. */
  gsTime DigestInterval = gsMilliseconds(500);
  /** A coordinator that does not reply for longer is excluded for
   * ExclusionTime. The value allows for three heartbeats of a coordinator to
   * its hall, at DigestInterval. */
  gsTime CoordinatorTimeout = gsMilliseconds(1600);
  /** A host from which nothing is received for longer than three heartbeat
   * intervals is not counted. */
  gsTime HostTimeout = gsMilliseconds(3200);
  /** Another hall is not counted if no report of it was received for longer.
   */
  gsTime HallTimeout = gsSeconds(4);
  /** How long a host counts as up after another host has reported it. */
  gsTime IndirectReportLifetime = gsSeconds(3);
  /** How long a host is excluded that did not reply or whose link broke,
   * unless a message from it arrives. Longer than IndirectReportLifetime, for
   * which other hosts may still report it. */
  gsTime ExclusionTime = gsSeconds(4);
  /** Delay of replies to requests. When all hosts start at once, the first
   * reply then already lists the hosts that have started with the requester.
   */
  gsTime ReplyDelay = gsMilliseconds(250);
  /** Interval between the first requests of a host that receives no message
   * from any host of its hall; it doubles up to MaxRequestInterval. */
  gsTime InitialRequestInterval = gsMilliseconds(700);
  /** Maximum interval between such requests. */
  gsTime MaxRequestInterval = gsSeconds(3);
  /** Interval between the first discovery requests of a coordinator, by which
   * parts of the system that formed without links to each other are merged
   * through a seed. Separate parts are most likely soon after a start, so the
   * interval starts short and doubles up to MaxDiscoveryInterval. */
  gsTime InitialDiscoveryInterval = gsMilliseconds(600);
  /** Maximum interval between discovery requests of a coordinator. */
  gsTime MaxDiscoveryInterval = gsSeconds(8);
  /** Maximum random delay of the first heartbeat to a peer, so that the hosts
   * of a hall do not all dial a new coordinator at once. */
  gsTime HeartbeatJitter = gsMilliseconds(300);
};

/** Another host of the own hall, or a contact in another hall. */
struct gsHallPeer
{
  gsHallHost Host;
  gsTime ReceivedAt{}; ///< When a message from it last arrived; zero if none
                       ///< did since it was last excluded.
  /** When a host of the own hall last sent a message with its description,
   * as it does to hosts that it considers coordinators. It receives digests
   * for HostTimeout after that. */
  gsTime HeartbeatReceivedAt{};
  gsTime ReportedAt{}; ///< When another host last reported it; zero if
                       ///< none did since it was last excluded.
  gsTime ReportedByOwnHallAt{}; ///< When a report that originates in its own
                                ///< hall last arrived; zero if none did.
  gsTime ReplyAwaitedSince{}; ///< Since when a reply is due; zero if none is.
  gsTime ExcludedUntil{};     ///< Excluded until then, as it did not reply or
                              ///< its link broke.
  gsTime NextHeartbeat{};     ///< When the next heartbeat to it is due.
  std::uint64_t SentDigestHash = 0; ///< Hash of the last digest sent to it;
                                    ///< zero if none was.
  bool DigestRequested = false;     ///< It has requested a digest that was not
                                    ///< sent yet.
  std::uint64_t ReceivedDigestHash = 0; ///< Hash of ReceivedDigest.
  gsHallDigest ReceivedDigest; ///< The last digest received from it; valid
                               ///< while its messages repeat the hash.
  bool IsDigestMissing =
    false; ///< It sent the hash of a digest that this host
           ///< lacks; the next heartbeat requests it.
};

/** Another hall. */
struct gsOtherHall
{
  std::vector<gsHallPeer> Contacts; ///< Sorted by SortContacts; at most
                                    ///< MaxCandidates once sorted.
  std::uint32_t HostCount =
    0;                 ///< Number of hosts that are up, as last reported.
  gsTime ReportedAt{}; ///< When one of its coordinators last reported its host
                       ///< count; on hosts that are no coordinators, when a
                       ///< coordinator of the own hall last did.
};

/** A host of another hall whose request was not answered yet. */
struct gsHallRequester
{
  gsHallHost Host;
  gsTime RequestedAt{}; ///< When its request arrived.
};

/** The membership table of one host, and the state of its heartbeats. */
struct gsHallMembership
{
  gsHallMembershipSettings Settings;
  gsHallHost Self;
  /** Seed addresses, which may include the address of this host. Sorted, so
   * that hosts with the same seeds select the same one. */
  std::vector<std::string> Seeds;
  std::map<std::string, gsHallPeer, std::less<>> HallPeers; ///< By host name.
  std::map<std::string, gsOtherHall, std::less<>>
    OtherHalls;                            ///< By hall name.
  std::vector<gsHallRequester> Requesters; ///< Hosts that await a reply.
  gsTime StartedAt{};
  gsTime NextRequest{};         ///< When the next request to a seed is due.
  gsTime RequestInterval{};     ///< Current interval between requests.
  std::size_t RequestCount = 0; ///< Selects the address of the next request.
  gsTime NextDiscovery{};       ///< When the next discovery request is due.
  gsTime DiscoveryInterval{}; ///< Current interval between discovery requests.
  /** Whether any other host of the hall was ever heard from. */
  bool HasJoined = false;
};

/** Initialises the table. Seeds are addresses of hosts; they may be stale or
 * include this host's address. */
void gsHallStart(gsHallMembership& table, gsHallHost self,
                 std::vector<std::string> const& seeds, gsTime now);

/** Runs the timers. To be called about ten times a second. \return Messages
 * that are due. */
std::vector<gsHallMessage> gsHallTick(gsHallMembership& table, gsTime now,
                                      gsRandom& random);

/**
 * Processes a message received from a host. Replies are returned by a later
 * gsHallTick.
 */
void gsHallReceive(gsHallMembership& table, std::string_view host,
                   gsHallMessage const& message, gsTime now);

/** Records that any other data was received from a host. */
void gsHallRecordActivity(gsHallMembership& table, std::string_view host,
                          gsTime now);

/** Records that the link to a host broke or could not be opened, and excludes
 * the host for ExclusionTime. */
void gsHallLinkDown(gsHallMembership& table, std::string_view host,
                    gsTime now);

/** Adds seed addresses, such as those that a platform lists. */
void gsHallAddSeeds(gsHallMembership& table,
                    std::vector<std::string> const& addresses, gsTime now);

/** Records that this process was stalled. Restarts all timeouts, as the time
 * without messages was not caused by other hosts. */
void gsHallRecordStall(gsHallMembership& table, gsTime now);

/** Marks this host as leaving and makes its next heartbeats, which announce
 * this, due at once. */
void gsHallLeave(gsHallMembership& table, gsTime now);

/**
 * Hosts of the hall that are up, in duty order; the first MaxCoordinators of
 * them are its coordinators. Complete on a coordinator; on other hosts limited
 * to the hosts that they were sent. Includes this host unless it is leaving.
 */
std::vector<std::string> gsHallDutyOrder(gsHallMembership const& table,
                                         gsTime now);

/**
 * Hosts of the hall, as listed in the local table, in the order in which they
 * watch the platform. It is the duty order, except that the relay of load
 * reports comes after the other coordinators because of its load. This host
 * is left out if its position is not known: most hosts of a hall know only the
 * first few, and each would consider itself to be the next.
 */
std::vector<std::string> gsHallWatchOrder(gsHallMembership const& table,
                                          gsTime now);

/** The relay of load reports: the first host of the hall in duty order. */
std::string gsHallRelay(gsHallMembership const& table, gsTime now);

/** Whether this host is a coordinator of its hall, by its local table. */
bool gsHallIsCoordinator(gsHallMembership const& table, gsTime now);

/** Other hosts of the hall from which messages were received within
 * HostTimeout, in no particular order. Complete on a coordinator. */
std::vector<std::string> gsHallPeers(gsHallMembership const& table,
                                     gsTime now);

/** Coordinators of other halls that this host exchanges heartbeats with; empty
 * unless it is a coordinator itself. */
std::vector<std::string> gsOtherCoordinators(gsHallMembership const& table,
                                             gsTime now);

/** The relay of each other hall that was reported within HallTimeout, by hall.
 */
std::map<std::string, std::string> gsOtherRelays(gsHallMembership const& table,
                                                 gsTime now);

/** Other hosts of all halls that are up and not leaving, as far as this host
 * knows them. */
std::vector<gsHallHost> gsKnownHosts(gsHallMembership const& table,
                                     gsTime now);

/** Number of hosts of this hall that are up, including this host. */
std::size_t gsHallSize(gsHallMembership const& table, gsTime now);

/** Number of hosts of the whole system that are up, by the last reports of
 * halls within HallTimeout. */
std::size_t gsSystemSize(gsHallMembership const& table, gsTime now);

/**
 * Whether this host makes the decisions for the whole system. The relay of one
 * hall does, which is chosen by rendezvous hashing among the own hall and all
 * halls reported within HallTimeout.
 */
bool gsIsSystemLeader(gsHallMembership const& table, gsTime now);

/** The hall of a host; empty if the host is unknown. */
std::string_view gsHallOf(gsHallMembership const& table,
                          std::string_view host);

/** The address of another host; empty if the host is unknown. */
std::string_view gsHallAddress(gsHallMembership const& table,
                               std::string_view host);

/** Whether a host is excluded because it did not reply or its link broke. */
bool gsHallIsExcluded(gsHallMembership const& table, std::string_view host,
                      gsTime now);

/** Whether the link to a host is still needed for heartbeats. */
bool gsHallNeedsLink(gsHallMembership const& table, std::string_view host,
                     gsTime now);
