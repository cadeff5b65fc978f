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

/** Mean wait for the next token without competing demand, in intervals between
 * tokens. */
constexpr double MeanIntervalsToNextToken = 0.5;
constexpr gsTime MaxLoanLifetime = gsSeconds(30);
/** Resolution of rates exchanged between hosts, in requests per second. */
constexpr double RateStep = 1e-3;

/** Clamps a rate to the permitted range, rounded down to whole steps. */
double ClampRate(gsRateLimitSettings const& settings, double rate)
{
  double steps = std::floor(rate / RateStep + RateStep);
  return std::clamp(steps * RateStep, settings.MinRate, settings.MaxRate);
}

/** Whether a limit has ended and its recovery is complete. */
bool IsInactive(gsRateLimits const& limits, gsRateLimit const& limit,
                gsTime now)
{
  return limit.Ended && now - limit.EndedAt >= limits.Settings.RecoveryTime;
}

double RateOf(gsRateLimits const& limits, gsRateLimit const& limit, gsTime now)
{
  if (!limit.Ended) {
    return limit.Rate;
  }
  double doublings = gsToSeconds(now - limit.EndedAt) /
                     gsToSeconds(limits.Settings.RecoveryDoubling);
  return std::max(1.0, limit.Rate) * std::exp2(std::max(0.0, doublings));
}

gsLimitedUpstream* Find(gsRateLimits& limits, std::uint32_t upstream)
{
  auto found = limits.Upstreams.find(upstream);
  return found == limits.Upstreams.end() ? nullptr : &found->second;
}

gsLimitedUpstream const* Find(gsRateLimits const& limits,
                              std::uint32_t upstream)
{
  auto found = limits.Upstreams.find(upstream);
  return found == limits.Upstreams.end() ? nullptr : &found->second;
}

/** Finds an upstream whose limit is in force. */
template<typename Limits>
auto FindBinding(Limits& limits, std::uint32_t upstream, gsTime now)
  -> decltype(Find(limits, upstream))
{
  if (limits.Upstreams.empty()) {
    return nullptr;
  }
  auto* found = Find(limits, upstream);
  bool binds = found != nullptr && !IsInactive(limits, found->Limit, now);
  return binds ? found : nullptr;
}

bool IsRelay(gsRateLimits const& limits)
{
  return limits.Roles.Relay == limits.Roles.Self;
}

gsTime SharePeriod(gsRateLimits const& limits)
{
  auto hosts = static_cast<gsTime::rep>(limits.Roles.HallSize);
  return std::max(limits.Settings.SharePeriod,
                  limits.Settings.SharePeriodPerHost * hosts);
}

/** Time for which a received loan is counted; tolerates two lost updates. */
gsTime LoanLifetime(gsRateLimits const& limits)
{
  return 3 * SharePeriod(limits);
}

gsTime LendDuration(gsRateLimits const& limits)
{
  return 2 * LoanLifetime(limits) + limits.Settings.FrameDelay;
}

double OwnShare(gsRateLimits const& limits, gsRateLimit const& limit,
                gsTime now)
{
  auto hosts =
    static_cast<double>(std::max<std::size_t>(1, limits.Roles.HostsOfLate));
  return RateOf(limits, limit, now) / hosts;
}

/** Combined share of this host and the hosts of its hall that lend to it. */
double HallShare(gsRateLimits const& limits, gsLimitedUpstream const& upstream,
                 gsTime now)
{
  double rate = OwnShare(limits, upstream.Limit, now);
  for (auto const& [host, client] : upstream.Clients) {
    bool counts = !client.IsOtherHallRelay && now < client.LentUntil;
    rate += counts ? client.LentRate : 0;
  }
  return std::min(rate, RateOf(limits, upstream.Limit, now));
}

/** Distributor that this relay lends to; empty if this host is the distributor
 * or not a relay, or if the distributor is not heard. */
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
  auto heard = limits.RelaysHeardAt.find(relay);
  bool distributes = relay != limits.Roles.Self &&
                     heard != limits.RelaysHeardAt.end() &&
                     now - heard->second <= limits.Settings.RelayTimeout;
  return distributes ? relay : std::string();
}

