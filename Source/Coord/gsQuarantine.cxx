/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
#include "gsQuarantine.h"

#include <algorithm>
#include <iterator>

#include <xxhash.h>

namespace {

std::size_t CountVerdicts(gsSuspectRequest const& suspect,
                          gsCrashVerdict verdict)
{
  return static_cast<std::size_t>(
    std::count_if(suspect.Evidence.begin(), suspect.Evidence.end(),
                  [verdict](gsCrashEvidence const& piece) {
                    return piece.Verdict == verdict;
                  }));
}

gsTime LastCrashAt(gsSuspectRequest const& suspect)
{
  gsTime lastCrashAt{};
  for (gsCrashEvidence const& piece : suspect.Evidence) {
    if (piece.Verdict == gsCrashVerdict::Crashed) {
      lastCrashAt = std::max(lastCrashAt, piece.ObservedAt);
    }
  }
  return lastCrashAt;
}

/** Minimum time between crashes that count separately for a part. Upstreams
 * that fail together, such as those of a hall that loses power, do so within a
 * shorter time. */
constexpr gsTime MinPartCrashInterval = gsMilliseconds(100);
/** Times of a success at one upstream that differ by less, because of message
 * delays, are those of the same success. */
constexpr gsTime MaxReportDelay = gsMilliseconds(200);

gsTime LastSuccessAt(gsSuspectRequest const& suspect)
{
  gsTime last = gsTime::min();
  for (gsCrashEvidence const& piece : suspect.Evidence) {
    if (piece.Verdict == gsCrashVerdict::Survived) {
      last = std::max(last, piece.ObservedAt);
    }
  }
  return last;
}

/** Crashes with a part in progress since its last success, in order. */
std::vector<gsCrashEvidence> PartCrashes(gsSuspectRequest const& suspect)
{
  gsTime lastSuccessAt = LastSuccessAt(suspect);
  std::vector<gsCrashEvidence> crashes;
  std::copy_if(suspect.Evidence.begin(), suspect.Evidence.end(),
               std::back_inserter(crashes),
               [lastSuccessAt](gsCrashEvidence const& piece) {
                 return piece.Verdict == gsCrashVerdict::Crashed &&
                        piece.ObservedAt > lastSuccessAt;
               });
  std::sort(crashes.begin(), crashes.end(),
            [](gsCrashEvidence const& a, gsCrashEvidence const& b) {
              return a.ObservedAt < b.ObservedAt;
            });
  return crashes;
}

std::size_t CountPartCrashes(gsSuspectRequest const& suspect)
{
  std::size_t count = 0;
  gsTime previous{};
  for (gsCrashEvidence const& piece : PartCrashes(suspect)) {
    if (count == 0 || piece.ObservedAt - previous >= MinPartCrashInterval) {
      ++count;
      previous = piece.ObservedAt;
    }
  }
  return count;
}

gsSuspicionLevel ComputePartSuspicion(gsQuarantineSettings const& settings,
                                      gsSuspectRequest const& suspect,
                                      gsTime now)
{
  std::size_t crashes = CountPartCrashes(suspect);
  if (crashes == 0 || now - LastCrashAt(suspect) >= settings.PartDuration) {
    return gsSuspicionLevel::None;
  }
  if (crashes >= settings.CrashThreshold) {
    return gsSuspicionLevel::Quarantined;
  }
  return crashes > 1 ? gsSuspicionLevel::Contained
                     : gsSuspicionLevel::Suspected;
}

gsSuspicionLevel ComputeSuspicion(gsQuarantineSettings const& settings,
                                  gsFingerprint const& fingerprint,
                                  gsSuspectRequest const& suspect, gsTime now)
{
  if (gsIsPartFingerprint(fingerprint)) {
    return ComputePartSuspicion(settings, suspect, now);
  }
  std::size_t crashes = gsSequentialCrashCount(suspect);
  std::size_t survived = CountVerdicts(suspect, gsCrashVerdict::Survived);
  gsTime sinceLastCrash = now - LastCrashAt(suspect);
  bool isExpired =
    sinceLastCrash >= settings.Duration + settings.ProbationDuration;
  std::size_t toleratedCrashes = settings.CrashThreshold * survived;
  if (isExpired || crashes <= toleratedCrashes) {
    return gsSuspicionLevel::None;
  }
  crashes -= toleratedCrashes;
  if (crashes >= settings.CrashThreshold &&
      sinceLastCrash < settings.Duration) {
    return gsSuspicionLevel::Quarantined;
  }
  return crashes > 1 ? gsSuspicionLevel::Contained
                     : gsSuspicionLevel::Suspected;
}

using SuspectMap = std::unordered_map<gsFingerprint, gsSuspectRequest>;

void EraseSuspect(gsQuarantine& table, SuspectMap::iterator suspect)
{
  auto count =
    table.SuspectsPerOrganisation.find(suspect->second.OrganisationHash);
  if (count != table.SuspectsPerOrganisation.end() && --count->second == 0) {
    table.SuspectsPerOrganisation.erase(count);
  }
  table.PartCount -= gsIsPartFingerprint(suspect->first) ? 1 : 0;
  table.Suspects.erase(suspect);
}

/** Evicts the suspect with the fewest crashes, and among several of these the
 * one that changed longest ago. Considers one organisation, or all of them if
 * it is null. */
void EvictSuspect(gsQuarantine& table, std::uint32_t const* organisation)
{
  auto candidate = table.Suspects.end();
  std::size_t minCrashes = 0;
  for (auto entry = table.Suspects.begin(); entry != table.Suspects.end();
       ++entry) {
    gsSuspectRequest const& suspect = entry->second;
    if (organisation != nullptr && suspect.OrganisationHash != *organisation) {
      continue;
    }
    std::size_t crashes = gsCrashCount(suspect);
    bool isFirst = candidate == table.Suspects.end();
    if (isFirst || crashes < minCrashes ||
        (crashes == minCrashes &&
         suspect.ChangedAt < candidate->second.ChangedAt)) {
      candidate = entry;
      minCrashes = crashes;
    }
  }
  if (candidate != table.Suspects.end()) {
    EraseSuspect(table, candidate);
  }
}

/** Finds the suspect of a report or adds it. At the bound of its organisation,
 * another suspect of that organisation is evicted, and at the bound of the
 * host one of any organisation. */
gsSuspectRequest& FindOrAddSuspect(gsQuarantine& table,
                                   gsCrashReport const& report)
{
  auto found = table.Suspects.find(report.Fingerprint);
  if (found != table.Suspects.end()) {
    return found->second;
  }
  if (table.SuspectsPerOrganisation[report.OrganisationHash] >=
      table.Settings.MaxSuspectsPerOrganisation) {
    EvictSuspect(table, &report.OrganisationHash);
  } else if (table.Suspects.size() >= table.Settings.MaxSuspects) {
    EvictSuspect(table, nullptr);
  }
  ++table.SuspectsPerOrganisation[report.OrganisationHash];
  table.PartCount += gsIsPartFingerprint(report.Fingerprint) ? 1 : 0;
  gsSuspectRequest& suspect = table.Suspects[report.Fingerprint];
  suspect.OrganisationHash = report.OrganisationHash;
  return suspect;
}

/** Removes the oldest piece of evidence with verdict Alive, because it does
 * not affect the level of suspicion, or else the oldest piece of any verdict.
 */
void RemoveLeastRelevant(std::vector<gsCrashEvidence>& evidence)
{
  auto isLessRelevant = [](gsCrashEvidence const& a,
                           gsCrashEvidence const& b) {
    bool isAliveA = a.Verdict == gsCrashVerdict::Alive;
    bool isAliveB = b.Verdict == gsCrashVerdict::Alive;
    return isAliveA != isAliveB ? isAliveA : a.ObservedAt < b.ObservedAt;
  };
  evidence.erase(
    std::min_element(evidence.begin(), evidence.end(), isLessRelevant));
}

} // namespace

