/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRequestHead.h"

#include <algorithm>

namespace {

bool IsDigit(unsigned char byte)
{
  return byte >= '0' && byte <= '9';
}

bool IsTokenByte(unsigned char byte)
{
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
         IsDigit(byte) ||
         marks.find(static_cast<char>(byte)) != std::string_view::npos;
}

bool IsValueByte(unsigned char byte)
{
  constexpr unsigned char space = 0x20;
  constexpr unsigned char del = 0x7f;
  return byte == '\t' || (byte >= space && byte != del);
}

template<typename Predicate>
bool ConsistsOf(std::string_view text, Predicate const& predicate)
{
  return std::all_of(text.begin(), text.end(), predicate);
}

bool EqualsIgnoringCase(std::string_view text, std::string_view lower)
{
  auto same = [](unsigned char a, unsigned char b) {
    return (a >= 'A' && a <= 'Z' ? a - 'A' + 'a' : a) == b;
  };
  return std::equal(text.begin(), text.end(), lower.begin(), lower.end(),
                    same);
}

/** Without the whitespace around it. */
std::string_view Trim(std::string_view text)
{
  constexpr std::string_view blanks = " \t";
  std::size_t first = text.find_first_not_of(blanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace

std::optional<std::string_view> gsFindHeadFault(gsHeaderViews const& headers,
                                                bool readsChunks)
{
  int lengths = 0;
  int codings = 0;
  int hosts = 0;
  for (auto const& [name, value] : headers) {
    if (name.empty() || !ConsistsOf(name, IsTokenByte)) {
      return "the name of a header is malformed.";
    }
    if (!ConsistsOf(value, IsValueByte)) {
      return "a header holds a control character.";
    }
    std::string_view text = Trim(value);
    if (EqualsIgnoringCase(name, "content-length")) {
      ++lengths;
      if (text.empty() || !ConsistsOf(text, IsDigit)) {
        return "the length of its body is no number.";
      }
    } else if (EqualsIgnoringCase(name, "transfer-encoding")) {
      ++codings;
      if (!readsChunks || !EqualsIgnoringCase(text, "chunked")) {
        return "the coding of its body is not supported.";
      }
    } else if (EqualsIgnoringCase(name, "host")) {
      ++hosts;
    }
  }
  if (lengths + codings > 1) {
    return "the end of its body is stated twice.";
  }
  if (hosts > 1) {
    return "it names two hosts.";
  }
  return std::nullopt;
}
