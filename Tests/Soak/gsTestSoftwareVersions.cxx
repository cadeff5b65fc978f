/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Streams of a service whose runners have two software versions, on real
 * processes, while runners and hosts are killed. What two versions write does
 * not fit together.
 */
#include <algorithm>
#include <csignal>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsRoutedSystem.h"

namespace {

/** The versions in the events of a body. */
std::set<std::string> VersionsIn(std::string const& body)
{
  std::string const field = "version: ";
  std::set<std::string> versions;
  for (std::size_t at = body.find(field); at != std::string::npos;
       at = body.find(field, at + 1)) {
    std::size_t begin = at + field.size();
    versions.insert(body.substr(begin, body.find('\n', begin) - begin));
  }
  return versions;
}

std::size_t EventCount(std::string const& body)
{
  std::size_t count = 0;
  for (std::size_t at = body.find("id: "); at != std::string::npos;
       at = body.find("id: ", at + 1)) {
    ++count;
  }
  return count;
}

bool AllDone(std::vector<gsRoutedReplyPtr> const& replies)
{
  return std::all_of(
    replies.begin(), replies.end(),
    [](gsRoutedReplyPtr const& reply) { return reply->Done; });
}

class SoftwareVersions : public testing::Test
{
protected:
  static gsRoutedPlan MakePlan()
  {
    gsRoutedPlan plan;
    plan.Hosts = 6;
    plan.Halls = 3;
    plan.Runners = 6;
    plan.Events = 100;
    plan.GapMs = 20;
    plan.Versions = { "v1", "v2" };
    return plan;
  }

  /** Begins streams on some hosts; each has had an event. */
  std::vector<gsRoutedReplyPtr> BeginStreams(
    std::vector<std::string> const& hosts, int count)
  {
    std::vector<gsRoutedReplyPtr> replies;
    for (int i = 0; i < count; ++i) {
      std::string const& host =
        hosts[static_cast<std::size_t>(i) % hosts.size()];
      replies.push_back(this->System.Send(host, "resume"));
    }
    EXPECT_TRUE(this->System.RunUntil([&] {
      return std::all_of(replies.begin(), replies.end(),
                         [](gsRoutedReplyPtr const& reply) {
                           return EventCount(reply->Body) > 0;
                         });
    }));
    return replies;
  }

  gsRoutedSystem System{ MakePlan() };
};

} // namespace

// Guards against a stream that its host resumes at another software version.
TEST_F(SoftwareVersions, AStreamWhoseRunnerIsKilledGoesOnAtItsVersion)
{
  std::vector<gsRoutedReplyPtr> replies =
    this->BeginStreams(this->System.Hosts(), 24);
  this->System.Signal("runner0", SIGKILL);
  this->System.Signal("runner1", SIGKILL);
  ASSERT_TRUE(this->System.RunUntil([&] { return AllDone(replies); }));
  int whole = 0;
  for (gsRoutedReplyPtr const& reply : replies) {
    EXPECT_EQ(VersionsIn(reply->Body).size(), 1U) << reply->Body;
    whole += reply->Good() && EventCount(reply->Body) == 100 ? 1 : 0;
  }
  EXPECT_GE(whole, 12);
}

// The same where no runner of its version is left: it is cut, not mixed.
TEST_F(SoftwareVersions, AStreamWithoutARunnerOfItsVersionIsCut)
{
  std::vector<gsRoutedReplyPtr> replies =
    this->BeginStreams(this->System.Hosts(), 24);
  for (char const* runner : { "runner0", "runner2", "runner4" }) {
    this->System.Signal(runner, SIGKILL);
  }
  ASSERT_TRUE(this->System.RunUntil([&] { return AllDone(replies); }));
  for (gsRoutedReplyPtr const& reply : replies) {
    EXPECT_EQ(VersionsIn(reply->Body).size(), 1U) << reply->Body;
    bool isOfFirst = VersionsIn(reply->Body).count("v1") != 0;
    EXPECT_EQ(reply->Good(), !isOfFirst);
  }
}

