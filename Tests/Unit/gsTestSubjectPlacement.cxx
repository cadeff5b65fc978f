/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Which engines serve a subject, by the prefix directory. */
#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "gsArrangement.h"
#include "gsPrefixSystem.h"
#include "gsSettings.h"
#include "gsSubjectPlacement.h"

using namespace gsPrefixCases;

namespace {

constexpr std::uint64_t Subject = 7;

/** Makes a quarter of the engines 2.2 times slower. */
void SlowDownAQuarter(System& system)
{
  int i = 0;
  for (auto& [id, engine] : system.Engines) {
    engine.Speed = i++ % 4 == 0 ? 1 / 2.2 : 1;
  }
}

/** Own prompt tokens: a tenth of the requests have three times the mean, one
 * in 100 ten times. */
std::uint32_t DrawOwnTokens(System& system, Kind const& kind)
{
  std::uint64_t draw = system.Random() % 100;
  double factor = draw == 0 ? 10 : draw < 11 ? 3 : 0.64;
  return static_cast<std::uint32_t>(factor * kind.OwnTokens);
}

/** Sends requests of a number of subjects at a rate per second until a time.
 * Their lengths differ unless isSameLength is set, so that the demand of a
 * subject is not constant. */
void SendEvenly(System& system, Kind const& kind, std::size_t subjects,
                std::uint64_t firstSubject, double perSecond, gsTime until,
                bool isSameLength = false)
{
  double due = 0;
  system.Run(until, [&](gsTime) {
    due += perSecond * 0.005;
    auto count = static_cast<std::size_t>(due);
    due -= static_cast<double>(count);
    for (std::size_t i = 0; i < count; ++i) {
      std::uint64_t subject = firstSubject + system.Random() % subjects;
      system.Request(subject, kind,
                     isSameLength ? 0 : DrawOwnTokens(system, kind));
    }
  });
}

/** Charges an engine with pending prompt tokens as seen by all hosts. */
void LoadEngine(System& system, std::string const& id, double millis)
{
  system.ForEachHost([&](Host& host) {
    gsFleetRow* row = gsFleetFind(host.Fleet, id);
    row->OthersLoad.PendingPromptTokens =
      static_cast<std::uint64_t>(millis * TokensPerMilli);
    row->OthersReportedAt = system.Now;
  });
}

/** The engine of a subject that has been served for a moment. */
std::string ServeOnce(System& system)
{
  std::string home = system.Request(0, Subject, {});
  system.Run(system.Now + gsSeconds(1));
  return home;
}

} // namespace

// Load: many subjects simultaneously on engines with empty caches. Guards
// against shared parts that several engines process at the start.
TEST(SubjectPlacement, ManySubjectsOnEnginesWithEmptyCaches)
{
  System system(69, 3, 60, 11);
  SlowDownAQuarter(system);
  Kind summary;
  system.Run(system.Now + gsSeconds(1));
  gsTime start = system.Now;
  SendEvenly(system, summary, 330, 1000, 200, start + gsSeconds(1));
  std::size_t pairs = 0;
  for (auto const& [subject, engines] : system.Result.EnginesOf) {
    pairs += engines.size();
  }
  auto subjects = static_cast<double>(system.Result.EnginesOf.size());
  EXPECT_LT(static_cast<double>(pairs), 1.2 * subjects);
  EXPECT_EQ(system.Result.SharedReads, pairs);
  system.Run(system.Now + gsSeconds(8));
  RecordProperty("late", static_cast<int>(system.Result.Late));
  std::printf("requests=%zu subjects=%.0f reads=%zu late=%zu\n",
              static_cast<std::size_t>(system.Result.Requests), subjects,
              static_cast<std::size_t>(system.Result.SharedReads),
              static_cast<std::size_t>(system.Result.Late));
}

