/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsOverloadModel.h"

#include <algorithm>

namespace {

constexpr gsTime Start = gsSeconds(100);
constexpr gsTime Step = gsMilliseconds(1);

void Add(gsServiceDemand& sum, gsServiceDemand const& part)
{
  for (auto const& [priority, kind] : part.Kinds) {
    sum.Kinds[priority].EngineMillis += kind.EngineMillis;
    sum.Kinds[priority].WaitingMillis += kind.WaitingMillis;
  }
  for (auto const& [name, millis] : part.Organisations) {
    sum.Organisations[name] += millis;
  }
}

} // namespace

void gsOverloadModel::MeasureCapacity(gsOverload& overload, gsTime now) const
{
  double up = 0;
  double backlog = 0;
  double busy = 0;
  for (std::size_t i = 0; i < this->EngineCount; ++i) {
    if (this->IsUp(i, now - Start)) {
      ++up;
      backlog += this->KnownBacklog[i];
      busy += this->KnownBacklog[i] > 0 ? 1 : 0;
    }
  }
  overload.Capacity = { up, static_cast<double>(this->EngineCount),
                        up > 0 ? 1 - busy / up : 0, backlog, now };
}

/** Chooses the less loaded of two engines, as the host knows them, and
 * predicts the first event there. */
void gsOverloadModel::Predict(gsModelRequest& request, gsTime now)
{
  std::uniform_int_distribution<std::size_t> draw(0, this->EngineCount - 1);
  std::size_t best = this->EngineCount;
  for (int i = 0; i < 12; ++i) {
    std::size_t engine = draw(this->Random);
    bool better = this->IsUp(engine, now - Start) &&
                  (best == this->EngineCount ||
                   this->KnownBacklog[engine] < this->KnownBacklog[best]);
    best = better ? engine : best;
    if (i >= 1 && best != this->EngineCount) {
      break;
    }
  }
  request.Engine = best;
  request.Row.FirstEvent =
    gsFromSeconds((this->KnownBacklog[best] + request.Row.EngineMillis) / 1e3);
}

void gsOverloadModel::Apply(std::size_t index,
                            gsAdmissionDecision const& decision, gsTime now)
{
  gsModelRequest& request = this->Requests[index];
  gsOverload& overload = this->Hosts[request.Host];
  if (decision.Action == gsAdmission::Wait) {
    request.WaitingSince =
      request.WaitingSince.count() == 0 ? now : request.WaitingSince;
    gsBeginWaiting(overload, request.Row);
    return;
  }
  request.Cause = decision.Cause;
  if (decision.Action == gsAdmission::Refuse) {
    request.IsRefused = true;
    request.RefusedAfter = now - request.ArrivedAt;
    request.RetryAfter = decision.RetryAfter;
    return;
  }
  double& busyUntil = this->BusyUntil[request.Engine];
  busyUntil =
    std::max(busyUntil, gsToSeconds(now)) + request.Row.EngineMillis / 1e3;
  request.FirstEvent = gsFromSeconds(busyUntil) - request.ArrivedAt;
  this->KnownBacklog[request.Engine] += request.Row.EngineMillis;
}

void gsOverloadModel::Arrive(gsModelKind const& kind, gsTime now, bool isRetry,
                             std::size_t host, std::uint32_t organisation)
{
  std::uniform_real_distribution<double> draw(0, 1);
  double size = draw(this->Random) < 0.1 ? 3 : 0.78;
  gsModelRequest request;
  request.Host = host;
  request.ArrivedAt = now;
  request.IsRetry = isRetry;
  gsAdmissionRequest& row = request.Row;
  row.Priority = kind.Priority;
  row.Organisation = organisation;
  row.EngineMillis =
    kind.EngineMillis * size * this->CostAt(kind, now - Start);
  row.Target = kind.Target;
  row.Patience = kind.Patience;
  row.TimeLeft = kind.Deadline;
  row.TimeToReturn = isRetry ? gsMilliseconds(300) : gsTime{};
  this->Predict(request, now);
  this->Requests.push_back(request);
  std::size_t index = this->Requests.size() - 1;
  gsAdmissionDecision decision;
  gsOverload& overload = this->Hosts[host];
  if (!isRetry) {
    gsRecordArrival(overload, row, now);
  }
  if (this->IsOn) {
    this->MeasureCapacity(overload, now);
    decision = gsDecideAdmission(overload, row, now);
  }
  this->Apply(index, decision, now);
  if (decision.Action == gsAdmission::Refuse && !isRetry &&
      draw(this->Random) < this->RetryAtOnceShare) {
    this->Arrive(kind, now, true, host, organisation);
  }
}

