/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTableSync.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "gsLog.h"

namespace {

/** The newest row format that both the sender of a frame and this host can
 * parse. */
gsRowFormat CommonRowFormat(gradescale::Frame const& frame)
{
  std::uint32_t newest = static_cast<std::uint32_t>(gsNewestRowFormat);
  return static_cast<gsRowFormat>(std::min(frame.reads_row_form(), newest));
}

/** Time within which frames that were queued while the process was suspended
 * are processed. Their content may be out of date. */
constexpr gsTime QueuedFrameTime = gsMilliseconds(50);
/** Interval between the heartbeats of a watcher to its hall. */
constexpr gsTime HeartbeatInterval = gsMilliseconds(400);
/** Maximum delay of a watch's response beyond its wait, added to the maximum
 * age of tables. */
constexpr gsTime TablesAgeMargin = gsMilliseconds(900);
/** Delay after which the other hosts read the tables themselves at the first
 * start of all hosts, if no host has sent them the tables by then. */
constexpr gsTime FirstReadTimeout = gsMilliseconds(3000);
/** Changes are batched for this fraction of the time within which hosts have
 * to learn that an upstream is leaving. Each batch costs every watcher a call
 * to the platform. */
constexpr int BatchDelayDivisor = 12;
/** Minimum interval between updates. Without it, when 170 upstreams appeared
 * one after the other, each host of a hall processed 80 changes of its whole
 * list in 4 s from each watcher. */
constexpr gsTime MinPushInterval = gsMilliseconds(200);
/**
 * Updates with more rows are not sent to other halls unless queried, as the
 * watchers of those halls receive the changes equally soon. At a start of
 * 10,000 upstreams, six halls would otherwise send each other about 80 MB.
 * Where a watch is unresponsive, queried rows arrive 1.3 s later.
 */
constexpr std::size_t MaxRowsToOtherHalls = 64;

/** Age for a frame's header, in milliseconds plus one, since zero means that
 * there is none. */
std::uint32_t FrameAge(gsTime since)
{
  auto age = std::chrono::duration_cast<gsMilliseconds>(gsLoop::Now() - since);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0)) +
         1;
}

gsTableWatchSettings WatchSettings(gsSettings const& settings)
{
  gsTableWatchSettings watch;
  watch.PlatformAddress = settings.Platform.Address;
  watch.WatchWait = settings.Routing.WatchWait;
  watch.BatchDelay = settings.Routing.Leaving / BatchDelayDivisor;
  return watch;
}

} // namespace

/** Rows of this table do not expire. A removed route or key is therefore
 * removed immediately, without a return grace period. */
gsTableWatchSettings gsRoutesWatchSettings(gsSettings const& settings,
                                           gsAdapter const& adapter)
{
  gsTableWatchSettings watch = WatchSettings(settings);
  watch.TableName = adapter.Tables.Routes;
  watch.ReturnGracePeriod = gsTime{};
  return watch;
}

gsTableWatchSettings gsUpstreamsWatchSettings(gsSettings const& settings,
                                              gsAdapter const& adapter)
{
  gsTableWatchSettings watch = WatchSettings(settings);
  watch.TableName = adapter.Tables.Upstreams;
  return watch;
}

gsTableSync::gsTableSync(gsLoop& loop, gsHttpClient& client,
                         gsAdapter const& adapter, gsSettings const& settings,
                         gsTableSyncEvents events)
  : Adapter(adapter)
  , Settings(settings)
  , Events(std::move(events))
  , Exchange(adapter, { [this](gsBulkRequest const& request) {
                         return this->MakeAnswer(request);
                       },
                        [this](std::string const& host,
                               gradescale::TableNews const& update) {
                          this->ApplyUpdate(host, update);
                        } })
{
  this->RoutesPull.Self = settings.Host;
  this->UpstreamsPull.Self = settings.Host;
  this->RoutesPush.Table = adapter.Tables.Routes;
  this->UpstreamsPush.Table = adapter.Tables.Upstreams;
  this->Duty.Self = settings.Host;
  this->Duty.Settings.MaxTablesAge =
    settings.Routing.WatchWait + TablesAgeMargin;
  this->Routes = std::make_unique<gsTableWatch>(
    loop, client, adapter, gsRoutesWatchSettings(settings, adapter), [this] {
      // The keys are not used, as the table is read as one document.
      this->Routes->TakeChangedKeys();
      this->Exchange.RecordRoutes(this->Routes->LiveRows());
      this->PushOrDeferUpdate(*this->Routes, this->RoutesPush);
      this->Events.OnRoutesChanged();
    });
  this->Upstreams = std::make_unique<gsTableWatch>(
    loop, client, adapter, gsUpstreamsWatchSettings(settings, adapter),
    [this] {
      this->PushOrDeferUpdate(*this->Upstreams, this->UpstreamsPush);
      this->Events.OnUpstreamsChanged();
    });
}

