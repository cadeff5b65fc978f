/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Interference of prompt processing with concurrent streams. An engine
 * generates the tokens of its streams in steps. While it processes a prompt,
 * each step also processes a chunk of the prompt and takes longer by that
 * time. The interval between two events of a stream therefore grows by the
 * prompt processing time between them, and a prompt that takes longer than
 * the maximum interval of a stream can make the stream miss its target.
 *
 * A host estimates two times from its own requests: the processing time of a
 * prompt token, and the interval between events without prompt processing.
 * The estimates assume that prompts are processed completely, as they are
 * when the engine has cached none of them, and that the differences between
 * the engines of a service are small compared to those between prompt
 * lengths.
 */
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "gsTypes.h"

/** Classification of requests by interference. Engines are assigned to groups
 * of requests by the same values. */
enum class gsFleetGroup
{
  /** Neither interferes nor is affected by interference; any engine. */
  Any,
  /** Processing of the prompt can make concurrent streams miss their targets.
   */
  Long,
  /** A stream that can miss its target because of concurrent long prompts. */
  Tight
};

/** Speed of a service's engines and its prompt statistics, as measured by this
 * host. */
struct gsEngineTiming
{
  /** Processing time of a prompt token, milliseconds. A low quantile, since
   * the samples include the time for which the request was queued. */
  double TokenMillis = 0.02;
  /** Processing time of a prompt token at an engine of speed 1 without other
   * work, milliseconds; see gsEngineSpeed. */
  double LoadFreeTokenMillis = 0.02;
  /** Classify routes by LoadFreeTokenMillis and with hysteresis, so that load
   * does not move the homes of their subjects. */
  bool IsStable = false;
  /** Interval between events without load, milliseconds; the lowest of the
   * quantiles. Zero before the first sample. */
  double LoadFreeEventMillis = 0;
  /** Number of requests by route, and the last class of routes whose prompt
   * statistics are sufficient; used only if IsStable. */
  std::unordered_map<std::string, std::uint32_t> RequestCounts;
  std::unordered_map<std::string, gsFleetGroup> LastGroups;
  /** Interval between events without prompt processing, milliseconds. A low
   * quantile; zero before the first sample. */
  double EventMillis = 0;
  /** Mean processing time of interfering prompts, milliseconds; zero before
   * the first one. */
  double MeanLongPromptMillis = 0;
  /** Mean ratio of the first-event target of interfering prompts to
   * MeanLongPromptMillis; zero before the first one. */
  double LongTargetRatio = 0;
  /** Mean prompt length by route name; tokens. */
  std::unordered_map<std::string, double> MeanPromptTokens;
};

/** Latency targets of a stream and of the other streams of its service. */
struct gsStreamTargets
{
  /** Maximum interval between events; 0 for no limit. */
  double MaxIntervalMillis = 0;
  /** Minimum of the maximum intervals of all streams of the service; 0 for no
   * limit. */
  double TightestIntervalMillis = 0;
  /** Maximum time until the first event; 0 for no limit. */
  double FirstEventMillis = 0;
};

/**
 * Whether long prompts have such short targets that they miss them when a few
 * of them are queued at an engine. They may then be sent to all engines when
 * those for long prompts are overloaded.
 */
bool gsAreLongPromptsUrgent(gsEngineTiming const& timing);

/** Records the time to the first byte of a request, and the number of prompt
 * tokens that had to be processed. */
void gsRecordPromptTime(gsEngineTiming& timing, double tokens,
                        gsTime timeToFirstByte);

/** Records an interval between two events of a stream. */
void gsRecordServiceEventInterval(gsEngineTiming& timing, gsTime interval);

/** Processing time of a number of prompt tokens, by which it extends the event
 * intervals of concurrent streams; milliseconds. */
double gsPromptMillis(gsEngineTiming const& timing, double tokens);

/**
 * Classifies a request by the mean prompt length of its route, so that all
 * requests for a subject use the same engines. A prompt that by itself makes
 * other streams miss their targets is classified by its own length. Lengths
 * are in tokens. With gsEngineTiming::IsStable, a route keeps its last class
 * until it is clearly within the bounds of another.
 */
gsFleetGroup gsGroupByInterference(gsEngineTiming const& timing,
                                   gsStreamTargets const& targets,
                                   double tokens, double meanTokens,
                                   std::string const& route = {});

/** Updates the prompt statistics with a new request and classifies it. */
gsFleetGroup gsClassifyRequest(gsEngineTiming& timing,
                               std::string const& route,
                               gsStreamTargets const& targets, double tokens);
