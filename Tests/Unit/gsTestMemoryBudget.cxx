/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Tests of the memory budget for each of the loads that it is made for:
 * callers that do not read beside others that do, upstreams that do not read,
 * and large bodies from many callers simultaneously.
 */
#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsHeldBytes.h"
#include "gsMemoryBudget.h"
#include "gsSettings.h"

namespace {

constexpr gsTime Start = std::chrono::hours(1);
constexpr gsTime IdleTimeout = gsSeconds(15);
constexpr std::uint64_t MiB = 1U << 20U;

/** A stream whose upstream always has more to send. */
struct Stream
{
  bool Reads = false;
  std::uint64_t Waiting = 0;
  std::uint64_t Delivered = 0;
  gsTime TakenAt = Start;
  bool Ended = false;
};

/** Streams of one host, as a server and a client would move their bytes. */
struct Host
{
  gsMemorySettings Settings;
  gsMemoryUse Use;
  std::vector<Stream> Streams;
  std::uint64_t Peak = 0;

  /** One part of each answer comes in, unless its stream is paused. */
  void Receive(std::uint64_t bytes)
  {
    for (Stream& stream : this->Streams) {
      if (stream.Ended ||
          stream.Waiting > gsStreamLimit(this->Settings, this->Use)) {
        continue;
      }
      stream.Waiting += bytes;
      this->Use.Events += bytes;
      this->Peak = std::max(this->Peak, this->Use.Total());
    }
  }

  void Read(gsTime now)
  {
    for (Stream& stream : this->Streams) {
      if (stream.Reads && stream.Waiting > 0) {
        this->Use.Events -= stream.Waiting;
        stream.Delivered += stream.Waiting;
        stream.Waiting = 0;
        stream.TakenAt = now;
      }
    }
  }

  void EndStalled(gsTime now)
  {
    std::vector<gsMemoryReader> readers;
    for (Stream const& stream : this->Streams) {
      bool waits = !stream.Ended && stream.Waiting > 0;
      readers.push_back({ stream.Waiting, waits ? stream.TakenAt : now });
    }
    for (gsMemoryEnding const& ending : gsSelectStalled(
           this->Settings, this->Use, readers, IdleTimeout, now)) {
      Stream& stream = this->Streams[ending.Index];
      this->Use.Events -= stream.Waiting;
      stream.Waiting = 0;
      stream.Ended = true;
    }
  }
};

std::size_t CountEnded(Host const& host, bool reads)
{
  return static_cast<std::size_t>(std::count_if(
    host.Streams.begin(), host.Streams.end(), [reads](Stream const& stream) {
      return stream.Ended && stream.Reads == reads;
    }));
}

} // namespace

// Guards against a small host that runs out of memory, and against readers
// that lose their streams to callers that do not read.
TEST(MemoryBudget, TwoThousandCallersThatDoNotReadBesideFiftyThatDo)
{
  Host host;
  host.Streams.resize(2050);
  for (std::size_t i = 0; i < 50; ++i) {
    host.Streams[i * 41].Reads = true;
  }
  constexpr std::uint64_t part = 1000;
  constexpr int steps = 1600;
  for (int step = 0; step < steps; ++step) {
    gsTime now = Start + gsMilliseconds(10 * step);
    host.Receive(part);
    host.Read(now);
    if (step % 20 == 0) {
      host.EndStalled(now);
    }
    if (step == 500) {
      EXPECT_TRUE(gsAcceptsBody(host.Settings, host.Use, (16U << 10U) + 1));
      EXPECT_EQ(CountEnded(host, false), 0U) << "there was room";
    }
  }
  EXPECT_LE(host.Peak, gsMemoryLimit(host.Settings));
  EXPECT_EQ(CountEnded(host, true), 0U);
  EXPECT_EQ(CountEnded(host, false), 2000U);
  for (Stream const& stream : host.Streams) {
    if (stream.Reads) {
      EXPECT_EQ(stream.Delivered, steps * part) << "was held up";
    }
  }
  EXPECT_EQ(host.Use.Total(), 0U);
}

