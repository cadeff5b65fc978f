/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsArrangement.h"

#include <algorithm>
#include <cmath>

#include "gsCandidates.h"
#include "gsEngineSpeed.h"

namespace {

/** An engine becomes slow if its event interval exceeds the reference interval
 * by this factor. */
constexpr double SlowFactor = 1.18;
/** A slow engine becomes fast again if its event interval is at most the
 * reference interval times this factor. */
constexpr double FastFactor = 1.1;
/** Quantile of the event intervals that is the reference interval. */
constexpr double ReferenceQuantile = 0.1;
/** Minimum change of the number of engines for long prompts, in engines. */
constexpr double MinChange = 1.2;
/** Minimum change of that number as a share of all engines; the larger of both
 * bounds applies. */
constexpr double MinChangeShare = 0.03;
/**
 * The same share if long prompts may be sent to all engines. Each subject that
 * a change moves is processed again, which then costs more than an unsuitable
 * group size.
 */
constexpr double UrgentMinChangeShare = 0.2;
/** Weight of a new sample in the mean slot hold time. */
constexpr double HoldSmoothing = 0.05;
/**
 * Share of busy engines below which a large service is not divided. Dividing
 * engines is useful only if long prompts are likely to share an engine with
 * streams. With few requests it is harmful: a host with one request in 2 s
 * does not know for most of a minute how fast engines are, and therefore which
 * requests are long, and sends a subject to a different engine than other
 * hosts do. This was observed for 12 of 59 subjects within 24 s with 986
 * hosts.
 */
constexpr double MinBusyShare = 0.02;
/** Use of the engines for tight streams that their number is chosen for. */
constexpr double TightUse = 0.5;
/** Minimum share of the engines for tight streams while they have demand. */
constexpr double MinTightShare = 0.1;
/** Probability that an engine has cached the shared parts of a subject that
 * this host has not requested, because other hosts have; as
 * HomeHitProbability of gsPlacementCost. Reached SubjectWarmupTime after the
 * first request to the service. */
constexpr double SubjectHitProbability = 0.8;
constexpr gsTime SubjectWarmupTime = gsSeconds(2);
/** Maximum number of subjects that a host remembers for a service. */
constexpr std::size_t MaxSubjects = 4096;

gsEngineKey EngineKeyOf(gsFleetRow const& row)
{
  return { !row.IsSlow, row.Hash };
}

using Members = std::vector<std::size_t>;

/** Position of the first row whose key is not before a given key. */
Members::const_iterator LowerBound(gsFleet const& fleet,
                                   Members const& members, gsEngineKey key)
{
  return std::lower_bound(members.begin(), members.end(), key,
                          [&fleet](std::size_t index, gsEngineKey at) {
                            return EngineKeyOf(fleet.Rows[index]) < at;
                          });
}

/** Key of the last of the first count rows; empty if there are none. */
std::optional<gsEngineKey> KeyOfLast(gsFleet const& fleet,
                                     Members const& members,
                                     std::uint32_t count)
{
  std::size_t available = std::min<std::size_t>(count, members.size());
  if (available == 0) {
    return std::nullopt;
  }
  return EngineKeyOf(fleet.Rows[members[available - 1]]);
}

/** Stores the current groups of engines before the arrangement changes. */
void StorePreviousGroups(gsFleet& fleet,
                         gsEngineArrangement const& arrangement,
                         std::vector<std::size_t> const& members)
{
  for (std::size_t index : members) {
    gsFleetRow& row = fleet.Rows[index];
    row.PreviousGroup = gsGroupInArrangement(fleet, arrangement, row);
  }
}

/** Applies the exponential decay until now to a host's own demand. */
void ApplyDecay(gsDemand& demand, gsTime halfLife, gsTime now)
{
  double halfLives =
    gsToSeconds(now - demand.DecayedAt) / gsToSeconds(halfLife);
  double factor = std::exp2(-std::max(0.0, halfLives));
  demand.LongTokens *= factor;
  demand.TightTokens *= factor;
  demand.DecayedAt = now;
}

/** Records a request for a subject. \return Whether this host has requested
 * it within the time for which prompt parts stay cached. */
bool RecordSubject(gsFleetSettings const& settings, gsDemand& demand,
                   std::uint64_t subject, gsTime now)
{
  auto [entry, isNew] = demand.Subjects.try_emplace(subject, now);
  bool isRecent = !isNew && now - entry->second <= settings.PartRetention;
  entry->second = now;
  if (demand.Subjects.size() > MaxSubjects) {
    demand.Subjects.clear();
  }
  return isRecent;
}

/** Expected number of prompt tokens that an engine will process, without
 * those that it has cached. */
double TokensToProcess(gsFleet const& fleet, gsDemand& demand,
                       gsPlacementRequest const& ask, gsTime now)
{
  std::uint64_t subject = gsSubjectOf(ask);
  if (!gsUsesEngineSpeed(fleet) || subject == 0) {
    return ask.PromptTokens;
  }
  double shared = std::min(gsSharedTokens(ask), ask.PromptTokens);
  bool isKnown = RecordSubject(fleet.Settings, demand, subject, now);
  double warmth = std::clamp(gsToSeconds(now - demand.FirstRequestAt) /
                               gsToSeconds(SubjectWarmupTime),
                             0.0, 1.0);
  double hit = isKnown ? 1 : SubjectHitProbability * warmth;
  return ask.PromptTokens - hit * shared;
}

/**
 * Whether a request of no group counts as demand of the long group: the group
 * for tight streams gets only what these need, and the long group the rest. In
 * one run of the simulation of gsSpeedSimulation.h at 1.5 times the load, 0.58
 * of the long prompts were in target when it counted as tight, and 0.70 so.
 */
bool CountsAsLong(gsFleet const& fleet, gsPlacementRequest const& ask)
{
  auto timing = fleet.EngineTimings.find(std::string(ask.Service));
  return gsUsesEngineSpeed(fleet) && ask.Group == gsFleetGroup::Any &&
         timing != fleet.EngineTimings.end() &&
         timing->second.MeanLongPromptMillis > 0;
}

/** Time for which a request keeps an engine of its service busy, in prompt
 * tokens that an engine processes in that time. */
double EngineTimeOf(gsFleet const& fleet, gsPlacementRequest const& ask,
                    double tokensToProcess)
{
  auto rows = fleet.ByService.find(std::string(ask.Service));
  bool isEmpty = rows == fleet.ByService.end() || rows->second.empty();
  double slots =
    isEmpty ? 1 : std::max(1U, fleet.Rows[rows->second.front()].Listed.Slots);
  return tokensToProcess +
         fleet.Settings.StepTokens / slots * ask.AnswerTokens;
}

/** Reference event interval of fast engines, milliseconds; zero if no event
 * interval is known. */
double ReferenceInterval(gsFleet const& fleet,
                         std::vector<std::size_t> const& members)
{
  std::vector<double> intervals;
  intervals.reserve(members.size());
  for (std::size_t index : members) {
    double interval = gsEventIntervalMillis(fleet.Rows[index]);
    if (interval > 0) {
      intervals.push_back(interval);
    }
  }
  if (intervals.empty()) {
    return 0;
  }
  auto fasterCount = static_cast<std::ptrdiff_t>(
    ReferenceQuantile * static_cast<double>(intervals.size()));
  std::nth_element(intervals.begin(), intervals.begin() + fasterCount,
                   intervals.end());
  return intervals[static_cast<std::size_t>(fasterCount)];
}

/** Decides which engines of a service are slow. \return Their hashes,
 * ascending.
 */
std::vector<std::uint32_t> DecideSlowEngines(
  gsFleet const& fleet, std::vector<std::size_t> const& members,
  gsEngineArrangement const& previous)
{
  double reference = ReferenceInterval(fleet, members);
  std::vector<std::uint32_t> slow;
  for (std::size_t index : members) {
    gsFleetRow const& row = fleet.Rows[index];
    bool wasSlow = gsIsSlowEngine(previous, row);
    double interval = gsEventIntervalMillis(row);
    // Without measurements the engine keeps its class: a new deciding host
    // does not have any yet.
    double limit = (wasSlow ? FastFactor : SlowFactor) * reference;
    bool isSlow = interval > 0 ? interval > limit : wasSlow;
    if (isSlow) {
      slow.push_back(row.Hash);
    }
  }
  std::sort(slow.begin(), slow.end());
  return slow;
}

/** The engines that are slow by their decided speeds, ascending by hash. */
std::vector<std::uint32_t> SlowEnginesBySpeed(
  gsFleet const& fleet, std::vector<std::size_t> const& members)
{
  std::vector<std::uint32_t> slow;
  for (std::size_t index : members) {
    gsFleetRow const& row = fleet.Rows[index];
    if (gsSpeedClassOf(row) != gsSpeedClass::Normal) {
      slow.push_back(row.Hash);
    }
  }
  std::sort(slow.begin(), slow.end());
  return slow;
}

/**
 * Number of engines for long prompts by the engine time of both groups: the
 * group for tight streams gets what it needs at TightUse, and the long group
 * the rest. If both need more, they are assigned in proportion.
 */
double LongEnginesByNeed(gsFleet const& fleet, gsDemand const& demand,
                         std::vector<std::size_t> const& members,
                         double tokenMillis)
{
  double count = static_cast<double>(members.size());
  double capacity = 0;
  for (std::size_t index : members) {
    capacity += gsEngineSpeedOf(fleet, fleet.Rows[index]);
  }
  double enginesPerToken = std::log(2.0) /
                           gsToSeconds(fleet.Settings.DemandHalfLife) *
                           tokenMillis / 1e3;
  double tight = (demand.TightTokens + demand.OthersTightTokens) *
                 enginesPerToken / TightUse;
  double longNeed =
    (demand.LongTokens + demand.OthersLongTokens) * enginesPerToken;
  if (tight + longNeed > capacity) {
    tight = capacity * tight / (tight + longNeed);
  }
  // Slow engines are assigned to long prompts first, so that those of the
  // other group have about speed 1.
  return count - std::max(tight, MinTightShare * count);
}

/** Decides the number of engines for long prompts. It only changes if demand
 * has changed by more than the minimum change. */
std::uint32_t DecideLongEngines(gsDemand const& demand, double count,
                                double minChangeShare, std::uint32_t previous,
                                std::optional<double> byNeed)
{
  double longTokens = demand.LongTokens + demand.OthersLongTokens;
  double tightTokens = demand.TightTokens + demand.OthersTightTokens;
  if (longTokens < 1 || tightTokens < 1 || count < 2) {
    return 0;
  }
  double engines =
    byNeed.value_or(count * longTokens / (longTokens + tightTokens));
  double minChange = std::max(MinChange, minChangeShare * count);
  bool hasChanged = std::abs(engines - previous) > minChange;
  if (!hasChanged && previous != 0 && previous < count) {
    return previous;
  }
  return static_cast<std::uint32_t>(
    std::clamp(std::round(engines), 1.0, count - 1));
}

/** Whether a service has many engines of which too few are busy to divide
 * them. */
bool IsTooIdleToDivide(double busy, std::size_t engines,
                       gsEngineArrangement const& known)
{
  // Hysteresis: divided engines stay divided until half as many are busy.
  double minShare = known.LongEngines == 0 ? MinBusyShare : MinBusyShare / 2;
  return engines > gsMaxFullyEvaluated &&
         busy < minShare * static_cast<double>(engines);
}

/** Whether the arrangement of a service may be decided again. The first
 * division is decided as soon as demand is known, without a minimum interval.
 */
bool DecisionIsDue(gsFleetSettings const& settings, gsDemand const& demand,
                   gsEngineArrangement const& known, std::size_t engines,
                   gsTime now)
{
  bool demandIsKnown = now - demand.FirstRequestAt >= settings.MinDemandTime;
  if (demandIsKnown && known.LongEngines == 0) {
    return true;
  }
  gsTime interval =
    settings.DecisionInterval +
    settings.DecisionIntervalPerEngine * static_cast<std::int64_t>(engines);
  return now - demand.DecidedAt >= interval;
}

} // namespace

