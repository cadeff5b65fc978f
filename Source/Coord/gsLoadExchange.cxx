/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsLoadExchange.h"

#include <algorithm>
#include <tuple>

namespace {

void Add(gsSystemLoad& sum, gsSystemLoad const& part)
{
  sum.CutOffHalls.insert(part.CutOffHalls.begin(), part.CutOffHalls.end());
  for (auto const& [service, arrangement] : part.Arrangements) {
    gsEngineArrangement& newest = sum.Arrangements[service];
    if (gsSupersedes(arrangement, newest)) {
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
  return now - heard.At <= exchange.Settings.Memory &&
         now - heard.Since <= exchange.Settings.MostAge;
}

using Words = std::vector<gsHeardLoad const*>;

/** Words of this hall's other hosts, one of them left out. */
Words HallWords(gsLoadExchange const& exchange, std::string_view without,
                gsTime now)
{
  Words words;
  for (auto const& [host, heard] : exchange.Heard) {
    bool counts = heard.Report.Scope == gsLoadScope::Host &&
                  heard.Hall == exchange.Hall && host != without &&
                  Fresh(exchange, heard, now);
    if (counts) {
      words.push_back(&heard);
    }
  }
  return words;
}

/** The last word of each other hall's relay. */
Words OtherHallWords(gsLoadExchange const& exchange, gsTime now)
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
  Words words;
  words.reserve(newest.size());
  for (auto const& [hall, heard] : newest) {
    words.push_back(heard);
  }
  return words;
}

/** When the oldest of some words was said; now if there are none. */
gsTime Oldest(Words const& words, gsTime now)
{
  gsTime oldest = now;
  for (gsHeardLoad const* word : words) {
    oldest = std::min(oldest, word->Since);
  }
  return oldest;
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
  for (gsHeardLoad const* heard : HallWords(exchange, without, now)) {
    Add(sum, heard->Report.Load);
  }
  return sum;
}

/** Work of the other halls, by the last word of each hall's relay. */
gsSystemLoad OtherHalls(gsLoadExchange const& exchange, gsTime now)
{
  gsSystemLoad sum;
  for (gsHeardLoad const* heard : OtherHallWords(exchange, now)) {
    Add(sum, heard->Report.Load);
  }
  // What other halls cannot reach says nothing of this one.
  sum.CutOffHalls.clear();
  return sum;
}

/** What a relay has told this host, if it is no relay itself. */
gsHeardLoad const* ToldByRelay(gsLoadExchange const& exchange, gsTime now)
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
  return told != nullptr && told->At > relayed ? told : nullptr;
}

bool MayTell(gsLoadExchange& exchange, std::string const& host, gsTime gap,
             gsTime now)
{
  return now - exchange.Told[host].At >= gap;
}

/** Adds a report unless the host was told the same a short while ago. */
void Tell(gsLoadExchange& exchange, std::string const& host, gsLoadScope scope,
          gsSystemLoad load, gsTime age, gsTime now,
          std::vector<gsLoadMessage>& out)
{
  gsToldLoad& told = exchange.Told[host];
  bool due = now - told.At >= exchange.Settings.Refresh;
  if (!due && told.Load == load) {
    return;
  }
  told.Load = load;
  told.At = now;
  out.push_back({ host, { scope, std::move(load), age } });
}

void Forget(gsLoadExchange& exchange, gsTime now)
{
  for (auto row = exchange.Heard.begin(); row != exchange.Heard.end();) {
    bool fresh = Fresh(exchange, row->second, now);
    row = fresh ? std::next(row) : exchange.Heard.erase(row);
  }
}

} // namespace

bool gsSupersedes(gsEngineArrangement const& a, gsEngineArrangement const& b)
{
  return std::tie(a.Version, a.LongEngines, a.Slow) >
         std::tie(b.Version, b.LongEngines, b.Slow);
}

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
  heard.Since = now - report.Age;
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
      Tell(exchange, peers.Relay, gsLoadScope::Host, own, {}, now, out);
    }
    return out;
  }
  gsSystemLoad others = OtherHalls(exchange, now);
  gsTime othersSince = Oldest(OtherHallWords(exchange, now), now);
  for (std::string const& host : peers.Hall) {
    if (MayTell(exchange, host, gap, now)) {
      gsSystemLoad all = HallWithout(exchange, own, host, now);
      Add(all, others);
      gsTime since =
        std::min(othersSince, Oldest(HallWords(exchange, host, now), now));
      Tell(exchange, host, gsLoadScope::Others, std::move(all), now - since,
           now, out);
    }
  }
  gsSystemLoad hall = HallWithout(exchange, own, {}, now);
  gsTime hallAge = now - Oldest(HallWords(exchange, {}, now), now);
  for (std::string const& host : peers.OtherRelays) {
    if (MayTell(exchange, host, gap, now)) {
      Tell(exchange, host, gsLoadScope::Hall, hall, hallAge, now, out);
    }
  }
  return out;
}

gsSystemLoad gsLoadOfOthers(gsLoadExchange const& exchange, gsTime now)
{
  if (gsHeardLoad const* told = ToldByRelay(exchange, now)) {
    return told->Report.Load;
  }
  gsSystemLoad sum = HallWithout(exchange, {}, exchange.Self, now);
  Add(sum, OtherHalls(exchange, now));
  return sum;
}

std::optional<gsTime> gsLoadSince(gsLoadExchange const& exchange, gsTime now)
{
  if (gsHeardLoad const* told = ToldByRelay(exchange, now)) {
    return told->Since;
  }
  Words words = HallWords(exchange, exchange.Self, now);
  Words others = OtherHallWords(exchange, now);
  words.insert(words.end(), others.begin(), others.end());
  if (words.empty()) {
    return std::nullopt;
  }
  return Oldest(words, now);
}
