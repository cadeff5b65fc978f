/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLogRecord.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <iomanip>
#include <sstream>
#include <utility>

namespace {

constexpr std::string_view TimeKey = "ts=";
constexpr int MinutesPerHour = 60;
constexpr int SecondsPerMinute = 60;

bool IsSpace(char c)
{
  return c == ' ' || c == '\t' || c == '\r';
}

std::string_view Trim(std::string_view text)
{
  while (!text.empty() && IsSpace(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && IsSpace(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

/** Where the daemon's own part of a line begins; npos when nowhere. */
std::size_t FindStart(std::string_view line)
{
  std::size_t at = line.find(TimeKey);
  while (at != std::string_view::npos && at > 0 && !IsSpace(line[at - 1])) {
    at = line.find(TimeKey, at + 1);
  }
  return at;
}

bool IsSeparator(char c)
{
  return IsSpace(c) || c == ':' || c == '|';
}

/** The host that a collector named before the line: the last word there. */
std::string HostBefore(std::string_view prefix)
{
  while (!prefix.empty() && IsSeparator(prefix.back())) {
    prefix.remove_suffix(1);
  }
  std::size_t space = prefix.find_last_of(" \t");
  bool only = space == std::string_view::npos;
  return std::string(only ? prefix : prefix.substr(space + 1));
}

/** Takes a value off the front of a text, and its quotes off the value. */
std::string TakeValue(std::string_view& text)
{
  std::string value;
  if (text.empty() || text.front() != '"') {
    std::size_t end = std::min(text.find(' '), text.size());
    value = text.substr(0, end);
    text.remove_prefix(end);
    return value;
  }
  text.remove_prefix(1);
  while (!text.empty() && text.front() != '"') {
    if (text.front() == '\\' && text.size() > 1) {
      text.remove_prefix(1);
    }
    value += text.front();
    text.remove_prefix(1);
  }
  text.remove_prefix(text.empty() ? 0 : 1);
  return value;
}

/** Takes the next pair off the front of a text. */
std::optional<gsLogField> TakeField(std::string_view& text)
{
  text = Trim(text);
  std::size_t sign = text.find('=');
  if (sign == std::string_view::npos || sign == 0 ||
      text.substr(0, sign).find(' ') != std::string_view::npos) {
    return std::nullopt;
  }
  gsLogField field;
  field.Key = text.substr(0, sign);
  text.remove_prefix(sign + 1);
  field.Value = TakeValue(text);
  return field;
}

/** Seconds east of UTC, of "+0130" and the like; zero for "Z". */
int ZoneSeconds(std::string_view zone)
{
  constexpr std::size_t length = 5;
  constexpr int hundred = 100;
  if (zone.size() != length) {
    return 0;
  }
  int digits = 0;
  std::from_chars(zone.data() + 1, zone.data() + length, digits);
  int minutes = digits / hundred * MinutesPerHour + digits % hundred;
  return (zone.front() == '-' ? -1 : 1) * minutes * SecondsPerMinute;
}

/** Time since the epoch, of "2026-01-31T23:59:59.125+0000". */
std::optional<gsTime> ReadTime(std::string const& text)
{
  std::tm parts{};
  std::istringstream stream(text);
  stream >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  if (stream.fail()) {
    return std::nullopt;
  }
  double fraction = 0;
  if (stream.peek() == '.') {
    stream >> fraction;
  }
  std::string zone;
  stream.clear();
  stream >> zone;
  double seconds =
    static_cast<double>(timegm(&parts)) + fraction - ZoneSeconds(zone);
  return gsFromSeconds(seconds);
}

} // namespace

std::optional<gsLogRecord> gsReadLogLine(std::string_view line)
{
  std::size_t start = FindStart(line);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  gsLogRecord record;
  record.Host = HostBefore(line.substr(0, start));
  std::string_view rest = line.substr(start);
  std::optional<gsLogField> time = TakeField(rest);
  std::optional<gsTime> at = time ? ReadTime(time->Value) : std::nullopt;
  if (!at) {
    return std::nullopt;
  }
  record.At = *at;
  while (std::optional<gsLogField> field = TakeField(rest)) {
    if (field->Key == "event") {
      record.Event = std::move(field->Value);
    } else if (field->Key != "level") {
      record.Fields.push_back(std::move(*field));
    }
  }
  if (record.Event.empty()) {
    return std::nullopt;
  }
  return record;
}

std::string_view gsFieldOf(gsLogRecord const& record, std::string_view key)
{
  auto found =
    std::find_if(record.Fields.begin(), record.Fields.end(),
                 [key](gsLogField const& field) { return field.Key == key; });
  return found == record.Fields.end() ? std::string_view() : found->Value;
}

std::optional<double> gsNumberOf(gsLogRecord const& record,
                                 std::string_view key)
{
  std::string_view text = gsFieldOf(record, key);
  double number = 0;
  auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), number);
  bool whole = error == std::errc() && end == text.data() + text.size();
  return whole && !text.empty() ? std::optional<double>(number) : std::nullopt;
}
