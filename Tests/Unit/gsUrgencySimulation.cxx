/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUrgencySimulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <string>

#include "gsArrangement.h"

namespace gsUrgencySimulation {

namespace {

constexpr double StepMillis = 10;
constexpr double TokenMillis = 0.02;
/** Retry-After if the placement names none, as gsRetryPolicy draws it. */
constexpr double MinReturnMillis = 300;
constexpr double MaxReturnMillis = 450;
constexpr std::uint64_t Subjects = 60; ///< Of each kind.

struct Request
{
  std::size_t Kind = 0;
  std::size_t Host = 0;
  std::size_t Second = 0; ///< Of its arrival.
  double LeavesAt = 0;
  double EndsAt = 0; ///< Set when it begins.
  bool IsReturn = false;
  gsAttemptLoad Load;
};

struct Engine
{
  std::vector<Request*> Waiting; ///< In the order of their admission.
  Request* InProcess = nullptr;  ///< Its prompt is being processed.
  double ProcessedAt = 0;
  std::vector<Request*> Running;

  std::size_t UsedSlots() const
  {
    return this->Running.size() + (this->InProcess != nullptr ? 1 : 0);
  }
};

/** A caller that was refused and will return. */
struct Return
{
  double At;
  std::size_t Kind;
};

class Simulation
{
public:
  Simulation(gsUrgencySimulation::Settings const& settings, std::uint64_t seed)
    : Settings(settings)
    , Random(seed)
    , Engines(settings.Engines)
  {
    double seconds = 0;
    for (Phase const& phase : settings.Phases) {
      seconds += phase.Seconds;
    }
    this->EndMillis = seconds * 1e3;
    this->Result.resize(static_cast<std::size_t>(seconds) + 1);
    for (std::size_t host = 0; host < settings.Hosts; ++host) {
      this->Hosts.push_back(this->MakeHost());
    }
  }

  Outcome Run()
  {
    double nextView = 0;
    for (; this->Millis < this->EndMillis; this->Millis += StepMillis) {
      if (this->Millis >= nextView) {
        this->ExchangeLoad();
        nextView += this->Settings.ViewMillis;
      }
      this->Arrive();
      for (std::size_t engine = 0; engine < this->Engines.size(); ++engine) {
        this->Advance(engine);
      }
    }
    return this->Result;
  }

private:
  gsTime Now() const { return gsFromSeconds(100 + this->Millis / 1e3); }

  gsFleet MakeHost() const
  {
    gsFleet fleet;
    fleet.Settings.Hall = "a";
    std::vector<gsListedUpstream> listed;
    for (std::size_t i = 0; i < this->Settings.Engines; ++i) {
      gsListedUpstream upstream;
      upstream.Id = "u" + std::to_string(i);
      upstream.Service = "model";
      upstream.Address = "127.0.0.1:1";
      upstream.Hall = "a";
      upstream.Slots = this->Settings.Slots;
      listed.push_back(upstream);
    }
    gsFleetReplaceListing(fleet, listed);
    gsEngineArrangement arrangement;
    arrangement.Version = 1;
    arrangement.LongEngines =
      static_cast<std::uint32_t>(this->Settings.LongEngines);
    gsAdoptArrangement(fleet, "model", arrangement);
    return fleet;
  }

  /** Gives each host the load of all others as it is now. */
  void ExchangeLoad()
  {
    std::size_t engines = this->Engines.size();
    std::vector<gsOutstandingLoad> total(engines);
    std::vector<gsUrgencyLoads> byUrgency(engines);
    gsOpenAttemptsMap open;
    for (gsFleet const& host : this->Hosts) {
      for (std::size_t i = 0; i < engines; ++i) {
        Add(total[i], host.Rows[i].OwnLoad);
        for (gsUrgencyLoad const& load : host.Rows[i].OwnByUrgency) {
          gsAddUrgencyLoad(byUrgency[i], load);
          open[load.Priority] += load.OpenAttempts;
        }
      }
    }
    for (gsFleet& host : this->Hosts) {
      for (std::size_t i = 0; i < engines; ++i) {
        gsFleetRow& row = host.Rows[i];
        row.OthersLoad = total[i];
        row.OthersLoad.OpenAttempts -= row.OwnLoad.OpenAttempts;
        row.OthersLoad.PendingPromptTokens -= row.OwnLoad.PendingPromptTokens;
        row.OthersLoad.MemoryTokens -= row.OwnLoad.MemoryTokens;
        row.OthersByUrgency = byUrgency[i];
        for (gsUrgencyLoad const& load : row.OwnByUrgency) {
          gsSubtractUrgencyLoad(row.OthersByUrgency, load);
        }
        row.OthersReportedAt = this->Now();
      }
      gsSetOpenAttempts(host, "model", open, this->Now());
    }
  }

