/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsEngineOrder.h"

#include <algorithm>

#include "gsRendezvous.h"

namespace {

constexpr unsigned HalfBits = 32;

gsEngineRing::iterator Lower(gsEngineRing& ring, std::uint32_t position)
{
  return std::lower_bound(ring.begin(), ring.end(), position,
                          [](gsRingEntry const& entry, std::uint32_t at) {
                            return entry.Position < at;
                          });
}

/** The entry itself; several may have its position. */
gsEngineRing::iterator Find(gsEngineRing& ring, gsRingEntry entry)
{
  auto found = Lower(ring, entry.Position);
  while (found != ring.end() && found->Position == entry.Position &&
         found->Row != entry.Row) {
    ++found;
  }
  bool there = found != ring.end() && found->Position == entry.Position;
  return there ? found : ring.end();
}

} // namespace

std::uint32_t gsRingPosition(std::string_view id)
{
  return static_cast<std::uint32_t>(gsHashText(id) >> HalfBits);
}

void gsRingInsert(gsEngineRing& ring, gsRingEntry entry)
{
  ring.insert(Lower(ring, entry.Position), entry);
}

void gsRingErase(gsEngineRing& ring, gsRingEntry entry)
{
  auto found = Find(ring, entry);
  if (found != ring.end()) {
    ring.erase(found);
  }
}

void gsRingRename(gsEngineRing& ring, gsRingEntry entry, std::uint32_t row)
{
  auto found = Find(ring, entry);
  if (found != ring.end()) {
    found->Row = row;
  }
}

std::size_t gsRingAfter(gsEngineRing const& ring, std::uint32_t position)
{
  auto found =
    std::lower_bound(ring.begin(), ring.end(), position,
                     [](gsRingEntry const& entry, std::uint32_t at) {
                       return entry.Position < at;
                     });
  return found == ring.end() ? 0
                             : static_cast<std::size_t>(found - ring.begin());
}
