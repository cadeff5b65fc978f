/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsSoak.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <functional>
#include <ostream>
#include <random>
#include <set>
#include <utility>

namespace {

constexpr gsTime Turn = gsMilliseconds(10);
constexpr double RequestsPerSecond = 80;
constexpr double LeaveShare = 0.06;
/** Of the requests on the route plain, sent in two pieces, */
constexpr double PiecesShare = 0.5;
/** with a pause of up to this, so that most stops meet some of them. */
constexpr gsTime LongestPause = gsMilliseconds(500);
constexpr double OtherKeyShare = 0.2;
/** A host that has started again has learned all by then. */
constexpr gsTime StartBound = gsSeconds(2);
constexpr gsTime StopBound = gsSeconds(10);
constexpr gsTime RecoverBound = gsSeconds(8);
constexpr gsTime DrainTime = gsMilliseconds(3500);
constexpr gsTime Unknown = gsTime::max(); ///< End of a trouble under way.
char const* const LastingKey = "key-one";

/** Something to be done later in the run. */
struct Later
{
  gsTime At{};
  std::function<void()> Do;
};

class Soak
{
public:
  Soak(gsSoakPlan const& plan, std::ostream& out)
    : Plan(plan)
    , Out(out)
    , System(SystemPlan(plan))
    , Random(plan.Seed ^ TrafficSalt)
    , Keys{ LastingKey, "key-two" }
  {
    this->Record.LastingKeys = { LastingKey };
    this->Record.HasUnframedAnswers = std::any_of(
      plan.Steps.begin(), plan.Steps.end(), [](gsSoakStep const& step) {
        return step.Action == gsSoakAction::AnswerUnframed;
      });
    // Earlier releases give no answer to what crosses the close.
    this->Record.AnswersKept =
      plan.OtherProgram.empty() ||
      std::filesystem::equivalent(plan.OtherProgram,
                                  gsTestProgram("gradescaled"));
    this->Record.Expected = [this](gsRoutedReply const& reply) {
      return this->System.Expected(reply);
    };
  }

  gsSoakResult Run()
  {
    this->Begin = gsLoop::Now();
    std::size_t next = 0;
    while (this->Elapsed() < this->Plan.Length) {
      while (next < this->Plan.Steps.size() &&
             this->Plan.Steps[next].At <= this->Elapsed()) {
        this->Carry(this->Plan.Steps[next++]);
      }
      this->DoDue();
      this->SendDue();
      this->RestartEnded();
      this->CheckMemory();
      this->System.RunFor(gsToSeconds(Turn));
    }
    this->Heal();
    this->Recover();
    return this->Conclude();
  }

private:
  static constexpr std::uint64_t TrafficSalt = 0x5bd1e995;
  static constexpr std::uint64_t MaxHostMemoryMib = 260;

  static gsRoutedPlan SystemPlan(gsSoakPlan const& plan)
  {
    gsRoutedPlan system;
    system.Hosts = plan.Hosts;
    system.Runners = plan.Runners;
    system.Halls = plan.Hosts >= 4 ? 2 : 1;
    system.Events = 20;
    system.GapMs = 15;
    system.KeepConnections = true;
    system.Program = plan.OtherProgram;
    system.LinkPerHost = plan.LinkPerHost;
    system.Memory = { { "mode", "on" }, { "total_mb", MaxHostMemoryMib } };
    return system;
  }

  /** Hosts are killed on the platform when they use more than their limit. */
  void CheckMemory()
  {
    constexpr gsTime interval = gsMilliseconds(200);
    gsTime now = gsLoop::Now();
    if (now - this->MemoryCheckedAt < interval) {
      return;
    }
    this->MemoryCheckedAt = now;
    for (int number = 0; number < this->Plan.Hosts; ++number) {
      std::string const host = this->HostName(number);
      if (!this->System.Running(host)) {
        continue;
      }
      std::uint64_t peak = this->System.PeakMemoryKib(host) >> 10U;
      if (peak > MaxHostMemoryMib && this->OverMemory.insert(host).second) {
        this->Result.Breaches.push_back(
          { "MEMORY", host, "It has used " + std::to_string(peak) + " MiB." });
      }
    }
  }

  gsTime Elapsed() const { return gsLoop::Now() - this->Begin; }

