/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A lease over a store, in a simulated network: hosts that are killed, frozen,
 * cut off, slow and started again under their name, and a store that loses
 * answers, carries writes out late and turns hosts away. What counts is what
 * the platform received, as it has to be kept to where nobody checks tokens.
 */
#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

#include "gsLease.h"

namespace {

constexpr gsTime Step = gsMilliseconds(10);
constexpr gsTime Day = gsSeconds(40);
/** Cuts, freezes and kills begin at random until then. */
constexpr gsTime Calm = gsSeconds(28);
constexpr std::size_t Hosts = 5;
/** A call is not waited for any longer. */
constexpr gsTime CallPatience = gsMilliseconds(700);

struct PendingWrite
{
  std::size_t Host = 0;
  std::uint64_t Incarnation = 0;
  std::uint64_t Expected = 0;
  gsTime ArrivesAt{};
  bool LosesAnswer = false;
};

struct PendingAnswer
{
  std::size_t Host = 0;
  std::uint64_t Incarnation = 0;
  gsTime SentAt{};
  gsTime ArrivesAt{};
  gsLeaseReply Reply;
};

/** A call on the duty, as the platform has received it. */
struct Act
{
  std::string Machine;
  std::uint64_t Token = 0;
  gsTime At{};
};

struct SimHost
{
  gsLease Lease;
  bool Up = true;
  gsTime UpAt{};
  gsTime FrozenUntil{};
  gsTime CutUntil{};
  double Rate = 1; ///< Of its steady clock against true time.
  gsTime ActsNext{};
};

class World
{
public:
  explicit World(std::uint64_t seed)
    : Random(seed)
    , Nodes(Hosts)
  {
    for (std::size_t i = 0; i < Hosts; ++i) {
      this->Boot(i);
      std::uniform_real_distribution<double> rate(0.999, 1.001);
      this->Nodes[i].Rate = rate(this->Random);
    }
  }

  void Run()
  {
    for (this->Now = gsTime{}; this->Now < Day; this->Now += Step) {
      this->Trouble();
      this->DeliverWrites();
      this->DeliverAnswers();
      for (std::size_t i = 0; i < Hosts; ++i) {
        this->Turn(i);
      }
    }
  }

  std::vector<Act> Acts;
  std::uint64_t Version = 100;

private:
  bool Chance(double each)
  {
    return std::uniform_real_distribution<double>(0, 1)(this->Random) < each;
  }
  gsTime Draw(double least, double most)
  {
    return gsFromSeconds(
      std::uniform_real_distribution<double>(least, most)(this->Random));
  }
  static std::string Name(std::size_t i) { return "h" + std::to_string(i); }

  /** The host's own steady clock. */
  gsTime Clock(SimHost const& host) const
  {
    return gsFromSeconds(1000 + gsToSeconds(this->Now) * host.Rate);
  }

  void Boot(std::size_t i)
  {
    SimHost& host = this->Nodes[i];
    host.Lease = gsLease{};
    host.Lease.Self = Name(i);
    host.Lease.Incarnation = ++this->Incarnations;
    host.Lease.Started = this->Clock(host);
    host.Up = true;
  }

  bool Runs(SimHost const& host) const
  {
    return host.Up && this->Now >= host.FrozenUntil;
  }

  void Trouble()
  {
    constexpr double each = 0.01 / 4; // Four of a kind in ten seconds.
    if (this->Now > Calm) {
      return;
    }
    for (std::size_t i = 0; i < Hosts; ++i) {
      SimHost& host = this->Nodes[i];
      bool holds = gsLeaseHolds(host.Lease, this->Clock(host));
      double likely = holds ? 4 * each : each;
      if (!host.Up || !this->Chance(likely / 4)) {
        continue;
      }
      switch (this->Random() % 3) {
        case 0:
          host.Up = false;
          host.UpAt = this->Now + this->Draw(0.2, 5);
          break;
        case 1:
          host.FrozenUntil = this->Now + this->Draw(0.2, 6);
          break;
        default:
          host.CutUntil = this->Now + this->Draw(0.2, 6);
          break;
      }
    }
    if (this->Chance(each / 8)) {
      this->DarkUntil = this->Now + this->Draw(0.5, 6);
    }
  }

  void DeliverWrites()
  {
    for (std::size_t i = 0; i < this->Writes.size();) {
      if (this->Writes[i].ArrivesAt > this->Now) {
        ++i;
        continue;
      }
      PendingWrite write = this->Writes[i];
      this->Writes.erase(this->Writes.begin() + static_cast<long>(i));
      this->CarryOut(write);
    }
  }

