/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRawCaller.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr unsigned FirstFinalStatus = 200;

/** Removes the framing of chunks. \return Whether the last one has come. */
bool DecodeChunks(std::string_view bytes, std::string& body)
{
  constexpr int hexadecimal = 16;
  for (;;) {
    std::size_t line = bytes.find(LineEnd);
    if (line == std::string_view::npos) {
      return false;
    }
    std::string size(bytes.substr(0, line));
    std::size_t length = std::strtoul(size.c_str(), nullptr, hexadecimal);
    bytes.remove_prefix(line + LineEnd.size());
    if (length == 0) {
      return bytes.substr(0, LineEnd.size()) == LineEnd;
    }
    body.append(bytes.substr(0, length));
    if (bytes.size() < length + LineEnd.size()) {
      return false;
    }
    bytes.remove_prefix(length + LineEnd.size());
  }
}

void ParseHead(std::string_view head, gsRawAnswer& answer)
{
  std::size_t space = head.find(' ');
  std::string status(head.substr(space + 1, 3));
  answer.Status = static_cast<unsigned>(std::atoi(status.c_str()));
  for (std::size_t at = head.find(LineEnd); at != std::string_view::npos;) {
    std::size_t next = head.find(LineEnd, at + LineEnd.size());
    std::string_view line =
      head.substr(at + LineEnd.size(), next - at - LineEnd.size());
    std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
      std::string name(line.substr(0, colon));
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      std::size_t value = line.find_first_not_of(' ', colon + 1);
      answer.Headers[name] =
        value == std::string_view::npos ? "" : line.substr(value);
    }
    at = next;
  }
  answer.HasChunks = answer.Headers["transfer-encoding"] == "chunked";
  answer.HasLength = answer.Headers.count("content-length") != 0;
}

} // namespace

gsRawAnswer gsParseRawAnswer(std::string_view bytes)
{
  gsRawAnswer answer;
  while (answer.Status < FirstFinalStatus) {
    std::size_t end = bytes.find(HeadEnd);
    if (end == std::string_view::npos) {
      return {};
    }
    answer = {};
    ParseHead(bytes.substr(0, end), answer);
    bytes.remove_prefix(end + HeadEnd.size());
  }
  if (answer.HasChunks) {
    answer.StatesItsEnd = DecodeChunks(bytes, answer.Body);
    return answer;
  }
  answer.Body = bytes;
  answer.StatesItsEnd = answer.HasLength && std::to_string(bytes.size()) ==
                                              answer.Headers["content-length"];
  return answer;
}

std::vector<gsRawAnswer> gsParseRawAnswers(std::string_view bytes)
{
  std::vector<gsRawAnswer> answers;
  for (;;) {
    gsRawAnswer answer = gsParseRawAnswer(bytes);
    if (answer.Status == 0) {
      return answers;
    }
    std::size_t end = bytes.find(HeadEnd);
    while (bytes.substr(0, end).find(" 1") == bytes.find(' ')) {
      bytes.remove_prefix(end + HeadEnd.size()); // An interim answer.
      end = bytes.find(HeadEnd);
    }
    bytes.remove_prefix(end + HeadEnd.size());
    bool hasNoBody = answer.Status == 204 || answer.Status == 304;
    std::size_t size = bytes.size();
    if (answer.HasChunks) {
      size = std::min(size, bytes.find("0\r\n\r\n") + 5);
    } else if (answer.HasLength && !hasNoBody) {
      size = std::min<std::size_t>(
        size, std::stoul(answer.Headers["content-length"]));
    } else if (hasNoBody) {
      size = 0;
    }
    if (!answer.HasChunks) {
      answer.Body = bytes.substr(0, size);
      answer.StatesItsEnd =
        hasNoBody || (answer.HasLength && answer.Headers["content-length"] ==
                                            std::to_string(size));
    }
    bytes.remove_prefix(size);
    answers.push_back(std::move(answer));
  }
}

gsRawCaller::gsRawCaller(gsLoop& loop, std::uint16_t port,
                         std::string_view request)
  : Descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  static_cast<void>(connect(
    this->Descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  send(this->Descriptor, request.data(), request.size(), MSG_NOSIGNAL);
  this->Watch = std::make_unique<gsIoWatch>(
    loop, this->Descriptor, EV_READ,
    [this](int /*events*/) { this->OnReadable(); });
}

gsRawCaller::~gsRawCaller()
{
  this->Watch.reset();
  close(this->Descriptor);
}

void gsRawCaller::Send(std::string_view bytes) const
{
  send(this->Descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void gsRawCaller::CloseSending()
{
  shutdown(this->Descriptor, SHUT_WR);
}

void gsRawCaller::OnReadable()
{
  std::array<char, 4096> buffer{};
  ssize_t count =
    recv(this->Descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count > 0) {
    this->Bytes.append(buffer.data(), static_cast<std::size_t>(count));
    return;
  }
  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    return;
  }
  this->EndSeen = count == 0 ? End::Closed : End::Reset;
  this->Watch->Events(0);
}

bool gsRawCaller::Done() const
{
  return this->EndSeen != End::Open || this->Answer().StatesItsEnd;
}

bool gsRawCaller::LooksComplete() const
{
  gsRawAnswer answer = this->Answer();
  bool isUnframed =
    answer.Status != 0 && !answer.HasLength && !answer.HasChunks;
  return answer.StatesItsEnd || (isUnframed && this->EndSeen == End::Closed);
}
