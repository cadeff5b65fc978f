/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The operators' interface: JSON over HTTP on a port of its own with its own
 * token. It serves status and configuration, accepts changes, and tracks each
 * change until it is active on every live host or a time limit has passed.
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
#include "gsFieldReader.h"
#include "gsGateway.h"
#include "gsHttpServer.h"
#include "gsPlatform.h"
#include "gsReplica.h"
#include "gsSettings.h"

/** The components of a host that the operators' interface uses. */
struct gsOperatorParts
{
  gsSettings const& Settings;
  gsConfigStore& Config;
  gsCluster& Cluster;
  gsDispatcher& Dispatcher;
  gsGateway& Gateway;
};

/** Handles the requests of operators and the version queries of peers. */
class gsOperatorApi
{
public:
  gsOperatorApi(gsLoop& loop, gsOperatorParts parts);

  void OnExchange(std::shared_ptr<gsHttpExchange> const& exchange);

  /** Updates the platform's host list; its live hosts count as live here. */
  void UpdateHostList(gsHostList const& list);

  void OnVersionQuery(std::uint64_t link,
                      gradescale::VersionQuery const& query);
  void OnVersionReply(std::string const& host,
                      gradescale::VersionReply const& reply);
  /** Records a host's version from the header of one of its frames. */
  void RecordVersion(std::string const& host, std::uint64_t version);

private:
  /** Hosts of a hall that must have a version before it counts as accepted. */
  std::vector<std::string> LiveHosts(std::string_view hall) const;
  std::vector<std::string> AllLiveHosts() const;
  std::vector<std::string> MissingHosts(std::uint64_t version) const;
  void TrackVersion(std::uint64_t version);
  void QueryMissing();
  void SendVersionQuery(std::string const& host, std::uint64_t version,
                        bool hall);

  void ShowStatus(gsHttpExchange& exchange) const;
  void SubmitChange(std::shared_ptr<gsHttpExchange> const& exchange);
  void ShowChange(gsHttpExchange& exchange, std::string const& id);
  gsJson ChangeState(gsChange const& change);

  gsOperatorParts Parts;
  gsTimer Timer;
  gsVersionTracker Versions;        ///< Versions reported by other hosts.
  std::uint64_t TrackedVersion = 0; ///< Highest version being tracked.
  gsTime TrackUntil{};              ///< When queries for it stop.
  std::uint64_t NextQuerySequence = 1;
  std::vector<gsListedHost> ListedHosts; ///< The platform's host list.
};
