/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A request of the routed mode, from its arrival to its final answer, and its
 * attempts at upstreams. There is either one open attempt, or two: a primary,
 * whose upstream has stopped sending, and its hedge at another upstream.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gsAdapter.h"
#include "gsEngineSpeedState.h"
#include "gsEventSplitter.h"
#include "gsExpectedWait.h"
#include "gsFingerprint.h"
#include "gsHeldBytes.h"
#include "gsHttpClient.h"
#include "gsHttpServer.h"
#include "gsOverload.h"
#include "gsPrefixUse.h"
#include "gsRouteTable.h"
#include "gsStreamDirectory.h"

/** Outcome of an attempt. */
enum class gsAttemptOutcome
{
  Complete,    ///< A complete answer to this request.
  Unconfirmed, ///< An answer that ended with its connection, nothing states
               ///< where.
  NotExecuted, ///< The upstream reports that it did not run the request.
  NotSent,     ///< No byte of the request was sent.
  Incomplete,  ///< The request may have run, but there is no complete answer.
};

char const* gsAttemptOutcomeName(gsAttemptOutcome end);

/** Whether there is an answer to be passed on, as far as it states its end. */
constexpr bool gsIsAnswer(gsAttemptOutcome outcome)
{
  return outcome == gsAttemptOutcome::Complete ||
         outcome == gsAttemptOutcome::Unconfirmed;
}

struct gsAttemptResult
{
  gsAttemptOutcome Outcome = gsAttemptOutcome::Incomplete;
  unsigned Status = 0; ///< HTTP status of the answer; zero if there was none.
  /** One sentence on the cause; empty if the answer is complete. */
  std::string Detail;
  /** Abandoned because the upstream sent nothing for too long. */
  bool IsSilenceTimeout = false;
  /**
   * The connection was lost, or the upstream was found to have restarted or
   * ended.
   */
  bool IsUpstreamLost = false;
  /** How the end of the answer was known. */
  gsBodyEnd BodyEnd = gsBodyEnd::Unknown;
  /** Set if this host has ended the answer at a limit. That is a failure of
   * the upstream, and no evidence of a crash. */
  std::optional<gsAnswerExcess> Excess;
  /** What was received is no HTTP; a failure of the upstream as well. */
  bool IsMalformed = false;
  /** The rule that the head of a malformed answer breaks, if it is known. */
  gsHeadFault HeadFault = gsHeadFault::None;
};

