/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsFields.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace {

constexpr std::size_t MaxSlips = 2;
constexpr std::size_t MaxShownValue = 60;

/** Least number of single-letter edits between two words. */
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

std::string Shown(gsJson const& value)
{
  std::string text =
    value.dump(-1, ' ', false, gsJson::error_handler_t::replace);
  if (text.size() > MaxShownValue) {
    text = text.substr(0, MaxShownValue) + "...";
  }
  return text;
}

std::string Plain(double value)
{
  if (value == std::floor(value) && std::abs(value) < 1e15) {
    return std::to_string(static_cast<std::int64_t>(value));
  }
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  return text;
}

std::string Between(char const* what, gsRange range)
{
  return std::string(what) + " from " + Plain(range.Least) + " to " +
         Plain(range.Most);
}

bool LooksLikeAddress(std::string const& text)
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

std::optional<std::string> gsDidYouMean(std::string_view word,
                                        std::vector<std::string> const& words)
{
  std::optional<std::string> best;
  std::size_t bestDistance = MaxSlips + 1;
  for (std::string const& candidate : words) {
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

gsFields::gsFields(gsJson const& object, std::string source, std::string path)
  : Value(object)
  , Source(std::move(source))
  , Path(std::move(path))
{
  if (!object.is_object()) {
    this->First = gsError{ "bad_value",
                           this->Source + ": " +
                             (this->Path.empty() ? "the file" : this->Path) +
                             " is " + Shown(object) + "; expected an object.",
                           "check", this->Source };
  }
}

std::string gsFields::PathOf(std::string const& name) const
{
  return this->Path.empty() ? name : this->Path + "." + name;
}

bool gsFields::Has(std::string const& name) const
{
  return this->Value.is_object() && this->Value.contains(name);
}

void gsFields::Mistake(std::string const& name, std::string const& expected)
{
  if (this->First) {
    return;
  }
  std::string state = this->Has(name) ? " is " + Shown(this->Value.at(name))
                                      : std::string(" is missing");
  this->First = gsError{ "bad_value",
                         this->Source + ": " + this->PathOf(name) + state +
                           "; expected " + expected + ".",
                         "check", this->Source };
}

gsJson const* gsFields::Take(std::string const& name, bool required,
                             char const* expected)
{
  this->Known.insert(name);
  if (this->First) {
    return nullptr;
  }
  if (!this->Has(name)) {
    if (required) {
      this->Mistake(name, expected);
    }
    return nullptr;
  }
  return &this->Value.at(name);
}

std::string gsFields::Text(std::string const& name,
                           std::optional<std::string> const& fallback)
{
  gsJson const* value = this->Take(name, !fallback, "a text");
  if (value == nullptr) {
    return fallback.value_or(std::string());
  }
  if (!value->is_string() ||
      (!fallback && value->get<std::string>().empty())) {
    this->Mistake(name, fallback ? "a text" : "a text that is not empty");
    return {};
  }
  return value->get<std::string>();
}

double gsFields::Number(std::string const& name, gsRange range,
                        std::optional<double> fallback)
{
  std::string expected = Between("a number", range);
  gsJson const* value = this->Take(name, !fallback, expected.c_str());
  if (value == nullptr) {
    return fallback.value_or(0);
  }
  if (!value->is_number() || value->get<double>() < range.Least ||
      value->get<double>() > range.Most) {
    this->Mistake(name, expected);
    return fallback.value_or(0);
  }
  return value->get<double>();
}

std::uint64_t gsFields::Whole(std::string const& name, gsRange range,
                              std::optional<std::uint64_t> fallback)
{
  std::string expected = Between("a whole number", range);
  gsJson const* value = this->Take(name, !fallback, expected.c_str());
  if (value == nullptr) {
    return fallback.value_or(0);
  }
  if (!value->is_number_unsigned() || value->get<double>() < range.Least ||
      value->get<double>() > range.Most) {
    this->Mistake(name, expected);
    return fallback.value_or(0);
  }
  return value->get<std::uint64_t>();
}

bool gsFields::Flag(std::string const& name, bool fallback)
{
  gsJson const* value = this->Take(name, false, "");
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_boolean()) {
    this->Mistake(name, "true or false");
    return fallback;
  }
  return value->get<bool>();
}

gsTime gsFields::Millis(std::string const& name, gsRange range,
                        std::optional<gsTime> fallback)
{
  std::string expected = Between("a number of milliseconds", range);
  gsJson const* value = this->Take(name, !fallback, expected.c_str());
  if (value == nullptr) {
    return fallback.value_or(gsTime{});
  }
  if (!value->is_number() || value->get<double>() < range.Least ||
      value->get<double>() > range.Most) {
    this->Mistake(name, expected);
    return fallback.value_or(gsTime{});
  }
  constexpr double perSecond = 1000;
  return gsFromSeconds(value->get<double>() / perSecond);
}

std::size_t gsFields::Choice(std::string const& name,
                             std::vector<std::string> const& words,
                             std::optional<std::size_t> fallback)
{
  std::string expected = "one of";
  for (std::string const& word : words) {
    expected += (word == words.front() ? " '" : ", '") + word + "'";
  }
  gsJson const* value = this->Take(name, !fallback, expected.c_str());
  if (value == nullptr) {
    return fallback.value_or(0);
  }
  if (value->is_string()) {
    auto found =
      std::find(words.begin(), words.end(), value->get<std::string>());
    if (found != words.end()) {
      return static_cast<std::size_t>(found - words.begin());
    }
    std::optional<std::string> meant =
      gsDidYouMean(value->get<std::string>(), words);
    if (meant) {
      expected += "; did you mean '" + *meant + "'?";
      this->Mistake(name, expected);
      this->First->Message.pop_back();
      return fallback.value_or(0);
    }
  }
  this->Mistake(name, expected);
  return fallback.value_or(0);
}

std::string gsFields::Address(std::string const& name,
                              std::optional<std::string> const& fallback)
{
  constexpr char const* expected = "an address IP:port";
  gsJson const* value = this->Take(name, !fallback, expected);
  if (value == nullptr) {
    return fallback.value_or(std::string());
  }
  if (!value->is_string() || !LooksLikeAddress(value->get<std::string>())) {
    this->Mistake(name, expected);
    return {};
  }
  return value->get<std::string>();
}

std::vector<std::string> gsFields::Texts(std::string const& name)
{
  std::vector<std::string> texts;
  gsJson const* value = this->Take(name, false, "");
  if (value == nullptr) {
    return texts;
  }
  bool good = value->is_array() &&
              std::all_of(value->begin(), value->end(),
                          [](gsJson const& item) { return item.is_string(); });
  if (!good) {
    this->Mistake(name, "a list of texts");
    return texts;
  }
  for (gsJson const& item : *value) {
    texts.push_back(item.get<std::string>());
  }
  return texts;
}

void gsFields::Adopt(gsFields const& inner)
{
  if (!this->First) {
    this->First = inner.First;
  }
}

void gsFields::Object(std::string const& name,
                      std::function<void(gsFields& fields)> const& read)
{
  static gsJson const empty = gsJson::object();
  gsJson const* value = this->Take(name, false, "");
  gsFields inner(value == nullptr ? empty : *value, this->Source,
                 this->PathOf(name));
  read(inner);
  inner.Finish();
  this->Adopt(inner);
}

void gsFields::List(std::string const& name,
                    std::function<void(gsFields& fields)> const& read)
{
  gsJson const* value = this->Take(name, false, "");
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    this->Mistake(name, "a list");
    return;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    gsFields inner((*value)[i], this->Source,
                   this->PathOf(name) + "[" + std::to_string(i) + "]");
    if (!inner.Error()) {
      read(inner);
      inner.Finish();
    }
    this->Adopt(inner);
  }
}

void gsFields::Map(
  std::string const& name,
  std::function<void(std::string const& key, gsFields& fields)> const& read)
{
  gsJson const* value = this->Take(name, false, "");
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    this->Mistake(name, "an object");
    return;
  }
  for (auto const& [key, item] : value->items()) {
    gsFields inner(item, this->Source, this->PathOf(name) + "." + key);
    if (!inner.Error()) {
      read(key, inner);
      inner.Finish();
    }
    this->Adopt(inner);
  }
}

