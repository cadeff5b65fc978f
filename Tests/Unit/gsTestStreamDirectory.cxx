/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests which software version hosts find for streams whose callers come back,
 * while hosts are killed, cut off from each other and join.
 */
#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsStreamDirectory.h"
#include "gsWireCodec.h"

namespace {

constexpr gsTime Step = gsMilliseconds(1);
constexpr gsTime TickInterval = gsMilliseconds(100);
/** Time after which the other hosts know that one has died: its links break.
 */
constexpr gsTime DetectionTime = gsMilliseconds(100);
/** Time after which they know that one has started. */
constexpr gsTime JoinTime = gsSeconds(1);
constexpr gsTime MaxCopyWait = gsMilliseconds(30);

gsStreamMessage Find(gsStreamMessages const& messages, std::string const& host)
{
  for (gsStreamMessage const& message : messages) {
    if (message.Host == host) {
      return message;
    }
  }
  return {};
}

/** A system of hosts in halls, over links with delays. */
class Simulation
{
public:
  Simulation(std::uint64_t seed, int halls, int hostsPerHall)
    : Random(seed)
  {
    for (int hall = 0; hall < halls; ++hall) {
      for (int host = 0; host < hostsPerHall; ++host) {
        Host added;
        added.Name = std::to_string(hall) + "-" + std::to_string(host);
        added.Hall = hall;
        this->Hosts.push_back(added);
        this->Start(this->Hosts.size() - 1);
      }
    }
  }

  void Run(gsTime length)
  {
    for (gsTime end = this->Now + length; this->Now < end; this->Now += Step) {
      this->Deliver();
      this->Tick();
      this->BeginStreams();
      this->Fail();
      this->ComeBack();
    }
  }

  int Resumed = 0; ///< Streams that came back, and whose version was found.
  int Unknown = 0; ///< Streams that came back, and whose version was not.
  int Wrong = 0;   ///< Streams that would go on at another version.

private:
  struct Host
  {
    std::string Name;
    int Hall = 0;
    bool IsUp = false;
    gsTime ChangedAt{}; ///< When it was started or killed.
    bool IsCut = false; ///< From all other hosts.
    gsStreamDirectory Directory;
  };

  struct Stream
  {
    gsStreamId Id = 0;
    std::uint32_t Version = 0;
    std::size_t Host = 0;
    gsTime BegunAt{}; ///< When its caller has its first event; zero before.
    gsTime EndsAt{};
    gsTime SentAt{};
    bool IsCopied = false;
    gsTime ComesBackAt{}; ///< Zero unless its host has failed.
    bool IsWaiting = false;
  };

  struct Packet
  {
    gsTime ArrivesAt{};
    std::string From;
    gsStreamMessage Message;
  };

  bool Draw(double perSecond)
  {
    std::bernoulli_distribution draw(perSecond * gsToSeconds(Step));
    return draw(this->Random);
  }

  std::size_t Pick(std::size_t count)
  {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      count - 1)(this->Random);
  }

  gsTime DrawTime(gsTime from, gsTime to)
  {
    return gsTime(std::uniform_int_distribution<gsTime::rep>(
      from.count(), to.count())(this->Random));
  }

  void Start(std::size_t number)
  {
    Host& host = this->Hosts[number];
    host.IsUp = true;
    host.ChangedAt =
      this->Incarnations < this->Hosts.size() ? gsTime{} : this->Now;
    host.Directory = {};
    host.Directory.Settings.Origin = ++this->Incarnations;
  }

  /** Whether other hosts take a host for one that is up. */
  bool LooksUp(Host const& host) const
  {
    gsTime known = host.IsUp ? JoinTime : DetectionTime;
    bool isUnknown = this->Now - host.ChangedAt < known;
    return host.IsUp != isUnknown;
  }

  std::vector<std::string> Coordinators(int hall, Host const& asker) const
  {
    constexpr std::size_t most = 3;
    std::vector<std::string> names;
    for (Host const& host : this->Hosts) {
      if (host.Hall == hall && names.size() < most &&
          (host.Name == asker.Name || this->LooksUp(host))) {
        names.push_back(host.Name);
      }
    }
    return names;
  }

