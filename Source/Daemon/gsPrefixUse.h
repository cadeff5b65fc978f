/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Records in the prefix directory what an attempt shows about the engine's
 * prefix cache: that the engine begins to process the shared parts of the
 * prompt when the request is sent, and holds them at the first event. Does
 * nothing for subjects that the directory does not track.
 */
#pragma once

#include <cstdint>

#include "gsFleet.h"
#include "gsPlacement.h"
#include "gsPrefixDirectory.h"

struct gsAttempt;
struct gsRoutedRequest;

/** State of an attempt in the prefix directory. */
struct gsPrefixUse
{
  gsPrefixKey Key; ///< Subject 0 if it is not tracked.
  std::uint32_t Engine = 0;
  std::uint32_t SharedTokens = 0;
  std::uint32_t OwnTokens = 0; ///< Of the prompt, without the shared parts.
  double EngineMillis = 0;     ///< Demand of the request.
  bool IsTransferred = false;  ///< The engine obtains the parts from another.
  /** The request was sent, and neither its first event nor its end were
   * recorded. */
  bool IsReading = false;
  /** The engine held the parts when the request was sent, and had nothing else
   * to process. */
  bool WasHeldAndIdle = false;
};

/** Sets the attempt's state from its placement, and logs the decision. */
void gsBeginPrefixUse(gsFleet const& fleet, gsRoutedRequest const& request,
                      gsAttempt& attempt, gsPlacement const& placement,
                      gsTime now);

/** Records that the first byte of the attempt is sent now. */
void gsRecordPrefixUseSent(gsFleet& fleet, gsRoutedRequest const& request,
                           gsAttempt& attempt, gsTime now);

/** Records the first byte of a successful answer. */
void gsRecordPrefixUseFirstEvent(gsFleet& fleet, gsAttempt& attempt,
                                 gsTime now);

/** Records the end of an attempt, with or without an answer. */
void gsRecordPrefixUseEnd(gsFleet& fleet, gsAttempt& attempt, gsTime now);
