/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Which hosts watch the platform's tables for their hall. */
#include <algorithm>
#include <string>

#include <gtest/gtest.h>

#include "gsWatchDuty.h"

namespace {

constexpr gsTime Begin = gsSeconds(50);

std::vector<std::string> Names(int count)
{
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    names.push_back("h" + std::to_string(i));
  }
  return names;
}

/** The state of the first host that is not assigned. */
gsWatchDuty FirstUnassigned(std::vector<std::string> const& names)
{
  gsWatchDuty duty;
  for (std::string const& name : names) {
    duty = gsWatchDuty();
    duty.Self = name;
    if (gsUpdateWatchState(duty, names, names.size(), Begin) !=
        gsWatchState::Assigned) {
      break;
    }
  }
  return duty;
}

/** The states of all hosts, each of them covered. */
std::vector<gsWatchDuty> AllCovered(std::vector<std::string> const& names)
{
  std::vector<gsWatchDuty> duties(names.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    duties[i].Self = names[i];
  }
  return duties;
}

/** Name of the assigned host; empty if there is none. */
std::string AssignedHost(std::vector<std::string> const& names)
{
  for (gsWatchDuty& duty : AllCovered(names)) {
    if (gsUpdateWatchState(duty, names, names.size(), Begin) ==
        gsWatchState::Assigned) {
      return duty.Self;
    }
  }
  return {};
}

std::size_t CountWatching(std::vector<gsWatchDuty> const& duties)
{
  return static_cast<std::size_t>(
    std::count_if(duties.begin(), duties.end(), [](gsWatchDuty const& duty) {
      return duty.State != gsWatchState::Covered;
    }));
}

} // namespace

TEST(WatchDuty, OneHostIsAssignedRegardlessOfHallSize)
{
  for (int size : { 1, 2, 3, 20, 57 }) {
    std::vector<std::string> names = Names(size);
    int assigned = 0;
    for (std::string const& name : names) {
      gsWatchDuty duty;
      duty.Self = name;
      bool isAssigned = gsUpdateWatchState(duty, names, names.size(), Begin) ==
                        gsWatchState::Assigned;
      assigned += isAssigned ? 1 : 0;
    }
    EXPECT_EQ(assigned, 1) << size;
  }
}

TEST(WatchDuty, HostStopsWatchingAfterStopDelayWhenCovered)
{
  std::vector<std::string> names = Names(10);
  gsWatchDuty duty = FirstUnassigned(names);
  // At this time, an unassigned host of any rank has started to watch.
  gsTime start = Begin + duty.Settings.TakeoverInterval * 10;
  gsUpdateWatchState(duty, names, names.size(), start);
  gsTime now = start;
  EXPECT_EQ(duty.State, gsWatchState::Uncovered);
  std::string watcher = AssignedHost(names);
  for (int i = 0; i < 12; ++i) {
    now += gsMilliseconds(50);
    gsApplyWatcherReport(duty, watcher, gsMilliseconds(500), false, now);
    gsWatchState state = gsUpdateWatchState(duty, names, names.size(), now);
    gsTime covered = now - start - gsMilliseconds(50);
    bool stillWatches = covered < duty.Settings.StopDelay;
    EXPECT_EQ(state == gsWatchState::Uncovered, stillWatches) << i;
  }
  EXPECT_EQ(duty.State, gsWatchState::Covered);
}

TEST(WatchDuty, HostIsUncoveredWhenWatcherIsSilentOrItsTablesAreOld)
{
  std::vector<std::string> names = Names(10);
  gsWatchDuty duty = FirstUnassigned(names);
  duty.State = gsWatchState::Covered;
  gsApplyWatcherReport(duty, "w", gsMilliseconds(100), false, Begin);
  gsTime silent = Begin + duty.Settings.WatcherTimeout + gsMilliseconds(1);
  EXPECT_EQ(gsUpdateWatchState(duty, names, names.size(), silent),
            gsWatchState::Uncovered);

  duty.State = gsWatchState::Covered;
  gsApplyWatcherReport(
    duty, "w", duty.Settings.MaxTablesAge + gsMilliseconds(1), false, silent);
  EXPECT_EQ(gsUpdateWatchState(duty, names, names.size(), silent),
            gsWatchState::Uncovered);
  gsApplyWatcherReport(duty, "other", gsMilliseconds(10), false, silent);
  duty.State = gsWatchState::Covered;
  EXPECT_EQ(gsUpdateWatchState(duty, names, names.size(), silent),
            gsWatchState::Covered);
}

// While the platform did not respond to any host, all hosts of a hall queried
// it repeatedly, and each call was counted.
TEST(WatchDuty, HostsStartToWatchOneAfterAnotherWhenPlatformIsSilent)
{
  std::vector<std::string> names = Names(20);
  std::vector<gsWatchDuty> duties = AllCovered(names);
  gsTime step = duties[0].Settings.TakeoverInterval;
  gsTime tick = gsMilliseconds(10);
  std::size_t previous = 0;
  for (gsTime at{}; at <= step * 18; at += tick) {
    for (gsWatchDuty& duty : duties) {
      gsUpdateWatchState(duty, names, names.size(), Begin + at);
    }
    std::size_t watching = CountWatching(duties);
    EXPECT_LE(watching, previous + (previous == 0 ? 2 : 1)) << at.count();
    previous = watching;
  }
  // In the end all hosts watch, so none depends on another one to reach the
  // platform.
  EXPECT_EQ(previous, names.size());
}

