/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRateLimit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iterator>
#include <utility>

#include "gsRendezvous.h"

namespace {

using Upstreams = std::unordered_map<std::uint32_t, gsLimitedUpstream>;

/** Mean wait for the next token without competing demand, as a multiple of the
 * interval between tokens. */
constexpr double MeanIntervalsToNextToken = 0.5;
/** Longer loan lifetimes of received shares are reduced to it. */
constexpr gsTime MaxLoanLifetime = gsSeconds(30);
/** Resolution of rates exchanged between hosts, in requests per second. */
constexpr double RateStep = 1e-3;
/** Assumed duration of an attempt until one has been measured. */
constexpr gsTime DefaultHoldTime = gsMilliseconds(50);
/** A host that spends its own share assumes that its attempts take this
 * multiple of the measured duration, and at least MinOwnHoldTime. */
constexpr double OwnHoldFactor = 2;
constexpr gsTime MinOwnHoldTime = gsMilliseconds(100);
constexpr double HoldTimeSmoothing = 0.1;
/** Share of an issuer's slots that must be free for hosts to keep tokens after
 * use. */
constexpr double MinFreeShareToKeep = 0.5;
/** Added to the shares lent to an issuer before they are rounded down to whole
 * slots. The shares of a few hosts that are gone then cost no slot, and two
 * halves of an odd number of slots do not both get the middle one. */
constexpr double ShareRounding = 0.25;
/** Expected wait that an issuer reports if less, but some, is free. */
constexpr gsTime UncontendedWait = gsMilliseconds(1);
/** Minimum expected wait that an issuer reports while other hosts wait, and
 * maximum while none does. */
constexpr gsTime MinContendedWait = gsMilliseconds(5);
constexpr gsTime MaxUncontendedWait = gsMilliseconds(4);
/** Issued slots that have not been reported are in transit for this time; they
 * are subtracted from the demand that the client reports meanwhile. */
constexpr gsTime MaxTransitTime = gsMilliseconds(100);
/** Issued slots that a report received this much later does not contain were
 * lost. Longer than a host with a tenth of a core is usually suspended. */
constexpr gsTime LostSlotTime = gsMilliseconds(200);

/** Rounds a rate down to whole steps and clamps it to the permitted range. A
 * rate that lies below a step by less than RateStep of a step, because of its
 * binary representation, counts as that step. */
double ClampRate(gsRateLimitSettings const& settings, double rate)
{
  double steps = std::floor(rate / RateStep + RateStep);
  return std::clamp(steps * RateStep, settings.MinRate, settings.MaxRate);
}

/** Whether a limit has ended and its recovery is complete. */
bool IsInactive(gsRateLimits const& limits, gsRateLimit const& limit,
                gsTime now)
{
  return limit.HasEnded &&
         now - limit.EndedAt >= limits.Settings.RecoveryDuration;
}

/** Rate in force: that of the limit, or after its end one that starts from at
 * least 1 request per second and doubles per RecoveryDoublingInterval. */
double CurrentRate(gsRateLimits const& limits, gsRateLimit const& limit,
                   gsTime now)
{
  if (!limit.HasEnded) {
    return limit.Rate;
  }
  double doublings = gsToSeconds(now - limit.EndedAt) /
                     gsToSeconds(limits.Settings.RecoveryDoublingInterval);
  return std::max(1.0, limit.Rate) * std::exp2(std::max(0.0, doublings));
}

gsLimitedUpstream* FindUpstream(gsRateLimits& limits, std::uint32_t upstream)
{
  auto found = limits.Upstreams.find(upstream);
  return found == limits.Upstreams.end() ? nullptr : &found->second;
}

gsLimitedUpstream const* FindUpstream(gsRateLimits const& limits,
                                      std::uint32_t upstream)
{
  auto found = limits.Upstreams.find(upstream);
  return found == limits.Upstreams.end() ? nullptr : &found->second;
}

/** Finds an upstream whose limit is in force. */
template<typename Limits>
auto FindInForce(Limits& limits, std::uint32_t upstream, gsTime now)
  -> decltype(FindUpstream(limits, upstream))
{
  if (limits.Upstreams.empty()) {
    return nullptr;
  }
  auto* found = FindUpstream(limits, upstream);
  bool inForce = found != nullptr && !IsInactive(limits, found->Limit, now);
  return inForce ? found : nullptr;
}

bool IsRelay(gsRateLimits const& limits)
{
  return limits.Roles.Relay == limits.Roles.Self;
}

bool SharesSlots(gsRateLimits const& limits)
{
  return limits.Resource == gsLimitResource::Slots;
}

/** Interval between share updates of this host. */
gsTime ShareInterval(gsRateLimits const& limits)
{
  auto hosts = static_cast<gsTime::rep>(limits.Roles.HallSize);
  return std::max(limits.Settings.MinShareInterval,
                  limits.Settings.ShareIntervalPerHost * hosts);
}

/** Time for which a received loan is counted; tolerates two lost updates. */
gsTime LoanLifetime(gsRateLimits const& limits)
{
  return 3 * ShareInterval(limits);
}

/** Time for which an owner does not spend a share that it has lent: the loan
 * is counted for LoanLifetime at each of two hops, which receive it late by
 * their message delays. */
gsTime LendDuration(gsRateLimits const& limits)
{
  // A relay's own share and those of its hall pass only one hop. Rates keep
  // the longer time for both.
  int hops = SharesSlots(limits) && IsRelay(limits) ? 1 : 2;
  return hops * LoanLifetime(limits) + limits.Settings.MaxFrameDelay;
}

/** This host's equal share of a limit, in requests per second. */
double OwnShare(gsRateLimits const& limits, gsRateLimit const& limit,
                gsTime now)
{
  auto hosts = static_cast<double>(
    std::max<std::size_t>(1, limits.Roles.RecentPeakHosts));
  return CurrentRate(limits, limit, now) / hosts;
}

/** Combined share of this host and the hosts of its hall that lend to it. */
double HallShare(gsRateLimits const& limits, gsLimitedUpstream const& upstream,
                 gsTime now)
{
  double rate = OwnShare(limits, upstream.Limit, now);
  for (auto const& [host, client] : upstream.Clients) {
    bool isCounted = !client.IsOtherHallRelay && now < client.LentUntil;
    rate += isCounted ? client.LentRate : 0;
  }
  return std::min(rate, CurrentRate(limits, upstream.Limit, now));
}

/** Distributor that this relay lends to; empty if this host is the distributor
 * or not a relay, or if the distributor's last announcement is older than
 * RelayTimeout. For slots no announcements are sent: the issuer replies to
 * each share, see IsShareAccepted. */
std::string DistributorOf(gsRateLimits const& limits, std::uint32_t upstream,
                          gsTime now)
{
  std::vector<std::string_view> halls;
  for (auto const& [hall, relay] : limits.Roles.Relays) {
    halls.push_back(hall);
  }
  std::optional<std::string> hall =
    gsRendezvous(halls, std::to_string(upstream));
  if (!IsRelay(limits) || !hall) {
    return {};
  }
  std::string const& relay = limits.Roles.Relays.find(*hall)->second;
  if (SharesSlots(limits)) {
    return relay == limits.Roles.Self ? std::string() : relay;
  }
  auto announcement = limits.RelayAnnouncedAt.find(relay);
  bool isReachable =
    relay != limits.Roles.Self &&
    announcement != limits.RelayAnnouncedAt.end() &&
    now - announcement->second <= limits.Settings.RelayTimeout;
  return isReachable ? relay : std::string();
}

/** Host that issues tokens to this host; empty if there is none. */
std::string IssuerFor(gsRateLimits const& limits, std::uint32_t upstream,
                      gsTime now)
{
  if (IsRelay(limits)) {
    return DistributorOf(limits, upstream, now);
  }
  if (SharesSlots(limits)) {
    return limits.Roles.Relay;
  }
  auto announcement = limits.RelayAnnouncedAt.find(limits.Roles.Relay);
  bool isIssuing = announcement != limits.RelayAnnouncedAt.end() &&
                   now - announcement->second <= limits.Settings.RelayTimeout;
  return isIssuing ? limits.Roles.Relay : std::string();
}

/** Whether the issuer counts this host's share. A relay always counts the
 * shares of its hall; a distributor, and any issuer of slots, confirms
 * acceptance, which is valid for three update intervals. */
bool IsShareAccepted(gsRateLimits const& limits,
                     gsLimitedUpstream const& upstream,
                     std::string const& issuer, gsTime now)
{
  if (issuer.empty() || (!IsRelay(limits) && !SharesSlots(limits))) {
    return !issuer.empty();
  }
  return upstream.AcceptingIssuer == issuer &&
         now - upstream.ShareAcceptedAt <= 3 * ShareInterval(limits);
}

/** Rate at which this host may issue or spend tokens now; zero while its share
 * is lent. */
double SpendableRate(gsRateLimits const& limits,
                     gsLimitedUpstream const& upstream, gsTime now)
{
  if (now < upstream.LentUntil) {
    return 0;
  }
  if (!IsRelay(limits)) {
    return OwnShare(limits, upstream.Limit, now);
  }
  double rate = HallShare(limits, upstream, now);
  for (auto const& [host, client] : upstream.Clients) {
    bool isCounted = client.IsOtherHallRelay && now < client.LentUntil;
    rate += isCounted ? client.LentRate : 0;
  }
  return std::min(rate, CurrentRate(limits, upstream.Limit, now));
}

/** Smoothed duration of an attempt, or an assumption. */
gsTime HoldTimeOf(gsLimitedUpstream const& upstream)
{
  return upstream.Slots.HoldTime.count() == 0 ? DefaultHoldTime
                                              : upstream.Slots.HoldTime;
}

/** Tokens per second that a number of slots yields if all are in use. */
double TurnoverOf(gsLimitedUpstream const& upstream, double slots)
{
  return slots / gsToSeconds(HoldTimeOf(upstream));
}

/** Rate at which tokens accrue in the bucket. A host that spends its own share
 * of an upstream's slots starts attempts at the rate that keeps this share in
 * use. */
double AccrualRate(gsRateLimits const& limits,
                   gsLimitedUpstream const& upstream, gsTime now)
{
  double rate = SpendableRate(limits, upstream, now);
  if (!SharesSlots(limits)) {
    return rate;
  }
  double holdSeconds =
    std::max(OwnHoldFactor * gsToSeconds(HoldTimeOf(upstream)),
             gsToSeconds(MinOwnHoldTime));
  return rate / holdSeconds;
}

/** Slots that a client holds: those that it has reported, and those issued
 * since then. */
std::uint32_t SlotsHeldBy(gsRateLimits const& limits,
                          gsRateClient const& client, gsTime now)
{
  auto unreported =
    std::count_if(client.UnreportedSlots.begin(), client.UnreportedSlots.end(),
                  [&limits, now](gsTime issuedAt) {
                    return now - issuedAt < limits.Settings.TokenLifetime;
                  });
  return (now < client.ReportedUntil ? client.ReportedSlots : 0) +
         static_cast<std::uint32_t>(unreported);
}

/** Slots in use or kept by this host, and those held by its clients. */
std::uint32_t SlotsHeld(gsRateLimits const& limits,
                        gsLimitedUpstream const& upstream, gsTime now)
{
  std::uint32_t held = gsHeldSlots(upstream);
  for (auto const& [host, client] : upstream.Clients) {
    held += SlotsHeldBy(limits, client, now);
  }
  return held;
}

/** Share of the listed slots that the upstream is estimated to accept. */
double RoomRatio(gsLimitedUpstream const& upstream)
{
  double listed = std::max(1.0, upstream.Limit.Rate);
  return gsRoomSize(upstream.Slots.Room, listed) / listed;
}

/** Share of the upstream's slots that this host may issue or spend. */
double SpendableShare(gsRateLimits const& limits,
                      gsLimitedUpstream const& upstream, gsTime now)
{
  return SpendableRate(limits, upstream, now) /
         std::max(1.0, upstream.Limit.Rate);
}

/** Whether a host that spends its own share of estimated slots has one left.
 * The rate at which its tokens accrue assumes a duration of attempts, which is
 * unknown at first. */
bool HasOwnSlot(gsRateLimits const& limits, gsLimitedUpstream const& upstream,
                gsTime now)
{
  if (!SharesSlots(limits) || !upstream.Slots.Room.MaxRejections) {
    return true;
  }
  double slots =
    SpendableRate(limits, upstream, now) * RoomRatio(upstream) + ShareRounding;
  return gsHeldSlots(upstream) < std::max(1.0, std::floor(slots));
}

/** Slots that this host may let be used: those received from the issuer, or
 * on a relay without an issuer the shares lent to it as far as the upstream is
 * estimated to accept them, rounded by ShareRounding and at least one. */
std::uint32_t AvailableSlots(gsRateLimits const& limits,
                             gsLimitedUpstream const& upstream,
                             bool isAccepted, gsTime now)
{
  if (isAccepted) {
    return now < upstream.Slots.SupplyUntil ? upstream.Slots.Supply : 0;
  }
  if (!IsRelay(limits) || now < upstream.LentUntil) {
    return 0;
  }
  double slots =
    SpendableRate(limits, upstream, now) * RoomRatio(upstream) + ShareRounding;
  return static_cast<std::uint32_t>(std::max(1.0, std::floor(slots)));
}

std::uint32_t FreeSlots(gsRateLimits const& limits,
                        gsLimitedUpstream const& upstream, bool isAccepted,
                        gsTime now)
{
  std::uint32_t available = AvailableSlots(limits, upstream, isAccepted, now);
  return available - std::min(available, SlotsHeld(limits, upstream, now));
}

/** Whether the issuer has reported recently that other hosts wait. Tokens are
 * then returned to it instead of being used again or kept. */
bool IsContended(gsRateLimits const& limits, gsLimitedUpstream const& upstream,
                 gsTime now)
{
  return upstream.ExpectedWait >= MinContendedWait &&
         now - upstream.ExpectedWaitSetAt <= limits.Settings.DemandLifetime;
}

/**
 * Adds the tokens that have accrued since the last update to the token bucket.
 * A relay accumulates at most the tokens of BurstSpan, or one if these are
 * fewer. On a host that spends its own share, an unused token expires after
 * OwnTokenLifetime; otherwise hundreds of hosts would each hold one.
 */
void AccrueTokens(gsRateLimits const& limits, gsLimitedUpstream& upstream,
                  gsTime now)
{
  gsRateLimitSettings const& settings = limits.Settings;
  double rate = AccrualRate(limits, upstream, now);
  double seconds = std::max(0.0, gsToSeconds(now - upstream.BucketLevelSetAt));
  upstream.BucketLevelSetAt = now;
  upstream.BucketLevel += rate * seconds;
  if (IsRelay(limits)) {
    double capacity = std::max(1.0, rate * gsToSeconds(settings.BurstSpan));
    upstream.BucketLevel = std::min(upstream.BucketLevel, capacity);
    return;
  }
  double wholeTokens = std::floor(upstream.BucketLevel);
  if (wholeTokens < 1) {
    return;
  }
  double lifetime = gsToSeconds(settings.OwnTokenLifetime);
  double fraction = upstream.BucketLevel - wholeTokens;
  bool expired = fraction > rate * lifetime;
  double maxTokens = std::max(1.0, std::floor(rate * lifetime));
  upstream.BucketLevel =
    fraction + (expired ? 0 : std::min(wholeTokens, maxTokens));
}

void RemoveExpiredTokens(gsLimitedUpstream& upstream, gsTime now)
{
  auto firstValid =
    std::upper_bound(upstream.Tokens.begin(), upstream.Tokens.end(), now);
  upstream.TokensExpired +=
    static_cast<std::uint64_t>(firstValid - upstream.Tokens.begin());
  upstream.Tokens.erase(upstream.Tokens.begin(), firstValid);
}

std::size_t CountValidTokens(gsLimitedUpstream const& upstream, gsTime now)
{
  auto firstValid =
    std::upper_bound(upstream.Tokens.begin(), upstream.Tokens.end(), now);
  return static_cast<std::size_t>(upstream.Tokens.end() - firstValid);
}

/** Token demand of a client; zero once it has expired. */
std::uint32_t TokensWantedBy(gsRateClient const& client, gsTime now)
{
  return now < client.DemandUntil ? client.TokensWanted : 0;
}

std::uint32_t TokensWantedBy(gsLimitedUpstream const& upstream,
                             std::string const& host, gsTime now)
{
  auto found = upstream.Clients.find(host);
  return found == upstream.Clients.end() ? 0
                                         : TokensWantedBy(found->second, now);
}

/** Outstanding demand at this host, of all halls or only of its own. */
std::uint32_t TotalTokensWanted(gsLimitedUpstream const& upstream,
                                bool otherHalls, gsTime now)
{
  std::uint32_t demand = 0;
  for (auto const& [host, client] : upstream.Clients) {
    bool isCounted = otherHalls || !client.IsOtherHallRelay;
    demand += isCounted ? TokensWantedBy(client, now) : 0;
  }
  return demand;
}

/** Selects the longest-waiting client and decrements its demand.
 * \return The client's host name; empty if there is no demand. */
std::optional<std::string> SelectNextClient(gsLimitedUpstream& upstream,
                                            bool otherHalls, gsTime now)
{
  std::optional<std::string> selectedHost;
  gsRateClient* selected = nullptr;
  for (auto& [host, client] : upstream.Clients) {
    bool isEligible = (otherHalls || !client.IsOtherHallRelay) &&
                      TokensWantedBy(client, now) > 0;
    bool waitsLonger =
      selected == nullptr || client.WaitingSince < selected->WaitingSince;
    if (isEligible && waitsLonger) {
      selectedHost = host;
      selected = &client;
    }
  }
  if (selected != nullptr) {
    --selected->TokensWanted;
    selected->WaitingSince = now;
  }
  return selectedHost;
}

/** Adds a token for this host's own requests. */
void StoreToken(gsLimitedUpstream& upstream, gsTime until)
{
  auto at =
    std::upper_bound(upstream.Tokens.begin(), upstream.Tokens.end(), until);
  upstream.Tokens.insert(at, until);
}

/** Time in which a number of tokens accrue; at most an hour. */
gsTime TimeForTokens(double tokenCount, double rate)
{
  constexpr double maxSeconds = 3600;
  return gsFromSeconds(rate > 0 ? std::min(maxSeconds, tokenCount / rate)
                                : maxSeconds);
}

/** Collects replies to token requests for one upstream, at most one for each
 * client. */
class TokenReplies
{
public:
  TokenReplies(gsRateLimits const& limits, std::uint32_t upstream)
    : Limits(limits)
    , UpstreamHash(upstream)
  {
  }

