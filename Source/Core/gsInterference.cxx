/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsInterference.h"

#include <algorithm>

namespace {

/**
 * Share of a stream's longest pause that one prompt may take. Two are often
 * read at a time, as hosts learn too late of what the others have sent.
 */
constexpr double PromptShare = 0.5;
/** Prompts that are pressed for time cannot wait for so many others. */
constexpr double PressedRoom = 4;
/** Shorter prompts say little of how fast an engine reads; tokens. */
constexpr double LeastTokens = 1000;
/** Quantile and step of the measured times, as for an engine's own pace. */
constexpr double Quantile = 0.2;
constexpr double QuantileStep = 0.03;
constexpr double LongReadSmoothing = 0.05;
/** Quantile and step of the pauses of a busy engine, which are rare: from a
 * short pause, a tenfold one is believed after some 16 of its kind. */
constexpr double BusyQuantile = 0.995;
constexpr double BusyStep = 0.15;
/** Pauses of a busy engine, as shares of the target, from which on a miss is
 * thought possible, and at which it is thought sure. */
constexpr double RiskFrom = 0.8;
constexpr double RiskSure = 1.6;
/** Bounds on what is believed of a token; milliseconds. */
constexpr double LeastTokenMillis = 0.002;
constexpr double MostTokenMillis = 1.0;

/** Moves an estimate of a quantile towards a sample. */
double Moved(double estimate, double sample, double quantile, double step)
{
  double below = sample < estimate ? 1 : 0;
  return estimate * (1 + step * (quantile - below));
}

/** Whether a read of so long may make a stream miss its target. */
bool TooLong(gsEnginePace const& pace, double readMillis, double targetMillis)
{
  double spare = targetMillis * PromptShare - pace.EventMillis;
  return targetMillis > 0 && readMillis > spare;
}

} // namespace

bool gsIsPressed(gsEnginePace const& pace)
{
  return pace.LongRoom > 0 && pace.LongRoom < PressedRoom;
}

void gsNoteReading(gsEnginePace& pace, double tokens, gsTime took)
{
  if (tokens < LeastTokens) {
    return;
  }
  double sample = gsToSeconds(took) * 1e3 / tokens;
  pace.TokenMillis =
    std::clamp(Moved(pace.TokenMillis, sample, Quantile, QuantileStep),
               LeastTokenMillis, MostTokenMillis);
}

void gsNoteEvent(gsEnginePace& pace, gsTime pause)
{
  double millis = gsToSeconds(pause) * 1e3;
  if (pace.EventMillis <= 0) {
    pace.EventMillis = millis;
    pace.BusyMillis = millis;
  }
  pace.EventMillis = Moved(pace.EventMillis, millis, Quantile, QuantileStep);
  pace.BusyMillis = Moved(pace.BusyMillis, millis, BusyQuantile, BusyStep);
}

double gsReadMillis(gsEnginePace const& pace, double tokens)
{
  return tokens * pace.TokenMillis;
}

double gsPauseRisk(gsEnginePace const& pace, double engineMillis,
                   double targetMillis)
{
  if (pace.EventMillis <= 0 || targetMillis <= 0) {
    return 0;
  }
  double slowness = engineMillis > 0 ? engineMillis / pace.EventMillis : 1;
  double share = pace.BusyMillis * slowness / targetMillis;
  return std::clamp((share - RiskFrom) / (RiskSure - RiskFrom), 0.0, 1.0);
}

gsFleetGroup gsGroupByInterference(gsEnginePace const& pace,
                                   gsPauseTargets const& targets,
                                   double tokens)
{
  if (TooLong(pace, gsReadMillis(pace, tokens), targets.TightestMillis)) {
    return gsFleetGroup::Long;
  }
  bool isTightest =
    targets.OwnMillis > 0 && targets.OwnMillis <= targets.TightestMillis;
  bool suffers =
    isTightest || TooLong(pace, pace.LongReadMillis, targets.OwnMillis);
  return suffers ? gsFleetGroup::Tight : gsFleetGroup::Any;
}

gsFleetGroup gsNoteInterference(gsEnginePace& pace,
                                gsPauseTargets const& targets, double tokens)
{
  gsFleetGroup group = gsGroupByInterference(pace, targets, tokens);
  if (group == gsFleetGroup::Long) {
    double millis = gsReadMillis(pace, tokens);
    double step = pace.LongReadMillis <= 0 ? 1 : LongReadSmoothing;
    pace.LongReadMillis += step * (millis - pace.LongReadMillis);
    double room = targets.FirstMillis / pace.LongReadMillis;
    step = pace.LongRoom <= 0 ? 1 : LongReadSmoothing;
    pace.LongRoom += step * (room - pace.LongRoom);
  }
  return group;
}
