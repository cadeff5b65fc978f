/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTableWatch.h"

#include <algorithm>
#include <set>
#include <utility>

#include "gsLog.h"

namespace {

constexpr gsTime ReadPatience = gsMilliseconds(800);
constexpr gsTime ConnectPatience = gsMilliseconds(400);

} // namespace

gsTableWatch::gsTableWatch(gsLoop& loop, gsHttpClient& client,
                           gsAdapter const& adapter,
                           gsTableWatchSettings settings,
                           std::function<void()> onChange)
  : Loop(loop)
  , Client(client)
  , Adapter(adapter)
  , Settings(std::move(settings))
  , Changed(std::move(onChange))
  , Retry(loop, [this] { this->Read({}); })
  , Gathered(loop, [this] { this->Await(); })
  , Settled(loop, [this] { this->Refresh("returns_over"); })
{
}

gsTableWatch::~gsTableWatch()
{
  if (this->Call != 0) {
    this->Client.Cancel(this->Call);
  }
}

void gsTableWatch::Start()
{
  this->Paused = true;
  this->Read({});
}

void gsTableWatch::Pause()
{
  this->Paused = true;
  this->StopTimers();
  if (this->Call != 0) {
    this->Client.Cancel(std::exchange(this->Call, 0));
  }
}

void gsTableWatch::Resume(gsTime keptUp)
{
  if (this->Paused) {
    this->Paused = false;
    this->KeptUp = std::max(this->KeptUp, keptUp);
    this->Refresh("resumed");
  }
}

void gsTableWatch::ReadOnce()
{
  if (this->Paused && this->Call == 0) {
    this->StopTimers();
    this->Read({});
  }
}

/** Stops what would begin the next call. */
void gsTableWatch::StopTimers()
{
  this->Retry.Stop();
  this->Gathered.Stop();
}

void gsTableWatch::Refresh(char const* cause)
{
  gsLogLine("table_refresh")
    .With("table", this->Settings.Table)
    .With("version", this->Highest)
    .With("cause", cause);
  if (this->Call != 0) {
    this->Client.Cancel(std::exchange(this->Call, 0));
  }
  this->StopTimers();
  this->Read({});
}

void gsTableWatch::Make(gsCall call,
                        void (gsTableWatch::*done)(gsAnswer const&))
{
  ++this->Made;
  call.ConnectTimeout = ConnectPatience;
  call.UserTimeout = ReadPatience;
  call.Reuse = true;
  this->Call =
    gsFetch(this->Client, std::move(call), [this, done](gsAnswer const& got) {
      this->Call = 0;
      (this->*done)(got);
    });
}

void gsTableWatch::Read(std::string const& fromKey)
{
  if (fromKey.empty()) {
    this->Reading.clear();
  }
  gsCall call = this->Adapter.ReadTable(this->Settings.Platform,
                                        this->Settings.Table, fromKey);
  call.TotalTimeout = ReadPatience;
  this->Make(std::move(call), &gsTableWatch::OnRead);
}

void gsTableWatch::OnRead(gsAnswer const& answer)
{
  gsTableAnswer read = this->Adapter.ReadPage(answer);
  if (!read.Page) {
    this->RetryLater(read, "read");
    return;
  }
  gsTablePage& page = *read.Page;
  if (this->Reading.empty()) {
    this->ReadVersion = page.Version;
  }
  for (gsTableRow& row : page.Rows) {
    this->Reading.push_back(std::move(row));
  }
  if (page.More && !this->Reading.empty()) {
    this->Read(this->Reading.back().Key + '\0');
    return;
  }
  if (this->ReadVersion < this->Cursor) {
    // An old state: what is known here is newer.
    this->RetryLater({ {}, gsTableFault::TurnedAway, "An old state." },
                     "read");
    return;
  }
  this->NoteAnswered();
  this->FinishRead(this->ReadVersion);
}

void gsTableWatch::FinishRead(std::uint64_t version)
{
  bool changed = this->TakeWhole(this->Reading, version) || !this->Filled;
  this->Reading.clear();
  this->Filled = true;
  this->Cursor = std::max(this->Cursor, version);
  if (changed) {
    this->Changed();
  }
  this->Await();
}

/** Takes all rows of a version in: what they lack has been removed. */
bool gsTableWatch::TakeWhole(std::vector<gsTableRow> const& rows,
                             std::uint64_t version)
{
  bool changed = false;
  std::set<std::string_view> seen;
  for (gsTableRow const& row : rows) {
    seen.insert(row.Key);
    changed = this->Take(row) || changed;
  }
  std::vector<gsTableRow> removed;
  for (auto const& [key, row] : this->Live) {
    bool missing = seen.count(key) == 0 && row.Version <= version;
    if (missing && !this->AwaitsReturns()) {
      removed.push_back(row);
    }
  }
  for (gsTableRow& row : removed) {
    row.Removed = true;
    row.Version = version;
    changed = this->Take(row) || changed;
  }
  return changed;
}

void gsTableWatch::Await()
{
  this->ForgetRemoved();
  if (this->Paused) {
    return;
  }
  gsCall call =
    this->Adapter.WatchTable(this->Settings.Platform, this->Settings.Table,
                             this->Cursor, this->Settings.Wait);
  call.TotalTimeout = this->Settings.Wait + this->Settings.Patience;
  this->Make(std::move(call), &gsTableWatch::OnAwaited);
}

