/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Transfers of large payloads from one host to others over links that carry
 * heartbeats as well. A payload is sent in segments. The receiver acknowledges
 * each segment, and the sender bounds the bytes that are not acknowledged, for
 * each receiver and for all of them together. A host therefore sends as fast
 * as its link takes segments, and other messages wait behind a bounded number
 * of bytes.
 *
 * A receiver requests a payload by topic. The payload is created when its
 * transfer starts, so that it is the newest one, and a repeated request for a
 * topic replaces the one that waits. Transfers that receive no acknowledgement
 * are abandoned; the receiver requests them again.
 *
 * The state is held in plain structs. Callers pass in the current time.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

struct gsBulkSettings
{
  std::size_t SegmentBytes = 16384;
  /** Bytes sent to all receivers together that are not acknowledged. One
   * receiver has at most one segment of them. */
  std::size_t MaxInFlight = 65536;
  /** A transfer is abandoned if a segment is not acknowledged in time. */
  gsTime AckTimeout = gsMilliseconds(1500);
  /** Requests that may wait for their transfer. */
  std::size_t MaxWaiting = 64;
};

/** What a receiver requests. */
struct gsBulkRequest
{
  std::string Receiver; ///< Name of a host.
  std::string Topic;    ///< Name of a table.
  /** Changes above this version are requested. */
  std::uint64_t AboveVersion = 0;
  /** If not zero, all rows are requested, as read from the platform at this
   * version or later. */
  std::uint64_t RepairVersion = 0;
  bool WholeValues = false; ///< Rows are requested without patches.
};

/** A segment of a payload. */
struct gsBulkSegment
{
  std::string_view Receiver;
  std::uint64_t Transfer = 0; ///< Unique among the host's transfers.
  std::size_t Offset = 0;
  std::size_t Size = 0;   ///< Of the whole payload.
  std::string_view Bytes; ///< Valid until the sender is next changed.
};

/** A started transfer. */
struct gsBulkTransfer
{
  std::uint64_t Id = 0;
  std::shared_ptr<std::string const> Payload;
  std::size_t Acknowledged = 0; ///< Bytes from the start of the payload.
  std::size_t InFlight = 0;     ///< Bytes after these.
  gsTime SentAt{};              ///< When the segment in flight was sent.
};

struct gsBulkSender
{
  gsBulkSettings Settings;
  std::deque<gsBulkRequest> Waiting; ///< One per receiver and topic.
  std::map<std::string, gsBulkTransfer, std::less<>>
    Transfers;              ///< By receiver; at most one for each.
  std::size_t InFlight = 0; ///< Sum over Transfers.
  std::uint64_t NextId = 1;
};

/** Numbers transfers from an incarnation of the host on, which rises faster
 * than transfers are started: no number is that of an earlier process. */
void gsBulkNumberFrom(gsBulkSender& sender, std::uint64_t incarnation);

/** Queues a request. \return False if too many wait. */
bool gsBulkEnqueue(gsBulkSender& sender, gsBulkRequest request);

/** Removes and returns the next request whose transfer may start; empty if
 * there is none, or as many transfers as the bound of bytes allows are under
 * way. */
std::optional<gsBulkRequest> gsBulkNextRequest(gsBulkSender& sender);

/** Starts the transfer of a request that gsBulkNextRequest returned. An empty
 * payload starts none. */
void gsBulkStart(gsBulkSender& sender, gsBulkRequest const& request,
                 std::shared_ptr<std::string const> payload);

/** Segments that may be sent now. They count as in flight from here on. */
std::vector<gsBulkSegment> gsBulkSegments(gsBulkSender& sender, gsTime now);

/** Applies a receiver's acknowledgement of all bytes up to an offset. */
void gsBulkAcknowledge(gsBulkSender& sender, std::string_view receiver,
                       std::uint64_t transfer, std::size_t offset);

/** Ends a receiver's transfer, as its link is down. */
void gsBulkAbandon(gsBulkSender& sender, std::string_view receiver);

/** Ends transfers whose segments were not acknowledged in time. \return Their
 * number. */
std::size_t gsBulkExpire(gsBulkSender& sender, gsTime now);

/** Payloads that are being received; at most one from each sender. */
struct gsBulkReceiver
{
  struct Assembly
  {
    std::uint64_t Transfer = 0;
    std::size_t Size = 0; ///< Of the whole payload.
    std::string Bytes;    ///< Received so far.
    gsTime ReceivedAt{};  ///< When a segment last arrived.
  };
  /** A payload that claims to be larger is refused. */
  std::size_t MaxSize = 32U << 20U;
  std::map<std::string, Assembly, std::less<>> Assemblies; ///< By sender.
};

/** A received segment's effect. */
struct gsBulkReceipt
{
  /** Offset to acknowledge; empty if the segment does not continue a payload
   * that this host has received from its start. */
  std::optional<std::size_t> Acknowledge;
  std::optional<std::string> Payload; ///< Set once it is complete.
};

/** Adds a segment to the payload that a host is sending. */
gsBulkReceipt gsBulkReceive(gsBulkReceiver& receiver, std::string_view sender,
                            gsBulkSegment const& segment, gsTime now);

/** Discards incomplete payloads that have received no segment for the timeout.
 */
void gsBulkExpire(gsBulkReceiver& receiver, gsTime timeout, gsTime now);
