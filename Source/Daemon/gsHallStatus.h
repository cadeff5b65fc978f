/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What one host knows of all halls, for operators: a row a hall, however many
 * hosts there are.
 */
#pragma once

#include "gsFields.h"
#include "gsFleet.h"
#include "gsHallMembership.h"

/**
 * A list with an object for each hall, the own one first: hall, hosts,
 * coordinators, heard_ms since its coordinators last spoke (null for never),
 * in_touch, and evacuated_ms since this host knows that its upstreams are to
 * get nothing new (null where they may). Halls that have upstreams and no host
 * come last.
 */
gsJson gsHallStatus(gsHallMembership const& table, gsFleet const& fleet,
                    gsTime now);
