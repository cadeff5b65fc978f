/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Connections of callers and of other hosts that carry more than one message:
 * which answer belongs to which request, and which bytes are a request.
 */
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsBulkTransfer.h"
#include "gsForwardingHost.h"
#include "gsRawCaller.h"
#include "gsRouteBench.h"
#include "gsTableWatch.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;

constexpr unsigned Failed = 500;
constexpr unsigned BadRequest = 400;
/** Time in which anything that is to come has come. */
constexpr double Settle = 0.15;

/** A request as a caller writes it. */
std::string Request(std::string const& id, std::string const& target,
                    std::string const& framing = "Content-Length: 0\r\n",
                    std::string const& method = "POST",
                    std::string const& version = "HTTP/1.1")
{
  return method + ' ' + target + ' ' + version +
         "\r\nHost: 127.0.0.1\r\nGradescale-Attempt-Id: " + id +
         "\r\nAuthorization: Token key-one\r\n" + framing + "\r\n";
}

/** Names of the requests that reached an upstream. */
std::vector<std::string> Ran(gsRouteBench const& bench)
{
  std::vector<std::string> ids;
  for (auto const& upstream : bench.Scripted) {
    for (gsScriptedRequest const& request : upstream->Requests) {
      ids.push_back(request.Id());
    }
  }
  return ids;
}

void AnswerOwn(Connection const& to, gsScriptedRequest const& request)
{
  to->Write(gsWholeAnswer(request, "answer of " + request.Id()));
}

/** Statuses, ids and bodies of the answers that a caller got. */
std::vector<std::string> Summary(gsRawCaller const& caller)
{
  std::vector<std::string> lines;
  for (gsRawAnswer& answer : caller.Answers()) {
    lines.push_back(std::to_string(answer.Status) + ' ' +
                    answer.Headers["gradescale-attempt-id"] + ' ' +
                    answer.Body + (answer.StatesItsEnd ? "" : " ..."));
  }
  return lines;
}

/** Writes bytes a while later. */
void WriteLater(gsRouteBench& bench, Connection const& to,
                std::string const& bytes, gsTime after = gsMilliseconds(20))
{
  auto timer = std::make_shared<std::unique_ptr<gsTimer>>();
  *timer = std::make_unique<gsTimer>(bench.Loop, [timer, to, bytes] {
    to->Write(bytes);
    timer->reset();
  });
  (*timer)->Once(after);
}

} // namespace

// Guards against the answer of one pipelined request in the place of another
// one's, when the upstreams answer in another order.
TEST(Desynchronisation, PipelinedRequestsGetTheirOwnAnswersInOrder)
{
  gsRouteBench bench;
  bench.Add("u1", [&](Connection const& to, gsScriptedRequest const& request) {
    std::string answer = gsWholeAnswer(request, "answer of " + request.Id());
    WriteLater(bench, to, answer,
               gsMilliseconds(request.Id() == "one" ? 60 : 1));
  });
  gsRawCaller caller(bench.Loop, bench.Server->Port(),
                     Request("one", "/plain/x") + Request("two", "/plain/x") +
                       Request("three", "/nowhere/x") +
                       Request("four", "/plain/x"));
  bench.RunUntil([&] { return caller.Answers().size() == 4; });
  std::vector<std::string> lines = Summary(caller);
  ASSERT_EQ(lines.size(), 4U);
  EXPECT_EQ(lines[0], "200 one answer of one");
  EXPECT_EQ(lines[1], "200 two answer of two");
  EXPECT_EQ(lines[2].substr(0, 3), "404");
  EXPECT_EQ(lines[3], "200 four answer of four");
}

// Guards against bytes of another answer behind an answer that was cut.
TEST(Desynchronisation, NothingFollowsAnAnswerThatWasCut)
{
  gsRouteBench bench;
  bench.Add("u1", [&](Connection const& to, gsScriptedRequest const& request) {
    if (request.Id() != "one") {
      AnswerOwn(to, request);
      return;
    }
    to->Write(gsStreamHead(request) + gsChunk(gsEvent(1, "a")));
    auto timer = std::make_shared<std::unique_ptr<gsTimer>>();
    *timer = std::make_unique<gsTimer>(bench.Loop, [timer, to] {
      to->Close();
      timer->reset();
    });
    (*timer)->Once(gsMilliseconds(20));
  });
  gsRawCaller caller(bench.Loop, bench.Server->Port(),
                     Request("one", "/stream/x") + Request("two", "/plain/x"));
  EXPECT_TRUE(
    bench.RunUntil([&] { return caller.Ended() != gsRawCaller::End::Open; }));
  EXPECT_EQ(caller.Answers().size(), 1U);
  EXPECT_FALSE(caller.LooksComplete());
  EXPECT_EQ(Ran(bench), std::vector<std::string>{ "one" });
}

