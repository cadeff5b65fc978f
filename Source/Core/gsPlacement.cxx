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
#include "gsSubjectPlacement.h"

using namespace gsPlacementDetail;

namespace {

/** Range of the random addition to each cost, in tokens. It keeps hosts from
 * all choosing the same of several upstreams of about equal cost. */
constexpr double TieTokens = 30;
/** Share of an upstream's maximum number of connections that all hosts
 * combined may use. */
constexpr double MaxConnectionUse = 0.9;
/** Number of connections that each host may use regardless of its share. */
constexpr std::uint32_t MinConnections = 2;
/** Minimum number of upstreams that a request samples. The less loaded of two
 * random ones is already a good choice, and some may be unreachable. */
constexpr std::size_t MinSampleSize = 4;

/**
 * Number of free slots per host from which on every upstream is evaluated
 * instead of a sample. Many upstreams are then equally idle, and requests
 * choose among them by the order of their subjects, which differs by subject.
 * Always sampling lost 0.05 of the value of a day without overload.
 */
constexpr std::size_t MinFreeSlotsPerHost = 2;
/** Share of less urgent requests that may take the places reserved for more
 * urgent ones, so that sustained demand of these does not starve the others.
 * Equal to gsPoolSettings::ReservedSlotShare. */
constexpr double ReservedPlaceShare = 0.05;

/** Whether the upstream could be sent the request if it were not backing off
 * or waiting for this host's time to resume. */
bool IsOnlyBackingOff(gsFleet const& fleet, gsFleetRow const& row,
                      gsPlacementRequest const& request, gsTime now)
{
  bool isBackingOff = gsIsBackingOff(row.Announced, now);
  gsTime resumesAt = isBackingOff ? row.Announced.BackoffUntil : now;
  return (isBackingOff || MustDelayResumption(fleet, row, request, now)) &&
         gsAcceptsRequests(fleet, row, resumesAt) &&
         IsInAllowedRegion(fleet, row, request);
}

/** Updates RetryAfter by an upstream that is backing off. */
void UpdateRetryAfter(gsPlacement& best, gsFleetRow const& row, gsTime now)
{
  gsTime remaining = row.Announced.BackoffUntil - now;
  bool isEarliest =
    best.RetryAfter.count() == 0 || remaining < best.RetryAfter;
  if (remaining.count() > 0 && isEarliest) {
    best.RetryAfter = remaining;
  }
}

/** The cause to report if no upstream can be chosen, given the cause so far
 * and one more upstream that cannot. */
gsPlacementCause CombineCause(gsFleet const& fleet, gsFleetRow const& row,
                              gsPlacementRequest const& request, gsTime now,
                              gsPlacementCause causeSoFar)
{
  if (WasTried(request, row) || causeSoFar == gsPlacementCause::Full ||
      causeSoFar == gsPlacementCause::RateLimited) {
    return causeSoFar;
  }
  if (IsOnlyBackingOff(fleet, row, request, now)) {
    return gsPlacementCause::BackingOff;
  }
  if (!gsAcceptsRequests(fleet, row, now)) {
    return causeSoFar;
  }
  if (IsEligible(fleet, row, request, now)) {
    return gsPlacementCause::Full;
  }
  if (!IsInAllowedRegion(fleet, row, request)) {
    return causeSoFar == gsPlacementCause::NoUpstream
             ? gsPlacementCause::OutsideRegions
             : causeSoFar;
  }
  if (ExceedsColdQuota(fleet, row, request, now)) {
    return gsPlacementCause::Cold;
  }
  bool unreachable =
    row.AvoidUntil > now ||
    !gsHallMaySend(fleet.HallReachability, row.Listed.Hall, now);
  return unreachable ? gsPlacementCause::Unreachable
                     : gsPlacementCause::NoConnection;
}

/** State of the search for an upstream. */
struct Search
{
  gsFleet& Fleet;
  gsPlacementRequest const& Request;
  PlacementContext const& Context;
  gsTime Now;
  gsRandom& Random;
  gsPlacement Best; ///< Of the upstreams evaluated so far.
  /** Expected time to the first token at Best, as a share of the target. */
  double TargetShare;
  std::size_t SampleSize; ///< Number of upstreams to sample.
  double RateLimitedCost; ///< Of Best.RateLimitedRow, without the wait.
  double RateLimitedCostWithWait; ///< Including the wait for a token.
  gsCandidates Candidates;
  /** Cached tokens and transfers are determined by the prefix directory. */
  bool IsBySubject = false;
  /** An engine of the request's group has no place that is not kept for more
   * urgent requests. */
  bool IsGroupReserved = false;
};

/** Number of upstreams of the service per candidate, by which counts over the
 * candidates are extrapolated to the service. */
double SamplingRatio(Search const& search)
{
  return static_cast<double>(search.Candidates.ServiceSize) /
         static_cast<double>(search.Candidates.Rows.size());
}

/**
 * Random cost of an engine with as many requests queued as it has slots. Which
 * of these engines rejects the next request cannot be predicted, and a subject
 * gains nothing by waiting at its home, so the hosts spread their requests
 * over them at random. The range is twice that of the cost by the order of the
 * subject, which it has to outweigh.
 */
double CrowdedCost(Search& search, gsFleetRow const& row)
{
  std::uint32_t minCrowded = gsMaxOpenRequests(row.Listed.Slots, 1);
  bool isCrowded =
    gsTotalLoad(search.Fleet, row, search.Now).OpenAttempts >= minCrowded;
  if (!isCrowded || search.Request.Hosts <= 1) {
    return 0;
  }
  std::uniform_real_distribution<double> draw(
    0, 2 * search.Fleet.Settings.MaxSpreadCost);
  return draw(search.Random);
}

/** Records an eligible upstream without a token of its rate limit. Keeps the
 * one with the lowest cost including the expected wait for a token. */
void RecordRateLimited(Search& search, gsFleetRow const& row, double cost)
{
  gsPlacement& best = search.Best;
  gsTime wait = TokenWait(search.Fleet, row, search.Now);
  double millis = search.Request.MillisPerToken;
  double waitCost = millis > 0 ? gsToSeconds(wait) * 1e3 / millis : 0;
  if (best.RateLimitedRow == nullptr ||
      cost + waitCost < search.RateLimitedCostWithWait) {
    best.RateLimitedRow = &row;
    search.RateLimitedCost = cost;
    search.RateLimitedCostWithWait = cost + waitCost;
  }
  if (best.Row == nullptr && best.Cause != gsPlacementCause::Full) {
    best.Cause = gsPlacementCause::RateLimited;
    best.RetryAfter =
      best.RetryAfter.count() == 0 ? wait : std::min(best.RetryAfter, wait);
  }
}

/** Whether a long prompt would have been placed on the engine, if its places
 * were not kept for more urgent requests. */
bool IsReservedInGroup(Search const& search, gsFleetRow const& row)
{
  return search.Request.MoreUrgentKinds > 0 &&
         search.Context.Group == gsFleetGroup::Long &&
         search.Context.GroupBoundary && IsInGroup(row, search.Context) &&
         IsEligible(search.Fleet, row, search.Request, search.Now) &&
         !HasQueuePlace(search.Fleet, row, search.Request, search.Now);
}

/**
 * Drops the choice of an engine for tight streams for a less urgent long
 * prompt, if places at the engines for long prompts are only kept for more
 * urgent requests. It would delay these at the other engines too.
 */
void RejectReservedGroup(Search& search)
{
  gsPlacement& best = search.Best;
  bool isUrgentLong = search.Context.Pace != nullptr &&
                      gsAreLongPromptsUrgent(*search.Context.Pace);
  if (best.Row != nullptr && search.IsGroupReserved && !isUrgentLong &&
      !IsInGroup(*best.Row, search.Context)) {
    best.Row = nullptr;
    best.Cause = gsPlacementCause::Full;
  }
}

/** Keeps the upstream with the lowest cost of those that are not chosen. */
void RecordRunnerUp(gsPlacement& best, gsEvaluatedUpstream const& other)
{
  bool isNext = best.RunnerUp.Row == nullptr ||
                gsTotalOf(other.Cost) < gsTotalOf(best.RunnerUp.Cost);
  if (isNext) {
    best.RunnerUp = other;
  }
}

/** Evaluates the given rows. Updates the best upstream by those that may be
 * sent the request, and the cause by the others. */
void Evaluate(Search& search, std::vector<std::size_t> const& rows)
{
  gsPlacement& best = search.Best;
  std::uniform_real_distribution<double> tieBreak(0, TieTokens);
  for (std::size_t index : rows) {
    gsFleetRow& row = search.Fleet.Rows[index];
    bool isEligible =
      IsEligible(search.Fleet, row, search.Request, search.Now) &&
      HasQueuePlace(search.Fleet, row, search.Request, search.Now);
    search.IsGroupReserved =
      search.IsGroupReserved || IsReservedInGroup(search, row);
    if (!isEligible) {
      if (best.Row == nullptr) {
        best.Cause = CombineCause(search.Fleet, row, search.Request,
                                  search.Now, best.Cause);
        if (IsOnlyBackingOff(search.Fleet, row, search.Request, search.Now)) {
          UpdateRetryAfter(best, row, search.Now);
        }
      }
      continue;
    }
    std::uint32_t toRead =
      search.IsBySubject
        ? gsSubjectTokensToRead(search.Fleet, row, search.Request, search.Now)
        : gsTokensToRead(search.Fleet, row, search.Request, search.Now);
    gsCostParts parts = CostOf(search.Fleet, row, search.Request,
                               search.Context, toRead, search.Now);
    parts.Random = CrowdedCost(search, row) + tieBreak(search.Random);
    double cost = gsTotalOf(parts);
    if (!HasToken(search.Fleet, row, search.Now)) {
      RecordRateLimited(search, row, cost);
      continue;
    }
    ++best.CandidateCount;
    bool isBest = best.Row == nullptr || cost < best.Cost;
    if (!isBest) {
      RecordRunnerUp(best, { &row, parts, 0 });
      continue;
    }
    if (best.Row != nullptr) {
      RecordRunnerUp(best, best.Chosen);
    }
    bool cached = toRead < search.Request.PromptTokens;
    bool preferred = &row == search.Context.Home;
    best.Row = &row;
    best.Cost = cost;
    best.TokensToRead = toRead;
    best.Cause = cached      ? gsPlacementCause::Cached
                 : preferred ? gsPlacementCause::Preferred
                             : gsPlacementCause::LeastLoaded;
    search.TargetShare = ExpectedTargetShare(
      search.Fleet, row, search.Request,
      ExpectedTokensToRead(search.Fleet, row, search.Request, search.Context,
                           toRead, search.Now),
      search.Now);
    best.Chosen = { &row, parts, search.TargetShare };
  }
}

/** Estimated number of free slots at all upstreams of the request's group that
 * may be sent it, extrapolated from the given rows. */
double EstimateFreeSlots(Search const& search,
                         std::vector<std::size_t> const& rows)
{
  std::size_t slots = 0;
  for (std::size_t index : rows) {
    gsFleetRow const& row = search.Fleet.Rows[index];
    bool counts = IsInGroup(row, search.Context) &&
                  IsEligible(search.Fleet, row, search.Request, search.Now) &&
                  HasToken(search.Fleet, row, search.Now);
    std::uint32_t running =
      gsTotalLoad(search.Fleet, row, search.Now).OpenAttempts;
    slots +=
      counts ? row.Listed.Slots - std::min(row.Listed.Slots, running) : 0;
  }
  return static_cast<double>(slots) * SamplingRatio(search);
}

/** Number of upstreams to sample. If free slots are not scarce it equals the
 * number of rows, so that all are evaluated. */
std::size_t SampleSizeFor(Search const& search,
                          std::vector<std::size_t> const& rows)
{
  std::size_t hosts = search.Request.Hosts;
  std::uint32_t slots = search.Fleet.Rows[rows.front()].Listed.Slots;
  std::size_t sampleSize =
    gsSampleSize(search.Candidates.ServiceSize, slots, hosts);
  // A request without a prompt ends at once, so it is best served by the
  // nearest idle upstream of all.
  if (search.Request.PromptTokens == 0 || sampleSize >= rows.size()) {
    return rows.size();
  }
  bool scarce = EstimateFreeSlots(search, rows) <
                static_cast<double>(MinFreeSlotsPerHost * hosts);
  return scarce ? sampleSize : rows.size();
}

/**
 * The part of the sample that depends on the request's subject, which keeps
 * requests of one subject together: the upstreams that have cached the shared
 * parts, and the first ones in the rendezvous order of the subject. The latter
 * make up half of the sample. All rows if no sample is taken; empty without a
 * subject.
 */
std::vector<std::size_t> SubjectSample(Search const& search,
                                       std::vector<std::size_t> const& rows)
{
  std::size_t sampleSize = search.SampleSize;
  if (sampleSize >= rows.size()) {
    return rows;
  }
  std::uint64_t subject = gsSubjectOf(search.Request);
  if (subject == 0) {
    return {};
  }
  std::vector<std::pair<std::uint64_t, std::size_t>> order;
  std::vector<std::size_t> chosen;
  for (std::size_t index : search.Candidates.HomeRows) {
    gsFleetRow const& row = search.Fleet.Rows[index];
    if (HoldsSharedParts(search.Fleet, row, search.Request, search.Now)) {
      chosen.push_back(index);
    } else if (IsInGroup(row, search.Context) &&
               IsEligible(search.Fleet, row, search.Request, search.Now)) {
      order.emplace_back(gsRendezvousWeight(row.Listed.Id, subject), index);
    }
  }
  std::size_t first = std::min((sampleSize + 1) / 2, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(first),
                    order.end(), std::greater<>());
  for (std::size_t i = 0; i < first; ++i) {
    chosen.push_back(order[i].second);
  }
  return chosen;
}

/** The random part of the sample: the other half of it, or all of it without a
 * subject. Empty if no sample is taken. */
std::vector<std::size_t> RandomSample(Search const& search,
                                      std::vector<std::size_t> const& rows)
{
  std::size_t sampleSize = search.SampleSize;
  if (sampleSize >= rows.size()) {
    return {};
  }
  bool hasNoSubject = gsSubjectOf(search.Request) == 0;
  std::vector<std::size_t> chosen;
  std::sample(rows.begin(), rows.end(), std::back_inserter(chosen),
              hasNoSubject ? sampleSize : (sampleSize + 1) / 2, search.Random);
  return chosen;
}

/** Number of open requests at an upstream, of all hosts. */
std::uint32_t RunningAt(Search const& search, gsFleetRow const& row)
{
  return gsTotalLoad(search.Fleet, row, search.Now).OpenAttempts;
}

/** Maximum number of open requests at any engine that may be sent the request.
 */
std::uint32_t MaxRunning(Search const& search,
                         std::vector<std::size_t> const& rows)
{
  std::uint32_t maximum = 0;
  for (std::size_t index : rows) {
    gsFleetRow const& row = search.Fleet.Rows[index];
    if (IsEligible(search.Fleet, row, search.Request, search.Now) &&
        HasToken(search.Fleet, row, search.Now)) {
      maximum = std::max(maximum, RunningAt(search, row));
    }
  }
  return maximum;
}

/**
 * Number of further requests of this kind that an engine may be sent. The less
 * urgent kinds fill it up to the limit that gsMaxOpenRequests returns. The
 * most urgent kind fills it until as many requests are queued as it has slots,
 * or until it has as many open requests as the most loaded engine, which may
 * reject the next one, whichever is more.
 */
std::uint32_t FreePlacesAt(Search const& search, gsFleetRow const& row,
                           std::uint32_t maxRunning)
{
  bool isEligible =
    IsEligible(search.Fleet, row, search.Request, search.Now) &&
    HasToken(search.Fleet, row, search.Now);
  if (!isEligible) {
    return 0;
  }
  if (search.Request.MoreUrgentKinds > 0) {
    return static_cast<std::uint32_t>(
      FreePlaces(search.Fleet, row, search.Request, search.Now));
  }
  std::uint32_t limit =
    std::max(gsMaxOpenRequests(row.Listed.Slots, 1), maxRunning);
  return limit - std::min(limit, RunningAt(search, row));
}

/**
 * Draws an engine with a probability proportional to its free places. Draws
 * none with a probability such that, if each host places one request, all
 * hosts combined send about as many requests as there are places.
 */
std::vector<std::size_t> DrawByFreePlaces(Search const& search,
                                          std::vector<std::size_t> const& rows)
{
  std::uint32_t maxRunning = MaxRunning(search, rows);
  std::vector<double> places;
  places.reserve(rows.size());
  double total = 0;
  for (std::size_t index : rows) {
    places.push_back(
      FreePlacesAt(search, search.Fleet.Rows[index], maxRunning));
    total += places.back();
  }
  std::uniform_real_distribution<double> draw(0, 1);
  double threshold =
    draw(search.Random) * static_cast<double>(search.Request.Hosts);
  if (total <= 0 || total * SamplingRatio(search) < threshold) {
    return {};
  }
  std::discrete_distribution<std::size_t> byPlaces(places.begin(),
                                                   places.end());
  return { rows[byPlaces(search.Random)] };
}

/** Whether an upstream has as many requests queued as it has slots, or there
 * is no upstream. */
bool IsCrowded(Search const& search, gsFleetRow const* row)
{
  return row == nullptr ||
         RunningAt(search, *row) >= gsMaxOpenRequests(row->Listed.Slots, 1);
}

/** Whether the random part of the sample is needed: there is no upstream yet,
 * or the best one may miss the target or has no free slot. */
bool NeedsRandomSample(Search const& search)
{
  gsFleetRow const* best = search.Best.Row;
  if (best == nullptr || search.TargetShare >= MinMissShare) {
    return true;
  }
  return RunningAt(search, *best) >= best->Listed.Slots;
}

/** Evaluates the sample in stages until an upstream is good enough. If even
 * the best one is crowded, the choice is made by free places instead. */
void EvaluateSample(Search& search)
{
  std::vector<std::size_t> const& rows = search.Candidates.Rows;
  Evaluate(search, SubjectSample(search, rows));
  if (search.SampleSize >= rows.size()) {
    return;
  }
  if (NeedsRandomSample(search)) {
    Evaluate(search, RandomSample(search, rows));
  }
  if (!IsCrowded(search, search.Best.Row)) {
    return;
  }
  std::vector<std::size_t> drawn = DrawByFreePlaces(search, rows);
  if (!drawn.empty()) {
    search.Best.Row = nullptr;
    Evaluate(search, drawn);
  } else if (search.Best.Row == nullptr &&
             search.Request.MoreUrgentKinds == 0) {
    Evaluate(search, rows);
  }
}

} // namespace

