/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsFieldReader.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace {

/** Maximum edit distance of a suggested spelling. */
constexpr std::size_t MaxEditDistance = 2;
/** Maximum length of a value in an error message; the rest is cut off. */
constexpr std::size_t MaxShownBytes = 60;

/** Levenshtein distance of two words. */
std::size_t EditDistance(std::string_view a, std::string_view b)
{
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      std::size_t substitute = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substitute });
    }
  }
  return row[b.size()];
}

/** The value as JSON for an error message, truncated to MaxShownBytes. */
std::string FormatValue(gsJson const& value)
{
  std::string text =
    value.dump(-1, ' ', false, gsJson::error_handler_t::replace);
  if (text.size() > MaxShownBytes) {
    text = text.substr(0, MaxShownBytes) + "...";
  }
  return text;
}

/** Formats a number without trailing zeros. */
std::string FormatNumber(double value)
{
  if (value == std::floor(value) && std::abs(value) < 1e15) {
    return std::to_string(static_cast<std::int64_t>(value));
  }
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  return text;
}

/** Describes the expected value of a number for an error message. */
std::string DescribeRange(char const* type, gsRange range)
{
  return std::string(type) + " from " + FormatNumber(range.Min) + " to " +
         FormatNumber(range.Max);
}

/** Whether a text has the form IP:port. Of the IP address only the characters
 * and the number of dots are checked. */
bool HasAddressFormat(std::string const& text)
{
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == text.size()) {
    return false;
  }
  auto digit = [](unsigned char c) { return std::isdigit(c) != 0; };
  auto digitOrDot = [](unsigned char c) {
    return std::isdigit(c) != 0 || c == '.';
  };
  constexpr std::size_t maxPortDigits = 5;
  constexpr int maxPort = 65535;
  auto dots = std::count(text.begin(), text.end(), '.');
  std::string port = text.substr(colon + 1);
  return dots == 3 && port.size() <= maxPortDigits &&
         std::all_of(text.begin(), text.begin() + static_cast<long>(colon),
                     digitOrDot) &&
         std::all_of(port.begin(), port.end(), digit) &&
         std::stoi(port) <= maxPort;
}

} // namespace

std::optional<std::string> gsSuggestSpelling(
  std::string_view word, std::vector<std::string> const& candidates)
{
  std::optional<std::string> best;
  std::size_t bestDistance = MaxEditDistance + 1;
  for (std::string const& candidate : candidates) {
    std::size_t distance = EditDistance(word, candidate);
    if (distance < bestDistance && distance < candidate.size()) {
      best = candidate;
      bestDistance = distance;
    }
  }
  return best;
}

gsResult<gsJson> gsParseJson(std::string_view text, std::string_view source)
{
  try {
    return gsJson::parse(text, nullptr, true, true);
  } catch (gsJson::parse_error const& error) {
    auto end =
      text.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(
                       error.byte > 0 ? error.byte - 1 : 0, text.size()));
    auto line = std::count(text.begin(), end, '\n') + 1;
    std::string what = error.what();
    std::size_t detail = what.find(": syntax error");
    what = detail == std::string::npos ? what : what.substr(detail + 2);
    return gsError{ "bad_json",
                    std::string(source) + ", line " + std::to_string(line) +
                      ": this is not JSON: " + what + ".",
                    "parse", std::string(source) };
  }
}

gsFieldReader::gsFieldReader(gsJson const& object, std::string source,
                             std::string path)
  : Value(object)
  , Source(std::move(source))
  , Path(std::move(path))
{
  if (!object.is_object()) {
    this->FirstError =
      gsError{ "bad_value",
               this->Source + ": " +
                 (this->Path.empty() ? "the file" : this->Path) + " is " +
                 FormatValue(object) + "; expected an object.",
               "check", this->Source };
  }
}

std::string gsFieldReader::PathOf(std::string const& name) const
{
  return this->Path.empty() ? name : this->Path + "." + name;
}

bool gsFieldReader::Has(std::string const& name) const
{
  return this->Value.is_object() && this->Value.contains(name);
}

