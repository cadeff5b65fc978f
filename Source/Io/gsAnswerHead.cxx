/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsAnswerHead.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>

#include <strings.h>

namespace {

constexpr std::string_view Blanks = " \t";
constexpr std::string_view ProtocolName = "HTTP/";
constexpr std::size_t StatusDigits = 3;
constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned FirstStatus = 100;
constexpr unsigned LastStatus = 599;
constexpr unsigned FirstFinalStatus = 200;

bool IsDigit(char c)
{
  return c >= '0' && c <= '9';
}

bool IsBlank(char c)
{
  return Blanks.find(c) != std::string_view::npos;
}

/** RFC 9110, 5.6.2. */
bool IsTokenCharacter(char c)
{
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return isLetter || IsDigit(c) || marks.find(c) != std::string_view::npos;
}

/** Whether a character may be in a value or a reason (RFC 9110, 5.5). */
bool IsTextCharacter(char c)
{
  constexpr unsigned char firstPrintable = 0x20;
  constexpr unsigned char del = 0x7f;
  auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= firstPrintable && byte != del);
}

bool IsText(std::string_view text)
{
  return std::all_of(text.begin(), text.end(), IsTextCharacter);
}

std::string_view Trim(std::string_view text)
{
  std::size_t first = text.find_first_not_of(Blanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

/** Removes the longest prefix whose characters match. \return Its length. */
template<typename Predicate>
std::size_t Skip(std::string_view& text, Predicate matches)
{
  auto end = std::find_if_not(text.begin(), text.end(), matches);
  auto length = static_cast<std::size_t>(end - text.begin());
  text.remove_prefix(length);
  return length;
}

/** Whether a text begins with the digits of a status that end there. A value
 * such as "HTTP/1.1 127.0.0.1" names a host. */
bool BeginsWithStatus(std::string_view text)
{
  return Skip(text, IsDigit) == StatusDigits &&
         (text.empty() || IsBlank(text.front()));
}

/** Whether the part of a text after the protocol's name, whose version may be
 * any, is the rest of a status line. */
bool IsRestOfStatusLine(std::string_view text)
{
  auto isOfVersion = [](char c) { return IsDigit(c) || c == '.'; };
  return Skip(text, isOfVersion) > 0 && Skip(text, IsBlank) > 0 &&
         BeginsWithStatus(text);
}

/** Whether a status line begins within a text. The protocol's name is read
 * without its case: an answer that writes it otherwise has to be told too. */
bool ContainsStatusLine(std::string_view text)
{
  for (std::size_t slash = text.find('/'); slash != std::string_view::npos;
       slash = text.find('/', slash + 1)) {
    std::size_t after = slash + 1;
    bool isNamed = after >= ProtocolName.size() &&
                   strncasecmp(text.data() + after - ProtocolName.size(),
                               ProtocolName.data(), ProtocolName.size()) == 0;
    if (isNamed && IsRestOfStatusLine(text.substr(after))) {
      return true;
    }
  }
  return false;
}

std::optional<std::uint64_t> ParseLength(std::string_view text)
{
  constexpr auto most =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  std::uint64_t length = 0;
  char const* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, length);
  bool isNumber = parsed.ec == std::errc() && parsed.ptr == end;
  return isNumber && length <= most ? std::optional<std::uint64_t>(length)
                                    : std::nullopt;
}

bool HasHeader(gsHeaders const& headers, std::string_view name)
{
  return std::any_of(
    headers.begin(), headers.end(),
    [name](auto const& header) { return header.first == name; });
}

/** Checks a length beside the fields before it. Two that say the same are one
 * (RFC 9110, 8.6). */
gsHeadFault CheckLength(gsAnswerHead const& head, std::string_view value)
{
  std::optional<std::uint64_t> length = ParseLength(value);
  if (!length) {
    return gsHeadFault::Length;
  }
  if (HasHeader(head.Headers, "transfer-encoding")) {
    return gsHeadFault::Coding;
  }
  bool isFirst = !HasHeader(head.Headers, "content-length");
  bool isSame =
    isFirst ||
    ParseLength(gsFindHeader(head.Headers, "content-length")) == length;
  return isSame ? gsHeadFault::None : gsHeadFault::Length;
}

/** Checks a transfer coding beside the fields before it (RFC 9112, 6.1). */
gsHeadFault CheckCoding(gsAnswerHead const& head, std::string_view value)
{
  bool isChunked = strcasecmp(std::string(value).c_str(), "chunked") == 0;
  bool isAlone = !HasHeader(head.Headers, "transfer-encoding") &&
                 !HasHeader(head.Headers, "content-length");
  return isChunked && isAlone && !head.IsHttp10 ? gsHeadFault::None
                                                : gsHeadFault::Coding;
}

gsHeadFault CheckField(gsAnswerHead const& head, std::string_view name,
                       std::string_view value,
                       std::vector<std::string_view> const& singleFields)
{
  if (name == "content-length") {
    return CheckLength(head, value);
  }
  if (name == "transfer-encoding") {
    return CheckCoding(head, value);
  }
  bool isSingle = std::find(singleFields.begin(), singleFields.end(), name) !=
                  singleFields.end();
  return isSingle && HasHeader(head.Headers, name) ? gsHeadFault::RepeatedField
                                                   : gsHeadFault::None;
}

gsHeadFault ReadField(gsAnswerHead& head, std::string_view line,
                      std::vector<std::string_view> const& singleFields)
{
  if (IsBlank(line.front())) {
    return gsHeadFault::Folding;
  }
  std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return gsHeadFault::NoColon;
  }
  std::string name(line.substr(0, colon));
  if (name.empty() ||
      !std::all_of(name.begin(), name.end(), IsTokenCharacter)) {
    return gsHeadFault::FieldName;
  }
  std::string_view value = Trim(line.substr(colon + 1));
  if (!IsText(value)) {
    return gsHeadFault::FieldValue;
  }
  if (head.IsComplete) {
    return gsHeadFault::None;
  }
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  gsHeadFault fault = CheckField(head, name, value, singleFields);
  if (fault == gsHeadFault::None) {
    head.Headers.emplace_back(std::move(name), std::string(value));
  }
  return fault;
}

