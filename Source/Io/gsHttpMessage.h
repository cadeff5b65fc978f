/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Headers of HTTP messages, and how the end of an answer's body is known. The
 * end of a connection is no end of a body: a process that ends closes its
 * connections in the same way as one that has sent all of an answer.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using gsHeaders = std::vector<std::pair<std::string, std::string>>;

/** Value of a header, by its lower-case name; empty if it is absent. */
std::string_view gsFindHeader(gsHeaders const& headers, std::string_view name);

/** How the end of an answer's body is known (RFC 9112, 6.3). */
enum class gsBodyEnd
{
  Unknown, ///< The answer broke off, or its head is incomplete.
  Status,  ///< Its status, or the request's method, says that it has no body.
  Length,  ///< Its length is stated.
  Chunks,  ///< Its last chunk is marked.
  Close    ///< Nothing states it: the body ends with its connection.
};

char const* gsBodyEndName(gsBodyEnd end);

/** A part of an answer that has a limit of its own. */
enum class gsAnswerPart
{
  Head,     ///< Its header lines, with those of interim answers before it.
  Event,    ///< An incomplete event of a stream.
  Body,     ///< A body that is received as a whole.
  Trailers, ///< The header lines after a body in chunks.
};

char const* gsAnswerPartName(gsAnswerPart part);

/** Why an answer was ended before its end. */
struct gsAnswerExcess
{
  gsAnswerPart Part = gsAnswerPart::Event;
  std::uint64_t Bytes = 0; ///< Of the part, when the answer was ended.
  std::uint64_t Limit = 0;
  /** The limit is that of all answers together. */
  bool IsOverBudget = false;
};

char const* gsExcessCauseName(gsAnswerExcess const& excess);
/** One sentence on it. */
std::string gsDescribeExcess(gsAnswerExcess const& excess);

/** How the end of an answer's body is to be known by its head, the names of
 * whose headers are in lower case. */
gsBodyEnd gsStatedBodyEnd(std::string_view method, unsigned status,
                          gsHeaders const& headers);

/** The header that tells a caller when to come back. */
std::pair<std::string, std::string> gsRetryAfterHeader(double seconds);
