/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A copy of one of the platform's tables, kept by watching it. The platform
 * may be silent, slow or forgetful, may answer with an old state, and may
 * turn this host away while it serves others; then other hosts' words, given
 * with Learn, keep the copy up. A row never goes back to a lower version.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "gsAdapter.h"
#include "gsHttpClient.h"
#include "gsLoop.h"
#include "gsTableCopy.h"
#include "gsTypes.h"

struct gsTableWatchSettings
{
  std::string Platform; ///< IP:port.
  std::string Table;
  gsTime Wait = gsMilliseconds(2000); ///< That a watch may be held.
  /** An answer later than the wait and this much is not waited for. */
  gsTime Patience = gsMilliseconds(600);
  gsTime RetryFirst = gsMilliseconds(100);
  gsTime RetryMost = gsMilliseconds(500);
  /** After changes the next watch waits so long, to bring several at once. */
  gsTime Gather = gsMilliseconds(150);
  /** Removed rows are remembered so long, to be told to other hosts. */
  gsTime RemovedMemory = gsSeconds(60);
  /**
   * After calls without an answer, and so long since the copy was last known
   * to be up to date, rows may have lapsed because the platform was away,
   * though what they tell of lives. Time in which nobody asked is no silence.
   */
  gsTime AwayAfter = gsMilliseconds(2900);
  /** Such rows have so long after the platform's return to come back; zero
   * for a table whose rows do not lapse. */
  gsTime ReturnPatience = gsSeconds(2);
  /**
   * A table of more rows is read whole only where nothing else will do: it
   * takes several calls and megabytes. A copy that is known goes on from where
   * it is.
   */
  std::size_t LargeRows = 1000;
};

class gsTableWatch
{
public:
  using Rows = gsTableCopy::Rows;

  gsTableWatch(gsLoop& loop, gsHttpClient& client, gsAdapter const& adapter,
               gsTableWatchSettings settings, std::function<void()> onChange);
  ~gsTableWatch();
  gsTableWatch(gsTableWatch const&) = delete;
  gsTableWatch& operator=(gsTableWatch const&) = delete;

  /** Reads the whole table; it is watched from Resume on. */
  void Start();

  /** Stops watching; the copy stays, and is kept up by Learn. */
  void Pause();
  /**
   * Watches, after a read of the whole table. Other hosts have kept the copy
   * up until the given time; zero if none has.
   */
  void Resume(gsTime keptUp);
  /** Reads the table once while watching is paused, unless a read is under
   * way. */
  void ReadOnce();

  /** Gives up the call under way and reads the whole table at once. */
  void Refresh(char const* cause);

  /**
   * Takes rows that another host has read. False when changes between this
   * copy and the news are missing: then they have to be asked for.
   */
  bool Learn(gsTableNews const& news, std::string_view peer);
  /** The same, with what is to be asked for. */
  gsLearned::Lack Take(gsTableNews const& news, std::string_view peer);
  /** Another host's last change, of which this copy may have the rows. */
  void Align(std::uint64_t version) { gsCopyAlign(this->Copy, version); }

  /** Rows that are there; removed ones are left out. */
  Rows const& Present() const { return this->Copy.Live; }
  /** Keys of the rows that have changed since the last call. */
  std::vector<std::string> TakeTouched()
  {
    return gsCopyTakeTouched(this->Copy);
  }
  /** What another host lacks whose copy is complete up to a version. */
  gsTableNews NewsAbove(std::uint64_t version) const;
  /** What hosts lack that were told up to a version. */
  gsTableNews TellAbove(std::uint64_t version);

  /** Version of the last change that this copy is complete up to. */
  std::uint64_t Version() const { return this->Copy.Highest; }
  /** Version up to which this copy is complete; at least Version. */
  std::uint64_t CompleteTo() const { return this->Copy.Complete; }
  /** Of the rows at Version, to be compared with other hosts'. */
  gsRowsCheck Check() const { return gsCopyCheck(this->Copy); }
  /**
   * Up to which this copy is what a whole read of the platform found, if that
   * ended no earlier than since; else zero.
   */
  std::uint64_t ReadSince(gsTime since) const;
  /** Whether it is costly to read again. */
  bool IsLarge() const
  {
    return this->Known() && this->Copy.Live.size() > this->Settings.LargeRows;
  }
  /** Whether the table has been read, from the platform or another host. */
  bool Known() const { return this->Copy.Filled; }
  /** When the platform last answered; zero if never. */
  gsTime LastAnswer() const { return this->Answered; }
  std::uint64_t Calls() const { return this->Made; }

private:
  void Again();
  void Read(std::string const& fromKey);
  void OnRead(gsAnswer const& answer);
  void FinishRead(std::uint64_t version);
  void Await();
  void StopTimers();
  void OnAwaited(gsAnswer const& answer);
  void Make(gsCall call, void (gsTableWatch::*done)(gsAnswer const&));
  void RetryLater(gsTableAnswer const& answer, char const* step);
  void NoteAnswered();
  bool AwaitsReturns() const;

  gsLoop& Loop;
  gsHttpClient& Client;
  gsAdapter const& Adapter;
  gsTableWatchSettings Settings;
  std::function<void()> Changed;
  gsTimer Retry;
  gsTimer Gathered; ///< Begins the watch that follows changes.
  gsTimer Settled;  ///< Ends the time that lapsed rows have to come back.
  gsTableCopy Copy;
  std::vector<gsTableRow> Reading; ///< Pages of the read under way.
  std::uint64_t ReadVersion = 0;   ///< Of the first page.
  std::uint64_t WholeVersion = 0;  ///< Of the last read that ended,
  gsTime WholeAt{};                ///< and when; zero for none.
  std::uint64_t Call = 0;          ///< Under way; zero for none.
  std::uint64_t Made = 0;
  gsTime Answered{};
  gsTime KeptUp{};       ///< Last time at which the copy was up to date.
  gsTime ReturnsUntil{}; ///< No removal is taken from the platform until then.
  gsTime Delay{};
  bool Silent = false; ///< Calls have had no answer since the last one.
  bool Paused = false; ///< Reads are not followed by a watch.
};
