/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsDivergenceCheck.h"

#include <algorithm>

namespace {

/** Discards divergences that no longer apply because this host's rows have
 * changed or the other host's digest has expired. */
void DiscardOutdated(gsDivergenceCheck& check, gsTableDigest const& own,
                     gsTime now)
{
  for (auto host = check.DivergentHosts.begin();
       host != check.DivergentHosts.end();) {
    bool applies =
      gsTableDigestsDiffer(host->second.RemoteDigest, own) &&
      now - host->second.ReceivedAt <= check.Settings.DigestLifetime;
    host = applies ? std::next(host) : check.DivergentHosts.erase(host);
  }
  if (check.DivergentHosts.empty()) {
    check.RepairInterval = gsTime{};
  }
}

} // namespace

void gsCompareTableDigests(gsDivergenceCheck& check, std::string_view host,
                           gsTableDigest const& remote,
                           gsTableDigest const& own, gsTime now)
{
  bool differs = gsTableDigestsDiffer(remote, own);
  if (!differs && check.DivergentHosts.empty()) {
    return; // No divergence; the case for nearly every frame.
  }
  std::string name(host);
  if (!differs) {
    check.DivergentHosts.erase(name);
    return;
  }
  auto [divergent, inserted] = check.DivergentHosts.insert(
    { name, { remote, /*DivergentSince=*/now, /*ReceivedAt=*/now } });
  divergent->second.RemoteDigest = remote;
  divergent->second.ReceivedAt = now;
}

std::optional<gsTableDivergence> gsTakeDueDivergence(gsDivergenceCheck& check,
                                                     gsTableDigest const& own,
                                                     gsTime now)
{
  DiscardOutdated(check, own, now);
  bool tooEarly = check.RepairInterval.count() != 0 &&
                  now - check.LastAttemptAt < check.RepairInterval;
  if (tooEarly) {
    return std::nullopt;
  }
  for (auto const& [host, divergent] : check.DivergentHosts) {
    if (now - divergent.DivergentSince < check.Settings.ConfirmationDelay) {
      continue;
    }
    check.LastAttemptAt = now;
    check.RepairInterval =
      std::clamp(check.RepairInterval * 2, check.Settings.MinRepairInterval,
                 check.Settings.MaxRepairInterval);
    return gsTableDivergence{ host, divergent.RemoteDigest };
  }
  return std::nullopt;
}

gsDigestFields gsClassifyDigestFields(int rows, int hashes, int versions)
{
  if (rows == 0 && hashes == 0) {
    return gsDigestFields::Absent;
  }
  constexpr int tables = 2;
  bool complete = rows == tables && hashes == tables && versions == tables;
  return complete ? gsDigestFields::Present : gsDigestFields::Malformed;
}

bool gsAllowTableQuery(gsTableQueryLimiter& pace, bool hasTable, gsTime now)
{
  /** Sending a full table of 10,000 rows takes 0.4 s on a link of 20 Mbit/s,
   * and a coordinator sends it to all hosts of its hall. */
  constexpr gsTime minFullQueryInterval = gsSeconds(2);
  bool tooEarly = !hasTable && pace.LastQueryAt.count() != 0 &&
                  now - pace.LastQueryAt < minFullQueryInterval;
  if (!tooEarly) {
    pace.LastQueryAt = now;
  }
  return !tooEarly;
}
