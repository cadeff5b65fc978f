/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsInterference.h"

#include <algorithm>

namespace {

/**
 * Share of a stream's maximum event interval that the mean prompt of a route
 * may take. Below 1, since two prompts are often processed at a time: hosts
 * learn too late what the others have sent.
 */
constexpr double MaxMeanShare = 0.75;
/** The same share for a single prompt. */
constexpr double MaxSingleShare = 1;
/** Weight of a new prompt in the mean prompt length of a route. */
constexpr double MeanSmoothing = 0.05;
/**
 * Ratio of target to processing time below which long prompts have too little
 * time to wait for others. At a ratio of about 2.5, 0.30 of the long prompts
 * on dedicated engines missed their targets. The bound is above that ratio.
 */
constexpr double UrgentTargetRatio = 4;
/** Minimum prompt length of a speed sample, tokens. The time to first byte of
 * shorter prompts depends little on the processing speed. */
constexpr double MinSampleTokens = 1000;
/** Quantile that is estimated from measured times, and the relative step of
 * the estimate per sample. */
constexpr double Quantile = 0.2;
constexpr double QuantileStep = 0.03;
/** Weight of a new long prompt in the means over long prompts. */
constexpr double LongPromptSmoothing = 0.05;
/** Bounds of the estimated processing time of a prompt token, milliseconds. */
constexpr double MinTokenMillis = 0.002;
constexpr double MaxTokenMillis = 1.0;

/** Updates a low-quantile estimate with a sample. \return The new estimate. */
double UpdateQuantile(double estimate, double sample)
{
  double isBelow = sample < estimate ? 1 : 0;
  return estimate * (1 + QuantileStep * (Quantile - isBelow));
}

/** Whether prompt processing for a time exceeds the share of a stream's
 * maximum event interval that remains after the interval without interference.
 */
bool ExceedsShare(gsEngineTiming const& timing, double promptMillis,
                  double targetMillis, double share)
{
  double slackMillis = targetMillis * share - timing.EventMillis;
  return targetMillis > 0 && promptMillis > slackMillis;
}

} // namespace

bool gsAreLongPromptsUrgent(gsEngineTiming const& timing)
{
  return timing.LongTargetRatio > 0 &&
         timing.LongTargetRatio < UrgentTargetRatio;
}

void gsRecordPromptTime(gsEngineTiming& timing, double tokens,
                        gsTime timeToFirstByte)
{
  if (tokens < MinSampleTokens) {
    return;
  }
  double sample = gsToSeconds(timeToFirstByte) * 1e3 / tokens;
  timing.TokenMillis = std::clamp(UpdateQuantile(timing.TokenMillis, sample),
                                  MinTokenMillis, MaxTokenMillis);
}

void gsRecordServiceEventInterval(gsEngineTiming& timing, gsTime interval)
{
  double millis = gsToSeconds(interval) * 1e3;
  timing.EventMillis = timing.EventMillis <= 0
                         ? millis
                         : UpdateQuantile(timing.EventMillis, millis);
}

double gsPromptMillis(gsEngineTiming const& timing, double tokens)
{
  return tokens * timing.TokenMillis;
}

gsFleetGroup gsGroupByInterference(gsEngineTiming const& timing,
                                   gsStreamTargets const& targets,
                                   double tokens, double meanTokens)
{
  double tightest = targets.TightestIntervalMillis;
  bool isLong = ExceedsShare(timing, gsPromptMillis(timing, meanTokens),
                             tightest, MaxMeanShare) ||
                ExceedsShare(timing, gsPromptMillis(timing, tokens), tightest,
                             MaxSingleShare);
  if (isLong) {
    return gsFleetGroup::Long;
  }
  bool isTightest =
    targets.MaxIntervalMillis > 0 && targets.MaxIntervalMillis <= tightest;
  bool isAffected =
    isTightest || ExceedsShare(timing, timing.MeanLongPromptMillis,
                               targets.MaxIntervalMillis, MaxMeanShare);
  return isAffected ? gsFleetGroup::Tight : gsFleetGroup::Any;
}

gsFleetGroup gsClassifyRequest(gsEngineTiming& timing,
                               std::string const& route,
                               gsStreamTargets const& targets, double tokens)
{
  double& mean = timing.MeanPromptTokens[route];
  mean += (mean <= 0 ? 1 : MeanSmoothing) * (tokens - mean);
  gsFleetGroup group = gsGroupByInterference(timing, targets, tokens, mean);
  if (group == gsFleetGroup::Long) {
    double millis = gsPromptMillis(timing, tokens);
    double weight = timing.MeanLongPromptMillis <= 0 ? 1 : LongPromptSmoothing;
    timing.MeanLongPromptMillis +=
      weight * (millis - timing.MeanLongPromptMillis);
    double ratio = targets.FirstEventMillis / timing.MeanLongPromptMillis;
    weight = timing.LongTargetRatio <= 0 ? 1 : LongPromptSmoothing;
    timing.LongTargetRatio += weight * (ratio - timing.LongTargetRatio);
  }
  return group;
}
