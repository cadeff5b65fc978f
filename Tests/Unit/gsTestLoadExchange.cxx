/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Exchange of open work between hosts. */
#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "gsLoadExchange.h"
#include "gsWireCodec.h"

namespace {

/** Hosts whose reports are delivered at once. Hosts in Down neither send nor
 * receive. */
struct Network
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
        peers.HallHosts.push_back(host);
      }
      if (!isOwn) {
        otherHalls.insert(exchange.Hall);
      }
    }
    peers.HallSize = peers.HallHosts.size() + 1;
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
          gsApplyLoadReport(this->Hosts[message.To], host, exchange.Hall,
                            message.Report, now);
        }
      }
    }
  }

  /** Running requests of all other hosts at one upstream, as known to a
   * host. */
  std::uint32_t RunningOfOthers(std::string const& host, gsTime now)
  {
    return gsLoadOfOthers(this->Hosts[host], now).Upstreams[7].Running;
  }
};

Network ThreeHalls(int hostsEach)
{
  Network net;
  for (char const* hall : { "a", "b", "c" }) {
    for (int i = 0; i < hostsEach; ++i) {
      net.Add(std::string(hall) + std::to_string(i), hall);
    }
  }
  return net;
}

constexpr gsTime Period = gsMilliseconds(50);

} // namespace

TEST(LoadExchange, EveryHostReceivesTheWorkOfAllOthers)
{
  Network net = ThreeHalls(4);
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
    EXPECT_EQ(net.RunningOfOthers(host, now),
              total - own.Upstreams.at(7).Running)
      << host;
  }
}

TEST(LoadExchange, NewRelayTakesOverWhenRelayFails)
{
  Network net = ThreeHalls(3);
  for (auto& [host, exchange] : net.Hosts) {
    net.Own[host].Upstreams[7] = { 1, 0, 0 };
  }
  gsTime now = gsSeconds(10);
  for (int i = 0; i < 4; ++i) {
    net.Tick(now += Period);
  }
  std::string relay = net.RelayOf("a");
  net.Down.insert(relay);
  // The work of the failed relay is counted until its reports expire.
  for (int i = 0; i < 70; ++i) {
    net.Tick(now += Period);
  }
  for (auto const& [host, exchange] : net.Hosts) {
    if (host != relay) {
      EXPECT_EQ(net.RunningOfOthers(host, now), 7U) << host;
    }
  }
}

TEST(LoadExchange, ExpiredReportsAreNotCounted)
{
  Network net = ThreeHalls(2);
  net.Own["a0"].Upstreams[7] = { 5, 0, 0 };
  net.Own["a1"].Upstreams[7] = { 5, 0, 0 };
  gsTime now = gsSeconds(10);
  for (int i = 0; i < 4; ++i) {
    net.Tick(now += Period);
  }
  EXPECT_EQ(net.RunningOfOthers("b0", now), 10U);
  EXPECT_EQ(net.RunningOfOthers("b0", now + gsSeconds(10)), 0U);
}

TEST(LoadExchange, AgeOfHostReportsIsKeptByRelays)
{
  Network net = ThreeHalls(3);
  gsTime now = gsSeconds(10);
  for (int i = 0; i < 40; ++i) {
    net.Tick(now += Period);
  }
  // One host fails; the relays repeat its last report.
  net.Down.insert("a2");
  gsTime lastReportAt = net.Hosts["a0"].Received["a2"].ReceivedAt;
  for (int i = 0; i < 20; ++i) {
    net.Tick(now += Period);
  }
  for (char const* host : { "a0", "a1", "b0", "b2" }) {
    std::optional<gsTime> since = gsOldestHostReportAt(net.Hosts[host], now);
    ASSERT_TRUE(since) << host;
    EXPECT_LE(gsToSeconds(*since), gsToSeconds(lastReportAt)) << host;
  }
  // Once that report has expired everywhere, the remaining ones are recent.
  for (int i = 0; i < 60; ++i) {
    net.Tick(now += Period);
  }
  constexpr double hops = 3;
  for (char const* host : { "a0", "a1", "b0", "b2" }) {
    std::optional<gsTime> since = gsOldestHostReportAt(net.Hosts[host], now);
    ASSERT_TRUE(since) << host;
    EXPECT_LE(gsToSeconds(now - *since), hops * 1.1) << host;
  }
}

