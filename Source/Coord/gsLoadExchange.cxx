/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLoadExchange.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <tuple>
#include <utility>

namespace {

/** Keeps the newer of the measured speeds, and of their samples, in a sum.
 * \param elapsedMillis Time since the part was received. */
void AddSpeed(gsUpstreamLoad& total, gsUpstreamLoad const& load,
              std::uint32_t elapsedMillis)
{
  std::uint32_t age = load.SpeedAgeMillis + elapsedMillis;
  bool newer = load.SpeedPermille != 0 &&
               (total.SpeedPermille == 0 || age < total.SpeedAgeMillis);
  if (newer) {
    total.SpeedPermille = load.SpeedPermille;
    total.SpeedAgeMillis = age;
  }
  age = load.SpeedSampleAgeMillis + elapsedMillis;
  newer = load.SpeedSampleNanos != 0 &&
          (total.SpeedSampleNanos == 0 || age < total.SpeedSampleAgeMillis);
  if (newer) {
    total.SpeedSampleNanos = load.SpeedSampleNanos;
    total.SpeedSampleKind = load.SpeedSampleKind;
    total.SpeedSampleAgeMillis = age;
  }
}

/** The first entry whose priority is not below the given one. */
gsUrgencyLoads::iterator FindPriority(gsUrgencyLoads& loads,
                                      std::uint32_t priority)
{
  return std::lower_bound(loads.begin(), loads.end(), priority,
                          [](gsUrgencyLoad const& load, std::uint32_t value) {
                            return load.Priority < value;
                          });
}

/** Adds a part to a sum. Of arrangements and speeds, the newest is kept; of
 * event intervals, the shortest. \param elapsed Time since the part was
 * received; zero for the own part. */
void Add(gsSystemLoad& sum, gsSystemLoad const& part, gsTime elapsed = {})
{
  auto elapsedMillis = static_cast<std::uint32_t>(
    std::chrono::duration_cast<gsMilliseconds>(elapsed).count());
  sum.UnreachableHalls.insert(part.UnreachableHalls.begin(),
                              part.UnreachableHalls.end());
  for (auto const& [service, arrangement] : part.Arrangements) {
    gsEngineArrangement& newest = sum.Arrangements[service];
    if (gsSupersedes(arrangement, newest)) {
      newest = arrangement;
    }
  }
  for (auto const& [service, demand] : part.Services) {
    gsServiceDemand& total = sum.Services[service];
    total.LongTokens += demand.LongTokens;
    total.TightTokens += demand.TightTokens;
    for (auto const& [priority, open] : demand.OpenAttempts) {
      total.OpenAttempts[priority] += open;
    }
    for (auto const& [priority, kind] : demand.Kinds) {
      total.Kinds[priority].EngineMillis += kind.EngineMillis;
      total.Kinds[priority].WaitingMillis += kind.WaitingMillis;
    }
    for (auto const& [organisation, millis] : demand.Organisations) {
      total.Organisations[organisation] += millis;
    }
  }
  for (auto const& [upstream, load] : part.Upstreams) {
    gsUpstreamLoad& total = sum.Upstreams[upstream];
    total.Running += load.Running;
    total.PendingPromptTokens += load.PendingPromptTokens;
    total.MemoryTokens += load.MemoryTokens;
    for (gsUrgencyLoad const& urgency : load.ByUrgency) {
      gsAddUrgencyLoad(total.ByUrgency, urgency);
    }
    AddSpeed(total, load, elapsedMillis);
    bool shorter =
      load.MinEventIntervalMicros != 0 &&
      (total.MinEventIntervalMicros == 0 ||
       load.MinEventIntervalMicros < total.MinEventIntervalMicros);
    total.MinEventIntervalMicros =
      shorter ? load.MinEventIntervalMicros : total.MinEventIntervalMicros;
  }
}

/** Whether a received report has not expired. */
bool IsUnexpired(gsLoadExchange const& exchange,
                 gsReceivedLoad const& received, gsTime now)
{
  return now - received.ReceivedAt <= exchange.Settings.ReportLifetime &&
         now - received.OldestHostReportAt <=
           exchange.Settings.MaxHostReportAge;
}

/** Pointers into gsLoadExchange::Received. */
using Reports = std::vector<gsReceivedLoad const*>;

/** Unexpired reports of the other hosts of this hall, excluding one host. */
Reports HallReports(gsLoadExchange const& exchange, std::string_view excluded,
                    gsTime now)
{
  Reports reports;
  for (auto const& [host, received] : exchange.Received) {
    bool counts = received.Report.Scope == gsLoadScope::Host &&
                  received.Hall == exchange.Hall && host != excluded &&
                  IsUnexpired(exchange, received, now);
    if (counts) {
      reports.push_back(&received);
    }
  }
  return reports;
}

/** The last unexpired report of each other hall, sent by its relay. */
Reports OtherHallReports(gsLoadExchange const& exchange, gsTime now)
{
  std::map<std::string_view, gsReceivedLoad const*> newest;
  for (auto const& [host, received] : exchange.Received) {
    bool counts = received.Report.Scope == gsLoadScope::Hall &&
                  received.Hall != exchange.Hall &&
                  IsUnexpired(exchange, received, now);
    if (!counts) {
      continue;
    }
    gsReceivedLoad const*& last = newest[received.Hall];
    if (last == nullptr || received.ReceivedAt > last->ReceivedAt) {
      last = &received;
    }
  }
  Reports reports;
  reports.reserve(newest.size());
  for (auto const& [hall, received] : newest) {
    reports.push_back(received);
  }
  return reports;
}

/** When the oldest host report included in some reports was sent; now if there
 * are none. */
gsTime OldestHostReportAt(Reports const& reports, gsTime now)
{
  gsTime oldest = now;
  for (gsReceivedLoad const* report : reports) {
    oldest = std::min(oldest, report->OldestHostReportAt);
  }
  return oldest;
}

/** Work of the hosts of this hall, excluding one host. */
gsSystemLoad HallLoad(gsLoadExchange const& exchange, gsSystemLoad const& own,
                      std::string_view excluded, gsTime now)
{
  gsSystemLoad sum;
  if (excluded != exchange.Self) {
    sum = own;
  }
  for (gsReceivedLoad const* received : HallReports(exchange, excluded, now)) {
    Add(sum, received->Report.Load, now - received->ReceivedAt);
  }
  return sum;
}

/** Work of the other halls, according to the last report of each. */
gsSystemLoad OtherHallsLoad(gsLoadExchange const& exchange, gsTime now)
{
  gsSystemLoad sum;
  for (gsReceivedLoad const* received : OtherHallReports(exchange, now)) {
    Add(sum, received->Report.Load, now - received->ReceivedAt);
  }
  // The reachability of halls from other halls is irrelevant to this hall.
  sum.UnreachableHalls.clear();
  return sum;
}

/** The last unexpired sum of all other hosts, received from the relay; null if
 * there is none, or if this host is the relay. */
gsReceivedLoad const* ReportFromRelay(gsLoadExchange const& exchange,
                                      gsTime now)
{
  gsReceivedLoad const* fromRelay = nullptr;
  gsTime lastHostReport{};
  for (auto const& [host, received] : exchange.Received) {
    bool newer =
      fromRelay == nullptr || received.ReceivedAt > fromRelay->ReceivedAt;
    if (received.Report.Scope == gsLoadScope::Others && newer &&
        IsUnexpired(exchange, received, now)) {
      fromRelay = &received;
    }
    if (received.Report.Scope == gsLoadScope::Host) {
      lastHostReport = std::max(lastHostReport, received.ReceivedAt);
    }
  }
  // Only a relay receives reports of single hosts. It computes the sum itself,
  // and no other relay sends it one.
  return fromRelay != nullptr && fromRelay->ReceivedAt > lastHostReport
           ? fromRelay
           : nullptr;
}

/** Whether the minimum interval since the last report to a host has passed. */
bool MaySend(gsLoadExchange& exchange, std::string const& host,
             gsTime interval, gsTime now)
{
  return now - exchange.Sent[host].SentAt >= interval;
}

/** Adds a report to a host, unless the same load was sent to it less than
 * RefreshInterval ago. */
void AddReport(gsLoadExchange& exchange, std::string const& host,
               gsLoadScope scope, gsSystemLoad load, gsTime age, gsTime now,
               std::vector<gsLoadMessage>& messages)
{
  for (auto& [service, demand] : load.Services) {
    gsKeepLargest(demand.Organisations);
  }
  gsSentLoad& sent = exchange.Sent[host];
  bool due = now - sent.SentAt >= exchange.Settings.RefreshInterval;
  if (!due && sent.Load == load) {
    return;
  }
  sent.Load = load;
  sent.SentAt = now;
  messages.push_back({ host, { scope, std::move(load), age } });
}

void DiscardExpired(gsLoadExchange& exchange, gsTime now)
{
  for (auto report = exchange.Received.begin();
       report != exchange.Received.end();) {
    bool unexpired = IsUnexpired(exchange, report->second, now);
    report = unexpired ? std::next(report) : exchange.Received.erase(report);
  }
}

} // namespace

