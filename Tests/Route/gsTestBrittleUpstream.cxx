/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Upstreams that crash when they have to reject too many requests in a second,
 * and say so in their answers, before one host over real sockets.
 */
#include <algorithm>
#include <deque>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsRouteBench.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;

/** How the upstreams of a test behave. */
struct BrittleSettings
{
  std::size_t Upstreams = 4;
  std::size_t Room = 8; ///< Requests that one of them accepts at a time.
  std::optional<std::string> Statement = "3";
  std::size_t MaxRejections = 3; ///< In a second; one more crashes it.
  gsTime ServiceTime = gsMilliseconds(200);
  gsTime RestartTime = gsMilliseconds(1500);
};

/** One upstream that accepts Room requests at a time, and crashes when it has
 * rejected more than MaxRejections within a second. */
class BrittleUpstream
{
public:
  BrittleUpstream(gsRouteBench& bench, BrittleSettings const& settings,
                  std::string const& id)
    : Bench(bench)
    , Settings(settings)
    , Scripted(bench.Add(
        id, [this](Connection const& to, gsScriptedRequest const& request) {
          this->Take(to, request);
        }))
  {
  }

  std::size_t Falls = 0;
  std::size_t Served = 0;
  std::size_t Rejected = 0;

private:
  std::string Headers() const
  {
    return this->Settings.Statement
             ? "Server-Brittle: " + *this->Settings.Statement + "\r\n"
             : std::string();
  }

  void Take(Connection const& to, gsScriptedRequest const& request)
  {
    gsTime now = gsLoop::Now();
    if (now < this->DownUntil) {
      to->Close();
      return;
    }
    if (this->Running >= this->Settings.Room) {
      this->Reject(to, request, now);
      return;
    }
    ++this->Running;
    std::size_t const falls = this->Falls;
    this->Timers.push_back(
      std::make_unique<gsTimer>(this->Bench.Loop, [this, to, request, falls] {
        if (falls == this->Falls) {
          --this->Running;
          ++this->Served;
          to->Write(gsWholeAnswer(request, "body", 200, this->Headers()));
        }
      }));
    this->Timers.back()->Once(this->Settings.ServiceTime);
  }

  void Reject(Connection const& to, gsScriptedRequest const& request,
              gsTime now)
  {
    constexpr gsTime window = gsSeconds(1);
    ++this->Rejected;
    this->RejectedAt.push_back(now);
    while (now - this->RejectedAt.front() > window) {
      this->RejectedAt.pop_front();
    }
    if (this->RejectedAt.size() <= this->Settings.MaxRejections) {
      to->Write(
        gsWholeAnswer(request, "full", 503,
                      "Gradescale-Not-Executed: 1\r\n" + this->Headers()));
      return;
    }
    ++this->Falls;
    this->Running = 0;
    this->RejectedAt.clear();
    this->DownUntil = now + this->Settings.RestartTime;
    for (Connection const& connection : this->Scripted.Connections) {
      connection->Close();
    }
  }

  gsRouteBench& Bench;
  BrittleSettings const& Settings;
  std::size_t Running = 0;
  std::deque<gsTime> RejectedAt;
  gsTime DownUntil{};
  std::vector<std::unique_ptr<gsTimer>> Timers;
  gsScriptedUpstream& Scripted;
};

/** A host before brittle upstreams. */
class BrittleBench : public gsRouteBench
{
public:
  explicit BrittleBench(BrittleSettings settings)
    : Settings(std::move(settings))
  {
    for (std::size_t i = 0; i < this->Settings.Upstreams; ++i) {
      this->All.push_back(std::make_unique<BrittleUpstream>(
        *this, this->Settings, "u" + std::to_string(i)));
    }
  }

  /** Has the upstreams state what they bear: they do so in all their answers,
   * and crash only some seconds after the first of these. */
  void AwaitStatements()
  {
    for (std::size_t i = 0; i < 2 * this->Settings.Upstreams; ++i) {
      this->SendOne();
    }
    this->RunUntil([this] {
      return std::all_of(
        this->Views.begin(), this->Views.end(),
        [](gsCallerViewPtr const& view) { return view->Done; });
    });
  }

  /** Requests that all upstreams together can answer in a second. */
  double Capacity() const
  {
    return static_cast<double>(this->Settings.Upstreams *
                               this->Settings.Room) /
           gsToSeconds(this->Settings.ServiceTime);
  }

  /** Sends requests at even intervals; a quarter of them less urgent. */
  void SendFor(double seconds, double perSecond)
  {
    gsTime begin = gsLoop::Now();
    gsTimer ticker(this->Loop, [this, begin, perSecond] {
      double due = gsToSeconds(gsLoop::Now() - begin) * perSecond;
      for (double sent = 0; this->SentInCall + sent < due; ++sent) {
        this->SendOne();
      }
      this->SentInCall = due;
    });
    this->SentInCall = 0;
    ticker.Every(gsMilliseconds(4));
    this->RunFor(seconds);
  }

  void SendOne()
  {
    std::size_t number = ++this->Sent;
    gsCallerSends sends;
    sends.Target = number % 4 == 0 ? "/patient/x" : "/plain/x";
    sends.Id = "id-" + std::to_string(number);
    this->Views.push_back(this->Send(sends));
  }

  std::size_t Falls() const { return this->Sum(&BrittleUpstream::Falls); }
  std::size_t Served() const { return this->Sum(&BrittleUpstream::Served); }
  std::size_t Rejected() const
  {
    return this->Sum(&BrittleUpstream::Rejected);
  }

