/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTableSync.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "gsLog.h"

namespace {

/** A watch usually brings by itself what another host has; wait that long. */
constexpr gsTime BehindPatience = gsMilliseconds(300);
/** A watcher's sign of life to its hall. */
constexpr gsTime BeatPeriod = gsMilliseconds(400);
/** A watch's answer may be later than its wait by as much. */
constexpr gsTime AgeMargin = gsMilliseconds(900);
/** At a first start of all, hosts know their coordinators after 0.7 s
 * (measured with 295 hosts of a tenth of a core); those that watch read then,
 */
constexpr gsTime FirstStartPatience = gsMilliseconds(1200);
/** and the others by themselves if nobody has told them until then. */
constexpr gsTime ToldPatience = gsMilliseconds(3000);
/** Changes are gathered for this part of the time in which a leaving upstream
 * has to be known; each time is a call to the platform by each watcher. */
constexpr int GatherShare = 12;
/** News are told no more often than this: when 170 upstreams come one after
 * the other, each host of a hall would else take in 80 changes of its whole
 * list in 4 s from each watcher (measured). */
constexpr gsTime PushGap = gsMilliseconds(200);
/** Larger changes are not sent to all hosts of a hall; bytes. */
constexpr std::size_t PushLimit = 16384;

bool IsLarge(gsTableNews const& news)
{
  std::size_t bytes = 0;
  for (gsTableRow const& row : news.Rows) {
    bytes += row.Key.size() + row.Value.size();
  }
  return bytes > PushLimit;
}

/** An age of zero would mean none. */
std::uint32_t AgeForFrames(gsTime since)
{
  auto age = std::chrono::duration_cast<gsMilliseconds>(gsLoop::Now() - since);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0)) +
         1;
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

} // namespace

gsTableSync::gsTableSync(gsLoop& loop, gsHttpClient& client,
                         gsAdapter const& adapter, gsSettings const& settings,
                         gsTableSyncEvents events)
  : Adapter(adapter)
  , Settings(settings)
  , Events(std::move(events))
{
  this->RoutesPushed.Table = adapter.Tables.Routes;
  this->UpstreamsPushed.Table = adapter.Tables.Upstreams;
  this->Duty.Self = settings.Host;
  this->Duty.Settings.MostAge = settings.Routing.WatchWait + AgeMargin;
  gsTableWatchSettings watch;
  watch.Platform = settings.Platform.Address;
  watch.Wait = settings.Routing.WatchWait;
  watch.Gather = settings.Routing.Leaving / GatherShare;
  watch.Table = adapter.Tables.Routes;
  this->Routes =
    std::make_unique<gsTableWatch>(loop, client, adapter, watch, [this] {
      this->OfferNews(*this->Routes, this->RoutesPushed);
      this->Events.OnRoutes();
    });
  watch.Table = adapter.Tables.Upstreams;
  this->Upstreams =
    std::make_unique<gsTableWatch>(loop, client, adapter, watch, [this] {
      this->OfferNews(*this->Upstreams, this->UpstreamsPushed);
      this->Events.OnUpstreams();
    });
}

void gsTableSync::Start(gsHallCluster& cluster)
{
  this->Cluster = &cluster;
  this->Duty.Started = gsLoop::Now();
  if (this->Settings.Routing.FirstStart) {
    // 295 hosts that each read two tables make as many calls to the platform
    // as their watchers in the 50 s after it.
    this->Duty.Settings.StartPatience = FirstStartPatience;
    this->Routes->Pause();
    this->Upstreams->Pause();
    return;
  }
  this->Started = true;
  this->Routes->Start();
  this->Upstreams->Start();
}

/** Ends the wait of a first start. */
void gsTableSync::ReadIfNotTold(gsTime now)
{
  if (this->Started) {
    return;
  }
  bool told = this->Routes->Known() && this->Upstreams->Known();
  bool watches = this->Duty.State != gsWatchState::Covered;
  this->Started = told || watches || now - this->Duty.Started >= ToldPatience;
  if (this->Started && !told && !watches) {
    this->Routes->ReadOnce();
    this->Upstreams->ReadOnce();
  }
}

std::uint64_t gsTableSync::Version() const
{
  return std::max(this->Routes->Version(), this->Upstreams->Version());
}

std::uint64_t gsTableSync::Calls() const
{
  return this->Routes->Calls() + this->Upstreams->Calls();
}