// Load: a burst of 2.7 times of long prompts. Guards against load that feeds
// itself, since requests that leave busy engines are processed in full.
TEST(SubjectPlacement, ABurstOf2p7TimesOfLongPrompts)
{
  System system(69, 3, 60, 12);
  SlowDownAQuarter(system);
  Kind summary;
  system.Run(system.Now + gsSeconds(1));
  gsTime start = system.Now;
  SendEvenly(system, summary, 330, 1000, 2.7 * 78.8, start + gsSeconds(9));
  std::size_t most = 0;
  for (auto const& [subject, engines] : system.Result.EnginesOf) {
    most = std::max(most, engines.size());
  }
  std::printf("requests=%zu reads=%zu most=%zu late=%zu unplaced=%zu "
              "kb_per_second=%.1f\n",
              static_cast<std::size_t>(system.Result.Requests),
              static_cast<std::size_t>(system.Result.SharedReads), most,
              static_cast<std::size_t>(system.Result.Late),
              static_cast<std::size_t>(system.Result.Unplaced),
              static_cast<double>(system.Result.Bytes) / 9 / 1e3 / 69);
  EXPECT_EQ(system.Result.Unplaced, 0U);
  EXPECT_LE(most, 8U);
  EXPECT_LT(static_cast<double>(system.Result.SharedReads), 2.0 * 330);
  EXPECT_LT(static_cast<double>(system.Result.Late),
            0.25 * static_cast<double>(system.Result.Requests));
}

// Load: one subject with a quarter of a kind's requests. Guards against a
// subject that stays at one engine when it needs several.
TEST(SubjectPlacement, OneSubjectWithAQuarterOfAKindsRequests)
{
  System system(69, 3, 60, 13);
  Kind summary;
  system.Run(system.Now + gsSeconds(1));
  gsTime start = system.Now;
  double due = 0;
  std::uint64_t lateBefore = 0;
  system.Run(start + gsSeconds(12), [&](gsTime now) {
    due += 2.7 * 20 * 0.005;
    auto count = static_cast<std::size_t>(due);
    due -= static_cast<double>(count);
    for (std::size_t i = 0; i < count; ++i) {
      system.Request(Subject, summary, DrawOwnTokens(system, summary));
    }
    if (now < start + gsSeconds(6)) {
      lateBefore = system.Result.Late;
    }
  });
  std::set<std::string> serving = system.ServingAt(40, Subject);
  EXPECT_GE(serving.size(), 5U);
  EXPECT_LE(system.Result.EnginesOf[Subject].size(), 9U);
  for (std::size_t i = 0; i < system.Hosts.size(); ++i) {
    EXPECT_EQ(system.ServingAt(i, Subject), serving) << i;
  }
  EXPECT_LT(system.Result.Late - lateBefore, 20U) << "once it has grown";
}

// Load: engines that crash and return with an empty cache. Guards against a
// second wave when they return.
TEST(SubjectPlacement, EnginesThatCrashAndReturnWithAnEmptyCache)
{
  System system(24, 3, 20, 14);
  Kind notes;
  notes.SharedTokens = 6300;
  notes.OwnTokens = 2890;
  system.Run(system.Now + gsSeconds(1));
  for (std::uint64_t subject = 1000; subject < 1060; ++subject) {
    system.Request(subject, notes);
    system.Run(system.Now + gsMilliseconds(50));
  }
  SendEvenly(system, notes, 60, 1000, 40, system.Now + gsSeconds(5), true);
  std::map<std::uint64_t, std::string> before;
  std::set<std::string> crashed;
  for (int i = 0; i < 5; ++i) {
    crashed.insert("e" + std::to_string(i));
  }
  for (std::uint64_t subject = 1000; subject < 1060; ++subject) {
    before[subject] = system.Choose(0, subject, notes);
  }
  for (std::string const& engine : crashed) {
    system.Crash(engine);
  }
  for (std::uint64_t subject = 1000; subject < 1060; ++subject) {
    system.Request(subject, notes);
    system.Run(system.Now + gsMilliseconds(50));
  }
  SendEvenly(system, notes, 60, 1000, 40, system.Now + gsSeconds(4), true);
  std::map<std::uint64_t, std::string> during;
  for (std::uint64_t subject = 1000; subject < 1060; ++subject) {
    during[subject] = system.Choose(0, subject, notes);
    EXPECT_EQ(system.ChoiceCount(subject, notes), 1U) << subject;
    if (crashed.count(before[subject]) == 0) {
      EXPECT_EQ(during[subject], before[subject]) << "an untouched subject";
    }
  }
  std::uint64_t reads = system.Result.SharedReads;
  for (std::string const& engine : crashed) {
    system.Restart(engine);
  }
  SendEvenly(system, notes, 60, 1000, 40, system.Now + gsSeconds(6), true);
  EXPECT_EQ(system.Result.SharedReads, reads) << "no second wave";
  for (std::uint64_t subject = 1000; subject < 1060; ++subject) {
    EXPECT_EQ(system.Choose(0, subject, notes), during[subject]);
  }
}

