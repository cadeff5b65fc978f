/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Fingerprints of requests and of parts of prompts. A request that a caller
 * repeats has the same fingerprint on every host and under every request id,
 * as it is computed only from the parts that do not change. A part of a prompt
 * has the same fingerprint in all requests to a service.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/** A 128-bit hash of a request, or a tag and a 64-bit hash of a part. */
struct gsFingerprint
{
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  friend bool operator==(gsFingerprint const& a, gsFingerprint const& b)
  {
    return a.High == b.High && a.Low == b.Low;
  }
};

template<>
struct std::hash<gsFingerprint>
{
  std::size_t operator()(gsFingerprint const& fingerprint) const noexcept
  {
    return static_cast<std::size_t>(fingerprint.Low);
  }
};

/** Computes the fingerprint of a request. The organisation is included so that
 * no other organisation can cause its requests to be refused. */
gsFingerprint gsFingerprintOf(std::string_view organisation,
                              std::string_view target, std::string_view body);

/** Computes the fingerprint of a part of prompts to a service. */
gsFingerprint gsPartFingerprint(std::string_view service, std::uint64_t part);

/** Whether a fingerprint is that of a part. */
bool gsIsPartFingerprint(gsFingerprint const& fingerprint);

/** Formats a fingerprint as 32 hexadecimal digits, for logs, operators and
 * keys. */
std::string gsFormatFingerprint(gsFingerprint const& fingerprint);

/** Parses the output of gsFormatFingerprint; empty for any other text. */
std::optional<gsFingerprint> gsParseFingerprint(std::string_view text);