/** Host that issues tokens to this host; empty if there is none. */
std::string IssuerFor(gsRateLimits const& limits, std::uint32_t upstream,
                      gsTime now)
{
  if (IsRelay(limits)) {
    return DistributorOf(limits, upstream, now);
  }
  auto heard = limits.RelaysHeardAt.find(limits.Roles.Relay);
  bool issues = heard != limits.RelaysHeardAt.end() &&
                now - heard->second <= limits.Settings.RelayTimeout;
  return issues ? limits.Roles.Relay : std::string();
}

/** Whether the issuer counts this host's share. A relay always counts the
 * shares of its hall; a distributor confirms acceptance. */
bool IsShareAccepted(gsRateLimits const& limits,
                     gsLimitedUpstream const& upstream,
                     std::string const& issuer, gsTime now)
{
  if (issuer.empty() || !IsRelay(limits)) {
    return !issuer.empty();
  }
  return upstream.AcceptedBy == issuer &&
         now - upstream.AcceptedAt <= 3 * SharePeriod(limits);
}

/** Rate at which this host may issue or spend tokens now. */
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
    bool counts = client.IsOtherHallRelay && now < client.LentUntil;
    rate += counts ? client.LentRate : 0;
  }
  return std::min(rate, RateOf(limits, upstream.Limit, now));
}

/**
 * Updates the token bucket. A relay accumulates the tokens of BurstSpan, and
 * at least one. On a host that spends its own share, an unused token expires
 * after TokenLifetime; otherwise hundreds of hosts would each hold one.
 */
void Accrue(gsRateLimits const& limits, gsLimitedUpstream& upstream,
            gsTime now)
{
  gsRateLimitSettings const& settings = limits.Settings;
  double rate = SpendableRate(limits, upstream, now);
  double seconds = std::max(0.0, gsToSeconds(now - upstream.LevelAt));
  upstream.LevelAt = now;
  upstream.Level += rate * seconds;
  if (IsRelay(limits)) {
    double most = std::max(1.0, rate * gsToSeconds(settings.BurstSpan));
    upstream.Level = std::min(upstream.Level, most);
    return;
  }
  double due = std::floor(upstream.Level);
  if (due < 1) {
    return;
  }
  double life = gsToSeconds(settings.TokenLifetime);
  double part = upstream.Level - due;
  bool lapsed = part > rate * life;
  double most = std::max(1.0, std::floor(rate * life));
  upstream.Level = part + (lapsed ? 0 : std::min(due, most));
}

void DropExpired(gsLimitedUpstream& upstream, gsTime now)
{
  auto good =
    std::upper_bound(upstream.Tokens.begin(), upstream.Tokens.end(), now);
  upstream.Lapsed +=
    static_cast<std::uint64_t>(good - upstream.Tokens.begin());
  upstream.Tokens.erase(upstream.Tokens.begin(), good);
}

std::size_t CountValidTokens(gsLimitedUpstream const& upstream, gsTime now)
{
  auto good =
    std::upper_bound(upstream.Tokens.begin(), upstream.Tokens.end(), now);
  return static_cast<std::size_t>(upstream.Tokens.end() - good);
}

std::uint32_t TokensWantedBy(gsRateClient const& client, gsTime now)
{
  return now < client.WantedUntil ? client.Wanted : 0;
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
  std::uint32_t wants = 0;
  for (auto const& [host, client] : upstream.Clients) {
    bool counts = otherHalls || !client.IsOtherHallRelay;
    wants += counts ? TokensWantedBy(client, now) : 0;
  }
  return wants;
}

/** Selects the longest-waiting client and decrements its demand; empty if
 * there is no demand. */
