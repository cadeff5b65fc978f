/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Checks the promises of the routed mode from what callers and runners saw.
 * Promises that hold at any time are checked for every request; those that
 * bind only hosts in touch, where no fault concerned the host for a while.
 */
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gsRoutedSystem.h"

/** Whom a fault concerned. */
enum class gsSoakScope
{
  Host,     ///< One host's process, or its links to other hosts.
  Store,    ///< The store, or one host's way to it.
  Upstreams ///< A runner or its link.
};

/** A time during which something was not well. */
struct gsSoakTrouble
{
  gsSoakScope Scope = gsSoakScope::Host;
  std::string Host;     ///< Empty: all hosts.
  bool Planned = false; ///< A stop by SIGTERM.
  gsTime From{};
  gsTime To{};
};

/** A runner that was listed as leaving, or a key that was taken away. */
struct gsSoakNotice
{
  std::string Name;
  gsTime At{}; ///< Of the store's acknowledgement.
};

/** A rate limit named by an incarnation of a runner. */
struct gsSoakLimit
{
  std::string Runner;
  double Rate = 0; ///< Requests per second.
  gsTime From{};
  gsTime Until{};
};

/** A time in which no answer of a runner came through its links. */
struct gsSoakSilence
{
  std::string Runner;
  gsTime From{};
  gsTime Until{};
};

/** All that was seen in one run. */
struct gsSoakRecord
{
  std::vector<gsRoutedReplyPtr> Replies;
  std::vector<gsRoutedRun> Runs;
  /** What reached runners: the runs, and what was turned away, for a rest of
   * Rest or at capacity. */
  std::vector<gsRoutedRun> Arrivals;
  gsTime Rest{};
  /** At a planned stop, hosts answer every request on a kept connection. */
  bool AnswersKept = false;
  /** Runners answered without stating an end. Otherwise an answer that ends
   * with its connection is not complete. */
  bool HasUnframedAnswers = false;
  std::vector<gsSoakTrouble> Troubles;
  std::vector<gsSoakNotice> Leavings; ///< Of runners' incarnations.
  std::vector<gsSoakNotice> Revoked;  ///< Keys.
  std::vector<gsSoakLimit> Limits;
  std::vector<gsSoakSilence> Silences;
  /** Times in which a surplus answer of a runner may have come in the place of
   * another one, which its host then has not read. */
  std::vector<gsSoakSilence> Stutters;
  /** Keys that every configuration of the run has held. */
  std::vector<std::string> LastingKeys;
  /** What the caller of a whole answer should have got. */
  std::function<std::string(gsRoutedReply const& reply)> Expected;
};

/** A contradiction of a promise. */
struct gsSoakBreach
{
  std::string Promise; ///< The name of the users' rule.
  std::string Request;
  std::string Detail; ///< One sentence.
};

std::vector<gsSoakBreach> gsCheckSoak(gsSoakRecord const& record);
