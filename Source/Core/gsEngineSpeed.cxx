/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsEngineSpeed.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>

namespace {

/** Number of samples stored for an engine. */
constexpr std::size_t MaxSamples = 32;
/** Minimum time between two own samples of an engine and kind, so that the
 * stored ones cover more than ConfirmationTime. */
constexpr gsTime MinOwnSampleDistance = gsMilliseconds(25);
/** Samples and reported speeds expire after this time. */
constexpr gsTime SampleLifetime = gsSeconds(10);
/** The speed is computed from the samples of this time before the newest one,
 * but from at least MinSamples, and preferably from PreferredSamples. */
constexpr gsTime SampleWindow = gsMilliseconds(500);
constexpr std::size_t MinSamples = 3;
/** Number of own samples that a reported one stands for. */
constexpr std::size_t ReportedSampleWeight = 3;
/** Number of own samples that a host needs to report one. */
constexpr std::size_t MinReportedSamples = 2;
constexpr std::size_t PreferredSamples = 5;
/**
 * Samples are ordered from fast to slow, and the one at this share counts.
 * Below one half, because a prompt that other hosts have not reported yet
 * makes a sample slower, and nothing makes it faster except jitter.
 */
constexpr double FastShare = 1.0 / 3;
/** The same share for samples without pending prompts, which are affected
 * most, and the minimum number of these. */
constexpr double IdleFastShare = 0.2;
constexpr std::size_t MinIdleSamples = 5;
/**
 * Time after which the reports of all hosts cover the time of a sample. In a
 * simulation, 20 in 100 engines of normal speed seemed slow or fast at times
 * by samples of which the pending prompts were not confirmed by later reports.
 */
constexpr gsTime ConfirmationTime = gsMilliseconds(450);
/** Share of the engines, ordered from fast to slow, at which the reference is
 * taken: the median, so that most engines have the speed 1 that is assumed
 * before the first measurement, whether the others are faster or slower. */
constexpr double ReferenceShare = 0.5;
/** Minimum number of engines that a reference is learned from, unless the
 * service has fewer: with fewer, slow engines are often in the majority. */
constexpr std::size_t MinReferenceEngines = 5;
/** The same if other hosts have reported the speeds of these engines. */
constexpr std::size_t MinKnownEngines = 3;
/** Weight of a new reference in the logarithmic mean, per refresh. */
constexpr double ReferenceSmoothing = 0.2;
/** A reference expires if no sample has confirmed it for this time. */
constexpr gsTime ReferenceLifetime = gsSeconds(60);
/** Range of valid relative samples; others are errors of measurement. */
constexpr double MinRelative = 0.05;
constexpr double MaxRelative = 3;

/**
 * Pending prompts that take an engine of speed 1 at least this long are still
 * pending although the reports on them are some tenths of a second old.
 */
constexpr double CertainPendingMillis = 500;
/** Minimum time between two reported samples of an engine. */
constexpr gsTime MinSampleDistance = gsMilliseconds(20);
/** Minimum tokens of a measured prompt. The first-event time of shorter ones
 * depends little on the speed. */
constexpr std::uint32_t MinPromptTokens = 1000;
/** Time after which this host knows of work of other hosts at an engine. */
constexpr gsTime UseKnownAfter = gsSeconds(1);

/** Bounds of the number of concurrent requests of kinds of intervals. A step
 * takes longer with more concurrent requests. */
constexpr std::array<std::uint32_t, 4> ConcurrencyBounds{ 4, 8, 16, 32 };
constexpr std::size_t IntervalKinds = ConcurrencyBounds.size() + 1;
/** Bounds of the tokens of kinds of prompts. */
constexpr std::array<std::uint32_t, 2> PromptBounds{ 4000, 16000 };
constexpr std::size_t FirstPromptKind = 2 * IntervalKinds;
static_assert(FirstPromptKind + PromptBounds.size() + 1 == gsSpeedKindCount);

/** Ratio between measured and decided speed that changes the latter. Smaller
 * differences may stem from load. */
constexpr double ChangeRatio = 1.5;
/** Ratio to 1 within which an engine becomes normal again. */
constexpr double NormalRatio = 1.2;
/** Time for which a ratio has to be measured. Disturbances of 600 ms that make
 * an engine 2.5 times slower are frequent and must not change anything. */
constexpr gsTime ChangeTime = gsSeconds(1);
/** The same for an engine that was first measured less than ChangeTime ago:
 * homes have just been chosen without knowing its speed. */
constexpr gsTime FirstChangeTime = gsMilliseconds(400);
/** Time after the first measurement in which an engine becomes normal again
 * after SlumpEndTime, as its first class may be that of a disturbance. */
constexpr gsTime FirstClassTime = gsSeconds(3);
/**
 * The mean of the measurements of MeanWindow that contradicts the decided
 * speed for MeanChangeTime, by this ratio and difference, changes it although
 * the single measurements keep within ChangeRatio. Otherwise hosts with
 * different histories would use different speeds for good. The difference is
 * over an eighth, so that a speed between two quarters does not alternate.
 */
constexpr gsTime MeanWindow = gsSeconds(5);
constexpr gsTime MeanChangeTime = gsSeconds(3);
constexpr double MeanChangeRatio = 1.15;
constexpr double MinMeanChange = 0.15;
/** Maximum time that one measurement stands for. */
constexpr gsTime MaxMeasurementGap = gsMilliseconds(300);
/** Ratio of the decided to the measured speed, and its minimum duration, that
 * suspend an engine. */
constexpr double SlumpRatio = 2.2;
constexpr gsTime SlumpTime = gsMilliseconds(700);
/** Time of normal measurements that ends a suspension. */
constexpr gsTime SlumpEndTime = gsMilliseconds(300);
/** A suspension that was shorter ends without a gradual return, as its cause
 * was a disturbance of the length of SlumpTime. */
constexpr gsTime ShortSuspension = gsMilliseconds(1500);
/** A suspended engine without measurements for this time returns gradually,
 * because only requests can show whether it has recovered. */
constexpr gsTime MaxUnmeasuredSuspension = gsSeconds(2);
/** A slowdown of this duration is considered permanent. */
constexpr gsTime MaxSuspension = gsSeconds(15);
/** Part of its share of homes that an engine regains per second. */
constexpr double ReturnSharePerSecond = 0.125;
/** Weight of a suspended engine; it is a home only if no other may be. */
constexpr double SuspendedWeight = 1.0 / 1024;
constexpr double MinDecided = 0.25;
constexpr double MaxDecided = 2;
/** Decided speeds below which an engine is slow or very slow. */
constexpr double SlowBound = 0.7;
constexpr double VerySlowBound = 0.3;

/** Quantile and relative step of the estimate of pauses under load. */
constexpr double PauseQuantile = 0.9;
constexpr double PauseStep = 0.05;
/** Minimum samples before pauses under load are used. */
constexpr std::uint32_t MinPauseSamples = 50;
/** Quantile and relative step of the estimate of the time per prompt token. A
 * low quantile: most samples include time for shared parts that were not
 * cached, or for prompts that were not yet known. */
constexpr double TokenQuantile = 0.1;
constexpr double TokenStep = 0.05;
constexpr double MinTokenMillis = 0.002;
constexpr double MaxTokenMillis = 1.0;

double Millis(gsTime time)
{
  return gsToSeconds(time) * 1e3;
}

/** The value at a share of the values in ascending order, which are
 * reordered. */
double ValueAt(std::vector<double>& values, double share)
{
  auto index =
    static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size()));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

