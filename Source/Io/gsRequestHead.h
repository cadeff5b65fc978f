/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Checks of a request's head beyond those of the server's library. A head that
 * may be read in two ways states two ends of its body, so that the bytes
 * behind one of them are a request that nobody sent (RFC 9112, 11.2).
 */
#pragma once

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

/** Header lines of a request as they came. */
using gsHeaderViews =
  std::vector<std::pair<std::string_view, std::string_view>>;

/**
 * What is wrong with the header lines of a request, as the end of a sentence;
 * empty if they can be read in one way only.
 *
 * \param readsChunks Whether the request's version has transfer codings.
 */
std::optional<std::string_view> gsFindHeadFault(gsHeaderViews const& headers,
                                                bool readsChunks);
