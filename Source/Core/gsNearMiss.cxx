/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsNearMiss.h"

#include <algorithm>
#include <initializer_list>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>

#include "gsNearMissWords.h"

namespace {

using Reader = gsNearMissReader;

/** The status by which an upstream says that it is not the one meant. */
constexpr double StatusMisdirected = 421;
constexpr double StatusOk = 200;

std::uint64_t CountOf(gsLogRecord const& record, std::string_view key)
{
  return static_cast<std::uint64_t>(gsNumberOf(record, key).value_or(0));
}

void NoteStart(Reader& reader, Reader::Request const& request)
{
  auto stopping = reader.Stopping.find(request.Host);
  if (stopping == reader.Stopping.end() || !stopping->second) {
    return;
  }
  gsPlannedStop& stop = reader.Stops[request.Host].back();
  gsTime after = request.PlacedAt - stop.At;
  if (after > gsNearStopStart) {
    ++stop.LateStarts;
    stop.LastStart = after;
    stop.LastRequest = request.Id;
  }
}

Reader::Request FirstPlaced(gsLogRecord const& record)
{
  Reader::Request request;
  request.Id = gsFieldOf(record, "request");
  request.Host = record.Host;
  request.Route = gsFieldOf(record, "route");
  request.Service = gsFieldOf(record, "service");
  request.Priority = static_cast<std::uint32_t>(CountOf(record, "priority"));
  request.Prompt = gsNumberOf(record, "prompt_tokens").value_or(0);
  request.PlacedAt = record.At;
  return request;
}

void TakePlace(Reader& reader, gsLogRecord const& record)
{
  std::string id(gsFieldOf(record, "request"));
  auto known = reader.Open.find(id);
  if (known == reader.Open.end()) {
    known = reader.Open.emplace(id, FirstPlaced(record)).first;
    NoteStart(reader, known->second);
  }
  Reader::Request& request = known->second;
  request.Upstream = gsFieldOf(record, "upstream");
  request.Stream = request.Stream || gsFieldOf(record, "stream") == "yes";
  request.SentAt = record.At;
  if (!request.Upstream.empty() && request.BegunAt.count() == 0) {
    request.BegunAt = record.At;
  }
}

void NoteSent(Reader& reader, Reader::Request const& request)
{
  if (!request.Upstream.empty()) {
    reader.Sendings.push_back(
      { request.Upstream, request.Host, request.Id, request.SentAt });
  }
}

void TakeAttempt(Reader& reader, gsLogRecord const& record)
{
  auto open = reader.Open.find(std::string(gsFieldOf(record, "request")));
  if (open == reader.Open.end()) {
    return;
  }
  Reader::Request& request = open->second;
  std::string_view end = gsFieldOf(record, "end");
  double status = gsNumberOf(record, "status").value_or(0);
  if (end != "not_sent" && status != StatusMisdirected) {
    NoteSent(reader, request);
  }
  bool began = end == "whole" || end == "broken";
  if (!began && request.BegunAt == request.SentAt) {
    request.BegunAt = gsTime{};
  }
  request.Broken = request.Broken || end == "broken";
  request.Silent = request.Silent || gsFieldOf(record, "silent") == "yes";
  // Logs without begun= in their ends tell this much.
  bool answering = status == StatusOk && gsNumberOf(record, "first_ms");
  request.HadEvents = request.HadEvents || (request.Stream && answering);
  request.Upstream.clear();
}

void TakeEnd(Reader& reader, gsLogRecord const& record)
{
  auto open = reader.Open.find(std::string(gsFieldOf(record, "request")));
  if (open == reader.Open.end()) {
    return;
  }
  Reader::Request& request = open->second;
  // An attempt that this host ended itself has no line of its own.
  NoteSent(reader, request);
  request.Result = gsFieldOf(record, "result");
  request.EndedAt = record.At;
  std::string_view begun = gsFieldOf(record, "begun");
  request.HadEvents = begun.empty() ? request.HadEvents : begun == "yes";
  reader.Ended.push_back(std::move(request));
  reader.Open.erase(open);
}

void TakeChange(Reader& reader, gsLogRecord const& record, bool leaves)
{
  if (!gsNumberOf(record, "row_version")) {
    return; // Another mode's event of that name.
  }
  reader.Changes.push_back({ std::string(gsFieldOf(record, "upstream")),
                             record.Host, leaves,
                             CountOf(record, "row_version"), record.At });
}

void TakeWord(Reader& reader, gsLogRecord const& record)
{
  Reader::Word word;
  word.Upstream = gsFieldOf(record, "upstream");
  word.Host = record.Host;
  word.Leaving = gsFieldOf(record, "leaving") == "yes";
  word.Rest = gsFromSeconds(gsNumberOf(record, "rest_ms").value_or(0) / 1e3);
  word.At = record.At;
  reader.Words.push_back(std::move(word));
}

/** A host that starts again knows no words of before; with an upstream, those
 * of that one alone. */
void EndWords(Reader& reader, gsLogRecord const& record,
              std::string_view upstream)
{
  for (Reader::Word& word : reader.Words) {
    bool ends = word.Host == record.Host &&
                (upstream.empty() || word.Upstream == upstream);
    if (ends) {
      word.Until = std::min(word.Until, record.At);
    }
  }
}

/** Copies are compared by the version up to which they call themselves
 * complete; older logs tell that of the last row alone. Right after news that
 * were not complete a copy holds rows beyond what it claims. */
void TakeUpstreams(Reader& reader, gsLogRecord const& record)
{
  std::string counts(gsFieldOf(record, "listed"));
  counts += '/';
  counts += gsFieldOf(record, "leaving");
  bool told = !gsFieldOf(record, "complete_to").empty();
  std::uint64_t version =
    CountOf(record, told ? "complete_to" : "row_version");
  bool claims = reader.Partial.count(record.Host) == 0;
  reader.Copies[record.Host].push_back(
    { claims ? version : 0, std::move(counts), record.At });
}

/** Notes whether a host's next line tells of news with rows missing. */
void NotePartial(Reader& reader, gsLogRecord const& record)
{
  bool partial =
    record.Event == "table_learned" && gsFieldOf(record, "complete") == "no";
  if (partial) {
    reader.Partial.insert(record.Host);
  } else {
    reader.Partial.erase(record.Host);
  }
}

void TakeStopping(Reader& reader, gsLogRecord const& record)
{
  gsPlannedStop stop;
  stop.Host = record.Host;
  stop.At = record.At;
  reader.Stops[record.Host].push_back(std::move(stop));
  reader.Stopping[record.Host] = true;
}

/** Streams that a host had open at its end were cut by the stop. Its log does
 * not tell whether their callers had events. */
void CutOpenStreams(Reader& reader, gsLogRecord const& record)
{
  for (auto open = reader.Open.begin(); open != reader.Open.end();) {
    Reader::Request& request = open->second;
    if (request.Host != record.Host) {
      ++open;
      continue;
    }
    request.Result = "stop";
    request.EndedAt = record.At;
    request.HadEvents = request.Stream;
    reader.Ended.push_back(std::move(request));
    open = reader.Open.erase(open);
  }
}

void TakeStopped(Reader& reader, gsLogRecord const& record)
{
  auto stopping = reader.Stopping.find(record.Host);
  if (stopping == reader.Stopping.end() || !stopping->second) {
    return;
  }
  stopping->second = false;
  gsPlannedStop& stop = reader.Stops[record.Host].back();
  stop.Ended = true;
  stop.Took = record.At - stop.At;
  stop.Cut = CountOf(record, "cut");
  stop.Open = CountOf(record, "open");
  stop.Unread = CountOf(record, "unread");
  CutOpenStreams(reader, record);
}

void TakeDiffers(Reader& reader, gsLogRecord const& record)
{
  std::string table(gsFieldOf(record, "table"));
  auto known = std::find_if(reader.Differing.begin(), reader.Differing.end(),
                            [&](gsDifferingTable const& differing) {
                              return differing.Host == record.Host &&
                                     differing.Table == table;
                            });
  if (known == reader.Differing.end()) {
    gsDifferingTable differing;
    differing.Host = record.Host;
    differing.Table = std::move(table);
    known = reader.Differing.insert(known, std::move(differing));
  }
  ++known->Times;
  known->Peer = gsFieldOf(record, "peer");
  known->Version = gsFieldOf(record, "version");
  known->Rows = gsFieldOf(record, "rows");
  known->PeerRows = gsFieldOf(record, "peer_rows");
}

gsNearTimes TimesOf(std::vector<gsTime> times)
{
  gsNearTimes result;
  result.Count = times.size();
  if (times.empty()) {
    return result;
  }
  constexpr std::size_t percents = 100;
  constexpr std::size_t high = 95;
  std::sort(times.begin(), times.end());
  // The nearest rank: the smallest value that the share does not exceed.
  std::size_t rank = (times.size() * high + percents - 1) / percents;
  result.Median = times[(times.size() - 1) / 2];
  result.P95 = times[rank - 1];
  result.Most = times.back();
  return result;
}

/** From when on, and until when, an upstream was known to leave. */
struct Departure
{
  Reader::Change First;
  gsTime Until = gsTime::max();
  std::uint64_t ListedVersion = 0; ///< Of the row that ended it.
};

using Departures = std::unordered_map<std::string, std::vector<Departure>>;

/** A row of a higher version that lists the upstream ends a departure; hosts
 * that read an older one late do not. */
void NoteChange(std::vector<Departure>& known, Reader::Change const& change)
{
  bool open = !known.empty() && known.back().Until == gsTime::max();
  if (change.Leaves) {
    bool late = !known.empty() && change.Version <= known.back().ListedVersion;
    if (!open && !late) {
      known.emplace_back();
      known.back().First = change;
    }
    return;
  }
  if (open && change.Version > known.back().First.Version) {
    known.back().Until = change.At;
    known.back().ListedVersion = change.Version;
  }
}

Departures DeparturesOf(Reader const& reader)
{
  std::vector<Reader::Change> changes = reader.Changes;
  std::stable_sort(changes.begin(), changes.end(),
                   [](Reader::Change const& a, Reader::Change const& b) {
                     return a.At < b.At;
                   });
  Departures departures;
  for (Reader::Change const& change : changes) {
    NoteChange(departures[change.Upstream], change);
  }
  return departures;
}

/** For each departure of an upstream, the last request of each host. */
using LastByHost = std::vector<std::map<std::string, gsLastSent>>;

void NoteLast(std::vector<Departure> const& departures, LastByHost& last,
              Reader::Sent const& sent)
{
  for (std::size_t i = 0; i < departures.size(); ++i) {
    gsTime after = sent.At - departures[i].First.At;
    if (after.count() < 0 || sent.At >= departures[i].Until) {
      continue;
    }
    gsLastSent& known = last[i][sent.Host];
    if (known.Host.empty() || after > known.After) {
      known = { sent.Upstream, sent.Host, sent.Request, after };
    }
  }
}

std::unordered_map<std::string, LastByHost> LastSendings(
  Reader const& reader, Departures const& departures)
{
  std::unordered_map<std::string, LastByHost> last;
  for (Reader::Sent const& sent : reader.Sendings) {
    auto departed = departures.find(sent.Upstream);
    if (departed == departures.end()) {
      continue;
    }
    LastByHost& byHost = last[sent.Upstream];
    byHost.resize(departed->second.size());
    NoteLast(departed->second, byHost, sent);
  }
  return last;
}

void AddDeparture(gsNearMissReport& report, Departure const& departure,
                  std::map<std::string, gsLastSent> const& byHost,
                  std::vector<gsTime>& all)
{
  std::vector<gsTime> times;
  for (auto const& [host, sent] : byHost) {
    times.push_back(sent.After);
    all.push_back(sent.After);
    if (gsToSeconds(sent.After) >
        gsNearLeavingShare * gsToSeconds(report.LeavingBound)) {
      report.LateSent.push_back(sent);
    }
  }
  report.Leaving.push_back({ departure.First.Upstream, departure.First.Host,
                             departure.First.At, TimesOf(std::move(times)) });
}

void SumLeaving(Reader const& reader, gsNearMissReport& report)
{
  Departures departures = DeparturesOf(reader);
  auto last = LastSendings(reader, departures);
  std::vector<gsTime> all;
  for (auto const& [upstream, known] : departures) {
    LastByHost& byHost = last[upstream];
    byHost.resize(known.size());
    for (std::size_t i = 0; i < known.size(); ++i) {
      AddDeparture(report, known[i], byHost[i], all);
    }
  }
  report.LastSent = TimesOf(std::move(all));
  std::sort(report.Leaving.begin(), report.Leaving.end(),
            [](gsLeavingUpstream const& a, gsLeavingUpstream const& b) {
              return a.Last.Most != b.Last.Most ? a.Last.Most > b.Last.Most
                                                : std::tie(a.At, a.Upstream) <
                                                    std::tie(b.At, b.Upstream);
            });
  std::sort(report.LateSent.begin(), report.LateSent.end(),
            [](gsLastSent const& a, gsLastSent const& b) {
              return a.After != b.After ? a.After > b.After
                                        : a.Request < b.Request;
            });
}

/** Prompts, and how many of them the logs tell. */
struct Prompts
{
  std::vector<double> Sizes;
  double Sum = 0;

