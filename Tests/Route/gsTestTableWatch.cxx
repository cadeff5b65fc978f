/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The copy of a platform's table, when the platform is silent, forgets its
 * history, answers with an old state or turns this host away.
 */
#include <deque>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "gsRouteBench.h"
#include "gsTableWatch.h"

namespace {

using Json = nlohmann::json;

/** A platform that keeps a table and can be made to misbehave. */
class FakePlatform
{
public:
  explicit FakePlatform(gsLoop& loop)
  {
    gsHttpServerSettings settings;
    settings.Address = "127.0.0.1:0";
    this->Server =
      std::move(gsHttpServer::Start(
                  loop, settings,
                  [this](std::shared_ptr<gsHttpExchange> const& exchange) {
                    this->OnCall(exchange);
                  })
                  .value());
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(this->Server->Port());
  }

  void Put(std::string const& key, std::string const& base64)
  {
    Json row{ { "table", "t" },
              { "part", "" },
              { "tls_key", key },
              { "value", base64 },
              { "ver", ++this->Version } };
    this->Rows[key] = row;
    this->Changed(row);
  }

  void Remove(std::string const& key)
  {
    this->Rows.erase(key);
    this->Changed(Json{
      { "tls_key", key }, { "gone", true }, { "ver", ++this->Version } });
  }

  /** Whether any watch waits now. */
  bool Watched() const { return !this->Waiting.empty(); }

  bool Silent = false;       ///< Calls get no answer.
  bool Deaf = false;         ///< Watches do not hear of changes.
  bool Busy = false;         ///< Calls get 503.
  bool HistoryGone = false;  ///< The next watch gets 410.
  std::optional<Json> Stale; ///< Answer to reads in place of the state.
  int Reads = 0;
  int Watches = 0;

private:
  void OnCall(std::shared_ptr<gsHttpExchange> const& exchange)
  {
    bool watch = exchange->Path == "/api/rows-feed";
    (watch ? this->Watches : this->Reads) += 1;
    if (this->Silent) {
      this->Lost.push_back(exchange);
    } else if (this->Busy) {
      exchange->Respond(503, {}, "{}");
    } else if (watch && this->HistoryGone) {
      this->HistoryGone = false;
      exchange->Respond(410, {}, "{}");
    } else if (watch) {
      this->Waiting.push_back(exchange);
    } else {
      exchange->Respond(200, {}, this->Stale.value_or(this->State()).dump());
    }
  }

  void Changed(Json const& row)
  {
    if (this->Deaf || this->Silent) {
      return;
    }
    Json body{ { "records", Json::array({ row }) }, { "ver", this->Version } };
    std::vector<std::shared_ptr<gsHttpExchange>> waiting;
    waiting.swap(this->Waiting);
    for (auto const& exchange : waiting) {
      exchange->Respond(200, {}, body.dump());
    }
  }

public:
  Json State() const
  {
    Json rows = Json::array();
    for (auto const& [key, row] : this->Rows) {
      rows.push_back(row);
    }
    return Json{ { "records", rows },
                 { "more", false },
                 { "ver", this->Version } };
  }

private:
  std::unique_ptr<gsHttpServer> Server;
  std::map<std::string, Json> Rows;
  std::uint64_t Version = 0;
  std::vector<std::shared_ptr<gsHttpExchange>> Waiting;
  std::vector<std::shared_ptr<gsHttpExchange>> Lost;
};

class TableWatch : public testing::Test
{
protected:
  TableWatch()
    : Platform(Bench.Loop)
  {
    gsTableWatchSettings settings;
    settings.Platform = this->Platform.Address();
    settings.Table = "t";
    settings.Wait = gsMilliseconds(200);
    settings.Patience = gsMilliseconds(100);
    settings.RetryFirst = gsMilliseconds(20);
    settings.RetryMost = gsMilliseconds(50);
    this->Watch =
      std::make_unique<gsTableWatch>(Bench.Loop, Bench.Callers, Bench.Adapter,
                                     settings, [this] { ++this->Changes; });
  }

  std::string Value(std::string const& key) const
  {
    auto row = this->Watch->Present().find(key);
    return row == this->Watch->Present().end() ? "none" : row->second.Value;
  }

  bool Becomes(std::string const& key, std::string const& value,
               double seconds = 3)
  {
    return this->Bench.RunUntil([&] { return this->Value(key) == value; },
                                seconds);
  }

  gsRouteBench Bench;
  FakePlatform Platform;
  std::unique_ptr<gsTableWatch> Watch;
  int Changes = 0;
};

} // namespace