void gsAddUrgencyLoad(gsUrgencyLoads& sum, gsUrgencyLoad const& part)
{
  auto entry = FindPriority(sum, part.Priority);
  if (entry == sum.end() || entry->Priority != part.Priority) {
    sum.insert(entry, part);
    return;
  }
  entry->OpenAttempts += part.OpenAttempts;
  entry->Waiting += part.Waiting;
  entry->PendingPromptTokens += part.PendingPromptTokens;
  entry->MemoryTokens += part.MemoryTokens;
}

void gsSubtractUrgencyLoad(gsUrgencyLoads& sum, gsUrgencyLoad const& part)
{
  auto entry = FindPriority(sum, part.Priority);
  if (entry == sum.end() || entry->Priority != part.Priority) {
    return;
  }
  entry->OpenAttempts -= std::min(entry->OpenAttempts, part.OpenAttempts);
  entry->Waiting -= std::min(entry->Waiting, part.Waiting);
  entry->PendingPromptTokens -=
    std::min(entry->PendingPromptTokens, part.PendingPromptTokens);
  entry->MemoryTokens -= std::min(entry->MemoryTokens, part.MemoryTokens);
  if (entry->OpenAttempts == 0) {
    sum.erase(entry);
  }
}

void gsKeepLargest(gsOrganisationDemandMap& organisations)
{
  if (organisations.size() <= gsMaxReportedOrganisations) {
    return;
  }
  std::vector<std::pair<std::uint32_t, std::uint32_t>> bySize;
  bySize.reserve(organisations.size());
  for (auto const& [organisation, millis] : organisations) {
    bySize.emplace_back(millis, organisation);
  }
  auto end = bySize.begin() + gsMaxReportedOrganisations;
  std::nth_element(bySize.begin(), end, bySize.end(), std::greater<>());
  for (auto removed = end; removed != bySize.end(); ++removed) {
    organisations.erase(removed->second);
  }
}

