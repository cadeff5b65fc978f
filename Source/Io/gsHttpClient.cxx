/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsHttpClient.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstddef>
#include <utility>

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gsAnswerFraming.h"

namespace {

constexpr std::size_t MaxSpare = 64;
constexpr long MaxKept = 1024; ///< Connections.
/** Calls with an identity that one connection carries. */
constexpr std::size_t MaxIdentities = 1024;
/** Returned by a callback of the library in place of the number of bytes. */
constexpr std::size_t EndTransfer = 0;

/**
 * The library reuses what has rested for less than a second more than it is
 * told. A connection that rests for as long as its other end allows may close
 * just when a request is sent, which then may have run.
 */
long RestSeconds(gsTime most)
{
  auto whole = std::chrono::duration_cast<gsSeconds>(most).count();
  return std::max<long>(static_cast<long>(whole) - 1, 0);
}

/** Names a connection by the addresses of both ends. */
std::string AddressesOf(char const* remote, int remotePort, char const* local,
                        int localPort)
{
  return std::string(local) + " " + std::to_string(localPort) + " " + remote +
         " " + std::to_string(remotePort);
}

std::uint64_t HashOf(std::string const& identity)
{
  return std::hash<std::string>()(identity);
}

/** Bytes that the kernel has received on a connection, with one for the other
 * end's close; zero if it does not count them. */
std::uint64_t ReceivedBytes(curl_socket_t socket)
{
  constexpr std::size_t needed =
    offsetof(tcp_info, tcpi_bytes_received) + sizeof(std::uint64_t);
  tcp_info info{};
  socklen_t length = sizeof(info);
  bool known =
    getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 &&
    length >= needed;
  return known ? info.tcpi_bytes_received : 0;
}

/** Whether nothing waits on a connection to be read, and it is open. */
bool IsQuiet(curl_socket_t socket)
{
  char byte = 0;
  return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

/** Whether the library could not read what it received. That of a trailer
 * that is no field is its code of a bad argument. */
bool IsUnreadable(CURLcode code, bool hasHead)
{
  return code == CURLE_UNSUPPORTED_PROTOCOL ||
         code == CURLE_WEIRD_SERVER_REPLY ||
         (hasHead && code == CURLE_BAD_FUNCTION_ARGUMENT);
}

int ToEvents(int what)
{
  switch (what) {
    case CURL_POLL_IN:
      return EV_READ;
    case CURL_POLL_OUT:
      return EV_WRITE;
    case CURL_POLL_INOUT:
      return EV_READ | EV_WRITE;
    default:
      return 0;
  }
}

} // namespace

/** State of one call; Call's callbacks may cancel the call itself. */
struct gsHttpClient::Active
{
  std::uint64_t Number = 0;
  gsHttpClient* Client = nullptr;
  gsCall Call;
  CURL* Easy = nullptr;
  curl_slist* HeaderList = nullptr;
  gsAnswerHead Head;
  /** What the library says on its failure; empty if nothing. */
  std::array<char, CURL_ERROR_SIZE> LibraryText{};
  /** Of all header lines so far; see gsMaxHeaderBytes. */
  std::uint64_t HeaderBytes = 0;
  std::uint64_t BodyBytes = 0; ///< Handed over.
  std::optional<gsAnswerExcess> Excess;
  unsigned Status = 0;
  /** How the end of the answer is to be known; Unknown before its head. */
  gsBodyEnd StatedEnd = gsBodyEnd::Unknown;
  std::uint64_t RawHeadBytes = 0; ///< As received, with interim answers.
  gsAnswerFraming Framing;        ///< Of the body, once the head has come.
  bool Sent = false;
  bool IsUnclean = false; ///< Its connection must not carry it.
  bool Stopped = false;   ///< BeforeSend said no.
  /** Nothing of it may be sent or read any more: each callback of the library
   * ends the transfer, so that the library closes its connection. */
  bool Cancelled = false;
  bool IsPaused = false;
  std::vector<curl_socket_t> Opened; ///< For it; some may be closed.
  /** That it is sent on; set just before that. The library names it only
   * after the call. */
  curl_socket_t Socket = CURL_SOCKET_BAD;
  gsCallConnection Connection;    ///< Set just before it is sent.
  std::uint64_t Uploaded = 0;     ///< Of the body, at the last look.
  std::uint64_t Acknowledged = 0; ///< By the other end's TCP, likewise.
  gsTime TakenAt{}; ///< When either last grew; zero before the first look.
  gsHeldBytes HeldBody;
  gsHeldBytes HeldPart; ///< Of the answer, kept by the library while paused.

