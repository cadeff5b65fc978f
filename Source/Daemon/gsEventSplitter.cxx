/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsEventSplitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <strings.h>

#include "gsHeldBytes.h"

namespace {

constexpr std::string_view IdField = "id:";
constexpr std::string_view LineEnds = "\r\n";

/** Removes and returns the first line of a text, without its end. */
std::string_view TakeLine(std::string_view& text)
{
  std::size_t end = std::min(text.find_first_of(LineEnds), text.size());
  std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return line;
}

/** Whether a line is a field of a name in lower case. */
bool IsFieldOf(std::string_view line, std::string_view name)
{
  return line.size() > name.size() && line[name.size()] == ':' &&
         strncasecmp(line.data(), name.data(), name.size()) == 0;
}

/** The id of an event; empty if it has none or the id is not a number. */
std::optional<std::uint64_t> ParseEventId(std::string_view event)
{
  while (!event.empty()) {
    std::string_view line = TakeLine(event);
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

/** Offset just after the line end at an offset; CR, LF or both. */
std::size_t AfterLineEnd(std::string_view text, std::size_t at)
{
  bool isBoth =
    text[at] == '\r' && at + 1 < text.size() && text[at + 1] == '\n';
  return at + (isBoth ? 2 : 1);
}

/** Offset just after the first event that ends after `from`, including its
 * blank line; 0 if the event is incomplete. */
std::size_t FindEventEnd(std::string_view text, std::size_t from)
{
  std::size_t at = text.find_first_of(LineEnds, from);
  while (at != std::string_view::npos) {
    std::size_t next = AfterLineEnd(text, at);
    bool isLoneReturn = text[at] == '\r' && next == at + 1;
    if (next < text.size() && LineEnds.find(text[next]) != std::string::npos) {
      // A CR at the end of the text may be the first half of a line end.
      bool isHalf = text[next] == '\r' && next + 1 == text.size();
      return isHalf && !isLoneReturn ? 0 : AfterLineEnd(text, next);
    }
    at = text.find_first_of(LineEnds, next);
  }
  return 0;
}

} // namespace

bool gsEventSplitter::IsOfOtherAnswer(std::string_view event) const
{
  while (!event.empty() && !this->StopFields.empty()) {
    std::string_view line = TakeLine(event);
    for (std::string_view name : this->StopFields) {
      if (IsFieldOf(line, name)) {
        return true;
      }
    }
  }
  return false;
}

std::string gsEventSplitter::Append(std::string_view bytes)
{
  if (this->Stopped) {
    return {};
  }
  std::string_view text = bytes;
  if (!this->Buffer.empty()) {
    gsAppendCompactly(this->Buffer, bytes);
    text = this->Buffer;
  }
  std::string complete;
  std::size_t begin = 0;
  std::size_t from = this->Scanned;
  std::size_t end = this->FindNextEnd(text, from);
  while (end != 0) {
    std::string_view event = text.substr(begin, end - begin);
    this->Stopped = this->IsOfOtherAnswer(event);
    if (this->Stopped) {
      break;
    }
    std::optional<std::uint64_t> id = ParseEventId(event);
    bool isSkipped = this->Skip && id && *id <= *this->Skip;
    if (!isSkipped) {
      complete.append(event);
      this->Last = id ? id : this->Last;
      ++this->Count;
    } else if (!this->LastDropped || *id > *this->LastDropped) {
      this->LastDropped = id;
      ++this->Dropped;
    }
    begin = end;
    from = end;
    this->HasContent = false;
    end = this->FindNextEnd(text, from);
  }
  if (begin > 0 || this->Buffer.empty()) {
    std::string rest(text.substr(begin));
    this->Buffer.swap(rest);
  }
  // The last two bytes may be the start of an event terminator.
  std::size_t left = this->HasContent ? 2 : 0;
  this->Scanned = this->Buffer.size() - std::min(left, this->Buffer.size());
  return complete;
}

/** Offset just after the next event; 0 if it is incomplete. Line ends before
 * an event are a part of it, so that they alone are no event. */
std::size_t gsEventSplitter::FindNextEnd(std::string_view text,
                                         std::size_t from)
{
  if (!this->HasContent) {
    from = text.find_first_not_of(LineEnds, from);
    this->HasContent = from != std::string_view::npos;
  }
  return this->HasContent ? FindEventEnd(text, from) : 0;
}

bool gsEventSplitter::IsInsideEvent() const
{
  return this->HasContent;
}

std::string gsEventSplitter::TakeRemainder()
{
  this->Scanned = 0;
  this->HasContent = false;
  return std::exchange(this->Buffer, {});
}
