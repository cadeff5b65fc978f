/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsForwardingHost.h"

#include <string>
#include <utility>
#include <vector>

gsForwardingHost::gsForwardingHost(gsRouteBench& bench, std::string peer)
  : Bench(bench)
  , Client(bench.Loop)
{
  this->PeerServer =
    this->Listen([&bench](std::shared_ptr<gsHttpExchange> const& exchange) {
      bench.Gateway->OnForwarded(exchange);
    });
  bench.Gateway->Forwarder().Enable({ "token", "cluster" }, {});
  this->ListUnreachable();
  this->Gateway = std::make_unique<gsRouteGateway>(
    bench.Loop, this->Client, bench.Adapter, this->Fleet, this->Metrics,
    gsRouteGatewaySettings(), 1);
  gsRouteTable table = bench.MakeTable();
  gsIndexRoutes(table);
  this->Gateway->SetRoutes(
    std::make_shared<gsRouteTable const>(std::move(table)));
  if (peer.empty()) {
    peer = "127.0.0.1:" + std::to_string(this->PeerServer->Port());
  }
  this->Gateway->Forwarder().Enable({ "token", "cluster" }, [peer] {
    return std::vector<gsForwardPeer>{ { "peer", "north", peer, 1 } };
  });
  this->Server =
    this->Listen([this](std::shared_ptr<gsHttpExchange> const& exchange) {
      this->Gateway->OnExchange(exchange);
    });
}

void gsForwardingHost::ListUnreachable()
{
  gsListedUpstream dead;
  dead.Id = "dead";
  dead.Service = "model";
  dead.Address = "127.0.0.1:1";
  dead.Hall = "north";
  dead.Slots = 8;
  std::vector<gsListedUpstream> listed(3, dead);
  listed[1].Id = "dead2";
  listed[2].Id = "dead3";
  gsFleetReplaceListing(this->Fleet, listed);
}

std::unique_ptr<gsHttpServer> gsForwardingHost::Listen(
  gsHttpServer::Handler handler)
{
  gsHttpServerSettings settings;
  settings.Address = "127.0.0.1:0";
  return std::move(
    gsHttpServer::Start(this->Bench.Loop, settings, std::move(handler))
      .value());
}