void gsTableWatch::OnAwaited(gsAnswer const& answer)
{
  gsTableAnswer read = this->Adapter.ReadPage(answer);
  if (!read.Page) {
    if (read.Fault == gsTableFault::HistoryGone) {
      gsLogLine("table_history_gone", gsLogLevel::Warn)
        .With("table", this->Settings.Table)
        .With("version", this->Highest);
      this->Read({});
      return;
    }
    this->RetryLater(read, "watch");
    return;
  }
  this->NoteAnswered();
  bool changed = false;
  for (gsTableRow const& row : read.Page->Rows) {
    bool heldBack = row.Removed && this->AwaitsReturns();
    changed = (!heldBack && this->Take(row)) || changed;
  }
  this->Cursor = std::max(this->Cursor, read.Page->Version);
  if (changed) {
    this->Changed();
  }
  if (read.Page->Rows.empty()) {
    this->Await();
  } else {
    this->Gathered.Once(this->Settings.Gather);
  }
}

void gsTableWatch::NoteAnswered()
{
  gsTime now = gsLoop::Now();
  bool wasAway = this->Silent && this->KeptUp.count() != 0 &&
                 now - this->KeptUp > this->Settings.AwayAfter;
  if (wasAway) {
    this->ReturnsUntil = now + this->Settings.ReturnPatience;
    this->Settled.Once(this->Settings.ReturnPatience);
  }
  this->Answered = now;
  this->KeptUp = now;
  this->Delay = gsTime{};
  if (this->Silent) {
    this->Silent = false;
    gsLogLine("table_regained")
      .With("table", this->Settings.Table)
      .With("version", this->Highest);
  }
}

/** Whether rows that are missing may still come back. */
bool gsTableWatch::AwaitsReturns() const
{
  return gsLoop::Now() < this->ReturnsUntil;
}

/** After any doubt the whole table is read, not only what follows. */
void gsTableWatch::RetryLater(gsTableAnswer const& answer, char const* step)
{
  if (!this->Silent) {
    this->Silent = true;
    gsLogLine("table_lost", gsLogLevel::Warn)
      .With("table", this->Settings.Table)
      .With("step", step)
      .With("peer", this->Settings.Platform)
      .With("version", this->Highest)
      .With("message", answer.Detail);
  }
  this->Delay = std::clamp(this->Delay * 2, this->Settings.RetryFirst,
                           this->Settings.RetryMost);
  this->Retry.Once(this->Delay);
}

/** Takes one row in, unless a newer word of it is known. */
bool gsTableWatch::Take(gsTableRow const& row)
{
  auto live = this->Live.find(row.Key);
  auto gone = this->Gone.find(row.Key);
  std::uint64_t known = 0;
  if (live != this->Live.end()) {
    known = live->second.Version;
  } else if (gone != this->Gone.end()) {
    known = gone->second.first.Version;
  }
  if (row.Version <= known) {
    return false;
  }
  this->Highest = std::max(this->Highest, row.Version);
  if (row.Removed) {
    bool was = live != this->Live.end();
    if (was) {
      this->Live.erase(live);
    }
    this->Gone[row.Key] = { row, gsLoop::Now() };
    return was;
  }
  if (gone != this->Gone.end()) {
    this->Gone.erase(gone);
  }
  this->Live[row.Key] = row;
  return true;
}

void gsTableWatch::ForgetRemoved()
{
  gsTime now = gsLoop::Now();
  for (auto row = this->Gone.begin(); row != this->Gone.end();) {
    if (now - row->second.second <= this->Settings.RemovedMemory) {
      ++row;
      continue;
    }
    this->Forgotten = std::max(this->Forgotten, row->second.first.Version);
    row = this->Gone.erase(row);
  }
}

bool gsTableWatch::Learn(gsTableNews const& news, std::string_view peer)
{
  std::uint64_t before = this->Highest;
  bool complete = news.Whole || news.Above <= this->Cursor;
  bool changed = false;
  if (news.Whole && news.Version >= this->Cursor) {
    changed = this->TakeWhole(news.Rows, news.Version);
  } else {
    for (gsTableRow const& row : news.Rows) {
      changed = this->Take(row) || changed;
    }
  }
  if (complete) {
    this->Cursor = std::max(this->Cursor, news.Version);
    changed = changed || !this->Filled;
    this->Filled = true;
  } else {
    // The rows hold, but others are missing.
    this->Highest = before;
  }
  if (complete && this->Paused) {
    this->Retry.Stop();
  }
  if (changed) {
    gsLogLine("table_learned")
      .With("table", this->Settings.Table)
      .With("from", peer)
      .With("rows", std::uint64_t(news.Rows.size()))
      .With("version", this->Highest)
      .With("complete", complete);
    this->Changed();
  }
  return complete;
}

gsTableNews gsTableWatch::NewsAbove(std::uint64_t version) const
{
  gsTableNews news;
  news.Above = version;
  news.Version = this->Cursor;
  news.Whole = version < this->Forgotten || version == 0;
  for (auto const& [key, row] : this->Live) {
    if (news.Whole || row.Version > version) {
      news.Rows.push_back(row);
    }
  }
  for (auto const& [key, gone] : this->Gone) {
    if (!news.Whole && gone.first.Version > version) {
      news.Rows.push_back(gone.first);
    }
  }
  return news;
}
