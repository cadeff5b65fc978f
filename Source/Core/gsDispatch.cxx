/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsDispatch.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "gsAdmit.h"
#include "gsFairOrder.h"
#include "gsHealth.h"
#include "gsLimit.h"
#include "gsRendezvous.h"

namespace {

/** Share of the target time to the first token that a request may wait for its
 * grant and still be expected to meet the target. */
constexpr double MaxWaitShare = 0.8;
/** Minimum interval between runs of gsReserveAgedRequests, which scans the
 * waiting requests and would be too expensive in every tick. */
constexpr gsTime ReserveInterval = gsMilliseconds(20);

/** Running requests of an upstream, relative to its limit. */
double RelativeLoad(gsUpstreamRow const& row)
{
  return (row.Running + row.RunningReserved) / std::max(1.0, row.Limit);
}

/** The usable upstream with the lowest relative load; the avoided one only if
 * there is no other. Null if there is none. */
gsUpstreamRow* FindLeastLoaded(gsPool& pool, std::string_view avoid,
                               bool needsFreeSlot)
{
  gsUpstreamRow* best = nullptr;
  gsUpstreamRow* avoided = nullptr;
  for (gsUpstreamRow& row : pool.Upstreams) {
    if (!gsIsUsable(row) || (needsFreeSlot && gsFreeSlots(row) == 0)) {
      continue;
    }
    if (row.Name == avoid) {
      avoided = &row;
      continue;
    }
    if (best == nullptr || RelativeLoad(row) < RelativeLoad(*best)) {
      best = &row;
    }
  }
  return best != nullptr ? best : avoided;
}

/** The upstream that rendezvous hashing selects for the request's shared
 * context. Null if it has no free slot, the request has to avoid it, or it is
 * not idle and its load exceeds MaxAffinityLoad times the mean. */
gsUpstreamRow* FindAffinityUpstream(gsPool& pool,
                                    gsGrantRequest const& request)
{
  if (!pool.Settings.UseAffinity || request.AffinityHash == 0) {
    return nullptr;
  }
  gsUpstreamRow* best = nullptr;
  std::uint64_t bestWeight = 0;
  double running = 0;
  double usable = 0;
  for (gsUpstreamRow& row : pool.Upstreams) {
    if (!gsIsUsable(row)) {
      continue;
    }
    running += RelativeLoad(row);
    ++usable;
    std::uint64_t weight = gsRendezvousWeight(row.Name, request.AffinityHash);
    if (best == nullptr || weight > bestWeight) {
      best = &row;
      bestWeight = weight;
    }
  }
  if (best == nullptr || best->Name == request.AvoidUpstream ||
      gsFreeSlots(*best) == 0) {
    return nullptr;
  }
  double bound = pool.Settings.MaxAffinityLoad * running / usable;
  bool fits = RelativeLoad(*best) <= bound || best->Running == 0;
  return fits ? best : nullptr;
}

/** Formats the usable upstreams for the log, as name:running/limit. */
std::string FormatCandidates(gsPool const& pool)
{
  std::string text;
  for (gsUpstreamRow const& row : pool.Upstreams) {
    if (!gsIsUsable(row)) {
      continue;
    }
    if (!text.empty()) {
      text += ',';
    }
    text += row.Name + ':' +
            std::to_string(row.Running + row.RunningReserved) + '/' +
            std::to_string(static_cast<std::uint32_t>(row.Limit));
  }
  return text;
}

/** Grants a slot of an upstream to a waiting request. */
void GrantSlot(gsPool& pool, gsRequestId const& id, gsUpstreamRow& upstream,
               bool reserved, char const* cause, gsTime now, gsPoolOutput& out)
{
  gsWaitingRow const& row = pool.Waiting.at(id);
  gsGrantRequest const& request = row.Request;
  gsTierQueue& tier = gsTierQueueOf(pool, request.Tier);
  gsOrganisationQueue& queue = tier.Organisations[request.Organisation];

  gsRunningRow running;
  running.Upstream = upstream.Name;
  running.Organisation = request.Organisation;
  running.Template = request.Template;
  running.Tier = request.Tier;
  running.Weight = request.Weight;
  running.EstimatedTokens =
    gsEstimateTokens(pool.Estimates, request.Organisation, request.Template,
                     request.PromptTokens);
  running.OnReservedSlot = reserved;
  running.Link = row.Link;
  running.StartedAt = now;
  running.FirstTokenTarget = request.FirstTokenTarget;
  running.TokenIntervalTarget = request.TokenIntervalTarget;

  gsGrant grant;
  grant.Id = id;
  grant.Link = row.Link;
  grant.Pool = pool.Name;
  grant.Upstream = upstream.Name;
  grant.Address = upstream.Address;
  grant.Incarnation = upstream.Incarnation;
  grant.StartTimeout = pool.Settings.StartTimeout;
  grant.Tier = request.Tier;
  grant.Organisation = request.Organisation;
  grant.WaitTime = now - row.ArrivedAt;
  grant.OnReservedSlot = reserved;
  grant.Candidates = FormatCandidates(pool);
  grant.Cause = cause;

  if (reserved) {
    ++upstream.RunningReserved;
  } else {
    ++upstream.Running;
    ++tier.SharedGrants;
    ++tier.Running;
    tier.VirtualTime = std::max(tier.VirtualTime, queue.WeightedService);
  }
  queue.WeightedService +=
    running.EstimatedTokens / std::max(running.Weight, 1e-6);
  pool.Running[id] = std::move(running);
  gsRemoveWaiting(pool, id);
  out.Grants.push_back(std::move(grant));
}

/** The first request of a list that still waits, or null. Removes the ids in
 * front of it. */
gsWaitingRow* FirstWaiting(gsPool& pool, std::deque<gsRequestId>& ids)
{
  while (!ids.empty()) {
    auto row = pool.Waiting.find(ids.front());
    if (row != pool.Waiting.end()) {
      return &row->second;
    }
    ids.pop_front();
  }
  return nullptr;
}

/** Whether the request is expected to miss its target for the first token. */
bool IsLate(gsWaitingRow const& row, gsTime now)
{
  return gsToSeconds(now - row.ArrivedAt) >
         MaxWaitShare * gsToSeconds(row.Request.FirstTokenTarget);
}

/**
 * The organisation's next request. Those that can still meet their target come
 * first, because under overload a plain FIFO queue would serve every request
 * late.
 */
std::optional<gsRequestId> NextOfOrganisation(gsPool& pool,
                                              gsOrganisationQueue& queue,
                                              gsTime now)
{
  gsWaitingRow* first = FirstWaiting(pool, queue.InTargetIds);
  while (first != nullptr && pool.Settings.ServeInTargetFirst &&
         IsLate(*first, now)) {
    queue.LateIds.push_back(first->Request.Id);
    queue.InTargetIds.pop_front();
    first = FirstWaiting(pool, queue.InTargetIds);
  }
  if (first == nullptr) {
    first = FirstWaiting(pool, queue.LateIds);
  }
  if (first == nullptr) {
    return std::nullopt;
  }
  return first->Request.Id;
}

/** The tier's oldest waiting request without a reserved turn; null if there is
 * none. */
gsWaitingRow* OldestUnreserved(gsPool& pool, gsTierQueue& tier)
{
  gsWaitingRow* oldest = nullptr;
  for (auto& [name, queue] : tier.Organisations) {
    for (auto const* ids : { &queue.LateIds, &queue.InTargetIds }) {
      for (gsRequestId const& id : *ids) {
        auto row = pool.Waiting.find(id);
        if (row == pool.Waiting.end() || row->second.HasReservedTurn) {
          continue;
        }
        if (oldest == nullptr || row->second.ArrivedAt < oldest->ArrivedAt) {
          oldest = &row->second;
        }
        break; // The list is in order of arrival; the others are newer.
      }
    }
  }
  return oldest;
}

/** The tier's oldest request with a reserved turn; empty if there is none. */
std::optional<gsRequestId> OldestReserved(gsPool const& pool,
                                          gsTierQueue const& tier)
{
  auto arrived = [&pool](gsRequestId const& id) {
    return pool.Waiting.at(id).ArrivedAt;
  };
  auto oldest =
    std::min_element(tier.ReservedIds.begin(), tier.ReservedIds.end(),
                     [&](gsRequestId const& a, gsRequestId const& b) {
                       return arrived(a) < arrived(b);
                     });
  if (oldest == tier.ReservedIds.end()) {
    return std::nullopt;
  }
  return *oldest;
}

/** Number of requests on reserved slots. */
std::uint32_t CountReservedInUse(gsPool const& pool)
{
  std::uint32_t running = 0;
  for (gsUpstreamRow const& row : pool.Upstreams) {
    running += row.RunningReserved;
  }
  return running;
}

/** Number of free shared slots of all upstreams. */
std::uint32_t CountFreeSlots(gsPool const& pool)
{
  std::uint32_t slots = 0;
  for (gsUpstreamRow const& row : pool.Upstreams) {
    slots += gsFreeSlots(row);
  }
  return slots;
}

/**
 * Number of slots that a tier has to leave free for the tiers above it, in
 * case their demand returns to its recent peak. Running requests are not
 * preempted, so without this headroom the higher tiers would wait for long
 * answers to end.
 */
double RequiredHeadroom(gsPool const& pool, std::uint32_t rank)
{
  double headroom = 0;
  for (std::size_t i = 0; i < rank && i < pool.Tiers.size(); ++i) {
    gsTierQueue const& tier = pool.Tiers[i];
    headroom += std::max(0.0, tier.PeakDemand - tier.Running - tier.Waiting);
  }
  double limit = pool.Settings.MaxHeadroomShare * gsTotalLimit(pool);
  return std::floor(std::min(headroom, limit));
}

/** Updates the tiers' peak demand, with exponential decay. */
void UpdatePeaks(gsPool& pool, gsTime now)
{
  double elapsed = gsToSeconds(now - pool.PeaksUpdatedAt);
  double decay =
    std::exp(-elapsed / gsToSeconds(pool.Settings.HeadroomDecayTime));
  pool.PeaksUpdatedAt = now;
  for (gsTierQueue& tier : pool.Tiers) {
    double demand = tier.Running + tier.Waiting;
    tier.PeakDemand = std::max(demand, tier.PeakDemand * decay);
  }
}

/** Decrements a counter unless it is zero. */
void DecrementIfPositive(std::uint32_t& count)
{
  count -= count > 0 ? 1 : 0;
}

/** Frees the slot of a running request. */
void ReleaseSlot(gsPool& pool, gsRunningRow const& running)
{
  if (!running.OnReservedSlot) {
    DecrementIfPositive(gsTierQueueOf(pool, running.Tier).Running);
  }
  if (gsUpstreamRow* upstream = gsFindUpstream(pool, running.Upstream)) {
    DecrementIfPositive(running.OnReservedSlot ? upstream->RunningReserved
                                               : upstream->Running);
  }
}

/** Whether requests wait in a tier above the given rank. */
bool HasHigherTierWaiting(gsPool const& pool, std::size_t rank)
{
  for (std::size_t i = 0; i < rank; ++i) {
    if (pool.Tiers[i].Waiting > 0) {
      return true;
    }
  }
  return false;
}

} // namespace

