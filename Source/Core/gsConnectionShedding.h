/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Limits of the connections of a host's listeners, and the selection of those
 * that are closed while it is short of connections or memory. A connection on
 * which a whole request is being handled is never selected.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gsMemoryBudget.h"
#include "gsTypes.h"

/** What a host has for its connections. */
struct gsConnectionResources
{
  std::size_t Descriptors = 0; ///< Of the process.
  /** Memory for the fixed part of connections; zero if it is not bounded. */
  std::uint64_t Bytes = 0;
  /** Largest fixed part of a connection. */
  std::uint64_t BytesPerConnection = 1;
};

/** Connections that each listener accepts at most. */
struct gsConnectionLimits
{
  std::size_t Callers = 0;
  std::size_t Forwarding = 0; ///< Of hosts that forward requests.
  std::size_t Operators = 0;
  std::size_t Peers = 0; ///< Of hosts, for links.
};

/**
 * Limits that leave descriptors for upstreams, hosts, the platform and logs
 * while all listeners are at their limits.
 */
gsConnectionLimits gsLimitConnections(gsConnectionResources const& resources);

enum class gsConnectionPhase
{
  /** A request has come in part, or nothing since it was opened. */
  Unfinished,
  Resting ///< Its last request was answered.
};

/** A connection that waits for its caller. */
struct gsWaitingConnection
{
  gsConnectionPhase Phase = gsConnectionPhase::Unfinished;
  /** When it was opened, or its caller last came on. */
  gsTime ProgressAt{};
};

/** What is missing. */
struct gsConnectionShortage
{
  std::size_t Unfinished = 0; ///< To be closed at most.
  std::size_t Resting = 0;    ///< To be closed at most, beside those.
  /** Whether new callers are about to be turned away. */
  bool IsSevere = false;

  bool IsNone() const { return this->Unfinished + this->Resting == 0; }
};

/**
 * Connections of a listener that are to be closed for new ones. An eighth of
 * the limit is kept free. A sixteenth is a severe shortage, in which half of
 * the limit is freed of unfinished requests: a crowd that comes back at once
 * would otherwise take each connection that is freed.
 */
gsConnectionShortage gsFindConnectionShortage(std::size_t open,
                                              std::size_t limit);

/** Connections that are to be closed for their memory. */
gsConnectionShortage gsFindConnectionShortage(
  gsMemoryShortage const& memory, std::uint64_t bytesPerConnection);

/**
 * Selects the connections to be closed: those whose callers did not come on
 * for a second, or 0.2 s in a severe shortage. Unfinished requests are first,
 * then resting connections, of each the longest pause.
 *
 * \return Indices in the order in which they are to be closed.
 */
std::vector<std::size_t> gsSelectConnections(
  gsConnectionShortage const& shortage,
  std::vector<gsWaitingConnection> const& connections, gsTime now);
