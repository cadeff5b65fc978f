/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsBlockBuffer.h"

#include <algorithm>
#include <cstring>

namespace {

/** A page, with what the heap needs for itself. */
constexpr std::size_t BlockBytes = 4096 - 16;

} // namespace

void gsBlockBuffer::Append(std::string_view bytes)
{
  while (!bytes.empty()) {
    std::size_t used = this->Bytes % BlockBytes;
    if (used == 0) {
      // Not make_unique, which would write to the whole block.
      this->Blocks.emplace_back(new char[BlockBytes]);
    }
    std::size_t count = std::min(bytes.size(), BlockBytes - used);
    std::memcpy(this->Blocks.back().get() + used, bytes.data(), count);
    this->Bytes += count;
    bytes.remove_prefix(count);
  }
}

std::uint64_t gsBlockBuffer::HeldBytes() const
{
  return this->Blocks.size() * BlockBytes +
         this->Blocks.capacity() * sizeof(this->Blocks[0]);
}

void gsBlockBuffer::MoveTo(std::string& text)
{
  text.reserve(text.size() + this->Bytes);
  for (auto& block : this->Blocks) {
    std::size_t count = std::min(this->Bytes, BlockBytes);
    text.append(block.get(), count);
    this->Bytes -= count;
    block.reset();
  }
  this->Clear();
}

void gsBlockBuffer::Clear()
{
  this->Blocks.clear();
  this->Blocks.shrink_to_fit();
  this->Bytes = 0;
}
