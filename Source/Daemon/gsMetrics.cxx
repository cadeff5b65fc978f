/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsMetrics.h"

#include <cstdio>

namespace {

/** Length of a window of a summary. */
constexpr gsTime SummaryWindow = gsSeconds(60);
/** With fewer samples in the current window the previous one is reported. */
constexpr std::size_t MinSamples = 100;

std::string FormatNumber(double value)
{
  char buffer[40];
  std::snprintf(buffer, sizeof(buffer), "%.9g", value);
  return buffer;
}

void AppendLine(std::string& text, char const* name, char const* suffix,
                std::string const& labels, double value)
{
  text += name;
  text += suffix;
  if (!labels.empty()) {
    text += '{' + labels + '}';
  }
  text += ' ' + FormatNumber(value) + '\n';
}

char const* KindName(gsMetricKind kind)
{
  switch (kind) {
    case gsMetricKind::Counter:
      return "counter";
    case gsMetricKind::Gauge:
      return "gauge";
    case gsMetricKind::Summary:
      break;
  }
  return "summary";
}

} // namespace

std::vector<gsMetricInfo> const& gsMetricList()
{
  static std::vector<gsMetricInfo> const list{
    { "gradescale_requests_total", gsMetricKind::Counter,
      "Requests that ended, by class and result." },
    { "gradescale_in_target_total", gsMetricKind::Counter,
      "Whole answers whose first token and token gap were in target." },
    { "gradescale_first_token_seconds", gsMetricKind::Summary,
      "Time from a request's arrival to its first token." },
    { "gradescale_predicted_first_token_seconds", gsMetricKind::Summary,
      "Predicted time from the choice of an upstream to the first token, of "
      "requests that got it; routed mode." },
    { "gradescale_answer_seconds", gsMetricKind::Summary,
      "Time from a request's arrival to its whole answer; routed mode." },
    { "gradescale_overload_pressure", gsMetricKind::Gauge,
      "Demand for a service divided by the capacity of its engines." },
    { "gradescale_overload_admitted_share", gsMetricKind::Gauge,
      "Admitted share of a service's requests, by tier." },
    { "gradescale_overload_waiting", gsMetricKind::Gauge,
      "Requests that wait on this host for an engine, by service and tier." },
    { "gradescale_overload_waiting_bytes", gsMetricKind::Gauge,
      "Bytes of the bodies of requests that wait on this host." },
    { "gradescale_overload_refusals_total", gsMetricKind::Counter,
      "Requests refused under overload, by service, tier and cause." },
    { "gradescale_platform_calls_total", gsMetricKind::Counter,
      "Calls to the platform's tables; routed mode." },
    { "gradescale_table_differences_total", gsMetricKind::Counter,
      "Times that rows differed from another host's; routed mode." },
    { "gradescale_table_counts_unreadable_total", gsMetricKind::Counter,
      "Hosts' headers refused for unreadable row counts; routed mode." },
    { "gradescale_rows_unreadable_total", gsMetricKind::Counter,
      "Rows that named no upstream when they were read; routed mode." },
    { "gradescale_lease_held", gsMetricKind::Gauge,
      "Whether this host does the duties of one host; routed mode." },
    { "gradescale_lease_taken_total", gsMetricKind::Counter,
      "Times that it became the one that does them; routed mode." },
    { "gradescale_duty_calls_total", gsMetricKind::Counter,
      "Calls for the lease and on duties; routed mode." },
    { "gradescale_usage_reports_total", gsMetricKind::Counter,
      "Reports of usage by outcome, on the holder; routed mode." },
    { "gradescale_orders_total", gsMetricKind::Counter,
      "Orders of upstreams by outcome, on the holder; routed mode." },
    { "gradescale_upstream_connections_total", gsMetricKind::Counter,
      "Connections opened to upstreams and the platform; routed mode." },
    { "gradescale_wait_seconds", gsMetricKind::Summary,
      "Time from a request's arrival to its grant." },
    { "gradescale_tokens_total", gsMetricKind::Counter,
      "Tokens relayed, by class and use: good or wasted." },
    { "gradescale_refusals_total", gsMetricKind::Counter,
      "Requests refused, by tier and cause." },
    { "gradescale_retries_total", gsMetricKind::Counter,
      "Attempts after the first, by whether the last may have run." },
    { "gradescale_claims_total", gsMetricKind::Counter,
      "Decisions on idempotency keys, by result." },
    { "gradescale_memory_bytes", gsMetricKind::Gauge,
      "Bytes held for callers and upstreams, by kind; routed mode." },
    { "gradescale_memory_limit_bytes", gsMetricKind::Gauge,
      "Bytes that may be held for callers and upstreams; routed mode." },
    { "gradescale_memory_resident_bytes", gsMetricKind::Gauge,
      "Resident memory of the process, with what no other gauge counts; "
      "routed mode." },
    { "gradescale_memory_peak_bytes", gsMetricKind::Gauge,
      "Most bytes held since the start; routed mode." },
    { "gradescale_memory_peak_kind_bytes", gsMetricKind::Gauge,
      "Most bytes held of each kind since the start; routed mode." },
    { "gradescale_answers_ended_total", gsMetricKind::Counter,
      "Answers of upstreams ended over a limit, by part and cause; routed "
      "mode." },
    { "gradescale_foreign_answers_total", gsMetricKind::Counter,
      "Answers that belong to another request, by whether the connection had "
      "carried requests before and whether another host sent it; routed "
      "mode." },
    { "gradescale_malformed_answers_total", gsMetricKind::Counter,
      "Answers that are no HTTP, by the rule that they break and whether "
      "another host sent them; routed mode." },
    { "gradescale_paused_streams", gsMetricKind::Gauge,
      "Answers not read on, since their callers do not read; routed mode." },
    { "gradescale_memory_refusals_total", gsMetricKind::Counter,
      "Requests refused for lack of memory for their bodies; routed mode." },
    { "gradescale_memory_ended_total", gsMetricKind::Counter,
      "Callers and upstreams ended that took nothing, by cause; routed "
      "mode." },
    { "gradescale_connections", gsMetricKind::Gauge,
      "Connections at all HTTP listeners; routed mode." },
    { "gradescale_connections_shed_total", gsMetricKind::Counter,
      "Connections closed for lack of memory or of connections, by what they "
      "waited for; routed mode." },
    { "gradescale_open_requests", gsMetricKind::Gauge,
      "Requests that this host holds." },
    { "gradescale_queue", gsMetricKind::Gauge,
      "Requests waiting in pools dispatched here, by pool and tier." },
    { "gradescale_upstream_running", gsMetricKind::Gauge,
      "Requests running by grants of this host, by upstream." },
    { "gradescale_upstream_limit", gsMetricKind::Gauge,
      "Limit of concurrent requests, by upstream." },
    { "gradescale_upstream_healthy", gsMetricKind::Gauge,
      "1 while the upstream may get work, else 0." },
    { "gradescale_members", gsMetricKind::Gauge,
      "Hosts as this host knows them, by state." },
    { "gradescale_system_hosts", gsMetricKind::Gauge,
      "Hosts of all halls that are up, as far as is known; routed mode." },
    { "gradescale_hall_hosts", gsMetricKind::Gauge,
      "Hosts of this hall that are up, as far as is known; routed mode." },
    { "gradescale_coordinates", gsMetricKind::Gauge,
      "1 while this host coordinates its hall, else 0; routed mode." },
    { "gradescale_peers_refused_total", gsMetricKind::Counter,
      "Links refused to hosts of other clusters; routed mode." },
    { "gradescale_peer_links", gsMetricKind::Gauge,
      "Links to other hosts; routed mode." },
    { "gradescale_config_version", gsMetricKind::Gauge,
      "Configuration version in force." },
    { "gradescale_platform_errors_total", gsMetricKind::Counter,
      "Operations that the platform did not answer." },
    { "gradescale_peer_bytes_total", gsMetricKind::Counter,
      "Bytes of frames to and from other hosts, by direction." },
    { "gradescale_peer_table_bytes_total", gsMetricKind::Counter,
      "Bytes sent to other hosts that were updates of the platform's tables; "
      "routed mode." },
    { "gradescale_peer_backlog_bytes", gsMetricKind::Gauge,
      "Bytes that wait for links to other hosts, by kind; routed mode." },
    { "gradescale_peer_backlog_seconds", gsMetricKind::Gauge,
      "Age of the oldest write to another host that is under way; routed "
      "mode." },
    { "gradescale_crash_reports_total", gsMetricKind::Counter,
      "Attempts that broke off at an upstream." },
    { "gradescale_forwarded_total", gsMetricKind::Counter,
      "Requests forwarded to other hosts, by direction and result; routed "
      "mode." },
    { "gradescale_rate_limit", gsMetricKind::Gauge,
      "Requests a second that an upstream takes from all hosts; routed "
      "mode." },
    { "gradescale_rate_tokens_total", gsMetricKind::Counter,
      "Tokens of rate limits by upstream and use; routed mode." },
    { "gradescale_shared_slots", gsMetricKind::Gauge,
      "Tokens of shared slots by upstream and use, now; routed mode." },
    { "gradescale_shared_slots_total", gsMetricKind::Counter,
      "Tokens of shared slots by upstream and use; routed mode." },
    { "gradescale_prefix_holdings", gsMetricKind::Gauge,
      "Prompt prefixes that engines are known to hold; routed mode." },
    { "gradescale_prefix_spread_subjects", gsMetricKind::Gauge,
      "Subjects that more than one engine serves; routed mode." },
    { "gradescale_prefix_additions_total", gsMetricKind::Counter,
      "Engines that this host has let serve a subject; routed mode." },
    { "gradescale_prefix_dropped_total", gsMetricKind::Counter,
      "Prefixes that an engine was found to hold no longer; routed mode." },
    { "gradescale_prefix_reprocessed_tokens_total", gsMetricKind::Counter,
      "Estimate of shared prompt tokens processed again; routed mode." },
    { "gradescale_prefix_update_bytes_total", gsMetricKind::Counter,
      "Bytes of prefix updates, by direction; routed mode." },
    { "gradescale_quarantined_requests", gsMetricKind::Gauge,
      "Requests refused because upstreams crashed under them." },
    { "gradescale_stream_records", gsMetricKind::Gauge,
      "Streams whose software version this host has recorded; routed mode." },
    { "gradescale_table_confirmations_total", gsMetricKind::Counter,
      "Rounds of reads by which the platform's tables were confirmed; routed "
      "mode." },
    { "gradescale_streams_resumed_total", gsMetricKind::Counter,
      "Streams that callers took up again, by what their software version is "
      "taken from or why it is unknown; routed mode." },
    { "gradescale_stream_records_evicted_total", gsMetricKind::Counter,
      "Records of streams evicted above the limit; routed mode." },
    { "gradescale_engines_by_speed", gsMetricKind::Gauge,
      "Engines that were measured recently, by service and class of speed." },
    { "gradescale_engine_speed", gsMetricKind::Gauge,
      "Mean measured speed of these engines, relative to their service." },
    { "gradescale_engine_speed_changes_total", gsMetricKind::Counter,
      "Changes of the speeds of engines that decisions use." },
    { "gradescale_stalls_total", gsMetricKind::Counter,
      "Times that this process was found to have stood still." },
  };
  return list;
}

