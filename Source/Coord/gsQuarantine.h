/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Quarantine of requests, and of parts of prompts, that crash upstreams. Both
 * are identified by a fingerprint, so that a repetition is recognised on any
 * host; what follows on requests applies to parts except as stated. For each
 * suspect request, a host holds a set of evidence with at most one piece for
 * each upstream that executed it. Hosts exchange these sets and merge them.
 * The merge is commutative and idempotent: pieces may arrive in any order and
 * more than once, and all hosts converge on the same set while no bound is
 * reached.
 *
 * The level of suspicion of a request follows from the number of crashes in
 * its evidence, less CrashThreshold for each upstream that survived it.
 * gsQuarantineSettings bounds the number of suspects on a host, of suspects of
 * one organisation on a host, and of pieces of evidence for one suspect.
 *
 * A part is in progress at an upstream whenever a request with it is. Most
 * parts are therefore suspected with the one that caused a crash, and are used
 * with success soon afterwards. Only the crashes after the last success count,
 * and crashes at the same moment count once. If a part is quarantined for
 * crashes that another quarantined part may have caused, a request with the
 * former only is contained: its outcome tells the two apart. Nothing but a
 * success or an operator ends the quarantine of a part within PartDuration.
 *
 * The state is one plain struct. Callers pass in the current time.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "gsFingerprint.h"
#include "gsTypes.h"

/** State of an upstream after it executed a suspect request. A higher verdict
 * replaces a lower one. The values are exchanged between hosts. */
enum class gsCrashVerdict : std::uint8_t
{
  /** The connection broke, and the upstream has sent nothing since. */
  Crashed = 1,
  /** The connection broke, but the upstream sent data afterwards. */
  Alive = 2,
  /** The upstream answered the request completely and sent data afterwards, or
   * an operator has cleared the request. */
  Survived = 3,
};

/** A piece of evidence: how one upstream fared with a request. */
struct gsCrashEvidence
{
  std::uint32_t UpstreamHash = 0; ///< Hash of the upstream's incarnation.
  gsCrashVerdict Verdict = gsCrashVerdict::Crashed;
  /** When the connection broke or the answer ended. On other hosts it is late
   * by the delay of the message. */
  gsTime ObservedAt{};
  gsTime RunTime{}; ///< From the sending of the request until ObservedAt.
};

/** A piece of evidence with the request that it concerns. */
struct gsCrashReport
{
  gsFingerprint Fingerprint;
  std::uint32_t OrganisationHash = 0; ///< Hash of the organisation's name.
  gsCrashEvidence Evidence;
};

/** A request for which there is evidence. */
struct gsSuspectRequest
{
  std::uint32_t OrganisationHash = 0; ///< Hash of the organisation's name.
  /** At most one piece for each upstream and at most MaxEvidencePerSuspect
   * pieces in all. */
  std::vector<gsCrashEvidence> Evidence;
  gsTime ChangedAt{}; ///< When Evidence last changed on this host.
};

struct gsQuarantineSettings
{
  /** Number of crashes in sequence at which a request is quarantined. The
   * threshold rises by the same number for each upstream that survived the
   * request. */
  std::size_t CrashThreshold = 3;
  /** A request is quarantined for this time after its last crash. */
  gsTime Duration = std::chrono::minutes(10);
  /** The same for a part of prompts. */
  gsTime PartDuration = std::chrono::hours(24);
  /** Time after the quarantine during which one more crash starts it again. */
  gsTime ProbationDuration = std::chrono::minutes(10);
  std::size_t MaxSuspects = 2048; ///< Per host; about 200 bytes each.
  std::size_t MaxSuspectsPerOrganisation = 256; ///< Per host and organisation.
  std::size_t MaxEvidencePerSuspect = 12;       ///< In pieces.
};

/** Suspect requests as recorded on one host. */
struct gsQuarantine
{
  gsQuarantineSettings Settings;
  std::unordered_map<gsFingerprint, gsSuspectRequest> Suspects;
  /** Number of suspects by the hash of their organisation's name;
   * organisations without suspects have no entry. */
  std::unordered_map<std::uint32_t, std::size_t> SuspectsPerOrganisation;
  std::size_t PartCount = 0; ///< Suspects that are parts of prompts.
};

/** Level of suspicion of a request, which determines how a host handles it.
 * The levels are ordered from the mildest to the strictest. Crashes are
 * counted by gsSequentialCrashCount, less CrashThreshold for each upstream
 * that survived the request. */
enum class gsSuspicionLevel : std::uint8_t
{
  None,
  /** One crash. Other requests that were in progress on the crashed upstream
   * are at this level too. The request is handled normally. */
  Suspected,
  /** Two or more crashes: a host runs one copy of the request at a time, and
   * does not retry an attempt that was sent. The level follows a quarantine as
   * well, during ProbationDuration. */
  Contained,
  Quarantined, ///< The request is refused.
};

/** Name of a level of suspicion for logs and error messages. */
char const* gsSuspicionLevelName(gsSuspicionLevel suspicion);

/** Merges a piece of evidence. If a bound is reached, another suspect or piece
 * of evidence is evicted. \return Whether the evidence was new and recent
 * enough to be stored. */
bool gsQuarantineMergeReport(gsQuarantine& table, gsCrashReport const& report,
                             gsTime now);

