/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Applies the memory budget of a host (gsMemoryBudget) to its callers and
 * upstreams: refuses bodies, limits what waits for the caller of a stream, and
 * ends callers and upstreams that take nothing, and answers that exceed the
 * budget while they are received. In a dry run it decides and logs only.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "gsFeatureMode.h"
#include "gsHttpClient.h"
#include "gsHttpServer.h"
#include "gsLoop.h"
#include "gsMemoryBudget.h"
#include "gsMetrics.h"
#include "gsUpstreamCaller.h"

struct gsMemoryGuardSettings
{
  gsFeatureMode Mode = gsFeatureMode::Off;
  gsMemorySettings Budget;
  gsTime MinRetryAfter = gsMilliseconds(300); ///< Of a refusal.
  /** Interval between looks at what callers and upstreams have taken. */
  gsTime SweepInterval = gsMilliseconds(200);
};

class gsMemoryGuard
{
public:
  /** Takes effect if the mode is not off. The loop and the other objects must
   * outlive this one. There is at least one server. */
  gsMemoryGuard(gsLoop& loop, gsMemoryGuardSettings settings,
                std::vector<gsHttpServer*> servers, gsHttpClient& client,
                gsUpstreamCaller& upstreams, std::uint64_t seed);
  ~gsMemoryGuard();
  gsMemoryGuard(gsMemoryGuard const&) = delete;
  gsMemoryGuard& operator=(gsMemoryGuard const&) = delete;

  /** Limits the buffers of a server and a client that do not have connections
   * yet, if the mode is on. */
  static void LimitBuffers(gsFeatureMode mode, gsHttpServerSettings& callers,
                           gsHttpClient& client);

  gsMemoryUse Use() const;
  /** Memory that has to be released by ending callers that do not come on. */
  gsMemoryShortage Shortage() const;
  nlohmann::json Status() const;
  void WriteGauges(gsMetrics& metrics) const;

private:
  enum class Ended
  {
    CallerStalled,
    CallerOverBudget,
    UpstreamStalled,
    AnswerOverBudget
  };

  bool IsOn() const { return this->Settings.Mode == gsFeatureMode::On; }
  bool AcceptsBody(gsHttpExchange& exchange, std::uint64_t bytes);
  bool AcceptsRequest(gsHttpExchange& exchange);
  bool CountRefusal(gsHttpExchange& exchange, std::uint64_t bytes,
                    gsMemoryUse const& use);
  void Refuse(gsHttpExchange& exchange);
  std::uint64_t StreamLimit();
  void RecordUse();
  void Measure(gsTime now);
  void MeasureIfGrown();
  void LogRefusal(gsHttpExchange const& exchange, std::uint64_t bytes,
                  gsMemoryUse const& use);
  void OnAnswerGrown();
  void Sweep();
  void SweepAnswers();
  void SweepCallers(gsTime now);
  void SweepUploads(gsTime now);

  gsLoop& Loop;
  gsMemoryGuardSettings Settings;
  /** All HTTP listeners of the host, whose callers share its memory. The first
   * one is that of the callers. */
  std::vector<gsHttpServer*> Servers;
  gsHttpClient& Client;
  gsUpstreamCaller& Upstreams;
  gsRandom Random;
  gsTimer SweepTimer;
  bool IsSweepScheduled = false;
  gsTime SweptAt{};
  std::uint64_t Resident = 0; ///< Of the process, when last measured.
  std::uint64_t PeakResident = 0;
  std::uint64_t HeldAtMeasure = 0; ///< Total of all kinds at that time.
  gsTime MeasuredAt{};
  gsTime ReleasedAt{}; ///< When free heap was last returned.
  std::uint64_t PeakBytes = 0;
  gsMemoryUse Peaks; ///< Of each kind, at different times.
  std::uint64_t Refusals = 0;
  gsTime RefusalLoggedAt{};
  std::uint64_t RefusalsNotLogged = 0; ///< Since the last line.
  std::map<Ended, std::uint64_t> EndedCounts;
  /** Callers and calls that a dry run has logged, until they take something or
   * are gone. */
  std::set<gsHttpExchange const*> LoggedCallers;
  std::set<std::uint64_t> LoggedUploads;
  std::set<gsAttempt const*> LoggedAnswers;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};
