/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Two orders of a service's upstreams, kept as they come and go one by one.
 *
 * In the one, slow engines come first and then all go by hash: the first of
 * it are for long prompts. The other is a ring, by a hash of the id alone: a
 * subject's home is one of the upstreams in a few arcs of it, so that it is
 * found without looking at all of them, every host finds the same, and one
 * that comes or goes changes the arcs that it is in and no others.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

/** Place of an engine in the first order. */
struct gsEngineKey
{
  bool Fast = true;
  std::uint32_t Hash = 0;

  friend bool operator<(gsEngineKey const& a, gsEngineKey const& b)
  {
    return a.Fast != b.Fast ? b.Fast : a.Hash < b.Hash;
  }
};

/** An upstream on the ring. */
struct gsRingEntry
{
  std::uint32_t Position = 0;
  std::uint32_t Row = 0; ///< Index into gsFleet::Rows.
};

/** Ascending by position. */
using gsEngineRing = std::vector<gsRingEntry>;

std::uint32_t gsRingPosition(std::string_view id);

void gsRingInsert(gsEngineRing& ring, gsRingEntry entry);
void gsRingErase(gsEngineRing& ring, gsRingEntry entry);
/** The row has another index now. */
void gsRingRename(gsEngineRing& ring, gsRingEntry entry, std::uint32_t row);

/** Index of the first entry at or after a position; the ring is not empty. */
std::size_t gsRingAfter(gsEngineRing const& ring, std::uint32_t position);
