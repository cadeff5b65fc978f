/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTableCopy.h"

#include <algorithm>
#include <utility>

#include "gsRendezvous.h"

namespace {

/** Of a row, for a sum that depends on no order. */
std::uint64_t RowHash(gsTableRow const& row)
{
  constexpr std::uint64_t mix = 0x9E3779B97F4A7C15ULL;
  constexpr unsigned shift = 29;
  std::uint64_t hash = (gsHashText(row.Key) ^ (row.Version * mix)) * mix;
  return (hash ^ (hash >> shift)) * mix;
}

std::uint64_t KnownVersion(gsTableCopy const& copy, std::string const& key)
{
  auto live = copy.Live.find(key);
  if (live != copy.Live.end()) {
    return live->second.Version;
  }
  auto gone = copy.Gone.find(key);
  return gone != copy.Gone.end() ? gone->second.Row.Version : 0;
}

/** Changes that are remembered by themselves; at 50 bytes each 200 KB. News
 * above an older one walk the whole copy. */
constexpr std::size_t RecentMost = 4096;

/** Remembers a change; of too many the older half is forgotten. */
void NoteRecent(gsTableCopy& copy, gsTableRow const& row)
{
  copy.Recent.push_back({ row.Version, row.Key });
  if (copy.Recent.size() <= RecentMost) {
    return;
  }
  auto half = copy.Recent.begin() + RecentMost / 2;
  for (auto change = copy.Recent.begin(); change != half; ++change) {
    copy.RecentFrom = std::max(copy.RecentFrom, change->Version);
  }
  copy.Recent.erase(copy.Recent.begin(), half);
}

void NoteTaken(gsTableCopy& copy, gsTableRow const& row)
{
  NoteRecent(copy, row);
  copy.Beyond = std::max(copy.Beyond, row.Version);
  if (row.Version <= copy.Complete) {
    copy.Late.insert(row.Key);
  }
}

/** Ends a hold: the row is gone now, or has come back. */
void EndHold(gsTableCopy& copy, std::string const& key, std::uint64_t version)
{
  auto held = copy.Held.find(key);
  if (held != copy.Held.end() && held->second.Version <= version) {
    copy.Held.erase(held);
  }
}

void PutLive(gsTableCopy& copy, gsTableRow const& row)
{
  auto was = copy.Live.find(row.Key);
  if (was != copy.Live.end()) {
    copy.Hash -= RowHash(was->second);
  }
  copy.Gone.erase(row.Key);
  copy.Hash += RowHash(row);
  copy.Live[row.Key] = row;
  copy.Touched.push_back(row.Key);
  NoteTaken(copy, row);
  EndHold(copy, row.Key, row.Version);
}

/** Whether the row was there. */
bool PutGone(gsTableCopy& copy, gsTableRow row, gsTime now)
{
  auto held = copy.Held.find(row.Key);
  if (held != copy.Held.end()) {
    // At the version of the hold it was gone too: no older word of the row
    // may bring it back.
    row.Version = std::max(row.Version, held->second.Version);
    copy.Held.erase(held);
  }
  auto was = copy.Live.find(row.Key);
  bool wasLive = was != copy.Live.end();
  if (wasLive) {
    copy.Hash -= RowHash(was->second);
    copy.Touched.push_back(row.Key);
    copy.Live.erase(was);
  }
  NoteTaken(copy, row);
  std::string key = row.Key;
  copy.Gone[key] = { std::move(row), now };
  return wasLive;
}

/** Takes one row in, unless a newer word of it is known. */
bool Take(gsTableCopy& copy, gsTableRow const& row, gsTime now)
{
  if (row.Version <= KnownVersion(copy, row.Key)) {
    return false;
  }
  if (row.Removed) {
    return PutGone(copy, row, now);
  }
  PutLive(copy, row);
  return true;
}

/**
 * Takes a row that was there when the platform was read at a version. It comes
 * back although this copy calls it gone, if that is said to have been before
 * the read: the platform is right and this copy is not.
 */
bool TakeRead(gsTableCopy& copy, gsTableRow const& row, std::uint64_t version,
              gsTime now)
{
  auto gone = copy.Gone.find(row.Key);
  if (gone != copy.Gone.end() && gone->second.Row.Version <= version) {
    PutLive(copy, row);
    return true;
  }
  bool changed = Take(copy, row, now);
  EndHold(copy, row.Key, version);
  return changed;
}

/** Rows that are not among all those of a version. */
std::vector<gsTableRow> Missing(gsTableCopy const& copy,
                                std::vector<gsTableRow> const& all,
                                std::uint64_t version)
{
  std::set<std::string_view> seen;
  for (gsTableRow const& row : all) {
    if (!row.Removed) {
      seen.insert(row.Key);
    }
  }
  std::vector<gsTableRow> missing;
  for (auto const& [key, row] : copy.Live) {
    if (seen.count(key) == 0 && row.Version <= version) {
      missing.push_back(
        { key, {}, std::max(version, row.Version), /*Removed=*/true });
    }
  }
  return missing;
}

void Hold(gsTableCopy& copy, gsTableRow const& removal, std::uint64_t above)
{
  auto [held, fresh] =
    copy.Held.insert({ removal.Key, { removal.Version, above } });
  if (!fresh) {
    held->second.Version = std::max(held->second.Version, removal.Version);
  }
}

/** The last change up to Complete, when others beyond it were taken too. */
std::uint64_t LastChange(gsTableCopy const& copy)
{
  std::uint64_t last = copy.Highest;
  auto note = [&](std::uint64_t version) {
    if (version <= copy.Complete) {
      last = std::max(last, version);
    }
  };
  for (auto const& [key, row] : copy.Live) {
    note(row.Version);
  }
  for (auto const& [key, gone] : copy.Gone) {
    note(gone.Row.Version);
  }
  return last;
}

/** Moves on what is called complete, as far as nothing is held back. */
void Settle(gsTableCopy& copy)
{
  std::uint64_t complete = copy.Seen;
  for (auto const& [key, held] : copy.Held) {
    complete = std::min(complete, held.Above);
  }
  copy.Complete = std::max(copy.Complete, complete);
  copy.Highest = copy.Beyond <= copy.Complete
                   ? std::max(copy.Highest, copy.Beyond)
                   : LastChange(copy);
}

/**
 * Whether the rows are those of the teller, as its check says. Without that, a
 * copy that met a change by a whole read may not know what came and went in
 * between, and tells all that it knows as all that there is.
 */
bool IsProved(gsTableCopy const& copy, gsTableNews const& news)
{
  return news.Unchecked || (news.Check.Rows == copy.Live.size() + 1 &&
                            news.Check.Hash == copy.Hash);
}

/**
 * Notes the last change that is behind rows which another host told. Changes
 * that came and went may be unknown to the teller: when this copy knows of a
 * later one, only the told version is sure to have these rows.
 */
void NoteTold(gsTableCopy& copy, gsTableNews const& news)
{
  bool named = !news.Unchecked && news.Check.Rows != 0;
  std::uint64_t last = named ? news.Check.Version : news.Version;
  copy.Beyond =
    std::max(copy.Beyond, copy.Beyond <= last ? last : news.Version);
}

/** All rows that another host has. */
bool LearnAll(gsTableCopy& copy, gsTableNews const& news, gsTime now)
{
  bool changed = false;
  for (gsTableRow const& row : news.Rows) {
    changed = (news.ReadVersion != 0 && !row.Removed
                 ? TakeRead(copy, row, news.ReadVersion, now)
                 : Take(copy, row, now)) ||
              changed;
  }
  for (gsTableRow const& row : Missing(copy, news.Rows, news.Version)) {
    changed = PutGone(copy, row, now) || changed;
  }
  if (changed || !copy.Filled) {
    NoteTold(copy, news);
  }
  copy.Seen = std::max(copy.Seen, news.Version);
  copy.Steady = std::max(copy.Steady, news.Version);
  copy.Filled = true;
  return changed;
}

/**
 * Rows without those that are missing. What came up to Seen is known; a row of
 * such a version that is not there has been removed since, though its removal
 * may be forgotten.
 */
bool LearnRows(gsTableCopy& copy, gsTableNews const& news, gsTime now)
{
  bool changed = false;
  for (gsTableRow const& row : news.Rows) {
    bool known = !row.Removed && row.Version <= copy.Seen;
    changed = (!known && Take(copy, row, now)) || changed;
  }
  return changed;
}

/**
 * Moves Seen on, if the news lead on from it to the teller's rows. Where these
 * differ, either side may be wrong, so the teller's whole is not taken: only
 * one that was just read from the platform settles it.
 */
gsLearned::Lack Follow(gsTableCopy& copy, gsTableNews const& news)
{
  if (news.Above > copy.Seen) {
    return gsLearned::Lack::Changes;
  }
  if (news.Version <= copy.Seen) {
    return gsLearned::Lack::Nothing;
  }
  // Not the rows of one version on either side: it is asked for later.
  bool comparable =
    news.Unchecked ||
    (news.Check.Rows != 0 && copy.Beyond <= news.Version && copy.Held.empty());
  if (!comparable) {
    return gsLearned::Lack::Nothing;
  }
  if (!IsProved(copy, news)) {
    return gsLearned::Lack::Rows;
  }
  if (!news.Unchecked) {
    NoteTold(copy, news);
  }
  copy.Seen = news.Version;
  copy.Steady = news.Version;
  copy.Filled = true;
  return gsLearned::Lack::Nothing;
}

} // namespace

