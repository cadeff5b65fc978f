/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A simple model of a model engine: continuous batching with a token gap that
 * grows with the batch, prefill that a cached context shortens, a first-in
 * first-out queue in front of a full batch, and load reports that lag.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <vector>

#include "gsTypes.h"

/** A request inside an engine. */
struct gsEngineRequest
{
  std::size_t Request = 0; ///< Index into the trace.
  std::uint32_t Attempt = 0;
  std::uint32_t PromptTokens = 0;
  std::uint32_t Tokens = 0;
  std::uint64_t Context = 0;
  std::uint32_t Priority = 0; ///< Prefilled in this order; 0 first.
  double Prefill = 0;         ///< Seconds left.
  double Done = 0;            ///< Tokens generated.
  gsTime Started{};
  gsTime First{}; ///< Zero until the first token.
};

struct gsEngineModel
{
  double Speed = 1; ///< 0: crashed.
  std::deque<gsEngineRequest> Waiting;
  std::vector<gsEngineRequest> Batch;
  std::list<std::uint64_t> Cache; ///< Contexts, the most recent first.
  double Generated = 0;           ///< Tokens, useful or not.
  std::deque<std::pair<gsTime, std::uint32_t>> Reports; ///< Queue over time.
};

/** What happened in a step. */
struct gsEngineOutput
{
  std::vector<gsEngineRequest> First; ///< Gave their first token.
  std::vector<gsEngineRequest> Ended;
  std::vector<gsEngineRequest> Lost; ///< By a crash.
};

/** Tokens a second of one engine at the largest batch within the target. */
double gsEngineCapacity();

void gsEngineTake(gsEngineModel& engine, gsEngineRequest request);
void gsEngineStep(gsEngineModel& engine, gsTime now, gsTime step,
                  gsEngineOutput& out);
void gsEngineSpeed(gsEngineModel& engine, double speed, gsEngineOutput& out);

/** The queue that the engine reports now, as it was a while ago. */
std::uint32_t gsEngineReport(gsEngineModel const& engine, gsTime now);
