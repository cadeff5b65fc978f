/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of scaling decisions and orders. Scaling decisions are tested in
 * simulations with periodic demand, bursts of two to three times the
 * demand, withdrawal of a hall's withdrawable upstreams during a burst, and a
 * change of the deciding host. The simulation has no network. Upstreams serve
 * after their startup time, and demand above their capacity is lost.
 */
#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>

#include <gtest/gtest.h>

#include "gsScaling.h"
#include "gsScalingOrder.h"

namespace {

constexpr gsTime Tick = gsMilliseconds(200);
constexpr std::size_t Halls = 4;

gsScalingPolicy Terms()
{
  gsScalingPolicy terms;
  terms.MinPerHall = 1;
  terms.MaxPerHall = 56;
  terms.StartupTime = gsSeconds(4);
  terms.WithdrawablePrice = 0.22;
  terms.HallPrices = {
    { "a", 1.0 }, { "b", 0.8 }, { "c", 1.25 }, { "d", 0.9 }
  };
  return terms;
}

/** Demand and failures of a simulation. */
struct Scenario
{
  std::function<double(double second)> Demand; ///< Busy engines.
  /** Hall that loses its withdrawable upstreams; none if empty. */
  std::string WithdrawnHall;
  double WithdrawnAt = 0; ///< Time of the withdrawal, seconds.
  /** Time after it without available withdrawable upstreams, seconds. */
  double UnavailableFor = 10;
  /** Time from which another host decides, seconds; negative for never. */
  double HandoverAt = -1;
};

/** Cost and lost work of a simulation. */
struct Outcome
{
  double Price = 0;       ///< Upstream-seconds weighted by price.
  double LostDemand = 0;  ///< Engine-seconds of demand above the capacity.
  double TotalDemand = 0; ///< Engine-seconds of demand.
  int Reversals = 0;      ///< Changes of direction within the startup time.
  std::uint32_t MinServing = 1000; ///< Minimum number of serving upstreams.
};

/** An upstream that has been ordered and does not serve yet. */
struct Starting
{
  gsScalingPool Subject;
  gsTime At{};
};

/** Simulates a service with 28 regular upstreams in each hall. */
class Simulation
{
public:
  Simulation(Scenario scenario, gsScalingSettings settings, bool isScaling)
    : Simulated(std::move(scenario))
    , Settings(settings)
    , IsScaling(isScaling)
  {
    for (char hall = 'a'; hall < 'a' + static_cast<char>(Halls); ++hall) {
      this->ServingCounts[{ std::string(1, hall), false }] = 28;
      this->ServingCounts[{ std::string(1, hall), true }] = 0;
    }
  }

  Outcome Run(double seconds)
  {
    for (this->Now = gsTime{}; this->Now < gsFromSeconds(seconds);
         this->Now += Tick) {
      this->Start();
      this->Withdraw();
      this->AccountTick();
      if (this->IsScaling) {
        this->Decide();
      }
    }
    return this->Result;
  }

private:
  double Second() const { return gsToSeconds(this->Now); }

  void Start()
  {
    while (!this->StartingUpstreams.empty() &&
           this->StartingUpstreams.front().At <= this->Now) {
      ++this->ServingCounts[this->StartingUpstreams.front().Subject];
      this->StartingUpstreams.pop_front();
    }
  }

  void Withdraw()
  {
    bool isDue = !this->Simulated.WithdrawnHall.empty() &&
                 !this->IsWithdrawn &&
                 this->Second() >= this->Simulated.WithdrawnAt;
    if (isDue) {
      this->IsWithdrawn = true;
      this->ServingCounts[{ this->Simulated.WithdrawnHall, true }] = 0;
    }
  }

  bool IsUnavailable(gsScalingPool const& subject) const
  {
    return this->IsWithdrawn && subject.Withdrawable &&
           subject.Hall == this->Simulated.WithdrawnHall &&
           this->Second() <
             this->Simulated.WithdrawnAt + this->Simulated.UnavailableFor;
  }

  void AccountTick()
  {
    gsScalingPolicy terms = Terms();
    double tickSeconds = gsToSeconds(Tick);
    std::uint32_t serving = 0;
    for (auto const& [subject, count] : this->ServingCounts) {
      serving += count;
      double unitPrice = terms.HallPrices[subject.Hall] *
                         (subject.Withdrawable ? terms.WithdrawablePrice : 1);
      this->Result.Price += unitPrice * count * tickSeconds;
    }
    // Above this utilisation, an engine delays streams for too long.
    constexpr double maxUtilisation = 0.7;
    double demand = this->Simulated.Demand(this->Second());
    this->Result.TotalDemand += demand * tickSeconds;
    this->Result.LostDemand +=
      std::max(0.0, demand - maxUtilisation * serving) * tickSeconds;
    this->Result.MinServing = std::min(this->Result.MinServing, serving);
  }