std::optional<gsRequestId> gsNextWaiting(gsPool& pool, gsTime now)
{
  auto rowOf = [](auto const& entry) -> std::optional<gsFairRow> {
    gsOrganisationQueue const& queue = entry.second;
    if (queue.Waiting == 0) {
      return std::nullopt;
    }
    gsFairRow row;
    row.VirtualTime = queue.WeightedService;
    return row;
  };
  for (gsTierQueue& tier : pool.Tiers) {
    if (tier.Waiting == 0) {
      continue;
    }
    auto next =
      gsFairNext(tier.Organisations.begin(), tier.Organisations.end(), rowOf);
    if (next != tier.Organisations.end()) {
      return NextOfOrganisation(pool, next->second, now);
    }
  }
  return std::nullopt;
}

void gsDispatchShared(gsPool& pool, gsTime now, gsPoolOutput& out)
{
  UpdatePeaks(pool, now);
  while (std::optional<gsRequestId> id = gsNextWaiting(pool, now)) {
    gsGrantRequest const& request = pool.Waiting.at(*id).Request;
    if (CountFreeSlots(pool) <= RequiredHeadroom(pool, request.Tier)) {
      break;
    }
    char const* cause = "affinity";
    gsUpstreamRow* upstream = FindAffinityUpstream(pool, request);
    if (upstream == nullptr) {
      upstream = FindLeastLoaded(pool, request.AvoidUpstream, true);
      cause = "least_loaded";
    }
    if (upstream == nullptr) {
      break;
    }
    GrantSlot(pool, *id, *upstream, false, cause, now, out);
  }
  if (pool.Waiting.empty()) {
    return;
  }
  for (gsUpstreamRow& row : pool.Upstreams) {
    row.WasSaturated = row.WasSaturated || gsFreeSlots(row) == 0;
  }
}

