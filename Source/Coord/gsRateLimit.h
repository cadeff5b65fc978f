/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Distributed enforcement of limits that apply to all hosts combined: the rate
 * limits that upstreams set, and the slots of a service that has fewer slots
 * than there are hosts. Each attempt at a limited upstream takes a token.
 *
 * Each host owns an equal share of a limit. It lends the share to the relay of
 * its hall, and the relay lends the hall's combined share to the relay of one
 * hall, chosen per upstream by rendezvous hashing. That relay, the
 * distributor, issues tokens on request at the combined rate of the shares
 * lent to it. A host that receives no announcements from its relay spends its
 * own share; a relay whose share no distributor has accepted issues tokens to
 * its own hall.
 *
 * A share is counted in one place at a time: a loan is counted for
 * LoanLifetime at each of two hops, and its owner does not spend it for longer
 * than both combined. Hosts that disagree about the distributor therefore do
 * not exceed the limit. For a limit R, hosts to which it has been replicated
 * send in any W seconds at most R * (W + TokenLifetime + BurstSpan) + 1
 * attempts with tokens of distributors, plus one attempt per token accrued by
 * each host that spends its own share.
 *
 * Slots differ from rates in one respect: a token is returned when the attempt
 * ends. An issuer issues a token only while fewer tokens are held than the
 * slots lent to it. It counts a token as held until the holder returns it, or
 * for TokenLifetime without a report of the holder. A relay that borrows from
 * the distributor holds tokens for its hall. A host whose share no issuer
 * counts spends it as a rate of attempts that keeps its share of the slots in
 * use. For S slots, the attempts in progress with tokens of relays are at most
 * S plus one for each relay that issues without the distributor, since shares
 * are rounded to whole slots and are at least one.
 *
 * The state is one plain struct for each resource, which holds at most
 * MaxUpstreams limits. Callers pass in the current time and send the returned
 * messages.
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

#include "gsSlotRoom.h"
#include "gsTypes.h"

/** What a limit restricts. */
enum class gsLimitResource
{
  Rate,  ///< Attempts per second; a token is consumed.
  Slots, ///< Attempts in progress; a token is returned after use.
};

/** The current version of an upstream's limit. */
struct gsRateLimit
{
  /** Requests per second, or slots; all hosts combined. */
  double Rate = 0;
  /** The upstream no longer sets a limit; the rate ramps up from Rate. */
  bool HasEnded = false;
  gsTime EndedAt{};          ///< Set only if HasEnded.
  std::uint64_t Version = 0; ///< Incremented on each change.
  gsTime AppliedAt{};        ///< When this host applied this version.
};

/** A limit as exchanged between hosts. Times are relative to the sending. */
struct gsRateLimitNotice
{
  std::uint32_t UpstreamHash = 0; ///< Hash of the upstream's incarnation.
  double Rate = 0;                ///< Requests per second, all hosts combined.
  bool HasEnded = false;          ///< As in gsRateLimit.
  gsTime TimeSinceEnd{};          ///< From the end of the limit until sending.
  std::uint64_t Version = 0;      ///< As in gsRateLimit.
};

/** A share lent to a token issuer, and a request for tokens. */
struct gsRateShare
{
  std::uint32_t UpstreamHash = 0; ///< Hash of the upstream's incarnation.
  /** Requests per second, or slots, that the receiver may issue. */
  double LentRate = 0;
  gsTime LoanLifetime{}; ///< For how long the receiver may issue them.
  std::uint32_t TokensWanted = 0; ///< Outstanding token demand of the sender.
  std::uint32_t Returned = 0; ///< Slots returned since the previous message.
  std::uint32_t Held = 0;     ///< Slots that the sender holds.
  /** Attempts that the upstream rejected since the previous message. */
  std::uint32_t Rejected = 0;
};

/** Issued tokens; Count is zero if the message only accepts a share. */
struct gsRateTokens
{
  std::uint32_t UpstreamHash = 0; ///< Hash of the upstream's incarnation.
  std::uint32_t Count = 0;        ///< Number of tokens.
  gsTime Lifetime{};              ///< Validity of the tokens.
  /** Expected time until the next token, given the demand of other hosts. */
  gsTime ExpectedWait{};
  /** Slots only: the issuer's gsSlotRoom::Size; zero without an estimate. */
  std::uint32_t RoomSize = 0;
  /** Slots only: time since the last rejection; empty if there was none. */
  std::optional<gsTime> TimeSinceRejection = std::nullopt;
};

/** A message to another host: either a share or tokens. */
struct gsRateMessage
{
  std::string Receiver; ///< Name of the receiving host.
  std::optional<gsRateShare> Share;
  std::optional<gsRateTokens> Tokens;
};