  void Decide()
  {
    if (this->Simulated.HandoverAt >= 0 && !this->IsHandedOver &&
        this->Second() >= this->Simulated.HandoverAt) {
      this->IsHandedOver = true;
      this->Scaling = gsScaling{};
      this->OrderedCounts.clear();
    }
    // Decisions use demand data of the last second or two.
    double recentDemand =
      this->Simulated.Demand(std::max(0.0, this->Second() - 1));
    gsScalingCounts wanted = gsScalingDecide(
      this->Scaling, this->Settings, Terms(), this->ServingCounts,
      recentDemand, this->Now + gsSeconds(1));
    this->RecordReversals();
    for (auto const& [subject, count] : wanted) {
      this->Order(subject, count);
    }
  }

  void RecordReversals()
  {
    int direction = this->Scaling.WantedTotal > this->LastTotal   ? 1
                    : this->Scaling.WantedTotal < this->LastTotal ? -1
                                                                  : 0;
    if (direction == 0) {
      return;
    }
    bool isReversal =
      this->LastTotal != 0 && direction != this->Direction &&
      this->Now - this->DirectionChangedAt < Terms().StartupTime;
    this->Result.Reversals += isReversal ? 1 : 0;
    this->Direction = direction;
    this->DirectionChangedAt = this->Now;
    this->LastTotal = this->Scaling.WantedTotal;
  }

  void Order(gsScalingPool const& subject, std::uint32_t count)
  {
    auto previous = this->OrderedCounts.find(subject);
    std::uint32_t& serving = this->ServingCounts[subject];
    std::uint32_t startingCount = 0;
    for (Starting const& starting : this->StartingUpstreams) {
      bool same = starting.Subject.Hall == subject.Hall &&
                  starting.Subject.Withdrawable == subject.Withdrawable;
      startingCount += same ? 1 : 0;
    }
    bool changed =
      previous == this->OrderedCounts.end() || previous->second != count;
    if (!changed && serving + startingCount >= count) {
      return;
    }
    if (this->IsUnavailable(subject) && count > serving) {
      gsScalingRecordUnavailable(this->Scaling, this->Settings, subject.Hall,
                                 this->Now + gsSeconds(1));
      return;
    }
    this->OrderedCounts[subject] = count;
    for (std::uint32_t i = serving + startingCount; i < count; ++i) {
      this->StartingUpstreams.push_back(
        { subject, this->Now + Terms().StartupTime });
    }
    serving = std::min(serving, count);
  }

  Scenario Simulated;
  gsScalingSettings Settings;
  bool IsScaling;
  gsScaling Scaling;
  gsScalingCounts ServingCounts;
  gsScalingCounts OrderedCounts;
  std::deque<Starting> StartingUpstreams;
  Outcome Result;
  gsTime Now{};
  bool IsWithdrawn = false;
  bool IsHandedOver = false;
  std::uint32_t LastTotal = 0;
  int Direction = 0;
  gsTime DirectionChangedAt{};
};

constexpr double Pi = 3.14159265358979;
/** Start of the demand, seconds: there is none while the hosts start. */
constexpr double DemandStart = 14;
/** Duration of a simulation, seconds. */
constexpr double Duration = 60;

/** Demand with a period of 11 s and three bursts of 2.8, 1.6 and 2.4 times the
 * mean. */
double BurstDemand(double second, double mean)
{
  if (second < DemandStart) {
    return 0;
  }
  double elapsed = second - DemandStart;
  double wave = 1 + 0.27 * std::sin(2 * Pi * elapsed / 11);
  bool isFirstBurst = elapsed >= 1.7 && elapsed < 10.7;
  bool isSecondBurst = elapsed >= 12.2 && elapsed < 17.2;
  bool isThirdBurst = elapsed >= 18.7 && elapsed < 24.7;
  double burst = isFirstBurst    ? 2.8
                 : isSecondBurst ? 1.6
                 : isThirdBurst  ? 2.4
                                 : 1;
  return mean * wave * burst;
}

Scenario BurstScenario(double mean)
{
  Scenario scenario;
  scenario.Demand = [mean](double second) {
    return BurstDemand(second, mean);
  };
  return scenario;
}

Outcome RunScenario(Scenario const& scenario, bool isScaling = true,
                    gsScalingSettings const& settings = {})
{
  return Simulation(scenario, settings, isScaling).Run(Duration);
}

} // namespace

