/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tells other hosts of this host's open work, demand and measured paces, and
 * puts theirs into the upstreams' rows. One host decides for all how engines
 * are divided.
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
  /** The fleet and the settings outlive this. */
  gsLoadSharing(gsFleet& fleet, gsSettings const& settings);

  /** The cluster outlives this. */
  void Start(gsHallCluster& cluster) { this->Cluster = &cluster; }

  /** Takes in the reports of a frame of another host. */
  void Hear(std::string const& host, gradescale::Frame const& frame);
  /** Reports the load, as far as it has changed; run many times a second. */
  void Tell();
  /** Least time between two reports to one host. */
  gsTime Gap() const;

private:
  gsSystemLoad Own(gsTime now);
  gsLoadPeers Peers(gsTime now) const;
  void Apply(gsTime now);
  void ApplyUpstreams(gsLoadMap const& others, gsTime since);
  void ApplyHalls(std::set<std::uint32_t> const& cutOff);
  void Decide(gsTime now);

  gsFleet& Fleet;
  gsSettings const& Settings;
  gsHallCluster* Cluster = nullptr; ///< Set by Start.
  gsLoadExchange Exchange;
  /** Hashes of the rows that others' work is noted in, ascending: what a
   * report costs goes by these, not by all upstreams. */
  std::vector<std::uint32_t> Noted;
  gsTime AppliedAt{};
};
