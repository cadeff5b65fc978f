/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Answers that are unusual and sound. They are passed on, and those that state
 * their end leave a connection that is used again.
 */
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gsRouteBench.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;

std::string const OkLine = "HTTP/1.1 200 OK\r\n";
std::string const LengthLine = "Content-Length: 3\r\n";

/** A head with the request's own id and signature. */
std::string Head(gsScriptedRequest const& request,
                 std::string const& statusLine, std::string const& lines)
{
  return statusLine + "Gradescale-Attempt-Id: " + request.Id() +
         "\r\nGradescale-Response-Signature: sig\r\n" + lines + "\r\n";
}

struct Sound
{
  std::string Name;
  std::string StatusLine;
  std::string Lines;
};

std::vector<Sound> SoundHeads()
{
  std::string cookies;
  constexpr int cookieCount = 50;
  for (int i = 0; i < cookieCount; ++i) {
    cookies += "Set-Cookie: c" + std::to_string(i) + "=a b; Path=/\r\n";
  }
  constexpr std::size_t longValue = 8000;
  return {
    { "no reason", "HTTP/1.1 200 \r\n", "" },
    { "no reason and no blank", "HTTP/1.1 200\r\n", "" },
    { "a long reason", "HTTP/1.1 200 " + std::string(300, 'r') + "\r\n", "" },
    { "a reason with marks", "HTTP/1.1 200 It's: fine, 500 (not)\r\n", "" },
    { "a reason with obs-text", "HTTP/1.1 200 caf\xc3\xa9 \xff\r\n", "" },
    { "a tab in the reason", "HTTP/1.1 200 a\tb\r\n", "" },
    { "obs-text in a value", OkLine, "X-A: caf\xe9 \x80\xff\r\n" },
    { "an empty value", OkLine, "X-A:\r\nX-B: \r\nX-C:\t\r\n" },
    { "a tab in a value", OkLine, "X-A: a\tb\r\n" },
    { "blanks around a value", OkLine, "X-A: \t a b \t\r\n" },
    { "no blank after the colon", OkLine, "X-A:b\r\n" },
    { "colons in a value", OkLine, "X-A: http://a:1/b: c\r\n" },
    { "all marks in a name", OkLine, "X!#$%&'*+-.^_`|~9: a\r\n" },
    { "a name that begins as a status line", OkLine, "HTTP2-Settings: a\r\n" },
    { "names in capitals", OkLine, "CONTENT-TYPE: text/plain\r\n" },
    { "many cookies", OkLine, cookies },
    { "a long value", OkLine, "X-A: " + std::string(longValue, 'v') + "\r\n" },
    { "a repeated field", OkLine, "Vary: a\r\nVary: a\r\n" },
    { "an interim answer before it", "HTTP/1.1 100 Continue\r\n\r\n" + OkLine,
      "" },
    { "two interim answers with fields before it",
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
      "HTTP/1.1 102 Processing\r\n\r\n" +
        OkLine,
      "" },
  };
}

/** Sends two requests, one after the other, to an upstream that answers both
 * alike. \return Connections opened to it; zero if an answer was lost. */
std::uint64_t ConnectionsForTwo(
  std::string const& method, std::string const& route,
  std::function<void(gsRouteBench&, Connection const&,
                     gsScriptedRequest const&)> const& answer,
  std::string const& body, unsigned status = 200)
{
  gsRouteBench bench;
  bench.Add("u1", [&](Connection const& to, gsScriptedRequest const& request) {
    answer(bench, to, request);
  });
  for (std::string const id : { "one", "two" }) {
    gsCallerSends sends;
    sends.Method = method;
    sends.Body = method == "POST" ? "hello" : "";
    sends.Target = "/" + route + "/x";
    sends.Id = id;
    gsCallerViewPtr view = bench.SendAndWait(sends);
    bool isOwn = view->Status == status && view->Body == body &&
                 view->Header("gradescale-attempt-id") == id;
    if (!isOwn) {
      ADD_FAILURE() << view->Status << ' ' << view->Body.substr(0, 200);
      return 0;
    }
    // The connection is idle, and checked for more, before the next call.
    bench.RunFor(0.005);
  }
  return bench.Upstreams.Opened();
}

void WriteLater(gsRouteBench& bench, Connection const& to,
                std::string const& bytes, int millis)
{
  auto timer = std::make_shared<std::unique_ptr<gsTimer>>();
  *timer = std::make_unique<gsTimer>(bench.Loop, [timer, to, bytes] {
    to->Write(bytes);
    timer->reset();
  });
  (*timer)->Once(gsMilliseconds(millis));
}

} // namespace

