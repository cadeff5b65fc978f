/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsFleet.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "gsRendezvous.h"

namespace {

constexpr double PaceQuantile = 0.2;
constexpr double PaceStep = 0.03;
constexpr std::uint32_t MinPaceSamples = 40;
/** Times the pace of the fast above which an engine is slow. */
constexpr double SlowFactor = 1.18;
/** Share of the engines that may be faster than those called fast. */
constexpr double FastShare = 0.1;
/** By how much the groups' border must be off before it moves: engines, */
constexpr double BorderSlack = 1.2;
/** and as a share of all. */
constexpr double BorderSlackShare = 0.03;
constexpr double PromptSmoothing = 0.05;
constexpr double HoldSmoothing = 0.05;
/** Expected first token, as a share of the target, from which on a miss is
 * thought possible, and at which it is thought sure. */
constexpr double MissFrom = 0.7;
constexpr double MissSure = 1.3;
constexpr double FailSmoothing = 0.25;
/** Failures above the mean that are put down to chance. */
constexpr double FailTolerance = 0.2;
constexpr gsTime FailHalfLife = gsSeconds(3);
/** How long an upstream that has turned work away counts as full. */
constexpr gsTime FullMemory = gsMilliseconds(500);
constexpr gsTime AvoidBase = gsMilliseconds(400);
constexpr std::uint32_t MaxAvoidDoublings = 3;
/** Ties are broken within so many tokens, so that hosts do not herd. */
constexpr double TieTokens = 30;
/** Share of an upstream's connections that all hosts use together, */
constexpr double ConnectionUse = 0.9;
/** and what one host may use in any case. */
constexpr std::uint32_t LeastConnections = 2;
/** How sure it is that the preferred upstream holds a shared part. */
constexpr double PreferredShare = 0.8;

bool Contains(std::vector<std::string> const* list, std::string const& id)
{
  return list != nullptr &&
         std::find(list->begin(), list->end(), id) != list->end();
}

std::uint32_t SharedTokens(gsPlacementAsk const& ask)
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

void Forget(gsFleet const& fleet, gsFleetRow& row, gsTime now)
{
  for (auto part = row.Parts.begin(); part != row.Parts.end();) {
    bool old = now - part->second > fleet.Settings.PartMemory;
    part = old ? row.Parts.erase(part) : std::next(part);
  }
  if (row.Parts.size() > fleet.Settings.PartsMost) {
    row.Parts.clear();
  }
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

bool IsSlow(gsEngineArrangement const& arrangement, gsFleetRow const& row)
{
  return std::binary_search(arrangement.Slow.begin(), arrangement.Slow.end(),
                            row.Hash);
}

gsFleetGroup GroupUnder(gsEngineArrangement const& arrangement,
                        gsFleetRow const& row)
{
  if (arrangement.LongEngines == 0) {
    return gsFleetGroup::Any;
  }
  return row.Rank < arrangement.LongEngines ? gsFleetGroup::Long
                                            : gsFleetGroup::Tight;
}

/** Notes the groups that engines are in, as the division is to change. */
void NoteGroupsBefore(gsFleet& fleet, gsEngineArrangement const& arrangement,
                      std::vector<std::size_t> const& members)
{
  for (std::size_t index : members) {
    gsFleetRow& row = fleet.Rows[index];
    row.GroupBefore = GroupUnder(arrangement, row);
  }
}

/** Orders a service's rows: slow engines first, then by hash. */
void RankRows(gsFleet& fleet, std::string const& service,
              std::vector<std::size_t>& members)
{
  gsEngineArrangement const& arrangement = fleet.Arrangements[service];
  std::sort(members.begin(), members.end(),
            [&fleet, &arrangement](std::size_t a, std::size_t b) {
              gsFleetRow const& one = fleet.Rows[a];
              gsFleetRow const& two = fleet.Rows[b];
              bool slowOne = IsSlow(arrangement, one);
              bool slowTwo = IsSlow(arrangement, two);
              return slowOne != slowTwo ? slowOne : one.Hash < two.Hash;
            });
  std::uint32_t rank = 0;
  for (std::size_t index : members) {
    fleet.Rows[index].Rank = rank++;
  }
}

} // namespace

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
    case gsPlacementCause::Unreachable:
      break;
  }
  return "unreachable";
}

