/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsPlacementAsk.h"

#include <algorithm>
#include <string>
#include <utility>

#include "gsArrangement.h"
#include "gsEngineSpeed.h"
#include "gsLog.h"
#include "gsLoop.h"
#include "gsWorkAhead.h"

namespace {

/**
 * Applies the settings of the request's service in the configuration to a
 * placement request.
 */
void SetServiceConstraints(gsRoutedRequest const& request,
                           gsPlacementRequest& ask)
{
  gsRouteService const* service =
    gsFindService(*request.RouteTable, request.Service);
  if (service == nullptr) {
    return;
  }
  ask.MaxOwnAttempts =
    gsConnectionShare(service->MaxConnections, ask.RecentPeakHosts);
  ask.ColdPerSecond = service->MaxColdRate;
  if (service->Engine) {
    ask.UpstreamMemoryTokens = service->Engine->MemoryTokens;
    ask.CanTransferParts = service->Engine->CanTransferParts;
    // A request that has begun is not refused in favour of more urgent ones,
    // since its work would be lost.
    bool hasBegun = request.MayHaveRun || request.CallerHasBytes ||
                    request.RequiredVersion.has_value();
    ask.MoreUrgentKinds =
      hasBegun ? 0
               : gsCountHigherPriorities(*request.RouteTable, request.Service,
                                         *request.Route);
    ask.MoreUrgentTargetMillis =
      gsToSeconds(gsMoreUrgentTarget(*request.RouteTable, request.Service,
                                     *request.Route)) *
      1e3;
  }
}

/**
 * Group of a request at the engines of its service, by how much it delays
 * other requests there.
 */
gsFleetGroup GroupOf(gsFleet& fleet, gsRoutedRequest const& request,
                     gsPlacementRequest const& ask, bool isFirst)
{
  if (ask.PromptTokens == 0) {
    return gsFleetGroup::Any;
  }
  gsRoute const& route = *request.Route;
  gsStreamTargets targets;
  targets.MaxIntervalMillis = gsToSeconds(route.EventIntervalTarget) * 1e3;
  targets.TightestIntervalMillis =
    gsToSeconds(route.MinEventIntervalTarget) * 1e3;
  targets.FirstEventMillis = gsToSeconds(route.LatencyTarget) * 1e3;
  gsEngineTiming& pace = fleet.EngineTimings[request.Service];
  pace.IsStable = gsUsesEngineSpeed(fleet);
  if (isFirst) {
    return gsClassifyRequest(pace, route.Name, targets, ask.PromptTokens);
  }
  return gsGroupByInterference(pace, targets, ask.PromptTokens,
                               pace.MeanPromptTokens[route.Name], route.Name);
}

/** Logs the limit of an upstream that was skipped because no token of its rate
 * limit or of its shared slots was available. */
void LogSkipped(gsLogLine& line, gsFleet const& fleet, gsFleetRow const& row,
                gsTime now)
{
  bool lacksSlot = gsHasToken(fleet.RateLimits, row.Hash, now) &&
                   !gsHasToken(fleet.SlotLimits, row.Hash, now);
  gsRateLimits const& limits = lacksSlot ? fleet.SlotLimits : fleet.RateLimits;
  line.With("rate_limited", row.Listed.Id);
  auto found = limits.Upstreams.find(row.Hash);
  if (found == limits.Upstreams.end()) {
    return;
  }
  gsLimitedUpstream const& limited = found->second;
  line
    .With(lacksSlot ? "slots" : "per_second", gsFormatRate(limited.Limit.Rate))
    .With("limit_version", limited.Limit.Version)
    .With("limit_age_ms", now - limited.Limit.AppliedAt)
    .With("lent", now < limited.LentUntil)
    .With("token_wait_ms", gsExpectedTokenWait(limits, row.Hash, 0, now));
  if (lacksSlot) {
    line.With("slots_held", std::uint64_t(gsHeldSlots(limited)))
      .With("wait_age_ms", now - limited.ExpectedWaitSetAt);
  }
}

/** Formats the parts of a cost that are not zero, as name:tokens joined by
 * commas. */
std::string FormatCost(gsCostParts const& cost)
{
  std::pair<char const*, double> const parts[] = {
    { "wait", cost.Wait },         { "running", cost.Running },
    { "queued", cost.Queued },     { "hall", cost.Hall },
    { "failures", cost.Failures }, { "reread", cost.Reread },
    { "memory", cost.Memory },     { "miss", cost.TargetMiss },
    { "spread", cost.Spread },     { "group", cost.OtherGroup },
    { "random", cost.Random },
  };
  std::string text;
  for (auto const& [name, tokens] : parts) {
    auto rounded = static_cast<std::uint64_t>(std::max(0.0, tokens));
    if (rounded > 0) {
      text += text.empty() ? "" : ",";
      text += name;
      text += ":" + std::to_string(rounded);
    }
  }
  return text;
}

/** Logs why the chosen upstream was preferred to the next one. */
void LogCosts(gsLogLine& line, gsPlacement const& placement)
{
  line.With("cost", static_cast<std::uint64_t>(std::max(0.0, placement.Cost)))
    .With("costs", FormatCost(placement.Chosen.Cost));
  gsEvaluatedUpstream const& next = placement.RunnerUp;
  if (next.Row != nullptr) {
    line.With("next", next.Row->Listed.Id)
      .With("next_running",
            next.Row->OwnLoad.OpenAttempts + next.Row->OthersLoad.OpenAttempts)
      .With("next_costs", FormatCost(next.Cost));
  }
}

} // namespace

