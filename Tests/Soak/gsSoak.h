/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Carries a soak's plan out on real processes, under traffic, and checks the
 * promises from what was seen.
 */
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "gsSoakCheck.h"
#include "gsSoakPlan.h"

struct gsSoakResult
{
  std::vector<gsSoakBreach> Breaches;
  std::vector<std::string> Done; ///< Steps as they were carried out.
  std::size_t Requests = 0;
  std::size_t Served = 0;
  std::size_t Refused = 0;
  std::size_t Runs = 0;
};

/** Runs a plan; what is done is written to the stream as it happens. */
gsSoakResult gsRunSoak(gsSoakPlan const& plan, std::ostream& out);

/** Writes the verdict: the counts, or all that is needed to look into it. */
void gsPrintSoak(gsSoakPlan const& plan, gsSoakResult const& result,
                 std::ostream& out);
