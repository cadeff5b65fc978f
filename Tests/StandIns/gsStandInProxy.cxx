/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * TCP proxy that injects faults. It carries any number of links, each from a
 * port of its own to a target. POST /control takes
 *   {"links": ["PATTERN", ...],
 *    "mode": "pass" | "cut" | "refuse" | "closed" | "hole" | "mute",
 *    "delay_ms": N,
 *    "break_after": N}
 * or
 *   {"machines": {"NAME": BYTES_PER_SECOND, ...}}.
 * cut closes what is open, and what is new once it is accepted; refuse closes
 * what is open and accepts nothing, so that no connection can be made; closed
 * accepts nothing and leaves what is open; hole keeps connections and
 * carries nothing; mute carries nothing back from the target; break_after
 * closes the next connection that has carried so many bytes towards the
 * target. "stutter" has targets answer twice, as gsStutterDraw::Apply says.
 *
 * In a pattern, each * stands for any characters. A pattern that matches no
 * link is answered 404, and nothing is changed.
 *
 * A link may name the machines at its ends. All links of a machine share its
 * bandwidth, each way by itself, as one queue in the order of arrival. A
 * connection whose bytes wait is not read beyond a bound, so that its sender
 * is held up as by a full socket.
 */
#include <algorithm>
#include <cstring>
#include <deque>
#include <fstream>
#include <iterator>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <CLI/CLI.hpp>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gsStandIn.h"
#include "gsStutter.h"

namespace {

constexpr std::size_t ChunkSize = 65536;
/** Reads of connections with a bandwidth are smaller, so that connections of
 * one machine take turns. */
constexpr std::size_t ShapedChunkSize = 8192;
/** Bytes of a connection that may wait for a machine's bandwidth. */
constexpr std::size_t MaxShapedBytes = 65536;

sockaddr_in AddressOf(std::string const& text)
{
  auto split = gsSplitAddress(text);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(split.value().second);
  inet_pton(AF_INET, split.value().first.c_str(), &address.sin_addr);
  return address;
}

int NewSocket()
{
  int descriptor =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  return descriptor;
}

struct Link;

/** The bandwidth of one machine in one direction. */
struct Shaper
{
  double BytesPerSecond = 0; ///< Zero for no bound.
  gsTime FreeAt{};           ///< When all bytes so far have passed.

  /** When bytes that arrive at a time have passed. */
  gsTime Pass(std::size_t bytes, gsTime at)
  {
    if (this->BytesPerSecond <= 0) {
      return at;
    }
    this->FreeAt =
      std::max(this->FreeAt, at) +
      gsFromSeconds(static_cast<double>(bytes) / this->BytesPerSecond);
    return this->FreeAt;
  }
};

struct Machine
{
  Shaper Sent;
  Shaper Received;
};

using Machines = std::map<std::string, Machine>;

/** Bytes on their way from one socket to the other. */
struct Direction
{
  std::deque<std::pair<gsTime, std::string>> Chunks;
  std::size_t Offset = 0; ///< Of the first chunk, already written.
  std::size_t Held = 0;   ///< Bytes of all chunks.
  bool Ended = false;     ///< The source has no more.
  bool Closed = false;    ///< The end has been passed on.
};

struct Connection
{
  gsLoop& Loop;
  Link& Owner;
  int Sockets[2] = { -1, -1 }; ///< Caller's and target's.
  std::unique_ptr<gsIoWatch> Watches[2];
  Direction Ways[2]; ///< 0: towards the target.
  std::unique_ptr<gsTimer> Timer;
  gsStutter Stutter;
  std::size_t Carried = 0; ///< Bytes towards the target.
  bool Dead = false;

