/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Which upstreams rows name, and what the fleet keeps of an upstream that has
 * started again under its id.
 */
#include <ctime>

#include <gtest/gtest.h>

#include "gsFleetCases.h"
#include "gsUpstreamList.h"

using namespace gsFleetCases;

namespace {

gsListedUpstream Born(std::string const& id, std::uint64_t born)
{
  gsListedUpstream listed = Listed(id);
  listed.Born = born;
  return listed;
}

gsError Unreadable()
{
  return gsError{ "unreadable", "No row of an upstream.", "parse", {} };
}

std::vector<std::string> Ids(gsUpstreamList const& list)
{
  std::vector<std::string> ids;
  for (gsListedUpstream const& listed : gsListOf(list)) {
    ids.push_back(listed.Id + "@" + std::to_string(listed.Born));
  }
  return ids;
}

using Names = std::vector<std::string>;

} // namespace

TEST(UpstreamList, ARowThatCannotBeReadNamesNoneAndTheOthersHold)
{
  gsUpstreamList list;
  gsListTake(list, "u1", 1, Born("u1", 5));
  EXPECT_EQ(gsListTake(list, "u2", 2, Unreadable()), gsListing::Unreadable);
  gsListTake(list, "u3", 3, Born("u3", 5));
  EXPECT_EQ(Ids(list), (Names{ "u1@5", "u3@5" }));
  EXPECT_EQ(list.Unreadable, 1U);
}

TEST(UpstreamList, AnUpstreamWhoseRowTurnsUnreadableIsNoLongerUsed)
{
  gsUpstreamList list;
  gsListTake(list, "u1", 1, Born("u1", 5));
  EXPECT_EQ(gsListTake(list, "u1", 2, Unreadable()), gsListing::Unreadable);
  EXPECT_EQ(Ids(list), Names{});
  EXPECT_EQ(gsListTake(list, "u1", 3, Born("u1", 5)), gsListing::Listed);
  EXPECT_EQ(Ids(list), Names{ "u1@5" });
}

TEST(UpstreamList, AnOlderBirthNeverReplacesANewerOne)
{
  gsUpstreamList list;
  gsListTake(list, "u1", 1, Born("u1", 5));
  EXPECT_EQ(gsListTake(list, "u1", 2, Born("u1", 9)), gsListing::Restarted);
  EXPECT_EQ(gsListTake(list, "u1", 3, Born("u1", 5)), gsListing::Older);
  EXPECT_EQ(Ids(list), Names{ "u1@9" });
  gsListRemove(list, "u1");
  EXPECT_EQ(gsListTake(list, "u1", 4, Born("u1", 5)), gsListing::Older);
  EXPECT_EQ(Ids(list), Names{});
  EXPECT_EQ(gsListTake(list, "u1", 5, Born("u1", 9)), gsListing::Listed);
}

TEST(UpstreamList, RowsWithoutABirthKeepTheirMeaning)
{
  gsUpstreamList list;
  EXPECT_EQ(gsListTake(list, "u1", 1, Born("u1", 0)), gsListing::Listed);
  EXPECT_EQ(gsListTake(list, "u1", 2, Born("u1", 0)), gsListing::Same);
  gsListTake(list, "u2", 3, Born("u2", 7));
  EXPECT_EQ(gsListTake(list, "u2", 4, Born("u2", 0)), gsListing::Same);
  EXPECT_EQ(Ids(list), (Names{ "u1@0", "u2@7" }));
}

TEST(UpstreamList, AServiceThatNoConfigurationNamesHasNoUpstreams)
{
  gsUpstreamList list;
  gsListTake(list, "u1", 1, Born("u1", 5));
  gsListedUpstream foreign = Born("u2", 5);
  foreign.Service = "elsewhere";
  gsListTake(list, "u2", 2, foreign);
  EXPECT_EQ(Ids(list), (Names{ "u1@5", "u2@5" }));
  list.Services = { "model" };
  EXPECT_EQ(Ids(list), Names{ "u1@5" });
  list.Services.insert("elsewhere");
  EXPECT_EQ(Ids(list), (Names{ "u1@5", "u2@5" }));
}

