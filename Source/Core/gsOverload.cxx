/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsOverload.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <random>
#include <utility>
#include <vector>

namespace {

/** Shares are computed again after this time. */
constexpr gsTime ComputeInterval = gsMilliseconds(20);
/** Minimum time over which a host's first requests are averaged. */
constexpr double MinWindowSeconds = 0.5;
/** Lower bound of the capacity that is assigned while a backlog is reduced.
 * With 0.5, two sets of hosts that do not know each other's demand together
 * assigned the whole capacity, and the backlog remained. */
constexpr double MinDrainShare = 0.25;
/** Returning callers that may be admitted in advance of the accumulator. */
constexpr double MaxAdvance = 2;
/** Decayed demand below this does not count. */
constexpr double MinDemandMillis = 0.5;
/** Step by which reported demand is rounded, so that small changes do not
 * cause reports; milliseconds. */
constexpr double ReportStepMillis = 10;
/** Time for which the refusal of a more urgent request holds back less urgent
 * ones of over LargerFactor times its size. */
constexpr gsTime RefusalMemory = gsMilliseconds(500);
constexpr double LargerFactor = 2;
/** Weight of a measured time in the correction of predictions, the range of
 * one sample and the bounds of the correction. */
constexpr double CorrectionWeight = 0.1;
constexpr double MaxSampleRatio = 4;
constexpr double MinCorrection = 0.1;
constexpr double MaxCorrection = 2;
/** Bounds the memory for organisations of a kind. */
constexpr std::size_t MaxOrganisations = 1024;
constexpr double MillisPerSecond = 1000;
/** Stands for "no target". */
constexpr gsTime NoTarget = gsTime::max();

void ApplyDecay(gsOverload& overload, gsTime now)
{
  double halfLives = gsToSeconds(now - overload.DecayedAt) /
                     gsToSeconds(overload.Settings.DemandHalfLife);
  double factor = std::exp2(-std::max(0.0, halfLives));
  overload.DecayedAt = now;
  for (auto& [priority, kind] : overload.Kinds) {
    kind.EngineMillis *= factor;
    for (auto& [name, organisation] : kind.Organisations) {
      organisation.EngineMillis *= factor;
    }
  }
}

/**
 * Factor from a decaying sum to a rate per second. In equilibrium, the sum is
 * the rate times half-life / ln 2; a host that has just begun has summed over
 * a shorter time.
 */
double RateFactor(gsOverload const& overload, gsTime now)
{
  double halfLife = gsToSeconds(overload.Settings.DemandHalfLife);
  double elapsed = gsToSeconds(now - overload.FirstRequestAt);
  double window =
    halfLife / std::log(2.0) * (1 - std::exp2(-elapsed / halfLife));
  return 1 / std::max(MinWindowSeconds, window);
}

/** Engine time per second of one organisation in a kind. */
struct OrganisationDemand
{
  std::uint32_t Name = 0;
  double Demand = 0;
  double Weight = 1;
};

/** Level of the water-filling: an organisation with a demand above level times
 * weight is given that, and any other one its demand. */
double FillLevel(std::vector<OrganisationDemand> demands, double capacity)
{
  std::sort(demands.begin(), demands.end(),
            [](OrganisationDemand const& a, OrganisationDemand const& b) {
              return a.Demand * b.Weight < b.Demand * a.Weight;
            });
  double weights = 0;
  for (OrganisationDemand const& demand : demands) {
    weights += demand.Weight;
  }
  double left = capacity;
  for (OrganisationDemand const& demand : demands) {
    double level = left / std::max(weights, 1e-9);
    if (demand.Demand >= level * demand.Weight) {
      return level;
    }
    left -= demand.Demand;
    weights -= demand.Weight;
  }
  return std::numeric_limits<double>::infinity();
}

/** Demand of a kind's organisations, of this host and of all others. Reports
 * contain the demand of others by kind and by organisation, but not by both;
 * an organisation's demand is assumed to be distributed over the kinds as that
 * of all organisations. */
std::vector<OrganisationDemand> OrganisationDemands(
  gsOverload const& overload, gsKindAdmission const& kind, double rateFactor,
  double othersShareOfKind)
{
  std::map<std::uint32_t, OrganisationDemand> demands;
  for (auto const& [name, organisation] : kind.Organisations) {
    if (organisation.EngineMillis >= MinDemandMillis) {
      demands[name] = { name, organisation.EngineMillis * rateFactor,
                        organisation.Weight };
    }
  }
  if (othersShareOfKind > 0) {
    for (auto const& [name, millis] : overload.OthersOrganisations) {
      OrganisationDemand& demand = demands[name];
      demand.Name = name;
      demand.Demand += millis * othersShareOfKind;
    }
  }
  std::vector<OrganisationDemand> list;
  list.reserve(demands.size());
  for (auto const& [name, demand] : demands) {
    list.push_back(demand);
  }
  return list;
}

/** Adds the demand of a kind that no listed organisation accounts for: of
 * anonymous requests, which are reported only by kind, or, if some
 * organisations are not reported, of organisations of the size of the smallest
 * reported one. \return The demand of one of them; zero if there are none. */
double AddUnlisted(gsOverload const& overload, double demandOfKind,
                   double othersShareOfKind,
                   std::vector<OrganisationDemand>& demands)
{
  double unlisted = demandOfKind;
  for (OrganisationDemand const& demand : demands) {
    unlisted -= demand.Demand;
  }
  bool isComplete =
    overload.OthersOrganisations.size() < gsMaxReportedOrganisations;
  if (unlisted <= MinDemandMillis) {
    return 0;
  }
  if (isComplete) {
    auto anonymous = std::find_if(
      demands.begin(), demands.end(),
      [](OrganisationDemand const& demand) { return demand.Name == 0; });
    if (anonymous == demands.end()) {
      demands.push_back({ 0, unlisted, 1 });
    } else {
      anonymous->Demand += unlisted;
    }
    return 0;
  }
  double smallest = unlisted;
  for (auto const& [name, millis] : overload.OthersOrganisations) {
    smallest = std::min(smallest, millis * othersShareOfKind);
  }
  smallest = std::max(smallest, MinDemandMillis);
  double count = std::ceil(unlisted / smallest);
  // One entry with their total weight is filled like that many of weight 1.
  demands.push_back({ 0, unlisted, count });
  return unlisted / count;
}

/** Divides the capacity of a kind between its organisations. */
void DivideKind(gsOverload& overload, gsKindAdmission& kind, double capacity,
                double rateFactor, double othersShareOfKind)
{
  kind.Share =
    kind.Demand > MinDemandMillis ? std::min(1.0, capacity / kind.Demand) : 1;
  kind.OtherShare = kind.Share;
  if (kind.Share >= 1) {
    for (auto& [name, organisation] : kind.Organisations) {
      organisation.Share = 1;
    }
    return;
  }
  std::vector<OrganisationDemand> demands =
    OrganisationDemands(overload, kind, rateFactor, othersShareOfKind);
  double unlisted =
    AddUnlisted(overload, kind.Demand, othersShareOfKind, demands);
  double level = FillLevel(demands, capacity);
  double minShare = overload.Settings.MinKindShare;
  auto shareOf = [level, minShare](double demand, double weight) {
    return demand <= 0 ? 1
                       : std::clamp(level * weight / demand, minShare, 1.0);
  };
  kind.OtherShare = unlisted > 0 ? shareOf(unlisted, 1) : 1;
  for (auto& [name, organisation] : kind.Organisations) {
    organisation.Share = kind.OtherShare;
  }
  for (OrganisationDemand const& demand : demands) {
    auto organisation = kind.Organisations.find(demand.Name);
    if (organisation != kind.Organisations.end()) {
      organisation->second.Share = shareOf(demand.Demand, demand.Weight);
    }
  }
}

/** Shortest target of the kinds with demand. */
gsTime ShortestTarget(gsOverload const& overload)
{
  gsTime shortest = NoTarget;
  for (auto const& [priority, kind] : overload.Kinds) {
    bool counts = kind.Target.count() > 0 && kind.Demand >= MinDemandMillis;
    shortest = counts ? std::min(shortest, kind.Target) : shortest;
  }
  return shortest;
}

/** Backlog of an engine relative to the largest one in which all kinds are
 * served in time. */
double BacklogRatio(gsOverload const& overload)
{
  gsTime target = ShortestTarget(overload);
  if (target == NoTarget || overload.Capacity.Speed <= 0) {
    return 0;
  }
  double perEngine = overload.Capacity.BacklogMillis / overload.Capacity.Speed;
  return perEngine / (overload.Settings.MaxBacklogShare * gsToSeconds(target) *
                      MillisPerSecond);
}

/** Sum of the demand that other hosts report. */
double OthersTotal(gsOverload const& overload)
{
  double total = 0;
  for (auto const& [priority, kind] : overload.OthersKinds) {
    total += kind.EngineMillis;
  }
  return total;
}

/** Whether a request of any host waits. */
bool AnyWaits(gsOverload const& overload, gsTime now)
{
  for (auto const& [priority, kind] : overload.Kinds) {
    if (kind.Waiting > 0) {
      return true;
    }
  }
  if (!gsKnowsOthersDemand(overload, now)) {
    return false;
  }
  return std::any_of(
    overload.OthersKinds.begin(), overload.OthersKinds.end(),
    [](auto const& kind) { return kind.second.WaitingMillis > 0; });
}

/**
 * Sum of the speeds of the engines that the known hosts may use: their share
 * of all engines, and at most those that can be reached. A hall that is cut
 * off reaches as large a share of the engines as it has of the hosts, and uses
 * all of them; two sets of hosts that reach the same engines divide them.
 */
double UsableSpeed(gsOverload const& overload, bool knowsOthers)
{
  double known = knowsOthers ? static_cast<double>(overload.KnownHosts) : 1;
  double peak = static_cast<double>(overload.RecentPeakHosts);
  double share = std::min(1.0, known / std::max(1.0, peak));
  gsOverloadCapacity const& capacity = overload.Capacity;
  return std::min(capacity.Speed, share * capacity.TotalSpeed);
}

/** Computes the demand of each kind. \return Its sum. */
double ComputeDemand(gsOverload& overload, bool knowsOthers, gsTime now)
{
  double rateFactor = RateFactor(overload, now);
  double total = 0;
  for (auto& [priority, kind] : overload.Kinds) {
    kind.Demand = kind.EngineMillis * rateFactor;
  }
  if (knowsOthers) {
    for (auto const& [priority, others] : overload.OthersKinds) {
      overload.Kinds[priority].Demand += others.EngineMillis;
    }
  }
  for (auto const& [priority, kind] : overload.Kinds) {
    total += kind.Demand;
  }
  return total;
}

/** Divides the capacity between the kinds: each is given its minimum share,
 * and the rest goes to the most urgent ones first. */
void DivideCapacity(gsOverload& overload, double capacity, bool knowsOthers,
                    gsTime now)
{
  double minShare = overload.Settings.MinKindShare;
  double rateFactor = RateFactor(overload, now);
  double othersTotal = knowsOthers ? OthersTotal(overload) : 0;
  double left = capacity;
  for (auto const& [priority, kind] : overload.Kinds) {
    left -= minShare * kind.Demand;
  }
  for (auto& [priority, kind] : overload.Kinds) {
    double minimum = minShare * kind.Demand;
    double additional =
      std::clamp(left, 0.0, std::max(0.0, kind.Demand - minimum));
    left -= additional;
    auto others = overload.OthersKinds.find(priority);
    double othersShareOfKind =
      othersTotal > 0 && others != overload.OthersKinds.end()
        ? others->second.EngineMillis / othersTotal
        : 0;
    DivideKind(overload, kind, minimum + additional, rateFactor,
               othersShareOfKind);
  }
}

/** Whether this host has just refused a more urgent request of less than half
 * of this size. */
bool IsHeldBack(gsOverload const& overload, gsAdmissionRequest const& request,
                gsTime now)
{
  return std::any_of(
    overload.Kinds.begin(), overload.Kinds.lower_bound(request.Priority),
    [&](auto const& entry) {
      gsKindAdmission const& kind = entry.second;
      return kind.RefusedAt.count() != 0 &&
             now - kind.RefusedAt < RefusalMemory &&
             request.EngineMillis > LargerFactor * kind.RefusedMillis;
    });
}

/** The organisation's entry in a kind, created on first use. Its accumulator
 * starts at random, so that hosts with few requests each admit the share
 * together. */
gsOrganisationAdmission& OrganisationOf(gsOverload& overload,
                                        gsKindAdmission& kind,
                                        std::uint32_t name)
{
  auto found = kind.Organisations.find(name);
  if (found != kind.Organisations.end()) {
    return found->second;
  }
  if (kind.Organisations.size() >= MaxOrganisations) {
    kind.Organisations.erase(
      std::min_element(kind.Organisations.begin(), kind.Organisations.end(),
                       [](auto const& a, auto const& b) {
                         return a.second.EngineMillis < b.second.EngineMillis;
                       }));
  }
  gsOrganisationAdmission& organisation = kind.Organisations[name];
  std::uniform_real_distribution<double> draw(0, 1);
  organisation.Credit = draw(overload.Random);
  organisation.Share = kind.OtherShare;
  return organisation;
}

/** The share of a request's organisation in its kind that is admitted now. */
double AdmittedShare(gsOverload const& overload,
                     gsOrganisationAdmission const& organisation,
                     gsAdmissionRequest const& request, gsTime now)
{
  double share = IsHeldBack(overload, request, now)
                   ? overload.Settings.MinKindShare
                   : organisation.Share;
  return share + (1 - share) * (1 - overload.Congestion);
}

/** Adds a share to an accumulator, and takes a request from it. \return
 * Whether the request is admitted. */
bool TakeCredit(gsOrganisationAdmission& organisation, double share,
                bool isReturning)
{
  if (share >= 1) {
    return true;
  }
  organisation.Credit = std::min(organisation.Credit + share, 2.0);
  double minCredit = isReturning ? 1 - MaxAdvance : 1;
  if (organisation.Credit < minCredit) {
    return false;
  }
  organisation.Credit -= 1;
  return true;
}

/** Time by which the first event has to come. */
gsTime LatestFirstEvent(gsAdmissionRequest const& request)
{
  return request.Patience.count() > 0
           ? std::min(request.Patience, request.TimeLeft)
           : request.TimeLeft;
}

bool IsLate(gsAdmissionRequest const& request)
{
  return request.Target.count() > 0 && request.FirstEvent > request.Target;
}

} // namespace

