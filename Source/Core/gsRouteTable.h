/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The operator's configuration of routes as one whole document: which service
 * a request goes to by its host and path, whose keys there are, and what
 * callers may send. A table is built once from what was read and is then only
 * looked up; a newer version replaces it whole.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gsScaling.h"
#include "gsTypes.h"

/** One of the services that share a route's requests. */
struct gsRouteShare
{
  std::string Service;
  double Weight = 1; ///< Relative to the route's other shares; above zero.
};

/** What happens to requests of one host and path prefix. */
struct gsRoute
{
  std::string Name;
  std::string Host;                 ///< Lower case, without a port.
  std::string Prefix;               ///< Begins and ends with a slash.
  std::vector<gsRouteShare> Shares; ///< At least one.
  bool Repeatable = false;          ///< May run more than once.
  bool Events = false;              ///< Answers are streams of events.
  bool Resumable = false; ///< A stream may be taken up at another upstream.
  bool Anonymous = false; ///< Needs no key.
  std::uint32_t Priority = 0; ///< Rank; 0 is the highest.
  std::uint32_t MaxAttempts =
    1; ///< Upstreams that one request may be sent to.
  gsTime Timeout = gsSeconds(30);
  gsTime Target{};    ///< To the whole answer, or a stream's first event.
  gsTime GapTarget{}; ///< Longest pause between events in target.
  /** Regions where its requests may be served; empty for all. */
  std::vector<std::string> Regions;
  /** Least of the pause targets of all routes that share a service with it;
   * zero when none has one. */
  gsTime TightestGapTarget{};
};

/** What is known of the engines of a service; absent for plain services. */
struct gsRouteEngine
{
  std::uint32_t Slots = 0;        ///< Requests that run at once.
  std::uint64_t MemoryTokens = 0; ///< Shared by running and cached prompts.
  bool HandsOver = false; ///< Engines take cached parts from each other.
};

struct gsRouteService
{
  std::string Name;
  std::uint32_t MaxConnections = 0; ///< Of one upstream, over all hosts.
  std::optional<gsRouteEngine> Engine;
  /** How its upstreams may be ordered; absent where they may not. */
  std::optional<gsScalingTerms> Scaling;
  /** Requests a second that a cold upstream of it bears of all hosts; 0 where
   * it bears any number. */
  double ColdPerSecond = 0;
};

struct gsRouteOrganisation
{
  std::string Name;
  std::vector<std::string> Keys;
  std::optional<std::uint32_t> Priority; ///< Goes before the route's.
  /** Regions where its requests may be served, beside the route's; empty for
   * all. */
  std::vector<std::string> Regions = {};
};

/** Bounds on what callers send. */
struct gsRouteLimits
{
  std::uint64_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = 4194304;
  gsTime HeaderTimeout = gsSeconds(3);
  gsTime IdleTimeout = gsSeconds(15);
};

/** One version of the configuration. */
struct gsRouteTable
{
  std::uint64_t Version = 0; ///< Rises with each change.
  std::vector<gsRoute> Routes;
  std::vector<gsRouteService> Services;
  std::vector<gsRouteOrganisation> Organisations;
  gsRouteLimits Limits;

  /** By host and prefix, a line break between them; see gsIndexRoutes. */
  std::unordered_map<std::string, std::size_t> RouteIndex;
  std::unordered_map<std::string, std::size_t> KeyIndex;
  std::unordered_map<std::string, std::size_t> ServiceIndex;
  /** Priorities of the routes that share a service, ascending; by service. */
  std::unordered_map<std::string, std::vector<std::uint32_t>> KindsOf;
  /** Pairs of a route's and an organisation's priority, ascending. */
  std::vector<std::pair<std::uint32_t, std::uint32_t>> Urgencies;
};

/**
 * Fills the indexes and what follows from several rows together. Call after
 * each change of the rows.
 */
void gsIndexRoutes(gsRouteTable& table);

/**
 * The route of the host whose prefix begins the path and is longest; nothing
 * when there is none. The host may carry a port and capitals, the path a
 * query.
 */
gsRoute const* gsFindRoute(gsRouteTable const& table, std::string_view host,
                           std::string_view path);

/** The organisation that holds a key; nothing when no one does. */
gsRouteOrganisation const* gsFindKey(gsRouteTable const& table,
                                     std::string_view key);

gsRouteService const* gsFindService(gsRouteTable const& table,
                                    std::string_view name);

/**
 * Urgency of a request towards an upstream, 0 for the most urgent: the rank
 * of its route's and then its organisation's priority among all pairs that
 * the table allows. A request is never put behind one of a lower route.
 */
std::uint32_t gsUrgencyOf(gsRouteTable const& table, gsRoute const& route,
                          gsRouteOrganisation const* organisation);

/** Priorities above a route's own among those that share a service with it. */
std::uint32_t gsMoreUrgentKinds(gsRouteTable const& table,
                                std::string const& service,
                                gsRoute const& route);

/** The service for one request; draw is uniform between 0 and 1. */
std::string const& gsPickShare(gsRoute const& route, double draw);
