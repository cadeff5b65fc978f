/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLoadSharing.h"

#include <cmath>
#include <vector>

#include "gsArrangement.h"
#include "gsLog.h"
#include "gsLoop.h"
#include "gsRendezvous.h"
#include "gsWireCodec.h"

namespace {

constexpr double MicrosPerMilli = 1000;
/** A relay hears a hundred reports a second and sums up all of its hall's each
 * time; it does so no more often than this. */
constexpr gsTime ApplyGap = gsMilliseconds(100);

/** Names a service or a hall between hosts. */
std::uint32_t NameHash(std::string const& name)
{
  return static_cast<std::uint32_t>(gsHashText(name));
}

/** Rounded, so that small changes are no news to other hosts. */
std::uint32_t CoarseTokens(double tokens)
{
  constexpr double step = 5000;
  return static_cast<std::uint32_t>(std::round(tokens / step) * step);
}

std::uint32_t CoarsePace(double millis)
{
  constexpr double step = 0.5;
  return static_cast<std::uint32_t>(std::round(millis / step) * step *
                                    MicrosPerMilli);
}

/** The pace that others need to hear of; zero if they know a lower one. */
std::uint32_t TellPace(gsFleetRow const& row)
{
  double pace = gsPaceOf(row);
  bool lowest = row.OthersPace <= 0 || pace < row.OthersPace;
  return lowest ? CoarsePace(pace) : 0;
}

void LogArrangement(std::string const& service,
                    gsEngineArrangement const& arrangement, char const* cause)
{
  gsLogLine("arrangement")
    .With("service", service)
    .With("cause", cause)
    .With("version", arrangement.Version)
    .With("long_engines", arrangement.LongEngines)
    .With("slow_engines", std::uint64_t(arrangement.Slow.size()));
}

} // namespace

gsLoadSharing::gsLoadSharing(gsFleet& fleet, gsSettings const& settings)
  : Fleet(fleet)
  , Settings(settings)
{
  this->Exchange.Self = settings.Host;
  this->Exchange.Hall = settings.Hall;
}

/** What this host adds to the system's load. */
gsSystemLoad gsLoadSharing::Own(gsTime now)
{
  gsSystemLoad own;
  gsForEachWorking(this->Fleet, now, [&own, now](gsFleetRow const& row) {
    std::uint32_t pace = TellPace(row);
    gsOpenWork work = gsOwnWork(row, now);
    if (work.Running > 0 || pace > 0) {
      own.Upstreams[row.Hash] = {
        work.Running, static_cast<std::uint32_t>(work.ReadTokens),
        static_cast<std::uint32_t>(work.MemoryTokens), pace
      };
    }
  });
  for (auto const& [service, demand] : this->Fleet.Demand) {
    own.Services[NameHash(service)] = { CoarseTokens(demand.Long),
                                        CoarseTokens(demand.Tight) };
  }
  for (auto const& [service, arrangement] : this->Fleet.Arrangements) {
    if (arrangement.Version > 0) {
      own.Arrangements[NameHash(service)] = arrangement;
    }
  }
  for (auto const& [hall, reach] : this->Fleet.Halls) {
    if (reach.Unreachable) {
      own.CutOffHalls.insert(NameHash(hall));
    }
  }
  return own;
}

/** Whom this host reports to: as the relay of its hall to many. */
gsLoadPeers gsLoadSharing::Peers(gsTime now) const
{
  gsHallMembership const& table = this->Cluster->Members();
  gsLoadPeers peers;
  peers.Relay = gsHallRelay(table, now);
  peers.HallSize = gsHallSize(table, now);
  if (peers.Relay == this->Settings.Host) {
    peers.Hall = gsHallPeers(table, now);
    for (auto const& [hall, relay] : gsOtherRelays(table, now)) {
      peers.OtherRelays.push_back(relay);
    }
  }
  return peers;
}

