/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsFleet.h"

#include <algorithm>
#include <cmath>

#include "gsRendezvous.h"

namespace {

constexpr double FailSmoothing = 0.25;
/** Failures above the mean that are put down to chance. */
constexpr double FailTolerance = 0.2;
constexpr gsTime FailHalfLife = gsSeconds(3);
constexpr gsTime AvoidBase = gsMilliseconds(400);
constexpr std::uint32_t MaxAvoidDoublings = 3;
/** Ties are broken within so many tokens, so that hosts do not herd. */
constexpr double TieTokens = 30;
/** How sure it is that the preferred upstream holds a shared part. */
constexpr double PreferredShare = 0.5;

bool Contains(std::vector<std::string> const* list, std::string const& id)
{
  return list != nullptr &&
         std::find(list->begin(), list->end(), id) != list->end();
}

/** The part that hosts agree on to keep together: the last shared one. */
std::uint64_t SubjectOf(gsPlacementAsk const& ask)
{
  if (ask.Parts == nullptr || ask.Parts->size() < 2) {
    return 0;
  }
  return (*ask.Parts)[ask.Parts->size() - 2].Name;
}

std::uint32_t SharedTokens(gsPlacementAsk const& ask)
{
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < ask.Parts->size(); ++i) {
    tokens += (*ask.Parts)[i].Tokens;
  }
  return tokens;
}

void Forget(gsFleet const& fleet, gsFleetRow& row, gsTime now)
{
  for (auto part = row.Parts.begin(); part != row.Parts.end();) {
    bool old = now - part->second > fleet.Settings.PartMemory;
    part = old ? row.Parts.erase(part) : std::next(part);
  }
  if (row.Parts.size() > fleet.Settings.PartsMost) {
    row.Parts.clear();
  }
}

/** Failures of the service's upstreams in the mean; some are its own way. */
double MeanFailShare(gsFleet const& fleet,
                     std::vector<std::size_t> const& rows, gsTime now)
{
  double sum = 0;
  for (std::size_t index : rows) {
    sum += gsFailShare(fleet.Rows[index], now);
  }
  return rows.empty() ? 0 : sum / static_cast<double>(rows.size());
}

/** What an upstream would cost this request, in tokens. */
double CostOf(gsFleet const& fleet, gsFleetRow const& row,
              std::uint32_t toRead, double usualFailShare, gsTime now)
{
  gsFleetSettings const& settings = fleet.Settings;
  gsOpenWork work = gsWorkAt(fleet, row, now);
  double cost = static_cast<double>(work.ReadTokens) + toRead;
  cost += settings.RunningTokens * work.Running;
  if (work.Running >= row.Listed.Slots) {
    cost += settings.QueuedTokens * (1.0 + work.Running - row.Listed.Slots);
  }
  if (row.Listed.Hall != settings.Hall) {
    cost += settings.OtherHallTokens;
  }
  double excess = gsFailShare(row, now) - usualFailShare - FailTolerance;
  return cost + settings.FailTokens * std::max(0.0, excess);
}

} // namespace

char const* gsPlacementWord(gsPlacementCause cause)
{
  switch (cause) {
    case gsPlacementCause::Cached:
      return "cached";
    case gsPlacementCause::LeastLoaded:
      return "least_loaded";
    case gsPlacementCause::NoUpstream:
      return "no_upstream";
    case gsPlacementCause::Unreachable:
      break;
  }
  return "unreachable";
}

void gsFleetTake(gsFleet& fleet, std::vector<gsListedUpstream> const& listed)
{
  std::vector<gsFleetRow> rows;
  rows.reserve(listed.size());
  for (gsListedUpstream const& entry : listed) {
    gsFleetRow row;
    if (gsFleetRow* known = gsFleetFind(fleet, entry.Id)) {
      row = std::move(*known);
    }
    row.Listed = entry;
    row.Hash = gsRendezvousWeight(entry.Id, 0);
    rows.push_back(std::move(row));
  }
  fleet.Rows = std::move(rows);
  fleet.ById.clear();
  fleet.ByService.clear();
  for (std::size_t i = 0; i < fleet.Rows.size(); ++i) {
    gsListedUpstream const& entry = fleet.Rows[i].Listed;
    fleet.ById[entry.Id] = i;
    fleet.ByService[entry.Service].push_back(i);
  }
}

gsFleetRow* gsFleetFind(gsFleet& fleet, std::string_view id)
{
  auto found = fleet.ById.find(std::string(id));
  return found == fleet.ById.end() ? nullptr : &fleet.Rows[found->second];
}

