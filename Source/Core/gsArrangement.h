/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * How a service's engines are divided between long prompts and tight streams.
 * Every host counts what it is asked for; one host decides for all, by the
 * demand of all hosts, and the others adopt its decision.
 */
#pragma once

#include <cstdint>
#include <optional>
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

/** Engines of a service that the work it was lately asked for keeps busy. */
double gsEnginesBusy(gsFleet const& fleet, std::string const& service,
                     double millisPerToken, gsTime now);

/** Notes for how long an attempt that ended whole held a slot. */
void gsNoteHold(gsFleet& fleet, gsFleetRow const& row, gsTime held);

/** The group that an engine is in under a division of its service's. */
gsFleetGroup gsGroupUnder(gsFleet const& fleet,
                          gsEngineArrangement const& arrangement,
                          gsFleetRow const& row);

/** Whether a decision names an engine among the slow ones. */
bool gsIsSlowEngine(gsEngineArrangement const& arrangement,
                    gsFleetRow const& row);

/** Orders all of a service's rows after a decision: slow engines first, then
 * by hash. */
void gsRankEngines(gsFleet& fleet, std::string const& service,
                   std::vector<std::size_t>& members);

/** Puts one row into that order, or takes it out. */
void gsRankIn(gsFleet const& fleet, std::vector<std::size_t>& members,
              std::size_t index);
void gsRankOut(gsFleet const& fleet, std::vector<std::size_t>& members,
               std::size_t index);

/** The place of a row in its service's order; the first has 0. */
std::uint32_t gsRankOf(gsFleet const& fleet, gsFleetRow const& row);

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

/** The place of the last engine for long prompts; absent where none is. */
std::optional<gsEngineKey> gsLongBorder(gsFleet const& fleet,
                                        std::string_view service);

/** Whether a row stands before a border of its service's order, or at it. */
bool gsIsBefore(gsFleetRow const& row,
                std::optional<gsEngineKey> const& border);

/** Whether an engine is for long prompts now. */
bool gsIsLongEngine(gsFleet const& fleet, gsFleetRow const& row);
