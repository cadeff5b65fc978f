/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUpstreamFeed.h"

#include <map>
#include <utility>

#include "gsLog.h"

namespace {

/**
 * Limit on rows that are logged individually; if more change at once, only the
 * counts are logged.
 */
constexpr std::size_t MaxLoggedRows = 20;

bool IsRejected(gsListingChange change)
{
  return change == gsListingChange::Unreadable ||
         change == gsListingChange::Outdated;
}

void LogRow(std::string const& key, gsTableRow const& row,
            gsListingChange change, gsResult<gsListedUpstream> const& read)
{
  gsLogLine line(gsListingChangeName(change),
                 IsRejected(change) ? gsLogLevel::Warn : gsLogLevel::Info);
  line.With("upstream", key).With("row_version", row.Version);
  if (read) {
    line.With("born", read.value().StartedAt);
  } else {
    line.With(read.error());
  }
}

} // namespace

/**
 * Whether a change has a log line of its own. Counts a rejected row against
 * WarningsLeft.
 */
bool gsUpstreamFeed::ShouldLog(gsListingChange change, bool logsEachRow)
{
  if (change == gsListingChange::Unchanged) {
    return false;
  }
  if (!IsRejected(change)) {
    return logsEachRow;
  }
  bool shouldLog = this->WarningsLeft > 0;
  this->WarningsLeft -= shouldLog ? 1 : 0;
  return shouldLog;
}

gsListingChange gsUpstreamFeed::ApplyRow(std::string const& key,
                                         gsTableRow const& row,
                                         bool logsEachRow, gsTime now)
{
  gsResult<gsListedUpstream> read =
    this->Adapter.ParseUpstream(key, row.Value);
  gsListingChange change =
    gsListApplyRow(this->UpstreamList, key, row.Version, read);
  if (this->ShouldLog(change, logsEachRow)) {
    LogRow(key, row, change, read);
  }
  this->ApplyListing(key, now);
  return change;
}

/**
 * Adds or updates an upstream in the fleet as its row lists it, or removes it
 * if the row lists none.
 */
void gsUpstreamFeed::ApplyListing(std::string const& key, gsTime now)
{
  gsListedUpstream const* listed = gsListFind(this->UpstreamList, key);
  if (listed != nullptr) {
    gsFleetUpsert(this->Fleet, *listed, now);
  } else {
    gsFleetRemove(this->Fleet, key, now);
  }
}

void gsUpstreamFeed::ApplyRows(std::vector<std::string> const& keys,
                               gsTableWatch const& rows, gsTime now)
{
  bool logsEachRow = this->HasInitialList && keys.size() <= MaxLoggedRows;
  this->HasInitialList = true;
  this->WarningsLeft = MaxLoggedRows;
  std::map<gsListingChange, std::uint64_t> counts;
  std::uint64_t removed = 0;
  for (std::string const& key : keys) {
    auto row = rows.LiveRows().find(key);
    if (row == rows.LiveRows().end()) {
      ++removed;
      gsListRemoveRow(this->UpstreamList, key);
      gsFleetRemove(this->Fleet, key, now);
      if (logsEachRow) {
        gsLogLine("upstream_gone")
          .With("upstream", key)
          .With("row_version", rows.LastChangeVersion());
      }
    } else if (!gsListHasVersion(this->UpstreamList, key,
                                 row->second.Version)) {
      ++counts[this->ApplyRow(key, row->second, logsEachRow, now)];
    }
  }
  gsLogLine line("upstreams");
  line.With("listed", std::uint64_t(this->Fleet.Rows.size()))
    .With("leaving", std::uint64_t(this->Fleet.LeavingRowCount))
    .With("rows", std::uint64_t(this->UpstreamList.Rows.size()))
    .With("changed", std::uint64_t(keys.size()))
    .With("gone", removed)
    .With("row_version", rows.LastChangeVersion())
    .With("complete_to", rows.CompleteVersion());
  for (auto const& [change, count] : counts) {
    line.With(gsListingChangeName(change), count);
  }
}

void gsUpstreamFeed::ApplyAllRows(gsTime now)
{
  for (auto const& [key, row] : this->UpstreamList.Rows) {
    this->ApplyListing(key, now);
  }
}

bool gsAddServices(gsUpstreamList& list, gsRouteTable const& table)
{
  std::set<std::string>& known = list.Services;
  std::size_t before = known.size();
  for (gsRouteService const& service : table.Services) {
    known.insert(service.Name);
  }
  for (gsRoute const& route : table.Routes) {
    for (gsRouteShare const& share : route.Shares) {
      known.insert(share.Service);
    }
  }
  return known.size() != before;
}

void gsWriteUpstreamGauges(gsMetrics& metrics, gsFleet& fleet, gsTime now)
{
  std::map<std::pair<std::string, std::string>, std::uint64_t> running;
  gsForEachReportable(fleet, now, [&running](gsFleetRow const& row) {
    running[{ row.Listed.Service, row.Listed.Hall }] +=
      row.OwnLoad.OpenAttempts;
  });
  metrics.RemoveValues("gradescale_upstream_running");
  for (auto const& [where, open] : running) {
    metrics.Set(
      "gradescale_upstream_running",
      gsLabels({ { "service", where.first }, { "hall", where.second } }),
      static_cast<double>(open));
  }
}
