/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Links between entry hosts: one gRPC stream from each host to each peer that
 * it needs. Frames to a link are merged while a write is under way. gRPC's
 * threads hand frames over to the loop; a link reads its next frame only
 * after the last one has been taken, so that the hand-over is bounded.
 *
 * This header and its source file are the only ones that include gRPC.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "gsLoop.h"

namespace gradescale {
class Frame;
}

struct gsPeerNetSettings
{
  std::string Listen; ///< IP:port.
  std::string Token;  ///< Shared by all hosts of the system.
  /** Name of the cluster. Incoming links that name another cluster are
   * refused. Not checked if empty or if the other host sends no name. */
  std::string Cluster;
  /** Address to dial in place of the one that a peer announces. */
  std::map<std::string, std::string> Routes;
  /** Connections that are accepted at once; further ones wait. */
  std::size_t MaxConnections = 512;
};

/** Calls from the network into the daemon, all on the loop's thread. */
struct gsPeerNetEvents
{
  /** A frame came in on a link; answers go to the same link. */
  std::function<void(std::uint64_t link, gradescale::Frame const& frame)>
    OnFrame;
  /** A link is gone; what was sent on it may be lost. */
  std::function<void(std::uint64_t link, std::string const& address)> OnDown;
  /** An incoming link from a host of another cluster was refused. */
  std::function<void(std::string const& peer)> OnRefused;
};

/** Bytes of frames by what they carry. */
struct gsPeerBytes
{
  std::uint64_t Tables = 0; ///< Updates of the platform's tables.
  std::uint64_t Other = 0;  ///< Heartbeats, reports and everything else.

  std::uint64_t Sum() const { return this->Tables + this->Other; }
};

/** Frames that links have not taken yet. */
struct gsPeerBacklog
{
  gsPeerBytes Bytes;
  std::size_t Links = 0; ///< Links with a write under way.
  gsTime OldestWrite{};  ///< How long the oldest of these writes has taken.
  std::string Address;   ///< Of that link.
};

/** All links of one host. */
class gsPeerNet
{
public:
  static gsResult<std::unique_ptr<gsPeerNet>> Start(gsLoop& loop,
                                                    gsPeerNetSettings settings,
                                                    gsPeerNetEvents events);
  ~gsPeerNet();
  gsPeerNet(gsPeerNet const&) = delete;
  gsPeerNet& operator=(gsPeerNet const&) = delete;

  /** The link to a peer's address, opened if there is none. */
  std::uint64_t LinkTo(std::string const& address);

  /**
   * The frame that is next to be sent on a link, to be added to; nothing when
   * the link is gone. It leaves before the loop next waits.
   */
  gradescale::Frame* Outgoing(std::uint64_t link);

  /** Ends a link; OnDown follows. */
  void Close(std::uint64_t link);

  /** What waits to be sent on all links. */
  gsPeerBacklog Backlog() const;

  /** Bytes of frames sent and received so far. */
  gsPeerBytes BytesSent() const;
  std::uint64_t BytesReceived() const;

private:
  struct Impl;
  explicit gsPeerNet(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> State;
};
