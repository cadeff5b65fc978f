/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsHttpServer.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <limits>
#include <tuple>

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/tcp.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gsLog.h"
#include "gsRequestHead.h"

namespace {

constexpr std::size_t KeptCapacity = 8192;
/** Bytes of a stream that are handed to the library at once. It holds them
 * while its connection takes nothing, beside what waits here. */
constexpr std::size_t MaxStreamPart = 8192;
constexpr std::size_t CompactAbove = 65536;
constexpr int Backlog = 1024;
/** The library accepts 10 callers or so each time that it runs. */
constexpr int AcceptRounds = Backlog / 10;
constexpr gsTime SweepPeriod = gsSeconds(1);
/** Time for which a connection is read on after an early answer. */
constexpr gsTime LingerTime = gsSeconds(2);
constexpr std::size_t LingerBlock = 1U << 20U;
/** Bytes of a body by which a caller comes on. */
constexpr std::size_t MinProgress = 256;
/** Memory of a connection beside the library's, roughly. */
constexpr std::size_t LinkBytes = 4U << 10U;
/** Runs of the library in a row that do nothing and ask for another one. It
 * reads a head in steps of a KiB, one a run. */
constexpr std::size_t MaxIdleRuns = 4096;
/** Interval of such runs from then on. */
constexpr gsTime IdleRunInterval = gsMilliseconds(10);
/** Runs in a row that ask for another one, idle or not, after which there may
 * be connections that are stuck. */
constexpr std::size_t RunsBetweenChecks = 8;
constexpr gsTime StuckCheckInterval = gsMilliseconds(20);
/** Time without a request after which requests are unlikely to be under way.
 */
constexpr gsTime QuietTime = gsMilliseconds(200);

/** Memory of a connection beside the largest head of a request: for the
 * library's tables of that head, and for the head of the answer. */
constexpr std::size_t HeadReserve = 16U << 10U;
/** Part of it that every request leaves for the head of its answer. */
constexpr std::size_t MinAnswerHead = 4U << 10U;
/** Memory of the library for a header, a cookie or an argument. */
constexpr std::size_t TableEntryBytes = 64;
/** Status line, and headers that the library adds. */
constexpr std::size_t AddedHeadBytes = 256;

std::size_t PoolBytes(gsHttpServerSettings const& settings)
{
  return settings.MaxHeader + HeadReserve;
}

std::size_t RequestHeadBytes(MHD_Connection* connection)
{
  auto const* info = MHD_get_connection_info(
    connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  return info != nullptr ? info->header_size : 0;
}

gsHeaderViews HeadersOf(MHD_Connection* connection)
{
  gsHeaderViews headers;
  auto add = [](void* list, MHD_ValueKind /*kind*/, char const* name,
                std::size_t nameSize, char const* value,
                std::size_t valueSize) {
    static_cast<gsHeaderViews*>(list)->emplace_back(
      std::string_view(name, nameSize), std::string_view(value, valueSize));
    return MHD_YES;
  };
  MHD_get_connection_values_n(connection, MHD_HEADER_KIND, +add, &headers);
  return headers;
}

/** Memory of a connection that its request takes at most. */
std::size_t RequestPoolBytes(MHD_Connection* connection)
{
  auto kinds =
    static_cast<MHD_ValueKind>(MHD_HEADER_KIND | MHD_COOKIE_KIND |
                               MHD_GET_ARGUMENT_KIND | MHD_FOOTER_KIND);
  int entries = MHD_get_connection_values(connection, kinds, nullptr, nullptr);
  char const* cookies = MHD_lookup_connection_value(
    connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_COOKIE);
  std::size_t cookieBytes = cookies != nullptr ? std::strlen(cookies) : 0;
  return RequestHeadBytes(connection) + cookieBytes +
         static_cast<std::size_t>(std::max(entries, 0)) * TableEntryBytes;
}

/** Answers a request that was too long in coming. */
std::string const& IncompleteAnswer()
{
  static std::string const answer = [] {
    std::string const body =
      R"({"error":{"code":"incomplete_request","message":"The request was )"
      R"(not run: it did not come in whole in time.","step":"read"}})";
    return gsFormatAnswer(MHD_HTTP_REQUEST_TIMEOUT,
                          { { "Content-Type", "application/json" } }, body);
  }();
  return answer;
}

/** Answers a request whose body the library cannot read. */
std::string const& UnreadableAnswer()
{
  static std::string const answer = gsFormatAnswer(
    MHD_HTTP_BAD_REQUEST, { { "Content-Type", "application/json" } },
    R"({"error":{"code":"bad_body","message":"The request was not run: a )"
    R"(line between parts of its body is too long.","step":"read"}})");
  return answer;
}

ssize_t ReadStream(void* context, std::uint64_t /*position*/, char* buffer,
                   std::size_t size);

/** Whether bytes have arrived that nobody has read. */
bool HasUnread(int descriptor)
{
  char byte = 0;
  return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

tcp_info ConnectionInfo(int descriptor)
{
  tcp_info info{};
  socklen_t length = sizeof(info);
  int result = getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length);
  return result == 0 ? info : tcp_info{};
}

/** Bytes that a connection has brought so far, be they read or not. */
std::uint64_t BytesCome(int descriptor)
{
  return ConnectionInfo(descriptor).tcpi_bytes_received;
}

/** Those of them that the library has read. */
std::uint64_t BytesRead(int descriptor)
{
  int unread = 0;
  ioctl(descriptor, FIONREAD, &unread);
  return BytesCome(descriptor) - static_cast<std::uint64_t>(unread);
}

/** The announced size of a body; empty if there is none. */
std::optional<std::uint64_t> AnnouncedSize(gsHttpExchange const& exchange)
{
  std::string_view text = exchange.Header(MHD_HTTP_HEADER_CONTENT_LENGTH);
  std::uint64_t size = 0;
  auto parsed = std::from_chars(text.data(), text.data() + text.size(), size);
  bool good = !text.empty() && parsed.ec == std::errc() &&
              parsed.ptr == text.data() + text.size();
  return good ? std::optional(size) : std::nullopt;
}

} // namespace

