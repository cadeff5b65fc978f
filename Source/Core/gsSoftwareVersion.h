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
  Stored,          ///< The only one, also by the row that the store has.
  FirstStart,      ///< The only one since the first start of all hosts.
  SeveralVersions, ///< Streams of several versions may not be over yet.
  ListTooYoung,    ///< Streams from before the list are not over yet.
  NoUpstream       ///< None is listed whose version is known.
};

/** A version of a service's upstreams that was listed recently. */
struct gsListedVersion
{
  std::size_t Count = 0; ///< Upstreams that are listed now.
  gsTime LastListedAt{}; ///< When one was last known to be listed.
  /** This host has seen it listed; else it is known from the stored row. */
  bool WasListed = false;
};

/** Versions of a service's upstreams that were listed recently. */
struct gsVersionHistory
{
  /** First upstream of any version that this host has seen; zero if none. */
  gsTime FirstListedAt{};
  /** Why Versions has those from before FirstListedAt as well: Stored or
   * FirstStart. ListTooYoung if it may lack some. */
  gsVersionInference Before = gsVersionInference::ListTooYoung;
  /** Those that no stream can be of any more are removed. */
  std::map<std::uint32_t, gsListedVersion> Versions;
};

/** Whether no stream can be of a version any more. */
bool gsIsVersionOver(gsFleet const& fleet, gsListedVersion const& version,
                     gsTime now);

char const* gsVersionInferenceName(gsVersionInference inference);

/** What follows on the version of a service's streams. */
struct gsInferredVersion
{
  std::uint32_t Version = 0; ///< Zero if it does not follow.
  /** The only version that this host has seen recently; zero if there are
   * several. */
  std::uint32_t OnlySeen = 0;
  gsVersionInference Cause = gsVersionInference::NoUpstream;
};

/**
 * The version of all streams of a service that are not over yet, as far as it
 * follows from the upstreams listed, which have to be up to date: the only one
 * of the service for longer than any stream lasts. What was listed before this
 * host has seen the list is known from the stored row, or if no host has run
 * before; see gsStoredVersions.
 */
gsInferredVersion gsInferStreamVersion(gsFleet const& fleet,
                                       std::string_view service, gsTime now);
