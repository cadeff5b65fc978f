/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Detects requests under which upstreams crash, from the outcomes of attempts,
 * and decides how each request is treated.
 *
 * An attempt whose connection breaks counts as a crash of its upstream, unless
 * the upstream sends something soon afterwards. All requests that ran on the
 * upstream at that time become suspects. The outcomes of their later attempts
 * distinguish the cause from the others: an upstream that answers a request
 * completely and stays alive is evidence against the suspicion.
 *
 * The parts of prompts that requests share are suspects in the same way,
 * unless the answer had been written for a while when the upstream crashed.
 * This host remembers the parts that have been used with success. A suspected
 * part that never has is treated more strictly; one that has may run once in a
 * while on one host of the system even if it is quarantined.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <nlohmann/json.hpp>

#include "gsFleet.h"
#include "gsMetrics.h"
#include "gsQuarantine.h"
#include "gsRoutedRequest.h"

class gsCrashWatch
{
public:
  /** The fleet and the metrics must outlive this object. */
  gsCrashWatch(gsFleet const& fleet, gsMetrics& metrics);

  /** Called for each new piece of evidence that this host has found. */
  using OnEvidence = std::function<void(gsCrashReport const& report)>;
  void SetEvidenceCallback(OnEvidence callback)
  {
    this->EvidenceCallback = std::move(callback);
  }

  /**
   * Called for each request that becomes quarantined, with whether evidence
   * found by this host caused it.
   */
  using OnQuarantined =
    std::function<void(gsFingerprint const& fingerprint, bool ownEvidence)>;
  void SetQuarantinedCallback(OnQuarantined callback)
  {
    this->QuarantinedCallback = std::move(callback);
  }

  /** Records the outcome of an attempt. */
  void RecordAttemptEnd(gsRoutedRequest& request, gsAttempt const& attempt,
                        gsAttemptResult const& result, gsTime now);
  /**
   * Merges evidence found by another host. LogReceived logs it later, one line
   * for each upstream. \return Whether it is new.
   */
  bool ApplyReport(gsCrashReport const& report, std::string_view host,
                   gsTime now);
  /**
   * Logs the evidence that was received since the last call, in one line for
   * each upstream; to be called about ten times per second.
   */
  void LogReceived(gsTime now);
  /**
   * Checks whether upstreams with pending checks have sent anything, and
   * removes expired evidence; to be called many times per second.
   */
  void ProcessPendingChecks(gsTime now);

  /** Records that the answer of an attempt is being written. */
  void RecordProgress(gsRoutedRequest& request, gsAttempt& attempt,
                      gsTime now);
  /** Sets how to find out whether this host is the one of the system that
   * probes a quarantined part. By default it is. */
  using IsProber = std::function<bool(gsFingerprint const& part)>;
  void SetProber(IsProber isProber) { this->Prober = std::move(isProber); }

  /** How a request is treated now. */
  gsSuspicionLevel SuspicionLevelOf(gsRoutedRequest& request,
                                    gsTime now) const;

  /**
   * Marks a contained request as running, unless another request that is
   * suspected for the same reason runs on this host. The mark lasts until
   * EndContained. \return Whether the request may run.
   */
  bool TryBeginContained(gsRoutedRequest& request, gsTime now);
  void EndContained(gsRoutedRequest& request);

  /** Time until the quarantine of a request ends. */
  gsTime QuarantineTimeLeft(gsRoutedRequest& request, gsTime now) const;

  /**
   * Lifts the suspicion from a request on all hosts, on behalf of the
   * operator. Three more crashes quarantine it again. \return Whether it was
   * suspected.
   */
  bool ClearSuspicion(gsFingerprint const& fingerprint, gsTime now);

  gsQuarantine const& SuspectTable() const { return this->Quarantine; }
  /**
   * Changes whenever evidence changes which requests are contained or
   * quarantined. It does not change when they expire.
   */
  std::uint64_t RestrictionsVersion() const { return this->Restrictions; }

  /** One row per request that is contained or quarantined. */
  nlohmann::json Status(gsTime now) const;

private:
  /**
   * A check, not completed yet, of whether an upstream is still alive. It
   * covers all requests that ended there at about the same time, so that the
   * crash of an upstream is processed once.
   */
  struct PendingCheck
  {
    gsCrashVerdict VerdictIfAlive = gsCrashVerdict::Alive;
    gsTime FirstObservedAt{};
    gsTime LastObservedAt{};
    std::vector<gsCrashReport> Reports; ///< All on one upstream.
  };
  /** Evidence received from other hosts that has not been logged. */
  struct Received
  {
    gsReceivedEvidence Evidence;
    std::string From; ///< Host that sent the first piece.
  };

  bool Merge(gsCrashReport const& report, bool isOwn, gsTime now);
  void AddOwn(gsCrashReport const& report, gsTime now);
  void AddPendingCheck(gsCrashReport const& report,
                       gsCrashVerdict verdictIfAlive);
  bool CompleteCheck(std::uint32_t upstream, PendingCheck const& check,
                     gsTime now);
  bool HadCrashedBefore(gsAttempt const& attempt) const;
  bool CrashedUnderRejections(gsAttempt const& attempt, gsTime now) const;
  void RecordCrash(gsRoutedRequest& request, gsAttempt const& attempt,
                   gsTime now);
  void RecordPartCrash(gsRoutedRequest& request, gsAttempt const& attempt,
                       gsTime now);
  void RecordSuccess(gsRoutedRequest& request, gsAttempt const& attempt,
                     gsTime now);
  void RememberSuccess(gsFingerprint const& part, gsTime now);
  bool HasSuspectParts(gsRoutedRequest& request) const;
  gsSuspicionLevel RequestSuspicion(gsRoutedRequest& request,
                                    gsTime now) const;
  gsSuspicionLevel PartSuspicion(gsRoutedRequest& request,
                                 gsFingerprint const& part, gsTime now) const;
  bool IsProbeDue(gsFingerprint const& part, gsTime now) const;

  gsFleet const& Fleet;
  gsMetrics& Metrics;
  OnEvidence EvidenceCallback;
  OnQuarantined QuarantinedCallback;
  gsQuarantine Quarantine;
  using CheckMap =
    std::unordered_map<std::uint32_t, std::vector<PendingCheck>>;
  CheckMap PendingChecks;         ///< By hash of the upstream's incarnation.
  std::size_t PendingReports = 0; ///< Number of reports in PendingChecks.
  /** By hash of the upstream's incarnation. */
  std::unordered_map<std::uint32_t, Received> Unlogged;
  std::uint64_t Restrictions = 1;
  /** Requests and parts for which contained requests run on this host. */
  std::unordered_set<gsFingerprint> RunningContained;
  /** Parts that this host's requests have used with success, with the last
   * time. At most MaxSuccesses. */
  std::unordered_map<gsFingerprint, gsTime> Successes;
  /** Probes of a quarantined part by this host. */
  struct Probes
  {
    unsigned Count = 0;
    gsTime LastAt{};
  };
  std::unordered_map<gsFingerprint, Probes> ProbesOf;
  IsProber Prober; ///< Null if this host is the only one.
  /**
   * When upstreams crashed, by hash of their incarnation. Entries are removed
   * after CleanupInterval, or when the upstream turns out to be alive.
   */
  std::unordered_map<std::uint32_t, gsTime> CrashedAt;
  gsTime CleanedUpAt{};
};
