/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsAdmissionControl.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "gsLog.h"
#include "gsRendezvous.h"
#include "gsServiceEstimate.h"

namespace {

/** When the caller of a stream leaves if there is no first event by then, the
 * longest of these times. */
constexpr gsTime MinPatience = gsSeconds(2);
constexpr int PatienceTargets = 4;
constexpr int PatiencePauseTargets = 8;

/** Time from its arrival until the caller of a request leaves without a first
 * event; zero if only the deadline counts. */
gsTime PatienceOf(gsRoute const& route)
{
  if (!route.StreamsEvents) {
    return gsTime{};
  }
  return std::max({ gsTime(MinPatience), route.LatencyTarget * PatienceTargets,
                    route.EventIntervalTarget * PatiencePauseTargets });
}

/** Hash by which an organisation is identified in reports; 0 for none. */
std::uint32_t OrganisationHash(std::string const& name)
{
  return name.empty() ? 0 : static_cast<std::uint32_t>(gsHashText(name));
}

/** A ratio in thousandths, for logs. */
std::uint64_t Permille(double ratio)
{
  return static_cast<std::uint64_t>(std::lround(std::max(0.0, ratio) * 1e3));
}

std::uint64_t Rounded(double value)
{
  return static_cast<std::uint64_t>(std::lround(std::max(0.0, value)));
}

/** The admitted share of a request's organisation in its kind. */
double ShareOf(gsOverload const& overload, gsAdmissionRequest const& row)
{
  auto kind = overload.Kinds.find(row.Priority);
  if (kind == overload.Kinds.end()) {
    return 1;
  }
  auto organisation = kind->second.Organisations.find(row.Organisation);
  return organisation == kind->second.Organisations.end()
           ? kind->second.OtherShare
           : organisation->second.Share;
}

std::string KindLabels(std::string const& service, std::uint32_t priority)
{
  return gsLabels(
    { { "service", service }, { "tier", std::to_string(priority) } });
}

} // namespace

gsAdmissionControl::gsAdmissionControl(gsLoop& loop, gsFleet& fleet,
                                       gsMetrics& metrics,
                                       gsAdmissionSettings const& settings,
                                       std::uint64_t seed,
                                       gsAdmissionEvents events)
  : Fleet(fleet)
  , Metrics(metrics)
  , Settings(settings)
  , Events(std::move(events))
  , Random(seed)
  , Waiting(
      loop, settings.Queue,
      [this](gsRoutedRequest const& request) {
        return this->HasRoom(request);
      },
      [this](gsRoutedRequestPtr const& request) {
        gsEndWaiting(this->Fleet.Overload[request->Service],
                     request->Admission->Row);
        this->Events.Place(request);
      })
{
}

/** Whether a request is subject to admission. One that has begun is never
 * refused, and one that was admitted is not decided on again. */
bool gsAdmissionControl::Applies(gsRoutedRequest const& request) const
{
  bool isDecided = request.Admission && request.Admission->IsAdmitted;
  bool hasBegun =
    request.MayHaveRun || request.CallerHasBytes || request.Attempt != nullptr;
  if (!gsIsActive(this->Settings.Mode) || isDecided || hasBegun) {
    return false;
  }
  gsRouteService const* service =
    gsFindService(*request.RouteTable, request.Service);
  return service != nullptr && service->Engine.has_value();
}

/** The state of a service, with its current capacity. */
gsOverload& gsAdmissionControl::OverloadOf(std::string const& service,
                                           gsTime now)
{
  auto found = this->Fleet.Overload.find(service);
  if (found == this->Fleet.Overload.end()) {
    found = this->Fleet.Overload.emplace(service, gsOverload{}).first;
    found->second.Settings = this->Settings.Overload;
    found->second.Random.seed(this->Random());
  }
  found->second.KnownHosts = this->HostCount;
  found->second.RecentPeakHosts = this->RecentPeakHosts;
  gsMeasureCapacity(this->Fleet, service, now);
  return found->second;
}

/** Starts the admission of a request that has just arrived. */
void gsAdmissionControl::Begin(gsRoutedRequest& request, gsOverload& overload,
                               gsPlacementRequest const& ask, gsTime now)
{
  gsAdmissionRequest& row = request.Admission->Row;
  row.Priority = ask.Priority;
  row.Organisation = OrganisationHash(request.Organisation);
  row.Target = request.Route->LatencyTarget;
  if (!this->Refusals.ReturnAt.empty()) {
    gsReturnState returned =
      gsFindRefusal(this->Refusals, gsRequestFingerprint(request),
                    overload.Settings.ReturnWindow, now);
    row.IsReturning = returned.Kind == gsReturn::OnTime;
    row.TimeToReturn =
      returned.Kind == gsReturn::Early ? returned.ReturnAt - now : gsTime{};
  }
  request.Admission->Subject = gsSubjectOf(ask);
  row.IsReturning =
    row.IsReturning || (row.TimeToReturn.count() == 0 &&
                        gsIsSubjectDue(this->Subjects, gsSubjectOf(ask)));
  if (row.TimeToReturn.count() == 0) {
    gsRecordArrival(overload, row, now);
  }
}

