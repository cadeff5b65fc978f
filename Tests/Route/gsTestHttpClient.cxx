/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Which connections of the HTTP client carry another call, and what a call
 * takes for its answer, whatever else an upstream writes and when.
 */
#include <functional>
#include <memory>
#include <ostream>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gsHttpClient.h"
#include "gsLoop.h"
#include "gsScriptedUpstream.h"

namespace {

using Connection = gsScriptedUpstream::ConnectionPtr;

constexpr unsigned Failed = 500;
constexpr unsigned NoContent = 204;
constexpr unsigned Busy = 503;
constexpr gsTime Patience = gsSeconds(5);

/** What states the end of an answer. */
enum class Framing
{
  Length,
  Chunks,
  Trailers, ///< Chunks, and a header line after them.
  Empty,    ///< A length of zero.
  Status,   ///< A status that has no body.
  Head,     ///< The method HEAD.
  Close
};

Framing const Kept[] = { Framing::Length, Framing::Chunks, Framing::Trailers,
                         Framing::Empty,  Framing::Status, Framing::Head };

char const* Name(Framing framing)
{
  char const* const names[] = { "length", "chunks", "trailers", "empty",
                                "status", "head",   "close" };
  return names[static_cast<int>(framing)];
}

/** An answer as it is meant. */
struct Answer
{
  Framing States = Framing::Length;
  unsigned Status = 200;
  std::string Id; ///< Of the request that it answers.
  std::string Body;
  std::string Signature = "signed"; ///< Tells it from all others.
};

Answer MakeAnswer(Framing framing, std::string id, std::string body,
                  unsigned status = 200)
{
  bool isEmpty = framing == Framing::Status || framing == Framing::Empty ||
                 framing == Framing::Head;
  return { framing, framing == Framing::Status ? NoContent : status,
           std::move(id), isEmpty ? "" : std::move(body) };
}

std::string FramingHeader(Answer const& answer)
{
  constexpr std::size_t headLength = 7; ///< Of a body that is not sent.
  switch (answer.States) {
    case Framing::Chunks:
    case Framing::Trailers:
      return "Transfer-Encoding: chunked\r\n";
    case Framing::Head:
      return "Content-Length: " + std::to_string(headLength) + "\r\n";
    case Framing::Status:
    case Framing::Close:
      return {};
    case Framing::Length:
    case Framing::Empty:
      break;
  }
  return "Content-Length: " + std::to_string(answer.Body.size()) + "\r\n";
}

/** The bytes of an answer. */
std::string Written(Answer const& answer)
{
  std::string bytes =
    "HTTP/1.1 " + std::to_string(answer.Status) +
    " Word\r\nGradescale-Attempt-Id: " + answer.Id +
    "\r\nGradescale-Response-Signature: " + answer.Signature + "\r\n" +
    FramingHeader(answer) + "\r\n";
  bool inChunks =
    answer.States == Framing::Chunks || answer.States == Framing::Trailers;
  if (!inChunks) {
    return bytes + answer.Body;
  }
  std::size_t half = answer.Body.size() / 2;
  bytes += gsChunk(answer.Body.substr(0, half));
  bytes += gsChunk(answer.Body.substr(half)) + "0\r\n";
  return bytes +
         (answer.States == Framing::Trailers ? "After: all\r\n\r\n" : "\r\n");
}

/** What a caller got. */
struct View
{
  bool Done = false;
  bool IsForeign = false; ///< Ended, for the id that the answer names.
  unsigned Status = 0;
  std::string Signature;
  std::string Body;
  gsCallEnd End;
  std::uint64_t Call = 0;
  gsCallConnection Connection; ///< That it was sent on.
  int Asked = 0;               ///< How often it was asked before the send.

  /** Whether it got a whole answer that it took for its own. */
  bool HasAnswer() const
  {
    return this->Done && !this->IsForeign && this->End.IsWhole();
  }
  bool Got(Answer const& answer) const
  {
    return this->HasAnswer() && this->Status == answer.Status &&
           this->Signature == answer.Signature && this->Body == answer.Body;
  }
};

using ViewPtr = std::shared_ptr<View>;

/** A client and a server whose every byte the test decides. */
class ClientBench
{
public:
  explicit ClientBench(gsScriptedUpstream::Script script = {})
    : Client(this->Loop)
    , Server(this->Loop, "u1", std::move(script))
  {
  }

