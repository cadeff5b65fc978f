/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsNode.h"

#include <algorithm>
#include <chrono>

#include "gsConnectionShedding.h"
#include "gsDocumentJson.h"
#include "gsLog.h"
#include "gsProcess.h"
#include "gsRendezvous.h"
#include "gsSecret.h"
#include "gsWireCodec.h"

namespace {

constexpr gsTime StallCheckPeriod = gsMilliseconds(100);
/** A longer interval between timer runs counts as a stall of the process. */
constexpr gsTime StallLimit = gsMilliseconds(1000);
/** Maximum time after a stall that grants wait for updates from others. */
constexpr gsTime RefreshTimeout = gsSeconds(1);
/** Bounds the delay until a leaving upstream listed by the platform is seen.
 */
constexpr gsTime ListPeriod = gsSeconds(2);
constexpr gsTime ClaimTick = gsMilliseconds(5);
constexpr gsTime StopTick = gsMilliseconds(50);
constexpr std::size_t BytesPerKib = 1024;

/** Hash that identifies this incarnation of the host in request ids. */
std::uint64_t IncarnationHash(std::string const& host,
                              std::uint64_t incarnation)
{
  return gsRendezvousWeight(host, incarnation);
}

std::uint64_t ToMicros(gsTime time)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count()));
}

gsTime FromMicros(std::uint64_t micros)
{
  return gsTime(static_cast<std::int64_t>(micros));
}

} // namespace

gsNode::gsNode(gsLoop& loop, gsSettings settings)
  : Loop(loop)
  , Settings(std::move(settings))
  , Incarnation(gsWallMicros())
  , Client(loop)
  , StallTimer(loop, [this] { this->CheckStall(); })
  , ListTimer(loop, [this] { this->ListHosts(); })
  , ClaimTimer(loop, [this] { this->SendClaims(); })
  , StopTimer(loop, [this] { this->Stop(); })
{
  if (this->Settings.Platform.Memory) {
    this->Platform = gsMakeMemoryPlatform(loop);
  } else {
    this->Platform =
      gsMakeHttpPlatform(this->Client, { this->Settings.Platform.Address,
                                         this->Settings.Platform.Token,
                                         this->Settings.Platform.Timeout });
  }
  gsConfigStore::Hooks config;
  config.OnChanged = [this] { this->OnDocument(); };
  config.FetchFromPeer = [this](std::string const& peer, std::uint64_t above) {
    if (gradescale::Frame* frame = this->Cluster->ToHost(peer)) {
      frame->add_config_requests()->set_above_version(above);
    }
  };
  config.OnPlatformError = [this](gsError const& error) {
    this->Metrics.Increment("gradescale_platform_errors_total");
    gsLogLine("platform_error", gsLogLevel::Warn).With(error);
  };
  this->Config = std::make_unique<gsConfigStore>(
    loop, this->Platform, this->Settings.Replica, std::move(config));
  this->Cluster = std::make_unique<gsCluster>(
    loop, this->Settings, this->Incarnation, this->ClusterEvents());
  this->Dispatcher =
    std::make_unique<gsDispatcher>(loop, this->Client, this->Settings,
                                   this->Metrics, this->DispatcherHooks());
  this->Gateway = std::make_unique<gsGateway>(
    loop, this->Client, this->Settings, this->Metrics, this->Claims,
    IncarnationHash(this->Settings.Host, this->Incarnation),
    this->GatewayHooks());
  this->Operators = std::make_unique<gsOperatorApi>(
    loop, gsOperatorParts{ this->Settings, *this->Config, *this->Cluster,
                           *this->Dispatcher, *this->Gateway });
}

gsNode::~gsNode() = default;