/** Updates an estimate of a quantile with a sample. */
double UpdateQuantile(double estimate, double sample, double quantile,
                      double step)
{
  double isBelow = sample < estimate ? 1 : 0;
  return estimate * (1 + step * (quantile - isBelow));
}

template<std::size_t Size>
std::size_t BucketOf(std::array<std::uint32_t, Size> const& bounds,
                     std::uint32_t value)
{
  auto bound = std::lower_bound(bounds.begin(), bounds.end(), value);
  return static_cast<std::size_t>(bound - bounds.begin());
}

/** FastShare of samples of a kind. */
double FastShareOf(std::size_t kind)
{
  return kind < IntervalKinds ? IdleFastShare : FastShare;
}

/** Milliseconds per prompt token of an engine of speed 1. */
double TokenMillisOf(gsFleet const& fleet, std::string const& service)
{
  auto timing = fleet.EngineTimings.find(service);
  return timing == fleet.EngineTimings.end()
           ? gsEngineTiming().LoadFreeTokenMillis
           : timing->second.LoadFreeTokenMillis;
}

/** Lists a row in gsFleet::MeasuredRows. */
void ListRow(gsFleet& fleet, gsFleetRow& row)
{
  if (!row.Speed.IsListed) {
    row.Speed.IsListed = true;
    fleet.MeasuredRows.push_back(row.Hash);
  }
}

/** Whether there is an own sample of the same kind immediately before. */
bool IsDense(std::vector<gsSpeedSample> const& samples,
             gsSpeedSample const& sample)
{
  return std::any_of(samples.begin(), samples.end(),
                     [&sample](gsSpeedSample const& other) {
                       return other.IsOwn && other.Kind == sample.Kind &&
                              sample.At - other.At < MinOwnSampleDistance;
                     });
}

void AddSample(gsFleet& fleet, gsFleetRow& row, gsSpeedSample const& sample)
{
  std::vector<gsSpeedSample>& samples = row.Speed.Samples;
  if (sample.IsOwn && IsDense(samples, sample)) {
    return;
  }
  if (samples.size() >= MaxSamples) {
    samples.erase(samples.begin());
  }
  samples.push_back(sample);
  ListRow(fleet, row);
  if (sample.IsOwn) {
    gsMarkReportable(fleet, row);
  }
}