  gsCall MakeCall(std::string const& id, std::string method = "GET") const
  {
    gsCall call;
    call.Method = std::move(method);
    call.Url = "http://" + this->Server.Address() + "/x";
    call.Headers.emplace_back("Gradescale-Attempt-Id", id);
    call.Reuse = true;
    call.BareHeaders = true;
    return call;
  }

  /** Starts a call that ends when its answer names another id. */
  ViewPtr Start(std::string const& id, gsCall call)
  {
    auto view = std::make_shared<View>();
    auto before = std::move(call.BeforeSend);
    call.BeforeSend = [this, view, before] {
      ++view->Asked;
      view->Connection = this->Client.ConnectionOf(view->Call);
      return !before || before();
    };
    auto onHeaders = std::move(call.OnHeaders);
    call.OnHeaders = [this, view, id, onHeaders](unsigned status,
                                                 gsHeaders const& headers) {
      view->Status = status;
      view->Signature = gsFindHeader(headers, "gradescale-response-signature");
      if (gsFindHeader(headers, "gradescale-attempt-id") != id) {
        view->IsForeign = true;
        this->Cancel(view);
      } else if (onHeaders) {
        onHeaders(status, headers);
      }
    };
    auto onData = std::move(call.OnData);
    call.OnData = [view, onData](std::string_view bytes) {
      view->Body.append(bytes);
      return !onData || onData(bytes);
    };
    call.OnEnd = [this, view](gsCallEnd const& end) {
      view->End = end;
      this->Finish(view);
    };
    view->Call = this->Client.Start(std::move(call));
    return view;
  }

  ViewPtr Start(std::string const& id, std::string method = "GET")
  {
    return this->Start(id, this->MakeCall(id, std::move(method)));
  }

  ViewPtr Run(std::string const& id, gsCall call)
  {
    ViewPtr view = this->Start(id, std::move(call));
    this->RunUntilDone(view);
    return view;
  }

  ViewPtr Run(std::string const& id, std::string method = "GET")
  {
    return this->Run(id, this->MakeCall(id, std::move(method)));
  }

  /** Runs a call that an answer of the framing may answer. */
  ViewPtr RunFor(std::string const& id, Framing framing)
  {
    return this->Run(id, framing == Framing::Head ? "HEAD" : "GET");
  }

  void Cancel(ViewPtr const& view)
  {
    this->Client.Cancel(view->Call);
    this->Finish(view);
  }

  void RunUntilDone(ViewPtr const& view)
  {
    this->RunUntil([&] { return view->Done; });
  }

  /** Runs the loop until it holds, which is looked at when a call ends and in
   * short intervals. */
  void RunUntil(std::function<bool()> const& holds)
  {
    constexpr gsTime interval = gsMilliseconds(1);
    gsTimer look(this->Loop, [this] { this->Loop.Stop(); });
    look.Every(interval);
    gsTime end = gsLoop::Now() + Patience;
    while (!holds() && gsLoop::Now() < end) {
      this->Loop.Run();
    }
    EXPECT_TRUE(holds());
  }

  gsLoop Loop;
  gsHttpClient Client;
  gsScriptedUpstream Server;

private:
  void Finish(ViewPtr const& view)
  {
    view->Done = true;
    this->Loop.Stop();
  }
};

/** Answers each request with an answer of the framing. */
gsScriptedUpstream::Script Answering(Framing framing)
{
  return [framing](Connection const& to, gsScriptedRequest const& request) {
    to->Write(Written(MakeAnswer(framing, request.Id(), "own")));
  };
}

/** Writes bytes one by one. */
class SlowWriter
{
public:
  SlowWriter(gsLoop& loop, Connection to, std::string bytes)
    : To(std::move(to))
    , Bytes(std::move(bytes))
    , Timer(loop, [this] { this->WriteNext(); })
  {
    constexpr gsTime pause = gsMilliseconds(1);
    this->Timer.Every(pause);
  }

private:
  void WriteNext()
  {
    this->To->Write(this->Bytes.substr(this->Next++, 1));
    if (this->Next == this->Bytes.size()) {
      this->Timer.Stop();
    }
  }

