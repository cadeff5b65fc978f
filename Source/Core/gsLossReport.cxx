/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLossReport.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace {

double NumberOr(gsLogRecord const& record, std::string_view key)
{
  return gsNumberOf(record, key).value_or(0);
}

void TakePlace(gsLossReader& reader, gsLogRecord const& record)
{
  std::string request(gsFieldOf(record, "request"));
  gsLossAttempt& attempt = reader.Open[request];
  attempt = gsLossAttempt();
  attempt.Request = std::move(request);
  attempt.Route = gsFieldOf(record, "route");
  attempt.Upstream = gsFieldOf(record, "upstream");
  attempt.Stream = gsFieldOf(record, "stream") == "yes";
  attempt.PlacedAt = record.At;
  attempt.TargetMillis = NumberOr(record, "target_ms");
  attempt.PauseTargetMillis = NumberOr(record, "gap_target_ms");
  attempt.ReadTokens = NumberOr(record, "read_tokens");
}

void TakeAttempt(gsLossReader& reader, gsLogRecord const& record)
{
  auto open = reader.Open.find(std::string(gsFieldOf(record, "request")));
  if (open == reader.Open.end()) {
    return;
  }
  gsLossAttempt& attempt = open->second;
  attempt.End = gsFieldOf(record, "end");
  attempt.EndedAt = record.At;
  attempt.TookMillis = NumberOr(record, "took_ms");
  attempt.FirstMillis = NumberOr(record, "first_ms");
  attempt.PauseMillis = NumberOr(record, "longest_gap_ms");
  reader.Attempts.push_back(attempt);
}

void TakeEnd(gsLossReader& reader, gsLogRecord const& record)
{
  gsLossReader::Request request;
  auto open = reader.Open.find(std::string(gsFieldOf(record, "request")));
  if (open != reader.Open.end()) {
    request.Last = std::move(open->second);
    reader.Open.erase(open);
  }
  request.Route = gsFieldOf(record, "route");
  request.EndedAt = record.At;
  request.Result = gsFieldOf(record, "result");
  request.TookMillis = NumberOr(record, "took_ms");
  request.Ran = gsFieldOf(record, "ran") == "yes";
  reader.Requests.push_back(std::move(request));
}

gsLossKind KindOf(gsLossReader::Request const& request)
{
  if (request.Result == "caller_left") {
    return gsLossKind::CallerLeft;
  }
  if (request.Result != "whole") {
    return request.Ran ? gsLossKind::Failed : gsLossKind::Refused;
  }
  gsLossAttempt const& last = request.Last;
  double before = request.TookMillis - last.TookMillis;
  double first = last.Stream ? before + last.FirstMillis : request.TookMillis;
  if (last.TargetMillis > 0 && first > last.TargetMillis) {
    return gsLossKind::LateFirst;
  }
  bool paused =
    last.PauseTargetMillis > 0 && last.PauseMillis > last.PauseTargetMillis;
  return paused ? gsLossKind::LongPause : gsLossKind::InTarget;
}

void Count(gsLossCount& count, gsLossKind kind)
{
  ++count.By[static_cast<std::size_t>(kind)];
}

/** When an attempt's prompt was being read at its upstream. */
gsTime ReadUntil(gsLossAttempt const& attempt)
{
  return attempt.FirstMillis > 0
           ? attempt.PlacedAt + gsFromSeconds(attempt.FirstMillis / 1e3)
           : attempt.EndedAt;
}

using AttemptsAt =
  std::unordered_map<std::string, std::vector<gsLossAttempt const*>>;

/** The largest prompts read at a stream's upstream while it ran. */
std::vector<gsPromptBeside> PromptsBeside(gsLossAttempt const& stream,
                                          AttemptsAt const& attempts)
{
  std::vector<gsPromptBeside> beside;
  auto there = attempts.find(stream.Upstream);
  if (there == attempts.end()) {
    return beside;
  }
  gsTime begun = ReadUntil(stream);
  for (gsLossAttempt const* other : there->second) {
    bool overlaps =
      other->PlacedAt < stream.EndedAt && ReadUntil(*other) > begun;
    if (overlaps && other->Request != stream.Request) {
      beside.push_back({ other->Request, other->Route, other->ReadTokens });
    }
  }
  std::sort(beside.begin(), beside.end(),
            [](gsPromptBeside const& a, gsPromptBeside const& b) {
              return a.ReadTokens > b.ReadTokens;
            });
  beside.resize(std::min(beside.size(), gsLossPromptsShown));
  return beside;
}

std::vector<gsPausedStream> LongestPauses(gsLossReader const& reader,
                                          std::size_t most)
{
  AttemptsAt attempts;
  std::vector<gsLossAttempt const*> paused;
  for (gsLossAttempt const& attempt : reader.Attempts) {
    attempts[attempt.Upstream].push_back(&attempt);
    if (attempt.PauseTargetMillis > 0 &&
        attempt.PauseMillis > attempt.PauseTargetMillis) {
      paused.push_back(&attempt);
    }
  }
  std::sort(paused.begin(), paused.end(),
            [](gsLossAttempt const* a, gsLossAttempt const* b) {
              return a->PauseMillis * b->PauseTargetMillis >
                     b->PauseMillis * a->PauseTargetMillis;
            });
  paused.resize(std::min(paused.size(), most));
  std::vector<gsPausedStream> streams;
  streams.reserve(paused.size());
  for (gsLossAttempt const* attempt : paused) {
    streams.push_back({ attempt->Request, attempt->Route, attempt->Upstream,
                        attempt->PauseMillis, attempt->PauseTargetMillis,
                        PromptsBeside(*attempt, attempts) });
  }
  return streams;
}

} // namespace