gsClusterEvents gsNode::ClusterEvents()
{
  gsClusterEvents events;
  events.OnFrame = [this](std::string const& host, std::uint64_t link,
                          gradescale::Frame const& frame) {
    this->OnFrame(host, link, frame);
  };
  events.OnHostExcluded = [this](std::string const& host) {
    this->Gateway->GrantRequester().OnHostLost(host);
  };
  events.OnLinkDown = [this](std::uint64_t link) {
    this->Dispatcher->OnLinkDown(link);
  };
  events.OnMembersChanged = [this] {
    this->Dispatcher->RefreshLeaving();
    this->Gateway->GrantRequester().OnMembersChanged();
  };
  events.ConfigVersion = [this] { return this->Config->Version(); };
  return events;
}

gsDispatcher::Hooks gsNode::DispatcherHooks()
{
  gsDispatcher::Hooks hooks;
  hooks.OnGrant = [this](gsGrant const& grant) {
    if (grant.Link == gsLocalLink) {
      this->Gateway->GrantRequester().OnGrant(this->Cluster->Self(), grant);
    } else if (gradescale::Frame* frame = this->Cluster->OnLink(grant.Link)) {
      gsToWire(grant, frame->add_grants());
    }
  };
  hooks.OnRefusal = [this](gsRefusal const& refusal) {
    if (refusal.Link == gsLocalLink) {
      this->Gateway->GrantRequester().OnRefusal(
        refusal.Id, gsRefusalCauseName(refusal.Cause), refusal.RetryAfter);
    } else if (gradescale::Frame* frame =
                 this->Cluster->OnLink(refusal.Link)) {
      gsToWire(refusal, frame->add_refusals());
    }
  };
  hooks.IsLeaving = [this](std::string const& upstream,
                           std::string const& incarnation) {
    return this->UpstreamLeaving(upstream, incarnation);
  };
  hooks.OnLeaving = [this](std::string const& upstream,
                           std::string const& incarnation) {
    this->Cluster->RecordLeaving(upstream, incarnation);
  };
  hooks.IsOurs = [this](std::string const& pool) {
    return this->Cluster->DispatcherOf(this->Settings.Hall, pool) ==
           this->Settings.Host;
  };
  return hooks;
}

gsGateway::Hooks gsNode::GatewayHooks()
{
  gsGateway::Hooks hooks;
  auto local = [this](std::string const& host) {
    return host == this->Settings.Host;
  };
  hooks.DispatcherOf = [this](std::string_view hall, std::string_view pool) {
    return this->Cluster->DispatcherOf(hall, pool);
  };
  hooks.OtherHalls = [this] { return gsOtherHalls(this->Cluster->Members()); };
  hooks.SendGrantRequest = [this, local](std::string const& host,
                                         gsGrantRequest const& ask) {
    if (local(host)) {
      this->Dispatcher->RequestGrant(ask, gsLocalLink);
    } else if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
      gsToWire(ask, frame->add_asks());
    }
  };
  hooks.SendWithdraw = [this, local](std::string const& host,
                                     gsGrantRequest const& ask) {
    if (local(host)) {
      this->Dispatcher->Withdraw(ask.Pool, ask.Id);
    } else if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
      gradescale::Withdraw* wire = frame->add_withdraws();
      gsToWire(ask.Id, wire->mutable_id());
      wire->set_pool(ask.Pool);
    }
  };
  hooks.SendRunning = [this, local](std::string const& host,
                                    gsGrantRequest const& ask,
                                    std::string const& upstream) {
    if (local(host)) {
      this->Dispatcher->AdoptRunning(ask, upstream, gsLocalLink);
    } else if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
      gradescale::Running* wire = frame->add_running();
      gsToWire(ask, wire->mutable_ask());
      wire->set_upstream(upstream);
    }
  };
  hooks.SendProgress = [this, local](std::string const& host,
                                     gsGrantRequest const& ask,
                                     gsTime firstToken, gsTime gap) {
    if (local(host)) {
      this->Dispatcher->ReportProgress(ask.Pool, ask.Id, firstToken, gap);
    } else if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
      gradescale::Progress* wire = frame->add_progress();
      gsToWire(ask.Id, wire->mutable_id());
      wire->set_pool(ask.Pool);
      wire->set_first_token_us(ToMicros(firstToken));
      wire->set_gap_us(ToMicros(gap));
    }
  };
  hooks.SendRelease = [this, local](std::string const& host,
                                    gsGrantRequest const& ask,
                                    gsGrantOutcome outcome,
                                    gsGrantMeasurements const& measured) {
    if (local(host)) {
      this->Dispatcher->Release(ask.Pool, ask.Id, outcome, measured);
    } else if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
      gradescale::Release* wire = frame->add_releases();
      gsToWire(ask.Id, wire->mutable_id());
      wire->set_pool(ask.Pool);
      wire->set_outcome(static_cast<std::uint32_t>(outcome));
      wire->set_tokens(measured.Tokens);
      wire->set_first_token_us(ToMicros(measured.TimeToFirstToken));
      wire->set_gap_us(ToMicros(measured.TokenInterval));
      wire->set_duration_us(ToMicros(measured.Duration));
    }
  };
  hooks.SetExpectingAnswer = [this, local](std::string const& host,
                                           bool waiting) {
    if (!local(host)) {
      this->Cluster->SetHeartbeats(host, waiting);
    }
  };
  hooks.IsLeaving = [this](std::string const& upstream,
                           std::string const& incarnation) {
    return this->UpstreamLeaving(upstream, incarnation);
  };
  hooks.IsReady = [this] {
    return this->Config->Ready() && !this->Settings.Document;
  };
  hooks.Document = [this]() -> gsDocument const& {
    return this->Config->Document();
  };
  return hooks;
}

