/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file Who watches the platform for a hall. */
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

std::vector<std::string_view> Views(std::vector<std::string> const& names)
{
  return { names.begin(), names.end() };
}

/** A duty of the first host that is not assigned. */
gsWatchDuty NotAssigned(std::vector<std::string> const& names)
{
  gsWatchDuty duty;
  for (std::string const& name : names) {
    duty = gsWatchDuty();
    duty.Self = name;
    if (gsDutyDecide(duty, Views(names), Begin) != gsWatchState::Assigned) {
      break;
    }
  }
  return duty;
}

} // namespace

TEST(WatchDuty, AFewHostsAreAssignedHoweverLargeTheHall)
{
  for (int size : { 1, 2, 3, 20, 57 }) {
    std::vector<std::string> names = Names(size);
    int assigned = 0;
    for (std::string const& name : names) {
      gsWatchDuty duty;
      duty.Self = name;
      bool is =
        gsDutyDecide(duty, Views(names), Begin) == gsWatchState::Assigned;
      assigned += is ? 1 : 0;
    }
    EXPECT_EQ(assigned, std::min(size, 2)) << size;
  }
}

TEST(WatchDuty, AHostStopsWatchingOnceItIsCoveredForAWhile)
{
  std::vector<std::string> names = Names(10);
  gsWatchDuty duty = NotAssigned(names);
  gsTime now = Begin;
  EXPECT_EQ(duty.State, gsWatchState::Uncovered);
  for (int i = 0; i < 12; ++i) {
    now += gsMilliseconds(50);
    gsDutyHear(duty, "w", gsMilliseconds(500), now);
    gsWatchState state = gsDutyDecide(duty, Views(names), now);
    gsTime covered = now - Begin - gsMilliseconds(50);
    bool early = covered < duty.Settings.Settle;
    EXPECT_EQ(state == gsWatchState::Uncovered, early) << i;
  }
  EXPECT_EQ(duty.State, gsWatchState::Covered);
}

TEST(WatchDuty, ASilentOrBlindWatcherCoversNobody)
{
  std::vector<std::string> names = Names(10);
  gsWatchDuty duty = NotAssigned(names);
  duty.State = gsWatchState::Covered;
  gsDutyHear(duty, "w", gsMilliseconds(100), Begin);
  gsTime silent = Begin + duty.Settings.Patience + gsMilliseconds(1);
  EXPECT_EQ(gsDutyDecide(duty, Views(names), silent), gsWatchState::Uncovered);

  duty.State = gsWatchState::Covered;
  gsDutyHear(duty, "w", duty.Settings.MostAge + gsMilliseconds(1), silent);
  EXPECT_EQ(gsDutyDecide(duty, Views(names), silent), gsWatchState::Uncovered);
  gsDutyHear(duty, "other", gsMilliseconds(10), silent);
  duty.State = gsWatchState::Covered;
  EXPECT_EQ(gsDutyDecide(duty, Views(names), silent), gsWatchState::Covered);
}

TEST(WatchDuty, AHostThatHasJustStartedWaitsForOthersFirst)
{
  gsWatchDuty duty;
  duty.Self = "h0";
  duty.Started = Begin;
  std::vector<std::string> names = Names(1);
  gsTime soon = Begin + gsMilliseconds(200);
  EXPECT_EQ(gsDutyDecide(duty, Views(names), soon), gsWatchState::Covered);
  gsTime later = Begin + duty.Settings.StartPatience;
  EXPECT_EQ(gsDutyDecide(duty, Views(names), later), gsWatchState::Assigned);
}

TEST(WatchDuty, TheSuccessorOfADeadWatcherIsAssigned)
{
  std::vector<std::string> names = Names(10);
  int assigned = 0;
  for (std::size_t dead = 0; dead < names.size(); ++dead) {
    std::vector<std::string> left = names;
    left.erase(left.begin() + static_cast<std::ptrdiff_t>(dead));
    for (std::string const& name : left) {
      gsWatchDuty duty;
      duty.Self = name;
      bool is =
        gsDutyDecide(duty, Views(left), Begin) == gsWatchState::Assigned;
      assigned += is ? 1 : 0;
    }
  }
  EXPECT_EQ(assigned, 20);
}
