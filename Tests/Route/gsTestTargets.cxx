/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Paths and queries as upstreams receive them: byte by byte as the caller sent
 * them, or not at all.
 */
#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "gsForwardingHost.h"
#include "gsRawCaller.h"
#include "gsRouteBench.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;

/** Targets that an HTTP library may normalize, without their route. */
std::vector<std::string> const OddTargets{
  ".",
  "..",
  "a/../b",
  "./a",
  "a/..",
  "a/.",
  "../x/a",
  "../../../a",
  "a//b",
  "/a",
  "a/",
  "%2e%2e/a",
  "%2E/a",
  "a%2fb",
  "a%2Fb",
  "%41%7e",
  "%",
  "%zz",
  "a;b=c,d",
  "a#b",
  "a#/../b?c",
  "a\\b\\..\\c",
  "a\"<>^`{|}'",
  "a:b@c",
  "\x80\xff\xc3\xa4",
  "?",
  "a?",
  "a?b?c",
  "a?b=%20+%2B&c=/../d",
  "a?\xe2\x82\xac",
  "a?b#c",
  "a?/./",
};

/** Parts of seeded targets. */
std::vector<std::string> const Pieces{
  ".",    "..",       "%2e", "%2E%2e", "%2f", "%5c", "a", "b1", "",    "#",
  ";",    "=",        "@",   ":",      "\\",  "^",   "{", "}",  "|",   "[",
  "]",    "\"",       "'",   "<",      ">",   "`",   "~", "%",  "%00", "\xff",
  "\x80", "\xc3\xa4", "+",   "&",      ",",   "!",   "*", "(",  ")",   "http:",
};

std::string DrawTarget(std::mt19937& random)
{
  auto draw = [&random](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  };
  std::string target;
  std::size_t const segments = draw(6);
  for (std::size_t i = 0; i < segments; ++i) {
    std::size_t const pieces = draw(3);
    for (std::size_t j = 0; j <= pieces; ++j) {
      target += Pieces[draw(Pieces.size())];
    }
    target += draw(3) == 0 ? "" : "/";
  }
  if (draw(2) == 0) {
    target += '?';
    std::size_t const pieces = draw(4);
    for (std::size_t i = 0; i < pieces; ++i) {
      target += Pieces[draw(Pieces.size())] + (draw(2) == 0 ? "/" : "?");
    }
  }
  return target;
}

/** Two upstreams behind a host that may be reached through another one. */
class Targets : public testing::Test
{
protected:
  Targets()
  {
    for (std::string const id : { "u1", "u2" }) {
      this->Bench.Add(
        id, [](Connection const& to, gsScriptedRequest const& request) {
          to->Write(gsWholeAnswer(request, "answer"));
        });
    }
  }

  /** Sends a request; its id is that of the latest one. */
  std::unique_ptr<gsRawCaller> Send(std::string const& target,
                                    std::string const& key, bool isForwarded)
  {
    std::string request = "POST " + target +
                          " HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                          "Gradescale-Attempt-Id: id-" +
                          std::to_string(++this->Sent) + "\r\n";
    request += key.empty() ? "" : "Authorization: Token " + key + "\r\n";
    request += "Content-Length: 5\r\n\r\nhello";
    return std::make_unique<gsRawCaller>(
      this->Bench.Loop,
      isForwarded ? this->Entry.Port() : this->Bench.Server->Port(), request);
  }

  unsigned SendAndWait(std::string const& target, std::string const& key,
                       bool isForwarded)
  {
    std::unique_ptr<gsRawCaller> caller = this->Send(target, key, isForwarded);
    EXPECT_TRUE(this->Bench.RunUntil([&] { return caller->Done(); }));
    return caller->Answer().Status;
  }

  std::string LatestId() const { return "id-" + std::to_string(this->Sent); }

  /** The targets that have arrived under an id. */
  std::vector<std::string> Received(std::string const& id) const
  {
    std::vector<std::string> received;
    for (auto const& upstream : this->Bench.Scripted) {
      for (gsScriptedRequest const& request : upstream->Requests) {
        if (request.Id() == id) {
          received.push_back(request.Target);
        }
      }
    }
    return received;
  }

  static gsRouteGatewaySettings UnlimitedRetries()
  {
    gsRouteGatewaySettings settings;
    settings.RetryBurst = 1e6;
    return settings;
  }

  gsRouteBench Bench{ UnlimitedRetries() };
  gsForwardingHost Entry{ this->Bench };
  int Sent = 0;
};

} // namespace

// Guards against requests that run with another path or query than was sent.
TEST_F(Targets, ReachTheUpstreamByteByByte)
{
  for (bool isForwarded : { false, true }) {
    for (std::string const& odd : OddTargets) {
      for (bool hasKey : { true, false }) {
        std::string const target = (hasKey ? "/plain/" : "/open/") + odd;
        SCOPED_TRACE(target + (isForwarded ? ", forwarded" : ""));
        EXPECT_EQ(
          this->SendAndWait(target, hasKey ? "key-one" : "", isForwarded),
          200U);
        EXPECT_EQ(this->Received(this->LatestId()),
                  std::vector<std::string>{ target });
      }
    }
  }
}

