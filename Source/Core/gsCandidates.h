/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The upstreams of a service that are evaluated for one request. Up to
 * gsMaxFullyEvaluated upstreams are all evaluated. Of more, the candidates are
 * the upstreams on a few arcs of the hash ring, which depend only on the
 * request's subject and are the same on all hosts, and some drawn at random,
 * preferably of the own hall. Placement therefore takes the same time with 300
 * upstreams and with 20,000.
 *
 * The subject of a request is a hash of the prompt part that it shares with
 * related requests. The home of a subject is the upstream that all hosts
 * prefer for it.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "gsFleet.h"

/** Maximum number of upstreams of a service that are all evaluated. Evaluating
 * one takes 0.3 us. */
constexpr std::size_t gsMaxFullyEvaluated = 256;

/** Upstreams to evaluate, as indices into gsFleet::Rows. */
struct gsCandidates
{
  /** Candidates for the subject's home. All upstreams of the service if they
   * are all evaluated; otherwise empty without a subject. */
  std::vector<std::size_t> HomeRows;
  std::vector<std::size_t> Rows; ///< All candidates, including HomeRows.
  std::size_t ServiceSize = 0;   ///< Number of upstreams of the service.
};

/** Criteria for the selection of candidates. */
struct gsCandidateQuery
{
  std::string_view Service;
  std::uint64_t Subject = 0; ///< 0 for none.
  /** Group of engines in which the home has to be. */
  gsFleetGroup Group = gsFleetGroup::Any;
  /** Last engine of the group for long prompts in the service's order; empty
   * if the engines are not divided into groups. */
  std::optional<gsEngineKey> GroupBoundary;
};

/** Selects the candidates for a request. */
gsCandidates gsSelectCandidates(gsFleet const& fleet,
                                gsCandidateQuery const& query,
                                gsRandom& random);

/**
 * Draws more candidates at random, for a request that none of the first ones
 * can take. If half of the upstreams can take it, the probability that the
 * draw contains none of them is 2^-512. Empty if all upstreams have been
 * evaluated already.
 */
std::vector<std::size_t> gsDrawFurtherCandidates(gsFleet const& fleet,
                                                 gsCandidateQuery const& query,
                                                 gsRandom& random);
