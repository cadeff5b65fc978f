/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsTrace.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "gsEngineModel.h"

namespace {

/** How a class of a shape behaves. */
struct ClassShape
{
  char const* Name;
  double Share; ///< Of the demanded tokens.
  double Prompt;
  double Tokens; ///< Median; lengths are log-normal.
  double Spread;
  bool Stream;
};

std::vector<ClassShape> ShapesOf(gsTraceShape shape)
{
  if (shape == gsTraceShape::ContestWeekend) {
    return { { "lookup", 0.15, 300, 40, 0.4, true },
             { "review", 0.65, 2000, 300, 0.7, true },
             { "tag", 0.2, 200, 12, 0.3, false } };
  }
  return { { "caption", 0.15, 400, 50, 0.4, true },
           { "tribute", 0.65, 2500, 400, 0.6, true },
           { "tag", 0.2, 300, 10, 0.3, false } };
}

/** Demand over time: calm, a steep burst, calm again. */
double Intensity(double part, double load)
{
  constexpr double calm = 0.6;
  constexpr double rise = 0.25;
  constexpr double fall = 0.75;
  return part > rise && part < fall ? load : calm;
}

std::string DrawOrganisation(gsRandom& random)
{
  // A few are large.
  std::discrete_distribution<int> sizes{ 30, 20, 15, 10, 5, 5, 5, 4, 3, 3 };
  return "org" + std::to_string(sizes(random));
}

} // namespace

gsTrace gsTraceSetting(gsTraceShape shape)
{
  gsTrace trace;
  gsTime target = gsMilliseconds(490);
  gsTime gap = gsMilliseconds(70);
  if (shape == gsTraceShape::ContestWeekend) {
    trace.Name = "contest-weekend";
    trace.Classes = {
      { "lookup", 0, target, gap, gsSeconds(5), true },
      { "review", 1, gsSeconds(5), gsMilliseconds(100), gsSeconds(60), true },
      { "tag", 2, gsSeconds(10), gsMilliseconds(200), gsSeconds(30), true }
    };
    return trace;
  }
  trace.Name = "print-deadline";
  trace.Engines = 4;
  trace.Classes = {
    { "caption", 0, target, gap, gsSeconds(5), true },
    { "tribute", 1, gsSeconds(5), gsMilliseconds(100), gsSeconds(60), false },
    { "tag", 2, gsSeconds(10), gsMilliseconds(200), gsSeconds(30), true }
  };
  return trace;
}

gsTrace gsDrawTrace(gsTraceShape shape, gsTime length, double load,
                    std::uint64_t seed)
{
  gsTrace trace = gsTraceSetting(shape);
  gsRandom random(seed);
  double capacity =
    gsEngineCapacity() * static_cast<double>(trace.Engines); // Tokens a s.
  for (ClassShape const& one : ShapesOf(shape)) {
    double mean = one.Tokens * std::exp(one.Spread * one.Spread / 2);
    std::lognormal_distribution<double> tokens(std::log(one.Tokens),
                                               one.Spread);
    std::poisson_distribution<std::uint64_t> context(6);
    double seconds = 0;
    double total = gsToSeconds(length);
    while (seconds < total) {
      double rate =
        capacity * one.Share * Intensity(seconds / total, load) / mean;
      std::exponential_distribution<double> gap(rate);
      seconds += gap(random);
      gsTraceRequest request;
      request.At =
        std::chrono::duration_cast<gsMilliseconds>(gsFromSeconds(seconds));
      request.Organisation = DrawOrganisation(random);
      request.Class = one.Name;
      request.PromptTokens = static_cast<std::uint32_t>(one.Prompt);
      request.Tokens =
        1 + static_cast<std::uint32_t>(std::min(tokens(random), 4000.0));
      request.Context =
        1 + std::hash<std::string>()(request.Organisation) % 100 * 100 +
        context(random);
      request.Stream = one.Stream;
      trace.Requests.push_back(request);
    }
  }
  std::sort(trace.Requests.begin(), trace.Requests.end(),
            [](gsTraceRequest const& a, gsTraceRequest const& b) {
              return a.At < b.At;
            });
  auto at = [&](double part) {
    return std::chrono::duration_cast<gsMilliseconds>(
      gsFromSeconds(part * gsToSeconds(length)));
  };
  trace.Faults = { { at(0.35), 0, 0.3 },
                   { at(0.45), 1, 0 },
                   { at(0.55), 0, 1 },
                   { at(0.6), 1, 1 } };
  return trace;
}

std::string gsTraceToText(gsTrace const& trace)
{
  std::ostringstream text;
  for (gsTraceFault const& fault : trace.Faults) {
    text << "engine," << fault.At.count() / 1000 << ',' << fault.Engine << ','
         << fault.Speed << '\n';
  }
  for (gsTraceRequest const& row : trace.Requests) {
    text << "request," << row.At.count() / 1000 << ',' << row.Organisation
         << ',' << row.Class << ',' << row.PromptTokens << ',' << row.Tokens
         << ',' << row.Context << ',' << row.Stream << '\n';
  }
  return text.str();
}

gsResult<gsTrace> gsTraceFromText(gsTrace setting, std::string_view text)
{
  std::istringstream lines{ std::string(text) };
  std::string line;
  int number = 0;
  while (std::getline(lines, line)) {
    ++number;
    std::vector<std::string> cells;
    std::istringstream row(line);
    for (std::string cell; std::getline(row, cell, ',');) {
      cells.push_back(cell);
    }
    if (cells.size() == 8 && cells[0] == "request") {
      gsTraceRequest request;
      request.At = gsMilliseconds(std::stoll(cells[1]));
      request.Organisation = cells[2];
      request.Class = cells[3];
      request.PromptTokens = static_cast<std::uint32_t>(std::stoul(cells[4]));
      request.Tokens = static_cast<std::uint32_t>(std::stoul(cells[5]));
      request.Context = std::stoull(cells[6]);
      request.Stream = cells[7] == "1";
      setting.Requests.push_back(std::move(request));
    } else if (cells.size() == 4 && cells[0] == "engine") {
      setting.Faults.push_back({ gsMilliseconds(std::stoll(cells[1])),
                                 std::stoul(cells[2]), std::stod(cells[3]) });
    } else {
      return gsError{ "bad_trace",
                      "Line " + std::to_string(number) +
                        " is neither a request nor an engine.",
                      "read", setting.Name };
    }
  }
  return setting;
}