/** Predicts the service of a request at the chosen upstream, or at another one
 * if its caller would leave before. */
void gsAdmissionControl::Predict(gsRoutedRequest& request,
                                 gsPlacementRequest const& ask,
                                 gsPlacement& placement, gsTime now)
{
  gsAdmissionRequest& row = request.Admission->Row;
  gsTime until = std::min(request.DeadlineAt, request.TimeoutAt);
  row.TimeLeft = std::max(gsTime{}, until - now);
  gsTime patience = PatienceOf(*request.Route);
  if (patience.count() > 0) {
    row.Patience =
      std::max(gsTime(gsMilliseconds(1)), request.ArrivedAt + patience - now);
  }
  bool isHome = placement.Cause == gsPlacementCause::Preferred;
  std::uint32_t toRead = std::min(
    placement.TokensToRead,
    gsLikelyTokensToRead(this->Fleet, *placement.Row, ask, isHome, now));
  gsServiceEstimate estimate =
    gsEstimateService(this->Fleet, *placement.Row, ask, toRead, now);
  gsTime latest = row.Patience.count() > 0
                    ? std::min(row.Patience, row.TimeLeft)
                    : row.TimeLeft;
  if (estimate.FirstEvent > latest) {
    gsEngineChoice other =
      gsFindEarliestEngine(this->Fleet, ask, now, this->Random);
    bool isBetter = other.Row != nullptr && other.Row != placement.Row &&
                    other.Estimate.FirstEvent < estimate.FirstEvent;
    if (isBetter) {
      estimate = other.Estimate;
      if (this->Settings.Mode == gsFeatureMode::On) {
        bool canTransfer =
          ask.CanTransferParts && placement.TransferSource == nullptr;
        placement.TransferSource =
          canTransfer ? placement.Row : placement.TransferSource;
        placement.TransferSource = placement.TransferSource == other.Row
                                     ? nullptr
                                     : placement.TransferSource;
        placement.Row = other.Row;
        placement.TokensToRead = other.TokensToRead;
        placement.Cause = gsPlacementCause::LeastLoaded;
      }
    }
  }
  row.FirstEvent = estimate.FirstEvent;
  row.EngineMillis = estimate.EngineMillis;
}

bool gsAdmissionControl::MayStart(gsRoutedRequestPtr const& request,
                                  gsPlacement& placement)
{
  if (!this->Applies(*request)) {
    return true;
  }
  gsTime now = gsLoop::Now();
  gsPlacementRequest ask = this->Events.Ask(*request);
  gsOverload& overload = this->OverloadOf(request->Service, now);
  bool isNew = !request->Admission;
  if (isNew) {
    request->Admission.emplace();
  }
  this->Predict(*request, ask, placement, now);
  if (isNew) {
    this->Begin(*request, overload, ask, now);
  }
  gsRequestAdmission& admission = *request->Admission;
  bool hasWaited = admission.WaitingSince.count() != 0;
  gsAdmissionDecision decision =
    hasWaited ? gsDecideWaiting(overload, admission.Row,
                                now - admission.WaitingSince, now)
              : gsDecideAdmission(overload, admission.Row, now);
  this->Log(*request, overload, decision, now);
  if (this->Settings.Mode == gsFeatureMode::DryRun) {
    admission.IsAdmitted = true;
    admission.AdmittedAt = now;
    return true;
  }
  return this->CarryOut(request, overload, decision, now);
}