/** Reports the load, as far as it has changed. */
void gsLoadSharing::Tell()
{
  gsTime now = gsLoop::Now();
  gsRefreshHalls(this->Fleet, now);
  gsForgetPaces(this->Fleet, now);
  for (gsLoadMessage const& message :
       gsLoadTick(this->Exchange, this->Peers(now), this->Own(now), now)) {
    if (gradescale::Frame* frame = this->Cluster->ToHost(message.To)) {
      gsToWire(message.Report, frame->add_load_reports());
    }
  }
  this->Apply(now);
  if (gsHallDecides(this->Cluster->Members(), now)) {
    this->Decide(now);
  }
}

gsTime gsLoadSharing::Gap() const
{
  std::size_t hosts = gsHallSize(this->Cluster->Members(), gsLoop::Now());
  return gsLoadGap(this->Exchange.Settings, hosts);
}

void gsLoadSharing::Hear(std::string const& host,
                         gradescale::Frame const& frame)
{
  std::string hall(gsHallOf(this->Cluster->Members(), host));
  if (hall.empty() || frame.load_reports().empty()) {
    return;
  }
  gsTime now = gsLoop::Now();
  for (gradescale::LoadReport const& wire : frame.load_reports()) {
    gsLoadHear(this->Exchange, host, hall, gsFromWire(wire), now);
  }
  if (now - this->AppliedAt >= ApplyGap) {
    this->Apply(now);
  }
}

/** Takes in which halls other hosts of this hall cannot reach. */
void gsLoadSharing::ApplyHalls(std::set<std::uint32_t> const& cutOff)
{
  std::set<std::string, std::less<>> told;
  for (auto const& [hall, rows] : this->Fleet.HallRows) {
    bool isOwn = hall == this->Settings.Hall;
    if (!isOwn && cutOff.count(NameHash(hall)) != 0) {
      told.insert(hall);
    }
  }
  gsHallNoteTold(this->Fleet.Halls, told);
}

/** Notes others' work in the rows that have some, and takes it back from
 * those that have none any more. */
void gsLoadSharing::ApplyUpstreams(gsLoadMap const& others, gsTime since)
{
  for (std::uint32_t hash : this->Noted) {
    auto row = this->Fleet.ByHash.find(hash);
    if (row != this->Fleet.ByHash.end() && others.count(hash) == 0) {
      this->Fleet.Rows[row->second].Others = {};
      this->Fleet.Rows[row->second].OthersPace = 0;
    }
  }
  this->Noted.clear();
  for (auto const& [hash, load] : others) {
    auto found = this->Fleet.ByHash.find(hash);
    if (found == this->Fleet.ByHash.end()) {
      continue;
    }
    gsFleetRow& row = this->Fleet.Rows[found->second];
    row.Others = { load.Running, load.ReadTokens, load.MemoryTokens };
    row.OthersAt = since;
    row.OthersPace = load.PaceMicros / MicrosPerMilli;
    this->Noted.push_back(hash);
  }
}

void gsLoadSharing::Apply(gsTime now)
{
  this->AppliedAt = now;
  gsSystemLoad others = gsLoadOfOthers(this->Exchange, now);
  gsTime since = gsLoadSince(this->Exchange, now).value_or(gsTime{});
  this->ApplyHalls(others.CutOffHalls);
  this->ApplyUpstreams(others.Upstreams, since);
  for (auto const& [service, rows] : this->Fleet.ByService) {
    gsNoteOthersDemand(this->Fleet, service,
                       others.Services[NameHash(service)], now);
    auto decided = others.Arrangements.find(NameHash(service));
    if (decided != others.Arrangements.end() &&
        gsAdoptArrangement(this->Fleet, service, decided->second)) {
      LogArrangement(service, decided->second, "adopted");
    }
  }
}

/** Decides for all hosts, and logs what has changed. */
void gsLoadSharing::Decide(gsTime now)
{
  auto before = this->Fleet.Arrangements;
  gsDecideArrangements(this->Fleet, now);
  for (auto const& [service, arrangement] : this->Fleet.Arrangements) {
    if (!(arrangement == before[service])) {
      LogArrangement(service, arrangement, "decided");
    }
  }
}
