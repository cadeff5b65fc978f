/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsEngineOrder.h"

#include <algorithm>

#include "gsRendezvous.h"

namespace {

constexpr unsigned PositionShift = 32;

gsEngineRing::iterator LowerBound(gsEngineRing& ring, std::uint32_t position)
{
  return std::lower_bound(ring.begin(), ring.end(), position,
                          [](gsRingEntry const& entry, std::uint32_t at) {
                            return entry.Position < at;
                          });
}

/** Finds the entry with the same position and row; several entries may have
 * the same position. */
gsEngineRing::iterator FindEntry(gsEngineRing& ring, gsRingEntry entry)
{
  auto found = LowerBound(ring, entry.Position);
  while (found != ring.end() && found->Position == entry.Position &&
         found->Row != entry.Row) {
    ++found;
  }
  bool isFound = found != ring.end() && found->Position == entry.Position;
  return isFound ? found : ring.end();
}

} // namespace

std::uint32_t gsRingPosition(std::string_view id)
{
  return static_cast<std::uint32_t>(gsHashText(id) >> PositionShift);
}

void gsRingInsert(gsEngineRing& ring, gsRingEntry entry)
{
  ring.insert(LowerBound(ring, entry.Position), entry);
}

void gsRingErase(gsEngineRing& ring, gsRingEntry entry)
{
  auto found = FindEntry(ring, entry);
  if (found != ring.end()) {
    ring.erase(found);
  }
}

void gsRingUpdateRow(gsEngineRing& ring, gsRingEntry entry, std::uint32_t row)
{
  auto found = FindEntry(ring, entry);
  if (found != ring.end()) {
    found->Row = row;
  }
}

std::size_t gsRingLowerBound(gsEngineRing const& ring, std::uint32_t position)
{
  auto found =
    std::lower_bound(ring.begin(), ring.end(), position,
                     [](gsRingEntry const& entry, std::uint32_t at) {
                       return entry.Position < at;
                     });
  return found == ring.end() ? 0
                             : static_cast<std::size_t>(found - ring.begin());
}