void gsTableSync::Start(gsHallCluster& cluster)
{
  this->Cluster = &cluster;
  this->Exchange.Start(cluster);
  this->Duty.StartedAt = gsLoop::Now();
  if (this->Settings.Routing.FirstStart) {
    // If each of 295 hosts read two tables, they would make as many calls to
    // the platform as their watchers do in the following 50 s.
    this->Routes->Pause();
    this->Upstreams->Pause();
    return;
  }
  this->HasStarted = true;
  this->Routes->Start();
  this->Upstreams->Start();
}

/** Ends the delay at the first start of all hosts once the tables are known,
 * this host watches, or FirstReadTimeout has passed. */
void gsTableSync::StartIfDue(gsTime now)
{
  if (this->HasStarted) {
    return;
  }
  bool isKnown =
    this->Routes->IsInitialized() && this->Upstreams->IsInitialized();
  bool watches = this->Duty.State != gsWatchState::Covered;
  this->HasStarted =
    isKnown || watches || now - this->Duty.StartedAt >= FirstReadTimeout;
  if (this->HasStarted && !isKnown && !watches) {
    this->Routes->ReadOnce();
    this->Upstreams->ReadOnce();
  }
}

std::uint64_t gsTableSync::LastChangeVersion() const
{
  return std::max(this->Routes->LastChangeVersion(),
                  this->Upstreams->LastChangeVersion());
}

std::uint64_t gsTableSync::CallCount() const
{
  return this->Routes->CallCount() + this->Upstreams->CallCount();
}

void gsTableSync::ReceiveFrame(std::string const& host,
                               gradescale::Frame const& frame)
{
  this->ReceiveRowFormat(host, frame);
  this->ReceiveVersions(host, frame);
  this->Exchange.ReceiveFrame(host, frame);
  this->ReceiveUpdates(host, frame);
  this->AnswerQueries(host, frame);
}

void gsTableSync::Tick(gsTime now)
{
  this->UpdateWatchState(now);
  this->StartIfDue(now);
  this->PushDeferredUpdates(now);
  this->QueryNewerPeer(this->Adapter.Tables.Routes, now);
  this->QueryNewerPeer(this->Adapter.Tables.Upstreams, now);
  this->Exchange.Tick(now);
  this->RepairIfDivergent(this->Adapter.Tables.Routes, now);
  this->RepairIfDivergent(this->Adapter.Tables.Upstreams, now);
}

void gsTableSync::OnStalled()
{
  this->Duty.Reports.clear();
  if (this->Upstreams->IsLarge() || this->Routes->IsLarge()) {
    // Reading a large table is costly; only the changes are read.
    this->Routes->Restart();
    this->Upstreams->Restart();
    return;
  }
  for (gsTableWatch* watch : { this->Routes.get(), this->Upstreams.get() }) {
    watch->Resume({});
    watch->Refresh("stalled");
  }
  this->Duty.State = gsWatchState::Uncovered;
}

/** When the platform last confirmed both tables to this host; zero if it never
 * did. */
gsTime gsTableSync::LastAnswerAt() const
{
  return std::min(this->Routes->LastResponseTime(),
                  this->Upstreams->LastResponseTime());
}

bool gsTableSync::HasCaughtUpSince(gsTime stallEnd) const
{
  bool isConfirmedByPeer =
    this->ConfirmedByPeerAt >= stallEnd + QueuedFrameTime &&
    this->PeerCurrentAt >= stallEnd - this->Duty.Settings.MaxTablesAge;
  return this->LastAnswerAt() >= stallEnd || isConfirmedByPeer;
}

std::optional<gsTime> gsTableSync::Age() const
{
  gsTime confirmed = std::max(this->LastAnswerAt(), this->PeerCurrentAt);
  return confirmed.count() == 0 ? std::nullopt
                                : std::optional(gsLoop::Now() - confirmed);
}

gsTime gsTableSync::MaxAge() const
{
  return this->Duty.Settings.MaxTablesAge + HeartbeatInterval;
}

