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
#include "gsFeatureMode.h"
#include "gsFleet.h"
#include "gsMembership.h"
#include "gsMemoryBudget.h"
#include "gsPool.h"
#include "gsReplica.h"
#include "gsScaling.h"

/** All settings of a daemon, with their defaults. */
struct gsSettings
{
  std::string Host;
  std::string Hall;
  /** Processor cores that this host may use, possibly less than one. The
   * hosts of a hall with the most cores coordinate it. */
  double Cores = 1;
  /** Descriptors that the process may use; zero for as many as it may open. */
  std::uint64_t Descriptors = 0;
  std::string LogLevel = "info";

  struct
  {
    std::string Listen;
    std::uint64_t MaxBodyKib = 1024;
    std::uint64_t MaxHeaderKib = 16;
    std::uint64_t MaxAnswerKib = 8192;
    std::uint64_t MaxEventKib = 1024; ///< Of one event of a stream.
    /** Zero for as many as gsLimitConnections allows. */
    std::uint64_t MaxConnections = 0;
    std::uint64_t MaxConnectionsPerIp = 0; ///< Zero for MaxConnections.
    gsTime ReceiveTimeout = gsSeconds(30);
  } Callers;

  struct
  {
    std::string Listen;
    std::string Token;
  } Operators;

  struct
  {
    std::string Listen;   ///< Empty for a system of one host.
    std::string Announce; ///< Address announced to peers; default Listen.
    std::string Token;
    std::string Cluster; ///< Cluster name; empty disables the check.
    std::vector<std::string> Seeds;
    std::map<std::string, std::string> Routes;
    /** Address at which requests that other hosts forward are accepted; empty
     * to accept and forward none; routed mode. */
    std::string ForwardListen;
  } Peers;

  struct
  {
    bool Memory = false; ///< Uses the in-memory platform of this process.
    bool Table = false;  ///< Routed mode, which uses the platform's tables.
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
    /** Address to dial in place of the one that an upstream lists; routed
     * mode.
     */
    std::map<std::string, std::string> Routes;
  } Upstreams;

  struct
  {
    double Share = 0.1; ///< Retries earned per request.
    double Burst = 10;  ///< Maximum saved retries of a host.
    /** Maximum saved retries of all hosts combined, in routed mode; zero
     * applies Burst to each host. */
    double BurstOfAll = 0;
  } Retry;

  /** Settings that apply only in routed mode. */
  struct
  {
    /** Time after which a leaving upstream gets no new work. It bounds how
     * long a watch of the platform is held and updates are batched. */
    gsTime Leaving = gsMilliseconds(2000);
    gsTime WatchWait = gsMilliseconds(2000); ///< Defaults to Leaving.
    gsTime Silence = gsMilliseconds(700);
    gsTime RetryAfter = gsMilliseconds(300);
    gsTime LoadPeriod = gsMilliseconds(50);
    /** All hosts start for the first time and no caller is waiting. */
    bool FirstStart = false;
    /** The region of each hall; empty if there is only one. */
    std::map<std::string, std::string> Regions;
  } Routing;

  /** Duties that one host at a time performs for all, in routed mode. */
  struct
  {
    /** Platform address for duty calls; empty disables duties. */
    std::string Address;
    bool Usage = false;                  ///< Usage is reported.
    bool Orders = false;                 ///< Upstreams are ordered by demand.
    gsTime Lease = gsMilliseconds(3000); ///< Validity without renewal.
    gsTime Window = gsSeconds(5);        ///< Span of a usage report.
    /** A report is late when this time has passed since its window ended. */
    gsTime Late = gsSeconds(10);
  } Duties;

  /** Rules for ordering upstreams by demand, if the configuration allows it.
   */
  gsScalingSettings Scaling;

  /** Features for hard load, in routed mode; see docs/design/hard-load.md. */
  struct
  {
    gsFeatureMode Overload = gsFeatureMode::Off;
    gsFeatureMode PrefixDirectory = gsFeatureMode::Off;
    /** Number of hosts from which on the directory is used. With few hosts,
     * each one knows most of what engines hold from its own requests. */
    std::uint64_t PrefixMinHosts = 1;
    gsFeatureMode EngineSpeed = gsFeatureMode::Off;
    /** Number of hosts from which on engine speeds are used. */
    std::uint64_t SpeedMinHosts = 1;
    gsFeatureMode SlotSharing = gsFeatureMode::Off;
    gsFeatureMode Memory = gsFeatureMode::Off;
  } Features;

  gsMemorySettings Memory; ///< Applies while Features.Memory is active.
  /** Requests that wait on this host while Features.Overload is on. */
  struct
  {
    std::uint64_t MaxWaiting = 256;     ///< Requests of one service.
    std::uint64_t MaxWaitingKib = 8192; ///< Their bodies, of all services.
  } Overload;

  /** Choice of an upstream in the routed mode; Hall is set from above. */
  gsFleetSettings Placement;

  struct
  {
    /** Time to serve requests while reporting not ready. */
    gsTime Unready = gsMilliseconds(500);
    gsTime Longest = gsSeconds(600); ///< Maximum duration of a planned stop.
    gsTime Margin{}; ///< Routed mode ends the loop this long before Longest.
  } Stop;

  gsPoolSettings Pool;
  gsMembershipSettings Membership;
  gsReplicaSettings Replica;
  /** Initial document of a system with the memory platform. */
  std::optional<gsDocument> Document;
};

/** Reads settings from text; source names it in errors. */
gsResult<gsSettings> gsSettingsFromText(std::string_view text,
                                        std::string_view source);

/** Reads a settings file. */
gsResult<gsSettings> gsSettingsFromFile(std::string const& path);