  Connection(gsLoop& loop, Link& owner, int caller, int target);
  ~Connection();
  Connection(Connection const&) = delete;
  Connection& operator=(Connection const&) = delete;
  void Update();
  void OnReady(int side, int events);
  void ReadFrom(int side);
  /** Has bytes go from a side to the other one. */
  void Carry(int side, std::string bytes);
  void WriteTo(int side);
  void Kill();
};

struct Link
{
  gsLoop& Loop;
  std::string Name;
  std::string Target;
  Machine* Ends[2] = { nullptr, nullptr }; ///< Caller's and target's.
  std::string Mode = "pass";
  gsTime Delay{};
  std::size_t BreakAfter = 0;
  gsStutterDraw Stutter;
  int Listener = -1;
  bool Listens = true;
  std::unique_ptr<gsIoWatch> Watch;
  std::list<std::unique_ptr<Connection>> Connections;

  Link(gsLoop& loop, std::string name, gsJson const& row, Machines& machines);
  /** Whether either machine has a bandwidth. */
  bool IsShaped() const;
  /** When bytes that were read from a side arrive at the other one. */
  gsTime ArrivalOf(std::size_t bytes, int side);
  void Accept();
  void Listen(bool on);
  void Apply(gsJson const& control);
  void Reap();
};

Connection::Connection(gsLoop& loop, Link& owner, int caller, int target)
  : Loop(loop)
  , Owner(owner)
  , Stutter(loop, owner.Stutter, [this](std::string bytes) {
    this->Carry(1, std::move(bytes));
    this->Update();
  })
{
  this->Sockets[0] = caller;
  this->Sockets[1] = target;
  for (int side = 0; side < 2; ++side) {
    this->Watches[side] = std::make_unique<gsIoWatch>(
      loop, this->Sockets[side], EV_READ,
      [this, side](int events) { this->OnReady(side, events); });
  }
  this->Timer = std::make_unique<gsTimer>(loop, [this] { this->Update(); });
}

Connection::~Connection()
{
  for (int side = 0; side < 2; ++side) {
    this->Watches[side].reset();
    close(this->Sockets[side]);
  }
}

void Connection::Kill()
{
  if (this->Dead) {
    return;
  }
  this->Dead = true;
  for (int side = 0; side < 2; ++side) {
    this->Watches[side]->Events(0);
    linger hard{ 1, 0 };
    setsockopt(this->Sockets[side], SOL_SOCKET, SO_LINGER, &hard,
               sizeof(hard));
    shutdown(this->Sockets[side], SHUT_RDWR);
  }
  this->Loop.Defer([link = &this->Owner] { link->Reap(); });
}

void Connection::OnReady(int side, int events)
{
  if ((events & EV_READ) != 0) {
    this->ReadFrom(side);
  }
  if (!this->Dead) {
    this->Update();
  }
}

void Connection::ReadFrom(int side)
{
  std::string chunk(this->Owner.IsShaped() ? ShapedChunkSize : ChunkSize,
                    '\0');
  ssize_t count = recv(this->Sockets[side], chunk.data(), chunk.size(), 0);
  if (count < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
    return;
  }
  if (count < 0) {
    this->Kill();
    return;
  }
  if (count == 0) {
    this->Ways[side].Ended = true;
    return;
  }
  chunk.resize(static_cast<std::size_t>(count));
  if (side == 0) {
    this->Carried += chunk.size();
    this->Stutter.OnRequestBytes();
  } else {
    this->Stutter.OnAnswerBytes(chunk);
  }
  this->Carry(side, std::move(chunk));
}

void Connection::Carry(int side, std::string bytes)
{
  Direction& way = this->Ways[side];
  way.Held += bytes.size();
  way.Chunks.emplace_back(this->Owner.ArrivalOf(bytes.size(), side),
                          std::move(bytes));
}

void Connection::WriteTo(int side)
{
  Direction& way = this->Ways[1 - side];
  gsTime now = gsLoop::Now();
  while (!way.Chunks.empty() && way.Chunks.front().first <= now) {
    std::string const& chunk = way.Chunks.front().second;
    ssize_t count = send(this->Sockets[side], chunk.data() + way.Offset,
                         chunk.size() - way.Offset, MSG_NOSIGNAL);
    if (count < 0) {
      if (errno != EAGAIN && errno != ENOTCONN) {
        this->Kill();
      }
      return;
    }
    way.Offset += static_cast<std::size_t>(count);
    way.Held -= static_cast<std::size_t>(count);
    if (way.Offset == chunk.size()) {
      way.Chunks.pop_front();
      way.Offset = 0;
    }
  }
  if (way.Chunks.empty() && way.Ended && !way.Closed) {
    way.Closed = true;
    shutdown(this->Sockets[side], SHUT_WR);
  }
}

void Connection::Update()
{
  if (this->Owner.Mode == "hole") {
    this->Watches[0]->Events(0);
    this->Watches[1]->Events(0);
    return;
  }
  std::size_t& limit = this->Owner.BreakAfter;
  if (limit > 0 && this->Carried >= limit) {
    this->WriteTo(1);
    limit = 0;
    this->Kill();
    return;
  }
  gsTime now = gsLoop::Now();
  bool mute = this->Owner.Mode == "mute";
  for (int side = mute ? 1 : 0; side < 2 && !this->Dead; ++side) {
    this->WriteTo(side);
  }
  if (this->Dead) {
    return;
  }
  if (this->Ways[0].Closed && this->Ways[1].Closed) {
    this->Kill();
    return;
  }
  gsTime next{};
  for (int side = 0; side < 2; ++side) {
    Direction const& out = this->Ways[1 - side];
    bool full =
      this->Owner.IsShaped() && this->Ways[side].Held >= MaxShapedBytes;
    bool held = (mute && side == 1) || full;
    int events = this->Ways[side].Ended || held ? 0 : EV_READ;
    if (!out.Chunks.empty() && !(mute && side == 0)) {
      if (out.Chunks.front().first <= now) {
        events |= EV_WRITE;
      } else if (next.count() == 0 || out.Chunks.front().first < next) {
        next = out.Chunks.front().first;
      }
    }
    this->Watches[side]->Events(events);
  }
  if (next.count() > 0) {
    this->Timer->Once(next - now);
  }
}

Link::Link(gsLoop& loop, std::string name, gsJson const& row,
           Machines& machines)
  : Loop(loop)
  , Name(std::move(name))
  , Target(row["target"].get<std::string>())
{
  char const* const ends[] = { "from", "to" };
  for (int side = 0; side < 2; ++side) {
    if (row.contains(ends[side])) {
      this->Ends[side] = &machines[row[ends[side]].get<std::string>()];
    }
  }
  auto listenAt = row["listen"].get<std::string>();
  this->Listener = NewSocket();
  sockaddr_in address = AddressOf(listenAt);
  if (bind(this->Listener, reinterpret_cast<sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(this->Listener, SOMAXCONN) != 0) {
    std::cerr << "Could not listen on " << listenAt << ".\n";
    std::exit(1);
  }
  this->Watch = std::make_unique<gsIoWatch>(loop, this->Listener, EV_READ,
                                            [this](int) { this->Accept(); });
}

bool Link::IsShaped() const
{
  return std::any_of(
    std::begin(this->Ends), std::end(this->Ends), [](Machine const* machine) {
      return machine != nullptr && machine->Sent.BytesPerSecond > 0;
    });
}

gsTime Link::ArrivalOf(std::size_t bytes, int side)
{
  gsTime at = gsLoop::Now();
  if (Machine* sender = this->Ends[side]) {
    at = sender->Sent.Pass(bytes, at);
  }
  if (Machine* receiver = this->Ends[1 - side]) {
    at = receiver->Received.Pass(bytes, at);
  }
  return at + this->Delay;
}

void Link::Accept()
{
  int caller =
    accept4(this->Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (caller < 0) {
    return;
  }
  if (this->Mode == "cut") {
    linger hard{ 1, 0 };
    setsockopt(caller, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    close(caller);
    return;
  }
  int on = 1;
  setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  int target = NewSocket();
  sockaddr_in address = AddressOf(this->Target);
  // It is under way; how it ends shows when the socket is ready.
  static_cast<void>(
    connect(target, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  this->Connections.push_back(
    std::make_unique<Connection>(this->Loop, *this, caller, target));
}

/** Starts or stops to listen; the socket stays bound to its port. One that is
 * shut twice hands its shutdown on to the connections that it accepts. */
void Link::Listen(bool on)
{
  if (on == this->Listens) {
    return;
  }
  this->Listens = on;
  if (on) {
    listen(this->Listener, SOMAXCONN);
  } else {
    shutdown(this->Listener, SHUT_RD);
  }
  this->Watch->Events(on ? EV_READ : 0);
}

void Link::Apply(gsJson const& control)
{
  this->Mode = control.value("mode", this->Mode);
  this->Listen(this->Mode != "refuse" && this->Mode != "closed");
  this->Delay =
    gsMilliseconds(control.value("delay_ms", this->Delay.count() / 1000));
  this->BreakAfter = control.value("break_after", this->BreakAfter);
  if (control.contains("stutter")) {
    this->Stutter.Apply(control["stutter"], this->Name);
  }
  for (auto& connection : this->Connections) {
    if (this->Mode == "cut" || this->Mode == "refuse") {
      connection->Kill();
    } else if (!connection->Dead) {
      connection->Update();
    }
  }
}

void Link::Reap()
{
  static_cast<void>(this->Connections.remove_if(
    [](std::unique_ptr<Connection> const& one) { return one->Dead; }));
}

bool Matches(std::string_view pattern, std::string_view name)
{
  std::size_t star = pattern.find('*');
  if (star == std::string_view::npos) {
    return pattern == name;
  }
  std::string_view const rest = pattern.substr(star + 1);
  if (name.substr(0, star) != pattern.substr(0, star)) {
    return false;
  }
  for (std::size_t at = star; at <= name.size(); ++at) {
    if (Matches(rest, name.substr(at))) {
      return true;
    }
  }
  return false;
}

/** The first pattern that matches no link; empty if each matches one. */
std::string FirstUnmatched(gsJson const& patterns,
                           std::list<Link> const& links)
{
  for (gsJson const& pattern : patterns) {
    auto text = pattern.get<std::string>();
    bool matches =
      std::any_of(links.begin(), links.end(), [&text](Link const& link) {
        return Matches(text, link.Name);
      });
    if (!matches) {
      return text;
    }
  }
  return {};
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("TCP proxy that injects faults.");
  std::string listenAt;
  std::string file;
  app.add_option("--listen", listenAt, "IP:port for control.")->required();
  app
    .add_option("--links", file,
                "JSON file: {NAME: {\"listen\": ..., \"target\": ...}}.")
    ->required();
  CLI11_PARSE(app, argc, argv);
  gsLoop loop;
  Machines machines;
  std::list<Link> links;
  std::ifstream stream(file);
  gsJson const table = gsJson::parse(stream);
  for (auto const& [name, row] : table.items()) {
    links.emplace_back(loop, name, row, machines);
  }
  auto control = [&links,
                  &machines](std::shared_ptr<gsHttpExchange> const& exchange) {
    gsJson body = gsJson::parse(exchange->Body, nullptr, false);
    int changed = 0;
    if (body.is_object() && body.contains("machines")) {
      for (auto const& [name, rate] : body["machines"].items()) {
        machines[name].Sent.BytesPerSecond = rate.get<double>();
        machines[name].Received.BytesPerSecond = rate.get<double>();
        ++changed;
      }
    }
    gsJson const patterns = body.is_object() && body.contains("links")
                              ? body["links"]
                              : gsJson::array();
    std::string const unmatched = FirstUnmatched(patterns, links);
    if (!unmatched.empty()) {
      constexpr unsigned notFound = 404;
      gsAnswerJson(*exchange, { { "unmatched", unmatched } }, notFound);
      return;
    }
    for (gsJson const& pattern : patterns) {
      for (Link& link : links) {
        if (Matches(pattern.get<std::string>(), link.Name)) {
          link.Apply(body);
          ++changed;
        }
      }
    }
    gsAnswerJson(*exchange, { { "changed", changed } });
  };
  return gsServe(loop, listenAt, control);
}
