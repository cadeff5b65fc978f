/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The choice of an upstream for one request: the one that costs least, in
 * tokens of prompt that would be read before the request's first token.
 * Nothing here reads a clock or does I/O.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gsFleet.h"

/** A request as far as the choice is concerned. */
struct gsPlacementAsk
{
  std::string_view Service;
  std::vector<gsPromptPart> const* Parts = nullptr;
  std::uint32_t PromptTokens = 0;
  std::uint32_t AnswerTokens = 0;
  gsFleetGroup Group = gsFleetGroup::Any; ///< See gsInterference.h.
  /** Tokens that an engine reads within the target; 0 when not known. */
  double TargetTokens = 0;
  /** Milliseconds that an engine takes to read a token. */
  double TokenMillis = 0;
  /** Engines take cached parts of prompts from each other. */
  bool MayMove = false;
  /** Memory of one upstream, tokens; 0 when it is not known. */
  std::uint64_t UpstreamMemory = 0;
  /** Attempts that this host may have open at one upstream; 0 for any. */
  std::uint32_t MostOwn = 0;
  /** Hosts that choose among the same upstreams at the same time, each by a
   * view of the others' work that is some tenths of a second old. */
  std::size_t Hosts = 1;
  /** The most hosts that there were of late, in all parts of a system that may
   * be cut: what all share is divided by it. */
  std::size_t HostsOfLate = 1;
  /** Requests a second that a cold upstream bears of all hosts; 0 for any. */
  double ColdPerSecond = 0;
  /** Regions outside of which the request may not be served, by its route and
   * by its organisation; both bind. Null or empty for any. */
  std::vector<std::string> const* RouteRegions = nullptr;
  std::vector<std::string> const* OrganisationRegions = nullptr;
  /** Only upstreams of this host's hall: another hall has been tried in vain,
   * and in a cut all others are as far. */
  bool OwnHallOnly = false;
  /** Kinds of requests of the service that are more urgent than this one; such
   * a request leaves places at the engines to these. */
  std::uint32_t MoreUrgentKinds = 0;
  /** Upstreams that this request was sent to already. */
  std::vector<gsIncarnation> const* Tried = nullptr;
};

/** Why a request can or cannot be placed. */
enum class gsPlacementCause
{
  Cached,         ///< The upstream has read part of the prompt before.
  Preferred,      ///< All hosts prefer it for the request's subject.
  LeastLoaded,    ///< The cheapest of all.
  NoUpstream,     ///< The service has none that may get work.
  NoConnection,   ///< This host's share of connections is used up at all.
  RateLimited,    ///< Remaining upstreams are rate-limited and have no token.
  Full,           ///< The places left are for more urgent requests.
  Cold,           ///< Those left are cold, and have got what they bear.
  Resting,        ///< Those left want nothing from this host for a while.
  OutsideRegions, ///< There are some, and none where it may be served.
  Unreachable     ///< It has some, and none can be reached for now.
};

char const* gsPlacementWord(gsPlacementCause cause);

struct gsPlacement
{
  gsFleetRow* Row = nullptr; ///< Null when there is none.
  gsPlacementCause Cause = gsPlacementCause::NoUpstream;
  /** It probably holds the shared parts that Row lacks; null for none. */
  gsFleetRow const* Holder = nullptr;
  std::uint32_t ReadTokens = 0; ///< Of the prompt, neither there nor handed
                                ///< over.
  double Cost = 0;              ///< Tokens.
  std::uint32_t Candidates = 0;
  /** If all remaining upstreams rest or are rate-limited: time until the first
   * of those considered accepts work again. */
  gsTime RestLeft{};
  /** Upstream with the lowest cost that was skipped because no token of its
   * rate limit is available; null if there is none. */
  gsFleetRow const* RateLimitedRow = nullptr;
  gsFleetGroup Group = gsFleetGroup::Any; ///< That the request belongs to.
};

/**
 * How many upstreams one request looks at when free slots are scarce. All
 * hosts see the same upstream as the emptiest then, by views that are some
 * tenths of a second old. If each sends a request to the emptiest that it
 * looks at in that time, half of its slots shall hold them.
 */
std::size_t gsLooks(std::size_t upstreams, std::uint32_t slots,
                    std::size_t hosts);

/**
 * Requests that an upstream may have open before one of this urgency is sent
 * there; 0 for any number. The most urgent kind may fill the upstream's queue;
 * the others leave places in it, since what is turned away has often used up
 * its only attempt.
 */
std::uint32_t gsMostOpen(std::uint32_t slots, std::uint32_t moreUrgentKinds);

/** Chooses an upstream; the random source breaks ties between hosts. Time does
 * not grow with the number of upstreams beyond some hundreds. */
gsPlacement gsPlace(gsFleet& fleet, gsPlacementAsk const& asked, gsTime now,
                    gsRandom& random);

/**
 * This host's share of the connections that an upstream accepts of all hosts
 * together; 0 when the upstream sets no limit.
 */
std::uint32_t gsConnectionShare(std::uint32_t accepted, std::size_t hosts);

/** The part by which requests are kept together: the last shared one. */
std::uint64_t gsSubjectOf(gsPlacementAsk const& ask);

/** Tokens of the parts that the prompt shares with others. */
std::uint32_t gsSharedTokens(gsPlacementAsk const& ask);

/** Prompt tokens that the upstream would have to read. */
std::uint32_t gsTokensToRead(gsFleet const& fleet, gsFleetRow const& row,
                             gsPlacementAsk const& ask, gsTime now);
