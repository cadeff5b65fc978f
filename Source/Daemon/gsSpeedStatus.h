/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Status and metrics of engine speeds as known to one host, for operators.
 */
#pragma once

#include <cstdint>

#include "gsFieldReader.h"
#include "gsFleet.h"
#include "gsMetrics.h"

/**
 * A list with an object for each engine that a host has measured recently:
 * upstream, service, state, speed (in decisions), measured, age_ms of the
 * measurement, own and reported (null if unknown), samples, home_weight,
 * pause_ms under load (null if unknown), and whether decisions use it.
 */
gsJson gsSpeedStatus(gsFleet const& fleet, gsTime now);

/** Sets the gauges of engine speeds. */
void gsWriteSpeedGauges(gsMetrics& metrics, gsFleet const& fleet,
                        std::uint64_t changes);