/** Every host takes in the reports of its side, and the backlog. */
void gsOverloadModel::Exchange(gsTime now)
{
  std::vector<gsServiceDemand> reports(this->HostCount);
  for (std::size_t i = 0; i < this->HostCount; ++i) {
    gsReportDemand(this->Hosts[i], reports[i], now);
  }
  for (std::size_t i = 0; i < this->HostCount; ++i) {
    gsServiceDemand others;
    std::size_t known = 1;
    for (std::size_t j = 0; j < this->HostCount; ++j) {
      if (j != i && this->SideOf(i) == this->SideOf(j)) {
        Add(others, reports[j]);
        ++known;
      }
    }
    this->Hosts[i].KnownHosts = known;
    gsSetReportedDemand(
      this->Hosts[i], others,
      known > 1 ? std::optional<gsTime>(now - this->ReportAge) : std::nullopt);
  }
  for (std::size_t i = 0; i < this->EngineCount; ++i) {
    this->KnownBacklog[i] =
      std::max(0.0, (this->BusyUntil[i] - gsToSeconds(now)) * 1e3);
  }
}

void gsOverloadModel::Run(gsTime duration)
{
  this->Hosts.resize(this->HostCount);
  this->BusyUntil.resize(this->EngineCount);
  this->KnownBacklog.resize(this->EngineCount);
  std::uint64_t seed = 1;
  for (gsOverload& host : this->Hosts) {
    host.RecentPeakHosts = this->HostCount;
    host.Random.seed(seed++);
  }
  std::uniform_int_distribution<std::size_t> host(0, this->HostCount - 1);
  gsTime exchangedAt{};
  for (gsTime now = Start; now < Start + duration; now += Step) {
    if (now - exchangedAt >= this->ReportInterval) {
      exchangedAt = now;
      this->Exchange(now);
    }
    for (std::size_t i = 0; i < this->EngineCount; ++i) {
      // An engine that is unavailable processes nothing.
      if (!this->IsUp(i, now - Start)) {
        this->BusyUntil[i] =
          std::max(this->BusyUntil[i], gsToSeconds(now)) + 1e-3;
      }
      this->KnownBacklog[i] = std::max(0.0, this->KnownBacklog[i] - 1);
    }
    std::vector<double> weights;
    for (std::size_t i = 0; i < this->Organisations; ++i) {
      weights.push_back(this->OrganisationAt(i, now - Start));
    }
    double total = 0;
    for (double weight : weights) {
      total += weight / static_cast<double>(weights.size());
    }
    std::discrete_distribution<std::uint32_t> organisation(weights.begin(),
                                                           weights.end());
    for (gsModelKind const& kind : this->Kinds) {
      std::poisson_distribution<int> arrivals(
        kind.PerSecond * this->RateAt(kind, now - Start) * total / 1e3);
      for (int i = arrivals(this->Random); i > 0; --i) {
        this->Arrive(kind, now, false, host(this->Random),
                     1 + organisation(this->Random));
      }
    }
    for (std::size_t i = 0; i < this->Requests.size(); ++i) {
      gsModelRequest& request = this->Requests[i];
      bool waits = request.WaitingSince.count() != 0 && !request.IsRefused &&
                   request.FirstEvent.count() == 0;
      if (!waits || (now - request.WaitingSince).count() % 10000 != 0) {
        continue;
      }
      gsOverload& overload = this->Hosts[request.Host];
      gsEndWaiting(overload, request.Row);
      gsAdmissionRequest row = request.Row;
      this->Predict(request, now);
      row.FirstEvent = request.Row.FirstEvent;
      row.Patience -= now - request.ArrivedAt;
      this->MeasureCapacity(overload, now);
      this->Apply(
        i, gsDecideWaiting(overload, row, now - request.WaitingSince, now),
        now);
    }
  }
}

gsModelShares gsOverloadModel::Of(
  std::function<bool(gsModelRequest const&)> const& selects) const
{
  gsModelShares shares;
  for (gsModelRequest const& request : this->Requests) {
    if (!selects(request)) {
      continue;
    }
    ++shares.Count;
    shares.InTime += request.IsInTime() ? 1 : 0;
    shares.Served += request.IsServed() ? 1 : 0;
    shares.Refused += request.IsRefused ? 1 : 0;
    shares.Lost += !request.IsRefused && !request.IsServed() ? 1 : 0;
  }
  double count = std::max(1.0, static_cast<double>(shares.Count));
  shares.InTime /= count;
  shares.Served /= count;
  shares.Refused /= count;
  shares.Lost /= count;
  return shares;
}

gsModelShares gsOverloadModel::Of(std::uint32_t priority, gsTime from,
                                  gsTime to) const
{
  return this->Of([=](gsModelRequest const& request) {
    gsTime at = request.ArrivedAt - Start;
    return request.Row.Priority == priority && !request.IsRetry &&
           at >= from && at < to;
  });
}
