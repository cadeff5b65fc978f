/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * HTTP client on libcurl's multi interface, driven by the loop. Unless a call
 * says otherwise it has a connection of its own that is never used again. A
 * call on a kept connection is sent once all the same: the library asks before
 * it sends, and is refused the second time. A kept connection carries another
 * call only after a whole answer to a request that was sent whole, and only if
 * nothing else has come on it by then. What comes after that is read as the
 * answer: whoever keeps connections has to see by the answer's own marks that
 * it belongs to the call, and to cancel the call if it does not.
 *
 * All header lines of an answer together have a limit, also those of interim
 * answers and of trailers, which are dropped. The library splits lines and
 * accepts nearly all of them: an answer whose head is not one sound head (see
 * gsAnswerHead.h) ends its call and closes its connection.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <curl/curl.h>

#include "gsAnswerHead.h"
#include "gsHeldBytes.h"
#include "gsHttpMessage.h"
#include "gsHttpServer.h"
#include "gsLoop.h"

/** The connection that a call was sent on. */
struct gsCallConnection
{
  std::uint64_t Number = 0;  ///< In the order of opening; zero if unknown.
  std::uint64_t Carried = 0; ///< Calls that were sent on it before this one.
};

/** How a call ended. */
struct gsCallEnd
{
  /** How it is known that the body has come in whole. By Close, nothing says
   * so: a process that ends closes its connections in the same way. */
  gsBodyEnd BodyEnd = gsBodyEnd::Unknown;
  /** No connection was made, or the other end wrote or closed before the
   * request; nothing was sent. */
  bool Refused = false;
  bool Sent = false; ///< Bytes of the request may have left.
  /** The kept connection was gone, and another one could be made; the request
   * was not sent on that. */
  bool Stopped = false;
  unsigned Status = 0;
  /** It was ended because the other end did not read the body. */
  bool Stalled = false;
  /** It ended because what was received is no HTTP. */
  bool Malformed = false;
  /** The rule that its head or its trailers break; None also if the library
   * could not read it. */
  gsHeadFault HeadFault = gsHeadFault::None;
  /** Set if it was ended because the answer exceeds a limit. */
  std::optional<gsAnswerExcess> Excess;
  std::string Error; ///< One sentence; empty when whole.

  /** Whether the answer came in whole, as it states itself. */
  bool IsWhole() const
  {
    return this->BodyEnd != gsBodyEnd::Unknown &&
           this->BodyEnd != gsBodyEnd::Close;
  }
};

/** Largest total of an answer's header lines, each of which counts its bytes
 * and gsHeaderLineOverhead (as in RFC 9113, 6.5.2). */
constexpr std::uint64_t gsMaxHeaderBytes = 64U << 10U;
constexpr std::uint64_t gsHeaderLineOverhead = 32;

/** Largest body of an answer that is not passed on as it comes, such as those
 * of the platform. Its tables are read in pages of 1 MB, objects have 8 MiB.
 */
constexpr std::uint64_t gsMaxFetchedBytes = 16U << 20U;

/** A call to make. */
struct gsCall
{
  std::string Method = "GET";
  std::string Url;
  /** Path and query that are sent byte by byte, in place of those of Url,
   * which are normalized. Must not be empty or contain controls or spaces. */
  std::optional<std::string> Target;
  gsHeaders Headers;
  std::string Body;
  std::string Label; ///< Names the call in logs; may be empty.
  /** What an answer names to tell which call it belongs to; may be empty.
   * Calls of one identity are not sent on the same connection, since a late
   * copy of the first one's answer could not be told from the second one's. */
  std::string Identity;
  gsTime ConnectTimeout = gsMilliseconds(1000);
  gsTime TotalTimeout{}; ///< Zero for none.
  /** The call ends once the body of its answer exceeds this; zero for no
   * limit: OnData bounds what it keeps. */
  std::uint64_t MaxBodyBytes = gsMaxFetchedBytes;
  /** Allows a kept connection and keeps the call's own. */
  bool Reuse = false;
  /** Longest rest of a kept connection that is used; whole seconds. */
  gsTime MaxIdle = gsSeconds(118);
  /** Greatest age of a kept connection that is used; zero for any. */
  gsTime MaxAge{};
  /** Names, in lower case, of fields that an answer must not repeat, beside
   * those that frame it. What they refer to must outlive the call. */
  std::vector<std::string_view> SingleFields;
  /** Sends no header of the library's own beside those that frame it. */
  bool BareHeaders = false;
  /** Longest time without the peer's acknowledgement; zero for none. */
  gsTime UserTimeout{};

  /**
   * Called when the connection stands and before the first byte is sent; the
   * call ends unsent when it returns false.
   */
  std::function<bool()> BeforeSend;
  /** Called when all header lines of the answer have come. */
  std::function<void(unsigned status, gsHeaders const& headers)> OnHeaders;
  /** Called with parts of the body; false pauses until Unpause. */
  std::function<bool(std::string_view bytes)> OnData;
  std::function<void(gsCallEnd const& end)> OnEnd;
};

/** Bounds of the bytes of an answer that is not read. */
struct gsHttpClientLimits
{
  /** Bytes that the library reads at once. */
  std::size_t ReadBuffer = 16384;
  /** Bytes that the kernel holds; zero leaves the size to the kernel. */
  int KernelBuffer = 0;
  int MaxSegment = 0; ///< As in gsHttpServerSettings, of bodies.
  /** Whether the kernel's count of received bytes is used, if it keeps one. */
  bool UsesKernelCount = true;
};

/** A call whose body the other end has not taken completely. */
struct gsWaitingUpload
{
  std::uint64_t Call = 0;
  std::string Label; ///< Of the call.
  std::string Url;
  std::uint64_t Bytes = 0; ///< Size of the body.
  gsTime TakenAt{};        ///< When the other end last took some of it.
};