char const* gsAdmissionName(gsAdmission action)
{
  switch (action) {
    case gsAdmission::Admit:
      return "admit";
    case gsAdmission::Wait:
      return "wait";
    case gsAdmission::Refuse:
      break;
  }
  return "refuse";
}

void gsRecordArrival(gsOverload& overload, gsAdmissionRequest const& request,
                     gsTime now)
{
  ApplyDecay(overload, now);
  if (overload.FirstRequestAt.count() == 0) {
    overload.FirstRequestAt = now;
  }
  gsKindAdmission& kind = overload.Kinds[request.Priority];
  bool isShortest = kind.Target.count() == 0 || request.Target < kind.Target;
  kind.Target =
    request.Target.count() > 0 && isShortest ? request.Target : kind.Target;
  kind.EngineMillis += request.EngineMillis;
  gsOrganisationAdmission& organisation =
    OrganisationOf(overload, kind, request.Organisation);
  organisation.Weight = request.Weight;
  organisation.EngineMillis += request.EngineMillis;
}

void gsUpdateOverload(gsOverload& overload, gsTime now)
{
  bool isRecent = overload.ComputedAt.count() != 0 &&
                  now - overload.ComputedAt < ComputeInterval;
  if (isRecent) {
    return;
  }
  overload.ComputedAt = now;
  ApplyDecay(overload, now);
  bool knowsOthers = gsKnowsOthersDemand(overload, now);
  double capacity = UsableSpeed(overload, knowsOthers) * MillisPerSecond;
  double demand = ComputeDemand(overload, knowsOthers, now);
  overload.Pressure = capacity > 0 ? demand / capacity : 0;
  // Between half of the largest backlog and all of it, shares are applied
  // gradually; above it, less is admitted than the engines can serve.
  double backlog = BacklogRatio(overload);
  overload.Congestion = std::clamp(2 * backlog - 1, 0.0, 1.0);
  double drain = std::clamp(1 / std::max(backlog, 1e-9), MinDrainShare, 1.0);
  DivideCapacity(overload, capacity * drain, knowsOthers, now);
}