namespace {

/** Lets all hosts adopt an arrangement with a number of long engines. */
void Arrange(System& system, std::uint64_t version, std::uint32_t longEngines)
{
  system.ForEachHost([&](Host& host) {
    gsEngineArrangement arrangement;
    arrangement.Version = version;
    arrangement.LongEngines = longEngines;
    gsAdoptArrangement(host.Fleet, "model", arrangement);
  });
}

} // namespace

// Load: a change of the arrangement. Guards against subjects that move though
// their engine is still in their group.
TEST(SubjectPlacement, AChangeOfTheArrangement)
{
  System system(24, 3, 20, 15);
  Kind summary;
  summary.Group = gsFleetGroup::Long;
  Arrange(system, 1, 10);
  for (std::uint64_t subject = 1000; subject < 1060; ++subject) {
    system.Request(subject, summary);
    system.Run(system.Now + gsMilliseconds(50));
  }
  SendEvenly(system, summary, 60, 1000, 30, system.Now + gsSeconds(4), true);
  std::map<std::uint64_t, std::string> before;
  for (std::uint64_t subject = 1000; subject < 1060; ++subject) {
    before[subject] = system.Choose(3, subject, summary);
  }
  std::uint64_t reads = system.Result.SharedReads;
  Arrange(system, 2, 15);
  SendEvenly(system, summary, 60, 1000, 30, system.Now + gsSeconds(4), true);
  EXPECT_EQ(system.Result.SharedReads, reads) << "a larger group";
  for (std::uint64_t subject = 1000; subject < 1060; ++subject) {
    EXPECT_EQ(system.Choose(3, subject, summary), before[subject]);
  }
  Arrange(system, 3, 6);
  gsFleet const& fleet = system.Hosts[3].Fleet;
  for (std::uint64_t subject = 1000; subject < 1060; ++subject) {
    std::string after = system.Choose(3, subject, summary);
    gsFleetRow const& old = fleet.Rows[fleet.ById.at(before[subject])];
    gsFleetRow const& chosen = fleet.Rows[fleet.ById.at(after)];
    EXPECT_TRUE(gsIsLongEngine(fleet, chosen));
    EXPECT_EQ(after == before[subject], gsIsLongEngine(fleet, old));
    EXPECT_EQ(system.ChoiceCount(subject, summary), 1U);
  }
}

