/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A gateway of the routed mode in the test's own loop, between callers of the
 * test and scripted upstreams, over real sockets. The platform's adapter
 * reads and writes what is spoken; there is no platform.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gsAdapter.h"
#include "gsFleet.h"
#include "gsHttpClient.h"
#include "gsHttpServer.h"
#include "gsMemoryGuard.h"
#include "gsMetrics.h"
#include "gsRateLimiter.h"
#include "gsRouteGateway.h"
#include "gsScriptedUpstream.h"

/** An answer as a caller sees it. */
struct gsCallerView
{
  bool Done = false;
  bool Whole = false; ///< It states its end, and came in whole.
  gsBodyEnd BodyEnd = gsBodyEnd::Unknown;
  unsigned Status = 0;
  gsHeaders Headers;
  std::string Body;
  std::uint64_t Call = 0;
  gsTime Ended{};

  std::string Header(std::string const& name) const;
};

using gsCallerViewPtr = std::shared_ptr<gsCallerView>;

/** What a caller sends. */
struct gsCallerSends
{
  std::string Method = "POST";
  std::string Target = "/plain/x";
  std::string Id = "id-1";
  std::string Key = "key-one";
  std::string Body = "hello";
  gsHeaders More;
  bool Keep = false; ///< On a kept connection.
};

class gsRouteBench
{
public:
  /** Routes: /plain/ (once), /safe/ (twice), /stream/, /resume/, and /patient/
   * with a lower priority. The memory mode applies to buffers only. */
  explicit gsRouteBench(gsRouteGatewaySettings const& settings = {},
                        gsFeatureMode memory = gsFeatureMode::Off);
  ~gsRouteBench();

  /** Adds an upstream and lists it. */
  gsScriptedUpstream& Add(std::string const& id,
                          gsScriptedUpstream::Script script);
  /** Lists the upstreams anew, some of them as leaving. */
  void List(std::vector<std::string> const& leaving = {});

  gsCallerViewPtr Send(gsCallerSends const& sends);
  /** Sends to another host of the test, at a port of this machine. */
  gsCallerViewPtr SendTo(std::uint16_t port, gsCallerSends const& sends);
  gsCallerViewPtr SendAndWait(gsCallerSends const& sends);
  void Leave(gsCallerViewPtr const& view) { this->Callers.Cancel(view->Call); }

  /** Runs the loop until it holds; false when time runs out. */
  bool RunUntil(std::function<bool()> const& holds, double seconds = 5);
  void RunFor(double seconds);

  /** Requests of all upstreams together. */
  std::size_t Arrivals() const;

  gsRouteTable MakeTable() const;

  gsLoop Loop;
  gsAdapter Adapter;
  gsMetrics Metrics;
  gsFleet Fleet;
  gsRateLimiter RateLimiter;
  gsHttpClient Upstreams;
  gsHttpClient Callers;
  std::vector<std::unique_ptr<gsScriptedUpstream>> Scripted;
  std::unique_ptr<gsRouteGateway> Gateway;
  std::unique_ptr<gsHttpServer> Server;
};