  Connection To;
  std::string Bytes;
  std::size_t Next = 0;
  gsTimer Timer;
};

/** Writes on each connection before it reads. */
class EagerServer
{
public:
  explicit EagerServer(std::string bytes)
    : Bytes(std::move(bytes))
    , Listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(this->Listener, generic, length) != 0 ||
        listen(this->Listener, SOMAXCONN) != 0) {
      throw std::runtime_error("no free address");
    }
    getsockname(this->Listener, generic, &length);
    this->Port = ntohs(address.sin_port);
  }
  ~EagerServer()
  {
    close(this->Accepted);
    close(this->Listener);
  }
  EagerServer(EagerServer const&) = delete;
  EagerServer& operator=(EagerServer const&) = delete;

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(this->Port);
  }
  void AcceptAndWrite()
  {
    int accepted = accept4(this->Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted >= 0) {
      this->Accepted = accepted;
      send(accepted, this->Bytes.data(), this->Bytes.size(), MSG_NOSIGNAL);
    }
  }

private:
  std::string Bytes;
  int Listener;
  int Accepted = -1;
  int Port = 0;
};

/** Where a caller cancels. */
enum class Place
{
  BeforeSend,
  OnHeaders,
  OnFirstData,
  OnLastData,
  Outside ///< When its answer has come and has not been read.
};

Place const Places[] = { Place::BeforeSend, Place::OnHeaders,
                         Place::OnFirstData, Place::OnLastData,
                         Place::Outside };

/** Runs a call that is cancelled at a place; whether it came to that. */
bool RunCancelled(ClientBench& bench, Framing framing, Place place)
{
  bool isAnswered = place != Place::Outside;
  bench.Server.Follow(
    [=](Connection const& to, gsScriptedRequest const& request) {
      if (isAnswered || request.Id() != "first") {
        to->Write(Written(MakeAnswer(framing, request.Id(), "own")));
      }
    });
  gsCall call =
    bench.MakeCall("first", framing == Framing::Head ? "HEAD" : "GET");
  auto view = std::make_shared<ViewPtr>();
  auto cancelIf = [&bench, view](bool isThere) {
    if (isThere) {
      bench.Cancel(*view);
    }
    return true;
  };
  call.BeforeSend = [=] { return cancelIf(place == Place::BeforeSend); };
  call.OnHeaders = [=](unsigned /*status*/, gsHeaders const& /*headers*/) {
    cancelIf(place == Place::OnHeaders);
  };
  call.OnData = [=](std::string_view /*bytes*/) {
    bool isLast = (*view)->Body == "own";
    return cancelIf(place == Place::OnFirstData ||
                    (place == Place::OnLastData && isLast));
  };
  *view = bench.Start("first", std::move(call));
  if (place == Place::Outside) {
    bench.RunUntil([&] { return !bench.Server.Requests.empty(); });
    bench.Server.Connections.front()->Write(
      Written(MakeAnswer(framing, "first", "own")));
    bench.Cancel(*view);
  }
  bench.RunUntilDone(*view);
  bool isCancelled = (*view)->End.BodyEnd == gsBodyEnd::Unknown;
  *view = nullptr;
  return isCancelled;
}

/** When a part of a surplus answer is written on the connection of the first
 * of three calls. */
enum class When
{
  Ahead,    ///< Before the answer to the first call, at once with it.
  Behind,   ///< After it, at once with it.
  AtRest,   ///< Before the second call starts.
  InNext,   ///< Before the answer to the second call.
  AfterNext ///< After it, at once with it.
};

constexpr int WhenCount = static_cast<int>(When::AfterNext) + 1;
constexpr int FramingCount = static_cast<int>(Framing::Close) + 1;

/** Three calls one after the other, and a surplus answer in two parts. */
struct Order
{
  Framing Own = Framing::Length;
  Framing Surplus = Framing::Length;
  bool IsCopy = false;     ///< It names the id of the first call.
  bool IsRepeated = false; ///< The second call has the id of the first one.
  bool InTurns = false;    ///< The client reads before the second answer.
  When First = When::Behind;
  When Rest = When::Behind;
  std::size_t Cut = 0; ///< Size of the first part.
};