void gsReserveAgedRequests(gsPool& pool, gsTime now)
{
  if (now - pool.LastReserveAt < ReserveInterval) {
    return;
  }
  pool.LastReserveAt = now;
  for (std::size_t rank = 1; rank < pool.Tiers.size(); ++rank) {
    gsTierQueue& tier = pool.Tiers[rank];
    while (tier.ReservedIds.size() < pool.Settings.MaxReservedTurns &&
           gsSharedWaiting(tier) > 0 && HasHigherTierWaiting(pool, rank)) {
      gsWaitingRow* oldest = OldestUnreserved(pool, tier);
      if (oldest == nullptr || now - oldest->ArrivedAt < tier.AgeLimit) {
        break;
      }
      oldest->HasReservedTurn = true;
      tier.ReservedIds.push_back(oldest->Request.Id);
    }
  }
}

std::uint32_t gsReservedSlots(gsPool const& pool)
{
  double slots = pool.Settings.ReservedSlotShare * gsTotalLimit(pool);
  return std::max(1U, static_cast<std::uint32_t>(slots));
}

void gsDispatchReserved(gsPool& pool, gsTime now, gsPoolOutput& out)
{
  auto tiers = static_cast<std::uint32_t>(pool.Tiers.size());
  std::uint32_t running = CountReservedInUse(pool);
  std::uint32_t slots = gsReservedSlots(pool);
  std::uint32_t idle = 0;
  while (running < slots && idle < tiers) {
    std::uint32_t rank = pool.NextReservedTier++ % tiers;
    std::optional<gsRequestId> id = OldestReserved(pool, pool.Tiers[rank]);
    if (!id) {
      ++idle;
      continue;
    }
    gsUpstreamRow* upstream =
      FindLeastLoaded(pool, pool.Waiting.at(*id).Request.AvoidUpstream, false);
    if (upstream == nullptr) {
      return;
    }
    idle = 0;
    ++running;
    GrantSlot(pool, *id, *upstream, true, "reserved", now, out);
  }
}

