/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of distributed rate limits: the versioning of limits, and a simulation
 * of hosts in several halls that exchange shares and tokens over links with
 * loss, delay and partitions.
 */
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsFleetCases.h"
#include "gsRateLimit.h"

namespace {

constexpr std::uint32_t Upstream = 77;
constexpr gsTime Window = gsSeconds(4);
constexpr gsTime Start = gsSeconds(1000);

gsRateLimits SingleHost()
{
  gsRateLimits limits;
  limits.Roles.Self = "a";
  limits.Roles.Relay = "a";
  limits.Roles.Relays = { { "north", "a" } };
  return limits;
}

double CurrentRate(gsRateLimits const& limits, gsTime now)
{
  return gsEffectiveRate(limits, Upstream, now).value_or(-1);
}

/** Maximum number of arrivals in any window that begins after a time. */
std::size_t MaxInWindow(std::vector<gsTime> const& arrivals, gsTime from)
{
  std::size_t maxCount = 0;
  auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
  auto last = first;
  for (auto at = first; at != arrivals.end(); ++at) {
    last = std::max(last, at);
    while (last != arrivals.end() && *last < *at + Window) {
      ++last;
    }
    maxCount = std::max(maxCount, static_cast<std::size_t>(last - at));
  }
  return maxCount;
}

/** Bound on arrivals per window for simulations with faults. */
std::size_t MaxArrivalsWithFaults(double rate)
{
  constexpr double factor = 1.5;
  constexpr double slack = 5;
  return static_cast<std::size_t>(factor * rate * gsToSeconds(Window) + slack);
}

/** Bound on arrivals per window for simulations without faults. */
std::size_t MaxArrivalsWithoutFaults(double rate)
{
  constexpr double factor = 1.25;
  constexpr double slack = 3;
  return static_cast<std::size_t>(factor * rate * gsToSeconds(Window) + slack);
}

struct SimulationPlan
{
  std::size_t Halls = 3;
  std::size_t HostsPerHall = 3;
  double Rate = 2.9;
  double Demand = 30; ///< Requests per second, all hosts combined.
  std::size_t HostsWithDemand = 0; ///< Zero for all hosts.
  double Loss = 0;                 ///< Fraction of messages that are lost.
  bool Restarts = false;           ///< Hosts stop and restart without state.
  bool Partitions = false;         ///< Halls are partitioned temporarily.
  bool Pauses = false;             ///< Hosts pause and then resume.
  gsTime Duration = gsSeconds(20);
};

/** Simulates hosts in halls that share one limited upstream. */
class Simulation
{
public:
  Simulation(SimulationPlan const& plan, std::uint64_t seed)
    : Plan(plan)
    , Random(seed)
  {
    for (std::size_t i = 0; i < plan.Halls * plan.HostsPerHall; ++i) {
      Host host;
      host.Name = "host" + std::to_string(i);
      host.Hall = "hall" + std::to_string(i % plan.Halls);
      this->Hosts.push_back(host);
    }
    for (Host& host : this->Hosts) {
      this->Reset(host);
    }
  }

  void Run()
  {
    this->Now = Start;
    gsApplyObservedRateLimit(this->Hosts[0].Limits, Upstream, this->Plan.Rate,
                             this->Now, this->Now);
    while (this->Now < Start + this->Plan.Duration) {
      this->Now += Step;
      this->InjectFaults();
      this->Deliver();
      this->SendHeartbeats();
      for (std::size_t i = 0; i < this->Hosts.size(); ++i) {
        this->StepHost(i);
      }
    }
  }

  std::vector<gsTime> Arrivals; ///< Times of attempts, ascending.

  /** Fraction of the limit that is used from a time until the end. */
  double Utilisation(gsTime from) const
  {
    auto used = std::count_if(this->Arrivals.begin(), this->Arrivals.end(),
                              [from](gsTime at) { return at >= from; });
    double seconds = gsToSeconds(Start + this->Plan.Duration - from);
    return static_cast<double>(used) / (this->Plan.Rate * seconds);
  }

private:
  static constexpr gsTime Step = gsMilliseconds(5);

  struct Host
  {
    std::string Name;
    std::string Hall;
    gsRateLimits Limits;
    std::deque<gsTime> Waiting; ///< Deadlines of waiting requests.
    gsTime DownUntil{};
    gsTime PausedUntil{};
    gsTime NextMembershipUpdateAt{};
    gsTime HeartbeatSentAt{}; ///< When the last heartbeat was sent.
  };

