/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUpstreamWord.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <optional>
#include <string>

namespace {

std::string_view Trim(std::string_view text)
{
  std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/** Seconds since 1970 of a date in the form of HTTP, which is always UTC. */
std::optional<std::time_t> ReadDate(std::string_view text)
{
  std::tm parts{};
  std::string const copy(Trim(text));
  char const* end =
    strptime(copy.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
  if (end == nullptr || *end != '\0') {
    return std::nullopt;
  }
  return timegm(&parts);
}

gsTime Bounded(double seconds)
{
  return gsFromSeconds(std::clamp(seconds, 0.0, gsToSeconds(gsRestMost)));
}

std::optional<double> ReadSeconds(std::string_view text)
{
  double seconds = 0;
  char const* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, seconds);
  if (text.empty() || parsed.ptr != end) {
    return std::nullopt;
  }
  if (parsed.ec == std::errc::result_out_of_range) {
    bool negative = text.front() == '-';
    return negative ? 0 : gsToSeconds(gsRestMost);
  }
  bool number = parsed.ec == std::errc() && seconds == seconds;
  return number ? std::optional<double>(seconds) : std::nullopt;
}

} // namespace

gsTime gsReadRest(std::string_view retryAfter, std::string_view date)
{
  if (std::optional<std::time_t> until = ReadDate(retryAfter)) {
    std::optional<std::time_t> sent = ReadDate(date);
    return sent ? Bounded(std::difftime(*until, *sent)) : gsTime{};
  }
  gsTime longest{};
  while (!retryAfter.empty()) {
    std::size_t comma = std::min(retryAfter.find(','), retryAfter.size());
    std::optional<double> seconds =
      ReadSeconds(Trim(retryAfter.substr(0, comma)));
    longest = std::max(longest, Bounded(seconds.value_or(0)));
    retryAfter.remove_prefix(std::min(comma + 1, retryAfter.size()));
  }
  return longest;
}
