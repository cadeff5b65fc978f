/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What reading a prompt does to the streams beside it. An engine makes its
 * streams' tokens in steps; while it reads a prompt, each step reads a piece
 * of it too and takes so much longer. So a stream's pause grows by the time
 * that the engine reads between two of its events, and a prompt that is read
 * for longer than a stream may pause can make it miss its target.
 *
 * A host learns both times from its own requests: how long an engine takes
 * for a prompt token, and for an event when nothing is read. It is assumed
 * that a prompt is read whole, as it is when the engine keeps none of it, and
 * that engines of a service differ little beside the span of prompt lengths.
 */
#pragma once

#include <cstdint>

#include "gsTypes.h"

/** How fast a service's engines are, as this host has measured. */
struct gsEnginePace
{
  /** Time for a prompt token, milliseconds: a low quantile, since what the
   * request waited for before it was read counts too. */
  double TokenMillis = 0.03;
  /** Time between events when nothing is read, milliseconds; a low quantile.
   * Zero until there were some. */
  double EventMillis = 0;
  /** Longest pauses of late, milliseconds: an event that many steps make, each
   * of which reads a piece of some prompt. A high quantile, zero at first. */
  double BusyMillis = 0;
  /** Mean time in which the prompts that interfere are read, milliseconds;
   * zero until there was one. */
  double LongReadMillis = 0;
  /** Targets of these prompts, as multiples of the time to read one; the mean,
   * zero until there was one. */
  double LongRoom = 0;
};

/** What a stream and the others of its service bear. */
struct gsPauseTargets
{
  double OwnMillis = 0;      ///< Longest pause; 0 for no limit.
  double TightestMillis = 0; ///< Least of all streams there; 0 for no limit.
  double FirstMillis = 0;    ///< Until the first event; 0 for no limit.
};

/** Which requests an engine is for, and what a request is to others. */
enum class gsFleetGroup
{
  Any,  ///< Neither interferes nor suffers; goes to any engine.
  Long, ///< Reading its prompt may make streams beside it miss their targets.
  Tight ///< A stream that may miss its target beside such prompts.
};

/**
 * Whether prompts that interfere have targets so short that they miss them
 * where some are read one after another. They may go to all engines then, when
 * those that are for them do not keep up.
 */
bool gsIsPressed(gsEnginePace const& pace);

/** Notes how long a request's first byte took, and what was to be read. */
void gsNoteReading(gsEnginePace& pace, double tokens, gsTime took);

/** Notes a pause between two events of a stream. */
void gsNoteEvent(gsEnginePace& pace, gsTime pause);

/** Time by which reading so many tokens lengthens a pause; milliseconds. */
double gsReadMillis(gsEnginePace const& pace, double tokens);

/**
 * Chance that a stream misses its target for pauses on an engine that sends an
 * event in so many milliseconds, zero if unknown, when that reads prompts all
 * along: 0 to 1.
 */
double gsPauseRisk(gsEnginePace const& pace, double engineMillis,
                   double targetMillis);

/** What a request with so long a prompt, in tokens, is to others. */
gsFleetGroup gsGroupByInterference(gsEnginePace const& pace,
                                   gsPauseTargets const& targets,
                                   double tokens);

/** The same; counts a prompt that interferes towards the mean of them. */
gsFleetGroup gsNoteInterference(gsEnginePace& pace,
                                gsPauseTargets const& targets, double tokens);
