/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsStory.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace {

/** Beliefs so long before the first line may have decided the request. */
constexpr gsTime Before = gsSeconds(5);
constexpr gsTime After = gsMilliseconds(500);

/** Events that tell what a host believed or was able to do. */
constexpr std::array<std::string_view, 12> BeliefEvents{
  "config_in_force", "config_unreadable", "host_lost", "log_dropped",
  "platform_error",  "stalled",           "stopping",  "table_lost",
  "table_regained",  "upstream_silent",   "upstreams", "upstream_ejected"
};

bool IsBelief(std::string_view event)
{
  return std::find(BeliefEvents.begin(), BeliefEvents.end(), event) !=
         BeliefEvents.end();
}

bool Earlier(gsLogRecord const& one, gsLogRecord const& two)
{
  return one.At < two.At;
}

gsLogRecord const* LastOf(std::vector<gsLogRecord> const& records,
                          std::string_view event)
{
  auto found = std::find_if(
    records.rbegin(), records.rend(),
    [event](gsLogRecord const& record) { return record.Event == event; });
  return found == records.rend() ? nullptr : &*found;
}

std::string Text(gsLogRecord const& record, std::string_view key)
{
  std::string_view value = gsFieldOf(record, key);
  return value.empty() ? "?" : std::string(value);
}

std::string Millis(double value)
{
  return std::to_string(std::lround(value)) + " ms";
}

/** What is known of the last attempt and its choice. */
struct Attempts
{
  gsLogRecord const* Place = nullptr;
  gsLogRecord const* Attempt = nullptr;
  std::size_t Count = 0;
};

Attempts AttemptsOf(std::vector<gsLogRecord> const& records)
{
  Attempts attempts;
  attempts.Place = LastOf(records, "place");
  attempts.Attempt = LastOf(records, "attempt");
  attempts.Count = static_cast<std::size_t>(std::count_if(
    records.begin(), records.end(),
    [](gsLogRecord const& record) { return record.Event == "attempt"; }));
  return attempts;
}

/** What the choice saw of the upstream. */
std::string SeenAt(gsLogRecord const& place)
{
  return "upstream " + Text(place, "upstream") + " was chosen as " +
         Text(place, "cause") + " with " + Text(place, "own_running") +
         " requests of this host and " + Text(place, "others_running") +
         " of others running there, and " + Text(place, "read_tokens") +
         " prompt tokens to read";
}

std::string AttemptText(gsLogRecord const& attempt)
{
  std::string text = "the attempt at upstream " + Text(attempt, "upstream") +
                     " ended as " + Text(attempt, "end");
  std::string_view detail = gsFieldOf(attempt, "detail");
  if (!detail.empty()) {
    text += ": ";
    text += detail;
  } else {
    text += ".";
  }
  return text;
}

std::string Capital(std::string text)
{
  bool lower = !text.empty() && text[0] >= 'a' && text[0] <= 'z';
  if (lower) {
    text[0] = static_cast<char>(text[0] - 'a' + 'A');
  }
  return text;
}

/** A measure that was beyond its target; empty when it was not. */
std::string Beyond(gsLogRecord const* measured, std::string_view key,
                   gsLogRecord const* place, std::string_view targetKey,
                   std::string_view what)
{
  if (measured == nullptr || place == nullptr) {
    return {};
  }
  std::optional<double> value = gsNumberOf(*measured, key);
  std::optional<double> target = gsNumberOf(*place, targetKey);
  if (!value || !target || *target <= 0 || *value <= *target) {
    return {};
  }
  std::string text(what);
  text += " " + Millis(*value) + " against a target of " + Millis(*target);
  return text;
}

/** Time from the request's arrival to the first byte of the last attempt. */
std::string LateFirstByte(gsLogRecord const& end, Attempts const& attempts)
{
  if (attempts.Attempt == nullptr || attempts.Place == nullptr) {
    return {};
  }
  std::optional<double> whole = gsNumberOf(end, "took_ms");
  std::optional<double> attempt = gsNumberOf(*attempts.Attempt, "took_ms");
  std::optional<double> first = gsNumberOf(*attempts.Attempt, "first_ms");
  std::optional<double> target = gsNumberOf(*attempts.Place, "target_ms");
  if (!whole || !attempt || !first || !target || *target <= 0) {
    return {};
  }
  bool stream = gsFieldOf(*attempts.Place, "stream") == "yes";
  double took = stream ? *whole - *attempt + *first : *whole;
  if (took <= *target) {
    return {};
  }
  std::string what =
    stream ? "The first event came after " : "The answer was whole after ";
  return what + Millis(took) + " against a target of " + Millis(*target);
}

void TellWhole(gsStory& story, gsLogRecord const& end,
               Attempts const& attempts)
{
  std::string late = LateFirstByte(end, attempts);
  std::string paused =
    Beyond(attempts.Attempt, "longest_gap_ms", attempts.Place, "gap_target_ms",
           "The longest pause between events was");
  if (late.empty() && paused.empty()) {
    story.End = gsStoryEnd::InTarget;
    story.Cause =
      "Answered in its target by upstream " +
      (attempts.Attempt != nullptr ? Text(*attempts.Attempt, "upstream")
                                   : std::string("?")) +
      ".";
    return;
  }
  story.End = gsStoryEnd::Late;
  story.Cause = late.empty() ? "" : late + ". ";
  story.Cause += paused.empty() ? "" : paused + ". ";
  if (attempts.Count > 1) {
    story.Cause += "It took " + std::to_string(attempts.Count) +
                   " attempts; see the earlier ones. ";
  }
  story.Cause += Capital(SeenAt(*attempts.Place)) + ".";
}

/** Words of the routed mode for what was refused before it ran. */
std::string RefusalText(std::string_view result)
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

void TellEnd(gsStory& story, gsLogRecord const& end)
{
  Attempts attempts = AttemptsOf(story.Records);
  std::string_view result = gsFieldOf(end, "result");
  if (result == "whole") {
    TellWhole(story, end, attempts);
    return;
  }
  if (result == "caller_left") {
    story.End = gsStoryEnd::CallerLeft;
    story.Cause = "The caller closed its connection after " +
                  Text(end, "took_ms") + " ms.";
    return;
  }
  bool ran = gsFieldOf(end, "ran") == "yes";
  story.End = ran ? gsStoryEnd::Failed : gsStoryEnd::Refused;
  if (!ran) {
    story.Cause = RefusalText(result);
  } else {
    story.Cause =
      "It may have run and has no whole answer (" + std::string(result) + ").";
  }
  if (attempts.Attempt != nullptr) {
    story.Cause += " " + Capital(AttemptText(*attempts.Attempt));
  }
  if (attempts.Place != nullptr && !ran && result == "not_executed") {
    story.Cause += " " + Capital(SeenAt(*attempts.Place)) + ".";
  }
}

/** What the hosts went through at the time, said once each. */
void AddCircumstances(gsStory& story)
{
  std::vector<std::string> said;
  auto say = [&story, &said](std::string text) {
    if (std::find(said.begin(), said.end(), text) == said.end()) {
      story.Cause += " " + text;
      said.push_back(std::move(text));
    }
  };
  gsLogRecord const* attempt = LastOf(story.Records, "attempt");
  for (gsLogRecord const& record : story.Records) {
    std::string host =
      record.Host.empty() ? "The host" : "Host " + record.Host;
    if (record.Event == "stalled") {
      say(host + " had stood still for " + Text(record, "for_ms") + " ms.");
    } else if (record.Event == "table_lost") {
      say(host + " had lost the platform's table " + Text(record, "table") +
          ".");
    } else if (record.Event == "upstream_silent" && attempt != nullptr &&
               gsFieldOf(record, "upstream") ==
                 gsFieldOf(*attempt, "upstream")) {
      say("Nothing came from upstream " + Text(record, "upstream") + " for " +
          Text(record, "silent_ms") + " ms.");
    } else if (record.Event == "stopping") {
      say(host + " was being stopped.");
    }
  }
}

void Judge(gsStory& story)
{
  std::vector<gsLogRecord> const& records = story.Records;
  if (gsLogRecord const* end = LastOf(records, "end")) {
    TellEnd(story, *end);
  } else if (gsLogRecord const* failed = LastOf(records, "failed")) {
    bool ran = gsFieldOf(*failed, "ran") != "no";
    story.End = ran ? gsStoryEnd::Failed : gsStoryEnd::Refused;
    story.Cause = Text(*failed, "message");
  } else if (gsLogRecord const* refused = LastOf(records, "refuse")) {
    story.End = gsStoryEnd::Refused;
    story.Cause = "Pool " + Text(*refused, "pool") + " gave it up after " +
                  Text(*refused, "waited_ms") +
                  " ms: " + Text(*refused, "cause") + ".";
  } else if (gsLogRecord const* rejected = LastOf(records, "reject")) {
    story.End = gsStoryEnd::Rejected;
    story.Cause = "It was not admitted by configuration version " +
                  Text(*rejected, "version") + ": " +
                  Text(*rejected, "message");
  } else if (LastOf(records, "caller_left") != nullptr) {
    story.End = gsStoryEnd::CallerLeft;
    story.Cause = "The caller closed its connection.";
  } else {
    story.Cause = "The logs hold no final line of it: it was still open, the "
                  "host ended, or lines were dropped.";
  }
  AddCircumstances(story);
}

bool Concerns(gsLogRecord const& belief, std::vector<gsLogRecord> const& named)
{
  return std::any_of(
    named.begin(), named.end(), [&belief](gsLogRecord const& record) {
      return record.Host == belief.Host && belief.At >= record.At - Before &&
             belief.At <= record.At + After;
    });
}

} // namespace

