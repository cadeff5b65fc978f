/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Reports the counts of each window to the platform. The host that holds the
 * lease of this duty reports.
 *
 * Before the counts of a window are reported, they are committed to the store:
 * the first host that inserts the window's row determines its counts, and any
 * later lease holder reports exactly that row. Windows are committed in
 * ascending order only, so that a row that was removed long ago is not
 * inserted again with other counts.
 *
 * The state is one plain struct. Callers pass in the current time and execute
 * the returned steps, one at a time. Rows are removed after RowRetention.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gsClockAgreement.h"
#include "gsUsage.h"

struct gsUsageReporterSettings
{
  gsTime WindowLength = gsSeconds(5); ///< Length of a window.
  /** Windows that ended longer ago are not reported any more. */
  gsTime ReportDeadline = gsSeconds(10);
  /** Minimum time from the end of a window until its counts are committed, so
   * that the counts of all hosts can arrive. */
  gsTime MinCommitDelay = gsMilliseconds(2200);
  /** Maximum time from the end of a window until its counts are committed,
   * even if the counts of a known hall are missing. */
  gsTime MaxCommitDelay = gsMilliseconds(6000);
  /** Time for which a new lease holder waits for the counts of the halls. It
   * commits a window without this wait if ReportDeadline is no further away
   * than this time. */
  gsTime TakeoverDelay = gsMilliseconds(1500);
  /** Retention of rows after their window. A late write to the store or a late
   * call to the platform arrives up to 12 s after it was made. */
  gsTime RowRetention = gsSeconds(30);
  /** Delay after the first failed step. It doubles with each further failure,
   * up to MaxRetryDelay. */
  gsTime MinRetryDelay = gsMilliseconds(250);
  gsTime MaxRetryDelay = gsMilliseconds(2000); ///< Upper bound of RetryDelay.
};

/** A window whose counts are committed to the store. */
struct gsCommittedWindow
{
  gsUsageCounts Counts;
  /** Whether the platform has accepted the report of this host. */
  bool Reported = false;
  std::uint32_t Attempts = 0; ///< Report attempts of this host.
};

/** The next step of the lease holder. */
struct gsUsageStep
{
  enum class Kind
  {
    ReadRows, ///< Read the rows of all windows.
    /** Insert the row of Window unless it exists, and remove the rows of
     * ExpiredWindows. */
    CommitWindow,
    ReportWindow ///< Report Window to the platform.
  };
  Kind StepKind = Kind::ReadRows;
  std::uint64_t Window = 0;
  gsUsageCounts Counts; ///< Counts of Window.
  std::vector<std::uint64_t>
    ExpiredWindows; ///< Windows whose rows are not needed.
};

struct gsUsageReporter
{
  gsUsageReporterSettings Settings;
  bool HoldsLease = false; ///< Whether this host holds the lease.
  gsTime LeaseChangedAt{}; ///< When HoldsLease last changed.
  bool RowsRead = false;   ///< Whether this lease holder has read the rows.
  bool StepInProgress = false; ///< Whether a step is in progress.
  gsTime RetryAt{};    ///< No step is returned before; zero for no limit.
  gsTime RetryDelay{}; ///< Delay after the last failure; zero without one.
  /** The next window to be committed; zero before the rows are read. */
  std::uint64_t NextWindow = 0;
  /** Committed windows by number, as far as this host knows. */
  std::map<std::uint64_t, gsCommittedWindow> CommittedWindows;
  std::uint64_t ReportedCount = 0; ///< Windows reported by this host.
};

/** Progress of the halls in sending their counts. */
struct gsUsageProgress
{
  /** Agreed time up to which all known halls have sent their counts. */
  gsWallTime ReceivedUpTo = 0;
};

/** Sets whether this host holds the lease. A change discards the step in
 * progress, and a new holder starts by reading the rows. */
void gsUsageSetLeaseHeld(gsUsageReporter& reporter, bool holdsLease,
                         gsTime now);

/** Returns the next step, if one is due. The caller reports its outcome with
 * one of the functions below. */
std::optional<gsUsageStep> gsUsageTick(gsUsageReporter& reporter,
                                       gsUsageLedger const& ledger,
                                       gsUsageProgress const& halls,
                                       gsWallTime agreedNow, gsTime now);

/** Completes the step that reads the rows of all windows. */
void gsUsageRowsRead(gsUsageReporter& reporter, gsUsageWindows const& rows);
/** Completes the step that commits a window. Own is whether this host inserted
 * the row with these counts; otherwise another host did. */
void gsUsageWindowCommitted(gsUsageReporter& reporter, std::uint64_t window,
                            gsUsageCounts counts, bool own);
/** Completes the step that reports a window, which the platform has
 * accepted. */
void gsUsageWindowReported(gsUsageReporter& reporter, std::uint64_t window);
/** Ends the step in progress as failed, and delays the next one. */
void gsUsageStepFailed(gsUsageReporter& reporter, gsTime now);

/** Number of past windows that are retained; at least one. */
std::uint64_t gsUsageRetainedWindows(gsUsageReporterSettings const& settings);

/** Windows that are committed and not reported yet by this host. */
std::vector<std::uint64_t> gsUsageUnreportedWindows(
  gsUsageReporter const& reporter);
