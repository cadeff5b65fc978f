/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the evidence on requests that crash upstreams: how it is merged and
 * bounded, and, in a simulation of several halls, that only the request that
 * causes the crashes is quarantined.
 */
#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

#include <gtest/gtest.h>

#include "gsQuarantine.h"

namespace {

constexpr gsTime Start = std::chrono::hours(1);
gsFingerprint const Poison = gsFingerprintOf("club", "/a", "poison");

gsCrashReport Report(std::uint32_t upstream,
                     gsCrashVerdict verdict = gsCrashVerdict::Crashed,
                     gsTime at = Start,
                     gsFingerprint const& fingerprint = Poison,
                     std::uint32_t organisation = 1)
{
  return { fingerprint, organisation, { upstream, verdict, at, {} } };
}

void ApplyCrashes(gsQuarantine& table, std::size_t count)
{
  for (std::size_t i = 0; i < count; ++i) {
    gsQuarantineMergeReport(table, Report(static_cast<std::uint32_t>(i) + 1),
                            Start);
  }
}

} // namespace

TEST(Fingerprint, DiffersByOrganisationTargetAndBody)
{
  EXPECT_EQ(Poison, gsFingerprintOf("club", "/a", "poison"));
  EXPECT_FALSE(Poison == gsFingerprintOf("other", "/a", "poison"));
  EXPECT_FALSE(Poison == gsFingerprintOf("club", "/a?x", "poison"));
  EXPECT_FALSE(Poison == gsFingerprintOf("club", "/ap", "oison"));
  EXPECT_EQ(gsFormatFingerprint({ 1, 255 }),
            "000000000000000100000000000000ff");
}

TEST(Quarantine, StartsWhenThirdUpstreamCrashes)
{
  gsQuarantine table;
  EXPECT_EQ(gsSuspicionLevelOf(table, Poison, Start), gsSuspicionLevel::None);
  gsSuspicionLevel const expected[] = { gsSuspicionLevel::Suspected,
                                        gsSuspicionLevel::Contained,
                                        gsSuspicionLevel::Quarantined };
  for (std::uint32_t upstream : { 1U, 2U, 3U }) {
    EXPECT_TRUE(gsQuarantineMergeReport(table, Report(upstream), Start));
    EXPECT_EQ(gsSuspicionLevelOf(table, Poison, Start),
              expected[upstream - 1]);
  }
  EXPECT_EQ(gsQuarantineTimeLeft(table, Poison, Start),
            table.Settings.Duration);
}

TEST(Quarantine, CountsRepeatedReportsOnceInAnyOrder)
{
  std::vector<gsCrashReport> reports{
    Report(1), Report(2), Report(1, gsCrashVerdict::Alive),
    Report(3), Report(2), Report(4)
  };
  std::mt19937_64 random(1);
  for (int round = 0; round < 100; ++round) {
    gsQuarantine table;
    std::shuffle(reports.begin(), reports.end(), random);
    for (gsCrashReport const& report : reports) {
      gsQuarantineMergeReport(table, report, Start);
      EXPECT_FALSE(gsQuarantineMergeReport(table, report, Start));
    }
    EXPECT_EQ(gsCrashCount(table.Suspects.at(Poison)), 3U);
    EXPECT_EQ(gsSuspicionLevelOf(table, Poison, Start),
              gsSuspicionLevel::Quarantined);
  }
}

TEST(Quarantine, EndsWhenUpstreamSurvivesRequest)
{
  gsQuarantine table;
  ApplyCrashes(table, 3);
  gsQuarantineMergeReport(table, Report(9, gsCrashVerdict::Survived), Start);
  EXPECT_EQ(gsSuspicionLevelOf(table, Poison, Start), gsSuspicionLevel::None);
  ApplyCrashes(table, 6);
  EXPECT_EQ(gsSuspicionLevelOf(table, Poison, Start),
            gsSuspicionLevel::Quarantined);
}

