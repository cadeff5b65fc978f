/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Dispatches the requests of a host's pools. A pool is a part of a service's
 * upstreams in one hall; it queues grant requests and assigns them to
 * upstreams by the functions of gsPool.h. Grants and refusals are delivered
 * through callbacks. The dispatcher also polls the load of the upstreams in
 * its hall.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gsDocument.h"
#include "gsHttpClient.h"
#include "gsMetrics.h"
#include "gsPool.h"
#include "gsSettings.h"

/** Link number of grant requests that originate on this host. */
constexpr std::uint64_t gsLocalLink = 0;

/** Max. upstreams per pool. A service with more in a hall is split into
 * several pools. */
constexpr std::size_t gsMaxUpstreamsPerPool = 32;

/** Name of one part of a service's pool in a hall. */
std::string gsPoolName(std::string_view service, std::string_view hall,
                       std::size_t part);

/** Number of pools that a service of a hall is split into; 0 if the hall has
 * no upstream of the service. */
std::size_t gsPoolPartCount(gsDocument const& document,
                            std::string_view service, std::string_view hall);

class gsDispatcher
{
public:
  struct Hooks
  {
    std::function<void(gsGrant const& grant)> OnGrant;
    std::function<void(gsRefusal const& refusal)> OnRefusal;
    /** Whether the incarnation of the upstream is marked as shutting down. */
    std::function<bool(std::string const& upstream,
                       std::string const& incarnation)>
      IsLeaving;
    /** Called when an upstream reports that it is shutting down. */
    std::function<void(std::string const& upstream,
                       std::string const& incarnation)>
      OnLeaving;
    /** Whether this host dispatches the pool by the current membership. */
    std::function<bool(std::string const& pool)> IsOurs;
  };

  gsDispatcher(gsLoop& loop, gsHttpClient& client, gsSettings const& settings,
               gsMetrics& metrics, Hooks hooks);

  /** Updates the pools from the upstreams that the document lists for this
   * hall. */
  void ApplyDocument(gsDocument const& document);
  /** Updates from the hooks which upstreams are shutting down. */
  void RefreshLeaving();

  /** Queues a grant request, or refuses it if no upstream can take it. */
  void RequestGrant(gsGrantRequest ask, std::uint64_t link);
  void Withdraw(std::string const& pool, gsRequestId const& id);
  void ReportProgress(std::string const& pool, gsRequestId const& id,
                      gsTime firstToken, gsTime gap);
  void Release(std::string const& pool, gsRequestId const& id,
               gsGrantOutcome outcome, gsGrantMeasurements const& measured);
  /** Counts a request that is already running, granted by another dispatcher.
   */
  void AdoptRunning(gsGrantRequest const& ask, std::string_view upstream,
                    std::uint64_t link);
  /** Withdraws the link's waiting requests. Its running ones keep their slots
   * for 3 s, so that another link can adopt them. */
  void OnLinkDown(std::uint64_t link);

  /** Runs the pools that have changed. Called before the loop waits. */
  void RunDirtyPools();

  /** Suspends or resumes dispatching. While paused, nothing is granted. */
  void SetPaused(bool paused);

  std::map<std::string, gsPool, std::less<>> const& Pools() const
  {
    return this->PoolTable;
  }
  void UpdateGauges();

private:
  gsPool& FindOrCreatePool(std::string const& name);
  void MarkDirty(std::string const& pool);
  void Tick();
  void Run(gsPool& pool);
  void RefuseUnqueued(gsGrantRequest const& ask, std::uint64_t link,
                      gsRefusalCause cause);
  void LogEvents(std::string const& pool, gsPoolOutput const& out);
  void PollLoads();
  void OnLoad(std::string const& pool, std::string const& upstream,
              gsAnswer const& answer);

  gsLoop& Loop;
  gsHttpClient& Client;
  gsSettings const& Settings;
  gsMetrics& Metrics;
  Hooks Callbacks;
  gsTimer Timer;
  gsTimer LoadTimer;
  gsDocument const* Document = nullptr;
  std::map<std::string, gsPool, std::less<>> PoolTable; ///< By name.
  std::set<std::string> DirtyPools; ///< Pools to run before the loop waits.
  std::set<std::string>
    PendingLoadPolls; ///< Upstreams with a load poll in progress.
  std::unordered_map<std::uint64_t, gsTime>
    BrokenLinks; ///< Broken links, by the time of their loss.
  bool Paused = false;
  bool TimerRunning = false; ///< Whether Timer runs; it stops when idle.
};
