/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsPrefixSharing.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gsLoop.h"
#include "gsRendezvous.h"
#include "gsSubjectPlacement.h"

namespace {

constexpr gsTime ReduceInterval = gsSeconds(1);
/** Rows of the status; it would otherwise have thousands. */
constexpr std::size_t MaxStatusRows = 200;
/** Received ages above this are expired anyway. */
constexpr std::uint32_t MaxAgeMillis = 600'000;

std::int64_t Millis(gsTime time)
{
  return std::chrono::duration_cast<gsMilliseconds>(time).count();
}

gsPrefixChange FromWire(std::uint32_t service,
                        gradescale::PrefixHolding const& wire, gsTime now)
{
  gsPrefixChange change;
  change.Key = { service, wire.subject() };
  change.Engine = wire.upstream();
  change.Tokens = wire.tokens();
  change.IsReading = wire.reading();
  change.IsDropped = wire.dropped();
  change.UsedAt = now - gsMilliseconds(std::min(wire.age_ms(), MaxAgeMillis));
  return change;
}

void ToWire(gsPrefixChange const& change, gsTime now,
            gradescale::PrefixHolding* wire)
{
  wire->set_subject(change.Key.Subject);
  wire->set_upstream(change.Engine);
  wire->set_tokens(change.Tokens);
  wire->set_reading(change.IsReading);
  wire->set_dropped(change.IsDropped);
  wire->set_age_ms(static_cast<std::uint32_t>(
    std::max<std::int64_t>(0, Millis(now - change.UsedAt))));
}

/** Number of engines that serve a subject. */
std::size_t ServingCount(gsPrefixSubject const& subject)
{
  return static_cast<std::size_t>(std::count_if(
    subject.Holdings.begin(), subject.Holdings.end(),
    [](gsPrefixHolding const& holding) { return holding.IsServing; }));
}

std::string EngineName(gsFleet const& fleet, std::uint32_t engine)
{
  auto row = fleet.ByHash.find(engine);
  return row == fleet.ByHash.end() ? std::to_string(engine)
                                   : fleet.Rows[row->second].Listed.Id;
}

} // namespace

char const* gsPrefixModeName(gsFeatureMode mode)
{
  switch (mode) {
    case gsFeatureMode::On:
      return "on";
    case gsFeatureMode::DryRun:
      return "dry_run";
    case gsFeatureMode::Off:
      break;
  }
  return "off";
}

std::size_t gsToWire(gsPrefixUpdate const& update, gsTime now,
                     gradescale::Frame* frame)
{
  std::map<std::uint32_t, gradescale::PrefixUpdate> messages;
  for (gsPrefixChange const& change : update.Changes) {
    ToWire(change, now, messages[change.Key.Service].add_holdings());
  }
  for (auto const& [key, micros] : update.Demands) {
    gradescale::SubjectDemand* demand = messages[key.Service].add_demands();
    demand->set_subject(key.Subject);
    demand->set_engine_micros(micros);
  }
  std::size_t bytes = 0;
  for (auto& [service, message] : messages) {
    message.set_service(service);
    message.set_scope(static_cast<std::uint32_t>(update.Scope));
    bytes += message.ByteSizeLong();
    *frame->add_prefix_updates() = std::move(message);
  }
  return bytes;
}

gsPrefixUpdate gsFromWire(gradescale::PrefixUpdate const& wire, gsTime now)
{
  gsPrefixUpdate update;
  update.Scope =
    wire.scope() <= static_cast<std::uint32_t>(gsLoadScope::Others)
      ? static_cast<gsLoadScope>(wire.scope())
      : gsLoadScope::Others;
  for (gradescale::PrefixHolding const& holding : wire.holdings()) {
    update.Changes.push_back(FromWire(wire.service(), holding, now));
  }
  for (gradescale::SubjectDemand const& demand : wire.demands()) {
    update.Demands[{ wire.service(), demand.subject() }] =
      demand.engine_micros();
  }
  return update;
}

gsPrefixSharing::gsPrefixSharing(gsFleet& fleet)
  : Fleet(fleet)
{
}

void gsPrefixSharing::Start(gsHallCluster& cluster)
{
  this->Cluster = &cluster;
  this->Fleet.Prefixes.Self = cluster.Self();
}

bool gsPrefixSharing::IsActive() const
{
  return this->Cluster != nullptr &&
         gsIsActive(this->Fleet.Settings.Prefixes.Mode);
}

void gsPrefixSharing::OnReceive(std::string const& host,
                                gradescale::Frame const& frame)
{
  if (!this->IsActive() || frame.prefix_updates().empty()) {
    return;
  }
  gsTime now = gsLoop::Now();
  gsHallMembership const& table = this->Cluster->Members();
  std::string_view hall = gsHallOf(table, host);
  if (hall.empty()) {
    return;
  }
  bool isRelay = gsHallRelay(table, now) == this->Cluster->Self();
  // The demands of all services in a frame are one report.
  gsPrefixUpdate all;
  for (gradescale::PrefixUpdate const& wire : frame.prefix_updates()) {
    this->BytesReceived += wire.ByteSizeLong();
    gsPrefixUpdate update = gsFromWire(wire, now);
    all.Scope = update.Scope;
    all.Changes.insert(all.Changes.end(), update.Changes.begin(),
                       update.Changes.end());
    all.Demands.insert(update.Demands.begin(), update.Demands.end());
  }
  gsApplyPrefixUpdate(this->Fleet.Prefixes, host, all, isRelay, now);
}

