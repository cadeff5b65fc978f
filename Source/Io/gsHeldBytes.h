/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Counts of the bytes that are held for callers and upstreams. Each holder
 * contributes to a total and takes its part back when it is destroyed, so that
 * a broken connection leaves nothing in the total.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

/** Bytes held, by kind. */
struct gsHeldTotals
{
  std::uint64_t Bodies = 0;   ///< Request bodies that have been received.
  std::uint64_t Expected = 0; ///< Announced by Content-Length, not received.
  std::uint64_t Answers = 0; ///< Whole answers, until their callers have them.
  std::uint64_t Events = 0;  ///< Of streams, until their callers have them.
  std::uint64_t Partial = 0; ///< Incomplete events, which no caller awaits.
  std::uint64_t Uploads = 0; ///< Copies of bodies for upstreams.
  std::uint64_t Fetched = 0; ///< Answers for this host itself (gsFetch).
};

/** Appends to a buffer that grows by doubling, but not beyond a limit as long
 * as its contents are within that. */
inline void gsAppendWithin(std::string& buffer, std::string_view bytes,
                           std::size_t limit)
{
  std::size_t needed = buffer.size() + bytes.size();
  if (needed > buffer.capacity()) {
    // A string that has contents at least doubles when it reserves.
    std::string grown;
    grown.reserve(std::max(needed, std::min(2 * buffer.capacity(), limit)));
    grown.append(buffer);
    buffer.swap(grown);
  }
  buffer.append(bytes);
}

/** Appends to one of many small buffers, which has little spare memory. */
inline void gsAppendCompactly(std::string& buffer, std::string_view bytes)
{
  constexpr std::size_t spareDivisor = 4;
  std::size_t needed = buffer.size() + bytes.size();
  gsAppendWithin(buffer, bytes, needed + needed / spareDivisor);
}

/** One holder's part of a total. */
class gsHeldBytes
{
public:
  using Kind = std::uint64_t gsHeldTotals::*;

  gsHeldBytes(std::shared_ptr<gsHeldTotals> totals, Kind kind)
    : Totals(std::move(totals))
    , Of(kind)
  {
  }
  ~gsHeldBytes() { this->Set(0); }
  gsHeldBytes(gsHeldBytes const&) = delete;
  gsHeldBytes& operator=(gsHeldBytes const&) = delete;

  /** Changes the part to a number of bytes. */
  void Set(std::uint64_t bytes)
  {
    (*this->Totals).*this->Of += bytes - this->Bytes;
    this->Bytes = bytes;
  }
  std::uint64_t Value() const { return this->Bytes; }

private:
  std::shared_ptr<gsHeldTotals> Totals;
  Kind Of;
  std::uint64_t Bytes = 0;
};