  gsStreamPeers Peers(Host const& host) const
  {
    gsStreamPeers peers;
    peers.Coordinators = this->Coordinators(host.Hall, host);
    auto self = std::find(peers.Coordinators.begin(), peers.Coordinators.end(),
                          host.Name);
    if (self == peers.Coordinators.end()) {
      return peers;
    }
    peers.Coordinators.erase(self);
    for (int hall = 0; hall <= this->Hosts.back().Hall; ++hall) {
      if (hall != host.Hall) {
        std::vector<std::string> others = this->Coordinators(hall, host);
        peers.OtherHalls.insert(peers.OtherHalls.end(), others.begin(),
                                others.end());
      }
    }
    return peers;
  }

  Host* Named(std::string const& name)
  {
    auto found =
      std::find_if(this->Hosts.begin(), this->Hosts.end(),
                   [&](Host const& host) { return host.Name == name; });
    return found == this->Hosts.end() ? nullptr : &*found;
  }

  void Send(Host const& from, gsStreamMessages const& messages)
  {
    for (gsStreamMessage const& message : messages) {
      gsTime delay = this->DrawTime(gsMilliseconds(1), gsMilliseconds(8));
      this->Packets.push_back({ this->Now + delay, from.Name, message });
    }
  }

  void Deliver()
  {
    std::vector<Packet> due;
    auto isLater = [this](Packet const& packet) {
      return packet.ArrivesAt > this->Now;
    };
    auto border = std::stable_partition(this->Packets.begin(),
                                        this->Packets.end(), isLater);
    due.assign(border, this->Packets.end());
    this->Packets.erase(border, this->Packets.end());
    for (Packet& packet : due) {
      Host* to = this->Named(packet.Message.Host);
      Host const* from = this->Named(packet.From);
      if (!to->IsUp || to->IsCut || from->IsCut) {
        continue;
      }
      packet.Message.Host = packet.From;
      std::vector<gsStreamLookupResult> results;
      this->Send(*to, gsStreamReceive(to->Directory, this->Peers(*to),
                                      packet.Message, 0, this->Now, results));
      if (packet.Message.Kind == gsStreamMessageKind::Ack) {
        this->Acknowledge(*to, packet.Message.Stream);
      }
      this->Finish(results);
    }
  }

  void Acknowledge(Host const& host, gsStreamId id)
  {
    for (Stream& stream : this->Streams) {
      bool isOwn = this->Hosts[stream.Host].Name == host.Name;
      stream.IsCopied = stream.IsCopied || (stream.Id == id && isOwn);
    }
  }

  void Tick()
  {
    for (Stream& stream : this->Streams) {
      bool mayBegin = stream.IsCopied || this->Now - stream.SentAt >=
                                           gsMilliseconds(40) + MaxCopyWait;
      bool hasEvent = this->Now - stream.SentAt >= gsMilliseconds(40);
      if (stream.BegunAt.count() == 0 && hasEvent && mayBegin) {
        stream.BegunAt = this->Now;
      }
    }
    if (this->Now.count() % TickInterval.count() != 0) {
      return;
    }
    for (Host& host : this->Hosts) {
      if (host.IsUp) {
        std::vector<gsStreamLookupResult> results;
        this->Send(host, gsStreamTick(host.Directory, this->Now, results));
        this->Finish(results);
      }
    }
    auto isOver = [this](Stream const& stream) {
      return stream.ComesBackAt.count() == 0 && this->Now > stream.EndsAt;
    };
    this->Streams.erase(
      std::remove_if(this->Streams.begin(), this->Streams.end(), isOver),
      this->Streams.end());
  }