bool gsRowsDiffer(gsRowsCheck const& a, gsRowsCheck const& b)
{
  bool comparable = a.Version == b.Version && a.Rows != 0 && b.Rows != 0;
  return comparable && (a.Rows != b.Rows || a.Hash != b.Hash);
}

std::vector<std::string> gsCopyTakeTouched(gsTableCopy& copy)
{
  std::vector<std::string> touched = std::exchange(copy.Touched, {});
  std::sort(touched.begin(), touched.end());
  touched.erase(std::unique(touched.begin(), touched.end()), touched.end());
  return touched;
}

bool gsCopyTakePage(gsTableCopy& copy, std::vector<gsTableRow> const& rows,
                    std::uint64_t version, bool hold, gsTime now)
{
  bool changed = false;
  for (gsTableRow const& row : rows) {
    auto live = copy.Live.find(row.Key);
    bool removes = row.Removed && live != copy.Live.end() &&
                   row.Version > live->second.Version;
    if (hold && removes) {
      Hold(copy, row, copy.Seen);
    } else {
      changed = Take(copy, row, now) || changed;
    }
  }
  copy.Seen = std::max(copy.Seen, version);
  Settle(copy);
  return changed;
}

bool gsCopyTakeAll(gsTableCopy& copy, std::vector<gsTableRow> const& rows,
                   std::uint64_t version, bool hold, gsTime now)
{
  bool changed = false;
  for (gsTableRow const& row : rows) {
    changed = TakeRead(copy, row, version, now) || changed;
  }
  for (gsTableRow const& row : Missing(copy, rows, version)) {
    if (hold) {
      Hold(copy, row, copy.Seen);
    } else {
      changed = PutGone(copy, row, now) || changed;
    }
  }
  if (changed || !copy.Filled) {
    // What came and went since Seen is not known: at the versions of the rows
    // there may have been others beside them.
    copy.Beyond = std::max(copy.Beyond, version);
  }
  copy.Seen = std::max(copy.Seen, version);
  copy.Steady = std::max(copy.Steady, version);
  copy.Filled = true;
  Settle(copy);
  return changed;
}

