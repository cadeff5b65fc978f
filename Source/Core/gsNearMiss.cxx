/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsNearMiss.h"

#include <algorithm>
#include <initializer_list>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>

#include "gsNearMissAnnouncements.h"

namespace {

using Collector = gsNearMissCollector;

/** HTTP status by which an upstream reports that the request was addressed to
 * another one. Such a request does not count as sent to it. */
constexpr double StatusMisdirected = 421;
constexpr double StatusOk = 200;

std::uint64_t CountField(gsLogRecord const& record, std::string_view key)
{
  return static_cast<std::uint64_t>(gsLogFieldNumber(record, key).value_or(0));
}

/** Counts the first placement of a request if a stop of its host has been in
 * progress for more than gsNearMissStopDetectionTime. */
void CountLateStart(Collector& collector, Collector::Request const& request)
{
  auto stopping = collector.HostsStopping.find(request.Host);
  if (stopping == collector.HostsStopping.end() || !stopping->second) {
    return;
  }
  gsPlannedStop& stop = collector.PlannedStops[request.Host].back();
  gsTime delay = request.PlacedAt - stop.StartedAt;
  if (delay > gsNearMissStopDetectionTime) {
    ++stop.LateRequests;
    stop.LastLateRequestDelay = delay;
    stop.LastLateRequest = request.Id;
  }
}

/** Reads a request from the record of its first placement. */
Collector::Request ParseRequest(gsLogRecord const& record)
{
  Collector::Request request;
  request.Id = gsLogFieldValue(record, "request");
  request.Host = record.Host;
  request.Route = gsLogFieldValue(record, "route");
  request.Service = gsLogFieldValue(record, "service");
  request.Priority =
    static_cast<std::uint32_t>(CountField(record, "priority"));
  request.PromptTokens = gsLogFieldNumber(record, "prompt_tokens").value_or(0);
  request.PlacedAt = record.Timestamp;
  return request;
}

void CollectPlacement(Collector& collector, gsLogRecord const& record)
{
  std::string id(gsLogFieldValue(record, "request"));
  auto found = collector.OpenRequests.find(id);
  if (found == collector.OpenRequests.end()) {
    found = collector.OpenRequests.emplace(id, ParseRequest(record)).first;
    CountLateStart(collector, found->second);
  }
  Collector::Request& request = found->second;
  request.Upstream = gsLogFieldValue(record, "upstream");
  request.Stream =
    request.Stream || gsLogFieldValue(record, "stream") == "yes";
  request.SentAt = record.Timestamp;
  if (!request.Upstream.empty() && request.StartedAt.count() == 0) {
    request.StartedAt = record.Timestamp;
  }
}

/** Adds the attempt in progress, if any, to the sent requests. */
void AddSentRequest(Collector& collector, Collector::Request const& request)
{
  if (!request.Upstream.empty()) {
    collector.SentRequests.push_back(
      { request.Upstream, request.Host, request.Id, request.SentAt });
  }
}

void CollectAttempt(Collector& collector, gsLogRecord const& record)
{
  auto found = collector.OpenRequests.find(
    std::string(gsLogFieldValue(record, "request")));
  if (found == collector.OpenRequests.end()) {
    return;
  }
  Collector::Request& request = found->second;
  std::string_view end = gsLogFieldValue(record, "end");
  double status = gsLogFieldNumber(record, "status").value_or(0);
  if (end != "not_sent" && status != StatusMisdirected) {
    AddSentRequest(collector, request);
  }
  bool isAccepted = end == "whole" || end == "broken";
  if (!isAccepted && request.StartedAt == request.SentAt) {
    request.StartedAt = gsTime{};
  }
  request.AttemptBroken = request.AttemptBroken || end == "broken";
  request.UpstreamSilent =
    request.UpstreamSilent || gsLogFieldValue(record, "silent") == "yes";
  // Used if the end record has no begun field.
  bool isAnswering =
    status == StatusOk && gsLogFieldNumber(record, "first_ms");
  request.CallerReceivedEvents =
    request.CallerReceivedEvents || (request.Stream && isAnswering);
  request.Upstream.clear();
}

void CollectEnd(Collector& collector, gsLogRecord const& record)
{
  auto found = collector.OpenRequests.find(
    std::string(gsLogFieldValue(record, "request")));
  if (found == collector.OpenRequests.end()) {
    return;
  }
  Collector::Request& request = found->second;
  // An attempt that was ended by its host has no record of its end.
  AddSentRequest(collector, request);
  request.Result = gsLogFieldValue(record, "result");
  request.EndedAt = record.Timestamp;
  std::string_view begun = gsLogFieldValue(record, "begun");
  request.CallerReceivedEvents =
    begun.empty() ? request.CallerReceivedEvents : begun == "yes";
  collector.EndedRequests.push_back(std::move(request));
  collector.OpenRequests.erase(found);
}

void CollectRowChange(Collector& collector, gsLogRecord const& record,
                      bool isLeaving)
{
  if (!gsLogFieldNumber(record, "row_version")) {
    return; // Another mode logs events of the same name.
  }
  collector.RowChanges.push_back(
    { std::string(gsLogFieldValue(record, "upstream")), record.Host, isLeaving,
      CountField(record, "row_version"), record.Timestamp });
}

void CollectAnnouncement(Collector& collector, gsLogRecord const& record)
{
  Collector::Announcement announcement;
  announcement.Upstream = gsLogFieldValue(record, "upstream");
  announcement.Host = record.Host;
  announcement.Leaving = gsLogFieldValue(record, "leaving") == "yes";
  announcement.RetryDelay =
    gsFromSeconds(gsLogFieldNumber(record, "rest_ms").value_or(0) / 1e3);
  announcement.ReceivedAt = record.Timestamp;
  collector.Announcements.push_back(std::move(announcement));
}

/** Ends the announcements received by a host that has restarted and thereby
 * lost them. If an upstream is given, ends only those of this upstream. */
void EndAnnouncements(Collector& collector, gsLogRecord const& record,
                      std::string_view upstream)
{
  for (Collector::Announcement& announcement : collector.Announcements) {
    bool isAffected = announcement.Host == record.Host &&
                      (upstream.empty() || announcement.Upstream == upstream);
    if (isAffected) {
      announcement.ValidUntil =
        std::min(announcement.ValidUntil, record.Timestamp);
    }
  }
}

/**
 * Replicas are compared by the version up to which they are complete. Older
 * logs contain only the version of the last row, which is used instead. A
 * replica is not compared immediately after an incomplete update, because it
 * then contains rows beyond the version up to which it is complete.
 */
void CollectReplicaState(Collector& collector, gsLogRecord const& record)
{
  std::string counts(gsLogFieldValue(record, "listed"));
  counts += '/';
  counts += gsLogFieldValue(record, "leaving");
  bool hasCompleteVersion = !gsLogFieldValue(record, "complete_to").empty();
  std::uint64_t version =
    CountField(record, hasCompleteVersion ? "complete_to" : "row_version");
  bool isComparable = collector.IncompleteHosts.count(record.Host) == 0;
  collector.ReplicaStates[record.Host].push_back(
    { isComparable ? version : 0, std::move(counts), record.Timestamp });
}

/** Updates whether the last record of a host is about a table update with
 * missing rows. Called after the record has been collected. */
void UpdateIncompleteHosts(Collector& collector, gsLogRecord const& record)
{
  bool isIncomplete = record.Event == "table_learned" &&
                      gsLogFieldValue(record, "complete") == "no";
  if (isIncomplete) {
    collector.IncompleteHosts.insert(record.Host);
  } else {
    collector.IncompleteHosts.erase(record.Host);
  }
}

void CollectStopStart(Collector& collector, gsLogRecord const& record)
{
  gsPlannedStop stop;
  stop.Host = record.Host;
  stop.StartedAt = record.Timestamp;
  collector.PlannedStops[record.Host].push_back(std::move(stop));
  collector.HostsStopping[record.Host] = true;
}

/** Ends the requests that a host had open at the end of its stop, which
 * interrupted them. Its log does not contain whether their callers received
 * events; all streams are assumed to have had some. */
void InterruptOpenRequests(Collector& collector, gsLogRecord const& record)
{
  for (auto open = collector.OpenRequests.begin();
       open != collector.OpenRequests.end();) {
    Collector::Request& request = open->second;
    if (request.Host != record.Host) {
      ++open;
      continue;
    }
    request.Result = "stop";
    request.EndedAt = record.Timestamp;
    request.CallerReceivedEvents = request.Stream;
    collector.EndedRequests.push_back(std::move(request));
    open = collector.OpenRequests.erase(open);
  }
}

void CollectStopEnd(Collector& collector, gsLogRecord const& record)
{
  auto stopping = collector.HostsStopping.find(record.Host);
  if (stopping == collector.HostsStopping.end() || !stopping->second) {
    return;
  }
  stopping->second = false;
  gsPlannedStop& stop = collector.PlannedStops[record.Host].back();
  stop.Ended = true;
  stop.Duration = record.Timestamp - stop.StartedAt;
  stop.InterruptedRequests = CountField(record, "cut");
  stop.OpenExchanges = CountField(record, "open");
  stop.UnreadConnections = CountField(record, "unread");
  InterruptOpenRequests(collector, record);
}

void CollectDivergence(Collector& collector, gsLogRecord const& record)
{
  std::string table(gsLogFieldValue(record, "table"));
  auto found = std::find_if(
    collector.DivergentTables.begin(), collector.DivergentTables.end(),
    [&](gsDivergentTable const& divergent) {
      return divergent.Host == record.Host && divergent.Table == table;
    });
  if (found == collector.DivergentTables.end()) {
    gsDivergentTable divergent;
    divergent.Host = record.Host;
    divergent.Table = std::move(table);
    found = collector.DivergentTables.insert(found, std::move(divergent));
  }
  ++found->DetectionCount;
  found->Peer = gsLogFieldValue(record, "peer");
  found->Version = gsLogFieldValue(record, "version");
  found->Rows = gsLogFieldValue(record, "rows");
  found->PeerRows = gsLogFieldValue(record, "peer_rows");
}

gsDurationSummary SummarizeDurations(std::vector<gsTime> durations)
{
  gsDurationSummary result;
  result.Count = durations.size();
  if (durations.empty()) {
    return result;
  }
  constexpr std::size_t hundredPercent = 100;
  constexpr std::size_t percentile = 95;
  std::sort(durations.begin(), durations.end());
  // Nearest-rank method: the smallest value that at least 95 % of all values
  // do not exceed.
  std::size_t rank =
    (durations.size() * percentile + hundredPercent - 1) / hundredPercent;
  result.Median = durations[(durations.size() - 1) / 2];
  result.P95 = durations[rank - 1];
  result.Max = durations.back();
  return result;
}

/** Period in which at least one host knew that an upstream was leaving. */
struct Departure
{
  Collector::RowChange FirstChange; ///< The change that began it.
  /** When the upstream was listed again; the maximum while it is leaving. */
  gsTime EndedAt = gsTime::max();
  std::uint64_t RelistedVersion = 0; ///< Version of the row that ended it.
};

/** Departures in order of time, by upstream. */
using Departures = std::unordered_map<std::string, std::vector<Departure>>;

/** Applies a row change to the departures of its upstream, the last of which
 * may be open. A departure ends when a row of a higher version lists the
 * upstream again. Rows of earlier versions that a host reads late neither
 * begin nor end a departure. */
void ApplyRowChange(std::vector<Departure>& departures,
                    Collector::RowChange const& change)
{
  bool isOpen =
    !departures.empty() && departures.back().EndedAt == gsTime::max();
  if (change.Leaving) {
    bool isOutdated = !departures.empty() &&
                      change.Version <= departures.back().RelistedVersion;
    if (!isOpen && !isOutdated) {
      departures.emplace_back();
      departures.back().FirstChange = change;
    }
    return;
  }
  if (isOpen && change.Version > departures.back().FirstChange.Version) {
    departures.back().EndedAt = change.ReadAt;
    departures.back().RelistedVersion = change.Version;
  }
}

Departures FindDepartures(Collector const& collector)
{
  std::vector<Collector::RowChange> changes = collector.RowChanges;
  std::stable_sort(
    changes.begin(), changes.end(),
    [](Collector::RowChange const& a, Collector::RowChange const& b) {
      return a.ReadAt < b.ReadAt;
    });
  Departures departures;
  for (Collector::RowChange const& change : changes) {
    ApplyRowChange(departures[change.Upstream], change);
  }
  return departures;
}

/** For each departure of an upstream, the last request of each host, by
 * host. */
using LastRequestsByDeparture =
  std::vector<std::map<std::string, gsLastUpstreamRequest>>;

/** Updates the last request of a host in each departure that covers it. */
void UpdateLastRequests(std::vector<Departure> const& departures,
                        LastRequestsByDeparture& lastRequests,
                        Collector::SentRequest const& sent)
{
  for (std::size_t i = 0; i < departures.size(); ++i) {
    gsTime delay = sent.SentAt - departures[i].FirstChange.ReadAt;
    if (delay.count() < 0 || sent.SentAt >= departures[i].EndedAt) {
      continue;
    }
    gsLastUpstreamRequest& lastRequest = lastRequests[i][sent.Host];
    if (lastRequest.Host.empty() || delay > lastRequest.Delay) {
      lastRequest = { sent.Upstream, sent.Host, sent.RequestId, delay };
    }
  }
}

std::unordered_map<std::string, LastRequestsByDeparture> FindLastRequests(
  Collector const& collector, Departures const& departures)
{
  std::unordered_map<std::string, LastRequestsByDeparture> lastRequests;
  for (Collector::SentRequest const& sent : collector.SentRequests) {
    auto found = departures.find(sent.Upstream);
    if (found == departures.end()) {
      continue;
    }
    LastRequestsByDeparture& byDeparture = lastRequests[sent.Upstream];
    byDeparture.resize(found->second.size());
    UpdateLastRequests(found->second, byDeparture, sent);
  }
  return lastRequests;
}

void ReportDeparture(
  gsNearMissReport& report, Departure const& departure,
  std::map<std::string, gsLastUpstreamRequest> const& byHost,
  std::vector<gsTime>& allDelays)
{
  std::vector<gsTime> delays;
  for (auto const& [host, sent] : byHost) {
    delays.push_back(sent.Delay);
    allDelays.push_back(sent.Delay);
    if (gsToSeconds(sent.Delay) >
        gsNearMissLeavingShare * gsToSeconds(report.LeavingBound)) {
      report.LateRequests.push_back(sent);
    }
  }
  report.LeavingUpstreams.push_back(
    { departure.FirstChange.Upstream, departure.FirstChange.Host,
      departure.FirstChange.ReadAt, SummarizeDurations(std::move(delays)) });
}

void ReportLeavingUpstreams(Collector const& collector,
                            gsNearMissReport& report)
{
  Departures departures = FindDepartures(collector);
  auto lastRequests = FindLastRequests(collector, departures);
  std::vector<gsTime> allDelays;
  for (auto const& [upstream, upstreamDepartures] : departures) {
    LastRequestsByDeparture& byDeparture = lastRequests[upstream];
    byDeparture.resize(upstreamDepartures.size());
    for (std::size_t i = 0; i < upstreamDepartures.size(); ++i) {
      ReportDeparture(report, upstreamDepartures[i], byDeparture[i],
                      allDelays);
    }
  }
  report.LastRequestDelays = SummarizeDurations(std::move(allDelays));
  std::sort(report.LeavingUpstreams.begin(), report.LeavingUpstreams.end(),
            [](gsLeavingUpstream const& a, gsLeavingUpstream const& b) {
              return a.LastRequestDelays.Max != b.LastRequestDelays.Max
                       ? a.LastRequestDelays.Max > b.LastRequestDelays.Max
                       : std::tie(a.DetectedAt, a.Upstream) <
                           std::tie(b.DetectedAt, b.Upstream);
            });
  std::sort(
    report.LateRequests.begin(), report.LateRequests.end(),
    [](gsLastUpstreamRequest const& a, gsLastUpstreamRequest const& b) {
      return a.Delay != b.Delay ? a.Delay > b.Delay
                                : a.RequestId < b.RequestId;
    });
}

/** Sizes of the prompts whose size is logged. */
struct PromptSizes
{
  std::vector<double> Tokens;
  double Sum = 0;

