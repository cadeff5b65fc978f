/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRateLimiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "gsLog.h"

namespace {

constexpr gsTime DigestInterval = gsMilliseconds(500);
/** Limits in transit make digests differ briefly. */
constexpr gsTime DigestMismatchGracePeriod = gsMilliseconds(400);
/**
 * Interval between transmissions of all limits to a relay whose digests do not
 * arrive.
 */
constexpr gsTime RetransmissionInterval = gsSeconds(1);
constexpr gsTime RolesUpdateInterval = gsMilliseconds(50);
constexpr gsTime CleanupInterval = gsSeconds(10);
constexpr gsTime MinTimerDelay = gsMilliseconds(1);
constexpr gsTime SharedSlotsInterval = gsMilliseconds(500);
/** Services with more upstreams are not shared; placement evaluates no more
 * either. */
constexpr std::size_t MaxSharedUpstreams = 256;
/** Values of RateShare.resource and RateTokens.resource. */
constexpr std::uint32_t WireRate = 0;
constexpr std::uint32_t WireSlots = 1;
constexpr double MilliUnits = 1e3;
constexpr double MicroUnits = 1e6;

std::uint64_t ToUnits(double rate, double unit)
{
  return static_cast<std::uint64_t>(std::llround(std::max(0.0, rate) * unit));
}

double FromUnits(std::uint64_t units, double unit)
{
  return static_cast<double>(units) / unit;
}

std::uint64_t ToMicros(gsTime time)
{
  return static_cast<std::uint64_t>(std::max(time, gsTime{}).count());
}

std::uint32_t WireResource(gsRateLimits const& limits)
{
  return limits.Resource == gsLimitResource::Slots ? WireSlots : WireRate;
}

/** Converts a received duration, capped at one hour. */
gsTime FromMicros(std::uint64_t micros)
{
  constexpr auto maximum =
    static_cast<std::uint64_t>(gsTime(std::chrono::hours(1)).count());
  return gsTime(static_cast<gsTime::rep>(std::min(micros, maximum)));
}

} // namespace

gsRateLimiter::gsRateLimiter(gsLoop& loop, gsFleet& fleet)
  : Loop(loop)
  , Fleet(fleet)
  , Limits(fleet.RateLimits)
  , Slots(fleet.SlotLimits)
  , Rates{ fleet.RateLimits, false, {} }
  , Rejections{ fleet.RejectionLimits, true, {} }
  , DueTimer(loop, [this] { this->Run(gsLoop::Now()); })
{
}

void gsRateLimiter::ConnectGateway(gsRouteGateway& gateway)
{
  this->Gateway = &gateway;
  gateway.SetRateLimitCallback([this] { this->Publish(); });
  gateway.SetSlotReturnCallback([this] { this->ScheduleRun(); });
  gateway.SetTokenSource(
    [this](std::uint32_t upstream, std::uint32_t count, gsTime until) {
      return this->RequestTokens(upstream, count, until);
    });
}

void gsRateLimiter::SetRecentPeakHosts(std::size_t hosts)
{
  this->Limits.Roles.RecentPeakHosts = hosts;
  this->Slots.Roles.RecentPeakHosts = hosts;
}

void gsRateLimiter::SetSlotSharing(gsFeatureMode mode)
{
  this->SlotMode = mode;
  this->Slots.IsEnforced = mode == gsFeatureMode::On;
}

void gsRateLimiter::UpdateSharedSlots(gsRouteTable const& table, gsTime now)
{
  bool isDue = now - this->SharedSlotsUpdatedAt >= SharedSlotsInterval;
  if (!isDue) {
    return;
  }
  this->SharedSlotsUpdatedAt = now;
  this->SmallServiceSlots =
    gsIsActive(this->SlotMode) ? this->FindSmallServices(table) : SlotCounts();
  if (this->ShareSlots(now)) {
    this->ScheduleRun();
    this->NotifyChange();
  }
}

/** Slots of the upstreams of services that have fewer of them than there are
 * hosts. */