gsLearned gsCopyLearn(gsTableCopy& copy, gsTableNews const& news, gsTime now)
{
  gsLearned learned;
  bool wasFilled = copy.Filled;
  // An older whole says nothing of what is missing in it.
  if (news.Whole && news.Version >= copy.Seen) {
    learned.Changed = LearnAll(copy, news, now);
  } else {
    learned.Changed = LearnRows(copy, news, now);
    if (!news.Whole) {
      learned.Lacks = Follow(copy, news);
    }
  }
  Settle(copy);
  learned.Changed = learned.Changed || wasFilled != copy.Filled;
  return learned;
}

namespace {

/** Rows and removals above a version, by the changes that are remembered. */
void AddRecent(gsTableCopy const& copy, std::uint64_t version,
               gsTableNews& news)
{
  std::set<std::string_view> keys;
  for (gsTableCopy::Change const& change : copy.Recent) {
    if (change.Version > version) {
      keys.insert(change.Key);
    }
  }
  for (std::string_view key : keys) {
    std::string const name(key);
    auto live = copy.Live.find(name);
    auto gone = copy.Gone.find(name);
    if (live != copy.Live.end() && live->second.Version > version) {
      news.Rows.push_back(live->second);
    } else if (gone != copy.Gone.end() && gone->second.Row.Version > version) {
      news.Rows.push_back(gone->second.Row);
    }
  }
}

} // namespace