void gsReleaseGrant(gsPool& pool, gsRequestId const& id,
                    gsGrantOutcome outcome,
                    gsGrantMeasurements const& measured, gsTime now,
                    gsPoolOutput& out)
{
  auto found = pool.Running.find(id);
  if (found == pool.Running.end()) {
    return;
  }
  gsRunningRow running = std::move(found->second);
  pool.Running.erase(found);
  ReleaseSlot(pool, running);
  double actual = outcome == gsGrantOutcome::Unused
                    ? 0
                    : static_cast<double>(measured.Tokens);
  gsOrganisationQueue& queue =
    gsTierQueueOf(pool, running.Tier).Organisations[running.Organisation];
  queue.WeightedService +=
    (actual - running.EstimatedTokens) / std::max(running.Weight, 1e-6);
  if (outcome == gsGrantOutcome::Completed) {
    gsUpdateEstimates(pool.Estimates, running.Organisation, running.Template,
                      actual, now - running.StartedAt);
  }
  if (gsUpstreamRow* upstream = gsFindUpstream(pool, running.Upstream)) {
    gsUpdateHealth(pool, *upstream, outcome, now, out);
  }
}

void gsAdoptRunning(gsPool& pool, gsGrantRequest const& request,
                    std::string_view upstream, std::uint64_t link, gsTime now)
{
  auto existing = pool.Running.find(request.Id);
  if (existing != pool.Running.end()) {
    existing->second.Link = link;
    return;
  }
  gsUpstreamRow* row = gsFindUpstream(pool, upstream);
  if (row == nullptr) {
    return;
  }
  gsRunningRow running;
  running.Upstream = row->Name;
  running.Organisation = request.Organisation;
  running.Template = request.Template;
  running.Tier = request.Tier;
  running.Weight = request.Weight;
  running.Link = link;
  running.StartedAt = now;
  running.FirstTokenTarget = request.FirstTokenTarget;
  running.TokenIntervalTarget = request.TokenIntervalTarget;
  pool.Running[request.Id] = std::move(running);
  ++row->Running;
  ++gsTierQueueOf(pool, request.Tier).Running;
}

void gsReleaseLink(gsPool& pool, std::uint64_t link)
{
  for (auto row = pool.Running.begin(); row != pool.Running.end();) {
    if (row->second.Link != link) {
      ++row;
      continue;
    }
    ReleaseSlot(pool, row->second);
    row = pool.Running.erase(row);
  }
}
