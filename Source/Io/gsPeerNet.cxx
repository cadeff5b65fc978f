/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsPeerNet.h"

#include <atomic>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include <grpcpp/grpcpp.h>
#include <openssl/crypto.h>

#include "Generated/gsPeer.grpc.pb.h"
#include "gsPeerAcceptor.h"
#include "gsRendezvous.h"

namespace {

using gradescale::Frame;

constexpr char const* TokenKey = "gradescale-token";
constexpr char const* ClusterKey = "gradescale-cluster";
/** Also the time that a connection may take: a busy host of a tenth of a core
 * has answered after some hundred milliseconds. */
constexpr int ReconnectMs = 1000;
constexpr int ReconnectMaxMs = 1000;
constexpr int MaxFrameBytes = 64 << 20;
/** Time that a host has to begin a link after it has connected. */
constexpr int HandshakeTimeoutMs = 5000;
/** A connection without a link is closed after it. */
constexpr int IdleConnectionMs = 10'000;

bool SameToken(std::string const& expected, grpc::string_ref const& given)
{
  return expected.size() == given.size() &&
         CRYPTO_memcmp(expected.data(), given.data(), given.size()) == 0;
}

/** Hashes a cluster name, since metadata values allow only some characters. */
std::string HashedClusterName(std::string const& cluster)
{
  return cluster.empty() ? std::string() : std::to_string(gsHashText(cluster));
}

gsPeerBytes SizeOf(Frame const& frame)
{
  gsPeerBytes bytes;
  std::uint64_t total = frame.ByteSizeLong();
  for (gradescale::TableNews const& update : frame.table_news()) {
    bytes.Tables += update.ByteSizeLong();
  }
  bytes.Other = total - bytes.Tables;
  return bytes;
}

/** What both ends of a link share; the stream itself is the subclass's. */
struct LinkEnd
{
  std::uint64_t Number = 0;
  std::string Address;
  gsPeerBytes* Sent = nullptr; ///< Used by the loop only.
  std::atomic<std::uint64_t>* Received = nullptr;
  std::function<void(std::uint64_t)> Arrived; ///< Any thread.
  std::function<void(std::uint64_t)> Ended;   ///< Any thread.

  std::mutex Mutex;
  Frame Incoming; ///< Owned by the reader until Arrived, then by the loop.
  // Guarded by Mutex.
  Frame Writing;
  bool Busy = false;
  bool Closed = false;
  // Used by the loop only.
  gsPeerBytes WritingBytes; ///< Of the last write that was begun.
  gsTime WriteBeganAt{};
  Frame Next;
  bool Dirty = false;

  LinkEnd() = default;
  virtual ~LinkEnd() = default;
  LinkEnd(LinkEnd const&) = delete;
  LinkEnd& operator=(LinkEnd const&) = delete;

  virtual void BeginRead() = 0;
  virtual void BeginWrite() = 0;
  virtual void Close() = 0;

  void Flush()
  {
    std::lock_guard<std::mutex> lock(this->Mutex);
    if (this->Busy || this->Closed) {
      return;
    }
    this->Busy = true;
    this->Dirty = false;
    this->Writing.Swap(&this->Next);
    this->Next.Clear();
    this->WritingBytes = SizeOf(this->Writing);
    this->WriteBeganAt = gsLoop::Now();
    this->Sent->Tables += this->WritingBytes.Tables;
    this->Sent->Other += this->WritingBytes.Other;
    this->BeginWrite();
  }

  /** Adds what waits on this link. */
  void AddTo(gsPeerBacklog& backlog)
  {
    {
      std::lock_guard<std::mutex> lock(this->Mutex);
      if (!this->Busy || this->Closed) {
        return;
      }
    }
    gsPeerBytes next = this->Dirty ? SizeOf(this->Next) : gsPeerBytes{};
    backlog.Bytes.Tables += this->WritingBytes.Tables + next.Tables;
    backlog.Bytes.Other += this->WritingBytes.Other + next.Other;
    ++backlog.Links;
    gsTime taken = gsLoop::Now() - this->WriteBeganAt;
    if (taken >= backlog.OldestWrite) {
      backlog.OldestWrite = taken;
      backlog.Address = this->Address;
    }
  }

