/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Table replicas that receive updates in any order. Replicas with valid
 * digests of the same version contain the same rows, and replicas that diverge
 * are detected and repaired.
 */
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsDivergenceCheck.h"
#include "gsTableReplica.h"

namespace {

using Versions = std::map<std::string, std::uint64_t>;

/** Row versions by key. */
Versions RowsOf(gsTableReplica const& copy)
{
  Versions rows;
  for (auto const& [key, row] : copy.LiveRows) {
    rows[key] = row.Version;
  }
  return rows;
}

gsTableRow Row(std::string key, std::uint64_t version)
{
  return { std::move(key), "v", version, false };
}

gsTableRow Removal(std::string key, std::uint64_t version)
{
  return { std::move(key), "", version, true };
}

/** A table with its complete change history. */
struct Platform
{
  std::vector<gsTableRow> Log;
  std::uint64_t Version = 0;

  void Change(std::string const& key, bool removed)
  {
    bool exists = this->At(this->Version).count(key) != 0;
    if (!removed || exists) {
      this->Log.push_back({ key, "v", ++this->Version, removed });
    }
  }

  Versions At(std::uint64_t version) const
  {
    Versions rows;
    for (gsTableRow const& row : this->Log) {
      if (row.Version > version) {
        break;
      }
      if (row.Removed) {
        rows.erase(row.Key);
      } else {
        rows[row.Key] = row.Version;
      }
    }
    return rows;
  }

  std::vector<gsTableRow> All() const
  {
    std::vector<gsTableRow> rows;
    for (auto const& [key, version] : this->At(this->Version)) {
      rows.push_back(Row(key, version));
    }
    return rows;
  }

  /** The last change of each key above a version, as returned by a store that
   * merges changes. */
  std::vector<gsTableRow> Above(std::uint64_t version) const
  {
    std::map<std::string, gsTableRow> last;
    for (gsTableRow const& row : this->Log) {
      if (row.Version > version) {
        last[row.Key] = row;
      }
    }
    std::vector<gsTableRow> rows;
    rows.reserve(last.size());
    for (auto const& [key, row] : last) {
      rows.push_back(row);
    }
    return rows;
  }
};

/** Replicas of hosts that watch the platform and of hosts that only receive
 * updates, and the updates in transit. */
class ReplicaSimulation
{
public:
  ReplicaSimulation(std::uint64_t seed, bool defersRemovals)
    : Random(seed)
    , DefersRemovals(defersRemovals)
  {
  }

  /** Performs one random step. */
  void Step()
  {
    this->Now += gsSeconds(1);
    switch (this->RandomBelow(12)) {
      case 0:
      case 1:
        this->Store.Change(this->Key(), false);
        break;
      case 2:
      case 3:
        this->Store.Change(this->Key(), true);
        break;
      case 4:
        ++this->Store.Version; // A change of another table.
        break;
      case 5:
        this->ReadChanges(this->RandomBelow(Watchers));
        break;
      case 6:
        this->ReadAll(this->RandomBelow(Watchers));
        break;
      case 7:
        this->ToggleDeferralOrRestart(this->RandomBelow(Watchers));
        break;
      case 8:
        this->PurgeTombstones();
        break;
      case 9:
        this->SendUpdate(this->RandomBelow(Hosts), this->RandomBelow(Hosts));
        break;
      default:
        this->Deliver();
        break;
    }
  }

  /** Lets all hosts receive the current state from the platform or from a host
   * that has read it. */
  void Converge()
  {
    this->InTransit.clear();
    for (std::size_t host = 0; host < Watchers; ++host) {
      this->DefersNow[host] = false;
      this->ReadAll(host);
    }
    for (std::size_t host = Watchers; host < Hosts; ++host) {
      this->SendUpdate(0, host);
      while (!this->InTransit.empty()) {
        this->Deliver();
      }
    }
  }

  /** Checks the invariants of all replicas. */
  void CheckInvariants() const
  {
    for (gsTableReplica const& copy : this->Table) {
      ASSERT_LE(copy.CompleteVersion, copy.ReceivedVersion);
      ASSERT_LE(copy.LastChangeVersion, copy.CompleteVersion);
      for (auto const& [key, deferred] : copy.DeferredRemovals) {
        ASSERT_LT(copy.CompleteVersion, deferred.Version) << key;
      }
      if (gsTableReplicaDigest(copy).RowsPlusOne != 0) {
        ASSERT_EQ(RowsOf(copy), this->Store.At(copy.CompleteVersion))
          << "complete to " << copy.CompleteVersion;
        ASSERT_EQ(RowsOf(copy), this->Store.At(copy.LastChangeVersion))
          << "last change " << copy.LastChangeVersion;
      }
    }
    this->CheckPairs();
  }