  void Add(double size)
  {
    if (size > 0) {
      this->Tokens.push_back(size);
      this->Sum += size;
    }
  }

  void Add(PromptSizes const& other)
  {
    this->Tokens.insert(this->Tokens.end(), other.Tokens.begin(),
                        other.Tokens.end());
    this->Sum += other.Sum;
  }

  double Mean() const
  {
    return this->Tokens.empty()
             ? 0
             : this->Sum / static_cast<double>(this->Tokens.size());
  }
};

/** Requests of a route that arrived or started in a second or a window. A
 * request is counted as unserved in the second of its arrival. */
struct RequestCounts
{
  std::uint64_t Requests = 0;
  gsUnservedCounts Unserved;
  std::uint64_t Failed = 0;
  PromptSizes ArrivedPrompts;
  std::uint64_t Started = 0;
  PromptSizes StartedPrompts;
};

/** Requests of a route of a service. */
struct RouteRequests
{
  /** Numbers of requests by priority. */
  std::map<std::uint32_t, std::uint64_t> CountsByPriority;
  /** Counts by the second since the first record. */
  std::map<std::int64_t, RequestCounts> CountsBySecond;

  /** The priority of most requests; 0 if there is no request. */
  std::uint32_t Priority() const
  {
    auto mostFrequent = std::max_element(
      this->CountsByPriority.begin(), this->CountsByPriority.end(),
      [](auto const& a, auto const& b) { return a.second < b.second; });
    return mostFrequent == this->CountsByPriority.end() ? 0
                                                        : mostFrequent->first;
  }
};

using RequestsByRoute = std::map<std::string, RouteRequests>;
using RoutesByService = std::map<std::string, RequestsByRoute>;

bool IsOneOf(std::string_view value,
             std::initializer_list<std::string_view> values)
{
  return std::find(values.begin(), values.end(), value) != values.end();
}

/** Counts a request that was not served by its cause. */
void CountUnserved(Collector::Request const& request, RequestCounts& count)
{
  std::string_view result = request.Result;
  if (result.empty() || result == "whole") {
    return; // An empty result means that the log ends before the request.
  }
  if (result == "failed_answer") {
    ++count.Failed;
  } else if (result == "caller_left") {
    count.Unserved.CallerLeft += request.CallerReceivedEvents ? 0 : 1;
  } else if (result == "not_executed") {
    ++count.Unserved.Rejected;
  } else if (IsOneOf(result, { "route_timeout", "deadline" })) {
    ++count.Unserved.TimedOut;
  } else if (IsOneOf(result, { "no_upstream", "no_connection", "full",
                               "unreachable", "not_sent" })) {
    ++count.Unserved.NoUpstream;
  } else {
    ++count.Unserved.Incomplete;
  }
}

std::int64_t SecondOf(gsTime at, gsTime firstAt)
{
  return std::chrono::duration_cast<gsSeconds>(at - firstAt).count();
}

void CountRequest(Collector::Request const& request, gsTime firstAt,
                  RoutesByService& services)
{
  RouteRequests& routeRequests = services[request.Service][request.Route];
  ++routeRequests.CountsByPriority[request.Priority];
  RequestCounts& arrivals =
    routeRequests.CountsBySecond[SecondOf(request.PlacedAt, firstAt)];
  ++arrivals.Requests;
  arrivals.ArrivedPrompts.Add(request.PromptTokens);
  CountUnserved(request, arrivals);
  if (request.StartedAt.count() != 0) {
    RequestCounts& starts =
      routeRequests.CountsBySecond[SecondOf(request.StartedAt, firstAt)];
    ++starts.Started;
    starts.StartedPrompts.Add(request.PromptTokens);
  }
}

RoutesByService CountRequestsByService(Collector const& collector)
{
  RoutesByService services;
  for (Collector::Request const& request : collector.EndedRequests) {
    CountRequest(request, collector.FirstAt, services);
  }
  for (auto const& [id, request] : collector.OpenRequests) {
    CountRequest(request, collector.FirstAt, services);
  }
  return services;
}

void Add(gsUnservedCounts& sum, gsUnservedCounts const& count)
{
  sum.Rejected += count.Rejected;
  sum.NoUpstream += count.NoUpstream;
  sum.CallerLeft += count.CallerLeft;
  sum.Incomplete += count.Incomplete;
  sum.TimedOut += count.TimedOut;
}

constexpr std::int64_t WindowSeconds =
  std::chrono::duration_cast<gsSeconds>(gsNearMissWindow).count();

/** Counts of the window that begins at a second. */
RequestCounts SumWindow(RouteRequests const& routeRequests, std::int64_t from)
{
  RequestCounts sum;
  auto end = routeRequests.CountsBySecond.lower_bound(from + WindowSeconds);
  for (auto at = routeRequests.CountsBySecond.lower_bound(from); at != end;
       ++at) {
    RequestCounts const& count = at->second;
    sum.Requests += count.Requests;
    Add(sum.Unserved, count.Unserved);
    sum.Failed += count.Failed;
    sum.ArrivedPrompts.Add(count.ArrivedPrompts);
    sum.Started += count.Started;
    sum.StartedPrompts.Add(count.StartedPrompts);
  }
  return sum;
}

/** Whether a number of unserved requests has to be reported, given the number
 * of all requests. */
bool ExceedsUnservedThreshold(gsUnservedCounts const& unserved,
                              std::uint64_t requests)
{
  return unserved.Total() >= gsNearMissMinUnserved &&
         static_cast<double>(unserved.Total()) >
           gsNearMissUnservedShare * static_cast<double>(requests);
}

/** Requests of less urgent routes of the service that started in the window
 * that begins at a second. */
RequestCounts SumLessUrgentStarts(RequestsByRoute const& routes,
                                  std::uint32_t priority, std::int64_t from)
{
  RequestCounts sum;
  for (auto const& [route, routeRequests] : routes) {
    if (routeRequests.Priority() > priority) {
      RequestCounts window = SumWindow(routeRequests, from);
      sum.Started += window.Started;
      sum.StartedPrompts.Add(window.StartedPrompts);
    }
  }
  return sum;
}

/** Sets the ratio of prompt sizes and the number of larger prompts. Does
 * nothing if no prompt size of the route is logged. */
void ComparePromptSizes(gsStarvedRoute& starved, RequestCounts const& own,
                        RequestCounts const& lessUrgent)
{
  double mean = own.ArrivedPrompts.Mean();
  if (mean <= 0) {
    return;
  }
  starved.PromptRatio = lessUrgent.StartedPrompts.Mean() / mean;
  std::vector<double> const& sizes = lessUrgent.StartedPrompts.Tokens;
  starved.LargerPromptStarted = static_cast<std::uint64_t>(
    std::count_if(sizes.begin(), sizes.end(), [mean](double size) {
      return size > gsNearMissLargerPromptRatio * mean;
    }));
}

/** Evaluates the window that begins at a second. \return Empty if the route
 * was not starved in it. */
std::optional<gsStarvedRoute> EvaluateWindow(
  RequestsByRoute const& routes, RouteRequests const& routeRequests,
  std::int64_t from)
{
  RequestCounts own = SumWindow(routeRequests, from);
  if (!ExceedsUnservedThreshold(own.Unserved, own.Requests)) {
    return std::nullopt;
  }
  gsStarvedRoute starved;
  starved.Priority = routeRequests.Priority();
  RequestCounts lessUrgent =
    SumLessUrgentStarts(routes, starved.Priority, from);
  if (lessUrgent.Started == 0) {
    return std::nullopt;
  }
  starved.RequestCount = own.Requests;
  starved.Unserved = own.Unserved;
  starved.FailedRequests = own.Failed;
  starved.LessUrgentStarted = lessUrgent.Started;
  ComparePromptSizes(starved, own, lessUrgent);
  return starved;
}

/** Adds a window to the findings. Merges it into the last one if they
 * overlap. */
void AddOrMergeWindow(std::vector<gsStarvedRoute>& found,
                      gsStarvedRoute window)
{
  if (found.empty() || window.From > found.back().Until) {
    found.push_back(std::move(window));
    return;
  }
  gsStarvedRoute& last = found.back();
  if (window.UnservedShare() > last.UnservedShare()) {
    window.From = last.From;
    last = std::move(window);
  } else {
    last.Until = window.Until;
  }
}

/** Evaluates all windows that contain counts of a route. */
std::vector<gsStarvedRoute> FindStarvedWindows(
  RequestsByRoute const& routes, RouteRequests const& routeRequests,
  gsTime firstAt)
{
  std::vector<gsStarvedRoute> found;
  std::int64_t begin =
    routeRequests.CountsBySecond.begin()->first - WindowSeconds + 1;
  std::int64_t end = routeRequests.CountsBySecond.rbegin()->first;
  for (std::int64_t from = std::max<std::int64_t>(begin, 0); from <= end;
       ++from) {
    std::optional<gsStarvedRoute> window =
      EvaluateWindow(routes, routeRequests, from);
    if (window) {
      window->WorstWindowAt = firstAt + gsSeconds(from);
      window->From = window->WorstWindowAt;
      window->Until = window->WorstWindowAt + gsNearMissWindow;
      AddOrMergeWindow(found, std::move(*window));
    }
  }
  return found;
}

void ReportStarvedRoutes(Collector const& collector, gsNearMissReport& report)
{
  for (auto const& [service, routes] : CountRequestsByService(collector)) {
    for (auto const& [route, routeRequests] : routes) {
      for (gsStarvedRoute& starved :
           FindStarvedWindows(routes, routeRequests, collector.FirstAt)) {
        starved.Service = service;
        starved.Route = route;
        report.StarvedRoutes.push_back(std::move(starved));
      }
    }
  }
  std::stable_sort(report.StarvedRoutes.begin(), report.StarvedRoutes.end(),
                   [](gsStarvedRoute const& a, gsStarvedRoute const& b) {
                     return a.From < b.From;
                   });
}

std::string InterruptionCause(Collector::Request const& request)
{
  if (IsOneOf(request.Result, { "route_timeout", "deadline" })) {
    return "timeout";
  }
  if (request.Result == "stop") {
    return "stop";
  }
  if (request.UpstreamSilent) {
    return "silence";
  }
  return request.AttemptBroken ? "upstream_broke" : request.Result;
}

void ReportInterruptedStreams(Collector const& collector,
                              gsNearMissReport& report)
{
  std::map<std::pair<std::string, std::string>, gsInterruptedStreams>
    byCauseAndRoute;
  for (Collector::Request const& request : collector.EndedRequests) {
    bool isExcluded = IsOneOf(request.Result, { "whole", "caller_left" });
    if (isExcluded || !request.Stream || !request.CallerReceivedEvents) {
      continue;
    }
    std::string cause = InterruptionCause(request);
    gsInterruptedStreams& streams = byCauseAndRoute[{ cause, request.Route }];
    streams.Cause = std::move(cause);
    streams.Route = request.Route;
    ++streams.StreamCount;
    if (request.EndedAt >= streams.LastAt) {
      streams.LastAt = request.EndedAt;
      streams.LastHost = request.Host;
      streams.LastRequest = request.Id;
    }
  }
  for (auto& [key, streams] : byCauseAndRoute) {
    report.InterruptedStreams.push_back(std::move(streams));
  }
}

void ReportPlannedStops(Collector const& collector, gsNearMissReport& report)
{
  for (auto const& [host, stops] : collector.PlannedStops) {
    report.PlannedStops.insert(report.PlannedStops.end(), stops.begin(),
                               stops.end());
  }
  std::stable_sort(report.PlannedStops.begin(), report.PlannedStops.end(),
                   [](gsPlannedStop const& a, gsPlannedStop const& b) {
                     return a.StartedAt < b.StartedAt;
                   });
}

/** Use of a version of a replica by a host. */
struct ReplicaUse
{
  std::string Counts; ///< Row counts when the version was last in use.
  gsTime Duration{};  ///< How long it was in use with these counts.
};

/** By version and host. */
using ReplicaUsesByVersion =
  std::map<std::uint64_t, std::map<std::string, ReplicaUse>>;

ReplicaUsesByVersion FindReplicaUses(Collector const& collector)
{
  ReplicaUsesByVersion versions;
  for (auto const& [host, states] : collector.ReplicaStates) {
    for (std::size_t i = 0; i < states.size(); ++i) {
      gsTime until = i + 1 < states.size() ? states[i + 1].Since
                                           : collector.LastRecordAt.at(host);
      // The durations of consecutive records with the same row counts are
      // added up.
      ReplicaUse& use = versions[states[i].CompleteVersion][host];
      bool isSame = use.Counts == states[i].RowCounts;
      use.Duration =
        (isSame ? use.Duration : gsTime{}) + (until - states[i].Since);
      use.Counts = states[i].RowCounts;
    }
  }
  return versions;
}

/** The row counts of most hosts. */
std::string MostCommonRowCounts(gsDivergentVersion const& version)
{
  auto mostCommon = std::max_element(
    version.HostsByRowCounts.begin(), version.HostsByRowCounts.end(),
    [](auto const& a, auto const& b) {
      return a.second.size() < b.second.size();
    });
  return mostCommon->first;
}

void ReportDivergentVersions(Collector const& collector,
                             gsNearMissReport& report)
{
  for (auto const& [number, hosts] : FindReplicaUses(collector)) {
    if (number == 0) {
      continue; // These replicas may be incomplete.
    }
    gsDivergentVersion version;
    version.Version = number;
    for (auto const& [host, use] : hosts) {
      version.HostsByRowCounts[use.Counts].push_back(host);
    }
    if (version.HostsByRowCounts.size() < 2) {
      continue;
    }
    std::string commonCounts = MostCommonRowCounts(version);
    for (auto const& [host, use] : hosts) {
      bool isDivergent = use.Counts != commonCounts;
      version.LongestDivergence = std::max(
        version.LongestDivergence, isDivergent ? use.Duration : gsTime{});
    }
    report.DivergentVersions.push_back(std::move(version));
  }
}

} // namespace

