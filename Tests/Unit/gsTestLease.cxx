/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the lease in a simulation: hosts are killed, frozen, partitioned
 * and restarted under the same name, and their clocks run at
 * different rates; the store loses replies, delays writes and refuses
 * requests. The simulation checks the calls that the platform receives, since
 * mutual exclusion has to hold there even though nobody verifies the tokens.
 */
#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

#include "gsLease.h"

namespace {

constexpr gsTime Step = gsMilliseconds(10);
/** Simulated duration of a run. */
constexpr gsTime RunDuration = gsSeconds(40);
/** Time after which no new faults are injected. */
constexpr gsTime FaultsEndAt = gsSeconds(28);
constexpr std::size_t Hosts = 5;
/** Timeout of a write to the store. */
constexpr gsTime WriteTimeout = gsMilliseconds(700);

/** A write on its way to the store. */
struct PendingWrite
{
  std::size_t Host = 0;
  std::uint64_t Incarnation = 0;
  std::uint64_t Expected = 0;
  gsTime ArrivesAt{};
  bool LosesReply = false;
};

/** A reply on its way from the store. */
struct PendingReply
{
  std::size_t Host = 0;
  std::uint64_t Incarnation = 0;
  gsTime SentAt{};
  gsTime ArrivesAt{};
  gsLeaseReply Reply;
};

/** A call of a lease holder that the platform has received. */
struct PlatformCall
{
  std::string Host;
  std::uint64_t Token = 0;
  gsTime At{};
};

/** A simulated host. */
struct SimHost
{
  gsLease Lease;
  bool IsUp = true;
  gsTime RestartAt{};
  gsTime FrozenUntil{};
  gsTime PartitionedUntil{};
  double Rate = 1; ///< Rate of its steady clock relative to simulated time.
  gsTime NextCallAt{};
};

/** Simulated hosts, store and platform. */
class Simulation
{
public:
  explicit Simulation(std::uint64_t seed)
    : Random(seed)
    , Nodes(Hosts)
  {
    for (std::size_t i = 0; i < Hosts; ++i) {
      this->StartHost(i);
      std::uniform_real_distribution<double> rate(0.999, 1.001);
      this->Nodes[i].Rate = rate(this->Random);
    }
  }

  void Run()
  {
    for (this->Now = gsTime{}; this->Now < RunDuration; this->Now += Step) {
      this->InjectFaults();
      this->DeliverWrites();
      this->DeliverReplies();
      for (std::size_t i = 0; i < Hosts; ++i) {
        this->StepHost(i);
      }
    }
  }

  std::vector<PlatformCall> PlatformCalls;
  std::uint64_t Version = 100;

private:
  bool Chance(double probability)
  {
    return std::uniform_real_distribution<double>(0, 1)(this->Random) <
           probability;
  }
  gsTime Draw(double minimum, double maximum)
  {
    return gsFromSeconds(
      std::uniform_real_distribution<double>(minimum, maximum)(this->Random));
  }
  static std::string Name(std::size_t i) { return "h" + std::to_string(i); }

  /** The current time of a host's steady clock. */
  gsTime Clock(SimHost const& host) const
  {
    return gsFromSeconds(1000 + gsToSeconds(this->Now) * host.Rate);
  }

  void StartHost(std::size_t i)
  {
    SimHost& host = this->Nodes[i];
    host.Lease = gsLease{};
    host.Lease.Self = Name(i);
    host.Lease.Incarnation = ++this->Incarnations;
    host.Lease.StartedAt = this->Clock(host);
    host.IsUp = true;
  }

  bool IsRunning(SimHost const& host) const
  {
    return host.IsUp && this->Now >= host.FrozenUntil;
  }