  /** Adds a reply for each client that awaits one, even without a token. */
  void AddPending(gsLimitedUpstream& upstream)
  {
    for (auto& [host, client] : upstream.Clients) {
      if (std::exchange(client.ReplyPending, false)) {
        gsRateTokens& tokens = this->Replies[host];
        tokens.UpstreamHash = this->UpstreamHash;
        // A reply without slots extends the lifetime of those held.
        tokens.Lifetime = SharesSlots(this->Limits)
                            ? this->Limits.Settings.TokenLifetime
                            : gsTime{};
      }
    }
  }

  /** Adds a token to the reply to a host. */
  void AddToken(std::string const& host, gsTime lifetime)
  {
    gsRateTokens& tokens = this->Replies[host];
    tokens.UpstreamHash = this->UpstreamHash;
    tokens.Lifetime = lifetime;
    ++tokens.Count;
  }

  /** Appends the replies as messages.
   * \param firstWait Expected time until the next token without demand at this
   *   host.
   * \param rate Rate at which tokens are issued. */
  void AppendTo(std::vector<gsRateMessage>& messages,
                gsLimitedUpstream const& upstream, gsTime firstWait,
                double rate, gsTime now)
  {
    std::uint32_t totalDemand = TotalTokensWanted(upstream, true, now);
    for (auto& [host, tokens] : this->Replies) {
      std::uint32_t otherDemand =
        totalDemand - TokensWantedBy(upstream, host, now);
      tokens.ExpectedWait = firstWait + TimeForTokens(otherDemand, rate);
      if (SharesSlots(this->Limits) && otherDemand > 0) {
        tokens.ExpectedWait = std::max(tokens.ExpectedWait, MinContendedWait);
      }
      gsSlotRoom const& room = upstream.Slots.Room;
      tokens.RoomSize = room.Size;
      bool isOvercommitted =
        room.Size > 0 && SlotsHeld(this->Limits, upstream, now) > room.Size;
      if (isOvercommitted) {
        tokens.ExpectedWait = std::max(tokens.ExpectedWait, MinContendedWait);
      }
      if (gsHasRecentRejection(room, now)) {
        tokens.TimeSinceRejection = now - room.RejectedAt;
      }
      messages.push_back({ host, std::nullopt, tokens });
    }
  }

private:
  gsRateLimits const& Limits;
  std::uint32_t UpstreamHash;
  std::map<std::string, gsRateTokens> Replies; ///< By receiving host.
};

/** Removes tokens that this host keeps after use, but neither reserved ones,
 * which expire last, nor those for waiting requests, which expire soon. */
void RemoveKeptTokens(gsRateLimits const& limits, gsLimitedUpstream& upstream,
                      gsTime now)
{
  auto& tokens = upstream.Tokens;
  auto reserved = static_cast<std::ptrdiff_t>(
    std::min<std::size_t>(upstream.ReservedTokens, tokens.size()));
  auto firstKept = std::upper_bound(tokens.begin(), tokens.end() - reserved,
                                    now + limits.Settings.DeliveryTime);
  tokens.erase(firstKept, tokens.end() - reserved);
}

/** Rate at which tokens are issued to all hosts, for expected waits. */
double IssueRate(gsRateLimits const& limits, gsLimitedUpstream const& upstream,
                 gsTime now)
{
  double rate = CurrentRate(limits, upstream.Limit, now);
  return SharesSlots(limits) ? TurnoverOf(upstream, rate) : rate;
}

/** Issues a token to the next client. \return False if there is no demand. */
bool IssueNextToken(gsRateLimits& limits, std::uint32_t hash,
                    gsLimitedUpstream& upstream, bool otherHalls,
                    gsTime lifetime, TokenReplies& replies, gsTime now)
{
  std::optional<std::string> receiver =
    SelectNextClient(upstream, otherHalls, now);
  if (!receiver) {
    return false;
  }
  if (*receiver == limits.Roles.Self) {
    StoreToken(
      upstream,
      now + (SharesSlots(limits) ? limits.Settings.DeliveryTime : lifetime));
    limits.GrantedUpstreams.push_back(hash);
  } else {
    ++upstream.TokensIssued;
    if (SharesSlots(limits)) {
      upstream.Clients[*receiver].UnreportedSlots.push_back(now);
    }
    replies.AddToken(*receiver, lifetime);
  }
  return true;
}

/** Issues due tokens on a host whose share no issuer counts. */
void IssueDueTokens(gsRateLimits& limits, std::uint32_t hash,
                    gsLimitedUpstream& upstream, TokenReplies& replies,
                    gsTime now)
{
  AccrueTokens(limits, upstream, now);
  while (upstream.BucketLevel >= 1 && HasOwnSlot(limits, upstream, now) &&
         IssueNextToken(limits, hash, upstream, IsRelay(limits),
                        limits.Settings.TokenLifetime, replies, now)) {
    upstream.BucketLevel -= 1;
  }
  double rate = AccrualRate(limits, upstream, now);
  std::uint32_t otherDemand = TotalTokensWanted(upstream, true, now) -
                              TokensWantedBy(upstream, limits.Roles.Self, now);
  upstream.ExpectedWait =
    TimeForTokens(MeanIntervalsToNextToken + otherDemand, rate);
  upstream.ExpectedWaitSetAt = now;
}

/** Expected time until the next slot, without demand of other hosts. */
gsTime FirstSlotWait(gsRateLimits const& limits,
                     gsLimitedUpstream const& upstream, bool isAccepted,
                     gsTime now)
{
  if (isAccepted) {
    return upstream.ExpectedWait;
  }
  if (now < upstream.LentUntil) {
    return upstream.LentUntil - now;
  }
  std::uint32_t available = AvailableSlots(limits, upstream, isAccepted, now);
  std::uint32_t free = FreeSlots(limits, upstream, isAccepted, now);
  if (free == 0) {
    return std::min(MaxUncontendedWait,
                    TimeForTokens(MeanIntervalsToNextToken,
                                  TurnoverOf(upstream, available)));
  }
  return free >= MinFreeShareToKeep * available ? gsTime{} : UncontendedWait;
}

/** Whether the slots of this hall are returned to the issuer of estimated
 * slots: other hosts wait for them, or the upstream has just rejected an
 * attempt, so that the issuer has lowered its estimate. */
bool MustReturnSlots(gsRateLimits const& limits,
                     gsLimitedUpstream const& upstream, gsTime now)
{
  gsSlotRoom const& room = upstream.Slots.Room;
  bool wasRejected =
    room.RejectedAt.count() != 0 && now - room.RejectedAt < MaxTransitTime;
  return room.MaxRejections.has_value() &&
         (wasRejected || IsContended(limits, upstream, now));
}

/** Issues the free slots of a relay, or of this host, to its clients. A relay
 * whose distributor has other hosts waiting returns them instead. */
void IssueFreeSlots(gsRateLimits& limits, std::uint32_t hash,
                    gsLimitedUpstream& upstream, bool isAccepted,
                    TokenReplies& replies, gsTime now)
{
  bool isWanted = TotalTokensWanted(upstream, true, now) > 0;
  if (!isAccepted && isWanted &&
      FreeSlots(limits, upstream, isAccepted, now) == 0) {
    gsRaiseRoom(upstream.Slots.Room, upstream.Limit.Rate,
                SpendableShare(limits, upstream, now), now);
  }
  std::uint32_t free = FreeSlots(limits, upstream, isAccepted, now);
  bool mayIssue = !isAccepted || (!IsContended(limits, upstream, now) &&
                                  !MustReturnSlots(limits, upstream, now));
  while (mayIssue && free > 0 &&
         IssueNextToken(limits, hash, upstream, !isAccepted,
                        limits.Settings.TokenLifetime, replies, now)) {
    --free;
  }
  bool isContended =
    isAccepted ? !mayIssue
               : free == 0 && TotalTokensWanted(upstream, true, now) > 0;
  if (isContended && !upstream.Slots.IsContended) {
    // Those that keep a token after use learn that others wait.
    for (auto& [host, client] : upstream.Clients) {
      client.ReplyPending =
        client.ReplyPending || SlotsHeldBy(limits, client, now) > 0;
    }
    replies.AddPending(upstream);
  }
  upstream.Slots.IsContended = isContended;
  if (isAccepted) {
    return;
  }
  std::uint32_t otherDemand = TotalTokensWanted(upstream, true, now) -
                              TokensWantedBy(upstream, limits.Roles.Self, now);
  upstream.ExpectedWait =
    FirstSlotWait(limits, upstream, isAccepted, now) +
    TimeForTokens(
      otherDemand,
      TurnoverOf(upstream, AvailableSlots(limits, upstream, false, now)));
  upstream.ExpectedWaitSetAt = now;
}

/** Removes slots that clients have not reported in time. */
void ExpireClientSlots(gsRateLimits const& limits, gsLimitedUpstream& upstream,
                       gsTime now)
{
  for (auto& [host, client] : upstream.Clients) {
    auto& issued = client.UnreportedSlots;
    auto firstValid = std::upper_bound(issued.begin(), issued.end(),
                                       now - limits.Settings.TokenLifetime);
    upstream.TokensExpired +=
      static_cast<std::uint64_t>(firstValid - issued.begin());
    issued.erase(issued.begin(), firstValid);
    if (now >= client.ReportedUntil) {
      upstream.TokensExpired += client.ReportedSlots;
      client.ReportedSlots = 0;
    }
  }
}

/** Applies what a client reports to hold. Slots issued after it sent the
 * report remain counted. */
void ApplyHeldSlots(gsRateLimits const& limits, gsRateClient& client,
                    gsRateShare const& share, gsTime now)
{
  std::uint32_t counted = SlotsHeldBy(limits, client, now);
  counted -= std::min(counted, share.Returned);
  std::size_t inTransit = counted - std::min(counted, share.Held);
  auto& issued = client.UnreportedSlots;
  issued.erase(issued.begin(),
               issued.end() - static_cast<std::ptrdiff_t>(
                                std::min(inTransit, issued.size())));
  issued.erase(issued.begin(), std::upper_bound(issued.begin(), issued.end(),
                                                now - LostSlotTime));
  client.ReportedSlots = share.Held;
  client.ReportedUntil = now + limits.Settings.TokenLifetime;
  auto recent = static_cast<std::uint32_t>(
    std::count_if(issued.begin(), issued.end(), [now](gsTime issuedAt) {
      return now - issuedAt < MaxTransitTime;
    }));
  client.TokensWanted -= std::min(client.TokensWanted, recent);
}

/** Whether the share may be lent to an issuer: no other one counts it. */
bool MayLendTo(gsLimitedUpstream const& upstream, std::string const& issuer,
               gsTime now)
{
  return upstream.Slots.LentTo == issuer ||
         now >= upstream.Slots.LoanExpiresAt;
}

/** Whether a message about slots is due before the share update: slots can be
 * returned, or the issuer counts no share yet. */
bool IsSlotMessageDue(gsRateLimits const& limits,
                      gsLimitedUpstream const& upstream,
                      std::string const& issuer, gsTime now)
{
  if (!SharesSlots(limits) ||
      !IsShareAccepted(limits, upstream, issuer, now)) {
    return false;
  }
  bool isLent =
    upstream.Slots.LentTo == issuer && now < upstream.Slots.LoanExpiresAt;
  return FreeSlots(limits, upstream, true, now) > 0 ||
         (!isLent && MayLendTo(upstream, issuer, now));
}

/** Returns the free slots and reports those held. Attempts without a token
 * count as held, so that the issuer accounts for them. */
void ReportSlots(gsRateLimits const& limits, gsLimitedUpstream& upstream,
                 gsRateShare& share, gsTime now)
{
  gsSlotUse& slots = upstream.Slots;
  share.Held = SlotsHeld(limits, upstream, now);
  std::uint32_t before = slots.ReportedHeld + slots.ReceivedSinceReport;
  share.Returned = before - std::min(before, share.Held);
  slots.Supply = share.Held;
  slots.ReportedHeld = share.Held;
  slots.ReceivedSinceReport = 0;
  share.Rejected = std::exchange(slots.UnreportedRejections, 0);
}

/** Whether a share update is due: the interval has elapsed, demand has
 * changed, requested tokens did not arrive in time, or the issuer has to stop
 * issuing tokens because of a rejection. */
bool IsShareDue(gsRateLimits const& limits, gsLimitedUpstream const& upstream,
                std::string const& issuer, std::uint32_t demand, gsTime now)
{
  if (upstream.Slots.UnreportedRejections > 0) {
    return true;
  }
  gsTime elapsed = now - upstream.ShareSentAt;
  bool demandChanged = (demand != upstream.TokensRequested ||
                        IsSlotMessageDue(limits, upstream, issuer, now)) &&
                       elapsed >= limits.Settings.MinTokenRequestInterval;
  bool retryDue = demand > 0 && elapsed >= limits.Settings.TokenRequestTimeout;
  return demandChanged || retryDue || elapsed >= ShareInterval(limits);
}

/** Requests tokens of the issuer and lends it this host's share, if an update
 * is due. A relay lends only once the distributor has accepted its share; its
 * first updates lend nothing. */
void SendShare(gsRateLimits const& limits, std::uint32_t hash,
               gsLimitedUpstream& upstream, std::string const& issuer,
               std::vector<gsRateMessage>& messages, gsTime now)
{
  std::uint32_t demand = TotalTokensWanted(upstream, false, now);
  if (!IsShareDue(limits, upstream, issuer, demand, now)) {
    return;
  }
  gsRateShare share;
  share.UpstreamHash = hash;
  share.TokensWanted = demand;
  share.LoanLifetime = LoanLifetime(limits);
  if (SharesSlots(limits)) {
    ReportSlots(limits, upstream, share, now);
  }
  if (IsShareAccepted(limits, upstream, issuer, now) &&
      (!SharesSlots(limits) || MayLendTo(upstream, issuer, now))) {
    if (SharesSlots(limits)) {
      upstream.Slots.LentTo = issuer;
      upstream.Slots.LoanExpiresAt =
        now + LoanLifetime(limits) + limits.Settings.MaxFrameDelay;
    }
    share.LentRate = IsRelay(limits) ? HallShare(limits, upstream, now)
                                     : OwnShare(limits, upstream.Limit, now);
    AccrueTokens(limits, upstream, now);
    upstream.LentUntil = now + LendDuration(limits);
  }
  upstream.ShareSentAt = now;
  upstream.TokensRequested = demand;
  messages.push_back({ issuer, share, std::nullopt });
}

void RemoveExpiredClients(gsRateLimits const& limits,
                          gsLimitedUpstream& upstream, gsTime now)
{
  for (auto entry = upstream.Clients.begin();
       entry != upstream.Clients.end();) {
    bool isExpired = now >= entry->second.LentUntil &&
                     TokensWantedBy(entry->second, now) == 0 &&
                     SlotsHeldBy(limits, entry->second, now) == 0;
    entry = isExpired ? upstream.Clients.erase(entry) : std::next(entry);
  }
}

/** Adds an upstream, evicting the oldest limit if the table is full. The
 * initial level differs between hosts, to stagger the first tokens of hosts
 * that receive a limit at the same time. */
gsLimitedUpstream& AddUpstream(gsRateLimits& limits, std::uint32_t upstream,
                               gsTime now)
{
  Upstreams& upstreams = limits.Upstreams;
  if (upstreams.size() >= limits.Settings.MaxUpstreams) {
    upstreams.erase(std::min_element(
      upstreams.begin(), upstreams.end(), [](auto const& a, auto const& b) {
        return a.second.Limit.AppliedAt < b.second.Limit.AppliedAt;
      }));
  }
  gsLimitedUpstream& added = upstreams[upstream];
  added.BucketLevel = gsRendezvousFraction(limits.Roles.Self, upstream);
  added.BucketLevelSetAt = now;
  return added;
}

/** Applies a version of a limit, after accruing tokens at the previous rate.
 */
void ApplyVersion(gsRateLimits& limits, std::uint32_t upstream,
                  gsRateLimit const& limit, gsTime now)
{
  gsLimitedUpstream* entry = FindUpstream(limits, upstream);
  if (entry == nullptr) {
    entry = &AddUpstream(limits, upstream, now);
  } else {
    AccrueTokens(limits, *entry, now);
  }
  entry->Limit = limit;
}

/** Whether attempts need a token: a limit of slots is not enforced in a dry
 * run and while the hosts begin to share the slots. */
bool NeedsToken(gsRateLimits const& limits, gsLimitedUpstream const& upstream,
                gsTime now)
{
  bool isEnforced =
    limits.IsEnforced || upstream.Slots.Room.MaxRejections.has_value();
  return isEnforced && now >= upstream.Slots.EnforcedFrom;
}

/** Lowers the estimate of an upstream's slots after rejections, or has them
 * reported to the issuer, which counts the attempts of all hosts.
 * \param inProgress Attempts that were in progress, as counted here. */
void ApplyRejections(gsRateLimits const& limits, std::uint32_t hash,
                     gsLimitedUpstream& upstream, std::uint32_t rejections,
                     std::uint32_t inProgress, gsTime now)
{
  gsSlotUse& slots = upstream.Slots;
  if (!slots.Room.MaxRejections) {
    return;
  }
  std::string const issuer = IssuerFor(limits, hash, now);
  if (IsShareAccepted(limits, upstream, issuer, now)) {
    slots.UnreportedRejections += rejections;
    slots.Room.RejectedAt = now;
    return;
  }
  // This host may count only a share of the attempts.
  double share = SpendableShare(limits, upstream, now);
  double all = share > 0 ? inProgress / std::min(share, 1.0) : inProgress;
  gsLowerRoom(slots.Room, upstream.Limit.Rate,
              static_cast<std::uint32_t>(std::lround(all)), now);
  for (auto& [host, client] : upstream.Clients) {
    client.ReplyPending =
      client.ReplyPending || SlotsHeldBy(limits, client, now) > 0;
  }
}

/** Whether limit a takes precedence over a different limit b with the same
 * version. */
bool IsStricter(gsRateLimit const& a, gsRateLimit const& b)
{
  if (a.HasEnded != b.HasEnded) {
    return !a.HasEnded;
  }
  return a.Rate < b.Rate;
}

} // namespace

