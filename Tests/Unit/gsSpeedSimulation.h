/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Simulation of hosts that place streams on engines, for tests of engine
 * speeds. An engine decodes all its streams in steps, and each step also
 * processes a piece of the first pending prompt. Hosts see each other's work
 * and measured speeds with a delay. Everything is derived from a fixed seed.
 */
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gsArrangement.h"
#include "gsEngineSpeed.h"
#include "gsInterference.h"
#include "gsPlacement.h"

namespace gsSpeedSimulation {

/** A kind of requests. */
struct Kind
{
  std::string Route;
  double PerSecond = 0;
  std::uint32_t SharedTokens = 0;
  std::uint32_t OwnTokens = 0;
  std::uint32_t Events = 0;
  std::uint32_t Subjects = 1;
  double TargetMillis = 0;
  double PauseMillis = 0;
};

/** The streams of a deployment with 60 engines; docs/design/hard-load.md. */
inline std::vector<Kind> StreamKinds()
{
  return { { "summary", 78.8, 13300, 3720, 30, 330, 2000, 1200 },
           { "notes", 44.7, 6300, 2890, 13, 240, 1500, 500 },
           { "tags", 89.3, 350, 1110, 43, 720, 1500, 300 } };
}

struct Request
{
  std::size_t Host = 0;
  std::size_t Kind = 0;
  std::uint64_t Subject = 0;
  std::vector<gsPromptPart> Parts;
  std::uint32_t Remaining = 0; ///< Prompt tokens still to be processed.
  bool IsCounted = false;      ///< Whether Remaining is set.
  std::uint32_t ReadTokens = 0;
  std::uint32_t TokensLeft = 0; ///< Of the answer.
  gsTime SentAt{};
  gsTime LastEventAt{};
  gsTime LongestPause{};
  gsTime FirstEventAt{};
  gsEngineActivity Activity;
  gsPromptMeasurement Prompt;
};

struct Engine
{
  double Speed = 1;
  gsTime DisturbedUntil{};
  double Disturbance = 1;
  std::deque<Request> Pending;
  std::vector<Request> Running;
  std::set<std::uint64_t> Cache;
  gsTime StepEndsAt{};
  std::uint32_t StepTokens = 0;
  bool IsBusy = false;
  double EngineMillis = 0; ///< Work done, in time of an engine of speed 1.
};

struct Settings
{
  std::size_t Hosts = 23;
  std::size_t Engines = 60;
  double SlowShare = 0.25;
  double SlowSpeed = 0.46;
  double LoadFactor = 1;
  bool HasDisturbances = false;
  gsFeatureMode Mode = gsFeatureMode::On;
  std::uint32_t Seed = 1;
  std::vector<Kind> Kinds = StreamKinds();
};

/** Results by kind. */
struct Result
{
  std::size_t Sent = 0;
  std::size_t InTarget = 0;
  std::size_t PauseTooLong = 0;
};

class Simulation
{
public:
  explicit Simulation(Settings const& settings)
    : Config(settings)
    , Random(settings.Seed)
    , Engines(settings.Engines)
    , Hosts(settings.Hosts)
    , Results(settings.Kinds.size())
  {
    std::vector<gsListedUpstream> listed;
    for (std::size_t i = 0; i < settings.Engines; ++i) {
      gsListedUpstream upstream;
      upstream.Id = "e" + std::to_string(i);
      upstream.Service = "model";
      upstream.Hall = "a";
      upstream.Slots = Slots;
      listed.push_back(upstream);
      bool isSlow = static_cast<double>(i % 20) < settings.SlowShare * 20;
      this->Engines[i].Speed = isSlow ? settings.SlowSpeed : 1;
    }
    for (gsFleet& fleet : this->Hosts) {
      fleet.Settings.Hall = "a";
      fleet.Settings.EngineSpeed = settings.Mode;
      gsFleetReplaceListing(fleet, listed, Start);
    }
    this->Snapshots.resize(settings.Hosts);
    this->Now = Start + gsSeconds(5);
    this->TrafficFrom = this->Now;
  }

  /** Lets a time pass, in ticks of 1 ms. */
  void Run(gsTime duration)
  {
    gsTime end = this->Now + duration;
    while (this->Now < end) {
      this->Now += gsMilliseconds(1);
      this->Tick();
    }
  }

  gsTime Elapsed() const { return this->Now - this->TrafficFrom; }

  gsFleetRow const& Row(std::size_t host, std::size_t engine)
  {
    return *gsFleetFind(this->Hosts[host], "e" + std::to_string(engine));
  }

  bool IsSlow(std::size_t engine) const
  {
    return this->Engines[engine].Speed < 0.75;
  }

