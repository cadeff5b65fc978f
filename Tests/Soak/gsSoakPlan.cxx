/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsSoakPlan.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace {

constexpr gsTime FirstStep = gsMilliseconds(2500);
/** Faults end, and the system is looked at, in the last seconds. */
constexpr gsTime Calm = gsSeconds(4);

struct Kind
{
  gsSoakAction Action;
  int Weight;
  bool Lasts;
};

constexpr std::array<Kind, 20> Kinds{ {
  { gsSoakAction::StopHost, 4, false },
  { gsSoakAction::KillHost, 3, false },
  { gsSoakAction::FreezeHost, 2, true },
  { gsSoakAction::KillAllHosts, 1, false },
  { gsSoakAction::KillRunner, 3, true },
  { gsSoakAction::DrainRunner, 4, false },
  { gsSoakAction::FreezeRunner, 2, true },
  { gsSoakAction::CutAnswers, 3, false },
  { gsSoakAction::CutRunnerLink, 2, true },
  { gsSoakAction::MuteRunnerLink, 2, true },
  { gsSoakAction::DelayRunnerLink, 2, true },
  { gsSoakAction::CutStoreLink, 2, true },
  { gsSoakAction::HoleStoreLink, 2, true },
  { gsSoakAction::MuteStoreLink, 2, true },
  { gsSoakAction::SilentStore, 2, true },
  { gsSoakAction::BusyStore, 2, true },
  { gsSoakAction::ForgetfulStore, 2, false },
  { gsSoakAction::CutPeerLinks, 2, true },
  { gsSoakAction::ChangeConfiguration, 5, false },
  { gsSoakAction::ChangeSettings, 2, false },
} };

bool ConcernsRunner(gsSoakAction action)
{
  return action >= gsSoakAction::KillRunner &&
         action <= gsSoakAction::DelayRunnerLink;
}

/** Adds what runners say of themselves, between the other steps. */
void AddWords(gsSoakPlan& plan)
{
  constexpr std::uint64_t salt = 0x9e3779b97f4a7c15;
  std::mt19937_64 random(plan.Seed ^ salt);
  std::uniform_real_distribution<double> pause(0.5, 4.0);
  std::uniform_real_distribution<double> duration(0.2, 1.5);
  std::uniform_int_distribution<int> runner(0, plan.Runners - 1);
  std::bernoulli_distribution leaves(0.4);
  for (gsTime at = FirstStep; at < plan.Length - Calm;
       at += gsFromSeconds(pause(random))) {
    gsSoakStep step;
    step.At = at;
    step.Action =
      leaves(random) ? gsSoakAction::SayLeaving : gsSoakAction::AskForRest;
    step.Target = runner(random);
    step.For = gsFromSeconds(duration(random));
    plan.Steps.push_back(step);
  }
  std::stable_sort(
    plan.Steps.begin(), plan.Steps.end(),
    [](gsSoakStep const& a, gsSoakStep const& b) { return a.At < b.At; });
}

} // namespace

char const* gsSoakActionWord(gsSoakAction action)
{
  constexpr std::array<char const*, Kinds.size() + 10> words{
    "stop_host",         "kill_host",
    "freeze_host",       "kill_all_hosts",
    "kill_runner",       "drain_runner",
    "freeze_runner",     "cut_answers",
    "cut_runner_link",   "mute_runner_link",
    "delay_runner_link", "cut_store_link",
    "hole_store_link",   "mute_store_link",
    "silent_store",      "busy_store",
    "forgetful_store",   "cut_peer_links",
    "configuration",     "settings",
    "say_leaving",       "ask_for_rest",
    "name_limit",        "replace_host",
    "cut_upstreams",     "large_configuration",
    "answer_unframed",   "answer_unending",
    "fail_runs",         "stutter_answers"
  };
  return words.at(static_cast<std::size_t>(action));
}

