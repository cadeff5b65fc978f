/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Several hosts that place requests by the prefix directory on simulated
 * engines. Frames between hosts are delayed, and some are lost; each host sees
 * the load of the others 0.1 to 0.4 s late. An engine processes prompts one
 * after the other and caches the shared parts of each.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "gsFleet.h"
#include "gsPlacement.h"
#include "gsPrefixDirectory.h"
#include "gsSubjectPlacement.h"

namespace gsPrefixCases {

constexpr double TokensPerMilli = 51.1;

/** A kind of request. */
struct Kind
{
  std::uint32_t SharedTokens = 13300;
  std::uint32_t OwnTokens = 3720;
  gsTime Target = gsSeconds(2);
  /** Time for which a request holds a slot after its first event. */
  gsTime Decoding = gsMilliseconds(600);
  gsFleetGroup Group = gsFleetGroup::Any;
};

struct Engine
{
  double Speed = 1;
  std::uint64_t StartedAt = 1;
  bool IsUp = true;
  gsTime BusyUntil{};
  std::set<std::uint64_t> Cache; ///< Subjects.
};

struct Host
{
  std::string Name;
  std::string Hall;
  gsFleet Fleet;
  bool IsUp = true;
  gsTime ReducedAt{};
};

/** Counts of a simulation. */
struct Results
{
  std::uint64_t Requests = 0;
  std::uint64_t Late = 0;
  std::uint64_t Unplaced = 0;
  std::uint64_t SharedReads = 0; ///< Shared parts processed by an engine.
  std::uint64_t Bytes = 0;       ///< Changes sent, 22 bytes each.
  std::map<std::uint64_t, std::set<std::string>> EnginesOf; ///< By subject.
};

class System
{
public:
  System(int hosts, int halls, int engines, std::uint64_t seed);

  /** Sets a setting on all hosts. */
  void ForEachHost(std::function<void(Host&)> const& change);

  /** Advances by steps of 5 ms to a time. Between steps, arrive is called with
   * the current time. */
  void Run(gsTime until, std::function<void(gsTime)> const& arrive = {});

  /** Places a request of a subject at a host. \return The engine's id, empty
   * if there is none. */
  std::string Request(std::size_t host, std::uint64_t subject,
                      Kind const& kind, std::uint32_t ownTokens = 0);
  /** The same at a random host that is up. */
  std::string Request(std::uint64_t subject, Kind const& kind,
                      std::uint32_t ownTokens = 0);

  /** The engine that a host would choose, without sending the request. */
  std::string Choose(std::size_t host, std::uint64_t subject,
                     Kind const& kind);
  /** Number of different engines that the hosts that are up would choose. */
  std::size_t ChoiceCount(std::uint64_t subject, Kind const& kind);
  /** The engines that a host believes to serve a subject. */
  std::set<std::string> ServingAt(std::size_t host, std::uint64_t subject);

  void Crash(std::string const& engine);
  /** Starts an engine again with an empty cache. */
  void Restart(std::string const& engine);

  gsTime Now = gsSeconds(100);
  std::vector<Host> Hosts;
  std::map<std::string, Engine> Engines;
  double LossShare = 0; ///< Of frames.
  /** Halls between which no frame is delivered. */
  bool IsCut = false;
  gsRandom Random;
  Results Result;

private:
  struct Event
  {
    gsTime At;
    std::uint64_t Order;
    std::function<void()> Run;
    friend bool operator<(Event const& a, Event const& b)
    {
      return a.At != b.At ? a.At > b.At : a.Order > b.Order;
    }
  };
  using Loads = std::map<std::string, gsOutstandingLoad>; ///< By engine.
  /** Load at one time. */
  struct LoadSample
  {
    std::vector<Loads> OfHosts;
    Loads Sum;
  };

  void Schedule(gsTime at, std::function<void()> run);
  void Exchange(std::size_t host);
  void Deliver(std::size_t from, gsPrefixMessage const& message);
  void SampleLoads();
  gsLoadPeers PeersOf(std::size_t host) const;
  std::string RelayOf(std::string const& hall) const;
  gsPlacementRequest Ask(std::uint64_t subject, Kind const& kind,
                         std::uint32_t ownTokens);
  void Send(std::size_t host, gsPlacement const& placement,
            gsPlacementRequest const& ask, Kind const& kind);

  std::priority_queue<Event> Events;
  std::uint64_t EventCount = 0;
  std::map<std::string, std::size_t> HostIndex;
  std::vector<LoadSample> Samples; ///< The newest last; one per 100 ms.
  std::vector<gsPromptPart> Parts;
};

} // namespace gsPrefixCases
