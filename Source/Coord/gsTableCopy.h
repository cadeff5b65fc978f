/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A copy of one of the platform's tables, fed by pages and whole reads of the
 * platform and by what other hosts tell, late, doubled or in any order. Two
 * copies that are exact at the same version hold the same rows: a version is
 * never called complete while anything up to it is held back, missing, or not
 * the same as at the host that told it.
 *
 * One plain struct and free functions; time is handed in.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gsTypes.h"

/** A row of one of the platform's tables. */
struct gsTableRow
{
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0; ///< Rises with every change in any table.
  bool Removed = false;
};

/** What two hosts compare to see whether their rows are the same. */
struct gsRowsCheck
{
  /** Of the last change; the check holds for the rows at this version. */
  std::uint64_t Version = 0;
  /** Rows and one more; zero if the copy holds changes beyond what it calls
   * complete, or if nothing was told. */
  std::uint64_t Rows = 0;
  std::uint64_t Hash = 0; ///< Of keys and versions, in no order.
};

/** Whether two checks can be compared, and show other rows. */
bool gsRowsDiffer(gsRowsCheck const& a, gsRowsCheck const& b);

/** Rows of a table as one host tells them to another. */
struct gsTableNews
{
  std::vector<gsTableRow> Rows;
  std::uint64_t Above = 0;   ///< Rows hold all changes above this version
  std::uint64_t Version = 0; ///< and up to this one.
  bool Whole = false;        ///< Rows are all that there are.
  /** The teller is of an older release and cannot tell a check. */
  bool Unchecked = true;
  gsRowsCheck Check; ///< Of all of the teller's rows.
  /** The teller read all of the table from the platform a moment ago, at this
   * version; zero if not. */
  std::uint64_t ReadVersion = 0;
};

/** How news were taken. */
struct gsLearned
{
  enum class Lack
  {
    Nothing,
    Changes, ///< Some above this copy's version; to be asked for.
    Rows     ///< The teller's rows differ; a host that watches is to be asked.
  };
  bool Changed = false;
  Lack Lacks = Lack::Nothing;
};

struct gsTableCopy
{
  using Rows = std::map<std::string, gsTableRow>;

  struct RemovedRow
  {
    gsTableRow Row;
    gsTime At{}; ///< When it was learned.
  };
  /** A removal that the platform has told, and that is not believed yet. */
  struct HeldRemoval
  {
    std::uint64_t Version = 0; ///< The row is not there at this version,
    std::uint64_t Above = 0;   ///< and was there at this one.
  };

  Rows Live;
  std::map<std::string, RemovedRow> Gone;
  std::map<std::string, HeldRemoval> Held; ///< Their rows are in Live.
  std::set<std::string>
    Late; ///< Learned at versions that may be told already.
  /** All changes up to it are known; those held back are not in Live. */
  std::uint64_t Seen = 0;
  /** Live has all changes up to it; at most Seen, and below all of Held. */
  std::uint64_t Complete = 0;
  /** Of the last change up to Complete; the rows were the same then. */
  std::uint64_t Highest = 0;
  std::uint64_t Steady = 0; ///< No change between it and Complete is unknown.
  std::uint64_t Beyond = 0; ///< Of the last change that was taken.
  std::uint64_t Forgotten = 0; ///< Removals up to it are not remembered.
  std::uint64_t Hash = 0;      ///< Of Live.
  bool Filled = false;         ///< All of the table was known once.
  /** Keys whose rows have come, changed or gone since they were last taken,
   * some of them twice; see gsCopyTakeTouched. */
  std::vector<std::string> Touched;

  /** A row of Live or Gone that was put there at a version. */
  struct Change
  {
    std::uint64_t Version = 0;
    std::string Key;
  };
  /** The last changes that were taken, so that news cost by what has changed;
   * all whose version is above RecentFrom, and some others. */
  std::vector<Change> Recent;
  std::uint64_t RecentFrom = 0;
};

/** Keys of the rows that have changed since the last call, each once. */
std::vector<std::string> gsCopyTakeTouched(gsTableCopy& copy);

/** Changes that the platform tells above Seen. While hold is set, removals of
 * rows are held back. Each returns whether rows have changed. */
bool gsCopyTakePage(gsTableCopy& copy, std::vector<gsTableRow> const& rows,
                    std::uint64_t version, bool hold, gsTime now);

/** All rows that the platform has at a version, which is at least Seen. */
bool gsCopyTakeAll(gsTableCopy& copy, std::vector<gsTableRow> const& rows,
                   std::uint64_t version, bool hold, gsTime now);

/** What another host tells. */
gsLearned gsCopyLearn(gsTableCopy& copy, gsTableNews const& news, gsTime now);

/** What a host lacks whose copy is complete up to a version. */
gsTableNews gsCopyNewsAbove(gsTableCopy const& copy, std::uint64_t version);
/** The same for hosts that were told up to a version: with what was learned
 * later at or below it, which is told once. */
gsTableNews gsCopyTellAbove(gsTableCopy& copy, std::uint64_t version);

/** Forgets removals that were learned longer ago. */
void gsCopyForget(gsTableCopy& copy, gsTime memory, gsTime now);

/**
 * Another host names a later version of the last change, up to which this copy
 * is complete: its rows are those of that version too. A removal that was
 * found by a whole read has the read's version, not its own; without this
 * hosts that differ would not compare themselves.
 */
void gsCopyAlign(gsTableCopy& copy, std::uint64_t version);

gsRowsCheck gsCopyCheck(gsTableCopy const& copy);