char const* gsFleetGroupName(gsFleetGroup group)
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

gsFleetGroup gsGroupInArrangement(gsFleet const& fleet,
                                  gsEngineArrangement const& arrangement,
                                  gsFleetRow const& row)
{
  auto members = fleet.ByService.find(row.Listed.Service);
  if (arrangement.LongEngines == 0 || members == fleet.ByService.end()) {
    return gsFleetGroup::Any;
  }
  bool isLong = gsIsAtOrBefore(
    row, KeyOfLast(fleet, members->second, arrangement.LongEngines));
  return isLong ? gsFleetGroup::Long : gsFleetGroup::Tight;
}

bool gsIsSlowEngine(gsEngineArrangement const& arrangement,
                    gsFleetRow const& row)
{
  return std::binary_search(arrangement.SlowEngines.begin(),
                            arrangement.SlowEngines.end(), row.Hash);
}

void gsRankEngines(gsFleet& fleet, std::string const& service,
                   std::vector<std::size_t>& members)
{
  gsEngineArrangement const& arrangement = fleet.Arrangements[service];
  for (std::size_t index : members) {
    gsFleetRow& row = fleet.Rows[index];
    row.IsSlow = gsIsSlowEngine(arrangement, row);
  }
  std::sort(members.begin(), members.end(),
            [&fleet](std::size_t a, std::size_t b) {
              return EngineKeyOf(fleet.Rows[a]) < EngineKeyOf(fleet.Rows[b]);
            });
}