char const* gsSuspicionLevelName(gsSuspicionLevel suspicion)
{
  switch (suspicion) {
    case gsSuspicionLevel::Suspected:
      return "suspected";
    case gsSuspicionLevel::Contained:
      return "contained";
    case gsSuspicionLevel::Quarantined:
      return "quarantined";
    case gsSuspicionLevel::None:
      break;
  }
  return "none";
}

gsTime gsEvidenceRetention(gsQuarantineSettings const& settings,
                           gsFingerprint const& fingerprint)
{
  return gsIsPartFingerprint(fingerprint)
           ? settings.PartDuration
           : settings.Duration + settings.ProbationDuration;
}

namespace {

/** Whether a piece of evidence takes the place of a new one. The last success
 * with a part is kept beside its crashes, also at the same upstream. */
bool IsSamePiece(gsCrashReport const& report, gsCrashEvidence const& existing)
{
  bool isSuccess = report.Evidence.Verdict == gsCrashVerdict::Survived;
  bool wasSuccess = existing.Verdict == gsCrashVerdict::Survived;
  bool isSameUpstream = existing.UpstreamHash == report.Evidence.UpstreamHash;
  if (!gsIsPartFingerprint(report.Fingerprint)) {
    return isSameUpstream;
  }
  return isSuccess ? wasSuccess : !wasSuccess && isSameUpstream;
}

/** Merges two pieces of evidence of which one takes the place of the other.
 * \return Whether the existing one has changed. */
bool MergePiece(gsCrashReport const& report, gsCrashEvidence& existing)
{
  bool isSuccessOfPart = gsIsPartFingerprint(report.Fingerprint) &&
                         existing.Verdict == gsCrashVerdict::Survived;
  if (isSuccessOfPart) {
    if (report.Evidence.ObservedAt - existing.ObservedAt < MaxReportDelay) {
      return false;
    }
    existing = report.Evidence;
    return true;
  }
  if (existing.Verdict >= report.Evidence.Verdict) {
    return false;
  }
  existing.Verdict = report.Evidence.Verdict;
  return true;
}

} // namespace

