/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Finds copies of a table that differ from another host's at the same version,
 * and paces the reads that mend them. Which side is wrong is not known: both
 * see the difference, and both go by a read of the platform made after it.
 * Time is handed in.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "gsTableCopy.h"

struct gsTableCheckSettings
{
  /** A difference is believed when it has lasted so long. */
  gsTime Patience = gsMilliseconds(300);
  /** Least time between two attempts to mend; each doubles it, up to */
  gsTime GapFirst = gsMilliseconds(500);
  gsTime GapMost = gsSeconds(2); ///< this, while hosts still differ.
  /** A host's word that is not repeated counts no more after it. */
  gsTime Memory = gsSeconds(5);
};

struct gsTableCheck
{
  struct Differing
  {
    gsRowsCheck Theirs;
    gsTime Since{};
    gsTime Heard{};
  };
  gsTableCheckSettings Settings;
  std::map<std::string, Differing> Hosts; ///< Whose copies differ.
  gsTime Tried{};                         ///< Last attempt to mend.
  gsTime Gap{};                           ///< Before the next one.
};

/** A difference that is due to be mended. */
struct gsTableDifference
{
  std::string Host;
  gsRowsCheck Theirs;
};

/** Compares what another host tells with this host's rows. */
void gsCheckHear(gsTableCheck& check, std::string_view host,
                 gsRowsCheck const& theirs, gsRowsCheck const& own,
                 gsTime now);

/** The difference to be mended now, if any; the attempt is noted. */
std::optional<gsTableDifference> gsCheckDue(gsTableCheck& check,
                                            gsRowsCheck const& own,
                                            gsTime now);

/**
 * How a header's counts read: two for each of the routes and the upstreams,
 * rows and hashes, or none from an older release.
 */
enum class gsCountsRead
{
  Told,
  None,
  Unreadable
};
gsCountsRead gsReadCounts(int rows, int hashes, int versions);

/** When a host last asked others for what its copy of a table lacks. */
struct gsAskPace
{
  gsTime Asked{}; ///< Zero for never.
};

/**
 * Whether a host may ask for what it lacks now; notes that it does. One that
 * knows nothing of the table yet is sent all of it, and waits for that, so as
 * not to ask each of three coordinators again for what is on its way.
 */
bool gsMayAsk(gsAskPace& pace, bool known, gsTime now);
