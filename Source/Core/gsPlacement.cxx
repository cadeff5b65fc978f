/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsPlacement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <random>
#include <utility>

#include "gsArrangement.h"
#include "gsRendezvous.h"

namespace {

/** Expected first token, as a share of the target, from which on a miss is
 * thought possible, and at which it is thought sure. */
constexpr double MissFrom = 0.7;
constexpr double MissSure = 1.3;
/** Failures above the mean that are put down to chance. */
constexpr double FailTolerance = 0.2;
/** Ties are broken within so many tokens, so that hosts do not herd. */
constexpr double TieTokens = 30;
/** Share of an upstream's connections that all hosts use together, */
constexpr double ConnectionUse = 0.9;
/** and what one host may use in any case. */
constexpr std::uint32_t LeastConnections = 2;
/** How sure it is that the preferred upstream holds a shared part. */
constexpr double PreferredShare = 0.8;
/**
 * Share of the time to read parts that is saved when they are handed over.
 * Worked out from engines' data, not measured: some 4,000 tokens take 20 ms
 * over an engine's link and 100 ms or more to read, on engines of 40 tokens a
 * millisecond.
 */
constexpr double HandedOverShare = 0.8;

/** A request looks at so many upstreams at least: of two, chosen at random,
 * the emptier is a good choice already, and one of them may be unreachable. */
constexpr std::size_t LeastLooks = 4;

/**
 * While so many slots are free for each host, the emptiest upstream is one of
 * many: requests go by their subjects' own order there, and every upstream is
 * looked at. With few looks always, 0.05 of a calm day's worth was lost.
 */
constexpr std::size_t FreeSlotsOfEach = 2;
/** Share of a less urgent kind's requests that take a place which is kept for
 * more urgent ones, so that none is shut out for as long as these press: one
 * in twenty, as in the pools of the own interface. */
constexpr double LeastShare = 0.05;

/** What all candidates of one choice have in common. */
struct Choice
{
  double UsualFailShare = 0;
  gsFleetRow const* Preferred = nullptr; ///< Of the request's subject.
  gsFleetGroup Group = gsFleetGroup::Any;
  std::uint32_t LongEngines = 0;
  double HoldLong = 0;                ///< See gsDemand.
  double HoldTight = 0;               ///< See gsDemand.
  gsEnginePace const* Pace = nullptr; ///< Of the service; null if unknown.
};

bool Contains(std::vector<std::string> const* list, std::string const& id)
{
  return list != nullptr &&
         std::find(list->begin(), list->end(), id) != list->end();
}

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

bool MayGet(gsFleet const& fleet, gsFleetRow const& row,
            gsPlacementAsk const& ask, gsTime now)
{
  return HasConnection(row, ask) && !row.Listed.Leaving &&
         row.AvoidUntil <= now && !Contains(ask.Tried, row.Listed.Id) &&
         gsHallMayTry(fleet.Halls, row.Listed.Hall, now);
}

/** Whether it has a place that is not kept for more urgent requests. */
bool HasPlace(gsFleet const& fleet, gsFleetRow const& row,
              gsPlacementAsk const& ask, gsTime now)
{
  std::uint32_t most = gsMostOpen(row.Listed.Slots, ask.MoreUrgentKinds);
  return most == 0 || gsWorkAt(fleet, row, now).Running < most;
}

/** Why none can be chosen, with one more that cannot. */
gsPlacementCause CauseAgainst(gsFleet const& fleet, gsFleetRow const& row,
                              gsPlacementAsk const& ask, gsTime now,
                              gsPlacementCause before)
{
  if (row.Listed.Leaving || Contains(ask.Tried, row.Listed.Id) ||
      before == gsPlacementCause::Full) {
    return before;
  }
  if (MayGet(fleet, row, ask, now)) {
    return gsPlacementCause::Full;
  }
  bool unreachable =
    row.AvoidUntil > now || !gsHallMayTry(fleet.Halls, row.Listed.Hall, now);
  return unreachable ? gsPlacementCause::Unreachable
                     : gsPlacementCause::NoConnection;
}

bool InGroup(gsFleetRow const& row, Choice const& choice)
{
  if (choice.Group == gsFleetGroup::Any || choice.LongEngines == 0) {
    return true;
  }
  bool isLong = row.Rank < choice.LongEngines;
  return isLong == (choice.Group == gsFleetGroup::Long);
}

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
bool CanHandOver(gsFleet const& fleet, gsFleetRow const& row, gsTime now)
{
  return row.AvoidUntil <= now &&
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
                        return fits && CanHandOver(fleet, row, now);
                      });
}

