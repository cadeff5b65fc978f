/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Streams that callers take up at hosts that are out of step, on real
 * processes: the hosts are cut off from others or from the store, or stand
 * still, while runners of another software version are listed. What two
 * versions write does not fit together.
 */
#include <algorithm>
#include <csignal>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsRoutedSystem.h"

namespace {

constexpr int EventsOfStream = 250;
constexpr std::size_t StreamCount = 12;

std::size_t EventCount(std::string const& body)
{
  std::size_t count = 0;
  for (std::size_t at = body.find("id: "); at != std::string::npos;
       at = body.find("id: ", at + 1)) {
    ++count;
  }
  return count;
}

bool Holds(std::string const& body, std::string const& version)
{
  return body.find("version: " + version + "\n") != std::string::npos;
}

bool AllDone(std::vector<gsRoutedReplyPtr> const& replies)
{
  return std::all_of(
    replies.begin(), replies.end(),
    [](gsRoutedReplyPtr const& reply) { return reply->Done; });
}

/** What the out-of-step hosts are cut off from. */
enum class CutFrom
{
  OthersAndStore, ///< Links between the hosts themselves are kept.
  Store,
  Others
};

/** Six hosts of three halls, host N in hall N modulo 3. Runners of v1 are
 * listed from the start on, those of v2 later. */
class OutOfStepSystem
{
public:
  explicit OutOfStepSystem(std::set<std::string> hosts)
    : OutOfStep(std::move(hosts))
    , System(MakePlan())
  {
    // The rows of versions are made once hosts know which of them watch.
    this->System.RunFor(2.5);
  }

  void SetLinks(CutFrom from, char const* mode)
  {
    for (std::string const& host : this->OutOfStep) {
      if (from != CutFrom::Others) {
        this->System.Links({ "store:" + host }, { { "mode", mode } });
      }
      for (std::string const& other : this->System.Hosts()) {
        if (from != CutFrom::Store && this->OutOfStep.count(other) == 0) {
          this->System.Links(
            { "peer:" + host + ">" + other, "peer:" + other + ">" + host },
            { { "mode", mode } });
        }
      }
    }
  }

  /** Lists the runners of the second version; those of the first leave, but
   * serve on. */
  void Release()
  {
    for (std::string const& runner : this->System.Runners()) {
      bool isNew = this->System.VersionOf(runner) == "v2";
      this->System.List(runner, !isNew);
    }
  }

  std::vector<std::string> InStep() const
  {
    std::vector<std::string> hosts;
    for (std::string const& host : this->System.Hosts()) {
      if (this->OutOfStep.count(host) == 0) {
        hosts.push_back(host);
      }
    }
    return hosts;
  }

  /** Begins streams on hosts until enough of a version have had an event. */
  std::vector<gsRoutedReplyPtr> BeginStreams(
    std::vector<std::string> const& hosts, std::string const& version)
  {
    std::vector<gsRoutedReplyPtr> begun;
    for (int round = 0; round < 40 && begun.size() < StreamCount; ++round) {
      std::vector<gsRoutedReplyPtr> replies;
      for (std::string const& host : hosts) {
        replies.push_back(this->System.Send(host, "resume"));
      }
      this->System.RunUntil([&] {
        return std::all_of(replies.begin(), replies.end(),
                           [](gsRoutedReplyPtr const& reply) {
                             return reply->Done || EventCount(reply->Body) > 0;
                           });
      });
      for (gsRoutedReplyPtr const& reply : replies) {
        if (Holds(reply->Body, version) && begun.size() < StreamCount) {
          begun.push_back(reply);
        }
      }
    }
    EXPECT_EQ(begun.size(), StreamCount);
    return begun;
  }

  void KillRunners(std::string const& version)
  {
    for (std::string const& runner : this->System.Runners()) {
      if (this->System.VersionOf(runner) == version) {
        this->System.Signal(runner, SIGKILL);
      }
    }
  }

  /** Callers leave streams and take them up at hosts, in turn. \return The
   * answers. */
  std::vector<gsRoutedReplyPtr> TakeUp(
    std::vector<gsRoutedReplyPtr> const& broken,
    std::vector<std::string> const& hosts)
  {
    std::vector<gsRoutedReplyPtr> rests;
    for (std::size_t i = 0; i < broken.size(); ++i) {
      EXPECT_LT(EventCount(broken[i]->Body), std::size_t(EventsOfStream));
      if (!broken[i]->Done) {
        this->System.Leave(broken[i]);
      }
      rests.push_back(
        this->System.Resume(hosts[i % hosts.size()], *broken[i]));
    }
    EXPECT_TRUE(this->System.RunUntil([&] { return AllDone(rests); }));
    return rests;
  }

