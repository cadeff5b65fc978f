/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Requests that a host sent to an upstream in spite of what the upstream had
 * said to it: that it leaves, or that it wants rest. From the hosts' logs.
 */
#pragma once

#include <vector>

#include "gsNearMiss.h"

/** All of them, in order of time; of each rest that began, the whole of it. */
std::vector<gsIgnoredWord> gsIgnoredWords(gsNearMissReader const& reader);
