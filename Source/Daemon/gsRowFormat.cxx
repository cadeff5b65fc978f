/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRowFormat.h"

#include "gsUpstreamText.h"

gsTableUpdate gsConvertTableUpdate(gsTableUpdate update,
                                   gsRowFormat newestReadable,
                                   gsAdapter const& adapter)
{
  if (newestReadable >= gsRowFormat::Compact) {
    return update;
  }
  for (gsTableRow& row : update.Rows) {
    std::optional<gsListedUpstream> upstream =
      gsParseUpstreamText(row.Key, row.Value);
    if (upstream) {
      row.Value = adapter.FormatUpstream(*upstream);
    }
  }
  return update;
}
