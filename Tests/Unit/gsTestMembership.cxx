/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of SWIM membership with many members in one process: joining, failure
 * detection, refutation, and the number of messages per host. Also tests of
 * rendezvous hashing.
 */
#include <gtest/gtest.h>

#include "gsMembership.h"
#include "gsRendezvous.h"

namespace {

/** Members that exchange messages by function calls. Those in Down neither
 * send nor receive. */
class Network
{
public:
  explicit Network(int hosts)
  {
    for (int i = 0; i < hosts; ++i) {
      gsMember self;
      self.Host = "h" + std::to_string(i);
      self.Hall = "hall";
      self.Address = self.Host;
      self.Incarnation = 1;
      gsMembershipStart(this->Tables[self.Host], self, this->Now);
    }
    for (auto& [name, table] : this->Tables) {
      gsMembershipOutput ignored;
      gsMembershipApplyUpdate(table, this->Tables.at("h0").Self, this->Now,
                              ignored);
    }
  }

  void Run(gsTime span)
  {
    constexpr gsTime step = gsMilliseconds(50);
    for (gsTime end = this->Now + span; this->Now < end; this->Now += step) {
      for (auto& [name, table] : this->Tables) {
        if (this->Down.count(name) != 0) {
          continue;
        }
        gsMembershipOutput out;
        gsMembershipTick(table, this->Now, this->Random, out);
        this->Deliver(name, out);
      }
    }
  }

  std::size_t AliveIn(std::string const& host)
  {
    return gsAliveHosts(this->Tables.at(host), "hall").size();
  }

  std::map<std::string, gsMembership> Tables;
  std::map<std::string, int> Down;
  std::uint64_t Messages = 0;
  gsTime Now = gsSeconds(1);

private:
  void Deliver(std::string const& from, gsMembershipOutput const& out)
  {
    for (gsProbeMessage const& message : out.Messages) {
      ++this->Messages;
      std::vector<gsMember> updates =
        gsMembershipNextUpdates(this->Tables.at(from));
      if (this->Down.count(message.To) != 0) {
        continue;
      }
      gsMembership& to = this->Tables.at(message.To);
      gsMembershipOutput reply;
      for (gsMember const& member : updates) {
        gsMembershipApplyUpdate(to, member, this->Now, reply);
      }
      if (gsFindMember(to, from) == nullptr ||
          gsMembershipNeedsSync(to, this->Tables.at(from).Digest, this->Now)) {
        gsMembershipApplyUpdate(to, this->Tables.at(from).Self, this->Now,
                                reply);
        for (gsMember const& member : this->Tables.at(from).Members) {
          gsMembershipApplyUpdate(to, member, this->Now, reply);
        }
      }
      switch (message.Type) {
        case gsProbeMessage::Kind::Ping:
          gsMembershipOnPing(to, from, message.Sequence, reply);
          break;
        case gsProbeMessage::Kind::PingRequest:
          gsMembershipOnPingRequest(to, from, message.Sequence, message.Target,
                                    this->Now, reply);
          break;
        case gsProbeMessage::Kind::Ack:
          gsMembershipOnAck(to, from, message.Sequence, message.Target, reply);
          break;
      }
      this->Deliver(message.To, reply);
    }
  }

  gsRandom Random{ 7 };
};

} // namespace

TEST(Membership, AllMembersJoin)
{
  Network network(24);
  network.Run(gsSeconds(15));
  for (auto const& [name, table] : network.Tables) {
    EXPECT_EQ(network.AliveIn(name), 24U) << name;
    EXPECT_EQ(table.Digest, network.Tables.at("h0").Digest);
  }
}

TEST(Membership, DeadHostIsDetectedByAll)
{
  Network network(16);
  network.Run(gsSeconds(10));
  network.Down["h3"] = 1;
  network.Run(gsSeconds(10));
  for (auto const& [name, table] : network.Tables) {
    if (name != "h3") {
      EXPECT_EQ(network.AliveIn(name), 15U) << name;
      EXPECT_EQ(gsFindMember(table, "h3")->State, gsMemberState::Dead);
    }
  }
}

TEST(Membership, HostRefutesItsDeathWhenReachableAgain)
{
  Network network(8);
  network.Run(gsSeconds(8));
  network.Down["h3"] = 1;
  network.Run(gsSeconds(8));
  network.Down.clear();
  network.Run(gsSeconds(20));
  for (auto const& [name, table] : network.Tables) {
    EXPECT_EQ(network.AliveIn(name), 8U) << name;
  }
  EXPECT_GT(network.Tables.at("h3").Self.Refutation, 0U);
}

TEST(Membership, LeavingHostIsNotAliveAndStaysLeaving)
{
  Network network(4);
  network.Run(gsSeconds(6));
  gsMembershipSetState(network.Tables.at("h1"), gsMemberState::Leaving);
  network.Run(gsSeconds(6));
  EXPECT_EQ(network.AliveIn("h0"), 3U);
  EXPECT_EQ(gsFindMember(network.Tables.at("h0"), "h1")->State,
            gsMemberState::Leaving);
}

TEST(Membership, MessagesPerHostDoNotGrowWithHosts)
{
  double perHost[2] = {};
  int sizes[2] = { 8, 48 };
  for (int i = 0; i < 2; ++i) {
    Network network(sizes[i]);
    network.Run(gsSeconds(20));
    network.Messages = 0;
    network.Run(gsSeconds(20));
    perHost[i] = static_cast<double>(network.Messages) / sizes[i] / 20;
  }
  EXPECT_NEAR(perHost[0], perHost[1], 0.5);
  EXPECT_LT(perHost[1], 6);
}

TEST(Rendezvous, RemovalReassignsOnlyKeysOfRemovedName)
{
  std::vector<std::string_view> all{ "a", "b", "c", "d" };
  std::vector<std::string_view> remaining{ "a", "b", "c" };
  int reassigned = 0;
  for (int i = 0; i < 1000; ++i) {
    std::string key = "k" + std::to_string(i);
    std::string before = *gsRendezvous(all, key);
    std::string after = *gsRendezvous(remaining, key);
    EXPECT_TRUE(before == after || before == "d");
    reassigned += before == after ? 0 : 1;
  }
  EXPECT_NEAR(reassigned, 250, 60);
}
