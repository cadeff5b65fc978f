/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Combines the duties towards the platform that one host at a time performs:
 * holding the lease, reporting usage and ordering upstreams. It also maintains
 * the agreed wall-clock time, by which usage is assigned to windows.
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
  /** All referenced objects have to outlive this one. */
  gsDuties(gsHttpClient& client, gsAdapter const& adapter,
           gsSettings const& settings, gsMetrics& metrics,
           gsFleet const& fleet, std::uint64_t incarnation);

  /** Has to be called before all other methods except FillHeader; the cluster
   * has to outlive this object. */
  void Start(gsHallCluster& cluster);
  /** Marks this host as stopping: it no longer acquires or renews the lease,
   * which then expires. */
  void Stop() { this->IsStopping = true; }

  /** Applies the clock, the lease state and the usage counts in a frame. */
  void ReceiveFrame(std::string const& host, gradescale::Frame const& frame);
  /** Adds this host's clock to a frame's header, and on a coordinator also the
   * agreed time and the lease state. */
  void FillHeader(gradescale::Frame& frame) const;
  /** Performs due work; to be called about ten times per second. The
   * parameters are those of gsScaleDuty::Tick. */
  void Tick(std::shared_ptr<gsRouteTable const> const& table,
            double millisPerToken, gsTime now);

  /** Counts a request that began executing at an upstream. */
  void CountRequest(std::string const& organisation, gsTime began);

  /** Status for operators: lease holder, fencing token, age of the lease state
   * and reported windows. */
  nlohmann::json Status(gsTime now) const;
  /** Updates the metrics of the lease and of calls to the platform. */
  void WriteGauges(gsMetrics& metrics, gsTime now) const;

private:
  bool IsCoordinator(gsTime now) const;
  void AnnounceRenewal(gsTime now);

  gsSettings const& Settings;
  gsHallCluster* Cluster = nullptr; ///< Set by Start.
  gsClockAgreement Clocks;
  gsLeaseKeeper Lease;
  gsUsageDuty Usage;
  gsScaleDuty Scale;
  /** Fencing token of the last renewal announced to other hosts. */
  std::uint64_t AnnouncedToken = 0;
  bool IsStopping = false;
};
