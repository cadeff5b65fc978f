/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsAdmit.h"

#include <algorithm>
#include <optional>

namespace {

/** Assumed time for which a request holds a slot, before there are samples. */
constexpr double DefaultHoldSeconds = 1.0;
/** Number of samples below which no request is refused as infeasible. */
constexpr std::uint64_t MinHoldSamples = 16;
constexpr gsTime MinRetryAfter = gsSeconds(1);
constexpr gsTime MaxRetryAfter = gsSeconds(60);
/** Minimum interval between runs of gsExpireWaiting, which scans the whole
 * waiting table and would be too expensive in every tick. */
constexpr gsTime ExpiryInterval = gsMilliseconds(10);
/** Minimum interval between runs of gsShedInfeasible. */
constexpr gsTime ShedInterval = gsMilliseconds(50);
/** Ratio of expected to remaining waiting time above which a request is
 * refused; above 1 because the estimates are rough. */
constexpr double InfeasibleMargin = 1.5;

/** Removes a waiting request and appends its refusal to the output. */
void Refuse(gsPool& pool, gsRequestId const& id, gsRefusalCause cause,
            gsTime now, gsPoolOutput& out)
{
  gsWaitingRow const& row = pool.Waiting.at(id);
  gsRefusal refusal;
  refusal.Id = id;
  refusal.Link = row.Link;
  refusal.Pool = pool.Name;
  refusal.Cause = cause;
  refusal.Tier = row.Request.Tier;
  refusal.Organisation = row.Request.Organisation;
  refusal.Template = row.Request.Template;
  refusal.WaitTime = now - row.ArrivedAt;
  refusal.LowerTierWaiting = gsLowerTierWaiting(pool, row.Request.Tier);
  refusal.LowerTierGrants =
    gsLowerTierGrants(pool, row.Request.Tier) - row.LowerTierGrantsAtArrival;
  refusal.RetryAfter = std::clamp(gsExpectedWait(pool, row.Request.Tier),
                                  MinRetryAfter, MaxRetryAfter);
  gsRemoveWaiting(pool, id);
  out.Refusals.push_back(std::move(refusal));
}

/** The newest waiting request of a list without a reserved turn; null if there
 * is none. */
gsWaitingRow const* NewestUnreserved(gsPool const& pool,
                                     std::deque<gsRequestId> const& ids)
{
  for (auto id = ids.rbegin(); id != ids.rend(); ++id) {
    auto row = pool.Waiting.find(*id);
    if (row != pool.Waiting.end() && !row->second.HasReservedTurn) {
      return &row->second;
    }
  }
  return nullptr;
}

/**
 * The request of a tier that is refused next: the newest of those that will
 * miss their target, or else the newest of all. Requests with a reserved turn
 * are not refused. Empty if there is no other.
 */
std::optional<gsRequestId> NextToShed(gsPool const& pool,
                                      gsTierQueue const& tier)
{
  gsWaitingRow const* newest = nullptr;
  bool newestIsLate = false;
  auto consider = [&](gsWaitingRow const* row, bool isLate) {
    if (row == nullptr || (newestIsLate && !isLate)) {
      return;
    }
    if (newest == nullptr || (isLate && !newestIsLate) ||
        row->Sequence > newest->Sequence) {
      newest = row;
      newestIsLate = isLate;
    }
  };
  for (auto const& [name, queue] : tier.Organisations) {
    consider(NewestUnreserved(pool, queue.LateIds), true);
    consider(NewestUnreserved(pool, queue.InTargetIds), false);
  }
  if (newest == nullptr) {
    return std::nullopt;
  }
  return newest->Request.Id;
}

/** The lowest tier with requests in the shared queue; null if there is none.
 */
gsTierQueue* LowestTier(gsPool& pool)
{
  for (auto tier = pool.Tiers.rbegin(); tier != pool.Tiers.rend(); ++tier) {
    if (gsSharedWaiting(*tier) > 0) {
      return &*tier;
    }
  }
  return nullptr;
}

/** Whether the request's expected wait exceeds its remaining time by more than
 * the margin. */
bool IsInfeasible(gsPool const& pool, gsWaitingRow const& row, gsTime now)
{
  if (pool.Estimates.HoldSeconds.Count() < MinHoldSamples) {
    return false;
  }
  double remaining = gsToSeconds(row.Deadline - now);
  double expected = gsToSeconds(gsExpectedWait(pool, row.Request.Tier));
  return expected > remaining * InfeasibleMargin;
}

} // namespace

