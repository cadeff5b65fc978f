/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsServiceEstimate.h"

#include <algorithm>
#include <random>

#include "gsCandidates.h"
#include "gsEngineSpeed.h"
#include "gsExpectedWait.h"
#include "gsPlacementCost.h"

namespace {

/** Probability that the home of a subject has its shared parts cached; the
 * same as in gsPlacementCost. */
constexpr double HomeHitProbability = 0.8;
/** Share of the processing of shared parts that a transfer from the home is
 * expected to save; the product of that probability and of the share that a
 * transfer saves, as in gsPlacementCost. */
constexpr double TransferSavedShare = 0.64;
/** Relative increase of the prompt processing time at an engine whose slots
 * are all in use. Each step generates a token for each stream, which takes
 * about a fifth as long as the piece of prompt that it processes. */
constexpr double DecodingDrag = 0.2;
/** Interval of gsMeasureCapacity. */
constexpr gsTime MeasureInterval = gsMilliseconds(50);
/** Range by which predicted times are varied in gsFindEarliestEngine. */
constexpr double MaxVariation = 1.25;

/** Timing of a service; defaults before anything was measured. */
gsEngineTiming const& TimingOf(gsFleet const& fleet,
                               std::string const& service)
{
  static gsEngineTiming const unknown;
  auto found = fleet.EngineTimings.find(service);
  return found == fleet.EngineTimings.end() ? unknown : found->second;
}

double CorrectionOf(gsFleet const& fleet, gsFleetRow const& row,
                    std::uint32_t priority)
{
  auto overload = fleet.Overload.find(row.Listed.Service);
  return overload == fleet.Overload.end()
           ? 1
           : gsFirstEventCorrection(overload->second, priority);
}

/** Mean correction of all kinds, weighted by their demand. */
double MeanCorrection(gsOverload const& overload)
{
  double sum = 0;
  double weights = 0;
  for (auto const& [priority, kind] : overload.Kinds) {
    sum += kind.Correction * kind.EngineMillis;
    weights += kind.EngineMillis;
  }
  return weights > 0 ? std::min(1.0, sum / weights) : 1;
}

/** Number of rows by which an evaluation of at most gsMaxFullyEvaluated rows
 * of a service advances. */
std::size_t StrideOf(std::vector<std::size_t> const& rows)
{
  return (rows.size() + gsMaxFullyEvaluated - 1) / gsMaxFullyEvaluated;
}

/** Whether an engine can be reached and accepts work. */
bool IsUsable(gsFleet const& fleet, gsFleetRow const& row, gsTime now)
{
  return gsAcceptsRequests(fleet, row, now) && row.AvoidUntil <= now &&
         !gsHallIsUnreachable(fleet.HallReachability, row.Listed.Hall);
}

} // namespace

gsServiceEstimate gsEstimateService(gsFleet const& fleet,
                                    gsFleetRow const& row,
                                    gsPlacementRequest const& request,
                                    std::uint32_t tokensToRead, gsTime now)
{
  gsEngineTiming const& timing = TimingOf(fleet, row.Listed.Service);
  double speed = gsEngineSpeedOf(fleet, row);
  double slots = std::max(1U, row.Listed.Slots);
  gsExpectedWait wait = gsExpectedWaitAt(fleet, row, tokensToRead, now);
  double running = gsTotalLoad(fleet, row, now).OpenAttempts;
  double drag = 1 + DecodingDrag * std::min(1.0, running / slots);
  double promptMillis =
    gsPromptMillis(timing, static_cast<double>(wait.PendingPromptTokens)) *
    drag / speed;
  double stepMillis = timing.EventMillis / speed;
  gsServiceEstimate estimate;
  estimate.FirstEvent =
    wait.SlotWait +
    gsFromSeconds((promptMillis * CorrectionOf(fleet, row, request.Priority) +
                   stepMillis) /
                  1e3);
  double pauseTarget = request.MaxIntervalMillis;
  if (pauseTarget > 0) {
    estimate.PauseShare = (stepMillis + promptMillis) / pauseTarget;
  }
  estimate.EngineMillis =
    gsPromptMillis(timing, tokensToRead + fleet.Settings.StepTokens / slots *
                                            request.AnswerTokens);
  return estimate;
}

