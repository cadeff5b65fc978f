/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Which hosts watch the platform for their hall. One host a hall, the first in
 * an order that all agree on, watches its tables and tells the others, however
 * large the hall is. When it is silent for Patience, the next watches too; and
 * the coordinators of halls tell each other what they hear. When no watcher's
 * tables are up to date, the other hosts begin to watch one after the other,
 * so that nothing depends on any one of them, and yet a platform that is
 * silent to all is not asked by all; the first of them that reaches it covers
 * the rest. Halls of no more hosts than watchers are not changed by this.
 *
 * The state is one plain struct; time is handed in.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/** Whether a host watches, and why. */
enum class gsWatchState
{
  Assigned,  ///< It is one of its hall's watchers.
  Uncovered, ///< It hears of no watcher that is up to date.
  Covered    ///< It does not watch.
};

char const* gsWatchStateWord(gsWatchState state);

struct gsWatchDutySettings
{
  std::size_t Watchers = 1; ///< Of each hall; each makes calls of its own.
  /** A watcher that has been silent for so long covers nobody. */
  gsTime Patience = gsMilliseconds(900);
  /** Tables that are older cover nobody. */
  gsTime MostAge = gsMilliseconds(2600);
  /** A host stops watching after it has been covered for so long. */
  gsTime Settle = gsMilliseconds(500);
  /** After its start a host waits so long for others before it watches. */
  gsTime StartPatience = gsMilliseconds(2500);
  /** Between the beginnings of two hosts that are not assigned. */
  gsTime Step = gsMilliseconds(250);
};

/** What was last heard from a watcher. */
struct gsHeardWatcher
{
  gsTime At{};
  gsTime Age{}; ///< Of its tables, at that time.
  /** Its tables are that young by another host's news, whom it passes on. */
  bool PassedOn = false;
};

struct gsWatchDuty
{
  gsWatchDutySettings Settings;
  std::string Self;
  std::map<std::string, gsHeardWatcher> Heard; ///< Of the same hall.
  /** A host starts as if covered; it reads the tables once by itself. */
  gsWatchState State = gsWatchState::Covered;
  gsTime Started{};
  gsTime CoveredSince{};   ///< Zero while not covered.
  gsTime UncoveredSince{}; ///< Zero while covered.
};

/**
 * Notes that a host of the same hall watches, or passes on the news of one
 * that does, and how old its tables are.
 */
void gsDutyHear(gsWatchDuty& duty, std::string_view host, gsTime age,
                bool passedOn, gsTime now);

/**
 * The latest time at which any host of the hall, by its word, had tables that
 * were up to date; zero if none has said so.
 */
gsTime gsDutyFreshAt(gsWatchDuty const& duty);

/** The same of hosts that watch themselves. */
gsTime gsDutyWatchedAt(gsWatchDuty const& duty);

/**
 * Settles whether this host watches. The order holds the first live hosts of
 * the hall, all or a part; a host that is not among them has a place of its
 * own behind them, by a hash of its name.
 */
gsWatchState gsDutyDecide(gsWatchDuty& duty,
                          std::vector<std::string> const& order,
                          std::size_t hallSize, gsTime now);
