/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLoadExchange.h"

#include <algorithm>

namespace {

void Add(gsSystemLoad& sum, gsSystemLoad const& part)
{
  sum.CutOffHalls.insert(part.CutOffHalls.begin(), part.CutOffHalls.end());
  for (auto const& [service, arrangement] : part.Arrangements) {
    gsEngineArrangement& newest = sum.Arrangements[service];
    if (arrangement.Version > newest.Version) {
      newest = arrangement;
    }
  }
  for (auto const& [service, demand] : part.Services) {
    gsServiceDemand& total = sum.Services[service];
    total.Long += demand.Long;
    total.Tight += demand.Tight;
  }
  for (auto const& [upstream, load] : part.Upstreams) {
    gsUpstreamLoad& total = sum.Upstreams[upstream];
    total.Running += load.Running;
    total.ReadTokens += load.ReadTokens;
    total.MemoryTokens += load.MemoryTokens;
    bool faster = load.PaceMicros != 0 && (total.PaceMicros == 0 ||
                                           load.PaceMicros < total.PaceMicros);
    total.PaceMicros = faster ? load.PaceMicros : total.PaceMicros;
  }
}

bool Fresh(gsLoadExchange const& exchange, gsHeardLoad const& heard,
           gsTime now)
{
  return now - heard.At <= exchange.Settings.Memory;
}

/** Work of this hall's hosts, one of them left out. */
gsSystemLoad HallWithout(gsLoadExchange const& exchange,
                         gsSystemLoad const& own, std::string_view without,
                         gsTime now)
{
  gsSystemLoad sum;
  if (without != exchange.Self) {
    sum = own;
  }
  for (auto const& [host, heard] : exchange.Heard) {
    bool counts = heard.Report.Scope == gsLoadScope::Host &&
                  heard.Hall == exchange.Hall && host != without &&
                  Fresh(exchange, heard, now);
    if (counts) {
      Add(sum, heard.Report.Load);
    }
  }
  return sum;
}

/** Work of the other halls, by the last word of each hall's relay. */
gsSystemLoad OtherHalls(gsLoadExchange const& exchange, gsTime now)
{
  std::map<std::string_view, gsHeardLoad const*> newest;
  for (auto const& [host, heard] : exchange.Heard) {
    bool counts = heard.Report.Scope == gsLoadScope::Hall &&
                  heard.Hall != exchange.Hall && Fresh(exchange, heard, now);
    if (!counts) {
      continue;
    }
    gsHeardLoad const*& best = newest[heard.Hall];
    if (best == nullptr || heard.At > best->At) {
      best = &heard;
    }
  }
  gsSystemLoad sum;
  for (auto const& [hall, heard] : newest) {
    Add(sum, heard->Report.Load);
  }
  // What other halls cannot reach says nothing of this one.
  sum.CutOffHalls.clear();
  return sum;
}

bool MayTell(gsLoadExchange& exchange, std::string const& host, gsTime gap,
             gsTime now)
{
  return now - exchange.Told[host].At >= gap;
}

/** Adds a report unless the host was told the same a short while ago. */
void Tell(gsLoadExchange& exchange, std::string const& host, gsLoadScope scope,
          gsSystemLoad load, gsTime now, std::vector<gsLoadMessage>& out)
{
  gsToldLoad& told = exchange.Told[host];
  bool due = now - told.At >= exchange.Settings.Refresh;
  if (!due && told.Load == load) {
    return;
  }
  told.Load = load;
  told.At = now;
  out.push_back({ host, { scope, std::move(load) } });
}

void Forget(gsLoadExchange& exchange, gsTime now)
{
  for (auto row = exchange.Heard.begin(); row != exchange.Heard.end();) {
    bool fresh = Fresh(exchange, row->second, now);
    row = fresh ? std::next(row) : exchange.Heard.erase(row);
  }
}

} // namespace

char const* gsLoadScopeWord(gsLoadScope scope)
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

gsTime gsLoadGap(gsLoadSettings const& settings, std::size_t hallSize)
{
  return settings.GapOfEach * static_cast<std::int64_t>(hallSize);
}

void gsLoadHear(gsLoadExchange& exchange, std::string_view host,
                std::string_view hall, gsLoadReport report, gsTime now)
{
  gsHeardLoad& heard = exchange.Heard[std::string(host)];
  heard.Hall = hall;
  heard.Report = std::move(report);
  heard.At = now;
}

std::vector<gsLoadMessage> gsLoadTick(gsLoadExchange& exchange,
                                      gsLoadPeers const& peers,
                                      gsSystemLoad const& own, gsTime now)
{
  std::vector<gsLoadMessage> out;
  Forget(exchange, now);
  gsTime gap =
    exchange.Settings.GapOfEach * static_cast<std::int64_t>(peers.HallSize);
  if (peers.Relay != exchange.Self) {
    if (!peers.Relay.empty() && MayTell(exchange, peers.Relay, gap, now)) {
      Tell(exchange, peers.Relay, gsLoadScope::Host, own, now, out);
    }
    return out;
  }
  gsSystemLoad others = OtherHalls(exchange, now);
  for (std::string const& host : peers.Hall) {
    if (MayTell(exchange, host, gap, now)) {
      gsSystemLoad all = HallWithout(exchange, own, host, now);
      Add(all, others);
      Tell(exchange, host, gsLoadScope::Others, std::move(all), now, out);
    }
  }
  gsSystemLoad hall = HallWithout(exchange, own, {}, now);
  for (std::string const& host : peers.OtherRelays) {
    if (MayTell(exchange, host, gap, now)) {
      Tell(exchange, host, gsLoadScope::Hall, hall, now, out);
    }
  }
  return out;
}

gsSystemLoad gsLoadOfOthers(gsLoadExchange const& exchange, gsTime now)
{
  gsHeardLoad const* told = nullptr;
  gsTime relayed{};
  for (auto const& [host, heard] : exchange.Heard) {
    bool newer = told == nullptr || heard.At > told->At;
    if (heard.Report.Scope == gsLoadScope::Others && newer &&
        Fresh(exchange, heard, now)) {
      told = &heard;
    }
    if (heard.Report.Scope == gsLoadScope::Host) {
      relayed = std::max(relayed, heard.At);
    }
  }
  // As a relay it has heard it all itself, and nobody tells it.
  if (told != nullptr && told->At > relayed) {
    return told->Report.Load;
  }
  gsSystemLoad sum = HallWithout(exchange, {}, exchange.Self, now);
  Add(sum, OtherHalls(exchange, now));
  return sum;
}
