/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Exchanges evidence on requests that crash upstreams between hosts. A host
 * sends new evidence to the relay of its hall, and a relay forwards it to the
 * relays of the other halls. A relay sends evidence to the hosts of its hall
 * only for requests under which at least two upstreams have crashed, since
 * only those are restricted. The evidence of about 100 ms is sent as one
 * message, which is encoded once for all of its receivers.
 *
 * While there are restricted requests, hosts exchange a digest of them twice a
 * second. A digest that keeps differing reveals evidence that was lost, or
 * that was sent while a host was down, and triggers an exchange of all of it.
 */
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "gsCrashWatch.h"
#include "gsHallCluster.h"

class gsCrashGossip
{
public:
  /** The loop and the watch must outlive this object. */
  gsCrashGossip(gsLoop& loop, gsCrashWatch& watch);

  /** The cluster must outlive this object. */
  void Start(gsHallCluster& cluster) { this->Cluster = &cluster; }

  /**
   * Processes the evidence, digest and request for evidence in a frame from
   * another host.
   */
  void OnReceive(std::string const& host, gradescale::Frame const& frame);
  /**
   * Sends pending evidence and, when due, a digest; to be called about ten
   * times per second.
   */
  void Tick(gsTime now);

private:
  using Hosts = std::vector<std::string>;

  using Requests =
    google::protobuf::RepeatedPtrField<gradescale::SuspectRequest>;

  bool IsRelay(gsTime now) const;
  Hosts OtherRelays(gsTime now) const;
  Hosts DigestReceivers(gsTime now) const;
  void SchedulePublish(gsFingerprint const& fingerprint);
  void PublishUnsent(gsTime now);
  Requests Encode(std::vector<gsFingerprint> const& fingerprints,
                  std::size_t minCrashes, gsTime now) const;
  void Send(Requests const& requests, std::string const& host);
  void SendAllEvidence(std::string const& host, gsTime now);
  void SendDigest(gsTime now);
  std::uint64_t Digest(gsTime now);
  void CompareDigest(std::string const& host, std::uint64_t digest,
                     gsTime now);

  gsLoop& Loop;
  gsCrashWatch& Watch;
  gsHallCluster* Cluster = nullptr; ///< Set by Start.
  gsEvidenceQueue Unsent;
  bool IsPublishScheduled = false;
  /**
   * Digest of the restricted requests, computed at DigestedAt for
   * DigestedVersion of the restrictions.
   */
  std::uint64_t LastDigest = 0;
  std::uint64_t DigestedVersion = 0;
  gsTime DigestedAt{};
  /**
   * Since when the digest of each host has differed; hosts whose last digest
   * matched are absent.
   */
  std::unordered_map<std::string, gsTime> MismatchedSince;
  gsTime DigestSentAt{};
};