gsAdmissionDecision gsDecideAdmission(gsOverload& overload,
                                      gsAdmissionRequest const& request,
                                      gsTime now)
{
  gsUpdateOverload(overload, now);
  bool isHopeless = request.FirstEvent > LatestFirstEvent(request);
  bool isRelaxed =
    !AnyWaits(overload, now) &&
    (overload.Pressure < 1 || overload.Capacity.FreeSlotShare >=
                                overload.Settings.RelaxedFreeSlotShare);
  if (isRelaxed || overload.Capacity.Speed <= 0) {
    return isHopeless || IsLate(request)
             ? gsAdmissionDecision{ gsAdmission::Wait, {}, "late" }
             : gsAdmissionDecision{};
  }
  if (isHopeless) {
    return gsRefuseAdmission(overload, request, "too_late", now);
  }
  gsKindAdmission& kind = overload.Kinds[request.Priority];
  gsOrganisationAdmission& organisation =
    OrganisationOf(overload, kind, request.Organisation);
  double share = AdmittedShare(overload, organisation, request, now);
  if (share < 1 && request.TimeToReturn.count() > 0) {
    return gsRefuseAdmission(overload, request, "early", now);
  }
  if (!TakeCredit(organisation, share, request.IsReturning)) {
    return gsRefuseAdmission(overload, request, "over_share", now);
  }
  return IsLate(request) ? gsAdmissionDecision{ gsAdmission::Wait, {}, "late" }
                         : gsAdmissionDecision{};
}

