/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Closes connections of callers that do not come on while a listener has few
 * left for new ones, or the process is short of memory (gsConnectionShedding).
 */
#pragma once

#include <cstdint>
#include <vector>

#include "gsConnectionShedding.h"
#include "gsHttpServer.h"
#include "gsMemoryBudget.h"
#include "gsMetrics.h"

class gsConnectionGuard
{
public:
  /** The servers must outlive this object. */
  gsConnectionGuard(std::vector<gsHttpServer*> servers, gsTime minRetryAfter,
                    std::uint64_t seed);

  /**
   * To be called several times a second.
   *
   * \param memory Memory that has to be released, too.
   */
  void Sweep(gsMemoryShortage const& memory, gsTime now);
  void WriteGauges(gsMetrics& metrics) const;

private:
  void Shed(std::vector<gsHttpServer*> const& servers, char const* cause,
            gsConnectionShortage const& shortage, gsTime now);

  std::vector<gsHttpServer*> Servers;
  gsTime MinRetryAfter;
  gsRandom Random;
  gsTime SweptAt{};
  std::uint64_t ClosedUnfinished = 0;
  std::uint64_t ClosedResting = 0;
};
