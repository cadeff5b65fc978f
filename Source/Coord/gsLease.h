/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * A lease on a duty that one host at a time may do, kept as a row of a store
 * that writes under a condition. Whoever writes the row on the version that it
 * has seen holds the lease; the version of that write is the fencing token.
 *
 * A holder counts its time from before it sent the write that was
 * acknowledged, by its own steady clock, and does not act beyond it. Another
 * host takes the lease only after the same version has stood for that time and
 * a margin since it learned of it. So no two hosts act at the same time, no
 * host acts on a renewal that was not answered, and a host that lost the lease
 * holds it again no sooner than the lease's time after another began to.
 *
 * One plain struct and free functions; time is handed in, writes come out.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gsTypes.h"

/** The lease's row, as the store has it. */
struct gsLeaseRow
{
  std::uint64_t Version = 0; ///< Zero: there is no row.
  std::string Holder;
  std::uint64_t Incarnation = 0; ///< Of the holder's process.
};

/** What a holder tells others, so that they need not ask the store. */
struct gsLeaseNews
{
  gsLeaseRow Row;
  gsTime Age{}; ///< Since before the write was sent, at the latest.
};

/** A write of the lease's row by this host. */
struct gsLeaseWrite
{
  std::uint64_t Expected = 0; ///< Version that the row must have; 0 for none.
};

/** How a write ended. */
struct gsLeaseReply
{
  enum class Kind
  {
    Written,  ///< Version is the row's new one.
    Conflict, ///< Nothing was done; Row is as the store has it.
    Refused,  ///< Nothing was done, and nothing is known of the row.
    NoAnswer  ///< It may have been done, or be done later.
  };
  Kind Is = Kind::NoAnswer;
  std::uint64_t Version = 0;
  gsLeaseRow Row;
};

struct gsLeaseSettings
{
  /** A holder may act for so long after it began to renew. */
  gsTime Time = gsMilliseconds(3000);
  /** Between renewals: two may go unanswered before the time is over. */
  gsTime Renew = gsMilliseconds(1100);
  /** A successor waits so much longer than Time, for clocks of other rates
   * and for what its predecessor sent last. */
  gsTime Margin = gsMilliseconds(400);
  /** A contender waits so long for each that comes before it. */
  gsTime Step = gsMilliseconds(250);
  gsTime RetryFirst = gsMilliseconds(150);
  gsTime RetryMost = gsMilliseconds(1200);
};

/** One host's view of the lease. */
struct gsLease
{
  gsLeaseSettings Settings;
  std::string Self;
  std::uint64_t Incarnation = 0;
  gsTime Started{}; ///< When this host began to look after the lease.
  /** Newest that is known; none while SeenAt is zero. */
  gsLeaseRow Row;
  /** The store had Row at this time, or before it and not since changed. */
  gsTime SeenAt{};
  std::uint64_t Token = 0; ///< Of the last acknowledged write of this host.
  gsTime HeldUntil{};      ///< By it; zero once the belief has ended.
  bool Calling = false;    ///< A write is under way.
  gsTime SentAt{};         ///< When it was handed out.
  gsTime NextTry{};
  gsTime Delay{};          ///< Of the last retry.
  gsTime AbstainUntil{};   ///< This host leaves the lease to others.
  std::uint64_t Taken = 0; ///< Times that it became holder.
};

/**
 * A write that is due. Contends is whether this host may hold the lease at
 * all, and rank how many contenders come before it.
 */
std::optional<gsLeaseWrite> gsLeaseTick(gsLease& lease, bool contends,
                                        std::size_t rank, gsTime now);

/** Takes in how the write under way ended; true if this host became holder,
 * which it was not before. */
bool gsLeaseAnswer(gsLease& lease, gsLeaseReply const& reply, gsTime now);

/** Takes in what another host tells of the lease. */
void gsLeaseHear(gsLease& lease, gsLeaseNews const& news, gsTime now);

/** What this host can tell others; absent if it knows nothing fresh. */
std::optional<gsLeaseNews> gsLeaseTell(gsLease const& lease, gsTime now);

/** Whether this host may act now, with Token. */
bool gsLeaseHolds(gsLease const& lease, gsTime now);

/** Who holds the lease, as far as is known; empty when nobody does. */
std::string gsLeaseHolder(gsLease const& lease, gsTime now);

/** A higher token was seen elsewhere: the belief ends at once. */
void gsLeaseLose(gsLease& lease, gsTime now);

/** Leaves the lease to others for a while, as this host cannot do the duty. */
void gsLeaseAbstain(gsLease& lease, gsTime duration, gsTime now);
