/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRouteNode.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include <sys/stat.h>

#include "gsHttpStatus.h"
#include "gsLog.h"
#include "gsRendezvous.h"
#include "gsWireCodec.h"

namespace {

constexpr gsTime TickPeriod = gsMilliseconds(100);
/** Longer than this without a turn, and the process has stood still. */
constexpr gsTime StallLimit = gsMilliseconds(1000);
constexpr gsTime StopTick = gsMilliseconds(50);
/** A watch usually brings by itself what another host has; wait that long. */
constexpr gsTime BehindPatience = gsMilliseconds(300);
/** A watcher's sign of life to its hall. */
constexpr gsTime BeatPeriod = gsMilliseconds(400);
/** A watch's answer may be later than its wait by as much. */
constexpr gsTime AgeMargin = gsMilliseconds(900);
/** Larger changes are not sent to all hosts of a hall; bytes. */
constexpr std::size_t PushLimit = 16384;
constexpr gsTime SettingsPeriod = gsSeconds(1);
/** Callers may rest as long as the limit says; the cut comes after it. */
constexpr gsTime IdleMargin = gsSeconds(2);
constexpr double MicrosPerMilli = 1000;
constexpr std::size_t BytesPerKib = 1024;

std::uint64_t WallMicros()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

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

bool IsLarge(gsTableNews const& news)
{
  std::size_t bytes = 0;
  for (gsTableRow const& row : news.Rows) {
    bytes += row.Key.size() + row.Value.size();
  }
  return bytes > PushLimit;
}

void AddNews(gradescale::Frame& frame, std::string const& table,
             gsTableNews const& news)
{
  gradescale::TableNews* wire = frame.add_table_news();
  wire->set_table(table);
  wire->set_above_version(news.Above);
  wire->set_version(news.Version);
  wire->set_whole(news.Whole);
  for (gsTableRow const& row : news.Rows) {
    gradescale::TableRow* entry = wire->add_rows();
    entry->set_key(row.Key);
    entry->set_value(row.Value);
    entry->set_version(row.Version);
    entry->set_removed(row.Removed);
  }
}

std::uint32_t ServiceHash(std::string const& service)
{
  return static_cast<std::uint32_t>(gsHashText(service));
}

/** Rounded, so that small changes are no news to other hosts. */
std::uint32_t CoarseTokens(double tokens)
{
  constexpr double step = 5000;
  return static_cast<std::uint32_t>(std::round(tokens / step) * step);
}

std::uint32_t CoarsePace(double millis)
{
  constexpr double step = 0.5;
  return static_cast<std::uint32_t>(std::round(millis / step) * step *
                                    MicrosPerMilli);
}

/** The pace that others need to hear of; zero if they know a lower one. */
std::uint32_t TellPace(gsFleetRow const& row)
{
  double pace = gsPaceOf(row);
  bool lowest = row.OthersPace <= 0 || pace < row.OthersPace;
  return lowest ? CoarsePace(pace) : 0;
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
  , Incarnation(WallMicros())
  , Client(loop)
  , TickTimer(loop, [this] { this->Tick(); })
  , LoadTimer(loop, [this] { this->TellLoads(); })
  , StopTimer(loop, [this] { this->Stop(); })
{
  this->Fleet.Settings = this->Settings.Placement;
  this->Fleet.Settings.Hall = this->Settings.Hall;
  this->Duty.Self = this->Settings.Host;
  this->Duty.Settings.MostAge = this->Settings.Routing.WatchWait + AgeMargin;
  this->Loads.Self = this->Settings.Host;
  this->Loads.Hall = this->Settings.Hall;
  gsTableWatchSettings watch;
  watch.Platform = this->Settings.Platform.Address;
  watch.Wait = this->Settings.Routing.WatchWait;
  watch.Table = this->Adapter.Tables.Routes;
  this->Routes = std::make_unique<gsTableWatch>(
    loop, this->Client, this->Adapter, watch, [this] { this->OnRoutes(); });
  watch.Table = this->Adapter.Tables.Upstreams;
  this->Upstreams = std::make_unique<gsTableWatch>(
    loop, this->Client, this->Adapter, watch, [this] { this->OnUpstreams(); });
  this->Cluster = std::make_unique<gsCluster>(
    loop, this->Settings, this->Incarnation, this->ClusterEvents());
  this->Gateway = std::make_unique<gsRouteGateway>(
    loop, this->Client, this->Adapter, this->Fleet, this->Metrics,
    GatewaySettings(this->Settings), this->Incarnation);
}

gsRouteNode::~gsRouteNode() = default;

gsClusterEvents gsRouteNode::ClusterEvents()
{
  gsClusterEvents events;
  events.OnFrame = [this](std::string const& host, std::uint64_t link,
                          gradescale::Frame const& frame) {
    this->OnFrame(host, link, frame);
  };
  events.OnHostLost = [](std::string const& /*host*/) {};
  events.OnLinkDown = [](std::uint64_t /*link*/) {};
  events.OnMembersChanged = [this] { this->ApplySettings(); };
  events.ConfigVersion = [this] { return this->Version(); };
  events.FillHeader = [this](gradescale::Frame& frame) {
    this->FillHeader(frame);
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
  this->Duty.Started = gsLoop::Now();
  this->Routes->Start();
  this->Upstreams->Start();
  this->ApplySettings();
  this->LastTick = gsLoop::Now();
  this->TickTimer.BeforeOthers();
  this->TickTimer.Every(TickPeriod);
  this->LoadTimer.Every(this->Settings.Routing.LoadPeriod);
  gsLogLine("started")
    .With("host", this->Settings.Host)
    .With("hall", this->Settings.Hall)
    .With("callers", this->Settings.Callers.Listen)
    .With("operators", this->Settings.Operators.Listen)
    .With("peers", this->Settings.Peers.Listen)
    .With("platform", this->Settings.Platform.Address);
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

std::uint64_t gsRouteNode::Version() const
{
  return std::max(this->Routes->Version(), this->Upstreams->Version());
}

gsTableWatch* gsRouteNode::WatchOf(std::string_view table)
{
  if (table == this->Adapter.Tables.Routes) {
    return this->Routes.get();
  }
  return table == this->Adapter.Tables.Upstreams ? this->Upstreams.get()
                                                 : nullptr;
}

void gsRouteNode::OnFrame(std::string const& host, std::uint64_t link,
                          gradescale::Frame const& frame)
{
  this->HearVersions(host, frame);
  this->HearLoads(host, frame);
  this->HearNews(host, frame);
  this->AnswerQueries(link, frame);
}

void gsRouteNode::HearNews(std::string const& host,
                           gradescale::Frame const& frame)
{
  gsMember const* member = gsFindMember(this->Cluster->Members(), host);
  bool sameHall = member != nullptr && member->Hall == this->Settings.Hall;
  if (sameHall && frame.tables_age_ms() > 0) {
    gsDutyHear(this->Duty, host, gsMilliseconds(frame.tables_age_ms()),
               gsLoop::Now());
  }
  for (gradescale::TableNews const& news : frame.table_news()) {
    this->LearnNews(host, news);
  }
}

void gsRouteNode::LearnNews(std::string const& host,
                            gradescale::TableNews const& wire)
{
  gsTableWatch* watch = this->WatchOf(wire.table());
  if (watch == nullptr) {
    return;
  }
  if (wire.too_large()) {
    watch->ReadOnce();
    return;
  }
  gsTableNews news;
  news.Above = wire.above_version();
  news.Version = wire.version();
  news.Whole = wire.whole();
  for (gradescale::TableRow const& row : wire.rows()) {
    news.Rows.push_back(
      { row.key(), row.value(), row.version(), row.removed() });
  }
  if (!watch->Learn(news, host)) {
    this->AskFor(host, wire.table());
  }
}

void gsRouteNode::AnswerQueries(std::uint64_t link,
                                gradescale::Frame const& frame)
{
  for (gradescale::TableQuery const& query : frame.table_queries()) {
    gsTableWatch const* watch = this->WatchOf(query.table());
    gradescale::Frame* answer =
      watch != nullptr ? this->Cluster->OnLink(link) : nullptr;
    if (answer != nullptr && watch->Known()) {
      AddNews(*answer, query.table(), watch->NewsAbove(query.above_version()));
    }
  }
}

std::vector<std::string> gsRouteNode::HallHosts() const
{
  std::vector<std::string> hosts;
  for (gsMember const& member : this->Cluster->Members().Members) {
    bool counts = member.Hall == this->Settings.Hall &&
                  member.State != gsMemberState::Dead;
    if (counts) {
      hosts.push_back(member.Host);
    }
  }
  return hosts;
}

/** Tells the hall what has changed since it was last told. */
void gsRouteNode::PushNews(gsTableWatch const& watch, std::string const& table,
                           std::uint64_t& pushed)
{
  gsTableNews news = watch.NewsAbove(pushed);
  pushed = watch.CompleteTo();
  if (this->Duty.State == gsWatchState::Covered || news.Rows.empty()) {
    return;
  }
  for (std::string const& host : this->HallHosts()) {
    gradescale::Frame* frame = this->Cluster->ToHost(host);
    if (frame != nullptr && IsLarge(news)) {
      gradescale::TableNews* notice = frame->add_table_news();
      notice->set_table(table);
      notice->set_too_large(true);
    } else if (frame != nullptr) {
      AddNews(*frame, table, news);
    }
  }
}

void gsRouteNode::FillHeader(gradescale::Frame& frame) const
{
  frame.set_tables_age_ms(this->TablesAge());
  if (frame.table_versions().empty()) {
    frame.add_table_versions(0);
    frame.add_table_versions(0);
  }
  frame.set_table_versions(0, this->Routes->Version());
  frame.set_table_versions(1, this->Upstreams->Version());
}

/** Time since both tables were last known to be up to date, for frames. */
std::uint32_t gsRouteNode::TablesAge() const
{
  gsTime answered =
    std::min(this->Routes->LastAnswer(), this->Upstreams->LastAnswer());
  if (this->Duty.State == gsWatchState::Covered || answered.count() == 0) {
    return 0;
  }
  auto age =
    std::chrono::duration_cast<gsMilliseconds>(gsLoop::Now() - answered);
  return static_cast<std::uint32_t>(age.count()) + 1;
}

/** Begins or ends watching the platform, and tells the hall of it. */
void gsRouteNode::DecideDuty(gsTime now)
{
  gsWatchState before = this->Duty.State;
  std::vector<std::string_view> alive =
    gsAliveHosts(this->Cluster->Members(), this->Settings.Hall);
  gsWatchState state = gsDutyDecide(this->Duty, alive, now);
  if (state != before) {
    gsLogLine("watch_duty")
      .With("state", gsWatchStateWord(state))
      .With("before", gsWatchStateWord(before))
      .With("hall_hosts", std::uint64_t(alive.size()));
  }
  for (gsTableWatch* watch : { this->Routes.get(), this->Upstreams.get() }) {
    if (state != before && state == gsWatchState::Covered) {
      watch->Pause();
    } else if (state != gsWatchState::Covered) {
      watch->Resume(state == gsWatchState::Assigned);
    }
  }
  if (state != gsWatchState::Covered && now - this->LastBeat >= BeatPeriod) {
    this->LastBeat = now;
    for (std::string const& host : this->HallHosts()) {
      this->Cluster->ToHost(host); // The header alone says what is needed.
    }
  }
}

bool gsRouteNode::IsBehind(Shown const& shown) const
{
  return shown.Routes > this->Routes->CompleteTo() ||
         shown.Upstreams > this->Upstreams->CompleteTo();
}

void gsRouteNode::HearVersions(std::string const& host,
                               gradescale::Frame const& frame)
{
  constexpr int tables = 2;
  if (frame.table_versions_size() != tables) {
    return;
  }
  Shown& shown = this->Peers[host];
  shown.Routes = frame.table_versions(0);
  shown.Upstreams = frame.table_versions(1);
  if (!this->IsBehind(shown)) {
    shown.BehindSince = gsTime{};
  } else if (shown.BehindSince.count() == 0) {
    shown.BehindSince = gsLoop::Now();
  }
}

void gsRouteNode::AskFor(std::string const& host, std::string const& table)
{
  if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
    gradescale::TableQuery* query = frame->add_table_queries();
    query->set_table(table);
    query->set_above_version(this->WatchOf(table)->CompleteTo());
  }
}

/** Asks hosts that have had newer rows for a while. */
void gsRouteNode::AskBehind(gsTime now)
{
  for (auto& [host, shown] : this->Peers) {
    bool due = shown.BehindSince.count() != 0 &&
               now - shown.BehindSince >= BehindPatience;
    if (!due) {
      continue;
    }
    shown.BehindSince = this->IsBehind(shown) ? now : gsTime{};
    if (shown.Routes > this->Routes->CompleteTo()) {
      this->AskFor(host, this->Adapter.Tables.Routes);
    }
    if (shown.Upstreams > this->Upstreams->CompleteTo()) {
      this->AskFor(host, this->Adapter.Tables.Upstreams);
    }
  }
}

/** What this host adds to the system's load. */
gsSystemLoad gsRouteNode::OwnLoad() const
{
  gsSystemLoad own;
  for (gsFleetRow const& row : this->Fleet.Rows) {
    std::uint32_t pace = TellPace(row);
    if (row.Own.Running > 0 || pace > 0) {
      own.Upstreams[row.Hash] = {
        row.Own.Running, static_cast<std::uint32_t>(row.Own.ReadTokens),
        static_cast<std::uint32_t>(row.Own.MemoryTokens), pace
      };
    }
  }
  for (auto const& [service, demand] : this->Fleet.Demand) {
    own.Services[ServiceHash(service)] = { CoarseTokens(demand.Long),
                                           CoarseTokens(demand.Tight) };
  }
  for (auto const& [service, arrangement] : this->Fleet.Arrangements) {
    if (arrangement.Version > 0) {
      own.Arrangements[ServiceHash(service)] = arrangement;
    }
  }
  return own;
}

/** Reports the load, as far as it has changed. */
void gsRouteNode::TellLoads()
{
  gsMembership const& table = this->Cluster->Members();
  std::vector<gsLoadMember> members{ { table.Self.Host, table.Self.Hall } };
  for (gsMember const& member : table.Members) {
    if (member.State == gsMemberState::Alive) {
      members.push_back({ member.Host, member.Hall });
    }
  }
  gsTime now = gsLoop::Now();
  for (gsLoadMessage const& message :
       gsLoadTick(this->Loads, members, this->OwnLoad(), now)) {
    if (gradescale::Frame* frame = this->Cluster->ToHost(message.To)) {
      gsToWire(message.Report, frame->add_load_reports());
    }
  }
  this->ApplyLoads(now);
  if (gsLoadDecides(members, this->Settings.Host)) {
    gsDecideArrangements(this->Fleet, now);
  }
}

void gsRouteNode::HearLoads(std::string const& host,
                            gradescale::Frame const& frame)
{
  gsMember const* member = gsFindMember(this->Cluster->Members(), host);
  if (member == nullptr || frame.load_reports().empty()) {
    return;
  }
  gsTime now = gsLoop::Now();
  for (gradescale::LoadReport const& wire : frame.load_reports()) {
    gsLoadHear(this->Loads, host, member->Hall, gsFromWire(wire), now);
  }
  this->ApplyLoads(now);
}

void gsRouteNode::ApplyLoads(gsTime now)
{
  gsSystemLoad others = gsLoadOfOthers(this->Loads, now);
  for (gsFleetRow& row : this->Fleet.Rows) {
    auto load = others.Upstreams.find(row.Hash);
    gsUpstreamLoad known;
    if (load != others.Upstreams.end()) {
      known = load->second;
    }
    row.Others = { known.Running, known.ReadTokens, known.MemoryTokens };
    row.OthersAt = now;
    if (known.PaceMicros > 0) {
      row.OthersPace = known.PaceMicros / MicrosPerMilli;
    }
  }
  for (auto& [service, demand] : this->Fleet.Demand) {
    gsServiceDemand const& known = others.Services[ServiceHash(service)];
    demand.OthersLong = known.Long;
    demand.OthersTight = known.Tight;
  }
  for (auto const& [service, rows] : this->Fleet.ByService) {
    auto decided = others.Arrangements.find(ServiceHash(service));
    if (decided != others.Arrangements.end()) {
      gsAdoptArrangement(this->Fleet, service, decided->second);
    }
  }
}

void gsRouteNode::OnRoutes()
{
  this->PushNews(*this->Routes, this->Adapter.Tables.Routes,
                 this->RoutesPushed);
  auto const& rows = this->Routes->Present();
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
  this->CallerServer->Limit(table->Limits.BodyBytes,
                            table->Limits.IdleTimeout + IdleMargin);
  this->Metrics.Set("gradescale_config_version", {},
                    static_cast<double>(table->Version));
  gsLogLine("config_in_force")
    .With("version", table->Version)
    .With("before", before)
    .With("row_version", row->second.Version)
    .With("routes", std::uint64_t(table->Routes.size()))
    .With("organisations", std::uint64_t(table->Organisations.size()));
  if (!this->Working && !this->Stopping) {
    this->Working = true;
    this->Cluster->TakeWork();
  }
}

void gsRouteNode::OnUpstreams()
{
  this->PushNews(*this->Upstreams, this->Adapter.Tables.Upstreams,
                 this->UpstreamsPushed);
  std::vector<gsListedUpstream> listed;
  std::size_t leaving = 0;
  for (auto const& [id, row] : this->Upstreams->Present()) {
    gsResult<gsListedUpstream> read =
      this->Adapter.ReadUpstream(id, row.Value);
    if (!read) {
      gsLogLine("upstream_unreadable", gsLogLevel::Error)
        .With("upstream", id)
        .With("row_version", row.Version)
        .With(read.error());
      if (gsFleetRow const* known = gsFleetFind(this->Fleet, id)) {
        listed.push_back(known->Listed);
      }
      continue;
    }
    leaving += read.value().Leaving ? 1 : 0;
    listed.push_back(std::move(read.value()));
  }
  gsFleetTake(this->Fleet, listed);
  gsLogLine("upstreams")
    .With("listed", std::uint64_t(listed.size()))
    .With("leaving", std::uint64_t(leaving))
    .With("row_version", this->Upstreams->Version());
}

bool gsRouteNode::Ready() const
{
  return this->Table != nullptr && this->Upstreams->Known() && !this->Stopping;
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
  } else {
    exchange->Respond(gsStatusNotFound, plain,
                      "This port serves /readyz, /healthz and /metrics.\n");
  }
}

void gsRouteNode::WriteGauges()
{
  this->Metrics.Set("gradescale_open_requests", {},
                    static_cast<double>(this->Gateway->Open()));
  this->Metrics.Clear("gradescale_upstream_running");
  for (gsFleetRow const& row : this->Fleet.Rows) {
    this->Metrics.Set("gradescale_upstream_running",
                      gsLabels({ { "upstream", row.Listed.Id } }),
                      row.Own.Running);
  }
  this->Metrics.Set(
    "gradescale_platform_calls_total", {},
    static_cast<double>(this->Routes->Calls() + this->Upstreams->Calls()));
  this->Metrics.Set("gradescale_upstream_connections_total", {},
                    static_cast<double>(this->Client.Opened()));
}

void gsRouteNode::Tick()
{
  gsTime now = gsLoop::Now();
  gsTime gap = now - this->LastTick;
  this->LastTick = now;
  if (gap > StallLimit) {
    this->OnStalled(gap);
  }
  this->DecideDuty(now);
  this->AskBehind(now);
  if (now - this->LastLook >= SettingsPeriod) {
    this->LastLook = now;
    this->LookAtSettings();
  }
}

/** What was known before the process stood still may be out of date. */
void gsRouteNode::OnStalled(gsTime gap)
{
  gsLogLine("stalled", gsLogLevel::Warn).With("for_ms", gap);
  this->Metrics.Count("gradescale_stalls_total");
  for (gsTableWatch* watch : { this->Routes.get(), this->Upstreams.get() }) {
    watch->Resume(false);
    watch->Refresh("stalled");
  }
  this->Duty.State = gsWatchState::Uncovered;
  this->Duty.Heard.clear();
  this->Cluster->ProbeNow();
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
  double burst = this->Settings.Retry.Burst;
  if (this->Settings.Retry.BurstOfAll > 0) {
    std::size_t hosts = 1;
    for (gsMember const& member : this->Cluster->Members().Members) {
      hosts += member.State != gsMemberState::Dead ? 1 : 0;
    }
    burst = this->Settings.Retry.BurstOfAll / static_cast<double>(hosts);
  }
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
  bool idle = this->CallerServer->OpenExchanges() == 0;
  bool over =
    since >= this->Settings.Stop.Longest - this->Settings.Stop.Margin;
  if (over || (this->Quiesced && idle)) {
    gsLogLine("stopped").With("cut", std::uint64_t(this->Gateway->Open()));
    this->StopTimer.Stop();
    this->Loop.Stop();
  }
}
