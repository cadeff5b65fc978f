/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Publishes drain notices that upstreams gave in their answers and that the
 * platform's rows do not contain yet. The platform may be unavailable for a
 * long time, and without this exchange each host would send the upstream a
 * request before it received the notice itself.
 *
 * A host sends a notice to the relay of its hall, and the relay forwards it to
 * its hall and to the relays of other halls. A known notice is not forwarded.
 * A notice is sent once; a host that misses it receives the notice with the
 * next answer of the upstream.
 *
 * Backoff requests are not published, because each applies to one host only.
 */
#pragma once

#include <string>
#include <vector>

#include "gsFleet.h"
#include "gsHallCluster.h"

class gsDrainGossip
{
public:
  /** The fleet must outlive this object. */
  explicit gsDrainGossip(gsFleet& fleet)
    : Fleet(fleet)
  {
  }

  /** The cluster must outlive this object. */
  void Start(gsHallCluster& cluster) { this->Cluster = &cluster; }

  /** Publishes a drain notice from an answer to this host. */
  void Publish(gsIncarnation const& upstream);
  /**
   * Applies the notices in a frame from another host, and forwards new ones if
   * this host is a relay.
   */
  void OnReceive(std::string const& host, gradescale::Frame const& frame);

private:
  void Send(gsIncarnation const& upstream,
            std::vector<std::string> const& hosts);

  gsFleet& Fleet;
  gsHallCluster* Cluster = nullptr; ///< Set by Start.
};