void gsInsertRanked(gsFleet const& fleet, std::vector<std::size_t>& members,
                    std::size_t index)
{
  members.insert(LowerBound(fleet, members, EngineKeyOf(fleet.Rows[index])),
                 index);
}

void gsRemoveRanked(gsFleet const& fleet, std::vector<std::size_t>& members,
                    std::size_t index)
{
  auto found = LowerBound(fleet, members, EngineKeyOf(fleet.Rows[index]));
  found = std::find(found, members.cend(), index);
  if (found != members.cend()) {
    members.erase(found);
  }
}

std::uint32_t gsRankOf(gsFleet const& fleet, gsFleetRow const& row)
{
  auto members = fleet.ByService.find(row.Listed.Service);
  if (members == fleet.ByService.end()) {
    return 0;
  }
  auto first = LowerBound(fleet, members->second, EngineKeyOf(row));
  return static_cast<std::uint32_t>(first - members->second.begin());
}

void gsRecordDemand(gsFleet& fleet, gsPlacementRequest const& ask, gsTime now)
{
  if (ask.PromptTokens == 0) {
    return;
  }
  gsDemand& demand = fleet.Demand[std::string(ask.Service)];
  ApplyDecay(demand, fleet.Settings.DemandHalfLife, now);
  if (demand.FirstRequestAt.count() == 0) {
    demand.FirstRequestAt = now;
  }
  bool isLong = ask.Group == gsFleetGroup::Long || CountsAsLong(fleet, ask);
  (isLong ? demand.LongTokens : demand.TightTokens) +=
    EngineTimeOf(fleet, ask, TokensToProcess(fleet, demand, ask, now));
}

