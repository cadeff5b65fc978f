/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Replication of one versioned document from the platform's table to every
 * host. Hosts poll the platform for its version and hear of versions from
 * each other; whoever is behind fetches. A version never goes back.
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
  gsTime PollPeriod = gsSeconds(2);
  /** Between polls until the first document is in force. */
  gsTime StartPeriod = gsMilliseconds(200);
  gsTime FetchTimeout = gsSeconds(2);
  /** How long a start waits for the platform before peers will do. */
  gsTime PlatformPatience = gsSeconds(3);
};

/** What this host holds and knows of newer versions. */
struct gsReplica
{
  gsReplicaSettings Settings;
  /** Version in force here; only ever rises. */
  std::uint64_t Version = 0;
  /** Whether the first document has been taken in. */
  bool Ready = false;
  bool PlatformAnswered = false;
  gsTime Started{};
  gsTime NextPoll{};
  /** The newest version heard of, and from which peer. */
  std::uint64_t HeardVersion = 0;
  std::string HeardFrom;
  gsTime FetchUntil{};
};

/** What to do next. */
struct gsReplicaOutput
{
  bool PollPlatform = false;
  std::string FetchFrom; ///< Peer to ask for the document; may be empty.
};

void gsReplicaStart(gsReplica& replica, gsTime now);

/** A peer said which version it has in force. */
void gsReplicaHear(gsReplica& replica, std::string_view peer,
                   std::uint64_t version);

void gsReplicaTick(gsReplica& replica, gsTime now, gsReplicaOutput& out);

/**
 * Whether a document of this version shall be put in force. True at most
 * once for each version, and only for rising versions.
 */
bool gsReplicaOffer(gsReplica& replica, std::uint64_t version);

/** The platform answered a poll, whatever the version. */
void gsReplicaPolled(gsReplica& replica);

/** Follows which hosts have a version in force. */
struct gsAcceptance
{
  std::uint64_t Version = 0;
  std::map<std::string, std::uint64_t, std::less<>> Confirmed;
};

/** Notes a host's version in force. */
void gsAcceptanceNote(gsAcceptance& acceptance, std::string_view host,
                      std::uint64_t version);

/** Of the given hosts, those not known to have the version in force. */
std::vector<std::string> gsAcceptanceMissing(
  gsAcceptance const& acceptance, std::vector<std::string> const& hosts);
