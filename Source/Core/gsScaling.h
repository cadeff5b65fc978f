/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Scaling of a service: the number of upstreams in each hall, regular and
 * withdrawable. Demand is measured in engines that it keeps busy. The number
 * of upstreams follows from the recent peak demand and a target utilisation,
 * which is lower the less an additional upstream costs.
 *
 * Withdrawable upstreams are far cheaper, but the platform may withdraw all of
 * a hall at once. Their share is therefore bounded, and they are spread evenly
 * over the halls. Increases are ordered immediately, decreases only after
 * demand has been lower for some time.
 *
 * The state is one plain struct on the deciding host. Callers pass in the
 * current time and receive the wanted numbers.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "gsTypes.h"

/** Configured limits and prices of a service's upstreams. */
struct gsScalingPolicy
{
  /** Minimum number of upstreams per hall, both kinds combined. */
  std::uint32_t MinPerHall = 1;
  /** Maximum number of upstreams per hall, both kinds combined. */
  std::uint32_t MaxPerHall = 1;
  gsTime StartupTime{}; ///< Time from an order until the upstream serves.
  /** Price of a withdrawable upstream relative to a regular one. 1 or more if
   * there are no withdrawable upstreams. */
  double WithdrawablePrice = 1;
  /** Price per second of a regular upstream by hall; 1 if not listed. */
  std::map<std::string, double> HallPrices;
};

/** Settings of scaling decisions, common to all services. */
struct gsScalingSettings
{
  bool Enabled = true;
  bool DryRun = false; ///< Decide and log, but order nothing.
  /** Target utilisation at peak demand if an additional upstream costs
   * nothing. Interpolated linearly up to UtilisationAtFullPrice. */
  double UtilisationAtZeroPrice = 0.3;
  /** Target utilisation at peak demand if an additional upstream costs the
   * full price. */
  double UtilisationAtFullPrice = 0.6;
  /** Maximum share of withdrawable upstreams. */
  double MaxWithdrawableShare = 0.8;
  /** Utilisation up to which missing withdrawable upstreams are not replaced
   * by regular ones at the full price. Also bounds the utilisation after the
   * loss of a hall. */
  double MaxUtilisation = 0.8;
  /** Time for which a peak of the demand counts. */
  gsTime PeakRetention = gsSeconds(20);
  /** Minimum time from the first demand, an increase or a decrease until the
   * next decrease; the startup time if that is longer. */
  gsTime MinDecreaseInterval = gsSeconds(12);
  /** Minimum change of the total, as a share of it. Decreases need twice as
   * much. */
  double MinChangeShare = 0.1;
  /** Before the first decision, the number of listed upstreams must be
   * unchanged for this time: upstreams that start together with the hosts
   * appear in the list one by one. */
  gsTime SettleTime = gsMilliseconds(1500);
  /** Maximum time to wait for an unchanged list. */
  gsTime MaxSettleTime = gsSeconds(5);
  /** Share of the total that keeps serving while upstreams are replaced by
   * cheaper ones. Below 1, since a hall without room for more has to remove
   * some first. */
  double MinServingShare = 0.9;
  /** Time until withdrawable upstreams are ordered again in a hall that had
   * none available. */
  gsTime UnavailableRetryDelay = gsSeconds(4);
  /** Nothing is ordered until this time after the first demand. Zero to order
   * also before there is demand. */
  gsTime MinDemandTime{};
};

/** The regular or the withdrawable upstreams of a service in one hall. */
struct gsScalingPool
{
  std::string Hall;
  bool Withdrawable = false;

  friend bool operator<(gsScalingPool const& a, gsScalingPool const& b)
  {
    return std::tie(a.Hall, a.Withdrawable) < std::tie(b.Hall, b.Withdrawable);
  }
};

/** Numbers of upstreams. */
using gsScalingCounts = std::map<gsScalingPool, std::uint32_t>;

/** Scaling state of a service on the deciding host. */
struct gsScaling
{
  gsTime FirstListedAt{}; ///< When the list was first read; zero before.
  std::uint32_t ListedCount = 0;  ///< Listed upstreams when last read.
  gsTime ListedCountSince{};      ///< Start of the time with that number.
  gsTime FirstDecisionAt{};       ///< First decision; zero before.
  gsTime FirstDemandAt{};         ///< First demand; zero before.
  std::uint32_t InitialCount = 0; ///< Listed upstreams at the first decision.
  bool InitialHasWithdrawable = false; ///< Some of those were withdrawable.
  double PeakDemand = 0;               ///< Recent peak demand, busy engines.
  gsTime PeakAt{};                     ///< Time of the peak.
  std::uint32_t WantedTotal =
    0;                  ///< Wanted upstreams of both kinds in all halls.
  gsTime IncreasedAt{}; ///< Last increase of the total.
  /** Last decrease of the total; initially the first decision. */
  gsTime DecreasedAt{};
  /** End of the time in which no withdrawable upstreams are ordered in a hall
   * that had none available; by hall. */
  std::map<std::string, gsTime> UnavailableUntil;
};

/**
 * Computes the wanted number of upstreams of each pool.
 *
 * \param listed The listed upstreams that are not leaving, with an entry for
 *   each hall.
 * \param demand Number of engines that the current demand keeps busy; zero if
 *   unknown.
 * \return The wanted numbers; empty while the list has not settled before the
 *   first decision, until MinDemandTime has passed, or if no hall is listed.
 */
gsScalingCounts gsScalingDecide(gsScaling& scaling,
                                gsScalingSettings const& settings,
                                gsScalingPolicy const& terms,
                                gsScalingCounts const& listed, double demand,
                                gsTime now);

/** Records that the platform has no withdrawable upstreams available in a
 * hall. */
void gsScalingRecordUnavailable(gsScaling& scaling,
                                gsScalingSettings const& settings,
                                std::string const& hall, gsTime now);
