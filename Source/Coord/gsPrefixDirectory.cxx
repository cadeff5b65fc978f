/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsPrefixDirectory.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <utility>

#include "gsRendezvous.h"

namespace {

constexpr double MicrosPerSecond = 1e6;
constexpr gsTime ExpiryInterval = gsSeconds(1);
/** Demands below this are not kept after decay; milliseconds. */
constexpr double MinOwnMillis = 0.01;
/** Subjects with demand and without a holding, per allowed holding. */
constexpr std::size_t MaxSubjectsPerHolding = 2;
/** Share of the holdings that are removed at once when there are too many, so
 * that the least recently used need not be searched for each new one. */
constexpr std::size_t EvictionDivisor = 16;
/** Changes that wait to be sent, in messages. More are lost until the holding
 * is reported again. */
constexpr std::size_t MaxPendingMessages = 20;
/** Messages per receiver and tick. With one, the queue of a relay would last
 * for seconds after a burst on engines with empty caches. */
constexpr std::size_t MaxMessagesPerTick = 4;

gsPrefixHolding* Find(gsPrefixSubject& subject, std::uint32_t engine)
{
  for (gsPrefixHolding& holding : subject.Holdings) {
    if (holding.Engine == engine) {
      return &holding;
    }
  }
  return nullptr;
}

gsPrefixHolding* Find(gsPrefixDirectory& directory, gsPrefixKey const& key,
                      std::uint32_t engine)
{
  auto subject = directory.Subjects.find(key);
  return subject == directory.Subjects.end() ? nullptr
                                             : Find(subject->second, engine);
}

/** Queues a change to be sent. */
void Queue(gsPrefixDirectory& directory, gsPendingPrefixChange change)
{
  std::size_t limit =
    MaxPendingMessages * directory.Settings.MaxChangesPerMessage;
  if (directory.Pending.size() < limit) {
    directory.Pending.push_back(std::move(change));
  }
}

/** Whether a newer change replaces an older one of the same holding. A report
 * that the engine holds the parts does not contain that it begins to serve
 * them, so it does not replace the report of that. */
bool Replaces(gsPrefixChange const& newer, gsPrefixChange const& older)
{
  return newer.IsDropped || older.IsDropped ||
         newer.IsReading == older.IsReading;
}

/** Keeps only the newest of the pending changes of each holding. */
void MergePending(gsPrefixDirectory& directory)
{
  using Holding = std::pair<gsPrefixKey, std::uint32_t>;
  std::vector<gsPendingPrefixChange> kept; // The newest first.
  kept.reserve(directory.Pending.size());
  std::map<Holding, std::vector<std::size_t>> keptOf; // Indices into kept.
  for (auto pending = directory.Pending.rbegin();
       pending != directory.Pending.rend(); ++pending) {
    gsPrefixChange const& change = pending->Change;
    std::vector<std::size_t>& newer = keptOf[{ change.Key, change.Engine }];
    auto replacing =
      std::find_if(newer.begin(), newer.end(), [&](std::size_t index) {
        return Replaces(kept[index].Change, change);
      });
    if (replacing == newer.end()) {
      newer.push_back(kept.size());
      kept.push_back(std::move(*pending));
    } else {
      // Other halls do not know the change that is replaced.
      kept[*replacing].IsOfHall =
        kept[*replacing].IsOfHall || pending->IsOfHall;
    }
  }
  std::reverse(kept.begin(), kept.end());
  directory.Pending = std::move(kept);
}

/** Queues a report of an own holding. */
void Report(gsPrefixDirectory& directory, gsPrefixKey const& key,
            gsPrefixHolding& holding, bool isReading, gsTime now)
{
  holding.ReportedAt = now;
  Queue(directory, { { key, holding.Engine, holding.Tokens, isReading, false,
                       holding.UsedAt },
                     {},
                     true });
}

/** Queues a report that an engine no longer holds a subject. */
void ReportDropped(gsPrefixDirectory& directory, gsPrefixKey const& key,
                   std::uint32_t engine, gsTime now)
{
  Queue(directory, { { key, engine, 0, false, true, now }, {}, true });
}

/** Whether more than one engine of a subject was needed recently. */
bool IsNeeded(gsPrefixDirectorySettings const& settings,
              gsPrefixSubject const& subject, gsTime now)
{
  return subject.NeededAt.count() != 0 &&
         now - subject.NeededAt < settings.RefreshInterval;
}

/** Whether a holding that is in use is due to be reported again. */
bool IsRefreshDue(gsPrefixDirectorySettings const& settings,
                  gsPrefixHolding const& holding, bool isNeeded, gsTime now)
{
  bool isNew = now - holding.AddedAt < settings.NewHoldingTime;
  return now - holding.ReportedAt >= (isNew || isNeeded
                                        ? settings.RefreshInterval
                                        : settings.LateRefreshInterval);
}

/** Removes the holdings that match a predicate, and subjects of which nothing
 * is left. */
template<typename Predicate>
void RemoveHoldings(gsPrefixDirectory& directory, Predicate const& predicate)
{
  for (auto subject = directory.Subjects.begin();
       subject != directory.Subjects.end();) {
    auto& holdings = subject->second.Holdings;
    auto kept = std::remove_if(holdings.begin(), holdings.end(), predicate);
    directory.HoldingCount -= static_cast<std::size_t>(holdings.end() - kept);
    holdings.erase(kept, holdings.end());
    bool isEmpty =
      holdings.empty() && subject->second.OwnMillis < MinOwnMillis;
    subject = isEmpty ? directory.Subjects.erase(subject) : std::next(subject);
  }
}

/** Removes the least recently used holdings if there is no room for one more.
 */
void MakeRoom(gsPrefixDirectory& directory)
{
  std::size_t maximum = directory.Settings.MaxHoldings;
  if (directory.HoldingCount < maximum) {
    return;
  }
  std::vector<gsTime> uses;
  uses.reserve(directory.HoldingCount);
  for (auto const& [key, subject] : directory.Subjects) {
    for (gsPrefixHolding const& holding : subject.Holdings) {
      uses.push_back(holding.UsedAt);
    }
  }
  auto oldest = uses.begin() + static_cast<std::ptrdiff_t>(std::min(
                                 uses.size() - 1, maximum / EvictionDivisor));
  std::nth_element(uses.begin(), oldest, uses.end());
  gsTime limit = *oldest;
  RemoveHoldings(directory, [limit](gsPrefixHolding const& holding) {
    return holding.UsedAt <= limit;
  });
}

/** Removes the holding of a subject that is the least useful, if there is no
 * room for one more: one that does not serve, or the least recently used. */
void MakeRoomInSubject(gsPrefixDirectory& directory, gsPrefixSubject& subject)
{
  auto& holdings = subject.Holdings;
  if (holdings.size() < directory.Settings.MaxEnginesPerSubject) {
    return;
  }
  auto last = std::min_element(
    holdings.begin(), holdings.end(),
    [](gsPrefixHolding const& a, gsPrefixHolding const& b) {
      return a.IsServing != b.IsServing ? b.IsServing : a.UsedAt < b.UsedAt;
    });
  holdings.erase(last);
  --directory.HoldingCount;
}

std::size_t ServingCount(gsPrefixDirectory const& directory,
                         gsPrefixSubject const& subject,
                         std::uint32_t excluded, gsTime now)
{
  return static_cast<std::size_t>(
    std::count_if(subject.Holdings.begin(), subject.Holdings.end(),
                  [&](gsPrefixHolding const& holding) {
                    return holding.IsServing && holding.Engine != excluded &&
                           gsIsValidHolding(directory, holding, now);
                  }));
}

/** Rank of an engine among those that hosts have added to a subject at the
 * same time; equal on all hosts. */
std::uint64_t AdditionRank(gsPrefixKey const& key, std::uint32_t engine)
{
  return gsRendezvousWeight(std::to_string(engine), key.Subject);
}

/**
 * Lets a holding begin to serve the subject. If two hosts have added different
 * engines at the same time, only one of them continues to serve: the same one
 * on all hosts, whichever addition they have received first.
 */
void BeginServing(gsPrefixDirectory& directory, gsPrefixKey const& key,
                  gsPrefixSubject& subject, gsPrefixHolding& added, gsTime now)
{
  added.IsServing = true;
  added.AddedAt = now;
  if (ServingCount(directory, subject, added.Engine, now) == 0) {
    return;
  }
  bool isConcurrent = subject.GrownAt.count() != 0 &&
                      now - subject.GrownAt < directory.Settings.GrowInterval;
  if (!isConcurrent) {
    subject.GrownAt = now;
    subject.ExcessSince = gsTime{};
    return;
  }
  for (gsPrefixHolding& other : subject.Holdings) {
    bool isRival =
      &other != &added && other.IsServing && other.AddedAt >= subject.GrownAt;
    if (!isRival) {
      continue;
    }
    bool isAddedFirst =
      AdditionRank(key, added.Engine) > AdditionRank(key, other.Engine);
    (isAddedFirst ? other : added).IsServing = false;
    return;
  }
}

/** Adds a holding to a subject. */
gsPrefixHolding& Add(gsPrefixDirectory& directory, gsPrefixKey const& key,
                     std::uint32_t engine, bool isReading, gsTime now)
{
  MakeRoom(directory);
  gsPrefixSubject& subject = directory.Subjects[key];
  MakeRoomInSubject(directory, subject);
  gsPrefixHolding holding;
  holding.Engine = engine;
  holding.IsReading = isReading;
  holding.UsedAt = now;
  subject.Holdings.push_back(holding);
  ++directory.HoldingCount;
  gsPrefixHolding& added = subject.Holdings.back();
  BeginServing(directory, key, subject, added, now);
  return added;
}

/** Engine time of this host's recent requests of a subject, decayed until now;
 * milliseconds. */
double OwnMillis(gsPrefixDirectorySettings const& settings,
                 gsPrefixSubject const& subject, gsTime now)
{
  double halfLives = gsToSeconds(now - subject.DecayedAt) /
                     gsToSeconds(settings.DemandHalfLife);
  return subject.OwnMillis * std::exp2(-std::max(0.0, halfLives));
}

void Decay(gsPrefixDirectorySettings const& settings, gsPrefixSubject& subject,
           gsTime now)
{
  subject.OwnMillis = OwnMillis(settings, subject, now);
  subject.DecayedAt = now;
}

/** Demand of this host's requests: the share of an engine that they need. */
double OwnDemand(gsPrefixDirectorySettings const& settings,
                 gsPrefixSubject const& subject, gsTime now)
{
  // The sum of a constant demand converges to its rate times this duration.
  double seconds = gsToSeconds(settings.DemandHalfLife) / std::log(2.0);
  return OwnMillis(settings, subject, now) / 1e3 / seconds;
}

/** Adds demands to a sum. */
void AddDemands(gsPrefixDemandMap& sum, gsPrefixDemandMap const& part)
{
  for (auto const& [key, micros] : part) {
    sum[key] += micros;
  }
}

/** Keeps the largest demands of a map, of those above a minimum in
 * microseconds. */
gsPrefixDemandMap Largest(gsPrefixDemandMap const& demands,
                          std::size_t maximum, std::uint32_t minimum)
{
  std::vector<std::pair<std::uint32_t, gsPrefixKey>> order;
  order.reserve(demands.size());
  for (auto const& [key, micros] : demands) {
    if (micros > minimum) {
      order.emplace_back(micros, key);
    }
  }
  std::size_t count = std::min(maximum, order.size());
  std::partial_sort(
    order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
    order.end(), [](auto const& a, auto const& b) {
      return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
  gsPrefixDemandMap largest;
  for (std::size_t i = 0; i < count; ++i) {
    largest.emplace(order[i].second, order[i].first);
  }
  return largest;
}

/** Demands of this host's own requests. */
gsPrefixDemandMap OwnDemands(gsPrefixDirectory const& directory, gsTime now)
{
  gsPrefixDemandMap demands;
  for (auto const& [key, subject] : directory.Subjects) {
    if (subject.OwnMillis <= 0) {
      continue;
    }
    auto micros = static_cast<std::uint32_t>(
      OwnDemand(directory.Settings, subject, now) * MicrosPerSecond);
    if (micros > 0) {
      demands.emplace(key, micros);
    }
  }
  return demands;
}

/** Sums the received demands, unless the host is not a relay: its relay then
 * reports the sum of all others. */
void SumOthersDemand(gsPrefixDirectory& directory)
{
  directory.OthersDemand.clear();
  gsReceivedPrefixDemand const* fromRelay = nullptr;
  gsTime lastOfHost{};
  for (auto const& [host, received] : directory.ReceivedDemands) {
    bool isNewer =
      fromRelay == nullptr || received.ReceivedAt > fromRelay->ReceivedAt;
    if (received.Scope == gsLoadScope::Others && isNewer) {
      fromRelay = &received;
    } else if (received.Scope != gsLoadScope::Others) {
      lastOfHost = std::max(lastOfHost, received.ReceivedAt);
      AddDemands(directory.OthersDemand, received.Demands);
    }
  }
  if (fromRelay != nullptr && fromRelay->ReceivedAt > lastOfHost) {
    directory.OthersDemand = fromRelay->Demands;
  }
}

/** Removes expired holdings and demands. */
void Expire(gsPrefixDirectory& directory, gsTime now)
{
  if (now - directory.ExpiredAt < ExpiryInterval) {
    return;
  }
  directory.ExpiredAt = now;
  for (auto& [key, subject] : directory.Subjects) {
    Decay(directory.Settings, subject, now);
  }
  RemoveHoldings(directory, [&](gsPrefixHolding const& holding) {
    return !gsIsValidHolding(directory, holding, now);
  });
  for (auto received = directory.ReceivedDemands.begin();
       received != directory.ReceivedDemands.end();) {
    bool isExpired =
      now - received->second.ReceivedAt > directory.Settings.DemandLifetime;
    received = isExpired ? directory.ReceivedDemands.erase(received)
                         : std::next(received);
  }
}

/** Applies one change of another host. */
void ApplyChange(gsPrefixDirectory& directory, gsPrefixChange const& change,
                 gsTime now)
{
  if (change.IsDropped) {
    gsPrefixHolding const* known = Find(directory, change.Key, change.Engine);
    // The engine is processing the parts for a request of this host, or has
    // been used since.
    bool isInUse = known != nullptr &&
                   (known->OwnReaders > 0 || change.UsedAt < known->UsedAt);
    if (!isInUse) {
      gsRemovePrefixHolding(directory, change.Key, change.Engine);
    }
    return;
  }
  gsPrefixHolding* known = Find(directory, change.Key, change.Engine);
  if (known != nullptr && !gsIsValidHolding(directory, *known, now)) {
    gsRemovePrefixHolding(directory, change.Key, change.Engine);
    known = nullptr;
  }
  if (known == nullptr) {
    known = &Add(directory, change.Key, change.Engine, change.IsReading, now);
    known->UsedAt = change.UsedAt;
  } else {
    gsPrefixSubject& subject = directory.Subjects[change.Key];
    bool isNeeded = change.IsReading && !known->IsReading;
    subject.NeededAt = isNeeded ? now : subject.NeededAt;
    known->IsReading = known->IsReading && change.IsReading;
    if (change.IsReading && !known->IsServing) {
      BeginServing(directory, change.Key, subject, *known, now);
    }
  }
  known->Tokens = change.Tokens;
  known->UsedAt = std::max(known->UsedAt, change.UsedAt);
  known->OthersUsedAt = std::max(known->OthersUsedAt, change.UsedAt);
  known->ReportedAt = now;
}

/** The pending changes that a receiver gets. */
template<typename Predicate>
std::vector<gsPrefixChange> ChangesFor(gsPrefixDirectory const& directory,
                                       std::size_t count,
                                       Predicate const& predicate)
{
  std::vector<gsPrefixChange> changes;
  for (std::size_t i = 0; i < count; ++i) {
    if (predicate(directory.Pending[i])) {
      changes.push_back(directory.Pending[i].Change);
    }
  }
  return changes;
}

/** Adds a message unless it would be empty. */
void AddMessage(std::vector<gsPrefixMessage>& messages, std::string const& to,
                gsPrefixUpdate update)
{
  if (!update.Changes.empty() || !update.Demands.empty()) {
    messages.push_back({ to, std::move(update) });
  }
}

/** Demands of all hosts but one, by their sum. */
gsPrefixDemandMap Without(gsPrefixDirectory const& directory,
                          gsPrefixDemandMap const& sum,
                          std::string const& host)
{
  auto received = directory.ReceivedDemands.find(host);
  if (received == directory.ReceivedDemands.end()) {
    return sum;
  }
  gsPrefixDemandMap rest;
  for (auto const& [key, micros] : sum) {
    auto own = received->second.Demands.find(key);
    std::uint32_t of = own == received->second.Demands.end() ? 0 : own->second;
    rest.emplace(key, micros - std::min(micros, of));
  }
  return rest;
}

/** Messages of a relay to its hall and to the other relays. */
void AddRelayMessages(gsPrefixDirectory const& directory,
                      gsLoadPeers const& peers, std::size_t count,
                      bool withDemand, gsTime now,
                      std::vector<gsPrefixMessage>& messages)
{
  std::size_t maximum = directory.Settings.MaxReportedDemands;
  gsPrefixDemandMap all;
  gsPrefixDemandMap hall;
  if (withDemand) {
    hall = OwnDemands(directory, now);
    all = hall;
    for (auto const& [host, received] : directory.ReceivedDemands) {
      if (received.Scope == gsLoadScope::Host) {
        AddDemands(hall, received.Demands);
      }
    }
    AddDemands(all, directory.OthersDemand);
    auto minimum = static_cast<std::uint32_t>(
      directory.Settings.MinRelayedDemand * MicrosPerSecond);
    hall = Largest(hall, maximum, minimum);
    all = Largest(all, maximum, minimum);
  }
  for (std::string const& host : peers.HallHosts) {
    AddMessage(messages, host,
               { gsLoadScope::Others,
                 ChangesFor(directory, count,
                            [&host](gsPendingPrefixChange const& pending) {
                              return pending.From != host;
                            }),
                 Without(directory, all, host) });
  }
  for (std::string const& relay : peers.OtherRelays) {
    AddMessage(messages, relay,
               { gsLoadScope::Hall,
                 ChangesFor(directory, count,
                            [](gsPendingPrefixChange const& pending) {
                              return pending.IsOfHall;
                            }),
                 hall });
  }
}

/** Messages with the next pending changes, which are removed. */
void AddMessages(gsPrefixDirectory& directory, gsLoadPeers const& peers,
                 bool withDemand, gsTime now,
                 std::vector<gsPrefixMessage>& messages)
{
  std::size_t count = std::min(directory.Pending.size(),
                               directory.Settings.MaxChangesPerMessage);
  if (peers.Relay == directory.Self) {
    AddRelayMessages(directory, peers, count, withDemand, now, messages);
  } else if (!peers.Relay.empty()) {
    // Received before this host ceased to be the relay: not its own changes.
    auto isOwn = [](gsPendingPrefixChange const& pending) {
      return pending.From.empty();
    };
    gsPrefixUpdate update{ gsLoadScope::Host,
                           ChangesFor(directory, count, isOwn),
                           {} };
    if (withDemand) {
      update.Demands = Largest(OwnDemands(directory, now),
                               directory.Settings.MaxReportedDemands, 0);
    }
    AddMessage(messages, peers.Relay, std::move(update));
  }
  directory.Pending.erase(directory.Pending.begin(),
                          directory.Pending.begin() +
                            static_cast<std::ptrdiff_t>(count));
}

} // namespace

gsPrefixSubject const* gsFindPrefixSubject(gsPrefixDirectory const& directory,
                                           gsPrefixKey const& key)
{
  auto subject = directory.Subjects.find(key);
  return subject == directory.Subjects.end() ? nullptr : &subject->second;
}

bool gsIsValidHolding(gsPrefixDirectory const& directory,
                      gsPrefixHolding const& holding, gsTime now)
{
  gsTime age = now - holding.UsedAt;
  return age <= (holding.IsReading ? directory.Settings.MaxReadingTime
                                   : directory.Settings.HoldingLifetime);
}

gsPrefixHolding const* gsFindPrefixHolding(gsPrefixDirectory const& directory,
                                           gsPrefixKey const& key,
                                           std::uint32_t engine, gsTime now)
{
  gsPrefixSubject const* subject = gsFindPrefixSubject(directory, key);
  if (subject == nullptr) {
    return nullptr;
  }
  for (gsPrefixHolding const& holding : subject->Holdings) {
    if (holding.Engine == engine &&
        gsIsValidHolding(directory, holding, now)) {
      return &holding;
    }
  }
  return nullptr;
}

bool gsMayAddPrefixEngine(gsPrefixDirectory const& directory,
                          gsPrefixKey const& key, gsTime now)
{
  gsPrefixSubject const* subject = gsFindPrefixSubject(directory, key);
  if (subject == nullptr) {
    return true;
  }
  bool isRecent = subject->GrownAt.count() != 0 &&
                  now - subject->GrownAt < directory.Settings.GrowInterval;
  return !isRecent && ServingCount(directory, *subject, 0, now) <
                        directory.Settings.MaxEnginesPerSubject;
}

bool gsRecordPrefixSent(gsPrefixDirectory& directory, gsPrefixKey const& key,
                        std::uint32_t engine, std::uint32_t tokens, gsTime now)
{
  gsPrefixHolding* holding = Find(directory, key, engine);
  if (holding != nullptr && !gsIsValidHolding(directory, *holding, now)) {
    gsRemovePrefixHolding(directory, key, engine);
    holding = nullptr;
  }
  bool isAddition = holding == nullptr || !holding->IsServing;
  if (holding == nullptr) {
    holding = &Add(directory, key, engine, true, now);
  } else if (!holding->IsServing) {
    BeginServing(directory, key, directory.Subjects[key], *holding, now);
  }
  holding->Tokens = tokens;
  holding->UsedAt = now;
  ++holding->OwnReaders;
  if (isAddition) {
    ++directory.Counts.Additions;
    Report(directory, key, *holding, true, now);
  } else {
    bool isNeeded = IsNeeded(directory.Settings, directory.Subjects[key], now);
    if (IsRefreshDue(directory.Settings, *holding, isNeeded, now)) {
      Report(directory, key, *holding, holding->IsReading || isNeeded, now);
    }
  }
  return isAddition;
}

void gsRecordPrefixHeld(gsPrefixDirectory& directory, gsPrefixKey const& key,
                        std::uint32_t engine, std::uint32_t tokens, gsTime now)
{
  gsPrefixHolding* holding = Find(directory, key, engine);
  bool isChange = holding == nullptr || holding->IsReading;
  if (holding == nullptr) {
    holding = &Add(directory, key, engine, false, now);
  }
  holding->IsReading = false;
  holding->Tokens = tokens;
  holding->UsedAt = now;
  holding->OwnReaders -= std::min(holding->OwnReaders, 1U);
  if (isChange || IsRefreshDue(directory.Settings, *holding, false, now)) {
    Report(directory, key, *holding, false, now);
  }
}

void gsRecordPrefixFailed(gsPrefixDirectory& directory, gsPrefixKey const& key,
                          std::uint32_t engine, gsTime now)
{
  gsPrefixHolding* holding = Find(directory, key, engine);
  if (holding == nullptr) {
    return;
  }
  holding->OwnReaders -= std::min(holding->OwnReaders, 1U);
  bool isUnused = holding->IsReading && holding->OwnReaders == 0 &&
                  holding->OthersUsedAt.count() == 0;
  if (isUnused) {
    gsRemovePrefixHolding(directory, key, engine);
    ReportDropped(directory, key, engine, now);
  }
}

void gsRecordPrefixDropped(gsPrefixDirectory& directory,
                           gsPrefixKey const& key, std::uint32_t engine,
                           gsTime now)
{
  ++directory.Counts.DroppedHoldings;
  gsPrefixSubject const* subject = gsFindPrefixSubject(directory, key);
  if (subject == nullptr ||
      ServingCount(directory, *subject, engine, now) == 0) {
    return;
  }
  gsRemovePrefixHolding(directory, key, engine);
  ReportDropped(directory, key, engine, now);
}

void gsRemovePrefixHolding(gsPrefixDirectory& directory,
                           gsPrefixKey const& key, std::uint32_t engine)
{
  auto subject = directory.Subjects.find(key);
  if (subject == directory.Subjects.end()) {
    return;
  }
  auto& holdings = subject->second.Holdings;
  auto found = std::find_if(holdings.begin(), holdings.end(),
                            [engine](gsPrefixHolding const& holding) {
                              return holding.Engine == engine;
                            });
  if (found != holdings.end()) {
    holdings.erase(found);
    --directory.HoldingCount;
  }
}

void gsStopPrefixServing(gsPrefixDirectory& directory, gsPrefixKey const& key,
                         std::uint32_t engine)
{
  if (gsPrefixHolding* holding = Find(directory, key, engine)) {
    holding->IsServing = false;
  }
}

void gsRecordPrefixDemand(gsPrefixDirectory& directory, gsPrefixKey const& key,
                          double engineMillis, gsTime now)
{
  auto found = directory.Subjects.find(key);
  std::size_t limit = MaxSubjectsPerHolding * directory.Settings.MaxHoldings;
  if (found == directory.Subjects.end() &&
      (engineMillis <= 0 || directory.Subjects.size() >= limit)) {
    return;
  }
  gsPrefixSubject& subject = directory.Subjects[key];
  Decay(directory.Settings, subject, now);
  subject.OwnMillis += engineMillis;
}

double gsPrefixDemand(gsPrefixDirectory const& directory,
                      gsPrefixKey const& key, gsTime now)
{
  gsPrefixSubject const* subject = gsFindPrefixSubject(directory, key);
  double own =
    subject == nullptr ? 0 : OwnDemand(directory.Settings, *subject, now);
  auto others = directory.OthersDemand.find(key);
  return own + (others == directory.OthersDemand.end()
                  ? 0
                  : others->second / MicrosPerSecond);
}

void gsApplyPrefixUpdate(gsPrefixDirectory& directory, std::string const& from,
                         gsPrefixUpdate const& update, bool isRelay,
                         gsTime now)
{
  bool isForwarded = isRelay && update.Scope != gsLoadScope::Others;
  std::size_t count =
    std::min(update.Changes.size(), directory.Settings.MaxChangesPerMessage);
  for (std::size_t i = 0; i < count; ++i) {
    gsPrefixChange const& change = update.Changes[i];
    ApplyChange(directory, change, now);
    if (isForwarded) {
      Queue(directory, { change, from, update.Scope == gsLoadScope::Host });
    }
  }
  if (!update.Demands.empty()) {
    directory.ReceivedDemands[from] = { update.Scope, update.Demands, now };
  }
}

std::vector<gsPrefixMessage> gsPrefixTick(gsPrefixDirectory& directory,
                                          gsLoadPeers const& peers, gsTime now)
{
  Expire(directory, now);
  std::vector<gsPrefixMessage> messages;
  bool withDemand =
    now - directory.DemandSentAt >= directory.Settings.DemandInterval;
  if (withDemand) {
    directory.DemandSentAt = now;
    SumOthersDemand(directory);
  }
  MergePending(directory);
  for (std::size_t i = 0; i < MaxMessagesPerTick; ++i) {
    AddMessages(directory, peers, withDemand && i == 0, now, messages);
  }
  return messages;
}
