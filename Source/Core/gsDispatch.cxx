/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsDispatch.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "gsAdmit.h"
#include "gsHealth.h"
#include "gsLimit.h"
#include "gsRendezvous.h"

namespace {

/** Share of the first-token target that may pass before the grant. */
constexpr double WaitShare = 0.8;
/** Waiting requests are looked through, so not at every tick. */
constexpr gsTime ReservePeriod = gsMilliseconds(20);

/** How full an upstream is, relative to its limit. */
double Load(gsUpstreamRow const& row)
{
  return (row.Running + row.Reserved) / std::max(1.0, row.Limit);
}

gsUpstreamRow* LeastLoaded(gsPool& pool, std::string_view avoid,
                           bool needsFreeSlot)
{
  gsUpstreamRow* best = nullptr;
  gsUpstreamRow* avoided = nullptr;
  for (gsUpstreamRow& row : pool.Upstreams) {
    if (!gsUsable(row) || (needsFreeSlot && gsFreeSlots(row) == 0)) {
      continue;
    }
    if (row.Name == avoid) {
      avoided = &row;
      continue;
    }
    if (best == nullptr || Load(row) < Load(*best)) {
      best = &row;
    }
  }
  return best != nullptr ? best : avoided;
}

/** The upstream that the shared context prefers, if it is not too full. */
gsUpstreamRow* Preferred(gsPool& pool, gsAsk const& ask)
{
  if (!pool.Settings.Affinity || ask.Affinity == 0) {
    return nullptr;
  }
  gsUpstreamRow* best = nullptr;
  std::uint64_t bestWeight = 0;
  double running = 0;
  double usable = 0;
  for (gsUpstreamRow& row : pool.Upstreams) {
    if (!gsUsable(row)) {
      continue;
    }
    running += Load(row);
    ++usable;
    std::uint64_t weight = gsRendezvousWeight(row.Name, ask.Affinity);
    if (best == nullptr || weight > bestWeight) {
      best = &row;
      bestWeight = weight;
    }
  }
  if (best == nullptr || best->Name == ask.Avoid || gsFreeSlots(*best) == 0) {
    return nullptr;
  }
  double bound = pool.Settings.AffinityLoad * running / usable;
  bool fits = Load(*best) <= bound || best->Running == 0;
  return fits ? best : nullptr;
}

std::string Candidates(gsPool const& pool)
{
  std::string text;
  for (gsUpstreamRow const& row : pool.Upstreams) {
    if (!gsUsable(row)) {
      continue;
    }
    if (!text.empty()) {
      text += ',';
    }
    text += row.Name + ':' + std::to_string(row.Running + row.Reserved) + '/' +
            std::to_string(static_cast<std::uint32_t>(row.Limit));
  }
  return text;
}

void Grant(gsPool& pool, gsRequestId const& id, gsUpstreamRow& upstream,
           bool reserved, char const* cause, gsTime now, gsPoolOutput& out)
{
  gsWaitingRow const& row = pool.Waiting.at(id);
  gsAsk const& ask = row.Ask;
  gsTierQueue& tier = gsTierOf(pool, ask.Tier);
  gsOrganisationQueue& queue = tier.Organisations[ask.Organisation];

  gsRunningRow running;
  running.Upstream = upstream.Name;
  running.Organisation = ask.Organisation;
  running.Template = ask.Template;
  running.Tier = ask.Tier;
  running.Weight = ask.Weight;
  running.Estimate = gsEstimateTokens(pool.Estimates, ask.Organisation,
                                      ask.Template, ask.PromptTokens);
  running.Reserved = reserved;
  running.Link = row.Link;
  running.Started = now;
  running.FirstTokenTarget = ask.FirstToken;
  running.GapTarget = ask.TokenGap;

  gsGrant grant;
  grant.Id = id;
  grant.Link = row.Link;
  grant.Pool = pool.Name;
  grant.Upstream = upstream.Name;
  grant.Address = upstream.Address;
  grant.Incarnation = upstream.Incarnation;
  grant.StartWithin = pool.Settings.StartWithin;
  grant.Tier = ask.Tier;
  grant.Organisation = ask.Organisation;
  grant.Waited = now - row.Arrived;
  grant.Reserved = reserved;
  grant.Candidates = Candidates(pool);
  grant.Cause = cause;

  if (reserved) {
    ++upstream.Reserved;
  } else {
    ++upstream.Running;
    ++tier.Granted;
    ++tier.Running;
    tier.Clock = std::max(tier.Clock, queue.Service);
  }
  queue.Service += running.Estimate / std::max(running.Weight, 1e-6);
  pool.Running[id] = std::move(running);
  gsRemoveWaiting(pool, id);
  out.Grants.push_back(std::move(grant));
}

/** The first of a list that still waits; what went is dropped. */
gsWaitingRow* FirstIn(gsPool& pool, std::deque<gsRequestId>& ids)
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

/** Whether the first token can no longer come within its target. */
bool IsLate(gsWaitingRow const& row, gsTime now)
{
  return gsToSeconds(now - row.Arrived) >
         WaitShare * gsToSeconds(row.Ask.FirstToken);
}

/**
 * The organisation's next request. Under overload first in, first out would
 * serve every request late; so those that can still be in target come first.
 */
std::optional<gsRequestId> FrontOf(gsPool& pool, gsOrganisationQueue& queue,
                                   gsTime now)
{
  gsWaitingRow* first = FirstIn(pool, queue.Ids);
  while (first != nullptr && pool.Settings.InTargetFirst &&
         IsLate(*first, now)) {
    queue.Late.push_back(first->Ask.Id);
    queue.Ids.pop_front();
    first = FirstIn(pool, queue.Ids);
  }
  if (first == nullptr) {
    first = FirstIn(pool, queue.Late);
  }
  if (first == nullptr) {
    return std::nullopt;
  }
  return first->Ask.Id;
}

/** The tier's oldest waiting request without a reserved turn. */
gsWaitingRow* OldestUnreserved(gsPool& pool, gsTierQueue& tier)
{
  gsWaitingRow* oldest = nullptr;
  for (auto& [name, queue] : tier.Organisations) {
    for (auto const* ids : { &queue.Late, &queue.Ids }) {
      for (gsRequestId const& id : *ids) {
        auto row = pool.Waiting.find(id);
        if (row == pool.Waiting.end() || row->second.Reserved) {
          continue;
        }
        if (oldest == nullptr || row->second.Arrived < oldest->Arrived) {
          oldest = &row->second;
        }
        break; // Both lists are in the order of arrival.
      }
    }
  }
  return oldest;
}

/** The tier's oldest request with a reserved turn. */
std::optional<gsRequestId> OldestReserved(gsPool const& pool,
                                          gsTierQueue const& tier)
{
  auto arrived = [&pool](gsRequestId const& id) {
    return pool.Waiting.at(id).Arrived;
  };
  auto oldest =
    std::min_element(tier.Reserved.begin(), tier.Reserved.end(),
                     [&](gsRequestId const& a, gsRequestId const& b) {
                       return arrived(a) < arrived(b);
                     });
  if (oldest == tier.Reserved.end()) {
    return std::nullopt;
  }
  return *oldest;
}

std::uint32_t ReservedRunning(gsPool const& pool)
{
  std::uint32_t running = 0;
  for (gsUpstreamRow const& row : pool.Upstreams) {
    running += row.Reserved;
  }
  return running;
}

std::uint32_t FreeSlots(gsPool const& pool)
{
  std::uint32_t slots = 0;
  for (gsUpstreamRow const& row : pool.Upstreams) {
    slots += gsFreeSlots(row);
  }
  return slots;
}

/**
 * Slots that this tier must leave free, so that the tiers above it find room
 * when their demand returns to its recent peak. Nothing that runs is
 * preempted, so that without it they would wait for long answers to end.
 */
double Headroom(gsPool const& pool, std::uint32_t rank)
{
  double wanted = 0;
  for (std::size_t i = 0; i < rank && i < pool.Tiers.size(); ++i) {
    gsTierQueue const& tier = pool.Tiers[i];
    wanted += std::max(0.0, tier.Peak - tier.Running - tier.Waiting);
  }
  double most = pool.Settings.HeadroomMost * gsTotalLimit(pool);
  return std::floor(std::min(wanted, most));
}

void UpdatePeaks(gsPool& pool, gsTime now)
{
  double passed = gsToSeconds(now - pool.LastPeaks);
  double kept = std::exp(-passed / gsToSeconds(pool.Settings.HeadroomMemory));
  pool.LastPeaks = now;
  for (gsTierQueue& tier : pool.Tiers) {
    double demand = tier.Running + tier.Waiting;
    tier.Peak = std::max(demand, tier.Peak * kept);
  }
}

/** Takes one off a count that must not go below zero. */
void CountDown(std::uint32_t& count)
{
  count -= count > 0 ? 1 : 0;
}

/** Frees the slot of a running request. */
void FreeSlot(gsPool& pool, gsRunningRow const& running)
{
  if (!running.Reserved) {
    CountDown(gsTierOf(pool, running.Tier).Running);
  }
  if (gsUpstreamRow* upstream = gsFindUpstream(pool, running.Upstream)) {
    CountDown(running.Reserved ? upstream->Reserved : upstream->Running);
  }
}

bool HigherWaiting(gsPool const& pool, std::size_t rank)
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
  for (gsTierQueue& tier : pool.Tiers) {
    if (tier.Waiting == 0) {
      continue;
    }
    gsOrganisationQueue* next = nullptr;
    for (auto& [name, queue] : tier.Organisations) {
      if (queue.Waiting > 0 &&
          (next == nullptr || queue.Service < next->Service)) {
        next = &queue;
      }
    }
    if (next != nullptr) {
      return FrontOf(pool, *next, now);
    }
  }
  return std::nullopt;
}

