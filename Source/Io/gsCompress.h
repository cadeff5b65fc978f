/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Compression of messages, and of texts relative to an earlier version of
 * them. A text relative to a similar one takes little more than the parts that
 * differ.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/**
 * Compresses a text.
 *
 * \param base Text that the receiver has as well; empty for none.
 */
std::string gsCompress(std::string_view text, std::string_view base = {});

/**
 * Restores a text.
 *
 * \param base The same as in gsCompress. With another one, the result may be a
 *   wrong text.
 * \param maxSize Maximum size of the text, in bytes.
 * \return Empty if the text is larger, or the bytes are malformed.
 */
std::optional<std::string> gsDecompress(std::string_view bytes,
                                        std::string_view base,
                                        std::size_t maxSize);