  /** Share of the (host, engine) pairs, of slow or of other engines, for which
   * a condition holds. */
  double ShareOf(bool slow,
                 std::function<bool(gsFleetRow const&)> const& condition)
  {
    std::size_t count = 0;
    std::size_t all = 0;
    for (std::size_t host = 0; host < this->Hosts.size(); ++host) {
      for (std::size_t e = 0; e < this->Engines.size(); ++e) {
        if (this->IsSlow(e) == slow) {
          ++all;
          count += condition(this->Row(host, e)) ? 1 : 0;
        }
      }
    }
    return static_cast<double>(count) / static_cast<double>(all);
  }

  Settings Config;
  gsRandom Random;
  std::vector<Engine> Engines;
  std::vector<gsFleet> Hosts;
  std::vector<Result> Results;
  std::size_t Changes = 0; ///< Of decided speeds, over all hosts.
  gsTime Now{};
  gsTime TrafficFrom{};

private:
  static constexpr std::uint32_t Slots = 64;
  static constexpr gsTime Start = gsSeconds(100);
  static constexpr gsTime ReportDelay = gsMilliseconds(200);
  static constexpr double TokensPerMilli = 51.1;
  static constexpr double StepMillis = 5.09;
  static constexpr double StepMillisPerRequest = 0.03;
  static constexpr std::uint32_t ChunkTokens = 512;
  static constexpr std::uint32_t TokensPerEvent = 4;

  struct Snapshot
  {
    gsTime At{};
    std::vector<gsUpstreamLoad> Loads;
  };

  double Uniform()
  {
    return std::uniform_real_distribution<double>(0, 1)(this->Random);
  }

  void Tick()
  {
    if (this->Config.HasDisturbances) {
      this->Disturb();
    }
    for (std::size_t k = 0; k < this->Config.Kinds.size(); ++k) {
      double rate =
        this->Config.Kinds[k].PerSecond * this->Config.LoadFactor / 1e3;
      std::poisson_distribution<int> arrivals(rate);
      for (int i = arrivals(this->Random); i > 0; --i) {
        this->Arrive(k);
      }
    }
    for (std::size_t e = 0; e < this->Engines.size(); ++e) {
      this->AdvanceEngine(e);
    }
    auto millis =
      std::chrono::duration_cast<gsMilliseconds>(this->Elapsed()).count();
    for (std::size_t h = 0; h < this->Hosts.size(); ++h) {
      if ((millis + static_cast<std::int64_t>(h) * 10) % 230 == 0) {
        this->Report(h);
      }
      if ((millis + static_cast<std::int64_t>(h) * 7) % 100 == 0) {
        this->Apply(h);
        this->Changes +=
          gsRefreshEngineSpeeds(this->Hosts[h], this->Now).size();
        if (h == 0) {
          gsDecideArrangements(this->Hosts[0], this->Now);
        }
      }
    }
  }

  void Disturb()
  {
    // 15 in 100 are disturbed at any time, for 600 ms each.
    for (Engine& engine : this->Engines) {
      if (this->Now >= engine.DisturbedUntil) {
        engine.Disturbance = 1;
        if (this->Uniform() < 0.15 / 0.85 / 600) {
          engine.Disturbance = 2.5;
          engine.DisturbedUntil = this->Now + gsMilliseconds(600);
        }
      }
    }
  }

  void Arrive(std::size_t k)
  {
    Kind const& kind = this->Config.Kinds[k];
    Request request;
    request.Kind = k;
    request.Host = static_cast<std::size_t>(
      this->Uniform() * static_cast<double>(this->Hosts.size()));
    gsFleet& fleet = this->Hosts[request.Host];
    // Some subjects are requested more often than others.
    double draw = this->Uniform();
    request.Subject = (k + 1) * 100000 +
                      static_cast<std::uint64_t>(draw * draw * kind.Subjects);
    double factor = this->Uniform() < 0.1 ? 3 : 0.78;
    auto own = static_cast<std::uint32_t>(kind.OwnTokens * factor);
    request.Parts = { { request.Subject, kind.SharedTokens },
                      { this->Random() | 1U, own } };
    request.TokensLeft = kind.Events * TokensPerEvent;
    gsPlacementRequest ask;
    ask.Service = "model";
    ask.Parts = &request.Parts;
    ask.PromptTokens = kind.SharedTokens + own;
    ask.AnswerTokens = request.TokensLeft;
    ask.MillisPerToken = 0.025;
    ask.TargetTokens = kind.TargetMillis / ask.MillisPerToken;
    ask.MaxIntervalMillis = kind.PauseMillis;
    ask.Hosts = this->Hosts.size();
    ask.RecentPeakHosts = this->Hosts.size();
    gsStreamTargets targets{ kind.PauseMillis, 300, kind.TargetMillis };
    gsEngineTiming& timing = fleet.EngineTimings["model"];
    timing.IsStable = gsUsesEngineSpeed(fleet);
    ask.Group =
      gsClassifyRequest(timing, kind.Route, targets, ask.PromptTokens);
    gsRecordDemand(fleet, ask, this->Now);
    gsPlacement placement =
      gsPlaceRequest(fleet, ask, this->Now, this->Random);
    ++this->Results[k].Sent;
    if (placement.Row == nullptr) {
      return;
    }
    gsFleetRow& row = *placement.Row;
    request.ReadTokens = placement.TokensToRead;
    request.SentAt = this->Now;
    request.Prompt = gsBeginPromptMeasurement(
      fleet, row, placement.TokensToRead,
      std::min(placement.TokensToRead, own), this->Now);
    row.OwnLoad.OpenAttempts += 1;
    row.OwnLoad.PendingPromptTokens += request.ReadTokens;
    gsMarkReportable(fleet, row);
    std::size_t e = std::stoul(row.Listed.Id.substr(1));
    this->Engines[e].Pending.push_back(std::move(request));
  }

