/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the two-level membership with 30 to 1,000 hosts in one process and
 * a simulated network: simultaneous starts, stale seeds, partitioned halls,
 * killed and frozen coordinators, links that lose the messages of one
 * direction, and rolling restarts. They also check that the number of links,
 * messages and bytes per host does not grow with the system.
 */
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsHallMembership.h"

namespace {

constexpr gsTime Step = gsMilliseconds(20);
constexpr gsTime TickPeriod = gsMilliseconds(100);
constexpr std::size_t Halls = 6;
/** Approximate size of a host's description on the wire: names, address and
 * numbers. */
constexpr std::size_t RowBytes = 60;
constexpr std::size_t FrameBytes = 40;

std::size_t BytesOf(gsHallMessage const& message)
{
  std::size_t rows = message.Sender ? 1 : 0;
  std::size_t bytes = FrameBytes;
  if (message.Digest) {
    rows += message.Digest->ReceiverHall.FirstHosts.size();
    for (gsHallSummary const& summary : message.Digest->OtherHalls) {
      rows += summary.FirstHosts.size();
      bytes += summary.Hall.size() + 4;
    }
  }
  return bytes + rows * RowBytes;
}

std::string JoinWords(std::vector<std::string> const& words)
{
  std::string text;
  for (std::string const& word : words) {
    text.append(text.empty() ? "" : " ").append(word);
  }
  return text;
}

/** A simulated process of a host. */
struct Node
{
  gsHallMembership Table;
  gsTime NextTick{};
  gsTime FrozenUntil{};
  bool IsRunning = true;
  std::size_t Sent = 0;
  std::size_t BytesSent = 0;
  std::size_t Received = 0;
  /** Hosts with which it exchanged messages since the last ResetCounts. */
  std::set<std::string> Links;
};

/** A message in transit. */
struct MessageInTransit
{
  gsTime At{};
  std::string From;
  std::string To;
  gsHallMessage Message;
};

/** Hosts that exchange messages through a simulated network. */
class Network
{
public:
  explicit Network(std::size_t hosts, std::size_t deadSeeds = 0)
  {
    for (std::size_t i = 0; i < hosts; ++i) {
      gsHallHost self;
      self.Hall = "hall-" + std::string(1, static_cast<char>('a' + i % Halls));
      self.Host = "entry-" + std::to_string(i);
      self.Address = self.Host + ":1";
      self.Incarnation = 1;
      // Three hosts of each hall have a higher CPU share than the others.
      self.Millicores = i < 3 * Halls ? 500 : 120;
      this->Rows.push_back(self);
    }
    // Three seeds in three halls. Stale seeds are addresses of no host.
    for (std::size_t i = 0; i < 3; ++i) {
      this->Seeds.push_back(i < deadSeeds ? "gone-" + std::to_string(i)
                                          : this->Rows[i].Address);
    }
  }

  /** Starts all processes within 300 ms. */
  void StartAll()
  {
    std::uniform_int_distribution<int> delay(0, 14);
    for (gsHallHost const& row : this->Rows) {
      this->ScheduledStarts[this->Now + Step * delay(this->Random)].push_back(
        row.Host);
    }
  }

  void Start(std::string const& host)
  {
    gsHallHost& row = this->RowOf(host);
    ++row.Incarnation;
    Node node;
    gsHallStart(node.Table, row, this->Seeds, this->Now);
    node.NextTick = this->Now;
    this->Nodes[host] = std::move(node);
  }

  void Kill(std::string const& host)
  {
    this->Nodes.at(host).IsRunning = false;
  }

  void Run(gsTime span)
  {
    for (gsTime end = this->Now + span; this->Now < end; this->Now += Step) {
      auto due = this->ScheduledStarts.find(this->Now);
      if (due != this->ScheduledStarts.end()) {
        for (std::string const& host : due->second) {
          this->Start(host);
        }
      }
      this->DeliverAll();
      this->TickAll();
    }
  }

