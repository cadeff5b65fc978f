/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * How many requests began to run for each organisation, in windows of true
 * time, counted over all hosts. Each host's counts only grow, and are merged
 * by the greater one, so that a word that is repeated, late or out of order
 * changes nothing. A host tells its hall's coordinators at once; what a host
 * that is killed takes along is what it had not told yet. Coordinators sum
 * their hall, and tell the sums, which only grow as well, to the host that
 * reports them.
 *
 * Plain structs and free functions; time is handed in.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/** Requests by organisation. */
using gsUsageCounts = std::map<std::string, std::uint64_t>;

/** Counts of several windows, by the window's number. */
using gsUsageWindows = std::map<std::uint64_t, gsUsageCounts>;

/** Counts by window and by who counted: a process of a host, or a hall. */
struct gsUsageLedger
{
  std::map<std::uint64_t, std::map<std::string, gsUsageCounts>> Windows;
};

/** Takes counts of one source in; the greater one holds. */
void gsUsageMerge(gsUsageLedger& ledger, std::string_view source,
                  gsUsageWindows const& counts);

/** Counts one more request of this host's own. */
void gsUsageCount(gsUsageLedger& ledger, std::string_view source,
                  std::uint64_t window, std::string const& organisation);

/** Sum over all sources. */
gsUsageCounts gsUsageSum(gsUsageLedger const& ledger, std::uint64_t window);

/** The sums of all windows. */
gsUsageWindows gsUsageSums(gsUsageLedger const& ledger);

/** Forgets windows before one. */
void gsUsageForget(gsUsageLedger& ledger, std::uint64_t before);

/** What one receiver was told. */
struct gsUsageTold
{
  gsUsageWindows Counts;
  gsTime WholeAt{}; ///< When all of them were last told; zero for never.
};

/**
 * What a receiver has to be told: counts that have grown, or all of them once
 * in a while, as a word may be lost with its link.
 */
gsUsageWindows gsUsageNews(gsUsageWindows const& counts, gsUsageTold& told,
                           gsTime refresh, gsTime now);

/** The window of a point of true time, in microseconds since 1970. */
std::uint64_t gsUsageWindowOf(std::int64_t trueMicros, gsTime length);

/** When a window ends, in the same. */
std::int64_t gsUsageWindowEnd(std::uint64_t window, gsTime length);
