/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The list of upstreams, derived from the rows of the platform's table. Rows
 * may be written by clients other than upstreams. A row that cannot be parsed,
 * belongs to an unknown service or describes an earlier start of its upstream
 * yields no upstream and does not affect the other rows.
 *
 * The start times of removed upstreams are retained up to a fixed number, so
 * that an outdated row is recognised. The functions neither read a clock nor
 * do I/O.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gsFleet.h"

/** Effect of a row on the list. */
enum class gsListingChange
{
  Unchanged,  ///< No change that other parts of the host depend on.
  Listed,     ///< An upstream is new, has returned or serves another service.
  Leaving,    ///< An upstream has begun to leave.
  Restarted,  ///< An upstream has restarted under the same id.
  Unreadable, ///< The row cannot be parsed.
  Outdated    ///< The row describes an earlier start of the upstream.
};

/** Name of the log event. */
char const* gsListingChangeName(gsListingChange listing);

/** The last version that was read of a row. */
struct gsUpstreamListRow
{
  std::uint64_t Version = 0; ///< Version of the row.
  /** The upstream as last accepted. An unreadable version clears it; a version
   * of an earlier start does not replace it. */
  std::optional<gsListedUpstream> Upstream;
};

/** All rows of the upstream table and the upstreams that they describe. */
struct gsUpstreamList
{
  std::map<std::string, gsUpstreamListRow> Rows; ///< By row key.
  /** Latest start time of each upstream that was listed, Unix milliseconds, by
   * id. Up to 4096 are retained of upstreams without a row. */
  std::map<std::string, std::uint64_t> LatestStarts;
  /** Services of all configurations that were read. While it is empty, every
   * service is accepted. Set by the caller. */
  std::set<std::string> Services;
  std::uint64_t UnreadableCount =
    0; ///< Number of rows that could not be parsed.
};

/** Whether this version of a row was already applied. */
bool gsListHasVersion(gsUpstreamList const& list, std::string const& id,
                      std::uint64_t version);

/** Applies a new version of a row.
 * \param read The parsed row, or the parse error. */
gsListingChange gsListApplyRow(gsUpstreamList& list, std::string const& id,
                               std::uint64_t version,
                               gsResult<gsListedUpstream> const& read);

/** Removes a row. Its upstream's latest start time is retained. */
void gsListRemoveRow(gsUpstreamList& list, std::string const& id);

/** Finds the upstream that a row describes, including one that is leaving.
 * \return Null if there is none or its service is unknown. */
gsListedUpstream const* gsListFind(gsUpstreamList const& list,
                                   std::string const& id);

/** All upstreams of known services, including those that are leaving. */
std::vector<gsListedUpstream> gsListUpstreams(gsUpstreamList const& list);

/** Whether an id can be written to headers and logs without escaping: it is
 * not empty and consists of printable ASCII characters other than space. */
bool gsIsPrintableId(std::string_view id);