// Guards against bodies of many callers that are accepted together because
// none of them has been received yet.
TEST(MemoryBudget, BodiesOfFourMiBFromManyCallersSimultaneously)
{
  gsMemorySettings settings;
  gsMemoryUse use;
  std::size_t accepted = 0;
  for (int i = 0; i < 100; ++i) {
    if (gsAcceptsBody(settings, use, 4 * MiB)) {
      use.Expected += 4 * MiB;
      ++accepted;
    }
  }
  EXPECT_GE(accepted, 3U);
  // Received and copied for their upstreams.
  use.Bodies = use.Uploads = use.Expected;
  use.Expected = 0;
  EXPECT_LE(use.Total(), gsMemoryLimit(settings));
  EXPECT_TRUE(gsAcceptsBody(settings, use, 16U << 10U))
    << "small bodies are always accepted";
  EXPECT_FALSE(gsAcceptsBody(settings, use, 4 * MiB));
  use = {};
  EXPECT_TRUE(gsAcceptsBody(settings, use, 4 * MiB));
}

// Guards against bodies that are accepted while answers and events use the
// budget.
TEST(MemoryBudget, LargeBodiesAreRefusedAboveTheirShare)
{
  gsMemorySettings settings;
  gsMemoryUse use;
  use.Events = gsMemoryLimit(settings) * 79 / 100;
  EXPECT_TRUE(gsAcceptsBody(settings, use, (16U << 10U) + 1));
  use.Answers = gsMemoryLimit(settings) * 2 / 100;
  EXPECT_FALSE(gsAcceptsBody(settings, use, (16U << 10U) + 1));
  EXPECT_TRUE(gsAcceptsBody(settings, use, 16U << 10U));
}

// Guards against an upstream that does not read its body holding the memory
// of the host, and against one that reads slowly being taken for such a one.
TEST(MemoryBudget, UpstreamThatDoesNotReadItsBodyIsEndedAndASlowOneIsNot)
{
  gsMemorySettings settings;
  gsMemoryUse use;
  use.Uploads = 8 * MiB;
  std::vector<gsMemoryReader> uploads{ { 4 * MiB, Start },
                                       { 4 * MiB, Start } };
  for (int step = 0; step < 20; ++step) {
    gsTime now = Start + gsMilliseconds(200 * step);
    if (step % 4 == 0) {
      uploads[1].TakenAt = now;
    }
    std::vector<gsMemoryEnding> endings =
      gsSelectStalled(settings, use, uploads, settings.StalledTimeout, now);
    bool isDue = now - Start >= settings.StalledTimeout;
    ASSERT_EQ(endings.size(), isDue ? 1U : 0U) << step;
    if (isDue) {
      EXPECT_EQ(endings[0].Index, 0U);
      EXPECT_EQ(endings[0].Cause, gsMemoryCause::Stalled);
    }
  }
}

// Guards against a caller that is ended although it reads, because the host
// is over its budget.
TEST(MemoryBudget, SteadyCallerIsNeverEndedEvenOverTheBudget)
{
  gsMemorySettings settings;
  gsMemoryUse use;
  use.Events = 2 * gsMemoryLimit(settings);
  gsTime now = Start + gsSeconds(2);
  std::vector<gsMemoryReader> readers(
    100, { gsMemoryLimit(settings) / 50, now - gsMilliseconds(900) });
  EXPECT_TRUE(
    gsSelectStalled(settings, use, readers, IdleTimeout, now).empty());
}

// Guards against ending more callers than the budget needs, or others than
// those that took nothing for the longest time.
TEST(MemoryBudget, LongestIdleCallersAreEndedUntilTheRestFits)
{
  gsMemorySettings settings;
  std::uint64_t limit = gsMemoryLimit(settings);
  gsMemoryUse use;
  use.Events = limit + limit / 10;
  std::vector<gsMemoryReader> readers(20, { limit / 15, Start });
  for (std::size_t i = 0; i < readers.size(); ++i) {
    readers[i].TakenAt = Start + gsMilliseconds((i * 7) % 20 * 50);
  }
  gsTime now = Start + gsMilliseconds(2500);
  std::vector<gsMemoryEnding> endings =
    gsSelectStalled(settings, use, readers, IdleTimeout, now);
  ASSERT_EQ(endings.size(), 2U);
  EXPECT_EQ(readers[endings[0].Index].TakenAt, Start);
  EXPECT_EQ(readers[endings[1].Index].TakenAt, Start + gsMilliseconds(50));
  EXPECT_EQ(endings[0].Cause, gsMemoryCause::OverBudget);
}