  void Add(double size)
  {
    if (size > 0) {
      this->Sizes.push_back(size);
      this->Sum += size;
    }
  }

  void Add(Prompts const& other)
  {
    this->Sizes.insert(this->Sizes.end(), other.Sizes.begin(),
                       other.Sizes.end());
    this->Sum += other.Sum;
  }

  double Mean() const
  {
    return this->Sizes.empty()
             ? 0
             : this->Sum / static_cast<double>(this->Sizes.size());
  }
};

/** A kind's requests that arrived, or began, in a second or a span. */
struct KindCount
{
  std::uint64_t Requests = 0;
  gsUnservedCount Unserved;
  std::uint64_t Failed = 0;
  Prompts Arrived;
  std::uint64_t Begun = 0;
  Prompts BegunPrompts;
};

struct Kind
{
  std::map<std::uint32_t, std::uint64_t> Priorities;
  std::map<std::int64_t, KindCount> Seconds; ///< Since the first line.

  /** The one that most of its requests have. */
  std::uint32_t Priority() const
  {
    auto most = std::max_element(
      this->Priorities.begin(), this->Priorities.end(),
      [](auto const& a, auto const& b) { return a.second < b.second; });
    return most == this->Priorities.end() ? 0 : most->first;
  }
};

using Kinds = std::map<std::string, Kind>;           ///< By route.
using KindsByService = std::map<std::string, Kinds>; ///< By service.

bool IsOneOf(std::string_view word,
             std::initializer_list<std::string_view> words)
{
  return std::find(words.begin(), words.end(), word) != words.end();
}

/** Counts a request that got nothing under its cause. */
void CountUnserved(Reader::Request const& request, KindCount& count)
{
  std::string_view result = request.Result;
  if (result.empty() || result == "whole") {
    return; // The log ends before an open request does.
  }
  if (result == "failed_answer") {
    ++count.Failed;
  } else if (result == "caller_left") {
    count.Unserved.CallerLeft += request.HadEvents ? 0 : 1;
  } else if (result == "not_executed") {
    ++count.Unserved.TurnedAway;
  } else if (IsOneOf(result, { "route_timeout", "deadline" })) {
    ++count.Unserved.TimedOut;
  } else if (IsOneOf(result, { "no_upstream", "no_connection", "full",
                               "unreachable", "not_sent" })) {
    ++count.Unserved.NoUpstream;
  } else {
    ++count.Unserved.Cut;
  }
}

std::int64_t SecondOf(gsTime at, gsTime first)
{
  return std::chrono::duration_cast<gsSeconds>(at - first).count();
}

void CountRequest(Reader::Request const& request, gsTime first,
                  KindsByService& services)
{
  Kind& kind = services[request.Service][request.Route];
  ++kind.Priorities[request.Priority];
  KindCount& arrived = kind.Seconds[SecondOf(request.PlacedAt, first)];
  ++arrived.Requests;
  arrived.Arrived.Add(request.Prompt);
  CountUnserved(request, arrived);
  if (request.BegunAt.count() != 0) {
    KindCount& begun = kind.Seconds[SecondOf(request.BegunAt, first)];
    ++begun.Begun;
    begun.BegunPrompts.Add(request.Prompt);
  }
}

KindsByService KindsOf(Reader const& reader)
{
  KindsByService services;
  for (Reader::Request const& request : reader.Ended) {
    CountRequest(request, reader.FirstAt, services);
  }
  for (auto const& [id, request] : reader.Open) {
    CountRequest(request, reader.FirstAt, services);
  }
  return services;
}

void Add(gsUnservedCount& sum, gsUnservedCount const& count)
{
  sum.TurnedAway += count.TurnedAway;
  sum.NoUpstream += count.NoUpstream;
  sum.CallerLeft += count.CallerLeft;
  sum.Cut += count.Cut;
  sum.TimedOut += count.TimedOut;
}

constexpr std::int64_t SpanSeconds =
  std::chrono::duration_cast<gsSeconds>(gsNearSpan).count();

KindCount SpanOf(Kind const& kind, std::int64_t from)
{
  KindCount sum;
  auto end = kind.Seconds.lower_bound(from + SpanSeconds);
  for (auto at = kind.Seconds.lower_bound(from); at != end; ++at) {
    KindCount const& count = at->second;
    sum.Requests += count.Requests;
    Add(sum.Unserved, count.Unserved);
    sum.Failed += count.Failed;
    sum.Arrived.Add(count.Arrived);
    sum.Begun += count.Begun;
    sum.BegunPrompts.Add(count.BegunPrompts);
  }
  return sum;
}

bool IsOften(gsUnservedCount const& unserved, std::uint64_t requests)
{
  return unserved.Sum() >= gsNearUnserved &&
         static_cast<double>(unserved.Sum()) >
           gsNearUnservedShare * static_cast<double>(requests);
}

/** What began of the less urgent kinds of the service in a span. */
KindCount LessUrgentOf(Kinds const& kinds, std::uint32_t priority,
                       std::int64_t from)
{
  KindCount sum;
  for (auto const& [route, kind] : kinds) {
    if (kind.Priority() > priority) {
      KindCount count = SpanOf(kind, from);
      sum.Begun += count.Begun;
      sum.BegunPrompts.Add(count.BegunPrompts);
    }
  }
  return sum;
}

void CompareSizes(gsKindBehind& behind, KindCount const& own,
                  KindCount const& less)
{
  double mean = own.Arrived.Mean();
  if (mean <= 0) {
    return;
  }
  behind.PromptRatio = less.BegunPrompts.Mean() / mean;
  std::vector<double> const& sizes = less.BegunPrompts.Sizes;
  behind.LargerPrompt = static_cast<std::uint64_t>(
    std::count_if(sizes.begin(), sizes.end(), [mean](double size) {
      return size > gsNearLargerPrompt * mean;
    }));
}

/** The span as a finding, if it is one. */
std::optional<gsKindBehind> BehindAt(Kinds const& kinds, Kind const& kind,
                                     std::int64_t from)
{
  KindCount own = SpanOf(kind, from);
  if (!IsOften(own.Unserved, own.Requests)) {
    return std::nullopt;
  }
  gsKindBehind behind;
  behind.Priority = kind.Priority();
  KindCount less = LessUrgentOf(kinds, behind.Priority, from);
  if (less.Begun == 0) {
    return std::nullopt;
  }
  behind.Requests = own.Requests;
  behind.Unserved = own.Unserved;
  behind.Failed = own.Failed;
  behind.LessUrgent = less.Begun;
  CompareSizes(behind, own, less);
  return behind;
}

/** Adds a span to those told, as part of the last one if they overlap. */
void AddBehind(std::vector<gsKindBehind>& found, gsKindBehind behind)
{
  if (found.empty() || behind.From > found.back().Until) {
    found.push_back(std::move(behind));
    return;
  }
  gsKindBehind& last = found.back();
  if (behind.Share() > last.Share()) {
    behind.From = last.From;
    last = std::move(behind);
  } else {
    last.Until = behind.Until;
  }
}

std::vector<gsKindBehind> BehindOf(Kinds const& kinds, Kind const& kind,
                                   gsTime first)
{
  std::vector<gsKindBehind> found;
  std::int64_t begin = kind.Seconds.begin()->first - SpanSeconds + 1;
  std::int64_t end = kind.Seconds.rbegin()->first;
  for (std::int64_t from = std::max<std::int64_t>(begin, 0); from <= end;
       ++from) {
    std::optional<gsKindBehind> behind = BehindAt(kinds, kind, from);
    if (behind) {
      behind->Worst = first + gsSeconds(from);
      behind->From = behind->Worst;
      behind->Until = behind->Worst + gsNearSpan;
      AddBehind(found, std::move(*behind));
    }
  }
  return found;
}

void SumBehind(Reader const& reader, gsNearMissReport& report)
{
  for (auto const& [service, kinds] : KindsOf(reader)) {
    for (auto const& [route, kind] : kinds) {
      for (gsKindBehind& behind : BehindOf(kinds, kind, reader.FirstAt)) {
        behind.Service = service;
        behind.Route = route;
        report.Behind.push_back(std::move(behind));
      }
    }
  }
  std::stable_sort(report.Behind.begin(), report.Behind.end(),
                   [](gsKindBehind const& a, gsKindBehind const& b) {
                     return a.From < b.From;
                   });
}

std::string CloseCause(Reader::Request const& request)
{
  if (IsOneOf(request.Result, { "route_timeout", "deadline" })) {
    return "timeout";
  }
  if (request.Result == "stop") {
    return "stop";
  }
  if (request.Silent) {
    return "silence";
  }
  return request.Broken ? "upstream_broke" : request.Result;
}

void SumClosed(Reader const& reader, gsNearMissReport& report)
{
  std::map<std::pair<std::string, std::string>, gsClosedStreams> closed;
  for (Reader::Request const& request : reader.Ended) {
    bool whole = IsOneOf(request.Result, { "whole", "caller_left" });
    if (whole || !request.Stream || !request.HadEvents) {
      continue;
    }
    std::string cause = CloseCause(request);
    gsClosedStreams& streams = closed[{ cause, request.Route }];
    streams.Cause = std::move(cause);
    streams.Route = request.Route;
    ++streams.Count;
    if (request.EndedAt >= streams.LastAt) {
      streams.LastAt = request.EndedAt;
      streams.LastHost = request.Host;
      streams.LastRequest = request.Id;
    }
  }
  for (auto& [key, streams] : closed) {
    report.Closed.push_back(std::move(streams));
  }
}

void SumStops(Reader const& reader, gsNearMissReport& report)
{
  for (auto const& [host, stops] : reader.Stops) {
    report.Stops.insert(report.Stops.end(), stops.begin(), stops.end());
  }
  std::stable_sort(report.Stops.begin(), report.Stops.end(),
                   [](gsPlannedStop const& a, gsPlannedStop const& b) {
                     return a.At < b.At;
                   });
}

/** A host's copy of a version: its last counts, and how long it was used. */
struct HeldCopy
{
  std::string Counts;
  gsTime Held{};
};

using HeldByVersion = std::map<std::uint64_t, std::map<std::string, HeldCopy>>;

HeldByVersion CopiesOf(Reader const& reader)
{
  HeldByVersion versions;
  for (auto const& [host, copies] : reader.Copies) {
    for (std::size_t i = 0; i < copies.size(); ++i) {
      gsTime until =
        i + 1 < copies.size() ? copies[i + 1].At : reader.LastLine.at(host);
      // The same counts again are the same copy, still in use.
      HeldCopy& held = versions[copies[i].Version][host];
      bool same = held.Counts == copies[i].Counts;
      held.Held = (same ? held.Held : gsTime{}) + (until - copies[i].At);
      held.Counts = copies[i].Counts;
    }
  }
  return versions;
}

/** The counts that most hosts have. */
std::string MostCommon(gsDifferingVersion const& version)
{
  auto most = std::max_element(version.Hosts.begin(), version.Hosts.end(),
                               [](auto const& a, auto const& b) {
                                 return a.second.size() < b.second.size();
                               });
  return most->first;
}

void SumVersions(Reader const& reader, gsNearMissReport& report)
{
  for (auto const& [number, hosts] : CopiesOf(reader)) {
    if (number == 0) {
      continue; // These copies do not call themselves complete.
    }
    gsDifferingVersion version;
    version.Version = number;
    for (auto const& [host, held] : hosts) {
      version.Hosts[held.Counts].push_back(host);
    }
    if (version.Hosts.size() < 2) {
      continue;
    }
    std::string common = MostCommon(version);
    for (auto const& [host, held] : hosts) {
      bool other = held.Counts != common;
      version.Longest =
        std::max(version.Longest, other ? held.Held : gsTime{});
    }
    report.Versions.push_back(std::move(version));
  }
}

} // namespace

