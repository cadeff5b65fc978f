/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRouteNode.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <sys/stat.h>

#include "gsHallStatus.h"
#include "gsHttpStatus.h"
#include "gsLog.h"

namespace {

constexpr gsTime TickPeriod = gsMilliseconds(100);
/** Longer than this without a turn, and the process has stood still. */
constexpr gsTime StallLimit = gsMilliseconds(1000);
/** Without the platform and all neighbours it serves by what it has. */
constexpr gsTime CatchUpPatience = gsMilliseconds(1500);
constexpr gsTime StopTick = gsMilliseconds(50);
constexpr gsTime SettingsPeriod = gsSeconds(1);
/** Callers may rest as long as the limit says; the cut comes after it. */
constexpr gsTime IdleMargin = gsSeconds(2);
constexpr std::size_t BytesPerKib = 1024;
/** A host that has not been told how many there are takes the share of one of
 * so many: the least of all that is shared, whatever the size. */
constexpr std::size_t SizeUnknown = 1'000'000;

/** A number that changes whenever the file does; zero if there is none. */
std::uint64_t StampOf(std::string const& path)
{
  struct stat status = {};
  if (stat(path.c_str(), &status) != 0) {
    return 0;
  }
  constexpr std::uint64_t nanos = 1'000'000'000;
  return static_cast<std::uint64_t>(status.st_mtim.tv_sec) * nanos +
         static_cast<std::uint64_t>(status.st_mtim.tv_nsec) +
         static_cast<std::uint64_t>(status.st_ino);
}

gsRouteGatewaySettings GatewaySettings(gsSettings const& settings)
{
  gsRouteGatewaySettings gateway;
  gateway.Upstreams.ConnectTimeout = settings.Upstreams.ConnectTimeout;
  gateway.Upstreams.MaxAnswer = settings.Callers.MaxAnswerKib * BytesPerKib;
  gateway.SilenceLimit = settings.Routing.Silence;
  gateway.RetryAfter = settings.Routing.RetryAfter;
  gateway.RetryShare = settings.Retry.Share;
  gateway.RetryBurst = settings.Retry.Burst;
  return gateway;
}

} // namespace

gsRouteNode::gsRouteNode(gsLoop& loop, gsSettings settings,
                         std::string settingsPath, gsAdapter adapter)
  : Loop(loop)
  , Settings(std::move(settings))
  , SettingsPath(std::move(settingsPath))
  , SettingsStamp(StampOf(this->SettingsPath))
  , Adapter(std::move(adapter))
  , Incarnation(gsWallMicros())
  , Client(loop)
  , Loads(this->Fleet, this->Settings)
  , DrainGossip(this->Fleet)
  , RateLimiter(loop, this->Fleet)
  , TickTimer(loop, [this] { this->Tick(); })
  , LoadTimer(loop, [this] { this->TellLoads(); })
  , StopTimer(loop, [this] { this->Stop(); })
  , Upstreams(this->Adapter, this->Fleet)
{
  this->Fleet.Settings = this->Settings.Placement;
  this->Fleet.Settings.Host = this->Settings.Host;
  this->Fleet.Settings.Hall = this->Settings.Hall;
  auto const& regions = this->Settings.Routing.Regions;
  this->Fleet.Settings.Regions.insert(regions.begin(), regions.end());
  this->Tables = std::make_unique<gsTableSync>(
    loop, this->Client, this->Adapter, this->Settings,
    gsTableSyncEvents{ [this] { this->OnRoutes(); },
                       [this] { this->OnUpstreams(); } });
  this->Cluster = std::make_unique<gsHallCluster>(
    loop, this->Settings, this->Incarnation, this->ClusterEvents());
  this->Gateway = std::make_unique<gsRouteGateway>(
    loop, this->Client, this->Adapter, this->Fleet, this->Metrics,
    GatewaySettings(this->Settings), this->Incarnation);
  this->CrashGossip =
    std::make_unique<gsCrashGossip>(loop, this->Gateway->Crashes());
  this->QuarantineStore = std::make_unique<gsQuarantineStore>(
    this->Client, this->Adapter, this->Settings, this->Gateway->Crashes());
  this->Gateway->TellLeaving([this](gsIncarnation const& upstream) {
    this->DrainGossip.Publish(upstream);
  });
  this->RateLimiter.Serve(*this->Gateway);
  if (!this->Settings.Duties.Address.empty()) {
    this->Duties = std::make_unique<gsDuties>(this->Client, this->Adapter,
                                              this->Settings, this->Metrics,
                                              this->Fleet, this->Incarnation);
    this->Gateway->TellBegan(
      [this](std::string const& organisation, gsTime began) {
        this->Duties->NoteBegan(organisation, began);
      });
  }
}

