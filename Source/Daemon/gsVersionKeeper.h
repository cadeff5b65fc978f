/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Keeps a table of the platform that names the recent software versions of
 * each service and the recent services of each route, and reads it when the
 * host starts. What is read and written is decided by gsStoredVersions.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "gsAdapter.h"
#include "gsHallCluster.h"
#include "gsHttpClient.h"
#include "gsSettings.h"
#include "gsStoredVersions.h"
#include "gsTableSync.h"

class gsVersionKeeper
{
public:
  /** All referenced objects have to outlive this one. */
  gsVersionKeeper(gsHttpClient& client, gsAdapter const& adapter,
                  gsSettings const& settings, gsFleet& fleet);
  ~gsVersionKeeper();
  gsVersionKeeper(gsVersionKeeper const&) = delete;
  gsVersionKeeper& operator=(gsVersionKeeper const&) = delete;

  /** Enables reads and writes. The cluster and the tables have to outlive this
   * object. */
  void Start(gsHallCluster& cluster, gsTableSync const& tables, gsTime now);
  /** Applies which routes and services have streams that callers resume. */
  void SetRoutes(gsRouteTable const& table, gsTime now);
  /** A version to send a stream to in place of an upstream's; see
   * gsOlderVersion. */
  std::optional<std::uint32_t> OlderVersion(
    gsListedUpstream const& upstream) const;
  /** Starts a call if one is due; to be called several times per second. */
  void Tick(gsTime now);
  /**
   * Reads the rows, beside a pending call. Calls back with whether this host
   * knows what they said when this was called, or later. A read that is still
   * under way is cancelled without calling back.
   */
  void Confirm(gsTime timeLimit, std::function<void(bool)> done);

private:
  /** Rows by key: version and value. */
  using VersionRows =
    std::map<std::string, std::pair<std::uint64_t, std::string>>;

  /** A read of all rows beside the calls of Store. */
  struct Confirmation
  {
    std::uint64_t Call = 0; ///< Pending call; zero if there is none.
    gsTime AskedAt{};
    gsTime Deadline{};
    VersionRows Rows; ///< Of the pages received so far.
    std::function<void(bool)> Done;
  };

  gsVersionStoreDuty Duty(gsTime now) const;
  void ReadConfirmation(std::string const& fromKey);
  bool ApplyConfirmation(gsAnswer const& answer);
  void StartCall(gsCall call, std::function<void(gsAnswer const&)> done);
  void Read(std::string const& fromKey);
  void OnReadCompleted(gsAnswer const& answer, gsTime askedAt);
  void ApplyRows(gsStoreClock const& clock);
  void Write(gsVersionStoreCall const& call);
  void OnWriteCompleted(gsRowWriteResult const& result,
                        gsVersionStoreCall const& call);

  gsHttpClient& Client;
  gsAdapter const& Adapter;
  gsSettings const& Settings;
  gsFleet& Fleet;
  gsVersionStore Store;
  VersionRows ReadRows; ///< Of the pages received so far of the current read.
  Confirmation Confirming;
  gsHallCluster* Cluster = nullptr;    ///< Set by Start.
  gsTableSync const* Tables = nullptr; ///< Set by Start.
  std::uint64_t PendingCall = 0; ///< Pending call; zero if there is none.
  gsTime StartedAt{};
};
