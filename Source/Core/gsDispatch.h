/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Systems that grant upstreams to waiting requests, and the end of a grant.
 *
 * Requests are served in this order: the highest tier first; within a tier the
 * organisation with the least weighted service; within an organisation the
 * oldest request that can still meet its target, then the oldest of the
 * others. Shared slots are bounded by the limits of the upstreams. Reserved
 * slots exist in addition to them, for requests of lower tiers that have
 * waited for longer than the tier's AgeLimit.
 */
#pragma once

#include <optional>

#include "gsPool.h"

/** The next request for a shared slot; empty if none waits. */
std::optional<gsRequestId> gsNextWaiting(gsPool& pool, gsTime now);

/** Grants shared slots until no request waits or no slot is available to the
 * next request's tier. */
void gsDispatchShared(gsPool& pool, gsTime now, gsPoolOutput& out);

/**
 * Assigns reserved turns to the oldest requests of each tier that have waited
 * for AgeLimit or longer while requests of a higher tier wait. A tier has at
 * most MaxReservedTurns of them.
 */
void gsReserveAgedRequests(gsPool& pool, gsTime now);

/**
 * Grants reserved slots to requests with a reserved turn, round-robin over the
 * tiers. These slots are in addition to the limits, so that higher tiers lose
 * no capacity.
 */
void gsDispatchReserved(gsPool& pool, gsTime now, gsPoolOutput& out);

/** Number of reserved slots of the pool. */
std::uint32_t gsReservedSlots(gsPool const& pool);

/** Ends a grant: frees its slot, corrects the organisation's service to the
 * actual tokens, and updates the estimates and the upstream's health. */
void gsReleaseGrant(gsPool& pool, gsRequestId const& id,
                    gsGrantOutcome outcome,
                    gsGrantMeasurements const& measured, gsTime now,
                    gsPoolOutput& out);

/** Registers a request that runs under another dispatcher's grant. */
void gsAdoptRunning(gsPool& pool, gsGrantRequest const& request,
                    std::string_view upstream, std::uint64_t link, gsTime now);

/** Removes the running requests of a link whose host has not reconnected, and
 * frees their slots. */
void gsReleaseLink(gsPool& pool, std::uint64_t link);