gsRateLimiter::SlotCounts gsRateLimiter::FindSmallServices(
  gsRouteTable const& table) const
{
  std::size_t hosts = this->Slots.Roles.RecentPeakHosts;
  SlotCounts shared;
  for (gsRouteService const& service : table.Services) {
    auto rows = this->Fleet.ByService.find(service.Name);
    bool isCandidate = !service.Engine &&
                       rows != this->Fleet.ByService.end() &&
                       rows->second.size() <= MaxSharedUpstreams;
    if (!isCandidate) {
      continue;
    }
    std::size_t slots = 0;
    for (std::size_t index : rows->second) {
      slots += this->Fleet.Rows[index].Listed.Slots;
    }
    if (slots >= hosts) {
      continue;
    }
    for (std::size_t index : rows->second) {
      gsFleetRow const& row = this->Fleet.Rows[index];
      shared[row.Hash] = row.Listed.Slots;
    }
  }
  return shared;
}

/**
 * Rejections in a second that the listed upstreams bear. An upstream from
 * which no answer has come since others of its service began to state a limit
 * is treated like the strictest of them: it may have started after a crash.
 */
std::unordered_map<std::uint32_t, double> gsRateLimiter::FindRejectionLimits(
  gsTime now) const
{
  struct Statement
  {
    double MaxRejections;
    gsTime FirstAt;
  };
  gsRateLimits const& limits = this->Fleet.RejectionLimits;
  std::unordered_map<std::uint32_t, double> found;
  std::unordered_map<std::string, Statement> byService;
  for (auto const& [hash, entry] : limits.Upstreams) {
    auto row = this->Fleet.ByHash.find(hash);
    std::optional<double> limit = gsEffectiveRate(limits, hash, now);
    if (row == this->Fleet.ByHash.end() || !limit) {
      continue;
    }
    found[hash] = *limit;
    if (entry.Limit.HasEnded) {
      continue;
    }
    std::string const& service = this->Fleet.Rows[row->second].Listed.Service;
    Statement const stated{ *limit, entry.Limit.AppliedAt };
    Statement& strictest = byService.emplace(service, stated).first->second;
    strictest.MaxRejections = std::min(strictest.MaxRejections, *limit);
    strictest.FirstAt = std::min(strictest.FirstAt, stated.FirstAt);
  }
  for (auto const& [service, stated] : byService) {
    for (std::size_t index : this->Fleet.ByService.at(service)) {
      gsFleetRow const& row = this->Fleet.Rows[index];
      if (row.LastReceivedAt < stated.FirstAt) {
        found.emplace(row.Hash, stated.MaxRejections);
      }
    }
  }
  return found;
}

/** Sets which upstreams' slots are shared. \return Whether it has changed. */
bool gsRateLimiter::ShareSlots(gsTime now)
{
  SlotCounts shared = this->SmallServiceSlots;
  std::unordered_map<std::uint32_t, double> const limits =
    this->FindRejectionLimits(now);
  for (auto const& [hash, limit] : limits) {
    shared[hash] = this->Fleet.Rows[this->Fleet.ByHash.at(hash)].Listed.Slots;
  }
  bool hasChanged = gsSetSharedSlots(this->Slots, shared, now);
  hasChanged = gsSetRejectionLimits(this->Slots, limits, now) || hasChanged;
  if (!hasChanged) {
    return false;
  }
  if (this->Gateway != nullptr) {
    this->Gateway->AdoptAttempts();
  }
  gsLogLine("slots_shared")
    .With("upstreams", static_cast<std::uint64_t>(shared.size()))
    .With("with_rejection_limit", static_cast<std::uint64_t>(limits.size()))
    .With("hosts",
          static_cast<std::uint64_t>(this->Slots.Roles.RecentPeakHosts))
    .With("dry_run", !this->Slots.IsEnforced);
  return true;
}

/** Updates the issuing roles from membership. */
void gsRateLimiter::UpdateRoles(gsTime now)
{
  bool isCurrent = this->RolesUpdatedAt.count() != 0 &&
                   now - this->RolesUpdatedAt < RolesUpdateInterval;
  if (this->Cluster == nullptr || isCurrent) {
    return;
  }
  this->RolesUpdatedAt = now;
  gsHallMembership const& members = this->Cluster->Members();
  gsRateRoles& roles = this->Limits.Roles;
  roles.Self = this->Cluster->Self();
  roles.Relay = gsHallRelay(members, now);
  roles.HallSize = gsHallSize(members, now);
  roles.Relays.clear();
  if (roles.Relay == roles.Self) {
    roles.Relays = gsOtherRelays(members, now);
    roles.Relays[this->Fleet.Settings.Hall] = roles.Self;
  }
  this->Slots.Roles = roles;
  this->Rejections.Limits.Roles = roles;
}

