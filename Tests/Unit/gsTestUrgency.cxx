/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the order of requests by urgency: of the load that hosts report by
 * urgency, and of placement on engines that admit waiting requests by urgency.
 */
#include <gtest/gtest.h>

#include "gsArrangement.h"
#include "gsFleetCases.h"
#include "gsWorkAhead.h"

using namespace gsFleetCases;

namespace {

/** Adds attempts of other hosts to an upstream. */
void AddOthers(gsFleetRow& row, gsUrgencyLoad const& load)
{
  row.OthersLoad.OpenAttempts += load.OpenAttempts;
  row.OthersLoad.PendingPromptTokens += load.PendingPromptTokens;
  row.OthersLoad.MemoryTokens += load.MemoryTokens;
  row.OthersReportedAt = Now;
  gsAddUrgencyLoad(row.OthersByUrgency, load);
}

} // namespace

TEST(Urgency, LoadOfAttemptsIsTrackedByPriority)
{
  gsFleet fleet = MakeFleet(1);
  gsFleetRow& row = fleet.Rows[0];
  gsAttemptLoad urgent{ 0, 100, 150 };
  gsAttemptLoad other{ 2, 4000, 5000 };
  gsAddAttempt(fleet, row, urgent);
  gsAddAttempt(fleet, row, other);
  EXPECT_EQ(row.OwnByUrgency, (gsUrgencyLoads{ { 0, 1, 1, 100, 150 },
                                               { 2, 1, 1, 4000, 5000 } }));
  gsRecordFirstToken(row, other);
  gsRecordFirstToken(row, other);
  EXPECT_EQ(row.OwnByUrgency,
            (gsUrgencyLoads{ { 0, 1, 1, 100, 150 }, { 2, 1, 0, 0, 5000 } }));
  EXPECT_EQ(row.OwnLoad.PendingPromptTokens, 100U);
  gsRemoveAttempt(row, urgent);
  gsRemoveAttempt(row, other);
  EXPECT_TRUE(row.OwnByUrgency.empty());
  EXPECT_EQ(row.OwnLoad.OpenAttempts, 0U);
  EXPECT_EQ(row.OwnLoad.MemoryTokens, 0U);
}

TEST(Urgency, WorkAheadExcludesWaitingRequestsThatAreLessUrgent)
{
  gsFleet fleet = MakeFleet(1);
  gsFleetRow& row = fleet.Rows[0];
  AddOthers(row, { 0, 10, 4, 4000, 9000 });
  AddOthers(row, { 2, 30, 20, 80000, 120000 });
  gsWorkAhead last = gsWorkAheadOf(fleet, row, 2, Now);
  EXPECT_EQ(last.Requests, 40);
  EXPECT_EQ(last.PromptTokens, 84000);
  EXPECT_EQ(last.MemoryTokens, 129000);
  // Of the less urgent ones, 10 run and one prompt may be in process.
  gsWorkAhead middle = gsWorkAheadOf(fleet, row, 1, Now);
  EXPECT_EQ(middle.Requests, 10 + 10 + 1);
  EXPECT_EQ(middle.PromptTokens, 4000 + 80000 / 20);
  EXPECT_EQ(middle.MemoryTokens, 9000 + 120000 * 11 / 30);
}

// Hosts of an earlier release report no urgency.
TEST(Urgency, LoadOfUnknownUrgencyIsAhead)
{
  gsFleet fleet = MakeFleet(1);
  gsFleetRow& row = fleet.Rows[0];
  AddOthers(row, { 2, 5, 0, 0, 5000 });
  row.OthersLoad = { 30, 60000, 90000 };
  gsWorkAhead ahead = gsWorkAheadOf(fleet, row, 0, Now);
  EXPECT_EQ(ahead.Requests, 30);
  EXPECT_EQ(ahead.PromptTokens, 60000);
  EXPECT_EQ(ahead.MemoryTokens, 90000);
}
