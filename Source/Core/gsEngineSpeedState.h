/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * State of the measurement of engine speeds, stored in gsFleetRow and gsFleet;
 * see gsEngineSpeed.h.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "gsTypes.h"

/** Work at an engine at one time, as known to this host. */
struct gsEngineActivity
{
  enum class Prompts
  {
    None, ///< No prompt is pending.
    Some, ///< Some are, but may have been processed since they were reported.
    Certain ///< So many that the engine is certainly still processing them.
  };
  Prompts Pending = Prompts::None;
  std::uint32_t OpenAttempts = 0;
};

/** What is known about the prompt of an attempt when it is sent. */
struct gsPromptMeasurement
{
  std::uint32_t Tokens = 0; ///< Prompt tokens that the engine processes.
  /** Tokens that it certainly has not cached; at most Tokens. */
  std::uint32_t OwnTokens = 0;
  bool IsExact = false;  ///< Tokens is certain, not an upper bound.
  bool WasAlone = false; ///< No other prompt was pending.
};

/** Number of sample kinds; samples of the same kind are comparable between
 * engines. */
constexpr std::size_t gsSpeedKindCount = 13;

/** One measured time at an engine, of a kind of gsEngineSpeed.cxx. */
struct gsSpeedSample
{
  gsTime At{};
  float Millis = 0; ///< Per event, or per prompt token.
  std::uint8_t Kind = 0;
  bool IsOwn = true; ///< Measured by this host, not reported by another.
  /** Whether later reports agree that the prompts of its kind were pending, or
   * none were. */
  bool IsConfirmed = false;
};

/** Ranked by speed; changes only with wide hysteresis. */
enum class gsSpeedClass
{
  Normal,
  Slow,
  VerySlow
};

/** A value that Measured has had. */
struct gsSpeedMeasurement
{
  gsTime At{};
  double LogSpeed = 0;
};

/** Measured and decided speed of one incarnation of an engine. */
struct gsEngineSpeedState
{
  /** The last samples of all hosts, in the order of their arrival; at most
   * MaxSamples. */
  std::vector<gsSpeedSample> Samples;
  gsTime PromptsSeenAt{};   ///< When pending prompts were last known.
  gsTime NoPromptsSeenAt{}; ///< When no pending prompts were last known.
  /** Time of the newest sample reported by other hosts. */
  gsTime ReportedSampleAt{};
  bool IsListed = false; ///< Whether gsFleet::MeasuredRows lists the row.
  /** Whether any host has had work at this incarnation, as far as known. */
  bool WasUsed = false;
  double Own = 0;             ///< Speed by Samples; zero if unknown.
  bool IsOwnMeasured = false; ///< Whether Own rests on samples of this host.
  gsTime OwnAt{};             ///< Time of the middle sample of Own.
  gsTime OwnSpan{};           ///< Time between the samples of Own.
  double Reported = 0;        ///< Newest value of other hosts; zero if none.
  gsTime ReportedAt{};        ///< When they measured it.
  double Measured = 0;        ///< Relative to the service; zero if unknown.
  gsTime MeasuredAt{};        ///< When Measured was measured.
  double Decided = 1;         ///< In quarters; changes only with hysteresis.
  gsTime MeasuredFor{};       ///< Time covered by measurements.
  gsTime DeviatesFor{};       ///< The same while Measured contradicts Decided.
  double DeviationLogSum = 0; ///< Of Measured while it deviates.
  std::uint32_t DeviationCount = 0;
  gsTime RecoversFor{}; ///< The same while Measured is close to 1.
  gsTime SlumpsFor{};   ///< The same while Measured is far below Decided.
  /** Measurements of the last 5 s, the newest last; none while suspended. */
  std::vector<gsSpeedMeasurement> Recent;
  gsTime MeanDiffersFor{}; ///< The same while their mean contradicts Decided.
  /** The same by samples that are not yet confirmed, and their newest time. */
  gsTime ProvisionalSlumpFor{};
  gsTime ProvisionalAt{};
  /** Start of a sudden slowdown, during which the engine is no home; zero if
   * there is none. */
  gsTime SuspendedAt{};
  /** Since when its share of homes increases again; zero if it has all. */
  gsTime ReturningSince{};
};

/** Time of an engine of speed 1 for samples of one kind. */
struct gsSpeedReference
{
  double Millis = 0; ///< Zero if unknown.
  gsTime LearnedAt{};
};

/** Figures of a service that its engines' speeds are relative to. */
struct gsServiceSpeed
{
  std::array<gsSpeedReference, gsSpeedKindCount> References;
  /** Quantile of the speeds that all hosts report, which compensates a common
   * error of the references. */
  double Anchor = 1;
  /** Estimated 90th percentile of event intervals while prompts are pending,
   * at speed 1; zero if unknown. */
  double PauseEstimateMillis = 0;
  std::uint32_t PauseSamples = 0;
  /** The estimate that decisions use; changes only with hysteresis. */
  double PauseMillis = 0;
};
