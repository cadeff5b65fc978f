/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUpstreamText.h"

#include <array>
#include <charconv>
#include <cstdint>

namespace {

/** Begins the text; no platform's row begins so. */
constexpr char Mark = '\x01';
constexpr char Separator = '\t';

enum Field : std::size_t
{
  Service,
  Address,
  Hall,
  Slots,
  Flags,
  Born,
  ColdMillis,
  FieldCount
};

constexpr std::uint64_t LeavingFlag = 1;
constexpr std::uint64_t WithdrawableFlag = 2;

std::optional<std::uint64_t> Number(std::string_view text)
{
  std::uint64_t value = 0;
  char const* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, value);
  bool good = !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
  return good ? std::optional<std::uint64_t>(value) : std::nullopt;
}

bool IsName(std::string const& text)
{
  return !text.empty() && text.find(Separator) == std::string::npos;
}

using Fields = std::array<std::string_view, FieldCount>;

/** The fields of a text without its mark; nothing if they are not as many. */
std::optional<Fields> Split(std::string_view text)
{
  Fields fields;
  for (std::size_t i = 0; i < FieldCount; ++i) {
    std::size_t end = text.find(Separator);
    bool last = i + 1 == FieldCount;
    if (last != (end == std::string_view::npos)) {
      return std::nullopt;
    }
    fields[i] = text.substr(0, end);
    text.remove_prefix(last ? text.size() : end + 1);
  }
  return fields;
}

} // namespace

std::string gsUpstreamText(gsListedUpstream const& upstream)
{
  bool plain = IsName(upstream.Service) && IsName(upstream.Address) &&
               IsName(upstream.Hall);
  if (!plain) {
    return {};
  }
  std::uint64_t flags = (upstream.Leaving ? LeavingFlag : 0) +
                        (upstream.Withdrawable ? WithdrawableFlag : 0);
  auto cold =
    std::chrono::duration_cast<gsMilliseconds>(upstream.ColdLeft).count();
  std::string text(1, Mark);
  text += upstream.Service + Separator + upstream.Address + Separator +
          upstream.Hall;
  for (std::uint64_t number :
       { std::uint64_t(upstream.Slots), flags, upstream.Born,
         static_cast<std::uint64_t>(cold) }) {
    text += Separator + std::to_string(number);
  }
  return text;
}

bool gsIsUpstreamText(std::string_view text)
{
  return !text.empty() && text.front() == Mark;
}

std::optional<gsListedUpstream> gsReadUpstreamText(std::string_view id,
                                                   std::string_view text)
{
  if (!gsIsUpstreamText(text)) {
    return std::nullopt;
  }
  std::optional<Fields> fields = Split(text.substr(1));
  if (!fields) {
    return std::nullopt;
  }
  std::optional<std::uint64_t> slots = Number((*fields)[Slots]);
  std::optional<std::uint64_t> flags = Number((*fields)[Flags]);
  std::optional<std::uint64_t> born = Number((*fields)[Born]);
  std::optional<std::uint64_t> cold = Number((*fields)[ColdMillis]);
  if (!slots || !flags || !born || !cold) {
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
  upstream.Born = *born;
  upstream.ColdLeft = gsMilliseconds(*cold);
  return upstream;
}