std::string gsFormatRate(double perSecond)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%g", perSecond);
  return text;
}

bool gsApplyObservedRateLimit(gsRateLimits& limits, std::uint32_t upstream,
                              std::optional<double> rate, gsTime sentAt,
                              gsTime now)
{
  gsLimitedUpstream const* entry = FindUpstream(limits, upstream);
  if (!rate && (entry == nullptr || entry->Limit.HasEnded)) {
    return false;
  }
  gsRateLimit next;
  next.AppliedAt = now;
  next.Version = 1;
  next.Rate = ClampRate(limits.Settings, rate.value_or(0));
  if (entry != nullptr) {
    gsRateLimit const& current = entry->Limit;
    next.Version = current.Version + 1;
    bool isNewer = sentAt > current.AppliedAt;
    bool isLower = rate && (current.HasEnded || next.Rate < current.Rate);
    bool isSame = rate && !current.HasEnded && next.Rate == current.Rate;
    if (isSame || (!isNewer && !isLower)) {
      return false;
    }
    if (!rate) {
      next.Rate = current.Rate;
      next.HasEnded = true;
      next.EndedAt = now;
    }
  }
  ApplyVersion(limits, upstream, next, now);
  limits.UnsentUpstreams.push_back(upstream);
  return true;
}

bool gsApplyRateLimitNotice(gsRateLimits& limits,
                            gsRateLimitNotice const& notice, gsTime now)
{
  gsRateLimit next;
  next.Rate = ClampRate(limits.Settings, notice.Rate);
  next.HasEnded = notice.HasEnded;
  next.EndedAt = now - notice.TimeSinceEnd;
  next.Version = notice.Version;
  next.AppliedAt = now;
  gsLimitedUpstream const* entry = FindUpstream(limits, notice.UpstreamHash);
  if (entry == nullptr && IsInactive(limits, next, now)) {
    return false;
  }
  if (entry != nullptr) {
    // Other hosts may have removed an ended limit and restarted its versions
    // at 1, so that any limit that has not ended supersedes it.
    bool isCurrentInactive = IsInactive(limits, entry->Limit, now);
    bool supersedes =
      isCurrentInactive ? !next.HasEnded : next.Version > entry->Limit.Version;
    bool isSameVersion =
      !isCurrentInactive && next.Version == entry->Limit.Version;
    if (!supersedes && !(isSameVersion && IsStricter(next, entry->Limit))) {
      return false;
    }
  }
  ApplyVersion(limits, notice.UpstreamHash, next, now);
  limits.UnsentUpstreams.push_back(notice.UpstreamHash);
  return true;
}

