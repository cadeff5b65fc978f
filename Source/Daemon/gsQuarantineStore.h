/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Stores quarantined requests in a table of the platform, one row per request.
 * Requests thereby stay refused after all hosts that had the evidence have
 * stopped, and in halls that cannot communicate with each other. A row is
 * written once per quarantine. A relay reads the table when it becomes relay,
 * and again while its hall restricts a request that another hall may already
 * refuse.
 */
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "gsAdapter.h"
#include "gsCrashWatch.h"
#include "gsHallCluster.h"
#include "gsHttpClient.h"
#include "gsSettings.h"

class gsQuarantineStore
{
public:
  /** All referenced objects have to outlive this one. */
  gsQuarantineStore(gsHttpClient& client, gsAdapter const& adapter,
                    gsSettings const& settings, gsCrashWatch& watch);
  ~gsQuarantineStore();
  gsQuarantineStore(gsQuarantineStore const&) = delete;
  gsQuarantineStore& operator=(gsQuarantineStore const&) = delete;

  /** Enables reads and writes. The cluster has to outlive this object. */
  void Start(gsHallCluster& cluster, gsTime now);

  /** Starts a read or a write if one is due; to be called several times per
   * second. */
  void Tick(gsTime now);

private:
  /** A quarantined request that is not known to have a row. */
  struct PendingRow
  {
    gsFingerprint Fingerprint;
    /** Evidence of this host led to the quarantine. */
    bool HasOwnEvidence = false;
  };

  bool IsRelay(gsTime now) const;
  bool HasRecentContainment(gsTime now) const;
  bool IsReadDue(gsTime now);
  void OnQuarantined(gsFingerprint const& fingerprint, bool ownEvidence);
  gsFingerprint const* NextToWrite(gsTime now) const;
  void RemovePending(gsFingerprint fingerprint);
  void Write(gsFingerprint fingerprint, std::uint64_t expected, gsTime now);
  void OnWriteCompleted(gsFingerprint const& fingerprint,
                        gsAnswer const& answer, gsRowWrite const& write);
  void Read();
  void OnReadCompleted(gsAnswer const& answer);
  void ApplyRow(gsTableRow const& row, gsTime now);
  void MarkExcessRows(std::vector<gsTableRow> const& rows);
  void StartCall(gsCall call, std::function<void(gsAnswer const&)> done);

  gsHttpClient& Client;
  gsAdapter const& Adapter;
  gsSettings const& Settings;
  gsCrashWatch& Watch;
  gsHallCluster* Cluster = nullptr;    ///< Set by Start.
  std::vector<PendingRow> PendingRows; ///< At most MaxPendingRows.
  /** Keys of rows that are expired, malformed or exceed MaxRows; removed with
   * the next writes. */
  std::set<std::string> ExpiredKeys;
  std::uint64_t PendingCall = 0; ///< Pending call; zero if there is none.
  gsTime StartedAt{};
  gsTime LastReadAt{}; ///< Start of the last read; zero before the first.
  /** When the last failed write completed; zero if none has failed. */
  gsTime LastFailedWriteAt{};
  /** This host was relay at the last check, and has not failed to read the
   * table since it became one. */
  bool WasRelay = false;
};
