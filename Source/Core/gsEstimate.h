/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Estimates of how many tokens a request will generate and how long it will
 * hold a slot. Output lengths are not known in advance, so the estimates are
 * rolling means of the last requests per organisation and template. Each mean
 * covers gsRollingMean::Window samples; the number of means is bounded only by
 * the number of organisations and templates.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/rolling_mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "gsTypes.h"

/** Mean of the last Window samples. */
class gsRollingMean
{
public:
  void Add(double value);
  /** The mean, or the fallback if there are no samples. */
  double Value(double fallback) const;
  std::uint64_t Count() const { return this->SampleCount; }

private:
  static constexpr int Window = 64;
  boost::accumulators::accumulator_set<
    double, boost::accumulators::stats<boost::accumulators::tag::rolling_mean>>
    Accumulator{ boost::accumulators::tag::rolling_window::window_size =
                   Window };
  std::uint64_t SampleCount = 0;
};

/** Estimates of one pool. */
struct gsEstimates
{
  /** Generated tokens by organisation and template. */
  std::map<std::pair<std::string, std::string>, gsRollingMean> Tokens;
  /** Generated tokens by template, for organisations without samples. */
  std::map<std::string, gsRollingMean, std::less<>> TemplateTokens;
  /** Seconds for which a slot is held, over all templates. */
  gsRollingMean HoldSeconds;
  /** Seconds for which a slot is held, by template. */
  std::map<std::string, gsRollingMean, std::less<>> TemplateHoldSeconds;
};

/** Expected total tokens of a request: prompt plus estimated output. */
double gsEstimateTokens(gsEstimates const& estimates,
                        std::string const& organisation,
                        std::string const& templateName,
                        std::uint32_t promptTokens);

/** Adds the measured output tokens and slot hold time of a completed request
 * to the estimates. */
void gsUpdateEstimates(gsEstimates& estimates, std::string const& organisation,
                       std::string const& templateName, double tokens,
                       gsTime holdTime);