gsSoakPlan gsMakeSoakPlan(std::uint64_t seed, gsTime length, int hosts,
                          int runners)
{
  gsSoakPlan plan;
  plan.Seed = seed;
  plan.Length = length;
  plan.Hosts = hosts;
  plan.Runners = runners;
  std::mt19937_64 random(seed);
  std::array<double, Kinds.size()> weights{};
  std::transform(Kinds.begin(), Kinds.end(), weights.begin(),
                 [](Kind const& kind) { return kind.Weight; });
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  std::uniform_real_distribution<double> pause(0.05, 2.0);
  std::uniform_real_distribution<double> duration(0.3, 5.0);
  gsTime at = FirstStep;
  while (at < length - Calm) {
    Kind const& kind = Kinds.at(pick(random));
    int targets = ConcernsRunner(kind.Action) ? runners : hosts;
    gsSoakStep step;
    step.At = at;
    step.Action = kind.Action;
    step.Target = std::uniform_int_distribution<int>(0, targets - 1)(random);
    if (kind.Lasts) {
      gsTime most = length - Calm - at;
      step.For = std::min(most, gsFromSeconds(duration(random)));
    }
    plan.Steps.push_back(step);
    at += gsFromSeconds(pause(random));
  }
  AddWords(plan);
  return plan;
}

void gsAddRateLimits(gsSoakPlan& plan)
{
  constexpr std::uint64_t salt = 0xd1b54a32d192ed03;
  std::mt19937_64 random(plan.Seed ^ salt);
  std::uniform_real_distribution<double> pause(0.5, 5.0);
  std::uniform_real_distribution<double> duration(4.0, 12.0);
  std::uniform_real_distribution<double> rate(1.0, 10.0);
  std::uniform_int_distribution<int> runner(0, plan.Runners - 1);
  for (gsTime at = FirstStep; at < plan.Length - Calm;
       at += gsFromSeconds(pause(random))) {
    gsSoakStep step;
    step.At = at;
    step.Action = gsSoakAction::NameLimit;
    step.Target = runner(random);
    step.For =
      std::min(plan.Length - Calm - at, gsFromSeconds(duration(random)));
    step.Rate = rate(random);
    plan.Steps.push_back(step);
  }
  std::stable_sort(
    plan.Steps.begin(), plan.Steps.end(),
    [](gsSoakStep const& a, gsSoakStep const& b) { return a.At < b.At; });
}

void gsAddCutsAndLargeConfigurations(gsSoakPlan& plan)
{
  constexpr std::uint64_t salt = 0x8cb92ba72f3d8dd7;
  std::mt19937_64 random(plan.Seed ^ salt);
  std::uniform_real_distribution<double> pause(0.3, 3.0);
  std::uniform_real_distribution<double> duration(0.5, 5.0);
  std::uniform_int_distribution<int> host(0, plan.Hosts - 1);
  std::bernoulli_distribution cuts(0.7);
  gsLeaveWordsOut(plan);
  plan.LinkPerHost = true;
  for (gsTime at = FirstStep; at < plan.Length - Calm;
       at += gsFromSeconds(pause(random))) {
    gsSoakStep step;
    step.At = at;
    step.Action = cuts(random) ? gsSoakAction::CutUpstreams
                               : gsSoakAction::LargeConfiguration;
    step.Target = host(random);
    step.For =
      std::min(plan.Length - Calm - at, gsFromSeconds(duration(random)));
    plan.Steps.push_back(step);
  }
  std::stable_sort(
    plan.Steps.begin(), plan.Steps.end(),
    [](gsSoakStep const& a, gsSoakStep const& b) { return a.At < b.At; });
}

void gsAddUnframedAnswers(gsSoakPlan& plan)
{
  constexpr std::uint64_t salt = 0xa0761d6478bd642f;
  std::mt19937_64 random(plan.Seed ^ salt);
  std::uniform_real_distribution<double> pause(0.2, 1.5);
  std::uniform_real_distribution<double> duration(2.0, 8.0);
  std::uniform_int_distribution<int> runner(0, plan.Runners - 1);
  std::bernoulli_distribution cuts(0.4);
  for (gsTime at = FirstStep; at < plan.Length - Calm;
       at += gsFromSeconds(pause(random))) {
    gsSoakStep step;
    step.At = at;
    step.Action =
      cuts(random) ? gsSoakAction::CutAnswers : gsSoakAction::AnswerUnframed;
    step.Target = runner(random);
    step.For =
      std::min(plan.Length - Calm - at, gsFromSeconds(duration(random)));
    plan.Steps.push_back(step);
  }
  std::stable_sort(
    plan.Steps.begin(), plan.Steps.end(),
    [](gsSoakStep const& a, gsSoakStep const& b) { return a.At < b.At; });
}

