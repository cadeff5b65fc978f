/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * The head of an answer, checked against its grammar (RFC 9112, 2 to 6) line
 * by line as it is received.
 *
 * A connection may carry the begin of one answer and then another answer. A
 * cut between two lines gives a second status line; a cut within a line gives
 * one that contains a status line, in its reason, its field name or its value.
 * Both are well-formed lines to a reader that only splits them, and would give
 * the status of one answer with the fields and the body of the other. So a
 * head that contains a second status line anywhere is no head.
 *
 * Where the grammar lets a recipient choose, what is damaged is refused rather
 * than repaired. Lines may end with LF alone (RFC 9112, 2.2), but all lines of
 * a head in the same way: a single LF among CRLF makes two fields of a value.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gsHttpMessage.h"

/** A rule of the grammar that a head breaks. */
enum class gsHeadFault
{
  None,
  StatusLine,       ///< It does not begin with a status line of HTTP/1.x.
  SecondStatusLine, ///< A line contains the status line of another answer.
  LineEnd,          ///< A bare CR, or CRLF beside LF alone.
  Folding,          ///< A line continues the one before it.
  NoColon,          ///< A line is no field.
  FieldName,        ///< A field's name is no token.
  FieldValue,       ///< A control character in a field's value.
  RepeatedField,    ///< A field that must be one comes twice.
  Length,           ///< The length is no number, or there are two lengths.
  Coding,           ///< Not chunks alone, or chunks where none may be.
  Upgrade           ///< The protocol changes, which no call asks for.
};

/** One word on a fault, for logs and metrics. */
char const* gsHeadFaultName(gsHeadFault fault);

/**
 * A head that is being received, and the interim answers (1xx) before it.
 * Nothing of it may be used before it is complete, or after a fault.
 */
struct gsAnswerHead
{
  unsigned Status = 0; ///< Zero before the status line.
  std::string Reason;
  bool IsHttp10 = false;
  /** Names in lower case, values without surrounding whitespace, as they are
   * written. */
  gsHeaders Headers;
  /** The final answer's head has ended. Lines after it are trailers, which
   * are checked and dropped. */
  bool IsComplete = false;
  gsHeadFault Fault = gsHeadFault::None;
  /** Lines so far, those of interim answers and trailers included. */
  std::uint32_t Lines = 0;
  /** Whether its lines end with CRLF; unset before its first line. */
  std::optional<bool> EndsInCrlf;
};

/**
 * Adds a line to a head.
 *
 * \param line With its line end.
 * \param singleFields Names, in lower case, of fields that must not be
 *        repeated, beside those that frame the answer.
 * \return The rule that the head breaks, which stays in the head: no further
 *         line is added to it.
 */
gsHeadFault gsReadHeadLine(gsAnswerHead& head, std::string_view line,
                           std::vector<std::string_view> const& singleFields);

/** One sentence on the fault of a head. */
std::string gsDescribeHeadFault(gsAnswerHead const& head);
