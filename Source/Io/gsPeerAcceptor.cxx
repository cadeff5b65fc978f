/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsPeerAcceptor.h"

#include <cerrno>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <ev.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "gsHttpServer.h"

namespace {

constexpr int Backlog = 512;
constexpr gsTime PauseTime = gsMilliseconds(200);

/** Inode of a socket; zero if the descriptor is closed. */
ino_t InodeOf(int descriptor)
{
  struct stat status = {};
  return fstat(descriptor, &status) == 0 ? status.st_ino : 0;
}

gsError ListenError(std::string const& address)
{
  return { "listen_failed",
           "Could not listen on " + address + ": " + std::strerror(errno) +
             ".",
           "listen", address };
}

} // namespace

gsResult<std::unique_ptr<gsPeerAcceptor>> gsPeerAcceptor::Start(
  gsLoop& loop, std::string const& address, std::size_t limit, Handler handler)
{
  gsResult<std::pair<std::string, std::uint16_t>> split =
    gsSplitAddress(address);
  if (!split) {
    return split.error();
  }
  int listener =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (listener < 0) {
    return ListenError(address);
  }
  int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  setsockopt(listener, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(split.value().second);
  inet_pton(AF_INET, split.value().first.c_str(), &to.sin_addr);
  if (bind(listener, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0 ||
      listen(listener, Backlog) != 0) {
    gsError error = ListenError(address);
    close(listener);
    return error;
  }
  return std::unique_ptr<gsPeerAcceptor>(
    new gsPeerAcceptor(loop, listener, limit, std::move(handler)));
}

gsPeerAcceptor::gsPeerAcceptor(gsLoop& loop, int listener, std::size_t limit,
                               Handler handler)
  : Listener(listener)
  , Limit(limit)
  , Handle(std::move(handler))
  , Watch(loop, listener, EV_READ, [this](int /*events*/) { this->Accept(); })
  , Timer(loop, [this] { this->Watch.Events(EV_READ); })
{
}

gsPeerAcceptor::~gsPeerAcceptor()
{
  this->Watch.Events(0);
  close(this->Listener);
}

void gsPeerAcceptor::Accept()
{
  if (this->Accepted.size() >= this->Limit) {
    this->ForgetClosed();
  }
  if (this->Accepted.size() >= this->Limit) {
    this->Pause();
    return;
  }
  int descriptor =
    accept4(this->Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor >= 0) {
    this->Accepted[descriptor] = InodeOf(descriptor);
    this->Handle(descriptor);
  } else if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
    this->Pause();
  }
}

void gsPeerAcceptor::ForgetClosed()
{
  for (auto each = this->Accepted.begin(); each != this->Accepted.end();) {
    each = InodeOf(each->first) == each->second ? std::next(each)
                                                : this->Accepted.erase(each);
  }
}

/** Leaves those that wait to the kernel for a while. */
void gsPeerAcceptor::Pause()
{
  this->Watch.Events(0);
  this->Timer.Once(PauseTime);
}
