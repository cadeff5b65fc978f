/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The arrangement of a service's engines: which of them are slow, and how many
 * are assigned to long prompts instead of tight streams. Each host measures
 * its own demand. One host decides the arrangement from the demand of all
 * hosts, and the other hosts adopt its decision.
 *
 * After the first division, decisions are made at most once per interval, and
 * change the group sizes only after a significant change of demand: each
 * change moves subjects to engines that have not cached their prompt parts.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gsFleet.h"
#include "gsPlacement.h"

/** Name of a group for logs. */
char const* gsFleetGroupName(gsFleetGroup group);

/** Adds a new request to the demand of its group. */
void gsRecordDemand(gsFleet& fleet, gsPlacementRequest const& ask, gsTime now);

/** Sets the demand of all other hosts combined, as last reported. */
void gsSetOthersDemand(gsFleet& fleet, std::string const& service,
                       gsServiceDemand const& others, gsTime now);

/** Number of a service's engines that the recent demand of all hosts keeps
 * busy. */
double gsBusyEngines(gsFleet const& fleet, std::string const& service,
                     double millisPerToken, gsTime now);

/** Records the time for which a completed attempt has held a slot. */
void gsRecordSlotHold(gsFleet& fleet, gsFleetRow const& row, gsTime holdTime);

/** Updates the recent use of slots by priority with the open attempts of all
 * hosts. */
void gsSetOpenAttempts(gsFleet& fleet, std::string const& service,
                       gsOpenAttemptsMap const& open, gsTime now);

/** Records the time from the first token of an attempt to its end. */
void gsRecordRunTime(gsFleet& fleet, gsFleetRow const& row,
                     std::uint32_t priority, gsTime runTime);

/** The group to which an arrangement of its service assigns an engine. */
gsFleetGroup gsGroupInArrangement(gsFleet const& fleet,
                                  gsEngineArrangement const& arrangement,
                                  gsFleetRow const& row);

/** Whether an arrangement lists an engine as slow. */
bool gsIsSlowEngine(gsEngineArrangement const& arrangement,
                    gsFleetRow const& row);

/** Sorts all rows of a service by its current arrangement: slow engines first,
 * then by hash. */
void gsRankEngines(gsFleet& fleet, std::string const& service,
                   std::vector<std::size_t>& members);

/** Inserts a row into a service's sorted rows. */
void gsInsertRanked(gsFleet const& fleet, std::vector<std::size_t>& members,
                    std::size_t index);
/** Removes a row from a service's sorted rows. */
void gsRemoveRanked(gsFleet const& fleet, std::vector<std::size_t>& members,
                    std::size_t index);

/** Index of a row in the sorted rows of its service. */
std::uint32_t gsRankOf(gsFleet const& fleet, gsFleetRow const& row);

/**
 * Decides the arrangement of each service for all hosts. To be called a few
 * times per second, on one host only.
 */
void gsDecideArrangements(gsFleet& fleet, gsTime now);

/**
 * Applies an arrangement decided by another host if it supersedes the known
 * one. \return Whether it was applied.
 */
bool gsAdoptArrangement(gsFleet& fleet, std::string const& service,
                        gsEngineArrangement const& arrangement);

/** Number of a service's engines for long prompts; 0 if the engines are not
 * divided. */
std::uint32_t gsLongEngineCount(gsFleet const& fleet,
                                std::string_view service);

/** Sort key of the last engine for long prompts; empty if there is none. */
std::optional<gsEngineKey> gsLastLongEngine(gsFleet const& fleet,
                                            std::string_view service);

/** Whether a row is at or before a border in the order of its service. */
bool gsIsAtOrBefore(gsFleetRow const& row,
                    std::optional<gsEngineKey> const& border);

/** Whether an engine is currently assigned to long prompts. */
bool gsIsLongEngine(gsFleet const& fleet, gsFleetRow const& row);
