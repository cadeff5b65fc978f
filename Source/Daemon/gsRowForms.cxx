/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRowForms.h"

#include "gsUpstreamText.h"

gsTableNews gsNewsInForm(gsTableNews news, gsRowForm reads,
                         gsAdapter const& adapter)
{
  if (reads >= gsRowForm::Compact) {
    return news;
  }
  for (gsTableRow& row : news.Rows) {
    std::optional<gsListedUpstream> upstream =
      gsReadUpstreamText(row.Key, row.Value);
    if (upstream) {
      row.Value = adapter.WriteUpstream(*upstream);
    }
  }
  return news;
}
