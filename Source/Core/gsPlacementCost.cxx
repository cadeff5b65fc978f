/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsPlacementCost.h"

#include <algorithm>
#include <string>

#include "gsArrangement.h"
#include "gsColdStart.h"
#include "gsRendezvous.h"

namespace gsPlacementDetail {

namespace {

/** Expected first token, as a share of the target, at which a miss is thought
 * sure; see MissFrom. */
constexpr double MissSure = 1.3;
/** Failures above the mean that are put down to chance. */
constexpr double FailTolerance = 0.2;
/** How sure it is that the preferred upstream holds a shared part, */
constexpr double PreferredShare = 0.8;
/** once it has run for so long since it started again: with 1,500 subjects of
 * equal weight among 112 engines and 200 requests a second, an engine has read
 * half of its own after 5 s (worked out). */
constexpr gsTime HomeFill = gsSeconds(10);
/**
 * Share of the time to read parts that is saved when they are handed over.
 * Worked out from engines' data, not measured: some 4,000 tokens take 20 ms
 * over an engine's link and 100 ms or more to read, on engines of 40 tokens a
 * millisecond.
 */
constexpr double HandedOverShare = 0.8;

/** Failures of the service's upstreams in the mean; some are its own way. */
double MeanFailShare(gsFleet const& fleet,
                     std::vector<std::size_t> const& rows, gsTime now)
{
  double sum = 0;
  for (std::size_t index : rows) {
    sum += gsFailShare(fleet.Rows[index], now);
  }
  return rows.empty() ? 0 : sum / static_cast<double>(rows.size());
}

/** What waiting for the engine to read costs: little while in target. */
double WaitCost(gsFleetSettings const& settings, double tokens,
                double targetTokens)
{
  if (targetTokens <= 0) {
    return tokens;
  }
  double early = std::min(tokens, settings.TargetShare * targetTokens);
  return settings.EarlyWeight * early + settings.LateWeight * (tokens - early);
}

/** What an upstream would cost this request, in tokens. */
double CostOf(gsFleet const& fleet, gsFleetRow const& row,
              gsPlacementAsk const& ask, std::uint32_t toRead,
              double usualFailShare, gsTime now)
{
  gsFleetSettings const& settings = fleet.Settings;
  gsOpenWork work = gsWorkAt(fleet, row, now);
  double cost = WaitCost(
    settings, static_cast<double>(work.ReadTokens) + toRead, ask.TargetTokens);
  cost += settings.RunningTokens * work.Running;
  if (work.Running >= row.Listed.Slots) {
    cost += settings.QueuedTokens * (1.0 + work.Running - row.Listed.Slots);
  }
  if (row.Listed.Hall != settings.Hall) {
    cost += settings.OtherHallTokens;
  }
  double excess = gsFailShare(row, now) - usualFailShare - FailTolerance;
  return cost + settings.FailTokens * std::max(0.0, excess);
}

bool HasConnection(gsFleetRow const& row, gsPlacementAsk const& ask)
{
  return ask.MostOwn == 0 || row.Own.Running < ask.MostOwn;
}

/** Whether a list names a region; one that is empty or absent names all. */
bool Names(std::vector<std::string> const* regions, std::string const& region)
{
  return regions == nullptr || regions->empty() ||
         std::find(regions->begin(), regions->end(), region) != regions->end();
}

} // namespace

bool WasTried(gsPlacementAsk const& ask, gsFleetRow const& row)
{
  if (ask.Tried == nullptr) {
    return false;
  }
  for (gsIncarnation const& tried : *ask.Tried) {
    if (tried.Born == row.Listed.Born && tried.Id == row.Listed.Id) {
      return true;
    }
  }
  return false;
}

bool IsAllowed(gsFleet const& fleet, gsFleetRow const& row,
               gsPlacementAsk const& ask)
{
  bool any =
    (ask.RouteRegions == nullptr || ask.RouteRegions->empty()) &&
    (ask.OrganisationRegions == nullptr || ask.OrganisationRegions->empty());
  if (any) {
    return true;
  }
  auto region = fleet.Settings.Regions.find(row.Listed.Hall);
  return region != fleet.Settings.Regions.end() &&
         Names(ask.RouteRegions, region->second) &&
         Names(ask.OrganisationRegions, region->second);
}

bool IsTooCold(gsFleet const& fleet, gsFleetRow const& row,
               gsPlacementAsk const& ask, gsTime now)
{
  if (row.ColdUntil <= now) {
    return false;
  }
  gsColdShare share = gsShareOfCold(ask.ColdPerSecond, ask.HostsOfLate,
                                    fleet.Settings.Host, row.Listed.Id);
  return !share.Sends || now - row.ColdSentAt < share.Gap;
}

bool WaitsToReturn(gsFleet const& fleet, gsFleetRow const& row,
                   gsPlacementAsk const& ask, gsTime now)
{
  return !gsMayReturn(
    row.Heard, { fleet.Settings.Host, row.Listed.Id, ask.HostsOfLate }, now);
}

bool MayGet(gsFleet const& fleet, gsFleetRow const& row,
            gsPlacementAsk const& ask, gsTime now)
{
  return HasConnection(row, ask) && gsTakesWork(fleet, row, now) &&
         !WaitsToReturn(fleet, row, ask, now) && row.AvoidUntil <= now &&
         !WasTried(ask, row) &&
         gsHallMayTry(fleet.Halls, row.Listed.Hall, now) &&
         IsAllowed(fleet, row, ask) && !IsTooCold(fleet, row, ask, now) &&
         !(ask.OwnHallOnly && row.Listed.Hall != fleet.Settings.Hall);
}

bool HasToken(gsFleet const& fleet, gsFleetRow const& row, gsTime now)
{
  return gsHasToken(fleet.RateLimits, row.Hash, now);
}

bool HasPlace(gsFleet const& fleet, gsFleetRow const& row,
              gsPlacementAsk const& ask, gsTime now)
{
  std::uint32_t most = gsMostOpen(row.Listed.Slots, ask.MoreUrgentKinds);
  return most == 0 || gsWorkAt(fleet, row, now).Running < most;
}

bool InGroup(gsFleetRow const& row, Choice const& choice)
{
  if (choice.Group == gsFleetGroup::Any || !choice.Border) {
    return true;
  }
  bool isLong = gsIsBefore(row, choice.Border);
  return isLong == (choice.Group == gsFleetGroup::Long);
}

namespace {

/** The first in a subject's order of those that a predicate lets pass. */
template<typename Predicate>
gsFleetRow const* FirstInOrder(gsFleet const& fleet,
                               std::vector<std::size_t> const& rows,
                               std::uint64_t subject, Predicate const& counts)
{
  gsFleetRow const* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (std::size_t index : rows) {
    gsFleetRow const& row = fleet.Rows[index];
    std::uint64_t weight = gsRendezvousWeight(row.Listed.Id, subject);
    bool better = best == nullptr || weight > bestWeight;
    if (better && counts(row)) {
      best = &row;
      bestWeight = weight;
    }
  }
  return best;
}

/** The upstream on which all hosts agree for the request's subject. */
gsFleetRow const* PreferredFor(gsFleet const& fleet,
                               std::vector<std::size_t> const& rows,
                               gsPlacementAsk const& ask, Choice const& choice,
                               gsTime now)
{
  std::uint64_t subject = gsSubjectOf(ask);
  if (subject == 0) {
    return nullptr;
  }
  return FirstInOrder(fleet, rows, subject, [&](gsFleetRow const& row) {
    return MayGet(fleet, row, ask, now) && InGroup(row, choice);
  });
}

/** Whether other engines may take parts from it, as far as is known. */
bool CanHandOver(gsFleet const& fleet, gsFleetRow const& row,
                 gsPlacementAsk const& ask, gsTime now)
{
  return row.AvoidUntil <= now && IsAllowed(fleet, row, ask) &&
         !gsHallIsCutOff(fleet.Halls, row.Listed.Hall);
}

/** The one that was preferred before the last change of the division. */
gsFleetRow const* PreferredBefore(gsFleet const& fleet,
                                  std::vector<std::size_t> const& rows,
                                  gsPlacementAsk const& ask,
                                  Choice const& choice, gsTime now)
{
  return FirstInOrder(fleet, rows, gsSubjectOf(ask),
                      [&](gsFleetRow const& row) {
                        bool fits = row.GroupBefore == gsFleetGroup::Any ||
                                    row.GroupBefore == choice.Group;
                        return fits && CanHandOver(fleet, row, ask, now);
                      });
}

/** How sure it is that a subject's home holds its shared parts. */
double HomeShare(gsFleetRow const& home, gsTime now)
{
  if (home.RestartedAt.count() == 0) {
    return PreferredShare;
  }
  double filled = gsToSeconds(now - home.RestartedAt) / gsToSeconds(HomeFill);
  return PreferredShare * std::clamp(filled, 0.0, 1.0);
}

bool IsMovable(gsFleetSettings const& settings, gsPlacementAsk const& ask)
{
  return ask.MayMove && gsSharedTokens(ask) >= settings.MinMovedTokens;
}

} // namespace

std::uint32_t ExpectedRead(gsFleet const& fleet, gsFleetRow const& row,
                           gsPlacementAsk const& ask, Choice const& choice,
                           std::uint32_t toRead, gsTime now)
{
  std::uint32_t shared = gsSharedTokens(ask);
  std::uint32_t cached = ask.PromptTokens - toRead;
  double missing = shared - std::min(shared, cached);
  double saved = 0;
  if (&row == choice.Preferred) {
    saved = HomeShare(row, now);
  } else if (IsMovable(fleet.Settings, ask) && choice.Preferred != nullptr) {
    saved = HomeShare(*choice.Preferred, now) * HandedOverShare;
  }
  return toRead - static_cast<std::uint32_t>(saved * missing);
}

namespace {

/** What reading shared parts a further time costs, in tokens. */
double AgainCost(gsFleet const& fleet, gsFleetRow const& row,
                 gsPlacementAsk const& ask, Choice const& choice,
                 std::uint32_t toRead, gsTime now)
{
  if (choice.Preferred == nullptr) {
    return 0;
  }
  std::uint32_t shared = gsSharedTokens(ask);
  std::uint32_t cached = ask.PromptTokens - toRead;
  double missing = shared - std::min(shared, cached);
  if (&row == choice.Preferred) {
    // Other hosts send the same subject there.
    missing *= 1 - HomeShare(row, now);
  }
  bool movable = IsMovable(fleet.Settings, ask);
  return missing *
         (movable ? fleet.Settings.MovedWeight : fleet.Settings.AgainWeight);
}

} // namespace

double ExpectedShare(gsFleet const& fleet, gsFleetRow const& row,
                     gsPlacementAsk const& ask, Choice const& choice,
                     std::uint32_t toRead, gsTime now)
{
  if (ask.TargetTokens <= 0 || ask.TokenMillis <= 0) {
    return 0;
  }
  gsOpenWork work = gsWorkAt(fleet, row, now);
  double slots = std::max(1U, row.Listed.Slots);
  double queued = std::max(0.0, work.Running + 1.0 - slots);
  bool isLong = gsIsBefore(row, choice.Border);
  double hold = isLong ? choice.HoldLong : choice.HoldTight;
  double wait = queued * hold / slots / ask.TokenMillis;
  double tokens = static_cast<double>(work.ReadTokens) + toRead;
  return (tokens + wait) / ask.TargetTokens;
}

namespace {

/** What it costs that the answer may begin beyond its target. */
double MissCost(gsFleet const& fleet, gsFleetRow const& row,
                gsPlacementAsk const& ask, Choice const& choice,
                std::uint32_t toRead, gsTime now)
{
  double share = ExpectedShare(fleet, row, ask, choice, toRead, now);
  double chance =
    std::clamp((share - MissFrom) / (MissSure - MissFrom), 0.0, 1.0);
  // Of several that surely miss, the one that misses least is the best.
  double beyond = std::max(0.0, share - MissSure);
  return fleet.Settings.MissTokens * (chance + beyond / MissSure);
}

} // namespace

bool HoldsShared(gsFleet const& fleet, gsFleetRow const& row,
                 gsPlacementAsk const& ask, gsTime now)
{
  std::uint32_t toRead = gsTokensToRead(fleet, row, ask, now);
  return toRead + gsSharedTokens(ask) <= ask.PromptTokens;
}

gsFleetRow const* HolderFor(gsFleet const& fleet,
                            gsCandidates const& candidates,
                            gsPlacementAsk const& ask, Choice const& choice,
                            gsFleetRow const& chosen, gsTime now)
{
  bool movable = choice.Preferred != nullptr && IsMovable(fleet.Settings, ask);
  if (!movable || HoldsShared(fleet, chosen, ask, now)) {
    return nullptr;
  }
  for (std::size_t index : candidates.Rows) {
    gsFleetRow const& row = fleet.Rows[index];
    if (CanHandOver(fleet, row, ask, now) &&
        HoldsShared(fleet, row, ask, now)) {
      return &row;
    }
  }
  bool fresh = HomeShare(*choice.Preferred, now) < PreferredShare;
  if (&chosen != choice.Preferred && !fresh) {
    return choice.Preferred;
  }
  gsFleetRow const* before =
    PreferredBefore(fleet, candidates.Homes, ask, choice, now);
  if (before != nullptr && before != &chosen) {
    return before;
  }
  // What its home could not take has gone to the next in its order.
  return FirstInOrder(fleet, candidates.Homes, gsSubjectOf(ask),
                      [&](gsFleetRow const& row) {
                        return &row != &chosen && InGroup(row, choice) &&
                               CanHandOver(fleet, row, ask, now);
                      });
}

namespace {

double OtherGroupCost(gsFleetSettings const& settings, Choice const& choice)
{
  bool isLong = choice.Group == gsFleetGroup::Long;
  if (isLong && choice.Pace != nullptr && gsIsPressed(*choice.Pace)) {
    return 0;
  }
  return settings.OtherGroupTokens + (isLong ? settings.HoldUpTokens : 0);
}

/** The place of an engine in a subject's own order of all but its home. */
double SpreadCost(gsFleet const& fleet, gsFleetRow const& row,
                  gsPlacementAsk const& ask, Choice const& choice,
                  bool holdsSubject)
{
  bool isHome = &row == choice.Preferred;
  if (choice.Preferred == nullptr || isHome || holdsSubject) {
    return 0;
  }
  return fleet.Settings.SpreadTokens *
         (1 - gsRendezvousDraw(row.Listed.Id, gsSubjectOf(ask)));
}

/** What an engine costs whose memory would not do: it preempts others. */
double FullCost(gsFleet const& fleet, gsFleetRow const& row,
                gsPlacementAsk const& ask, gsTime now)
{
  if (ask.UpstreamMemory == 0) {
    return 0;
  }
  double taken = static_cast<double>(gsWorkAt(fleet, row, now).MemoryTokens +
                                     ask.PromptTokens + ask.AnswerTokens);
  double limit =
    fleet.Settings.MemoryShare * static_cast<double>(ask.UpstreamMemory);
  return taken <= limit
           ? 0
           : fleet.Settings.FullTokens + std::max(0.0, taken - limit);
}

} // namespace

Choice MakeChoice(gsFleet const& fleet, gsPlacementAsk const& ask)
{
  Choice choice;
  choice.Group = ask.Group;
  choice.Border = gsLongBorder(fleet, ask.Service);
  auto demand = fleet.Demand.find(std::string(ask.Service));
  if (demand != fleet.Demand.end()) {
    choice.HoldLong = demand->second.HoldLong;
    choice.HoldTight = demand->second.HoldTight;
  }
  auto pace = fleet.Paces.find(std::string(ask.Service));
  choice.Pace = pace == fleet.Paces.end() ? nullptr : &pace->second;
  return choice;
}

void NoteCandidates(Choice& choice, gsFleet const& fleet,
                    gsCandidates const& candidates, gsPlacementAsk const& ask,
                    gsTime now)
{
  choice.UsualFailShare = MeanFailShare(fleet, candidates.Rows, now);
  choice.Preferred = PreferredFor(fleet, candidates.Homes, ask, choice, now);
}

double TotalCost(gsFleet const& fleet, gsFleetRow const& row,
                 gsPlacementAsk const& ask, Choice const& choice,
                 std::uint32_t toRead, gsTime now)
{
  std::uint32_t expected = ExpectedRead(fleet, row, ask, choice, toRead, now);
  double cost = CostOf(fleet, row, ask, expected, choice.UsualFailShare, now);
  cost += AgainCost(fleet, row, ask, choice, toRead, now);
  cost += FullCost(fleet, row, ask, now);
  cost += MissCost(fleet, row, ask, choice, expected, now);
  // All engines soon hold the parts that all subjects share; what counts is
  // whether one holds the subject's own too.
  bool holds = toRead + gsSharedTokens(ask) <= ask.PromptTokens;
  cost += SpreadCost(fleet, row, ask, choice, holds);
  return InGroup(row, choice) ? cost
                              : cost + OtherGroupCost(fleet.Settings, choice);
}

} // namespace gsPlacementDetail