gsRouteNode::~gsRouteNode() = default;

gsHallClusterEvents gsRouteNode::ClusterEvents()
{
  gsHallClusterEvents events;
  events.OnFrame = [this](std::string const& host, std::uint64_t link,
                          gradescale::Frame const& frame) {
    this->NoteTurn(gsLoop::Now());
    this->Tables->Hear(host, link, frame);
    this->Loads.Hear(host, frame);
    this->DrainGossip.OnReceive(host, frame);
    this->CrashGossip->OnReceive(host, frame);
    this->RateLimiter.OnReceive(host, frame);
    if (this->Duties) {
      this->Duties->Hear(host, frame);
    }
  };
  events.OnChanged = [this] { this->ApplySettings(); };
  events.ConfigVersion = [this] { return this->Tables->Version(); };
  events.FillHeader = [this](gradescale::Frame& frame) {
    this->Tables->FillHeader(frame);
    if (this->Duties) {
      this->Duties->FillHeader(frame);
    }
  };
  return events;
}

gsResult<bool> gsRouteNode::Start()
{
  gsResult<bool> cluster = this->Cluster->Start();
  if (!cluster) {
    return cluster.error();
  }
  gsResult<bool> servers = this->StartServers();
  if (!servers) {
    return servers.error();
  }
  this->Loads.Start(*this->Cluster);
  this->DrainGossip.Start(*this->Cluster);
  this->RateLimiter.Start(*this->Cluster);
  this->CrashGossip->Start(*this->Cluster);
  this->QuarantineStore->Start(*this->Cluster, gsLoop::Now());
  if (this->Duties) {
    this->Duties->Start(*this->Cluster);
  }
  this->Tables->Start(*this->Cluster);
  this->ApplySettings();
  this->LastTurn = gsLoop::Now();
  this->TickTimer.BeforeOthers();
  this->TickTimer.Every(TickPeriod);
  this->LoadTimer.Once(this->Settings.Routing.LoadPeriod);
  gsLogLine("started")
    .With("host", this->Settings.Host)
    .With("hall", this->Settings.Hall)
    .With("callers", this->Settings.Callers.Listen)
    .With("operators", this->Settings.Operators.Listen)
    .With("peers", this->Settings.Peers.Listen)
    .With("platform", this->Settings.Platform.Address)
    .With("reports_usage", this->Settings.Duties.Usage)
    .With("orders_upstreams",
          this->Settings.Duties.Orders && this->Settings.Scaling.Enabled);
  return true;
}

gsResult<bool> gsRouteNode::StartServers()
{
  auto const& from = this->Settings.Callers;
  gsHttpServerSettings callers;
  callers.Address = from.Listen;
  callers.MaxBody = from.MaxBodyKib * BytesPerKib;
  callers.MaxHeader = from.MaxHeaderKib * BytesPerKib;
  callers.MaxConnections = static_cast<std::uint32_t>(from.MaxConnections);
  callers.MaxConnectionsPerIp =
    static_cast<std::uint32_t>(from.MaxConnectionsPerIp);
  callers.ReceiveTimeout = from.ReceiveTimeout;
  auto server = gsHttpServer::Start(
    this->Loop, callers,
    [this](std::shared_ptr<gsHttpExchange> const& exchange) {
      this->NoteTurn(gsLoop::Now());
      this->Gateway->OnExchange(exchange);
    });
  if (!server) {
    return server.error();
  }
  this->CallerServer = std::move(server.value());
  gsHttpServerSettings operators;
  operators.Address = this->Settings.Operators.Listen;
  server = gsHttpServer::Start(
    this->Loop, operators,
    [this](std::shared_ptr<gsHttpExchange> const& exchange) {
      this->OnOperators(exchange);
    });
  if (!server) {
    return server.error();
  }
  this->OperatorServer = std::move(server.value());
  return true;
}

void gsRouteNode::OnRoutes()
{
  this->TakeEvacuated();
  this->TakeRoutes();
}

