/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Budget of the memory that a host holds for callers and upstreams: request
 * bodies, answers and events that their callers have not taken yet. Near the
 * budget, streams are paused earlier, large bodies are refused, and callers
 * that take nothing are ended. Over the budget, answers are ended that are
 * still being received.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gsTypes.h"

struct gsMemorySettings
{
  std::uint64_t TotalBytes = 120U << 20U; ///< Memory of the machine.
  /** Share of it for bodies, answers and events. The rest is for the process
   * itself and for the fixed part of each connection. */
  double BuffersShare = 0.35;
  /** An upstream that takes nothing for so long is ended, and so is a caller
   * once large bodies are refused for lack of memory. */
  gsTime StalledTimeout = gsMilliseconds(3000);
};

/** Bytes held, by kind. */
struct gsMemoryUse
{
  std::uint64_t Bodies = 0;
  std::uint64_t Expected = 0; ///< Announced bodies, not received yet.
  std::uint64_t Answers = 0;
  std::uint64_t Events = 0;
  std::uint64_t Partial = 0; ///< Incomplete events, which no caller awaits.
  std::uint64_t Uploads = 0; ///< Copies of bodies for upstreams.
  std::uint64_t Fetched = 0; ///< Answers for this host itself.
  /** Memory of the whole process, what is counted here and what is not; zero
   * if it is not known. */
  std::uint64_t Resident = 0;
  std::size_t Requests = 0; ///< Whole ones that are not answered yet.

  /** All that is held; Expected is not. */
  std::uint64_t Total() const
  {
    return this->Bodies + this->Answers + this->Events + this->Partial +
           this->Uploads + this->Fetched;
  }
};

/** A caller or upstream for which bytes wait. */
struct gsMemoryReader
{
  std::uint64_t Bytes = 0;
  /** When it last took bytes, or when they began to wait. */
  gsTime TakenAt{};
};

enum class gsMemoryCause
{
  Stalled,   ///< It took nothing for its idle timeout.
  OverBudget ///< It took nothing for the longest time while memory was short.
};

char const* gsMemoryCauseName(gsMemoryCause cause);

/** A reader that is to be ended. */
struct gsMemoryEnding
{
  std::size_t Index = 0; ///< Of the reader in the list that was passed in.
  gsMemoryCause Cause = gsMemoryCause::Stalled;
};

/** An answer that is being received from an upstream. */
struct gsIncomingAnswer
{
  std::uint64_t Bytes = 0;
  /** Whether the bytes are an incomplete event, and not a body. */
  bool IsEvent = false;
  bool StatesLength = false;
};

/** Bytes that may be held for callers and upstreams. */
std::uint64_t gsMemoryLimit(gsMemorySettings const& settings);

/** Bytes for the fixed part of connections: what is left of the machine's
 * memory beside the process itself while nothing else is held. */
std::uint64_t gsConnectionMemory(gsMemorySettings const& settings);

/** Bodies up to this size are small. */
constexpr std::uint64_t gsSmallBodyBytes = 16U << 10U;
/** Largest number of bytes of a stream that wait for its caller. */
constexpr std::uint64_t gsMaxStreamBytes = 256U << 10U;

/**
 * Whether a new body is accepted. A large one is refused above 0.8 of the
 * budget, and if it would exceed the budget together with the bodies that are
 * being received. Each body counts twice until it is received, because it is
 * copied for the upstream. A small one is refused only if bodies and their
 * copies alone exceed the budget. The process must stay within 0.85 of the
 * machine with a large one, and within 0.95 with a small one.
 */
bool gsAcceptsBody(gsMemorySettings const& settings, gsMemoryUse const& use,
                   std::uint64_t bytes);

/**
 * Whether one more request is handled: the fixed parts of all of them, the
 * connections to their upstreams included, have to fit into what the budget
 * leaves of the machine. They grow after that decision only.
 */
bool gsAcceptsRequest(gsMemorySettings const& settings,
                      gsMemoryUse const& use);

/** Memory that the process has to release. */
struct gsMemoryShortage
{
  std::uint64_t Bytes = 0;
  bool IsSevere = false; ///< Large bodies are refused for it.
};

/** What the process uses above three quarters of the machine. */
gsMemoryShortage gsFindMemoryShortage(gsMemorySettings const& settings,
                                      std::uint64_t resident);

/**
 * Bytes that may wait for the caller of a stream before reading from the
 * upstream pauses: a 64th of what is left below half of the budget, or below
 * three quarters of the machine if that is less, at most gsMaxStreamBytes. At
 * zero a stream still moves on whenever its caller has taken everything.
 */
std::uint64_t gsStreamLimit(gsMemorySettings const& settings,
                            gsMemoryUse const& use);

/** Answers up to this size are not ended for the budget. */
constexpr std::uint64_t gsSmallAnswerBytes = 16U << 10U;

/**
 * Selects the answers to be ended while over the budget, until the rest is
 * within it: incomplete events first, then bodies that state no length, then
 * others; of each the largest first. The last one above gsSmallAnswerBytes is
 * never selected, since its own limit bounds it, and one answer at a time has
 * to come through also when readers use the budget.
 *
 * \return Indices in the order in which they are to be ended.
 */
std::vector<std::size_t> gsSelectIncoming(
  gsMemorySettings const& settings, gsMemoryUse const& use,
  std::vector<gsIncomingAnswer> const& answers);

/**
 * Selects the readers to be ended, those that took nothing for the longest
 * time first:
 * - those that took nothing for idleTimeout;
 * - where large bodies are refused, or the process has to release memory:
 *   those that took nothing for StalledTimeout, until neither is so;
 * - over the budget, or where that is severe: those that took nothing for a
 *   third of StalledTimeout, until the rest is within the budget.
 */
std::vector<gsMemoryEnding> gsSelectStalled(
  gsMemorySettings const& settings, gsMemoryUse const& use,
  std::vector<gsMemoryReader> const& readers, gsTime idleTimeout, gsTime now);
