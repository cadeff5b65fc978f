/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Replication of one versioned document from the platform's table to every
 * host. Hosts poll the platform and announce their versions to each other. A
 * host to which a peer announces a newer version fetches the document from
 * that peer. The version in force on a host never decreases.
 *
 * The state is one plain struct. Callers pass in the current time and carry
 * out the returned actions.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

struct gsReplicaSettings
{
  /** Interval between polls of the platform. */
  gsTime PollInterval = gsSeconds(2);
  /** Interval between polls until the first document is in force. */
  gsTime StartupPollInterval = gsMilliseconds(200);
  /** After this time, a fetch from a peer is repeated. */
  gsTime FetchTimeout = gsSeconds(2);
  /** Maximum time after the start for which a host without a document waits
   * for the platform before it fetches the document from a peer. */
  gsTime StartupPlatformTimeout = gsSeconds(3);
};

/** Replication state of one host. */
struct gsReplica
{
  gsReplicaSettings Settings;
  /** Version in force on this host; never decreases. */
  std::uint64_t Version = 0;
  /** Whether a document is in force. */
  bool HasDocument = false;
  bool HasPlatformResponded = false; ///< Whether a poll has succeeded.
  gsTime StartedAt{};  ///< When the host started the replication.
  gsTime NextPollAt{}; ///< When the next poll of the platform is due.
  /** Highest version that a peer has announced, if it is higher than the one
   * that was in force at that time. */
  std::uint64_t MaxPeerVersion = 0;
  std::string MaxVersionPeer; ///< Peer that last announced MaxPeerVersion.
  /** No further fetch is started before this time; reset to zero when a
   * document is applied. */
  gsTime FetchTimeoutAt{};
};

/** Actions that the caller has to carry out. */
struct gsReplicaActions
{
  bool PollPlatform = false;
  std::string FetchPeer; ///< Peer to fetch the document from; empty for none.
};

/** Starts the replication; the first poll is due immediately. */
void gsReplicaStart(gsReplica& replica, gsTime now);

/** Processes a peer's announcement of the version that it has in force. */
void gsReplicaReceiveVersion(gsReplica& replica, std::string_view peer,
                             std::uint64_t version);

/** Determines the actions that are due. */
void gsReplicaTick(gsReplica& replica, gsTime now, gsReplicaActions& out);

/**
 * Advances to the version of a document that was received, if that is newer or
 * the first one. \return Whether the caller has to put the document in force:
 * true at most once for each version, and only for increasing versions.
 */
bool gsReplicaAdvance(gsReplica& replica, std::uint64_t version);

/** Records that the platform responded to a poll, whatever the version. */
void gsReplicaRecordPoll(gsReplica& replica);

/** Tracks which hosts have a version in force. */
struct gsVersionTracker
{
  std::uint64_t TargetVersion =
    0; ///< The version that hosts should have in force.
  /** Highest version that each host has reported to be in force, by name. */
  std::map<std::string, std::uint64_t, std::less<>> ConfirmedVersions;
};

/** Records the version that a host has in force. A lower version than the
 * recorded one is ignored. */
void gsVersionTrackerRecord(gsVersionTracker& acceptance,
                            std::string_view host, std::uint64_t version);

/** Returns those of the given hosts that have not reported TargetVersion or a
 * higher version. */
std::vector<std::string> gsVersionTrackerMissingHosts(
  gsVersionTracker const& acceptance, std::vector<std::string> const& hosts);
