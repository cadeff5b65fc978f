/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsReadBarrier.h"

#include <algorithm>
#include <utility>

namespace {

bool IsNextRoundDue(gsReadBarrier const& barrier, gsTime now)
{
  bool isFirst = barrier.BeganAt.count() == 0;
  return !barrier.IsUnderWay && !barrier.Waiting.empty() &&
         (isFirst || now - barrier.BeganAt >= barrier.Settings.MinInterval);
}

void BeginRound(gsReadBarrier& barrier, gsTime now)
{
  barrier.IsUnderWay = true;
  barrier.BeganAt = now;
  ++barrier.Round;
  barrier.Served = std::exchange(barrier.Waiting, {});
  barrier.Reads.assign(barrier.Settings.Tables, {});
}

} // namespace

void gsBarrierRequest(gsReadBarrier& barrier, std::uint64_t request)
{
  barrier.Waiting.push_back(request);
}

std::vector<std::size_t> gsBarrierDueReads(gsReadBarrier& barrier, gsTime now)
{
  if (IsNextRoundDue(barrier, now)) {
    BeginRound(barrier, now);
  }
  std::vector<std::size_t> due;
  for (std::size_t table = 0;
       barrier.IsUnderWay && table < barrier.Reads.size(); ++table) {
    gsReadBarrier::Read& read = barrier.Reads[table];
    if (!read.IsPending && !read.IsDone && now >= read.RetryAt) {
      read.IsPending = true;
      due.push_back(table);
    }
  }
  return due;
}

void gsBarrierReadDone(gsReadBarrier& barrier, std::uint64_t round,
                       std::size_t table, bool succeeded, gsTime now)
{
  if (!barrier.IsUnderWay || round != barrier.Round) {
    return;
  }
  gsReadBarrier::Read& read = barrier.Reads[table];
  read.IsPending = false;
  read.IsDone = succeeded;
  read.RetryAt = now + barrier.Settings.RetryDelay;
}

gsBarrierResult gsBarrierEndRound(gsReadBarrier& barrier, gsTime now)
{
  if (!barrier.IsUnderWay) {
    return {};
  }
  bool passed =
    std::all_of(barrier.Reads.begin(), barrier.Reads.end(),
                [](gsReadBarrier::Read const& read) { return read.IsDone; });
  bool isOver = now - barrier.BeganAt >= barrier.Settings.RoundTimeout;
  if (!passed && !isOver) {
    return {};
  }
  barrier.IsUnderWay = false;
  ++(passed ? barrier.Passed : barrier.Failed);
  return { std::exchange(barrier.Served, {}), passed };
}

gsTime gsBarrierNextDue(gsReadBarrier const& barrier)
{
  if (!barrier.IsUnderWay) {
    return barrier.Waiting.empty()
             ? gsTime{}
             : barrier.BeganAt + barrier.Settings.MinInterval;
  }
  gsTime next = barrier.BeganAt + barrier.Settings.RoundTimeout;
  for (gsReadBarrier::Read const& read : barrier.Reads) {
    if (!read.IsPending && !read.IsDone) {
      next = std::min(next, read.RetryAt);
    }
  }
  return next;
}
