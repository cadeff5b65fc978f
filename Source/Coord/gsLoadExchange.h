/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * How hosts tell each other the open work at the upstreams. Each host reports
 * its own to one relay of its hall, the first of its coordinators; relays tell
 * each other their halls' sums, and tell each host of their hall what all
 * others have open. So a host that is no relay sends and hears one report a
 * period, however many hosts there are, and a relay's cost grows with its
 * hall alone. A report is only a hint: what is old is not counted, and a
 * relay that dies is replaced as soon as membership chooses another.
 *
 * The state is one plain struct; time is handed in, reports to be sent come
 * out.
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

/** Open work at one upstream. */
struct gsUpstreamLoad
{
  std::uint32_t Running = 0;
  std::uint32_t ReadTokens = 0;   ///< Of prompts, still to be read.
  std::uint32_t MemoryTokens = 0; ///< Held by running requests.
  /** Least pause between events that any host has measured; 0 for none. */
  std::uint32_t PaceMicros = 0;

  friend bool operator==(gsUpstreamLoad const& a, gsUpstreamLoad const& b)
  {
    return a.Running == b.Running && a.ReadTokens == b.ReadTokens &&
           a.MemoryTokens == b.MemoryTokens && a.PaceMicros == b.PaceMicros;
  }
};

/** Work that a service was lately asked for, tokens. */
struct gsServiceDemand
{
  std::uint32_t Long = 0;
  std::uint32_t Tight = 0;

  friend bool operator==(gsServiceDemand const& a, gsServiceDemand const& b)
  {
    return a.Long == b.Long && a.Tight == b.Tight;
  }
};

/** By a hash of the service's name. */
using gsDemandMap = std::map<std::uint32_t, gsServiceDemand>;

/** By a hash of the upstream's id; those with nothing to say are left out. */
using gsLoadMap = std::map<std::uint32_t, gsUpstreamLoad>;

/**
 * How a service's engines are divided, as one host has decided for all. Hosts
 * that decided each for itself would send one subject to several engines.
 */
struct gsEngineArrangement
{
  std::uint64_t Version = 0;     ///< Rises with each decision; 0 for none yet.
  std::uint32_t LongEngines = 0; ///< For long prompts; 0 for no division.
  std::vector<std::uint32_t> Slow; ///< Hashes of slow engines, ascending.

  friend bool operator==(gsEngineArrangement const& a,
                         gsEngineArrangement const& b)
  {
    return a.Version == b.Version && a.LongEngines == b.LongEngines &&
           a.Slow == b.Slow;
  }
};

/**
 * Whether a decision goes before another. Halls that were cut off from each
 * other count versions for themselves: of the same version one has to go
 * before, on all hosts the same one.
 */
bool gsSupersedes(gsEngineArrangement const& a, gsEngineArrangement const& b);

/** By a hash of the service's name. */
using gsArrangementMap = std::map<std::uint32_t, gsEngineArrangement>;

/** Whose work a report counts. */
enum class gsLoadScope : std::uint32_t
{
  Host = 0,  ///< The sender's own.
  Hall = 1,  ///< Of all hosts of the sender's hall.
  Others = 2 ///< Of all hosts but the receiver.
};

char const* gsLoadScopeWord(gsLoadScope scope);

/** Open work and demand, of whatever hosts a report counts. */
struct gsSystemLoad
{
  gsLoadMap Upstreams;
  gsDemandMap Services;
  gsArrangementMap Arrangements; ///< The newest known; not a sum.
  /** Hashes of halls that hosts of the same hall cannot reach; not a sum. */
  std::set<std::uint32_t> CutOffHalls;

  friend bool operator==(gsSystemLoad const& a, gsSystemLoad const& b)
  {
    return a.Upstreams == b.Upstreams && a.Services == b.Services &&
           a.Arrangements == b.Arrangements && a.CutOffHalls == b.CutOffHalls;
  }
};

struct gsLoadReport
{
  gsLoadScope Scope = gsLoadScope::Host;
  gsSystemLoad Load;
  gsTime Age{}; ///< Of the oldest word that it rests on, when it was sent.
};

/** What was last heard from one host. */
struct gsHeardLoad
{
  std::string Hall;
  gsLoadReport Report;
  gsTime At{};
  gsTime Since{}; ///< When the oldest word that it rests on was said.
};

/** What was last told to one host. */
struct gsToldLoad
{
  gsSystemLoad Load;
  gsTime At{};
};

struct gsLoadSettings
{
  /** Unchanged reports are repeated so often. */
  gsTime Refresh = gsSeconds(1);
  /** Reports are not believed any longer than this, */
  gsTime Memory = gsMilliseconds(2500);
  /**
   * nor those that rest on a word older than this. Words go from a host over
   * two relays to another host, and each may hold them for Memory.
   */
  gsTime MostAge = gsMilliseconds(7500);
  /**
   * One host is told no more often than this for each host of the hall, so
   * that a relay sends as many reports however large its hall is.
   */
  gsTime GapOfEach = gsMilliseconds(10);
};

struct gsLoadExchange
{
  gsLoadSettings Settings;
  std::string Self;
  std::string Hall;
  std::map<std::string, gsHeardLoad> Heard; ///< By host.
  std::map<std::string, gsToldLoad> Told;   ///< By host.
};

/** Whom reports go to. */
struct gsLoadPeers
{
  std::string Relay; ///< Of the own hall; empty if there is none.
  /** Other hosts of the own hall; only the relay has to know them. */
  std::vector<std::string> Hall;
  std::vector<std::string> OtherRelays; ///< One of each other hall.
  std::size_t HallSize = 1;             ///< Hosts of the hall, all counted.
};

/** A report to be sent. */
struct gsLoadMessage
{
  std::string To;
  gsLoadReport Report;
};

/** Least time between two reports to one host of a hall of that size. */
gsTime gsLoadGap(gsLoadSettings const& settings, std::size_t hallSize);

/** Takes a report of another host in. */
void gsLoadHear(gsLoadExchange& exchange, std::string_view host,
                std::string_view hall, gsLoadReport report, gsTime now);

/** Reports that are due, with the sender's own work as it is now. */
std::vector<gsLoadMessage> gsLoadTick(gsLoadExchange& exchange,
                                      gsLoadPeers const& peers,
                                      gsSystemLoad const& own, gsTime now);

/** Work of all other hosts, as far as it is known. */
gsSystemLoad gsLoadOfOthers(gsLoadExchange const& exchange, gsTime now);

/**
 * When the oldest word that gsLoadOfOthers rests on was said; absent when it
 * rests on none.
 */
std::optional<gsTime> gsLoadSince(gsLoadExchange const& exchange, gsTime now);