std::string gsRateLimiter::NameOf(std::uint32_t upstream) const
{
  auto row = this->Fleet.ByHash.find(upstream);
  return row == this->Fleet.ByHash.end()
           ? std::string()
           : this->Fleet.Rows[row->second].Listed.Id;
}

void gsRateLimiter::SendNotice(Replicated const& replicated,
                               gsRateLimitNotice const& notice,
                               Hosts const& hosts)
{
  for (std::string const& host : hosts) {
    if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
      gradescale::RateLimit* wire = replicated.IsRejections
                                      ? frame->add_rejection_limits()
                                      : frame->add_rate_limits();
      wire->set_upstream(notice.UpstreamHash);
      wire->set_rate_milli(ToUnits(notice.Rate, MilliUnits));
      wire->set_ended(notice.HasEnded);
      wire->set_ended_for_us(ToMicros(notice.TimeSinceEnd));
      wire->set_version(notice.Version);
    }
  }
}

/** Schedules a new placement of requests that wait for tokens. */
void gsRateLimiter::NotifyChange()
{
  if (this->Gateway != nullptr) {
    this->Loop.Defer([this] { this->Gateway->RetryWaiting(); });
  }
}

/** Sends limits changed by answers to other hosts. */
void gsRateLimiter::Publish()
{
  gsTime now = gsLoop::Now();
  for (Replicated const* replicated : { &this->Rates, &this->Rejections }) {
    std::vector<std::uint32_t> changed =
      std::exchange(replicated->Limits.UnsentUpstreams, {});
    if (this->Cluster == nullptr) {
      continue;
    }
    Hosts const receivers = gsGossipReceivers(
      *this->Cluster, this->Fleet.Settings.Hall, this->Fleet.Settings.Hall);
    for (std::uint32_t upstream : changed) {
      this->SendNotice(
        *replicated, gsMakeRateLimitNotice(replicated->Limits, upstream, now),
        receivers);
    }
  }
  if (this->Cluster != nullptr) {
    this->SendDigest(now);
  }
  this->ShareSlots(now);
  this->ScheduleRun();
  this->NotifyChange();
}

/** Requests tokens. \return Whether one is available now. */
bool gsRateLimiter::RequestTokens(std::uint32_t upstream, std::uint32_t count,
                                  gsTime until)
{
  gsTime now = gsLoop::Now();
  this->UpdateRoles(now);
  bool hasToken = gsRequestTokens(this->Limits, upstream, count, until, now);
  // No slot is held while a token of the rate limit is missing.
  bool hasSlot =
    gsRequestTokens(this->Slots, upstream, hasToken ? count : 0, until, now);
  if (!hasToken || !hasSlot) {
    this->Run(now);
  }
  return gsHasToken(this->Limits, upstream, now) &&
         gsHasToken(this->Slots, upstream, now);
}

/** Follows limits that end and upstreams that are listed anew while there are
 * rejection limits. \return When to be called again. */
std::optional<gsTime> gsRateLimiter::UpdateRejectionLimits(gsTime now)
{
  bool isUsed = !this->Rejections.Limits.Upstreams.empty();
  if (!isUsed) {
    return std::nullopt;
  }
  if (now - this->RejectionLimitsUpdatedAt >= SharedSlotsInterval) {
    this->RejectionLimitsUpdatedAt = now;
    if (this->ShareSlots(now)) {
      this->NotifyChange();
    }
  }
  return this->RejectionLimitsUpdatedAt + SharedSlotsInterval;
}

/** Issues, requests and delivers tokens, and schedules the next run. */
void gsRateLimiter::Run(gsTime now)
{
  this->RunScheduled = false;
  std::optional<gsTime> due = this->UpdateRejectionLimits(now);
  for (gsRateLimits* limits : { &this->Limits, &this->Slots }) {
    if (limits->Upstreams.empty()) {
      continue;
    }
    this->UpdateRoles(now);
    this->SendMessages(*limits, now);
    if (!limits->GrantedUpstreams.empty()) {
      this->Loop.Defer([this] { this->DeliverTokens(); });
    }
    if (std::optional<gsTime> next = gsNextRateLimitTick(*limits, now)) {
      due = due ? std::min(*due, *next) : *next;
    }
  }
  if (due) {
    this->DueTimer.Once(std::max(*due - now, gsTime(MinTimerDelay)));
  }
}