/** One transmission of a request to one upstream. */
struct gsAttempt
{
  gsIncarnation Upstream;
  std::string Address;
  gsCallConnection Connection; ///< Set when the request is sent.
  /** Id in the head of an answer that belongs to another request; "none" if it
   * names none. Empty if there was no such answer. */
  std::string ForeignId;
  /** Whether its connection carried something else than its answer. The
   * request may have run, and the upstream may be sound. */
  bool IsDesynchronised = false;
  /** Host that the request was forwarded to, in place of an upstream; empty
   * for none. */
  std::string ForwardedTo;
  std::uint64_t CallId =
    0; ///< Id of the call; zero once the attempt has ended.
  bool MayHaveSentBytes =
    false; ///< Whether bytes of the request may have been sent.
  unsigned Status = 0;
  /** Whether the attempt has ended with an answer; see gsIsAnswer. */
  bool IsAnswered = false;
  std::uint32_t SoftwareVersion = 0; ///< Of the upstream; zero if unknown.
  /** What states the end of the answer; Unknown before its head. */
  gsBodyEnd StatedEnd = gsBodyEnd::Unknown;
  /**
   * Whether the attempt counts against the limit on unanswered attempts while
   * this host resumes sending after a backoff of the upstream. Reset when it
   * is answered or ends.
   */
  bool IsResumption = false;
  /**
   * Whether a token of the upstream's rate limit is reserved until the request
   * is sent.
   */
  bool HasReservedToken = false;
  /** The same for a token of the upstream's shared slots. */
  bool HasReservedSlot = false;
  /** Whether the attempt uses a shared slot until it ends. */
  bool HasSlot = false;
  /** gsEnforcedFrom when the slot was reserved or taken. */
  gsTime SlotEnforcedFrom{};
  gsResponseHead AnswerHead;
  std::string
    AnswerBody; ///< Body of an answer that is not relayed event by event.
  /** Counts AnswerBody; set when the attempt is started. */
  std::shared_ptr<gsHeldBytes> HeldAnswer;
  /** Counts the incomplete event in EventSplitter; likewise. */
  std::shared_ptr<gsHeldBytes> HeldEvent;
  gsEventSplitter EventSplitter;
  gsAttemptLoad Load; ///< Contained in the load of the upstream's row.
  /** Expected wait at the upstream when the attempt was started. */
  gsExpectedWait ExpectedWait;
  /** Predicted time to the first event when the upstream was chosen; zero if
   * it could not be predicted. */
  gsTime PredictedFirstEvent{};
  gsPrefixUse Prefix; ///< What it shows about the engine's prefix cache.
  gsTime StartedAt{};
  gsTime SentAt{};
  gsTime FirstByteAt{}; ///< Of a stream, when its first event came.
  /** When the request was sent, or the head of its answer, an event or a part
   * of a body that is not relayed last came. Bytes of an incomplete event are
   * no progress. */
  gsTime LastProgressAt{};
  gsTime LastEventAt{};
  /** Whether reading the answer has paused for a slow caller since the last
   * event, so that the next interval is not one of the engine. */
  bool WasPaused = false;
  /** Work at the engine when the last events were received. */
  gsEngineActivity ActivityAtLastEvent;
  gsPromptMeasurement Prompt; ///< For the measurement of the engine's speed.
  gsTime
    MaxEventInterval{}; ///< Longest interval between two events of the answer.
  /**
   * Earliest time of the next attempt to start a hedge, after one that failed
   * or was cancelled.
   */
  gsTime NextHedgeAt{};
  /**
   * Whether the upstream has been marked as unreachable for its silence. It is
   * marked only once per attempt, because a single request that is never
   * answered is weak evidence about an upstream that may answer all others.
   */
  bool IsSilenceRecorded = false;
  /** Whether its answer has been counted as a success with the parts of its
   * prompt. */
  bool IsSuccessRecorded = false;
};

/** Admission of a request under overload; see gsAdmissionControl.h. */
struct gsRequestAdmission
{
  gsAdmissionRequest Row;    ///< As of the last decision.
  std::uint64_t Subject = 0; ///< See gsSubjectOf.
  bool IsAdmitted = false;
  bool IsQueued = false; ///< It waits in gsAdmissionQueue.
  gsTime WaitingSince{}; ///< Zero if it has not waited.
  gsTime NextCheckAt{};  ///< When it is decided on at the latest.
  gsTime AdmittedAt{};   ///< Zero before.
};

/** A request held by this host. */
struct gsRoutedRequest
{
  std::shared_ptr<gsHttpExchange> Exchange;
  gsCallerRequest Caller;
  /** Configuration that applies to the request; keeps Route alive. */
  std::shared_ptr<gsRouteTable const> RouteTable;
  gsRoute const* Route = nullptr;
  /** Name of the organisation; empty for anonymous requests. */
  std::string Organisation;
  /**
   * Regions that the organisation is restricted to, owned by RouteTable; null
   * if it is not restricted.
   */
  std::vector<std::string> const* OrganisationRegions = nullptr;
  std::string Service;
  /** Lower values are more urgent. */
  std::uint32_t Priority = 0;
  std::uint64_t LocalId = 0; ///< Identifies the request on this host.
  gsTime ArrivedAt{};
  /** Deadline of the caller; the route's timeout if the caller names none. */
  gsTime DeadlineAt{};
  gsTime TimeoutAt{}; ///< End of the route's timeout.