// Guards against the rest of a body that is read as the next request, where a
// request is answered before all of it is read.
TEST(Desynchronisation, TheRestOfARefusedBodyIsNoRequest)
{
  std::string const inner = Request("evil", "/plain/x");
  std::string const big(40000, 'h');
  for (char const* method : { "POST", "PUT", "PATCH", "DELETE", "GET" }) {
    for (bool refused : { false, true }) {
      SCOPED_TRACE(std::string(method) +
                   (refused ? " refused" : " too large"));
      gsRouteBench bench;
      bench.Add("u1", AnswerOwn);
      gsHttpBodyGate gate;
      gate.Accepts = [refused](gsHttpExchange&, std::uint64_t size) {
        return !refused || size == 0;
      };
      gate.Refuse = [](gsHttpExchange& exchange) {
        exchange.Respond(503, {}, "refused");
      };
      bench.Server->SetBodyGate(gate);
      std::string framing =
        "Content-Length: " + std::to_string(inner.size()) + "\r\n";
      if (!refused) {
        framing += "X-Large: " + big + "\r\n";
      }
      gsRawCaller caller(bench.Loop, bench.Server->Port(),
                         Request("one", "/plain/x", framing, method));
      bench.RunFor(0.02);
      caller.Send(inner);
      bench.RunFor(Settle);
      EXPECT_EQ(Ran(bench), std::vector<std::string>());
      EXPECT_LE(caller.Answers().size(), 1U);
      EXPECT_EQ(caller.Answer().Status, refused ? 503U : 431U);
    }
  }
}

namespace {

/** A request whose framing has two readings; by one of them the request
 * "evil" is inside its body or behind it. */
struct Ambiguous
{
  char const* Name;
  std::string Framing; ///< Header lines.
  std::string Rest;    ///< After the head.
  std::string Version = "HTTP/1.1";
};

std::vector<Ambiguous> AmbiguousRequests()
{
  std::string const inner = Request("evil", "/plain/x");
  std::string const size = std::to_string(inner.size());
  std::string const chunked = "0\r\n\r\n" + inner;
  std::string const all = std::to_string(chunked.size());
  std::string const te = "Transfer-Encoding: chunked\r\n";
  std::string const hex = [&inner] {
    std::string chunk = gsChunk(inner);
    return chunk.substr(0, chunk.find('\r'));
  }();
  return {
    { "length beside chunks", "Content-Length: " + all + "\r\n" + te,
      chunked },
    { "chunks beside length", te + "Content-Length: " + all + "\r\n",
      chunked },
    { "two lengths", "Content-Length: 0\r\nContent-Length: " + size + "\r\n",
      inner },
    { "two lengths, the other way",
      "Content-Length: " + size + "\r\nContent-Length: 0\r\n", inner },
    { "a list of lengths", "Content-Length: 0, " + size + "\r\n", inner },
    { "a length with a sign", "Content-Length: +" + size + "\r\n", inner },
    { "a length in hex", "Content-Length: 0x" + size + "\r\n", inner },
    { "a length with a word", "Content-Length: 0 bytes\r\n", inner },
    { "an empty length", "Content-Length: \r\n", inner },
    { "a blank before the colon", "Content-Length : " + size + "\r\n", inner },
    { "a blank before the colon of chunks", "Transfer-Encoding : chunked\r\n",
      chunked },
    { "a tab before the colon", "Content-Length\t: " + size + "\r\n", inner },
    { "an unknown coding", "Transfer-Encoding: xchunked\r\n", chunked },
    { "identity", "Transfer-Encoding: identity\r\n", inner },
    { "chunks that are not last", "Transfer-Encoding: chunked, identity\r\n",
      chunked },
    { "a coding before chunks", "Transfer-Encoding: gzip, chunked\r\n",
      chunked },
    { "two codings", te + "Transfer-Encoding: identity\r\n", chunked },
    { "two codings, the other way", "Transfer-Encoding: identity\r\n" + te,
      chunked },
    { "chunks in HTTP/1.0", "Connection: keep-alive\r\n" + te, chunked,
      "HTTP/1.0" },
    { "a line without a colon", "Content-Length\r\n", inner },
    { "a name with a blank", "X A: b\r\nContent-Length: 0\r\n", inner },
    { "a bare CR in a value", "X-A: b\rContent-Length: " + size + "\r\n",
      inner },
    { "a chunk size with a sign", te, "+0\r\n\r\n" + inner },
    { "a chunk size in hex", te, "0x0\r\n\r\n" + inner },
    { "a chunk size beyond 64 bits", te,
      "10000000000000000" + hex + "\r\n" + inner + "\r\n0\r\n\r\n" },
    { "a chunk that is longer than its size", te,
      "1\r\nxy\r\n0\r\n\r\n" + inner },
  };
}

} // namespace

