/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * For how long an upstream that is well may send nothing. A host that takes a
 * busy one for dead gives up what it has done there, and sends it nothing
 * more just when it is needed.
 */
#pragma once

#include <cstdint>

#include "gsFleet.h"

/** What a request waits for at an upstream. */
struct gsExpectedWait
{
  std::uint64_t ReadTokens = 0; ///< Of prompts that are read before.
  gsTime Slot{};                ///< Until a slot is free.
};

/**
 * Wait of one more request at an upstream, as it is known now, after those
 * that were placed there before it.
 */
gsExpectedWait gsWaitAt(gsFleet const& fleet, gsFleetRow const& row,
                        std::uint32_t readTokens, gsTime now);

/**
 * How long an attempt whose answer has not begun may hear nothing: by its
 * wait when it was sent, and by what is known of the upstream now, if it is
 * still listed.
 */
gsTime gsSilenceBeforeAnswer(gsFleet const& fleet, gsFleetRow const* row,
                             gsExpectedWait const& whenSent,
                             double tokenMillis, gsTime now);

/** How long a stream may pause beside prompts that are being read there. */
gsTime gsSilenceOfStream(gsFleet const& fleet, gsFleetRow const& row,
                         double tokenMillis, gsTime now);