void gsDispatchShared(gsPool& pool, gsTime now, gsPoolOutput& out)
{
  UpdatePeaks(pool, now);
  while (std::optional<gsRequestId> id = gsNextWaiting(pool, now)) {
    gsAsk const& ask = pool.Waiting.at(*id).Ask;
    if (FreeSlots(pool) <= Headroom(pool, ask.Tier)) {
      break;
    }
    char const* cause = "affinity";
    gsUpstreamRow* upstream = Preferred(pool, ask);
    if (upstream == nullptr) {
      upstream = LeastLoaded(pool, ask.Avoid, true);
      cause = "least_loaded";
    }
    if (upstream == nullptr) {
      break;
    }
    Grant(pool, *id, *upstream, false, cause, now, out);
  }
  if (pool.Waiting.empty()) {
    return;
  }
  for (gsUpstreamRow& row : pool.Upstreams) {
    row.Saturated = row.Saturated || gsFreeSlots(row) == 0;
  }
}

void gsReserveAged(gsPool& pool, gsTime now)
{
  if (now - pool.LastReserve < ReservePeriod) {
    return;
  }
  pool.LastReserve = now;
  for (std::size_t rank = 1; rank < pool.Tiers.size(); ++rank) {
    gsTierQueue& tier = pool.Tiers[rank];
    while (tier.Reserved.size() < pool.Settings.ReservedPerTier &&
           gsSharedWaiting(tier) > 0 && HigherWaiting(pool, rank)) {
      gsWaitingRow* oldest = OldestUnreserved(pool, tier);
      if (oldest == nullptr || now - oldest->Arrived < tier.AgeLimit) {
        break;
      }
      oldest->Reserved = true;
      tier.Reserved.push_back(oldest->Ask.Id);
    }
  }
}

