/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What the callers' side of a host asks of the rest of the host.
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
  /** The host that dispatches a hall's pool; empty when there is none. */
  std::function<std::string(std::string_view hall, std::string_view pool)>
    DispatcherOf;
  /** Other halls that can be asked now. */
  std::function<std::vector<std::string>()> OtherHalls;
  std::function<void(std::string const& host, gsAsk const& ask)> SendAsk;
  std::function<void(std::string const& host, gsAsk const& ask)> SendWithdraw;
  std::function<void(std::string const& host, gsAsk const& ask,
                     std::string const& upstream)>
    SendRunning;
  std::function<void(std::string const& host, gsAsk const& ask,
                     gsTime firstToken, gsTime gap)>
    SendProgress;
  std::function<void(std::string const& host, gsAsk const& ask,
                     gsOutcome outcome, gsMeasured const& measured)>
    SendRelease;
  /** Whether hosts with waiting asks shall be watched. */
  std::function<void(std::string const& host, bool waiting)> Expect;
  std::function<bool(std::string const& upstream,
                     std::string const& incarnation)>
    IsLeaving;
  std::function<bool()> Ready;
  std::function<gsDocument const&()> Document;
};
