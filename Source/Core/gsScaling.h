/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * How many upstreams a service shall have in each hall, and of which kind. The
 * work that is asked for is counted in engines that it keeps busy; upstreams
 * are ordered so that the highest such demand of late keeps a part of them
 * busy, the smaller a part the less one more of them costs. Those that the
 * platform may withdraw are far cheaper, and all of a hall may go at once:
 * they are a bounded share, spread evenly over halls. Growth is ordered at
 * once; less is ordered only after demand has been lower for a while.
 *
 * One plain struct for the host that decides, and free functions; time is
 * handed in, wanted numbers come out.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "gsTypes.h"

/** What the configuration says of ordering a service's upstreams. */
struct gsScalingTerms
{
  std::uint32_t Least = 1; ///< In each hall, of both kinds together.
  std::uint32_t Most = 1;
  gsTime Startup{}; ///< From an order until an upstream serves.
  /** Price of one that may be withdrawn, as a share of the other's; 1 and
   * more where there are none of these. */
  double WithdrawablePrice = 1;
  std::map<std::string, double> HallPrices; ///< Of a second, by hall.
};

struct gsScalingSettings
{
  bool Enabled = true;
  bool DryRun = false; ///< Decides and logs, and orders nothing.
  /** Share of the upstreams that the highest demand of late may keep busy,
   * where one more of them costs nothing, */
  double UseIfFree = 0.3;
  /** and where it costs the full price. */
  double UseIfDear = 0.6;
  /** Most of the upstreams that may be withdrawable. */
  double WithdrawableShare = 0.8;
  /** Share that may be busy while a hall has none to offer, before others are
   * ordered at the full price. */
  double UseInNeed = 0.8;
  /** For so long the highest demand counts. */
  gsTime PeakMemory = gsSeconds(20);
  /** Less is ordered no sooner after more was, nor more often than this. */
  gsTime Hold = gsSeconds(12);
  /** Smaller changes than this share of all are not ordered. */
  double Slack = 0.1;
  /** At first the list has to stand unchanged for so long: upstreams that
   * start with the hosts come into it one by one. */
  gsTime Settle = gsMilliseconds(1500);
  /** A list that changes all the time is waited for no longer than this. */
  gsTime SettleMost = gsSeconds(5);
  /** While upstreams are exchanged for cheaper ones, so much of what is wanted
   * stays: where a hall has no room for more, some have to go first. */
  double KeepShare = 0.9;
  /** A hall that had none to offer is asked again after so long. */
  gsTime DryPatience = gsSeconds(4);
};

/** A service's upstreams in one hall and of one kind. */
struct gsScalingSubject
{
  std::string Hall;
  bool Withdrawable = false;

  friend bool operator<(gsScalingSubject const& a, gsScalingSubject const& b)
  {
    return std::tie(a.Hall, a.Withdrawable) < std::tie(b.Hall, b.Withdrawable);
  }
};

using gsScalingCounts = std::map<gsScalingSubject, std::uint32_t>;

/** What the deciding host knows of a service. */
struct gsScaling
{
  gsTime Looked{};         ///< First look at the list; zero before.
  std::uint32_t Seen = 0;  ///< Upstreams in it at the last look,
  gsTime SeenSince{};      ///< and since when there are so many.
  gsTime Since{};          ///< First decision; zero before.
  gsTime AskedSince{};     ///< First demand; zero before.
  std::uint32_t First = 0; ///< Upstreams that were listed at first,
  bool FirstMixed = false; ///< withdrawable ones among them.
  double Peak = 0;         ///< Highest demand of late, engines,
  gsTime PeakAt{};         ///< and when it was that high.
  std::uint32_t Total = 0; ///< That are wanted.
  gsTime GrewAt{};
  gsTime ShrankAt{};
  std::map<std::string, gsTime> DryUntil; ///< By hall.
};

/**
 * Numbers that are wanted; none while the list has not settled. Listed holds
 * the upstreams that are there and do not leave, by subject, with a row for
 * each hall; demand is the work that is asked for, in engines that it keeps
 * busy, and zero while it is not known.
 */
gsScalingCounts gsScalingDecide(gsScaling& scaling,
                                gsScalingSettings const& settings,
                                gsScalingTerms const& terms,
                                gsScalingCounts const& listed, double demand,
                                gsTime now);

/** The platform has no withdrawable upstream to offer in a hall. */
void gsScalingNoteDry(gsScaling& scaling, gsScalingSettings const& settings,
                      std::string const& hall, gsTime now);