gsRateLimitNotice gsMakeRateLimitNotice(gsRateLimits const& limits,
                                        std::uint32_t upstream, gsTime now)
{
  gsRateLimitNotice notice;
  notice.UpstreamHash = upstream;
  if (gsLimitedUpstream const* entry = FindUpstream(limits, upstream)) {
    notice.Rate = entry->Limit.Rate;
    notice.HasEnded = entry->Limit.HasEnded;
    notice.TimeSinceEnd =
      entry->Limit.HasEnded ? now - entry->Limit.EndedAt : gsTime{};
    notice.Version = entry->Limit.Version;
  }
  return notice;
}

std::vector<gsRateLimitNotice> gsMakeActiveRateLimitNotices(
  gsRateLimits const& limits, gsTime now)
{
  std::vector<gsRateLimitNotice> notices;
  for (auto const& [upstream, entry] : limits.Upstreams) {
    if (!IsInactive(limits, entry.Limit, now)) {
      notices.push_back(gsMakeRateLimitNotice(limits, upstream, now));
    }
  }
  return notices;
}

std::uint64_t gsRateLimitDigest(gsRateLimits const& limits, gsTime now)
{
  std::uint64_t digest = 0;
  for (auto const& [upstream, entry] : limits.Upstreams) {
    if (IsInactive(limits, entry.Limit, now)) {
      continue;
    }
    auto steps =
      static_cast<std::uint64_t>(std::llround(entry.Limit.Rate / RateStep));
    std::string const text =
      std::to_string(upstream) + ' ' + std::to_string(entry.Limit.Version) +
      ' ' + std::to_string(steps) + (entry.Limit.HasEnded ? " ended" : "");
    digest ^= gsHashText(text);
  }
  return digest;
}

