/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsArrangement.h"

#include <algorithm>
#include <cmath>

#include "gsCandidates.h"

namespace {

/** Times the pace of the fast above which an engine is slow, */
constexpr double SlowFactor = 1.18;
/** and below which one that was is slow no longer. */
constexpr double FastFactor = 1.1;
/** Share of the engines that may be faster than those called fast. */
constexpr double FastShare = 0.1;
/** By how much the groups' border must be off before it moves: engines, */
constexpr double BorderSlack = 1.2;
/** and as a share of all. */
constexpr double BorderSlackShare = 0.03;
/**
 * The same share where long prompts may go to all engines: there, to move the
 * border costs more than to keep it, as each subject that crosses it is read
 * again. A guess; not varied.
 */
constexpr double PressedSlackShare = 0.2;
constexpr double HoldSmoothing = 0.05;
/**
 * Of many engines, a division pays only where a long prompt is likely to meet
 * a stream: not where fewer than this share are busy. There it costs: a host
 * with a request in 2 s knows for most of a minute neither how fast engines
 * are nor so which kinds are long, and sends a subject to another home than
 * the others do (12 of 59 subjects in 24 s of 986 hosts).
 */
constexpr double BusyLeast = 0.02;

gsEngineKey KeyOf(gsFleetRow const& row)
{
  return { !row.Slow, row.Hash };
}

using Members = std::vector<std::size_t>;

/** Where the first row of an engine's place stands, or would stand. */
Members::const_iterator FirstAt(gsFleet const& fleet, Members const& members,
                                gsEngineKey key)
{
  return std::lower_bound(members.begin(), members.end(), key,
                          [&fleet](std::size_t index, gsEngineKey at) {
                            return KeyOf(fleet.Rows[index]) < at;
                          });
}

/** Key of the last of the first so many; absent when there are none. */
std::optional<gsEngineKey> BorderAfter(gsFleet const& fleet,
                                       Members const& members,
                                       std::uint32_t count)
{
  std::size_t first = std::min<std::size_t>(count, members.size());
  if (first == 0) {
    return std::nullopt;
  }
  return KeyOf(fleet.Rows[members[first - 1]]);
}

/** Notes the groups that engines are in, as the division is to change. */
void NoteGroupsBefore(gsFleet& fleet, gsEngineArrangement const& arrangement,
                      std::vector<std::size_t> const& members)
{
  for (std::size_t index : members) {
    gsFleetRow& row = fleet.Rows[index];
    row.GroupBefore = gsGroupUnder(fleet, arrangement, row);
  }
}

void Decay(gsDemand& demand, gsTime halfLife, gsTime now)
{
  double halves = gsToSeconds(now - demand.At) / gsToSeconds(halfLife);
  double keep = std::exp2(-std::max(0.0, halves));
  demand.Long *= keep;
  demand.Tight *= keep;
  demand.At = now;
}

/** How long a request keeps one of the service's engines busy, in tokens. */
double WorkOf(gsFleet const& fleet, gsPlacementAsk const& ask)
{
  auto rows = fleet.ByService.find(std::string(ask.Service));
  bool none = rows == fleet.ByService.end() || rows->second.empty();
  double slots =
    none ? 1 : std::max(1U, fleet.Rows[rows->second.front()].Listed.Slots);
  return ask.PromptTokens +
         fleet.Settings.StepTokens / slots * ask.AnswerTokens;
}

/** Pace of the fast among these engines; zero when none is known. */
double FastPace(gsFleet const& fleet, std::vector<std::size_t> const& members)
{
  std::vector<double> paces;
  paces.reserve(members.size());
  for (std::size_t index : members) {
    double pace = gsPaceOf(fleet.Rows[index]);
    if (pace > 0) {
      paces.push_back(pace);
    }
  }
  if (paces.empty()) {
    return 0;
  }
  auto faster =
    static_cast<std::ptrdiff_t>(FastShare * static_cast<double>(paces.size()));
  std::nth_element(paces.begin(), paces.begin() + faster, paces.end());
  return paces[static_cast<std::size_t>(faster)];
}

std::vector<std::uint32_t> DecideSlow(gsFleet const& fleet,
                                      std::vector<std::size_t> const& members,
                                      gsEngineArrangement const& before)
{
  double fast = FastPace(fleet, members);
  std::vector<std::uint32_t> slow;
  for (std::size_t index : members) {
    gsFleetRow const& row = fleet.Rows[index];
    bool wasSlow = gsIsSlowEngine(before, row);
    double pace = gsPaceOf(row);
    // A host that has just begun to decide keeps what it can not judge yet.
    double limit = (wasSlow ? FastFactor : SlowFactor) * fast;
    bool isSlow = pace > 0 ? pace > limit : wasSlow;
    if (isSlow) {
      slow.push_back(row.Hash);
    }
  }
  std::sort(slow.begin(), slow.end());
  return slow;
}

/** Engines for long prompts; moves only when demand clearly has. */
std::uint32_t DecideLongEngines(gsDemand const& demand, double count,
                                double slackShare, std::uint32_t before)
{
  double forLong = demand.Long + demand.OthersLong;
  double forTight = demand.Tight + demand.OthersTight;
  if (forLong < 1 || forTight < 1 || count < 2) {
    return 0;
  }
  double engines = count * forLong / (forLong + forTight);
  double slack = std::max(BorderSlack, slackShare * count);
  bool moved = std::abs(engines - before) > slack;
  if (!moved && before != 0 && before < count) {
    return before;
  }
  return static_cast<std::uint32_t>(
    std::clamp(std::round(engines), 1.0, count - 1));
}

/** Whether so few of many engines are busy that they need no division. */
bool NeedsNoDivision(double busy, std::size_t engines,
                     gsEngineArrangement const& known)
{
  // Once divided they stay so until half as many are busy.
  double least = known.LongEngines == 0 ? BusyLeast : BusyLeast / 2;
  return engines > gsWeighedWhole &&
         busy < least * static_cast<double>(engines);
}

/** Whether it is time to decide anew how a service's engines are divided. */
bool DecisionIsDue(gsFleetSettings const& settings, gsDemand const& demand,
                   gsEngineArrangement const& known, std::size_t engines,
                   gsTime now)
{
  bool demandIsKnown = now - demand.Since >= settings.DemandPatience;
  if (demandIsKnown && known.LongEngines == 0) {
    return true;
  }
  gsTime gap = settings.DecisionGap +
               settings.DecisionGapOfEach * static_cast<std::int64_t>(engines);
  return now - demand.DecidedAt >= gap;
}

} // namespace