void gsTableSync::Hear(std::string const& host, std::uint64_t link,
                       gradescale::Frame const& frame)
{
  this->HearVersions(host, frame);
  this->HearNews(host, frame);
  this->AnswerQueries(link, frame);
}

void gsTableSync::Tick(gsTime now)
{
  this->DecideDuty(now);
  this->ReadIfNotTold(now);
  this->PushPending(now);
  this->AskBehind(now);
}

void gsTableSync::OnStalled()
{
  for (gsTableWatch* watch : { this->Routes.get(), this->Upstreams.get() }) {
    watch->Resume({});
    watch->Refresh("stalled");
  }
  this->Duty.State = gsWatchState::Uncovered;
  this->Duty.Heard.clear();
}

gsTableWatch* gsTableSync::WatchOf(std::string_view table)
{
  if (table == this->Adapter.Tables.Routes) {
    return this->Routes.get();
  }
  return table == this->Adapter.Tables.Upstreams ? this->Upstreams.get()
                                                 : nullptr;
}

void gsTableSync::HearNews(std::string const& host,
                           gradescale::Frame const& frame)
{
  bool sameHall =
    gsHallOf(this->Cluster->Members(), host) == this->Settings.Hall;
  gsTime now = gsLoop::Now();
  if (sameHall && frame.tables_age_ms() > 0) {
    gsDutyHear(this->Duty, host, gsMilliseconds(frame.tables_age_ms()), false,
               now);
  } else if (sameHall && frame.heard_tables_age_ms() > 0) {
    gsDutyHear(this->Duty, host, gsMilliseconds(frame.heard_tables_age_ms()),
               true, now);
  }
  for (gradescale::TableNews const& news : frame.table_news()) {
    this->LearnNews(host, news);
  }
}

