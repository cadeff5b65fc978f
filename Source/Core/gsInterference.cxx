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

/** Quantile of the event intervals that is considered free of load. */
constexpr double LoadFreeQuantile = 0.05;
/** Share of a bound below which a route leaves its class. Without it, routes
 * changed their class, and all their subjects their homes, within seconds. */
constexpr double LeaveShare = 0.8;
/** Number of requests from which a new one has a constant weight in the stable
 * mean prompt length of a route. */
constexpr std::uint32_t StableMeanCount = 100;
/** Number of requests from which a route keeps its class. The first prompts
 * may have ten times the mean length. */
constexpr std::uint32_t MinClassifiedCount = 20;

/** Updates a low-quantile estimate with a sample. \return The new estimate. */
double UpdateQuantile(double estimate, double sample,
                      double quantile = Quantile)
{
  double isBelow = sample < estimate ? 1 : 0;
  return estimate * (1 + QuantileStep * (quantile - isBelow));
}

/** Whether a route had a class at its last request and keeps it. */
bool WasInGroup(gsEngineTiming const& timing, std::string const& route,
                gsFleetGroup group)
{
  auto last = timing.LastGroups.find(route);
  return timing.IsStable && last != timing.LastGroups.end() &&
         last->second == group;
}

/** Weight of a new prompt in the mean prompt length of a route. */
double MeanWeight(gsEngineTiming& timing, std::string const& route,
                  double mean)
{
  if (timing.IsStable) {
    std::uint32_t& count = timing.RequestCounts[route];
    count = std::min(count + 1, StableMeanCount);
    return 1.0 / count;
  }
  return mean <= 0 ? 1 : MeanSmoothing;
}

/** Whether prompt processing for a time exceeds the share of a stream's
 * maximum event interval that remains after the interval without interference.
 */
bool ExceedsShare(gsEngineTiming const& timing, double promptMillis,
                  double targetMillis, double share)
{
  double eventMillis =
    timing.IsStable ? timing.LoadFreeEventMillis : timing.EventMillis;
  double slackMillis = targetMillis * share - eventMillis;
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
  double& loadFree = timing.LoadFreeEventMillis;
  loadFree = loadFree <= 0
               ? millis
               : UpdateQuantile(loadFree, millis, LoadFreeQuantile);
}

double gsPromptMillis(gsEngineTiming const& timing, double tokens)
{
  return tokens *
         (timing.IsStable ? timing.LoadFreeTokenMillis : timing.TokenMillis);
}

gsFleetGroup gsGroupByInterference(gsEngineTiming const& timing,
                                   gsStreamTargets const& targets,
                                   double tokens, double meanTokens,
                                   std::string const& route)
{
  double tightest = targets.TightestIntervalMillis;
  // A route that has a class leaves it only below LeaveShare of the bound.
  bool wasLong = WasInGroup(timing, route, gsFleetGroup::Long);
  bool wasTight = WasInGroup(timing, route, gsFleetGroup::Tight);
  double longScale = wasLong ? 1 / LeaveShare : 1;
  double tightScale = wasTight ? 1 / LeaveShare : 1;
  bool isLong =
    ExceedsShare(timing, longScale * gsPromptMillis(timing, meanTokens),
                 tightest, MaxMeanShare) ||
    ExceedsShare(timing, gsPromptMillis(timing, tokens), tightest,
                 MaxSingleShare);
  if (isLong) {
    return gsFleetGroup::Long;
  }
  bool isTightest =
    targets.MaxIntervalMillis > 0 && targets.MaxIntervalMillis <= tightest;
  bool isAffected =
    isTightest ||
    ExceedsShare(timing, tightScale * timing.MeanLongPromptMillis,
                 targets.MaxIntervalMillis, MaxMeanShare);
  return isAffected ? gsFleetGroup::Tight : gsFleetGroup::Any;
}

gsFleetGroup gsClassifyRequest(gsEngineTiming& timing,
                               std::string const& route,
                               gsStreamTargets const& targets, double tokens)
{
  double& mean = timing.MeanPromptTokens[route];
  mean += MeanWeight(timing, route, mean) * (tokens - mean);
  gsFleetGroup group =
    gsGroupByInterference(timing, targets, tokens, mean, route);
  if (timing.IsStable && timing.RequestCounts[route] >= MinClassifiedCount) {
    // A single very long prompt does not change the class of its route.
    timing.LastGroups[route] =
      gsGroupByInterference(timing, targets, mean, mean, route);
  }
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
