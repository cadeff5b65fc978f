/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What one host knows of all halls, for operators: a row a hall, however many
 * hosts there are.
 */
#pragma once

#include "gsFields.h"
#include "gsHallMembership.h"

/**
 * A list with an object for each hall, the own one first: hall, hosts,
 * coordinators, heard_ms since its coordinators last spoke (null for never),
 * and in_touch.
 */
gsJson gsHallStatus(gsHallMembership const& table, gsTime now);
