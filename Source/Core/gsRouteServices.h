/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Services to which routes send streams. A configuration may split a route
 * between services or move it to another one, so that the version of a stream
 * follows from its route's services and from their versions together.
 *
 * The services of a route are kept as versions of a service are, with hashes
 * of their names in place of versions, under a name that the route determines.
 */
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "gsRouteTable.h"
#include "gsSoftwareVersion.h"

struct gsFleet;

/** Identifies a service among those of a route; its name's hash. */
std::uint32_t gsServiceHash(std::string_view service);

/** Name under which the services of a route are kept. */
std::string gsRouteHistoryName(gsRoute const& route);

/** Names under which the services of all routes whose streams callers may
 * resume, and the versions of these services, are kept. */
std::set<std::string> gsResumableNames(gsRouteTable const& table);

/** Records the services of the routes of a configuration. */
void gsSetRouteServices(gsFleet& fleet, gsRouteTable const& table, gsTime now);

/** The version of all streams of a route that are not over yet; see
 * gsInferStreamVersion. \param name From gsRouteHistoryName, or of a service.
 */
gsInferredVersion gsInferRouteVersion(gsFleet const& fleet,
                                      std::string_view name, gsTime now);