// Guards against a holder outside the group that serves beside those of the
// group, and against one that is not used as a source of the transfer.
TEST(SubjectPlacement, AHolderOutsideTheGroupIsATransferSource)
{
  System system(1, 1, 10, 16);
  Kind summary;
  summary.Group = gsFleetGroup::Long;
  Arrange(system, 1, 9);
  gsFleet& fleet = system.Hosts[0].Fleet;
  std::vector<std::size_t> ranked = fleet.ByService.at("model");
  std::string home;
  std::uint64_t subject = 100;
  while (home != fleet.Rows[ranked[8]].Listed.Id) {
    home = system.Choose(0, ++subject, summary);
  }
  system.Request(0, subject, summary);
  system.Run(system.Now + gsSeconds(1));
  Arrange(system, 2, 4);
  std::vector<gsPromptPart> parts{ { subject, 13300 }, { 1, 3720 } };
  gsPlacementRequest ask;
  ask.Service = "model";
  ask.Parts = &parts;
  ask.PromptTokens = 17020;
  ask.Group = gsFleetGroup::Long;
  ask.MillisPerToken = 1 / TokensPerMilli;
  ask.TargetTokens = 2000 * TokensPerMilli;
  ask.CanTransferParts = true;
  gsPlacement placement =
    gsPlaceRequest(fleet, ask, system.Now, system.Random);
  ASSERT_NE(placement.Row, nullptr);
  EXPECT_TRUE(gsIsLongEngine(fleet, *placement.Row));
  ASSERT_NE(placement.TransferSource, nullptr);
  EXPECT_EQ(placement.TransferSource->Listed.Id, home);
  EXPECT_EQ(placement.TokensToRead, 3720U);
  EXPECT_EQ(placement.Subject.Cause, gsSubjectCause::Moved);
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.Rows[ranked[i]].AvoidUntil = gsSeconds(1000);
  }
  EXPECT_EQ(system.Choose(0, subject, summary), home)
    << "the group has no eligible engine";
}

// Guards against requests that leave the engines of a subject because these
// are busy.
TEST(SubjectPlacement, ABusyEngineKeepsItsSubjectUpToTheTarget)
{
  System system(9, 3, 20, 17);
  std::string home = ServeOnce(system);
  LoadEngine(system, home, 1700);
  EXPECT_EQ(system.Choose(4, Subject, {}), home);
  EXPECT_EQ(system.ChoiceCount(Subject, {}), 1U);
}

// Guards against a subject that stays with an overloaded engine, as a tenth of
// the engines were in a trial with one home per subject.
TEST(SubjectPlacement, ASecondEngineIsAddedWhenTheFirstWouldMissTheTarget)
{
  System system(9, 3, 20, 18);
  std::string home = ServeOnce(system);
  LoadEngine(system, home, 2500);
  std::string second = system.Choose(4, Subject, {});
  EXPECT_NE(second, home);
  EXPECT_EQ(system.ChoiceCount(Subject, {}), 1U) << "the same on all hosts";
  EXPECT_EQ(system.Request(4, Subject, {}), second);
  EXPECT_EQ(system.ServingAt(4, Subject),
            (std::set<std::string>{ home, second }));
  // Within a second no other is added, however busy both are.
  LoadEngine(system, second, 2600);
  LoadEngine(system, home, 2500);
  system.Hosts[4].Fleet.Prefixes.Pending.clear();
  EXPECT_EQ(system.Choose(4, Subject, {}), home);
}

// Guards against an added engine that is itself nearly as busy.
TEST(SubjectPlacement, AnEngineOverHalfOfTheTargetIsSkipped)
{
  System system(9, 3, 20, 19);
  std::string home = ServeOnce(system);
  LoadEngine(system, home, 2500);
  std::string second = system.Choose(4, Subject, {});
  LoadEngine(system, home, 2500);
  // 1000 ms of the target less 333 ms for the prompt.
  LoadEngine(system, second, 700);
  std::string third = system.Choose(4, Subject, {});
  EXPECT_NE(third, home);
  EXPECT_NE(third, second);
  LoadEngine(system, second, 640);
  EXPECT_EQ(system.Choose(4, Subject, {}), second);
  system.ForEachHost([&](Host& host) {
    for (gsFleetRow& row : host.Fleet.Rows) {
      row.OthersReportedAt = system.Now;
      row.OthersLoad.PendingPromptTokens = 200000;
    }
  });
  LoadEngine(system, home, 3000);
  EXPECT_EQ(system.Choose(4, Subject, {}), home)
    << "all are busy: admission decides, not the directory";
}