gsResult<std::pair<std::string, std::uint16_t>> gsSplitAddress(
  std::string_view address)
{
  std::size_t colon = address.rfind(':');
  std::uint16_t port = 0;
  bool good = colon != std::string_view::npos;
  if (good) {
    char const* end = address.data() + address.size();
    auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    good = parsed.ec == std::errc() && parsed.ptr == end;
  }
  std::string host(address.substr(0, good ? colon : 0));
  in_addr ignored{};
  if (!good || inet_pton(AF_INET, host.c_str(), &ignored) != 1) {
    return gsError{ "bad_address",
                    "'" + std::string(address) +
                      "' is not an address; expected IP:port, such as "
                      "127.0.0.1:8080.",
                    "address", std::string(address) };
  }
  return std::make_pair(std::move(host), port);
}

std::string gsFormatAnswer(unsigned status, gsHeaders const& headers,
                           std::string_view body)
{
  std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
  text.append(MHD_get_reason_phrase_for(status));
  text.append("\r\nConnection: close\r\n");
  for (auto const& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text.append("Content-Length: ").append(std::to_string(body.size()));
  return text.append("\r\n\r\n").append(body);
}

gsHttpExchange::gsHttpExchange(gsHttpServer& server,
                               MHD_Connection* connection, char const* target)
  : Target(target)
  , Server(&server)
  , Connection(connection)
  , TargetAt(target)
  , HeldBody(server.Totals, &gsHeldTotals::Bodies)
  , HeldExpected(server.Totals, &gsHeldTotals::Expected)
  , HeldAnswer(server.Totals, &gsHeldTotals::Answers)
  , HeldEvents(server.Totals, &gsHeldTotals::Events)
{
}

gsHttpExchange::~gsHttpExchange()
{
  if (this->Response != nullptr) {
    MHD_destroy_response(this->Response);
  }
}

std::string_view gsHttpExchange::Header(char const* name) const
{
  if (this->Connection == nullptr) {
    return {};
  }
  char const* value =
    MHD_lookup_connection_value(this->Connection, MHD_HEADER_KIND, name);
  return value == nullptr ? std::string_view() : std::string_view(value);
}

gsHeaders gsHttpExchange::AllHeaders() const
{
  gsHeaders all;
  if (this->Connection == nullptr) {
    return all;
  }
  auto add = [](void* list, MHD_ValueKind /*kind*/, char const* name,
                char const* value) {
    static_cast<gsHeaders*>(list)->emplace_back(name,
                                                value != nullptr ? value : "");
    return MHD_YES;
  };
  MHD_get_connection_values(this->Connection, MHD_HEADER_KIND, +add, &all);
  return all;
}

std::string_view gsHttpExchange::Query(char const* name) const
{
  if (this->Connection == nullptr) {
    return {};
  }
  char const* value =
    MHD_lookup_connection_value(this->Connection, MHD_GET_ARGUMENT_KIND, name);
  return value == nullptr ? std::string_view() : std::string_view(value);
}

/** Whether the target ends where the HTTP version begins. The library takes a
 * null byte for its end; it leaves the line in place and points into it. */
bool gsHttpExchange::HasWholeTarget(char const* version) const
{
  return version - this->TargetAt ==
         static_cast<std::ptrdiff_t>(this->Target.size()) + 1;
}

std::size_t gsHttpExchange::RoomForHead() const
{
  if (this->Connection == nullptr) {
    return std::numeric_limits<std::size_t>::max();
  }
  std::size_t pool = PoolBytes(this->Server->Settings);
  return pool - std::min(pool, RequestPoolBytes(this->Connection));
}

std::size_t gsAnswerHeadBytes(gsHeaders const& headers)
{
  std::size_t bytes = AddedHeadBytes;
  for (auto const& [name, value] : headers) {
    bytes += name.size() + value.size() + std::strlen(": \r\n");
  }
  return bytes;
}

void gsHttpExchange::SetResponse(unsigned status, gsHeaders const& headers,
                                 MHD_Response* response)
{
  this->Response = response;
  this->Status = status;
  for (auto const& [name, value] : headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  if (this->Server->Closing) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  this->Resume();
}

void gsHttpExchange::Respond(unsigned status, gsHeaders const& headers,
                             std::string body)
{
  if (this->Response != nullptr || this->Connection == nullptr) {
    return;
  }
  this->At = Phase::Ended;
  if (this->BypassesLibrary) {
    std::string const text = gsFormatAnswer(status, headers, body);
    send(this->Descriptor(), text.data(), text.size(),
         MSG_DONTWAIT | MSG_NOSIGNAL);
    return;
  }
  this->HeldAnswer.Set(body.size());
  this->SetResponse(status, headers,
                    MHD_create_response_from_buffer(body.size(), body.data(),
                                                    MHD_RESPMEM_MUST_COPY));
}

void gsHttpExchange::BeginStream(unsigned status, gsHeaders const& headers,
                                 gsBodyEnd end)
{
  if (this->Method == MHD_HTTP_METHOD_HEAD) {
    // Of a stream, the library would send the last chunk, which the caller
    // takes for the begin of its next answer.
    this->Respond(status, headers, {});
    return;
  }
  if (this->Response != nullptr || this->Connection == nullptr) {
    return;
  }
  this->At = Phase::Streaming;
  MHD_Response* response = MHD_create_response_from_callback(
    MHD_SIZE_UNKNOWN, this->Server->Settings.StreamBlock, &ReadStream, this,
    nullptr);
  this->EndsByClose = end == gsBodyEnd::Close || !this->ReadsChunks;
  if (this->EndsByClose) {
    MHD_set_response_options(response, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
                             MHD_RO_END);
    this->SetResetsOnClose(true);
  }
  this->SetResponse(status, headers, response);
}

int gsHttpExchange::Descriptor() const
{
  return MHD_get_connection_info(this->Connection,
                                 MHD_CONNECTION_INFO_CONNECTION_FD)
    ->connect_fd;
}

void gsHttpExchange::SetResetsOnClose(bool resets)
{
  this->ResetsOnClose = resets;
  linger option{ resets ? 1 : 0, 0 };
  setsockopt(this->Descriptor(), SOL_SOCKET, SO_LINGER, &option,
             sizeof(option));
}

/** Resets the connection at once. The library would end it in an orderly way
 * before it closes it. */
void gsHttpExchange::ResetConnection()
{
  int descriptor = this->Descriptor();
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  if (connect(descriptor, &none, sizeof(none)) != 0) {
    this->SetResetsOnClose(true);
    shutdown(descriptor, SHUT_RDWR);
  }
}

void gsHttpExchange::Write(std::string_view bytes)
{
  if (this->Connection == nullptr || this->At != Phase::Streaming) {
    return;
  }
  gsAppendCompactly(this->Buffer, bytes);
  this->CountBuffer();
  this->Resume();
}

void gsHttpExchange::CountBody()
{
  std::uint64_t whole = this->Body.empty() ? 0 : this->Body.capacity();
  this->HeldBody.Set(whole + this->Parts.HeldBytes());
}

/** Counts the memory of the buffer while it holds anything. */
void gsHttpExchange::CountBuffer()
{
  this->HeldEvents.Set(this->Buffer.empty() ? 0 : this->Buffer.capacity());
}

/** Bytes of the answer that wait because the connection cannot take them. */
std::uint64_t gsHttpExchange::WaitingBytes() const
{
  if (this->Connection == nullptr || !this->Queued) {
    return 0;
  }
  return this->Buffered() > 0 ? this->HeldEvents.Value()
                              : this->HeldAnswer.Value();
}

void gsHttpExchange::EndStalled()
{
  if (this->Connection == nullptr) {
    return;
  }
  std::shared_ptr<gsHttpExchange> self = this->shared_from_this();
  this->Stalled = true;
  this->At = Phase::Aborted;
  this->Buffer = {};
  this->Read = 0;
  this->CountBuffer();
  if (this->Watch != nullptr) {
    this->Watch->Events(0);
  }
  this->ResetConnection();
  if (this->OnGone) {
    std::exchange(this->OnGone, nullptr)();
  }
  this->Resume();
  this->Server->RunSoon();
}

void gsHttpExchange::End()
{
  if (this->At == Phase::Streaming) {
    this->At = Phase::Ended;
    this->Resume();
  }
}

void gsHttpExchange::Abort()
{
  if (this->At == Phase::Streaming) {
    this->At = Phase::Aborted;
    this->Resume();
  }
}

void gsHttpExchange::Resume()
{
  if (this->Connection != nullptr && this->Suspended) {
    this->Suspended = false;
    MHD_resume_connection(this->Connection);
    this->Server->RunSoon();
  }
}

/** A suspended connection is not read by the library: look for its end. */
void gsHttpExchange::WatchCaller()
{
  int descriptor = this->Descriptor();
  auto check = [this, descriptor](int /*events*/) {
    char byte = 0;
    ssize_t count = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
      this->Watch->Events(0); // The next request; its end can wait.
      return;
    }
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return;
    }
    this->Watch->Events(0);
    std::shared_ptr<gsHttpExchange> self = this->shared_from_this();
    if (this->ResetsOnClose) {
      this->ResetConnection();
    }
    shutdown(descriptor, SHUT_RDWR);
    if (this->At == Phase::Streaming || this->At == Phase::Handling) {
      this->At = Phase::Aborted;
    }
    if (this->OnGone) {
      std::exchange(this->OnGone, nullptr)();
    }
    this->Resume();
  };
  this->Watch = std::make_unique<gsIoWatch>(this->Server->Loop, descriptor,
                                            EV_READ, check);
}

