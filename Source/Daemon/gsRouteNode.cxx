/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRouteNode.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <sys/stat.h>

#include "gsHallStatus.h"
#include "gsHttpStatus.h"
#include "gsLog.h"
#include "gsProcess.h"
#include "gsRendezvous.h"
#include "gsSpeedStatus.h"

namespace {

constexpr gsTime TickInterval = gsMilliseconds(100);
/**
 * The process is considered to have been stalled if the loop has not run for
 * longer than this.
 */
constexpr gsTime StallThreshold = gsMilliseconds(1000);
/**
 * Limit of catching up after a stall. If neither the platform nor a neighbour
 * has responded by then, the host serves from the tables that it has.
 */
constexpr gsTime CatchUpTimeout = gsMilliseconds(1500);
constexpr gsTime StopCheckInterval = gsMilliseconds(50);
constexpr gsTime SettingsCheckInterval = gsSeconds(1);
/**
 * Added to the configured idle timeout of callers, so that connections are
 * closed only after that timeout.
 */
constexpr gsTime IdleMargin = gsSeconds(2);
constexpr std::size_t BytesPerKib = 1024;
/** Part of a listener's connections that may be read on after an answer. */
constexpr std::size_t LingeringDivisor = 16;
constexpr std::size_t MinLingering = 8;
/** Operators' requests have no large bodies in the routed mode. */
constexpr std::size_t OperatorBodyBytes = 64 * BytesPerKib;
/** Headers that a host adds to a request that it forwards. */
constexpr std::size_t ForwardedHeadBytes = 4 * BytesPerKib;
/**
 * Assumed number of hosts until the actual one is known. It is so large that
 * this host uses only the minimum share of whatever is shared, regardless of
 * the actual size.
 */
constexpr std::size_t UnknownSystemSize = 1'000'000;

/**
 * A number that changes whenever the file changes; zero if there is no file.
 */
std::uint64_t FileStamp(std::string const& path)
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

gsConnectionResources ConnectionResources(gsSettings const& settings,
                                          std::uint64_t bytesPerConnection)
{
  gsConnectionResources resources;
  resources.Descriptors = gsMaxDescriptors(settings.Descriptors);
  if (settings.Features.Memory == gsFeatureMode::On) {
    resources.Bytes = gsConnectionMemory(settings.Memory);
  }
  resources.BytesPerConnection = bytesPerConnection;
  return resources;
}

void LimitConnections(gsHttpServerSettings& server, std::size_t limit)
{
  server.MaxConnections = static_cast<std::uint32_t>(limit);
  server.MaxConnectionsPerIp = server.MaxConnections;
  server.MaxLingering = std::min(
    server.MaxLingering, std::max(limit / LingeringDivisor, MinLingering));
}

gsRouteGatewaySettings GatewaySettings(gsSettings const& settings)
{
  gsRouteGatewaySettings gatewaySettings;
  gatewaySettings.UpstreamCaller.ConnectTimeout =
    settings.Upstreams.ConnectTimeout;
  gatewaySettings.UpstreamCaller.MaxAnswerBytes =
    settings.Callers.MaxAnswerKib * BytesPerKib;
  gatewaySettings.UpstreamCaller.MaxEventBytes =
    settings.Callers.MaxEventKib * BytesPerKib;
  gatewaySettings.UpstreamCaller.Routes = settings.Upstreams.Routes;
  gatewaySettings.SilenceTimeout = settings.Routing.Silence;
  gatewaySettings.MinRetryAfter = settings.Routing.RetryAfter;
  gatewaySettings.RetryShare = settings.Retry.Share;
  gatewaySettings.RetryBurst = settings.Retry.Burst;
  gatewaySettings.Admission.Mode = settings.Features.Overload;
  gatewaySettings.Admission.Queue.MaxRequests = settings.Overload.MaxWaiting;
  gatewaySettings.Admission.Queue.MaxBytes =
    settings.Overload.MaxWaitingKib * BytesPerKib;
  gatewaySettings.Admission.Overload.MinRetryAfter =
    settings.Routing.RetryAfter;
  return gatewaySettings;
}

} // namespace

