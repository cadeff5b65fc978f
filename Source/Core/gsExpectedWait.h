/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * How long a healthy upstream may send nothing because it is busy: the times
 * by which a receive timeout is extended. A timeout that is too short for a
 * busy upstream discards the work done there, and takes the upstream out of
 * use when its capacity is needed.
 */
#pragma once

#include <cstdint>

#include "gsFleet.h"

/** Expected wait of a request at an upstream for its first output token. */
struct gsExpectedWait
{
  std::uint64_t PendingPromptTokens = 0; ///< Prompt tokens to process until
                                         ///< then, including its own.
  gsTime SlotWait{};                     ///< Time until a slot is free.
};

/**
 * Expected wait of one more request with a number of prompt tokens, behind
 * all requests that are currently known at an upstream.
 */
gsExpectedWait gsExpectedWaitAt(gsFleet const& fleet, gsFleetRow const& row,
                                std::uint32_t promptTokens, gsTime now);

/**
 * Time by which the timeout for the first byte of an answer is extended: from
 * the larger of the expected wait when the attempt was sent and the wait by
 * the current load. The row is null if the upstream is no longer listed.
 */
gsTime gsFirstByteTimeoutExtension(gsFleet const& fleet, gsFleetRow const* row,
                                   gsExpectedWait const& waitWhenSent,
                                   double tokenMillis, gsTime now);

/** Time by which the timeout between two events of a stream is extended: the
 * engine may process all pending prompts between them. */
gsTime gsStreamTimeoutExtension(gsFleet const& fleet, gsFleetRow const& row,
                                double tokenMillis, gsTime now);