  /** Checks that all replicas equal the platform's table. */
  void CheckConverged() const
  {
    for (gsTableReplica const& copy : this->Table) {
      EXPECT_EQ(RowsOf(copy), this->Store.At(this->Store.Version));
      EXPECT_TRUE(copy.DeferredRemovals.empty());
    }
  }

private:
  static constexpr std::size_t Hosts = 5;
  static constexpr std::size_t Watchers = 2;
  static constexpr std::size_t Keys = 5;
  static constexpr std::size_t MaxInTransit = 12;

  /** An update in transit. */
  struct Message
  {
    std::size_t From = 0;
    std::size_t To = 0;
    gsTableUpdate Update;
    gsTime SentAt{};
  };

  /** Checks that no two valid digests of the same version differ, and that
   * replicas complete up to the same version contain the same rows. */
  void CheckPairs() const
  {
    for (gsTableReplica const& a : this->Table) {
      for (gsTableReplica const& b : this->Table) {
        ASSERT_FALSE(gsTableDigestsDiffer(gsTableReplicaDigest(a),
                                          gsTableReplicaDigest(b)));
        bool same = gsTableReplicaDigest(a).RowsPlusOne != 0 &&
                    gsTableReplicaDigest(b).RowsPlusOne != 0 &&
                    a.CompleteVersion == b.CompleteVersion;
        if (same) {
          ASSERT_EQ(RowsOf(a), RowsOf(b));
        }
      }
    }
  }

  std::size_t RandomBelow(std::size_t count)
  {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      count - 1)(this->Random);
  }

  std::string Key()
  {
    return std::string(1, char('a' + this->RandomBelow(Keys)));
  }

  /** Applies the changes since the last read, as a watching host does. */
  void ReadChanges(std::size_t host)
  {
    gsTableReplica& copy = this->Table[host];
    if (copy.IsInitialized) {
      gsTableReplicaApplyPage(copy, this->Store.Above(copy.ReceivedVersion),
                              this->Store.Version, this->DefersNow[host],
                              this->Now);
    }
  }

  void ReadAll(std::size_t host)
  {
    gsTableReplicaApplySnapshot(this->Table[host], this->Store.All(),
                                this->Store.Version, this->DefersNow[host],
                                this->Now);
    this->Read[host] = this->Store.Version;
  }

  /** Starts or ends the deferral of removals on the host, as after a loss of
   * the platform, or restarts a random host. */
  void ToggleDeferralOrRestart(std::size_t host)
  {
    if (this->RandomBelow(8) == 0) {
      std::size_t restarted = this->RandomBelow(Hosts);
      this->Table[restarted] = {};
      this->Read[restarted] = 0;
      return;
    }
    this->DefersNow[host] = this->DefersRemovals && !this->DefersNow[host];
    if (this->RandomBelow(2) == 0) {
      this->ReadAll(host);
    }
  }

  void PurgeTombstones()
  {
    for (gsTableReplica& copy : this->Table) {
      gsTableReplicaPurgeTombstones(copy, gsSeconds(60), this->Now);
    }
  }

  /** Sends an update, either the changes since the last one or those that the
   * receiver lacks. */
  void SendUpdate(std::size_t from, std::size_t to)
  {
    gsTableReplica& copy = this->Table[from];
    if (!copy.IsInitialized || from == to) {
      return;
    }
    gsTableReplicaRaiseLastChange(
      this->Table[to], copy.LastChangeVersion); // As by a frame header.
    std::uint64_t& pushedUpTo = this->PushedUpTo[from];
    bool push = this->RandomBelow(2) == 0;
    gsTableUpdate update =
      push ? gsTableReplicaTakeUpdateSince(copy, pushedUpTo)
           : gsTableReplicaUpdateSince(copy, this->Table[to].CompleteVersion);
    pushedUpTo = push ? copy.CompleteVersion : pushedUpTo;
    this->Send(from, to, std::move(update));
  }

  void Send(std::size_t from, std::size_t to, gsTableUpdate update)
  {
    this->InTransit.push_back({ from, to, std::move(update), this->Now });
    if (this->InTransit.size() > MaxInTransit) {
      this->InTransit.pop_front();
    }
  }