std::string gsLabels(
  std::vector<std::pair<char const*, std::string_view>> const& labels)
{
  std::string text;
  for (auto const& [name, value] : labels) {
    text += text.empty() ? "" : ",";
    text += name;
    text += "=\"";
    text += value;
    text += '"';
  }
  return text;
}

void gsMetrics::Increment(char const* name, std::string const& labels,
                          double by)
{
  this->Values[name][labels] += by;
}

void gsMetrics::Set(char const* name, std::string const& labels, double value)
{
  this->Values[name][labels] = value;
}

void gsMetrics::RemoveValues(char const* name)
{
  this->Values.erase(name);
}

void gsMetrics::Observe(char const* name, std::string const& labels,
                        gsTime value, gsTime now)
{
  Summary& summary = this->Summaries[name][labels];
  if (!summary.Current || now - summary.StartedAt > SummaryWindow) {
    summary.Previous = std::move(summary.Current);
    summary.Current = std::make_unique<QuantileSet>(
      boost::accumulators::tag::extended_p_square::probabilities = Quantiles);
    summary.StartedAt = now;
  }
  double seconds = gsToSeconds(value);
  (*summary.Current)(seconds);
  summary.Sum += seconds;
  ++summary.Count;
}

std::string gsMetrics::ToPrometheusText() const
{
  std::string text;
  for (gsMetricInfo const& info : gsMetricList()) {
    text += std::string("# HELP ") + info.Name + ' ' + info.Help + '\n';
    text +=
      std::string("# TYPE ") + info.Name + ' ' + KindName(info.Kind) + '\n';
    auto values = this->Values.find(info.Name);
    if (values != this->Values.end()) {
      for (auto const& [labels, value] : values->second) {
        AppendLine(text, info.Name, "", labels, value);
      }
    }
    auto summaries = this->Summaries.find(info.Name);
    if (summaries == this->Summaries.end()) {
      continue;
    }
    for (auto const& [labels, summary] : summaries->second) {
      bool fewSamples =
        boost::accumulators::count(*summary.Current) < MinSamples;
      QuantileSet const& set =
        fewSamples && summary.Previous ? *summary.Previous : *summary.Current;
      for (std::size_t i = 0; i < Quantiles.size(); ++i) {
        std::string quantile = labels + (labels.empty() ? "" : ",") +
                               "quantile=\"" + FormatNumber(Quantiles[i]) +
                               '"';
        AppendLine(text, info.Name, "", quantile,
                   boost::accumulators::extended_p_square(set)[i]);
      }
      AppendLine(text, info.Name, "_sum", labels, summary.Sum);
      AppendLine(text, info.Name, "_count", labels,
                 static_cast<double>(summary.Count));
    }
  }
  return text;
}
