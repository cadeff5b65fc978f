/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * One running host of the routed mode. Its configuration and its list of
 * upstreams are tables of an external platform, which it reads through an
 * adapter. The host keeps copies of both up to date by watching the tables and
 * by exchanging changes with other hosts, and serves callers according to
 * them.
 */
#pragma once

#include <memory>
#include <string>

#include "gsAdapter.h"
#include "gsConnectionGuard.h"
#include "gsCrashGossip.h"
#include "gsDrainGossip.h"
#include "gsDuties.h"
#include "gsFleet.h"
#include "gsHallCluster.h"
#include "gsHttpClient.h"
#include "gsHttpServer.h"
#include "gsLoadSharing.h"
#include "gsMemoryGuard.h"
#include "gsMetrics.h"
#include "gsPrefixSharing.h"
#include "gsQuarantineStore.h"
#include "gsRateLimiter.h"
#include "gsRecentPeak.h"
#include "gsRouteGateway.h"
#include "gsSettings.h"
#include "gsStreamSharing.h"
#include "gsTableBarrier.h"
#include "gsTableSync.h"
#include "gsUpstreamFeed.h"
#include "gsVersionKeeper.h"

class gsRouteNode
{
public:
  gsRouteNode(gsLoop& loop, gsSettings settings, std::string settingsPath,
              gsAdapter adapter);
  ~gsRouteNode();
  gsRouteNode(gsRouteNode const&) = delete;
  gsRouteNode& operator=(gsRouteNode const&) = delete;

  /** Opens all ports. */
  gsResult<bool> Start();

  /**
   * Begins a planned stop: the host reports that it is not ready, and answers
   * close their connections. The loop ends when the last request has been
   * answered, or when the time limit of the settings expires.
   */
  void Stop();

  /** Reloads the settings file; an invalid one changes nothing. */
  void Reload(char const* cause);

private:
  bool CloseCallers();
  void StartStreamSharing();
  gsResult<bool> StartForwarding(gsHttpServerSettings settings);
  std::vector<gsForwardPeer> ForwardPeers() const;
  gsResult<bool> StartServers();
  void StartGuards();
  gsHallClusterEvents ClusterEvents();
  void OnRoutes();
  void ApplyEvacuatedHalls();
  void ApplyRoutes();
  void OnUpstreams();
  void AddServices(gsRouteTable const& table);
  bool IsReady() const;
  bool HandleQuarantineRequest(gsHttpExchange& exchange);
  void OnOperatorRequest(std::shared_ptr<gsHttpExchange> const& exchange);
  void Tick();
  void SendLoadReports();
  void CheckForStall(gsTime now);
  void OnStalled(gsTime duration, gsTime now);
  void ResumeIfCaughtUp(gsTime now);
  void ReloadIfChanged();
  void ApplySettings();
  bool IsProber(gsFingerprint const& part) const;
  void ApplyMinHosts(std::size_t recentPeak);
  void WriteGauges();

  gsLoop& Loop;
  gsSettings Settings;
  std::string SettingsPath;
  std::uint64_t SettingsFileStamp = 0;
  gsAdapter Adapter;
  std::uint64_t Incarnation;
  gsMetrics Metrics;
  gsHttpClient Client;
  gsFleet Fleet;
  gsLoadSharing LoadSharing;
  gsDrainGossip DrainGossip;
  gsPrefixSharing PrefixSharing;
  gsRateLimiter RateLimiter;
  gsTableBarrier TableBarrier;
  gsStreamSharing StreamSharing;
  gsVersionKeeper VersionKeeper;
  std::unique_ptr<gsTableSync> Tables;
  std::unique_ptr<gsHallCluster> Cluster;
  std::unique_ptr<gsRouteGateway> Gateway;
  std::unique_ptr<gsCrashGossip> CrashGossip;
  std::unique_ptr<gsQuarantineStore> QuarantineStore;
  std::unique_ptr<gsDuties> Duties; ///< Null if the host has no duties.
  std::unique_ptr<gsHttpServer> CallerServer;
  /** Accepts requests that other hosts forward; null if not configured. */
  std::unique_ptr<gsHttpServer> ForwardServer;
  std::unique_ptr<gsHttpServer> OperatorServer;
  // Made by StartServers.
  std::unique_ptr<gsMemoryGuard> MemoryGuard;
  std::unique_ptr<gsConnectionGuard> ConnectionGuard;
  gsTimer TickTimer;
  gsTimer LoadTimer;
  gsTimer StopTimer;
  std::shared_ptr<gsRouteTable const> RouteTable;
  gsUpstreamFeed UpstreamFeed; ///< Refers to Fleet, which must outlive it.
  gsRecentPeak PeakSystemSize;
  gsTime LastIterationAt{}; ///< When the loop was last known to run.
  /**
   * End of a stall after which the host is still catching up; zero if there is
   * none.
   */
  gsTime StallEndedAt{};
  gsTime SettingsCheckedAt{};
  gsTime StopRequestedAt{};
  bool IsStopping = false;
  bool IsQuiesced = false;
};