  void CarryOut(PendingWrite const& write)
  {
    PendingAnswer answer{ write.Host, write.Incarnation, {}, {}, {} };
    if (write.Expected == this->Row.Version) {
      this->Version += 1 + this->Random() % 3;
      this->Row = { this->Version, Name(write.Host), write.Incarnation };
      answer.Reply.Is = gsLeaseReply::Kind::Written;
      answer.Reply.Version = this->Version;
    } else {
      answer.Reply.Is = gsLeaseReply::Kind::Conflict;
      answer.Reply.Row = this->Row;
    }
    answer.ArrivesAt = this->Now + this->Draw(0.001, 0.05);
    bool cut = this->Now < this->Nodes[write.Host].CutUntil;
    if (!write.LosesAnswer && !cut) {
      this->Answers.push_back(answer);
    }
  }

  void DeliverAnswers()
  {
    for (std::size_t i = 0; i < this->Answers.size();) {
      PendingAnswer answer = this->Answers[i];
      SimHost& host = this->Nodes[answer.Host];
      bool same = host.Lease.Incarnation == answer.Incarnation;
      if (answer.ArrivesAt > this->Now ||
          (same && host.Up && !this->Runs(host))) {
        ++i;
        continue;
      }
      this->Answers.erase(this->Answers.begin() + static_cast<long>(i));
      if (same && host.Up && host.Lease.Calling) {
        gsLeaseAnswer(host.Lease, answer.Reply, this->Clock(host));
      }
    }
  }

  void Turn(std::size_t i)
  {
    SimHost& host = this->Nodes[i];
    if (!host.Up && this->Now >= host.UpAt) {
      this->Boot(i);
    }
    if (!this->Runs(host)) {
      return;
    }
    gsTime clock = this->Clock(host);
    if (host.Lease.Calling && clock - host.Lease.SentAt > CallPatience) {
      gsLeaseAnswer(host.Lease, {}, clock);
    }
    if (std::optional<gsLeaseWrite> write =
          gsLeaseTick(host.Lease, true, i, clock)) {
      this->Send(i, *write);
    }
    this->Tell(i, clock);
    this->DoDuty(i, clock);
  }

  void Send(std::size_t i, gsLeaseWrite const& write)
  {
    SimHost& host = this->Nodes[i];
    if (this->Now < host.CutUntil) {
      return;
    }
    if (this->Now < this->DarkUntil) {
      if (this->Chance(0.5)) {
        gsLeaseReply refused;
        refused.Is = gsLeaseReply::Kind::Refused;
        gsLeaseAnswer(host.Lease, refused, this->Clock(host));
      }
      return;
    }
    PendingWrite pending{ i, host.Lease.Incarnation, write.Expected,
                          this->Now + this->Draw(0.001, 0.05), false };
    if (this->Chance(0.08)) {
      pending.LosesAnswer = true;
    } else if (this->Chance(0.04)) {
      pending.LosesAnswer = true;
      pending.ArrivesAt = this->Now + this->Draw(2, 12);
    }
    this->Writes.push_back(pending);
  }

  /** Hosts that are not cut off tell one another now and then. */
  void Tell(std::size_t i, gsTime clock)
  {
    SimHost& host = this->Nodes[i];
    std::optional<gsLeaseNews> news = gsLeaseTell(host.Lease, clock);
    std::size_t to = this->Random() % Hosts;
    SimHost& other = this->Nodes[to];
    bool may = news && to != i && this->Now >= host.CutUntil &&
               this->Now >= other.CutUntil && this->Runs(other) &&
               this->Chance(0.02);
    if (may) {
      gsLeaseHear(other.Lease, *news, this->Clock(other));
    }
  }

  void DoDuty(std::size_t i, gsTime clock)
  {
    SimHost& host = this->Nodes[i];
    bool may = gsLeaseHolds(host.Lease, clock) && clock >= host.ActsNext &&
               this->Now >= host.CutUntil;
    if (may) {
      host.ActsNext = clock + this->Draw(0.02, 0.4);
      this->Acts.push_back({ Name(i), host.Lease.Token, this->Now });
    }
  }

  std::mt19937_64 Random;
  std::vector<SimHost> Nodes;
  std::vector<PendingWrite> Writes;
  std::vector<PendingAnswer> Answers;
  gsLeaseRow Row;
  gsTime Now{};
  gsTime DarkUntil{};
  std::uint64_t Incarnations = 0;
};

/** What breaks a promise; empty if nothing does. */
std::string Broken(std::vector<Act> const& acts, gsTime leaseTime)
{
  std::map<std::uint64_t, std::string> senders;
  std::uint64_t highest = 0;
  std::map<std::string, gsTime> last;
  std::string before;
  gsTime beforeSince{};
  for (Act const& act : acts) {
    auto sender = senders.emplace(act.Token, act.Machine).first;
    if (sender->second != act.Machine) {
      return "one token of two holders";
    }
    if (act.Token < highest) {
      return "a lower token";
    }
    highest = act.Token;
    bool changed = !before.empty() && before != act.Machine;
    auto earlier = last.find(act.Machine);
    if (changed && earlier != last.end() &&
        act.At - earlier->second < leaseTime) {
      return "A, B, A within the lease's time";
    }
    before = act.Machine;
    last[act.Machine] = act.At;
  }
  return {};
}

} // namespace