  struct Packet
  {
    gsTime ArrivesAt{};
    std::size_t From = 0;
    std::size_t To = 0;
    gsRateMessage Message;
    std::optional<gsRateLimitNotice> Notice;
    bool IsHeartbeat = false;
  };

  bool DrawBool(double probability)
  {
    return std::uniform_real_distribution<double>(0, 1)(this->Random) <
           probability;
  }

  std::size_t RandomHost()
  {
    return std::uniform_int_distribution<std::size_t>(0, this->Hosts.size() -
                                                           1)(this->Random);
  }

  bool IsUp(Host const& host) const { return this->Now >= host.DownUntil; }
  bool IsActive(Host const& host) const
  {
    return this->IsUp(host) && this->Now >= host.PausedUntil;
  }

  void Reset(Host& host)
  {
    host.Limits = {};
    host.Limits.Roles.Self = host.Name;
    host.Waiting.clear();
    host.NextMembershipUpdateAt = {};
  }

  bool ArePartitioned(Host const& a, Host const& b) const
  {
    bool isPartitioned =
      this->Now < this->PartitionedUntil && a.Hall != b.Hall;
    return isPartitioned && (a.Hall == this->PartitionedHall ||
                             b.Hall == this->PartitionedHall);
  }

  void InjectFaults()
  {
    constexpr double probabilityPerStep = 0.002;
    if (this->Plan.Restarts && this->DrawBool(probabilityPerStep)) {
      Host& host = this->Hosts[this->RandomHost()];
      this->Reset(host);
      host.DownUntil =
        this->Now + gsMilliseconds(300 + this->RandomHost() * 200);
    }
    if (this->Plan.Pauses && this->DrawBool(probabilityPerStep)) {
      this->Hosts[this->RandomHost()].PausedUntil =
        this->Now + gsMilliseconds(200 + this->RandomHost() * 300);
    }
    if (this->Plan.Partitions && this->Now >= this->PartitionedUntil &&
        this->DrawBool(probabilityPerStep)) {
      this->PartitionedHall = this->Hosts[this->RandomHost()].Hall;
      this->PartitionedUntil =
        this->Now + gsMilliseconds(500 + this->RandomHost() * 500);
    }
  }

  void Send(std::size_t from, std::string const& to, Packet packet)
  {
    auto found =
      std::find_if(this->Hosts.begin(), this->Hosts.end(),
                   [&to](Host const& host) { return host.Name == to; });
    bool lost = found == this->Hosts.end() || this->DrawBool(this->Plan.Loss);
    if (lost || this->ArePartitioned(this->Hosts[from], *found)) {
      return;
    }
    packet.From = from;
    packet.To = static_cast<std::size_t>(found - this->Hosts.begin());
    std::uniform_int_distribution<int> delay(1, 8);
    packet.ArrivesAt = this->Now + gsMilliseconds(delay(this->Random));
    this->Packets.push_back(std::move(packet));
  }

  void Deliver()
  {
    std::vector<Packet> due;
    auto isLater = [this](Packet const& packet) {
      return packet.ArrivesAt > this->Now;
    };
    auto firstDue = std::stable_partition(this->Packets.begin(),
                                          this->Packets.end(), isLater);
    due.assign(std::make_move_iterator(firstDue),
               std::make_move_iterator(this->Packets.end()));
    this->Packets.erase(firstDue, this->Packets.end());
    for (Packet& packet : due) {
      Host& to = this->Hosts[packet.To];
      if (!this->IsUp(to)) {
        continue;
      }
      if (!this->IsActive(to)) {
        packet.ArrivesAt = to.PausedUntil;
        this->Packets.push_back(packet);
        continue;
      }
      this->Receive(to, packet);
    }
  }

  void Receive(Host& to, Packet const& packet)
  {
    std::string const& from = this->Hosts[packet.From].Name;
    if (packet.IsHeartbeat) {
      to.Limits.RelayAnnouncedAt[from] = this->Now;
    }
    if (packet.Notice) {
      gsApplyRateLimitNotice(to.Limits, *packet.Notice, this->Now);
    }
    if (packet.Message.Share) {
      gsApplyRateShare(to.Limits, from, *packet.Message.Share, this->Now);
    }
    if (packet.Message.Tokens) {
      gsApplyRateTokens(to.Limits, from, *packet.Message.Tokens, this->Now);
    }
  }