gsResult<bool> gsNode::Start()
{
  // Decisions come first, so that their frames are sent in the same turn.
  this->Loop.BeforeWait([this] { this->BeforeWait(); });
  gsResult<bool> cluster = this->Cluster->Start();
  if (!cluster) {
    return cluster.error();
  }
  gsHttpServerSettings callers;
  callers.Address = this->Settings.Callers.Listen;
  callers.MaxBody = this->Settings.Callers.MaxBodyKib * BytesPerKib;
  callers.MaxHeader = this->Settings.Callers.MaxHeaderKib * BytesPerKib;
  auto const& limits = this->Settings.Callers;
  callers.MaxConnections = static_cast<std::uint32_t>(
    limits.MaxConnections > 0
      ? limits.MaxConnections
      : gsLimitConnections({ gsMaxDescriptors(this->Settings.Descriptors) })
          .Callers);
  callers.MaxConnectionsPerIp =
    limits.MaxConnectionsPerIp > 0
      ? static_cast<std::uint32_t>(limits.MaxConnectionsPerIp)
      : callers.MaxConnections;
  callers.ReceiveTimeout = this->Settings.Callers.ReceiveTimeout;
  auto serve = [this](std::shared_ptr<gsHttpExchange> const& exchange) {
    if (exchange->Path == "/metrics") {
      this->Dispatcher->UpdateGauges();
    }
    this->Gateway->OnExchange(exchange);
  };
  auto server = gsHttpServer::Start(this->Loop, callers, serve);
  if (!server) {
    return server.error();
  }
  this->CallerServer = std::move(server.value());

  gsHttpServerSettings operators;
  operators.Address = this->Settings.Operators.Listen;
  constexpr std::size_t maxChange = 16U << 20U;
  operators.MaxBody = maxChange;
  auto operate = [this](std::shared_ptr<gsHttpExchange> const& exchange) {
    this->Operators->OnExchange(exchange);
  };
  server = gsHttpServer::Start(this->Loop, operators, operate);
  if (!server) {
    return server.error();
  }
  this->OperatorServer = std::move(server.value());

  this->Config->Start();
  this->LastStallCheck = gsLoop::Now();
  this->StallTimer.BeforeOthers();
  this->StallTimer.Every(StallCheckPeriod);
  this->ListTimer.Every(ListPeriod);
  this->ListHosts();
  gsLogLine("started")
    .With("host", this->Settings.Host)
    .With("hall", this->Settings.Hall)
    .With("callers", this->Settings.Callers.Listen)
    .With("operators", this->Settings.Operators.Listen)
    .With("peers", this->Settings.Peers.Listen);
  return true;
}