void gsSetOthersDemand(gsFleet& fleet, std::string const& service,
                       gsServiceDemand const& others, gsTime now)
{
  bool isZero = others.LongTokens == 0 && others.TightTokens == 0;
  if (isZero && fleet.Demand.count(service) == 0) {
    return;
  }
  gsDemand& demand = fleet.Demand[service];
  demand.OthersLongTokens = others.LongTokens;
  demand.OthersTightTokens = others.TightTokens;
  if (!isZero && demand.FirstRequestAt.count() == 0) {
    demand.FirstRequestAt = now;
  }
}

double gsBusyEngines(gsFleet const& fleet, std::string const& service,
                     double millisPerToken, gsTime now)
{
  auto found = fleet.Demand.find(service);
  if (found == fleet.Demand.end()) {
    return 0;
  }
  gsDemand const& demand = found->second;
  double halfLife = gsToSeconds(fleet.Settings.DemandHalfLife);
  double halfLives = gsToSeconds(now - demand.DecayedAt) / halfLife;
  double own = (demand.LongTokens + demand.TightTokens) *
               std::exp2(-std::max(0.0, halfLives));
  double tokens = own + demand.OthersLongTokens + demand.OthersTightTokens;
  // In equilibrium, a decaying sum equals its rate times halfLife / ln 2.
  double perSecond = tokens * std::log(2.0) / halfLife;
  return perSecond * millisPerToken / 1e3;
}

void gsRecordSlotHold(gsFleet& fleet, gsFleetRow const& row, gsTime holdTime)
{
  std::string const& service = row.Listed.Service;
  bool isLong = gsIsLongEngine(fleet, row);
  gsDemand& demand = fleet.Demand[service];
  double& hold = isLong ? demand.LongHoldMillis : demand.TightHoldMillis;
  double millis = gsToSeconds(holdTime) * 1e3;
  hold += (hold == 0 ? 1 : HoldSmoothing) * (millis - hold);
}

void gsSetOpenAttempts(gsFleet& fleet, std::string const& service,
                       gsOpenAttemptsMap const& open, gsTime now)
{
  if (open.empty() && fleet.Demand.count(service) == 0) {
    return;
  }
  gsDemand& demand = fleet.Demand[service];
  double halfLives = gsToSeconds(now - demand.OpenAttemptsSetAt) /
                     gsToSeconds(fleet.Settings.ReservedSlotHalfLife);
  double factor = std::exp2(-std::max(0.0, halfLives));
  demand.OpenAttemptsSetAt = now;
  for (auto& [priority, recent] : demand.RecentOpenAttempts) {
    recent *= factor;
  }
  for (auto const& [priority, count] : open) {
    double& recent = demand.RecentOpenAttempts[priority];
    recent = std::max(recent, static_cast<double>(count));
  }
}