// Guards against a reader that is ended while there is memory for it, or
// before one that has taken nothing for longer.
TEST(MemoryBudget, ReadersAreEndedOnlyForTheRoomThatIsNeeded)
{
  for (unsigned seed = 1; seed <= 1000; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    auto draw = [&random](std::uint64_t most) {
      return std::uniform_int_distribution<std::uint64_t>(0, most)(random);
    };
    gsMemorySettings settings;
    std::uint64_t const limit = gsMemoryLimit(settings);
    std::uint64_t const bodyLimit = limit / 5 * 4;
    gsTime const now = Start + gsSeconds(60);
    std::vector<gsMemoryReader> readers(1 + draw(300));
    gsMemoryUse use;
    use.Bodies = draw(limit / 2);
    std::uint64_t const largest = draw(2 * limit / readers.size());
    for (gsMemoryReader& reader : readers) {
      reader.Bytes = draw(largest);
      reader.TakenAt = now - gsMilliseconds(draw(20000));
      use.Events += reader.Bytes;
    }
    std::uint64_t held = use.Total();
    std::set<std::size_t> ended;
    gsTime latest{};
    for (gsMemoryEnding const& ending :
         gsSelectStalled(settings, use, readers, IdleTimeout, now)) {
      gsMemoryReader const& reader = readers[ending.Index];
      gsTime const waited = now - reader.TakenAt;
      ASSERT_GE(reader.TakenAt, latest);
      latest = reader.TakenAt;
      ASSERT_GE(waited, settings.StalledTimeout / 3) << "reads steadily";
      if (waited < IdleTimeout) {
        ASSERT_EQ(ending.Cause, gsMemoryCause::OverBudget);
        ASSERT_GT(held, waited < settings.StalledTimeout ? limit : bodyLimit)
          << "there was room";
      }
      ASSERT_TRUE(ended.insert(ending.Index).second);
      held -= reader.Bytes;
    }
    for (std::size_t i = 0; i < readers.size(); ++i) {
      gsTime const waited = now - readers[i].TakenAt;
      if (ended.count(i) == 0) {
        EXPECT_LT(waited, IdleTimeout);
        EXPECT_TRUE(held <= bodyLimit + 1 || waited < settings.StalledTimeout);
        EXPECT_TRUE(held <= limit || waited < settings.StalledTimeout / 3);
      }
    }
  }
}

// Guards against a stream that stops for good: a caller that has taken
// everything gets the next part, however little memory is left.
TEST(MemoryBudget, StreamLimitFallsToZeroAndHasAnUpperBound)
{
  gsMemorySettings settings;
  gsMemoryUse use;
  EXPECT_EQ(gsStreamLimit(settings, use), gsMaxStreamBytes);
  use.Bodies = gsMemoryLimit(settings) * 45 / 100;
  std::uint64_t limit = gsStreamLimit(settings, use);
  EXPECT_GT(limit, 0U);
  EXPECT_LT(limit, gsMaxStreamBytes);
  use.Answers = gsMemoryLimit(settings);
  EXPECT_EQ(gsStreamLimit(settings, use), 0U);
}

// Guards against bytes that stay counted after their connection broke.
TEST(MemoryBudget, BrokenConnectionReleasesItsBytes)
{
  auto totals = std::make_shared<gsHeldTotals>();
  {
    gsHeldBytes body(totals, &gsHeldTotals::Bodies);
    gsHeldBytes events(totals, &gsHeldTotals::Events);
    body.Set(100);
    events.Set(50);
    body.Set(70);
    EXPECT_EQ(totals->Bodies, 70U);
    EXPECT_EQ(totals->Events, 50U);
  }
  EXPECT_EQ(totals->Bodies, 0U);
  EXPECT_EQ(totals->Events, 0U);
}

