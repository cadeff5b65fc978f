/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Orders upstreams by demand on the host that holds the lease on duties. For
 * each hall and each kind of upstream, the number that gsScaling determines is
 * ordered if it differs from the number that exists. An order without a
 * response may still be executed later. The next order for the same hall and
 * kind is therefore sent only with a higher fencing token, so that the
 * platform refuses the older one.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "gsAdapter.h"
#include "gsFleet.h"
#include "gsHttpClient.h"
#include "gsLeaseKeeper.h"
#include "gsMetrics.h"
#include "gsScaling.h"
#include "gsScalingOrder.h"
#include "gsSettings.h"

class gsScaleDuty
{
public:
  /** All referenced objects have to outlive this one. */
  gsScaleDuty(gsHttpClient& client, gsAdapter const& adapter,
              gsSettings const& settings, gsMetrics& metrics,
              gsLeaseKeeper& lease, gsFleet const& fleet);
  ~gsScaleDuty();
  gsScaleDuty(gsScaleDuty const&) = delete;
  gsScaleDuty& operator=(gsScaleDuty const&) = delete;

  /**
   * Determines the wanted numbers and sends due orders if this host holds the
   * lease; otherwise discards its state.
   *
   * \param table The configuration, or null if it is not known yet.
   * \param millisPerToken Time that an engine takes to process a prompt token.
   */
  void Tick(std::shared_ptr<gsRouteTable const> const& table,
            double millisPerToken, gsTime now);

  /** Number of orders sent to the platform. */
  std::uint64_t CallCount() const { return this->CallsMade; }

private:
  /** Name of a service, and one of its pools. */
  using PoolKey = std::pair<std::string, gsScalingPool>;

  /** The last order for a pool. */
  struct OrderState
  {
    gsScalingOrder Order;
    std::uint64_t PendingCall = 0; ///< Zero if there is none.
  };

  void UpdateOrders(gsRouteService const& service, double millisPerToken,
                    gsTime now);
  void PlaceOrder(std::string const& service, gsScalingPool const& pool,
                  std::uint32_t wanted, std::uint32_t current, double demand,
                  gsTime now);
  void OnResponse(PoolKey const& key, gsAnswer const& answer);
  void Reset();

  gsHttpClient& Client;
  gsAdapter const& Adapter;
  gsSettings const& Settings;
  gsMetrics& Metrics;
  gsLeaseKeeper& Lease;
  gsFleet const& Fleet;
  std::map<std::string, gsScaling> Scalings; ///< By service.
  std::map<PoolKey, OrderState> Orders;      ///< Last orders, by pool.
  /** Startup times of upstreams, by service. */
  std::map<std::string, gsTime> Startups;
  gsTime LastDecisionAt{}; ///< When Tick last determined wanted numbers.
  std::uint64_t CallsMade = 0;
};

/** Numbers of the listed upstreams of a service that are not leaving. */
gsScalingCounts gsCountUpstreams(gsFleet const& fleet,
                                 std::string const& service);
