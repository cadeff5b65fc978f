/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsHealth.h"

#include <algorithm>

namespace {

constexpr std::uint32_t MaxBackoffDoublings = 10;
constexpr std::size_t MinOutlierPool = 3;
constexpr std::uint32_t MaxUnansweredPolls = 2;

void Eject(gsPool& pool, gsUpstreamRow& row, char const* cause, gsTime now,
           gsPoolOutput& out)
{
  gsTime backoff =
    pool.Settings.EjectBase *
    (std::int64_t{ 1 } << std::min(row.Ejections, MaxBackoffDoublings));
  row.Health = gsHealth::Ejected;
  row.RetryAt = now + std::min(backoff, pool.Settings.EjectMax);
  ++row.Ejections;
  row.Failures = 0;
  row.Unreachable = false;
  row.Gap = 0;
  out.Events.push_back({ row.Name, "upstream_ejected", cause });
}

std::size_t EjectedCount(gsPool const& pool)
{
  return static_cast<std::size_t>(
    std::count_if(pool.Upstreams.begin(), pool.Upstreams.end(),
                  [](gsUpstreamRow const& row) { return !gsUsable(row); }));
}

bool IsFailure(gsOutcome outcome)
{
  return outcome == gsOutcome::Refused || outcome == gsOutcome::Failed ||
         outcome == gsOutcome::Stalled;
}

} // namespace

void gsJudgeOutcome(gsPool& pool, gsUpstreamRow& row, gsOutcome outcome,
                    gsTime now, gsPoolOutput& out)
{
  if (outcome == gsOutcome::Whole) {
    row.Failures = 0;
    if (row.Health == gsHealth::Probing) {
      row.Health = gsHealth::Healthy;
      row.Ejections = 0;
      out.Events.push_back({ row.Name, "upstream_returned", "probe" });
    }
    return;
  }
  if (!IsFailure(outcome)) {
    return;
  }
  ++row.Failures;
  bool refused = outcome == gsOutcome::Refused;
  bool probeFailed = row.Health == gsHealth::Probing;
  if (row.Health != gsHealth::Ejected &&
      (refused || probeFailed || row.Failures >= pool.Settings.EjectAfter)) {
    Eject(pool, row, refused ? "refused" : "failures", now, out);
    row.Unreachable = refused;
  }
}

void gsNotePoll(gsPool& pool, std::string_view upstream, bool answered,
                gsTime now, gsPoolOutput& out)
{
  gsUpstreamRow* row = gsFindUpstream(pool, upstream);
  if (row == nullptr) {
    return;
  }
  if (!answered) {
    ++row->UnansweredPolls;
    if (row->UnansweredPolls >= MaxUnansweredPolls &&
        row->Health != gsHealth::Ejected) {
      Eject(pool, *row, "unreachable", now, out);
      row->Unreachable = true;
    }
    return;
  }
  row->UnansweredPolls = 0;
  if (row->Health == gsHealth::Ejected && row->Unreachable) {
    row->Health = gsHealth::Probing;
    out.Events.push_back({ row->Name, "upstream_probing", "reachable" });
  }
}

void gsEjectOutliers(gsPool& pool, gsTime now, gsPoolOutput& out)
{
  if (pool.Upstreams.size() < MinOutlierPool) {
    return;
  }
  std::vector<double> gaps;
  for (gsUpstreamRow const& row : pool.Upstreams) {
    if (gsUsable(row) && row.Gap > 0) {
      gaps.push_back(row.Gap);
    }
  }
  if (gaps.size() < MinOutlierPool) {
    return;
  }
  auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
  std::nth_element(gaps.begin(), middle, gaps.end());
  double bound = std::max(1.0, *middle * pool.Settings.OutlierFactor);
  for (gsUpstreamRow& row : pool.Upstreams) {
    bool roomLeft = 2 * (EjectedCount(pool) + 1) <= pool.Upstreams.size();
    if (roomLeft && row.Health == gsHealth::Healthy && row.Gap > bound) {
      Eject(pool, row, "outlier", now, out);
    }
  }
}

void gsReturnEjected(gsPool& pool, gsTime now, gsPoolOutput& out)
{
  for (gsUpstreamRow& row : pool.Upstreams) {
    if (row.Health == gsHealth::Ejected && row.RetryAt <= now) {
      row.Health = gsHealth::Probing;
      out.Events.push_back({ row.Name, "upstream_probing", "backoff_over" });
    }
  }
}
