/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * One running host: owns all parts of the daemon and connects them.
 */
#pragma once

#include <memory>

#include "gsClaims.h"
#include "gsCluster.h"
#include "gsConfigStore.h"
#include "gsDispatcher.h"
#include "gsGateway.h"
#include "gsHttpClient.h"
#include "gsHttpServer.h"
#include "gsMetrics.h"
#include "gsOperatorApi.h"
#include "gsPlatform.h"
#include "gsSettings.h"

/** A host in the mode in which dispatchers grant slots to gateways. */
class gsNode
{
public:
  gsNode(gsLoop& loop, gsSettings settings);
  ~gsNode();
  gsNode(gsNode const&) = delete;
  gsNode& operator=(gsNode const&) = delete;

  /** Opens all ports. */
  gsResult<bool> Start();

  /**
   * Starts a planned stop, and checks its progress on later calls: the host
   * reports not ready, accepts no new work and hands over its pools. The loop
   * ends when the last request is answered or Stop.Longest has passed.
   */
  void Stop();

private:
  gsClusterEvents ClusterEvents();
  gsGateway::Hooks GatewayHooks();
  gsDispatcher::Hooks DispatcherHooks();
  void OnFrame(std::string const& host, std::uint64_t link,
               gradescale::Frame const& frame);
  void OnWork(std::string const& host, std::uint64_t link,
              gradescale::Frame const& frame);
  void OnConfigFrames(std::string const& host, std::uint64_t link,
                      gradescale::Frame const& frame);
  void OnAsk(std::uint64_t link, gsGrantRequest ask);
  void OnDocument();
  void SubmitFirstDocument();
  void BeforeWait();
  void CheckStall();
  void OnStalled(gsTime elapsed);
  void ResumeAfterRefresh();
  void ListHosts();
  void SendClaims();
  bool UpstreamLeaving(std::string const& upstream,
                       std::string const& incarnation) const;

  gsLoop& Loop;
  gsSettings Settings;
  std::uint64_t Incarnation;
  gsMetrics Metrics;
  gsHttpClient Client;
  gsPlatform Platform;
  gsClaims Claims;
  std::unique_ptr<gsConfigStore> Config;
  std::unique_ptr<gsCluster> Cluster;
  std::unique_ptr<gsDispatcher> Dispatcher;
  std::unique_ptr<gsGateway> Gateway;
  std::unique_ptr<gsOperatorApi> Operators;
  std::unique_ptr<gsHttpServer> CallerServer;
  std::unique_ptr<gsHttpServer> OperatorServer;
  gsTimer StallTimer;
  gsTimer ListTimer;
  gsTimer ClaimTimer;
  gsTimer StopTimer;
  /** Leaving upstreams as listed by the platform. */
  std::vector<std::string> PlatformLeaving;
  gsTime LastStallCheck{};
  gsTime StalledAt{};   ///< When the last stall was detected.
  bool Stalled = false; ///< Grants wait for updates after a stall.
  bool ClaimScheduled = false;
  bool AcceptsWork = false; ///< This host has announced that it accepts work.
  bool Stopping = false;
  bool Quiesced = false; ///< The caller port accepts no new connections.
  gsTime StopSince{};
};
