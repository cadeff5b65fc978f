/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The dispatching side of a host: the pools that it is asked for, run by the
 * core's systems, and the load reports of their upstreams.
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

/** The link number of this host itself. */
constexpr std::uint64_t gsLocalLink = 0;

/** Upstreams a pool; a service with more in a hall is split. */
constexpr std::size_t gsMaxPoolUpstreams = 32;

/** Name of a pool. */
std::string gsPoolName(std::string_view service, std::string_view hall,
                       std::size_t part);

/** In how many pools a service of a hall is split; 0 when there is none. */
std::size_t gsPoolParts(gsDocument const& document, std::string_view service,
                        std::string_view hall);

class gsDispatcher
{
public:
  struct Hooks
  {
    std::function<void(gsGrant const& grant)> OnGrant;
    std::function<void(gsRefusal const& refusal)> OnRefusal;
    /** Whether the upstream's incarnation is known to leave. */
    std::function<bool(std::string const& upstream,
                       std::string const& incarnation)>
      IsLeaving;
    /** An upstream reported that it leaves. */
    std::function<void(std::string const& upstream,
                       std::string const& incarnation)>
      OnLeaving;
    /** Whether this host dispatches the pool in the members' view. */
    std::function<bool(std::string const& pool)> IsOurs;
  };

  gsDispatcher(gsLoop& loop, gsHttpClient& client, gsSettings const& settings,
               gsMetrics& metrics, Hooks hooks);

  /** Takes over the upstreams of this hall from the document. */
  void TakeDocument(gsDocument const& document);
  /** Looks at the leaving marks anew. */
  void RefreshLeaving();

  void Ask(gsAsk ask, std::uint64_t link);
  void Withdraw(std::string const& pool, gsRequestId const& id);
  void Progress(std::string const& pool, gsRequestId const& id,
                gsTime firstToken, gsTime gap);
  void Release(std::string const& pool, gsRequestId const& id,
               gsOutcome outcome, gsMeasured const& measured);
  void Adopt(gsAsk const& ask, std::string_view upstream, std::uint64_t link);
  void LinkDown(std::uint64_t link);

  /** Runs the pools that have news. Called before the loop waits. */
  void RunDirty();

  /** While paused, nothing is granted. */
  void Pause(bool paused);

  std::map<std::string, gsPool, std::less<>> const& Pools() const
  {
    return this->Table;
  }
  void WriteGauges();

private:
  gsPool& PoolOf(std::string const& name);
  void Touch(std::string const& pool);
  void Tick();
  void Run(gsPool& pool);
  void RefuseUnqueued(gsAsk const& ask, std::uint64_t link,
                      gsRefusalCause cause);
  void LogEvents(std::string const& pool, gsPoolOutput const& out);
  void PollLoads();
  void OnLoad(std::string const& pool, std::string const& upstream,
              gsAnswer const& answer);

  gsLoop& Loop;
  gsHttpClient& Client;
  gsSettings const& Settings;
  gsMetrics& Metrics;
  Hooks Call;
  gsTimer Timer;
  gsTimer LoadTimer;
  gsDocument const* Document = nullptr;
  std::map<std::string, gsPool, std::less<>> Table;
  std::set<std::string> Dirty;
  std::set<std::string> LoadAsked; ///< Upstreams with a poll under way.
  std::unordered_map<std::uint64_t, gsTime> Orphaned; ///< Links that broke.
  bool Paused = false;
  bool Ticking = false;
};
