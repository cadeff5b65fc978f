/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * How many requests a host may send to an upstream that is cold: shortly after
 * its start it serves few a second and collapses well above that. The rate
 * holds over all hosts together, and they do not agree on it: each takes its
 * share of it, and where a share is below one request a second, a hash of host
 * and upstream says which hosts may send any.
 *
 * Of a rate of r a second all hosts together use half in the mean, and at most
 * the whole in any second where each has a request or more of it; where shares
 * are below one, chance decides how many hosts send. The rest is room for
 * that, and for hosts that do not know of each other.
 */
#pragma once

#include <cstddef>
#include <string_view>

#include "gsTypes.h"

/** What one host may send to one cold upstream. */
struct gsColdShare
{
  bool Sends = false; ///< Whether it may send any request.
  gsTime Gap{};       ///< Least time between two, if it may.
};

/**
 * Share of a rate, of requests a second of all hosts, for one of so many
 * hosts; a rate of zero sets no limit.
 */
gsColdShare gsShareOfCold(double perSecond, std::size_t hosts,
                          std::string_view host, std::string_view upstream);