gsTableNews gsCopyNewsAbove(gsTableCopy const& copy, std::uint64_t version)
{
  gsTableNews news;
  news.Above = version;
  news.Version = copy.Complete;
  news.Whole = version < copy.Forgotten || version == 0;
  news.Unchecked = false;
  news.Check = gsCopyCheck(copy);
  if (!news.Whole && version >= copy.RecentFrom) {
    AddRecent(copy, version, news);
    return news;
  }
  for (auto const& [key, row] : copy.Live) {
    if (news.Whole || row.Version > version) {
      news.Rows.push_back(row);
    }
  }
  // Of a whole too: what was removed beyond its version is not there, which
  // the receiver must not take for the state of that version.
  std::uint64_t from = news.Whole ? copy.Complete : version;
  for (auto const& [key, gone] : copy.Gone) {
    if (gone.Row.Version > from) {
      news.Rows.push_back(gone.Row);
    }
  }
  return news;
}

gsTableNews gsCopyTellAbove(gsTableCopy& copy, std::uint64_t version)
{
  gsTableNews news = gsCopyNewsAbove(copy, version);
  for (std::string const& key : std::exchange(copy.Late, {})) {
    auto live = copy.Live.find(key);
    auto gone = copy.Gone.find(key);
    if (news.Whole) {
      continue;
    }
    if (live != copy.Live.end() && live->second.Version <= version) {
      news.Rows.push_back(live->second);
    } else if (gone != copy.Gone.end() &&
               gone->second.Row.Version <= version) {
      news.Rows.push_back(gone->second.Row);
    }
  }
  return news;
}

void gsCopyForget(gsTableCopy& copy, gsTime memory, gsTime now)
{
  for (auto row = copy.Gone.begin(); row != copy.Gone.end();) {
    bool told = row->second.Row.Version <= copy.Complete;
    if (!told || now - row->second.At <= memory) {
      ++row;
      continue;
    }
    copy.Forgotten = std::max(copy.Forgotten, row->second.Row.Version);
    row = copy.Gone.erase(row);
  }
}

void gsCopyAlign(gsTableCopy& copy, std::uint64_t version)
{
  if (version >= copy.Steady && version <= copy.Complete) {
    copy.Highest = std::max(copy.Highest, version);
  }
}

gsRowsCheck gsCopyCheck(gsTableCopy const& copy)
{
  if (!copy.Filled || copy.Beyond > copy.Complete) {
    return { copy.Highest, 0, 0 };
  }
  return { copy.Highest, copy.Live.size() + 1, copy.Hash };
}