  /** Updates membership at random intervals, so that hosts disagree about
   * it temporarily. The first running host of a hall is its relay. */
  void UpdateMembership(Host& host)
  {
    constexpr gsTime maxDelay = gsMilliseconds(1500);
    std::uniform_int_distribution<gsTime::rep> delay(0, maxDelay.count());
    if (this->Now < host.NextMembershipUpdateAt) {
      return;
    }
    host.NextMembershipUpdateAt = this->Now + gsTime(delay(this->Random));
    gsRateRoles& roles = host.Limits.Roles;
    roles.Relays.clear();
    roles.HallSize = this->Plan.HostsPerHall;
    roles.RecentPeakHosts = this->Hosts.size();
    for (Host const& other : this->Hosts) {
      if (this->IsUp(other) && !this->ArePartitioned(host, other)) {
        roles.Relays.emplace(other.Hall, other.Name);
      }
    }
    roles.Relay = roles.Relays[host.Hall];
  }

  /** Sends heartbeats and limit notices of relays. */
  void SendHeartbeats()
  {
    constexpr gsTime period = gsMilliseconds(500);
    for (std::size_t i = 0; i < this->Hosts.size(); ++i) {
      Host& host = this->Hosts[i];
      if (!this->IsActive(host) || this->Now - host.HeartbeatSentAt < period) {
        continue;
      }
      host.HeartbeatSentAt = this->Now;
      gsRateRoles const& roles = host.Limits.Roles;
      if (roles.Relay != host.Name) {
        continue;
      }
      for (Host const& other : this->Hosts) {
        bool isRelay = roles.Relays.count(other.Hall) != 0 &&
                       roles.Relays.at(other.Hall) == other.Name;
        if (&other == &host || (other.Hall != host.Hall && !isRelay)) {
          continue;
        }
        Packet packet;
        packet.IsHeartbeat = true;
        this->Send(i, other.Name, packet);
        for (gsRateLimitNotice const& notice :
             gsMakeActiveRateLimitNotices(host.Limits, this->Now)) {
          Packet noticePacket;
          noticePacket.Notice = notice;
          this->Send(i, other.Name, noticePacket);
        }
      }
    }
  }

  /** Sends changed limits to all hosts. */
  void Publish(std::size_t from)
  {
    Host& host = this->Hosts[from];
    for (std::uint32_t upstream :
         std::exchange(host.Limits.UnsentUpstreams, {})) {
      for (Host const& other : this->Hosts) {
        Packet packet;
        packet.Notice =
          gsMakeRateLimitNotice(host.Limits, upstream, this->Now);
        this->Send(from, other.Name, packet);
      }
    }
  }

  void HandleRequest(Host& host)
  {
    bool limited =
      gsEffectiveRate(host.Limits, Upstream, this->Now).has_value();
    if (!limited) {
      return; // Hosts that have not received the limit yet are not counted.
    }
    if (gsHasToken(host.Limits, Upstream, this->Now) &&
        gsSpendToken(host.Limits, Upstream, this->Now)) {
      this->Arrivals.push_back(this->Now);
      return;
    }
    constexpr std::size_t maxWaiting = 20;
    if (host.Waiting.size() < maxWaiting) {
      host.Waiting.push_back(this->Now + gsSeconds(1));
      this->RequestTokens(host);
    }
  }

  void RequestTokens(Host& host)
  {
    gsRequestTokens(host.Limits, Upstream,
                    static_cast<std::uint32_t>(host.Waiting.size()),
                    this->Now + gsSeconds(1), this->Now);
  }

  void ServeWaiting(Host& host)
  {
    while (!host.Waiting.empty() && host.Waiting.front() <= this->Now) {
      host.Waiting.pop_front();
      this->RequestTokens(host);
    }
    while (!host.Waiting.empty() &&
           gsSpendToken(host.Limits, Upstream, this->Now)) {
      this->Arrivals.push_back(this->Now);
      host.Waiting.pop_front();
    }
  }