  void BeginStreams()
  {
    constexpr double perSecond = 100;
    if (!this->Draw(perSecond)) {
      return;
    }
    std::size_t number = this->Pick(this->Hosts.size());
    Host& host = this->Hosts[number];
    if (!host.IsUp) {
      return;
    }
    Stream stream;
    stream.Id = ++this->LastStream;
    stream.Version = 1 + static_cast<std::uint32_t>(this->Pick(3));
    stream.Host = number;
    stream.SentAt = this->Now;
    stream.EndsAt =
      this->Now + this->DrawTime(gsMilliseconds(500), gsSeconds(4));
    this->Send(host, gsStreamPublish(host.Directory, this->Peers(host),
                                     stream.Id, stream.Version, this->Now));
    this->Streams.push_back(stream);
  }

  void Fail()
  {
    constexpr double killsPerSecond = 0.2;
    constexpr double cutsPerSecond = 0.1;
    constexpr std::size_t mostAtOnce = 3;
    if (this->Draw(killsPerSecond)) {
      for (std::size_t i = 0; i < mostAtOnce; ++i) {
        this->Kill(this->Pick(this->Hosts.size()));
      }
    }
    if (this->Draw(cutsPerSecond)) {
      this->Hosts[this->Pick(this->Hosts.size())].IsCut = true;
    }
    for (std::size_t i = 0; i < this->Hosts.size(); ++i) {
      Host& host = this->Hosts[i];
      if (!host.IsUp && this->Now - host.ChangedAt > gsSeconds(1)) {
        this->Start(i);
      }
      host.IsCut = host.IsCut && !this->Draw(0.5);
    }
  }

  void Kill(std::size_t number)
  {
    Host& host = this->Hosts[number];
    if (!host.IsUp) {
      return;
    }
    host.IsUp = false;
    host.ChangedAt = this->Now;
    auto isLost = [number](Stream const& stream) {
      return stream.Host == number && stream.BegunAt.count() == 0;
    };
    this->Streams.erase(
      std::remove_if(this->Streams.begin(), this->Streams.end(), isLost),
      this->Streams.end());
    for (Stream& stream : this->Streams) {
      if (stream.Host == number) {
        stream.IsWaiting = false;
        stream.ComesBackAt =
          this->Now + this->DrawTime(gsMilliseconds(2), gsMilliseconds(800));
      }
    }
  }

  void ComeBack()
  {
    for (Stream& stream : this->Streams) {
      bool isDue = stream.ComesBackAt.count() != 0 && !stream.IsWaiting &&
                   this->Now >= stream.ComesBackAt;
      std::size_t number = isDue ? this->Pick(this->Hosts.size()) : 0;
      if (!isDue || !this->Hosts[number].IsUp) {
        continue;
      }
      Host& host = this->Hosts[number];
      stream.Host = number;
      stream.IsWaiting = true;
      auto known = gsStreamFind(host.Directory, stream.Id, this->Now);
      std::vector<gsStreamLookupResult> results;
      if (known) {
        results.push_back({ stream.Id, *known, false });
      } else {
        this->Send(host, gsStreamLookUp(host.Directory, this->Peers(host),
                                        stream.Id, 0, 0, this->Now, results));
      }
      this->Finish(results);
    }
  }

  void Finish(std::vector<gsStreamLookupResult> const& results)
  {
    for (gsStreamLookupResult const& result : results) {
      for (Stream& stream : this->Streams) {
        if (stream.Id != result.Stream || !stream.IsWaiting) {
          continue;
        }
        stream.IsWaiting = false;
        stream.ComesBackAt = gsTime{};
        bool isCut = this->Hosts[stream.Host].IsCut;
        this->Unknown += result.Version == 0 && !isCut ? 1 : 0;
        this->Wrong +=
          result.Version != 0 && result.Version != stream.Version ? 1 : 0;
        if (result.Version == stream.Version) {
          ++this->Resumed;
          // The host that resumes it records it anew.
          Host& host = this->Hosts[stream.Host];
          this->Send(host,
                     gsStreamPublish(host.Directory, this->Peers(host),
                                     stream.Id, stream.Version, this->Now));
        }
      }
    }
  }