gsAdmissionDecision gsDecideWaiting(gsOverload& overload,
                                    gsAdmissionRequest const& request,
                                    gsTime waited, gsTime now)
{
  gsUpdateOverload(overload, now);
  double target = gsToSeconds(request.Target);
  gsTime refusal = gsFromSeconds(target * overload.Settings.MaxRefusalShare);
  gsTime most = gsFromSeconds(target * overload.Settings.MaxWaitShare);
  bool isHopeless = request.FirstEvent > LatestFirstEvent(request);
  if (isHopeless && waited >= refusal && waited < most) {
    return gsRefuseAdmission(overload, request, "too_late", now);
  }
  bool hasRoom = !isHopeless && !IsLate(request);
  if (hasRoom || waited >= most) {
    return { gsAdmission::Admit, {}, hasRoom ? "room" : "waited" };
  }
  return { gsAdmission::Wait, {}, "late" };
}

void gsBeginWaiting(gsOverload& overload, gsAdmissionRequest const& request)
{
  gsKindAdmission& kind = overload.Kinds[request.Priority];
  ++kind.Waiting;
  kind.WaitingMillis += request.EngineMillis;
}

void gsEndWaiting(gsOverload& overload, gsAdmissionRequest const& request)
{
  gsKindAdmission& kind = overload.Kinds[request.Priority];
  kind.Waiting -= std::min(kind.Waiting, 1U);
  kind.WaitingMillis =
    kind.Waiting == 0
      ? 0
      : std::max(0.0, kind.WaitingMillis - request.EngineMillis);
}

