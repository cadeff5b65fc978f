/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the exchange of evidence on crashes: how much is sent per interval
 * and in which order, and that a host processes the crash of an upstream with
 * many requests once.
 */
#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsCrashWatch.h"
#include "gsQuarantine.h"

namespace {

constexpr gsTime Start = std::chrono::hours(1);
gsFingerprint const Poison = gsFingerprintOf("club", "/a", "poison");

gsFingerprint Request(std::uint32_t number)
{
  return gsFingerprintOf("desk", "/a", std::to_string(number));
}

gsCrashReport Report(gsFingerprint const& fingerprint, std::uint32_t upstream,
                     gsTime at = Start)
{
  return { fingerprint, 1, { upstream, gsCrashVerdict::Crashed, at, {} } };
}

/** A table and the queue of its unsent evidence. */
struct Sender
{
  gsQuarantine Table;
  gsEvidenceQueue Queue;

  /** Adds requests, each with one crash. */
  void AddSuspects(std::uint32_t count)
  {
    this->Table.Settings.MaxSuspectsPerOrganisation = count + 1;
    for (std::uint32_t i = 0; i < count; ++i) {
      gsQuarantineMergeReport(this->Table, Report(Request(i), 1000 + i % 22),
                              Start);
      gsQueueEvidence(this->Queue, Request(i), Start + gsTime(i));
    }
  }

  void AddPoison(std::uint32_t crashes, gsTime at = Start)
  {
    for (std::uint32_t i = 0; i < crashes; ++i) {
      gsQuarantineMergeReport(this->Table, Report(Poison, i + 1), at);
    }
    gsQueueEvidence(this->Queue, Poison, at);
  }

  std::vector<gsFingerprint> Take()
  {
    return gsTakeEvidence(this->Queue, this->Table, Start + gsSeconds(1));
  }
};

} // namespace

// Guards against hundreds of messages when many upstreams crash at once: 22
// crashes caused 1,109 reports, each of which was sent on its own.
TEST(CrashEvidence, MassCrashIsSentInOneMessagePerInterval)
{
  Sender sender;
  sender.AddSuspects(1109);
  std::size_t intervals = 0;
  std::size_t sent = 0;
  while (!sender.Queue.QueuedAt.empty()) {
    gsBeginEvidenceInterval(sender.Queue);
    std::vector<gsFingerprint> message = sender.Take();
    EXPECT_LE(message.size(), gsMaxRequestsPerMessage);
    EXPECT_TRUE(sender.Take().empty()) << "second message in an interval";
    EXPECT_FALSE(
      gsIsEvidenceDue(sender.Queue, sender.Table, Request(0), Start));
    if (intervals == 0) {
      EXPECT_EQ(message[0], Request(0)) << "not in the order of queueing";
      EXPECT_EQ(message[63], Request(63)) << "not in the order of queueing";
    }
    sent += message.size();
    ++intervals;
  }
  EXPECT_EQ(sent, 1109U);
  EXPECT_EQ(intervals, 18U);
}

// Guards against a poison request that waits behind the requests that were in
// progress on upstreams which crashed at the same time.
TEST(CrashEvidence, RestrictedRequestIsSentBeforeOthersAndAtOnce)
{
  Sender sender;
  sender.AddSuspects(1000);
  EXPECT_EQ(sender.Take().size(), gsMaxRequestsPerMessage);
  sender.AddPoison(2, Start + gsMilliseconds(50));
  EXPECT_TRUE(gsIsEvidenceDue(sender.Queue, sender.Table, Poison, Start));
  EXPECT_EQ(sender.Take(), std::vector<gsFingerprint>{ Poison })
    << "not sent at once after the message of the interval";
  sender.AddPoison(3);
  gsBeginEvidenceInterval(sender.Queue);
  EXPECT_EQ(sender.Take().front(), Poison) << "not the first of its message";
}

// Guards against unlimited messages when many requests become restricted.
TEST(CrashEvidence, RestrictedRequestsAreBoundedPerInterval)
{
  Sender sender;
  sender.AddSuspects(200);
  sender.Take();
  for (std::uint32_t i = 64; i < 200; ++i) {
    gsQuarantineMergeReport(sender.Table, Report(Request(i), 1), Start);
  }
  EXPECT_EQ(sender.Take().size(), gsMaxUrgentRequests);
  EXPECT_TRUE(sender.Take().empty());
  EXPECT_FALSE(
    gsIsEvidenceDue(sender.Queue, sender.Table, Request(199), Start));
  gsBeginEvidenceInterval(sender.Queue);
  EXPECT_EQ(sender.Take().size(), gsMaxRequestsPerMessage);
}