  explicit Active(gsHttpClient& client)
    : Client(&client)
    , HeldBody(client.Totals, &gsHeldTotals::Uploads)
    , HeldPart(client.Totals, &gsHeldTotals::Events)
  {
  }
  ~Active() { this->SetPaused(false); }
  Active(Active const&) = delete;
  Active& operator=(Active const&) = delete;

  /** Whether the head of the final answer has come; header lines after it are
   * trailers. */
  bool HasHead() const { return this->StatedEnd != gsBodyEnd::Unknown; }

  /** Notes whether the library keeps a part of the answer: what it has read
   * at once and not handed over, at most its buffer. */
  void SetPaused(bool paused)
  {
    if (paused && !this->IsPaused) {
      ++this->Client->PausedCalls;
    } else if (!paused && this->IsPaused) {
      --this->Client->PausedCalls;
    }
    this->IsPaused = paused;
    this->HeldPart.Set(paused ? this->Client->Limits.ReadBuffer : 0);
  }
};

gsHttpClient::gsHttpClient(gsLoop& loop)
  : Loop(loop)
  , Multi(curl_multi_init())
  , Timer(loop, [this] { this->Act(CURL_SOCKET_TIMEOUT, 0); })
{
  curl_multi_setopt(this->Multi, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(this->Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(this->Multi, CURLMOPT_TIMERFUNCTION, &OnTimer);
  curl_multi_setopt(this->Multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(this->Multi, CURLMOPT_MAXCONNECTS, MaxKept);
}

gsHttpClient::~gsHttpClient()
{
  while (!this->Calls.empty()) {
    this->Cancel(this->Calls.begin()->first);
  }
  for (CURL* easy : this->Spare) {
    curl_easy_cleanup(easy);
  }
  curl_multi_cleanup(this->Multi);
}

CURL* gsHttpClient::TakeHandle()
{
  if (this->Spare.empty()) {
    return curl_easy_init();
  }
  CURL* easy = this->Spare.back();
  this->Spare.pop_back();
  return easy;
}

void gsHttpClient::SetUp(CURL* easy, Active& active)
{
  gsCall& call = active.Call;
  curl_easy_setopt(easy, CURLOPT_URL, call.Url.c_str());
  if (call.Target) {
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, call.Target->c_str());
  }
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_BUFFERSIZE,
                   static_cast<long>(this->Limits.ReadBuffer));
  // A greatest age of less than the library's second allows no kept one.
  bool limited = call.MaxAge.count() > 0;
  bool kept = call.Reuse && !(limited && call.MaxAge < gsSeconds(1));
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, kept ? 0L : 1L);
  curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN,
                   limited ? static_cast<long>(gsToSeconds(call.MaxAge)) : 0L);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, RestSeconds(call.MaxIdle));
  // Until ReleaseIfClean says otherwise; the library reads it at the end.
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(call.ConnectTimeout.count() / 1000));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(call.TotalTimeout.count() / 1000));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &active);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeaderLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &active);
  curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, &OnRaw);
  curl_easy_setopt(easy, CURLOPT_DEBUGDATA, &active);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnPrerequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &active);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &active);
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, active.LibraryText.data());
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnConnecting);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &active);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &OnClosing);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  if (call.Method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (call.Method != "GET" || !call.Body.empty()) {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.Method.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.Body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.Body.size()));
  }
  active.HeaderList = curl_slist_append(nullptr, "Expect:");
  if (!call.Reuse) {
    active.HeaderList =
      curl_slist_append(active.HeaderList, "Connection: close");
  }
  if (call.BareHeaders) {
    // An empty one takes the library's own away; the call's come after it.
    active.HeaderList = curl_slist_append(active.HeaderList, "Accept:");
    active.HeaderList = curl_slist_append(active.HeaderList, "Content-Type:");
  }
  for (auto const& [name, value] : call.Headers) {
    std::string line = name;
    line += value.empty() ? ";" : ": ";
    line += value;
    active.HeaderList = curl_slist_append(active.HeaderList, line.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, active.HeaderList);
}