std::map<std::string, std::string> gsFields::TextMap(std::string const& name)
{
  std::map<std::string, std::string> result;
  gsJson const* value = this->Take(name, false, "");
  if (value == nullptr) {
    return result;
  }
  bool good = value->is_object() &&
              std::all_of(value->begin(), value->end(),
                          [](gsJson const& item) { return item.is_string(); });
  if (!good) {
    this->Mistake(name, "an object of texts");
    return result;
  }
  for (auto const& [key, item] : value->items()) {
    result[key] = item.get<std::string>();
  }
  return result;
}

void gsFields::Finish()
{
  if (this->First) {
    return;
  }
  for (auto const& [key, item] : this->Value.items()) {
    if (this->Known.count(key) != 0) {
      continue;
    }
    std::vector<std::string> known(this->Known.begin(), this->Known.end());
    std::optional<std::string> meant = gsDidYouMean(key, known);
    std::string advice;
    if (meant) {
      advice = "did you mean '" + *meant + "'?";
    } else {
      advice = "allowed are";
      for (std::string const& name : known) {
        advice += (name == known.front() ? " " : ", ") + name;
      }
      advice += ".";
    }
    this->First = gsError{ "unknown_field",
                           this->Source + ": " + this->PathOf(key) +
                             " is not a known field; " + advice,
                           "check", this->Source };
    return;
  }
}
