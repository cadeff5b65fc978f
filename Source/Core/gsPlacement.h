/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The choice of an upstream for one request: the eligible one with the lowest
 * cost, in tokens of prompt that an engine would read before the request's
 * first token. The cost also covers load, failures, the engine's group and
 * memory, and the shared parts of the prompt that the upstream has cached; see
 * gsPlacementCost.h.
 *
 * Each host chooses on its own, by a view of the other hosts' work that is
 * some tenths of a second old. To keep hosts from all choosing the same
 * upstream, each request evaluates only a sample of the upstreams when free
 * slots are scarce, and ties are broken at random. Callers pass in the current
 * time. Nothing here does I/O.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gsFleet.h"

/** The properties of a request that determine its placement. */
struct gsPlacementRequest
{
  std::string_view Service;
  /** Parts of the prompt in their order. All but the last are shared with
   * other requests. Null if unknown. */
  std::vector<gsPromptPart> const* Parts = nullptr;
  std::uint32_t PromptTokens = 0;
  std::uint32_t AnswerTokens = 0;
  gsFleetGroup Group = gsFleetGroup::Any; ///< See gsInterference.h.
  /** Prompt tokens that an engine reads within the target time to the first
   * token; 0 if unknown. */
  double TargetTokens = 0;
  /** Maximum interval between events of its stream; 0 for no limit. */
  double MaxIntervalMillis = 0;
  /** Milliseconds that an engine takes to read a token; 0 if unknown. */
  double MillisPerToken = 0;
  /** Engines can transfer cached prompt parts to each other. */
  bool CanTransferParts = false;
  /** Memory of one upstream, in tokens; 0 if unknown. */
  std::uint64_t UpstreamMemoryTokens = 0;
  /** Maximum number of open attempts of this host at one upstream; 0 for no
   * limit. */
  std::uint32_t MaxOwnAttempts = 0;
  /** Number of hosts that place requests on the same upstreams concurrently.
   */
  std::size_t Hosts = 1;
  /** Recent peak number of hosts. Quotas that all hosts share are divided by
   * it, so that they hold even if a network partition has separated the hosts.
   */
  std::size_t RecentPeakHosts = 1;
  /** Requests per second that a cold upstream accepts from all hosts combined;
   * 0 for no limit. */
  double ColdPerSecond = 0;
  /** Regions in which the route allows the request to be served. Null or empty
   * for all. */
  std::vector<std::string> const* RouteRegions = nullptr;
  /** Regions in which the organisation allows its requests to be served, in
   * addition to the restriction by RouteRegions. Null or empty for all. */
  std::vector<std::string> const* OrganisationRegions = nullptr;
  /** Place the request only in this host's hall: an attempt in another hall
   * has failed, and in a network partition all other halls are likely to be
   * unreachable too. */
  bool OwnHallOnly = false;
  /** Number of request kinds of the service that are more urgent than this
   * one. Less urgent requests leave queue places at the engines to them. */
  std::uint32_t MoreUrgentKinds = 0;
  /** Shortest target for the first event of these kinds, milliseconds; 0 for
   * none. */
  double MoreUrgentTargetMillis = 0;
  /** The only software version that the request may be sent to, as its stream
   * began there; zero for none at all. Empty for any. */
  std::optional<std::uint32_t> RequiredVersion;
  /** Upstreams to which this request has been sent already. Null for none. */
  std::vector<gsIncarnation> const* TriedUpstreams = nullptr;
  std::uint32_t Priority = 0; ///< Of the route; 0 is the most urgent.
};

/** Why a request was placed on an upstream or could not be placed. */
enum class gsPlacementCause
{
  Cached,       ///< The upstream has part of the prompt cached.
  Preferred,    ///< The upstream is the home of the request's subject.
  LeastLoaded,  ///< The upstream has the lowest cost.
  NoUpstream,   ///< The service has no upstream that accepts work.
  NoConnection, ///< This host's connection share of each upstream is in use.
  RateLimited,  ///< Remaining upstreams are rate-limited and have no token.
  Full, ///< Remaining queue places are reserved for more urgent requests.
  Cold, ///< Remaining upstreams are cold, and this host's quota is used up.
  BackingOff,     ///< Remaining upstreams asked this host to back off.
  OutsideRegions, ///< No upstream is in a region where it may be served.
  OtherVersion,   ///< Remaining upstreams have another software version.
  Unreachable     ///< Remaining upstreams cannot be reached at present.
};

/** Name of the cause in logs and in answers to callers. */
char const* gsPlacementCauseName(gsPlacementCause cause);

/** Why the prefix directory chooses an engine; see gsSubjectPlacement.h. */
enum class gsSubjectCause
{
  None,     ///< It chooses none: no engine is eligible.
  Serving,  ///< The engine serves the subject already.
  First,    ///< No engine serves the subject: the first one in its order.
  Demand,   ///< Added, since the subject's demand needs more engines.
  Pressure, ///< Added, since the others would miss the target.
  Moved     ///< No engine that serves the subject is eligible.
};

