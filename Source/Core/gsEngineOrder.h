/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Two orders of a service's upstreams, which are updated incrementally when
 * upstreams are added or removed.
 *
 * The first order sorts by speed class, slow engines first, and then by hash.
 * Its first engines are those for long prompts. The second is a hash ring,
 * sorted by a hash of the id. The preferred engine of a subject is one of the
 * upstreams in a few arcs of the ring, so it is found without examining all
 * upstreams, and all hosts find the same one. An upstream that is added or
 * removed changes only the arcs that contain it.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

/** Sort key of an engine in the first order. */
struct gsEngineKey
{
  bool IsFast = true;     ///< The arrangement does not list it as slow.
  std::uint32_t Hash = 0; ///< Hash of its incarnation.

  friend bool operator<(gsEngineKey const& a, gsEngineKey const& b)
  {
    return a.IsFast != b.IsFast ? b.IsFast : a.Hash < b.Hash;
  }
};

/** An upstream on the hash ring. */
struct gsRingEntry
{
  std::uint32_t Position = 0;
  std::uint32_t Row = 0; ///< Index into gsFleet::Rows.
};

/** Hash ring of a service's upstreams; sorted by position, ascending. */
using gsEngineRing = std::vector<gsRingEntry>;

/** Position of an upstream on the ring: the upper half of a hash of its id. */
std::uint32_t gsRingPosition(std::string_view id);

/** Inserts an entry at its position. */
void gsRingInsert(gsEngineRing& ring, gsRingEntry entry);
/** Removes an entry; does nothing if it does not exist. */
void gsRingErase(gsEngineRing& ring, gsRingEntry entry);
/** Updates an entry after its row has moved to another index. */
void gsRingUpdateRow(gsEngineRing& ring, gsRingEntry entry, std::uint32_t row);

/** Index of the first entry at or after a position; 0 if there is none. The
 * ring must not be empty. */
std::size_t gsRingLowerBound(gsEngineRing const& ring, std::uint32_t position);