// Guards against streams that their callers take up at another host, and that
// go on there at another software version: three hosts are killed at once.
TEST_F(SoftwareVersions, StreamsOfKilledHostsGoOnAtTheirVersionElsewhere)
{
  std::vector<std::string> const killed{ "host0", "host1", "host3" };
  std::vector<std::string> const left{ "host2", "host4", "host5" };
  // Hosts of different halls send each other a heartbeat a second.
  this->System.RunFor(1.5);
  std::vector<gsRoutedReplyPtr> replies = this->BeginStreams(killed, 24);
  for (std::string const& host : killed) {
    this->System.Signal(host, SIGKILL);
  }
  ASSERT_TRUE(this->System.RunUntil([&] { return AllDone(replies); }));
  std::vector<gsRoutedReplyPtr> rests;
  for (std::size_t i = 0; i < replies.size(); ++i) {
    rests.push_back(this->System.Resume(left[i % left.size()], *replies[i]));
  }
  ASSERT_TRUE(this->System.RunUntil([&] { return AllDone(rests); }));
  std::size_t resumed = 0;
  for (std::size_t i = 0; i < rests.size(); ++i) {
    std::string whole = replies[i]->Body;
    whole.resize(whole.rfind("\n\n") + 2);
    whole += rests[i]->Status == 200 ? rests[i]->Body : "";
    EXPECT_EQ(VersionsIn(whole).size(), 1U) << whole;
    bool goesOn = rests[i]->Good() && EventCount(whole) == 100;
    resumed += goesOn ? 1 : 0;
    if (!goesOn) {
      EXPECT_EQ(rests[i]->Status, 503U);
      EXPECT_FALSE(rests[i]->RetryAfter.empty());
    }
  }
  EXPECT_GE(2 * resumed, rests.size());
}

// Guards against a stream of which nothing is known and that goes on anyway.
TEST_F(SoftwareVersions, AStreamThatNobodyKnowsIsRefusedAsNotRun)
{
  gsRoutedReplyPtr reply = this->BeginStreams({ "host0" }, 1).front();
  gsRoutedReply unknown = *reply;
  unknown.Id = "never-begun";
  std::size_t before = this->System.Runs().size();
  gsRoutedReplyPtr rest = this->System.Resume("host1", unknown);
  ASSERT_TRUE(this->System.RunUntil([&] { return rest->Done; }));
  EXPECT_EQ(rest->Status, 503U);
  EXPECT_FALSE(rest->RetryAfter.empty());
  EXPECT_EQ(this->System.Runs().size(), before);
}

// Guards against a stream of a version that was listed for a moment before all
// hosts were killed, so that nothing that outlives them names it.
TEST_F(SoftwareVersions, StreamsAreNotSentToAVersionThatWasJustListed)
{
  std::vector<std::string> const second{ "runner1", "runner3", "runner5" };
  for (std::string const& runner : second) {
    this->System.Unlist(runner);
  }
  this->System.RunFor(2.0);
  for (std::string const& runner : second) {
    this->System.List(runner, false);
  }
  this->System.RunFor(0.3); // Hosts know of it.
  std::vector<gsRoutedReplyPtr> replies =
    this->BeginStreams(this->System.Hosts(), 24);
  for (gsRoutedReplyPtr const& reply : replies) {
    EXPECT_EQ(VersionsIn(reply->Body), std::set<std::string>{ "v1" });
  }
  // Later they are.
  this->System.RunFor(1.5);
  std::size_t ofSecond = 0;
  for (gsRoutedReplyPtr const& reply :
       this->BeginStreams(this->System.Hosts(), 24)) {
    ofSecond += VersionsIn(reply->Body).count("v2");
  }
  EXPECT_GT(ofSecond, 0U);
}

namespace {

/** A stream over the tries of its caller. */
struct StreamOfTries
{
  std::string FirstId;  ///< Of the try that brought the first event.
  std::string Body;     ///< The whole events of all tries.
  gsRoutedReplyPtr Try; ///< The one under way; null once it is over.
  int Tries = 1;
};

/** Callers that take their streams up again, while hosts and runners are
 * killed in series. */
class ComingBack
{
public:
  ComingBack(gsRoutedSystem& system, std::uint64_t seed)
    : System(system)
    , Random(seed)
  {
  }

  void Run(gsTime length)
  {
    constexpr gsTime killInterval = gsMilliseconds(700);
    gsTime end = gsLoop::Now() + length;
    gsTime nextKill = gsLoop::Now() + killInterval;
    while (gsLoop::Now() < end) {
      this->Begin();
      if (gsLoop::Now() >= nextKill) {
        nextKill += killInterval;
        this->Kill();
      }
      this->GoOn();
      this->System.RunFor(0.05);
    }
    this->RestartAll();
    this->System.RunUntil([this] {
      this->GoOn();
      return std::all_of(
        this->Streams.begin(), this->Streams.end(),
        [](StreamOfTries const& stream) { return stream.Try == nullptr; });
    });
  }

  std::vector<StreamOfTries> Streams;

private:
  std::string const& Pick(std::vector<std::string> const& names)
  {
    return names[std::uniform_int_distribution<std::size_t>(
      0, names.size() - 1)(this->Random)];
  }

  void Begin()
  {
    StreamOfTries stream;
    stream.Try = this->System.Send(this->Pick(this->System.Hosts()), "resume");
    stream.FirstId = stream.Try->Id;
    this->Streams.push_back(stream);
  }

