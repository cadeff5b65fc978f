/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUpstreamAnnouncement.h"

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

/** Parses an HTTP date, which is always UTC. \return Seconds since 1970. */
std::optional<std::time_t> ParseDate(std::string_view text)
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

/** The time, limited to the range from zero to gsMaxBackoff. */
gsTime ClampBackoff(double seconds)
{
  return gsFromSeconds(std::clamp(seconds, 0.0, gsToSeconds(gsMaxBackoff)));
}

/** Parses a number of seconds. Infinity and out-of-range values are valid. */
std::optional<double> ParseSeconds(std::string_view text)
{
  double seconds = 0;
  char const* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, seconds);
  if (text.empty() || parsed.ptr != end) {
    return std::nullopt;
  }
  if (parsed.ec == std::errc::result_out_of_range) {
    bool negative = text.front() == '-';
    return negative ? 0 : gsToSeconds(gsMaxBackoff);
  }
  bool valid = parsed.ec == std::errc() && !std::isnan(seconds);
  return valid ? std::optional<double>(seconds) : std::nullopt;
}

/** Interval between the first attempts of different hosts after a backoff: 100
 * per second. An upstream takes about 10 ms to accept or reject a request. */
constexpr gsTime SlowStartInterval = gsMilliseconds(10);
/** Maximum delay of a host's first attempt after a backoff, for any number of
 * hosts. A backoff takes a few seconds and must not become twice as long. */
constexpr gsTime MaxSlowStartDelay = gsSeconds(2);
/** Time after a backoff at which slow start ends at the latest. All other
 * hosts have resumed by then. */
constexpr gsTime MaxSlowStartTime = gsSeconds(10);

} // namespace

gsTime gsParseRetryAfter(std::string_view retryAfter, std::string_view date)
{
  if (std::optional<std::time_t> end = ParseDate(retryAfter)) {
    std::optional<std::time_t> sent = ParseDate(date);
    return sent ? ClampBackoff(std::difftime(*end, *sent)) : gsTime{};
  }
  gsTime longest{};
  while (!retryAfter.empty()) {
    std::size_t comma = std::min(retryAfter.find(','), retryAfter.size());
    std::optional<double> seconds =
      ParseSeconds(Trim(retryAfter.substr(0, comma)));
    longest = std::max(longest, ClampBackoff(seconds.value_or(0)));
    retryAfter.remove_prefix(std::min(comma + 1, retryAfter.size()));
  }
  return longest;
}

namespace {

std::optional<double> ParseRate(std::string_view text)
{
  double rate = 0;
  char const* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, rate);
  if (text.empty() || parsed.ptr != end || std::isnan(rate)) {
    return std::nullopt;
  }
  if (parsed.ec == std::errc::result_out_of_range) {
    // from_chars does not distinguish overflow from underflow.
    rate = std::strtod(std::string(text).c_str(), nullptr);
  }
  return std::clamp(rate, 0.0, std::numeric_limits<double>::max());
}

} // namespace

std::optional<double> gsParseRateLimit(std::string_view text)
{
  std::optional<double> lowest;
  while (!text.empty()) {
    std::size_t comma = std::min(text.find(','), text.size());
    std::optional<double> rate = ParseRate(Trim(text.substr(0, comma)));
    if (rate) {
      lowest = std::min(*rate, lowest.value_or(*rate));
    }
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return lowest;
}

bool gsMergeAnnouncement(gsAnnouncedState& announced,
                         gsUpstreamAnnouncement const& announcement,
                         gsTime now)
{
  bool startsLeaving = announcement.Leaving && !announced.Leaving;
  announced.Leaving = announced.Leaving || announcement.Leaving;
  if (announcement.RetryAfter.count() == 0) {
    return startsLeaving;
  }
  bool startsBackoff = !gsIsBackingOff(announced, now);
  announced.BackoffUntil =
    std::max(announced.BackoffUntil, now + announcement.RetryAfter);
  announced.SlowStartLimit = 1;
  announced.UnansweredAttempts = 0;
  return startsLeaving || startsBackoff;
}

bool gsHasAnnouncedState(gsAnnouncedState const& announced, gsTime now)
{
  return announced.Leaving || gsIsBackingOff(announced, now);
}

bool gsIsBackingOff(gsAnnouncedState const& announced, gsTime now)
{
  return now < announced.BackoffUntil;
}

namespace {

/** Whether slow start is in effect, or begins after the current backoff. */
bool IsInSlowStart(gsAnnouncedState const& announced, gsTime now)
{
  return announced.SlowStartLimit != 0 &&
         now < announced.BackoffUntil + MaxSlowStartTime;
}

/** Delay of this host's first attempt after a backoff. */
gsTime SlowStartDelay(gsSlowStartClient const& client)
{
  double otherHosts = static_cast<double>(client.HostCount) - 1;
  double maxDelay = std::min(otherHosts * gsToSeconds(SlowStartInterval),
                             gsToSeconds(MaxSlowStartDelay));
  return gsFromSeconds(
    maxDelay * gsRendezvousFraction(client.Host, gsHashText(client.Upstream)));
}

} // namespace

bool gsSlowStartAllows(gsAnnouncedState const& announced,
                       gsSlowStartClient const& client, gsTime now)
{
  if (!IsInSlowStart(announced, now)) {
    return true;
  }
  return announced.UnansweredAttempts < announced.SlowStartLimit &&
         now >= announced.BackoffUntil + SlowStartDelay(client);
}

bool gsBeginSlowStartAttempt(gsAnnouncedState& announced, gsTime now)
{
  if (!IsInSlowStart(announced, now)) {
    return false;
  }
  ++announced.UnansweredAttempts;
  return true;
}

void gsEndSlowStartAttempt(gsAnnouncedState& announced, bool accepted,
                           std::uint32_t slots)
{
  announced.UnansweredAttempts -= std::min(announced.UnansweredAttempts, 1U);
  if (accepted && announced.SlowStartLimit != 0) {
    announced.SlowStartLimit *= 2;
    announced.SlowStartLimit =
      announced.SlowStartLimit < slots ? announced.SlowStartLimit : 0;
  }
}
