/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Rendezvous (highest random weight) hashing: every host that knows the same
 * names picks the same one for a key, and a name that goes moves only the
 * keys that it had.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** A 64-bit hash of a text. */
std::uint64_t gsHashText(std::string_view text);

/** Weight of a name for a key. The highest weight wins. */
std::uint64_t gsRendezvousWeight(std::string_view name, std::uint64_t key);

/** The same as a number from 0 to 1 that all hosts compute alike. */
double gsRendezvousDraw(std::string_view name, std::uint64_t key);

/** The winner among the names, or nothing when there are none. */
std::optional<std::string> gsRendezvous(
  std::vector<std::string_view> const& names, std::string_view key);

/** The given number of names with the highest weights, the highest first. */
std::vector<std::string> gsRendezvousFirst(
  std::vector<std::string_view> const& names, std::string_view key,
  std::size_t count);
