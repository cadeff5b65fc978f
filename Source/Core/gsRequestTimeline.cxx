/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsRequestTimeline.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace {

/** State changes of a host are included if they were logged at most
 * ContextBefore before and ContextAfter after a record of the host that names
 * the request, as they may have affected it. */
constexpr gsTime ContextBefore = gsSeconds(5);
constexpr gsTime ContextAfter = gsMilliseconds(500);

/** Events that describe the state of a host or its view of the cluster. */
constexpr std::array<std::string_view, 12> HostStateEvents{
  "config_in_force", "config_unreadable", "host_lost", "log_dropped",
  "platform_error",  "stalled",           "stopping",  "table_lost",
  "table_regained",  "upstream_silent",   "upstreams", "upstream_ejected"
};

bool IsHostStateEvent(std::string_view event)
{
  return std::find(HostStateEvents.begin(), HostStateEvents.end(), event) !=
         HostStateEvents.end();
}

bool IsEarlier(gsLogRecord const& a, gsLogRecord const& b)
{
  return a.Timestamp < b.Timestamp;
}

gsLogRecord const* FindLast(std::vector<gsLogRecord> const& records,
                            std::string_view event)
{
  auto found = std::find_if(
    records.rbegin(), records.rend(),
    [event](gsLogRecord const& record) { return record.Event == event; });
  return found == records.rend() ? nullptr : &*found;
}

/** Value of a field; a question mark if it is missing or empty. */
std::string FieldText(gsLogRecord const& record, std::string_view key)
{
  std::string_view value = gsLogFieldValue(record, key);
  return value.empty() ? "?" : std::string(value);
}

std::string FormatMillis(double value)
{
  return std::to_string(std::lround(value)) + " ms";
}

/** Records of the last attempt and of the last placement, which chose its
 * upstream. The pointers are null if there is no such record. */
struct AttemptRecords
{
  gsLogRecord const* Placement = nullptr;
  gsLogRecord const* Attempt = nullptr;
  std::size_t Count = 0;
};

AttemptRecords FindAttemptRecords(std::vector<gsLogRecord> const& records)
{
  AttemptRecords attempts;
  attempts.Placement = FindLast(records, "place");
  attempts.Attempt = FindLast(records, "attempt");
  attempts.Count = static_cast<std::size_t>(std::count_if(
    records.begin(), records.end(),
    [](gsLogRecord const& record) { return record.Event == "attempt"; }));
  return attempts;
}

/** Describes the state of the upstream that the placement was based on. */
std::string DescribePlacement(gsLogRecord const& placement)
{
  return "upstream " + FieldText(placement, "upstream") + " was chosen as " +
         FieldText(placement, "cause") + " with " +
         FieldText(placement, "own_running") + " requests of this host and " +
         FieldText(placement, "others_running") +
         " of others running there, and " +
         FieldText(placement, "read_tokens") + " prompt tokens to read";
}

std::string DescribeAttempt(gsLogRecord const& attempt)
{
  std::string text = "the attempt at upstream " +
                     FieldText(attempt, "upstream") + " ended as " +
                     FieldText(attempt, "end");
  std::string_view detail = gsLogFieldValue(attempt, "detail");
  if (!detail.empty()) {
    text += ": ";
    text += detail;
  } else {
    text += ".";
  }
  return text;
}

std::string Capitalize(std::string text)
{
  bool isLowercase = !text.empty() && text[0] >= 'a' && text[0] <= 'z';
  if (isLowercase) {
    text[0] = static_cast<char>(text[0] - 'a' + 'A');
  }
  return text;
}

/** Describes a measured duration that exceeded its target. \return Empty if it
 * did not, or if one of them is not logged. */
std::string DescribeExceededTarget(gsLogRecord const* measured,
                                   std::string_view key,
                                   gsLogRecord const* placement,
                                   std::string_view targetKey,
                                   std::string_view description)
{
  if (measured == nullptr || placement == nullptr) {
    return {};
  }
  std::optional<double> value = gsLogFieldNumber(*measured, key);
  std::optional<double> target = gsLogFieldNumber(*placement, targetKey);
  if (!value || !target || *target <= 0 || *value <= *target) {
    return {};
  }
  std::string text(description);
  text += " " + FormatMillis(*value) + " against a target of " +
          FormatMillis(*target);
  return text;
}

/**
 * Describes the time from the arrival of the request until the first byte of
 * its last attempt, or until the end of the answer without streaming.
 * \return Empty if the time did not exceed its target.
 */
std::string DescribeLateFirstByte(gsLogRecord const& end,
                                  AttemptRecords const& attempts)
{
  if (attempts.Attempt == nullptr || attempts.Placement == nullptr) {
    return {};
  }
  std::optional<double> totalMillis = gsLogFieldNumber(end, "took_ms");
  std::optional<double> attemptMillis =
    gsLogFieldNumber(*attempts.Attempt, "took_ms");
  std::optional<double> firstByteMillis =
    gsLogFieldNumber(*attempts.Attempt, "first_ms");
  std::optional<double> target =
    gsLogFieldNumber(*attempts.Placement, "target_ms");
  if (!totalMillis || !attemptMillis || !firstByteMillis || !target ||
      *target <= 0) {
    return {};
  }
  bool isStream = gsLogFieldValue(*attempts.Placement, "stream") == "yes";
  double elapsedMillis =
    isStream ? *totalMillis - *attemptMillis + *firstByteMillis : *totalMillis;
  if (elapsedMillis <= *target) {
    return {};
  }
  std::string description =
    isStream ? "The first event came after " : "The answer was whole after ";
  return description + FormatMillis(elapsedMillis) + " against a target of " +
         FormatMillis(*target);
}

/** Sets the outcome and the cause of a request with a complete answer. */
void ClassifyCompletedRequest(gsRequestTimeline& story, gsLogRecord const& end,
                              AttemptRecords const& attempts)
{
  std::string lateFirstByte = DescribeLateFirstByte(end, attempts);
  std::string longPause = DescribeExceededTarget(
    attempts.Attempt, "longest_gap_ms", attempts.Placement, "gap_target_ms",
    "The longest pause between events was");
  if (lateFirstByte.empty() && longPause.empty()) {
    story.Outcome = gsRequestOutcome::InTarget;
    story.Cause =
      "Answered in its target by upstream " +
      (attempts.Attempt != nullptr ? FieldText(*attempts.Attempt, "upstream")
                                   : std::string("?")) +
      ".";
    return;
  }
  story.Outcome = gsRequestOutcome::Late;
  story.Cause = lateFirstByte.empty() ? "" : lateFirstByte + ". ";
  story.Cause += longPause.empty() ? "" : longPause + ". ";
  if (attempts.Count > 1) {
    story.Cause += "It took " + std::to_string(attempts.Count) +
                   " attempts; see the earlier ones. ";
  }
  story.Cause += Capitalize(DescribePlacement(*attempts.Placement)) + ".";
}

/** Describes why the routed mode gave up a request that was not executed,
 * given the value of the result field. */
std::string DescribeRefusal(std::string_view result)
{
  if (result == "no_upstream") {
    return "Its service had no upstream that may get work.";
  }
  if (result == "unreachable") {
    return "None of its service's upstreams could be reached.";
  }
  if (result == "no_connection") {
    return "The host's share of connections was in use at all upstreams.";
  }
  if (result == "full") {
    return "The places left at its engines were kept for more urgent "
           "requests.";
  }
  if (result == "not_executed") {
    return "The upstream turned it away without running it.";
  }
  if (result == "not_sent") {
    return "It could not be sent to the upstream that was chosen.";
  }
  if (result == "route_timeout" || result == "deadline") {
    return "Its time was over before it was sent anywhere.";
  }
  return "It was given up: " + std::string(result) + ".";
}

/** Sets the outcome and the cause of a request whose end is logged. */
void ClassifyEndedRequest(gsRequestTimeline& story, gsLogRecord const& end)
{
  AttemptRecords attempts = FindAttemptRecords(story.Records);
  std::string_view result = gsLogFieldValue(end, "result");
  if (result == "whole") {
    ClassifyCompletedRequest(story, end, attempts);
    return;
  }
  if (result == "caller_left") {
    story.Outcome = gsRequestOutcome::CallerLeft;
    story.Cause = "The caller closed its connection after " +
                  FieldText(end, "took_ms") + " ms.";
    return;
  }
  bool mayHaveRun = gsLogFieldValue(end, "ran") == "yes";
  story.Outcome =
    mayHaveRun ? gsRequestOutcome::Failed : gsRequestOutcome::Refused;
  if (!mayHaveRun) {
    story.Cause = DescribeRefusal(result);
  } else {
    story.Cause =
      "It may have run and has no whole answer (" + std::string(result) + ").";
  }
  if (attempts.Attempt != nullptr) {
    story.Cause += " " + Capitalize(DescribeAttempt(*attempts.Attempt));
  }
  if (attempts.Placement != nullptr && !mayHaveRun &&
      result == "not_executed") {
    story.Cause +=
      " " + Capitalize(DescribePlacement(*attempts.Placement)) + ".";
  }
}

/** Appends descriptions of relevant state changes of the hosts to the cause,
 * each distinct one once. */
void AppendHostStates(gsRequestTimeline& story)
{
  std::vector<std::string> appended;
  auto append = [&story, &appended](std::string text) {
    if (std::find(appended.begin(), appended.end(), text) == appended.end()) {
      story.Cause += " " + text;
      appended.push_back(std::move(text));
    }
  };
  gsLogRecord const* attempt = FindLast(story.Records, "attempt");
  for (gsLogRecord const& record : story.Records) {
    std::string host =
      record.Host.empty() ? "The host" : "Host " + record.Host;
    if (record.Event == "stalled") {
      append(host + " had stood still for " + FieldText(record, "for_ms") +
             " ms.");
    } else if (record.Event == "table_lost") {
      append(host + " had lost the platform's table " +
             FieldText(record, "table") + ".");
    } else if (record.Event == "upstream_silent" && attempt != nullptr &&
               gsLogFieldValue(record, "upstream") ==
                 gsLogFieldValue(*attempt, "upstream")) {
      append("Nothing came from upstream " + FieldText(record, "upstream") +
             " for " + FieldText(record, "silent_ms") + " ms.");
    } else if (record.Event == "stopping") {
      append(host + " was being stopped.");
    }
  }
}

/** Sets the outcome and the cause from the record that describes the end of
 * the request best. */
void DetermineOutcome(gsRequestTimeline& story)
{
  std::vector<gsLogRecord> const& records = story.Records;
  if (gsLogRecord const* end = FindLast(records, "end")) {
    ClassifyEndedRequest(story, *end);
  } else if (gsLogRecord const* failed = FindLast(records, "failed")) {
    bool mayHaveRun = gsLogFieldValue(*failed, "ran") != "no";
    story.Outcome =
      mayHaveRun ? gsRequestOutcome::Failed : gsRequestOutcome::Refused;
    story.Cause = FieldText(*failed, "message");
  } else if (gsLogRecord const* refused = FindLast(records, "refuse")) {
    story.Outcome = gsRequestOutcome::Refused;
    story.Cause = "Pool " + FieldText(*refused, "pool") +
                  " gave it up after " + FieldText(*refused, "waited_ms") +
                  " ms: " + FieldText(*refused, "cause") + ".";
  } else if (gsLogRecord const* rejected = FindLast(records, "reject")) {
    story.Outcome = gsRequestOutcome::Rejected;
    story.Cause = "It was not admitted by configuration version " +
                  FieldText(*rejected, "version") + ": " +
                  FieldText(*rejected, "message");
  } else if (FindLast(records, "caller_left") != nullptr) {
    story.Outcome = gsRequestOutcome::CallerLeft;
    story.Cause = "The caller closed its connection.";
  } else {
    story.Cause = "The logs hold no final line of it: it was still open, the "
                  "host ended, or lines were dropped.";
  }
  AppendHostStates(story);
}

/** Whether a state change is close enough in time to a record of the same host
 * that names the request. */
bool IsRelevant(gsLogRecord const& stateChange,
                std::vector<gsLogRecord> const& requestRecords)
{
  return std::any_of(
    requestRecords.begin(), requestRecords.end(),
    [&stateChange](gsLogRecord const& record) {
      return record.Host == stateChange.Host &&
             stateChange.Timestamp >= record.Timestamp - ContextBefore &&
             stateChange.Timestamp <= record.Timestamp + ContextAfter;
    });
}

} // namespace