std::ptrdiff_t gsHttpExchange::StreamInto(char* buffer, std::size_t size)
{
  ++this->Server->Activity;
  std::size_t ready = this->Buffer.size() - this->Read;
  if (ready > 0) {
    std::size_t count = std::min({ ready, size, MaxStreamPart });
    std::memcpy(buffer, this->Buffer.data() + this->Read, count);
    this->Read += count;
    if (this->Read == this->Buffer.size()) {
      this->Buffer.clear();
      if (this->Buffer.capacity() > KeptCapacity) {
        this->Buffer = {};
      }
      this->Read = 0;
      this->CountBuffer();
      if (this->OnDrained) {
        this->Server->Loop.Defer([self = this->shared_from_this()] {
          if (self->OnDrained && !self->Gone()) {
            self->OnDrained();
          }
        });
      }
    } else if (this->Read > CompactAbove) {
      this->Buffer.erase(0, this->Read);
      this->Read = 0;
    }
    return static_cast<std::ptrdiff_t>(count);
  }
  if (this->At == Phase::Ended) {
    if (this->ResetsOnClose) {
      this->SetResetsOnClose(false);
    }
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  if (this->At == Phase::Aborted) {
    if (this->ResetsOnClose) {
      this->ResetConnection();
    }
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  this->Suspended = true;
  MHD_suspend_connection(this->Connection);
  return 0;
}

namespace {

ssize_t ReadStream(void* context, std::uint64_t /*position*/, char* buffer,
                   std::size_t size)
{
  return static_cast<gsHttpExchange*>(context)->StreamInto(buffer, size);
}

} // namespace

gsHttpServer::gsHttpServer(gsLoop& loop, gsHttpServerSettings settings,
                           Handler handler)
  : Loop(loop)
  , Settings(std::move(settings))
  , Handle(std::move(handler))
{
}

gsResult<int> gsHttpServer::Listen()
{
  gsResult<std::pair<std::string, std::uint16_t>> split =
    gsSplitAddress(this->Settings.Address);
  if (!split) {
    return split.error();
  }
  auto fail = [this](char const* what) {
    return gsError{ "listen_failed",
                    std::string(what) + " " + this->Settings.Address + ": " +
                      std::strerror(errno) + ".",
                    "listen", this->Settings.Address };
  };
  int descriptor =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return fail("No socket for");
  }
  this->Listener = descriptor;
  int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  int segment = this->Settings.MaxSegment;
  if (segment > 0) {
    setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(split.value().second);
  inet_pton(AF_INET, split.value().first.c_str(), &address.sin_addr);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(descriptor, generic, sizeof(address)) != 0 ||
      listen(descriptor, Backlog) != 0) {
    return fail("Could not listen on");
  }
  socklen_t length = sizeof(address);
  getsockname(descriptor, generic, &length);
  this->BoundPort = ntohs(address.sin_port);
  return descriptor;
}

gsResult<std::unique_ptr<gsHttpServer>> gsHttpServer::Start(
  gsLoop& loop, gsHttpServerSettings settings, Handler handler)
{
  std::unique_ptr<gsHttpServer> server(
    new gsHttpServer(loop, std::move(settings), std::move(handler)));
  gsResult<int> listener = server->Listen();
  if (!listener) {
    return listener.error();
  }
  auto access = [](void* self, MHD_Connection* connection, char const* url,
                   char const* method, char const* version, char const* data,
                   std::size_t* size, void** context) {
    return static_cast<MHD_Result>(static_cast<gsHttpServer*>(self)->OnRequest(
      connection, url, method, version, data, size, context));
  };
  auto firstLine = [](void* self, char const* target,
                      MHD_Connection* connection) {
    return static_cast<gsHttpServer*>(self)->OnFirstLine(connection, target);
  };
  auto completed = [](void* self, MHD_Connection* /*connection*/,
                      void** context, MHD_RequestTerminationCode /*how*/) {
    static_cast<gsHttpServer*>(self)->OnCompleted(context);
  };
  auto connected = [](void* self, MHD_Connection* connection,
                      void** /*context*/, MHD_ConnectionNotificationCode how) {
    auto* that = static_cast<gsHttpServer*>(self);
    ++that->Activity;
    if (how == MHD_CONNECTION_NOTIFY_STARTED) {
      auto const* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
      Link& link = that->Links[connection];
      link.Since = gsLoop::Now();
      link.ProgressAt = link.Since;
      link.Descriptor = info->connect_fd;
      int size = that->Settings.SendBuffer;
      if (size > 0) {
        setsockopt(link.Descriptor, SOL_SOCKET, SO_SNDBUF, &size,
                   sizeof(size));
      }
    } else {
      that->OnConnectionClosed(connection);
    }
  };
  gsHttpServerSettings const& chosen = server->Settings;
  server->Daemon = MHD_start_daemon(
    MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, +access,
    server.get(), MHD_OPTION_LISTEN_SOCKET, listener.value(),
    MHD_OPTION_URI_LOG_CALLBACK,
    static_cast<void* (*)(void*, char const*, MHD_Connection*)>(+firstLine),
    server.get(), MHD_OPTION_NOTIFY_COMPLETED,
    static_cast<MHD_RequestCompletedCallback>(+completed), server.get(),
    MHD_OPTION_NOTIFY_CONNECTION,
    static_cast<MHD_NotifyConnectionCallback>(+connected), server.get(),
    MHD_OPTION_CONNECTION_LIMIT, chosen.MaxConnections,
    MHD_OPTION_PER_IP_CONNECTION_LIMIT, chosen.MaxConnectionsPerIp,
    MHD_OPTION_CONNECTION_MEMORY_LIMIT, PoolBytes(chosen), MHD_OPTION_END);
  if (server->Daemon == nullptr) {
    return gsError{ "listen_failed",
                    "The HTTP server on " + chosen.Address + " did not start.",
                    "listen", chosen.Address };
  }
  auto const* info =
    MHD_get_daemon_info(server->Daemon, MHD_DAEMON_INFO_EPOLL_FD);
  gsHttpServer* self = server.get();
  server->Watch = std::make_unique<gsIoWatch>(
    loop, info->epoll_fd, EV_READ, [self](int /*events*/) { self->Run(); });
  server->Timer = std::make_unique<gsTimer>(loop, [self] { self->Run(); });
  server->Sweep = std::make_unique<gsTimer>(loop, [self] { self->CutSlow(); });
  server->Sweep->Every(SweepPeriod);
  return server;
}

gsHttpServer::~gsHttpServer()
{
  *this->Alive = false;
  if (this->Daemon != nullptr) {
    // The library cannot stop while connections are suspended.
    for (auto& [connection, link] : this->Links) {
      if (link.Open != nullptr && link.Open->ResetsOnClose) {
        link.Open->ResetConnection();
      }
      if (link.Open != nullptr && link.Open->Suspended) {
        link.Open->At = gsHttpExchange::Phase::Aborted;
        link.Open->Suspended = false;
        MHD_resume_connection(connection);
      }
    }
    MHD_stop_daemon(this->Daemon);
  }
  for (auto& [descriptor, lingering] : this->LingeringLinks) {
    lingering.Watch.reset();
    close(descriptor);
  }
}

/** What the kernel has accepted for this host is lost with the listener. */
void gsHttpServer::AcceptWaiting()
{
  pollfd listener{ this->Listener, POLLIN, 0 };
  for (int round = 0; round < AcceptRounds; ++round) {
    if (poll(&listener, 1, 0) <= 0) {
      return;
    }
    MHD_run(this->Daemon);
  }
}

void gsHttpServer::Quiesce()
{
  if (this->Listener < 0) {
    return;
  }
  this->AcceptWaiting();
  MHD_quiesce_daemon(this->Daemon);
  close(this->Listener);
  this->Listener = -1;
  this->RunSoon();
}

void gsHttpServer::Limit(std::size_t maxBody, gsTime receiveTimeout)
{
  this->Settings.MaxBody = maxBody;
  this->Settings.ReceiveTimeout = receiveTimeout;
}

std::size_t gsHttpServer::Unread() const
{
  return static_cast<std::size_t>(
    std::count_if(this->Links.begin(), this->Links.end(), [](auto const& at) {
      return HasUnread(at.second.Descriptor);
    }));
}

/** Says on a connection that no more is answered, unless its caller has sent
 * something already: that has to be read and answered first. */
bool gsHttpServer::CloseIfIdle(Link& link)
{
  bool comes =
    HasUnread(link.Descriptor) || BytesCome(link.Descriptor) != link.Settled;
  if (link.Shut || link.Open != nullptr || comes) {
    return false;
  }
  link.Shut = true;
  link.ShutAt = gsLoop::Now();
  link.ComeBeforeShut = BytesCome(link.Descriptor);
  shutdown(link.Descriptor, SHUT_WR);
  return true;
}

/**
 * Closes the connections whose answers are complete. One whose answer told its
 * caller to close is gone by then; on others, the library may have found the
 * next request in what it had read before.
 */
void gsHttpServer::CloseAnswered()
{
  this->CloseScheduled = false;
  for (auto& [connection, link] : this->Links) {
    if (std::exchange(link.CloseWhenIdle, false)) {
      CloseIfIdle(link);
    }
  }
}

void gsHttpServer::ScheduleClose()
{
  if (std::exchange(this->CloseScheduled, true)) {
    return;
  }
  this->Loop.Defer([this, alive = this->Alive] {
    if (*alive) {
      this->CloseAnswered();
    }
  });
}

void gsHttpServer::CloseIdle()
{
  std::size_t closed = 0;
  std::size_t open = 0;
  std::size_t unread = 0;
  for (auto& [connection, link] : this->Links) {
    bool idle = CloseIfIdle(link);
    closed += idle ? 1 : 0;
    open += link.Open != nullptr ? 1 : 0;
    unread += !link.Shut && link.Open == nullptr ? 1 : 0;
  }
  if (closed == 0) {
    return;
  }
  gsLogLine("callers_closed")
    .With("connections", std::uint64_t(this->Links.size()))
    .With("closed", std::uint64_t(closed))
    .With("open", std::uint64_t(open))
    .With("unread", std::uint64_t(unread));
}

bool gsHttpServer::Drained() const
{
  return std::all_of(this->Links.begin(), this->Links.end(),
                     [](auto const& at) {
                       return at.second.Shut && at.second.Open == nullptr;
                     });
}

bool gsHttpServer::IsQuiet() const
{
  return this->Exchanges == 0 &&
         gsLoop::Now() - this->LastRequestAt >= QuietTime;
}

void gsHttpServer::RunSoon()
{
  if (this->Scheduled) {
    return;
  }
  this->Scheduled = true;
  this->Loop.Defer([this, alive = this->Alive] {
    if (*alive) {
      this->Run();
    }
  });
}

void gsHttpServer::Run()
{
  this->Scheduled = false;
  std::uint64_t before = this->Activity;
  MHD_run(this->Daemon);
  bool isIdle = this->Activity == before;
  MHD_UNSIGNED_LONG_LONG timeout = 0;
  bool hasTimeout = MHD_get_timeout(this->Daemon, &timeout) == MHD_YES;
  bool runsAgain = hasTimeout && timeout == 0;
  this->RunsInARow = runsAgain ? this->RunsInARow + 1 : 0;
  this->IdleRuns = isIdle && runsAgain ? this->IdleRuns + 1 : 0;
  if (this->RunsInARow >= RunsBetweenChecks) {
    this->CloseStuck(gsLoop::Now());
  }
  if (!hasTimeout) {
    this->Timer->Stop();
  } else if (!runsAgain) {
    this->Timer->Once(gsMilliseconds(timeout));
  } else if (this->IdleRuns < MaxIdleRuns) {
    this->RunSoon();
  } else {
    this->Timer->Once(IdleRunInterval);
  }
}

/**
 * Closes connections that the library does not read although bytes have come.
 * Its buffer is full of something that has to be there as a whole, such as the
 * line with the size of a chunk, and it asks to be run again without an end.
 */
void gsHttpServer::CloseStuck(gsTime now)
{
  if (now - this->StuckCheckedAt < StuckCheckInterval) {
    return;
  }
  this->RunsInARow = 0;
  this->StuckCheckedAt = now;
  for (auto& [connection, link] : this->Links) {
    bool receives = link.Open != nullptr && !link.Shut &&
                    link.Open->At == gsHttpExchange::Phase::Receiving;
    if (!receives || !HasUnread(link.Descriptor)) {
      link.StuckAt = 0;
      continue;
    }
    std::uint64_t read = BytesRead(link.Descriptor);
    if (std::exchange(link.StuckAt, read) != read) {
      continue;
    }
    gsLogLine("request_unreadable", gsLogLevel::Warn)
      .With("caller", PeerOf(connection))
      .With("path", link.Open->Path)
      .With("read_bytes", read - link.Settled);
    this->CloseUnfinished(link, UnreadableAnswer());
  }
}

/** Cuts connections whose request is too long in coming. */
void gsHttpServer::CutSlow()
{
  gsTime now = gsLoop::Now();
  this->EndLingering(now);
  for (auto& [connection, link] : this->Links) {
    bool comes = link.Open == nullptr ||
                 link.Open->At == gsHttpExchange::Phase::New ||
                 link.Open->At == gsHttpExchange::Phase::Receiving;
    bool late = now - link.Since > this->Settings.ReceiveTimeout;
    // This process may have stood still while the rest came in.
    if (comes && late && !HasUnread(link.Descriptor)) {
      this->CloseUnfinished(link, IncompleteAnswer());
    }
    bool isIgnored = link.ShutAt.count() != 0 && link.Open == nullptr &&
                     now - link.ShutAt > LingerTime;
    if (isIgnored && !HasUnread(link.Descriptor)) {
      shutdown(link.Descriptor, SHUT_RDWR);
    }
  }
  // The library leaves some of its work to its next run: to close connections,
  // and to accept again after it was out of descriptors or connections.
  this->RunSoon();
}

/** Closes a connection on which no whole request has come in. A caller that
 * has sent a part of one gets the answer, which tells that it has not run. */
void gsHttpServer::CloseUnfinished(Link& link, std::string_view answer)
{
  bool hasPart =
    link.Open != nullptr || BytesCome(link.Descriptor) != link.Settled;
  bool isAnswered = link.Open != nullptr && link.Open->Queued;
  if (hasPart && !isAnswered && !link.Shut) {
    send(link.Descriptor, answer.data(), answer.size(),
         MSG_DONTWAIT | MSG_NOSIGNAL);
    this->Linger(link.Descriptor);
  }
  link.Shut = true;
  shutdown(link.Descriptor, SHUT_RDWR);
}

std::uint64_t gsHttpServer::ConnectionBytes(
  gsHttpServerSettings const& settings)
{
  return PoolBytes(settings) + LinkBytes;
}

std::vector<gsPendingCaller> gsHttpServer::PendingCallers() const
{
  std::vector<gsPendingCaller> callers;
  for (auto const& [connection, link] : this->Links) {
    bool comes = link.Open == nullptr ||
                 link.Open->At == gsHttpExchange::Phase::New ||
                 link.Open->At == gsHttpExchange::Phase::Receiving;
    bool isAnswered = link.Open != nullptr && link.Open->Queued;
    if (comes && !isAnswered && !link.Shut) {
      bool isResting = link.Open == nullptr && link.Settled > 0;
      callers.push_back({ connection, isResting, link.ProgressAt });
    }
  }
  return callers;
}

bool gsHttpServer::ClosePending(gsPendingCaller const& caller,
                                std::string_view answer)
{
  Link& link = this->Links.at(caller.Connection);
  if (HasUnread(link.Descriptor)) {
    return false;
  }
  if (caller.IsResting) {
    return CloseIfIdle(link);
  }
  this->CloseUnfinished(link, answer);
  return true;
}

std::vector<gsWaitingCaller> gsHttpServer::WaitingCallers(gsTime now)
{
  std::vector<gsWaitingCaller> waiting;
  for (auto const& [connection, link] : this->Links) {
    gsHttpExchange* exchange = link.Open;
    std::uint64_t bytes = exchange != nullptr ? exchange->WaitingBytes() : 0;
    if (bytes == 0 || exchange->Stalled) {
      if (exchange != nullptr) {
        exchange->TakenAt = gsTime{};
      }
      continue;
    }
    std::uint64_t acknowledged =
      ConnectionInfo(link.Descriptor).tcpi_bytes_acked;
    if (exchange->TakenAt.count() == 0 ||
        acknowledged != exchange->Acknowledged) {
      exchange->TakenAt = now;
      exchange->Acknowledged = acknowledged;
    }
    waiting.push_back(
      { exchange->shared_from_this(), bytes, exchange->TakenAt });
  }
  return waiting;
}

void gsHttpServer::RestartIdleTimes(gsTime now)
{
  for (auto& [connection, link] : this->Links) {
    link.BodyAt = now;
    link.ProgressAt = now;
    if (link.Open != nullptr && link.Open->TakenAt.count() != 0) {
      link.Open->TakenAt = now;
    }
  }
}

void gsHttpServer::ForgetExpected(gsTime idle, gsTime now)
{
  for (auto const& [connection, link] : this->Links) {
    if (link.Open != nullptr && now - link.BodyAt >= idle) {
      link.Open->HeldExpected.Set(0);
    }
  }
}

std::string gsHttpServer::PeerOf(MHD_Connection* connection)
{
  auto const* info =
    MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  auto const* address =
    reinterpret_cast<sockaddr_in const*>(info->client_addr);
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address->sin_addr, text, sizeof(text));
  return std::string(text) + ':' + std::to_string(ntohs(address->sin_port));
}