/** Takes in which halls the operator wants nothing new to be sent to. */
void gsRouteNode::TakeEvacuated()
{
  std::string const& prefix = this->Adapter.Tables.EvacuatedPrefix;
  auto const& rows = this->Tables->RouteRows().Present();
  std::set<std::string> halls;
  for (auto row = rows.lower_bound(prefix);
       row != rows.end() && row->first.compare(0, prefix.size(), prefix) == 0;
       ++row) {
    halls.insert(row->first.substr(prefix.size()));
  }
  auto before = this->Fleet.Evacuated;
  gsNoteEvacuated(this->Fleet, halls, gsLoop::Now());
  for (std::string const& hall : halls) {
    if (before.count(hall) == 0) {
      gsLogLine("hall_evacuated").With("hall", hall);
    }
  }
  for (auto const& [hall, since] : before) {
    if (halls.count(hall) == 0) {
      gsLogLine("hall_taken_back").With("hall", hall);
    }
  }
}

void gsRouteNode::TakeRoutes()
{
  auto const& rows = this->Tables->RouteRows().Present();
  auto row = rows.find(this->Adapter.Tables.RoutesKey);
  if (row == rows.end()) {
    return;
  }
  gsResult<gsRouteTable> read = this->Adapter.ReadRoutes(row->second.Value);
  if (!read) {
    gsLogLine("config_unreadable", gsLogLevel::Error)
      .With("row_version", row->second.Version)
      .With("version", this->Table ? this->Table->Version : 0)
      .With(read.error());
    return;
  }
  std::uint64_t before = this->Table ? this->Table->Version : 0;
  if (this->Table && read.value().Version <= before) {
    return;
  }
  gsIndexRoutes(read.value());
  auto table = std::make_shared<gsRouteTable const>(std::move(read.value()));
  this->Table = table;
  this->Gateway->TakeRoutes(table);
  if (gsNoteServices(this->Upstreams.List(), *table)) {
    this->Upstreams.TakeAll(gsLoop::Now());
  }
  this->CallerServer->Limit(table->Limits.BodyBytes,
                            table->Limits.IdleTimeout + IdleMargin);
  this->Metrics.Set("gradescale_config_version", {},
                    static_cast<double>(table->Version));
  auto ordered = std::count_if(
    table->Services.begin(), table->Services.end(),
    [](gsRouteService const& service) { return service.Scaling.has_value(); });
  gsLogLine("config_in_force")
    .With("version", table->Version)
    .With("before", before)
    .With("row_version", row->second.Version)
    .With("routes", std::uint64_t(table->Routes.size()))
    .With("organisations", std::uint64_t(table->Organisations.size()))
    .With("ordered_services", std::uint64_t(ordered));
}

void gsRouteNode::OnUpstreams()
{
  this->Upstreams.Take(this->Tables->TakeTouched(),
                       this->Tables->UpstreamRows(), gsLoop::Now());
  this->Gateway->EndAttemptsAtRestarted();
  this->Gateway->RetryWaiting();
}

bool gsRouteNode::Ready() const
{
  return this->Table != nullptr && this->Tables->UpstreamRows().Known() &&
         !this->Stopping && this->StoodStillAt.count() == 0;
}

/** Lists quarantined requests, or clears one. \return Whether it was asked. */
bool gsRouteNode::AnswersQuarantine(gsHttpExchange& exchange)
{
  constexpr std::string_view path = "/v1/quarantine";
  if (exchange.Path.rfind(path, 0) != 0) {
    return false;
  }
  gsHeaders json{ { "Content-Type", "application/json" } };
  gsTime now = gsLoop::Now();
  gsCrashWatch& crashes = this->Gateway->Crashes();
  if (exchange.Path == path) {
    exchange.Respond(gsStatusOk, json, crashes.Status(now).dump());
    return true;
  }
  auto print =
    gsReadFingerprint(std::string_view(exchange.Path).substr(path.size() + 1));
  bool cleared =
    exchange.Method == "DELETE" && print && crashes.Clear(*print, now);
  nlohmann::json body{ { "cleared", cleared } };
  if (!cleared) {
    body["error"] = { { "code", "unknown_fingerprint" },
                      { "message",
                        "DELETE names no request that is suspected here; a "
                        "fingerprint has 32 digits." },
                      { "step", "clear" } };
  }
  exchange.Respond(cleared ? gsStatusOk : gsStatusNotFound, json, body.dump());
  return true;
}