gsSpeedSample MakeSample(std::size_t kind, double millis, gsTime now)
{
  return { now, static_cast<float>(millis), static_cast<std::uint8_t>(kind),
           true, false };
}

/** Updates the estimate of pauses under load with an interval. */
void RecordPause(gsFleet& fleet, gsFleetRow const& row, gsTime interval)
{
  gsServiceSpeed& service = fleet.ServiceSpeeds[row.Listed.Service];
  double millis = Millis(interval) * row.Speed.Decided;
  double& estimate = service.PauseEstimateMillis;
  estimate = estimate <= 0
               ? millis
               : UpdateQuantile(estimate, millis, PauseQuantile, PauseStep);
  ++service.PauseSamples;
  bool hasChanged = service.PauseMillis <= 0 ||
                    estimate > ChangeRatio * service.PauseMillis ||
                    service.PauseMillis > ChangeRatio * estimate;
  if (service.PauseSamples >= MinPauseSamples && hasChanged) {
    service.PauseMillis = estimate;
  }
}

/** Shortest or longest reference of the intervals without or with pending
 * prompts; zero if none is known. */
double IntervalBound(gsServiceSpeed const& service, bool hasPrompts)
{
  double bound = 0;
  for (std::size_t i = 0; i < IntervalKinds; ++i) {
    double millis =
      service.References[hasPrompts ? IntervalKinds + i : i].Millis;
    bool isBetter = hasPrompts ? millis > bound : millis < bound;
    if (millis > 0 && (bound <= 0 || isBetter)) {
      bound = millis;
    }
  }
  return bound;
}

/**
 * Ratio of a sample to the time of an engine of speed 1; zero if it is
 * unknown. An interval that is about as short as without prompts, or clearly
 * longer than with prompts, shows the speed regardless of what was pending. Of
 * the others, only confirmed ones count.
 */
double SlownessBy(gsServiceSpeed const& service, gsSpeedSample const& sample,
                  bool isConfirmed)
{
  double millis = sample.Millis;
  if (sample.Kind < FirstPromptKind) {
    std::size_t bucket = sample.Kind % IntervalKinds;
    double idle = service.References[bucket].Millis;
    if (idle > 0 && millis <= NormalRatio * idle) {
      return millis / idle;
    }
    double busy = IntervalBound(service, true);
    if (busy > 0 && millis > ChangeRatio * busy) {
      return millis / busy;
    }
  }
  double reference = service.References[sample.Kind].Millis;
  return isConfirmed && reference > 0 ? millis / reference : 0;
}

/** Confirms the samples that are old enough, or removes them. */
void ConfirmSamples(gsFleet const& fleet, gsFleetRow& row, gsTime now)
{
  gsEngineSpeedState& state = row.Speed;
  bool isPending = gsTotalLoad(fleet, row, now).PendingPromptTokens > 0;
  (isPending ? state.PromptsSeenAt : state.NoPromptsSeenAt) = now;
  auto isRefuted = [&](gsSpeedSample& sample) {
    if (now - sample.At > SampleLifetime) {
      return true;
    }
    if (sample.IsConfirmed || now - sample.At < ConfirmationTime) {
      return false;
    }
    bool hasPrompts =
      sample.Kind >= IntervalKinds && sample.Kind < FirstPromptKind;
    sample.IsConfirmed = hasPrompts ? state.NoPromptsSeenAt < sample.At
                                    : state.PromptsSeenAt < sample.At;
    if (!sample.IsConfirmed) {
      state.ProvisionalSlumpFor = {};
    }
    return !sample.IsConfirmed;
  };
  state.Samples.erase(
    std::remove_if(state.Samples.begin(), state.Samples.end(), isRefuted),
    state.Samples.end());
}

/** Speed by this host's samples that have a reference. */
void MeasureOwn(gsServiceSpeed const& service, gsEngineSpeedState& state)
{
  state.Own = 0;
  state.IsOwnMeasured = false;
  std::size_t weight = 0;
  std::vector<double> slowness;
  std::vector<gsTime> times;
  gsTime newest{};
  std::size_t newestKind = 0;
  for (auto sample = state.Samples.rbegin(); sample != state.Samples.rend();
       ++sample) {
    double ratio = SlownessBy(service, *sample, sample->IsConfirmed);
    if (ratio <= 0) {
      continue;
    }
    newest = times.empty() ? sample->At : newest;
    newestKind = times.empty() ? sample->Kind : newestKind;
    if (times.size() >= PreferredSamples &&
        newest - sample->At > SampleWindow) {
      break;
    }
    slowness.push_back(std::clamp(ratio, 1 / MaxRelative, 1 / MinRelative));
    times.push_back(sample->At);
    weight += sample->IsOwn ? 1 : ReportedSampleWeight;
    state.IsOwnMeasured = state.IsOwnMeasured || sample->IsOwn;
  }
  bool isIdle = newestKind < IntervalKinds;
  if (weight < (isIdle ? MinIdleSamples : MinSamples)) {
    return;
  }
  state.Own = 1 / ValueAt(slowness, FastShareOf(newestKind));
  std::sort(times.begin(), times.end());
  state.OwnAt = times[times.size() / 2];
  state.OwnSpan = times.back() - times.front();
}