/** Forgets a connection, and logs what its caller has sent after this server
 * had ended sending. */
void gsHttpServer::OnConnectionClosed(MHD_Connection* connection)
{
  auto found = this->Links.find(connection);
  if (found == this->Links.end()) {
    return;
  }
  Link const& link = found->second;
  std::uint64_t after =
    link.ShutAt.count() != 0 ? BytesCome(link.Descriptor) : 0;
  // The end of the caller's bytes counts as one.
  if (after > link.ComeBeforeShut + 1) {
    gsLogLine("request_after_close", gsLogLevel::Warn)
      .With("caller", PeerOf(connection))
      .With("after_ms", gsLoop::Now() - link.ShutAt)
      .With("bytes_before", link.ComeBeforeShut - link.Settled)
      .With("bytes_after", after - link.ComeBeforeShut);
  }
  this->Links.erase(found);
}

/** Begins an exchange; its address becomes the request's context. */
void* gsHttpServer::OnFirstLine(MHD_Connection* connection, char const* target)
{
  ++this->Activity;
  auto* held = new std::shared_ptr<gsHttpExchange>(
    std::make_shared<gsHttpExchange>(*this, connection, target));
  (*held)->Since = gsLoop::Now();
  Link& link = this->Links[connection];
  link.Open = held->get();
  link.Since = (*held)->Since;
  link.ProgressAt = link.Since;
  this->LastRequestAt = link.Since;
  ++this->Exchanges;
  return held;
}