// Guards against sound answers that are refused as no answer in the protocol,
// and against new connections after them.
TEST(SoundAnswers, UnusualHeadsArePassedOnAndKeepTheirConnection)
{
  for (Sound const& each : SoundHeads()) {
    SCOPED_TRACE(each.Name);
    EXPECT_EQ(ConnectionsForTwo(
                "POST", "plain",
                [&](gsRouteBench&, Connection const& to,
                    gsScriptedRequest const& request) {
                  to->Write(
                    Head(request, each.StatusLine, each.Lines + LengthLine) +
                    "own");
                },
                "own"),
              1U);
  }
}

// Guards against a head that is refused where it is cut into several reads.
TEST(SoundAnswers, AHeadMayArriveInPieces)
{
  std::string const lines = "X-A: HTT\r\nX-B: b\r\n" + LengthLine;
  gsScriptedRequest sample;
  sample.Headers["gradescale-attempt-id"] = "one";
  std::size_t size = Head(sample, OkLine, lines).size();
  for (std::size_t cut = 1; cut < size; cut += 3) {
    SCOPED_TRACE(cut);
    EXPECT_EQ(ConnectionsForTwo(
                "POST", "plain",
                [&](gsRouteBench& bench, Connection const& to,
                    gsScriptedRequest const& request) {
                  std::string whole = Head(request, OkLine, lines) + "own";
                  to->Write(whole.substr(0, cut));
                  WriteLater(bench, to, whole.substr(cut), 3);
                },
                "own"),
              1U);
  }
}

// Guards against new connections after answers that state their end, however
// their bytes arrive.
TEST(SoundAnswers, AnAnswerThatStatesItsEndKeepsItsConnection)
{
  std::string const chunked = "Transfer-Encoding: chunked\r\n";
  auto expect = [](char const* name, std::string const& method,
                   std::string const& body, unsigned status,
                   auto const& answer) {
    SCOPED_TRACE(name);
    EXPECT_EQ(ConnectionsForTwo(method, "plain", answer, body, status), 1U);
  };
  auto write = [](std::string const& statusLine, std::string const& lines,
                  std::string const& rest) {
    return [=](gsRouteBench&, Connection const& to,
               gsScriptedRequest const& request) {
      to->Write(Head(request, statusLine, lines) + rest);
    };
  };
  expect("no body", "POST", "", 200,
         write(OkLine, "Content-Length: 0\r\n", ""));
  expect("a failure", "POST", "own", 500,
         write("HTTP/1.1 500 No\r\n", LengthLine, "own"));
  expect("204", "POST", "", 204, write("HTTP/1.1 204 None\r\n", "", ""));
  expect("204 with a length", "POST", "", 204,
         write("HTTP/1.1 204 None\r\n", "Content-Length: 0\r\n", ""));
  expect("304 with the length of another answer", "GET", "", 304,
         write("HTTP/1.1 304 Same\r\n", LengthLine, ""));
  expect("HEAD", "HEAD", "", 200, write(OkLine, LengthLine, ""));
  expect("chunks", "POST", "own", 200,
         write(OkLine, chunked, gsChunk("own") + gsChunk("")));
  expect("chunks by capitals", "POST", "own", 200,
         write(OkLine, "Transfer-Encoding: Chunked\r\n",
               gsChunk("own") + gsChunk("")));
  expect("chunk extensions", "POST", "own", 200,
         write(OkLine, chunked, "3;a=b;c=\"d e\"\r\nown\r\n0;last\r\n\r\n"));
  expect("leading zeros of a chunk", "POST", "own", 200,
         write(OkLine, chunked, "0003\r\nown\r\n000\r\n\r\n"));
  expect("trailers", "POST", "own", 200,
         write(OkLine, chunked + "Trailer: X-A\r\n",
               "3\r\nown\r\n0\r\nX-A: b\r\nX-B:\r\n\r\n"));
  expect("chunks that arrive byte by byte", "POST", "own", 200,
         [&](gsRouteBench& bench, Connection const& to,
             gsScriptedRequest const& request) {
           to->Write(Head(request, OkLine, chunked));
           int at = 0;
           for (char byte : std::string("3\r\nown\r\n0\r\n\r\n")) {
             WriteLater(bench, to, std::string(1, byte), 2 * ++at);
           }
         });
  std::string const large(1U << 20U, 'x');
  expect("a large body", "POST", large, 200,
         write(OkLine,
               "Content-Length: " + std::to_string(large.size()) + "\r\n",
               large));
  expect("HTTP/1.0 that keeps its connection", "POST", "own", 200,
         write("HTTP/1.0 200 OK\r\n",
               "Connection: keep-alive\r\n" + LengthLine, "own"));
}