  std::vector<std::string> LiveHosts(std::string const& hall = {}) const
  {
    std::vector<std::string> hosts;
    for (auto const& [host, node] : this->Nodes) {
      if (node.IsRunning && (hall.empty() || node.Table.Self.Hall == hall)) {
        hosts.push_back(host);
      }
    }
    return hosts;
  }

  /** The duty order of a hall on a host that knows all of its live hosts. */
  std::vector<std::string> ExpectedDutyOrder(std::string const& hall) const
  {
    gsHallMembership all;
    all.Self.Leaving = true;
    all.Self.Hall = hall;
    for (std::string const& host : this->LiveHosts(hall)) {
      gsHallPeer& peer = all.HallPeers[host];
      peer.Host = this->Nodes.at(host).Table.Self;
      peer.ReceivedAt = this->Now;
    }
    return gsHallDutyOrder(all, this->Now);
  }

  /** Description of the first inconsistency; empty if every host knows the
   * coordinators of its hall and the size of the system, and exactly one host
   * decides for the system. */
  std::string FindInconsistency() const
  {
    std::size_t all = this->LiveHosts().size();
    std::size_t deciderCount = 0;
    for (std::string const& hall : this->LiveHalls()) {
      std::vector<std::string> order = this->ExpectedDutyOrder(hall);
      std::size_t count = std::min<std::size_t>(order.size(), 3);
      order.resize(count);
      for (std::string const& host : this->LiveHosts(hall)) {
        gsHallMembership const& table = this->Nodes.at(host).Table;
        std::vector<std::string> localOrder =
          gsHallDutyOrder(table, this->Now);
        localOrder.resize(std::min(localOrder.size(), count));
        if (localOrder != order) {
          return JoinWords(
            { host, "does not know the coordinators of", hall });
        }
        if (gsSystemSize(table, this->Now) != all) {
          return JoinWords({ host, "counts",
                             std::to_string(gsSystemSize(table, this->Now)),
                             "of", std::to_string(all) });
        }
        deciderCount += gsIsSystemLeader(table, this->Now) ? 1 : 0;
      }
    }
    return deciderCount == 1 ? std::string()
                             : std::to_string(deciderCount) + " hosts decide";
  }

  /** Runs until there is no inconsistency or a timeout has passed. \return The
   * time that it took. */
  gsTime RunUntilConsistent(gsTime timeout)
  {
    gsTime begin = this->Now;
    while (!this->FindInconsistency().empty() && this->Now - begin < timeout) {
      this->Run(gsMilliseconds(100));
    }
    return this->Now - begin;
  }

  std::set<std::string> LiveHalls() const
  {
    std::set<std::string> halls;
    for (std::string const& host : this->LiveHosts()) {
      halls.insert(this->Nodes.at(host).Table.Self.Hall);
    }
    return halls;
  }

  void ResetCounts()
  {
    for (auto& [host, node] : this->Nodes) {
      node.Sent = node.BytesSent = node.Received = 0;
      node.Links.clear();
    }
  }

  gsHallHost& RowOf(std::string const& host)
  {
    return *std::find_if(
      this->Rows.begin(), this->Rows.end(),
      [&host](gsHallHost const& row) { return row.Host == host; });
  }

  std::map<std::string, Node> Nodes;
  std::vector<gsHallHost> Rows;
  std::vector<std::string> Seeds;
  std::string PartitionedHall;      ///< Partitioned from all other halls.
  std::set<std::string> LossyLinks; ///< "from>to": messages are lost.
  /** Hosts to be started, by time. */
  std::map<gsTime, std::vector<std::string>> ScheduledStarts;
  gsTime Now = gsSeconds(10);

private:
  bool IsDelivered(MessageInTransit const& transit) const
  {
    auto to = this->Nodes.find(transit.To);
    if (to == this->Nodes.end() || !to->second.IsRunning ||
        this->LossyLinks.count(transit.From + ">" + transit.To) != 0) {
      return false;
    }
    std::string const& hallFrom = this->Nodes.at(transit.From).Table.Self.Hall;
    std::string const& hallTo = to->second.Table.Self.Hall;
    return hallFrom == hallTo || (hallFrom != this->PartitionedHall &&
                                  hallTo != this->PartitionedHall);
  }

