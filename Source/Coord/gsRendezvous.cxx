/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <xxhash.h>

std::uint64_t gsHashText(std::string_view text)
{
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t gsRendezvousWeight(std::string_view name, std::uint64_t key)
{
  return XXH3_64bits_withSeed(name.data(), name.size(), key);
}

double gsRendezvousFraction(std::string_view name, std::uint64_t key)
{
  constexpr double maxWeight =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return static_cast<double>(gsRendezvousWeight(name, key)) / maxWeight;
}

double gsWeightedRendezvousScore(std::string_view name, std::uint64_t key,
                                 double weight)
{
  constexpr double minFraction = 1e-12;
  constexpr double maxFraction = 1 - 1e-12;
  double fraction =
    std::clamp(gsRendezvousFraction(name, key), minFraction, maxFraction);
  return -weight / std::log(fraction);
}

std::optional<std::string> gsRendezvous(
  std::vector<std::string_view> const& names, std::string_view key)
{
  std::uint64_t seed = gsHashText(key);
  std::string_view best;
  std::uint64_t bestWeight = 0;
  for (std::string_view name : names) {
    std::uint64_t weight = gsRendezvousWeight(name, seed);
    // Equal weights are ordered by name, so that all hosts choose the same.
    if (best.empty() || weight > bestWeight ||
        (weight == bestWeight && name < best)) {
      best = name;
      bestWeight = weight;
    }
  }
  if (best.empty()) {
    return std::nullopt;
  }
  return std::string(best);
}

std::vector<std::string> gsRendezvousTop(
  std::vector<std::string_view> const& names, std::string_view key,
  std::size_t count)
{
  std::uint64_t seed = gsHashText(key);
  std::vector<std::string_view> ordered = names;
  std::sort(ordered.begin(), ordered.end(),
            [seed](std::string_view a, std::string_view b) {
              std::uint64_t weightA = gsRendezvousWeight(a, seed);
              std::uint64_t weightB = gsRendezvousWeight(b, seed);
              return weightA != weightB ? weightA > weightB : a < b;
            });
  ordered.resize(std::min(count, ordered.size()));
  return { ordered.begin(), ordered.end() };
}
