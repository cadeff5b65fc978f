/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLimit.h"

#include <algorithm>

namespace {

/** Factor of a multiplicative decrease, after late answers. */
constexpr double DecreaseFactor = 0.9;
/** Factor of a multiplicative decrease, after a report of queued requests. */
constexpr double ReportDecreaseFactor = 0.95;
/** Step of an additive increase. */
constexpr double IncreaseStep = 1.0;
/** Weight of a new sample in the smoothed token interval. */
constexpr double IntervalSmoothing = 0.1;
/** A limit increases only while the highest mean ratio of token interval to
 * target is below this value. */
constexpr double MaxIncreaseRatio = 0.92;
/** Number of samples below which a window is not evaluated. */
constexpr std::uint32_t MinSamples = 8;
/** Number of samples below which a tier's late share is ignored. */
constexpr std::uint32_t MinTierSamples = 4;
/** Share of the target for the first token that an upstream may take for it,
 * measured from sending, before the answer counts as late. */
constexpr double MaxFirstTokenShare = 0.8;

std::uint32_t SampleCount(gsUpstreamRow const& row)
{
  std::uint32_t samples = 0;
  for (gsLatencyWindow const& tier : row.LatencyByTier) {
    samples += tier.Samples;
  }
  return samples;
}

/**
 * Whether more than a given share of any tier's samples is late. Each tier is
 * evaluated separately, because in a total over all tiers the many samples of
 * a tier with lenient targets would hide the late answers of a strict one.
 */
bool IsAnyTierLate(gsUpstreamRow const& row, double share)
{
  return std::any_of(row.LatencyByTier.begin(), row.LatencyByTier.end(),
                     [share](gsLatencyWindow const& tier) {
                       return tier.Samples >= MinTierSamples &&
                              tier.LateSamples > share * tier.Samples;
                     });
}

/** The highest mean ratio of token interval to target of any tier. */
double MaxIntervalRatio(gsUpstreamRow const& row)
{
  double highest = 0;
  for (gsLatencyWindow const& tier : row.LatencyByTier) {
    if (tier.IntervalSamples > 0) {
      highest =
        std::max(highest, tier.IntervalRatioSum / tier.IntervalSamples);
    }
  }
  return highest;
}

} // namespace

void gsRecordLatency(gsPool& pool, gsRequestId const& id,
                     gsTime timeToFirstToken, gsTime tokenInterval)
{
  auto running = pool.Running.find(id);
  if (running == pool.Running.end()) {
    return;
  }
  gsUpstreamRow* row = gsFindUpstream(pool, running->second.Upstream);
  if (row == nullptr) {
    return;
  }
  gsRunningRow const& request = running->second;
  if (row->LatencyByTier.size() <= request.Tier) {
    row->LatencyByTier.resize(request.Tier + 1);
  }
  gsLatencyWindow& counts = row->LatencyByTier[request.Tier];
  bool late = false;
  if (timeToFirstToken.count() > 0) {
    late = gsToSeconds(timeToFirstToken) >
           MaxFirstTokenShare * gsToSeconds(request.FirstTokenTarget);
  }
  if (tokenInterval.count() > 0 && request.TokenIntervalTarget.count() > 0) {
    double ratio =
      gsToSeconds(tokenInterval) / gsToSeconds(request.TokenIntervalTarget);
    late = late || ratio > 1.0;
    ++counts.IntervalSamples;
    counts.IntervalRatioSum += ratio;
    row->TokenIntervalRatio =
      row->TokenIntervalRatio == 0
        ? ratio
        : row->TokenIntervalRatio +
            IntervalSmoothing * (ratio - row->TokenIntervalRatio);
  }
  ++counts.Samples;
  counts.LateSamples += late ? 1 : 0;
}

void gsAdjustLimits(gsPool& pool, gsTime now)
{
  for (gsUpstreamRow& row : pool.Upstreams) {
    if (!row.Adaptive || now - row.WindowStart < pool.Settings.LimitWindow ||
        SampleCount(row) < MinSamples) {
      continue;
    }
    if (IsAnyTierLate(row, pool.Settings.MaxLateShare)) {
      row.Limit = std::max(1.0, row.Limit * DecreaseFactor);
    } else if (row.WasSaturated && row.ReportedWaiting == 0 &&
               MaxIntervalRatio(row) < MaxIncreaseRatio) {
      row.Limit = std::min(row.MaxLimit, row.Limit + IncreaseStep);
    }
    row.WindowStart = now;
    row.LatencyByTier.clear();
    row.WasSaturated = false;
  }
}

void gsApplyUpstreamLoad(gsPool& pool, std::string_view upstream,
                         std::uint32_t waiting)
{
  gsUpstreamRow* row = gsFindUpstream(pool, upstream);
  if (row == nullptr) {
    return;
  }
  row->ReportedWaiting = waiting;
  if (waiting > 0 && row->Adaptive) {
    row->Limit = std::max(1.0, row->Limit * ReportDecreaseFactor);
  }
}
