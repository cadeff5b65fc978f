/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Publishes drain notices that upstreams gave in their answers, where the
 * platform's rows do not have them yet: the platform may be silent for long,
 * and each host would send the upstream a request to learn of it. A host
 * sends a notice to the relay of its hall, the relay to its hall and to the
 * other halls' relays. A notice that is known is not passed on. It is sent
 * once; a host that misses it gets the notice with its own next answer.
 *
 * Backoff requests are not published: they concern one host alone.
 */
#pragma once

#include <string>
#include <vector>

#include "gsFleet.h"
#include "gsHallCluster.h"

class gsDrainGossip
{
public:
  /** The fleet outlives this. */
  explicit gsDrainGossip(gsFleet& fleet)
    : Fleet(fleet)
  {
  }

  /** The cluster outlives this. */
  void Start(gsHallCluster& cluster) { this->Cluster = &cluster; }

  /** Publishes a drain notice that this host has received. */
  void Publish(gsIncarnation const& upstream);
  /** Takes in the notices of a frame. */
  void OnReceive(std::string const& host, gradescale::Frame const& frame);

private:
  void Send(gsIncarnation const& upstream,
            std::vector<std::string> const& hosts);

  gsFleet& Fleet;
  gsHallCluster* Cluster = nullptr; ///< Set by Start.
};
