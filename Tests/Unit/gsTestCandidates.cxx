/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the selection of candidates among thousands of upstreams. The
 * orders that are maintained row by row equal those of a list applied as a
 * whole, the number of candidates does not grow with the number of upstreams,
 * and all hosts find the same home for a subject.
 *
 * When every upstream was evaluated for each request, placement took 36 us
 * with 112 engines and 3.5 ms with 9,468, which is 29 ms on a host with 0.12
 * CPU cores.
 */
#include <algorithm>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsArrangement.h"
#include "gsCandidates.h"
#include "gsFleetCases.h"

using namespace gsFleetCases;

namespace {

gsListedUpstream ListedNumber(std::size_t i)
{
  return MakeListed("u" + std::to_string(i), std::string(1, 'a' + i % 6));
}

gsFleet MakeLargeFleet(std::size_t upstreams)
{
  gsFleet fleet;
  fleet.Settings.Hall = "a";
  for (std::size_t i = 0; i < upstreams; ++i) {
    gsFleetUpsert(fleet, ListedNumber(i), Now);
  }
  return fleet;
}

/** Ids of the service's rows in the order by speed and hash. */
std::vector<std::string> ServiceOrder(gsFleet const& fleet)
{
  std::vector<std::string> ids;
  for (std::size_t index : fleet.ByService.at("model")) {
    ids.push_back(fleet.Rows[index].Listed.Id);
  }
  return ids;
}

/** Ids of the service's rows in the order of the ring. */
std::vector<std::string> RingOrder(gsFleet const& fleet)
{
  std::vector<std::string> ids;
  for (gsRingEntry const& entry : fleet.Rings.at("model")) {
    ids.push_back(fleet.Rows[entry.Row].Listed.Id);
  }
  return ids;
}

gsPlacementRequest RequestOf(std::vector<gsPromptPart> const& parts)
{
  gsPlacementRequest request = MakeLongRequest();
  request.Parts = &parts;
  request.PromptTokens = 6100;
  return request;
}

/** Parts of a prompt. Ten subjects have the same first part. */
std::vector<gsPromptPart> PartsOf(std::uint64_t subject)
{
  return { { 9'000'000 + subject / 10, 500 },
           { subject, 5000 },
           { subject + 1'000'000, 600 } };
}

gsCandidateQuery QueryOf(std::uint64_t subject)
{
  gsCandidateQuery query;
  query.Service = "model";
  query.Subject = subject;
  return query;
}

/** The upstream to which a request of a subject is sent when all are idle. */
std::string HomeOf(gsFleet& fleet, std::uint64_t subject, std::uint64_t seed)
{
  std::vector<gsPromptPart> parts = PartsOf(subject);
  gsRandom random(seed);
  return gsPlaceRequest(fleet, RequestOf(parts), Now, random).Row->Listed.Id;
}

} // namespace

TEST(EngineOrder, EqualsOrderOfWholeListWhenRowsChangeOneByOne)
{
  gsRandom random(7);
  gsFleet updated;
  std::map<std::string, gsListedUpstream> listed;
  std::uniform_int_distribution<std::size_t> any(0, 99);
  gsEngineArrangement arrangement;
  arrangement.Version = 1;
  arrangement.LongEngines = 20;
  for (int step = 0; step < 3000; ++step) {
    gsListedUpstream next = ListedNumber(any(random));
    switch (any(random) % 4) {
      case 0:
        gsFleetRemove(updated, next.Id);
        listed.erase(next.Id);
        break;
      case 1:
        next.StartedAt = any(random); // A new incarnation.
        [[fallthrough]];
      default:
        next.Leaving = any(random) < 10;
        gsFleetUpsert(updated, next, Now);
        listed[next.Id] = next;
    }
    if (step == 1000 && updated.Rows.size() > 1) {
      arrangement.SlowEngines = { updated.Rows[0].Hash, updated.Rows[1].Hash };
      std::sort(arrangement.SlowEngines.begin(),
                arrangement.SlowEngines.end());
      gsAdoptArrangement(updated, "model", arrangement);
    }
    ASSERT_EQ(updated.Rows.size(), listed.size());
  }
  gsFleet rebuilt;
  gsAdoptArrangement(rebuilt, "model", arrangement);
  std::vector<gsListedUpstream> list;
  list.reserve(listed.size());
  for (auto const& [id, upstream] : listed) {
    list.push_back(upstream);
  }
  gsFleetReplaceListing(rebuilt, list, Now);
  EXPECT_EQ(ServiceOrder(updated), ServiceOrder(rebuilt));
  EXPECT_EQ(RingOrder(updated), RingOrder(rebuilt));
  EXPECT_EQ(updated.RowsPerHall, rebuilt.RowsPerHall);
  EXPECT_EQ(updated.LeavingRowCount, rebuilt.LeavingRowCount);
  EXPECT_EQ(updated.ByHash.size(), rebuilt.ByHash.size());
  for (gsFleetRow const& row : updated.Rows) {
    EXPECT_EQ(gsFleetFind(updated, row.Listed.Id), &row);
    EXPECT_EQ(gsGroupInArrangement(updated, arrangement, row),
              gsGroupInArrangement(rebuilt, arrangement,
                                   *gsFleetFind(rebuilt, row.Listed.Id)));
  }
}

