/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Rendezvous (highest random weight) hashing: all hosts with the same set of
 * names choose the same name for a key, and the removal of a name reassigns
 * only the keys that were assigned to it.
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

/** The same weight, scaled to the range from 0 to 1; equal on all hosts. */
double gsRendezvousFraction(std::string_view name, std::uint64_t key);

/**
 * Score of a name in weighted rendezvous hashing; the highest score wins. A
 * name wins a share of all keys that is proportional to its weight, and a
 * change of one weight moves only keys from or to that name.
 * \param weight Greater than zero.
 */
double gsWeightedRendezvousScore(std::string_view name, std::uint64_t key,
                                 double weight);

/** The name with the highest weight for a key; empty if there are no names. */
std::optional<std::string> gsRendezvous(
  std::vector<std::string_view> const& names, std::string_view key);

/** At most count names with the highest weights for a key, the highest weight
 * first. */
std::vector<std::string> gsRendezvousTop(
  std::vector<std::string_view> const& names, std::string_view key,
  std::size_t count);