bool gsQuarantineMergeReport(gsQuarantine& table, gsCrashReport const& report,
                             gsTime now)
{
  if (now - report.Evidence.ObservedAt >=
      gsEvidenceRetention(table.Settings, report.Fingerprint)) {
    return false;
  }
  gsSuspectRequest& suspect = FindOrAddSuspect(table, report);
  auto piece = std::find_if(suspect.Evidence.begin(), suspect.Evidence.end(),
                            [&report](gsCrashEvidence const& existing) {
                              return IsSamePiece(report, existing);
                            });
  if (piece != suspect.Evidence.end()) {
    if (!MergePiece(report, *piece)) {
      return false;
    }
  } else {
    if (suspect.Evidence.size() >= table.Settings.MaxEvidencePerSuspect) {
      RemoveLeastRelevant(suspect.Evidence);
    }
    suspect.Evidence.push_back(report.Evidence);
  }
  suspect.ChangedAt = now;
  return true;
}

bool gsQuarantineHasSuspects(gsQuarantine const& table,
                             std::uint32_t organisation)
{
  return table.SuspectsPerOrganisation.count(organisation) != 0;
}

gsSuspicionLevel gsSuspicionLevelOf(gsQuarantine const& table,
                                    gsFingerprint const& fingerprint,
                                    gsTime now)
{
  auto found = table.Suspects.find(fingerprint);
  return found == table.Suspects.end()
           ? gsSuspicionLevel::None
           : ComputeSuspicion(table.Settings, fingerprint, found->second, now);
}

std::size_t gsCrashCount(gsSuspectRequest const& suspect)
{
  return CountVerdicts(suspect, gsCrashVerdict::Crashed);
}

