/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLoadSharing.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <vector>

#include "gsArrangement.h"
#include "gsEngineSpeed.h"
#include "gsLog.h"
#include "gsLoop.h"
#include "gsRendezvous.h"
#include "gsWireCodec.h"

namespace {

constexpr double MicrosPerMilli = 1000;
constexpr double NanosPerMilli = 1e6;
/**
 * Minimum interval between applying reports as they arrive. A relay receives a
 * hundred reports per second, and applying them sums up those of its whole
 * hall.
 */
constexpr gsTime MinApplyInterval = gsMilliseconds(100);

/** Hash by which hosts identify a service or a hall in reports. */
std::uint32_t NameHash(std::string const& name)
{
  return static_cast<std::uint32_t>(gsHashText(name));
}

/** Rounds a demand, so that small changes do not cause reports. */
std::uint32_t RoundTokens(double tokens)
{
  constexpr double step = 5000;
  return static_cast<std::uint32_t>(std::round(tokens / step) * step);
}

/** Rounds an interval and converts it to microseconds. */
std::uint32_t RoundIntervalMicros(double millis)
{
  constexpr double step = 0.5;
  return static_cast<std::uint32_t>(std::round(millis / step) * step *
                                    MicrosPerMilli);
}

std::uint32_t ToPermille(double speed)
{
  return static_cast<std::uint32_t>(std::lround(speed * 1000));
}

/** Rounds a speed, so that small changes do not cause reports, and converts it
 * to thousandths. */
std::uint32_t RoundPermille(double speed)
{
  constexpr double step = 0.05;
  return ToPermille(std::round(speed / step) * step);
}

std::uint32_t ToMillis(gsTime time)
{
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<gsMilliseconds>(time).count());
}

/** Nanoseconds, at most the maximum of the field (4.29 s). */
std::uint32_t ToNanos(double millis)
{
  constexpr double maximum = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
    std::clamp(millis * NanosPerMilli, 0.0, maximum));
}

gsReportedSpeed ReportedSpeed(gsUpstreamLoad const& load, gsTime now)
{
  gsReportedSpeed reported;
  reported.Speed = load.SpeedPermille / 1e3;
  reported.SpeedAt = now - gsMilliseconds(load.SpeedAgeMillis);
  reported.SampleMillis = load.SpeedSampleNanos / NanosPerMilli;
  reported.SampleKind = load.SpeedSampleKind;
  reported.SampleAt = now - gsMilliseconds(load.SpeedSampleAgeMillis);
  return reported;
}

/**
 * Interval between events to be reported, in microseconds; zero if another
 * host has reported one that is not longer.
 */
std::uint32_t IntervalToReport(gsFleetRow const& row)
{
  double millis = gsEventIntervalMillis(row);
  bool isLowest = row.OthersEventIntervalMillis <= 0 ||
                  millis < row.OthersEventIntervalMillis;
  return isLowest ? RoundIntervalMicros(millis) : 0;
}

/**
 * Whether the wait of a request at an upstream may depend on the order in
 * which it admits requests: one of this host waits there, or half of its slots
 * are in use. The load is reported by urgency only then.
 */
bool IsOrderRelevant(gsFleet const& fleet, gsFleetRow const& row, gsTime now)
{
  bool isAnyWaiting =
    std::any_of(row.OwnByUrgency.begin(), row.OwnByUrgency.end(),
                [](gsUrgencyLoad const& load) { return load.Waiting > 0; });
  return isAnyWaiting ||
         2 * gsTotalLoad(fleet, row, now).OpenAttempts >= row.Listed.Slots;
}

/** Logs a change of the speed in use with the measurements behind it. */
void LogSpeed(gsFleet const& fleet, gsFleetRow const& row,
              gsSpeedChange const& change, gsTime now)
{
  gsEngineSpeedState const& state = row.Speed;
  auto service = fleet.ServiceSpeeds.find(row.Listed.Service);
  bool isKnown = service != fleet.ServiceSpeeds.end();
  gsLogLine("engine_speed")
    .With("service", row.Listed.Service)
    .With("upstream", row.Listed.Id)
    .With("born", row.Listed.StartedAt)
    .With("state", gsSpeedStateName(row))
    .With("before", change.StateBefore)
    .With("permille", ToPermille(state.Decided))
    .With("permille_before", ToPermille(change.DecidedBefore))
    .With("measured", ToPermille(state.Measured))
    .With("age_ms", now - state.MeasuredAt)
    .With("own", ToPermille(state.Own))
    .With("reported", ToPermille(state.Reported))
    .With("samples", std::uint64_t(state.Samples.size()))
    .With("anchor", ToPermille(isKnown ? service->second.Anchor : 1))
    .With("applied", gsUsesEngineSpeed(fleet));
}

void LogArrangement(std::string const& service,
                    gsEngineArrangement const& arrangement, char const* cause)
{
  gsLogLine("arrangement")
    .With("service", service)
    .With("cause", cause)
    .With("version", arrangement.Version)
    .With("long_engines", arrangement.LongEngines)
    .With("slow_engines", std::uint64_t(arrangement.SlowEngines.size()));
}

} // namespace

