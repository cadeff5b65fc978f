/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUsage.h"

#include <algorithm>

void gsUsageMerge(gsUsageLedger& ledger, std::string_view source,
                  gsUsageWindows const& counts)
{
  for (auto const& [window, organisations] : counts) {
    gsUsageCounts& known = ledger.Windows[window][std::string(source)];
    for (auto const& [organisation, count] : organisations) {
      std::uint64_t& most = known[organisation];
      most = std::max(most, count);
    }
  }
}

void gsUsageCount(gsUsageLedger& ledger, std::string_view source,
                  std::uint64_t window, std::string const& organisation)
{
  ++ledger.Windows[window][std::string(source)][organisation];
}

gsUsageCounts gsUsageSum(gsUsageLedger const& ledger, std::uint64_t window)
{
  gsUsageCounts sum;
  auto found = ledger.Windows.find(window);
  if (found == ledger.Windows.end()) {
    return sum;
  }
  for (auto const& [source, counts] : found->second) {
    for (auto const& [organisation, count] : counts) {
      sum[organisation] += count;
    }
  }
  return sum;
}

gsUsageWindows gsUsageSums(gsUsageLedger const& ledger)
{
  gsUsageWindows sums;
  for (auto const& [window, sources] : ledger.Windows) {
    sums[window] = gsUsageSum(ledger, window);
  }
  return sums;
}

void gsUsageForget(gsUsageLedger& ledger, std::uint64_t before)
{
  ledger.Windows.erase(ledger.Windows.begin(),
                       ledger.Windows.lower_bound(before));
}

gsUsageWindows gsUsageNews(gsUsageWindows const& counts, gsUsageTold& told,
                           gsTime refresh, gsTime now)
{
  bool whole = told.WholeAt.count() == 0 || now - told.WholeAt >= refresh;
  gsUsageWindows news;
  for (auto const& [window, organisations] : counts) {
    for (auto const& [organisation, count] : organisations) {
      std::uint64_t& last = told.Counts[window][organisation];
      if (whole || count != last) {
        news[window][organisation] = count;
        last = count;
      }
    }
  }
  if (whole) {
    told.Counts = counts;
    told.WholeAt = now;
  }
  return news;
}

std::uint64_t gsUsageWindowOf(std::int64_t trueMicros, gsTime length)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(trueMicros, 0) /
                                    length.count());
}

std::int64_t gsUsageWindowEnd(std::uint64_t window, gsTime length)
{
  return static_cast<std::int64_t>(window + 1) * length.count();
}