// Guards against a set that does not shrink, or that shrinks at once.
TEST(SubjectPlacement, AnEngineIsRemovedAfter5SecondsWithoutNeed)
{
  System system(9, 3, 20, 20);
  std::string home = ServeOnce(system);
  LoadEngine(system, home, 2500);
  std::string second = system.Request(4, Subject, {});
  LoadEngine(system, home, 0);
  auto use = [&](gsTime until) {
    int step = 0;
    system.Run(until, [&](gsTime) {
      if (step++ % 100 == 0) {
        system.Request(Subject, {});
      }
    });
  };
  use(system.Now + gsSeconds(4));
  EXPECT_EQ(system.ServingAt(2, Subject).size(), 2U);
  use(system.Now + gsSeconds(6));
  for (std::size_t i = 0; i < system.Hosts.size(); ++i) {
    EXPECT_EQ(system.ServingAt(i, Subject).size(), 1U) << i;
  }
  EXPECT_EQ(system.ChoiceCount(Subject, {}), 1U);
}

// Guards against hosts that use different engines since only some of them send
// requests that find the first engine busy.
TEST(SubjectPlacement, AnEngineThatOneHostNeedsIsKeptByAll)
{
  System system(9, 3, 20, 27);
  std::string home = ServeOnce(system);
  LoadEngine(system, home, 2500);
  std::string second = system.Request(4, Subject, {});
  int step = 0;
  system.Run(system.Now + gsSeconds(15), [&](gsTime) {
    if (step++ % 100 == 0) {
      LoadEngine(system, home, 1500);
      system.Request(4, Subject, {});
    }
  });
  for (std::size_t i = 0; i < system.Hosts.size(); ++i) {
    EXPECT_EQ(system.ServingAt(i, Subject),
              (std::set<std::string>{ home, second }))
      << i;
  }
}

// Several hosts that exchange updates over relays with delay and loss choose
// the same engines.
TEST(SubjectPlacement, HostsChooseTheSameEnginesInSpiteOfDelayAndLoss)
{
  System system(30, 3, 24, 21);
  system.LossShare = 0.1;
  Kind summary;
  SendEvenly(system, summary, 100, 1000, 60, system.Now + gsSeconds(12));
  system.Run(system.Now + gsSeconds(1));
  int agreed = 0;
  for (std::uint64_t subject = 1000; subject < 1100; ++subject) {
    agreed += system.ChoiceCount(subject, summary) == 1 ? 1 : 0;
  }
  EXPECT_GE(agreed, 97);
  EXPECT_LT(system.Result.SharedReads, 115U);
}

// Failure: a holding of an engine without a row is dropped.
TEST(SubjectPlacement, AHoldingOfAnEngineWithoutARowIsDropped)
{
  System system(3, 1, 5, 22);
  std::string home = ServeOnce(system);
  gsFleet& fleet = system.Hosts[1].Fleet;
  EXPECT_EQ(fleet.Prefixes.HoldingCount, 1U);
  gsFleetRemove(fleet, home, system.Now);
  std::string next = system.Choose(1, Subject, {});
  EXPECT_FALSE(next.empty());
  EXPECT_NE(next, home);
  gsReduceSubjectEngines(fleet, system.Now);
  EXPECT_EQ(fleet.Prefixes.HoldingCount, 0U);
}

// Failure: a host that starts requests no holdings. It has the same order.
TEST(SubjectPlacement, AHostThatStartsUsesTheSameOrder)
{
  System system(6, 2, 20, 23);
  std::string home = ServeOnce(system);
  system.Hosts[3].Fleet.Prefixes.Subjects.clear();
  system.Hosts[3].Fleet.Prefixes.HoldingCount = 0;
  EXPECT_EQ(system.Choose(3, Subject, {}), home);
}