// Guards against evidence that waits for an interval without need.
TEST(CrashEvidence, FirstRequestOfAnIntervalIsDueAtOnce)
{
  Sender sender;
  EXPECT_TRUE(sender.Take().empty());
  sender.AddSuspects(1);
  EXPECT_TRUE(gsIsEvidenceDue(sender.Queue, sender.Table, Request(0), Start));
  EXPECT_EQ(sender.Take().size(), 1U);
}

// Guards against a log line without the request that matters most.
TEST(CrashEvidence, SummaryNamesTheStrictestRequestAndCountsVerdicts)
{
  gsReceivedEvidence received;
  for (std::uint32_t i = 0; i < 50; ++i) {
    gsAddReceived(received, Report(Request(i), 7, Start + gsTime(50 - i)),
                  gsSuspicionLevel::Suspected);
  }
  gsAddReceived(received, Report(Poison, 7), gsSuspicionLevel::Quarantined);
  gsCrashReport alive = Report(Request(60), 7);
  alive.Evidence.Verdict = gsCrashVerdict::Alive;
  gsAddReceived(received, alive, gsSuspicionLevel::Suspected);
  EXPECT_EQ(received.Requests(), 52U);
  EXPECT_EQ(received.Crashed, 51U);
  EXPECT_EQ(received.Alive, 1U);
  EXPECT_EQ(received.Strictest, Poison);
  EXPECT_EQ(received.Suspicion, gsSuspicionLevel::Quarantined);
  EXPECT_EQ(received.FirstObservedAt, Start);
}

// Guards against requests that stay suspected after the check of their
// upstream, which covers all requests that ended there together.
TEST(CrashEvidence, OneCheckOfAnUpstreamClearsAllItsRequests)
{
  gsFleet fleet;
  fleet.Rows.emplace_back();
  fleet.ByHash[7] = 0;
  gsMetrics metrics;
  gsCrashWatch watch(fleet, metrics);
  std::vector<gsCrashReport> found;
  watch.SetEvidenceCallback(
    [&found](gsCrashReport const& report) { found.push_back(report); });
  for (std::uint32_t i = 0; i < 50; ++i) {
    gsTime at = Start + gsMilliseconds(i);
    EXPECT_TRUE(watch.ApplyReport(Report(Request(i), 7, at), "host2", at));
    EXPECT_FALSE(watch.ApplyReport(Report(Request(i), 7, at), "host3", at));
  }
  fleet.Rows[0].LastReceivedAt = Start + gsMilliseconds(200);
  watch.ProcessPendingChecks(Start + gsMilliseconds(200));
  EXPECT_TRUE(found.empty()) << "bytes in transit do not prove it alive";
  fleet.Rows[0].LastReceivedAt = Start + gsMilliseconds(400);
  watch.ProcessPendingChecks(Start + gsMilliseconds(400));
  ASSERT_EQ(found.size(), 50U);
  for (gsCrashReport const& report : found) {
    EXPECT_EQ(report.Evidence.Verdict, gsCrashVerdict::Alive);
  }
  watch.ProcessPendingChecks(Start + gsMilliseconds(450));
  EXPECT_EQ(found.size(), 50U);
}

// Guards against an upstream that crashed again being cleared by what it sent
// between its crashes.
TEST(CrashEvidence, LaterCrashOfAnUpstreamIsCheckedOnItsOwn)
{
  gsFleet fleet;
  fleet.Rows.emplace_back();
  fleet.ByHash[7] = 0;
  gsMetrics metrics;
  gsCrashWatch watch(fleet, metrics);
  std::vector<gsFingerprint> alive;
  watch.SetEvidenceCallback([&alive](gsCrashReport const& report) {
    alive.push_back(report.Fingerprint);
  });
  watch.ApplyReport(Report(Request(1), 7), "host2", Start);
  gsTime second = Start + gsMilliseconds(500);
  watch.ApplyReport(Report(Request(2), 7, second), "host2", second);
  fleet.Rows[0].LastReceivedAt = Start + gsMilliseconds(490);
  watch.ProcessPendingChecks(Start + gsMilliseconds(600));
  EXPECT_EQ(alive, std::vector<gsFingerprint>{ Request(1) });
  watch.ProcessPendingChecks(Start + gsMilliseconds(2500));
  EXPECT_EQ(alive.size(), 1U);
}