TEST(Lease, OneHostActsAtATimeWhateverFails)
{
  constexpr std::uint64_t runs = 1000;
  std::size_t least = 1U << 30U;
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    World world(seed);
    world.Run();
    EXPECT_EQ(Broken(world.Acts, gsLeaseSettings().Time), "")
      << "seed " << seed;
    least = std::min(least, world.Acts.size());
  }
  // In the calm seconds at the end at least somebody does the duty.
  EXPECT_GT(least, 20U);
}

namespace {

gsLease Fresh(std::string const& name, std::uint64_t incarnation)
{
  gsLease lease;
  lease.Self = name;
  lease.Incarnation = incarnation;
  lease.Started = gsSeconds(1);
  return lease;
}

gsLeaseReply Written(std::uint64_t version)
{
  gsLeaseReply reply;
  reply.Is = gsLeaseReply::Kind::Written;
  reply.Version = version;
  return reply;
}

gsLeaseReply Conflict(gsLeaseRow const& row)
{
  gsLeaseReply reply;
  reply.Is = gsLeaseReply::Kind::Conflict;
  reply.Row = row;
  return reply;
}

} // namespace

TEST(Lease, TheTimeCountsFromBeforeTheWriteWasSent)
{
  gsLease lease = Fresh("a", 1);
  gsTime sent = gsSeconds(2);
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, sent));
  gsTime answered = sent + gsMilliseconds(600);
  EXPECT_TRUE(gsLeaseAnswer(lease, Written(7), answered));
  EXPECT_EQ(lease.Token, 7U);
  EXPECT_TRUE(gsLeaseHolds(lease, sent + gsMilliseconds(2999)));
  EXPECT_FALSE(gsLeaseHolds(lease, sent + gsMilliseconds(3000)));
}

TEST(Lease, AnAnswerAfterTheTimeAllowsNothing)
{
  gsLease lease = Fresh("a", 1);
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, gsSeconds(2)));
  EXPECT_FALSE(gsLeaseAnswer(lease, Written(7), gsSeconds(6)));
  EXPECT_FALSE(gsLeaseHolds(lease, gsSeconds(6)));
}

TEST(Lease, AHigherTokenElsewhereEndsTheBeliefAtOnce)
{
  gsLease lease = Fresh("a", 1);
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, gsSeconds(2)));
  gsLeaseAnswer(lease, Written(7), gsSeconds(2));
  gsLeaseHear(lease, { { 9, "b", 3 }, {} }, gsSeconds(3));
  EXPECT_FALSE(gsLeaseHolds(lease, gsSeconds(3)));
  gsLease refused = Fresh("a", 1);
  ASSERT_TRUE(gsLeaseTick(refused, true, 0, gsSeconds(2)));
  gsLeaseAnswer(refused, Written(7), gsSeconds(2));
  gsLeaseLose(refused, gsSeconds(3));
  EXPECT_FALSE(gsLeaseHolds(refused, gsSeconds(3)));
}

TEST(Lease, ASuccessorWaitsTheTimeAndAMarginFromItsOwnSight)
{
  gsLease lease = Fresh("b", 2);
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, gsSeconds(2)));
  gsLeaseAnswer(lease, Conflict({ 7, "a", 1 }), gsSeconds(2));
  gsTime free = gsSeconds(2) + lease.Settings.Time + lease.Settings.Margin;
  EXPECT_FALSE(gsLeaseTick(lease, true, 0, free - gsMilliseconds(1)));
  EXPECT_FALSE(gsLeaseTick(lease, true, 1, free));
  std::optional<gsLeaseWrite> write = gsLeaseTick(lease, true, 0, free);
  ASSERT_TRUE(write);
  EXPECT_EQ(write->Expected, 7U);
}

TEST(Lease, AWriteThatWasCarriedOutLateIsRenewedFirst)
{
  gsLease lease = Fresh("a", 1);
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, gsSeconds(2)));
  gsLeaseAnswer(lease, Written(7), gsSeconds(2));
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, gsSeconds(4)));
  gsLeaseAnswer(lease, {}, gsMilliseconds(4700));
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, gsMilliseconds(5100)));
  gsLeaseAnswer(lease, Conflict({ 9, "a", 1 }), gsMilliseconds(5110));
  EXPECT_FALSE(gsLeaseHolds(lease, gsMilliseconds(5110)));
  std::optional<gsLeaseWrite> write =
    gsLeaseTick(lease, true, 0, gsMilliseconds(5120));
  ASSERT_TRUE(write);
  EXPECT_EQ(write->Expected, 9U);
  EXPECT_TRUE(gsLeaseAnswer(lease, Written(11), gsMilliseconds(5130)));
}

TEST(Lease, WhatAnEarlierProcessOfTheSameNameHeldIsWaitedOut)
{
  gsLease lease = Fresh("a", 2);
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, gsSeconds(2)));
  gsLeaseAnswer(lease, Conflict({ 7, "a", 1 }), gsSeconds(2));
  EXPECT_FALSE(gsLeaseTick(lease, true, 0, gsSeconds(4)));
}
