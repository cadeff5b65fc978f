/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A host of the routed mode that reaches no upstream, and forwards requests to
 * the host of a gsRouteBench, or to what listens at another address.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "gsRouteBench.h"

class gsForwardingHost
{
public:
  /** The bench must outlive this object. */
  explicit gsForwardingHost(gsRouteBench& bench, std::string peer = {});

  std::uint16_t Port() const { return this->Server->Port(); }

private:
  void ListUnreachable();
  std::unique_ptr<gsHttpServer> Listen(gsHttpServer::Handler handler);

  gsRouteBench& Bench;
  gsFleet Fleet;
  gsMetrics Metrics;
  gsHttpClient Client;
  std::unique_ptr<gsHttpServer> PeerServer; ///< Of the bench's host.
  std::unique_ptr<gsRouteGateway> Gateway;
  std::unique_ptr<gsHttpServer> Server;
};
