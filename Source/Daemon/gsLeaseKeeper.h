/* Distributed under the BSD 3-Clause License. See LICENSE for details. */
/**
 * \file
 * Maintains the lease on the duties that one host at a time performs. gsLease
 * decides when to write the lease's row; this class performs the writes in the
 * platform's store and exchanges the lease state with other hosts.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Generated/gsPeer.pb.h"
#include "gsAdapter.h"
#include "gsHallMembership.h"
#include "gsHttpClient.h"
#include "gsLease.h"
#include "gsSettings.h"

class gsLeaseKeeper
{
public:
  /** The client, the adapter and the settings have to outlive this object. */
  gsLeaseKeeper(gsHttpClient& client, gsAdapter const& adapter,
                gsSettings const& settings, std::uint64_t incarnation);
  ~gsLeaseKeeper();
  gsLeaseKeeper(gsLeaseKeeper const&) = delete;
  gsLeaseKeeper& operator=(gsLeaseKeeper const&) = delete;

  /** Acquires or renews the lease when that is due. A stopping host does
   * neither. */
  void Tick(gsHallMembership const& members, bool stopping, gsTime now);

  /** Applies the lease state received from another host. */
  void ReceiveUpdate(gradescale::LeaseNews const& wire, gsTime now);
  /** Adds the lease state to a frame, if this host has a recent one. */
  void FillUpdate(gradescale::Frame& frame, gsTime now) const;

  /** Whether a call that requires the lease may be sent now. */
  bool MaySendDutyCall(gsTime now) const;
  /** Lease holder and fencing token to be sent with such a call. */
  gsLeaseProof Proof() const;
  /** Ends the tenure of this host immediately, as the platform has seen a
   * higher fencing token in a call on the duty. */
  void Revoke(char const* duty, gsTime now);
  /** Leaves the lease to other hosts for some seconds. Called when the
   * platform has not answered this host's calls for a long time, since other
   * hosts may still reach it. */
  void Abstain(gsTime now);

  gsLease const& State() const { return this->Lease; }
  /** Number of calls made to the platform. */
  std::uint64_t CallCount() const { return this->CallsMade; }

private:
  void Write(gsLeaseWrite const& due);
  void OnWriteCompleted(gsAnswer const& answer, gsRowWrite const& write);
  void LogHolderChange(gsTime now);

  gsHttpClient& Client;
  gsAdapter const& Adapter;
  gsSettings const& Settings;
  gsLease Lease;
  std::uint64_t PendingCall = 0; ///< Pending write; zero if there is none.
  std::uint64_t CallsMade = 0;
  /** Whether this host held the lease according to the last log record. */
  bool LoggedAsHeld = false;
};

/**
 * Number of candidates for the lease that precede this host. The relays of all
 * halls come first, ordered by a hash of their halls' names, followed by the
 * second host of each hall in the same order, and so on.
 */
std::size_t gsDutyRank(gsHallMembership const& members, gsTime now);
