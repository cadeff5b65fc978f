/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The interface between the routed mode and an external platform: plain
 * structs of functions that translate names, formats and calls. An adapter
 * makes no decisions and holds no state. The folder platform/ contains the
 * implementation; tests provide implementations for their fake platforms.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gsFleet.h"
#include "gsHttpClient.h"
#include "gsHttpServer.h"
#include "gsRouteTable.h"
#include "gsTableReplica.h"
#include "gsUpstreamAnnouncement.h"
#include "gsUsage.h"

/** A caller's parsed request, before any routing or admission decision. */
struct gsCallerRequest
{
  std::string
    AttemptId; ///< Identifies this attempt of the caller; never empty.
  std::string Method;
  std::string Host;   ///< Host header as sent, possibly with a port.
  std::string Target; ///< Path and query, unaltered.
  std::string Body;
  /** Headers to forward: without hop-by-hop headers and without those that
   * only the system may set. */
  gsHeaders Headers;
  std::optional<std::string> ApiKey; ///< Secret; never logged or forwarded.
  std::optional<gsTime> Deadline;    ///< Caller's timeout, from arrival.
  std::vector<gsPromptPart> PromptParts; ///< Parts of the prompt, in order.
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0; ///< Maximum number of output tokens.
  /** Last event that the caller received of the stream that it resumes. */
  std::optional<std::uint64_t> LastEventId;
  /** Attempt of the caller that brought the first event of the stream that it
   * resumes; empty if it names none. */
  std::string ResumedAttempt;
};

/** Metadata sent to an upstream with one attempt. */
struct gsAttemptMetadata
{
  std::string UpstreamId;    ///< Any other upstream rejects the attempt.
  std::string Organisation;  ///< Empty for anonymous requests.
  gsTime TimeToDeadline{};   ///< Time until the caller's deadline.
  std::uint32_t Urgency = 0; ///< 0 is the most urgent.
  std::optional<std::uint64_t> LastEventId; ///< To resume a stream after it.
  /** Of a forwarded request whose stream has begun on this host: as in
   * gsCallerRequest. */
  std::string ResumedAttempt;
  /** Address of an engine that transfers cached prompt parts; empty if there
   * is none. */
  std::string TransferSource;
};

/** The parsed head of an upstream's response. */
struct gsResponseHead
{
  std::string RequestId;    ///< Request that it answers; empty if not given.
  bool NotExecuted = false; ///< The upstream did not execute the request.
  bool IsSigned = false;    ///< It carries the upstream's signature.
  /** Maximum idle time of the connection before the upstream closes it. */
  std::optional<gsTime> MaxConnectionIdle;
  /** What the responding upstream announces about itself. Empty if another
   * upstream than the intended one responded. */
  gsUpstreamAnnouncement Announcement;
  gsHeaders Headers; ///< Headers to forward to the caller.
};

/** The content of a successful response to a read or a watch. */
struct gsTablePage
{
  std::vector<gsTableRow> Rows;
  std::uint64_t Version = 0;      ///< All changes up to it are included.
  bool HasMore = false;           ///< The read continues after the last row.
  std::size_t UnreadableRows = 0; ///< Records that were passed over.
  /** Of the platform's steady clock, in milliseconds; empty if not given. */
  std::optional<std::int64_t> ClockMillis;
};

/** Why a read or a watch of a table returned no rows. */
enum class gsTableReadError
{
  HistoryExpired, ///< A watch cannot continue from the requested version.
  Rejected,       ///< The platform responded without performing the call.
  NoAnswer,       ///< No response, or one that cannot be parsed.
};

/** The result of a read or a watch: a page, or the error. */
struct gsTableReadResult
{
  std::optional<gsTablePage> Page; ///< Empty on failure.
  gsTableReadError Error =
    gsTableReadError::NoAnswer; ///< Valid if Page is empty.
  std::string Detail;           ///< One sentence for the log, on failure.
};

/** A write of one row that succeeds only if the row has a given version. */
struct gsRowWrite
{
  std::string Table;
  std::string Key;
  std::uint64_t ExpectedVersion =
    0; ///< Required version; 0 if no row may exist.
  std::string Value;
  std::vector<std::string> KeysToRemove; ///< Keys of the same table to remove.
};

/** The result of a write. */
struct gsRowWriteResult
{
  enum class Kind
  {
    Written,  ///< Version is the row's new version.
    Conflict, ///< Not executed; Row is the current row, if there is one.
    Rejected, ///< Not executed.
    NoAnswer  ///< It may have been executed, or be executed later.
  };
  Kind Outcome = Kind::NoAnswer;
  std::uint64_t Version = 0; ///< Valid if the row was written.
  std::optional<gsTableRow> CurrentRow;
  std::string Detail; ///< One sentence for the log, on failure.
};

