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
/** Time for which requests of a broken link keep their slots, so that another
 * link can adopt them. */
constexpr gsTime BrokenLinkTimeout = gsSeconds(3);
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

std::size_t PartCount(std::size_t upstreams)
{
  return (upstreams + gsMaxUpstreamsPerPool - 1) / gsMaxUpstreamsPerPool;
}

void LogGrant(gsGrant const& grant)
{
  gsLogLine("grant")
    .With("request", gsFormatRequestId(grant.Id))
    .With("pool", grant.Pool)
    .With("organisation", grant.Organisation)
    .With("tier", grant.Tier)
    .With("upstream", grant.Upstream)
    .With("cause", grant.Cause)
    .With("waited_ms", grant.WaitTime)
    .With("candidates", grant.Candidates);
}

void LogRefusal(gsRefusal const& refusal)
{
  gsLogLine("refuse")
    .With("request", gsFormatRequestId(refusal.Id))
    .With("pool", refusal.Pool)
    .With("organisation", refusal.Organisation)
    .With("template", refusal.Template)
    .With("tier", refusal.Tier)
    .With("cause", gsRefusalCauseName(refusal.Cause))
    .With("waited_ms", refusal.WaitTime)
    .With("retry_after_ms", refusal.RetryAfter)
    .With("lower_waiting", refusal.LowerTierWaiting)
    .With("lower_granted", refusal.LowerTierGrants);
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

std::size_t gsPoolPartCount(gsDocument const& document,
                            std::string_view service, std::string_view hall)
{
  return PartCount(CountUpstreams(document, service, hall));
}

gsDispatcher::gsDispatcher(gsLoop& loop, gsHttpClient& client,
                           gsSettings const& settings, gsMetrics& metrics,
                           Hooks hooks)
  : Loop(loop)
  , Client(client)
  , Settings(settings)
  , Metrics(metrics)
  , Callbacks(std::move(hooks))
  , Timer(loop, [this] { this->Tick(); })
  , LoadTimer(loop, [this] { this->PollLoads(); })
{
  this->LoadTimer.Every(settings.Upstreams.LoadPeriod);
}

gsPool& gsDispatcher::FindOrCreatePool(std::string const& name)
{
  auto found = this->PoolTable.find(name);
  if (found == this->PoolTable.end()) {
    found = this->PoolTable.emplace(name, gsPool{}).first;
    found->second.Name = name;
    found->second.Settings = this->Settings.Pool;
  }
  return found->second;
}

void gsDispatcher::MarkDirty(std::string const& pool)
{
  this->DirtyPools.insert(pool);
  if (!this->TimerRunning) {
    this->TimerRunning = true;
    this->Timer.Every(TickPeriod);
  }
}

void gsDispatcher::ApplyDocument(gsDocument const& document)
{
  this->Document = &document;
  std::map<std::string, std::size_t> seen;
  for (gsUpstream const& entry : document.Upstreams) {
    if (entry.Hall != this->Settings.Hall) {
      continue;
    }
    std::size_t part = seen[entry.Service]++ / gsMaxUpstreamsPerPool;
    gsPool& pool =
      this->FindOrCreatePool(gsPoolName(entry.Service, entry.Hall, part));
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
    this->MarkDirty(pool.Name);
  }
  for (auto& [name, pool] : this->PoolTable) {
    for (std::size_t rank = 0; rank < document.Tiers.size(); ++rank) {
      gsTierQueueOf(pool, static_cast<std::uint32_t>(rank)).AgeLimit =
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
  for (auto& [name, pool] : this->PoolTable) {
    for (gsUpstreamRow& row : pool.Upstreams) {
      gsUpstream const* entry =
        gsFindByName(this->Document->Upstreams, row.Name);
      bool listed =
        entry != nullptr && entry->State == gsUpstreamState::Active;
      row.Leaving =
        !listed || this->Callbacks.IsLeaving(row.Name, row.Incarnation);
    }
    this->MarkDirty(name);
  }
}

void gsDispatcher::RequestGrant(gsGrantRequest ask, std::uint64_t link)
{
  gsPool& pool = this->FindOrCreatePool(ask.Pool);
  bool hasActive =
    std::any_of(pool.Upstreams.begin(), pool.Upstreams.end(),
                [](gsUpstreamRow const& row) { return !row.Leaving; });
  bool usable =
    std::any_of(pool.Upstreams.begin(), pool.Upstreams.end(), &gsIsUsable);
  if (!hasActive || (!usable && !ask.WaitWhileEjected)) {
    this->RefuseUnqueued(ask, link,
                         hasActive ? gsRefusalCause::AllEjected
                                   : gsRefusalCause::NoUpstream);
    return;
  }
  std::string name = ask.Pool;
  gsAdmit(pool, std::move(ask), link, gsLoop::Now());
  this->MarkDirty(name);
}

/** Refuses a request without queueing it, because no upstream of the pool can
 * take it now. */
void gsDispatcher::RefuseUnqueued(gsGrantRequest const& ask,
                                  std::uint64_t link, gsRefusalCause cause)
{
  gsRefusal refusal;
  refusal.Id = ask.Id;
  refusal.Link = link;
  refusal.Pool = ask.Pool;
  refusal.Cause = cause;
  refusal.RetryAfter = this->Settings.Pool.EjectBackoff;
  refusal.Tier = ask.Tier;
  refusal.Organisation = ask.Organisation;
  refusal.Template = ask.Template;
  LogRefusal(refusal);
  this->Loop.Defer([this, refusal] { this->Callbacks.OnRefusal(refusal); });
}

void gsDispatcher::Withdraw(std::string const& pool, gsRequestId const& id)
{
  gsWithdraw(this->FindOrCreatePool(pool), id);
}

void gsDispatcher::ReportProgress(std::string const& pool,
                                  gsRequestId const& id, gsTime firstToken,
                                  gsTime gap)
{
  // The pool is not marked dirty: limits are adjusted at the next tick, which
  // is cheaper than running the pool for each report.
  gsRecordLatency(this->FindOrCreatePool(pool), id, firstToken, gap);
}

void gsDispatcher::Release(std::string const& pool, gsRequestId const& id,
                           gsGrantOutcome outcome,
                           gsGrantMeasurements const& measured)
{
  gsPoolOutput out;
  gsReleaseGrant(this->FindOrCreatePool(pool), id, outcome, measured,
                 gsLoop::Now(), out);
  this->LogEvents(pool, out);
  this->MarkDirty(pool);
}

void gsDispatcher::AdoptRunning(gsGrantRequest const& ask,
                                std::string_view upstream, std::uint64_t link)
{
  gsAdoptRunning(this->FindOrCreatePool(ask.Pool), ask, upstream, link,
                 gsLoop::Now());
}

void gsDispatcher::OnLinkDown(std::uint64_t link)
{
  for (auto& [name, pool] : this->PoolTable) {
    gsWithdrawLink(pool, link);
  }
  this->BrokenLinks[link] = gsLoop::Now();
  for (auto const& [name, pool] : this->PoolTable) {
    this->MarkDirty(name);
  }
}

void gsDispatcher::SetPaused(bool paused)
{
  this->Paused = paused;
  if (!paused) {
    for (auto const& [name, pool] : this->PoolTable) {
      this->MarkDirty(name);
    }
  }
}

void gsDispatcher::Tick()
{
  gsTime now = gsLoop::Now();
  for (auto link = this->BrokenLinks.begin();
       link != this->BrokenLinks.end();) {
    if (now - link->second < BrokenLinkTimeout) {
      ++link;
      continue;
    }
    for (auto& [name, pool] : this->PoolTable) {
      gsReleaseLink(pool, link->first);
    }
    link = this->BrokenLinks.erase(link);
  }
  bool busy = !this->BrokenLinks.empty();
  for (auto const& [name, pool] : this->PoolTable) {
    if (!pool.Waiting.empty() || !pool.Running.empty()) {
      busy = true;
      this->MarkDirty(name);
    }
  }
  if (!busy) {
    // The timer of an idle host stops; the next change of a pool restarts it.
    this->TimerRunning = false;
    this->Timer.Stop();
  }
}

void gsDispatcher::RunDirtyPools()
{
  if (this->Paused) {
    return;
  }
  // Callbacks for grants and refusals may mark pools dirty again.
  constexpr int maxRounds = 8;
  for (int round = 0; round < maxRounds && !this->DirtyPools.empty();
       ++round) {
    std::set<std::string> dirty;
    dirty.swap(this->DirtyPools);
    for (std::string const& name : dirty) {
      this->Run(this->FindOrCreatePool(name));
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
    this->Callbacks.OnGrant(grant);
  }
  for (gsRefusal const& refusal : out.Refusals) {
    LogRefusal(refusal);
    this->Metrics.Increment(
      "gradescale_refusals_total",
      gsLabels({ { "tier", std::to_string(refusal.Tier) },
                 { "cause", gsRefusalCauseName(refusal.Cause) } }));
    this->Callbacks.OnRefusal(refusal);
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
  for (auto& [name, pool] : this->PoolTable) {
    if (!this->Callbacks.IsOurs(name) && pool.Running.empty()) {
      continue;
    }
    for (gsUpstreamRow& row : pool.Upstreams) {
      gsUpstream const* entry =
        gsFindByName(this->Document->Upstreams, row.Name);
      bool polled = entry != nullptr && row.Adaptive &&
                    entry->State != gsUpstreamState::Stopped &&
                    this->PendingLoadPolls.insert(row.Name).second;
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
  this->PendingLoadPolls.erase(upstream);
  constexpr unsigned statusOk = 200;
  bool answered = answer.End.IsWhole() && answer.End.Status == statusOk;
  gsPoolOutput out;
  gsRecordPoll(this->FindOrCreatePool(pool), upstream, answered, gsLoop::Now(),
               out);
  this->LogEvents(pool, out);
  this->MarkDirty(pool);
  if (!answered) {
    return;
  }
  nlohmann::json body = nlohmann::json::parse(answer.Body, nullptr, false);
  if (!body.is_object()) {
    return;
  }
  auto waiting = body.find("waiting");
  if (waiting != body.end() && waiting->is_number_unsigned()) {
    gsApplyUpstreamLoad(this->FindOrCreatePool(pool), upstream,
                        waiting->get<std::uint32_t>());
  }
  auto incarnation = body.find("incarnation");
  gsUpstreamRow* row = gsFindUpstream(this->FindOrCreatePool(pool), upstream);
  if (incarnation == body.end() || !incarnation->is_string() ||
      row == nullptr) {
    return;
  }
  bool changed = row->Incarnation != incarnation->get<std::string>();
  row->Incarnation = incarnation->get<std::string>();
  auto leaving = body.find("leaving");
  if (leaving != body.end() && leaving->is_boolean() && leaving->get<bool>()) {
    this->Callbacks.OnLeaving(upstream, row->Incarnation);
  }
  if (changed) {
    this->RefreshLeaving();
  }
}

void gsDispatcher::UpdateGauges()
{
  this->Metrics.RemoveValues("gradescale_queue");
  this->Metrics.RemoveValues("gradescale_upstream_running");
  this->Metrics.RemoveValues("gradescale_upstream_limit");
  this->Metrics.RemoveValues("gradescale_upstream_healthy");
  for (auto const& [name, pool] : this->PoolTable) {
    for (std::size_t rank = 0; rank < pool.Tiers.size(); ++rank) {
      this->Metrics.Set(
        "gradescale_queue",
        gsLabels({ { "pool", name }, { "tier", std::to_string(rank) } }),
        pool.Tiers[rank].Waiting);
    }
    for (gsUpstreamRow const& row : pool.Upstreams) {
      std::string labels = gsLabels({ { "upstream", row.Name } });
      this->Metrics.Set("gradescale_upstream_running", labels,
                        row.Running + row.RunningReserved);
      this->Metrics.Set("gradescale_upstream_limit", labels, row.Limit);
      this->Metrics.Set("gradescale_upstream_healthy", labels,
                        gsIsUsable(row) ? 1 : 0);
    }
  }
}
