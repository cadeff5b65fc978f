/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the evidence on parts of prompts under which upstreams crash: what
 * counts, and, in a simulation of many hosts whose reports arrive late, that
 * the part is quarantined in time and the parts beside it are not.
 */
#include <algorithm>
#include <cstdlib>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "gsQuarantine.h"

namespace {

constexpr gsTime Start = std::chrono::hours(1);
gsFingerprint const Deadly = gsPartFingerprint("model", 1);
gsFingerprint const First = gsPartFingerprint("model", 2);

gsCrashReport Report(gsFingerprint const& part, std::uint32_t upstream,
                     gsTime at,
                     gsCrashVerdict verdict = gsCrashVerdict::Crashed)
{
  return { part, 1, { upstream, verdict, at, {} } };
}

gsSuspicionLevel LevelOf(gsQuarantine const& table, gsFingerprint const& part,
                         gsTime now)
{
  return gsSuspicionLevelOf(table, part, now);
}

} // namespace

TEST(PartFingerprint, DiffersByServiceAndPart)
{
  EXPECT_TRUE(gsIsPartFingerprint(Deadly));
  EXPECT_FALSE(gsIsPartFingerprint(gsFingerprintOf("club", "/a", "body")));
  EXPECT_FALSE(Deadly == gsPartFingerprint("other", 1));
  EXPECT_FALSE(Deadly == First);
}

// Guards against quarantines of a part in use at upstreams that fail together.
TEST(PartQuarantine, CrashesAtTheSameMomentCountOnce)
{
  gsQuarantine table;
  for (std::uint32_t upstream = 1; upstream <= 9; ++upstream) {
    gsTime at = Start + gsMilliseconds(5) * upstream;
    gsQuarantineMergeReport(table, Report(First, upstream, at), at);
  }
  EXPECT_EQ(LevelOf(table, First, Start + gsSeconds(1)),
            gsSuspicionLevel::Suspected);
}

// Guards against quarantines of a part that is used with success.
TEST(PartQuarantine, OnlyCrashesAfterTheLastSuccessCount)
{
  gsQuarantine table;
  gsTime now = Start;
  for (std::uint32_t upstream = 1; upstream <= 6; ++upstream) {
    now += gsMilliseconds(300);
    gsQuarantineMergeReport(table, Report(First, upstream, now), now);
    gsQuarantineMergeReport(table, Report(Deadly, upstream, now), now);
    if (upstream % 2 == 0) {
      now += gsMilliseconds(250);
      gsQuarantineMergeReport(
        table, Report(First, 100, now, gsCrashVerdict::Survived), now);
    }
  }
  EXPECT_EQ(LevelOf(table, First, now), gsSuspicionLevel::None);
  EXPECT_EQ(LevelOf(table, Deadly, now), gsSuspicionLevel::Quarantined);
}

// Guards against a success at an upstream that hides its later crash.
TEST(PartQuarantine, CrashCountsAtAnUpstreamThatSucceededBefore)
{
  gsQuarantine table;
  gsTime now = Start;
  gsQuarantineMergeReport(
    table, Report(Deadly, 1, now, gsCrashVerdict::Survived), now);
  for (std::uint32_t upstream : { 1U, 2U, 3U }) {
    now += gsMilliseconds(300);
    gsQuarantineMergeReport(table, Report(Deadly, upstream, now), now);
  }
  EXPECT_EQ(LevelOf(table, Deadly, now), gsSuspicionLevel::Quarantined);
}

// Guards against arrivals in a probation: the quarantine of a part lasts.
TEST(PartQuarantine, LastsForADay)
{
  gsQuarantine table;
  gsTime now = Start;
  for (std::uint32_t upstream : { 1U, 2U, 3U }) {
    now += gsMilliseconds(300);
    gsQuarantineMergeReport(table, Report(Deadly, upstream, now), now);
  }
  gsTime later = now + std::chrono::hours(23);
  gsQuarantineRemoveExpired(table, later);
  EXPECT_EQ(LevelOf(table, Deadly, later), gsSuspicionLevel::Quarantined);
  later = now + std::chrono::hours(25);
  EXPECT_EQ(LevelOf(table, Deadly, later), gsSuspicionLevel::None);
  gsQuarantineRemoveExpired(table, later);
  EXPECT_EQ(table.PartCount, 0U);
}

// Guards against a part that is refused for what another one has caused.
TEST(PartQuarantine, AnotherPartMayExplainAllCrashes)
{
  gsQuarantine table;
  gsTime now = Start;
  for (std::uint32_t upstream : { 1U, 2U, 3U }) {
    now += gsMilliseconds(300);
    gsQuarantineMergeReport(table, Report(Deadly, upstream, now), now);
    gsQuarantineMergeReport(table, Report(First, upstream, now), now);
  }
  EXPECT_TRUE(gsIsExplainedByOtherPart(table, First, { First }, now));
  EXPECT_FALSE(gsIsExplainedByOtherPart(table, First, { First, Deadly }, now));
  now += gsMilliseconds(300);
  gsQuarantineMergeReport(table, Report(First, 4, now), now);
  EXPECT_FALSE(gsIsExplainedByOtherPart(table, First, { First }, now));
  EXPECT_TRUE(gsIsExplainedByOtherPart(table, Deadly, { Deadly }, now));
}

