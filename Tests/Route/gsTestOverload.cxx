/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Requests that wait on a host, and refusals, under overload. */
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsRendezvous.h"
#include "gsRouteBench.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;

gsRouteGatewaySettings Settings(gsFeatureMode mode = gsFeatureMode::On)
{
  gsRouteGatewaySettings settings;
  settings.Admission.Mode = mode;
  return settings;
}

/** Makes the bench's service one with engines, and sets the target. */
void UseEngines(gsRouteBench& bench, gsTime target = gsMilliseconds(2000))
{
  gsRouteTable table = bench.MakeTable();
  gsRouteService service;
  service.Name = "model";
  service.Engine.emplace();
  service.Engine->Slots = 8;
  table.Services = { service };
  for (gsRoute& route : table.Routes) {
    route.LatencyTarget = target;
    route.Timeout = gsSeconds(8);
  }
  gsIndexRoutes(table);
  bench.Gateway->SetRoutes(
    std::make_shared<gsRouteTable const>(std::move(table)));
}

void Answer(Connection const& to, gsScriptedRequest const& request)
{
  to->Write(gsWholeAnswer(request, "body"));
}

/** Load of other hosts at an upstream: prompts that take a time. */
void Load(gsRouteBench& bench, std::string const& id, double seconds)
{
  gsFleetRow& row = *gsFleetFind(bench.Fleet, id);
  row.OthersLoad.PendingPromptTokens =
    static_cast<std::uint64_t>(seconds * 1e3 / 0.02 / 0.6);
  row.OthersReportedAt = gsLoop::Now();
}

gsCallerSends RequestTo(std::string const& route, int number)
{
  gsCallerSends sends;
  sends.Target = "/" + route + "/x";
  sends.Id = "id-" + std::to_string(number);
  sends.Body = "body " + std::to_string(number);
  return sends;
}

/** Demand of other hosts that is far above the capacity. */
void Press(gsRouteBench& bench)
{
  gsOverload& overload = bench.Fleet.Overload["model"];
  bench.Gateway->AdmissionControl().SetHostCounts(10, 10);
  gsServiceDemand others;
  others.Kinds[0] = { 50000, 100 };
  auto name = static_cast<std::uint32_t>(gsHashText("club"));
  others.Organisations[name] = 50000;
  gsSetReportedDemand(overload, others, gsLoop::Now());
}

} // namespace

// Guards against a request that is sent to an engine that would serve it late,
// although another one has room a moment later.
TEST(Overload, ARequestWaitsAndIsPlacedWhenThereIsRoom)
{
  gsRouteBench bench(Settings());
  UseEngines(bench);
  gsScriptedUpstream& engine = bench.Add("e1", Answer);
  Load(bench, "e1", 3);
  gsCallerViewPtr view = bench.Send(RequestTo("plain", 1));
  bench.RunFor(0.15);
  EXPECT_FALSE(view->Done);
  EXPECT_EQ(engine.Requests.size(), 0U);
  EXPECT_EQ(bench.Gateway->OpenRequests(), 1U);
  Load(bench, "e1", 0);
  bench.Gateway->AdmissionControl().OnLoadChange();
  ASSERT_TRUE(bench.RunUntil([&] { return view->Done; }, 0.15));
  EXPECT_EQ(view->Status, 200U);
}

// Guards against a refusal of a request that is served late, but before its
// caller leaves.
TEST(Overload, ALateRequestIsPlacedAtTheEndOfItsWait)
{
  gsRouteBench bench(Settings());
  UseEngines(bench);
  bench.Add("e1", Answer);
  Load(bench, "e1", 3);
  gsTime sent = gsLoop::Now();
  gsCallerViewPtr view = bench.SendAndWait(RequestTo("plain", 1));
  EXPECT_EQ(view->Status, 200U);
  EXPECT_GE(view->Ended - sent, gsMilliseconds(490));
  EXPECT_LE(view->Ended - sent, gsMilliseconds(700));
}

// Guards against a refusal that comes late, or whose time to come back is
// longer than the caller can wait.
TEST(Overload, ARequestThatCannotBeServedIsRefusedAsNotRun)
{
  gsRouteBench bench(Settings());
  UseEngines(bench);
  gsScriptedUpstream& engine = bench.Add("e1", Answer);
  Load(bench, "e1", 40);
  gsTime sent = gsLoop::Now();
  gsCallerViewPtr view = bench.SendAndWait(RequestTo("plain", 1));
  EXPECT_EQ(view->Status, 503U);
  EXPECT_LE(view->Ended - sent, gsMilliseconds(320));
  double retryAfter = std::stod(view->Header("retry-after"));
  EXPECT_GE(retryAfter, 0.3);
  EXPECT_LE(retryAfter, 8.0 / 3);
  EXPECT_NE(view->Body.find("was not run"), std::string::npos);
  EXPECT_EQ(engine.Requests.size(), 0U);
  EXPECT_EQ(bench.Gateway->OpenRequests(), 0U);
}