char const* gsRequestOutcomeName(gsRequestOutcome outcome)
{
  switch (outcome) {
    case gsRequestOutcome::InTarget:
      return "in_target";
    case gsRequestOutcome::Late:
      return "late";
    case gsRequestOutcome::Rejected:
      return "rejected";
    case gsRequestOutcome::Refused:
      return "refused";
    case gsRequestOutcome::Failed:
      return "failed";
    case gsRequestOutcome::CallerLeft:
      return "caller_left";
    case gsRequestOutcome::Unknown:
      break;
  }
  return "unknown";
}

void gsCollectTimelineRecord(gsRequestTimelineCollector& collector,
                             gsLogRecord record)
{
  if (gsLogFieldValue(record, "request") == collector.RequestId) {
    collector.RequestRecords.push_back(std::move(record));
  } else if (IsHostStateEvent(record.Event)) {
    collector.HostStateRecords.push_back(std::move(record));
  }
}

gsRequestTimeline gsBuildRequestTimeline(
  gsRequestTimelineCollector const& collector)
{
  gsRequestTimeline story;
  story.RequestId = collector.RequestId;
  story.RequestRecordCount = collector.RequestRecords.size();
  story.Records = collector.RequestRecords;
  for (gsLogRecord const& stateChange : collector.HostStateRecords) {
    if (IsRelevant(stateChange, collector.RequestRecords)) {
      story.Records.push_back(stateChange);
    }
  }
  std::stable_sort(story.Records.begin(), story.Records.end(), IsEarlier);
  DetermineOutcome(story);
  return story;
}
