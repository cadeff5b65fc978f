/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * HTTP server on libmicrohttpd, driven by the loop through its external epoll
 * descriptor. Each request becomes an exchange that is answered whole or as a
 * stream, at once or later.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gsBlockBuffer.h"
#include "gsHeldBytes.h"
#include "gsHttpMessage.h"
#include "gsLoop.h"

struct MHD_Connection;
struct MHD_Daemon;
struct MHD_Response;

struct gsHttpServerSettings
{
  std::string Address;             ///< IP:port; port 0 takes a free one.
  std::size_t MaxBody = 1U << 20U; ///< Bytes.
  /** Largest head of a request in bytes; larger ones get 431. */
  std::size_t MaxHeader = 16U << 10U;
  std::uint32_t MaxConnections = 4096;
  std::uint32_t MaxConnectionsPerIp = 4096;
  /** Connections that are read on after an early answer, beside those that
   * MaxConnections counts. */
  std::size_t MaxLingering = 256;
  /** Whether whole requests are handled without asking the gate. */
  bool HandlesAll = false;
  /** A request must have come in whole within this time. A caller may rest
   * for so long, between requests and while it reads. */
  gsTime ReceiveTimeout = gsSeconds(30);
  /** Bytes that the kernel may hold for a caller that does not read; zero
   * leaves the size to the kernel. */
  int SendBuffer = 0;
  /** Bytes of a stream that are handed to a connection at once. */
  std::size_t StreamBlock = 8192;
  /**
   * Largest TCP segment in bytes; zero leaves it to the kernel. A receiver
   * opens its window by whole segments, so one that reads slowly looks stalled
   * for as long as it takes to read a segment. On links with an MTU of 64 KB
   * that is many seconds.
   */
  int MaxSegment = 0;
};

class gsHttpServer;

/** One request and its answer. */
class gsHttpExchange : public std::enable_shared_from_this<gsHttpExchange>
{
public:
  std::string Method;
  std::string Path;   ///< Without the query; escapes are resolved.
  std::string Target; ///< Path and query exactly as the caller sent them.
  std::string Body;
  std::string Peer; ///< IP:port of the caller.
  gsTime Since{};   ///< When its first line came in.
  /** Whether the caller reads answers in chunks; one of HTTP/1.0 does not. */
  bool ReadsChunks = true;
  /** Set when the body was over the limit; it has been dropped. */
  bool TooLarge = false;
  /** Set when the body was refused; what has come of it was dropped. */
  bool BodyRefused = false;
  /** Set when a refusal of the body was counted, also in a dry run. */
  bool IsRefusalCounted = false;
  /** Names the request in logs; empty until it is known. */
  std::string Label;

  /** Called once if the caller leaves before the answer is complete. */
  std::function<void()> OnGone;
  /** Called when a stream's buffer has been handed to the socket. */
  std::function<void()> OnDrained;

  gsHttpExchange(gsHttpServer& server, MHD_Connection* connection,
                 char const* target);
  ~gsHttpExchange();
  gsHttpExchange(gsHttpExchange const&) = delete;
  gsHttpExchange& operator=(gsHttpExchange const&) = delete;

  /** A request header's value; empty when there is none. */
  std::string_view Header(char const* name) const;
  /** All request headers in the order in which they came. */
  gsHeaders AllHeaders() const;
  /** A query parameter's value; empty when there is none. */
  std::string_view Query(char const* name) const;

  /** Answers as a whole. Later calls are ignored. */
  void Respond(unsigned status, gsHeaders const& headers, std::string body);
  /**
   * Begins an answer of unknown length.
   *
   * \param end What states its end: Chunks, or Close for one whose end nobody
   *   can vouch for. Of callers that read no chunks it is Close. An answer
   *   to HEAD has no body, and is whole at once.
   */
  void BeginStream(unsigned status, gsHeaders const& headers,
                   gsBodyEnd end = gsBodyEnd::Chunks);
  void Write(std::string_view bytes);
  /** Ends a stream as complete. */
  void End();
  /** Cuts a stream, so that the caller sees that it is not complete. */
  void Abort();

