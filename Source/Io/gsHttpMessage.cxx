/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsHttpMessage.h"

#include <cstdio>

#include <strings.h>

char const* gsBodyEndName(gsBodyEnd end)
{
  switch (end) {
    case gsBodyEnd::Status:
      return "status";
    case gsBodyEnd::Length:
      return "length";
    case gsBodyEnd::Chunks:
      return "chunks";
    case gsBodyEnd::Close:
      return "close";
    case gsBodyEnd::Unknown:
      break;
  }
  return "unknown";
}

char const* gsAnswerPartName(gsAnswerPart part)
{
  switch (part) {
    case gsAnswerPart::Head:
      return "head";
    case gsAnswerPart::Event:
      return "event";
    case gsAnswerPart::Trailers:
      return "trailers";
    case gsAnswerPart::Body:
      break;
  }
  return "body";
}

char const* gsExcessCauseName(gsAnswerExcess const& excess)
{
  return excess.IsOverBudget ? "over_budget" : "limit";
}

std::string gsDescribeExcess(gsAnswerExcess const& excess)
{
  if (excess.IsOverBudget) {
    return "The answers of all upstreams are over the limit of their memory.";
  }
  return std::string("The answer is over the limit of its ") +
         gsAnswerPartName(excess.Part) + ".";
}

gsBodyEnd gsStatedBodyEnd(std::string_view method, unsigned status,
                          gsHeaders const& headers)
{
  constexpr unsigned noContent = 204;
  constexpr unsigned notModified = 304;
  if (method == "HEAD" || status == noContent || status == notModified) {
    return gsBodyEnd::Status;
  }
  gsBodyEnd end = gsBodyEnd::Close;
  for (auto const& [name, value] : headers) {
    if (name == "transfer-encoding") {
      // Chunks end an answer only if they are its last encoding.
      std::size_t last = value.find_last_of(", ");
      std::string_view coding = value;
      coding.remove_prefix(last == std::string::npos ? 0 : last + 1);
      return strcasecmp(std::string(coding).c_str(), "chunked") == 0
               ? gsBodyEnd::Chunks
               : gsBodyEnd::Close;
    }
    if (name == "content-length") {
      end = gsBodyEnd::Length;
    }
  }
  return end;
}

std::string_view gsFindHeader(gsHeaders const& headers, std::string_view name)
{
  for (auto const& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

std::pair<std::string, std::string> gsRetryAfterHeader(double seconds)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", seconds);
  return { "Retry-After", text };
}
