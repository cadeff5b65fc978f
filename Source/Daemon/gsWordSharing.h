/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tells other hosts that an upstream has said in an answer that it leaves,
 * where the platform's row does not say so yet: the platform may be silent for
 * all of it, and each host would send the upstream a request to learn of it.
 * A host tells the relay of its hall, the relay its hall and the other halls'
 * relays; whoever has heard it before tells nobody. It is told once, and a
 * host that misses it learns of it by its own first answer.
 *
 * Rests are not told: they are between one host and one upstream.
 */
#pragma once

#include <string>
#include <vector>

#include "gsFleet.h"
#include "gsHallCluster.h"

class gsWordSharing
{
public:
  /** The fleet outlives this. */
  explicit gsWordSharing(gsFleet& fleet)
    : Fleet(fleet)
  {
  }

  /** The cluster outlives this. */
  void Start(gsHallCluster& cluster) { this->Cluster = &cluster; }

  /** This host has heard that an upstream leaves. */
  void Tell(gsIncarnation const& upstream);
  /** Takes in what a frame of another host says. Hosts that know nothing of
   * such words pass them over. */
  void Hear(std::string const& host, gradescale::Frame const& frame);

private:
  std::vector<std::string> ToTell(std::string_view fromHall) const;
  void Send(gsIncarnation const& upstream,
            std::vector<std::string> const& hosts);

  gsFleet& Fleet;
  gsHallCluster* Cluster = nullptr; ///< Set by Start.
};
