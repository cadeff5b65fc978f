/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Tests of the upstream table and of placement. */
#include <map>
#include <set>

#include <gtest/gtest.h>

#include "gsArrangement.h"
#include "gsFleetCases.h"

using namespace gsFleetCases;

TEST(Fleet, PreservesObservationsWhileUpstreamIsListed)
{
  gsFleet fleet = MakeFleet(2);
  gsFleetFind(fleet, "u1")->OwnLoad.OpenAttempts = 3;
  gsFleetReplaceListing(fleet, { MakeListed("u1"), MakeListed("u2") });
  EXPECT_EQ(gsFleetFind(fleet, "u0"), nullptr);
  EXPECT_EQ(gsFleetFind(fleet, "u1")->OwnLoad.OpenAttempts, 3U);
  EXPECT_EQ(gsFleetFind(fleet, "u2")->OwnLoad.OpenAttempts, 0U);
}

TEST(Fleet, ExcludesLeavingUpstreams)
{
  gsFleet fleet = MakeFleet(2);
  gsListedUpstream leaving = MakeListed("u0");
  leaving.Leaving = true;
  gsFleetReplaceListing(fleet, { leaving, MakeListed("u1") });
  gsFleetFind(fleet, "u1")->OwnLoad.OpenAttempts = 100;
  EXPECT_EQ(ChooseId(fleet, MakeLongRequest()), "u1");
  gsFleetReplaceListing(fleet, { leaving });
  EXPECT_EQ(ChooseId(fleet, MakeLongRequest()), "none");
}

TEST(Fleet, ExcludesTriedUpstreams)
{
  gsFleet fleet = MakeFleet(2);
  std::vector<gsIncarnation> tried{ { "u0", 0 } };
  gsPlacementRequest ask = MakeLongRequest();
  ask.TriedUpstreams = &tried;
  EXPECT_EQ(ChooseId(fleet, ask), "u1");
  tried.push_back({ "u1", 0 });
  EXPECT_EQ(ChooseId(fleet, ask), "none");
}

TEST(Fleet, CountsLoadOfOtherHostsUntilReportExpires)
{
  gsFleet fleet = MakeFleet(2);
  gsFleetRow* row = gsFleetFind(fleet, "u0");
  row->OthersLoad.PendingPromptTokens = 50000;
  row->OthersReportedAt = Now;
  EXPECT_EQ(ChooseId(fleet, MakeLongRequest()), "u1");
  gsFleetFind(fleet, "u1")->OwnLoad.PendingPromptTokens = 1000;
  EXPECT_EQ(ChooseId(fleet, MakeLongRequest()), "u1");
  row->OthersReportedAt =
    Now - fleet.Settings.OthersLoadLifetime - gsMilliseconds(1);
  EXPECT_EQ(ChooseId(fleet, MakeLongRequest()), "u0");
}

TEST(Fleet, IncreasesBackoffWhenUpstreamStaysUnreachable)
{
  gsFleet fleet = MakeFleet(1);
  gsFleetRow* row = gsFleetFind(fleet, "u0");
  gsRecordUnreachable(*row, Now);
  gsTime first = row->AvoidUntil - Now;
  EXPECT_EQ(ChooseId(fleet, MakeLongRequest()), "none");
  gsRecordUnreachable(*row, Now);
  EXPECT_GT(row->AvoidUntil - Now, first);
  gsRecordReceived(fleet, *row, Now);
  EXPECT_EQ(ChooseId(fleet, MakeLongRequest()), "u0");
}

TEST(Fleet, IgnoresFailuresCommonToAllUpstreams)
{
  gsFleet fleet = MakeFleet(3);
  for (gsFleetRow& row : fleet.Rows) {
    for (int i = 0; i < 20; ++i) {
      gsRecordOutcome(row, i % 7 == 0, Now);
    }
  }
  gsFleetFind(fleet, "u0")->OwnLoad.OpenAttempts = 0;
  gsFleetFind(fleet, "u1")->OwnLoad.OpenAttempts = 5;
  gsFleetFind(fleet, "u2")->OwnLoad.OpenAttempts = 5;
  EXPECT_EQ(ChooseId(fleet, MakeLongRequest()), "u0");
  for (int i = 0; i < 20; ++i) {
    gsRecordOutcome(*gsFleetFind(fleet, "u0"), true, Now);
  }
  EXPECT_NE(ChooseId(fleet, MakeLongRequest()), "u0");
}

