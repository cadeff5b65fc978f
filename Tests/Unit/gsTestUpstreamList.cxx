/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests which upstreams the list derives from rows, and that the fleet resets
 * the state of an upstream that has restarted under the same id.
 */
#include <ctime>

#include <gtest/gtest.h>

#include "gsFleetCases.h"
#include "gsUpstreamList.h"

using namespace gsFleetCases;

namespace {

gsListedUpstream MakeUpstream(std::string const& id, std::uint64_t startedAt)
{
  gsListedUpstream listed = MakeListed(id);
  listed.StartedAt = startedAt;
  return listed;
}

gsError ParseError()
{
  return gsError{ "unreadable", "No row of an upstream.", "parse", {} };
}

std::vector<std::string> Ids(gsUpstreamList const& list)
{
  std::vector<std::string> ids;
  for (gsListedUpstream const& listed : gsListUpstreams(list)) {
    ids.push_back(listed.Id + "@" + std::to_string(listed.StartedAt));
  }
  return ids;
}

using IdList = std::vector<std::string>;

} // namespace

TEST(UpstreamList, UnreadableRowDoesNotAffectOtherRows)
{
  gsUpstreamList list;
  gsListApplyRow(list, "u1", 1, MakeUpstream("u1", 5));
  EXPECT_EQ(gsListApplyRow(list, "u2", 2, ParseError()),
            gsListingChange::Unreadable);
  gsListApplyRow(list, "u3", 3, MakeUpstream("u3", 5));
  EXPECT_EQ(Ids(list), (IdList{ "u1@5", "u3@5" }));
  EXPECT_EQ(list.UnreadableCount, 1U);
}

TEST(UpstreamList, RemovesUpstreamWhenRowBecomesUnreadable)
{
  gsUpstreamList list;
  gsListApplyRow(list, "u1", 1, MakeUpstream("u1", 5));
  EXPECT_EQ(gsListApplyRow(list, "u1", 2, ParseError()),
            gsListingChange::Unreadable);
  EXPECT_EQ(Ids(list), IdList{});
  EXPECT_EQ(gsListApplyRow(list, "u1", 3, MakeUpstream("u1", 5)),
            gsListingChange::Listed);
  EXPECT_EQ(Ids(list), IdList{ "u1@5" });
}

TEST(UpstreamList, IgnoresRowOfEarlierStart)
{
  gsUpstreamList list;
  gsListApplyRow(list, "u1", 1, MakeUpstream("u1", 5));
  EXPECT_EQ(gsListApplyRow(list, "u1", 2, MakeUpstream("u1", 9)),
            gsListingChange::Restarted);
  EXPECT_EQ(gsListApplyRow(list, "u1", 3, MakeUpstream("u1", 5)),
            gsListingChange::Outdated);
  EXPECT_EQ(Ids(list), IdList{ "u1@9" });
  gsListRemoveRow(list, "u1");
  EXPECT_EQ(gsListApplyRow(list, "u1", 4, MakeUpstream("u1", 5)),
            gsListingChange::Outdated);
  EXPECT_EQ(Ids(list), IdList{});
  EXPECT_EQ(gsListApplyRow(list, "u1", 5, MakeUpstream("u1", 9)),
            gsListingChange::Listed);
}

TEST(UpstreamList, RowWithoutStartTimeDescribesListedIncarnation)
{
  gsUpstreamList list;
  EXPECT_EQ(gsListApplyRow(list, "u1", 1, MakeUpstream("u1", 0)),
            gsListingChange::Listed);
  EXPECT_EQ(gsListApplyRow(list, "u1", 2, MakeUpstream("u1", 0)),
            gsListingChange::Unchanged);
  gsListApplyRow(list, "u2", 3, MakeUpstream("u2", 7));
  EXPECT_EQ(gsListApplyRow(list, "u2", 4, MakeUpstream("u2", 0)),
            gsListingChange::Unchanged);
  EXPECT_EQ(Ids(list), (IdList{ "u1@0", "u2@7" }));
}

TEST(UpstreamList, ExcludesUpstreamsOfUnknownServices)
{
  gsUpstreamList list;
  gsListApplyRow(list, "u1", 1, MakeUpstream("u1", 5));
  gsListedUpstream foreign = MakeUpstream("u2", 5);
  foreign.Service = "elsewhere";
  gsListApplyRow(list, "u2", 2, foreign);
  EXPECT_EQ(Ids(list), (IdList{ "u1@5", "u2@5" }));
  list.Services = { "model" };
  EXPECT_EQ(Ids(list), IdList{ "u1@5" });
  list.Services.insert("elsewhere");
  EXPECT_EQ(Ids(list), (IdList{ "u1@5", "u2@5" }));
}