void gsRateLimiter::SendMessages(gsRateLimits& limits, gsTime now)
{
  for (gsRateMessage const& message : gsRateLimitTick(limits, now)) {
    gradescale::Frame* frame = this->Cluster == nullptr
                                 ? nullptr
                                 : this->Cluster->ToHost(message.Receiver);
    if (frame == nullptr) {
      continue;
    }
    if (message.Share) {
      gradescale::RateShare* wire = frame->add_rate_shares();
      wire->set_upstream(message.Share->UpstreamHash);
      wire->set_lent_micro(ToUnits(message.Share->LentRate, MicroUnits));
      wire->set_loan_life_us(ToMicros(message.Share->LoanLifetime));
      wire->set_wanted(message.Share->TokensWanted);
      wire->set_resource(WireResource(limits));
      wire->set_returned(message.Share->Returned);
      wire->set_held(message.Share->Held);
      wire->set_rejected(message.Share->Rejected);
    }
    if (message.Tokens) {
      gradescale::RateTokens* wire = frame->add_rate_tokens();
      wire->set_upstream(message.Tokens->UpstreamHash);
      wire->set_count(message.Tokens->Count);
      wire->set_life_us(ToMicros(message.Tokens->Lifetime));
      wire->set_wait_us(ToMicros(message.Tokens->ExpectedWait));
      wire->set_resource(WireResource(limits));
      wire->set_room(message.Tokens->RoomSize);
      if (message.Tokens->TimeSinceRejection) {
        wire->set_rejected_for_us(
          ToMicros(*message.Tokens->TimeSinceRejection) + 1);
      }
    }
  }
}

/** Logs when the slots of this host, or of its hall, are lent to another
 * issuer. */
void gsRateLimiter::LogIssuerChanges()
{
  for (auto const& [hash, upstream] : this->Slots.Upstreams) {
    std::string& logged = this->LoggedIssuers[hash];
    if (logged == upstream.Slots.LentTo) {
      continue;
    }
    logged = upstream.Slots.LentTo;
    gsLogLine("slots_lent")
      .With("upstream", this->NameOf(hash))
      .With("slots", gsFormatRate(upstream.Limit.Rate))
      .With("to", logged)
      .With("held", static_cast<std::uint64_t>(gsHeldSlots(upstream)));
  }
  if (this->LoggedIssuers.size() > this->Slots.Upstreams.size()) {
    for (auto entry = this->LoggedIssuers.begin();
         entry != this->LoggedIssuers.end();) {
      bool isShared = this->Slots.Upstreams.count(entry->first) != 0;
      entry = isShared ? std::next(entry) : this->LoggedIssuers.erase(entry);
    }
  }
}

void gsRateLimiter::ScheduleRun()
{
  if (!std::exchange(this->RunScheduled, true)) {
    this->Loop.Defer([this] { this->Run(gsLoop::Now()); });
  }
}

void gsRateLimiter::DeliverTokens()
{
  for (gsRateLimits* limits : { &this->Limits, &this->Slots }) {
    for (std::uint32_t upstream :
         std::exchange(limits->GrantedUpstreams, {})) {
      if (this->Gateway != nullptr) {
        this->Gateway->OnToken(upstream);
      }
    }
  }
}

void gsRateLimiter::SendAll(std::string const& host, gsTime now)
{
  for (Replicated const* replicated : { &this->Rates, &this->Rejections }) {
    for (gsRateLimitNotice const& notice :
         gsMakeActiveRateLimitNotices(replicated->Limits, now)) {
      this->SendNotice(*replicated, notice, { host });
    }
  }
}

bool gsRateLimiter::HasLimits() const
{
  return !this->Limits.Upstreams.empty() ||
         !this->Rejections.Limits.Upstreams.empty();
}