bool IsMovable(gsFleetSettings const& settings, gsPlacementAsk const& ask)
{
  return ask.MayMove && gsSharedTokens(ask) >= settings.MinMovedTokens;
}

/**
 * Tokens that the upstream will probably read: not those of shared parts that
 * other hosts have had read there, or that another engine can hand over.
 */
std::uint32_t ExpectedRead(gsFleet const& fleet, gsFleetRow const& row,
                           gsPlacementAsk const& ask, Choice const& choice,
                           std::uint32_t toRead)
{
  std::uint32_t shared = gsSharedTokens(ask);
  std::uint32_t cached = ask.PromptTokens - toRead;
  double missing = shared - std::min(shared, cached);
  double saved = 0;
  if (&row == choice.Preferred) {
    saved = PreferredShare;
  } else if (IsMovable(fleet.Settings, ask) && choice.Preferred != nullptr) {
    saved = PreferredShare * HandedOverShare;
  }
  return toRead - static_cast<std::uint32_t>(saved * missing);
}

/** What reading shared parts a further time costs, in tokens. */
double AgainCost(gsFleet const& fleet, gsFleetRow const& row,
                 gsPlacementAsk const& ask, Choice const& choice,
                 std::uint32_t toRead)
{
  if (choice.Preferred == nullptr) {
    return 0;
  }
  std::uint32_t shared = gsSharedTokens(ask);
  std::uint32_t cached = ask.PromptTokens - toRead;
  double missing = shared - std::min(shared, cached);
  if (&row == choice.Preferred) {
    // Other hosts send the same subject there.
    missing *= 1 - PreferredShare;
  }
  bool movable = IsMovable(fleet.Settings, ask);
  return missing *
         (movable ? fleet.Settings.MovedWeight : fleet.Settings.AgainWeight);
}

/** Time until the first token, as a share of the target; zero if unknown. */
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
  bool isLong = row.Rank < choice.LongEngines;
  double hold = isLong ? choice.HoldLong : choice.HoldTight;
  double wait = queued * hold / slots / ask.TokenMillis;
  double tokens = static_cast<double>(work.ReadTokens) + toRead;
  return (tokens + wait) / ask.TargetTokens;
}

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

bool HoldsShared(gsFleet const& fleet, gsFleetRow const& row,
                 gsPlacementAsk const& ask, gsTime now)
{
  std::uint32_t toRead = gsTokensToRead(fleet, row, ask, now);
  return toRead + gsSharedTokens(ask) <= ask.PromptTokens;
}

/** The engine from which the chosen one may take the shared parts. */
gsFleetRow const* HolderFor(gsFleet const& fleet,
                            std::vector<std::size_t> const& rows,
                            gsPlacementAsk const& ask, Choice const& choice,
                            gsFleetRow const& chosen, gsTime now)
{
  bool movable = choice.Preferred != nullptr && IsMovable(fleet.Settings, ask);
  if (!movable || HoldsShared(fleet, chosen, ask, now)) {
    return nullptr;
  }
  for (std::size_t index : rows) {
    gsFleetRow const& row = fleet.Rows[index];
    if (CanHandOver(fleet, row, now) && HoldsShared(fleet, row, ask, now)) {
      return &row;
    }
  }
  if (&chosen != choice.Preferred) {
    return choice.Preferred;
  }
  gsFleetRow const* before = PreferredBefore(fleet, rows, ask, choice, now);
  if (before != nullptr && before != &chosen) {
    return before;
  }
  // What its home could not take has gone to the next in its order.
  return FirstInOrder(fleet, rows, gsSubjectOf(ask),
                      [&](gsFleetRow const& row) {
                        return &row != &chosen && InGroup(row, choice) &&
                               CanHandOver(fleet, row, now);
                      });
}

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
  constexpr double most =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  auto weight =
    static_cast<double>(gsRendezvousWeight(row.Listed.Id, gsSubjectOf(ask)));
  return fleet.Settings.SpreadTokens * (1 - weight / most);
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

