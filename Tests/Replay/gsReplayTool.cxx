/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Replays traces of both shapes under all policies and prints a table, or
 * draws a trace into a file.
 */
#include <fstream>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>

#include "gsReplay.h"

namespace {

constexpr char const* Heading =
  "| trace | policy | class | arrived | in target | late first | late gap | "
  "whole | refused | cut | "
  "longest wait | goodput | wasted |\n"
  "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";

void Run(gsTrace const& trace, bool decisions)
{
  gsReplayOptions options;
  for (gsPolicy policy :
       { gsPolicy::Gradescale, gsPolicy::OwnQueues, gsPolicy::RoundRobin }) {
    options.Policy = policy;
    options.Priorities = policy != gsPolicy::RoundRobin;
    gsReplayResult result = gsReplay(trace, options);
    std::cout << gsReplayRows(trace, gsPolicyWord(policy), result);
    if (result.BadRefusals > 0) {
      std::cout << "refused for a lower tier: " << result.BadRefusals << '\n';
    }
  }
  if (!decisions) {
    return;
  }
  auto without = [&](char const* label, auto change) {
    gsReplayOptions changed;
    change(changed);
    std::cout << gsReplayRows(trace, label, gsReplay(trace, changed));
  };
  without("no adaptive limit", [](gsReplayOptions& o) { o.Adaptive = false; });
  without("no in-target first",
          [](gsReplayOptions& o) { o.Pool.ServeInTargetFirst = false; });
  without("no headroom",
          [](gsReplayOptions& o) { o.Pool.MaxHeadroomShare = 0; });
  without("no engine priorities",
          [](gsReplayOptions& o) { o.Priorities = false; });
  without("no affinity",
          [](gsReplayOptions& o) { o.Pool.UseAffinity = false; });
  without("no shares", [](gsReplayOptions& o) { o.Shares = false; });
  without("no ejection", [](gsReplayOptions& o) {
    o.Pool.OutlierFactor = 1e9;
    o.Pool.EjectAfterFailures = 1000000;
  });
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("Replays traces through the core in virtual time.");
  double seconds = 240;
  double load = 3;
  std::uint64_t seed = 1;
  std::string draw;
  bool decisions = false;
  bool faults = true;
  app.add_option("--seconds", seconds, "Length of each trace.");
  app.add_option("--load", load, "Demand in the peak over capacity.");
  app.add_option("--seed", seed, "Seed of the traces.");
  app.add_option("--draw", draw, "Write the traces into this folder.");
  app.add_flag("--faults,!--no-faults", faults, "Engines slow and crash.");
  app.add_flag("--decisions", decisions, "Also without each decision.");
  CLI11_PARSE(app, argc, argv);
  std::cout << Heading;
  for (gsTraceShape shape :
       { gsTraceShape::ContestWeekend, gsTraceShape::PrintDeadline }) {
    gsTrace trace = gsDrawTrace(shape, gsFromSeconds(seconds), load, seed);
    if (!faults) {
      trace.Faults.clear();
    }
    if (!draw.empty()) {
      std::ofstream(draw + "/" + trace.Name + ".csv") << gsTraceToText(trace);
    }
    Run(trace, decisions);
  }
  return 0;
}