  /**
   * Ends an exchange whose caller does not read. The connection is reset, so
   * that the answer does not look complete and the kernel drops it, too.
   */
  void EndStalled();
  /** Whether EndStalled has ended it. */
  bool IsStalled() const { return this->Stalled; }

  /** Largest head of an answer, as gsAnswerHeadBytes counts it, for which the
   * connection has memory beside the head of the request. */
  std::size_t RoomForHead() const;
  /** Whether the answer states its end, so that a cut shows by itself. */
  bool StatesEnd() const { return !this->EndsByClose; }
  bool Began() const { return this->Response != nullptr; }
  bool Gone() const { return this->Connection == nullptr; }
  /** Bytes written and not yet handed to the socket. */
  std::size_t Buffered() const { return this->Buffer.size() - this->Read; }

  /** For the library's reader callback only. */
  std::ptrdiff_t StreamInto(char* buffer, std::size_t size);

private:
  friend class gsHttpServer;
  enum class Phase
  {
    New,
    Receiving,
    Handling,
    Streaming,
    Ended,
    Aborted
  };

  void SetResponse(unsigned status, gsHeaders const& headers,
                   MHD_Response* response);
  void Resume();
  void WatchCaller();
  int Descriptor() const;
  void SetResetsOnClose(bool resets);
  void ResetConnection();
  void CountBody();
  void CountBuffer();
  std::uint64_t WaitingBytes() const;
  bool HasWholeTarget(char const* version) const;

  gsHttpServer* Server;
  MHD_Connection* Connection;
  char const* TargetAt; ///< In the request line, of which Target is a copy.
  MHD_Response* Response = nullptr;
  unsigned Status = 0;
  Phase At = Phase::New;
  bool EndsByClose = false; ///< The answer ends with its connection.
  /**
   * Whether the connection is reset by whatever closes it, also by the end of
   * this process. True for an answer that ends with its connection until all
   * of it is sent: a plain close would look like its end.
   */
  bool ResetsOnClose = false;
  bool Suspended = false;
  bool Queued = false;
  bool IsHandled = false; ///< Whether it was passed to the handler.
  /** Whether an answer is written to the connection itself. */
  bool BypassesLibrary = false;
  /** Of a body whose size was not announced, until it has come in whole. */
  gsBlockBuffer Parts;
  std::size_t GrantedParts = 0; ///< Size up to which Parts may grow unasked.
  std::string Buffer;
  std::size_t Read = 0;
  std::unique_ptr<gsIoWatch> Watch;
  bool Stalled = false;
  /** When the caller last took something of what waits; zero if nothing
   * waited at the last look. */
  gsTime TakenAt{};
  std::uint64_t Acknowledged = 0; ///< By the caller's TCP, at the last look.
  gsHeldBytes HeldBody;
  gsHeldBytes HeldExpected;
  gsHeldBytes HeldAnswer;
  gsHeldBytes HeldEvents;
};

/** Bytes of an answer's head on the wire, with room for what the server adds
 * to it. */
std::size_t gsAnswerHeadBytes(gsHeaders const& headers);

/** A caller for which bytes of an answer wait that its connection cannot
 * take. */
struct gsWaitingCaller
{
  std::shared_ptr<gsHttpExchange> Exchange;
  std::uint64_t Bytes = 0;
  gsTime TakenAt{}; ///< When it last took something, or the wait began.
};

/** A connection on which no whole request is being handled. */
struct gsPendingCaller
{
  MHD_Connection* Connection = nullptr;
  /** Whether its last request was answered; otherwise a request has come in
   * part, or nothing since it was opened. */
  bool IsResting = false;
  gsTime ProgressAt{}; ///< When it was opened, or its caller last came on.
};

/** An answer as it is sent on a connection that is closed after it. */
std::string gsFormatAnswer(unsigned status, gsHeaders const& headers,
                           std::string_view body);

/** Decides on bodies before they are read, and on requests before they are
 * handled. */
