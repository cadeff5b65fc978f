/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * This host among the others: membership, the links to peers, which host
 * dispatches a pool, and which upstreams the hosts have told each other to be
 * leaving.
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

struct gsClusterEvents
{
  /** A frame came in; what concerns membership is dealt with already. */
  std::function<void(std::string const& host, std::uint64_t link,
                     gradescale::Frame const& frame)>
    OnFrame;
  /** A host that was asked for work does not answer any more. */
  std::function<void(std::string const& host)> OnHostLost;
  /** A link on which others asked is gone. */
  std::function<void(std::uint64_t link)> OnLinkDown;
  /** Which hosts are alive has changed. */
  std::function<void()> OnMembersChanged;
  /** Version in force here, for the frames' headers. */
  std::function<std::uint64_t()> ConfigVersion;
  /** Adds to the header of each frame; may be empty. */
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

  /** Opens the peer port and begins to probe. */
  gsResult<bool> Start();

  /** Says to the others that this host takes on no new work. */
  void Leave();

  /** Says that this host has a configuration and takes work. */
  void TakeWork();

  gsMembership const& Members() const { return this->Table; }
  std::string const& Self() const { return this->Table.Self.Host; }

  /** The host that dispatches a pool of a hall; Self if it is alone. */
  std::string DispatcherOf(std::string_view hall, std::string_view pool) const;

  /** Frame to a host that is next to be sent; nothing if unknown. */
  gradescale::Frame* ToHost(std::string_view host);
  /** Frame on the link on which a host asked. */
  gradescale::Frame* OnLink(std::uint64_t link);

  /** While set, the host is expected to answer frames within a short time. */
  void Expect(std::string const& host, bool expect);

  /** Leaves a host out for a while and suspects it. */
  void Distrust(std::string const& host, char const* cause);

  /** An upstream said, or was said, to leave; carried to all hosts. */
  void NoteLeaving(std::string const& upstream,
                   std::string const& incarnation);
  bool IsLeaving(std::string const& upstream,
                 std::string const& incarnation) const;

  /** Addresses from the platform's list, to be met if not known yet. */
  void Meet(std::vector<std::string> addresses);

  /** Asks one other host for an answer at once. */
  void ProbeNow();
  /** When any other host last answered. */
  gsTime LastHeard() const { return this->Heard; }

  gsPeerNet const* Net() const { return this->Peers.get(); }

private:
  struct Watched
  {
    bool Expecting = false;
    gsTime Heard{};
    gsTime Pinged{};
  };
  struct LeavingNews
  {
    std::string Incarnation;
    std::uint32_t Carry = 0;
  };

  void Tick();
  void MeetUnknown(gsTime now);
  void WatchExpected(gsTime now);
  void OnFrame(std::uint64_t link, gradescale::Frame const& frame);
  void OnDown(std::uint64_t link, std::string const& address);
  void Learn(gradescale::Frame const& frame, gsMembershipOutput& out);
  void Carry(gsMembershipOutput const& out);
  void AnnounceState(gsMemberState state);
  void DropLinksOf(std::string const& host);
  void Announce(gradescale::Frame& frame);
  void Header(gradescale::Frame& frame);
  std::uint32_t CarryCount() const;

  gsLoop& Loop;
  gsSettings const& Settings;
  gsClusterEvents Events;
  gsRandom Random;
  gsMembership Table;
  std::uint64_t RefusedPeerCount = 0; ///< Links refused to other clusters.
  std::unique_ptr<gsPeerNet> Peers;
  gsTimer Timer;
  std::unordered_map<std::uint64_t, std::string> LinkHosts;
  std::unordered_map<std::string, Watched> Watch;
  std::unordered_map<std::string, gsTime> Distrusted; ///< Until when.
  std::map<std::string, LeavingNews> Leaving;
  std::set<std::string> Addresses;
  gsTime NextMeet{};
  gsTime Heard{};
};