void gsAddUnendingAnswers(gsSoakPlan& plan)
{
  constexpr std::uint64_t salt = 0xe7037ed1a0b428db;
  std::mt19937_64 random(plan.Seed ^ salt);
  std::uniform_real_distribution<double> pause(0.3, 1.5);
  std::uniform_int_distribution<int> runner(0, plan.Runners - 1);
  for (gsTime at = FirstStep; at < plan.Length - Calm;
       at += gsFromSeconds(pause(random))) {
    gsSoakStep step;
    step.At = at;
    step.Action = gsSoakAction::AnswerUnending;
    step.Target = runner(random);
    plan.Steps.push_back(step);
  }
  std::stable_sort(
    plan.Steps.begin(), plan.Steps.end(),
    [](gsSoakStep const& a, gsSoakStep const& b) { return a.At < b.At; });
}

void gsAddStutter(gsSoakPlan& plan)
{
  constexpr std::uint64_t salt = 0x589965cc75374cc3;
  std::mt19937_64 random(plan.Seed ^ salt);
  std::uniform_real_distribution<double> pause(0.1, 0.6);
  std::uniform_real_distribution<double> duration(2.0, 8.0);
  std::uniform_real_distribution<double> failing(0.05, 0.5);
  std::uniform_real_distribution<double> stuttering(0.2, 0.9);
  std::uniform_int_distribution<int> runner(0, plan.Runners - 1);
  std::bernoulli_distribution fails(0.5);
  for (gsTime at = FirstStep; at < plan.Length - Calm;
       at += gsFromSeconds(pause(random))) {
    gsSoakStep step;
    step.At = at;
    bool isFailing = fails(random);
    step.Action =
      isFailing ? gsSoakAction::FailRuns : gsSoakAction::StutterAnswers;
    step.Target = runner(random);
    step.For =
      std::min(plan.Length - Calm - at, gsFromSeconds(duration(random)));
    step.Rate = isFailing ? failing(random) : stuttering(random);
    plan.Steps.push_back(step);
  }
  std::stable_sort(
    plan.Steps.begin(), plan.Steps.end(),
    [](gsSoakStep const& a, gsSoakStep const& b) { return a.At < b.At; });
}

void gsLeaveWordsOut(gsSoakPlan& plan)
{
  auto isWord = [](gsSoakStep const& step) {
    return step.Action == gsSoakAction::SayLeaving ||
           step.Action == gsSoakAction::AskForRest;
  };
  plan.Steps.erase(
    std::remove_if(plan.Steps.begin(), plan.Steps.end(), isWord),
    plan.Steps.end());
}

void gsReplaceHostsInTurn(gsSoakPlan& plan, std::string otherProgram)
{
  plan.OtherProgram = std::move(otherProgram);
  gsTime span = plan.Length - Calm - FirstStep;
  gsTime gap = span / (2 * plan.Hosts);
  for (int i = 0; i < 2 * plan.Hosts; ++i) {
    gsSoakStep step;
    step.At = FirstStep + gap * i;
    step.Action = gsSoakAction::ReplaceHost;
    step.Target = i % plan.Hosts;
    plan.Steps.push_back(step);
  }
  std::stable_sort(
    plan.Steps.begin(), plan.Steps.end(),
    [](gsSoakStep const& a, gsSoakStep const& b) { return a.At < b.At; });
}

std::string gsSoakStepText(gsSoakStep const& step)
{
  char text[96];
  std::snprintf(text, sizeof(text), "%7.3f s %s %d for %.3f s",
                gsToSeconds(step.At), gsSoakActionWord(step.Action),
                step.Target, gsToSeconds(step.For));
  return text;
}