  std::mt19937_64 Random;
  gsTime Now = gsSeconds(10);
  std::vector<Host> Hosts;
  std::vector<Packet> Packets;
  std::vector<Stream> Streams;
  gsStreamId LastStream = 0;
  std::uint64_t Incarnations = 0;
};

} // namespace

// Guards against streams that go on at another software version after their
// hosts were killed, three at once, and against refusing most of them.
TEST(StreamDirectory, HostsThatFailLeaveTheVersionsOfTheirStreams)
{
  int resumed = 0;
  int unknown = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    int halls = 2 + static_cast<int>(seed % 3);
    int hosts = 3 + static_cast<int>(seed % 5);
    Simulation simulation(seed, halls, hosts);
    simulation.Run(gsSeconds(8));
    ASSERT_EQ(simulation.Wrong, 0) << "seed " << seed;
    resumed += simulation.Resumed;
    unknown += simulation.Unknown;
  }
  EXPECT_GT(resumed, 1000);
  EXPECT_GT(resumed, unknown) << resumed << " resumed, " << unknown;
}

TEST(StreamDirectory, CopiesGoToTheCoordinatorsOfTheHallAndToOtherHalls)
{
  gsStreamDirectory directory;
  gsStreamPeers peers;
  peers.Coordinators = { "a", "b" };
  gsStreamMessages copies =
    gsStreamPublish(directory, peers, 7, 3, gsSeconds(1));
  ASSERT_EQ(copies.size(), 2U);
  EXPECT_TRUE(copies[0].Flag); // Passed on, as this host has no such link.
  EXPECT_FALSE(copies[1].Flag);
  peers.OtherHalls = { "x", "y", "z" };
  copies = gsStreamPublish(directory, peers, 7, 3, gsSeconds(1));
  ASSERT_EQ(copies.size(), 4U);
  for (gsStreamMessage const& copy : copies) {
    EXPECT_FALSE(copy.Flag);
  }
}

TEST(StreamDirectory, ACopyIsPassedOnToAnotherHallOnce)
{
  gsStreamDirectory directory;
  gsStreamPeers peers;
  peers.Coordinators = { "a" };
  peers.OtherHalls = { "x" };
  gsStreamMessage copy;
  copy.Host = "sender";
  copy.Kind = gsStreamMessageKind::Record;
  copy.Stream = 7;
  copy.Record = { 3, 9, 1 };
  copy.Flag = true;
  std::vector<gsStreamLookupResult> results;
  gsStreamMessages answers =
    gsStreamReceive(directory, peers, copy, 0, gsSeconds(1), results);
  EXPECT_EQ(Find(answers, "sender").Kind, gsStreamMessageKind::Ack);
  EXPECT_EQ(Find(answers, "x").Kind, gsStreamMessageKind::Record);
  EXPECT_FALSE(Find(answers, "x").Flag);
  EXPECT_EQ(gsStreamFind(directory, 7, gsSeconds(1)), 3U);
}

// The upstream that was tried first had another version, and sent no event.
TEST(StreamDirectory, ALaterRecordOfTheSameHostReplacesTheFirst)
{
  gsStreamDirectory directory;
  gsStreamPublish(directory, {}, 7, 3, gsSeconds(1));
  gsStreamPublish(directory, {}, 7, 4, gsSeconds(1));
  EXPECT_EQ(gsStreamFind(directory, 7, gsSeconds(1)), 4U);
}

// Two callers that use one id: neither version is right for both.
TEST(StreamDirectory, HostsThatDisagreeLeaveTheVersionUnknown)
{
  gsStreamDirectory directory;
  directory.Settings.Origin = 1;
  gsStreamPublish(directory, {}, 7, 3, gsSeconds(1));
  gsStreamMessage copy;
  copy.Kind = gsStreamMessageKind::Record;
  copy.Stream = 7;
  copy.Record = { 4, 2, 1 };
  std::vector<gsStreamLookupResult> results;
  gsStreamReceive(directory, {}, copy, 0, gsSeconds(1), results);
  EXPECT_EQ(gsStreamFind(directory, 7, gsSeconds(1)), 0U);
}

