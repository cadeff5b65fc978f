/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Replays a trace against model engines under one of several policies and
 * says how each class fared.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "gsPool.h"
#include "gsTrace.h"

enum class gsPolicy
{
  Gradescale, ///< One dispatcher for the pool: the core as it is.
  OwnQueues,  ///< The same core, but each host queues for itself.
  RoundRobin  ///< Each host: engines in turn, first in first out.
};

char const* gsPolicyWord(gsPolicy policy);

/** How one class fared. */
struct gsClassResult
{
  std::uint64_t Arrived = 0;
  std::uint64_t InTarget = 0;
  std::uint64_t Whole = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Cut = 0;
  std::uint64_t LateFirst = 0; ///< Whole, but the first token was late.
  std::uint64_t LateGap = 0;   ///< Whole, but the gap was too long.
  gsTime LongestWait{};        ///< From arrival to start or refusal.
};

struct gsReplayResult
{
  std::map<std::string, gsClassResult> Classes;
  double Generated = 0; ///< Tokens by all engines.
  double Useful = 0;    ///< Of them, in whole answers.
  double Capacity = 0;  ///< Tokens the engines could generate while demanded.
  std::uint64_t BadRefusals = 0; ///< Refused while a lower tier waited.
};

/** Switches of the core, to measure one decision at a time. */
struct gsReplayOptions
{
  gsPolicy Policy = gsPolicy::Gradescale;
  gsPoolSettings Pool;
  bool Adaptive = true;
  double Slots = 24; ///< Limit of an engine to begin with.
  bool Shares = true;
  bool Priorities = true; ///< Said to the engines.
};

gsReplayResult gsReplay(gsTrace const& trace, gsReplayOptions const& options);

/** Rows of a Markdown table. */
std::string gsReplayRows(gsTrace const& trace, std::string const& label,
                         gsReplayResult const& result);