struct gsHttpBodyGate
{
  /**
   * Whether a body of this size is accepted. Called when the head has come,
   * and again for each part that exceeds what is reserved for the body: its
   * size was not announced, or the reservation has lapsed.
   */
  std::function<bool(gsHttpExchange& exchange, std::uint64_t bytes)> Accepts;
  /** Whether a request that has come in whole is handled; empty if all are. */
  std::function<bool(gsHttpExchange& exchange)> Begins;
  /** Answers a request that was refused. */
  std::function<void(gsHttpExchange& exchange)> Refuse;
};

/** A listening server. */
class gsHttpServer
{
public:
  using Handler = std::function<void(std::shared_ptr<gsHttpExchange> const&)>;

  static gsResult<std::unique_ptr<gsHttpServer>> Start(
    gsLoop& loop, gsHttpServerSettings settings, Handler handler);
  ~gsHttpServer();
  gsHttpServer(gsHttpServer const&) = delete;
  gsHttpServer& operator=(gsHttpServer const&) = delete;

  /** Accepts the callers that wait, and no more; open connections go on. */
  void Quiesce();
  /** Bounds what callers may send and how long they may rest. */
  void Limit(std::size_t maxBody, gsTime receiveTimeout);
  gsTime ReceiveTimeout() const { return this->Settings.ReceiveTimeout; }
  /**
   * Closes the connections whose callers wait for nothing: no request is open
   * there, and nothing has come that was not read.
   */
  void CloseIdle();
  /** Whether every connection is closed for requests and waits for none. */
  bool Drained() const;
  /**
   * Whether no request is open, and none has been for a short time. A server
   * that stops closes its connections then, and not before: a caller whose
   * request crosses the close gets no answer.
   */
  bool IsQuiet() const;
  /** Requests that have not been answered whole yet. */
  std::size_t OpenExchanges() const { return this->Exchanges; }
  /** Those of them that have come in whole and were not refused. */
  std::size_t HandledExchanges() const { return this->Handled; }
  /** Connections whose callers have sent what has not been read yet. */
  std::size_t Unread() const;
  std::string const& Address() const { return this->Settings.Address; }
  std::size_t OpenConnections() const { return this->Links.size(); }
  std::size_t MaxConnections() const { return this->Settings.MaxConnections; }
  /** Largest memory of a connection without the bytes that are held for it. */
  static std::uint64_t ConnectionBytes(gsHttpServerSettings const& settings);
  std::uint64_t ConnectionBytes() const
  {
    return ConnectionBytes(this->Settings);
  }
  /** Connections that may be closed, unless they were already. */
  std::vector<gsPendingCaller> PendingCallers() const;
  /**
   * Closes one of them, after the answer if a part of a request has come; one
   * that rests first tells its caller. \return False if bytes have come that
   * were not read yet.
   */
  bool ClosePending(gsPendingCaller const& caller, std::string_view answer);
  /** Has bodies decided on; without a gate all are accepted. */
  void SetBodyGate(gsHttpBodyGate gate) { this->Gate = std::move(gate); }
  /** Bytes held for callers. */
  gsHeldTotals const& Held() const { return *this->Totals; }
  /**
   * Callers for which bytes wait. A caller takes something whenever its TCP
   * acknowledges bytes, so the method has to be called several times within
   * the shortest time that matters.
   */
  std::vector<gsWaitingCaller> WaitingCallers(gsTime now);
  /** Restarts the idle times of callers, after this process stood still. */
  void RestartIdleTimes(gsTime now);
  /**
   * No longer counts the rest of announced bodies of which nothing has come
   * for this time.
   */
  void ForgetExpected(gsTime idle, gsTime now);
  /** Whether answers tell callers to close the connection. */
  void CloseAfterAnswers(bool close) { this->Closing = close; }
  std::uint16_t Port() const { return this->BoundPort; }

private:
  friend class gsHttpExchange;
  /**
   * A caller's connection. A request on it is told by Open alone: a second
   * mark that is set at another moment lets a request slip through between
   * the two, to be passed on without a way back. Settled tells of bytes that
   * have come before a request is known.
   */
  struct Link
  {
    gsTime Since{}; ///< When it was opened, or its request began or ended.
    int Descriptor = -1;
    bool Shut = false; ///< Closed for sending; no request on it is handled.
    gsTime ShutAt{};   ///< When sending ended; zero before.
    /** Bytes that had come when sending ended. */
    std::uint64_t ComeBeforeShut = 0;
    /** Its last answer was complete after callers were to be told to close;
     * that answer may not have told so. */
    bool CloseWhenIdle = false;
    /** When bytes of a body last came. */
    gsTime BodyAt{};
    /** When it was opened, its request began, or its body last passed a
     * multiple of MinProgress bytes. */
    gsTime ProgressAt{};
    /** The request on it, from its first line to the end of its answer. */
    gsHttpExchange* Open = nullptr;
    /** Bytes of the requests that have been answered; what has come beyond
     * them belongs to one whose first line is not there as a whole. */
    std::uint64_t Settled = 0;
    /** Bytes that the library had read when more had come and CloseStuck
     * looked; zero if none had. */
    std::uint64_t StuckAt = 0;
  };

