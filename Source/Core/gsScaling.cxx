/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsScaling.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace {

std::uint32_t Sum(gsScalingCounts const& counts)
{
  std::uint32_t sum = 0;
  for (auto const& [pool, count] : counts) {
    sum += count;
  }
  return sum;
}

std::uint32_t CountOf(gsScalingCounts const& counts, std::string const& hall,
                      bool withdrawable)
{
  auto found = counts.find({ hall, withdrawable });
  return found == counts.end() ? 0 : found->second;
}

/** All listed halls, ascending by price. */
std::vector<std::string> HallsByPrice(gsScalingPolicy const& terms,
                                      gsScalingCounts const& listed)
{
  std::set<std::string> names;
  for (auto const& [pool, count] : listed) {
    names.insert(pool.Hall);
  }
  std::vector<std::string> halls(names.begin(), names.end());
  auto price = [&terms](std::string const& hall) {
    auto found = terms.HallPrices.find(hall);
    return found == terms.HallPrices.end() ? 1.0 : found->second;
  };
  std::stable_sort(halls.begin(), halls.end(),
                   [&price](std::string const& a, std::string const& b) {
                     return price(a) < price(b);
                   });
  return halls;
}

bool HasWithdrawable(gsScalingPolicy const& terms,
                     gsScalingSettings const& settings)
{
  return terms.WithdrawablePrice < 1 && settings.MaxWithdrawableShare > 0;
}

/** Target utilisation, by the price of an additional upstream. */
double TargetUtilisation(gsScalingPolicy const& terms,
                         gsScalingSettings const& settings)
{
  double price =
    HasWithdrawable(terms, settings) ? terms.WithdrawablePrice : 1.0;
  return settings.UtilisationAtZeroPrice +
         std::clamp(price, 0.0, 1.0) *
           (settings.UtilisationAtFullPrice - settings.UtilisationAtZeroPrice);
}

/** Whether the list of upstreams is considered complete. */
bool IsSettled(gsScaling& scaling, gsScalingSettings const& settings,
               std::uint32_t listed, gsTime now)
{
  if (scaling.FirstListedAt.count() == 0) {
    scaling.FirstListedAt = now;
  }
  if (listed != scaling.ListedCount || scaling.ListedCountSince.count() == 0) {
    scaling.ListedCount = listed;
    scaling.ListedCountSince = now;
  }
  return now - scaling.ListedCountSince >= settings.SettleTime ||
         now - scaling.FirstListedAt >= settings.MaxSettleTime;
}

/** Updates the recent peak demand. */
void UpdatePeak(gsScaling& scaling, gsScalingSettings const& settings,
                double demand, gsTime now)
{
  if (demand > 0 && scaling.FirstDemandAt.count() == 0) {
    scaling.FirstDemandAt = now;
  }
  bool expired = now - scaling.PeakAt > settings.PeakRetention;
  if (demand >= scaling.PeakDemand || expired) {
    scaling.PeakDemand = demand;
    scaling.PeakAt = now;
  }
}

/** Whether there has been demand for MinDemandTime. Orders that were placed
 * before that were for a demand that a few requests had shown. */
bool IsDemandKnown(gsScaling const& scaling, gsScalingSettings const& settings,
                   gsTime now)
{
  return settings.MinDemandTime.count() == 0 ||
         (scaling.FirstDemandAt.count() != 0 &&
          now - scaling.FirstDemandAt >= settings.MinDemandTime);
}

/** Number of upstreams needed for the peak demand, before limits on changes.
 */
double NeededUpstreams(gsScaling const& scaling,
                       gsScalingSettings const& settings,
                       gsScalingPolicy const& terms, std::size_t halls)
{
  double utilisation = TargetUtilisation(terms, settings);
  if (scaling.PeakDemand <= 0) {
    // There was no demand yet. The regular upstreams that the operator has
    // provided are considered sufficient at the utilisation for the full
    // price.
    return scaling.InitialHasWithdrawable
             ? scaling.InitialCount
             : scaling.InitialCount * settings.UtilisationAtFullPrice /
                 utilisation;
  }
  double needed = scaling.PeakDemand / utilisation;
  if (halls > 1) {
    // The remaining halls have to serve the demand if one hall is lost.
    double factor =
      static_cast<double>(halls) / (static_cast<double>(halls) - 1);
    needed =
      std::max(needed, scaling.PeakDemand / settings.MaxUtilisation * factor);
  }
  return needed;
}

/** Updates the total: increases immediately, decreases delayed and in steps.
 */
void UpdateTotal(gsScaling& scaling, gsScalingSettings const& settings,
                 std::uint32_t needed, gsTime startup, gsTime now)
{
  double minChange = settings.MinChangeShare * scaling.WantedTotal;
  if (needed > scaling.WantedTotal + minChange) {
    scaling.WantedTotal = needed;
    scaling.IncreasedAt = now;
    return;
  }
  gsTime minInterval = std::max(settings.MinDecreaseInterval, startup);
  bool mayShrink = scaling.FirstDemandAt.count() != 0 &&
                   now - scaling.FirstDemandAt >= minInterval &&
                   now - scaling.IncreasedAt >= minInterval &&
                   now - scaling.DecreasedAt >= minInterval;
  if (needed + 2 * minChange < scaling.WantedTotal && mayShrink) {
    scaling.WantedTotal = std::max<std::uint32_t>(
      needed, scaling.WantedTotal - static_cast<std::uint32_t>(2 * minChange));
    scaling.DecreasedAt = now;
  }
}

bool IsUnavailable(gsScaling const& scaling, std::string const& hall,
                   gsTime now)
{
  auto found = scaling.UnavailableUntil.find(hall);
  return found != scaling.UnavailableUntil.end() && now < found->second;
}

/** Splits a total evenly over a number of halls; the first halls get the
 * remainder. */
std::vector<std::uint32_t> SplitEvenly(std::uint32_t total, std::size_t halls)
{
  std::vector<std::uint32_t> shares;
  for (std::size_t i = 0; i < halls; ++i) {
    shares.push_back(total / static_cast<std::uint32_t>(halls) +
                     (i < total % halls ? 1 : 0));
  }
  return shares;
}

/** Spreads withdrawable upstreams over the halls that have them available,
 * within the maximum per hall. \return The number that could not be placed. */
std::uint32_t SpreadWithdrawable(gsScaling const& scaling,
                                 gsScalingPolicy const& terms,
                                 gsScalingCounts const& listed,
                                 std::vector<std::string> const& halls,
                                 std::uint32_t total, gsTime now,
                                 gsScalingCounts& wanted)
{
  std::vector<std::string> availableHalls;
  std::uint32_t remaining = total;
  for (std::string const& hall : halls) {
    if (!IsUnavailable(scaling, hall, now)) {
      availableHalls.push_back(hall);
      continue;
    }
    std::uint32_t listedCount = CountOf(listed, hall, true);
    wanted[{ hall, true }] = listedCount;
    remaining -= std::min(remaining, listedCount);
  }
  if (availableHalls.empty()) {
    return remaining;
  }
  std::vector<std::uint32_t> shares =
    SplitEvenly(remaining, availableHalls.size());
  for (std::size_t i = 0; i < availableHalls.size(); ++i) {
    std::uint32_t regular =
      std::max(wanted[{ availableHalls[i], false }],
               CountOf(listed, availableHalls[i], false));
    std::uint32_t capacity =
      terms.MaxPerHall - std::min(terms.MaxPerHall, regular);
    std::uint32_t count = std::min(shares[i], capacity);
    wanted[{ availableHalls[i], true }] = count;
    remaining -= count;
  }
  return remaining;
}

/** Limits decreases so that MinServingShare of the total remains listed, since
 * the replacements may still be starting. */
void LimitDecreases(gsScaling const& scaling,
                    gsScalingSettings const& settings,
                    gsScalingCounts const& listed, gsScalingCounts& wanted)
{
  std::uint32_t listedTotal = Sum(listed);
  auto minServing =
    static_cast<std::uint32_t>(settings.MinServingShare * scaling.WantedTotal);
  std::uint32_t removable = listedTotal - std::min(listedTotal, minServing);
  for (auto& [pool, count] : wanted) {
    std::uint32_t current = CountOf(listed, pool.Hall, pool.Withdrawable);
    if (current > count) {
      std::uint32_t decrease = std::min(current - count, removable);
      removable -= decrease;
      count = current - decrease;
    }
  }
}

} // namespace