void gsRecordRunTime(gsFleet& fleet, gsFleetRow const& row,
                     std::uint32_t priority, gsTime runTime)
{
  double& run = fleet.Demand[row.Listed.Service].RunMillis[priority];
  double millis = gsToSeconds(runTime) * 1e3;
  run += (run == 0 ? 1 : HoldSmoothing) * (millis - run);
}

void gsDecideArrangements(gsFleet& fleet, gsTime now)
{
  gsFleetSettings const& settings = fleet.Settings;
  for (auto& [service, demand] : fleet.Demand) {
    auto rows = fleet.ByService.find(service);
    if (rows == fleet.ByService.end()) {
      continue;
    }
    ApplyDecay(demand, settings.DemandHalfLife, now);
    std::size_t engines = rows->second.size();
    gsEngineArrangement& known = fleet.Arrangements[service];
    if (!DecisionIsDue(settings, demand, known, engines, now)) {
      continue;
    }
    demand.DecidedAt = now;
    gsEngineArrangement next = known;
    gsTime slowInterval = settings.SlowDecisionIntervalPerEngine *
                          static_cast<std::int64_t>(engines);
    bool usesSpeed = gsUsesEngineSpeed(fleet);
    if (usesSpeed) {
      next.SlowEngines = SlowEnginesBySpeed(fleet, rows->second);
    } else if (now - demand.SlowDecidedAt >= slowInterval) {
      demand.SlowDecidedAt = now;
      next.SlowEngines = DecideSlowEngines(fleet, rows->second, known);
    }
    if (now - demand.FirstRequestAt >= settings.MinDemandTime) {
      gsEngineTiming const& timing = fleet.EngineTimings[service];
      double tokenMillis =
        usesSpeed ? timing.LoadFreeTokenMillis : timing.TokenMillis;
      double busy = gsBusyEngines(fleet, service, tokenMillis, now);
      std::optional<double> byNeed;
      if (usesSpeed) {
        byNeed = LongEnginesByNeed(fleet, demand, rows->second, tokenMillis);
      }
      double minChangeShare =
        gsAreLongPromptsUrgent(timing) ? UrgentMinChangeShare : MinChangeShare;
      next.LongEngines =
        IsTooIdleToDivide(busy, engines, known)
          ? 0
          : DecideLongEngines(demand, static_cast<double>(engines),
                              minChangeShare, known.LongEngines, byNeed);
    }
    if (!(next == known)) {
      StorePreviousGroups(fleet, known, rows->second);
      ++next.Version;
      known = std::move(next);
      gsRankEngines(fleet, service, rows->second);
    }
  }
}

bool gsAdoptArrangement(gsFleet& fleet, std::string const& service,
                        gsEngineArrangement const& arrangement)
{
  gsEngineArrangement& known = fleet.Arrangements[service];
  if (!gsSupersedes(arrangement, known)) {
    return false;
  }
  auto rows = fleet.ByService.find(service);
  if (rows != fleet.ByService.end()) {
    StorePreviousGroups(fleet, known, rows->second);
  }
  known = arrangement;
  if (rows != fleet.ByService.end()) {
    gsRankEngines(fleet, service, rows->second);
  }
  return true;
}

std::uint32_t gsLongEngineCount(gsFleet const& fleet, std::string_view service)
{
  auto known = fleet.Arrangements.find(std::string(service));
  bool isUndivided =
    !fleet.Settings.DivideEngines || known == fleet.Arrangements.end();
  return isUndivided ? 0 : known->second.LongEngines;
}

std::optional<gsEngineKey> gsLastLongEngine(gsFleet const& fleet,
                                            std::string_view service)
{
  auto members = fleet.ByService.find(std::string(service));
  if (members == fleet.ByService.end()) {
    return std::nullopt;
  }
  return KeyOfLast(fleet, members->second, gsLongEngineCount(fleet, service));
}

bool gsIsAtOrBefore(gsFleetRow const& row,
                    std::optional<gsEngineKey> const& border)
{
  return border && !(*border < EngineKeyOf(row));
}

bool gsIsLongEngine(gsFleet const& fleet, gsFleetRow const& row)
{
  return gsIsAtOrBefore(row, gsLastLongEngine(fleet, row.Listed.Service));
}
