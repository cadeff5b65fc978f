/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsPrefixUse.h"

#include <algorithm>
#include <utility>

#include "gsEngineSpeed.h"
#include "gsLog.h"
#include "gsPrefixSharing.h"
#include "gsRoutedRequest.h"
#include "gsSubjectPlacement.h"

namespace {

/** Share of the shared tokens that an engine may have pending besides the
 * request for its first event to show whether it processed them. */
constexpr std::uint32_t IdleDivisor = 8;
/** Share of the shared parts' processing time that must be unexplained. */
constexpr double MinReprocessedShare = 0.75;
/**
 * Minimum ratio of the first-event time to the processing time of the
 * request's own tokens. Engines are at times 2.5 to 3 times slower than
 * usual, which is no evidence of an evicted prefix.
 */
constexpr double MinSlowdown = 4;

/** Prompt tokens pending at an engine besides an attempt's own. */
std::uint64_t OtherPendingTokens(gsFleet const& fleet, gsFleetRow const& row,
                                 std::uint64_t ownTokens, gsTime now)
{
  std::uint64_t pending = gsTotalLoad(fleet, row, now).PendingPromptTokens;
  return pending - std::min(pending, ownTokens);
}

bool IsIdle(gsFleet const& fleet, gsFleetRow const& row,
            gsAttempt const& attempt, gsTime now)
{
  return gsTotalLoad(fleet, row, now).OpenAttempts <= row.Listed.Slots &&
         OtherPendingTokens(fleet, row, attempt.Load.PendingPromptTokens,
                            now) <= attempt.Prefix.SharedTokens / IdleDivisor;
}

/** Whether the time until the first event shows that the engine has processed
 * the shared parts again. */
bool HasReprocessed(gsFleet const& fleet, gsFleetRow const& row,
                    gsAttempt const& attempt, gsTime now)
{
  gsPrefixUse const& use = attempt.Prefix;
  auto timing = fleet.EngineTimings.find(row.Listed.Service);
  if (timing == fleet.EngineTimings.end() || !use.WasHeldAndIdle) {
    return false;
  }
  double millis = gsToSeconds(now - attempt.SentAt) * 1e3;
  double tokens =
    millis * gsEngineSpeedOf(fleet, row) / timing->second.TokenMillis;
  return tokens >= MinSlowdown * use.OwnTokens &&
         tokens >= use.OwnTokens + MinReprocessedShare * use.SharedTokens;
}

char const* CauseName(gsSubjectCause cause)
{
  switch (cause) {
    case gsSubjectCause::Serving:
      return "serving";
    case gsSubjectCause::First:
      return "first";
    case gsSubjectCause::Demand:
      return "demand";
    case gsSubjectCause::Pressure:
      return "pressure";
    case gsSubjectCause::Moved:
      return "moved";
    case gsSubjectCause::None:
      break;
  }
  return "none";
}

/** A share in thousandths; one of an engine without room is cut. */
std::uint64_t Permille(double share)
{
  constexpr double maximum = 1e6;
  return static_cast<std::uint64_t>(std::min(share * 1e3, maximum));
}

void LogDecision(gsFleet const& fleet, gsRoutedRequest const& request,
                 gsAttempt const& attempt, gsPlacement const& placement,
                 gsTime now)
{
  gsSubjectDecision const& decision = placement.Subject;
  gsFleetRow const& row = *placement.Row;
  gsLogLine line("prefix");
  line.With("request", request.Caller.AttemptId)
    .With("mode", gsPrefixModeName(fleet.Settings.Prefixes.Mode))
    .With("subject", attempt.Prefix.Key.Subject)
    .With("cause", CauseName(decision.Cause))
    .With("upstream", row.Listed.Id)
    .With("chosen", decision.Row == nullptr ? "none" : decision.Row->Listed.Id)
    .With("engines", decision.EngineCount)
    .With("needed", decision.NeededCount)
    .With("demand_permille", Permille(decision.Demand))
    .With("serving_permille", Permille(decision.ServingShare))
    .With("chosen_permille", Permille(decision.RowShare))
    .With("shared_tokens", attempt.Prefix.SharedTokens);
  gsPrefixHolding const* holding = gsFindPrefixHolding(
    fleet.Prefixes, attempt.Prefix.Key, attempt.Prefix.Engine, now);
  if (holding != nullptr) {
    line.With("holding", holding->IsReading ? "reading" : "held")
      .With("holding_age_ms", now - holding->UsedAt);
  }
  if (row.OthersReportedAt.count() != 0) {
    line.With("others_age_ms", now - row.OthersReportedAt);
  }
}

} // namespace

