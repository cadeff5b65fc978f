/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsSettings.h"

#include <fstream>
#include <sstream>

#include "gsDocumentJson.h"
#include "gsFieldReader.h"

namespace {

constexpr gsRange PeriodRange{ 10, 600'000 };
constexpr gsRange LongRange{ 0, 86'400'000 };
constexpr gsRange KibRange{ 1, 1'048'576 };
constexpr gsRange CountRange{ 1, 1'000'000 };
constexpr gsRange ShareRange{ 0, 1 };

void ReadCallers(gsFieldReader& fields, gsSettings& settings)
{
  auto& callers = settings.Callers;
  callers.Listen = fields.Address("listen");
  callers.MaxBodyKib =
    fields.Unsigned("max_body_kib", KibRange, callers.MaxBodyKib);
  callers.MaxHeaderKib =
    fields.Unsigned("max_header_kib", { 4, 1024 }, callers.MaxHeaderKib);
  callers.MaxAnswerKib =
    fields.Unsigned("max_answer_kib", KibRange, callers.MaxAnswerKib);
  callers.MaxEventKib =
    fields.Unsigned("max_event_kib", KibRange, callers.MaxEventKib);
  callers.MaxConnections =
    fields.Unsigned("max_connections", CountRange, callers.MaxConnections);
  callers.MaxConnectionsPerIp = fields.Unsigned(
    "max_connections_per_ip", CountRange, callers.MaxConnectionsPerIp);
  callers.ReceiveTimeout = fields.Milliseconds(
    "receive_timeout_ms", PeriodRange, callers.ReceiveTimeout);
}

void ReadPeers(gsFieldReader& fields, gsSettings& settings)
{
  auto& peers = settings.Peers;
  peers.Listen = fields.Address("listen");
  peers.Announce = fields.Address("announce", peers.Listen);
  peers.Token = fields.String("token");
  peers.Cluster = fields.String("cluster", "");
  peers.Seeds = fields.Strings("seeds");
  peers.Routes = fields.StringMap("routes");
  peers.ForwardListen = fields.Address("forward_listen", "");
}

void ReadPlatform(gsFieldReader& fields, gsSettings& settings)
{
  auto& platform = settings.Platform;
  constexpr std::size_t memory = 1;
  constexpr std::size_t table = 2;
  std::size_t kind = fields.Choice("kind", { "http", "memory", "table" });
  platform.Memory = kind == memory;
  platform.Table = kind == table;
  if (!platform.Memory) {
    platform.Address = fields.Address("address");
    platform.Token = fields.String("token", "");
    platform.Timeout =
      fields.Milliseconds("timeout_ms", PeriodRange, platform.Timeout);
  }
}

void ReadUpstreams(gsFieldReader& fields, gsSettings& settings)
{
  auto& upstreams = settings.Upstreams;
  upstreams.ConnectTimeout = fields.Milliseconds(
    "connect_timeout_ms", PeriodRange, upstreams.ConnectTimeout);
  upstreams.StallTimeout = fields.Milliseconds("stall_timeout_ms", PeriodRange,
                                               upstreams.StallTimeout);
  upstreams.LoadPeriod =
    fields.Milliseconds("load_period_ms", PeriodRange, upstreams.LoadPeriod);
  upstreams.LoadPath = fields.String("load_path", upstreams.LoadPath);
  upstreams.Routes = fields.StringMap("routes");
}

void ReadQueue(gsFieldReader& fields, gsSettings& settings)
{
  gsPoolSettings& pool = settings.Pool;
  pool.QueueLimit = static_cast<std::uint32_t>(
    fields.Unsigned("limit", CountRange, pool.QueueLimit));
  pool.MaxReservedTurns = static_cast<std::uint32_t>(
    fields.Unsigned("reserved_per_tier", { 1, 1000 }, pool.MaxReservedTurns));
  pool.ReservedSlotShare =
    fields.Number("reserved_share", ShareRange, pool.ReservedSlotShare);
  pool.MaxLateShare =
    fields.Number("late_share", ShareRange, pool.MaxLateShare);
  pool.LimitWindow =
    fields.Milliseconds("limit_window_ms", PeriodRange, pool.LimitWindow);
  pool.EjectAfterFailures = static_cast<std::uint32_t>(
    fields.Unsigned("eject_after", { 1, 100 }, pool.EjectAfterFailures));
  pool.EjectBackoff =
    fields.Milliseconds("eject_ms", PeriodRange, pool.EjectBackoff);
  pool.MaxEjectBackoff =
    fields.Milliseconds("eject_most_ms", PeriodRange, pool.MaxEjectBackoff);
  pool.OutlierFactor =
    fields.Number("outlier_factor", { 1, 100 }, pool.OutlierFactor);
  pool.UseAffinity = fields.Boolean("affinity", pool.UseAffinity);
  pool.MaxAffinityLoad =
    fields.Number("affinity_load", { 1, 10 }, pool.MaxAffinityLoad);
  pool.StartTimeout =
    fields.Milliseconds("start_within_ms", PeriodRange, pool.StartTimeout);
}

void ReadDuties(gsFieldReader& fields, gsSettings& settings)
{
  auto& duties = settings.Duties;
  if (!fields.Has("address")) {
    return;
  }
  duties.Address = fields.Address("address");
  for (std::string const& kind : fields.Strings("kinds")) {
    duties.Usage = duties.Usage || kind == "usage_reporting";
    duties.Orders = duties.Orders || kind == "autoscaling";
  }
  duties.Lease = fields.Milliseconds("lease_ms", PeriodRange, duties.Lease);
  duties.Window = fields.Milliseconds("window_ms", PeriodRange, duties.Window);
  duties.Late = fields.Milliseconds("late_ms", PeriodRange, duties.Late);
}

void ReadScaling(gsFieldReader& fields, gsSettings& settings)
{
  gsScalingSettings& scaling = settings.Scaling;
  scaling.Enabled = fields.Boolean("enabled", scaling.Enabled);
  scaling.DryRun = fields.Boolean("dry_run", scaling.DryRun);
  constexpr gsRange use{ 0.01, 1 };
  scaling.UtilisationAtZeroPrice =
    fields.Number("use_if_free", use, scaling.UtilisationAtZeroPrice);
  scaling.UtilisationAtFullPrice =
    fields.Number("use_if_dear", use, scaling.UtilisationAtFullPrice);
  scaling.MaxUtilisation =
    fields.Number("use_in_need", use, scaling.MaxUtilisation);
  scaling.MaxWithdrawableShare = fields.Number(
    "withdrawable_share", ShareRange, scaling.MaxWithdrawableShare);
  scaling.PeakRetention =
    fields.Milliseconds("peak_memory_ms", PeriodRange, scaling.PeakRetention);
  scaling.MinDecreaseInterval =
    fields.Milliseconds("hold_ms", PeriodRange, scaling.MinDecreaseInterval);
  constexpr gsRange minDemand{ 0, 600'000 };
  scaling.MinDemandTime =
    fields.Milliseconds("min_demand_ms", minDemand, scaling.MinDemandTime);
}

void ReadPlacement(gsFieldReader& fields, gsSettings& settings)
{
  constexpr gsRange weights{ 0, 10'000'000 };
  gsFleetSettings& placement = settings.Placement;
  auto weight = [&fields, weights](char const* name, double& value) {
    value = fields.Number(name, weights, value);
  };
  weight("running_tokens", placement.RunningCost);
  weight("other_hall_tokens", placement.OtherHallCost);
  weight("fail_tokens", placement.FailureCost);
  weight("queued_tokens", placement.QueuedCost);
  weight("again_weight", placement.ReprocessWeight);
  weight("moved_weight", placement.TransferWeight);
  weight("other_group_tokens", placement.OtherGroupCost);
  weight("early_weight", placement.InTargetWaitWeight);
  weight("late_weight", placement.LateWaitWeight);
  weight("full_tokens", placement.MemoryExhaustedCost);
  weight("miss_tokens", placement.TargetMissCost);
  weight("hold_up_tokens", placement.InterferenceCost);
  weight("spread_tokens", placement.MaxSpreadCost);
  placement.TargetShare =
    fields.Number("target_share", ShareRange, placement.TargetShare);
  placement.MaxMemoryShare =
    fields.Number("memory_share", ShareRange, placement.MaxMemoryShare);
  constexpr gsRange factors{ 0, 10 };
  placement.ReservedSlotFactor = fields.Number("reserved_slot_factor", factors,
                                               placement.ReservedSlotFactor);
  placement.MaxReservedSlotShare = fields.Number(
    "reserved_slot_share", ShareRange, placement.MaxReservedSlotShare);
  placement.ReservedSlotHalfLife = fields.Milliseconds(
    "reserved_slot_half_life_ms", PeriodRange, placement.ReservedSlotHalfLife);
  placement.DivideEngines = fields.Boolean("groups", placement.DivideEngines);
  placement.PartRetention = fields.Milliseconds("part_memory_ms", PeriodRange,
                                                placement.PartRetention);
}

/** Reads the mode of a feature's section. */
gsFeatureMode ReadMode(gsFieldReader& fields)
{
  constexpr gsFeatureMode modes[] = { gsFeatureMode::Off,
                                      gsFeatureMode::DryRun,
                                      gsFeatureMode::On };
  return modes[fields.Choice("mode", { "off", "dry_run", "on" }, 0)];
}

void ReadMemory(gsFieldReader& fields, gsMemorySettings& memory)
{
  constexpr std::uint64_t bytesPerMb = 1U << 20U;
  constexpr gsRange sizes{ 120, 1U << 20U };
  constexpr gsRange shares{ 0.05, 0.8 };
  memory.TotalBytes =
    fields.Unsigned("total_mb", sizes, memory.TotalBytes / bytesPerMb) *
    bytesPerMb;
  memory.BuffersShare =
    fields.Number("buffers_share", shares, memory.BuffersShare);
  memory.StalledTimeout = fields.Milliseconds("stalled_caller_ms", PeriodRange,
                                              memory.StalledTimeout);
}

void ReadFeatures(gsFieldReader& fields, gsSettings& settings)
{
  auto& features = settings.Features;
  fields.Object("overload", [&](gsFieldReader& inner) {
    features.Overload = ReadMode(inner);
    auto& overload = settings.Overload;
    overload.MaxWaiting =
      inner.Unsigned("waiting", CountRange, overload.MaxWaiting);
    overload.MaxWaitingKib =
      inner.Unsigned("waiting_kib", CountRange, overload.MaxWaitingKib);
  });
  fields.Object("prefix_directory", [&](gsFieldReader& inner) {
    gsPrefixPlacementSettings& prefixes = settings.Placement.Prefixes;
    features.PrefixDirectory = ReadMode(inner);
    prefixes.Mode = features.PrefixDirectory;
    features.PrefixMinHosts =
      inner.Unsigned("min_hosts", CountRange, features.PrefixMinHosts);
    prefixes.EngineShare =
      inner.Number("engine_share", { 0.01, 1 }, prefixes.EngineShare);
    prefixes.MinTokens = static_cast<std::uint32_t>(
      inner.Unsigned("min_tokens", CountRange, prefixes.MinTokens));
  });
  fields.Object("engine_speed", [&](gsFieldReader& inner) {
    features.EngineSpeed = ReadMode(inner);
    settings.Placement.EngineSpeed = features.EngineSpeed;
    features.SpeedMinHosts =
      inner.Unsigned("min_hosts", CountRange, features.SpeedMinHosts);
  });
  fields.Object("slot_sharing", [&](gsFieldReader& inner) {
    features.SlotSharing = ReadMode(inner);
  });
  fields.Object("memory", [&](gsFieldReader& inner) {
    features.Memory = ReadMode(inner);
    ReadMemory(inner, settings.Memory);
  });
}

void ReadMembership(gsFieldReader& fields, gsSettings& settings)
{
  gsMembershipSettings& membership = settings.Membership;
  membership.ProbeInterval =
    fields.Milliseconds("period_ms", PeriodRange, membership.ProbeInterval);
  membership.PingTimeout = fields.Milliseconds("ping_timeout_ms", PeriodRange,
                                               membership.PingTimeout);
  membership.SuspicionTimeout = fields.Milliseconds(
    "suspect_ms", PeriodRange, membership.SuspicionTimeout);
  membership.CrossHallProbeInterval = fields.Milliseconds(
    "cross_period_ms", PeriodRange, membership.CrossHallProbeInterval);
  membership.CrossHallSuspicionTimeout = fields.Milliseconds(
    "cross_suspect_ms", PeriodRange, membership.CrossHallSuspicionTimeout);
}

void ReadAll(gsFieldReader& fields, gsSettings& settings)
{
  settings.Host = fields.String("host");
  settings.Hall = fields.String("hall");
  settings.Cores = fields.Number("cores", { 0.001, 1024 }, settings.Cores);
  settings.Descriptors =
    fields.Unsigned("descriptors", { 64, 1U << 30U }, settings.Descriptors);
  std::vector<std::string> levels{ "debug", "info", "warn", "error" };
  settings.LogLevel = levels[fields.Choice("log_level", levels, 1)];
  fields.Object("callers",
                [&](gsFieldReader& inner) { ReadCallers(inner, settings); });
  fields.Object("operators", [&](gsFieldReader& inner) {
    settings.Operators.Listen = inner.Address("listen");
    settings.Operators.Token = inner.String("token");
  });
  if (fields.Has("peers")) {
    fields.Object("peers",
                  [&](gsFieldReader& inner) { ReadPeers(inner, settings); });
  }
  fields.Object("platform",
                [&](gsFieldReader& inner) { ReadPlatform(inner, settings); });
  fields.Object("upstreams",
                [&](gsFieldReader& inner) { ReadUpstreams(inner, settings); });
  fields.Object("queue",
                [&](gsFieldReader& inner) { ReadQueue(inner, settings); });
  fields.Object("membership", [&](gsFieldReader& inner) {
    ReadMembership(inner, settings);
  });
  fields.Object("retry", [&](gsFieldReader& inner) {
    settings.Retry.Share =
      inner.Number("share", ShareRange, settings.Retry.Share);
    settings.Retry.Burst =
      inner.Number("burst", { 0, 10'000 }, settings.Retry.Burst);
    settings.Retry.BurstOfAll =
      inner.Number("burst_of_all", { 0, 1'000'000 }, 0);
  });
  fields.Object("placement",
                [&](gsFieldReader& inner) { ReadPlacement(inner, settings); });
  fields.Object("routing", [&](gsFieldReader& inner) {
    auto& routing = settings.Routing;
    routing.Leaving =
      inner.Milliseconds("leaving_ms", PeriodRange, routing.Leaving);
    routing.WatchWait =
      inner.Milliseconds("watch_wait_ms", PeriodRange, routing.Leaving);
    routing.Silence =
      inner.Milliseconds("silence_ms", PeriodRange, routing.Silence);
    routing.LoadPeriod =
      inner.Milliseconds("load_period_ms", PeriodRange, routing.LoadPeriod);
    routing.RetryAfter =
      inner.Milliseconds("retry_after_ms", PeriodRange, routing.RetryAfter);
    routing.FirstStart = inner.Boolean("first_start", routing.FirstStart);
    routing.Regions = inner.StringMap("regions");
  });
  fields.Object("duties",
                [&](gsFieldReader& inner) { ReadDuties(inner, settings); });
  fields.Object("scaling",
                [&](gsFieldReader& inner) { ReadScaling(inner, settings); });
  ReadFeatures(fields, settings);
  fields.Object("stop", [&](gsFieldReader& inner) {
    settings.Stop.Unready =
      inner.Milliseconds("unready_ms", LongRange, settings.Stop.Unready);
    settings.Stop.Longest =
      inner.Milliseconds("longest_ms", LongRange, settings.Stop.Longest);
    settings.Stop.Margin =
      inner.Milliseconds("margin_ms", LongRange, settings.Stop.Margin);
  });
  fields.Object("configuration", [&](gsFieldReader& inner) {
    settings.Replica.PollInterval = inner.Milliseconds(
      "poll_ms", PeriodRange, settings.Replica.PollInterval);
    settings.Replica.StartupPlatformTimeout =
      inner.Milliseconds("platform_patience_ms", LongRange,
                         settings.Replica.StartupPlatformTimeout);
  });
}

} // namespace

gsResult<gsSettings> gsSettingsFromText(std::string_view text,
                                        std::string_view source)
{
  gsResult<gsJson> json = gsParseJson(text, source);
  if (!json) {
    return json.error();
  }
  gsSettings settings;
  gsJson document;
  if (json.value().is_object() && json.value().contains("document")) {
    document = json.value()["document"];
    json.value().erase("document");
  }
  gsFieldReader fields(json.value(), std::string(source), "");
  ReadAll(fields, settings);
  fields.Finish();
  if (fields.Error()) {
    return *fields.Error();
  }
  if (!document.is_null()) {
    if (!settings.Platform.Memory) {
      return gsError{ "bad_value",
                      std::string(source) +
                        ": document stands beside a platform of kind "
                        "'http'; expected it only beside kind 'memory'.",
                      "check", std::string(source) };
    }
    gsResult<gsDocument> read =
      gsDocumentFromJson(document, std::string(source) + ": document");
    if (!read) {
      return read.error();
    }
    settings.Document = std::move(read.value());
  }
  return settings;
}

gsResult<gsSettings> gsSettingsFromFile(std::string const& path)
{
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    return gsError{ "unreadable", path + ": the file cannot be read.", "read",
                    path };
  }
  return gsSettingsFromText(text.str(), path);
}