// Guards against requests that stay in the queue after their callers have
// left.
TEST(Overload, ACallerThatLeavesEndsItsWait)
{
  gsRouteBench bench(Settings());
  UseEngines(bench);
  gsScriptedUpstream& engine = bench.Add("e1", Answer);
  Load(bench, "e1", 3);
  gsCallerViewPtr view = bench.Send(RequestTo("plain", 1));
  ASSERT_TRUE(
    bench.RunUntil([&] { return bench.Gateway->OpenRequests() == 1; }));
  bench.RunFor(0.05);
  bench.Leave(view);
  ASSERT_TRUE(
    bench.RunUntil([&] { return bench.Gateway->OpenRequests() == 0; }));
  bench.RunFor(0.6);
  EXPECT_EQ(engine.Requests.size(), 0U);
  gsOverload const& overload = bench.Fleet.Overload["model"];
  EXPECT_EQ(overload.Kinds.at(0).Waiting, 0U);
}

// Guards against a queue in the order of arrival.
TEST(Overload, TheMostUrgentRequestIsPlacedFirst)
{
  gsRouteBench bench(Settings());
  UseEngines(bench);
  std::vector<std::string> order;
  bench.Add("e1", [&](Connection const& to, gsScriptedRequest const& request) {
    order.push_back(request.Id());
    Answer(to, request);
  });
  Load(bench, "e1", 3);
  gsCallerViewPtr patient = bench.Send(RequestTo("patient", 1));
  bench.RunFor(0.03);
  gsCallerViewPtr urgent = bench.Send(RequestTo("plain", 2));
  bench.RunFor(0.03);
  Load(bench, "e1", 0);
  bench.Gateway->AdmissionControl().OnLoadChange();
  ASSERT_TRUE(
    bench.RunUntil([&] { return patient->Done && urgent->Done; }, 0.3));
  EXPECT_EQ(order, (std::vector<std::string>{ "id-2", "id-1" }));
}

// Guards against a caller that follows Retry-After and is refused again in
// favour of new callers, and against an advantage of one that does not.
TEST(Overload, ACallerThatReturnsAtItsTimeTakesPrecedence)
{
  gsRouteBench bench(Settings());
  UseEngines(bench);
  bench.Add("e1", Answer);
  Load(bench, "e1", 1);
  Press(bench);
  gsFleetFind(bench.Fleet, "e1")->OthersLoad.OpenAttempts = 8;
  gsCallerViewPtr refused;
  for (int i = 1; i <= 40 && refused == nullptr; ++i) {
    gsCallerViewPtr view = bench.SendAndWait(RequestTo("plain", i));
    refused = view->Status == 503U ? view : nullptr;
    if (refused != nullptr) {
      double retryAfter = std::stod(view->Header("retry-after"));
      gsCallerSends again = RequestTo("plain", i);
      again.Id = "early";
      gsCallerViewPtr early = bench.SendAndWait(again);
      EXPECT_EQ(early->Status, 503U);
      EXPECT_LE(std::stod(early->Header("retry-after")), retryAfter);
      bench.RunFor(retryAfter);
      Load(bench, "e1", 1);
      Press(bench);
      again.Id = "in-time";
      EXPECT_EQ(bench.SendAndWait(again)->Status, 200U);
    }
  }
  EXPECT_NE(refused, nullptr);
}

// Guards against a queue without bounds, and against one that keeps less
// urgent requests in favour of more urgent ones.
TEST(Overload, TheLeastUrgentRequestIsRefusedWhenTheQueueIsFull)
{
  for (bool isBoundByBytes : { false, true }) {
    gsRouteGatewaySettings settings = Settings();
    settings.Admission.Queue.MaxRequests = isBoundByBytes ? 100 : 1;
    settings.Admission.Queue.MaxBytes = isBoundByBytes ? 10 : 1000;
    gsRouteBench bench(settings);
    UseEngines(bench);
    bench.Add("e1", Answer);
    Load(bench, "e1", 3);
    gsCallerViewPtr patient = bench.Send(RequestTo("patient", 1));
    bench.RunFor(0.03);
    EXPECT_FALSE(patient->Done);
    gsCallerViewPtr urgent = bench.Send(RequestTo("plain", 2));
    ASSERT_TRUE(bench.RunUntil([&] { return patient->Done; }, 0.2));
    EXPECT_EQ(patient->Status, 503U);
    EXPECT_FALSE(urgent->Done);
    ASSERT_TRUE(bench.RunUntil([&] { return urgent->Done; }, 1));
    EXPECT_EQ(urgent->Status, 200U);
  }
}

TEST(Overload, DryRunAndOffRefuseNothing)
{
  for (gsFeatureMode mode : { gsFeatureMode::Off, gsFeatureMode::DryRun }) {
    gsRouteBench bench(Settings(mode));
    UseEngines(bench);
    bench.Add("e1", Answer);
    Load(bench, "e1", 40);
    gsTime sent = gsLoop::Now();
    gsCallerViewPtr view = bench.SendAndWait(RequestTo("plain", 1));
    EXPECT_EQ(view->Status, 200U);
    EXPECT_LE(view->Ended - sent, gsMilliseconds(200));
    EXPECT_EQ(bench.Fleet.Overload.empty(), mode == gsFeatureMode::Off);
  }
}

// Guards against refusals by plain services, whose slots are not engines.
TEST(Overload, ServicesWithoutAnEngineAreNotSubjectToAdmission)
{
  gsRouteBench bench(Settings());
  bench.Add("u1", Answer);
  Load(bench, "u1", 40);
  EXPECT_EQ(bench.SendAndWait(RequestTo("plain", 1))->Status, 200U);
  EXPECT_TRUE(bench.Fleet.Overload.empty());
}
