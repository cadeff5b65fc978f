/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file State and exchange of the prefix directory. */
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "gsPrefixDirectory.h"
#include "gsPrefixSharing.h"
#include "gsPrefixSystem.h"

using namespace gsPrefixCases;

namespace {

constexpr gsTime Start = gsSeconds(100);
constexpr gsPrefixKey Key{ 1, 77 };
constexpr std::uint32_t Tokens = 13300;

gsPrefixUpdate Update(std::vector<gsPrefixChange> changes,
                      gsLoadScope scope = gsLoadScope::Others)
{
  return { scope, std::move(changes), {} };
}

bool IsServing(gsPrefixDirectory const& directory, std::uint32_t engine,
               gsTime now)
{
  gsPrefixHolding const* holding =
    gsFindPrefixHolding(directory, Key, engine, now);
  return holding != nullptr && holding->IsServing;
}

} // namespace

// Guards against reports for each request: only changes and rare refreshes are
// sent.
TEST(PrefixDirectory, ReportsChangesAndRefreshesOncePerSecondAtMost)
{
  gsPrefixDirectory directory;
  directory.Self = "a";
  gsLoadPeers peers;
  peers.Relay = "r";
  std::size_t changes = 0;
  for (int i = 0; i < 300; ++i) {
    gsTime now = Start + gsMilliseconds(10 * i);
    gsRecordPrefixSent(directory, Key, 5, Tokens, now);
    gsRecordPrefixHeld(directory, Key, 5, Tokens, now);
    if (i % 10 == 9) {
      for (gsPrefixMessage const& message :
           gsPrefixTick(directory, peers, now)) {
        EXPECT_EQ(message.To, "r");
        EXPECT_EQ(message.Update.Scope, gsLoadScope::Host);
        changes += message.Update.Changes.size();
      }
    }
  }
  EXPECT_EQ(changes, 4U); // Reading, held, and two refreshes within 3 s.
}

// Guards against unbounded state: subjects, engines per subject, messages.
TEST(PrefixDirectory, StateAndMessagesAreBounded)
{
  gsPrefixDirectory directory;
  directory.Self = "a";
  for (std::uint32_t i = 0; i < 30000; ++i) {
    gsTime now = Start + gsMilliseconds(i / 10);
    gsPrefixKey key{ 1, 1000 + i % 3000 };
    gsRecordPrefixSent(directory, key, i % 97 + 1, Tokens, now);
    gsRecordPrefixDemand(directory, key, 10, now);
  }
  EXPECT_LE(directory.HoldingCount, directory.Settings.MaxHoldings);
  std::size_t holdings = 0;
  for (auto const& [key, subject] : directory.Subjects) {
    holdings += subject.Holdings.size();
    EXPECT_LE(subject.Holdings.size(), 8U);
  }
  EXPECT_EQ(holdings, directory.HoldingCount);
  gsLoadPeers peers;
  peers.Relay = "r";
  for (gsPrefixMessage const& message :
       gsPrefixTick(directory, peers, Start + gsSeconds(3))) {
    EXPECT_LE(message.Update.Changes.size(), 100U);
    EXPECT_LE(message.Update.Demands.size(), 32U);
  }
}

TEST(PrefixDirectory, AHoldingExpires20SecondsAfterItsLastUse)
{
  gsPrefixDirectory directory;
  gsRecordPrefixSent(directory, Key, 5, Tokens, Start);
  gsRecordPrefixHeld(directory, Key, 5, Tokens, Start);
  EXPECT_NE(gsFindPrefixHolding(directory, Key, 5, Start + gsSeconds(20)),
            nullptr);
  EXPECT_EQ(gsFindPrefixHolding(directory, Key, 5, Start + gsSeconds(21)),
            nullptr);
  gsPrefixTick(directory, {}, Start + gsSeconds(21));
  EXPECT_EQ(directory.HoldingCount, 0U);
  EXPECT_TRUE(directory.Subjects.empty());
}

// Guards against an engine that is believed to process a prompt forever, since
// the host that sent it was killed.
TEST(PrefixDirectory, ReadingWithoutAFirstEventEndsAfter10Seconds)
{
  gsPrefixDirectory directory;
  gsApplyPrefixUpdate(directory, "b",
                      Update({ { Key, 5, Tokens, true, false, Start } }),
                      false, Start);
  EXPECT_NE(gsFindPrefixHolding(directory, Key, 5, Start + gsSeconds(9)),
            nullptr);
  EXPECT_EQ(gsFindPrefixHolding(directory, Key, 5, Start + gsSeconds(11)),
            nullptr);
}