void gsPrefixSharing::Send(gsPrefixMessage const& message, gsTime now)
{
  if (gradescale::Frame* frame = this->Cluster->ToHost(message.To)) {
    this->BytesSent += gsToWire(message.Update, now, frame);
  }
}

void gsPrefixSharing::Tick(gsTime now)
{
  if (!this->IsActive()) {
    return;
  }
  if (now - this->ReducedAt >= ReduceInterval) {
    this->ReducedAt = now;
    gsReduceSubjectEngines(this->Fleet, now);
  }
  gsHallMembership const& table = this->Cluster->Members();
  gsLoadPeers peers;
  peers.Relay = gsHallRelay(table, now);
  peers.HallSize = gsHallSize(table, now);
  if (peers.Relay == this->Cluster->Self()) {
    peers.HallHosts = gsHallPeers(table, now);
    for (auto const& [hall, relay] : gsOtherRelays(table, now)) {
      peers.OtherRelays.push_back(relay);
    }
  }
  for (gsPrefixMessage const& message :
       gsPrefixTick(this->Fleet.Prefixes, peers, now)) {
    this->Send(message, now);
  }
}

nlohmann::json gsPrefixSharing::Status(gsTime now) const
{
  gsPrefixDirectory const& directory = this->Fleet.Prefixes;
  struct Row
  {
    std::size_t Serving;
    double Demand;
    gsPrefixKey Key;
    gsPrefixSubject const* Subject;
  };
  std::vector<Row> order;
  for (auto const& [key, subject] : directory.Subjects) {
    if (!subject.Holdings.empty()) {
      order.push_back({ ServingCount(subject),
                        gsPrefixDemand(directory, key, now), key, &subject });
    }
  }
  std::size_t count = std::min(order.size(), MaxStatusRows);
  std::partial_sort(
    order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
    order.end(), [](Row const& a, Row const& b) {
      return a.Demand != b.Demand ? a.Demand > b.Demand : a.Key < b.Key;
    });
  order.resize(count);
  std::unordered_map<std::uint32_t, std::string> services;
  for (auto const& [name, rows] : this->Fleet.ByService) {
    services[gsPrefixKeyOf(name, 0).Service] = name;
  }
  nlohmann::json rows = nlohmann::json::array();
  for (Row const& row : order) {
    nlohmann::json serving = nlohmann::json::array();
    nlohmann::json reading = nlohmann::json::array();
    nlohmann::json others = nlohmann::json::array();
    gsTime usedAt{};
    std::uint32_t tokens = 0;
    for (gsPrefixHolding const& holding : row.Subject->Holdings) {
      std::string name = EngineName(this->Fleet, holding.Engine);
      (holding.IsServing ? serving : others).push_back(name);
      if (holding.IsReading) {
        reading.push_back(name);
      }
      usedAt = std::max(usedAt, holding.UsedAt);
      tokens = std::max(tokens, holding.Tokens);
    }
    rows.push_back({ { "service", services[row.Key.Service] },
                     // A number would lose digits in readers that use doubles.
                     { "subject", std::to_string(row.Key.Subject) },
                     { "tokens", tokens },
                     { "demand", row.Demand },
                     { "needed", gsNeededEngines(this->Fleet, row.Demand) },
                     { "serving", std::move(serving) },
                     { "reading", std::move(reading) },
                     { "holding", std::move(others) },
                     { "used_ms", Millis(now - usedAt) } });
  }
  return rows;
}

void gsPrefixSharing::WriteGauges(gsMetrics& metrics) const
{
  gsPrefixDirectory const& directory = this->Fleet.Prefixes;
  std::size_t spread = 0;
  for (auto const& [key, subject] : directory.Subjects) {
    spread += ServingCount(subject) > 1 ? 1 : 0;
  }
  auto set = [&metrics](char const* name, std::string const& labels,
                        std::uint64_t value) {
    metrics.Set(name, labels, static_cast<double>(value));
  };
  set("gradescale_prefix_holdings", {}, directory.HoldingCount);
  set("gradescale_prefix_spread_subjects", {}, spread);
  set("gradescale_prefix_additions_total", {}, directory.Counts.Additions);
  set("gradescale_prefix_dropped_total", {}, directory.Counts.DroppedHoldings);
  set("gradescale_prefix_reprocessed_tokens_total", {},
      directory.Counts.ReprocessedTokens);
  set("gradescale_prefix_update_bytes_total", "direction=\"sent\"",
      this->BytesSent);
  set("gradescale_prefix_update_bytes_total", "direction=\"received\"",
      this->BytesReceived);
}
