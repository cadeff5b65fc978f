/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Membership in two levels, for systems of hundreds of hosts. In each hall a
 * few coordinators, the strongest hosts that are up, know all hosts of their
 * hall; all other hosts of the hall exchange heartbeats with these alone.
 * Coordinators of different halls tell each other how many hosts their halls
 * have and who coordinates them. So a host has a link to each coordinator of
 * its hall, and a coordinator one to each host of its hall and to each
 * coordinator elsewhere, however many hosts there are in all.
 *
 * A host that starts asks a seed, which answers with the first hosts of the
 * asker's own hall; hosts of one hall ask the same seed first, so that they
 * find each other at once. When its coordinators fall silent a host goes on
 * to the next in the order, which it was told beforehand; when all are gone,
 * to the hosts of other halls that it was told of, and to the seeds.
 *
 * The state is one plain struct. Time and random numbers are handed in;
 * messages to be sent come out.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/** What a host says of itself. */
struct gsHallHost
{
  std::string Host;
  std::string Hall;
  std::string Address; ///< IP:port for peers.
  /** Rises with each start of the process. */
  std::uint64_t Incarnation = 0;
  /** Share of a processor core that it may use, thousandths. */
  std::uint32_t Millicores = 1000;
  bool Leaving = false; ///< It stops as planned, and takes no duty.
};

/** A hall as its coordinators describe it to other halls. */
struct gsHallSummary
{
  std::string Hall;
  std::uint32_t Hosts = 0; ///< That are up; zero if the sender cannot tell.
  std::vector<gsHallHost> First; ///< In order of their duty.
};

/** What one host tells another of the whole system; bounded in size. */
struct gsHallDigest
{
  gsHallSummary Receivers;           ///< Of the receiver's hall.
  std::vector<gsHallSummary> Others; ///< Of all other halls.
};

/** A message that the caller shall send. */
struct gsHallMessage
{
  std::string To;      ///< Host; empty when only the address is known.
  std::string Address; ///< Used when there is no link to the host.
  /** The sender; absent where the receiver was told of it. */
  std::optional<gsHallHost> Self;
  bool Asks = false; ///< Whether a digest is wanted in return.
  /**
   * Names the digest that holds; it comes along only when it is new to the
   * receiver. Zero when the sender has none for it.
   */
  std::uint64_t DigestHash = 0;
  std::optional<gsHallDigest> Digest;
};

struct gsHallMembershipSettings
{
  /** Of each hall: one to relay load reports, two to watch the platform. */
  std::size_t Coordinators = 3;
  /** Hosts that are told beforehand, the coordinators among them. */
  std::size_t Candidates = 6;
  /** Heartbeats to the own hall's coordinators, and between halls. */
  gsTime Period = gsSeconds(1);
  /** Heartbeats of a coordinator to the hosts of its hall. */
  gsTime DigestPeriod = gsMilliseconds(500);
  /** A coordinator of the hall that is silent for longer is left: it says
   * something three times in that time. */
  gsTime CoordinatorSilence = gsMilliseconds(1600);
  /** A host that is silent for longer, three heartbeats, is not counted. */
  gsTime HostSilence = gsMilliseconds(3200);
  /** Another hall that nobody has heard of for so long is not counted. */
  gsTime HallMemory = gsSeconds(4);
  /** Hosts named by others only are believed to be up for so long. */
  gsTime ToldMemory = gsSeconds(3);
  /** A host that did not answer, or whose link broke, is left out so long,
   * unless it speaks itself: others may still name it for ToldMemory. */
  gsTime Avoid = gsSeconds(4);
  /** Answers to hosts that ask are gathered so long: at a start of all, the
   * first answer already names the hosts that have started with it. */
  gsTime Gather = gsMilliseconds(250);
  gsTime AskFirst = gsMilliseconds(700); ///< Between a host's asks at first,
  gsTime AskMost = gsSeconds(3);         ///< and at most.
  /** A coordinator asks now and then: parts that have formed without knowing
   * of each other meet at a seed. Soon after its start, when that is likely,
   * more often; the time between two grows twofold. */
  gsTime MeetFirst = gsMilliseconds(600);
  gsTime MeetMost = gsSeconds(8);
  /** Heartbeats are spread at random over so long at first, so that a new
   * coordinator is not dialled by all its hall at once. */
  gsTime Spread = gsMilliseconds(300);
};

/** Another host of the own hall, or a contact in another hall. */
struct gsHallPeer
{
  gsHallHost Host;
  gsTime Heard{}; ///< Last sign of life; zero for none.
  /** When it last took this host for a coordinator; it is told then. */
  gsTime BeatAt{};
  gsTime Told{};       ///< When another host last named it; zero for never.
  gsTime Named{};      ///< The same, by a coordinator of its own hall.
  gsTime Awaited{};    ///< Since when an answer is due; zero if none is.
  gsTime AvoidUntil{}; ///< It was silent, or its link broke.
  gsTime NextBeat{};   ///< When the next heartbeat to it is due.
  std::uint64_t SentHash = 0;  ///< Of the last digest sent to it; zero: none.
  bool Asked = false;          ///< It asked, and is still to be answered.
  std::uint64_t TakenHash = 0; ///< Of the last digest taken from it.
  gsHallDigest Taken;          ///< That digest; it holds while it is named.
  bool Missed = false;         ///< It named a digest that did not come along.
};