// Guards against work that is done for nothing: processing a short part again
// takes less time than the queue that its only engine would have.
TEST(SubjectPlacement, ShortSharedPartsAreNotTracked)
{
  System system(3, 1, 5, 24);
  Kind tags;
  tags.SharedTokens = 350;
  tags.OwnTokens = 1110;
  gsPlacementRequest ask;
  std::vector<gsPromptPart> parts{ { Subject, 350 }, { 1, 1110 } };
  ask.Service = "model";
  ask.Parts = &parts;
  EXPECT_FALSE(gsIsTrackedRequest(system.Hosts[0].Fleet.Settings, ask));
  parts[0].Tokens = 1000;
  EXPECT_TRUE(gsIsTrackedRequest(system.Hosts[0].Fleet.Settings, ask));
  system.Hosts[0].Fleet.Settings.Prefixes.Mode = gsFeatureMode::Off;
  EXPECT_FALSE(gsIsTrackedRequest(system.Hosts[0].Fleet.Settings, ask));
}

// Guards against a dry run that changes placement, or shows no decision.
TEST(SubjectPlacement, ADryRunDecidesAndChangesNothing)
{
  auto place = [](gsFeatureMode mode) {
    System system(9, 3, 20, 25);
    system.ForEachHost(
      [&](Host& host) { host.Fleet.Settings.Prefixes.Mode = mode; });
    std::string home = system.Choose(0, Subject, {});
    LoadEngine(system, home, 1000);
    gsRandom random(1);
    std::vector<gsPromptPart> parts{ { Subject, 13300 }, { 1, 3720 } };
    gsPlacementRequest ask;
    ask.Service = "model";
    ask.Parts = &parts;
    ask.PromptTokens = 17020;
    ask.MillisPerToken = 1 / TokensPerMilli;
    ask.TargetTokens = 2000 * TokensPerMilli;
    return gsPlaceRequest(system.Hosts[0].Fleet, ask, system.Now, random);
  };
  // Rows are compared by their ids while the systems that own them are gone:
  // only the decision's members that are values are read.
  gsPlacement off = place(gsFeatureMode::Off);
  gsPlacement dry = place(gsFeatureMode::DryRun);
  EXPECT_FALSE(off.Subject.IsTracked);
  EXPECT_TRUE(dry.Subject.IsTracked);
  EXPECT_EQ(dry.Subject.Cause, gsSubjectCause::First);
  EXPECT_EQ(off.Cost, dry.Cost);
  EXPECT_EQ(off.CandidateCount, dry.CandidateCount);
  EXPECT_EQ(off.TokensToRead, dry.TokensToRead);
}

// Guards against a request that is refused since the engines of its subject
// are full and none may be added, although other engines have room, and
// against one that is placed when all are full.
TEST(SubjectPlacement, AFullSetIsReportedAsFull)
{
  System system(1, 1, 3, 26);
  std::string home = ServeOnce(system);
  gsFleet& fleet = system.Hosts[0].Fleet;
  for (gsFleetRow& row : fleet.Rows) {
    row.OthersReportedAt = system.Now;
    row.OthersLoad.PendingPromptTokens = 200000;
    row.OthersLoad.OpenAttempts = 200;
  }
  std::vector<gsPromptPart> parts{ { Subject, 13300 }, { 1, 3720 } };
  gsPlacementRequest ask;
  ask.Service = "model";
  ask.Parts = &parts;
  ask.PromptTokens = 17020;
  ask.MoreUrgentKinds = 2;
  ask.MillisPerToken = 1 / TokensPerMilli;
  ask.TargetTokens = 2000 * TokensPerMilli;
  gsRandom random(1);
  gsPlacement placement = gsPlaceRequest(fleet, ask, system.Now, random);
  EXPECT_EQ(placement.Row, nullptr);
  EXPECT_EQ(placement.Cause, gsPlacementCause::Full);
  // The others have room, but are too busy to be added.
  for (gsFleetRow& row : fleet.Rows) {
    row.OthersLoad.OpenAttempts = row.Listed.Id == home ? 200 : 10;
  }
  placement = gsPlaceRequest(fleet, ask, system.Now, random);
  ASSERT_NE(placement.Row, nullptr);
  EXPECT_NE(placement.Row->Listed.Id, home);
  EXPECT_EQ(placement.Subject.Row, nullptr) << "not chosen by the directory";
  // An engine with a short queue takes it.
  gsFleetRow* other = nullptr;
  for (gsFleetRow& row : fleet.Rows) {
    other = row.Listed.Id != home ? &row : other;
  }
  other->OthersLoad.PendingPromptTokens = 0;
  placement = gsPlaceRequest(fleet, ask, system.Now, random);
  EXPECT_EQ(placement.Row, other);
  EXPECT_EQ(placement.Subject.Cause, gsSubjectCause::Pressure);
}

