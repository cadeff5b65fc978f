/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTableWire.h"

void gsAddNews(gradescale::Frame& frame, std::string const& table,
               gsTableNews const& news)
{
  gradescale::TableNews* wire = frame.add_table_news();
  wire->set_table(table);
  wire->set_above_version(news.Above);
  wire->set_version(news.Version);
  wire->set_whole(news.Whole);
  wire->set_checked(!news.Unchecked);
  wire->set_check_version(news.Check.Version);
  wire->set_check_rows(news.Check.Rows);
  wire->set_check_hash(news.Check.Hash);
  wire->set_read_version(news.ReadVersion);
  for (gsTableRow const& row : news.Rows) {
    gradescale::TableRow* entry = wire->add_rows();
    entry->set_key(row.Key);
    entry->set_value(row.Value);
    entry->set_version(row.Version);
    entry->set_removed(row.Removed);
  }
}

gsTableNews gsReadNews(gradescale::TableNews const& wire)
{
  gsTableNews news;
  news.Above = wire.above_version();
  news.Version = wire.version();
  news.Whole = wire.whole();
  news.Unchecked = !wire.checked();
  news.Check = { wire.check_version(), wire.check_rows(), wire.check_hash() };
  news.ReadVersion = wire.read_version();
  for (gradescale::TableRow const& row : wire.rows()) {
    news.Rows.push_back(
      { row.key(), row.value(), row.version(), row.removed() });
  }
  return news;
}

void gsFillTables(gradescale::Frame& frame, gsRowsCheck const& routes,
                  gsRowsCheck const& upstreams)
{
  frame.clear_table_versions();
  frame.clear_table_rows();
  frame.clear_table_hashes();
  for (gsRowsCheck const& check : { routes, upstreams }) {
    frame.add_table_versions(check.Version);
    frame.add_table_rows(check.Rows);
    frame.add_table_hashes(check.Hash);
  }
}

std::optional<gsTablesTold> gsReadTables(gradescale::Frame const& frame)
{
  constexpr int tables = 2;
  gsTablesTold told;
  told.Counts =
    gsReadCounts(frame.table_rows_size(), frame.table_hashes_size(),
                 frame.table_versions_size());
  if (told.Counts == gsCountsRead::Unreadable) {
    return told;
  }
  if (frame.table_versions_size() != tables) {
    return std::nullopt;
  }
  told.Routes.Version = frame.table_versions(0);
  told.Upstreams.Version = frame.table_versions(1);
  if (told.Counts == gsCountsRead::Told) {
    told.Routes.Rows = frame.table_rows(0);
    told.Routes.Hash = frame.table_hashes(0);
    told.Upstreams.Rows = frame.table_rows(1);
    told.Upstreams.Hash = frame.table_hashes(1);
  }
  return told;
}