  void Say(std::string const& text)
  {
    char when[24];
    std::snprintf(when, sizeof(when), "%8.3f s  ",
                  gsToSeconds(this->Elapsed()));
    this->Result.Done.push_back(when + text);
    this->Out << this->Result.Done.back() << std::endl;
  }

  void After(gsTime delay, std::function<void()> action)
  {
    this->Laters.push_back({ gsLoop::Now() + delay, std::move(action) });
  }

  void DoDue()
  {
    std::vector<Later> due;
    gsTime now = gsLoop::Now();
    auto isDue = [now](Later const& later) { return later.At <= now; };
    auto border = std::stable_partition(
      this->Laters.begin(), this->Laters.end(),
      [&isDue](Later const& later) { return !isDue(later); });
    due.assign(std::make_move_iterator(border),
               std::make_move_iterator(this->Laters.end()));
    this->Laters.erase(border, this->Laters.end());
    for (Later const& later : due) {
      later.Do();
    }
  }

  /** Notes a trouble; the index by which its end is noted. */
  std::size_t Trouble(gsSoakScope scope, std::string const& host,
                      bool planned = false)
  {
    gsSoakTrouble trouble;
    trouble.Scope = scope;
    trouble.Host = host;
    trouble.Planned = planned;
    trouble.From = gsLoop::Now();
    trouble.To = Unknown;
    this->Record.Troubles.push_back(trouble);
    return this->Record.Troubles.size() - 1;
  }

  void EndTrouble(std::size_t index, gsTime later = {})
  {
    this->Record.Troubles[index].To = gsLoop::Now() + later;
  }

  std::string HostName(int number) const
  {
    return this->System.Hosts()[static_cast<std::size_t>(number)];
  }

  std::string RunnerName(int number) const
  {
    return this->System.Runners()[static_cast<std::size_t>(number)];
  }

  /** Claims a process or link for a fault; false if it has one already. */
  bool Claim(std::string const& what)
  {
    bool claimed = this->Busy.insert(what).second;
    if (!claimed) {
      this->Say("  passed over: " + what + " is not well already");
    }
    return claimed;
  }

  // Steps

  void Carry(gsSoakStep const& step)
  {
    this->Say(gsSoakStepText(step));
    switch (step.Action) {
      case gsSoakAction::StopHost:
        this->EndHost(this->HostName(step.Target), SIGTERM);
        break;
      case gsSoakAction::KillHost:
        this->EndHost(this->HostName(step.Target), SIGKILL);
        break;
      case gsSoakAction::KillAllHosts:
        for (std::string const& host : this->System.Hosts()) {
          this->EndHost(host, SIGKILL);
        }
        break;
      case gsSoakAction::FreezeHost:
        this->Freeze(this->HostName(step.Target), gsSoakScope::Host, step.For);
        break;
      case gsSoakAction::FreezeRunner:
        this->Freeze(this->RunnerName(step.Target), gsSoakScope::Upstreams,
                     step.For);
        break;
      case gsSoakAction::KillRunner:
        this->KillRunner(this->RunnerName(step.Target), step.For);
        break;
      case gsSoakAction::DrainRunner:
        this->DrainRunner(this->RunnerName(step.Target));
        break;
      case gsSoakAction::CutAnswers:
        this->SpoilAnswers(this->RunnerName(step.Target), "cut");
        break;
      case gsSoakAction::CutRunnerLink:
      case gsSoakAction::MuteRunnerLink:
      case gsSoakAction::DelayRunnerLink:
        this->HarmRunnerLink(step);
        break;
      case gsSoakAction::CutStoreLink:
      case gsSoakAction::HoleStoreLink:
      case gsSoakAction::MuteStoreLink:
        this->HarmStoreLink(step);
        break;
      case gsSoakAction::SilentStore:
        this->HarmStore("silent", step.For);
        break;
      case gsSoakAction::BusyStore:
        this->HarmStore("busy", step.For);
        break;
      case gsSoakAction::ForgetfulStore:
        this->System.Control("store", { { "mode", "forget" } });
        break;
      case gsSoakAction::CutPeerLinks:
        this->CutPeers(this->HostName(step.Target), step.For);
        break;
      case gsSoakAction::ChangeConfiguration:
        this->ChangeKeys();
        break;
      case gsSoakAction::ChangeSettings:
        this->ChangeSettings(this->HostName(step.Target));
        break;
      case gsSoakAction::SayLeaving:
        this->SayLeaving(this->RunnerName(step.Target), step.For);
        break;
      case gsSoakAction::ReplaceHost:
        this->ReplaceHost(this->HostName(step.Target));
        break;
      case gsSoakAction::NameLimit:
        this->NameLimit(this->RunnerName(step.Target), step.Rate, step.For);
        break;
      case gsSoakAction::CutUpstreams:
        this->CutUpstreams(this->HostName(step.Target), step.For);
        break;
      case gsSoakAction::LargeConfiguration:
        this->EnlargeConfiguration(step.For);
        break;
      case gsSoakAction::AskForRest:
        this->AskForRest(this->RunnerName(step.Target), step.For);
        break;
      case gsSoakAction::AnswerUnframed:
        this->AnswerUnframed(this->RunnerName(step.Target), step.For);
        break;
      case gsSoakAction::AnswerUnending:
        this->SpoilAnswers(this->RunnerName(step.Target), "unending");
        break;
      case gsSoakAction::FailRuns:
        this->FailRuns(this->RunnerName(step.Target), step.Rate, step.For);
        break;
      case gsSoakAction::StutterAnswers:
        this->StutterAnswers(this->RunnerName(step.Target), step.Rate,
                             step.For);
        break;
    }
  }

