/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Slopes of the pure core's processor time and of the sizes on the wire, from
 * which docs/CAPACITY.md is worked out.
 */
#include <benchmark/benchmark.h>

#include "gsAdmit.h"
#include "gsClaims.h"
#include "gsDispatch.h"
#include "gsDocumentJson.h"
#include "gsLoop.h"
#include "gsMembership.h"
#include "gsPlacement.h"
#include "gsPool.h"
#include "gsQuarantine.h"
#include "gsRendezvous.h"
#include "gsUpstreamList.h"
#include "gsWireCodec.h"

namespace {

gsGrantRequest MakeAsk(std::uint64_t sequence, std::uint64_t organisations)
{
  gsGrantRequest ask;
  ask.Id = { 0x1234567890abcdefULL, sequence, 1 };
  ask.Pool = "model-name@hall-name";
  ask.Organisation = "organisation" + std::to_string(sequence % organisations);
  ask.Template = "template";
  ask.Tier = sequence % 7;
  ask.PromptTokens = 1000;
  ask.MaxWait = gsSeconds(30);
  ask.AffinityHash = gsHashText(ask.Organisation);
  ask.FirstTokenTarget = gsMilliseconds(490);
  ask.TokenIntervalTarget = gsMilliseconds(70);
  return ask;
}

/** One request through a pool: ask, tick with its grant, release. */
void PoolRequest(benchmark::State& state)
{
  gsPool pool;
  pool.Name = "model-name@hall-name";
  pool.Settings.QueueLimit = 100000;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    gsUpstreamRow row;
    row.Name = "upstream" + std::to_string(i);
    row.Limit = 16;
    pool.Upstreams.push_back(row);
  }
  auto organisations = static_cast<std::uint64_t>(state.range(1));
  std::uint64_t sequence = 0;
  gsTime now = gsSeconds(1);
  for (std::int64_t i = 0; i < state.range(2) + 16 * state.range(0); ++i) {
    gsAdmit(pool, MakeAsk(sequence++, organisations), 0, now);
  }
  gsPoolOutput out;
  gsPoolTick(pool, now, out);
  std::deque<gsRequestId> running;
  for (auto const& [id, row] : pool.Running) {
    running.push_back(id);
  }
  while (state.KeepRunning()) {
    now += gsTime(100);
    gsReleaseGrant(pool, running.front(), gsGrantOutcome::Completed, {}, now,
                   out);
    running.pop_front();
    gsAdmit(pool, MakeAsk(sequence++, organisations), 0, now);
    gsPoolOutput granted;
    gsPoolTick(pool, now, granted);
    for (gsGrant const& grant : granted.Grants) {
      running.push_back(grant.Id);
    }
    if (running.empty()) {
      state.SkipWithError("nothing runs");
      break;
    }
  }
}
BENCHMARK(PoolRequest)
  ->ArgNames({ "upstreams", "organisations", "waiting" })
  ->Args({ 2, 10, 0 })
  ->Args({ 14, 10, 0 })
  ->Args({ 32, 10, 0 })
  ->Args({ 14, 10, 1000 })
  ->Args({ 14, 340, 1000 })
  ->Args({ 32, 340, 5000 });

/** Ticks, pings and acks of one host, a second, among so many. */
void MembershipSecond(benchmark::State& state)
{
  gsMembership table;
  gsMember self;
  self.Host = "host-0";
  self.Hall = "hall-0";
  self.Incarnation = 1;
  gsMembershipStart(table, self, gsTime(0));
  gsMembershipOutput ignored;
  for (std::int64_t i = 1; i < state.range(0); ++i) {
    gsMember other = self;
    other.Host = "host-" + std::to_string(i);
    other.Hall = "hall-" + std::to_string(i % 6);
    other.Address = "10.0.0.1:8082";
    gsMembershipApplyUpdate(table, other, gsTime(0), ignored);
  }
  gsRandom random(1);
  gsTime now = gsSeconds(1);
  std::uint64_t messages = 0;
  while (state.KeepRunning()) {
    for (int tick = 0; tick < 20; ++tick) {
      now += gsMilliseconds(50);
      gsMembershipOutput out;
      gsMembershipTick(table, now, random, out);
      for (gsProbeMessage const& message : out.Messages) {
        ++messages;
        gsMembershipOutput answer;
        gsMembershipOnPing(table, message.To, 1, answer);
        gsMembershipOnAck(table, message.To, message.Sequence, {}, answer);
      }
    }
  }
  state.counters["messages"] = benchmark::Counter(
    static_cast<double>(messages), benchmark::Counter::kAvgIterations);
}
BENCHMARK(MembershipSecond)->ArgName("hosts")->Arg(8)->Arg(64)->Arg(340);