  void InjectFaults()
  {
    // Nominally four faults of each kind in ten seconds.
    constexpr double probability = 0.01 / 4;
    if (this->Now > FaultsEndAt) {
      return;
    }
    for (std::size_t i = 0; i < Hosts; ++i) {
      SimHost& host = this->Nodes[i];
      bool isHolder = gsLeaseIsHeld(host.Lease, this->Clock(host));
      double hostProbability = isHolder ? 4 * probability : probability;
      if (!host.IsUp || !this->Chance(hostProbability / 4)) {
        continue;
      }
      switch (this->Random() % 3) {
        case 0:
          host.IsUp = false;
          host.RestartAt = this->Now + this->Draw(0.2, 5);
          break;
        case 1:
          host.FrozenUntil = this->Now + this->Draw(0.2, 6);
          break;
        default:
          host.PartitionedUntil = this->Now + this->Draw(0.2, 6);
          break;
      }
    }
    if (this->Chance(probability / 8)) {
      this->StoreDownUntil = this->Now + this->Draw(0.5, 6);
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
      this->ApplyWrite(write);
    }
  }

  void ApplyWrite(PendingWrite const& write)
  {
    PendingReply reply{ write.Host, write.Incarnation, {}, {}, {} };
    if (write.Expected == this->Row.Version) {
      this->Version += 1 + this->Random() % 3;
      this->Row = { this->Version, Name(write.Host), write.Incarnation };
      reply.Reply.Result = gsLeaseReply::Kind::Written;
      reply.Reply.Version = this->Version;
    } else {
      reply.Reply.Result = gsLeaseReply::Kind::Conflict;
      reply.Reply.Row = this->Row;
    }
    reply.ArrivesAt = this->Now + this->Draw(0.001, 0.05);
    bool isPartitioned = this->Now < this->Nodes[write.Host].PartitionedUntil;
    if (!write.LosesReply && !isPartitioned) {
      this->Replies.push_back(reply);
    }
  }

  void DeliverReplies()
  {
    for (std::size_t i = 0; i < this->Replies.size();) {
      PendingReply reply = this->Replies[i];
      SimHost& host = this->Nodes[reply.Host];
      bool isSameProcess = host.Lease.Incarnation == reply.Incarnation;
      if (reply.ArrivesAt > this->Now ||
          (isSameProcess && host.IsUp && !this->IsRunning(host))) {
        ++i;
        continue;
      }
      this->Replies.erase(this->Replies.begin() + static_cast<long>(i));
      if (isSameProcess && host.IsUp && host.Lease.IsWritePending) {
        gsLeaseReceiveReply(host.Lease, reply.Reply, this->Clock(host));
      }
    }
  }

  void StepHost(std::size_t i)
  {
    SimHost& host = this->Nodes[i];
    if (!host.IsUp && this->Now >= host.RestartAt) {
      this->StartHost(i);
    }
    if (!this->IsRunning(host)) {
      return;
    }
    gsTime clock = this->Clock(host);
    if (host.Lease.IsWritePending &&
        clock - host.Lease.WriteSentAt > WriteTimeout) {
      gsLeaseReceiveReply(host.Lease, {}, clock);
    }
    if (std::optional<gsLeaseWrite> write =
          gsLeaseTick(host.Lease, true, i, clock)) {
      this->Send(i, *write);
    }
    this->SendUpdate(i, clock);
    this->PerformDuty(i, clock);
  }

  void Send(std::size_t i, gsLeaseWrite const& write)
  {
    SimHost& host = this->Nodes[i];
    if (this->Now < host.PartitionedUntil) {
      return;
    }
    if (this->Now < this->StoreDownUntil) {
      if (this->Chance(0.5)) {
        gsLeaseReply refused;
        refused.Result = gsLeaseReply::Kind::Refused;
        gsLeaseReceiveReply(host.Lease, refused, this->Clock(host));
      }
      return;
    }
    PendingWrite pending{ i, host.Lease.Incarnation, write.ExpectedVersion,
                          this->Now + this->Draw(0.001, 0.05), false };
    if (this->Chance(0.08)) {
      pending.LosesReply = true;
    } else if (this->Chance(0.04)) {
      pending.LosesReply = true;
      pending.ArrivesAt = this->Now + this->Draw(2, 12);
    }
    this->Writes.push_back(pending);
  }

