/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Systems that add requests to a pool's queue and remove them without a grant:
 * admission, withdrawal, expiry and load shedding. The queue holds at most
 * QueueLimit requests after each tick, unless more than that have a reserved
 * turn. Shedding refuses requests of the lowest tier first and never
 * those with a reserved turn.
 */
#pragma once

#include "gsPool.h"

/** Queues a request. The next tick sheds requests if the queue is over its
 * limit. */
void gsAdmit(gsPool& pool, gsGrantRequest request, std::uint64_t link,
             gsTime now);

/** Removes a waiting request that its entry host no longer needs served.
 * \return False if it is not waiting. */
bool gsWithdraw(gsPool& pool, gsRequestId const& id);

/** Removes all waiting requests of a link that broke. */
void gsWithdrawLink(gsPool& pool, std::uint64_t link);

/** Removes a request from the waiting table and from its tier's counts. */
void gsRemoveWaiting(gsPool& pool, gsRequestId const& id);

/** Refuses requests whose deadline has passed. */
void gsExpireWaiting(gsPool& pool, gsTime now, gsPoolOutput& out);

/** While the queue is over its limit, refuses the newest request of the lowest
 * tier, those that will miss their target first. */
void gsShedExcess(gsPool& pool, gsTime now, gsPoolOutput& out);

/**
 * Refuses requests whose expected wait exceeds the time they have left, from
 * the lowest waiting tier upwards and newest first. The expected wait counts
 * only queued requests of the same and higher tiers.
 */
void gsShedInfeasible(gsPool& pool, gsTime now, gsPoolOutput& out);

/** Expected wait behind the queues of this tier and all higher ones. */
gsTime gsExpectedWait(gsPool const& pool, std::uint32_t rank);
