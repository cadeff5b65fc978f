/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Traces: recorded requests and faults, one a line.
 *
 *   request,MS,ORGANISATION,CLASS,PROMPT_TOKENS,TOKENS,CONTEXT,STREAM
 *   engine,MS,ENGINE,FACTOR      (0 crashes it, 1 is its normal speed)
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/** A class of work in a trace's setting. */
struct gsTraceClass
{
  std::string Name;
  std::uint32_t Tier = 0;
  gsTime FirstToken{};
  gsTime TokenGap{};
  gsTime MaxWait{};
  bool Repeatable = true;
};

struct gsTraceRequest
{
  gsTime At{};
  std::string Organisation;
  std::string Class;
  std::uint32_t PromptTokens = 0;
  std::uint32_t Tokens = 0; ///< Known to the engine model only.
  std::uint64_t Context = 0;
  bool Stream = true;
};

struct gsTraceFault
{
  gsTime At{};
  std::size_t Engine = 0;
  double Speed = 1; ///< 0 crashes the engine.
};

struct gsTrace
{
  std::string Name;
  std::vector<gsTraceClass> Classes;
  std::vector<gsTraceRequest> Requests;
  std::vector<gsTraceFault> Faults;
  std::size_t Engines = 6;
  std::size_t Hosts = 3;
};

/** The shapes that the project knows. */
enum class gsTraceShape
{
  ContestWeekend,
  PrintDeadline
};

/** The classes and sizes of a shape, without requests. */
gsTrace gsTraceSetting(gsTraceShape shape);

/**
 * Draws a trace of a shape. Load is the demand in the peak, as a multiple of
 * what the engines can serve.
 */
gsTrace gsDrawTrace(gsTraceShape shape, gsTime length, double load,
                    std::uint64_t seed);

std::string gsTraceToText(gsTrace const& trace);

/** Reads the lines of a trace into its setting. */
gsResult<gsTrace> gsTraceFromText(gsTrace setting, std::string_view text);
