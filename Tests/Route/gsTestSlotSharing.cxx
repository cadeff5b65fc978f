/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Requests at a service whose slots are shared by many hosts. */
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsRouteBench.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;
using Script = gsScriptedUpstream::Script;

constexpr std::size_t ManyHosts = 100;
constexpr char const* NotExecuted = "Gradescale-Not-Executed: 1\r\n";

/** A bench whose upstreams share their slots with 99 other hosts. The share of
 * this host is below one slot, and one attempt at a time is allowed. */
class SharedBench : public gsRouteBench
{
public:
  explicit SharedBench(gsFeatureMode mode = gsFeatureMode::On)
  {
    this->RateLimiter.SetSlotSharing(mode);
    this->RateLimiter.SetRecentPeakHosts(ManyHosts);
    this->Fleet.SlotLimits.Settings.EnforcementDelay = {};
  }

  /** Waits until the shared slots are read from the table again. */
  void AwaitUpdate() { this->RunFor(1.05); }

  /** Shares the slots of all upstreams added so far. */
  void Share()
  {
    gsRouteTable table = this->MakeTable();
    gsRouteService service;
    service.Name = "model";
    table.Services = { service };
    this->RateLimiter.UpdateSharedSlots(table, gsLoop::Now());
  }

  /** Answers each request after a time. */
  Script AnswerAfter(gsTime time, unsigned status = 200,
                     std::string const& headers = "")
  {
    return [this, time, status, headers](Connection const& to,
                                         gsScriptedRequest const& request) {
      ++this->Running;
      this->MaxRunning = std::max(this->MaxRunning, this->Running);
      this->Timers.push_back(std::make_unique<gsTimer>(
        this->Loop, [this, to, request, status, headers] {
          --this->Running;
          to->Write(gsWholeAnswer(request, "body", status, headers));
        }));
      this->Timers.back()->Once(time);
    };
  }

  gsSlotUse const& SlotsOf(std::string const& upstream)
  {
    std::uint32_t hash = gsFleetFind(this->Fleet, upstream)->Hash;
    return this->Fleet.SlotLimits.Upstreams.at(hash).Slots;
  }

  int Running = 0;
  int MaxRunning = 0;

private:
  std::vector<std::unique_ptr<gsTimer>> Timers;
};

gsCallerSends RequestTo(std::string const& route, std::size_t number)
{
  gsCallerSends sends;
  sends.Target = "/" + route + "/x";
  sends.Id = "id-" + std::to_string(number);
  return sends;
}

/** Never answers. */
void Hold(Connection const& /*to*/, gsScriptedRequest const& /*request*/) {}

} // namespace

// Guards against hosts that each use all slots.
TEST(SlotSharing, RequestsWaitForTheSharedSlot)
{
  SharedBench bench;
  bench.Add("u1", bench.AnswerAfter(gsMilliseconds(30)));
  bench.Share();
  std::vector<gsCallerViewPtr> views;
  for (std::size_t i = 0; i < 3; ++i) {
    views.push_back(bench.Send(RequestTo("plain", i)));
  }
  ASSERT_TRUE(bench.RunUntil([&] {
    return std::all_of(views.begin(), views.end(),
                       [](gsCallerViewPtr const& view) { return view->Done; });
  }));
  for (gsCallerViewPtr const& view : views) {
    EXPECT_EQ(view->Status, 200U);
  }
  EXPECT_EQ(bench.MaxRunning, 1);
  EXPECT_EQ(bench.SlotsOf("u1").InUse, 0U);
  EXPECT_EQ(bench.SlotsOf("u1").TokensReturned, 3U);
}

// Guards against requests that wait at one upstream while another is free.
TEST(SlotSharing, AnotherUpstreamServesWhatIsAboveTheShare)
{
  SharedBench bench;
  bench.Add("u1", bench.AnswerAfter(gsMilliseconds(100)));
  bench.Add("u2", bench.AnswerAfter(gsMilliseconds(100)));
  bench.Share();
  gsCallerViewPtr first = bench.Send(RequestTo("plain", 1));
  gsCallerViewPtr second = bench.Send(RequestTo("plain", 2));
  ASSERT_TRUE(bench.RunUntil([&] { return first->Done && second->Done; }));
  EXPECT_EQ(bench.MaxRunning, 2);
  EXPECT_EQ(bench.SlotsOf("u1").TokensReturned, 1U);
  EXPECT_EQ(bench.SlotsOf("u2").TokensReturned, 1U);
}

