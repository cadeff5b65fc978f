/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The adaptive concurrency limit of each upstream, adjusted once per window:
 * additive increase while the upstream is saturated and its answers meet their
 * targets, multiplicative decrease when more than MaxLateShare of the samples
 * of any tier are late. A limit stays between 1 and MaxLimit.
 */
#pragma once

#include "gsPool.h"

/** Records a measurement of a running request. A duration of zero has not been
 * measured. */
void gsRecordLatency(gsPool& pool, gsRequestId const& id,
                     gsTime timeToFirstToken, gsTime tokenInterval);

/** Adjusts the limits of upstreams whose window is over and has enough
 * samples, and starts a new window. */
void gsAdjustLimits(gsPool& pool, gsTime now);

/**
 * Applies an upstream's load report, which gives the length of its own queue.
 * Reports lag behind, so a queue lowers the limit and an empty one does not
 * raise it.
 */
void gsApplyUpstreamLoad(gsPool& pool, std::string_view upstream,
                         std::uint32_t waiting);