// Guards against a request that is smuggled inside another one: where a head
// has two readings, whoever wrote it meant the other one (RFC 9112, 6.3).
TEST(Desynchronisation, ARequestWhoseFramingHasTwoReadingsCarriesNoOther)
{
  for (Ambiguous const& each : AmbiguousRequests()) {
    SCOPED_TRACE(each.Name);
    gsRouteBench bench;
    bench.Add("u1", AnswerOwn);
    gsRawCaller caller(
      bench.Loop, bench.Server->Port(),
      Request("one", "/plain/x", each.Framing, "POST", each.Version) +
        each.Rest);
    bench.RunFor(0.05);
    for (std::string const& id : Ran(bench)) {
      EXPECT_EQ(id, "one");
    }
    EXPECT_LE(caller.Answers().size(), 1U);
  }
}

// Guards against an empty body in chunks, 204 or a body where none may be, so
// that the caller's next answer is read amid them.
TEST(Desynchronisation, AnAnswerWithoutABodyIsFollowedByTheNextOne)
{
  for (char const* route : { "plain", "safe", "stream", "resume" }) {
    for (unsigned status : { 204U, 304U }) {
      SCOPED_TRACE(std::string(route) + ' ' + std::to_string(status));
      gsRouteBench bench;
      bench.Add("u1",
                [&](Connection const& to, gsScriptedRequest const& request) {
                  bool isFirst = request.Id() == "one";
                  to->Write(gsWholeAnswer(request, isFirst ? "stray" : "own",
                                          isFirst ? status : 200));
                });
      std::string target = "/" + std::string(route) + "/x";
      gsRawCaller caller(bench.Loop, bench.Server->Port(),
                         Request("one", target));
      bench.RunFor(0.05);
      caller.Send(Request("two", "/plain/x"));
      bench.RunFor(0.05);
      std::vector<std::string> lines = Summary(caller);
      ASSERT_EQ(lines.size(), 2U);
      EXPECT_EQ(lines[0], std::to_string(status) + " one ");
      EXPECT_EQ(lines[1], "200 two own");
    }
  }
}

// Guards against a body behind the head of an answer to HEAD.
TEST(Desynchronisation, AnAnswerToHeadHasNoBody)
{
  for (char const* route : { "plain", "safe", "stream", "resume" }) {
    SCOPED_TRACE(route);
    gsRouteBench bench;
    bench.Add(
      "u1", [](Connection const& to, gsScriptedRequest const& request) {
        std::string answer = gsWholeAnswer(request, "own");
        bool isHead = request.Method == "HEAD";
        to->Write(isHead ? answer.substr(0, answer.size() - 3) : answer);
      });
    std::string target = "/" + std::string(route) + "/x";
    gsRawCaller caller(bench.Loop, bench.Server->Port(),
                       Request("one", target, "", "HEAD"));
    bench.RunFor(0.05);
    caller.Send(Request("two", "/plain/x"));
    bench.RunFor(0.05);
    // The head of the first answer is followed by that of the second one.
    std::string const& bytes = caller.Received();
    std::size_t end = bytes.find("\r\n\r\n");
    ASSERT_NE(end, std::string::npos);
    EXPECT_EQ(bytes.substr(0, 12), "HTTP/1.1 200");
    EXPECT_EQ(bytes.substr(end + 4, 12), "HTTP/1.1 200");
    EXPECT_EQ(bytes.substr(bytes.size() - 3), "own");
  }
}