/**
 * Counts for how long the newest samples without pending prompts have shown a
 * sudden slowdown, before they are confirmed. A slowdown by prompts that were
 * not yet reported is refuted within ConfirmationTime, which is shorter than
 * SlumpTime.
 */
void CountProvisionalSlump(gsServiceSpeed const& service,
                           gsEngineSpeedState& state)
{
  std::vector<double> slowness;
  gsTime newest{};
  for (gsSpeedSample const& sample : state.Samples) {
    double ratio = sample.Kind < IntervalKinds && !sample.IsConfirmed
                     ? SlownessBy(service, sample, true)
                     : 0;
    if (ratio > 0) {
      slowness.push_back(ratio);
      newest = std::max(newest, sample.At);
    }
  }
  if (slowness.size() < MinSamples || newest <= state.ProvisionalAt) {
    return;
  }
  gsTime gap = std::min(newest - state.ProvisionalAt, MaxMeasurementGap);
  state.ProvisionalAt = newest;
  double speed = 1 / ValueAt(slowness, FastShare) / service.Anchor;
  bool isSlump = speed * SlumpRatio < state.Decided;
  state.ProvisionalSlumpFor =
    isSlump ? state.ProvisionalSlumpFor + gap : gsTime{};
}

/** Figures of a service's engines that a refresh collects. */
struct Collected
{
  std::vector<double> Speeds; ///< Known speeds, as measured.
  /** Times by kind, converted to speed 1. */
  std::array<std::vector<double>, gsSpeedKindCount> Times;
  /** Number of these whose engine has a speed reported by other hosts. */
  std::array<std::size_t, gsSpeedKindCount> KnownCount{};
};

void CollectTimes(gsFleetRow const& row, Collected& collected)
{
  gsEngineSpeedState const& state = row.Speed;
  if (state.SuspendedAt.count() != 0) {
    return;
  }
  std::array<std::vector<double>, gsSpeedKindCount> times;
  for (gsSpeedSample const& sample : state.Samples) {
    if (sample.IsConfirmed) {
      times[sample.Kind].push_back(sample.Millis);
    }
  }
  for (std::size_t kind = 0; kind < gsSpeedKindCount; ++kind) {
    if (!times[kind].empty()) {
      collected.Times[kind].push_back(ValueAt(times[kind], FastShareOf(kind)) *
                                      state.Decided);
      collected.KnownCount[kind] += state.Reported > 0 ? 1 : 0;
    }
  }
}

void UpdateReferences(gsServiceSpeed& service, Collected& collected,
                      std::size_t engines, gsTime now)
{
  std::size_t minEngines =
    std::clamp<std::size_t>(engines, 2, MinReferenceEngines);
  for (std::size_t kind = 0; kind < gsSpeedKindCount; ++kind) {
    gsSpeedReference& reference = service.References[kind];
    bool isKnown = reference.Millis > 0;
    if (isKnown && now - reference.LearnedAt > ReferenceLifetime) {
      reference = {};
      isKnown = false;
    }
    bool isSufficient = collected.Times[kind].size() >= minEngines ||
                        collected.KnownCount[kind] >= MinKnownEngines;
    if (!isSufficient) {
      continue;
    }
    double millis = ValueAt(collected.Times[kind], ReferenceShare);
    reference.Millis =
      isKnown ? reference.Millis *
                  std::pow(millis / reference.Millis, ReferenceSmoothing)
              : millis;
    reference.LearnedAt = now;
  }
}

/** Updates the anchor from the speeds of at least half of the engines; with
 * fewer, slow ones could be in the majority. */
void UpdateAnchor(gsServiceSpeed& service, Collected& collected,
                  std::size_t engines)
{
  bool isSufficient = collected.Speeds.size() * 2 >= engines &&
                      collected.Speeds.size() >= MinReferenceEngines;
  if (isSufficient) {
    service.Anchor = ValueAt(collected.Speeds, 1 - ReferenceShare);
  }
}

/** The newer of the speeds measured by this host and by others; zero if
 * neither is known. */
double NewestSpeed(gsEngineSpeedState const& state, gsTime& measuredAt)
{
  bool isOwn =
    state.Own > 0 && (state.Reported <= 0 || state.OwnAt >= state.ReportedAt);
  measuredAt = isOwn ? state.OwnAt : state.ReportedAt;
  return isOwn ? state.Own : state.Reported;
}