std::uint64_t gsHttpClient::Start(gsCall call)
{
  auto active = std::make_unique<Active>(*this);
  active->Number = this->Next++;
  active->Call = std::move(call);
  active->HeldBody.Set(active->Call.Body.size());
  active->Easy = this->TakeHandle();
  this->SetUp(active->Easy, *active);
  std::uint64_t number = active->Number;
  CURL* easy = active->Easy;
  this->Calls[number] = std::move(active);
  if (this->Acting) {
    // The library takes no handles from within its own callbacks.
    this->Loop.Defer(
      [this, easy] { curl_multi_add_handle(this->Multi, easy); });
  } else {
    curl_multi_add_handle(this->Multi, easy);
  }
  return number;
}

void gsHttpClient::Cancel(std::uint64_t call)
{
  auto found = this->Calls.find(call);
  if (found == this->Calls.end()) {
    return;
  }
  std::unique_ptr<Active> active = std::move(found->second);
  active->SetPaused(false);
  this->Calls.erase(found);
  // A callback of this very handle may be running: remove it afterwards.
  CURL* easy = active->Easy;
  curl_easy_setopt(easy, CURLOPT_PRIVATE, nullptr);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  // Its connection may come to stand before that; it must not be used. The
  // callbacks stay until then, since one of them may be running.
  active->Cancelled = true;
  std::shared_ptr<Active> kept = std::move(active);
  auto remove = [this, kept] {
    curl_multi_remove_handle(this->Multi, kept->Easy);
    curl_easy_cleanup(kept->Easy);
    curl_slist_free_all(kept->HeaderList);
  };
  this->Loop.Defer(remove);
}

void gsHttpClient::Unpause(std::uint64_t call)
{
  auto found = this->Calls.find(call);
  if (found != this->Calls.end()) {
    // The library hands over what waited from within this call.
    bool wasActing = std::exchange(this->Acting, true);
    curl_easy_pause(found->second->Easy, CURLPAUSE_CONT);
    this->Acting = wasActing;
  }
}

gsCallConnection gsHttpClient::ConnectionOf(std::uint64_t call) const
{
  auto found = this->Calls.find(call);
  return found == this->Calls.end() ? gsCallConnection()
                                    : found->second->Connection;
}