Choice MakeChoice(gsFleet const& fleet, std::vector<std::size_t> const& rows,
                  gsPlacementAsk const& ask, gsTime now)
{
  Choice choice;
  choice.UsualFailShare = MeanFailShare(fleet, rows, now);
  choice.Group = ask.Group;
  choice.LongEngines = gsLongEngines(fleet, ask.Service);
  auto demand = fleet.Demand.find(std::string(ask.Service));
  if (demand != fleet.Demand.end()) {
    choice.HoldLong = demand->second.HoldLong;
    choice.HoldTight = demand->second.HoldTight;
  }
  auto pace = fleet.Paces.find(std::string(ask.Service));
  choice.Pace = pace == fleet.Paces.end() ? nullptr : &pace->second;
  choice.Preferred = PreferredFor(fleet, rows, ask, choice, now);
  return choice;
}

/** A choice under way. */
struct Search
{
  gsFleet& Fleet;
  gsPlacementAsk const& Ask;
  Choice const& Common;
  gsTime Now;
  gsRandom& Random;
  gsPlacement Best;  ///< Of those considered so far.
  double Share;      ///< Best's time to the first token, of the target.
  std::size_t Looks; ///< Upstreams that the request looks at.
};

/** What a candidate costs, in tokens. */
double TotalCost(Search const& search, gsFleetRow const& row,
                 std::uint32_t toRead)
{
  gsFleet const& fleet = search.Fleet;
  gsPlacementAsk const& ask = search.Ask;
  Choice const& choice = search.Common;
  gsTime now = search.Now;
  std::uint32_t expected = ExpectedRead(fleet, row, ask, choice, toRead);
  double cost = CostOf(fleet, row, ask, expected, choice.UsualFailShare, now);
  cost += AgainCost(fleet, row, ask, choice, toRead);
  cost += FullCost(fleet, row, ask, now);
  cost += MissCost(fleet, row, ask, choice, expected, now);
  // All engines soon hold the parts that all subjects share; what counts is
  // whether one holds the subject's own too.
  bool holds = toRead + gsSharedTokens(ask) <= ask.PromptTokens;
  cost += SpreadCost(fleet, row, ask, choice, holds);
  return InGroup(row, choice) ? cost
                              : cost + OtherGroupCost(fleet.Settings, choice);
}

/**
 * Of engines with a whole batch waiting behind their slots nobody knows which
 * turns the next request away, and a subject gains nothing by waiting at its
 * own: hosts choose among these at random, not all alike. The range is twice
 * that of the subject's own order, which it has to outweigh.
 */
double CrowdedCost(Search& search, gsFleetRow const& row)
{
  std::uint32_t crowded = gsMostOpen(row.Listed.Slots, 1);
  bool isCrowded = gsWorkAt(search.Fleet, row, search.Now).Running >= crowded;
  if (!isCrowded || search.Ask.Hosts <= 1) {
    return 0;
  }
  std::uniform_real_distribution<double> draw(
    0, 2 * search.Fleet.Settings.SpreadTokens);
  return draw(search.Random);
}

/** Takes those of the rows in that may be sent the request, and of which one
 * is cheaper than the best so far. */