/** Whether there is evidence for any request of an organisation. */
bool gsQuarantineHasSuspects(gsQuarantine const& table,
                             std::uint32_t organisation);

/** Level of suspicion of a request. */
gsSuspicionLevel gsSuspicionLevelOf(gsQuarantine const& table,
                                    gsFingerprint const& fingerprint,
                                    gsTime now);

/**
 * Whether each crash for which a quarantined part is held responsible may have
 * been caused by another quarantined part that is not among the given ones.
 */
bool gsIsExplainedByOtherPart(gsQuarantine const& table,
                              gsFingerprint const& part,
                              std::vector<gsFingerprint> const& among,
                              gsTime now);

/** When the last crash with a request or part in progress was observed; zero
 * if there was none. */
gsTime gsLastCrashAt(gsQuarantine const& table,
                     gsFingerprint const& fingerprint);

/** Time after its last crash for which evidence on a suspect is kept. */
gsTime gsEvidenceRetention(gsQuarantineSettings const& settings,
                           gsFingerprint const& fingerprint);

/** Number of upstreams that have crashed while executing a request. */
std::size_t gsCrashCount(gsSuspectRequest const& suspect);

/**
 * Number of crashes of which each occurred while executing a copy that was
 * sent after the previous crash. Upstreams that crash at the same time count
 * once, because a request that all of them executed, such as one that many
 * callers send in the same form, may have been in progress there by
 * coincidence.
 */
std::size_t gsSequentialCrashCount(gsSuspectRequest const& suspect);

/** Time until a quarantined request is accepted again; zero for any other
 * request. */
gsTime gsQuarantineTimeLeft(gsQuarantine const& table,
                            gsFingerprint const& fingerprint, gsTime now);

/** Number of quarantined requests. */
std::size_t gsQuarantinedCount(gsQuarantine const& table, gsTime now);

/** Removes suspects that have not changed for Duration and ProbationDuration
 * combined. To be called periodically. */
void gsQuarantineRemoveExpired(gsQuarantine& table, gsTime now);

/** Requests to be sent to hosts whose digest differs: those that crashed two
 * upstreams or more, the last one within Duration and ProbationDuration,
 * whatever their level of suspicion is. */
std::vector<gsFingerprint> gsQuarantineRequestsToExchange(
  gsQuarantine const& table, gsTime now);

/** Requests that are contained or quarantined. */
std::vector<gsFingerprint> gsQuarantineRestrictedRequests(
  gsQuarantine const& table, gsTime now);

/**
 * Digest of the requests that are contained or quarantined and of their levels
 * of suspicion; equal on hosts that agree on these. Zero if there are none.
 */
std::uint64_t gsQuarantineDigest(gsQuarantine const& table, gsTime now);

/** Largest number of requests in one message of evidence. */
constexpr std::size_t gsMaxRequestsPerMessage = 64;
/** Largest number of restricted requests that are sent beside the message of
 * an interval. */
constexpr std::size_t gsMaxUrgentRequests = 8;

/**
 * Requests with new evidence that has not been sent. The evidence of an
 * interval is sent in one message, immediately if there was none before in the
 * interval. Evidence on restricted requests does not wait for the next
 * interval, since other hosts run such a request until they know of it.
 */
struct gsEvidenceQueue
{
  /** When each request was queued. */
  std::unordered_map<gsFingerprint, gsTime> QueuedAt;
  bool IsMessageSent = false;     ///< In this interval.
  std::size_t UrgentRequests = 0; ///< Sent after the message of the interval.
};

/** Queues a request. A request that is queued already keeps its place. */
void gsQueueEvidence(gsEvidenceQueue& queue, gsFingerprint const& fingerprint,
                     gsTime now);

/** Whether a queued request is sent before the next interval. */
bool gsIsEvidenceDue(gsEvidenceQueue const& queue, gsQuarantine const& table,
                     gsFingerprint const& fingerprint, gsTime now);

/** Begins an interval, which lasts about 100 ms. */
void gsBeginEvidenceInterval(gsEvidenceQueue& queue);

/**
 * Removes the requests that are to be sent now as one message: the most
 * strictly treated ones first, then in the order in which they were queued.
 * After the message of an interval, these are restricted requests only, and at
 * most gsMaxUrgentRequests in the interval.
 */
std::vector<gsFingerprint> gsTakeEvidence(gsEvidenceQueue& queue,
                                          gsQuarantine const& table,
                                          gsTime now);

/** Evidence on one upstream that was received from other hosts and has not
 * been logged. */
struct gsReceivedEvidence
{
  std::size_t Crashed = 0; ///< Requests with each verdict.
  std::size_t Alive = 0;
  std::size_t Survived = 0;
  gsTime FirstObservedAt{};
  /** The most strictly treated of the requests, and its treatment. */
  gsFingerprint Strictest;
  gsSuspicionLevel Suspicion = gsSuspicionLevel::None;

  std::size_t Requests() const
  {
    return this->Crashed + this->Alive + this->Survived;
  }
};

/** Adds a new piece of evidence on the upstream to a summary. */
void gsAddReceived(gsReceivedEvidence& received, gsCrashReport const& report,
                   gsSuspicionLevel suspicion);
