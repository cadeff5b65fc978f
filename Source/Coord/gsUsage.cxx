/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUsage.h"

#include <algorithm>

void gsUsageMerge(gsUsageLedger& ledger, std::string_view source,
                  gsUsageWindows const& counts)
{
  for (auto const& [window, organisations] : counts) {
    gsUsageCounts& merged = ledger.Windows[window][std::string(source)];
    for (auto const& [organisation, count] : organisations) {
      std::uint64_t& greatest = merged[organisation];
      greatest = std::max(greatest, count);
    }
  }
}

void gsUsageIncrement(gsUsageLedger& ledger, std::string_view source,
                      std::uint64_t window, std::string const& organisation)
{
  ++ledger.Windows[window][std::string(source)][organisation];
}

gsUsageCounts gsUsageSum(gsUsageLedger const& ledger, std::uint64_t window)
{
  gsUsageCounts sum;
  auto sources = ledger.Windows.find(window);
  if (sources == ledger.Windows.end()) {
    return sum;
  }
  for (auto const& [source, counts] : sources->second) {
    for (auto const& [organisation, count] : counts) {
      sum[organisation] += count;
    }
  }
  return sum;
}

gsUsageWindows gsUsageSumsByWindow(gsUsageLedger const& ledger)
{
  gsUsageWindows sums;
  for (auto const& [window, sources] : ledger.Windows) {
    sums[window] = gsUsageSum(ledger, window);
  }
  return sums;
}

void gsUsagePurge(gsUsageLedger& ledger, std::uint64_t before)
{
  ledger.Windows.erase(ledger.Windows.begin(),
                       ledger.Windows.lower_bound(before));
}

gsUsageWindows gsUsageTakeUpdate(gsUsageWindows const& counts,
                                 gsUsageSentCounts& sent,
                                 gsTime refreshInterval, gsTime now)
{
  bool sendsAll =
    sent.FullSentAt.count() == 0 || now - sent.FullSentAt >= refreshInterval;
  gsUsageWindows update;
  for (auto const& [window, organisations] : counts) {
    for (auto const& [organisation, count] : organisations) {
      std::uint64_t& last = sent.Counts[window][organisation];
      if (sendsAll || count != last) {
        update[window][organisation] = count;
        last = count;
      }
    }
  }
  if (sendsAll) {
    sent.Counts = counts;
    sent.FullSentAt = now;
  }
  return update;
}

std::uint64_t gsUsageWindowOf(std::int64_t micros, gsTime length)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(micros, 0) /
                                    length.count());
}

std::int64_t gsUsageWindowEnd(std::uint64_t window, gsTime length)
{
  return static_cast<std::int64_t>(window + 1) * length.count();
}