TEST(StreamDirectory, ALookUpEndsWhenAllHaveRepliedOrItsTimeIsOver)
{
  gsStreamDirectory directory;
  gsStreamPeers peers;
  peers.Coordinators = { "a", "b" };
  std::vector<gsStreamLookupResult> results;
  EXPECT_EQ(
    gsStreamLookUp(directory, peers, 7, 0, {}, gsSeconds(1), results).size(),
    2U);
  gsStreamMessage reply;
  reply.Kind = gsStreamMessageKind::Reply;
  reply.Stream = 7;
  reply.Flag = true; // It has no record.
  for (char const* host : { "a", "b" }) {
    EXPECT_TRUE(results.empty());
    reply.Host = host;
    gsStreamReceive(directory, peers, reply, 0, gsSeconds(1), results);
  }
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].Version, 0U);
  results.clear();
  gsStreamLookUp(directory, peers, 7, 0, {}, gsSeconds(2), results);
  gsTime end = gsSeconds(2) + directory.Settings.LookupTimeout;
  gsStreamTick(directory, end - gsMilliseconds(1), results);
  EXPECT_TRUE(results.empty());
  gsStreamTick(directory, end, results);
  EXPECT_EQ(results.size(), 1U);
}

TEST(StreamDirectory, InferencesThatDisagreeAreVoid)
{
  gsStreamDirectory directory;
  gsStreamPeers peers;
  peers.Coordinators = { "a" };
  std::vector<gsStreamLookupResult> results;
  gsStreamLookUp(directory, peers, 7, 0, 3, gsSeconds(1), results);
  gsStreamMessage reply;
  reply.Host = "a";
  reply.Kind = gsStreamMessageKind::Reply;
  reply.Stream = 7;
  reply.Record.Version = 4;
  reply.Flag = true;
  gsStreamReceive(directory, peers, reply, 0, gsSeconds(1), results);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].Version, 0U);
}

// Guards against a stream that goes on at another version: a host that has
// just started sees one version only, another one has seen the one that left.
TEST(StreamDirectory, AHostThatKnowsOfSeveralVersionsVoidsWhatOthersInfer)
{
  gsStreamDirectory asker;
  gsStreamDirectory witness;
  gsStreamDirectory newcomer;
  gsStreamPeers peers;
  peers.Coordinators = { "witness", "newcomer" };
  std::vector<gsStreamLookupResult> results;
  gsStreamMessages queries =
    gsStreamLookUp(asker, peers, 7, 0, std::nullopt, gsSeconds(1), results);
  ASSERT_EQ(queries.size(), 2U);
  for (gsStreamMessage query : queries) {
    bool isWitness = query.Host == "witness";
    std::string const host = std::exchange(query.Host, "asker");
    gsStreamMessages replies =
      gsStreamReceive(isWitness ? witness : newcomer, {}, query,
                      isWitness ? 0U : 4U, gsSeconds(1), results);
    ASSERT_EQ(replies.size(), 1U);
    replies[0].Host = host;
    gsStreamReceive(asker, peers, replies[0], 0U, gsSeconds(1), results);
  }
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].Version, 0U);
}

// Guards against a stream that goes on at another version: what other hosts
// infer may be out of date.
TEST(StreamDirectory, WhatOtherHostsInferProvesNothing)
{
  gsStreamDirectory asker;
  gsStreamDirectory other;
  gsStreamPeers peers;
  peers.Coordinators = { "a", "b" };
  std::vector<gsStreamLookupResult> results;
  gsStreamMessages queries =
    gsStreamLookUp(asker, peers, 7, 0, std::nullopt, gsSeconds(1), results);
  for (gsStreamMessage query : queries) {
    bool knows = query.Host == "b";
    std::string const host = std::exchange(query.Host, "asker");
    gsStreamMessages replies = gsStreamReceive(
      other, {}, query, knows ? std::optional(4U) : std::nullopt, gsSeconds(1),
      results);
    replies[0].Host = host;
    gsStreamReceive(asker, peers, replies[0], 0U, gsSeconds(1), results);
  }
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].Version, 0U);
}