void gsFieldReader::ReportError(std::string const& name,
                                std::string const& expected)
{
  if (this->FirstError) {
    return;
  }
  std::string problem = this->Has(name)
                          ? " is " + FormatValue(this->Value.at(name))
                          : std::string(" is missing");
  this->FirstError = gsError{ "bad_value",
                              this->Source + ": " + this->PathOf(name) +
                                problem + "; expected " + expected + ".",
                              "check", this->Source };
}

gsJson const* gsFieldReader::Find(std::string const& name, bool required,
                                  char const* expected)
{
  this->KnownNames.insert(name);
  if (this->FirstError) {
    return nullptr;
  }
  if (!this->Has(name)) {
    if (required) {
      this->ReportError(name, expected);
    }
    return nullptr;
  }
  return &this->Value.at(name);
}

std::string gsFieldReader::String(std::string const& name,
                                  std::optional<std::string> const& fallback)
{
  gsJson const* value = this->Find(name, !fallback, "a text");
  if (value == nullptr) {
    return fallback.value_or(std::string());
  }
  if (!value->is_string() ||
      (!fallback && value->get<std::string>().empty())) {
    this->ReportError(name, fallback ? "a text" : "a text that is not empty");
    return {};
  }
  return value->get<std::string>();
}

double gsFieldReader::Number(std::string const& name, gsRange range,
                             std::optional<double> fallback)
{
  std::string expected = DescribeRange("a number", range);
  gsJson const* value = this->Find(name, !fallback, expected.c_str());
  if (value == nullptr) {
    return fallback.value_or(0);
  }
  if (!value->is_number() || value->get<double>() < range.Min ||
      value->get<double>() > range.Max) {
    this->ReportError(name, expected);
    return fallback.value_or(0);
  }
  return value->get<double>();
}

std::uint64_t gsFieldReader::Unsigned(std::string const& name, gsRange range,
                                      std::optional<std::uint64_t> fallback)
{
  std::string expected = DescribeRange("a whole number", range);
  gsJson const* value = this->Find(name, !fallback, expected.c_str());
  if (value == nullptr) {
    return fallback.value_or(0);
  }
  if (!value->is_number_unsigned() || value->get<double>() < range.Min ||
      value->get<double>() > range.Max) {
    this->ReportError(name, expected);
    return fallback.value_or(0);
  }
  return value->get<std::uint64_t>();
}

bool gsFieldReader::Boolean(std::string const& name, bool fallback)
{
  gsJson const* value = this->Find(name, false, "");
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_boolean()) {
    this->ReportError(name, "true or false");
    return fallback;
  }
  return value->get<bool>();
}

gsTime gsFieldReader::Milliseconds(std::string const& name, gsRange range,
                                   std::optional<gsTime> fallback)
{
  std::string expected = DescribeRange("a number of milliseconds", range);
  gsJson const* value = this->Find(name, !fallback, expected.c_str());
  if (value == nullptr) {
    return fallback.value_or(gsTime{});
  }
  if (!value->is_number() || value->get<double>() < range.Min ||
      value->get<double>() > range.Max) {
    this->ReportError(name, expected);
    return fallback.value_or(gsTime{});
  }
  constexpr double millisPerSecond = 1000;
  return gsFromSeconds(value->get<double>() / millisPerSecond);
}

std::size_t gsFieldReader::Choice(std::string const& name,
                                  std::vector<std::string> const& names,
                                  std::optional<std::size_t> fallback)
{
  std::string expected = "one of";
  for (std::string const& choice : names) {
    expected += (choice == names.front() ? " '" : ", '") + choice + "'";
  }
  gsJson const* value = this->Find(name, !fallback, expected.c_str());
  if (value == nullptr) {
    return fallback.value_or(0);
  }
  if (value->is_string()) {
    auto found =
      std::find(names.begin(), names.end(), value->get<std::string>());
    if (found != names.end()) {
      return static_cast<std::size_t>(found - names.begin());
    }
    std::optional<std::string> suggestion =
      gsSuggestSpelling(value->get<std::string>(), names);
    if (suggestion) {
      expected += "; did you mean '" + *suggestion + "'?";
      this->ReportError(name, expected);
      this->FirstError->Message.pop_back();
      return fallback.value_or(0);
    }
  }
  this->ReportError(name, expected);
  return fallback.value_or(0);
}