/** Sent with each call that only the holder of the lease on duties may make,
 * so that the platform refuses calls of earlier holders. */
struct gsLeaseProof
{
  std::string Holder;             ///< Name of this host.
  std::uint64_t FencingToken = 0; ///< Fencing token of its lease.
};

/** The desired number of upstreams of a service in a hall. */
struct gsUpstreamOrder
{
  std::string Service;
  std::string Hall;
  std::uint32_t Count = 0;
  /** The order is for upstreams that the platform may withdraw. */
  bool Withdrawable = false;
};

/** The result of a call that only the holder of the lease may make. */
enum class gsDutyCallResult
{
  Accepted,    ///< The platform accepted the call.
  StaleToken,  ///< Another host has used a higher fencing token.
  Unavailable, ///< The platform has no upstreams of this kind to offer now.
  Rejected,    ///< Not executed: rejected temporarily or as malformed.
  NoAnswer     ///< It may have been executed, or be executed later.
};

/** Names of the platform's tables and of rows in them. */
struct gsTableNames
{
  std::string Routes;    ///< Table that contains the configuration.
  std::string RoutesKey; ///< Key of the configuration in that table.
  /** Prefix of the keys in the same table that each name an evacuated hall,
   * which receives no new requests. */
  std::string EvacuatedPrefix;
  std::string Upstreams;  ///< Table of upstreams, keyed by their ids.
  std::string Lease;      ///< Table of the lease on duties.
  std::string LeaseKey;   ///< Key of the lease in that table.
  std::string Usage;      ///< Table of usage counts that are being reported.
  std::string Quarantine; ///< Table of quarantined requests.
  std::string Versions;   ///< Table of software versions listed recently.
};

/** All operations that the routed mode needs from a platform. */
struct gsAdapter
{
  // Requests of callers.
  std::function<gsResult<gsCallerRequest>(gsHttpExchange& exchange)>
    ParseRequest;
  std::function<bool(gsHttpExchange const& exchange)> IsReadinessProbe;

  // Requests to upstreams, and their responses.
  std::function<gsHeaders(gsCallerRequest const& request,
                          gsAttemptMetadata const& facts)>
    MakeAttemptHeaders;
  std::function<gsResponseHead(unsigned status, gsHeaders const& headers)>
    ParseResponseHead;
  /** Names, in lower case, of fields that a response must not repeat. They
   * refer to constants. */
  std::vector<std::string_view> SingleResponseFields;
  /** Headers of a request that is forwarded to another host, which parses it
   * with ParseRequest. */
  std::function<gsHeaders(gsCallerRequest const& request,
                          gsAttemptMetadata const& facts)>
    MakeForwardHeaders;
  /** Headers of an answer to a host that has forwarded a request, saying that
   * the request has not run. */
  std::function<gsHeaders(gsCallerRequest const& request)>
    MakeNotExecutedHeaders;

  // The platform's tables.
  gsTableNames Tables;
  std::function<gsCall(std::string_view platform, std::string_view table,
                       std::string_view fromKey)>
    MakeReadCall;
  std::function<gsCall(std::string_view platform, std::string_view table,
                       std::uint64_t after, gsTime wait)>
    MakeWatchCall;
  std::function<gsTableReadResult(gsAnswer const& answer)> ParseTableResponse;
  /** Parses the configuration. Parts that have not changed since an earlier
   * one, which may be null, need not be parsed again. */
  std::function<gsResult<gsRouteTable>(std::string_view text,
                                       gsRouteTable const* previous)>
    ParseRoutes;
  std::function<gsResult<gsListedUpstream>(std::string_view id,
                                           std::string_view text)>
    ParseUpstream;
  /** Formats an upstream's row as the platform does, for hosts that read no
   * other format. Fields that hosts do not store are filled in with
   * placeholders. */
  std::function<std::string(gsListedUpstream const& upstream)> FormatUpstream;
  std::function<gsCall(std::string_view platform, gsRowWrite const& write)>
    MakeWriteCall;
  std::function<gsRowWriteResult(gsAnswer const& answer,
                                 gsRowWrite const& write)>
    ParseWriteResponse;

  // Duties towards the platform, performed by one host at a time.
  std::function<gsCall(std::string_view address, gsLeaseProof const& proof,
                       std::uint64_t window, gsUsageCounts const& counts)>
    MakeUsageReportCall;
  std::function<gsCall(std::string_view address, gsLeaseProof const& proof,
                       gsUpstreamOrder const& order)>
    MakeUpstreamOrderCall;
  std::function<gsDutyCallResult(gsAnswer const& answer, bool order)>
    ParseDutyResponse;
};

/** The adapter that this build contains; defined in the folder platform/. */
gsAdapter gsMakeAdapter();
