/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLimit.h"

#include <algorithm>

namespace {

constexpr double Decrease = 0.9;
constexpr double ReportDecrease = 0.95;
constexpr double Increase = 1.0;
constexpr double GapSmoothing = 0.1;
constexpr std::uint32_t MinSamples = 8;
/** Share of the first-token target that an upstream may use itself. */
constexpr double FirstTokenShare = 0.8;

} // namespace

void gsObserve(gsPool& pool, gsRequestId const& id, gsTime firstToken,
               gsTime gap)
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
  bool late = false;
  if (firstToken.count() > 0) {
    late = gsToSeconds(firstToken) >
           FirstTokenShare * gsToSeconds(request.FirstTokenTarget);
  }
  if (gap.count() > 0 && request.GapTarget.count() > 0) {
    double ratio = gsToSeconds(gap) / gsToSeconds(request.GapTarget);
    late = late || ratio > 1.0;
    row->Gap =
      row->Gap == 0 ? ratio : row->Gap + GapSmoothing * (ratio - row->Gap);
  }
  ++row->Samples;
  row->Late += late ? 1 : 0;
}

void gsAdjustLimits(gsPool& pool, gsTime now)
{
  for (gsUpstreamRow& row : pool.Upstreams) {
    if (!row.Adaptive || now - row.WindowStart < pool.Settings.LimitWindow ||
        row.Samples < MinSamples) {
      continue;
    }
    if (row.Late > pool.Settings.LateShare * row.Samples) {
      row.Limit = std::max(1.0, row.Limit * Decrease);
    } else if (row.Saturated && row.ReportedWaiting == 0) {
      row.Limit = std::min(row.MaxLimit, row.Limit + Increase);
    }
    row.WindowStart = now;
    row.Samples = 0;
    row.Late = 0;
    row.Saturated = false;
  }
}

void gsReportLoad(gsPool& pool, std::string_view upstream,
                  std::uint32_t waiting)
{
  gsUpstreamRow* row = gsFindUpstream(pool, upstream);
  if (row == nullptr) {
    return;
  }
  row->ReportedWaiting = waiting;
  if (waiting > 0 && row->Adaptive) {
    row->Limit = std::max(1.0, row->Limit * ReportDecrease);
  }
}
