/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsPrefixSystem.h"

#include <algorithm>
#include <utility>

namespace gsPrefixCases {

namespace {

constexpr gsTime Step = gsMilliseconds(5);
constexpr gsTime ExchangeInterval = gsMilliseconds(100);
constexpr std::size_t MaxSamples = 5;
constexpr std::uint64_t ChangeBytes = 22;

gsListedUpstream MakeListed(std::string const& id, std::uint64_t startedAt,
                            std::string const& hall)
{
  gsListedUpstream upstream;
  upstream.Id = id;
  upstream.StartedAt = startedAt;
  upstream.Service = "model";
  upstream.Address = "127.0.0.1:1";
  upstream.Hall = hall;
  upstream.Slots = 64;
  return upstream;
}

} // namespace

System::System(int hosts, int halls, int engines, std::uint64_t seed)
  : Random(seed)
{
  for (int i = 0; i < engines; ++i) {
    this->Engines["e" + std::to_string(i)] = {};
  }
  this->Hosts.resize(static_cast<std::size_t>(hosts));
  for (std::size_t i = 0; i < this->Hosts.size(); ++i) {
    Host& host = this->Hosts[i];
    host.Name = "h" + std::to_string(100 + i);
    host.Hall = "hall" + std::to_string(i % static_cast<std::size_t>(halls));
    host.Fleet.Settings.Host = host.Name;
    host.Fleet.Settings.Hall = host.Hall;
    host.Fleet.Settings.Prefixes.Mode = gsFeatureMode::On;
    host.Fleet.Prefixes.Self = host.Name;
    int engine = 0;
    for (auto const& [id, state] : this->Engines) {
      gsFleetUpsert(host.Fleet,
                    MakeListed(id, state.StartedAt,
                               "hall" + std::to_string(engine++ % halls)),
                    this->Now);
    }
    this->HostIndex[host.Name] = i;
    auto phase = static_cast<std::int64_t>(this->Random() % 100);
    this->Schedule(this->Now + gsMilliseconds(phase),
                   [this, i] { this->Exchange(i); });
  }
  this->SampleLoads();
}

void System::ForEachHost(std::function<void(Host&)> const& change)
{
  for (Host& host : this->Hosts) {
    change(host);
  }
}

void System::Schedule(gsTime at, std::function<void()> run)
{
  this->Events.push({ at, this->EventCount++, std::move(run) });
}

void System::Run(gsTime until, std::function<void(gsTime)> const& arrive)
{
  while (this->Now < until) {
    this->Now += Step;
    while (!this->Events.empty() && this->Events.top().At <= this->Now) {
      std::function<void()> run = this->Events.top().Run;
      this->Events.pop();
      run();
    }
    if (arrive) {
      arrive(this->Now);
    }
  }
}

std::string System::RelayOf(std::string const& hall) const
{
  for (Host const& host : this->Hosts) {
    if (host.Hall == hall && host.IsUp) {
      return host.Name;
    }
  }
  return {};
}

gsLoadPeers System::PeersOf(std::size_t index) const
{
  Host const& self = this->Hosts[index];
  gsLoadPeers peers;
  peers.Relay = this->RelayOf(self.Hall);
  if (peers.Relay != self.Name) {
    return peers;
  }
  std::set<std::string> halls;
  for (Host const& host : this->Hosts) {
    if (host.Hall == self.Hall && host.Name != self.Name) {
      peers.HallHosts.push_back(host.Name);
    }
    if (host.Hall != self.Hall) {
      halls.insert(host.Hall);
    }
  }
  for (std::string const& hall : halls) {
    peers.OtherRelays.push_back(this->RelayOf(hall));
  }
  return peers;
}

/** Sends due updates, and schedules the next call. */
void System::Exchange(std::size_t index)
{
  Host& host = this->Hosts[index];
  this->Schedule(this->Now + ExchangeInterval,
                 [this, index] { this->Exchange(index); });
  if (!host.IsUp) {
    return;
  }
  if (this->Now - host.ReducedAt >= gsSeconds(1)) {
    host.ReducedAt = this->Now;
    gsReduceSubjectEngines(host.Fleet, this->Now);
  }
  for (gsPrefixMessage const& message :
       gsPrefixTick(host.Fleet.Prefixes, this->PeersOf(index), this->Now)) {
    this->Result.Bytes += message.Update.Changes.size() * ChangeBytes;
    this->Deliver(index, message);
  }
  if (index == 0) {
    this->SampleLoads();
  }
}

void System::Deliver(std::size_t from, gsPrefixMessage const& message)
{
  std::uniform_real_distribution<double> draw(0, 1);
  auto to = this->HostIndex.find(message.To);
  if (to == this->HostIndex.end() || draw(this->Random) < this->LossShare) {
    return;
  }
  std::size_t receiver = to->second;
  bool isCut =
    this->IsCut && this->Hosts[from].Hall != this->Hosts[receiver].Hall;
  if (isCut) {
    return;
  }
  auto delay = static_cast<std::int64_t>(2 + this->Random() % 30);
  this->Schedule(this->Now + gsMilliseconds(delay), [this, receiver, from,
                                                     update = message.Update] {
    Host& host = this->Hosts[receiver];
    if (host.IsUp) {
      gsApplyPrefixUpdate(host.Fleet.Prefixes, this->Hosts[from].Name, update,
                          this->RelayOf(host.Hall) == host.Name, this->Now);
    }
  });
}

/** Lets each host see the load of the others as it was 0.1 to 0.4 s ago. */
void System::SampleLoads()
{
  LoadSample sample;
  for (Host const& host : this->Hosts) {
    auto& loads = sample.OfHosts.emplace_back();
    for (gsFleetRow const& row : host.Fleet.Rows) {
      gsOutstandingLoad const& own = row.OwnLoad;
      if (own.OpenAttempts > 0) {
        loads[row.Listed.Id] = own;
        gsOutstandingLoad& sum = sample.Sum[row.Listed.Id];
        sum.OpenAttempts += own.OpenAttempts;
        sum.PendingPromptTokens += own.PendingPromptTokens;
      }
    }
  }
  this->Samples.push_back(std::move(sample));
  if (this->Samples.size() > MaxSamples) {
    this->Samples.erase(this->Samples.begin());
  }
  for (std::size_t i = 0; i < this->Hosts.size(); ++i) {
    std::size_t age = 1 + i % (MaxSamples - 1);
    std::size_t newest = this->Samples.size() - 1;
    LoadSample const& seen = this->Samples[newest - std::min(newest, age)];
    for (gsFleetRow& row : this->Hosts[i].Fleet.Rows) {
      row.OthersLoad = {};
      row.OthersReportedAt = this->Now;
      auto sum = seen.Sum.find(row.Listed.Id);
      if (sum != seen.Sum.end()) {
        row.OthersLoad = sum->second;
        auto own = seen.OfHosts[i].find(row.Listed.Id);
        if (own != seen.OfHosts[i].end()) {
          row.OthersLoad.OpenAttempts -= own->second.OpenAttempts;
          row.OthersLoad.PendingPromptTokens -=
            own->second.PendingPromptTokens;
        }
      }
    }
  }
}

gsPlacementRequest System::Ask(std::uint64_t subject, Kind const& kind,
                               std::uint32_t ownTokens)
{
  ownTokens = ownTokens == 0 ? kind.OwnTokens : ownTokens;
  this->Parts = { { subject, kind.SharedTokens },
                  { this->Random(), ownTokens } };
  gsPlacementRequest ask;
  ask.Service = "model";
  ask.Parts = &this->Parts;
  ask.PromptTokens = kind.SharedTokens + ownTokens;
  ask.AnswerTokens = 120;
  ask.Group = kind.Group;
  ask.MillisPerToken = 1 / TokensPerMilli;
  ask.TargetTokens = gsToSeconds(kind.Target) * 1e3 * TokensPerMilli;
  ask.Hosts = this->Hosts.size();
  ask.RecentPeakHosts = this->Hosts.size();
  ask.CanTransferParts = false;
  return ask;
}

std::string System::Request(std::size_t index, std::uint64_t subject,
                            Kind const& kind, std::uint32_t ownTokens)
{
  ++this->Result.Requests;
  gsPlacementRequest ask = this->Ask(subject, kind, ownTokens);
  Host& host = this->Hosts[index];
  gsPlacement placement =
    gsPlaceRequest(host.Fleet, ask, this->Now, this->Random);
  if (placement.Row == nullptr) {
    ++this->Result.Unplaced;
    return {};
  }
  std::string id = placement.Row->Listed.Id;
  this->Send(index, placement, ask, kind);
  return id;
}

std::string System::Request(std::uint64_t subject, Kind const& kind,
                            std::uint32_t ownTokens)
{
  std::size_t index = this->Random() % this->Hosts.size();
  while (!this->Hosts[index].IsUp) {
    index = this->Random() % this->Hosts.size();
  }
  return this->Request(index, subject, kind, ownTokens);
}

/** Lets the engine process the request, and records what the host observes. */
void System::Send(std::size_t index, gsPlacement const& placement,
                  gsPlacementRequest const& ask, Kind const& kind)
{
  gsFleetRow& row = *placement.Row;
  Host& host = this->Hosts[index];
  std::uint64_t subject = gsSubjectOf(ask);
  gsPrefixKey key = gsPrefixKeyOf(ask.Service, subject);
  std::uint32_t shared = gsSharedTokens(ask);
  std::uint32_t charged = placement.TokensToRead;
  row.OwnLoad.OpenAttempts += 1;
  row.OwnLoad.PendingPromptTokens += charged;
  gsRecordPrefixDemand(host.Fleet.Prefixes, key,
                       gsSubjectEngineMillis(host.Fleet, ask), this->Now);
  gsRecordPrefixSent(host.Fleet.Prefixes, key, row.Hash, shared, this->Now);

  Engine& engine = this->Engines[row.Listed.Id];
  this->Result.EnginesOf[subject].insert(row.Listed.Id);
  bool isCached = !engine.Cache.insert(subject).second;
  this->Result.SharedReads += isCached ? 0 : 1;
  double tokens = ask.PromptTokens - (isCached ? shared : 0);
  gsTime start = std::max(this->Now, engine.BusyUntil);
  gsTime firstEvent =
    start + gsFromSeconds(tokens / TokensPerMilli / engine.Speed / 1e3);
  engine.BusyUntil = firstEvent;
  this->Result.Late += firstEvent - this->Now > kind.Target ? 1 : 0;
  gsIncarnation incarnation = gsIncarnationOf(row.Listed);
  std::uint32_t hash = row.Hash;
  this->Schedule(firstEvent, [=] {
    gsFleet& fleet = this->Hosts[index].Fleet;
    if (gsFleetRow* at = gsFleetFind(fleet, incarnation)) {
      at->OwnLoad.PendingPromptTokens -= charged;
      gsRecordPrefixHeld(fleet.Prefixes, key, hash, shared, this->Now);
    }
  });
  this->Schedule(firstEvent + kind.Decoding, [=] {
    if (gsFleetRow* at = gsFleetFind(this->Hosts[index].Fleet, incarnation)) {
      at->OwnLoad.OpenAttempts -= 1;
    }
  });
}

std::string System::Choose(std::size_t host, std::uint64_t subject,
                           Kind const& kind)
{
  gsPlacementRequest ask = this->Ask(subject, kind, 0);
  gsPlacement placement =
    gsPlaceRequest(this->Hosts[host].Fleet, ask, this->Now, this->Random);
  return placement.Row == nullptr ? "" : placement.Row->Listed.Id;
}

std::size_t System::ChoiceCount(std::uint64_t subject, Kind const& kind)
{
  std::set<std::string> choices;
  for (std::size_t i = 0; i < this->Hosts.size(); ++i) {
    if (this->Hosts[i].IsUp) {
      choices.insert(this->Choose(i, subject, kind));
    }
  }
  return choices.size();
}

std::set<std::string> System::ServingAt(std::size_t index,
                                        std::uint64_t subject)
{
  std::set<std::string> serving;
  gsFleet const& fleet = this->Hosts[index].Fleet;
  gsPrefixSubject const* found =
    gsFindPrefixSubject(fleet.Prefixes, gsPrefixKeyOf("model", subject));
  if (found == nullptr) {
    return serving;
  }
  for (gsPrefixHolding const& holding : found->Holdings) {
    auto row = fleet.ByHash.find(holding.Engine);
    if (holding.IsServing && row != fleet.ByHash.end() &&
        gsIsValidHolding(fleet.Prefixes, holding, this->Now)) {
      serving.insert(fleet.Rows[row->second].Listed.Id);
    }
  }
  return serving;
}

void System::Crash(std::string const& engine)
{
  this->Engines[engine].IsUp = false;
  this->Engines[engine].Cache.clear();
  this->ForEachHost([&](Host& host) {
    gsFleetRow* row = gsFleetFind(host.Fleet, engine);
    row->OwnLoad = {};
    row->OthersLoad = {};
    row->AvoidUntil = this->Now + gsSeconds(1000);
  });
}

void System::Restart(std::string const& engine)
{
  Engine& state = this->Engines[engine];
  ++state.StartedAt;
  state.IsUp = true;
  state.BusyUntil = this->Now;
  this->ForEachHost([&](Host& host) {
    gsListedUpstream listed = gsFleetFind(host.Fleet, engine)->Listed;
    listed.StartedAt = state.StartedAt;
    gsFleetUpsert(host.Fleet, listed, this->Now);
  });
}

} // namespace gsPrefixCases
