/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * When an order of upstreams is given, and given again. One order at a time
 * stands for each subject, a hall and a kind; an order that was not answered
 * may still be carried out late, after a newer one. Nothing here reads a clock
 * or does I/O.
 */
#pragma once

#include <cstdint>

#include "gsTypes.h"

/** What was last ordered of a subject. */
struct gsScalingOrder
{
  bool Given = false;      ///< Any order was; Count is what was found else.
  std::uint32_t Count = 0; ///< That was ordered.
  std::uint64_t Token = 0; ///< Fencing token that it went with.
  gsTime At{};
  gsTime NextTry{};
  bool Answered = true;
  bool Grew = false;     ///< More were ordered than before.
  gsTime DiffersSince{}; ///< What is there is not what is wanted; or zero.
};

/** Whether two numbers of upstreams are as good as the same: each order moves
 * subjects, and one or two of many are not worth that. */
bool gsScalingIsNear(std::uint32_t a, std::uint32_t b);

/**
 * Whether an order is due, now that so many are wanted and there. Startup is
 * how long upstreams take to serve. An order follows one that was not answered
 * only with a higher token, so that the platform refuses the older if it comes
 * late.
 */
bool gsScalingIsDue(gsScalingOrder& order, std::uint32_t wanted,
                    std::uint32_t there, gsTime startup, std::uint64_t token,
                    gsTime now);

/** Notes that an order is given. */
void gsScalingGive(gsScalingOrder& order, std::uint32_t wanted,
                   std::uint64_t token, gsTime now);
