/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Exchange of the open work at the upstreams between hosts. Each host reports
 * its own work to the relay of its hall, which is the first of the hall's
 * coordinators. Relays send the sum of their hall to the other relays, and
 * send each host of their hall the sum of all other hosts. A host that is not
 * a relay therefore sends and receives one report per interval, regardless of
 * the number of hosts, and the cost of a relay grows only with its hall.
 *
 * Reports are hints: expired reports are not counted, and a failed relay is
 * replaced as soon as membership selects another.
 *
 * The state is one plain struct. Callers pass in the current time and send the
 * returned reports.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/**
 * The part of the open work at one upstream that belongs to the requests of
 * one priority. Upstreams admit waiting requests by urgency, so the wait of a
 * request depends on how much of the work is as urgent or more urgent.
 */
struct gsUrgencyLoad
{
  std::uint32_t Priority = 0;     ///< Of the route; 0 is the most urgent.
  std::uint32_t OpenAttempts = 0; ///< Attempts, including those queued.
  std::uint32_t Waiting = 0; ///< Those of them without a first output token.
  std::uint32_t PendingPromptTokens = 0; ///< Prompts of Waiting.
  std::uint32_t MemoryTokens = 0;        ///< Prompts and answers combined.

  friend bool operator==(gsUrgencyLoad const& a, gsUrgencyLoad const& b)
  {
    return a.Priority == b.Priority && a.OpenAttempts == b.OpenAttempts &&
           a.Waiting == b.Waiting &&
           a.PendingPromptTokens == b.PendingPromptTokens &&
           a.MemoryTokens == b.MemoryTokens;
  }
};

/** Load by priority, ascending; priorities without load are omitted. */
using gsUrgencyLoads = std::vector<gsUrgencyLoad>;

/** Adds the load of one priority to a sum. */
void gsAddUrgencyLoad(gsUrgencyLoads& sum, gsUrgencyLoad const& part);

/** Subtracts the load of one priority from a sum that contains it. */
void gsSubtractUrgencyLoad(gsUrgencyLoads& sum, gsUrgencyLoad const& part);

/** Open work at one upstream. */
struct gsUpstreamLoad
{
  std::uint32_t Running = 0; ///< Running requests.
  std::uint32_t PendingPromptTokens =
    0;                            ///< Prompt tokens still to be processed.
  std::uint32_t MemoryTokens = 0; ///< Tokens that running requests hold in
                                  ///< memory.
  /** Shortest interval between events that any host has measured; zero if none
   * has measured one. */
  std::uint32_t MinEventIntervalMicros = 0;
  /** Newest speed that any of the hosts has measured, in thousandths; zero if
   * none has measured one. */
  std::uint32_t SpeedPermille = 0;
  /** Age of that measurement when the report was sent. Not compared, as an
   * unchanged speed needs no new report. */
  std::uint32_t SpeedAgeMillis = 0;
  /** Newest sample from which speeds are computed, its kind and its age; zero
   * if there is none. Not compared either. */
  std::uint32_t SpeedSampleNanos = 0;
  std::uint32_t SpeedSampleKind = 0;
  std::uint32_t SpeedSampleAgeMillis = 0;
  /** Parts of the load by priority. What is not contained, such as the load
   * of hosts with an earlier release, is of unknown urgency. */
  gsUrgencyLoads ByUrgency = {};

  friend bool operator==(gsUpstreamLoad const& a, gsUpstreamLoad const& b)
  {
    return a.Running == b.Running &&
           a.PendingPromptTokens == b.PendingPromptTokens &&
           a.MemoryTokens == b.MemoryTokens &&
           a.MinEventIntervalMicros == b.MinEventIntervalMicros &&
           a.SpeedPermille == b.SpeedPermille && a.ByUrgency == b.ByUrgency;
  }
};