  std::vector<std::string> Named() const
  {
    return { this->OutOfStep.begin(), this->OutOfStep.end() };
  }

  std::set<std::string> const OutOfStep;
  gsRoutedSystem System;

private:
  static gsRoutedPlan MakePlan()
  {
    gsRoutedPlan plan;
    plan.Hosts = 6;
    plan.Halls = 3;
    plan.Runners = 6;
    plan.Events = EventsOfStream;
    plan.GapMs = 20;
    plan.FirstStart = true;
    plan.Versions = { "v1", "v2" };
    plan.UnlistedVersions = { "v2" };
    return plan;
  }
};

/** Expects that no stream goes on at the other version, and that what does not
 * go on is refused as not run, or ends in vain at a runner of its version.
 * \return How many go on. */
std::size_t CheckRests(std::vector<gsRoutedReplyPtr> const& rests,
                       std::string const& other)
{
  std::size_t whole = 0;
  for (gsRoutedReplyPtr const& rest : rests) {
    EXPECT_FALSE(Holds(rest->Body, other)) << rest->Id << " at " << rest->Host;
    bool isRefused = rest->Status == 503 && !rest->RetryAfter.empty();
    EXPECT_TRUE(rest->Status == 200 || rest->Status == 502 || isRefused)
      << rest->Status;
    whole += rest->Good() ? 1 : 0;
  }
  return whole;
}

struct OutOfStepCase
{
  char const* Name;
  std::set<std::string> Hosts;
  CutFrom From;
  double Seconds; ///< From the cut to when streams are taken up, or longer.
};

std::ostream& operator<<(std::ostream& out, OutOfStepCase const& each)
{
  return out << each.Name;
}

class OutOfStep : public testing::TestWithParam<OutOfStepCase>
{};

} // namespace

// Guards against a stream that goes on at another software version at hosts
// that are cut off while the version that began it is listed (ORDER).
TEST_P(OutOfStep, NoStreamIsJoinedAtHostsThatDoNotKnowItsVersion)
{
  OutOfStepCase const& each = this->GetParam();
  OutOfStepSystem system(each.Hosts);
  system.SetLinks(each.From, "hole");
  system.Release();
  constexpr double begins = 0.4; // Before streams are taken up.
  system.System.RunFor(std::max(each.Seconds - begins, 0.0));
  std::vector<gsRoutedReplyPtr> streams =
    system.BeginStreams(system.InStep(), "v2");
  system.KillRunners("v2");
  CheckRests(system.TakeUp(streams, system.Named()), "v1");
}

INSTANTIATE_TEST_SUITE_P(
  Cuts, OutOfStep,
  testing::Values(
    OutOfStepCase{ "AHostAtOnce", { "host0" }, CutFrom::OthersAndStore, 0.4 },
    OutOfStepCase{ "AHostForASecond",
                   { "host4" },
                   CutFrom::OthersAndStore,
                   1.2 },
    OutOfStepCase{ "AHostForLong", { "host2" }, CutFrom::OthersAndStore, 3.0 },
    OutOfStepCase{ "AHallForASecond",
                   { "host0", "host3" },
                   CutFrom::OthersAndStore,
                   1.0 },
    OutOfStepCase{ "AHallForLong",
                   { "host1", "host4" },
                   CutFrom::OthersAndStore,
                   5.5 },
    OutOfStepCase{ "TwoHalls",
                   { "host0", "host1", "host3", "host4" },
                   CutFrom::OthersAndStore,
                   4.0 },
    OutOfStepCase{ "AHostFromTheStore", { "host1" }, CutFrom::Store, 1.0 },
    OutOfStepCase{ "AHostFromOthers", { "host5" }, CutFrom::Others, 1.0 }));

namespace {

class OutOfStepFor : public testing::TestWithParam<double>
{};

} // namespace

// Guards against the same at a host that stands still while the version that
// began the stream is listed, for a time that it notices or not.
TEST_P(OutOfStepFor, NoStreamIsJoinedAtAHostThatStoodStill)
{
  OutOfStepSystem system({ "host0" });
  system.System.Signal("host0", SIGSTOP);
  gsTime const stoppedAt = gsLoop::Now();
  system.Release();
  std::vector<gsRoutedReplyPtr> streams =
    system.BeginStreams(system.InStep(), "v2");
  double const left =
    this->GetParam() - gsToSeconds(gsLoop::Now() - stoppedAt);
  system.KillRunners("v2");
  system.System.RunFor(std::max(left, 0.0));
  system.System.Signal("host0", SIGCONT);
  CheckRests(system.TakeUp(streams, { "host0" }), "v1");
}