/** Has the body decided on before it is read. \return As OnRequest. */
int gsHttpServer::OnHead(MHD_Connection* connection, gsHttpExchange& exchange)
{
  if (!this->Gate.Accepts) {
    return MHD_YES;
  }
  Link& link = this->Links[connection];
  link.BodyAt = gsLoop::Now();
  std::optional<std::uint64_t> size = AnnouncedSize(exchange);
  if (!size || *size == 0) {
    return MHD_YES;
  }
  exchange.Peer = PeerOf(connection);
  if (this->Gate.Accepts(exchange, *size)) {
    if (*size <= this->Settings.MaxBody) {
      exchange.HeldExpected.Set(*size);
    }
    return MHD_YES;
  }
  exchange.BodyRefused = true;
  return this->RefuseEarly(connection, exchange);
}

/**
 * Answers a request whose body was refused without reading the body. \return
 * As OnRequest.
 */
int gsHttpServer::RefuseEarly(MHD_Connection* connection,
                              gsHttpExchange& exchange)
{
  // Of other methods, the library would take the body for the next request.
  bool skips = exchange.Method == MHD_HTTP_METHOD_POST ||
               exchange.Method == MHD_HTTP_METHOD_PUT;
  Link& link = this->Links[connection];
  if (!skips || this->LingeringLinks.size() >= this->Settings.MaxLingering) {
    return MHD_YES; // Its body is dropped as it comes, and then answered.
  }
  this->Gate.Refuse(exchange);
  if (exchange.Response == nullptr) {
    return MHD_NO;
  }
  exchange.Queued = true;
  link.Shut = true;
  this->Linger(link.Descriptor);
  return MHD_queue_response(connection, exchange.Status, exchange.Response);
}

