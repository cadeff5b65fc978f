/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Distributed enforcement of the rate limits that upstreams set for all hosts
 * combined. Each attempt at a limited upstream consumes a token.
 *
 * Each host owns an equal share of a limit. It lends the share to the relay of
 * its hall, and the relay lends the hall's combined share to the relay of one
 * hall, chosen per upstream by rendezvous hashing. That relay, the
 * distributor, issues tokens on request at the combined rate of the shares
 * lent to it. A host that does not hear from its relay spends its own share;
 * a relay whose share no distributor has accepted issues tokens to its own
 * hall.
 *
 * A share is counted in one place at a time: a loan is counted for
 * LoanLifetime at each of two hops, and its owner does not spend it for longer
 * than both combined. Hosts that disagree about the distributor therefore do
 * not exceed the limit. For a limit R, hosts that know it send in any W
 * seconds at most R * (W + TokenLifetime + BurstSpan) + 1 attempts with
 * tokens of distributors, plus one attempt per token accrued by each host that
 * spends its own share.
 *
 * The state is one plain struct. Callers pass in the current time and send the
 * returned messages.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gsTypes.h"

/** The current version of an upstream's limit. */
struct gsRateLimit
{
  double Rate = 0; ///< Requests per second, all hosts combined.
  /** The upstream no longer sets a limit; the rate ramps up from Rate. */
  bool Ended = false;
  gsTime EndedAt{};
  std::uint64_t Version = 0; ///< Incremented on each change.
  gsTime LearnedAt{};        ///< When this host learned this version.
};

/** A limit as exchanged between hosts. */
struct gsRateLimitNotice
{
  std::uint32_t Upstream = 0; ///< Hash of its incarnation.
  double Rate = 0;
  bool Ended = false;
  gsTime EndedFor{}; ///< Time from its end until sending.
  std::uint64_t Version = 0;
};

/** A share lent to a token issuer, and a request for tokens. */
struct gsRateShare
{
  std::uint32_t Upstream = 0;
  double LentRate = 0; ///< Requests per second that the receiver may issue.
  gsTime LoanLifetime{};
  std::uint32_t Wanted = 0; ///< Outstanding token demand of the sender.
};

/** Issued tokens; Count is zero if the message only accepts a share. */
struct gsRateTokens
{
  std::uint32_t Upstream = 0;
  std::uint32_t Count = 0;
  gsTime Lifetime{}; ///< Validity of the tokens.
  /** Expected time until the next token, given the demand of other hosts. */
  gsTime Wait{};
};

/** A message to another host. */
struct gsRateMessage
{
  std::string To;
  std::optional<gsRateShare> Share;
  std::optional<gsRateTokens> Tokens;
};

struct gsRateLimitSettings
{
  gsTime TokenLifetime = gsMilliseconds(500);
  gsTime BurstSpan = gsMilliseconds(100); ///< Burst capacity of a relay.
  /** Minimum interval between share updates. */
  gsTime SharePeriod = gsMilliseconds(250);
  /** Interval between share updates per host of the hall. */
  gsTime SharePeriodPerHost = gsMilliseconds(10);
  gsTime MinTokenRequestInterval = gsMilliseconds(20);
  gsTime TokenRequestTimeout =
    gsMilliseconds(250); ///< After which tokens are requested again.
  gsTime DemandLifetime = gsSeconds(1); ///< Validity of a token request.
  gsTime RelayTimeout = gsMilliseconds(1500);
  gsTime FrameDelay = gsMilliseconds(400); ///< Upper bound for both hops.
  gsTime RecoveryDoubling = gsMilliseconds(500);
  gsTime RecoveryTime = gsSeconds(3); ///< After the end of a limit.
  gsTime EndedRetention = gsSeconds(60);
  gsTime UnlistedRetention =
    std::chrono::minutes(10); ///< For upstreams without a row.
  std::size_t MaxUpstreams = 1024;
  double MinRate = 0.2; ///< Rate of probes under a limit of zero.
  double MaxRate = 1e6;
};

/** A host that receives tokens, which may be this host. */
struct gsRateClient
{
  bool IsOtherHallRelay = false;
  bool ReplyPending = false;
  double LentRate = 0;
  gsTime LentUntil{};
  std::uint32_t Wanted = 0;
  gsTime WantedUntil{};
  gsTime WantedSince{}; ///< The longest-waiting client is served first.
};

/** Local state of a rate-limited upstream. */
struct gsLimitedUpstream
{
  gsRateLimit Limit;
  gsTime ListedAt{};          ///< When its row was last seen.
  std::vector<gsTime> Tokens; ///< Expiry times, ascending.
  std::uint32_t Reserved = 0; ///< By attempts not sent yet.
  /** Expected time until the next token without demand of this host, as last
   * reported by the issuer. */
  gsTime ExpectedWait{};
  gsTime ExpectedAt{}; ///< When ExpectedWait was updated.
  /** Token bucket level: tokens that this host may issue or spend. */
  double Level = 0;
  gsTime LevelAt{};
  gsTime LentUntil{}; ///< Shares are lent out until then.
  std::map<std::string, gsRateClient, std::less<>> Clients;
  /** Distributor that last accepted this relay's share. */
  std::string AcceptedBy;
  gsTime AcceptedAt{};
  gsTime ShareSentAt{};
  std::uint32_t TokensRequested =
    0; ///< Token demand sent last, minus tokens received since.
  std::uint64_t Used = 0;   ///< Tokens spent.
  std::uint64_t Lapsed = 0; ///< Tokens that expired unused.
  std::uint64_t Issued = 0; ///< Tokens issued to other hosts.
};