// Guards against a repetition that runs with another path than the first
// attempt.
TEST_F(Targets, AreTheSameInARepetition)
{
  for (bool isForwarded : { false, true }) {
    for (std::string const& odd : OddTargets) {
      std::string const target = "/safe/" + odd;
      SCOPED_TRACE(target + (isForwarded ? ", forwarded" : ""));
      auto failed = std::make_shared<bool>(false);
      for (auto const& upstream : this->Bench.Scripted) {
        upstream->Follow(
          [failed](Connection const& to, gsScriptedRequest const& request) {
            if (std::exchange(*failed, true)) {
              to->Write(gsWholeAnswer(request, "answer"));
            } else {
              to->Write(gsWholeAnswer(request, "", 500));
            }
          });
      }
      EXPECT_EQ(this->SendAndWait(target, "key-one", isForwarded), 200U);
      EXPECT_EQ(this->Received(this->LatestId()),
                std::vector<std::string>(2, target));
    }
  }
}

// Guards against a request that passes by the check of keys of the route that
// its path leads to at the upstream.
TEST_F(Targets, RouteAndKeyAreCheckedOnWhatIsSent)
{
  for (bool isForwarded : { false, true }) {
    EXPECT_EQ(this->SendAndWait("/open/../plain/a", "", isForwarded), 200U);
    EXPECT_EQ(this->Received(this->LatestId()),
              std::vector<std::string>{ "/open/../plain/a" });
    EXPECT_EQ(this->SendAndWait("/plain/../open/a", "", isForwarded), 401U);
    EXPECT_EQ(this->SendAndWait("/%6fpen/a", "", isForwarded), 404U);
  }
  EXPECT_EQ(this->Bench.Arrivals(), 2U);
}

// Guards against requests that run though their target cannot be passed on
// unchanged.
TEST_F(Targets, ThoseThatCannotBePassedOnAreRejectedBeforeTheyRun)
{
  std::vector<std::string> targets{ "*", "plain/a", "http://127.0.0.1/plain/a",
                                    "//127.0.0.1/plain/a" };
  for (char control = 1; control <= ' '; ++control) {
    if (control != '\r' && control != '\n') {
      targets.push_back(std::string("/plain/a") + control + "b");
    }
  }
  targets.emplace_back("/plain/a\x7f");
  targets.emplace_back("/plain/a?b c");
  targets.push_back(std::string("/plain/a") + '\0' + "b");
  for (bool isForwarded : { false, true }) {
    for (std::string const& target : targets) {
      unsigned status = this->SendAndWait(target, "key-one", isForwarded);
      EXPECT_TRUE(status == 400U || status == 404U)
        << testing::PrintToString(target) << ": " << status;
      EXPECT_EQ(this->Received(this->LatestId()).size(), 0U)
        << testing::PrintToString(target);
    }
  }
}

// Guards against long targets that are cut, or that run though their caller is
// told otherwise.
TEST_F(Targets, LongOnesArriveWholeOrAreRejected)
{
  constexpr std::size_t largest = 17U << 10U;
  constexpr std::size_t step = 512;
  for (bool isForwarded : { false, true }) {
    for (std::size_t size = step; size <= largest; size += step) {
      std::string target = "/plain/";
      while (target.size() < size) {
        target += "../a%2f/";
      }
      SCOPED_TRACE(std::to_string(size) + (isForwarded ? ", forwarded" : ""));
      unsigned status = this->SendAndWait(target, "key-one", isForwarded);
      std::vector<std::string> received = this->Received(this->LatestId());
      if (status == 200U) {
        EXPECT_EQ(received, std::vector<std::string>{ target });
      } else {
        EXPECT_TRUE(status == 431U || status == 503U) << status;
        EXPECT_EQ(received.size(), 0U);
        EXPECT_GT(size, 8U << 10U);
      }
    }
  }
}

// Guards against a form of targets that nobody has thought of.
TEST_F(Targets, TenThousandSeededOnesReachTheUpstreamByteByByte)
{
  constexpr int count = 10000;
  constexpr std::size_t batch = 8;
  char const* const routes[] = { "/plain/", "/open/", "/safe/" };
  std::mt19937 random(1);
  struct Pending
  {
    std::string Id;
    std::string Target;
    std::unique_ptr<gsRawCaller> Caller;
  };
  int unchanged = 0;
  for (int i = 0; i < count;) {
    std::vector<Pending> pending;
    for (; pending.size() < batch; ++i) {
      std::string target = routes[i % 3] + DrawTarget(random);
      std::unique_ptr<gsRawCaller> caller =
        this->Send(target, "key-one", i % 2 == 0);
      pending.push_back({ this->LatestId(), target, std::move(caller) });
    }
    ASSERT_TRUE(this->Bench.RunUntil([&] {
      return std::all_of(pending.begin(), pending.end(),
                         [](Pending const& p) { return p.Caller->Done(); });
    }));
    for (Pending const& each : pending) {
      EXPECT_EQ(each.Caller->Answer().Status, 200U) << each.Target;
      EXPECT_EQ(this->Received(each.Id),
                std::vector<std::string>{ each.Target });
      ++unchanged;
    }
    for (auto const& upstream : this->Bench.Scripted) {
      upstream->Requests.clear();
    }
  }
  EXPECT_EQ(unchanged, count);
}
