/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsSubjectPlacement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <string>
#include <tuple>

#include "gsEngineSpeed.h"
#include "gsRendezvous.h"
#include "gsWorkAhead.h"

using namespace gsPlacementDetail;

namespace {

/** Predicted first event as a share of the target under which an engine may
 * be added to a subject. */
constexpr double MaxAddedShare = 0.5;
/** The same share from which an engine of the subject counts as busy. */
constexpr double BusyShare = 0.5;
/** Weights of engines in a subject's order are rounded to this, so that small
 * changes of measured speeds move no subject. It is also the least weight of
 * an engine that is neither suspended nor returning. */
constexpr double WeightStep = 0.25;
/** Share of an engine without room for the request. */
constexpr double FullShare = std::numeric_limits<double>::max();
/** A holding that has not been used for so long is removed first from those
 * that serve a subject. Uses by other hosts are reported every 5 s. */
constexpr gsTime UnusedTime = gsSeconds(10);

/** Whether the engine is suspended for a sudden slowdown, and decisions use
 * the speeds of engines. */
bool IsSuspended(gsFleet const& fleet, gsFleetRow const& row)
{
  return gsUsesEngineSpeed(fleet) && row.Speed.SuspendedAt.count() != 0;
}

/** Weight of an engine in the order of a subject. That of an engine that is
 * suspended or returns is not rounded, as it is below the least weight. */
double SubjectWeight(gsFleet const& fleet, gsFleetRow const& row, gsTime now)
{
  double weight = gsHomeWeightOf(fleet, row, now);
  bool isReduced = row.Speed.SuspendedAt.count() != 0 ||
                   row.Speed.ReturningSince.count() != 0;
  return isReduced ? weight
                   : std::max(WeightStep,
                              std::round(weight / WeightStep) * WeightStep);
}

/** Score of an engine in the order of a subject; the highest is the first. */
double SubjectScore(gsFleet const& fleet, gsFleetRow const& row,
                    std::uint64_t subject, gsTime now)
{
  return gsWeightedRendezvousScore(row.Listed.Id, subject,
                                   SubjectWeight(fleet, row, now));
}

gsPrefixKey KeyOf(gsPlacementRequest const& request)
{
  return gsPrefixKeyOf(request.Service, gsSubjectOf(request));
}

/** Row index of an engine in the directory; empty if it has no row. */
std::optional<std::size_t> IndexOf(gsFleet const& fleet, std::uint32_t engine)
{
  auto found = fleet.ByHash.find(engine);
  return found == fleet.ByHash.end()
           ? std::nullopt
           : std::optional<std::size_t>(found->second);
}

/** A valid holding whose engine has a row. */
struct Holder
{
  std::size_t Index = 0; ///< Of its row.
  gsPrefixHolding const* Holding = nullptr;
};

std::vector<Holder> HoldersOf(gsFleet const& fleet, gsPrefixKey const& key,
                              gsTime now)
{
  std::vector<Holder> holders;
  gsPrefixSubject const* subject = gsFindPrefixSubject(fleet.Prefixes, key);
  if (subject == nullptr) {
    return holders;
  }
  for (gsPrefixHolding const& holding : subject->Holdings) {
    std::optional<std::size_t> index = IndexOf(fleet, holding.Engine);
    if (index && gsIsValidHolding(fleet.Prefixes, holding, now)) {
      holders.push_back({ *index, &holding });
    }
  }
  return holders;
}

/** The decision for one request. */
struct Chooser
{
  gsFleet& Fleet;
  gsCandidates const& Candidates;
  gsPlacementRequest const& Request;
  PlacementContext const& Context;
  gsTime Now;
  gsPrefixKey Key;
  std::vector<Holder> Holders;
  bool HasTransferSource; ///< An engine can transfer the parts to another.

  gsFleetRow const& Row(std::size_t index) const
  {
    return this->Fleet.Rows[index];
  }

  double Score(std::size_t index) const
  {
    return SubjectScore(this->Fleet, this->Row(index), this->Key.Subject,
                        this->Now);
  }

  bool IsSuspendedAt(std::size_t index) const
  {
    return IsSuspended(this->Fleet, this->Row(index));
  }