// Guards against a rejected request that leaves an engine marked as reading.
TEST(PrefixDirectory, AFailedReadingIsDroppedUnlessOthersUseTheEngine)
{
  gsPrefixDirectory directory;
  gsRecordPrefixSent(directory, Key, 5, Tokens, Start);
  gsRecordPrefixSent(directory, Key, 5, Tokens, Start);
  gsRecordPrefixFailed(directory, Key, 5, Start);
  EXPECT_TRUE(IsServing(directory, 5, Start)) << "one more request reads";
  gsRecordPrefixFailed(directory, Key, 5, Start);
  EXPECT_FALSE(IsServing(directory, 5, Start));
  EXPECT_TRUE(directory.Pending.back().Change.IsDropped);

  gsRecordPrefixSent(directory, Key, 6, Tokens, Start);
  gsApplyPrefixUpdate(directory, "b",
                      Update({ { Key, 6, Tokens, true, false, Start } }),
                      false, Start);
  gsRecordPrefixFailed(directory, Key, 6, Start);
  EXPECT_TRUE(IsServing(directory, 6, Start));
}

// Guards against a drop that arrives after a newer use and removes it.
TEST(PrefixDirectory, ADropThatIsOlderThanTheLastUseIsIgnored)
{
  gsPrefixDirectory directory;
  gsApplyPrefixUpdate(directory, "b",
                      Update({ { Key, 5, Tokens, false, false, Start } }),
                      false, Start);
  gsPrefixChange drop{ Key, 5, 0, false, true, Start - gsMilliseconds(50) };
  gsApplyPrefixUpdate(directory, "c", Update({ drop }), false, Start);
  EXPECT_TRUE(IsServing(directory, 5, Start));
  drop.UsedAt = Start;
  gsApplyPrefixUpdate(directory, "c", Update({ drop }), false, Start);
  EXPECT_FALSE(IsServing(directory, 5, Start));
}

// Guards against a queue of changes that lasts for seconds after a burst, and
// against one that is filled by reports of the same holdings.
TEST(PrefixDirectory, ALongQueueIsMergedAndSentInSeveralMessages)
{
  gsPrefixDirectory directory;
  directory.Self = "a";
  gsLoadPeers peers;
  peers.Relay = "a";
  peers.HallHosts = { "x" };
  for (int round = 0; round < 3; ++round) {
    gsTime at = Start + gsMilliseconds(round);
    std::vector<gsPrefixChange> changes;
    for (std::uint32_t i = 0; i < 450; ++i) {
      changes.push_back({ { 1, 1000 + i }, 5, Tokens, false, false, at });
    }
    for (auto first = changes.begin(); first != changes.end(); first += 50) {
      gsApplyPrefixUpdate(directory, "b",
                          Update({ first, first + 50 }, gsLoadScope::Host),
                          true, at);
    }
  }
  std::set<std::uint64_t> subjects;
  auto tick = [&](gsTime now) {
    std::vector<gsPrefixMessage> messages =
      gsPrefixTick(directory, peers, now);
    for (gsPrefixMessage const& message : messages) {
      EXPECT_LE(message.Update.Changes.size(), 100U);
      for (gsPrefixChange const& change : message.Update.Changes) {
        EXPECT_TRUE(subjects.insert(change.Key.Subject).second);
        EXPECT_EQ(change.UsedAt, Start + gsMilliseconds(2)) << "the newest";
      }
    }
    return messages.size();
  };
  EXPECT_EQ(tick(Start + gsMilliseconds(100)), 4U);
  EXPECT_EQ(tick(Start + gsMilliseconds(200)), 1U);
  EXPECT_EQ(subjects.size(), 450U);
}

// Guards against a merge that loses that an engine begins to serve a subject,
// or sends a report that a later drop has made invalid.
TEST(PrefixDirectory, AMergeKeepsTheReportOfAnAddition)
{
  gsPrefixDirectory directory;
  directory.Self = "a";
  gsLoadPeers peers;
  peers.Relay = "r";
  gsRecordPrefixSent(directory, Key, 5, Tokens, Start);
  gsRecordPrefixHeld(directory, Key, 5, Tokens, Start);
  gsRecordPrefixSent(directory, Key, 6, Tokens, Start);
  gsRecordPrefixFailed(directory, Key, 6, Start);
  std::vector<gsPrefixMessage> messages =
    gsPrefixTick(directory, peers, Start + gsMilliseconds(100));
  ASSERT_EQ(messages.size(), 1U);
  std::vector<gsPrefixChange> const& changes = messages[0].Update.Changes;
  ASSERT_EQ(changes.size(), 3U);
  EXPECT_TRUE(changes[0].IsReading);
  EXPECT_FALSE(changes[1].IsReading);
  EXPECT_EQ(changes[2].Engine, 6U);
  EXPECT_TRUE(changes[2].IsDropped);
}