  void Continue()
  {
    std::lock_guard<std::mutex> lock(this->Mutex);
    if (!this->Closed) {
      this->BeginRead();
    }
  }

  void ReadDone(bool good)
  {
    if (good) {
      *this->Received += this->Incoming.ByteSizeLong();
      this->Arrived(this->Number);
      return;
    }
    std::lock_guard<std::mutex> lock(this->Mutex);
    this->CloseLocked();
  }

  void WriteDone(bool good)
  {
    std::lock_guard<std::mutex> lock(this->Mutex);
    this->Busy = false;
    if (!good) {
      this->CloseLocked();
    }
  }

  void CloseLocked()
  {
    if (!this->Closed) {
      this->Closed = true;
      this->Close();
    }
  }
};

/** The end of the host that dialled. */
struct Dialled final
  : LinkEnd
  , grpc::ClientBidiReactor<Frame, Frame>
{
  grpc::ClientContext Context;
  std::shared_ptr<grpc::Channel> Channel;
  std::unique_ptr<gradescale::Peer::Stub> Stub;

  void Open()
  {
    this->Stub->async()->Link(&this->Context, this);
    this->AddHold();
    this->StartRead(&this->Incoming);
    this->StartCall();
  }
  void BeginRead() override { this->StartRead(&this->Incoming); }
  void BeginWrite() override { this->StartWrite(&this->Writing); }
  void Close() override
  {
    this->Context.TryCancel();
    this->RemoveHold();
  }
  void OnReadDone(bool good) override { this->ReadDone(good); }
  void OnWriteDone(bool good) override { this->WriteDone(good); }
  void OnDone(grpc::Status const& /*status*/) override
  {
    this->Ended(this->Number);
  }
};

/** The end of the host that was dialled. */
struct Accepted final
  : LinkEnd
  , grpc::ServerBidiReactor<Frame, Frame>
{
  void BeginRead() override { this->StartRead(&this->Incoming); }
  void BeginWrite() override { this->StartWrite(&this->Writing); }
  void Close() override { this->Finish(grpc::Status::OK); }
  void OnReadDone(bool good) override { this->ReadDone(good); }
  void OnWriteDone(bool good) override { this->WriteDone(good); }
  void OnCancel() override
  {
    std::lock_guard<std::mutex> lock(this->Mutex);
    this->CloseLocked();
  }
  void OnDone() override { this->Ended(this->Number); }
};

/** Rejects a link with a status: wrong token or another cluster. */
struct Rejected final : grpc::ServerBidiReactor<Frame, Frame>
{
  Rejected(grpc::StatusCode code, char const* message)
  {
    this->Finish(grpc::Status(code, message));
  }
  void OnDone() override { delete this; }
};

} // namespace

struct gsPeerNet::Impl final : gradescale::Peer::CallbackService
{
  gsLoop& Loop;
  gsPeerNetSettings Settings;
  gsPeerNetEvents Events;
  std::unique_ptr<grpc::experimental::ExternalConnectionAcceptor> Connections;
  std::unique_ptr<grpc::Server> Server;
  /** Hands connections to Connections; ended before the server. */
  std::unique_ptr<gsPeerAcceptor> Acceptor;
  std::atomic<std::uint64_t> Next{ 1 };
  std::atomic<std::uint64_t> Received{ 0 };
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  // Used by the loop only.
  gsPeerBytes Sent;
  std::unordered_map<std::uint64_t, LinkEnd*> Links;
  std::unordered_map<std::string, std::uint64_t> ByAddress;
  std::vector<std::uint64_t> Due; ///< Links whose frame is to be sent.

  Impl(gsLoop& loop, gsPeerNetSettings settings, gsPeerNetEvents events)
    : Loop(loop)
    , Settings(std::move(settings))
    , Events(std::move(events))
  {
  }

