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

bool gsDuties::Coordinates(gsTime now) const
{
  return gsHallCoordinates(this->Cluster->Members(), now);
}

void gsDuties::Hear(std::string const& host, gradescale::Frame const& frame)
{
  gsTime now = gsLoop::Now();
  if (frame.clock_us() != 0 && this->Coordinates(now)) {
    gsClockHear(this->Clocks, host, frame.clock_us(), false, now);
  } else if (frame.agreed_clock_us() != 0) {
    gsClockHear(this->Clocks, host, frame.agreed_clock_us(), true, now);
  }
  if (frame.has_lease()) {
    this->Lease.Hear(frame.lease(), now);
  }
  this->Usage.Hear(host, frame);
}

void gsDuties::FillHeader(gradescale::Frame& frame) const
{
  gsTime now = gsLoop::Now();
  auto own = static_cast<gsWallTime>(gsWallMicros());
  frame.set_clock_us(own);
  if (this->Cluster != nullptr && this->Coordinates(now)) {
    frame.set_agreed_clock_us(gsClockNow(this->Clocks, own, true, now));
    this->Lease.Fill(frame, now);
  }
}

void gsDuties::Tick(std::shared_ptr<gsRouteTable const> const& table,
                    double millisPerToken, gsTime now)
{
  gsClockForget(this->Clocks, now);
  this->Lease.Tick(this->Cluster->Members(), this->Stopping, now);
  this->TellRenewal(now);
  if (this->Settings.Duties.Usage) {
    this->Usage.Tick(now);
  }
  if (this->Settings.Duties.Orders) {
    this->Scale.Tick(table, millisPerToken, now);
  }
}

/**
 * Tells all who may succeed of each renewal at once. One who knows an older
 * version learns of the newer by a refused write, and has to wait the whole
 * time from then: 5.5 s until a frozen holder was succeeded, in place of 3.4.
 */
void gsDuties::TellRenewal(gsTime now)
{
  gsLease const& lease = this->Lease.State();
  if (!gsLeaseHolds(lease, now) || lease.Token == this->ToldToken) {
    return;
  }
  this->ToldToken = lease.Token;
  gsHallMembership const& members = this->Cluster->Members();
  std::vector<std::string> hosts = gsHallOrder(members, now);
  hosts.resize(std::min(hosts.size(), members.Settings.Coordinators));
  for (std::string const& host : gsOtherCoordinators(members, now)) {
    hosts.push_back(host);
  }
  for (std::string const& host : hosts) {
    if (host != this->Settings.Host) {
      this->Cluster->ToHost(host); // The header alone says what is needed.
    }
  }
}

void gsDuties::NoteBegan(std::string const& organisation, gsTime began)
{
  this->Usage.Count(organisation, began);
}

nlohmann::json gsDuties::Status(gsTime now) const
{
  gsLease const& lease = this->Lease.State();
  gsUsageReporter const& usage = this->Usage.Reporter();
  nlohmann::json status;
  status["holder"] = gsLeaseHolder(lease, now);
  status["holds"] = gsLeaseHolds(lease, now);
  status["token"] = lease.Row.Version;
  status["seen_ms"] = lease.SeenAt.count() == 0
                        ? nlohmann::json()
                        : nlohmann::json((now - lease.SeenAt).count() / 1000);
  status["windows_reported"] = usage.DoneCount;
  status["windows_due"] = gsUsageOpen(usage);
  status["next_window"] = usage.Next;
  status["last_refusal"] = this->Usage.LastRefusal();
  return status;
}

void gsDuties::WriteGauges(gsMetrics& metrics, gsTime now) const
{
  metrics.Set("gradescale_lease_held", {},
              gsLeaseHolds(this->Lease.State(), now) ? 1 : 0);
  metrics.Set("gradescale_lease_taken_total", {},
              static_cast<double>(this->Lease.State().Taken));
  metrics.Set("gradescale_duty_calls_total", {},
              static_cast<double>(this->Lease.Calls() + this->Usage.Calls() +
                                  this->Scale.Calls()));
}
