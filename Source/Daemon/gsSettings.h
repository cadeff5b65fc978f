/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Settings of one daemon: a JSON file with comments. docs/OPERATIONS.md lists
 * every field; each is checked when the file is read.
 */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gsDocument.h"
#include "gsFleet.h"
#include "gsMembership.h"
#include "gsPool.h"
#include "gsReplica.h"
#include "gsScaling.h"

struct gsSettings
{
  std::string Host;
  std::string Hall;
  /** Share of a processor core that this host may use: the strongest hosts of
   * a hall coordinate it. */
  double Cores = 1;
  std::string LogLevel = "info";

  struct
  {
    std::string Listen;
    std::uint64_t MaxBodyKib = 1024;
    std::uint64_t MaxHeaderKib = 16;
    std::uint64_t MaxAnswerKib = 8192;
    std::uint64_t MaxConnections = 4096;
    std::uint64_t MaxConnectionsPerIp = 4096;
    gsTime ReceiveTimeout = gsSeconds(30);
  } Callers;

  struct
  {
    std::string Listen;
    std::string Token;
  } Operators;

  struct
  {
    std::string Listen; ///< Empty for a system of one host.
    std::string Announce;
    std::string Token;
    std::string Cluster; ///< Cluster name; empty disables the check.
    std::vector<std::string> Seeds;
    std::map<std::string, std::string> Routes;
  } Peers;

  struct
  {
    bool Memory = false;
    bool Table = false; ///< The routed mode: the platform's tables rule.
    std::string Address;
    std::string Token;
    gsTime Timeout = gsMilliseconds(1500);
  } Platform;

  struct
  {
    gsTime ConnectTimeout = gsMilliseconds(1000);
    gsTime StallTimeout = gsSeconds(20);
    gsTime LoadPeriod = gsMilliseconds(500);
    std::string LoadPath = "/load";
  } Upstreams;

  struct
  {
    double Share = 0.1;
    double Burst = 10;
    /** Repeats saved up by all hosts together; zero: Burst for each host. */
    double BurstOfAll = 0;
  } Retry;

  /** Only for the routed mode. */
  struct
  {
    /** An upstream that leaves gets no new work after so long: what bounds how
     * long a watch of the platform is held, and news are gathered. */
    gsTime Leaving = gsMilliseconds(2000);
    gsTime WatchWait = gsMilliseconds(2000); ///< As Leaving, unless set.
    gsTime Silence = gsMilliseconds(700);
    gsTime RetryAfter = gsMilliseconds(300);
    gsTime LoadPeriod = gsMilliseconds(50);
    /** All hosts start for the first time, and no caller waits yet. */
    bool FirstStart = false;
    /** The region of each hall; empty where there is but one. */
    std::map<std::string, std::string> Regions;
  } Routing;

  /** What one host at a time does for all, in the routed mode. */
  struct
  {
    /** Where the platform takes calls on duties; empty for no duties. */
    std::string Address;
    bool Usage = false;                  ///< Usage is reported.
    bool Orders = false;                 ///< Upstreams are ordered by demand.
    gsTime Lease = gsMilliseconds(3000); ///< Longest without a renewal.
    gsTime Window = gsSeconds(5);        ///< Of a usage report.
    gsTime Late = gsSeconds(10);         ///< After its end a report is late.
  } Duties;

  /** How upstreams are ordered, where the configuration allows it. */
  gsScalingSettings Scaling;

  /** Choice of an upstream in the routed mode; Hall is set from above. */
  gsFleetSettings Placement;

  struct
  {
    gsTime Unready = gsMilliseconds(500);
    gsTime Longest = gsSeconds(600);
    gsTime Margin{}; ///< Before Longest, for the end itself.
  } Stop;

  gsPoolSettings Pool;
  gsMembershipSettings Membership;
  gsReplicaSettings Replica;
  /** First document of a system with the memory platform. */
  std::optional<gsDocument> Document;
};

/** Reads settings from text; source names it in errors. */
gsResult<gsSettings> gsSettingsFromText(std::string_view text,
                                        std::string_view source);

/** Reads a settings file. */
gsResult<gsSettings> gsSettingsFromFile(std::string const& path);
