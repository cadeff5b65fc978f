/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsDispatcher.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "gsAdmit.h"
#include "gsDispatch.h"
#include "gsHealth.h"
#include "gsLimit.h"
#include "gsLog.h"

namespace {

constexpr gsTime TickPeriod = gsMilliseconds(20);
/** Requests of a broken link keep their slots so long, to be taken over. */
constexpr gsTime OrphanTime = gsSeconds(3);
constexpr gsTime LoadTimeout = gsMilliseconds(1000);

std::size_t CountUpstreams(gsDocument const& document,
                           std::string_view service, std::string_view hall)
{
  return static_cast<std::size_t>(
    std::count_if(document.Upstreams.begin(), document.Upstreams.end(),
                  [&](gsUpstream const& row) {
                    return row.Service == service && row.Hall == hall;
                  }));
}

std::size_t PartsFor(std::size_t upstreams)
{
  return (upstreams + gsMaxPoolUpstreams - 1) / gsMaxPoolUpstreams;
}

void LogGrant(gsGrant const& grant)
{
  gsLogLine("grant")
    .With("request", gsFormatId(grant.Id))
    .With("pool", grant.Pool)
    .With("organisation", grant.Organisation)
    .With("tier", grant.Tier)
    .With("upstream", grant.Upstream)
    .With("cause", grant.Cause)
    .With("waited_ms", grant.Waited)
    .With("candidates", grant.Candidates);
}

void LogRefusal(gsRefusal const& refusal)
{
  gsLogLine("refuse")
    .With("request", gsFormatId(refusal.Id))
    .With("pool", refusal.Pool)
    .With("organisation", refusal.Organisation)
    .With("template", refusal.Template)
    .With("tier", refusal.Tier)
    .With("cause", gsCauseWord(refusal.Cause))
    .With("waited_ms", refusal.Waited)
    .With("retry_after_ms", refusal.RetryAfter)
    .With("lower_waiting", refusal.LowerWaiting)
    .With("lower_granted", refusal.LowerGranted);
}

} // namespace

std::string gsPoolName(std::string_view service, std::string_view hall,
                       std::size_t part)
{
  std::string name(service);
  name += '@';
  name += hall;
  if (part > 0) {
    name += '#' + std::to_string(part);
  }
  return name;
}

std::size_t gsPoolParts(gsDocument const& document, std::string_view service,
                        std::string_view hall)
{
  return PartsFor(CountUpstreams(document, service, hall));
}

gsDispatcher::gsDispatcher(gsLoop& loop, gsHttpClient& client,
                           gsSettings const& settings, gsMetrics& metrics,
                           Hooks hooks)
  : Loop(loop)
  , Client(client)
  , Settings(settings)
  , Metrics(metrics)
  , Call(std::move(hooks))
  , Timer(loop, [this] { this->Tick(); })
  , LoadTimer(loop, [this] { this->PollLoads(); })
{
  this->LoadTimer.Every(settings.Upstreams.LoadPeriod);
}

gsPool& gsDispatcher::PoolOf(std::string const& name)
{
  auto found = this->Table.find(name);
  if (found == this->Table.end()) {
    found = this->Table.emplace(name, gsPool{}).first;
    found->second.Name = name;
    found->second.Settings = this->Settings.Pool;
  }
  return found->second;
}

void gsDispatcher::Touch(std::string const& pool)
{
  this->Dirty.insert(pool);
  if (!this->Ticking) {
    this->Ticking = true;
    this->Timer.Every(TickPeriod);
  }
}

void gsDispatcher::TakeDocument(gsDocument const& document)
{
  this->Document = &document;
  std::map<std::string, std::size_t> seen;
  for (gsUpstream const& entry : document.Upstreams) {
    if (entry.Hall != this->Settings.Hall) {
      continue;
    }
    std::size_t part = seen[entry.Service]++ / gsMaxPoolUpstreams;
    gsPool& pool = this->PoolOf(gsPoolName(entry.Service, entry.Hall, part));
    gsUpstreamRow* row = gsFindUpstream(pool, entry.Name);
    if (row == nullptr) {
      pool.Upstreams.emplace_back();
      row = &pool.Upstreams.back();
      row->Name = entry.Name;
      row->Limit = entry.Slots;
    }
    row->Address = entry.Address;
    row->Adaptive = entry.Kind == gsUpstreamKind::Engine;
    row->MaxLimit = entry.MaxSlots;
    row->Limit = std::min(row->Limit, row->MaxLimit);
    this->Touch(pool.Name);
  }
  for (auto& [name, pool] : this->Table) {
    for (std::size_t rank = 0; rank < document.Tiers.size(); ++rank) {
      gsTierOf(pool, static_cast<std::uint32_t>(rank)).AgeLimit =
        document.Tiers[rank].AgeLimit;
    }
  }
  this->RefreshLeaving();
}