gsTime gsPredictedFirstEvent(gsRoutedRequest const& request,
                             gsPlacement const& placement)
{
  return gsFromSeconds(placement.Chosen.TargetShare *
                       gsToSeconds(request.Route->LatencyTarget));
}

gsPlacementRequest gsMakePlacementRequest(gsFleet& fleet,
                                          gsRoutedRequest const& request,
                                          gsPlacementState const& state,
                                          bool alsoTried, bool isFirst)
{
  gsPlacementRequest ask;
  ask.Service = request.Service;
  ask.Parts = &request.Caller.PromptParts;
  ask.PromptTokens = request.Caller.PromptTokens;
  ask.AnswerTokens = request.Caller.MaxOutputTokens;
  ask.TriedUpstreams = alsoTried ? nullptr : &request.TriedUpstreams;
  ask.MillisPerToken = state.MeanMillisPerToken;
  ask.Hosts = state.HostCount;
  ask.RecentPeakHosts = state.RecentPeakHosts;
  ask.RequiredVersion = request.RequiredVersion;
  ask.RouteRegions = &request.Route->Regions;
  ask.OrganisationRegions = request.OrganisationRegions;
  ask.TargetTokens =
    gsToSeconds(request.Route->LatencyTarget) * 1e3 / ask.MillisPerToken;
  ask.Priority = request.Route->Priority;
  ask.MaxIntervalMillis =
    gsToSeconds(request.Route->EventIntervalTarget) * 1e3;
  SetServiceConstraints(request, ask);
  ask.Group = GroupOf(fleet, request, ask, isFirst);
  if (isFirst) {
    gsRecordDemand(fleet, ask, gsLoop::Now());
  }
  // Each host of a hall that is cut off detects on its own that another hall
  // is unreachable. A request that tried one hall after the other waited 0.3 s
  // for each.
  ask.OwnHallOnly = request.PrefersOwnHall;
  return ask;
}

void gsLogPlacement(gsFleet const& fleet, gsRoutedRequest const& request,
                    gsPlacementRequest const& ask,
                    gsPlacement const& placement, gsTime now)
{
  gsLogLine line("place");
  line.With("request", request.Caller.AttemptId)
    .With("route", request.Route->Name)
    .With("version", request.RouteTable->Version)
    .With("organisation", request.Organisation)
    .With("priority", request.Priority)
    .With("service", request.Service)
    .With("attempt", request.SentAttempts + 1)
    .With("prompt_tokens", request.Caller.PromptTokens)
    .With("cause", gsPlacementCauseName(placement.Cause))
    .With("candidates", placement.CandidateCount);
  if (placement.RateLimitedRow != nullptr) {
    LogSkipped(line, fleet, *placement.RateLimitedRow, now);
  }
  if (placement.Row == nullptr) {
    return;
  }
  gsFleetRow const& row = *placement.Row;
  if (placement.TransferSource != nullptr) {
    line.With("take_from", placement.TransferSource->Listed.Id);
  }
  line.With("upstream", row.Listed.Id)
    .With("own_running", row.OwnLoad.OpenAttempts)
    .With("others_running", row.OthersLoad.OpenAttempts);
  if (row.OthersReportedAt.count() != 0) {
    line.With("others_age_ms", now - row.OthersReportedAt);
  }
  line.With("read_tokens", placement.TokensToRead)
    .With("subject", gsSubjectOf(ask))
    .With("stream", request.Route->StreamsEvents)
    .With("target_ms", request.Route->LatencyTarget)
    .With("gap_target_ms", request.Route->EventIntervalTarget)
    .With("group", gsFleetGroupName(placement.Group))
    .With("rank", gsRankOf(fleet, row))
    .With("long_engines", gsLongEngineCount(fleet, request.Service))
    .With("pace", static_cast<std::uint64_t>(gsEventIntervalMillis(row)));
  gsWorkAhead ahead = gsWorkAheadOf(fleet, row, ask.Priority, now);
  line.With("ahead", static_cast<std::uint64_t>(ahead.Requests))
    .With("ahead_tokens", static_cast<std::uint64_t>(ahead.PromptTokens));
  if (placement.Chosen.TargetShare > 0) {
    line.With("predicted_ms", gsPredictedFirstEvent(request, placement));
  }
  LogCosts(line, placement);
}