  /** Falls that the rule allows in one time in which upstreams are brittle. */
  std::size_t AllowedFalls() const
  {
    return 2 + this->Settings.Upstreams / 10;
  }

  BrittleSettings Settings;
  std::vector<gsCallerViewPtr> Views;
  std::size_t Sent = 0;

private:
  std::size_t Sum(std::size_t BrittleUpstream::*count) const
  {
    std::size_t sum = 0;
    for (auto const& upstream : this->All) {
      sum += (*upstream).*count;
    }
    return sum;
  }

  double SentInCall = 0;
  std::vector<std::unique_ptr<BrittleUpstream>> All;
};

/** Share of the room that has to be in use while requests wait. */
constexpr double MinUse = 0.95;

} // namespace

// Guards against upstreams that crash under requests that they have to reject
// for want of room.
TEST(BrittleUpstream, LoadAboveTheRoomIsServedWithoutFalls)
{
  BrittleBench bench({});
  bench.AwaitStatements();
  bench.SendFor(0.5, 0.8 * bench.Capacity());
  std::size_t before = bench.Served();
  bench.SendFor(4, 1.56 * bench.Capacity());
  EXPECT_LE(bench.Falls(), bench.AllowedFalls());
  EXPECT_GE(static_cast<double>(bench.Served() - before),
            MinUse * 4 * bench.Capacity());
}

// Guards against a room that is taken from the listed slots, while the
// upstreams accept fewer.
TEST(BrittleUpstream, RoomBelowTheListedSlotsIsLearned)
{
  BrittleSettings settings;
  settings.Room = 4;
  BrittleBench bench(settings);
  bench.AwaitStatements();
  bench.SendFor(1, 1.5 * bench.Capacity());
  std::size_t before = bench.Served();
  bench.SendFor(4, 1.5 * bench.Capacity());
  EXPECT_LE(bench.Falls(), bench.AllowedFalls());
  EXPECT_GE(static_cast<double>(bench.Served() - before),
            MinUse * 4 * bench.Capacity());
}

// Guards against requests that press upstreams which may reject none.
TEST(BrittleUpstream, NoRequestIsRejectedWhereNoneMayBe)
{
  BrittleSettings settings;
  settings.Statement = "0";
  settings.MaxRejections = 0;
  BrittleBench bench(settings);
  bench.AwaitStatements();
  bench.SendFor(0.5, 0.8 * bench.Capacity());
  std::size_t before = bench.Served();
  bench.SendFor(4, 1.25 * bench.Capacity());
  EXPECT_LE(bench.Falls(), bench.AllowedFalls());
  EXPECT_GE(static_cast<double>(bench.Served() - before),
            MinUse * 4 * bench.Capacity());
}

// Guards against a limit that stays in force after the upstreams have ceased
// to state it.
TEST(BrittleUpstream, EndOfTheStatementOpensTheUpstreams)
{
  BrittleBench bench({});
  bench.AwaitStatements();
  bench.SendFor(1, 1.5 * bench.Capacity());
  EXPECT_EQ(bench.Falls(), 0U);
  bench.Settings.Statement.reset();
  bench.Settings.MaxRejections = std::numeric_limits<std::size_t>::max();
  bench.SendFor(5, 0.8 * bench.Capacity());
  gsTime now = gsLoop::Now();
  for (gsFleetRow const& row : bench.Fleet.Rows) {
    EXPECT_EQ(gsFindRoom(bench.Fleet.SlotLimits, row.Hash), nullptr);
    EXPECT_TRUE(gsHasToken(bench.Fleet.SlotLimits, row.Hash, now));
  }
}

// Guards against strange statements that are ignored, and against ones that
// stop the host.
TEST(BrittleUpstream, UnreadableStatementCountsAsTheStrictest)
{
  std::vector<std::pair<std::string, double>> const cases = {
    { "0", 0 },
    { "-3", 0 },
    { "nan", 0 },
    { "many", 0 },
    { "", 0 },
    { "3, 2", 2 },
    { "1e9", 1e6 },
    { std::string(400, '9'), 1e6 },
    { "3\r\nServer-Brittle: 1", 1 },
  };
  for (auto const& [text, expected] : cases) {
    BrittleSettings settings;
    settings.Upstreams = 1;
    settings.Statement = text;
    BrittleBench bench(settings);
    bench.SendOne();
    ASSERT_TRUE(bench.RunUntil([&] { return bench.Views.back()->Done; }));
    std::uint32_t hash = bench.Fleet.Rows.front().Hash;
    gsSlotRoom const* room = gsFindRoom(bench.Fleet.SlotLimits, hash);
    ASSERT_NE(room, nullptr) << text;
    EXPECT_EQ(room->MaxRejections, expected) << text;
  }
}

// Guards against a request that no upstream can hold and that is rejected by
// one after the other.
TEST(BrittleUpstream, RequestThatFitsNowhereIsRejectedOnce)
{
  BrittleSettings settings;
  settings.Room = 0;
  BrittleBench bench(settings);
  bench.SendOne();
  ASSERT_TRUE(bench.RunUntil([&] { return bench.Views.back()->Done; }));
  EXPECT_EQ(bench.Views.back()->Status, 503U);
  EXPECT_LE(bench.Rejected(), 2U);
  EXPECT_EQ(bench.Falls(), 0U);
}