// Guards against hosts that come to different results by the order of reports.
TEST(PartQuarantine, MergesInAnyOrder)
{
  std::vector<gsCrashReport> reports;
  for (std::uint32_t upstream : { 1U, 2U, 3U, 4U }) {
    reports.push_back(
      Report(Deadly, upstream, Start + gsMilliseconds(300) * upstream));
  }
  reports.push_back(
    Report(Deadly, 2, Start + gsMilliseconds(500), gsCrashVerdict::Survived));
  reports.push_back(
    Report(Deadly, 3, Start + gsMilliseconds(900), gsCrashVerdict::Alive));
  reports.push_back(
    Report(Deadly, 7, Start + gsMilliseconds(1000), gsCrashVerdict::Survived));
  std::mt19937_64 random(1);
  gsTime now = Start + gsSeconds(2);
  for (int round = 0; round < 100; ++round) {
    gsQuarantine table;
    std::shuffle(reports.begin(), reports.end(), random);
    for (gsCrashReport const& report : reports) {
      gsQuarantineMergeReport(table, report, now);
      EXPECT_FALSE(gsQuarantineMergeReport(table, report, now));
    }
    EXPECT_EQ(LevelOf(table, Deadly, now), gsSuspicionLevel::Suspected);
  }
}

namespace {

struct SystemPlan
{
  std::size_t Hosts = 9;
  std::size_t Upstreams = 9;
  double SoundPerSecond = 60; ///< Requests with the first part only.
  double DeadlyPerSecond = 6; ///< Requests with both parts.
  gsTime ReportDelay = gsMilliseconds(150); ///< Maximum, between two hosts.
  gsTime RestartTime = gsSeconds(4);
};

/** Counts of one simulated day. */
struct SystemResult
{
  std::size_t Crashes = 0;
  std::size_t LateArrivals = 0; ///< Later than 3 s after the fifth crash.
  std::size_t Sound = 0;        ///< Later than 6 s after the fifth crash.
  std::size_t SoundRefused = 0;
};

/** Hosts that share evidence with delay, before upstreams that crash. Sound
 * requests take a second at an upstream, and deadly ones crash it. */
class PartSystem
{
public:
  PartSystem(SystemPlan const& plan, std::uint64_t seed)
    : Plan(plan)
    , Random(seed)
    , Tables(plan.Hosts)
    , Upstreams(plan.Upstreams)
  {
  }

  SystemResult Run()
  {
    constexpr gsTime step = gsMilliseconds(5);
    for (this->Now = Start; this->Now < Start + gsSeconds(30);
         this->Now += step) {
      while (!this->Messages.empty() && this->Messages.top().At <= this->Now) {
        Message message = this->Messages.top();
        this->Messages.pop();
        gsQuarantineMergeReport(this->Tables[message.Host], message.Report,
                                this->Now);
      }
      this->EndRequests();
      double seconds = gsToSeconds(step);
      if (this->Draw() < this->Plan.SoundPerSecond * seconds) {
        this->SendSound();
      }
      if (this->Draw() < this->Plan.DeadlyPerSecond * seconds) {
        this->SendDeadly();
      }
    }
    return this->Result;
  }

private:
  struct Message
  {
    gsTime At{};
    std::size_t Host = 0;
    gsCrashReport Report;

    friend bool operator<(Message const& a, Message const& b)
    {
      return b.At < a.At;
    }
  };

  struct Running
  {
    std::size_t Host = 0;
    gsTime EndsAt{};
    bool IsDeadly = false;
  };

  struct Upstream
  {
    std::uint32_t Hash = 0; ///< Changes with each start.
    gsTime DownUntil{};
    std::vector<Running> Requests;
  };

  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(this->Random);
  }