  void EndHost(std::string const& host, int signal)
  {
    if (!this->Claim(host)) {
      return;
    }
    bool planned = signal == SIGTERM;
    this->Ending[host] = { this->Trouble(gsSoakScope::Host, host, planned),
                           gsLoop::Now() };
    this->System.Signal(host, signal);
  }

  /** Stops a host, which starts again with the release that it does not run;
   * one that has a fault is replaced a little later. */
  void ReplaceHost(std::string const& host)
  {
    if (this->Busy.count(host) != 0) {
      this->After(gsMilliseconds(500),
                  [this, host] { this->ReplaceHost(host); });
      return;
    }
    bool toThis = this->Replaced.insert(host).second;
    if (!toThis) {
      this->Replaced.erase(host);
    }
    this->System.UseProgram(host, toThis ? gsTestProgram("gradescaled")
                                         : this->Plan.OtherProgram);
    this->Say("  " + host + (toThis ? " to this release" : " taken back"));
    this->EndHost(host, SIGTERM);
  }

  /** Starts hosts again that have ended. */
  void RestartEnded()
  {
    for (auto entry = this->Ending.begin(); entry != this->Ending.end();) {
      auto const& [host, ending] = *entry;
      if (this->System.Running(host)) {
        this->CheckStops(host, ending.Since);
        ++entry;
        continue;
      }
      this->Say("  " + host + " starts again");
      this->System.Restart(host);
      this->EndTrouble(ending.Trouble, StartBound);
      this->Busy.erase(host);
      entry = this->Ending.erase(entry);
    }
  }

  void CheckStops(std::string const& host, gsTime since)
  {
    if (gsLoop::Now() - since > StopBound) {
      this->Result.Breaches.push_back(
        { "LOST", {}, host + " did not end after SIGTERM." });
      this->System.Signal(host, SIGKILL);
    }
  }

  void Freeze(std::string const& process, gsSoakScope scope, gsTime span)
  {
    if (!this->Claim(process)) {
      return;
    }
    std::string host = scope == gsSoakScope::Host ? process : std::string();
    std::size_t trouble = this->Trouble(scope, host);
    this->System.Signal(process, SIGSTOP);
    this->After(span, [this, process, trouble] {
      this->System.Signal(process, SIGCONT);
      this->EndTrouble(trouble, gsSeconds(1));
      this->Busy.erase(process);
    });
  }

  void KillRunner(std::string const& runner, gsTime span)
  {
    if (!this->Claim(runner)) {
      return;
    }
    std::size_t trouble = this->Trouble(gsSoakScope::Upstreams, {});
    this->System.Signal(runner, SIGKILL);
    this->After(span, [this, runner, trouble] {
      this->System.Restart(runner);
      this->EndTrouble(trouble, gsSeconds(1));
      this->Busy.erase(runner);
    });
  }

