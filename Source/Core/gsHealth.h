/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Ejection of upstreams that fail, cannot be reached or are much slower than
 * the others, and their return. An ejected upstream is probed after an
 * exponential backoff, or on the first answered poll if it was unreachable; it
 * is healthy again once a request succeeds.
 */
#pragma once

#include "gsPool.h"

/** Updates an upstream's health by the outcome of a grant. It is ejected after
 * several consecutive failures, or at once after a refused connection or a
 * failed probe. */
void gsUpdateHealth(gsPool& pool, gsUpstreamRow& row, gsGrantOutcome outcome,
                    gsTime now, gsPoolOutput& out);

/**
 * Updates an upstream's health by the result of a load poll. Two consecutive
 * unanswered polls eject it, before requests fail there. One answered poll
 * ends the ejection of an unreachable upstream, which is then probed.
 */
void gsRecordPoll(gsPool& pool, std::string_view upstream, bool answered,
                  gsTime now, gsPoolOutput& out);

/** Ejects upstreams whose token interval exceeds its target and, relative to
 * it, OutlierFactor times the median of the pool. At most half of the pool is
 * ejected this way. */
void gsEjectOutliers(gsPool& pool, gsTime now, gsPoolOutput& out);

/** Lets ejected upstreams be probed once their backoff is over. */
void gsProbeEjected(gsPool& pool, gsTime now, gsPoolOutput& out);