// Guards against the quarantine of a request that many callers send in the
// same form, because all upstreams that executed it crashed at the same time.
TEST(Quarantine, CountsOnceWhenUpstreamsCrashTogether)
{
  gsQuarantine table;
  gsTime at = Start;
  for (gsSuspicionLevel expected :
       { gsSuspicionLevel::Suspected, gsSuspicionLevel::Contained,
         gsSuspicionLevel::Quarantined }) {
    for (std::uint32_t i = 0; i < 4; ++i) {
      gsTime crash = at + gsMilliseconds(5 * i);
      gsCrashReport report = Report(static_cast<std::uint32_t>(at.count()) + i,
                                    gsCrashVerdict::Crashed, crash);
      report.Evidence.RunTime = gsMilliseconds(50);
      gsQuarantineMergeReport(table, report, crash);
      EXPECT_EQ(gsSuspicionLevelOf(table, Poison, crash), expected);
    }
    at += gsSeconds(1);
  }
}

TEST(Quarantine, EndsAfterDurationAndRestartsWhenCrashRecurs)
{
  gsQuarantine table;
  ApplyCrashes(table, 3);
  gsTime end = Start + table.Settings.Duration;
  EXPECT_EQ(gsSuspicionLevelOf(table, Poison, end - gsMilliseconds(1)),
            gsSuspicionLevel::Quarantined);
  EXPECT_EQ(gsSuspicionLevelOf(table, Poison, end),
            gsSuspicionLevel::Contained);
  gsQuarantineMergeReport(table, Report(8, gsCrashVerdict::Crashed, end), end);
  EXPECT_EQ(gsSuspicionLevelOf(table, Poison, end),
            gsSuspicionLevel::Quarantined);
  gsTime expired =
    end + table.Settings.Duration + table.Settings.ProbationDuration;
  EXPECT_EQ(gsSuspicionLevelOf(table, Poison, expired),
            gsSuspicionLevel::None);
  gsQuarantineRemoveExpired(table, expired);
  EXPECT_TRUE(table.Suspects.empty());
  EXPECT_FALSE(gsQuarantineHasSuspects(table, 1));
}

TEST(Quarantine, RejectsEvidenceWhenExpired)
{
  gsQuarantine table;
  gsTime retention =
    table.Settings.Duration + table.Settings.ProbationDuration;
  EXPECT_FALSE(gsQuarantineMergeReport(table, Report(1), Start + retention));
}

TEST(Quarantine, EvictsOwnSuspectsWhenOrganisationReachesBound)
{
  gsQuarantine table;
  table.Settings.MaxSuspectsPerOrganisation = 20;
  ApplyCrashes(table, 3);
  for (std::uint32_t i = 0; i < 1000; ++i) {
    auto fingerprint = gsFingerprintOf("flood", "/a", std::to_string(i));
    gsTime at = Start + gsMilliseconds(i);
    gsQuarantineMergeReport(
      table, Report(i, gsCrashVerdict::Crashed, at, fingerprint, 2), at);
  }
  EXPECT_EQ(table.Suspects.size(), 21U);
  EXPECT_EQ(gsSuspicionLevelOf(table, Poison, Start),
            gsSuspicionLevel::Quarantined);
  EXPECT_EQ(table.SuspectsPerOrganisation.at(2), 20U);
}

TEST(Quarantine, BoundsEvidencePerSuspect)
{
  gsQuarantine table;
  for (std::uint32_t i = 0; i < 100; ++i) {
    gsQuarantineMergeReport(table, Report(i, gsCrashVerdict::Alive), Start);
  }
  ApplyCrashes(table, 3);
  EXPECT_LE(table.Suspects.at(Poison).Evidence.size(),
            table.Settings.MaxEvidencePerSuspect);
}