// Guards against a request whose answers are taken for those of another one,
// because its id is not the one that its upstream was sent.
TEST(Desynchronisation, ARequestIsSentWithTheIdThatItsAnswerIsComparedWith)
{
  struct Case
  {
    char const* Name;
    std::string Lines;
    bool IsServed;
  };
  std::string const id = "Gradescale-Attempt-Id: ";
  std::string const one = id + "one\r\n";
  for (Case const& each :
       { Case{ "a blank after it", id + "one \r\n", true },
         Case{ "a tab after it", id + "one\t\r\n", true },
         Case{ "blanks before it", id + "  one\r\n", true },
         Case{ "named in Connection",
               "Connection: gradescale-attempt-id\r\n" + one, true },
         Case{ "two ids", one + "Gradescale-Attempt-Id: two\r\n", false },
         Case{ "twice the same", one + one, false } }) {
    SCOPED_TRACE(each.Name);
    gsRouteBench bench;
    bench.Add("u1", AnswerOwn);
    gsRawCaller caller(bench.Loop, bench.Server->Port(),
                       "GET /plain/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                       "Authorization: Token key-one\r\n" +
                         each.Lines + "\r\n");
    bench.RunUntil([&] { return caller.Done(); }, 1);
    EXPECT_EQ(caller.Answer().Status, each.IsServed ? 200U : BadRequest);
    EXPECT_EQ(Ran(bench), each.IsServed ? std::vector<std::string>{ "one" }
                                        : std::vector<std::string>());
  }
}

// Guards against a request that reaches its upstream without what identifies
// it, because its caller named that in Connection.
TEST(Desynchronisation, ConnectionNamesNoHeaderThatTheRequestNeeds)
{
  gsRouteBench bench;
  gsScriptedUpstream& upstream = bench.Add("u1", AnswerOwn);
  gsRawCaller caller(
    bench.Loop, bench.Server->Port(),
    Request("one", "/plain/x",
            "Connection: host, gradescale-model, x-hop\r\nX-Hop: a\r\n"
            "Connection: gradescale-token-usage, gradescale-prompt-prefix\r\n"
            "Gradescale-Model: m\r\nGradescale-Token-Usage: 1,2\r\n"
            "Gradescale-Prompt-Prefix: 1:1\r\n",
            "GET"));
  bench.RunUntil([&] { return caller.Done(); }, 1);
  ASSERT_EQ(upstream.Requests.size(), 1U);
  gsScriptedRequest const& sent = upstream.Requests.front();
  EXPECT_EQ(sent.Header("x-hop"), "");
  EXPECT_EQ(sent.Header("host"), "127.0.0.1");
  EXPECT_EQ(sent.Header("gradescale-model"), "m");
  EXPECT_EQ(sent.Header("gradescale-token-usage"), "1,2");
  EXPECT_EQ(sent.Header("gradescale-prompt-prefix"), "1:1");
}

namespace {

/** A host that reaches no upstream and forwards to scripted hosts. */
struct ForwardingBench
{
  explicit ForwardingBench(gsScriptedUpstream::Script const& script)
    : Peer(Bench.Loop, "host1", script)
  {
    for (char const* upstream : { "u1", "u2", "u3" }) {
      this->Bench.Add(upstream,
                      [](Connection const&, gsScriptedRequest const&) {});
    }
    this->Bench.Scripted.clear(); // They are still listed.
    this->Bench.Gateway->Forwarder().Enable({ "token", "cluster" }, [this] {
      return std::vector<gsForwardPeer>{ { "host1", "north",
                                           this->Peer.Address(), 1 } };
    });
  }

  gsCallerViewPtr SendAndWait(std::string const& id)
  {
    gsCallerSends sends;
    sends.Id = id;
    return this->Bench.SendAndWait(sends);
  }

  gsRouteBench Bench;
  gsScriptedUpstream Peer;
};

} // namespace

// Guards against the late answer of one forwarded request in the place of
// another one's, whichever of the statuses that name no request it has.
TEST(Desynchronisation, AForwardedRequestTakesNoAnswerOfAFormerOne)
{
  for (unsigned status : { 200U, 408U, 431U, 503U, Failed }) {
    for (bool named : { true, false }) {
      SCOPED_TRACE(std::to_string(status) + (named ? "" : " without an id"));
      std::string stale;
      ForwardingBench hosts(
        [&](Connection const& to, gsScriptedRequest const& request) {
          std::string own = gsWholeAnswer(request, "own");
          if (request.Id() == "one") {
            to->Write(own);
            stale = gsWholeAnswer(request, "stale", status);
            if (!named) {
              stale = "HTTP/1.1 " + std::to_string(status) +
                      " Word\r\nContent-Length: 5\r\n\r\nstale";
            }
            return;
          }
          to->Write(stale + own);
        });
      EXPECT_EQ(hosts.SendAndWait("one")->Body, "own");
      gsCallerViewPtr view = hosts.SendAndWait("two");
      bool isOwn = view->Status == 200 && view->Body == "own";
      // It was read and may have run.
      bool isUnknown = view->Status == 502;
      EXPECT_TRUE(isOwn || isUnknown) << view->Status << ' ' << view->Body;
    }
  }
}