// Guards against urgent requests that queue behind less urgent ones.
TEST(SlotSharing, TheMostUrgentRequestGetsTheNextSlot)
{
  SharedBench bench;
  bench.Add("u1", bench.AnswerAfter(gsMilliseconds(50)));
  bench.Share();
  gsCallerViewPtr running = bench.Send(RequestTo("plain", 1));
  bench.RunFor(0.01);
  gsCallerViewPtr patient = bench.Send(RequestTo("patient", 2));
  bench.RunFor(0.005);
  gsCallerViewPtr urgent = bench.Send(RequestTo("plain", 3));
  ASSERT_TRUE(bench.RunUntil([&] { return patient->Done && urgent->Done; }));
  EXPECT_EQ(urgent->Status, 200U);
  EXPECT_LT(urgent->Ended, patient->Ended);
}

// Guards against requests that wait until they are late, and against those
// that are refused although an answer could still be in time.
TEST(SlotSharing, RequestsWithoutASlotAreRefusedBeforeTheTarget)
{
  SharedBench bench;
  bench.Add("u1", Hold);
  bench.Share();
  bench.Send(RequestTo("plain", 1));
  bench.RunFor(0.02);
  gsTime sent = gsLoop::Now();
  gsCallerViewPtr refused = bench.SendAndWait(RequestTo("plain", 2));
  EXPECT_EQ(refused->Status, 503U);
  EXPECT_NE(refused->Body.find("no_slot"), std::string::npos);
  EXPECT_LT(refused->Ended - sent, gsMilliseconds(300));
  EXPECT_GE(refused->Ended - sent, gsMilliseconds(200));
  EXPECT_EQ(bench.Arrivals(), 1U);
}

// Guards against a slot that is given to a more urgent request which must not
// be sent to that upstream, while one that waits for it is refused.
TEST(SlotSharing, ASlotServesTheFirstRequestThatMayUseTheUpstream)
{
  SharedBench bench;
  bench.Add("u2", Hold);
  bench.Share();
  bench.Send(RequestTo("plain", 1));
  ASSERT_TRUE(bench.RunUntil([&] { return bench.Arrivals() == 1; }));
  Script reject = bench.AnswerAfter(gsMilliseconds(1), 503, NotExecuted);
  Script answer = bench.AnswerAfter(gsMilliseconds(100));
  int arrivals = 0;
  bench.Add("u1", [&](Connection const& to, gsScriptedRequest const& request) {
    (++arrivals == 1 ? reject : answer)(to, request);
  });
  bench.AwaitUpdate();
  bench.Share();
  // The first one has tried u1, and waits for u2.
  gsCallerViewPtr first = bench.Send(RequestTo("safe", 2));
  ASSERT_TRUE(bench.RunUntil(
    [&] { return bench.SlotsOf("u1").TokensReturned == 1; }, 0.2));
  gsCallerViewPtr running = bench.Send(RequestTo("plain", 3));
  ASSERT_TRUE(bench.RunUntil([&] { return arrivals == 2; }, 0.2));
  gsCallerViewPtr next = bench.Send(RequestTo("plain", 4));
  ASSERT_TRUE(bench.RunUntil([&] { return next->Done; }));
  EXPECT_EQ(running->Status, 200U);
  EXPECT_EQ(next->Status, 200U);
  EXPECT_LT(next->Ended - running->Ended, gsMilliseconds(130));
}

// Guards against an attempt that returns a slot which another one uses, after
// sharing has ended and begun again.
TEST(SlotSharing, AnAttemptFromBeforeSharingEndedReturnsNoSlot)
{
  SharedBench bench;
  bench.Add("u1", Hold);
  bench.Share();
  gsCallerViewPtr old = bench.Send(RequestTo("plain", 1));
  ASSERT_TRUE(bench.RunUntil([&] { return bench.Arrivals() == 1; }));
  bench.AwaitUpdate();
  bench.RateLimiter.UpdateSharedSlots({}, gsLoop::Now());
  ASSERT_TRUE(bench.Fleet.SlotLimits.Upstreams.empty());
  bench.AwaitUpdate();
  bench.Share();
  bench.Send(RequestTo("plain", 2));
  ASSERT_TRUE(bench.RunUntil([&] { return bench.Arrivals() == 2; }));
  ASSERT_EQ(bench.SlotsOf("u1").InUse, 1U);
  bench.Leave(old);
  bench.RunFor(0.05);
  EXPECT_EQ(bench.SlotsOf("u1").InUse, 1U);
}