char const* gsFleetGroupWord(gsFleetGroup group)
{
  switch (group) {
    case gsFleetGroup::Long:
      return "long";
    case gsFleetGroup::Tight:
      return "tight";
    case gsFleetGroup::Any:
      break;
  }
  return "any";
}

gsFleetGroup gsGroupUnder(gsFleet const& fleet,
                          gsEngineArrangement const& arrangement,
                          gsFleetRow const& row)
{
  auto members = fleet.ByService.find(row.Listed.Service);
  if (arrangement.LongEngines == 0 || members == fleet.ByService.end()) {
    return gsFleetGroup::Any;
  }
  bool isLong = gsIsBefore(
    row, BorderAfter(fleet, members->second, arrangement.LongEngines));
  return isLong ? gsFleetGroup::Long : gsFleetGroup::Tight;
}

bool gsIsSlowEngine(gsEngineArrangement const& arrangement,
                    gsFleetRow const& row)
{
  return std::binary_search(arrangement.Slow.begin(), arrangement.Slow.end(),
                            row.Hash);
}

void gsRankEngines(gsFleet& fleet, std::string const& service,
                   std::vector<std::size_t>& members)
{
  gsEngineArrangement const& arrangement = fleet.Arrangements[service];
  for (std::size_t index : members) {
    gsFleetRow& row = fleet.Rows[index];
    row.Slow = gsIsSlowEngine(arrangement, row);
  }
  std::sort(members.begin(), members.end(),
            [&fleet](std::size_t a, std::size_t b) {
              return KeyOf(fleet.Rows[a]) < KeyOf(fleet.Rows[b]);
            });
}

void gsRankIn(gsFleet const& fleet, std::vector<std::size_t>& members,
              std::size_t index)
{
  members.insert(FirstAt(fleet, members, KeyOf(fleet.Rows[index])), index);
}

void gsRankOut(gsFleet const& fleet, std::vector<std::size_t>& members,
               std::size_t index)
{
  auto found = FirstAt(fleet, members, KeyOf(fleet.Rows[index]));
  found = std::find(found, members.cend(), index);
  if (found != members.cend()) {
    members.erase(found);
  }
}

std::uint32_t gsRankOf(gsFleet const& fleet, gsFleetRow const& row)
{
  auto members = fleet.ByService.find(row.Listed.Service);
  if (members == fleet.ByService.end()) {
    return 0;
  }
  auto first = FirstAt(fleet, members->second, KeyOf(row));
  return static_cast<std::uint32_t>(first - members->second.begin());
}

void gsNoteDemand(gsFleet& fleet, gsPlacementAsk const& ask, gsTime now)
{
  if (ask.PromptTokens == 0) {
    return;
  }
  gsDemand& demand = fleet.Demand[std::string(ask.Service)];
  Decay(demand, fleet.Settings.DemandHalfLife, now);
  if (demand.Since.count() == 0) {
    demand.Since = now;
  }
  bool isLong = ask.Group == gsFleetGroup::Long;
  (isLong ? demand.Long : demand.Tight) += WorkOf(fleet, ask);
}

