/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Decides from which host a table's missing changes are queried. Hosts
 * announce the version of the last change that they have. A host that lacks
 * changes queries one host that has them, and another one if no answer arrives
 * or that one is busy.
 *
 * The state is one plain struct. Callers pass in the current time. Its size is
 * bounded by the number of hosts.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "gsTypes.h"

struct gsTablePullSettings
{
  /** Delay before changes that another host has are queried, as they usually
   * arrive unrequested by then. */
  gsTime QueryDelay = gsMilliseconds(300);
  /** Another host is queried if nothing arrives for this time. */
  gsTime AnswerTimeout = gsMilliseconds(800);
  /** A busy host is not queried again for this time. */
  gsTime BusyDelay = gsMilliseconds(300);
};

struct gsTablePull
{
  /** Another host, by what it has announced. */
  struct Peer
  {
    std::uint64_t Version = 0; ///< Last change that it has.
    gsTime AheadSince{}; ///< Since when it has changes that this host lacks;
                         ///< zero while it has none.
    gsTime BusyUntil{};
  };
  gsTablePullSettings Settings;
  std::string Self; ///< Name of this host.
  std::map<std::string, Peer, std::less<>> Peers;
  std::string Queried; ///< Host that was last queried; may be empty.
  gsTime QueriedAt{};
  bool IsPending = false; ///< Queried has not answered.
  /** The next query is for whole values. */
  bool WholeValues = false;
};

/** Records the version that another host announces. */
void gsPullRecordVersion(gsTablePull& pull, std::string_view host,
                         std::uint64_t version, std::uint64_t ownVersion,
                         gsTime now);

/** Version that another host has announced; zero if none. */
std::uint64_t gsPullVersionOf(gsTablePull const& pull, std::string_view host);

/** Records a query to a host. */
void gsPullRecordQuery(gsTablePull& pull, std::string_view host, gsTime now);

/** Records an update from a host, which may be the answer to a query. */
void gsPullRecordUpdate(gsTablePull& pull, std::string_view host);

/** Records that a host is too busy to answer. */
void gsPullRecordBusy(gsTablePull& pull, std::string_view host, gsTime now);

/** Records that an update from a host contained patches that could not be
 * applied. After an answer to a query, the next query is for whole values. */
void gsPullRecordUnusable(gsTablePull& pull, std::string_view host);

/**
 * Whether the answer to a query is still expected.
 * \param progressAt When a part of the answer last arrived; zero if none did.
 */
bool gsPullIsExpecting(gsTablePull const& pull, gsTime progressAt, gsTime now);

/** The host to be queried now; empty if none is. */
std::optional<std::string> gsPullNextHost(gsTablePull const& pull,
                                          std::uint64_t ownVersion,
                                          gsTime progressAt, gsTime now);