std::optional<double> gsEffectiveRate(gsRateLimits const& limits,
                                      std::uint32_t upstream, gsTime now)
{
  gsLimitedUpstream const* entry = FindInForce(limits, upstream, now);
  return entry == nullptr
           ? std::nullopt
           : std::optional<double>(CurrentRate(limits, entry->Limit, now));
}

bool gsHasToken(gsRateLimits const& limits, std::uint32_t upstream, gsTime now)
{
  gsLimitedUpstream const* entry = FindInForce(limits, upstream, now);
  return entry == nullptr || !NeedsToken(limits, *entry, now) ||
         gsHasUnreservedToken(limits, upstream, now);
}

bool gsHasUnreservedToken(gsRateLimits const& limits, std::uint32_t upstream,
                          gsTime now)
{
  gsLimitedUpstream const* entry = FindInForce(limits, upstream, now);
  return entry == nullptr ||
         CountValidTokens(*entry, now) > entry->ReservedTokens;
}

bool gsReserveToken(gsRateLimits& limits, std::uint32_t upstream, gsTime now)
{
  gsLimitedUpstream* entry = FindInForce(limits, upstream, now);
  if (entry == nullptr) {
    return false;
  }
  ++entry->ReservedTokens;
  if (SharesSlots(limits) && !entry->Tokens.empty()) {
    // The token must not be returned before the attempt is sent.
    entry->Tokens.erase(entry->Tokens.begin());
    StoreToken(*entry, now + limits.Settings.TokenLifetime);
  }
  return true;
}