  /** Whether an engine with this share is full, predicted to miss the target,
   * or suspended. */
  bool IsPressed(std::size_t index, double share) const
  {
    return share >= FullShare || (this->HasTarget() && share > 1) ||
           this->IsSuspendedAt(index);
  }

  bool IsUsable(std::size_t index) const
  {
    return IsEligible(this->Fleet, this->Row(index), this->Request, this->Now);
  }

  bool IsOfGroup(std::size_t index) const
  {
    return IsInGroup(this->Row(index), this->Context);
  }

  gsPrefixHolding const* HoldingAt(std::size_t index) const
  {
    for (Holder const& holder : this->Holders) {
      if (holder.Index == index) {
        return holder.Holding;
      }
    }
    return nullptr;
  }

  /** Tokens that the engine processes before the first event, including the
   * time of a transfer. */
  std::uint32_t TokensAt(std::size_t index) const
  {
    std::uint32_t toRead = gsSubjectTokensToRead(this->Fleet, this->Row(index),
                                                 this->Request, this->Now);
    if (!this->HasTransferSource || this->HoldingAt(index) != nullptr) {
      return toRead;
    }
    std::uint32_t shared = gsSharedTokens(this->Request);
    std::uint32_t cached = this->Request.PromptTokens - toRead;
    double missing = shared - std::min(shared, cached);
    return toRead - static_cast<std::uint32_t>(TransferSavedShare * missing);
  }

  /** Predicted first event as a share of the target. Without a target, the
   * prompt tokens before the first event, which have the same order. */
  double ShareAt(std::size_t index) const
  {
    gsFleetRow const& row = this->Row(index);
    if (!this->IsUsable(index) ||
        !HasQueuePlace(this->Fleet, row, this->Request, this->Now) ||
        !HasToken(this->Fleet, row, this->Now)) {
      return FullShare;
    }
    std::uint32_t tokens = this->TokensAt(index);
    if (this->HasTarget()) {
      return ExpectedTargetShare(this->Fleet, row, this->Request, tokens,
                                 this->Now);
    }
    return gsWorkAheadOf(this->Fleet, row, this->Request.Priority, this->Now)
             .PromptTokens +
           tokens;
  }

  bool HasTarget() const
  {
    return this->Request.TargetTokens > 0 && this->Request.MillisPerToken > 0;
  }

  /**
   * The first engine in the subject's order that satisfies a predicate; empty
   * if none does. Engines whose pauses keep within the request's target come
   * before all others, then those that hold the parts without serving the
   * subject.
   */
  template<typename Predicate>
  std::optional<std::size_t> FirstInOrder(Predicate const& predicate) const
  {
    std::optional<std::size_t> fitting =
      this->FirstOfAny([&](std::size_t index) {
        return gsFitsPauseTarget(this->Fleet, this->Row(index),
                                 this->Request.MaxIntervalMillis) &&
               predicate(index);
      });
    return fitting ? fitting : this->FirstOfAny(predicate);
  }

  /** The same regardless of pauses. */
  template<typename Predicate>
  std::optional<std::size_t> FirstOfAny(Predicate const& predicate) const
  {
    std::optional<std::size_t> first;
    std::pair<bool, double> firstRank;
    auto consider = [&](std::size_t index) {
      if (!this->IsUsable(index) || !predicate(index)) {
        return;
      }
      bool isHolder =
        this->HoldingAt(index) != nullptr && !this->IsSuspendedAt(index);
      std::pair<bool, double> rank{ isHolder, this->Score(index) };
      if (!first || rank > firstRank) {
        first = index;
        firstRank = rank;
      }
    };
    for (std::size_t index : this->Candidates.HomeRows) {
      consider(index);
    }
    for (Holder const& holder : this->Holders) {
      consider(holder.Index);
    }
    return first;
  }

