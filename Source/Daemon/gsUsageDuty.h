/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Counts the requests that began to run on this host, tells its hall's
 * coordinators, sums a hall's counts for whoever holds the duty, and as the
 * holder reports them to the platform.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Generated/gsPeer.pb.h"
#include "gsAdapter.h"
#include "gsClockAgreement.h"
#include "gsHallCluster.h"
#include "gsHttpClient.h"
#include "gsLeaseKeeper.h"
#include "gsMetrics.h"
#include "gsSettings.h"
#include "gsUsageReporter.h"

class gsUsageDuty
{
public:
  /** All that is referred to outlives this. */
  gsUsageDuty(gsHttpClient& client, gsAdapter const& adapter,
              gsSettings const& settings, gsMetrics& metrics,
              gsLeaseKeeper& lease, gsClockAgreement const& clocks,
              std::uint64_t incarnation);
  ~gsUsageDuty();
  gsUsageDuty(gsUsageDuty const&) = delete;
  gsUsageDuty& operator=(gsUsageDuty const&) = delete;

  void Start(gsHallCluster& cluster) { this->Cluster = &cluster; }

  /** Counts a request that began to run at a time of the steady clock. */
  void Count(std::string const& organisation, gsTime began);

  void Hear(std::string const& host, gradescale::Frame const& frame);
  void Tick(gsTime now);

  gsUsageReporter const& Reporter() const { return this->State; }
  std::string const& LastRefusal() const { return this->Refusal; }
  std::uint64_t Calls() const { return this->Made; }

private:
  struct HallWord
  {
    gsWallTime UpTo = 0; ///< True time up to which its hosts told theirs.
    gsTime At{};
  };

  gsWallTime TrueNow(gsTime now) const;
  bool Coordinates(gsTime now) const;
  void TellOwn(gsTime now);
  void TellHall(gsTime now);
  void Send(std::string const& to, gsUsageWindows const& counts, bool ofHall,
            gsTime now);
  gsUsageReady HallsReady(gsTime now) const;
  void Report(gsTime now);
  void Take(gsUsageStep const& step);
  void Read();
  void Fix(gsUsageStep const& step);
  void OnFixed(gsUsageStep const& step, gsAnswer const& answer,
               gsRowWrite const& write);
  void SendReport(gsUsageStep const& step);
  void OnSent(gsUsageStep const& step, std::uint64_t token,
              gsAnswer const& answer);
  void Fetch(gsCall call, std::function<void(gsAnswer const&)> done);

  gsHttpClient& Client;
  gsAdapter const& Adapter;
  gsSettings const& Settings;
  gsMetrics& Metrics;
  gsLeaseKeeper& Lease;
  gsClockAgreement const& Clocks;
  std::string Source; ///< This process.
  gsHallCluster* Cluster = nullptr;
  gsUsageLedger Own;   ///< This process alone.
  gsUsageLedger Hall;  ///< By processes of the hall; on coordinators.
  gsUsageLedger Halls; ///< By halls; on the holder.
  std::map<std::string, gsUsageTold> Told; ///< By host.
  std::map<std::string, HallWord> HallWords;
  gsUsageReporter State;
  gsTime LastTell{};
  gsTime Unanswered{}; ///< Since when the platform has not answered.
  std::uint64_t Call = 0;
  std::uint64_t Made = 0;
  std::string Refusal; ///< Of the last report; for the operator.
};