void gsNode::BeforeWait()
{
  this->Dispatcher->RunDirtyPools();
  bool claims =
    !this->Claims.Pending.empty() || !this->Claims.BackgroundQueue.empty();
  if (claims && !this->ClaimScheduled) {
    this->ClaimScheduled = true;
    this->ClaimTimer.Once(ClaimTick);
  }
}

/** Commits the settings' document as the first change. */
void gsNode::SubmitFirstDocument()
{
  gsJson change{ { "id", "first" },
                 { "kind", "import" },
                 { "document", gsToJson(*this->Settings.Document) } };
  this->Settings.Document.reset();
  this->Config->Submit(change.dump(), [](gsResult<gsChange> const& result) {
    if (!result) {
      gsLogLine("change_refused", gsLogLevel::Error).With(result.error());
    }
  });
}

void gsNode::OnDocument()
{
  if (this->Settings.Document) {
    this->Loop.Defer([this] { this->SubmitFirstDocument(); });
  }
  this->Metrics.Set("gradescale_config_version", {},
                    static_cast<double>(this->Config->Version()));
  this->Dispatcher->ApplyDocument(this->Config->Document());
  this->Gateway->ApplyDocument(this->Config->Document());
  if (!this->AcceptsWork && !this->Stopping) {
    this->AcceptsWork = true;
    this->Cluster->AnnounceAccepting();
  }
}

bool gsNode::UpstreamLeaving(std::string const& upstream,
                             std::string const& incarnation) const
{
  gsUpstream const* entry =
    gsFindByName(this->Config->Document().Upstreams, upstream);
  bool listed = entry != nullptr && entry->State == gsUpstreamState::Active;
  bool byPlatform =
    std::find(this->PlatformLeaving.begin(), this->PlatformLeaving.end(),
              upstream) != this->PlatformLeaving.end();
  return !listed || byPlatform ||
         this->Cluster->IsLeaving(upstream, incarnation);
}

void gsNode::OnFrame(std::string const& host, std::uint64_t link,
                     gradescale::Frame const& frame)
{
  this->Operators->RecordVersion(host, frame.config_version());
  this->Config->OnPeerVersion(host, frame.config_version());
  this->OnConfigFrames(host, link, frame);
  this->OnWork(host, link, frame);
}

void gsNode::OnConfigFrames(std::string const& host, std::uint64_t link,
                            gradescale::Frame const& frame)
{
  for (gradescale::ConfigRequest const& request : frame.config_requests()) {
    gradescale::Frame* answer = this->Cluster->OnLink(link);
    if (answer == nullptr || !this->Config->Ready()) {
      continue;
    }
    gradescale::ConfigReply* reply = answer->add_config_replies();
    reply->set_version(request.above_version());
    for (std::string const& change :
         this->Config->ChangesAbove(request.above_version())) {
      reply->add_changes(change);
    }
    if (reply->changes().empty()) {
      reply->set_document(gsToJson(this->Config->Document()).dump());
    }
  }
  for (gradescale::ConfigReply const& reply : frame.config_replies()) {
    if (!reply.document().empty()) {
      this->Config->ApplyDocument(reply.document());
    } else {
      this->Config->ApplyChanges(
        reply.version(), { reply.changes().begin(), reply.changes().end() });
    }
  }
  for (gradescale::VersionQuery const& query : frame.version_queries()) {
    this->Operators->OnVersionQuery(link, query);
  }
  for (gradescale::VersionReply const& reply : frame.version_replies()) {
    this->Operators->OnVersionReply(host, reply);
  }
}