gsTableWatch* gsTableSync::WatchOf(std::string_view table)
{
  if (table == this->Adapter.Tables.Routes) {
    return this->Routes.get();
  }
  return table == this->Adapter.Tables.Upstreams ? this->Upstreams.get()
                                                 : nullptr;
}

gsTablePull& gsTableSync::PullOf(std::string_view table)
{
  return table == this->Adapter.Tables.Routes ? this->RoutesPull
                                              : this->UpstreamsPull;
}

gsTableSync::RepairState& gsTableSync::RepairStateOf(std::string_view table)
{
  return table == this->Adapter.Tables.Routes ? this->RoutesRepair
                                              : this->UpstreamsRepair;
}

void gsTableSync::ReceiveUpdates(std::string const& host,
                                 gradescale::Frame const& frame)
{
  bool sameHall =
    gsHallOf(this->Cluster->Members(), host) == this->Settings.Hall;
  gsTime now = gsLoop::Now();
  if (sameHall && frame.tables_age_ms() > 0) {
    gsApplyWatcherReport(this->Duty, host,
                         gsMilliseconds(frame.tables_age_ms()), false, now);
  } else if (sameHall && frame.heard_tables_age_ms() > 0) {
    gsApplyWatcherReport(this->Duty, host,
                         gsMilliseconds(frame.heard_tables_age_ms()), true,
                         now);
  }
  for (gradescale::TableNews const& update : frame.table_news()) {
    this->ApplyUpdate(host, update);
  }
}

void gsTableSync::ApplyUpdate(std::string const& host,
                              gradescale::TableNews const& wire)
{
  gsTableWatch* watch = this->WatchOf(wire.table());
  if (watch == nullptr) {
    return;
  }
  gsTablePull& pull = this->PullOf(wire.table());
  if (wire.busy()) {
    gsPullRecordBusy(pull, host, gsLoop::Now());
    return;
  }
  if (wire.too_large()) {
    this->QueryChanges(host, wire.table());
    return;
  }
  std::optional<gsTableUpdate> update =
    this->Exchange.Decode(wire, watch->LiveRows());
  if (!update) {
    gsLogLine("table_patch_unusable")
      .With("table", wire.table())
      .With("from", host)
      .With("version", wire.version())
      .With("own_version", watch->CompleteVersion());
    gsPullRecordUnusable(pull, host);
    this->QueryChanges(host, wire.table());
    return;
  }
  gsPullRecordUpdate(pull, host);
  gsTableUpdateResult::Action action = watch->ApplyUpdate(*update, host);
  if (action == gsTableUpdateResult::Action::QueryChanges) {
    this->QueryChanges(host, wire.table());
  } else if (action == gsTableUpdateResult::Action::Repair) {
    this->Repair(wire.table(), wire.version());
  }
}

void gsTableSync::AnswerQueries(std::string const& host,
                                gradescale::Frame const& frame)
{
  for (gradescale::TableQuery const& query : frame.table_queries()) {
    bool isRepair = query.differs_at() != 0;
    if (this->WatchOf(query.table()) == nullptr ||
        (isRepair && !this->CanAnswerRepairQuery(query))) {
      continue;
    }
    gsBulkRequest request;
    request.Receiver = host;
    request.Topic = query.table();
    request.AboveVersion = query.above_version();
    request.RepairVersion = query.differs_at();
    request.WholeValues = query.whole_values();
    this->Exchange.Answer(request, CommonRowFormat(frame));
  }
}

/**
 * Whether the query of a host whose replica diverges from that of another host
 * can be answered. Only a read of the platform after the divergence decides
 * which of them is right. Until there is one, the query is not answered and
 * the host repeats it.
 */
bool gsTableSync::CanAnswerRepairQuery(gradescale::TableQuery const& query)
{
  if (!this->IsWatching()) {
    return false;
  }
  std::uint64_t readVersion =
    this->WatchOf(query.table())
      ->SnapshotVersionSince(gsLoop::Now() - gsTableRepairInterval);
  if (readVersion < query.differs_at()) {
    this->RereadTable(query.table());
    return false;
  }
  return true;
}

/** The update that answers another host's query. */
std::optional<gsTableUpdate> gsTableSync::MakeAnswer(
  gsBulkRequest const& request)
{
  gsTableWatch const& watch = *this->WatchOf(request.Topic);
  if (!watch.IsInitialized()) {
    return std::nullopt;
  }
  if (request.RepairVersion == 0) {
    return watch.UpdateSince(request.AboveVersion);
  }
  std::uint64_t readVersion =
    watch.SnapshotVersionSince(gsLoop::Now() - gsTableRepairInterval);
  if (readVersion < request.RepairVersion) {
    return std::nullopt;
  }
  gsTableUpdate update = watch.UpdateSince(0);
  update.ReadVersion = readVersion;
  return update;
}

