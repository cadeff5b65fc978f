/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests what hosts infer on the software versions of streams from the rows
 * that the store has, while hosts are killed all at once, versions come and
 * go, and the store does not answer.
 */
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsFleetCases.h"
#include "gsStoredVersions.h"

using namespace gsFleetCases;

namespace {

constexpr std::uint32_t First = 11;
constexpr std::uint32_t Second = 22;
constexpr gsTime Begin = gsSeconds(100);

gsListedUpstream Listed(std::string const& id, std::uint32_t version)
{
  gsListedUpstream upstream = MakeListed(id, "north");
  upstream.SoftwareVersion = version;
  return upstream;
}

std::string Service()
{
  return Listed("x", 0).Service;
}

std::uint32_t Infer(gsFleet const& fleet, gsTime now)
{
  return gsInferStreamVersion(fleet, Service(), now).Version;
}

/** A host that watches the list, and the row that it has. */
struct Watcher
{
  Watcher() { gsSetVersionNames(this->Store, { Service() }); }

  std::optional<gsVersionStoreCall> Next(gsTime now)
  {
    return gsNextVersionStoreCall(this->Store, this->Fleet, { true, true, 0 },
                                  now);
  }

  /** Reads a row; revision 0 for none. */
  void Read(std::uint64_t revision, gsStoredVersions const& versions,
            std::int64_t clockMillis, gsTime now)
  {
    std::optional<gsVersionStoreCall> call = this->Next(now);
    ASSERT_TRUE(call && !call->IsWrite);
    std::map<std::string, std::pair<std::uint64_t, std::string>> rows;
    if (revision != 0) {
      rows[Service()] = { revision, gsFormatStoredVersions(versions) };
    }
    gsApplyVersionRows(this->Store, this->Fleet, rows,
                       { clockMillis, now, now });
  }

  gsFleet Fleet;
  gsVersionStore Store;
};

} // namespace

TEST(StoredVersions, ARowIsReadAsItWasWritten)
{
  gsStoredVersions versions{ { First, std::nullopt },
                             { Second, 51230 },
                             { 0, std::nullopt } };
  EXPECT_EQ(gsParseStoredVersions(gsFormatStoredVersions(versions)), versions);
  for (char const* text :
       { "", "{}", "[1]", "{\"versions\":3}", "{\"versions\":[{}]}",
         "{\"versions\":[{\"version\":-1}]}",
         "{\"versions\":[{\"version\":4294967296}]}",
         "{\"versions\":[{\"version\":1,\"gone_ms\":\"x\"}]}" }) {
    EXPECT_FALSE(gsParseStoredVersions(text)) << text;
  }
}

// Guards against refusing the streams of before for half a minute after all
// hosts were killed, although the service has one version.
TEST(StoredVersions, TheOnlyOneOfTheRowIsInferredAtOnce)
{
  Watcher host;
  gsFleetUpsert(host.Fleet, Listed("a", First), Begin);
  EXPECT_EQ(Infer(host.Fleet, Begin), 0U);
  host.Read(7, { { First, std::nullopt } }, 5000, Begin);
  EXPECT_EQ(Infer(host.Fleet, Begin), First);
}

// Guards against text joined from two versions: the old one had just left when
// all hosts were killed.
TEST(StoredVersions, NothingIsInferredWhileStreamsOfOneThatHasLeftMayLast)
{
  Watcher host;
  gsFleetUpsert(host.Fleet, Listed("a", Second), Begin);
  gsTime most = host.Fleet.Settings.MaxStreamTime;
  std::int64_t goneAt = 100'000;
  std::int64_t age = 4000;
  host.Read(7, { { First, goneAt }, { Second, std::nullopt } }, goneAt + age,
            Begin);
  gsTime end = Begin - gsMilliseconds(age) + most;
  EXPECT_EQ(Infer(host.Fleet, end), 0U);
  EXPECT_EQ(Infer(host.Fleet, end + gsMilliseconds(1)), Second);
}