/**
 * Answers a request whose body was refused while it came, and closes its
 * connection. The library takes answers only before and after a body, and
 * some bodies have no end. \return As OnRequest.
 */
int gsHttpServer::RefuseMidway(MHD_Connection* connection,
                               gsHttpExchange& exchange)
{
  Link& link = this->Links[connection];
  if (this->LingeringLinks.size() >= this->Settings.MaxLingering) {
    return MHD_YES; // Its body is dropped as it comes, and then answered.
  }
  exchange.BypassesLibrary = true;
  this->Gate.Refuse(exchange);
  link.Shut = true;
  this->Linger(link.Descriptor);
  return MHD_NO;
}

/** Answers a request whose head is not accepted, and which has not run.
 * \return As OnRequest. */
int gsHttpServer::RejectHead(MHD_Connection* connection,
                             gsHttpExchange& exchange, unsigned status,
                             std::string_view code, std::string_view reason)
{
  Link& link = this->Links[connection];
  std::string body = R"({"error":{"code":")";
  body += code;
  body += R"(","message":"The request was not run: )";
  body += reason;
  body += R"(","step":"read"}})";
  exchange.Respond(
    status,
    { { "Content-Type", "application/json" }, { "Connection", "close" } },
    std::move(body));
  exchange.Queued = true;
  link.Shut = true;
  this->Linger(link.Descriptor);
  return MHD_queue_response(connection, exchange.Status, exchange.Response);
}

