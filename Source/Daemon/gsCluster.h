/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Cluster membership as seen by this host: the links to peers, the choice of
 * the host that dispatches a pool, and the upstreams that are known to be
 * leaving. Membership changes and leaving upstreams spread by gossip: each
 * update is attached to a number of probes logarithmic in the cluster size.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Generated/gsPeer.pb.h"
#include "gsMembership.h"
#include "gsPeerNet.h"
#include "gsSettings.h"

/** Callbacks of gsCluster. */
struct gsClusterEvents
{
  /** A frame was received; its membership part has been processed. */
  std::function<void(std::string const& host, std::uint64_t link,
                     gradescale::Frame const& frame)>
    OnFrame;
  /** A host was excluded because it is silent or its link broke. */
  std::function<void(std::string const& host)> OnHostExcluded;
  /** A link that another host opened, or that belonged to a dead host, is
   * down. */
  std::function<void(std::uint64_t link)> OnLinkDown;
  /** The state of a member, or the set of leaving upstreams, has changed. */
  std::function<void()> OnMembersChanged;
  /** Returns the active configuration version, for frame headers. */
  std::function<std::uint64_t()> ConfigVersion;
  /** Adds fields to the header of each frame; may be empty. */
  std::function<void(gradescale::Frame& frame)> FillHeader;
};

class gsCluster
{
public:
  gsCluster(gsLoop& loop, gsSettings const& settings,
            std::uint64_t incarnation, gsClusterEvents events);
  ~gsCluster();
  gsCluster(gsCluster const&) = delete;
  gsCluster& operator=(gsCluster const&) = delete;

  /** Opens the peer port and starts probing. */
  gsResult<bool> Start();

  /** Announces to all hosts that this host accepts no new work. */
  void AnnounceLeaving();

  /** Announces that this host has a configuration and accepts work. */
  void AnnounceAccepting();

  gsMembership const& Members() const { return this->Table; }
  std::string const& Self() const { return this->Table.Self.Host; }

  /**
   * The host that dispatches a pool of a hall. If no host is eligible, this is
   * Self for the own hall and empty for other halls.
   */
  std::string DispatcherOf(std::string_view hall, std::string_view pool) const;

  /** The next outgoing frame to a host; null if the host is unknown. */
  gradescale::Frame* ToHost(std::string_view host);
  /** The next outgoing frame on a link; null if the link is down. */
  gradescale::Frame* OnLink(std::uint64_t link);

  /** Enables or disables heartbeats to a host; a silent host is excluded. */
  void SetHeartbeats(std::string const& host, bool enabled);

  /** Marks a host as suspect and excludes it from dispatching for a time. */
  void ExcludeHost(std::string const& host, char const* cause);

  /** Records that an upstream is leaving and forwards this to all hosts. */
  void RecordLeaving(std::string const& upstream,
                     std::string const& incarnation);
  bool IsLeaving(std::string const& upstream,
                 std::string const& incarnation) const;

  /** Adds addresses of the platform's host list, to contact unknown hosts. */
  void AddAddresses(std::vector<std::string> addresses);

  /** Sends a ping to every host that is not dead. */
  void PingAllHosts();
  /** When a frame was last received from any other host. */
  gsTime LastReceivedAt() const { return this->LastFrameAt; }

  gsPeerNet const* Net() const { return this->Peers.get(); }

private:
  /** A host that may receive heartbeats, in addition to membership probes. */
  struct MonitoredHost
  {
    bool HeartbeatsEnabled = false;
    gsTime LastReceived{}; ///< Last frame, or when heartbeats were enabled.
    gsTime LastPinged{};
  };
  /** A leaving upstream, as spread by gossip. */
  struct LeavingNotice
  {
    std::string Incarnation;
    std::uint32_t RemainingSends = 0; ///< Frames to attach the notice to.
  };

  void Tick();
  void ContactUnknown(gsTime now);
  void CheckHeartbeats(gsTime now);
  void OnFrame(std::uint64_t link, gradescale::Frame const& frame);
  void OnDown(std::uint64_t link, std::string const& address);
  void ProcessUpdates(gradescale::Frame const& frame, gsMembershipOutput& out);
  void SendOutput(gsMembershipOutput const& out);
  void AnnounceState(gsMemberState state);
  void DropLinksOf(std::string const& host);
  void AddPendingUpdates(gradescale::Frame& frame);
  void SetHeader(gradescale::Frame& frame);
  std::uint32_t UpdateSendCount() const;

  gsLoop& Loop;
  gsSettings const& Settings;
  gsClusterEvents Events;
  gsRandom Random;
  gsMembership Table;
  std::uint64_t RefusedPeerCount = 0; ///< Links refused to other clusters.
  std::unique_ptr<gsPeerNet> Peers;
  gsTimer Timer;
  /** Name of the host at the other end of each link. */
  std::unordered_map<std::uint64_t, std::string> LinkHosts;
  std::unordered_map<std::string, MonitoredHost> MonitoredHosts;
  /** Hosts excluded from dispatching, with the end of the exclusion. */
  std::unordered_map<std::string, gsTime> ExcludedUntil;
  std::map<std::string, LeavingNotice> Leaving; ///< By upstream.
  /** Addresses from the seeds and the platform's host list. */
  std::set<std::string> KnownAddresses;
  gsTime NextContact{}; ///< When unknown addresses are contacted next.
  gsTime LastFrameAt{}; ///< Last frame from any host.
};