// Guards against hosts that keep different sets after they have added
// different engines at the same time.
TEST(PrefixDirectory, OfConcurrentAdditionsAllHostsKeepTheSameOne)
{
  auto add = [](gsPrefixDirectory& directory, std::uint32_t engine,
                int millis) {
    gsTime at = Start + gsMilliseconds(millis);
    gsApplyPrefixUpdate(directory, "b",
                        Update({ { Key, engine, Tokens, true, false, at } }),
                        false, at);
  };
  gsPrefixDirectory first;
  gsPrefixDirectory second;
  add(first, 1, 0);
  add(first, 2, 1500);
  add(first, 3, 1800);
  add(first, 4, 2100);
  add(second, 1, 100);
  add(second, 4, 1600);
  add(second, 2, 1700);
  add(second, 3, 2300);
  gsTime now = Start + gsSeconds(3);
  int added = 0;
  for (std::uint32_t engine = 1; engine <= 4; ++engine) {
    EXPECT_EQ(IsServing(first, engine, now), IsServing(second, engine, now));
    added += IsServing(first, engine, now) ? 1 : 0;
  }
  EXPECT_EQ(added, 2) << "the first engine and one addition";
}

// Guards against a second engine that is removed since the first was only
// recently recorded.
TEST(PrefixDirectory, TheFirstEngineDoesNotDelayTheSecond)
{
  gsPrefixDirectory directory;
  gsRecordPrefixSent(directory, Key, 1, Tokens, Start);
  gsTime now = Start + gsMilliseconds(200);
  EXPECT_TRUE(gsMayAddPrefixEngine(directory, Key, now));
  gsRecordPrefixSent(directory, Key, 2, Tokens, now);
  EXPECT_TRUE(IsServing(directory, 1, now) && IsServing(directory, 2, now));
  EXPECT_FALSE(gsMayAddPrefixEngine(directory, Key, now));
  EXPECT_TRUE(gsMayAddPrefixEngine(directory, Key, now + gsSeconds(1)));
}

TEST(PrefixDirectory, AnEvictedPrefixIsDroppedIfAnotherEngineServesIt)
{
  gsPrefixDirectory directory;
  gsRecordPrefixSent(directory, Key, 1, Tokens, Start);
  gsRecordPrefixHeld(directory, Key, 1, Tokens, Start);
  gsRecordPrefixDropped(directory, Key, 1, Start);
  EXPECT_TRUE(IsServing(directory, 1, Start)) << "it has just read it";
  gsRecordPrefixSent(directory, Key, 2, Tokens, Start);
  gsRecordPrefixDropped(directory, Key, 1, Start);
  EXPECT_FALSE(IsServing(directory, 1, Start));
  EXPECT_TRUE(IsServing(directory, 2, Start));
}

// Guards against a demand that counts a host's own requests twice, once by
// the relay's sum.
TEST(PrefixDirectory, DemandIsSummedOverAllHostsOnce)
{
  System system(6, 2, 4, 1);
  gsPrefixKey key = gsPrefixKeyOf("model", 7);
  for (int i = 0; i < 300; ++i) {
    // 10 ms of each 100 ms: a tenth of an engine per host.
    system.ForEachHost([&](Host& host) {
      gsRecordPrefixDemand(host.Fleet.Prefixes, key, 10, system.Now);
    });
    system.Run(system.Now + gsMilliseconds(100));
  }
  for (Host const& host : system.Hosts) {
    EXPECT_NEAR(gsPrefixDemand(host.Fleet.Prefixes, key, system.Now), 0.6,
                0.12)
      << host.Name;
  }
}

TEST(PrefixDirectory, AllHostsKnowAChangeWithin400Milliseconds)
{
  System system(30, 3, 8, 2);
  system.Run(system.Now + gsSeconds(1));
  std::string engine = system.Request(17, 7, {});
  system.Run(system.Now + gsMilliseconds(400));
  for (std::size_t i = 0; i < system.Hosts.size(); ++i) {
    EXPECT_EQ(system.ServingAt(i, 7), std::set<std::string>{ engine }) << i;
  }
}

// Failure: lost messages. A subject stays at the first engine of its order,
// and each holding is reported again with its next use.
TEST(PrefixDirectory, LostMessagesLeaveASubjectAtItsFirstEngine)
{
  System system(12, 3, 10, 3);
  system.LossShare = 1;
  std::set<std::string> engines;
  for (std::size_t i = 0; i < system.Hosts.size(); ++i) {
    engines.insert(system.Request(i, 7, {}));
    system.Run(system.Now + gsMilliseconds(400));
  }
  EXPECT_EQ(engines.size(), 1U);
  system.LossShare = 0;
  system.Request(5, 7, {});
  system.Run(system.Now + gsMilliseconds(1200));
  system.Request(5, 7, {});
  system.Run(system.Now + gsMilliseconds(400));
  for (std::size_t i = 0; i < system.Hosts.size(); ++i) {
    EXPECT_EQ(system.ServingAt(i, 7), engines) << i;
  }
}