std::uint32_t gsReservedSlots(gsPool const& pool)
{
  double slots = pool.Settings.ReservedShare * gsTotalLimit(pool);
  return std::max(1U, static_cast<std::uint32_t>(slots));
}

void gsDispatchReserved(gsPool& pool, gsTime now, gsPoolOutput& out)
{
  auto tiers = static_cast<std::uint32_t>(pool.Tiers.size());
  std::uint32_t running = ReservedRunning(pool);
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
      LeastLoaded(pool, pool.Waiting.at(*id).Ask.Avoid, false);
    if (upstream == nullptr) {
      return;
    }
    idle = 0;
    ++running;
    Grant(pool, *id, *upstream, true, "reserved", now, out);
  }
}

void gsRelease(gsPool& pool, gsRequestId const& id, gsOutcome outcome,
               gsMeasured const& measured, gsTime now, gsPoolOutput& out)
{
  auto found = pool.Running.find(id);
  if (found == pool.Running.end()) {
    return;
  }
  gsRunningRow running = std::move(found->second);
  pool.Running.erase(found);
  FreeSlot(pool, running);
  double actual =
    outcome == gsOutcome::Unused ? 0 : static_cast<double>(measured.Tokens);
  gsOrganisationQueue& queue =
    gsTierOf(pool, running.Tier).Organisations[running.Organisation];
  queue.Service +=
    (actual - running.Estimate) / std::max(running.Weight, 1e-6);
  if (outcome == gsOutcome::Whole) {
    gsLearn(pool.Estimates, running.Organisation, running.Template, actual,
            now - running.Started);
  }
  if (gsUpstreamRow* upstream = gsFindUpstream(pool, running.Upstream)) {
    gsJudgeOutcome(pool, *upstream, outcome, now, out);
  }
}

void gsAdopt(gsPool& pool, gsAsk const& ask, std::string_view upstream,
             std::uint64_t link, gsTime now)
{
  auto known = pool.Running.find(ask.Id);
  if (known != pool.Running.end()) {
    known->second.Link = link;
    return;
  }
  gsUpstreamRow* row = gsFindUpstream(pool, upstream);
  if (row == nullptr) {
    return;
  }
  gsRunningRow running;
  running.Upstream = row->Name;
  running.Organisation = ask.Organisation;
  running.Template = ask.Template;
  running.Tier = ask.Tier;
  running.Weight = ask.Weight;
  running.Link = link;
  running.Started = now;
  running.FirstTokenTarget = ask.FirstToken;
  running.GapTarget = ask.TokenGap;
  pool.Running[ask.Id] = std::move(running);
  ++row->Running;
  ++gsTierOf(pool, ask.Tier).Running;
}

void gsForgetLink(gsPool& pool, std::uint64_t link)
{
  for (auto row = pool.Running.begin(); row != pool.Running.end();) {
    if (row->second.Link != link) {
      ++row;
      continue;
    }
    FreeSlot(pool, row->second);
    row = pool.Running.erase(row);
  }
}