gsScalingCounts gsScalingDecide(gsScaling& scaling,
                                gsScalingSettings const& settings,
                                gsScalingPolicy const& terms,
                                gsScalingCounts const& listed, double demand,
                                gsTime now)
{
  std::vector<std::string> halls = HallsByPrice(terms, listed);
  if (halls.empty()) {
    return {};
  }
  auto hallCount = static_cast<std::uint32_t>(halls.size());
  bool settled = IsSettled(scaling, settings, Sum(listed), now);
  if (scaling.FirstDecisionAt.count() == 0 && !settled) {
    return {};
  }
  if (scaling.FirstDecisionAt.count() == 0) {
    // Another host may have ordered the listed upstreams for a demand that is
    // not known here yet, so the first decrease is delayed.
    scaling.FirstDecisionAt = now;
    scaling.InitialCount = Sum(listed);
    for (auto const& [pool, listedCount] : listed) {
      scaling.InitialHasWithdrawable = scaling.InitialHasWithdrawable ||
                                       (pool.Withdrawable && listedCount > 0);
    }
    scaling.WantedTotal = scaling.InitialCount;
    scaling.DecreasedAt = now;
  }
  UpdatePeak(scaling, settings, demand, now);
  if (!IsDemandKnown(scaling, settings, now)) {
    return {};
  }
  double needed =
    std::ceil(NeededUpstreams(scaling, settings, terms, halls.size()));
  needed = std::clamp<double>(needed, terms.MinPerHall * hallCount,
                              terms.MaxPerHall * hallCount);
  UpdateTotal(scaling, settings, static_cast<std::uint32_t>(needed),
              terms.StartupTime, now);

  double regularShare =
    HasWithdrawable(terms, settings) ? 1 - settings.MaxWithdrawableShare : 1.0;
  auto regularTotal =
    static_cast<std::uint32_t>(std::ceil(regularShare * scaling.WantedTotal));
  gsScalingCounts wanted;
  std::vector<std::uint32_t> shares = SplitEvenly(regularTotal, halls.size());
  for (std::size_t i = 0; i < halls.size(); ++i) {
    wanted[{ halls[i], false }] =
      std::clamp(shares[i], terms.MinPerHall, terms.MaxPerHall);
  }
  if (!HasWithdrawable(terms, settings)) {
    LimitDecreases(scaling, settings, listed, wanted);
    return wanted;
  }
  std::uint32_t withdrawableTotal =
    scaling.WantedTotal - std::min(scaling.WantedTotal, Sum(wanted));
  std::uint32_t missing = SpreadWithdrawable(scaling, terms, listed, halls,
                                             withdrawableTotal, now, wanted);
  std::uint32_t available =
    scaling.WantedTotal - std::min(scaling.WantedTotal, missing);
  auto minAvailable = static_cast<std::uint32_t>(
    std::ceil(scaling.PeakDemand / settings.MaxUtilisation));
  if (available < minAvailable) {
    std::vector<std::uint32_t> additional =
      SplitEvenly(minAvailable - available, halls.size());
    for (std::size_t i = 0; i < halls.size(); ++i) {
      std::uint32_t& regular = wanted[{ halls[i], false }];
      std::uint32_t both = regular + CountOf(wanted, halls[i], true);
      regular += std::min(additional[i],
                          terms.MaxPerHall - std::min(terms.MaxPerHall, both));
    }
  }
  LimitDecreases(scaling, settings, listed, wanted);
  return wanted;
}

void gsScalingRecordUnavailable(gsScaling& scaling,
                                gsScalingSettings const& settings,
                                std::string const& hall, gsTime now)
{
  scaling.UnavailableUntil[hall] = now + settings.UnavailableRetryDelay;
}