  /** Kills a runner, or up to three hosts at once, and starts what was killed
   * before. */
  void Kill()
  {
    this->RestartAll();
    if (std::bernoulli_distribution(0.5)(this->Random)) {
      this->Killed.insert(this->Pick(this->System.Runners()));
    } else {
      for (int i = 0; i < 3; ++i) {
        this->Killed.insert(this->Pick(this->System.Hosts()));
      }
    }
    for (std::string const& process : this->Killed) {
      this->System.Signal(process, SIGKILL);
    }
  }

  void RestartAll()
  {
    for (std::string const& process : this->Killed) {
      this->System.Restart(process);
    }
    this->Killed.clear();
  }

  /** Adds what came of tries that are over, and begins the next ones. */
  void GoOn()
  {
    constexpr int mostTries = 4;
    for (StreamOfTries& stream : this->Streams) {
      if (stream.Try == nullptr || !stream.Try->Done) {
        continue;
      }
      gsRoutedReply const& reply = *stream.Try;
      std::size_t events = reply.Body.rfind("\n\n");
      bool hasEvents = reply.Status == 200 && events != std::string::npos;
      stream.Body += hasEvents ? reply.Body.substr(0, events + 2) : "";
      bool goesOn =
        !reply.Good() && !stream.Body.empty() && ++stream.Tries <= mostTries;
      if (!goesOn) {
        stream.Try = nullptr;
        continue;
      }
      gsRoutedReply broken = reply;
      broken.Id = stream.FirstId;
      broken.Body = stream.Body;
      stream.Try =
        this->System.Resume(this->Pick(this->System.Hosts()), broken);
    }
  }

  gsRoutedSystem& System;
  std::mt19937_64 Random;
  std::set<std::string> Killed;
};

class SoftwareVersionsSoak
  : public SoftwareVersions
  , public testing::WithParamInterface<std::uint64_t>
{};

} // namespace

