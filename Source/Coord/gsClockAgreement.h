/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * True time by many hosts' clocks. The time of day of one host may be off, and
 * may jump by seconds; the middle one of many is off only when half of them
 * are. Coordinators hear the clocks of all hosts of their hall and go by the
 * middle one; the others go by their coordinators.
 *
 * Clocks are kept as their difference to this host's steady clock.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "gsTypes.h"

/** Microseconds since 1970, by some host. */
using gsWallTime = std::int64_t;

/** A clock as it was last heard. */
struct gsHeardClock
{
  std::int64_t Offset = 0; ///< To this host's steady clock, microseconds.
  bool Agreed = false;     ///< A coordinator's word of what many say.
  gsTime At{};
};

struct gsClockAgreement
{
  /** Clocks that were not heard for longer are not counted. */
  gsTime Memory = gsSeconds(5);
  std::map<std::string, gsHeardClock> Heard; ///< By host.
};

/** Takes in another host's clock. */
void gsClockHear(gsClockAgreement& clocks, std::string_view host,
                 gsWallTime wall, bool agreed, gsTime now);

/**
 * True time now, as far as it is known. Own is this host's own clock, and
 * coordinates whether it goes by the clocks of all hosts that it hears.
 */
gsWallTime gsClockNow(gsClockAgreement const& clocks, gsWallTime own,
                      bool coordinates, gsTime now);

/** Forgets clocks that are not counted any more. */
void gsClockForget(gsClockAgreement& clocks, gsTime now);