TEST(Fleet, KeepsSubjectAtCachingEngineUntilWaitCostsMore)
{
  gsFleet fleet = MakeFleet(4);
  std::vector<gsPromptPart> parts{ { 1, 500 }, { 2, 5000 }, { 3, 600 } };
  gsPlacementRequest ask = MakeLongRequest();
  ask.Parts = &parts;
  ask.PromptTokens = 6100;
  std::string preferred = ChooseId(fleet, ask);
  gsRecordCachedParts(fleet, *gsFleetFind(fleet, preferred), parts, Now);
  gsFleetFind(fleet, preferred)->OwnLoad.PendingPromptTokens = 10000;
  parts[2].Id = 4; // Another request for the same subject.
  EXPECT_EQ(ChooseId(fleet, ask), preferred);
  // Processing the shared parts again costs ReprocessWeight times their
  // tokens, and an engine that holds none of them costs up to MaxSpreadCost.
  gsFleetFind(fleet, preferred)->OwnLoad.PendingPromptTokens =
    static_cast<std::uint64_t>(fleet.Settings.ReprocessWeight * 5500 +
                               fleet.Settings.MaxSpreadCost) +
    10000;
  EXPECT_NE(ChooseId(fleet, ask), preferred);
}

TEST(Fleet, ChoosesSameEngineForSubjectOnIndependentHosts)
{
  std::vector<gsPromptPart> parts{ { 1, 500 }, { 2, 5000 }, { 3, 600 } };
  gsPlacementRequest ask = MakeLongRequest();
  ask.Parts = &parts;
  ask.PromptTokens = 6100;
  std::set<std::string> engines;
  for (unsigned seed = 0; seed < 10; ++seed) {
    gsFleet fleet = MakeFleet(8);
    gsRandom random(seed);
    engines.insert(gsPlaceRequest(fleet, ask, Now, random).Row->Listed.Id);
  }
  EXPECT_EQ(engines.size(), 1U);
}

TEST(Fleet, IncreasesCostWhenMemoryIsExhausted)
{
  gsFleet fleet = MakeFleet(2);
  gsPlacementRequest ask = MakeLongRequest();
  ask.PromptTokens = 6100;
  ask.UpstreamMemoryTokens = 100000;
  gsFleetFind(fleet, "u1")->OwnLoad.OpenAttempts = 2;
  gsFleetFind(fleet, "u0")->OwnLoad.MemoryTokens = 80000;
  EXPECT_EQ(ChooseId(fleet, ask), "u0");
  gsFleetFind(fleet, "u0")->OthersLoad.MemoryTokens = 12000;
  gsFleetFind(fleet, "u0")->OthersReportedAt = Now;
  EXPECT_EQ(ChooseId(fleet, ask), "u1");
}

TEST(Fleet, SharesUpstreamConnectionsBetweenHosts)
{
  EXPECT_EQ(gsConnectionShare(0, 9), 0U);
  EXPECT_EQ(gsConnectionShare(310, 9), 31U);
  EXPECT_EQ(gsConnectionShare(310, 340), 2U);
  EXPECT_EQ(gsConnectionShare(310, 0), 279U);
  gsFleet fleet = MakeFleet(2);
  gsPlacementRequest ask = MakeLongRequest();
  ask.MaxOwnAttempts = 3;
  fleet.Rows[0].OwnLoad.OpenAttempts = 3;
  gsRandom random(1);
  for (int i = 0; i < 3; ++i) {
    gsFleetRow* row = gsPlaceRequest(fleet, ask, Now, random).Row;
    ASSERT_EQ(row, &fleet.Rows[1]);
    row->OwnLoad.OpenAttempts += 1;
  }
  gsPlacement none = gsPlaceRequest(fleet, ask, Now, random);
  EXPECT_EQ(none.Row, nullptr);
  EXPECT_EQ(none.Cause, gsPlacementCause::NoConnection);
}

