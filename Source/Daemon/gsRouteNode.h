/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * One running host of the routed mode: its configuration and its upstreams
 * are tables of an outside platform, which an adapter reads for it. It keeps
 * both up by watching the tables and by what other hosts have read, and
 * serves callers by them.
 */
#pragma once

#include <memory>
#include <string>

#include "gsAdapter.h"
#include "gsCrashGossip.h"
#include "gsDrainGossip.h"
#include "gsDuties.h"
#include "gsFleet.h"
#include "gsHallCluster.h"
#include "gsHttpClient.h"
#include "gsHttpServer.h"
#include "gsLoadSharing.h"
#include "gsMetrics.h"
#include "gsQuarantineStore.h"
#include "gsRateLimiter.h"
#include "gsRecentPeak.h"
#include "gsRouteGateway.h"
#include "gsSettings.h"
#include "gsTableSync.h"
#include "gsUpstreamFeed.h"

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
   * A planned stop: not ready, answers close their connections; the loop ends
   * when the last request has its answer.
   */
  void Stop();

  /** Reads the settings file anew; a bad one changes nothing. */
  void Reload(char const* cause);

private:
  gsResult<bool> StartServers();
  gsHallClusterEvents ClusterEvents();
  void OnRoutes();
  void TakeEvacuated();
  void TakeRoutes();
  void OnUpstreams();
  void NoteServices(gsRouteTable const& table);
  bool Ready() const;
  bool AnswersQuarantine(gsHttpExchange& exchange);
  void OnOperators(std::shared_ptr<gsHttpExchange> const& exchange);
  void Tick();
  void TellLoads();
  void NoteTurn(gsTime now);
  void OnStalled(gsTime gap, gsTime now);
  void CatchUp(gsTime now);
  void LookAtSettings();
  void ApplySettings();
  void WriteGauges();

  gsLoop& Loop;
  gsSettings Settings;
  std::string SettingsPath;
  std::uint64_t SettingsStamp = 0;
  gsAdapter Adapter;
  std::uint64_t Incarnation;
  gsMetrics Metrics;
  gsHttpClient Client;
  gsFleet Fleet;
  gsLoadSharing Loads;
  gsDrainGossip DrainGossip;
  gsRateLimiter RateLimiter;
  std::unique_ptr<gsTableSync> Tables;
  std::unique_ptr<gsHallCluster> Cluster;
  std::unique_ptr<gsRouteGateway> Gateway;
  std::unique_ptr<gsCrashGossip> CrashGossip;
  std::unique_ptr<gsQuarantineStore> QuarantineStore;
  std::unique_ptr<gsDuties> Duties; ///< Null where there are none.
  std::unique_ptr<gsHttpServer> CallerServer;
  std::unique_ptr<gsHttpServer> OperatorServer;
  gsTimer TickTimer;
  gsTimer LoadTimer;
  gsTimer StopTimer;
  std::shared_ptr<gsRouteTable const> Table;
  gsUpstreamFeed Upstreams; ///< Outlived by Fleet.
  gsRecentPeak SystemSize;
  gsTime LastTurn{};     ///< When it was last seen that the loop runs.
  gsTime StoodStillAt{}; ///< End of a stall that is not caught up with.
  gsTime LastLook{};
  gsTime StopSince{};
  bool Stopping = false;
  bool Quiesced = false;
};