bool gsHttpClient::HasUnread(std::uint64_t call) const
{
  auto found = this->Calls.find(call);
  curl_socket_t socket =
    found == this->Calls.end() ? CURL_SOCKET_BAD : found->second->Socket;
  char byte = 0;
  return socket != CURL_SOCKET_BAD &&
         recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void gsHttpClient::RestartIdleTimes(gsTime now)
{
  for (auto const& [number, active] : this->Calls) {
    if (active->TakenAt.count() != 0) {
      active->TakenAt = now;
    }
  }
}

std::vector<gsWaitingUpload> gsHttpClient::WaitingUploads(std::uint64_t above,
                                                          gsTime now)
{
  std::vector<gsWaitingUpload> waiting;
  for (auto const& [number, active] : this->Calls) {
    std::uint64_t size = active->Call.Body.size();
    if (size <= above || !active->Sent) {
      continue;
    }
    curl_off_t uploaded = 0;
    curl_easy_getinfo(active->Easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    auto taken = static_cast<std::uint64_t>(uploaded);
    if (taken >= size) {
      continue;
    }
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (active->Socket != CURL_SOCKET_BAD) {
      getsockopt(active->Socket, IPPROTO_TCP, TCP_INFO, &info, &length);
    }
    if (active->TakenAt.count() == 0 || taken != active->Uploaded ||
        info.tcpi_bytes_acked != active->Acknowledged) {
      active->TakenAt = now;
      active->Uploaded = taken;
      active->Acknowledged = info.tcpi_bytes_acked;
    }
    waiting.push_back({ number, active->Call.Label,
                        active->Call.Url + active->Call.Target.value_or(""),
                        size, active->TakenAt });
  }
  return waiting;
}

void gsHttpClient::EndStalled(std::uint64_t call)
{
  auto found = this->Calls.find(call);
  if (found == this->Calls.end()) {
    return;
  }
  gsCallEnd end;
  end.Status = found->second->Status;
  end.Sent = true;
  end.Stalled = true;
  end.Error = "The other end did not read the body.";
  auto done = found->second->Call.OnEnd;
  this->Cancel(call);
  if (done) {
    done(end);
  }
}

std::size_t gsHttpClient::OnBody(char* data, std::size_t size,
                                 std::size_t count, void* active)
{
  auto* self = static_cast<Active*>(active);
  if (self->Cancelled) {
    return EndTransfer;
  }
  std::size_t length = size * count;
  std::uint64_t limit = self->Call.MaxBodyBytes;
  std::uint64_t received = self->BodyBytes + length;
  if (limit != 0 && received > limit) {
    self->Excess = { gsAnswerPart::Body, received, limit, false };
    return EndTransfer;
  }
  bool goesOn = !self->Call.OnData || self->Call.OnData({ data, length });
  if (self->Cancelled) {
    return EndTransfer;
  }
  if (!goesOn) {
    self->SetPaused(true);
    return CURL_WRITEFUNC_PAUSE;
  }
  self->SetPaused(false);
  self->BodyBytes = received;
  if (self->StatedEnd == gsBodyEnd::Length) {
    self->Framing.Take({ data, length });
    self->Client->ReleaseIfClean(*self);
  }
  return length;
}

std::size_t gsHttpClient::OnHeaderLine(char* data, std::size_t size,
                                       std::size_t count, void* active)
{
  auto* self = static_cast<Active*>(active);
  if (self->Cancelled) {
    return EndTransfer;
  }
  bool isOfHead = !self->HasHead();
  std::size_t taken = OnHeader(data, size, count, active);
  if (self->Cancelled || taken != size * count) {
    return EndTransfer;
  }
  if (isOfHead) {
    self->RawHeadBytes += taken;
  }
  if (isOfHead && self->HasHead()) {
    self->Client->OnHead(*self);
  }
  return taken;
}

/** Called when the head of the final answer has come. */
void gsHttpClient::OnHead(Active& active)
{
  active.Framing = gsAnswerFraming(active.StatedEnd, active.Head.Headers);
  if (active.StatedEnd == gsBodyEnd::Chunks) {
    // Only what is received, with what lies behind the last chunk, tells
    // whether the connection is clean; the library drops that.
    curl_easy_setopt(active.Easy, CURLOPT_VERBOSE, 1L);
  }
  this->ReleaseIfClean(active);
}

/** Called with the bytes of bodies in chunks as they were received. */
int gsHttpClient::OnRaw(CURL* /*easy*/, curl_infotype type, char* data,
                        std::size_t size, void* active)
{
  auto* self = static_cast<Active*>(active);
  if (type == CURLINFO_DATA_IN && self->StatedEnd == gsBodyEnd::Chunks) {
    self->Framing.Take({ data, size });
    self->Client->ReleaseIfClean(*self);
  }
  return 0;
}

/** Releases the connection of a call for another one, once its request has
 * been sent and its answer has come, both whole, and nothing lies behind. */
void gsHttpClient::ReleaseIfClean(Active& active)
{
  Connection* connection = this->FindConnection(active.Socket);
  if (active.Cancelled || !active.Call.Reuse || connection == nullptr ||
      connection->Identities.size() >= MaxIdentities ||
      !active.Framing.IsComplete()) {
    return;
  }
  curl_off_t uploaded = 0;
  curl_easy_getinfo(active.Easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  std::uint64_t consumed =
    connection->Consumed + active.RawHeadBytes + active.Framing.Bytes();
  if (static_cast<std::uint64_t>(uploaded) < active.Call.Body.size() ||
      !this->HasReceivedOnly(active.Socket, consumed)) {
    return;
  }
  connection->Consumed = consumed;
  curl_easy_setopt(active.Easy, CURLOPT_FORBID_REUSE, 0L);
}

/** Whether just so many bytes have been received on an open connection. Where
 * the kernel does not count them, whether none waits to be read. */
bool gsHttpClient::HasReceivedOnly(curl_socket_t socket,
                                   std::uint64_t bytes) const
{
  std::uint64_t received =
    this->Limits.UsesKernelCount ? ReceivedBytes(socket) : 0;
  bool isCounted = received > 0 && received >= bytes;
  return isCounted ? received == bytes : IsQuiet(socket);
}

std::size_t gsHttpClient::OnHeader(char* data, std::size_t size,
                                   std::size_t count, void* active)
{
  auto* self = static_cast<Active*>(active);
  std::string_view line(data, size * count);
  self->HeaderBytes += line.size() + gsHeaderLineOverhead;
  if (self->HeaderBytes > gsMaxHeaderBytes) {
    gsAnswerPart part =
      self->HasHead() ? gsAnswerPart::Trailers : gsAnswerPart::Head;
    self->Excess = { part, self->HeaderBytes, gsMaxHeaderBytes, false };
    return EndTransfer;
  }
  gsAnswerHead& head = self->Head;
  if (gsReadHeadLine(head, line, self->Call.SingleFields) !=
      gsHeadFault::None) {
    return EndTransfer;
  }
  if (!head.IsComplete || self->HasHead()) {
    return line.size();
  }
  self->Status = head.Status;
  self->StatedEnd =
    gsStatedBodyEnd(self->Call.Method, head.Status, head.Headers);
  if (!self->Cancelled && self->Call.OnHeaders) {
    self->Call.OnHeaders(head.Status, head.Headers);
  }
  return line.size();
}

gsHttpClient::Connection* gsHttpClient::FindConnection(curl_socket_t socket)
{
  auto found = this->Kept.find(socket);
  return found == this->Kept.end() ? nullptr : &found->second;
}

/** The open connection that was opened for a call. The library has closed the
 * others, to other addresses of the same name, before the call is sent. */
curl_socket_t gsHttpClient::OpenedFor(Active const& active) const
{
  for (curl_socket_t socket : active.Opened) {
    auto found = this->Kept.find(socket);
    if (found != this->Kept.end() && found->second.Opener == active.Number) {
      return socket;
    }
  }
  return CURL_SOCKET_BAD;
}

/** The socket that a call is about to be sent on: the one that was opened for
 * it, or that of a former call between the same addresses. */
curl_socket_t gsHttpClient::FindSocket(Active const& active,
                                       std::string addresses)
{
  curl_socket_t opened = this->OpenedFor(active);
  if (Connection* connection = this->FindConnection(opened)) {
    connection->Addresses = addresses;
    this->SocketsByAddresses[std::move(addresses)] = opened;
    return opened;
  }
  auto found = this->SocketsByAddresses.find(addresses);
  return found == this->SocketsByAddresses.end() ? CURL_SOCKET_BAD
                                                 : found->second;
}

/** Whether the connection that a call is about to be sent on may carry it. */
bool gsHttpClient::MayCarry(Active const& active) const
{
  auto found = this->Kept.find(active.Socket);
  if (found == this->Kept.end()) {
    return !active.Opened.empty();
  }
  Connection const& connection = found->second;
  auto last = connection.Identities.end();
  bool isKnown = !active.Call.Identity.empty() &&
                 std::find(connection.Identities.begin(), last,
                           HashOf(active.Call.Identity)) != last;
  return !isKnown && this->HasReceivedOnly(active.Socket, connection.Consumed);
}

void gsHttpClient::CountSent(Active const& active, Connection& connection)
{
  ++connection.Carried;
  if (!active.Call.Identity.empty()) {
    connection.Identities.push_back(HashOf(active.Call.Identity));
  }
}

int gsHttpClient::OnPrerequest(void* active, char* remote, char* local,
                               int rport, int lport)
{
  auto* self = static_cast<Active*>(active);
  if (self->Cancelled || self->Sent) {
    return CURL_PREREQFUNC_ABORT;
  }
  gsHttpClient& client = *self->Client;
  self->Socket =
    client.FindSocket(*self, AddressesOf(remote, rport, local, lport));
  if (!client.MayCarry(*self)) {
    self->IsUnclean = true;
    return CURL_PREREQFUNC_ABORT;
  }
  Connection* connection = client.FindConnection(self->Socket);
  if (connection != nullptr) {
    self->Connection = { connection->Number, connection->Carried };
  }
  bool maySend = !self->Call.BeforeSend || self->Call.BeforeSend();
  if (!maySend || self->Cancelled) {
    self->Stopped = true;
    return CURL_PREREQFUNC_ABORT;
  }
  self->Sent = true;
  if (connection != nullptr) {
    client.CountSent(*self, *connection);
  }
  return CURL_PREREQFUNC_OK;
}

int gsHttpClient::OnConnecting(void* active, curl_socket_t socket,
                               curlsocktype /*purpose*/)
{
  auto* self = static_cast<Active*>(active);
  Connection opened;
  opened.Number = ++self->Client->Connections;
  opened.Opener = self->Number;
  self->Client->Kept[socket] = std::move(opened);
  self->Opened.push_back(socket);
  auto timeout =
    static_cast<unsigned int>(self->Call.UserTimeout.count() / 1000);
  if (timeout > 0) {
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
               sizeof(timeout));
  }
  gsHttpClientLimits const& limits = self->Client->Limits;
  if (limits.KernelBuffer > 0) {
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &limits.KernelBuffer,
               sizeof(limits.KernelBuffer));
  }
  if (limits.MaxSegment > 0) {
    setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &limits.MaxSegment,
               sizeof(limits.MaxSegment));
  }
  return CURL_SOCKOPT_OK;
}