std::optional<std::string> SelectNextClient(gsLimitedUpstream& upstream,
                                            bool otherHalls, gsTime now)
{
  std::optional<std::string> first;
  gsRateClient* chosen = nullptr;
  for (auto& [host, client] : upstream.Clients) {
    bool counts = (otherHalls || !client.IsOtherHallRelay) &&
                  TokensWantedBy(client, now) > 0;
    bool earlier =
      chosen == nullptr || client.WantedSince < chosen->WantedSince;
    if (counts && earlier) {
      first = host;
      chosen = &client;
    }
  }
  if (chosen != nullptr) {
    --chosen->Wanted;
    chosen->WantedSince = now;
  }
  return first;
}

/** Adds a token for this host's own requests. */
void StoreToken(gsLimitedUpstream& upstream, gsTime until)
{
  auto at =
    std::upper_bound(upstream.Tokens.begin(), upstream.Tokens.end(), until);
  upstream.Tokens.insert(at, until);
}

gsTime TimeForTokens(double wants, double rate)
{
  constexpr double longest = 3600;
  return gsFromSeconds(rate > 0 ? std::min(longest, wants / rate) : longest);
}

/** Collects replies to token requests for one upstream. */
class TokenReplies
{
public:
  explicit TokenReplies(std::uint32_t upstream)
    : Upstream(upstream)
  {
  }

  /** Adds a reply for each client that awaits one, even without a token. */
  void AddPending(gsLimitedUpstream& upstream)
  {
    for (auto& [host, client] : upstream.Clients) {
      if (std::exchange(client.ReplyPending, false)) {
        this->To[host].Upstream = this->Upstream;
      }
    }
  }

  void AddToken(std::string const& host, gsTime life)
  {
    gsRateTokens& tokens = this->To[host];
    tokens.Upstream = this->Upstream;
    tokens.Lifetime = life;
    ++tokens.Count;
  }

  /** \param first Expected time until the next token without demand at this
   *   host.
   * \param rate Rate at which tokens are issued. */
  void AppendTo(std::vector<gsRateMessage>& messages,
                gsLimitedUpstream const& upstream, gsTime first, double rate,
                gsTime now)
  {
    std::uint32_t all = TotalTokensWanted(upstream, true, now);
    for (auto& [host, tokens] : this->To) {
      tokens.Wait =
        first + TimeForTokens(all - TokensWantedBy(upstream, host, now), rate);
      messages.push_back({ host, std::nullopt, tokens });
    }
  }

private:
  std::uint32_t Upstream;
  std::map<std::string, gsRateTokens> To;
};

/** Issues a token to the next client. \return False if there is no demand. */
bool IssueNextToken(gsRateLimits& limits, std::uint32_t hash,
                    gsLimitedUpstream& upstream, bool otherHalls, gsTime life,
                    TokenReplies& replies, gsTime now)
{
  std::optional<std::string> to = SelectNextClient(upstream, otherHalls, now);
  if (!to) {
    return false;
  }
  if (*to == limits.Roles.Self) {
    StoreToken(upstream, now + life);
    limits.GrantedUpstreams.push_back(hash);
  } else {
    ++upstream.Issued;
    replies.AddToken(*to, life);
  }
  return true;
}

/** Issues due tokens on a host whose share no issuer counts. */
void IssueDueTokens(gsRateLimits& limits, std::uint32_t hash,
                    gsLimitedUpstream& upstream, TokenReplies& replies,
                    gsTime now)
{
  Accrue(limits, upstream, now);
  while (upstream.Level >= 1 &&
         IssueNextToken(limits, hash, upstream, IsRelay(limits),
                        limits.Settings.TokenLifetime, replies, now)) {
    upstream.Level -= 1;
  }
  double rate = SpendableRate(limits, upstream, now);
  std::uint32_t others = TotalTokensWanted(upstream, true, now) -
                         TokensWantedBy(upstream, limits.Roles.Self, now);
  upstream.ExpectedWait =
    TimeForTokens(MeanIntervalsToNextToken + others, rate);
  upstream.ExpectedAt = now;
}

