/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Systems that let requests into a pool's queue and take them out of it
 * without a grant: admission, expiry, and refusal of the lowest tier first.
 */
#pragma once

#include "gsPool.h"

/** Queues a request. Shedding happens in the next tick. */
void gsAdmit(gsPool& pool, gsAsk ask, std::uint64_t link, gsTime now);

/** Takes a waiting request back; false when it is not waiting. */
bool gsWithdraw(gsPool& pool, gsRequestId const& id);

/** Takes back all that waits for a link that broke. */
void gsWithdrawLink(gsPool& pool, std::uint64_t link);

/** Removes a row from the tables and the tier's counts. */
void gsRemoveWaiting(gsPool& pool, gsRequestId const& id);

/** Refuses what has waited as long as it may. */
void gsExpireWaiting(gsPool& pool, gsTime now, gsPoolOutput& out);

/** While the queue is over its limit, refuses the lowest tier's newest. */
void gsShedExcess(gsPool& pool, gsTime now, gsPoolOutput& out);

/**
 * Refuses, from the lowest waiting tier upwards and newest first, what would
 * wait longer than it may. Only queued work of the same or higher tiers is
 * counted against a request.
 */
void gsShedInfeasible(gsPool& pool, gsTime now, gsPoolOutput& out);

/** Expected wait behind the queue of this tier and all higher ones. */
gsTime gsExpectedWait(gsPool const& pool, std::uint32_t rank);