/** Reads a status line; the blank before an empty reason may be missing. */
gsHeadFault ReadStatusLine(gsAnswerHead& head, std::string_view line)
{
  constexpr std::string_view version = "HTTP/1.";
  constexpr std::size_t codeAt = version.size() + 2;
  constexpr std::size_t codeEnd = codeAt + StatusDigits;
  bool hasVersion =
    line.size() >= codeEnd && line.substr(0, version.size()) == version &&
    (line[version.size()] == '0' || line[version.size()] == '1');
  if (!hasVersion || line[codeAt - 1] != ' ') {
    return gsHeadFault::StatusLine;
  }
  unsigned status = 0;
  char const* end = line.data() + codeEnd;
  auto parsed = std::from_chars(line.data() + codeAt, end, status);
  bool isNumber = parsed.ec == std::errc() && parsed.ptr == end;
  bool isAlone = line.size() == codeEnd || line[codeEnd] == ' ';
  if (!isNumber || !isAlone || status < FirstStatus || status > LastStatus ||
      !IsText(line.substr(codeEnd))) {
    return gsHeadFault::StatusLine;
  }
  if (status == SwitchingProtocols) {
    return gsHeadFault::Upgrade;
  }
  head.Status = status;
  head.Reason = line.substr(std::min(codeEnd + 1, line.size()));
  head.IsHttp10 = line[version.size()] == '0';
  return gsHeadFault::None;
}

/** Ends the head of an answer; another one comes after that of an interim
 * answer. */
gsHeadFault EndHead(gsAnswerHead& head)
{
  if (head.Status == 0) {
    return gsHeadFault::StatusLine;
  }
  if (head.IsComplete || head.Status >= FirstFinalStatus) {
    head.IsComplete = true;
    return gsHeadFault::None;
  }
  std::uint32_t lines = head.Lines;
  head = {};
  head.Lines = lines;
  return gsHeadFault::None;
}

