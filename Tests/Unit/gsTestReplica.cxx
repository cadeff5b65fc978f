/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of replication: versions only increase, and a host with an older
 * version fetches the newest one from a peer.
 */
#include <gtest/gtest.h>

#include "gsReplica.h"

TEST(Replica, AppliesEachVersionOnceAndOnlyIncreasingOnes)
{
  gsReplica replica;
  EXPECT_TRUE(gsReplicaAdvance(replica, 0));
  EXPECT_FALSE(gsReplicaAdvance(replica, 0));
  EXPECT_TRUE(gsReplicaAdvance(replica, 5));
  EXPECT_FALSE(gsReplicaAdvance(replica, 4));
  EXPECT_EQ(replica.Version, 5U);
}

TEST(Replica, FetchesFromPeerWithNewestVersion)
{
  gsReplica replica;
  gsReplicaStart(replica, gsTime(0));
  gsReplicaAdvance(replica, 3);
  gsReplicaReceiveVersion(replica, "a", 4);
  gsReplicaReceiveVersion(replica, "b", 7);
  gsReplicaReceiveVersion(replica, "c", 5);
  gsReplicaActions out;
  gsReplicaTick(replica, gsSeconds(1), out);
  EXPECT_EQ(out.FetchPeer, "b");
  EXPECT_TRUE(out.PollPlatform);
  gsReplicaActions next;
  gsReplicaTick(replica, gsSeconds(1), next);
  EXPECT_TRUE(next.FetchPeer.empty());
}

TEST(Replica, FetchesFromPeerWhenPlatformTimesOutAtStart)
{
  gsReplica replica;
  gsReplicaStart(replica, gsTime(0));
  gsReplicaReceiveVersion(replica, "a", 4);
  gsReplicaActions beforeTimeout;
  gsReplicaTick(replica, gsSeconds(1), beforeTimeout);
  EXPECT_TRUE(beforeTimeout.FetchPeer.empty());
  gsReplicaActions afterTimeout;
  gsReplicaTick(replica, gsSeconds(4), afterTimeout);
  EXPECT_EQ(afterTimeout.FetchPeer, "a");
}

TEST(Acceptance, ReturnsHostsWithOlderOrUnknownVersion)
{
  gsVersionTracker acceptance;
  acceptance.TargetVersion = 4;
  gsVersionTrackerRecord(acceptance, "a", 4);
  gsVersionTrackerRecord(acceptance, "b", 3);
  gsVersionTrackerRecord(acceptance, "a", 2);
  EXPECT_EQ(gsVersionTrackerMissingHosts(acceptance, { "a", "b", "c" }),
            (std::vector<std::string>{ "b", "c" }));
}
