/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The order in which waiting requests are served: the most urgent first; of
 * these, callers that have returned at the time they were given; then the
 * organisation with the least weighted service (weighted fair queueing); then
 * the earliest deadline. The pool's dispatcher and the requests that wait on
 * a host of the routed mode use the same order.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "gsTypes.h"

/** What determines the place of a waiting request or of an organisation. */
struct gsFairRow
{
  std::uint32_t Priority = 0; ///< 0 is the most urgent.
  bool IsReturning = false;   ///< Retried at the time it was given.
  /** Service that the organisation has received, divided by its weight. */
  double VirtualTime = 0;
  gsTime Deadline{};
};

/** Whether a row is served before another. */
bool gsIsServedBefore(gsFairRow const& a, gsFairRow const& b);

/**
 * Selects the next of a range of entries: the first one that is not preceded
 * by any other.
 * \param rowOf Returns the row of an entry as std::optional<gsFairRow>; empty
 * for entries that cannot be selected.
 * \return The end of the range if none can be selected.
 */
template<typename Iterator, typename RowOf>
Iterator gsFairNext(Iterator first, Iterator last, RowOf const& rowOf)
{
  Iterator best = last;
  std::optional<gsFairRow> bestRow;
  for (Iterator entry = first; entry != last; ++entry) {
    std::optional<gsFairRow> row = rowOf(*entry);
    if (row && (!bestRow || gsIsServedBefore(*row, *bestRow))) {
      best = entry;
      bestRow = row;
    }
  }
  return best;
}

/** Virtual times of the organisations of one kind. */
struct gsFairClock
{
  /** Virtual time of the organisation that was served last. One that has not
   * been served for a while begins here and not at its own time. */
  double VirtualTime = 0;
  std::unordered_map<std::uint32_t, double> Organisations;
};

/** An organisation's virtual time. */
double gsVirtualTime(gsFairClock const& clock, std::uint32_t organisation);

/** Adds a service to an organisation's virtual time. */
void gsChargeService(gsFairClock& clock, std::uint32_t organisation,
                     double service, double weight);
