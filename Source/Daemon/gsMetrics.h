/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Metrics of one daemon, written as Prometheus text. Distributions are kept
 * by Boost.Accumulators over the last one or two minutes.
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

/** All metrics that there are; docs/OPERATIONS.md lists the same. */
std::vector<gsMetricInfo> const& gsMetricList();

/** Label pairs, already written as name="value",... */
std::string gsLabels(
  std::vector<std::pair<char const*, std::string_view>> const& labels);

/** The values. */
class gsMetrics
{
public:
  void Count(char const* name, std::string const& labels = {}, double by = 1);
  void Set(char const* name, std::string const& labels, double value);
  void Observe(char const* name, std::string const& labels, gsTime value,
               gsTime now);
  /** Forgets a gauge, as for an upstream that is gone. */
  void Clear(char const* name);
  std::string Text() const;

private:
  static constexpr std::array<double, 3> Quantiles{ 0.5, 0.95, 0.99 };
  using QuantileSet = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;

  struct Summary
  {
    std::unique_ptr<QuantileSet> Current;
    std::unique_ptr<QuantileSet> Last;
    gsTime Since{};
    double Sum = 0;
    std::uint64_t Count = 0;
  };

  std::map<std::string, std::map<std::string, double>> Values;
  std::map<std::string, std::map<std::string, Summary>> Summaries;
};