  double SpeedOf(Engine const& engine) const
  {
    return engine.Speed / engine.Disturbance;
  }

  void AdvanceEngine(std::size_t e)
  {
    Engine& engine = this->Engines[e];
    for (;;) {
      if (engine.IsBusy) {
        if (engine.StepEndsAt > this->Now) {
          return;
        }
        this->EndStep(e);
      } else {
        engine.StepEndsAt = this->Now;
      }
      if (engine.Pending.empty() && engine.Running.empty()) {
        engine.IsBusy = false;
        return;
      }
      engine.StepTokens = 0;
      if (!engine.Pending.empty() && engine.Running.size() < Slots) {
        Request& head = engine.Pending.front();
        if (!head.IsCounted) {
          head.IsCounted = true;
          head.Remaining = head.Parts.back().Tokens;
          bool cached = !engine.Cache.insert(head.Subject).second;
          head.Remaining += cached ? 0 : head.Parts.front().Tokens;
        }
        engine.StepTokens = std::min(head.Remaining, ChunkTokens);
      }
      double millis =
        StepMillis +
        StepMillisPerRequest * static_cast<double>(engine.Running.size()) +
        engine.StepTokens / TokensPerMilli;
      engine.EngineMillis += millis;
      engine.StepEndsAt += gsFromSeconds(millis / 1e3 / this->SpeedOf(engine));
      engine.IsBusy = true;
    }
  }

  void EndStep(std::size_t e)
  {
    Engine& engine = this->Engines[e];
    for (Request& request : engine.Running) {
      --request.TokensLeft;
      if (request.TokensLeft % TokensPerEvent == 0) {
        this->OnEvent(request, e);
      }
    }
    engine.Running.erase(std::remove_if(engine.Running.begin(),
                                        engine.Running.end(),
                                        [](Request const& request) {
                                          return request.TokensLeft == 0;
                                        }),
                         engine.Running.end());
    if (engine.StepTokens > 0) {
      Request& head = engine.Pending.front();
      head.Remaining -= engine.StepTokens;
      if (head.Remaining == 0) {
        this->OnFirstEvent(head, e);
        engine.Running.push_back(std::move(head));
        engine.Pending.pop_front();
      }
    }
  }

  gsFleetRow& RowOf(Request const& request, std::size_t e)
  {
    return *gsFleetFind(this->Hosts[request.Host], "e" + std::to_string(e));
  }

  void OnFirstEvent(Request& request, std::size_t e)
  {
    gsTime now = this->Engines[e].StepEndsAt;
    gsFleet& fleet = this->Hosts[request.Host];
    gsFleetRow& row = this->RowOf(request, e);
    gsRecordPromptSpeed(fleet, row, request.Prompt, now - request.SentAt, now);
    gsRecordPromptTime(fleet.EngineTimings["model"], request.ReadTokens,
                       now - request.SentAt);
    row.OwnLoad.PendingPromptTokens -= request.ReadTokens;
    gsRecordCachedParts(fleet, row, request.Parts, now);
    request.FirstEventAt = now;
    request.LastEventAt = now;
    request.Activity = gsEngineActivityOf(fleet, row, now);
  }

