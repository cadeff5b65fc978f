/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Status of all halls as seen by one host, for operators. Its size depends on
 * the number of halls, not of hosts.
 */
#pragma once

#include "gsFieldReader.h"
#include "gsFleet.h"
#include "gsHallMembership.h"

/**
 * A list with an object for each hall, the own one first: hall, hosts,
 * coordinators, heard_ms since a message of its coordinators was last received
 * (null for never), in_touch, and evacuated_ms since this host learned that
 * the hall's upstreams get no new requests (null if they may). Halls that have
 * upstreams and no host come last.
 */
gsJson gsHallStatus(gsHallMembership const& table, gsFleet const& fleet,
                    gsTime now);