TEST(Scaling, ReducesCostAndLossWithWithdrawableUpstreams)
{
  for (double mean : { 30.0, 50.0, 70.0 }) {
    Outcome fixed = RunScenario(BurstScenario(mean), false);
    Outcome scaled = RunScenario(BurstScenario(mean));
    EXPECT_LT(scaled.Price, 0.8 * fixed.Price) << mean;
    EXPECT_LE(scaled.LostDemand, fixed.LostDemand + 1e-9) << mean;
    RecordProperty("price_" + std::to_string(static_cast<int>(mean)),
                   std::to_string(scaled.Price / fixed.Price));
  }
}

TEST(Scaling, OrdersFewerRegularUpstreamsWhenDemandIsLow)
{
  gsScalingSettings settings;
  settings.MaxWithdrawableShare = 0;
  Scenario steady;
  steady.Demand = [](double second) {
    return second < DemandStart ? 0 : 20.0;
  };
  Outcome fixed = RunScenario(steady, false);
  Outcome scaled = RunScenario(steady, true, settings);
  EXPECT_LT(scaled.Price, fixed.Price);
  EXPECT_EQ(scaled.LostDemand, 0);
}

TEST(Scaling, CompensatesForHallWithdrawnDuringBurst)
{
  Scenario scenario = BurstScenario(40);
  scenario.WithdrawnHall = "b";
  scenario.WithdrawnAt = DemandStart + 8.7;
  Outcome fixed = RunScenario(BurstScenario(40), false);
  Outcome scaled = RunScenario(scenario);
  EXPECT_LT(scaled.LostDemand, 0.02 * scaled.TotalDemand);
  EXPECT_LT(scaled.Price, 0.8 * fixed.Price);
}

// Guards against orders for a demand that a few first requests have shown.
TEST(Scaling, OrdersNothingBeforeMinDemandTime)
{
  gsScaling scaling;
  gsScalingSettings settings;
  settings.MinDemandTime = gsSeconds(3);
  gsScalingCounts listed{ { { "a", false }, 4 }, { { "b", false }, 4 } };
  gsTime start = gsSeconds(100);
  auto decide = [&](double demand, gsTime now) {
    return gsScalingDecide(scaling, settings, Terms(), listed, demand, now);
  };
  decide(0, start);
  EXPECT_TRUE(decide(0, start + gsSeconds(10)).empty());
  gsTime firstDemandAt = start + gsSeconds(11);
  EXPECT_TRUE(decide(20, firstDemandAt).empty());
  EXPECT_TRUE(decide(20, firstDemandAt + gsMilliseconds(2900)).empty());
  EXPECT_FALSE(decide(20, firstDemandAt + gsSeconds(3)).empty());
  settings.MinDemandTime = {};
  scaling = {};
  decide(0, start);
  EXPECT_FALSE(decide(0, start + gsSeconds(10)).empty());
}

TEST(Scaling, DoesNotReverseWithinStartupTime)
{
  for (double mean : { 10.0, 25.0, 50.0, 80.0 }) {
    EXPECT_EQ(RunScenario(BurstScenario(mean)).Reversals, 0) << mean;
  }
}

TEST(Scaling, ContinuesFromListedUpstreamsWhenDecidingHostChanges)
{
  Scenario scenario = BurstScenario(40);
  scenario.HandoverAt = DemandStart + 6;
  Outcome handedOver = RunScenario(scenario);
  Outcome unchanged = RunScenario(BurstScenario(40));
  EXPECT_LT(handedOver.LostDemand,
            unchanged.LostDemand + 0.01 * unchanged.TotalDemand);
  EXPECT_LT(handedOver.Price, 1.2 * unchanged.Price);
  EXPECT_GE(handedOver.MinServing, 56U);
}

TEST(Scaling, KeepsEnoughUpstreamsWhenAHallIsLost)
{
  gsScaling scaling;
  gsScalingCounts listed;
  for (char const* hall : { "a", "b", "c", "d" }) {
    listed[{ hall, false }] = 28;
  }
  gsScalingCounts wanted;
  gsTime now = gsSeconds(10);
  for (int i = 0; i < 200; ++i, now += gsMilliseconds(200)) {
    wanted = gsScalingDecide(scaling, {}, Terms(), listed, 60, now);
  }
  std::map<std::string, std::uint32_t> halls;
  std::uint32_t all = 0;
  std::uint32_t withdrawable = 0;
  for (auto const& [subject, count] : wanted) {
    halls[subject.Hall] += count;
    all += count;
    withdrawable += subject.Withdrawable ? count : 0;
    EXPECT_GE(count, subject.Withdrawable ? 0U : 1U);
  }
  for (auto const& [hall, count] : halls) {
    EXPECT_GE(all - count, 60U) << hall;
    EXPECT_LE(count, 56U) << hall;
  }
  EXPECT_LE(withdrawable, 0.8 * all + 1);
}