gsLoadSharing::gsLoadSharing(gsFleet& fleet, gsSettings const& settings)
  : Fleet(fleet)
  , Settings(settings)
{
  this->Exchange.Self = settings.Host;
  this->Exchange.Hall = settings.Hall;
}

/** This host's part of the system's load. */
gsSystemLoad gsLoadSharing::OwnLoad(gsTime now)
{
  gsSystemLoad own;
  this->OwnOpenAttempts.clear();
  gsForEachReportable(this->Fleet, now, [&](gsFleetRow const& row) {
    for (gsUrgencyLoad const& urgency : row.OwnByUrgency) {
      this->OwnOpenAttempts[row.Listed.Service][urgency.Priority] +=
        urgency.OpenAttempts;
    }
    std::uint32_t intervalMicros = IntervalToReport(row);
    gsOutstandingLoad work = gsOwnLoad(row, now);
    std::uint32_t speedPermille = RoundPermille(gsSpeedToReport(row, now));
    auto sample = gsSampleToReport(row, now);
    if (work.OpenAttempts > 0 || intervalMicros > 0 || speedPermille > 0 ||
        sample) {
      gsUpstreamLoad& load = own.Upstreams[row.Hash];
      load = { work.OpenAttempts,
               static_cast<std::uint32_t>(work.PendingPromptTokens),
               static_cast<std::uint32_t>(work.MemoryTokens), intervalMicros };
      if (IsOrderRelevant(this->Fleet, row, now)) {
        load.ByUrgency = row.OwnByUrgency;
      }
      load.SpeedPermille = speedPermille;
      load.SpeedAgeMillis =
        speedPermille > 0 ? ToMillis(now - row.Speed.OwnAt) : 0;
      if (sample) {
        load.SpeedSampleNanos = ToNanos(sample->Millis);
        load.SpeedSampleKind = sample->Kind;
        load.SpeedSampleAgeMillis = ToMillis(now - sample->At);
      }
    }
  });
  for (auto const& [service, open] : this->OwnOpenAttempts) {
    own.Services[NameHash(service)].OpenAttempts = open;
  }
  for (auto const& [service, demand] : this->Fleet.Demand) {
    gsServiceDemand& entry = own.Services[NameHash(service)];
    entry.LongTokens = RoundTokens(demand.LongTokens);
    entry.TightTokens = RoundTokens(demand.TightTokens);
  }
  for (auto& [service, overload] : this->Fleet.Overload) {
    gsReportDemand(overload, own.Services[NameHash(service)], now);
  }
  for (auto const& [service, arrangement] : this->Fleet.Arrangements) {
    if (arrangement.Version > 0) {
      own.Arrangements[NameHash(service)] = arrangement;
    }
  }
  // A host that reaches no upstream at all cannot tell which halls are cut
  // off.
  bool isCut = gsPathIsCut(this->Fleet.Path, this->Fleet.Rows.size(), now);
  for (auto const& [hall, reach] : this->Fleet.HallReachability) {
    if (reach.IsUnreachable && !isCut) {
      own.UnreachableHalls.insert(NameHash(hall));
    }
  }
  return own;
}

/**
 * Hosts that may receive reports; the lists are filled in only if this host is
 * the relay of its hall.
 */
gsLoadPeers gsLoadSharing::Peers(gsTime now) const
{
  gsHallMembership const& table = this->Cluster->Members();
  gsLoadPeers peers;
  peers.Relay = gsHallRelay(table, now);
  peers.HallSize = gsHallSize(table, now);
  if (peers.Relay == this->Settings.Host) {
    peers.HallHosts = gsHallPeers(table, now);
    for (auto const& [hall, relay] : gsOtherRelays(table, now)) {
      peers.OtherRelays.push_back(relay);
    }
  }
  return peers;
}

void gsLoadSharing::SendReports()
{
  gsTime now = gsLoop::Now();
  gsRefreshHalls(this->Fleet, now);
  gsExpireEventIntervals(this->Fleet, now);
  this->RefreshSpeeds(now);
  for (gsLoadMessage const& message :
       gsLoadTick(this->Exchange, this->Peers(now), this->OwnLoad(now), now)) {
    if (gradescale::Frame* frame = this->Cluster->ToHost(message.To)) {
      gsToWire(message.Report, frame->add_load_reports());
    }
  }
  this->ApplyReceived(now);
  if (gsIsSystemLeader(this->Cluster->Members(), now)) {
    this->DecideArrangements(now);
  }
}

gsTime gsLoadSharing::MinReportInterval() const
{
  std::size_t hosts = gsHallSize(this->Cluster->Members(), gsLoop::Now());
  return gsLoadSendInterval(this->Exchange.Settings, hosts);
}

