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
   * A planned stop: not ready, no new work, pools handed over; the loop ends
   * when the last request has its answer.
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
  void OnAsk(std::uint64_t link, gsAsk ask);
  void OnDocument();
  void SubmitFirstDocument();
  void BeforeWait();
  void Watch();
  void OnStalled(gsTime gap);
  void ResumeIfFresh();
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
  gsTimer WatchTimer;
  gsTimer ListTimer;
  gsTimer ClaimTimer;
  gsTimer StopTimer;
  std::vector<std::string> ListedLeaving; ///< Upstreams, by the platform.
  gsTime LastWatch{};
  gsTime StalledAt{};
  bool Stalled = false;
  bool ClaimArmed = false;
  bool Working = false; ///< The others know that this host takes work.
  bool Stopping = false;
  bool Quiesced = false;
  gsTime StopSince{};
};
