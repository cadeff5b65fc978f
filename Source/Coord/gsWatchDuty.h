/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Decides which hosts watch the platform's tables for their hall.
 *
 * One host per hall, regardless of the size of the hall, watches the tables
 * and sends updates to the other hosts. It is the first in an order on which
 * all hosts agree. If it is silent for WatcherTimeout, the next host in that
 * order watches as well. The coordinators of the halls forward the updates to
 * each other.
 *
 * If no watcher has current tables, the other hosts start to watch one after
 * another, at intervals of TakeoverInterval. No hall therefore depends on a
 * single host, and yet a platform that does not respond to any host is not
 * queried by all of them. The first host that reaches the platform covers the
 * remaining ones. In halls with no more hosts than WatchersPerHall, all hosts
 * watch.
 *
 * The state is one plain struct. Callers pass in the current time.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/** Whether a host watches the platform's tables, and why. */
enum class gsWatchState
{
  Assigned,  ///< Watches as one of its hall's assigned watchers.
  Uncovered, ///< Watches because no watcher reports current tables.
  Covered    ///< Does not watch.
};

char const* gsWatchStateName(gsWatchState state);

struct gsWatchDutySettings
{
  /** Assigned watchers of each hall. Each sends its own calls to the
   * platform. */
  std::size_t WatchersPerHall = 1;
  /** A watcher from which no report was received for this time does not cover
   * other hosts. */
  gsTime WatcherTimeout = gsMilliseconds(900);
  /** A watcher whose tables are older does not cover other hosts. */
  gsTime MaxTablesAge = gsMilliseconds(2600);
  /** A host that is not assigned stops watching after it was covered for this
   * time without interruption. */
  gsTime StopDelay = gsMilliseconds(500);
  /**
   * Time after its start during which a host does not change its state, so
   * that reports from watchers can arrive. 295 hosts with a tenth of a core
   * each discovered their coordinators within 0.7 s. If all hosts have started
   * at once, none watches until then. It is therefore shorter than the time
   * within which changes have to be in force.
   */
  gsTime StartupDelay = gsMilliseconds(1200);
  /** Interval between the times at which successive hosts that are not
   * assigned start to watch. */
  gsTime TakeoverInterval = gsMilliseconds(250);
};

/** The last report about the age of the tables received from a host. */
struct gsWatcherReport
{
  gsTime ReceivedAt{}; ///< When the report was received.
  gsTime TablesAge{};  ///< Age of the tables, as reported.
  /** The age is that of another host's tables, whose report the sender has
   * forwarded. */
  bool IsForwarded = false;
};

struct gsWatchDuty
{
  gsWatchDutySettings Settings;
  std::string Self; ///< Name of this host.
  /** Last reports of hosts of the same hall, by sender. */
  std::map<std::string, gsWatcherReport> Reports;
  /** A host starts as covered, and reads the tables once by itself. */
  gsWatchState State = gsWatchState::Covered;
  gsTime StartedAt{}; ///< When this host started.
  /** Since when a watcher with current tables has covered this host; zero
   * while none does. */
  gsTime CoveredSince{};
  /** Since when no watcher has covered this host, counted from the end of
   * StartupDelay at the earliest; zero while it is covered. */
  gsTime UncoveredSince{};
};

/**
 * Stores a report from a host of the same hall. The host watches the tables,
 * or forwards the report of a host that does, and reports their age.
 */
void gsApplyWatcherReport(gsWatchDuty& duty, std::string_view host, gsTime age,
                          bool isForwarded, gsTime now);

/**
 * The latest time at which any host of the hall reported, for itself or for
 * another host, to have current tables; zero without reports.
 */
gsTime gsTablesCurrentAt(gsWatchDuty const& duty);

/** The latest time at which any host of the hall reported for itself to have
 * current tables; zero without such reports. */
gsTime gsWatchedTablesCurrentAt(gsWatchDuty const& duty);

/**
 * Updates and returns the state of this host. HallOrder contains the live
 * hosts of the hall in their agreed order, all of them or only the first ones.
 * A host that is not contained in it is ranked behind them by a hash of its
 * name.
 */
gsWatchState gsUpdateWatchState(gsWatchDuty& duty,
                                std::vector<std::string> const& hallOrder,
                                std::size_t hallSize, gsTime now);