void gsDispatcher::RefreshLeaving()
{
  if (this->Document == nullptr) {
    return;
  }
  for (auto& [name, pool] : this->Table) {
    for (gsUpstreamRow& row : pool.Upstreams) {
      gsUpstream const* entry =
        gsFindByName(this->Document->Upstreams, row.Name);
      bool listed =
        entry != nullptr && entry->State == gsUpstreamState::Active;
      row.Leaving = !listed || this->Call.IsLeaving(row.Name, row.Incarnation);
    }
    this->Touch(name);
  }
}

void gsDispatcher::Ask(gsAsk ask, std::uint64_t link)
{
  gsPool& pool = this->PoolOf(ask.Pool);
  bool any =
    std::any_of(pool.Upstreams.begin(), pool.Upstreams.end(),
                [](gsUpstreamRow const& row) { return !row.Leaving; });
  bool usable =
    std::any_of(pool.Upstreams.begin(), pool.Upstreams.end(), &gsUsable);
  if (!any || (!usable && !ask.Patient)) {
    this->RefuseUnqueued(ask, link,
                         any ? gsRefusalCause::AllEjected
                             : gsRefusalCause::NoUpstream);
    return;
  }
  std::string name = ask.Pool;
  gsAdmit(pool, std::move(ask), link, gsLoop::Now());
  this->Touch(name);
}

/** Refuses a request that no upstream of the pool could take now. */
void gsDispatcher::RefuseUnqueued(gsAsk const& ask, std::uint64_t link,
                                  gsRefusalCause cause)
{
  gsRefusal refusal;
  refusal.Id = ask.Id;
  refusal.Link = link;
  refusal.Pool = ask.Pool;
  refusal.Cause = cause;
  refusal.RetryAfter = this->Settings.Pool.EjectBase;
  refusal.Tier = ask.Tier;
  refusal.Organisation = ask.Organisation;
  refusal.Template = ask.Template;
  LogRefusal(refusal);
  this->Loop.Defer([this, refusal] { this->Call.OnRefusal(refusal); });
}

void gsDispatcher::Withdraw(std::string const& pool, gsRequestId const& id)
{
  gsWithdraw(this->PoolOf(pool), id);
}

void gsDispatcher::Progress(std::string const& pool, gsRequestId const& id,
                            gsTime firstToken, gsTime gap)
{
  // Limits move with the next tick; a tick for each report would cost more.
  gsObserve(this->PoolOf(pool), id, firstToken, gap);
}

void gsDispatcher::Release(std::string const& pool, gsRequestId const& id,
                           gsOutcome outcome, gsMeasured const& measured)
{
  gsPoolOutput out;
  gsRelease(this->PoolOf(pool), id, outcome, measured, gsLoop::Now(), out);
  this->LogEvents(pool, out);
  this->Touch(pool);
}

void gsDispatcher::Adopt(gsAsk const& ask, std::string_view upstream,
                         std::uint64_t link)
{
  gsAdopt(this->PoolOf(ask.Pool), ask, upstream, link, gsLoop::Now());
}

void gsDispatcher::LinkDown(std::uint64_t link)
{
  for (auto& [name, pool] : this->Table) {
    gsWithdrawLink(pool, link);
  }
  this->Orphaned[link] = gsLoop::Now();
  for (auto const& [name, pool] : this->Table) {
    this->Touch(name);
  }
}

void gsDispatcher::Pause(bool paused)
{
  this->Paused = paused;
  if (!paused) {
    for (auto const& [name, pool] : this->Table) {
      this->Touch(name);
    }
  }
}

void gsDispatcher::Tick()
{
  gsTime now = gsLoop::Now();
  for (auto link = this->Orphaned.begin(); link != this->Orphaned.end();) {
    if (now - link->second < OrphanTime) {
      ++link;
      continue;
    }
    for (auto& [name, pool] : this->Table) {
      gsForgetLink(pool, link->first);
    }
    link = this->Orphaned.erase(link);
  }
  bool busy = !this->Orphaned.empty();
  for (auto const& [name, pool] : this->Table) {
    if (!pool.Waiting.empty() || !pool.Running.empty()) {
      busy = true;
      this->Touch(name);
    }
  }
  if (!busy) {
    // An idle host does not wake for it; the next news starts it again.
    this->Ticking = false;
    this->Timer.Stop();
  }
}

void gsDispatcher::RunDirty()
{
  if (this->Paused) {
    return;
  }
  // Carrying decisions out may give a pool news again.
  constexpr int maxRounds = 8;
  for (int round = 0; round < maxRounds && !this->Dirty.empty(); ++round) {
    std::set<std::string> dirty;
    dirty.swap(this->Dirty);
    for (std::string const& name : dirty) {
      this->Run(this->PoolOf(name));
    }
  }
}

