/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsScaleDuty.h"

#include <algorithm>
#include <utility>

#include "gsArrangement.h"
#include "gsLog.h"
#include "gsLoop.h"

namespace {

constexpr gsTime DecisionInterval = gsMilliseconds(400);
constexpr gsTime CallTimeout = gsMilliseconds(1200);
constexpr gsTime ConnectTimeout = gsMilliseconds(400);
constexpr gsTime RetryDelay = gsMilliseconds(800);

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
  this->Reset();
}

/** Cancels pending orders and discards all state. What a host ordered
 * earlier is no longer valid once it has lost the lease. */
void gsScaleDuty::Reset()
{
  for (auto& [key, state] : this->Orders) {
    if (state.PendingCall != 0) {
      this->Client.Cancel(state.PendingCall);
    }
  }
  this->Orders.clear();
  this->Scalings.clear();
}

void gsScaleDuty::Tick(std::shared_ptr<gsRouteTable const> const& table,
                       double millisPerToken, gsTime now)
{
  if (!this->Lease.MaySendDutyCall(now)) {
    this->Reset();
    return;
  }
  if (table == nullptr || now - this->LastDecisionAt < DecisionInterval) {
    return;
  }
  this->LastDecisionAt = now;
  for (gsRouteService const& service : table->Services) {
    if (service.Scaling && this->Settings.Scaling.Enabled) {
      this->UpdateOrders(service, millisPerToken, now);
    }
  }
}

void gsScaleDuty::UpdateOrders(gsRouteService const& service,
                               double millisPerToken, gsTime now)
{
  gsScalingCounts listed = gsCountUpstreams(this->Fleet, service.Name);
  double demand =
    gsBusyEngines(this->Fleet, service.Name, millisPerToken, now);
  this->Startups[service.Name] = service.Scaling->StartupTime;
  gsScaling& scaling = this->Scalings[service.Name];
  gsScalingCounts wanted = gsScalingDecide(
    scaling, this->Settings.Scaling, *service.Scaling, listed, demand, now);
  for (auto const& [pool, count] : wanted) {
    auto current = listed.find(pool);
    this->PlaceOrder(service.Name, pool, count,
                     current == listed.end() ? 0 : current->second, demand,
                     now);
  }
}

void gsScaleDuty::PlaceOrder(std::string const& service,
                             gsScalingPool const& pool, std::uint32_t wanted,
                             std::uint32_t current, double demand, gsTime now)
{
  PoolKey key{ service, pool };
  OrderState& state = this->Orders[key];
  bool due =
    state.PendingCall == 0 &&
    gsScalingOrderIsDue(state.Order, wanted, current, this->Startups[service],
                        this->Lease.Proof().FencingToken, now);
  if (!due) {
    return;
  }
  gsLeaseProof proof = this->Lease.Proof();
  gsScaling const& scaling = this->Scalings[service];
  gsLogLine("order")
    .With("service", service)
    .With("hall", pool.Hall)
    .With("withdrawable", pool.Withdrawable)
    .With("wanted", wanted)
    .With("before", state.Order.Count)
    .With("there", current)
    .With("total", scaling.WantedTotal)
    .With("busy_engines", static_cast<std::uint64_t>(demand))
    .With("peak", static_cast<std::uint64_t>(scaling.PeakDemand))
    .With("token", proof.FencingToken)
    .With("dry_run", this->Settings.Scaling.DryRun);
  gsScalingRecordOrder(state.Order, wanted, proof.FencingToken, now);
  state.Order.IsAnswered = this->Settings.Scaling.DryRun;
  if (this->Settings.Scaling.DryRun) {
    return;
  }
  gsUpstreamOrder order{ service, pool.Hall, wanted, pool.Withdrawable };
  gsCall call = this->Adapter.MakeUpstreamOrderCall(
    this->Settings.Duties.Address, proof, order);
  call.ConnectTimeout = ConnectTimeout;
  call.TotalTimeout = CallTimeout;
  call.Reuse = true;
  call.BeforeSend = [this] {
    return this->Lease.MaySendDutyCall(gsLoop::Now());
  };
  ++this->CallsMade;
  state.PendingCall = gsFetch(
    this->Client, std::move(call),
    [this, key](gsAnswer const& answer) { this->OnResponse(key, answer); });
}

void gsScaleDuty::OnResponse(PoolKey const& key, gsAnswer const& answer)
{
  gsTime now = gsLoop::Now();
  OrderState& state = this->Orders[key];
  state.PendingCall = 0;
  gsDutyCallResult outcome = this->Adapter.ParseDutyResponse(answer, true);
  bool accepted = outcome == gsDutyCallResult::Accepted;
  bool unavailable = outcome == gsDutyCallResult::Unavailable;
  gsLogLine("order_answer", accepted ? gsLogLevel::Info : gsLogLevel::Warn)
    .With("service", key.first)
    .With("hall", key.second.Hall)
    .With("withdrawable", key.second.Withdrawable)
    .With("wanted", state.Order.Count)
    .With("token", state.Order.FencingToken)
    .With("status", answer.End.Status)
    .With("outcome", accepted      ? "taken"
                     : unavailable ? "none_there"
                                   : "not_taken")
    .With("message", answer.Body.substr(0, 120));
  this->Metrics.Increment(
    "gradescale_orders_total",
    gsLabels({ { "outcome", accepted ? "taken" : "not" } }));
  state.Order.IsAnswered = accepted || unavailable;
  state.Order.NextAttemptAt = accepted ? gsTime{} : now + RetryDelay;
  if (unavailable) {
    gsScalingRecordUnavailable(this->Scalings[key.first],
                               this->Settings.Scaling, key.second.Hall, now);
    state.Order.NextAttemptAt =
      now + this->Settings.Scaling.UnavailableRetryDelay;
  } else if (outcome == gsDutyCallResult::StaleToken) {
    this->Lease.Revoke("orders", now);
  }
}
