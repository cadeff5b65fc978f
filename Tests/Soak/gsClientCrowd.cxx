/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsClientCrowd.h"

#include <algorithm>
#include <cerrno>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <ev.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

/** Bytes that a client offers at once, so that all clients come on together.
 */
constexpr std::size_t SendBlock = 16U << 10U;

void AllowDescriptors()
{
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

int Connect(std::string const& address, gsCrowdReading reading)
{
  int descriptor =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    throw std::runtime_error("no descriptor for a client");
  }
  if (reading == gsCrowdReading::Nothing) {
    int size = 4096;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  }
  std::size_t colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port =
    htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  static_cast<void>(
    connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof(to)));
  return descriptor;
}

} // namespace

std::string gsUnfinishedRequest(std::string const& path,
                                gsCrowdBody const& body)
{
  std::ostringstream request;
  request << "POST " << path
          << " HTTP/1.1\r\nHost: service.example\r\n"
             "Gradescale-Attempt-Id: crowd\r\n"
             "Gradescale-Deadline-Ms: 8000\r\n"
             "Authorization: Token key-one\r\n";
  if (body.ChunkBytes == 0) {
    request << "Content-Length: " << body.Bytes << "\r\n\r\n"
            << std::string(body.Bytes - body.MissingBytes, 'x');
    return request.str();
  }
  request << "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t sent = 0; sent < body.Bytes; sent += body.ChunkBytes) {
    std::size_t size = std::min(body.ChunkBytes, body.Bytes - sent);
    request << std::hex << size << "\r\n" << std::string(size, 'x') << "\r\n";
  }
  if (body.MissingBytes == 0) {
    request << "0\r\n\r\n";
  }
  return request.str();
}

gsClientCrowd::gsClientCrowd(gsLoop& loop, std::string const& address,
                             std::size_t clients, std::string bytes,
                             gsCrowdReading reading)
  : Bytes(std::move(bytes))
  , Reading(reading)
{
  AllowDescriptors();
  this->Clients.reserve(clients);
  for (std::size_t i = 0; i < clients; ++i) {
    auto client = std::make_unique<Client>();
    Client* raw = client.get();
    client->Descriptor = Connect(address, reading);
    client->Watch =
      std::make_unique<gsIoWatch>(loop, client->Descriptor, EV_READ | EV_WRITE,
                                  [this, raw](int) { this->OnEvent(*raw); });
    this->Clients.push_back(std::move(client));
  }
}

gsClientCrowd::~gsClientCrowd()
{
  this->Leave();
}

std::size_t gsClientCrowd::Sending() const
{
  return static_cast<std::size_t>(std::count_if(
    this->Clients.begin(), this->Clients.end(), [this](auto const& client) {
      return !client->Ended && client->Sent < this->Bytes.size();
    }));
}

std::size_t gsClientCrowd::Open() const
{
  return static_cast<std::size_t>(
    std::count_if(this->Clients.begin(), this->Clients.end(),
                  [](auto const& client) { return !client->Ended; }));
}

void gsClientCrowd::Leave()
{
  for (auto& client : this->Clients) {
    client->Watch.reset();
    close(client->Descriptor);
  }
  this->Clients.clear();
}

void gsClientCrowd::OnEvent(Client& client)
{
  if (this->Reading == gsCrowdReading::Nothing) {
    this->SendMore(client);
    return;
  }
  char buffer[4096];
  ssize_t count = recv(client.Descriptor, buffer, sizeof(buffer), 0);
  this->ReceivedBytes += count > 0 ? static_cast<std::uint64_t>(count) : 0;
  bool waits = count < 0 &&
               (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN);
  if (count == 0 || (count < 0 && !waits)) {
    client.Ended = true;
    client.Watch->Events(0);
    return;
  }
  this->SendMore(client);
}

void gsClientCrowd::SendMore(Client& client)
{
  std::size_t size = std::min(SendBlock, this->Bytes.size() - client.Sent);
  if (size > 0) {
    ssize_t count = send(client.Descriptor, this->Bytes.data() + client.Sent,
                         size, MSG_NOSIGNAL);
    if (count > 0) {
      client.Sent += static_cast<std::size_t>(count);
      this->SentBytes += static_cast<std::uint64_t>(count);
    }
  }
  bool isSent = client.Sent == this->Bytes.size();
  int reads = this->Reading == gsCrowdReading::All ? EV_READ : 0;
  client.Watch->Events(isSent ? reads : reads | EV_WRITE);
}