// Guards against a request that ends as one that may have run, where the host
// that it was forwarded to has refused it without its id.
TEST(Desynchronisation, AHostWithoutAConfigurationRefusesByTheRequestsId)
{
  gsRouteBench bench;
  bench.Add("u1", AnswerOwn);
  gsForwardingHost host(bench);
  bench.Gateway->SetRoutes(nullptr);
  gsRawCaller caller(bench.Loop, host.Port(), Request("one", "/plain/x"));
  bench.RunUntil([&] { return caller.Done(); });
  EXPECT_EQ(caller.Answer().Status, 503U);
  EXPECT_EQ(Ran(bench), std::vector<std::string>());
}

// Guards against the late answer of a silent upstream behind that of the one
// that was asked beside it, and on connections that are used again.
TEST(Desynchronisation, TheLateAnswerOfAHedgedAttemptReachesNobody)
{
  gsRouteGatewaySettings settings;
  settings.SilenceTimeout = gsMilliseconds(100);
  gsRouteBench bench(settings);
  std::vector<std::string> firstAt;
  Connection silent;
  gsScriptedRequest late;
  auto script = [&](std::string const& name) {
    return [&, name](Connection const& to, gsScriptedRequest const& request) {
      firstAt.push_back(name + ' ' + request.Id());
      if (request.Id() == "one" && silent == nullptr) {
        silent = to;
        late = request;
        return;
      }
      if (request.Id() == "one") {
        // Both answers are there when the loop next looks.
        silent->Write(gsWholeAnswer(late, "late", Failed));
        to->Write(gsWholeAnswer(request, "own"));
        return;
      }
      WriteLater(bench, to, gsWholeAnswer(request, request.Id()));
    };
  };
  bench.Add("u1", script("u1"));
  bench.Add("u2", script("u2"));
  gsRawCaller caller(bench.Loop, bench.Server->Port(),
                     Request("one", "/safe/x"));
  bench.RunUntil([&] { return !caller.Answers().empty(); });
  std::string const first = Summary(caller).at(0);
  EXPECT_TRUE(first == "200 one own" || first == "500 one late") << first;
  for (int i = 0; i < 6; ++i) {
    std::string const id = "next-" + std::to_string(i);
    caller.Send(Request(id, "/plain/x"));
    bench.RunUntil([&] { return caller.Answers().size() > 1U + i; });
    std::string expected = "200 " + id;
    expected += ' ';
    expected += id;
    EXPECT_EQ(Summary(caller).at(1U + i), expected);
  }
  EXPECT_EQ(caller.Answers().size(), 7U);
}

// Guards against events of an attempt that come after the stream has been
// taken up elsewhere.
TEST(Desynchronisation, AStreamThatWasTakenUpElsewhereGetsNoLaterEvents)
{
  gsRouteGatewaySettings settings;
  settings.SilenceTimeout = gsMilliseconds(100);
  gsRouteBench bench(settings);
  Connection silent;
  auto script = [&](Connection const& to, gsScriptedRequest const& request) {
    if (silent == nullptr) {
      silent = to;
      to->Write(gsStreamHead(request) + gsChunk(gsEvent(1, "a")));
      return;
    }
    to->Write(gsStreamHead(request) + gsChunk(gsEvent(2, "b")));
    silent->Write(gsChunk(gsEvent(2, "late b") + gsEvent(3, "late c")));
    WriteLater(bench, silent, gsChunk(gsEvent(4, "late d")) + gsChunk(""));
    WriteLater(bench, to, gsChunk(gsEvent(3, "c")) + gsChunk(""),
               gsMilliseconds(60));
  };
  bench.Add("u1", script);
  bench.Add("u2", script);
  gsRawCaller caller(bench.Loop, bench.Server->Port(),
                     Request("one", "/resume/x"));
  bench.RunUntil([&] { return caller.Done(); });
  std::string const own = gsEvent(1, "a") + gsEvent(2, "b") + gsEvent(3, "c");
  std::string const kept = gsEvent(1, "a") + gsEvent(2, "late b") +
                           gsEvent(3, "late c") + gsEvent(4, "late d");
  std::string const got = caller.Answer().Body;
  EXPECT_TRUE(got == own || got == kept) << got;
  EXPECT_TRUE(caller.Answer().StatesItsEnd);
}