/** Another hall. */
struct gsOtherHall
{
  std::vector<gsHallPeer> Contacts; ///< In order of their duty; few.
  std::uint32_t Hosts = 0;
  gsTime Heard{}; ///< When one of its own coordinators last spoke; or, on a
                  ///< host that is none, when a coordinator last told of it.
};

/** A host that waits for an answer to its ask. */
struct gsHallAsker
{
  gsHallHost Host;
  gsTime Since{};
};

/** The hosts that this host knows, and the state of its heartbeats. */
struct gsHallMembership
{
  gsHallMembershipSettings Settings;
  gsHallHost Self;
  /** Addresses, sorted, the own one perhaps among them: hosts that were given
   * the same then choose alike. */
  std::vector<std::string> Seeds;
  std::map<std::string, gsHallPeer, std::less<>> Hall;    ///< By host.
  std::map<std::string, gsOtherHall, std::less<>> Others; ///< By hall.
  std::vector<gsHallAsker> Askers;
  gsTime Started{};
  gsTime NextAsk{};
  gsTime AskDelay{};
  std::size_t AsksMade = 0; ///< Chooses whom to ask next.
  gsTime NextMeet{};
  gsTime MeetDelay{};
  /** Whether any other host of the hall was ever heard. */
  bool Joined = false;
};

/** Begins; seeds are addresses that may be stale or the own one. */
void gsHallStart(gsHallMembership& table, gsHallHost self,
                 std::vector<std::string> const& seeds, gsTime now);

/** Messages that are due; to be run some ten times a second. */
std::vector<gsHallMessage> gsHallTick(gsHallMembership& table, gsTime now,
                                      gsRandom& random);

/**
 * Takes a message in; host is the sender's name. Answers, if any, come with
 * the next tick.
 */
void gsHallHear(gsHallMembership& table, std::string_view host,
                gsHallMessage const& message, gsTime now);

/** Notes any other sign of life of a host. */
void gsHallNoteSign(gsHallMembership& table, std::string_view host,
                    gsTime now);

/** Notes that the link to a host broke, or could not be opened. */
void gsHallLinkDown(gsHallMembership& table, std::string_view host,
                    gsTime now);

/** Adds addresses of hosts that may be up, such as a platform's list. */
void gsHallMeet(gsHallMembership& table,
                std::vector<std::string> const& addresses, gsTime now);

/** Notes that this process stood still: nobody else was silent. */
void gsHallNoteStall(gsHallMembership& table, gsTime now);

/** Says to the coordinators that this host stops as planned. */
void gsHallLeave(gsHallMembership& table, gsTime now);

/**
 * Hosts of the hall that are up, in the order in which duties fall to them;
 * the first are its coordinators. Complete on a coordinator, else as far as
 * was told. This host is among them unless it leaves.
 */
std::vector<std::string> gsHallOrder(gsHallMembership const& table,
                                     gsTime now);

/**
 * The order in which hosts of the hall watch the platform, as far as this one
 * knows it: the relay of load reports has work enough and comes behind the
 * other coordinators. This host is not among them where its own place is not
 * known: all but a few hosts of a hall know the first few alone, and each
 * would take itself for the next.
 */
std::vector<std::string> gsHallWatchOrder(gsHallMembership const& table,
                                          gsTime now);

/** The first in the order: it relays load reports. */
std::string gsHallRelay(gsHallMembership const& table, gsTime now);

/** Whether this host is one of its hall's coordinators, as far as it knows. */
bool gsHallCoordinates(gsHallMembership const& table, gsTime now);

/** Other hosts of the hall that are up, in no order; on a coordinator all. */
std::vector<std::string> gsHallPeers(gsHallMembership const& table,
                                     gsTime now);

/** The coordinators of other halls that this host exchanges heartbeats with;
 * none unless it coordinates its own. */
std::vector<std::string> gsOtherCoordinators(gsHallMembership const& table,
                                             gsTime now);

/** The relay of each other hall that is heard of. */
std::map<std::string, std::string> gsOtherRelays(gsHallMembership const& table,
                                                 gsTime now);

/** Hosts of this hall that are up, this one included. */
std::size_t gsHallSize(gsHallMembership const& table, gsTime now);

/** Hosts of the whole system that are up, as far as is known. */
std::size_t gsSystemSize(gsHallMembership const& table, gsTime now);

/**
 * Whether this host decides for all: the relay of the first hall, by a hash of
 * its name, of those that are heard of.
 */
bool gsHallDecides(gsHallMembership const& table, gsTime now);

/** The hall of a host that this one knows; empty for any other. */
std::string_view gsHallOf(gsHallMembership const& table,
                          std::string_view host);

/** The address of a host that this one knows; empty for any other. */
std::string_view gsHallAddress(gsHallMembership const& table,
                               std::string_view host);

/** Whether a host is left out because it was silent. */
bool gsHallAvoids(gsHallMembership const& table, std::string_view host,
                  gsTime now);

/** Whether a link to a host is still needed by heartbeats. */
bool gsHallKeepsLink(gsHallMembership const& table, std::string_view host,
                     gsTime now);