void gsRateLimiter::SendDigest(gsTime now)
{
  std::uint64_t rates = gsRateLimitDigest(this->Limits, now);
  std::uint64_t rejections = gsRateLimitDigest(this->Rejections.Limits, now);
  this->UpdateRoles(now);
  if ((rates == 0 && rejections == 0) ||
      this->Limits.Roles.Relay != this->Limits.Roles.Self) {
    return;
  }
  this->DigestSentAt = now;
  Hosts receivers = gsHallPeers(this->Cluster->Members(), now);
  for (auto const& [hall, relay] : this->Limits.Roles.Relays) {
    receivers.push_back(relay);
  }
  for (std::string const& host : receivers) {
    gradescale::Frame* frame =
      host == this->Limits.Roles.Self ? nullptr : this->Cluster->ToHost(host);
    if (frame != nullptr) {
      frame->set_rate_limits_digest(rates);
      frame->set_rejection_limits_digest(rejections);
    }
  }
}

/** Exchanges all limits with a relay whose digest has differed for the grace
 * period. A host without limits requests them immediately. */
void gsRateLimiter::CompareDigest(Replicated& replicated,
                                  std::string const& host,
                                  std::uint64_t digest, gsTime now)
{
  replicated.Limits.RelayAnnouncedAt[host] = now;
  if (digest == gsRateLimitDigest(replicated.Limits, now)) {
    replicated.MismatchedSince.erase(host);
    return;
  }
  auto [since, isNew] = replicated.MismatchedSince.emplace(host, now);
  bool inGracePeriod =
    isNew || now - since->second < DigestMismatchGracePeriod;
  if (inGracePeriod && !replicated.Limits.Upstreams.empty()) {
    return;
  }
  replicated.MismatchedSince.erase(since);
  this->SendAll(host, now);
  if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
    frame->set_wants_rate_limits(true);
  }
}

/** Applies a limit of another host, and has a relay forward it. \return
 * Whether the limit has changed. */
bool gsRateLimiter::ApplyNotice(Replicated& replicated,
                                gradescale::RateLimit const& wire,
                                std::string const& host, gsTime now)
{
  gsRateLimitNotice notice;
  notice.UpstreamHash = wire.upstream();
  notice.Rate = FromUnits(wire.rate_milli(), MilliUnits);
  notice.HasEnded = wire.ended();
  notice.TimeSinceEnd = FromMicros(wire.ended_for_us());
  notice.Version = wire.version();
  if (!gsApplyRateLimitNotice(replicated.Limits, notice, now)) {
    return false;
  }
  gsLogLine(replicated.IsRejections ? "rejection_limit_received"
                                    : "rate_limit_received")
    .With("upstream", this->NameOf(notice.UpstreamHash))
    .With("upstream_hash", notice.UpstreamHash)
    .With("per_second", gsFormatRate(notice.Rate))
    .With("ended", notice.HasEnded)
    .With("version", notice.Version)
    .With("from", host);
  if (this->Limits.Roles.Relay == this->Limits.Roles.Self) {
    std::string const hall(gsHallOf(this->Cluster->Members(), host));
    this->SendNotice(
      replicated, notice,
      gsGossipReceivers(*this->Cluster, hall, this->Fleet.Settings.Hall));
  }
  return true;
}

void gsRateLimiter::ApplyNotices(std::string const& host,
                                 gradescale::Frame const& frame, gsTime now)
{
  bool changed = false;
  for (gradescale::RateLimit const& wire : frame.rate_limits()) {
    changed = this->ApplyNotice(this->Rates, wire, host, now) || changed;
  }
  for (gradescale::RateLimit const& wire : frame.rejection_limits()) {
    changed = this->ApplyNotice(this->Rejections, wire, host, now) || changed;
  }
  this->Limits.UnsentUpstreams.clear();
  this->Rejections.Limits.UnsentUpstreams.clear();
  if (!changed) {
    return;
  }
  if (this->Limits.Roles.Relay == this->Limits.Roles.Self) {
    this->SendDigest(now);
  }
  this->ShareSlots(now);
  this->NotifyChange();
}

