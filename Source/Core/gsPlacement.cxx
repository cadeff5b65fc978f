/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsPlacement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <random>
#include <utility>

#include "gsPlacementCost.h"
#include "gsRendezvous.h"

using namespace gsPlacementDetail;

namespace {

/** Ties are broken within so many tokens, so that hosts do not herd. */
constexpr double TieTokens = 30;
/** Share of an upstream's connections that all hosts use together, */
constexpr double ConnectionUse = 0.9;
/** and what one host may use in any case. */
constexpr std::uint32_t LeastConnections = 2;
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

/** Whether it could be sent the request but for its rest, or for its turn to
 * be come back to. */
bool IsOnlyResting(gsFleet const& fleet, gsFleetRow const& row,
                   gsPlacementAsk const& ask, gsTime now)
{
  bool rests = gsIsResting(row.Heard, now);
  gsTime over = rests ? row.Heard.RestUntil : now;
  return (rests || WaitsToReturn(fleet, row, ask, now)) &&
         gsTakesWork(fleet, row, over) && IsAllowed(fleet, row, ask);
}

/** Notes when the first of those that rest wants work again. */
void NoteRest(gsPlacement& best, gsFleetRow const& row, gsTime now)
{
  gsTime left = row.Heard.RestUntil - now;
  bool first = best.RestLeft.count() == 0 || left < best.RestLeft;
  if (left.count() > 0 && first) {
    best.RestLeft = left;
  }
}

/** Why none can be chosen, with one more that cannot. */
gsPlacementCause CauseAgainst(gsFleet const& fleet, gsFleetRow const& row,
                              gsPlacementAsk const& ask, gsTime now,
                              gsPlacementCause before)
{
  if (WasTried(ask, row) || before == gsPlacementCause::Full ||
      before == gsPlacementCause::RateLimited) {
    return before;
  }
  if (IsOnlyResting(fleet, row, ask, now)) {
    return gsPlacementCause::Resting;
  }
  if (!gsTakesWork(fleet, row, now)) {
    return before;
  }
  if (MayGet(fleet, row, ask, now)) {
    return gsPlacementCause::Full;
  }
  if (!IsAllowed(fleet, row, ask)) {
    return before == gsPlacementCause::NoUpstream
             ? gsPlacementCause::OutsideRegions
             : before;
  }
  if (IsTooCold(fleet, row, ask, now)) {
    return gsPlacementCause::Cold;
  }
  bool unreachable =
    row.AvoidUntil > now || !gsHallMayTry(fleet.Halls, row.Listed.Hall, now);
  return unreachable ? gsPlacementCause::Unreachable
                     : gsPlacementCause::NoConnection;
}

/** A choice under way. */
struct Search
{
  gsFleet& Fleet;
  gsPlacementAsk const& Ask;
  Choice const& Common;
  gsTime Now;
  gsRandom& Random;
  gsPlacement Best;       ///< Of those considered so far.
  double Share;           ///< Best's time to the first token, of the target.
  std::size_t Looks;      ///< Upstreams that the request looks at.
  double RateLimitedCost; ///< Of Best.RateLimitedRow, without the wait.
  double RateLimitedCostWithWait; ///< Including the wait for a token.
  gsCandidates Among;
};

/** Upstreams of the service for each one that is weighed. */
double MembersForEachWeighed(Search const& search)
{
  return static_cast<double>(search.Among.Members) /
         static_cast<double>(search.Among.Rows.size());
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

/** Records an upstream that only lacks a token. Keeps the one with the lowest
 * cost including the expected wait for a token. */
void NoteRateLimited(Search& search, gsFleetRow const& row, double cost)
{
  gsPlacement& best = search.Best;
  gsTime wait =
    gsExpectedTokenWait(search.Fleet.RateLimits, row.Hash, 0, search.Now);
  double millis = search.Ask.TokenMillis;
  double waitCost = millis > 0 ? gsToSeconds(wait) * 1e3 / millis : 0;
  if (best.RateLimitedRow == nullptr ||
      cost + waitCost < search.RateLimitedCostWithWait) {
    best.RateLimitedRow = &row;
    search.RateLimitedCost = cost;
    search.RateLimitedCostWithWait = cost + waitCost;
  }
  if (best.Row == nullptr && best.Cause != gsPlacementCause::Full) {
    best.Cause = gsPlacementCause::RateLimited;
    best.RestLeft =
      best.RestLeft.count() == 0 ? wait : std::min(best.RestLeft, wait);
  }
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
        if (IsOnlyResting(search.Fleet, row, search.Ask, search.Now)) {
          NoteRest(best, row, search.Now);
        }
      }
      continue;
    }
    std::uint32_t toRead =
      gsTokensToRead(search.Fleet, row, search.Ask, search.Now);
    double cost = TotalCost(search.Fleet, row, search.Ask, search.Common,
                            toRead, search.Now) +
                  CrowdedCost(search, row) + tie(search.Random);
    if (!HasToken(search.Fleet, row, search.Now)) {
      NoteRateLimited(search, row, cost);
      continue;
    }
    ++best.Candidates;
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
    search.Share =
      ExpectedShare(search.Fleet, row, search.Ask, search.Common,
                    ExpectedRead(search.Fleet, row, search.Ask, search.Common,
                                 toRead, search.Now),
                    search.Now);
  }
}