INSTANTIATE_TEST_SUITE_P(Seconds, OutOfStepFor,
                         testing::Values(0.4, 0.8, 1.4, 4.0));

// Guards against refusing what a hall begins while it is cut off: streams of a
// host that is then killed go on at the other one.
TEST(OutOfStep, StreamsThatACutHallBeginsGoOnWithinIt)
{
  OutOfStepSystem system({ "host0", "host3" });
  system.SetLinks(CutFrom::OthersAndStore, "hole");
  system.System.RunFor(5.0);
  std::vector<gsRoutedReplyPtr> streams =
    system.BeginStreams({ "host0" }, "v1");
  system.System.Signal("host0", SIGKILL);
  std::vector<gsRoutedReplyPtr> rests = system.TakeUp(streams, { "host3" });
  EXPECT_EQ(CheckRests(rests, "v2"), streams.size());
}

// Guards against refusing streams of the only version while the store is
// silent: those of a host that is killed go on at the others.
TEST(OutOfStep, StreamsOfTheOnlyVersionGoOnWhileTheStoreIsSilent)
{
  OutOfStepSystem system({ "host0" });
  std::vector<gsRoutedReplyPtr> streams =
    system.BeginStreams({ "host0" }, "v1");
  system.System.RunFor(0.6);
  system.System.Control("store", { { "mode", "silent" } });
  system.System.RunFor(0.4);
  system.System.Signal("host0", SIGKILL);
  std::vector<gsRoutedReplyPtr> rests =
    system.TakeUp(streams, system.InStep());
  EXPECT_GE(10 * CheckRests(rests, "v2"), 9 * streams.size());
}

// Guards against refusing streams of the only version in calm.
TEST(OutOfStep, StreamsOfTheOnlyVersionGoOnAtOtherHosts)
{
  OutOfStepSystem system({ "host0" });
  std::vector<gsRoutedReplyPtr> streams =
    system.BeginStreams({ "host0" }, "v1");
  system.System.Signal("host0", SIGKILL);
  std::vector<gsRoutedReplyPtr> rests =
    system.TakeUp(streams, system.InStep());
  EXPECT_EQ(CheckRests(rests, "v2"), streams.size());
}

namespace {

/** Hosts of one hall each, and runners of two versions that all of them know.
 * Each host has links of its own to the runners. */
gsRoutedPlan MakeForwardingPlan()
{
  gsRoutedPlan plan;
  plan.Hosts = 6;
  plan.Halls = 6;
  plan.Runners = 6;
  plan.Events = EventsOfStream;
  plan.GapMs = 20;
  plan.LinkPerHost = true;
  plan.Versions = { "v1", "v2" };
  return plan;
}

} // namespace

// Guards against a stream that its host sent to a version in vain before it
// forwarded the request to another host, which began it at another version.
TEST(OutOfStep, AForwardedStreamIsNotJoinedAtTheHostThatForwardedIt)
{
  gsRoutedSystem system(MakeForwardingPlan());
  system.RunFor(1.5);
  system.Links({ "up:host0>*" }, { { "mode", "refuse" } });
  std::vector<gsRoutedReplyPtr> streams;
  for (std::size_t i = 0; i < 4 * StreamCount; ++i) {
    streams.push_back(system.Send("host0", "resume"));
  }
  EXPECT_TRUE(system.RunUntil([&] {
    return std::all_of(streams.begin(), streams.end(),
                       [](gsRoutedReplyPtr const& reply) {
                         return reply->Done || EventCount(reply->Body) > 0;
                       });
  }));
  system.Links({ "up:host0>*" }, { { "mode", "pass" } });
  for (std::string const& runner : system.Runners()) {
    if (system.VersionOf(runner) == "v2") {
      system.Signal(runner, SIGKILL);
    }
  }
  std::vector<gsRoutedReplyPtr> rests;
  EXPECT_TRUE(system.RunUntil([&] { return AllDone(streams); }));
  for (gsRoutedReplyPtr const& stream : streams) {
    if (Holds(stream->Body, "v2") && !stream->Good()) {
      rests.push_back(system.Resume("host0", *stream));
    }
  }
  EXPECT_TRUE(system.RunUntil([&] { return AllDone(rests); }));
  EXPECT_GT(rests.size(), 0U);
  CheckRests(rests, "v1");
}
