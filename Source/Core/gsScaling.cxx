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
  for (auto const& [subject, count] : counts) {
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

/** Halls, those first in which an upstream costs least. */
std::vector<std::string> HallsByPrice(gsScalingTerms const& terms,
                                      gsScalingCounts const& listed)
{
  std::set<std::string> names;
  for (auto const& [subject, count] : listed) {
    names.insert(subject.Hall);
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

bool HasWithdrawable(gsScalingTerms const& terms,
                     gsScalingSettings const& settings)
{
  return terms.WithdrawablePrice < 1 && settings.WithdrawableShare > 0;
}

/** Share of the upstreams that may be busy, by the price of one more. */
double AllowedUse(gsScalingTerms const& terms,
                  gsScalingSettings const& settings)
{
  double price =
    HasWithdrawable(terms, settings) ? terms.WithdrawablePrice : 1.0;
  return settings.UseIfFree + std::clamp(price, 0.0, 1.0) *
                                (settings.UseIfDear - settings.UseIfFree);
}

/** Whether the list may be taken for what is there. */
bool IsSettled(gsScaling& scaling, gsScalingSettings const& settings,
               std::uint32_t listed, gsTime now)
{
  if (scaling.Looked.count() == 0) {
    scaling.Looked = now;
  }
  if (listed != scaling.Seen || scaling.SeenSince.count() == 0) {
    scaling.Seen = listed;
    scaling.SeenSince = now;
  }
  return now - scaling.SeenSince >= settings.Settle ||
         now - scaling.Looked >= settings.SettleMost;
}

void NoteDemand(gsScaling& scaling, gsScalingSettings const& settings,
                double demand, gsTime now)
{
  if (demand > 0 && scaling.AskedSince.count() == 0) {
    scaling.AskedSince = now;
  }
  bool over = now - scaling.PeakAt > settings.PeakMemory;
  if (demand >= scaling.Peak || over) {
    scaling.Peak = demand;
    scaling.PeakAt = now;
  }
}

/** How many the demand asks for, before any hold. */
double Asked(gsScaling const& scaling, gsScalingSettings const& settings,
             gsScalingTerms const& terms, std::size_t halls)
{
  double use = AllowedUse(terms, settings);
  if (scaling.Peak <= 0) {
    // Nobody has asked for anything yet. What the operator has put there at
    // the full price is taken to do for the share that this price allows.
    return scaling.FirstMixed ? scaling.First
                              : scaling.First * settings.UseIfDear / use;
  }
  double asked = scaling.Peak / use;
  if (halls > 1) {
    // What is left when a hall is lost bears the demand.
    double share =
      static_cast<double>(halls) / (static_cast<double>(halls) - 1);
    asked = std::max(asked, scaling.Peak / settings.UseInNeed * share);
  }
  return asked;
}

/** Follows what is asked for: up at once, down late and by steps. */
void Follow(gsScaling& scaling, gsScalingSettings const& settings,
            std::uint32_t asked, gsTime startup, gsTime now)
{
  double slack = settings.Slack * scaling.Total;
  if (asked > scaling.Total + slack) {
    scaling.Total = asked;
    scaling.GrewAt = now;
    return;
  }
  gsTime hold = std::max(settings.Hold, startup);
  bool mayShrink =
    scaling.AskedSince.count() != 0 && now - scaling.AskedSince >= hold &&
    now - scaling.GrewAt >= hold && now - scaling.ShrankAt >= hold;
  if (asked + 2 * slack < scaling.Total && mayShrink) {
    scaling.Total = std::max<std::uint32_t>(
      asked, scaling.Total - static_cast<std::uint32_t>(2 * slack));
    scaling.ShrankAt = now;
  }
}

bool IsDry(gsScaling const& scaling, std::string const& hall, gsTime now)
{
  auto found = scaling.DryUntil.find(hall);
  return found != scaling.DryUntil.end() && now < found->second;
}

/** An even share for each hall, what is left over to the first. */
std::vector<std::uint32_t> Even(std::uint32_t total, std::size_t halls)
{
  std::vector<std::uint32_t> shares;
  for (std::size_t i = 0; i < halls; ++i) {
    shares.push_back(total / static_cast<std::uint32_t>(halls) +
                     (i < total % halls ? 1 : 0));
  }
  return shares;
}

/** Spreads withdrawable ones over the halls that have them; returns how many
 * found no place. */
std::uint32_t SpreadWithdrawable(gsScaling const& scaling,
                                 gsScalingTerms const& terms,
                                 gsScalingCounts const& listed,
                                 std::vector<std::string> const& halls,
                                 std::uint32_t total, gsTime now,
                                 gsScalingCounts& wanted)
{
  std::vector<std::string> wet;
  std::uint32_t left = total;
  for (std::string const& hall : halls) {
    if (!IsDry(scaling, hall, now)) {
      wet.push_back(hall);
      continue;
    }
    std::uint32_t there = CountOf(listed, hall, true);
    wanted[{ hall, true }] = there;
    left -= std::min(left, there);
  }
  if (wet.empty()) {
    return left;
  }
  std::vector<std::uint32_t> shares = Even(left, wet.size());
  for (std::size_t i = 0; i < wet.size(); ++i) {
    std::uint32_t dear =
      std::max(wanted[{ wet[i], false }], CountOf(listed, wet[i], false));
    std::uint32_t room = terms.Most - std::min(terms.Most, dear);
    std::uint32_t count = std::min(shares[i], room);
    wanted[{ wet[i], true }] = count;
    left -= count;
  }
  return left;
}

/** Orders fewer only as far as what is there without them is nearly enough:
 * what replaces them may still be starting. */
void KeepUntilReplaced(gsScaling const& scaling,
                       gsScalingSettings const& settings,
                       gsScalingCounts const& listed, gsScalingCounts& wanted)
{
  std::uint32_t there = Sum(listed);
  auto kept = static_cast<std::uint32_t>(settings.KeepShare * scaling.Total);
  std::uint32_t spare = there - std::min(there, kept);
  for (auto& [subject, count] : wanted) {
    std::uint32_t now = CountOf(listed, subject.Hall, subject.Withdrawable);
    if (now > count) {
      std::uint32_t fewer = std::min(now - count, spare);
      spare -= fewer;
      count = now - fewer;
    }
  }
}

} // namespace

gsScalingCounts gsScalingDecide(gsScaling& scaling,
                                gsScalingSettings const& settings,
                                gsScalingTerms const& terms,
                                gsScalingCounts const& listed, double demand,
                                gsTime now)
{
  std::vector<std::string> halls = HallsByPrice(terms, listed);
  if (halls.empty()) {
    return {};
  }
  auto count = static_cast<std::uint32_t>(halls.size());
  bool settled = IsSettled(scaling, settings, Sum(listed), now);
  if (scaling.Since.count() == 0 && !settled) {
    return {};
  }
  if (scaling.Since.count() == 0) {
    // Whoever decided before may have ordered for a demand that is not known
    // here yet: what is there stays for a while.
    scaling.Since = now;
    scaling.First = Sum(listed);
    for (auto const& [subject, there] : listed) {
      scaling.FirstMixed =
        scaling.FirstMixed || (subject.Withdrawable && there > 0);
    }
    scaling.Total = scaling.First;
    scaling.ShrankAt = now;
  }
  NoteDemand(scaling, settings, demand, now);
  double asked = std::ceil(Asked(scaling, settings, terms, halls.size()));
  asked = std::clamp<double>(asked, terms.Least * count, terms.Most * count);
  Follow(scaling, settings, static_cast<std::uint32_t>(asked), terms.Startup,
         now);

  double dearShare =
    HasWithdrawable(terms, settings) ? 1 - settings.WithdrawableShare : 1.0;
  auto dear = static_cast<std::uint32_t>(std::ceil(dearShare * scaling.Total));
  gsScalingCounts wanted;
  std::vector<std::uint32_t> shares = Even(dear, halls.size());
  for (std::size_t i = 0; i < halls.size(); ++i) {
    wanted[{ halls[i], false }] =
      std::clamp(shares[i], terms.Least, terms.Most);
  }
  if (!HasWithdrawable(terms, settings)) {
    KeepUntilReplaced(scaling, settings, listed, wanted);
    return wanted;
  }
  std::uint32_t cheap = scaling.Total - std::min(scaling.Total, Sum(wanted));
  std::uint32_t missing =
    SpreadWithdrawable(scaling, terms, listed, halls, cheap, now, wanted);
  std::uint32_t have = scaling.Total - std::min(scaling.Total, missing);
  auto needed =
    static_cast<std::uint32_t>(std::ceil(scaling.Peak / settings.UseInNeed));
  if (have < needed) {
    std::vector<std::uint32_t> more = Even(needed - have, halls.size());
    for (std::size_t i = 0; i < halls.size(); ++i) {
      std::uint32_t& regular = wanted[{ halls[i], false }];
      std::uint32_t both = regular + CountOf(wanted, halls[i], true);
      regular += std::min(more[i], terms.Most - std::min(terms.Most, both));
    }
  }
  KeepUntilReplaced(scaling, settings, listed, wanted);
  return wanted;
}

void gsScalingNoteDry(gsScaling& scaling, gsScalingSettings const& settings,
                      std::string const& hall, gsTime now)
{
  scaling.DryUntil[hall] = now + settings.DryPatience;
}