char const* gsStoryEndWord(gsStoryEnd end)
{
  switch (end) {
    case gsStoryEnd::InTarget:
      return "in_target";
    case gsStoryEnd::Late:
      return "late";
    case gsStoryEnd::Rejected:
      return "rejected";
    case gsStoryEnd::Refused:
      return "refused";
    case gsStoryEnd::Failed:
      return "failed";
    case gsStoryEnd::CallerLeft:
      return "caller_left";
    case gsStoryEnd::Unknown:
      break;
  }
  return "unknown";
}

void gsStoryTake(gsStoryReader& reader, gsLogRecord record)
{
  if (gsFieldOf(record, "request") == reader.Request) {
    reader.Named.push_back(std::move(record));
  } else if (IsBelief(record.Event)) {
    reader.Beliefs.push_back(std::move(record));
  }
}

gsStory gsStoryTell(gsStoryReader const& reader)
{
  gsStory story;
  story.Request = reader.Request;
  story.Named = reader.Named.size();
  story.Records = reader.Named;
  for (gsLogRecord const& belief : reader.Beliefs) {
    if (Concerns(belief, reader.Named)) {
      story.Records.push_back(belief);
    }
  }
  std::stable_sort(story.Records.begin(), story.Records.end(), Earlier);
  Judge(story);
  return story;
}