gsAdmissionDecision gsRefuseAdmission(gsOverload& overload,
                                      gsAdmissionRequest const& request,
                                      char const* cause, gsTime now)
{
  gsKindAdmission& kind = overload.Kinds[request.Priority];
  kind.RefusedAt = now;
  kind.RefusedMillis = request.EngineMillis;
  gsTime longest =
    gsFromSeconds(gsToSeconds(std::max(gsTime{}, request.TimeLeft)) *
                  overload.Settings.MaxRetryAfterShare);
  if (request.TimeToReturn.count() > 0) {
    return { gsAdmission::Refuse, std::min(request.TimeToReturn, longest),
             cause };
  }
  double waiting = 0;
  for (auto const& [priority, entry] : overload.Kinds) {
    waiting += entry.WaitingMillis;
  }
  for (auto const& [priority, entry] : overload.OthersKinds) {
    waiting += entry.WaitingMillis;
  }
  double drain = (overload.Capacity.BacklogMillis + waiting) /
                 std::max(overload.Capacity.Speed, 1e-3) / MillisPerSecond *
                 std::max(1.0, overload.Pressure);
  double least = std::max(drain, gsToSeconds(overload.Settings.MinRetryAfter));
  std::uniform_real_distribution<double> spread(1, 2);
  gsTime retryAfter = gsFromSeconds(
    std::min(least * spread(overload.Random), gsToSeconds(longest)));
  return { gsAdmission::Refuse, retryAfter, cause };
}