/** Whether a share update is due: the period has elapsed, demand has changed,
 * or requested tokens did not arrive in time. */
bool IsShareDue(gsRateLimits const& limits, gsLimitedUpstream const& upstream,
                std::uint32_t wants, gsTime now)
{
  gsTime since = now - upstream.ShareSentAt;
  bool other = wants != upstream.TokensRequested &&
               since >= limits.Settings.MinTokenRequestInterval;
  bool again = wants > 0 && since >= limits.Settings.TokenRequestTimeout;
  return other || again || since >= SharePeriod(limits);
}

void SendShare(gsRateLimits const& limits, std::uint32_t hash,
               gsLimitedUpstream& upstream, std::string const& issuer,
               std::vector<gsRateMessage>& messages, gsTime now)
{
  std::uint32_t wants = TotalTokensWanted(upstream, false, now);
  if (!IsShareDue(limits, upstream, wants, now)) {
    return;
  }
  gsRateShare share;
  share.Upstream = hash;
  share.Wanted = wants;
  share.LoanLifetime = LoanLifetime(limits);
  if (IsShareAccepted(limits, upstream, issuer, now)) {
    share.LentRate = IsRelay(limits) ? HallShare(limits, upstream, now)
                                     : OwnShare(limits, upstream.Limit, now);
    Accrue(limits, upstream, now);
    upstream.LentUntil = now + LendDuration(limits);
  }
  upstream.ShareSentAt = now;
  upstream.TokensRequested = wants;
  messages.push_back({ issuer, share, std::nullopt });
}

void RemoveExpiredClients(gsLimitedUpstream& upstream, gsTime now)
{
  for (auto entry = upstream.Clients.begin();
       entry != upstream.Clients.end();) {
    bool over = now >= entry->second.LentUntil &&
                TokensWantedBy(entry->second, now) == 0;
    entry = over ? upstream.Clients.erase(entry) : std::next(entry);
  }
}

/** Adds an upstream, evicting the oldest limit if the table is full. The
 * initial level differs between hosts, to stagger the first tokens of hosts
 * that learn a limit at the same time. */
gsLimitedUpstream& Add(gsRateLimits& limits, std::uint32_t upstream,
                       gsTime now)
{
  Upstreams& all = limits.Upstreams;
  if (all.size() >= limits.Settings.MaxUpstreams) {
    all.erase(std::min_element(
      all.begin(), all.end(), [](auto const& a, auto const& b) {
        return a.second.Limit.LearnedAt < b.second.Limit.LearnedAt;
      }));
  }
  gsLimitedUpstream& added = all[upstream];
  added.Level = gsRendezvousDraw(limits.Roles.Self, upstream);
  added.LevelAt = now;
  return added;
}

/** Applies a version, after accruing tokens at the previous rate. */
void Adopt(gsRateLimits& limits, std::uint32_t upstream,
           gsRateLimit const& limit, gsTime now)
{
  gsLimitedUpstream* known = Find(limits, upstream);
  if (known == nullptr) {
    known = &Add(limits, upstream, now);
  } else {
    Accrue(limits, *known, now);
  }
  known->Limit = limit;
}

/** Tie-break between different limits with the same version. */
bool IsStricter(gsRateLimit const& a, gsRateLimit const& b)
{
  if (a.Ended != b.Ended) {
    return !a.Ended;
  }
  return a.Rate < b.Rate;
}

} // namespace

std::string gsRateText(double perSecond)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%g", perSecond);
  return text;
}