/** Names an order in the output of a failure. */
std::ostream& operator<<(std::ostream& out, Order const& order)
{
  return out << "own " << Name(order.Own) << ", surplus "
             << Name(order.Surplus) << (order.IsCopy ? ", copy" : "")
             << (order.IsRepeated ? ", repeated" : "")
             << (order.InTurns ? ", in turns" : "") << ", first part of "
             << order.Cut << " at " << static_cast<int>(order.First)
             << ", rest at " << static_cast<int>(order.Rest);
}

std::string SurplusOf(Order const& order)
{
  Answer answer = MakeAnswer(order.Surplus, order.IsCopy ? "a" : "earlier",
                             "surplus", Failed);
  answer.Signature = "surplus";
  return Written(answer);
}

/** Whether the second call may meet the surplus answer: it comes after the
 * call was sent, on its connection. */
bool MeetsSurplus(Order const& order)
{
  return order.First >= When::InNext && !order.IsRepeated &&
         order.Own != Framing::Close;
}

/** Whether nothing tells the surplus answer from the own one, or the first
 * lines of both are one head. */
bool IsAmbiguous(Order const& order)
{
  std::size_t head = SurplusOf(order).find("\r\n\r\n") + 4;
  bool isJoined = order.Cut < head && order.Rest != order.First &&
                  (order.First == When::Ahead ||
                   (order.First == When::InNext && MeetsSurplus(order)));
  return isJoined || (order.IsCopy && order.First == When::Ahead);
}

/** Plays an order and checks what each call gets, and on which connection. */
class OrderPlay
{
public:
  explicit OrderPlay(Order const& order)
    : Played(order)
    , Surplus(SurplusOf(order))
  {
    this->Bench.Server.Follow(
      [this](Connection const& to, gsScriptedRequest const& request) {
        this->OnRequest(to, request);
      });
  }

  void Run()
  {
    bool isServed = this->Played.Own != Framing::Close;
    bool isFirst = isServed && this->Played.First != When::Ahead;
    this->Call(1, "a", isFirst);
    this->WritePart(When::AtRest);
    ViewPtr second = this->Call(2, this->Played.IsRepeated ? "a" : "b",
                                isServed && !this->MayFail());
    EXPECT_EQ(second->Connection.Number == 1, MeetsSurplus(this->Played))
      << this->Played;
    EXPECT_NE(this->Call(3, "c", isServed)->Connection.Number, 1U)
      << this->Played;
  }

private:
  /** Whether the second call may lose its answer to the surplus one. */
  bool MayFail() const
  {
    return this->Played.First == When::InNext && MeetsSurplus(this->Played);
  }

  std::string PartAt(When when) const
  {
    std::string part;
    if (this->Played.First == when) {
      part += this->Surplus.substr(0, this->Played.Cut);
    }
    if (this->Played.Rest == when) {
      part += this->Surplus.substr(this->Played.Cut);
    }
    return part;
  }

  void WritePart(When when)
  {
    std::string part = this->PartAt(when);
    if (!part.empty()) {
      this->Bench.Server.Connections.front()->Write(part);
    }
  }

  Answer OwnOf(int number, std::string const& id) const
  {
    Answer answer =
      MakeAnswer(this->Played.Own, id, "own " + std::to_string(number),
                 number == 2 ? Failed : 200);
    answer.Signature = "run " + std::to_string(number);
    return answer;
  }

  void OnRequest(Connection const& to, gsScriptedRequest const& request)
  {
    std::string own = Written(this->OwnOf(this->Number, request.Id()));
    if (this->Number == 1) {
      to->Write(this->PartAt(When::Ahead) + own + this->PartAt(When::Behind));
      this->CloseIfNeeded(to);
      return;
    }
    if (this->Number == 2) {
      this->WritePart(When::InNext);
    }
    if (!this->Played.InTurns) {
      this->AnswerNext(to, own);
      return;
    }
    this->Later = std::make_unique<gsTimer>(
      this->Bench.Loop, [this, to, own] { this->AnswerNext(to, own); });
    this->Later->Once(gsTime(1));
  }

  void AnswerNext(Connection const& to, std::string const& own)
  {
    to->Write(own);
    if (this->Number == 2) {
      this->WritePart(When::AfterNext);
    }
    this->CloseIfNeeded(to);
  }

  void CloseIfNeeded(Connection const& to)
  {
    if (this->Played.Own == Framing::Close) {
      to->Close();
    }
  }