  /** Sends the known row to a random host with a probability of 2%, unless
   * either is partitioned. */
  void SendUpdate(std::size_t i, gsTime clock)
  {
    SimHost& host = this->Nodes[i];
    std::optional<gsLeaseUpdate> update =
      gsLeaseCurrentUpdate(host.Lease, clock);
    std::size_t to = this->Random() % Hosts;
    SimHost& other = this->Nodes[to];
    bool isAllowed = update && to != i && this->Now >= host.PartitionedUntil &&
                     this->Now >= other.PartitionedUntil &&
                     this->IsRunning(other) && this->Chance(0.02);
    if (isAllowed) {
      gsLeaseReceiveUpdate(other.Lease, *update, this->Clock(other));
    }
  }

  void PerformDuty(std::size_t i, gsTime clock)
  {
    SimHost& host = this->Nodes[i];
    bool isAllowed = gsLeaseIsHeld(host.Lease, clock) &&
                     clock >= host.NextCallAt &&
                     this->Now >= host.PartitionedUntil;
    if (isAllowed) {
      host.NextCallAt = clock + this->Draw(0.02, 0.4);
      this->PlatformCalls.push_back({ Name(i), host.Lease.Token, this->Now });
    }
  }

  std::mt19937_64 Random;
  std::vector<SimHost> Nodes;
  std::vector<PendingWrite> Writes;
  std::vector<PendingReply> Replies;
  gsLeaseRow Row;
  gsTime Now{};
  gsTime StoreDownUntil{};
  std::uint64_t Incarnations = 0;
};

/** Description of the first violated invariant; empty if there is none. */
std::string FindViolation(std::vector<PlatformCall> const& calls,
                          gsTime leaseTime)
{
  std::map<std::uint64_t, std::string> senders;
  std::uint64_t highest = 0;
  std::map<std::string, gsTime> last;
  std::string previous;
  gsTime previousSince{};
  for (PlatformCall const& call : calls) {
    auto sender = senders.emplace(call.Token, call.Host).first;
    if (sender->second != call.Host) {
      return "one token of two holders";
    }
    if (call.Token < highest) {
      return "a lower token";
    }
    highest = call.Token;
    bool changed = !previous.empty() && previous != call.Host;
    auto earlier = last.find(call.Host);
    if (changed && earlier != last.end() &&
        call.At - earlier->second < leaseTime) {
      return "A, B, A within the lease's time";
    }
    previous = call.Host;
    last[call.Host] = call.At;
  }
  return {};
}

} // namespace

TEST(Lease, OnlyOneHostActsAtATimeUnderFaults)
{
  constexpr std::uint64_t runs = 1000;
  std::size_t minimum = 1U << 30U;
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    Simulation simulation(seed);
    simulation.Run();
    EXPECT_EQ(
      FindViolation(simulation.PlatformCalls, gsLeaseSettings().Duration), "")
      << "seed " << seed;
    minimum = std::min(minimum, simulation.PlatformCalls.size());
  }
  // In the final seconds without new faults some host performs the duty.
  EXPECT_GT(minimum, 20U);
}

namespace {

gsLease NewLease(std::string const& name, std::uint64_t incarnation)
{
  gsLease lease;
  lease.Self = name;
  lease.Incarnation = incarnation;
  lease.StartedAt = gsSeconds(1);
  return lease;
}

gsLeaseReply Written(std::uint64_t version)
{
  gsLeaseReply reply;
  reply.Result = gsLeaseReply::Kind::Written;
  reply.Version = version;
  return reply;
}

gsLeaseReply Conflict(gsLeaseRow const& row)
{
  gsLeaseReply reply;
  reply.Result = gsLeaseReply::Kind::Conflict;
  reply.Row = row;
  return reply;
}

} // namespace