namespace {

gsStreamMessage MakeReply(std::string const& host, std::uint32_t inferred)
{
  gsStreamMessage reply;
  reply.Host = host;
  reply.Kind = gsStreamMessageKind::Reply;
  reply.Stream = 7;
  reply.Record.Version = inferred;
  reply.Flag = true;
  return reply;
}

} // namespace

// Guards against a stream that goes on at another version at a host that is
// out of step, and that nobody answers.
TEST(StreamDirectory, AnInferenceCountsOnlyOnceTheTablesWereRead)
{
  gsStreamPeers peers;
  peers.Coordinators = { "a" };
  for (bool reads : { true, false }) {
    gsStreamDirectory directory;
    gsTime now = gsSeconds(1);
    std::vector<gsStreamLookupResult> results;
    gsStreamLookUp(directory, peers, 7, 0, 3, now, results);
    EXPECT_TRUE(gsStreamTakeUnconfirmed(directory, now).empty());
    now += directory.Settings.ConfirmDelay;
    EXPECT_EQ(gsStreamTakeUnconfirmed(directory, now).size(), 1U);
    EXPECT_TRUE(gsStreamTakeUnconfirmed(directory, now).empty());
    now = gsSeconds(1) + directory.Settings.LookupTimeout;
    gsStreamTick(directory, now, results);
    EXPECT_TRUE(results.empty());
    if (reads) {
      gsStreamConfirm(directory, 7, 3, now, results);
    } else {
      gsStreamTick(directory, gsSeconds(1) + directory.Settings.ConfirmTimeout,
                   results);
    }
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].Version, reads ? 3U : 0U);
    EXPECT_EQ(results[0].Unanswered, 1U);
  }
}

TEST(StreamDirectory, AHostWithoutOthersConfirmsItsInferenceAtOnce)
{
  gsStreamDirectory directory;
  std::vector<gsStreamLookupResult> results;
  gsStreamLookUp(directory, {}, 7, 0, 3, gsSeconds(1), results);
  EXPECT_TRUE(results.empty());
  ASSERT_EQ(gsStreamTakeUnconfirmed(directory, gsSeconds(1)).size(), 1U);
  gsStreamConfirm(directory, 7, 3, gsSeconds(1), results);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].Version, 3U);
}

// Guards against taking a version for the only one that the tables no longer
// say is, or that a host which has seen another one contradicts.
TEST(StreamDirectory, ReadsAndRepliesVoidAnInference)
{
  gsStreamPeers peers;
  peers.Coordinators = { "a" };
  for (std::optional<std::uint32_t> read :
       { std::optional<std::uint32_t>(), std::optional<std::uint32_t>(0),
         std::optional<std::uint32_t>(4) }) {
    gsStreamDirectory directory;
    std::vector<gsStreamLookupResult> results;
    gsStreamLookUp(directory, peers, 7, 0, 3, gsSeconds(1), results);
    gsStreamReceive(directory, peers, MakeReply("a", 3), 0, gsSeconds(1),
                    results);
    ASSERT_EQ(gsStreamTakeUnconfirmed(directory, gsSeconds(1)).size(), 1U);
    gsStreamConfirm(directory, 7, read, gsSeconds(1), results);
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].Version, 0U);
  }
  gsStreamDirectory directory;
  std::vector<gsStreamLookupResult> results;
  gsStreamLookUp(directory, peers, 7, 0, 3, gsSeconds(1), results);
  gsStreamReceive(directory, peers, MakeReply("a", 4), 0, gsSeconds(1),
                  results);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].Version, 0U);
}