namespace {

/** Upstreams that answer the first request in an odd way, and others with
 * their id. \return What the callers of the other ones got. */
std::vector<std::string> AfterOdd(
  std::string const& route,
  std::function<void(gsRouteBench&, Connection const&,
                     gsScriptedRequest const&)> const& odd)
{
  gsRouteBench bench;
  bench.Add("u1", [&](Connection const& to, gsScriptedRequest const& request) {
    if (request.Id() == "odd") {
      odd(bench, to, request);
      return;
    }
    WriteLater(bench, to, gsWholeAnswer(request, request.Id()));
  });
  gsCallerSends sends;
  sends.Target = "/" + route + "/x";
  sends.Id = "odd";
  gsCallerViewPtr first = bench.SendAndWait(sends);
  std::vector<std::string> got{ std::to_string(first->Status) + ' ' +
                                first->Body };
  for (std::string const id : { "a", "b", "c" }) {
    sends.Target = "/plain/x";
    sends.Id = id;
    gsCallerViewPtr view = bench.SendAndWait(sends);
    got.push_back(std::to_string(view->Status) + ' ' + view->Body);
  }
  return got;
}

std::vector<std::string> const OthersOwn{ "200 b", "200 c" };

} // namespace

// Guards against what follows an answer that ends by its status: 101 and 204
// with a body, and an interim answer that nothing follows at once.
TEST(Desynchronisation, WhatFollowsAnAnswerIsNotReadForTheNextRequest)
{
  auto expect = [](char const* name, auto const& odd) {
    SCOPED_TRACE(name);
    std::vector<std::string> got = AfterOdd("plain", odd);
    // The next request may have been sent before the rest came; its answer is
    // lost then, and may not be another one.
    EXPECT_TRUE(got[1] == "200 a" || got[1].substr(0, 3) == "502") << got[1];
    got.erase(got.begin(), got.begin() + 2);
    EXPECT_EQ(got, OthersOwn);
  };
  expect("101 before the answer", [](gsRouteBench& bench, Connection const& to,
                                     gsScriptedRequest const& request) {
    to->Write("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
              "Connection: upgrade\r\n\r\n");
    WriteLater(bench, to, gsWholeAnswer(request, "late"));
  });
  expect("204 with a late body", [](gsRouteBench& bench, Connection const& to,
                                    gsScriptedRequest const& request) {
    std::string answer = gsWholeAnswer(request, "stray", 204);
    std::size_t head = answer.find("\r\n\r\n") + 4;
    to->Write(answer.substr(0, head));
    WriteLater(bench, to, answer.substr(head));
  });
  expect("more than its length", [](gsRouteBench& bench, Connection const& to,
                                    gsScriptedRequest const& request) {
    std::string answer = gsWholeAnswer(request, "answer");
    to->Write(answer);
    WriteLater(bench, to, answer);
  });
  expect("chunks behind a length", [](gsRouteBench&, Connection const& to,
                                      gsScriptedRequest const& request) {
    to->Write(gsWholeAnswer(request, "answer") + gsChunk("more") +
              gsChunk(""));
  });
  expect("a late last chunk twice",
         [](gsRouteBench& bench, Connection const& to,
            gsScriptedRequest const& request) {
           to->Write(gsStreamHead(request) + gsChunk("answer") + gsChunk(""));
           WriteLater(bench, to, gsChunk(""));
         });
}

// Guards against the answer of a caller that has left in the place of the next
// one's, whenever it leaves.
TEST(Desynchronisation, TheAnswerOfACallerThatLeftReachesNobody)
{
  for (char const* route : { "plain", "stream" }) {
    for (int wait : { 0, 1, 5, 10, 20 }) {
      SCOPED_TRACE(std::string(route) + ' ' + std::to_string(wait));
      gsRouteBench bench;
      std::vector<Connection> all;
      bench.Add(
        "u1", [&](Connection const& to, gsScriptedRequest const& request) {
          bool isLeft = request.Id() == "left";
          std::string answer = gsWholeAnswer(request, "of " + request.Id());
          WriteLater(bench, to, answer, gsMilliseconds(isLeft ? 10 : 30));
        });
      gsCallerSends sends;
      sends.Target = "/" + std::string(route) + "/x";
      sends.Id = "left";
      gsCallerViewPtr left = bench.Send(sends);
      bench.RunUntil([&] { return bench.Arrivals() == 1; });
      bench.RunFor(wait / 1000.0);
      bench.Leave(left);
      for (std::string const id : { "a", "b", "c" }) {
        sends.Target = "/plain/x";
        sends.Id = id;
        EXPECT_EQ(bench.SendAndWait(sends)->Body, "of " + id);
      }
    }
  }
}

