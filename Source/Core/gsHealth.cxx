/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsHealth.h"

#include <algorithm>

namespace {

/** Bounds the exponent, so that the backoff does not overflow. */
constexpr std::uint32_t MaxBackoffDoublings = 10;
/** Number of upstreams below which none is considered an outlier. */
constexpr std::size_t MinOutlierPool = 3;
/** Number of consecutive unanswered polls that ejects an upstream. */
constexpr std::uint32_t MaxUnansweredPolls = 2;

/** Ejects an upstream, with a backoff that doubles with each consecutive
 * ejection up to MaxEjectBackoff. */
void Eject(gsPool& pool, gsUpstreamRow& row, char const* cause, gsTime now,
           gsPoolOutput& out)
{
  gsTime backoff = pool.Settings.EjectBackoff *
                   (std::int64_t{ 1 } << std::min(row.ConsecutiveEjections,
                                                  MaxBackoffDoublings));
  row.Health = gsHealth::Ejected;
  row.RetryAt = now + std::min(backoff, pool.Settings.MaxEjectBackoff);
  ++row.ConsecutiveEjections;
  row.ConsecutiveFailures = 0;
  row.EjectedAsUnreachable = false;
  row.TokenIntervalRatio = 0;
  out.Events.push_back({ row.Name, "upstream_ejected", cause });
}

/** Number of upstreams that are ejected or leaving. */
std::size_t CountUnusable(gsPool const& pool)
{
  return static_cast<std::size_t>(
    std::count_if(pool.Upstreams.begin(), pool.Upstreams.end(),
                  [](gsUpstreamRow const& row) { return !gsIsUsable(row); }));
}

/** Whether the outcome counts against the upstream. */
bool IsFailure(gsGrantOutcome outcome)
{
  return outcome == gsGrantOutcome::ConnectionRefused ||
         outcome == gsGrantOutcome::Failed ||
         outcome == gsGrantOutcome::Stalled;
}

} // namespace

void gsUpdateHealth(gsPool& pool, gsUpstreamRow& row, gsGrantOutcome outcome,
                    gsTime now, gsPoolOutput& out)
{
  if (outcome == gsGrantOutcome::Completed) {
    row.ConsecutiveFailures = 0;
    if (row.Health == gsHealth::Probing) {
      row.Health = gsHealth::Healthy;
      row.ConsecutiveEjections = 0;
      out.Events.push_back({ row.Name, "upstream_returned", "probe" });
    }
    return;
  }
  if (!IsFailure(outcome)) {
    return;
  }
  ++row.ConsecutiveFailures;
  bool refused = outcome == gsGrantOutcome::ConnectionRefused;
  bool probeFailed = row.Health == gsHealth::Probing;
  if (row.Health != gsHealth::Ejected &&
      (refused || probeFailed ||
       row.ConsecutiveFailures >= pool.Settings.EjectAfterFailures)) {
    Eject(pool, row, refused ? "refused" : "failures", now, out);
    row.EjectedAsUnreachable = refused;
  }
}

void gsRecordPoll(gsPool& pool, std::string_view upstream, bool answered,
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
      row->EjectedAsUnreachable = true;
    }
    return;
  }
  row->UnansweredPolls = 0;
  if (row->Health == gsHealth::Ejected && row->EjectedAsUnreachable) {
    row->Health = gsHealth::Probing;
    out.Events.push_back({ row->Name, "upstream_probing", "reachable" });
  }
}

void gsEjectOutliers(gsPool& pool, gsTime now, gsPoolOutput& out)
{
  if (pool.Upstreams.size() < MinOutlierPool) {
    return;
  }
  std::vector<double> ratios;
  for (gsUpstreamRow const& row : pool.Upstreams) {
    if (gsIsUsable(row) && row.TokenIntervalRatio > 0) {
      ratios.push_back(row.TokenIntervalRatio);
    }
  }
  if (ratios.size() < MinOutlierPool) {
    return;
  }
  auto median =
    ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
  std::nth_element(ratios.begin(), median, ratios.end());
  double maxRatio = std::max(1.0, *median * pool.Settings.OutlierFactor);
  for (gsUpstreamRow& row : pool.Upstreams) {
    bool mayEject = 2 * (CountUnusable(pool) + 1) <= pool.Upstreams.size();
    if (mayEject && row.Health == gsHealth::Healthy &&
        row.TokenIntervalRatio > maxRatio) {
      Eject(pool, row, "outlier", now, out);
    }
  }
}

void gsProbeEjected(gsPool& pool, gsTime now, gsPoolOutput& out)
{
  for (gsUpstreamRow& row : pool.Upstreams) {
    if (row.Health == gsHealth::Ejected && row.RetryAt <= now) {
      row.Health = gsHealth::Probing;
      out.Events.push_back({ row.Name, "upstream_probing", "backoff_over" });
    }
  }
}
