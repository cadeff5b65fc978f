/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsAnswerFraming.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <optional>

#include <strings.h>

namespace {

/** Whether one header of the name is there, and its value; none if there is
 * none, or another one. */
std::optional<std::string_view> SingleHeader(gsHeaders const& headers,
                                             std::string_view name)
{
  std::optional<std::string_view> value;
  for (auto const& [key, text] : headers) {
    if (key != name) {
      continue;
    }
    if (value) {
      return std::nullopt;
    }
    value = text;
  }
  return value;
}

std::optional<std::uint64_t> StatedLength(gsHeaders const& headers)
{
  auto text = SingleHeader(headers, "content-length");
  std::uint64_t length = 0;
  if (!text || text->empty()) {
    return std::nullopt;
  }
  char const* last = text->data() + text->size();
  auto [end, error] = std::from_chars(text->data(), last, length);
  if (error != std::errc() || end != last) {
    return std::nullopt;
  }
  return length;
}

/** Whether chunks are the only coding. */
bool IsChunked(gsHeaders const& headers)
{
  auto coding = SingleHeader(headers, "transfer-encoding");
  return coding && strcasecmp(std::string(*coding).c_str(), "chunked") == 0;
}

} // namespace

gsAnswerFraming::gsAnswerFraming(gsBodyEnd end, gsHeaders const& headers)
{
  bool isLength = !gsFindHeader(headers, "content-length").empty();
  if (end == gsBodyEnd::Status) {
    this->At = State::Complete;
  } else if (end == gsBodyEnd::Chunks && !isLength && IsChunked(headers)) {
    this->At = State::SizeStart;
  } else if (end == gsBodyEnd::Length) {
    std::optional<std::uint64_t> length = StatedLength(headers);
    if (length) {
      this->Left = *length;
      this->At = *length == 0 ? State::Complete : State::Length;
    }
  }
}

void gsAnswerFraming::Take(std::string_view bytes)
{
  this->Taken += bytes.size();
  while (!bytes.empty()) {
    if (this->At == State::Length || this->At == State::Chunk) {
      std::size_t part = std::min<std::uint64_t>(this->Left, bytes.size());
      bytes.remove_prefix(part);
      this->Left -= part;
      if (this->Left == 0) {
        this->At =
          this->At == State::Length ? State::Complete : State::ChunkReturn;
      }
      continue;
    }
    this->TakeFramed(bytes.front());
    bytes.remove_prefix(1);
  }
}

/** Takes a byte that is not one of the body's own. */
void gsAnswerFraming::TakeFramed(char byte)
{
  bool isSize = this->At == State::SizeStart || this->At == State::Size;
  if (isSize && std::isxdigit(static_cast<unsigned char>(byte)) != 0) {
    this->TakeDigit(byte);
    return;
  }
  bool isFirst = this->At == State::SizeLineFeed;
  this->At = After(this->At, byte);
  if (isFirst && this->At == State::Chunk && this->Left == 0) {
    this->At = State::TrailerStart;
  }
}

void gsAnswerFraming::TakeDigit(char byte)
{
  constexpr std::uint64_t base = 16;
  if (this->Left > std::numeric_limits<std::uint64_t>::max() / base) {
    this->At = State::Endless;
    return;
  }
  unsigned digit = 0;
  std::from_chars(&byte, &byte + 1, digit, base);
  this->Left = this->Left * base + digit;
  this->At = State::Size;
}

/** The state after a byte that frames a chunk and is no digit of its size. */
gsAnswerFraming::State gsAnswerFraming::After(State at, char byte)
{
  bool isReturn = byte == '\r';
  bool isLineFeed = byte == '\n';
  switch (at) {
    case State::Size:
      if (isReturn) {
        return State::SizeLineFeed;
      }
      return byte == ';' ? State::Extension : State::Endless;
    case State::Extension:
      if (isReturn) {
        return State::SizeLineFeed;
      }
      return isLineFeed ? State::Endless : State::Extension;
    case State::SizeLineFeed:
      return isLineFeed ? State::Chunk : State::Endless;
    case State::ChunkReturn:
      return isReturn ? State::ChunkLineFeed : State::Endless;
    case State::ChunkLineFeed:
      return isLineFeed ? State::SizeStart : State::Endless;
    case State::TrailerStart:
      if (isReturn) {
        return State::LastLineFeed;
      }
      return isLineFeed ? State::Endless : State::Trailer;
    case State::Trailer:
      if (isReturn) {
        return State::TrailerLineFeed;
      }
      return isLineFeed ? State::Endless : State::Trailer;
    case State::TrailerLineFeed:
      return isLineFeed ? State::TrailerStart : State::Endless;
    case State::LastLineFeed:
      return isLineFeed ? State::Complete : State::Endless;
    case State::Endless:
    case State::Length:
    case State::SizeStart:
    case State::Chunk:
    case State::Complete:
      break;
  }
  return State::Endless;
}
