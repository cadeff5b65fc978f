/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The state that an upstream announces in the headers of its responses: that
 * it is leaving, or that this host must back off (Retry-After). Responses are
 * the earliest source of this state. The platform's table may report that an
 * upstream is leaving many seconds later, or not at all while the platform is
 * unreachable.
 *
 * After a backoff, hosts resume in slow start: each waits for its own start
 * time, begins with at most one unanswered attempt and doubles this limit with
 * each accepted one. The functions neither read a clock nor do I/O.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "gsTypes.h"

/** The announcements in the headers of one response. */
struct gsUpstreamAnnouncement
{
  /** The upstream accepts no new requests and will exit. */
  bool Leaving = false;
  /** Time for which this host must send no requests; zero if not requested. */
  gsTime RetryAfter{};
  /** Requests per second that the upstream accepts from all hosts combined;
   * empty if the response has no limit. */
  std::optional<double> RateLimit;
  /** The response has a limit that cannot be parsed. */
  bool IsRateLimitMalformed = false;
  /** Rejections for want of room in a second, from all hosts combined, above
   * which the upstream crashes; empty if the response has no limit. */
  std::optional<double> RejectionLimit = std::nullopt;
  /** The response has a rejection limit that cannot be parsed; RejectionLimit
   * is zero. */
  bool IsRejectionLimitMalformed = false;

  /** Whether it announces neither leaving nor a backoff. */
  bool IsEmpty() const
  {
    return !this->Leaving && this->RetryAfter.count() == 0;
  }
};

/** Upper bound of a backoff, one day. An upstream restarts before a longer one
 * would end, and the restart cancels it. */
constexpr gsTime gsMaxBackoff = std::chrono::hours(24);

/**
 * Parses the backoff that an upstream requests with a rejected request.
 *
 * \param retryAfter Value of the Retry-After header: seconds, fractions
 *   allowed, or an HTTP date. Of several values of seconds separated by commas
 *   the longest is used.
 * \param date Value of the Date header of the same response. A date in
 *   retryAfter is evaluated relative to it, so that a clock step of this host
 *   does not change the backoff.
 *
 * \return At most gsMaxBackoff; zero if the value is malformed or not in the
 *   future.
 */
gsTime gsParseRetryAfter(std::string_view retryAfter, std::string_view date);

/**
 * Parses a rate limit in requests per second.
 *
 * \param text Decimal numbers separated by commas; elements that are not
 *   numbers are ignored.
 * \return The lowest number, where a negative one counts as zero; empty if
 *   there is no number.
 */
std::optional<double> gsParseRateLimit(std::string_view text);

/**
 * The state that one incarnation of an upstream has announced to this host. It
 * is stored separately from the upstream's row in the platform's table, which
 * may be outdated, delayed or temporarily missing. The upstream is leaving if
 * either source reports it.
 */
struct gsAnnouncedState
{
  /** Never reset: neither a later response nor a row revokes it. */
  bool Leaving = false;
  /** This host sends nothing until then. The maximum over all announcements: a
   * later, shorter backoff does not end a longer one early. */
  gsTime BackoffUntil{};
  /** Maximum of UnansweredAttempts during slow start; 0 for no maximum. A
   * backoff sets it to 1. It doubles with each accepted attempt, and slow
   * start ends when it reaches the number of slots. */
  std::uint32_t SlowStartLimit = 0;
  std::uint32_t UnansweredAttempts =
    0; ///< Slow start attempts without a response header.
};

/** Merges the announcements of a response. \return Whether they change the
 * state: the upstream begins to leave, or a backoff begins. */
bool gsMergeAnnouncement(gsAnnouncedState& announced,
                         gsUpstreamAnnouncement const& announcement,
                         gsTime now);

/** Whether the upstream is leaving or a backoff is in effect. */
bool gsHasAnnouncedState(gsAnnouncedState const& announced, gsTime now);

/** Whether a backoff is in effect. It excludes the upstream from placement; a
 * cost would not prevent its selection when all others are as expensive. */
bool gsIsBackingOff(gsAnnouncedState const& announced, gsTime now);

/** Identifies a host and an upstream for slow start. */
struct gsSlowStartClient
{
  std::string_view Host;
  std::string_view Upstream;
  std::size_t HostCount =
    1; ///< Hosts that may have received the same backoff.
};

/**
 * Whether slow start allows this host another attempt. Hosts that were
 * rejected at the same time would otherwise all resume at the same time. Each
 * host resumes at its own time after the backoff, one host per 10 ms
 * within at most 2 s, with one attempt, and doubles the limit with each
 * accepted attempt.
 */
bool gsSlowStartAllows(gsAnnouncedState const& announced,
                       gsSlowStartClient const& client, gsTime now);

/** Counts an attempt if slow start is in effect. \return Whether the caller
 * has to call gsEndSlowStartAttempt once it is answered or ends. */
bool gsBeginSlowStartAttempt(gsAnnouncedState& announced, gsTime now);

/** Ends an attempt of slow start.
 * \param accepted Whether the upstream accepted it.
 * \param slots Number of slots of the upstream; slow start ends when the limit
 *   reaches it. */
void gsEndSlowStartAttempt(gsAnnouncedState& announced, bool accepted,
                           std::uint32_t slots);
