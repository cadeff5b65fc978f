/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A simulation of hosts that place requests of three kinds on engines that
 * admit by urgency, with load data that is some tenths of a second old.
 *
 * An engine processes one prompt at a time and runs as many requests as it has
 * slots. It takes the most urgent waiting request when a slot is free, and
 * rejects requests beyond its queue. Callers leave if there is no first event
 * within their patience. Refused callers return once, when they were told to.
 */
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "gsFleet.h"
#include "gsPlacement.h"

namespace gsUrgencySimulation {

constexpr std::size_t KindCount = 3; ///< 0 is the most urgent.

/** Properties of the requests of one kind; times in milliseconds. */
struct Kind
{
  std::uint32_t PromptTokens;
  std::uint32_t AnswerTokens;
  double HoldMillis; ///< From the first event to the end.
  double TargetMillis;
  double PatienceMillis;
  double Share; ///< Of the slot time of all requests.
  bool IsLong;  ///< Group Long, otherwise Tight.
};

/** A part of a simulation with constant demand. */
struct Phase
{
  double Seconds;
  /** Demand of each kind for slot time, as a share of all slots. */
  std::array<double, KindCount> Load;
};

struct Settings
{
  std::size_t Hosts = 8;
  std::size_t Engines = 9;
  std::size_t LongEngines = 8; ///< Of Engines; the others are for tight ones.
  std::uint32_t Slots = 16;
  std::uint32_t Queue = 33;
  double ViewMillis = 200; ///< Interval between load reports.
  std::vector<Phase> Phases;
};

/** What became of the requests of a kind that arrived in one second. */
struct Counts
{
  std::uint32_t Arrived = 0;
  std::uint32_t Nothing = 0; ///< Refused, rejected or left without an event.
  std::uint32_t InTarget = 0;
  std::uint32_t Begun = 0; ///< First events in this second, of any arrival.
};

/** By second of the arrival. */
using Outcome = std::vector<std::array<Counts, KindCount>>;

/** The kinds of the simulation, most urgent first. */
std::array<Kind, KindCount> const& Kinds();

/** Runs a simulation until all requests have ended. */
Outcome Run(Settings const& settings, std::uint64_t seed);

/**
 * The largest share of a kind's requests that got nothing in five seconds in
 * which less urgent requests of over twice the size began, of the kinds and
 * times with ten such requests or more; zero if there are none.
 */
double WorstStarvedShare(Outcome const& outcome);

/** Share of a kind's requests in seconds [from, to) that got their first event
 * within the target. */
double InTargetShare(Outcome const& outcome, std::size_t kind,
                     std::size_t from, std::size_t to);

/** Share of a kind's requests in seconds [from, to) that got any event. */
double ServedShare(Outcome const& outcome, std::size_t kind, std::size_t from,
                   std::size_t to);

} // namespace gsUrgencySimulation