bool gsAdmissionControl::MayWait(gsRoutedRequestPtr const& request,
                                 gsPlacement const& placement)
{
  bool isShort = placement.Cause == gsPlacementCause::Full ||
                 placement.Cause == gsPlacementCause::NoConnection;
  if (this->Settings.Mode != gsFeatureMode::On || !isShort ||
      !this->Applies(*request)) {
    return false;
  }
  gsTime now = gsLoop::Now();
  gsPlacementRequest ask = this->Events.Ask(*request);
  gsOverload& overload = this->OverloadOf(request->Service, now);
  if (!request->Admission) {
    request->Admission.emplace();
    gsAdmissionRequest& row = request->Admission->Row;
    row.TimeLeft = std::min(request->DeadlineAt, request->TimeoutAt) - now;
    row.EngineMillis = gsPromptMillis(
      this->Fleet.EngineTimings[request->Service], ask.PromptTokens);
    this->Begin(*request, overload, ask, now);
  }
  gsRequestAdmission& admission = *request->Admission;
  gsTime waited = admission.WaitingSince.count() == 0
                    ? gsTime{}
                    : now - admission.WaitingSince;
  gsTime refusal = gsFromSeconds(gsToSeconds(admission.Row.Target) *
                                 overload.Settings.MaxRefusalShare);
  gsAdmissionDecision decision{ gsAdmission::Wait, {}, "no_place" };
  if (waited >= refusal) {
    decision = gsRefuseAdmission(overload, admission.Row, "no_place", now);
  }
  this->Log(*request, overload, decision, now);
  this->CarryOut(request, overload, decision, now);
  return true;
}

/** \return Whether the request may be sent now. */
bool gsAdmissionControl::CarryOut(gsRoutedRequestPtr const& request,
                                  gsOverload& overload,
                                  gsAdmissionDecision const& decision,
                                  gsTime now)
{
  gsRequestAdmission& admission = *request->Admission;
  switch (decision.Action) {
    case gsAdmission::Admit:
      admission.IsAdmitted = true;
      admission.AdmittedAt = now;
      gsRecordSubject(this->Subjects, admission.Subject, false);
      this->Waiting.Charge(*request);
      return true;
    case gsAdmission::Wait:
      this->Queue(request, overload, now);
      return false;
    case gsAdmission::Refuse:
      break;
  }
  this->Refuse(request, decision, now);
  return false;
}

/** Adds a request to the queue, or back to it. */
void gsAdmissionControl::Queue(gsRoutedRequestPtr const& request,
                               gsOverload& overload, gsTime now)
{
  gsRequestAdmission& admission = *request->Admission;
  if (admission.WaitingSince.count() == 0) {
    admission.WaitingSince = now;
  }
  gsBeginWaiting(overload, admission.Row);
  gsRoutedRequestPtr surplus = this->Waiting.Add(request, overload.Settings);
  if (surplus == nullptr) {
    return;
  }
  gsAdmissionRequest const& row = surplus->Admission->Row;
  gsEndWaiting(overload, row);
  gsTime waited = now - surplus->Admission->WaitingSince;
  gsTime refusal =
    gsFromSeconds(gsToSeconds(row.Target) * overload.Settings.MaxRefusalShare);
  if (waited > refusal) {
    // It is too late for a refusal, so it is placed in any case.
    surplus->Admission->IsAdmitted = true;
    surplus->Admission->AdmittedAt = now;
    this->Events.Place(surplus);
    return;
  }
  gsAdmissionDecision decision =
    gsRefuseAdmission(overload, row, "queue_full", now);
  this->Log(*surplus, overload, decision, now);
  this->Refuse(surplus, decision, now);
}

void gsAdmissionControl::Refuse(gsRoutedRequestPtr const& request,
                                gsAdmissionDecision const& decision,
                                gsTime now)
{
  if (request->Admission->Row.TimeToReturn.count() == 0) {
    gsStoreRefusal(this->Refusals, gsRequestFingerprint(*request),
                   now + decision.RetryAfter);
    gsRecordSubject(this->Subjects, request->Admission->Subject, true);
  }
  this->Metrics.Increment(
    "gradescale_overload_refusals_total",
    gsLabels({ { "service", request->Service },
               { "tier", std::to_string(request->Admission->Row.Priority) },
               { "cause", decision.Cause } }));
  this->Events.Refuse(request, decision.Cause, decision.RetryAfter);
}

/** Whether some engine would serve a waiting request in time. */
bool gsAdmissionControl::HasRoom(gsRoutedRequest const& request)
{
  gsTime now = gsLoop::Now();
  gsEngineChoice choice = gsFindEarliestEngine(
    this->Fleet, this->Events.Ask(request), now, this->Random);
  return choice.Row != nullptr &&
         choice.Estimate.FirstEvent <= request.Admission->Row.Target;
}

void gsAdmissionControl::OnEnd(gsRoutedRequest& request)
{
  if (!request.Admission) {
    return;
  }
  gsRequestAdmission const& admission = *request.Admission;
  if (admission.IsQueued) {
    this->Waiting.Remove(request);
    gsEndWaiting(this->Fleet.Overload[request.Service], admission.Row);
  }
  // A request that ended before its first event took at least this long.
  gsTime elapsed = gsLoop::Now() - admission.AdmittedAt;
  bool isLonger = admission.IsAdmitted && !request.CallerHasBytes &&
                  request.Route->StreamsEvents && request.SentAttempts == 1 &&
                  elapsed > admission.Row.FirstEvent;
  if (isLonger) {
    gsRecordFirstEvent(this->Fleet.Overload[request.Service],
                       admission.Row.Priority, admission.Row.FirstEvent,
                       elapsed);
  }
}

