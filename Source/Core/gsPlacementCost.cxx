/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsPlacementCost.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <tuple>

#include "gsArrangement.h"
#include "gsColdStart.h"
#include "gsEngineSpeed.h"
#include "gsRendezvous.h"
#include "gsWorkAhead.h"

namespace gsPlacementDetail {

namespace {

/** Expected time to the first token, as a share of the target, from which on a
 * missed target is considered certain; see MinMissShare. */
constexpr double CertainMissShare = 1.3;
/** Share of the tight streams at an engine for long prompts of which an
 * interval between events exceeds its target. */
constexpr double StreamMissShare = 0.9;
/** Cost of an upstream that is used only if no other one is eligible; above
 * all other costs. */
constexpr double ExcludedGroupCost = 1e8;
/** Difference between an upstream's failure share and the mean that is
 * attributed to chance and costs nothing. */
constexpr double FailureTolerance = 0.2;
/** Probability that the home of a subject has its shared parts cached, unless
 * it has restarted within HomeWarmupTime. */
constexpr double HomeHitProbability = 0.8;
/** Time after a restart during which the probability of a hit rises from 0 to
 * HomeHitProbability. With 1,500 equally frequent subjects on 112 engines and
 * 200 requests per second, an engine has read half of its subjects after 5 s.
 */
constexpr gsTime HomeWarmupTime = gsSeconds(10);

/** Mean failure share of the given upstreams. A service may have a certain
 * failure share on all its upstreams, which does not count against any one. */
double MeanOfFailureShares(gsFleet const& fleet,
                           std::vector<std::size_t> const& rows, gsTime now)
{
  double sum = 0;
  for (std::size_t index : rows) {
    sum += gsFailureRate(fleet.Rows[index], now);
  }
  return rows.empty() ? 0 : sum / static_cast<double>(rows.size());
}

/** Cost of waiting until the engine has read the given tokens. Tokens within a
 * set share of the target have a lower weight than those beyond it. */
double WaitCost(gsFleetSettings const& settings, double tokens,
                double targetTokens)
{
  if (targetTokens <= 0) {
    return tokens;
  }
  double inTarget = std::min(tokens, settings.TargetShare * targetTokens);
  return settings.InTargetWaitWeight * inTarget +
         settings.LateWaitWeight * (tokens - inTarget);
}

/** Sets the cost of an upstream for this request by its load, hall and
 * failures. */
void SetBaseCost(gsCostParts& cost, gsFleet const& fleet,
                 gsFleetRow const& row, gsPlacementRequest const& request,
                 std::uint32_t toRead, double meanFailureShare, gsTime now)
{
  gsFleetSettings const& settings = fleet.Settings;
  gsOutstandingLoad work = gsTotalLoad(fleet, row, now);
  gsWorkAhead ahead = gsWorkAheadOf(fleet, row, request.Priority, now);
  double speed = gsEngineSpeedOf(fleet, row);
  // Prompts of less urgent requests are processed after its first event, but
  // then delay its further events.
  cost.Wait = WaitCost(
    settings, (static_cast<double>(work.PendingPromptTokens) + toRead) / speed,
    request.TargetTokens);
  cost.Running = settings.RunningCost * work.OpenAttempts / speed;
  if (ahead.Requests >= row.Listed.Slots) {
    cost.Queued =
      settings.QueuedCost * (1 + ahead.Requests - row.Listed.Slots) / speed;
  }
  if (row.Listed.Hall != settings.Hall) {
    cost.Hall = settings.OtherHallCost;
  }
  double excess =
    gsFailureRate(row, now) - meanFailureShare - FailureTolerance;
  cost.Failures = settings.FailureCost * std::max(0.0, excess);
}

/** Whether this host has fewer open attempts at the upstream than allowed. */
bool HasFreeConnection(gsFleetRow const& row,
                       gsPlacementRequest const& request)
{
  return request.MaxOwnAttempts == 0 ||
         row.OwnLoad.OpenAttempts < request.MaxOwnAttempts;
}

/** Whether a list contains a region. An empty or null list allows all regions.
 */
bool AllowsRegion(std::vector<std::string> const* regions,
                  std::string const& region)
{
  return regions == nullptr || regions->empty() ||
         std::find(regions->begin(), regions->end(), region) != regions->end();
}

} // namespace

bool WasTried(gsPlacementRequest const& request, gsFleetRow const& row)
{
  if (request.TriedUpstreams == nullptr) {
    return false;
  }
  for (gsIncarnation const& tried : *request.TriedUpstreams) {
    if (tried.StartedAt == row.Listed.StartedAt && tried.Id == row.Listed.Id) {
      return true;
    }
  }
  return false;
}

bool IsOfRequiredVersion(gsFleetRow const& row,
                         gsPlacementRequest const& request)
{
  // An unknown version equals no other, nor itself.
  std::uint32_t version = row.Listed.SoftwareVersion;
  return !request.RequiredVersion ||
         (version != 0 && version == *request.RequiredVersion);
}

bool IsInAllowedRegion(gsFleet const& fleet, gsFleetRow const& row,
                       gsPlacementRequest const& request)
{
  bool isUnrestricted =
    (request.RouteRegions == nullptr || request.RouteRegions->empty()) &&
    (request.OrganisationRegions == nullptr ||
     request.OrganisationRegions->empty());
  if (isUnrestricted) {
    return true;
  }
  auto region = fleet.Settings.Regions.find(row.Listed.Hall);
  return region != fleet.Settings.Regions.end() &&
         AllowsRegion(request.RouteRegions, region->second) &&
         AllowsRegion(request.OrganisationRegions, region->second);
}

bool ExceedsColdQuota(gsFleet const& fleet, gsFleetRow const& row,
                      gsPlacementRequest const& request, gsTime now)
{
  if (row.ColdUntil <= now) {
    return false;
  }
  gsColdShare share =
    gsColdShareOfHost(request.ColdPerSecond, request.RecentPeakHosts,
                      fleet.Settings.Host, row.Listed.Id);
  return !share.MaySend || now - row.ColdSentAt < share.MinInterval;
}

bool MustDelayResumption(gsFleet const& fleet, gsFleetRow const& row,
                         gsPlacementRequest const& request, gsTime now)
{
  return !gsSlowStartAllows(
    row.Announced,
    { fleet.Settings.Host, row.Listed.Id, request.RecentPeakHosts }, now);
}

bool IsAvailable(gsFleet const& fleet, gsFleetRow const& row,
                 gsPlacementRequest const& request, gsTime now)
{
  return gsAcceptsRequests(fleet, row, now) &&
         !MustDelayResumption(fleet, row, request, now) &&
         row.AvoidUntil <= now && !WasTried(request, row) &&
         IsOfRequiredVersion(row, request) &&
         gsHallMaySend(fleet.HallReachability, row.Listed.Hall, now) &&
         IsInAllowedRegion(fleet, row, request) &&
         !(request.OwnHallOnly && row.Listed.Hall != fleet.Settings.Hall);
}

bool IsEligible(gsFleet const& fleet, gsFleetRow const& row,
                gsPlacementRequest const& request, gsTime now)
{
  return HasFreeConnection(row, request) &&
         IsAvailable(fleet, row, request, now) &&
         !ExceedsColdQuota(fleet, row, request, now);
}

bool HasToken(gsFleet const& fleet, gsFleetRow const& row, gsTime now)
{
  return gsHasToken(fleet.RateLimits, row.Hash, now) &&
         gsHasToken(fleet.SlotLimits, row.Hash, now);
}

gsTime TokenWait(gsFleet const& fleet, gsFleetRow const& row, gsTime now)
{
  return std::max(gsExpectedTokenWait(fleet.RateLimits, row.Hash, 0, now),
                  gsExpectedTokenWait(fleet.SlotLimits, row.Hash, 0, now));
}

double ReservedSlots(gsFleet const& fleet, gsFleetRow const& row,
                     gsPlacementRequest const& request, gsTime now)
{
  auto found = fleet.Demand.find(std::string(request.Service));
  auto rows = fleet.ByService.find(std::string(request.Service));
  if (found == fleet.Demand.end() || rows == fleet.ByService.end()) {
    return 0;
  }
  double recent = 0;
  for (auto const& [priority, open] : found->second.RecentOpenAttempts) {
    recent += priority < request.Priority ? open : 0;
  }
  gsFleetSettings const& settings = fleet.Settings;
  double wanted =
    settings.ReservedSlotFactor * recent /
    static_cast<double>(std::max<std::size_t>(1, rows->second.size()));
  auto runTime = found->second.RunMillis.find(request.Priority);
  bool isKnown =
    runTime != found->second.RunMillis.end() && runTime->second > 0;
  double releaseRate = isKnown ? row.Listed.Slots / runTime->second
                               : gsSlotReleaseRate(fleet, row, now);
  double released = releaseRate * request.MoreUrgentTargetMillis;
  return std::clamp(wanted - released, 0.0,
                    settings.MaxReservedSlotShare * row.Listed.Slots);
}

double FreePlaces(gsFleet const& fleet, gsFleetRow const& row,
                  gsPlacementRequest const& request, gsTime now)
{
  std::uint32_t limit =
    gsMaxOpenRequests(row.Listed.Slots, request.MoreUrgentKinds);
  if (limit == 0) {
    return std::numeric_limits<double>::infinity();
  }
  double open = gsTotalLoad(fleet, row, now).OpenAttempts;
  double places = std::max(0.0, limit - open);
  double reserved = places > 0 ? ReservedSlots(fleet, row, request, now) : 0;
  if (reserved <= 0) {
    return places;
  }
  // Less urgent requests have a lower limit of their own. That they hold more
  // slots than they should is no reason to refuse this one.
  double occupied = gsRequestsOfKind(fleet, row, request.Priority, now);
  return std::clamp(row.Listed.Slots - reserved - occupied, 0.0, places);
}

bool HasQueuePlace(gsFleet const& fleet, gsFleetRow const& row,
                   gsPlacementRequest const& request, gsTime now)
{
  return FreePlaces(fleet, row, request, now) >= 1;
}

bool IsInGroup(gsFleetRow const& row, PlacementContext const& context)
{
  if (context.Group == gsFleetGroup::Any || !context.GroupBoundary) {
    return true;
  }
  bool isLong = gsIsAtOrBefore(row, context.GroupBoundary);
  return isLong == (context.Group == gsFleetGroup::Long);
}

namespace {

/** Score of an upstream in a subject's rendezvous order, weighted by its speed
 * if decisions use it. The unweighted order is the same as in releases without
 * speeds. */
struct SubjectScore
{
  double Weighted = 0;
  std::uint64_t Unweighted = 0;