// Failure: a relay that fails loses changes of 100 ms. The next relay gets
// them with the next use.
TEST(PrefixDirectory, AFailedRelayLosesOnlyTheChangesThatItHeld)
{
  System system(12, 3, 10, 4);
  system.Run(system.Now + gsSeconds(1));
  std::string engine = system.Request(6, 7, {});
  system.Hosts[0].IsUp = false; // The relay of the hall of host 6.
  system.Run(system.Now + gsMilliseconds(1500));
  system.Request(6, 7, {});
  system.Run(system.Now + gsMilliseconds(500));
  for (std::size_t i = 1; i < system.Hosts.size(); ++i) {
    EXPECT_EQ(system.ServingAt(i, 7), std::set<std::string>{ engine }) << i;
  }
}

// Failure: two halls that are cut off each keep their own holdings, and agree
// again afterwards.
TEST(PrefixDirectory, HallsThatAreCutOffKeepTheirOwnHoldings)
{
  System system(12, 2, 10, 5);
  system.IsCut = true;
  system.ForEachHost([&](Host& host) {
    for (gsFleetRow& row : host.Fleet.Rows) {
      bool isOther = row.Listed.Hall != host.Hall;
      row.AvoidUntil = isOther ? gsSeconds(1000) : gsTime{};
    }
  });
  for (int i = 0; i < 60; ++i) {
    system.Request(7, {});
    system.Run(system.Now + gsMilliseconds(100));
  }
  std::set<std::string> first = system.ServingAt(0, 7);
  std::set<std::string> second = system.ServingAt(1, 7);
  EXPECT_EQ(first.size(), 1U);
  EXPECT_EQ(second.size(), 1U);
  EXPECT_NE(first, second);
  system.IsCut = false;
  system.ForEachHost([&](Host& host) {
    for (gsFleetRow& row : host.Fleet.Rows) {
      row.AvoidUntil = gsTime{};
    }
  });
  for (int i = 0; i < 36; ++i) {
    system.Request(7, {});
    system.Run(system.Now + gsMilliseconds(500));
  }
  EXPECT_EQ(system.ChoiceCount(7, {}), 1U);
}

// Failure: hosts of the previous release send none of the fields.
TEST(PrefixDirectory, MissingFieldsAreReadAsNoChange)
{
  gradescale::Frame frame;
  EXPECT_TRUE(frame.prefix_updates().empty());
  gsPrefixUpdate update = gsFromWire(gradescale::PrefixUpdate{}, Start);
  EXPECT_TRUE(update.Changes.empty());
  EXPECT_TRUE(update.Demands.empty());
  gsPrefixDirectory directory;
  gsApplyPrefixUpdate(directory, "b", update, true, Start);
  EXPECT_TRUE(directory.Subjects.empty());
}

TEST(PrefixDirectory, AnUpdateIsTheSameAfterTheWire)
{
  gsPrefixUpdate update;
  update.Scope = gsLoadScope::Hall;
  update.Changes = {
    { { 1, 77 }, 5, Tokens, true, false, Start - gsMilliseconds(40) },
    { { 2, 78 }, 6, 0, false, true, Start }
  };
  update.Demands = { { { 1, 77 }, 350000 }, { { 2, 79 }, 9 } };
  gradescale::Frame frame;
  EXPECT_GT(gsToWire(update, Start, &frame), 0U);
  ASSERT_EQ(frame.prefix_updates_size(), 2);
  gsPrefixUpdate read = gsFromWire(frame.prefix_updates(0), Start);
  EXPECT_EQ(read.Scope, gsLoadScope::Hall);
  ASSERT_EQ(read.Changes.size(), 1U);
  EXPECT_TRUE(read.Changes[0].Key == update.Changes[0].Key);
  EXPECT_EQ(read.Changes[0].Engine, 5U);
  EXPECT_EQ(read.Changes[0].Tokens, Tokens);
  EXPECT_TRUE(read.Changes[0].IsReading);
  EXPECT_EQ(read.Changes[0].UsedAt, Start - gsMilliseconds(40));
  EXPECT_EQ(read.Demands.at({ 1, 77 }), 350000U);
  read = gsFromWire(frame.prefix_updates(1), Start);
  EXPECT_TRUE(read.Changes[0].IsDropped);
}
