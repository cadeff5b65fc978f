/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsSettings.h"

#include <fstream>
#include <sstream>

#include "gsDocumentJson.h"
#include "gsFields.h"

namespace {

constexpr gsRange PeriodRange{ 10, 600'000 };
constexpr gsRange LongRange{ 0, 86'400'000 };
constexpr gsRange KibRange{ 1, 1'048'576 };
constexpr gsRange CountRange{ 1, 1'000'000 };
constexpr gsRange ShareRange{ 0, 1 };

void ReadCallers(gsFields& fields, gsSettings& settings)
{
  auto& callers = settings.Callers;
  callers.Listen = fields.Address("listen");
  callers.MaxBodyKib =
    fields.Whole("max_body_kib", KibRange, callers.MaxBodyKib);
  callers.MaxHeaderKib =
    fields.Whole("max_header_kib", { 4, 1024 }, callers.MaxHeaderKib);
  callers.MaxAnswerKib =
    fields.Whole("max_answer_kib", KibRange, callers.MaxAnswerKib);
  callers.MaxConnections =
    fields.Whole("max_connections", CountRange, callers.MaxConnections);
  callers.MaxConnectionsPerIp = fields.Whole(
    "max_connections_per_ip", CountRange, callers.MaxConnectionsPerIp);
  callers.ReceiveTimeout =
    fields.Millis("receive_timeout_ms", PeriodRange, callers.ReceiveTimeout);
}

void ReadPeers(gsFields& fields, gsSettings& settings)
{
  auto& peers = settings.Peers;
  peers.Listen = fields.Address("listen");
  peers.Announce = fields.Address("announce", peers.Listen);
  peers.Token = fields.Text("token");
  peers.Cluster = fields.Text("cluster", "");
  peers.Seeds = fields.Texts("seeds");
  peers.Routes = fields.TextMap("routes");
}

void ReadPlatform(gsFields& fields, gsSettings& settings)
{
  auto& platform = settings.Platform;
  constexpr std::size_t memory = 1;
  constexpr std::size_t table = 2;
  std::size_t kind = fields.Choice("kind", { "http", "memory", "table" });
  platform.Memory = kind == memory;
  platform.Table = kind == table;
  if (!platform.Memory) {
    platform.Address = fields.Address("address");
    platform.Token = fields.Text("token", "");
    platform.Timeout =
      fields.Millis("timeout_ms", PeriodRange, platform.Timeout);
  }
}

void ReadUpstreams(gsFields& fields, gsSettings& settings)
{
  auto& upstreams = settings.Upstreams;
  upstreams.ConnectTimeout =
    fields.Millis("connect_timeout_ms", PeriodRange, upstreams.ConnectTimeout);
  upstreams.StallTimeout =
    fields.Millis("stall_timeout_ms", PeriodRange, upstreams.StallTimeout);
  upstreams.LoadPeriod =
    fields.Millis("load_period_ms", PeriodRange, upstreams.LoadPeriod);
  upstreams.LoadPath = fields.Text("load_path", upstreams.LoadPath);
}

void ReadQueue(gsFields& fields, gsSettings& settings)
{
  gsPoolSettings& pool = settings.Pool;
  pool.QueueLimit = static_cast<std::uint32_t>(
    fields.Whole("limit", CountRange, pool.QueueLimit));
  pool.ReservedPerTier = static_cast<std::uint32_t>(
    fields.Whole("reserved_per_tier", { 1, 1000 }, pool.ReservedPerTier));
  pool.ReservedShare =
    fields.Number("reserved_share", ShareRange, pool.ReservedShare);
  pool.LateShare = fields.Number("late_share", ShareRange, pool.LateShare);
  pool.LimitWindow =
    fields.Millis("limit_window_ms", PeriodRange, pool.LimitWindow);
  pool.EjectAfter = static_cast<std::uint32_t>(
    fields.Whole("eject_after", { 1, 100 }, pool.EjectAfter));
  pool.EjectBase = fields.Millis("eject_ms", PeriodRange, pool.EjectBase);
  pool.EjectMax = fields.Millis("eject_most_ms", PeriodRange, pool.EjectMax);
  pool.OutlierFactor =
    fields.Number("outlier_factor", { 1, 100 }, pool.OutlierFactor);
  pool.Affinity = fields.Flag("affinity", pool.Affinity);
  pool.AffinityLoad =
    fields.Number("affinity_load", { 1, 10 }, pool.AffinityLoad);
  pool.StartWithin =
    fields.Millis("start_within_ms", PeriodRange, pool.StartWithin);
}

void ReadDuties(gsFields& fields, gsSettings& settings)
{
  auto& duties = settings.Duties;
  if (!fields.Has("address")) {
    return;
  }
  duties.Address = fields.Address("address");
  for (std::string const& kind : fields.Texts("kinds")) {
    duties.Usage = duties.Usage || kind == "usage_reporting";
    duties.Orders = duties.Orders || kind == "autoscaling";
  }
  duties.Lease = fields.Millis("lease_ms", PeriodRange, duties.Lease);
  duties.Window = fields.Millis("window_ms", PeriodRange, duties.Window);
  duties.Late = fields.Millis("late_ms", PeriodRange, duties.Late);
}

void ReadScaling(gsFields& fields, gsSettings& settings)
{
  gsScalingSettings& scaling = settings.Scaling;
  scaling.Enabled = fields.Flag("enabled", scaling.Enabled);
  scaling.DryRun = fields.Flag("dry_run", scaling.DryRun);
  constexpr gsRange use{ 0.01, 1 };
  scaling.UseIfFree = fields.Number("use_if_free", use, scaling.UseIfFree);
  scaling.UseIfDear = fields.Number("use_if_dear", use, scaling.UseIfDear);
  scaling.UseInNeed = fields.Number("use_in_need", use, scaling.UseInNeed);
  scaling.WithdrawableShare =
    fields.Number("withdrawable_share", ShareRange, scaling.WithdrawableShare);
  scaling.PeakMemory =
    fields.Millis("peak_memory_ms", PeriodRange, scaling.PeakMemory);
  scaling.Hold = fields.Millis("hold_ms", PeriodRange, scaling.Hold);
}

void ReadPlacement(gsFields& fields, gsSettings& settings)
{
  constexpr gsRange weights{ 0, 10'000'000 };
  gsFleetSettings& placement = settings.Placement;
  auto weight = [&fields, weights](char const* name, double& value) {
    value = fields.Number(name, weights, value);
  };
  weight("running_tokens", placement.RunningTokens);
  weight("other_hall_tokens", placement.OtherHallTokens);
  weight("fail_tokens", placement.FailTokens);
  weight("queued_tokens", placement.QueuedTokens);
  weight("again_weight", placement.AgainWeight);
  weight("moved_weight", placement.MovedWeight);
  weight("other_group_tokens", placement.OtherGroupTokens);
  weight("early_weight", placement.EarlyWeight);
  weight("late_weight", placement.LateWeight);
  weight("full_tokens", placement.FullTokens);
  weight("miss_tokens", placement.MissTokens);
  weight("hold_up_tokens", placement.HoldUpTokens);
  weight("spread_tokens", placement.SpreadTokens);
  placement.TargetShare =
    fields.Number("target_share", ShareRange, placement.TargetShare);
  placement.MemoryShare =
    fields.Number("memory_share", ShareRange, placement.MemoryShare);
  placement.Groups = fields.Flag("groups", placement.Groups);
  placement.PartMemory =
    fields.Millis("part_memory_ms", PeriodRange, placement.PartMemory);
}

void ReadMembership(gsFields& fields, gsSettings& settings)
{
  gsMembershipSettings& membership = settings.Membership;
  membership.Period =
    fields.Millis("period_ms", PeriodRange, membership.Period);
  membership.PingTimeout =
    fields.Millis("ping_timeout_ms", PeriodRange, membership.PingTimeout);
  membership.SuspectTime =
    fields.Millis("suspect_ms", PeriodRange, membership.SuspectTime);
  membership.CrossPeriod =
    fields.Millis("cross_period_ms", PeriodRange, membership.CrossPeriod);
  membership.CrossSuspectTime = fields.Millis("cross_suspect_ms", PeriodRange,
                                              membership.CrossSuspectTime);
}

void ReadAll(gsFields& fields, gsSettings& settings)
{
  settings.Host = fields.Text("host");
  settings.Hall = fields.Text("hall");
  settings.Cores = fields.Number("cores", { 0.001, 1024 }, settings.Cores);
  std::vector<std::string> levels{ "debug", "info", "warn", "error" };
  settings.LogLevel = levels[fields.Choice("log_level", levels, 1)];
  fields.Object("callers",
                [&](gsFields& inner) { ReadCallers(inner, settings); });
  fields.Object("operators", [&](gsFields& inner) {
    settings.Operators.Listen = inner.Address("listen");
    settings.Operators.Token = inner.Text("token");
  });
  if (fields.Has("peers")) {
    fields.Object("peers",
                  [&](gsFields& inner) { ReadPeers(inner, settings); });
  }
  fields.Object("platform",
                [&](gsFields& inner) { ReadPlatform(inner, settings); });
  fields.Object("upstreams",
                [&](gsFields& inner) { ReadUpstreams(inner, settings); });
  fields.Object("queue", [&](gsFields& inner) { ReadQueue(inner, settings); });
  fields.Object("membership",
                [&](gsFields& inner) { ReadMembership(inner, settings); });
  fields.Object("retry", [&](gsFields& inner) {
    settings.Retry.Share =
      inner.Number("share", ShareRange, settings.Retry.Share);
    settings.Retry.Burst =
      inner.Number("burst", { 0, 10'000 }, settings.Retry.Burst);
    settings.Retry.BurstOfAll =
      inner.Number("burst_of_all", { 0, 1'000'000 }, 0);
  });
  fields.Object("placement",
                [&](gsFields& inner) { ReadPlacement(inner, settings); });
  fields.Object("routing", [&](gsFields& inner) {
    auto& routing = settings.Routing;
    routing.Leaving = inner.Millis("leaving_ms", PeriodRange, routing.Leaving);
    routing.WatchWait =
      inner.Millis("watch_wait_ms", PeriodRange, routing.Leaving);
    routing.Silence = inner.Millis("silence_ms", PeriodRange, routing.Silence);
    routing.LoadPeriod =
      inner.Millis("load_period_ms", PeriodRange, routing.LoadPeriod);
    routing.RetryAfter =
      inner.Millis("retry_after_ms", PeriodRange, routing.RetryAfter);
    routing.FirstStart = inner.Flag("first_start", routing.FirstStart);
    routing.Regions = inner.TextMap("regions");
  });
  fields.Object("duties",
                [&](gsFields& inner) { ReadDuties(inner, settings); });
  fields.Object("scaling",
                [&](gsFields& inner) { ReadScaling(inner, settings); });
  fields.Object("stop", [&](gsFields& inner) {
    settings.Stop.Unready =
      inner.Millis("unready_ms", LongRange, settings.Stop.Unready);
    settings.Stop.Longest =
      inner.Millis("longest_ms", LongRange, settings.Stop.Longest);
    settings.Stop.Margin =
      inner.Millis("margin_ms", LongRange, settings.Stop.Margin);
  });
  fields.Object("configuration", [&](gsFields& inner) {
    settings.Replica.PollPeriod =
      inner.Millis("poll_ms", PeriodRange, settings.Replica.PollPeriod);
    settings.Replica.PlatformPatience = inner.Millis(
      "platform_patience_ms", LongRange, settings.Replica.PlatformPatience);
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
  gsFields fields(json.value(), std::string(source), "");
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