struct gsRateLimitSettings
{
  /** Validity of a token; unused tokens expire after it. */
  gsTime TokenLifetime = gsMilliseconds(500);
  gsTime BurstSpan = gsMilliseconds(100); ///< Burst capacity of a relay.
  /** Minimum interval between share updates while the demand is unchanged. */
  gsTime MinShareInterval = gsMilliseconds(250);
  /** Minimum of that interval per host of the hall: the interval is at least
   * this time multiplied by HallSize. */
  gsTime ShareIntervalPerHost = gsMilliseconds(10);
  /** Minimum interval between share updates when the demand changes. */
  gsTime MinTokenRequestInterval = gsMilliseconds(20);
  gsTime TokenRequestTimeout =
    gsMilliseconds(250); ///< After which tokens are requested again.
  gsTime DemandLifetime = gsSeconds(1); ///< Validity of a token request.
  /** A relay is considered unavailable when its last announcement is older. */
  gsTime RelayTimeout = gsMilliseconds(1500);
  /** Upper bound for the combined message delay of both hops of a loan. */
  gsTime MaxFrameDelay = gsMilliseconds(400);
  /** Interval in which the rate doubles after the end of a limit. */
  gsTime RecoveryDoublingInterval = gsMilliseconds(500);
  /** Duration of the ramp-up after the end of a limit; afterwards attempts are
   * unlimited. */
  gsTime RecoveryDuration = gsSeconds(3);
  /** From the end of a limit until its removal. */
  gsTime EndedRetention = gsSeconds(60);
  gsTime UnlistedRetention =
    std::chrono::minutes(10);      ///< For limits of upstreams without a row.
  std::size_t MaxUpstreams = 1024; ///< The oldest limit is evicted.
  double MinRate = 0.2;            ///< Rate of probes under a limit of zero.
  double MaxRate = 1e6;            ///< Higher limits are reduced to it.
  /** A host that spends its own share keeps an unused token for this time. */
  gsTime OwnTokenLifetime = gsMilliseconds(500);
  /** Slots only: a host keeps a token after use for this time, while enough
   * slots are free. */
  gsTime KeepTime = gsSeconds(1);
  /** Slots only: time for which a token is reserved for a waiting request. */
  gsTime DeliveryTime = gsMilliseconds(50);
  /** Slots only: from the first sharing of an upstream's slots until attempts
   * need a token. Shares are lent in this time, and attempts in progress
   * without a token are reported as held. */
  gsTime EnforcementDelay = gsSeconds(1);
};

/** A host that receives tokens, which may be this host. */
struct gsRateClient
{
  bool IsOtherHallRelay = false; ///< Served only by the distributor.
  bool ReplyPending = false;     ///< A reply is sent even without a token.
  double LentRate = 0; ///< Requests per second that it lends this host.
  gsTime LentUntil{};  ///< The loan is counted until then.
  std::uint32_t TokensWanted = 0; ///< Outstanding token demand.
  gsTime DemandUntil{};           ///< The demand expires then.
  /** When its demand began or it was last issued a token. The client with the
   * earliest time is served first. */
  gsTime WaitingSince{};
  /** Slots that it has last reported to hold, counted until ReportedUntil. */
  std::uint32_t ReportedSlots = 0;
  gsTime ReportedUntil{};
  /** When slots were issued that it has not reported yet, ascending. */
  std::vector<gsTime> UnreportedSlots;
};

/** Use of an upstream's slots; unused for rates. */
struct gsSlotUse
{
  /** Tokens received from the issuer and not returned, for this host and, on a
   * relay, for its hall. */
  std::uint32_t Supply = 0;
  gsTime SupplyUntil{};                  ///< The supply expires then.
  std::uint32_t InUse = 0;               ///< Attempts in progress.
  std::uint32_t ReportedHeld = 0;        ///< Held, as last sent to the issuer.
  std::uint32_t ReceivedSinceReport = 0; ///< Tokens received since then.
  gsTime EnforcedFrom{};                 ///< Attempts need a token from then.
  gsTime HoldTime{};  ///< Smoothed duration of an attempt; zero if unknown.
  std::string LentTo; ///< Issuer to which the share was lent last.
  gsTime LoanExpiresAt{};   ///< That issuer counts the share until then.
  bool IsContended = false; ///< Holders have been told that hosts wait.
  std::uint64_t TokensReturned = 0;   ///< Attempts ended.
  std::uint64_t SentWithoutToken = 0; ///< Attempts without a token.
  std::uint64_t Rejections = 0;       ///< Attempts that the upstream rejected.
  /** Rejections that the issuer has not been told of. */
  std::uint32_t UnreportedRejections = 0;
  /** Attempts that the upstream accepts at a time. */
  gsSlotRoom Room;
};

