/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Counts, over all hosts, how many requests of each organisation started to
 * run in windows of agreed time (see gsClockAgreement.h).
 *
 * The counts of each source only grow, and two counts of the same source are
 * merged to the greater one. Updates that are repeated, late or out of order
 * are therefore harmless. A host sends its counts to the coordinators of its
 * hall at once; if it is killed, only the counts not sent yet are lost.
 * Coordinators sum the counts of their hall and send the sums, which only grow
 * as well, to the host that reports them.
 *
 * Plain structs and free functions. Callers pass in the current time, and
 * bound the number of windows with gsUsagePurge.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/** Number of requests by organisation. */
using gsUsageCounts = std::map<std::string, std::uint64_t>;

/** Counts by window number. */
using gsUsageWindows = std::map<std::uint64_t, gsUsageCounts>;

/** Counts by window number and source. A source is a process of a host or a
 * hall. */
struct gsUsageLedger
{
  std::map<std::uint64_t, std::map<std::string, gsUsageCounts>> Windows;
};

/** Merges counts of a source; of two counts, the greater one is kept. */
void gsUsageMerge(gsUsageLedger& ledger, std::string_view source,
                  gsUsageWindows const& counts);

/** Increments the count of an organisation. Source is this process. */
void gsUsageIncrement(gsUsageLedger& ledger, std::string_view source,
                      std::uint64_t window, std::string const& organisation);

/** Sum of a window's counts over all sources. */
gsUsageCounts gsUsageSum(gsUsageLedger const& ledger, std::uint64_t window);

/** Sums over all sources, by window. */
gsUsageWindows gsUsageSumsByWindow(gsUsageLedger const& ledger);

/** Removes the windows before a given one. */
void gsUsagePurge(gsUsageLedger& ledger, std::uint64_t before);

/** The counts sent to a receiver. */
struct gsUsageSentCounts
{
  gsUsageWindows Counts; ///< Counts sent last.
  gsTime FullSentAt{};   ///< When all counts were last sent; zero for never.
};

/**
 * Returns the counts that are due to be sent to a receiver and records them as
 * sent. These are the counts that have changed since they were sent last. All
 * counts are returned once per refresh interval, because an update may be lost
 * with its connection.
 */
gsUsageWindows gsUsageTakeUpdate(gsUsageWindows const& counts,
                                 gsUsageSentCounts& sent,
                                 gsTime refreshInterval, gsTime now);

/** Number of the window that contains a point in time, given in microseconds
 * since 1970. */
std::uint64_t gsUsageWindowOf(std::int64_t micros, gsTime length);

/** End of a window, in microseconds since 1970. */
std::int64_t gsUsageWindowEnd(std::uint64_t window, gsTime length);
