/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsMemoryBudget.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace {

/** Share of the budget above which large bodies are refused. */
constexpr double BodyShare = 0.8;
/** Share of the budget up to which several parts of a stream may wait. The
 * rest holds one part of each stream that waits, however many streams there
 * are. */
constexpr double StreamShare = 0.5;
/** Part of what is left below StreamShare that one stream may use. */
constexpr std::uint64_t StreamDivisor = 64;
/** Share of the machine's memory that is used on purpose. */
constexpr double UsableShare = 0.9;
/** Memory of a process that serves nobody. */
constexpr std::uint64_t ProcessBytes = 32U << 20U;
/** Part of StalledTimeout within which a reader counts as steady. */
constexpr int SteadyDivisor = 3;

std::uint64_t ShareOfLimit(gsMemorySettings const& settings, double share)
{
  return static_cast<std::uint64_t>(
    share * static_cast<double>(gsMemoryLimit(settings)));
}

/** Rank of an answer among those to be ended; the lowest first. */
std::tuple<bool, bool, std::uint64_t> EndingOrder(
  gsIncomingAnswer const& answer)
{
  return { !answer.IsEvent, answer.StatesLength, ~answer.Bytes };
}

} // namespace

char const* gsMemoryCauseName(gsMemoryCause cause)
{
  return cause == gsMemoryCause::Stalled ? "stalled" : "over_budget";
}

std::uint64_t gsMemoryLimit(gsMemorySettings const& settings)
{
  return static_cast<std::uint64_t>(settings.BuffersShare *
                                    static_cast<double>(settings.TotalBytes));
}

std::uint64_t gsConnectionMemory(gsMemorySettings const& settings)
{
  auto usable = static_cast<std::uint64_t>(
    UsableShare * static_cast<double>(settings.TotalBytes));
  return usable - std::min(usable, ProcessBytes);
}

bool gsAcceptsBody(gsMemorySettings const& settings, gsMemoryUse const& use,
                   std::uint64_t bytes)
{
  if (bytes <= gsSmallBodyBytes) {
    return true;
  }
  std::uint64_t committed = use.Total() + 2 * use.Expected;
  return committed <= ShareOfLimit(settings, BodyShare) &&
         committed + 2 * bytes <= gsMemoryLimit(settings);
}

std::uint64_t gsStreamLimit(gsMemorySettings const& settings,
                            gsMemoryUse const& use)
{
  std::uint64_t limit = ShareOfLimit(settings, StreamShare);
  std::uint64_t left = limit - std::min(limit, use.Total());
  return std::min(left / StreamDivisor, gsMaxStreamBytes);
}

std::vector<std::size_t> gsSelectIncoming(
  gsMemorySettings const& settings, gsMemoryUse const& use,
  std::vector<gsIncomingAnswer> const& answers)
{
  std::vector<std::size_t> selected;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    if (answers[i].Bytes > gsSmallAnswerBytes) {
      selected.push_back(i);
    }
  }
  std::stable_sort(selected.begin(), selected.end(),
                   [&answers](std::size_t a, std::size_t b) {
                     return EndingOrder(answers[a]) < EndingOrder(answers[b]);
                   });
  std::uint64_t limit = gsMemoryLimit(settings);
  std::uint64_t held = use.Total();
  std::size_t count = 0;
  while (held > limit && count + 1 < selected.size()) {
    held -= std::min(held, answers[selected[count]].Bytes);
    ++count;
  }
  selected.resize(std::min(count, selected.size()));
  return selected;
}

std::vector<gsMemoryEnding> gsSelectStalled(
  gsMemorySettings const& settings, gsMemoryUse const& use,
  std::vector<gsMemoryReader> const& readers, gsTime idleTimeout, gsTime now)
{
  std::vector<std::size_t> order(readers.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&readers](std::size_t a, std::size_t b) {
                     return readers[a].TakenAt < readers[b].TakenAt;
                   });
  std::uint64_t limit = gsMemoryLimit(settings);
  std::uint64_t bodyLimit = ShareOfLimit(settings, BodyShare);
  std::uint64_t held = use.Total();
  std::vector<gsMemoryEnding> endings;
  for (std::size_t index : order) {
    gsTime waited = now - readers[index].TakenAt;
    bool isIdle = waited >= idleTimeout;
    bool isInTheWay =
      (held > bodyLimit && waited >= settings.StalledTimeout) ||
      (held > limit && waited >= settings.StalledTimeout / SteadyDivisor);
    if (!isIdle && !isInTheWay) {
      break; // Those that follow have waited less.
    }
    endings.push_back(
      { index, isIdle ? gsMemoryCause::Stalled : gsMemoryCause::OverBudget });
    held -= std::min(held, readers[index].Bytes);
  }
  return endings;
}
