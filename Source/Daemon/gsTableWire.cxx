/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTableWire.h"

void gsToWire(std::string const& table, gsTableUpdate const& update,
              gradescale::TableNews& wire)
{
  wire.set_table(table);
  wire.set_above_version(update.BaseVersion);
  wire.set_version(update.Version);
  wire.set_whole(update.IsSnapshot);
  wire.set_checked(!update.LacksDigest);
  wire.set_check_version(update.Digest.Version);
  wire.set_check_rows(update.Digest.RowsPlusOne);
  wire.set_check_hash(update.Digest.Hash);
  wire.set_read_version(update.ReadVersion);
  for (gsTableRow const& row : update.Rows) {
    gradescale::TableRow* entry = wire.add_rows();
    entry->set_key(row.Key);
    entry->set_value(row.Value);
    entry->set_version(row.Version);
    entry->set_removed(row.Removed);
  }
}

void gsAddTableUpdate(gradescale::Frame& frame, std::string const& table,
                      gsTableUpdate const& update)
{
  gsToWire(table, update, *frame.add_table_news());
}

gsTableUpdate gsParseTableUpdate(gradescale::TableNews const& wire)
{
  gsTableUpdate update;
  update.BaseVersion = wire.above_version();
  update.Version = wire.version();
  update.IsSnapshot = wire.whole();
  update.LacksDigest = !wire.checked();
  update.Digest = { wire.check_version(), wire.check_rows(),
                    wire.check_hash() };
  update.ReadVersion = wire.read_version();
  for (gradescale::TableRow const& row : wire.rows()) {
    update.Rows.push_back(
      { row.key(), row.value(), row.version(), row.removed() });
  }
  return update;
}

void gsFillTableDigests(gradescale::Frame& frame, gsTableDigest const& routes,
                        gsTableDigest const& upstreams)
{
  frame.clear_table_versions();
  frame.clear_table_rows();
  frame.clear_table_hashes();
  for (gsTableDigest const& check : { routes, upstreams }) {
    frame.add_table_versions(check.Version);
    frame.add_table_rows(check.RowsPlusOne);
    frame.add_table_hashes(check.Hash);
  }
}

std::optional<gsTablesHeader> gsParseTableDigests(
  gradescale::Frame const& frame)
{
  constexpr int tableCount = 2;
  gsTablesHeader header;
  header.DigestFields =
    gsClassifyDigestFields(frame.table_rows_size(), frame.table_hashes_size(),
                           frame.table_versions_size());
  if (header.DigestFields == gsDigestFields::Malformed) {
    return header;
  }
  if (frame.table_versions_size() != tableCount) {
    return std::nullopt;
  }
  header.Routes.Version = frame.table_versions(0);
  header.Upstreams.Version = frame.table_versions(1);
  if (header.DigestFields == gsDigestFields::Present) {
    header.Routes.RowsPlusOne = frame.table_rows(0);
    header.Routes.Hash = frame.table_hashes(0);
    header.Upstreams.RowsPlusOne = frame.table_rows(1);
    header.Upstreams.Hash = frame.table_hashes(1);
  }
  return header;
}
