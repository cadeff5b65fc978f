/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsScriptedUpstream.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

std::string Lower(std::string text)
{
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Hex(std::size_t number)
{
  std::ostringstream text;
  text << std::hex << number;
  return text.str();
}

} // namespace

gsScriptedUpstream::Connection::Connection(gsScriptedUpstream& owner,
                                           int descriptor)
  : Owner(owner)
  , Descriptor(descriptor)
  , Watch(std::make_unique<gsIoWatch>(
      owner.Loop, descriptor, EV_READ,
      [this](int events) { this->OnEvents(events); }))
{
}

gsScriptedUpstream::Connection::~Connection()
{
  this->Close();
}

void gsScriptedUpstream::Connection::Write(std::string_view bytes)
{
  if (this->Descriptor >= 0) {
    this->Output.append(bytes);
    this->SendOutput();
  }
}

/** Sends what the kernel takes, and the rest when it takes more. */
void gsScriptedUpstream::Connection::SendOutput()
{
  ssize_t count = send(this->Descriptor, this->Output.data(),
                       this->Output.size(), MSG_NOSIGNAL);
  if (count > 0) {
    this->Output.erase(0, static_cast<std::size_t>(count));
  }
  this->Watch->Events(this->Output.empty() ? EV_READ : EV_READ | EV_WRITE);
}

void gsScriptedUpstream::Connection::OnEvents(int events)
{
  if ((events & EV_WRITE) != 0) {
    this->SendOutput();
  }
  if ((events & EV_READ) == 0) {
    return;
  }
  if (this->Owner.ReadsRequests) {
    this->OnReadable();
  } else {
    this->Watch->Events(0);
  }
}

void gsScriptedUpstream::Connection::Close()
{
  if (this->Descriptor >= 0) {
    this->Watch->Events(0);
    close(this->Descriptor);
    this->Descriptor = -1;
  }
}

void gsScriptedUpstream::Connection::Reset()
{
  linger reset{ 1, 0 };
  setsockopt(this->Descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  this->Close();
}

void gsScriptedUpstream::Connection::OnReadable()
{
  constexpr std::size_t block = 65536;
  std::string bytes(block, '\0');
  ssize_t count = recv(this->Descriptor, bytes.data(), block, MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    return;
  }
  if (count <= 0) {
    this->Close();
    return;
  }
  this->Input.append(bytes, 0, static_cast<std::size_t>(count));
  while (!this->Gone() && this->TakeRequest()) {
  }
}

bool gsScriptedUpstream::Connection::TakeRequest()
{
  std::size_t end = this->Input.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  gsScriptedRequest request;
  std::istringstream head(this->Input.substr(0, end + 2));
  std::string line;
  std::getline(head, line);
  std::size_t method = line.find(' ');
  std::size_t version = line.rfind(' ');
  request.Method = line.substr(0, method);
  request.Target = line.substr(method + 1, version - method - 1);
  while (std::getline(head, line)) {
    std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of("\r\n ") + 1);
    request.Headers[Lower(line.substr(0, colon))] = value;
  }
  std::size_t length =
    std::strtoul(request.Header("content-length").c_str(), nullptr, 10);
  constexpr std::size_t blank = 4;
  if (this->Input.size() < end + blank + length) {
    return false;
  }
  request.Body = this->Input.substr(end + blank, length);
  this->Input.erase(0, end + blank + length);
  this->Owner.Requests.push_back(request);
  for (ConnectionPtr const& connection : this->Owner.Connections) {
    if (connection.get() == this) {
      ConnectionPtr keep = connection;
      this->Owner.Run(keep, request);
      break;
    }
  }
  return true;
}

gsScriptedUpstream::gsScriptedUpstream(gsLoop& loop, std::string id,
                                       Script script)
  : Loop(loop)
  , Name(std::move(id))
  , Run(std::move(script))
  , Listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(this->Listener, generic, sizeof(address)) != 0 ||
      listen(this->Listener, SOMAXCONN) != 0) {
    throw std::runtime_error("no free address");
  }
  socklen_t length = sizeof(address);
  getsockname(this->Listener, generic, &length);
  this->Bound = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  this->Watch = std::make_unique<gsIoWatch>(
    loop, this->Listener, EV_READ,
    [this](int /*events*/) { this->OnAcceptable(); });
}

gsScriptedUpstream::~gsScriptedUpstream()
{
  this->Watch.reset();
  close(this->Listener);
}

void gsScriptedUpstream::OnAcceptable()
{
  int descriptor =
    accept4(this->Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor >= 0) {
    // What is written arrives before the script goes on.
    int enable = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    this->Connections.push_back(
      std::make_shared<Connection>(*this, descriptor));
  }
}

std::string gsWholeAnswer(gsScriptedRequest const& request,
                          std::string_view body, unsigned status,
                          std::string_view extraHeaders)
{
  std::ostringstream text;
  text << "HTTP/1.1 " << status
       << " Word\r\nGradescale-Attempt-Id: " << request.Id()
       << "\r\nGradescale-Response-Signature: sig-" << request.Id() << "\r\n"
       << extraHeaders << "Content-Length: " << body.size() << "\r\n\r\n"
       << body;
  return text.str();
}

std::string gsStreamHead(gsScriptedRequest const& request)
{
  return "HTTP/1.1 200 OK\r\nGradescale-Attempt-Id: " + request.Id() +
         "\r\nGradescale-Response-Signature: sig-" + request.Id() +
         "\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string gsChunk(std::string_view bytes)
{
  std::string chunk = Hex(bytes.size()) + "\r\n";
  chunk += bytes;
  return chunk + "\r\n";
}

std::string gsEvent(std::uint64_t id, std::string_view data)
{
  std::string event = "id: " + std::to_string(id) + "\ndata: ";
  event += data;
  return event + "\n\n";
}