// Guards against requests of a subject queuing at its preferred engine while
// other engines have free slots. Under high load, half of the tight requests
// began after their target.
TEST(Fleet, MovesSubjectWhenEngineWouldMissTarget)
{
  gsFleet fleet = MakeFleet(6);
  std::vector<gsPromptPart> parts{ { 1, 50 }, { 2, 148 }, { 3, 430 } };
  gsPlacementRequest ask = MakeLongRequest();
  ask.Parts = &parts;
  ask.PromptTokens = 628;
  ask.MillisPerToken = 0.015;
  ask.TargetTokens = 250 / ask.MillisPerToken;
  gsRandom random(1);
  gsFleetRow& preferred = *gsPlaceRequest(fleet, ask, Now, random).Row;
  gsRecordCachedParts(fleet, preferred, parts, Now);
  for (int i = 0; i < 40; ++i) {
    gsRecordSlotHold(fleet, preferred, gsMilliseconds(1200));
  }
  preferred.OwnLoad.OpenAttempts = preferred.Listed.Slots - 1;
  EXPECT_EQ(gsPlaceRequest(fleet, ask, Now, random).Row, &preferred);
  preferred.OthersLoad.OpenAttempts = 4;
  preferred.OthersReportedAt = Now;
  gsFleetRow* next = gsPlaceRequest(fleet, ask, Now, random).Row;
  EXPECT_NE(next, &preferred);
  // If all engines are equally full, the subject stays at the engine that has
  // cached its parts.
  for (gsFleetRow& row : fleet.Rows) {
    row.OwnLoad.OpenAttempts = row.Listed.Slots + 3;
  }
  preferred.OthersLoad.OpenAttempts = 0;
  EXPECT_EQ(gsPlaceRequest(fleet, ask, Now, random).Row, &preferred);
}

// Guards against repeated rejections: an engine that was full with requests of
// hosts that had lost power rejected all new requests for its subjects, and
// hosts kept sending them.
TEST(Fleet, CountsEngineAsFullAfterRejection)
{
  gsFleet fleet = MakeFleet(6);
  std::vector<gsPromptPart> parts{ { 1, 50 }, { 2, 148 }, { 3, 430 } };
  gsPlacementRequest ask = MakeLongRequest();
  ask.Parts = &parts;
  ask.PromptTokens = 628;
  ask.MillisPerToken = 0.015;
  ask.TargetTokens = 250 / ask.MillisPerToken;
  gsRandom random(1);
  gsFleetRow& preferred = *gsPlaceRequest(fleet, ask, Now, random).Row;
  gsRecordSlotHold(fleet, preferred, gsMilliseconds(4000));
  gsRecordRejection(fleet, preferred, Now);
  EXPECT_NE(gsPlaceRequest(fleet, ask, Now, random).Row, &preferred);
  // The load reported to other hosts includes all slots.
  EXPECT_EQ(gsOwnLoad(preferred, Now).OpenAttempts, preferred.Listed.Slots);
  gsTime later = Now + gsSeconds(1);
  EXPECT_EQ(gsOwnLoad(preferred, later).OpenAttempts, 0U);
  EXPECT_EQ(gsPlaceRequest(fleet, ask, later, random).Row, &preferred);
}

// Guards against herding: within 0.2 s, 21 hosts sent requests that left their
// preferred engines to the one engine that appeared half empty to all of them,
// and it rejected further requests.
TEST(Fleet, SpreadsRequestsThatLeaveTheirEngine)
{
  gsFleet fleet = MakeFleet(20);
  gsPlacementRequest ask = MakeLongRequest();
  ask.PromptTokens = 628;
  ask.MillisPerToken = 0.015;
  ask.TargetTokens = 250 / ask.MillisPerToken;
  gsRandom random(1);
  for (gsFleetRow& row : fleet.Rows) {
    gsRecordSlotHold(fleet, row, gsMilliseconds(1200));
    row.OthersLoad.OpenAttempts = 5;
    row.OthersReportedAt = Now;
  }
  fleet.Rows[7].OthersLoad.OpenAttempts = 0; // The emptiest for all hosts.
  std::map<std::string, int> chosen;
  std::map<std::uint64_t, std::set<std::string>> engines;
  for (std::uint64_t i = 0; i < 60; ++i) {
    std::uint64_t subject = 100 + i % 30;
    std::vector<gsPromptPart> parts{ { 1, 50 }, { subject, 148 }, { i, 430 } };
    ask.Parts = &parts;
    gsFleetRow& preferred = *gsPlaceRequest(fleet, ask, Now, random).Row;
    gsTime full = preferred.FullUntil;
    gsRecordRejection(fleet, preferred, Now);
    std::string next = gsPlaceRequest(fleet, ask, Now, random).Row->Listed.Id;
    preferred.FullUntil = full;
    ++chosen[next];
    engines[subject].insert(next);
  }
  for (auto const& [id, times] : chosen) {
    EXPECT_LE(times, 12) << id;
  }
  // Each subject always goes to the same engine, which has cached its parts.
  for (auto const& [subject, ids] : engines) {
    EXPECT_EQ(ids.size(), 1U) << subject;
  }
}