  /** Available engines that serve the subject, in its group or outside. One
   * of which this host has used its share counts as full, so that its subject
   * does not move. */
  std::vector<std::size_t> Serving(bool isInGroup) const
  {
    std::vector<std::size_t> serving;
    for (Holder const& holder : this->Holders) {
      if (holder.Holding->IsServing &&
          IsAvailable(this->Fleet, this->Row(holder.Index), this->Request,
                      this->Now) &&
          this->IsOfGroup(holder.Index) == isInGroup) {
        serving.push_back(holder.Index);
      }
    }
    return serving;
  }
};

bool Contains(std::vector<std::size_t> const& rows, std::size_t index)
{
  return std::find(rows.begin(), rows.end(), index) != rows.end();
}

/** The engines from which the request's one is chosen, before any is added. */
struct ServingSet
{
  std::vector<std::size_t> Rows;
  gsSubjectCause Cause = gsSubjectCause::Serving;
  bool IsInGroup = true;
};

/**
 * The eligible engines of the request's group that serve the subject, or else
 * the first of its order. An engine outside the group, which holds the subject
 * since before a change of the arrangement, serves it only if the group has no
 * eligible engine.
 */
ServingSet FindServingSet(Chooser const& chooser)
{
  ServingSet set;
  set.Rows = chooser.Serving(true);
  if (!set.Rows.empty()) {
    return set;
  }
  bool wasServed = std::any_of(
    chooser.Holders.begin(), chooser.Holders.end(),
    [](Holder const& holder) { return holder.Holding->IsServing; });
  set.Cause = wasServed ? gsSubjectCause::Moved : gsSubjectCause::First;
  std::optional<std::size_t> first = chooser.FirstInOrder(
    [&](std::size_t index) { return chooser.IsOfGroup(index); });
  if (!first) {
    set.IsInGroup = false;
    set.Rows = chooser.Serving(false);
    if (!set.Rows.empty()) {
      set.Cause = gsSubjectCause::Serving;
      return set;
    }
    first = chooser.FirstInOrder([](std::size_t) { return true; });
  }
  if (first) {
    set.Rows.push_back(*first);
  }
  return set;
}

/** The engine to add to a set; empty if none has a short enough queue. Without
 * a target, any engine with room has. */
std::optional<std::size_t> NextEngine(Chooser const& chooser,
                                      ServingSet const& set)
{
  return chooser.FirstInOrder([&](std::size_t index) {
    bool fits = chooser.IsOfGroup(index) == set.IsInGroup &&
                !Contains(set.Rows, index) && !chooser.IsSuspendedAt(index);
    double limit = chooser.HasTarget() ? MaxAddedShare : FullShare;
    return fits && chooser.ShareAt(index) < limit;
  });
}

/** Whether the engine of the subject may be held by another one that can
 * transfer it. */
bool FindsTransferSource(gsFleet const& fleet,
                         gsPlacementRequest const& request,
                         std::vector<Holder> const& holders, gsTime now)
{
  return IsTransferable(fleet.Settings, request) &&
         std::any_of(holders.begin(), holders.end(),
                     [&](Holder const& holder) {
                       return !holder.Holding->IsReading &&
                              CanTransferFrom(fleet, fleet.Rows[holder.Index],
                                              request, now);
                     });
}

} // namespace

gsPrefixKey gsPrefixKeyOf(std::string_view service, std::uint64_t subject)
{
  return { static_cast<std::uint32_t>(gsHashText(service)), subject };
}

bool gsIsTrackedRequest(gsFleetSettings const& settings,
                        gsPlacementRequest const& request)
{
  return gsIsActive(settings.Prefixes.Mode) && gsSubjectOf(request) != 0 &&
         gsSharedTokens(request) >= settings.Prefixes.MinTokens;
}

std::uint32_t gsNeededEngines(gsFleet const& fleet, double demand)
{
  double count = std::ceil(demand / fleet.Settings.Prefixes.EngineShare);
  auto maximum =
    static_cast<double>(fleet.Prefixes.Settings.MaxEnginesPerSubject);
  return static_cast<std::uint32_t>(std::clamp(count, 1.0, maximum));
}

