/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Orders upstreams by demand, as the holder of the duty: what gsScaling wants
 * and is not there is ordered, hall by hall and kind by kind. An order that
 * was not answered may be carried out late; the next one of its subject goes
 * with a higher token, so that the platform refuses the older.
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
  /** All that is referred to outlives this. */
  gsScaleDuty(gsHttpClient& client, gsAdapter const& adapter,
              gsSettings const& settings, gsMetrics& metrics,
              gsLeaseKeeper& lease, gsFleet const& fleet);
  ~gsScaleDuty();
  gsScaleDuty(gsScaleDuty const&) = delete;
  gsScaleDuty& operator=(gsScaleDuty const&) = delete;

  /**
   * Decides and orders, if this host holds the duty. MillisPerToken is how
   * long an engine takes to read a token.
   */
  void Tick(std::shared_ptr<gsRouteTable const> const& table,
            double millisPerToken, gsTime now);

  std::uint64_t Calls() const { return this->Made; }

private:
  using Subject = std::pair<std::string, gsScalingSubject>; ///< With service.

  struct Ordered
  {
    gsScalingOrder Order;
    std::uint64_t Call = 0; ///< Under way; zero for none.
  };

  void Decide(gsRouteService const& service, double millisPerToken,
              gsTime now);
  void Order(std::string const& service, gsScalingSubject const& subject,
             std::uint32_t wanted, std::uint32_t there, double demand,
             gsTime now);
  void OnAnswer(Subject const& subject, gsAnswer const& answer);
  void LetGo();

  gsHttpClient& Client;
  gsAdapter const& Adapter;
  gsSettings const& Settings;
  gsMetrics& Metrics;
  gsLeaseKeeper& Lease;
  gsFleet const& Fleet;
  std::map<std::string, gsScaling> Scalings; ///< By service.
  std::map<Subject, Ordered> Orders;
  std::map<std::string, gsTime> Startups; ///< By service.
  gsTime Decided{};
  std::uint64_t Made = 0;
};

/** The upstreams of a service that are there and do not leave. */
gsScalingCounts gsCountUpstreams(gsFleet const& fleet,
                                 std::string const& service);