namespace {

/** Processor time in which a first list of so many rows is taken, seconds. */
double SecondsToTake(std::size_t rows)
{
  gsUpstreamList list;
  std::clock_t begin = std::clock();
  for (std::size_t i = 0; i < rows; ++i) {
    gsListTake(list, "u" + std::to_string(i), i + 1,
               Born("u" + std::to_string(i), 5));
  }
  std::clock_t end = std::clock();
  EXPECT_EQ(list.Rows.size(), rows);
  return static_cast<double>(end - begin) / CLOCKS_PER_SEC;
}

} // namespace

// Beyond 4,096 births each row walked all of them: 10,000 rows took 12.8 s of
// a full core, and no host of 0.12 core got ready.
TEST(UpstreamList, ARowCostsTheSameHoweverManyThereAre)
{
  double few = SecondsToTake(2'000);
  double many = SecondsToTake(20'000);
  // Ten times the rows; the rest is for caches and for sanitizers.
  EXPECT_LT(many, 0.05 + 40 * few);
}

TEST(UpstreamList, BirthsOfUpstreamsThatAreGoneAreBounded)
{
  gsUpstreamList list;
  for (std::size_t i = 0; i < 20'000; ++i) {
    std::string id = "u" + std::to_string(i);
    gsListTake(list, id, i + 1, Born(id, 5));
    gsListRemove(list, id);
  }
  EXPECT_LE(list.Births.size(), 4'097U);
}

TEST(UpstreamList, IdsWithControlSignsAreNone)
{
  EXPECT_TRUE(gsIsPlainId("i-7f3a91c2"));
  EXPECT_FALSE(gsIsPlainId(""));
  EXPECT_FALSE(gsIsPlainId("a b"));
  EXPECT_FALSE(gsIsPlainId("a\r\nX: y"));
  EXPECT_FALSE(gsIsPlainId("\xC3\xA9"));
}

TEST(Fleet, AnUpstreamThatStartsAgainHoldsNothing)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  gsFleetTake(fleet, { Born("u0", 5), Born("u1", 5) }, Now);
  gsFleetRow* row = gsFleetFind(fleet, "u0");
  std::uint32_t hash = row->Hash;
  row->Own = { 3, 1000, 2000 };
  row->Others = { 4, 1000, 2000 };
  row->Pace = 9;
  row->FailShare = 1;
  row->FullUntil = Now + gsSeconds(1);
  row->Parts[7] = Now;
  gsFleetTake(fleet, { Born("u0", 6), Born("u1", 5) }, Now);
  row = gsFleetFind(fleet, "u0");
  EXPECT_EQ(gsWorkAt(fleet, *row, Now).Running, 0U);
  EXPECT_EQ(gsWorkAt(fleet, *row, Now).MemoryTokens, 0U);
  EXPECT_EQ(row->Pace, 0);
  EXPECT_EQ(row->FailShare, 0);
  EXPECT_TRUE(row->Parts.empty());
  // Reports of hosts that know only the one before name another upstream.
  EXPECT_NE(row->Hash, hash);
  EXPECT_EQ(gsFleetFind(fleet, gsIncarnation{ "u0", 5 }), nullptr);
  EXPECT_EQ(gsFleetFind(fleet, gsIncarnation{ "u0", 6 }), row);
}

TEST(Fleet, WhatWasTriedBeforeARestartMayBeTriedAfterIt)
{
  gsFleet fleet;
  gsFleetTake(fleet, { Born("u0", 6) }, Now);
  std::vector<gsIncarnation> tried{ { "u0", 5 } };
  gsPlacementAsk ask = Plain();
  ask.Tried = &tried;
  EXPECT_EQ(Chosen(fleet, ask), "u0");
  tried.push_back({ "u0", 6 });
  EXPECT_EQ(Chosen(fleet, ask), "none");
}