/** Removes the end of a line. */
gsHeadFault TakeLineEnd(gsAnswerHead& head, std::string_view& line)
{
  if (line.empty() || line.back() != '\n') {
    return gsHeadFault::LineEnd;
  }
  line.remove_suffix(1);
  bool isCrlf = !line.empty() && line.back() == '\r';
  line.remove_suffix(isCrlf ? 1 : 0);
  // The library ends trailers with CRLF whatever they ended with.
  bool isSame = head.IsComplete || head.EndsInCrlf.value_or(isCrlf) == isCrlf;
  head.EndsInCrlf = isCrlf;
  bool hasCr = line.find('\r') != std::string_view::npos;
  return isSame && !hasCr ? gsHeadFault::None : gsHeadFault::LineEnd;
}

gsHeadFault ReadLine(gsAnswerHead& head, std::string_view line,
                     std::vector<std::string_view> const& singleFields)
{
  gsHeadFault ending = TakeLineEnd(head, line);
  bool isFirst = head.Status == 0;
  if (ContainsStatusLine(line.substr(isFirst && !line.empty() ? 1 : 0))) {
    return gsHeadFault::SecondStatusLine;
  }
  if (ending != gsHeadFault::None) {
    return ending;
  }
  if (line.empty()) {
    return EndHead(head);
  }
  return isFirst ? ReadStatusLine(head, line)
                 : ReadField(head, line, singleFields);
}

} // namespace

char const* gsHeadFaultName(gsHeadFault fault)
{
  switch (fault) {
    case gsHeadFault::None:
      break;
    case gsHeadFault::StatusLine:
      return "status_line";
    case gsHeadFault::SecondStatusLine:
      return "second_status_line";
    case gsHeadFault::LineEnd:
      return "line_end";
    case gsHeadFault::Folding:
      return "folding";
    case gsHeadFault::NoColon:
      return "no_colon";
    case gsHeadFault::FieldName:
      return "field_name";
    case gsHeadFault::FieldValue:
      return "field_value";
    case gsHeadFault::RepeatedField:
      return "repeated_field";
    case gsHeadFault::Length:
      return "length";
    case gsHeadFault::Coding:
      return "coding";
    case gsHeadFault::Upgrade:
      return "upgrade";
  }
  return "none";
}

namespace {

char const* FaultPhrase(gsHeadFault fault)
{
  switch (fault) {
    case gsHeadFault::None:
      break;
    case gsHeadFault::StatusLine:
      return "is no status line of HTTP/1.0 or 1.1";
    case gsHeadFault::SecondStatusLine:
      return "contains the status line of another answer";
    case gsHeadFault::LineEnd:
      return "contains a bare CR, or ends unlike the lines before it";
    case gsHeadFault::Folding:
      return "continues the line before it";
    case gsHeadFault::NoColon:
      return "is no field: it has no colon";
    case gsHeadFault::FieldName:
      return "has a field name that is no token";
    case gsHeadFault::FieldValue:
      return "has a field value with a control character";
    case gsHeadFault::RepeatedField:
      return "repeats a field that must be one";
    case gsHeadFault::Length:
      return "states a length that is no number, or another length";
    case gsHeadFault::Coding:
      return "states another transfer coding than chunks alone, or chunks "
             "beside a length or in HTTP/1.0";
    case gsHeadFault::Upgrade:
      return "changes the protocol, which was not asked for";
  }
  return "is sound";
}

} // namespace

gsHeadFault gsReadHeadLine(gsAnswerHead& head, std::string_view line,
                           std::vector<std::string_view> const& singleFields)
{
  if (head.Fault == gsHeadFault::None) {
    ++head.Lines;
    head.Fault = ReadLine(head, line, singleFields);
  }
  return head.Fault;
}

std::string gsDescribeHeadFault(gsAnswerHead const& head)
{
  return "Line " + std::to_string(head.Lines) + " of the answer's " +
         (head.IsComplete ? "head and trailers " : "head ") +
         FaultPhrase(head.Fault) + ".";
}