std::size_t gsSampleSize(std::size_t upstreams, std::uint32_t slots,
                         std::size_t hosts)
{
  constexpr double maxSlotShare = 0.5;
  double arrivals = static_cast<double>(std::max<std::size_t>(hosts, 1));
  double sampleSize = std::ceil(static_cast<double>(upstreams) * maxSlotShare *
                                slots / arrivals);
  return std::max(MinSampleSize, static_cast<std::size_t>(sampleSize));
}

std::uint32_t gsMaxOpenRequests(std::uint32_t slots,
                                std::uint32_t moreUrgentKinds)
{
  return moreUrgentKinds == 0 ? 0 : slots + slots / moreUrgentKinds;
}

double gsTotalOf(gsCostParts const& parts)
{
  return parts.Wait + parts.Running + parts.Queued + parts.Hall +
         parts.Failures + parts.Reread + parts.Memory + parts.TargetMiss +
         parts.Spread + parts.OtherGroup + parts.Random;
}

char const* gsPlacementCauseName(gsPlacementCause cause)
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
    case gsPlacementCause::BackingOff:
      return "resting";
    case gsPlacementCause::OutsideRegions:
      return "outside_regions";
    case gsPlacementCause::OtherVersion:
      return "other_version";
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
  double share = MaxConnectionUse * accepted /
                 static_cast<double>(std::max<std::size_t>(hosts, 1));
  return std::max(MinConnections, static_cast<std::uint32_t>(share));
}

