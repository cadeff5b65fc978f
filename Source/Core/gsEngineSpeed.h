/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Speed of each engine relative to the other engines of its service,
 * independent of its load.
 *
 * A host measures intervals between events of streams, and first-event times
 * of prompts that were alone at an engine. Only samples of the same kind are
 * compared: with about the same number of concurrent requests, and either
 * without pending prompts or with so many that the engine certainly processes
 * them. The time that an engine of speed 1 takes for a kind is learned from
 * several engines. Hosts exchange their newest samples, since a host alone
 * sees too few engines at the start of traffic to learn it, and the resulting
 * speeds; the newest one counts.
 *
 * Decisions use a speed in quarters that follows the measured one only with
 * wide hysteresis. An engine that suddenly becomes much slower is suspended,
 * and then returns gradually. Callers pass in the current time; nothing here
 * does I/O.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "gsFleet.h"

/** Speed of an engine relative to the reference engine of its service, greater
 * than zero; 1 if it is unknown or the feature is off. Twice the speed means
 * half the time per prompt token and per decoding step. */
double gsEngineSpeedOf(gsFleet const& fleet, gsFleetRow const& row);

/** Weight of an engine in the choice of homes, greater than zero: its speed in
 * quarters, reduced while it is suspended or returns. 1 if the feature is off.
 */
double gsHomeWeightOf(gsFleet const& fleet, gsFleetRow const& row, gsTime now);

/** Whether decisions use the speeds of engines. */
bool gsUsesEngineSpeed(gsFleet const& fleet);

gsSpeedClass gsSpeedClassOf(gsFleetRow const& row);

/** Name of the class for logs and metrics; "suspended" for an engine that is
 * suspended, "returning" while its share of homes increases again. */
char const* gsSpeedStateName(gsFleetRow const& row);

/** Whether an engine's pauses under load keep within a kind's target for
 * intervals between events; true if either is unknown. */
bool gsFitsPauseTarget(gsFleet const& fleet, gsFleetRow const& row,
                       double maxIntervalMillis);

/** The work at an engine, to be passed to gsRecordStreamEvents later. */
gsEngineActivity gsEngineActivityOf(gsFleet const& fleet,
                                    gsFleetRow const& row, gsTime now);

/** Records that a stream has received events in one read, a time after its
 * last event, when the engine had the given activity. */
void gsRecordStreamEvents(gsFleet& fleet, gsFleetRow& row,
                          gsEngineActivity const& before, gsTime interval,
                          std::uint64_t events, gsTime now);

/** Records that an attempt is sent; to be called before its prompt is counted
 * as pending.
 * \param tokensToRead Prompt tokens that the engine has not cached, as far as
 * this host knows.
 * \param ownTokens Tokens that are not shared with other requests.
 */
gsPromptMeasurement gsBeginPromptMeasurement(gsFleet const& fleet,
                                             gsFleetRow& row,
                                             std::uint32_t tokensToRead,
                                             std::uint32_t ownTokens,
                                             gsTime now);

/** Records the first event of an attempt; to be called while its prompt is
 * still counted as pending. */
void gsRecordPromptSpeed(gsFleet& fleet, gsFleetRow& row,
                         gsPromptMeasurement const& prompt,
                         gsTime timeToFirstEvent, gsTime now);

/** What other hosts have measured of an engine. */
struct gsReportedSpeed
{
  double Speed = 0; ///< Zero if they report none.
  gsTime SpeedAt{};
  double SampleMillis = 0; ///< Of SampleKind; zero if they report none.
  std::uint32_t SampleKind = 0;
  gsTime SampleAt{};
};

/** Stores what other hosts report of an engine, also if that is only work. */
void gsApplyReportedSpeed(gsFleet& fleet, gsFleetRow& row,
                          gsReportedSpeed const& reported, gsTime now);

/** Sample to be reported to other hosts: the typical one of this host's newest
 * samples of one kind; empty if it has too few. */
std::optional<gsSpeedSample> gsSampleToReport(gsFleetRow const& row,
                                              gsTime now);

/** Speed to be reported to other hosts; zero if unknown, or if another host
 * has reported a newer one. */
double gsSpeedToReport(gsFleetRow const& row, gsTime now);

/** A change of the speed that decisions use. */
struct gsSpeedChange
{
  std::uint32_t Upstream = 0; ///< gsFleetRow::Hash.
  char const* StateBefore = "";
  double DecidedBefore = 1;
};

/**
 * Updates references, measured and decided speeds. To be called about ten
 * times per second. The run time is linear in the number of engines that have
 * recently been measured by any host. \return The changes of decided speeds.
 */
std::vector<gsSpeedChange> gsRefreshEngineSpeeds(gsFleet& fleet, gsTime now);
