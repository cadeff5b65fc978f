/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * How many requests a host may send to an upstream that is cold: shortly after
 * its start it serves few a second and collapses well above that. The rate
 * holds over all hosts together, and they do not agree on it: each takes its
 * share of it, and where a share is below one request a second, a hash of host
 * and upstream says which hosts may send any.
 *
 * With a rate of r a second, all hosts together send 0.5 r to r in any second
 * (some chance above where shares are below one: with 986 hosts and 19 a
 * second no more than 22 of 10,000 upstreams' worst, in the unit test). So
 * twice the rate is kept even where half of the hosts do not know of the other
 * half.
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