void gsRateLimiter::OnReceive(std::string const& host,
                              gradescale::Frame const& frame)
{
  bool isRelevant =
    !frame.rate_limits().empty() || !frame.rejection_limits().empty() ||
    !frame.rate_shares().empty() || !frame.rate_tokens().empty() ||
    frame.rate_limits_digest() != 0 || frame.rejection_limits_digest() != 0 ||
    frame.wants_rate_limits();
  if (!isRelevant) {
    return;
  }
  gsTime now = gsLoop::Now();
  this->UpdateRoles(now);
  this->ApplyNotices(host, frame, now);
  if (frame.rate_limits_digest() != 0) {
    this->CompareDigest(this->Rates, host, frame.rate_limits_digest(), now);
  }
  if (frame.rejection_limits_digest() != 0) {
    this->CompareDigest(this->Rejections, host,
                        frame.rejection_limits_digest(), now);
  }
  if (frame.wants_rate_limits()) {
    this->SendAll(host, now);
  }
  this->ReceiveTokens(host, frame, now);
  this->ScheduleRun();
}

/** Applies shares and tokens of both resources. Other resources are of later
 * releases and ignored. */
void gsRateLimiter::ReceiveTokens(std::string const& host,
                                  gradescale::Frame const& frame, gsTime now)
{
  auto limitsOf = [this](std::uint32_t resource) -> gsRateLimits* {
    if (resource == WireRate) {
      return &this->Limits;
    }
    return resource == WireSlots ? &this->Slots : nullptr;
  };
  for (gradescale::RateShare const& wire : frame.rate_shares()) {
    gsRateShare share;
    share.UpstreamHash = wire.upstream();
    share.LentRate = FromUnits(wire.lent_micro(), MicroUnits);
    share.LoanLifetime = FromMicros(wire.loan_life_us());
    share.TokensWanted = wire.wanted();
    share.Returned = wire.returned();
    share.Held = wire.held();
    share.Rejected = wire.rejected();
    if (gsRateLimits* limits = limitsOf(wire.resource())) {
      gsApplyRateShare(*limits, host, share, now);
    }
  }
  for (gradescale::RateTokens const& wire : frame.rate_tokens()) {
    gsRateTokens tokens;
    tokens.UpstreamHash = wire.upstream();
    tokens.Count = wire.count();
    tokens.Lifetime = FromMicros(wire.life_us());
    tokens.ExpectedWait = FromMicros(wire.wait_us());
    tokens.RoomSize = wire.room();
    if (wire.rejected_for_us() > 0) {
      tokens.TimeSinceRejection = FromMicros(wire.rejected_for_us() - 1);
    }
    if (gsRateLimits* limits = limitsOf(wire.resource())) {
      gsApplyRateTokens(*limits, host, tokens, now);
    }
  }
}

void gsRateLimiter::Tick(gsTime now)
{
  bool isUnused = !this->HasLimits() && this->Slots.Upstreams.empty();
  if (isUnused || this->Cluster == nullptr) {
    return;
  }
  this->Run(now);
  this->LogIssuerChanges();
  if (!this->HasLimits()) {
    return;
  }
  if (now - this->DigestSentAt >= DigestInterval) {
    this->SendDigest(now);
  }
  gsRateRoles const& roles = this->Limits.Roles;
  gsTime announcedAt = gsTime::min();
  for (Replicated const* replicated : { &this->Rates, &this->Rejections }) {
    auto const& announced = replicated->Limits.RelayAnnouncedAt;
    auto found = announced.find(roles.Relay);
    announcedAt = std::max(
      announcedAt, found == announced.end() ? announcedAt : found->second);
  }
  bool relayTimedOut = announcedAt == gsTime::min() ||
                       now - announcedAt > this->Limits.Settings.RelayTimeout;
  if (roles.Relay != roles.Self && relayTimedOut &&
      now - this->AllLimitsSentAt >= RetransmissionInterval) {
    this->AllLimitsSentAt = now;
    this->SendAll(roles.Relay, now);
  }
  if (now - this->CleanedUpAt >= CleanupInterval) {
    this->CleanedUpAt = now;
    for (Replicated const* replicated : { &this->Rates, &this->Rejections }) {
      gsRemoveExpiredRateLimits(
        replicated->Limits,
        [this](std::uint32_t upstream) {
          return this->Fleet.ByHash.count(upstream) != 0;
        },
        now);
    }
  }
}