void Consider(Search& search, std::vector<std::size_t> const& rows)
{
  gsPlacement& best = search.Best;
  std::uniform_real_distribution<double> tie(0, TieTokens);
  for (std::size_t index : rows) {
    gsFleetRow& row = search.Fleet.Rows[index];
    bool may = MayGet(search.Fleet, row, search.Ask, search.Now) &&
               HasPlace(search.Fleet, row, search.Ask, search.Now);
    if (!may) {
      if (best.Row == nullptr) {
        best.Cause =
          CauseAgainst(search.Fleet, row, search.Ask, search.Now, best.Cause);
      }
      continue;
    }
    ++best.Candidates;
    std::uint32_t toRead =
      gsTokensToRead(search.Fleet, row, search.Ask, search.Now);
    double cost = TotalCost(search, row, toRead) + CrowdedCost(search, row) +
                  tie(search.Random);
    if (best.Row != nullptr && cost >= best.Cost) {
      continue;
    }
    bool cached = toRead < search.Ask.PromptTokens;
    bool preferred = &row == search.Common.Preferred;
    best.Row = &row;
    best.Cost = cost;
    best.ReadTokens = toRead;
    best.Cause = cached      ? gsPlacementCause::Cached
                 : preferred ? gsPlacementCause::Preferred
                             : gsPlacementCause::LeastLoaded;
    search.Share = ExpectedShare(
      search.Fleet, row, search.Ask, search.Common,
      ExpectedRead(search.Fleet, row, search.Ask, search.Common, toRead),
      search.Now);
  }
}

/** Slots that are free at the upstreams for this kind of request. */
std::size_t FreeSlots(Search const& search,
                      std::vector<std::size_t> const& rows)
{
  std::size_t slots = 0;
  for (std::size_t index : rows) {
    gsFleetRow const& row = search.Fleet.Rows[index];
    bool counts = InGroup(row, search.Common) &&
                  MayGet(search.Fleet, row, search.Ask, search.Now);
    std::uint32_t running = gsWorkAt(search.Fleet, row, search.Now).Running;
    slots +=
      counts ? row.Listed.Slots - std::min(row.Listed.Slots, running) : 0;
  }
  return slots;
}

std::size_t LooksOf(Search const& search, std::vector<std::size_t> const& rows)
{
  std::size_t hosts = search.Ask.Hosts;
  std::uint32_t slots = search.Fleet.Rows[rows.front()].Listed.Slots;
  std::size_t looks = gsLooks(rows.size(), slots, hosts);
  // What reads no prompt is done at once: the nearest idle one serves it best.
  if (search.Ask.PromptTokens == 0 || looks >= rows.size()) {
    return rows.size();
  }
  bool scarce = FreeSlots(search, rows) < FreeSlotsOfEach * hosts;
  return scarce ? looks : rows.size();
}

/**
 * The first upstreams in the order of the request's subject, and those where
 * this host has had the subject read: half of the looks, so that requests of
 * one subject stay together.
 */
std::vector<std::size_t> FirstLooks(Search const& search,
                                    std::vector<std::size_t> const& rows)
{
  std::size_t looks = search.Looks;
  if (looks >= rows.size()) {
    return rows;
  }
  std::uint64_t subject = gsSubjectOf(search.Ask);
  if (subject == 0) {
    return {};
  }
  std::vector<std::pair<std::uint64_t, std::size_t>> order;
  std::vector<std::size_t> chosen;
  for (std::size_t index : rows) {
    gsFleetRow const& row = search.Fleet.Rows[index];
    if (HoldsShared(search.Fleet, row, search.Ask, search.Now)) {
      chosen.push_back(index);
    } else if (InGroup(row, search.Common) &&
               MayGet(search.Fleet, row, search.Ask, search.Now)) {
      order.emplace_back(gsRendezvousWeight(row.Listed.Id, subject), index);
    }
  }
  std::size_t first = std::min((looks + 1) / 2, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(first),
                    order.end(), std::greater<>());
  for (std::size_t i = 0; i < first; ++i) {
    chosen.push_back(order[i].second);
  }
  return chosen;
}

