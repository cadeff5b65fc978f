/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What to do after an attempt to have a request served has failed, and how
 * much may be spent on repeating work.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

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
  double Recent = 0; ///< Requests of the last seconds; decays.
  gsTime RecentAt{};
};

/**
 * Repeats that one host may save up of those that all hosts may together. A
 * share below one goes whole to as many hosts as there are repeats, by a hash;
 * the others have only what their own requests earn.
 */
double gsShareOfRepeats(double ofAll, std::size_t hosts,
                        std::string_view host);

/** Counts a new request. */
void gsRetryEarn(gsRetryBudget& budget);

/**
 * The same for a budget of many hosts. What a host's requests of the last
 * seconds earn may be saved up beside Most, so that a host whose share is
 * below one still repeats as soon as it has ten requests in some seconds.
 */
void gsRetryEarn(gsRetryBudget& budget, gsTime now);

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