namespace {

/** A platform whose every byte a test decides, and a copy of its table. */
struct PlatformBench
{
  explicit PlatformBench(gsScriptedUpstream::Script script)
    : Platform(Bench.Loop, "platform",
               [this, script = std::move(script)](
                 Connection const& to, gsScriptedRequest const& request) {
                 ++this->Calls;
                 script(to, request);
               })
  {
    gsTableWatchSettings settings;
    settings.PlatformAddress = this->Platform.Address();
    settings.TableName = "t";
    settings.WatchWait = gsMilliseconds(60);
    settings.ResponseMargin = gsMilliseconds(40);
    settings.InitialRetryDelay = gsMilliseconds(5);
    settings.MaxRetryDelay = gsMilliseconds(10);
    settings.BatchDelay = gsMilliseconds(1);
    this->Watch = std::make_unique<gsTableWatch>(
      Bench.Loop, Bench.Callers, Bench.Adapter, settings, [] {});
    this->Watch->Start();
    this->Watch->Resume(gsLoop::Now());
  }

  std::string Keys() const
  {
    std::string keys;
    for (auto const& [key, row] : this->Watch->LiveRows()) {
      keys += key + ' ';
    }
    return keys;
  }

  gsRouteBench Bench;
  gsScriptedUpstream Platform;
  std::unique_ptr<gsTableWatch> Watch;
  int Calls = 0;
};

/** An answer of the platform with rows of some keys. */
std::string Rows(std::vector<std::string> const& keys, int version)
{
  std::string records;
  for (std::string const& key : keys) {
    records +=
      (records.empty() ? "" : ",") + (R"({"table":"t","part":"","tls_key":")" +
                                      key + R"(","value":"MQ==","ver":1})");
  }
  std::string body = R"({"records":[)" + records +
                     R"(],"more":false,"now_ms":1,"ver":)" +
                     std::to_string(version) + "}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

bool IsFeed(gsScriptedRequest const& request)
{
  return request.Target.find("/api/rows-feed") == 0;
}

} // namespace

// Guards against the changes that a long poll which was given up would have
// brought in the place of the whole table, whose other rows then seem removed.
TEST(Desynchronisation, TheAnswerOfALongPollThatWasGivenUpIsNoTable)
{
  for (int early : { -2, -1, 0, 1, 2 }) {
    SCOPED_TRACE(early);
    std::map<Connection, int> due;
    int crossed = 0;
    gsRouteBench* bench = nullptr;
    PlatformBench host(
      [&](Connection const& to, gsScriptedRequest const& request) {
        crossed += due[to] > 0 ? 1 : 0;
        ++due[to];
        auto answer = [&due, to](std::string const& bytes) {
          --due[to];
          to->Write(bytes);
        };
        if (!IsFeed(request)) {
          answer(Rows({ "a", "b" }, 5));
          return;
        }
        // About when the poll is given up, at 100 ms.
        auto timer = std::make_shared<std::unique_ptr<gsTimer>>();
        *timer = std::make_unique<gsTimer>(bench->Loop, [timer, answer] {
          answer(Rows({ "a" }, 5));
          timer->reset();
        });
        (*timer)->Once(gsMilliseconds(100 + early));
      });
    bench = &host.Bench;
    host.Bench.RunUntil([&] { return host.Watch->IsInitialized(); });
    for (int i = 0; i < 8; ++i) {
      host.Bench.RunFor(0.1);
      host.Watch->Refresh("test");
    }
    host.Bench.RunFor(0.05);
    EXPECT_EQ(host.Keys(), "a b ");
    EXPECT_EQ(crossed, 0);
  }
}