/** As many at random, for a request that may miss its target. */
std::vector<std::size_t> FurtherLooks(Search const& search,
                                      std::vector<std::size_t> const& rows)
{
  std::size_t looks = search.Looks;
  if (looks >= rows.size()) {
    return {};
  }
  bool none = gsSubjectOf(search.Ask) == 0;
  std::vector<std::size_t> chosen;
  std::sample(rows.begin(), rows.end(), std::back_inserter(chosen),
              none ? looks : (looks + 1) / 2, search.Random);
  return chosen;
}

std::uint32_t RunningAt(Search const& search, gsFleetRow const& row)
{
  return gsWorkAt(search.Fleet, row, search.Now).Running;
}

/** Requests at the fullest of the engines that may get one. */
std::uint32_t Fullest(Search const& search,
                      std::vector<std::size_t> const& rows)
{
  std::uint32_t most = 0;
  for (std::size_t index : rows) {
    gsFleetRow const& row = search.Fleet.Rows[index];
    if (MayGet(search.Fleet, row, search.Ask, search.Now)) {
      most = std::max(most, RunningAt(search, row));
    }
  }
  return most;
}

/**
 * Places that an engine has left: before a whole batch waits there, or, for
 * the most urgent kind, before it is as full as the fullest, which may turn
 * the next request away.
 */
std::uint32_t PlacesAt(Search const& search, gsFleetRow const& row,
                       std::uint32_t fullest)
{
  std::uint32_t kinds = search.Ask.MoreUrgentKinds;
  std::uint32_t most = gsMostOpen(row.Listed.Slots, std::max(1U, kinds));
  if (kinds == 0) {
    most = std::max(most, fullest);
  }
  bool may = MayGet(search.Fleet, row, search.Ask, search.Now);
  return may ? most - std::min(most, RunningAt(search, row)) : 0;
}

/**
 * One engine by its places, or none: all hosts together send as many requests
 * as there are places, whichever of them see them.
 */
std::vector<std::size_t> OneByPlaces(Search const& search,
                                     std::vector<std::size_t> const& rows)
{
  std::uint32_t fullest = Fullest(search, rows);
  std::vector<double> places;
  places.reserve(rows.size());
  double all = 0;
  for (std::size_t index : rows) {
    places.push_back(PlacesAt(search, search.Fleet.Rows[index], fullest));
    all += places.back();
  }
  std::uniform_real_distribution<double> draw(0, 1);
  double wanted = draw(search.Random) * static_cast<double>(search.Ask.Hosts);
  if (all <= 0 || all < wanted) {
    return {};
  }
  std::discrete_distribution<std::size_t> one(places.begin(), places.end());
  return { rows[one(search.Random)] };
}

bool IsCrowded(Search const& search, gsFleetRow const* row)
{
  return row == nullptr ||
         RunningAt(search, *row) >= gsMostOpen(row->Listed.Slots, 1);
}

/** Whether the best so far leaves something to be desired. */
bool WantsMore(Search const& search)
{
  gsFleetRow const* best = search.Best.Row;
  if (best == nullptr || search.Share >= MissFrom) {
    return true;
  }
  return RunningAt(search, *best) >= best->Listed.Slots;
}

/** Looks at what the request is to look at, until one will do. */
void LookAround(Search& search, std::vector<std::size_t> const& rows)
{
  Consider(search, FirstLooks(search, rows));
  if (search.Looks >= rows.size()) {
    return;
  }
  if (WantsMore(search)) {
    Consider(search, FurtherLooks(search, rows));
  }
  if (!IsCrowded(search, search.Best.Row)) {
    return;
  }
  std::vector<std::size_t> one = OneByPlaces(search, rows);
  if (!one.empty()) {
    search.Best.Row = nullptr;
    Consider(search, one);
  } else if (search.Best.Row == nullptr && search.Ask.MoreUrgentKinds == 0) {
    Consider(search, rows);
  }
}

} // namespace

std::size_t gsLooks(std::size_t upstreams, std::uint32_t slots,
                    std::size_t hosts)
{
  constexpr double slotsShare = 0.5;
  double arrivals = static_cast<double>(std::max<std::size_t>(hosts, 1));
  double looks =
    std::ceil(static_cast<double>(upstreams) * slotsShare * slots / arrivals);
  return std::max(LeastLooks, static_cast<std::size_t>(looks));
}

