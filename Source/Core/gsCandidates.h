/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Which of a service's upstreams are weighed for one request. Where there are
 * few, all. Of many, those from which its subject's home is chosen, by a few
 * arcs of the ring and so the same on all hosts, and some at random, those of
 * the own hall first. So a request costs the same among 300 upstreams and
 * among 20,000.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "gsFleet.h"

/** More than so many are not all weighed. Weighing one takes 0.3 us. */
constexpr std::size_t gsWeighedWhole = 256;

/** Indices into gsFleet::Rows. */
struct gsCandidates
{
  /** Of which the subject's home is one; all, or none without a subject. */
  std::vector<std::size_t> Homes;
  std::vector<std::size_t> Rows; ///< All that are weighed.
  std::size_t Members = 0;       ///< Upstreams of the service.
};

/** What chooses the candidates. */
struct gsCandidateAsk
{
  std::string_view Service;
  std::uint64_t Subject = 0; ///< 0 for none.
  /** Homes are only sought on this side of the border; absent for both. */
  gsFleetGroup Group = gsFleetGroup::Any;
  std::optional<gsEngineKey> Border;
};

gsCandidates gsCandidatesFor(gsFleet const& fleet, gsCandidateAsk const& ask,
                             gsRandom& random);

/**
 * More of them at random, for a request that none of the others can take: when
 * a half of the upstreams can take it, one in 2^512 goes away without. Empty
 * where all were weighed already.
 */
std::vector<std::size_t> gsFurtherCandidates(gsFleet const& fleet,
                                             gsCandidateAsk const& ask,
                                             gsRandom& random);
