/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsHallReachability.h"

#include <algorithm>

bool gsHallRecordFailure(gsHallReachabilityMap& halls,
                         gsHallReachabilitySettings const& settings,
                         std::string_view hall, std::string_view upstream,
                         gsTime now)
{
  gsHallReachability& reach = halls[std::string(hall)];
  if (now - reach.FirstFailureAt > settings.FailureWindow) {
    reach.FailedUpstreams.clear();
  }
  if (reach.FailedUpstreams.empty()) {
    reach.FirstFailureAt = now;
  }
  reach.FailedUpstreams.emplace(upstream);
  reach.LastFailureAt = now;
  bool becomesUnreachable =
    !reach.IsUnreachable &&
    reach.FailedUpstreams.size() >= settings.MinFailures;
  if (becomesUnreachable) {
    reach.IsUnreachable = true;
    reach.RetryDelay = settings.InitialRetryDelay;
    reach.RetryAt = now + reach.RetryDelay;
  }
  return becomesUnreachable;
}

bool gsHallRecordResponse(gsHallReachabilityMap& halls, std::string_view hall,
                          gsTime receivedAt)
{
  auto found = halls.find(hall);
  if (found == halls.end() || receivedAt <= found->second.FirstFailureAt) {
    return false;
  }
  gsHallReachability& reach = found->second;
  bool wasUnreachable = reach.IsUnreachable;
  reach.FailedUpstreams.clear();
  reach.IsUnreachable = false;
  return wasUnreachable;
}

void gsHallExpireFailures(gsHallReachabilityMap& halls,
                          gsHallReachabilitySettings const& settings,
                          gsTime now)
{
  for (auto& [hall, reach] : halls) {
    if (now - reach.LastFailureAt > settings.FailureLifetime) {
      reach.FailedUpstreams.clear();
      reach.IsUnreachable = false;
    }
  }
}

void gsHallSetReportedUnreachable(
  gsHallReachabilityMap& halls,
  std::set<std::string, std::less<>> const& reported)
{
  for (auto& [hall, reach] : halls) {
    reach.IsReportedUnreachable = reported.count(hall) != 0;
  }
  for (std::string const& hall : reported) {
    halls[hall].IsReportedUnreachable = true;
  }
}

bool gsHallIsUnreachable(gsHallReachabilityMap const& halls,
                         std::string_view hall)
{
  auto found = halls.find(hall);
  return found != halls.end() &&
         (found->second.IsUnreachable || found->second.IsReportedUnreachable);
}

bool gsHallMaySend(gsHallReachabilityMap const& halls, std::string_view hall,
                   gsTime now)
{
  auto found = halls.find(hall);
  if (found == halls.end()) {
    return true;
  }
  gsHallReachability const& reach = found->second;
  return reach.IsUnreachable ? now >= reach.RetryAt
                             : !reach.IsReportedUnreachable;
}

void gsHallRecordAttempt(gsHallReachabilityMap& halls,
                         gsHallReachabilitySettings const& settings,
                         std::string_view hall, gsTime now)
{
  auto found = halls.find(hall);
  if (found == halls.end() || !found->second.IsUnreachable) {
    return;
  }
  gsHallReachability& reach = found->second;
  reach.RetryDelay = std::min(reach.RetryDelay * 2, settings.MaxRetryDelay);
  reach.RetryAt = now + reach.RetryDelay;
}