bool gsSupersedes(gsEngineArrangement const& a, gsEngineArrangement const& b)
{
  return std::tie(a.Version, a.LongEngines, a.SlowEngines) >
         std::tie(b.Version, b.LongEngines, b.SlowEngines);
}

char const* gsLoadScopeName(gsLoadScope scope)
{
  switch (scope) {
    case gsLoadScope::Host:
      return "host";
    case gsLoadScope::Hall:
      return "hall";
    case gsLoadScope::Others:
      break;
  }
  return "others";
}

gsTime gsLoadSendInterval(gsLoadSettings const& settings, std::size_t hallSize)
{
  return settings.SendIntervalPerHost * static_cast<std::int64_t>(hallSize);
}

void gsApplyLoadReport(gsLoadExchange& exchange, std::string_view host,
                       std::string_view hall, gsLoadReport report, gsTime now)
{
  gsReceivedLoad& received = exchange.Received[std::string(host)];
  received.Hall = hall;
  received.OldestHostReportAt = now - report.Age;
  received.Report = std::move(report);
  received.ReceivedAt = now;
}

std::vector<gsLoadMessage> gsLoadTick(gsLoadExchange& exchange,
                                      gsLoadPeers const& peers,
                                      gsSystemLoad const& own, gsTime now)
{
  std::vector<gsLoadMessage> messages;
  DiscardExpired(exchange, now);
  gsTime interval = exchange.Settings.SendIntervalPerHost *
                    static_cast<std::int64_t>(peers.HallSize);
  if (peers.Relay != exchange.Self) {
    if (!peers.Relay.empty() &&
        MaySend(exchange, peers.Relay, interval, now)) {
      AddReport(exchange, peers.Relay, gsLoadScope::Host, own, {}, now,
                messages);
    }
    return messages;
  }
  gsSystemLoad others = OtherHallsLoad(exchange, now);
  gsTime othersOldestAt =
    OldestHostReportAt(OtherHallReports(exchange, now), now);
  for (std::string const& host : peers.HallHosts) {
    if (MaySend(exchange, host, interval, now)) {
      gsSystemLoad all = HallLoad(exchange, own, host, now);
      Add(all, others);
      gsTime oldestAt =
        std::min(othersOldestAt,
                 OldestHostReportAt(HallReports(exchange, host, now), now));
      AddReport(exchange, host, gsLoadScope::Others, std::move(all),
                now - oldestAt, now, messages);
    }
  }
  gsSystemLoad hall = HallLoad(exchange, own, {}, now);
  gsTime hallAge =
    now - OldestHostReportAt(HallReports(exchange, {}, now), now);
  for (std::string const& host : peers.OtherRelays) {
    if (MaySend(exchange, host, interval, now)) {
      AddReport(exchange, host, gsLoadScope::Hall, hall, hallAge, now,
                messages);
    }
  }
  return messages;
}

gsSystemLoad gsLoadOfOthers(gsLoadExchange const& exchange, gsTime now)
{
  if (gsReceivedLoad const* fromRelay = ReportFromRelay(exchange, now)) {
    gsSystemLoad sum = fromRelay->Report.Load;
    auto elapsed =
      std::chrono::duration_cast<gsMilliseconds>(now - fromRelay->ReceivedAt);
    for (auto& [upstream, load] : sum.Upstreams) {
      load.SpeedAgeMillis += static_cast<std::uint32_t>(elapsed.count());
      load.SpeedSampleAgeMillis += static_cast<std::uint32_t>(elapsed.count());
    }
    return sum;
  }
  gsSystemLoad sum = HallLoad(exchange, {}, exchange.Self, now);
  Add(sum, OtherHallsLoad(exchange, now));
  return sum;
}

std::optional<gsTime> gsOldestHostReportAt(gsLoadExchange const& exchange,
                                           gsTime now)
{
  if (gsReceivedLoad const* fromRelay = ReportFromRelay(exchange, now)) {
    return fromRelay->OldestHostReportAt;
  }
  Reports reports = HallReports(exchange, exchange.Self, now);
  Reports others = OtherHallReports(exchange, now);
  reports.insert(reports.end(), others.begin(), others.end());
  if (reports.empty()) {
    return std::nullopt;
  }
  return OldestHostReportAt(reports, now);
}