void gsReleaseToken(gsRateLimits& limits, std::uint32_t upstream)
{
  if (gsLimitedUpstream* entry = FindUpstream(limits, upstream)) {
    entry->ReservedTokens -= std::min(entry->ReservedTokens, 1U);
  }
}

bool gsSpendToken(gsRateLimits& limits, std::uint32_t upstream, gsTime now)
{
  gsLimitedUpstream* entry = FindInForce(limits, upstream, now);
  if (entry == nullptr) {
    return true;
  }
  RemoveExpiredTokens(*entry, now);
  bool hasToken = !entry->Tokens.empty();
  if (!hasToken && NeedsToken(limits, *entry, now)) {
    return false;
  }
  if (hasToken) {
    // Reserved slots have the latest expiry times.
    entry->Tokens.erase(SharesSlots(limits) ? std::prev(entry->Tokens.end())
                                            : entry->Tokens.begin());
  } else {
    ++entry->Slots.SentWithoutToken;
  }
  ++entry->Slots.InUse;
  ++entry->TokensSpent;
  return true;
}

void gsAbandonToken(gsRateLimits& limits, std::uint32_t upstream, gsTime now)
{
  gsReleaseToken(limits, upstream);
  gsLimitedUpstream* entry = FindUpstream(limits, upstream);
  if (entry != nullptr && SharesSlots(limits) && !entry->Tokens.empty()) {
    entry->Tokens.pop_back();
    StoreToken(*entry, now + limits.Settings.DeliveryTime);
  }
}

void gsReturnToken(gsRateLimits& limits, std::uint32_t upstream,
                   gsTime duration, gsTime now)
{
  gsLimitedUpstream* entry = FindUpstream(limits, upstream);
  if (entry == nullptr) {
    return;
  }
  gsSlotUse& slots = entry->Slots;
  slots.InUse -= std::min(slots.InUse, 1U);
  ++slots.TokensReturned;
  if (duration.count() > 0) {
    gsTime change = duration - HoldTimeOf(*entry);
    slots.HoldTime = HoldTimeOf(*entry) +
                     gsFromSeconds(HoldTimeSmoothing * gsToSeconds(change));
  }
  std::string const issuer = IssuerFor(limits, upstream, now);
  bool mayKeep = IsShareAccepted(limits, *entry, issuer, now) &&
                 entry->ExpectedWait.count() == 0 &&
                 FreeSlots(limits, *entry, true, now) > 0 &&
                 TotalTokensWanted(*entry, true, now) == 0;
  if (mayKeep) {
    StoreToken(*entry, now + limits.Settings.KeepTime);
  }
}

