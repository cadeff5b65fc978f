/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Sends reports of this host's open work, demand and measured intervals
 * between events to other hosts, and stores the reported load of other hosts
 * in the rows of the upstreams. The hosts that exchange reports, and their
 * frequency, are determined by gsLoadExchange. The system leader decides for
 * all hosts how the engines of each service are divided; its decisions are
 * part of the reports.
 */
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "gsFleet.h"
#include "gsHallCluster.h"
#include "gsLoadExchange.h"
#include "gsSettings.h"

class gsLoadSharing
{
public:
  /** The fleet and the settings must outlive this object. */
  gsLoadSharing(gsFleet& fleet, gsSettings const& settings);

  /** The cluster must outlive this object. */
  void Start(gsHallCluster& cluster) { this->Cluster = &cluster; }

  /** Processes the load reports in a frame from another host. */
  void OnReceive(std::string const& host, gradescale::Frame const& frame);
  /**
   * Sends the reports that are due, and applies received ones; to be called
   * many times per second.
   */
  void SendReports();
  /** Number of changes of the speeds that decisions use. */
  std::uint64_t SpeedChanges() const { return this->SpeedChangeCount; }
  /** Minimum interval between two reports to the same host. */
  gsTime MinReportInterval() const;

private:
  gsSystemLoad OwnLoad(gsTime now);
  gsLoadPeers Peers(gsTime now) const;
  void ApplyReceived(gsTime now);
  void ApplyUpstreams(gsLoadMap const& others, gsTime reportedAt, gsTime now);
  void RefreshSpeeds(gsTime now);
  void ApplyUnreachableHalls(std::set<std::uint32_t> const& unreachableHalls);
  void DecideArrangements(gsTime now);

  gsFleet& Fleet;
  gsSettings const& Settings;
  gsHallCluster* Cluster = nullptr; ///< Set by Start.
  gsLoadExchange Exchange;
  /**
   * Hashes of the rows that contain load of other hosts, ascending. They bound
   * the cost of applying reports, which does not depend on the number of
   * upstreams.
   */
  std::vector<std::uint32_t> RowsWithOthersLoad;
  /** Open attempts of this host by service, as last reported. */
  std::map<std::string, gsOpenAttemptsMap> OwnOpenAttempts;
  gsTime AppliedAt{};
  gsTime SpeedsRefreshedAt{};
  std::uint64_t SpeedChangeCount = 0;
};