std::vector<std::string> gsTableSync::HallHosts() const
{
  return gsHallPeers(this->Cluster->Members(), gsLoop::Now());
}

/** The hosts that receive an update of a table unrequested: the hosts of this
 * hall and, if the update is small, the coordinators of all other halls, whose
 * own watch may be unresponsive. Those learn from heartbeats that they lack
 * larger updates, and query them. Hosts that have announced the last change
 * are left out. */
std::vector<std::string> gsTableSync::PushReceivers(
  std::string const& table, gsTableUpdate const& update)
{
  std::vector<std::string> hosts = this->HallHosts();
  if (update.Rows.size() <= MaxRowsToOtherHalls) {
    std::vector<std::string> others =
      gsOtherCoordinators(this->Cluster->Members(), gsLoop::Now());
    hosts.insert(hosts.end(), others.begin(), others.end());
  }
  gsTablePull const& pull = this->PullOf(table);
  std::uint64_t last = this->WatchOf(table)->LastChangeVersion();
  bool isNewChange =
    !update.IsSnapshot && last > update.BaseVersion && !gsHasLateRows(update);
  auto hasLast = [&](std::string const& host) {
    return isNewChange && gsPullVersionOf(pull, host) >= last;
  };
  hosts.erase(std::remove_if(hosts.begin(), hosts.end(), hasLast),
              hosts.end());
  return hosts;
}

/** Sends changes, or leaves that to Tick if less than MinPushInterval has
 * passed since the last update. */
void gsTableSync::PushOrDeferUpdate(gsTableWatch& watch, PushState& push)
{
  if (gsLoop::Now() - push.PushedAt >= MinPushInterval) {
    this->PushUpdate(watch, push);
  } else {
    push.IsPending = true;
  }
}

void gsTableSync::PushDeferredUpdates(gsTime now)
{
  if (this->RoutesPush.IsPending &&
      now - this->RoutesPush.PushedAt >= MinPushInterval) {
    this->PushUpdate(*this->Routes, this->RoutesPush);
  }
  if (this->UpstreamsPush.IsPending &&
      now - this->UpstreamsPush.PushedAt >= MinPushInterval) {
    this->PushUpdate(*this->Upstreams, this->UpstreamsPush);
  }
}

/** Records the newest row format that a host can parse, which each of its
 * frames contains. */
void gsTableSync::ReceiveRowFormat(std::string const& host,
                                   gradescale::Frame const& frame)
{
  PeerState& peer = this->Peers[host];
  peer.RowFormat = CommonRowFormat(frame);
  bool readsOlderFormat = peer.RowFormat < gsNewestRowFormat;
  if (std::exchange(peer.ReadsOlderFormat, readsOlderFormat) !=
      readsOlderFormat) {
    gsLogLine("peer_reads_rows")
      .With("peer", host)
      .With("form", frame.reads_row_form())
      .With("own_form", static_cast<std::uint32_t>(gsNewestRowFormat));
  }
}

/** Sends the changes since the last update, if this host watches. */
void gsTableSync::PushUpdate(gsTableWatch& watch, PushState& push)
{
  gsTableUpdate update = watch.TakeUpdateSince(push.Version);
  push.Version = watch.CompleteVersion();
  push.IsPending = false;
  if (!this->IsWatching() || update.Rows.empty()) {
    return;
  }
  push.PushedAt = gsLoop::Now();
  std::vector<std::string> receivers = this->PushReceivers(push.Table, update);
  this->LogPush(push, update, receivers.size());
  gsTablePull const& pull = this->PullOf(push.Table);
  for (std::string const& host : receivers) {
    this->Exchange.Push(
      { host, this->Peers[host].RowFormat, gsPullVersionOf(pull, host) },
      push.Table, update);
  }
}

void gsTableSync::LogPush(PushState const& push, gsTableUpdate const& update,
                          std::size_t hosts) const
{
  std::uint64_t bytes = 0;
  for (gsTableRow const& row : update.Rows) {
    bytes += row.Key.size() + row.Value.size();
  }
  gsLogLine("table_pushed")
    .With("table", push.Table)
    .With("version", push.Version)
    .With("rows", std::uint64_t(update.Rows.size()))
    .With("row_bytes", bytes)
    .With("hosts", std::uint64_t(hosts))
    .With("watch", gsWatchStateName(this->Duty.State));
}