gsDocument BigDocument(std::int64_t organisations, std::int64_t upstreams)
{
  gsDocument document;
  for (int i = 0; i < 7; ++i) {
    document.Tiers.push_back({ "tier" + std::to_string(i), gsSeconds(5) });
  }
  for (int i = 0; i < 24; ++i) {
    gsTemplate row;
    row.Name = "template" + std::to_string(i);
    row.Service = "model" + std::to_string(i % 8);
    row.Tier = "tier" + std::to_string(i % 7);
    document.Templates.push_back(row);
  }
  for (std::int64_t i = 0; i < organisations; ++i) {
    gsOrganisation row;
    row.Name = "organisation" + std::to_string(i);
    row.KeyHashes = { std::string(64 - std::to_string(i).size(), '0') +
                      std::to_string(i) };
    for (int j = 0; j < 8; ++j) {
      row.Classes["template" + std::to_string(j)].Repeatable = false;
    }
    document.Organisations.push_back(row);
  }
  for (std::int64_t i = 0; i < upstreams; ++i) {
    gsUpstream row;
    row.Name = "upstream" + std::to_string(i);
    row.Hall = "hall" + std::to_string(i % 6);
    row.Service = "model" + std::to_string(i % 8);
    row.Address = "10.0.0.1:8000";
    document.Upstreams.push_back(row);
  }
  return document;
}

/** Applying one change to the whole document. */
void ConfigurationChange(benchmark::State& state)
{
  gsDocument document = BigDocument(state.range(0), state.range(1));
  std::uint64_t number = 0;
  std::size_t size = 0;
  while (state.KeepRunning()) {
    gsJson change{ { "id", std::to_string(number++) },
                   { "kind", "set_organisation" },
                   { "organisation", gsToJson(document.Organisations[0]) } };
    std::string text = change.dump();
    size = text.size();
    benchmark::DoNotOptimize(gsApplyChange(document, text));
  }
  state.counters["change_bytes"] = static_cast<double>(size);
  state.counters["document_bytes"] =
    static_cast<double>(gsToJson(document).dump().size());
}
BENCHMARK(ConfigurationChange)
  ->ArgNames({ "organisations", "upstreams" })
  ->Args({ 10, 30 })
  ->Args({ 340, 660 })
  ->Unit(benchmark::kMicrosecond);

/** Claims a transaction, of so many at a time. */
void ClaimBatch(benchmark::State& state)
{
  gsClaims claims;
  gsTime now = gsSeconds(1);
  std::vector<gsClaimDecision> out;
  while (state.KeepRunning()) {
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      gsClaimAdd(claims, "claim/" + std::string(64, 'a'), std::string(80, 'v'),
                 1);
    }
    now += gsMilliseconds(20);
    auto batch = gsClaimsTick(claims, now);
    std::vector<gsTableResult> results(batch->Operations.size(),
                                       { true, std::string(80, 'v') });
    out.clear();
    gsClaimsProcessResults(claims, batch->Number, results, out);
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(ClaimBatch)->ArgName("claims")->Arg(1)->Arg(50);

/** Bytes and time of the messages of one request. */
void RequestMessages(benchmark::State& state)
{
  gsGrant grant;
  gsGrantRequest ask = MakeAsk(1, 340);
  grant.Id = ask.Id;
  grant.Pool = ask.Pool;
  grant.Upstream = "upstream-123";
  grant.Address = "10.0.0.1:8000";
  grant.Incarnation = std::string(32, 'f');
  std::size_t size = 0;
  while (state.KeepRunning()) {
    gradescale::Frame frame;
    gsToWire(ask, frame.add_asks());
    gsToWire(grant, frame.add_grants());
    gradescale::Release* release = frame.add_releases();
    gsToWire(ask.Id, release->mutable_id());
    release->set_pool(ask.Pool);
    release->set_tokens(1000);
    release->set_first_token_us(400000);
    release->set_gap_us(60000);
    release->set_duration_us(60000000);
    std::string bytes = frame.SerializeAsString();
    size = bytes.size();
    gradescale::Frame back;
    benchmark::DoNotOptimize(back.ParseFromString(bytes));
  }
  state.counters["bytes"] = static_cast<double>(size);
}
BENCHMARK(RequestMessages);

/** Choosing the dispatcher among the hosts of a hall. */
void Rendezvous(benchmark::State& state)
{
  std::vector<std::string> hosts;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    hosts.push_back("host-" + std::to_string(i));
  }
  std::vector<std::string_view> names(hosts.begin(), hosts.end());
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(gsRendezvous(names, "model-name@hall-name"));
  }
}
BENCHMARK(Rendezvous)->ArgName("hosts")->Arg(3)->Arg(57);