gsRouteNode::gsRouteNode(gsLoop& loop, gsSettings settings,
                         std::string settingsPath, gsAdapter adapter)
  : Loop(loop)
  , Settings(std::move(settings))
  , SettingsPath(std::move(settingsPath))
  , SettingsFileStamp(FileStamp(this->SettingsPath))
  , Adapter(std::move(adapter))
  , Incarnation(gsWallMicros())
  , Client(loop)
  , LoadSharing(this->Fleet, this->Settings)
  , DrainGossip(this->Fleet)
  , PrefixSharing(this->Fleet)
  , RateLimiter(loop, this->Fleet)
  , TableBarrier(loop)
  , StreamSharing(this->Fleet, this->Incarnation)
  , VersionKeeper(this->Client, this->Adapter, this->Settings, this->Fleet)
  , TickTimer(loop, [this] { this->Tick(); })
  , LoadTimer(loop, [this] { this->SendLoadReports(); })
  , StopTimer(loop, [this] { this->Stop(); })
  , UpstreamFeed(this->Adapter, this->Fleet)
{
  this->Fleet.Settings = this->Settings.Placement;
  this->Fleet.Settings.Host = this->Settings.Host;
  this->Fleet.Settings.Hall = this->Settings.Hall;
  this->Fleet.Settings.IsFirstStart = this->Settings.Routing.FirstStart;
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
    std::make_unique<gsCrashGossip>(loop, this->Gateway->CrashDetection());
  this->QuarantineStore = std::make_unique<gsQuarantineStore>(
    this->Client, this->Adapter, this->Settings,
    this->Gateway->CrashDetection());
  this->Gateway->SetLeavingCallback([this](gsIncarnation const& upstream) {
    this->DrainGossip.Publish(upstream);
  });
  this->RateLimiter.ConnectGateway(*this->Gateway);
  this->Gateway->SetStreamSharing(this->StreamSharing);
  this->Gateway->SetOlderVersion([this](gsListedUpstream const& upstream) {
    return this->VersionKeeper.OlderVersion(upstream);
  });
  this->RateLimiter.SetSlotSharing(this->Settings.Features.SlotSharing);
  if (!this->Settings.Duties.Address.empty()) {
    this->Duties = std::make_unique<gsDuties>(this->Client, this->Adapter,
                                              this->Settings, this->Metrics,
                                              this->Fleet, this->Incarnation);
    this->Gateway->SetBeganCallback(
      [this](std::string const& organisation, gsTime began) {
        this->Duties->CountRequest(organisation, began);
      });
  }
}

gsRouteNode::~gsRouteNode() = default;