/** Engine time that the requests of one priority need. */
struct gsKindDemand
{
  std::uint32_t EngineMillis = 0;  ///< Milliseconds per second.
  std::uint32_t WaitingMillis = 0; ///< Of requests that wait on hosts.

  friend bool operator==(gsKindDemand const& a, gsKindDemand const& b)
  {
    return a.EngineMillis == b.EngineMillis &&
           a.WaitingMillis == b.WaitingMillis;
  }
};

/** Demand by priority. */
using gsKindDemandMap = std::map<std::uint32_t, gsKindDemand>;

/** Engine time per second by the hash of the organisation's name,
 * milliseconds. */
using gsOrganisationDemandMap = std::map<std::uint32_t, std::uint32_t>;

/** Maximum number of organisations in the demand for a service. The demand of
 * the others is contained only in that of the kinds. */
constexpr std::size_t gsMaxReportedOrganisations = 16;

/** Removes all but the gsMaxReportedOrganisations largest ones. */
void gsKeepLargest(gsOrganisationDemandMap& organisations);

/** Open attempts at the upstreams of a service, by priority of the route. */
using gsOpenAttemptsMap = std::map<std::uint32_t, std::uint32_t>;

/** Recent demand for a service, in tokens. */
struct gsServiceDemand
{
  /** Demand of requests whose prompts interfere with streams on the same
   * engine. */
  std::uint32_t LongTokens = 0;
  std::uint32_t TightTokens = 0; ///< Demand of all other requests.
  /** Open attempts at all upstreams by priority. */
  gsOpenAttemptsMap OpenAttempts = {};
  /** For admission; empty unless it is active. */
  gsKindDemandMap Kinds = {};
  gsOrganisationDemandMap Organisations = {};

  friend bool operator==(gsServiceDemand const& a, gsServiceDemand const& b)
  {
    return a.LongTokens == b.LongTokens && a.TightTokens == b.TightTokens &&
           a.OpenAttempts == b.OpenAttempts && a.Kinds == b.Kinds &&
           a.Organisations == b.Organisations;
  }
};

/** Demand by the hash of the service's name. */
using gsDemandMap = std::map<std::uint32_t, gsServiceDemand>;

/** Load by the hash of the upstream's id. Upstreams without load are
 * omitted. */
using gsLoadMap = std::map<std::uint32_t, gsUpstreamLoad>;

/**
 * How the engines of a service are divided into groups. One host decides for
 * all, because hosts that each decided on their own would send requests of the
 * same subject to several engines.
 */
struct gsEngineArrangement
{
  /** Incremented on each decision; zero before the first. */
  std::uint64_t Version = 0;
  /** Number of engines for long prompts; zero if engines are not divided. */
  std::uint32_t LongEngines = 0;
  std::vector<std::uint32_t>
    SlowEngines; ///< Hashes of slow engines, ascending.

  friend bool operator==(gsEngineArrangement const& a,
                         gsEngineArrangement const& b)
  {
    return a.Version == b.Version && a.LongEngines == b.LongEngines &&
           a.SlowEngines == b.SlowEngines;
  }
};

/**
 * Whether an arrangement supersedes another. Halls that are partitioned from
 * each other increment versions independently, so arrangements of the same
 * version are ordered by their contents, equally on all hosts.
 */
bool gsSupersedes(gsEngineArrangement const& a, gsEngineArrangement const& b);

/** Arrangement by the hash of the service's name. */
using gsArrangementMap = std::map<std::uint32_t, gsEngineArrangement>;

/** The hosts whose work a report sums. */
enum class gsLoadScope : std::uint32_t
{
  Host = 0,  ///< The sender only.
  Hall = 1,  ///< All hosts of the sender's hall.
  Others = 2 ///< All hosts except the receiver.
};

char const* gsLoadScopeName(gsLoadScope scope);

/** Open work and demand, summed over one or more hosts. */
struct gsSystemLoad
{
  gsLoadMap Upstreams;
  gsDemandMap Services;
  gsArrangementMap Arrangements; ///< The newest of all hosts; not summed.
  /** Hashes of the other halls that any of the hosts cannot reach. Discarded
   * in reports from another hall. */
  std::set<std::uint32_t> UnreachableHalls;

