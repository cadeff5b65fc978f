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
/** Shares of it above which callers that do not come on are ended, and large
 * and small bodies are refused. */
constexpr double ShortageShare = 0.75;
constexpr double LargeBodyShare = 0.85;
constexpr double SmallBodyShare = 0.95;
/** Memory of a process that serves nobody. */
constexpr std::uint64_t ProcessBytes = 32U << 20U;
/** Memory of a request that is handled, its connection and that to the
 * upstream, beside the bytes that are counted. */
constexpr std::uint64_t RequestBytes = 64U << 10U;
/** Requests that are handled at once whatever the budget leaves. */
constexpr std::size_t MinRequests = 64;
/** Part of StalledTimeout within which a reader counts as steady. */
constexpr int SteadyDivisor = 3;

std::uint64_t ShareOfLimit(gsMemorySettings const& settings, double share)
{
  return static_cast<std::uint64_t>(
    share * static_cast<double>(gsMemoryLimit(settings)));
}

std::uint64_t ShareOfMachine(gsMemorySettings const& settings, double share)
{
  return static_cast<std::uint64_t>(share *
                                    static_cast<double>(settings.TotalBytes));
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
  std::uint64_t usable = ShareOfMachine(settings, UsableShare);
  return usable - std::min(usable, ProcessBytes);
}

bool gsAcceptsBody(gsMemorySettings const& settings, gsMemoryUse const& use,
                   std::uint64_t bytes)
{
  bool isSmall = bytes <= gsSmallBodyBytes;
  std::uint64_t resident = use.Resident + 2 * bytes;
  if (resident >
      ShareOfMachine(settings, isSmall ? SmallBodyShare : LargeBodyShare)) {
    return false;
  }
  if (isSmall) {
    return use.Bodies + use.Uploads + bytes <= gsMemoryLimit(settings);
  }
  std::uint64_t committed = use.Total() + 2 * use.Expected;
  return committed <= ShareOfLimit(settings, BodyShare) &&
         committed + 2 * bytes <= gsMemoryLimit(settings);
}

bool gsAcceptsRequest(gsMemorySettings const& settings, gsMemoryUse const& use)
{
  std::uint64_t most = ShareOfMachine(settings, SmallBodyShare);
  std::uint64_t requests = (use.Requests + 1) * RequestBytes;
  bool fits = ProcessBytes + gsMemoryLimit(settings) + requests <= most;
  return use.Resident <= most && (fits || use.Requests < MinRequests);
}

gsMemoryShortage gsFindMemoryShortage(gsMemorySettings const& settings,
                                      std::uint64_t resident)
{
  std::uint64_t most = ShareOfMachine(settings, ShortageShare);
  return { resident - std::min(resident, most),
           resident > ShareOfMachine(settings, LargeBodyShare) };
}

std::uint64_t gsStreamLimit(gsMemorySettings const& settings,
                            gsMemoryUse const& use)
{
  std::uint64_t limit = ShareOfLimit(settings, StreamShare);
  std::uint64_t machine = ShareOfMachine(settings, ShortageShare);
  std::uint64_t left = std::min(limit - std::min(limit, use.Total()),
                                machine - std::min(machine, use.Resident));
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
  gsMemoryShortage shortage = gsFindMemoryShortage(settings, use.Resident);
  std::vector<gsMemoryEnding> endings;
  for (std::size_t index : order) {
    gsTime waited = now - readers[index].TakenAt;
    bool isIdle = waited >= idleTimeout;
    bool isScarce = held > bodyLimit || shortage.Bytes > 0;
    bool isExceeded =
      held > limit || (shortage.Bytes > 0 && shortage.IsSevere);
    bool isInTheWay =
      (isScarce && waited >= settings.StalledTimeout) ||
      (isExceeded && waited >= settings.StalledTimeout / SteadyDivisor);
    if (!isIdle && !isInTheWay) {
      break; // Those that follow have waited less.
    }
    endings.push_back(
      { index, isIdle ? gsMemoryCause::Stalled : gsMemoryCause::OverBudget });
    held -= std::min(held, readers[index].Bytes);
    shortage.Bytes -=
      std::min(shortage.Bytes, readers[index].Bytes + RequestBytes);
  }
  return endings;
}
