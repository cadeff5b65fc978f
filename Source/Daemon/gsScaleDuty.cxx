/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsScaleDuty.h"

#include <algorithm>
#include <utility>

#include "gsArrangement.h"
#include "gsLog.h"
#include "gsLoop.h"

namespace {

constexpr gsTime DecidePeriod = gsMilliseconds(400);
constexpr gsTime CallPatience = gsMilliseconds(1200);
constexpr gsTime ConnectPatience = gsMilliseconds(400);
constexpr gsTime RetryGap = gsMilliseconds(800);

} // namespace

gsScalingCounts gsCountUpstreams(gsFleet const& fleet,
                                 std::string const& service)
{
  gsScalingCounts counts;
  auto rows = fleet.ByService.find(service);
  if (rows == fleet.ByService.end()) {
    return counts;
  }
  for (std::size_t index : rows->second) {
    gsListedUpstream const& listed = fleet.Rows[index].Listed;
    counts[{ listed.Hall, listed.Withdrawable }] += listed.Leaving ? 0 : 1;
  }
  return counts;
}

gsScaleDuty::gsScaleDuty(gsHttpClient& client, gsAdapter const& adapter,
                         gsSettings const& settings, gsMetrics& metrics,
                         gsLeaseKeeper& lease, gsFleet const& fleet)
  : Client(client)
  , Adapter(adapter)
  , Settings(settings)
  , Metrics(metrics)
  , Lease(lease)
  , Fleet(fleet)
{
}

gsScaleDuty::~gsScaleDuty()
{
  this->LetGo();
}

/** A host that does not hold the duty believes nothing of what it ordered. */
void gsScaleDuty::LetGo()
{
  for (auto& [subject, ordered] : this->Orders) {
    if (ordered.Call != 0) {
      this->Client.Cancel(ordered.Call);
    }
  }
  this->Orders.clear();
  this->Scalings.clear();
}

void gsScaleDuty::Tick(std::shared_ptr<gsRouteTable const> const& table,
                       double millisPerToken, gsTime now)
{
  if (!this->Lease.MayAct(now)) {
    this->LetGo();
    return;
  }
  if (table == nullptr || now - this->Decided < DecidePeriod) {
    return;
  }
  this->Decided = now;
  for (gsRouteService const& service : table->Services) {
    if (service.Scaling && this->Settings.Scaling.Enabled) {
      this->Decide(service, millisPerToken, now);
    }
  }
}

void gsScaleDuty::Decide(gsRouteService const& service, double millisPerToken,
                         gsTime now)
{
  gsScalingCounts listed = gsCountUpstreams(this->Fleet, service.Name);
  double demand =
    gsEnginesBusy(this->Fleet, service.Name, millisPerToken, now);
  this->Startups[service.Name] = service.Scaling->Startup;
  gsScaling& scaling = this->Scalings[service.Name];
  gsScalingCounts wanted = gsScalingDecide(
    scaling, this->Settings.Scaling, *service.Scaling, listed, demand, now);
  for (auto const& [subject, count] : wanted) {
    auto there = listed.find(subject);
    this->Order(service.Name, subject, count,
                there == listed.end() ? 0 : there->second, demand, now);
  }
}

void gsScaleDuty::Order(std::string const& service,
                        gsScalingSubject const& subject, std::uint32_t wanted,
                        std::uint32_t there, double demand, gsTime now)
{
  Subject name{ service, subject };
  Ordered& ordered = this->Orders[name];
  bool due =
    ordered.Call == 0 &&
    gsScalingIsDue(ordered.Order, wanted, there, this->Startups[service],
                   this->Lease.Proof().Token, now);
  if (!due) {
    return;
  }
  gsDutyProof proof = this->Lease.Proof();
  gsScaling const& scaling = this->Scalings[service];
  gsLogLine("order")
    .With("service", service)
    .With("hall", subject.Hall)
    .With("withdrawable", subject.Withdrawable)
    .With("wanted", wanted)
    .With("before", ordered.Order.Count)
    .With("there", there)
    .With("total", scaling.Total)
    .With("busy_engines", static_cast<std::uint64_t>(demand))
    .With("peak", static_cast<std::uint64_t>(scaling.Peak))
    .With("token", proof.Token)
    .With("dry_run", this->Settings.Scaling.DryRun);
  gsScalingGive(ordered.Order, wanted, proof.Token, now);
  ordered.Order.Answered = this->Settings.Scaling.DryRun;
  if (this->Settings.Scaling.DryRun) {
    return;
  }
  gsUpstreamOrder order{ service, subject.Hall, wanted, subject.Withdrawable };
  gsCall call =
    this->Adapter.OrderUpstreams(this->Settings.Duties.Address, proof, order);
  call.ConnectTimeout = ConnectPatience;
  call.TotalTimeout = CallPatience;
  call.Reuse = true;
  call.BeforeSend = [this] { return this->Lease.MayAct(gsLoop::Now()); };
  ++this->Made;
  ordered.Call = gsFetch(
    this->Client, std::move(call),
    [this, name](gsAnswer const& answer) { this->OnAnswer(name, answer); });
}

void gsScaleDuty::OnAnswer(Subject const& subject, gsAnswer const& answer)
{
  gsTime now = gsLoop::Now();
  Ordered& ordered = this->Orders[subject];
  ordered.Call = 0;
  gsDutyAnswer outcome = this->Adapter.ReadDutyAnswer(answer, true);
  bool taken = outcome == gsDutyAnswer::Taken;
  bool none = outcome == gsDutyAnswer::NoneThere;
  gsLogLine("order_answer", taken ? gsLogLevel::Info : gsLogLevel::Warn)
    .With("service", subject.first)
    .With("hall", subject.second.Hall)
    .With("withdrawable", subject.second.Withdrawable)
    .With("wanted", ordered.Order.Count)
    .With("token", ordered.Order.Token)
    .With("status", answer.End.Status)
    .With("outcome", taken  ? "taken"
                     : none ? "none_there"
                            : "not_taken")
    .With("message", answer.Body.substr(0, 120));
  this->Metrics.Count("gradescale_orders_total",
                      gsLabels({ { "outcome", taken ? "taken" : "not" } }));
  ordered.Order.Answered = taken || none;
  ordered.Order.NextTry = taken ? gsTime{} : now + RetryGap;
  if (none) {
    gsScalingNoteDry(this->Scalings[subject.first], this->Settings.Scaling,
                     subject.second.Hall, now);
    ordered.Order.NextTry = now + this->Settings.Scaling.DryPatience;
  } else if (outcome == gsDutyAnswer::HigherToken) {
    this->Lease.Lose("orders", now);
  }
}