// Guards against new connections after streams, also where their callers read
// slowly.
TEST(SoundAnswers, AWholeStreamKeepsItsConnection)
{
  std::string events;
  std::string chunks;
  constexpr int count = 400;
  for (int i = 1; i <= count; ++i) {
    std::string event =
      gsEvent(static_cast<std::uint64_t>(i), std::string(2000, 'e'));
    events += event;
    chunks += gsChunk(event);
  }
  for (char const* route : { "stream", "resume" }) {
    SCOPED_TRACE(route);
    EXPECT_EQ(ConnectionsForTwo(
                "POST", route,
                [&](gsRouteBench&, Connection const& to,
                    gsScriptedRequest const& request) {
                  to->Write(gsStreamHead(request) + chunks + gsChunk(""));
                },
                events),
              1U);
  }
}

// Guards against new connections after requests whose body is sent in several
// parts.
TEST(SoundAnswers, ARequestOfAnySizeKeepsItsConnection)
{
  for (std::size_t size : { 0U, 1U, 16000U, 70000U, 300000U, 1000000U }) {
    SCOPED_TRACE(size);
    gsRouteBench bench;
    gsScriptedUpstream& upstream = bench.Add(
      "u1", [](Connection const& to, gsScriptedRequest const& request) {
        to->Write(gsWholeAnswer(request, "own"));
      });
    for (std::string const id : { "one", "two", "three" }) {
      gsCallerSends sends;
      sends.Id = id;
      sends.Body = std::string(size, 'b');
      EXPECT_EQ(bench.SendAndWait(sends)->Body, "own");
      EXPECT_EQ(upstream.Requests.back().Body.size(), size);
    }
    EXPECT_EQ(bench.Upstreams.Opened(), 1U);
  }
}

// Guards against new connections between hosts, whose answers are those of
// this project's own server.
TEST(SoundAnswers, AnAnswerOfTheOwnServerKeepsItsConnection)
{
  gsRouteBench bench;
  bench.Add("u1", [](Connection const& to, gsScriptedRequest const& request) {
    bool isStream = request.Target.find("/plain/") != 0;
    unsigned status = request.Header("x-status").empty() ? 200 : 204;
    to->Write(isStream
                ? gsStreamHead(request) + gsChunk(gsEvent(1, "a")) +
                    gsChunk(gsEvent(2, std::string(30000, 'b'))) + gsChunk("")
                : gsWholeAnswer(request, status == 204 ? "" : "own", status));
  });
  int count = 0;
  auto send = [&](std::string const& method, std::string const& target,
                  gsHeaders const& more, unsigned status) {
    gsCallerSends sends;
    sends.Method = method;
    sends.Body = method == "POST" ? "hello" : "";
    sends.Target = target;
    sends.More = more;
    sends.Id = "id-" + std::to_string(++count);
    sends.Keep = true;
    EXPECT_EQ(bench.SendAndWait(sends)->Status, status) << method << target;
  };
  for (int round = 0; round < 2; ++round) {
    send("POST", "/plain/x", {}, 200);
    send("POST", "/stream/x", {}, 200);
    send("GET", "/resume/x", {}, 200);
    send("HEAD", "/plain/x", {}, 200);
    send("POST", "/nowhere/x", {}, 404);
    send("POST", "/plain/x", { { "X-Status", "204" } }, 204);
  }
  EXPECT_EQ(bench.Callers.Opened(), 1U);
}

// Guards against connections that are closed though they are clean, where many
// are in use at once.
TEST(SoundAnswers, ConnectionsThatWereUsedAtOnceAreUsedAgain)
{
  gsRouteBench bench;
  bench.Add("u1", [&](Connection const& to, gsScriptedRequest const& request) {
    WriteLater(bench, to, gsWholeAnswer(request, "own"), 5);
  });
  constexpr int atOnce = 20;
  int served = 0;
  for (int round = 0; round < 5; ++round) {
    std::vector<gsCallerViewPtr> views;
    for (int i = 0; i < atOnce; ++i) {
      gsCallerSends sends;
      sends.Target = "/patient/x";
      sends.Id = std::to_string(round) + '-' + std::to_string(i);
      views.push_back(bench.Send(sends));
    }
    for (gsCallerViewPtr const& view : views) {
      bench.RunUntil([&] { return view->Done; });
      served += view->Status == 200 ? 1 : 0;
    }
  }
  EXPECT_GT(served, 0);
  EXPECT_LE(bench.Upstreams.Opened(), static_cast<std::uint64_t>(atOnce));
}