TEST(MemoryBudget, IsReadFromSettings)
{
  std::string text = R"({
    "host": "a", "hall": "h", "callers": { "listen": "127.0.0.1:1" },
    "operators": { "listen": "127.0.0.1:2", "token": "t" },
    "platform": { "kind": "memory" },
    "memory": { "mode": "on", "total_mb": 160, "buffers_share": 0.25,
                "stalled_caller_ms": 2000 } })";
  gsResult<gsSettings> read = gsSettingsFromText(text, "settings");
  ASSERT_TRUE(read) << read.error().Message;
  EXPECT_EQ(read.value().Features.Memory, gsFeatureMode::On);
  EXPECT_EQ(gsMemoryLimit(read.value().Memory), 40 * MiB);
  EXPECT_EQ(read.value().Memory.StalledTimeout, gsSeconds(2));
  text.replace(text.find("160"), 3, "119");
  EXPECT_FALSE(gsSettingsFromText(text, "settings"));
}

// Guards against answers that together exceed the budget, and against the end
// of one that has shown more while another could be ended in its place.
TEST(MemoryBudget, IncomingAnswersAreEndedUntilTheRestIsWithinTheBudget)
{
  std::mt19937_64 random(20261204);
  gsMemorySettings settings;
  std::uint64_t const limit = gsMemoryLimit(settings);
  for (int seed = 0; seed < 1000; ++seed) {
    std::vector<gsIncomingAnswer> answers(random() % 60);
    gsMemoryUse use;
    use.Events = random() % (limit + limit / 4);
    for (gsIncomingAnswer& answer : answers) {
      answer.Bytes = random() % (random() % 2 == 0 ? 20000U : 8 * MiB);
      answer.IsEvent = random() % 3 == 0;
      answer.StatesLength = !answer.IsEvent && random() % 2 == 0;
      use.Answers += answer.Bytes;
    }
    auto order = [&answers](std::size_t i) {
      return answers[i].IsEvent ? 0 : answers[i].StatesLength ? 2 : 1;
    };
    std::vector<std::size_t> ended = gsSelectIncoming(settings, use, answers);
    std::set<std::size_t> const set(ended.begin(), ended.end());
    ASSERT_EQ(set.size(), ended.size()) << seed;
    std::uint64_t held = use.Total();
    for (std::size_t index : ended) {
      ASSERT_GT(held, limit) << "ended more than was needed, seed " << seed;
      ASSERT_GT(answers[index].Bytes, gsSmallAnswerBytes) << seed;
      held -= answers[index].Bytes;
    }
    std::size_t large = 0;
    for (std::size_t i = 0; i < answers.size(); ++i) {
      bool isLeft = answers[i].Bytes > gsSmallAnswerBytes && set.count(i) == 0;
      large += isLeft ? 1 : 0;
      for (std::size_t other : ended) {
        ASSERT_FALSE(isLeft && order(i) < order(other)) << seed;
        ASSERT_FALSE(isLeft && order(i) == order(other) &&
                     answers[i].Bytes > answers[other].Bytes)
          << seed;
      }
    }
    ASSERT_TRUE(held <= limit || large <= 1) << seed;
    ASSERT_TRUE(ended.empty() || large >= 1) << seed;
  }
}

// Guards against buffers that double beyond the limit of what they hold.
TEST(HeldBytes, BufferDoublesButNotBeyondItsLimit)
{
  constexpr std::size_t limit = 900U << 10U;
  std::string const part(1000, 'x');
  std::string buffer;
  std::size_t growths = 0;
  while (buffer.size() + part.size() <= limit) {
    std::size_t before = buffer.capacity();
    gsAppendWithin(buffer, part, limit);
    growths += buffer.capacity() != before ? 1 : 0;
    ASSERT_LE(buffer.capacity(), limit);
  }
  EXPECT_LE(growths, 20U);
  EXPECT_EQ(buffer, std::string(buffer.size(), 'x'));
}

// Guards against small buffers that hold twice the memory of their contents.
TEST(HeldBytes, CompactBufferHasAQuarterToSpareAtMost)
{
  std::string const none;
  std::string buffer;
  for (std::size_t size = 1; size < 5000; size += 7) {
    gsAppendCompactly(buffer, std::string(size % 300, 'x'));
    ASSERT_LE(buffer.capacity(),
              buffer.size() + buffer.size() / 4 + none.capacity());
  }
}

