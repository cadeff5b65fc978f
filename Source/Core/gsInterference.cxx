/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsInterference.h"

#include <algorithm>

namespace {

/**
 * Share of a stream's longest pause that a kind's mean prompt may take. Two
 * are often read at a time, as hosts learn too late of what the others have
 * sent.
 */
constexpr double MeanShare = 0.75;
/** The same of a single prompt, read alone. */
constexpr double SingleShare = 1;
constexpr double MeanSmoothing = 0.05;
/**
 * Prompts that are pressed for time cannot wait for so many others. With room
 * for some 2.5, 0.30 of those on engines of their own were late. The bound is
 * a guess above that and was not varied.
 */
constexpr double PressedRoom = 4;
/** Shorter prompts say little of how fast an engine reads; tokens. */
constexpr double LeastTokens = 1000;
/** Quantile and step of the measured times, as for an engine's own pace. */
constexpr double Quantile = 0.2;
constexpr double QuantileStep = 0.03;
constexpr double LongReadSmoothing = 0.05;
/** Bounds on what is believed of a token; milliseconds. */
constexpr double LeastTokenMillis = 0.002;
constexpr double MostTokenMillis = 1.0;

/** Moves an estimate of a low quantile towards a sample. */
double Moved(double estimate, double sample)
{
  double below = sample < estimate ? 1 : 0;
  return estimate * (1 + QuantileStep * (Quantile - below));
}

/** Whether a read of so long may make a stream miss its target. */
bool TooLong(gsEnginePace const& pace, double readMillis, double targetMillis,
             double share)
{
  double spare = targetMillis * share - pace.EventMillis;
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
  pace.TokenMillis = std::clamp(Moved(pace.TokenMillis, sample),
                                LeastTokenMillis, MostTokenMillis);
}

void gsNoteEvent(gsEnginePace& pace, gsTime pause)
{
  double millis = gsToSeconds(pause) * 1e3;
  pace.EventMillis =
    pace.EventMillis <= 0 ? millis : Moved(pace.EventMillis, millis);
}

double gsReadMillis(gsEnginePace const& pace, double tokens)
{
  return tokens * pace.TokenMillis;
}

gsFleetGroup gsGroupByInterference(gsEnginePace const& pace,
                                   gsPauseTargets const& targets,
                                   double tokens, double meanTokens)
{
  double tightest = targets.TightestMillis;
  bool isLong =
    TooLong(pace, gsReadMillis(pace, meanTokens), tightest, MeanShare) ||
    TooLong(pace, gsReadMillis(pace, tokens), tightest, SingleShare);
  if (isLong) {
    return gsFleetGroup::Long;
  }
  bool isTightest = targets.OwnMillis > 0 && targets.OwnMillis <= tightest;
  bool suffers = isTightest || TooLong(pace, pace.LongReadMillis,
                                       targets.OwnMillis, MeanShare);
  return suffers ? gsFleetGroup::Tight : gsFleetGroup::Any;
}

gsFleetGroup gsNoteInterference(gsEnginePace& pace, std::string const& route,
                                gsPauseTargets const& targets, double tokens)
{
  double& mean = pace.MeanPrompts[route];
  mean += (mean <= 0 ? 1 : MeanSmoothing) * (tokens - mean);
  gsFleetGroup group = gsGroupByInterference(pace, targets, tokens, mean);
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