double RoundToQuarters(double speed)
{
  constexpr double quarters = 4;
  return std::clamp(std::round(speed * quarters) / quarters, MinDecided,
                    MaxDecided);
}

/** Adds a measurement's time to a counter, or resets it. */
void Count(gsTime& counter, bool applies, gsTime gap)
{
  counter = applies ? counter + gap : gsTime{};
}

bool IsNormalSpeed(double speed)
{
  return speed <= NormalRatio && speed >= 1 / NormalRatio;
}

/** Counts for how long the measured speed has contradicted the decided one. */
void CountDeviation(gsEngineSpeedState& state, gsTime gap)
{
  double ratio = state.Measured / state.Decided;
  bool deviates = ratio > ChangeRatio || ratio < 1 / ChangeRatio;
  Count(state.DeviatesFor, deviates, gap);
  state.DeviationLogSum =
    deviates ? state.DeviationLogSum + std::log(state.Measured) : 0;
  state.DeviationCount = deviates ? state.DeviationCount + 1 : 0;
  // The end of a suspension is a return to the decided speed.
  bool recovers = state.SuspendedAt.count() != 0
                    ? !deviates
                    : state.Decided != 1 && IsNormalSpeed(state.Measured);
  Count(state.RecoversFor, recovers, gap);
  Count(state.SlumpsFor, ratio < 1 / SlumpRatio, gap);
}

/** Mean of the recent measurements; of logarithms, like all means here. */
double MeanOfRecent(gsEngineSpeedState const& state)
{
  double sum = 0;
  for (gsSpeedMeasurement const& measurement : state.Recent) {
    sum += measurement.LogSpeed;
  }
  return std::exp(sum / static_cast<double>(state.Recent.size()));
}

/** The speed to decide by a mean. A normal one is 1, as by RecoversFor. */
double SpeedByMean(double mean)
{
  return IsNormalSpeed(mean) ? 1 : RoundToQuarters(mean);
}

/** Counts for how long the mean speed has contradicted the decided one. */
void CountMean(gsEngineSpeedState& state, gsTime gap)
{
  if (state.SuspendedAt.count() != 0) {
    return;
  }
  state.Recent.push_back({ state.MeasuredAt, std::log(state.Measured) });
  state.Recent.erase(
    state.Recent.begin(),
    std::find_if(state.Recent.begin(), state.Recent.end(),
                 [&state](gsSpeedMeasurement const& measurement) {
                   return state.MeasuredAt - measurement.At <= MeanWindow;
                 }));
  double mean = MeanOfRecent(state);
  double ratio = std::max(mean / state.Decided, state.Decided / mean);
  bool differs = SpeedByMean(mean) != state.Decided &&
                 ratio >= MeanChangeRatio &&
                 std::abs(mean - state.Decided) >= MinMeanChange;
  Count(state.MeanDiffersFor, differs, gap);
}

void ResetDeviation(gsEngineSpeedState& state)
{
  state.Recent.clear();
  state.MeanDiffersFor = {};
  state.DeviatesFor = {};
  state.DeviationLogSum = 0;
  state.DeviationCount = 0;
  state.RecoversFor = {};
  state.SlumpsFor = {};
  state.ProvisionalSlumpFor = {};
}

/** Sets the decided speed to the mean of the deviating measurements. */
void DecideByMeasurements(gsEngineSpeedState& state)
{
  double mean = state.DeviationCount == 0
                  ? state.Measured
                  : std::exp(state.DeviationLogSum / state.DeviationCount);
  state.Decided = RoundToQuarters(mean);
  ResetDeviation(state);
}

void BeginReturn(gsEngineSpeedState& state, gsTime now)
{
  state.SuspendedAt = {};
  state.ReturningSince = now;
  ResetDeviation(state);
}

/** Decides whether a suspension ends. */
void UpdateSuspension(gsEngineSpeedState& state, gsTime now)
{
  gsTime duration = now - state.SuspendedAt;
  if (state.RecoversFor >= SlumpEndTime) {
    if (duration < ShortSuspension) {
      state.SuspendedAt = {};
      ResetDeviation(state);
    } else {
      BeginReturn(state, now);
    }
  } else if (duration >= MaxSuspension) {
    DecideByMeasurements(state);
    BeginReturn(state, now);
  } else if (now - state.MeasuredAt >= MaxUnmeasuredSuspension) {
    BeginReturn(state, now);
  }
}

/** Takes in a new measurement. */
void AddMeasurement(gsEngineSpeedState& state, double speed, gsTime measuredAt)
{
  // The first measurement stands for the time of its samples.
  gsTime gap = std::min(state.Measured > 0 ? measuredAt - state.MeasuredAt
                                           : state.OwnSpan,
                        MaxMeasurementGap);
  state.Measured = speed;
  state.MeasuredAt = measuredAt;
  state.MeasuredFor += gap;
  CountDeviation(state, gap);
  CountMean(state, gap);
}