TEST(EngineOrder, KeepsRowStateWhenOtherRowsChange)
{
  gsFleet fleet = MakeLargeFleet(20);
  gsFleetRow* row = gsFleetFind(fleet, "u19");
  row->OwnLoad.OpenAttempts = 3;
  gsMarkReportable(fleet, *row);
  gsFleetRemove(fleet, "u0"); // The last row moves to its index.
  gsFleetUpsert(fleet, ListedNumber(30), Now);
  EXPECT_EQ(gsFleetFind(fleet, "u19")->OwnLoad.OpenAttempts, 3U);
  std::vector<std::string> working;
  gsForEachReportable(fleet, Now, [&](gsFleetRow const& each) {
    working.push_back(each.Listed.Id);
  });
  EXPECT_EQ(working, std::vector<std::string>{ "u19" });
  gsFleetFind(fleet, "u19")->OwnLoad.OpenAttempts = 0;
  gsForEachReportable(fleet, Now, [](gsFleetRow const&) { FAIL(); });
  EXPECT_TRUE(fleet.ReportableRows.empty());
}

TEST(Candidates, BoundsCandidatesWhenThereAreManyUpstreams)
{
  for (std::size_t upstreams : { 300, 1'000, 10'000, 20'000 }) {
    gsFleet fleet = MakeLargeFleet(upstreams);
    gsRandom random(1);
    for (std::uint64_t subject = 2; subject < 50; ++subject) {
      gsCandidates candidates =
        gsSelectCandidates(fleet, QueryOf(subject), random);
      EXPECT_LE(candidates.Rows.size(), 120U);
      EXPECT_GE(candidates.HomeRows.size(), 16U);
      EXPECT_EQ(candidates.ServiceSize, upstreams);
    }
  }
}

TEST(Candidates, SelectsAllUpstreamsWhenThereAreFew)
{
  gsFleet fleet = MakeLargeFleet(gsMaxFullyEvaluated);
  gsRandom random(1);
  gsCandidates candidates = gsSelectCandidates(fleet, QueryOf(5), random);
  EXPECT_EQ(candidates.Rows.size(), gsMaxFullyEvaluated);
  EXPECT_EQ(candidates.HomeRows.size(), gsMaxFullyEvaluated);
}

TEST(Candidates, SelectsSameHomesWhenRowsWereAddedInAnotherOrder)
{
  gsFleet one = MakeLargeFleet(3'000);
  gsFleet other;
  other.Settings.Hall = "d";
  for (std::size_t i = 3'000; i-- > 0;) {
    gsFleetUpsert(other, ListedNumber(i), Now);
  }
  gsFleetUpsert(other, MakeListed("gone"), Now);
  gsFleetRemove(other, "gone");
  std::size_t agreed = 0;
  for (std::uint64_t subject = 2; subject < 202; ++subject) {
    agreed +=
      HomeOf(one, subject, subject) == HomeOf(other, subject, 77) ? 1 : 0;
  }
  EXPECT_EQ(agreed, 200U);
}

TEST(Candidates, KeepsMostHomesWhenUpstreamsAreReplaced)
{
  gsFleet fleet = MakeLargeFleet(3'000);
  std::map<std::uint64_t, std::string> homes;
  for (std::uint64_t subject = 2; subject < 502; ++subject) {
    homes[subject] = HomeOf(fleet, subject, 1);
  }
  // Replaces 3% of the upstreams, as a rolling release does.
  for (std::size_t i = 0; i < 90; ++i) {
    gsFleetRemove(fleet, "u" + std::to_string(i * 33));
    gsFleetUpsert(fleet, ListedNumber(10'000 + i), Now);
  }
  std::size_t moved = 0;
  for (auto const& [subject, home] : homes) {
    moved += HomeOf(fleet, subject, 1) != home ? 1 : 0;
  }
  // Subjects move if their home was removed or a new upstream is their home.
  EXPECT_LE(moved, 500U * 2 * 3 / 100 + 25);
}

TEST(Candidates, BoundsSubjectsPerHomeWhenSubjectsAreMany)
{
  gsFleet fleet = MakeLargeFleet(1'000);
  std::map<std::string, int> subjects;
  for (std::uint64_t subject = 2; subject < 10'002; ++subject) {
    ++subjects[HomeOf(fleet, subject, 1)];
  }
  int maxSubjects = 0;
  for (auto const& [id, count] : subjects) {
    maxSubjects = std::max(maxSubjects, count);
  }
  EXPECT_LE(maxSubjects, 40); // The mean is 10.
  EXPECT_GE(subjects.size(), 900U);
}

TEST(Candidates, SelectsHomesInGroupOfRequest)
{
  gsFleet fleet = MakeLargeFleet(2'000);
  gsEngineArrangement arrangement;
  arrangement.Version = 1;
  arrangement.LongEngines = 500;
  gsAdoptArrangement(fleet, "model", arrangement);
  for (std::uint64_t subject = 2; subject < 102; ++subject) {
    gsFleetRow const& home = *gsFleetFind(fleet, HomeOf(fleet, subject, 1));
    EXPECT_TRUE(gsIsLongEngine(fleet, home)) << subject;
    EXPECT_LT(gsRankOf(fleet, home), 500U);
  }
}

TEST(Candidates, PlacesRequestsInOtherHallsWhenHallIsCutOff)
{
  gsFleet fleet = MakeLargeFleet(3'000);
  gsHallSetReportedUnreachable(fleet.HallReachability, { "b" });
  gsRandom random(1);
  for (std::uint64_t subject = 0; subject < 200; ++subject) {
    std::vector<gsPromptPart> parts = PartsOf(subject);
    gsPlacement placement =
      gsPlaceRequest(fleet, RequestOf(parts), Now, random);
    ASSERT_NE(placement.Row, nullptr);
    EXPECT_NE(placement.Row->Listed.Hall, "b");
  }
}

// One in 20 upstreams is available, so that for some requests none of the
// first candidates is.
TEST(Candidates, PlacesRequestWhenFirstCandidatesAreUnavailable)
{
  gsFleet fleet = MakeLargeFleet(1'000);
  for (std::size_t i = 0; i < 1'000; ++i) {
    if (i % 20 != 0) {
      gsFleetFind(fleet, "u" + std::to_string(i))->AvoidUntil =
        Now + gsSeconds(1);
    }
  }
  gsRandom random(1);
  for (std::uint64_t subject = 0; subject < 100; ++subject) {
    std::vector<gsPromptPart> parts = PartsOf(subject);
    EXPECT_NE(gsPlaceRequest(fleet, RequestOf(parts), Now, random).Row,
              nullptr);
  }
}

TEST(Candidates, PrefersOwnHallWhenRequestHasNoSubject)
{
  gsFleet fleet = MakeLargeFleet(1'200);
  gsRandom random(1);
  gsPlacementRequest request = MakeLongRequest();
  request.Group = gsFleetGroup::Any;
  std::size_t own = 0;
  std::set<std::string> chosen;
  for (int i = 0; i < 200; ++i) {
    gsFleetRow const& row = *gsPlaceRequest(fleet, request, Now, random).Row;
    own += row.Listed.Hall == "a" ? 1 : 0;
    chosen.insert(row.Listed.Id);
  }
  EXPECT_GE(own, 195U);
  EXPECT_GE(chosen.size(), 80U); // Of 200 upstreams of the hall.
}