void gsNoteOthersDemand(gsFleet& fleet, std::string const& service,
                        gsServiceDemand const& others, gsTime now)
{
  bool none = others.Long == 0 && others.Tight == 0;
  if (none && fleet.Demand.count(service) == 0) {
    return;
  }
  gsDemand& demand = fleet.Demand[service];
  demand.OthersLong = others.Long;
  demand.OthersTight = others.Tight;
  if (!none && demand.Since.count() == 0) {
    demand.Since = now;
  }
}

double gsEnginesBusy(gsFleet const& fleet, std::string const& service,
                     double millisPerToken, gsTime now)
{
  auto found = fleet.Demand.find(service);
  if (found == fleet.Demand.end()) {
    return 0;
  }
  gsDemand const& demand = found->second;
  double halfLife = gsToSeconds(fleet.Settings.DemandHalfLife);
  double halves = gsToSeconds(now - demand.At) / halfLife;
  double own =
    (demand.Long + demand.Tight) * std::exp2(-std::max(0.0, halves));
  double tokens = own + demand.OthersLong + demand.OthersTight;
  // A sum that halves in that time is so many seconds of its rate.
  double perSecond = tokens * std::log(2.0) / halfLife;
  return perSecond * millisPerToken / 1e3;
}

void gsNoteHold(gsFleet& fleet, gsFleetRow const& row, gsTime held)
{
  std::string const& service = row.Listed.Service;
  bool isLong = gsIsLongEngine(fleet, row);
  gsDemand& demand = fleet.Demand[service];
  double& hold = isLong ? demand.HoldLong : demand.HoldTight;
  double millis = gsToSeconds(held) * 1e3;
  hold += (hold == 0 ? 1 : HoldSmoothing) * (millis - hold);
}

void gsDecideArrangements(gsFleet& fleet, gsTime now)
{
  gsFleetSettings const& settings = fleet.Settings;
  for (auto& [service, demand] : fleet.Demand) {
    auto rows = fleet.ByService.find(service);
    if (rows == fleet.ByService.end()) {
      continue;
    }
    Decay(demand, settings.DemandHalfLife, now);
    std::size_t engines = rows->second.size();
    gsEngineArrangement& known = fleet.Arrangements[service];
    if (!DecisionIsDue(settings, demand, known, engines, now)) {
      continue;
    }
    demand.DecidedAt = now;
    gsEngineArrangement next = known;
    gsTime slowGap =
      settings.SlowGapOfEach * static_cast<std::int64_t>(engines);
    if (now - demand.SlowAt >= slowGap) {
      demand.SlowAt = now;
      next.Slow = DecideSlow(fleet, rows->second, known);
    }
    if (now - demand.Since >= settings.DemandPatience) {
      gsEnginePace const& pace = fleet.Paces[service];
      double busy = gsEnginesBusy(fleet, service, pace.TokenMillis, now);
      double slack = gsIsPressed(pace) ? PressedSlackShare : BorderSlackShare;
      next.LongEngines =
        NeedsNoDivision(busy, engines, known)
          ? 0
          : DecideLongEngines(demand, static_cast<double>(engines), slack,
                              known.LongEngines);
    }
    if (!(next == known)) {
      NoteGroupsBefore(fleet, known, rows->second);
      ++next.Version;
      known = std::move(next);
      gsRankEngines(fleet, service, rows->second);
    }
  }
}

bool gsAdoptArrangement(gsFleet& fleet, std::string const& service,
                        gsEngineArrangement const& arrangement)
{
  gsEngineArrangement& known = fleet.Arrangements[service];
  if (!gsSupersedes(arrangement, known)) {
    return false;
  }
  auto rows = fleet.ByService.find(service);
  if (rows != fleet.ByService.end()) {
    NoteGroupsBefore(fleet, known, rows->second);
  }
  known = arrangement;
  if (rows != fleet.ByService.end()) {
    gsRankEngines(fleet, service, rows->second);
  }
  return true;
}

std::uint32_t gsLongEngines(gsFleet const& fleet, std::string_view service)
{
  auto known = fleet.Arrangements.find(std::string(service));
  bool none = !fleet.Settings.Groups || known == fleet.Arrangements.end();
  return none ? 0 : known->second.LongEngines;
}

std::optional<gsEngineKey> gsLongBorder(gsFleet const& fleet,
                                        std::string_view service)
{
  auto members = fleet.ByService.find(std::string(service));
  if (members == fleet.ByService.end()) {
    return std::nullopt;
  }
  return BorderAfter(fleet, members->second, gsLongEngines(fleet, service));
}

bool gsIsBefore(gsFleetRow const& row,
                std::optional<gsEngineKey> const& border)
{
  return border && !(*border < KeyOf(row));
}

bool gsIsLongEngine(gsFleet const& fleet, gsFleetRow const& row)
{
  return gsIsBefore(row, gsLongBorder(fleet, row.Listed.Service));
}