  /** The latest attempt; null before the first. */
  std::shared_ptr<gsAttempt> Attempt;
  /**
   * The previous attempt, whose upstream has stopped sending. Its answer is
   * still read, concurrently with that of Attempt, its hedge, until either of
   * them answers. Null without a hedge.
   */
  std::shared_ptr<gsAttempt> Primary;
  std::vector<gsIncarnation>
    TriedUpstreams; ///< Upstreams of all attempts so far.
  /** Number of attempts of which bytes may have been sent. */
  std::uint32_t SentAttempts = 0;
  /** Maximum of SentAttempts. */
  std::uint32_t MaxAttempts = 1;
  /** Number of attempts for which no connection could be made. */
  std::uint32_t ConnectFailures = 0;
  /** Number of rejections by upstreams that crash under too many of them. */
  std::uint32_t RoomRejections = 0;
  /** Another host has forwarded the request to this one. */
  bool IsForwarded = false;
  std::vector<std::string> ForwardedTo; ///< Hosts that it was forwarded to.
  /** Whether an attempt that has ended may have run it. */
  bool MayHaveRun = false;
  /** Whether the start of its execution has been reported. */
  bool IsStartReported = false;
  bool CallerHasBytes = false;
  /**
   * Reading the answer is paused, because the caller reads more slowly than
   * the upstream sends.
   */
  bool IsCallerPaused = false;
  /**
   * Id of the last event sent to the caller, or of the one after which the
   * caller asked to resume.
   */
  std::optional<std::uint64_t> LastEventId;
  gsStreamId Stream = 0; ///< Identifies the stream over all its attempts.
  /** The only software version at which its stream may go on, once it has
   * begun; zero if that is not known. */
  std::optional<std::uint32_t> RequiredVersion;
  /** Version in the last record of the stream by this host. */
  std::optional<std::uint32_t> RecordedVersion;
  /** Until when the first event waits for a copy of the record; zero if it
   * waits no longer. */
  gsTime CopyAwaitedUntil{};
  /**
   * Whether upstreams of this hall are preferred, because an attempt at
   * another hall could not be sent.
   */
  bool PrefersOwnHall = false;
  bool HasEnded = false;
  /** Set on first use by gsRequestFingerprint. */
  std::optional<gsFingerprint> Fingerprint;
  /** Of the parts of its prompt that other requests share; set on first use
   * by gsSharedPartFingerprints. */
  std::optional<std::vector<gsFingerprint>> SharedParts;
  /** What it is suspected for, if it is the only request so suspected that may
   * run on this host; empty otherwise. */
  std::vector<gsFingerprint> ContainedFor;
  /** Whether it may run although a part of its prompt is quarantined, to find
   * out whether the part is sound. */
  bool IsProbe = false;
  /**
   * Upstream (gsFleetRow::Hash) for whose token the request waits. A token of
   * another upstream of the same service also ends the wait. Empty if the
   * request does not wait.
   */
  std::optional<std::uint32_t> AwaitedUpstream;
  /**
   * Further upstreams of the service whose shared slots are requested for it
   * while it waits; empty if it waits for a rate limit or for one upstream.
   */
  std::vector<std::uint32_t> AlsoAwaitedUpstreams;
  /** Limit of the wait for a token; zero before the first wait. */
  gsTime TokenWaitUntil{};
  /** Empty before the first decision on its admission. */
  std::optional<gsRequestAdmission> Admission;

  /** Whether the request may run more than once. */
  bool MayRepeat() const
  {
    return this->Route->Repeatable || this->Route->Resumable;
  }
};

/** The fingerprint of a request, computed on the first call. */
gsFingerprint const& gsRequestFingerprint(gsRoutedRequest& request);

/** The fingerprints of all parts of its prompt but the last, which no other
 * request shares, computed on the first call. */
std::vector<gsFingerprint> const& gsSharedPartFingerprints(
  gsRoutedRequest& request);

using gsRoutedRequestPtr = std::shared_ptr<gsRoutedRequest>;
using gsAttemptPtr = std::shared_ptr<gsAttempt>;
