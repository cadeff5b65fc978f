/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRowHistory.h"

#include <algorithm>
#include <utility>

#include "gsCompress.h"
#include "gsRendezvous.h"

namespace {

/** Versions of a value that are kept. Coordinators receive patches from
 * several halls, between different versions. */
constexpr std::size_t MaxValues = 4;
/** Patches of a row that are kept. A host that lacks more versions is sent the
 * value. */
constexpr std::size_t MaxPatches = 64;
/** Bytes of a row's patches that are kept. */
constexpr std::size_t MaxPatchBytes = 32768;
/** Maximum size of a value that results from a patch. */
constexpr std::size_t MaxValueBytes = 32U << 20U;

std::size_t PatchBytes(gsRowVersions const& row)
{
  std::size_t bytes = 0;
  for (gsRowPatch const& patch : row.Patches) {
    bytes += patch.Bytes.size();
  }
  return bytes;
}

/** Adds the newest version of a row and the patch that leads to it. */
void AddVersion(gsRowVersions& row, gsTableRow const& next)
{
  if (!row.Values.empty()) {
    gsRowVersions::Value const& last = row.Values.back();
    row.Patches.push_back({ last.Version, next.Version,
                            gsCompress(next.Value, last.Text),
                            gsHashText(next.Value) });
  }
  row.Values.push_back({ next.Version, next.Value });
  if (row.Values.size() > MaxValues) {
    row.Values.pop_front();
  }
  while (row.Patches.size() > MaxPatches || PatchBytes(row) > MaxPatchBytes) {
    row.Patches.pop_front();
  }
}

/** Applies the patches that follow a version to it. */
std::optional<std::string> ApplyTo(gsRowVersions::Value const& value,
                                   std::vector<gsRowPatch> const& patches)
{
  auto patch = std::find_if(patches.begin(), patches.end(),
                            [&value](gsRowPatch const& one) {
                              return one.BaseVersion == value.Version;
                            });
  if (patch == patches.end()) {
    return std::nullopt;
  }
  std::string text = value.Text;
  for (; patch != patches.end(); ++patch) {
    std::optional<std::string> next =
      gsDecompress(patch->Bytes, text, MaxValueBytes);
    if (!next || gsHashText(*next) != patch->ValueHash) {
      return std::nullopt;
    }
    text = std::move(*next);
  }
  return text;
}

} // namespace

void gsRowHistory::Update(gsTableReplica::Rows const& rows)
{
  for (auto row = this->Rows.begin(); row != this->Rows.end();) {
    bool isLive = rows.count(row->first) != 0;
    row = isLive ? std::next(row) : this->Rows.erase(row);
  }
  for (auto const& [key, row] : rows) {
    auto known = this->Rows.find(key);
    bool isNew = known == this->Rows.end() ||
                 known->second.Values.back().Version < row.Version;
    if (isNew && row.Value.size() >= gsMinPatchedBytes) {
      AddVersion(this->Rows[key], row);
    }
  }
}

std::vector<gsRowPatch> gsRowHistory::PatchesSince(std::string const& key,
                                                   std::uint64_t version) const
{
  auto row = this->Rows.find(key);
  if (row == this->Rows.end()) {
    return {};
  }
  auto const& patches = row->second.Patches;
  auto first = std::find_if(
    patches.begin(), patches.end(),
    [version](gsRowPatch const& patch) { return patch.Version > version; });
  if (first == patches.end() || first->BaseVersion > version) {
    return {};
  }
  return { first, patches.end() };
}

std::optional<std::string> gsRowHistory::Apply(
  std::string const& key, std::vector<gsRowPatch> const& patches) const
{
  auto row = this->Rows.find(key);
  if (row == this->Rows.end()) {
    return std::nullopt;
  }
  auto const& values = row->second.Values;
  for (auto value = values.rbegin(); value != values.rend(); ++value) {
    if (std::optional<std::string> text = ApplyTo(*value, patches)) {
      return text;
    }
  }
  return std::nullopt;
}