gsOpenWork gsWorkAt(gsFleet const& fleet, gsFleetRow const& row, gsTime now)
{
  gsOpenWork work = row.Own;
  if (now - row.OthersAt <= fleet.Settings.OthersMemory) {
    work.Running += row.Others.Running;
    work.ReadTokens += row.Others.ReadTokens;
    work.MemoryTokens += row.Others.MemoryTokens;
  }
  return work;
}

std::uint32_t gsTokensToRead(gsFleet const& fleet, gsFleetRow const& row,
                             gsPlacementAsk const& ask, gsTime now)
{
  if (ask.Parts == nullptr) {
    return ask.PromptTokens;
  }
  std::uint32_t cached = 0;
  // A part is only kept together with all before it.
  for (gsPromptPart const& part : *ask.Parts) {
    auto known = row.Parts.find(part.Name);
    if (known == row.Parts.end() ||
        now - known->second > fleet.Settings.PartMemory) {
      break;
    }
    cached += part.Tokens;
  }
  return ask.PromptTokens - std::min(cached, ask.PromptTokens);
}

gsPlacement gsPlace(gsFleet& fleet, gsPlacementAsk const& ask, gsTime now,
                    gsRandom& random)
{
  gsPlacement best;
  auto rows = fleet.ByService.find(std::string(ask.Service));
  if (rows == fleet.ByService.end()) {
    return best;
  }
  std::uint64_t subject = SubjectOf(ask);
  gsFleetRow const* preferred = nullptr;
  std::uint64_t preferredWeight = 0;
  for (std::size_t index : rows->second) {
    gsFleetRow const& row = fleet.Rows[index];
    std::uint64_t weight = gsRendezvousWeight(row.Listed.Id, subject);
    if (subject != 0 && !row.Listed.Leaving && row.AvoidUntil <= now &&
        (preferred == nullptr || weight > preferredWeight)) {
      preferred = &row;
      preferredWeight = weight;
    }
  }
  double usual = MeanFailShare(fleet, rows->second, now);
  std::uniform_real_distribution<double> tie(0, TieTokens);
  for (std::size_t index : rows->second) {
    gsFleetRow& row = fleet.Rows[index];
    if (row.Listed.Leaving || Contains(ask.Tried, row.Listed.Id)) {
      continue;
    }
    if (row.AvoidUntil > now) {
      if (best.Row == nullptr) {
        best.Cause = gsPlacementCause::Unreachable;
      }
      continue;
    }
    ++best.Candidates;
    std::uint32_t toRead = gsTokensToRead(fleet, row, ask, now);
    bool cached = toRead < ask.PromptTokens;
    double cost = CostOf(fleet, row, toRead, usual, now) + tie(random);
    if (&row == preferred && !cached) {
      // Other hosts send the same subject there.
      cost -= PreferredShare * SharedTokens(ask);
    }
    if (best.Row == nullptr || cost < best.Cost) {
      best.Row = &row;
      best.Cost = cost;
      best.ReadTokens = toRead;
      best.Cause = cached ? gsPlacementCause::Cached
                          : gsPlacementCause::LeastLoaded;
    }
  }
  return best;
}

void gsNoteParts(gsFleet const& fleet, gsFleetRow& row,
                 std::vector<gsPromptPart> const& parts, gsTime now)
{
  for (gsPromptPart const& part : parts) {
    row.Parts[part.Name] = now;
  }
  if (row.Parts.size() > fleet.Settings.PartsMost) {
    Forget(fleet, row, now);
  }
}

double gsFailShare(gsFleetRow const& row, gsTime now)
{
  double halves = gsToSeconds(now - row.FailAt) / gsToSeconds(FailHalfLife);
  return row.FailShare * std::exp2(-std::max(0.0, halves));
}

void gsNoteOutcome(gsFleetRow& row, bool failed, gsTime now)
{
  double share = gsFailShare(row, now);
  row.FailShare = share + FailSmoothing * ((failed ? 1.0 : 0.0) - share);
  row.FailAt = now;
  if (!failed) {
    row.Unreachable = 0;
  }
}

void gsNoteUnreachable(gsFleetRow& row, gsTime now)
{
  std::uint32_t doublings = std::min(row.Unreachable, MaxAvoidDoublings);
  row.AvoidUntil = now + AvoidBase * (std::int64_t{ 1 } << doublings);
  ++row.Unreachable;
}

void gsNoteHeard(gsFleetRow& row, gsTime now)
{
  row.LastHeard = now;
  row.Unreachable = 0;
  row.AvoidUntil = gsTime{};
}