// Guards against a table that is joined from the segments of two processes of
// one host, whose transfers have the same number and size.
TEST(Desynchronisation, SegmentsOfAFormerProcessContinueNoTransfer)
{
  gsBulkReceiver receiver;
  auto begin = [](std::uint64_t incarnation, char fill) {
    gsBulkSender sender;
    gsBulkNumberFrom(sender, incarnation);
    constexpr std::size_t size = 40000;
    gsBulkRequest request;
    request.Receiver = "b";
    gsBulkStart(sender, request,
                std::make_shared<std::string const>(size, fill));
    return sender;
  };
  constexpr gsTime now = gsSeconds(100);
  gsBulkSender former = begin(1'000'000, 'o');
  gsBulkSender current = begin(2'000'000, 'n');
  auto next = [&](gsBulkSender& sender, bool acknowledge) {
    std::vector<gsBulkSegment> segments = gsBulkSegments(sender, now);
    gsBulkReceipt receipt = gsBulkReceive(receiver, "a", segments.at(0), now);
    if (acknowledge && receipt.Acknowledge) {
      gsBulkAcknowledge(sender, "b", segments[0].Transfer,
                        *receipt.Acknowledge);
    }
    return receipt;
  };
  next(former, true);
  // The former process has sent its second segment when it ends.
  std::vector<gsBulkSegment> crossing = gsBulkSegments(former, now);
  next(current, true);
  EXPECT_FALSE(gsBulkReceive(receiver, "a", crossing.at(0), now).Acknowledge);
  next(current, true);
  gsBulkReceipt last = next(current, true);
  ASSERT_TRUE(last.Payload);
  EXPECT_EQ(last.Payload->find('o'), std::string::npos);
}

// Guards against other bytes in the place of a body's rest, where an upstream
// answers before it has read all of the body and reads on later.
TEST(Desynchronisation, TheRestOfABodyIsFollowedByNothingElse)
{
  constexpr std::size_t bodySize = 24U << 20U;
  for (unsigned status : { 200U, BadRequest, Failed, 503U }) {
    for (bool named : { true, false }) {
      SCOPED_TRACE(std::to_string(status) + (named ? "" : " of another"));
      gsRouteBench bench;
      bench.Server->Limit(2 * bodySize, gsSeconds(30));
      auto answer = [](Connection const& to,
                       gsScriptedRequest const& request) {
        if (request.Id() != "large") {
          AnswerOwn(to, request);
        }
      };
      gsScriptedUpstream& upstream = bench.Add("u1", answer);
      upstream.ReadsRequests = false;
      gsCallerSends sends;
      sends.Id = "large";
      sends.Body = std::string(bodySize, 'b');
      gsCallerViewPtr first = bench.Send(sends);
      ASSERT_TRUE(
        bench.RunUntil([&] { return upstream.Connections.size() == 1; }));
      bench.RunFor(0.1);
      upstream.ReadsRequests = true;
      gsScriptedRequest early;
      early.Headers["gradescale-attempt-id"] = named ? "large" : "other";
      upstream.Connections.front()->Write(
        gsWholeAnswer(early, "early", status));
      bench.RunUntil([&] { return first->Done; });
      gsCallerSends next;
      for (std::string const id : { "a", "b" }) {
        next.Id = id;
        next.Body = "body of " + id;
        EXPECT_EQ(bench.SendAndWait(next)->Body, "answer of " + id);
      }
      for (gsScriptedRequest const& request : upstream.Requests) {
        bool isLarge = request.Id() == "large";
        EXPECT_EQ(request.Body.size(),
                  isLarge ? bodySize : std::string("body of a").size());
      }
    }
  }
}

// Guards against a call that never begins, and never ends, because it is
// started while what waited of a paused answer is handed over.
TEST(Desynchronisation, ACallMayStartWhileAPausedAnswerGoesOn)
{
  gsRouteBench bench;
  gsScriptedUpstream& upstream = bench.Add("u1", AnswerOwn);
  bool isPaused = true;
  bool hasEnded = false;
  std::uint64_t first = 0;
  auto make = [&](std::string const& id) {
    gsCall call;
    call.Url = "http://" + upstream.Address() + "/x";
    call.Headers = { { "Gradescale-Attempt-Id", id } };
    call.Reuse = true;
    return call;
  };
  gsCall second = make("second");
  second.OnEnd = [&](gsCallEnd const& end) { hasEnded = end.IsWhole(); };
  gsCall call = make("first");
  call.OnData = [&](std::string_view) {
    if (isPaused) {
      return false;
    }
    bench.Upstreams.Cancel(first);
    bench.Upstreams.Start(second);
    return true;
  };
  first = bench.Upstreams.Start(call);
  ASSERT_TRUE(bench.RunUntil([&] { return bench.Upstreams.Paused() == 1; }));
  isPaused = false;
  bench.Upstreams.Unpause(first);
  EXPECT_TRUE(bench.RunUntil([&] { return hasEnded; }, 1));
}