// Guards against subjects that leave their preferred engine for any engine
// that has cached the prefix of all prompts, instead of the next engine in the
// order of the subject.
TEST(Fleet, IgnoresCommonPrefixWhenChoosingNextEngine)
{
  gsFleet fleet = MakeFleet(20);
  std::vector<gsPromptPart> parts{ { 1, 10 }, { 2, 5000 }, { 3, 600 } };
  gsPlacementRequest ask = MakeLongRequest();
  ask.Parts = &parts;
  ask.PromptTokens = 5610;
  std::string preferred = ChooseId(fleet, ask);
  gsFleetFind(fleet, preferred)->OwnLoad.PendingPromptTokens = 10'000'000;
  std::string next = ChooseId(fleet, ask);
  ASSERT_NE(next, preferred);
  std::vector<gsPromptPart> others{ { 1, 10 }, { 7, 4000 } };
  for (gsFleetRow& row : fleet.Rows) {
    if (row.Listed.Id != next) {
      gsRecordCachedParts(fleet, row, others, Now);
    }
  }
  EXPECT_EQ(ChooseId(fleet, ask), next);
}

namespace {

/** A fleet, and a request of a subject whose cached parts can be transferred
 * between engines. */
struct TransferCase
{
  explicit TransferCase(int upstreams)
    : Fleet(MakeFleet(upstreams))
  {
    this->Ask.Parts = &this->Parts;
    this->Ask.PromptTokens = 6100;
    this->Ask.CanTransferParts = true;
  }

  gsPlacement Place()
  {
    gsRandom random(1);
    return gsPlaceRequest(this->Fleet, this->Ask, Now, random);
  }

  std::vector<gsPromptPart> Parts{ { 1, 500 }, { 2, 5000 }, { 3, 600 } };
  gsFleet Fleet;
  gsPlacementRequest Ask = MakeLongRequest();
};

} // namespace

// Guards against processing a subject again on each engine that it moves to.
TEST(Fleet, TransfersPartsFromPreferredEngineWhenSubjectMoves)
{
  TransferCase test(6);
  gsFleetRow* preferred = test.Place().Row;
  preferred->OwnLoad.PendingPromptTokens = 10'000'000;
  gsPlacement placed = test.Place();
  ASSERT_NE(placed.Row, preferred);
  EXPECT_EQ(placed.TransferSource, preferred);
  EXPECT_EQ(placed.TokensToRead, 600U);
  gsRecordCachedParts(test.Fleet, *placed.Row, test.Parts, Now);
  EXPECT_EQ(test.Place().Row, placed.Row);
  EXPECT_EQ(test.Place().TransferSource, nullptr);
}

TEST(Fleet, TransfersPartsFromNextEngineWhenPreferredEngineMayLackThem)
{
  TransferCase test(6);
  gsFleetRow* preferred = test.Place().Row;
  preferred->OwnLoad.PendingPromptTokens = 10'000'000;
  gsFleetRow const* next = test.Place().Row;
  preferred->OwnLoad.PendingPromptTokens = 0;
  EXPECT_EQ(test.Place().Row, preferred);
  EXPECT_EQ(test.Place().TransferSource, next);
}

