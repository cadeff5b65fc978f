/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Software versions of upstreams. Upstreams of several versions may serve one
 * service side by side. A stream goes on only at the version that began it,
 * since what two versions write does not fit together.
 *
 * A version is identified by a hash of the service and the version's name, and
 * is zero if it is unknown; an unknown version equals no other. Callers pass
 * in the current time.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

#include "gsTypes.h"

struct gsFleet;
struct gsListedUpstream;

/** Identifies a version of a service's software; never zero. */
std::uint32_t gsSoftwareVersionHash(std::string_view service,
                                    std::string_view version);

/** A version of a service's upstreams that was listed recently. */
struct gsListedVersion
{
  std::size_t Count = 0; ///< Upstreams that are listed now.
  gsTime LastListedAt{}; ///< When one was last known to be listed.
};

/** Versions of a service's upstreams that were listed recently. */
struct gsVersionHistory
{
  gsTime FirstListedAt{}; ///< First upstream of any version.
  /** Those that no stream can be of any more are removed. */
  std::map<std::uint32_t, gsListedVersion> Versions;
};

/** Whether an upstream of a service that accepts requests has a version. */
bool gsHasUpstreamOfVersion(gsFleet const& fleet, std::string_view service,
                            std::uint32_t version);

/** Whether upstreams of several versions of a service are listed. */
bool gsHasVersions(gsFleet const& fleet, std::string_view service);

/** Records that an upstream is listed. */
void gsAddListedVersion(gsFleet& fleet, gsListedUpstream const& listed,
                        gsTime now);

/** Records that an upstream is no longer listed as it was. */
void gsRemoveListedVersion(gsFleet& fleet, gsListedUpstream const& listed,
                           gsTime now);

/** Why the version of a service's streams follows from the upstreams listed,
 * or does not follow. */
enum class gsVersionInference : std::uint8_t
{
  Listed,          ///< The only one for longer than any stream lasts.
  FirstStart,      ///< The only one since the first start of all hosts.
  SeveralVersions, ///< Streams of several versions may not be over yet.
  ListTooYoung,    ///< Streams from before the list are not over yet.
  NoUpstream       ///< None is listed whose version is known.
};

char const* gsVersionInferenceName(gsVersionInference inference);

/** What follows on the version of a service's streams. */
struct gsInferredVersion
{
  std::uint32_t Version = 0; ///< Zero if it does not follow.
  gsVersionInference Cause = gsVersionInference::NoUpstream;
};

/**
 * The version of all streams of a service that are not over yet, as far as it
 * follows from the upstreams listed: the only one of the service for longer
 * than any stream lasts, or since the first start of all hosts. The list has
 * to be up to date.
 */
gsInferredVersion gsInferStreamVersion(gsFleet const& fleet,
                                       std::string_view service, gsTime now);
