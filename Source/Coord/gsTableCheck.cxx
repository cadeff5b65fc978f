/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTableCheck.h"

#include <algorithm>

namespace {

/** Forgets what holds no more: this host's rows have changed, or the other
 * has not said it again. */
void Prune(gsTableCheck& check, gsRowsCheck const& own, gsTime now)
{
  for (auto host = check.Hosts.begin(); host != check.Hosts.end();) {
    bool holds = gsRowsDiffer(host->second.Theirs, own) &&
                 now - host->second.Heard <= check.Settings.Memory;
    host = holds ? std::next(host) : check.Hosts.erase(host);
  }
  if (check.Hosts.empty()) {
    check.Gap = gsTime{};
  }
}

} // namespace

void gsCheckHear(gsTableCheck& check, std::string_view host,
                 gsRowsCheck const& theirs, gsRowsCheck const& own, gsTime now)
{
  bool differs = gsRowsDiffer(theirs, own);
  if (!differs && check.Hosts.empty()) {
    return; // As for nearly every frame.
  }
  std::string name(host);
  if (!differs) {
    check.Hosts.erase(name);
    return;
  }
  auto [known, fresh] =
    check.Hosts.insert({ name, { theirs, /*Since=*/now, /*Heard=*/now } });
  known->second.Theirs = theirs;
  known->second.Heard = now;
}

std::optional<gsTableDifference> gsCheckDue(gsTableCheck& check,
                                            gsRowsCheck const& own, gsTime now)
{
  Prune(check, own, now);
  bool early = check.Gap.count() != 0 && now - check.Tried < check.Gap;
  if (early) {
    return std::nullopt;
  }
  for (auto const& [host, differing] : check.Hosts) {
    if (now - differing.Since < check.Settings.Patience) {
      continue;
    }
    check.Tried = now;
    check.Gap = std::clamp(check.Gap * 2, check.Settings.GapFirst,
                           check.Settings.GapMost);
    return gsTableDifference{ host, differing.Theirs };
  }
  return std::nullopt;
}

gsCountsRead gsReadCounts(int rows, int hashes, int versions)
{
  if (rows == 0 && hashes == 0) {
    return gsCountsRead::None;
  }
  constexpr int tables = 2;
  bool readable = rows == tables && hashes == tables && versions == tables;
  return readable ? gsCountsRead::Told : gsCountsRead::Unreadable;
}

bool gsMayAsk(gsAskPace& pace, bool known, gsTime now)
{
  /** All of a table of 10,000 rows takes 0.4 s on a link of 20 Mbit/s, and a
   * coordinator sends it to its whole hall. */
  constexpr gsTime wholeGap = gsSeconds(2);
  bool waits =
    !known && pace.Asked.count() != 0 && now - pace.Asked < wholeGap;
  if (!waits) {
    pace.Asked = now;
  }
  return !waits;
}
