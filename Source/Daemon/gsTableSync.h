/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Synchronises a host's replicas of the platform's tables. It watches the
 * tables at the platform while gsWatchDuty assigns that to this host, sends
 * changes to hosts that lack them, applies changes received from them, queries
 * changes that it has missed, and repairs replicas that diverge from those of
 * another host. gsTableExchange carries the changes.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gsAdapter.h"
#include "gsDivergenceCheck.h"
#include "gsHallCluster.h"
#include "gsHttpClient.h"
#include "gsRowFormat.h"
#include "gsSettings.h"
#include "gsTableExchange.h"
#include "gsTablePull.h"
#include "gsTableWatch.h"
#include "gsTableWire.h"
#include "gsWatchDuty.h"

/** Callbacks to the owner of a gsTableSync. */
struct gsTableSyncEvents
{
  /** Called when the replica of the table of routes has changed. */
  std::function<void()> OnRoutesChanged;
  /** Called when the replica of the table of upstreams has changed. */
  std::function<void()> OnUpstreamsChanged;
};

/** Settings for watching the table of routes. */
gsTableWatchSettings gsRoutesWatchSettings(gsSettings const& settings,
                                           gsAdapter const& adapter);
/** Settings for watching the table of upstreams. */
gsTableWatchSettings gsUpstreamsWatchSettings(gsSettings const& settings,
                                              gsAdapter const& adapter);

/**
 * Minimum interval between reads of the platform that repair a divergent
 * replica. While a host of the hall can reach the platform, a wrong replica is
 * repaired, whatever the cause, within the sum of a heartbeat interval (1 s),
 * the confirmation delay of the check (0.3 s), this interval and the interval
 * until the next query (0.5 s).
 */
constexpr gsTime gsTableRepairInterval = gsSeconds(2);

class gsTableSync
{
public:
  /** All referenced objects have to outlive this one. */
  gsTableSync(gsLoop& loop, gsHttpClient& client, gsAdapter const& adapter,
              gsSettings const& settings, gsTableSyncEvents events);

  /**
   * Reads both tables. If the setting FirstStart says that all hosts start for
   * the first time, it waits for other hosts of the hall to send the tables
   * before it reads them.
   * Has to be called before all other methods except FillHeader; the cluster
   * has to outlive this object.
   */
  void Start(gsHallCluster& cluster);

  /** Applies the table versions, digests and updates in a frame of another
   * host, and answers its queries. */
  void ReceiveFrame(std::string const& host, gradescale::Frame const& frame);
  /** Adds the row format, the age and the digests of the tables to a frame's
   * header. */
  void FillHeader(gradescale::Frame& frame) const;

  /** Performs due work; to be called several times per second. */
  void Tick(gsTime now);
  /** To be called after the process was suspended, as the replicas may be out
   * of date. */
  void OnStalled();
  /** Whether the platform, or a watching host of the hall with current tables,
   * has confirmed the replicas since the end of a stall. */
  bool HasCaughtUpSince(gsTime stallEnd) const;

  /**
   * Time since the platform last confirmed both replicas: to this host, or to
   * a watching host of the hall that has since reported the same tables. Empty
   * if it never did.
   */
  std::optional<gsTime> Age() const;
  /** Limit of Age while a host of the hall can watch the platform. */
  gsTime MaxAge() const;

  /** See gsTableWatch::Confirm. */
  void ConfirmRoutes(gsTime timeLimit, std::function<void(bool)> done)
  {
    this->Routes->Confirm(timeLimit, std::move(done));
  }
  void ConfirmUpstreams(gsTime timeLimit, std::function<void(bool)> done)
  {
    this->Upstreams->Confirm(timeLimit, std::move(done));
  }

  /** Whether this host watches the platform's tables. */
  bool IsWatching() const { return this->Duty.State != gsWatchState::Covered; }

  /** The replica of the table of routes. */
  gsTableWatch const& RoutesTable() const { return *this->Routes; }
  /** The replica of the table of upstreams. */
  gsTableWatch const& UpstreamsTable() const { return *this->Upstreams; }
  /** Returns and clears the keys of the upstreams' rows that have changed
   * since the last call. */
  std::vector<std::string> TakeChangedKeys()
  {
    return this->Upstreams->TakeChangedKeys();
  }
  /** Version of the last change of any table that this host has. */
  std::uint64_t LastChangeVersion() const;
  /** Number of calls made to the platform. */
  std::uint64_t CallCount() const;
  /** Number of confirmed divergences from another host at the same version. */
  std::uint64_t DivergenceCount() const { return this->DivergencesFound; }
  /** Number of received headers with malformed digests. */
  std::uint64_t MalformedHeaderCount() const { return this->MalformedHeaders; }

private:
  /** State of another host according to its last frame. */
  struct PeerState
  {
    bool LacksDigests = false; ///< It sends no digests, which was logged.
    /** Newest row format that both hosts can parse. */
    gsRowFormat RowFormat = gsRowFormat::Platform;
    /** It cannot parse the newest format of this host, which was logged. */
    bool ReadsOlderFormat = false;
  };