TEST(LoadExchange, SumExpiresWhenOldestHostReportExceedsMaxAge)
{
  gsLoadExchange exchange;
  exchange.Self = "b1";
  exchange.Hall = "b";
  gsTime now = gsSeconds(20);
  gsLoadReport report;
  report.Scope = gsLoadScope::Others;
  report.Load.Upstreams[7] = { 5, 0, 0 };
  report.Age = exchange.Settings.MaxHostReportAge - gsSeconds(1);
  gsApplyLoadReport(exchange, "b0", "b", report, now);
  EXPECT_EQ(gsLoadOfOthers(exchange, now).Upstreams[7].Running, 5U);
  EXPECT_EQ(*gsOldestHostReportAt(exchange, now), now - report.Age);
  now += gsMilliseconds(1100);
  EXPECT_EQ(gsLoadOfOthers(exchange, now).Upstreams.size(), 0U);
  EXPECT_FALSE(gsOldestHostReportAt(exchange, now));
}

TEST(LoadExchange, AgeIsEncodedAndZeroWhenSentByOlderRelease)
{
  gsLoadReport report;
  report.Age = gsMilliseconds(1234);
  gradescale::LoadReport wire;
  gsToWire(report, &wire);
  EXPECT_EQ(gsFromWire(wire).Age, report.Age);
  wire.clear_age_ms();
  EXPECT_EQ(gsFromWire(wire).Age, gsTime{});
}

TEST(LoadExchange, OldestHostReportTimeIsEmptyWithoutReports)
{
  gsLoadExchange exchange;
  EXPECT_FALSE(gsOldestHostReportAt(exchange, gsSeconds(20)));
}

TEST(LoadExchange, IdleHostsSendOneReportPerRefreshInterval)
{
  Network net = ThreeHalls(10);
  gsTime now = gsSeconds(10);
  for (int i = 0; i < 200; ++i) { // Ten seconds.
    net.Tick(now += Period);
  }
  // Per second, one report from each of 27 hosts to its relay, one back, and
  // six between the relays.
  EXPECT_LE(net.Messages, 11U * (2 * 27 + 6));
}

TEST(LoadExchange, NewestArrangementReachesAllHosts)
{
  Network net;
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
      bool received = others.Arrangements[9].Version == version;
      EXPECT_TRUE(received || host == decider) << host;
    }
  }
}

// Guards against demand that is lost or counted twice on its way over relays,
// and against reports that grow with the number of organisations.
TEST(LoadExchange, DemandByKindAndOrganisationIsSummed)
{
  Network net = ThreeHalls(3);
  std::uint32_t name = 1;
  for (auto& [host, exchange] : net.Hosts) {
    gsServiceDemand& demand = net.Own[host].Services[5];
    demand.Kinds[2] = { 100, 10 };
    demand.Organisations[1000] = 50;
    for (int i = 0; i < 4; ++i) {
      demand.Organisations[name++] = 1;
    }
  }
  gsTime now = gsSeconds(10);
  for (int i = 0; i < 4; ++i) {
    net.Tick(now += Period);
  }
  for (auto& [host, exchange] : net.Hosts) {
    gsServiceDemand others = gsLoadOfOthers(exchange, now).Services[5];
    EXPECT_EQ(others.Kinds[2].EngineMillis, 800U) << host;
    EXPECT_EQ(others.Kinds[2].WaitingMillis, 80U) << host;
    EXPECT_EQ(others.Organisations[1000], 400U) << host;
  }
  for (auto const& [host, sent] : net.Hosts.at(net.RelayOf("a")).Sent) {
    auto demand = sent.Load.Services.find(5);
    if (demand != sent.Load.Services.end()) {
      EXPECT_LE(demand->second.Organisations.size(),
                gsMaxReportedOrganisations);
    }
  }
}

