/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A request of the routed mode, from its arrival to its final answer, and its
 * attempts at upstreams: one, or a primary that has fallen silent and its
 * hedge.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gsAdapter.h"
#include "gsEventSplitter.h"
#include "gsFingerprint.h"
#include "gsHttpServer.h"
#include "gsRouteTable.h"
#include "gsSilence.h"

/** How an attempt ended. */
enum class gsAttemptEnd
{
  Whole,       ///< A whole answer to this very request.
  NotExecuted, ///< The upstream says that it did not run it.
  NotSent,     ///< Not a byte of the request left.
  Broken,      ///< It may have run; there is no whole answer.
};

char const* gsAttemptEndWord(gsAttemptEnd end);

struct gsAttemptResult
{
  gsAttemptEnd End = gsAttemptEnd::Broken;
  unsigned Status = 0; ///< Zero when there was none.
  std::string Detail;  ///< One sentence when it is not whole.
  bool Silent = false; ///< Given up because nothing came for too long.
  /** Its connection broke, or its upstream was found to have ended. */
  bool BrokeOff = false;
};

/** One sending of a request to one upstream. */
struct gsAttempt
{
  gsIncarnation Upstream;
  std::string Address;
  std::uint64_t Call = 0; ///< Zero once it has ended.
  bool Sent = false;      ///< Bytes may have left.
  unsigned Status = 0;
  bool Answered = false; ///< It has ended with a whole answer.
  /** One of those with which this host comes back after the upstream's rest,
   * and not answered yet. */
  bool Returns = false;
  /** Whether a token of the upstream's rate limit is reserved until sending.
   */
  bool HasReservedToken = false;
  gsAnswerHead Head;
  std::string Body; ///< Of an answer that is not relayed event by event.
  gsEventSplitter Events;
  std::uint32_t ReadTokens = 0;   ///< Charged to the upstream's row until
                                  ///< the first byte.
  std::uint32_t MemoryTokens = 0; ///< Charged until the attempt's end.
  gsExpectedWait Wait;            ///< There, when it was sent.
  gsTime Started{};
  gsTime SentAt{};
  gsTime FirstByteAt{};
  gsTime LastByteAt{};
  gsTime LastEventAt{};
  gsTime LongestGap{}; ///< Between events.
  /** Another upstream is looked for no earlier, after there was none. */
  gsTime LookAgainAt{};
  /** Its upstream was avoided for its silence. Once: one request that is never
   * answered says little of an upstream that may answer all others. */
  bool SilenceNoted = false;
};

/** A request held by this host. */
struct gsRoutedRequest
{
  std::shared_ptr<gsHttpExchange> Exchange;
  gsCallerRequest Caller;
  /** The version by which it is handled; keeps Route alive. */
  std::shared_ptr<gsRouteTable const> Table;
  gsRoute const* Route = nullptr;
  std::string Organisation; ///< Empty for anonymous requests.
  /** Regions that its organisation is kept to, in Table; null for none. */
  std::vector<std::string> const* OrganisationRegions = nullptr;
  std::string Service;
  std::uint32_t Priority = 0;
  std::uint64_t Sequence = 0; ///< Names it on this host.
  gsTime Arrived{};
  gsTime DeadlineAt{}; ///< The caller's.
  gsTime TimeoutAt{};  ///< The route's.

  std::shared_ptr<gsAttempt> Attempt; ///< The last one; null before it.
  /**
   * The attempt before, whose upstream had fallen silent. It is read on beside
   * Attempt, its hedge, until either of them answers. Null without a hedge.
   */
  std::shared_ptr<gsAttempt> Primary;
  std::vector<gsIncarnation> Tried; ///< Upstreams asked so far.
  std::uint32_t Sends = 0;          ///< Attempts whose bytes may have left.
  bool MayHaveRun = false;          ///< By any attempt that has ended.
  bool Began = false;               ///< It was counted as begun.
  bool CallerHasBytes = false;
  bool CallerPaused = false; ///< The caller reads slower than it is sent.
  /** Last event that the caller was sent, or came with. */
  std::optional<std::uint64_t> LastEvent;
  /** No connection was had to an upstream of another hall. */
  bool StaysInHall = false;
  bool Ended = false;
  /** Absent until it is needed; see gsRequestFingerprint. */
  std::optional<gsFingerprint> Fingerprint;
  /** It runs as the one copy of a contained request on this host. */
  bool Contained = false;
  /** Upstream (gsFleetRow::Hash) for whose token the request waits; a token of
   * another upstream of the service also ends the wait. Empty if not waiting.
   */
  std::optional<std::uint32_t> AwaitedUpstream;
  gsTime
    WaitUntil{}; ///< End of the wait for a token; zero before the first wait.

  /** Whether it may run a second time. */
  bool MayRepeat() const
  {
    return this->Route->Repeatable || this->Route->Resumable;
  }
};

/** The fingerprint of a request; worked out once. */
gsFingerprint const& gsRequestFingerprint(gsRoutedRequest& request);

using gsRoutedRequestPtr = std::shared_ptr<gsRoutedRequest>;
using gsAttemptPtr = std::shared_ptr<gsAttempt>;