namespace {

/** Lets all hosts use the speeds of engines. */
void UseSpeeds(System& system)
{
  system.ForEachHost(
    [](Host& host) { host.Fleet.Settings.EngineSpeed = gsFeatureMode::On; });
}

/** A request of Subject with neither a target nor a measured speed. */
struct UntargetedRequest
{
  std::vector<gsPromptPart> Parts{ { Subject, 13300 }, { 1, 3720 } };
  gsPlacementRequest Ask;

  UntargetedRequest()
  {
    this->Ask.Service = "model";
    this->Ask.Parts = &this->Parts;
    this->Ask.PromptTokens = 17020;
  }
};

/** Id of the engine that a host chooses for a request; empty if none. */
std::string Place(System& system, gsPlacementRequest const& ask)
{
  gsPlacement placement =
    gsPlaceRequest(system.Hosts[0].Fleet, ask, system.Now, system.Random);
  return placement.Row == nullptr ? "" : placement.Row->Listed.Id;
}

} // namespace

// Load: an engine three times slower for 7 s. Guards against a subject that
// stays with a suspended engine, and one that gets it as its first engine.
TEST(SubjectPlacement, ASuspendedEngineIsLeftWithAndWithoutATarget)
{
  System system(1, 1, 20, 28);
  std::string home = ServeOnce(system);
  gsFleetFind(system.Hosts[0].Fleet, home)->Speed.SuspendedAt = system.Now;
  UntargetedRequest untargeted;
  EXPECT_EQ(system.Choose(0, Subject, {}), home) << "speeds are not used";
  EXPECT_EQ(Place(system, untargeted.Ask), home);
  UseSpeeds(system);
  EXPECT_NE(system.Choose(0, Subject, {}), home);
  EXPECT_NE(Place(system, untargeted.Ask), home);
  for (std::uint64_t subject = 1000; subject < 1400; ++subject) {
    EXPECT_NE(system.Choose(0, subject, {}), home) << subject;
  }
  // Without another engine, it continues to serve.
  for (gsFleetRow& row : system.Hosts[0].Fleet.Rows) {
    row.AvoidUntil = row.Listed.Id == home ? gsTime{} : gsSeconds(1000);
  }
  EXPECT_EQ(system.Choose(0, Subject, {}), home);
}

// Guards against a returning engine that gets its whole share at once.
TEST(SubjectPlacement, AReturningEngineIsFirstForAnEighthOfItsShare)
{
  System system(1, 1, 10, 29);
  UseSpeeds(system);
  gsFleetFind(system.Hosts[0].Fleet, "e0")->Speed.ReturningSince = system.Now;
  int count = 0;
  for (std::uint64_t subject = 1000; subject < 3000; ++subject) {
    count += system.Choose(0, subject, {}) == "e0" ? 1 : 0;
  }
  EXPECT_GT(count, 10);
  EXPECT_LT(count, 50) << "an eighth of 200";
}