namespace {

/** CPU time to apply the given number of rows to an empty list, in seconds. */
double SecondsToApply(std::size_t rows)
{
  gsUpstreamList list;
  std::clock_t begin = std::clock();
  for (std::size_t i = 0; i < rows; ++i) {
    gsListApplyRow(list, "u" + std::to_string(i), i + 1,
                   MakeUpstream("u" + std::to_string(i), 5));
  }
  std::clock_t end = std::clock();
  EXPECT_EQ(list.Rows.size(), rows);
  return static_cast<double>(end - begin) / CLOCKS_PER_SEC;
}

} // namespace

// Guards against a cost per row that grows with the number of rows. With more
// than 4,096 start times, each row scanned all of them: 10,000 rows took
// 12.8 s of a full core, and hosts with 0.12 core did not become ready.
TEST(UpstreamList, CostPerRowIsIndependentOfRowCount)
{
  double fewSeconds = SecondsToApply(2'000);
  double manySeconds = SecondsToApply(20'000);
  // Ten times the rows; the rest of the margin allows for cache misses and
  // sanitizers.
  EXPECT_LT(manySeconds, 0.05 + 40 * fewSeconds);
}

TEST(UpstreamList, BoundsStartTimesOfRemovedUpstreams)
{
  gsUpstreamList list;
  for (std::size_t i = 0; i < 20'000; ++i) {
    std::string id = "u" + std::to_string(i);
    gsListApplyRow(list, id, i + 1, MakeUpstream(id, 5));
    gsListRemoveRow(list, id);
  }
  EXPECT_LE(list.LatestStarts.size(), 4'097U);
}

TEST(UpstreamList, RejectsIdsThatAreNotPrintable)
{
  EXPECT_TRUE(gsIsPrintableId("i-7f3a91c2"));
  EXPECT_FALSE(gsIsPrintableId(""));
  EXPECT_FALSE(gsIsPrintableId("a b"));
  EXPECT_FALSE(gsIsPrintableId("a\r\nX: y"));
  EXPECT_FALSE(gsIsPrintableId("\xC3\xA9"));
}

TEST(Fleet, ResetsStateWhenUpstreamRestarts)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  gsFleetReplaceListing(fleet,
                        { MakeUpstream("u0", 5), MakeUpstream("u1", 5) }, Now);
  gsFleetRow* row = gsFleetFind(fleet, "u0");
  std::uint32_t hash = row->Hash;
  row->OwnLoad = { 3, 1000, 2000 };
  row->OthersLoad = { 4, 1000, 2000 };
  row->EventIntervalMillis = 9;
  row->FailureRate = 1;
  row->FullUntil = Now + gsSeconds(1);
  row->CachedParts[7] = Now;
  gsFleetReplaceListing(fleet,
                        { MakeUpstream("u0", 6), MakeUpstream("u1", 5) }, Now);
  row = gsFleetFind(fleet, "u0");
  EXPECT_EQ(gsTotalLoad(fleet, *row, Now).OpenAttempts, 0U);
  EXPECT_EQ(gsTotalLoad(fleet, *row, Now).MemoryTokens, 0U);
  EXPECT_EQ(row->EventIntervalMillis, 0);
  EXPECT_EQ(row->FailureRate, 0);
  EXPECT_TRUE(row->CachedParts.empty());
  // Reports from hosts that still list the earlier incarnation do not match
  // this one.
  EXPECT_NE(row->Hash, hash);
  EXPECT_EQ(gsFleetFind(fleet, gsIncarnation{ "u0", 5 }), nullptr);
  EXPECT_EQ(gsFleetFind(fleet, gsIncarnation{ "u0", 6 }), row);
}

TEST(Fleet, RestartedUpstreamCountsAsUntried)
{
  gsFleet fleet;
  gsFleetReplaceListing(fleet, { MakeUpstream("u0", 6) }, Now);
  std::vector<gsIncarnation> tried{ { "u0", 5 } };
  gsPlacementRequest ask = MakeLongRequest();
  ask.TriedUpstreams = &tried;
  EXPECT_EQ(ChooseId(fleet, ask), "u0");
  tried.push_back({ "u0", 6 });
  EXPECT_EQ(ChooseId(fleet, ask), "none");
}