  /** Planned: nothing may break off unless it came too late. */
  void DrainRunner(std::string const& runner)
  {
    if (!this->Claim(runner)) {
      return;
    }
    this->System.List(runner, true);
    this->Record.Leavings.push_back(
      { this->System.IdOf(runner), gsLoop::Now() });
    this->After(DrainTime, [this, runner] {
      std::size_t trouble = this->Trouble(gsSoakScope::Upstreams, {});
      this->System.Signal(runner, SIGKILL);
      this->System.Restart(runner);
      this->EndTrouble(trouble);
      this->Busy.erase(runner);
    });
  }

  /** It stands as ready in the table, is listed anew so, and is replaced. */
  void SayLeaving(std::string const& runner, gsTime span)
  {
    if (!this->Claim(runner)) {
      return;
    }
    this->System.Control(runner, { { "leaving", true } });
    this->After(span, [this, runner] { this->System.List(runner, false); });
    this->After(span + DrainTime, [this, runner] {
      std::size_t trouble = this->Trouble(gsSoakScope::Upstreams, {});
      this->System.Signal(runner, SIGKILL);
      this->System.Restart(runner);
      this->EndTrouble(trouble);
      this->Busy.erase(runner);
    });
  }

  void AskForRest(std::string const& runner, gsTime span)
  {
    if (!this->Claim(runner)) {
      return;
    }
    auto millis = std::chrono::duration_cast<gsMilliseconds>(span).count();
    std::string const rest = "0.2, " + std::to_string(gsToSeconds(gsSoakRest));
    this->System.Control(runner, { { "rest", rest }, { "rest_ms", millis } });
    this->After(span, [this, runner] { this->Busy.erase(runner); });
  }

  /** Limits may overlap other faults of a runner. A restarted runner names
   * none. */
  void NameLimit(std::string const& runner, double rate, gsTime span)
  {
    std::string const claim = "limit of " + runner;
    if (!this->System.Running(runner) || !this->Claim(claim)) {
      return;
    }
    std::string const id = this->System.IdOf(runner);
    std::size_t number = this->Record.Limits.size();
    this->Record.Limits.push_back({ id, rate, gsLoop::Now(), Unknown });
    this->System.Control(runner, { { "limit", std::to_string(rate) } });
    this->After(span, [this, runner, id, claim, number] {
      this->Record.Limits[number].Until = gsLoop::Now();
      if (this->System.IdOf(runner) == id && this->System.Running(runner)) {
        this->System.Control(runner, { { "limit", "" } });
      }
      this->Busy.erase(claim);
    });
  }

  /** May overlap other faults of a runner. A restarted one states the ends of
   * its answers. */
  void AnswerUnframed(std::string const& runner, gsTime span)
  {
    std::string const claim = "framing of " + runner;
    if (!this->System.Running(runner) || !this->Claim(claim)) {
      return;
    }
    this->System.Control(runner, { { "unframed", true } });
    this->After(span, [this, runner, claim] {
      if (this->System.Running(runner)) {
        this->System.Control(runner, { { "unframed", false } });
      }
      this->Busy.erase(claim);
    });
  }

  /** May overlap other faults of a runner. The runs of a restarted one do not
   * fail. */
  void FailRuns(std::string const& runner, double share, gsTime span)
  {
    std::string const claim = "runs of " + runner;
    if (!this->System.Running(runner) || !this->Claim(claim)) {
      return;
    }
    this->System.Control(runner,
                         { { "fail", share }, { "seed", this->Plan.Seed } });
    this->After(span, [this, runner, claim] {
      if (this->System.Running(runner)) {
        this->System.Control(runner, { { "fail", 0 } });
      }
      this->Busy.erase(claim);
    });
  }

  /** May overlap other faults of a runner. */
  void StutterAnswers(std::string const& runner, double share, gsTime span)
  {
    std::string const claim = "stutter of " + runner;
    if (!this->Claim(claim)) {
      return;
    }
    std::vector<std::string> const links = this->System.LinksTo(runner);
    std::size_t trouble = this->Trouble(gsSoakScope::Upstreams, {});
    std::size_t number = this->Record.Stutters.size();
    this->Record.Stutters.push_back({ runner, gsLoop::Now(), Unknown });
    this->System.Links(
      links,
      { { "stutter", { { "share", share }, { "seed", this->Plan.Seed } } } });
    this->After(span, [this, links, claim, trouble, number] {
      this->System.Links(links, { { "stutter", { { "share", 0 } } } });
      this->Record.Stutters[number].Until = gsLoop::Now();
      this->EndTrouble(trouble, gsSeconds(1));
      this->Busy.erase(claim);
    });
  }