  void SetUp(LinkEnd& link)
  {
    link.Number = this->Next++;
    link.Sent = &this->Sent;
    link.Received = &this->Received;
    link.Arrived = [this](std::uint64_t number) {
      this->Loop.Post([this, number, alive = this->Alive] {
        if (*alive) {
          this->Take(number);
        }
      });
    };
    link.Ended = [this, &link](std::uint64_t number) {
      this->Loop.Post([this, number, &link, alive = this->Alive] {
        if (*alive) {
          this->Drop(number);
        }
        delete &link;
      });
    };
  }

  grpc::ServerBidiReactor<Frame, Frame>* Link(
    grpc::CallbackServerContext* context) override
  {
    auto const& metadata = context->client_metadata();
    auto token = metadata.find(TokenKey);
    if (token == metadata.end() ||
        !SameToken(this->Settings.Token, token->second)) {
      return new Rejected(grpc::StatusCode::UNAUTHENTICATED,
                          "Wrong peer token.");
    }
    if (this->IsFromOtherCluster(*context)) {
      this->Loop.Post([this, peer = context->peer(), alive = this->Alive] {
        if (*alive && this->Events.OnRefused) {
          this->Events.OnRefused(peer);
        }
      });
      return new Rejected(grpc::StatusCode::FAILED_PRECONDITION,
                          "Host of another cluster.");
    }
    auto* link = new Accepted;
    this->SetUp(*link);
    link->Address = context->peer();
    this->Loop.Post([this, link, alive = this->Alive] {
      if (*alive) {
        this->Links[link->Number] = link;
        link->Continue();
      }
    });
    return link;
  }

  /** False if the host sends no cluster name, as in earlier releases. */
  bool IsFromOtherCluster(grpc::CallbackServerContext const& context) const
  {
    auto const& metadata = context.client_metadata();
    auto cluster = metadata.find(ClusterKey);
    return !this->Settings.Cluster.empty() && cluster != metadata.end() &&
           cluster->second != HashedClusterName(this->Settings.Cluster);
  }

  void Take(std::uint64_t number)
  {
    auto found = this->Links.find(number);
    if (found == this->Links.end()) {
      return;
    }
    auto* link = found->second;
    Frame frame;
    frame.Swap(&link->Incoming);
    link->Continue();
    this->Events.OnFrame(number, frame);
  }

  void Drop(std::uint64_t number)
  {
    auto found = this->Links.find(number);
    if (found == this->Links.end()) {
      return;
    }
    std::string address = found->second->Address;
    this->Links.erase(found);
    auto dialled = this->ByAddress.find(address);
    if (dialled != this->ByAddress.end() && dialled->second == number) {
      this->ByAddress.erase(dialled);
    } else {
      address.clear();
    }
    this->Events.OnDown(number, address);
  }

  /** Sends what is due on links without a write under way; the others stay
   * due. A coordinator has some 200 links, and a few frames at a time. */
  void FlushDue()
  {
    std::size_t kept = 0;
    for (std::uint64_t number : this->Due) {
      auto found = this->Links.find(number);
      if (found == this->Links.end()) {
        continue;
      }
      found->second->Flush();
      if (found->second->Dirty) {
        this->Due[kept++] = number;
      }
    }
    this->Due.resize(kept);
  }
};

gsPeerNet::gsPeerNet(std::unique_ptr<Impl> impl)
  : State(std::move(impl))
{
}

gsPeerNet::~gsPeerNet()
{
  *this->State->Alive = false;
  this->State->Acceptor.reset();
  for (auto& [number, link] : this->State->Links) {
    std::lock_guard<std::mutex> lock(link->Mutex);
    link->CloseLocked();
  }
  if (this->State->Server) {
    constexpr int graceMs = 200;
    this->State->Server->Shutdown(std::chrono::system_clock::now() +
                                  std::chrono::milliseconds(graceMs));
    this->State->Server->Wait();
  }
}