  friend bool operator==(gsSystemLoad const& a, gsSystemLoad const& b)
  {
    return a.Upstreams == b.Upstreams && a.Services == b.Services &&
           a.Arrangements == b.Arrangements &&
           a.UnreachableHalls == b.UnreachableHalls;
  }
};

/** A report of open work, as sent between hosts. */
struct gsLoadReport
{
  gsLoadScope Scope = gsLoadScope::Host;
  gsSystemLoad Load;
  /** Age of the oldest host report included in Load, at the time of sending;
   * zero for the sender's own work and in reports from older releases. */
  gsTime Age{};
};

/** The last report received from a host. */
struct gsReceivedLoad
{
  std::string Hall; ///< Hall of the sender.
  gsLoadReport Report;
  gsTime ReceivedAt{};         ///< When the report was received.
  gsTime OldestHostReportAt{}; ///< When the oldest host report included in it
                               ///< was sent.
};

/** The last report sent to a host. */
struct gsSentLoad
{
  gsSystemLoad Load;
  gsTime SentAt{}; ///< When it was sent.
};

struct gsLoadSettings
{
  /** Interval after which an unchanged report is sent again. */
  gsTime RefreshInterval = gsSeconds(1);
  /** Reports expire this long after they were received. */
  gsTime ReportLifetime = gsMilliseconds(2500);
  /**
   * Reports that include a host report older than this expire as well. A host
   * report reaches another host over two relays. Each relay and the receiver
   * may keep it for ReportLifetime, three times in total.
   */
  gsTime MaxHostReportAge = gsMilliseconds(7500);
  /**
   * Minimum interval between two reports to the same host, per host of the
   * hall. The number of reports that a relay sends is therefore independent of
   * the size of its hall.
   */
  gsTime SendIntervalPerHost = gsMilliseconds(10);
};

struct gsLoadExchange
{
  gsLoadSettings Settings;
  std::string Self;                               ///< Name of this host.
  std::string Hall;                               ///< Hall of this host.
  std::map<std::string, gsReceivedLoad> Received; ///< Last reports by sender.
  std::map<std::string, gsSentLoad> Sent; ///< Last reports by receiver.
};

/** The receivers of this host's reports. */
struct gsLoadPeers
{
  std::string Relay; ///< Relay of this host's hall; empty if there is none.
  /** Other hosts of this hall; set only on the relay. */
  std::vector<std::string> HallHosts;
  /** One relay of each other hall; set only on the relay. */
  std::vector<std::string> OtherRelays;
  std::size_t HallSize = 1; ///< Hosts of this hall, including this host.
};

/** A report to be sent to a host. */
struct gsLoadMessage
{
  std::string To;
  gsLoadReport Report;
};

/** Minimum interval between two reports to the same host, for a hall of a
 * given size. */
gsTime gsLoadSendInterval(gsLoadSettings const& settings,
                          std::size_t hallSize);

/** Stores a report received from another host, replacing its last one. */
void gsApplyLoadReport(gsLoadExchange& exchange, std::string_view host,
                       std::string_view hall, gsLoadReport report, gsTime now);

/** Discards expired reports. \return The reports that are due, given this
 * host's current work. */
std::vector<gsLoadMessage> gsLoadTick(gsLoadExchange& exchange,
                                      gsLoadPeers const& peers,
                                      gsSystemLoad const& own, gsTime now);

/** Work of all other hosts according to unexpired reports. */
gsSystemLoad gsLoadOfOthers(gsLoadExchange const& exchange, gsTime now);

/** When the oldest host report included in gsLoadOfOthers was sent; empty if
 * none is included. */
std::optional<gsTime> gsOldestHostReportAt(gsLoadExchange const& exchange,
                                           gsTime now);