  void DeliverAll()
  {
    std::vector<MessageInTransit> arrived;
    std::vector<MessageInTransit> waiting;
    for (MessageInTransit& transit : this->MessagesInTransit) {
      auto to = this->Nodes.find(transit.To);
      bool frozen =
        to != this->Nodes.end() && to->second.FrozenUntil > this->Now;
      bool due = transit.At <= this->Now && !frozen;
      (due ? arrived : waiting).push_back(std::move(transit));
    }
    this->MessagesInTransit = std::move(waiting);
    for (MessageInTransit const& transit : arrived) {
      if (this->IsDelivered(transit)) {
        Node& node = this->Nodes.at(transit.To);
        ++node.Received;
        node.Links.insert(transit.From);
        gsHallReceive(node.Table, transit.From, transit.Message, this->Now);
      }
    }
  }

  void TickAll()
  {
    for (auto& [host, node] : this->Nodes) {
      if (!node.IsRunning || node.FrozenUntil > this->Now ||
          node.NextTick > this->Now) {
        continue;
      }
      if (this->Now - node.NextTick > gsSeconds(1)) {
        gsHallRecordStall(node.Table, this->Now);
      }
      node.NextTick = this->Now + TickPeriod;
      for (gsHallMessage& message :
           gsHallTick(node.Table, this->Now, this->Random)) {
        std::string to = message.Address.substr(0, message.Address.find(':'));
        ++node.Sent;
        node.BytesSent += BytesOf(message);
        node.Links.insert(to);
        this->MessagesInTransit.push_back(
          { this->Now + Step, host, to, std::move(message) });
      }
    }
  }

  std::vector<MessageInTransit> MessagesInTransit;
  gsRandom Random{ 11 };
};

Network ConsistentNetwork(std::size_t hosts)
{
  Network network(hosts);
  network.StartAll();
  network.Run(gsSeconds(8));
  EXPECT_EQ(network.FindInconsistency(), "") << hosts;
  return network;
}

class HallMembershipOfSize : public testing::TestWithParam<std::size_t>
{};

} // namespace

TEST_P(HallMembershipOfSize, ConvergesWhenAllStartAtOnce)
{
  Network network(GetParam());
  network.StartAll();
  EXPECT_LE(network.RunUntilConsistent(gsSeconds(10)), gsSeconds(4))
    << network.FindInconsistency();
}

TEST_P(HallMembershipOfSize, ConvergesWhenTwoOfThreeSeedsAreStale)
{
  Network network(GetParam(), 2);
  network.StartAll();
  EXPECT_LE(network.RunUntilConsistent(gsSeconds(14)), gsSeconds(8))
    << network.FindInconsistency();
}

TEST_P(HallMembershipOfSize, ConvergesAfterPartitionOfHall)
{
  Network network = ConsistentNetwork(GetParam());
  network.PartitionedHall = "hall-b";
  network.Run(gsSeconds(6));
  std::size_t all = network.LiveHosts().size();
  std::size_t cut = network.LiveHosts("hall-b").size();
  for (std::string const& host : network.LiveHosts()) {
    gsHallMembership const& table = network.Nodes.at(host).Table;
    bool inside = table.Self.Hall == "hall-b";
    EXPECT_EQ(gsSystemSize(table, network.Now), inside ? cut : all - cut);
  }
  network.PartitionedHall.clear();
  EXPECT_LE(network.RunUntilConsistent(gsSeconds(12)), gsSeconds(7))
    << network.FindInconsistency();
}

TEST_P(HallMembershipOfSize, ConvergesWhenThirdOfHostsIsKilled)
{
  Network network = ConsistentNetwork(GetParam());
  int index = 0;
  for (std::string const& host : network.LiveHosts()) {
    if (index++ % 3 == 0) {
      network.Kill(host);
    }
  }
  EXPECT_LE(network.RunUntilConsistent(gsSeconds(12)), gsSeconds(9))
    << network.FindInconsistency();
}