void gsLoadSharing::OnReceive(std::string const& host,
                              gradescale::Frame const& frame)
{
  std::string hall(gsHallOf(this->Cluster->Members(), host));
  if (hall.empty() || frame.load_reports().empty()) {
    return;
  }
  gsTime now = gsLoop::Now();
  for (gradescale::LoadReport const& wire : frame.load_reports()) {
    gsApplyLoadReport(this->Exchange, host, hall, gsFromWire(wire), now);
  }
  if (now - this->AppliedAt >= MinApplyInterval) {
    this->ApplyReceived(now);
  }
}

/** Applies the halls that other hosts of this hall report as unreachable. */
void gsLoadSharing::ApplyUnreachableHalls(
  std::set<std::uint32_t> const& unreachableHalls)
{
  std::set<std::string, std::less<>> unreachable;
  for (auto const& [hall, rows] : this->Fleet.RowsPerHall) {
    bool isOwn = hall == this->Settings.Hall;
    if (!isOwn && unreachableHalls.count(NameHash(hall)) != 0) {
      unreachable.insert(hall);
    }
  }
  gsHallSetReportedUnreachable(this->Fleet.HallReachability, unreachable);
}

/** Updates the speeds of engines and logs changes of those in use. */
void gsLoadSharing::RefreshSpeeds(gsTime now)
{
  if (now - this->SpeedsRefreshedAt < MinApplyInterval) {
    return;
  }
  this->SpeedsRefreshedAt = now;
  for (gsSpeedChange const& change : gsRefreshEngineSpeeds(this->Fleet, now)) {
    gsFleetRow const& row =
      this->Fleet.Rows[this->Fleet.ByHash.at(change.Upstream)];
    ++this->SpeedChangeCount;
    LogSpeed(this->Fleet, row, change, now);
  }
}

/**
 * Stores the load of other hosts in the rows that have any, and resets the
 * rows that have none any more.
 */
void gsLoadSharing::ApplyUpstreams(gsLoadMap const& others, gsTime reportedAt,
                                   gsTime now)
{
  for (std::uint32_t hash : this->RowsWithOthersLoad) {
    auto row = this->Fleet.ByHash.find(hash);
    if (row != this->Fleet.ByHash.end() && others.count(hash) == 0) {
      this->Fleet.Rows[row->second].OthersLoad = {};
      this->Fleet.Rows[row->second].OthersByUrgency.clear();
      this->Fleet.Rows[row->second].OthersEventIntervalMillis = 0;
    }
  }
  this->RowsWithOthersLoad.clear();
  for (auto const& [hash, load] : others) {
    auto found = this->Fleet.ByHash.find(hash);
    if (found == this->Fleet.ByHash.end()) {
      continue;
    }
    gsFleetRow& row = this->Fleet.Rows[found->second];
    row.OthersLoad = { load.Running, load.PendingPromptTokens,
                       load.MemoryTokens };
    row.OthersByUrgency = load.ByUrgency;
    row.OthersReportedAt = reportedAt;
    row.OthersEventIntervalMillis =
      load.MinEventIntervalMicros / MicrosPerMilli;
    gsApplyReportedSpeed(this->Fleet, row, ReportedSpeed(load, now), now);
    this->RowsWithOthersLoad.push_back(hash);
  }
}

/** Applies the received reports that are still valid. */
void gsLoadSharing::ApplyReceived(gsTime now)
{
  this->AppliedAt = now;
  gsSystemLoad others = gsLoadOfOthers(this->Exchange, now);
  std::optional<gsTime> oldestReportAt =
    gsOldestHostReportAt(this->Exchange, now);
  gsTime reportedAt = oldestReportAt.value_or(gsTime{});
  this->ApplyUnreachableHalls(others.UnreachableHalls);
  this->ApplyUpstreams(others.Upstreams, reportedAt, now);
  for (auto const& [service, rows] : this->Fleet.ByService) {
    gsSetOthersDemand(this->Fleet, service, others.Services[NameHash(service)],
                      now);
    gsOpenAttemptsMap open = others.Services[NameHash(service)].OpenAttempts;
    for (auto const& [priority, count] : this->OwnOpenAttempts[service]) {
      open[priority] += count;
    }
    gsSetOpenAttempts(this->Fleet, service, open, now);
    auto overload = this->Fleet.Overload.find(service);
    if (overload != this->Fleet.Overload.end()) {
      gsSetReportedDemand(overload->second, others.Services[NameHash(service)],
                          oldestReportAt);
    }
    auto decided = others.Arrangements.find(NameHash(service));
    if (decided != others.Arrangements.end() &&
        gsAdoptArrangement(this->Fleet, service, decided->second)) {
      LogArrangement(service, decided->second, "adopted");
    }
  }
}

/** Decides for all hosts how engines are divided, and logs changes. */
void gsLoadSharing::DecideArrangements(gsTime now)
{
  auto before = this->Fleet.Arrangements;
  gsDecideArrangements(this->Fleet, now);
  for (auto const& [service, arrangement] : this->Fleet.Arrangements) {
    if (!(arrangement == before[service])) {
      LogArrangement(service, arrangement, "decided");
    }
  }
}
