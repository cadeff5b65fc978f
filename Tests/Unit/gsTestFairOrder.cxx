/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/** \file The order in which waiting requests are served. */
#include <map>
#include <vector>

#include <gtest/gtest.h>

#include "gsFairOrder.h"

namespace {

/** Index of the next of some rows. */
std::ptrdiff_t NextOf(std::vector<gsFairRow> const& rows)
{
  auto next = gsFairNext(rows.begin(), rows.end(), [](gsFairRow const& row) {
    return std::optional<gsFairRow>(row);
  });
  return next - rows.begin();
}

} // namespace

TEST(FairOrder, UrgencyThenReturningCallersThenServiceThenDeadline)
{
  gsTime early = gsSeconds(1);
  gsTime late = gsSeconds(2);
  EXPECT_EQ(NextOf({ { 1, true, 0, early }, { 0, false, 9, late } }), 1);
  EXPECT_EQ(NextOf({ { 0, false, 0, early }, { 0, true, 9, late } }), 1);
  EXPECT_EQ(NextOf({ { 0, false, 2, early }, { 0, false, 1, late } }), 1);
  EXPECT_EQ(NextOf({ { 0, false, 1, late }, { 0, false, 1, early } }), 1);
}

TEST(FairOrder, OfEqualRowsTheFirstIsNext)
{
  EXPECT_EQ(NextOf({ { 0, false, 1, {} }, { 0, false, 1, {} } }), 0);
  EXPECT_EQ(NextOf({}), 0);
}

// Guards against an organisation that is served as often as its requests
// come, and against one that claims the past after a pause.
TEST(FairOrder, OrganisationsAreServedByWeight)
{
  gsFairClock clock;
  std::map<std::uint32_t, int> served;
  for (int i = 0; i < 300; ++i) {
    std::uint32_t next =
      gsVirtualTime(clock, 1) <= gsVirtualTime(clock, 2) ? 1 : 2;
    gsChargeService(clock, next, 10, next == 1 ? 2 : 1);
    ++served[next];
  }
  EXPECT_NEAR(served[1], 200, 2);
  EXPECT_NEAR(gsVirtualTime(clock, 3), gsVirtualTime(clock, 1), 11);
}

TEST(FairOrder, MemoryForOrganisationsIsBounded)
{
  gsFairClock clock;
  for (std::uint32_t i = 0; i < 20000; ++i) {
    gsChargeService(clock, i, i % 7, 1);
  }
  EXPECT_LE(clock.Organisations.size(), 1025U);
}
