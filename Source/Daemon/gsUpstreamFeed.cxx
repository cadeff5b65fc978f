/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUpstreamFeed.h"

#include <map>
#include <utility>

#include "gsLog.h"

namespace {

/** More rows that change at once are told by their counts alone. */
constexpr std::size_t ToldEach = 20;

bool IsWrong(gsListing change)
{
  return change == gsListing::Unreadable || change == gsListing::Older;
}

void LogRow(std::string const& key, gsTableRow const& row, gsListing change,
            gsResult<gsListedUpstream> const& read)
{
  gsLogLine line(gsListingWord(change),
                 IsWrong(change) ? gsLogLevel::Warn : gsLogLevel::Info);
  line.With("upstream", key).With("row_version", row.Version);
  if (read) {
    line.With("born", read.value().Born);
  } else {
    line.With(read.error());
  }
}

} // namespace

/** Whether a change gets a line of its own. */
bool gsUpstreamFeed::Tells(gsListing change, bool tellsEach)
{
  if (change == gsListing::Same) {
    return false;
  }
  if (!IsWrong(change)) {
    return tellsEach;
  }
  bool tells = this->WrongToTell > 0;
  this->WrongToTell -= tells ? 1 : 0;
  return tells;
}

gsListing gsUpstreamFeed::TakeRow(std::string const& key,
                                  gsTableRow const& row, bool tellsEach,
                                  gsTime now)
{
  gsResult<gsListedUpstream> read = this->Adapter.ReadUpstream(key, row.Value);
  gsListing change = gsListTake(this->Named, key, row.Version, read);
  if (this->Tells(change, tellsEach)) {
    LogRow(key, row, change, read);
  }
  this->PutNamed(key, now);
  return change;
}

/** Puts an upstream in use as its row names it, or takes it out of use. */
void gsUpstreamFeed::PutNamed(std::string const& key, gsTime now)
{
  gsListedUpstream const* named = gsListNamed(this->Named, key);
  if (named != nullptr) {
    gsFleetPut(this->Fleet, *named, now);
  } else {
    gsFleetDrop(this->Fleet, key, now);
  }
}

void gsUpstreamFeed::Take(std::vector<std::string> const& keys,
                          gsTableWatch const& rows, gsTime now)
{
  bool tellsEach = this->ListTaken && keys.size() <= ToldEach;
  this->ListTaken = true;
  this->WrongToTell = ToldEach;
  std::map<gsListing, std::uint64_t> counts;
  std::uint64_t gone = 0;
  for (std::string const& key : keys) {
    auto row = rows.Present().find(key);
    if (row == rows.Present().end()) {
      ++gone;
      gsListRemove(this->Named, key);
      gsFleetDrop(this->Fleet, key, now);
      if (tellsEach) {
        gsLogLine("upstream_gone")
          .With("upstream", key)
          .With("row_version", rows.Version());
      }
    } else if (!gsListHas(this->Named, key, row->second.Version)) {
      ++counts[this->TakeRow(key, row->second, tellsEach, now)];
    }
  }
  gsLogLine line("upstreams");
  line.With("listed", std::uint64_t(this->Fleet.Rows.size()))
    .With("leaving", std::uint64_t(this->Fleet.LeavingRows))
    .With("rows", std::uint64_t(this->Named.Rows.size()))
    .With("changed", std::uint64_t(keys.size()))
    .With("gone", gone)
    .With("row_version", rows.Version())
    .With("complete_to", rows.CompleteTo());
  for (auto const& [change, count] : counts) {
    line.With(gsListingWord(change), count);
  }
}

void gsUpstreamFeed::TakeAll(gsTime now)
{
  for (auto const& [key, row] : this->Named.Rows) {
    this->PutNamed(key, now);
  }
}

bool gsNoteServices(gsUpstreamList& list, gsRouteTable const& table)
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
  gsForEachWorking(fleet, now, [&running](gsFleetRow const& row) {
    running[{ row.Listed.Service, row.Listed.Hall }] += row.Own.Running;
  });
  metrics.Clear("gradescale_upstream_running");
  for (auto const& [where, open] : running) {
    metrics.Set(
      "gradescale_upstream_running",
      gsLabels({ { "service", where.first }, { "hall", where.second } }),
      static_cast<double>(open));
  }
}