double gsSubjectEngineMillis(gsFleet const& fleet,
                             gsPlacementRequest const& request)
{
  std::string const service(request.Service);
  auto rows = fleet.ByService.find(service);
  bool isEmpty = rows == fleet.ByService.end() || rows->second.empty();
  double slots =
    isEmpty ? 1 : std::max(1U, fleet.Rows[rows->second.front()].Listed.Slots);
  auto timing = fleet.EngineTimings.find(service);
  gsEngineTiming const known =
    timing == fleet.EngineTimings.end() ? gsEngineTiming{} : timing->second;
  // TokenMillis rises with load, so that a subject would seem to need more
  // engines when they are busy.
  double tokenMillis =
    gsUsesEngineSpeed(fleet) ? known.LoadFreeTokenMillis : known.TokenMillis;
  double ownTokens = request.PromptTokens -
                     std::min(request.PromptTokens, gsSharedTokens(request));
  return tokenMillis * (ownTokens + fleet.Settings.StepTokens / slots *
                                      request.AnswerTokens);
}

std::uint32_t gsSubjectTokensToRead(gsFleet const& fleet,
                                    gsFleetRow const& row,
                                    gsPlacementRequest const& request,
                                    gsTime now)
{
  std::uint32_t toRead = gsTokensToRead(fleet, row, request, now);
  bool holds = gsFindPrefixHolding(fleet.Prefixes, KeyOf(request), row.Hash,
                                   now) != nullptr;
  std::uint32_t shared =
    std::min(request.PromptTokens, gsSharedTokens(request));
  return holds ? std::min(toRead, request.PromptTokens - shared) : toRead;
}

void gsRecordSubjectNeed(gsFleet& fleet, gsPlacementRequest const& request,
                         gsTime now)
{
  auto subject = fleet.Prefixes.Subjects.find(KeyOf(request));
  if (subject != fleet.Prefixes.Subjects.end()) {
    subject->second.NeededAt = now;
  }
}

namespace {

/** Whether a subject has had more engines than it needs for long enough.
 * Starts or resets that time. */
bool IsExcessDue(gsPrefixDirectorySettings const& settings,
                 gsPrefixSubject& subject, bool isExcess, gsTime now)
{
  auto isWithinDelay = [&settings, now](gsTime at) {
    return at.count() != 0 && now - at < settings.ShrinkDelay;
  };
  if (!isExcess || isWithinDelay(subject.NeededAt)) {
    subject.ExcessSince = gsTime{};
    return false;
  }
  if (subject.ExcessSince.count() == 0) {
    subject.ExcessSince = now;
  }
  return !isWithinDelay(subject.ExcessSince) &&
         !isWithinDelay(subject.GrownAt);
}

/** The engine that stops to serve a subject first: one that is not used, or
 * the last one in the order. */
std::uint32_t LastServing(gsFleet const& fleet, gsPrefixKey const& key,
                          std::vector<Holder> const& serving, gsTime now)
{
  auto rank = [&](Holder const& holder) {
    bool isUsed = now - holder.Holding->UsedAt < UnusedTime;
    return std::make_pair(
      isUsed, SubjectScore(fleet, fleet.Rows[holder.Index], key.Subject, now));
  };
  auto last = std::min_element(
    serving.begin(), serving.end(),
    [&](Holder const& a, Holder const& b) { return rank(a) < rank(b); });
  return last->Holding->Engine;
}

} // namespace

void gsReduceSubjectEngines(gsFleet& fleet, gsTime now)
{
  gsPrefixDirectory& directory = fleet.Prefixes;
  for (auto& [key, subject] : directory.Subjects) {
    std::vector<std::uint32_t> gone;
    for (gsPrefixHolding const& holding : subject.Holdings) {
      if (!IndexOf(fleet, holding.Engine)) {
        gone.push_back(holding.Engine);
      }
    }
    for (std::uint32_t engine : gone) {
      gsRemovePrefixHolding(directory, key, engine);
    }
    if (subject.Holdings.size() < 2) {
      subject.ExcessSince = gsTime{};
      continue;
    }
    std::vector<Holder> serving = HoldersOf(fleet, key, now);
    serving.erase(std::remove_if(serving.begin(), serving.end(),
                                 [](Holder const& holder) {
                                   return !holder.Holding->IsServing;
                                 }),
                  serving.end());
    bool isExcess =
      serving.size() >
      gsNeededEngines(fleet, gsPrefixDemand(directory, key, now));
    if (IsExcessDue(directory.Settings, subject, isExcess, now)) {
      gsStopPrefixServing(directory, key,
                          LastServing(fleet, key, serving, now));
      subject.ExcessSince = now;
    }
  }
}

