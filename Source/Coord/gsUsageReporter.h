/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Reports each window's counts once, by whichever host holds the duty. The
 * counts of a window are fixed in the store before they are sent: the first
 * host to insert the window's row decides, and whoever holds the duty later
 * sends exactly that row. Windows are fixed in rising order only, so that a
 * row that was removed long ago is never made again with other counts.
 *
 * One plain struct and free functions; time is handed in, steps come out. One
 * step at a time is under way.
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
  gsTime Window = gsSeconds(5);
  /** A report is late so long after its window's end. */
  gsTime Late = gsSeconds(10);
  /** Counts are waited for so long after the window's end, */
  gsTime Settle = gsMilliseconds(2200);
  /** and so long when a hall that was heard of has not told its own. */
  gsTime Patience = gsMilliseconds(6000);
  /** A new holder waits so long for the halls to tell it. */
  gsTime Gather = gsMilliseconds(1500);
  /** Rows are kept for so long after their window: a late write to the store
   * or a late call to the platform comes up to 12 s after it was made. */
  gsTime Memory = gsSeconds(30);
  gsTime RetryFirst = gsMilliseconds(250);
  gsTime RetryMost = gsMilliseconds(2000);
};

/** A window whose counts are fixed. */
struct gsFixedWindow
{
  gsUsageCounts Counts;
  bool Done = false; ///< The platform has taken it from this holder.
  std::uint32_t Tries = 0;
};

/** What the holder has to do next. */
struct gsUsageStep
{
  enum class Kind
  {
    Read, ///< The rows of all windows.
    Fix,  ///< Insert the window's row, if there is none, and remove others.
    Send  ///< Report the window.
  };
  Kind Is = Kind::Read;
  std::uint64_t Window = 0;
  gsUsageCounts Counts;
  std::vector<std::uint64_t> Remove; ///< Windows whose rows may go.
};

struct gsUsageReporter
{
  gsUsageReporterSettings Settings;
  bool Holds = false;  ///< This host holds the duty,
  gsTime HoldsSince{}; ///< since then,
  bool Ready = false;  ///< and has read the rows.
  bool Busy = false;   ///< A step is under way.
  gsTime NextTry{};
  gsTime Delay{};
  /** The next window to be fixed; none before the rows were read. */
  std::uint64_t Next = 0;
  std::map<std::uint64_t, gsFixedWindow> Fixed;
  std::uint64_t DoneCount = 0; ///< Windows that this host has reported.
};

/** What is known of the halls' counts. */
struct gsUsageReady
{
  /** True time up to which all halls that are heard of have told theirs. */
  gsWallTime ToldUpTo = 0;
};

/** Begins or ends holding the duty. */
void gsUsageHold(gsUsageReporter& reporter, bool holds, gsTime now);

/** The next step, if one is due. */
std::optional<gsUsageStep> gsUsageTick(gsUsageReporter& reporter,
                                       gsUsageLedger const& ledger,
                                       gsUsageReady const& halls,
                                       gsWallTime trueNow, gsTime now);

/** The rows of windows were read. */
void gsUsageRead(gsUsageReporter& reporter, gsUsageWindows const& rows);
/** A window is fixed with these counts, by this host's write or, if not own,
 * by another's. */
void gsUsageFixed(gsUsageReporter& reporter, std::uint64_t window,
                  gsUsageCounts counts, bool own);
/** The platform has taken a window's report. */
void gsUsageSent(gsUsageReporter& reporter, std::uint64_t window);
/** The step under way has failed. */
void gsUsageFailed(gsUsageReporter& reporter, gsTime now);

/** How many windows are remembered. */
std::uint64_t gsUsageKept(gsUsageReporterSettings const& settings);

/** Windows that are fixed and not reported yet by this holder. */
std::vector<std::uint64_t> gsUsageOpen(gsUsageReporter const& reporter);