nlohmann::json gsRateLimiter::Status(gsTime now) const
{
  nlohmann::json rows = nlohmann::json::array();
  auto millis = [](gsTime time) {
    return std::chrono::duration_cast<gsMilliseconds>(time).count();
  };
  for (auto const& [hash, upstream] : this->Limits.Upstreams) {
    std::optional<double> rate = gsEffectiveRate(this->Limits, hash, now);
    if (!rate) {
      continue;
    }
    rows.push_back({ { "upstream", this->NameOf(hash) },
                     { "resource", "rate" },
                     { "per_second", *rate },
                     { "ended", upstream.Limit.HasEnded },
                     { "version", upstream.Limit.Version },
                     { "age_ms", millis(now - upstream.Limit.AppliedAt) },
                     { "tokens", upstream.Tokens.size() },
                     { "lent", now < upstream.LentUntil },
                     { "expected_wait_ms", millis(gsExpectedTokenWait(
                                             this->Limits, hash, 0, now)) },
                     { "used", upstream.TokensSpent },
                     { "lapsed", upstream.TokensExpired },
                     { "issued", upstream.TokensIssued } });
  }
  for (auto const& [hash, upstream] : this->Slots.Upstreams) {
    gsSlotUse const& slots = upstream.Slots;
    bool isEstimated = slots.Room.MaxRejections.has_value();
    rows.push_back({ { "upstream", this->NameOf(hash) },
                     { "resource", "slots" },
                     { "slots", upstream.Limit.Rate },
                     { "room", gsRoomSize(slots.Room, upstream.Limit.Rate) },
                     { "max_rejections_per_second",
                       isEstimated ? nlohmann::json(*slots.Room.MaxRejections)
                                   : nlohmann::json() },
                     { "dry_run", !gsIsSlotEnforced(this->Slots, hash) },
                     { "age_ms", millis(now - upstream.Limit.AppliedAt) },
                     { "tokens", upstream.Tokens.size() },
                     { "in_use", slots.InUse },
                     { "issued_open", gsLentSlots(upstream, now) },
                     { "waiting", gsWantedTokens(upstream, now) },
                     { "lent", now < upstream.LentUntil },
                     { "lent_to", slots.LentTo },
                     { "hold_ms", millis(slots.HoldTime) },
                     { "expected_wait_ms", millis(gsExpectedTokenWait(
                                             this->Slots, hash, 0, now)) },
                     { "used", upstream.TokensSpent },
                     { "without_token", slots.SentWithoutToken },
                     { "rejected", slots.Rejections },
                     { "lapsed", upstream.TokensExpired },
                     { "issued", upstream.TokensIssued } });
  }
  return rows;
}

void gsRateLimiter::WriteGauges(gsMetrics& metrics, gsTime now) const
{
  for (auto const& [hash, upstream] : this->Limits.Upstreams) {
    std::string const name = this->NameOf(hash);
    auto count = [&metrics, &name](char const* use, std::uint64_t value) {
      metrics.Set("gradescale_rate_tokens_total",
                  gsLabels({ { "upstream", name }, { "use", use } }),
                  static_cast<double>(value));
    };
    count("used", upstream.TokensSpent);
    count("lapsed", upstream.TokensExpired);
    count("issued", upstream.TokensIssued);
    metrics.Set("gradescale_rate_limit", gsLabels({ { "upstream", name } }),
                gsEffectiveRate(this->Limits, hash, now).value_or(0));
  }
  for (auto const& [hash, upstream] : this->Slots.Upstreams) {
    std::string const name = this->NameOf(hash);
    auto set = [&metrics, &name](char const* metric, char const* use,
                                 std::uint64_t value) {
      metrics.Set(metric, gsLabels({ { "upstream", name }, { "use", use } }),
                  static_cast<double>(value));
    };
    constexpr char const* open = "gradescale_shared_slots";
    set(open, "lent", gsLentSlots(upstream, now));
    set(open, "held", gsHeldSlots(upstream));
    set(open, "waiting", gsWantedTokens(upstream, now));
    set(open, "room",
        static_cast<std::uint64_t>(
          gsRoomSize(upstream.Slots.Room, upstream.Limit.Rate)));
    constexpr char const* total = "gradescale_shared_slots_total";
    set(total, "used", upstream.TokensSpent);
    set(total, "without_token", upstream.Slots.SentWithoutToken);
    set(total, "rejected", upstream.Slots.Rejections);
    set(total, "lapsed", upstream.TokensExpired);
    set(total, "issued", upstream.TokensIssued);
  }
}
