/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Distributed rate limits: versioning of limits, and a simulation of hosts in
 * several halls that exchange shares and tokens over links with loss, delay
 * and partitions.
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

double RateOf(gsRateLimits const& limits, gsTime now)
{
  return gsRateInForce(limits, Upstream, now).value_or(-1);
}

/** Maximum number of arrivals in any window that begins after a time. */
std::size_t MaxInWindow(std::vector<gsTime> const& arrivals, gsTime from)
{
  std::size_t most = 0;
  auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
  auto last = first;
  for (auto at = first; at != arrivals.end(); ++at) {
    last = std::max(last, at);
    while (last != arrivals.end() && *last < *at + Window) {
      ++last;
    }
    most = std::max(most, static_cast<std::size_t>(last - at));
  }
  return most;
}

std::size_t Allowed(double rate)
{
  constexpr double factor = 1.5;
  constexpr double slack = 5;
  return static_cast<std::size_t>(factor * rate * gsToSeconds(Window) + slack);
}

/** Tighter bound for simulations without faults. */
std::size_t TargetBound(double rate)
{
  constexpr double factor = 1.25;
  constexpr double slack = 3;
  return static_cast<std::size_t>(factor * rate * gsToSeconds(Window) + slack);
}

struct SimulationPlan
{
  std::size_t Halls = 3;
  std::size_t HostsOfHall = 3;
  double Rate = 2.9;
  double Demand = 30; ///< Requests per second, all hosts combined.
  std::size_t HostsWithDemand = 0; ///< 0 for all.
  double Loss = 0;                 ///< Fraction of messages.
  bool Kills = false;              ///< Restarts hosts.
  bool Cuts = false;               ///< Partitions halls temporarily.
  bool Freezes = false;
  gsTime Length = gsSeconds(20);
};

