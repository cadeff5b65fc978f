/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * What the server does with a request that is coming in while it closes its
 * connections.
 *
 * Seen: 2.6 s after a host was told to stop, a connection was closed without
 * an answer, and 18 ms later its request reached an upstream. The caller had
 * sent the head before the close and the body after it. A connection counted
 * as busy only once a request was there as a whole, so it was closed; the
 * check of the close stood at the head alone, so the request was still passed
 * on. Shown by a request that is sent in two pieces around the close.
 */
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gsHttpServer.h"

namespace {

constexpr gsTime Patience = gsSeconds(5);
constexpr gsTime Glance = gsMilliseconds(2);

/** A caller whose bytes are sent piece by piece. */
class RawCaller
{
public:
  explicit RawCaller(std::uint16_t port)
    : Descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    static_cast<void>(connect(this->Descriptor,
                              reinterpret_cast<sockaddr*>(&address),
                              sizeof(address)));
  }
  ~RawCaller() { close(this->Descriptor); }
  RawCaller(RawCaller const&) = delete;
  RawCaller& operator=(RawCaller const&) = delete;

  void Send(std::string const& bytes) const
  {
    send(this->Descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  /** Reads what has come; the connection's end is noted. */
  void Read()
  {
    char buffer[4096];
    ssize_t count = 0;
    while ((count = recv(this->Descriptor, buffer, sizeof(buffer),
                         MSG_DONTWAIT)) > 0) {
      this->Answer.append(buffer, static_cast<std::size_t>(count));
    }
    this->Ended =
      this->Ended || count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  bool Answered() const
  {
    return this->Answer.find("HTTP/1.1 200") == 0 &&
           this->Answer.find("\r\n\r\nanswer") != std::string::npos;
  }

  std::string Answer;
  bool Ended = false;

private:
  int Descriptor;
};

/** A server whose handler answers each request after a short while. */
class HttpServer : public testing::Test
{
protected:
  void Serve(gsTime receiveTimeout)
  {
    gsHttpServerSettings settings;
    settings.Address = "127.0.0.1:0";
    settings.ReceiveTimeout = receiveTimeout;
    this->Server =
      std::move(gsHttpServer::Start(
                  this->Loop, settings,
                  [this](std::shared_ptr<gsHttpExchange> const& exchange) {
                    this->Handled.push_back(exchange);
                  })
                  .value());
  }

  void RunFor(gsTime time)
  {
    gsTimer end(this->Loop, [this] { this->Loop.Stop(); });
    end.Once(time);
    this->Loop.Run();
  }

  template<typename Predicate>
  bool RunUntil(Predicate const& holds)
  {
    for (gsTime end = gsLoop::Now() + Patience; gsLoop::Now() < end;) {
      if (holds()) {
        return true;
      }
      this->RunFor(Glance);
    }
    return holds();
  }

  /** What a planned stop does once callers are sent elsewhere. */
  void CloseAsAtAStop() const
  {
    this->Server->CloseAfterAnswers(true);
    this->Server->Quiesce();
    this->Server->CloseIdle();
  }

  /** Methods and targets of what was handled, for messages. */
  std::string Lines() const
  {
    std::string lines;
    for (auto const& exchange : this->Handled) {
      lines += exchange->Method + ' ' + exchange->Target + " from " +
               exchange->Peer + '\n';
    }
    return lines;
  }

  void AnswerAll()
  {
    for (auto const& exchange : this->Handled) {
      exchange->Respond(200, {}, "answer");
    }
  }

  gsLoop Loop;
  std::unique_ptr<gsHttpServer> Server;
  std::vector<std::shared_ptr<gsHttpExchange>> Handled;
};

std::string const Head = "POST /x HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: 10\r\n\r\n";
std::string const Request = Head + "0123456789";

/** What a head of a request is filled up with. */
enum class Filling
{
  OneHeader,
  ShortHeaders,
  Arguments,
  Cookies
};

/** A request whose head has a size in bytes, or a little less. */
std::string RequestOfSize(Filling filling, std::size_t size)
{
  std::string target = "/x";
  std::string headers = "Host: h\r\n";
  std::string const method = "GET ";
  std::string const version = " HTTP/1.1\r\n";
  std::string const end = "\r\n";
  std::size_t fixed = method.size() + target.size() + version.size() +
                      headers.size() + end.size();
  std::string fill;
  auto fillWith = [&fill, size, fixed](std::string const& unit,
                                       std::size_t more) {
    while (fixed + more + fill.size() + unit.size() <= size) {
      fill += unit;
    }
  };
  switch (filling) {
    case Filling::OneHeader:
      fillWith("v", 5);
      headers += "X: " + fill + end;
      break;
    case Filling::ShortHeaders:
      fillWith("X: 0123456789012345678901234567890123456789\r\n", 0);
      headers += fill;
      break;
    case Filling::Arguments:
      fillWith("&a=" + std::string(100, '0'), 1);
      target += "?" + fill;
      break;
    case Filling::Cookies:
      fillWith("c=0123456789012345678901234567890123456789; ", 12);
      headers += "Cookie: " + fill + end;
      break;
  }
  return method + target + version + headers + end;
}

} // namespace

TEST_F(HttpServer, ARequestThatIsComingInAtAStopIsAnswered)
{
  for (std::size_t sent : { Head.size(), Head.size() + 5 }) {
    SCOPED_TRACE(sent);
    this->Handled.clear();
    this->Serve(gsSeconds(30));
    RawCaller caller(this->Server->Port());
    caller.Send(Request.substr(0, sent));
    ASSERT_TRUE(
      this->RunUntil([this] { return this->Server->OpenExchanges() == 1; }));
    this->CloseAsAtAStop();
    caller.Send(Request.substr(sent));
    ASSERT_TRUE(this->RunUntil([&] {
      this->AnswerAll();
      caller.Read();
      return caller.Ended;
    }));
    EXPECT_EQ(this->Handled.size(), 1U);
    EXPECT_TRUE(caller.Answered()) << caller.Answer;
  }
}

// The library has read these bytes, and tells of a request once its first
// line is there.
TEST_F(HttpServer, ARequestWhoseFirstLineIsComingInAtAStopIsAnswered)
{
  for (bool isFirst : { true, false }) {
    SCOPED_TRACE(isFirst);
    this->Handled.clear();
    this->Serve(gsSeconds(30));
    RawCaller caller(this->Server->Port());
    if (!isFirst) {
      caller.Send(Request);
      ASSERT_TRUE(this->RunUntil([&] {
        this->AnswerAll();
        caller.Read();
        return caller.Answered();
      }));
      this->Handled.clear();
      caller.Answer.clear();
    }
    constexpr std::size_t sent = 6;
    caller.Send(Request.substr(0, sent));
    this->RunFor(gsMilliseconds(50));
    this->CloseAsAtAStop();
    caller.Send(Request.substr(sent));
    ASSERT_TRUE(this->RunUntil([&] {
      this->AnswerAll();
      caller.Read();
      return caller.Ended;
    }));
    EXPECT_EQ(this->Handled.size(), 1U);
    EXPECT_TRUE(caller.Answered()) << caller.Answer;
  }
}

TEST_F(HttpServer, ARequestSentBeforeTheCloseIsReadAndAnswered)
{
  this->Serve(gsSeconds(30));
  RawCaller caller(this->Server->Port());
  caller.Send(Request);
  ASSERT_TRUE(this->RunUntil([this] { return this->Handled.size() == 1; }));
  this->AnswerAll();
  ASSERT_TRUE(this->RunUntil([&] {
    caller.Read();
    return caller.Answered();
  }));
  caller.Answer.clear();
  caller.Send(Request); // The loop does not run: nobody has read it.
  this->CloseAsAtAStop();
  ASSERT_TRUE(this->RunUntil([&] {
    this->AnswerAll();
    caller.Read();
    return caller.Ended;
  }));
  EXPECT_EQ(this->Handled.size(), 2U);
  EXPECT_TRUE(caller.Answered()) << caller.Answer;
}

TEST_F(HttpServer, ACallerThatIsStillToBeAcceptedAtAStopIsAnswered)
{
  constexpr std::size_t callers = 40;
  this->Serve(gsSeconds(30));
  std::vector<std::unique_ptr<RawCaller>> waiting;
  for (std::size_t i = 0; i < callers; ++i) {
    waiting.push_back(std::make_unique<RawCaller>(this->Server->Port()));
    waiting.back()->Send(Request);
  }
  this->CloseAsAtAStop();
  std::size_t answered = 0;
  this->RunUntil([&] {
    this->AnswerAll();
    answered = 0;
    for (auto const& caller : waiting) {
      caller->Read();
      answered += caller->Answered() ? 1 : 0;
    }
    return answered == callers;
  });
  EXPECT_EQ(answered, callers);
}

TEST_F(HttpServer, WhatWasCutForItsTimeIsNotPassedOn)
{
  constexpr gsTime receiveTimeout = gsMilliseconds(100);
  this->Serve(receiveTimeout);
  RawCaller caller(this->Server->Port());
  caller.Send(Head);
  ASSERT_TRUE(
    this->RunUntil([this] { return this->Server->OpenExchanges() == 1; }));
  // While the loop stands still, the time passes and the rest arrives.
  usleep(1'200'000);
  caller.Send("0123456789");
  ASSERT_TRUE(this->RunUntil([&] {
    this->AnswerAll();
    caller.Read();
    return caller.Ended || caller.Answered();
  }));
  EXPECT_EQ(this->Handled.size(), caller.Answered() ? 1U : 0U)
    << this->Lines();
}

TEST_F(HttpServer, AnIdleCallerIsToldOfAStopAtOnce)
{
  this->Serve(gsSeconds(30));
  RawCaller caller(this->Server->Port());
  caller.Send(Request);
  ASSERT_TRUE(this->RunUntil([this] { return this->Handled.size() == 1; }));
  this->AnswerAll();
  ASSERT_TRUE(this->RunUntil([&] {
    caller.Read();
    return caller.Answered();
  }));
  this->CloseAsAtAStop();
  EXPECT_TRUE(this->RunUntil([&] {
    caller.Read();
    return caller.Ended;
  }));
  // What crosses the close is not passed on.
  caller.Send(Request);
  this->RunFor(gsMilliseconds(50));
  EXPECT_EQ(this->Handled.size(), 1U);
}

// Guards against a server that closes its connections while callers send on
// them: a request that crosses the close has no answer.
TEST_F(HttpServer, IsNotQuietBeforeRequestsHaveCeasedForATime)
{
  this->Serve(gsSeconds(30));
  RawCaller caller(this->Server->Port());
  for (int i = 0; i < 3; ++i) {
    this->Handled.clear();
    caller.Answer.clear();
    caller.Send(Request);
    ASSERT_TRUE(this->RunUntil([this] { return this->Handled.size() == 1; }));
    this->RunFor(gsMilliseconds(250));
    EXPECT_FALSE(this->Server->IsQuiet()); // Its request is open.
    this->AnswerAll();
    ASSERT_TRUE(this->RunUntil([&] {
      caller.Read();
      return caller.Answered();
    }));
    EXPECT_FALSE(this->Server->IsQuiet());
  }
  EXPECT_TRUE(this->RunUntil([this] { return this->Server->IsQuiet(); }));
}

// Guards against a request that was read together with the one before it and
// is dropped when the connection closes after that one's answer, which had
// begun before the stop and has not told the caller to close.
TEST_F(HttpServer, APipelinedRequestIsAnsweredAtAStop)
{
  for (std::size_t sent : { Head.size(), Request.size() }) {
    SCOPED_TRACE(sent);
    this->Handled.clear();
    this->Serve(gsSeconds(30));
    RawCaller caller(this->Server->Port());
    caller.Send(Request + Request.substr(0, sent));
    ASSERT_TRUE(this->RunUntil([this] { return this->Handled.size() == 1; }));
    this->Handled[0]->BeginStream(200, {});
    this->Handled[0]->Write("first");
    this->RunFor(gsMilliseconds(20));
    this->CloseAsAtAStop();
    this->Handled[0]->End();
    this->RunFor(gsMilliseconds(20));
    caller.Send(Request.substr(sent));
    EXPECT_TRUE(this->RunUntil([&] {
      this->AnswerAll();
      caller.Read();
      return caller.Ended;
    }));
    EXPECT_EQ(this->Handled.size(), 2U);
    EXPECT_NE(caller.Answer.find("answer"), std::string::npos)
      << caller.Answer;
  }
}

// Guards against a caller that cannot tell whether its request has run, as its
// connection was closed without an answer before all of it had come in.
TEST_F(HttpServer, ARequestThatIsTooLongInComingIsToldThatItHasNotRun)
{
  constexpr gsTime receiveTimeout = gsMilliseconds(100);
  for (std::size_t sent : { std::size_t(6), Head.size(), Head.size() + 5 }) {
    SCOPED_TRACE(sent);
    this->Handled.clear();
    this->Serve(receiveTimeout);
    RawCaller caller(this->Server->Port());
    caller.Send(Request.substr(0, sent));
    ASSERT_TRUE(this->RunUntil([&] {
      caller.Read();
      return caller.Ended;
    }));
    caller.Send(Request.substr(sent));
    this->RunFor(gsMilliseconds(20));
    EXPECT_EQ(caller.Answer.find("HTTP/1.1 408"), 0U) << caller.Answer;
    EXPECT_NE(caller.Answer.find("incomplete_request"), std::string::npos);
    EXPECT_EQ(this->Handled.size(), 0U) << this->Lines();
  }
}

// Guards against a caller whose connection is closed without an answer, since
// the heads of its request and of the answer exceed the connection's memory.
TEST_F(HttpServer, AnAnswerIsSentIfThereIsRoomForItsHead)
{
  this->Serve(gsSeconds(5));
  constexpr std::size_t largest = 16U << 10U;
  constexpr std::size_t step = 509;
  for (Filling filling : { Filling::OneHeader, Filling::ShortHeaders,
                           Filling::Arguments, Filling::Cookies }) {
    for (std::size_t size = 100; size <= largest; size += step) {
      for (bool isStream : { false, true }) {
        SCOPED_TRACE(std::to_string(static_cast<int>(filling)) + ", " +
                     std::to_string(size) + (isStream ? ", stream" : ""));
        RawCaller caller(this->Server->Port());
        this->Handled.clear();
        caller.Send(RequestOfSize(filling, size));
        ASSERT_TRUE(this->RunUntil([&] {
          caller.Read();
          return !this->Handled.empty() || !caller.Answer.empty();
        }));
        if (this->Handled.empty()) {
          EXPECT_EQ(caller.Answer.substr(0, 12), "HTTP/1.1 431");
          EXPECT_NE(filling, Filling::OneHeader);
          EXPECT_GT(size, largest / 2);
          continue;
        }
        gsHttpExchange& exchange = *this->Handled.front();
        std::string const name = "X-Fill";
        std::size_t const rest = gsAnswerHeadBytes({ { name, "" } });
        std::size_t const room = exchange.RoomForHead();
        ASSERT_GE(room, 4U << 10U);
        gsHeaders const headers{ { name, std::string(room - rest, 'v') } };
        ASSERT_EQ(gsAnswerHeadBytes(headers), room);
        if (isStream) {
          exchange.BeginStream(200, headers);
          exchange.Write("answer");
          exchange.End();
        } else {
          exchange.Respond(200, headers, "answer");
        }
        EXPECT_TRUE(this->RunUntil([&] {
          caller.Read();
          return caller.Answer.find("answer") != std::string::npos ||
                 caller.Ended;
        }));
        EXPECT_NE(caller.Answer.find(headers.front().second),
                  std::string::npos);
        EXPECT_NE(caller.Answer.find("answer"), std::string::npos);
      }
    }
  }
}

// Guards against heads within the limit that are rejected, and against larger
// ones that are passed on.
TEST_F(HttpServer, HeadOfARequestIsRejectedAboveItsLimitOnly)
{
  this->Serve(gsSeconds(5));
  constexpr std::size_t limit = 16U << 10U;
  for (std::size_t size : { limit - 1, limit, limit + 1, limit + 4096 }) {
    SCOPED_TRACE(size);
    this->Handled.clear();
    RawCaller caller(this->Server->Port());
    caller.Send(RequestOfSize(Filling::OneHeader, size));
    EXPECT_TRUE(this->RunUntil([&] {
      caller.Read();
      return !this->Handled.empty() || caller.Ended;
    }));
    EXPECT_EQ(this->Handled.size(), size <= limit ? 1U : 0U);
    if (size > limit) {
      EXPECT_EQ(caller.Answer.substr(0, 12), "HTTP/1.1 431");
    }
    this->AnswerAll();
  }
}