bool gsNoteRateLimit(gsRateLimits& limits, std::uint32_t upstream,
                     std::optional<double> rate, gsTime sentAt, gsTime now)
{
  gsLimitedUpstream const* known = Find(limits, upstream);
  if (!rate && (known == nullptr || known->Limit.Ended)) {
    return false;
  }
  gsRateLimit next;
  next.LearnedAt = now;
  next.Version = 1;
  next.Rate = ClampRate(limits.Settings, rate.value_or(0));
  if (known != nullptr) {
    gsRateLimit const& before = known->Limit;
    next.Version = before.Version + 1;
    bool isNewer = sentAt > before.LearnedAt;
    bool lower = rate && (before.Ended || next.Rate < before.Rate);
    bool same = rate && !before.Ended && next.Rate == before.Rate;
    if (same || (!isNewer && !lower)) {
      return false;
    }
    if (!rate) {
      next.Rate = before.Rate;
      next.Ended = true;
      next.EndedAt = now;
    }
  }
  Adopt(limits, upstream, next, now);
  limits.UnsentUpstreams.push_back(upstream);
  return true;
}

bool gsApplyRateLimitNotice(gsRateLimits& limits,
                            gsRateLimitNotice const& notice, gsTime now)
{
  gsRateLimit next;
  next.Rate = ClampRate(limits.Settings, notice.Rate);
  next.Ended = notice.Ended;
  next.EndedAt = now - notice.EndedFor;
  next.Version = notice.Version;
  next.LearnedAt = now;
  gsLimitedUpstream const* known = Find(limits, notice.Upstream);
  if (known == nullptr && IsInactive(limits, next, now)) {
    return false;
  }
  if (known != nullptr) {
    // Other hosts may have removed an ended limit and restarted its versions.
    bool over = IsInactive(limits, known->Limit, now);
    bool newer = over ? !next.Ended : next.Version > known->Limit.Version;
    bool equal = !over && next.Version == known->Limit.Version;
    if (!newer && !(equal && IsStricter(next, known->Limit))) {
      return false;
    }
  }
  Adopt(limits, notice.Upstream, next, now);
  limits.UnsentUpstreams.push_back(notice.Upstream);
  return true;
}

gsRateLimitNotice gsRateLimitNoticeOf(gsRateLimits const& limits,
                                      std::uint32_t upstream, gsTime now)
{
  gsRateLimitNotice notice;
  notice.Upstream = upstream;
  if (gsLimitedUpstream const* known = Find(limits, upstream)) {
    notice.Rate = known->Limit.Rate;
    notice.Ended = known->Limit.Ended;
    notice.EndedFor =
      known->Limit.Ended ? now - known->Limit.EndedAt : gsTime{};
    notice.Version = known->Limit.Version;
  }
  return notice;
}

std::vector<gsRateLimitNotice> gsRateLimitNotices(gsRateLimits const& limits,
                                                  gsTime now)
{
  std::vector<gsRateLimitNotice> notices;
  for (auto const& [upstream, known] : limits.Upstreams) {
    if (!IsInactive(limits, known.Limit, now)) {
      notices.push_back(gsRateLimitNoticeOf(limits, upstream, now));
    }
  }
  return notices;
}

std::uint64_t gsRateLimitDigest(gsRateLimits const& limits, gsTime now)
{
  std::uint64_t digest = 0;
  for (auto const& [upstream, known] : limits.Upstreams) {
    if (IsInactive(limits, known.Limit, now)) {
      continue;
    }
    auto steps =
      static_cast<std::uint64_t>(std::llround(known.Limit.Rate / RateStep));
    std::string const text =
      std::to_string(upstream) + ' ' + std::to_string(known.Limit.Version) +
      ' ' + std::to_string(steps) + (known.Limit.Ended ? " ended" : "");
    digest ^= gsHashText(text);
  }
  return digest;
}

std::optional<double> gsRateInForce(gsRateLimits const& limits,
                                    std::uint32_t upstream, gsTime now)
{
  gsLimitedUpstream const* known = FindBinding(limits, upstream, now);
  return known == nullptr
           ? std::nullopt
           : std::optional<double>(RateOf(limits, known->Limit, now));
}

bool gsHasToken(gsRateLimits const& limits, std::uint32_t upstream, gsTime now)
{
  gsLimitedUpstream const* known = FindBinding(limits, upstream, now);
  return known == nullptr || CountValidTokens(*known, now) > known->Reserved;
}