/** The choice of an engine by the prefix directory. */
struct gsSubjectDecision
{
  bool IsTracked = false; ///< The directory tracks the request's subject.
  /** The chosen engine; null if all that serve the subject are full, or none
   * is eligible. */
  gsFleetRow* Row = nullptr;
  gsSubjectCause Cause = gsSubjectCause::None;
  /** Number of eligible engines that serve the subject. */
  std::uint32_t EngineCount = 0;
  std::uint32_t NeededCount = 0; ///< Number of engines by the demand.
  double Demand = 0; ///< Share of an engine that the subject needs.
  /** Predicted first event as a share of the target: the shortest of the
   * engines that serve the subject, and that of Row. */
  double ServingShare = 0;
  double RowShare = 0;
};

/** The cost of an upstream for a request by its causes, in tokens. */
struct gsCostParts
{
  double Wait = 0;       ///< Prompt tokens to be processed before its first.
  double Running = 0;    ///< Open requests.
  double Queued = 0;     ///< Open requests above the slots.
  double Hall = 0;       ///< The upstream is in another hall.
  double Failures = 0;   ///< Failures above the mean.
  double Reread = 0;     ///< Shared parts that are read again.
  double Memory = 0;     ///< Memory that would be exhausted.
  double TargetMiss = 0; ///< The first event would miss the target.
  double Spread = 0;     ///< By the order of upstreams for the subject.
  double OtherGroup = 0; ///< The engine belongs to the other group.
  double Random = 0;     ///< Draws that keep hosts from choosing alike.
};

double gsTotalOf(gsCostParts const& parts);

/** An upstream that was evaluated, with its cost. */
struct gsEvaluatedUpstream
{
  gsFleetRow const* Row = nullptr;
  gsCostParts Cost;
  /** Predicted time to the first event as a share of the target; zero if it
   * cannot be predicted. */
  double TargetShare = 0;
};

/** The result of the choice. */
struct gsPlacement
{
  gsFleetRow* Row = nullptr; ///< The chosen upstream; null if there is none.
  gsPlacementCause Cause = gsPlacementCause::NoUpstream;
  /** Upstream that probably has the shared parts that Row lacks, and can
   * transfer them to it; null if there is none. */
  gsFleetRow const* TransferSource = nullptr;
  /** Prompt tokens that the upstream has neither cached nor can obtain by a
   * transfer. */
  std::uint32_t TokensToRead = 0;
  double Cost = 0;              ///< Of Row, in tokens.
  gsEvaluatedUpstream Chosen;   ///< Row, as it was evaluated.
  gsEvaluatedUpstream RunnerUp; ///< The one with the next lowest cost.
  /** Number of evaluated upstreams that could have been chosen. */
  std::uint32_t CandidateCount = 0;
  /** Time until the first of the evaluated upstreams accepts work again; valid
   * only if Cause is BackingOff or RateLimited. */
  gsTime RetryAfter{};
  /** Upstream with the lowest cost that was skipped because no token of its
   * rate limit or of its shared slots is available; null if there is none. */
  gsFleetRow const* RateLimitedRow = nullptr;
  /** Group of the request; Any if the engines are not divided. */
  gsFleetGroup Group = gsFleetGroup::Any;
  /** Choice of the prefix directory; carried out only if its mode is On. */
  gsSubjectDecision Subject;
};

/**
 * Number of upstreams that one request samples when free slots are scarce. All
 * hosts then see the same upstream as the least loaded, by views that are some
 * tenths of a second old. If each host sends one request to the least loaded
 * upstream of its sample within that time, an upstream receives no more
 * requests than half of its slots.
 */
std::size_t gsSampleSize(std::size_t upstreams, std::uint32_t slots,
                         std::size_t hosts);

/**
 * Number of open requests at an upstream at which it receives no more requests
 * of this urgency; 0 for no limit. Only the most urgent kind may fill the
 * upstream's queue. The others leave places in it for more urgent requests,
 * because a request that an upstream rejects has often used its only attempt.
 */
std::uint32_t gsMaxOpenRequests(std::uint32_t slots,
                                std::uint32_t moreUrgentKinds);

/** Chooses an upstream. The random source breaks ties differently on each
 * host. The running time does not depend on the number of upstreams above
 * gsMaxFullyEvaluated. */
gsPlacement gsPlaceRequest(gsFleet& fleet,
                           gsPlacementRequest const& originalRequest,
                           gsTime now, gsRandom& random);

/**
 * This host's share of the connections that an upstream accepts from all hosts
 * combined; 0 if the upstream sets no limit.
 */
std::uint32_t gsConnectionShare(std::uint32_t accepted, std::size_t hosts);

/** Name of the last shared prompt part, by which related requests are sent to
 * the same upstream; 0 if the prompt has no shared part. */
std::uint64_t gsSubjectOf(gsPlacementRequest const& request);

/** Number of tokens of the prompt parts shared with other requests. */
std::uint32_t gsSharedTokens(gsPlacementRequest const& request);

/** Number of prompt tokens that the upstream has not cached, as far as this
 * host's own requests show. */
std::uint32_t gsTokensToRead(gsFleet const& fleet, gsFleetRow const& row,
                             gsPlacementRequest const& request, gsTime now);