int gsHttpClient::OnClosing(void* self, curl_socket_t socket)
{
  auto* client = static_cast<gsHttpClient*>(self);
  if (Connection* closed = client->FindConnection(socket)) {
    client->SocketsByAddresses.erase(closed->Addresses);
    client->Kept.erase(socket);
  }
  return close(socket);
}

int gsHttpClient::OnSocket(CURL* /*easy*/, curl_socket_t socket, int what,
                           void* self, void* /*socketState*/)
{
  auto* client = static_cast<gsHttpClient*>(self);
  if (what == CURL_POLL_REMOVE) {
    client->Sockets.erase(socket);
    return 0;
  }
  auto found = client->Sockets.find(socket);
  if (found != client->Sockets.end()) {
    found->second->Events(ToEvents(what));
    return 0;
  }
  auto ready = [client, socket](int events) {
    int mask = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
               ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
    client->Act(socket, mask);
  };
  client->Sockets[socket] =
    std::make_unique<gsIoWatch>(client->Loop, socket, ToEvents(what), ready);
  return 0;
}

int gsHttpClient::OnTimer(CURLM* /*multi*/, long timeout, void* self)
{
  auto* client = static_cast<gsHttpClient*>(self);
  if (timeout < 0) {
    client->Timer.Stop();
  } else {
    client->Timer.Once(gsMilliseconds(timeout));
  }
  return 0;
}