  static void Add(gsOutstandingLoad& sum, gsOutstandingLoad const& part)
  {
    sum.OpenAttempts += part.OpenAttempts;
    sum.PendingPromptTokens += part.PendingPromptTokens;
    sum.MemoryTokens += part.MemoryTokens;
  }

  Phase const& CurrentPhase() const
  {
    double until = 0;
    for (Phase const& phase : this->Settings.Phases) {
      until += phase.Seconds * 1e3;
      if (this->Millis < until) {
        return phase;
      }
    }
    return this->Settings.Phases.back();
  }

  /** New requests, and those that return after a refusal. */
  void Arrive()
  {
    Phase const& phase = this->CurrentPhase();
    for (std::size_t kind = 0; kind < KindCount; ++kind) {
      Kind const& of = Kinds()[kind];
      double holdMillis = of.HoldMillis + of.PromptTokens * TokenMillis;
      double slots =
        static_cast<double>(this->Settings.Engines) * this->Settings.Slots;
      double mean = phase.Load[kind] * slots / holdMillis * StepMillis;
      std::poisson_distribution<int> draw(mean);
      int count = mean > 0 ? draw(this->Random) : 0;
      for (int i = 0; i < count; ++i) {
        this->Place(kind, false);
      }
    }
    std::vector<Return> due;
    auto isDue = [&](Return const& entry) { return entry.At <= this->Millis; };
    std::copy_if(this->Returns.begin(), this->Returns.end(),
                 std::back_inserter(due), isDue);
    this->Returns.erase(
      std::remove_if(this->Returns.begin(), this->Returns.end(), isDue),
      this->Returns.end());
    for (Return const& entry : due) {
      this->Place(entry.Kind, true);
    }
  }

  void Place(std::size_t kind, bool isReturn)
  {
    Kind const& of = Kinds()[kind];
    std::uniform_int_distribution<std::size_t> drawHost(0, this->Hosts.size() -
                                                             1);
    std::uniform_int_distribution<std::uint64_t> drawSubject(1, Subjects);
    std::size_t host = drawHost(this->Random);
    std::uint64_t subject = 1000 * (kind + 1) + drawSubject(this->Random);
    std::uint32_t shared = of.PromptTokens / 2;
    std::vector<gsPromptPart> parts{ { subject, shared },
                                     { 1'000'000 + this->Requests.size(),
                                       of.PromptTokens - shared } };
    gsPlacementRequest ask;
    ask.Service = "model";
    ask.Group = of.IsLong ? gsFleetGroup::Long : gsFleetGroup::Tight;
    ask.Parts = &parts;
    ask.PromptTokens = of.PromptTokens;
    ask.AnswerTokens = of.AnswerTokens;
    ask.MillisPerToken = TokenMillis;
    ask.TargetTokens = of.TargetMillis / TokenMillis;
    ask.MaxIntervalMillis = kind == 0 ? of.TargetMillis : 0;
    ask.Hosts = this->Hosts.size();
    ask.RecentPeakHosts = this->Hosts.size();
    ask.Priority = static_cast<std::uint32_t>(kind);
    ask.MoreUrgentKinds = static_cast<std::uint32_t>(kind);
    for (std::size_t other = 0; other < kind; ++other) {
      double target = Kinds()[other].TargetMillis;
      ask.MoreUrgentTargetMillis =
        other == 0 ? target : std::min(ask.MoreUrgentTargetMillis, target);
    }
    gsFleet& fleet = this->Hosts[host];
    gsPlacement placement =
      gsPlaceRequest(fleet, ask, this->Now(), this->Random);
    std::size_t second = this->Second();
    Counts& counts = this->Result[second][kind];
    ++counts.Arrived;
    if (placement.Row == nullptr) {
      ++counts.Nothing;
      this->Refuse(kind, isReturn, placement);
      return;
    }
    auto engine = static_cast<std::size_t>(placement.Row - fleet.Rows.data());
    this->Send({ kind,
                 host,
                 second,
                 this->Millis + of.PatienceMillis,
                 0,
                 isReturn,
                 { ask.Priority, placement.TokensToRead,
                   of.PromptTokens + of.AnswerTokens } },
               engine);
  }

