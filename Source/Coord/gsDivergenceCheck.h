/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Detects table replicas that diverge from another host's replica at the same
 * version, and limits the rate of the platform reads that repair them. The
 * digests do not show which replica is wrong. Both hosts detect the
 * divergence, and both repair it with the rows of a platform read made
 * afterwards, by themselves or by another host.
 *
 * The state is one plain struct. Callers pass in the current time. Its size is
 * bounded by the number of hosts.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "gsTableReplica.h"

struct gsDivergenceCheckSettings
{
  /** How long a divergence has to last before it is repaired. */
  gsTime ConfirmationDelay = gsMilliseconds(300);
  /** Interval between the first two repair attempts. Each attempt doubles the
   * interval, up to MaxRepairInterval, while replicas diverge. */
  gsTime MinRepairInterval = gsMilliseconds(500);
  gsTime MaxRepairInterval =
    gsSeconds(2); ///< Upper bound of the repair interval.
  /** Digests that are not received again within this time are discarded. */
  gsTime DigestLifetime = gsSeconds(5);
};

struct gsDivergenceCheck
{
  /** The state of a host whose replica diverges from this host's. */
  struct DivergentHost
  {
    gsTableDigest RemoteDigest; ///< Last digest received from the host.
    gsTime DivergentSince{};    ///< When the divergence was first seen.
    gsTime ReceivedAt{};        ///< When the last digest was received.
  };
  gsDivergenceCheckSettings Settings;
  std::map<std::string, DivergentHost>
    DivergentHosts;       ///< Divergent replicas by host.
  gsTime LastAttemptAt{}; ///< Time of the last repair attempt.
  /** Minimum interval between the last repair attempt and the next; zero if no
   * attempt was made for the current divergences. */
  gsTime RepairInterval{};
};

/** A divergence that is due for repair. */
struct gsTableDivergence
{
  std::string Host;
  gsTableDigest RemoteDigest; ///< Last digest received from the host.
};

/** Compares the digest received from another host with this host's digest, and
 * records or clears the divergence. */
void gsCompareTableDigests(gsDivergenceCheck& check, std::string_view host,
                           gsTableDigest const& remote,
                           gsTableDigest const& own, gsTime now);

/** Returns the divergence that is due for repair, if any, and records a repair
 * attempt for it. */
std::optional<gsTableDivergence> gsTakeDueDivergence(gsDivergenceCheck& check,
                                                     gsTableDigest const& own,
                                                     gsTime now);

/**
 * Whether a frame header contains table digests. A header has two row counts
 * and two hashes, one each for the routes and for the upstreams. Headers from
 * older releases have neither counts nor hashes.
 */
enum class gsDigestFields
{
  Present,  ///< The digests of both tables are present.
  Absent,   ///< The header contains versions only.
  Malformed ///< The number of counts, hashes or versions is wrong.
};

/** Classifies a header by its number of row counts, hashes and versions. */
gsDigestFields gsClassifyDigestFields(int rows, int hashes, int versions);

/** Limits how often a host queries others for missing table rows. */
struct gsTableQueryLimiter
{
  gsTime LastQueryAt{}; ///< When the last query was allowed; zero for never.
};

/**
 * Whether the host may query for missing rows now; if so, records the query.
 * A host without the table, for which hasTable is false, receives all of it in
 * reply and may query again only after 2 s. Otherwise it would query each of
 * three coordinators for a table that is already being sent.
 */
bool gsAllowTableQuery(gsTableQueryLimiter& pace, bool hasTable, gsTime now);
