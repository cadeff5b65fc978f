/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What to do after an attempt to have a request served has failed, and how
 * much may be spent on repeating work.
 */
#pragma once

#include <cstdint>

#include "gsTypes.h"

/**
 * Bounds repeated work to a share of recent work. Only attempts that may have
 * run spend from it; trying elsewhere what was never sent is free.
 */
struct gsRetryBudget
{
  double Share = 0.1; ///< Repeats a request.
  double Most = 10;   ///< Repeats that may be saved up.
  double Saved = 10;
};

/** Counts a new request. */
void gsRetryEarn(gsRetryBudget& budget);

/** Takes one repeat; false when there is none. */
bool gsRetrySpend(gsRetryBudget& budget);

/** An attempt that has failed. */
struct gsFailedAttempt
{
  gsRan Ran = gsRan::No;
  bool Repeatable = true;
  bool CallerHasBytes = false;
  std::uint32_t Attempts = 1; ///< Made so far, this one included.
  gsTime Now{};
  gsTime Deadline{}; ///< After it the request is given up.
};

enum class gsAfterFailure
{
  Retry,
  GiveUp
};

/** Most attempts of one request. */
constexpr std::uint32_t gsMaxAttempts = 5;

/** Decides whether to try again; may spend from the budget. */
gsAfterFailure gsDecideAfterFailure(gsFailedAttempt const& attempt,
                                    gsRetryBudget& budget);
