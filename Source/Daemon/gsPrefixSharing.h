/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Exchanges the changes of the prefix directory with other hosts, and shows
 * its state. The hosts that exchange changes are determined by
 * gsPrefixDirectory.
 */
#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "gsFleet.h"
#include "gsHallCluster.h"
#include "gsMetrics.h"

class gsPrefixSharing
{
public:
  /** The fleet, which stores the directory, must outlive this object. */
  explicit gsPrefixSharing(gsFleet& fleet);

  /** The cluster must outlive this object. */
  void Start(gsHallCluster& cluster);

  /** Processes the prefix updates in a frame from another host. */
  void OnReceive(std::string const& host, gradescale::Frame const& frame);
  /** Sends changes and removes what has expired; to be called about ten times
   * per second. */
  void Tick(gsTime now);

  /** A row for each subject, those with the largest demand first. */
  nlohmann::json Status(gsTime now) const;
  void WriteGauges(gsMetrics& metrics) const;

private:
  bool IsActive() const;
  void Send(gsPrefixMessage const& message, gsTime now);

  gsFleet& Fleet;
  gsHallCluster* Cluster = nullptr; ///< Set by Start.
  gsTime ReducedAt{};               ///< When engines were last removed.
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
};

/** Name of a mode as in the settings. */
char const* gsPrefixModeName(gsFeatureMode mode);

/** Converts an update to one message per service, and appends them to a
 * frame. \return Their size in bytes. */
std::size_t gsToWire(gsPrefixUpdate const& update, gsTime now,
                     gradescale::Frame* frame);

/** Converts a message; times become those of this host's clock. */
gsPrefixUpdate gsFromWire(gradescale::PrefixUpdate const& wire, gsTime now);
