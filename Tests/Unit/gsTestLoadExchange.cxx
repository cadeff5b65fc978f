/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Hosts that tell each other their open work. */
#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "gsLoadExchange.h"
#include "gsWireCodec.h"

namespace {

/** Hosts whose reports arrive at once, unless they are down. */
struct Net
{
  std::map<std::string, gsLoadExchange> Hosts;
  std::map<std::string, gsSystemLoad> Own;
  std::set<std::string> Down;
  std::size_t Messages = 0;

  void Add(std::string const& host, std::string const& hall)
  {
    gsLoadExchange& exchange = this->Hosts[host];
    exchange.Self = host;
    exchange.Hall = hall;
  }

  /** The first live host of a hall. */
  std::string RelayOf(std::string const& hall) const
  {
    for (auto const& [host, exchange] : this->Hosts) {
      if (exchange.Hall == hall && this->Down.count(host) == 0) {
        return host;
      }
    }
    return {};
  }

  gsLoadPeers PeersOf(std::string const& self) const
  {
    gsLoadPeers peers;
    std::string const& hall = this->Hosts.at(self).Hall;
    peers.Relay = this->RelayOf(hall);
    std::set<std::string> otherHalls;
    for (auto const& [host, exchange] : this->Hosts) {
      bool isOwn = exchange.Hall == hall;
      if (isOwn && host != self && this->Down.count(host) == 0) {
        peers.Hall.push_back(host);
      }
      if (!isOwn) {
        otherHalls.insert(exchange.Hall);
      }
    }
    peers.HallSize = peers.Hall.size() + 1;
    for (std::string const& other : otherHalls) {
      peers.OtherRelays.push_back(this->RelayOf(other));
    }
    return peers;
  }

  void Tick(gsTime now)
  {
    for (auto& [host, exchange] : this->Hosts) {
      if (this->Down.count(host) != 0) {
        continue;
      }
      for (gsLoadMessage const& message :
           gsLoadTick(exchange, this->PeersOf(host), this->Own[host], now)) {
        ++this->Messages;
        if (this->Down.count(message.To) == 0) {
          gsLoadHear(this->Hosts[message.To], host, exchange.Hall,
                     message.Report, now);
        }
      }
    }
  }

  std::uint32_t Seen(std::string const& host, gsTime now)
  {
    return gsLoadOfOthers(this->Hosts[host], now).Upstreams[7].Running;
  }
};

Net ThreeHalls(int hostsEach)
{
  Net net;
  for (char const* hall : { "a", "b", "c" }) {
    for (int i = 0; i < hostsEach; ++i) {
      net.Add(std::string(hall) + std::to_string(i), hall);
    }
  }
  return net;
}

constexpr gsTime Period = gsMilliseconds(50);

} // namespace

TEST(LoadExchange, EveryHostLearnsTheWorkOfAllOthers)
{
  Net net = ThreeHalls(4);
  std::uint32_t total = 0;
  std::uint32_t next = 1;
  for (auto& [host, exchange] : net.Hosts) {
    net.Own[host].Upstreams[7] = { next, 10 * next, 100 * next };
    total += next++;
  }
  gsTime now = gsSeconds(10);
  for (int i = 0; i < 4; ++i) {
    net.Tick(now += Period);
  }
  for (auto const& [host, own] : net.Own) {
    EXPECT_EQ(net.Seen(host, now), total - own.Upstreams.at(7).Running)
      << host;
  }
}

TEST(LoadExchange, ARelaysSuccessorTakesOver)
{
  Net net = ThreeHalls(3);
  for (auto& [host, exchange] : net.Hosts) {
    net.Own[host].Upstreams[7] = { 1, 0, 0 };
  }
  gsTime now = gsSeconds(10);
  for (int i = 0; i < 4; ++i) {
    net.Tick(now += Period);
  }
  std::string relay = net.RelayOf("a");
  net.Down.insert(relay);
  // What the dead relay had open is counted no longer than a report lives.
  for (int i = 0; i < 70; ++i) {
    net.Tick(now += Period);
  }
  for (auto const& [host, exchange] : net.Hosts) {
    if (host != relay) {
      EXPECT_EQ(net.Seen(host, now), 7U) << host;
    }
  }
}

TEST(LoadExchange, WhatIsOldIsNotBelieved)
{
  Net net = ThreeHalls(2);
  net.Own["a0"].Upstreams[7] = { 5, 0, 0 };
  net.Own["a1"].Upstreams[7] = { 5, 0, 0 };
  gsTime now = gsSeconds(10);
  for (int i = 0; i < 4; ++i) {
    net.Tick(now += Period);
  }
  EXPECT_EQ(net.Seen("b0", now), 10U);
  EXPECT_EQ(net.Seen("b0", now + gsSeconds(10)), 0U);
}