  /** Has some of the runner's next answers spoilt, by a command to it. */
  void SpoilAnswers(std::string const& runner, char const* command)
  {
    if (!this->Claim(runner)) {
      return;
    }
    constexpr int answers = 5;
    std::size_t trouble = this->Trouble(gsSoakScope::Upstreams, {});
    this->System.Control(runner, { { command, answers } });
    this->After(gsSeconds(2), [this, runner, command, trouble] {
      this->System.Control(runner, { { command, 0 } });
      this->EndTrouble(trouble, gsSeconds(1));
      this->Busy.erase(runner);
    });
  }

  void HarmLinks(std::vector<std::string> const& links, gsJson const& harm,
                 std::size_t trouble, gsTime span, std::string const& claim)
  {
    this->System.Links(links, harm);
    this->After(span, [this, links, trouble, claim] {
      this->System.Links(links, { { "mode", "pass" }, { "delay_ms", 0 } });
      this->EndTrouble(trouble, gsSeconds(1));
      this->Busy.erase(claim);
    });
  }

  /** To be called once the links are harmed, for as long as they will be. */
  void RecordSilence(std::string const& runner, gsTime span)
  {
    std::size_t number = this->Record.Silences.size();
    this->Record.Silences.push_back({ runner, gsLoop::Now(), Unknown });
    this->After(span, [this, number] {
      this->Record.Silences[number].Until = gsLoop::Now();
    });
  }

  void HarmRunnerLink(gsSoakStep const& step)
  {
    std::string link = "up:" + this->RunnerName(step.Target);
    if (!this->Claim(link)) {
      return;
    }
    constexpr int delayMillis = 120;
    gsJson harm{ { "mode", "cut" } };
    if (step.Action == gsSoakAction::MuteRunnerLink) {
      harm["mode"] = "mute";
    } else if (step.Action == gsSoakAction::DelayRunnerLink) {
      harm = { { "delay_ms", delayMillis } };
    }
    std::string const runner = this->RunnerName(step.Target);
    this->HarmLinks(this->System.LinksTo(runner), harm,
                    this->Trouble(gsSoakScope::Upstreams, {}), step.For, link);
    if (harm.contains("mode")) {
      this->RecordSilence(runner, step.For);
    }
  }

  /** Cuts a host off from all runners. */
  void CutUpstreams(std::string const& host, gsTime span)
  {
    std::string claim = "upstreams of " + host;
    if (this->Claim(claim)) {
      this->HarmLinks({ "up:" + host + ">*" }, { { "mode", "refuse" } },
                      this->Trouble(gsSoakScope::Upstreams, {}), span, claim);
    }
  }

  /** Gives the configuration many routes and the hosts slow links, and changes
   * a route at short intervals. */
  void EnlargeConfiguration(gsTime span)
  {
    constexpr double slowLink = 10e6 / 8;
    constexpr int routes = 800;
    if (!this->Claim("configuration")) {
      return;
    }
    this->FurtherRoutes = gsJson::array();
    for (int i = 0; i < routes; ++i) {
      this->FurtherRoutes.push_back(
        gsRoutedSystem::MakeRoute("route-" + std::to_string(i * 7919)));
    }
    this->System.LimitBandwidth(this->System.Hosts(), slowLink);
    this->ChangeRoutesUntil(gsLoop::Now() + span);
  }

  void ChangeRoutesUntil(gsTime end)
  {
    constexpr gsTime interval = gsMilliseconds(400);
    if (gsLoop::Now() >= end) {
      this->FurtherRoutes = gsJson::array();
      this->System.LimitBandwidth(this->System.Hosts(), 0);
      this->System.Configure(this->Keys);
      this->Busy.erase("configuration");
      return;
    }
    this->FurtherRoutes.front()["priority"] = ++this->RouteChanges;
    this->System.Configure(this->Keys, this->FurtherRoutes);
    this->After(interval, [this, end] { this->ChangeRoutesUntil(end); });
  }

