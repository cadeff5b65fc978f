/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The operator's route configuration: routes from host and path to services,
 * the API keys of organisations, and limits on the requests of callers. A
 * table is built once from the configuration that was read and is not modified
 * afterwards; a newer version replaces the whole table.
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

/** A service that receives a share of a route's requests. */
struct gsRouteShare
{
  std::string Service;
  /** Relative to the weights of the other shares; greater than zero. */
  double Weight = 1;
};

/** Handling of requests for one host and path prefix. */
struct gsRoute
{
  std::string Name;
  std::string Host;                 ///< Lower case, without a port.
  std::string Prefix;               ///< Begins and ends with a slash.
  std::vector<gsRouteShare> Shares; ///< At least one.
  /** An attempt may be retried after it was sent. */
  bool Repeatable = false;
  bool StreamsEvents = false; ///< Responses are event streams.
  /** An interrupted stream may continue at another upstream. */
  bool Resumable = false;
  bool AllowsAnonymous = false; ///< Requires no API key.
  std::uint32_t Priority = 0;   ///< Rank; 0 is the highest.
  /** Maximum number of upstreams that one request is sent to. */
  std::uint32_t MaxAttempts = 1;
  gsTime Timeout = gsSeconds(30);
  /** Latency target, until the end of the response or the first event of a
   * stream. */
  gsTime LatencyTarget{};
  /** Target for the interval between events; zero if there is none. */
  gsTime EventIntervalTarget{};
  /** Regions in which its requests may be served; empty for all. */
  std::vector<std::string> Regions;
  /** Minimum of the EventIntervalTarget of all event stream routes that have a
   * service in common with this route; zero if none has a target. Set by
   * gsIndexRoutes. */
  gsTime MinEventIntervalTarget{};
  /** Hash of the text that it was parsed from; zero if it is not known. */
  std::uint64_t SourceHash = 0;
};

/** Properties of the engines of a service; absent for plain services. */
struct gsRouteEngine
{
  std::uint32_t Slots = 0; ///< Concurrent requests per engine.
  /** Memory capacity, shared by the running requests and the prompt cache. */
  std::uint64_t MemoryTokens = 0;
  /** Engines can fetch cached prompt parts from each other. */
  bool CanTransferParts = false;
};

/** A service and the capacity of its upstreams. */
struct gsRouteService
{
  std::string Name;
  /** Maximum connections to one upstream, all hosts combined. */
  std::uint32_t MaxConnections = 0;
  std::optional<gsRouteEngine> Engine;
  /** Terms for ordering more upstreams from the platform; absent if this is
   * not allowed. */
  std::optional<gsScalingPolicy> Scaling;
  /** Maximum requests per second to a cold upstream, all hosts combined; 0 for
   * no maximum. */
  double MaxColdRate = 0;
};

/** A customer, identified by its API keys. */
struct gsRouteOrganisation
{
  std::string Name;
  std::vector<std::string> Keys;
  /** Ranks the organisation's requests among those of routes of the same
   * priority; 0 is the highest. Empty for the lowest. */
  std::optional<std::uint32_t> Priority;
  /** Regions in which its requests may be served, in addition to the
   * restriction by the route; empty for all. */
  std::vector<std::string> Regions = {};
};

/** Limits on the requests of callers. */
struct gsRouteLimits
{
  std::uint64_t MaxHeaderBytes = 16384; ///< Parsed, but not enforced.
  std::uint64_t MaxBodyBytes = 4194304;
  gsTime HeaderTimeout = gsSeconds(3); ///< Parsed, but not enforced.
  /** Maximum time without data from the caller. */
  gsTime IdleTimeout = gsSeconds(15);
};

/** One of the priorities of the routes of a service. */
struct gsServicePriority
{
  std::uint32_t Priority = 0;
  /** Shortest target for the first event of the routes with this priority or a
   * higher one; zero if none has a target. */
  gsTime MinTarget{};
};

/** One version of the configuration. */
struct gsRouteTable
{
  std::uint64_t Version = 0; ///< Increases with each change.
  std::vector<gsRoute> Routes;
  std::vector<gsRouteService> Services;
  std::vector<gsRouteOrganisation> Organisations;
  gsRouteLimits Limits;

  /** Index in Routes, by host and prefix separated by a line break. All
   * indexes are set by gsIndexRoutes. */
  std::unordered_map<std::string, std::size_t> RouteIndex;
  /** Index in Organisations, by API key. */
  std::unordered_map<std::string, std::size_t> KeyIndex;
  /** Index in Services, by name. */
  std::unordered_map<std::string, std::size_t> ServiceIndex;
  /** Distinct priorities of the routes of a service, ascending; by service. */
  std::unordered_map<std::string, std::vector<gsServicePriority>>
    PrioritiesByService;
  /** All pairs of a route's and an organisation's priority, ascending. The
   * position of a pair is the urgency of its requests. */
  std::vector<std::pair<std::uint32_t, std::uint32_t>> PriorityPairs;
};

/** Computes the indexes and all members that are derived from several rows.
 * Must be called after each change of the rows. */
void gsIndexRoutes(gsRouteTable& table);

/**
 * Longest time from when an upstream begins a stream until its caller no
 * longer resumes it: its route's timeout ends the attempt, and the caller
 * comes back for no longer than that again.
 */
gsTime gsLongestStreamTime(gsRouteTable const& table);

/**
 * Finds the route of the host with the longest prefix of the path.
 * \param host May contain a port and upper-case letters.
 * \param path May contain a query.
 * \return Null if there is none.
 */
gsRoute const* gsFindRoute(gsRouteTable const& table, std::string_view host,
                           std::string_view path);

/** Finds the organisation that owns an API key. \return Null if no
 * organisation does. */
gsRouteOrganisation const* gsFindOrganisationByKey(gsRouteTable const& table,
                                                   std::string_view key);

/** Finds a service by name. \return Null if there is none. */
gsRouteService const* gsFindService(gsRouteTable const& table,
                                    std::string_view name);

/**
 * Urgency that is sent to upstreams with a request; 0 is the most urgent. It
 * is the rank of the pair of the route's and the organisation's priority among
 * all pairs of the table, so that a request is never less urgent than one of a
 * route with a lower priority.
 * \param organisation Null for an anonymous request.
 */
std::uint32_t gsRequestUrgency(gsRouteTable const& table, gsRoute const& route,
                               gsRouteOrganisation const* organisation);

/** Number of distinct higher priorities among the routes of a service.
 * \return Zero if the service has no route. */
std::uint32_t gsCountHigherPriorities(gsRouteTable const& table,
                                      std::string const& service,
                                      gsRoute const& route);

/** Shortest target for the first event of the routes of a service that are
 * more urgent than a route. \return Zero if there is none. */
gsTime gsMoreUrgentTarget(gsRouteTable const& table,
                          std::string const& service, gsRoute const& route);

/** Selects the service for a request at random, by weight. \param draw A
 * uniformly distributed number from 0 to 1. */
std::string const& gsSelectService(gsRoute const& route, double draw);
