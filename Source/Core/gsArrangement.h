/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * How a service's engines are divided between long prompts and tight streams.
 * Every host counts what it is asked for; one host decides for all, by the
 * demand of all hosts, and the others adopt its decision.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gsFleet.h"
#include "gsPlacement.h"

char const* gsFleetGroupWord(gsFleetGroup group);

/** Counts a new request towards the sizes of the groups. */
void gsNoteDemand(gsFleet& fleet, gsPlacementAsk const& ask, gsTime now);

/** Takes in what all other hosts were asked for, by their last word. */
void gsNoteOthersDemand(gsFleet& fleet, std::string const& service,
                        gsServiceDemand const& others, gsTime now);

/** Notes for how long an attempt that ended whole held a slot. */
void gsNoteHold(gsFleet& fleet, gsFleetRow const& row, gsTime held);

/** The group that an engine is in under a division. */
gsFleetGroup gsGroupUnder(gsEngineArrangement const& arrangement,
                          gsFleetRow const& row);

/** Orders a service's rows: slow engines first, then by hash. */
void gsRankEngines(gsFleet& fleet, std::string const& service,
                   std::vector<std::size_t>& members);

/**
 * Decides, for all hosts, which engines of each service are slow and how many
 * are for long prompts. To be run a few times a second by one host.
 */
void gsDecideArrangements(gsFleet& fleet, gsTime now);

/**
 * Takes a decision of another host, if it is newer than what is known; true
 * if it is.
 */
bool gsAdoptArrangement(gsFleet& fleet, std::string const& service,
                        gsEngineArrangement const& arrangement);

/** How many of a service's engines are for long prompts; 0 for no groups. */
std::uint32_t gsLongEngines(gsFleet const& fleet, std::string_view service);
