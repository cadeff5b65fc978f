/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUpstreamText.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <limits>

namespace {

/** First byte of the format. A platform's row never begins with it. */
constexpr char FormatMarker = '\x01';
constexpr char Separator = '\t';

/** Position of each field. */
enum Field : std::size_t
{
  Service,
  Address,
  Hall,
  Slots,
  Flags,
  StartedAt,
  RemainingColdMillis,
  FieldCount
};

/** A year. */
constexpr std::uint64_t MaxColdMillis = std::uint64_t(1000) * 3600 * 24 * 365;

constexpr std::uint64_t LeavingFlag = 1;
constexpr std::uint64_t WithdrawableFlag = 2;
/** Position of the software version within the flags. Releases that do not
 * know it pass over it, and send it on with the text. */
constexpr unsigned VersionShift = 8;

/** Parses an unsigned decimal number. */
std::optional<std::uint64_t> ParseNumber(std::string_view text)
{
  std::uint64_t value = 0;
  char const* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, value);
  bool valid = !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
  return valid ? std::optional<std::uint64_t>(value) : std::nullopt;
}

/** Whether a text can be written as a field. */
bool IsEncodable(std::string const& text)
{
  return !text.empty() && text.find(Separator) == std::string::npos;
}

using Fields = std::array<std::string_view, FieldCount>;

/** Splits a text without its format marker. \return Empty if the number of
 * fields is wrong. */
std::optional<Fields> Split(std::string_view text)
{
  Fields fields;
  for (std::size_t i = 0; i < FieldCount; ++i) {
    std::size_t end = text.find(Separator);
    bool isLast = i + 1 == FieldCount;
    if (isLast != (end == std::string_view::npos)) {
      return std::nullopt;
    }
    fields[i] = text.substr(0, end);
    text.remove_prefix(isLast ? text.size() : end + 1);
  }
  return fields;
}

} // namespace

std::string gsUpstreamText(gsListedUpstream const& upstream)
{
  bool encodable = IsEncodable(upstream.Service) &&
                   IsEncodable(upstream.Address) && IsEncodable(upstream.Hall);
  if (!encodable) {
    return {};
  }
  std::uint64_t flags =
    (upstream.Leaving ? LeavingFlag : 0) +
    (upstream.Withdrawable ? WithdrawableFlag : 0) +
    (std::uint64_t(upstream.SoftwareVersion) << VersionShift);
  auto coldMillis =
    std::chrono::duration_cast<gsMilliseconds>(upstream.RemainingColdTime)
      .count();
  std::string text(1, FormatMarker);
  text += upstream.Service + Separator + upstream.Address + Separator +
          upstream.Hall;
  for (std::uint64_t number :
       { std::uint64_t(upstream.Slots), flags, upstream.StartedAt,
         static_cast<std::uint64_t>(coldMillis) }) {
    text += Separator + std::to_string(number);
  }
  return text;
}

bool gsIsUpstreamText(std::string_view text)
{
  return !text.empty() && text.front() == FormatMarker;
}

std::optional<gsListedUpstream> gsParseUpstreamText(std::string_view id,
                                                    std::string_view text)
{
  if (!gsIsUpstreamText(text)) {
    return std::nullopt;
  }
  std::optional<Fields> fields = Split(text.substr(1));
  if (!fields) {
    return std::nullopt;
  }
  std::optional<std::uint64_t> slots = ParseNumber((*fields)[Slots]);
  std::optional<std::uint64_t> flags = ParseNumber((*fields)[Flags]);
  std::optional<std::uint64_t> startedAt = ParseNumber((*fields)[StartedAt]);
  std::optional<std::uint64_t> coldMillis =
    ParseNumber((*fields)[RemainingColdMillis]);
  bool isInRange = slots && flags && startedAt && coldMillis &&
                   *slots <= std::numeric_limits<std::uint32_t>::max() &&
                   *coldMillis <= MaxColdMillis;
  if (!isInRange) {
    return std::nullopt;
  }
  gsListedUpstream upstream;
  upstream.Id = id;
  upstream.Service = (*fields)[Service];
  upstream.Address = (*fields)[Address];
  upstream.Hall = (*fields)[Hall];
  upstream.Slots = static_cast<std::uint32_t>(*slots);
  upstream.Leaving = (*flags & LeavingFlag) != 0;
  upstream.Withdrawable = (*flags & WithdrawableFlag) != 0;
  upstream.SoftwareVersion =
    static_cast<std::uint32_t>(*flags >> VersionShift);
  upstream.StartedAt = *startedAt;
  upstream.RemainingColdTime = gsMilliseconds(*coldMillis);
  return upstream;
}