// Guards against a first engine whose pauses under load exceed the target of
// the kind.
TEST(SubjectPlacement, EnginesThatKeepWithinThePauseTargetComeFirst)
{
  System system(1, 1, 4, 30);
  UseSpeeds(system);
  gsFleet& fleet = system.Hosts[0].Fleet;
  fleet.ServiceSpeeds["model"].PauseMillis = 200;
  gsFleetFind(fleet, "e0")->Speed.Decided = 0.5;
  UntargetedRequest request;
  int count = 0;
  for (int i = 0; i < 200; ++i) {
    request.Parts[0].Id = 1000 + static_cast<std::uint64_t>(i);
    request.Ask.MaxIntervalMillis = 300;
    EXPECT_NE(Place(system, request.Ask), "e0");
    request.Ask.MaxIntervalMillis = 100;
    EXPECT_NE(Place(system, request.Ask), "") << "none keeps within it";
    request.Ask.MaxIntervalMillis = 1000;
    count += Place(system, request.Ask) == "e0" ? 1 : 0;
  }
  EXPECT_GT(count, 5);
}

// Guards against a subject of a route without a latency target that stays at
// one engine whatever its demand.
TEST(SubjectPlacement, ASubjectWithoutATargetGrows)
{
  System system(1, 1, 4, 31);
  std::string home = ServeOnce(system);
  LoadEngine(system, home, 2000);
  UntargetedRequest request;
  EXPECT_EQ(Place(system, request.Ask), home);
  gsRecordPrefixDemand(system.Hosts[0].Fleet.Prefixes,
                       gsPrefixKeyOf("model", Subject), 4000, system.Now);
  gsPlacement placement = gsPlaceRequest(system.Hosts[0].Fleet, request.Ask,
                                         system.Now, system.Random);
  ASSERT_NE(placement.Row, nullptr);
  EXPECT_NE(placement.Row->Listed.Id, home);
  EXPECT_EQ(placement.Subject.Cause, gsSubjectCause::Demand);
}

// Guards against a subject that moves since one host has used up its own share
// of the engine's connections.
TEST(SubjectPlacement, AnEngineWithoutAFreeConnectionOfTheHostKeepsItsSubject)
{
  System system(1, 1, 4, 32);
  std::string home = ServeOnce(system);
  gsFleetFind(system.Hosts[0].Fleet, home)->OwnLoad.OpenAttempts = 2;
  UntargetedRequest request;
  request.Ask.MaxOwnAttempts = 2;
  gsPlacement placement = gsPlaceRequest(system.Hosts[0].Fleet, request.Ask,
                                         system.Now, system.Random);
  ASSERT_NE(placement.Row, nullptr);
  EXPECT_NE(placement.Row->Listed.Id, home);
  EXPECT_EQ(placement.Subject.Cause, gsSubjectCause::Pressure)
    << "added, not moved";
}

// Guards against a subject that seems to need more engines when they are busy.
TEST(SubjectPlacement, DemandUsesTheTokenTimeWithoutLoadIfSpeedsAreUsed)
{
  System system(1, 1, 4, 33);
  gsFleet& fleet = system.Hosts[0].Fleet;
  fleet.EngineTimings["model"].TokenMillis = 0.1;
  fleet.EngineTimings["model"].LoadFreeTokenMillis = 0.02;
  UntargetedRequest request;
  EXPECT_DOUBLE_EQ(gsSubjectEngineMillis(fleet, request.Ask), 372);
  UseSpeeds(system);
  EXPECT_DOUBLE_EQ(gsSubjectEngineMillis(fleet, request.Ask), 74.4);
}

TEST(SubjectPlacement, SettingsReachPlacement)
{
  std::string const text = R"({
    "host": "h", "hall": "a",
    "callers": { "listen": "127.0.0.1:1" },
    "operators": { "listen": "127.0.0.1:2", "token": "t" },
    "platform": { "kind": "memory" },
    "prefix_directory": { "mode": "on", "engine_share": 0.5,
                          "min_tokens": 2000 } })";
  auto settings = gsSettingsFromText(text, "settings");
  ASSERT_TRUE(settings) << settings.error().Message;
  gsPrefixPlacementSettings const& prefixes =
    settings.value().Placement.Prefixes;
  EXPECT_EQ(prefixes.Mode, gsFeatureMode::On);
  EXPECT_EQ(prefixes.EngineShare, 0.5);
  EXPECT_EQ(prefixes.MinTokens, 2000U);
}