void gsNode::OnAsk(std::uint64_t link, gsGrantRequest ask)
{
  std::string dispatcher =
    this->Cluster->DispatcherOf(this->Settings.Hall, ask.Pool);
  if (ask.ForceQueue || dispatcher == this->Settings.Host) {
    this->Dispatcher->RequestGrant(std::move(ask), link);
    return;
  }
  if (gradescale::Frame* frame = this->Cluster->OnLink(link)) {
    gradescale::Redirect* redirect = frame->add_redirects();
    gsToWire(ask.Id, redirect->mutable_id());
    redirect->set_dispatcher(dispatcher);
  }
}

void gsNode::OnWork(std::string const& host, std::uint64_t link,
                    gradescale::Frame const& frame)
{
  for (gradescale::Running const& running : frame.running()) {
    this->Dispatcher->AdoptRunning(gsFromWire(running.ask()),
                                   running.upstream(), link);
  }
  for (gradescale::Ask const& ask : frame.asks()) {
    this->OnAsk(link, gsFromWire(ask));
  }
  for (gradescale::Withdraw const& withdraw : frame.withdraws()) {
    this->Dispatcher->Withdraw(withdraw.pool(), gsFromWire(withdraw.id()));
  }
  for (gradescale::Progress const& progress : frame.progress()) {
    this->Dispatcher->ReportProgress(
      progress.pool(), gsFromWire(progress.id()),
      FromMicros(progress.first_token_us()), FromMicros(progress.gap_us()));
  }
  for (gradescale::Release const& release : frame.releases()) {
    this->Dispatcher->Release(release.pool(), gsFromWire(release.id()),
                              static_cast<gsGrantOutcome>(release.outcome()),
                              gsMeasuredFromWire(release));
  }
  for (gradescale::Grant const& wire : frame.grants()) {
    gsGrant grant;
    grant.Id = gsFromWire(wire.id());
    grant.Pool = wire.pool();
    grant.Upstream = wire.upstream();
    grant.Address = wire.address();
    grant.Incarnation = wire.incarnation();
    grant.StartTimeout = FromMicros(wire.start_within_us());
    this->Gateway->GrantRequester().OnGrant(host, grant);
  }
  for (gradescale::Refusal const& refusal : frame.refusals()) {
    this->Gateway->GrantRequester().OnRefusal(
      gsFromWire(refusal.id()), refusal.cause(),
      FromMicros(refusal.retry_after_us()));
  }
  for (gradescale::Redirect const& redirect : frame.redirects()) {
    this->Gateway->GrantRequester().OnRedirect(gsFromWire(redirect.id()),
                                               redirect.dispatcher());
  }
}

/** Detects a stall of the process, then updates metrics. */
void gsNode::CheckStall()
{
  gsTime now = gsLoop::Now();
  gsTime elapsed = now - this->LastStallCheck;
  this->LastStallCheck = now;
  if (elapsed > StallLimit) {
    this->OnStalled(elapsed);
  }
  this->ResumeAfterRefresh();
  std::map<std::string, double> states;
  for (gsMember const& member : this->Cluster->Members().Members) {
    states[gsMemberStateName(member.State)] += 1;
  }
  this->Metrics.RemoveValues("gradescale_members");
  for (auto const& [state, count] : states) {
    this->Metrics.Set("gradescale_members", gsLabels({ { "state", state } }),
                      count);
  }
  if (this->Cluster->Net() != nullptr) {
    this->Metrics.Set(
      "gradescale_peer_bytes_total", "direction=\"sent\"",
      static_cast<double>(this->Cluster->Net()->BytesSent().Sum()));
    this->Metrics.Set(
      "gradescale_peer_bytes_total", "direction=\"received\"",
      static_cast<double>(this->Cluster->Net()->BytesReceived()));
  }
}