// A record is proof, whatever is inferred meanwhile.
TEST(StreamDirectory, ARecordThatArrivesEndsALookUpThatIsBeingConfirmed)
{
  gsStreamDirectory directory;
  std::vector<gsStreamLookupResult> results;
  gsStreamLookUp(directory, {}, 7, 0, 3, gsSeconds(1), results);
  ASSERT_EQ(gsStreamTakeUnconfirmed(directory, gsSeconds(1)).size(), 1U);
  gsStreamMessage copy;
  copy.Host = "a";
  copy.Kind = gsStreamMessageKind::Record;
  copy.Stream = 7;
  copy.Record = { 4, 9, 1 };
  gsStreamReceive(directory, {}, copy, 0, gsSeconds(1), results);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].Version, 4U);
  EXPECT_FALSE(results[0].IsInferred);
  gsStreamConfirm(directory, 7, 3, gsSeconds(1), results);
  EXPECT_EQ(results.size(), 1U);
}

TEST(StreamDirectory, ANoteIsKeptByOneCoordinatorAndByItsHost)
{
  gsStreamDirectory host;
  host.Settings.Origin = 1;
  gsStreamPeers peers;
  peers.Coordinators = { "a", "b", "c" };
  peers.OtherHalls = { "x" };
  std::optional<gsStreamMessage> note =
    gsStreamNote(host, peers, 7, 3, gsSeconds(1));
  ASSERT_TRUE(note.has_value());
  EXPECT_EQ(gsStreamFind(host, 7, gsSeconds(1)), 3U);
  gsStreamDirectory coordinator;
  note->Record.Origin = 1;
  std::vector<gsStreamLookupResult> results;
  EXPECT_TRUE(
    gsStreamReceive(coordinator, {}, *note, 0, gsSeconds(1), results).empty());
  EXPECT_EQ(gsStreamFind(coordinator, 7, gsSeconds(1)), 3U);
  EXPECT_FALSE(gsStreamNote(host, {}, 8, 3, gsSeconds(1)).has_value());
}

// Guards against a note that is sent late: it does not replace the record of
// the version that the stream began at in the end.
TEST(StreamDirectory, ALateNoteDoesNotReplaceARecord)
{
  gsStreamDirectory coordinator;
  gsStreamMessage message;
  message.Host = "sender";
  message.Kind = gsStreamMessageKind::Record;
  message.Stream = 7;
  message.Record = { 4, 9, 2 };
  std::vector<gsStreamLookupResult> results;
  gsStreamReceive(coordinator, {}, message, 0, gsSeconds(1), results);
  message.Kind = gsStreamMessageKind::Note;
  message.Record = { 3, 9, 0 };
  gsStreamReceive(coordinator, {}, message, 0, gsSeconds(1), results);
  EXPECT_EQ(gsStreamFind(coordinator, 7, gsSeconds(1)), 4U);
}

// Guards against a record of a version that the stream was sent to in vain
// before another host began it.
TEST(StreamDirectory, AHostWithdrawsItsOwnRecordOnly)
{
  gsStreamDirectory directory;
  directory.Settings.Origin = 1;
  gsStreamPublish(directory, {}, 7, 3, gsSeconds(1));
  gsStreamWithdraw(directory, {}, 7);
  EXPECT_FALSE(gsStreamFind(directory, 7, gsSeconds(1)).has_value());
  gsStreamMessage copy;
  copy.Kind = gsStreamMessageKind::Record;
  copy.Stream = 7;
  copy.Record = { 4, 2, 1 };
  std::vector<gsStreamLookupResult> results;
  gsStreamReceive(directory, {}, copy, 0, gsSeconds(1), results);
  gsStreamWithdraw(directory, {}, 7);
  EXPECT_EQ(gsStreamFind(directory, 7, gsSeconds(1)), 4U);
}

