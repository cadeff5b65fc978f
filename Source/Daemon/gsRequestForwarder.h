/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Forwards requests of the routed mode to other hosts while this host cannot
 * reach the upstreams, and checks those that other hosts forward. gsForwarding
 * decides; gsUpstreamCaller makes the calls.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gsFleet.h"
#include "gsMetrics.h"
#include "gsPlacement.h"
#include "gsRoutedRequest.h"
#include "gsUpstreamCaller.h"

/** What hosts prove to each other with a forwarded request. */
struct gsForwardCredentials
{
  std::string Token;   ///< Shared by all hosts; empty to forward nothing.
  std::string Cluster; ///< Name of the cluster.
};

class gsRequestForwarder
{
public:
  gsRequestForwarder(gsFleet& fleet, gsUpstreamCaller& caller,
                     gsMetrics& metrics);

  /** Enables forwarding. Peers returns the other hosts that accept forwarded
   * requests. */
  void Enable(gsForwardCredentials credentials,
              std::function<std::vector<gsForwardPeer>()> peers);

  /** Whether a request is to be forwarded rather than sent as placed. May
   * choose the request to test whether upstreams are reachable again. */
  bool ShouldForward(gsRoutedRequest const& request,
                     gsPlacement const& placement, gsTime now);

  /** Forwards a request. \return False if there is no host to forward it to.
   */
  bool TryForward(gsRoutedRequestPtr const& request, char const* cause,
                  gsTime now);

  /** Records the end of an attempt at another host. */
  void RecordEnd(gsRoutedRequest& request, gsAttempt const& attempt,
                 gsAttemptResult const& result, gsTime now);

  /**
   * Checks a request that another host has forwarded.
   * \return The number of attempts at upstreams that are left to it; empty if
   *   the sender is not a host of this cluster.
   */
  std::optional<std::uint32_t> CheckForwarded(
    gsHttpExchange const& exchange) const;

  /** Removes the headers that hosts add to forwarded requests. */
  static void RemoveHeaders(gsHeaders& headers);

  /** Whether this host accepts a further forwarded request. */
  bool Accepts(std::size_t own, std::size_t forwarded) const
  {
    return gsAcceptsForwarded(this->Settings, own, forwarded);
  }

private:
  std::vector<gsForwardPeer> PeersFor(gsRoutedRequest const& request) const;

  gsFleet& Fleet;
  gsUpstreamCaller& Caller;
  gsMetrics& Metrics;
  gsForwardSettings Settings;
  gsForwardCredentials Credentials;
  std::function<std::vector<gsForwardPeer>()> Peers;
  gsAvoidedHosts Avoided; ///< Bounded by the number of hosts.
};
