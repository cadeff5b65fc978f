/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsEstimate.h"

namespace {

/** Output tokens assumed if there are no samples. */
constexpr double DefaultTokens = 128;

} // namespace

void gsRollingMean::Add(double value)
{
  this->Accumulator(value);
  ++this->SampleCount;
}

double gsRollingMean::Value(double fallback) const
{
  if (this->SampleCount == 0) {
    return fallback;
  }
  return boost::accumulators::rolling_mean(this->Accumulator);
}

double gsEstimateTokens(gsEstimates const& estimates,
                        std::string const& organisation,
                        std::string const& templateName,
                        std::uint32_t promptTokens)
{
  auto exact = estimates.Tokens.find({ organisation, templateName });
  if (exact != estimates.Tokens.end()) {
    return promptTokens + exact->second.Value(DefaultTokens);
  }
  auto general = estimates.TemplateTokens.find(templateName);
  if (general != estimates.TemplateTokens.end()) {
    return promptTokens + general->second.Value(DefaultTokens);
  }
  return promptTokens + DefaultTokens;
}

void gsUpdateEstimates(gsEstimates& estimates, std::string const& organisation,
                       std::string const& templateName, double tokens,
                       gsTime holdTime)
{
  estimates.Tokens[{ organisation, templateName }].Add(tokens);
  estimates.TemplateTokens[templateName].Add(tokens);
  estimates.HoldSeconds.Add(gsToSeconds(holdTime));
  estimates.TemplateHoldSeconds[templateName].Add(gsToSeconds(holdTime));
}
