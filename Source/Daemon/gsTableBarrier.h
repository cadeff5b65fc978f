/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Makes the reads of gsReadBarrier: brings this host's replicas of the
 * platform's tables, and what it knows of the stored versions, up to the time
 * at which somebody asks for it.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "gsLoop.h"
#include "gsMetrics.h"
#include "gsReadBarrier.h"

/** Called with whether a read has succeeded. */
using gsReadCallback = std::function<void(bool succeeded)>;

/** Starts a read of one table, which fails unless its answer arrives within
 * the time limit. */
using gsTableReader =
  std::function<void(gsTime timeLimit, gsReadCallback done)>;

class gsTableBarrier
{
public:
  /** The loop must outlive this object. */
  explicit gsTableBarrier(gsLoop& loop);

  /** Adds a table; before the first request. The reader must not be called
   * back after this object is gone. */
  void AddTable(gsTableReader reader);

  /**
   * Reads all tables. Calls back with whether the replicas are at least as new
   * as the tables are now. The callback may be called before the function
   * returns.
   */
  void Request(gsReadCallback done);

  void WriteGauges(gsMetrics& metrics) const;

private:
  void Advance();

  gsTimer Timer;
  gsReadBarrier State;
  std::vector<gsTableReader> Readers;
  std::map<std::uint64_t, gsReadCallback> Callbacks; ///< By request.
  std::uint64_t LastRequest = 0;
  bool IsAdvancing = false;
};
