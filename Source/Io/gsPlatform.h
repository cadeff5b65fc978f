/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The platform as the system sees it: a transactional table and a lagging
 * list of hosts. The two kinds, HTTP and in memory, are made by free
 * functions; a struct of functions is all that the daemon knows of them.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gsClaims.h"
#include "gsHttpClient.h"
#include "gsLoop.h"

/** One row of the platform's host list; it lags behind reality. */
struct gsListedHost
{
  std::string Host;
  std::string Hall;
  std::string Address;
  bool Leaving = false;
};

/** An upstream that the platform's list says is leaving. */
struct gsHostList
{
  std::vector<gsListedHost> Hosts;
  std::vector<std::string> LeavingUpstreams;
};

/**
 * The platform's functions. An error means that it is not known whether the
 * operation took effect. Callbacks come from the loop, never from the call.
 */
struct gsPlatform
{
  using Results = gsResult<std::vector<gsTableResult>>;
  std::function<void(std::vector<gsTableOperation> const& ops,
                     std::function<void(Results const&)> done)>
    Transact;
  std::function<void(std::function<void(gsResult<gsHostList> const&)> done)>
    ListHosts;
};

struct gsHttpPlatformSettings
{
  std::string Address; ///< IP:port.
  std::string Token;
  gsTime Timeout = gsMilliseconds(1500);
};

/** The platform's service over HTTP. */
gsPlatform gsMakeHttpPlatform(gsHttpClient& client,
                              gsHttpPlatformSettings const& settings);

/** Applies operations to a table in memory, in order. */
std::vector<gsTableResult> gsApplyToTable(
  std::map<std::string, std::string>& table,
  std::vector<gsTableOperation> const& ops);

/** A table within this process, for a system of one daemon. */
gsPlatform gsMakeMemoryPlatform(gsLoop& loop);

/** Operations and results as JSON, as they stand in the HTTP interface. */
std::string gsOpsToJson(std::vector<gsTableOperation> const& ops);
gsResult<std::vector<gsTableOperation>> gsOpsFromJson(std::string_view text);
std::string gsResultsToJson(std::vector<gsTableResult> const& results);
gsResult<std::vector<gsTableResult>> gsResultsFromJson(std::string_view text);