/** Answers a request whose head is malformed. Nothing that follows it on its
 * connection is read as a request. \return As OnRequest; empty if the head is
 * accepted. */
std::optional<int> gsHttpServer::RejectMalformed(MHD_Connection* connection,
                                                 gsHttpExchange& exchange,
                                                 char const* version)
{
  if (!exchange.HasWholeTarget(version)) {
    return this->RejectHead(connection, exchange, MHD_HTTP_BAD_REQUEST,
                            "bad_target", "its path holds a null byte.");
  }
  std::optional<std::string_view> fault =
    gsFindHeadFault(HeadersOf(connection), exchange.ReadsChunks);
  if (!fault) {
    return std::nullopt;
  }
  return this->RejectHead(connection, exchange, MHD_HTTP_BAD_REQUEST,
                          "bad_head", *fault);
}

/** Reads a connection to its end, beside and after the library's own use, if
 * there are not too many already. */
void gsHttpServer::Linger(int descriptor)
{
  bool hasRoom = this->LingeringLinks.size() < this->Settings.MaxLingering;
  int copy = hasRoom ? fcntl(descriptor, F_DUPFD_CLOEXEC, 0) : -1;
  if (copy < 0) {
    return;
  }
  Lingering& lingering = this->LingeringLinks[copy];
  lingering.Until = gsLoop::Now() + LingerTime;
  auto read = [this, copy](int /*events*/) {
    // With MSG_TRUNC the kernel drops the bytes.
    ssize_t count = recv(copy, nullptr, LingerBlock, MSG_TRUNC | MSG_DONTWAIT);
    bool ended =
      count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    if (ended) {
      this->LingeringLinks.at(copy).Watch->Events(0);
      this->LingeringLinks.at(copy).Until = gsTime{};
    }
  };
  lingering.Watch =
    std::make_unique<gsIoWatch>(this->Loop, copy, EV_READ, read);
}

/** Closes the lingering connections that have ended or take too long. */
void gsHttpServer::EndLingering(gsTime now)
{
  for (auto each = this->LingeringLinks.begin();
       each != this->LingeringLinks.end();) {
    if (now < each->second.Until) {
      ++each;
      continue;
    }
    each->second.Watch.reset();
    close(each->first);
    each = this->LingeringLinks.erase(each);
  }
}

/** Handles a part of a body. Parts may be single bytes, so that most of them
 * are only added to what has come. \return As OnRequest. */
int gsHttpServer::OnBodyPart(MHD_Connection* connection,
                             gsHttpExchange& exchange, std::string_view bytes)
{
  if (exchange.TooLarge || exchange.BodyRefused) {
    return MHD_YES;
  }
  if (exchange.Parts.Size() + bytes.size() <= exchange.GrantedParts) {
    exchange.Parts.Append(bytes);
    return MHD_YES;
  }
  Link& link = this->Links[connection];
  link.BodyAt = gsLoop::Now();
  std::size_t before = exchange.Body.size() + exchange.Parts.Size();
  this->TakeBodyPart(exchange, bytes);
  if (exchange.BodyRefused) {
    return this->RefuseMidway(connection, exchange);
  }
  std::size_t come = exchange.Body.size() + exchange.Parts.Size();
  if (come / MinProgress != before / MinProgress) {
    link.ProgressAt = link.BodyAt;
  }
  return MHD_YES;
}

