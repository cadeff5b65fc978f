/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Callbacks from the gateway of a host to the host's other parts: membership,
 * messages to dispatchers, and the current document.
 */
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "gsDocument.h"
#include "gsPool.h"

struct gsGatewayHooks
{
  /** The host that dispatches a hall's pool; empty if there is none. */
  std::function<std::string(std::string_view hall, std::string_view pool)>
    DispatcherOf;
  /** Other halls to which grant requests can be sent now. */
  std::function<std::vector<std::string>()> OtherHalls;
  std::function<void(std::string const& host, gsGrantRequest const& ask)>
    SendGrantRequest;
  std::function<void(std::string const& host, gsGrantRequest const& ask)>
    SendWithdraw;
  std::function<void(std::string const& host, gsGrantRequest const& ask,
                     std::string const& upstream)>
    SendRunning;
  std::function<void(std::string const& host, gsGrantRequest const& ask,
                     gsTime firstToken, gsTime gap)>
    SendProgress;
  std::function<void(std::string const& host, gsGrantRequest const& ask,
                     gsGrantOutcome outcome,
                     gsGrantMeasurements const& measured)>
    SendRelease;
  /** Starts or stops monitoring a host, depending on whether grant requests
   * wait for its answer. */
  std::function<void(std::string const& host, bool waiting)>
    SetExpectingAnswer;
  std::function<bool(std::string const& upstream,
                     std::string const& incarnation)>
    IsLeaving;
  std::function<bool()> IsReady;
  std::function<gsDocument const&()> Document;
};
