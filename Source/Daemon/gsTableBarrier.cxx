/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTableBarrier.h"

#include <algorithm>
#include <utility>

#include "gsLog.h"

namespace {

/** Time limit of one read; a read without an answer is repeated on another
 * connection. */
constexpr gsTime ReadTimeout = gsMilliseconds(240);

} // namespace

gsTableBarrier::gsTableBarrier(gsLoop& loop)
  : Timer(loop, [this] { this->Advance(); })
{
  this->State.Settings.Tables = 0;
}

void gsTableBarrier::AddTable(gsTableReader reader)
{
  this->Readers.push_back(std::move(reader));
  this->State.Settings.Tables = this->Readers.size();
}

void gsTableBarrier::Request(gsReadCallback done)
{
  this->Callbacks[++this->LastRequest] = std::move(done);
  gsBarrierRequest(this->State, this->LastRequest);
  this->Advance();
}

/** Starts the reads that are due, and ends the round if it is over. */
void gsTableBarrier::Advance()
{
  // A reader may call back at once.
  if (std::exchange(this->IsAdvancing, true)) {
    return;
  }
  bool hasProgress = true;
  while (hasProgress) {
    gsTime const now = gsLoop::Now();
    std::vector<std::size_t> const due = gsBarrierDueReads(this->State, now);
    std::uint64_t const round = this->State.Round;
    for (std::size_t table : due) {
      this->Readers[table](ReadTimeout, [this, round, table](bool succeeded) {
        gsBarrierReadDone(this->State, round, table, succeeded, gsLoop::Now());
        this->Advance();
      });
    }
    gsBarrierResult const result =
      gsBarrierEndRound(this->State, gsLoop::Now());
    for (std::uint64_t request : result.Requests) {
      auto callback = this->Callbacks.extract(request);
      callback.mapped()(result.Passed);
    }
    if (!result.Requests.empty()) {
      gsLogLine("tables_confirmed", gsLogLevel::Debug)
        .With("requests", std::uint64_t(result.Requests.size()))
        .With("passed", result.Passed)
        .With("took_ms", now - this->State.BeganAt);
    }
    hasProgress = !due.empty() || !result.Requests.empty();
  }
  this->IsAdvancing = false;
  gsTime const next = gsBarrierNextDue(this->State);
  if (next.count() == 0) {
    this->Timer.Stop();
  } else {
    constexpr gsTime minDelay = gsMilliseconds(1);
    this->Timer.Once(std::max(next - gsLoop::Now(), minDelay));
  }
}

void gsTableBarrier::WriteGauges(gsMetrics& metrics) const
{
  metrics.Set("gradescale_table_confirmations_total", "result=\"passed\"",
              static_cast<double>(this->State.Passed));
  metrics.Set("gradescale_table_confirmations_total", "result=\"failed\"",
              static_cast<double>(this->State.Failed));
}