  /** State of the updates of a table that this host sends unrequested. */
  struct PushState
  {
    std::string Table;         ///< Name of the table.
    std::uint64_t Version = 0; ///< Changes up to it have been sent.
    gsTime PushedAt{};         ///< When an update was last sent.
    bool IsPending = false;    ///< Tick has to send further changes.
  };

  /** State of the repair of a table's replica. */
  struct RepairState
  {
    gsDivergenceCheck DivergenceCheck; ///< Hosts whose replicas diverge.
    gsTime LastReadAt{};  ///< Last read of the platform for a repair.
    gsTime LastQueryAt{}; ///< Last repair query to a watching host.
    /** Limits queries for missing changes to hosts of earlier releases. */
    gsTableQueryLimiter QueryLimiter;
  };

  gsTableWatch* WatchOf(std::string_view table);
  gsTablePull& PullOf(std::string_view table);
  RepairState& RepairStateOf(std::string_view table);
  void ReceiveRowFormat(std::string const& host,
                        gradescale::Frame const& frame);
  void ReceiveVersions(std::string const& host,
                       gradescale::Frame const& frame);
  gsTime LastAnswerAt() const;
  void ReceiveUpdates(std::string const& host, gradescale::Frame const& frame);
  void ApplyUpdate(std::string const& host, gradescale::TableNews const& wire);
  void AnswerQueries(std::string const& host, gradescale::Frame const& frame);
  bool CanAnswerRepairQuery(gradescale::TableQuery const& query);
  std::optional<gsTableUpdate> MakeAnswer(gsBulkRequest const& request);
  void CompareDigests(std::string const& host, gsTablesHeader const& header,
                      PeerState& peer);
  void RepairIfDivergent(std::string const& table, gsTime now);
  void Repair(std::string const& table, std::uint64_t version);
  void RereadTable(std::string const& table);
  void QueryWatcher(std::string const& table, std::uint64_t version);
  void PushOrDeferUpdate(gsTableWatch& watch, PushState& push);
  void PushUpdate(gsTableWatch& watch, PushState& push);
  void PushDeferredUpdates(gsTime now);
  void LogPush(PushState const& push, gsTableUpdate const& update,
               std::size_t hosts) const;
  void UpdateWatchState(gsTime now);
  void StartIfDue(gsTime now);
  std::uint32_t TablesAge() const;
  std::uint32_t ForwardedTablesAge() const;
  std::vector<std::string> HallHosts() const;
  std::vector<std::string> PushReceivers(std::string const& table,
                                         gsTableUpdate const& update);
  void QueryChanges(std::string const& host, std::string const& table);
  void QueryNewerPeer(std::string const& table, gsTime now);

  gsAdapter const& Adapter;
  gsSettings const& Settings;
  gsTableSyncEvents Events;
  gsHallCluster* Cluster = nullptr; ///< Set by Start.
  std::unique_ptr<gsTableWatch> Routes;
  std::unique_ptr<gsTableWatch> Upstreams;
  gsWatchDuty Duty; ///< Decides whether this host watches the platform.
  gsTableExchange Exchange;
  gsTablePull RoutesPull;
  gsTablePull UpstreamsPull;
  PushState RoutesPush;
  PushState UpstreamsPush;
  RepairState RoutesRepair;
  RepairState UpstreamsRepair;
  std::uint64_t DivergencesFound = 0;
  std::uint64_t MalformedHeaders = 0;
  /** The tables are being read, were received from another host, or are
   * watched. */
  bool HasStarted = false;
  /** When this host, as a watcher, last sent a heartbeat to its hall. */
  gsTime LastHeartbeatAt{};
  /** When this host last received a header from a watching host of its hall
   * that has no changes which this host lacks. */
  gsTime ConfirmedByPeerAt{};
  /** When the platform had confirmed that host's tables. */
  gsTime PeerCurrentAt{};
  std::unordered_map<std::string, PeerState> Peers; ///< By host.
};