/** Updates the decided speed of an engine. */
void Decide(gsEngineSpeedState& state, gsTime now)
{
  if (state.SuspendedAt.count() != 0) {
    UpdateSuspension(state, now);
    return;
  }
  if (state.ReturningSince.count() != 0 &&
      gsToSeconds(now - state.ReturningSince) * ReturnSharePerSecond >=
        1 - ReturnSharePerSecond) {
    state.ReturningSince = {};
  }
  bool isNew = state.MeasuredFor < ChangeTime;
  gsTime slumpTime =
    state.ReturningSince.count() != 0 ? SlumpEndTime : SlumpTime;
  bool hasSlumped =
    state.SlumpsFor >= slumpTime || state.ProvisionalSlumpFor >= SlumpTime;
  if (!isNew && hasSlumped) {
    state.SuspendedAt = now;
    state.ReturningSince = {};
    state.RecoversFor = {};
    state.Recent.clear();
    state.MeanDiffersFor = {};
    return;
  }
  gsTime changeTime = isNew ? FirstChangeTime : ChangeTime;
  gsTime recoveryTime =
    state.MeasuredFor < FirstClassTime ? SlumpEndTime : ChangeTime;
  if (state.DeviatesFor >= changeTime) {
    DecideByMeasurements(state);
  } else if (state.RecoversFor >= recoveryTime) {
    state.Decided = 1;
    ResetDeviation(state);
  } else if (state.MeanDiffersFor >= MeanChangeTime) {
    state.Decided = SpeedByMean(MeanOfRecent(state));
    ResetDeviation(state);
  }
}

/** Whether the state differs from that of an engine without samples. */
bool IsKnown(gsEngineSpeedState const& state, gsTime now)
{
  return !state.Samples.empty() || state.Reported > 0 ||
         now - state.MeasuredAt <= SampleLifetime;
}

/** Resets what has expired; keeps whether the engine was used. */
void Expire(gsEngineSpeedState& state, gsTime now)
{
  if (state.Reported > 0 && now - state.ReportedAt > SampleLifetime) {
    state.Reported = 0;
  }
  if (state.Measured > 0 && now - state.MeasuredAt > SampleLifetime) {
    bool wasUsed = state.WasUsed;
    gsEngineSpeedState fresh;
    fresh.WasUsed = wasUsed;
    fresh.IsListed = state.IsListed;
    fresh.Samples = std::move(state.Samples);
    fresh.Reported = state.Reported;
    fresh.ReportedAt = state.ReportedAt;
    state = std::move(fresh);
  }
}

} // namespace

bool gsUsesEngineSpeed(gsFleet const& fleet)
{
  return fleet.Settings.EngineSpeed == gsFeatureMode::On;
}

double gsEngineSpeedOf(gsFleet const& fleet, gsFleetRow const& row)
{
  gsEngineSpeedState const& state = row.Speed;
  if (!gsUsesEngineSpeed(fleet)) {
    return 1;
  }
  if (state.SuspendedAt.count() == 0) {
    return state.Decided;
  }
  double slow = state.Decided / SlumpRatio;
  return state.Measured > 0 ? std::min(state.Measured, slow) : slow;
}

double gsHomeWeightOf(gsFleet const& fleet, gsFleetRow const& row, gsTime now)
{
  gsEngineSpeedState const& state = row.Speed;
  if (!gsUsesEngineSpeed(fleet)) {
    return 1;
  }
  if (state.SuspendedAt.count() != 0) {
    return SuspendedWeight;
  }
  if (state.ReturningSince.count() == 0) {
    return state.Decided;
  }
  double seconds =
    std::floor(std::max(0.0, gsToSeconds(now - state.ReturningSince)));
  return state.Decided * std::min(1.0, ReturnSharePerSecond * (1 + seconds));
}

gsSpeedClass gsSpeedClassOf(gsFleetRow const& row)
{
  double speed = row.Speed.Decided;
  if (speed >= SlowBound) {
    return gsSpeedClass::Normal;
  }
  return speed >= VerySlowBound ? gsSpeedClass::Slow : gsSpeedClass::VerySlow;
}

char const* gsSpeedStateName(gsFleetRow const& row)
{
  if (row.Speed.SuspendedAt.count() != 0) {
    return "suspended";
  }
  if (row.Speed.ReturningSince.count() != 0) {
    return "returning";
  }
  switch (gsSpeedClassOf(row)) {
    case gsSpeedClass::Slow:
      return "slow";
    case gsSpeedClass::VerySlow:
      return "very_slow";
    case gsSpeedClass::Normal:
      break;
  }
  return "normal";
}

bool gsFitsPauseTarget(gsFleet const& fleet, gsFleetRow const& row,
                       double maxIntervalMillis)
{
  if (!gsUsesEngineSpeed(fleet) || maxIntervalMillis <= 0) {
    return true;
  }
  auto service = fleet.ServiceSpeeds.find(row.Listed.Service);
  return service == fleet.ServiceSpeeds.end() ||
         service->second.PauseMillis / row.Speed.Decided <= maxIntervalMillis;
}