std::uint64_t gsUnservedCounts::Total() const
{
  return this->Rejected + this->NoUpstream + this->CallerLeft +
         this->Incomplete + this->TimedOut;
}

double gsStarvedRoute::UnservedShare() const
{
  return this->RequestCount == 0
           ? 0
           : static_cast<double>(this->Unserved.Total()) /
               static_cast<double>(this->RequestCount);
}

void gsCollectNearMissRecord(gsNearMissCollector& collector,
                             gsLogRecord const& record)
{
  ++collector.RecordCount;
  bool isFirst =
    collector.RecordCount == 1 || record.Timestamp < collector.FirstAt;
  collector.FirstAt = isFirst ? record.Timestamp : collector.FirstAt;
  gsTime& lastRecordAt = collector.LastRecordAt[record.Host];
  lastRecordAt = std::max(lastRecordAt, record.Timestamp);
  if (record.Event == "place") {
    CollectPlacement(collector, record);
  } else if (record.Event == "attempt") {
    CollectAttempt(collector, record);
  } else if (record.Event == "end") {
    CollectEnd(collector, record);
  } else if (record.Event == "upstreams") {
    CollectReplicaState(collector, record);
  } else if (record.Event == "upstream_leaving" ||
             record.Event == "upstream_gone") {
    CollectRowChange(collector, record, true);
  } else if (record.Event == "upstream_listed") {
    CollectRowChange(collector, record, false);
  } else if (record.Event == "stopping") {
    CollectStopStart(collector, record);
  } else if (record.Event == "stopped") {
    CollectStopEnd(collector, record);
  } else if (record.Event == "started") {
    collector.HostsStopping[record.Host] = false;
    EndAnnouncements(collector, record, {});
  } else if (record.Event == "upstream_restarted") {
    EndAnnouncements(collector, record, gsLogFieldValue(record, "upstream"));
  } else if (record.Event == "upstream_says") {
    CollectAnnouncement(collector, record);
  } else if (record.Event == "table_differs") {
    CollectDivergence(collector, record);
  }
  UpdateIncompleteHosts(collector, record);
}

gsNearMissReport gsBuildNearMissReport(gsNearMissCollector const& collector,
                                       gsTime leavingBound)
{
  gsNearMissReport report;
  report.FirstAt = collector.FirstAt;
  report.LeavingBound = leavingBound;
  ReportLeavingUpstreams(collector, report);
  report.IgnoredAnnouncements = gsFindIgnoredAnnouncements(collector);
  ReportStarvedRoutes(collector, report);
  ReportInterruptedStreams(collector, report);
  ReportPlannedStops(collector, report);
  report.DivergentTables = collector.DivergentTables;
  ReportDivergentVersions(collector, report);
  return report;
}
