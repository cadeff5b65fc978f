/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUpstreamList.h"

#include <algorithm>

namespace {

/**
 * Maximum number of start times retained of upstreams without a row. At about
 * 100 bytes each they take 400 KB. They are scanned only when this many
 * upstreams have been removed since the last scan, so the amortised cost of
 * applying a row does not depend on the number of rows: 20,000 rows take 30 ms
 * of a full core.
 */
constexpr std::size_t MaxUnlistedStarts = 4096;

/** Removes the start times of upstreams without a row if there are more than
 * MaxUnlistedStarts of them. */
void PruneStartTimes(gsUpstreamList& list)
{
  if (list.LatestStarts.size() <= list.Rows.size() + MaxUnlistedStarts) {
    return;
  }
  for (auto start = list.LatestStarts.begin();
       start != list.LatestStarts.end();) {
    bool isListed = list.Rows.count(start->first) != 0;
    start = isListed ? std::next(start) : list.LatestStarts.erase(start);
  }
}

/** Latest known start time of an upstream; 0 if none is known. */
std::uint64_t LatestStart(gsUpstreamList const& list, std::string const& id)
{
  auto found = list.LatestStarts.find(id);
  return found == list.LatestStarts.end() ? 0 : found->second;
}

gsListingChange ClassifyChange(std::optional<gsListedUpstream> const& before,
                               gsListedUpstream const& after)
{
  if (before && before->StartedAt != after.StartedAt) {
    return gsListingChange::Restarted;
  }
  if (after.Leaving) {
    bool wasLeaving = before && before->Leaving;
    return wasLeaving ? gsListingChange::Unchanged : gsListingChange::Leaving;
  }
  bool isNew = !before || before->Leaving || before->Service != after.Service;
  return isNew ? gsListingChange::Listed : gsListingChange::Unchanged;
}

} // namespace

char const* gsListingChangeName(gsListingChange listing)
{
  switch (listing) {
    case gsListingChange::Unchanged:
      return "upstream_same";
    case gsListingChange::Listed:
      return "upstream_listed";
    case gsListingChange::Leaving:
      return "upstream_leaving";
    case gsListingChange::Restarted:
      return "upstream_restarted";
    case gsListingChange::Unreadable:
      return "upstream_unreadable";
    case gsListingChange::Outdated:
      break;
  }
  return "upstream_older";
}

bool gsListHasVersion(gsUpstreamList const& list, std::string const& id,
                      std::uint64_t version)
{
  auto found = list.Rows.find(id);
  return found != list.Rows.end() && found->second.Version == version;
}

gsListingChange gsListApplyRow(gsUpstreamList& list, std::string const& id,
                               std::uint64_t version,
                               gsResult<gsListedUpstream> const& read)
{
  gsUpstreamListRow& row = list.Rows[id];
  row.Version = version;
  if (!read) {
    ++list.UnreadableCount;
    row.Upstream.reset();
    return gsListingChange::Unreadable;
  }
  gsListedUpstream upstream = read.value();
  std::uint64_t latest = LatestStart(list, id);
  if (upstream.StartedAt == 0 && row.Upstream) {
    // A row without a start time describes the listed incarnation.
    upstream.StartedAt = row.Upstream->StartedAt;
  }
  if (upstream.StartedAt < latest) {
    if (row.Upstream && row.Upstream->StartedAt < latest) {
      row.Upstream.reset();
    }
    return gsListingChange::Outdated;
  }
  if (upstream.StartedAt > 0) {
    list.LatestStarts[id] = upstream.StartedAt;
  }
  PruneStartTimes(list);
  gsListingChange change = ClassifyChange(row.Upstream, upstream);
  row.Upstream = std::move(upstream);
  return change;
}

void gsListRemoveRow(gsUpstreamList& list, std::string const& id)
{
  list.Rows.erase(id);
}

gsListedUpstream const* gsListFind(gsUpstreamList const& list,
                                   std::string const& id)
{
  auto row = list.Rows.find(id);
  if (row == list.Rows.end() || !row->second.Upstream) {
    return nullptr;
  }
  gsListedUpstream const& upstream = *row->second.Upstream;
  bool isKnown =
    list.Services.empty() || list.Services.count(upstream.Service) != 0;
  return isKnown ? &upstream : nullptr;
}

std::vector<gsListedUpstream> gsListUpstreams(gsUpstreamList const& list)
{
  std::vector<gsListedUpstream> upstreams;
  upstreams.reserve(list.Rows.size());
  for (auto const& [id, row] : list.Rows) {
    if (gsListedUpstream const* upstream = gsListFind(list, id)) {
      upstreams.push_back(*upstream);
    }
  }
  return upstreams;
}

bool gsIsPrintableId(std::string_view id)
{
  constexpr unsigned char firstPrintable = 0x21;
  constexpr unsigned char lastPrintable = 0x7E;
  return !id.empty() && std::all_of(id.begin(), id.end(), [](char c) {
    auto byte = static_cast<unsigned char>(c);
    return byte >= firstPrintable && byte <= lastPrintable;
  });
}