TEST(Fleet, TransfersPartsFromPreviousEngineAfterArrangementChange)
{
  TransferCase test(20);
  gsEngineArrangement arrangement;
  arrangement.Version = 1;
  arrangement.LongEngines = 12;
  gsAdoptArrangement(test.Fleet, "model", arrangement);
  int changed = 0;
  for (std::uint64_t subject = 100; subject < 150; ++subject) {
    test.Parts[1].Id = subject;
    arrangement.Version += 1;
    arrangement.LongEngines = 12;
    gsAdoptArrangement(test.Fleet, "model", arrangement);
    gsFleetRow const* before = test.Place().Row;
    arrangement.Version += 1;
    arrangement.LongEngines = 6;
    gsAdoptArrangement(test.Fleet, "model", arrangement);
    gsPlacement placed = test.Place();
    if (placed.Row != before) {
      ++changed;
      EXPECT_EQ(placed.TransferSource, before);
    }
  }
  EXPECT_GE(changed, 10);
}

TEST(Fleet, TransfersPartsOnlyIfSupportedAndWorthwhile)
{
  TransferCase test(6);
  gsFleetRow* preferred = test.Place().Row;
  preferred->OwnLoad.PendingPromptTokens = 10'000'000;
  gsRecordUnreachable(*preferred, Now);
  gsFleetRow const* holder = test.Place().TransferSource;
  EXPECT_NE(holder, preferred);
  gsRecordReceived(test.Fleet, *preferred, Now);
  test.Ask.CanTransferParts = false;
  EXPECT_EQ(test.Place().TransferSource, nullptr);
  test.Ask.CanTransferParts = true;
  test.Parts = { { 1, 20 }, { 2, 30 }, { 3, 6050 } };
  EXPECT_EQ(test.Place().TransferSource, nullptr);
}

TEST(Fleet, MeasuresMinEventIntervalDespitePromptProcessing)
{
  gsFleet fleet = MakeFleet(2);
  gsFleetRow& row = fleet.Rows[0];
  for (int i = 0; i < 48; ++i) {
    gsRecordEventInterval(fleet, row, gsMilliseconds(i % 12 == 5 ? 30 : 150),
                          Now);
  }
  EXPECT_DOUBLE_EQ(gsEventIntervalMillis(row), 30);
}

TEST(Fleet, UpdatesEventIntervalWhenEngineBecomesSlower)
{
  gsFleet fleet = MakeFleet(2);
  gsFleetRow& row = fleet.Rows[0];
  auto recordIntervals = [&](int millis, gsTime now) {
    for (int i = 0; i < 24; ++i) {
      gsRecordEventInterval(fleet, row, gsMilliseconds(millis), now);
    }
  };
  recordIntervals(30, Now);
  recordIntervals(120, Now + gsSeconds(1));
  EXPECT_DOUBLE_EQ(gsEventIntervalMillis(row),
                   30); // The engine may only have been busy.
  recordIntervals(120, Now + gsSeconds(6));
  EXPECT_DOUBLE_EQ(gsEventIntervalMillis(row), 120);
  // The event interval expires if it is not measured again.
  gsExpireEventIntervals(fleet, Now + gsSeconds(17));
  EXPECT_DOUBLE_EQ(gsEventIntervalMillis(row), 0);
}

// Guards against leaving the preferred engine too early. A host that has sent
// few requests of a subject assumed that the preferred engine holds none of
// its parts and misses the target, and chose an engine known to hold the parts
// that all subjects share. With 87 hosts, the median subject was sent to five
// engines.
TEST(Fleet, KeepsPreferredEngineWhenOthersHoldOnlyCommonParts)
{
  for (bool mayMove : { false, true }) {
    TransferCase test(40);
    test.Parts = { { 1, 2500 }, { 2, 3800 }, { 3, 2900 } };
    test.Ask.PromptTokens = 9200;
    test.Ask.CanTransferParts = mayMove;
    gsFleetRow const* preferred = test.Place().Row;
    for (gsFleetRow& row : test.Fleet.Rows) {
      if (&row != preferred) {
        gsRecordCachedParts(test.Fleet, row, { { 1, 2500 } }, Now);
      }
    }
    test.Ask.MillisPerToken = 0.05;
    test.Ask.TargetTokens = 10000;
    EXPECT_EQ(test.Place().Row, preferred);
    // The preferred engine is left if the target is missed although it holds
    // the subject.
    gsFleetFind(test.Fleet, preferred->Listed.Id)
      ->OwnLoad.PendingPromptTokens = 40000;
    EXPECT_NE(test.Place().Row, preferred);
  }
}
