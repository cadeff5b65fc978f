/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * This host among hundreds of others: carries the messages of
 * gsHallMembership over links, and ends links that heartbeats do not need any
 * more or that have fallen silent. The routed mode's hosts talk through it.
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
#include "gsPeerNet.h"
#include "gsSettings.h"

struct gsHallClusterEvents
{
  /** A frame came in; what concerns membership is dealt with already. */
  std::function<void(std::string const& host, std::uint64_t link,
                     gradescale::Frame const& frame)>
    OnFrame;
  /** How many hosts the system has, or who coordinates, has changed. */
  std::function<void()> OnChanged;
  /** Version in force here, for the frames' headers. */
  std::function<std::uint64_t()> ConfigVersion;
  /** Adds to the header of each frame. */
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

  /** Opens the peer port and begins to look for the others. */
  gsResult<bool> Start();

  /** Sends what is due; to be run some ten times a second. */
  void Tick();

  /** Says to the others that this host stops as planned. */
  void Leave();

  /** What was not heard while the process stood still is nobody's silence. */
  void OnStalled();

  gsHallMembership const& Members() const { return this->Table; }
  std::string const& Self() const { return this->Table.Self.Host; }

  /** Hosts of the system, as far as is known. */
  std::size_t SystemSize() const;
  /** Whether a host of the hall has told how many there are; or none was found
   * for so long that this one takes itself to be alone. */
  bool KnowsSize() const;

  /**
   * Frame that is next to be sent to a host. It opens a link to hosts that
   * heartbeats go to; nothing for others without a link.
   */
  gradescale::Frame* ToHost(std::string_view host);
  /** Frame on the link on which a host asked. */
  gradescale::Frame* OnLink(std::uint64_t link);

  gsPeerNet const* Net() const { return this->Peers.get(); }
  std::size_t Links() const { return this->LinkTable.size(); }
  /** Number of links refused to hosts of other clusters. */
  std::uint64_t RefusedPeers() const { return this->RefusedPeerCount; }

private:
  struct Link
  {
    std::string Host;    ///< Empty until it has said its name.
    std::string Address; ///< That this host dialled; empty if it was dialled.
    gsTime Needed{};     ///< When heartbeats last needed it.
    gsTime Heard{};      ///< When it began, or a frame last came.
    bool Closing = false;
  };

  void Send(gsHallMessage const& message);
  void CloseNeedless(gsTime now);
  void OnFrame(std::uint64_t link, gradescale::Frame const& frame);
  void OnDown(std::uint64_t link);
  std::uint64_t Dial(std::string const& address, std::string const& host);
  std::uint64_t OtherLinkTo(std::string const& host) const;
  void NoteChanges(gsTime now);

  gsLoop& Loop; ///< Outlives this.
  gsSettings const& Settings;
  gsHallClusterEvents Events;
  gsRandom Random;
  gsHallMembership Table;
  std::uint64_t RefusedPeerCount = 0; ///< Links refused to other clusters.
  std::unique_ptr<gsPeerNet> Peers;
  std::map<std::uint64_t, Link> LinkTable;
  std::unordered_map<std::string, std::uint64_t> LinkOf; ///< By host.
  std::vector<std::string> Coordinators;                 ///< As last logged.
  std::size_t LoggedSize = 0;
  gsTime LoggedAt{};
};

/**
 * Hosts to which this host forwards a notice that originated in fromHall. A
 * host sends to the relay of its hall. A relay sends to the hosts of its hall,
 * and to the relays of other halls if the notice originated in its own hall.
 */
std::vector<std::string> gsGossipReceivers(gsHallCluster const& cluster,
                                           std::string_view fromHall,
                                           std::string_view ownHall);
