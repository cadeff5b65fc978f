/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsEventSplitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace {

constexpr std::string_view IdField = "id:";

/** The id that an event carries, if it carries one. */
std::optional<std::uint64_t> IdOf(std::string_view event)
{
  std::size_t start = 0;
  while (start < event.size()) {
    std::size_t end = std::min(event.find('\n', start), event.size());
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (line.substr(0, IdField.size()) != IdField) {
      continue;
    }
    line.remove_prefix(IdField.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    std::uint64_t id = 0;
    auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

/** Length of the first event, its blank line included; 0 if not whole. */
std::size_t EventLength(std::string_view text, std::size_t from)
{
  std::size_t feed = text.find('\n', from);
  while (feed != std::string_view::npos) {
    std::size_t next = feed + 1;
    if (next < text.size() && text[next] == '\r') {
      ++next;
    }
    if (next < text.size() && text[next] == '\n') {
      return next + 1;
    }
    feed = text.find('\n', feed + 1);
  }
  return 0;
}

} // namespace

std::string gsEventSplitter::Feed(std::string_view bytes)
{
  this->Buffer.append(bytes);
  std::string whole;
  std::size_t begin = 0;
  std::string_view text = this->Buffer;
  std::size_t from = this->Scanned;
  std::size_t length = EventLength(text, from);
  while (length != 0) {
    std::string_view event = text.substr(begin, length - begin);
    std::optional<std::uint64_t> id = IdOf(event);
    bool known = this->Skip && id && *id <= *this->Skip;
    if (!known) {
      whole.append(event);
      this->Last = id ? id : this->Last;
      ++this->Count;
    }
    begin = length;
    length = EventLength(text, begin);
  }
  this->Buffer.erase(0, begin);
  // The last two bytes may be the beginning of an event's end.
  this->Scanned = this->Buffer.size() < 2 ? 0 : this->Buffer.size() - 2;
  return whole;
}

std::string gsEventSplitter::TakeRest()
{
  this->Scanned = 0;
  return std::exchange(this->Buffer, {});
}