TEST_P(HallMembershipOfSize, ConvergesWhenCoordinatorsAreKilledInTurn)
{
  Network network = ConsistentNetwork(GetParam());
  for (int i = 0; i < 3; ++i) {
    network.Kill(network.ExpectedDutyOrder("hall-c").front());
    EXPECT_LE(network.RunUntilConsistent(gsSeconds(12)), gsSeconds(7))
      << network.FindInconsistency();
  }
}

TEST_P(HallMembershipOfSize, ConvergesWhenAllCandidatesAreKilled)
{
  Network network = ConsistentNetwork(GetParam());
  std::vector<std::string> order = network.ExpectedDutyOrder("hall-d");
  std::size_t killed = std::min<std::size_t>(order.size() - 1, 6);
  for (std::size_t i = 0; i < killed; ++i) {
    network.Kill(order[i]);
  }
  EXPECT_LE(network.RunUntilConsistent(gsSeconds(20)), gsSeconds(12))
    << network.FindInconsistency();
}

TEST_P(HallMembershipOfSize, ConvergesWhenAllHostsRestart)
{
  Network network = ConsistentNetwork(GetParam());
  for (std::string const& host : network.LiveHosts()) {
    network.Kill(host);
  }
  network.Run(gsMilliseconds(1300));
  network.StartAll();
  network.Run(gsMilliseconds(400));
  EXPECT_LE(network.RunUntilConsistent(gsSeconds(10)), gsSeconds(4))
    << network.FindInconsistency();
}

TEST_P(HallMembershipOfSize, RelayIsReplacedWhenFrozen)
{
  Network network = ConsistentNetwork(GetParam());
  std::string first = network.ExpectedDutyOrder("hall-a").front();
  network.Nodes.at(first).FrozenUntil = network.Now + gsSeconds(5);
  network.Run(gsSeconds(4));
  for (std::string const& host : network.LiveHosts("hall-a")) {
    if (host != first) {
      EXPECT_NE(gsHallRelay(network.Nodes.at(host).Table, network.Now), first)
        << host;
    }
  }
  network.Run(gsSeconds(1));
  EXPECT_LE(network.RunUntilConsistent(gsSeconds(8)), gsSeconds(4))
    << network.FindInconsistency();
}

TEST_P(HallMembershipOfSize, RelayIsReplacedWhenItsMessagesAreLost)
{
  Network network = ConsistentNetwork(GetParam());
  std::vector<std::string> order = network.ExpectedDutyOrder("hall-e");
  std::string const& first = order.front();
  std::string const& last = order.back();
  network.LossyLinks.insert(first + ">" + last);
  network.Run(gsSeconds(3));
  // The other hosts still report the coordinator, so the host may send to it
  // again after the exclusion; but it must not depend on it as its relay.
  std::size_t otherRelayCount = 0;
  for (int i = 0; i < 20; ++i) {
    network.Run(gsMilliseconds(200));
    gsHallMembership const& table = network.Nodes.at(last).Table;
    otherRelayCount += gsHallRelay(table, network.Now) != first ? 1 : 0;
    EXPECT_EQ(gsSystemSize(table, network.Now), network.LiveHosts().size());
  }
  EXPECT_GE(otherRelayCount, 6U);
  network.LossyLinks.clear();
  EXPECT_LE(network.RunUntilConsistent(gsSeconds(8)), gsSeconds(4))
    << network.FindInconsistency();
}

TEST_P(HallMembershipOfSize, ConvergesAfterRollingRestart)
{
  Network network = ConsistentNetwork(GetParam());
  std::vector<std::string> hosts = network.LiveHosts();
  std::size_t atOnce = std::max<std::size_t>(1, hosts.size() / 60);
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    gsHallLeave(network.Nodes.at(hosts[i]).Table, network.Now);
    network.Run(i % atOnce == 0 ? gsMilliseconds(200) : gsTime{});
    network.Kill(hosts[i]);
    network.Start(hosts[i]);
  }
  EXPECT_LE(network.RunUntilConsistent(gsSeconds(10)), gsSeconds(5))
    << network.FindInconsistency();
}