TEST(Quarantine, HasEqualDigestsWhenSuspicionIsEqual)
{
  gsQuarantine a;
  gsQuarantine b;
  EXPECT_EQ(gsQuarantineDigest(a, Start), 0U);
  ApplyCrashes(a, 3);
  ApplyCrashes(b, 1);
  EXPECT_EQ(gsQuarantineDigest(b, Start), 0U);
  EXPECT_NE(gsQuarantineDigest(a, Start), 0U);
  ApplyCrashes(b, 4);
  EXPECT_EQ(gsQuarantineDigest(a, Start), gsQuarantineDigest(b, Start));
}

namespace {

/** Simulates hosts of three halls that share 660 upstreams. One request, the
 * poison, crashes each upstream that executes it. Twice in a run, about a
 * quarter of all upstreams crash at the same time. */
class Simulation
{
public:
  explicit Simulation(std::uint64_t seed)
    : Random(seed)
    , Tables(HallCount * HostsPerHall)
    , Crashed(UpstreamCount)
    , Restarts(UpstreamCount)
    , InProgress(UpstreamCount)
  {
    this->PartitionedHall = this->DrawBelow(HallCount);
    this->PartitionedFrom =
      Start + gsMilliseconds(2000 + this->DrawBelow(4000));
    this->PartitionedUntil =
      this->PartitionedFrom + gsMilliseconds(1000 + this->DrawBelow(3000));
  }

  void Run()
  {
    for (gsTime at = Start; at < Start + Duration; at += gsMilliseconds(20)) {
      this->Schedule(at, [this] { this->Send(this->NewRequest()); });
    }
    for (gsTime at = Start; at < Start + Duration;
         at += gsMilliseconds(100 + this->DrawBelow(200))) {
      this->Schedule(at, [this] {
        this->Send({ Poison, true, 0, 0, 0, {} });
      });
    }
    for (int i = 0; i < 2; ++i) {
      this->Schedule(Start + gsMilliseconds(this->DrawBelow(8000)),
                     [this] { this->CrashQuarter(); });
    }
    for (gsTime at = Start; at < Start + Duration; at += gsMilliseconds(500)) {
      this->Schedule(at, [this] { this->ResendEvidence(); });
    }
    while (!this->Events.empty()) {
      Event next = this->Events.top();
      this->Events.pop();
      this->Now = next.DueAt;
      next.Action();
    }
  }

  /** Number of poison requests sent to upstreams more than 3 s after the third
   * crash, by hosts that were not partitioned in these 3 s. */
  std::size_t LatePoisonSends = 0;
  /** Number of refusals of requests that are not the poison. */
  std::size_t OtherRefusals = 0;

private:
  static constexpr std::size_t HallCount = 3;
  static constexpr std::size_t HostsPerHall = 4;
  static constexpr std::size_t UpstreamCount = 660;
  static constexpr gsTime Duration = gsSeconds(12);
  static constexpr gsTime MaxPropagationTime = gsSeconds(3);

  struct Request
  {
    gsFingerprint Fingerprint;
    bool IsPoison = false;
    std::size_t Host = 0;
    int Repetitions = 0; ///< Number of repetitions by the caller.
    int Attempts = 0; ///< Number of attempts by the host in this repetition.
    gsTime SentAt{};
  };

  struct Event
  {
    gsTime DueAt;
    std::function<void()> Action;
    bool operator<(Event const& other) const
    {
      return this->DueAt > other.DueAt;
    }
  };

  std::size_t DrawBelow(std::size_t bound) { return this->Random() % bound; }
  void Schedule(gsTime at, std::function<void()> action)
  {
    this->Events.push({ at, std::move(action) });
  }
  static std::size_t HallOf(std::size_t host) { return host / HostsPerHall; }
  static std::size_t RelayOf(std::size_t host)
  {
    return HallOf(host) * HostsPerHall;
  }

  Request NewRequest()
  {
    Request request;
    request.Fingerprint = { this->Random(), this->Random() };
    return request;
  }

  bool IsPartitioned(std::size_t hall, gsTime since) const
  {
    return hall == this->PartitionedHall &&
           this->Now >= this->PartitionedFrom &&
           since < this->PartitionedUntil;
  }

