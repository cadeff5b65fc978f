/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTypes.h"

std::string gsFormatRequestId(gsRequestId const& id)
{
  constexpr int hexDigits = 16;
  std::string text(hexDigits, '0');
  std::uint64_t remaining = id.Host;
  for (int i = hexDigits - 1; i >= 0; --i) {
    text[static_cast<std::size_t>(i)] = "0123456789abcdef"[remaining & 0xFU];
    remaining >>= 4U;
  }
  text += '-' + std::to_string(id.Sequence);
  text += '.' + std::to_string(id.Attempt);
  return text;
}

char const* gsExecutedText(gsExecuted executed)
{
  switch (executed) {
    case gsExecuted::No:
      return "no";
    case gsExecuted::Unknown:
      return "unknown";
    case gsExecuted::Yes:
      break;
  }
  return "yes";
}
