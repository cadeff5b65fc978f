/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Batches read barriers: reads of a linearizable store that were begun after
 * a request for one. Once each table has been read, the host's replicas are
 * as new as the store was when the barrier was requested, whatever the host
 * has missed before.
 *
 * One round of reads serves all requests that were made before it began.
 * Rounds follow each other at a minimum interval, so that the number of calls
 * does not depend on the number of requests. Within a round, a read that has
 * failed is repeated until the round's time is over.
 *
 * The state is one plain struct. Callers pass in the current time, make the
 * reads and report their results.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gsTypes.h"

struct gsReadBarrierSettings
{
  std::size_t Tables = 1; ///< Number of tables that a round reads.
  /** Minimum interval between the beginnings of rounds. */
  gsTime MinInterval = gsMilliseconds(100);
  /** Time limit of a round. */
  gsTime RoundTimeout = gsMilliseconds(500);
  /** Delay before a read that has failed is repeated. */
  gsTime RetryDelay = gsMilliseconds(50);
};

struct gsReadBarrier
{
  /** The read of one table in the round under way. */
  struct Read
  {
    bool IsPending = false;
    bool IsDone = false; ///< It has succeeded.
    gsTime RetryAt{};
  };

  gsReadBarrierSettings Settings;
  std::vector<std::uint64_t> Waiting; ///< Requests for the next round.
  std::vector<std::uint64_t> Served;  ///< Those of the round under way.
  bool IsUnderWay = false;
  gsTime BeganAt{};         ///< The last round; zero if there was none.
  std::uint64_t Round = 0;  ///< Number of the last round.
  std::vector<Read> Reads;  ///< By table.
  std::uint64_t Passed = 0; ///< Rounds that read all tables.
  std::uint64_t Failed = 0; ///< Rounds that did not.
};

/** Requests a barrier. \param request Identifies it in the result. */
void gsBarrierRequest(gsReadBarrier& barrier, std::uint64_t request);

/** Begins a round if one is due. \return The tables whose read has to be
 * started now; the caller reports its result with the number of the round. */
std::vector<std::size_t> gsBarrierDueReads(gsReadBarrier& barrier, gsTime now);

/** Reports the result of a read. One of an earlier round is ignored. */
void gsBarrierReadDone(gsReadBarrier& barrier, std::uint64_t round,
                       std::size_t table, bool succeeded, gsTime now);

/** The result of a round. */
struct gsBarrierResult
{
  std::vector<std::uint64_t> Requests; ///< Those that the round has served.
  bool Passed = false;                 ///< All tables were read.
};

/** Ends the round under way if all tables are read or its time is over.
 * \return The result; without requests if no round has ended. */
gsBarrierResult gsBarrierEndRound(gsReadBarrier& barrier, gsTime now);

/** When one of the functions above has to be called again; zero if nothing is
 * requested. */
gsTime gsBarrierNextDue(gsReadBarrier const& barrier);