TEST(WatchDuty, FirstHostThatReachesPlatformCoversOthers)
{
  std::vector<std::string> names = Names(20);
  std::vector<gsWatchDuty> duties = AllCovered(names);
  gsTime now = Begin;
  for (int i = 0; i < 400; ++i) {
    now += gsMilliseconds(10);
    std::vector<std::string> reachingHosts;
    for (gsWatchDuty& duty : duties) {
      gsWatchState state = gsUpdateWatchState(duty, names, names.size(), now);
      if (state == gsWatchState::Uncovered) {
        reachingHosts.push_back(duty.Self);
      }
    }
    for (gsWatchDuty& duty : duties) {
      for (std::string const& host : reachingHosts) {
        if (host != duty.Self) {
          gsApplyWatcherReport(duty, host, gsMilliseconds(100), false, now);
        }
      }
    }
  }
  // The assigned host does not reach the platform. One other host watches, and
  // continues to do so.
  EXPECT_EQ(CountWatching(duties), 2U);
}

TEST(WatchDuty, StateIsUnchangedDuringStartupDelay)
{
  gsWatchDuty duty;
  duty.Self = "h0";
  duty.StartedAt = Begin;
  std::vector<std::string> names = Names(1);
  gsTime soon = Begin + gsMilliseconds(200);
  EXPECT_EQ(gsUpdateWatchState(duty, names, names.size(), soon),
            gsWatchState::Covered);
  gsTime later = Begin + duty.Settings.StartupDelay;
  EXPECT_EQ(gsUpdateWatchState(duty, names, names.size(), later),
            gsWatchState::Assigned);
}

// Guards against a change that no host learns because all have just started
// and none of them watches yet.
TEST(WatchDuty, HallThatHasJustStartedIsWatchedBeforeChangesHaveToBeInForce)
{
  constexpr gsTime changeBound = gsSeconds(2);
  constexpr gsTime tick = gsMilliseconds(100);
  for (int size : { 1, 2, 3, 20 }) {
    SCOPED_TRACE(size);
    std::vector<std::string> names = Names(size);
    std::vector<gsWatchDuty> duties = AllCovered(names);
    for (gsWatchDuty& duty : duties) {
      duty.StartedAt = Begin;
    }
    for (gsTime at{}; at < changeBound; at += tick) {
      for (gsWatchDuty& duty : duties) {
        gsUpdateWatchState(duty, names, names.size(), Begin + at);
      }
    }
    // The platform may be silent to the assigned host.
    std::size_t expected = size == 1 ? 1 : 2;
    EXPECT_GE(CountWatching(duties), expected);
  }
}

TEST(WatchDuty, NextHostIsAssignedWhenWatcherFails)
{
  std::vector<std::string> names = Names(10);
  int assigned = 0;
  for (std::size_t failed = 0; failed < names.size(); ++failed) {
    std::vector<std::string> remaining = names;
    remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(failed));
    for (std::string const& name : remaining) {
      gsWatchDuty duty;
      duty.Self = name;
      bool isAssigned = gsUpdateWatchState(duty, remaining, remaining.size(),
                                           Begin) == gsWatchState::Assigned;
      assigned += isAssigned ? 1 : 0;
    }
  }
  EXPECT_EQ(assigned, 10);
}

TEST(WatchDuty, TablesCurrentAtIsLatestOfAllReports)
{
  gsWatchDuty duty;
  EXPECT_EQ(gsTablesCurrentAt(duty), gsTime{});
  gsApplyWatcherReport(duty, "a", gsMilliseconds(300), false, Begin);
  gsApplyWatcherReport(duty, "b", gsMilliseconds(2000), false,
                       Begin + gsSeconds(1));
  EXPECT_EQ(gsTablesCurrentAt(duty), Begin - gsMilliseconds(300));
}

// A host that reaches the platform sends reports to its coordinators, which
// forward them to the hall. When its own report returns, the host must not
// take it for the report of another watcher and stop watching.
TEST(WatchDuty, ForwardedReportCoversOthersButNotItsSource)
{
  std::vector<std::string> names = Names(50);
  std::vector<std::string> first(names.begin(), names.begin() + 6);
  gsWatchDuty source;
  source.Self = names[30];
  gsWatchDuty other;
  other.Self = names[31];
  gsTime now = Begin;
  while (source.State != gsWatchState::Uncovered) {
    now += gsMilliseconds(50);
    gsUpdateWatchState(source, first, names.size(), now);
  }
  for (int i = 0; i < 100; ++i) {
    now += gsMilliseconds(50);
    gsApplyWatcherReport(source, first[1], gsMilliseconds(200), true, now);
    gsApplyWatcherReport(other, first[1], gsMilliseconds(200), true, now);
    EXPECT_EQ(gsUpdateWatchState(source, first, names.size(), now),
              gsWatchState::Uncovered);
    EXPECT_EQ(gsUpdateWatchState(other, first, names.size(), now),
              gsWatchState::Covered);
  }
}