std::uint64_t gsSubjectOf(gsPlacementRequest const& request)
{
  if (request.Parts == nullptr || request.Parts->size() < 2) {
    return 0;
  }
  return (*request.Parts)[request.Parts->size() - 2].Id;
}

std::uint32_t gsSharedTokens(gsPlacementRequest const& request)
{
  if (request.Parts == nullptr) {
    return 0;
  }
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < request.Parts->size(); ++i) {
    tokens += (*request.Parts)[i].Tokens;
  }
  return tokens;
}

std::uint32_t gsTokensToRead(gsFleet const& fleet, gsFleetRow const& row,
                             gsPlacementRequest const& request, gsTime now)
{
  if (request.Parts == nullptr) {
    return request.PromptTokens;
  }
  std::uint32_t cached = 0;
  // An engine caches a part only together with all parts before it.
  for (gsPromptPart const& part : *request.Parts) {
    auto cachedPart = row.CachedParts.find(part.Id);
    if (cachedPart == row.CachedParts.end() ||
        now - cachedPart->second > fleet.Settings.PartRetention) {
      break;
    }
    cached += part.Tokens;
  }
  return request.PromptTokens - std::min(cached, request.PromptTokens);
}

namespace {

/** Returns the request as it is placed. A random ReservedPlaceShare of the
 * less urgent ones may take places that are reserved for more urgent ones. */
gsPlacementRequest DrawUrgency(gsPlacementRequest const& originalRequest,
                               gsRandom& random)
{
  gsPlacementRequest request = originalRequest;
  std::uniform_real_distribution<double> draw(0, 1);
  if (request.MoreUrgentKinds > 0 && draw(random) < ReservedPlaceShare) {
    request.MoreUrgentKinds = 0;
  }
  return request;
}

/** Completes the result: records the attempt at the upstream's hall and finds
 * the upstream from which the shared parts can be transferred. */
void CompletePlacement(Search& search)
{
  gsPlacement& best = search.Best;
  gsPlacementRequest const& request = search.Request;
  gsFleet& fleet = search.Fleet;
  if (best.Row == nullptr) {
    return;
  }
  if (best.RateLimitedRow != nullptr && search.RateLimitedCost >= best.Cost) {
    best.RateLimitedRow = nullptr;
  }
  gsHallRecordAttempt(fleet.HallReachability, fleet.Settings.HallReach,
                      best.Row->Listed.Hall, search.Now);
  best.TransferSource =
    search.IsBySubject
      ? FindSubjectTransferSource(fleet, request, *best.Row, search.Now)
      : FindTransferSource(fleet, search.Candidates, request, search.Context,
                           *best.Row, search.Now);
  if (best.TransferSource != nullptr) {
    best.TokensToRead =
      std::min(best.TokensToRead,
               request.PromptTokens -
                 std::min(request.PromptTokens, gsSharedTokens(request)));
  }
}

/**
 * Lets the prefix directory choose among the engines that serve the request's
 * subject. \return Whether its choice is final: it is carried out, and one of
 * these engines has room. Otherwise all upstreams are evaluated, so that a
 * request is not refused while another engine is idle.
 */
bool PlaceBySubject(Search& search)
{
  gsFleet& fleet = search.Fleet;
  if (!gsIsTrackedRequest(fleet.Settings, search.Request)) {
    return false;
  }
  SubjectChoice choice = ChooseForSubject(
    fleet, search.Candidates, search.Request, search.Context, search.Now);
  search.Best.Subject = choice.Decision;
  if (choice.IsAnyBusy) {
    gsRecordSubjectNeed(fleet, search.Request, search.Now);
  }
  search.IsBySubject =
    fleet.Settings.Prefixes.Mode == gsFeatureMode::On && !choice.Rows.empty();
  bool isFinal = search.IsBySubject && choice.Decision.Row != nullptr;
  if (isFinal) {
    Evaluate(search, choice.Rows);
  }
  return isFinal;
}

/** Places a request that may be sent to one software version only. All
 * upstreams of that version are evaluated: there may be few of them. */
void PlaceAtVersion(Search& search)
{
  gsFleet const& fleet = search.Fleet;
  auto service = fleet.ByService.find(std::string(search.Request.Service));
  std::vector<std::size_t> rows;
  for (std::size_t index : service->second) {
    if (IsOfRequiredVersion(fleet.Rows[index], search.Request)) {
      rows.push_back(index);
    }
  }
  search.Best.Cause = rows.empty() ? gsPlacementCause::OtherVersion
                                   : gsPlacementCause::NoUpstream;
  Evaluate(search, rows);
}

} // namespace

