/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Finds requests in the logs that a host sent to an upstream although an
 * earlier answer of that upstream to the host had announced that the upstream
 * is leaving, or had asked the host to retry later.
 */
#pragma once

#include <vector>

#include "gsNearMiss.h"

/** All announcements that were not respected, in order of time. For a request
 * to retry later, the counts cover the whole retry delay. */
std::vector<gsIgnoredAnnouncement> gsFindIgnoredAnnouncements(
  gsNearMissCollector const& collector);