/** Token issuing roles, derived from membership. */
struct gsRateRoles
{
  std::string Self;
  std::string Relay; ///< Relay of this host's hall; empty if there is none.
  /** Relays by hall, including this host's; set only on relays. */
  std::map<std::string, std::string> Relays;
  std::size_t HallSize = 1;
  /** Recent peak number of hosts, which own equal shares of each limit. */
  std::size_t HostsOfLate = 1;
};

struct gsRateLimits
{
  gsRateLimitSettings Settings;
  gsRateRoles Roles;
  std::unordered_map<std::uint32_t, gsLimitedUpstream> Upstreams;
  /** When relays last announced that they issue tokens. */
  std::map<std::string, gsTime, std::less<>> RelaysHeardAt;
  /** Upstreams whose changed limit has not been sent to other hosts yet. */
  std::vector<std::uint32_t> UnsentUpstreams;
  /** Upstream of each token received and not delivered yet. */
  std::vector<std::uint32_t> GrantedUpstreams;
  std::vector<gsRateMessage> Outbox; ///< Returned by the next gsRateLimitTick.
};

/** Formats a rate for logs. */
std::string gsRateText(double perSecond);

/**
 * Applies the limit that an answer names, or its absence. The answer
 * supersedes the known version only if its attempt was sent after that version
 * was learned; a lower limit always applies. \return Whether the limit has
 * changed and has to be sent to other hosts.
 */
bool gsNoteRateLimit(gsRateLimits& limits, std::uint32_t upstream,
                     std::optional<double> rate, gsTime sentAt, gsTime now);

/** Applies a limit received from another host. \return Whether the local limit
 * has changed. */
bool gsApplyRateLimitNotice(gsRateLimits& limits,
                            gsRateLimitNotice const& notice, gsTime now);

/** All limits in force, for a host that may lack some. */
std::vector<gsRateLimitNotice> gsRateLimitNotices(gsRateLimits const& limits,
                                                  gsTime now);
gsRateLimitNotice gsRateLimitNoticeOf(gsRateLimits const& limits,
                                      std::uint32_t upstream, gsTime now);

/** Digest of all limits in force; zero if there are none. */
std::uint64_t gsRateLimitDigest(gsRateLimits const& limits, gsTime now);

/** Requests per second in force; empty without a limit. */
std::optional<double> gsRateInForce(gsRateLimits const& limits,
                                    std::uint32_t upstream, gsTime now);

/** Whether an attempt may be placed: there is no limit, or an unreserved token
 * is available. */
bool gsHasToken(gsRateLimits const& limits, std::uint32_t upstream,
                gsTime now);

/** Reserves a token for an attempt that is not sent yet, if there is a limit.
 * \return Whether the caller has to call gsReleaseToken. */
bool gsReserveToken(gsRateLimits& limits, std::uint32_t upstream, gsTime now);
void gsReleaseToken(gsRateLimits& limits, std::uint32_t upstream);

/** Consumes a token for an attempt that is sent now. \return False if there is
 * a limit and no token. */
bool gsSpendToken(gsRateLimits& limits, std::uint32_t upstream, gsTime now);

/**
 * Sets this host's demand to a number of tokens until a time, replacing its
 * outstanding demand.
 * \return Whether an unreserved token is available now.
 */
bool gsRequestTokens(gsRateLimits& limits, std::uint32_t upstream,
                     std::uint32_t count, gsTime until, gsTime now);

/** Expected time until a token is available after a number of tokens that this
 * host has already requested. */
gsTime gsExpectedTokenWait(gsRateLimits const& limits, std::uint32_t upstream,
                           std::size_t ahead, gsTime now);

/** Applies a share lent by another host, and its token request. */
void gsApplyRateShare(gsRateLimits& limits, std::string const& host,
                      gsRateShare const& share, gsTime now);

/** Applies received tokens, or the acceptance of a share. */
void gsApplyRateTokens(gsRateLimits& limits, std::string const& host,
                       gsRateTokens const& tokens, gsTime now);

/** Issues due tokens. \return Messages to be sent. */
std::vector<gsRateMessage> gsRateLimitTick(gsRateLimits& limits, gsTime now);

/** When gsRateLimitTick has work next; empty if it has none. */
std::optional<gsTime> gsRateLimitDue(gsRateLimits const& limits, gsTime now);

/** Removes ended limits after EndedRetention, and limits of upstreams without
 * a row after UnlistedRetention. */
void gsForgetRateLimits(
  gsRateLimits& limits,
  std::function<bool(std::uint32_t upstream)> const& isListed, gsTime now);
