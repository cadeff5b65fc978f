/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Copies of a table that are fed in any order: those that call themselves
 * complete to one version hold the same rows, and those that were made wrong
 * are found and mended.
 */
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsTableCheck.h"
#include "gsTableCopy.h"

namespace {

using Versions = std::map<std::string, std::uint64_t>;

Versions RowsOf(gsTableCopy const& copy)
{
  Versions rows;
  for (auto const& [key, row] : copy.Live) {
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

/** A table with its whole history. */
struct Platform
{
  std::vector<gsTableRow> Log;
  std::uint64_t Version = 0;

  void Change(std::string const& key, bool removed)
  {
    bool there = this->At(this->Version).count(key) != 0;
    if (!removed || there) {
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

  /** Of each key only its last change, as a store that merges would tell. */
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

/** Hosts that watch and hosts that are told, with news on their way. */
class Copies
{
public:
  Copies(std::uint64_t seed, bool holds)
    : Random(seed)
    , Holds(holds)
  {
  }

  /** One step of any kind. */
  void Step()
  {
    this->Now += gsSeconds(1);
    switch (this->Any(12)) {
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
        this->Watch(this->Any(Watchers));
        break;
      case 6:
        this->ReadAll(this->Any(Watchers));
        break;
      case 7:
        this->Lose(this->Any(Watchers));
        break;
      case 8:
        this->Forget();
        break;
      case 9:
        this->Tell(this->Any(Hosts), this->Any(Hosts));
        break;
      default:
        this->Deliver();
        break;
    }
  }

  /** Everyone reaches the platform or a host that does. */
  void ComeToRest()
  {
    this->Mail.clear();
    for (std::size_t host = 0; host < Watchers; ++host) {
      this->Away[host] = false;
      this->ReadAll(host);
    }
    for (std::size_t host = Watchers; host < Hosts; ++host) {
      this->Tell(0, host);
      while (!this->Mail.empty()) {
        this->Deliver();
      }
    }
  }

  void Check() const
  {
    for (gsTableCopy const& copy : this->Table) {
      ASSERT_LE(copy.Complete, copy.Seen);
      ASSERT_LE(copy.Highest, copy.Complete);
      for (auto const& [key, held] : copy.Held) {
        ASSERT_LT(copy.Complete, held.Version) << key;
      }
      if (gsCopyCheck(copy).Rows != 0) {
        ASSERT_EQ(RowsOf(copy), this->Store.At(copy.Complete))
          << "complete to " << copy.Complete;
        ASSERT_EQ(RowsOf(copy), this->Store.At(copy.Highest))
          << "last change " << copy.Highest;
      }
    }
    this->CheckPairs();
  }

  void CheckRest() const
  {
    for (gsTableCopy const& copy : this->Table) {
      EXPECT_EQ(RowsOf(copy), this->Store.At(this->Store.Version));
      EXPECT_TRUE(copy.Held.empty());
    }
  }

private:
  static constexpr std::size_t Hosts = 5;
  static constexpr std::size_t Watchers = 2;
  static constexpr std::size_t Keys = 5;
  static constexpr std::size_t MostMail = 12;

  struct Letter
  {
    std::size_t From = 0;
    std::size_t To = 0;
    gsTableNews News;
    gsTime At{};
  };

  /** No two hosts show other rows by the check of their headers. */
  void CheckPairs() const
  {
    for (gsTableCopy const& a : this->Table) {
      for (gsTableCopy const& b : this->Table) {
        ASSERT_FALSE(gsRowsDiffer(gsCopyCheck(a), gsCopyCheck(b)));
        bool same = gsCopyCheck(a).Rows != 0 && gsCopyCheck(b).Rows != 0 &&
                    a.Complete == b.Complete;
        if (same) {
          ASSERT_EQ(RowsOf(a), RowsOf(b));
        }
      }
    }
  }

  std::size_t Any(std::size_t count)
  {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      count - 1)(this->Random);
  }

  std::string Key() { return std::string(1, char('a' + this->Any(Keys))); }

  void Watch(std::size_t host)
  {
    gsTableCopy& copy = this->Table[host];
    if (copy.Filled) {
      gsCopyTakePage(copy, this->Store.Above(copy.Seen), this->Store.Version,
                     this->Away[host], this->Now);
    }
  }

  void ReadAll(std::size_t host)
  {
    gsCopyTakeAll(this->Table[host], this->Store.All(), this->Store.Version,
                  this->Away[host], this->Now);
    this->Read[host] = this->Store.Version;
  }

  /** The host loses the platform, or has it back and waits for returns, or
   * starts anew. */
  void Lose(std::size_t host)
  {
    if (this->Any(8) == 0) {
      std::size_t any = this->Any(Hosts);
      this->Table[any] = {};
      this->Read[any] = 0;
      return;
    }
    this->Away[host] = this->Holds && !this->Away[host];
    if (this->Any(2) == 0) {
      this->ReadAll(host);
    }
  }

  void Forget()
  {
    for (gsTableCopy& copy : this->Table) {
      gsCopyForget(copy, gsSeconds(60), this->Now);
    }
  }

  void Tell(std::size_t from, std::size_t to)
  {
    gsTableCopy& copy = this->Table[from];
    if (!copy.Filled || from == to) {
      return;
    }
    gsCopyAlign(this->Table[to], copy.Highest); // A frame's header.
    std::uint64_t& told = this->Told[from];
    bool push = this->Any(2) == 0;
    gsTableNews news = push ? gsCopyTellAbove(copy, told)
                            : gsCopyNewsAbove(copy, this->Table[to].Complete);
    told = push ? copy.Complete : told;
    this->Send(from, to, std::move(news));
  }

  void Send(std::size_t from, std::size_t to, gsTableNews news)
  {
    this->Mail.push_back({ from, to, std::move(news), this->Now });
    if (this->Mail.size() > MostMail) {
      this->Mail.pop_front();
    }
  }

  /** Some letter comes: not the first, or a second time, or never. */
  void Deliver()
  {
    if (this->Mail.empty()) {
      return;
    }
    std::size_t at = this->Any(this->Mail.size());
    Letter letter = this->Mail[at];
    if (this->Any(4) != 0) {
      this->Mail.erase(this->Mail.begin() + std::ptrdiff_t(at));
    }
    if (this->Now - letter.At > gsSeconds(50)) {
      return;
    }
    gsTableCopy& to = this->Table[letter.To];
    gsLearned learned = gsCopyLearn(to, letter.News, this->Now);
    if (learned.Lacks == gsLearned::Lack::Changes) {
      this->Send(letter.From, letter.To,
                 gsCopyNewsAbove(this->Table[letter.From], to.Complete));
    } else if (learned.Lacks == gsLearned::Lack::Rows) {
      this->Heal(letter.To);
    }
  }

  /** A host that watches reads anew, and tells all that it has. */
  void Heal(std::size_t host)
  {
    std::size_t watcher = this->Any(Watchers);
    this->ReadAll(watcher);
    gsTableNews news = gsCopyNewsAbove(this->Table[watcher], 0);
    news.ReadVersion =
      std::min(this->Read[watcher], this->Table[watcher].Complete);
    this->Send(watcher, host, std::move(news));
  }

  gsRandom Random;
  bool Holds;
  Platform Store;
  gsTime Now{};
  gsTableCopy Table[Hosts];
  std::uint64_t Read[Hosts] = {};
  std::uint64_t Told[Hosts] = {};
  bool Away[Hosts] = {};
  std::deque<Letter> Mail;
};

void PlaySeeds(bool holds)
{
  constexpr std::uint64_t seeds = 200;
  constexpr int steps = 400;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Copies copies(seed, holds);
    for (int step = 0; step < steps; ++step) {
      copies.Step();
      copies.Check();
      ASSERT_FALSE(testing::Test::HasFatalFailure()) << "step " << step;
    }
    copies.ComeToRest();
    copies.CheckRest();
    ASSERT_FALSE(testing::Test::HasFailure());
  }
}

/** A copy that has read three rows. */
gsTableCopy ThreeRows()
{
  gsTableCopy copy;
  gsCopyTakeAll(copy, { Row("a", 1), Row("b", 2), Row("c", 3) }, 3, false, {});
  return copy;
}

gsTableNews VerifiedWhole(gsTableCopy const& copy)
{
  gsTableNews news = gsCopyNewsAbove(copy, 0);
  news.ReadVersion = copy.Complete;
  return news;
}

} // namespace

TEST(TableCopy, CopiesOfUpstreamsThatAreCompleteToOneVersionAreEqual)
{
  PlaySeeds(/*holds=*/true);
}

TEST(TableCopy, CopiesOfRoutesThatAreCompleteToOneVersionAreEqual)
{
  PlaySeeds(/*holds=*/false);
}

TEST(TableCopy, AWholeReadsHoldLeavesTheCopyAtItsOldVersion)
{
  gsTableCopy copy = ThreeRows();
  gsCopyTakeAll(copy, { Row("b", 2), Row("d", 7) }, 8, /*hold=*/true, {});
  EXPECT_EQ(copy.Complete, 3U);
  EXPECT_EQ(copy.Seen, 8U);
  EXPECT_EQ(copy.Highest, 3U);
  EXPECT_EQ(gsCopyCheck(copy).Rows, 0U);
  gsCopyTakeAll(copy, { Row("b", 2), Row("d", 7) }, 9, /*hold=*/false, {});
  EXPECT_EQ(copy.Complete, 9U);
  EXPECT_EQ(RowsOf(copy), (Versions{ { "b", 2 }, { "d", 7 } }));
}

TEST(TableCopy, ARowThatComesBackEndsItsHold)
{
  gsTableCopy copy = ThreeRows();
  gsCopyTakePage(copy, { Removal("a", 4) }, 5, /*hold=*/true, {});
  EXPECT_EQ(copy.Complete, 3U);
  gsCopyTakePage(copy, { Row("a", 6) }, 7, /*hold=*/true, {});
  EXPECT_EQ(copy.Complete, 7U);
  EXPECT_EQ(copy.Highest, 6U);
}

TEST(TableCopy, RemovalsLearnedFromOthersEndTheHold)
{
  gsTableCopy copy = ThreeRows();
  gsTableCopy other = ThreeRows();
  gsCopyTakePage(copy, { Removal("a", 4) }, 5, /*hold=*/true, {});
  gsCopyTakePage(other, { Removal("a", 4) }, 4, /*hold=*/false, {});
  gsCopyLearn(copy, gsCopyNewsAbove(other, copy.Complete), {});
  EXPECT_EQ(copy.Complete, 5U);
  EXPECT_EQ(RowsOf(copy), RowsOf(other));
}

// Told news are those above what was told before; what a host learns below
// that would stay with it.
TEST(TableCopy, WhatIsLearnedLateIsToldOn)
{
  gsTableCopy copy = ThreeRows();
  gsCopyTakePage(copy, {}, 9, false, {});
  gsTableCopy hall = copy;
  gsTableNews late;
  late.Above = 3;
  late.Version = 9;
  late.Rows = { Removal("a", 5) };
  EXPECT_TRUE(gsCopyLearn(copy, late, {}).Changed);
  gsCopyLearn(hall, gsCopyTellAbove(copy, 9), {});
  EXPECT_EQ(RowsOf(hall), (Versions{ { "b", 2 }, { "c", 3 } }));
  EXPECT_TRUE(gsCopyTellAbove(copy, 9).Rows.empty());
}

// A host that met removals by a whole read does not know them, and told news
// without them as all changes there were.
TEST(TableCopy, NewsThatDoNotLeadToTheTellersRowsAreNotComplete)
{
  gsTableCopy told = ThreeRows();
  gsCopyTakePage(told, { Row("d", 4) }, 4, false, {});
  gsTableCopy teller = ThreeRows();
  gsCopyTakeAll(teller, { Row("a", 1), Row("b", 2), Row("c", 3) }, 6, false,
                {});
  gsLearned learned = gsCopyLearn(told, gsCopyNewsAbove(teller, 4), {});
  EXPECT_EQ(learned.Lacks, gsLearned::Lack::Rows);
  EXPECT_EQ(told.Complete, 4U);
  gsCopyLearn(told, VerifiedWhole(teller), {});
  EXPECT_EQ(told.Complete, 6U);
  EXPECT_EQ(RowsOf(told), RowsOf(teller));
}

TEST(TableCopy, AForgottenRowIsNotBroughtBackByLateNews)
{
  gsTableCopy copy;
  gsCopyTakeAll(copy, { Row("b", 2) }, 9, false, {});
  gsTableNews late;
  late.Above = 0;
  late.Version = 3;
  late.Rows = { Row("a", 3), Row("b", 2) };
  gsCopyLearn(copy, late, {});
  EXPECT_EQ(RowsOf(copy), (Versions{ { "b", 2 } }));
}

TEST(TableCopy, NewsOfAnOldNeighbourAreBelieved)
{
  gsTableCopy copy = ThreeRows();
  gsTableNews news;
  news.Above = 3;
  news.Version = 5;
  news.Rows = { Removal("a", 5) };
  EXPECT_EQ(gsCopyLearn(copy, news, {}).Lacks, gsLearned::Lack::Nothing);
  EXPECT_EQ(copy.Complete, 5U);
}

// A whole that nobody has just read proves nothing against what a host itself
// remembers.
TEST(TableCopy, AnUnverifiedWholeBringsNoRemovedRowBack)
{
  gsTableCopy wrong = ThreeRows();
  gsCopyTakePage(wrong, {}, 5, false, {});
  gsTableCopy right = ThreeRows();
  gsCopyTakePage(right, { Removal("a", 4) }, 5, false, {});
  gsCopyLearn(right, gsCopyNewsAbove(wrong, 0), {});
  EXPECT_EQ(RowsOf(right), (Versions{ { "b", 2 }, { "c", 3 } }));
}

TEST(TableCheck, AWatchersReadMendsRowsThatItLostOrKept)
{
  gsTableCopy copy = ThreeRows();
  gsTableNews wrong;
  wrong.Above = 3;
  wrong.Version = 4;
  wrong.Rows = { Removal("a", 4), Row("x", 4) };
  gsCopyLearn(copy, wrong, {});
  gsCopyTakeAll(copy, { Row("a", 1), Row("b", 2), Row("c", 3) }, 4, false, {});
  EXPECT_EQ(RowsOf(copy), RowsOf(ThreeRows()));
  EXPECT_EQ(gsCopyCheck(copy).Hash, gsCopyCheck(ThreeRows()).Hash);
}

TEST(TableCheck, AVerifiedWholeMendsACopyThatDoesNotWatch)
{
  gsTableCopy watcher = ThreeRows();
  gsCopyTakePage(watcher, { Row("d", 4) }, 4, false, {});
  gsTableCopy copy = ThreeRows();
  gsTableNews wrong;
  wrong.Above = 3;
  wrong.Version = 4;
  wrong.Rows = { Removal("a", 4), Row("x", 4) };
  gsCopyLearn(copy, wrong, {});
  EXPECT_TRUE(gsRowsDiffer(gsCopyCheck(copy), gsCopyCheck(watcher)));
  gsCopyLearn(copy, VerifiedWhole(watcher), {});
  EXPECT_EQ(RowsOf(copy), RowsOf(watcher));
  EXPECT_FALSE(gsRowsDiffer(gsCopyCheck(copy), gsCopyCheck(watcher)));
}

TEST(TableCheck, ADifferenceIsDueOnceItHasLasted)
{
  gsTableCheck check;
  gsRowsCheck own{ 7, 3, 1 };
  gsRowsCheck theirs{ 7, 4, 2 };
  gsTime now = gsSeconds(10);
  gsCheckHear(check, "p", theirs, own, now);
  EXPECT_FALSE(gsCheckDue(check, own, now + gsMilliseconds(100)));
  auto due = gsCheckDue(check, own, now + gsMilliseconds(350));
  ASSERT_TRUE(due);
  EXPECT_EQ(due->Host, "p");
  EXPECT_EQ(due->Theirs.Rows, 4U);
  EXPECT_FALSE(gsCheckDue(check, own, now + gsMilliseconds(400)));
  EXPECT_TRUE(gsCheckDue(check, own, now + gsMilliseconds(900)));
}

TEST(TableCheck, AChangeMeanwhileIsNoDifference)
{
  gsTableCheck check;
  gsRowsCheck own{ 7, 3, 1 };
  gsTime now = gsSeconds(10);
  gsCheckHear(check, "p", { 7, 4, 2 }, own, now);
  EXPECT_FALSE(gsCheckDue(check, { 8, 3, 1 }, now + gsSeconds(1)));
  gsCheckHear(check, "p", { 6, 4, 2 }, own, now);
  gsCheckHear(check, "q", { 7, 0, 0 }, own, now); // Holds changes beyond.
  EXPECT_FALSE(gsCheckDue(check, own, now + gsSeconds(1)));
}

TEST(TableCheck, CountsThatCannotBeReadAreRefused)
{
  EXPECT_EQ(gsReadCounts(2, 2, 2), gsCountsRead::Told);
  EXPECT_EQ(gsReadCounts(0, 0, 2), gsCountsRead::None);
  EXPECT_EQ(gsReadCounts(1, 1, 2), gsCountsRead::Unreadable);
  EXPECT_EQ(gsReadCounts(2, 1, 2), gsCountsRead::Unreadable);
  EXPECT_EQ(gsReadCounts(2, 2, 1), gsCountsRead::Unreadable);
  EXPECT_EQ(gsReadCounts(3, 3, 3), gsCountsRead::Unreadable);
}

namespace {

/** News as a walk over all rows finds them. */
Versions WalkedAbove(gsTableCopy const& copy, std::uint64_t version)
{
  Versions rows;
  for (auto const& [key, row] : copy.Live) {
    if (row.Version > version) {
      rows[key] = row.Version;
    }
  }
  for (auto const& [key, gone] : copy.Gone) {
    if (gone.Row.Version > version) {
      rows[key] = gone.Row.Version;
    }
  }
  return rows;
}

} // namespace

// A watcher of 10,000 rows walked all of them for each change and each host
// that asked.
TEST(TableCopy, NewsByRememberedChangesAreThoseOfAWalkOverAllRows)
{
  gsRandom random(11);
  std::uniform_int_distribution<int> any(0, 9'999);
  Platform platform;
  gsTableCopy copy;
  for (int i = 0; i < 10'000; ++i) {
    platform.Change("k" + std::to_string(i), false);
  }
  gsCopyTakePage(copy, platform.Log, platform.Version, false, gsTime{});
  std::uint64_t asked = 0;
  for (int step = 0; step < 200; ++step) {
    std::size_t from = platform.Log.size();
    for (int i = 0; i < 50; ++i) {
      platform.Change("k" + std::to_string(any(random)), i % 5 == 0);
    }
    std::vector<gsTableRow> page(platform.Log.begin() +
                                   static_cast<std::ptrdiff_t>(from),
                                 platform.Log.end());
    gsCopyTakePage(copy, page, platform.Version, false, gsTime{});
    for (std::uint64_t back : { 1, 40, 3'000 }) {
      std::uint64_t above = platform.Version - back;
      Versions told;
      for (gsTableRow const& row : gsCopyNewsAbove(copy, above).Rows) {
        EXPECT_TRUE(told.emplace(row.Key, row.Version).second) << row.Key;
      }
      EXPECT_EQ(told, WalkedAbove(copy, above));
      asked += above >= copy.RecentFrom ? 1 : 0;
    }
    EXPECT_LE(copy.Recent.size(), 4'097U);
  }
  EXPECT_GE(asked, 400U); // Most were told without a walk.
}

TEST(TableCopy, TouchedRowsAreNamedOnceWhateverBroughtThem)
{
  gsTableCopy copy;
  gsCopyTakeAll(copy, { Row("a", 1), Row("b", 2) }, 2, false, gsTime{});
  EXPECT_EQ(gsCopyTakeTouched(copy), (std::vector<std::string>{ "a", "b" }));
  EXPECT_TRUE(gsCopyTakeTouched(copy).empty());
  gsCopyTakePage(copy, { Row("a", 3), Row("a", 4), Removal("b", 5) }, 5, false,
                 gsTime{});
  EXPECT_EQ(gsCopyTakeTouched(copy), (std::vector<std::string>{ "a", "b" }));
  gsCopyTakePage(copy, { Row("a", 4) }, 5, false, gsTime{});
  EXPECT_TRUE(gsCopyTakeTouched(copy).empty());
}

TEST(TableCheck, AHostThatKnowsNothingAsksForAllOnceInTwoSeconds)
{
  gsAskPace pace;
  gsTime now = gsSeconds(100);
  int asks = 0;
  for (int i = 0; i < 100; ++i) {
    asks += gsMayAsk(pace, false, now + gsMilliseconds(100) * i) ? 1 : 0;
  }
  EXPECT_EQ(asks, 5);
  // What is missing of a copy that is known is little, and asked for at once.
  EXPECT_TRUE(gsMayAsk(pace, true, now + gsSeconds(10)));
  EXPECT_TRUE(gsMayAsk(pace, true, now + gsSeconds(10)));
}
