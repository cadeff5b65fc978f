/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsAdmit.h"

#include <algorithm>
#include <optional>

namespace {

constexpr double DefaultHoldSeconds = 1.0;
constexpr std::uint64_t MinHoldSamples = 16;
constexpr gsTime MinRetryAfter = gsSeconds(1);
constexpr gsTime MaxRetryAfter = gsSeconds(60);
/** The whole table is looked through, so not at every tick. */
constexpr gsTime ExpiryPeriod = gsMilliseconds(10);
constexpr gsTime ShedPeriod = gsMilliseconds(50);
/** Estimates are rough: refuse only what misses by this factor. */
constexpr double InfeasibleMargin = 1.5;

void Refuse(gsPool& pool, gsRequestId const& id, gsRefusalCause cause,
            gsTime now, gsPoolOutput& out)
{
  gsWaitingRow const& row = pool.Waiting.at(id);
  gsRefusal refusal;
  refusal.Id = id;
  refusal.Link = row.Link;
  refusal.Pool = pool.Name;
  refusal.Cause = cause;
  refusal.Tier = row.Ask.Tier;
  refusal.Organisation = row.Ask.Organisation;
  refusal.Template = row.Ask.Template;
  refusal.Waited = now - row.Arrived;
  refusal.LowerWaiting = gsWaitingBelow(pool, row.Ask.Tier);
  refusal.LowerGranted =
    gsGrantedBelow(pool, row.Ask.Tier) - row.LowerGrantsBefore;
  refusal.RetryAfter = std::clamp(gsExpectedWait(pool, row.Ask.Tier),
                                  MinRetryAfter, MaxRetryAfter);
  gsRemoveWaiting(pool, id);
  out.Refusals.push_back(std::move(refusal));
}

/** The newest of a list that has no reserved turn; nothing if none has. */
gsWaitingRow const* NewestIn(gsPool const& pool,
                             std::deque<gsRequestId> const& ids)
{
  for (auto id = ids.rbegin(); id != ids.rend(); ++id) {
    auto row = pool.Waiting.find(*id);
    if (row != pool.Waiting.end() && !row->second.Reserved) {
      return &row->second;
    }
  }
  return nullptr;
}

/**
 * The request of a tier that is refused next: the newest of those that are
 * late already, else the newest of all. Reserved turns are kept.
 */
std::optional<gsRequestId> VictimOf(gsPool const& pool,
                                    gsTierQueue const& tier)
{
  gsWaitingRow const* newest = nullptr;
  bool late = false;
  auto consider = [&](gsWaitingRow const* row, bool isLate) {
    if (row == nullptr || (late && !isLate)) {
      return;
    }
    if (newest == nullptr || (isLate && !late) || row->Order > newest->Order) {
      newest = row;
      late = isLate;
    }
  };
  for (auto const& [name, queue] : tier.Organisations) {
    consider(NewestIn(pool, queue.Late), true);
    consider(NewestIn(pool, queue.Ids), false);
  }
  if (newest == nullptr) {
    return std::nullopt;
  }
  return newest->Ask.Id;
}

/** The lowest tier with requests in the shared queue. */
gsTierQueue* LowestTier(gsPool& pool)
{
  for (auto tier = pool.Tiers.rbegin(); tier != pool.Tiers.rend(); ++tier) {
    if (gsSharedWaiting(*tier) > 0) {
      return &*tier;
    }
  }
  return nullptr;
}

bool Infeasible(gsPool const& pool, gsWaitingRow const& row, gsTime now)
{
  if (pool.Estimates.Hold.Count() < MinHoldSamples) {
    return false;
  }
  double left = gsToSeconds(row.Deadline - now);
  double expected = gsToSeconds(gsExpectedWait(pool, row.Ask.Tier));
  return expected > left * InfeasibleMargin;
}

} // namespace

void gsAdmit(gsPool& pool, gsAsk ask, std::uint64_t link, gsTime now)
{
  gsTierQueue& tier = gsTierOf(pool, ask.Tier);
  gsOrganisationQueue& queue = tier.Organisations[ask.Organisation];
  if (queue.Waiting == 0) {
    // An organisation that was idle gets no credit for that time.
    queue.Service = std::max(queue.Service, tier.Clock);
  }
  gsWaitingRow row;
  row.Arrived = now - ask.Waited;
  row.Deadline = row.Arrived + ask.MaxWait;
  row.Link = link;
  row.Order = pool.NextOrder++;
  row.LowerGrantsBefore = gsGrantedBelow(pool, ask.Tier);
  gsRequestId id = ask.Id;
  row.Ask = std::move(ask);
  if (!pool.Waiting.emplace(id, std::move(row)).second) {
    return;
  }
  queue.Ids.push_back(id);
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
  gsTierQueue& tier = gsTierOf(pool, row.Ask.Tier);
  gsOrganisationQueue& queue = tier.Organisations[row.Ask.Organisation];
  --queue.Waiting;
  --tier.Waiting;
  if (row.Reserved) {
    tier.Reserved.erase(
      std::find(tier.Reserved.begin(), tier.Reserved.end(), id));
  }
  if (queue.Waiting == 0) {
    queue.Ids.clear();
    queue.Late.clear();
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
  std::vector<gsRequestId> gone;
  for (auto const& [id, row] : pool.Waiting) {
    if (row.Link == link) {
      gone.push_back(id);
    }
  }
  for (gsRequestId const& id : gone) {
    gsRemoveWaiting(pool, id);
  }
}

gsTime gsExpectedWait(gsPool const& pool, std::uint32_t rank)
{
  double slots = std::max(1.0, gsTotalLimit(pool));
  double seconds = 0;
  for (std::size_t i = 0; i <= rank && i < pool.Tiers.size(); ++i) {
    seconds +=
      pool.Tiers[i].Waiting * pool.Estimates.Hold.Value(DefaultHoldSeconds);
  }
  return gsFromSeconds(seconds / slots);
}

void gsExpireWaiting(gsPool& pool, gsTime now, gsPoolOutput& out)
{
  if (now - pool.LastExpiry < ExpiryPeriod) {
    return;
  }
  pool.LastExpiry = now;
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
      victim = VictimOf(pool, *tier);
    }
    if (!victim) {
      return;
    }
    Refuse(pool, *victim, gsRefusalCause::QueueFull, now, out);
  }
}

void gsShedInfeasible(gsPool& pool, gsTime now, gsPoolOutput& out)
{
  if (now - pool.LastShed < ShedPeriod) {
    return;
  }
  pool.LastShed = now;
  while (gsTierQueue* tier = LowestTier(pool)) {
    std::optional<gsRequestId> victim = VictimOf(pool, *tier);
    if (!victim || !Infeasible(pool, pool.Waiting.at(*victim), now)) {
      return;
    }
    Refuse(pool, *victim, gsRefusalCause::Infeasible, now, out);
  }
}