void gsDispatcher::Run(gsPool& pool)
{
  gsPoolOutput out;
  gsPoolTick(pool, gsLoop::Now(), out);
  this->LogEvents(pool.Name, out);
  for (gsGrant const& grant : out.Grants) {
    LogGrant(grant);
    this->Call.OnGrant(grant);
  }
  for (gsRefusal const& refusal : out.Refusals) {
    LogRefusal(refusal);
    this->Metrics.Count("gradescale_refusals_total",
                        gsLabels({ { "tier", std::to_string(refusal.Tier) },
                                   { "cause", gsCauseWord(refusal.Cause) } }));
    this->Call.OnRefusal(refusal);
  }
}

void gsDispatcher::LogEvents(std::string const& pool, gsPoolOutput const& out)
{
  for (gsUpstreamEvent const& event : out.Events) {
    gsLogLine(event.Event)
      .With("pool", pool)
      .With("upstream", event.Upstream)
      .With("cause", event.Detail);
  }
}

void gsDispatcher::PollLoads()
{
  if (this->Document == nullptr) {
    return;
  }
  for (auto& [name, pool] : this->Table) {
    if (!this->Call.IsOurs(name) && pool.Running.empty()) {
      continue;
    }
    for (gsUpstreamRow& row : pool.Upstreams) {
      gsUpstream const* entry =
        gsFindByName(this->Document->Upstreams, row.Name);
      bool polled = entry != nullptr && row.Adaptive &&
                    entry->State != gsUpstreamState::Stopped &&
                    this->LoadAsked.insert(row.Name).second;
      if (!polled) {
        continue;
      }
      gsCall call;
      call.Url = "http://" + row.Address + this->Settings.Upstreams.LoadPath;
      call.ConnectTimeout = LoadTimeout;
      call.TotalTimeout = LoadTimeout;
      gsFetch(
        this->Client, std::move(call),
        [this, poolName = name, upstream = row.Name](gsAnswer const& answer) {
          this->OnLoad(poolName, upstream, answer);
        });
    }
  }
}

void gsDispatcher::OnLoad(std::string const& pool, std::string const& upstream,
                          gsAnswer const& answer)
{
  this->LoadAsked.erase(upstream);
  constexpr unsigned statusOk = 200;
  bool answered = answer.End.Whole && answer.End.Status == statusOk;
  gsPoolOutput out;
  gsNotePoll(this->PoolOf(pool), upstream, answered, gsLoop::Now(), out);
  this->LogEvents(pool, out);
  this->Touch(pool);
  if (!answered) {
    return;
  }
  nlohmann::json body = nlohmann::json::parse(answer.Body, nullptr, false);
  if (!body.is_object()) {
    return;
  }
  auto waiting = body.find("waiting");
  if (waiting != body.end() && waiting->is_number_unsigned()) {
    gsReportLoad(this->PoolOf(pool), upstream, waiting->get<std::uint32_t>());
  }
  auto incarnation = body.find("incarnation");
  gsUpstreamRow* row = gsFindUpstream(this->PoolOf(pool), upstream);
  if (incarnation == body.end() || !incarnation->is_string() ||
      row == nullptr) {
    return;
  }
  bool changed = row->Incarnation != incarnation->get<std::string>();
  row->Incarnation = incarnation->get<std::string>();
  auto leaving = body.find("leaving");
  if (leaving != body.end() && leaving->is_boolean() && leaving->get<bool>()) {
    this->Call.OnLeaving(upstream, row->Incarnation);
  }
  if (changed) {
    this->RefreshLeaving();
  }
}

void gsDispatcher::WriteGauges()
{
  this->Metrics.Clear("gradescale_queue");
  this->Metrics.Clear("gradescale_upstream_running");
  this->Metrics.Clear("gradescale_upstream_limit");
  this->Metrics.Clear("gradescale_upstream_healthy");
  for (auto const& [name, pool] : this->Table) {
    for (std::size_t rank = 0; rank < pool.Tiers.size(); ++rank) {
      this->Metrics.Set(
        "gradescale_queue",
        gsLabels({ { "pool", name }, { "tier", std::to_string(rank) } }),
        pool.Tiers[rank].Waiting);
    }
    for (gsUpstreamRow const& row : pool.Upstreams) {
      std::string labels = gsLabels({ { "upstream", row.Name } });
      this->Metrics.Set("gradescale_upstream_running", labels,
                        row.Running + row.Reserved);
      this->Metrics.Set("gradescale_upstream_limit", labels, row.Limit);
      this->Metrics.Set("gradescale_upstream_healthy", labels,
                        gsUsable(row) ? 1 : 0);
    }
  }
}
