/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsUpstreamList.h"

#include <algorithm>

namespace {

/** Births that are remembered; at 48 bytes each some 200 KB. */
constexpr std::size_t BirthsMost = 4096;

/** Forgets the births of upstreams that have no row. */
void ForgetBirths(gsUpstreamList& list)
{
  for (auto birth = list.Births.begin(); birth != list.Births.end();) {
    bool has = list.Rows.count(birth->first) != 0;
    birth = has ? std::next(birth) : list.Births.erase(birth);
  }
}

/** The latest start that is known of an upstream; 0 for none. */
std::uint64_t BornLast(gsUpstreamList const& list, std::string const& id)
{
  auto found = list.Births.find(id);
  return found == list.Births.end() ? 0 : found->second;
}

gsListing Compare(std::optional<gsListedUpstream> const& before,
                  gsListedUpstream const& now)
{
  if (before && before->Born != now.Born) {
    return gsListing::Restarted;
  }
  if (now.Leaving) {
    bool known = before && before->Leaving;
    return known ? gsListing::Same : gsListing::Leaving;
  }
  bool fresh = !before || before->Leaving || before->Service != now.Service;
  return fresh ? gsListing::Listed : gsListing::Same;
}

} // namespace

char const* gsListingWord(gsListing listing)
{
  switch (listing) {
    case gsListing::Same:
      return "upstream_same";
    case gsListing::Listed:
      return "upstream_listed";
    case gsListing::Leaving:
      return "upstream_leaving";
    case gsListing::Restarted:
      return "upstream_restarted";
    case gsListing::Unreadable:
      return "upstream_unreadable";
    case gsListing::Older:
      break;
  }
  return "upstream_older";
}

bool gsListHas(gsUpstreamList const& list, std::string const& id,
               std::uint64_t version)
{
  auto found = list.Rows.find(id);
  return found != list.Rows.end() && found->second.Version == version;
}

gsListing gsListTake(gsUpstreamList& list, std::string const& id,
                     std::uint64_t version,
                     gsResult<gsListedUpstream> const& read)
{
  gsNamedRow& row = list.Rows[id];
  row.Version = version;
  if (!read) {
    ++list.Unreadable;
    row.Named.reset();
    return gsListing::Unreadable;
  }
  gsListedUpstream named = read.value();
  std::uint64_t last = BornLast(list, id);
  if (named.Born == 0 && row.Named) {
    // A row that tells no birth is of the incarnation that is listed.
    named.Born = row.Named->Born;
  }
  if (named.Born < last) {
    if (row.Named && row.Named->Born < last) {
      row.Named.reset();
    }
    return gsListing::Older;
  }
  if (named.Born > 0) {
    list.Births[id] = named.Born;
  }
  if (list.Births.size() > BirthsMost) {
    ForgetBirths(list);
  }
  gsListing change = Compare(row.Named, named);
  row.Named = std::move(named);
  return change;
}

void gsListRemove(gsUpstreamList& list, std::string const& id)
{
  list.Rows.erase(id);
}

std::vector<gsListedUpstream> gsListOf(gsUpstreamList const& list)
{
  std::vector<gsListedUpstream> listed;
  listed.reserve(list.Rows.size());
  for (auto const& [id, row] : list.Rows) {
    bool known = row.Named && (list.Services.empty() ||
                               list.Services.count(row.Named->Service) != 0);
    if (known) {
      listed.push_back(*row.Named);
    }
  }
  return listed;
}

bool gsIsPlainId(std::string_view id)
{
  constexpr unsigned char firstPlain = 0x21;
  constexpr unsigned char lastPlain = 0x7E;
  return !id.empty() && std::all_of(id.begin(), id.end(), [](char c) {
    auto byte = static_cast<unsigned char>(c);
    return byte >= firstPlain && byte <= lastPlain;
  });
}