gsEngineActivity gsEngineActivityOf(gsFleet const& fleet,
                                    gsFleetRow const& row, gsTime now)
{
  gsEngineActivity activity;
  if (!gsIsActive(fleet.Settings.EngineSpeed)) {
    return activity;
  }
  gsOutstandingLoad work = gsTotalLoad(fleet, row, now);
  activity.OpenAttempts =
    std::min(work.OpenAttempts, std::max(1U, row.Listed.Slots));
  double millis = static_cast<double>(work.PendingPromptTokens) *
                  TokenMillisOf(fleet, row.Listed.Service);
  if (work.PendingPromptTokens > 0) {
    activity.Pending = millis >= CertainPendingMillis
                         ? gsEngineActivity::Prompts::Certain
                         : gsEngineActivity::Prompts::Some;
  }
  return activity;
}

void gsRecordStreamEvents(gsFleet& fleet, gsFleetRow& row,
                          gsEngineActivity const& before, gsTime interval,
                          std::uint64_t events, gsTime now)
{
  if (!gsIsActive(fleet.Settings.EngineSpeed) || events == 0 ||
      interval.count() <= 0) {
    return;
  }
  using Prompts = gsEngineActivity::Prompts;
  gsEngineActivity after = gsEngineActivityOf(fleet, row, now);
  if (before.Pending != Prompts::None && after.Pending != Prompts::None) {
    RecordPause(fleet, row, interval);
  }
  // With some pending prompts it is uncertain whether one was processed.
  if (before.Pending != after.Pending || after.Pending == Prompts::Some) {
    return;
  }
  std::size_t kind = BucketOf(ConcurrencyBounds, after.OpenAttempts);
  kind += after.Pending == Prompts::Certain ? IntervalKinds : 0;
  AddSample(
    fleet, row,
    MakeSample(kind, Millis(interval) / static_cast<double>(events), now));
}

gsPromptMeasurement gsBeginPromptMeasurement(gsFleet const& fleet,
                                             gsFleetRow& row,
                                             std::uint32_t tokensToRead,
                                             std::uint32_t ownTokens,
                                             gsTime now)
{
  gsPromptMeasurement prompt;
  if (!gsIsActive(fleet.Settings.EngineSpeed)) {
    return prompt;
  }
  prompt.Tokens = tokensToRead;
  prompt.OwnTokens = std::min(tokensToRead, ownTokens);
  prompt.WasAlone = gsTotalLoad(fleet, row, now).PendingPromptTokens == 0;
  bool isNew =
    row.RestartedAt.count() != 0 || now - row.ListedAt >= UseKnownAfter;
  bool isColdForCertain = !row.Speed.WasUsed && isNew;
  prompt.IsExact = isColdForCertain || tokensToRead <= ownTokens;
  row.Speed.WasUsed = true;
  return prompt;
}

void gsRecordPromptSpeed(gsFleet& fleet, gsFleetRow& row,
                         gsPromptMeasurement const& prompt,
                         gsTime timeToFirstEvent, gsTime now)
{
  bool isRelevant = gsIsActive(fleet.Settings.EngineSpeed) &&
                    prompt.WasAlone && timeToFirstEvent.count() > 0 &&
                    prompt.Tokens >= MinPromptTokens;
  bool isAlone =
    gsTotalLoad(fleet, row, now).PendingPromptTokens <= prompt.Tokens;
  if (!isRelevant || !isAlone) {
    return;
  }
  double millis = Millis(timeToFirstEvent);
  if (prompt.OwnTokens >= MinPromptTokens || prompt.IsExact) {
    std::uint32_t tokens = prompt.IsExact ? prompt.Tokens : prompt.OwnTokens;
    double& estimate =
      fleet.EngineTimings[row.Listed.Service].LoadFreeTokenMillis;
    estimate =
      std::clamp(UpdateQuantile(estimate, millis * row.Speed.Decided / tokens,
                                TokenQuantile, TokenStep),
                 MinTokenMillis, MaxTokenMillis);
  }
  if (prompt.IsExact) {
    AddSample(
      fleet, row,
      MakeSample(FirstPromptKind + BucketOf(PromptBounds, prompt.Tokens),
                 millis / prompt.Tokens, now));
  }
}