// Guards against streams of two versions over any number of tries.
TEST_P(SoftwareVersionsSoak, NoStreamIsMixedWhileHostsAndRunnersAreKilled)
{
  this->System.RunFor(1.5);
  ComingBack callers(this->System, this->GetParam());
  callers.Run(gsSeconds(12));
  std::size_t resumed = 0;
  for (StreamOfTries const& stream : callers.Streams) {
    EXPECT_TRUE(stream.Try == nullptr);
    EXPECT_LE(VersionsIn(stream.Body).size(), 1U) << stream.Body;
    // Each event comes once, and in order.
    std::size_t last = EventCount(stream.Body);
    EXPECT_TRUE(last == 0 || stream.Body.rfind("id: " + std::to_string(last) +
                                               "\n") != std::string::npos)
      << stream.Body;
    resumed += stream.Tries > 1 && last == 100 ? 1 : 0;
  }
  EXPECT_GT(resumed, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoftwareVersionsSoak, testing::Values(1, 2));

namespace {

/** What the runners' rows are like when all hosts are killed. */
enum class RowsAtKill
{
  OneVersion,  ///< There has been one version only.
  TwoVersions, ///< Both are listed.
  OldGone      ///< The rows of the old version have just gone.
};

/** All hosts are killed at once and start again, and callers take their
 * streams up. */
class AllHostsKilled
{
public:
  AllHostsKilled(std::uint64_t seed, RowsAtKill rows, bool keepsFirstStart)
    : Random(seed)
    , Rows(rows)
    , System(MakePlan(rows))
  {
    // Rows of versions are made once hosts know which of them watch the list.
    this->System.RunFor(2.5);
    this->Begin();
    this->KillAll(keepsFirstStart);
    this->TakeUp();
  }

  /** Expects that no stream holds events of two versions, or lacks or repeats
   * one. \return How many came to their end. */
  int CheckStreams() const
  {
    int whole = 0;
    for (StreamOfTries const& stream : this->Streams) {
      EXPECT_LE(VersionsIn(stream.Body).size(), 1U) << stream.Body;
      std::size_t last = EventCount(stream.Body);
      EXPECT_TRUE(last == 0 ||
                  stream.Body.rfind("id: " + std::to_string(last) + "\n") !=
                    std::string::npos)
        << stream.Body;
      whole += last == EventsOfStream ? 1 : 0;
    }
    return whole;
  }

  int StreamCount() const { return static_cast<int>(this->Streams.size()); }

private:
  static constexpr int EventsOfStream = 100;

  static gsRoutedPlan MakePlan(RowsAtKill rows)
  {
    gsRoutedPlan plan;
    plan.Hosts = 6;
    plan.Halls = 3;
    plan.Runners = 6;
    plan.Events = EventsOfStream;
    plan.GapMs = 20;
    plan.FirstStart = true;
    plan.Versions = { "v1" };
    if (rows != RowsAtKill::OneVersion) {
      plan.Versions.emplace_back("v2");
    }
    return plan;
  }

  std::string const& PickHost()
  {
    std::vector<std::string> const& hosts = this->System.Hosts();
    return hosts[std::uniform_int_distribution<std::size_t>(
      0, hosts.size() - 1)(this->Random)];
  }

  void Begin()
  {
    constexpr int streams = 24;
    for (int i = 0; i < streams; ++i) {
      StreamOfTries stream;
      stream.Try = this->System.Send(this->PickHost(), "resume");
      stream.FirstId = stream.Try->Id;
      this->Streams.push_back(stream);
    }
    EXPECT_TRUE(this->System.RunUntil([this] {
      return std::all_of(this->Streams.begin(), this->Streams.end(),
                         [](StreamOfTries const& stream) {
                           return EventCount(stream.Try->Body) > 0;
                         });
    }));
  }

  void KillAll(bool keepsFirstStart)
  {
    if (this->Rows == RowsAtKill::OldGone) {
      for (char const* runner : { "runner0", "runner2", "runner4" }) {
        this->System.Unlist(runner);
      }
      this->System.RunFor(
        std::uniform_real_distribution<double>(0, 0.5)(this->Random));
    }
    for (std::string const& host : this->System.Hosts()) {
      this->System.Signal(host, SIGKILL);
    }
    this->System.RunUntil([this] {
      return std::all_of(
        this->Streams.begin(), this->Streams.end(),
        [](StreamOfTries const& stream) { return stream.Try->Done; });
    });
    for (std::string const& host : this->System.Hosts()) {
      this->System.SetFirstStart(host, keepsFirstStart);
      this->System.Restart(host);
    }
    for (std::string const& host : this->System.Hosts()) {
      this->System.WaitReady(host);
    }
  }

  /** Callers come back at any host, and after a refusal again. */
  void TakeUp()
  {
    constexpr int mostTries = 6;
    bool isUnderWay = true;
    while (isUnderWay) {
      isUnderWay = false;
      for (StreamOfTries& stream : this->Streams) {
        isUnderWay = this->GoOn(stream, mostTries) || isUnderWay;
      }
      this->System.RunFor(0.3);
    }
  }

  /** Adds what came of a try that is over, and begins the next one. \return
   * Whether one is under way. */
  bool GoOn(StreamOfTries& stream, int mostTries)
  {
    if (stream.Try == nullptr || !stream.Try->Done) {
      return stream.Try != nullptr;
    }
    gsRoutedReply broken = *stream.Try;
    std::size_t events = broken.Body.rfind("\n\n");
    bool hasEvents = broken.Status == 200 && events != std::string::npos;
    stream.Body += hasEvents ? broken.Body.substr(0, events + 2) : "";
    stream.Try = nullptr;
    if (broken.Good() || stream.Tries++ > mostTries) {
      return false;
    }
    broken.Id = stream.FirstId;
    broken.Body = stream.Body;
    stream.Try = this->System.Resume(this->PickHost(), broken);
    return true;
  }

  std::mt19937_64 Random;
  RowsAtKill Rows;
  std::vector<StreamOfTries> Streams;
  gsRoutedSystem System;
};

class AllHostsKilledSoak : public testing::TestWithParam<std::uint64_t>
{};

} // namespace

// Guards against text joined from two versions: the old one has just left when
// all hosts are killed, and hosts start again with the same settings.
TEST_P(AllHostsKilledSoak, NoStreamIsMixedWhereTheOldVersionHasJustLeft)
{
  for (bool keepsFirstStart : { true, false }) {
    AllHostsKilled system(this->GetParam(), RowsAtKill::OldGone,
                          keepsFirstStart);
    system.CheckStreams();
  }
}

// The same where both versions are in service.
TEST_P(AllHostsKilledSoak, NoStreamIsMixedBetweenTwoVersionsInService)
{
  AllHostsKilled system(this->GetParam(), RowsAtKill::TwoVersions,
                        this->GetParam() % 2 == 0);
  system.CheckStreams();
}

// Guards against refusing the streams of a service that has one version.
TEST_P(AllHostsKilledSoak, StreamsOfTheOnlyVersionGoOn)
{
  AllHostsKilled system(this->GetParam(), RowsAtKill::OneVersion,
                        this->GetParam() % 2 == 0);
  EXPECT_EQ(system.CheckStreams(), system.StreamCount());
}

INSTANTIATE_TEST_SUITE_P(Seeds, AllHostsKilledSoak, testing::Values(1));