std::size_t gsSequentialCrashCount(gsSuspectRequest const& suspect)
{
  std::vector<gsCrashEvidence> crashes;
  std::copy_if(suspect.Evidence.begin(), suspect.Evidence.end(),
               std::back_inserter(crashes), [](gsCrashEvidence const& piece) {
                 return piece.Verdict == gsCrashVerdict::Crashed;
               });
  std::sort(crashes.begin(), crashes.end(),
            [](gsCrashEvidence const& a, gsCrashEvidence const& b) {
              return a.ObservedAt < b.ObservedAt;
            });
  std::size_t count = 0;
  gsTime previousCrashAt = gsTime::min();
  for (gsCrashEvidence const& piece : crashes) {
    // Times reported by other hosts are late by the message delay. A copy
    // therefore counts as sent after the previous crash if that crash is not
    // later than the middle of the copy's run time.
    if (piece.ObservedAt - piece.RunTime / 2 >= previousCrashAt) {
      ++count;
      previousCrashAt = piece.ObservedAt;
    }
  }
  return count;
}

gsTime gsQuarantineTimeLeft(gsQuarantine const& table,
                            gsFingerprint const& fingerprint, gsTime now)
{
  if (gsSuspicionLevelOf(table, fingerprint, now) !=
      gsSuspicionLevel::Quarantined) {
    return {};
  }
  gsTime duration = gsIsPartFingerprint(fingerprint)
                      ? table.Settings.PartDuration
                      : table.Settings.Duration;
  return LastCrashAt(table.Suspects.at(fingerprint)) + duration - now;
}

bool gsIsExplainedByOtherPart(gsQuarantine const& table,
                              gsFingerprint const& part,
                              std::vector<gsFingerprint> const& among,
                              gsTime now)
{
  auto found = table.Suspects.find(part);
  if (found == table.Suspects.end()) {
    return false;
  }
  std::vector<gsCrashEvidence> const crashes = PartCrashes(found->second);
  auto explains = [&crashes](gsSuspectRequest const& other) {
    std::vector<gsCrashEvidence> const others = PartCrashes(other);
    return std::all_of(
      crashes.begin(), crashes.end(), [&others](auto const& crash) {
        return std::any_of(
          others.begin(), others.end(), [&crash](auto const& candidate) {
            return candidate.UpstreamHash == crash.UpstreamHash;
          });
      });
  };
  return std::any_of(
    table.Suspects.begin(), table.Suspects.end(), [&](auto const& entry) {
      bool isOther =
        gsIsPartFingerprint(entry.first) &&
        std::find(among.begin(), among.end(), entry.first) == among.end();
      return isOther &&
             ComputeSuspicion(table.Settings, entry.first, entry.second,
                              now) == gsSuspicionLevel::Quarantined &&
             explains(entry.second);
    });
}

gsTime gsLastCrashAt(gsQuarantine const& table,
                     gsFingerprint const& fingerprint)
{
  auto found = table.Suspects.find(fingerprint);
  return found == table.Suspects.end() ? gsTime{} : LastCrashAt(found->second);
}

std::size_t gsQuarantinedCount(gsQuarantine const& table, gsTime now)
{
  return static_cast<std::size_t>(std::count_if(
    table.Suspects.begin(), table.Suspects.end(), [&](auto const& suspect) {
      return ComputeSuspicion(table.Settings, suspect.first, suspect.second,
                              now) == gsSuspicionLevel::Quarantined;
    }));
}

void gsQuarantineRemoveExpired(gsQuarantine& table, gsTime now)
{
  for (auto entry = table.Suspects.begin(); entry != table.Suspects.end();) {
    auto next = std::next(entry);
    if (now - entry->second.ChangedAt >=
        gsEvidenceRetention(table.Settings, entry->first)) {
      EraseSuspect(table, entry);
    }
    entry = next;
  }
}

std::vector<gsFingerprint> gsQuarantineRequestsToExchange(
  gsQuarantine const& table, gsTime now)
{
  std::vector<gsFingerprint> shared;
  for (auto const& [fingerprint, suspect] : table.Suspects) {
    if (gsCrashCount(suspect) > 1 &&
        now - LastCrashAt(suspect) <
          gsEvidenceRetention(table.Settings, fingerprint)) {
      shared.push_back(fingerprint);
    }
  }
  return shared;
}

std::vector<gsFingerprint> gsQuarantineRestrictedRequests(
  gsQuarantine const& table, gsTime now)
{
  std::vector<gsFingerprint> restricted;
  for (auto const& [fingerprint, suspect] : table.Suspects) {
    if (ComputeSuspicion(table.Settings, fingerprint, suspect, now) >=
        gsSuspicionLevel::Contained) {
      restricted.push_back(fingerprint);
    }
  }
  return restricted;
}