  void StepHost(std::size_t number)
  {
    Host& host = this->Hosts[number];
    if (!this->IsActive(host)) {
      return;
    }
    this->UpdateMembership(host);
    this->Publish(number);
    std::size_t hostsWithDemand = this->Plan.HostsWithDemand == 0
                                    ? this->Hosts.size()
                                    : this->Plan.HostsWithDemand;
    // The demand moves to the next host every three seconds.
    std::size_t shift =
      static_cast<std::size_t>(gsToSeconds(this->Now - Start) / 3.0);
    bool hasDemand = (number + shift) % this->Hosts.size() < hostsWithDemand;
    double probabilityPerStep = this->Plan.Demand * gsToSeconds(Step) /
                                static_cast<double>(hostsWithDemand);
    if (hasDemand && this->DrawBool(probabilityPerStep)) {
      this->HandleRequest(host);
    }
    for (gsRateMessage& message : gsRateLimitTick(host.Limits, this->Now)) {
      Packet packet;
      std::string const to = message.Receiver;
      packet.Message = std::move(message);
      this->Send(number, to, std::move(packet));
    }
    this->ServeWaiting(host);
    host.Limits.GrantedUpstreams.clear();
  }

  SimulationPlan Plan;
  gsRandom Random;
  gsTime Now{};
  std::vector<Host> Hosts;
  std::vector<Packet> Packets;
  std::string PartitionedHall;
  gsTime PartitionedUntil{};
};

void ExpectWithinLimit(SimulationPlan const& plan, std::uint64_t seed,
                       double minUtilisation)
{
  Simulation simulation(plan, seed);
  simulation.Run();
  gsTime measuredFrom = Start + gsSeconds(3);
  EXPECT_LE(MaxInWindow(simulation.Arrivals, Start),
            MaxArrivalsWithoutFaults(plan.Rate))
    << "seed " << seed;
  EXPECT_GE(simulation.Utilisation(measuredFrom), minUtilisation)
    << "seed " << seed;
}

} // namespace

TEST(RateLimit, AppliesLowerLimitAtOnceAndHigherOnlyFromNewerAnswer)
{
  gsRateLimits limits = SingleHost();
  EXPECT_TRUE(gsApplyObservedRateLimit(limits, Upstream, 20, Start, Start));
  gsTime later = Start + gsSeconds(1);
  // The attempt was not sent after the current version was applied.
  EXPECT_FALSE(gsApplyObservedRateLimit(limits, Upstream, 30, Start, later));
  EXPECT_TRUE(gsApplyObservedRateLimit(limits, Upstream, 3, Start, later));
  EXPECT_EQ(CurrentRate(limits, later), 3);
  EXPECT_FALSE(gsApplyObservedRateLimit(limits, Upstream, 20, later, later));
  EXPECT_TRUE(gsApplyObservedRateLimit(limits, Upstream, 20,
                                       later + gsMilliseconds(1), later));
  EXPECT_EQ(CurrentRate(limits, later), 20);
}

TEST(RateLimit, EndsAndRampsUpWhenNewerAnswerHasNoLimit)
{
  gsRateLimits limits = SingleHost();
  gsApplyObservedRateLimit(limits, Upstream, 2, Start, Start);
  EXPECT_FALSE(
    gsApplyObservedRateLimit(limits, Upstream, std::nullopt, Start, Start));
  gsTime sent = Start + gsSeconds(1);
  EXPECT_TRUE(
    gsApplyObservedRateLimit(limits, Upstream, std::nullopt, sent, sent));
  EXPECT_EQ(CurrentRate(limits, sent), 2);
  EXPECT_EQ(CurrentRate(limits, sent + gsSeconds(1)), 8);
  EXPECT_EQ(CurrentRate(limits, sent + gsSeconds(3)), -1); // No limit.
  EXPECT_TRUE(gsHasToken(limits, Upstream, sent + gsSeconds(3)));
}