TEST(LoadExchange, DemandByKindAndOrganisationIsEncoded)
{
  gsLoadReport report;
  gsServiceDemand& demand = report.Load.Services[5];
  demand.LongTokens = 7;
  demand.Kinds[2] = { 100, 10 };
  demand.Organisations[1000] = 50;
  gradescale::LoadReport wire;
  gsToWire(report, &wire);
  EXPECT_TRUE(gsFromWire(wire).Load == report.Load);
  // The fields are missing in reports of an earlier release.
  wire.mutable_demands(0)->clear_kinds();
  wire.mutable_demands(0)->clear_organisations();
  gsServiceDemand earlier = gsFromWire(wire).Load.Services[5];
  EXPECT_EQ(earlier.LongTokens, 7U);
  EXPECT_TRUE(earlier.Kinds.empty());
  EXPECT_TRUE(earlier.Organisations.empty());
}

TEST(LoadExchange, UnreachableHallIsReportedOnlyWithinTheOwnHall)
{
  Network net = ThreeHalls(4);
  net.Own["a1"].UnreachableHalls = { 77 };
  gsTime now = gsSeconds(10);
  for (int i = 0; i < 4; ++i) {
    net.Tick(now += Period);
  }
  for (auto const& [host, exchange] : net.Hosts) {
    bool received =
      gsLoadOfOthers(exchange, now).UnreachableHalls.count(77) != 0;
    EXPECT_EQ(received, exchange.Hall == "a" && host != "a1") << host;
  }
  net.Own["a1"].UnreachableHalls.clear();
  for (int i = 0; i < 4; ++i) {
    net.Tick(now += Period);
  }
  EXPECT_TRUE(gsLoadOfOthers(net.Hosts["a2"], now).UnreachableHalls.empty());
}

