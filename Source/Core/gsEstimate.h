/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Estimates of how many tokens a request will generate and how long it will
 * hold a slot. Lengths cannot be known in advance; these are streaming
 * statistics for each organisation and template, over recent work only.
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

/** A mean over the last samples. */
class gsRollingMean
{
public:
  void Add(double value);
  /** The mean, or the fallback while there is no sample. */
  double Value(double fallback) const;
  std::uint64_t Count() const { return this->Samples; }

private:
  static constexpr int Window = 64;
  boost::accumulators::accumulator_set<
    double, boost::accumulators::stats<boost::accumulators::tag::rolling_mean>>
    Set{ boost::accumulators::tag::rolling_window::window_size = Window };
  std::uint64_t Samples = 0;
};

/** Estimates of one pool. */
struct gsEstimates
{
  /** Tokens by organisation and template. */
  std::map<std::pair<std::string, std::string>, gsRollingMean> Tokens;
  /** Tokens by template, for organisations not seen yet. */
  std::map<std::string, gsRollingMean, std::less<>> TemplateTokens;
  /** Seconds a slot is held, over all classes. */
  gsRollingMean Hold;
  /** Seconds a slot is held, by template. */
  std::map<std::string, gsRollingMean, std::less<>> TemplateHold;
};

/** Expected tokens of a request: prompt plus expected output. */
double gsEstimateTokens(gsEstimates const& estimates,
                        std::string const& organisation,
                        std::string const& templateName,
                        std::uint32_t promptTokens);

/** Takes the measurement of an ended request in. */
void gsLearn(gsEstimates& estimates, std::string const& organisation,
             std::string const& templateName, double tokens, gsTime hold);