  void Send(Request request)
  {
    request.Host = this->DrawBelow(this->Tables.size());
    request.Attempts = 0;
    this->SendToUpstream(request);
  }

  void SendToUpstream(Request request)
  {
    gsSuspicionLevel suspicion = gsSuspicionLevelOf(
      this->Tables[request.Host], request.Fingerprint, this->Now);
    if (suspicion == gsSuspicionLevel::Quarantined) {
      this->OtherRefusals += request.IsPoison ? 0 : 1;
      return;
    }
    std::size_t upstream = this->DrawBelow(UpstreamCount);
    if (this->Crashed[upstream]) {
      return;
    }
    ++request.Attempts;
    if (request.IsPoison) {
      this->RecordPoisonSend(request.Host);
      this->Schedule(this->Now + gsMilliseconds(20 + this->DrawBelow(150)),
                     [this, upstream] { this->Crash(upstream); });
    }
    request.SentAt = this->Now;
    this->InProgress[upstream].push_back(request);
    std::uint64_t restarts = this->Restarts[upstream];
    gsFingerprint fingerprint = request.Fingerprint;
    this->Schedule(this->Now + gsMilliseconds(200 + this->DrawBelow(3000)),
                   [this, upstream, restarts, fingerprint] {
                     this->CompleteRequest(upstream, restarts, fingerprint);
                   });
  }

  void RecordPoisonSend(std::size_t host)
  {
    bool isLate = this->PoisonCrashes >= 3 &&
                  this->Now > this->ThirdCrashAt + MaxPropagationTime;
    bool wasConnected =
      !this->IsPartitioned(HallOf(host), this->Now - MaxPropagationTime);
    this->LatePoisonSends += isLate && wasConnected ? 1 : 0;
  }

  void CompleteRequest(std::size_t upstream, std::uint64_t restarts,
                       gsFingerprint const& fingerprint)
  {
    auto& requests = this->InProgress[upstream];
    if (this->Restarts[upstream] == restarts) {
      requests.erase(std::remove_if(requests.begin(), requests.end(),
                                    [&](Request const& request) {
                                      return request.Fingerprint ==
                                             fingerprint;
                                    }),
                     requests.end());
    }
  }

  void CrashQuarter()
  {
    for (std::size_t upstream = 0; upstream < UpstreamCount; ++upstream) {
      if (this->DrawBelow(4) == 0) {
        this->Crash(upstream);
      }
    }
  }

  void Crash(std::size_t upstream)
  {
    if (this->Crashed[upstream]) {
      return;
    }
    this->Crashed[upstream] = true;
    std::vector<Request> requests =
      std::exchange(this->InProgress[upstream], {});
    auto incarnation = static_cast<std::uint32_t>(
      upstream + UpstreamCount * this->Restarts[upstream]++);
    for (Request& request : requests) {
      this->ReportCrash(request, incarnation);
    }
    this->Schedule(this->Now + gsMilliseconds(2000 + this->DrawBelow(2000)),
                   [this, upstream] { this->Crashed[upstream] = false; });
  }

  void ReportCrash(Request& request, std::uint32_t upstream)
  {
    if (request.IsPoison && ++this->PoisonCrashes == 3) {
      this->ThirdCrashAt = this->Now;
    }
    gsCrashReport report = Report(upstream, gsCrashVerdict::Crashed, this->Now,
                                  request.Fingerprint);
    report.Evidence.RunTime = this->Now - request.SentAt;
    this->ApplyReport(request.Host, report);
    gsSuspicionLevel suspicion = gsSuspicionLevelOf(
      this->Tables[request.Host], request.Fingerprint, this->Now);
    if (request.Attempts < 2 && suspicion < gsSuspicionLevel::Contained) {
      this->SendToUpstream(request);
    } else if (!request.IsPoison && request.Repetitions++ == 0) {
      this->Schedule(this->Now + gsMilliseconds(this->DrawBelow(500)),
                     [this, request] { this->Send(request); });
    }
  }