  /** Delivers a random message, which may be delivered again later. A message
   * older than 50 s is dropped. */
  void Deliver()
  {
    if (this->InTransit.empty()) {
      return;
    }
    std::size_t at = this->RandomBelow(this->InTransit.size());
    Message message = this->InTransit[at];
    if (this->RandomBelow(4) != 0) {
      this->InTransit.erase(this->InTransit.begin() + std::ptrdiff_t(at));
    }
    if (this->Now - message.SentAt > gsSeconds(50)) {
      return;
    }
    gsTableReplica& to = this->Table[message.To];
    gsTableUpdateResult result =
      gsTableReplicaApplyUpdate(to, message.Update, this->Now);
    if (result.NextAction == gsTableUpdateResult::Action::QueryChanges) {
      this->Send(message.From, message.To,
                 gsTableReplicaUpdateSince(this->Table[message.From],
                                           to.CompleteVersion));
    } else if (result.NextAction == gsTableUpdateResult::Action::Repair) {
      this->Repair(message.To);
    }
  }

  /** Reads the table on a random watching host and sends its verified snapshot
   * to a host. */
  void Repair(std::size_t host)
  {
    std::size_t watcher = this->RandomBelow(Watchers);
    this->ReadAll(watcher);
    gsTableUpdate update = gsTableReplicaUpdateSince(this->Table[watcher], 0);
    update.ReadVersion =
      std::min(this->Read[watcher], this->Table[watcher].CompleteVersion);
    this->Send(watcher, host, std::move(update));
  }

  gsRandom Random;
  bool DefersRemovals;
  Platform Store;
  gsTime Now{};
  gsTableReplica Table[Hosts];
  std::uint64_t Read[Hosts] = {};
  std::uint64_t PushedUpTo[Hosts] = {};
  bool DefersNow[Hosts] = {};
  std::deque<Message> InTransit;
};

/** Runs the simulation for several seeds and checks the invariants after each
 * step. */
void RunSeeds(bool defersRemovals)
{
  constexpr std::uint64_t seeds = 200;
  constexpr int steps = 400;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ReplicaSimulation simulation(seed, defersRemovals);
    for (int step = 0; step < steps; ++step) {
      simulation.Step();
      simulation.CheckInvariants();
      ASSERT_FALSE(testing::Test::HasFatalFailure()) << "step " << step;
    }
    simulation.Converge();
    simulation.CheckConverged();
    ASSERT_FALSE(testing::Test::HasFailure());
  }
}

/** A replica that has read three rows. */
gsTableReplica ThreeRows()
{
  gsTableReplica copy;
  gsTableReplicaApplySnapshot(copy, { Row("a", 1), Row("b", 2), Row("c", 3) },
                              3, false, {});
  return copy;
}

/** A snapshot that the sender has verified by a platform read. */
gsTableUpdate VerifiedSnapshot(gsTableReplica const& copy)
{
  gsTableUpdate update = gsTableReplicaUpdateSince(copy, 0);
  update.ReadVersion = copy.CompleteVersion;
  return update;
}

} // namespace

TEST(TableCopy, UpstreamReplicasOfSameVersionAreEqual)
{
  RunSeeds(/*defersRemovals=*/true);
}

TEST(TableCopy, RouteReplicasOfSameVersionAreEqual)
{
  RunSeeds(/*defersRemovals=*/false);
}

TEST(TableCopy, CompleteVersionStaysWhenFullReadDefersRemovals)
{
  gsTableReplica copy = ThreeRows();
  gsTableReplicaApplySnapshot(copy, { Row("b", 2), Row("d", 7) }, 8,
                              /*deferRemovals=*/true, {});
  EXPECT_EQ(copy.CompleteVersion, 3U);
  EXPECT_EQ(copy.ReceivedVersion, 8U);
  EXPECT_EQ(copy.LastChangeVersion, 3U);
  EXPECT_EQ(gsTableReplicaDigest(copy).RowsPlusOne, 0U);
  gsTableReplicaApplySnapshot(copy, { Row("b", 2), Row("d", 7) }, 9,
                              /*deferRemovals=*/false, {});
  EXPECT_EQ(copy.CompleteVersion, 9U);
  EXPECT_EQ(RowsOf(copy), (Versions{ { "b", 2 }, { "d", 7 } }));
}