void gsTableSync::FillHeader(gradescale::Frame& frame) const
{
  frame.set_reads_row_form(static_cast<std::uint32_t>(gsNewestRowFormat));
  frame.set_tables_age_ms(this->TablesAge());
  frame.set_heard_tables_age_ms(this->ForwardedTablesAge());
  gsFillTableDigests(frame, this->Routes->Digest(), this->Upstreams->Digest());
}

/** Time since both tables were last confirmed by this host's own watch, as
 * sent in frames; zero if this host does not watch, or if another watcher's
 * report is more recent. */
std::uint32_t gsTableSync::TablesAge() const
{
  gsTime answered = this->LastAnswerAt();
  if (this->Duty.State == gsWatchState::Covered || answered.count() == 0 ||
      answered < gsWatchedTablesCurrentAt(this->Duty)) {
    return 0;
  }
  return FrameAge(answered);
}

/** Time since both tables were last confirmed by another watcher of the hall,
 * as sent in frames; zero if there is no report of one. */
std::uint32_t gsTableSync::ForwardedTablesAge() const
{
  gsTime watched = gsWatchedTablesCurrentAt(this->Duty);
  return watched.count() == 0 ? 0 : FrameAge(watched);
}

/** Starts or stops watching the platform, and sends the hall heartbeats while
 * watching. */
void gsTableSync::UpdateWatchState(gsTime now)
{
  gsWatchState before = this->Duty.State;
  std::size_t size = gsHallSize(this->Cluster->Members(), now);
  gsWatchState state = gsUpdateWatchState(
    this->Duty, gsHallWatchOrder(this->Cluster->Members(), now), size, now);
  if (state != before) {
    gsLogLine("watch_duty")
      .With("state", gsWatchStateName(state))
      .With("before", gsWatchStateName(before))
      .With("hall_hosts", std::uint64_t(size));
  }
  for (gsTableWatch* watch : { this->Routes.get(), this->Upstreams.get() }) {
    if (state != before && state == gsWatchState::Covered) {
      watch->Pause();
    } else if (state != gsWatchState::Covered) {
      watch->Resume(gsTablesCurrentAt(this->Duty));
    }
  }
  if (state != gsWatchState::Covered &&
      now - this->LastHeartbeatAt >= HeartbeatInterval) {
    this->LastHeartbeatAt = now;
    for (std::string const& host : this->HallHosts()) {
      this->Cluster->ToHost(host); // The header alone carries the state.
    }
  }
}

void gsTableSync::ReceiveVersions(std::string const& host,
                                  gradescale::Frame const& frame)
{
  std::optional<gsTablesHeader> header = gsParseTableDigests(frame);
  if (!header) {
    return;
  }
  if (header->DigestFields == gsDigestFields::Malformed) {
    ++this->MalformedHeaders;
    return;
  }
  this->Routes->RaiseLastChange(header->Routes.Version);
  this->Upstreams->RaiseLastChange(header->Upstreams.Version);
  gsTime now = gsLoop::Now();
  std::uint64_t routesVersion = this->Routes->CompleteVersion();
  std::uint64_t upstreamsVersion = this->Upstreams->CompleteVersion();
  gsPullRecordVersion(this->RoutesPull, host, header->Routes.Version,
                      routesVersion, now);
  gsPullRecordVersion(this->UpstreamsPull, host, header->Upstreams.Version,
                      upstreamsVersion, now);
  this->CompareDigests(host, *header, this->Peers[host]);
  bool isBehind = header->Routes.Version > routesVersion ||
                  header->Upstreams.Version > upstreamsVersion;
  bool sameHall =
    gsHallOf(this->Cluster->Members(), host) == this->Settings.Hall;
  // What a host has from another one may be older than that one's tables.
  bool watches = frame.tables_age_ms() > 0;
  if (!isBehind && sameHall && watches) {
    this->ConfirmedByPeerAt = now;
    this->PeerCurrentAt = std::max(
      this->PeerCurrentAt, now - gsMilliseconds(frame.tables_age_ms()));
  }
}

/** Compares the digests of another host with this host's. A host of an older
 * release sends none, and its replicas are assumed to be equal. */
