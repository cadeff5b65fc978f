/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Replication: versions only rise, and who is behind fetches.
 */
#include <gtest/gtest.h>

#include "gsReplica.h"

TEST(Replica, AVersionNeverGoesBackAndIsTakenOnce)
{
  gsReplica replica;
  EXPECT_TRUE(gsReplicaOffer(replica, 0));
  EXPECT_FALSE(gsReplicaOffer(replica, 0));
  EXPECT_TRUE(gsReplicaOffer(replica, 5));
  EXPECT_FALSE(gsReplicaOffer(replica, 4));
  EXPECT_EQ(replica.Version, 5U);
}

TEST(Replica, FetchesFromThePeerWithTheNewest)
{
  gsReplica replica;
  gsReplicaStart(replica, gsTime(0));
  gsReplicaOffer(replica, 3);
  gsReplicaHear(replica, "a", 4);
  gsReplicaHear(replica, "b", 7);
  gsReplicaHear(replica, "c", 5);
  gsReplicaOutput out;
  gsReplicaTick(replica, gsSeconds(1), out);
  EXPECT_EQ(out.FetchFrom, "b");
  EXPECT_TRUE(out.PollPlatform);
  gsReplicaOutput again;
  gsReplicaTick(replica, gsSeconds(1), again);
  EXPECT_TRUE(again.FetchFrom.empty());
}

TEST(Replica, AStartWaitsForThePlatformBeforeItTakesAPeers)
{
  gsReplica replica;
  gsReplicaStart(replica, gsTime(0));
  gsReplicaHear(replica, "a", 4);
  gsReplicaOutput early;
  gsReplicaTick(replica, gsSeconds(1), early);
  EXPECT_TRUE(early.FetchFrom.empty());
  gsReplicaOutput late;
  gsReplicaTick(replica, gsSeconds(4), late);
  EXPECT_EQ(late.FetchFrom, "a");
}

TEST(Acceptance, NamesTheHostsThatAreMissing)
{
  gsAcceptance acceptance;
  acceptance.Version = 4;
  gsAcceptanceNote(acceptance, "a", 4);
  gsAcceptanceNote(acceptance, "b", 3);
  gsAcceptanceNote(acceptance, "a", 2);
  EXPECT_EQ(gsAcceptanceMissing(acceptance, { "a", "b", "c" }),
            (std::vector<std::string>{ "b", "c" }));
}