char const* gsLossWord(gsLossKind kind)
{
  switch (kind) {
    case gsLossKind::InTarget:
      return "in_target";
    case gsLossKind::LateFirst:
      return "late_first";
    case gsLossKind::LongPause:
      return "long_pause";
    case gsLossKind::Failed:
      return "failed";
    case gsLossKind::Refused:
      return "refused";
    case gsLossKind::CallerLeft:
      break;
  }
  return "caller_left";
}

std::uint64_t gsLossCount::Requests() const
{
  return std::accumulate(this->By.begin(), this->By.end(), std::uint64_t{ 0 });
}

std::uint64_t gsLossCount::Of(gsLossKind kind) const
{
  return this->By[static_cast<std::size_t>(kind)];
}

void gsLossTake(gsLossReader& reader, gsLogRecord const& record)
{
  if (record.Event == "place") {
    TakePlace(reader, record);
  } else if (record.Event == "attempt") {
    TakeAttempt(reader, record);
  } else if (record.Event == "end") {
    TakeEnd(reader, record);
  }
}

gsLossReport gsLossSum(gsLossReader const& reader, std::size_t pauses)
{
  gsLossReport report;
  gsTime first{};
  for (gsLossReader::Request const& request : reader.Requests) {
    bool earlier = first.count() == 0 || request.EndedAt < first;
    first = earlier ? request.EndedAt : first;
  }
  for (gsLossReader::Request const& request : reader.Requests) {
    gsLossKind kind = KindOf(request);
    auto second =
      std::chrono::duration_cast<gsSeconds>(request.EndedAt - first);
    Count(report.ByRoute[request.Route], kind);
    Count(report.BySecond[second.count()][request.Route], kind);
    if (!request.Last.Upstream.empty()) {
      Count(report.ByUpstream[request.Last.Upstream], kind);
    }
    if (request.Result != "whole") {
      ++report.Causes[request.Result][request.Route];
    }
  }
  for (gsLossAttempt const& attempt : reader.Attempts) {
    for (gsLossCount* count : { &report.ByRoute[attempt.Route],
                                &report.ByUpstream[attempt.Upstream] }) {
      ++count->Attempts;
      count->NotSent += attempt.End == "not_sent" ? 1 : 0;
      count->Broken += attempt.End == "broken" ? 1 : 0;
    }
  }
  report.Pauses = LongestPauses(reader, pauses);
  return report;
}
