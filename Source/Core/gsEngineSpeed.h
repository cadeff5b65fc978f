/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Speed of each engine relative to the other engines of its service,
 * independent of its load.
 */
#pragma once

#include "gsFleet.h"

/** Speed of an engine relative to the reference engine of its service, greater
 * than zero; 1 if it is unknown or the feature is off. Twice the speed means
 * half the time per prompt token and per decoding step. */
double gsEngineSpeedOf(gsFleet const& fleet, gsFleetRow const& row);