namespace {

constexpr gsTime Startup = gsSeconds(4);
constexpr gsTime Later = gsSeconds(60);

/** An order that was placed long ago and answered. */
gsScalingOrder MakePlacedOrder(std::uint32_t count)
{
  gsScalingOrder order;
  gsScalingRecordOrder(order, count, 7, gsSeconds(10));
  order.IsAnswered = true;
  return order;
}

} // namespace

TEST(ScalingOrder, IgnoresSmallDifferences)
{
  EXPECT_TRUE(gsScalingIsNegligibleChange(28, 30));
  EXPECT_FALSE(gsScalingIsNegligibleChange(28, 31));
  EXPECT_FALSE(gsScalingIsNegligibleChange(3, 4));
  gsScalingOrder order = MakePlacedOrder(28);
  EXPECT_FALSE(gsScalingOrderIsDue(order, 30, 30, Startup, 8, Later));
  EXPECT_TRUE(gsScalingOrderIsDue(order, 40, 28, Startup, 8, Later));
}

TEST(ScalingOrder, WaitsForCrashedUpstreamsToRestart)
{
  gsScalingOrder order = MakePlacedOrder(45);
  EXPECT_FALSE(gsScalingOrderIsDue(order, 45, 36, Startup, 8, Later));
  EXPECT_FALSE(
    gsScalingOrderIsDue(order, 45, 36, Startup, 8, Later + gsSeconds(6)));
  EXPECT_TRUE(
    gsScalingOrderIsDue(order, 45, 36, Startup, 8, Later + gsSeconds(7)));
}

TEST(ScalingOrder, WaitsForStartingUpstreams)
{
  gsScalingOrder order;
  EXPECT_TRUE(gsScalingOrderIsDue(order, 28, 0, Startup, 7, gsSeconds(10)));
  gsScalingRecordOrder(order, 28, 7, gsSeconds(10));
  order.IsAnswered = true;
  EXPECT_FALSE(gsScalingOrderIsDue(order, 28, 0, Startup, 8, gsSeconds(11)));
  EXPECT_FALSE(gsScalingOrderIsDue(order, 28, 0, Startup, 8, gsSeconds(17)));
  EXPECT_TRUE(gsScalingOrderIsDue(order, 28, 0, Startup, 8, gsSeconds(18)));
}

TEST(ScalingOrder, ReplacesUnansweredOrderOnlyWithHigherToken)
{
  gsScalingOrder order;
  gsScalingRecordOrder(order, 28, 7, gsSeconds(10));
  EXPECT_FALSE(gsScalingOrderIsDue(order, 40, 0, Startup, 7, gsSeconds(12)));
  EXPECT_TRUE(gsScalingOrderIsDue(order, 40, 0, Startup, 8, gsSeconds(12)));
}

// Guards against oscillating orders in a hall in which withdrawable upstreams
// are available only for a moment: in a replay of the simultaneous withdrawal
// of two halls, 40 upstreams were ordered, cancelled before they served, and
// ordered again.
TEST(ScalingOrder, DoesNotRevertRecentIncrease)
{
  gsScalingOrder order = MakePlacedOrder(11);
  gsScalingRecordOrder(order, 51, 8, Later);
  order.IsAnswered = true;
  EXPECT_FALSE(
    gsScalingOrderIsDue(order, 11, 11, Startup, 9, Later + gsSeconds(3)));
  EXPECT_FALSE(
    gsScalingOrderIsDue(order, 11, 51, Startup, 9, Later + gsSeconds(6)));
  EXPECT_TRUE(
    gsScalingOrderIsDue(order, 11, 51, Startup, 9, Later + gsSeconds(8)));
  // A decrease after a decrease is not a reversal.
  gsScalingOrder less = MakePlacedOrder(28);
  gsScalingRecordOrder(less, 20, 8, Later);
  less.IsAnswered = true;
  EXPECT_TRUE(gsScalingOrderIsDue(less, 10, 20, Startup, 9,
                                  Later + gsMilliseconds(400)));
}