TEST_F(TableWatch, ReadsAndThenFollowsChanges)
{
  this->Platform.Put("a", "MQ==");
  this->Watch->Start();
  EXPECT_TRUE(this->Becomes("a", "1"));
  ASSERT_TRUE(this->Bench.RunUntil([&] { return this->Platform.Watched(); }));
  this->Platform.Put("b", "Mg==");
  EXPECT_TRUE(this->Becomes("b", "2"));
  ASSERT_TRUE(this->Bench.RunUntil([&] { return this->Platform.Watched(); }));
  this->Platform.Remove("a");
  EXPECT_TRUE(this->Becomes("a", "none"));
  EXPECT_EQ(this->Platform.Reads, 1);
}

TEST_F(TableWatch, AnEmptyTableIsKnownToo)
{
  this->Watch->Start();
  EXPECT_TRUE(this->Bench.RunUntil([&] { return this->Watch->Known(); }));
  EXPECT_EQ(this->Changes, 1);
}

TEST_F(TableWatch, ASilentPlatformAtTheStartIsAskedAgain)
{
  this->Platform.Put("a", "MQ==");
  this->Platform.Silent = true;
  this->Watch->Start();
  this->Bench.RunFor(1.0);
  EXPECT_FALSE(this->Watch->Known());
  this->Platform.Silent = false;
  EXPECT_TRUE(this->Becomes("a", "1"));
}

TEST_F(TableWatch, ASilentWatchIsReplacedByARead)
{
  this->Platform.Put("a", "MQ==");
  this->Watch->Start();
  ASSERT_TRUE(this->Bench.RunUntil([&] { return this->Platform.Watched(); }));
  this->Platform.Deaf = true;
  this->Platform.Put("a", "Mg==");
  EXPECT_TRUE(this->Becomes("a", "2", 1.5));
}

TEST_F(TableWatch, AForgottenHistoryIsReadAnew)
{
  this->Platform.Put("a", "MQ==");
  this->Watch->Start();
  ASSERT_TRUE(this->Bench.RunUntil([&] { return this->Platform.Watched(); }));
  this->Platform.Deaf = true;
  this->Platform.Remove("a");
  this->Platform.Put("b", "Mg==");
  this->Platform.HistoryGone = true;
  EXPECT_TRUE(this->Becomes("b", "2", 1.5));
  EXPECT_EQ(this->Value("a"), "none");
}

TEST_F(TableWatch, AnOldStateIsNotTakenForNews)
{
  this->Platform.Put("a", "MQ==");
  Json old = this->Platform.State();
  this->Platform.Put("a", "Mg==");
  this->Watch->Start();
  ASSERT_TRUE(this->Becomes("a", "2"));
  this->Platform.Stale = old;
  this->Watch->Refresh("test");
  this->Bench.RunFor(0.3);
  EXPECT_EQ(this->Value("a"), "2");
  this->Platform.Stale.reset();
  this->Platform.Put("a", "Mw==");
  EXPECT_TRUE(this->Becomes("a", "3"));
}

TEST_F(TableWatch, AHostThatIsTurnedAwayLearnsFromOthers)
{
  this->Platform.Put("a", "MQ==");
  this->Watch->Start();
  ASSERT_TRUE(this->Becomes("a", "1"));
  this->Platform.Busy = true;
  this->Platform.Deaf = true;
  this->Watch->Learn({ { "a", "2", 5, false } }, "peer");
  EXPECT_EQ(this->Value("a"), "2");
  EXPECT_EQ(this->Watch->Version(), 5U);
  this->Watch->Learn({ { "a", "1", 1, false } }, "peer");
  EXPECT_EQ(this->Value("a"), "2");
  this->Watch->Learn({ { "a", "", 6, true } }, "peer");
  EXPECT_EQ(this->Value("a"), "none");
  this->Watch->Learn({ { "a", "2", 5, false } }, "peer");
  EXPECT_EQ(this->Value("a"), "none");
}

TEST_F(TableWatch, TellsOtherHostsWhatTheyLack)
{
  this->Watch->Learn({ { "a", "1", 3, false }, { "b", "2", 4, false } },
                     "peer");
  this->Watch->Learn({ { "a", "", 7, true } }, "peer");
  EXPECT_EQ(this->Watch->Above(0).size(), 2U);
  std::vector<gsTableRow> above = this->Watch->Above(4);
  ASSERT_EQ(above.size(), 1U);
  EXPECT_EQ(above[0].Key, "a");
  EXPECT_TRUE(above[0].Removed);
}