std::uint64_t gsUnservedCount::Sum() const
{
  return this->TurnedAway + this->NoUpstream + this->CallerLeft + this->Cut +
         this->TimedOut;
}

double gsKindBehind::Share() const
{
  return this->Requests == 0 ? 0
                             : static_cast<double>(this->Unserved.Sum()) /
                                 static_cast<double>(this->Requests);
}

void gsNearMissTake(gsNearMissReader& reader, gsLogRecord const& record)
{
  ++reader.Lines;
  bool first = reader.Lines == 1 || record.At < reader.FirstAt;
  reader.FirstAt = first ? record.At : reader.FirstAt;
  gsTime& last = reader.LastLine[record.Host];
  last = std::max(last, record.At);
  if (record.Event == "place") {
    TakePlace(reader, record);
  } else if (record.Event == "attempt") {
    TakeAttempt(reader, record);
  } else if (record.Event == "end") {
    TakeEnd(reader, record);
  } else if (record.Event == "upstreams") {
    TakeUpstreams(reader, record);
  } else if (record.Event == "upstream_leaving" ||
             record.Event == "upstream_gone") {
    TakeChange(reader, record, true);
  } else if (record.Event == "upstream_listed") {
    TakeChange(reader, record, false);
  } else if (record.Event == "stopping") {
    TakeStopping(reader, record);
  } else if (record.Event == "stopped") {
    TakeStopped(reader, record);
  } else if (record.Event == "started") {
    reader.Stopping[record.Host] = false;
    EndWords(reader, record, {});
  } else if (record.Event == "upstream_restarted") {
    EndWords(reader, record, gsFieldOf(record, "upstream"));
  } else if (record.Event == "upstream_says") {
    TakeWord(reader, record);
  } else if (record.Event == "table_differs") {
    TakeDiffers(reader, record);
  }
  NotePartial(reader, record);
}

gsNearMissReport gsNearMissSum(gsNearMissReader const& reader,
                               gsTime leavingBound)
{
  gsNearMissReport report;
  report.FirstAt = reader.FirstAt;
  report.LeavingBound = leavingBound;
  SumLeaving(reader, report);
  report.Ignored = gsIgnoredWords(reader);
  SumBehind(reader, report);
  SumClosed(reader, report);
  SumStops(reader, report);
  report.Differing = reader.Differing;
  SumVersions(reader, report);
  return report;
}