void gsRecordSlotRejection(gsRateLimits& limits, std::uint32_t upstream,
                           gsTime now)
{
  if (gsLimitedUpstream* entry = FindUpstream(limits, upstream)) {
    ++entry->Slots.Rejections;
    ApplyRejections(limits, upstream, *entry, 1,
                    SlotsHeld(limits, *entry, now) + 1, now);
  }
}

bool gsSetRejectionLimits(
  gsRateLimits& limits,
  std::unordered_map<std::uint32_t, double> const& maxRejections, gsTime now)
{
  bool hasChanged = false;
  for (auto& [upstream, entry] : limits.Upstreams) {
    auto found = maxRejections.find(upstream);
    std::optional<double> next;
    if (found != maxRejections.end()) {
      next = found->second;
    }
    gsSlotRoom& room = entry.Slots.Room;
    if (next == room.MaxRejections) {
      continue;
    }
    hasChanged = true;
    room.MaxRejections = next;
    if (next && entry.Limit.AppliedAt == now) {
      // Attempts in progress are counted by gsAdoptAttempt.
      entry.Slots.EnforcedFrom = now;
    }
  }
  return hasChanged;
}

bool gsIsSlotEnforced(gsRateLimits const& limits, std::uint32_t upstream)
{
  gsLimitedUpstream const* entry = FindUpstream(limits, upstream);
  return entry != nullptr &&
         (limits.IsEnforced || entry->Slots.Room.MaxRejections.has_value());
}

gsSlotRoom const* gsFindRoom(gsRateLimits const& limits,
                             std::uint32_t upstream)
{
  gsLimitedUpstream const* entry = FindUpstream(limits, upstream);
  bool isEstimated =
    entry != nullptr && entry->Slots.Room.MaxRejections.has_value();
  return isEstimated ? &entry->Slots.Room : nullptr;
}

void gsAdoptAttempt(gsRateLimits& limits, std::uint32_t upstream)
{
  if (gsLimitedUpstream* entry = FindUpstream(limits, upstream)) {
    ++entry->Slots.InUse;
  }
}

gsTime gsEnforcedFrom(gsRateLimits const& limits, std::uint32_t upstream)
{
  gsLimitedUpstream const* entry = FindUpstream(limits, upstream);
  return entry == nullptr ? gsTime{} : entry->Slots.EnforcedFrom;
}

gsTime gsSlotHoldTime(gsRateLimits const& limits, std::uint32_t upstream)
{
  gsLimitedUpstream const* entry = FindUpstream(limits, upstream);
  return entry == nullptr ? DefaultHoldTime : HoldTimeOf(*entry);
}

std::uint32_t gsLentSlots(gsLimitedUpstream const& upstream, gsTime now)
{
  std::uint32_t lent = 0;
  for (auto const& [host, client] : upstream.Clients) {
    lent += now < client.ReportedUntil ? client.ReportedSlots : 0;
    lent += static_cast<std::uint32_t>(client.UnreportedSlots.size());
  }
  return lent;
}

std::uint32_t gsHeldSlots(gsLimitedUpstream const& upstream)
{
  return upstream.Slots.InUse +
         static_cast<std::uint32_t>(upstream.Tokens.size());
}

std::uint32_t gsWantedTokens(gsLimitedUpstream const& upstream, gsTime now)
{
  return TotalTokensWanted(upstream, true, now);
}

gsRateLimits gsMakeSlotLimits()
{
  gsRateLimits limits;
  limits.Resource = gsLimitResource::Slots;
  limits.Settings.TokenLifetime = gsSeconds(2);
  limits.Settings.MinTokenRequestInterval = gsMilliseconds(5);
  limits.Settings.TokenRequestTimeout = gsMilliseconds(100);
  return limits;
}

gsRateLimits gsMakeRejectionLimits()
{
  gsRateLimits limits;
  limits.Settings.MinRate = 0;
  return limits;
}

bool gsSetSharedSlots(
  gsRateLimits& limits,
  std::unordered_map<std::uint32_t, std::uint32_t> const& slots, gsTime now)
{
  bool hasChanged = false;
  for (auto entry = limits.Upstreams.begin();
       entry != limits.Upstreams.end();) {
    bool isShared = slots.count(entry->first) != 0;
    hasChanged = hasChanged || !isShared;
    entry = isShared ? std::next(entry) : limits.Upstreams.erase(entry);
  }
  for (auto const& [upstream, count] : slots) {
    gsLimitedUpstream const* entry = FindUpstream(limits, upstream);
    if (entry != nullptr && entry->Limit.Rate == count) {
      continue;
    }
    bool isNew = entry == nullptr;
    gsRateLimit limit;
    limit.Rate = count;
    limit.Version = 1;
    limit.AppliedAt = now;
    ApplyVersion(limits, upstream, limit, now);
    if (isNew) {
      limits.Upstreams[upstream].Slots.EnforcedFrom =
        now + limits.Settings.EnforcementDelay;
    }
    hasChanged = true;
  }
  return hasChanged;
}

bool gsRequestTokens(gsRateLimits& limits, std::uint32_t upstream,
                     std::uint32_t count, gsTime until, gsTime now)
{
  gsLimitedUpstream* entry = FindInForce(limits, upstream, now);
  if (entry == nullptr) {
    return true;
  }
  RemoveExpiredTokens(*entry, now);
  gsRateClient& own = entry->Clients[limits.Roles.Self];
  if (TokensWantedBy(own, now) == 0) {
    own.WaitingSince = now;
    own.DemandUntil = gsTime{};
  }
  own.TokensWanted = count;
  own.DemandUntil = std::max(own.DemandUntil, until);
  return entry->Tokens.size() > entry->ReservedTokens;
}

gsTime gsExpectedTokenWait(gsRateLimits const& limits, std::uint32_t upstream,
                           std::size_t ahead, gsTime now)
{
  gsLimitedUpstream const* entry = FindInForce(limits, upstream, now);
  if (entry == nullptr) {
    return {};
  }
  double rate = CurrentRate(limits, entry->Limit, now);
  bool isUpToDate =
    now - entry->ExpectedWaitSetAt <= limits.Settings.DemandLifetime;
  if (SharesSlots(limits)) {
    return (isUpToDate ? entry->ExpectedWait : gsTime{}) +
           TimeForTokens(static_cast<double>(ahead), TurnoverOf(*entry, rate));
  }
  gsTime firstWait = isUpToDate
                       ? entry->ExpectedWait
                       : TimeForTokens(MeanIntervalsToNextToken, rate);
  return firstWait + TimeForTokens(static_cast<double>(ahead), rate);
}

void gsApplyRateShare(gsRateLimits& limits, std::string const& host,
                      gsRateShare const& share, gsTime now)
{
  gsLimitedUpstream* entry = FindInForce(limits, share.UpstreamHash, now);
  if (entry == nullptr || !IsRelay(limits)) {
    return;
  }
  bool isOtherHallRelay = false;
  for (auto const& [hall, relay] : limits.Roles.Relays) {
    isOtherHallRelay =
      isOtherHallRelay || (relay == host && relay != limits.Roles.Self);
  }
  if (isOtherHallRelay &&
      !IssuerFor(limits, share.UpstreamHash, now).empty()) {
    return; // The sender assumes another distributor than this host does.
  }
  AccrueTokens(limits, *entry, now);
  auto [found, isNew] = entry->Clients.emplace(host, gsRateClient{});
  gsRateClient& client = found->second;
  if (isNew || TokensWantedBy(client, now) == 0) {
    client.WaitingSince = now;
  }
  client.IsOtherHallRelay = isOtherHallRelay;
  client.ReplyPending =
    isOtherHallRelay || share.TokensWanted > 0 || SharesSlots(limits);
  client.LentRate = std::max(0.0, share.LentRate);
  client.LentUntil = now + std::min(share.LoanLifetime, MaxLoanLifetime);
  client.TokensWanted = share.TokensWanted;
  client.DemandUntil = now + limits.Settings.DemandLifetime;
  if (SharesSlots(limits)) {
    std::uint32_t inProgress = SlotsHeld(limits, *entry, now);
    ApplyHeldSlots(limits, client, share, now);
    if (share.Rejected > 0) {
      ApplyRejections(limits, share.UpstreamHash, *entry, share.Rejected,
                      inProgress, now);
    }
  }
}