TEST(LoadExchange, RelaySendRateIsIndependentOfHallSize)
{
  std::vector<std::size_t> messages;
  for (int size : { 20, 57 }) {
    Network net;
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

// Guards against an old speed that hides a newer one, and against ages that do
// not count the time that a report was kept by a relay.
TEST(LoadExchange, NewestSpeedCountsWithItsAge)
{
  gsTime now = gsSeconds(100);
  gsLoadExchange relay;
  relay.Self = "a0";
  relay.Hall = "a";
  auto report = [&](std::string const& host, std::uint32_t permille,
                    std::uint32_t ageMillis, gsTime at) {
    gsLoadReport sent;
    gsUpstreamLoad& load = sent.Load.Upstreams[7];
    load.SpeedPermille = permille;
    load.SpeedAgeMillis = ageMillis;
    load.SpeedSampleNanos = permille * 1000;
    load.SpeedSampleKind = 3;
    load.SpeedSampleAgeMillis = ageMillis;
    gsApplyLoadReport(relay, host, "a", sent, at);
  };
  report("a1", 450, 100, now - gsMilliseconds(500)); // 600 ms old.
  report("a2", 950, 400, now);
  report("a3", 0, 0, now); // Knows none.
  gsUpstreamLoad load = gsLoadOfOthers(relay, now).Upstreams[7];
  EXPECT_EQ(load.SpeedPermille, 950U);
  EXPECT_EQ(load.SpeedAgeMillis, 400U);
  EXPECT_EQ(load.SpeedSampleNanos, 950000U);
  EXPECT_EQ(load.SpeedSampleAgeMillis, 400U);
  report("a2", 950, 700, now);
  EXPECT_EQ(gsLoadOfOthers(relay, now).Upstreams[7].SpeedPermille, 450U);
  EXPECT_EQ(gsLoadOfOthers(relay, now).Upstreams[7].SpeedAgeMillis, 600U);
}

// Guards against fields that get lost between hosts, and against hosts of an
// earlier release, which neither send nor read them.
TEST(LoadExchange, SpeedsAreSentAndMayBeMissing)
{
  gsLoadReport report;
  gsUpstreamLoad& load = report.Load.Upstreams[7];
  load.Running = 3;
  load.SpeedPermille = 450;
  load.SpeedAgeMillis = 120;
  load.SpeedSampleNanos = 20500000;
  load.SpeedSampleKind = 6;
  load.SpeedSampleAgeMillis = 90;
  gradescale::LoadReport wire;
  gsToWire(report, &wire);
  gsUpstreamLoad received = gsFromWire(wire).Load.Upstreams[7];
  EXPECT_EQ(received, load);
  EXPECT_EQ(received.SpeedAgeMillis, 120U);
  EXPECT_EQ(received.SpeedSampleNanos, 20500000U);
  EXPECT_EQ(received.SpeedSampleKind, 6U);
  EXPECT_EQ(received.SpeedSampleAgeMillis, 90U);
  gradescale::UpstreamLoad* entry = wire.mutable_loads(0);
  entry->clear_speed_permille();
  entry->clear_speed_age_ms();
  entry->clear_speed_sample_ns();
  entry->clear_speed_sample_kind();
  entry->clear_speed_sample_age_ms();
  received = gsFromWire(wire).Load.Upstreams[7];
  EXPECT_EQ(received.Running, 3U);
  EXPECT_EQ(received.SpeedPermille, 0U);
  EXPECT_EQ(received.SpeedSampleNanos, 0U);
}

// Guards against load by urgency that is lost or counted twice on its way over
// relays, which would change the order in which requests are expected to be
// admitted.
TEST(LoadExchange, LoadByUrgencyIsSummed)
{
  Network net = ThreeHalls(3);
  for (auto& [host, exchange] : net.Hosts) {
    net.Own[host].Upstreams[7] = { 5, 300, 900 };
    net.Own[host].Upstreams[7].ByUrgency = { { 0, 1, 0, 0, 100 },
                                             { 2, 3, 2, 200, 600 } };
    net.Own[host].Services[5].OpenAttempts = { { 0, 2 }, { 2, 4 } };
  }
  gsTime now = gsSeconds(10);
  for (int i = 0; i < 4; ++i) {
    net.Tick(now += Period);
  }
  for (auto& [host, exchange] : net.Hosts) {
    gsSystemLoad others = gsLoadOfOthers(exchange, now);
    EXPECT_EQ(
      others.Upstreams[7].ByUrgency,
      (gsUrgencyLoads{ { 0, 8, 0, 0, 800 }, { 2, 24, 16, 1600, 4800 } }))
      << host;
    EXPECT_EQ(others.Services[5].OpenAttempts,
              (gsOpenAttemptsMap{ { 0, 16 }, { 2, 32 } }))
      << host;
  }
}

namespace {

/** Bytes of a report as text with two hexadecimal digits each. */
std::string ToHex(gradescale::LoadReport const& wire)
{
  constexpr char digits[] = "0123456789abcdef";
  std::string hex;
  for (char byte : wire.SerializeAsString()) {
    auto value = static_cast<unsigned char>(byte);
    hex += digits[value / 16];
    hex += digits[value % 16];
  }
  return hex;
}

gsLoadReport FromHex(std::string const& hex)
{
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  }
  gradescale::LoadReport wire;
  EXPECT_TRUE(wire.ParseFromString(bytes));
  return gsFromWire(wire);
}

gsLoadReport ReportByUrgency()
{
  gsLoadReport report;
  report.Scope = gsLoadScope::Hall;
  report.Load.Upstreams[7] = { 5, 300, 900, 8000 };
  report.Load.Upstreams[7].ByUrgency = { { 0, 1, 0, 0, 100 },
                                         { 2, 3, 2, 200, 600 } };
  report.Load.Services[5].LongTokens = 5000;
  report.Load.Services[5].OpenAttempts = { { 0, 2 }, { 2, 4 } };
  report.Age = gsMilliseconds(1234);
  return report;
}

} // namespace

// Guards against a form of load by urgency that other releases do not read.
TEST(LoadExchange, LoadByUrgencyIsEncodedAsRecorded)
{
  gradescale::LoadReport wire;
  gsToWire(ReportByUrgency(), &wire);
  EXPECT_EQ(ToHex(wire),
            "080112240d07000000100518ac0220840728c03e5a04100128645a0c080210031"
            "80220c80128d8041a120d050000001088273202100232040802100430d209");
  EXPECT_TRUE(gsFromWire(wire).Load == ReportByUrgency().Load);
}

// A report of the release before that form, as it encoded it.
TEST(LoadExchange, ReportWithoutUrgencyIsReadAsRecorded)
{
  gsLoadReport report = FromHex(
    "080112100d07000000100518ac0220840728c03e1a080d0500000010882730d209");
  gsLoadReport expected = ReportByUrgency();
  expected.Load.Upstreams[7].ByUrgency.clear();
  expected.Load.Services[5].OpenAttempts.clear();
  EXPECT_TRUE(report.Load == expected.Load);
  EXPECT_EQ(report.Age, expected.Age);
}
