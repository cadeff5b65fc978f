/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A lease on a duty that only one host at a time may perform, stored as a row
 * of a store with conditional writes. A host acquires or renews the lease by
 * writing the row on condition that the row still has the version which the
 * host read last. The version of that write is the fencing token.
 *
 * A holder measures the lease duration with its steady clock, starting before
 * it sends the write that is acknowledged, and does not act after its end.
 * Another host attempts to acquire the lease only after it has seen the same
 * version for the lease duration and a safety margin. Therefore no two hosts
 * act at the same time, no host acts on an unacknowledged renewal, and a host
 * that has lost the lease can hold it again no sooner than one lease duration
 * after another host acquired it.
 *
 * The state is one plain struct. Callers pass in the current time and perform
 * the returned writes.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gsTypes.h"

/** The lease's row in the store. */
struct gsLeaseRow
{
  std::uint64_t Version = 0; ///< Zero if there is no row.
  std::string Holder;
  std::uint64_t Incarnation = 0; ///< Identifies the holder's process.
};

/** The lease's row as exchanged between hosts, so that they do not have to
 * read the store. */
struct gsLeaseUpdate
{
  gsLeaseRow Row;
  gsTime Age{}; ///< Time since the sender's SeenAt; on the holder, since
                ///< before its write was sent.
};

/** A write of the lease's row by this host. */
struct gsLeaseWrite
{
  std::uint64_t ExpectedVersion = 0; ///< Version that the row must have; zero
                                     ///< if there must be no row.
};

/** The result of a write. */
struct gsLeaseReply
{
  enum class Kind
  {
    Written,  ///< The row was written; Version is its new version.
    Conflict, ///< Nothing was written; Row is the current row.
    Refused,  ///< Nothing was written; the row is unknown.
    NoAnswer  ///< The row may have been written, or may be written later.
  };
  Kind Result = Kind::NoAnswer;
  std::uint64_t Version = 0;
  gsLeaseRow Row;
};

struct gsLeaseSettings
{
  /** How long a holder may act after it sent the last acknowledged write. */
  gsTime Duration = gsMilliseconds(3000);
  /** Interval between renewals. Two renewals can remain unanswered before the
   * lease expires. */
  gsTime RenewInterval = gsMilliseconds(1100);
  /** Additional time after Duration that a successor waits, as clock rates
   * differ and the last requests of its predecessor may be in transit. */
  gsTime SafetyMargin = gsMilliseconds(400);
  /** Additional time that a contender waits for each contender of higher
   * priority. */
  gsTime RankDelay = gsMilliseconds(250);
  /** Delay before the first retry after a failed write; it doubles with each
   * further one. */
  gsTime InitialRetryDelay = gsMilliseconds(150);
  /** Maximum delay between retries. */
  gsTime MaxRetryDelay = gsMilliseconds(1200);
};

/** The state of the lease on one host. */
struct gsLease
{
  gsLeaseSettings Settings;
  std::string Self;              ///< Name of this host.
  std::uint64_t Incarnation = 0; ///< Identifies this host's process.
  gsTime StartedAt{}; ///< When this host became a possible contender.
  /** The row with the highest version seen; unknown while SeenAt is zero. */
  gsLeaseRow Row;
  /** Time from which the lease of Row is counted: when a write of this host
   * was sent, or for rows of other hosts the earliest time at which the store
   * is known to have had the row. Zero if no row was seen yet. */
  gsTime SeenAt{};
  std::uint64_t Token = 0; ///< Version of the last acknowledged write of
                           ///< this host; the fencing token.
  gsTime HeldUntil{}; ///< Expiry of the lease by that write; zero if this host
                      ///< does not hold it.
  bool IsWritePending =
    false;               ///< A write was returned and its result is not known.
  gsTime WriteSentAt{};  ///< When the last write was returned.
  gsTime NextWriteAt{};  ///< When the next write is allowed.
  gsTime RetryDelay{};   ///< Current delay between retries.
  gsTime AbstainUntil{}; ///< This host attempts no write until then.
  std::uint64_t AcquiredCount =
    0; ///< Number of times that this host became holder.
};

/**
 * Returns the next write, if one is due: a renewal, or an attempt to acquire
 * an expired lease. IsContender is whether this host may hold the lease at
 * all, and rank the number of contenders with higher priority.
 */
std::optional<gsLeaseWrite> gsLeaseTick(gsLease& lease, bool isContender,
                                        std::size_t rank, gsTime now);

/** Applies the result of the pending write. \return Whether this host became
 * the holder without having been it before. */
bool gsLeaseReceiveReply(gsLease& lease, gsLeaseReply const& reply,
                         gsTime now);

/** Applies a row received from another host. */
void gsLeaseReceiveUpdate(gsLease& lease, gsLeaseUpdate const& update,
                          gsTime now);

/** The row to be sent to other hosts; empty if none was seen recently enough
 * for its lease to be still in force. */
std::optional<gsLeaseUpdate> gsLeaseCurrentUpdate(gsLease const& lease,
                                                  gsTime now);

/** Whether this host holds the lease and may act now, using Token. */
bool gsLeaseIsHeld(gsLease const& lease, gsTime now);

/** The holder of the lease by the last row seen; empty if that lease has
 * expired. */
std::string gsLeaseHolder(gsLease const& lease, gsTime now);

/** Gives up the lease at once because a higher token was seen elsewhere. */
void gsLeaseRevoke(gsLease& lease, gsTime now);

/** Gives up the lease and attempts no write for a while, as this host cannot
 * perform the duty. */
void gsLeaseAbstain(gsLease& lease, gsTime duration, gsTime now);