  void Refuse(std::size_t kind, bool isReturn, gsPlacement const& placement)
  {
    if (isReturn) {
      return;
    }
    std::uniform_real_distribution<double> draw(MinReturnMillis,
                                                MaxReturnMillis);
    double after = draw(this->Random);
    after = std::max(after, gsToSeconds(placement.RetryAfter) * 1e3);
    this->Returns.push_back({ this->Millis + after, kind });
  }

  void Send(Request const& request, std::size_t engineIndex)
  {
    Engine& engine = this->Engines[engineIndex];
    gsFleetRow& row = this->Hosts[request.Host].Rows[engineIndex];
    if (engine.Waiting.size() >= this->Settings.Queue) {
      ++this->Result[request.Second][request.Kind].Nothing;
      gsRecordRejection(this->Hosts[request.Host], row, this->Now());
      return;
    }
    this->Requests.push_back(request);
    Request* sent = &this->Requests.back();
    gsAddAttempt(this->Hosts[request.Host], row, sent->Load);
    auto place = std::upper_bound(
      engine.Waiting.begin(), engine.Waiting.end(), sent,
      [](Request* a, Request* b) { return a->Kind < b->Kind; });
    engine.Waiting.insert(place, sent);
  }

  void Advance(std::size_t index)
  {
    Engine& engine = this->Engines[index];
    this->EndRunning(index);
    if (engine.InProcess != nullptr && engine.ProcessedAt <= this->Millis) {
      this->Begin(index, *engine.InProcess);
      engine.InProcess = nullptr;
    }
    this->DropImpatient(index);
    bool canAdmit = engine.InProcess == nullptr && !engine.Waiting.empty() &&
                    engine.UsedSlots() < this->Settings.Slots;
    if (canAdmit) {
      engine.InProcess = engine.Waiting.front();
      engine.Waiting.erase(engine.Waiting.begin());
      engine.ProcessedAt =
        this->Millis +
        std::max(StepMillis / 2,
                 engine.InProcess->Load.PendingPromptTokens * TokenMillis);
    }
  }

  void Begin(std::size_t index, Request& request)
  {
    Kind const& of = Kinds()[request.Kind];
    Counts& arrival = this->Result[request.Second][request.Kind];
    double arrivedAt = request.LeavesAt - of.PatienceMillis;
    arrival.InTarget +=
      this->Millis - arrivedAt <= of.TargetMillis && !request.IsReturn ? 1 : 0;
    ++this->Result[this->Second()][request.Kind].Begun;
    request.EndsAt = this->Millis + of.HoldMillis;
    gsRecordFirstToken(this->Hosts[request.Host].Rows[index], request.Load);
    this->Engines[index].Running.push_back(&request);
  }

  void EndRunning(std::size_t index)
  {
    Engine& engine = this->Engines[index];
    auto hasEnded = [&](Request* request) {
      if (request->EndsAt > this->Millis) {
        return false;
      }
      this->Release(index, *request);
      this->RecordHold(index, *request);
      return true;
    };
    engine.Running.erase(
      std::remove_if(engine.Running.begin(), engine.Running.end(), hasEnded),
      engine.Running.end());
  }

