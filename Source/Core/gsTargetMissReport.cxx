/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTargetMissReport.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace {

double NumberOrZero(gsLogRecord const& record, std::string_view key)
{
  return gsLogFieldNumber(record, key).value_or(0);
}

void CollectPlacement(gsTargetMissCollector& collector,
                      gsLogRecord const& record)
{
  std::string request(gsLogFieldValue(record, "request"));
  gsLoggedAttempt& attempt = collector.OpenAttempts[request];
  attempt = gsLoggedAttempt();
  attempt.RequestId = std::move(request);
  attempt.Route = gsLogFieldValue(record, "route");
  attempt.Upstream = gsLogFieldValue(record, "upstream");
  attempt.Stream = gsLogFieldValue(record, "stream") == "yes";
  attempt.PlacedAt = record.Timestamp;
  attempt.TargetMillis = NumberOrZero(record, "target_ms");
  attempt.PauseTargetMillis = NumberOrZero(record, "gap_target_ms");
  attempt.UncachedTokens = NumberOrZero(record, "read_tokens");
}

void CollectAttempt(gsTargetMissCollector& collector,
                    gsLogRecord const& record)
{
  auto open = collector.OpenAttempts.find(
    std::string(gsLogFieldValue(record, "request")));
  if (open == collector.OpenAttempts.end()) {
    return;
  }
  gsLoggedAttempt& attempt = open->second;
  attempt.End = gsLogFieldValue(record, "end");
  attempt.EndedAt = record.Timestamp;
  attempt.DurationMillis = NumberOrZero(record, "took_ms");
  attempt.FirstByteMillis = NumberOrZero(record, "first_ms");
  attempt.LongestPauseMillis = NumberOrZero(record, "longest_gap_ms");
  collector.EndedAttempts.push_back(attempt);
}

void CollectEnd(gsTargetMissCollector& collector, gsLogRecord const& record)
{
  gsTargetMissCollector::Request request;
  auto open = collector.OpenAttempts.find(
    std::string(gsLogFieldValue(record, "request")));
  if (open != collector.OpenAttempts.end()) {
    request.LastAttempt = std::move(open->second);
    collector.OpenAttempts.erase(open);
  }
  request.Route = gsLogFieldValue(record, "route");
  request.EndedAt = record.Timestamp;
  request.Result = gsLogFieldValue(record, "result");
  request.DurationMillis = NumberOrZero(record, "took_ms");
  request.MayHaveRun = gsLogFieldValue(record, "ran") == "yes";
  collector.EndedRequests.push_back(std::move(request));
}

gsTargetOutcome OutcomeOf(gsTargetMissCollector::Request const& request)
{
  if (request.Result == "caller_left") {
    return gsTargetOutcome::CallerLeft;
  }
  if (request.Result != "whole") {
    return request.MayHaveRun ? gsTargetOutcome::Failed
                              : gsTargetOutcome::Refused;
  }
  gsLoggedAttempt const& last = request.LastAttempt;
  double beforeLastAttempt = request.DurationMillis - last.DurationMillis;
  double firstEvent = last.Stream ? beforeLastAttempt + last.FirstByteMillis
                                  : request.DurationMillis;
  if (last.TargetMillis > 0 && firstEvent > last.TargetMillis) {
    return gsTargetOutcome::LateFirstEvent;
  }
  bool isPauseTooLong = last.PauseTargetMillis > 0 &&
                        last.LongestPauseMillis > last.PauseTargetMillis;
  return isPauseTooLong ? gsTargetOutcome::LongPause
                        : gsTargetOutcome::InTarget;
}

void CountOutcome(gsRequestCounts& count, gsTargetOutcome outcome)
{
  ++count.ByOutcome[static_cast<std::size_t>(outcome)];
}

/** When the upstream had read the prompt of an attempt: the first byte of its
 * answer, or its end if no byte came. */
gsTime PromptReadAt(gsLoggedAttempt const& attempt)
{
  return attempt.FirstByteMillis > 0
           ? attempt.PlacedAt + gsFromSeconds(attempt.FirstByteMillis / 1e3)
           : attempt.EndedAt;
}

/** Attempts by the id of their upstream. */
using AttemptsByUpstream =
  std::unordered_map<std::string, std::vector<gsLoggedAttempt const*>>;

/** The largest prompts of other requests that the upstream of a stream read
 * between the first event of the stream and its end. */
std::vector<gsConcurrentPrompt> FindConcurrentPrompts(
  gsLoggedAttempt const& stream, AttemptsByUpstream const& attempts)
{
  std::vector<gsConcurrentPrompt> prompts;
  auto upstreamAttempts = attempts.find(stream.Upstream);
  if (upstreamAttempts == attempts.end()) {
    return prompts;
  }
  gsTime firstEventAt = PromptReadAt(stream);
  for (gsLoggedAttempt const* other : upstreamAttempts->second) {
    bool overlaps =
      other->PlacedAt < stream.EndedAt && PromptReadAt(*other) > firstEventAt;
    if (overlaps && other->RequestId != stream.RequestId) {
      prompts.push_back(
        { other->RequestId, other->Route, other->UncachedTokens });
    }
  }
  std::sort(prompts.begin(), prompts.end(),
            [](gsConcurrentPrompt const& a, gsConcurrentPrompt const& b) {
              return a.UncachedTokens > b.UncachedTokens;
            });
  prompts.resize(std::min(prompts.size(), gsMaxConcurrentPrompts));
  return prompts;
}

/** The streams whose longest maxStreams exceed their targets by the largest
 * factors. */
std::vector<gsPausedStream> FindPausedStreams(
  gsTargetMissCollector const& collector, std::size_t maxStreams)
{
  AttemptsByUpstream attempts;
  std::vector<gsLoggedAttempt const*> paused;
  for (gsLoggedAttempt const& attempt : collector.EndedAttempts) {
    attempts[attempt.Upstream].push_back(&attempt);
    if (attempt.PauseTargetMillis > 0 &&
        attempt.LongestPauseMillis > attempt.PauseTargetMillis) {
      paused.push_back(&attempt);
    }
  }
  std::sort(paused.begin(), paused.end(),
            [](gsLoggedAttempt const* a, gsLoggedAttempt const* b) {
              return a->LongestPauseMillis * b->PauseTargetMillis >
                     b->LongestPauseMillis * a->PauseTargetMillis;
            });
  paused.resize(std::min(paused.size(), maxStreams));
  std::vector<gsPausedStream> streams;
  streams.reserve(paused.size());
  for (gsLoggedAttempt const* attempt : paused) {
    streams.push_back({ attempt->RequestId, attempt->Route, attempt->Upstream,
                        attempt->LongestPauseMillis,
                        attempt->PauseTargetMillis,
                        FindConcurrentPrompts(*attempt, attempts) });
  }
  return streams;
}

} // namespace