// Guards against slots that are lost when a caller leaves.
TEST(SlotSharing, TheSlotOfACallerThatLeavesIsReturned)
{
  SharedBench bench;
  bench.Add("u1", Hold);
  bench.Share();
  gsCallerViewPtr left = bench.Send(RequestTo("plain", 1));
  ASSERT_TRUE(bench.RunUntil([&] { return bench.Arrivals() == 1; }));
  bench.Leave(left);
  gsCallerViewPtr next = bench.Send(RequestTo("plain", 2));
  EXPECT_TRUE(bench.RunUntil([&] { return bench.Arrivals() == 2; }, 0.5));
}

// Guards against slots that are lost when an upstream rejects a request.
TEST(SlotSharing, TheSlotOfARejectedAttemptIsReturnedAndCounted)
{
  SharedBench bench;
  bench.Add("u1", bench.AnswerAfter(gsMilliseconds(1), 503, NotExecuted));
  bench.Share();
  bench.SendAndWait(RequestTo("plain", 1));
  EXPECT_EQ(bench.SlotsOf("u1").InUse, 0U);
  EXPECT_EQ(bench.SlotsOf("u1").Rejections, 1U);
}

// Guards against a dry run that delays requests.
TEST(SlotSharing, ADryRunOnlyCounts)
{
  SharedBench bench(gsFeatureMode::DryRun);
  bench.Add("u1", bench.AnswerAfter(gsMilliseconds(30)));
  bench.Share();
  std::vector<gsCallerViewPtr> views;
  for (std::size_t i = 0; i < 4; ++i) {
    views.push_back(bench.Send(RequestTo("plain", i)));
  }
  ASSERT_TRUE(bench.RunUntil([&] { return views.back()->Done; }));
  EXPECT_EQ(bench.MaxRunning, 4);
  EXPECT_GE(bench.SlotsOf("u1").SentWithoutToken, 3U);
  nlohmann::json rows = bench.RateLimiter.Status(gsLoop::Now());
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_EQ(rows[0]["resource"], "slots");
  EXPECT_EQ(rows[0]["dry_run"], true);
}

// Guards against a change of behaviour without the setting.
TEST(SlotSharing, OffSharesNothing)
{
  SharedBench bench(gsFeatureMode::Off);
  bench.Add("u1", bench.AnswerAfter(gsMilliseconds(30)));
  bench.Share();
  std::vector<gsCallerViewPtr> views;
  for (std::size_t i = 0; i < 4; ++i) {
    views.push_back(bench.Send(RequestTo("plain", i)));
  }
  ASSERT_TRUE(bench.RunUntil([&] { return views.back()->Done; }));
  EXPECT_EQ(bench.MaxRunning, 4);
  EXPECT_TRUE(bench.Fleet.SlotLimits.Upstreams.empty());
  EXPECT_TRUE(bench.RateLimiter.Status(gsLoop::Now()).empty());
}

// Guards against a service that shares its slots although it has enough.
TEST(SlotSharing, AServiceWithMoreSlotsThanHostsIsNotShared)
{
  SharedBench bench;
  bench.Add("u1", bench.AnswerAfter(gsMilliseconds(30)));
  bench.RateLimiter.SetRecentPeakHosts(8);
  bench.Share();
  EXPECT_TRUE(bench.Fleet.SlotLimits.Upstreams.empty());
}

// Guards against attempts that take a slot and no token of the rate limit.
TEST(SlotSharing, AttemptsNeedATokenOfBothLimits)
{
  SharedBench bench;
  bench.Add(
    "u1", bench.AnswerAfter(gsMilliseconds(1), 200, "Server-Limit: 200\r\n"));
  bench.Share();
  // This host's share of 200 requests per second is 2.
  constexpr int requests = 40;
  for (std::size_t i = 0; i < requests; ++i) {
    bench.Send(RequestTo("plain", i));
    bench.RunFor(0.05);
  }
  EXPECT_LE(bench.Arrivals(), 1U + 2 * 2 + 2);
  EXPECT_GE(bench.Arrivals(), 3U);
  EXPECT_EQ(bench.MaxRunning, 1);
}