/** Local state of a limited upstream. */
struct gsLimitedUpstream
{
  gsRateLimit Limit;
  gsTime LastListedAt{};      ///< When the upstream last had a row.
  std::vector<gsTime> Tokens; ///< Expiry times, ascending.
  std::uint32_t ReservedTokens =
    0; ///< Tokens reserved by attempts not sent yet.
  /** Expected time until the next token without demand of this host, as last
   * reported by the issuer. */
  gsTime ExpectedWait{};
  gsTime ExpectedWaitSetAt{}; ///< When ExpectedWait was set.
  /** Token bucket level: tokens that this host may issue or spend. */
  double BucketLevel = 0;
  gsTime BucketLevelSetAt{}; ///< When BucketLevel was set; tokens accrue from
                             ///< then on.
  /** Shares are lent to an issuer until then, so that this host accrues no
   * tokens of its own. */
  gsTime LentUntil{};
  /** Hosts that request tokens of or lend shares to this host, by name. An
   * entry is removed when its loan and its demand have expired. */
  std::map<std::string, gsRateClient, std::less<>> Clients;
  /** Issuer that last sent tokens or accepted this host's share. A relay lends
   * its share only if this is the current distributor. */
  std::string AcceptingIssuer;
  gsTime ShareAcceptedAt{}; ///< When it last did so.
  gsTime ShareSentAt{};     ///< When the last share update was sent.
  std::uint32_t TokensRequested =
    0; ///< Token demand sent last, minus tokens received since.
  std::uint64_t TokensSpent = 0;   ///< Tokens spent.
  std::uint64_t TokensExpired = 0; ///< Tokens that expired unused.
  std::uint64_t TokensIssued = 0;  ///< Tokens issued to other hosts.
  gsSlotUse Slots;                 ///< Only for gsLimitResource::Slots.
};

/** Token issuing roles, derived from membership. */
struct gsRateRoles
{
  std::string Self;  ///< Name of this host.
  std::string Relay; ///< Relay of this host's hall; empty if there is none.
  /** Relays by hall, including this host's; set only on relays. */
  std::map<std::string, std::string> Relays;
  std::size_t HallSize = 1; ///< Hosts of this host's hall.
  /** Recent peak number of hosts, which own equal shares of each limit. */
  std::size_t RecentPeakHosts = 1;
};

/** Limits of one resource at all upstreams, and the tokens of this host. */
struct gsRateLimits
{
  gsLimitResource Resource = gsLimitResource::Rate;
  /** False in a dry run: attempts are counted, but need no token. */
  bool IsEnforced = true;
  gsRateLimitSettings Settings;
  gsRateRoles Roles;
  /** Limited upstreams by the hash of their incarnation. */
  std::unordered_map<std::uint32_t, gsLimitedUpstream> Upstreams;
  /** When each relay last announced that it issues tokens. */
  std::map<std::string, gsTime, std::less<>> RelayAnnouncedAt;
  /** Upstreams whose changed limit has not been sent to other hosts yet. */
  std::vector<std::uint32_t> UnsentUpstreams;
  /** Upstream of each token that has been added to gsLimitedUpstream::Tokens
   * and not been reported to waiting requests yet. */
  std::vector<std::uint32_t> GrantedUpstreams;
  std::vector<gsRateMessage> Outbox; ///< Returned by the next gsRateLimitTick.
};

/** An empty table for slots. The lifetime of a token exceeds the longest usual
 * attempt; tokens are requested sooner than for rates, because requests wait
 * for them for less than a latency target. */
gsRateLimits gsMakeSlotLimits();

/** Formats a rate in requests per second for logs. */
std::string gsFormatRate(double perSecond);

/**
 * Applies the limit that an upstream's answer contains, or its absence. The
 * answer supersedes the current version only if its attempt was sent after
 * this host applied that version; a lower limit always applies. \return
 * Whether the limit has changed and has to be sent to other hosts.
 */
bool gsApplyObservedRateLimit(gsRateLimits& limits, std::uint32_t upstream,
                              std::optional<double> rate, gsTime sentAt,
                              gsTime now);

/** Applies a limit received from another host. \return Whether the local limit
 * has changed. */
bool gsApplyRateLimitNotice(gsRateLimits& limits,
                            gsRateLimitNotice const& notice, gsTime now);

/** Notices of all limits in force, for a host that may lack some. */
std::vector<gsRateLimitNotice> gsMakeActiveRateLimitNotices(
  gsRateLimits const& limits, gsTime now);

/** Notice of the current version of an upstream's limit; its version is zero
 * if there is none. */
gsRateLimitNotice gsMakeRateLimitNotice(gsRateLimits const& limits,
                                        std::uint32_t upstream, gsTime now);

/** Digest of all limits in force; zero if there are none. */
std::uint64_t gsRateLimitDigest(gsRateLimits const& limits, gsTime now);

/** Requests per second in force; empty without a limit. */
std::optional<double> gsEffectiveRate(gsRateLimits const& limits,
                                      std::uint32_t upstream, gsTime now);