TEST(TableCopy, DeferredRemovalIsDroppedWhenRowReturns)
{
  gsTableReplica copy = ThreeRows();
  gsTableReplicaApplyPage(copy, { Removal("a", 4) }, 5, /*deferRemovals=*/true,
                          {});
  EXPECT_EQ(copy.CompleteVersion, 3U);
  gsTableReplicaApplyPage(copy, { Row("a", 6) }, 7, /*deferRemovals=*/true,
                          {});
  EXPECT_EQ(copy.CompleteVersion, 7U);
  EXPECT_EQ(copy.LastChangeVersion, 6U);
}

TEST(TableCopy, DeferredRemovalIsAppliedWhenAnotherHostConfirmsIt)
{
  gsTableReplica copy = ThreeRows();
  gsTableReplica other = ThreeRows();
  gsTableReplicaApplyPage(copy, { Removal("a", 4) }, 5, /*deferRemovals=*/true,
                          {});
  gsTableReplicaApplyPage(other, { Removal("a", 4) }, 4,
                          /*deferRemovals=*/false, {});
  gsTableReplicaApplyUpdate(
    copy, gsTableReplicaUpdateSince(other, copy.CompleteVersion), {});
  EXPECT_EQ(copy.CompleteVersion, 5U);
  EXPECT_EQ(RowsOf(copy), RowsOf(other));
}

// A pushed update contains the changes above the last pushed version. A change
// received later at a lower version would not be forwarded without LateKeys.
TEST(TableCopy, LateChangeIsForwardedOnceWhenBelowPushedVersion)
{
  gsTableReplica copy = ThreeRows();
  gsTableReplicaApplyPage(copy, {}, 9, false, {});
  gsTableReplica receiver = copy;
  gsTableUpdate lateUpdate;
  lateUpdate.BaseVersion = 3;
  lateUpdate.Version = 9;
  lateUpdate.Rows = { Removal("a", 5) };
  EXPECT_TRUE(gsTableReplicaApplyUpdate(copy, lateUpdate, {}).Changed);
  gsTableReplicaApplyUpdate(receiver, gsTableReplicaTakeUpdateSince(copy, 9),
                            {});
  EXPECT_EQ(RowsOf(receiver), (Versions{ { "b", 2 }, { "c", 3 } }));
  EXPECT_TRUE(gsTableReplicaTakeUpdateSince(copy, 9).Rows.empty());
}

// A host that skips changes by a full read does not know rows that were added
// and removed in between. Its updates lack these removals, and receivers took
// the updates for complete.
TEST(TableCopy, VersionDoesNotAdvanceWhenUpdateDoesNotMatchDigest)
{
  gsTableReplica receiver = ThreeRows();
  gsTableReplicaApplyPage(receiver, { Row("d", 4) }, 4, false, {});
  gsTableReplica sender = ThreeRows();
  gsTableReplicaApplySnapshot(
    sender, { Row("a", 1), Row("b", 2), Row("c", 3) }, 6, false, {});
  gsTableUpdateResult result = gsTableReplicaApplyUpdate(
    receiver, gsTableReplicaUpdateSince(sender, 4), {});
  EXPECT_EQ(result.NextAction, gsTableUpdateResult::Action::Repair);
  EXPECT_EQ(receiver.CompleteVersion, 4U);
  gsTableReplicaApplyUpdate(receiver, VerifiedSnapshot(sender), {});
  EXPECT_EQ(receiver.CompleteVersion, 6U);
  EXPECT_EQ(RowsOf(receiver), RowsOf(sender));
}

TEST(TableCopy, LateUpdateDoesNotAddRowBelowReceivedVersion)
{
  gsTableReplica copy;
  gsTableReplicaApplySnapshot(copy, { Row("b", 2) }, 9, false, {});
  gsTableUpdate lateUpdate;
  lateUpdate.BaseVersion = 0;
  lateUpdate.Version = 3;
  lateUpdate.Rows = { Row("a", 3), Row("b", 2) };
  gsTableReplicaApplyUpdate(copy, lateUpdate, {});
  EXPECT_EQ(RowsOf(copy), (Versions{ { "b", 2 } }));
}

TEST(TableCopy, UpdateWithoutDigestFromOlderReleaseIsAccepted)
{
  gsTableReplica copy = ThreeRows();
  gsTableUpdate update;
  update.BaseVersion = 3;
  update.Version = 5;
  update.Rows = { Removal("a", 5) };
  EXPECT_EQ(gsTableReplicaApplyUpdate(copy, update, {}).NextAction,
            gsTableUpdateResult::Action::None);
  EXPECT_EQ(copy.CompleteVersion, 5U);
}