  /** Makes a call, which must not get any other than its own answer. */
  ViewPtr Call(int number, std::string const& id, bool isServed)
  {
    this->Number = number;
    gsCall call = this->Bench.MakeCall(
      id, this->Played.Own == Framing::Head ? "HEAD" : "GET");
    call.Identity = id;
    ViewPtr view = this->Bench.Run(id, std::move(call));
    bool isOwn = view->Got(this->OwnOf(number, id));
    EXPECT_EQ(view->HasAnswer(), isOwn) << this->Played << ": " << number;
    EXPECT_TRUE(isOwn || !isServed) << this->Played << ": " << number;
    EXPECT_EQ(view->Asked, 1) << this->Played << ": " << number;
    return view;
  }

  Order Played;
  std::string Surplus;
  ClientBench Bench;
  int Number = 0; ///< Of the call that is made.
  std::unique_ptr<gsTimer> Later;
};

/** All orders, each with a cut that is drawn. */
std::vector<Order> DrawOrders(unsigned seed)
{
  constexpr unsigned wholeOnceIn = 4;
  std::mt19937 random(seed);
  std::vector<Order> orders;
  auto flags = { false, true };
  for (int own = 0; own < FramingCount; ++own) {
    for (int surplus = 0; surplus < FramingCount; ++surplus) {
      for (int first = 0; first < WhenCount; ++first) {
        for (int rest = first; rest < WhenCount; ++rest) {
          for (bool isCopy : flags) {
            for (bool isRepeated : flags) {
              Order order{ static_cast<Framing>(own),
                           static_cast<Framing>(surplus),
                           isCopy,
                           isRepeated,
                           random() % 2 == 0,
                           static_cast<When>(first),
                           static_cast<When>(rest),
                           0 };
              std::size_t size = SurplusOf(order).size();
              order.Cut =
                random() % wholeOnceIn == 0 ? size : 1 + random() % size;
              orders.push_back(order);
            }
          }
        }
      }
    }
  }
  return orders;
}

} // namespace

// Guards against log lines and checks of calls whose connection is not found:
// each would be the first call of connection 0.
TEST(HttpClient, TheConnectionOfACallIsFound)
{
  std::uint64_t call = 0;
  ClientBench bench;
  bench.Server.Follow(
    [&](Connection const& to, gsScriptedRequest const& request) {
      EXPECT_FALSE(bench.Client.HasUnread(call));
      to->Write(Written(MakeAnswer(Framing::Length, request.Id(), "own")));
      EXPECT_TRUE(bench.Client.HasUnread(call));
    });
  for (std::uint64_t carried : { 0U, 1U, 2U }) {
    ViewPtr view = bench.Start("id");
    call = view->Call;
    bench.RunUntilDone(view);
    EXPECT_EQ(view->Connection.Number, 1U);
    EXPECT_EQ(view->Connection.Carried, carried);
  }
}

// Guards against a new connection for each call, where what ends an answer is
// not seen.
TEST(HttpClient, SoundAnswersNeedOneConnection)
{
  constexpr std::size_t calls = 200;
  std::size_t count = 0;
  std::vector<Answer> answers;
  for (std::size_t i = 0; i < calls; ++i) {
    Framing framing = Kept[i % std::size(Kept)];
    unsigned status = framing == Framing::Empty ? Busy : 200;
    answers.push_back(MakeAnswer(framing, "id-" + std::to_string(i),
                                 std::string(1 + i * 97 % 40000, 'b'),
                                 status));
  }
  ClientBench bench([&](Connection const& to, gsScriptedRequest const&) {
    to->Write(Written(answers[count++]));
  });
  for (std::size_t i = 0; i < calls; ++i) {
    ViewPtr view = bench.RunFor(answers[i].Id, answers[i].States);
    EXPECT_TRUE(view->Got(answers[i])) << i << " " << view->End.Error;
  }
  EXPECT_EQ(bench.Client.Opened(), 1U);
}