std::uint32_t gsLikelyTokensToRead(gsFleet const& fleet, gsFleetRow const& row,
                                   gsPlacementRequest const& request,
                                   bool isHome, gsTime now)
{
  std::uint32_t toRead = gsTokensToRead(fleet, row, request, now);
  std::uint32_t shared = gsSharedTokens(request);
  std::uint32_t cached = request.PromptTokens - toRead;
  double missing = shared - std::min(shared, cached);
  bool isTransferable =
    request.CanTransferParts && shared >= fleet.Settings.MinTransferTokens;
  double saved = isTransferable ? TransferSavedShare : 0;
  saved = isHome ? HomeHitProbability : saved;
  return toRead - static_cast<std::uint32_t>(saved * missing);
}

gsEngineChoice gsFindEarliestEngine(gsFleet& fleet,
                                    gsPlacementRequest const& request,
                                    gsTime now, gsRandom& random)
{
  gsEngineChoice best;
  auto members = fleet.ByService.find(std::string(request.Service));
  if (members == fleet.ByService.end()) {
    return best;
  }
  std::vector<std::size_t> const& rows = members->second;
  std::size_t stride = StrideOf(rows);
  std::uniform_real_distribution<double> vary(1, MaxVariation);
  std::uniform_int_distribution<std::size_t> offset(0, stride - 1);
  double earliest = 0;
  for (std::size_t i = offset(random); i < rows.size(); i += stride) {
    gsFleetRow& row = fleet.Rows[rows[i]];
    bool isEligible =
      gsPlacementDetail::IsEligible(fleet, row, request, now) &&
      gsPlacementDetail::HasQueuePlace(fleet, row, request, now) &&
      gsPlacementDetail::HasToken(fleet, row, now);
    if (!isEligible) {
      continue;
    }
    std::uint32_t toRead =
      gsLikelyTokensToRead(fleet, row, request, false, now);
    gsServiceEstimate estimate =
      gsEstimateService(fleet, row, request, toRead, now);
    double time = gsToSeconds(estimate.FirstEvent) * vary(random);
    if (best.Row == nullptr || time < earliest) {
      best = { &row, toRead, estimate };
      earliest = time;
    }
  }
  return best;
}

void gsMeasureCapacity(gsFleet& fleet, std::string const& service, gsTime now)
{
  gsOverload& overload = fleet.Overload[service];
  gsOverloadCapacity& capacity = overload.Capacity;
  auto members = fleet.ByService.find(service);
  bool isRecent = capacity.MeasuredAt.count() != 0 &&
                  now - capacity.MeasuredAt < MeasureInterval;
  if (isRecent || members == fleet.ByService.end()) {
    return;
  }
  std::vector<std::size_t> const& rows = members->second;
  double speed = 0;
  double totalSpeed = 0;
  double slots = 0;
  double free = 0;
  double pendingTokens = 0;
  std::size_t stride = StrideOf(rows);
  for (std::size_t i = 0; i < rows.size(); i += stride) {
    gsFleetRow const& row = fleet.Rows[rows[i]];
    totalSpeed += gsEngineSpeedOf(fleet, row);
    if (!IsUsable(fleet, row, now)) {
      continue;
    }
    gsOutstandingLoad load = gsTotalLoad(fleet, row, now);
    speed += gsEngineSpeedOf(fleet, row);
    slots += row.Listed.Slots;
    free += row.Listed.Slots - std::min(row.Listed.Slots, load.OpenAttempts);
    pendingTokens += static_cast<double>(load.PendingPromptTokens);
  }
  auto ratio = static_cast<double>(stride);
  capacity.Speed = speed * ratio;
  capacity.TotalSpeed = totalSpeed * ratio;
  capacity.FreeSlotShare = slots > 0 ? free / slots : 0;
  capacity.BacklogMillis =
    gsPromptMillis(TimingOf(fleet, service), pendingTokens * ratio) *
    MeanCorrection(overload);
  capacity.MeasuredAt = now;
}
