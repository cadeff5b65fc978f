/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Applies the platform's table of upstreams to the fleet, row by row as the
 * rows change, and logs the changes.
 *
 * If few rows change, each has a log line of its own. If many change at once,
 * as during a release of the upstreams, and for the first list, only the
 * counts are logged. Rejected rows are logged individually even then, but at
 * most MaxLoggedRows of them per call.
 */
#pragma once

#include <string>
#include <vector>

#include "gsAdapter.h"
#include "gsFleet.h"
#include "gsMetrics.h"
#include "gsTableWatch.h"
#include "gsUpstreamList.h"

class gsUpstreamFeed
{
public:
  /** The adapter and the fleet must outlive this object. */
  gsUpstreamFeed(gsAdapter const& adapter, gsFleet& fleet)
    : Adapter(adapter)
    , Fleet(fleet)
  {
  }

  /**
   * Applies the current state of the rows with these keys; a row that is
   * absent is removed.
   */
  void ApplyRows(std::vector<std::string> const& keys,
                 gsTableWatch const& rows, gsTime now);

  /** Applies all rows again after services have been added. */
  void ApplyAllRows(gsTime now);

  gsUpstreamList& List() { return this->UpstreamList; }

private:
  gsListingChange ApplyRow(std::string const& key, gsTableRow const& row,
                           bool logsEachRow, gsTime now);
  bool ShouldLog(gsListingChange change, bool logsEachRow);
  void ApplyListing(std::string const& key, gsTime now);

  gsAdapter const& Adapter;
  gsFleet& Fleet;
  gsUpstreamList UpstreamList;
  /** Whether a list of upstreams has been applied. */
  bool HasInitialList = false;
  /**
   * Number of rejected rows that may still be logged during the current call
   * of ApplyRows.
   */
  std::size_t WarningsLeft = 0;
};

/**
 * Adds the services that a configuration names. \return Whether any of them is
 * new.
 */
bool gsAddServices(gsUpstreamList& list, gsRouteTable const& table);

/** Exports the number of open requests of this host by service and hall. */
void gsWriteUpstreamGauges(gsMetrics& metrics, gsFleet& fleet, gsTime now);
