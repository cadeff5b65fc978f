/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Whether another hall can be reached. When connections to several upstreams
 * of one hall fail and none of the hall is heard from any more, the hall as a
 * whole is taken to be cut off: otherwise each host would find it out for
 * each upstream, at the cost of a request each time. The host that finds it
 * tells the others of its own hall, and tries again now and then for them.
 *
 * Plain structs; time is handed in.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "gsTypes.h"

struct gsHallReachSettings
{
  /** So many upstreams of a hall have to fail, */
  std::size_t MinFailures = 2;
  /** within this time. */
  gsTime Window = gsSeconds(2);
  /** First time after which the hall is tried again, */
  gsTime RetryFirst = gsMilliseconds(400);
  /** and the longest that it grows to. */
  gsTime RetryMost = gsMilliseconds(1600);
  /** A hall that nobody has tried for so long is not taken to be cut off. */
  gsTime Belief = gsSeconds(4);
};

/** What is known of one hall. */
struct gsHallReach
{
  /** Upstreams to which no connection was had; cleared by any sign of life. */
  std::set<std::string> Failed;
  gsTime FirstFailure{}; ///< Of those in Failed.
  gsTime LastFailure{};
  bool Unreachable = false; ///< By this host's own failures.
  gsTime RetryAt{};         ///< When it may be tried again, if unreachable.
  gsTime RetryDelay{};
  bool Told = false; ///< Another host of this hall says that it is cut off.
};

/** All halls of which anything is known, by name. */
using gsHallReaches = std::map<std::string, gsHallReach, std::less<>>;

/** Notes that an upstream of a hall could not be reached; true if the hall
 * is taken to be cut off from now on. */
bool gsHallNoteFailure(gsHallReaches& halls,
                       gsHallReachSettings const& settings,
                       std::string_view hall, std::string_view upstream,
                       gsTime now);

/**
 * Notes when any upstream of a hall was last heard from; true if the hall was
 * taken to be cut off and no longer is.
 */
bool gsHallNoteHeard(gsHallReaches& halls, std::string_view hall,
                     gsTime heardAt);

/**
 * Forgets failures that are old: a host that has nothing to send there would
 * else never learn that a hall is back, and would keep all hosts of its own
 * hall from it.
 */
void gsHallForget(gsHallReaches& halls, gsHallReachSettings const& settings,
                  gsTime now);

/** Takes in the halls that other hosts of this hall cannot reach. */
void gsHallNoteTold(gsHallReaches& halls,
                    std::set<std::string, std::less<>> const& told);

/** Whether a hall is taken to be cut off, by this or by other hosts. */
bool gsHallIsCutOff(gsHallReaches const& halls, std::string_view hall);

/** Whether a request may be sent there, be it only to try. */
bool gsHallMayTry(gsHallReaches const& halls, std::string_view hall,
                  gsTime now);

/** Notes that a request is sent there; the next waits for what it finds. */
void gsHallNoteTry(gsHallReaches& halls, gsHallReachSettings const& settings,
                   std::string_view hall, gsTime now);