namespace gsPlacementDetail {

SubjectChoice ChooseForSubject(gsFleet& fleet, gsCandidates const& candidates,
                               gsPlacementRequest const& request,
                               PlacementContext const& context, gsTime now)
{
  gsPrefixKey key = KeyOf(request);
  std::vector<Holder> holders = HoldersOf(fleet, key, now);
  bool hasSource = FindsTransferSource(fleet, request, holders, now);
  Chooser const chooser{ fleet, candidates,         request,  context, now,
                         key,   std::move(holders), hasSource };
  SubjectChoice choice;
  gsSubjectDecision& decision = choice.Decision;
  decision.IsTracked = true;
  decision.Demand = gsPrefixDemand(fleet.Prefixes, key, now);
  decision.NeededCount = gsNeededEngines(fleet, decision.Demand);
  ServingSet set = FindServingSet(chooser);
  if (set.Rows.empty()) {
    return choice;
  }
  choice.Rows = set.Rows;
  decision.Cause = set.Cause;
  decision.EngineCount = static_cast<std::uint32_t>(set.Rows.size());
  std::size_t best = set.Rows.front();
  double bestShare = FullShare;
  for (std::size_t index : set.Rows) {
    double share = chooser.ShareAt(index);
    // Of engines that are equally idle, the first in the order is used, so
    // that the others become free.
    bool isBetter = std::make_tuple(chooser.IsPressed(index, share), share,
                                    -chooser.Score(index)) <
                    std::make_tuple(chooser.IsPressed(best, bestShare),
                                    bestShare, -chooser.Score(best));
    choice.IsAnyBusy =
      choice.IsAnyBusy ||
      (set.Rows.size() > 1 && chooser.HasTarget() && share > BusyShare);
    if (isBetter) {
      best = index;
      bestShare = share;
    }
  }
  decision.ServingShare = bestShare;
  bool isPressed = chooser.IsPressed(best, bestShare);
  bool needsMore = decision.NeededCount > set.Rows.size() &&
                   set.Cause == gsSubjectCause::Serving;
  // Hosts see an engine's load late. If each of them placed the first request
  // of a subject by that view, several engines would process its parts.
  bool mayLeave =
    set.Cause != gsSubjectCause::First || chooser.IsSuspendedAt(best);
  if ((isPressed || needsMore) && mayLeave &&
      gsMayAddPrefixEngine(fleet.Prefixes, key, now)) {
    std::optional<std::size_t> next = NextEngine(chooser, set);
    double nextShare = next ? chooser.ShareAt(*next) : FullShare;
    if (next && (nextShare < bestShare || chooser.IsSuspendedAt(best))) {
      best = *next;
      bestShare = nextShare;
      decision.Cause =
        isPressed ? gsSubjectCause::Pressure : gsSubjectCause::Demand;
    }
  }
  decision.RowShare = bestShare;
  if (bestShare < FullShare) {
    decision.Row = &fleet.Rows[best];
    choice.Rows = { best };
  }
  return choice;
}

gsFleetRow const* FindSubjectTransferSource(gsFleet const& fleet,
                                            gsPlacementRequest const& request,
                                            gsFleetRow const& chosen,
                                            gsTime now)
{
  gsPrefixKey key = KeyOf(request);
  if (!IsTransferable(fleet.Settings, request) ||
      gsFindPrefixHolding(fleet.Prefixes, key, chosen.Hash, now) != nullptr) {
    return nullptr;
  }
  gsFleetRow const* source = nullptr;
  gsTime lastUse{};
  for (Holder const& holder : HoldersOf(fleet, key, now)) {
    gsFleetRow const& row = fleet.Rows[holder.Index];
    bool isNewer = source == nullptr || holder.Holding->UsedAt > lastUse;
    if (!holder.Holding->IsReading && isNewer &&
        CanTransferFrom(fleet, row, request, now)) {
      source = &row;
      lastUse = holder.Holding->UsedAt;
    }
  }
  return source;
}

} // namespace gsPlacementDetail