char const* gsTargetOutcomeName(gsTargetOutcome outcome)
{
  switch (outcome) {
    case gsTargetOutcome::InTarget:
      return "in_target";
    case gsTargetOutcome::LateFirstEvent:
      return "late_first";
    case gsTargetOutcome::LongPause:
      return "long_pause";
    case gsTargetOutcome::Failed:
      return "failed";
    case gsTargetOutcome::Refused:
      return "refused";
    case gsTargetOutcome::CallerLeft:
      break;
  }
  return "caller_left";
}

std::uint64_t gsRequestCounts::RequestCount() const
{
  return std::accumulate(this->ByOutcome.begin(), this->ByOutcome.end(),
                         std::uint64_t{ 0 });
}

std::uint64_t gsRequestCounts::OutcomeCount(gsTargetOutcome outcome) const
{
  return this->ByOutcome[static_cast<std::size_t>(outcome)];
}

void gsCollectTargetMissRecord(gsTargetMissCollector& collector,
                               gsLogRecord const& record)
{
  if (record.Event == "place") {
    CollectPlacement(collector, record);
  } else if (record.Event == "attempt") {
    CollectAttempt(collector, record);
  } else if (record.Event == "end") {
    CollectEnd(collector, record);
  }
}

gsTargetMissReport gsBuildTargetMissReport(
  gsTargetMissCollector const& collector, std::size_t maxStreams)
{
  gsTargetMissReport report;
  gsTime firstEndAt{};
  for (gsTargetMissCollector::Request const& request :
       collector.EndedRequests) {
    bool isEarlier = firstEndAt.count() == 0 || request.EndedAt < firstEndAt;
    firstEndAt = isEarlier ? request.EndedAt : firstEndAt;
  }
  for (gsTargetMissCollector::Request const& request :
       collector.EndedRequests) {
    gsTargetOutcome outcome = OutcomeOf(request);
    auto second =
      std::chrono::duration_cast<gsSeconds>(request.EndedAt - firstEndAt);
    CountOutcome(report.ByRoute[request.Route], outcome);
    CountOutcome(report.BySecond[second.count()][request.Route], outcome);
    if (!request.LastAttempt.Upstream.empty()) {
      CountOutcome(report.ByUpstream[request.LastAttempt.Upstream], outcome);
    }
    if (request.Result != "whole") {
      ++report.Causes[request.Result][request.Route];
    }
  }
  for (gsLoggedAttempt const& attempt : collector.EndedAttempts) {
    for (gsRequestCounts* count : { &report.ByRoute[attempt.Route],
                                    &report.ByUpstream[attempt.Upstream] }) {
      ++count->Attempts;
      count->NotSent += attempt.End == "not_sent" ? 1 : 0;
      count->Broken += attempt.End == "broken" ? 1 : 0;
    }
  }
  report.PausedStreams = FindPausedStreams(collector, maxStreams);
  return report;
}
