/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Bytes of unknown number that are gathered in blocks of one size. Many
 * buffers that grow side by side leave no holes in the heap, as they would if
 * each was moved to a larger block again and again.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

class gsBlockBuffer
{
public:
  void Append(std::string_view bytes);
  std::size_t Size() const { return this->Bytes; }
  /** Memory of the blocks. */
  std::uint64_t HeldBytes() const;
  /** Appends the contents to a text, and frees each block once it is copied.
   */
  void MoveTo(std::string& text);
  void Clear();

private:
  std::vector<std::unique_ptr<char[]>> Blocks;
  /** Of the contents; all blocks but the last are full. */
  std::size_t Bytes = 0;
};