void gsRouteNode::OnOperators(std::shared_ptr<gsHttpExchange> const& exchange)
{
  gsHeaders plain{ { "Content-Type", "text/plain; version=0.0.4" } };
  if (this->Adapter.AsksReady(*exchange) || exchange->Path == "/readyz") {
    bool ready = this->Ready();
    exchange->Respond(ready ? gsStatusOk : gsStatusUnavailable, plain,
                      ready ? "ready\n" : "not ready\n");
  } else if (exchange->Path == "/healthz") {
    exchange->Respond(gsStatusOk, plain, "ok\n");
  } else if (exchange->Path == "/metrics") {
    this->WriteGauges();
    exchange->Respond(gsStatusOk, plain, this->Metrics.Text());
  } else if (this->AnswersQuarantine(*exchange)) {
    return;
  } else if (exchange->Path == "/v1/halls") {
    gsHeaders json{ { "Content-Type", "application/json" } };
    exchange->Respond(
      gsStatusOk, json,
      gsHallStatus(this->Cluster->Members(), this->Fleet, gsLoop::Now())
        .dump());
  } else if (exchange->Path == "/v1/limits") {
    gsHeaders json{ { "Content-Type", "application/json" } };
    exchange->Respond(gsStatusOk, json,
                      this->RateLimiter.Status(gsLoop::Now()).dump());
  } else if (exchange->Path == "/v1/duties" && this->Duties) {
    gsHeaders json{ { "Content-Type", "application/json" } };
    exchange->Respond(gsStatusOk, json,
                      this->Duties->Status(gsLoop::Now()).dump());
  } else {
    exchange->Respond(
      gsStatusNotFound, plain,
      "This port serves /readyz, /healthz, /metrics, "
      "/v1/halls, /v1/limits, /v1/quarantine and, where there are duties, "
      "/v1/duties.\n");
  }
}

void gsRouteNode::WriteGauges()
{
  this->Metrics.Set("gradescale_open_requests", {},
                    static_cast<double>(this->Gateway->Open()));
  gsTime now = gsLoop::Now();
  this->Metrics.Set("gradescale_quarantined_requests", {},
                    static_cast<double>(gsQuarantinedCount(
                      this->Gateway->Crashes().Table(), now)));
  this->RateLimiter.WriteGauges(this->Metrics, now);
  gsWriteUpstreamGauges(this->Metrics, this->Fleet, now);
  gsHallMembership const& members = this->Cluster->Members();
  this->Metrics.Set("gradescale_system_hosts", {},
                    static_cast<double>(this->Cluster->SystemSize()));
  this->Metrics.Set("gradescale_hall_hosts", {},
                    static_cast<double>(gsHallSize(members, now)));
  this->Metrics.Set("gradescale_coordinates", {},
                    gsHallCoordinates(members, now) ? 1 : 0);
  this->Metrics.Set("gradescale_peer_links", {},
                    static_cast<double>(this->Cluster->Links()));
  this->Metrics.Set("gradescale_peers_refused_total", {},
                    static_cast<double>(this->Cluster->RefusedPeers()));
  if (gsPeerNet const* net = this->Cluster->Net()) {
    this->Metrics.Set("gradescale_peer_bytes_total", "direction=\"sent\"",
                      static_cast<double>(net->BytesSent()));
    this->Metrics.Set("gradescale_peer_bytes_total", "direction=\"received\"",
                      static_cast<double>(net->BytesReceived()));
  }
  this->Metrics.Set("gradescale_platform_calls_total", {},
                    static_cast<double>(this->Tables->Calls()));
  this->Metrics.Set("gradescale_table_differences_total", {},
                    static_cast<double>(this->Tables->Differences()));
  this->Metrics.Set("gradescale_table_counts_unreadable_total", {},
                    static_cast<double>(this->Tables->UnreadableCounts()));
  if (this->Duties) {
    this->Duties->WriteGauges(this->Metrics, now);
  }
  this->Metrics.Set("gradescale_rows_unreadable_total", {},
                    static_cast<double>(this->Upstreams.List().Unreadable));
  this->Metrics.Set("gradescale_upstream_connections_total", {},
                    static_cast<double>(this->Client.Opened()));
}

void gsRouteNode::Tick()
{
  gsTime now = gsLoop::Now();
  this->NoteTurn(now);
  this->Cluster->Tick();
  this->Tables->Tick(now);
  this->CatchUp(now);
  this->CrashGossip->Tick(now);
  this->RateLimiter.Tick(now);
  this->QuarantineStore->Tick(now);
  if (this->Duties) {
    this->Duties->Tick(this->Table, this->Gateway->MillisPerToken(), now);
  }
  if (now - this->LastLook >= SettingsPeriod) {
    this->LastLook = now;
    this->ApplySettings();
    this->LookAtSettings();
  }
}

/** Looks twice in each gap between reports whether one is due: in a large hall
 * that is less often than the shortest period, and each look wakes the host.
 */
void gsRouteNode::TellLoads()
{
  this->Loads.Tell();
  this->LoadTimer.Once(
    std::max(this->Settings.Routing.LoadPeriod, this->Loads.Gap() / 2));
}