gsResult<std::unique_ptr<gsPeerNet>> gsPeerNet::Start(
  gsLoop& loop, gsPeerNetSettings settings, gsPeerNetEvents events)
{
  auto impl =
    std::make_unique<Impl>(loop, std::move(settings), std::move(events));
  std::string const& listen = impl->Settings.Listen;
  if (!listen.empty()) {
    grpc::ServerBuilder builder;
    // The library's own listener stops for good without descriptors.
    impl->Connections = builder.experimental().AddExternalConnectionAcceptor(
      grpc::ServerBuilder::experimental_type::ExternalConnectionType::FROM_FD,
      grpc::InsecureServerCredentials());
    builder.AddChannelArgument(GRPC_ARG_SERVER_HANDSHAKE_TIMEOUT_MS,
                               HandshakeTimeoutMs);
    builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_IDLE_MS,
                               IdleConnectionMs);
    builder.SetMaxReceiveMessageSize(MaxFrameBytes);
    builder.RegisterService(impl.get());
    impl->Server = builder.BuildAndStart();
    if (impl->Server == nullptr) {
      return gsError{ "listen_failed", "Could not serve " + listen + ".",
                      "listen", listen };
    }
    gsResult<std::unique_ptr<gsPeerAcceptor>> acceptor = gsPeerAcceptor::Start(
      loop, listen, impl->Settings.MaxConnections,
      [connections = impl->Connections.get()](int descriptor) {
        grpc::experimental::ExternalConnectionAcceptor::NewConnectionParameters
          parameters;
        parameters.fd = descriptor;
        connections->HandleNewConnection(&parameters);
      });
    if (!acceptor) {
      return acceptor.error();
    }
    impl->Acceptor = std::move(acceptor.value());
  }
  Impl* raw = impl.get();
  loop.BeforeWait([raw, alive = raw->Alive] {
    if (*alive) {
      raw->FlushDue();
    }
  });
  return std::unique_ptr<gsPeerNet>(new gsPeerNet(std::move(impl)));
}

std::uint64_t gsPeerNet::LinkTo(std::string const& address)
{
  auto found = this->State->ByAddress.find(address);
  if (found != this->State->ByAddress.end()) {
    return found->second;
  }
  auto route = this->State->Settings.Routes.find(address);
  std::string const& target =
    route == this->State->Settings.Routes.end() ? address : route->second;
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, ReconnectMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ReconnectMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, ReconnectMaxMs);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(MaxFrameBytes);
  auto* link = new Dialled;
  this->State->SetUp(*link);
  link->Address = address;
  link->Channel = grpc::CreateCustomChannel(
    target, grpc::InsecureChannelCredentials(), arguments);
  link->Stub = gradescale::Peer::NewStub(link->Channel);
  link->Context.AddMetadata(TokenKey, this->State->Settings.Token);
  if (!this->State->Settings.Cluster.empty()) {
    link->Context.AddMetadata(
      ClusterKey, HashedClusterName(this->State->Settings.Cluster));
  }
  this->State->Links[link->Number] = link;
  this->State->ByAddress[address] = link->Number;
  link->Open();
  return link->Number;
}

gradescale::Frame* gsPeerNet::Outgoing(std::uint64_t link)
{
  auto found = this->State->Links.find(link);
  if (found == this->State->Links.end()) {
    return nullptr;
  }
  if (!std::exchange(found->second->Dirty, true)) {
    this->State->Due.push_back(link);
  }
  return &found->second->Next;
}

void gsPeerNet::Close(std::uint64_t link)
{
  auto found = this->State->Links.find(link);
  if (found != this->State->Links.end()) {
    std::lock_guard<std::mutex> lock(found->second->Mutex);
    found->second->CloseLocked();
  }
}

gsPeerBacklog gsPeerNet::Backlog() const
{
  gsPeerBacklog backlog;
  for (auto const& [number, link] : this->State->Links) {
    link->AddTo(backlog);
  }
  return backlog;
}

gsPeerBytes gsPeerNet::BytesSent() const
{
  return this->State->Sent;
}

std::uint64_t gsPeerNet::BytesReceived() const
{
  return this->State->Received;
}