TEST(RateLimit, AppliesNewestVersionAndStricterLimitWhenVersionsAreEqual)
{
  gsRateLimits limits = SingleHost();
  gsApplyObservedRateLimit(limits, Upstream, 5, Start, Start);
  EXPECT_FALSE(
    gsApplyRateLimitNotice(limits, { Upstream, 9, false, {}, 1 }, Start));
  EXPECT_TRUE(
    gsApplyRateLimitNotice(limits, { Upstream, 4, false, {}, 1 }, Start));
  EXPECT_TRUE(
    gsApplyRateLimitNotice(limits, { Upstream, 9, false, {}, 2 }, Start));
  EXPECT_FALSE(
    gsApplyRateLimitNotice(limits, { Upstream, 3, false, {}, 1 }, Start));
  EXPECT_EQ(CurrentRate(limits, Start), 9);
  EXPECT_TRUE(
    gsApplyRateLimitNotice(limits, { Upstream, 9, true, {}, 3 }, Start));
  // Other hosts may have removed the ended limit and restarted its versions
  // at 1.
  gsTime afterRecovery = Start + gsSeconds(10);
  EXPECT_TRUE(gsApplyRateLimitNotice(limits, { Upstream, 2, false, {}, 1 },
                                     afterRecovery));
  EXPECT_EQ(CurrentRate(limits, afterRecovery), 2);
}

TEST(RateLimit, ClampsRateWhenZeroOrInfinite)
{
  gsRateLimits limits = SingleHost();
  gsApplyObservedRateLimit(limits, Upstream, 0, Start, Start);
  EXPECT_EQ(CurrentRate(limits, Start), limits.Settings.MinRate);
  gsApplyObservedRateLimit(limits, 78, HUGE_VAL, Start, Start);
  EXPECT_EQ(gsEffectiveRate(limits, 78, Start), limits.Settings.MaxRate);
}

TEST(RateLimit, IssuesOneTokenAfterLongPause)
{
  gsRateLimits limits = SingleHost();
  gsApplyObservedRateLimit(limits, Upstream, 2, Start, Start);
  gsTime resumed = Start + gsSeconds(60);
  gsRequestTokens(limits, Upstream, 10, resumed + gsSeconds(1), resumed);
  gsRateLimitTick(limits, resumed);
  EXPECT_EQ(limits.GrantedUpstreams.size(), 1U);
}

// Guards against a share that is held back when the relay of a hall changes:
// only shares of slots wait until the loan to the previous relay has expired.
TEST(RateLimit, LendsItsShareToANewRelayAtOnce)
{
  gsRateLimits limits;
  limits.Roles.Self = "a";
  limits.Roles.Relay = "b";
  limits.Roles.HallSize = 3;
  limits.Roles.RecentPeakHosts = 3;
  gsApplyObservedRateLimit(limits, Upstream, 9, Start, Start);
  auto lentTo = [&limits](std::string const& relay, gsTime now) {
    limits.Roles.Relay = relay;
    limits.RelayAnnouncedAt[relay] = now;
    double lent = 0;
    for (gsRateMessage const& message : gsRateLimitTick(limits, now)) {
      bool isShare = message.Receiver == relay && message.Share;
      lent += isShare ? message.Share->LentRate : 0;
    }
    return lent;
  };
  EXPECT_EQ(lentTo("b", Start + gsMilliseconds(300)), 3);
  EXPECT_EQ(lentTo("c", Start + gsMilliseconds(600)), 3);
  EXPECT_TRUE(limits.Upstreams.at(Upstream).Slots.LentTo.empty());
}

TEST(RateLimit, HasNoTokenWhenOnlyTokenIsReserved)
{
  gsRateLimits limits = SingleHost();
  gsApplyObservedRateLimit(limits, Upstream, 2, Start, Start);
  gsTime now = Start + gsSeconds(1);
  gsRequestTokens(limits, Upstream, 1, now + gsSeconds(1), now);
  gsRateLimitTick(limits, now);
  ASSERT_TRUE(gsHasToken(limits, Upstream, now));
  EXPECT_TRUE(gsReserveToken(limits, Upstream, now));
  EXPECT_FALSE(gsHasToken(limits, Upstream, now));
  EXPECT_TRUE(gsSpendToken(limits, Upstream, now));
  EXPECT_FALSE(gsSpendToken(limits, Upstream, now));
  gsReleaseToken(limits, Upstream);
}

TEST(RateLimit, RemovesUnlistedLimitsAndEvictsOldestWhenFull)
{
  gsRateLimits limits = SingleHost();
  gsApplyObservedRateLimit(limits, Upstream, 2, Start, Start);
  auto isListed = [](std::uint32_t) { return false; };
  gsRemoveExpiredRateLimits(limits, isListed, Start + gsSeconds(60));
  EXPECT_EQ(limits.Upstreams.size(), 1U);
  gsRemoveExpiredRateLimits(limits, isListed,
                            Start + std::chrono::minutes(11));
  EXPECT_TRUE(limits.Upstreams.empty());
  for (std::uint32_t i = 0; i < 3000; ++i) {
    gsApplyObservedRateLimit(limits, i, 2, Start, Start + gsMilliseconds(i));
  }
  EXPECT_EQ(limits.Upstreams.size(), limits.Settings.MaxUpstreams);
}

