/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Remembers at which software version each stream began that a caller may
 * resume, so that it is resumed at that version only, on whichever host its
 * caller comes back.
 *
 * The host to which an upstream sends a stream's first event records the
 * upstream's version and copies the record: to the coordinators of its hall,
 * and to two coordinators of other halls. It passes the event on once a copy
 * is acknowledged. No record is made before, as it would remain if the
 * upstream rejects the request. A host that has no record of a stream asks the
 * coordinators of its hall, and these ask those of the other halls. Records
 * are evicted some time after the last host that served the stream has renewed
 * them.
 *
 * Without a record, a host may infer the version from the upstreams listed.
 * Its list may be out of date, and hosts that know better may be silent, so
 * that an inference counts only once it has been confirmed by reading the
 * platform's tables after the look-up began; see gsReadBarrier. What other
 * hosts infer can void an inference, and never stands for one.
 *
 * While the version can be inferred, a note takes the place of the copies: one
 * coordinator of the hall keeps it, so that streams go on while the tables
 * cannot be read. Notes are not acknowledged and may be sent late.
 *
 * A version is a hash, and zero if it is unknown. Records of one stream by
 * several hosts must agree: if they do not, the stream's version is unknown
 * from then on. A record of the same host replaces an earlier one, as it may
 * send the stream to another upstream before the first event.
 *
 * The state is one plain struct. Callers pass in the current time and send the
 * returned messages.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gsTypes.h"

/** Identifies a stream over all attempts of its caller: a hash of the
 * organisation and of the attempt that brought its first event. */
using gsStreamId = std::uint64_t;

/** The record of a stream. */
struct gsStreamRecord
{
  std::uint32_t Version = 0;
  std::uint64_t Origin = 0;   ///< Incarnation of the host that made it.
  std::uint32_t Revision = 0; ///< Rises with each record of the same origin.
};

enum class gsStreamMessageKind : std::uint8_t
{
  Record = 1, ///< A copy of a record.
  Ack = 2,    ///< The copy is stored.
  Query = 3,  ///< Asks for the version of a stream.
  Reply = 4,  ///< Its version, or what the sender infers without a record.
  Note = 5    ///< A record that is neither acknowledged nor passed on.
};

/** A message between hosts. */
struct gsStreamMessage
{
  static constexpr std::uint32_t VoidRevision = 1;

  std::string Host; ///< Receiver of a message to send, else its sender.
  gsStreamMessageKind Kind = gsStreamMessageKind::Query;
  gsStreamId Stream = 0;
  /** Of records, acks and replies. A record without a version withdraws an
   * earlier one of the same origin. The revision of a reply without a record
   * is VoidRevision if nothing can be inferred, whatever others infer. */
  gsStreamRecord Record;
  /** Of queries: hash of the service, by which a version can be inferred. */
  std::uint32_t Service = 0;
  /** Of records and queries: the receiver passes it on to other halls. Of
   * replies: the version is not recorded but inferred. */
  bool Flag = false;
};

using gsStreamMessages = std::vector<gsStreamMessage>;

/** The hosts that a host exchanges records with. */
struct gsStreamPeers
{
  std::vector<std::string> Coordinators; ///< Others of the own hall.
  /** Coordinators of other halls; empty unless this host is a coordinator. */
  std::vector<std::string> OtherHalls;
};

struct gsStreamDirectorySettings
{
  std::uint64_t Origin = 0; ///< Incarnation of this host.
  /** Longer than the longest stream and the retries of its caller together. */
  gsTime Retention = gsSeconds(60);
  std::size_t MaxStreams = 200'000;
  /** Limit of a look-up. */
  gsTime LookupTimeout = gsMilliseconds(300);
  /** Limit of a look-up on behalf of another host; shorter, so that the reply
   * arrives in time. */
  gsTime RelayTimeout = gsMilliseconds(200);
  /** Time for replies before an inference is confirmed meanwhile. */
  gsTime ConfirmDelay = gsMilliseconds(50);
  /** Limit of a look-up whose inference is being confirmed. */
  gsTime ConfirmTimeout = gsMilliseconds(800);
};

/** State of what this host infers for a look-up. */
enum class gsInferenceState : std::uint8_t
{
  None,        ///< It infers nothing, or is not asked to.
  Unconfirmed, ///< The tables have to be read.
  Requested,   ///< They are being read.
  Confirmed
};

/** A look-up that waits for replies. */
struct gsStreamLookup
{
  std::vector<std::string> Awaited; ///< Hosts that have not replied.
  std::vector<std::string> Askers;  ///< Other hosts that await the result.
  bool IsOwn = false;               ///< This host awaits the result.
  std::uint32_t Service = 0;
  /** Version that hosts without a record have inferred; zero if none has, or
   * if they disagree. */
  std::uint32_t Inferred = 0;
  bool IsInferenceVoid = false;
  gsInferenceState OwnInference = gsInferenceState::None;
  gsTime BeganAt{};
  gsTime Deadline{}; ///< Of replies.
};