std::uint64_t gsQuarantineDigest(gsQuarantine const& table, gsTime now)
{
  std::uint64_t digest = 0;
  for (auto const& [fingerprint, suspect] : table.Suspects) {
    gsSuspicionLevel suspicion =
      ComputeSuspicion(table.Settings, fingerprint, suspect, now);
    if (suspicion >= gsSuspicionLevel::Contained) {
      std::uint64_t const hashInput[] = { fingerprint.High, fingerprint.Low,
                                          static_cast<std::uint64_t>(
                                            suspicion) };
      digest += XXH3_64bits(hashInput, sizeof(hashInput));
    }
  }
  return digest;
}

void gsQueueEvidence(gsEvidenceQueue& queue, gsFingerprint const& fingerprint,
                     gsTime now)
{
  queue.QueuedAt.emplace(fingerprint, now);
}

bool gsIsEvidenceDue(gsEvidenceQueue const& queue, gsQuarantine const& table,
                     gsFingerprint const& fingerprint, gsTime now)
{
  return !queue.IsMessageSent ||
         (queue.UrgentRequests < gsMaxUrgentRequests &&
          gsSuspicionLevelOf(table, fingerprint, now) >=
            gsSuspicionLevel::Contained);
}

void gsBeginEvidenceInterval(gsEvidenceQueue& queue)
{
  queue.IsMessageSent = false;
  queue.UrgentRequests = 0;
}

std::vector<gsFingerprint> gsTakeEvidence(gsEvidenceQueue& queue,
                                          gsQuarantine const& table,
                                          gsTime now)
{
  struct Entry
  {
    gsSuspicionLevel Suspicion;
    gsTime QueuedAt;
    gsFingerprint Fingerprint;
  };
  bool onlyUrgent = queue.IsMessageSent;
  std::size_t limit = onlyUrgent ? gsMaxUrgentRequests - queue.UrgentRequests
                                 : gsMaxRequestsPerMessage;
  std::vector<Entry> entries;
  if (limit == 0) {
    return {};
  }
  for (auto const& [fingerprint, queuedAt] : queue.QueuedAt) {
    gsSuspicionLevel suspicion = gsSuspicionLevelOf(table, fingerprint, now);
    if (!onlyUrgent || suspicion >= gsSuspicionLevel::Contained) {
      entries.push_back({ suspicion, queuedAt, fingerprint });
    }
  }
  std::size_t count = std::min(entries.size(), limit);
  auto end = entries.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(
    entries.begin(), end, entries.end(), [](Entry const& a, Entry const& b) {
      return a.Suspicion != b.Suspicion ? a.Suspicion > b.Suspicion
                                        : a.QueuedAt < b.QueuedAt;
    });
  std::vector<gsFingerprint> taken;
  taken.reserve(count);
  for (auto entry = entries.begin(); entry != end; ++entry) {
    taken.push_back(entry->Fingerprint);
    queue.QueuedAt.erase(entry->Fingerprint);
  }
  if (onlyUrgent) {
    queue.UrgentRequests += count;
  } else {
    queue.IsMessageSent = count > 0;
  }
  return taken;
}

void gsAddReceived(gsReceivedEvidence& received, gsCrashReport const& report,
                   gsSuspicionLevel suspicion)
{
  gsTime observedAt = report.Evidence.ObservedAt;
  bool isFirst = received.Requests() == 0;
  received.FirstObservedAt =
    isFirst ? observedAt : std::min(received.FirstObservedAt, observedAt);
  if (isFirst || suspicion > received.Suspicion) {
    received.Strictest = report.Fingerprint;
    received.Suspicion = suspicion;
  }
  switch (report.Evidence.Verdict) {
    case gsCrashVerdict::Crashed:
      ++received.Crashed;
      break;
    case gsCrashVerdict::Alive:
      ++received.Alive;
      break;
    case gsCrashVerdict::Survived:
      ++received.Survived;
      break;
  }
}
