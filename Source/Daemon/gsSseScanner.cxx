/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsSseScanner.h"

namespace {

/** Where the first whole event of the text ends; npos if there is none. */
std::size_t EventEnd(std::string_view text)
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

std::string gsSseScanner::Feed(std::string_view bytes)
{
  std::string whole;
  if (this->Ended) {
    return whole;
  }
  this->Partial.append(bytes);
  std::string_view rest = this->Partial;
  std::size_t end = EventEnd(rest);
  while (end != std::string_view::npos && !this->Ended) {
    std::string_view event = rest.substr(0, end);
    this->Ended =
      StartsWith(event, "data: [DONE]") || StartsWith(event, "data:[DONE]");
    if (!this->Ended && StartsWith(event, "data:")) {
      ++this->Count;
    }
    whole.append(event);
    rest.remove_prefix(end);
    end = EventEnd(rest);
  }
  this->Partial.erase(0, this->Partial.size() - rest.size());
  return whole;
}
