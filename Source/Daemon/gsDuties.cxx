/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsDuties.h"

#include <algorithm>
#include <vector>

#include "gsLoop.h"

gsDuties::gsDuties(gsHttpClient& client, gsAdapter const& adapter,
                   gsSettings const& settings, gsMetrics& metrics,
                   gsFleet const& fleet, std::uint64_t incarnation)
  : Settings(settings)
  , Lease(client, adapter, settings, incarnation)
  , Usage(client, adapter, settings, metrics, this->Lease, this->Clocks,
          incarnation)
  , Scale(client, adapter, settings, metrics, this->Lease, fleet)
{
}

void gsDuties::Start(gsHallCluster& cluster)
{
  this->Cluster = &cluster;
  this->Usage.Start(cluster);
}

bool gsDuties::IsCoordinator(gsTime now) const
{
  return gsHallIsCoordinator(this->Cluster->Members(), now);
}

void gsDuties::ReceiveFrame(std::string const& host,
                            gradescale::Frame const& frame)
{
  gsTime now = gsLoop::Now();
  if (frame.clock_us() != 0 && this->IsCoordinator(now)) {
    gsClockReceive(this->Clocks, host, frame.clock_us(), false, now);
  } else if (frame.agreed_clock_us() != 0) {
    gsClockReceive(this->Clocks, host, frame.agreed_clock_us(), true, now);
  }
  if (frame.has_lease()) {
    this->Lease.ReceiveUpdate(frame.lease(), now);
  }
  this->Usage.ReceiveFrame(host, frame);
}

void gsDuties::FillHeader(gradescale::Frame& frame) const
{
  gsTime now = gsLoop::Now();
  auto own = static_cast<gsWallTime>(gsWallMicros());
  frame.set_clock_us(own);
  if (this->Cluster != nullptr && this->IsCoordinator(now)) {
    frame.set_agreed_clock_us(gsClockNow(this->Clocks, own, true, now));
    this->Lease.FillUpdate(frame, now);
  }
}

void gsDuties::Tick(std::shared_ptr<gsRouteTable const> const& table,
                    double millisPerToken, gsTime now)
{
  gsClockExpire(this->Clocks, now);
  this->Lease.Tick(this->Cluster->Members(), this->IsStopping, now);
  this->AnnounceRenewal(now);
  if (this->Settings.Duties.Usage) {
    this->Usage.Tick(now);
  }
  if (this->Settings.Duties.Orders) {
    this->Scale.Tick(table, millisPerToken, now);
  }
}

/**
 * Announces each renewal immediately to all hosts that may take over the
 * lease. A host that knows only an older version learns the newer one from a
 * refused write and has to wait for the full lease duration from then on: a
 * frozen holder was replaced after 5.5 s instead of 3.4 s.
 */
void gsDuties::AnnounceRenewal(gsTime now)
{
  gsLease const& lease = this->Lease.State();
  if (!gsLeaseIsHeld(lease, now) || lease.Token == this->AnnouncedToken) {
    return;
  }
  this->AnnouncedToken = lease.Token;
  gsHallMembership const& members = this->Cluster->Members();
  std::vector<std::string> hosts = gsHallDutyOrder(members, now);
  hosts.resize(std::min(hosts.size(), members.Settings.MaxCoordinators));
  for (std::string const& host : gsOtherCoordinators(members, now)) {
    hosts.push_back(host);
  }
  for (std::string const& host : hosts) {
    if (host != this->Settings.Host) {
      this->Cluster->ToHost(host); // The header alone carries the lease.
    }
  }
}

void gsDuties::CountRequest(std::string const& organisation, gsTime began)
{
  this->Usage.CountRequest(organisation, began);
}

nlohmann::json gsDuties::Status(gsTime now) const
{
  gsLease const& lease = this->Lease.State();
  gsUsageReporter const& usage = this->Usage.Reporter();
  nlohmann::json status;
  status["holder"] = gsLeaseHolder(lease, now);
  status["holds"] = gsLeaseIsHeld(lease, now);
  status["token"] = lease.Row.Version;
  status["seen_ms"] = lease.SeenAt.count() == 0
                        ? nlohmann::json()
                        : nlohmann::json((now - lease.SeenAt).count() / 1000);
  status["windows_reported"] = usage.ReportedCount;
  status["windows_due"] = gsUsageUnreportedWindows(usage);
  status["next_window"] = usage.NextWindow;
  status["last_refusal"] = this->Usage.LastFailure();
  return status;
}

void gsDuties::WriteGauges(gsMetrics& metrics, gsTime now) const
{
  metrics.Set("gradescale_lease_held", {},
              gsLeaseIsHeld(this->Lease.State(), now) ? 1 : 0);
  metrics.Set("gradescale_lease_taken_total", {},
              static_cast<double>(this->Lease.State().AcquiredCount));
  metrics.Set("gradescale_duty_calls_total", {},
              static_cast<double>(this->Lease.CallCount() +
                                  this->Usage.CallCount() +
                                  this->Scale.CallCount()));
}
