/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsHallReach.h"

#include <algorithm>

bool gsHallNoteFailure(gsHallReaches& halls,
                       gsHallReachSettings const& settings,
                       std::string_view hall, std::string_view upstream,
                       gsTime now)
{
  gsHallReach& reach = halls[std::string(hall)];
  if (now - reach.FirstFailure > settings.Window) {
    reach.Failed.clear();
  }
  if (reach.Failed.empty()) {
    reach.FirstFailure = now;
  }
  reach.Failed.emplace(upstream);
  reach.LastFailure = now;
  bool begins =
    !reach.Unreachable && reach.Failed.size() >= settings.MinFailures;
  if (begins) {
    reach.Unreachable = true;
    reach.RetryDelay = settings.RetryFirst;
    reach.RetryAt = now + reach.RetryDelay;
  }
  return begins;
}

bool gsHallNoteHeard(gsHallReaches& halls, std::string_view hall,
                     gsTime heardAt)
{
  auto found = halls.find(hall);
  if (found == halls.end() || heardAt <= found->second.FirstFailure) {
    return false;
  }
  gsHallReach& reach = found->second;
  bool was = reach.Unreachable;
  reach.Failed.clear();
  reach.Unreachable = false;
  return was;
}

void gsHallForget(gsHallReaches& halls, gsHallReachSettings const& settings,
                  gsTime now)
{
  for (auto& [hall, reach] : halls) {
    if (now - reach.LastFailure > settings.Belief) {
      reach.Failed.clear();
      reach.Unreachable = false;
    }
  }
}

void gsHallNoteTold(gsHallReaches& halls,
                    std::set<std::string, std::less<>> const& told)
{
  for (auto& [hall, reach] : halls) {
    reach.Told = told.count(hall) != 0;
  }
  for (std::string const& hall : told) {
    halls[hall].Told = true;
  }
}

bool gsHallIsCutOff(gsHallReaches const& halls, std::string_view hall)
{
  auto found = halls.find(hall);
  return found != halls.end() &&
         (found->second.Unreachable || found->second.Told);
}

bool gsHallMayTry(gsHallReaches const& halls, std::string_view hall,
                  gsTime now)
{
  auto found = halls.find(hall);
  if (found == halls.end()) {
    return true;
  }
  gsHallReach const& reach = found->second;
  return reach.Unreachable ? now >= reach.RetryAt : !reach.Told;
}

void gsHallNoteTry(gsHallReaches& halls, gsHallReachSettings const& settings,
                   std::string_view hall, gsTime now)
{
  auto found = halls.find(hall);
  if (found == halls.end() || !found->second.Unreachable) {
    return;
  }
  gsHallReach& reach = found->second;
  reach.RetryDelay = std::min(reach.RetryDelay * 2, settings.RetryMost);
  reach.RetryAt = now + reach.RetryDelay;
}