void gsReportDemand(gsOverload& overload, gsServiceDemand& report, gsTime now)
{
  ApplyDecay(overload, now);
  double factor = RateFactor(overload, now);
  auto rounded = [](double millis) {
    return static_cast<std::uint32_t>(std::round(millis / ReportStepMillis) *
                                      ReportStepMillis);
  };
  for (auto const& [priority, kind] : overload.Kinds) {
    // A request that waits is reported even if it is small.
    double waiting =
      kind.Waiting > 0 ? std::max(kind.WaitingMillis, ReportStepMillis) : 0;
    gsKindDemand demand{ rounded(kind.EngineMillis * factor),
                         rounded(waiting) };
    if (demand.EngineMillis > 0 || demand.WaitingMillis > 0) {
      report.Kinds[priority] = demand;
    }
    for (auto const& [name, organisation] : kind.Organisations) {
      std::uint32_t millis = rounded(organisation.EngineMillis * factor);
      if (millis > 0 && name != 0) {
        report.Organisations[name] += millis;
      }
    }
  }
  gsKeepLargest(report.Organisations);
}

void gsSetReportedDemand(gsOverload& overload, gsServiceDemand const& others,
                         std::optional<gsTime> reportedAt)
{
  overload.OthersKinds = others.Kinds;
  overload.OthersOrganisations = others.Organisations;
  gsKeepLargest(overload.OthersOrganisations);
  overload.OthersReportedAt = reportedAt.value_or(gsTime{});
}

bool gsKnowsOthersDemand(gsOverload const& overload, gsTime now)
{
  return overload.RecentPeakHosts <= 1 ||
         (overload.OthersReportedAt.count() != 0 &&
          now - overload.OthersReportedAt <= overload.Settings.MaxReportAge);
}

void gsRecordFirstEvent(gsOverload& overload, std::uint32_t priority,
                        gsTime predicted, gsTime measured)
{
  // Shorter predictions say little about the time per token.
  constexpr gsTime minPredicted = gsMilliseconds(20);
  if (predicted < minPredicted) {
    return;
  }
  double ratio = std::clamp(gsToSeconds(measured) / gsToSeconds(predicted),
                            1 / MaxSampleRatio, MaxSampleRatio);
  double& correction = overload.Kinds[priority].Correction;
  correction = std::clamp(correction * std::pow(ratio, CorrectionWeight),
                          MinCorrection, MaxCorrection);
}

double gsFirstEventCorrection(gsOverload const& overload,
                              std::uint32_t priority)
{
  auto kind = overload.Kinds.find(priority);
  return kind == overload.Kinds.end() ? gsKindAdmission{}.Correction
                                      : kind->second.Correction;
}

void gsStoreRefusal(gsRefusalStore& store, gsFingerprint const& fingerprint,
                    gsTime returnAt)
{
  auto [entry, isNew] = store.ReturnAt.insert_or_assign(fingerprint, returnAt);
  if (!isNew) {
    return;
  }
  store.Order.push_back(fingerprint);
  if (store.Order.size() > store.MaxRefusals) {
    store.ReturnAt.erase(store.Order.front());
    store.Order.pop_front();
  }
}

gsReturnState gsFindRefusal(gsRefusalStore const& store,
                            gsFingerprint const& fingerprint, gsTime window,
                            gsTime now)
{
  auto found = store.ReturnAt.find(fingerprint);
  if (found == store.ReturnAt.end() || now > found->second + window) {
    return {};
  }
  bool isEarly = now < found->second;
  return { isEarly ? gsReturn::Early : gsReturn::OnTime, found->second };
}

void gsRecordSubject(gsSubjectRefusals& refusals, std::uint64_t subject,
                     bool isRefused)
{
  if (subject == 0) {
    return;
  }
  if (!isRefused) {
    refusals.Refused.erase(subject);
    return;
  }
  ++refusals.Refused[subject];
  if (refusals.Refused.size() > refusals.MaxSubjects) {
    auto other = refusals.Refused.begin();
    other = other->first == subject ? std::next(other) : other;
    refusals.Refused.erase(other);
  }
}

bool gsIsSubjectDue(gsSubjectRefusals const& refusals, std::uint64_t subject)
{
  auto found = refusals.Refused.find(subject);
  return found != refusals.Refused.end() &&
         found->second >= refusals.MaxRefusals;
}