// When the store refused a hall's watcher, 80 of 83 logged hosts of the hall
// called the store within 30 ms, as each considered itself to be the next in
// the watch order.
TEST_P(HallMembershipOfSize, FewHostsAreFirstInOwnWatchOrder)
{
  Network network = ConsistentNetwork(GetParam());
  network.Run(gsSeconds(5));
  std::map<std::string, std::size_t> countByHall;
  for (auto const& [host, node] : network.Nodes) {
    gsHallMembership const& table = node.Table;
    std::vector<std::string> order = gsHallWatchOrder(table, network.Now);
    constexpr std::size_t maxPosition = 10;
    std::size_t considered = std::min(order.size(), maxPosition);
    auto end = order.begin() + static_cast<std::ptrdiff_t>(considered);
    bool isNearFront = std::find(order.begin(), end, host) != end;
    countByHall[table.Self.Hall] += isNearFront ? 1 : 0;
  }
  for (auto const& [hall, count] : countByHall) {
    EXPECT_LE(count, 10U) << hall;
    EXPECT_GE(count, 1U) << hall;
  }
}

TEST_P(HallMembershipOfSize, CostPerHostIsBounded)
{
  Network network = ConsistentNetwork(GetParam());
  network.Run(gsSeconds(10));
  network.ResetCounts();
  constexpr int seconds = 10;
  network.Run(gsSeconds(seconds));
  for (auto const& [host, node] : network.Nodes) {
    bool coordinates = gsHallIsCoordinator(node.Table, network.Now);
    std::size_t hall = gsHallSize(node.Table, network.Now);
    // A coordinator has links to its hall and to three hosts in each of five
    // other halls.
    std::size_t links = coordinates ? hall + 15 : 4;
    EXPECT_LE(node.Links.size(), links) << host;
    // A host sends one message per second to each coordinator, and occasional
    // replies to requests of coordinators of other halls.
    double perSecond = static_cast<double>(node.Sent) / seconds;
    EXPECT_LE(perSecond,
              coordinates ? 2.2 * static_cast<double>(hall) + 17 : 3.5);
    double bytes = static_cast<double>(node.BytesSent) / seconds;
    EXPECT_LE(bytes,
              coordinates ? 110 * static_cast<double>(hall) + 2500 : 400);
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, HallMembershipOfSize,
                         testing::Values(30, 100, 300, 1000));

TEST(HallMembership, SingleHostIsRelayAndDecides)
{
  gsHallMembership table;
  gsHallHost self;
  self.Host = "entry-1";
  self.Hall = "hall-a";
  self.Address = "entry-1:1";
  gsHallStart(table, self, { "entry-1:1" }, gsSeconds(1));
  gsRandom random(1);
  for (gsTime now = gsSeconds(1); now < gsSeconds(5); now += TickPeriod) {
    EXPECT_TRUE(gsHallTick(table, now, random).empty());
  }
  EXPECT_EQ(gsHallRelay(table, gsSeconds(5)), "entry-1");
  EXPECT_EQ(gsSystemSize(table, gsSeconds(5)), 1U);
  EXPECT_TRUE(gsIsSystemLeader(table, gsSeconds(5)));
}

TEST(HallMembership, RelayIsReplacedAtOnceWhenLeaving)
{
  Network network = ConsistentNetwork(100);
  std::string first = network.ExpectedDutyOrder("hall-a").front();
  gsHallLeave(network.Nodes.at(first).Table, network.Now);
  network.Run(gsMilliseconds(200));
  for (std::string const& host : network.LiveHosts("hall-a")) {
    EXPECT_NE(gsHallRelay(network.Nodes.at(host).Table, network.Now), first);
  }
}