void gsApplyRateTokens(gsRateLimits& limits, std::string const& host,
                       gsRateTokens const& tokens, gsTime now)
{
  gsLimitedUpstream* entry = FindInForce(limits, tokens.UpstreamHash, now);
  if (entry == nullptr ||
      host != IssuerFor(limits, tokens.UpstreamHash, now)) {
    return;
  }
  entry->AcceptingIssuer = host;
  entry->ShareAcceptedAt = now;
  entry->ExpectedWait = tokens.ExpectedWait;
  entry->ExpectedWaitSetAt = now;
  entry->TokensRequested -= std::min(entry->TokensRequested, tokens.Count);
  gsTime lifetime = std::min(tokens.Lifetime, limits.Settings.TokenLifetime);
  TokenReplies replies(limits, tokens.UpstreamHash);
  std::uint32_t undelivered = tokens.Count;
  if (SharesSlots(limits)) {
    gsSlotUse& slots = entry->Slots;
    slots.Supply += tokens.Count;
    slots.ReceivedSinceReport += tokens.Count;
    // The issuer counts the slots from before it sent this reply.
    slots.SupplyUntil = now + lifetime - limits.Settings.MaxFrameDelay;
    if (slots.Room.MaxRejections) {
      // Kept in case this host issues the tokens later.
      slots.Room.Size = tokens.RoomSize;
    }
    if (tokens.TimeSinceRejection) {
      slots.Room.RejectedAt =
        std::max(slots.Room.RejectedAt, now - *tokens.TimeSinceRejection);
    }
    if (IsContended(limits, *entry, now)) {
      RemoveKeptTokens(limits, *entry, now);
    }
    undelivered = FreeSlots(limits, *entry, true, now);
    if (MustReturnSlots(limits, *entry, now)) {
      undelivered = std::min(undelivered, tokens.Count);
    }
  }
  while (undelivered > 0 && IssueNextToken(limits, tokens.UpstreamHash, *entry,
                                           false, lifetime, replies, now)) {
    --undelivered;
  }
  entry->TokensExpired += SharesSlots(limits) ? 0 : undelivered;
  replies.AppendTo(limits.Outbox, *entry, tokens.ExpectedWait,
                   IssueRate(limits, *entry, now), now);
}

std::vector<gsRateMessage> gsRateLimitTick(gsRateLimits& limits, gsTime now)
{
  std::vector<gsRateMessage> messages = std::exchange(limits.Outbox, {});
  for (auto& [hash, upstream] : limits.Upstreams) {
    if (IsInactive(limits, upstream.Limit, now)) {
      continue;
    }
    RemoveExpiredTokens(upstream, now);
    ExpireClientSlots(limits, upstream, now);
    RemoveExpiredClients(limits, upstream, now);
    TokenReplies replies(limits, hash);
    replies.AddPending(upstream);
    std::string const issuer = IssuerFor(limits, hash, now);
    bool isAccepted = IsShareAccepted(limits, upstream, issuer, now);
    if (SharesSlots(limits) && (isAccepted || IsRelay(limits))) {
      IssueFreeSlots(limits, hash, upstream, isAccepted, replies, now);
    }
    if (!issuer.empty()) {
      SendShare(limits, hash, upstream, issuer, messages, now);
    }
    bool usesBucket = !SharesSlots(limits) || !IsRelay(limits);
    if (usesBucket && !IsShareAccepted(limits, upstream, issuer, now)) {
      IssueDueTokens(limits, hash, upstream, replies, now);
    }
    double rate = IssueRate(limits, upstream, now);
    gsTime firstWait = issuer.empty()
                         ? TimeForTokens(MeanIntervalsToNextToken, rate)
                         : upstream.ExpectedWait;
    if (SharesSlots(limits)) {
      firstWait = FirstSlotWait(limits, upstream, isAccepted, now);
    }
    replies.AppendTo(messages, upstream, firstWait, rate, now);
  }
  return messages;
}

std::optional<gsTime> gsNextRateLimitTick(gsRateLimits const& limits,
                                          gsTime now)
{
  std::optional<gsTime> due;
  auto schedule = [&due](gsTime at) { due = due ? std::min(*due, at) : at; };
  if (!limits.Outbox.empty()) {
    schedule(now);
  }
  for (auto const& [hash, upstream] : limits.Upstreams) {
    bool replyPending =
      std::any_of(upstream.Clients.begin(), upstream.Clients.end(),
                  [](auto const& entry) { return entry.second.ReplyPending; });
    if (replyPending) {
      schedule(now);
    }
    if (IsInactive(limits, upstream.Limit, now)) {
      continue;
    }
    std::string const issuer = IssuerFor(limits, hash, now);
    std::uint32_t demand = TotalTokensWanted(upstream, false, now);
    bool demandChanged = demand != upstream.TokensRequested ||
                         IsSlotMessageDue(limits, upstream, issuer, now);
    if (!issuer.empty() && upstream.Slots.UnreportedRejections > 0) {
      schedule(now);
    }
    if (!issuer.empty() && (demandChanged || demand > 0)) {
      schedule(upstream.ShareSentAt +
               (demandChanged ? limits.Settings.MinTokenRequestInterval
                              : limits.Settings.TokenRequestTimeout));
    }
    if (SharesSlots(limits) && !upstream.Tokens.empty()) {
      schedule(upstream.Tokens.front());
    }
    bool mayRise = IsRelay(limits) &&
                   !IsShareAccepted(limits, upstream, issuer, now) &&
                   TotalTokensWanted(upstream, true, now) > 0;
    std::optional<gsTime> rise =
      mayRise ? gsNextRoomRise(upstream.Slots.Room, upstream.Limit.Rate,
                               SpendableShare(limits, upstream, now))
              : std::nullopt;
    if (rise) {
      schedule(*rise);
    }
    bool usesBucket = !SharesSlots(limits) || !IsRelay(limits);
    if (!usesBucket || TotalTokensWanted(upstream, true, now) == 0) {
      continue;
    }
    double rate = AccrualRate(limits, upstream, now);
    if (!IsShareAccepted(limits, upstream, issuer, now) && rate > 0) {
      schedule(upstream.BucketLevelSetAt +
               TimeForTokens(1 - upstream.BucketLevel, rate));
    }
  }
  return due;
}

void gsRemoveExpiredRateLimits(
  gsRateLimits& limits,
  std::function<bool(std::uint32_t upstream)> const& isListed, gsTime now)
{
  Upstreams& upstreams = limits.Upstreams;
  for (auto entry = upstreams.begin(); entry != upstreams.end();) {
    gsLimitedUpstream& upstream = entry->second;
    gsRateLimit const& limit = upstream.Limit;
    if (isListed(entry->first)) {
      upstream.LastListedAt = now;
    }
    gsTime lastListedAt = std::max(upstream.LastListedAt, limit.AppliedAt);
    bool isUnlisted = now - lastListedAt >= limits.Settings.UnlistedRetention;
    bool isRetentionOver =
      limit.HasEnded && now - limit.EndedAt >= limits.Settings.EndedRetention;
    entry = isUnlisted || isRetentionOver ? upstreams.erase(entry)
                                          : std::next(entry);
  }
}