TEST(Lease, DurationStartsBeforeWriteIsSent)
{
  gsLease lease = NewLease("a", 1);
  gsTime sentAt = gsSeconds(2);
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, sentAt));
  gsTime repliedAt = sentAt + gsMilliseconds(600);
  EXPECT_TRUE(gsLeaseReceiveReply(lease, Written(7), repliedAt));
  EXPECT_EQ(lease.Token, 7U);
  EXPECT_TRUE(gsLeaseIsHeld(lease, sentAt + gsMilliseconds(2999)));
  EXPECT_FALSE(gsLeaseIsHeld(lease, sentAt + gsMilliseconds(3000)));
}

TEST(Lease, ReplyAfterExpiryDoesNotGrantLease)
{
  gsLease lease = NewLease("a", 1);
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, gsSeconds(2)));
  EXPECT_FALSE(gsLeaseReceiveReply(lease, Written(7), gsSeconds(6)));
  EXPECT_FALSE(gsLeaseIsHeld(lease, gsSeconds(6)));
}

TEST(Lease, LeaseEndsWhenHigherTokenIsSeen)
{
  gsLease lease = NewLease("a", 1);
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, gsSeconds(2)));
  gsLeaseReceiveReply(lease, Written(7), gsSeconds(2));
  gsLeaseReceiveUpdate(lease, { { 9, "b", 3 }, {} }, gsSeconds(3));
  EXPECT_FALSE(gsLeaseIsHeld(lease, gsSeconds(3)));
  gsLease refused = NewLease("a", 1);
  ASSERT_TRUE(gsLeaseTick(refused, true, 0, gsSeconds(2)));
  gsLeaseReceiveReply(refused, Written(7), gsSeconds(2));
  gsLeaseRevoke(refused, gsSeconds(3));
  EXPECT_FALSE(gsLeaseIsHeld(refused, gsSeconds(3)));
}

TEST(Lease, SuccessorWaitsForDurationAndMarginSinceRowWasSeen)
{
  gsLease lease = NewLease("b", 2);
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, gsSeconds(2)));
  gsLeaseReceiveReply(lease, Conflict({ 7, "a", 1 }), gsSeconds(2));
  gsTime acquirableAt =
    gsSeconds(2) + lease.Settings.Duration + lease.Settings.SafetyMargin;
  EXPECT_FALSE(gsLeaseTick(lease, true, 0, acquirableAt - gsMilliseconds(1)));
  EXPECT_FALSE(gsLeaseTick(lease, true, 1, acquirableAt));
  std::optional<gsLeaseWrite> write =
    gsLeaseTick(lease, true, 0, acquirableAt);
  ASSERT_TRUE(write);
  EXPECT_EQ(write->ExpectedVersion, 7U);
}

TEST(Lease, LateWriteIsRenewedBeforeLeaseIsHeld)
{
  gsLease lease = NewLease("a", 1);
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, gsSeconds(2)));
  gsLeaseReceiveReply(lease, Written(7), gsSeconds(2));
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, gsSeconds(4)));
  gsLeaseReceiveReply(lease, {}, gsMilliseconds(4700));
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, gsMilliseconds(5100)));
  gsLeaseReceiveReply(lease, Conflict({ 9, "a", 1 }), gsMilliseconds(5110));
  EXPECT_FALSE(gsLeaseIsHeld(lease, gsMilliseconds(5110)));
  std::optional<gsLeaseWrite> write =
    gsLeaseTick(lease, true, 0, gsMilliseconds(5120));
  ASSERT_TRUE(write);
  EXPECT_EQ(write->ExpectedVersion, 9U);
  EXPECT_TRUE(gsLeaseReceiveReply(lease, Written(11), gsMilliseconds(5130)));
}

TEST(Lease, LeaseOfEarlierIncarnationMustExpire)
{
  gsLease lease = NewLease("a", 2);
  ASSERT_TRUE(gsLeaseTick(lease, true, 0, gsSeconds(2)));
  gsLeaseReceiveReply(lease, Conflict({ 7, "a", 1 }), gsSeconds(2));
  EXPECT_FALSE(gsLeaseTick(lease, true, 0, gsSeconds(4)));
}