void gsAdmissionControl::OnFirstEvent(gsRoutedRequest const& request)
{
  if (request.Admission && request.SentAttempts == 1) {
    gsRecordFirstEvent(this->Fleet.Overload[request.Service],
                       request.Admission->Row.Priority,
                       request.Admission->Row.FirstEvent,
                       gsLoop::Now() - request.Admission->AdmittedAt);
  }
}

void gsAdmissionControl::OnLoadChange()
{
  this->Waiting.PresentSoon();
}

void gsAdmissionControl::Log(gsRoutedRequest const& request,
                             gsOverload const& overload,
                             gsAdmissionDecision const& decision,
                             gsTime now) const
{
  gsAdmissionRequest const& row = request.Admission->Row;
  bool isAdmitted = decision.Action == gsAdmission::Admit;
  gsLogLine line("admission",
                 isAdmitted ? gsLogLevel::Debug : gsLogLevel::Info);
  line.With("request", request.Caller.AttemptId)
    .With("service", request.Service)
    .With("priority", row.Priority)
    .With("organisation", request.Organisation)
    .With("action", gsAdmissionName(decision.Action))
    .With("cause", decision.Cause)
    .With("dry_run", this->Settings.Mode == gsFeatureMode::DryRun)
    .With("returning", row.IsReturning)
    .With("first_event_ms", row.FirstEvent)
    .With("target_ms", row.Target)
    .With("left_ms", row.TimeLeft)
    .With("engine_ms", Rounded(row.EngineMillis))
    .With("pressure_permille", Permille(overload.Pressure))
    .With("share_permille", Permille(ShareOf(overload, row)))
    .With("congestion_permille", Permille(overload.Congestion))
    .With("backlog_ms", Rounded(overload.Capacity.BacklogMillis))
    .With("free_permille", Permille(overload.Capacity.FreeSlotShare))
    .With("measured_age_ms", now - overload.Capacity.MeasuredAt);
  if (overload.OthersReportedAt.count() != 0) {
    line.With("others_age_ms", now - overload.OthersReportedAt);
  }
  if (decision.Action == gsAdmission::Refuse) {
    line.With("retry_after_ms", decision.RetryAfter);
  }
  if (request.Admission->WaitingSince.count() != 0) {
    line.With("waited_ms", now - request.Admission->WaitingSince);
  }
}

nlohmann::json gsAdmissionControl::Status(gsTime now)
{
  nlohmann::json rows = nlohmann::json::array();
  for (auto& [service, overload] : this->Fleet.Overload) {
    gsMeasureCapacity(this->Fleet, service, now);
    gsUpdateOverload(overload, now);
    auto millis = [now](gsTime at) {
      return at.count() == 0 ? nlohmann::json(nullptr)
                             : nlohmann::json(static_cast<std::int64_t>(
                                 gsToSeconds(now - at) * 1e3));
    };
    for (auto const& [priority, kind] : overload.Kinds) {
      rows.push_back(
        { { "service", service },
          { "tier", priority },
          { "pressure", overload.Pressure },
          { "congestion", overload.Congestion },
          { "demand_ms", Rounded(kind.Demand) },
          { "admitted_share", kind.Share },
          { "waiting", this->Waiting.Waiting(service, priority) },
          { "backlog_ms", Rounded(overload.Capacity.BacklogMillis) },
          { "engines", overload.Capacity.Speed },
          { "correction", kind.Correction },
          { "others_age_ms", millis(overload.OthersReportedAt) } });
    }
  }
  return rows;
}

void gsAdmissionControl::WriteGauges(gsTime now)
{
  if (!gsIsActive(this->Settings.Mode)) {
    return;
  }
  for (auto& [service, overload] : this->Fleet.Overload) {
    gsMeasureCapacity(this->Fleet, service, now);
    gsUpdateOverload(overload, now);
    this->Metrics.Set("gradescale_overload_pressure",
                      gsLabels({ { "service", service } }), overload.Pressure);
    for (auto const& [priority, kind] : overload.Kinds) {
      std::string labels = KindLabels(service, priority);
      this->Metrics.Set("gradescale_overload_admitted_share", labels,
                        kind.Share);
      this->Metrics.Set(
        "gradescale_overload_waiting", labels,
        static_cast<double>(this->Waiting.Waiting(service, priority)));
    }
  }
  this->Metrics.Set("gradescale_overload_waiting_bytes", {},
                    static_cast<double>(this->Waiting.Bytes()));
}