gsHallClusterEvents gsRouteNode::ClusterEvents()
{
  gsHallClusterEvents events;
  events.OnFrame = [this](std::string const& host, std::uint64_t /*link*/,
                          gradescale::Frame const& frame) {
    this->CheckForStall(gsLoop::Now());
    this->Tables->ReceiveFrame(host, frame);
    this->LoadSharing.OnReceive(host, frame);
    if (!frame.load_reports().empty()) {
      this->Gateway->AdmissionControl().OnLoadChange();
    }
    this->DrainGossip.OnReceive(host, frame);
    this->PrefixSharing.OnReceive(host, frame);
    this->CrashGossip->OnReceive(host, frame);
    this->RateLimiter.OnReceive(host, frame);
    this->StreamSharing.OnReceive(host, frame);
    if (this->Duties) {
      this->Duties->ReceiveFrame(host, frame);
    }
  };
  events.OnChanged = [this] { this->ApplySettings(); };
  events.ConfigVersion = [this] { return this->Tables->LastChangeVersion(); };
  events.FillHeader = [this](gradescale::Frame& frame) {
    this->Tables->FillHeader(frame);
    gsStreamSharing::FillHeader(frame);
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
  this->LoadSharing.Start(*this->Cluster);
  this->DrainGossip.Start(*this->Cluster);
  this->PrefixSharing.Start(*this->Cluster);
  this->RateLimiter.Start(*this->Cluster);
  this->StartStreamSharing();
  this->VersionKeeper.Start(*this->Cluster, *this->Tables, gsLoop::Now());
  this->CrashGossip->Start(*this->Cluster);
  this->Gateway->CrashDetection().SetProber(
    [this](gsFingerprint const& part) { return this->IsProber(part); });
  this->QuarantineStore->Start(*this->Cluster, gsLoop::Now());
  if (this->Duties) {
    this->Duties->Start(*this->Cluster);
  }
  this->Tables->Start(*this->Cluster);
  this->ApplySettings();
  this->LastIterationAt = gsLoop::Now();
  this->TickTimer.BeforeOthers();
  this->TickTimer.Every(TickInterval);
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
  callers.ReceiveTimeout = from.ReceiveTimeout;
  gsConnectionLimits limits = gsLimitConnections(ConnectionResources(
    this->Settings, gsHttpServer::ConnectionBytes(callers)));
  LimitConnections(callers, from.MaxConnections > 0 ? from.MaxConnections
                                                    : limits.Callers);
  if (from.MaxConnectionsPerIp > 0) {
    callers.MaxConnectionsPerIp =
      static_cast<std::uint32_t>(from.MaxConnectionsPerIp);
  }
  gsMemoryGuard::LimitBuffers(this->Settings.Features.Memory, callers,
                              this->Client);
  auto server = gsHttpServer::Start(
    this->Loop, callers,
    [this](std::shared_ptr<gsHttpExchange> const& exchange) {
      this->CheckForStall(gsLoop::Now());
      this->Gateway->OnExchange(exchange);
    });
  if (!server) {
    return server.error();
  }
  this->CallerServer = std::move(server.value());
  gsHttpServerSettings forwarders = callers;
  LimitConnections(forwarders, limits.Forwarding);
  gsResult<bool> forwarding = this->StartForwarding(std::move(forwarders));
  if (!forwarding) {
    return forwarding.error();
  }
  gsHttpServerSettings operators = callers;
  operators.Address = this->Settings.Operators.Listen;
  operators.MaxBody = OperatorBodyBytes;
  operators.HandlesAll = true;
  LimitConnections(operators, limits.Operators);
  server = gsHttpServer::Start(
    this->Loop, operators,
    [this](std::shared_ptr<gsHttpExchange> const& exchange) {
      this->OnOperatorRequest(exchange);
    });
  if (!server) {
    return server.error();
  }
  this->OperatorServer = std::move(server.value());
  this->StartGuards();
  return true;
}

/** Bounds what all listeners hold together, and frees connections. */
void gsRouteNode::StartGuards()
{
  std::vector<gsHttpServer*> servers{ this->CallerServer.get(),
                                      this->OperatorServer.get() };
  if (this->ForwardServer) {
    servers.push_back(this->ForwardServer.get());
  }
  this->ConnectionGuard = std::make_unique<gsConnectionGuard>(
    servers, this->Settings.Routing.RetryAfter, this->Incarnation);
  gsMemoryGuardSettings guard;
  guard.Mode = this->Settings.Features.Memory;
  guard.Budget = this->Settings.Memory;
  guard.MinRetryAfter = this->Settings.Routing.RetryAfter;
  this->MemoryGuard = std::make_unique<gsMemoryGuard>(
    this->Loop, guard, std::move(servers), this->Client,
    this->Gateway->Upstreams(), this->Incarnation);
}

/** Starts the exchange of the versions of streams, which infers them from the
 * tables of upstreams, routes and stored versions. */
void gsRouteNode::StartStreamSharing()
{
  this->TableBarrier.AddTable([this](gsTime limit, gsReadCallback done) {
    this->Tables->ConfirmUpstreams(limit, std::move(done));
  });
  this->TableBarrier.AddTable([this](gsTime limit, gsReadCallback done) {
    this->Tables->ConfirmRoutes(limit, std::move(done));
  });
  this->TableBarrier.AddTable([this](gsTime limit, gsReadCallback done) {
    this->VersionKeeper.Confirm(limit, std::move(done));
  });
  gsStreamTables tables;
  tables.Age = [this] { return this->Tables->Age(); };
  tables.MaxAge = this->Tables->MaxAge();
  tables.Confirm = [this](gsReadCallback done) {
    this->TableBarrier.Request(std::move(done));
  };
  this->StreamSharing.Start(*this->Cluster, std::move(tables));
}

/** Accepts requests that other hosts forward, and forwards requests to them.
 */
gsResult<bool> gsRouteNode::StartForwarding(gsHttpServerSettings settings)
{
  if (this->Settings.Peers.ForwardListen.empty()) {
    return true;
  }
  settings.Address = this->Settings.Peers.ForwardListen;
  settings.MaxHeader += ForwardedHeadBytes;
  auto server = gsHttpServer::Start(
    this->Loop, settings,
    [this](std::shared_ptr<gsHttpExchange> const& exchange) {
      this->CheckForStall(gsLoop::Now());
      this->Gateway->OnForwarded(exchange);
    });
  if (!server) {
    return server.error();
  }
  this->ForwardServer = std::move(server.value());
  this->Gateway->Forwarder().Enable(
    { this->Settings.Peers.Token, this->Settings.Peers.Cluster },
    [this] { return this->ForwardPeers(); });
  return true;
}

std::vector<gsForwardPeer> gsRouteNode::ForwardPeers() const
{
  std::vector<gsForwardPeer> peers;
  for (gsHallHost const& host :
       gsKnownHosts(this->Cluster->Members(), gsLoop::Now())) {
    if (!host.ForwardAddress.empty()) {
      peers.push_back({ host.Host, host.Hall, host.ForwardAddress,
                        static_cast<double>(host.Millicores) });
    }
  }
  return peers;
}

void gsRouteNode::OnRoutes()
{
  this->ApplyEvacuatedHalls();
  this->ApplyRoutes();
}

/**
 * Applies the list of halls to which the operator does not allow new requests
 * to be sent.
 */
void gsRouteNode::ApplyEvacuatedHalls()
{
  std::string const& prefix = this->Adapter.Tables.EvacuatedPrefix;
  auto const& rows = this->Tables->RoutesTable().LiveRows();
  std::set<std::string> halls;
  for (auto row = rows.lower_bound(prefix);
       row != rows.end() && row->first.compare(0, prefix.size(), prefix) == 0;
       ++row) {
    halls.insert(row->first.substr(prefix.size()));
  }
  auto before = this->Fleet.EvacuatedSince;
  gsSetEvacuatedHalls(this->Fleet, halls, gsLoop::Now());
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

/** Applies the routes table if it is newer than the one in force. */
void gsRouteNode::ApplyRoutes()
{
  auto const& rows = this->Tables->RoutesTable().LiveRows();
  auto row = rows.find(this->Adapter.Tables.RoutesKey);
  if (row == rows.end()) {
    return;
  }
  gsTime begin = gsLoop::Now();
  gsResult<gsRouteTable> read =
    this->Adapter.ParseRoutes(row->second.Value, this->RouteTable.get());
  if (!read) {
    gsLogLine("config_unreadable", gsLogLevel::Error)
      .With("row_version", row->second.Version)
      .With("version", this->RouteTable ? this->RouteTable->Version : 0)
      .With(read.error());
    return;
  }
  std::uint64_t before = this->RouteTable ? this->RouteTable->Version : 0;
  if (this->RouteTable && read.value().Version <= before) {
    return;
  }
  gsIndexRoutes(read.value());
  auto table = std::make_shared<gsRouteTable const>(std::move(read.value()));
  this->RouteTable = table;
  this->Gateway->SetRoutes(table);
  // Streams that began under a longer timeout last that long.
  gsTime& longest = this->Fleet.Settings.MaxStreamTime;
  longest = std::max(longest, gsLongestStreamTime(*table));
  this->VersionKeeper.SetRoutes(*table, gsLoop::Now());
  if (gsAddServices(this->UpstreamFeed.List(), *table)) {
    this->UpstreamFeed.ApplyAllRows(gsLoop::Now());
  }
  this->CallerServer->Limit(table->Limits.MaxBodyBytes,
                            table->Limits.IdleTimeout + IdleMargin);
  if (this->ForwardServer) {
    this->ForwardServer->Limit(table->Limits.MaxBodyBytes,
                               table->Limits.IdleTimeout + IdleMargin);
  }
  this->Metrics.Set("gradescale_config_version", {},
                    static_cast<double>(table->Version));
  auto ordered = std::count_if(
    table->Services.begin(), table->Services.end(),
    [](gsRouteService const& service) { return service.Scaling.has_value(); });
  gsLogLine("config_in_force")
    .With("version", table->Version)
    .With("before", before)
    .With("row_version", row->second.Version)
    .With("row_bytes", std::uint64_t(row->second.Value.size()))
    .With("apply_ms", gsLoop::Now() - begin)
    .With("routes", std::uint64_t(table->Routes.size()))
    .With("organisations", std::uint64_t(table->Organisations.size()))
    .With("ordered_services", std::uint64_t(ordered));
}

void gsRouteNode::OnUpstreams()
{
  this->UpstreamFeed.ApplyRows(this->Tables->TakeChangedKeys(),
                               this->Tables->UpstreamsTable(), gsLoop::Now());
  // A new version is stored before streams of it can be lost.
  this->VersionKeeper.Tick(gsLoop::Now());
  this->Gateway->EndAttemptsAtRestartedUpstreams();
  this->Gateway->RetryWaiting();
}

bool gsRouteNode::IsReady() const
{
  return this->RouteTable != nullptr &&
         this->Tables->UpstreamsTable().IsInitialized() && !this->IsStopping &&
         this->StallEndedAt.count() == 0;
}

/**
 * Handles an operator's request to list quarantined requests or to clear one.
 * \return Whether the request was for this path.
 */
bool gsRouteNode::HandleQuarantineRequest(gsHttpExchange& exchange)
{
  constexpr std::string_view path = "/v1/quarantine";
  if (exchange.Path.rfind(path, 0) != 0) {
    return false;
  }
  gsHeaders json{ { "Content-Type", "application/json" } };
  gsTime now = gsLoop::Now();
  gsCrashWatch& crashes = this->Gateway->CrashDetection();
  if (exchange.Path == path) {
    exchange.Respond(gsStatusOk, json, crashes.Status(now).dump());
    return true;
  }
  auto fingerprint = gsParseFingerprint(
    std::string_view(exchange.Path).substr(path.size() + 1));
  bool cleared = exchange.Method == "DELETE" && fingerprint &&
                 crashes.ClearSuspicion(*fingerprint, now);
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

void gsRouteNode::OnOperatorRequest(
  std::shared_ptr<gsHttpExchange> const& exchange)
{
  gsHeaders plain{ { "Content-Type", "text/plain; version=0.0.4" } };
  if (this->Adapter.IsReadinessProbe(*exchange) ||
      exchange->Path == "/readyz") {
    bool ready = this->IsReady();
    exchange->Respond(ready ? gsStatusOk : gsStatusUnavailable, plain,
                      ready ? "ready\n" : "not ready\n");
  } else if (exchange->Path == "/healthz") {
    exchange->Respond(gsStatusOk, plain, "ok\n");
  } else if (exchange->Path == "/metrics") {
    this->WriteGauges();
    exchange->Respond(gsStatusOk, plain, this->Metrics.ToPrometheusText());
  } else if (this->HandleQuarantineRequest(*exchange)) {
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
  } else if (exchange->Path == "/v1/prefixes") {
    gsHeaders json{ { "Content-Type", "application/json" } };
    exchange->Respond(gsStatusOk, json,
                      this->PrefixSharing.Status(gsLoop::Now()).dump());
  } else if (exchange->Path == "/v1/speeds") {
    gsHeaders json{ { "Content-Type", "application/json" } };
    exchange->Respond(gsStatusOk, json,
                      gsSpeedStatus(this->Fleet, gsLoop::Now()).dump());
  } else if (exchange->Path == "/v1/memory") {
    gsHeaders json{ { "Content-Type", "application/json" } };
    exchange->Respond(gsStatusOk, json, this->MemoryGuard->Status().dump());
  } else if (exchange->Path == "/v1/overload") {
    gsHeaders json{ { "Content-Type", "application/json" } };
    exchange->Respond(
      gsStatusOk, json,
      this->Gateway->AdmissionControl().Status(gsLoop::Now()).dump());
  } else if (exchange->Path == "/v1/duties" && this->Duties) {
    gsHeaders json{ { "Content-Type", "application/json" } };
    exchange->Respond(gsStatusOk, json,
                      this->Duties->Status(gsLoop::Now()).dump());
  } else {
    exchange->Respond(
      gsStatusNotFound, plain,
      "This port serves /readyz, /healthz, /metrics, /v1/halls, /v1/limits, "
      "/v1/memory, /v1/overload, /v1/prefixes, /v1/quarantine, /v1/speeds "
      "and, where there are duties, /v1/duties.\n");
  }
}

void gsRouteNode::WriteGauges()
{
  this->Metrics.Set("gradescale_open_requests", {},
                    static_cast<double>(this->Gateway->OpenRequests()));
  gsTime now = gsLoop::Now();
  this->Metrics.Set("gradescale_quarantined_requests", {},
                    static_cast<double>(gsQuarantinedCount(
                      this->Gateway->CrashDetection().SuspectTable(), now)));
  this->RateLimiter.WriteGauges(this->Metrics, now);
  this->PrefixSharing.WriteGauges(this->Metrics);
  this->StreamSharing.WriteGauges(this->Metrics);
  this->TableBarrier.WriteGauges(this->Metrics);
  this->MemoryGuard->WriteGauges(this->Metrics);
  this->ConnectionGuard->WriteGauges(this->Metrics);
  this->Gateway->AdmissionControl().WriteGauges(now);
  gsWriteUpstreamGauges(this->Metrics, this->Fleet, now);
  gsWriteSpeedGauges(this->Metrics, this->Fleet,
                     this->LoadSharing.SpeedChanges());
  gsHallMembership const& members = this->Cluster->Members();
  this->Metrics.Set("gradescale_system_hosts", {},
                    static_cast<double>(this->Cluster->SystemSize()));
  this->Metrics.Set("gradescale_hall_hosts", {},
                    static_cast<double>(gsHallSize(members, now)));
  this->Metrics.Set("gradescale_coordinates", {},
                    gsHallIsCoordinator(members, now) ? 1 : 0);
  this->Metrics.Set("gradescale_peer_links", {},
                    static_cast<double>(this->Cluster->LinkCount()));
  this->Metrics.Set("gradescale_peers_refused_total", {},
                    static_cast<double>(this->Cluster->RefusedLinkCount()));
  this->Cluster->WriteGauges(this->Metrics);
  this->Metrics.Set("gradescale_platform_calls_total", {},
                    static_cast<double>(this->Tables->CallCount()));
  this->Metrics.Set("gradescale_table_differences_total", {},
                    static_cast<double>(this->Tables->DivergenceCount()));
  this->Metrics.Set("gradescale_table_counts_unreadable_total", {},
                    static_cast<double>(this->Tables->MalformedHeaderCount()));
  if (this->Duties) {
    this->Duties->WriteGauges(this->Metrics, now);
  }
  this->Metrics.Set(
    "gradescale_rows_unreadable_total", {},
    static_cast<double>(this->UpstreamFeed.List().UnreadableCount));
  this->Metrics.Set("gradescale_upstream_connections_total", {},
                    static_cast<double>(this->Client.Opened()));
}

void gsRouteNode::Tick()
{
  gsTime now = gsLoop::Now();
  this->CheckForStall(now);
  this->ConnectionGuard->Sweep(this->MemoryGuard->Shortage(), now);
  this->Cluster->Tick();
  this->Tables->Tick(now);
  this->ResumeIfCaughtUp(now);
  this->CrashGossip->Tick(now);
  this->RateLimiter.Tick(now);
  this->StreamSharing.Tick(now);
  this->VersionKeeper.Tick(now);
  this->PrefixSharing.Tick(now);
  this->QuarantineStore->Tick(now);
  if (this->Duties) {
    this->Duties->Tick(this->RouteTable, this->Gateway->MillisPerToken(), now);
  }
  if (now - this->SettingsCheckedAt >= SettingsCheckInterval) {
    this->SettingsCheckedAt = now;
    this->ApplySettings();
    this->ReloadIfChanged();
  }
}

/**
 * Sends due load reports and schedules the next call. Two calls per report
 * interval suffice. In a large hall they are less frequent than the configured
 * period, which matters because each call wakes up the host.
 */
void gsRouteNode::SendLoadReports()
{
  this->LoadSharing.SendReports();
  this->LoadTimer.Once(std::max(this->Settings.Routing.LoadPeriod,
                                this->LoadSharing.MinReportInterval() / 2));
}

/**
 * Detects that the process or its machine has been stalled, before anything
 * else is processed.
 */
void gsRouteNode::CheckForStall(gsTime now)
{
  gsTime duration = now - std::exchange(this->LastIterationAt, now);
  if (duration > StallThreshold && !this->IsStopping) {
    this->OnStalled(duration, now);
  }
}

/** Handles a stall: the state from before it may be outdated. */
void gsRouteNode::OnStalled(gsTime duration, gsTime now)
{
  gsLogLine("stalled", gsLogLevel::Warn).With("for_ms", duration);
  this->Metrics.Increment("gradescale_stalls_total");
  if (this->RouteTable != nullptr) {
    this->StallEndedAt = now;
    this->Gateway->SetCatchingUp(true);
  }
  this->Cluster->OnStalled();
  this->Tables->OnStalled();
}

/**
 * Resumes service once the tables are known to be up to date, or the time
 * limit of catching up has expired.
 */
void gsRouteNode::ResumeIfCaughtUp(gsTime now)
{
  if (this->StallEndedAt.count() == 0) {
    return;
  }
  bool caughtUp = this->Tables->HasCaughtUpSince(this->StallEndedAt);
  gsTime elapsed = now - this->StallEndedAt;
  if (!caughtUp && elapsed < CatchUpTimeout) {
    return;
  }
  this->StallEndedAt = gsTime{};
  this->Gateway->SetCatchingUp(false);
  gsLogLine("resumed")
    .With("after_ms", elapsed)
    .With("caught_up", caughtUp)
    .With("version", this->RouteTable->Version);
}

void gsRouteNode::ReloadIfChanged()
{
  std::uint64_t stamp = FileStamp(this->SettingsPath);
  if (stamp != 0 && stamp != this->SettingsFileStamp) {
    this->Reload("changed");
  }
}

void gsRouteNode::Reload(char const* cause)
{
  this->SettingsFileStamp = FileStamp(this->SettingsPath);
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

/** Applies what depends on the settings and on the number of hosts. */
void gsRouteNode::ApplySettings()
{
  if (this->Gateway == nullptr) {
    return;
  }
  bool isSizeKnown = this->Cluster->IsSizeKnown();
  std::size_t hosts =
    isSizeKnown ? this->Cluster->SystemSize() : UnknownSystemSize;
  std::size_t recentPeak =
    isSizeKnown ? gsUpdatePeak(this->PeakSystemSize, hosts, gsLoop::Now())
                : UnknownSystemSize;
  double burst = this->Settings.Retry.Burst;
  if (this->Settings.Retry.BurstOfAll > 0) {
    burst = gsRetryBurstOfHost(this->Settings.Retry.BurstOfAll, recentPeak,
                               this->Settings.Host);
  }
  this->Gateway->SetHostCounts(hosts, recentPeak);
  this->Gateway->AdmissionControl().SetHostCounts(
    isSizeKnown ? hosts : 1, isSizeKnown ? recentPeak : 1);
  this->RateLimiter.SetRecentPeakHosts(recentPeak);
  if (isSizeKnown && this->RouteTable != nullptr) {
    this->RateLimiter.UpdateSharedSlots(*this->RouteTable, gsLoop::Now());
  }
  this->Gateway->SetRetryBurst(burst);
  this->ApplyMinHosts(isSizeKnown ? recentPeak : 0);
}

/** Whether this host probes a quarantined part of prompts: one relay of the
 * system does, or one in each group of halls that are cut off from others. */
bool gsRouteNode::IsProber(gsFingerprint const& part) const
{
  gsHallMembership const& members = this->Cluster->Members();
  gsTime now = gsLoop::Now();
  if (gsHallRelay(members, now) != this->Cluster->Self()) {
    return false;
  }
  std::vector<std::string_view> halls{ this->Fleet.Settings.Hall };
  std::map<std::string, std::string> const relays =
    gsOtherRelays(members, now);
  for (auto const& [hall, relay] : relays) {
    halls.push_back(hall);
  }
  return gsRendezvous(halls, gsFormatFingerprint(part)) ==
         this->Fleet.Settings.Hall;
}

/** Uses the features that depend on the number of hosts only from their
 * minimum on. The recent peak keeps them in use while a hall is cut off. */
void gsRouteNode::ApplyMinHosts(std::size_t recentPeak)
{
  auto const& features = this->Settings.Features;
  bool usesPrefixes = recentPeak >= features.PrefixMinHosts;
  bool usesSpeeds = recentPeak >= features.SpeedMinHosts;
  gsFleetSettings& placement = this->Fleet.Settings;
  placement.Prefixes.Mode =
    usesPrefixes ? features.PrefixDirectory : gsFeatureMode::Off;
  placement.EngineSpeed =
    usesSpeeds ? features.EngineSpeed : gsFeatureMode::Off;
}

/**
 * Closes the connections of callers and of hosts that forward requests, once
 * no request is under way on any of them. \return Whether all are closed.
 */
bool gsRouteNode::CloseCallers()
{
  std::vector<gsHttpServer*> servers{ this->CallerServer.get() };
  if (this->ForwardServer) {
    servers.push_back(this->ForwardServer.get());
  }
  bool isQuiet =
    std::all_of(servers.begin(), servers.end(),
                [](gsHttpServer const* server) { return server->IsQuiet(); });
  if (!isQuiet) {
    return false;
  }
  for (gsHttpServer* server : servers) {
    server->CloseIdle();
  }
  // A request that has not been read yet is not an open exchange, but is
  // waited for as well.
  return std::all_of(
    servers.begin(), servers.end(),
    [](gsHttpServer const* server) { return server->Drained(); });
}

void gsRouteNode::Stop()
{
  gsTime now = gsLoop::Now();
  if (!this->IsStopping) {
    this->IsStopping = true;
    this->StopRequestedAt = now;
    gsLogLine("stopping")
      .With("open", std::uint64_t(this->Gateway->OpenRequests()));
    this->CallerServer->CloseAfterAnswers(true);
    if (this->ForwardServer) {
      this->ForwardServer->CloseAfterAnswers(true);
    }
    if (this->Duties) {
      this->Duties->Stop();
    }
    this->Cluster->AnnounceLeaving();
    this->StopTimer.Every(StopCheckInterval);
  }
  gsTime since = now - this->StopRequestedAt;
  gsTime maxDuration =
    this->Settings.Stop.Longest - this->Settings.Stop.Margin;
  // Requests that the load balancer sends before it has noticed that this host
  // is not ready are served.
  if (!this->IsQuiesced && since >= this->Settings.Stop.Unready) {
    this->IsQuiesced = true;
    this->Gateway->SetStopAt(this->StopRequestedAt + maxDuration);
    this->CallerServer->Quiesce();
    if (this->ForwardServer) {
      this->ForwardServer->Quiesce();
    }
  }
  if ((this->IsQuiesced && this->CloseCallers()) || since >= maxDuration) {
    gsLogLine("stopped")
      .With("cut", std::uint64_t(this->Gateway->OpenRequests()))
      .With("open", std::uint64_t(this->CallerServer->OpenExchanges()))
      .With("unread", std::uint64_t(this->CallerServer->Unread()));
    this->StopTimer.Stop();
    this->Loop.Stop();
  }
}