// A snapshot that was not verified by a recent platform read does not override
// the receiver's own tombstones.
TEST(TableCopy, UnverifiedSnapshotDoesNotRestoreRemovedRow)
{
  gsTableReplica wrong = ThreeRows();
  gsTableReplicaApplyPage(wrong, {}, 5, false, {});
  gsTableReplica right = ThreeRows();
  gsTableReplicaApplyPage(right, { Removal("a", 4) }, 5, false, {});
  gsTableReplicaApplyUpdate(right, gsTableReplicaUpdateSince(wrong, 0), {});
  EXPECT_EQ(RowsOf(right), (Versions{ { "b", 2 }, { "c", 3 } }));
}

TEST(TableCheck, FullReadRestoresLostRowsAndRemovesExtraRows)
{
  gsTableReplica copy = ThreeRows();
  gsTableUpdate wrongUpdate;
  wrongUpdate.BaseVersion = 3;
  wrongUpdate.Version = 4;
  wrongUpdate.Rows = { Removal("a", 4), Row("x", 4) };
  gsTableReplicaApplyUpdate(copy, wrongUpdate, {});
  gsTableReplicaApplySnapshot(copy, { Row("a", 1), Row("b", 2), Row("c", 3) },
                              4, false, {});
  EXPECT_EQ(RowsOf(copy), RowsOf(ThreeRows()));
  EXPECT_EQ(gsTableReplicaDigest(copy).Hash,
            gsTableReplicaDigest(ThreeRows()).Hash);
}

TEST(TableCheck, VerifiedSnapshotRepairsDivergentReplica)
{
  gsTableReplica watcher = ThreeRows();
  gsTableReplicaApplyPage(watcher, { Row("d", 4) }, 4, false, {});
  gsTableReplica copy = ThreeRows();
  gsTableUpdate wrongUpdate;
  wrongUpdate.BaseVersion = 3;
  wrongUpdate.Version = 4;
  wrongUpdate.Rows = { Removal("a", 4), Row("x", 4) };
  gsTableReplicaApplyUpdate(copy, wrongUpdate, {});
  EXPECT_TRUE(gsTableDigestsDiffer(gsTableReplicaDigest(copy),
                                   gsTableReplicaDigest(watcher)));
  gsTableReplicaApplyUpdate(copy, VerifiedSnapshot(watcher), {});
  EXPECT_EQ(RowsOf(copy), RowsOf(watcher));
  EXPECT_FALSE(gsTableDigestsDiffer(gsTableReplicaDigest(copy),
                                    gsTableReplicaDigest(watcher)));
}

TEST(TableCheck, DivergenceIsDueAfterConfirmationDelay)
{
  gsDivergenceCheck check;
  gsTableDigest own{ 7, 3, 1 };
  gsTableDigest theirs{ 7, 4, 2 };
  gsTime now = gsSeconds(10);
  gsCompareTableDigests(check, "p", theirs, own, now);
  EXPECT_FALSE(gsTakeDueDivergence(check, own, now + gsMilliseconds(100)));
  auto due = gsTakeDueDivergence(check, own, now + gsMilliseconds(350));
  ASSERT_TRUE(due);
  EXPECT_EQ(due->Host, "p");
  EXPECT_EQ(due->RemoteDigest.RowsPlusOne, 4U);
  EXPECT_FALSE(gsTakeDueDivergence(check, own, now + gsMilliseconds(400)));
  EXPECT_TRUE(gsTakeDueDivergence(check, own, now + gsMilliseconds(900)));
}

TEST(TableCheck, NoDivergenceWhenVersionsDifferOrDigestIsInvalid)
{
  gsDivergenceCheck check;
  gsTableDigest own{ 7, 3, 1 };
  gsTime now = gsSeconds(10);
  gsCompareTableDigests(check, "p", { 7, 4, 2 }, own, now);
  EXPECT_FALSE(gsTakeDueDivergence(check, { 8, 3, 1 }, now + gsSeconds(1)));
  gsCompareTableDigests(check, "p", { 6, 4, 2 }, own, now);
  // A row count of zero marks an invalid digest, as sent by a replica with
  // changes beyond its complete version.
  gsCompareTableDigests(check, "q", { 7, 0, 0 }, own, now);
  EXPECT_FALSE(gsTakeDueDivergence(check, own, now + gsSeconds(1)));
}