void gsNode::OnStalled(gsTime elapsed)
{
  gsLogLine("stalled", gsLogLevel::Warn).With("for_ms", elapsed);
  this->Metrics.Increment("gradescale_stalls_total");
  this->Stalled = true;
  this->StalledAt = gsLoop::Now();
  // The state may be out of date; grants wait for an update from others.
  this->Dispatcher->SetPaused(true);
  this->Config->PollNow();
  this->Cluster->PingAllHosts();
  this->Gateway->GrantRequester().OnProcessSuspended();
}

void gsNode::ResumeAfterRefresh()
{
  if (!this->Stalled) {
    return;
  }
  bool heard = this->Config->LastPollTime() > this->StalledAt ||
               this->Cluster->LastReceivedAt() > this->StalledAt;
  if (heard || gsLoop::Now() - this->StalledAt > RefreshTimeout) {
    this->Stalled = false;
    this->Dispatcher->SetPaused(false);
  }
}

void gsNode::ListHosts()
{
  this->Platform.ListHosts([this](gsResult<gsHostList> const& result) {
    if (!result) {
      this->Metrics.Increment("gradescale_platform_errors_total");
      return;
    }
    std::vector<std::string> addresses;
    for (gsListedHost const& row : result.value().Hosts) {
      if (!row.Leaving && !row.Address.empty()) {
        addresses.push_back(row.Address);
      }
    }
    this->Cluster->AddAddresses(std::move(addresses));
    this->Operators->UpdateHostList(result.value());
    this->PlatformLeaving = result.value().LeavingUpstreams;
    this->Dispatcher->RefreshLeaving();
  });
}

void gsNode::SendClaims()
{
  this->ClaimScheduled = false;
  std::optional<gsClaimBatch> batch =
    gsClaimsTick(this->Claims, gsLoop::Now());
  if (!batch) {
    return;
  }
  std::uint64_t number = batch->Number;
  this->Platform.Transact(
    batch->Operations, [this, number](gsPlatform::Results const& results) {
      std::vector<gsClaimDecision> decisions;
      if (results) {
        gsClaimsProcessResults(this->Claims, number, results.value(),
                               decisions);
      } else {
        this->Metrics.Increment("gradescale_platform_errors_total");
        gsClaimsProcessLostResponse(this->Claims, number, decisions);
      }
      for (gsClaimDecision const& decision : decisions) {
        this->Gateway->OnClaim(decision);
      }
    });
}

void gsNode::Stop()
{
  gsTime now = gsLoop::Now();
  if (!this->Stopping) {
    this->Stopping = true;
    this->StopSince = now;
    gsLogLine("stopping")
      .With("open", std::uint64_t(this->Gateway->OpenRequestCount()));
    this->Gateway->StopAccepting();
    this->CallerServer->CloseAfterAnswers(true);
    this->Cluster->AnnounceLeaving();
    this->StopTimer.Every(StopTick);
  }
  gsTime since = now - this->StopSince;
  // Requests are served until the load balancer has seen that this host is
  // not ready.
  if (!this->Quiesced && since >= this->Settings.Stop.Unready) {
    this->Quiesced = true;
    this->Gateway->RefuseNew();
    this->CallerServer->Quiesce();
  }
  if (this->Quiesced && this->CallerServer->IsQuiet()) {
    this->CallerServer->CloseIdle();
  }
  bool idle = this->Gateway->OpenRequestCount() == 0 &&
              this->CallerServer->Drained() && this->Claims.Pending.empty() &&
              this->Claims.BackgroundQueue.empty() &&
              this->Claims.InFlight.empty();
  bool timedOut = since >= this->Settings.Stop.Longest;
  if (this->Quiesced && (idle || timedOut)) {
    gsLogLine("stopped").With(
      "cut", std::uint64_t(this->Gateway->OpenRequestCount()));
    this->StopTimer.Stop();
    this->Loop.Stop();
  }
}