  std::size_t DrawIndex(std::size_t count)
  {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      count - 1)(this->Random);
  }

  /** Applies a report at its host, and at all others later. */
  void Publish(std::size_t host, gsCrashReport const& report)
  {
    if (!gsQuarantineMergeReport(this->Tables[host], report, this->Now)) {
      return;
    }
    for (std::size_t i = 0; i < this->Tables.size(); ++i) {
      if (i != host) {
        auto delay = gsTime(static_cast<gsTime::rep>(
          this->Draw() * static_cast<double>(this->Plan.ReportDelay.count())));
        this->Messages.push({ this->Now + delay, i, report });
      }
    }
  }

  bool IsRefused(std::size_t host, std::vector<gsFingerprint> const& parts)
  {
    gsQuarantine const& table = this->Tables[host];
    return std::any_of(
      parts.begin(), parts.end(), [&](gsFingerprint const& part) {
        return LevelOf(table, part, this->Now) ==
                 gsSuspicionLevel::Quarantined &&
               !gsIsExplainedByOtherPart(table, part, parts, this->Now);
      });
  }

  Upstream* DrawUpstream()
  {
    Upstream& upstream =
      this->Upstreams[this->DrawIndex(this->Upstreams.size())];
    if (this->Now < upstream.DownUntil) {
      return nullptr;
    }
    if (upstream.Hash == 0) {
      upstream.Hash = ++this->Births;
    }
    return &upstream;
  }

  void SendSound()
  {
    std::size_t host = this->DrawIndex(this->Tables.size());
    bool isCounted = this->FifthCrashAt.count() != 0 &&
                     this->Now > this->FifthCrashAt + gsSeconds(6);
    this->Result.Sound += isCounted ? 1 : 0;
    if (this->IsRefused(host, { First })) {
      this->Result.SoundRefused += isCounted ? 1 : 0;
      return;
    }
    if (Upstream* upstream = this->DrawUpstream()) {
      upstream->Requests.push_back({ host, this->Now + gsSeconds(1), false });
    }
  }

  void SendDeadly()
  {
    std::size_t host = this->DrawIndex(this->Tables.size());
    if (this->IsRefused(host, { First, Deadly })) {
      return;
    }
    Upstream* upstream = this->DrawUpstream();
    if (upstream == nullptr) {
      return;
    }
    bool isLate = this->FifthCrashAt.count() != 0 &&
                  this->Now > this->FifthCrashAt + gsSeconds(3);
    this->Result.LateArrivals += isLate ? 1 : 0;
    upstream->Requests.push_back(
      { host, this->Now + gsMilliseconds(60), true });
  }

  void EndRequests()
  {
    for (Upstream& upstream : this->Upstreams) {
      bool crashes =
        std::any_of(upstream.Requests.begin(), upstream.Requests.end(),
                    [this](Running const& each) {
                      return each.IsDeadly && each.EndsAt <= this->Now;
                    });
      if (crashes) {
        this->Crash(upstream);
        continue;
      }
      auto& requests = upstream.Requests;
      for (std::size_t i = 0; i < requests.size();) {
        if (requests[i].EndsAt <= this->Now) {
          this->Publish(
            requests[i].Host,
            Report(First, upstream.Hash, this->Now, gsCrashVerdict::Survived));
          requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
          ++i;
        }
      }
    }
  }

  void Crash(Upstream& upstream)
  {
    ++this->Result.Crashes;
    constexpr std::size_t ruleCrashes = 5;
    if (this->Result.Crashes == ruleCrashes) {
      this->FifthCrashAt = this->Now;
    }
    for (Running const& lost : std::exchange(upstream.Requests, {})) {
      this->Publish(lost.Host, Report(First, upstream.Hash, this->Now));
      if (lost.IsDeadly) {
        this->Publish(lost.Host, Report(Deadly, upstream.Hash, this->Now));
      }
    }
    upstream.Hash = 0;
    upstream.DownUntil = this->Now + this->Plan.RestartTime;
  }

  SystemPlan Plan;
  gsRandom Random;
  gsTime Now = Start;
  gsTime FifthCrashAt{};
  std::uint32_t Births = 0;
  std::vector<gsQuarantine> Tables;
  std::vector<Upstream> Upstreams;
  std::priority_queue<Message> Messages;
  SystemResult Result;
};

std::uint64_t SeedCount()
{
  char const* text = std::getenv("GRADESCALE_SEEDS");
  return text == nullptr ? 50 : std::strtoull(text, nullptr, 10);
}

void ExpectBound(SystemPlan const& plan, std::uint64_t seeds)
{
  constexpr std::size_t allowedArrivals = 3;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SystemResult const result = PartSystem(plan, seed).Run();
    EXPECT_LE(result.LateArrivals, allowedArrivals) << seed;
    EXPECT_LE(2 * result.SoundRefused, result.Sound) << seed;
  }
}

} // namespace

// Guards against a part that goes on crashing upstreams while evidence travels
// between hosts, and against its first part being refused with it.
TEST(PartQuarantine, NineHostsStopThePart)
{
  ExpectBound({}, SeedCount());
}

// Guards against the same with as many hosts as the system is designed for.
TEST(PartQuarantine, ManyHostsStopThePart)
{
  SystemPlan plan;
  plan.Hosts = 340;
  plan.Upstreams = 40;
  plan.SoundPerSecond = 150;
  ExpectBound(plan, std::max<std::uint64_t>(1, SeedCount() / 25));
}

// Guards against a part that comes rarely and is forgotten between its
// crashes.
TEST(PartQuarantine, RarePartIsStopped)
{
  SystemPlan plan;
  plan.DeadlyPerSecond = 0.5;
  ExpectBound(plan, SeedCount());
}