/** Notices that the process, or its machine, has stood still, before anything
 * else is done. */
void gsRouteNode::NoteTurn(gsTime now)
{
  gsTime gap = now - std::exchange(this->LastTurn, now);
  if (gap > StallLimit && !this->Stopping) {
    this->OnStalled(gap, now);
  }
}

/** What was known before may be out of date. */
void gsRouteNode::OnStalled(gsTime gap, gsTime now)
{
  gsLogLine("stalled", gsLogLevel::Warn).With("for_ms", gap);
  this->Metrics.Count("gradescale_stalls_total");
  if (this->Table != nullptr) {
    this->StoodStillAt = now;
    this->Gateway->Wait(true);
  }
  this->Cluster->OnStalled();
  this->Tables->OnStalled();
}

/** Serves again once the tables are known to be up to date, or nobody can be
 * asked. */
void gsRouteNode::CatchUp(gsTime now)
{
  if (this->StoodStillAt.count() == 0) {
    return;
  }
  bool caughtUp = this->Tables->CaughtUpSince(this->StoodStillAt);
  gsTime took = now - this->StoodStillAt;
  if (!caughtUp && took < CatchUpPatience) {
    return;
  }
  this->StoodStillAt = gsTime{};
  this->Gateway->Wait(false);
  gsLogLine("resumed")
    .With("after_ms", took)
    .With("caught_up", caughtUp)
    .With("version", this->Table->Version);
}

void gsRouteNode::LookAtSettings()
{
  std::uint64_t stamp = StampOf(this->SettingsPath);
  if (stamp != 0 && stamp != this->SettingsStamp) {
    this->Reload("changed");
  }
}

void gsRouteNode::Reload(char const* cause)
{
  this->SettingsStamp = StampOf(this->SettingsPath);
  gsResult<gsSettings> read = gsSettingsFromFile(this->SettingsPath);
  if (!read) {
    gsLogLine("reload_refused", gsLogLevel::Error)
      .With("cause", cause)
      .With(read.error());
    return;
  }
  this->Settings.LogLevel = read.value().LogLevel;
  this->Settings.Retry = read.value().Retry;
  this->Settings.Stop = read.value().Stop;
  gsLogSetUp(gsLogLevelNamed(this->Settings.LogLevel));
  this->ApplySettings();
  gsLogLine("reloaded").With("cause", cause);
}

/** Carries out what depends on the settings and on how many hosts there are.
 */
void gsRouteNode::ApplySettings()
{
  if (this->Gateway == nullptr) {
    return;
  }
  bool known = this->Cluster->KnowsSize();
  std::size_t hosts = known ? this->Cluster->SystemSize() : SizeUnknown;
  std::size_t ofLate =
    known ? gsNotePeak(this->SystemSize, hosts, gsLoop::Now()) : SizeUnknown;
  double burst = this->Settings.Retry.Burst;
  if (this->Settings.Retry.BurstOfAll > 0) {
    burst = gsShareOfRepeats(this->Settings.Retry.BurstOfAll, ofLate,
                             this->Settings.Host);
  }
  this->Gateway->ShareAmong(hosts, ofLate);
  this->RateLimiter.ShareAmong(ofLate);
  this->Gateway->LimitRetries(burst);
}

void gsRouteNode::Stop()
{
  gsTime now = gsLoop::Now();
  if (!this->Stopping) {
    this->Stopping = true;
    this->StopSince = now;
    gsLogLine("stopping").With("open", std::uint64_t(this->Gateway->Open()));
    this->CallerServer->CloseAfterAnswers(true);
    if (this->Duties) {
      this->Duties->Stop();
    }
    this->Cluster->Leave();
    this->StopTimer.Every(StopTick);
  }
  gsTime since = now - this->StopSince;
  // Until the balancer has seen that this host is not ready, what it still
  // sends here is served.
  if (!this->Quiesced && since >= this->Settings.Stop.Unready) {
    this->Quiesced = true;
    this->CallerServer->Quiesce();
    this->CallerServer->CloseIdle();
  }
  // A request that was not read yet is no open exchange, but waits as well.
  bool idle = this->CallerServer->Drained();
  bool over =
    since >= this->Settings.Stop.Longest - this->Settings.Stop.Margin;
  if (over || (this->Quiesced && idle)) {
    gsLogLine("stopped")
      .With("cut", std::uint64_t(this->Gateway->Open()))
      .With("open", std::uint64_t(this->CallerServer->OpenExchanges()))
      .With("unread", std::uint64_t(this->CallerServer->Unread()));
    this->StopTimer.Stop();
    this->Loop.Stop();
  }
}