/** Simulates hosts in halls that share one limited upstream. */
class Simulation
{
public:
  Simulation(SimulationPlan const& plan, std::uint64_t seed)
    : Plan(plan)
    , Random(seed)
  {
    for (std::size_t i = 0; i < plan.Halls * plan.HostsOfHall; ++i) {
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
    gsNoteRateLimit(this->Hosts[0].Limits, Upstream, this->Plan.Rate,
                    this->Now, this->Now);
    while (this->Now < Start + this->Plan.Length) {
      this->Now += Step;
      this->InjectFaults();
      this->Deliver();
      this->SendHeartbeats();
      for (std::size_t i = 0; i < this->Hosts.size(); ++i) {
        this->StepHost(i);
      }
    }
  }

  std::vector<gsTime> Arrivals;

  double UsedShare(gsTime from) const
  {
    auto used = std::count_if(this->Arrivals.begin(), this->Arrivals.end(),
                              [from](gsTime at) { return at >= from; });
    double seconds = gsToSeconds(Start + this->Plan.Length - from);
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
    gsTime FrozenUntil{};
    gsTime MembershipUpdateAt{}; ///< When membership is updated next.
    gsTime HeartbeatAt{};
  };

  struct Packet
  {
    gsTime At{};
    std::size_t From = 0;
    std::size_t To = 0;
    gsRateMessage Message;
    std::optional<gsRateLimitNotice> Notice;
    bool IsHeartbeat = false;
  };

  bool Chance(double share)
  {
    return std::uniform_real_distribution<double>(0, 1)(this->Random) < share;
  }

  std::size_t RandomHost()
  {
    return std::uniform_int_distribution<std::size_t>(0, this->Hosts.size() -
                                                           1)(this->Random);
  }

  bool IsUp(Host const& host) const { return this->Now >= host.DownUntil; }
  bool IsActive(Host const& host) const
  {
    return this->IsUp(host) && this->Now >= host.FrozenUntil;
  }

  void Reset(Host& host)
  {
    host.Limits = {};
    host.Limits.Roles.Self = host.Name;
    host.Waiting.clear();
    host.MembershipUpdateAt = {};
  }

  bool IsCut(Host const& a, Host const& b) const
  {
    bool cut = this->Now < this->CutUntil && a.Hall != b.Hall;
    return cut && (a.Hall == this->CutHall || b.Hall == this->CutHall);
  }

  void InjectFaults()
  {
    constexpr double perStep = 0.002;
    if (this->Plan.Kills && this->Chance(perStep)) {
      Host& host = this->Hosts[this->RandomHost()];
      this->Reset(host);
      host.DownUntil =
        this->Now + gsMilliseconds(300 + this->RandomHost() * 200);
    }
    if (this->Plan.Freezes && this->Chance(perStep)) {
      this->Hosts[this->RandomHost()].FrozenUntil =
        this->Now + gsMilliseconds(200 + this->RandomHost() * 300);
    }
    if (this->Plan.Cuts && this->Now >= this->CutUntil &&
        this->Chance(perStep)) {
      this->CutHall = this->Hosts[this->RandomHost()].Hall;
      this->CutUntil =
        this->Now + gsMilliseconds(500 + this->RandomHost() * 500);
    }
  }

  void Post(std::size_t from, std::string const& to, Packet packet)
  {
    auto found =
      std::find_if(this->Hosts.begin(), this->Hosts.end(),
                   [&to](Host const& host) { return host.Name == to; });
    bool lost = found == this->Hosts.end() || this->Chance(this->Plan.Loss);
    if (lost || this->IsCut(this->Hosts[from], *found)) {
      return;
    }
    packet.From = from;
    packet.To = static_cast<std::size_t>(found - this->Hosts.begin());
    std::uniform_int_distribution<int> delay(1, 8);
    packet.At = this->Now + gsMilliseconds(delay(this->Random));
    this->Packets.push_back(std::move(packet));
  }

  void Deliver()
  {
    std::vector<Packet> due;
    auto isLater = [this](Packet const& packet) {
      return packet.At > this->Now;
    };
    auto border = std::stable_partition(this->Packets.begin(),
                                        this->Packets.end(), isLater);
    due.assign(std::make_move_iterator(border),
               std::make_move_iterator(this->Packets.end()));
    this->Packets.erase(border, this->Packets.end());
    for (Packet& packet : due) {
      Host& to = this->Hosts[packet.To];
      if (!this->IsUp(to)) {
        continue;
      }
      if (!this->IsActive(to)) {
        packet.At = to.FrozenUntil;
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
      to.Limits.RelaysHeardAt[from] = this->Now;
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

  /** Updates membership at random intervals, so that hosts' views differ. The
   * first running host of a hall is its relay. */
  void UpdateMembership(Host& host)
  {
    constexpr gsTime most = gsMilliseconds(1500);
    std::uniform_int_distribution<gsTime::rep> delay(0, most.count());
    if (this->Now < host.MembershipUpdateAt) {
      return;
    }
    host.MembershipUpdateAt = this->Now + gsTime(delay(this->Random));
    gsRateRoles& roles = host.Limits.Roles;
    roles.Relays.clear();
    roles.HallSize = this->Plan.HostsOfHall;
    roles.HostsOfLate = this->Hosts.size();
    for (Host const& other : this->Hosts) {
      if (this->IsUp(other) && !this->IsCut(host, other)) {
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
      if (!this->IsActive(host) || this->Now - host.HeartbeatAt < period) {
        continue;
      }
      host.HeartbeatAt = this->Now;
      gsRateRoles const& roles = host.Limits.Roles;
      if (roles.Relay != host.Name) {
        continue;
      }
      for (Host const& other : this->Hosts) {
        bool relay = roles.Relays.count(other.Hall) != 0 &&
                     roles.Relays.at(other.Hall) == other.Name;
        if (&other == &host || (other.Hall != host.Hall && !relay)) {
          continue;
        }
        Packet packet;
        packet.IsHeartbeat = true;
        this->Post(i, other.Name, packet);
        for (gsRateLimitNotice const& notice :
             gsRateLimitNotices(host.Limits, this->Now)) {
          Packet repair;
          repair.Notice = notice;
          this->Post(i, other.Name, repair);
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
        packet.Notice = gsRateLimitNoticeOf(host.Limits, upstream, this->Now);
        this->Post(from, other.Name, packet);
      }
    }
  }

  void Request(Host& host)
  {
    bool limited = gsRateInForce(host.Limits, Upstream, this->Now).has_value();
    if (!limited) {
      return; // Hosts that do not know the limit yet are not counted.
    }
    if (gsHasToken(host.Limits, Upstream, this->Now) &&
        gsSpendToken(host.Limits, Upstream, this->Now)) {
      this->Arrivals.push_back(this->Now);
      return;
    }
    constexpr std::size_t most = 20;
    if (host.Waiting.size() < most) {
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
    std::size_t at = this->Plan.HostsWithDemand == 0
                       ? this->Hosts.size()
                       : this->Plan.HostsWithDemand;
    // Moves demand from host to host.
    std::size_t shift =
      static_cast<std::size_t>(gsToSeconds(this->Now - Start) / 3.0);
    bool asked = (number + shift) % this->Hosts.size() < at;
    double perStep =
      this->Plan.Demand * gsToSeconds(Step) / static_cast<double>(at);
    if (asked && this->Chance(perStep)) {
      this->Request(host);
    }
    for (gsRateMessage& message : gsRateLimitTick(host.Limits, this->Now)) {
      Packet packet;
      std::string const to = message.To;
      packet.Message = std::move(message);
      this->Post(number, to, std::move(packet));
    }
    this->ServeWaiting(host);
    host.Limits.GrantedUpstreams.clear();
  }

  SimulationPlan Plan;
  gsRandom Random;
  gsTime Now{};
  std::vector<Host> Hosts;
  std::vector<Packet> Packets;
  std::string CutHall;
  gsTime CutUntil{};
};

void ExpectWithinLimit(SimulationPlan const& plan, std::uint64_t seed,
                       double minUsedShare)
{
  Simulation simulation(plan, seed);
  simulation.Run();
  gsTime settled = Start + gsSeconds(3);
  EXPECT_LE(MaxInWindow(simulation.Arrivals, Start), TargetBound(plan.Rate))
    << "seed " << seed;
  EXPECT_GE(simulation.UsedShare(settled), minUsedShare) << "seed " << seed;
}

} // namespace

TEST(RateLimit, LowerBindsAtOnceAndHigherOnlyFromANewerAnswer)
{
  gsRateLimits limits = SingleHost();
  EXPECT_TRUE(gsNoteRateLimit(limits, Upstream, 20, Start, Start));
  gsTime later = Start + gsSeconds(1);
  // The attempt was not sent after the limit was learned.
  EXPECT_FALSE(gsNoteRateLimit(limits, Upstream, 30, Start, later));
  EXPECT_TRUE(gsNoteRateLimit(limits, Upstream, 3, Start, later));
  EXPECT_EQ(RateOf(limits, later), 3);
  EXPECT_FALSE(gsNoteRateLimit(limits, Upstream, 20, later, later));
  EXPECT_TRUE(
    gsNoteRateLimit(limits, Upstream, 20, later + gsMilliseconds(1), later));
  EXPECT_EQ(RateOf(limits, later), 20);
}

TEST(RateLimit, EndsByANewerAnswerWithoutItAndRisesStepwise)
{
  gsRateLimits limits = SingleHost();
  gsNoteRateLimit(limits, Upstream, 2, Start, Start);
  EXPECT_FALSE(gsNoteRateLimit(limits, Upstream, std::nullopt, Start, Start));
  gsTime sent = Start + gsSeconds(1);
  EXPECT_TRUE(gsNoteRateLimit(limits, Upstream, std::nullopt, sent, sent));
  EXPECT_EQ(RateOf(limits, sent), 2);
  EXPECT_EQ(RateOf(limits, sent + gsSeconds(1)), 8);
  EXPECT_EQ(RateOf(limits, sent + gsSeconds(3)), -1); // None.
  EXPECT_TRUE(gsHasToken(limits, Upstream, sent + gsSeconds(3)));
}

TEST(RateLimit, NewestVersionWinsAndOfTwoTheStricter)
{
  gsRateLimits limits = SingleHost();
  gsNoteRateLimit(limits, Upstream, 5, Start, Start);
  EXPECT_FALSE(
    gsApplyRateLimitNotice(limits, { Upstream, 9, false, {}, 1 }, Start));
  EXPECT_TRUE(
    gsApplyRateLimitNotice(limits, { Upstream, 4, false, {}, 1 }, Start));
  EXPECT_TRUE(
    gsApplyRateLimitNotice(limits, { Upstream, 9, false, {}, 2 }, Start));
  EXPECT_FALSE(
    gsApplyRateLimitNotice(limits, { Upstream, 3, false, {}, 1 }, Start));
  EXPECT_EQ(RateOf(limits, Start), 9);
  EXPECT_TRUE(
    gsApplyRateLimitNotice(limits, { Upstream, 9, true, {}, 3 }, Start));
  // Other hosts may have removed the ended limit and restarted its versions.
  gsTime over = Start + gsSeconds(10);
  EXPECT_TRUE(
    gsApplyRateLimitNotice(limits, { Upstream, 2, false, {}, 1 }, over));
  EXPECT_EQ(RateOf(limits, over), 2);
}

TEST(RateLimit, ZeroIsProbedAndHugeIsBounded)
{
  gsRateLimits limits = SingleHost();
  gsNoteRateLimit(limits, Upstream, 0, Start, Start);
  EXPECT_EQ(RateOf(limits, Start), limits.Settings.MinRate);
  gsNoteRateLimit(limits, 78, HUGE_VAL, Start, Start);
  EXPECT_EQ(gsRateInForce(limits, 78, Start), limits.Settings.MaxRate);
}

TEST(RateLimit, ALongPauseGivesOneTokenNotTheSum)
{
  gsRateLimits limits = SingleHost();
  gsNoteRateLimit(limits, Upstream, 2, Start, Start);
  gsTime woken = Start + gsSeconds(60);
  gsRequestTokens(limits, Upstream, 10, woken + gsSeconds(1), woken);
  gsRateLimitTick(limits, woken);
  EXPECT_EQ(limits.GrantedUpstreams.size(), 1U);
}

TEST(RateLimit, ReservedTokenIsNotChosenTwice)
{
  gsRateLimits limits = SingleHost();
  gsNoteRateLimit(limits, Upstream, 2, Start, Start);
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

TEST(RateLimit, OldAndUnlistedOnesAreForgotten)
{
  gsRateLimits limits = SingleHost();
  gsNoteRateLimit(limits, Upstream, 2, Start, Start);
  auto never = [](std::uint32_t) { return false; };
  gsForgetRateLimits(limits, never, Start + gsSeconds(60));
  EXPECT_EQ(limits.Upstreams.size(), 1U);
  gsForgetRateLimits(limits, never, Start + std::chrono::minutes(11));
  EXPECT_TRUE(limits.Upstreams.empty());
  for (std::uint32_t i = 0; i < 3000; ++i) {
    gsNoteRateLimit(limits, i, 2, Start, Start + gsMilliseconds(i));
  }
  EXPECT_EQ(limits.Upstreams.size(), limits.Settings.MaxUpstreams);
}

// Guards against hosts that each use the full limit.
TEST(RateLimitShared, HostsOfAllHallsTogetherKeepIt)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ExpectWithinLimit({}, seed, 0.9);
  }
}

// Guards against one host being restricted to its own share.
TEST(RateLimitShared, OneHostWithAllDemandUsesNearlyAllOfIt)
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
TEST(RateLimitShared, HundredsOfHostsKeepAFastLimit)
{
  SimulationPlan plan;
  plan.Halls = 6;
  plan.HostsOfHall = 57;
  plan.Rate = 20;
  plan.Demand = 100;
  plan.Length = gsSeconds(12);
  ExpectWithinLimit(plan, 1, 0.9);
}

// Guards against exceeding the limit when hosts disagree about the issuer.
TEST(RateLimitShared, KeptUnderLossKillsCutsAndFreezes)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SimulationPlan plan;
    plan.Loss = seed % 3 == 0 ? 0.1 : 0;
    plan.Kills = seed % 2 == 0;
    plan.Cuts = seed % 5 < 3;
    plan.Freezes = seed % 7 < 3;
    plan.Rate = seed % 4 == 0 ? 20 : 2.9;
    plan.HostsWithDemand = seed % 6 == 0 ? 1 : 0;
    Simulation simulation(plan, seed);
    simulation.Run();
    EXPECT_LE(MaxInWindow(simulation.Arrivals, Start), Allowed(plan.Rate))
      << "seed " << seed;
    EXPECT_GT(simulation.UsedShare(Start), 0.2) << "seed " << seed;
  }
}

TEST(RateLimitPlacement, UpstreamWithoutATokenIsPassedOverAndWanted)
{
  gsFleet fleet = gsFleetCases::MakeFleet(2);
  gsTime const now = gsFleetCases::Now;
  std::uint32_t const limited = gsFleetFind(fleet, "u0")->Hash;
  gsNoteRateLimit(fleet.RateLimits, limited, 2, now, now);
  gsFleetFind(fleet, "u1")->Own.Running = 8; // Higher cost.
  gsRandom random(1);
  gsPlacement placement = gsPlace(fleet, gsFleetCases::Plain(), now, random);
  ASSERT_NE(placement.Row, nullptr);
  EXPECT_EQ(placement.Row->Listed.Id, "u1");
  ASSERT_NE(placement.RateLimitedRow, nullptr);
  EXPECT_EQ(placement.RateLimitedRow->Listed.Id, "u0");
  fleet.RateLimits.Upstreams[limited].Tokens = { now + gsSeconds(1) };
  placement = gsPlace(fleet, gsFleetCases::Plain(), now, random);
  EXPECT_EQ(placement.Row->Listed.Id, "u0");
  EXPECT_EQ(placement.RateLimitedRow, nullptr);
}

TEST(RateLimitPlacement, CauseAndWaitAreToldWhereNoTokenIsLeft)
{
  gsFleet fleet = gsFleetCases::MakeFleet(1);
  gsTime const now = gsFleetCases::Now;
  gsNoteRateLimit(fleet.RateLimits, gsFleetFind(fleet, "u0")->Hash, 2, now,
                  now);
  gsRandom random(1);
  gsPlacement placement = gsPlace(fleet, gsFleetCases::Plain(), now, random);
  EXPECT_EQ(placement.Row, nullptr);
  EXPECT_EQ(placement.Cause, gsPlacementCause::RateLimited);
  EXPECT_EQ(placement.RestLeft, gsMilliseconds(250));
}