/** Slots that are free at the upstreams for this kind of request, by those
 * that are weighed. */
double FreeSlots(Search const& search, std::vector<std::size_t> const& rows)
{
  std::size_t slots = 0;
  for (std::size_t index : rows) {
    gsFleetRow const& row = search.Fleet.Rows[index];
    bool counts = InGroup(row, search.Common) &&
                  MayGet(search.Fleet, row, search.Ask, search.Now) &&
                  HasToken(search.Fleet, row, search.Now);
    std::uint32_t running = gsWorkAt(search.Fleet, row, search.Now).Running;
    slots +=
      counts ? row.Listed.Slots - std::min(row.Listed.Slots, running) : 0;
  }
  return static_cast<double>(slots) * MembersForEachWeighed(search);
}

std::size_t LooksOf(Search const& search, std::vector<std::size_t> const& rows)
{
  std::size_t hosts = search.Ask.Hosts;
  std::uint32_t slots = search.Fleet.Rows[rows.front()].Listed.Slots;
  std::size_t looks = gsLooks(search.Among.Members, slots, hosts);
  // What reads no prompt is done at once: the nearest idle one serves it best.
  if (search.Ask.PromptTokens == 0 || looks >= rows.size()) {
    return rows.size();
  }
  bool scarce =
    FreeSlots(search, rows) < static_cast<double>(FreeSlotsOfEach * hosts);
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
  for (std::size_t index : search.Among.Homes) {
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
    if (MayGet(search.Fleet, row, search.Ask, search.Now) &&
        HasToken(search.Fleet, row, search.Now)) {
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
  bool may = MayGet(search.Fleet, row, search.Ask, search.Now) &&
             HasToken(search.Fleet, row, search.Now);
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
  if (all <= 0 || all * MembersForEachWeighed(search) < wanted) {
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
void LookAround(Search& search)
{
  std::vector<std::size_t> const& rows = search.Among.Rows;
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
    case gsPlacementCause::RateLimited:
      return "rate_limited";
    case gsPlacementCause::Full:
      return "full";
    case gsPlacementCause::Cold:
      return "cold";
    case gsPlacementCause::Resting:
      return "resting";
    case gsPlacementCause::OutsideRegions:
      return "outside_regions";
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

namespace {

/** A request as it is placed: a few of a less urgent kind take any place. */
gsPlacementAsk WithLuck(gsPlacementAsk const& asked, gsRandom& random)
{
  gsPlacementAsk ask = asked;
  std::uniform_real_distribution<double> draw(0, 1);
  if (ask.MoreUrgentKinds > 0 && draw(random) < LeastShare) {
    ask.MoreUrgentKinds = 0;
  }
  return ask;
}

/** Notes the choice, and where it may take the shared parts from. */
void Settle(Search& search)
{
  gsPlacement& best = search.Best;
  gsPlacementAsk const& ask = search.Ask;
  gsFleet& fleet = search.Fleet;
  if (best.Row == nullptr) {
    return;
  }
  if (best.RateLimitedRow != nullptr && search.RateLimitedCost >= best.Cost) {
    best.RateLimitedRow = nullptr;
  }
  gsHallNoteTry(fleet.Halls, fleet.Settings.HallReach, best.Row->Listed.Hall,
                search.Now);
  best.Holder =
    HolderFor(fleet, search.Among, ask, search.Common, *best.Row, search.Now);
  if (best.Holder != nullptr) {
    best.ReadTokens = std::min(
      best.ReadTokens,
      ask.PromptTokens - std::min(ask.PromptTokens, gsSharedTokens(ask)));
  }
}

} // namespace

gsPlacement gsPlace(gsFleet& fleet, gsPlacementAsk const& asked, gsTime now,
                    gsRandom& random)
{
  gsRefreshHalls(fleet, now);
  gsPlacementAsk ask = WithLuck(asked, random);
  Choice choice = MakeChoice(fleet, ask);
  gsCandidateAsk wanted{ ask.Service, gsSubjectOf(ask), choice.Group,
                         choice.Border };
  Search search{ fleet,
                 ask,
                 choice,
                 now,
                 random,
                 {},
                 0,
                 0,
                 0,
                 0,
                 gsCandidatesFor(fleet, wanted, random) };
  if (search.Among.Rows.empty()) {
    return {};
  }
  NoteCandidates(choice, fleet, search.Among, ask, now);
  search.Looks = LooksOf(search, search.Among.Rows);
  search.Best.Group = choice.Border ? choice.Group : gsFleetGroup::Any;
  LookAround(search);
  if (search.Best.Row == nullptr) {
    Consider(search, gsFurtherCandidates(fleet, wanted, random));
  }
  Settle(search);
  return search.Best;
}