std::uint32_t gsMostOpen(std::uint32_t slots, std::uint32_t moreUrgentKinds)
{
  return moreUrgentKinds == 0 ? 0 : slots + slots / moreUrgentKinds;
}

char const* gsPlacementWord(gsPlacementCause cause)
{
  switch (cause) {
    case gsPlacementCause::Cached:
      return "cached";
    case gsPlacementCause::Preferred:
      return "preferred";
    case gsPlacementCause::LeastLoaded:
      return "least_loaded";
    case gsPlacementCause::NoUpstream:
      return "no_upstream";
    case gsPlacementCause::NoConnection:
      return "no_connection";
    case gsPlacementCause::Full:
      return "full";
    case gsPlacementCause::Unreachable:
      break;
  }
  return "unreachable";
}

std::uint32_t gsConnectionShare(std::uint32_t accepted, std::size_t hosts)
{
  if (accepted == 0) {
    return 0;
  }
  double share = ConnectionUse * accepted /
                 static_cast<double>(std::max<std::size_t>(hosts, 1));
  return std::max(LeastConnections, static_cast<std::uint32_t>(share));
}

std::uint64_t gsSubjectOf(gsPlacementAsk const& ask)
{
  if (ask.Parts == nullptr || ask.Parts->size() < 2) {
    return 0;
  }
  return (*ask.Parts)[ask.Parts->size() - 2].Name;
}

std::uint32_t gsSharedTokens(gsPlacementAsk const& ask)
{
  if (ask.Parts == nullptr) {
    return 0;
  }
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < ask.Parts->size(); ++i) {
    tokens += (*ask.Parts)[i].Tokens;
  }
  return tokens;
}

std::uint32_t gsTokensToRead(gsFleet const& fleet, gsFleetRow const& row,
                             gsPlacementAsk const& ask, gsTime now)
{
  if (ask.Parts == nullptr) {
    return ask.PromptTokens;
  }
  std::uint32_t cached = 0;
  // A part is only kept together with all before it.
  for (gsPromptPart const& part : *ask.Parts) {
    auto known = row.Parts.find(part.Name);
    if (known == row.Parts.end() ||
        now - known->second > fleet.Settings.PartMemory) {
      break;
    }
    cached += part.Tokens;
  }
  return ask.PromptTokens - std::min(cached, ask.PromptTokens);
}

gsPlacement gsPlace(gsFleet& fleet, gsPlacementAsk const& asked, gsTime now,
                    gsRandom& random)
{
  auto rows = fleet.ByService.find(std::string(asked.Service));
  if (rows == fleet.ByService.end()) {
    return {};
  }
  gsRefreshHalls(fleet, now);
  gsPlacementAsk ask = asked;
  std::uniform_real_distribution<double> draw(0, 1);
  if (ask.MoreUrgentKinds > 0 && draw(random) < LeastShare) {
    ask.MoreUrgentKinds = 0;
  }
  Choice choice = MakeChoice(fleet, rows->second, ask, now);
  Search search{ fleet, ask, choice, now, random, {}, 0, 0 };
  search.Looks = LooksOf(search, rows->second);
  search.Best.Group =
    choice.LongEngines == 0 ? gsFleetGroup::Any : choice.Group;
  LookAround(search, rows->second);
  gsPlacement& best = search.Best;
  if (best.Row != nullptr) {
    gsHallNoteTry(fleet.Halls, fleet.Settings.HallReach, best.Row->Listed.Hall,
                  now);
    best.Holder = HolderFor(fleet, rows->second, ask, choice, *best.Row, now);
  }
  if (best.Holder != nullptr) {
    best.ReadTokens = std::min(
      best.ReadTokens,
      ask.PromptTokens - std::min(ask.PromptTokens, gsSharedTokens(ask)));
  }
  return best;
}