bool gsReserveToken(gsRateLimits& limits, std::uint32_t upstream, gsTime now)
{
  gsLimitedUpstream* known = FindBinding(limits, upstream, now);
  if (known == nullptr) {
    return false;
  }
  ++known->Reserved;
  return true;
}

void gsReleaseToken(gsRateLimits& limits, std::uint32_t upstream)
{
  if (gsLimitedUpstream* known = Find(limits, upstream)) {
    known->Reserved -= std::min(known->Reserved, 1U);
  }
}

bool gsSpendToken(gsRateLimits& limits, std::uint32_t upstream, gsTime now)
{
  gsLimitedUpstream* known = FindBinding(limits, upstream, now);
  if (known == nullptr) {
    return true;
  }
  DropExpired(*known, now);
  if (known->Tokens.empty()) {
    return false;
  }
  known->Tokens.erase(known->Tokens.begin());
  ++known->Used;
  return true;
}

bool gsRequestTokens(gsRateLimits& limits, std::uint32_t upstream,
                     std::uint32_t count, gsTime until, gsTime now)
{
  gsLimitedUpstream* known = FindBinding(limits, upstream, now);
  if (known == nullptr) {
    return true;
  }
  DropExpired(*known, now);
  gsRateClient& own = known->Clients[limits.Roles.Self];
  if (TokensWantedBy(own, now) == 0) {
    own.WantedSince = now;
    own.WantedUntil = gsTime{};
  }
  own.Wanted = count;
  own.WantedUntil = std::max(own.WantedUntil, until);
  return known->Tokens.size() > known->Reserved;
}

gsTime gsExpectedTokenWait(gsRateLimits const& limits, std::uint32_t upstream,
                           std::size_t ahead, gsTime now)
{
  gsLimitedUpstream const* known = FindBinding(limits, upstream, now);
  if (known == nullptr) {
    return {};
  }
  double rate = RateOf(limits, known->Limit, now);
  bool fresh = now - known->ExpectedAt <= limits.Settings.DemandLifetime;
  gsTime first = fresh ? known->ExpectedWait
                       : TimeForTokens(MeanIntervalsToNextToken, rate);
  return first + TimeForTokens(static_cast<double>(ahead), rate);
}

void gsApplyRateShare(gsRateLimits& limits, std::string const& host,
                      gsRateShare const& share, gsTime now)
{
  gsLimitedUpstream* known = FindBinding(limits, share.Upstream, now);
  if (known == nullptr || !IsRelay(limits)) {
    return;
  }
  bool otherHall = false;
  for (auto const& [hall, relay] : limits.Roles.Relays) {
    otherHall = otherHall || (relay == host && relay != limits.Roles.Self);
  }
  if (otherHall && !IssuerFor(limits, share.Upstream, now).empty()) {
    return; // This host is not the distributor; the sender's view differs.
  }
  Accrue(limits, *known, now);
  auto [found, isNew] = known->Clients.emplace(host, gsRateClient{});
  gsRateClient& client = found->second;
  if (isNew || TokensWantedBy(client, now) == 0) {
    client.WantedSince = now;
  }
  client.IsOtherHallRelay = otherHall;
  client.ReplyPending = otherHall || share.Wanted > 0;
  client.LentRate = std::max(0.0, share.LentRate);
  client.LentUntil = now + std::min(share.LoanLifetime, MaxLoanLifetime);
  client.Wanted = share.Wanted;
  client.WantedUntil = now + limits.Settings.DemandLifetime;
}