void gsBeginPrefixUse(gsFleet const& fleet, gsRoutedRequest const& request,
                      gsAttempt& attempt, gsPlacement const& placement,
                      gsTime now)
{
  if (!placement.Subject.IsTracked) {
    return;
  }
  gsPlacementRequest ask;
  ask.Service = request.Service;
  ask.Parts = &request.Caller.PromptParts;
  ask.PromptTokens = request.Caller.PromptTokens;
  ask.AnswerTokens = request.Caller.MaxOutputTokens;
  gsPrefixUse& use = attempt.Prefix;
  use.Key = gsPrefixKeyOf(ask.Service, gsSubjectOf(ask));
  use.Engine = placement.Row->Hash;
  use.SharedTokens = gsSharedTokens(ask);
  use.OwnTokens =
    ask.PromptTokens - std::min(ask.PromptTokens, use.SharedTokens);
  use.EngineMillis = gsSubjectEngineMillis(fleet, ask);
  use.IsTransferred = placement.TransferSource != nullptr;
  LogDecision(fleet, request, attempt, placement, now);
}

void gsRecordPrefixUseSent(gsFleet& fleet, gsRoutedRequest const& request,
                           gsAttempt& attempt, gsTime now)
{
  gsPrefixUse& use = attempt.Prefix;
  gsFleetRow const* row = gsFleetFind(fleet, attempt.Upstream);
  if (use.Key.Subject == 0 || row == nullptr) {
    return;
  }
  gsPrefixDirectory& directory = fleet.Prefixes;
  gsPrefixHolding const* holding =
    gsFindPrefixHolding(directory, use.Key, use.Engine, now);
  use.WasHeldAndIdle = holding != nullptr && !holding->IsReading &&
                       IsIdle(fleet, *row, attempt, now);
  if (holding == nullptr && !use.IsTransferred) {
    gsPrefixSubject const* subject = gsFindPrefixSubject(directory, use.Key);
    bool isHeldElsewhere =
      subject != nullptr &&
      std::any_of(subject->Holdings.begin(), subject->Holdings.end(),
                  [&](gsPrefixHolding const& other) {
                    return gsIsValidHolding(directory, other, now);
                  });
    directory.Counts.ReprocessedTokens +=
      isHeldElsewhere ? use.SharedTokens : 0;
  }
  if (request.SentAttempts == 0) {
    gsRecordPrefixDemand(directory, use.Key, use.EngineMillis, now);
  }
  use.IsReading = true;
  gsRecordPrefixSent(directory, use.Key, use.Engine, use.SharedTokens, now);
}

void gsRecordPrefixUseFirstEvent(gsFleet& fleet, gsAttempt& attempt,
                                 gsTime now)
{
  gsPrefixUse& use = attempt.Prefix;
  gsFleetRow const* row = gsFleetFind(fleet, attempt.Upstream);
  if (!std::exchange(use.IsReading, false) || row == nullptr) {
    return;
  }
  gsRecordPrefixHeld(fleet.Prefixes, use.Key, use.Engine, use.SharedTokens,
                     now);
  if (HasReprocessed(fleet, *row, attempt, now) &&
      IsIdle(fleet, *row, attempt, now)) {
    fleet.Prefixes.Counts.ReprocessedTokens += use.SharedTokens;
    gsRecordPrefixDropped(fleet.Prefixes, use.Key, use.Engine, now);
    gsLogLine("prefix_dropped")
      .With("upstream", attempt.Upstream.Id)
      .With("subject", use.Key.Subject)
      .With("shared_tokens", use.SharedTokens)
      .With("own_tokens", use.OwnTokens)
      .With("first_ms", now - attempt.SentAt);
  }
}

void gsRecordPrefixUseEnd(gsFleet& fleet, gsAttempt& attempt, gsTime now)
{
  gsPrefixUse& use = attempt.Prefix;
  if (std::exchange(use.IsReading, false)) {
    gsRecordPrefixFailed(fleet.Prefixes, use.Key, use.Engine, now);
  }
}
