/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Rate limiting of requests to cold upstreams. Shortly after its start, an
 * upstream serves only a few requests per second and overloads well above that
 * rate. The rate limit applies to all hosts combined, but the hosts do not
 * coordinate: each host uses an equal share of the rate. If a share is below
 * one request per second, a hash of host and upstream determines which hosts
 * may send requests at all.
 *
 * All hosts combined use half of the rate on average. If each share is at
 * least one request per second, they use at most the whole rate in any second.
 * With smaller shares, the number of sending hosts is random. The unused half
 * is a margin for this variance, and for hosts that do not know of each other.
 */
#pragma once

#include <cstddef>
#include <string_view>

#include "gsTypes.h"

/** Rate limit of one host for one cold upstream. */
struct gsColdShare
{
  bool MaySend = false; ///< Whether the host may send any requests.
  gsTime MinInterval{}; ///< Minimum interval between requests, if it may.
};

/**
 * The share of one host in a rate limit for all hosts combined, in requests
 * per second. A rate of zero or below sets no limit.
 */
gsColdShare gsColdShareOfHost(double perSecond, std::size_t hosts,
                              std::string_view host,
                              std::string_view upstream);