  void HarmStoreLink(gsSoakStep const& step)
  {
    std::string host = this->HostName(step.Target);
    std::string link = "store:" + host;
    if (!this->Claim(link)) {
      return;
    }
    char const* mode = step.Action == gsSoakAction::CutStoreLink    ? "cut"
                       : step.Action == gsSoakAction::HoleStoreLink ? "hole"
                                                                    : "mute";
    this->HarmLinks({ link }, { { "mode", mode } },
                    this->Trouble(gsSoakScope::Store, host), step.For, link);
  }

  void HarmStore(char const* mode, gsTime span)
  {
    if (!this->Claim("store")) {
      return;
    }
    std::size_t trouble = this->Trouble(gsSoakScope::Store, {});
    this->System.Control("store", { { "mode", mode } });
    this->After(span, [this, trouble] {
      this->System.Control("store", { { "mode", "pass" } });
      this->EndTrouble(trouble, gsSeconds(1));
      this->Busy.erase("store");
    });
  }

  void CutPeers(std::string const& host, gsTime span)
  {
    std::string claim = "peers of " + host;
    if (!this->Claim(claim)) {
      return;
    }
    std::vector<std::string> links{ "peer:" + host + ">*" };
    for (std::string const& other : this->System.Hosts()) {
      if (other != host) {
        std::string link = "peer:";
        links.push_back(link.append(other).append(">").append(host));
      }
    }
    this->HarmLinks(links, { { "mode", "hole" } },
                    this->Trouble(gsSoakScope::Host, host), span, claim);
  }

  void ChangeKeys()
  {
    std::string gone = this->Keys.back();
    this->Keys = { LastingKey, "key-" + std::to_string(++this->LastKey) };
    this->System.Configure(this->Keys, this->FurtherRoutes);
    this->Record.Revoked.push_back({ gone, gsLoop::Now() });
    this->OldKeys.push_back(gone);
  }

  void ChangeSettings(std::string const& host)
  {
    if (this->Ending.count(host) != 0) {
      return;
    }
    constexpr int most = 40;
    int burst = std::uniform_int_distribution<int>(1, most)(this->Random);
    this->System.ChangeSettings(host, burst);
    this->System.Signal(host, SIGHUP);
  }

  // Traffic

  std::string PickKey()
  {
    std::uniform_real_distribution<double> share(0, 1);
    if (share(this->Random) >= OtherKeyShare) {
      return LastingKey;
    }
    std::vector<std::string> keys{ this->Keys.back() };
    keys.insert(keys.end(), this->OldKeys.begin(), this->OldKeys.end());
    std::uniform_int_distribution<std::size_t> pick(0, keys.size() - 1);
    return keys[pick(this->Random)];
  }

  void SendDue()
  {
    auto due = static_cast<std::size_t>(gsToSeconds(this->Elapsed()) *
                                        RequestsPerSecond);
    constexpr char const* routes[] = { "plain", "safe", "stream", "resume" };
    std::uniform_int_distribution<std::size_t> route(0, 3);
    std::uniform_int_distribution<int> host(0, this->Plan.Hosts - 1);
    std::uniform_real_distribution<double> share(0, 1);
    while (this->Record.Replies.size() < due) {
      std::string const chosen = routes[route(this->Random)];
      std::string const asked = this->HostName(host(this->Random));
      if (chosen == "plain" && share(this->Random) < PiecesShare) {
        double split = share(this->Random);
        gsTime pause =
          gsFromSeconds(gsToSeconds(LongestPause) * share(this->Random));
        this->Record.Replies.push_back(
          this->System.SendInPieces(asked, this->PickKey(), split, pause));
        continue;
      }
      gsRoutedReplyPtr reply =
        this->System.Send(asked, chosen, this->PickKey());
      this->Record.Replies.push_back(reply);
      if (share(this->Random) < LeaveShare) {
        constexpr double longest = 0.25;
        this->After(gsFromSeconds(longest * share(this->Random)),
                    [this, reply] {
                      if (!reply->Done) {
                        this->System.Leave(reply);
                      }
                    });
      }
    }
  }

  // The end

  /** Carries out all that was to be done later, and waits for the ends. */
  void Heal()
  {
    this->System.RunUntil(
      [this] {
        this->DoDue();
        this->RestartEnded();
        return this->Laters.empty() && this->Ending.empty();
      },
      gsToSeconds(StopBound + gsSeconds(6)));
    this->Say("all faults are over");
  }