/** Whether an attempt may be placed: there is no limit, or an unreserved token
 * is available. */
bool gsHasToken(gsRateLimits const& limits, std::uint32_t upstream,
                gsTime now);

/** Whether an unreserved token is available, or there is no limit; also while
 * attempts need none. */
bool gsHasUnreservedToken(gsRateLimits const& limits, std::uint32_t upstream,
                          gsTime now);

/** Reserves a token for an attempt that is not sent yet, if there is a limit.
 * \return Whether the caller has to call gsReleaseToken. */
bool gsReserveToken(gsRateLimits& limits, std::uint32_t upstream, gsTime now);

/** Cancels a reservation: the attempt has been sent or abandoned. */
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

/** An empty table for the rejections in a second that upstreams bear. Its
 * limits are replicated like rate limits; zero is a valid one. */
gsRateLimits gsMakeRejectionLimits();

/**
 * Sets the upstreams whose slots are shared, with their slots. The tables of
 * other upstreams are removed. \return Whether anything has changed.
 */
bool gsSetSharedSlots(
  gsRateLimits& limits,
  std::unordered_map<std::uint32_t, std::uint32_t> const& slots, gsTime now);

/** Cancels the reservation of an attempt that was not sent. A reserved slot is
 * available to other attempts again. */
void gsAbandonToken(gsRateLimits& limits, std::uint32_t upstream, gsTime now);

/** Returns the slot of an attempt that has ended.
 * \param duration Time for which the attempt has used it. */
void gsReturnToken(gsRateLimits& limits, std::uint32_t upstream,
                   gsTime duration, gsTime now);

/** Counts an attempt that the upstream has rejected, after its slot has been
 * returned. */
void gsRecordSlotRejection(gsRateLimits& limits, std::uint32_t upstream,
                           gsTime now);

/**
 * Sets the upstreams of which the slots are estimated and always shared, with
 * the rejections in a second that each of them bears from all hosts combined.
 * Others of gsSetSharedSlots are shared as listed. \return Whether anything
 * has changed.
 */
bool gsSetRejectionLimits(
  gsRateLimits& limits,
  std::unordered_map<std::uint32_t, double> const& maxRejections, gsTime now);

/** Whether attempts at the upstream need a token of its slots, also if the
 * sharing of listed slots is a dry run or off. */
bool gsIsSlotEnforced(gsRateLimits const& limits, std::uint32_t upstream);

/** The estimate of the slots of an upstream with a rejection limit; null for
 * any other. */
gsSlotRoom const* gsFindRoom(gsRateLimits const& limits,
                             std::uint32_t upstream);

/** Counts an attempt that was sent before the slots were shared, so that it
 * uses a slot until gsReturnToken. */
void gsAdoptAttempt(gsRateLimits& limits, std::uint32_t upstream);

/** When attempts began to need a token of the upstream's slots; zero if they
 * are not shared. Differs after the sharing has ended and begun again. */
gsTime gsEnforcedFrom(gsRateLimits const& limits, std::uint32_t upstream);

/** Expected duration of an attempt at the upstream. */
gsTime gsSlotHoldTime(gsRateLimits const& limits, std::uint32_t upstream);

/** Slots held by the hosts that borrow from this host. */
std::uint32_t gsLentSlots(gsLimitedUpstream const& upstream, gsTime now);

/** Slots that this host itself holds, in use or kept. */
std::uint32_t gsHeldSlots(gsLimitedUpstream const& upstream);

/** Tokens that this host and its borrowers wait for. */
std::uint32_t gsWantedTokens(gsLimitedUpstream const& upstream, gsTime now);

/** Applies a share lent by another host, and its token request. Ignored on
 * hosts that are not relays, and from another hall's relay while this host
 * lends to a distributor itself. */
void gsApplyRateShare(gsRateLimits& limits, std::string const& host,
                      gsRateShare const& share, gsTime now);

/** Applies received tokens, or the acceptance of a share. Tokens of a host
 * that is not this host's issuer are ignored. */
void gsApplyRateTokens(gsRateLimits& limits, std::string const& host,
                       gsRateTokens const& tokens, gsTime now);

/** Issues due tokens, and lends this host's share to its issuer when an update
 * is due. \return Messages to be sent. */
std::vector<gsRateMessage> gsRateLimitTick(gsRateLimits& limits, gsTime now);

/** When gsRateLimitTick has work next; empty if it has none. */
std::optional<gsTime> gsNextRateLimitTick(gsRateLimits const& limits,
                                          gsTime now);

/** Removes ended limits after EndedRetention, and limits of upstreams without
 * a row after UnlistedRetention. */
void gsRemoveExpiredRateLimits(
  gsRateLimits& limits,
  std::function<bool(std::uint32_t upstream)> const& isListed, gsTime now);
