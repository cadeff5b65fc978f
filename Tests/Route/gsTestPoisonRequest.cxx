/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A request under which upstreams end, at one host between scripted
 * upstreams: when it is refused, and that nothing else is refused with it.
 */
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsRouteBench.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;
using Script = gsScriptedUpstream::Script;

char const* const Poison = "poison";

/** Answers whole, but ends all its connections at a request with this body. */
Script EndsAt(std::string const& body, gsScriptedUpstream*& self)
{
  return [=, &self](Connection const& to, gsScriptedRequest const& request) {
    if (request.Body != body) {
      to->Write(gsWholeAnswer(request, "body"));
      return;
    }
    for (Connection const& connection : self->Connections) {
      connection->Close();
    }
  };
}

/** Upstreams that end at the poison request and never answer again. */
class EndingUpstreams
{
public:
  EndingUpstreams(gsRouteBench& bench, std::size_t count)
  {
    this->Pointers.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      gsScriptedUpstream*& self = this->Pointers[i];
      self = &bench.Add("u" + std::to_string(i), EndsAt(Poison, self));
    }
  }

  std::size_t PoisonArrivals() const
  {
    std::size_t count = 0;
    for (gsScriptedUpstream const* upstream : this->Pointers) {
      for (gsScriptedRequest const& request : upstream->Requests) {
        count += request.Body == Poison ? 1 : 0;
      }
    }
    return count;
  }

private:
  std::vector<gsScriptedUpstream*> Pointers;
};

gsCallerSends With(std::string const& body, std::string const& route = "safe")
{
  static int number = 0;
  gsCallerSends sends;
  sends.Target = "/" + route + "/x";
  sends.Id = "id-" + std::to_string(++number);
  sends.Body = body;
  return sends;
}

} // namespace

// Guards against a request that is sent to one upstream after the other, each
// of which ends under it.
TEST(PoisonRequest, IsRefusedAtOnceAfterThreeUpstreamsHaveEnded)
{
  for (char const* route : { "plain", "safe", "stream", "resume" }) {
    gsRouteBench bench;
    EndingUpstreams upstreams(bench, 12);
    for (int i = 0; i < 8; ++i) {
      bench.SendAndWait(With(Poison, route));
    }
    EXPECT_EQ(upstreams.PoisonArrivals(), 3U) << route;
    gsCallerViewPtr refused = bench.SendAndWait(With(Poison, route));
    EXPECT_EQ(refused->Status, 503U) << route;
    ASSERT_NE(refused->Header("retry-after"), "") << route;
    EXPECT_GE(std::stod(refused->Header("retry-after")), 10) << route;
  }
}

// Guards against the host spending a second upstream on a request under which
// two have ended already.
TEST(PoisonRequest, IsRepeatedByTheHostOnceAtMost)
{
  gsRouteBench bench;
  EndingUpstreams upstreams(bench, 12);
  gsCallerViewPtr first = bench.SendAndWait(With(Poison, "safe"));
  EXPECT_EQ(first->Status, 502U);
  EXPECT_EQ(upstreams.PoisonArrivals(), 2U);
  gsCallerViewPtr second = bench.SendAndWait(With(Poison, "safe"));
  EXPECT_EQ(second->Status, 502U);
  EXPECT_EQ(upstreams.PoisonArrivals(), 3U);
}

// Guards against requests refused for what another request has done: those
// that ran beside it, and those of the same path with another body.
TEST(PoisonRequest, OthersAreServedWhileItIsRefused)
{
  gsRouteBench bench;
  EndingUpstreams upstreams(bench, 12);
  for (int i = 0; i < 8; ++i) {
    bench.SendAndWait(With(Poison));
    EXPECT_EQ(bench.SendAndWait(With("other"))->Status, 200U);
  }
  EXPECT_EQ(bench.SendAndWait(With(Poison, "plain"))->Status, 502U)
    << "another path is another request";
}

// Guards against a request refused for connections that were reset while its
// upstreams lived on.
TEST(PoisonRequest, IsNoneWhereTheUpstreamsLiveOn)
{
  gsRouteBench bench;
  bool resets = true;
  auto script = [&resets](Connection const& to,
                          gsScriptedRequest const& request) {
    if (resets && request.Body == Poison) {
      to->Close();
      return;
    }
    to->Write(gsWholeAnswer(request, "body"));
  };
  for (char const* id : { "u1", "u2", "u3", "u4" }) {
    bench.Add(id, script);
  }
  for (int i = 0; i < 6; ++i) {
    bench.SendAndWait(With(Poison, "plain"));
  }
  // All upstreams answer other requests in the second after.
  for (int i = 0; i < 100; ++i) {
    bench.SendAndWait(With("other"));
    bench.RunFor(0.01);
  }
  resets = false;
  EXPECT_EQ(bench.SendAndWait(With(Poison, "plain"))->Status, 200U);
}

// Guards against crashes that are not noticed because they break a connection
// that had been used before, and the address accepts connections again.
TEST(PoisonRequest, IsFoundOnKeptConnections)
{
  gsRouteBench bench;
  std::vector<std::unique_ptr<gsTimer>> timers;
  std::size_t arrivals = 0;
  for (char const* id : { "u1", "u2", "u3", "u4", "u5", "u6" }) {
    bench.Add(id, [&](Connection const& to, gsScriptedRequest const& request) {
      if (request.Body != Poison) {
        to->Write(gsWholeAnswer(request, "body"));
        return;
      }
      ++arrivals;
      timers.push_back(
        std::make_unique<gsTimer>(bench.Loop, [to] { to->Close(); }));
      timers.back()->Once(gsMilliseconds(20));
    });
  }
  for (int i = 0; i < 60; ++i) {
    bench.SendAndWait(With("other"));
  }
  for (int i = 0; i < 12; ++i) {
    bench.SendAndWait(With(Poison, "plain"));
  }
  EXPECT_EQ(arrivals, 3U);
}

// Guards against requests held responsible for an upstream that had ended
// before they were sent to it.
TEST(PoisonRequest, IsNoneWhereTheUpstreamHadEndedBefore)
{
  gsRouteBench bench;
  for (char const* id : { "u1", "u2", "u3" }) {
    bench.Add(
      id, [](Connection const& to, gsScriptedRequest const&) { to->Close(); });
  }
  for (int i = 0; i < 12; ++i) {
    bench.SendAndWait(With("first", "plain"));
  }
  for (int i = 0; i < 12; ++i) {
    EXPECT_EQ(bench.SendAndWait(With("second", "plain"))->Status, 502U);
  }
}
