/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUpstreamWord.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <ctime>
#include <limits>
#include <optional>
#include <string>

#include "gsRendezvous.h"

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
  bool number = parsed.ec == std::errc() && !std::isnan(seconds);
  return number ? std::optional<double>(seconds) : std::nullopt;
}

/** An upstream that has rested gets the first request of one host in so long:
 * a hundred a second, and it takes some 10 ms to say whether it takes one. */
constexpr gsTime ReturnGap = gsMilliseconds(10);
/** No host waits for its turn any longer than this, however many there are: a
 * rest is a few seconds, and should not become twice as long. */
constexpr gsTime ReturnSpread = gsSeconds(2);
/** Whoever has not come back so long after a rest meets no others who do. */
constexpr gsTime ReturnMemory = gsSeconds(10);

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

namespace {

std::optional<double> ReadRate(std::string_view text)
{
  double rate = 0;
  char const* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, rate);
  if (text.empty() || parsed.ptr != end || std::isnan(rate)) {
    return std::nullopt;
  }
  if (parsed.ec == std::errc::result_out_of_range) {
    // from_chars does not tell overflow from underflow.
    rate = std::strtod(std::string(text).c_str(), nullptr);
  }
  return std::clamp(rate, 0.0, std::numeric_limits<double>::max());
}

} // namespace

std::optional<double> gsReadRateLimit(std::string_view text)
{
  std::optional<double> lowest;
  while (!text.empty()) {
    std::size_t comma = std::min(text.find(','), text.size());
    std::optional<double> rate = ReadRate(Trim(text.substr(0, comma)));
    if (rate) {
      lowest = std::min(*rate, lowest.value_or(*rate));
    }
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return lowest;
}

bool gsHear(gsHeardWord& heard, gsUpstreamWord const& word, gsTime now)
{
  bool leaves = word.Leaving && !heard.Leaving;
  heard.Leaving = heard.Leaving || word.Leaving;
  if (word.Rest.count() == 0) {
    return leaves;
  }
  bool rests = !gsIsResting(heard, now);
  heard.RestUntil = std::max(heard.RestUntil, now + word.Rest);
  heard.ReturnMost = 1;
  heard.Unanswered = 0;
  return leaves || rests;
}

bool gsHolds(gsHeardWord const& heard, gsTime now)
{
  return heard.Leaving || gsIsResting(heard, now);
}

bool gsIsResting(gsHeardWord const& heard, gsTime now)
{
  return now < heard.RestUntil;
}

namespace {

/** Whether this host is only coming back yet. */
bool IsReturning(gsHeardWord const& heard, gsTime now)
{
  return heard.ReturnMost != 0 && now < heard.RestUntil + ReturnMemory;
}

/** How long after a rest it is this host's turn. */
gsTime TurnOf(gsReturning const& who)
{
  double others = static_cast<double>(who.Hosts) - 1;
  double spread =
    std::min(others * gsToSeconds(ReturnGap), gsToSeconds(ReturnSpread));
  return gsFromSeconds(spread *
                       gsRendezvousDraw(who.Host, gsHashText(who.Upstream)));
}

} // namespace

bool gsMayReturn(gsHeardWord const& heard, gsReturning const& who, gsTime now)
{
  if (!IsReturning(heard, now)) {
    return true;
  }
  return heard.Unanswered < heard.ReturnMost &&
         now >= heard.RestUntil + TurnOf(who);
}

bool gsNoteReturn(gsHeardWord& heard, gsTime now)
{
  if (!IsReturning(heard, now)) {
    return false;
  }
  ++heard.Unanswered;
  return true;
}

void gsNoteReturned(gsHeardWord& heard, bool taken, std::uint32_t slots)
{
  heard.Unanswered -= std::min(heard.Unanswered, 1U);
  if (taken && heard.ReturnMost != 0) {
    heard.ReturnMost *= 2;
    heard.ReturnMost = heard.ReturnMost < slots ? heard.ReturnMost : 0;
  }
}
