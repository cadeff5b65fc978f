/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Ejection of failing or outlying upstreams, and their return by probes.
 */
#pragma once

#include "gsPool.h"

/** Counts the outcome of a grant; ejects after several failures in a row. */
void gsJudgeOutcome(gsPool& pool, gsUpstreamRow& row, gsOutcome outcome,
                    gsTime now, gsPoolOutput& out);

/**
 * Takes in whether an upstream answered a load poll. Two polls in a row
 * without an answer eject it before requests meet the same; one answer lets an
 * upstream that was unreachable be probed at once.
 */
void gsNotePoll(gsPool& pool, std::string_view upstream, bool answered,
                gsTime now, gsPoolOutput& out);

/** Ejects upstreams whose token gap is far above the median's. */
void gsEjectOutliers(gsPool& pool, gsTime now, gsPoolOutput& out);

/** Lets ejected upstreams whose back-off is over be probed. */
void gsReturnEjected(gsPool& pool, gsTime now, gsPoolOutput& out);
