/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsSseParser.h"

namespace {

/** Offset just after the first complete event; npos if there is none. */
std::size_t FindEventEnd(std::string_view text)
{
  std::size_t unixEnd = text.find("\n\n");
  std::size_t dosEnd = text.find("\r\n\r\n");
  if (unixEnd == std::string_view::npos && dosEnd == std::string_view::npos) {
    return std::string_view::npos;
  }
  return unixEnd < dosEnd ? unixEnd + 2 : dosEnd + 4;
}

bool StartsWith(std::string_view text, std::string_view prefix)
{
  return text.substr(0, prefix.size()) == prefix;
}

} // namespace

std::string gsSseParser::Append(std::string_view bytes)
{
  std::string complete;
  if (this->Ended) {
    return complete;
  }
  this->Partial.append(bytes);
  std::string_view remaining = this->Partial;
  std::size_t end = FindEventEnd(remaining);
  while (end != std::string_view::npos && !this->Ended) {
    std::string_view event = remaining.substr(0, end);
    this->Ended =
      StartsWith(event, "data: [DONE]") || StartsWith(event, "data:[DONE]");
    if (!this->Ended && StartsWith(event, "data:")) {
      ++this->Count;
    }
    complete.append(event);
    remaining.remove_prefix(end);
    end = FindEventEnd(remaining);
  }
  this->Partial.erase(0, this->Partial.size() - remaining.size());
  return complete;
}