/** Runs calls. A call's callbacks come from the loop, never from Start. */
class gsHttpClient
{
public:
  explicit gsHttpClient(gsLoop& loop);
  ~gsHttpClient();
  gsHttpClient(gsHttpClient const&) = delete;
  gsHttpClient& operator=(gsHttpClient const&) = delete;

  /** Starts a call; the number names it. */
  std::uint64_t Start(gsCall call);
  /** Ends a call without further callbacks, also from within one of them. Its
   * connection carries no other call, whatever has come in by then. */
  void Cancel(std::uint64_t call);
  /** Goes on with a call whose OnData returned false. */
  void Unpause(std::uint64_t call);
  /** The connection of a call that has been, or is about to be, sent. */
  gsCallConnection ConnectionOf(std::uint64_t call) const;
  /** Whether bytes for a call have arrived that it has not read. */
  bool HasUnread(std::uint64_t call) const;

  /**
   * Bodies above a size that the other end has not taken completely. It takes
   * something whenever its TCP acknowledges bytes, so the method has to be
   * called several times within the shortest time that matters.
   */
  std::vector<gsWaitingUpload> WaitingUploads(std::uint64_t above, gsTime now);
  /** Restarts the idle times of uploads, after this process stood still. */
  void RestartIdleTimes(gsTime now);
  /** Ends a call whose body is not taken; its connection is closed. */
  void EndStalled(std::uint64_t call);

  /** Bodies of calls, what waits of paused ones, and what gsFetch gathers. */
  gsHeldTotals const& Held() const { return *this->Totals; }
  /** For what is gathered of this client's answers. */
  std::shared_ptr<gsHeldTotals> const& SharedHeld() const
  {
    return this->Totals;
  }
  /** Calls whose OnData returned false and that have not gone on. */
  std::size_t Paused() const { return this->PausedCalls; }
  /** Bounds buffers of calls that are started from now on. */
  void Limit(gsHttpClientLimits const& limits) { this->Limits = limits; }

  /** Connections opened so far. */
  std::uint64_t Opened() const { return this->Connections; }
  std::size_t Open() const { return this->Calls.size(); }

private:
  struct Active;
  /**
   * An open connection, idle or not. It is closed after a call unless
   * ReleaseIfClean has released it for another one, and carries no call once
   * more has been received on it than the answers that Consumed counts.
   */
  struct Connection
  {
    std::uint64_t Number = 0;
    std::uint64_t Carried = 0; ///< Calls that were sent on it.
    std::uint64_t Opener = 0;  ///< The call that it was opened for.
    /** Bytes of whole answers, each of which was the answer to its call. */
    std::uint64_t Consumed = 0;
    /** Hashes of the identities that were sent on it, no two the same; at most
     * MaxIdentities, then it carries no other call. */
    std::vector<std::uint64_t> Identities;
    std::string Addresses; ///< Key in SocketsByAddresses; may be empty.
  };

  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* active);
  static std::size_t OnHeaderLine(char* data, std::size_t size,
                                  std::size_t count, void* active);
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                              void* active);
  static int OnRaw(CURL* easy, curl_infotype type, char* data,
                   std::size_t size, void* active);
  static int OnPrerequest(void* active, char* remote, char* local, int rport,
                          int lport);
  static int OnConnecting(void* active, curl_socket_t socket,
                          curlsocktype purpose);
  static int OnClosing(void* self, curl_socket_t socket);
  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* self,
                      void* socketState);
  static int OnTimer(CURLM* multi, long timeout, void* self);

  void Act(curl_socket_t socket, int events);
  void Reap();
  void Finish(CURL* easy, CURLcode code);
  void StartAnew(Active& active);
  void OnHead(Active& active);
  void ReleaseIfClean(Active& active);
  bool MayCarry(Active const& active) const;
  void CountSent(Active const& active, Connection& connection);
  bool HasReceivedOnly(curl_socket_t socket, std::uint64_t bytes) const;
  Connection* FindConnection(curl_socket_t socket);
  curl_socket_t OpenedFor(Active const& active) const;
  curl_socket_t FindSocket(Active const& active, std::string addresses);
  CURL* TakeHandle();
  void SetUp(CURL* easy, Active& active);

  gsLoop& Loop;
  CURLM* Multi;
  gsTimer Timer;
  std::unordered_map<std::uint64_t, std::unique_ptr<Active>> Calls;
  std::map<curl_socket_t, std::unique_ptr<gsIoWatch>> Sockets;
  std::unordered_map<curl_socket_t, Connection> Kept; ///< By socket.
  /** Sockets of connections that have carried a call, by both addresses. */
  std::unordered_map<std::string, curl_socket_t> SocketsByAddresses;
  std::vector<CURL*> Spare; ///< Handles to be used again, reset.
  std::uint64_t Next = 1;
  std::uint64_t Connections = 0; ///< Opened so far.
  std::shared_ptr<gsHeldTotals> Totals = std::make_shared<gsHeldTotals>();
  std::size_t PausedCalls = 0;
  gsHttpClientLimits Limits;
  bool Acting = false; ///< Within the library, so that it may call back.
};

/** A whole answer, for calls that are not streamed. */
struct gsAnswer
{
  gsCallEnd End;
  gsHeaders Headers;
  std::string Body;
};

/**
 * Makes a call and gathers the whole answer.
 *
 * \param onProgress Called when a part of the answer has come; may be empty.
 */
std::uint64_t gsFetch(gsHttpClient& client, gsCall call,
                      std::function<void(gsAnswer const&)> done,
                      std::function<void()> const& onProgress = {});