TEST(LoadExchange, AWordsAgeIsKeptOnItsWay)
{
  Net net = ThreeHalls(3);
  gsTime now = gsSeconds(10);
  for (int i = 0; i < 40; ++i) {
    net.Tick(now += Period);
  }
  // One host falls silent; the relays repeat what it has said last.
  net.Down.insert("a2");
  gsTime said = net.Hosts["a0"].Heard["a2"].At;
  for (int i = 0; i < 20; ++i) {
    net.Tick(now += Period);
  }
  for (char const* host : { "a0", "a1", "b0", "b2" }) {
    std::optional<gsTime> since = gsLoadSince(net.Hosts[host], now);
    ASSERT_TRUE(since) << host;
    EXPECT_LE(gsToSeconds(*since), gsToSeconds(said)) << host;
  }
  // Once nobody counts it any more, all words are young again.
  for (int i = 0; i < 60; ++i) {
    net.Tick(now += Period);
  }
  constexpr double hops = 3;
  for (char const* host : { "a0", "a1", "b0", "b2" }) {
    std::optional<gsTime> since = gsLoadSince(net.Hosts[host], now);
    ASSERT_TRUE(since) << host;
    EXPECT_LE(gsToSeconds(now - *since), hops * 1.1) << host;
  }
}

TEST(LoadExchange, ASumThatRestsOnTooOldAWordIsNotBelieved)
{
  gsLoadExchange exchange;
  exchange.Self = "b1";
  exchange.Hall = "b";
  gsTime now = gsSeconds(20);
  gsLoadReport report;
  report.Scope = gsLoadScope::Others;
  report.Load.Upstreams[7] = { 5, 0, 0 };
  report.Age = exchange.Settings.MostAge - gsSeconds(1);
  gsLoadHear(exchange, "b0", "b", report, now);
  EXPECT_EQ(gsLoadOfOthers(exchange, now).Upstreams[7].Running, 5U);
  EXPECT_EQ(*gsLoadSince(exchange, now), now - report.Age);
  now += gsMilliseconds(1100);
  EXPECT_EQ(gsLoadOfOthers(exchange, now).Upstreams.size(), 0U);
  EXPECT_FALSE(gsLoadSince(exchange, now));
}

TEST(LoadExchange, AnAgeGoesOverTheWireAndOldNeighboursTellNone)
{
  gsLoadReport report;
  report.Age = gsMilliseconds(1234);
  gradescale::LoadReport wire;
  gsToWire(report, &wire);
  EXPECT_EQ(gsFromWire(wire).Age, report.Age);
  wire.clear_age_ms();
  EXPECT_EQ(gsFromWire(wire).Age, gsTime{});
}

TEST(LoadExchange, WhereNothingWasHeardThereIsNoAge)
{
  gsLoadExchange exchange;
  EXPECT_FALSE(gsLoadSince(exchange, gsSeconds(20)));
}

TEST(LoadExchange, IdleHostsSayLittle)
{
  Net net = ThreeHalls(10);
  gsTime now = gsSeconds(10);
  for (int i = 0; i < 200; ++i) { // Ten seconds.
    net.Tick(now += Period);
  }
  // One report a second to the relay, one from it, and between relays.
  EXPECT_LE(net.Messages, 11U * (2 * 27 + 6));
}

TEST(LoadExchange, TheNewestWordOfOneThatDecidesReachesAll)
{
  Net net;
  for (char const* hall : { "north", "south", "west" }) {
    for (int i = 0; i < 4; ++i) {
      net.Add(std::string(hall) + std::to_string(i), hall);
    }
  }
  std::string const decider = net.RelayOf("south");
  gsTime now = gsSeconds(10);
  for (std::uint64_t version = 1; version <= 3; ++version) {
    net.Own[decider].Arrangements[9] = { version, 5, { 1, 2 } };
    for (int i = 0; i < 4; ++i) {
      now += gsMilliseconds(50);
      net.Tick(now);
    }
    for (auto const& [host, exchange] : net.Hosts) {
      gsSystemLoad others = gsLoadOfOthers(exchange, now);
      bool heard = others.Arrangements[9].Version == version;
      EXPECT_TRUE(heard || host == decider) << host;
    }
  }
}

TEST(LoadExchange, AHallThatOneHostCannotReachIsToldInItsOwnHallAlone)
{
  Net net = ThreeHalls(4);
  net.Own["a1"].CutOffHalls = { 77 };
  gsTime now = gsSeconds(10);
  for (int i = 0; i < 4; ++i) {
    net.Tick(now += Period);
  }
  for (auto const& [host, exchange] : net.Hosts) {
    bool knows = gsLoadOfOthers(exchange, now).CutOffHalls.count(77) != 0;
    EXPECT_EQ(knows, exchange.Hall == "a" && host != "a1") << host;
  }
  net.Own["a1"].CutOffHalls.clear();
  for (int i = 0; i < 4; ++i) {
    net.Tick(now += Period);
  }
  EXPECT_TRUE(gsLoadOfOthers(net.Hosts["a2"], now).CutOffHalls.empty());
}

TEST(LoadExchange, ARelaySendsNoMoreInALargerHall)
{
  std::vector<std::size_t> messages;
  for (int size : { 20, 57 }) {
    Net net;
    for (int i = 0; i < size; ++i) {
      net.Add("host" + std::to_string(i), "north");
    }
    gsTime now = gsSeconds(10);
    for (int tick = 0; tick < 200; ++tick) {
      now += gsMilliseconds(50);
      for (auto& [host, own] : net.Own) {
        own.Upstreams[7].Running += 1;
      }
      net.Tick(now);
    }
    messages.push_back(net.Messages);
  }
  EXPECT_LE(static_cast<double>(messages[1]),
            1.2 * static_cast<double>(messages[0]));
}
