/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Exchanges rate limits of upstreams, and the tokens that enforce them, with
 * other hosts; also the tokens for the slots of services that have fewer slots
 * than there are hosts. All hosts know these slots from the list of upstreams,
 * so only shares and tokens are exchanged.
 *
 * Upstreams that state how many rejections in a second they bear share their
 * slots too, whatever their number and the service; see gsSlotRoom.h. Their
 * statements are exchanged as rate limits are.
 *
 * A host sends a changed limit to the relay of its hall, which
 * forwards it to its hall and to the relays of other halls.
 *
 * While there are limits, relays send a digest twice a second. The digest
 * reveals limits that a host has missed, and announces that the relay issues
 * tokens. A host that receives no digest from its relay sends all limits to it
 * once per second.
 */
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "gsFeatureMode.h"
#include "gsFleet.h"
#include "gsHallCluster.h"
#include "gsLoop.h"
#include "gsMetrics.h"
#include "gsRouteGateway.h"

class gsRateLimiter
{
public:
  /** The loop and the fleet, which stores the limits, must outlive this
   * object. */
  gsRateLimiter(gsLoop& loop, gsFleet& fleet);

  /** The cluster must outlive this object. */
  void Start(gsHallCluster& cluster) { this->Cluster = &cluster; }

  /**
   * Connects a gateway: supplies it with tokens and publishes the limits that
   * its answers name. The gateway must outlive this object.
   */
  void ConnectGateway(gsRouteGateway& gateway);

  /**
   * Sets the recent peak number of hosts, each of which owns an equal share of
   * each limit.
   */
  void SetRecentPeakHosts(std::size_t hosts);

  /** Sets whether slots are shared; in a dry run attempts need no token. */
  void SetSlotSharing(gsFeatureMode mode);

  /** Determines which upstreams' slots are shared: those of services without
   * an engine whose upstreams have fewer slots than there are hosts, and those
   * of upstreams with a rejection limit. To be called when the size of the
   * system is known. */
  void UpdateSharedSlots(gsRouteTable const& table, gsTime now);

  /** Processes the rate limit fields of a frame from another host. */
  void OnReceive(std::string const& host, gradescale::Frame const& frame);
  /** Runs periodic work; to be called about ten times per second. */
  void Tick(gsTime now);

  /** One row per limit of an upstream. */
  nlohmann::json Status(gsTime now) const;
  void WriteGauges(gsMetrics& metrics, gsTime now) const;

private:
  using Hosts = std::vector<std::string>;
  using SlotCounts = std::unordered_map<std::uint32_t, std::uint32_t>;
  /** Limits that are replicated to all hosts by notices and digests. */
  struct Replicated
  {
    gsRateLimits& Limits;
    bool IsRejections; ///< Whether these are rejection limits.
    /** Since when the digest of each host has differed; hosts whose last
     * digest matched are absent. */
    std::unordered_map<std::string, gsTime> MismatchedSince;
  };

  void Publish();
  bool RequestTokens(std::uint32_t upstream, std::uint32_t count,
                     gsTime until);
  void NotifyChange();
  void UpdateRoles(gsTime now);
  void Run(gsTime now);
  void SendMessages(gsRateLimits& limits, gsTime now);
  void ReceiveTokens(std::string const& host, gradescale::Frame const& frame,
                     gsTime now);
  void LogIssuerChanges();
  void ScheduleRun();
  void DeliverTokens();
  SlotCounts FindSmallServices(gsRouteTable const& table) const;
  std::unordered_map<std::uint32_t, double> FindRejectionLimits(
    gsTime now) const;
  bool ShareSlots(gsTime now);
  std::optional<gsTime> UpdateRejectionLimits(gsTime now);
  bool HasLimits() const;
  void SendNotice(Replicated const& replicated,
                  gsRateLimitNotice const& notice, Hosts const& hosts);
  void SendAll(std::string const& host, gsTime now);
  void SendDigest(gsTime now);
  void ApplyNotices(std::string const& host, gradescale::Frame const& frame,
                    gsTime now);
  bool ApplyNotice(Replicated& replicated, gradescale::RateLimit const& wire,
                   std::string const& host, gsTime now);
  void CompareDigest(Replicated& replicated, std::string const& host,
                     std::uint64_t digest, gsTime now);
  std::string NameOf(std::uint32_t upstream) const;

  gsLoop& Loop;
  gsFleet& Fleet;
  gsRateLimits& Limits;
  gsRateLimits& Slots;
  Replicated Rates;
  Replicated Rejections;
  SlotCounts SmallServiceSlots; ///< By hash of the upstream's incarnation.
  gsFeatureMode SlotMode = gsFeatureMode::Off;
  gsTime SharedSlotsUpdatedAt{};
  gsTime RejectionLimitsUpdatedAt{};
  /** Issuer to which this host's slots were lent last, by upstream. */
  std::unordered_map<std::uint32_t, std::string> LoggedIssuers;
  gsHallCluster* Cluster = nullptr;  ///< Set by Start.
  gsRouteGateway* Gateway = nullptr; ///< Set by ConnectGateway.
  gsTimer DueTimer;
  bool RunScheduled = false;
  gsTime RolesUpdatedAt{};
  gsTime DigestSentAt{};
  gsTime AllLimitsSentAt{};
  gsTime CleanedUpAt{};
};