// Guards against a new connection for an answer that comes in single bytes,
// or after interim answers.
TEST(HttpClient, SoundAnswersInPartsNeedOneConnection)
{
  for (Framing framing : Kept) {
    ClientBench bench;
    std::vector<std::unique_ptr<SlowWriter>> writers;
    bench.Server.Follow(
      [&](Connection const& to, gsScriptedRequest const& request) {
        writers.push_back(std::make_unique<SlowWriter>(
          bench.Loop, to,
          "HTTP/1.1 100 Continue\r\n\r\n" +
            Written(MakeAnswer(framing, request.Id(), "own"))));
      });
    for (char const* id : { "first", "second" }) {
      ViewPtr view = bench.RunFor(id, framing);
      EXPECT_TRUE(view->Got(MakeAnswer(framing, id, "own"))) << Name(framing);
    }
    EXPECT_EQ(bench.Client.Opened(), 1U) << Name(framing);
  }
}

// Guards against bytes behind an answer that are read as the begin of the next
// one: the rest of them comes once the next call has been sent.
TEST(HttpClient, BytesBehindAnAnswerCloseItsConnection)
{
  for (Framing framing : Kept) {
    std::string const stale =
      Written(MakeAnswer(Framing::Length, "earlier", "stale"));
    for (std::size_t cut :
         { std::size_t(1), stale.size() / 2, stale.size() }) {
      int count = 0;
      ClientBench bench;
      bench.Server.Follow(
        [&](Connection const& to, gsScriptedRequest const& request) {
          std::string own = Written(MakeAnswer(framing, request.Id(), "own"));
          if (++count == 1) {
            to->Write(own + stale.substr(0, cut));
            return;
          }
          bench.Server.Connections.front()->Write(stale.substr(cut));
          to->Write(own);
        });
      for (char const* id : { "first", "second" }) {
        ViewPtr view = bench.RunFor(id, framing);
        EXPECT_TRUE(view->Got(MakeAnswer(framing, id, "own")))
          << Name(framing) << " " << cut << " " << id;
      }
      EXPECT_EQ(bench.Client.Opened(), 2U) << Name(framing) << " " << cut;
    }
  }
}

// Guards against bytes that come while a connection rests, and are read as the
// answer of the next call.
TEST(HttpClient, BytesAtRestCloseAConnection)
{
  std::string const stale =
    Written(MakeAnswer(Framing::Length, "second", "stale"));
  for (Framing framing : Kept) {
    for (std::size_t cut :
         { std::size_t(1), stale.size() / 2, stale.size() }) {
      ClientBench bench(Answering(framing));
      bench.RunFor("first", framing);
      bench.Server.Connections.front()->Write(stale.substr(0, cut));
      ViewPtr view = bench.RunFor("second", framing);
      EXPECT_TRUE(view->Got(MakeAnswer(framing, "second", "own")))
        << Name(framing) << " " << cut;
      EXPECT_EQ(bench.Client.Opened(), 2U) << Name(framing) << " " << cut;
    }
  }
}

// Guards against an answer that is read in the place of the next one: who
// cancels a call does not read its answer.
TEST(HttpClient, TheConnectionOfACancelledCallCarriesNoOther)
{
  for (Framing framing : Kept) {
    for (Place place : Places) {
      ClientBench bench;
      bool isCancelled = RunCancelled(bench, framing, place);
      ViewPtr next = bench.RunFor("next", framing);
      EXPECT_TRUE(next->Got(MakeAnswer(framing, "next", "own")))
        << Name(framing) << " " << static_cast<int>(place);
      EXPECT_EQ(next->Connection.Carried, isCancelled ? 0U : 1U)
        << Name(framing) << " " << static_cast<int>(place);
    }
  }
}

// Guards against the rest of a body that is sent where the next request is
// due, or the other way round.
TEST(HttpClient, AnAnswerBeforeTheEndOfItsRequestClosesItsConnection)
{
  constexpr std::size_t size = 32U << 20U; ///< More than the kernel takes.
  ClientBench bench(
    [](Connection const& to, gsScriptedRequest const& request) {
      if (request.Body.empty()) {
        to->Write(Written(MakeAnswer(Framing::Length, request.Id(), "own")));
      }
    });
  bool isAnswered = false;
  bench.Loop.BeforeWait([&] {
    if (!isAnswered && !bench.Server.Connections.empty()) {
      isAnswered = true;
      bench.Server.Connections.front()->Write(
        Written(MakeAnswer(Framing::Length, "first", "own")));
    }
  });
  gsCall call = bench.MakeCall("first", "POST");
  call.Body.assign(size, 'x');
  EXPECT_EQ(bench.Run("first", std::move(call))->Status, 200U);
  EXPECT_EQ(bench.Run("second")->Status, 200U);
  EXPECT_EQ(bench.Client.Opened(), 2U);
}

