/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsEngineModel.h"

#include <algorithm>

namespace {

constexpr std::size_t MaxBatch = 64;
constexpr double GapBase = 0.020;           ///< Seconds, at an empty batch.
constexpr double GapBatch = 16;             ///< Requests that double the gap.
constexpr double PrefillPerToken = 0.00008; ///< Seconds.
constexpr double CachedShare = 0.2;
constexpr std::size_t CacheSize = 48;
constexpr gsTime ReportLag = gsMilliseconds(1000);
constexpr double TargetGap = 0.070;

double Gap(std::size_t batch)
{
  return GapBase * (1 + static_cast<double>(batch) / GapBatch);
}

double PrefillOf(gsEngineModel& engine, gsEngineRequest const& request)
{
  auto cached =
    std::find(engine.Cache.begin(), engine.Cache.end(), request.Context);
  double share = cached == engine.Cache.end() ? 1 : CachedShare;
  if (cached != engine.Cache.end()) {
    engine.Cache.erase(cached);
  }
  engine.Cache.push_front(request.Context);
  if (engine.Cache.size() > CacheSize) {
    engine.Cache.pop_back();
  }
  return request.PromptTokens * PrefillPerToken * share;
}

} // namespace

double gsEngineCapacity()
{
  double batch = (TargetGap / GapBase - 1) * GapBatch;
  return batch / TargetGap;
}

void gsEngineTake(gsEngineModel& engine, gsEngineRequest request)
{
  engine.Waiting.push_back(request);
}

void gsEngineStep(gsEngineModel& engine, gsTime now, gsTime step,
                  gsEngineOutput& out)
{
  engine.Reports.emplace_back(now, engine.Waiting.size());
  while (engine.Reports.size() > 1 &&
         engine.Reports[1].first <= now - ReportLag) {
    engine.Reports.pop_front();
  }
  if (engine.Speed <= 0) {
    return;
  }
  while (!engine.Waiting.empty() && engine.Batch.size() < MaxBatch) {
    gsEngineRequest request = engine.Waiting.front();
    engine.Waiting.pop_front();
    request.Prefill = PrefillOf(engine, request);
    request.Started = now;
    engine.Batch.push_back(request);
    std::stable_sort(engine.Batch.begin(), engine.Batch.end(),
                     [](gsEngineRequest const& a, gsEngineRequest const& b) {
                       return a.Priority < b.Priority;
                     });
  }
  double seconds = gsToSeconds(step) * engine.Speed;
  double tokens = seconds / Gap(engine.Batch.size());
  // One prefill at a time; it does not hold up the others' tokens.
  double prefill = seconds;
  for (gsEngineRequest& request : engine.Batch) {
    if (request.Prefill > 0) {
      double part = std::min(prefill, request.Prefill);
      request.Prefill -= part;
      prefill -= part;
      continue;
    }
    double before = request.Done;
    request.Done = std::min<double>(request.Tokens, before + tokens);
    engine.Generated += request.Done - before;
    if (request.First.count() == 0 && request.Done >= 1) {
      request.First = now;
      out.First.push_back(request);
    }
  }
  auto ended = [](gsEngineRequest const& request) {
    return request.Done >= request.Tokens;
  };
  std::copy_if(engine.Batch.begin(), engine.Batch.end(),
               std::back_inserter(out.Ended), ended);
  engine.Batch.erase(
    std::remove_if(engine.Batch.begin(), engine.Batch.end(), ended),
    engine.Batch.end());
}

void gsEngineSpeed(gsEngineModel& engine, double speed, gsEngineOutput& out)
{
  engine.Speed = speed;
  if (speed > 0) {
    return;
  }
  out.Lost.insert(out.Lost.end(), engine.Batch.begin(), engine.Batch.end());
  out.Lost.insert(out.Lost.end(), engine.Waiting.begin(),
                  engine.Waiting.end());
  engine.Batch.clear();
  engine.Waiting.clear();
  engine.Cache.clear();
}

std::uint32_t gsEngineReport(gsEngineModel const& engine, gsTime now)
{
  static_cast<void>(now);
  return engine.Reports.empty() ? 0 : engine.Reports.front().second;
}
