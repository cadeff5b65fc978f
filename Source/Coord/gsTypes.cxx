/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTypes.h"

std::string gsFormatId(gsRequestId const& id)
{
  constexpr int hexDigits = 16;
  std::string text(hexDigits, '0');
  std::uint64_t rest = id.Host;
  for (int i = hexDigits - 1; i >= 0; --i) {
    text[static_cast<std::size_t>(i)] = "0123456789abcdef"[rest & 0xFU];
    rest >>= 4U;
  }
  text += '-' + std::to_string(id.Sequence);
  text += '.' + std::to_string(id.Attempt);
  return text;
}

char const* gsRanWord(gsRan ran)
{
  switch (ran) {
    case gsRan::No:
      return "no";
    case gsRan::Unknown:
      return "unknown";
    case gsRan::Yes:
      break;
  }
  return "yes";
}