void gsFleetTake(gsFleet& fleet, std::vector<gsListedUpstream> const& listed)
{
  std::vector<gsFleetRow> rows;
  rows.reserve(listed.size());
  for (gsListedUpstream const& entry : listed) {
    gsFleetRow row;
    if (gsFleetRow* known = gsFleetFind(fleet, entry.Id)) {
      row = std::move(*known);
      if (!row.GroupBefore) {
        row.GroupBefore = GroupUnder(fleet.Arrangements[entry.Service], row);
      }
    }
    row.Listed = entry;
    row.Hash = static_cast<std::uint32_t>(gsRendezvousWeight(entry.Id, 0));
    rows.push_back(std::move(row));
  }
  fleet.Rows = std::move(rows);
  fleet.ById.clear();
  fleet.ByService.clear();
  for (std::size_t i = 0; i < fleet.Rows.size(); ++i) {
    gsListedUpstream const& entry = fleet.Rows[i].Listed;
    fleet.ById[entry.Id] = i;
    fleet.ByService[entry.Service].push_back(i);
  }
  for (auto& [service, members] : fleet.ByService) {
    RankRows(fleet, service, members);
  }
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

gsFleetRow* gsFleetFind(gsFleet& fleet, std::string_view id)
{
  auto found = fleet.ById.find(std::string(id));
  return found == fleet.ById.end() ? nullptr : &fleet.Rows[found->second];
}

gsOpenWork gsOwnWork(gsFleetRow const& row, gsTime now)
{
  gsOpenWork work = row.Own;
  if (now < row.FullUntil) {
    work.Running += row.Listed.Slots;
  }
  return work;
}

gsOpenWork gsWorkAt(gsFleet const& fleet, gsFleetRow const& row, gsTime now)
{
  gsOpenWork work = gsOwnWork(row, now);
  if (now - row.OthersAt <= fleet.Settings.OthersMemory) {
    work.Running += row.Others.Running;
    work.ReadTokens += row.Others.ReadTokens;
    work.MemoryTokens += row.Others.MemoryTokens;
  }
  return work;
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

/** What all candidates of one choice have in common. */
struct Choice
{
  double UsualFailShare = 0;
  gsFleetRow const* Preferred = nullptr; ///< Of the request's subject.
  gsFleetGroup Group = gsFleetGroup::Any;
  std::uint32_t LongEngines = 0;
  double HoldLong = 0;  ///< See gsDemand.
  double HoldTight = 0; ///< See gsDemand.
};

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

/** Why none can be chosen, with one more that cannot. */
gsPlacementCause CauseAgainst(gsFleet const& fleet, gsFleetRow const& row,
                              gsPlacementAsk const& ask, gsTime now,
                              gsPlacementCause before)
{
  if (row.Listed.Leaving || Contains(ask.Tried, row.Listed.Id)) {
    return before;
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
  return ask.MayMove && SharedTokens(ask) >= settings.MinMovedTokens;
}

/** What reading shared parts a further time costs, in tokens. */
double AgainCost(gsFleet const& fleet, gsFleetRow const& row,
                 gsPlacementAsk const& ask, Choice const& choice,
                 std::uint32_t toRead)
{
  if (choice.Preferred == nullptr) {
    return 0;
  }
  std::uint32_t shared = SharedTokens(ask);
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
  return toRead + SharedTokens(ask) <= ask.PromptTokens;
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
  bool holdsUp = choice.Group == gsFleetGroup::Long;
  return settings.OtherGroupTokens + (holdsUp ? settings.HoldUpTokens : 0);
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

} // namespace

gsPlacement gsPlace(gsFleet& fleet, gsPlacementAsk const& ask, gsTime now,
                    gsRandom& random)
{
  gsPlacement best;
  auto rows = fleet.ByService.find(std::string(ask.Service));
  if (rows == fleet.ByService.end()) {
    return best;
  }
  gsNoteHallsHeard(fleet);
  Choice choice;
  choice.UsualFailShare = MeanFailShare(fleet, rows->second, now);
  choice.Group = gsGroupOf(fleet, ask);
  choice.LongEngines = gsLongEngines(fleet, ask.Service);
  auto demand = fleet.Demand.find(std::string(ask.Service));
  if (demand != fleet.Demand.end()) {
    choice.HoldLong = demand->second.HoldLong;
    choice.HoldTight = demand->second.HoldTight;
  }
  choice.Preferred = PreferredFor(fleet, rows->second, ask, choice, now);
  best.Group = choice.LongEngines == 0 ? gsFleetGroup::Any : choice.Group;
  std::uniform_real_distribution<double> tie(0, TieTokens);
  for (std::size_t index : rows->second) {
    gsFleetRow& row = fleet.Rows[index];
    if (!MayGet(fleet, row, ask, now)) {
      if (best.Row == nullptr) {
        best.Cause = CauseAgainst(fleet, row, ask, now, best.Cause);
      }
      continue;
    }
    ++best.Candidates;
    std::uint32_t toRead = gsTokensToRead(fleet, row, ask, now);
    double cost = CostOf(fleet, row, ask, toRead, choice.UsualFailShare, now);
    cost += AgainCost(fleet, row, ask, choice, toRead) + tie(random);
    cost += FullCost(fleet, row, ask, now);
    cost += MissCost(fleet, row, ask, choice, toRead, now);
    // All engines soon hold the parts that all subjects share; what counts is
    // whether one holds the subject's own too.
    bool holds = toRead + SharedTokens(ask) <= ask.PromptTokens;
    cost += SpreadCost(fleet, row, ask, choice, holds);
    if (!InGroup(row, choice)) {
      cost += OtherGroupCost(fleet.Settings, choice);
    }
    if (best.Row == nullptr || cost < best.Cost) {
      bool cached = toRead < ask.PromptTokens;
      best.Row = &row;
      best.Cost = cost;
      best.ReadTokens = toRead;
      best.Cause = cached                     ? gsPlacementCause::Cached
                   : &row == choice.Preferred ? gsPlacementCause::Preferred
                                              : gsPlacementCause::LeastLoaded;
    }
  }
  if (best.Row != nullptr) {
    gsHallNoteTry(fleet.Halls, fleet.Settings.HallReach, best.Row->Listed.Hall,
                  now);
    best.Holder = HolderFor(fleet, rows->second, ask, choice, *best.Row, now);
  }
  if (best.Holder != nullptr) {
    best.ReadTokens = std::min(
      best.ReadTokens,
      ask.PromptTokens - std::min(ask.PromptTokens, SharedTokens(ask)));
  }
  return best;
}

namespace {

void Decay(gsDemand& demand, gsTime halfLife, gsTime now)
{
  double halves = gsToSeconds(now - demand.At) / gsToSeconds(halfLife);
  double keep = std::exp2(-std::max(0.0, halves));
  demand.Long *= keep;
  demand.Tight *= keep;
  demand.At = now;
}

/** How long a request keeps one of the service's engines busy, in tokens. */
double WorkOf(gsFleet const& fleet, gsPlacementAsk const& ask)
{
  auto rows = fleet.ByService.find(std::string(ask.Service));
  bool none = rows == fleet.ByService.end() || rows->second.empty();
  double slots =
    none ? 1 : std::max(1U, fleet.Rows[rows->second.front()].Listed.Slots);
  return ask.PromptTokens +
         fleet.Settings.StepTokens / slots * ask.AnswerTokens;
}

} // namespace

void gsNoteDemand(gsFleet& fleet, gsPlacementAsk const& ask, gsTime now)
{
  if (ask.PromptTokens == 0) {
    return;
  }
  gsDemand& demand = fleet.Demand[std::string(ask.Service)];
  Decay(demand, fleet.Settings.DemandHalfLife, now);
  if (demand.Since.count() == 0) {
    demand.Since = now;
  }
  double work = WorkOf(fleet, ask);
  if (!ask.Tight) {
    demand.Long += work;
    return;
  }
  demand.Tight += work;
  double step = demand.TightPrompt == 0 ? 1 : PromptSmoothing;
  demand.TightPrompt += step * (ask.PromptTokens - demand.TightPrompt);
}

void gsNoteOthersDemand(gsFleet& fleet, std::string const& service,
                        gsServiceDemand const& others, gsTime now)
{
  bool none = others.Long == 0 && others.Tight == 0;
  if (none && fleet.Demand.count(service) == 0) {
    return;
  }
  gsDemand& demand = fleet.Demand[service];
  demand.OthersLong = others.Long;
  demand.OthersTight = others.Tight;
  if (!none && demand.Since.count() == 0) {
    demand.Since = now;
  }
}

gsFleetGroup gsGroupOf(gsFleet const& fleet, gsPlacementAsk const& ask)
{
  if (ask.PromptTokens == 0) {
    return gsFleetGroup::Any;
  }
  if (!ask.Tight) {
    return gsFleetGroup::Long;
  }
  auto demand = fleet.Demand.find(std::string(ask.Service));
  bool isLong =
    demand != fleet.Demand.end() && demand->second.TightPrompt > 0 &&
    ask.PromptTokens > fleet.Settings.LongFactor * demand->second.TightPrompt;
  return isLong ? gsFleetGroup::Long : gsFleetGroup::Tight;
}

double gsPaceOf(gsFleetRow const& row)
{
  double own = row.PaceSamples >= MinPaceSamples ? row.Pace : 0;
  if (own <= 0 || row.OthersPace <= 0) {
    return std::max(own, row.OthersPace);
  }
  return std::min(own, row.OthersPace);
}

void gsNotePause(gsFleetRow& row, gsTime pause)
{
  double millis = gsToSeconds(pause) * 1e3;
  if (row.PaceSamples == 0) {
    row.Pace = millis;
  }
  ++row.PaceSamples;
  double below = millis < row.Pace ? 1 : 0;
  row.Pace *= 1 + PaceStep * (PaceQuantile - below);
}

namespace {

/** Pace of the fast among these engines; zero when none is known. */
double FastPace(gsFleet const& fleet, std::vector<std::size_t> const& members)
{
  std::vector<double> paces;
  paces.reserve(members.size());
  for (std::size_t index : members) {
    double pace = gsPaceOf(fleet.Rows[index]);
    if (pace > 0) {
      paces.push_back(pace);
    }
  }
  if (paces.empty()) {
    return 0;
  }
  auto faster =
    static_cast<std::ptrdiff_t>(FastShare * static_cast<double>(paces.size()));
  std::nth_element(paces.begin(), paces.begin() + faster, paces.end());
  return paces[static_cast<std::size_t>(faster)];
}

std::vector<std::uint32_t> DecideSlow(gsFleet const& fleet,
                                      std::vector<std::size_t> const& members,
                                      gsEngineArrangement const& before)
{
  double fast = FastPace(fleet, members);
  std::vector<std::uint32_t> slow;
  for (std::size_t index : members) {
    gsFleetRow const& row = fleet.Rows[index];
    bool wasSlow = IsSlow(before, row);
    double pace = gsPaceOf(row);
    // A host that has just begun to decide keeps what it can not judge yet.
    bool isSlow = pace > 0 ? pace > SlowFactor * fast : wasSlow;
    if (isSlow) {
      slow.push_back(row.Hash);
    }
  }
  std::sort(slow.begin(), slow.end());
  return slow;
}

/** Engines for long prompts; moves only when demand clearly has. */
std::uint32_t DecideLongEngines(gsDemand const& demand, double count,
                                std::uint32_t before)
{
  double forLong = demand.Long + demand.OthersLong;
  double forTight = demand.Tight + demand.OthersTight;
  if (forLong < 1 || forTight < 1 || count < 2) {
    return 0;
  }
  double engines = count * forLong / (forLong + forTight);
  double slack = std::max(BorderSlack, BorderSlackShare * count);
  bool moved = std::abs(engines - before) > slack;
  if (!moved && before != 0 && before < count) {
    return before;
  }
  return static_cast<std::uint32_t>(
    std::clamp(std::round(engines), 1.0, count - 1));
}

} // namespace

namespace {

/** Whether it is time to decide anew how a service's engines are divided. */
bool DecisionIsDue(gsFleetSettings const& settings, gsDemand const& demand,
                   gsEngineArrangement const& known, std::size_t engines,
                   gsTime now)
{
  bool demandIsKnown = now - demand.Since >= settings.DemandPatience;
  if (demandIsKnown && known.LongEngines == 0) {
    return true;
  }
  gsTime gap = settings.DecisionGap +
               settings.DecisionGapOfEach * static_cast<std::int64_t>(engines);
  return now - demand.DecidedAt >= gap;
}

} // namespace

void gsDecideArrangements(gsFleet& fleet, gsTime now)
{
  gsFleetSettings const& settings = fleet.Settings;
  for (auto& [service, demand] : fleet.Demand) {
    auto rows = fleet.ByService.find(service);
    if (rows == fleet.ByService.end()) {
      continue;
    }
    Decay(demand, settings.DemandHalfLife, now);
    std::size_t engines = rows->second.size();
    gsEngineArrangement& known = fleet.Arrangements[service];
    if (!DecisionIsDue(settings, demand, known, engines, now)) {
      continue;
    }
    demand.DecidedAt = now;
    gsEngineArrangement next = known;
    gsTime slowGap =
      settings.SlowGapOfEach * static_cast<std::int64_t>(engines);
    if (now - demand.SlowAt >= slowGap) {
      demand.SlowAt = now;
      next.Slow = DecideSlow(fleet, rows->second, known);
    }
    if (now - demand.Since >= settings.DemandPatience) {
      next.LongEngines = DecideLongEngines(
        demand, static_cast<double>(engines), known.LongEngines);
    }
    if (!(next == known)) {
      NoteGroupsBefore(fleet, known, rows->second);
      ++next.Version;
      known = std::move(next);
      RankRows(fleet, service, rows->second);
    }
  }
}

bool gsAdoptArrangement(gsFleet& fleet, std::string const& service,
                        gsEngineArrangement const& arrangement)
{
  gsEngineArrangement& known = fleet.Arrangements[service];
  if (arrangement.Version <= known.Version) {
    return false;
  }
  auto rows = fleet.ByService.find(service);
  if (rows != fleet.ByService.end()) {
    NoteGroupsBefore(fleet, known, rows->second);
  }
  known = arrangement;
  if (rows != fleet.ByService.end()) {
    RankRows(fleet, service, rows->second);
  }
  return true;
}

std::uint32_t gsLongEngines(gsFleet const& fleet, std::string_view service)
{
  auto known = fleet.Arrangements.find(std::string(service));
  bool none = !fleet.Settings.Groups || known == fleet.Arrangements.end();
  return none ? 0 : known->second.LongEngines;
}

char const* gsFleetGroupWord(gsFleetGroup group)
{
  switch (group) {
    case gsFleetGroup::Long:
      return "long";
    case gsFleetGroup::Tight:
      return "tight";
    case gsFleetGroup::Any:
      break;
  }
  return "any";
}

void gsNoteParts(gsFleet const& fleet, gsFleetRow& row,
                 std::vector<gsPromptPart> const& parts, gsTime now)
{
  for (gsPromptPart const& part : parts) {
    row.Parts[part.Name] = now;
  }
  if (row.Parts.size() > fleet.Settings.PartsMost) {
    Forget(fleet, row, now);
  }
}

void gsNoteHold(gsFleet& fleet, gsFleetRow const& row, gsTime held)
{
  std::string const& service = row.Listed.Service;
  bool isLong = row.Rank < gsLongEngines(fleet, service);
  gsDemand& demand = fleet.Demand[service];
  double& hold = isLong ? demand.HoldLong : demand.HoldTight;
  double millis = gsToSeconds(held) * 1e3;
  hold += (hold == 0 ? 1 : HoldSmoothing) * (millis - hold);
}

double gsFailShare(gsFleetRow const& row, gsTime now)
{
  double halves = gsToSeconds(now - row.FailAt) / gsToSeconds(FailHalfLife);
  return row.FailShare * std::exp2(-std::max(0.0, halves));
}

void gsNoteOutcome(gsFleetRow& row, bool failed, gsTime now)
{
  double share = gsFailShare(row, now);
  row.FailShare = share + FailSmoothing * ((failed ? 1.0 : 0.0) - share);
  row.FailAt = now;
  if (!failed) {
    row.Unreachable = 0;
  }
}

void gsNoteTurnedAway(gsFleetRow& row, gsTime now)
{
  row.FullUntil = now + FullMemory;
}

void gsNoteUnreachable(gsFleetRow& row, gsTime now)
{
  std::uint32_t doublings = std::min(row.Unreachable, MaxAvoidDoublings);
  row.AvoidUntil = now + AvoidBase * (std::int64_t{ 1 } << doublings);
  ++row.Unreachable;
}

void gsNoteHeard(gsFleetRow& row, gsTime now)
{
  row.LastHeard = now;
  row.Unreachable = 0;
  row.AvoidUntil = gsTime{};
}

bool gsNoteNoConnection(gsFleet& fleet, gsFleetRow& row, gsTime now)
{
  gsNoteUnreachable(row, now);
  if (row.Listed.Hall == fleet.Settings.Hall) {
    return false;
  }
  gsNoteHallsHeard(fleet);
  return gsHallNoteFailure(fleet.Halls, fleet.Settings.HallReach,
                           row.Listed.Hall, row.Listed.Id, now);
}

void gsNoteHallsHeard(gsFleet& fleet)
{
  for (auto const& [hall, reach] : fleet.Halls) {
    if (reach.Failed.empty()) {
      continue;
    }
    gsTime heard{};
    for (gsFleetRow const& row : fleet.Rows) {
      heard = row.Listed.Hall == hall ? std::max(heard, row.LastHeard) : heard;
    }
    if (gsHallNoteHeard(fleet.Halls, hall, heard)) {
      for (gsFleetRow& row : fleet.Rows) {
        row.AvoidUntil = row.Listed.Hall == hall ? gsTime{} : row.AvoidUntil;
      }
    }
  }
}
