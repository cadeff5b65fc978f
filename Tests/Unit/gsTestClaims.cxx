/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of claims: group commit, lost responses and the release of claims.
 */
#include <gtest/gtest.h>

#include "gsClaims.h"

namespace {

gsTableResult ResultWithValue(bool applied, std::string const& value)
{
  return { applied, value };
}

} // namespace

TEST(Claims, SendsOneTransactionPerWindow)
{
  gsClaims claims;
  for (std::uint64_t i = 1; i <= 50; ++i) {
    gsClaimAdd(claims, "k" + std::to_string(i), "v", i);
  }
  auto batch = gsClaimsTick(claims, gsSeconds(1));
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->Operations.size(), 50U);
  gsClaimAdd(claims, "later", "v", 99);
  EXPECT_FALSE(gsClaimsTick(claims, gsSeconds(1) + gsMilliseconds(10)));
  EXPECT_TRUE(gsClaimsTick(claims, gsSeconds(1) + gsMilliseconds(20)));
}

TEST(Claims, DecidesByNonceWhenResponseArrives)
{
  gsClaims claims;
  std::vector<gsClaimDecision> out;
  gsClaimAdd(claims, "a", "mine", 1);
  gsClaimAdd(claims, "b", "mine too", 2);
  gsClaimAdd(claims, "c", "again mine", 3);
  auto batch = gsClaimsTick(claims, gsSeconds(1));
  gsClaimsProcessResults(claims, batch->Number,
                         { ResultWithValue(true, "mine"),
                           ResultWithValue(false, "theirs"),
                           ResultWithValue(false, "again mine") },
                         out);
  EXPECT_EQ(out.at(0).Result, gsClaimResult::Won);
  EXPECT_EQ(out.at(1).Result, gsClaimResult::Taken);
  EXPECT_EQ(out.at(1).HolderValue, "theirs");
  EXPECT_EQ(out.at(2).Result, gsClaimResult::Won);
}

TEST(Claims, ReadsBackWhenResponseIsLost)
{
  gsClaims claims;
  std::vector<gsClaimDecision> out;
  gsClaimAdd(claims, "a", "mine", 1);
  auto batch = gsClaimsTick(claims, gsSeconds(1));
  gsClaimsProcessLostResponse(claims, batch->Number, out);
  EXPECT_TRUE(out.empty());
  batch = gsClaimsTick(claims, gsSeconds(2));
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->Operations.at(0).OperationKind,
            gsTableOperation::Kind::Get);
  gsClaimsProcessResults(claims, batch->Number,
                         { ResultWithValue(false, "mine") }, out);
  EXPECT_EQ(out.at(0).Result, gsClaimResult::Won);
}

TEST(Claims, IsUnavailableAndRepeatsDeleteWhenReadBackIsLost)
{
  gsClaims claims;
  std::vector<gsClaimDecision> out;
  gsClaimAdd(claims, "a", "mine", 1);
  gsClaimsProcessLostResponse(claims,
                              gsClaimsTick(claims, gsSeconds(1))->Number, out);
  gsClaimsProcessLostResponse(claims,
                              gsClaimsTick(claims, gsSeconds(2))->Number, out);
  EXPECT_EQ(out.at(0).Result, gsClaimResult::Unavailable);
  // A late insert takes effect after the first deletes, which find no row; a
  // repetition removes the row.
  for (int round = 0; round < 3; ++round) {
    auto batch = gsClaimsTick(claims, gsSeconds(3 + round));
    ASSERT_TRUE(batch) << round;
    EXPECT_EQ(batch->Operations.at(0).OperationKind,
              gsTableOperation::Kind::Delete);
    EXPECT_EQ(batch->Operations.at(0).Expected, "mine");
    gsClaimsProcessResults(claims, batch->Number, { gsTableResult{} }, out);
  }
  auto batch = gsClaimsTick(claims, gsSeconds(10));
  gsClaimsProcessResults(claims, batch->Number, { { true, std::nullopt } },
                         out);
  EXPECT_FALSE(gsClaimsTick(claims, gsSeconds(20)));
}

TEST(Claims, DeletesRowOnceWonWhenReleasedInFlight)
{
  gsClaims claims;
  std::vector<gsClaimDecision> out;
  gsClaimAdd(claims, "a", "mine", 1);
  auto batch = gsClaimsTick(claims, gsSeconds(1));
  gsClaimRelease(claims, "a", "mine");
  EXPECT_FALSE(gsClaimsTick(claims, gsSeconds(2)));
  gsClaimsProcessResults(claims, batch->Number,
                         { ResultWithValue(true, "mine") }, out);
  batch = gsClaimsTick(claims, gsSeconds(3));
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->Operations.at(0).OperationKind,
            gsTableOperation::Kind::Delete);
}