  void Recover()
  {
    for (std::string const& host : this->System.Hosts()) {
      bool ready = this->System.RunUntil(
        [this, &host] { return this->System.Ready(host); },
        gsToSeconds(RecoverBound));
      if (!ready) {
        this->Result.Breaches.push_back(
          { "RECOVER", {}, host + " did not become ready again." });
        continue;
      }
      for (char const* route : { "plain", "safe", "stream", "resume" }) {
        this->ExpectServed(host, route);
      }
    }
    this->System.RunUntil([this] {
      return std::all_of(
        this->Record.Replies.begin(), this->Record.Replies.end(),
        [](gsRoutedReplyPtr const& reply) { return reply->Done; });
    });
  }

  void ExpectServed(std::string const& host, char const* route)
  {
    constexpr int tries = 5;
    for (int i = 0; i < tries; ++i) {
      gsRoutedReplyPtr reply = this->System.SendAndWait(host, route);
      this->Record.Replies.push_back(reply);
      if (reply->Good()) {
        return;
      }
      this->System.RunFor(0.3);
    }
    this->Result.Breaches.push_back(
      { "RECOVER",
        {},
        host + " serves no " + route + " after all faults are over." });
  }

  gsSoakResult Conclude()
  {
    this->Record.Rest = gsSoakRest;
    this->Record.Arrivals = this->System.AllArrivals();
    this->Record.Runs = this->System.AllRuns();
    std::vector<gsSoakBreach> found = gsCheckSoak(this->Record);
    this->Result.Breaches.insert(this->Result.Breaches.end(), found.begin(),
                                 found.end());
    this->Result.Requests = this->Record.Replies.size();
    this->Result.Runs = this->Record.Runs.size();
    for (gsRoutedReplyPtr const& reply : this->Record.Replies) {
      constexpr unsigned unavailable = 503;
      this->Result.Served += reply->Good() ? 1 : 0;
      this->Result.Refused += reply->Status == unavailable ? 1 : 0;
    }
    return std::move(this->Result);
  }

  struct EndingHost
  {
    std::size_t Trouble = 0;
    gsTime Since{};
  };

  gsSoakPlan const& Plan;
  std::ostream& Out;
  gsRoutedSystem System;
  std::mt19937_64 Random;
  gsTime Begin{};
  gsSoakRecord Record;
  gsSoakResult Result;
  std::vector<Later> Laters;
  gsTime MemoryCheckedAt{};
  std::set<std::string> OverMemory; ///< Hosts that were over their limit.
  std::set<std::string> Busy;       ///< Processes and links that have a fault.
  std::map<std::string, EndingHost> Ending;
  std::set<std::string> Replaced; ///< Hosts that run this release by now.
  std::vector<std::string> Keys;  ///< In the newest configuration.
  std::vector<std::string> OldKeys;
  int LastKey = 2;
  gsJson FurtherRoutes = gsJson::array(); ///< Of a large configuration.
  int RouteChanges = 0;
};

} // namespace

gsSoakResult gsRunSoak(gsSoakPlan const& plan, std::ostream& out)
{
  return Soak(plan, out).Run();
}

void gsPrintSoak(gsSoakPlan const& plan, gsSoakResult const& result,
                 std::ostream& out)
{
  out << "seed " << plan.Seed << ": " << result.Requests << " requests, "
      << result.Served << " served, " << result.Refused << " refused, "
      << result.Runs << " runs, " << plan.Steps.size() << " steps, "
      << result.Breaches.size() << " promises broken\n";
  if (result.Breaches.empty()) {
    return;
  }
  for (gsSoakBreach const& breach : result.Breaches) {
    out << "  " << breach.Promise << ' ' << breach.Request << ": "
        << breach.Detail << '\n';
  }
  out << "plan:\n";
  for (gsSoakStep const& step : plan.Steps) {
    out << "  " << gsSoakStepText(step) << '\n';
  }
  out << "again: ./bootstrap soak --seed " << plan.Seed << " --seconds "
      << gsToSeconds(plan.Length) << " --hosts " << plan.Hosts << " --runners "
      << plan.Runners << '\n';
}