  bool operator>(SubjectScore const& other) const
  {
    return std::tie(this->Weighted, this->Unweighted) >
           std::tie(other.Weighted, other.Unweighted);
  }
};

SubjectScore SubjectScoreOf(gsFleet const& fleet, gsFleetRow const& row,
                            std::uint64_t subject, gsTime now)
{
  std::string const& id = row.Listed.Id;
  if (!gsUsesEngineSpeed(fleet)) {
    return { 0, gsRendezvousWeight(id, subject) };
  }
  return {
    gsWeightedRendezvousScore(id, subject, gsHomeWeightOf(fleet, row, now)), 0
  };
}

/** The first upstream in a subject's rendezvous order that satisfies a
 * predicate; null if none does. */
template<typename Predicate>
gsFleetRow const* FirstInSubjectOrder(gsFleet const& fleet,
                                      std::vector<std::size_t> const& rows,
                                      std::uint64_t subject, gsTime now,
                                      Predicate const& predicate)
{
  gsFleetRow const* best = nullptr;
  SubjectScore bestScore;
  for (std::size_t index : rows) {
    gsFleetRow const& row = fleet.Rows[index];
    SubjectScore score = SubjectScoreOf(fleet, row, subject, now);
    bool better = best == nullptr || score > bestScore;
    if (better && predicate(row)) {
      best = &row;
      bestScore = score;
    }
  }
  return best;
}

/** The home of the request's subject; null without a subject or if no upstream
 * of the group is eligible. */
gsFleetRow const* FindHome(gsFleet const& fleet,
                           std::vector<std::size_t> const& rows,
                           gsPlacementRequest const& request,
                           PlacementContext const& context, gsTime now)
{
  std::uint64_t subject = gsSubjectOf(request);
  if (subject == 0) {
    return nullptr;
  }
  auto mayServe = [&](gsFleetRow const& row) {
    return IsEligible(fleet, row, request, now) && IsInGroup(row, context);
  };
  if (gsUsesEngineSpeed(fleet)) {
    gsFleetRow const* home = FirstInSubjectOrder(
      fleet, rows, subject, now, [&](gsFleetRow const& row) {
        return gsFitsPauseTarget(fleet, row, request.MaxIntervalMillis) &&
               mayServe(row);
      });
    if (home != nullptr) {
      return home;
    }
  }
  return FirstInSubjectOrder(fleet, rows, subject, now, mayServe);
}

} // namespace

bool CanTransferFrom(gsFleet const& fleet, gsFleetRow const& row,
                     gsPlacementRequest const& request, gsTime now)
{
  return row.AvoidUntil <= now && IsInAllowedRegion(fleet, row, request) &&
         !gsHallIsUnreachable(fleet.HallReachability, row.Listed.Hall);
}

namespace {

/** The home of the request's subject before the engines were last divided into
 * groups anew; null if there is none. */
gsFleetRow const* FindPreviousHome(gsFleet const& fleet,
                                   std::vector<std::size_t> const& rows,
                                   gsPlacementRequest const& request,
                                   PlacementContext const& context, gsTime now)
{
  return FirstInSubjectOrder(
    fleet, rows, gsSubjectOf(request), now, [&](gsFleetRow const& row) {
      bool fits = row.PreviousGroup == gsFleetGroup::Any ||
                  row.PreviousGroup == context.Group;
      return fits && CanTransferFrom(fleet, row, request, now);
    });
}

/** Probability that a subject's home has the subject's shared parts cached. */
double HomeHitProbabilityOf(gsFleetRow const& home, gsTime now)
{
  if (home.RestartedAt.count() == 0) {
    return HomeHitProbability;
  }
  double warmth =
    gsToSeconds(now - home.RestartedAt) / gsToSeconds(HomeWarmupTime);
  return HomeHitProbability * std::clamp(warmth, 0.0, 1.0);
}

} // namespace

bool IsTransferable(gsFleetSettings const& settings,
                    gsPlacementRequest const& request)
{
  return request.CanTransferParts &&
         gsSharedTokens(request) >= settings.MinTransferTokens;
}

std::uint32_t ExpectedTokensToRead(gsFleet const& fleet, gsFleetRow const& row,
                                   gsPlacementRequest const& request,
                                   PlacementContext const& context,
                                   std::uint32_t toRead, gsTime now)
{
  std::uint32_t shared = gsSharedTokens(request);
  std::uint32_t cached = request.PromptTokens - toRead;
  double missing = shared - std::min(shared, cached);
  double saved = 0;
  if (&row == context.Home) {
    saved = HomeHitProbabilityOf(row, now);
  } else if (IsTransferable(fleet.Settings, request) &&
             context.Home != nullptr) {
    saved = HomeHitProbabilityOf(*context.Home, now) * TransferSavedShare;
  }
  return toRead - static_cast<std::uint32_t>(saved * missing);
}

namespace {

/** Cost of reading shared parts that another engine has already read, in
 * tokens. */
double RereadCost(gsFleet const& fleet, gsFleetRow const& row,
                  gsPlacementRequest const& request,
                  PlacementContext const& context, std::uint32_t toRead,
                  gsTime now)
{
  if (context.Home == nullptr) {
    return 0;
  }
  std::uint32_t shared = gsSharedTokens(request);
  std::uint32_t cached = request.PromptTokens - toRead;
  double missing = shared - std::min(shared, cached);
  if (&row == context.Home) {
    // The home has probably read the parts for requests of other hosts.
    missing *= 1 - HomeHitProbabilityOf(row, now);
  }
  bool isTransferable = IsTransferable(fleet.Settings, request);
  return missing * (isTransferable ? fleet.Settings.TransferWeight
                                   : fleet.Settings.ReprocessWeight);
}

} // namespace

double ExpectedTargetShare(gsFleet const& fleet, gsFleetRow const& row,
                           gsPlacementRequest const& request,
                           std::uint32_t toRead, gsTime now)
{
  if (request.TargetTokens <= 0 || request.MillisPerToken <= 0) {
    return 0;
  }
  gsWorkAhead ahead = gsWorkAheadOf(fleet, row, request.Priority, now);
  double wait =
    gsSlotWaitMillis(fleet, row, ahead, now) / request.MillisPerToken;
  double tokens = ahead.PromptTokens + toRead;
  return (tokens + wait) / request.TargetTokens / gsEngineSpeedOf(fleet, row);
}

namespace {

/** Cost of the risk that the first token misses its target. */
double MissCost(gsFleet const& fleet, gsFleetRow const& row,
                gsPlacementRequest const& request, std::uint32_t toRead,
                gsTime now)
{
  double share = ExpectedTargetShare(fleet, row, request, toRead, now);
  double probability = std::clamp(
    (share - MinMissShare) / (CertainMissShare - MinMissShare), 0.0, 1.0);
  // Beyond a certain miss the cost still grows, so that of several upstreams
  // that miss the target the one that misses it least is chosen.
  double excess = std::max(0.0, share - CertainMissShare);
  return fleet.Settings.TargetMissCost *
         (probability + excess / CertainMissShare);
}

} // namespace

bool HoldsSharedParts(gsFleet const& fleet, gsFleetRow const& row,
                      gsPlacementRequest const& request, gsTime now)
{
  std::uint32_t toRead = gsTokensToRead(fleet, row, request, now);
  return toRead + gsSharedTokens(request) <= request.PromptTokens;
}

gsFleetRow const* FindTransferSource(gsFleet const& fleet,
                                     gsCandidates const& candidates,
                                     gsPlacementRequest const& request,
                                     PlacementContext const& context,
                                     gsFleetRow const& chosen, gsTime now)
{
  bool isTransferable =
    context.Home != nullptr && IsTransferable(fleet.Settings, request);
  if (!isTransferable || HoldsSharedParts(fleet, chosen, request, now)) {
    return nullptr;
  }
  for (std::size_t index : candidates.Rows) {
    gsFleetRow const& row = fleet.Rows[index];
    if (CanTransferFrom(fleet, row, request, now) &&
        HoldsSharedParts(fleet, row, request, now)) {
      return &row;
    }
  }
  bool isWarmingUp =
    HomeHitProbabilityOf(*context.Home, now) < HomeHitProbability;
  if (&chosen != context.Home && !isWarmingUp) {
    return context.Home;
  }
  gsFleetRow const* before =
    FindPreviousHome(fleet, candidates.HomeRows, request, context, now);
  if (before != nullptr && before != &chosen) {
    return before;
  }
  // Requests that the home could not take were sent to the next upstream in
  // the subject's order.
  return FirstInSubjectOrder(
    fleet, candidates.HomeRows, gsSubjectOf(request), now,
    [&](gsFleetRow const& row) {
      return &row != &chosen && IsInGroup(row, context) &&
             CanTransferFrom(fleet, row, request, now);
    });
}

namespace {

/**
 * Cost of an engine of another group. A long prompt also delays the streams
 * there, but costs nothing while the engines for long prompts are overloaded.
 * Otherwise, the prompt of a less urgent request is not sent there at all
 * while an engine for long prompts is eligible.
 */
double OtherGroupCost(gsFleetSettings const& settings,
                      gsPlacementRequest const& request,
                      PlacementContext const& context)
{
  bool isLong = context.Group == gsFleetGroup::Long;
  if (!isLong) {
    double missShare = request.MaxIntervalMillis > 0 ? StreamMissShare : 0;
    return settings.OtherGroupCost + missShare * settings.TargetMissCost;
  }
  if (context.Pace != nullptr && gsAreLongPromptsUrgent(*context.Pace)) {
    return 0;
  }
  double exclusion = request.MoreUrgentKinds > 0 ? ExcludedGroupCost : 0;
  return settings.OtherGroupCost + settings.InterferenceCost + exclusion;
}

/** Cost by a hash of engine and subject, which orders the alternatives to the
 * home differently for each subject. Zero for the home and for engines that
 * have the subject cached. */
double SpreadCost(gsFleet const& fleet, gsFleetRow const& row,
                  gsPlacementRequest const& request,
                  PlacementContext const& context, bool holdsSubject,
                  gsTime now)
{
  bool isHome = &row == context.Home;
  if (context.Home == nullptr || isHome || holdsSubject) {
    return 0;
  }
  double fraction = gsRendezvousFraction(row.Listed.Id, gsSubjectOf(request));
  if (gsUsesEngineSpeed(fleet)) {
    // Has the same order as gsWeightedRendezvousScore.
    fraction = std::pow(fraction, 1 / gsHomeWeightOf(fleet, row, now));
  }
  return fleet.Settings.MaxSpreadCost * (1 - fraction);
}

/** Cost of exceeding the engine's memory, which makes it preempt other
 * requests. */
double MemoryCost(gsFleet const& fleet, gsFleetRow const& row,
                  gsPlacementRequest const& request, gsTime now)
{
  if (request.UpstreamMemoryTokens == 0) {
    return 0;
  }
  double used = gsWorkAheadOf(fleet, row, request.Priority, now).MemoryTokens +
                request.PromptTokens + request.AnswerTokens;
  double limit = fleet.Settings.MaxMemoryShare *
                 static_cast<double>(request.UpstreamMemoryTokens);
  return used <= limit
           ? 0
           : fleet.Settings.MemoryExhaustedCost + std::max(0.0, used - limit);
}

} // namespace

PlacementContext MakeContext(gsFleet const& fleet,
                             gsPlacementRequest const& request)
{
  PlacementContext context;
  context.Group = request.Group;
  context.GroupBoundary = gsLastLongEngine(fleet, request.Service);
  auto pace = fleet.EngineTimings.find(std::string(request.Service));
  context.Pace = pace == fleet.EngineTimings.end() ? nullptr : &pace->second;
  return context;
}

void SetCandidates(PlacementContext& context, gsFleet const& fleet,
                   gsCandidates const& candidates,
                   gsPlacementRequest const& request, gsTime now)
{
  context.MeanFailureShare = MeanOfFailureShares(fleet, candidates.Rows, now);
  context.Home = FindHome(fleet, candidates.HomeRows, request, context, now);
}

gsCostParts CostOf(gsFleet const& fleet, gsFleetRow const& row,
                   gsPlacementRequest const& request,
                   PlacementContext const& context, std::uint32_t toRead,
                   gsTime now)
{
  std::uint32_t expected =
    ExpectedTokensToRead(fleet, row, request, context, toRead, now);
  gsCostParts cost;
  SetBaseCost(cost, fleet, row, request, expected, context.MeanFailureShare,
              now);
  cost.Reread = RereadCost(fleet, row, request, context, toRead, now);
  cost.Memory = MemoryCost(fleet, row, request, now);
  cost.TargetMiss = MissCost(fleet, row, request, expected, now);
  // All engines soon have cached the parts that all subjects share, so only an
  // engine that has cached all shared parts holds the subject.
  bool holdsSubject = toRead + gsSharedTokens(request) <= request.PromptTokens;
  cost.Spread = SpreadCost(fleet, row, request, context, holdsSubject, now);
  if (!IsInGroup(row, context)) {
    cost.OtherGroup = OtherGroupCost(fleet.Settings, request, context);
  }
  return cost;
}

} // namespace gsPlacementDetail
