/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLogRecord.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <iomanip>
#include <sstream>
#include <utility>

namespace {

constexpr std::string_view TimePrefix = "ts=";
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

/** Position of the time field, with which the text written by the daemon
 * begins; npos if there is none. */
std::size_t FindTimeField(std::string_view line)
{
  std::size_t at = line.find(TimePrefix);
  while (at != std::string_view::npos && at > 0 && !IsSpace(line[at - 1])) {
    at = line.find(TimePrefix, at + 1);
  }
  return at;
}

bool IsSeparator(char c)
{
  return IsSpace(c) || c == ':' || c == '|';
}

/** Extracts the name of the host from the text that a log collector prepended
 * to the line. \return The last word of the text. */
std::string ParseHost(std::string_view prefix)
{
  while (!prefix.empty() && IsSeparator(prefix.back())) {
    prefix.remove_suffix(1);
  }
  std::size_t space = prefix.find_last_of(" \t");
  bool isSingleWord = space == std::string_view::npos;
  return std::string(isSingleWord ? prefix : prefix.substr(space + 1));
}

/** Parses a value and removes it from the front of the text. Resolves quotes
 * and escapes. */
std::string ConsumeValue(std::string_view& text)
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

/** Parses a key=value pair and removes it from the front of the text.
 * \return Empty if the text does not begin with a pair. */
std::optional<gsLogField> ConsumeField(std::string_view& text)
{
  text = Trim(text);
  std::size_t equalsSign = text.find('=');
  if (equalsSign == std::string_view::npos || equalsSign == 0 ||
      text.substr(0, equalsSign).find(' ') != std::string_view::npos) {
    return std::nullopt;
  }
  gsLogField field;
  field.Key = text.substr(0, equalsSign);
  text.remove_prefix(equalsSign + 1);
  field.Value = ConsumeValue(text);
  return field;
}

/** Parses an offset from UTC such as "+0130". \return Seconds east of UTC;
 * zero for "Z" and for texts of any other length. */
int ParseUtcOffset(std::string_view offset)
{
  constexpr std::size_t length = 5;
  constexpr int hourFactor = 100;
  if (offset.size() != length) {
    return 0;
  }
  int digits = 0;
  std::from_chars(offset.data() + 1, offset.data() + length, digits);
  int minutes = digits / hourFactor * MinutesPerHour + digits % hourFactor;
  return (offset.front() == '-' ? -1 : 1) * minutes * SecondsPerMinute;
}

/** Parses a time such as "2026-01-31T23:59:59.125+0000". \return Time since
 * the epoch. */
std::optional<gsTime> ParseTime(std::string const& text)
{
  std::tm calendarTime{};
  std::istringstream stream(text);
  stream >> std::get_time(&calendarTime, "%Y-%m-%dT%H:%M:%S");
  if (stream.fail()) {
    return std::nullopt;
  }
  double fraction = 0;
  if (stream.peek() == '.') {
    stream >> fraction;
  }
  std::string offset;
  stream.clear();
  stream >> offset;
  double seconds = static_cast<double>(timegm(&calendarTime)) + fraction -
                   ParseUtcOffset(offset);
  return gsFromSeconds(seconds);
}

} // namespace

std::optional<gsLogRecord> gsParseLogLine(std::string_view line)
{
  std::size_t start = FindTimeField(line);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  gsLogRecord record;
  record.Host = ParseHost(line.substr(0, start));
  std::string_view remaining = line.substr(start);
  std::optional<gsLogField> timeField = ConsumeField(remaining);
  std::optional<gsTime> time =
    timeField ? ParseTime(timeField->Value) : std::nullopt;
  if (!time) {
    return std::nullopt;
  }
  record.Timestamp = *time;
  while (std::optional<gsLogField> field = ConsumeField(remaining)) {
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

std::string_view gsLogFieldValue(gsLogRecord const& record,
                                 std::string_view key)
{
  auto found =
    std::find_if(record.Fields.begin(), record.Fields.end(),
                 [key](gsLogField const& field) { return field.Key == key; });
  return found == record.Fields.end() ? std::string_view() : found->Value;
}

std::optional<double> gsLogFieldNumber(gsLogRecord const& record,
                                       std::string_view key)
{
  std::string_view text = gsLogFieldValue(record, key);
  double number = 0;
  auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), number);
  bool isNumber = error == std::errc() && end == text.data() + text.size();
  return isNumber && !text.empty() ? std::optional<double>(number)
                                   : std::nullopt;
}