void gsAdmit(gsPool& pool, gsGrantRequest request, std::uint64_t link,
             gsTime now)
{
  gsTierQueue& tier = gsTierQueueOf(pool, request.Tier);
  gsOrganisationQueue& queue = tier.Organisations[request.Organisation];
  if (queue.Waiting == 0) {
    // Idle time earns no credit: the organisation resumes at the tier's
    // virtual time.
    queue.WeightedService = std::max(queue.WeightedService, tier.VirtualTime);
  }
  gsWaitingRow row;
  row.ArrivedAt = now - request.PriorWaitTime;
  row.Deadline = row.ArrivedAt + request.MaxWait;
  row.Link = link;
  row.Sequence = pool.NextSequence++;
  row.LowerTierGrantsAtArrival = gsLowerTierGrants(pool, request.Tier);
  gsRequestId id = request.Id;
  row.Request = std::move(request);
  if (!pool.Waiting.emplace(id, std::move(row)).second) {
    return;
  }
  queue.InTargetIds.push_back(id);
  ++queue.Waiting;
  ++tier.Waiting;
}

void gsRemoveWaiting(gsPool& pool, gsRequestId const& id)
{
  auto found = pool.Waiting.find(id);
  if (found == pool.Waiting.end()) {
    return;
  }
  gsWaitingRow const& row = found->second;
  gsTierQueue& tier = gsTierQueueOf(pool, row.Request.Tier);
  gsOrganisationQueue& queue = tier.Organisations[row.Request.Organisation];
  --queue.Waiting;
  --tier.Waiting;
  if (row.HasReservedTurn) {
    tier.ReservedIds.erase(
      std::find(tier.ReservedIds.begin(), tier.ReservedIds.end(), id));
  }
  if (queue.Waiting == 0) {
    queue.InTargetIds.clear();
    queue.LateIds.clear();
  }
  pool.Waiting.erase(found);
}

bool gsWithdraw(gsPool& pool, gsRequestId const& id)
{
  if (pool.Waiting.count(id) == 0) {
    return false;
  }
  gsRemoveWaiting(pool, id);
  return true;
}

void gsWithdrawLink(gsPool& pool, std::uint64_t link)
{
  std::vector<gsRequestId> withdrawn;
  for (auto const& [id, row] : pool.Waiting) {
    if (row.Link == link) {
      withdrawn.push_back(id);
    }
  }
  for (gsRequestId const& id : withdrawn) {
    gsRemoveWaiting(pool, id);
  }
}

gsTime gsExpectedWait(gsPool const& pool, std::uint32_t rank)
{
  double slots = std::max(1.0, gsTotalLimit(pool));
  double seconds = 0;
  for (std::size_t i = 0; i <= rank && i < pool.Tiers.size(); ++i) {
    seconds += pool.Tiers[i].Waiting *
               pool.Estimates.HoldSeconds.Value(DefaultHoldSeconds);
  }
  return gsFromSeconds(seconds / slots);
}

void gsExpireWaiting(gsPool& pool, gsTime now, gsPoolOutput& out)
{
  if (now - pool.LastExpiryAt < ExpiryInterval) {
    return;
  }
  pool.LastExpiryAt = now;
  std::vector<gsRequestId> expired;
  for (auto const& [id, row] : pool.Waiting) {
    if (row.Deadline <= now) {
      expired.push_back(id);
    }
  }
  for (gsRequestId const& id : expired) {
    Refuse(pool, id, gsRefusalCause::Expired, now, out);
  }
}

void gsShedExcess(gsPool& pool, gsTime now, gsPoolOutput& out)
{
  while (pool.Waiting.size() > pool.Settings.QueueLimit) {
    gsTierQueue* tier = LowestTier(pool);
    std::optional<gsRequestId> victim;
    if (tier != nullptr) {
      victim = NextToShed(pool, *tier);
    }
    if (!victim) {
      return;
    }
    Refuse(pool, *victim, gsRefusalCause::QueueFull, now, out);
  }
}

void gsShedInfeasible(gsPool& pool, gsTime now, gsPoolOutput& out)
{
  if (now - pool.LastShedAt < ShedInterval) {
    return;
  }
  pool.LastShedAt = now;
  while (gsTierQueue* tier = LowestTier(pool)) {
    std::optional<gsRequestId> victim = NextToShed(pool, *tier);
    if (!victim || !IsInfeasible(pool, pool.Waiting.at(*victim), now)) {
      return;
    }
    Refuse(pool, *victim, gsRefusalCause::Infeasible, now, out);
  }
}
