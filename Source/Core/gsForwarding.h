/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Decides when a host forwards requests to another host, and to which one. A
 * host that is cut off from all upstreams, while other hosts are not, serves
 * its callers through those. A request is forwarded once: the host that
 * receives it places it itself, or answers that it has not run.
 *
 * The state is held in plain structs. Callers pass in the current time.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

struct gsUpstreamPathSettings
{
  /** Upstreams of all halls that have to fail for the path to count as cut, or
   * all of them if there are fewer. */
  std::size_t MinFailures = 3;
  /** The path counts as usable again if no connection failed for longer. */
  gsTime FailureLifetime = gsSeconds(4);
  /** Interval at which one request tests a path that is cut. */
  gsTime ProbeInterval = gsSeconds(1);
};

/** Whether this host reaches any upstream. */
struct gsUpstreamPath
{
  gsUpstreamPathSettings Settings;
  /** Upstreams (gsFleetRow::Hash) to which connections failed since a byte was
   * last received from any upstream. */
  std::set<std::uint32_t> FailedUpstreams;
  gsTime LastFailureAt{};
  gsTime ProbedAt{}; ///< When a request last tested a cut path.
};

/** Records a failed connection to an upstream. */
void gsPathRecordFailure(gsUpstreamPath& path, std::uint32_t upstream,
                         gsTime now);
/** Records a byte from any upstream. */
void gsPathRecordReceived(gsUpstreamPath& path);
/** Whether this host reaches none of its upstreams. */
bool gsPathIsCut(gsUpstreamPath const& path, std::size_t upstreams,
                 gsTime now);
/** Whether a request may test a path that is cut now; if so, records that. */
bool gsPathTakeProbe(gsUpstreamPath& path, gsTime now);

/** Another host that accepts forwarded requests. */
struct gsForwardPeer
{
  std::string Host;
  std::string Hall;
  std::string Address; ///< IP:port.
  double Weight = 1;   ///< Its share of forwarded requests; greater than 0.
};

struct gsForwardSettings
{
  /** Hosts that one request is forwarded to, one after another. */
  std::uint32_t MaxForwards = 5;
  /** Failed connections of a request after which it is forwarded, although
   * further upstreams could be tried. */
  std::uint32_t MaxConnectFailures = 2;
  /** Time for which a host that has not run a forwarded request is avoided.
   * It doubles with each further one, as such a host is probably cut off, too.
   */
  gsTime InitialAvoidTime = gsMilliseconds(500);
  gsTime MaxAvoidTime = gsSeconds(4);
  /** Forwarded requests that a host accepts at a time, in addition to as many
   * as it holds of its own callers. */
  std::size_t MinAccepted = 16;
};

/** A host that has not run a forwarded request. */
struct gsAvoidedHost
{
  gsTime Until{};    ///< No request is forwarded to it until then.
  gsTime Duration{}; ///< Of the last avoidance.
};
/** By name; hosts that have run the last request have no entry. */
using gsAvoidedHosts = std::map<std::string, gsAvoidedHost, std::less<>>;

/** Records whether a host that was sent a forwarded request could run it. */
void gsRecordForward(gsAvoidedHosts& avoided,
                     gsForwardSettings const& settings, std::string_view host,
                     bool couldRun, gsTime now);

/**
 * Chooses the host that a request is forwarded to. Requests are spread over
 * the hosts in proportion to their weights.
 *
 * \param tried Hosts that the request was forwarded to before.
 * \param key Differs between requests.
 * \return Empty if there is none.
 */
std::optional<gsForwardPeer> gsChooseForwardPeer(
  std::vector<gsForwardPeer> const& peers, gsAvoidedHosts const& avoided,
  std::vector<std::string> const& tried, std::uint64_t key, gsTime now);

/** Whether a host accepts another forwarded request. */
bool gsAcceptsForwarded(gsForwardSettings const& settings, std::size_t own,
                        std::size_t forwarded);