void gsApplyReportedSpeed(gsFleet& fleet, gsFleetRow& row,
                          gsReportedSpeed const& reported, gsTime now)
{
  if (!gsIsActive(fleet.Settings.EngineSpeed)) {
    return;
  }
  gsEngineSpeedState& state = row.Speed;
  state.WasUsed = true;
  if (reported.Speed > 0 && now - reported.SpeedAt <= SampleLifetime) {
    state.Reported = std::clamp(reported.Speed, MinRelative, MaxRelative);
    state.ReportedAt = reported.SpeedAt;
    ListRow(fleet, row);
  }
  // The age is rounded, so the same sample may seem to be a little newer.
  bool isNewSample =
    reported.SampleMillis > 0 && reported.SampleKind < gsSpeedKindCount &&
    reported.SampleAt > state.ReportedSampleAt + MinSampleDistance &&
    now - reported.SampleAt <= SampleLifetime;
  if (isNewSample) {
    state.ReportedSampleAt = reported.SampleAt;
    gsSpeedSample sample = MakeSample(
      reported.SampleKind, reported.SampleMillis, reported.SampleAt);
    sample.IsOwn = false;
    AddSample(fleet, row, sample);
  }
}

std::optional<gsSpeedSample> gsSampleToReport(gsFleetRow const& row,
                                              gsTime now)
{
  std::vector<gsSpeedSample> const& samples = row.Speed.Samples;
  auto newest =
    std::find_if(samples.rbegin(), samples.rend(),
                 [](gsSpeedSample const& sample) { return sample.IsOwn; });
  if (newest == samples.rend() || now - newest->At > SampleLifetime) {
    return std::nullopt;
  }
  std::vector<double> millis;
  gsTime oldest = newest->At;
  for (auto sample = newest; sample != samples.rend(); ++sample) {
    if (sample->IsOwn && sample->Kind == newest->Kind &&
        newest->At - sample->At <= SampleWindow) {
      millis.push_back(sample->Millis);
      oldest = sample->At;
    }
  }
  bool isPrompt = newest->Kind >= FirstPromptKind;
  if (!isPrompt && millis.size() < MinReportedSamples) {
    return std::nullopt;
  }
  return MakeSample(newest->Kind, ValueAt(millis, FastShareOf(newest->Kind)),
                    oldest + (newest->At - oldest) / 2);
}

double gsSpeedToReport(gsFleetRow const& row, gsTime now)
{
  gsEngineSpeedState const& state = row.Speed;
  bool isNewest = state.Own > 0 && state.IsOwnMeasured &&
                  now - state.OwnAt <= SampleLifetime &&
                  (state.Reported <= 0 || state.OwnAt >= state.ReportedAt);
  return isNewest ? state.Own : 0;
}

std::vector<gsSpeedChange> gsRefreshEngineSpeeds(gsFleet& fleet, gsTime now)
{
  std::vector<gsSpeedChange> changes;
  if (!gsIsActive(fleet.Settings.EngineSpeed)) {
    return changes;
  }
  std::map<std::string_view, Collected> services;
  std::size_t count = 0;
  for (std::uint32_t hash : fleet.MeasuredRows) {
    auto found = fleet.ByHash.find(hash);
    if (found == fleet.ByHash.end() ||
        !fleet.Rows[found->second].Speed.IsListed) {
      continue;
    }
    gsFleetRow& row = fleet.Rows[found->second];
    Expire(row.Speed, now);
    ConfirmSamples(fleet, row, now);
    MeasureOwn(fleet.ServiceSpeeds[row.Listed.Service], row.Speed);
    CountProvisionalSlump(fleet.ServiceSpeeds[row.Listed.Service], row.Speed);
    // Reset until the end of this pass, since a row that was removed and added
    // again between two passes is listed twice.
    row.Speed.IsListed = false;
    if (!IsKnown(row.Speed, now)) {
      continue;
    }
    fleet.MeasuredRows[count++] = hash;
    Collected& collected = services[row.Listed.Service];
    CollectTimes(row, collected);
    gsTime measuredAt{};
    if (double speed = NewestSpeed(row.Speed, measuredAt); speed > 0) {
      collected.Speeds.push_back(speed);
    }
  }
  fleet.MeasuredRows.resize(count);
  for (auto& [name, collected] : services) {
    std::string const service(name);
    std::size_t engines = fleet.ByService[service].size();
    UpdateReferences(fleet.ServiceSpeeds[service], collected, engines, now);
    UpdateAnchor(fleet.ServiceSpeeds[service], collected, engines);
  }
  for (std::uint32_t hash : fleet.MeasuredRows) {
    gsFleetRow& row = fleet.Rows[fleet.ByHash[hash]];
    gsEngineSpeedState& state = row.Speed;
    state.IsListed = true;
    gsSpeedChange change{ hash, gsSpeedStateName(row), state.Decided };
    gsTime measuredAt{};
    double speed = NewestSpeed(state, measuredAt);
    if (speed > 0 && measuredAt > state.MeasuredAt) {
      double anchor = fleet.ServiceSpeeds[row.Listed.Service].Anchor;
      AddMeasurement(state, speed / anchor, measuredAt);
    }
    Decide(state, now);
    if (change.DecidedBefore != state.Decided ||
        change.StateBefore != gsSpeedStateName(row)) {
      changes.push_back(change);
    }
  }
  return changes;
}