// Guards against hosts that each use the full limit.
TEST(RateLimitShared, StaysWithinLimitWhenAllHostsHaveDemand)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ExpectWithinLimit({}, seed, 0.9);
  }
}

// Guards against one host being restricted to its own share.
TEST(RateLimitShared, UsesWholeLimitWhenOneHostHasAllDemand)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationPlan plan;
    plan.HostsWithDemand = 1;
    ExpectWithinLimit(plan, seed, 0.9);
    plan.Rate = 20;
    ExpectWithinLimit(plan, seed, 0.9);
  }
}

// Guards against bursts from hundreds of hosts that each hold a token.
TEST(RateLimitShared, StaysWithinHighLimitWithHundredsOfHosts)
{
  SimulationPlan plan;
  plan.Halls = 6;
  plan.HostsPerHall = 57;
  plan.Rate = 20;
  plan.Demand = 100;
  plan.Duration = gsSeconds(12);
  ExpectWithinLimit(plan, 1, 0.9);
}

// Guards against exceeding the limit when hosts disagree about the issuer.
TEST(RateLimitShared, StaysWithinLimitUnderLossRestartsPartitionsAndPauses)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SimulationPlan plan;
    plan.Loss = seed % 3 == 0 ? 0.1 : 0;
    plan.Restarts = seed % 2 == 0;
    plan.Partitions = seed % 5 < 3;
    plan.Pauses = seed % 7 < 3;
    plan.Rate = seed % 4 == 0 ? 20 : 2.9;
    plan.HostsWithDemand = seed % 6 == 0 ? 1 : 0;
    Simulation simulation(plan, seed);
    simulation.Run();
    EXPECT_LE(MaxInWindow(simulation.Arrivals, Start),
              MaxArrivalsWithFaults(plan.Rate))
      << "seed " << seed;
    EXPECT_GT(simulation.Utilisation(Start), 0.2) << "seed " << seed;
  }
}

TEST(RateLimitPlacement, SkipsAndReportsUpstreamWithoutToken)
{
  gsFleet fleet = gsFleetCases::MakeFleet(2);
  gsTime const now = gsFleetCases::Now;
  std::uint32_t const limited = gsFleetFind(fleet, "u0")->Hash;
  gsApplyObservedRateLimit(fleet.RateLimits, limited, 2, now, now);
  gsFleetFind(fleet, "u1")->OwnLoad.OpenAttempts = 8; // Higher cost.
  gsRandom random(1);
  gsPlacement placement =
    gsPlaceRequest(fleet, gsFleetCases::MakeLongRequest(), now, random);
  ASSERT_NE(placement.Row, nullptr);
  EXPECT_EQ(placement.Row->Listed.Id, "u1");
  ASSERT_NE(placement.RateLimitedRow, nullptr);
  EXPECT_EQ(placement.RateLimitedRow->Listed.Id, "u0");
  fleet.RateLimits.Upstreams[limited].Tokens = { now + gsSeconds(1) };
  placement =
    gsPlaceRequest(fleet, gsFleetCases::MakeLongRequest(), now, random);
  EXPECT_EQ(placement.Row->Listed.Id, "u0");
  EXPECT_EQ(placement.RateLimitedRow, nullptr);
}

TEST(RateLimitPlacement, ReportsCauseAndWaitWhenNoTokenIsLeft)
{
  gsFleet fleet = gsFleetCases::MakeFleet(1);
  gsTime const now = gsFleetCases::Now;
  gsApplyObservedRateLimit(fleet.RateLimits, gsFleetFind(fleet, "u0")->Hash, 2,
                           now, now);
  gsRandom random(1);
  gsPlacement placement =
    gsPlaceRequest(fleet, gsFleetCases::MakeLongRequest(), now, random);
  EXPECT_EQ(placement.Row, nullptr);
  EXPECT_EQ(placement.Cause, gsPlacementCause::RateLimited);
  EXPECT_EQ(placement.RetryAfter, gsMilliseconds(250));
}