// The same where no host has seen it leave.
TEST(StoredVersions, OneThatHasLeftWhileNoHostRanCountsAsJustGone)
{
  Watcher host;
  gsFleetUpsert(host.Fleet, Listed("a", Second), Begin);
  host.Read(7, { { First, std::nullopt } }, 5000, Begin);
  gsTime end = Begin + host.Fleet.Settings.MaxStreamTime;
  EXPECT_EQ(Infer(host.Fleet, end), 0U);
  // The new one is named before any stream of it can be lost.
  std::optional<gsVersionStoreCall> write = host.Next(Begin);
  ASSERT_TRUE(write && write->IsWrite);
  EXPECT_EQ(write->ExpectedRevision, 7U);
  EXPECT_EQ(write->Versions, (gsStoredVersions{ { First, std::nullopt },
                                                { Second, std::nullopt } }));
  gsApplyVersionWrite(host.Store, *write, 8);
  gsTime later = end + gsMilliseconds(1);
  EXPECT_EQ(Infer(host.Fleet, later), Second);
  EXPECT_FALSE(host.Next(later)->IsWrite); // It needs the time of the store.
  gsApplyVersionRows(
    host.Store, host.Fleet,
    { { Service(), { 8, gsFormatStoredVersions(write->Versions) } } },
    { 40'000, later, later });
  write = host.Next(later);
  ASSERT_TRUE(write && write->IsWrite);
  EXPECT_EQ(write->Versions, (gsStoredVersions{ { Second, std::nullopt } }));
}

// Guards against text joined from two versions at a host that was killed and
// has started again with the settings of the first start.
TEST(StoredVersions, TheSettingsOfTheFirstStartAloneProveNothing)
{
  Watcher host;
  host.Fleet.Settings.IsFirstStart = true;
  gsFleetUpsert(host.Fleet, Listed("a", Second), Begin);
  EXPECT_EQ(Infer(host.Fleet, Begin), 0U);
  host.Read(7, { { First, 3000 }, { Second, std::nullopt } }, 5000, Begin);
  EXPECT_EQ(Infer(host.Fleet, Begin), 0U);
}

// Guards against refusing all streams that callers take up in the first half
// minute of a system.
TEST(StoredVersions, TheOnlyOneSinceTheFirstStartOfAllIsInferredAtOnce)
{
  Watcher host;
  host.Fleet.Settings.IsFirstStart = true;
  gsFleetUpsert(host.Fleet, Listed("a", First), Begin);
  host.Read(0, {}, 5000, Begin);
  EXPECT_EQ(Infer(host.Fleet, Begin + gsSeconds(1)), First);
  gsFleetUpsert(host.Fleet, Listed("b", Second), Begin + gsSeconds(2));
  EXPECT_TRUE(gsHasVersions(host.Fleet, Service()));
  EXPECT_EQ(Infer(host.Fleet, Begin + gsSeconds(3)), 0U);
}

// A row by a host that does not know what was listed before would claim too
// much: hosts of an earlier release write none.
TEST(StoredVersions, ARowIsMadeByAHostThatKnowsAllVersions)
{
  Watcher host;
  gsFleetUpsert(host.Fleet, Listed("a", First), Begin);
  host.Read(0, {}, 5000, Begin);
  gsTime end = Begin + host.Fleet.Settings.MaxStreamTime;
  std::optional<gsVersionStoreCall> call = host.Next(Begin);
  ASSERT_TRUE(call && !call->IsWrite); // Another hall may have made it.
  gsApplyVersionRows(host.Store, host.Fleet, {}, { 5000, Begin, Begin });
  EXPECT_FALSE(host.Next(end));
  EXPECT_EQ(Infer(host.Fleet, end), 0U);
  host.Store.IsReadDue = true;
  gsTime later = end + gsMilliseconds(1);
  host.Read(0, {}, 35'000, later);
  call = host.Next(later);
  ASSERT_TRUE(call && call->IsWrite);
  EXPECT_EQ(call->ExpectedRevision, 0U);
}

TEST(StoredVersions, ARowOfAnotherFormatIsLeftAndProvesNothing)
{
  Watcher host;
  gsFleetUpsert(host.Fleet, Listed("a", First), Begin);
  ASSERT_TRUE(host.Next(Begin));
  gsApplyVersionRows(host.Store, host.Fleet, { { Service(), { 7, "[]" } } },
                     { 5000, Begin, Begin });
  EXPECT_EQ(Infer(host.Fleet, Begin), 0U);
  gsFleetUpsert(host.Fleet, Listed("b", Second), Begin);
  std::optional<gsVersionStoreCall> call = host.Next(Begin);
  EXPECT_TRUE(!call || !call->IsWrite);
}

// Two hosts that write at once do not lose each other's entry.
TEST(StoredVersions, ARefusedWriteIsMadeAnewFromTheRow)
{
  Watcher host;
  gsFleetUpsert(host.Fleet, Listed("a", First), Begin);
  host.Read(7, { { First, std::nullopt } }, 5000, Begin);
  gsFleetUpsert(host.Fleet, Listed("b", Second), Begin);
  std::optional<gsVersionStoreCall> write = host.Next(Begin);
  ASSERT_TRUE(write && write->IsWrite);
  gsApplyVersionConflict(host.Store, Begin);
  constexpr std::uint32_t third = 33;
  host.Read(9, { { First, std::nullopt }, { third, std::nullopt } }, 5010,
            Begin);
  write = host.Next(Begin);
  ASSERT_TRUE(write && write->IsWrite);
  EXPECT_EQ(write->ExpectedRevision, 9U);
  EXPECT_EQ(write->Versions, (gsStoredVersions{ { First, std::nullopt },
                                                { Second, std::nullopt },
                                                { third, std::nullopt } }));
}

// What is written costs calls to the platform.
TEST(StoredVersions, UpstreamsOfKnownVersionsAreNotWritten)
{
  Watcher host;
  gsFleetUpsert(host.Fleet, Listed("a", First), Begin);
  host.Read(7, { { First, std::nullopt } }, 5000, Begin);
  ASSERT_FALSE(host.Next(Begin)->IsWrite); // One read after the start.
  gsApplyVersionRows(
    host.Store, host.Fleet,
    { { Service(), { 7, gsFormatStoredVersions({ { First, {} } }) } } },
    { 5000, Begin, Begin });
  for (int i = 0; i < 100; ++i) {
    gsTime now = Begin + gsSeconds(i);
    gsFleetUpsert(host.Fleet, Listed(std::to_string(i), First), now);
    gsFleetRemove(host.Fleet, i == 0 ? "a" : std::to_string(i - 1), now);
    gsListedUpstream changed = Listed(std::to_string(i), First);
    changed.Leaving = true;
    gsFleetUpsert(host.Fleet, changed, now);
    EXPECT_FALSE(host.Next(now));
  }
}

// Guards against a stream of a version that was listed for a moment before all
// hosts were killed, and whose name was not stored yet.
TEST(StoredVersions, StreamsBeginAtANewVersionOnceItsNameMayBeStored)
{
  gsFleet fleet;
  gsVersionStore store;
  gsTime const time = store.Settings.WriteTime;
  auto older = [&](std::uint32_t version, gsTime now) {
    return gsOlderVersion(store, fleet, Service(), version, now);
  };
  gsFleetUpsert(fleet, Listed("a", First), Begin);
  EXPECT_FALSE(older(First, Begin)); // There is no other.
  gsUpdateVersionAges(store, fleet, Begin);
  gsTime added = Begin + time;
  gsFleetUpsert(fleet, Listed("b", Second), added);
  EXPECT_EQ(older(Second, added), First);
  EXPECT_FALSE(older(First, added));
  gsUpdateVersionAges(store, fleet, added);
  EXPECT_EQ(older(Second, added + time - gsMilliseconds(1)), First);
  EXPECT_FALSE(older(Second, added + time));
  gsFleetRemove(fleet, "b", added + time);
  gsUpdateVersionAges(store, fleet, added + time);
  gsFleetUpsert(fleet, Listed("b", Second), added + time);
  EXPECT_EQ(older(Second, added + time), First);
}

// The same at a host that has just started.
TEST(StoredVersions, AVersionThatTheRowNamesIsNotNew)
{
  Watcher host;
  gsFleetUpsert(host.Fleet, Listed("a", First), Begin);
  gsFleetUpsert(host.Fleet, Listed("b", Second), Begin);
  host.Read(7, { { First, std::nullopt } }, 5000, Begin);
  gsUpdateVersionAges(host.Store, host.Fleet, Begin);
  EXPECT_EQ(gsOlderVersion(host.Store, host.Fleet, Service(), Second, Begin),
            First);
}

namespace {

struct SimulationPlan
{
  bool KeepsFirstStart = false; ///< Hosts start again with the first settings.
  bool HasVersions = true;      ///< Versions come and go.
  bool StoreFails = true;
  /** A version is listed for a moment before each kill. */
  bool HasMoments = false;
};

/** Hosts of two halls, a store, upstreams whose versions come and go, and
 * streams whose callers come back after all hosts were killed. Records of
 * streams are left out: they are lost with the hosts. */
class Simulation
{
public:
  Simulation(std::uint64_t seed, SimulationPlan plan)
    : Random(seed)
    , Plan(plan)
  {
    for (std::size_t i = 0; i < HostCount; ++i) {
      this->Hosts.push_back(std::make_unique<Host>());
      this->Start(i, true);
    }
    this->AddUpstream(1);
    this->AddUpstream(1);
    this->NextKill = this->Now + this->DrawTime(gsSeconds(3), gsSeconds(25));
    this->NextVersion =
      this->Now + this->DrawTime(gsSeconds(2), gsSeconds(20));
    this->NextDark = this->Now + this->DrawTime(gsSeconds(2), gsSeconds(20));
  }

  void Run(gsTime length)
  {
    for (gsTime end = this->Now + length; this->Now < end; this->Now += Step) {
      this->ChangeStore();
      this->ChangeVersions();
      this->UpdateViews();
      this->CallStore();
      this->BeginStreams();
      this->KillAll();
      this->ComeBack();
    }
  }

  int GoneOn = 0;
  int Refused = 0;
  int Wrong = 0;
  int Kills = 0;
  int Writes = 0;
  int Reads = 0;

private:
  static constexpr std::size_t HostCount = 6;
  static constexpr std::size_t Halls = 2;
  static constexpr gsTime Step = gsMilliseconds(10);

  struct Change
  {
    gsTime SeenAt{};
    std::string Id;
    std::uint32_t Version = 0; ///< Zero if it is gone.
  };

  struct Host
  {
    bool IsUp = false;
    gsTime StartsAt{}; ///< Of one that is down.
    gsTime StartedAt{};
    bool HasList = false;
    gsTime CurrentAt{}; ///< When its list was last up to date.
    gsFleet Fleet;
    gsVersionStore Store;
    std::deque<Change> Changes; ///< That it does not know of yet.
    std::uint64_t Life = 0;
  };

  struct Stream
  {
    std::uint32_t Version = 0;
    gsTime EndsAt{}; ///< When its run would end.
    gsTime BackAt{}; ///< Next try of its caller; zero unless it broke off.
    gsTime GivesUpAt{};
  };

  /** A call that arrives at the store, and its answer. */
  struct Call
  {
    std::size_t Host = 0;
    std::uint64_t Life = 0;
    gsVersionStoreCall What;
    gsTime AskedAt{};
    gsTime ArrivesAt{};
    gsTime AnsweredAt{};
    bool IsLost = false; ///< Its answer.
    bool IsDone = false;
    bool IsRefused = false;
    bool IsBusy = false;
    std::uint64_t Revision = 0;
    std::map<std::string, std::pair<std::uint64_t, std::string>> Rows;
    std::int64_t Clock = 0;
  };

  bool Draw(double probability)
  {
    return std::bernoulli_distribution(probability)(this->Random);
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

  void Start(std::size_t number, bool isFirst)
  {
    std::uint64_t life = this->Hosts[number]->Life + 1;
    this->Hosts[number] = std::make_unique<Host>();
    Host& host = *this->Hosts[number];
    host.Life = life;
    host.IsUp = true;
    host.StartedAt = this->Now;
    host.Fleet.Settings.IsFirstStart = isFirst || this->Plan.KeepsFirstStart;
    gsSetVersionNames(host.Store, { Service() });
  }

  void Tell(std::string const& id, std::uint32_t version)
  {
    // The changes of a hall come to its watcher first.
    for (std::size_t i = 0; i < HostCount; ++i) {
      Host& host = *this->Hosts[i];
      gsTime seen =
        this->Now + this->DrawTime(gsMilliseconds(20), gsMilliseconds(400));
      if (!host.Changes.empty()) {
        seen = std::max(seen, host.Changes.back().SeenAt);
      }
      host.Changes.push_back({ seen, id, version });
    }
  }

  void AddUpstream(std::uint32_t version)
  {
    std::string id = "u" + std::to_string(++this->LastUpstream);
    this->List[id] = version;
    this->Tell(id, version);
  }

  void RemoveUpstream(std::string const& id)
  {
    this->List.erase(id);
    this->Tell(id, 0);
  }

  void ChangeStore()
  {
    if (!this->Plan.StoreFails || this->Now < this->NextDark) {
      return;
    }
    this->IsDark = !this->IsDark;
    this->NextDark =
      this->Now + (this->IsDark
                     ? this->DrawTime(gsMilliseconds(300), gsSeconds(12))
                     : this->DrawTime(gsSeconds(5), gsSeconds(40)));
  }

  /** Upstreams of a new version come, and those of others go. */
  void ChangeVersions()
  {
    if (!this->Plan.HasVersions || this->IsDark ||
        this->Now < this->NextVersion) {
      return;
    }
    if (this->List.size() < 4) {
      this->LastVersion += this->Draw(0.5) ? 1 : 0;
      this->AddUpstream(this->LastVersion);
      this->NextVersion =
        this->Now + this->DrawTime(gsMilliseconds(200), gsSeconds(8));
      return;
    }
    for (int i = 0; i < 2; ++i) {
      this->RemoveUpstream(this->List.begin()->first);
    }
    this->NextVersion =
      this->Now + this->DrawTime(gsSeconds(1), gsSeconds(60));
  }

  void UpdateViews()
  {
    for (auto& each : this->Hosts) {
      Host& host = *each;
      if (!host.IsUp) {
        host.Changes.clear();
        continue;
      }
      if (!host.HasList) {
        bool reads = !this->IsDark &&
                     this->Now - host.StartedAt > gsMilliseconds(50) &&
                     this->Draw(0.1);
        if (reads) {
          host.HasList = true;
          host.Changes.clear();
          for (auto const& [id, version] : this->List) {
            gsFleetUpsert(host.Fleet, Listed(id, version), this->Now);
          }
        }
        continue;
      }
      while (!this->IsDark && !host.Changes.empty() &&
             host.Changes.front().SeenAt <= this->Now) {
        Change const& change = host.Changes.front();
        if (change.Version != 0) {
          gsFleetUpsert(host.Fleet, Listed(change.Id, change.Version),
                        this->Now);
        } else {
          gsFleetRemove(host.Fleet, change.Id, this->Now);
        }
        host.Changes.pop_front();
      }
      host.CurrentAt = this->IsDark ? host.CurrentAt : this->Now;
      gsUpdateVersionAges(host.Store, host.Fleet, this->Now);
    }
  }

  bool IsWatcher(std::size_t number) const
  {
    for (std::size_t i = number % Halls; i < number; i += Halls) {
      if (this->Hosts[i]->IsUp && this->Hosts[i]->HasList) {
        return false;
      }
    }
    return true;
  }

  void CallStore()
  {
    for (std::size_t i = 0; i < HostCount; ++i) {
      Host& host = *this->Hosts[i];
      if (!host.IsUp || !host.HasList) {
        continue;
      }
      std::optional<gsVersionStoreCall> call = gsNextVersionStoreCall(
        host.Store, host.Fleet, { true, this->IsWatcher(i), i % Halls },
        this->Now);
      if (!call) {
        continue;
      }
      Call made;
      made.Host = i;
      made.Life = host.Life;
      made.What = *call;
      made.AskedAt = this->Now;
      bool isSlow = this->Plan.StoreFails && this->Draw(0.05);
      gsTime most = isSlow ? gsSeconds(3) : gsMilliseconds(60);
      made.ArrivesAt = this->Now + this->DrawTime(gsMilliseconds(2), most);
      made.AnsweredAt =
        made.ArrivesAt + this->DrawTime(gsMilliseconds(2), gsMilliseconds(60));
      made.IsLost = this->Plan.StoreFails && this->Draw(0.05);
      this->Calls.push_back(made);
      this->Writes += call->IsWrite ? 1 : 0;
      this->Reads += call->IsWrite ? 0 : 1;
    }
    this->Execute();
    this->Answer();
  }

  void Execute()
  {
    for (Call& call : this->Calls) {
      if (call.IsDone || call.ArrivesAt > this->Now) {
        continue;
      }
      call.IsDone = true;
      call.IsBusy = this->IsDark;
      if (this->IsDark) {
        continue;
      }
      call.Clock =
        std::chrono::duration_cast<gsMilliseconds>(this->Now).count() + 777;
      if (call.What.IsWrite) {
        call.IsRefused = call.What.ExpectedRevision != this->Row.first;
        if (!call.IsRefused) {
          this->Row = { ++this->Revision,
                        gsFormatStoredVersions(call.What.Versions) };
        }
        call.Revision = this->Revision;
      } else if (this->Row.first != 0) {
        call.Rows[Service()] = this->Row;
      }
    }
  }

  void Answer()
  {
    constexpr gsTime timeout = gsMilliseconds(800);
    auto apply = [&](Call const& call) {
      bool isLate = this->Now - call.AskedAt >= timeout;
      bool isAnswered =
        call.IsDone && !call.IsLost && call.AnsweredAt <= this->Now;
      if (!isLate && !isAnswered) {
        return;
      }
      Host& host = *this->Hosts[call.Host];
      if (!host.IsUp || host.Life != call.Life) {
        return;
      }
      if (!isAnswered || call.IsBusy) {
        gsApplyVersionFailure(host.Store, this->Now);
      } else if (!call.What.IsWrite) {
        gsApplyVersionRows(host.Store, host.Fleet, call.Rows,
                           { call.Clock, call.AskedAt, this->Now });
      } else if (call.IsRefused) {
        gsApplyVersionConflict(host.Store, this->Now);
      } else {
        gsApplyVersionWrite(host.Store, call.What, call.Revision);
      }
    };
    std::vector<Call> left;
    for (Call& call : this->Calls) {
      bool isPending = call.Life != 0;
      if (isPending) {
        bool isOver =
          this->Now - call.AskedAt >= timeout ||
          (call.IsDone && !call.IsLost && call.AnsweredAt <= this->Now);
        apply(call);
        call.Life = isOver ? 0 : call.Life;
      }
      // A call without an answer may be carried out later.
      if (!call.IsDone || call.Life != 0) {
        left.push_back(call);
      }
    }
    this->Calls = std::move(left);
  }

  void BeginStreams()
  {
    if (!this->Draw(0.3)) {
      return;
    }
    Host& host = *this->Hosts[this->Pick(HostCount)];
    if (!host.IsUp || host.Fleet.Rows.empty()) {
      return;
    }
    Stream stream;
    stream.Version = host.Fleet.Rows[this->Pick(host.Fleet.Rows.size())]
                       .Listed.SoftwareVersion;
    stream.Version = gsOlderVersion(host.Store, host.Fleet, Service(),
                                    stream.Version, this->Now)
                       .value_or(stream.Version);
    stream.EndsAt =
      this->Now + this->DrawTime(gsMilliseconds(500), gsSeconds(14));
    this->Streams.push_back(stream);
  }

  void KillAll()
  {
    for (std::size_t i = 0; i < HostCount; ++i) {
      Host& host = *this->Hosts[i];
      if (!host.IsUp && this->Now >= host.StartsAt) {
        this->Start(i, false);
      }
    }
    this->ListForAMoment();
    if (this->Now < this->NextKill) {
      return;
    }
    ++this->Kills;
    this->NextKill = this->Now + this->DrawTime(gsSeconds(3), gsSeconds(45));
    for (auto& host : this->Hosts) {
      host->IsUp = false;
      host->StartsAt =
        this->Now + this->DrawTime(gsMilliseconds(200), gsSeconds(3));
    }
    for (Stream& stream : this->Streams) {
      if (stream.BackAt.count() == 0 && stream.EndsAt > this->Now) {
        stream.BackAt =
          this->Now + this->DrawTime(gsMilliseconds(10), gsSeconds(2));
        stream.GivesUpAt =
          this->Now + this->DrawTime(gsSeconds(2), gsSeconds(14));
      }
    }
  }

  void ListForAMoment()
  {
    if (!this->Plan.HasMoments) {
      return;
    }
    bool isMoment = this->Now >= this->NextKill - this->MomentLength;
    if (isMoment && this->ListedForAMoment.empty() && !this->IsDark) {
      this->AddUpstream(++this->LastVersion);
      this->ListedForAMoment = "u" + std::to_string(this->LastUpstream);
    }
    if (this->Now >= this->NextKill && !this->ListedForAMoment.empty()) {
      this->RemoveUpstream(this->ListedForAMoment);
      this->ListedForAMoment.clear();
      this->MomentLength =
        this->DrawTime(gsMilliseconds(50), gsMilliseconds(600));
    }
  }

  /** What a look-up without a record comes to. */
  std::uint32_t LookUp(std::size_t number) const
  {
    bool isVoid = false;
    std::uint32_t found = 0;
    for (std::size_t i = number % Halls; i < HostCount; i += Halls) {
      Host const& host = *this->Hosts[i];
      bool isCurrent = host.IsUp && this->Now - host.CurrentAt <= gsSeconds(2);
      gsInferredVersion inferred =
        gsInferStreamVersion(host.Fleet, Service(), this->Now);
      if (!isCurrent || !host.HasList) {
        continue;
      }
      isVoid =
        isVoid || inferred.Cause == gsVersionInference::SeveralVersions ||
        (found != 0 && inferred.Version != 0 && found != inferred.Version);
      found = inferred.Version != 0 ? inferred.Version : found;
    }
    return isVoid ? 0 : found;
  }

  void ComeBack()
  {
    std::vector<Stream> left;
    for (Stream& stream : this->Streams) {
      bool isBroken = stream.BackAt.count() != 0;
      if (!isBroken && this->Now > stream.EndsAt) {
        continue;
      }
      std::size_t number = this->Pick(HostCount);
      if (isBroken && this->Now >= stream.BackAt &&
          this->Hosts[number]->IsUp) {
        std::uint32_t version = this->LookUp(number);
        if (version != 0) {
          ++(version == stream.Version ? this->GoneOn : this->Wrong);
          continue;
        }
        stream.BackAt =
          this->Now + this->DrawTime(gsMilliseconds(300), gsSeconds(2));
      }
      if (isBroken && this->Now > stream.GivesUpAt) {
        ++this->Refused;
        continue;
      }
      left.push_back(stream);
    }
    this->Streams = std::move(left);
  }

  std::mt19937_64 Random;
  SimulationPlan Plan;
  gsTime Now = Begin;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::map<std::string, std::uint32_t> List;
  std::vector<Stream> Streams;
  std::vector<Call> Calls;
  std::pair<std::uint64_t, std::string> Row;
  std::uint64_t Revision = 0;
  std::uint32_t LastVersion = 1;
  std::uint64_t LastUpstream = 1000;
  bool IsDark = false;
  gsTime NextKill{};
  gsTime NextVersion{};
  gsTime NextDark{};
  gsTime MomentLength = gsMilliseconds(300);
  std::string ListedForAMoment; ///< Its upstream.
};

} // namespace

// Guards against text joined from two versions after all hosts were killed at
// once, while versions come and go and the store fails.
TEST(StoredVersions, NoStreamGoesOnAtAnotherVersionAfterAllHostsWereKilled)
{
  int goneOn = 0;
  int refused = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    SimulationPlan plan;
    plan.KeepsFirstStart = seed % 2 == 0;
    plan.StoreFails = seed % 3 != 0;
    plan.HasMoments = seed % 5 < 2;
    Simulation simulation(seed, plan);
    simulation.Run(gsSeconds(150));
    EXPECT_EQ(simulation.Wrong, 0) << "seed " << seed;
    goneOn += simulation.GoneOn;
    refused += simulation.Refused;
  }
  RecordProperty("gone_on", goneOn);
  RecordProperty("refused", refused);
  std::cout << goneOn << " gone on, " << refused << " refused\n";
  EXPECT_GT(goneOn, 0);
}

// Guards against refusing them although there is one version only: all go on
// whose callers come to a host that has read the store.
TEST(StoredVersions, StreamsOfTheOnlyVersionGoOnAfterAllHostsWereKilled)
{
  int kills = 0;
  int goneOn = 0;
  int refused = 0;
  int writes = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SimulationPlan plan;
    plan.HasVersions = false;
    plan.StoreFails = false;
    Simulation simulation(seed, plan);
    simulation.Run(gsSeconds(150));
    EXPECT_EQ(simulation.Wrong, 0) << "seed " << seed;
    EXPECT_LE(simulation.Writes, 2) << "seed " << seed;
    kills += simulation.Kills;
    goneOn += simulation.GoneOn;
    refused += simulation.Refused;
    writes += simulation.Writes;
  }
  std::cout << kills << " kills, " << goneOn << " gone on, " << refused
            << " refused, " << writes << " writes\n";
  EXPECT_GT(kills, 50);
  // Those that give up before any host of the hall has started are refused.
  EXPECT_GT(goneOn, 20 * refused);
}
