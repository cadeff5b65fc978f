/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The duties that one host at a time has towards the platform, put together:
 * the lease, true time, the reports of usage, and the orders of upstreams.
 */
#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "gsClockAgreement.h"
#include "gsHallCluster.h"
#include "gsLeaseKeeper.h"
#include "gsScaleDuty.h"
#include "gsUsageDuty.h"

class gsDuties
{
public:
  /** All that is referred to outlives this. */
  gsDuties(gsHttpClient& client, gsAdapter const& adapter,
           gsSettings const& settings, gsMetrics& metrics,
           gsFleet const& fleet, std::uint64_t incarnation);

  void Start(gsHallCluster& cluster);
  /** This host stops as planned, and holds no duty any longer than it must. */
  void Stop() { this->Stopping = true; }

  void Hear(std::string const& host, gradescale::Frame const& frame);
  /** Tells in a frame's header what this host knows of time and lease. */
  void FillHeader(gradescale::Frame& frame) const;
  /** To be run some ten times a second; see gsScaleDuty::Tick. */
  void Tick(std::shared_ptr<gsRouteTable const> const& table,
            double millisPerToken, gsTime now);

  /** A request began to run at an upstream. */
  void NoteBegan(std::string const& organisation, gsTime began);

  /** For the operator: holder, token, ages, windows. */
  nlohmann::json Status(gsTime now) const;
  void WriteGauges(gsMetrics& metrics, gsTime now) const;

private:
  bool Coordinates(gsTime now) const;
  void TellRenewal(gsTime now);

  gsSettings const& Settings;
  gsHallCluster* Cluster = nullptr; ///< Set by Start.
  gsClockAgreement Clocks;
  gsLeaseKeeper Lease;
  gsUsageDuty Usage;
  gsScaleDuty Scale;
  std::uint64_t ToldToken = 0; ///< Of the last renewal that others know.
  bool Stopping = false;
};
