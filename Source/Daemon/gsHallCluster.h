/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Peer links of a host in routed mode, in systems of hundreds of hosts: sends
 * and receives the messages of gsHallMembership, and closes links that
 * heartbeats no longer use or on which nothing is received.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Generated/gsPeer.pb.h"
#include "gsHallMembership.h"
#include "gsMetrics.h"
#include "gsPeerNet.h"
#include "gsSettings.h"

/** Callbacks of gsHallCluster. */
struct gsHallClusterEvents
{
  /** A frame was received; its membership part has been processed. */
  std::function<void(std::string const& host, std::uint64_t link,
                     gradescale::Frame const& frame)>
    OnFrame;
  /** The number of hosts or the list of coordinators has changed. */
  std::function<void()> OnChanged;
  /** Returns the active configuration version, for frame headers. */
  std::function<std::uint64_t()> ConfigVersion;
  /** Adds fields to the header of each frame. */
  std::function<void(gradescale::Frame& frame)> FillHeader;
};

class gsHallCluster
{
public:
  gsHallCluster(gsLoop& loop, gsSettings const& settings,
                std::uint64_t incarnation, gsHallClusterEvents events);
  ~gsHallCluster();
  gsHallCluster(gsHallCluster const&) = delete;
  gsHallCluster& operator=(gsHallCluster const&) = delete;

  /** Opens the peer port, so that Tick can contact other hosts. */
  gsResult<bool> Start();

  /** Sends due messages; to be called about ten times a second. */
  void Tick();

  /** Announces a planned stop to the other hosts. */
  void AnnounceLeaving();

  /** Restarts all silence timeouts after a stall of this process. */
  void OnStalled();

  gsHallMembership const& Members() const { return this->Table; }
  std::string const& Self() const { return this->Table.Self.Host; }

  /** Number of known hosts in the system. */
  std::size_t SystemSize() const;
  /** Whether the system size is known: this host has joined, has no seeds, or
   * found no other host within 5 s and assumes that it is alone. */
  bool IsSizeKnown() const;

  /**
   * The next outgoing frame to a host. Opens a link if the host receives
   * heartbeats; returns null for other hosts without a link.
   */
  gradescale::Frame* ToHost(std::string_view host);
  /** The next outgoing frame on a link; null if the link is down. */
  gradescale::Frame* OnLink(std::uint64_t link);

  gsPeerNet const* Net() const { return this->Peers.get(); }
  /** Bytes sent, received and waiting on all links. */
  void WriteGauges(gsMetrics& metrics) const;
  /** Number of links, including those that are being closed. */
  std::size_t LinkCount() const { return this->LinkTable.size(); }
  /** Number of links refused to hosts of other clusters. */
  std::uint64_t RefusedLinkCount() const { return this->RefusedPeerCount; }

private:
  /** A link to another host, dialled or incoming. */
  struct Link
  {
    /** Host at the other end; empty until it is known. */
    std::string Host;
    /** Address that this host dialled; empty for incoming links. */
    std::string Address;
    /** When heartbeats last used the link; incoming links always count as
     * used. */
    gsTime LastUsed{};
    gsTime LastReceived{}; ///< When it was opened or last received a frame.
    bool Closing = false;  ///< Its close was requested; frames are ignored.
  };

  void Send(gsHallMessage const& message);
  void CloseUnusedLinks(gsTime now);
  void OnFrame(std::uint64_t link, gradescale::Frame const& frame);
  void OnDown(std::uint64_t link);
  std::uint64_t Dial(std::string const& address, std::string const& host);
  std::uint64_t OtherLinkTo(std::string const& host) const;
  void LogChanges(gsTime now);
  void LogBacklog(gsTime now);

  gsLoop& Loop; ///< Outlives this.
  gsSettings const& Settings;
  gsHallClusterEvents Events;
  gsRandom Random;
  gsHallMembership Table;
  std::uint64_t RefusedPeerCount = 0; ///< Links refused to other clusters.
  std::unique_ptr<gsPeerNet> Peers;
  std::map<std::uint64_t, Link> LinkTable; ///< By link number.
  /** Number of the link that is used to send to each host. */
  std::unordered_map<std::string, std::uint64_t> LinkByHost;
  std::vector<std::string> LoggedCoordinators; ///< As last logged.
  std::size_t LoggedSize = 0;                  ///< System size as last logged.
  gsTime LoggedAt{};                           ///< When LoggedSize was logged.
  gsTime BacklogCheckedAt{}; ///< When the backlog of links was last checked.
};

/**
 * Hosts to which this host forwards a notice that originated in fromHall. A
 * host sends to the relay of its hall. A relay sends to the hosts of its hall,
 * and to the relays of other halls if the notice originated in its own hall.
 */
std::vector<std::string> gsGossipReceivers(gsHallCluster const& cluster,
                                           std::string_view fromHall,
                                           std::string_view ownHall);