TEST(TableCheck, DigestFieldsAreMalformedWhenCountsDoNotMatch)
{
  EXPECT_EQ(gsClassifyDigestFields(2, 2, 2), gsDigestFields::Present);
  EXPECT_EQ(gsClassifyDigestFields(0, 0, 2), gsDigestFields::Absent);
  EXPECT_EQ(gsClassifyDigestFields(1, 1, 2), gsDigestFields::Malformed);
  EXPECT_EQ(gsClassifyDigestFields(2, 1, 2), gsDigestFields::Malformed);
  EXPECT_EQ(gsClassifyDigestFields(2, 2, 1), gsDigestFields::Malformed);
  EXPECT_EQ(gsClassifyDigestFields(3, 3, 3), gsDigestFields::Malformed);
}

namespace {

/** Changes above a version, found by a scan of all rows and tombstones. */
Versions ScanAbove(gsTableReplica const& copy, std::uint64_t version)
{
  Versions rows;
  for (auto const& [key, row] : copy.LiveRows) {
    if (row.Version > version) {
      rows[key] = row.Version;
    }
  }
  for (auto const& [key, tombstone] : copy.Tombstones) {
    if (tombstone.Row.Version > version) {
      rows[key] = tombstone.Row.Version;
    }
  }
  return rows;
}

} // namespace

// A watching host scanned all of its 10,000 rows for each change and each
// query. Updates built from RecentChanges have to equal those of a scan.
TEST(TableCopy, UpdateFromRecentChangesEqualsScanOfAllRows)
{
  gsRandom random(11);
  std::uniform_int_distribution<int> keyNumber(0, 9'999);
  Platform platform;
  gsTableReplica copy;
  for (int i = 0; i < 10'000; ++i) {
    platform.Change("k" + std::to_string(i), false);
  }
  gsTableReplicaApplyPage(copy, platform.Log, platform.Version, false,
                          gsTime{});
  std::uint64_t withoutScan = 0;
  for (int step = 0; step < 200; ++step) {
    std::size_t from = platform.Log.size();
    for (int i = 0; i < 50; ++i) {
      platform.Change("k" + std::to_string(keyNumber(random)), i % 5 == 0);
    }
    std::vector<gsTableRow> page(platform.Log.begin() +
                                   static_cast<std::ptrdiff_t>(from),
                                 platform.Log.end());
    gsTableReplicaApplyPage(copy, page, platform.Version, false, gsTime{});
    for (std::uint64_t back : { 1, 40, 3'000 }) {
      std::uint64_t above = platform.Version - back;
      Versions sent;
      for (gsTableRow const& row :
           gsTableReplicaUpdateSince(copy, above).Rows) {
        EXPECT_TRUE(sent.emplace(row.Key, row.Version).second) << row.Key;
      }
      EXPECT_EQ(sent, ScanAbove(copy, above));
      withoutScan += above >= copy.RecentBaseVersion ? 1 : 0;
    }
    EXPECT_LE(copy.RecentChanges.size(), 4'097U);
  }
  EXPECT_GE(withoutScan, 400U); // Most updates were built without a scan.
}

TEST(TableCopy, ChangedKeysAreReturnedOnce)
{
  gsTableReplica copy;
  gsTableReplicaApplySnapshot(copy, { Row("a", 1), Row("b", 2) }, 2, false,
                              gsTime{});
  EXPECT_EQ(gsTableReplicaTakeChangedKeys(copy),
            (std::vector<std::string>{ "a", "b" }));
  EXPECT_TRUE(gsTableReplicaTakeChangedKeys(copy).empty());
  gsTableReplicaApplyPage(copy, { Row("a", 3), Row("a", 4), Removal("b", 5) },
                          5, false, gsTime{});
  EXPECT_EQ(gsTableReplicaTakeChangedKeys(copy),
            (std::vector<std::string>{ "a", "b" }));
  gsTableReplicaApplyPage(copy, { Row("a", 4) }, 5, false, gsTime{});
  EXPECT_TRUE(gsTableReplicaTakeChangedKeys(copy).empty());
}

TEST(TableCheck, FullTableIsQueriedOnceInTwoSeconds)
{
  gsTableQueryLimiter limiter;
  gsTime now = gsSeconds(100);
  int queries = 0;
  for (int i = 0; i < 100; ++i) {
    queries +=
      gsAllowTableQuery(limiter, false, now + gsMilliseconds(100) * i) ? 1 : 0;
  }
  EXPECT_EQ(queries, 5);
  // A host that has the table lacks few rows, and queries for them without
  // delay.
  EXPECT_TRUE(gsAllowTableQuery(limiter, true, now + gsSeconds(10)));
  EXPECT_TRUE(gsAllowTableQuery(limiter, true, now + gsSeconds(10)));
}
