/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Puts what the platform's table of upstreams says in use, row by row as the
 * rows change, and logs it: a line for each row that changes by itself, and
 * the counts alone of many that change at once, as in a release, and of the
 * first list, but for what is wrong with it.
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
  /** The adapter and the fleet outlive this. */
  gsUpstreamFeed(gsAdapter const& adapter, gsFleet& fleet)
    : Adapter(adapter)
    , Fleet(fleet)
  {
  }

  /** Takes in the rows with these keys as they are now. */
  void Take(std::vector<std::string> const& keys, gsTableWatch const& rows,
            gsTime now);

  /** Takes in all rows anew, as services have become known. */
  void TakeAll(gsTime now);

  gsUpstreamList& List() { return this->Named; }

private:
  gsListing TakeRow(std::string const& key, gsTableRow const& row,
                    bool tellsEach, gsTime now);
  bool Tells(gsListing change, bool tellsEach);
  void PutNamed(std::string const& key, gsTime now);

  gsAdapter const& Adapter;
  gsFleet& Fleet;
  gsUpstreamList Named;
  bool ListTaken = false;      ///< A list of upstreams was taken before.
  std::size_t WrongToTell = 0; ///< Lines left for rows that are wrong.
};

/** Notes the services that a configuration names; true if any is new. */
bool gsNoteServices(gsUpstreamList& list, gsRouteTable const& table);

/** Open requests of this host by service and hall. */
void gsWriteUpstreamGauges(gsMetrics& metrics, gsFleet& fleet, gsTime now);
