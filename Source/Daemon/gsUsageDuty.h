/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Reports the number of executed requests per organisation and time window to
 * the platform. Each host sends the counts of its own process to the
 * coordinators of its hall. The relay of a hall sends the hall's sums to the
 * host that holds the lease on duties, which reports the total of all halls.
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
  /** All referenced objects have to outlive this one. */
  gsUsageDuty(gsHttpClient& client, gsAdapter const& adapter,
              gsSettings const& settings, gsMetrics& metrics,
              gsLeaseKeeper& lease, gsClockAgreement const& clocks,
              std::uint64_t incarnation);
  ~gsUsageDuty();
  gsUsageDuty(gsUsageDuty const&) = delete;
  gsUsageDuty& operator=(gsUsageDuty const&) = delete;

  /** Has to be called before all other methods; the cluster has to outlive
   * this object. */
  void Start(gsHallCluster& cluster) { this->Cluster = &cluster; }

  /** Counts a request that began executing at a time of the steady clock.
   * Requests without an organisation are not counted. */
  void CountRequest(std::string const& organisation, gsTime began);

  /** Merges the counts in a frame of another host. */
  void ReceiveFrame(std::string const& host, gradescale::Frame const& frame);
  /** Sends counts and performs the next step of a report, if due. */
  void Tick(gsTime now);

  gsUsageReporter const& Reporter() const { return this->ReporterState; }
  /** Why the last failed report failed; empty if none has. */
  std::string const& LastFailure() const { return this->LastReportFailure; }
  /** Number of calls made to the platform. */
  std::uint64_t CallCount() const { return this->CallsMade; }

private:
  /** The last report received from another hall. */
  struct HallReport
  {
    /** Agreed time up to which the hall's counts are complete. */
    gsWallTime CompleteUpTo = 0;
    gsTime ReceivedAt{}; ///< When the report was received.
  };

  gsWallTime AgreedTime(gsTime now) const;
  bool IsCoordinator(gsTime now) const;
  void SendOwnCounts(gsTime now);
  void SendHallCounts(gsTime now);
  void SendCounts(std::string const& receiver, gsUsageWindows const& counts,
                  bool ofHall, gsTime now);
  gsUsageProgress HallsProgress(gsTime now) const;
  void ReportIfDue(gsTime now);
  void RunStep(gsUsageStep const& step);
  void ReadRows();
  void CommitWindow(gsUsageStep const& step);
  void OnWindowCommitted(gsUsageStep const& step, gsAnswer const& answer,
                         gsRowWrite const& write);
  void SendReport(gsUsageStep const& step);
  void OnReportCompleted(gsUsageStep const& step, std::uint64_t token,
                         gsAnswer const& answer);
  void StartCall(gsCall call, std::function<void(gsAnswer const&)> done);

  gsHttpClient& Client;
  gsAdapter const& Adapter;
  gsSettings const& Settings;
  gsMetrics& Metrics;
  gsLeaseKeeper& Lease;
  gsClockAgreement const& Clocks;
  std::string Source; ///< Identifies this process by host and incarnation.
  gsHallCluster* Cluster = nullptr; ///< Set by Start.
  gsUsageLedger OwnCounts;          ///< Counts of this process.
  /** Counts of this hall, by process. Only coordinators receive those of other
   * hosts. */
  gsUsageLedger HallCounts;
  /** Counts of all halls, by hall; maintained on the lease holder. */
  gsUsageLedger CountsByHall;
  /** Counts already sent, by receiving host. */
  std::map<std::string, gsUsageSentCounts> SentCounts;
  std::map<std::string, HallReport> HallReports; ///< By hall.
  gsUsageReporter ReporterState;
  gsTime LastSendAt{};
  /** Since when the platform has not answered reports; zero if it has. */
  gsTime UnansweredSince{};
  std::uint64_t PendingCall = 0; ///< Pending call; zero if there is none.
  std::uint64_t CallsMade = 0;
  std::string LastReportFailure; ///< Cause and window, for operators.
};
