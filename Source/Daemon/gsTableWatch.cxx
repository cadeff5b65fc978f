/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTableWatch.h"

#include <algorithm>
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
  , Retry(loop, [this] { this->Again(); })
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
    if (this->Known()) {
      // A change of the duty is no doubt: the copy goes on from where it is.
      this->StopTimers();
      this->Await();
    } else {
      this->Refresh("resumed");
    }
  }
}

void gsTableWatch::ReadOnce()
{
  if (this->Paused && this->Call == 0) {
    this->StopTimers();
    this->Read({});
  }
}

/** Tries again after a call that brought nothing. */
void gsTableWatch::Again()
{
  if (this->IsLarge() && !this->Paused) {
    this->Await();
  } else if (!this->Reading.empty()) {
    // Pages that came are kept: a read of many calls begins anew for none.
    this->Read(this->Reading.back().Key + '\0');
  } else {
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
    .With("version", this->Version())
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
  if (this->ReadVersion < this->Copy.Seen) {
    // An old state: what is known here is newer.
    this->Reading.clear();
    this->RetryLater({ {}, gsTableFault::TurnedAway, "An old state." },
                     "read");
    return;
  }
  this->NoteAnswered();
  this->FinishRead(this->ReadVersion);
}

void gsTableWatch::FinishRead(std::uint64_t version)
{
  gsTime now = gsLoop::Now();
  bool wasKnown = this->Known();
  bool changed = gsCopyTakeAll(this->Copy, this->Reading, version,
                               this->AwaitsReturns(), now);
  this->Reading.clear();
  this->WholeVersion = version;
  this->WholeAt = now;
  if (changed || !wasKnown) {
    this->Changed();
  }
  this->Await();
}

void gsTableWatch::Await()
{
  gsCopyForget(this->Copy, this->Settings.RemovedMemory, gsLoop::Now());
  if (this->Paused) {
    return;
  }
  gsCall call =
    this->Adapter.WatchTable(this->Settings.Platform, this->Settings.Table,
                             this->Copy.Seen, this->Settings.Wait);
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
        .With("version", this->Version());
      this->Read({});
      return;
    }
    this->RetryLater(read, "watch");
    return;
  }
  this->NoteAnswered();
  bool changed =
    gsCopyTakePage(this->Copy, read.Page->Rows, read.Page->Version,
                   this->AwaitsReturns(), gsLoop::Now());
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
  if (wasAway && this->Settings.ReturnPatience.count() > 0) {
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
      .With("version", this->Version());
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
      .With("version", this->Version())
      .With("message", answer.Detail);
  }
  this->Delay = std::clamp(this->Delay * 2, this->Settings.RetryFirst,
                           this->Settings.RetryMost);
  this->Retry.Once(this->Delay);
}

bool gsTableWatch::Learn(gsTableNews const& news, std::string_view peer)
{
  return this->Take(news, peer) == gsLearned::Lack::Nothing;
}

gsLearned::Lack gsTableWatch::Take(gsTableNews const& news,
                                   std::string_view peer)
{
  gsLearned learned = gsCopyLearn(this->Copy, news, gsLoop::Now());
  bool complete = learned.Lacks == gsLearned::Lack::Nothing;
  if (complete && this->Known() && this->Paused) {
    this->Retry.Stop();
  }
  if (learned.Changed) {
    gsLogLine("table_learned")
      .With("table", this->Settings.Table)
      .With("from", peer)
      .With("rows", std::uint64_t(news.Rows.size()))
      .With("version", this->Version())
      .With("complete", complete);
    this->Changed();
  }
  return learned.Lacks;
}

gsTableNews gsTableWatch::NewsAbove(std::uint64_t version) const
{
  return gsCopyNewsAbove(this->Copy, version);
}

gsTableNews gsTableWatch::TellAbove(std::uint64_t version)
{
  return gsCopyTellAbove(this->Copy, version);
}

std::uint64_t gsTableWatch::ReadSince(gsTime since) const
{
  bool read = this->WholeAt.count() != 0 && this->WholeAt >= since;
  return read ? std::min(this->WholeVersion, this->CompleteTo()) : 0;
}
