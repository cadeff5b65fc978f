/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What a soak does to a system and when. A seed names the whole plan: the
 * same seed gives the same steps, in series and overlapping.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gsTypes.h"

/** A fault or planned work. */
enum class gsSoakAction
{
  StopHost,     ///< SIGTERM, and a new start after its end.
  KillHost,     ///< SIGKILL, and a new start.
  FreezeHost,   ///< SIGSTOP for a while.
  KillAllHosts, ///< All at once, and new starts.
  KillRunner,
  DrainRunner, ///< Listed as leaving, then stopped, then replaced.
  FreezeRunner,
  CutAnswers, ///< Some of the runner's next answers break off.
  CutRunnerLink,
  MuteRunnerLink, ///< Nothing comes back from the runner.
  DelayRunnerLink,
  CutStoreLink,  ///< Of one host: connections are reset.
  HoleStoreLink, ///< Of one host: nothing is carried.
  MuteStoreLink, ///< Of one host: nothing comes back.
  SilentStore,
  BusyStore,
  ForgetfulStore, ///< Drops its history, once.
  CutPeerLinks,   ///< Between one host and all others.
  ChangeConfiguration,
  ChangeSettings, ///< A new settings file, and SIGHUP.
  SayLeaving,     ///< A runner says it in its answers alone, and is replaced.
  AskForRest,     ///< A runner turns all away and asks for rest.
  NameLimit,      ///< A runner names a rate limit in its answers.
  ReplaceHost,    ///< SIGTERM, and a new start with the other release.
  CutUpstreams,   ///< Of one host: no connection to any runner can be made.
  /** The configuration has many routes and changes often, on slow links. */
  LargeConfiguration,
  AnswerUnframed, ///< A runner's answers state no end for a while.
  AnswerUnending, ///< Some of the runner's next answers have no end.
  FailRuns,       ///< A share of a runner's runs answers 500 for a while.
  StutterAnswers  ///< A runner answers a share of requests twice for a while.
};

char const* gsSoakActionWord(gsSoakAction action);

struct gsSoakStep
{
  gsTime At{}; ///< From the beginning of traffic.
  gsSoakAction Action = gsSoakAction::KillHost;
  int Target = 0; ///< Number of the host or runner.
  gsTime For{};   ///< Zero for what has no duration.
  /** Rate limit in requests per second, or the share of runs or answers. */
  double Rate = 0;
};

/** Rest that a runner asks for; the longer one of two values of a header. */
constexpr gsTime gsSoakRest = gsMilliseconds(1500);

struct gsSoakPlan
{
  std::uint64_t Seed = 0;
  gsTime Length = gsSeconds(20);
  int Hosts = 3;
  int Runners = 4;
  /** Each host has links of its own to the runners. */
  bool LinkPerHost = false;
  /** Daemon of another release with which all hosts start; empty for none. */
  std::string OtherProgram;
  std::vector<gsSoakStep> Steps; ///< By time.
};

/** The plan of a seed; the last seconds are without new steps. What runners
 * say of themselves is drawn apart, so that the other steps of a seed stay. */
gsSoakPlan gsMakeSoakPlan(std::uint64_t seed, gsTime length, int hosts,
                          int runners);

/** Adds steps in which runners name rate limits, with times and rates derived
 * from the seed; other steps are unchanged. */
void gsAddRateLimits(gsSoakPlan& plan);

/**
 * Adds steps in which hosts are cut off from all runners, and in which a large
 * configuration changes often. Takes out what runners say of themselves: its
 * checks take the host that a caller sent to for the one that sent to the
 * runner, which a forwarded request has not. Other steps are unchanged.
 */
void gsAddCutsAndLargeConfigurations(gsSoakPlan& plan);

/** Adds steps in which runners' answers state no end, beside those in which
 * answers break off; other steps are unchanged. */
void gsAddUnframedAnswers(gsSoakPlan& plan);

/** Adds steps in which runners' answers have no end, in an event or in a body;
 * other steps are unchanged. */
void gsAddUnendingAnswers(gsSoakPlan& plan);

/** Adds steps in which runs fail by themselves, and steps in which runners
 * answer twice, the second time late, whole or in part; other steps are
 * unchanged. */
void gsAddStutter(gsSoakPlan& plan);

/** Takes out what runners say of themselves in their answers. */
void gsLeaveWordsOut(gsSoakPlan& plan);

/**
 * Makes a plan one of two releases: all hosts start with the other one, are
 * replaced by this one in turn, and then taken back, while the other steps go
 * on. Length of the plan over four times the hosts' number of seconds, so that
 * each is ready before the next one goes.
 */
void gsReplaceHostsInTurn(gsSoakPlan& plan, std::string otherProgram);

/** One line for a step. */
std::string gsSoakStepText(gsSoakStep const& step);