/** The result of a look-up that this host has begun. */
struct gsStreamLookupResult
{
  gsStreamId Stream = 0;
  std::uint32_t Version = 0; ///< Zero if it could not be found.
  bool IsInferred = false;
  std::size_t Unanswered = 0; ///< Hosts that were asked and did not reply.
};

struct gsStreamDirectory
{
  struct Entry
  {
    gsStreamRecord Record;
    /** Hosts recorded different versions. */
    bool IsAmbiguous = false;
    gsTime RenewedAt{};
  };

  gsStreamDirectorySettings Settings;
  std::unordered_map<gsStreamId, Entry> Streams;
  /** Streams in the order in which their records were renewed; entries whose
   * record was renewed later are skipped. */
  std::deque<std::pair<gsTime, gsStreamId>> RenewalOrder;
  std::unordered_map<gsStreamId, gsStreamLookup> Lookups;
  std::uint32_t NextRevision = 1;
  std::uint64_t Evicted = 0; ///< Records evicted before their time.
};

/**
 * Records the version at which this host sends a stream to an upstream.
 * \return The copies to be sent; empty if no other host can hold one.
 */
gsStreamMessages gsStreamPublish(gsStreamDirectory& directory,
                                 gsStreamPeers const& peers, gsStreamId stream,
                                 std::uint32_t version, gsTime now);

/** Records the version at which this host sends a stream whose version can be
 * inferred. \return The note to be sent; empty if no host can hold one. */
std::optional<gsStreamMessage> gsStreamNote(gsStreamDirectory& directory,
                                            gsStreamPeers const& peers,
                                            gsStreamId stream,
                                            std::uint32_t version, gsTime now);

/** Drops this host's own record of a stream, as another host may send it to an
 * upstream of another version. \return The messages to be sent, by which other
 * hosts drop their copies. */
gsStreamMessages gsStreamWithdraw(gsStreamDirectory& directory,
                                  gsStreamPeers const& peers,
                                  gsStreamId stream);

/** The recorded version of a stream; zero if hosts disagree on it, and empty
 * if there is no record. */
std::optional<std::uint32_t> gsStreamFind(gsStreamDirectory const& directory,
                                          gsStreamId stream, gsTime now);

/**
 * Looks a stream up that has no record here. The result is appended to the
 * results of this call or of a later one.
 *
 * \param inferred The version that this host infers without a record, which
 *   has to be confirmed; zero if it knows that nothing can be inferred, and
 *   empty if it cannot tell.
 * \return The queries to be sent.
 */
gsStreamMessages gsStreamLookUp(gsStreamDirectory& directory,
                                gsStreamPeers const& peers, gsStreamId stream,
                                std::uint32_t service,
                                std::optional<std::uint32_t> inferred,
                                gsTime now,
                                std::vector<gsStreamLookupResult>& results);

/**
 * Processes a message of another host.
 *
 * \param inferred Of a query: the version of its service's streams that this
 *   host infers without a record; zero if it knows that nothing can be
 *   inferred, and empty if it cannot tell.
 * \return The messages to be sent.
 */
gsStreamMessages gsStreamReceive(gsStreamDirectory& directory,
                                 gsStreamPeers const& peers,
                                 gsStreamMessage const& message,
                                 std::optional<std::uint32_t> inferred,
                                 gsTime now,
                                 std::vector<gsStreamLookupResult>& results);

/** Returns the look-ups whose inference has to be confirmed now, each once. To
 * be called after messages were processed, and about ten times a second. */
std::vector<gsStreamId> gsStreamTakeUnconfirmed(gsStreamDirectory& directory,
                                                gsTime now);

/**
 * Applies that the tables were read after gsStreamTakeUnconfirmed had returned
 * a look-up, or that they could not be read.
 *
 * \param inferred What this host infers now; empty if it cannot tell, as after
 *   a read that failed.
 * \return The messages to be sent.
 */
gsStreamMessages gsStreamConfirm(gsStreamDirectory& directory,
                                 gsStreamId stream,
                                 std::optional<std::uint32_t> inferred,
                                 gsTime now,
                                 std::vector<gsStreamLookupResult>& results);

/** Ends look-ups that have waited for long enough, and evicts records. To be
 * called about ten times a second. \return The messages to be sent. */
gsStreamMessages gsStreamTick(gsStreamDirectory& directory, gsTime now,
                              std::vector<gsStreamLookupResult>& results);