void gsTableSync::CompareDigests(std::string const& host,
                                 gsTablesHeader const& header, PeerState& peer)
{
  if (header.DigestFields == gsDigestFields::Present) {
    gsTime now = gsLoop::Now();
    gsCompareTableDigests(this->RoutesRepair.DivergenceCheck, host,
                          header.Routes, this->Routes->Digest(), now);
    gsCompareTableDigests(this->UpstreamsRepair.DivergenceCheck, host,
                          header.Upstreams, this->Upstreams->Digest(), now);
  } else if (!peer.LacksDigests) {
    peer.LacksDigests = true;
    gsLogLine("table_counts_missing").With("from", host);
  }
}

/** Repairs a replica that has diverged from another host's for the
 * confirmation delay. */
void gsTableSync::RepairIfDivergent(std::string const& table, gsTime now)
{
  gsTableDigest own = this->WatchOf(table)->Digest();
  std::optional<gsTableDivergence> divergence =
    gsTakeDueDivergence(this->RepairStateOf(table).DivergenceCheck, own, now);
  if (!divergence) {
    return;
  }
  ++this->DivergencesFound;
  gsLogLine("table_differs", gsLogLevel::Warn)
    .With("table", table)
    .With("peer", divergence->Host)
    .With("version", own.Version)
    .With("rows", own.RowsPlusOne - 1)
    .With("peer_rows", divergence->RemoteDigest.RowsPlusOne - 1)
    .With("watches", this->IsWatching());
  this->Repair(table, own.Version);
}

/** Repairs a replica from a read of the platform, made by this host if it
 * watches, or else by a watching host of the hall. */
void gsTableSync::Repair(std::string const& table, std::uint64_t version)
{
  if (this->IsWatching()) {
    this->RereadTable(table);
  } else {
    this->QueryWatcher(table, version);
  }
}

void gsTableSync::RereadTable(std::string const& table)
{
  gsTime now = gsLoop::Now();
  RepairState& repair = this->RepairStateOf(table);
  bool isTooEarly = repair.LastReadAt.count() != 0 &&
                    now - repair.LastReadAt < gsTableRepairInterval;
  if (!isTooEarly) {
    repair.LastReadAt = now;
    this->WatchOf(table)->Refresh("differs");
  }
}

/** Queries all rows from a watching host of the hall. */
void gsTableSync::QueryWatcher(std::string const& table, std::uint64_t version)
{
  gsTime now = gsLoop::Now();
  RepairState& repair = this->RepairStateOf(table);
  if (now - repair.LastQueryAt <
      repair.DivergenceCheck.Settings.MinRepairInterval) {
    return;
  }
  for (auto const& [host, report] : this->Duty.Reports) {
    bool watches = !report.IsForwarded && now - report.ReceivedAt <=
                                            this->Duty.Settings.WatcherTimeout;
    gradescale::Frame* frame = watches ? this->Cluster->ToHost(host) : nullptr;
    if (frame != nullptr) {
      repair.LastQueryAt = now;
      gradescale::TableQuery* query = frame->add_table_queries();
      query->set_table(table);
      query->set_differs_at(version);
      return;
    }
  }
}

/**
 * Queries the changes that a replica lacks, unless an answer is expected. A
 * host of an earlier release answers with all rows in one frame, which takes
 * long to arrive and shows no progress.
 */
void gsTableSync::QueryChanges(std::string const& host,
                               std::string const& table)
{
  gsTime now = gsLoop::Now();
  gsTablePull& pull = this->PullOf(table);
  if (gsPullIsExpecting(pull, this->Exchange.ProgressAt(pull.Queried), now)) {
    return;
  }
  gsTableWatch const& watch = *this->WatchOf(table);
  bool isOlderRelease = this->Peers[host].RowFormat < gsRowFormat::Patched;
  if (isOlderRelease &&
      !gsAllowTableQuery(this->RepairStateOf(table).QueryLimiter,
                         watch.IsInitialized(), now)) {
    return;
  }
  if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
    gradescale::TableQuery* query = frame->add_table_queries();
    query->set_table(table);
    query->set_above_version(watch.CompleteVersion());
    query->set_whole_values(pull.WholeValues);
    gsPullRecordQuery(pull, host, now);
  }
}

/** Queries missing changes from a host that has had them for a while. */
void gsTableSync::QueryNewerPeer(std::string const& table, gsTime now)
{
  gsTablePull const& pull = this->PullOf(table);
  std::optional<std::string> host =
    gsPullNextHost(pull, this->WatchOf(table)->CompleteVersion(),
                   this->Exchange.ProgressAt(pull.Queried), now);
  if (host) {
    this->QueryChanges(*host, table);
  }
}