/** Takes in a part of a body, or drops it if the body is not accepted. */
void gsHttpServer::TakeBodyPart(gsHttpExchange& exchange,
                                std::string_view bytes)
{
  std::size_t come = exchange.Body.size() + exchange.Parts.Size();
  std::size_t size = come + bytes.size();
  std::uint64_t expected = exchange.HeldExpected.Value();
  exchange.TooLarge = size > this->Settings.MaxBody;
  if (!exchange.TooLarge && this->Gate.Accepts && bytes.size() > expected) {
    // Its size was not announced, or its reservation has lapsed.
    std::uint64_t announced = AnnouncedSize(exchange).value_or(0);
    std::uint64_t rest = announced - std::min<std::uint64_t>(announced, come);
    bool isReserved = rest >= bytes.size();
    exchange.BodyRefused =
      !this->Gate.Accepts(exchange, isReserved ? rest : size);
    expected = isReserved && announced <= this->Settings.MaxBody ? rest : 0;
  }
  if (exchange.TooLarge || exchange.BodyRefused) {
    exchange.Body = {};
    exchange.Parts.Clear();
    exchange.GrantedParts = 0;
    exchange.HeldExpected.Set(0);
  } else if (expected > 0 && exchange.Parts.Size() == 0) {
    exchange.Body.reserve(exchange.Body.size() + expected);
    exchange.Body.append(bytes);
    exchange.HeldExpected.Set(expected -
                              std::min<std::uint64_t>(expected, bytes.size()));
  } else {
    exchange.Parts.Append(bytes);
    std::size_t most = this->Settings.MaxBody -
                       std::min(this->Settings.MaxBody, exchange.Body.size());
    exchange.GrantedParts =
      std::min((exchange.Parts.Size() / MinProgress + 1) * MinProgress, most);
  }
  exchange.CountBody();
}

int gsHttpServer::OnRequest(MHD_Connection* connection, char const* url,
                            char const* method, char const* version,
                            char const* data, std::size_t* size,
                            void** context)
{
  ++this->Activity;
  auto& exchange = *static_cast<std::shared_ptr<gsHttpExchange>*>(*context);
  if (exchange->At == gsHttpExchange::Phase::New) {
    exchange->At = gsHttpExchange::Phase::Receiving;
    exchange->Method = method;
    exchange->Path = url;
    exchange->ReadsChunks = std::strcmp(version, MHD_HTTP_VERSION_1_0) != 0;
    if (this->Links[connection].Shut) {
      return MHD_NO; // It crossed the close and could not be answered.
    }
    bool isTooLarge =
      RequestHeadBytes(connection) > this->Settings.MaxHeader ||
      exchange->RoomForHead() < MinAnswerHead;
    if (isTooLarge) {
      return this->RejectHead(connection, *exchange,
                              MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
                              "head_too_large", "its head is over the limit.");
    }
    std::optional<int> rejected =
      this->RejectMalformed(connection, *exchange, version);
    return rejected ? *rejected : this->OnHead(connection, *exchange);
  }
  if (*size > 0) {
    std::string_view part(data, *size);
    *size = 0;
    return this->OnBodyPart(connection, *exchange, part);
  }
  if (exchange->At == gsHttpExchange::Phase::Receiving) {
    if (this->Links[connection].Shut) {
      return MHD_NO; // Cut while it came in; it could not be answered.
    }
    exchange->At = gsHttpExchange::Phase::Handling;
    exchange->Peer = PeerOf(connection);
    exchange->Parts.MoveTo(exchange->Body);
    exchange->CountBody();
    exchange->HeldExpected.Set(0);
    exchange->WatchCaller();
    std::shared_ptr<gsHttpExchange> keep = exchange;
    bool begins = !exchange->BodyRefused &&
                  (this->Settings.HandlesAll || !this->Gate.Begins ||
                   this->Gate.Begins(*keep));
    if (!begins) {
      this->Gate.Refuse(*keep);
    } else {
      exchange->IsHandled = true;
      ++this->Handled;
      this->Handle(keep);
    }
  }
  if (exchange->Response != nullptr) {
    if (exchange->Queued) {
      return MHD_YES;
    }
    exchange->Queued = true;
    return MHD_queue_response(connection, exchange->Status,
                              exchange->Response);
  }
  if (exchange->At == gsHttpExchange::Phase::Aborted) {
    return MHD_NO;
  }
  exchange->Suspended = true;
  MHD_suspend_connection(connection);
  return MHD_YES;
}

void gsHttpServer::OnCompleted(void** context)
{
  ++this->Activity;
  if (*context == nullptr) {
    return;
  }
  auto* held = static_cast<std::shared_ptr<gsHttpExchange>*>(*context);
  *context = nullptr;
  std::shared_ptr<gsHttpExchange> exchange = std::move(*held);
  delete held;
  --this->Exchanges;
  this->Handled -= exchange->IsHandled ? 1 : 0;
  auto link = this->Links.find(exchange->Connection);
  if (link != this->Links.end()) {
    link->second.Open = nullptr;
    link->second.Since = gsLoop::Now();
    link->second.ProgressAt = link->second.Since;
    this->LastRequestAt = link->second.Since;
    link->second.Settled = BytesRead(link->second.Descriptor);
    if (this->Closing) {
      // Its answer may have begun before callers were told to close.
      link->second.CloseWhenIdle = true;
      this->ScheduleClose();
    }
  }
  exchange->Watch.reset();
  exchange->Connection = nullptr;
  bool whole =
    exchange->At == gsHttpExchange::Phase::Ended && exchange->Buffered() == 0;
  if (!whole && exchange->OnGone) {
    // Not from within the library's own processing.
    this->Loop.Defer([exchange] {
      if (exchange->OnGone) {
        std::exchange(exchange->OnGone, nullptr)();
      }
    });
  }
}