void gsHttpClient::Act(curl_socket_t socket, int events)
{
  int running = 0;
  this->Acting = true;
  curl_multi_socket_action(this->Multi, socket, events, &running);
  this->Acting = false;
  this->Reap();
}

void gsHttpClient::Reap()
{
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(this->Multi, &left)) {
    if (message->msg == CURLMSG_DONE) {
      this->Finish(message->easy_handle, message->data.result);
    }
  }
}

/** Starts a call on a new connection that was about to be sent on a kept one,
 * which the library has closed. */
void gsHttpClient::StartAnew(Active& active)
{
  active.IsUnclean = false;
  curl_multi_remove_handle(this->Multi, active.Easy);
  curl_easy_setopt(active.Easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_multi_add_handle(this->Multi, active.Easy);
}

void gsHttpClient::Finish(CURL* easy, CURLcode code)
{
  char* raw = nullptr;
  curl_easy_getinfo(easy, CURLINFO_PRIVATE, &raw);
  if (raw == nullptr) {
    return; // Cancelled.
  }
  auto found = this->Calls.find(reinterpret_cast<Active*>(raw)->Number);
  if (found->second->IsUnclean && found->second->Opened.empty()) {
    this->StartAnew(*found->second);
    return;
  }
  std::unique_ptr<Active> active = std::move(found->second);
  this->Calls.erase(found);

  // The library's own limit of a line; the line is not handed over.
  bool isLongLine = code == CURLE_OUT_OF_MEMORY;
  if (isLongLine && active->Sent && !active->HasHead()) {
    active->Excess = { gsAnswerPart::Head, CURL_MAX_HTTP_HEADER,
                       CURL_MAX_HTTP_HEADER, false };
  }
  gsCallEnd end;
  end.Status = active->Status;
  end.Sent = active->Sent;
  end.Excess = active->Excess;
  end.HeadFault = active->Head.Fault;
  end.Malformed = active->Sent && (end.HeadFault != gsHeadFault::None ||
                                   IsUnreadable(code, active->HasHead()));
  end.Stopped = active->Sent && code == CURLE_ABORTED_BY_CALLBACK;
  end.Refused = !active->Sent && !active->Stopped;
  if (end.Excess) {
    end.Error = gsDescribeExcess(*end.Excess);
  } else if (active->IsUnclean) {
    end.Error = "The other end wrote before the request, or closed.";
  } else if (end.HeadFault != gsHeadFault::None) {
    end.Error = gsDescribeHeadFault(active->Head);
  } else if (end.Malformed && active->LibraryText.front() != '\0') {
    end.Error = std::string(active->LibraryText.data()) + ".";
  } else if (code != CURLE_OK) {
    end.Error = std::string(curl_easy_strerror(code)) + ".";
  } else {
    end.BodyEnd = active->StatedEnd;
    end.Error = end.IsWhole() ? "" : "The answer does not say where it ends.";
  }
  curl_multi_remove_handle(this->Multi, easy);
  curl_slist_free_all(active->HeaderList);
  if (this->Spare.size() < MaxSpare) {
    curl_easy_reset(easy);
    this->Spare.push_back(easy);
  } else {
    curl_easy_cleanup(easy);
  }
  if (active->Call.OnEnd) {
    active->Call.OnEnd(end);
  }
}

std::uint64_t gsFetch(gsHttpClient& client, gsCall call,
                      std::function<void(gsAnswer const&)> done,
                      std::function<void()> const& onProgress)
{
  auto answer = std::make_shared<gsAnswer>();
  auto held =
    std::make_shared<gsHeldBytes>(client.SharedHeld(), &gsHeldTotals::Fetched);
  call.OnHeaders = [answer](unsigned /*status*/, gsHeaders const& headers) {
    answer->Headers = headers;
  };
  std::size_t limit =
    call.MaxBodyBytes != 0 ? call.MaxBodyBytes : std::string::npos;
  call.OnData = [answer, held, onProgress, limit](std::string_view bytes) {
    gsAppendWithin(answer->Body, bytes, limit);
    held->Set(answer->Body.capacity());
    if (onProgress) {
      onProgress();
    }
    return true;
  };
  call.OnEnd = [answer, done = std::move(done)](gsCallEnd const& end) {
    answer->End = end;
    done(*answer);
  };
  return client.Start(std::move(call));
}
