/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Claims: group commit, lost answers, and claims that are given back.
 */
#include <gtest/gtest.h>

#include "gsClaims.h"

namespace {

gsTableResult Row(bool done, std::string const& value)
{
  return { done, value };
}

} // namespace

TEST(Claims, OneWindowIsOneTransaction)
{
  gsClaims claims;
  for (std::uint64_t i = 1; i <= 50; ++i) {
    gsClaimAdd(claims, "k" + std::to_string(i), "v", i);
  }
  auto batch = gsClaimsTick(claims, gsSeconds(1));
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->Ops.size(), 50U);
  gsClaimAdd(claims, "later", "v", 99);
  EXPECT_FALSE(gsClaimsTick(claims, gsSeconds(1) + gsMilliseconds(10)));
  EXPECT_TRUE(gsClaimsTick(claims, gsSeconds(1) + gsMilliseconds(20)));
}

TEST(Claims, WonTakenAndDecidedByNonce)
{
  gsClaims claims;
  std::vector<gsClaimDecision> out;
  gsClaimAdd(claims, "a", "mine", 1);
  gsClaimAdd(claims, "b", "mine too", 2);
  gsClaimAdd(claims, "c", "again mine", 3);
  auto batch = gsClaimsTick(claims, gsSeconds(1));
  gsClaimsAnswered(
    claims, batch->Number,
    { Row(true, "mine"), Row(false, "theirs"), Row(false, "again mine") },
    out);
  EXPECT_EQ(out.at(0).Result, gsClaimResult::Won);
  EXPECT_EQ(out.at(1).Result, gsClaimResult::Taken);
  EXPECT_EQ(out.at(1).Holder, "theirs");
  EXPECT_EQ(out.at(2).Result, gsClaimResult::Won);
}

TEST(Claims, ALostAnswerIsReadBack)
{
  gsClaims claims;
  std::vector<gsClaimDecision> out;
  gsClaimAdd(claims, "a", "mine", 1);
  auto batch = gsClaimsTick(claims, gsSeconds(1));
  gsClaimsLost(claims, batch->Number, out);
  EXPECT_TRUE(out.empty());
  batch = gsClaimsTick(claims, gsSeconds(2));
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->Ops.at(0).What, gsTableOp::Kind::Get);
  gsClaimsAnswered(claims, batch->Number, { Row(false, "mine") }, out);
  EXPECT_EQ(out.at(0).Result, gsClaimResult::Won);
}

TEST(Claims, NotDecidedMeansUnavailableAndDeletedUntilItSticks)
{
  gsClaims claims;
  std::vector<gsClaimDecision> out;
  gsClaimAdd(claims, "a", "mine", 1);
  gsClaimsLost(claims, gsClaimsTick(claims, gsSeconds(1))->Number, out);
  gsClaimsLost(claims, gsClaimsTick(claims, gsSeconds(2))->Number, out);
  EXPECT_EQ(out.at(0).Result, gsClaimResult::Unavailable);
  // The late insert arrives after the first delete; a later one takes it.
  for (int round = 0; round < 3; ++round) {
    auto batch = gsClaimsTick(claims, gsSeconds(3 + round));
    ASSERT_TRUE(batch) << round;
    EXPECT_EQ(batch->Ops.at(0).What, gsTableOp::Kind::Delete);
    EXPECT_EQ(batch->Ops.at(0).Expected, "mine");
    gsClaimsAnswered(claims, batch->Number, { gsTableResult{} }, out);
  }
  auto batch = gsClaimsTick(claims, gsSeconds(10));
  gsClaimsAnswered(claims, batch->Number, { { true, std::nullopt } }, out);
  EXPECT_FALSE(gsClaimsTick(claims, gsSeconds(20)));
}

TEST(Claims, GivenBackWhileUnderWayIsDeletedOnceWon)
{
  gsClaims claims;
  std::vector<gsClaimDecision> out;
  gsClaimAdd(claims, "a", "mine", 1);
  auto batch = gsClaimsTick(claims, gsSeconds(1));
  gsClaimRelease(claims, "a", "mine");
  EXPECT_FALSE(gsClaimsTick(claims, gsSeconds(2)));
  gsClaimsAnswered(claims, batch->Number, { Row(true, "mine") }, out);
  batch = gsClaimsTick(claims, gsSeconds(3));
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->Ops.at(0).What, gsTableOp::Kind::Delete);
}