TEST(StreamDirectory, RecordsAreEvictedAfterTheirTimeAndAboveTheLimit)
{
  gsStreamDirectory directory;
  directory.Settings.MaxStreams = 10;
  for (gsStreamId stream = 1; stream <= 20; ++stream) {
    gsStreamPublish(directory, {}, stream, 3, gsSeconds(1));
  }
  EXPECT_EQ(directory.Streams.size(), 10U);
  EXPECT_EQ(directory.Evicted, 10U);
  gsTime end = gsSeconds(1) + directory.Settings.Retention;
  gsStreamPublish(directory, {}, 20, 3, end); // It is renewed.
  std::vector<gsStreamLookupResult> results;
  gsStreamTick(directory, end + gsMilliseconds(1), results);
  EXPECT_EQ(directory.Streams.size(), 1U);
  EXPECT_EQ(gsStreamFind(directory, 20, end), 3U);
}

// The same of the copies. One that another host has recorded as well stays.
TEST(StreamDirectory, AWithdrawnRecordIsDroppedWithItsCopies)
{
  gsStreamDirectory host;
  host.Settings.Origin = 1;
  gsStreamPeers peers;
  peers.Coordinators = { "a" };
  std::vector<gsStreamLookupResult> results;
  gsStreamDirectory holder;
  gsStreamPeers passedOnTo;
  passedOnTo.OtherHalls = { "x" };
  gsStreamReceive(holder, passedOnTo,
                  gsStreamPublish(host, peers, 7, 3, gsSeconds(1)).at(0), 0,
                  gsSeconds(1), results);
  EXPECT_EQ(gsStreamFind(holder, 7, gsSeconds(1)), 3U);
  gsStreamMessages withdrawn = gsStreamWithdraw(host, peers, 7);
  ASSERT_EQ(withdrawn.size(), 1U);
  gsStreamMessages answers = gsStreamReceive(holder, passedOnTo, withdrawn[0],
                                             0, gsSeconds(1), results);
  EXPECT_EQ(Find(answers, "x").Kind, gsStreamMessageKind::Record);
  EXPECT_FALSE(gsStreamFind(holder, 7, gsSeconds(1)).has_value());
  EXPECT_TRUE(gsStreamWithdraw(host, peers, 7).empty());
  EXPECT_TRUE(results.empty());
}

// Guards the form between hosts: a reply that is recorded of the release
// before voids nothing, and one that voids differs in its revision alone.
TEST(StreamDirectory, RepliesAreReadAsRecordedOfBothReleases)
{
  std::string const begin("\x08\x04\x11\x07\0\0\0\0\0\0\0", 11);
  std::string const flag = "\x38\x01";
  gradescale::StreamVersion wire;
  ASSERT_TRUE(wire.ParseFromString(begin + flag));
  EXPECT_EQ(wire.kind(),
            static_cast<std::uint32_t>(gsStreamMessageKind::Reply));
  EXPECT_EQ(wire.stream(), 7U);
  EXPECT_EQ(wire.version(), 0U);
  EXPECT_EQ(wire.revision(), 0U);
  EXPECT_TRUE(wire.flag());
  wire.set_revision(gsStreamMessage::VoidRevision);
  EXPECT_EQ(wire.SerializeAsString(), begin + "\x28\x01" + flag);
}

// The same of notes: one that follows another of the same version leaves the
// version out, and hosts of earlier releases pass over the kind.
TEST(StreamDirectory, NotesAreReadAsRecorded)
{
  std::string const first("\x08\x05\x11\x07\0\0\0\0\0\0\0\x1d\x03\0\0\0", 16);
  std::string const next("\x08\x05\x11\x08\0\0\0\0\0\0\0", 11);
  gradescale::StreamVersion wire;
  ASSERT_TRUE(wire.ParseFromString(first));
  EXPECT_EQ(wire.kind(),
            static_cast<std::uint32_t>(gsStreamMessageKind::Note));
  EXPECT_EQ(wire.stream(), 7U);
  EXPECT_EQ(wire.version(), 3U);
  EXPECT_EQ(wire.SerializeAsString(), first);
  ASSERT_TRUE(wire.ParseFromString(next));
  EXPECT_EQ(wire.stream(), 8U);
  EXPECT_EQ(wire.version(), 0U);
  EXPECT_EQ(wire.SerializeAsString(), next);
}
