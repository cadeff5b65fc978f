/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Which upstreams the rows of the platform's table name. Rows may be written
 * by others than upstreams: one that cannot be read, names an unknown service
 * or belongs to an earlier start of an upstream names none, and costs nothing
 * but itself. Nothing here reads a clock or does I/O.
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

/** What a row has changed in the list. */
enum class gsListing
{
  Same,       ///< Nothing that matters to others.
  Listed,     ///< An upstream may get work that was not listed for it before.
  Leaving,    ///< An upstream begins to leave.
  Restarted,  ///< An upstream has started again under its id.
  Unreadable, ///< The row names no upstream.
  Older       ///< The row is of an earlier start than the one that is known.
};

char const* gsListingWord(gsListing listing);

/** A row as it was last read. */
struct gsNamedRow
{
  std::uint64_t Version = 0; ///< Of the row.
  /** What it names; absent for no upstream. */
  std::optional<gsListedUpstream> Named;
};

struct gsUpstreamList
{
  std::map<std::string, gsNamedRow> Rows; ///< By key of the row.
  /** Latest start of each upstream that was named, also of those that are
   * gone, as far as remembered. */
  std::map<std::string, std::uint64_t> Births;
  /** Services that any configuration has named; all are known while it is
   * empty. */
  std::set<std::string> Services;
  std::uint64_t Unreadable = 0; ///< Rows that named no upstream when read.
};

/** Whether the row of that version was taken already. */
bool gsListHas(gsUpstreamList const& list, std::string const& id,
               std::uint64_t version);

/** Takes a row that was read, or that could not be read. */
gsListing gsListTake(gsUpstreamList& list, std::string const& id,
                     std::uint64_t version,
                     gsResult<gsListedUpstream> const& read);

/** Forgets a row that is gone. */
void gsListRemove(gsUpstreamList& list, std::string const& id);

/** The upstream that a row names, if it may be used or is leaving; null if
 * the row names none, or one of a service that is not known. */
gsListedUpstream const* gsListNamed(gsUpstreamList const& list,
                                    std::string const& id);

/** The upstreams that may be used or are leaving. */
std::vector<gsListedUpstream> gsListOf(gsUpstreamList const& list);

/** Whether an id may stand in headers and logs as it is. */
bool gsIsPlainId(std::string_view id);
