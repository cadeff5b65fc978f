/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The adaptive limit of concurrent requests of each upstream. Additive
 * increase while the upstream is saturated and its answers are in time,
 * multiplicative decrease when more than a set share of them is late.
 */
#pragma once

#include "gsPool.h"

/** Takes a measurement of a running request in. */
void gsObserve(gsPool& pool, gsRequestId const& id, gsTime firstToken,
               gsTime gap);

/** Closes measurement windows that are due and moves the limits. */
void gsAdjustLimits(gsPool& pool, gsTime now);

/**
 * Takes an upstream's own load report in. Reports lag, so that they can only
 * lower a limit, never raise it.
 */
void gsReportLoad(gsPool& pool, std::string_view upstream,
                  std::uint32_t waiting);