void gsApplyRateTokens(gsRateLimits& limits, std::string const& host,
                       gsRateTokens const& tokens, gsTime now)
{
  gsLimitedUpstream* known = FindBinding(limits, tokens.Upstream, now);
  if (known == nullptr || host != IssuerFor(limits, tokens.Upstream, now)) {
    return;
  }
  known->AcceptedBy = host;
  known->AcceptedAt = now;
  known->ExpectedWait = tokens.Wait;
  known->ExpectedAt = now;
  known->TokensRequested -= std::min(known->TokensRequested, tokens.Count);
  gsTime life = std::min(tokens.Lifetime, limits.Settings.TokenLifetime);
  TokenReplies replies(tokens.Upstream);
  std::uint32_t left = tokens.Count;
  while (left > 0 && IssueNextToken(limits, tokens.Upstream, *known, false,
                                    life, replies, now)) {
    --left;
  }
  known->Lapsed += left;
  replies.AppendTo(limits.Outbox, *known, tokens.Wait,
                   RateOf(limits, known->Limit, now), now);
}

std::vector<gsRateMessage> gsRateLimitTick(gsRateLimits& limits, gsTime now)
{
  std::vector<gsRateMessage> messages = std::exchange(limits.Outbox, {});
  for (auto& [hash, upstream] : limits.Upstreams) {
    if (IsInactive(limits, upstream.Limit, now)) {
      continue;
    }
    DropExpired(upstream, now);
    RemoveExpiredClients(upstream, now);
    TokenReplies replies(hash);
    replies.AddPending(upstream);
    std::string const issuer = IssuerFor(limits, hash, now);
    if (!issuer.empty()) {
      SendShare(limits, hash, upstream, issuer, messages, now);
    }
    if (!IsShareAccepted(limits, upstream, issuer, now)) {
      IssueDueTokens(limits, hash, upstream, replies, now);
    }
    double rate = RateOf(limits, upstream.Limit, now);
    gsTime first = issuer.empty()
                     ? TimeForTokens(MeanIntervalsToNextToken, rate)
                     : upstream.ExpectedWait;
    replies.AppendTo(messages, upstream, first, rate, now);
  }
  return messages;
}

std::optional<gsTime> gsRateLimitDue(gsRateLimits const& limits, gsTime now)
{
  std::optional<gsTime> due;
  auto note = [&due](gsTime at) { due = due ? std::min(*due, at) : at; };
  if (!limits.Outbox.empty()) {
    note(now);
  }
  for (auto const& [hash, upstream] : limits.Upstreams) {
    bool asked =
      std::any_of(upstream.Clients.begin(), upstream.Clients.end(),
                  [](auto const& entry) { return entry.second.ReplyPending; });
    if (asked) {
      note(now);
    }
    if (IsInactive(limits, upstream.Limit, now)) {
      continue;
    }
    std::string const issuer = IssuerFor(limits, hash, now);
    std::uint32_t wants = TotalTokensWanted(upstream, false, now);
    bool other = wants != upstream.TokensRequested;
    if (!issuer.empty() && (other || wants > 0)) {
      note(upstream.ShareSentAt + (other
                                     ? limits.Settings.MinTokenRequestInterval
                                     : limits.Settings.TokenRequestTimeout));
    }
    if (TotalTokensWanted(upstream, true, now) == 0) {
      continue;
    }
    double rate = SpendableRate(limits, upstream, now);
    if (!IsShareAccepted(limits, upstream, issuer, now) && rate > 0) {
      note(upstream.LevelAt + TimeForTokens(1 - upstream.Level, rate));
    }
  }
  return due;
}

void gsForgetRateLimits(
  gsRateLimits& limits,
  std::function<bool(std::uint32_t upstream)> const& isListed, gsTime now)
{
  Upstreams& all = limits.Upstreams;
  for (auto entry = all.begin(); entry != all.end();) {
    gsLimitedUpstream& upstream = entry->second;
    gsRateLimit const& limit = upstream.Limit;
    if (isListed(entry->first)) {
      upstream.ListedAt = now;
    }
    gsTime listed = std::max(upstream.ListedAt, limit.LearnedAt);
    bool gone = now - listed >= limits.Settings.UnlistedRetention;
    bool ended =
      limit.Ended && now - limit.EndedAt >= limits.Settings.EndedRetention;
    entry = gone || ended ? all.erase(entry) : std::next(entry);
  }
}