  void OnEvent(Request& request, std::size_t e)
  {
    gsTime now = this->Engines[e].StepEndsAt;
    gsFleet& fleet = this->Hosts[request.Host];
    gsFleetRow& row = this->RowOf(request, e);
    gsTime interval = now - request.LastEventAt;
    gsRecordEventInterval(fleet, row, interval, now);
    gsRecordStreamEvents(fleet, row, request.Activity, interval, 1, now);
    request.LongestPause = std::max(request.LongestPause, interval);
    request.LastEventAt = now;
    request.Activity = gsEngineActivityOf(fleet, row, now);
    if (request.TokensLeft == 0) {
      row.OwnLoad.OpenAttempts -= 1;
      gsRecordSlotHold(fleet, row, now - request.SentAt);
      Kind const& kind = this->Config.Kinds[request.Kind];
      bool isInTime =
        gsToSeconds(request.FirstEventAt - request.SentAt) * 1e3 <=
        kind.TargetMillis;
      bool isSteady =
        gsToSeconds(request.LongestPause) * 1e3 <= kind.PauseMillis;
      this->Results[request.Kind].InTarget += isInTime && isSteady ? 1 : 0;
      this->Results[request.Kind].PauseTooLong += isSteady ? 0 : 1;
    }
  }

  std::uint32_t MillisSince(gsTime time) const
  {
    return static_cast<std::uint32_t>(gsToSeconds(this->Now - time) * 1e3);
  }

  void Report(std::size_t h)
  {
    Snapshot snapshot{ this->Now, {} };
    for (std::size_t e = 0; e < this->Engines.size(); ++e) {
      gsFleetRow const& row = this->Row(h, e);
      double speed = gsSpeedToReport(row, this->Now);
      gsUpstreamLoad load;
      load.Running = row.OwnLoad.OpenAttempts;
      load.PendingPromptTokens =
        static_cast<std::uint32_t>(row.OwnLoad.PendingPromptTokens);
      load.SpeedPermille = static_cast<std::uint32_t>(speed * 1e3);
      load.SpeedAgeMillis = MillisSince(row.Speed.OwnAt);
      if (auto sample = gsSampleToReport(row, this->Now)) {
        load.SpeedSampleNanos =
          static_cast<std::uint32_t>(sample->Millis * 1e6);
        load.SpeedSampleKind = sample->Kind;
        load.SpeedSampleAgeMillis = MillisSince(sample->At);
      }
      snapshot.Loads.push_back(load);
    }
    this->Snapshots[h].push_back(std::move(snapshot));
    while (this->Snapshots[h].size() > 1 &&
           this->Snapshots[h][1].At <= this->Now - ReportDelay) {
      this->Snapshots[h].pop_front();
    }
  }

  /** Applies the newest reports that have arrived at a host. */
  void Apply(std::size_t h)
  {
    std::vector<gsOutstandingLoad> loads(this->Engines.size());
    std::vector<gsReportedSpeed> speeds(this->Engines.size());
    gsServiceDemand demand;
    for (std::size_t other = 0; other < this->Hosts.size(); ++other) {
      if (other == h) {
        continue;
      }
      gsDemand const& its = this->Hosts[other].Demand["model"];
      demand.LongTokens += static_cast<std::uint32_t>(its.LongTokens);
      demand.TightTokens += static_cast<std::uint32_t>(its.TightTokens);
      Snapshot const* newest = nullptr;
      for (Snapshot const& snapshot : this->Snapshots[other]) {
        newest = snapshot.At <= this->Now - ReportDelay ? &snapshot : newest;
      }
      if (newest == nullptr) {
        continue;
      }
      for (std::size_t e = 0; e < this->Engines.size(); ++e) {
        gsUpstreamLoad const& load = newest->Loads[e];
        loads[e].OpenAttempts += load.Running;
        loads[e].PendingPromptTokens += load.PendingPromptTokens;
        gsReportedSpeed& speed = speeds[e];
        gsTime at = newest->At - gsMilliseconds(load.SpeedAgeMillis);
        if (load.SpeedPermille > 0 && at > speed.SpeedAt) {
          speed.SpeedAt = at;
          speed.Speed = load.SpeedPermille / 1e3;
        }
        at = newest->At - gsMilliseconds(load.SpeedSampleAgeMillis);
        if (load.SpeedSampleNanos > 0 && at > speed.SampleAt) {
          speed.SampleAt = at;
          speed.SampleMillis = load.SpeedSampleNanos / 1e6;
          speed.SampleKind = load.SpeedSampleKind;
        }
      }
    }
    gsFleet& fleet = this->Hosts[h];
    gsSetOthersDemand(fleet, "model", demand, this->Now);
    gsAdoptArrangement(fleet, "model", this->Hosts[0].Arrangements["model"]);
    for (std::size_t e = 0; e < this->Engines.size(); ++e) {
      gsFleetRow& row = *gsFleetFind(fleet, "e" + std::to_string(e));
      row.OthersLoad = loads[e];
      row.OthersReportedAt = this->Now;
      if (loads[e].OpenAttempts > 0 || speeds[e].Speed > 0 ||
          speeds[e].SampleMillis > 0) {
        gsApplyReportedSpeed(fleet, row, speeds[e], this->Now);
      }
    }
  }

  std::vector<std::deque<Snapshot>> Snapshots;
};

} // namespace gsSpeedSimulation
