/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Metrics of one daemon, written as Prometheus text. Boost.Accumulators
 * estimates quantiles in windows of one minute; the previous window is
 * reported until the current one has 100 samples.
 */
#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "gsTypes.h"

enum class gsMetricKind
{
  Counter,
  Gauge,
  Summary
};

/** A metric that the daemon may write. */
struct gsMetricInfo
{
  char const* Name;
  gsMetricKind Kind;
  char const* Help;
};

/** All defined metrics; docs/OPERATIONS.md lists the same. */
std::vector<gsMetricInfo> const& gsMetricList();

/** Formats labels as name="value",... */
std::string gsLabels(
  std::vector<std::pair<char const*, std::string_view>> const& labels);

/** The current values of all metrics. */
class gsMetrics
{
public:
  /** Increases a counter. */
  void Increment(char const* name, std::string const& labels = {},
                 double by = 1);
  /** Sets a gauge, or a counter that is maintained elsewhere. */
  void Set(char const* name, std::string const& labels, double value);
  /** Adds a duration to a summary, which is written in seconds. */
  void Observe(char const* name, std::string const& labels, gsTime value,
               gsTime now);
  /** Removes all values of a gauge, for example to drop removed upstreams. */
  void RemoveValues(char const* name);
  /** All metrics in the Prometheus text format. */
  std::string ToPrometheusText() const;

private:
  static constexpr std::array<double, 3> Quantiles{ 0.5, 0.95, 0.99 };
  using QuantileSet = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;

  /** Quantiles of the current and the previous window; totals of all time. */
  struct Summary
  {
    std::unique_ptr<QuantileSet> Current;
    std::unique_ptr<QuantileSet> Previous;
    gsTime StartedAt{}; ///< Start of the current window.
    double Sum = 0;
    std::uint64_t Count = 0;
  };

  /** Counters and gauges by name and labels. */
  std::map<std::string, std::map<std::string, double>> Values;
  /** Summaries by name and labels. */
  std::map<std::string, std::map<std::string, Summary>> Summaries;
};