// Guards against many small bodies that exceed every budget, and against small
// ones that are refused since answers use it.
TEST(MemoryBudget, SmallBodiesAreBoundedByThemselves)
{
  gsMemorySettings settings;
  std::uint64_t limit = gsMemoryLimit(settings);
  gsMemoryUse use;
  use.Answers = 2 * limit;
  EXPECT_TRUE(gsAcceptsBody(settings, use, gsSmallBodyBytes));
  std::size_t accepted = 0;
  while (accepted < 10'000 && gsAcceptsBody(settings, use, gsSmallBodyBytes)) {
    use.Bodies += gsSmallBodyBytes;
    ++accepted;
  }
  EXPECT_EQ(accepted, limit / gsSmallBodyBytes);
}

// Guards against bodies for which the machine has no memory, whatever is
// counted.
TEST(MemoryBudget, BodiesAreRefusedWhereTheProcessNearsTheMachine)
{
  gsMemorySettings settings;
  gsMemoryUse use;
  EXPECT_TRUE(gsAcceptsBody(settings, use, 4 * MiB)) << "it is not known";
  use.Resident = settings.TotalBytes * 7 / 10;
  EXPECT_TRUE(gsAcceptsBody(settings, use, 4 * MiB));
  use.Resident = settings.TotalBytes * 9 / 10;
  EXPECT_FALSE(gsAcceptsBody(settings, use, gsSmallBodyBytes + 1));
  EXPECT_TRUE(gsAcceptsBody(settings, use, gsSmallBodyBytes));
  use.Resident = settings.TotalBytes * 96 / 100;
  EXPECT_FALSE(gsAcceptsBody(settings, use, 1));
}

// Guards against callers that are ended although there is memory.
TEST(MemoryBudget, ShortageBeginsAtThreeQuartersOfTheMachine)
{
  gsMemorySettings settings;
  EXPECT_EQ(gsFindMemoryShortage(settings, 0).Bytes, 0U);
  EXPECT_EQ(gsFindMemoryShortage(settings, 90 * MiB).Bytes, 0U);
  EXPECT_EQ(gsFindMemoryShortage(settings, 91 * MiB).Bytes, MiB);
  EXPECT_FALSE(gsFindMemoryShortage(settings, 100 * MiB).IsSevere);
  EXPECT_TRUE(gsFindMemoryShortage(settings, 103 * MiB).IsSevere);
}

// Guards against requests whose fixed parts exceed the machine together, and
// against budgets that leave no room for any.
TEST(MemoryBudget, RequestsAreBoundedByWhatTheBudgetLeaves)
{
  for (std::uint64_t mib : { 120, 160, 260 }) {
    for (double share : { 0.05, 0.35, 0.8 }) {
      gsMemorySettings settings;
      settings.TotalBytes = mib * MiB;
      settings.BuffersShare = share;
      gsMemoryUse use;
      while (use.Requests < 100'000 && gsAcceptsRequest(settings, use)) {
        ++use.Requests;
      }
      EXPECT_GE(use.Requests, 64U);
      EXPECT_TRUE(use.Requests == 64 ||
                  use.Requests * (64U << 10U) + gsMemoryLimit(settings) <
                    settings.TotalBytes)
        << mib << ' ' << share << ' ' << use.Requests;
      use.Requests = 0;
      use.Resident = settings.TotalBytes * 96 / 100;
      EXPECT_FALSE(gsAcceptsRequest(settings, use));
    }
  }
}

// Guards against readers that keep memory which the process has to release.
TEST(MemoryBudget, ReadersAreEndedWhereTheProcessNearsTheMachine)
{
  gsMemorySettings settings;
  gsMemoryUse use;
  gsTime now = Start + 2 * settings.StalledTimeout;
  std::vector<gsMemoryReader> readers(100, { 1000, Start });
  readers.push_back({ 1000, now });
  EXPECT_TRUE(
    gsSelectStalled(settings, use, readers, IdleTimeout, now).empty());
  use.Resident = settings.TotalBytes * 3 / 4 + MiB;
  std::size_t ended =
    gsSelectStalled(settings, use, readers, IdleTimeout, now).size();
  EXPECT_GT(ended, 0U);
  EXPECT_LT(ended, 100U) << "more than that takes";
  use.Resident = settings.TotalBytes;
  EXPECT_EQ(gsSelectStalled(settings, use, readers, IdleTimeout, now).size(),
            100U);
}