gsPlacement gsPlaceRequest(gsFleet& fleet,
                           gsPlacementRequest const& originalRequest,
                           gsTime now, gsRandom& random)
{
  gsRefreshHalls(fleet, now);
  gsPlacementRequest request = DrawUrgency(originalRequest, random);
  PlacementContext context = MakeContext(fleet, request);
  gsCandidateQuery query{ request.Service, gsSubjectOf(request), context.Group,
                          context.GroupBoundary };
  Search search{ fleet,
                 request,
                 context,
                 now,
                 random,
                 {},
                 0,
                 0,
                 0,
                 0,
                 gsSelectCandidates(fleet, query, random),
                 false };
  if (search.Candidates.Rows.empty()) {
    return {};
  }
  SetCandidates(context, fleet, search.Candidates, request, now);
  search.SampleSize = SampleSizeFor(search, search.Candidates.Rows);
  search.Best.Group =
    context.GroupBoundary ? context.Group : gsFleetGroup::Any;
  if (request.RequiredVersion) {
    PlaceAtVersion(search);
  } else if (!PlaceBySubject(search)) {
    EvaluateSample(search);
    if (search.Best.Row == nullptr) {
      Evaluate(search, gsDrawFurtherCandidates(fleet, query, random));
    }
  }
  RejectReservedGroup(search);
  CompletePlacement(search);
  return search.Best;
}