  gsHttpServer(gsLoop& loop, gsHttpServerSettings settings, Handler handler);
  gsResult<int> Listen();
  void RunSoon();
  void Run();
  void CloseStuck(gsTime now);
  void CutSlow();
  void CloseUnfinished(Link& link, std::string_view answer);
  void AcceptWaiting();
  static bool CloseIfIdle(Link& link);
  void ScheduleClose();
  void CloseAnswered();
  void* OnFirstLine(MHD_Connection* connection, char const* target);
  int OnHead(MHD_Connection* connection, gsHttpExchange& exchange);
  int OnBodyPart(MHD_Connection* connection, gsHttpExchange& exchange,
                 std::string_view bytes);
  void TakeBodyPart(gsHttpExchange& exchange, std::string_view bytes);
  std::optional<int> RejectMalformed(MHD_Connection* connection,
                                     gsHttpExchange& exchange,
                                     char const* version);
  int RefuseEarly(MHD_Connection* connection, gsHttpExchange& exchange);
  int RefuseMidway(MHD_Connection* connection, gsHttpExchange& exchange);
  int RejectHead(MHD_Connection* connection, gsHttpExchange& exchange,
                 unsigned status, std::string_view code,
                 std::string_view reason);
  void Linger(int descriptor);
  void EndLingering(gsTime now);
  int OnRequest(MHD_Connection* connection, char const* url,
                char const* method, char const* version, char const* data,
                std::size_t* size, void** context);
  void OnCompleted(void** context);
  static std::string PeerOf(MHD_Connection* connection);
  void OnConnectionClosed(MHD_Connection* connection);

  gsLoop& Loop;
  gsHttpServerSettings Settings;
  Handler Handle;
  MHD_Daemon* Daemon = nullptr;
  int Listener = -1;
  std::uint16_t BoundPort = 0;
  std::unique_ptr<gsIoWatch> Watch;
  std::unique_ptr<gsTimer> Timer;
  std::unique_ptr<gsTimer> Sweep;
  std::map<MHD_Connection*, Link> Links;
  gsHttpBodyGate Gate;
  std::shared_ptr<gsHeldTotals> Totals = std::make_shared<gsHeldTotals>();
  /**
   * Connections whose request was answered before its body was read, by
   * descriptor. They are read to their end, since a close with unread bytes
   * would reset the connection before the caller has read the answer.
   */
  struct Lingering
  {
    std::unique_ptr<gsIoWatch> Watch;
    gsTime Until{};
  };
  std::map<int, Lingering> LingeringLinks;
  std::uint64_t Activity = 0; ///< Calls of the library into this object.
  /** Runs in a row each of which asks for the next, since CloseStuck looked
   * for the last time. */
  std::size_t RunsInARow = 0;
  std::size_t IdleRuns = 0; ///< In a row, without a call into this object.
  gsTime StuckCheckedAt{};
  bool Scheduled = false;
  bool Closing = false;
  bool CloseScheduled = false;
  gsTime LastRequestAt{}; ///< When a request last began or ended.
  std::size_t Exchanges = 0;
  std::size_t Handled = 0; ///< Those of them that were passed to the handler.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/** Splits IP:port; an error names the text. */
gsResult<std::pair<std::string, std::uint16_t>> gsSplitAddress(
  std::string_view address);
