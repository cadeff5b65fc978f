/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The operators' interface: JSON over HTTP on a port of its own with its own
 * token. It reads status and configuration, takes changes, and follows each
 * change until every live host has it in force.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gsCluster.h"
#include "gsConfigStore.h"
#include "gsDispatcher.h"
#include "gsFields.h"
#include "gsGateway.h"
#include "gsHttpServer.h"
#include "gsPlatform.h"
#include "gsReplica.h"
#include "gsSettings.h"

/** The parts of a host that its operators' interface shows and drives. */
struct gsOperatorParts
{
  gsSettings const& Settings;
  gsConfigStore& Config;
  gsCluster& Cluster;
  gsDispatcher& Dispatcher;
  gsGateway& Gateway;
};

class gsOperatorApi
{
public:
  gsOperatorApi(gsLoop& loop, gsOperatorParts parts);

  void OnExchange(std::shared_ptr<gsHttpExchange> const& exchange);

  /** Hosts that the platform lists as live count as live here. */
  void TakeHostList(gsHostList const& list);

  void OnVersionQuery(std::uint64_t link,
                      gradescale::VersionQuery const& query);
  void OnVersionReply(std::string const& host,
                      gradescale::VersionReply const& reply);
  /** A host's version, as any frame of it says. */
  void NoteVersion(std::string const& host, std::uint64_t version);

private:
  /** Hosts that must have a version before it counts as accepted. */
  std::vector<std::string> LiveHosts(std::string_view hall) const;
  std::vector<std::string> AllLiveHosts() const;
  std::vector<std::string> Missing(std::uint64_t version) const;
  void Follow(std::uint64_t version);
  void AskMissing();
  void Query(std::string const& host, std::uint64_t version, bool hall);

  void ShowStatus(gsHttpExchange& exchange) const;
  void TakeChange(std::shared_ptr<gsHttpExchange> const& exchange);
  void ShowChange(gsHttpExchange& exchange, std::string const& id);
  gsJson ChangeState(gsChange const& change);

  gsOperatorParts Parts;
  gsTimer Timer;
  gsAcceptance Versions; ///< Versions that hosts are known to have.
  std::uint64_t Followed = 0;
  gsTime FollowUntil{};
  std::uint64_t NextQuery = 1;
  std::vector<gsListedHost> Listed;
};
