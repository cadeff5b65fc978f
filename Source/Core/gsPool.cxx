/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsPool.h"

#include <algorithm>
#include <cmath>

#include "gsAdmit.h"
#include "gsDispatch.h"
#include "gsHealth.h"
#include "gsLimit.h"

char const* gsRefusalCauseName(gsRefusalCause cause)
{
  switch (cause) {
    case gsRefusalCause::QueueFull:
      return "queue_full";
    case gsRefusalCause::Infeasible:
      return "infeasible";
    case gsRefusalCause::Expired:
      return "expired";
    case gsRefusalCause::AllEjected:
      return "all_ejected";
    case gsRefusalCause::NoUpstream:
      break;
  }
  return "no_upstream";
}

gsUpstreamRow* gsFindUpstream(gsPool& pool, std::string_view name)
{
  for (gsUpstreamRow& row : pool.Upstreams) {
    if (row.Name == name) {
      return &row;
    }
  }
  return nullptr;
}

gsTierQueue& gsTierQueueOf(gsPool& pool, std::uint32_t rank)
{
  if (pool.Tiers.size() <= rank) {
    pool.Tiers.resize(rank + 1);
  }
  return pool.Tiers[rank];
}

bool gsIsUsable(gsUpstreamRow const& row)
{
  return !row.Leaving && row.Health != gsHealth::Ejected;
}

std::uint32_t gsFreeSlots(gsUpstreamRow const& row)
{
  if (!gsIsUsable(row)) {
    return 0;
  }
  auto limit = static_cast<std::uint32_t>(row.Limit);
  if (row.Health == gsHealth::Probing) {
    limit = 1;
  }
  return row.Running < limit ? limit - row.Running : 0;
}

double gsTotalLimit(gsPool const& pool)
{
  double total = 0;
  for (gsUpstreamRow const& row : pool.Upstreams) {
    if (gsIsUsable(row)) {
      total += std::floor(row.Limit);
    }
  }
  return total;
}

std::uint32_t gsSharedWaiting(gsTierQueue const& tier)
{
  return tier.Waiting - static_cast<std::uint32_t>(tier.ReservedIds.size());
}

std::uint32_t gsLowerTierWaiting(gsPool const& pool, std::uint32_t rank)
{
  std::uint32_t waiting = 0;
  for (std::size_t i = rank + 1; i < pool.Tiers.size(); ++i) {
    waiting += gsSharedWaiting(pool.Tiers[i]);
  }
  return waiting;
}

std::uint64_t gsLowerTierGrants(gsPool const& pool, std::uint32_t rank)
{
  std::uint64_t granted = 0;
  for (std::size_t i = rank + 1; i < pool.Tiers.size(); ++i) {
    granted += pool.Tiers[i].SharedGrants;
  }
  return granted;
}

void gsPoolTick(gsPool& pool, gsTime now, gsPoolOutput& out)
{
  gsProbeEjected(pool, now, out);
  gsEjectOutliers(pool, now, out);
  gsAdjustLimits(pool, now);
  gsExpireWaiting(pool, now, out);
  gsReserveAgedRequests(pool, now);
  gsDispatchShared(pool, now, out);
  gsDispatchReserved(pool, now, out);
  gsShedExcess(pool, now, out);
  gsShedInfeasible(pool, now, out);
}
