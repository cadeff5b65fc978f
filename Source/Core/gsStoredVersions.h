/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Software versions of a service that were listed recently, and services that
 * a route had, as rows that outlive all hosts. A host that starts reads the
 * rows, and then knows of which versions streams from before its start can be.
 *
 * A row names each version that is listed, and those that were, with the time
 * until when. It is written when a version is listed first or no longer, by
 * the host that watches the list for its hall, on the condition that it has
 * not changed since it was read; the halls follow each other, so that mostly
 * one of them writes. A row is created only by a host that knows all versions
 * of which streams can be. Streams begin on hosts only: a version that is
 * listed while no host runs has none.
 *
 * Times in rows are of the store's clock, in milliseconds. The state is plain
 * structs. Callers pass in the current time, make the calls and report their
 * results.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "gsSoftwareVersion.h"
#include "gsTypes.h"

struct gsFleet;

/** The versions in a row: until when each was listed, by the store's clock;
 * empty while it is listed. */
using gsStoredVersions = std::map<std::uint32_t, std::optional<std::int64_t>>;

std::string gsFormatStoredVersions(gsStoredVersions const& versions);
/** \return Empty if the text is not one that gsFormatStoredVersions makes. */
std::optional<gsStoredVersions> gsParseStoredVersions(std::string_view text);

/** A reading of the store's clock. */
struct gsStoreClock
{
  std::int64_t Millis = 0; ///< The reading.
  gsTime AskedAt{};        ///< It was taken at this time or later, and
  gsTime AnsweredAt{};     ///< at this time or earlier.
};

struct gsVersionStoreSettings
{
  gsTime RetryDelay = gsMilliseconds(500); ///< After a call that failed.
  gsTime MaxRetryDelay = gsSeconds(2);
  /** Head start of each hall over the next one. */
  gsTime HallDelay = gsMilliseconds(400);
  /** A reading of the clock that is older is not written to rows. */
  gsTime MaxClockAge = gsSeconds(10);
  /** Difference between times of halls that is not written. */
  gsTime TimeTolerance = gsSeconds(2);
  /** Time within which a watching host writes a new version to its row. */
  gsTime WriteTime = gsSeconds(1);
};

/** A row as it was read or written last. */
struct gsStoredVersionRow
{
  std::uint64_t Revision = 0; ///< Zero if there is none.
  gsStoredVersions Versions;
  /** It has another format. It is left as it is, and nothing follows. */
  bool IsUnreadable = false;
};

/** What one host knows of the rows. */
struct gsVersionStore
{
  gsVersionStoreSettings Settings;
  /** Services and routes with streams that callers resume; see
   * gsRouteServices. */
  std::set<std::string> Names;
  /** Rows by name; none of one whose row is to be read. */
  std::map<std::string, gsStoredVersionRow> Rows;
  std::optional<gsStoreClock> Clock; ///< The last reading.
  /** When this host first saw the versions that are listed. */
  std::map<std::uint32_t, gsTime> FirstSeenAt;
  bool IsCallPending = false;
  bool IsReadDue = true;
  std::uint64_t ChangesSeen = 0; ///< gsFleet::VersionChanges, once handled.
  gsTime ChangedAt{};            ///< When a change was noticed; zero for none.
  gsTime NextCallAt{};
  gsTime RetryDelay{}; ///< After the last failure; zero after a success.
};

/** The role of a host, which may change at any time. */
struct gsVersionStoreDuty
{
  bool Reads = false;        ///< It reads the rows when it starts.
  bool Writes = false;       ///< It watches the list for its hall.
  std::size_t HallIndex = 0; ///< Of the own hall among those in reach.
};

/** A call to the store. */
struct gsVersionStoreCall
{
  bool IsWrite = false; ///< Else it reads all rows.
  // Of writes.
  std::string Name;
  std::uint64_t ExpectedRevision = 0; ///< Zero if there may be no row.
  gsStoredVersions Versions;
};

/** Sets the names whose rows are kept. Rows of new ones are read. */
void gsSetVersionNames(gsVersionStore& store, std::set<std::string> names);

/**
 * The next call to the store, if one is due. The list of upstreams must have
 * been received; the rows are read after it, so that a version which other
 * hosts have seen is in one of them. To be called about ten times a second.
 */
std::optional<gsVersionStoreCall> gsNextVersionStoreCall(
  gsVersionStore& store, gsFleet const& fleet, gsVersionStoreDuty const& duty,
  gsTime now);

/** Applies all rows of the table, by name: revision and text. */
void gsApplyVersionRows(
  gsVersionStore& store, gsFleet& fleet,
  std::map<std::string, std::pair<std::uint64_t, std::string>> const& rows,
  gsStoreClock const& clock);

/** Applies rows that were read beside the calls of gsNextVersionStoreCall.
 * Ones that are older than what is known are ignored. */
void gsMergeVersionRows(
  gsVersionStore& store, gsFleet& fleet,
  std::map<std::string, std::pair<std::uint64_t, std::string>> const& rows,
  gsStoreClock const& clock);

/** Applies that a write has been made. */
void gsApplyVersionWrite(gsVersionStore& store, gsVersionStoreCall const& call,
                         std::uint64_t revision);

/** Applies that a write has been refused, as the row has changed. */
void gsApplyVersionConflict(gsVersionStore& store, gsTime now);

/** Applies that a call has failed, or that its outcome is not known. */
void gsApplyVersionFailure(gsVersionStore& store, gsTime now);

/** Records when the versions that are listed were first seen. To be called
 * about ten times a second. */
void gsUpdateVersionAges(gsVersionStore& store, gsFleet const& fleet,
                         gsTime now);

/**
 * A version of a service that a stream is sent to in place of a new one, whose
 * name may not be in the row yet: if all hosts were killed now, the stream
 * might be taken for one of another version. Empty if the version is not new,
 * or if all are.
 */
std::optional<std::uint32_t> gsOlderVersion(gsVersionStore const& store,
                                            gsFleet const& fleet,
                                            std::string const& service,
                                            std::uint32_t version, gsTime now);