  /** Merges evidence on a host and forwards it if it is new: to the relay of
   * the hall, and from there to the other relays and, for requests that are at
   * least contained, to the hosts of the hall. */
  void ApplyReport(std::size_t host, gsCrashReport const& report)
  {
    if (!gsQuarantineMergeReport(this->Tables[host], report, this->Now)) {
      return;
    }
    if (host != RelayOf(host)) {
      this->SendEvidence(host, RelayOf(host), report.Fingerprint);
      return;
    }
    for (std::size_t relay = 0; relay < this->Tables.size();
         relay += HostsPerHall) {
      this->SendEvidence(host, relay, report.Fingerprint);
    }
    if (gsSuspicionLevelOf(this->Tables[host], report.Fingerprint,
                           this->Now) >= gsSuspicionLevel::Contained) {
      this->SendEvidenceToHall(host, report.Fingerprint);
    }
  }

  void SendEvidenceToHall(std::size_t relay, gsFingerprint const& fingerprint)
  {
    for (std::size_t i = 1; i < HostsPerHall; ++i) {
      this->SendEvidence(relay, relay + i, fingerprint);
    }
  }

  /** Sends the evidence on a request to another host. One message in twenty is
   * lost. */
  void SendEvidence(std::size_t from, std::size_t to,
                    gsFingerprint const& fingerprint)
  {
    bool isPartitioned = HallOf(from) != HallOf(to) &&
                         (this->IsPartitioned(HallOf(from), this->Now) ||
                          this->IsPartitioned(HallOf(to), this->Now));
    if (from == to || isPartitioned || this->DrawBelow(20) == 0) {
      return;
    }
    gsSuspectRequest suspect = this->Tables[from].Suspects.at(fingerprint);
    this->Schedule(this->Now + gsMilliseconds(1 + this->DrawBelow(150)),
                   [this, to, fingerprint, suspect] {
                     for (gsCrashEvidence const& piece : suspect.Evidence) {
                       this->ApplyReport(
                         to, { fingerprint, suspect.OrganisationHash, piece });
                     }
                   });
  }

  /** Sends restricted requests again, as hosts do whose digests differ. */
  void ResendEvidence()
  {
    for (std::size_t relay = 0; relay < this->Tables.size();
         relay += HostsPerHall) {
      for (gsFingerprint const& fingerprint :
           gsQuarantineRestrictedRequests(this->Tables[relay], this->Now)) {
        this->SendEvidenceToHall(relay, fingerprint);
        for (std::size_t other = 0; other < this->Tables.size();
             other += HostsPerHall) {
          this->SendEvidence(relay, other, fingerprint);
        }
      }
    }
  }

  std::mt19937_64 Random;
  std::vector<gsQuarantine> Tables;             ///< By host.
  std::vector<bool> Crashed;                    ///< By upstream.
  std::vector<std::uint64_t> Restarts;          ///< By upstream.
  std::vector<std::vector<Request>> InProgress; ///< By upstream.
  std::priority_queue<Event> Events;
  std::size_t PartitionedHall = 0;
  gsTime PartitionedFrom{};
  gsTime PartitionedUntil{};
  gsTime Now = Start;
  int PoisonCrashes = 0;
  gsTime ThirdCrashAt{};
};

} // namespace

// Guards against poison requests that reach upstreams after the third crash,
// and against the refusal of requests that were in progress on the same
// upstreams.
TEST(Quarantine, RefusesOnlyPoisonInThousandSimulations)
{
  std::size_t otherRefusals = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    Simulation simulation(seed);
    simulation.Run();
    EXPECT_LE(simulation.LatePoisonSends, 3U) << seed;
    otherRefusals += simulation.OtherRefusals;
  }
  EXPECT_EQ(otherRefusals, 0U);
}
