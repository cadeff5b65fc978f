/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsFingerprint.h"

#include <array>
#include <charconv>
#include <cstdio>

#include <xxhash.h>

namespace {

/** Upper half of the fingerprints of parts; no request has it but by a
 * collision of 64 bits. */
constexpr std::uint64_t PartTag = 0x70726f6d70745f70;

XXH128_hash_t HashOf(std::string_view text)
{
  return XXH3_128bits(text.data(), text.size());
}

} // namespace

gsFingerprint gsFingerprintOf(std::string_view organisation,
                              std::string_view target, std::string_view body)
{
  std::array<XXH128_hash_t, 3> const parts{ HashOf(organisation),
                                            HashOf(target), HashOf(body) };
  XXH128_hash_t const hash = XXH3_128bits(parts.data(), sizeof(parts));
  return { hash.high64, hash.low64 };
}

gsFingerprint gsPartFingerprint(std::string_view service, std::uint64_t part)
{
  return { PartTag,
           XXH3_64bits_withSeed(service.data(), service.size(), part) };
}

bool gsIsPartFingerprint(gsFingerprint const& fingerprint)
{
  return fingerprint.High == PartTag;
}

std::string gsFormatFingerprint(gsFingerprint const& fingerprint)
{
  char text[33];
  std::snprintf(text, sizeof(text), "%016llx%016llx",
                static_cast<unsigned long long>(fingerprint.High),
                static_cast<unsigned long long>(fingerprint.Low));
  return text;
}

std::optional<gsFingerprint> gsParseFingerprint(std::string_view text)
{
  constexpr std::size_t digits = 16;
  constexpr int base = 16;
  if (text.size() != 2 * digits ||
      text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
    return std::nullopt;
  }
  gsFingerprint fingerprint;
  char const* middle = text.data() + digits;
  std::from_chars(text.data(), middle, fingerprint.High, base);
  std::from_chars(middle, middle + digits, fingerprint.Low, base);
  return fingerprint;
}
