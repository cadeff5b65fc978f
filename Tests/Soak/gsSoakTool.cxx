/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Runs soaks with given or fresh seeds; ends with 1 if a promise was broken.
 */
#include <exception>
#include <iostream>
#include <random>
#include <sstream>

#include <CLI/CLI.hpp>

#include "gsSoak.h"

int main(int argc, char** argv)
{
  CLI::App app("Fault soak of the routed mode on real processes.");
  std::uint64_t seed = 0;
  double seconds = 25;
  int hosts = 3;
  int runners = 4;
  int count = 1;
  bool quiet = false;
  std::string other;
  bool otherOnly = false;
  bool noWords = false;
  bool cuts = false;
  bool unframed = false;
  bool unending = false;
  bool stutter = false;
  app.add_option("--seed", seed, "First seed; without it a fresh one.");
  app.add_option("--seconds", seconds, "Length of each run.")
    ->check(CLI::Range(8.0, 3600.0));
  app.add_option("--hosts", hosts, "Entry hosts.")->check(CLI::Range(2, 24));
  app.add_option("--runners", runners, "Runners.")->check(CLI::Range(2, 24));
  app.add_option("--count", count, "Runs, each with the next seed.");
  app
    .add_option("--other", other,
                "Daemon of another release: all hosts start with it, are "
                "replaced by this one in turn and taken back.")
    ->check(CLI::ExistingFile);
  app.add_flag("--other-only", otherOnly, "No host is replaced.");
  app.add_flag("--no-words", noWords,
               "Runners say nothing of themselves: the other release does not "
               "heed it.");
  app.add_flag("--cuts", cuts,
               "Hosts are cut off from all runners, and a large configuration "
               "changes often.");
  app.add_flag("--unframed", unframed,
               "Runners' answers state no end for a while.");
  app.add_flag("--unending", unending,
               "Some of the runners' answers have no end.");
  app.add_flag("--stutter", stutter,
               "Some runs fail, and runners answer some requests twice.");
  app.add_flag("--quiet", quiet, "Verdicts only.");
  CLI11_PARSE(app, argc, argv);
  if (seed == 0) {
    constexpr std::uint64_t range = 1'000'000;
    seed = 1 + std::random_device()() % range;
  }
  int broken = 0;
  try {
    for (int i = 0; i < count; ++i) {
      gsSoakPlan plan = gsMakeSoakPlan(seed + static_cast<std::uint64_t>(i),
                                       gsFromSeconds(seconds), hosts, runners);
      if (noWords) {
        gsLeaveWordsOut(plan);
      } else {
        gsAddRateLimits(plan);
      }
      if (cuts) {
        gsAddCutsAndLargeConfigurations(plan);
      }
      if (unframed) {
        gsAddUnframedAnswers(plan);
      }
      if (unending) {
        gsAddUnendingAnswers(plan);
      }
      if (stutter) {
        gsAddStutter(plan);
      }
      if (otherOnly) {
        plan.OtherProgram = other;
      } else if (!other.empty()) {
        gsReplaceHostsInTurn(plan, other);
      }
      std::ostringstream unseen;
      gsSoakResult result = gsRunSoak(
        plan, quiet ? static_cast<std::ostream&>(unseen) : std::cout);
      gsPrintSoak(plan, result, std::cout);
      std::cout.flush();
      broken += result.Breaches.empty() ? 0 : 1;
    }
  } catch (std::exception const& error) {
    // Caught, so that the processes that were started are ended: a host left
    // over would dial the addresses of whatever runs next.
    std::cerr << "The soak could not go on: " << error.what() << '\n';
    return 1;
  }
  return broken == 0 ? 0 : 1;
}