gsListedUpstream ListedEngine(std::size_t number)
{
  gsListedUpstream upstream;
  upstream.Id = "i-" + std::to_string(number);
  upstream.StartedAt = 1 + number;
  upstream.Service = "model";
  upstream.Address = "10.0.0.1:8080";
  upstream.Hall = std::string(1, static_cast<char>('a' + number % 6));
  upstream.Slots = 32;
  return upstream;
}

gsFleet FleetOf(std::size_t upstreams)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  for (std::size_t i = 0; i < upstreams; ++i) {
    gsFleetUpsert(fleet, ListedEngine(i), gsTime{});
  }
  return fleet;
}

/** A request is placed among so many engines. */
void PlaceAmong(benchmark::State& state)
{
  gsFleet fleet = FleetOf(static_cast<std::size_t>(state.range(0)));
  gsRandom random(1);
  gsTime now = gsSeconds(100);
  std::uint64_t subject = 2;
  while (state.KeepRunning()) {
    ++subject;
    std::vector<gsPromptPart> parts{ { 1, 500 },
                                     { subject, 5000 },
                                     { subject + 1'000'000, 600 } };
    gsPlacementRequest ask;
    ask.Service = "model";
    ask.Parts = &parts;
    ask.PromptTokens = 6100;
    ask.Hosts = 986;
    benchmark::DoNotOptimize(gsPlaceRequest(fleet, ask, now, random));
  }
}
BENCHMARK(PlaceAmong)
  ->ArgName("upstreams")
  ->Arg(100)
  ->Arg(256)
  ->Arg(1'000)
  ->Arg(10'000)
  ->Arg(20'000);

/** 300 of so many upstreams are replaced: taken as rows and put in use. */
void ReleaseOf300(benchmark::State& state)
{
  auto upstreams = static_cast<std::size_t>(state.range(0));
  gsFleet fleet = FleetOf(upstreams);
  gsUpstreamList list;
  std::uint64_t version = 1;
  std::size_t next = upstreams;
  while (state.KeepRunning()) {
    for (std::size_t i = 0; i < 300; ++i, ++next) {
      gsListedUpstream fresh = ListedEngine(next);
      std::string gone = ListedEngine(next - upstreams).Id;
      gsListApplyRow(list, fresh.Id, ++version, fresh);
      gsFleetUpsert(fleet, fresh, gsTime{});
      gsListRemoveRow(list, gone);
      gsFleetRemove(fleet, gone);
    }
  }
}
BENCHMARK(ReleaseOf300)
  ->ArgName("upstreams")
  ->Arg(1'000)
  ->Arg(10'000)
  ->Arg(20'000)
  ->Unit(benchmark::kMillisecond);

/** The fingerprint of a request with a body of so many bytes. */
void Fingerprint(benchmark::State& state)
{
  std::string const body(static_cast<std::size_t>(state.range(0)), 'x');
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(gsFingerprintOf("club", "/route/x", body));
  }
}
BENCHMARK(Fingerprint)->ArgName("bytes")->Arg(12'000)->Arg(1'000'000);

/** Whether a request is refused, while 2,048 are suspected. */
void SuspicionOfRequest(benchmark::State& state)
{
  gsQuarantine table;
  for (std::uint32_t i = 0; i < 2048; ++i) {
    gsQuarantineMergeReport(
      table, { { i, i }, i % 340, { i, gsCrashVerdict::Crashed, {}, {} } },
      {});
  }
  std::uint64_t next = 0;
  while (state.KeepRunning()) {
    gsFingerprint const print{ next, next };
    benchmark::DoNotOptimize(gsSuspicionLevelOf(table, print, {}));
    next = (next + 1) % 4096;
  }
}
BENCHMARK(SuspicionOfRequest);

/** One reading of the clock. */
void ClockNow(benchmark::State& state)
{
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(gsLoop::Now());
  }
}
BENCHMARK(ClockNow);

} // namespace