std::string gsFieldReader::Address(std::string const& name,
                                   std::optional<std::string> const& fallback)
{
  constexpr char const* expected = "an address IP:port";
  gsJson const* value = this->Find(name, !fallback, expected);
  if (value == nullptr) {
    return fallback.value_or(std::string());
  }
  if (!value->is_string() || !HasAddressFormat(value->get<std::string>())) {
    this->ReportError(name, expected);
    return {};
  }
  return value->get<std::string>();
}

std::vector<std::string> gsFieldReader::Strings(std::string const& name)
{
  std::vector<std::string> strings;
  gsJson const* value = this->Find(name, false, "");
  if (value == nullptr) {
    return strings;
  }
  bool valid = value->is_array() && std::all_of(value->begin(), value->end(),
                                                [](gsJson const& item) {
                                                  return item.is_string();
                                                });
  if (!valid) {
    this->ReportError(name, "a list of texts");
    return strings;
  }
  for (gsJson const& item : *value) {
    strings.push_back(item.get<std::string>());
  }
  return strings;
}

void gsFieldReader::InheritError(gsFieldReader const& inner)
{
  if (!this->FirstError) {
    this->FirstError = inner.FirstError;
  }
}

void gsFieldReader::Object(
  std::string const& name,
  std::function<void(gsFieldReader& fields)> const& read)
{
  static gsJson const empty = gsJson::object();
  gsJson const* value = this->Find(name, false, "");
  gsFieldReader inner(value == nullptr ? empty : *value, this->Source,
                      this->PathOf(name));
  read(inner);
  inner.Finish();
  this->InheritError(inner);
}

void gsFieldReader::List(
  std::string const& name,
  std::function<void(gsFieldReader& fields)> const& read)
{
  gsJson const* value = this->Find(name, false, "");
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    this->ReportError(name, "a list");
    return;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    gsFieldReader inner((*value)[i], this->Source,
                        this->PathOf(name) + "[" + std::to_string(i) + "]");
    if (!inner.Error()) {
      read(inner);
      inner.Finish();
    }
    this->InheritError(inner);
  }
}

void gsFieldReader::Map(std::string const& name,
                        std::function<void(std::string const& key,
                                           gsFieldReader& fields)> const& read)
{
  gsJson const* value = this->Find(name, false, "");
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    this->ReportError(name, "an object");
    return;
  }
  for (auto const& [key, item] : value->items()) {
    gsFieldReader inner(item, this->Source, this->PathOf(name) + "." + key);
    if (!inner.Error()) {
      read(key, inner);
      inner.Finish();
    }
    this->InheritError(inner);
  }
}

std::map<std::string, std::string> gsFieldReader::StringMap(
  std::string const& name)
{
  std::map<std::string, std::string> result;
  gsJson const* value = this->Find(name, false, "");
  if (value == nullptr) {
    return result;
  }
  bool valid = value->is_object() && std::all_of(value->begin(), value->end(),
                                                 [](gsJson const& item) {
                                                   return item.is_string();
                                                 });
  if (!valid) {
    this->ReportError(name, "an object of texts");
    return result;
  }
  for (auto const& [key, item] : value->items()) {
    result[key] = item.get<std::string>();
  }
  return result;
}

void gsFieldReader::Finish()
{
  if (this->FirstError) {
    return;
  }
  for (auto const& [key, item] : this->Value.items()) {
    if (this->KnownNames.count(key) != 0) {
      continue;
    }
    std::vector<std::string> allowed(this->KnownNames.begin(),
                                     this->KnownNames.end());
    std::optional<std::string> suggestion = gsSuggestSpelling(key, allowed);
    std::string hint;
    if (suggestion) {
      hint = "did you mean '" + *suggestion + "'?";
    } else {
      hint = "allowed are";
      for (std::string const& name : allowed) {
        hint += (name == allowed.front() ? " " : ", ") + name;
      }
      hint += ".";
    }
    this->FirstError = gsError{ "unknown_field",
                                this->Source + ": " + this->PathOf(key) +
                                  " is not a known field; " + hint,
                                "check", this->Source };
    return;
  }
}