  void DropImpatient(std::size_t index)
  {
    Engine& engine = this->Engines[index];
    auto leaves = [&](Request* request) {
      if (request->LeavesAt > this->Millis) {
        return false;
      }
      this->Release(index, *request);
      ++this->Result[request->Second][request->Kind].Nothing;
      return true;
    };
    engine.Waiting.erase(
      std::remove_if(engine.Waiting.begin(), engine.Waiting.end(), leaves),
      engine.Waiting.end());
  }

  void Release(std::size_t index, Request const& request)
  {
    gsRemoveAttempt(this->Hosts[request.Host].Rows[index], request.Load);
  }

  void RecordHold(std::size_t index, Request const& request)
  {
    gsFleet& fleet = this->Hosts[request.Host];
    Kind const& of = Kinds()[request.Kind];
    double arrivedAt = request.LeavesAt - of.PatienceMillis;
    gsRecordSlotHold(fleet, fleet.Rows[index],
                     gsFromSeconds((this->Millis - arrivedAt) / 1e3));
    gsRecordRunTime(fleet, fleet.Rows[index],
                    static_cast<std::uint32_t>(request.Kind),
                    gsFromSeconds(of.HoldMillis / 1e3));
  }

  std::size_t Second() const
  {
    return static_cast<std::size_t>(this->Millis / 1e3);
  }

  gsUrgencySimulation::Settings const& Settings;
  gsRandom Random;
  std::vector<Engine> Engines;
  std::vector<gsFleet> Hosts;
  std::deque<Request> Requests; ///< Engines point to its elements.
  std::vector<Return> Returns;
  Outcome Result;
  double Millis = 0;
  double EndMillis = 0;
};

} // namespace

std::array<Kind, KindCount> const& Kinds()
{
  static std::array<Kind, KindCount> const kinds{
    { { 628, 60, 1500, 250, 2000, 0.35, false },
      { 1800, 10, 300, 400, 2000, 0.15, false },
      { 6610, 80, 4000, 2000, 8000, 0.5, true } }
  };
  return kinds;
}

Outcome Run(Settings const& settings, std::uint64_t seed)
{
  return Simulation(settings, seed).Run();
}

double WorstStarvedShare(Outcome const& outcome)
{
  constexpr std::size_t window = 5;
  constexpr std::uint32_t minNothing = 10;
  double worst = 0;
  for (std::size_t from = 0; from + window <= outcome.size(); ++from) {
    for (std::size_t kind = 0; kind + 1 < KindCount; ++kind) {
      Counts sum;
      std::uint32_t lessUrgentBegun = 0;
      for (std::size_t second = from; second < from + window; ++second) {
        sum.Arrived += outcome[second][kind].Arrived;
        sum.Nothing += outcome[second][kind].Nothing;
        for (std::size_t other = kind + 1; other < KindCount; ++other) {
          bool isLarger =
            Kinds()[other].PromptTokens > 2 * Kinds()[kind].PromptTokens;
          lessUrgentBegun += isLarger ? outcome[second][other].Begun : 0;
        }
      }
      if (sum.Nothing >= minNothing && lessUrgentBegun > 0) {
        worst = std::max(worst, double(sum.Nothing) / sum.Arrived);
      }
    }
  }
  return worst;
}

namespace {

Counts Sum(Outcome const& outcome, std::size_t kind, std::size_t from,
           std::size_t to)
{
  Counts sum;
  for (std::size_t second = from; second < to; ++second) {
    sum.Arrived += outcome[second][kind].Arrived;
    sum.Nothing += outcome[second][kind].Nothing;
    sum.InTarget += outcome[second][kind].InTarget;
  }
  return sum;
}

double ShareOf(std::uint32_t part, std::uint32_t total)
{
  return total == 0 ? 0 : double(part) / total;
}

} // namespace

double InTargetShare(Outcome const& outcome, std::size_t kind,
                     std::size_t from, std::size_t to)
{
  Counts sum = Sum(outcome, kind, from, to);
  return ShareOf(sum.InTarget, sum.Arrived);
}

double ServedShare(Outcome const& outcome, std::size_t kind, std::size_t from,
                   std::size_t to)
{
  Counts sum = Sum(outcome, kind, from, to);
  return ShareOf(sum.Arrived - sum.Nothing, sum.Arrived);
}

} // namespace gsUrgencySimulation