// Guards against the late copy of an answer that is taken for the answer to
// the next call of the same identity.
TEST(HttpClient, AnIdentityIsSentOnceOnAConnection)
{
  ClientBench bench(Answering(Framing::Length));
  auto run = [&](std::string const& identity) {
    gsCall call = bench.MakeCall(identity);
    call.Identity = identity;
    ViewPtr view = bench.Run(identity, std::move(call));
    EXPECT_TRUE(view->Got(MakeAnswer(Framing::Length, identity, "own")));
    EXPECT_EQ(view->Asked, 1);
    return view->Connection.Number;
  };
  EXPECT_EQ(run("a"), 1U);
  EXPECT_EQ(run("b"), 1U);
  EXPECT_EQ(run("a"), 2U);
  EXPECT_EQ(run("b"), 2U);
  EXPECT_EQ(run("c"), 2U);
  EXPECT_EQ(run("c"), 3U);
  EXPECT_EQ(bench.Server.Requests.size(), 6U);
}

// Guards against a new connection for each call, and against bytes behind
// chunks, where the kernel does not count what it receives.
TEST(HttpClient, ConnectionsAreJudgedWithoutTheKernelsCount)
{
  gsHttpClientLimits limits;
  limits.UsesKernelCount = false;
  for (Framing framing : Kept) {
    ClientBench bench;
    bench.Client.Limit(limits);
    std::string behind;
    bench.Server.Follow(
      [&](Connection const& to, gsScriptedRequest const& request) {
        to->Write(Written(MakeAnswer(framing, request.Id(), "own")) + behind);
      });
    bench.RunFor("first", framing);
    EXPECT_EQ(bench.RunFor("second", framing)->Connection.Number, 1U)
      << Name(framing);
    bench.Server.Connections.front()->Write("x");
    EXPECT_EQ(bench.RunFor("third", framing)->Connection.Number, 2U)
      << Name(framing);
    bool isSeen = framing == Framing::Length || framing == Framing::Chunks ||
                  framing == Framing::Trailers;
    if (isSeen) {
      behind = "x";
      bench.RunFor("fourth", framing);
      EXPECT_EQ(bench.RunFor("fifth", framing)->Connection.Number, 3U)
        << Name(framing);
    }
  }
}

// Guards against identities that are kept without a limit.
TEST(HttpClient, AConnectionCarriesALimitedNumberOfIdentities)
{
  constexpr std::uint64_t most = 1024;
  ClientBench bench(Answering(Framing::Length));
  for (std::uint64_t i = 0; i <= most; ++i) {
    gsCall call = bench.MakeCall(std::to_string(i));
    call.Identity = std::to_string(i);
    ViewPtr view = bench.Run(std::to_string(i), std::move(call));
    ASSERT_EQ(view->Connection.Number, i < most ? 1U : 2U) << i;
  }
}

// Guards against a call that is answered before it was sent, on a connection
// of its own.
TEST(HttpClient, BytesBeforeTheFirstRequestEndItUnsent)
{
  ClientBench bench;
  EagerServer server("early");
  // The connection stands, and its bytes are there, before the loop sees it.
  bench.Loop.BeforeWait([&] { server.AcceptAndWrite(); });
  gsCall call = bench.MakeCall("first");
  call.Url = "http://" + server.Address();
  ViewPtr view = bench.Run("first", std::move(call));
  EXPECT_TRUE(view->End.Refused);
  EXPECT_FALSE(view->End.Sent);
  EXPECT_EQ(view->Asked, 0);
}

class HttpClientOrders : public testing::TestWithParam<unsigned>
{};

// Guards against any other answer than the own one, and against connections
// that carry a call after a surplus answer, in all orders of the two.
TEST_P(HttpClientOrders, ACallGetsItsOwnAnswerOrFails)
{
  std::size_t played = 0;
  for (Order const& order : DrawOrders(GetParam())) {
    if (!IsAmbiguous(order)) {
      OrderPlay(order).Run();
      ++played;
    }
  }
  EXPECT_GT(played, 2000U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, HttpClientOrders, testing::Values(1));