void gsTableSync::LearnNews(std::string const& host,
                            gradescale::TableNews const& wire)
{
  gsTableWatch* watch = this->WatchOf(wire.table());
  if (watch == nullptr) {
    return;
  }
  if (wire.too_large() && !this->Started) {
    this->AskFor(host, wire.table());
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

void gsTableSync::AnswerQueries(std::uint64_t link,
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

std::vector<std::string> gsTableSync::HallHosts() const
{
  return gsHallPeers(this->Cluster->Members(), gsLoop::Now());
}

/** Those who are told of news at once: the hosts of the hall, and the
 * coordinators of all others, whose own watch may be silent. */
std::vector<std::string> gsTableSync::ToTell() const
{
  gsTime now = gsLoop::Now();
  std::vector<std::string> hosts = this->HallHosts();
  std::vector<std::string> others =
    gsOtherCoordinators(this->Cluster->Members(), now);
  hosts.insert(hosts.end(), others.begin(), others.end());
  return hosts;
}

/** Tells what has changed, or lets Tick do so when others were told a short
 * while ago. */
void gsTableSync::OfferNews(gsTableWatch const& watch, Pushed& pushed)
{
  if (gsLoop::Now() - pushed.At >= PushGap) {
    this->PushNews(watch, pushed);
  } else {
    pushed.Pending = true;
  }
}

void gsTableSync::PushPending(gsTime now)
{
  if (this->RoutesPushed.Pending && now - this->RoutesPushed.At >= PushGap) {
    this->PushNews(*this->Routes, this->RoutesPushed);
  }
  if (this->UpstreamsPushed.Pending &&
      now - this->UpstreamsPushed.At >= PushGap) {
    this->PushNews(*this->Upstreams, this->UpstreamsPushed);
  }
}

/** Tells what has changed since it was last told. */
void gsTableSync::PushNews(gsTableWatch const& watch, Pushed& pushed)
{
  gsTableNews news = watch.NewsAbove(pushed.Version);
  pushed.Version = watch.CompleteTo();
  pushed.Pending = false;
  if (this->Duty.State == gsWatchState::Covered || news.Rows.empty()) {
    return;
  }
  pushed.At = gsLoop::Now();
  for (std::string const& host : this->ToTell()) {
    gradescale::Frame* frame = this->Cluster->ToHost(host);
    if (frame != nullptr && IsLarge(news)) {
      gradescale::TableNews* notice = frame->add_table_news();
      notice->set_table(pushed.Table);
      notice->set_too_large(true);
    } else if (frame != nullptr) {
      AddNews(*frame, pushed.Table, news);
    }
  }
}

void gsTableSync::FillHeader(gradescale::Frame& frame) const
{
  frame.set_tables_age_ms(this->TablesAge());
  frame.set_heard_tables_age_ms(this->HeardTablesAge());
  if (frame.table_versions().empty()) {
    frame.add_table_versions(0);
    frame.add_table_versions(0);
  }
  frame.set_table_versions(0, this->Routes->Version());
  frame.set_table_versions(1, this->Upstreams->Version());
}

/** Time since both tables were last known to be up to date, for frames; zero
 * if this host does not watch, or knows no better than by another's news. */
std::uint32_t gsTableSync::TablesAge() const
{
  gsTime answered =
    std::min(this->Routes->LastAnswer(), this->Upstreams->LastAnswer());
  if (this->Duty.State == gsWatchState::Covered || answered.count() == 0 ||
      answered < gsDutyWatchedAt(this->Duty)) {
    return 0;
  }
  return AgeForFrames(answered);
}

/** The same by the news of another host of the hall that watches. */
std::uint32_t gsTableSync::HeardTablesAge() const
{
  gsTime watched = gsDutyWatchedAt(this->Duty);
  return watched.count() == 0 ? 0 : AgeForFrames(watched);
}

/** The order in which hosts of the hall watch: the relay of load reports has
 * work enough, and comes behind the other coordinators. */
std::vector<std::string> gsTableSync::WatchOrder(gsTime now) const
{
  std::vector<std::string> order = gsHallOrder(this->Cluster->Members(), now);
  std::size_t coordinators =
    std::min(order.size(), this->Cluster->Members().Settings.Coordinators);
  auto begin = order.begin();
  if (coordinators > 1) {
    std::rotate(begin, begin + 1,
                begin + static_cast<std::ptrdiff_t>(coordinators));
  }
  return order;
}

/** Begins or ends watching the platform, and tells the hall of it. */
void gsTableSync::DecideDuty(gsTime now)
{
  gsWatchState before = this->Duty.State;
  std::size_t size = gsHallSize(this->Cluster->Members(), now);
  gsWatchState state =
    gsDutyDecide(this->Duty, this->WatchOrder(now), size, now);
  if (state != before) {
    gsLogLine("watch_duty")
      .With("state", gsWatchStateWord(state))
      .With("before", gsWatchStateWord(before))
      .With("hall_hosts", std::uint64_t(size));
  }
  for (gsTableWatch* watch : { this->Routes.get(), this->Upstreams.get() }) {
    if (state != before && state == gsWatchState::Covered) {
      watch->Pause();
    } else if (state != gsWatchState::Covered) {
      watch->Resume(gsDutyFreshAt(this->Duty));
    }
  }
  if (state != gsWatchState::Covered && now - this->LastBeat >= BeatPeriod) {
    this->LastBeat = now;
    for (std::string const& host : this->HallHosts()) {
      this->Cluster->ToHost(host); // The header alone says what is needed.
    }
  }
}

bool gsTableSync::IsBehind(Shown const& shown) const
{
  return shown.Routes > this->Routes->CompleteTo() ||
         shown.Upstreams > this->Upstreams->CompleteTo();
}

void gsTableSync::HearVersions(std::string const& host,
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

void gsTableSync::AskFor(std::string const& host, std::string const& table)
{
  if (gradescale::Frame* frame = this->Cluster->ToHost(host)) {
    gradescale::TableQuery* query = frame->add_table_queries();
    query->set_table(table);
    query->set_above_version(this->WatchOf(table)->CompleteTo());
  }
}

/**
 * Asks hosts that have had newer rows for a while; one for each table, since
 * several would send the same.
 */
void gsTableSync::AskBehind(gsTime now)
{
  bool askedRoutes = false;
  bool askedUpstreams = false;
  for (auto& [host, shown] : this->Peers) {
    bool due = shown.BehindSince.count() != 0 &&
               now - shown.BehindSince >= BehindPatience;
    if (!due) {
      continue;
    }
    shown.BehindSince = this->IsBehind(shown) ? now : gsTime{};
    if (!askedRoutes && shown.Routes > this->Routes->CompleteTo()) {
      askedRoutes = true;
      this->AskFor(host, this->Adapter.Tables.Routes);
    }
    if (!askedUpstreams && shown.Upstreams > this->Upstreams->CompleteTo()) {
      askedUpstreams = true;
      this->AskFor(host, this->Adapter.Tables.Upstreams);
    }
  }
}
